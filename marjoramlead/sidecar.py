"""The sidecar, a node beside one target: its parts and their assembly."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from twisted.internet.task import LoopingCall

from marjoramlead.address import Address
from marjoramlead.body_grants import BodyGrants
from marjoramlead.candidates import CandidateIndex
from marjoramlead.client_frontend import (
    ClientFrontend,
    build_quota_exchange,
    build_round_robin,
)
from marjoramlead.clock import Reactor
from marjoramlead.dispatch import Dispatcher
from marjoramlead.feed_client import FeedClient
from marjoramlead.feed_server import FeedServer, answer_pending_reads
from marjoramlead.feed_tree import FeedAddresses, choose_addresses
from marjoramlead.header_names import HeaderNames
from marjoramlead.hop_client import HopClient, discard_hosts_except
from marjoramlead.listeners import Listener
from marjoramlead.memory_budget import MemoryBudget, budget_capacity
from marjoramlead.mesh_retry_budget import MeshRetryBudget
from marjoramlead.mesh_state import MeshState, RecordDecoder
from marjoramlead.metrics import Metrics
from marjoramlead.placement import BalancerState
from marjoramlead.quota_exchange import update_hosts
from marjoramlead.sidecar_config import SidecarConfig
from marjoramlead.store_watcher import (
    Store,
    StoreWatcher,
    note_reported_revision,
)
from marjoramlead.target_gate import TargetGate
from marjoramlead.target_probe import apply_target_entry
from marjoramlead.upstream import Connect, ConnectionPool, connect_tcp

__all__ = (
    'TARGET_IDLE_TIMEOUT_S',
    'PlatformAdapter',
    'Sidecar',
    'apply_mesh_changes',
    'build_sidecar',
)

# Idle connections to the target are not reused after this time, because the
# target may have closed them.
TARGET_IDLE_TIMEOUT_S: Final = 4.0
# Heartbeats of a target that are missed until the store removes its entry.
LEASE_HEARTBEATS: Final = 3


class PlatformAdapter(NamedTuple):
    """What a node needs from the platform that it runs on.

    Attributes
    ----------
    decode_record
        Decodes one record of the store.
    make_store
        Creates the client of the store, with the memory for its answers.
    reload_config
        Reads the settings again; returns None if they have not changed or
        are invalid.
    parent_request_id
        Returns the id of the running request that a target's call belongs to,
        by the id of the call; empty if the id names none.
    connect
        Opens a connection to an address.
    """

    header_names: HeaderNames
    decode_record: RecordDecoder
    make_store: Callable[[Metrics, MemoryBudget], Store]
    reload_config: Callable[[], SidecarConfig | None]
    parent_request_id: Callable[[str], str]
    connect: Connect = connect_tcp


@dataclass(slots=True)
class Sidecar:
    """The parts of one node.

    Attributes
    ----------
    listeners
        Open ports by address.
    is_closing
        Whether the ports and connections are being closed before the exit.
    loops
        Calls that run periodically.
    feed_sources
        Nodes whose records this node may read, as of the last change of
        targets.
    """

    config: SidecarConfig
    reactor: Reactor
    budget: MemoryBudget
    mesh_state: MeshState
    gate: TargetGate
    dispatcher: Dispatcher
    frontend: ClientFrontend
    store_watcher: StoreWatcher
    feed_server: FeedServer
    metrics: Metrics
    adapter: PlatformAdapter
    next_probe_at: float = 0
    next_reload_at: float = 0
    listeners: dict[Address, Listener] = field(default_factory=dict)
    is_closing: bool = False
    loops: list[LoopingCall] = field(default_factory=list)
    feed_sources: FeedAddresses = field(
        default_factory=lambda: FeedAddresses(None, [])
    )


def build_sidecar(
    config: SidecarConfig,
    reactor: Reactor,
    adapter: PlatformAdapter,
    rng: Random,
) -> Sidecar:
    """Assemble the parts of a node, without opening any port."""
    metrics = Metrics()
    mesh_state = MeshState(adapter.decode_record)
    budget = MemoryBudget(budget_capacity(config.memory_bytes))
    mesh_state.restoration.lease_s = LEASE_HEARTBEATS * config.heartbeat_s
    gate = TargetGate(
        config.target,
        mesh_state,
        adapter.header_names,
        reactor,
        ConnectionPool(
            reactor,
            config.target,
            TARGET_IDLE_TIMEOUT_S,
            adapter.connect,
            budget=budget,
        ),
        metrics,
        BodyGrants(config.link_bytes_per_s),
        budget,
    )
    sidecar: Sidecar
    gate.ledger.max_barred = config.client_limits.max_barred_attempts
    store_watcher = StoreWatcher(
        mesh_state,
        adapter.make_store(metrics, budget),
        FeedClient(reactor, metrics, adapter.connect, budget),
        lambda: sidecar.feed_sources,
        lambda: _peer_addresses(sidecar),
        lambda: apply_mesh_changes(sidecar),
        lambda: answer_pending_reads(sidecar.feed_server),
        reactor,
        rng,
    )
    balancer = BalancerState(rng)
    dispatcher = Dispatcher(
        mesh_state,
        gate,
        HopClient(
            balancer,
            reactor,
            config.inbound[1],
            lambda revision: note_reported_revision(store_watcher, revision),
            metrics,
            lambda: sidecar.config.link_bytes_per_s,
            budget,
            adapter.connect,
            gate.record_sent,
        ),
        balancer,
        MeshRetryBudget(config.budget, lambda: len(mesh_state.targets)),
        reactor,
        metrics,
        CandidateIndex(config.inbound[0], config.data_centre),
        lambda: sidecar.config.service,
    )
    frontend = ClientFrontend(
        dispatcher,
        adapter.header_names,
        build_round_robin(rng),
        adapter.parent_request_id,
        budget,
        build_quota_exchange(dispatcher, adapter.connect, config),
        revocation=config.revocation,
    )
    sidecar = Sidecar(
        config,
        reactor,
        budget,
        mesh_state,
        gate,
        dispatcher,
        frontend,
        store_watcher,
        FeedServer(mesh_state, reactor, budget),
        metrics,
        adapter,
    )
    sidecar.feed_sources = _feed_sources(sidecar)
    return sidecar


def _peer_addresses(sidecar: Sidecar) -> list[Address]:
    port = sidecar.config.inbound[1]
    own_host = sidecar.config.inbound[0]
    hosts = {entry.address[0] for entry in sidecar.mesh_state.targets.values()}
    addresses = [(host, port) for host in sorted(hosts) if host != own_host]
    return addresses or list(sidecar.config.seeds)


def _feed_sources(sidecar: Sidecar) -> FeedAddresses:
    config = sidecar.config
    return choose_addresses(
        config.inbound,
        config.data_centre,
        sidecar.mesh_state.targets.values(),
        config.seeds,
    )


def _forget_hosts(sidecar: Sidecar) -> None:
    """Drop what is kept of hosts that have no target any more."""
    hosts = {entry.address[0] for entry in sidecar.mesh_state.targets.values()}
    discard_hosts_except(sidecar.dispatcher.hop_client, hosts)


def apply_mesh_changes(sidecar: Sidecar) -> None:
    """Bring what depends on the mesh state in line with it."""
    apply_target_entry(sidecar.gate)
    sidecar.feed_sources = _feed_sources(sidecar)
    sidecar.dispatcher.balancer.discard_except(
        [entry.target_id for entry in sidecar.mesh_state.targets.values()],
    )
    update_hosts(sidecar.frontend.quota)
    _forget_hosts(sidecar)
