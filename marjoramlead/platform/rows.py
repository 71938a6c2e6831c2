"""Rows and fields of the platform's configuration documents."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar, cast

__all__ = (
    'FieldError',
    'Row',
    'make_row',
    'read_field',
    'read_optional',
    'read_rows',
    'require_list',
    'require_object',
)

Value = TypeVar('Value')


class FieldError(Exception):
    """Raised if a field of the configuration cannot be used."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f'{path}: {reason}')
        self.path = path
        self.reason = reason


class Row(NamedTuple):
    """A row of a table in the document, with its location for messages."""

    path: str
    values_by_column: Mapping[str, Any]


def read_field(
    row: Row, column: str, parse: Callable[[object], Value]
) -> Value:
    """Return the parsed value of a field, which must be present."""
    raw = row.values_by_column.get(column)
    path = f'{row.path}.{column}' if row.path else column
    if raw is None:
        raise FieldError(path, 'is missing')
    try:
        return parse(raw)
    except (TypeError, ValueError) as exc:
        raise FieldError(path, str(exc)) from exc


def read_optional(
    row: Row, column: str, parse: Callable[[object], Value], default: Value
) -> Value:
    """Return the parsed value of a field; the default if it is omitted."""
    if not row.values_by_column.get(column):
        return default
    return read_field(row, column, parse)


def read_rows(document: Row, name: str) -> list[Row]:
    """Return the rows of a table that is encoded as columns and rows."""
    table = Row(name, read_field(document, name, require_object))
    columns = read_field(table, 'Columns', _require_columns)
    return [
        make_row(name, index, columns, raw)
        for index, raw in enumerate(read_field(table, 'Rows', require_list))
    ]


def make_row(table: str, index: int, columns: list[str], raw: object) -> Row:
    """Return a row of a table, with its location.

    It is named only by a text, as another value may be one of another column.
    """
    if not isinstance(raw, list):
        raise FieldError(f'{table}[{index}]', 'is not a list')
    by_column = dict(zip(columns, raw, strict=False))
    name = by_column.get('Name')
    label = name if name and isinstance(name, str) else index
    return Row(f'{table}[{label}]', by_column)


def require_object(raw: object) -> Mapping[str, Any]:
    """Return an object, or raise ``TypeError``, which does not show it."""
    if not isinstance(raw, dict):
        raise TypeError(f'a {type(raw).__name__} is not an object')
    return cast(Mapping[str, Any], raw)


def require_list(raw: object) -> list[Any]:
    """Return a list, or raise ``TypeError``, which does not show it."""
    if not isinstance(raw, list):
        raise TypeError(f'a {type(raw).__name__} is not a list')
    return raw


def _require_columns(raw: object) -> list[str]:
    columns = require_list(raw)
    if not all(isinstance(column, str) for column in columns):
        raise TypeError('is not a list of texts')
    return columns
