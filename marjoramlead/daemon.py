"""Run a node: gateway, guard and config agent in one event loop."""

import signal
from dataclasses import dataclass, field
from random import Random
from typing import Final

from statsd import StatsClient
from twisted.internet.task import LoopingCall

from marjoramlead.admin import handle_admin
from marjoramlead.agent import Agent
from marjoramlead.attempts import send_call
from marjoramlead.calls import RoutingContext
from marjoramlead.clock import Reactor
from marjoramlead.control import ControlPort, limit_nng_threads
from marjoramlead.counters import Counters
from marjoramlead.driver import Driver, handle_peer_frame, start_periodic_ticks
from marjoramlead.gateway import Gateway, handle_call
from marjoramlead.generated.settings_types import SettingsDocument
from marjoramlead.guard import Guard, drain_guard
from marjoramlead.guard_requests import handle_guard_request
from marjoramlead.http_client import make_agent
from marjoramlead.http_server import Handler, StreamRequest, make_site
from marjoramlead.key_replicas import KeyLedger
from marjoramlead.listeners import Listener, close_listeners
from marjoramlead.logs import daemon_log
from marjoramlead.peers import NodeIdentity
from marjoramlead.picking import TargetStates
from marjoramlead.reports import NodeStatus
from marjoramlead.restart_monitor import (
    RestartMonitor,
    start_restart_monitor,
    suspect_restart,
)
from marjoramlead.status import node_status

__all__ = ('Node', 'build_node', 'close_when_idle', 'start_node')

MAX_IDLE_PEER_CONNECTIONS: Final = 16
MAX_IDLE_TARGET_CONNECTIONS: Final = 64
DRAIN_POLL_INTERVAL_S: Final = 0.05
# Minimum drain time, in which callers are refused and turn to other nodes.
MIN_DRAIN_S: Final = 0.5
# Longest time in which the last responses may be sent before the exit.
MAX_SEND_S: Final = 1.0
MS_PER_SECOND: Final = 1000


@dataclass(slots=True)
class Node:
    """The components of one node.

    Attributes
    ----------
    listeners
        Open ports.
    is_closing
        Whether the ports and connections are being closed before the exit.
    """

    settings: SettingsDocument
    reactor: Reactor
    agent: Agent
    gateway: Gateway
    guard: Guard
    driver: Driver
    restart_monitor: RestartMonitor
    listeners: list[Listener] = field(default_factory=list)
    is_closing: bool = False


def build_node(settings: SettingsDocument, reactor: Reactor) -> Node:
    """Create the components of a node, without listening on any port."""
    counters = Counters(_build_statsd_client(settings))
    agent = Agent(_build_identity(settings), Random(), counters)

    peer_client = make_agent(reactor, MAX_IDLE_PEER_CONNECTIONS)
    gateway = Gateway(
        RoutingContext(settings['data_centre'], TargetStates(), Random()),
        lambda: agent.store.snapshot,
        peer_client,
        reactor,
        counters,
    )

    def on_connection_close() -> None:
        suspect_restart(monitor)

    guard = Guard(
        settings['host'],
        settings['data_centre'],
        settings['target'],
        lambda: agent.store.snapshot,
        make_agent(reactor, MAX_IDLE_TARGET_CONNECTIONS, on_connection_close),
        peer_client,
        reactor,
        counters,
        KeyLedger(settings['host']),
    )
    monitor = RestartMonitor(guard)
    control_port = ControlPort(settings['key'].encode(), counters)
    driver = Driver(
        agent,
        control_port,
        peer_client,
        reactor,
        settings['source'],
    )
    return Node(settings, reactor, agent, gateway, guard, driver, monitor)


def start_node(node: Node) -> None:
    """Listen on the node's ports and start its periodic tasks."""
    limit_nng_threads()
    address = node.settings['address']
    ports = node.settings['ports']
    node.driver.port.listen(
        f'{address}:{ports["control"]}',
        lambda frame: handle_peer_frame(node.driver, frame),
    )
    handlers: dict[int, Handler] = {
        ports['guard']: lambda req: handle_guard_request(node.guard, req),
        ports['gateway']: lambda req: handle_call(
            node.gateway,
            send_call,
            req,
        ),
        ports['admin']: lambda req: _handle_admin_request(node, req),
    }
    for port, handler in handlers.items():
        site = make_site(handler, node.reactor)
        listening = node.reactor.listenTCP(port, site, interface=address)
        node.listeners.append(Listener(listening, site))
    start_periodic_ticks(node.driver)
    start_restart_monitor(node.restart_monitor)
    _install_signal_handlers(node)
    daemon_log.info('Node %s started.', node.settings['host'])


def _install_signal_handlers(node: Node) -> None:
    def on_signal(_number: int, _frame: object) -> None:
        node.reactor.callFromThread(_start_drain, node)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)


def _start_drain(node: Node) -> None:
    if node.gateway.is_draining:
        return
    daemon_log.info('Draining: waiting for requests in flight.')
    drain_guard(node.guard)
    node.gateway.is_draining = True
    now = node.reactor.seconds()
    idle_check = LoopingCall(
        close_when_idle,
        node,
        now + MIN_DRAIN_S,
        now + _drain_limit_s(node),
    )
    idle_check.start(DRAIN_POLL_INTERVAL_S)


def close_when_idle(
    node: Node,
    earliest_stop: float,
    latest_stop: float,
) -> None:
    """Close all connections, then exit, once no request is in progress.

    Parameters
    ----------
    node
        Node to stop.
    earliest_stop, latest_stop
        Times before which it keeps its ports open, and after which it no
        longer waits for requests.
    """
    now = node.reactor.seconds()
    admission = node.guard.admission
    is_busy = node.gateway.in_flight or admission.running
    is_early = now < latest_stop and (is_busy or now < earliest_stop)
    if is_early or node.is_closing:
        return
    if is_busy:
        daemon_log.warning(
            'Drain limit reached; stopping with requests in flight.',
        )
    node.is_closing = True
    deadline = now + MAX_SEND_S
    close_listeners(
        node.listeners,
        node.reactor,
        deadline,
        lambda open_count: _stop(node, open_count),
    )


def _stop(node: Node, open_count: int) -> None:
    if open_count:
        daemon_log.warning(
            'Stopping with %d open connections whose clients do not read.',
            open_count,
        )
    daemon_log.info('Node %s stopped.', node.settings['host'])
    node.driver.port.close()
    node.reactor.stop()


def _drain_limit_s(node: Node) -> float:
    return node.guard.admission.terms['drain_limit_ms'] / MS_PER_SECOND


def _handle_admin_request(node: Node, req: StreamRequest) -> None:
    def build_status() -> NodeStatus:
        return node_status(
            node.agent,
            node.gateway,
            node.guard,
            node.driver.port.bytes_sent,
            node.reactor.seconds(),
        )

    recent_refusals = node.gateway.recent_refusals.by_id
    handle_admin(req, build_status, node.agent.store, recent_refusals.get)


def _build_identity(settings: SettingsDocument) -> NodeIdentity:
    port = settings['ports']['control']
    control_address = f'{settings["address"]}:{port}'
    return NodeIdentity(
        host=settings['host'],
        data_centre=settings['data_centre'],
        control_address=control_address,
        seeds=tuple(settings['seeds']),
        expected_hosts=settings['expected_hosts'],
    )


def _build_statsd_client(settings: SettingsDocument) -> StatsClient | None:
    statsd_settings = settings.get('statsd')
    if statsd_settings is None:
        return None
    return StatsClient(
        statsd_settings['address'],
        statsd_settings['port'],
        'marjoramlead',
    )
