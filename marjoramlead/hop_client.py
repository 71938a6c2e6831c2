"""Send requests to the nodes of targets on other hosts.

If a node does not acknowledge a request in time, or its connection fails, the
outcome of the request is queried over a new connection. This recovers the
response, or shows whether the request may be retried at another target. A
request whose caller leaves is withdrawn in the same way, unless the node has
closed the connection as well.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from marjoramlead.body_grants import link_window
from marjoramlead.clock import Clock, Timer
from marjoramlead.deadlines import TimedWait
from marjoramlead.events import emit
from marjoramlead.hops import (
    FATE_PATH,
    JOB_HEADER,
    MS_PER_SECOND,
    REPORT_HEADER,
    Job,
    decode_report,
    encode_fate_query,
    encode_job,
    load_from_report,
    mark_from_headers,
    refusal_from_report,
    revision_from_report,
)
from marjoramlead.http_messages import ParsedHeaders
from marjoramlead.ledger import LedgerMark, Outcome
from marjoramlead.memory_budget import MemoryBudget
from marjoramlead.mesh_state import TargetEntry
from marjoramlead.metrics import Metrics, traffic_counter
from marjoramlead.placement import (
    BalancerState,
    record_load_report,
    record_unreachable_host,
)
from marjoramlead.revisions import Revision
from marjoramlead.upstream import (
    Connect,
    ConnectionFailure,
    ConnectionPool,
    HeaderList,
    OutgoingRequest,
    Reply,
    close_idle,
    connect_tcp,
    header_value,
    send,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('HopClient', 'discard_hosts_except', 'offer_remotely')

# A node acknowledges a request as soon as it has read it. The timeout allows
# for one lost packet, which TCP retransmits after 200 ms.
ACKNOWLEDGE_TIMEOUT_S: Final = 0.4
# Bodies of at least this size are sent with "Expect: 100-continue", so that
# they cross the network only once the target has a slot for the request.
EXPECT_CONTINUE_BYTES: Final = 4096
# Time after a cancellation until a node that has not closed the connection is
# notified over a new one. TCP retransmits a lost packet only after 200 ms.
WITHDRAW_DELAY_S: Final = 0.15
# Longest time for which one query waits, as its connection may go silent, too.
QUERY_TIMEOUT_S: Final = 0.55
# The same for a withdrawal, which is answered at once.
WITHDRAWAL_TIMEOUT_S: Final = 0.25
# Time from one query for the outcome of a request to the next.
FATE_QUERY_INTERVAL_S: Final = 0.25
# The server closes idle connections between nodes after 75 s.
IDLE_TIMEOUT_S: Final = 30.0
# Time after a request's deadline during which its response is still awaited.
RESPONSE_GRACE_S: Final = 0.15
# Refusal reasons that apply to every request to the host, which is then avoided
# for a short time.
HOST_WIDE_REASONS: Final = frozenset(
    (Reason.DRAINING, Reason.NOT_READY, Reason.WRONG_TARGET),
)

# Outcome of a job if its node has not reported one.
UNKNOWN_OUTCOME: Final = Refusal(
    Reason.SILENT, Verdict.MAY_HAVE_RUN, 0, reached_target=True
)


@dataclass(slots=True)
class _HopProgress:
    """When the stages of a hop were reached, on the monotonic clock.

    Attributes
    ----------
    connected_at, acknowledged_at
        None before the stage.
    ack_timer
        Fires if the node does not acknowledge the job in time; None before the
        job is sent.
    mark
        Last mark of the node's ledger that was received before the job was
        sent, or the one that acknowledged the job.
    is_ended
        Whether the node is known to have ended the job: it has reported the
        outcome, or has closed the connection that was cancelled here.
    """

    offered_at: float
    mark: LedgerMark | None
    connected_at: float | None = None
    acknowledged_at: float | None = None
    ack_timer: Timer | None = None
    is_ended: bool = False


def _ignore_sent(_size: int) -> None:
    """Do nothing: the default for hosts whose links are not scheduled."""


@dataclass(slots=True)
class HopClient:
    """Client for the nodes of other targets.

    Attributes
    ----------
    balancer
        Load and failures known of each target, updated from the reports.
    port
        Port on which every node accepts requests of other nodes.
    on_revision
        Called with the store revision that another node reports.
    link_bytes_per_s
        Returns the rate of this host's link.
    pools
        Connection pools by host.
    budget
        Memory for the responses.
    marks
        Last mark that was received of each host's ledger.
    on_sent
        Called with the number of bytes that are sent to another node.
    """

    balancer: BalancerState
    reactor: Clock
    port: int
    on_revision: Callable[[Revision], None]
    metrics: Metrics
    link_bytes_per_s: Callable[[], float]
    budget: MemoryBudget
    connect: Connect = connect_tcp
    on_sent: Callable[[int], None] = _ignore_sent
    pools: dict[str, ConnectionPool] = field(default_factory=dict)
    marks: dict[str, LedgerMark] = field(default_factory=dict)


def discard_hosts_except(client: HopClient, hosts: Collection[str]) -> None:
    """Forget the hosts that no target is on; close their idle connections."""
    for host in client.pools.keys() - hosts:
        close_idle(client.pools.pop(host))
    for host in client.marks.keys() - hosts:
        client.marks.pop(host)


async def offer_remotely(
    client: HopClient,
    job: Job,
    target: TargetEntry,
) -> Outcome:
    """Offer a job to the node of its target and return the outcome.

    If the node does not acknowledge the job in time, the outcome is queried
    while the connection is kept; the first answer counts.
    """
    host = target.address[0]
    progress = _HopProgress(client.reactor.seconds(), client.marks.get(host))
    pending: list[Deferred[Outcome]] = []
    first = _first_of(pending)

    def on_silence() -> None:
        querying = Deferred.fromCoroutine(
            _query_when_silent(client, job, host, progress)
        )
        pending.append(querying)
        querying.addBoth(first.on_end)

    sending = Deferred.fromCoroutine(
        _send_job(client, job, host, progress, on_silence)
    )
    pending.append(sending)
    sending.addBoth(first.on_end)
    return await first.ended


class _First(NamedTuple):
    """The first of several results.

    Attributes
    ----------
    ended
        Fires with the first result or failure.
    on_end
        Takes a result or failure; the first one cancels what is pending.
    """

    ended: 'Deferred[Outcome]'
    on_end: Callable[[Outcome | Failure], None]


def _first_of(pending: list[Deferred[Outcome]]) -> _First:
    """Return the first result or failure, and cancel the others."""

    def cancel(_first: object = None) -> None:
        for each in pending:
            each.cancel()

    def on_end(result: Outcome | Failure) -> None:
        if not first.called:
            first.callback(result)
            cancel()

    first: Deferred[Outcome] = Deferred(cancel)
    return _First(first, on_end)


async def _send_job(
    client: HopClient,
    job: Job,
    host: str,
    progress: _HopProgress,
    on_silence: Callable[[], None],
) -> Outcome:
    """Send a job and return its outcome, also if the connection fails.

    If cancelled, the job is withdrawn unless its node closes the connection.
    """
    try:
        return await _send_and_resolve(client, job, host, progress, on_silence)
    except CancelledError:
        if progress.connected_at is not None:
            client.reactor.callLater(
                WITHDRAW_DELAY_S,
                _withdraw_unless_ended,
                client,
                job,
                host,
                progress,
            )
        raise
    finally:
        _cancel_timer(progress.ack_timer)


async def _send_and_resolve(
    client: HopClient,
    job: Job,
    host: str,
    progress: _HopProgress,
    on_silence: Callable[[], None],
) -> Outcome:
    result = await _exchange(client, job, host, progress, on_silence)
    if isinstance(result, Reply):
        return _process_reply(client, job, result)
    if not result.may_have_arrived:
        record_unreachable_host(
            client.balancer.stats_of(job.target_id),
            client.reactor.seconds(),
        )
        return Refusal(Reason.CONNECT_FAILED, Verdict.NOT_RUN, 0)
    _log_lost_hop(client, job, progress, result.reason)
    return await _resolve_fate(client, job, host, progress)


async def _exchange(
    client: HopClient,
    job: Job,
    host: str,
    progress: _HopProgress,
    on_silence: Callable[[], None],
) -> Reply | ConnectionFailure:
    """Send a job and wait for the reply, at most until its deadline."""
    now = client.reactor.seconds()
    terms = encode_job(job, now, link_window(client.link_bytes_per_s()))
    headers = [*job.headers, (JOB_HEADER, terms)]
    outgoing = OutgoingRequest(
        job.method,
        job.uri,
        headers,
        job.body,
        expects_continue=len(job.body) >= EXPECT_CONTINUE_BYTES,
    )

    def on_connected() -> None:
        progress.connected_at = client.reactor.seconds()
        progress.ack_timer = client.reactor.callLater(
            ACKNOWLEDGE_TIMEOUT_S, on_silence
        )

    def on_acknowledged(headers: HeaderList) -> None:
        _cancel_timer(progress.ack_timer)
        progress.mark = _note_mark(client, host, headers) or progress.mark
        if progress.acknowledged_at is None:
            progress.acknowledged_at = client.reactor.seconds()
            client.metrics.hop_acknowledgement.observe(
                progress.acknowledged_at - progress.offered_at
            )

    def on_closed() -> None:
        progress.is_ended = True

    wait = TimedWait(
        client.reactor,
        send(
            _pool_for(client, host),
            outgoing,
            on_acknowledged=on_acknowledged,
            on_connected=on_connected,
            on_closed=on_closed,
        ),
    )
    wait.add_deadline(job.deadline + RESPONSE_GRACE_S)
    send_result = await wait.result()
    if send_result is None:
        return ConnectionFailure(Reason.SILENT, may_have_arrived=True)
    return send_result.ok if send_result.is_ok() else send_result.error


async def _query_when_silent(
    client: HopClient, job: Job, host: str, progress: _HopProgress
) -> Outcome:
    """Query the outcome of a job that its node does not acknowledge."""
    _log_lost_hop(client, job, progress, Reason.SILENT)
    outcome = await _resolve_fate(client, job, host, progress)
    progress.is_ended = outcome is not UNKNOWN_OUTCOME
    return outcome


def _withdraw_unless_ended(
    client: HopClient, job: Job, host: str, progress: _HopProgress
) -> None:
    """Withdraw a cancelled job unless its node is known to have ended it."""
    if not progress.is_ended:
        withdrawing = Deferred.fromCoroutine(
            _withdraw(client, job, host, progress)
        )
        withdrawing.addErrback(
            lambda failure: emit('bug', error=failure.getTraceback())
        )


async def _withdraw(
    client: HopClient, job: Job, host: str, progress: _HopProgress
) -> None:
    """Tell the target's node over a new connection to drop a job."""
    while client.reactor.seconds() < job.deadline:
        next_at = client.reactor.seconds() + FATE_QUERY_INTERVAL_S
        known = await _query_fate(
            client, job, host, progress, is_withdrawn=True
        )
        emit(
            'withdrawn',
            request_id=job.request_id,
            target=job.target_id,
            is_acknowledged=known is not None,
        )
        if known is not None:
            return
        await _sleep_until(client.reactor, next_at)


