"""The node beside one target: put its parts together and run them."""

import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import Final, NamedTuple, cast

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.web.http_headers import Headers

from marjoramlead.clock import Reactor
from marjoramlead.dialect import Dialect
from marjoramlead.dispatch import Dispatcher
from marjoramlead.events import emit
from marjoramlead.feed import Feed, Store, nudge, start_feed
from marjoramlead.hop_client import HopClient
from marjoramlead.http_server import Handler, StreamRequest, make_site
from marjoramlead.inbound import handle_node
from marjoramlead.ingress import Ingress, Stop, handle_request
from marjoramlead.ledger import Ledger
from marjoramlead.metrics import Metrics, metrics_text, watch_value
from marjoramlead.placement import Outlooks
from marjoramlead.problems import Answer
from marjoramlead.repeat_budget import BudgetTerms, RepeatBudget
from marjoramlead.routes import SplitState
from marjoramlead.target_gate import TargetGate, start_gate_drain
from marjoramlead.target_probe import check_target, follow_world
from marjoramlead.upstream import Address, Connect, Pool, connect_tcp
from marjoramlead.world import Decode, World, release_held

__all__ = (
    'Outside',
    'Sidecar',
    'SidecarTerms',
    'build_sidecar',
    'catch_signals',
    'drain_sidecar',
    'start_sidecar',
)

TICK_S: Final = 0.25
# Between two probes of the local target: a target may turn cold unseen.
PROBE_PERIOD_S: Final = 2.0
# A connection that a target may have forgotten is not used again after this.
TARGET_IDLE_S: Final = 4.0
# Between two looks at the settings file, which may change without a signal.
SETTINGS_PERIOD_S: Final = 1.0
# Clients are told within two questions for readiness, a second apart.
NOTICE_S: Final = 2.8
# Other nodes may use the target for so long after that; what they send ends
# before the clients of this host are gone.
GATE_OPEN_S: Final = 1.5
# What is left of the time to stop when the node goes in any case; the process
# takes a part of a second to end.
STOP_SPARE_S: Final = 0.8


class SidecarTerms(NamedTuple):
    """Settings of a node, checked.

    Attributes
    ----------
    host
        Name of this host.
    service
        Service of the local target.
    seeds
        Control addresses of other nodes, of use before any target is known.
    grace_s
        Time to stop after SIGTERM.
    """

    host: str
    data_centre: str
    service: str
    target: Address
    outbound: Address
    inbound: Address
    ready: Address
    control: Address | None
    metrics_port: int | None
    store: Address
    seeds: tuple[Address, ...]
    heartbeat_s: float
    grace_s: float
    budget: BudgetTerms


class Outside(NamedTuple):
    """What an adapter gives a node of the platform around it.

    Attributes
    ----------
    decode
        Reads the records of the store.
    store
        Makes the client of the store.
    reload
        Reads the settings again; None where they did not change.
    """

    dialect: Dialect
    decode: Decode
    store: Callable[[Metrics], Store]
    reload: Callable[[], SidecarTerms | None]
    connect: Connect = connect_tcp


@dataclass(slots=True)
class Sidecar:
    """The parts of one node.

    Attributes
    ----------
    loops
        What runs from time to time.
    """

    terms: SidecarTerms
    reactor: Reactor
    world: World
    gate: TargetGate
    dispatcher: Dispatcher
    ingress: Ingress
    feed: Feed
    metrics: Metrics
    outside: Outside
    next_probe_at: float = 0
    next_reload_at: float = 0
    loops: list[LoopingCall] = field(default_factory=list)


def build_sidecar(
    terms: SidecarTerms,
    reactor: Reactor,
    outside: Outside,
    rng: Random,
) -> Sidecar:
    """Put the parts of a node together; nothing listens yet."""
    metrics = Metrics()
    connect = outside.connect
    world = World(outside.decode)
    gate = TargetGate(
        terms.target,
        world,
        outside.dialect,
        reactor,
        Pool(reactor, terms.target, TARGET_IDLE_S, connect),
        Ledger(reactor.seconds()),
        metrics,
    )
    sidecar: Sidecar

    def on_news() -> None:
        _follow(sidecar)

    feed = Feed(
        world,
        outside.store(metrics),
        lambda: _peers(sidecar),
        on_news,
        reactor,
        rng,
        connect,
    )
    outlooks = Outlooks(rng)
    dispatcher = Dispatcher(
        world,
        gate,
        HopClient(
            outlooks,
            reactor,
            terms.inbound[1],
            lambda revision: nudge(feed, revision),
            connect,
        ),
        outlooks,
        RepeatBudget(terms.budget, lambda: len(world.targets)),
        reactor,
        metrics,
        terms.data_centre,
        lambda: sidecar.terms.service,
    )
    ingress = Ingress(dispatcher, outside.dialect, SplitState(rng))
    sidecar = Sidecar(
        terms,
        reactor,
        world,
        gate,
        dispatcher,
        ingress,
        feed,
        metrics,
        outside,
    )
    return sidecar


def start_sidecar(sidecar: Sidecar) -> None:
    """Listen, and begin to follow the store."""
    terms = sidecar.terms
    _listen(sidecar, terms.outbound, lambda req: _on_client(sidecar, req))
    _listen(sidecar, terms.inbound, lambda req: handle_node(sidecar.gate, req))
    _listen(sidecar, terms.ready, lambda req: _answer_ready(sidecar, req))
    if terms.control is not None:
        _listen(
            sidecar,
            terms.control,
            lambda req: handle_node(sidecar.gate, req),
        )
    if terms.metrics_port is not None:
        address = (terms.inbound[0], terms.metrics_port)
        _listen(sidecar, address, lambda req: _answer_metrics(sidecar, req))
    _watch_values(sidecar)
    start_feed(sidecar.feed)
    ticks = LoopingCall(_tick, sidecar)
    ticks.clock = cast(IReactorTime, sidecar.reactor)
    ticks.start(TICK_S, now=False)
    sidecar.loops.append(ticks)
    emit('start', service=terms.service, target=terms.target)


