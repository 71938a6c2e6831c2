"""Send a call to the guards of its targets, with retries."""

from collections.abc import Awaitable
from typing import Final

from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from marjoramlead import headers as names
from marjoramlead.bodies import BodyStream, RequestBody
from marjoramlead.body_reader import collect_body
from marjoramlead.calls import Call, next_target, refuse_or_retry
from marjoramlead.gateway import CallCompletion, Gateway, split_uri
from marjoramlead.http_client import (
    HttpRequest,
    Response,
    discard_body,
    send_request,
)
from marjoramlead.http_server import StreamRequest
from marjoramlead.picking import record_reachability
from marjoramlead.problems import read_refusal
from marjoramlead.relay import (
    RelayOutcome,
    end_to_end_headers,
    relay_response,
)
from marjoramlead.retries import RetryBudget, credit_first_attempt
from marjoramlead.snapshot import Target
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('send_call',)

MAX_BUFFERED_BODY_BYTES: Final = 65_536
OVERLOAD_BACKOFF_S: Final = 0.2
TARGET_FAILURE: Final = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN)


def send_call(
    gateway: Gateway,
    call: Call,
    req: StreamRequest,
) -> CallCompletion:
    """Send a call, relay the response, and retry failed attempts.

    Returns
    -------
    A deferred that fires with None once the response is relayed, or with
    the refusal for the caller. Cancelling it cancels the attempt in progress.
    """
    return Deferred.fromCoroutine(_send_with_retries(gateway, call, req))


async def _send_with_retries(
    gateway: Gateway,
    call: Call,
    req: StreamRequest,
) -> Refusal | None:
    customer = call.contract.customer
    budget = gateway.retry_budgets.setdefault(customer, RetryBudget())
    credit_first_attempt(budget, call.contract.retry_share)
    body = await _body_to_send(call, req)
    if isinstance(body, Refusal):
        return body
    while True:  # noqa: WPS457  # the contract limits the attempts
        target = next_target(call, gateway.routing, gateway.reactor.seconds())
        if isinstance(target, Refusal):
            return target
        attempt = _send_attempt(gateway, call, req, body, target)
        refusal = await _track_attempt(gateway, target, attempt)
        if refusal is None:
            return None
        if req.is_disconnected:
            return refusal
        now = gateway.reactor.seconds()
        final = refuse_or_retry(call, refusal, budget, now)
        if final is not None or _is_consumed(body):
            return final or refusal
        gateway.counters.add(f'retried.{refusal.reason}')


async def _body_to_send(
    call: Call,
    req: StreamRequest,
) -> RequestBody | Refusal | None:
    body = req.body
    if body is None or call.route.kind == 'upload':
        return body
    if (
        not isinstance(body.length, int)
        or body.length > MAX_BUFFERED_BODY_BYTES
    ):
        return body
    req.send_continue()
    return await collect_body(body)


def _is_consumed(body: RequestBody | None) -> bool:
    return isinstance(body, BodyStream) and body.is_started


async def _track_attempt(
    gateway: Gateway,
    target: Target,
    attempt: Awaitable[Refusal | None],
) -> Refusal | None:
    state = gateway.routing.states.state_of(target.host)
    state.in_flight += 1
    try:
        refusal = await attempt
    finally:
        state.in_flight -= 1
    now = gateway.reactor.seconds()
    unreachable = refusal is not None and refusal.reason in {
        Reason.CONNECT_FAILED,
        Reason.SILENT,
        Reason.DRAINING,
    }
    record_reachability(state, now, reachable=not unreachable)
    if refusal is not None and refusal.reason is Reason.OVERLOAD:
        state.backoff_until = now + OVERLOAD_BACKOFF_S
    return refusal


async def _send_attempt(
    gateway: Gateway,
    call: Call,
    req: StreamRequest,
    body: RequestBody | None,
    target: Target,
) -> Refusal | None:
    if isinstance(body, BodyStream):
        # A streamed body can be sent only once, so the guard must grant a
        # slot before it is sent.
        refusal = await _reserve_slot(gateway, call, target)
        if refusal is not None:
            return refusal
        req.send_continue()
    fields = _headers_for_guard(gateway, call, req)
    method = req.method
    http_request = _build_request(call, target, method, req.uri, fields, body)
    result = await send_request(
        gateway.guard_agent, gateway.reactor, http_request
    )
    if result.is_error():
        return result.error
    return await _handle_response(gateway, call, req, result.ok)


async def _handle_response(
    gateway: Gateway,
    call: Call,
    req: StreamRequest,
    response: Response,
) -> Refusal | None:
    refusal = read_refusal(response.headers)
    if refusal is not None:
        discard_body(response)
        return refusal
    echoed = response.headers.getRawHeaders(names.REQUEST_ID)
    if echoed != [call.request_id.encode('latin-1')]:
        gateway.counters.add('answer_of_other_request')
        # The connection has delivered the response to another request.
        discard_body(response)
        return TARGET_FAILURE
    outcome = await relay_response(
        response,
        req,
        gateway.reactor,
        call.deadline,
    )
    if outcome is RelayOutcome.TRUNCATED_SENT:
        gateway.counters.add('cut_answers')
    return TARGET_FAILURE if outcome is RelayOutcome.TRUNCATED_UNSENT else None


async def _reserve_slot(
    gateway: Gateway,
    call: Call,
    target: Target,
) -> Refusal | None:
    fields = _call_headers(gateway, call)
    fields.setRawHeaders(names.RESERVE, [b'1'])
    uri = f'/{call.contract.customer}/'.encode()
    http_request = _build_request(call, target, b'GET', uri, fields, None)
    result = await send_request(
        gateway.guard_agent, gateway.reactor, http_request
    )
    if result.is_error():
        return result.error._replace(verdict=Verdict.NOT_RUN)
    refusal = read_refusal(result.ok.headers)
    discard_body(result.ok)
    return refusal


def _headers_for_guard(
    gateway: Gateway,
    call: Call,
    req: StreamRequest,
) -> Headers:
    fields = end_to_end_headers(req.requestHeaders)
    for name, _values in list(fields.getAllRawHeaders()):
        if names.is_mesh_header(name):
            fields.removeHeader(name)
    for name, raw in _call_headers(gateway, call).getAllRawHeaders():
        fields.setRawHeaders(name, raw)
    return fields


def _call_headers(gateway: Gateway, call: Call) -> Headers:
    remaining_s = call.deadline - gateway.reactor.seconds()
    wait_ms = max(0, int(remaining_s * names.MS_PER_SECOND))
    return Headers(
        {
            names.CUSTOMER: [call.contract.customer.encode()],
            names.SERVICE: [call.route.service.encode()],
            names.REQUEST_ID: [call.request_id.encode('latin-1')],
            names.KIND: [call.route.kind.encode()],
            names.WAIT_MS: [str(wait_ms).encode()],
        }
    )


def _build_request(
    call: Call,
    target: Target,
    method: bytes,
    uri: bytes,
    fields: Headers,
    body: RequestBody | None,
) -> HttpRequest:
    _customer, path = split_uri(uri)
    base_url = f'http://{target.address}:{target.guard_port}'
    url = (base_url + path).encode('latin-1')
    return HttpRequest(method, url, fields, body, call.deadline)
