"""Decode the platform's routing configuration.

One value that the node does not know refuses the whole table. A table without
that route would answer 404 to requests that the operators allow.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from reprlib import repr as shorten
from typing import Any, Final, NamedTuple, TypeVar, cast

import msgspec

from marjoramlead.errors import DECODING_ERRORS
from marjoramlead.mesh_entries import RefusedRouting
from marjoramlead.platform.fields import (
    parse_duration,
    require_count,
    require_text,
    require_weight,
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

Value = TypeVar('Value')


class _FieldError(Exception):
    """Raised if a field of the configuration cannot be used."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f'{path}: {reason}')
        self.path = path
        self.reason = reason


class _Row(NamedTuple):
    """A row of a table in the document, with its location for messages."""

    path: str
    values_by_column: Mapping[str, Any]


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
DOCUMENT_FIELDS: Final = ('Version', 'Services', 'Limits')
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
        version = _read(document, 'Version', _parse_version)
        return _decode_table(cache, version, document, routes)
    except _FieldError as exc:
        return RefusedRouting(version, exc.path, exc.reason)


def _decode_fields(encoded: Mapping[str, msgspec.Raw]) -> _Row:
    """Decode the fields in use, except the routes, which have a cache."""
    fields = {
        name: msgspec.json.decode(encoded[name])
        for name in DOCUMENT_FIELDS
        if name in encoded
    }
    return _Row('', fields)


def _decode_table(
    cache: RouteCache,
    version: int,
    document: _Row,
    encoded_routes: msgspec.Raw,
) -> RoutingTable:
    routes = _decode_routes(cache, encoded_routes)
    services = list(map(_decode_service, _read_rows(document, 'Services')))
    return RoutingTable(
        version=version,
        routes={(route.host, route.prefix): route for route in routes},
        services={cfg.name: cfg for cfg in services},
        limits=_decode_limits(document),
        max_prefix=max((len(route.prefix) for route in routes), default=0),
    )


def _decode_routes(cache: RouteCache, encoded: msgspec.Raw) -> list[Route]:
    """Decode the routes whose rows are not those of the last version."""
    try:
        columns, rows = _split_rows(encoded)
    except DECODING_ERRORS as exc:
        raise _FieldError('Routes', str(exc)) from exc
    known = cache.by_row if cache.columns == columns else {}
    by_row: dict[bytes, Route] = {}
    for index, raw in enumerate(rows):
        row = bytes(raw)
        by_row[row] = known.get(row) or _decode_route(
            _make_row('Routes', index, columns, _decode_cells(index, row))
        )
    cache.columns = columns
    cache.by_row = by_row
    return list(by_row.values())


def _decode_cells(index: int, row: bytes) -> Any:
    try:
        return msgspec.json.decode(row)
    except DECODING_ERRORS as exc:
        raise _FieldError(f'Routes.Rows[{index}]', str(exc)) from exc


def _split_rows(encoded: msgspec.Raw) -> tuple[list[str], list[msgspec.Raw]]:
    table = OBJECT_DECODER.decode(encoded)
    columns = COLUMNS_DECODER.decode(table.get('Columns', NULL))
    return columns, ROWS_DECODER.decode(table.get('Rows', NULL))


def _read(row: _Row, column: str, parse: Callable[[object], Value]) -> Value:
    """Return the parsed value of a field, which must be present."""
    raw = row.values_by_column.get(column)
    path = f'{row.path}.{column}' if row.path else column
    if raw is None:
        raise _FieldError(path, 'is missing')
    try:
        return parse(raw)
    except (TypeError, ValueError) as exc:
        raise _FieldError(path, str(exc)) from exc


def _read_optional(
    row: _Row, column: str, parse: Callable[[object], Value], default: Value
) -> Value:
    """Return the parsed value of a field; the default if it is omitted."""
    if not row.values_by_column.get(column):
        return default
    return _read(row, column, parse)


def _read_rows(document: _Row, name: str) -> list[_Row]:
    """Return the rows of a table that is encoded as columns and rows."""
    table = _Row(name, _read(document, name, _require_object))
    columns = _read(table, 'Columns', _require_list)
    return [
        _make_row(name, index, columns, raw)
        for index, raw in enumerate(_read(table, 'Rows', _require_list))
    ]


def _make_row(table: str, index: int, columns: list[str], raw: object) -> _Row:
    if not isinstance(raw, list):
        raise _FieldError(f'{table}[{index}]', 'is not a list')
    by_column = dict(zip(columns, raw, strict=False))
    label = by_column.get('Name') or index
    return _Row(f'{table}[{label}]', by_column)


def _decode_route(row: _Row) -> Route:
    timeout = _read(row, 'Timeout', parse_duration)
    return Route(
        name=_read(row, 'Name', require_text),
        host=_read(row, 'Host', require_text),
        prefix=_read(row, 'PathPrefix', require_text),
        retry_policy=_read(row, 'Kind', _parse_kind),
        weighted_services=_decode_services_of_route(row),
        timeout=timeout,
        latency_objective=_read_optional(
            row, 'TargetLatency', parse_duration, timeout
        ),
        attempts=_read_optional(
            row, 'MaxAttempts', require_count, DEFAULT_ATTEMPTS
        ),
        priority=_parse_priority(row.values_by_column.get('Priority')),
    )


def _decode_services_of_route(row: _Row) -> tuple[WeightedService, ...]:
    split: list[Any] = _read_optional(
        row, 'WeightedServices', _require_list, []
    )
    if not split:
        service = _read(row, 'Service', require_text)
        return (WeightedService(service, 1),)
    return tuple(
        _decode_weighted_service(
            _Row(f'{row.path}.WeightedServices[{index}]', raw)
        )
        for index, raw in enumerate(split)
    )


def _decode_weighted_service(row: _Row) -> WeightedService:
    if not isinstance(row.values_by_column, dict):
        raise _FieldError(row.path, 'is not an object')
    return WeightedService(
        _read(row, 'Service', require_text),
        _read(row, 'Weight', require_weight),
    )


def _decode_service(row: _Row) -> ServiceConfig:
    return ServiceConfig(
        name=_read(row, 'Name', require_text),
        health_path=_read(row, 'HealthPath', require_text),
        max_connections=_read(row, 'MaxConnections', require_count),
        warmup_s=_read_optional(row, 'Warmup', parse_duration, NO_WARMUP),
        warmup_requests_per_s=_read_optional(
            row, 'WarmupPerS', require_weight, NO_WARMUP
        ),
    )


def _decode_limits(document: _Row) -> ClientLimits:
    defaults = ClientLimits()
    limits = _Row(
        'Limits', _read_optional(document, 'Limits', _require_object, {})
    )
    return ClientLimits(
        header_bytes=_read_optional(
            limits, 'MaxHeaderBytes', require_count, defaults.header_bytes
        ),
        body_bytes=_read_optional(
            limits, 'MaxBodyBytes', require_count, defaults.body_bytes
        ),
        header_s=_read_optional(
            limits, 'HeaderTimeout', parse_duration, defaults.header_s
        ),
        idle_s=_read_optional(
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


def _require_object(raw: object) -> Mapping[str, Any]:
    if not isinstance(raw, dict):
        raise TypeError(f'{shorten(raw)} is not an object')
    return cast(Mapping[str, Any], raw)


def _require_list(raw: object) -> list[Any]:
    if not isinstance(raw, list):
        raise TypeError(f'{shorten(raw)} is not a list')
    return raw