def _listen(sidecar: Sidecar, address: Address, handler: Handler) -> None:
    site = make_site(handler, sidecar.reactor)
    sidecar.reactor.listenTCP(address[1], site, interface=address[0])


def _on_client(sidecar: Sidecar, req: StreamRequest) -> None:
    handle_request(sidecar.ingress, req)


def _answer_ready(sidecar: Sidecar, req: StreamRequest) -> None:
    is_ready = sidecar.world.table is not None and (
        sidecar.ingress.stop is None
    )
    status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
    req.answer(Answer(status, Headers(), b''))


def _answer_metrics(sidecar: Sidecar, req: StreamRequest) -> None:
    fields = Headers({b'Content-Type': [b'text/plain; version=0.0.4']})
    text = metrics_text(sidecar.metrics)
    req.answer(Answer(HTTPStatus.OK, fields, text))


def _watch_values(sidecar: Sidecar) -> None:
    queue = sidecar.gate.queue
    world = sidecar.world
    now = sidecar.reactor.seconds

    def watch(name: str, text: str, read: Callable[[], float]) -> None:
        watch_value(sidecar.metrics, name, text, read)

    watch('target_running', 'At the target.', lambda: len(queue.running))
    watch('target_waiting', 'Waiting for it.', lambda: len(queue.waiting))
    watch('target_slots', 'Slots of the target.', lambda: queue.slots)
    watch(
        'target_cold_seconds',
        'For which the target stays cold.',
        lambda: max(0, queue.cold_until - now()),
    )
    watch(
        'news_age_seconds',
        'Since the store was known to hold nothing newer.',
        lambda: now() - world.confirmed_at,
    )
    watch('revision', 'Of the store, followed.', lambda: world.revision)
    watch(
        'version',
        'Of the routing in force.',
        lambda: world.table.version if world.table else 0,
    )


def _peers(sidecar: Sidecar) -> list[Address]:
    port = sidecar.terms.inbound[1]
    own = sidecar.terms.inbound[0]
    hosts = {entry.address[0] for entry in sidecar.world.targets.values()}
    known = [(host, port) for host in sorted(hosts) if host != own]
    return known or list(sidecar.terms.seeds)


def _follow(sidecar: Sidecar) -> None:
    follow_world(sidecar.gate)
    sidecar.dispatcher.outlooks.keep_only(
        [entry.target_id for entry in sidecar.world.targets.values()],
    )


def _tick(sidecar: Sidecar) -> None:
    now = sidecar.reactor.seconds()
    dropped = release_held(sidecar.world, now)
    if dropped:
        emit('lapsed', keys=dropped)
        _follow(sidecar)
    if now >= sidecar.next_probe_at:
        sidecar.next_probe_at = now + PROBE_PERIOD_S
        check_target(sidecar.gate)
    if now >= sidecar.next_reload_at:
        sidecar.next_reload_at = now + SETTINGS_PERIOD_S
        _reload(sidecar)
    if sidecar.ingress.stop is not None:
        _stop_when_idle(sidecar, sidecar.ingress.stop, now)


def _reload(sidecar: Sidecar) -> None:
    """Take over what may change while the node runs."""
    terms = sidecar.outside.reload()
    if terms is None:
        return
    emit('reload', service=terms.service, target=terms.target)
    sidecar.terms = terms
    if terms.target != sidecar.gate.address:
        sidecar.gate.address = terms.target
        sidecar.gate.pool = Pool(
            sidecar.reactor,
            terms.target,
            TARGET_IDLE_S,
            sidecar.gate.pool.connect,
        )
    sidecar.dispatcher.budget.terms = terms.budget
    _follow(sidecar)


def catch_signals(sidecar: Sidecar) -> None:
    """Stop on SIGTERM and SIGINT, read the settings again on SIGHUP."""

    def on_stop(_number: int, _frame: object) -> None:
        sidecar.reactor.callFromThread(drain_sidecar, sidecar)

    def on_reload(_number: int, _frame: object) -> None:
        sidecar.reactor.callFromThread(_reload, sidecar)

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, on_reload)


def drain_sidecar(sidecar: Sidecar) -> None:
    """Take no more work, and end once what there is has ended."""
    if sidecar.ingress.stop is not None:
        return
    now = sidecar.reactor.seconds()
    stop = Stop(now + NOTICE_S, now + sidecar.terms.grace_s - STOP_SPARE_S)
    sidecar.ingress.stop = stop
    sidecar.reactor.callLater(GATE_OPEN_S, start_gate_drain, sidecar.gate)
    emit('drain', in_flight=sidecar.ingress.in_flight)


def _stop_when_idle(sidecar: Sidecar, stop: Stop, now: float) -> None:
    is_busy = sidecar.ingress.in_flight or sidecar.gate.tasks
    may_end = now >= stop.takes_until and not is_busy
    if may_end or now >= stop.ends_at:
        emit(
            'stop',
            in_flight=sidecar.ingress.in_flight,
            at_target=len(sidecar.gate.tasks),
        )
        sidecar.reactor.stop()
