"""State of a target's queue: its requests and the rate limit while cold.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from marjoramlead.account_fairness import AccountShares
from marjoramlead.queue_statistics import QueueStatistics

__all__ = (
    'QueueEntry',
    'TargetQueue',
    'available_tokens',
    'can_start',
    'count_nested',
    'next_token_time',
    'retry_share',
    'return_token',
    'set_cold_rate',
    'set_rate_limit',
    'start_rate',
    'take_token',
)

# Capacity of the token bucket that limits the rate of a target.
BURST_REQUESTS: Final = 2.0
# A target that accepts less still gets a request at this rate, because only its
# responses tell when the limit ends.
MIN_RATE_PER_S: Final = 0.25


class QueueEntry(NamedTuple):
    """A request that waits or runs at a target.

    Attributes
    ----------
    number
        Unique number that the caller assigns and never reuses.
    soft_deadline
        Latest time of an answer that meets the latency objective. An answer
        between this time and ``deadline`` is worth less.
    is_retry
        Whether a target has received the request before.
    is_nested
        Whether another request, which is running, needs the answer.
    has_reservation
        Whether the client was refused before and told to return by now.
    account
        Client account that the request belongs to; empty if to none.
    arrived_at
        When a request of an account was admitted.
    """

    number: int
    request_id: str
    route: str
    priority: int
    soft_deadline: float
    deadline: float
    is_retry: bool = False
    is_nested: bool = False
    has_reservation: bool = False
    account: str = ''
    arrived_at: float = 0


@dataclass(slots=True)
class TargetQueue:
    """Running and waiting requests of one target.

    Attributes
    ----------
    running
        Entries by number, with their start times.
    waiting
        Entries by number.
    receiving
        Accepted entries by number whose bodies are on the way to this node.
        They hold no slot.
    cold_per_s, cold_until
        Maximum number of requests started per second, and the time until
        which this limit applies.
    rate_limit_per_s
        Number of requests per second that the target itself accepts; None if
        it reports no limit.
    reserved_until
        Time up to which slots are reserved for refused clients that were told
        to return.
    tokens
        Tokens left in the bucket at ``tokens_updated_at``. Each start takes
        one; they are refilled at ``start_rate``.
    """

    slots: int = 0
    cold_per_s: float = 0
    cold_until: float = 0
    rate_limit_per_s: float | None = None
    running: dict[int, tuple[QueueEntry, float]] = field(default_factory=dict)
    waiting: dict[int, QueueEntry] = field(default_factory=dict)
    receiving: dict[int, QueueEntry] = field(default_factory=dict)
    statistics: QueueStatistics = field(default_factory=QueueStatistics)
    accounts: AccountShares = field(default_factory=AccountShares)
    reserved_until: float = 0
    tokens: float = BURST_REQUESTS
    tokens_updated_at: float = 0


def set_cold_rate(queue: TargetQueue, until: float, per_s: float) -> None:
    """Limit the number of requests started per second, until a time."""
    queue.cold_until = until
    queue.cold_per_s = per_s


def set_rate_limit(queue: TargetQueue, per_s: float | None, now: float) -> None:
    """Limit the rate to what the target accepts; None ends the limit."""
    if per_s != queue.rate_limit_per_s:
        queue.tokens = available_tokens(queue, now)
        queue.tokens_updated_at = now
        queue.rate_limit_per_s = per_s


def retry_share(queue: TargetQueue) -> float:
    """Return the share of running requests that are retries."""
    running = queue.running.values()
    retries = sum(entry.is_retry for entry, _started_at in running)
    return retries / len(running) if retries else 0


def count_nested(queue: TargetQueue) -> int:
    """Return the number of running requests that are nested."""
    return sum(entry.is_nested for entry, _at in queue.running.values())


def start_rate(queue: TargetQueue, now: float) -> float | None:
    """Return how many requests may start per second; None if unlimited."""
    limits = []
    if now < queue.cold_until:
        limits.append(queue.cold_per_s)
    if queue.rate_limit_per_s is not None:
        limits.append(queue.rate_limit_per_s)
    return max(MIN_RATE_PER_S, min(limits)) if limits else None


def can_start(queue: TargetQueue, now: float) -> bool:
    """Return whether one more request may start now."""
    if len(queue.running) >= queue.slots:
        return False
    return available_tokens(queue, now) >= 1


def available_tokens(queue: TargetQueue, now: float) -> float:
    """Return the tokens in the bucket, refilled up to now.

    The bucket is full while the rate is not limited.
    """
    rate = start_rate(queue, now)
    if rate is None:
        return BURST_REQUESTS
    refilled = (now - queue.tokens_updated_at) * rate
    return min(BURST_REQUESTS, queue.tokens + refilled)


def next_token_time(queue: TargetQueue, count: float, now: float) -> float:
    """Return when the bucket has had a number of tokens more."""
    rate = start_rate(queue, now)
    missing_tokens = max(0, count - available_tokens(queue, now))
    if rate is None or not missing_tokens:
        return now
    return now + missing_tokens / rate


def return_token(queue: TargetQueue, now: float) -> None:
    """Return the token of a request that was not sent to the target."""
    queue.tokens = min(BURST_REQUESTS, available_tokens(queue, now) + 1)
    queue.tokens_updated_at = now


def take_token(queue: TargetQueue, now: float) -> None:
    """Take a token from the bucket for a started request."""
    queue.tokens = max(0, available_tokens(queue, now) - 1)
    queue.tokens_updated_at = now
