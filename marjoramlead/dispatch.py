"""Send one request to targets' nodes until it has an outcome.

Load that it answers: a request that finds its best target full is offered to
the next ones for an immediate start, and only then waits where it is expected
to end first. Trouble that it answers: a node that does not acknowledge a
request, or whose connection dies, is asked over a new connection what became
of it, so that doubt turns into an answer or a retry that is allowed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.clock import Clock
from marjoramlead.events import emit
from marjoramlead.hops import (
    FATE_PATH,
    JOB_HEADER,
    REPORT_HEADER,
    Job,
    decode_report,
    encode_job,
    encode_question,
    load_of,
    refusal_of,
)
from marjoramlead.ledger import Outcome
from marjoramlead.limits import Wait
from marjoramlead.metrics import Metrics
from marjoramlead.placement import (
    Offer,
    Outlooks,
    note_connected,
    note_failure,
    note_report,
    note_sent,
    rank_targets,
)
from marjoramlead.repeat_budget import RepeatBudget, take_repeat
from marjoramlead.routes import Route
from marjoramlead.target_gate import TargetGate, abandon, serve_job
from marjoramlead.target_queue import load_report
from marjoramlead.upstream import (
    Fields,
    LinkFailure,
    Outgoing,
    Pool,
    Reply,
    close_idle,
    send,
    value_of,
)
from marjoramlead.verdict import Reason, Refusal, Verdict
from marjoramlead.world import TargetEntry, World, is_usable

__all__ = ('Dispatcher', 'Request', 'dispatch', 'pool_of')

# Targets that are asked for an immediate start before the request waits.
IMMEDIATE_OFFERS: Final = 3
# Targets that a request may be offered to in all; each offer takes about a
# millisecond, and after this many the service is full.
MAX_OFFERS: Final = 8
# A node acknowledges a request as soon as it has read it; this allows for a
# lost packet, which is sent again after 200 ms.
RECEIPT_LIMIT_S: Final = 0.4
# Between two questions for the fate of a request.
ASK_AGAIN_S: Final = 0.25
# Idle connections between nodes are closed by the server after 75 s.
HOP_IDLE_S: Final = 30.0
# Refusals that are not told apart from a full target: come back this soon.
RETRY_AFTER_S: Final = 0.2
# A repeat with less time than this cannot be answered any more.
LEAST_LEFT_S: Final = 0.02
# Seconds past its deadline that an answer on its way is waited for.
LAST_WORD_S: Final = 0.15
SERVER_ERROR: Final = 500
WORDS_OF_LOAD: Final = frozenset((Reason.OVERLOAD, Reason.COLD))


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
    inbound_port
        Port at which the node of any target takes requests.
    """

    world: World
    gate: TargetGate
    outlooks: Outlooks
    budget: RepeatBudget
    reactor: Clock
    metrics: Metrics
    data_centre: str
    caller: Callable[[], str]
    inbound_port: int
    on_revision: Callable[[int], None]
    pools: dict[str, Pool] = field(default_factory=dict)


@dataclass(slots=True)
class _Attempts:
    """What one request has been through.

    Attributes
    ----------
    arrivals
        Times that a target got the request.
    runs
        Targets that may have run it.
    offers
        Targets' nodes that it was sent to.
    best
        The last answer of a target that was worth another attempt.
    """

    began: float
    arrivals: int = 0
    runs: int = 0
    offers: int = 0
    asked: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    best: Reply | None = None
    doubt: Refusal | None = None
    retry_after: list[float] = field(default_factory=list)
    last: Refusal | None = None


def pool_of(dispatcher: Dispatcher, host: str) -> Pool:
    """Connections to the node of one host, made when first needed."""
    pool = dispatcher.pools.get(host)
    if pool is None:
        address = (host, dispatcher.inbound_port)
        pool = Pool(dispatcher.reactor, address, HOP_IDLE_S)
        dispatcher.pools[host] = pool
    return pool


