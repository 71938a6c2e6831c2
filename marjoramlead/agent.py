"""Decide when to read the source and which peers to exchange frames with.

The agent does no I/O. Each function takes an event and the current time,
updates the agent's state and returns the effects to carry out.

At regular intervals the node pulls: it sends a summary of its state to a peer,
whose reply lists the heads (name, revision and digest) of newer versions.
After a change it pushes: it sends the heads of the new versions to several
peers. The node that receives heads requests the documents that it lacks.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from marjoramlead.counters import Counters
from marjoramlead.frames import (
    frame_heads,
    frame_refusals,
    summary_frame,
)
from marjoramlead.generated.frame_types import Frame
from marjoramlead.peers import (
    NodeIdentity,
    PeerView,
    build_peer_view,
    choose_pull_peer,
    choose_push_peers,
)
from marjoramlead.readers import (
    allowed_readers,
    bootstrap_read_probability,
    read_period,
)
from marjoramlead.versions import (
    OfferOutcome,
    RefusedVersion,
    Version,
    VersionStore,
    offer_version,
    withdraw_unlisted,
)

__all__ = (
    'TICK_S',
    'Agent',
    'Effect',
    'Listing',
    'ReadSource',
    'SendFrame',
    'announce_changes',
    'count_outcomes',
    'new_frame',
    'on_listing',
    'on_read_failed',
    'on_tick',
    'source_age',
)

TICK_S: Final = 0.25
PULL_PERIOD_S: Final = 1.0
JITTER_FRACTION: Final = 0.2
MAX_SOURCE_AGE_S: Final = 1e6  # also reported while no read is known


class Listing(NamedTuple):
    """Documents returned by a read of the source.

    Attributes
    ----------
    revision
        Revision of the source at the time of the listing.
    changed
        Documents newer than the requested revision.
    names
        Names of all documents in the source.
    """

    revision: int
    changed: Sequence[Version]
    names: frozenset[str]


class SendFrame(NamedTuple):
    """Effect: send a frame to a peer and pass the reply to ``on_reply``."""

    address: str
    frame: Frame


class ReadSource(NamedTuple):
    """Effect: read the documents newer than a revision from the source."""

    after: int


Effect = SendFrame | ReadSource


@dataclass(slots=True)
class Agent:
    """State of the config agent of one node.

    All times are seconds on the node's monotonic clock.

    Attributes
    ----------
    view
        Peers, computed from the host list in force.
    view_hosts
        Host list that ``view`` was computed from.
    learned_peers
        Time of the last frame from each peer, by its control address.
    source_seen_at
        Latest time at which any node is known to have read the source.
    source_revision
        Highest revision among the listings that this node has read.
    bootstrap_ticks
        Ticks without a host list since the start or the last failed read.
    in_force_since
        Time at which each document's current version was put in force on
        this node, by document name.
    requested_until
        End of the deduplication window of each requested document version,
        by name and revision. Until then it isn't requested from another peer.
    """

    identity: NodeIdentity
    rng: Random
    counters: Counters
    store: VersionStore = field(default_factory=VersionStore)
    view: PeerView = field(default_factory=PeerView)
    view_hosts: object = None
    learned_peers: dict[str, float] = field(default_factory=dict)
    source_seen_at: float = -MAX_SOURCE_AGE_S
    source_revision: int = 0
    is_reading: bool = False
    next_read_at: float = 0
    next_pull_at: float = 0
    bootstrap_ticks: int = 0
    in_force_since: dict[str, float] = field(default_factory=dict)
    requested_until: dict[tuple[str, int], float] = field(default_factory=dict)


def source_age(agent: Agent, now: float) -> float:
    """Return the seconds since any node is known to have read the source."""
    return min(now - agent.source_seen_at, MAX_SOURCE_AGE_S)


def on_tick(agent: Agent, now: float) -> list[Effect]:
    """Start a pull and a read if they are due.

    The caller runs this every ``TICK_S`` seconds.
    """
    effects: list[Effect] = []
    if now >= agent.next_pull_at:
        effects.extend(_pull(agent, now))
    if not agent.is_reading and _may_read(agent, now):
        agent.is_reading = True
        agent.counters.add('source.reads')
        effects.append(ReadSource(agent.source_revision))
    return effects


def on_listing(agent: Agent, listing: Listing, now: float) -> list[Effect]:
    """Merge a listing of the source and announce the changes to peers."""
    agent.is_reading = False
    agent.next_read_at = now
    agent.source_seen_at = now
    if listing.revision < agent.source_revision:
        agent.counters.add('source.stale')
        agent.next_read_at = now + PULL_PERIOD_S
    agent.source_revision = max(agent.source_revision, listing.revision)
    outcomes = [
        offer_version(agent.store, version) for version in listing.changed
    ]
    count_outcomes(agent, outcomes)
    withdrawn = withdraw_unlisted(
        agent.store,
        listing.names,
        listing.revision,
    )
    applied = [
        version
        for version, outcome in zip(listing.changed, outcomes, strict=True)
        if outcome is OfferOutcome.APPLIED
    ]
    refusals = [
        agent.store.refused[version.name]
        for version, outcome in zip(listing.changed, outcomes, strict=True)
        if outcome is OfferOutcome.REFUSED
        and version.name in agent.store.refused
    ]
    return announce_changes(agent, applied + withdrawn, refusals, now)


def on_read_failed(agent: Agent, now: float) -> None:
    """Schedule the next read of the source after a failed one.

    The delay grows with the number of nodes of the data centre that may read.
    Without a host list there is no delay: reads are then limited by
    ``bootstrap_read_probability`` alone.
    """
    agent.is_reading = False
    agent.bootstrap_ticks = 0
    agent.counters.add('source.failed')
    jitter = agent.rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
    if agent.view.is_empty():
        agent.next_read_at = now
        return
    readers = allowed_readers(source_age(agent, now))
    period = read_period(min(readers, len(agent.view.local) + 1))
    agent.next_read_at = now + period * jitter


def _pull(agent: Agent, now: float) -> list[Effect]:
    is_bootstrapping = agent.view.is_empty()
    period = TICK_S if is_bootstrapping else PULL_PERIOD_S
    jitter = agent.rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
    agent.next_pull_at = now + period * jitter
    fallback_peers = sorted({*agent.identity.seeds, *agent.learned_peers})
    address = choose_pull_peer(agent.view, fallback_peers, agent.rng)
    if address is None or address == agent.identity.control_address:
        return []
    agent.counters.add('peer.pulls')
    return [SendFrame(address, new_frame(agent, now))]


def _may_read(agent: Agent, now: float) -> bool:
    if now < agent.next_read_at:
        return False
    if agent.view.is_empty():
        agent.bootstrap_ticks += 1
        probability = bootstrap_read_probability(
            agent.identity.expected_hosts,
            TICK_S,
            agent.bootstrap_ticks,
        )
        return agent.rng.random() < probability
    return agent.view.rank < allowed_readers(source_age(agent, now))


def new_frame(agent: Agent, now: float) -> Frame:
    """Build a frame that summarises this node's state, without documents."""
    return summary_frame(agent.identity, agent.store, source_age(agent, now))


