"""The only way to the local target: admit, send, and report its load."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from itertools import count
from typing import Final

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.clock import Clock, Timer
from marjoramlead.dialect import Dialect
from marjoramlead.events import emit
from marjoramlead.hops import Job, attempt_id
from marjoramlead.ledger import Ledger, Outcome, begin, settle
from marjoramlead.limits import Wait
from marjoramlead.metrics import Metrics
from marjoramlead.routes import ServiceTerms
from marjoramlead.target_queue import (
    Entry,
    TargetQueue,
    empty_queue,
    finish,
    forget,
    load_report,
    next_start,
    note_work,
    offer,
    set_cold,
    start_ready,
)
from marjoramlead.upstream import (
    LinkFailure,
    Outgoing,
    Pool,
    Reply,
    Sent,
    send,
    value_of,
)
from marjoramlead.verdict import Reason, Refusal, Verdict
from marjoramlead.world import TargetEntry, World, is_usable, target_at

__all__ = (
    'TargetGate',
    'abandon',
    'check_target',
    'follow_world',
    'serve_job',
    'start_gate_drain',
)

SECOND_MS: Final = 1000
# A target stops at the deadline that it was given; its word of that is
# awaited for this long before the connection is closed.
LAST_WORD_S: Final = 0.1
# Taken off the time that is handed to a target, for the way back.
WAY_BACK_S: Final = 0.005
# A probe that has no answer by then is given up.
PROBE_LIMIT_S: Final = 1.0
# Statuses with which a target says that it did not run a request.
WRONG_TARGET_STATUS: Final = HTTPStatus.MISDIRECTED_REQUEST


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
    suspected
        Whether the target may have restarted unseen since its last answer.
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
    waker: Timer | None = None
    on_change: list[Callable[[], None]] = field(default_factory=list)


def serve_job(gate: TargetGate, job: Job) -> Deferred[Outcome]:
    """Serve one request to its end; cancelling it gives it up."""
    now = gate.reactor.seconds()
    attempt = attempt_id(job.request_id, job.attempt)
    refusal = begin(gate.ledger, attempt, now)
    if refusal is not None:
        emit('duplicate', request_id=job.request_id, verdict=refusal.verdict)
        done: Deferred[Outcome] = Deferred()
        done.callback(refusal)
        return done
    task = Deferred.fromCoroutine(_serve(gate, job))
    if not task.called:
        gate.tasks[attempt] = task
    return task


def abandon(gate: TargetGate, job: Job) -> None:
    """Give up a request whose sender is gone.

    One that may run once only and has begun goes on to its end, so that its
    sender can still learn its fate.
    """
    task = gate.tasks.get(attempt_id(job.request_id, job.attempt))
    if task is None:
        return
    numbers = {
        number
        for number, (entry, _began) in gate.queue.running.items()
        if entry.request_id == job.request_id
    }
    if job.repeat == 'idempotent' or not numbers:
        task.cancel()


def follow_world(gate: TargetGate) -> None:
    """Follow what is believed of the local target."""
    now = gate.reactor.seconds()
    known = gate.entry
    entry = target_at(gate.world, gate.address)
    gate.entry = entry
    gate.queue.slots = entry.slots if entry else 0
    if entry is None or not is_usable(gate.world, entry):
        refusal = _place_refusal(gate, None)
        _refuse_waiting(gate, refusal or _refused(Reason.NOT_READY))
        gate.suspected = True
        return
    terms = _terms(gate)
    is_new = known is None or (known.target_id, known.born_ms) != (
        entry.target_id,
        entry.born_ms,
    )
    is_changed = known is None or entry.seen_at != known.seen_at
    if entry.cold_s and is_changed:
        per_s = terms.cold_per_s if terms else 1
        set_cold(gate.queue, entry.seen_at + entry.cold_s, per_s)
        emit('target_cold', target=entry.target_id, left_s=entry.cold_s)
    if is_new:
        gate.queue.work.clear()
    if gate.suspected:
        suspect(gate)
    _start_waiting(gate, now)


def suspect(gate: TargetGate) -> None:
    """Treat the target as cold until a probe tells otherwise."""
    gate.suspected = True
    terms = _terms(gate)
    if terms is not None:
        now = gate.reactor.seconds()
        until = max(gate.queue.cold_until, now + terms.cold_s)
        set_cold(gate.queue, until, terms.cold_per_s)
    check_target(gate)


def check_target(gate: TargetGate) -> None:
    """Probe the target, unless a probe is under way or it has no slot free."""
    has_slot = len(gate.queue.running) < gate.queue.slots
    if gate.is_probing or gate.entry is None or not has_slot:
        return
    gate.is_probing = True
    Deferred.fromCoroutine(_probe(gate)).addErrback(
        lambda failure: emit('probe_bug', error=failure.getTraceback()),
    )


def start_gate_drain(gate: TargetGate) -> None:
    """Refuse new work from now on; what runs goes on to its end."""
    gate.is_draining = True
    _refuse_waiting(gate, _refused(Reason.DRAINING))


def _terms(gate: TargetGate) -> ServiceTerms | None:
    if gate.world.table is None or gate.entry is None:
        return None
    return gate.world.table.services.get(gate.entry.service)


def _refused(reason: Reason) -> Refusal:
    return Refusal(reason, Verdict.NOT_RUN, 0)


def _place_refusal(gate: TargetGate, target_id: str | None) -> Refusal | None:
    entry = gate.entry
    if gate.is_draining:
        return _refused(Reason.DRAINING)
    if entry is None:
        return _refused(Reason.NOT_READY)
    if target_id is not None and entry.target_id != target_id:
        return _refused(Reason.WRONG_TARGET)
    if entry.is_draining:
        return _refused(Reason.DRAINING)
    if entry.data_centre in gate.world.out:
        return _refused(Reason.DATA_CENTRE_OUT)
    return None


async def _serve(gate: TargetGate, job: Job) -> Outcome:
    outcome: Outcome = Refusal(Reason.CALLER_GONE, Verdict.MAY_HAVE_RUN, 0)
    began = gate.reactor.seconds()
    number = next(gate.numbers)
    try:
        refusal = await _enter(gate, job, number)
    except CancelledError:
        refusal = _refused(Reason.CALLER_GONE)
    try:
        if refusal is None:
            outcome = await _run(gate, job, number)
        else:
            outcome = refusal
    finally:
        attempt = attempt_id(job.request_id, job.attempt)
        gate.tasks.pop(attempt, None)
        now = gate.reactor.seconds()
        settle(gate.ledger, attempt, outcome, now)
        _log_end(gate, job, outcome, began)
    return outcome


async def _enter(gate: TargetGate, job: Job, number: int) -> Refusal | None:
    refusal = _place_refusal(gate, job.target_id)
    if refusal is not None:
        return refusal
    entry = Entry(
        number,
        job.request_id,
        job.route,
        job.priority,
        job.aim_at,
        job.deadline,
    )
    now = gate.reactor.seconds()
    started = offer(gate.queue, entry, now, may_wait=job.may_wait)
    if isinstance(started, Refusal):
        return started
    if started:
        return None
    _wake_later(gate, now)
    return await _wait(gate, entry)


async def _wait(gate: TargetGate, entry: Entry) -> Refusal | None:
    starter: Deferred[Refusal | None] = Deferred()
    gate.starters[entry.number] = starter
    left = max(0, entry.deadline - gate.reactor.seconds())
    timer = gate.reactor.callLater(left, _start_waiting_now, gate)
    try:
        return await starter
    except CancelledError:
        if not forget(gate.queue, entry.number):
            _leave(gate, entry.number)
        raise
    finally:
        gate.starters.pop(entry.number, None)
        if timer.active():
            timer.cancel()


async def _run(gate: TargetGate, job: Job, number: int) -> Outcome:
    began = gate.reactor.seconds()
    try:
        if began >= job.deadline:
            return _refused(Reason.DEADLINE)
        sent = await _send(gate, job, began)
        outcome = _judge(gate, job, sent)
        if isinstance(outcome, Reply):
            took = gate.reactor.seconds() - began
            note_work(gate.queue, gate.queue.running[number][0], took)
            gate.metrics.work.observe(took)
        return outcome
    finally:
        _leave(gate, number)


async def _send(gate: TargetGate, job: Job, now: float) -> Sent | None:
    """Send a job; None if the target did not answer by the deadline."""
    outgoing = Outgoing(
        job.method,
        job.uri,
        _target_headers(gate, job, now),
        job.body,
    )
    wait = Wait(
        gate.reactor,
        send(gate.pool, outgoing, lambda reply: _belongs(gate, job, reply)),
    )
    wait.end_at(job.deadline + LAST_WORD_S)
    return await wait.result()


def _belongs(gate: TargetGate, job: Job, reply: Reply) -> bool:
    echoed = value_of(reply.headers, gate.dialect.request_id)
    return not echoed or echoed == job.request_id


def _target_headers(
    gate: TargetGate,
    job: Job,
    now: float,
) -> list[tuple[bytes, bytes]]:
    names = gate.dialect
    left = max(0, job.deadline - now - WAY_BACK_S)
    return [
        *job.headers,
        (names.wait_ms, str(int(left * SECOND_MS)).encode()),
        (names.expected_target, job.target_id.encode()),
        (names.caller_service, job.caller.encode()),
    ]


def _judge(gate: TargetGate, job: Job, sent: Sent | None) -> Outcome:
    if sent is None:
        return Refusal(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, 0, reached=True)
    if sent.is_error():
        return _on_link_failure(gate, sent.error)
    reply = sent.ok
    names = gate.dialect
    if value_of(reply.headers, names.not_run):
        return Refusal(Reason.TARGET_FULL, Verdict.NOT_RUN, 0, reached=True)
    if reply.status == WRONG_TARGET_STATUS:
        suspect(gate)
        return Refusal(Reason.WRONG_TARGET, Verdict.NOT_RUN, 0)
    is_own = value_of(reply.headers, names.seal) and (
        value_of(reply.headers, names.request_id) == job.request_id
    )
    if not is_own or value_of(reply.headers, b'content-encoding'):
        return Refusal(Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0, reached=True)
    gate.suspected = False
    return reply


def _on_link_failure(gate: TargetGate, failure: LinkFailure) -> Refusal:
    suspect(gate)
    verdict = Verdict.MAY_HAVE_RUN if failure.was_sent else Verdict.NOT_RUN
    return Refusal(failure.reason, verdict, 0, reached=failure.was_sent)


def _leave(gate: TargetGate, number: int) -> None:
    finish(gate.queue, number)
    if gate.suspected:
        check_target(gate)
    _start_waiting(gate, gate.reactor.seconds())


def _start_waiting_now(gate: TargetGate) -> None:
    gate.waker = None
    _start_waiting(gate, gate.reactor.seconds())


def _start_waiting(gate: TargetGate, now: float) -> None:
    started, expired = start_ready(gate.queue, now)
    for entry in expired:
        gate.starters[entry.number].callback(_refused(Reason.DEADLINE))
    for entry in started:
        gate.starters[entry.number].callback(None)
    _wake_later(gate, now)


def _wake_later(gate: TargetGate, now: float) -> None:
    at = next_start(gate.queue, now)
    if at is None or gate.waker is not None:
        return
    gate.waker = gate.reactor.callLater(
        max(0, at - now),
        _start_waiting_now,
        gate,
    )


def _refuse_waiting(gate: TargetGate, refusal: Refusal) -> None:
    for entry in empty_queue(gate.queue):
        gate.starters[entry.number].callback(refusal)


async def _probe(gate: TargetGate) -> None:
    terms = _terms(gate)
    entry = gate.entry
    if terms is None or entry is None:
        gate.is_probing = False
        return
    now = gate.reactor.seconds()
    number = next(gate.numbers)
    mark = Entry(number, '', '', 0, now, now + PROBE_LIMIT_S)
    gate.queue.running[number] = (mark, now)
    host = f'{entry.address[0]}:{entry.address[1]}'.encode()
    outgoing = Outgoing(
        b'GET',
        terms.health_path.encode(),
        [(b'Host', host)],
        b'',
    )
    wait = Wait(gate.reactor, send(gate.pool, outgoing))
    wait.end_at(now + PROBE_LIMIT_S)
    gate.metrics.probes.inc()
    try:
        sent = await wait.result()
    finally:
        gate.is_probing = False
        _leave(gate, number)
    _on_probe(gate, sent, terms)


def _on_probe(
    gate: TargetGate,
    sent: Sent | None,
    terms: ServiceTerms,
) -> None:
    if sent is None or sent.is_error():
        emit('probe_failed', address=gate.address)
        return
    cold = value_of(sent.ok.headers, gate.dialect.cold_ms)
    now = gate.reactor.seconds()
    try:
        left = float(cold or 0) / SECOND_MS
    except ValueError:
        emit('probe_unreadable', cold=cold)
        return
    was_cold = now < gate.queue.cold_until
    if left or was_cold:
        emit('target_cold', left_s=left, status=sent.ok.status)
    gate.suspected = False
    set_cold(gate.queue, now + left if left else 0, terms.cold_per_s)
    _start_waiting(gate, now)


def _log_end(
    gate: TargetGate,
    job: Job,
    outcome: Outcome,
    began: float,
) -> None:
    now = gate.reactor.seconds()
    load = load_report(gate.queue, now)
    if isinstance(outcome, Reply):
        ended, verdict = str(outcome.status), Verdict.RAN
    else:
        ended, verdict = outcome.reason.value, outcome.verdict
    emit(
        'gate',
        request_id=job.request_id,
        target=job.target_id,
        route=job.route,
        outcome=ended,
        verdict=verdict,
        took_ms=round((now - began) * SECOND_MS),
        left_ms=round((job.deadline - now) * SECOND_MS),
        may_wait=job.may_wait,
        running=len(gate.queue.running),
        waiting=len(gate.queue.waiting),
        slots=gate.queue.slots,
        is_cold=now < gate.queue.cold_until,
        wait_ms=round(min(load.wait_s, SECOND_MS) * SECOND_MS),
        revision=gate.world.revision,
    )