async def dispatch(dispatcher: Dispatcher, request: Request) -> Outcome:
    """Send a request until it has an answer or a final refusal."""
    attempts = _Attempts(dispatcher.reactor.seconds())
    while True:  # noqa: WPS457  # ends with the offers or the deadline
        target = _next_target(dispatcher, request, attempts)
        if target is None:
            return _final(request, attempts)
        outcome = await _offer(dispatcher, request, attempts, target)
        if _is_final(dispatcher, request, attempts, target, outcome):
            return _settled(request, attempts, outcome)


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
        entry
        for entry in world.targets.values()
        if entry.service == request.service
        and is_usable(world, entry)
        and entry.target_id not in attempts.failed
    ]
    untried = [
        entry for entry in usable if entry.target_id not in attempts.asked
    ]
    own = dispatcher.gate.entry
    offer = Offer(
        dispatcher.data_centre,
        own.target_id if own else '',
        len(request.body),
    )
    if _may_wait(attempts, untried):
        ranked = rank_targets(dispatcher.outlooks, usable, offer, now)
        return ranked[0] if ranked else None
    return rank_targets(dispatcher.outlooks, untried, offer, now)[0]


def _may_wait(attempts: _Attempts, untried: list[TargetEntry]) -> bool:
    return len(attempts.asked) >= IMMEDIATE_OFFERS or not untried


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
    job = _job(dispatcher, request, target, may_wait=may_wait)
    outlook = dispatcher.outlooks.of(target.target_id)
    note_sent(outlook)
    own = dispatcher.gate.entry
    if own is not None and own.target_id == target.target_id:
        outcome = await _offer_here(dispatcher, job)
    else:
        outcome = await _offer_there(dispatcher, job, target)
    reason = outcome.reason if isinstance(outcome, Refusal) else 'answered'
    dispatcher.metrics.offers.labels(reason).inc()
    return outcome