def announce_changes(
    agent: Agent,
    applied: Sequence[Version],
    refusals: Sequence[RefusedVersion],
    now: float,
) -> list[Effect]:
    """Record new versions and refusals, and announce them to peers.

    Parameters
    ----------
    agent
        The node's agent.
    applied
        Versions that have just been put in force on this node.
    refusals
        Refused versions that are new to this node.
    now
        Seconds on the node's monotonic clock.

    Returns
    -------
    The frames to send.
    """
    if not applied and not refusals:
        return []
    agent.in_force_since.update((version.name, now) for version in applied)
    if agent.view_hosts is not agent.store.snapshot.targets_by_data_centre:
        agent.view_hosts = agent.store.snapshot.targets_by_data_centre
        agent.view = build_peer_view(agent.identity, agent.store.snapshot)
    frame = new_frame(agent, now)
    frame['heads'] = frame_heads(applied)
    frame['refusals'] = frame_refusals(refusals)
    fallback_peers = sorted({*agent.identity.seeds, *agent.learned_peers})
    fallback_peers = [
        each
        for each in fallback_peers
        if each != agent.identity.control_address
    ]
    return [
        SendFrame(address, frame)
        for address in choose_push_peers(agent.view, fallback_peers, agent.rng)
    ]


def count_outcomes(agent: Agent, outcomes: Sequence[OfferOutcome]) -> None:
    """Count the outcomes of offered versions."""
    for outcome in outcomes:
        agent.counters.add(f'version.{outcome}')
