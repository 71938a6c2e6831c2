"""Run a node: gateway, guard and config agent on one loop."""

import signal
from dataclasses import dataclass
from random import Random
from typing import Final

from statsd import StatsClient
from twisted.internet.task import LoopingCall

from marjoramlead.admin import handle_admin
from marjoramlead.agent import Agent
from marjoramlead.attempts import start_attempts
from marjoramlead.calls import RoutingContext
from marjoramlead.clock import Reactor
from marjoramlead.control import ControlPort, limit_threads
from marjoramlead.counters import Counters
from marjoramlead.driver import Driver, handle_peer_frame, start_periodic_ticks
from marjoramlead.gateway import Gateway, handle_call
from marjoramlead.generated.settings_types import SettingsDocument
from marjoramlead.guard import Guard, drain_guard
from marjoramlead.guard_requests import handle_work
from marjoramlead.http_client import make_agent
from marjoramlead.http_server import Handler, StreamRequest, make_site
from marjoramlead.key_replicas import KeyLedger
from marjoramlead.load_watch import (
    LoadWatch,
    start_load_watch,
    suspect_restart,
)
from marjoramlead.logs import daemon_log
from marjoramlead.peers import Identity
from marjoramlead.picking import TargetStates
from marjoramlead.reports import NodeStatus
from marjoramlead.snapshot import Snapshot
from marjoramlead.status import node_status

__all__ = ('Node', 'build_node', 'start_node')

MAX_IDLE_PEER_CONNECTIONS: Final = 16
MAX_IDLE_TARGET_CONNECTIONS: Final = 64
DRAIN_POLL_INTERVAL_S: Final = 0.05
MIN_DRAIN_S: Final = 0.5
MS_PER_SECOND: Final = 1000


@dataclass(slots=True)
class Node:
    """The parts of one node."""

    settings: SettingsDocument
    reactor: Reactor
    agent: Agent
    gateway: Gateway
    guard: Guard
    driver: Driver
    load_watch: LoadWatch


def build_node(settings: SettingsDocument, reactor: Reactor) -> Node:
    """Put the parts of a node together; nothing listens yet."""
    counters = Counters(_build_statsd_client(settings))
    agent = Agent(_build_identity(settings), Random(), counters)

    def snapshot_of() -> Snapshot:
        return agent.store.snapshot

    peers = make_agent(reactor, MAX_IDLE_PEER_CONNECTIONS)
    gateway = Gateway(
        RoutingContext(settings['data_centre'], TargetStates(), Random()),
        snapshot_of,
        peers,
        reactor,
        counters,
    )

    def on_lost() -> None:
        suspect_restart(watch)

    guard = Guard(
        settings['host'],
        settings['data_centre'],
        settings['target'],
        snapshot_of,
        make_agent(reactor, MAX_IDLE_TARGET_CONNECTIONS, on_lost),
        peers,
        reactor,
        counters,
        KeyLedger(settings['host']),
    )
    watch = LoadWatch(guard)
    port = ControlPort(settings['key'].encode(), counters)
    driver = Driver(agent, port, peers, reactor, settings['source'])
    return Node(settings, reactor, agent, gateway, guard, driver, watch)


def start_node(node: Node) -> None:
    """Listen, and begin to learn what is in force."""
    limit_threads()
    address = node.settings['address']
    ports = node.settings['ports']
    node.driver.port.listen(
        f'{address}:{ports["control"]}',
        lambda frame: handle_peer_frame(node.driver, frame),
    )
    handlers: dict[int, Handler] = {
        ports['guard']: lambda req: handle_work(node.guard, req),
        ports['gateway']: lambda req: handle_call(
            node.gateway,
            start_attempts,
            req,
        ),
        ports['admin']: lambda req: _handle_admin_request(node, req),
    }
    for port, handler in handlers.items():
        site = make_site(handler, node.reactor)
        node.reactor.listenTCP(port, site, interface=address)
    start_periodic_ticks(node.driver)
    start_load_watch(node.load_watch)
    _install_signal_handlers(node)
    daemon_log.info('Node %s is up.', node.settings['host'])


def _install_signal_handlers(node: Node) -> None:
    def on_signal(_number: int, _frame: object) -> None:
        node.reactor.callFromThread(_start_drain, node)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)


def _start_drain(node: Node) -> None:
    if node.gateway.is_draining:
        return
    daemon_log.info('Draining.')
    drain_guard(node.guard)
    node.gateway.is_draining = True
    now = node.reactor.seconds()
    waiting = LoopingCall(
        _stop_when_idle,
        node,
        now + MIN_DRAIN_S,
        now + _drain_limit_s(node),
    )
    waiting.start(DRAIN_POLL_INTERVAL_S)


def _stop_when_idle(
    node: Node, earliest_stop: float, latest_stop: float
) -> None:
    now = node.reactor.seconds()
    admission = node.guard.admission
    is_busy = node.gateway.in_flight or admission.running
    if now < latest_stop and (is_busy or now < earliest_stop):
        return
    if is_busy:
        daemon_log.warning('Drain limit reached with work in flight.')
    daemon_log.info('Node %s is down.', node.settings['host'])
    node.driver.port.close()
    node.reactor.stop()


def _drain_limit_s(node: Node) -> float:
    return node.guard.admission.terms['drain_limit_ms'] / MS_PER_SECOND


def _handle_admin_request(node: Node, req: StreamRequest) -> None:
    def status() -> NodeStatus:
        return node_status(
            node.agent,
            node.gateway,
            node.guard,
            node.driver.port.bytes_sent,
            node.reactor.seconds(),
        )

    refused = node.gateway.refused.by_id
    handle_admin(req, status, node.agent.store, refused.get)


def _build_identity(settings: SettingsDocument) -> Identity:
    port = settings['ports']['control']
    control = f'{settings["address"]}:{port}'
    return Identity(
        host=settings['host'],
        data_centre=settings['data_centre'],
        control=control,
        seeds=tuple(settings['seeds']),
        expected_hosts=settings['expected_hosts'],
    )


def _build_statsd_client(settings: SettingsDocument) -> StatsClient | None:
    chosen = settings.get('statsd')
    if chosen is None:
        return None
    return StatsClient(chosen['address'], chosen['port'], 'marjoramlead')
