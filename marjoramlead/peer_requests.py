"""Handle requests from other nodes: jobs, fate queries and feed reads.

A job is one attempt at a client's request, to be run by the local target. A
fate query asks what became of an attempt. A feed read returns the store
records that have changed after a revision.
"""

from collections.abc import Coroutine
from http import HTTPStatus
from typing import Final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from marjoramlead.bodies import MAX_UNREAD_BYTES, BodyStream
from marjoramlead.body_grants import MIN_WINDOW_BYTES
from marjoramlead.body_reader import (
    REQUEST_BYTES,
    body_length,
    collect_body,
)
from marjoramlead.direct_writes import write_now
from marjoramlead.events import emit
from marjoramlead.feed_server import FeedServer, answer_feed_read
from marjoramlead.feeds import FEED_PATH
from marjoramlead.generated.hop_types import JobTerms
from marjoramlead.headers import HOP_BY_HOP
from marjoramlead.hops import (
    FATE_PATH,
    JOB_HEADER,
    LEDGER_HEADER,
    MS_PER_SECOND,
    REPORT_HEADER,
    Job,
    attempt_id,
    decode_fate_query,
    decode_job,
    encode_mark,
    encode_report,
    mark_from_query,
)
from marjoramlead.http_server import StreamRequest, expects_continue
from marjoramlead.incoming_body import IncomingBody
from marjoramlead.ledger import Outcome, ledger_mark, query_outcome
from marjoramlead.link_writer import AnswerTerms, send_answer
from marjoramlead.memory_budget import (
    Hold,
    body_charge,
    open_hold,
    release,
    resize_body,
)
from marjoramlead.mesh_state import note_reported_version
from marjoramlead.problems import BufferedResponse
from marjoramlead.replies import response_from_reply
from marjoramlead.target_gate import (
    RECEIVING_RETRY_AFTER_S,
    TargetGate,
    gate_report,
    not_run_refusal,
)
from marjoramlead.target_runs import (
    PendingBody,
    abandon_job,
    serve_job,
    withdraw_attempt,
)
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('handle_peer_request',)

# A request id may be as long as a head, and JSON escapes a character by six.
MAX_QUERY_BYTES: Final = 131_072
ACKNOWLEDGEMENT: Final = b'HTTP/1.1 102 Processing\r\n%b: %b\r\n\r\n'


def handle_peer_request(
    gate: TargetGate, feed_server: FeedServer, req: StreamRequest
) -> None:
    """Serve one request from another node; failures are answered."""
    path = req.uri.partition(b'?')[0]
    raw = req.requestHeaders.getRawHeaders(JOB_HEADER)
    if raw:
        _handle_job(gate, req, raw[0])
    elif path == FATE_PATH:
        _acknowledge(gate, req)
        _respond_when_done(gate, req, None, _answer_fate_query(gate, req))
    elif path == FEED_PATH:
        answer_feed_read(feed_server, req)
    else:
        req.send_response(
            BufferedResponse(HTTPStatus.NOT_FOUND, Headers(), b'')
        )


def _handle_job(gate: TargetGate, req: StreamRequest, raw: bytes) -> None:
    decoded = decode_job(raw)
    if decoded.is_error():
        emit('hop_unreadable', why=decoded.error)
        req.send_response(
            BufferedResponse(HTTPStatus.BAD_REQUEST, Headers(), b'')
        )
        return
    _acknowledge(gate, req)
    terms = decoded.ok
    note_reported_version(gate.mesh_state, terms.get('version'))
    job = _build_job(req, terms, gate.reactor.seconds())
    serving = _serve_job(gate, req, terms, job)
    _respond_when_done(gate, req, _answer_terms(job), serving)


def _answer_terms(job: Job) -> AnswerTerms:
    return AnswerTerms(
        job.request_id,
        job.route,
        job.priority,
        job.soft_deadline,
        job.deadline,
    )


def _acknowledge(gate: TargetGate, req: StreamRequest) -> None:
    """Tell the sender that the headers of a job or a query are read.

    Jobs that it sends from now on are registered after the mark.
    """
    mark = encode_mark(ledger_mark(gate.ledger))
    write_now(req.channel.transport, ACKNOWLEDGEMENT % (LEDGER_HEADER, mark))


def _respond_when_done(
    gate: TargetGate,
    req: StreamRequest,
    terms: AnswerTerms | None,
    serving: Coroutine[Deferred[object], object, Outcome],
) -> None:
    served = Deferred.fromCoroutine(serving)
    served.addCallbacks(
        lambda outcome: _send_response(gate, req, terms, outcome),
        lambda failure: _on_failure(gate, req, terms, failure),
    )


