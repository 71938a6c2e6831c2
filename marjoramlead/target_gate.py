"""Admission to the local target: every request passes through its gate."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from itertools import count
from typing import Final

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.body_grants import BodyGrants, arrival_time
from marjoramlead.clock import Clock, Timer
from marjoramlead.deadlines import wait_until
from marjoramlead.events import emit
from marjoramlead.header_names import HeaderNames
from marjoramlead.hops import Job
from marjoramlead.job_routes import refuse_changed_route
from marjoramlead.ledger import AttemptLedger, Outcome, new_ledger
from marjoramlead.link_admission import (
    LinkLoad,
    answer_transfer_s,
    expect_answer,
    is_link_in_time,
    link_wait_s,
    next_return,
)
from marjoramlead.link_schedule import open_schedule, record_written
from marjoramlead.link_writer import LinkWriter
from marjoramlead.memory_budget import MemoryBudget
from marjoramlead.mesh_state import (
    MeshState,
    TargetEntry,
    is_leaving,
    note_leaving,
)
from marjoramlead.metrics import Metrics
from marjoramlead.queue_estimates import (
    MIN_RETRY_AFTER_S,
    expected_service_time,
)
from marjoramlead.routes import ServiceConfig
from marjoramlead.target_notices import read_notice
from marjoramlead.target_pace import record_pace
from marjoramlead.target_queue import (
    LoadReport,
    QueueEntry,
    TargetQueue,
    admit,
    begin_receiving,
    cancel_waiting,
    clear_waiting,
    end_receiving,
    load_report,
    next_start_time,
    remove_running,
    set_rate_limit,
    start_ready,
)
from marjoramlead.upstream import ConnectionPool, HeaderList
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'RECEIVING_RETRY_AFTER_S',
    'ReadBody',
    'TargetGate',
    'acquire_slot',
    'apply_notice',
    'gate_report',
    'not_run_refusal',
    'receive_body',
    'refuse_if_unavailable',
    'refuse_waiting_requests',
    'release_slot',
    'running_entry',
    'service_config',
    'start_gate_drain',
    'start_waiting_requests',
)


# Retry-After value if as many bodies are on the way as the target has slots.
RECEIVING_RETRY_AFTER_S: Final = 0.2
MS_PER_SECOND: Final = 1000

ReadBody = Callable[[], Coroutine[Deferred[object], object, bytes | Refusal]]


@dataclass(slots=True)
class TargetGate:
    """Queue, connections and known state of the local target.

    Attributes
    ----------
    address
        Host and port of the local target.
    waiters
        Deferreds of waiting requests, by number. Each fires with None when the
        request may run, or with its refusal.
    body_grants
        Bodies that other nodes send for the local target.
    budget
        Memory for these bodies.
    link, link_load
        Answers of the local target that are sent to other nodes, and those
        that are expected.
    jobs
        Current attempts, by attempt id.
    tasks
        Tasks that serve the current attempts, by attempt id.
    sent_attempts
        Ids of the current attempts that were sent to the target.
    target_entry
        Published entry of the target, or None if it is unknown.
    is_restart_suspected
        Whether the target may have restarted unnoticed since its last response.
    has_target_responded
        Whether the target has responded since this node, or the target,
        started. Until then, the limit that a sender knows is used.
    probed_at
        Time at which the last probe was sent.
    start_timer
        Timer for the next start at a cold target.
    is_starting, starts_again
        Whether waiting requests are being started, and whether they are looked
        at once more after that.
    """

    address: tuple[str, int]
    mesh_state: MeshState
    header_names: HeaderNames
    reactor: Clock
    pool: ConnectionPool
    metrics: Metrics
    body_grants: BodyGrants
    budget: MemoryBudget
    link: LinkWriter = field(init=False)
    link_load: LinkLoad = field(init=False)
    ledger: AttemptLedger = field(default_factory=new_ledger)
    queue: TargetQueue = field(default_factory=TargetQueue)
    request_numbers: 'count[int]' = field(default_factory=count)
    waiters: dict[int, Deferred[Refusal | None]] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    tasks: dict[str, Deferred[Outcome]] = field(default_factory=dict)
    sent_attempts: set[str] = field(default_factory=set)
    target_entry: TargetEntry | None = None
    is_draining: bool = False
    is_restart_suspected: bool = False
    is_probing: bool = False
    has_target_responded: bool = False
    probed_at: float = 0
    start_timer: Timer | None = None
    is_starting: bool = False
    starts_again: bool = False

    def __post_init__(self) -> None:
        schedule = open_schedule(self.body_grants.link_bytes_per_s)
        self.link = LinkWriter(schedule, self.reactor)
        self.link_load = LinkLoad(schedule)

    def record_sent(self, size: int) -> None:
        """Record that this node sends bytes to another one."""
        record_written(self.link.schedule, size, self.reactor.seconds())


def start_gate_drain(gate: TargetGate) -> None:
    """Refuse new and waiting requests; the others continue to their end.

    These are the running ones and those whose bodies are arriving.
    """
    gate.is_draining = True
    refuse_waiting_requests(gate, not_run_refusal(Reason.DRAINING))


def service_config(gate: TargetGate) -> ServiceConfig | None:
    """Return the configuration of the target's service, if known."""
    if gate.mesh_state.table is None or gate.target_entry is None:
        return None
    return gate.mesh_state.table.services.get(gate.target_entry.service)


