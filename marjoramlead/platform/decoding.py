"""Decode the platform's documents into the product's types, once.

Names on the wire that mislead: ``Service`` is one word for the service of a
route, of a target and of this host; ``Version`` is the configuration's in
``op/config`` but that of the target's software in a target's entry;
``Kind`` says what may be repeated; a target's ``Zone`` is its data centre.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, cast

import msgspec

from marjoramlead.address import parse_address
from marjoramlead.events import emit
from marjoramlead.mesh_state import (
    DecodedRecord,
    ExcludedDataCentre,
    Record,
    TargetEntry,
)
from marjoramlead.platform.names import (
    CONFIG_KEY,
    OUTAGE_PREFIX,
    TARGET_PREFIX,
)
from marjoramlead.routes import (
    ClientLimits,
    RepeatPolicy,
    Route,
    RoutingTable,
    ServiceConfig,
    WeightedService,
)

__all__ = ('decode_record', 'read_time')

SECOND_MS: Final = 1000
REPEATS: Final[Mapping[str, RepeatPolicy]] = {  # noqa: WPS407  # nothing changes it
    'safe': 'idempotent',
    'unsafe': 'at_most_once',
    'upload': 'upload',
}
STATES: Final = ('ready', 'draining')
# Attempts of a route that does not say how many.
DEFAULT_ATTEMPTS: Final = 1
DEFAULT_PRIORITY: Final = 1

Row = Mapping[str, Any]


def decode_record(record: Record, now: float) -> DecodedRecord:
    """Decode one item of the store; None for one that names nothing."""
    try:
        return _decoded(record, now)
    except (KeyError, TypeError, ValueError) as exc:
        emit(
            'record_refused',
            key=record.key,
            revision=record.revision,
            reason=f'{type(exc).__name__}: {exc}',
        )
    return None


def _decoded(record: Record, now: float) -> DecodedRecord:
    if record.key.startswith(OUTAGE_PREFIX):
        return ExcludedDataCentre(record.key.removeprefix(OUTAGE_PREFIX))
    if record.key == CONFIG_KEY:
        return _table(msgspec.json.decode(record.body or b''))
    if record.key.startswith(TARGET_PREFIX):
        return _target(record, now)
    return None


def read_time(raw: object) -> float:
    """Read seconds from a number with its unit, such as ``1500ms``.

    Raises
    ------
    ValueError
        If there is no number, or another unit.
    """
    if not isinstance(raw, str):
        raise TypeError(f'{raw!r} is no time')
    if raw.endswith('ms'):
        return float(raw[:-2]) / SECOND_MS
    if raw.endswith('s'):
        return float(raw[:-1])
    raise ValueError(f'{raw!r} has no unit')


def _target(record: Record, now: float) -> TargetEntry:
    said = msgspec.json.decode(cast(bytes, record.body))
    if said['State'] not in STATES:
        raise ValueError(f'state {said["State"]!r}')
    slots, born = said['Slots'], said.get('born', 0)
    for number in (slots, born):
        if not isinstance(number, int) or isinstance(number, bool):
            raise TypeError(f'{number!r} is no whole number')
    if slots < 1:
        raise ValueError(f'{slots} slots')
    return TargetEntry(
        target_id=record.key.removeprefix(TARGET_PREFIX),
        service=_text(said['Service']),
        address=parse_address(said['Address']),
        data_centre=_text(said['Zone']),
        slots=slots,
        is_draining=said['State'] == 'draining',
        started_ms=born,
        warmup_left_s=read_time(said['WarmupLeft']),
        seen_at=now,
    )


def _text(raw: object) -> str:
    if not isinstance(raw, str) or not raw:
        raise TypeError(f'{raw!r} is no text')
    return raw


def _rows(raw: Mapping[str, Any]) -> list[Row]:
    columns = cast(Sequence[str], raw['Columns'])
    return [dict(zip(columns, row, strict=False)) for row in raw['Rows']]


def _table(said: Mapping[str, Any]) -> RoutingTable:
    routes = [_route(row) for row in _rows(said['Routes'])]
    services = [_service(row) for row in _rows(said['Services'])]
    return RoutingTable(
        version=int(said['Version'], 16),
        routes={(route.host, route.prefix): route for route in routes},
        services={terms.name: terms for terms in services},
        limits=_limits(said.get('Limits') or {}),
    )


def _route(row: Row) -> Route:
    split = row.get('WeightedServices')
    if split:
        weighted_services = tuple(
            WeightedService(_text(each['Service']), float(each['Weight']))
            for each in split
        )
    else:
        weighted_services = (WeightedService(_text(row['Service']), 1),)
    timeout = read_time(row['Timeout'])
    latency_objective = row.get('TargetLatency')
    return Route(
        name=_text(row['Name']),
        host=_text(row['Host']),
        prefix=_text(row['PathPrefix']),
        repeat=REPEATS[row['Kind']],
        weighted_services=weighted_services,
        timeout=timeout,
        latency_objective=read_time(latency_objective)
        if latency_objective
        else timeout,
        attempts=row.get('MaxAttempts') or DEFAULT_ATTEMPTS,
        priority=_number(row.get('Priority'), DEFAULT_PRIORITY),
    )


def _number(raw: object, default: int) -> int:
    return raw if isinstance(raw, int) else default


def _service(row: Row) -> ServiceConfig:
    return ServiceConfig(
        name=_text(row['Name']),
        health_path=_text(row['HealthPath']),
        max_connections=int(row['MaxConnections']),
        warmup_s=read_time(row.get('Warmup') or '0s'),
        warmup_requests_per_s=float(row.get('WarmupPerS') or 0),
    )


def _limits(said: Mapping[str, Any]) -> ClientLimits:
    usual = ClientLimits()
    header = said.get('HeaderTimeout')
    idle = said.get('IdleTimeout')
    return ClientLimits(
        header_bytes=said.get('MaxHeaderBytes') or usual.header_bytes,
        body_bytes=said.get('MaxBodyBytes') or usual.body_bytes,
        header_s=read_time(header) if header else usual.header_s,
        idle_s=read_time(idle) if idle else usual.idle_s,
    )
