"""Start a sidecar, run its periodic work, and shut it down."""

import signal
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, cast

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.web.http_headers import Headers

from marjoramlead.address import Address
from marjoramlead.client_frontend import (
    ShutdownSchedule,
    apply_account_settings,
)
from marjoramlead.client_limits import (
    CLIENT_PORT_SHARE,
    CONTROL_PORT_SHARE,
    NODE_PORT_SHARE,
    PROBE_PORT_SHARE,
)
from marjoramlead.client_requests import (
    end_requests,
    handle_client_request,
)
from marjoramlead.events import emit
from marjoramlead.feed_server import start_feed_drain
from marjoramlead.http_server import (
    Handler,
    HeadLimits,
    StreamRequest,
    make_site,
)
from marjoramlead.link_schedule import set_link_rate
from marjoramlead.listeners import Listener, close_listeners, close_port
from marjoramlead.memory_budget import budget_capacity
from marjoramlead.mesh_updates import (
    expire_held_targets,
    settle_deferred_changes,
)
from marjoramlead.peer_requests import handle_peer_request
from marjoramlead.problems import BufferedResponse
from marjoramlead.quota_exchange import answer_quota_question, is_quota_question
from marjoramlead.sidecar import (
    TARGET_IDLE_TIMEOUT_S,
    Sidecar,
    apply_mesh_changes,
)
from marjoramlead.sidecar_status import (
    handle_operator_request,
    register_gauges,
    sidecar_status,
)
from marjoramlead.store_watcher import start_watching
from marjoramlead.target_gate import start_gate_drain
from marjoramlead.target_probe import probe_target
from marjoramlead.upstream import ConnectionPool

__all__ = ('drain_sidecar', 'install_signal_handlers', 'start_sidecar')

TICK_INTERVAL_S: Final = 0.25
# Size of the terms of a job, which a node adds to the head of a request.
JOB_HEAD_BYTES: Final = 4_096
# The target is probed at this interval, because it may turn cold without any
# request noticing it.
PROBE_INTERVAL_S: Final = 2.0
# The settings file is checked at this interval, because it may change without
# a SIGHUP.
SETTINGS_CHECK_INTERVAL_S: Final = 1.0
# The delays and margins of a shutdown are for a termination grace period of at
# least this length. They are shorter, in proportion, in a shorter one.
USUAL_GRACE_S: Final = 6.0
# Time from the start of a shutdown until client requests are refused. Clients
# learn of the shutdown within two readiness probes, one second apart.
CLIENT_DRAIN_DELAY_S: Final = 2.8
# Time from the start of a shutdown until the local target gets no new requests.
# It is shorter than CLIENT_DRAIN_DELAY_S, so that requests of other nodes end
# before the clients of this host are gone.
TARGET_DRAIN_DELAY_S: Final = 1.5
# Time from the start of a shutdown until the port for other nodes is closed.
# Requests that they send later fail to connect, instead of being lost in
# transit when the node exits. Connections that other nodes keep are closed with
# the queue of the local target, so that the outcome of a request that crosses
# that close can be queried at this port.
INBOUND_CLOSE_DELAY_S: Final = 2.3
# Requests are answered this long before the termination grace period is over,
# so that their answers are sent before the exit.
ANSWER_MARGIN_S: Final = 0.8
# Requests that are still in flight then, because they were received before the
# shutdown and their deadlines are later, are ended with an answer.
CANCEL_MARGIN_S: Final = 0.55
# The node exits this long before the termination grace period is over, because
# the process takes a fraction of a second to end.
EXIT_MARGIN_S: Final = 0.3


def start_sidecar(sidecar: Sidecar) -> None:
    """Open all ports, and begin to watch the store."""
    config = sidecar.config
    _listen(
        sidecar,
        config.outbound,
        lambda req: _on_client_request(sidecar, req),
        CLIENT_PORT_SHARE,
        lambda: _head_limits(sidecar),
    )
    _listen(
        sidecar,
        config.inbound,
        lambda req: _on_peer_request(sidecar, req),
        NODE_PORT_SHARE,
        lambda: _peer_head_limits(sidecar),
    )
    _listen(
        sidecar,
        config.ready,
        lambda req: _answer_readiness_probe(sidecar, req),
        PROBE_PORT_SHARE,
    )
    if config.control is not None:
        _listen(
            sidecar,
            config.control,
            lambda req: _on_peer_request(sidecar, req),
            CONTROL_PORT_SHARE,
        )
    if config.metrics_port is not None:
        _listen(
            sidecar,
            (config.inbound[0], config.metrics_port),
            lambda req: _answer_operator(sidecar, req),
            PROBE_PORT_SHARE,
        )
    register_gauges(sidecar)
    start_watching(sidecar.store_watcher)
    ticks = LoopingCall(_tick, sidecar)
    ticks.clock = cast(IReactorTime, sidecar.reactor)
    ticks.start(TICK_INTERVAL_S, now=False)
    sidecar.loops.append(ticks)
    emit('start', service=config.service, target=config.target)


