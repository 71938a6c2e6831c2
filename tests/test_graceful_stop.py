"""A node that stops sends all that it has answered before it exits."""

from twisted.internet.defer import Deferred

from marjoramlead.client_requests import handle_client_request
from marjoramlead.lifecycle import drain_sidecar
from marjoramlead.upstream import ConnectionPool, OutgoingRequest, send
from tests.memory_net import SEND_BUFFER_BYTES, STEP_S
from tests.platform_mesh import INBOUND, OUTBOUND, ready_mesh, route

ACCEPT_S = 2.8
GRACE_S = 6
TICK_S = 0.25
BIG_BODY = b'x' * (4 * SEND_BUFFER_BYTES)


def draining_mesh():
    """Return a mesh whose first node drains; checks fall between two steps."""
    mesh = ready_mesh('api', 'web')
    mesh.reactor.advance(STEP_S / 2)
    drain_sidecar(mesh.hosts[0].sidecar)
    return mesh, mesh.hosts[0]


def next_tick(host, earliest):
    """Return the time of the first periodic check from a moment on."""
    ticks = host.sidecar.loops[0]
    return ticks.starttime + -(-(earliest - ticks.starttime) // TICK_S) * TICK_S


def client_connection(mesh, host):
    """Return the open connection of a client to a host."""
    port = (host.address, OUTBOUND)
    return next(each for each in mesh.net.connections if each.port == port)


def answer_of_request_ending(before_tick_s):
    mesh, host = draining_mesh()
    mesh.net.connect_delays[mesh.hosts[1].address, INBOUND] = GRACE_S
    ends_at = next_tick(host, mesh.reactor.seconds() + ACCEPT_S) - before_tick_s
    mesh.advance(2.5)
    sent = mesh.send(host, wait_ms=(ends_at - mesh.reactor.seconds()) * 1000)
    mesh.advance(GRACE_S)
    assert host.has_exited
    return sent.status


def test_response_written_just_before_the_exit_reaches_its_client():
    moments = [
        (step + 0.5) * STEP_S / 2 for step in range(round(TICK_S / STEP_S) * 2)
    ]
    answers = {each: answer_of_request_ending(each) for each in moments}
    assert set(answers.values()) <= {503, 504}


def test_request_in_flight_at_the_exit_is_answered():
    mesh, host = draining_mesh()
    mesh.hosts[1].target.fault = 'silent'
    mesh.configure(2, routes=[route('slow', 'safe', 'web', timeout='9000ms')])
    mesh.advance(2.5)
    sent = mesh.send(host, '/slow/x', wait_ms=9000)
    mesh.advance(GRACE_S - 2.5)
    assert host.has_exited
    assert sent.status == 504


def test_request_from_before_the_shutdown_is_answered_before_the_exit():
    mesh = ready_mesh('api', 'web')
    host = mesh.hosts[0]
    mesh.hosts[1].target.fault = 'silent'
    mesh.configure(2, routes=[route('slow', 'safe', 'web', timeout='9000ms')])
    mesh.advance(1)
    sent = mesh.send(host, '/slow/x', wait_ms=9000)
    mesh.advance(STEP_S)
    drain_sidecar(host.sidecar)
    mesh.advance(GRACE_S)
    assert host.has_exited
    assert sent.status == 504


def test_long_response_to_a_slow_client_is_complete_before_the_exit():
    mesh, host = draining_mesh()
    mesh.hosts[1].target.body = BIG_BODY
    mesh.advance(2.5)
    sent = mesh.send(host)
    client = client_connection(mesh, host).client
    client.pauseProducing()
    mesh.advance(1)
    assert not host.has_exited
    client.resumeProducing()
    mesh.advance(1)
    assert host.has_exited
    assert len(sent.reply.body) == len(BIG_BODY)


def test_exit_does_not_wait_for_a_client_that_never_reads():
    mesh, host = draining_mesh()
    mesh.hosts[1].target.body = BIG_BODY
    mesh.advance(2.5)
    mesh.send(host)
    client_connection(mesh, host).client.pauseProducing()
    mesh.advance(GRACE_S - 2.5)
    assert host.has_exited


def test_requests_on_open_connections_are_answered_until_the_exit(monkeypatch):
    received = set()
    monkeypatch.setattr(
        'marjoramlead.lifecycle.handle_client_request',
        _record_requests(received),
    )
    mesh, host = draining_mesh()
    answered = set()
    for client in range(20):
        _send_until_exit(mesh, host, f'{client}', answered)
        mesh.advance(STEP_S)
    mesh.advance(GRACE_S)
    assert host.has_exited
    assert received == answered


def _record_requests(received):
    def handle(frontend, req):
        received.add(req.requestHeaders.getRawHeaders(b'x-request-id')[0])
        handle_client_request(frontend, req)

    return handle


def _send_until_exit(mesh, host, client, answered):
    """Send requests one after another, on one connection while it is open."""
    pool = ConnectionPool(
        mesh.reactor, (host.address, OUTBOUND), GRACE_S, mesh.connect
    )

    async def run():
        number = 0
        while not host.has_exited:
            number += 1
            request_id = f'{client}-{number}'.encode()
            headers = [
                (b'Host', b'shop.example'),
                (b'X-Request-Id', request_id),
            ]
            sent = await send(
                pool, OutgoingRequest(b'GET', b'/safe/x', headers, b'')
            )
            if sent.is_ok():
                answered.add(request_id)
            pause = Deferred()
            mesh.reactor.callLater(0.037, pause.callback, None)
            await pause

    Deferred.fromCoroutine(run())
