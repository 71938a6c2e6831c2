"""Waiting times at a target, the order of its queue, and overload refusals.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from marjoramlead.account_fairness import fair_rank
from marjoramlead.call_priority import call_priority
from marjoramlead.queue_state import (
    QueueEntry,
    TargetQueue,
    available_tokens,
    next_token_time,
    start_rate,
)
from marjoramlead.queue_statistics import (
    Rank,
    estimate_service_time,
    recent_served_share,
    utilisation_ahead_of,
)
from marjoramlead.target_pace import USUAL, pace_at
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'MAX_WAIT_SHARE',
    'MIN_RETRY_AFTER_S',
    'LoadReport',
    'expected_service_time',
    'extend_short_objective',
    'is_crowded_out',
    'load_report',
    'rank_of',
    'refuse_if_too_late',
    'scheduling_key',
)

# Longest expected wait of an accepted request, as a share of the time that the
# latency objective leaves after the mean service time. The standard deviation
# of service times is about three quarters of their mean, so a request that
# waits longer often misses its objective; a lower limit leaves slots idle.
MAX_WAIT_SHARE: Final = 0.35
# A request must be expected to end within this share of the time to its
# deadline.
DEADLINE_SHARE: Final = 0.9
# The same for requests that can no longer meet their latency objective: their
# answers are worth little, and the slots are kept for requests that still can.
LATE_DEADLINE_SHARE: Final = 0.75
# If a smaller share than this of a route's requests was started, the route goes
# before others of its priority. The platform counts a route as starved if it is
# served less than a quarter as often as all routes together; the limit here is
# higher because some started requests are not answered.
STARVATION_SHARE: Final = 0.35
# Upper bound on the utilisation assumed in the estimate of a wait; close to 1,
# the estimate would grow without limit.
MAX_UTILISATION: Final = 0.95
# Lower bound on the estimated time that a running request still takes.
MIN_REMAINING_S: Final = 0.001
# Shorter latency objectives are extended to this, so that the request may wait
# for a slot: if it were refused, its caller would hardly retry sooner.
MIN_OBJECTIVE_S: Final = 0.25
# Bounds of the time after which a refused caller should retry.
MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 2.0
# Share of the slots for refused clients that return when they were told to. The
# answers to them are late, and would displace answers in time.
RESERVED_SHARE: Final = 0.1

# Rank, served share of the route, deadline and number; the lowest goes first.
SchedulingKey = tuple[Rank, float, float, int]
KeyFunction = Callable[[QueueEntry], SchedulingKey]


class LoadReport(NamedTuple):
    """Load of a target, as reported to senders.

    Attributes
    ----------
    room
        Number of requests that could start at once.
    wait_s
        Expected wait in seconds of one more request, after all waiting ones.
    work_s
        Mean service time in seconds of the route that the report is for, at
        the usual pace; 0 if the target has not answered a request of that
        route.
    link_s
        Time in seconds that the link of the target's host takes for all that
        it has to carry.
    transfer_s
        Time in seconds that it takes for a mean answer of the route; 0 if that
        is short.
    pace
        How long work takes there now, as a multiple of the usual time, which
        is the one in ``work_s``.
    """

    room: int
    wait_s: float
    work_s: float
    link_s: float = 0
    transfer_s: float = 0
    pace: float = USUAL


def load_report(queue: TargetQueue, now: float, route: str) -> LoadReport:
    """Return the current load report for the sender of a request."""
    active = len(queue.running) + len(queue.waiting)
    room = max(0, queue.slots - active)
    if start_rate(queue, now) is not None:
        room = min(room, int(available_tokens(queue, now)))
    work_s = queue.statistics.service_times.get(route, 0)
    pace = pace_at(queue.statistics.pace, now)
    if room:
        return LoadReport(room, 0, work_s, pace=pace)
    start = _estimate_start(queue, queue.waiting.values(), now)
    return LoadReport(0, max(0, start - now), work_s, pace=pace)


def scheduling_key(
    queue: TargetQueue,
    now: float,
) -> KeyFunction:
    """Return a sort key function for the order in which requests start.

    Requests that can still meet their latency objective come before late ones.
    Within each group, the order is by priority and then by deadline, but a
    route that would be starved by others of its priority goes before them.
    """
    shares: dict[str, float] = {}

    def key(entry: QueueEntry) -> SchedulingKey:
        share = shares.get(entry.route)
        if share is None:
            share = recent_served_share(queue.statistics, entry.route, now)
            share = min(share, STARVATION_SHARE)
            shares[entry.route] = share
        rank = rank_of(queue, entry, now)
        rank = fair_rank(queue.accounts, entry.account, rank, now)
        return rank, share, entry.deadline, entry.number

    return key


def rank_of(queue: TargetQueue, entry: QueueEntry, now: float) -> Rank:
    """Return the rank of a request that would start now.

    A nested request counts as in time until its deadline, because the work of
    the request that waits for it is lost with it.
    """
    service_time = expected_service_time(queue, entry, now)
    if entry.is_nested:
        client_work_s = queue.statistics.client_service_time
        priority = call_priority(entry.priority, service_time, client_work_s)
        return Rank(is_late=False, priority=priority, is_client=False)
    is_late = not entry.has_reservation and (
        now + service_time > entry.soft_deadline
    )
    return Rank(is_late, entry.priority, is_client=True)


def extend_short_objective(
    queue: TargetQueue, entry: QueueEntry, now: float
) -> QueueEntry:
    """Extend a latency objective that is too short to wait for a slot.

    A request that can no longer meet its objective is returned unchanged.
    """
    is_late = rank_of(queue, entry, now).is_late
    extended_deadline = now + min(
        MIN_OBJECTIVE_S, DEADLINE_SHARE * (entry.deadline - now)
    )
    if is_late or entry.soft_deadline >= extended_deadline:
        return entry
    return entry._replace(soft_deadline=extended_deadline)


def expected_service_time(
    queue: TargetQueue, entry: QueueEntry, now: float
) -> float:
    """Return the expected service time of a request at the present pace."""
    seconds = estimate_service_time(
        queue.statistics, entry.route, entry.soft_deadline - now
    )
    return seconds * pace_at(queue.statistics.pace, now)


def refuse_if_too_late(
    queue: TargetQueue,
    entry: QueueEntry,
    now: float,
) -> Refusal | None:
    """Refuse a request that is expected to end too late.

    A request that would meet its latency objective if it started now is refused
    unless it is expected to meet it after its wait as well; otherwise all
    answers would be late during a long overload. A request that is late already
    only has to meet its deadline, and so does a nested one, or one with a
    reservation. While the demand in time takes all slots, late requests are
    refused.
    """
    if is_crowded_out(queue, entry, now):
        return _overload_refusal(queue, entry, 0, now)
    is_late = rank_of(queue, entry, now).is_late
    expected_end = (
        now
        + _expected_wait(queue, entry, now)
        + expected_service_time(queue, entry, now)
    )
    deadline_left = entry.deadline - now
    if entry.is_nested or entry.has_reservation:
        latest_end = now + DEADLINE_SHARE * deadline_left
    elif is_late:
        latest_end = now + LATE_DEADLINE_SHARE * deadline_left
    else:
        service_time = expected_service_time(queue, entry, now)
        objective_left = entry.soft_deadline - now
        max_duration = service_time + MAX_WAIT_SHARE * (
            objective_left - service_time
        )
        latest_end = now + min(DEADLINE_SHARE * deadline_left, max_duration)
    return (
        None
        if expected_end <= latest_end
        else _overload_refusal(queue, entry, expected_end - latest_end, now)
    )


def is_crowded_out(queue: TargetQueue, entry: QueueEntry, now: float) -> bool:
    """Return whether a late request would take a slot from those in time.

    A request whose objective is still ahead, but too short for this target, is
    not affected: the estimated service time would never be corrected.
    """
    rank = rank_of(queue, entry, now)
    is_past_objective = rank.is_late and now >= entry.soft_deadline
    return is_past_objective and _utilisation_ahead(queue, rank, now) >= 1


def _expected_wait(queue: TargetQueue, entry: QueueEntry, now: float) -> float:
    """Estimate a request's wait, allowing for others that overtake it."""
    key_of = scheduling_key(queue, now)
    own_key = key_of(entry)
    others = (*queue.waiting.values(), *queue.receiving.values())
    keyed = [(key_of(each), each) for each in others]
    keyed = sorted(each for each in keyed if each[0] < own_key)
    ahead = [each[1] for each in keyed]
    start = _estimate_start(queue, ahead, now)
    utilisation = _utilisation_ahead(queue, own_key[0], now)
    return (start - now) / (1 - min(utilisation, MAX_UTILISATION))


