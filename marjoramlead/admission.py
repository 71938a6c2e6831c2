"""Admit requests to the local target: slots, queue and refusals.

The guard beside a target is the only way to it, so the limits that hold
here hold for all gateways together. A request that cannot make its deadline
is refused at once, with when to come back.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from marjoramlead.generated.contract_types import ServiceTerms
from marjoramlead.slow_start import (
    SlowStart,
    concurrency_limit,
    on_answer,
    on_distress,
)
from marjoramlead.snapshot import Kind
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'Admission',
    'Entry',
    'active_total',
    'admit',
    'expire',
    'finish',
    'latest_start',
    'note_answer',
    'note_distress',
    'note_silence',
    'start_drain',
)

FIRST_SERVICE_S: Final = 0.01
SMOOTHING: Final = 0.1
DISTRESS_FACTOR: Final = 3
MAX_RETRY_AFTER_S: Final = 30


class Entry(NamedTuple):
    """One request at the guard.

    Attributes
    ----------
    number
        Given by the guard, never twice.
    deadline
        On the node's monotonic clock.
    """

    number: int
    kind: Kind
    deadline: float


@dataclass(slots=True)
class Admission:
    """Requests that run and wait at one target.

    Attributes
    ----------
    running
        Admitted requests by number, with the time when each began.
    service_s
        Smoothed seconds that an answer takes.
    """

    terms: ServiceTerms
    slow_start: SlowStart = field(default_factory=SlowStart)
    running: dict[int, tuple[Entry, float]] = field(default_factory=dict)
    waiting: deque[Entry] = field(default_factory=deque)
    service_s: float = FIRST_SERVICE_S
    is_draining: bool = False


def admit(state: Admission, entry: Entry, now: float) -> Refusal | None:
    """Run a request now, let it wait, or refuse it.

    Returns
    -------
    None if the request is in ``running`` or ``waiting`` afterwards.
    """
    refusal = _refusal(state, entry, now)
    if refusal is not None:
        return refusal
    if _has_room(state, entry.kind):
        state.running[entry.number] = (entry, now)
    else:
        _enqueue(state, entry)
    return None


def finish(state: Admission, number: int, now: float) -> list[Entry]:
    """Take a request out and start those that may run instead.

    Parameters
    ----------
    state
        Of the local target.
    number
        Of the request that ended; unknown numbers change nothing.
    now
        Seconds on the node's monotonic clock.

    Returns
    -------
    The requests that began to run.
    """
    state.running.pop(number, None)
    return _start_waiting(state, now)


def note_answer(state: Admission, number: int, now: float) -> None:
    """Learn from a whole and sound answer to a running request."""
    _entry, began = state.running[number]
    state.service_s += SMOOTHING * (now - began - state.service_s)
    on_answer(state.slow_start, state.terms)


def note_silence(state: Admission, number: int, now: float) -> bool:
    """Learn from a request that was given up on.

    Returns
    -------
    Whether the target had it for so long that this shows distress.
    """
    _entry, began = state.running[number]
    is_distress = now - began > DISTRESS_FACTOR * state.service_s
    if is_distress:
        on_distress(state.slow_start)
    return is_distress


def latest_start(state: Admission, entry: Entry) -> float:
    """Return when a request must begin in order to end in time."""
    return entry.deadline - state.service_s


def expire(state: Admission, number: int) -> bool:
    """Give up a request that still waits; say whether it did wait."""
    before = len(state.waiting)
    state.waiting = deque(
        entry for entry in state.waiting if entry.number != number
    )
    return len(state.waiting) < before


def note_distress(state: Admission) -> None:
    """Give the target less after a failure that shows distress."""
    on_distress(state.slow_start)


def start_drain(state: Admission) -> list[Entry]:
    """Refuse new work from now on.

    Returns
    -------
    The requests that were waiting, which did not run.
    """
    state.is_draining = True
    waiting = list(state.waiting)
    state.waiting.clear()
    return waiting


def active_total(state: Admission) -> int:
    """Count the requests at the target now."""
    return len(state.running)


def _refusal(state: Admission, entry: Entry, now: float) -> Refusal | None:
    if state.is_draining:
        return Refusal(Reason.DRAINING, Verdict.NOT_RUN)
    if now >= entry.deadline:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
    if _has_room(state, entry.kind):
        return None
    if entry.kind == 'upload':
        return Refusal(
            Reason.UPLOAD_SLOTS,
            Verdict.NOT_RUN,
            _retry_after(state),
        )
    if len(state.waiting) >= state.terms['queue']:
        return Refusal(Reason.OVERLOAD, Verdict.NOT_RUN, _retry_after(state))
    if now + _expected_wait(state, entry.kind) >= latest_start(state, entry):
        return Refusal(Reason.OVERLOAD, Verdict.NOT_RUN, _retry_after(state))
    return None


def _has_room(state: Admission, kind: Kind) -> bool:
    window = concurrency_limit(state.slow_start, state.terms)
    if len(state.running) >= window:
        return False
    if kind == 'internal':
        return True
    if kind == 'upload' and _uploads(state) >= state.terms['upload_slots']:
        return False
    reserved = min(state.terms['internal_slots'], window - 1)
    return _others(state) < window - reserved


def _uploads(state: Admission) -> int:
    return sum(
        entry.kind == 'upload' for entry, _began in state.running.values()
    )


def _others(state: Admission) -> int:
    return sum(
        entry.kind != 'internal' for entry, _began in state.running.values()
    )


def _enqueue(state: Admission, entry: Entry) -> None:
    if entry.kind != 'internal':
        state.waiting.append(entry)
        return
    ahead = sum(other.kind == 'internal' for other in state.waiting)
    state.waiting.insert(ahead, entry)


def _expected_wait(state: Admission, kind: Kind) -> float:
    ahead = sum(
        kind != 'internal' or other.kind == 'internal'
        for other in state.waiting
    )
    return (
        (ahead + 1)
        * state.service_s
        / max(1, concurrency_limit(state.slow_start, state.terms))
    )


def _retry_after(state: Admission) -> int:
    wait = _expected_wait(state, 'idempotent')
    return min(MAX_RETRY_AFTER_S, 1 + int(wait))


def _start_waiting(state: Admission, now: float) -> list[Entry]:
    started: list[Entry] = []
    while state.waiting and _has_room(state, state.waiting[0].kind):
        entry = state.waiting.popleft()
        state.running[entry.number] = (entry, now)
        started.append(entry)
    return started
