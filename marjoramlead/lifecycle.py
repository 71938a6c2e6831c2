"""Start a node beside a target, keep it going, and stop it."""

import signal
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, cast

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.web.http_headers import Headers

from marjoramlead.address import Address
from marjoramlead.events import emit
from marjoramlead.feed import start_feed
from marjoramlead.generated.sidecar_status_types import SidecarStatus
from marjoramlead.http_server import (
    Handler,
    HeadLimits,
    StreamRequest,
    make_site,
)
from marjoramlead.inbound import handle_node
from marjoramlead.ingress import Stop, handle_request
from marjoramlead.metrics import watch_value
from marjoramlead.problems import Answer
from marjoramlead.sidecar import TARGET_IDLE_S, Sidecar, follow_news
from marjoramlead.sidecar_status import (
    answer_operator,
    queue_view,
    target_views,
)
from marjoramlead.target_gate import start_gate_drain
from marjoramlead.target_probe import probe_target
from marjoramlead.upstream import Pool
from marjoramlead.world import release_held

__all__ = ('catch_signals', 'drain_sidecar', 'start_sidecar')

TICK_S: Final = 0.25
# Age that is told of news that never came.
NEVER_S: Final = 1e6
# Between two probes of the local target: a target may turn cold unseen.
PROBE_PERIOD_S: Final = 2.0
# Between two looks at the settings file, which may change without a signal.
SETTINGS_PERIOD_S: Final = 1.0
# Clients are told within two questions for readiness, a second apart.
NOTICE_S: Final = 2.8
# Other nodes may use the target for so long after that; what they send ends
# before the clients of this host are gone.
GATE_OPEN_S: Final = 1.5
# Later, other nodes cannot connect any more and their idle connections are
# closed: what they would send then is refused before it is on its way.
INBOUND_OPEN_S: Final = 2.3
# What is left of the time to stop when the node goes in any case; the process
# takes a part of a second to end.
STOP_SPARE_S: Final = 0.8


def start_sidecar(sidecar: Sidecar) -> None:
    """Listen, and begin to follow the store."""
    terms = sidecar.terms
    _listen(
        sidecar,
        terms.outbound,
        lambda req: _on_client(sidecar, req),
        lambda: _head_limits(sidecar),
    )
    _listen_inbound(sidecar)
    _listen(sidecar, terms.ready, lambda req: _answer_ready(sidecar, req))
    if terms.control is not None:
        _listen(
            sidecar,
            terms.control,
            lambda req: handle_node(sidecar.gate, req),
        )
    if terms.metrics_port is not None:
        address = (terms.inbound[0], terms.metrics_port)
        _listen(sidecar, address, lambda req: _answer_operator(sidecar, req))
    _watch_values(sidecar)
    start_feed(sidecar.feed)
    ticks = LoopingCall(_tick, sidecar)
    ticks.clock = cast(IReactorTime, sidecar.reactor)
    ticks.start(TICK_S, now=False)
    sidecar.loops.append(ticks)
    emit('start', service=terms.service, target=terms.target)


def _listen(
    sidecar: Sidecar,
    address: Address,
    handler: Handler,
    limits: Callable[[], HeadLimits] = HeadLimits,
) -> None:
    site = make_site(handler, sidecar.reactor, limits)
    sidecar.reactor.listenTCP(address[1], site, interface=address[0])


def _listen_inbound(sidecar: Sidecar) -> None:
    host, number = sidecar.terms.inbound
    site = make_site(
        lambda req: handle_node(sidecar.gate, req),
        sidecar.reactor,
    )
    port = sidecar.reactor.listenTCP(number, site, interface=host)

    def close() -> None:
        """Refuse new connections, so that none breaks when the node ends."""
        port.stopListening()
        site.close_idle()

    sidecar.close_inbound = close


def _head_limits(sidecar: Sidecar) -> HeadLimits:
    """Look up what the routing in force allows clients."""
    table = sidecar.world.table
    if table is None:
        return HeadLimits()
    allowed = table.limits
    return HeadLimits(allowed.header_bytes, allowed.header_s, allowed.idle_s)


def _on_client(sidecar: Sidecar, req: StreamRequest) -> None:
    handle_request(sidecar.ingress, req)


def _answer_ready(sidecar: Sidecar, req: StreamRequest) -> None:
    is_ready = sidecar.world.table is not None and (
        sidecar.ingress.stop is None
    )
    status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
    req.answer(Answer(status, Headers(), b''))


def _answer_operator(sidecar: Sidecar, req: StreamRequest) -> None:
    refused = sidecar.ingress.refused.by_id
    answer_operator(req, sidecar.metrics, _status(sidecar), refused)


def _status(sidecar: Sidecar) -> SidecarStatus:
    now = sidecar.reactor.seconds()
    world = sidecar.world
    return {
        'host': sidecar.terms.host,
        'data_centre': sidecar.terms.data_centre,
        'service': sidecar.terms.service,
        'version': world.table.version if world.table else 0,
        'revision': world.revision,
        'news_age_s': min(now - world.confirmed_at, NEVER_S),
        'store_failures': sidecar.feed.failures,
        'stopping': sidecar.ingress.stop is not None,
        'out': sorted(world.out),
        'targets': target_views(world, sidecar.dispatcher.outlooks, now),
        'queue': queue_view(sidecar.gate.queue, now),
    }


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


def _tick(sidecar: Sidecar) -> None:
    now = sidecar.reactor.seconds()
    dropped = release_held(sidecar.world, now)
    if dropped:
        emit('lapsed', keys=dropped)
        follow_news(sidecar)
    if now >= sidecar.next_probe_at:
        sidecar.next_probe_at = now + PROBE_PERIOD_S
        probe_target(sidecar.gate)
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
    follow_news(sidecar)


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
    sidecar.reactor.callLater(INBOUND_OPEN_S, sidecar.close_inbound)
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
