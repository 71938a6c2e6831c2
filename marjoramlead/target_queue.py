"""Which request the local target gets next, and which it will never get.

The queue stands at the target's own node, the only way to the target, so no
request of another node can pass it. Load that it answers: more requests than
the target has slots, from any number of senders, for any length of time. The
target never holds more than its slots; what waits is ordered by priority,
then by deadline; what cannot end in time is refused when it arrives, with the
time after which it could. A cold target gets its granted rate, evenly spaced.

Nothing here does I/O; times are seconds on the node's monotonic clock.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'Entry',
    'LoadReport',
    'TargetQueue',
    'empty_queue',
    'finish',
    'forget',
    'load_report',
    'next_start',
    'note_work',
    'offer',
    'repeat_share',
    'set_cold',
    'start_ready',
    'work_of',
)

# Weight of a new observation in the mean work time of a route; about the last
# dozen answers count.
SMOOTHING: Final = 0.15
# Work assumed for a route that was never seen here, as a share of its
# latency objective; replaced by measurements from the first answer on.
FIRST_WORK_SHARE: Final = 0.35
# Share of the latency objective that a request may be planned to use: waiting
# and mean work together. Work times scatter by about their mean, so a plan that
# used all of it would be late for half of those that waited.
PLANNED_SHARE: Final = 0.75
# The same of the deadline, for requests that are late already.
LAST_SHARE: Final = 0.9
# Waits below this are too short to learn from.
LEAST_WAIT_S: Final = 0.01
# Most that an expected wait is stretched; beyond it, little is taken anyway.
MAX_STRETCH: Final = 5.0
# A request that would end within this time is not refused for its aim alone:
# a caller that was refused would hardly come back sooner.
PATIENCE_S: Final = 0.25
# Requests that a cold target may be given at once before its rate binds.
COLD_BURST: Final = 2.0
# Longest and shortest time after which a caller is asked to come back.
RETRY_MIN_S: Final = 0.05
RETRY_MAX_S: Final = 2.0


class Entry(NamedTuple):
    """One request at the queue.

    Attributes
    ----------
    number
        Given by the caller, never twice.
    aim_at
        Until when an answer is worth all that it can be.
    is_repeat
        Whether a target has had the request before.
    """

    number: int
    request_id: str
    route: str
    priority: int
    aim_at: float
    deadline: float
    is_repeat: bool = False


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


@dataclass(slots=True)
class TargetQueue:
    """Requests that run and wait at one target.

    Attributes
    ----------
    running
        Entries by number, with the time when each was started.
    waiting
        Heap by rank.
    work
        Mean seconds that an answer takes, by route.
    mean_work
        The same over all routes.
    tokens
        Starts left to a cold target; refilled at ``cold_per_s``.
    promises
        By number of a waiting request: when it came, and the wait that was
        expected then.
    stretch
        By route: how many times longer than expected requests really wait,
        since later ones of higher rank overtake them.
    """

    slots: int = 0
    cold_per_s: float = 0
    cold_until: float = 0
    running: dict[int, tuple[Entry, float]] = field(default_factory=dict)
    waiting: list[tuple[int, float, int, Entry]] = field(default_factory=list)
    work: dict[str, float] = field(default_factory=dict)
    mean_work: float = 0
    tokens: float = COLD_BURST
    tokens_at: float = 0
    promises: dict[int, tuple[float, float]] = field(default_factory=dict)
    stretch: dict[str, float] = field(default_factory=dict)


def offer(
    queue: TargetQueue,
    entry: Entry,
    now: float,
    *,
    may_wait: bool,
) -> Refusal | bool:
    """Start a request, let it wait, or refuse it.

    Returns
    -------
    True if it runs now, False if it waits, else why not.
    """
    if now >= entry.deadline:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN, 0)
    if not queue.waiting and _has_room(queue, now):
        _start(queue, entry, now)
        return True
    wait = _expected_wait(queue, entry, now)
    end = now + wait + work_of(queue, entry, now)
    latest = _latest_end(queue, entry, now)
    if end > latest:
        return _overload(queue, end - latest, now)
    if not may_wait:
        return Refusal(Reason.NO_ROOM, Verdict.NOT_RUN, RETRY_MIN_S)
    heapq.heappush(queue.waiting, _ranked(entry))
    queue.promises[entry.number] = (now, wait)
    return False


def finish(queue: TargetQueue, number: int) -> None:
    """Take a request out that ran."""
    queue.running.pop(number, None)


def forget(queue: TargetQueue, number: int) -> bool:
    """Take a request out that waits; say whether it did wait."""
    before = len(queue.waiting)
    queue.promises.pop(number, None)
    queue.waiting = [each for each in queue.waiting if each[3].number != number]
    heapq.heapify(queue.waiting)
    return len(queue.waiting) < before


def start_ready(
    queue: TargetQueue,
    now: float,
) -> tuple[list[Entry], list[Entry]]:
    """Start what may run now.

    Returns
    -------
    The requests that began to run, and those whose deadline came first.
    """
    started: list[Entry] = []
    expired: list[Entry] = []
    while queue.waiting:
        entry = queue.waiting[0][3]
        if now >= entry.deadline:
            expired.append(heapq.heappop(queue.waiting)[3])
            _keep_promise(queue, entry, now)
        elif _has_room(queue, now):
            _start(queue, heapq.heappop(queue.waiting)[3], now)
            _keep_promise(queue, entry, now)
            started.append(entry)
        else:
            break
    return started, expired


def next_start(queue: TargetQueue, now: float) -> float | None:
    """When the first waiting request may start by the passing of time alone.

    Returns
    -------
    None where only the end of a running request helps.
    """
    if not queue.waiting or len(queue.running) >= queue.slots:
        return None
    if now >= queue.cold_until:
        return now
    missing = max(0, 1 - _tokens(queue, now))
    return now + missing / max(queue.cold_per_s, 1)


def note_work(queue: TargetQueue, entry: Entry, seconds: float) -> None:
    """Learn from the time that a whole answer took."""
    known = queue.work.get(entry.route, seconds)
    queue.work[entry.route] = known + SMOOTHING * (seconds - known)
    if queue.mean_work:
        queue.mean_work += SMOOTHING * (seconds - queue.mean_work)
    else:
        queue.mean_work = seconds


def work_of(queue: TargetQueue, entry: Entry, now: float) -> float:
    """Mean seconds that a request of this route takes here."""
    known = queue.work.get(entry.route)
    if known is not None:
        return known
    return FIRST_WORK_SHARE * max(0, entry.aim_at - now)


def set_cold(queue: TargetQueue, until: float, per_s: float) -> None:
    """Give the target only so many requests a second until then."""
    queue.cold_until = until
    queue.cold_per_s = per_s


def load_report(queue: TargetQueue, now: float) -> LoadReport:
    """Say what one more request may expect."""
    taken = len(queue.running) + len(queue.waiting)
    room = max(0, queue.slots - taken)
    if now < queue.cold_until:
        room = min(room, int(_tokens(queue, now)))
    if room:
        return LoadReport(room, 0, queue.mean_work)
    ahead = (each[3] for each in sorted(queue.waiting))
    start = _start_after(queue, ahead, now)
    return LoadReport(0, max(0, start - now), queue.mean_work)


def repeat_share(queue: TargetQueue) -> float:
    """Share of the running requests that a target has had before."""
    running = queue.running.values()
    repeats = sum(entry.is_repeat for entry, _began in running)
    return repeats / len(running) if repeats else 0


def empty_queue(queue: TargetQueue) -> list[Entry]:
    """Take out all that waits, because nothing may start here any more."""
    waiting = [each[3] for each in queue.waiting]
    queue.waiting.clear()
    queue.promises.clear()
    return waiting


def _ranked(entry: Entry) -> tuple[int, float, int, Entry]:
    return entry.priority, entry.deadline, entry.number, entry


def _latest_end(queue: TargetQueue, entry: Entry, now: float) -> float:
    """When a request must be expected to end in order to be taken.

    One whose objective can still be met must meet it, so that a long overload
    is not answered late throughout. One that is late already has only its
    deadline.
    """
    last = now + LAST_SHARE * (entry.deadline - now)
    planned = now + PLANNED_SHARE * (entry.aim_at - now)
    if now + work_of(queue, entry, now) > planned:
        return last
    return min(last, max(planned, now + PATIENCE_S))


def _has_room(queue: TargetQueue, now: float) -> bool:
    if len(queue.running) >= queue.slots:
        return False
    return now >= queue.cold_until or _tokens(queue, now) >= 1


def _tokens(queue: TargetQueue, now: float) -> float:
    grown = (now - queue.tokens_at) * queue.cold_per_s
    return min(COLD_BURST, queue.tokens + grown)


def _start(queue: TargetQueue, entry: Entry, now: float) -> None:
    queue.running[entry.number] = (entry, now)
    queue.tokens = max(0, _tokens(queue, now) - 1)
    queue.tokens_at = now


def _overload(queue: TargetQueue, missing: float, now: float) -> Refusal:
    reason = Reason.COLD if now < queue.cold_until else Reason.OVERLOAD
    after = min(RETRY_MAX_S, max(RETRY_MIN_S, missing))
    return Refusal(reason, Verdict.NOT_RUN, after)


def _expected_wait(queue: TargetQueue, entry: Entry, now: float) -> float:
    rank = _ranked(entry)
    ahead = sorted(each for each in queue.waiting if each < rank)
    start = _start_after(queue, (each[3] for each in ahead), now)
    return (start - now) * queue.stretch.get(entry.route, 1)


def _keep_promise(queue: TargetQueue, entry: Entry, now: float) -> None:
    """Learn from how long a request has really waited."""
    came, expected = queue.promises.pop(entry.number)
    known = queue.stretch.get(entry.route, 1)
    ratio = known * (now - came) / max(expected, LEAST_WAIT_S)
    bounded = min(MAX_STRETCH, max(1, ratio))
    queue.stretch[entry.route] = known + SMOOTHING * (bounded - known)


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
        heapq.heappush(free_at, start + work_of(queue, entry, now))
        count += 1
    return max(free_at[0], _cold_start(queue, count, now))


def _expected_end(
    queue: TargetQueue,
    entry: Entry,
    began: float,
    now: float,
) -> float:
    """Expect the rest of the mean, or half of it again if it is over."""
    work = work_of(queue, entry, now)
    return max(began + work, now + work / 2)


def _cold_start(queue: TargetQueue, ahead: int, now: float) -> float:
    if now >= queue.cold_until:
        return now
    missing = max(0, ahead + 1 - _tokens(queue, now))
    return min(queue.cold_until, now + missing / max(queue.cold_per_s, 1))
