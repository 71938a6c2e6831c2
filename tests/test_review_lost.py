"""Further ends of a process or a connection around the stop of a node."""

from marjoramlead.lifecycle import drain_sidecar
from tests.platform_mesh import ready_mesh

GRACE_S = 6


def test_node_whose_periodic_work_fails_exits_before_its_grace_period_ends():
    mesh = ready_mesh('api', 'web')
    host = mesh.hosts[0]

    def fail():
        raise RuntimeError

    host.sidecar.adapter = host.sidecar.adapter._replace(reload_config=fail)
    mesh.advance(2)
    drain_sidecar(host.sidecar)
    mesh.advance(GRACE_S)
    assert host.has_exited
