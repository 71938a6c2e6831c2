"""Decode the platform's routing configuration.

One value that the node does not know refuses the whole table. A table without
that route would answer 404 to requests that the operators allow.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from reprlib import repr as shorten
from typing import Any, Final

import msgspec

from marjoramlead.errors import DECODING_ERRORS
from marjoramlead.mesh_entries import RefusedRouting
from marjoramlead.platform.accounts import decode_accounts
from marjoramlead.platform.fields import (
    parse_duration,
    require_count,
    require_text,
    require_weight,
)
from marjoramlead.platform.rows import (
    FieldError,
    Row,
    make_row,
    read_field,
    read_optional,
    read_rows,
    require_list,
    require_object,
)
from marjoramlead.routes import (
    ClientLimits,
    RetryPolicy,
    Route,
    RoutingTable,
    ServiceConfig,
    WeightedService,
)

__all__ = ('RouteCache', 'decode_routing_table')

RETRY_POLICY_BY_KIND: Final[Mapping[str, RetryPolicy]] = {  # noqa: WPS407  # never modified
    'download': 'idempotent',
    'safe': 'idempotent',
    'unsafe': 'at_most_once',
    'upload': 'upload',
}
# Attempts at a request whose route does not set MaxAttempts.
DEFAULT_ATTEMPTS: Final = 1
DEFAULT_PRIORITY: Final = 1
MAX_VERSION_DIGITS: Final = 8
# Seconds and rate of a service whose targets have no slow start.
NO_WARMUP: Final[float] = 0


@dataclass(slots=True)
class RouteCache:
    """Decoded routes of the last version, most of which the next one keeps.

    Attributes
    ----------
    columns
        Columns of the rows.
    by_row
        Decoded routes by the encoded text of their rows.
    """

    columns: list[str] = field(default_factory=list)
    by_row: dict[bytes, Route] = field(default_factory=dict)


OBJECT_DECODER: Final = msgspec.json.Decoder(dict[str, msgspec.Raw])
COLUMNS_DECODER: Final = msgspec.json.Decoder(list[str])
ROWS_DECODER: Final = msgspec.json.Decoder(list[msgspec.Raw])
# Fields of the configuration that are used, without the routes.
DOCUMENT_FIELDS: Final = ('Version', 'Services', 'Limits', 'Tenants')
# Encoded value of a field that is missing.
NULL: Final = msgspec.Raw(b'null')


def decode_routing_table(
    cache: RouteCache, body: bytes
) -> RoutingTable | RefusedRouting:
    """Decode a routing configuration, or tell why it is refused."""
    try:
        encoded = OBJECT_DECODER.decode(body)
        document = _decode_fields(encoded)
    except DECODING_ERRORS as exc:
        return RefusedRouting(None, '', str(exc))
    routes = encoded.get('Routes', NULL)
    version: int | None = None
    try:
        version = read_field(document, 'Version', _parse_version)
        return _decode_table(cache, version, document, routes)
    except FieldError as exc:
        return RefusedRouting(version, exc.path, exc.reason)


def _decode_fields(encoded: Mapping[str, msgspec.Raw]) -> Row:
    """Decode the fields in use, except the routes, which have a cache."""
    fields = {
        name: msgspec.json.decode(encoded[name])
        for name in DOCUMENT_FIELDS
        if name in encoded
    }
    return Row('', fields)


def _decode_table(
    cache: RouteCache,
    version: int,
    document: Row,
    encoded_routes: msgspec.Raw,
) -> RoutingTable:
    routes = _decode_routes(cache, encoded_routes)
    services = list(map(_decode_service, read_rows(document, 'Services')))
    return RoutingTable(
        version=version,
        routes={(route.host, route.prefix): route for route in routes},
        services={cfg.name: cfg for cfg in services},
        limits=_decode_limits(document),
        max_prefix=max((len(route.prefix) for route in routes), default=0),
        accounts=decode_accounts(document),
    )


def _decode_routes(cache: RouteCache, encoded: msgspec.Raw) -> list[Route]:
    """Decode the routes whose rows are not those of the last version."""
    try:
        columns, rows = _split_rows(encoded)
    except DECODING_ERRORS as exc:
        raise FieldError('Routes', str(exc)) from exc
    known = cache.by_row if cache.columns == columns else {}
    by_row: dict[bytes, Route] = {}
    for index, raw in enumerate(rows):
        row = bytes(raw)
        by_row[row] = known.get(row) or _decode_route(
            make_row('Routes', index, columns, _decode_cells(index, row))
        )
    cache.columns = columns
    cache.by_row = by_row
    return list(by_row.values())


def _decode_cells(index: int, row: bytes) -> Any:
    try:
        return msgspec.json.decode(row)
    except DECODING_ERRORS as exc:
        raise FieldError(f'Routes.Rows[{index}]', str(exc)) from exc


def _split_rows(encoded: msgspec.Raw) -> tuple[list[str], list[msgspec.Raw]]:
    table = OBJECT_DECODER.decode(encoded)
    columns = COLUMNS_DECODER.decode(table.get('Columns', NULL))
    return columns, ROWS_DECODER.decode(table.get('Rows', NULL))


def _decode_route(row: Row) -> Route:
    timeout = read_field(row, 'Timeout', parse_duration)
    return Route(
        name=read_field(row, 'Name', require_text),
        host=read_field(row, 'Host', require_text),
        prefix=read_field(row, 'PathPrefix', require_text),
        retry_policy=read_field(row, 'Kind', _parse_kind),
        weighted_services=_decode_services_of_route(row),
        timeout=timeout,
        latency_objective=read_optional(
            row, 'TargetLatency', parse_duration, timeout
        ),
        attempts=read_optional(
            row, 'MaxAttempts', require_count, DEFAULT_ATTEMPTS
        ),
        priority=_parse_priority(row.values_by_column.get('Priority')),
        is_open=read_optional(row, 'NoAuth', _require_flag, default=False),
    )


def _decode_services_of_route(row: Row) -> tuple[WeightedService, ...]:
    split: list[Any] = read_optional(row, 'WeightedServices', require_list, [])
    if not split:
        service = read_field(row, 'Service', require_text)
        return (WeightedService(service, 1),)
    return tuple(
        _decode_weighted_service(
            Row(f'{row.path}.WeightedServices[{index}]', raw)
        )
        for index, raw in enumerate(split)
    )


def _decode_weighted_service(row: Row) -> WeightedService:
    if not isinstance(row.values_by_column, dict):
        raise FieldError(row.path, 'is not an object')
    return WeightedService(
        read_field(row, 'Service', require_text),
        read_field(row, 'Weight', require_weight),
    )


def _decode_service(row: Row) -> ServiceConfig:
    return ServiceConfig(
        name=read_field(row, 'Name', require_text),
        health_path=read_field(row, 'HealthPath', require_text),
        max_connections=read_field(row, 'MaxConnections', require_count),
        warmup_s=read_optional(row, 'Warmup', parse_duration, NO_WARMUP),
        warmup_requests_per_s=read_optional(
            row, 'WarmupPerS', require_weight, NO_WARMUP
        ),
    )


def _decode_limits(document: Row) -> ClientLimits:
    defaults = ClientLimits()
    limits = Row(
        'Limits', read_optional(document, 'Limits', require_object, {})
    )
    return ClientLimits(
        header_bytes=read_optional(
            limits, 'MaxHeaderBytes', require_count, defaults.header_bytes
        ),
        body_bytes=read_optional(
            limits, 'MaxBodyBytes', require_count, defaults.body_bytes
        ),
        header_s=read_optional(
            limits, 'HeaderTimeout', parse_duration, defaults.header_s
        ),
        idle_s=read_optional(
            limits, 'IdleTimeout', parse_duration, defaults.idle_s
        ),
    )


def _parse_version(raw: object) -> int:
    text = require_text(raw)
    if len(text) > MAX_VERSION_DIGITS:
        raise ValueError(f'{shorten(text)} is too long')
    return int(text, 16)


def _parse_kind(raw: object) -> RetryPolicy:
    policy = RETRY_POLICY_BY_KIND.get(require_text(raw))
    if policy is None:
        known = ', '.join(sorted(RETRY_POLICY_BY_KIND))
        raise ValueError(f'{shorten(raw)} is not one of {known}')
    return policy


def _parse_priority(raw: object) -> int:
    """Return a priority; one of another type only affects the order."""
    return raw if isinstance(raw, int) else DEFAULT_PRIORITY


def _require_flag(raw: object) -> bool:
    if not isinstance(raw, bool):
        raise TypeError(f'{shorten(raw)} is not true or false')
    return raw
