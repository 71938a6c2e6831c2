"""Large responses, whole and cut, on their way through two nodes."""

import pytest

from standins.platform_store import put
from standins.platform_target import CUT_RESPONSES
from tests.platform_mesh import INBOUND, config, ready_mesh, route

BODY = bytes(range(256)) * 2100
IN_FORCE_S = 2
SUCCESS = 200


def mesh_with_download(*services):
    """Start a mesh whose targets give large responses."""
    mesh = ready_mesh(*services, body=BODY)
    put(
        mesh.store,
        'op/config',
        config(2, routes=[route('pack', 'download', 'web')]),
    )
    mesh.advance(IN_FORCE_S)
    return mesh


def test_large_response_arrives_whole():
    mesh = mesh_with_download('web', 'api')
    sent = [mesh.send(host, '/pack/x') for host in mesh.hosts]
    mesh.advance(1)
    assert [each.status for each in sent] == [SUCCESS, SUCCESS]
    assert all(each.reply.body == BODY for each in sent)


@pytest.mark.parametrize('fault', CUT_RESPONSES)
def test_cut_response_of_a_download_is_fetched_from_another_target(fault):
    mesh = mesh_with_download('web', 'web', 'api')
    mesh.hosts[0].target.fault = fault
    sent = [mesh.send(mesh.hosts[2], '/pack/x') for _request in range(6)]
    mesh.advance(1)
    assert mesh.hosts[0].target.arrivals
    for each in sent:
        assert each.status == SUCCESS
        assert each.reply.body == BODY


@pytest.mark.parametrize('fault', CUT_RESPONSES)
@pytest.mark.parametrize('host', [0, 1])
def test_cut_response_is_never_passed_on_as_complete(fault, host):
    """The client is at the target's own host, or at another one."""
    mesh = mesh_with_download('web', 'api')
    mesh.hosts[0].target.fault = fault
    sent = mesh.send(mesh.hosts[host], '/pack/x')
    mesh.advance(1.5)
    assert (sent.status, sent.reply.body) == (502, b'')


@pytest.mark.parametrize('fault', CUT_RESPONSES)
def test_cut_response_of_a_request_that_may_run_once_is_not_repeated(fault):
    mesh = mesh_with_download('web', 'web', 'api')
    for host in mesh.hosts:
        host.target.fault = fault
    sent = mesh.send(mesh.hosts[2], '/once/x', method=b'POST')
    mesh.advance(1.5)
    assert sent.status == 502
    assert mesh.runs(sent.request_id) == 1


@pytest.mark.parametrize('cut_after_s', [0.1, 0.12])
def test_response_cut_between_two_nodes_is_not_passed_on(cut_after_s):
    mesh = mesh_with_download('web', 'api')
    sent = mesh.send(mesh.hosts[1], '/pack/x')
    mesh.advance(cut_after_s)
    mesh.net.reset((mesh.hosts[0].address, INBOUND))
    mesh.advance(2)
    assert sent.status != SUCCESS or sent.reply.body == BODY
