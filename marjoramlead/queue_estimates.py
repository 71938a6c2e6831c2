"""How long a request would wait at a target, and in what order it is served.

Nothing here does I/O; times are seconds on the node's monotonic clock.
"""

import heapq
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from marjoramlead.queue_state import QueueEntry, TargetQueue, available_tokens
from marjoramlead.queue_statistics import (
    Rank,
    estimate_service_time,
    recent_served_share,
    utilisation_above,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'MIN_RETRY_AFTER_S',
    'LoadReport',
    'expected_service_time',
    'extend_short_objective',
    'load_report',
    'rank_of',
    'refuse_if_too_late',
    'scheduling_key',
)

# Share of what the latency objective leaves beside the mean work that a request
# may be planned to wait. Work times scatter by three quarters of their mean, so
# who waits longer is often late; shorter waits leave slots idle (0.2 to 0.7
# tried in ``bench.queue_load``).
MAX_WAIT_SHARE: Final = 0.35
# Share of the time to the deadline by which a request must be expected to end.
DEADLINE_SHARE: Final = 0.9
# The same for requests that are late already: they are worth little, and slots
# are better kept for those in time (0.3 to 0.9 tried there).
LATE_DEADLINE_SHARE: Final = 0.75
# A route that got fewer slots than this share of what it asked for goes before
# others of its priority: a quarter as often as all is starved by the rules of
# the platform, and some of what gets a slot is not answered.
STARVATION_SHARE: Final = 0.35
# Most of the slots that work of higher rank is expected to take; beyond it, a
# wait has no end that could be told.
MAX_UTILISATION: Final = 0.95
# A shorter objective counts as this long: a caller that was refused would
# hardly come back sooner.
MIN_OBJECTIVE_S: Final = 0.25
# Longest and shortest time after which a caller is asked to come back.
MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 2.0

# Rank, served share of the route, deadline and number; less is first.
SchedulingKey = tuple[Rank, float, float, int]
KeyFunction = Callable[[QueueEntry], SchedulingKey]


class LoadReport(NamedTuple):
    """What senders are told of a target.

    Attributes
    ----------
    room
        Requests that could start at once.
    wait_s
        Expected wait of one more request of ordinary priority.
    work_s
        Mean time that an answer takes here.
    """

    room: int
    wait_s: float
    work_s: float


def load_report(queue: TargetQueue, now: float) -> LoadReport:
    """Say what one more request may expect."""
    taken = len(queue.running) + len(queue.waiting)
    room = max(0, queue.slots - taken)
    if now < queue.cold_until:
        room = min(room, int(available_tokens(queue, now)))
    if room:
        return LoadReport(room, 0, queue.statistics.mean_service_time)
    start = _estimate_start(queue, queue.waiting.values(), now)
    return LoadReport(
        0, max(0, start - now), queue.statistics.mean_service_time
    )


def scheduling_key(
    queue: TargetQueue,
    now: float,
) -> KeyFunction:
    """Say in what order requests get slots.

    What can still meet its objective is first, then what is urgent, then what
    has the earliest deadline. A route that would be starved so by others of its
    priority goes before them.
    """
    shares: dict[str, float] = {}

    def key(entry: QueueEntry) -> SchedulingKey:
        share = shares.get(entry.route)
        if share is None:
            share = recent_served_share(queue.statistics, entry.route, now)
            share = min(share, STARVATION_SHARE)
            shares[entry.route] = share
        rank = rank_of(queue, entry, now)
        return rank, share, entry.deadline, entry.number

    return key


def rank_of(queue: TargetQueue, entry: QueueEntry, now: float) -> Rank:
    """Tell whether a request is late already, and its priority."""
    is_late = (
        now + expected_service_time(queue, entry, now) > entry.soft_deadline
    )
    return is_late, entry.priority


def extend_short_objective(
    queue: TargetQueue, entry: QueueEntry, now: float
) -> QueueEntry:
    """Give a request that is not late yet the least time to wait."""
    is_late, _priority = rank_of(queue, entry, now)
    min_objective_at = now + min(
        MIN_OBJECTIVE_S, DEADLINE_SHARE * (entry.deadline - now)
    )
    if is_late or entry.soft_deadline >= min_objective_at:
        return entry
    return entry._replace(soft_deadline=min_objective_at)


def expected_service_time(
    queue: TargetQueue, entry: QueueEntry, now: float
) -> float:
    """Mean seconds that a request takes here."""
    return estimate_service_time(
        queue.statistics, entry.route, entry.soft_deadline - now
    )


def refuse_if_too_late(
    queue: TargetQueue,
    entry: QueueEntry,
    now: float,
) -> Refusal | None:
    """Refuse a request whose end is expected too late.

    One whose objective can still be met must meet it, so that a long overload
    is not answered late throughout. One that is late already has only its
    deadline.
    """
    end = (
        now
        + _expected_wait(queue, entry, now)
        + expected_service_time(queue, entry, now)
    )
    left = entry.deadline - now
    is_late, _priority = rank_of(queue, entry, now)
    if is_late:
        latest = now + LATE_DEADLINE_SHARE * left
    else:
        work = expected_service_time(queue, entry, now)
        aim = entry.soft_deadline - now
        planned = work + MAX_WAIT_SHARE * (aim - work)
        latest = now + min(DEADLINE_SHARE * left, planned)
    return (
        None if end <= latest else _overload_refusal(queue, end - latest, now)
    )


def _expected_wait(queue: TargetQueue, entry: QueueEntry, now: float) -> float:
    """Expect a wait: the work ahead, and what will overtake meanwhile."""
    order = scheduling_key(queue, now)
    own = order(entry)
    keyed = [(order(each), each) for each in queue.waiting.values()]
    keyed = sorted(each for each in keyed if each[0] < own)
    ahead = [each[1] for each in keyed]
    start = _estimate_start(queue, ahead, now)
    utilisation = utilisation_above(queue.statistics, own[0], queue.slots, now)
    return (start - now) / (1 - min(utilisation, MAX_UTILISATION))


def _overload_refusal(
    queue: TargetQueue, missing: float, now: float
) -> Refusal:
    reason = Reason.COLD if now < queue.cold_until else Reason.OVERLOAD
    after = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, missing))
    return Refusal(reason, Verdict.NOT_RUN, after)


def _estimate_start(
    queue: TargetQueue,
    ahead: Iterable[QueueEntry],
    now: float,
) -> float:
    """Play the slots forward until one is free after those ahead."""
    if queue.slots <= 0:
        return float('inf')
    free = max(0, queue.slots - len(queue.running))
    free_at = [now for _slot in range(free)]
    for entry, began in queue.running.values():
        free_at.append(_expected_end(queue, entry, began, now))
    heapq.heapify(free_at)
    count = 0
    for entry in ahead:
        start = heapq.heappop(free_at)
        heapq.heappush(
            free_at, start + expected_service_time(queue, entry, now)
        )
        count += 1
    return max(free_at[0], _earliest_cold_start(queue, count, now))


def _expected_end(
    queue: TargetQueue,
    entry: QueueEntry,
    began: float,
    now: float,
) -> float:
    """Expect the rest of the mean, or half of it again if it is over."""
    work = expected_service_time(queue, entry, now)
    return max(began + work, now + work / 2)


def _earliest_cold_start(queue: TargetQueue, ahead: int, now: float) -> float:
    if now >= queue.cold_until:
        return now
    missing = max(0, ahead + 1 - available_tokens(queue, now))
    return min(queue.cold_until, now + missing / max(queue.cold_per_s, 1))
