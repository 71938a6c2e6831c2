"""Run requests at the local target and classify their outcomes."""

from http import HTTPStatus
from typing import Final, NamedTuple

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.deadlines import wait_until
from marjoramlead.events import emit
from marjoramlead.hops import Job, attempt_id
from marjoramlead.job_routes import with_current_version
from marjoramlead.ledger import (
    Outcome,
    bar_attempt,
    record_outcome,
    register_attempt,
)
from marjoramlead.link_admission import record_answer_size
from marjoramlead.queue_state import count_nested
from marjoramlead.queue_statistics import record_service_time
from marjoramlead.target_gate import (
    ReadBody,
    TargetGate,
    acquire_slot,
    apply_notice,
    not_run_refusal,
    receive_body,
    refuse_if_unavailable,
    release_slot,
)
from marjoramlead.target_pace import mean_pace, work_until
from marjoramlead.target_probe import probe_target, suspect_restart
from marjoramlead.target_queue import load_report
from marjoramlead.upstream import (
    ConnectionFailure,
    OutgoingRequest,
    Reply,
    SendResult,
    header_value,
    send,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'PendingBody',
    'ReadBody',
    'abandon_job',
    'serve_job',
    'withdraw_attempt',
)

MS_PER_SECOND: Final = 1000
# Time after the deadline during which the target's response is still awaited. A
# target stops a request at the deadline that it was given, and then responds.
TARGET_RESPONSE_GRACE_S: Final = 0.1
# Longest time for which a request holds a slot while its body arrives. TCP
# retransmits a lost packet after 200 ms.
BODY_TIMEOUT_S: Final = 0.5
# Deducted from the time limit sent to a target, so that its response can return
# before the deadline.
RETURN_MARGIN_S: Final = 0.005
# Minimum time between probes after lost connections.
MIN_PROBE_INTERVAL_S: Final = 0.5
# Status of a target that did not run a request meant for another target.
WRONG_TARGET_STATUS: Final = HTTPStatus.MISDIRECTED_REQUEST


class PendingBody(NamedTuple):
    """A body that its sender withholds until it is requested.

    Attributes
    ----------
    length
        Length in bytes.
    receive_ahead
        Receives what may arrive before the request has a slot.
    receive_end
        Asks the sender for the rest, and returns the whole body. A sender that
        no longer waits for the answer does not send it, so it is not run.
    """

    length: int
    receive_ahead: ReadBody
    receive_end: ReadBody


async def _read_job_body(job: Job) -> bytes:
    return job.body


def serve_job(
    gate: TargetGate,
    job: Job,
    read_body: ReadBody | None = None,
    pending_body: PendingBody | None = None,
) -> Deferred[Outcome]:
    """Serve one request to its end; cancelling the result stops it.

    Parameters
    ----------
    gate
        Gate of the local target.
    job
        Request to run.
    read_body
        Reads a body that was sent with the request; without it, the body in
        ``job`` is used.
    pending_body
        Body that the sender withholds until it is requested.
    """
    now = gate.reactor.seconds()
    attempt = attempt_id(job.request_id, job.attempt)
    refusal = register_attempt(gate.ledger, attempt, now)
    if refusal is not None:
        emit('duplicate', request_id=job.request_id, verdict=refusal.verdict)
        done: Deferred[Outcome] = Deferred()
        done.callback(refusal)
        return done
    entry = gate.target_entry
    task = Deferred.fromCoroutine(
        _serve(
            gate,
            with_current_version(
                gate.mesh_state, job, entry.service if entry else None
            ),
            read_body or (lambda: _read_job_body(job)),
            pending_body,
        ),
    )
    if not task.called:
        gate.tasks[attempt] = task
        gate.jobs[attempt] = job
    return task


def abandon_job(gate: TargetGate, job: Job) -> None:
    """Cancel a request whose sender has disconnected.

    A request that is not idempotent and was sent to the target runs to its end,
    so that the sender can still query its outcome.
    """
    attempt = attempt_id(job.request_id, job.attempt)
    task = gate.tasks.get(attempt)
    if task is None or gate.jobs.get(attempt) is not job:
        return  # it has ended, or is that of another sender
    running_numbers = {
        number
        for number, (entry, _started_at) in gate.queue.running.items()
        if entry.request_id == job.request_id
    }
    is_sent = attempt in gate.sent_attempts
    is_cancelled = job.retry_policy == 'idempotent' or not is_sent
    _record_abandoned(gate, job, running_numbers, is_cancelled=is_cancelled)
    if is_cancelled:
        task.cancel()


def withdraw_attempt(gate: TargetGate, attempt: str) -> Refusal:
    """Drop an attempt whose caller has left; bar one that has not arrived.

    Returns
    -------
    A refusal for the sender, which does not use it.
    """
    job = gate.jobs.get(attempt)
    if job is None:
        bar_attempt(gate.ledger, attempt, gate.reactor.seconds())
    else:
        abandon_job(gate, job)
    return Refusal(Reason.CALLER_GONE, Verdict.MAY_HAVE_RUN, 0)


