"""Decode the platform's documents into the product's types.

Some names in the documents mislead. ``Service`` may be the service of a
route, of a target or of this host. ``Version`` is the version of the
configuration in ``op/config``, but of the target's software in a target's
entry. ``Kind`` states which requests may be retried. A target's ``Zone`` is
its data centre.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, cast

import msgspec

from marjoramlead.address import parse_address
from marjoramlead.events import emit
from marjoramlead.mesh_state import (
    DecodedRecord,
    ExcludedDataCentre,
    TargetEntry,
)
from marjoramlead.platform.names import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
)
from marjoramlead.record_log import Record
from marjoramlead.routes import (
    ClientLimits,
    RetryPolicy,
    Route,
    RoutingTable,
    ServiceConfig,
    WeightedService,
)

__all__ = ('decode_record', 'parse_duration')

MS_PER_SECOND: Final = 1000
RETRY_POLICY_BY_KIND: Final[Mapping[str, RetryPolicy]] = {  # noqa: WPS407  # never modified
    'safe': 'idempotent',
    'unsafe': 'at_most_once',
    'upload': 'upload',
}
TARGET_STATES: Final = ('ready', 'draining')
# Attempts at a request whose route does not set MaxAttempts.
DEFAULT_ATTEMPTS: Final = 1
DEFAULT_PRIORITY: Final = 1

Row = Mapping[str, Any]


def decode_record(record: Record, now: float) -> DecodedRecord:
    """Decode one record of the store; return None if it cannot be used.

    Invalid records are logged; records with an unknown key are ignored.
    """
    try:
        return _decode(record, now)
    except (KeyError, TypeError, ValueError) as exc:
        emit(
            'record_refused',
            key=record.key,
            revision=record.revision.number,
            era=record.revision.era,
            reason=f'{type(exc).__name__}: {exc}',
        )
    return None


def _decode(record: Record, now: float) -> DecodedRecord:
    if record.key.startswith(EVACUATION_PREFIX):
        return ExcludedDataCentre(record.key.removeprefix(EVACUATION_PREFIX))
    if record.key == CONFIG_KEY:
        return _decode_routing_table(msgspec.json.decode(record.body or b''))
    if record.key.startswith(TARGET_PREFIX):
        return _decode_target(record, now)
    return None


def parse_duration(raw: object) -> float:
    """Convert a number with its unit, such as ``1500ms``, to seconds.

    Raises
    ------
    TypeError
        If it is not a string.
    ValueError
        If the number is invalid, or the unit is neither ``ms`` nor ``s``.
    """
    if not isinstance(raw, str):
        raise TypeError(f'duration {raw!r} is not a string')
    if raw.endswith('ms'):
        return float(raw[:-2]) / MS_PER_SECOND
    if raw.endswith('s'):
        return float(raw[:-1])
    raise ValueError(f'duration {raw!r} has no unit: expected ms or s')


def _decode_target(record: Record, now: float) -> TargetEntry:
    document = msgspec.json.decode(cast(bytes, record.body))
    if document['State'] not in TARGET_STATES:
        raise ValueError(f'unknown State {document["State"]!r}')
    slots, born = document['Slots'], document.get('born', 0)
    for number in (slots, born):
        if not isinstance(number, int) or isinstance(number, bool):
            raise TypeError(f'{number!r} is not an integer')
    if slots < 1:
        raise ValueError(f'Slots must be at least 1, but is {slots}')
    return TargetEntry(
        target_id=record.key.removeprefix(TARGET_PREFIX),
        service=_require_text(document['Service']),
        address=parse_address(document['Address']),
        data_centre=_require_text(document['Zone']),
        slots=slots,
        is_draining=document['State'] == 'draining',
        started_ms=born,
        warmup_left_s=parse_duration(document['WarmupLeft']),
        seen_at=now,
    )


def _require_text(raw: object) -> str:
    if not isinstance(raw, str) or not raw:
        raise TypeError(f'{raw!r} is not a non-empty string')
    return raw


def _decode_rows(raw: Mapping[str, Any]) -> list[Row]:
    columns = cast(Sequence[str], raw['Columns'])
    return [dict(zip(columns, row, strict=False)) for row in raw['Rows']]


def _decode_routing_table(document: Mapping[str, Any]) -> RoutingTable:
    routes = [_decode_route(row) for row in _decode_rows(document['Routes'])]
    services = [
        _decode_service(row) for row in _decode_rows(document['Services'])
    ]
    return RoutingTable(
        version=int(document['Version'], 16),
        routes={(route.host, route.prefix): route for route in routes},
        services={cfg.name: cfg for cfg in services},
        limits=_decode_limits(document.get('Limits') or {}),
    )


def _decode_route(row: Row) -> Route:
    split = row.get('WeightedServices')
    if split:
        weighted_services = tuple(
            WeightedService(
                _require_text(each['Service']), float(each['Weight'])
            )
            for each in split
        )
    else:
        weighted_services = (WeightedService(_require_text(row['Service']), 1),)
    timeout = parse_duration(row['Timeout'])
    latency_objective = row.get('TargetLatency')
    return Route(
        name=_require_text(row['Name']),
        host=_require_text(row['Host']),
        prefix=_require_text(row['PathPrefix']),
        retry_policy=RETRY_POLICY_BY_KIND[row['Kind']],
        weighted_services=weighted_services,
        timeout=timeout,
        latency_objective=parse_duration(latency_objective)
        if latency_objective
        else timeout,
        attempts=row.get('MaxAttempts') or DEFAULT_ATTEMPTS,
        priority=_int_or_default(row.get('Priority'), DEFAULT_PRIORITY),
    )


def _int_or_default(raw: object, default: int) -> int:
    return raw if isinstance(raw, int) else default


def _decode_service(row: Row) -> ServiceConfig:
    return ServiceConfig(
        name=_require_text(row['Name']),
        health_path=_require_text(row['HealthPath']),
        max_connections=int(row['MaxConnections']),
        warmup_s=parse_duration(row.get('Warmup') or '0s'),
        warmup_requests_per_s=float(row.get('WarmupPerS') or 0),
    )


def _decode_limits(document: Mapping[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    header_timeout = document.get('HeaderTimeout')
    idle_timeout = document.get('IdleTimeout')
    return ClientLimits(
        header_bytes=document.get('MaxHeaderBytes') or defaults.header_bytes,
        body_bytes=document.get('MaxBodyBytes') or defaults.body_bytes,
        header_s=parse_duration(header_timeout)
        if header_timeout
        else defaults.header_s,
        idle_s=parse_duration(idle_timeout)
        if idle_timeout
        else defaults.idle_s,
    )
