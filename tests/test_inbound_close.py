"""Requests of other nodes that cross the closing of a stopping node's port."""

import pytest

from marjoramlead.lifecycle import INBOUND_CLOSE_DELAY_S, drain_sidecar
from marjoramlead.verdict import Reason
from tests.platform_mesh import INBOUND, ready_mesh

FAST_BYTES_PER_S = 125e6
TRANSIT_S = 0.1
PAUSE_S = 0.05
# The latency objective of the routes.
OBJECTIVE_S = 0.4
METHODS = {'/safe/x': b'GET', '/once/x': b'POST', '/scan/x': b'POST'}


def mesh_with_senders(count):
    """Start two targets and senders; return also the link to the first."""
    mesh = ready_mesh('web', 'web', slots=40)
    port = (mesh.hosts[0].address, INBOUND)
    mesh.net.limit(port, FAST_BYTES_PER_S)
    senders = [mesh.add_host('api', 'a') for _each in range(count)]
    mesh.advance(1)
    return mesh, senders, mesh.net.links[port]


def set_rate(link, bytes_per_s):
    link.allowance = 0
    link.bytes_per_s = bytes_per_s


def send_slowly(mesh, sender, link, path):
    """Send a request that is in transit for ``TRANSIT_S``."""
    set_rate(link, 0)
    sent = mesh.send(sender, path, method=METHODS[path])
    mesh.advance(TRANSIT_S)
    set_rate(link, FAST_BYTES_PER_S)
    return sent


def keep_connection(mesh, sender, path):
    """Leave a connection to the first target in the sender's pool."""
    warm_path = '/safe/y' if path == '/once/x' else '/once/y'
    sent = mesh.send(sender, warm_path)
    mesh.advance(0.2)
    assert mesh.hosts[0].target.arrivals[-1].request_id == sent.request_id


def offers_without_answer(sender):
    return sender.sidecar.metrics.offers.labels(Reason.SILENT)._value.get()


@pytest.mark.parametrize('is_kept', [True, False])
@pytest.mark.parametrize('path', METHODS)
def test_request_in_transit_as_the_inbound_port_closes_is_served(path, is_kept):
    mesh, senders, link = mesh_with_senders(1)
    sender = senders[0]
    if is_kept:
        keep_connection(mesh, sender, path)
    drain_sidecar(mesh.hosts[0].sidecar)
    mesh.advance(INBOUND_CLOSE_DELAY_S - TRANSIT_S / 2)
    sent = send_slowly(mesh, sender, link, path)
    mesh.advance(2)
    assert sent.status == 200
    assert sent.ended_at - sent.sent_at < OBJECTIVE_S
    assert mesh.runs(sent.request_id) == 1
    assert not offers_without_answer(sender)


@pytest.mark.parametrize('is_kept', [True, False])
@pytest.mark.parametrize('start_s', [1.3, 1.3 + TRANSIT_S])
def test_stop_leaves_no_request_of_another_node_in_doubt(start_s, is_kept):
    mesh, senders, link = mesh_with_senders(16)
    if is_kept:
        for sender in senders:
            keep_connection(mesh, sender, '/once/x')
    drain_sidecar(mesh.hosts[0].sidecar)
    mesh.advance(start_s)
    sent = []
    for sender in senders:
        sent.append(send_slowly(mesh, sender, link, '/once/x'))
        mesh.advance(PAUSE_S)
    mesh.advance(2)
    assert {each.status for each in sent} == {200}
    assert max(each.ended_at - each.sent_at for each in sent) < OBJECTIVE_S
    assert not sum(map(offers_without_answer, senders))