async def _serve(
    gate: TargetGate,
    job: Job,
    read_body: ReadBody,
    pending_body: PendingBody | None,
) -> Outcome:
    outcome: Outcome = Refusal(Reason.CALLER_GONE, Verdict.MAY_HAVE_RUN, 0)
    started_at = gate.reactor.seconds()
    number = next(gate.request_numbers)
    try:
        ready = await _prepare(gate, job, number, read_body, pending_body)
    except CancelledError:
        ready = not_run_refusal(Reason.CALLER_GONE)
    try:
        if isinstance(ready, Refusal):
            outcome = ready
        else:
            outcome = await _run_in_slot(gate, job, number, ready, started_at)
    except CancelledError:
        if attempt_id(job.request_id, job.attempt) not in gate.sent_attempts:
            outcome = not_run_refusal(Reason.CALLER_GONE)
        raise
    finally:
        _complete(gate, job, number, outcome, started_at)
    return outcome


async def _prepare(
    gate: TargetGate,
    job: Job,
    number: int,
    read_body: ReadBody,
    pending_body: PendingBody | None,
) -> ReadBody | Refusal:
    """Wait until the request has a slot, and its body if that is pending.

    The end of a pending body is left to be read in the slot.
    """
    length = pending_body.length if pending_body else 0
    refusal = await acquire_slot(gate, job, number, length)
    if refusal is not None:
        return refusal
    if pending_body is None:
        return read_body
    body = await receive_body(gate, job, number, pending_body.receive_ahead)
    return body if isinstance(body, Refusal) else pending_body.receive_end


def _complete(
    gate: TargetGate,
    job: Job,
    number: int,
    outcome: Outcome,
    started_at: float,
) -> None:
    attempt = attempt_id(job.request_id, job.attempt)
    gate.tasks.pop(attempt, None)
    gate.jobs.pop(attempt, None)
    gate.sent_attempts.discard(attempt)
    gate.link_load.expected.pop(number, None)
    record_outcome(gate.ledger, attempt, outcome, gate.reactor.seconds())
    _log_outcome(gate, job, outcome, started_at)


async def _run_in_slot(
    gate: TargetGate,
    job: Job,
    number: int,
    read_body: ReadBody,
    arrived_at: float,
) -> Outcome:
    started_at = gate.reactor.seconds()
    pace = gate.queue.statistics.pace
    work_before = work_until(pace, started_at)
    try:
        outcome = await _forward(gate, job, read_body, arrived_at)
    finally:
        entry = gate.queue.running[number][0]
        _release_slot_and_probe(gate, number)
    if isinstance(outcome, Reply):
        now = gate.reactor.seconds()
        _record_answer(
            gate,
            entry.route,
            outcome,
            (now - started_at, mean_pace(pace, started_at, work_before, now)),
        )
    return outcome


def _record_answer(
    gate: TargetGate, route: str, reply: Reply, took: tuple[float, float]
) -> None:
    """Record an answer, its service time and the mean pace of that time."""
    service_time, pace = took
    record_service_time(gate.queue.statistics, route, service_time / pace)
    if reply.status < HTTPStatus.MULTIPLE_CHOICES:
        record_answer_size(gate.link_load, route, len(reply.body))
    gate.metrics.target_latency.observe(service_time)


def _release_slot_and_probe(gate: TargetGate, number: int) -> None:
    release_slot(gate, number)
    if gate.is_restart_suspected:
        probe_target(gate)


async def _forward(
    gate: TargetGate,
    job: Job,
    read_body: ReadBody,
    arrived_at: float,
) -> Outcome:
    body = await wait_until(
        gate.reactor,
        read_body(),
        min(job.deadline, gate.reactor.seconds() + BODY_TIMEOUT_S),
    )
    if body is None:
        return not_run_refusal(Reason.CALLER_GONE)
    if isinstance(body, Refusal):
        return body
    refusal = refuse_if_unavailable(gate, job.target_id)
    if refusal is not None:
        return refusal
    now = gate.reactor.seconds()
    if now >= job.deadline:
        return not_run_refusal(Reason.DEADLINE)
    complete_job = job._replace(body=body)
    _log_start(complete_job, arrived_at, now)
    return _classify_result(gate, job, await _send(gate, complete_job, now))


async def _send(gate: TargetGate, job: Job, now: float) -> SendResult | None:
    """Send a job; return None if the target did not respond in time."""
    outgoing = OutgoingRequest(
        job.method,
        job.uri,
        _target_headers(gate, job, now),
        job.body,
        is_identified=lambda reply: _names_job(gate, job, reply),
    )
    attempt = attempt_id(job.request_id, job.attempt)
    sending = send(
        gate.pool,
        outgoing,
        lambda reply: _is_reply_to(gate, job, reply),
        on_connected=lambda: gate.sent_attempts.add(attempt),
    )
    return await wait_until(
        gate.reactor, sending, job.deadline + TARGET_RESPONSE_GRACE_S
    )


