"""Names that the platform prescribes, other than the fields of documents."""

from typing import Final

from marjoramlead.header_names import HeaderNames

__all__ = (
    'CONFIG_KEY',
    'EVACUATION_PREFIX',
    'OPERATOR_PREFIX',
    'PLATFORM_HEADER_NAMES',
    'SETTINGS_ENV_VAR',
    'TARGET_PREFIX',
)

SETTINGS_ENV_VAR: Final = 'MARJORAMLEAD_NODE_FILE'
OPERATOR_PREFIX: Final = 'op/'
CONFIG_KEY: Final = 'op/config'
EVACUATION_PREFIX: Final = 'op/evacuate/'
TARGET_PREFIX: Final = 'servers/'

PLATFORM_HEADER_NAMES: Final = HeaderNames(
    request_id=b'x-request-id',
    wait_ms=b'x-deadline-ms',
    seal=b'x-server-seal',
    expected_target=b'x-expected-instance',
    not_run=b'x-not-executed',
    caller_service=b'x-caller-service',
    load=b'x-server-load',
    target_id=b'x-instance-id',
    cold_ms=b'x-cold-ms',
)
