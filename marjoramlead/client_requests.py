"""Handle requests from clients of this host and from the local target.

Requests from other nodes are handled in ``peer_requests``.
"""

from dataclasses import dataclass
from typing import Final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from marjoramlead.account_checks import (
    ClientAccount,
    account_priority,
    is_current,
    resolve_account,
)
from marjoramlead.body_reader import (
    REQUEST_BYTES,
    body_length,
    collect_body,
)
from marjoramlead.client_frontend import ClientFrontend
from marjoramlead.client_headers import client_timeout_s, forwarded_headers
from marjoramlead.deadlines import wait_until
from marjoramlead.dispatch import Request, dispatch
from marjoramlead.events import emit
from marjoramlead.http_server import StreamRequest
from marjoramlead.ledger import Outcome
from marjoramlead.memory_budget import (
    Hold,
    body_charge,
    open_hold,
    release,
    resize_body,
)
from marjoramlead.mesh_retry_budget import record_request
from marjoramlead.mesh_state import MeshState
from marjoramlead.offer_state import OVERLOAD_REASONS
from marjoramlead.quota_exchange import (
    Token,
    acquire_token,
    return_token,
)
from marjoramlead.refusal_responses import build_refusal_response
from marjoramlead.refusals import record_refusal
from marjoramlead.replies import response_from_reply
from marjoramlead.request_origin import (
    FirstAttempt,
    Origin,
    RequestKey,
    find_first_attempt,
    remember_refusal,
)
from marjoramlead.request_priority import resolve_priority
from marjoramlead.routes import (
    Route,
    choose_service,
    find_request_route,
)
from marjoramlead.target_gate import running_entry
from marjoramlead.target_queue import retry_share
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('end_requests', 'handle_client_request')

MS_PER_SECOND: Final = 1000


@dataclass(slots=True)
class _RequestContext:
    """What is known of a request in progress.

    The route and the fields after it are set by ``_resolve_route``.

    Attributes
    ----------
    hold
        Memory of the request and its body.
    soft_deadline
        Latest time of a response that meets the route's latency objective.
    client_deadline
        When the client stops waiting, which may be after ``deadline``.
    has_reservation
        Whether the client was told to return by now.
    priority
        Resolved priority of the request; the lowest is served first.
    account
        Client account of the request; None for calls of running requests and
        where there are no accounts.
    token
        What the request has taken of the account's quota.
    """

    request_id: str
    received_at: float
    key: RequestKey
    hold: Hold
    origin: Origin = Origin.CLIENT
    route: Route | None = None
    service: str = ''
    deadline: float = 0
    soft_deadline: float = 0
    client_deadline: float = 0
    has_reservation: bool = False
    priority: int = 0
    account: ClientAccount | None = None
    token: Token | None = None
    version: int = 0


def handle_client_request(frontend: ClientFrontend, req: StreamRequest) -> None:
    """Serve one client request; failures are answered, never raised."""
    now = frontend.dispatcher.reactor.seconds()
    context = _RequestContext(
        _header(req, frontend.header_names.request_id),
        now,
        (req.method, _header(req, b'host'), req.uri),
        open_hold(frontend.budget),
    )
    served = Deferred.fromCoroutine(_serve(frontend, req, context))
    frontend.in_flight[req] = served
    req.notifyFinish().addErrback(lambda _gone: served.cancel())
    served.addCallbacks(
        lambda outcome: _send_response(frontend, req, context, outcome),
        lambda failure: _on_failure(frontend, req, context, failure),
    )
    served.addErrback(lambda failure: emit('bug', error=str(failure)))


def end_requests(frontend: ClientFrontend) -> None:
    """Answer all requests in flight, because the node exits soon."""
    for served in list(frontend.in_flight.values()):
        served.cancel()


async def _serve(
    frontend: ClientFrontend,
    req: StreamRequest,
    context: _RequestContext,
) -> Outcome:
    try:
        outcome = await _read_and_dispatch(frontend, req, context)
    finally:
        release(context.hold)
    if isinstance(outcome, Refusal) and outcome.verdict is Verdict.NOT_RUN:
        return_token(frontend.quota, context.token)
    return outcome


async def _read_and_dispatch(
    frontend: ClientFrontend,
    req: StreamRequest,
    context: _RequestContext,
) -> Outcome:
    refusal = _resolve_route(frontend, req, context)
    if refusal is not None:
        return refusal
    token = await acquire_token(
        frontend.quota, context.account, context.deadline
    )
    if isinstance(token, Refusal):
        return token
    context.token = token
    body = await wait_until(
        frontend.dispatcher.reactor,
        _read_body(frontend, req, context.hold),
        context.deadline,
    )
    if body is None:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN, 0)
    if isinstance(body, Refusal):
        return body
    return await _dispatch_by_current_table(frontend, req, context, body)


