"""Accept calls from callers and match them to the routes of contracts.

A matching call is passed to a ``CallSender``, which sends it to a target and
relays the response. All other calls are refused here.
"""

import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent

from marjoramlead import headers as names
from marjoramlead.calls import Call, RoutingContext, match_call
from marjoramlead.clock import Clock
from marjoramlead.counters import Counters
from marjoramlead.http_server import StreamRequest
from marjoramlead.logs import gateway_log
from marjoramlead.problems import refusal_response
from marjoramlead.refusals import RecentRefusals, record_refusal
from marjoramlead.retries import RetryBudget
from marjoramlead.snapshot import Snapshot, all_targets
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('CallSender', 'Gateway', 'handle_call')

# For calls that state no time limit; the limit of the route still applies.
DEFAULT_WAIT_S: Final = 86_400.0
MAX_REQUEST_ID_LENGTH: Final = 128
MAX_IN_FLIGHT: Final = 2000


@dataclass(slots=True)
class Gateway:
    """State of the gateway of one node.

    Attributes
    ----------
    routing
        Location of the gateway and its view of the targets.
    current_snapshot
        Returns the configuration currently in force.
    guard_agent
        HTTP client for requests to guards.
    in_flight
        Number of calls that have no final response yet.
    is_draining
        Whether new calls are refused because the node is shutting down.
    retry_budgets
        Retry budget of each customer.
    recent_refusals
        Calls refused recently, for ``marjoramlead explain``.
    last_host_lists
        ``targets_by_data_centre`` of the snapshot for which the states of
        unlisted targets were last discarded.
    """

    routing: RoutingContext
    current_snapshot: Callable[[], Snapshot]
    guard_agent: Agent
    reactor: Clock
    counters: Counters
    in_flight: int = 0
    is_draining: bool = False
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    recent_refusals: RecentRefusals = field(default_factory=RecentRefusals)
    last_host_lists: object = None


# Fires with None once a response has been relayed to the caller, or with the
# refusal to send instead.
CallCompletion = Deferred[Refusal | None]
CallSender = Callable[[Gateway, Call, StreamRequest], CallCompletion]


def handle_call(
    gateway: Gateway,
    send_call: CallSender,
    req: StreamRequest,
) -> None:
    """Serve a call until its final response is sent; never raises.

    Parameters
    ----------
    gateway
        State of this node's gateway.
    send_call
        Sends the call to a target and relays the response.
    req
        The caller's request.
    """
    received_id = names.first_value(req.requestHeaders, names.REQUEST_ID)
    request_id = received_id[:MAX_REQUEST_ID_LENGTH] or uuid.uuid4().hex
    call = _accept_call(gateway, req, request_id)
    if isinstance(call, Refusal):
        _refuse(gateway, req, call, request_id)
        return
    gateway.in_flight += 1
    gateway.counters.add('calls')
    completion = send_call(gateway, call, req)
    req.notifyFinish().addErrback(_cancel_on_disconnect(completion))
    completion.addCallbacks(
        lambda refusal: _finish_call(gateway, req, refusal, call),
        lambda failure: _on_call_error(gateway, req, failure, call),
    )


def _accept_call(
    gateway: Gateway,
    req: StreamRequest,
    request_id: str,
) -> Call | Refusal:
    if gateway.is_draining:
        return Refusal(Reason.DRAINING, Verdict.NOT_RUN)
    if gateway.in_flight >= MAX_IN_FLIGHT:
        return Refusal(Reason.GATEWAY_FULL, Verdict.NOT_RUN)
    customer, path = split_uri(req.uri)
    snapshot = gateway.current_snapshot()
    _prune_target_states(gateway, snapshot)
    bare_path = path.split('?', 1)[0]
    method = req.method.decode('latin-1')
    match = match_call(snapshot, customer, method, bare_path)
    if isinstance(match, Refusal):
        return match
    wait_s = min(match.route.wait_limit_s, _requested_wait_s(req))
    return Call(
        snapshot=snapshot,
        contract=match.contract,
        route=match.route,
        request_id=request_id,
        deadline=gateway.reactor.seconds() + wait_s,
    )


def _prune_target_states(gateway: Gateway, snapshot: Snapshot) -> None:
    if gateway.last_host_lists is not snapshot.targets_by_data_centre:
        gateway.last_host_lists = snapshot.targets_by_data_centre
        listed = {target.host for target in all_targets(snapshot)}
        gateway.routing.states.keep_only(listed)


def split_uri(uri: bytes) -> tuple[str, str]:
    """Split ``/customer/path?query`` into the customer and ``/path?query``."""
    customer, _slash, rest = uri.decode('latin-1')[1:].partition('/')
    return customer, f'/{rest}'


def _cancel_on_disconnect(
    completion: CallCompletion,
) -> Callable[[Failure], None]:
    def on_disconnect(_failure: Failure) -> None:
        completion.cancel()

    return on_disconnect


def _finish_call(
    gateway: Gateway,
    req: StreamRequest,
    refusal: Refusal | None,
    call: Call,
) -> None:
    gateway.in_flight -= 1
    if refusal is None:
        gateway.counters.add('answered')
    else:
        _refuse(gateway, req, refusal, call.request_id, call.tried_hosts)


def _on_call_error(
    gateway: Gateway,
    req: StreamRequest,
    failure: Failure,
    call: Call,
) -> None:
    gateway.in_flight -= 1
    if failure.check(CancelledError):
        gateway.counters.add('caller_gone')
        return
    gateway_log.error(
        'Unexpected error while serving a call: %s', failure.getTraceback()
    )
    refusal = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN)
    _refuse(gateway, req, refusal, call.request_id, call.tried_hosts)


def _refuse(
    gateway: Gateway,
    req: StreamRequest,
    refusal: Refusal,
    request_id: str,
    tried_hosts: Sequence[str] = (),
) -> None:
    record_refusal(gateway.recent_refusals, request_id, refusal, tried_hosts)
    gateway.counters.add(f'refused.{refusal.reason}')
    gateway_log.debug('Refused call %s: %s', request_id, refusal.reason)
    req.send_response(refusal_response(refusal, request_id))


def _requested_wait_s(req: StreamRequest) -> float:
    wait_s = names.read_wait_s(req.requestHeaders)
    return DEFAULT_WAIT_S if wait_s is None else wait_s
