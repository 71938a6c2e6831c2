"""The only way to the local target: admit, send, and report its load."""

from dataclasses import dataclass, field
from itertools import count

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.clock import Clock, Timer
from marjoramlead.dialect import Dialect
from marjoramlead.hops import Job
from marjoramlead.ledger import Ledger, Outcome
from marjoramlead.metrics import Metrics
from marjoramlead.routes import ServiceTerms
from marjoramlead.target_queue import (
    QueueEntry,
    TargetQueue,
    admit,
    cancel_waiting,
    clear_waiting,
    next_start_time,
    remove_running,
    start_ready,
)
from marjoramlead.upstream import Pool
from marjoramlead.verdict import Reason, Refusal, Verdict
from marjoramlead.world import TargetEntry, World

__all__ = (
    'TargetGate',
    'enter',
    'leave',
    'place_refusal',
    'refuse_waiting',
    'refused',
    'start_gate_drain',
    'start_waiting',
    'terms_of',
)


@dataclass(slots=True)
class TargetGate:
    """State of the way to the local target.

    Attributes
    ----------
    address
        Of the local target.
    starters
        What to fire when a waiting request may run, by its number.
    tasks
        What serves each attempt at present, by its id.
    entry
        What the target has published, if it is known.
    suspected
        Whether the target may have restarted unseen since its last answer.
    probed_at
        When a probe was last sent.
    waker
        Runs when a cold target may get the next request.
    """

    address: tuple[str, int]
    world: World
    dialect: Dialect
    reactor: Clock
    pool: Pool
    ledger: Ledger
    metrics: Metrics
    queue: TargetQueue = field(default_factory=TargetQueue)
    numbers: 'count[int]' = field(default_factory=count)
    starters: dict[int, Deferred[Refusal | None]] = field(default_factory=dict)
    tasks: dict[str, Deferred[Outcome]] = field(default_factory=dict)
    entry: TargetEntry | None = None
    is_draining: bool = False
    suspected: bool = False
    is_probing: bool = False
    probed_at: float = 0
    waker: Timer | None = None


def start_gate_drain(gate: TargetGate) -> None:
    """Refuse new work from now on; what runs goes on to its end."""
    gate.is_draining = True
    refuse_waiting(gate, refused(Reason.DRAINING))


def terms_of(gate: TargetGate) -> ServiceTerms | None:
    """Look up what the local target may bear."""
    if gate.world.table is None or gate.entry is None:
        return None
    return gate.world.table.services.get(gate.entry.service)


def refused(reason: Reason) -> Refusal:
    """Say that a request did not run."""
    return Refusal(reason, Verdict.NOT_RUN, 0)


def place_refusal(gate: TargetGate, target_id: str | None) -> Refusal | None:
    """Refuse work that does not belong at this target now."""
    entry = gate.entry
    if gate.is_draining:
        return refused(Reason.DRAINING)
    if entry is None:
        return refused(Reason.NOT_READY)
    if target_id is not None and entry.target_id != target_id:
        return refused(Reason.WRONG_TARGET)
    if entry.is_draining:
        return refused(Reason.DRAINING)
    if entry.data_centre in gate.world.out:
        return refused(Reason.DATA_CENTRE_OUT)
    return None


async def enter(gate: TargetGate, job: Job, number: int) -> Refusal | None:
    """Get a slot for a request, after a wait if need be; or say why not."""
    refusal = place_refusal(gate, job.target_id)
    if refusal is not None:
        return refusal
    entry = QueueEntry(
        number,
        job.request_id,
        job.route,
        job.priority,
        job.aim_at,
        job.deadline,
        job.is_repeat,
    )
    now = gate.reactor.seconds()
    started = admit(gate.queue, entry, now, may_wait=job.may_wait)
    if isinstance(started, Refusal):
        return started
    if started:
        return None
    _wake_later(gate, now)
    return await _wait(gate, entry)


async def _wait(gate: TargetGate, entry: QueueEntry) -> Refusal | None:
    starter: Deferred[Refusal | None] = Deferred()
    gate.starters[entry.number] = starter
    left = max(0, entry.deadline - gate.reactor.seconds())
    timer = gate.reactor.callLater(left, _start_waiting_now, gate)
    try:
        return await starter
    except (CancelledError, GeneratorExit):
        if not cancel_waiting(gate.queue, entry.number):
            leave(gate, entry.number)
        raise
    finally:
        gate.starters.pop(entry.number, None)
        if timer.active():
            timer.cancel()


def leave(gate: TargetGate, number: int) -> None:
    """Take a request out that ran, and start what waits."""
    remove_running(gate.queue, number)
    start_waiting(gate, gate.reactor.seconds())


def _start_waiting_now(gate: TargetGate) -> None:
    gate.waker = None
    start_waiting(gate, gate.reactor.seconds())


def start_waiting(gate: TargetGate, now: float) -> None:
    """Start what may run now, and end what is out of time."""
    started, dropped = start_ready(gate.queue, now)
    for entry, refusal in dropped:
        gate.starters[entry.number].callback(refusal)
    for entry in started:
        gate.starters[entry.number].callback(None)
    _wake_later(gate, now)


def _wake_later(gate: TargetGate, now: float) -> None:
    at = next_start_time(gate.queue, now)
    if at is None or gate.waker is not None:
        return
    gate.waker = gate.reactor.callLater(
        max(0, at - now),
        _start_waiting_now,
        gate,
    )


def refuse_waiting(gate: TargetGate, refusal: Refusal) -> None:
    """Refuse all that waits."""
    for entry in clear_waiting(gate.queue):
        gate.starters[entry.number].callback(refusal)