def _resolve_route(
    frontend: ClientFrontend,
    req: StreamRequest,
    context: _RequestContext,
) -> Refusal | None:
    mesh_state = frontend.dispatcher.mesh_state
    if mesh_state.table is None:
        is_refused = mesh_state.refused_routing is not None
        reason = Reason.ROUTING_REFUSED if is_refused else Reason.NOT_READY
        return Refusal(reason, Verdict.NOT_RUN)
    context.version = mesh_state.table.version
    route = find_request_route(mesh_state.table, _header(req, b'host'), req.uri)
    if route is None:
        return _refuse_unknown_route(mesh_state, context.received_at)
    context.route = route
    context.service = choose_service(frontend.round_robin, route)
    client_timeout = client_timeout_s(
        req.requestHeaders, frontend.header_names.wait_ms
    )
    context.client_deadline = context.received_at + client_timeout
    context.deadline = min(
        context.client_deadline, context.received_at + route.timeout
    )
    context.soft_deadline = min(
        context.received_at + route.latency_objective, context.deadline
    )
    _resolve_origin(frontend, context)
    return _check_shutdown(frontend, context) or _resolve_account(
        frontend, req, context, route
    )


def _resolve_account(
    frontend: ClientFrontend,
    req: StreamRequest,
    context: _RequestContext,
    route: Route,
) -> Refusal | None:
    """Set the account and the priority of a client's request.

    A call of a running request has no account, and its priority is set.
    """
    context.account = None
    if context.origin is Origin.RUNNING_REQUEST:
        return None
    mesh_state = frontend.dispatcher.mesh_state
    resolved = resolve_account(
        mesh_state,
        route,
        req.requestHeaders,
        context.received_at,
        frontend.revocation,
        is_call=bool(frontend.parent_request_id(context.request_id)),
    )
    if isinstance(resolved, Refusal):
        return resolved
    context.account = resolved
    context.priority = resolve_priority(
        route.priority,
        account_priority=account_priority(mesh_state.table, resolved),
    )
    return None


def _resolve_origin(frontend: ClientFrontend, context: _RequestContext) -> None:
    """Set the origin, and what a returning client was promised."""
    parent_id = frontend.parent_request_id(context.request_id)
    parent = running_entry(frontend.dispatcher.gate, parent_id)
    if parent is not None:
        context.origin = Origin.RUNNING_REQUEST
        context.priority = parent.priority
        context.deadline = min(context.deadline, parent.deadline)
        context.soft_deadline = min(context.soft_deadline, context.deadline)
        return
    first_attempt = find_first_attempt(
        frontend.refused_attempts, context.key, context.client_deadline
    )
    if first_attempt is not None:
        context.origin = Origin.RETURNING_CLIENT
        context.soft_deadline = first_attempt.soft_deadline
        context.has_reservation = context.received_at >= first_attempt.return_at


def _refuse_unknown_route(mesh_state: MeshState, now: float) -> Refusal:
    """Answer 404 only if the routing table is known to be current."""
    if is_current(mesh_state, now):
        return Refusal(Reason.NO_ROUTE, Verdict.NOT_RUN, 0)
    return Refusal(Reason.NOT_READY, Verdict.NOT_RUN)


def _check_shutdown(
    frontend: ClientFrontend, context: _RequestContext
) -> Refusal | None:
    """Refuse a request that arrives too late in a shutdown.

    A call of a request that runs at the local target is served, because the
    node does not exit before that request has ended. The deadline of a request
    that is not refused is capped, so that it is answered before the exit.
    """
    shutdown = frontend.shutdown
    if shutdown is None:
        return None
    is_late = context.received_at > shutdown.accept_until
    if is_late and context.origin is not Origin.RUNNING_REQUEST:
        return Refusal(Reason.DRAINING, Verdict.NOT_RUN)
    context.deadline = min(context.deadline, shutdown.answer_by)
    return None


async def _read_body(
    frontend: ClientFrontend, req: StreamRequest, hold: Hold
) -> bytes | Refusal:
    """Read the body if there is memory for it.

    A body of a known length that does not fit is refused before it is read.
    """
    table = frontend.dispatcher.mesh_state.table
    limit = table.limits.body_bytes if table else 0
    length = body_length(req.body)
    if length is not None and length > limit:
        return Refusal(Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, 0)
    if not resize_body(hold, REQUEST_BYTES + body_charge(length or 0)):
        return Refusal(Reason.GATEWAY_FULL, Verdict.NOT_RUN)
    if req.body is None:
        return b''
    req.send_continue()
    collected = await collect_body(
        req.body, limit, hold if length is None else None
    )
    return collected if isinstance(collected, Refusal) else collected.content


