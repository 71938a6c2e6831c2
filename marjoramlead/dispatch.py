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

from marjoramlead.clock import Clock
from marjoramlead.hop_client import HopClient, offer_remotely
from marjoramlead.hops import Job
from marjoramlead.ledger import Outcome
from marjoramlead.mesh_retry_budget import MeshRetryBudget, try_spend_retry
from marjoramlead.mesh_state import (
    MeshState,
    TargetEntry,
    is_usable,
    note_leaving,
)
from marjoramlead.metrics import Metrics
from marjoramlead.placement import (
    BalancerState,
    PlacementQuery,
    rank_targets,
    record_load_report,
    record_send,
    update_failure_rate,
)
from marjoramlead.routes import Route
from marjoramlead.service_load import (
    ServiceLoad,
    is_overloaded,
    record_dispatch,
)
from marjoramlead.target_gate import TargetGate
from marjoramlead.target_notices import read_notice
from marjoramlead.target_queue import load_report
from marjoramlead.target_runs import abandon_job, serve_job
from marjoramlead.upstream import HeaderList, Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('OVERLOAD_REASONS', 'Dispatcher', 'Request', 'dispatch')

# Number of targets that are offered a request for an immediate start only;
# further targets may queue it.
IMMEDIATE_OFFERS: Final = 3
# The same for nested requests, which go first in every queue.
NESTED_IMMEDIATE_OFFERS: Final = 1
# Maximum number of offers of one request. Each takes about a millisecond;
# after this many refusals the service is considered full.
MAX_OFFERS: Final = 8
# Number of targets that may refuse a request because they expect to answer too
# late. Further targets are ranked as slower, and under overload the offers to
# them would take more processor time than the requests that are served.
MAX_OVERLOAD_REFUSALS: Final = 3
# The same while the service is known to be overloaded.
MAX_REFUSALS_IN_OVERLOAD: Final = 1
# Retry-After value if no target has reported when it expects a free slot.
DEFAULT_RETRY_AFTER_S: Final = 0.2
# Minimum time left for a retry. One with less time cannot be answered before
# its deadline.
MIN_RETRY_TIME_S: Final = 0.02
SERVER_ERROR: Final = 500
# Refusal reasons after which the request may be offered to the same target
# once more.
TRANSIENT_REASONS: Final = frozenset(
    (Reason.NO_ROOM, Reason.NEVER_SEEN),
)
# Refusal reasons of a target that expects to answer too late.
OVERLOAD_REASONS: Final = frozenset(
    (Reason.OVERLOAD, Reason.COLD, Reason.RATE_LIMIT),
)


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
    data_centre: str
    calling_service: Callable[[], str]
    service_load: ServiceLoad = field(default_factory=ServiceLoad)


@dataclass(slots=True)
class _Attempts:
    """The attempts made so far to serve one request.

    Attributes
    ----------
    has_reached_target
        Whether any target has received the request.
    possible_runs
        Number of attempts in which a target ran or may have run the request.
    offers
        Number of offers made so far.
    max_overload_refusals
        Number of targets that may refuse the request because they expect to
        answer too late.
    overload_refusals
        Number of targets that have done so.
    offered_ids
        Ids of the targets that have been offered the request.
    excluded_ids
        Ids of the targets that must not be offered the request again.
    last_reply
        Last response of a target, returned if no later attempt succeeds.
    uncertain_refusal
        Last refusal after which the request may have run.
    retry_after
        Seconds until the targets that refused expect a free slot.
    last_refusal
        Last refusal of any kind.
    """

    max_overload_refusals: int = MAX_OVERLOAD_REFUSALS
    has_reached_target: bool = False
    possible_runs: int = 0
    offers: int = 0
    overload_refusals: int = 0
    offered_ids: set[str] = field(default_factory=set)
    excluded_ids: set[str] = field(default_factory=set)
    last_reply: Reply | None = None
    uncertain_refusal: Refusal | None = None
    retry_after: list[float] = field(default_factory=list)
    last_refusal: Refusal | None = None


async def dispatch(dispatcher: Dispatcher, request: Request) -> Outcome:
    """Offer a request to targets until one responds or none is left."""
    attempts = _begin_attempts(dispatcher, request)
    outcome = await _dispatch(dispatcher, request, attempts)
    is_refused = (
        isinstance(outcome, Refusal) and outcome.reason in OVERLOAD_REASONS
    )
    now = dispatcher.reactor.seconds()
    record_dispatch(
        dispatcher.service_load, request.route.name, now, is_refused=is_refused
    )
    return outcome


def _begin_attempts(dispatcher: Dispatcher, request: Request) -> _Attempts:
    now = dispatcher.reactor.seconds()
    is_overload_known = is_overloaded(
        dispatcher.service_load, request.route.name, now
    )
    if is_overload_known and not (request.is_nested or request.has_reservation):
        return _Attempts(MAX_REFUSALS_IN_OVERLOAD)
    return _Attempts()


