"""Serve one request at the guard: admit, send to the target, answer."""

from http import HTTPStatus
from typing import Final, NamedTuple, cast

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from marjoramlead import headers as names
from marjoramlead.admission import (
    record_failure,
    record_success,
    record_timeout,
)
from marjoramlead.guard import (
    Guard,
    enter,
    leave,
    place_refusal,
    reserve,
    take_reserved,
)
from marjoramlead.http_client import Outgoing, drop_body, send_request
from marjoramlead.http_server import StreamRequest
from marjoramlead.key_claims import (
    KeyClaim,
    claim_key,
    handle_claim,
    release_claim,
)
from marjoramlead.logs import guard_log
from marjoramlead.problems import Answer, read_refusal, refusal_answer
from marjoramlead.relay import (
    Relayed,
    passed_headers,
    relay_response,
)
from marjoramlead.snapshot import RouteKind
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('handle_work',)

ONCE: Final = frozenset(('at_most_once', 'upload'))
KINDS: Final = frozenset(('idempotent', 'at_most_once', 'upload', 'internal'))
CUT: Final = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN)


class Work(NamedTuple):
    """What the gateway says of a request.

    Attributes
    ----------
    key
        The caller's idempotency key within its route; empty if it sent none.
    deadline
        On this node's monotonic clock.
    """

    customer: str
    service: str
    request_id: str
    key: str
    kind: RouteKind
    deadline: float


def handle_work(guard: Guard, req: StreamRequest) -> None:
    """Serve one request to its end; never raises."""
    if req.requestHeaders.hasHeader(names.CLAIM):
        handle_claim(guard, req)
        return
    work = _read_work(guard, req)
    if work is None:
        refusal = Refusal(Reason.WRONG_TARGET, Verdict.NOT_RUN, 0)
        _refuse(guard, req, refusal, '')
        return
    served = Deferred.fromCoroutine(_serve(guard, req, work))
    req.notifyFinish().addErrback(lambda _gone: served.cancel())
    served.addCallbacks(
        lambda refusal: _end(guard, req, refusal, work),
        lambda failure: _on_failure(guard, req, failure, work),
    )


def _read_work(guard: Guard, req: StreamRequest) -> Work | None:
    fields = req.requestHeaders
    request_id = names.first_value(fields, names.REQUEST_ID)
    kind = names.first_value(fields, names.KIND)
    wait = names.read_wait_s(fields)
    if not request_id or kind not in KINDS or wait is None:
        return None
    return Work(
        customer=names.first_value(fields, names.CUSTOMER),
        service=names.first_value(fields, names.SERVICE),
        request_id=request_id,
        key=names.first_value(fields, names.IDEMPOTENCY_KEY),
        kind=cast(RouteKind, kind),
        deadline=guard.reactor.seconds() + wait,
    )


async def _serve(
    guard: Guard,
    req: StreamRequest,
    work: Work,
) -> Refusal | None:
    refusal = place_refusal(guard, work.customer, work.service)
    if refusal is not None:
        return refusal
    claimed = take_reserved(guard, work.request_id)
    if claimed is None:
        number = await enter(guard, work.kind, work.deadline)
    else:
        number = claimed
    if isinstance(number, Refusal):
        return number
    if req.requestHeaders.hasHeader(names.RESERVE):
        reserve(guard, work.request_id, number)
        fields = Headers({names.REQUEST_ID: [work.request_id.encode()]})
        req.answer(Answer(HTTPStatus.NO_CONTENT, fields, b''))
        return None
    try:
        return await _run_once(guard, req, work, number)
    finally:
        leave(guard, number)


async def _run_once(
    guard: Guard,
    req: StreamRequest,
    work: Work,
    number: int,
) -> Refusal | None:
    now = guard.reactor.seconds()
    if now >= work.deadline:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
    if work.kind not in ONCE or not work.key:
        return await _send(guard, req, work, number)
    claim = KeyClaim(work.key, _holder(guard, work), work.deadline)
    refusal = await claim_key(guard, claim)
    if refusal is not None:
        return refusal
    if guard.reactor.seconds() >= work.deadline:
        refusal = Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
    else:
        refusal = await _send(guard, req, work, number)
    if refusal is not None and refusal.verdict is Verdict.NOT_RUN:
        release_claim(guard, claim)
    return refusal


def _holder(guard: Guard, work: Work) -> str:
    return f'{work.request_id}/{guard.host}/{next(guard.numbers)}'


async def _send(
    guard: Guard,
    req: StreamRequest,
    work: Work,
    number: int,
) -> Refusal | None:
    req.send_continue()
    sent = await send_request(
        guard.agent,
        guard.reactor,
        _outgoing(guard, req, work),
    )
    if sent.is_error():
        _note_failure(guard, sent.error, number)
        return sent.error
    response = sent.ok
    refusal = read_refusal(response.headers)
    if refusal is not None:
        drop_body(response)
        return refusal
    fields = response.headers
    fields.setRawHeaders(names.VERDICT, [Verdict.RAN.encode()])
    fields.setRawHeaders(names.REQUEST_ID, [work.request_id.encode('latin-1')])
    relayed = await relay_response(
        response,
        req,
        guard.reactor,
        work.deadline,
    )
    if relayed is not Relayed.WHOLE:
        _note_failure(guard, CUT, number)
        return CUT
    if response.code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        guard.counters.add('target.distress')
        record_failure(guard.admission)
    else:
        record_success(guard.admission, number, guard.reactor.seconds())
    return None


def _outgoing(guard: Guard, req: StreamRequest, work: Work) -> Outgoing:
    fields = passed_headers(req.requestHeaders)
    left = max(0, work.deadline - guard.reactor.seconds())
    wait_ms = str(int(left * names.MS_PER_SECOND)).encode()
    fields.setRawHeaders(names.WAIT_MS, [wait_ms])
    own = guard.target
    base = f'http://{own["address"]}:{own["port"]}'.encode()
    url = base + req.uri
    return Outgoing(req.method, url, fields, req.body, work.deadline)


def _note_failure(guard: Guard, refusal: Refusal, number: int) -> None:
    now = guard.reactor.seconds()
    if refusal.reason is not Reason.SILENT:
        record_failure(guard.admission)
    elif not record_timeout(guard.admission, number, now):
        return
    guard.counters.add('target.distress')


def _end(
    guard: Guard,
    req: StreamRequest,
    refusal: Refusal | None,
    work: Work,
) -> None:
    if refusal is None:
        guard.counters.add('guard.answered')
    else:
        _refuse(guard, req, refusal, work.request_id)


def _on_failure(
    guard: Guard,
    req: StreamRequest,
    failure: Failure,
    work: Work,
) -> None:
    if failure.check(CancelledError):
        guard.counters.add('guard.cancelled')
        return
    guard_log.error('Request failed inside: %s', failure.getTraceback())
    _refuse(guard, req, CUT, work.request_id)


def _refuse(
    guard: Guard,
    req: StreamRequest,
    refusal: Refusal,
    request_id: str,
) -> None:
    guard.counters.add(f'guard.refused.{refusal.reason}')
    req.answer(refusal_answer(refusal, request_id))
