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
    acquire_slot,
    check_routing,
    pop_reserved_slot,
    release_slot,
    reserve_slot,
)
from marjoramlead.http_client import HttpRequest, discard_body, send_request
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
    RelayOutcome,
    end_to_end_headers,
    relay_response,
)
from marjoramlead.snapshot import RouteKind
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('handle_guard_request',)

AT_MOST_ONCE_KINDS: Final = frozenset(('at_most_once', 'upload'))
ROUTE_KINDS: Final = frozenset(
    ('idempotent', 'at_most_once', 'upload', 'internal')
)
CUT: Final = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN)


class RequestMetadata(NamedTuple):
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


def handle_guard_request(guard: Guard, req: StreamRequest) -> None:
    """Serve one request to its end; never raises."""
    if req.requestHeaders.hasHeader(names.CLAIM):
        handle_claim(guard, req)
        return
    meta = _read_work(guard, req)
    if meta is None:
        refusal = Refusal(Reason.WRONG_TARGET, Verdict.NOT_RUN, 0)
        _refuse(guard, req, refusal, '')
        return
    served = Deferred.fromCoroutine(_serve(guard, req, meta))
    req.notifyFinish().addErrback(lambda _gone: served.cancel())
    served.addCallbacks(
        lambda refusal: _end(guard, req, refusal, meta),
        lambda failure: _on_failure(guard, req, failure, meta),
    )


def _read_work(guard: Guard, req: StreamRequest) -> RequestMetadata | None:
    fields = req.requestHeaders
    request_id = names.first_value(fields, names.REQUEST_ID)
    kind = names.first_value(fields, names.KIND)
    wait = names.wait_of(fields)
    if not request_id or kind not in ROUTE_KINDS or wait is None:
        return None
    return RequestMetadata(
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
    meta: RequestMetadata,
) -> Refusal | None:
    refusal = check_routing(guard, meta.customer, meta.service)
    if refusal is not None:
        return refusal
    claimed = pop_reserved_slot(guard, meta.request_id)
    if claimed is None:
        number = await acquire_slot(guard, meta.kind, meta.deadline)
    else:
        number = claimed
    if isinstance(number, Refusal):
        return number
    if req.requestHeaders.hasHeader(names.RESERVE):
        reserve_slot(guard, meta.request_id, number)
        fields = Headers({names.REQUEST_ID: [meta.request_id.encode()]})
        req.answer(Answer(HTTPStatus.NO_CONTENT, fields, b''))
        return None
    try:
        return await _run_once(guard, req, meta, number)
    finally:
        release_slot(guard, number)


async def _run_once(
    guard: Guard,
    req: StreamRequest,
    meta: RequestMetadata,
    number: int,
) -> Refusal | None:
    now = guard.reactor.seconds()
    if now >= meta.deadline:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
    if meta.kind not in AT_MOST_ONCE_KINDS or not meta.key:
        return await _send(guard, req, meta, number)
    claim = KeyClaim(meta.key, _holder(guard, meta), meta.deadline)
    refusal = await claim_key(guard, claim)
    if refusal is not None:
        return refusal
    if guard.reactor.seconds() >= meta.deadline:
        refusal = Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
    else:
        refusal = await _send(guard, req, meta, number)
    if refusal is not None and refusal.verdict is Verdict.NOT_RUN:
        release_claim(guard, claim)
    return refusal


def _holder(guard: Guard, meta: RequestMetadata) -> str:
    return f'{meta.request_id}/{guard.host}/{next(guard.request_numbers)}'


async def _send(
    guard: Guard,
    req: StreamRequest,
    meta: RequestMetadata,
    number: int,
) -> Refusal | None:
    req.send_continue()
    sent = await send_request(
        guard.target_agent,
        guard.reactor,
        _outgoing(guard, req, meta),
    )
    if sent.is_error():
        _note_failure(guard, sent.error, number)
        return sent.error
    response = sent.ok
    refusal = read_refusal(response.headers)
    if refusal is not None:
        discard_body(response)
        return refusal
    fields = response.headers
    fields.setRawHeaders(names.VERDICT, [Verdict.RAN.encode()])
    fields.setRawHeaders(names.REQUEST_ID, [meta.request_id.encode('latin-1')])
    relayed = await relay_response(
        response,
        req,
        guard.reactor,
        meta.deadline,
    )
    if relayed is not RelayOutcome.COMPLETE:
        _note_failure(guard, CUT, number)
        return CUT
    if response.code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        guard.counters.add('target.distress')
        record_failure(guard.admission)
    else:
        record_success(guard.admission, number, guard.reactor.seconds())
    return None


def _outgoing(
    guard: Guard, req: StreamRequest, meta: RequestMetadata
) -> HttpRequest:
    fields = end_to_end_headers(req.requestHeaders)
    left = max(0, meta.deadline - guard.reactor.seconds())
    wait_ms = str(int(left * names.SECOND_MS)).encode()
    fields.setRawHeaders(names.WAIT_MS, [wait_ms])
    own = guard.target
    base = f'http://{own["address"]}:{own["port"]}'.encode()
    url = base + req.uri
    return HttpRequest(req.method, url, fields, req.body, meta.deadline)


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
    meta: RequestMetadata,
) -> None:
    if refusal is None:
        guard.counters.add('guard.answered')
    else:
        _refuse(guard, req, refusal, meta.request_id)


def _on_failure(
    guard: Guard,
    req: StreamRequest,
    failure: Failure,
    meta: RequestMetadata,
) -> None:
    if failure.check(CancelledError):
        guard.counters.add('guard.cancelled')
        return
    guard_log.error('Request failed inside: %s', failure.getTraceback())
    _refuse(guard, req, CUT, meta.request_id)


def _refuse(
    guard: Guard,
    req: StreamRequest,
    refusal: Refusal,
    request_id: str,
) -> None:
    guard.counters.add(f'guard.refused.{refusal.reason}')
    req.answer(refusal_answer(refusal, request_id))