def not_run_refusal(reason: Reason) -> Refusal:
    """Return a refusal of a request that did not run."""
    return Refusal(reason, Verdict.NOT_RUN, 0)


def refuse_if_unavailable(
    gate: TargetGate, target_id: str | None
) -> Refusal | None:
    """Return a refusal if the target must not run the request now.

    Parameters
    ----------
    gate
        Gate of the local target.
    target_id
        Id of the target that the request is for, or None for any target.
    """
    target_entry = gate.target_entry
    if target_entry is None:
        return not_run_refusal(Reason.NOT_READY)
    if target_id is not None and target_entry.target_id != target_id:
        return not_run_refusal(Reason.WRONG_TARGET)
    if is_leaving(gate.mesh_state, target_entry):
        return not_run_refusal(Reason.DRAINING)
    if target_entry.data_centre in gate.mesh_state.excluded:
        return not_run_refusal(Reason.DATA_CENTRE_OUT)
    return None


def gate_report(gate: TargetGate, route: str, now: float) -> LoadReport:
    """Return the load report for a sender on another host."""
    return load_report(gate.queue, now, route)._replace(
        link_s=link_wait_s(gate.link_load, now),
        transfer_s=answer_transfer_s(gate.link_load, route),
    )


def running_entry(gate: TargetGate, request_id: str) -> QueueEntry | None:
    """Return a request that the local target runs, or None."""
    if not request_id:
        return None
    running = (entry for entry, _started_at in gate.queue.running.values())
    return next(
        (entry for entry in running if entry.request_id == request_id), None
    )


def apply_notice(
    gate: TargetGate, headers: HeaderList, *, is_probe: bool = False
) -> None:
    """Apply the status that the target reports in a response.

    A probe may be answered without notices, so it does not end a limit.
    """
    target_entry = gate.target_entry
    if target_entry is None:
        return
    notice = read_notice(headers, gate.header_names, target_entry.target_id)
    if notice.pace is not None:
        pace = gate.queue.statistics.pace
        record_pace(pace, notice.pace, gate.reactor.seconds())
    names_limit = notice.rate_limit_per_s is not None
    if names_limit or (notice.is_limit_valid and not is_probe):
        gate.has_target_responded = True
        _set_rate_limit(gate, notice.rate_limit_per_s, gate.reactor.seconds())
    if notice.is_leaving and not is_leaving(gate.mesh_state, target_entry):
        emit('target_leaving', target=target_entry.target_id)
        note_leaving(gate.mesh_state, target_entry)
        refuse_waiting_requests(gate, not_run_refusal(Reason.DRAINING))


def _set_rate_limit(gate: TargetGate, per_s: float | None, now: float) -> None:
    if per_s != gate.queue.rate_limit_per_s:
        emit('target_limited', per_s=per_s)
        set_rate_limit(gate.queue, per_s, now)
        start_waiting_requests(gate, now)


