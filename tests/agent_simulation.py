"""Simulation of several config agents, the source and the network.

The agents are the production code. A step is a list that can be written as
JSON, so that a run can be recorded and replayed.
"""

from collections.abc import Callable
from random import Random

from marjoramlead.agent import (
    TICK_S,
    Agent,
    Listing,
    ReadSource,
    SendFrame,
    on_listing,
    on_read_failed,
    on_tick,
)
from marjoramlead.counters import Counters
from marjoramlead.exchanges import on_reply, on_request
from marjoramlead.generated.frame_types import Frame
from marjoramlead.peers import NodeIdentity
from marjoramlead.versions import make_version
from tests.samples import contract_text, host, hosts_text

DATA_CENTRES = ('walsall', 'lichfield')
NODES = 6
CONVERGENCE_S = 6.0
NAMES = ('contracts/tamworth', 'contracts/foundry', 'hosts/walsall')


class AgentSimulation:
    """Agents by node number, the source, and the messages in flight."""

    def __init__(self) -> None:
        self.now = 100.0
        self.restarts = 0
        self.agents = [self.new_agent(node) for node in range(NODES)]
        self.in_flight: list[tuple[Callable[[], None], tuple[int, int]]] = []
        self.cut_links: set[tuple[int, int]] = set()
        self.source_mode = 'well'
        self.revision = 0
        self.documents: dict[str, tuple[int, str]] = {}
        self.stale_listing: tuple[int, dict[str, tuple[int, str]]] = (0, {})
        self.published: dict[tuple[str, int], str] = {}
        self.is_latest_valid: dict[str, bool] = {}
        self.max_revisions: list[dict[str, int]] = [
            {} for _node in range(NODES)
        ]

    def new_agent(self, node: int) -> Agent:
        """Create the agent of a node, without any documents."""
        identity = NodeIdentity(
            host=f'h-{node}',
            data_centre=DATA_CENTRES[node % 2],
            control_address=f'127.0.0.1:{node + 1}',
            seeds=('127.0.0.1:1', '127.0.0.1:2'),
            expected_hosts=NODES,
        )
        seed = node + NODES * self.restarts
        return Agent(identity, Random(seed), Counters())

    def apply(self, step: list) -> None:
        """Run one step, then check the invariants."""
        getattr(self, f'do_{step[0]}')(*step[1:])
        self.check_invariants()

    def do_publish(self, name: str, is_valid: bool) -> None:
        """Publish the next version of a document."""
        self.revision += 1
        self.documents[name] = (
            self.revision,
            self.document_text(name, is_valid),
        )
        self.published[name, self.revision] = self.documents[name][1]
        self.is_latest_valid[name] = is_valid

    def do_withdraw(self, name: str) -> None:
        """Delete a document at the source."""
        self.revision += 1
        self.documents.pop(name, None)
        self.is_latest_valid[name] = True

    def do_tick(self, node: int, seconds: float) -> None:
        """Advance the clock and run the tick of one node."""
        self.now += seconds
        self.perform(node, on_tick(self.agents[node], self.now))

    def do_deliver(self, index: int) -> None:
        """Deliver the message at an index; index 0 is the oldest message."""
        if self.in_flight:
            deliver, link = self.in_flight.pop(index % len(self.in_flight))
            if link not in self.cut_links:
                deliver()

    def do_double(self, index: int) -> None:
        """Deliver a message, and queue a copy of it."""
        if self.in_flight:
            self.in_flight.append(self.in_flight[index % len(self.in_flight)])
            self.do_deliver(index % (len(self.in_flight) - 1))

    def do_drop(self, index: int) -> None:
        """Drop a message."""
        if self.in_flight:
            self.in_flight.pop(index % len(self.in_flight))

    def do_restart(self, node: int) -> None:
        """Restart a node, which loses its documents and the messages to it."""
        self.restarts += 1
        self.agents[node] = self.new_agent(node)
        self.max_revisions[node] = {}
        self.in_flight = [each for each in self.in_flight if each[1][1] != node]

    def do_cut(self, one: int, other: int) -> None:
        """Cut the link between two nodes, in both directions."""
        self.cut_links |= {(one, other), (other, one)}

    def do_source(self, source_mode: str) -> None:
        """Set the mode of the source: well, down or stale.

        A stale source keeps serving the listing of the moment of the change.
        """
        self.source_mode = source_mode
        if source_mode == 'stale':
            self.stale_listing = (self.revision, dict(self.documents))

    def converge(self, source_mode: str = 'well') -> None:
        """Restore the network and run the nodes until they must agree.

        Messages in flight are lost. ``CONVERGENCE_S`` is the time in which
        all nodes are required to converge.
        """
        self.cut_links.clear()
        self.source_mode = source_mode
        self.in_flight.clear()
        for agent in self.agents:
            if agent.is_reading:
                on_read_failed(agent, self.now)
        for _ in range(int(CONVERGENCE_S / TICK_S)):
            self.now += TICK_S
            for node, agent in enumerate(self.agents):
                self.perform(node, on_tick(agent, self.now))
            while self.in_flight:
                self.do_deliver(0)
            self.check_invariants()

    def check_converged(self) -> None:
        """Check that all nodes agree with each other and with the source.

        For a document whose latest version is invalid, check that this
        version is recorded as refused.
        """
        held = [
            {each.name: each for each in agent.store.in_force.values()}
            for agent in self.agents
        ]
        assert all(each == held[0] for each in held)
        roots = {agent.store.root for agent in self.agents}
        assert len(roots) == 1
        for name, is_valid in self.is_latest_valid.items():
            if is_valid:
                revision, text = self.documents.get(name, (0, ''))
                version = held[0].get(name)
                assert (version.text if version else '') == text
                assert not version or not text or version.revision == revision
            else:
                refused = self.agents[0].store.refused[name]
                assert refused.revision == self.documents[name][0]

    def check_invariants(self) -> None:
        """Check what must hold after every step.

        The revision in force of a document never decreases, its text is the
        published one, and the routes of a contract name known services only.
        """
        for node, agent in enumerate(self.agents):
            store = agent.store
            for name, version in store.in_force.items():
                assert version.revision >= self.max_revisions[node].get(name, 0)
                self.max_revisions[node][name] = version.revision
                if version.text:
                    published = self.published[name, version.revision]
                    assert published == version.text
            for terms in store.snapshot.contracts.values():
                used = {route.service for route in terms.routes}
                assert used <= set(terms.services)

    def perform(self, node: int, effects: list) -> None:
        """Queue the messages for the effects of an agent."""
        for effect in effects:
            if isinstance(effect, ReadSource):
                self.send(node, node, self.source_read(node, effect))
            elif isinstance(effect, SendFrame):
                other = int(effect.address.split(':')[1]) - 1
                self.send(
                    node,
                    other,
                    self.request_delivery(node, other, effect),
                )

    def send(self, origin: int, to: int, deliver: Callable[[], None]) -> None:
        """Queue a message between two nodes."""
        self.in_flight.append((deliver, (origin, to)))

    def request_delivery(
        self,
        node: int,
        other: int,
        effect: SendFrame,
    ) -> Callable:
        """Return a function that delivers a frame and queues the reply."""

        def deliver() -> None:
            if other >= NODES:
                return
            reply, effects = on_request(
                self.agents[other],
                effect.frame,
                self.now,
            )
            self.perform(other, effects)
            self.send(other, node, self.reply_delivery(node, effect, reply))

        return deliver

    def reply_delivery(
        self,
        node: int,
        effect: SendFrame,
        reply: Frame,
    ) -> Callable:
        """Return a function that delivers a reply."""

        def deliver() -> None:
            effects = on_reply(self.agents[node], effect, reply, self.now)
            self.perform(node, effects)

        return deliver

    def source_read(self, node: int, effect: ReadSource) -> Callable:
        """Return a function that reads the source and queues the response."""

        def deliver() -> None:
            source_listing = self.source_listing(effect.after)
            self.send(node, node, self.listing_delivery(node, source_listing))

        return deliver

    def listing_delivery(self, node: int, listing: Listing | None) -> Callable:
        """Return a function that delivers a listing, or a failure if None."""

        def deliver() -> None:
            agent = self.agents[node]
            if listing is None:
                on_read_failed(agent, self.now)
            else:
                self.perform(node, on_listing(agent, listing, self.now))

        return deliver

    def source_listing(self, after: int) -> Listing | None:
        """Build the response of the source; None if it is down."""
        if self.source_mode == 'down':
            return None
        revision, documents = self.revision, self.documents
        if self.source_mode == 'stale':
            revision, documents = self.stale_listing
        changed = [
            make_version(name, document_revision, text)
            for name, (document_revision, text) in documents.items()
            if document_revision > after
        ]
        return Listing(revision, changed, frozenset(documents))

    def document_text(self, name: str, is_valid: bool) -> str:
        """Build the text of a document at the current revision."""
        if not is_valid:
            return '{"customer":'
        kind, _slash, rest = name.partition('/')
        if kind == 'contracts':
            return contract_text(rest, self.revision)
        hosts = [
            host(f'h-{node}', node + 1)
            for node in range(NODES + self.revision % 3)
            if DATA_CENTRES[node % 2] == rest and node != self.revision % 7
        ]
        return hosts_text(rest, hosts)