def _log_lost_hop(
    client: HopClient, job: Job, progress: _HopProgress, reason: Reason
) -> None:
    emit(
        'hop_lost',
        request_id=job.request_id,
        target=job.target_id,
        reason=reason,
        bytes=len(job.body),
        connected_ms=_elapsed_ms(progress, progress.connected_at),
        acknowledged_ms=_elapsed_ms(progress, progress.acknowledged_at),
        lost_ms=_elapsed_ms(progress, client.reactor.seconds()),
    )


def _process_reply(client: HopClient, job: Job, reply: Reply) -> Outcome:
    """Record the report in a response and return the outcome of the job."""
    decoded = decode_report(header_value(reply.headers, REPORT_HEADER))
    if decoded.is_error():
        emit('hop_unreadable', request_id=job.request_id, why=decoded.error)
        return Refusal(
            Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0, reached_target=True
        )
    report = decoded.ok
    stats = client.balancer.stats_of(job.target_id)
    record_load_report(
        stats, load_from_report(report), client.reactor.seconds(), job.route
    )
    client.on_revision(revision_from_report(report))
    refusal = refusal_from_report(report)
    if refusal is not None:
        if refusal.reason in HOST_WIDE_REASONS:
            record_unreachable_host(stats, client.reactor.seconds())
        return refusal
    fields = [
        (name, raw)
        for name, raw in reply.headers
        if name.lower() != REPORT_HEADER
    ]
    return reply._replace(headers=ParsedHeaders(fields))