def _utilisation_ahead(queue: TargetQueue, rank: Rank, now: float) -> float:
    return utilisation_ahead_of(queue.statistics, rank, queue.slots, now)


def _overload_refusal(
    queue: TargetQueue, entry: QueueEntry, excess_s: float, now: float
) -> Refusal:
    """Refuse a request, and tell its client to return once it can be served.

    Each refused client gets a time of its own, after those that were told to
    return before it. During a long overload these times soon lie beyond the
    clients' deadlines.
    """
    reason = _refusal_reason(queue, now)
    return_at = max(now + excess_s, queue.reserved_until)
    retry_after = min(
        MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, return_at - now)
    )
    service_time = expected_service_time(queue, entry, now)
    queue.reserved_until = min(
        now + MAX_RETRY_AFTER_S,
        return_at + service_time / (RESERVED_SHARE * max(1, queue.slots)),
    )
    return Refusal(reason, Verdict.NOT_RUN, retry_after)


def _refusal_reason(queue: TargetQueue, now: float) -> Reason:
    if now < queue.cold_until:
        return Reason.COLD
    if queue.rate_limit_per_s is not None:
        return Reason.RATE_LIMIT
    return Reason.OVERLOAD


def _estimate_start(
    queue: TargetQueue,
    ahead: Iterable[QueueEntry],
    now: float,
) -> float:
    """Estimate when a slot is free once the requests ahead have started.

    Service times vary so much that the end of a running request says little
    about the others: slots are released at a rate, not in order of their
    starts.
    """
    if queue.slots <= 0:
        return float('inf')
    free = queue.slots - len(queue.running)
    start, ahead_count = now, 0
    if free <= 0:
        start += 1 / _release_rate(queue, now)
    for entry in ahead:
        ahead_count += 1
        if ahead_count >= free:
            start += expected_service_time(queue, entry, now) / queue.slots
    return max(start, _earliest_token(queue, ahead_count, now))


def _release_rate(queue: TargetQueue, now: float) -> float:
    """Return the number of slots that running requests release per second.

    A request that has run for more than half of the mean is expected to take
    half of the mean more.
    """
    rate: float = 0
    for entry, started_at in queue.running.values():
        service_time = expected_service_time(queue, entry, now)
        remaining = max(started_at + service_time - now, service_time / 2)
        rate += 1 / max(remaining, MIN_REMAINING_S)
    return rate


def _earliest_token(queue: TargetQueue, ahead_count: int, now: float) -> float:
    """Estimate when the rate allows a start after some others."""
    earliest = next_token_time(queue, ahead_count + 1, now)
    if queue.rate_limit_per_s is None and now < queue.cold_until:
        return min(queue.cold_until, earliest)
    return earliest
