"""Run one request at the local target, and judge what comes back."""

from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Final

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.events import emit
from marjoramlead.hops import Job, attempt_id
from marjoramlead.ledger import Outcome, begin, settle
from marjoramlead.limits import Wait
from marjoramlead.queue_statistics import record_service_time
from marjoramlead.target_gate import (
    TargetGate,
    acquire_slot,
    not_run_refusal,
    release_slot,
)
from marjoramlead.target_probe import probe_target, suspect_restart
from marjoramlead.target_queue import load_report
from marjoramlead.upstream import (
    LinkFailure,
    Outgoing,
    Reply,
    Sent,
    send,
    value_of,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('ReadBody', 'abandon_job', 'serve_job')

ReadBody = Callable[[], Coroutine[Deferred[object], object, bytes | Refusal]]

SECOND_MS: Final = 1000
# A target stops at the deadline that it was given; its word of that is
# awaited for this long before the connection is closed.
TARGET_RESPONSE_GRACE_S: Final = 0.1
# Taken off the time that is handed to a target, for the way back.
RETURN_MARGIN_S: Final = 0.005
# Least time between two probes after connections that died.
MIN_PROBE_INTERVAL_S: Final = 0.5
# Statuses with which a target says that it did not run a request.
WRONG_TARGET_STATUS: Final = HTTPStatus.MISDIRECTED_REQUEST


async def _read_own_body(job: Job) -> bytes:
    return job.body


def serve_job(
    gate: TargetGate,
    job: Job,
    read_body: ReadBody | None = None,
) -> Deferred[Outcome]:
    """Serve one request to its end; cancelling it gives it up.

    Parameters
    ----------
    gate
        Of the local target.
    job
        What to run.
    read_body
        Reads the body once the target has a slot for it; the job's own body
        is used where there is none.
    """
    now = gate.reactor.seconds()
    attempt = attempt_id(job.request_id, job.attempt)
    refusal = begin(gate.ledger, attempt, now)
    if refusal is not None:
        emit('duplicate', request_id=job.request_id, verdict=refusal.verdict)
        done: Deferred[Outcome] = Deferred()
        done.callback(refusal)
        return done
    task = Deferred.fromCoroutine(
        _serve(gate, job, read_body or (lambda: _read_own_body(job))),
    )
    if not task.called:
        gate.tasks[attempt] = task
    return task


def abandon_job(gate: TargetGate, job: Job) -> None:
    """Give up a request whose sender is gone.

    One that may run once only and has begun goes on to its end, so that its
    sender can still learn its fate.
    """
    task = gate.tasks.get(attempt_id(job.request_id, job.attempt))
    if task is None:
        return
    running_numbers = {
        number
        for number, (entry, _began) in gate.queue.running.items()
        if entry.request_id == job.request_id
    }
    if job.repeat == 'idempotent' or not running_numbers:
        task.cancel()


async def _serve(
    gate: TargetGate,
    job: Job,
    read_body: ReadBody,
) -> Outcome:
    outcome: Outcome = Refusal(Reason.CALLER_GONE, Verdict.MAY_HAVE_RUN, 0)
    began = gate.reactor.seconds()
    number = next(gate.request_numbers)
    try:
        refusal = await acquire_slot(gate, job, number)
    except CancelledError:
        refusal = not_run_refusal(Reason.CALLER_GONE)
    try:
        if refusal is None:
            outcome = await _run_in_slot(gate, job, number, read_body)
        else:
            outcome = refusal
    finally:
        _complete(gate, job, outcome, began)
    return outcome


def _complete(
    gate: TargetGate,
    job: Job,
    outcome: Outcome,
    began: float,
) -> None:
    attempt = attempt_id(job.request_id, job.attempt)
    gate.tasks.pop(attempt, None)
    settle(gate.ledger, attempt, outcome, gate.reactor.seconds())
    _log_end(gate, job, outcome, began)


async def _run_in_slot(
    gate: TargetGate,
    job: Job,
    number: int,
    read_body: ReadBody,
) -> Outcome:
    began = gate.reactor.seconds()
    try:
        outcome = await _forward(gate, job, read_body)
    finally:
        entry = gate.queue.running[number][0]
        _release_slot_and_probe(gate, number)
    if isinstance(outcome, Reply):
        took = gate.reactor.seconds() - began
        record_service_time(gate.queue.statistics, entry.route, took)
        gate.metrics.work.observe(took)
    return outcome


def _release_slot_and_probe(gate: TargetGate, number: int) -> None:
    release_slot(gate, number)
    if gate.is_restart_suspected:
        probe_target(gate)


async def _forward(
    gate: TargetGate,
    job: Job,
    read_body: ReadBody,
) -> Outcome:
    body = await read_body()
    if isinstance(body, Refusal):
        return body
    now = gate.reactor.seconds()
    if now >= job.deadline:
        return not_run_refusal(Reason.DEADLINE)
    complete_job = job._replace(body=body)
    return _outcome_of(gate, job, await _send(gate, complete_job, now))


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
        send(gate.pool, outgoing, lambda reply: _is_reply_to(gate, job, reply)),
    )
    wait.end_at(job.deadline + TARGET_RESPONSE_GRACE_S)
    return await wait.result()


def _is_reply_to(gate: TargetGate, job: Job, reply: Reply) -> bool:
    echoed = value_of(reply.headers, gate.dialect.request_id)
    return not echoed or echoed == job.request_id


def _target_headers(
    gate: TargetGate,
    job: Job,
    now: float,
) -> list[tuple[bytes, bytes]]:
    names = gate.dialect
    left = max(0, job.deadline - now - RETURN_MARGIN_S)
    return [
        *job.headers,
        (names.wait_ms, str(int(left * SECOND_MS)).encode()),
        (names.expected_target, job.target_id.encode()),
        (names.caller_service, job.caller.encode()),
    ]


def _outcome_of(gate: TargetGate, job: Job, sent: Sent | None) -> Outcome:
    if sent is None:
        return Refusal(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, 0, reached=True)
    if sent.is_error():
        return _on_link_failure(gate, sent.error)
    reply = sent.ok
    names = gate.dialect
    if value_of(reply.headers, names.not_run):
        return Refusal(Reason.TARGET_FULL, Verdict.NOT_RUN, 0, reached=True)
    if reply.status == WRONG_TARGET_STATUS:
        suspect_restart(gate)
        return Refusal(Reason.WRONG_TARGET, Verdict.NOT_RUN, 0)
    is_own = value_of(reply.headers, names.seal) and (
        value_of(reply.headers, names.request_id) == job.request_id
    )
    if not is_own or value_of(reply.headers, b'content-encoding'):
        return Refusal(Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0, reached=True)
    return reply


def _on_link_failure(gate: TargetGate, failure: LinkFailure) -> Refusal:
    """Judge a connection that could not be made or died.

    A target that has restarted refuses connections first; one that only
    loses answers does not, and is not cold.
    """
    if failure.was_sent:
        probe_target(gate, MIN_PROBE_INTERVAL_S)
        verdict = Verdict.MAY_HAVE_RUN
    else:
        suspect_restart(gate)
        verdict = Verdict.NOT_RUN
    return Refusal(failure.reason, verdict, 0, reached=failure.was_sent)


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
        priority=job.priority,
        running=len(gate.queue.running),
        waiting=len(gate.queue.waiting),
        slots=gate.queue.slots,
        is_cold=now < gate.queue.cold_until,
        wait_ms=round(min(load.wait_s, SECOND_MS) * SECOND_MS),
        revision=gate.world.revision,
    )
