"""Handle requests at the guard: admit, forward, and relay the response."""

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
from marjoramlead.problems import (
    BufferedResponse,
    read_refusal,
    refusal_response,
)
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
TARGET_FAILURE: Final = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN)


class RequestMetadata(NamedTuple):
    """Metadata of a request, sent by the gateway in headers.

    Attributes
    ----------
    key
        The caller's idempotency key, or an empty string if it sent none.
    deadline
        Seconds on this node's monotonic clock.
    """

    customer: str
    service: str
    request_id: str
    key: str
    kind: RouteKind
    deadline: float


def handle_guard_request(guard: Guard, req: StreamRequest) -> None:
    """Handle a request from a gateway or another guard; never raises."""
    if req.requestHeaders.hasHeader(names.CLAIM):
        handle_claim(guard, req)
        return
    meta = _read_metadata(guard, req)
    if meta is None:
        refusal = Refusal(Reason.WRONG_TARGET, Verdict.NOT_RUN, 0)
        _refuse(guard, req, refusal, '')
        return
    completion = Deferred.fromCoroutine(_admit_and_serve(guard, req, meta))
    req.notifyFinish().addErrback(lambda _failure: completion.cancel())
    completion.addCallbacks(
        lambda refusal: _finish_request(guard, req, refusal, meta),
        lambda failure: _on_request_error(guard, req, failure, meta),
    )


def _read_metadata(guard: Guard, req: StreamRequest) -> RequestMetadata | None:
    fields = req.requestHeaders
    request_id = names.first_value(fields, names.REQUEST_ID)
    kind = names.first_value(fields, names.KIND)
    wait_s = names.read_wait_s(fields)
    if not request_id or kind not in ROUTE_KINDS or wait_s is None:
        return None
    return RequestMetadata(
        customer=names.first_value(fields, names.CUSTOMER),
        service=names.first_value(fields, names.SERVICE),
        request_id=request_id,
        key=names.first_value(fields, names.IDEMPOTENCY_KEY),
        kind=cast(RouteKind, kind),
        deadline=guard.reactor.seconds() + wait_s,
    )


async def _admit_and_serve(
    guard: Guard,
    req: StreamRequest,
    meta: RequestMetadata,
) -> Refusal | None:
    refusal = check_routing(guard, meta.customer, meta.service)
    if refusal is not None:
        return refusal
    reserved_number = pop_reserved_slot(guard, meta.request_id)
    if reserved_number is None:
        number = await acquire_slot(guard, meta.kind, meta.deadline)
    else:
        number = reserved_number
    if isinstance(number, Refusal):
        return number
    if req.requestHeaders.hasHeader(names.RESERVE):
        reserve_slot(guard, meta.request_id, number)
        fields = Headers({names.REQUEST_ID: [meta.request_id.encode()]})
        req.send_response(BufferedResponse(HTTPStatus.NO_CONTENT, fields, b''))
        return None
    try:
        return await _claim_key_and_forward(guard, req, meta, number)
    finally:
        release_slot(guard, number)


async def _claim_key_and_forward(
    guard: Guard,
    req: StreamRequest,
    meta: RequestMetadata,
    number: int,
) -> Refusal | None:
    now = guard.reactor.seconds()
    if now >= meta.deadline:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
    if meta.kind not in AT_MOST_ONCE_KINDS or not meta.key:
        return await _forward_to_target(guard, req, meta, number)
    claim = KeyClaim(meta.key, _make_holder_id(guard, meta), meta.deadline)
    refusal = await claim_key(guard, claim)
    if refusal is not None:
        return refusal
    if guard.reactor.seconds() >= meta.deadline:
        refusal = Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
    else:
        refusal = await _forward_to_target(guard, req, meta, number)
    if refusal is not None and refusal.verdict is Verdict.NOT_RUN:
        release_claim(guard, claim)
    return refusal


def _make_holder_id(guard: Guard, meta: RequestMetadata) -> str:
    return f'{meta.request_id}/{guard.host}/{next(guard.request_numbers)}'


async def _forward_to_target(
    guard: Guard,
    req: StreamRequest,
    meta: RequestMetadata,
    number: int,
) -> Refusal | None:
    req.send_continue()
    result = await send_request(
        guard.target_agent,
        guard.reactor,
        _target_request(guard, req, meta),
    )
    if result.is_error():
        _record_target_failure(guard, result.error, number)
        return result.error
    response = result.ok
    refusal = read_refusal(response.headers)
    if refusal is not None:
        discard_body(response)
        return refusal
    fields = response.headers
    fields.setRawHeaders(names.VERDICT, [Verdict.RAN.encode()])
    fields.setRawHeaders(names.REQUEST_ID, [meta.request_id.encode('latin-1')])
    outcome = await relay_response(
        response,
        req,
        guard.reactor,
        meta.deadline,
    )
    if outcome is not RelayOutcome.COMPLETE:
        _record_target_failure(guard, TARGET_FAILURE, number)
        return TARGET_FAILURE
    if response.code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        guard.counters.add('target.distress')
        record_failure(guard.admission)
    else:
        record_success(guard.admission, number, guard.reactor.seconds())
    return None


def _target_request(
    guard: Guard, req: StreamRequest, meta: RequestMetadata
) -> HttpRequest:
    fields = end_to_end_headers(req.requestHeaders)
    remaining_s = max(0, meta.deadline - guard.reactor.seconds())
    wait_ms = str(int(remaining_s * names.MS_PER_SECOND)).encode()
    fields.setRawHeaders(names.WAIT_MS, [wait_ms])
    own = guard.target
    base_url = f'http://{own["address"]}:{own["port"]}'.encode()
    url = base_url + req.uri
    return HttpRequest(req.method, url, fields, req.body, meta.deadline)


def _record_target_failure(guard: Guard, refusal: Refusal, number: int) -> None:
    now = guard.reactor.seconds()
    if refusal.reason is not Reason.SILENT:
        record_failure(guard.admission)
    elif not record_timeout(guard.admission, number, now):
        return
    guard.counters.add('target.distress')


def _finish_request(
    guard: Guard,
    req: StreamRequest,
    refusal: Refusal | None,
    meta: RequestMetadata,
) -> None:
    if refusal is None:
        guard.counters.add('guard.answered')
    else:
        _refuse(guard, req, refusal, meta.request_id)


def _on_request_error(
    guard: Guard,
    req: StreamRequest,
    failure: Failure,
    meta: RequestMetadata,
) -> None:
    if failure.check(CancelledError):
        guard.counters.add('guard.cancelled')
        return
    guard_log.error(
        'Unexpected error while serving a request: %s', failure.getTraceback()
    )
    _refuse(guard, req, TARGET_FAILURE, meta.request_id)


def _refuse(
    guard: Guard,
    req: StreamRequest,
    refusal: Refusal,
    request_id: str,
) -> None:
    guard.counters.add(f'guard.refused.{refusal.reason}')
    req.send_response(refusal_response(refusal, request_id))
