"""Names that the platform prescribes, other than the fields of documents."""

from typing import Final

from marjoramlead.header_names import HeaderNames

__all__ = (
    'CONFIG_KEY',
    'ERA_HEADER',
    'EVACUATION_PREFIX',
    'OPERATOR_PREFIX',
    'PLATFORM_HEADER_NAMES',
    'SETTINGS_ENV_VAR',
    'TARGET_PREFIX',
    'parent_request_id',
)

SETTINGS_ENV_VAR: Final = 'MARJORAMLEAD_NODE_FILE'
OPERATOR_PREFIX: Final = 'op/'
CONFIG_KEY: Final = 'op/config'
EVACUATION_PREFIX: Final = 'op/evacuate/'
TARGET_PREFIX: Final = 'servers/'
# Number of the store's restorations from a copy, in each of its responses.
ERA_HEADER: Final = b'store-era'

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
    rate_limit=b'server-limit',
    leaving=b'server-leaving',
    account=b'x-tenant-id',
)

# Separates the id of a running request from the rest of the id of a call that
# its target makes.
CALL_ID_SEPARATOR: Final = '.'


def parent_request_id(request_id: str) -> str:
    """Return the id of the request that a call belongs to, or an empty string.

    Calls of calls have further parts; the id before the last part is that of
    the caller.
    """
    return request_id.rpartition(CALL_ID_SEPARATOR)[0]