def _listen(
    sidecar: Sidecar,
    address: Address,
    handler: Handler,
    socket_share: float,
    limits: Callable[[], HeadLimits] = HeadLimits,
) -> None:
    site = make_site(handler, sidecar.reactor, limits, sidecar.budget)
    site.clients.limits = sidecar.config.client_limits
    site.clients.socket_share = socket_share
    port = sidecar.reactor.listenTCP(address[1], site, interface=address[0])
    sidecar.listeners[address] = Listener(port, site)


def _drain_target(sidecar: Sidecar) -> None:
    """Accept no more requests of other nodes."""
    start_gate_drain(sidecar.gate)
    sidecar.listeners[sidecar.config.inbound].site.close_idle()


def _head_limits(sidecar: Sidecar) -> HeadLimits:
    """Return the limits on request heads in the current routing table."""
    table = sidecar.mesh_state.table
    if table is None:
        return HeadLimits()
    client_limits = table.limits
    return HeadLimits(
        client_limits.header_bytes, client_limits.header_s, client_limits.idle_s
    )


def _peer_head_limits(sidecar: Sidecar) -> HeadLimits:
    """Return the limits on heads of other nodes, which add the job's terms."""
    limits = HeadLimits()
    client_bytes = _head_limits(sidecar).header_bytes
    header_bytes = max(limits.header_bytes, client_bytes) + JOB_HEAD_BYTES
    return limits._replace(header_bytes=header_bytes)


def _on_client_request(sidecar: Sidecar, req: StreamRequest) -> None:
    handle_client_request(sidecar.frontend, req)


def _on_peer_request(sidecar: Sidecar, req: StreamRequest) -> None:
    if is_quota_question(req):
        answer_quota_question(sidecar.frontend.quota, req)
    else:
        handle_peer_request(sidecar.gate, sidecar.feed_server, req)


def _answer_readiness_probe(sidecar: Sidecar, req: StreamRequest) -> None:
    is_ready = sidecar.mesh_state.table is not None and (
        sidecar.frontend.shutdown is None
    )
    status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
    req.send_response(BufferedResponse(status, Headers(), b''))


def _answer_operator(sidecar: Sidecar, req: StreamRequest) -> None:
    recent_refusals = sidecar.frontend.recent_refusals.by_id
    handle_operator_request(
        req, sidecar.metrics, sidecar_status(sidecar), recent_refusals
    )


def _tick(sidecar: Sidecar) -> Deferred[None]:
    """Do periodic work; a failure in it ends neither the loop nor a stop."""
    now = sidecar.reactor.seconds()
    if sidecar.frontend.shutdown is not None:
        _close_when_idle(sidecar, sidecar.frontend.shutdown, now)
    working = maybeDeferred(_work_periodically, sidecar, now)
    return working.addErrback(
        lambda failure: emit('bug', error=failure.getTraceback())
    )


def _work_periodically(sidecar: Sidecar, now: float) -> None:
    expired_keys = expire_held_targets(sidecar.mesh_state, now)
    settled_keys = settle_deferred_changes(sidecar.mesh_state, now)
    if expired_keys:
        emit('lapsed', keys=expired_keys)
    if settled_keys:
        emit('settled', keys=settled_keys)
    if expired_keys or settled_keys:
        apply_mesh_changes(sidecar)
    for listener in sidecar.listeners.values():
        listener.site.release_sent()
        listener.site.end_stalled_bodies()
    if now >= sidecar.next_probe_at:
        sidecar.next_probe_at = now + PROBE_INTERVAL_S
        probe_target(sidecar.gate)
    if now >= sidecar.next_reload_at:
        sidecar.next_reload_at = now + SETTINGS_CHECK_INTERVAL_S
        _reload_settings(sidecar)