async def acquire_slot(
    gate: TargetGate, job: Job, number: int, pending_bytes: int = 0
) -> Refusal | None:
    """Acquire a slot, waiting for one only if ``job.may_wait`` is set.

    Returns None once the request may run, or its refusal.

    Parameters
    ----------
    gate
        Gate of the local target.
    job
        Request to run.
    number
        Unique number of the request at this gate.
    pending_bytes
        Length of the body if the sender withholds it until it is requested.
    """
    if gate.is_draining:
        return not_run_refusal(Reason.DRAINING)
    refusal = _refuse_job(gate, job)
    if refusal is not None:
        return refusal
    entry = QueueEntry(
        number,
        job.request_id,
        job.route,
        job.priority,
        job.soft_deadline,
        job.deadline,
        job.is_retry,
        job.is_nested,
        job.has_reservation,
        job.account,
    )
    now = gate.reactor.seconds()
    refusal = _refuse_late_body(gate, entry, pending_bytes, now)
    if refusal is not None:
        return refusal
    if not gate.has_target_responded and job.rate_limit_per_s is not None:
        _set_rate_limit(gate, job.rate_limit_per_s, now)
    refusal = _refuse_for_link(gate, job, entry, now)
    if refusal is not None:
        return refusal
    admitted = admit(gate.queue, entry, now, may_wait=job.may_wait)
    if isinstance(admitted, Refusal):
        return admitted
    if job.crosses_link:
        expect_answer(gate.link_load, number, job.route)
    if admitted:
        return None
    _schedule_start(gate, now)
    refusal = await _wait_for_slot(gate, entry)
    if refusal is None:
        refusal = _refuse_if_rerouted(gate, job) or _refuse_late_body(
            gate, entry, pending_bytes, gate.reactor.seconds()
        )
        if refusal is not None:
            begin_receiving(gate.queue, number, gate.reactor.seconds())
            gate.queue.receiving.pop(number)
            start_waiting_requests(gate, gate.reactor.seconds())
    return refusal


def _refuse_job(gate: TargetGate, job: Job) -> Refusal | None:
    return refuse_if_unavailable(gate, job.target_id) or _refuse_if_rerouted(
        gate, job
    )


def _refuse_if_rerouted(gate: TargetGate, job: Job) -> Refusal | None:
    if gate.target_entry is None:
        return None
    return refuse_changed_route(gate.mesh_state, job, gate.target_entry.service)


def _refuse_late_body(
    gate: TargetGate, entry: QueueEntry, length: int, now: float
) -> Refusal | None:
    """Refuse a request whose body would arrive too late after all others."""
    if not length:
        return None
    if len(gate.queue.receiving) >= gate.queue.slots:
        return Refusal(
            Reason.OVERLOAD, Verdict.NOT_RUN, RECEIVING_RETRY_AFTER_S
        )
    service_time = expected_service_time(gate.queue, entry, now)
    alone_s = length / gate.body_grants.link_bytes_per_s
    end = arrival_time(gate.body_grants, length, now) + service_time
    latest_end = entry.deadline
    could_be_in_time = now + alone_s + service_time <= entry.soft_deadline
    if could_be_in_time and not entry.has_reservation:
        latest_end = entry.soft_deadline
    if end <= latest_end:
        return None
    return Refusal(
        Reason.OVERLOAD,
        Verdict.NOT_RUN,
        max(RECEIVING_RETRY_AFTER_S, end - service_time - alone_s - now),
    )


def _refuse_for_link(
    gate: TargetGate, job: Job, entry: QueueEntry, now: float
) -> Refusal | None:
    """Refuse a request whose answer would leave the link too late.

    One that may not wait is offered to other targets before it is late; one
    that may wait has no better target, and is only refused if it would fail.
    """
    load = gate.link_load
    if not job.crosses_link or job.route not in load.long_routes:
        return None
    service_s = expected_service_time(gate.queue, entry, now)
    objective_left = -1 if job.may_wait else job.soft_deadline - now
    left = (objective_left, job.deadline - now)
    if is_link_in_time(load, job.route, service_s, left, now):
        return None
    if not job.may_wait:
        return Refusal(Reason.NO_ROOM, Verdict.NOT_RUN, MIN_RETRY_AFTER_S)
    wait_s = link_wait_s(load, now)
    return_at = next_return(load, job.route, now)
    gate.metrics.link_refused.inc()
    emit(
        'link_refused',
        request_id=job.request_id,
        route=job.route,
        wait_ms=round(wait_s * MS_PER_SECOND),
        transfers=len(gate.link.answers),
        expected=len(load.expected),
        retry_ms=round((return_at - now) * MS_PER_SECOND),
    )
    return Refusal(
        Reason.OVERLOAD,
        Verdict.NOT_RUN,
        max(RECEIVING_RETRY_AFTER_S, return_at - now),
    )


