"""Headers of a client's request: its timeout, and those that are passed on."""

from typing import Final

from twisted.web.http_headers import Headers

from marjoramlead.client_accounts import AUTHORIZATION, ClientAccount
from marjoramlead.events import emit
from marjoramlead.header_names import HeaderNames
from marjoramlead.headers import (
    HOP_BY_HOP,
    first_value,
    is_mesh_header,
    parse_number,
)
from marjoramlead.routes import RoutingTable
from marjoramlead.upstream import HeaderList

__all__ = ('client_timeout_s', 'forwarded_headers')

MS_PER_SECOND: Final = 1000
# Timeout of a request without a valid ``HeaderNames.wait_ms`` header.
DEFAULT_TIMEOUT_S: Final = 30.0


def client_timeout_s(headers: Headers, name: bytes) -> float:
    """Return how long the client waits for its answer, by a header."""
    raw = first_value(headers, name)
    if not raw:
        return DEFAULT_TIMEOUT_S
    timeout_s = parse_number(raw)
    if timeout_s is None:
        emit('bad_wait', value=raw)
        return DEFAULT_TIMEOUT_S
    return timeout_s / MS_PER_SECOND


def forwarded_headers(
    header_names: HeaderNames,
    headers: Headers,
    table: RoutingTable | None,
    account: ClientAccount | None,
) -> HeaderList:
    """Return the client's headers, without those that nodes set or consume.

    With client accounts, the account's name replaces the key, whatever the
    client has sent; a request without an account has neither.
    """
    dropped = {
        *HOP_BY_HOP - {b'host'},
        header_names.wait_ms,
        header_names.expected_target,
        header_names.caller_service,
        *_connection_options(headers),
    }
    has_accounts = table is not None and table.accounts is not None
    if has_accounts or account is not None:
        dropped |= {AUTHORIZATION, header_names.account}
    forwarded = [
        (name, raw)
        for name, values in headers.getAllRawHeaders()
        for raw in values
        if name.lower() not in dropped
        and not _is_internal_header(name, header_names)
    ]
    if account is not None:
        forwarded.append((header_names.account, account.name.encode()))
    return forwarded


def _is_internal_header(name: bytes, header_names: HeaderNames) -> bool:
    return is_mesh_header(name) and name.lower() != header_names.request_id


def _connection_options(headers: Headers) -> set[bytes]:
    raw = headers.getRawHeaders(b'connection')
    words = raw[0].split(b',') if raw else []
    return {word.strip().lower() for word in words}