def _job(
    dispatcher: Dispatcher,
    request: Request,
    target: TargetEntry,
    *,
    may_wait: bool,
) -> Job:
    return Job(
        request_id=request.request_id,
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
        abandon(gate, job)
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
    inner.addErrback(lambda failure: outer.called or outer.errback(failure))
    return outer


async def _offer_there(
    dispatcher: Dispatcher,
    job: Job,
    target: TargetEntry,
) -> Outcome:
    host = target.address[0]
    sent_at = dispatcher.reactor.seconds()
    result = await _send_job(dispatcher, job, host)
    if isinstance(result, Reply):
        return _read_answer(dispatcher, job, result)
    if not result.was_sent:
        note_failure(
            dispatcher.outlooks.of(job.target_id),
            dispatcher.reactor.seconds(),
        )
        return Refusal(Reason.CONNECT_FAILED, Verdict.NOT_RUN, RETRY_AFTER_S)
    emit(
        'hop_lost',
        request_id=job.request_id,
        target=job.target_id,
        reason=result.reason,
    )
    return await _learn_fate(dispatcher, job, host, sent_at)


async def _send_job(
    dispatcher: Dispatcher,
    job: Job,
    host: str,
) -> Reply | LinkFailure:
    """Send a job; give up without a receipt, or past its deadline."""
    now = dispatcher.reactor.seconds()
    headers = [*job.headers, (JOB_HEADER, encode_job(job, now))]
    outgoing = Outgoing(job.method, job.uri, headers, job.body)
    wait = Wait(
        dispatcher.reactor,
        send(
            pool_of(dispatcher, host),
            outgoing,
            on_receipt=lambda: receipt.active() and receipt.cancel(),
        ),
    )
    receipt = wait.end_at(now + RECEIPT_LIMIT_S)
    wait.end_at(job.deadline + LAST_WORD_S)
    sent = await wait.result()
    if sent is None:
        return LinkFailure(Reason.SILENT, was_sent=True)
    return sent.ok if sent.is_ok() else sent.error


def _read_answer(dispatcher: Dispatcher, job: Job, reply: Reply) -> Outcome:
    decoded = decode_report(value_of(reply.headers, REPORT_HEADER))
    if decoded.is_error():
        emit('hop_unreadable', request_id=job.request_id, why=decoded.error)
        return Refusal(Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0, reached=True)
    report = decoded.ok
    outlook = dispatcher.outlooks.of(job.target_id)
    note_report(outlook, load_of(report), dispatcher.reactor.seconds())
    dispatcher.on_revision(report['revision'])
    refusal = refusal_of(report)
    if refusal is not None:
        return refusal
    fields = [
        (name, raw)
        for name, raw in reply.headers
        if name.lower() != REPORT_HEADER
    ]
    return reply._replace(headers=fields)


async def _learn_fate(
    dispatcher: Dispatcher,
    job: Job,
    host: str,
    sent_at: float,
) -> Outcome:
    """Ask the target's node what became of a request, until it says so."""
    outcome: Outcome = Refusal(
        Reason.SILENT,
        Verdict.MAY_HAVE_RUN,
        0,
        reached=True,
    )
    is_first = True
    while dispatcher.reactor.seconds() < job.deadline:
        known = await _ask_fate(dispatcher, job, host, sent_at)
        if known is not None:
            return known
        note_failure(
            dispatcher.outlooks.of(job.target_id),
            dispatcher.reactor.seconds(),
        )
        if job.repeat == 'idempotent' and not is_first:
            return outcome
        is_first = False
        await _pause(dispatcher.reactor, ASK_AGAIN_S)
    return outcome


async def _ask_fate(
    dispatcher: Dispatcher,
    job: Job,
    host: str,
    sent_at: float,
) -> Outcome | None:
    """Ask once, over a new connection; None where nobody answers."""
    now = dispatcher.reactor.seconds()
    question = encode_question(job.request_id, now - sent_at)
    outgoing = Outgoing(b'POST', FATE_PATH, [(b'Host', b'node')], question)
    fresh = Pool(dispatcher.reactor, (host, dispatcher.inbound_port), 0)
    wait = Wait(dispatcher.reactor, send(fresh, outgoing))
    wait.end_at(job.deadline + LAST_WORD_S)
    sent = await wait.result()
    close_idle(fresh)
    if sent is None or sent.is_error():
        return None
    return _read_answer(dispatcher, job, sent.ok)


def _pause(reactor: Clock, seconds: float) -> Deferred[None]:
    paused: Deferred[None] = Deferred(lambda _paused: timer.cancel())
    timer = reactor.callLater(seconds, paused.callback, None)
    return paused


def _is_final(
    dispatcher: Dispatcher,
    request: Request,
    attempts: _Attempts,
    target: TargetEntry,
    outcome: Outcome,
) -> bool:
    """Note what an offer came to; whether it ends the request."""
    outlook = dispatcher.outlooks.of(target.target_id)
    if isinstance(outcome, Reply):
        has_failed = outcome.status >= SERVER_ERROR
        note_connected(outlook, has_failed=has_failed)
        attempts.best = outcome
        attempts.arrivals += 1
        attempts.runs += 1
        attempts.failed.add(target.target_id)
        return not has_failed or not _may_repeat(dispatcher, request, attempts)
    attempts.last = outcome
    if outcome.retry_after:
        attempts.retry_after.append(outcome.retry_after)
    if outcome.reason not in WORDS_OF_LOAD:
        attempts.failed.add(target.target_id)
    if outcome.reached:
        attempts.arrivals += 1
    if outcome.verdict is not Verdict.NOT_RUN:
        note_connected(outlook, has_failed=True)
        attempts.runs += 1
        attempts.doubt = outcome
        return not _may_repeat(dispatcher, request, attempts)
    return outcome.reached and not _has_budget(dispatcher, request)


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


def _settled(
    request: Request,
    attempts: _Attempts,
    outcome: Outcome,
) -> Outcome:
    if isinstance(outcome, Reply):
        return outcome
    return _final(request, attempts)


def _final(request: Request, attempts: _Attempts) -> Outcome:
    """What to answer once no further offer is made."""
    if attempts.best is not None:
        return attempts.best
    if attempts.doubt is not None:
        return attempts.doubt
    last = attempts.last or Refusal(Reason.NO_TARGET, Verdict.NOT_RUN)
    after = min(attempts.retry_after, default=RETRY_AFTER_S)
    return Refusal(last.reason, Verdict.NOT_RUN, after)
