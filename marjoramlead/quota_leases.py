"""Tokens of client accounts that a node has leased, and whom it asks for more.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from marjoramlead.client_accounts import ClientAccount
from marjoramlead.queue_statistics import TIME_CONSTANT_S, DecayingCount
from marjoramlead.quota_plan import MIN_WAIT_S, Asked, Grant
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'AccountLeases',
    'add_grant',
    'count_request',
    'expected_tokens',
    'leases_of',
    'next_holder',
    'no_token_refusal',
    'put_back',
    'take_token',
)

# Time for which a node asks for tokens in advance.
AHEAD_S: Final = 0.5


class _Lease(NamedTuple):
    expires_at: float
    tokens: int


@dataclass(slots=True)
class AccountLeases:
    """What this node has leased of one account.

    Attributes
    ----------
    account
        Account as it was when the tokens were leased.
    leases
        Leased tokens with their deadlines.
    needed
        Requests that wait for a token.
    demand
        Decayed count of the account's requests.
    ask_again_at
        Times before which holders are not asked, because they had no tokens.
    refused
        Number of refused requests.
    """

    account: ClientAccount
    leases: list[_Lease] = field(default_factory=list)
    needed: int = 0
    demand: DecayingCount = field(default_factory=DecayingCount)
    ask_again_at: dict[str, float] = field(default_factory=dict)
    refused: int = 0


def leases_of(
    by_name: dict[str, AccountLeases], account: ClientAccount
) -> AccountLeases:
    """Return the leases of an account, without those under other limits."""
    state = by_name.get(account.name)
    if state is None:
        state = AccountLeases(account)
        by_name[account.name] = state
    elif state.account != account:
        state.account = account
        state.leases.clear()
        state.ask_again_at.clear()
    return state


def count_request(state: AccountLeases, now: float) -> None:
    """Count a request of the account."""
    state.demand.add(1, now)


def expected_tokens(state: AccountLeases, now: float) -> int:
    """Return how many tokens will be needed soon, beside those needed now."""
    expected = state.demand.value_at(now) / TIME_CONSTANT_S * AHEAD_S
    return max(0, ceil(expected) - state.needed)


def take_token(state: AccountLeases, now: float) -> float | None:
    """Take the token that expires first; return its deadline."""
    state.leases = sorted(
        each for each in state.leases if each.expires_at > now
    )
    if not state.leases:
        return None
    lease = state.leases.pop(0)
    if lease.tokens > 1:
        state.leases.append(lease._replace(tokens=lease.tokens - 1))
    return lease.expires_at


def put_back(state: AccountLeases, expires_at: float) -> None:
    """Put back the token of a request that has not run."""
    state.leases.append(_Lease(expires_at, 1))


def add_grant(
    state: AccountLeases, holder: str, asked: Asked, grant: Grant, now: float
) -> None:
    """Add the tokens that a holder has granted.

    The lease counts from when the holder was asked, so that it ends no later
    than by the holder's clock.
    """
    if grant.tokens:
        state.leases.append(_Lease(asked.at + grant.lease_s, grant.tokens))
    if grant.tokens < asked.needed:
        wait_s = max(MIN_WAIT_S, grant.wait_s)
        state.ask_again_at[holder] = now + wait_s


def next_holder(
    state: AccountLeases,
    holders: Iterable[str],
    own_host: str,
    avoided_until: dict[str, float],
    now: float,
) -> str | None:
    """Return the holder to ask next, or None if it is of no use to ask.

    A node first asks itself. Otherwise, the nodes begin with different holders.
    """
    usable = [
        host
        for host in holders
        if max(avoided_until.get(host, 0), state.ask_again_at.get(host, 0))
        <= now
    ]
    return min(
        usable,
        key=lambda host: (
            host != own_host,
            xxh3_64_intdigest(f'{own_host}/{host}'.encode()),
        ),
        default=None,
    )


def no_token_refusal(
    state: AccountLeases,
    holders: Iterable[str],
    now: float,
    started_at: float | None = None,
) -> Refusal:
    """Return the refusal of a request for which there is no token.

    Unless a holder has answered that it has none, nobody knows whether the
    quota is used up. An answer counts if it held as the request arrived at
    ``started_at`` (by default, now) or came later.
    """
    since = now if started_at is None else started_at
    waits = [
        state.ask_again_at[host] - now
        for host in holders
        if state.ask_again_at.get(host, 0) > since
    ]
    state.refused += 1
    if waits:
        return Refusal(Reason.QUOTA, Verdict.NOT_RUN, max(0.001, min(waits)))
    return Refusal(Reason.QUOTA_UNKNOWN, Verdict.NOT_RUN, MIN_WAIT_S)
