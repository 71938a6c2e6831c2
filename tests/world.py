"""A few config agents, a source, and a list of messages between them.

The agents are the very code that runs in a node. A step is a list that can
be written as JSON, so that a run can be recorded and replayed.
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
SETTLE_S = 6.0
NAMES = ('contracts/tamworth', 'contracts/foundry', 'hosts/walsall')


class World:
    """Agents by number, the source, and what is on its way."""

    def __init__(self) -> None:
        self.now = 100.0
        self.restarts = 0
        self.agents = [self.fresh_agent(node) for node in range(NODES)]
        self.pending: list[tuple[Callable[[], None], tuple[int, int]]] = []
        self.cuts: set[tuple[int, int]] = set()
        self.mode = 'well'
        self.revision = 0
        self.documents: dict[str, tuple[int, str]] = {}
        self.stale: tuple[int, dict[str, tuple[int, str]]] = (0, {})
        self.published: dict[tuple[str, int], str] = {}
        self.sound: dict[str, bool] = {}
        self.highest: list[dict[str, int]] = [{} for _node in range(NODES)]

    def fresh_agent(self, node: int) -> Agent:
        """Start the agent of a node anew: it holds nothing."""
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
        """Take one step, then check what must always hold."""
        getattr(self, f'do_{step[0]}')(*step[1:])
        self.check()

    def do_publish(self, name: str, is_sound: bool) -> None:
        """Publish the next version of a document."""
        self.revision += 1
        self.documents[name] = (self.revision, self.text_of(name, is_sound))
        self.published[name, self.revision] = self.documents[name][1]
        self.sound[name] = is_sound

    def do_withdraw(self, name: str) -> None:
        """Delete a document at the source."""
        self.revision += 1
        self.documents.pop(name, None)
        self.sound[name] = True

    def do_tick(self, node: int, seconds: float) -> None:
        """Let time pass, and one node notice."""
        self.now += seconds
        self.carry_out(node, on_tick(self.agents[node], self.now))

    def do_deliver(self, index: int) -> None:
        """Deliver one message, not always the oldest."""
        if self.pending:
            deliver, ends = self.pending.pop(index % len(self.pending))
            if ends not in self.cuts:
                deliver()

    def do_double(self, index: int) -> None:
        """Deliver one message now and once more later."""
        if self.pending:
            self.pending.append(self.pending[index % len(self.pending)])
            self.do_deliver(index % (len(self.pending) - 1))

    def do_drop(self, index: int) -> None:
        """Lose one message."""
        if self.pending:
            self.pending.pop(index % len(self.pending))

    def do_restart(self, node: int) -> None:
        """Restart a node; what was on its way to it is lost."""
        self.restarts += 1
        self.agents[node] = self.fresh_agent(node)
        self.highest[node] = {}
        self.pending = [each for each in self.pending if each[1][1] != node]

    def do_cut(self, one: int, other: int) -> None:
        """Cut two nodes off from each other."""
        self.cuts |= {(one, other), (other, one)}

    def do_source(self, mode: str) -> None:
        """Set how the source behaves: well, down or stale."""
        self.mode = mode
        if mode == 'stale':
            self.stale = (self.revision, dict(self.documents))

    def settle(self, mode: str = 'well') -> None:
        """Heal all, and let as much time pass as the brief allows."""
        self.cuts.clear()
        self.mode = mode
        self.pending.clear()
        for agent in self.agents:
            if agent.is_reading:
                on_read_failed(agent, self.now)
        for _ in range(int(SETTLE_S / TICK_S)):
            self.now += TICK_S
            for node, agent in enumerate(self.agents):
                self.carry_out(node, on_tick(agent, self.now))
            while self.pending:
                self.do_deliver(0)
            self.check()

    def check_settled(self) -> None:
        """All nodes hold the same, and what the source holds if sound."""
        held = [
            {each.name: each for each in agent.store.in_force.values()}
            for agent in self.agents
        ]
        assert all(each == held[0] for each in held)
        roots = {agent.store.root for agent in self.agents}
        assert len(roots) == 1
        for name, is_sound in self.sound.items():
            if is_sound:
                revision, text = self.documents.get(name, (0, ''))
                have = held[0].get(name)
                assert (have.text if have else '') == text
                assert not have or not text or have.revision == revision
            else:
                refused = self.agents[0].store.refused[name]
                assert refused.revision == self.documents[name][0]

    def check(self) -> None:
        """Check what must hold after every step."""
        for node, agent in enumerate(self.agents):
            store = agent.store
            for name, version in store.in_force.items():
                assert version.revision >= self.highest[node].get(name, 0)
                self.highest[node][name] = version.revision
                if version.text:
                    published = self.published[name, version.revision]
                    assert published == version.text
            for terms in store.snapshot.contracts.values():
                used = {route.service for route in terms.routes}
                assert used <= set(terms.services)

    def carry_out(self, node: int, effects: list) -> None:
        """Put the effects of an agent on their way."""
        for effect in effects:
            if isinstance(effect, ReadSource):
                self.send(node, node, self.reader(node, effect))
            elif isinstance(effect, SendFrame):
                other = int(effect.address.split(':')[1]) - 1
                self.send(node, other, self.asker(node, other, effect))

    def send(self, origin: int, to: int, deliver: Callable[[], None]) -> None:
        """Put one message on its way."""
        self.pending.append((deliver, (origin, to)))

    def asker(self, node: int, other: int, effect: SendFrame) -> Callable:
        """Deliver a frame, and send its reply back."""

        def deliver() -> None:
            if other >= NODES:
                return
            reply, effects = on_request(
                self.agents[other],
                effect.frame,
                self.now,
            )
            self.carry_out(other, effects)
            self.send(other, node, self.answerer(node, effect, reply))

        return deliver

    def answerer(self, node: int, effect: SendFrame, reply: Frame) -> Callable:
        """Deliver a reply."""

        def deliver() -> None:
            effects = on_reply(self.agents[node], effect, reply, self.now)
            self.carry_out(node, effects)

        return deliver

    def reader(self, node: int, effect: ReadSource) -> Callable:
        """Read the source, and send what it says back."""

        def deliver() -> None:
            listing = self.listing(effect.after)
            self.send(node, node, self.listed(node, listing))

        return deliver

    def listed(self, node: int, listing: Listing | None) -> Callable:
        """Deliver an answer of the source."""

        def deliver() -> None:
            agent = self.agents[node]
            if listing is None:
                on_read_failed(agent, self.now)
            else:
                self.carry_out(node, on_listing(agent, listing, self.now))

        return deliver

    def listing(self, after: int) -> Listing | None:
        """Answer as the source does now."""
        if self.mode == 'down':
            return None
        revision, documents = self.revision, self.documents
        if self.mode == 'stale':
            revision, documents = self.stale
        changed = [
            make_version(name, at, text)
            for name, (at, text) in documents.items()
            if at > after
        ]
        return Listing(revision, changed, frozenset(documents))

    def text_of(self, name: str, is_sound: bool) -> str:
        """Write the text of a document at the present revision."""
        if not is_sound:
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
