"""Play load on the queues of one service, under a virtual clock.

The queues are the node's own; senders are simpler: one that knows how many
requests each target has, and offers as a node does, for an immediate start and
then for a wait. Work times are drawn, answers travel at once, and a refused
client comes back once after the time it was told, if its deadline is still
ahead. As in service, a node does not know that it came before, though its
objective counts from then.
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

__all__ = ('KINDS', 'Kind', 'Load', 'Served', 'play')

# Shape of the gamma distribution that work times follow: they scatter by 0.75
# of their mean, as on played days.
WORK_SHAPE: Final = 1.8
# A client that was refused comes back once.
TRIES: Final = 2
# Time for the queues to fill and the means to be learned; not counted.
WARM_UP_S: Final = 3.0

Event = tuple[float, int, Callable[[], None]]


class Kind(NamedTuple):
    """One kind of request; times in seconds."""

    name: str
    priority: int
    share: float
    work: float
    aim: float
    wait: float
    worth: float
    late_worth: float


KINDS: Final = (
    Kind('booking', 0, 0.3, 0.12, 0.4, 1.5, 2, 0.6),
    Kind('upload', 1, 0.1, 0.11, 0.4, 1.5, 2, 0.6),
    Kind('browse', 2, 0.6, 0.09, 0.3, 1.2, 1, 0.3),
)


class Load(NamedTuple):
    """What comes to one service.

    Attributes
    ----------
    factor
        Work that arrives as a multiple of what all slots can do.
    speeds
        Of the targets, one each; work takes its mean divided by it.
    cold_per_s
        Starts a second of each target until ``cold_s``.
    """

    factor: float
    seconds: float = 20
    slots: int = 6
    speeds: Sequence[float] = (1.0, 1.0, 0.6, 0.4)
    cold_s: float = 0
    cold_per_s: float = 0


class Served(TypedDict):
    """What became of one kind of request."""

    kind: str
    asked: int
    in_time: float
    late: float
    refused: float
    expired: float
    worth: float


@dataclass(slots=True)
class _Call:
    """One request of a client over all its tries."""

    kind: Kind
    came: float
    tries: int = 0


@dataclass(slots=True)
class _Play:
    load: Load
    kinds: Sequence[Kind]
    rng: Random
    queues: list[TargetQueue]
    events: list[Event] = field(default_factory=list)
    numbers: 'count[int]' = field(default_factory=count)
    calls: dict[int, _Call] = field(default_factory=dict)
    ends: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    now: float = 0


def play(load: Load, kinds: Sequence[Kind], seed: int) -> list[Served]:
    """Play one load; the same seed gives the same figures."""
    rng = Random(seed)
    queues = [TargetQueue(slots=load.slots) for _speed in load.speeds]
    for queue in queues:
        set_cold_rate(queue, load.cold_s, load.cold_per_s)
    played = _Play(load, kinds, rng, queues)
    for kind in kinds:
        _next_arrival(played, kind)
    while played.events:
        event = heapq.heappop(played.events)
        played.now = event[0]
        event[-1]()
    return [_served(played, each) for each in kinds]


def _rate(played: _Play, kind: Kind) -> float:
    speed = sum(played.load.speeds) * played.load.slots
    mean = sum(each.share * each.work for each in played.kinds)
    return played.load.factor * kind.share * speed / mean


def _at(played: _Play, when: float, run: Callable[[], None]) -> None:
    heapq.heappush(played.events, (when, next(played.numbers), run))


def _next_arrival(played: _Play, kind: Kind) -> None:
    when = played.now + played.rng.expovariate(_rate(played, kind))
    if when < played.load.seconds:
        _at(played, when, lambda: _arrive(played, kind))


def _arrive(played: _Play, kind: Kind) -> None:
    _next_arrival(played, kind)
    _try(played, _Call(kind, played.now))


def _try(played: _Play, call: _Call) -> None:
    """Offer a request for an immediate start, then for a wait."""
    call.tries += 1
    number = next(played.numbers)
    played.calls[number] = call
    kind = call.kind
    entry = QueueEntry(
        number,
        str(number),
        kind.name,
        kind.priority,
        played.now + kind.aim,
        call.came + kind.wait,
    )
    refusal = _offer(played, entry)
    if refusal is not None:
        played.calls.pop(number)
        _come_back(played, call, refusal)


def _offer(played: _Play, entry: QueueEntry) -> Refusal | None:
    queues = sorted(played.queues, key=lambda each: _outlook(each, entry))
    refusals = []
    for may_wait in (False, True):
        for queue in queues:
            told = admit(queue, entry, played.now, may_wait=may_wait)
            if not isinstance(told, Refusal):
                if told:
                    _run(played, queue, entry)
                else:
                    _wake(played, queue)
                    _expire(played, queue, entry)
                return None
            refusals.append(told)
    return min(refusals, key=lambda each: each.retry_after)


def _outlook(queue: TargetQueue, entry: QueueEntry) -> float:
    taken = len(queue.running) + len(queue.waiting)
    work = estimate_service_time(queue.statistics, entry.route, 0.3)
    return work * max(1, (taken + 1) / max(1, queue.slots))


def _come_back(played: _Play, call: _Call, refusal: Refusal) -> None:
    back = played.now + refusal.retry_after
    is_last = call.tries >= TRIES or not refusal.retry_after
    if is_last or back >= call.came + call.kind.wait:
        _end(played, call, 'refused')
    else:
        _at(played, back, lambda: _try(played, call))


def _run(played: _Play, queue: TargetQueue, entry: QueueEntry) -> None:
    call = played.calls[entry.number]
    speed = played.load.speeds[_index(played, queue)]
    mean = call.kind.work / speed
    took = played.rng.gammavariate(WORK_SHAPE, mean / WORK_SHAPE)
    _at(played, played.now + took, lambda: _done(played, queue, entry, took))


def _index(played: _Play, queue: TargetQueue) -> int:
    return next(
        index for index, each in enumerate(played.queues) if each is queue
    )


def _done(
    played: _Play,
    queue: TargetQueue,
    entry: QueueEntry,
    took: float,
) -> None:
    call = played.calls.pop(entry.number)
    record_service_time(queue.statistics, entry.route, took)
    remove_running(queue, entry.number)
    if played.now > entry.deadline:
        _end(played, call, 'expired')
    elif played.now > call.came + call.kind.aim:
        _end(played, call, 'late')
    else:
        _end(played, call, 'in_time')
    _start_waiting(played, queue)


def _expire(played: _Play, queue: TargetQueue, entry: QueueEntry) -> None:
    _at(played, entry.deadline, lambda: _start_waiting(played, queue))


def _wake(played: _Play, queue: TargetQueue) -> None:
    when = next_start_time(queue, played.now)
    if when is not None and when > played.now:
        _at(played, when, lambda: _start_waiting(played, queue))


def _start_waiting(played: _Play, queue: TargetQueue) -> None:
    started, dropped = start_ready(queue, played.now)
    for entry in started:
        _run(played, queue, entry)
    for entry, refusal in dropped:
        _come_back(played, played.calls.pop(entry.number), refusal)
    _wake(played, queue)


def _end(played: _Play, call: _Call, how: str) -> None:
    if call.came >= WARM_UP_S:
        played.ends[call.kind.name][how] += 1


def _served(played: _Play, kind: Kind) -> Served:
    ends = played.ends[kind.name]
    asked = sum(ends.values())
    part = {
        how: round(ends[how] / max(1, asked), 3)
        for how in ('in_time', 'late', 'refused', 'expired')
    }
    earned = part['in_time'] * kind.worth + part['late'] * kind.late_worth
    return Served(
        kind=kind.name,
        asked=asked,
        in_time=part['in_time'],
        late=part['late'],
        refused=part['refused'],
        expired=part['expired'],
        worth=round(earned / kind.worth, 3),
    )
