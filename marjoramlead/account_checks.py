"""Decide whether a client's request may run, by its API key.

A key that operators remove may not be honoured for longer than a bound. A node
that has not confirmed its accounts for most of that time therefore refuses all
requests with a key: it cannot know whether they are still allowed.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from typing import Final, NamedTuple

from twisted.web.http_headers import Headers

from marjoramlead.client_accounts import (
    AUTHORIZATION,
    ClientAccount,
    find_account,
    read_key,
)
from marjoramlead.mesh_state import MeshState, may_lack_routes
from marjoramlead.request_priority import DEFAULT_ACCOUNT_PRIORITY
from marjoramlead.routes import Route, RoutingTable
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'MAX_TABLE_AGE_S',
    'ClientAccount',
    'Revocation',
    'account_priority',
    'is_current',
    'resolve_account',
)

# A change takes effect within two seconds. A routing table that was last
# confirmed longer ago may lack routes and keys that other nodes already have,
# so unknown ones are refused with 503 instead of 404 and 401.
MAX_TABLE_AGE_S: Final = 2.0
# Seconds after which a client may find a node that knows the keys in force.
RETRY_AFTER_S: Final = 1.0


class Revocation(NamedTuple):
    """How soon a key that was removed is refused.

    Attributes
    ----------
    max_age_s
        Age of the last confirmation from which on requests with a key are
        refused; infinite if a node that is out of touch may honour old keys.
    """

    max_age_s: float = float('inf')


def is_current(mesh_state: MeshState, now: float) -> bool:
    """Return whether no newer routing table can be in force.

    One that this node cannot use is in force for others.
    """
    is_old = now > mesh_state.confirmed_at + MAX_TABLE_AGE_S
    is_refused = mesh_state.refused_routing is not None
    return not (is_old or is_refused or may_lack_routes(mesh_state, now))


def _may_be_revoked(
    mesh_state: MeshState, revocation: Revocation, now: float
) -> bool:
    """Return whether a key in force here may have been removed too long ago."""
    if revocation.max_age_s == float('inf'):
        return False
    is_too_old = now - mesh_state.confirmed_at > revocation.max_age_s
    return is_too_old or mesh_state.refused_routing is not None


def resolve_account(
    mesh_state: MeshState,
    route: Route,
    headers: Headers,
    now: float,
    revocation: Revocation,
    *,
    is_call: bool,
) -> ClientAccount | Refusal | None:
    """Return the account of a client's request, or why it must not run.

    Parameters
    ----------
    mesh_state
        What this node knows.
    route
        Route of the request.
    headers
        Headers of the request.
    now
        When the request was received.
    revocation
        How soon a key that was removed is refused.
    is_call
        Whether the request is named like the call of a running one, but this
        node runs none that it belongs to. Such calls carry no key, so that it
        is not the lack of one that they are refused for.

    Returns
    -------
    None if it belongs to no account: there are none, or its route is open and
    it has no key that is known to be in force.
    """
    table: RoutingTable | None = mesh_state.table
    if table is None or table.accounts is None:
        return None
    key = read_key(headers.getRawHeaders(AUTHORIZATION))
    account = find_account(table.accounts, key)
    may_be_revoked = _may_be_revoked(mesh_state, revocation, now)
    if route.is_open:
        return None if may_be_revoked else account
    if account is None:
        if is_call and not headers.hasHeader(AUTHORIZATION):
            return Refusal(Reason.CALLER_GONE, Verdict.NOT_RUN, 0)
        if is_current(mesh_state, now):
            return Refusal(Reason.NO_ACCOUNT, Verdict.NOT_RUN, 0)
        return Refusal(Reason.NOT_READY, Verdict.NOT_RUN, RETRY_AFTER_S)
    if may_be_revoked:
        return Refusal(Reason.NEWS_TOO_OLD, Verdict.NOT_RUN, RETRY_AFTER_S)
    return account


def account_priority(
    table: RoutingTable | None, account: ClientAccount | None
) -> int | None:
    """Return the priority of a request's account; None without accounts.

    A request without one is compared with those of accounts that have one.
    """
    if table is None or table.accounts is None:
        return None
    if account is None or account.priority is None:
        return DEFAULT_ACCOUNT_PRIORITY
    return account.priority
