"""Dispatch a request to targets until it succeeds or finally fails.

Targets are tried in order of their expected time to a response. The first
few offers require that the target starts the request at once; if all of these
targets are full, the request may wait in the queue of the target where it is
expected to finish first.

Whether a request is retried depends on its route, on whether the target's
node reports that the request may have run, and on the retry budget.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.candidates import CandidateIndex, candidates_of
from marjoramlead.clock import Clock
from marjoramlead.hop_client import HopClient, offer_remotely
from marjoramlead.hops import Job
from marjoramlead.ledger import Outcome
from marjoramlead.mesh_retry_budget import MeshRetryBudget, try_spend_retry
from marjoramlead.mesh_state import (
    MeshState,
    TargetEntry,
    note_leaving,
)
from marjoramlead.metrics import Metrics
from marjoramlead.offer_state import (
    MAX_REFUSALS_IN_OVERLOAD,
    OVERLOAD_REASONS,
    OfferState,
    are_offers_exhausted,
    final_outcome,
    record_refused_offer,
    record_reply,
)
from marjoramlead.placement import (
    BalancerState,
    PlacementQuery,
    choose_target,
    record_answer_size,
    record_load_report,
    record_send,
    update_failure_rate,
)
from marjoramlead.routes import Route
from marjoramlead.service_load import (
    ServiceLoad,
    is_overloaded,
    record_dispatch,
    refuse_in_advance,
)
from marjoramlead.target_gate import TargetGate
from marjoramlead.target_notices import read_notice
from marjoramlead.target_queue import load_report
from marjoramlead.target_runs import abandon_job, serve_job
from marjoramlead.upstream import HeaderList, Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('Dispatcher', 'Request', 'dispatch')

# Number of targets that are offered a request for an immediate start only;
# further targets may queue it.
IMMEDIATE_OFFERS: Final = 3
# The same for nested requests, which go first in every queue.
NESTED_IMMEDIATE_OFFERS: Final = 1
# Minimum time left for a retry. One with less time cannot be answered before
# its deadline.
MIN_RETRY_TIME_S: Final = 0.02
SERVER_ERROR: Final = 500
# Offers to an overloaded service for each request that it serves.
OFFERS_PER_SERVED: Final = 2.0
# The same for requests past their latency objective, which give way.
LATE_OFFERS_PER_SERVED: Final = 1.5
# Retry-After value of requests that are refused without an offer. No target has
# reserved a time for them, as the times of targets lie further ahead.
ADVANCE_RETRY_AFTER_S: Final = 2.0


class Request(NamedTuple):
    """A client's request, including its complete body.

    Attributes
    ----------
    deadline
        Time at which the client or the route's timeout ends the request.
    soft_deadline
        Latest time of a response that meets the route's latency objective; at
        most ``deadline``.
    is_nested
        Whether another request, which runs at the local target, needs the
        answer.
    has_reservation
        Whether the client was refused before and told to return by now.
    priority
        Resolved priority (``request_priority``); the lowest is served first.
    received_at
        When the request was received from the client.
    version
        Version of the routing table that chose the route and the service.
    account
        Client account that the request belongs to; empty if to none.
    """

    request_id: str
    route: Route
    service: str
    deadline: float
    soft_deadline: float
    method: bytes
    uri: bytes
    headers: HeaderList
    body: bytes
    is_nested: bool = False
    has_reservation: bool = False
    priority: int = 0
    received_at: float = 0
    version: int | None = None
    account: str = ''


@dataclass(slots=True)
class Dispatcher:
    """State and collaborators for sending requests to targets.

    Attributes
    ----------
    calling_service
        Returns the service of this host, which is the caller of the requests.
    """

    mesh_state: MeshState
    gate: TargetGate
    hop_client: HopClient
    balancer: BalancerState
    budget: MeshRetryBudget
    reactor: Clock
    metrics: Metrics
    candidates: CandidateIndex
    calling_service: Callable[[], str]
    service_load: ServiceLoad = field(default_factory=ServiceLoad)


async def dispatch(dispatcher: Dispatcher, request: Request) -> Outcome:
    """Offer a request to targets until one responds or none is left."""
    refusal = _refuse_in_advance(dispatcher, request)
    if refusal is None:
        offers = _begin_offers(dispatcher, request)
        outcome = await _dispatch(dispatcher, request, offers)
    else:
        outcome = refusal
    is_refused = refusal is not None or (
        isinstance(outcome, Refusal) and outcome.reason in OVERLOAD_REASONS
    )
    now = dispatcher.reactor.seconds()
    record_dispatch(
        dispatcher.service_load, _load_key(request), now, is_refused=is_refused
    )
    return outcome


def _load_key(request: Request) -> str:
    """Return the key of requests that a service refuses alike."""
    return f'{request.route.name}/{request.priority}'


def _refuse_in_advance(
    dispatcher: Dispatcher, request: Request
) -> Refusal | None:
    """Refuse a request that the service is known to refuse, before an offer."""
    if request.is_nested or request.has_reservation:
        return None
    now = dispatcher.reactor.seconds()
    is_late = now >= request.soft_deadline
    headroom = LATE_OFFERS_PER_SERVED if is_late else OFFERS_PER_SERVED
    key = _load_key(request)
    if not refuse_in_advance(dispatcher.service_load, key, now, headroom):
        return None
    reason = Reason.SERVICE_OVERLOAD
    dispatcher.metrics.offers.labels(reason).inc()
    return Refusal(reason, Verdict.NOT_RUN, ADVANCE_RETRY_AFTER_S)


def _begin_offers(dispatcher: Dispatcher, request: Request) -> OfferState:
    now = dispatcher.reactor.seconds()
    is_overload_known = is_overloaded(
        dispatcher.service_load, _load_key(request), now
    )
    if is_overload_known and not (request.is_nested or request.has_reservation):
        return OfferState(MAX_REFUSALS_IN_OVERLOAD)
    return OfferState()


async def _dispatch(
    dispatcher: Dispatcher, request: Request, offers: OfferState
) -> Outcome:
    while True:  # noqa: WPS457  # bounded by MAX_OFFERS and the deadline
        target = _choose_target(dispatcher, request, offers)
        if target is None:
            return final_outcome(offers)
        outcome = await _offer_to_target(dispatcher, request, offers, target)
        if _record_and_check_final(
            dispatcher,
            request,
            offers,
            target,
            outcome,
        ):
            is_reply = isinstance(outcome, Reply)
            return outcome if is_reply else final_outcome(offers)


def _choose_target(
    dispatcher: Dispatcher,
    request: Request,
    offers: OfferState,
) -> TargetEntry | None:
    """Return the target of the next offer, or None if no offer is left."""
    now = dispatcher.reactor.seconds()
    if now >= request.deadline or are_offers_exhausted(offers):
        return None
    candidates = candidates_of(
        dispatcher.candidates, dispatcher.mesh_state, request.service
    )
    own_entry = dispatcher.gate.target_entry
    query = PlacementQuery(
        dispatcher.candidates.data_centre,
        own_entry.target_id if own_entry else '',
        len(request.body),
        request.route.name,
        request.soft_deadline,
    )
    remaining = (
        entry
        for entry in candidates
        if entry.target_id not in offers.excluded_ids
    )
    return choose_target(dispatcher.balancer, remaining, query, now)


async def _offer_to_target(
    dispatcher: Dispatcher,
    request: Request,
    offers: OfferState,
    target: TargetEntry,
) -> Outcome:
    immediate_offers = (
        NESTED_IMMEDIATE_OFFERS if request.is_nested else IMMEDIATE_OFFERS
    )
    may_wait = target.target_id in offers.offered_ids or (
        len(offers.offered_ids) >= immediate_offers
    )
    offers.offered_ids.add(target.target_id)
    if may_wait:
        offers.excluded_ids.add(target.target_id)
    offers.count += 1
    job = _make_job(
        dispatcher,
        request,
        target,
        offers,
        may_wait=may_wait,
    )
    stats = dispatcher.balancer.stats_of(target.target_id)
    record_send(stats)
    own_entry = dispatcher.gate.target_entry
    if own_entry is not None and own_entry.target_id == target.target_id:
        outcome = await _offer_locally(dispatcher, job)
    else:
        outcome = await offer_remotely(dispatcher.hop_client, job, target)
    reason = outcome.reason if isinstance(outcome, Refusal) else 'answered'
    dispatcher.metrics.offers.labels(reason).inc()
    return outcome


def _make_job(
    dispatcher: Dispatcher,
    request: Request,
    target: TargetEntry,
    offers: OfferState,
    *,
    may_wait: bool,
) -> Job:
    stats = dispatcher.balancer.stats_of(target.target_id)
    return Job(
        request_id=request.request_id,
        attempt=offers.count,
        is_retry=offers.has_reached_target,
        target_id=target.target_id,
        route=request.route.name,
        retry_policy=request.route.retry_policy,
        priority=request.priority,
        soft_deadline=request.soft_deadline,
        deadline=request.deadline,
        calling_service=dispatcher.calling_service(),
        may_wait=may_wait,
        is_nested=request.is_nested,
        has_reservation=request.has_reservation,
        rate_limit_per_s=stats.rate_limit_per_s,
        method=request.method,
        uri=request.uri,
        headers=request.headers,
        body=request.body,
        received_at=request.received_at,
        version=request.version,
        account=request.account,
    )


async def _offer_locally(dispatcher: Dispatcher, job: Job) -> Outcome:
    gate = dispatcher.gate
    try:
        outcome = await _shield_from_cancel(serve_job(gate, job))
    except CancelledError:
        abandon_job(gate, job)
        raise
    now = dispatcher.reactor.seconds()
    stats = dispatcher.balancer.stats_of(job.target_id)
    load = load_report(gate.queue, now, job.route)
    record_load_report(stats, load, now, job.route)
    return outcome


def _shield_from_cancel(inner: Deferred[Outcome]) -> Deferred[Outcome]:
    """Return a Deferred whose cancellation does not cancel ``inner``."""
    outer: Deferred[Outcome] = Deferred()

    def on_end(outcome: Outcome) -> Outcome:
        if not outer.called:
            outer.callback(outcome)
        return outcome

    inner.addCallback(on_end)
    inner.addErrback(outer.errback)
    return outer


def _record_and_check_final(
    dispatcher: Dispatcher,
    request: Request,
    offers: OfferState,
    target: TargetEntry,
    outcome: Outcome,
) -> bool:
    """Record the outcome of an offer and return whether it is final.

    Sending the request again after it has reached a target is charged to the
    retry budget.
    """
    _update_failure_rate(dispatcher, target, outcome)
    if isinstance(outcome, Reply):
        _apply_notice(dispatcher, target, outcome)
        record_answer_size(
            dispatcher.balancer, request.route.name, len(outcome.body)
        )
        record_reply(offers, target.target_id, outcome)
        has_failed = outcome.status >= SERVER_ERROR
        return not has_failed or not _may_retry(dispatcher, request, offers)
    record_refused_offer(offers, target.target_id, outcome)
    if outcome.reason is Reason.ROUTE_CHANGED:
        return True
    if outcome.verdict is not Verdict.NOT_RUN:
        return not _may_retry(dispatcher, request, offers)
    return outcome.reached_target and not _try_spend_retry(dispatcher, request)


def _apply_notice(
    dispatcher: Dispatcher, target: TargetEntry, reply: Reply
) -> None:
    """Remember the status that the target reports in a response.

    Its own node enforces it, but may restart and forget it.
    """
    header_names = dispatcher.gate.header_names
    notice = read_notice(reply.headers, header_names, target.target_id)
    if notice.is_limit_valid:
        stats = dispatcher.balancer.stats_of(target.target_id)
        stats.rate_limit_per_s = notice.rate_limit_per_s
    if notice.is_leaving:
        note_leaving(dispatcher.mesh_state, target)


def _update_failure_rate(
    dispatcher: Dispatcher,
    target: TargetEntry,
    outcome: Outcome,
) -> None:
    """Update the failure rate of a target that received the request."""
    if isinstance(outcome, Reply):
        has_failed = outcome.status >= SERVER_ERROR
    elif outcome.reached_target:
        has_failed = True
    else:
        return
    stats = dispatcher.balancer.stats_of(target.target_id)
    now = dispatcher.reactor.seconds()
    update_failure_rate(stats, now, has_failed=has_failed)


def _may_retry(
    dispatcher: Dispatcher,
    request: Request,
    offers: OfferState,
) -> bool:
    """Return whether a request that may have run may be retried.

    Spends from the retry budget if so.
    """
    route = request.route
    if (
        route.retry_policy != 'idempotent'
        or offers.possible_runs >= route.attempts
    ):
        return False
    if request.deadline - dispatcher.reactor.seconds() < MIN_RETRY_TIME_S:
        return False
    return _try_spend_retry(dispatcher, request)


def _try_spend_retry(dispatcher: Dispatcher, request: Request) -> bool:
    """Spend one retry from the budget if one is left."""
    now = dispatcher.reactor.seconds()
    return try_spend_retry(dispatcher.budget, request.service, now)
