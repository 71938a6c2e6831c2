"""Keep client accounts from being starved at a target.

While a target is overloaded, requests go by priority, and an account that comes
after others could get nothing for as long as that lasts. An account that is
served much less often than all accounts together therefore goes before all
others until it has caught up.

Small accounts send a target one request in several seconds, so these counts
decay more slowly than the other statistics of a queue. This module does no I/O.
Times are in seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from typing import Final

from marjoramlead.queue_statistics import (
    HALF_LIFE_S,
    DecayingCount,
    Rank,
)

__all__ = (
    'AccountShares',
    'fair_rank',
    'is_starved',
    'record_account_arrival',
    'record_account_start',
    'undo_account_arrival',
)

# Half-life of the counts.
ACCOUNT_HALF_LIFE_S: Final = 15.0
# An account that is served less often than this share of the rate at which all
# are goes before others. The platform's limit is a quarter; some started
# requests are not answered, and the counts lag.
STARVED_SHARE: Final = 0.6
# Requests, served as often as those of all accounts, that are added to those of
# each account, so that chance does not make small accounts look starved.
PRIOR_REQUESTS: Final = 2.0
URGENT_PRIORITY: Final = -1
# The accounts whose counts are the oldest are dropped beyond this number.
MAX_ACCOUNTS: Final = 1000
ALL: Final = ''


@dataclass(slots=True)
class AccountShares:
    """Recent requests of each account at a target.

    Attributes
    ----------
    arrivals, starts
        Decayed counts of requests that arrived and that started, by account;
        those of all accounts under an empty name.
    """

    arrivals: dict[str, DecayingCount] = field(default_factory=dict)
    starts: dict[str, DecayingCount] = field(default_factory=dict)


def record_account_arrival(
    shares: AccountShares, account: str, now: float
) -> None:
    """Count an arrived request, if it belongs to an account."""
    _count(shares.arrivals, account, 1, now)


def record_account_start(
    shares: AccountShares, account: str, now: float, count: int = 1
) -> None:
    """Count a started request; -1 if it has yet to start after all."""
    _count(shares.starts, account, count, now)


def undo_account_arrival(
    shares: AccountShares, account: str, arrived_at: float, now: float
) -> None:
    """Undo the count of a request that its client has withdrawn.

    What remains of it by now is taken back, so that no count becomes negative.
    """
    if not account:
        return
    left = DecayingCount(1, _slowed(arrived_at)).value_at(_slowed(now))
    for name in (account, ALL):
        counted = _value(shares.arrivals, name, now)
        if counted:
            shares.arrivals[name].add(-min(left, counted), _slowed(now))


def is_starved(shares: AccountShares, account: str, now: float) -> bool:
    """Return whether an account is served much less often than all."""
    share_of_all = _served_share(shares, ALL, 1, now)
    share = _served_share(shares, account, share_of_all, now)
    return share < STARVED_SHARE * share_of_all


def fair_rank(
    shares: AccountShares, account: str, rank: Rank, now: float
) -> Rank:
    """Return the rank of a request, before others if its account is starved.

    Requests that can no longer meet their objective stay behind the others,
    and calls of running requests, which belong to no account, keep their rank.
    """
    if account and is_starved(shares, account, now):
        return rank._replace(priority=URGENT_PRIORITY)
    return rank


def _served_share(
    shares: AccountShares, account: str, prior_share: float, now: float
) -> float:
    arrivals = _value(shares.arrivals, account, now) + PRIOR_REQUESTS
    starts = _value(shares.starts, account, now)
    return (starts + PRIOR_REQUESTS * prior_share) / arrivals


def _count(
    counts: dict[str, DecayingCount], account: str, count: int, now: float
) -> None:
    if not account:
        return
    for name in (account, ALL):
        counts.setdefault(name, DecayingCount()).add(count, _slowed(now))
    if len(counts) > MAX_ACCOUNTS:
        oldest = min(counts, key=lambda each: counts[each].updated_at)
        counts.pop(oldest)


def _value(counts: dict[str, DecayingCount], account: str, now: float) -> float:
    counted = counts.get(account)
    return counted.value_at(_slowed(now)) if counted else 0


def _slowed(now: float) -> float:
    return now * HALF_LIFE_S / ACCOUNT_HALF_LIFE_S
