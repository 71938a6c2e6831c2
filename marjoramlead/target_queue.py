"""Decide which request the local target runs next and which are refused.

The queue belongs to the node beside the target. All requests to the target
pass through that node, so no other node can bypass the limits. The queue
protects the target from overload: any number of senders may send more requests
than the target has slots, for any length of time, and the target never runs
more requests than it has slots.

Requests that can still meet their latency objective are started first, by
priority and then by deadline. A nested request has the priority of the running
request that needs its answer, or a better one if it needs little work
(``call_priority``). Among routes of the same priority, a route goes
first if only a small share of its requests was started, so that no route is
starved. A request that is not expected to end in time is refused at once, with
a retry-after time. A target that is cold, or that reports a rate limit,
is sent requests at an even rate.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from marjoramlead.account_fairness import (
    record_account_arrival,
    record_account_start,
    undo_account_arrival,
)
from marjoramlead.queue_estimates import (
    MIN_RETRY_AFTER_S,
    LoadReport,
    expected_service_time,
    extend_short_objective,
    is_crowded_out,
    load_report,
    rank_of,
    refuse_if_too_late,
    scheduling_key,
)
from marjoramlead.queue_state import (
    QueueEntry,
    TargetQueue,
    can_start,
    next_token_time,
    retry_share,
    return_token,
    set_cold_rate,
    set_rate_limit,
    take_token,
)
from marjoramlead.queue_statistics import (
    cancel_start,
    record_arrival,
    record_start,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'DroppedRequests',
    'LoadReport',
    'QueueEntry',
    'TargetQueue',
    'admit',
    'begin_receiving',
    'cancel_waiting',
    'clear_waiting',
    'end_receiving',
    'load_report',
    'next_start_time',
    'remove_running',
    'retry_share',
    'set_cold_rate',
    'set_rate_limit',
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
    """Start a request, queue it, or refuse it.

    Returns
    -------
    True if the request was started, False if it was queued, else the refusal.
    """
    if now >= entry.deadline:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN, 0)
    if entry.account:
        entry = entry._replace(arrived_at=now)
    has_room = not queue.waiting and can_start(queue, now)
    if has_room and not is_crowded_out(queue, entry, now):
        _count_arrival(queue, entry, now)
        _start(queue, entry, now)
        return True
    extended_entry = extend_short_objective(queue, entry, now)
    refusal = refuse_if_too_late(queue, extended_entry, now)
    if refusal is None and not may_wait:
        return Refusal(Reason.NO_ROOM, Verdict.NOT_RUN, MIN_RETRY_AFTER_S)
    _count_arrival(queue, entry, now)
    if refusal is None:
        queue.waiting[entry.number] = extended_entry
        return False
    return refusal


def begin_receiving(queue: TargetQueue, number: int, now: float) -> None:
    """Give back the slot of a started request until its body has arrived."""
    entry, _started_at = queue.running.pop(number)
    queue.receiving[number] = entry
    record_account_start(queue.accounts, entry.account, now, -1)
    cancel_start(
        queue.statistics,
        entry.route,
        rank_of(queue, entry, now),
        expected_service_time(queue, entry, now),
        now,
    )
    return_token(queue, now)


def end_receiving(queue: TargetQueue, number: int, now: float) -> bool:
    """Queue a request whose body has arrived; return whether it started."""
    entry = queue.receiving.pop(number)._replace(has_reservation=True)
    if not queue.waiting and can_start(queue, now):
        _start(queue, entry, now)
        return True
    queue.waiting[number] = entry
    return False


def remove_running(queue: TargetQueue, number: int) -> None:
    """Remove a running request that has ended."""
    queue.running.pop(number, None)


def cancel_waiting(queue: TargetQueue, number: int, now: float) -> bool:
    """Remove a request that was withdrawn, or whose body does not arrive.

    Returns
    -------
    Whether it was waiting, or its body was arriving.
    """
    entry = queue.waiting.pop(number, None) or queue.receiving.pop(number, None)
    if entry is None:
        return False
    undo_account_arrival(queue.accounts, entry.account, entry.arrived_at, now)
    return True


def start_ready(
    queue: TargetQueue,
    now: float,
) -> tuple[list[QueueEntry], DroppedRequests]:
    """Start waiting requests that may run now; drop those that are too late.

    Returns
    -------
    The started requests, and the dropped requests with their refusals.
    """
    started: list[QueueEntry] = []
    dropped: DroppedRequests = []
    while queue.waiting and can_start(queue, now):
        entry = min(queue.waiting.values(), key=scheduling_key(queue, now))
        queue.waiting.pop(entry.number)
        if now + expected_service_time(queue, entry, now) >= entry.deadline:
            dropped.append(
                (entry, Refusal(Reason.DEADLINE, Verdict.NOT_RUN, 0))
            )
        else:
            _start(queue, entry, now)
            started.append(entry)
    return started, dropped + _drop_late(queue, now)


def next_start_time(queue: TargetQueue, now: float) -> float | None:
    """Return when a waiting request may start without a slot being released.

    Returns
    -------
    The time, or None if no request is waiting or all slots are taken.
    """
    if not queue.waiting or len(queue.running) >= queue.slots:
        return None
    return next_token_time(queue, 1, now)


def clear_waiting(queue: TargetQueue) -> list[QueueEntry]:
    """Remove and return all waiting requests, as none may start any more."""
    waiting = list(queue.waiting.values())
    queue.waiting.clear()
    return waiting


def _drop_late(queue: TargetQueue, now: float) -> DroppedRequests:
    """Drop late requests that cannot end in time, in reverse queue order."""
    late = [
        entry
        for entry in queue.waiting.values()
        if now >= entry.deadline or rank_of(queue, entry, now).is_late
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


def _count_arrival(queue: TargetQueue, entry: QueueEntry, now: float) -> None:
    record_account_arrival(queue.accounts, entry.account, now)
    record_arrival(
        queue.statistics,
        entry.route,
        rank_of(queue, entry, now),
        expected_service_time(queue, entry, now),
        now,
    )


def _start(queue: TargetQueue, entry: QueueEntry, now: float) -> None:
    queue.running[entry.number] = (entry, now)
    record_account_start(queue.accounts, entry.account, now)
    record_start(
        queue.statistics,
        entry.route,
        rank_of(queue, entry, now),
        expected_service_time(queue, entry, now),
        now,
    )
    take_token(queue, now)
