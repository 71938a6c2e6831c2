"""Divide the quota of a client account among the nodes that grant it.

Each account has a few holders: nodes that each own an equal share of its quota
as a token bucket. Every other node leases tokens from them for a short time.
What all nodes together let run is bounded whatever happens to the nodes and
the links between them, because a token exists once.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from collections import deque
from dataclasses import dataclass, field
from functools import lru_cache
from heapq import nlargest
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from marjoramlead.client_accounts import ClientAccount

__all__ = (
    'HOLDERS',
    'Asked',
    'Grant',
    'HolderState',
    'QuotaBounds',
    'QuotaPlan',
    'choose_holders',
    'grant_tokens',
    'note_hosts',
    'plan_quota',
)

# With one of three holders lost, two thirds of the quota are left, which is
# more than accounts commonly use.
HOLDERS: Final = 3
# Seconds of the rate that the holders save together, at least.
MIN_SAVED_S: Final = 0.25
# Shares of the tolerance: what leases may use up, and what is left unused. The
# rest lets accounts use more at once, as requests come at random.
LEASED_SHARE: Final = 0.5
UNUSED_SHARE: Final = 0.05
MIN_LEASE_S: Final = 0.2
MAX_LEASE_S: Final = 4.0
# Share of the tokens that is left after an urgent need of which one node may
# lease more, for what it expects to need.
EXTRA_SHARE: Final = 0.25
# Bounds of the time after which a node without tokens asks again.
MIN_WAIT_S: Final = 0.25
MAX_WAIT_S: Final = 1.0
# Time that a new holder waits beyond the time for which a former one may grant
# tokens without knowing of it.
HANDOVER_MARGIN_S: Final = 0.5
# The same where nodes that are out of touch grant tokens without limit in time.
UNBOUNDED_HANDOVER_S: Final = 2.0
CACHED_CHOICES: Final = 2000


class QuotaBounds(NamedTuple):
    """What may run of an account in any window, by its limit for the window.

    Attributes
    ----------
    window_s
        Length of the windows.
    over, slack
        Share of the limit, and number of requests, that are tolerated above.
    """

    window_s: float = 5
    over: float = 0
    slack: float = 0


class QuotaPlan(NamedTuple):
    """How the holders of an account grant tokens.

    In any window, at most ``rate_per_s * (window_s + lease_s) + capacity``
    tokens are used, since a token is used within ``lease_s`` of its grant.

    Attributes
    ----------
    rate_per_s, capacity
        Rate and size of the token buckets of all holders together.
    lease_s
        Time for which a granted token may be used.
    """

    rate_per_s: float
    capacity: float
    lease_s: float


class Asked(NamedTuple):
    """Question of a node for tokens.

    Attributes
    ----------
    needed
        Tokens for requests that wait.
    expected
        Tokens for requests that are expected soon.
    at
        When the node asked, on its own clock.
    """

    needed: int
    expected: int
    at: float = 0


class Grant(NamedTuple):
    """Answer of a holder.

    Attributes
    ----------
    tokens
        Tokens that may be used.
    lease_s
        Time for which they may be used, from when they were asked for.
    wait_s
        Time after which it is worth while to ask again.
    """

    tokens: int
    lease_s: float
    wait_s: float


@dataclass(slots=True)
class _Bucket:
    plan: QuotaPlan
    tokens: float
    updated_at: float


_View = tuple[float, frozenset[str]]


@dataclass(slots=True)
class HolderState:
    """Buckets of the accounts that this node holds.

    Attributes
    ----------
    own_host
        Name of this node among the hosts.
    max_age_s
        Age of the mesh state from which on nothing is granted.
    views
        Sets of hosts, each with the time since when it was known; the last is
        the current one.
    started_at
        When the first set of hosts became known. It is taken to be in force for
        long.
    """

    own_host: str
    max_age_s: float = float('inf')
    buckets: dict[str, _Bucket] = field(default_factory=dict)
    views: deque[_View] = field(default_factory=deque)
    started_at: float = 0


def plan_quota(account: ClientAccount, bounds: QuotaBounds) -> QuotaPlan:
    """Return how the tokens of an account with a quota are granted.

    The tolerance pays for leases that end after the window in which their
    tokens were saved, and for larger buckets; without any, the rate is lower
    than the account's.
    """
    rate, burst = account.rate_per_s, account.burst
    limit = rate * bounds.window_s + burst
    spare = limit * bounds.over + bounds.slack
    lease_s = min(MAX_LEASE_S, max(MIN_LEASE_S, LEASED_SHARE * spare / rate))
    used_s = bounds.window_s + lease_s
    left = limit + (1 - UNUSED_SHARE) * spare - rate * used_s
    capacity = max(burst, MIN_SAVED_S * rate, HOLDERS, left)
    capacity = min(limit + spare, capacity)
    granted_rate = min(rate, (limit + spare - capacity) / used_s)
    return QuotaPlan(granted_rate, capacity, lease_s)


@lru_cache(maxsize=CACHED_CHOICES)
def choose_holders(name: str, hosts: frozenset[str]) -> tuple[str, ...]:
    """Return the holders of an account, the same on every node."""
    return tuple(
        nlargest(
            HOLDERS,
            hosts,
            key=lambda host: xxh3_64_intdigest(f'{name}/{host}'.encode()),
        )
    )


def note_hosts(state: HolderState, hosts: frozenset[str], now: float) -> None:
    """Note the hosts that are known now, if they have changed.

    The buckets of accounts that this node does not hold any more are dropped.
    """
    if state.views and state.views[-1][1] == hosts:
        return
    if not state.views:
        state.started_at = now
    state.views.append((now, hosts))
    lost = [
        name
        for name in state.buckets
        if state.own_host not in choose_holders(name, hosts)
    ]
    for name in lost:
        state.buckets.pop(name)
    settled_until = now - _handover(state)
    while len(state.views) > 1 and state.views[1][0] <= settled_until:
        state.views.popleft()


def grant_tokens(
    state: HolderState,
    account: ClientAccount,
    plan: QuotaPlan,
    asked: Asked,
    now: float,
) -> Grant:
    """Grant tokens of an account, if this node holds it.

    Parameters
    ----------
    state
        Buckets of this node.
    account
        Account that the tokens are for.
    plan
        Its current plan.
    asked
        What the other node needs.
    now
        Current time; the mesh state must have been confirmed within
        ``max_age_s``.
    """
    held_since = _held_since(state, account.name, now)
    if held_since is None:
        return Grant(0, 0, MAX_WAIT_S)
    bucket = _refill(state, account.name, plan, held_since, now)
    granted = min(asked.needed, int(bucket.tokens))
    left = bucket.tokens - granted
    granted += min(asked.expected, int(EXTRA_SHARE * left))
    bucket.tokens -= granted
    token_s = HOLDERS / plan.rate_per_s if plan.rate_per_s else MAX_WAIT_S
    wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, token_s))
    return Grant(granted, plan.lease_s, wait_s)


def _refill(
    state: HolderState,
    name: str,
    plan: QuotaPlan,
    held_since: float,
    now: float,
) -> _Bucket:
    bucket = state.buckets.get(name)
    if bucket is None:
        bucket = _Bucket(plan, 0, held_since)
        state.buckets[name] = bucket
    saved = (now - bucket.updated_at) * bucket.plan.rate_per_s / HOLDERS
    bucket.tokens = min(plan.capacity / HOLDERS, bucket.tokens + saved)
    bucket.updated_at = now
    bucket.plan = plan
    return bucket


def _held_since(state: HolderState, name: str, now: float) -> float | None:
    """Return since when this node may grant an account's tokens.

    It is None if the node is no holder, or has been one for less time than a
    former holder may go on without knowing.
    """
    since: float | None = None
    for known_at, hosts in state.views:
        if state.own_host not in choose_holders(name, hosts):
            since = None
        elif since is None:
            is_first = known_at == state.started_at
            since = known_at if is_first else known_at + _handover(state)
    return None if since is None or since > now else since


def _handover(state: HolderState) -> float:
    if state.max_age_s == float('inf'):
        return UNBOUNDED_HANDOVER_S
    return state.max_age_s + HANDOVER_MARGIN_S
