"""Recognise calls of running requests, and clients that return.

A target that runs a request may make calls of its own through the node beside
it. If such a call is refused, the work on the running request is lost.

A client that was refused may send its request again. Its latency objective
still counts from the first attempt, so the node remembers refused requests
until their deadline.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b
from heapq import heapify, heappop, heappush
from typing import Final, NamedTuple

__all__ = (
    'FirstAttempt',
    'Origin',
    'RefusedAttempts',
    'RequestKey',
    'find_first_attempt',
    'remember_refusal',
)

# Limit on the refused requests that are remembered.
MAX_REMEMBERED: Final = 2000
# Largest difference between the deadlines of two attempts of one client. Each
# deadline is the time left that the client states, counted from the arrival.
DEADLINE_TOLERANCE_S: Final = 0.1

# A longer key of a request is kept as its digest.
MAX_KEY_BYTES: Final = 512
DIGEST_BYTES: Final = 16

# Method, host name and URI, as sent by the client.
RequestKey = tuple[bytes, str, bytes]


class Origin(StrEnum):
    """Where a request of this host comes from."""

    CLIENT = 'client'
    RETURNING_CLIENT = 'returning_client'
    RUNNING_REQUEST = 'running_request'


class FirstAttempt(NamedTuple):
    """The first attempt of a client at a request, and when it may return.

    Attributes
    ----------
    deadline
        Time at which the client stops waiting.
    soft_deadline
        Latest time of an answer that meets the latency objective.
    return_at
        Time at which a target is prepared to serve the client; infinite if it
        was not refused by a target.
    """

    deadline: float
    soft_deadline: float
    return_at: float


@dataclass(slots=True)
class RefusedAttempts:
    """First attempts of refused clients.

    Attributes
    ----------
    by_key
        Attempts by request, the latest last; by a digest of a long key.
    deadlines
        Heap of the deadlines of attempts, with their requests. It may name
        requests that were dropped or refused once more.
    """

    by_key: OrderedDict[RequestKey, FirstAttempt] = field(
        default_factory=OrderedDict
    )
    deadlines: list[tuple[float, RequestKey]] = field(default_factory=list)


def remember_refusal(
    refused: RefusedAttempts,
    key: RequestKey,
    attempt: FirstAttempt,
    now: float,
) -> None:
    """Remember a refused attempt, and forget those past their deadlines.

    The oldest one over the limit is dropped.
    """
    _forget_expired(refused, now)
    if attempt.deadline <= now:
        return
    key = _bounded(key)
    refused.by_key[key] = attempt
    refused.by_key.move_to_end(key)
    if len(refused.by_key) > MAX_REMEMBERED:
        refused.by_key.popitem(last=False)
    heappush(refused.deadlines, (attempt.deadline, key))
    if len(refused.deadlines) > 2 * MAX_REMEMBERED:
        refused.deadlines = [
            (each.deadline, name) for name, each in refused.by_key.items()
        ]
        heapify(refused.deadlines)


def find_first_attempt(
    refused: RefusedAttempts, key: RequestKey, deadline: float
) -> FirstAttempt | None:
    """Return the first attempt of a client that was refused before.

    Parameters
    ----------
    refused
        Refused attempts of this node.
    key
        The request.
    deadline
        When the client stops waiting. Two clients may send the same request,
        but hardly with the same deadline.

    Returns
    -------
    The first attempt, or None if the client has not been refused.
    """
    attempt = refused.by_key.get(_bounded(key))
    if attempt is None or abs(attempt.deadline - deadline) > (
        DEADLINE_TOLERANCE_S
    ):
        return None
    return attempt


def _bounded(key: RequestKey) -> RequestKey:
    """Return a key itself if it is short, or else one with a digest."""
    method, host, uri = key
    if len(method) + len(host) + len(uri) <= MAX_KEY_BYTES:
        return key
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.encode(), uri):
        digest.update(b'%d:%b' % (len(part), part))
    return b'', '', digest.digest()


def _forget_expired(refused: RefusedAttempts, now: float) -> None:
    while refused.deadlines and refused.deadlines[0][0] <= now:
        _deadline, key = heappop(refused.deadlines)
        attempt = refused.by_key.get(key)
        if attempt is not None and attempt.deadline <= now:
            refused.by_key.pop(key)
