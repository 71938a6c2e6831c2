"""Decode the client accounts of the platform's routing configuration.

Errors show no value of the table, which may be an API key in another column.
"""

from typing import Final

from marjoramlead.client_accounts import (
    AccountTable,
    ClientAccount,
    build_account_table,
)
from marjoramlead.platform.fields import require_weight
from marjoramlead.platform.rows import (
    FieldError,
    Row,
    read_field,
    read_optional,
    read_rows,
)

__all__ = ('decode_accounts',)

NO_LIMIT: Final[float] = 0


def decode_accounts(document: Row) -> AccountTable | None:
    """Decode the accounts; None if requests need no API key."""
    if document.values_by_column.get('Tenants') is None:
        return None
    accounts = list(map(_decode_account, read_rows(document, 'Tenants')))
    try:
        return build_account_table(accounts)
    except ValueError as exc:
        raise FieldError('Tenants', str(exc)) from exc


def _decode_account(row: Row) -> tuple[ClientAccount, list[str]]:
    priority = row.values_by_column.get('Priority')
    account = ClientAccount(
        name=read_field(row, 'Name', _require_header_text),
        priority=priority if isinstance(priority, int) else None,
        rate_per_s=read_optional(row, 'RatePerS', _require_limit, NO_LIMIT),
        burst=read_optional(row, 'Burst', _require_limit, NO_LIMIT),
    )
    return account, read_optional(row, 'ApiKeys', _require_keys, [])


def _require_header_text(raw: object) -> str:
    """Return a text that may be the value of a header."""
    if not isinstance(raw, str):
        raise TypeError(f'a {type(raw).__name__} is not a text')
    if not raw or not raw.isprintable() or raw.strip() != raw:
        raise ValueError('cannot be the value of a header')
    return raw


def _require_limit(raw: object) -> float:
    try:
        return require_weight(raw)
    except (TypeError, ValueError):
        problem = f'this {type(raw).__name__} is not a number from 0 on'
    raise ValueError(problem)


def _require_keys(raw: object) -> list[str]:
    """Return the keys of an account; the error does not show them."""
    keys = raw if isinstance(raw, list) else ['']
    if not all(isinstance(key, str) and key for key in keys):
        raise TypeError('is not a list of texts')
    return keys
