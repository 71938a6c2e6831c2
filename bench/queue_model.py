"""Simulate the queues of one service under a virtual clock.

The queues are the real ``TargetQueue``; dispatch is simplified. One dispatcher
knows the number of requests at each target and, as a node does, first offers a
request to all targets for an immediate start and then for queueing. Service
times are random and messages take no time. A refused client retries once,
after the Retry-After time, if its deadline is still ahead. As in production,
the queue can't tell that a request is a retry and gives it the full latency
objective again; the results measure the objective from the first arrival.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Final, NamedTuple, TypedDict

from marjoramlead.queue_statistics import (
    estimate_service_time,
    record_service_time,
)
from marjoramlead.target_queue import (
    QueueEntry,
    TargetQueue,
    admit,
    next_start_time,
    remove_running,
    set_cold_rate,
    start_ready,
)
from marjoramlead.verdict import Refusal

__all__ = (
    'REQUEST_KINDS',
    'KindResult',
    'RequestKind',
    'Scenario',
    'simulate',
)

# Shape of the gamma distribution of service times. Their standard deviation is
# 0.75 of the mean, as in simulated days of the platform.
SERVICE_TIME_SHAPE: Final = 1.8
# A refused client retries once.
MAX_ATTEMPTS: Final = 2
# Requests that arrive before this time are not counted, because the queues are
# still filling and the estimates of service times have not settled.
WARM_UP_S: Final = 3.0

Event = tuple[float, int, Callable[[], None]]


class RequestKind(NamedTuple):
    """One kind of request.

    Attributes
    ----------
    priority
        Priority in the queues; 0 is the most urgent.
    share
        Share of all arrivals.
    work_s
        Mean service time at a target of speed 1.
    objective_s
        Latency objective. An answer within it is in time, a later one is late.
    timeout_s
        Time from the first arrival to the deadline.
    worth
        Value of an answer in time.
    late_worth
        Value of a late answer.
    """

    name: str
    priority: int
    share: float
    work_s: float
    objective_s: float
    timeout_s: float
    worth: float
    late_worth: float


REQUEST_KINDS: Final = (
    RequestKind('booking', 0, 0.3, 0.12, 0.4, 1.5, 2, 0.6),
    RequestKind('upload', 1, 0.1, 0.11, 0.4, 1.5, 2, 0.6),
    RequestKind('browse', 2, 0.6, 0.09, 0.3, 1.2, 1, 0.3),
)


class Scenario(NamedTuple):
    """Load on one service and the targets that serve it.

    Attributes
    ----------
    factor
        Offered load as a multiple of the capacity of all slots.
    seconds
        Time during which requests arrive.
    slots
        Slots of each target.
    speeds
        Relative speed of each target; service times are divided by it.
    cold_s
        Time for which the targets are cold.
    cold_per_s
        Requests that each cold target starts per second.
    """

    factor: float
    seconds: float = 20
    slots: int = 6
    speeds: Sequence[float] = (1.0, 1.0, 0.6, 0.4)
    cold_s: float = 0
    cold_per_s: float = 0


class KindResult(TypedDict):
    """Result for one kind of request.

    Attributes
    ----------
    asked
        Number of requests.
    in_time, late, refused, expired
        Share of requests with each outcome. Expired requests were completed
        after their deadline.
    worth
        Value earned, as a share of the value if all were answered in time.
    """

    kind: str
    asked: int
    in_time: float
    late: float
    refused: float
    expired: float
    worth: float


@dataclass(slots=True)
class _Call:
    """One request of a client, with all its attempts."""

    kind: RequestKind
    arrived_at: float
    attempts: int = 0


@dataclass(slots=True)
class _Simulation:
    scenario: Scenario
    kinds: Sequence[RequestKind]
    rng: Random
    queues: list[TargetQueue]
    events: list[Event] = field(default_factory=list)
    sequence: 'count[int]' = field(default_factory=count)
    calls: dict[int, _Call] = field(default_factory=dict)
    outcomes: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    now: float = 0


def simulate(
    scenario: Scenario, kinds: Sequence[RequestKind], seed: int
) -> list[KindResult]:
    """Run one simulation; the same seed gives the same results."""
    rng = Random(seed)
    queues = [TargetQueue(slots=scenario.slots) for _speed in scenario.speeds]
    for queue in queues:
        set_cold_rate(queue, scenario.cold_s, scenario.cold_per_s)
    simulation = _Simulation(scenario, kinds, rng, queues)
    for kind in kinds:
        _schedule_next_arrival(simulation, kind)
    while simulation.events:
        event = heapq.heappop(simulation.events)
        simulation.now = event[0]
        event[-1]()
    return [_summarize(simulation, each) for each in kinds]


def _arrival_rate(simulation: _Simulation, kind: RequestKind) -> float:
    work_per_s = sum(simulation.scenario.speeds) * simulation.scenario.slots
    mean_work_s = sum(each.share * each.work_s for each in simulation.kinds)
    return simulation.scenario.factor * kind.share * work_per_s / mean_work_s


def _schedule(
    simulation: _Simulation, time: float, callback: Callable[[], None]
) -> None:
    heapq.heappush(
        simulation.events, (time, next(simulation.sequence), callback)
    )


def _schedule_next_arrival(simulation: _Simulation, kind: RequestKind) -> None:
    time = simulation.now + simulation.rng.expovariate(
        _arrival_rate(simulation, kind)
    )
    if time < simulation.scenario.seconds:
        _schedule(simulation, time, lambda: _arrive(simulation, kind))


def _arrive(simulation: _Simulation, kind: RequestKind) -> None:
    _schedule_next_arrival(simulation, kind)
    _send(simulation, _Call(kind, simulation.now))


def _send(simulation: _Simulation, call: _Call) -> None:
    """Make one attempt at a request."""
    call.attempts += 1
    number = next(simulation.sequence)
    simulation.calls[number] = call
    kind = call.kind
    entry = QueueEntry(
        number,
        str(number),
        kind.name,
        kind.priority,
        simulation.now + kind.objective_s,
        call.arrived_at + kind.timeout_s,
    )
    refusal = _dispatch(simulation, entry)
    if refusal is not None:
        simulation.calls.pop(number)
        _retry_or_give_up(simulation, call, refusal)


def _dispatch(simulation: _Simulation, entry: QueueEntry) -> Refusal | None:
    queues = sorted(
        simulation.queues, key=lambda each: _estimate_delay(each, entry)
    )
    refusals = []
    for may_wait in (False, True):
        for queue in queues:
            admission = admit(queue, entry, simulation.now, may_wait=may_wait)
            if not isinstance(admission, Refusal):
                if admission:
                    _start_work(simulation, queue, entry)
                else:
                    _schedule_next_start(simulation, queue)
                    _schedule_expiry(simulation, queue, entry)
                return None
            refusals.append(admission)
    return min(refusals, key=lambda each: each.retry_after)


def _estimate_delay(queue: TargetQueue, entry: QueueEntry) -> float:
    requests = len(queue.running) + len(queue.waiting)
    work = estimate_service_time(queue.statistics, entry.route, 0.3)
    return work * max(1, (requests + 1) / max(1, queue.slots))


def _retry_or_give_up(
    simulation: _Simulation, call: _Call, refusal: Refusal
) -> None:
    retry_at = simulation.now + refusal.retry_after
    is_last = call.attempts >= MAX_ATTEMPTS or not refusal.retry_after
    if is_last or retry_at >= call.arrived_at + call.kind.timeout_s:
        _count_outcome(simulation, call, 'refused')
    else:
        _schedule(simulation, retry_at, lambda: _send(simulation, call))


def _start_work(
    simulation: _Simulation, queue: TargetQueue, entry: QueueEntry
) -> None:
    call = simulation.calls[entry.number]
    speed = simulation.scenario.speeds[_target_index(simulation, queue)]
    mean = call.kind.work_s / speed
    service_time_s = simulation.rng.gammavariate(
        SERVICE_TIME_SHAPE, mean / SERVICE_TIME_SHAPE
    )
    _schedule(
        simulation,
        simulation.now + service_time_s,
        lambda: _complete(simulation, queue, entry, service_time_s),
    )


def _target_index(simulation: _Simulation, queue: TargetQueue) -> int:
    return next(
        index for index, each in enumerate(simulation.queues) if each is queue
    )


def _complete(
    simulation: _Simulation,
    queue: TargetQueue,
    entry: QueueEntry,
    service_time_s: float,
) -> None:
    call = simulation.calls.pop(entry.number)
    record_service_time(queue.statistics, entry.route, service_time_s)
    remove_running(queue, entry.number)
    if simulation.now > entry.deadline:
        _count_outcome(simulation, call, 'expired')
    elif simulation.now > call.arrived_at + call.kind.objective_s:
        _count_outcome(simulation, call, 'late')
    else:
        _count_outcome(simulation, call, 'in_time')
    _start_ready_requests(simulation, queue)


def _schedule_expiry(
    simulation: _Simulation, queue: TargetQueue, entry: QueueEntry
) -> None:
    _schedule(
        simulation,
        entry.deadline,
        lambda: _start_ready_requests(simulation, queue),
    )


def _schedule_next_start(simulation: _Simulation, queue: TargetQueue) -> None:
    time = next_start_time(queue, simulation.now)
    if time is not None and time > simulation.now:
        _schedule(
            simulation, time, lambda: _start_ready_requests(simulation, queue)
        )


def _start_ready_requests(simulation: _Simulation, queue: TargetQueue) -> None:
    started, dropped = start_ready(queue, simulation.now)
    for entry in started:
        _start_work(simulation, queue, entry)
    for entry, refusal in dropped:
        _retry_or_give_up(
            simulation, simulation.calls.pop(entry.number), refusal
        )
    _schedule_next_start(simulation, queue)


def _count_outcome(simulation: _Simulation, call: _Call, outcome: str) -> None:
    if call.arrived_at >= WARM_UP_S:
        simulation.outcomes[call.kind.name][outcome] += 1


def _summarize(simulation: _Simulation, kind: RequestKind) -> KindResult:
    outcomes = simulation.outcomes[kind.name]
    asked = sum(outcomes.values())
    share_by_outcome = {
        outcome: round(outcomes[outcome] / max(1, asked), 3)
        for outcome in ('in_time', 'late', 'refused', 'expired')
    }
    earned = (
        share_by_outcome['in_time'] * kind.worth
        + share_by_outcome['late'] * kind.late_worth
    )
    return KindResult(
        kind=kind.name,
        asked=asked,
        in_time=share_by_outcome['in_time'],
        late=share_by_outcome['late'],
        refused=share_by_outcome['refused'],
        expired=share_by_outcome['expired'],
        worth=round(earned / kind.worth, 3),
    )