async def _dispatch(
    dispatcher: Dispatcher, request: Request, attempts: _Attempts
) -> Outcome:
    while True:  # noqa: WPS457  # bounded by MAX_OFFERS and the deadline
        target = _choose_target(dispatcher, request, attempts)
        if target is None:
            return _final_outcome(attempts)
        outcome = await _offer_to_target(dispatcher, request, attempts, target)
        if _record_and_check_final(
            dispatcher,
            request,
            attempts,
            target,
            outcome,
        ):
            is_reply = isinstance(outcome, Reply)
            return outcome if is_reply else _final_outcome(attempts)


def _choose_target(
    dispatcher: Dispatcher,
    request: Request,
    attempts: _Attempts,
) -> TargetEntry | None:
    """Return the target of the next offer, or None if no offer is left."""
    now = dispatcher.reactor.seconds()
    if now >= request.deadline or _are_offers_exhausted(attempts):
        return None
    mesh_state = dispatcher.mesh_state
    usable = [
        target_entry
        for target_entry in mesh_state.targets.values()
        if target_entry.service == request.service
        and is_usable(mesh_state, target_entry)
        and target_entry.target_id not in attempts.excluded_ids
    ]
    own_entry = dispatcher.gate.target_entry
    query = PlacementQuery(
        dispatcher.data_centre,
        own_entry.target_id if own_entry else '',
        len(request.body),
        request.route.name,
    )
    ranked = rank_targets(dispatcher.balancer, usable, query, now)
    return ranked[0] if ranked else None


def _are_offers_exhausted(attempts: _Attempts) -> bool:
    return (
        attempts.offers >= MAX_OFFERS
        or attempts.overload_refusals >= attempts.max_overload_refusals
    )


async def _offer_to_target(
    dispatcher: Dispatcher,
    request: Request,
    attempts: _Attempts,
    target: TargetEntry,
) -> Outcome:
    immediate_offers = (
        NESTED_IMMEDIATE_OFFERS if request.is_nested else IMMEDIATE_OFFERS
    )
    may_wait = target.target_id in attempts.offered_ids or (
        len(attempts.offered_ids) >= immediate_offers
    )
    attempts.offered_ids.add(target.target_id)
    if may_wait:
        attempts.excluded_ids.add(target.target_id)
    attempts.offers += 1
    job = _make_job(
        dispatcher,
        request,
        target,
        attempts,
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
    attempts: _Attempts,
    *,
    may_wait: bool,
) -> Job:
    stats = dispatcher.balancer.stats_of(target.target_id)
    return Job(
        request_id=request.request_id,
        attempt=attempts.offers,
        is_retry=attempts.has_reached_target,
        target_id=target.target_id,
        route=request.route.name,
        retry_policy=request.route.retry_policy,
        priority=request.route.priority,
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
    attempts: _Attempts,
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
        attempts.last_reply = outcome
        attempts.has_reached_target = True
        attempts.possible_runs += 1
        attempts.excluded_ids.add(target.target_id)
        has_failed = outcome.status >= SERVER_ERROR
        return not has_failed or not _may_retry(dispatcher, request, attempts)
    attempts.last_refusal = outcome
    attempts.has_reached_target |= outcome.reached_target
    if outcome.retry_after:
        attempts.retry_after.append(outcome.retry_after)
    attempts.overload_refusals += outcome.reason in OVERLOAD_REASONS
    if outcome.reason not in TRANSIENT_REASONS:
        attempts.excluded_ids.add(target.target_id)
    if outcome.verdict is not Verdict.NOT_RUN:
        attempts.possible_runs += 1
        attempts.uncertain_refusal = outcome
        return not _may_retry(dispatcher, request, attempts)
    return outcome.reached_target and not _try_spend_retry(dispatcher, request)


def _apply_notice(
    dispatcher: Dispatcher, target: TargetEntry, reply: Reply
) -> None:
    """Remember what the target says of itself in a response.

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
    attempts: _Attempts,
) -> bool:
    """Return whether a request that may have run may be retried.

    Spends from the retry budget if so.
    """
    route = request.route
    if (
        route.retry_policy != 'idempotent'
        or attempts.possible_runs >= route.attempts
    ):
        return False
    if request.deadline - dispatcher.reactor.seconds() < MIN_RETRY_TIME_S:
        return False
    return _try_spend_retry(dispatcher, request)


def _try_spend_retry(dispatcher: Dispatcher, request: Request) -> bool:
    """Spend one retry from the budget if one is left."""
    now = dispatcher.reactor.seconds()
    return try_spend_retry(dispatcher.budget, request.service, now)


def _final_outcome(attempts: _Attempts) -> Outcome:
    """Choose the outcome once no further offer is made.

    A response of a target takes precedence over a refusal, and a refusal
    after which the request may have run over one after which it did not.
    """
    if attempts.last_reply is not None:
        return attempts.last_reply
    if attempts.uncertain_refusal is not None:
        return attempts.uncertain_refusal
    last_refusal = attempts.last_refusal or Refusal(
        Reason.NO_TARGET, Verdict.NOT_RUN
    )
    after = min(attempts.retry_after, default=DEFAULT_RETRY_AFTER_S)
    return Refusal(last_refusal.reason, Verdict.NOT_RUN, after)
