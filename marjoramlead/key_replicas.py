"""Who remembers an idempotency key, and when a request may run under it.

The replicas of a key are the first hosts of its service by rendezvous hashing
over the host list, whether these take work or not. A request with a key runs
only after a majority of the replicas has granted the key to it. Two
majorities share a replica, so a key is granted once, whatever is cut off.

A replica that may have forgotten the key does not vote: one that was not a
replica of the key under each host list that it has had within the contract's
key memory. A host that has just started had none, so it does not vote either.
What it has recorded itself it knows all the same.
"""

from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

__all__ = (
    'ClaimOutcome',
    'KeyLedger',
    'Vote',
    'count_votes',
    'release_key',
    'replicas_of',
    'update_hosts',
    'vote_on_claim',
)

REPLICA_COUNT: Final = 3
MAX_RECORDED_KEYS: Final = 100_000
MAX_KEY_MEMORY_S: Final = 3600.0


class Vote(StrEnum):
    """What a replica says to a claim."""

    GRANTED = 'granted'
    HELD = 'held'
    UNKNOWN = 'unknown'


class ClaimOutcome(StrEnum):
    """What the votes so far amount to."""

    GRANTED = 'granted'
    HELD = 'held'
    NO_MAJORITY = 'no_majority'
    UNDECIDED = 'undecided'


class ReplacedHostList(NamedTuple):
    """A list of the service's hosts that has been replaced."""

    hosts: tuple[str, ...]
    replaced_at: float


@dataclass(slots=True)
class KeyLedger:
    """The keys that one host keeps.

    Attributes
    ----------
    host
        Its name.
    holders
        By key: the request that it was granted to, and until when that is
        remembered.
    hosts
        The service's hosts, as listed now.
    earlier_lists
        Earlier lists, as far back as a key may be remembered. The first of
        them is empty: a host that has just started kept no keys.
    """

    host: str
    holders: OrderedDict[str, tuple[str, float]] = field(
        default_factory=OrderedDict,
    )
    hosts: tuple[str, ...] = ()
    earlier_lists: list[ReplacedHostList] = field(default_factory=list)


def replicas_of(hosts: Collection[str], key: str) -> list[str]:
    """Name the hosts that remember a key."""
    order = sorted(hosts, key=lambda host: -_rendezvous_score(host, key))
    return order[:REPLICA_COUNT]


def update_hosts(
    ledger: KeyLedger,
    hosts: tuple[str, ...],
    now: float,
) -> None:
    """Note a change of the list of the service's hosts."""
    if hosts == ledger.hosts:
        return
    ledger.earlier_lists.append(ReplacedHostList(ledger.hosts, now))
    ledger.hosts = hosts
    ledger.earlier_lists = [
        each
        for each in ledger.earlier_lists
        if each.replaced_at + MAX_KEY_MEMORY_S > now
    ]


def vote_on_claim(
    ledger: KeyLedger,
    key: str,
    holder: str,
    now: float,
    memory_s: float,
) -> Vote:
    """Answer a claim, and record it if the key is free.

    Parameters
    ----------
    ledger
        Of the replica.
    key
        That is claimed.
    holder
        The request that claims it.
    now
        Seconds on the monotonic clock.
    memory_s
        Seconds for which the contract wants keys to be remembered.
    """
    _remove_expired(ledger, now)
    held = ledger.holders.get(key)
    if held is not None and held[0] != holder:
        return Vote.HELD
    if held is None and len(ledger.holders) >= MAX_RECORDED_KEYS:
        return Vote.UNKNOWN
    ledger.holders[key] = (holder, now + memory_s)
    ledger.holders.move_to_end(key)
    return (
        Vote.GRANTED
        if _was_replica_throughout(ledger, key, now, memory_s)
        else Vote.UNKNOWN
    )


def release_key(ledger: KeyLedger, key: str, holder: str) -> None:
    """Free a key whose request has not run and never will."""
    held = ledger.holders.get(key)
    if held is not None and held[0] == holder:
        ledger.holders.pop(key)


def count_votes(votes: Sequence[Vote | None], replicas: int) -> ClaimOutcome:
    """Sum up the votes that have come in so far.

    Parameters
    ----------
    votes
        One for each replica that answered; None for one that did not.
    replicas
        How many there are.
    """
    if Vote.HELD in votes:
        return ClaimOutcome.HELD
    majority = replicas // 2 + 1
    granted = votes.count(Vote.GRANTED)
    if granted >= majority:
        return ClaimOutcome.GRANTED
    left = replicas - len(votes)
    return (
        ClaimOutcome.UNDECIDED
        if granted + left >= majority
        else ClaimOutcome.NO_MAJORITY
    )


def _was_replica_throughout(
    ledger: KeyLedger,
    key: str,
    now: float,
    memory_s: float,
) -> bool:
    recent = [
        each.hosts
        for each in ledger.earlier_lists
        if each.replaced_at + memory_s > now
    ]
    return all(
        ledger.host in replicas_of(listed, key)
        for listed in (*recent, ledger.hosts)
    )


def _remove_expired(ledger: KeyLedger, now: float) -> None:
    while ledger.holders:
        oldest = next(iter(ledger.holders))
        if ledger.holders[oldest][1] > now:
            return
        ledger.holders.pop(oldest)


def _rendezvous_score(host: str, key: str) -> int:
    return xxh3_64_intdigest(f'{key}/{host}'.encode())
