"""Offer one request to targets until it has an outcome.

Load that it answers: a request that finds its best target full is offered to
the next ones for an immediate start, or waits where it is expected to end
first. What may be repeated follows from the route, from what each target's
node says of the request's fate, and from the budget of repeats.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.clock import Clock
from marjoramlead.hop_client import HopClient, offer_there
from marjoramlead.hops import Job
from marjoramlead.ledger import Outcome
from marjoramlead.metrics import Metrics
from marjoramlead.placement import (
    Offer,
    Outlooks,
    note_outcome,
    note_report,
    note_sent,
    rank_targets,
)
from marjoramlead.repeat_budget import RepeatBudget, take_repeat
from marjoramlead.routes import Route
from marjoramlead.target_gate import TargetGate
from marjoramlead.target_queue import load_report
from marjoramlead.target_runs import abandon_job, serve_job
from marjoramlead.upstream import Fields, Reply
from marjoramlead.verdict import Reason, Refusal, Verdict
from marjoramlead.world import TargetEntry, World, is_usable

__all__ = ('Dispatcher', 'Request', 'dispatch')

# Targets that are asked for an immediate start; the next ones may queue it.
IMMEDIATE_OFFERS: Final = 3
# Targets that a request may be offered to in all; each offer takes about a
# millisecond, and after this many the service is full.
MAX_OFFERS: Final = 8
# Where no target has said when there is room, callers come back after this.
RETRY_AFTER_S: Final = 0.2
# A repeat with less time than this cannot be answered any more.
LEAST_LEFT_S: Final = 0.02
SERVER_ERROR: Final = 500
# Reasons after which the same target may be offered the request once more.
MAY_CHANGE: Final = frozenset(
    (Reason.NO_ROOM, Reason.NEVER_SEEN),
)


class Request(NamedTuple):
    """One request of a client, read whole.

    Attributes
    ----------
    deadline
        When the client, or the route's timeout, ends the wait.
    """

    request_id: str
    route: Route
    service: str
    deadline: float
    aim_at: float
    method: bytes
    uri: bytes
    headers: Fields
    body: bytes


@dataclass(slots=True)
class Dispatcher:
    """What is needed to send requests to targets.

    Attributes
    ----------
    caller
        Tells the service of this host.
    """

    world: World
    gate: TargetGate
    hops: HopClient
    outlooks: Outlooks
    budget: RepeatBudget
    reactor: Clock
    metrics: Metrics
    data_centre: str
    caller: Callable[[], str]


@dataclass(slots=True)
class _Attempts:
    """What one request has been through.

    Attributes
    ----------
    has_arrived
        Whether a target has had the request.
    runs
        Targets that may have run it.
    offers
        Offers made so far.
    asked
        Ids of targets that were offered the request.
    failed
        Ids of targets that are not offered it again.
    best
        The last answer of a target that was worth another attempt.
    doubt
        The last refusal after which the request may have run.
    retry_after
        Seconds after which targets' nodes expect to have room.
    """

    has_arrived: bool = False
    runs: int = 0
    offers: int = 0
    asked: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    best: Reply | None = None
    doubt: Refusal | None = None
    retry_after: list[float] = field(default_factory=list)
    last: Refusal | None = None


async def dispatch(dispatcher: Dispatcher, request: Request) -> Outcome:
    """Send a request until it has an answer or a final refusal."""
    attempts = _Attempts()
    while True:  # noqa: WPS457  # ends with the offers or the deadline
        target = _next_target(dispatcher, request, attempts)
        if target is None:
            return _final(attempts)
        outcome = await _offer(dispatcher, request, attempts, target)
        if _is_final(dispatcher, request, attempts, target, outcome):
            is_answer = isinstance(outcome, Reply)
            return outcome if is_answer else _final(attempts)


def _next_target(
    dispatcher: Dispatcher,
    request: Request,
    attempts: _Attempts,
) -> TargetEntry | None:
    now = dispatcher.reactor.seconds()
    if now >= request.deadline or attempts.offers >= MAX_OFFERS:
        return None
    world = dispatcher.world
    usable = [
        target_entry
        for target_entry in world.targets.values()
        if target_entry.service == request.service
        and is_usable(world, target_entry)
        and target_entry.target_id not in attempts.failed
    ]
    own = dispatcher.gate.target_entry
    offer = Offer(
        dispatcher.data_centre,
        own.target_id if own else '',
        len(request.body),
    )
    ranked = rank_targets(dispatcher.outlooks, usable, offer, now)
    return ranked[0] if ranked else None


async def _offer(
    dispatcher: Dispatcher,
    request: Request,
    attempts: _Attempts,
    target: TargetEntry,
) -> Outcome:
    may_wait = target.target_id in attempts.asked or (
        len(attempts.asked) >= IMMEDIATE_OFFERS
    )
    attempts.asked.add(target.target_id)
    if may_wait:
        attempts.failed.add(target.target_id)
    attempts.offers += 1
    job = _job(
        dispatcher,
        request,
        target,
        attempts,
        may_wait=may_wait,
    )
    outlook = dispatcher.outlooks.of(target.target_id)
    note_sent(outlook)
    own = dispatcher.gate.target_entry
    if own is not None and own.target_id == target.target_id:
        outcome = await _offer_here(dispatcher, job)
    else:
        outcome = await offer_there(dispatcher.hops, job, target)
    reason = outcome.reason if isinstance(outcome, Refusal) else 'answered'
    dispatcher.metrics.offers.labels(reason).inc()
    return outcome


def _job(
    dispatcher: Dispatcher,
    request: Request,
    target: TargetEntry,
    attempts: _Attempts,
    *,
    may_wait: bool,
) -> Job:
    return Job(
        request_id=request.request_id,
        attempt=attempts.offers,
        is_repeat=attempts.has_arrived,
        target_id=target.target_id,
        route=request.route.name,
        repeat=request.route.repeat,
        priority=request.route.priority,
        aim_at=request.aim_at,
        deadline=request.deadline,
        caller=dispatcher.caller(),
        may_wait=may_wait,
        method=request.method,
        uri=request.uri,
        headers=request.headers,
        body=request.body,
    )


async def _offer_here(dispatcher: Dispatcher, job: Job) -> Outcome:
    gate = dispatcher.gate
    try:
        outcome = await _shielded(serve_job(gate, job))
    except CancelledError:
        abandon_job(gate, job)
        raise
    now = dispatcher.reactor.seconds()
    outlook = dispatcher.outlooks.of(job.target_id)
    note_report(outlook, load_report(gate.queue, now), now)
    return outcome


def _shielded(inner: Deferred[Outcome]) -> Deferred[Outcome]:
    """Wait for a result without passing a cancellation on."""
    outer: Deferred[Outcome] = Deferred()

    def on_end(outcome: Outcome) -> Outcome:
        if not outer.called:
            outer.callback(outcome)
        return outcome

    inner.addCallback(on_end)
    inner.addErrback(outer.errback)
    return outer


def _is_final(
    dispatcher: Dispatcher,
    request: Request,
    attempts: _Attempts,
    target: TargetEntry,
    outcome: Outcome,
) -> bool:
    """Note what an offer came to, and say whether it ends the request."""
    _note_outcome(dispatcher, target, outcome)
    if isinstance(outcome, Reply):
        attempts.best = outcome
        attempts.has_arrived = True
        attempts.runs += 1
        attempts.failed.add(target.target_id)
        has_failed = outcome.status >= SERVER_ERROR
        return not has_failed or not _may_repeat(dispatcher, request, attempts)
    attempts.last = outcome
    attempts.has_arrived |= outcome.reached
    if outcome.retry_after:
        attempts.retry_after.append(outcome.retry_after)
    if outcome.reason not in MAY_CHANGE:
        attempts.failed.add(target.target_id)
    if outcome.verdict is not Verdict.NOT_RUN:
        attempts.runs += 1
        attempts.doubt = outcome
        return not _may_repeat(dispatcher, request, attempts)
    return outcome.reached and not _has_budget(dispatcher, request)


def _note_outcome(
    dispatcher: Dispatcher,
    target: TargetEntry,
    outcome: Outcome,
) -> None:
    """Learn how a target treats the requests that reach it."""
    if isinstance(outcome, Reply):
        has_failed = outcome.status >= SERVER_ERROR
    elif outcome.reached:
        has_failed = True
    else:
        return
    outlook = dispatcher.outlooks.of(target.target_id)
    now = dispatcher.reactor.seconds()
    note_outcome(outlook, now, has_failed=has_failed)


def _may_repeat(
    dispatcher: Dispatcher,
    request: Request,
    attempts: _Attempts,
) -> bool:
    """Whether a request that may have run may run once more."""
    route = request.route
    if route.repeat != 'idempotent' or attempts.runs >= route.attempts:
        return False
    if request.deadline - dispatcher.reactor.seconds() < LEAST_LEFT_S:
        return False
    return _has_budget(dispatcher, request)


def _has_budget(dispatcher: Dispatcher, request: Request) -> bool:
    now = dispatcher.reactor.seconds()
    return take_repeat(dispatcher.budget, request.service, now)


def _final(attempts: _Attempts) -> Outcome:
    """Choose the answer once no further offer is made."""
    if attempts.best is not None:
        return attempts.best
    if attempts.doubt is not None:
        return attempts.doubt
    last = attempts.last or Refusal(Reason.NO_TARGET, Verdict.NOT_RUN)
    after = min(attempts.retry_after, default=RETRY_AFTER_S)
    return Refusal(last.reason, Verdict.NOT_RUN, after)