async def receive_body(
    gate: TargetGate, job: Job, number: int, read_body: ReadBody
) -> bytes | Refusal:
    """Read the body of a request that has a slot, without holding the slot.

    On a narrow link, a body takes longer to arrive than its work. Returns the
    body once the request has a slot again.
    """
    queue, reactor = gate.queue, gate.reactor
    begin_receiving(queue, number, reactor.seconds())
    start_waiting_requests(gate, reactor.seconds())
    entry = queue.receiving[number]
    try:
        body = await wait_until(reactor, read_body(), job.deadline)
    except (CancelledError, GeneratorExit):
        cancel_waiting(queue, number, reactor.seconds())
        raise
    if body is None:
        body = not_run_refusal(Reason.DEADLINE)
    refusal = _refuse_job(gate, job)
    if isinstance(body, Refusal):
        cancel_waiting(queue, number, reactor.seconds())
        return refusal or body
    if refusal is not None:
        queue.receiving.pop(number)
        return refusal
    if end_receiving(queue, number, reactor.seconds()):
        return body
    _schedule_start(gate, reactor.seconds())
    refusal = await _wait_for_slot(gate, entry)
    if refusal is None:
        refusal = _refuse_if_rerouted(gate, job)
        if refusal is not None:
            release_slot(gate, number)
    return refusal or body


async def _wait_for_slot(gate: TargetGate, entry: QueueEntry) -> Refusal | None:
    waiter: Deferred[Refusal | None] = Deferred()
    gate.waiters[entry.number] = waiter
    deadline_left = max(0, entry.deadline - gate.reactor.seconds())
    timer = gate.reactor.callLater(deadline_left, _on_timer, gate)
    try:
        return await waiter
    except (CancelledError, GeneratorExit):
        now = gate.reactor.seconds()
        if not cancel_waiting(gate.queue, entry.number, now):
            release_slot(gate, entry.number)
        raise
    finally:
        gate.waiters.pop(entry.number, None)
        if timer.active():
            timer.cancel()


def release_slot(gate: TargetGate, number: int) -> None:
    """Remove a running request and start waiting ones."""
    remove_running(gate.queue, number)
    start_waiting_requests(gate, gate.reactor.seconds())


def _on_timer(gate: TargetGate) -> None:
    gate.start_timer = None
    start_waiting_requests(gate, gate.reactor.seconds())


def start_waiting_requests(gate: TargetGate, now: float) -> None:
    """Start waiting requests that may run now, and refuse late ones.

    A request that ends at once calls this again. The others are then started
    by the call that is in progress, as each would call deeper otherwise.
    """
    gate.starts_again = True
    if gate.is_starting:
        return
    gate.is_starting = True
    try:
        while gate.starts_again:
            gate.starts_again = False
            _start_ready(gate, now)
    finally:
        gate.is_starting = False
    _schedule_start(gate, now)


def _start_ready(gate: TargetGate, now: float) -> None:
    started, dropped = start_ready(gate.queue, now)
    for entry, refusal in dropped:
        gate.waiters[entry.number].callback(refusal)
    for entry in started:
        gate.waiters[entry.number].callback(None)


def _schedule_start(gate: TargetGate, now: float) -> None:
    start_at = next_start_time(gate.queue, now)
    if start_at is None or gate.start_timer is not None:
        return
    gate.start_timer = gate.reactor.callLater(
        max(0, start_at - now),
        _on_timer,
        gate,
    )


def refuse_waiting_requests(gate: TargetGate, refusal: Refusal) -> None:
    """Refuse all waiting requests."""
    for entry in clear_waiting(gate.queue):
        gate.waiters[entry.number].callback(refusal)