async def _dispatch_by_current_table(
    frontend: ClientFrontend,
    req: StreamRequest,
    context: _RequestContext,
    body: bytes,
) -> Outcome:
    """Dispatch a request; once more if a newer table has arrived meanwhile.

    That holds only for a request that was refused because of its old route.
    """
    outcome = await _dispatch(frontend, req, context, body)
    table = frontend.dispatcher.mesh_state.table
    is_rerouted = (
        isinstance(outcome, Refusal)
        and outcome.reason is Reason.ROUTE_CHANGED
        and table is not None
        and table.version > context.version
    )
    if not is_rerouted:
        return outcome
    refusal = _resolve_route(frontend, req, context)
    if refusal is not None:
        return refusal
    return await _dispatch(frontend, req, context, body)


async def _dispatch(
    frontend: ClientFrontend,
    req: StreamRequest,
    context: _RequestContext,
    body: bytes,
) -> Outcome:
    dispatcher = frontend.dispatcher
    route = context.route
    if route is None:  # _resolve_route has set it
        raise AssertionError
    record_request(
        dispatcher.budget,
        context.service,
        context.received_at,
        retry_share(dispatcher.gate.queue),
    )
    request = Request(
        request_id=context.request_id,
        route=route,
        service=context.service,
        deadline=context.deadline,
        soft_deadline=min(context.soft_deadline, context.deadline),
        method=req.method,
        uri=req.uri,
        headers=forwarded_headers(
            frontend.header_names,
            req.requestHeaders,
            dispatcher.mesh_state.table,
            context.account,
        ),
        body=body,
        is_nested=context.origin is Origin.RUNNING_REQUEST,
        has_reservation=context.has_reservation,
        priority=context.priority,
        received_at=context.received_at,
        version=context.version,
        account=context.account.name if context.account else '',
    )
    return await dispatch(dispatcher, request)


def _send_response(
    frontend: ClientFrontend,
    req: StreamRequest,
    context: _RequestContext,
    outcome: Outcome,
) -> None:
    frontend.in_flight.pop(req)
    if isinstance(outcome, Reply):
        response = response_from_reply(outcome)
        _record_outcome(frontend, context, 'answered', str(outcome.status))
    else:
        response = build_refusal_response(
            outcome, frontend.header_names.request_id, context.request_id
        )
        record_refusal(
            frontend.recent_refusals, context.request_id, outcome, ()
        )
        _remember_refusal(frontend, context, outcome)
        _record_outcome(
            frontend,
            context,
            str(response.status),
            outcome.reason.value,
            outcome.retry_after,
        )
    if frontend.shutdown is None:
        req.send_response(response)
    else:
        req.send_response_and_close(response)


def _remember_refusal(
    frontend: ClientFrontend, context: _RequestContext, refusal: Refusal
) -> None:
    """Remember a refused client, so that it is recognised if it returns.

    Only a target that is overloaded gives the client a time of its own.
    """
    if context.route is None or context.origin is Origin.RUNNING_REQUEST:
        return
    return_at = float('inf')
    now = frontend.dispatcher.reactor.seconds()
    if refusal.reason in OVERLOAD_REASONS:
        return_at = now + refusal.retry_after
    attempt = FirstAttempt(
        context.client_deadline, context.soft_deadline, return_at
    )
    remember_refusal(frontend.refused_attempts, context.key, attempt, now)


def _on_failure(
    frontend: ClientFrontend,
    req: StreamRequest,
    context: _RequestContext,
    failure: Failure,
) -> None:
    if failure.check(CancelledError) and req.is_disconnected:
        frontend.in_flight.pop(req)
        _record_outcome(frontend, context, 'left', Reason.CALLER_GONE.value)
        return
    if failure.check(CancelledError) and frontend.shutdown is not None:
        refusal = Refusal(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, 0)
    else:
        emit('bug', request_id=context.request_id, error=failure.getTraceback())
        refusal = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, 0)
    _send_response(frontend, req, context, refusal)


def _record_outcome(
    frontend: ClientFrontend,
    context: _RequestContext,
    outcome: str,
    reason: str,
    retry_after: float = 0,
) -> None:
    dispatcher = frontend.dispatcher
    elapsed = dispatcher.reactor.seconds() - context.received_at
    metrics = dispatcher.metrics
    metrics.requests.labels(
        context.service, context.origin, outcome, reason
    ).inc()
    metrics.request_latency.labels(context.service).observe(elapsed)
    emit(
        'request',
        request_id=context.request_id,
        route=context.route.name if context.route else '',
        service=context.service,
        origin=context.origin,
        account=context.account.name if context.account else '',
        outcome=outcome,
        reason=reason,
        retry_after=retry_after,
        took_ms=round(elapsed * MS_PER_SECOND, 1),
        version=context.version,
        news_age_ms=round(
            min(context.received_at - dispatcher.mesh_state.confirmed_at, 1000)
            * MS_PER_SECOND,
        ),
    )


def _header(req: StreamRequest, name: bytes) -> str:
    raw = req.requestHeaders.getRawHeaders(name)
    return raw[0].decode('latin-1') if raw else ''
