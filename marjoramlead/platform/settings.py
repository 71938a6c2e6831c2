"""Read the settings that the platform renders from ``deploy/node.template``."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final, cast

import msgspec

from marjoramlead.account_checks import Revocation
from marjoramlead.address import parse_address
from marjoramlead.client_limits import (
    DEFAULT_MAX_FDS,
    MINIMA,
    ProcessLimits,
    client_limits,
)
from marjoramlead.errors import SettingsError
from marjoramlead.generated.sidecar_types import SidecarSettings
from marjoramlead.mesh_retry_budget import MeshRetryBudgetConfig
from marjoramlead.parsing import load_json_object
from marjoramlead.platform.fields import parse_duration
from marjoramlead.quota_plan import QuotaBounds
from marjoramlead.sidecar_config import SidecarConfig

__all__ = ('load_sidecar_config',)

BYTES_PER_S_OF_MBPS: Final = 125_000
# Rate of a link that the settings do not name.
DEFAULT_LINK_MBPS: Final = 1000.0
# Memory of a process that the settings do not name: that of small hosts.
DEFAULT_MEMORY_MB: Final = 128.0
BYTES_PER_MB: Final = 1_000_000
# Share of the bound on revoked keys after which a node that is out of touch
# refuses requests with a key. A machine owes nothing after 0.6 of the bound
# without contact; confirmations are up to one and a half seconds old by then.
# The rest allows for answers of the store that are not quite current.
REVOCATION_SHARE: Final = 0.8
# Bounds that apply where the settings do not set them.
DEFAULT_BOUNDS: Final = {  # noqa: WPS407  # never modified
    'Grace': '6s',
    'RetryBudgetRatio': '0.2',
    'BudgetSlack': '60',
    'BudgetWindow': '10s',
    'QuotaWindow': '5s',
    'QuotaOver': '0',
    'QuotaSlack': '0',
}


def load_sidecar_config(path: Path) -> SidecarConfig:
    """Read and check the settings file of a node.

    Raises
    ------
    SettingsError
        If the file is invalid. The message names the file, the path of the
        setting and the reason.
    """
    parsed = load_json_object(path)
    try:
        return _build_config(msgspec.convert(parsed, SidecarSettings))
    except (msgspec.ValidationError, TypeError, ValueError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc


def _build_config(settings: SidecarSettings) -> SidecarConfig:
    bounds = {**DEFAULT_BOUNDS, **settings['bounds']}
    control = settings.get('control')
    return SidecarConfig(
        host=settings['host'],
        data_centre=settings['data_centre'],
        service=settings['service'],
        target=parse_address(settings['target']),
        outbound=parse_address(settings['outbound']),
        inbound=parse_address(settings['inbound']),
        ready=parse_address(settings['ready']),
        control=parse_address(control) if control else None,
        metrics_port=settings.get('metrics_port'),
        store=parse_address(settings['store']),
        seeds=tuple(map(parse_address, settings.get('seeds', ()))),
        heartbeat_s=parse_duration(settings['heartbeat']),
        termination_grace_s=parse_duration(bounds['Grace']),
        link_bytes_per_s=(
            settings.get('link_mbps', DEFAULT_LINK_MBPS) * BYTES_PER_S_OF_MBPS
        ),
        memory_bytes=(
            settings.get('memory_mb', DEFAULT_MEMORY_MB) * BYTES_PER_MB
        ),
        client_limits=_build_client_limits(settings),
        budget=MeshRetryBudgetConfig(
            ratio=float(bounds['RetryBudgetRatio']),
            slack=float(bounds['BudgetSlack']),
            window_s=parse_duration(bounds['BudgetWindow']),
        ),
        revocation=_build_revocation(bounds),
        quota=QuotaBounds(
            window_s=parse_duration(bounds['QuotaWindow']),
            over=float(bounds['QuotaOver']),
            slack=float(bounds['QuotaSlack']),
        ),
    )


def _build_client_limits(settings: SidecarSettings) -> ProcessLimits:
    named = {
        name: cast(float, limit)
        for name, limit in settings.items()
        if name in MINIMA
    }
    return client_limits(settings.get('max_fds', DEFAULT_MAX_FDS), **named)


def _build_revocation(bounds: Mapping[str, str | float | bool]) -> Revocation:
    """Return when nodes refuse keys, by bounds that may be texts or values."""
    is_strict = str(bounds.get('StrictRevocation', '')).lower() == 'true'
    if not is_strict or 'Revoke' not in bounds:
        return Revocation()
    return Revocation(REVOCATION_SHARE * parse_duration(bounds['Revoke']))
