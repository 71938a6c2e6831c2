"""Send requests to the nodes of targets on other hosts.

If a node does not acknowledge a request in time, or its connection fails, the
outcome of the request is queried over a new connection. This recovers the
response, or shows whether the request may be retried at another target.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from twisted.internet.defer import Deferred

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
    refusal_from_report,
)
from marjoramlead.ledger import Outcome
from marjoramlead.mesh_state import TargetEntry
from marjoramlead.metrics import Metrics, traffic_counter
from marjoramlead.placement import (
    BalancerState,
    record_load_report,
    record_unreachable_host,
)
from marjoramlead.upstream import (
    Connect,
    ConnectionFailure,
    ConnectionPool,
    OutgoingRequest,
    Reply,
    close_idle,
    connect_tcp,
    header_value,
    send,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('HopClient', 'offer_remotely')

# A node acknowledges a request as soon as it has read it. The timeout allows
# for one lost packet, which TCP retransmits after 200 ms.
ACKNOWLEDGE_TIMEOUT_S: Final = 0.4
# Bodies of at least this size are sent with "Expect: 100-continue", so that
# they cross the network only once the target has a slot for the request.
EXPECT_CONTINUE_BYTES: Final = 4096
# Interval between queries for the outcome of a request.
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


@dataclass(slots=True)
class _HopProgress:
    """When the stages of a hop were reached, on the monotonic clock.

    Attributes
    ----------
    connected_at, acknowledged_at
        None before the stage.
    """

    offered_at: float
    connected_at: float | None = None
    acknowledged_at: float | None = None


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
    pools
        Connection pools by host.
    """

    balancer: BalancerState
    reactor: Clock
    port: int
    on_revision: Callable[[int], None]
    metrics: Metrics
    connect: Connect = connect_tcp
    pools: dict[str, ConnectionPool] = field(default_factory=dict)


async def offer_remotely(
    client: HopClient,
    job: Job,
    target: TargetEntry,
) -> Outcome:
    """Offer a job to the node of its target and return the outcome."""
    host = target.address[0]
    sent_at = client.reactor.seconds()
    progress = _HopProgress(sent_at)
    result = await _send_job(client, job, host, progress)
    if isinstance(result, Reply):
        return _process_reply(client, job, result)
    if not result.may_have_arrived:
        record_unreachable_host(
            client.balancer.stats_of(job.target_id),
            client.reactor.seconds(),
        )
        return Refusal(Reason.CONNECT_FAILED, Verdict.NOT_RUN, 0)
    emit(
        'hop_lost',
        request_id=job.request_id,
        target=job.target_id,
        reason=result.reason,
        bytes=len(job.body),
        connected_ms=_elapsed_ms(progress, progress.connected_at),
        acknowledged_ms=_elapsed_ms(progress, progress.acknowledged_at),
        lost_ms=_elapsed_ms(progress, client.reactor.seconds()),
    )
    return await _resolve_fate(client, job, host, sent_at)


async def _send_job(
    client: HopClient,
    job: Job,
    host: str,
    progress: _HopProgress,
) -> Reply | ConnectionFailure:
    """Send a job, bounded by the acknowledgement timeout and its deadline."""
    now = client.reactor.seconds()
    headers = [*job.headers, (JOB_HEADER, encode_job(job, now))]
    outgoing = OutgoingRequest(
        job.method,
        job.uri,
        headers,
        job.body,
        expects_continue=len(job.body) >= EXPECT_CONTINUE_BYTES,
    )

    def on_connected() -> None:
        progress.connected_at = client.reactor.seconds()

    def on_acknowledged() -> None:
        _cancel_timer(ack_timer)
        if progress.acknowledged_at is None:
            progress.acknowledged_at = client.reactor.seconds()
            client.metrics.hop_acknowledgement.observe(
                progress.acknowledged_at - progress.offered_at
            )

    wait = TimedWait(
        client.reactor,
        send(
            _pool_for(client, host),
            outgoing,
            on_acknowledged=on_acknowledged,
            on_connected=on_connected,
        ),
    )
    ack_timer = wait.add_deadline(now + ACKNOWLEDGE_TIMEOUT_S)
    wait.add_deadline(job.deadline + RESPONSE_GRACE_S)
    send_result = await wait.result()
    if send_result is None:
        return ConnectionFailure(Reason.SILENT, may_have_arrived=True)
    return send_result.ok if send_result.is_ok() else send_result.error


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
    client.on_revision(report['revision'])
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
    return reply._replace(headers=fields)


async def _resolve_fate(
    client: HopClient,
    job: Job,
    host: str,
    sent_at: float,
) -> Outcome:
    """Query the outcome of a request until the target's node responds.

    Idempotent requests are queried at most twice, as they can be retried
    elsewhere; others until their deadline.
    """
    outcome: Outcome = Refusal(
        Reason.SILENT,
        Verdict.MAY_HAVE_RUN,
        0,
        reached_target=True,
    )
    is_first = True
    while client.reactor.seconds() < job.deadline:
        known = await _query_fate(client, job, host, sent_at)
        if known is not None:
            return known
        record_unreachable_host(
            client.balancer.stats_of(job.target_id),
            client.reactor.seconds(),
        )
        if job.retry_policy == 'idempotent' and not is_first:
            return outcome
        is_first = False
        await _sleep(client.reactor, FATE_QUERY_INTERVAL_S)
    return outcome


async def _query_fate(
    client: HopClient,
    job: Job,
    host: str,
    sent_at: float,
) -> Outcome | None:
    """Query the outcome once over a new connection.

    Returns None if the node does not respond.
    """
    now = client.reactor.seconds()
    query = encode_fate_query(job, now - sent_at)
    outgoing = OutgoingRequest(b'POST', FATE_PATH, [(b'Host', b'node')], query)
    pool = ConnectionPool(
        client.reactor,
        (host, client.port),
        0,
        client.connect,
        traffic_counter(client.metrics, 'fate'),
    )
    wait = TimedWait(client.reactor, send(pool, outgoing))
    wait.add_deadline(job.deadline + RESPONSE_GRACE_S)
    send_result = await wait.result()
    close_idle(pool)
    if send_result is None or send_result.is_error():
        return None
    return _process_reply(client, job, send_result.ok)


def _elapsed_ms(progress: _HopProgress, reached_at: float | None) -> int | None:
    if reached_at is None:
        return None
    return round((reached_at - progress.offered_at) * MS_PER_SECOND)


def _sleep(reactor: Clock, seconds: float) -> Deferred[None]:
    sleeping: Deferred[None] = Deferred(lambda _sleeping: timer.cancel())
    timer = reactor.callLater(seconds, sleeping.callback, None)
    return sleeping


def _cancel_timer(timer: Timer) -> None:
    if timer.active():
        timer.cancel()


def _pool_for(client: HopClient, host: str) -> ConnectionPool:
    pool = client.pools.get(host)
    if pool is None:
        address = (host, client.port)
        pool = ConnectionPool(
            client.reactor,
            address,
            IDLE_TIMEOUT_S,
            client.connect,
            traffic_counter(client.metrics, 'hop'),
        )
        client.pools[host] = pool
    return pool
