"""Requests that last longer than the grace period of a stopping node."""

import pytest

from marjoramlead.lifecycle import drain_sidecar
from tests.platform_mesh import ready_mesh, route


@pytest.mark.parametrize('sender_number', [0, 1])
def test_waiting_request_is_answered_before_its_node_exits(sender_number):
    mesh = ready_mesh('web', 'api', slots=1, work_s=30)
    mesh.configure(2, routes=[route('long', 'unsafe', 'web', timeout='30s')])
    mesh.advance(1)
    mesh.send(mesh.hosts[1], '/long/x', wait_ms=25_000, method=b'POST')
    mesh.advance(0.1)
    sender = mesh.hosts[sender_number]
    sent = mesh.send(sender, '/long/y', wait_ms=25_000, method=b'POST')
    mesh.advance(0.2)
    assert sent.ended_at is None
    drain_sidecar(sender.sidecar)
    while not sender.has_exited:
        mesh.advance(0.05)
    assert sent.status in {503, 504}
    assert not mesh.runs(sent.request_id)