async def _resolve_fate(
    client: HopClient,
    job: Job,
    host: str,
    progress: _HopProgress,
) -> Outcome:
    """Query the outcome of a request until the target's node responds.

    Idempotent requests are queried at most twice, as they can be retried
    elsewhere; others until their deadline.
    """
    is_first = True
    while client.reactor.seconds() < job.deadline:
        next_at = client.reactor.seconds() + FATE_QUERY_INTERVAL_S
        known = await _query_fate(client, job, host, progress)
        if known is UNKNOWN_OUTCOME:
            continue
        if known is not None:
            return known
        record_unreachable_host(
            client.balancer.stats_of(job.target_id),
            client.reactor.seconds(),
        )
        if job.retry_policy == 'idempotent' and not is_first:
            return UNKNOWN_OUTCOME
        is_first = False
        await _sleep_until(client.reactor, next_at)
    return UNKNOWN_OUTCOME


async def _query_fate(
    client: HopClient,
    job: Job,
    host: str,
    progress: _HopProgress,
    *,
    is_withdrawn: bool = False,
) -> Outcome | None:
    """Query the outcome once over a new connection.

    Returns None if the node does not respond, and ``UNKNOWN_OUTCOME`` if it
    has only acknowledged the query. A withdrawn job does not start any more.
    """
    now = client.reactor.seconds()
    query = encode_fate_query(
        job,
        now - progress.offered_at,
        progress.mark,
        is_withdrawn=is_withdrawn,
    )
    outgoing = OutgoingRequest(b'POST', FATE_PATH, [(b'Host', b'node')], query)
    pool = _new_pool(client, host, 0, 'fate')
    answering: list[LedgerMark | None] = []

    def on_acknowledged(headers: HeaderList) -> None:
        answering.append(_note_mark(client, host, headers))

    wait = TimedWait(
        client.reactor,
        send(pool, outgoing, on_acknowledged=on_acknowledged),
    )
    timeout_s = WITHDRAWAL_TIMEOUT_S if is_withdrawn else QUERY_TIMEOUT_S
    wait.add_deadline(min(now + timeout_s, job.deadline + RESPONSE_GRACE_S))
    send_result = await wait.result()
    close_idle(pool)
    if send_result is None and answering:
        return UNKNOWN_OUTCOME
    if send_result is None or send_result.is_error():
        return None
    outcome = _process_reply(client, job, send_result.ok)
    if isinstance(outcome, Refusal) and not any(answering):
        return _weaken_never_seen(outcome)
    return outcome


