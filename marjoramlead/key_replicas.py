"""Replicated records of idempotency keys, and voting on claims to a key.

The replicas of a key are the hosts of its service that rank first in
rendezvous hashing over the host list, whether or not they accept requests. A
request with a key runs only after a majority of the replicas has granted it
the key. Any two majorities share a replica, so a key is granted to only one
request, even during a network partition.

A replica grants a key only if it was a replica of the key under every host
list that it has used within the contract's key memory; otherwise it may lack
the record of an earlier grant. A host that started recently had no host list
before, so it does not grant keys either. Any replica refuses a key that it has
recorded for another request.
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
    """A replica's answer to a claim.

    Attributes
    ----------
    GRANTED
        The key is recorded for the claiming request.
    HELD
        Another request holds the key.
    UNKNOWN
        The replica may lack a record of an earlier grant, or cannot record
        another key.
    """

    GRANTED = 'granted'
    HELD = 'held'
    UNKNOWN = 'unknown'


class ClaimOutcome(StrEnum):
    """Result of a claim according to the votes received so far.

    Attributes
    ----------
    HELD
        A replica answered that another request holds the key.
    NO_MAJORITY
        The remaining votes can no longer make a majority.
    UNDECIDED
        More votes are needed.
    """

    GRANTED = 'granted'
    HELD = 'held'
    NO_MAJORITY = 'no_majority'
    UNDECIDED = 'undecided'


class ReplacedHostList(NamedTuple):
    """An earlier list of the service's hosts, and when it was replaced."""

    hosts: tuple[str, ...]
    replaced_at: float


@dataclass(slots=True)
class KeyLedger:
    """Idempotency keys recorded at one host.

    Attributes
    ----------
    host
        Name of this host.
    holders
        For each key, the request that holds it and when the record expires.
    hosts
        Hosts of the service according to the current list.
    earlier_lists
        Host lists replaced within the last ``MAX_KEY_MEMORY_S`` seconds,
        oldest first. The first list after a start is empty, so the host
        grants no key for one key memory after that list was replaced.
    """

    host: str
    holders: OrderedDict[str, tuple[str, float]] = field(
        default_factory=OrderedDict,
    )
    hosts: tuple[str, ...] = ()
    earlier_lists: list[ReplacedHostList] = field(default_factory=list)


def replicas_of(hosts: Collection[str], key: str) -> list[str]:
    """Return the names of the hosts that keep the record of a key."""
    order = sorted(hosts, key=lambda host: -_rendezvous_score(host, key))
    return order[:REPLICA_COUNT]


def update_hosts(
    ledger: KeyLedger,
    hosts: tuple[str, ...],
    now: float,
) -> None:
    """Replace the list of the service's hosts if it changed."""
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
    key_memory_s: float,
) -> Vote:
    """Vote on a claim, and record the holder if the key is free.

    Parameters
    ----------
    ledger
        Records of this replica.
    key
        The claimed key.
    holder
        The request that claims the key.
    now
        Seconds on the node's monotonic clock.
    key_memory_s
        Seconds for which the contract requires a key to be remembered.
    """
    _remove_expired(ledger, now)
    held = ledger.holders.get(key)
    if held is not None and held[0] != holder:
        return Vote.HELD
    if held is None and len(ledger.holders) >= MAX_RECORDED_KEYS:
        return Vote.UNKNOWN
    ledger.holders[key] = (holder, now + key_memory_s)
    ledger.holders.move_to_end(key)
    return (
        Vote.GRANTED
        if _was_replica_throughout(ledger, key, now, key_memory_s)
        else Vote.UNKNOWN
    )


def release_key(ledger: KeyLedger, key: str, holder: str) -> None:
    """Remove the record of a key if the given request holds it.

    Call this only for a request that has not run and will not run.
    """
    held = ledger.holders.get(key)
    if held is not None and held[0] == holder:
        ledger.holders.pop(key)


def count_votes(votes: Sequence[Vote | None], replicas: int) -> ClaimOutcome:
    """Determine the outcome of a claim from the votes received so far.

    Parameters
    ----------
    votes
        A vote for each replica that answered, and None for each that failed
        to answer.
    replicas
        Number of replicas of the key.
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
    key_memory_s: float,
) -> bool:
    recent = [
        each.hosts
        for each in ledger.earlier_lists
        if each.replaced_at + key_memory_s > now
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
