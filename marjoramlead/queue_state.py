"""State of a target's queue: what runs, what waits, and the cold rate.

Nothing here does I/O; times are seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from marjoramlead.queue_statistics import QueueStatistics

__all__ = (
    'QueueEntry',
    'TargetQueue',
    'available_tokens',
    'can_start',
    'retry_share',
    'set_cold_rate',
    'take_token',
)

# Requests that a cold target may be given at once before its rate binds.
COLD_BURST_REQUESTS: Final = 2.0


class QueueEntry(NamedTuple):
    """One request at the queue.

    Attributes
    ----------
    number
        Given by the caller, never twice.
    soft_deadline
        Until when an answer is worth all that it can be.
    is_retry
        Whether a target has had the request before.
    """

    number: int
    request_id: str
    route: str
    priority: int
    soft_deadline: float
    deadline: float
    is_retry: bool = False


@dataclass(slots=True)
class TargetQueue:
    """Requests that run and wait at one target.

    Attributes
    ----------
    running
        Entries by number, with the time when each was started.
    waiting
        Entries by number.
    tokens
        Starts left to a cold target; refilled at ``cold_per_s``.
    """

    slots: int = 0
    cold_per_s: float = 0
    cold_until: float = 0
    running: dict[int, tuple[QueueEntry, float]] = field(default_factory=dict)
    waiting: dict[int, QueueEntry] = field(default_factory=dict)
    statistics: QueueStatistics = field(default_factory=QueueStatistics)
    tokens: float = COLD_BURST_REQUESTS
    tokens_updated_at: float = 0


def set_cold_rate(queue: TargetQueue, until: float, per_s: float) -> None:
    """Give the target only so many requests a second until then."""
    queue.cold_until = until
    queue.cold_per_s = per_s


def retry_share(queue: TargetQueue) -> float:
    """Share of the running requests that a target has had before."""
    running = queue.running.values()
    repeats = sum(entry.is_retry for entry, _began in running)
    return repeats / len(running) if repeats else 0


def can_start(queue: TargetQueue, now: float) -> bool:
    """Say whether one more request may start now."""
    if len(queue.running) >= queue.slots:
        return False
    return now >= queue.cold_until or available_tokens(queue, now) >= 1


def available_tokens(queue: TargetQueue, now: float) -> float:
    """Count the starts that a cold target may have at once."""
    grown = (now - queue.tokens_updated_at) * queue.cold_per_s
    return min(COLD_BURST_REQUESTS, queue.tokens + grown)


def take_token(queue: TargetQueue, now: float) -> None:
    """Take one start off a cold target's rate."""
    queue.tokens = max(0, available_tokens(queue, now) - 1)
    queue.tokens_updated_at = now