async def _serve_job(
    gate: TargetGate,
    req: StreamRequest,
    terms: JobTerms,
    job: Job,
) -> Outcome:
    hold = open_hold(gate.budget)
    length = body_length(req.body)
    unread = MAX_UNREAD_BYTES if length is None else length
    if not resize_body(hold, REQUEST_BYTES + body_charge(unread)):
        return Refusal(
            Reason.OVERLOAD, Verdict.NOT_RUN, RECEIVING_RETRY_AFTER_S
        )
    req.notifyFinish().addErrback(lambda _gone: abandon_job(gate, job))
    body = _incoming_body(gate, req, terms)
    pending = None
    if body is not None:
        pending = PendingBody(body.length, body.receive_ahead, body.receive_end)
    try:
        return await serve_job(
            gate, job, lambda: _read_body(req, hold), pending
        )
    finally:
        release(hold)
        if body is not None:
            body.discard()


def _incoming_body(
    gate: TargetGate, req: StreamRequest, terms: JobTerms
) -> IncomingBody | None:
    """Return the body if its sender withholds it until it is requested."""
    stream = req.body
    if not (expects_continue(req) and isinstance(stream, BodyStream)):
        return None
    length = body_length(stream) or 0
    window = max(MIN_WINDOW_BYTES, terms.get('body_window', 0))
    return IncomingBody(
        req, stream, length, window, gate.body_grants, gate.reactor
    )


async def _read_body(req: StreamRequest, hold: Hold) -> bytes | Refusal:
    if not isinstance(req.body, BodyStream):
        return b''
    is_counted = body_length(req.body) is not None
    collected = await collect_body(req.body, hold=None if is_counted else hold)
    if isinstance(collected, Refusal):
        is_cut = collected.reason in {Reason.BODY_CUT, Reason.BODY_STALLED}
        reason = Reason.CALLER_GONE if is_cut else Reason.OVERLOAD
        return not_run_refusal(reason)
    return collected.content


def _build_job(
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
        is_retry=terms['is_repeat'],
        target_id=terms['target_id'],
        route=terms['route'],
        retry_policy=terms['repeat'],
        priority=terms['priority'],
        soft_deadline=now + terms['aim_ms'] / MS_PER_SECOND,
        deadline=now + terms['wait_ms'] / MS_PER_SECOND,
        calling_service=terms['caller'],
        may_wait=terms['may_wait'],
        is_nested=terms.get('is_nested', False),
        has_reservation=terms.get('has_reservation', False),
        rate_limit_per_s=terms.get('rate_limit_per_s'),
        method=req.method,
        uri=req.uri,
        headers=headers,
        body=b'',
        received_at=now - terms.get('age_ms', 0) / MS_PER_SECOND,
        version=terms.get('version'),
        account=terms.get('account', ''),
        crosses_link=True,
    )


async def _answer_fate_query(gate: TargetGate, req: StreamRequest) -> Outcome:
    if not isinstance(req.body, BodyStream):
        return Refusal(Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0)
    hold = open_hold(gate.budget)
    length = body_length(req.body) or 0
    if not resize_body(hold, REQUEST_BYTES + min(length, MAX_QUERY_BYTES)):
        return Refusal(Reason.GATEWAY_FULL, Verdict.MAY_HAVE_RUN, 0)
    collected = await collect_body(
        req.body, MAX_QUERY_BYTES, hold=None if length else hold
    )
    if isinstance(collected, Refusal):
        return Refusal(collected.reason, Verdict.MAY_HAVE_RUN, 0)
    decoded_query = decode_fate_query(collected.content)
    if decoded_query.is_error():
        emit('hop_unreadable', why=decoded_query.error)
        return Refusal(Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0)
    now = gate.reactor.seconds()
    fate_query = decoded_query.ok
    mark = mark_from_query(fate_query)
    attempt = attempt_id(fate_query['request_id'], fate_query['attempt'])
    if fate_query.get('is_withdrawn', False):
        return withdraw_attempt(gate, attempt)
    outcome = await query_outcome(gate.ledger, attempt, mark, now)
    emit(
        'fate',
        request_id=fate_query['request_id'],
        sent_ago_s=fate_query['sent_ago_s'],
        run=gate.ledger.run,
        sender_run=mark.run if mark else None,
        fate='ran' if isinstance(outcome, Reply) else outcome.verdict,
    )
    return outcome


def _send_response(
    gate: TargetGate,
    req: StreamRequest,
    terms: AnswerTerms | None,
    outcome: Outcome,
) -> None:
    now = gate.reactor.seconds()
    refusal = outcome if isinstance(outcome, Refusal) else None
    route = terms.route if terms else ''
    load = gate_report(gate, route, now)
    report = encode_report(load, refusal, gate.mesh_state.revision)
    if isinstance(outcome, Reply):
        response = response_from_reply(outcome)
    else:
        response = BufferedResponse(HTTPStatus.OK, Headers(), b'')
    response.headers.setRawHeaders(REPORT_HEADER, [report])
    if gate.is_draining:
        req.close_after(response)
    send_answer(gate.link, req, response, terms)


def _on_failure(
    gate: TargetGate,
    req: StreamRequest,
    terms: AnswerTerms | None,
    failure: Failure,
) -> None:
    if failure.check(CancelledError):  # the sender has left
        req.abort()
        return
    emit('bug', error=failure.getTraceback())
    refusal = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, 0)
    _send_response(gate, req, terms, refusal)
