"""Read the settings that the platform renders from ``deploy/node.template``."""

from pathlib import Path
from typing import Final

import msgspec

from marjoramlead.address import parse_address
from marjoramlead.errors import SettingsError
from marjoramlead.generated.sidecar_types import SidecarSettings
from marjoramlead.parsing import load_object
from marjoramlead.platform.decoding import read_time
from marjoramlead.repeat_budget import RepeatBudgetConfig
from marjoramlead.sidecar_terms import SidecarTerms

__all__ = ('load_terms',)

# What a deployment without such a bound is taken to grant.
DEFAULT_BOUNDS: Final = {  # noqa: WPS407  # nothing changes it
    'Grace': '6s',
    'RetryBudgetRatio': '0.2',
    'BudgetSlack': '60',
    'BudgetWindow': '10s',
}


def load_terms(path: Path) -> SidecarTerms:
    """Read and check the settings file of a node.

    Raises
    ------
    SettingsError
        Names the file, the path within it and the reason.
    """
    parsed = load_object(path)
    try:
        return _terms(msgspec.convert(parsed, SidecarSettings))
    except (msgspec.ValidationError, TypeError, ValueError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc


def _terms(settings: SidecarSettings) -> SidecarTerms:
    bounds = {**DEFAULT_BOUNDS, **settings['bounds']}
    control = settings.get('control')
    return SidecarTerms(
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
        heartbeat_s=read_time(settings['heartbeat']),
        grace_s=read_time(bounds['Grace']),
        budget=RepeatBudgetConfig(
            ratio=float(bounds['RetryBudgetRatio']),
            slack=float(bounds['BudgetSlack']),
            window_s=read_time(bounds['BudgetWindow']),
        ),
    )