def _names_job(gate: TargetGate, job: Job, reply: Reply) -> bool:
    echoed = header_value(reply.headers, gate.header_names.request_id)
    return echoed == job.request_id


def _is_reply_to(gate: TargetGate, job: Job, reply: Reply) -> bool:
    echoed = header_value(reply.headers, gate.header_names.request_id)
    return not echoed or echoed == job.request_id


def _target_headers(
    gate: TargetGate,
    job: Job,
    now: float,
) -> list[tuple[bytes, bytes]]:
    header_names = gate.header_names
    time_left = max(0, job.deadline - now - RETURN_MARGIN_S)
    return [
        *job.headers,
        (header_names.wait_ms, str(int(time_left * MS_PER_SECOND)).encode()),
        (header_names.expected_target, job.target_id.encode()),
        (header_names.caller_service, job.calling_service.encode()),
    ]


def _classify_result(
    gate: TargetGate, job: Job, send_result: SendResult | None
) -> Outcome:
    if send_result is None:
        return Refusal(
            Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, 0, reached_target=True
        )
    if send_result.is_error():
        return _on_connection_failure(gate, send_result.error)
    reply = send_result.ok
    header_names = gate.header_names
    if header_value(reply.headers, header_names.not_run):
        if reply.status != WRONG_TARGET_STATUS:
            apply_notice(gate, reply.headers)
        return Refusal(
            Reason.TARGET_FULL, Verdict.NOT_RUN, 0, reached_target=True
        )
    if reply.status == WRONG_TARGET_STATUS:
        suspect_restart(gate)
        return Refusal(Reason.WRONG_TARGET, Verdict.NOT_RUN, 0)
    is_authentic = header_value(reply.headers, header_names.seal) and (
        header_value(reply.headers, header_names.request_id) == job.request_id
    )
    if not is_authentic or header_value(reply.headers, b'content-encoding'):
        return Refusal(
            Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0, reached_target=True
        )
    apply_notice(gate, reply.headers)
    return reply


def _on_connection_failure(
    gate: TargetGate,
    failure: ConnectionFailure,
) -> Refusal:
    """Classify a failure to connect or a lost connection.

    A target that restarts refuses connections at first, so a failure before
    the request was sent counts as a sign of a restart. A target whose responses
    are lost after that is probed, but not treated as cold.
    """
    if failure.may_have_arrived:
        probe_target(gate, MIN_PROBE_INTERVAL_S)
        verdict = Verdict.MAY_HAVE_RUN
    else:
        suspect_restart(gate)
        verdict = Verdict.NOT_RUN
    return Refusal(
        failure.reason, verdict, 0, reached_target=failure.may_have_arrived
    )


def _record_abandoned(
    gate: TargetGate,
    job: Job,
    running_numbers: set[int],
    *,
    is_cancelled: bool,
) -> None:
    """Log and count a job whose sender has disconnected, by its stage."""
    if running_numbers:
        stage = 'running' if is_cancelled else 'kept'
    else:
        is_receiving = any(
            entry.request_id == job.request_id
            for entry in gate.queue.receiving.values()
        )
        stage = 'receiving' if is_receiving else 'waiting'
    gate.metrics.abandoned.labels(stage).inc()
    emit(
        'abandoned',
        request_id=job.request_id,
        route=job.route,
        attempt=job.attempt,
        stage=stage,
    )


def _log_start(job: Job, arrived_at: float, now: float) -> None:
    emit(
        'run_start',
        request_id=job.request_id,
        route=job.route,
        attempt=job.attempt,
        size=len(job.body),
        waited_ms=round((now - arrived_at) * MS_PER_SECOND),
        left_ms=round((job.deadline - now) * MS_PER_SECOND),
    )


def _log_outcome(
    gate: TargetGate,
    job: Job,
    outcome: Outcome,
    started_at: float,
) -> None:
    now = gate.reactor.seconds()
    load = load_report(gate.queue, now, job.route)
    if isinstance(outcome, Reply):
        status_or_reason, verdict = str(outcome.status), Verdict.RAN
    else:
        status_or_reason, verdict = outcome.reason.value, outcome.verdict
    emit(
        'gate',
        request_id=job.request_id,
        target=job.target_id,
        route=job.route,
        outcome=status_or_reason,
        verdict=verdict,
        took_ms=round((now - started_at) * MS_PER_SECOND),
        left_ms=round((job.deadline - now) * MS_PER_SECOND),
        may_wait=job.may_wait,
        priority=job.priority,
        is_nested=job.is_nested,
        has_reservation=job.has_reservation,
        running=len(gate.queue.running),
        receiving=len(gate.queue.receiving),
        running_nested=count_nested(gate.queue),
        waiting=len(gate.queue.waiting),
        slots=gate.queue.slots,
        is_cold=now < gate.queue.cold_until,
        wait_ms=round(min(load.wait_s, MS_PER_SECOND) * MS_PER_SECOND),
        revision=gate.mesh_state.revision.number,
        era=gate.mesh_state.revision.era,
    )
