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
    'acquire_slot',
    'not_run_refusal',
    'refuse_if_unavailable',
    'refuse_waiting_requests',
    'release_slot',
    'service_terms',
    'start_gate_drain',
    'start_waiting_requests',
)


@dataclass(slots=True)
class TargetGate:
    """State of the way to the local target.

    Attributes
    ----------
    address
        Of the local target.
    waiters
        What to fire when a waiting request may run, by its number.
    tasks
        What serves each attempt at present, by its id.
    target_entry
        What the target has published, if it is known.
    is_restart_suspected
        Whether the target may have restarted unseen since its last answer.
    probed_at
        When a probe was last sent.
    start_timer
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
    request_numbers: 'count[int]' = field(default_factory=count)
    waiters: dict[int, Deferred[Refusal | None]] = field(default_factory=dict)
    tasks: dict[str, Deferred[Outcome]] = field(default_factory=dict)
    target_entry: TargetEntry | None = None
    is_draining: bool = False
    is_restart_suspected: bool = False
    is_probing: bool = False
    probed_at: float = 0
    start_timer: Timer | None = None


def start_gate_drain(gate: TargetGate) -> None:
    """Refuse new work from now on; what runs goes on to its end."""
    gate.is_draining = True
    refuse_waiting_requests(gate, not_run_refusal(Reason.DRAINING))


def service_terms(gate: TargetGate) -> ServiceTerms | None:
    """Look up what the local target may bear."""
    if gate.world.table is None or gate.target_entry is None:
        return None
    return gate.world.table.services.get(gate.target_entry.service)


def not_run_refusal(reason: Reason) -> Refusal:
    """Say that a request did not run."""
    return Refusal(reason, Verdict.NOT_RUN, 0)


def refuse_if_unavailable(
    gate: TargetGate, target_id: str | None
) -> Refusal | None:
    """Refuse work that does not belong at this target now."""
    target_entry = gate.target_entry
    if gate.is_draining:
        return not_run_refusal(Reason.DRAINING)
    if target_entry is None:
        return not_run_refusal(Reason.NOT_READY)
    if target_id is not None and target_entry.target_id != target_id:
        return not_run_refusal(Reason.WRONG_TARGET)
    if target_entry.is_draining:
        return not_run_refusal(Reason.DRAINING)
    if target_entry.data_centre in gate.world.out:
        return not_run_refusal(Reason.DATA_CENTRE_OUT)
    return None


async def acquire_slot(
    gate: TargetGate, job: Job, number: int
) -> Refusal | None:
    """Get a slot for a request, after a wait if need be; or say why not."""
    refusal = refuse_if_unavailable(gate, job.target_id)
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
    _schedule_start(gate, now)
    return await _wait_for_slot(gate, entry)


async def _wait_for_slot(gate: TargetGate, entry: QueueEntry) -> Refusal | None:
    waiter: Deferred[Refusal | None] = Deferred()
    gate.waiters[entry.number] = waiter
    left = max(0, entry.deadline - gate.reactor.seconds())
    timer = gate.reactor.callLater(left, _on_timer, gate)
    try:
        return await waiter
    except (CancelledError, GeneratorExit):
        if not cancel_waiting(gate.queue, entry.number):
            release_slot(gate, entry.number)
        raise
    finally:
        gate.waiters.pop(entry.number, None)
        if timer.active():
            timer.cancel()


def release_slot(gate: TargetGate, number: int) -> None:
    """Take a request out that ran, and start what waits."""
    remove_running(gate.queue, number)
    start_waiting_requests(gate, gate.reactor.seconds())


def _on_timer(gate: TargetGate) -> None:
    gate.start_timer = None
    start_waiting_requests(gate, gate.reactor.seconds())


def start_waiting_requests(gate: TargetGate, now: float) -> None:
    """Start what may run now, and end what is out of time."""
    started, dropped = start_ready(gate.queue, now)
    for entry, refusal in dropped:
        gate.waiters[entry.number].callback(refusal)
    for entry in started:
        gate.waiters[entry.number].callback(None)
    _schedule_start(gate, now)


def _schedule_start(gate: TargetGate, now: float) -> None:
    at = next_start_time(gate.queue, now)
    if at is None or gate.start_timer is not None:
        return
    gate.start_timer = gate.reactor.callLater(
        max(0, at - now),
        _on_timer,
        gate,
    )


def refuse_waiting_requests(gate: TargetGate, refusal: Refusal) -> None:
    """Refuse all that waits."""
    for entry in clear_waiting(gate.queue):
        gate.waiters[entry.number].callback(refusal)
