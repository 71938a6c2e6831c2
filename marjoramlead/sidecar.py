"""The node beside one target: put its parts together and run them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from twisted.internet.task import LoopingCall

from marjoramlead.address import Address
from marjoramlead.clock import Reactor
from marjoramlead.dialect import Dialect
from marjoramlead.dispatch import Dispatcher
from marjoramlead.feed import Feed, Store, nudge
from marjoramlead.hop_client import HopClient
from marjoramlead.ingress import Ingress
from marjoramlead.ledger import Ledger
from marjoramlead.metrics import Metrics
from marjoramlead.placement import Outlooks
from marjoramlead.repeat_budget import RepeatBudget
from marjoramlead.routes import SplitState
from marjoramlead.sidecar_terms import SidecarTerms
from marjoramlead.target_gate import TargetGate
from marjoramlead.target_probe import refresh_target
from marjoramlead.upstream import Connect, Pool, connect_tcp
from marjoramlead.world import Decode, World

__all__ = (
    'TARGET_IDLE_S',
    'Outside',
    'Sidecar',
    'build_sidecar',
    'follow_news',
)

# A connection that a target may have forgotten is not used again after this.
TARGET_IDLE_S: Final = 4.0


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


def _nothing_to_close() -> None:
    """Do nothing: the node has not started."""


@dataclass(slots=True)
class Sidecar:
    """The parts of one node.

    Attributes
    ----------
    close_inbound
        Closes the port for other nodes, once the node has started.
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
    close_inbound: Callable[[], None] = _nothing_to_close
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
        follow_news(sidecar)

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


def _peers(sidecar: Sidecar) -> list[Address]:
    port = sidecar.terms.inbound[1]
    own = sidecar.terms.inbound[0]
    hosts = {entry.address[0] for entry in sidecar.world.targets.values()}
    known = [(host, port) for host in sorted(hosts) if host != own]
    return known or list(sidecar.terms.seeds)


def follow_news(sidecar: Sidecar) -> None:
    """Follow what has changed in what this node believes."""
    refresh_target(sidecar.gate)
    sidecar.dispatcher.outlooks.keep_only(
        [entry.target_id for entry in sidecar.world.targets.values()],
    )
