"""How long a request would wait at a target, and in what order it is served.

Nothing here does I/O; times are seconds on the node's monotonic clock.
"""

import heapq
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from marjoramlead.queue_state import Entry, TargetQueue, starts_left
from marjoramlead.queue_statistics import (
    Rank,
    estimate_service_time,
    recent_served_share,
    utilisation_above,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'RETRY_MIN_S',
    'LoadReport',
    'expected_work',
    'forecast_refusal',
    'load_report',
    'order_of',
    'rank_of',
    'with_patience',
)

# Share of what the latency objective leaves beside the mean work that a request
# may be planned to wait. Work times scatter by three quarters of their mean, so
# who waits longer is often late; shorter waits leave slots idle (0.2 to 0.7
# tried in ``bench.queue_load``).
SLACK_SHARE: Final = 0.35
# Share of the time to the deadline by which a request must be expected to end.
LAST_SHARE: Final = 0.9
# The same for requests that are late already: they are worth little, and slots
# are better kept for those in time (0.3 to 0.9 tried there).
LATE_SHARE: Final = 0.75
# A route that got fewer slots than this share of what it asked for goes before
# others of its priority: a quarter as often as all is starved by the rules of
# the platform, and some of what gets a slot is not answered.
STARVED_SHARE: Final = 0.35
# Most of the slots that work of higher rank is expected to take; beyond it, a
# wait has no end that could be told.
MAX_BUSY: Final = 0.95
# A shorter objective counts as this long: a caller that was refused would
# hardly come back sooner.
PATIENCE_S: Final = 0.25
# Longest and shortest time after which a caller is asked to come back.
RETRY_MIN_S: Final = 0.05
RETRY_MAX_S: Final = 2.0

# Rank, served share of the route, deadline and number; less is first.
Key = tuple[Rank, float, float, int]
Order = Callable[[Entry], Key]


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
        room = min(room, int(starts_left(queue, now)))
    if room:
        return LoadReport(room, 0, queue.statistics.mean_service_time)
    start = _start_after(queue, queue.waiting.values(), now)
    return LoadReport(
        0, max(0, start - now), queue.statistics.mean_service_time
    )


def order_of(
    queue: TargetQueue,
    now: float,
) -> Order:
    """Say in what order requests get slots.

    What can still meet its objective is first, then what is urgent, then what
    has the earliest deadline. A route that would be starved so by others of its
    priority goes before them.
    """
    shares: dict[str, float] = {}

    def key(entry: Entry) -> Key:
        share = shares.get(entry.route)
        if share is None:
            share = recent_served_share(queue.statistics, entry.route, now)
            share = min(share, STARVED_SHARE)
            shares[entry.route] = share
        rank = rank_of(queue, entry, now)
        return rank, share, entry.deadline, entry.number

    return key


def rank_of(queue: TargetQueue, entry: Entry, now: float) -> Rank:
    """Tell whether a request is late already, and its priority."""
    is_late = now + expected_work(queue, entry, now) > entry.aim_at
    return is_late, entry.priority


def with_patience(queue: TargetQueue, entry: Entry, now: float) -> Entry:
    """Give a request that is not late yet the least time to wait."""
    is_late, _priority = rank_of(queue, entry, now)
    patient = now + min(PATIENCE_S, LAST_SHARE * (entry.deadline - now))
    if is_late or entry.aim_at >= patient:
        return entry
    return entry._replace(aim_at=patient)


def expected_work(queue: TargetQueue, entry: Entry, now: float) -> float:
    """Mean seconds that a request takes here."""
    return estimate_service_time(
        queue.statistics, entry.route, entry.aim_at - now
    )


def forecast_refusal(
    queue: TargetQueue,
    entry: Entry,
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
        + expected_work(queue, entry, now)
    )
    left = entry.deadline - now
    is_late, _priority = rank_of(queue, entry, now)
    if is_late:
        latest = now + LATE_SHARE * left
    else:
        work = expected_work(queue, entry, now)
        aim = entry.aim_at - now
        planned = work + SLACK_SHARE * (aim - work)
        latest = now + min(LAST_SHARE * left, planned)
    return None if end <= latest else _overload(queue, end - latest, now)


def _expected_wait(queue: TargetQueue, entry: Entry, now: float) -> float:
    """Expect a wait: the work ahead, and what will overtake meanwhile."""
    order = order_of(queue, now)
    own = order(entry)
    keyed = [(order(each), each) for each in queue.waiting.values()]
    keyed = sorted(each for each in keyed if each[0] < own)
    ahead = [each[1] for each in keyed]
    start = _start_after(queue, ahead, now)
    busy = utilisation_above(queue.statistics, own[0], queue.slots, now)
    return (start - now) / (1 - min(busy, MAX_BUSY))


def _overload(queue: TargetQueue, missing: float, now: float) -> Refusal:
    reason = Reason.COLD if now < queue.cold_until else Reason.OVERLOAD
    after = min(RETRY_MAX_S, max(RETRY_MIN_S, missing))
    return Refusal(reason, Verdict.NOT_RUN, after)


def _start_after(
    queue: TargetQueue,
    ahead: Iterable[Entry],
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
        heapq.heappush(free_at, start + expected_work(queue, entry, now))
        count += 1
    return max(free_at[0], _cold_start(queue, count, now))


def _expected_end(
    queue: TargetQueue,
    entry: Entry,
    began: float,
    now: float,
) -> float:
    """Expect the rest of the mean, or half of it again if it is over."""
    work = expected_work(queue, entry, now)
    return max(began + work, now + work / 2)


def _cold_start(queue: TargetQueue, ahead: int, now: float) -> float:
    if now >= queue.cold_until:
        return now
    missing = max(0, ahead + 1 - starts_left(queue, now))
    return min(queue.cold_until, now + missing / max(queue.cold_per_s, 1))
