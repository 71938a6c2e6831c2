import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.mesh import GATEWAY, GUARD, TARGET, Mesh

TRACES = Path(__file__).resolve().parent / 'traces'
FOUND = Path('found')
NODES = 4
OUT_S = 0.5
MAX_WAIT_S = 5.0
RESPONSE_MARGIN_S = 0.5
CALLS = {
    'look': ('GET', '/moulds', False),
    'book': ('POST', '/bookings', False),
    'book-key': ('POST', '/bookings', True),
    'scan': ('PUT', '/scans/1', False),
}

node_numbers = st.integers(0, NODES - 1)


class Replay:
    """Applies steps to a mesh and checks the invariants after each."""

    def __init__(self) -> None:
        self.mesh = Mesh(NODES)

    def apply(self, step) -> None:
        getattr(self, f'do_{step[0]}')(*step[1:])
        self.check()

    def do_call(self, kind, node, key) -> None:
        method, path, has_key = CALLS[kind]
        size = 100_000 if kind == 'scan' else 0
        idempotency_key = f'k-{key}' if has_key else ''
        self.mesh.call(node, method, path, idempotency_key, size)
        self.mesh.net.pump()

    def do_advance(self, seconds) -> None:
        self.mesh.net.advance(seconds)

    def do_silence(self, port_base, node) -> None:
        self.mesh.net.silence(port_base + node)

    def do_reset(self, port_base, node) -> None:
        self.mesh.net.reset(port_base + node)

    def do_refuse(self, port_base, node) -> None:
        self.mesh.net.refusing_ports ^= {port_base + node}

    def do_restart_target(self, node) -> None:
        self.mesh.start_target(node)

    def do_restart_node(self, node) -> None:
        self.mesh.start_node(node)

    def do_report(self, node) -> None:
        self.mesh.report_load(node)

    def do_out(self, names) -> None:
        self.mesh.take_out(*names)

    def do_leaving(self, nodes) -> None:
        self.mesh.publish_hosts(frozenset(nodes))

    def do_slots(self, queue_limit) -> None:
        self.mesh.publish_contract(queue=queue_limit)

    def check(self) -> None:
        for call in self.mesh.calls:
            assert len(call.ended) <= 1
            ran = self.mesh.ran[call.key or call.request_id]
            if call.path in {'/bookings', '/scans/1'}:
                assert ran <= 1
            for ended in call.ended:
                self.check_result(call, ended)

    def check_result(self, call, result) -> None:
        if result.verdict == 'not_run' and not call.key:
            assert not self.mesh.ran[call.request_id]
        if result.status == 200:
            assert msgspec.json.decode(result.body)['id'] == call.request_id
        elif result.status:
            assert result.verdict in {'not_run', 'may_have_run', 'ran'}

    def finish(self) -> None:
        self.mesh.net.advance(MAX_WAIT_S + RESPONSE_MARGIN_S)
        for call in self.mesh.calls:
            if call.path != '/scans/1':
                assert len(call.ended) == 1
        self.check()


class MeshMachine(RuleBasedStateMachine):
    """Calls while connections, targets, nodes and contracts change."""

    def __init__(self) -> None:
        super().__init__()
        self.replay = Replay()
        self.steps: list[list] = []

    def run_step(self, *step) -> None:
        self.steps.append(list(step))
        self.save_failing_trace(lambda: self.replay.apply(list(step)))

    def save_failing_trace(self, action) -> None:
        try:
            action()
        except AssertionError:
            if FOUND.exists():
                text = json.dumps({'steps': self.steps})
                (FOUND / 'mesh.json').write_text(text)
            raise

    @rule(
        kind=st.sampled_from(sorted(CALLS)),
        node=node_numbers,
        key=st.integers(0, 2),
    )
    def call(self, kind, node, key):
        self.run_step('call', kind, node, key)

    @rule(
        kind=st.sampled_from(sorted(CALLS)),
        node=node_numbers,
        key=st.integers(0, 2),
    )
    def call_often(self, kind, node, key):
        for _ in range(4):
            self.run_step('call', kind, node, key)

    @rule(seconds=st.sampled_from([0.01, 0.04, 0.1, 0.3, 1.0]))
    def advance(self, seconds):
        self.run_step('advance', seconds)

    @rule(
        port_base=st.sampled_from([GATEWAY, GUARD, TARGET]), node=node_numbers
    )
    def silence(self, port_base, node):
        if port_base != GATEWAY:
            self.run_step('silence', port_base, node)

    @rule(port_base=st.sampled_from([GUARD, TARGET]), node=node_numbers)
    def reset(self, port_base, node):
        self.run_step('reset', port_base, node)

    @rule(port_base=st.sampled_from([GUARD, TARGET]), node=node_numbers)
    def refuse(self, port_base, node):
        self.run_step('refuse', port_base, node)

    @rule(node=node_numbers)
    def restart_target(self, node):
        self.run_step('restart_target', node)

    @rule(node=node_numbers)
    def restart_node(self, node):
        self.run_step('restart_node', node)

    @rule(node=node_numbers)
    def report(self, node):
        self.run_step('report', node)

    @rule(names=st.sets(st.sampled_from(['walsall', 'lichfield'])))
    def take_out(self, names):
        self.run_step('out', sorted(names))

    @rule(nodes=st.sets(node_numbers))
    def leaving(self, nodes):
        self.run_step('leaving', sorted(nodes))

    @rule(queue_limit=st.integers(0, 8))
    def change_contract(self, queue_limit):
        self.run_step('slots', queue_limit)

    def teardown(self) -> None:
        self.save_failing_trace(self.replay.finish)


TestMesh = MeshMachine.TestCase


@pytest.mark.parametrize('path', sorted(TRACES.glob('mesh-*.json')), ids=str)
def test_calls_of_a_recorded_trace_end_as_recorded(path):
    trace = json.loads(path.read_text())
    replay = Replay()
    for step in trace['steps']:
        replay.apply(step)
    replay.finish()
    ends = [call.ended[0] for call in replay.mesh.calls]
    assert [[end.status, end.verdict] for end in ends] == trace['ends']
