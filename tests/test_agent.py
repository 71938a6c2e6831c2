import json
from pathlib import Path

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from marjoramlead.agent import on_listing
from marjoramlead.versions import offer_version
from tests.agent_simulation import NAMES, NODES, AgentSimulation

TRACES = Path(__file__).resolve().parent / 'traces'
FOUND = Path('found')

node = st.integers(0, NODES - 1)
index = st.integers(0, 30)


class AgentMachine(RuleBasedStateMachine):
    """Agents whose messages are delayed, lost, duplicated and reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = AgentSimulation()
        self.steps: list[list] = []

    def run_step(self, *step: object) -> None:
        self.steps.append(list(step))
        try:
            self.simulation.apply(list(step))
        except AssertionError:
            self.save_trace()
            raise

    def save_trace(self) -> None:
        if FOUND.exists():
            path = FOUND / 'agent.json'
            path.write_text(json.dumps({'steps': self.steps}))

    @rule(name=st.sampled_from(NAMES), is_valid=st.booleans())
    def publish(self, name, is_valid):
        self.run_step('publish', name, is_valid)

    @rule(name=st.sampled_from(NAMES))
    def withdraw(self, name):
        self.run_step('withdraw', name)

    @rule(number=node, seconds=st.sampled_from([0.25, 1.0, 5.0, 60.0]))
    def tick(self, number, seconds):
        self.run_step('tick', number, seconds)

    @rule(number=node)
    def short_tick(self, number):
        self.run_step('tick', number, 0.25)

    @precondition(lambda self: self.simulation.in_flight)
    @rule(at=index)
    def deliver(self, at):
        self.run_step('deliver', at)

    @precondition(lambda self: self.simulation.in_flight)
    @rule(at=index)
    def deliver_more(self, at):
        for _ in range(5):
            self.run_step('deliver', at)

    @precondition(lambda self: self.simulation.in_flight)
    @rule(at=index)
    def double(self, at):
        self.run_step('double', at)

    @precondition(lambda self: self.simulation.in_flight)
    @rule(at=index)
    def drop(self, at):
        self.run_step('drop', at)

    @rule(number=node)
    def restart(self, number):
        self.run_step('restart', number)

    @rule(one=node, other=node)
    def cut(self, one, other):
        self.run_step('cut', one, other)

    @rule(mode=st.sampled_from(['well', 'down', 'stale']))
    def source(self, mode):
        self.run_step('source', mode)

    def teardown(self) -> None:
        try:
            self.simulation.converge()
            self.simulation.check_converged()
        except AssertionError:
            self.save_trace()
            raise


TestAgents = AgentMachine.TestCase


def held_by(simulation, number):
    return simulation.agents[number].store.in_force


def test_restarted_nodes_get_documents_from_peers_while_the_source_is_down():
    simulation = AgentSimulation()
    for name in NAMES:
        simulation.do_publish(name, True)
    simulation.converge()
    for number in range(1, NODES):
        simulation.do_restart(number)
    simulation.converge('down')
    for number in range(1, NODES):
        assert held_by(simulation, number) == held_by(simulation, 0)


def test_restarted_node_gets_the_last_valid_version_from_peers():
    simulation = AgentSimulation()
    simulation.do_publish('contracts/tamworth', True)
    simulation.converge()
    simulation.do_publish('contracts/tamworth', False)
    simulation.converge()
    simulation.do_restart(3)
    simulation.converge('down')
    assert held_by(simulation, 3)['contracts/tamworth'].revision == 1
    refused = simulation.agents[3].store.refused
    assert refused['contracts/tamworth'].revision == 2


def test_data_centres_converge_after_a_partition():
    simulation = AgentSimulation()
    for name in NAMES:
        simulation.do_publish(name, True)
    simulation.converge()
    for one in range(NODES):
        for other in range(NODES):
            if one % 2 != other % 2 or one % 2:
                simulation.do_cut(one, other)
    simulation.do_publish('contracts/tamworth', True)
    for tick in range(300 * 4):
        simulation.do_tick(tick % NODES, 0.25 / NODES)
        while simulation.in_flight:
            simulation.do_deliver(0)
    assert held_by(simulation, 0)['contracts/tamworth'].revision == 4
    assert held_by(simulation, 1)['contracts/tamworth'].revision == 1
    simulation.converge()
    simulation.check_converged()


def test_gap_below_the_newest_revision_is_filled():
    simulation = AgentSimulation()
    for name in NAMES:
        simulation.do_publish(name, True)
    simulation.converge()
    newest = max(
        held_by(simulation, 0).values(),
        key=lambda each: each.revision,
    )
    simulation.do_restart(1)
    offer_version(simulation.agents[1].store, newest)
    simulation.converge('down')
    assert held_by(simulation, 1) == held_by(simulation, 0)


def test_outdated_listing_does_not_withdraw_newer_documents():
    simulation = AgentSimulation()
    outdated = simulation.source_listing(0)
    simulation.do_publish('contracts/tamworth', True)
    simulation.converge()
    on_listing(simulation.agents[2], outdated, simulation.now)
    assert held_by(simulation, 2)['contracts/tamworth'].text


def test_delayed_messages_do_not_roll_a_node_back():
    simulation = AgentSimulation()
    simulation.do_publish('contracts/tamworth', True)
    simulation.do_tick(0, 0.25)
    delayed = list(simulation.in_flight)
    simulation.converge()
    simulation.do_publish('contracts/tamworth', True)
    simulation.converge()
    simulation.in_flight = delayed
    while simulation.in_flight:
        simulation.do_deliver(0)
    simulation.check_invariants()
    assert held_by(simulation, 0)['contracts/tamworth'].revision == 2


@pytest.mark.parametrize('path', sorted(TRACES.glob('agent-*.json')), ids=str)
def test_agents_converge_after_a_recorded_trace(path):
    trace = json.loads(path.read_text())
    simulation = AgentSimulation()
    for step in trace['steps']:
        simulation.apply(step)
    simulation.converge()
    simulation.check_converged()
    held = simulation.agents[0].store.in_force
    for name, revision in trace.get('in_force', {}).items():
        assert held[name].revision == revision
