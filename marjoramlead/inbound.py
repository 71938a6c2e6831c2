"""Serve the other nodes: requests for the local target, fates, and the feed."""

from collections.abc import Coroutine
from http import HTTPStatus
from typing import Final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from marjoramlead.bodies import BodyStream
from marjoramlead.body_reader import collect_body
from marjoramlead.events import emit
from marjoramlead.generated.hop_types import JobTerms
from marjoramlead.headers import HOP_BY_HOP
from marjoramlead.hops import (
    FATE_PATH,
    FEED_PATH,
    JOB_HEADER,
    REPORT_HEADER,
    SECOND_MS,
    Job,
    attempt_id,
    decode_job,
    decode_question,
    encode_report,
    feed_document,
)
from marjoramlead.http_server import StreamRequest
from marjoramlead.ledger import Outcome, ask
from marjoramlead.problems import Answer
from marjoramlead.replies import answer_of
from marjoramlead.target_gate import TargetGate
from marjoramlead.target_queue import load_report
from marjoramlead.target_runs import abandon_job, serve_job
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('handle_node',)

RECEIPT: Final = b'HTTP/1.1 102 Processing\r\n\r\n'
AFTER_QUERY: Final = b'after'


def handle_node(gate: TargetGate, req: StreamRequest) -> None:
    """Serve one request of another node; never raises."""
    path = req.uri.partition(b'?')[0]
    raw = req.requestHeaders.getRawHeaders(JOB_HEADER)
    if raw:
        _handle_job(gate, req, raw[0])
    elif path == FATE_PATH:
        _start(gate, req, _tell_fate(gate, req))
    elif path == FEED_PATH:
        _tell_feed(gate, req)
    else:
        req.answer(Answer(HTTPStatus.NOT_FOUND, Headers(), b''))


def _handle_job(gate: TargetGate, req: StreamRequest, raw: bytes) -> None:
    decoded = decode_job(raw)
    if decoded.is_error():
        emit('hop_unreadable', why=decoded.error)
        req.answer(Answer(HTTPStatus.BAD_REQUEST, Headers(), b''))
        return
    req.channel.transport.write(RECEIPT)
    _start(gate, req, _serve(gate, req, decoded.ok))


def _start(
    gate: TargetGate,
    req: StreamRequest,
    serving: Coroutine[Deferred[object], object, Outcome],
) -> None:
    served = Deferred.fromCoroutine(serving)
    served.addCallbacks(
        lambda outcome: _answer(gate, req, outcome),
        lambda failure: _on_failure(gate, req, failure),
    )


async def _serve(
    gate: TargetGate,
    req: StreamRequest,
    terms: JobTerms,
) -> Outcome:
    job = _job_of(req, terms, gate.reactor.seconds())
    req.notifyFinish().addErrback(lambda _gone: abandon_job(gate, job))
    return await serve_job(gate, job, lambda: _read_body(req))


async def _read_body(req: StreamRequest) -> bytes | Refusal:
    """Ask for the body of a request, and wait for all of it."""
    if not isinstance(req.body, BodyStream):
        return b''
    req.send_continue()
    collected = await collect_body(req.body)
    return collected if isinstance(collected, Refusal) else collected.content


def _job_of(
    req: StreamRequest,
    terms: JobTerms,
    now: float,
) -> Job:
    headers = [
        (name, raw)
        for name, values in req.requestHeaders.getAllRawHeaders()
        for raw in values
        if name.lower() not in HOP_BY_HOP - {b'host'}
        and name.lower() != JOB_HEADER
    ]
    return Job(
        request_id=terms['request_id'],
        attempt=terms['attempt'],
        is_repeat=terms['is_repeat'],
        target_id=terms['target_id'],
        route=terms['route'],
        repeat=terms['repeat'],
        priority=terms['priority'],
        aim_at=now + terms['aim_ms'] / SECOND_MS,
        deadline=now + terms['wait_ms'] / SECOND_MS,
        caller=terms['caller'],
        may_wait=terms['may_wait'],
        method=req.method,
        uri=req.uri,
        headers=headers,
        body=b'',
    )


async def _tell_fate(gate: TargetGate, req: StreamRequest) -> Outcome:
    if not isinstance(req.body, BodyStream):
        return Refusal(Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0)
    collected = await collect_body(req.body)
    if isinstance(collected, Refusal):
        return collected
    question = decode_question(collected.content)
    if question.is_error():
        emit('hop_unreadable', why=question.error)
        return Refusal(Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0)
    now = gate.reactor.seconds()
    asked = question.ok
    sent_at = now - asked['sent_ago_s']
    attempt = attempt_id(asked['request_id'], asked['attempt'])
    outcome = await ask(gate.ledger, attempt, sent_at, now)
    emit(
        'fate',
        request_id=asked['request_id'],
        sent_ago_s=asked['sent_ago_s'],
        fate='ran' if isinstance(outcome, Reply) else outcome.verdict,
    )
    return outcome


def _tell_feed(gate: TargetGate, req: StreamRequest) -> None:
    query = req.uri.partition(b'?')[2].partition(b'=')[2]
    after = int(query) if query.isdigit() else 0
    now = gate.reactor.seconds()
    document = feed_document(gate.world, after, now)
    req.answer(Answer(HTTPStatus.OK, Headers(), document))


def _answer(gate: TargetGate, req: StreamRequest, outcome: Outcome) -> None:
    now = gate.reactor.seconds()
    refusal = outcome if isinstance(outcome, Refusal) else None
    load = load_report(gate.queue, now)
    report = encode_report(load, refusal, gate.world.revision)
    if isinstance(outcome, Reply):
        answer = answer_of(outcome)
    else:
        answer = Answer(HTTPStatus.OK, Headers(), b'')
    answer.headers.setRawHeaders(REPORT_HEADER, [report])
    if gate.is_draining:
        req.answer_last(answer)
    else:
        req.answer(answer)


def _on_failure(
    gate: TargetGate,
    req: StreamRequest,
    failure: Failure,
) -> None:
    if failure.check(CancelledError):  # the sender is gone
        return
    emit('bug', error=failure.getTraceback())
    refusal = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, 0)
    _answer(gate, req, refusal)
