"""Which request the local target gets next, and which it will never get.

The queue stands at the target's own node, the only way to the target, so no
request of another node can pass it. Load that it answers: more requests than
the target has slots, from any number of senders, for any length of time. The
target never holds more than its slots. What can still meet its objective is
served first, by priority, then by deadline, but no route is starved by others
of its priority; what cannot end in time is refused at once, with the time after
which it could. A cold target gets its granted rate, evenly spaced.

Nothing here does I/O; times are seconds on the node's monotonic clock.
"""

from marjoramlead.queue_estimates import (
    MIN_RETRY_AFTER_S,
    LoadReport,
    expected_service_time,
    extend_short_objective,
    load_report,
    rank_of,
    refuse_if_too_late,
    scheduling_key,
)
from marjoramlead.queue_state import (
    QueueEntry,
    TargetQueue,
    available_tokens,
    can_start,
    retry_share,
    set_cold_rate,
    take_token,
)
from marjoramlead.queue_statistics import record_arrival, record_start
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'DroppedRequests',
    'LoadReport',
    'QueueEntry',
    'TargetQueue',
    'admit',
    'cancel_waiting',
    'clear_waiting',
    'load_report',
    'next_start_time',
    'remove_running',
    'retry_share',
    'set_cold_rate',
    'start_ready',
)

DroppedRequests = list[tuple[QueueEntry, Refusal]]


def admit(
    queue: TargetQueue,
    entry: QueueEntry,
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
    if not queue.waiting and can_start(queue, now):
        record_arrival(queue.statistics, entry.route, now)
        _start(queue, entry, now)
        return True
    extended = extend_short_objective(queue, entry, now)
    refusal = refuse_if_too_late(queue, extended, now)
    if refusal is None and not may_wait:
        return Refusal(Reason.NO_ROOM, Verdict.NOT_RUN, MIN_RETRY_AFTER_S)
    record_arrival(queue.statistics, entry.route, now)
    if refusal is None:
        queue.waiting[entry.number] = extended
        return False
    return refusal


def remove_running(queue: TargetQueue, number: int) -> None:
    """Take a request out that ran."""
    queue.running.pop(number, None)


def cancel_waiting(queue: TargetQueue, number: int) -> bool:
    """Take a request out that waits; say whether it did wait."""
    return queue.waiting.pop(number, None) is not None


def start_ready(
    queue: TargetQueue,
    now: float,
) -> tuple[list[QueueEntry], DroppedRequests]:
    """Start what may run now.

    Returns
    -------
    The requests that began to run, and those that will not, with the reason.
    """
    started: list[QueueEntry] = []
    while queue.waiting and can_start(queue, now):
        entry = min(queue.waiting.values(), key=scheduling_key(queue, now))
        if now >= entry.deadline:
            break
        queue.waiting.pop(entry.number)
        _start(queue, entry, now)
        started.append(entry)
    return started, _drop_late(queue, now)


def next_start_time(queue: TargetQueue, now: float) -> float | None:
    """When the first waiting request may start by the passing of time alone.

    Returns
    -------
    None where only the end of a running request helps.
    """
    if not queue.waiting or len(queue.running) >= queue.slots:
        return None
    if now >= queue.cold_until:
        return now
    missing = max(0, 1 - available_tokens(queue, now))
    return now + missing / max(queue.cold_per_s, 1)


def clear_waiting(queue: TargetQueue) -> list[QueueEntry]:
    """Take out all that waits, because nothing may start here any more."""
    waiting = list(queue.waiting.values())
    queue.waiting.clear()
    return waiting


def _drop_late(queue: TargetQueue, now: float) -> DroppedRequests:
    """Take out what is late and expected to end too late, the last first."""
    late = [
        entry
        for entry in queue.waiting.values()
        if now >= entry.deadline or rank_of(queue, entry, now)[0]
    ]
    late.sort(key=scheduling_key(queue, now), reverse=True)
    dropped: DroppedRequests = []
    for entry in late:
        refusal = _late_refusal(queue, entry, now)
        if refusal is not None:
            queue.waiting.pop(entry.number)
            dropped.append((entry, refusal))
    return dropped


def _late_refusal(
    queue: TargetQueue,
    entry: QueueEntry,
    now: float,
) -> Refusal | None:
    if now >= entry.deadline:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN, 0)
    return refuse_if_too_late(queue, entry, now)


def _start(queue: TargetQueue, entry: QueueEntry, now: float) -> None:
    queue.running[entry.number] = (entry, now)
    record_start(
        queue.statistics,
        entry.route,
        rank_of(queue, entry, now),
        expected_service_time(queue, entry, now),
        now,
    )
    take_token(queue, now)