def _weaken_never_seen(refusal: Refusal) -> Refusal:
    """Return the refusal of a node of an earlier version, without marks.

    Such a node concludes from the age in the query that it would know of the
    attempt, which is wrong if the query was read late.
    """
    if refusal.reason is not Reason.NEVER_SEEN:
        return refusal
    return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)


def _note_mark(
    client: HopClient, host: str, headers: HeaderList
) -> LedgerMark | None:
    """Note the mark in an acknowledgement for the jobs that are sent later."""
    mark = mark_from_headers(headers)
    if mark is not None:
        client.marks[host] = mark
    return mark


def _elapsed_ms(progress: _HopProgress, reached_at: float | None) -> int | None:
    if reached_at is None:
        return None
    return round((reached_at - progress.offered_at) * MS_PER_SECOND)


def _sleep_until(reactor: Clock, wake_at: float) -> Deferred[None]:
    sleeping: Deferred[None] = Deferred(lambda _sleeping: timer.cancel())
    left = max(0, wake_at - reactor.seconds())
    timer = reactor.callLater(left, sleeping.callback, None)
    return sleeping


def _cancel_timer(timer: Timer | None) -> None:
    if timer is not None and timer.active():
        timer.cancel()


def _pool_for(client: HopClient, host: str) -> ConnectionPool:
    pool = client.pools.get(host)
    if pool is None:
        pool = _new_pool(client, host, IDLE_TIMEOUT_S, 'hop')
        client.pools[host] = pool
    return pool


def _new_pool(
    client: HopClient, host: str, idle_timeout_s: float, purpose: str
) -> ConnectionPool:
    count = traffic_counter(client.metrics, purpose)

    def on_traffic(sent: int, received: int) -> None:
        count(sent, received)
        if sent:
            client.on_sent(sent)

    return ConnectionPool(
        client.reactor,
        (host, client.port),
        idle_timeout_s,
        client.connect,
        on_traffic,
        budget=client.budget,
    )
