"""Run a node: gateway, guard and config agent on one loop."""

import signal
from dataclasses import dataclass
from random import Random
from typing import Final

from statsd import StatsClient
from twisted.internet.task import LoopingCall

from marjoramlead.admin import handle_admin
from marjoramlead.agent import Agent
from marjoramlead.attempts import send_call
from marjoramlead.calls import RoutingContext
from marjoramlead.clock import Reactor
from marjoramlead.control import ControlPort, limit_threads
from marjoramlead.counters import Counters
from marjoramlead.driver import Driver, answer_frame, start_ticks
from marjoramlead.gateway import Gateway, handle_call
from marjoramlead.generated.settings_types import SettingsDocument
from marjoramlead.guard import Guard, drain_guard
from marjoramlead.guard_requests import handle_guard_request
from marjoramlead.http_client import make_agent
from marjoramlead.http_server import Handler, StreamRequest, make_site
from marjoramlead.key_replicas import KeyLedger
from marjoramlead.logs import daemon_log
from marjoramlead.peers import Identity
from marjoramlead.picking import TargetStates
from marjoramlead.reports import NodeStatus
from marjoramlead.restart_monitor import (
    RestartMonitor,
    start_restart_monitor,
    suspect_restart,
)
from marjoramlead.snapshot import Snapshot
from marjoramlead.status import node_status

__all__ = ('Node', 'build_node', 'start_node')

PEER_CONNECTIONS: Final = 16
TARGET_CONNECTIONS: Final = 64
DRAIN_POLL_S: Final = 0.05
DRAIN_NOTICE_S: Final = 0.5
SECOND_MS: Final = 1000


@dataclass(slots=True)
class Node:
    """The parts of one node."""

    settings: SettingsDocument
    reactor: Reactor
    agent: Agent
    gateway: Gateway
    guard: Guard
    driver: Driver
    restart_monitor: RestartMonitor


def build_node(settings: SettingsDocument, reactor: Reactor) -> Node:
    """Put the parts of a node together; nothing listens yet."""
    counters = Counters(_statsd_of(settings))
    agent = Agent(_identity_of(settings), Random(), counters)

    def current_snapshot() -> Snapshot:
        return agent.store.snapshot

    peers = make_agent(reactor, PEER_CONNECTIONS)
    gateway = Gateway(
        RoutingContext(settings['data_centre'], TargetStates(), Random()),
        current_snapshot,
        peers,
        reactor,
        counters,
    )

    def on_peer_close() -> None:
        suspect_restart(monitor)

    guard = Guard(
        settings['host'],
        settings['data_centre'],
        settings['target'],
        current_snapshot,
        make_agent(reactor, TARGET_CONNECTIONS, on_peer_close),
        peers,
        reactor,
        counters,
        KeyLedger(settings['host']),
    )
    monitor = RestartMonitor(guard)
    port = ControlPort(settings['key'].encode(), counters)
    driver = Driver(agent, port, peers, reactor, settings['source'])
    return Node(settings, reactor, agent, gateway, guard, driver, monitor)


def start_node(node: Node) -> None:
    """Listen, and begin to learn what is in force."""
    limit_threads()
    address = node.settings['address']
    ports = node.settings['ports']
    node.driver.port.listen(
        f'{address}:{ports["control"]}',
        lambda frame: answer_frame(node.driver, frame),
    )
    handlers: dict[int, Handler] = {
        ports['guard']: lambda req: handle_guard_request(node.guard, req),
        ports['gateway']: lambda req: handle_call(
            node.gateway,
            send_call,
            req,
        ),
        ports['admin']: lambda req: _answer_admin(node, req),
    }
    for port, handler in handlers.items():
        site = make_site(handler, node.reactor)
        node.reactor.listenTCP(port, site, interface=address)
    start_ticks(node.driver)
    start_restart_monitor(node.restart_monitor)
    _catch_signals(node)
    daemon_log.info('Node %s is up.', node.settings['host'])


def _catch_signals(node: Node) -> None:
    def on_signal(_number: int, _frame: object) -> None:
        node.reactor.callFromThread(_drain, node)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)


def _drain(node: Node) -> None:
    if node.gateway.is_draining:
        return
    daemon_log.info('Draining.')
    drain_guard(node.guard)
    node.gateway.is_draining = True
    now = node.reactor.seconds()
    waiting = LoopingCall(
        _stop_when_idle,
        node,
        now + DRAIN_NOTICE_S,
        now + _drain_limit(node),
    )
    waiting.start(DRAIN_POLL_S)


def _stop_when_idle(node: Node, earliest: float, latest: float) -> None:
    now = node.reactor.seconds()
    admission = node.guard.admission
    is_busy = node.gateway.in_flight or admission.running
    if now < latest and (is_busy or now < earliest):
        return
    if is_busy:
        daemon_log.warning('Drain limit reached with work in flight.')
    daemon_log.info('Node %s is down.', node.settings['host'])
    node.driver.port.close()
    node.reactor.stop()


def _drain_limit(node: Node) -> float:
    return node.guard.admission.terms['drain_limit_ms'] / SECOND_MS


def _answer_admin(node: Node, req: StreamRequest) -> None:
    def status() -> NodeStatus:
        return node_status(
            node.agent,
            node.gateway,
            node.guard,
            node.driver.port.bytes_sent,
            node.reactor.seconds(),
        )

    recent_refusals = node.gateway.recent_refusals.by_id
    handle_admin(req, status, node.agent.store, recent_refusals.get)


def _identity_of(settings: SettingsDocument) -> Identity:
    port = settings['ports']['control']
    control = f'{settings["address"]}:{port}'
    return Identity(
        host=settings['host'],
        data_centre=settings['data_centre'],
        control=control,
        seeds=tuple(settings['seeds']),
        expected_hosts=settings['expected_hosts'],
    )


def _statsd_of(settings: SettingsDocument) -> StatsClient | None:
    chosen = settings.get('statsd')
    if chosen is None:
        return None
    return StatsClient(chosen['address'], chosen['port'], 'marjoramlead')
