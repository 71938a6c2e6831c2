"""What a restarted node says of the attempts that it has not received."""

import pytest
from twisted.internet.defer import Deferred

from marjoramlead.hops import (
    FATE_PATH,
    REPORT_HEADER,
    decode_report,
    refusal_from_report,
)
from marjoramlead.peer_requests import MAX_QUERY_BYTES
from marjoramlead.upstream import (
    ConnectionPool,
    OutgoingRequest,
    header_value,
    send,
)
from marjoramlead.verdict import Verdict
from tests.platform_mesh import INBOUND, PlatformMesh, ready_mesh, route

LONG_ROUTE = route('long', 'unsafe', 'web', timeout='5000ms')


def make_mesh():
    """Return a mesh of two targets and of a sender, with a long route."""
    mesh = PlatformMesh()
    mesh.configure(routes=[LONG_ROUTE])
    for service in ('web', 'web', 'api'):
        mesh.add_host(service, work_s=0.6)
    mesh.advance(1)
    return mesh


def restart(mesh, host, down_s=0.3):
    """Kill the node of a host, and start it again."""
    host.reactor.stop()
    mesh.advance(down_s)
    mesh.start(host)


def freeze(mesh, host, seconds):
    """Let a host's node read nothing for a time, and then all of it."""
    port = host.address, INBOUND
    unfrozen_open = mesh.net.open

    def open_unread(to_port, factory):
        opened = unfrozen_open(to_port, factory)
        if to_port == port:
            mesh.net.connections[-1].is_silent = True
        return opened

    mesh.net.open = open_unread
    mesh.net.silence(port)
    mesh.advance(seconds)
    mesh.net.open = unfrozen_open
    for connection in mesh.net.connections:
        connection.is_silent = False


def send_running(mesh):
    """Send requests that run at the targets; return those of the first one."""
    sent = [
        mesh.send(mesh.hosts[2], '/long/x', 5000, method=b'POST')
        for _request in range(4)
    ]
    mesh.advance(0.2)
    first = mesh.hosts[0].target
    ids = {arrival.request_id for arrival in first.arrivals if arrival.ran}
    return [each for each in sent if each.request_id in ids]


# TWICE: a restarted node read queries late and denied runs that took place.
@pytest.mark.parametrize('frozen_s', [0, 0.7, 2.5])
def test_run_before_a_restart_is_not_denied_by_a_query_read_late(frozen_s):
    mesh = make_mesh()
    running = send_running(mesh)
    restart(mesh, mesh.hosts[0])
    if frozen_s:
        freeze(mesh, mesh.hosts[0], frozen_s)
    mesh.advance(4)
    assert running
    assert {mesh.runs(each.request_id) for each in running} == {1}
    assert {each.status for each in running} == {502}


def test_attempt_that_a_known_run_never_received_is_offered_again():
    mesh = ready_mesh('web', 'api')
    mesh.send(mesh.hosts[1], '/once/x', method=b'POST')
    mesh.advance(1)  # the sender has received a mark
    mesh.net.silence((mesh.hosts[0].address, INBOUND))
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST')
    mesh.advance(1)
    assert sent.status == 200
    assert mesh.runs(sent.request_id) == 1


def test_attempt_on_a_silent_connection_may_have_run_before_a_restart():
    mesh = ready_mesh('web', 'api')
    mesh.send(mesh.hosts[1], '/once/x', method=b'POST')
    mesh.advance(1)
    mesh.net.mute((mesh.hosts[0].address, INBOUND))
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST')
    mesh.advance(0.2)
    restart(mesh, mesh.hosts[0], 0.05)
    mesh.advance(1)
    assert mesh.runs(sent.request_id) == 1
    assert sent.status == 502


def test_query_that_is_too_long_to_be_read_denies_nothing():
    mesh = ready_mesh('web')
    outgoing = OutgoingRequest(
        b'POST', FATE_PATH, [(b'Host', b'node')], b' ' * 2 * MAX_QUERY_BYTES
    )
    pool = ConnectionPool(
        mesh.reactor, (mesh.hosts[0].address, INBOUND), 0, mesh.connect
    )
    replies = []
    Deferred.fromCoroutine(send(pool, outgoing)).addCallback(replies.append)
    mesh.advance(0.5)
    report = header_value(replies[0].ok.headers, REPORT_HEADER)
    refusal = refusal_from_report(decode_report(report).ok)
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