def _reload_settings(sidecar: Sidecar) -> None:
    """Apply the settings that may change while the node runs."""
    config = sidecar.adapter.reload_config()
    if config is None:
        return
    emit('reload', service=config.service, target=config.target)
    # The ports stay open where they are.
    sidecar.config = config._replace(inbound=sidecar.config.inbound)
    if config.target != sidecar.gate.address:
        sidecar.gate.address = config.target
        sidecar.gate.pool = ConnectionPool(
            sidecar.reactor,
            config.target,
            TARGET_IDLE_TIMEOUT_S,
            sidecar.gate.pool.connect,
            budget=sidecar.budget,
        )
    sidecar.budget.capacity = budget_capacity(config.memory_bytes)
    for listener in sidecar.listeners.values():
        listener.site.clients.limits = config.client_limits
    sidecar.gate.ledger.max_barred = config.client_limits.max_barred_attempts
    sidecar.dispatcher.budget.config = config.budget
    apply_account_settings(sidecar.frontend, config)
    sidecar.gate.body_grants.link_bytes_per_s = config.link_bytes_per_s
    set_link_rate(sidecar.gate.link.schedule, config.link_bytes_per_s)
    apply_mesh_changes(sidecar)


def install_signal_handlers(sidecar: Sidecar) -> None:
    """Shut down on SIGTERM and SIGINT, reload the settings on SIGHUP."""

    def on_stop(_number: int, _frame: object) -> None:
        sidecar.reactor.callFromThread(drain_sidecar, sidecar)

    def on_reload(_number: int, _frame: object) -> None:
        sidecar.reactor.callFromThread(_reload_settings, sidecar)

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, on_reload)


def drain_sidecar(sidecar: Sidecar) -> None:
    """Begin a graceful shutdown, unless one has already begun.

    The node exits once all requests have ended and their answers are sent, or
    shortly before the termination grace period is over.
    """
    if sidecar.frontend.shutdown is not None:
        return
    call_later = sidecar.reactor.callLater
    now = sidecar.reactor.seconds()
    grace_s = sidecar.config.termination_grace_s
    share = min(1, grace_s / USUAL_GRACE_S)
    shutdown = ShutdownSchedule(
        now + CLIENT_DRAIN_DELAY_S * share,
        now + grace_s - ANSWER_MARGIN_S * share,
        now + grace_s - EXIT_MARGIN_S * share,
    )
    sidecar.frontend.shutdown = shutdown
    start_feed_drain(sidecar.feed_server)
    call_later(TARGET_DRAIN_DELAY_S * share, _drain_target, sidecar)
    inbound_port = sidecar.listeners[sidecar.config.inbound].port
    call_later(
        INBOUND_CLOSE_DELAY_S * share, close_port, inbound_port, sidecar.reactor
    )
    call_later(grace_s - ANSWER_MARGIN_S * share, _close, sidecar, shutdown)
    call_later(
        grace_s - CANCEL_MARGIN_S * share, end_requests, sidecar.frontend
    )
    emit('drain', in_flight=len(sidecar.frontend.in_flight))


def _close_when_idle(
    sidecar: Sidecar, shutdown: ShutdownSchedule, now: float
) -> None:
    """Close all connections, then exit, once no request is in progress."""
    is_busy = sidecar.frontend.in_flight or sidecar.gate.tasks
    if now >= shutdown.accept_until and not is_busy:
        _close(sidecar, shutdown)


def _close(sidecar: Sidecar, shutdown: ShutdownSchedule) -> None:
    """Close each connection after its response, then exit."""
    if sidecar.is_closing:
        return
    sidecar.is_closing = True
    # Requests whose bodies have arrived since the drain began may wait again.
    start_gate_drain(sidecar.gate)
    close_listeners(
        list(sidecar.listeners.values()),
        sidecar.reactor,
        shutdown.exit_by,
        lambda open_count: _stop(sidecar, open_count),
    )


def _stop(sidecar: Sidecar, open_count: int) -> None:
    emit(
        'stop',
        in_flight=len(sidecar.frontend.in_flight),
        at_target=len(sidecar.gate.tasks),
        open_connections=open_count,
    )
    sidecar.reactor.stop()
