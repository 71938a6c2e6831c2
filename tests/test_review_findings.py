"""Timeouts and cancellation of requests between clients, nodes and targets."""

import json

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from marjoramlead.bodies import BodyStream
from marjoramlead.http_connection import HttpConnection, OutgoingRequest
from marjoramlead.http_server import make_site
from marjoramlead.mesh_state import is_leaving
from marjoramlead.problems import json_response
from marjoramlead.target_queue import set_cold_rate
from marjoramlead.target_runs import PendingBody, serve_job
from marjoramlead.verdict import Reason, Refusal, Verdict
from tests.platform_mesh import INBOUND, OUTBOUND, ready_mesh
from tests.test_target_runs import BODY, start_upload, upload_job

NARROW_BYTES_PER_S = 625_000  # 5 Mbit/s
DEDUPLICATION_S = 30


class RawClient(Protocol):
    """A client that writes bytes and keeps what it receives."""

    def __init__(self):
        self.received = b''

    def dataReceived(self, chunk):
        """Keep the bytes."""
        self.received += chunk


def connect_raw(mesh, host, port):
    client = RawClient()
    factory = Factory()
    factory.buildProtocol = lambda _address: client
    mesh.net.open((host.address, port), factory)
    return client


def job_terms(mesh, request_id, *, wait_ms=1000):
    return json.dumps(
        {
            'request_id': request_id,
            'attempt': 1,
            'is_repeat': False,
            'target_id': mesh.hosts[0].target.target_id,
            'route': 'once',
            'repeat': 'at_most_once',
            'priority': 1,
            'wait_ms': wait_ms,
            'aim_ms': 400,
            'caller': 'api',
            'may_wait': True,
        }
    ).encode()


def send_stalled_job(mesh, request_id='stalled', *, wait_ms=1000):
    """Send the head of a job with a small body, and none of the body."""
    client = connect_raw(mesh, mesh.hosts[0], INBOUND)
    client.transport.write(
        b'POST /once/x HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Request-Id: %s\r\nContent-Length: 500\r\nX-Marjoram-Job: %s\r\n\r\n'
        % (request_id.encode(), job_terms(mesh, request_id, wait_ms=wait_ms))
    )
    return client


def test_slot_is_free_once_a_request_whose_small_body_stalls_is_late():
    mesh = ready_mesh('web', 'api', slots=1)
    send_stalled_job(mesh)
    mesh.advance(0.1)
    gate = mesh.hosts[0].sidecar.gate
    assert gate.queue.running
    mesh.advance(1.5)
    assert not gate.queue.running


def test_small_body_that_stalls_does_not_stop_the_other_requests():
    mesh = ready_mesh('web', 'api', slots=1)
    send_stalled_job(mesh)
    mesh.advance(1.5)
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(1)
    assert sent.status == 200


def test_attempts_expire_behind_one_whose_body_stalls():
    mesh = ready_mesh('web', 'api', slots=2)
    send_stalled_job(mesh)
    mesh.advance(0.1)
    for _request in range(20):
        mesh.send(mesh.hosts[1])
        mesh.advance(0.1)
    mesh.advance(DEDUPLICATION_S + 1)
    mesh.send(mesh.hosts[1])
    mesh.advance(0.1)
    assert len(mesh.hosts[0].sidecar.gate.ledger.attempts) <= 2


def test_request_is_not_run_again_after_a_fast_restart_of_its_node():
    mesh = ready_mesh('web', 'api', work_s=0.5)
    node, port = mesh.hosts[0], (mesh.hosts[0].address, INBOUND)
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST')
    mesh.advance(0.02)
    assert mesh.runs(sent.request_id) == 1
    mesh.net.connect_delays[port] = 0.001
    mesh.start(node)
    mesh.net.reset(port)
    hold_new_connections(mesh, port, 0.25)  # a lost packet, sent again
    mesh.advance(1.5)
    assert mesh.runs(sent.request_id) == 1


def hold_new_connections(mesh, port, seconds):
    """Deliver nothing on the connections to a port for some time."""
    held = []

    def hold():
        for connection in mesh.net.connections:
            if connection.port == port and connection not in held:
                connection.is_silent = True
                held.append(connection)

    def release():
        for connection in held:
            connection.is_silent = False

    hold()
    mesh.reactor.callLater(seconds, release)


def test_body_that_was_cut_before_it_is_read_fails():
    stream = BodyStream(StringTransport(), 9)
    stream.feed_chunk(b'abc')
    stream.connection_lost()
    ended = []
    reading = stream.startProducing(StringTransport())
    reading.addBoth(ended.append)
    assert ended


def test_refused_client_that_sends_no_more_of_its_body_is_disconnected():
    clock = Clock()
    site = make_site(
        lambda req: req.send_response(json_response(503, {})), clock
    )
    channel = site.buildProtocol(None)
    channel.callLater = clock.callLater
    transport = StringTransport()
    channel.makeConnection(transport)
    channel.dataReceived(b'PUT /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc')
    assert transport.value().startswith(b'HTTP/1.1 503 ')
    clock.advance(200)
    assert transport.disconnecting


def test_client_whose_body_stalls_is_answered_by_the_timeout_of_its_route():
    mesh = ready_mesh('web', 'api')
    client = connect_raw(mesh, mesh.hosts[1], OUTBOUND)
    client.transport.write(
        b'POST /once/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n'
        b'X-Deadline-Ms: 3000\r\nContent-Length: 500\r\n\r\nx'
    )
    mesh.advance(1.5)
    assert client.received.startswith(b'HTTP/1.1 ')


def test_target_that_leaves_before_the_end_of_a_body_does_not_run_it():
    mesh = ready_mesh('web', slots=1)
    end, outcomes = Deferred(), []

    async def receive_ahead():
        return await succeed(BODY)

    async def receive_end():
        return await end

    job = upload_job(mesh, 'u1', wait_s=5)
    pending_body = PendingBody(len(BODY), receive_ahead, receive_end)
    gate = mesh.hosts[0].sidecar.gate
    serving = serve_job(gate, job, pending_body=pending_body)
    serving.addCallback(outcomes.append)
    mesh.publish(mesh.hosts[0], state='draining')
    mesh.advance(0.3)
    assert is_leaving(gate.mesh_state, gate.target_entry)
    end.callback(BODY)
    mesh.advance(0.5)
    assert outcomes == [Refusal(Reason.DRAINING, Verdict.NOT_RUN, 0)]
    assert not mesh.runs('u1')


def test_late_upload_returns_the_start_that_a_cold_target_granted_it():
    mesh = ready_mesh('web', slots=2, work_s=0.2)
    gate = mesh.hosts[0].sidecar.gate
    now = mesh.reactor.seconds()
    set_cold_rate(gate.queue, now + 60, 2.0)
    for _request in range(2):
        mesh.send(mesh.hosts[0], wait_ms=5000)
    mesh.advance(0.02)
    # The link is taken by two others until after the wait for a slot.
    _job, _body, outcomes = start_upload(mesh, 'u1', wait_s=5)
    assert gate.queue.waiting
    for number in (1, 2):
        gate.queue.receiving[-number] = next(iter(gate.queue.waiting.values()))
    while not outcomes:
        mesh.advance(0.01)
    assert outcomes[0].reason is Reason.OVERLOAD
    started_at = mesh.reactor.seconds()
    sent = mesh.send(mesh.hosts[0], wait_ms=5000)
    mesh.advance(0.3)
    arrivals = [
        arrival.at
        for arrival in mesh.hosts[0].target.arrivals
        if arrival.request_id == sent.request_id
    ]
    assert arrivals, f'no start until {mesh.reactor.seconds() - started_at:.2f}'


def send_stalled_upload(mesh, number, *, wait_ms=2500):
    """Send the head of an upload, and none of the body that is granted."""
    client = connect_raw(mesh, mesh.hosts[0], INBOUND)
    request_id = f'dead{number}'
    client.transport.write(
        b'POST /scan/x HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Request-Id: %s\r\nContent-Length: 20000\r\n'
        b'Expect: 100-continue\r\nX-Marjoram-Job: %s\r\n\r\n'
        % (request_id.encode(), job_terms(mesh, request_id, wait_ms=wait_ms))
    )
    return client


@pytest.mark.parametrize('count', [0, 6])
def test_uploads_of_a_host_that_died_do_not_keep_the_link_from_others(count):
    mesh = ready_mesh('web', 'api', slots=9)
    mesh.hosts[0].sidecar.gate.body_grants.link_bytes_per_s = NARROW_BYTES_PER_S
    for number in range(count):
        send_stalled_upload(mesh, number)
    mesh.advance(0.05)
    sent = mesh.send(
        mesh.hosts[1],
        '/scan/x',
        wait_ms=2500,
        method=b'POST',
        body=b'x' * 20_000,
    )
    mesh.advance(0.8)
    assert mesh.runs(sent.request_id) == 1


@pytest.mark.parametrize('is_silent', [False, True])
def test_fate_is_queried_again_if_the_query_meets_silence(is_silent):
    mesh = ready_mesh('web', 'api', work_s=0.1)
    port = mesh.hosts[0].address, INBOUND
    mesh.net.connect_delays[port] = 0.01
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST', wait_ms=5000)
    mesh.advance(0.05)
    mesh.net.reset(port)
    mesh.advance(0.005)
    if is_silent:
        mesh.net.silence(port)
    mesh.advance(1.5)
    assert sent.status == 200


def test_answer_that_arrives_after_a_cancellation_is_ignored():
    idle = []
    connection = HttpConnection(
        lambda conn, _reply: idle.append(conn),
        lambda _conn: None,
        lambda _sent, _received: None,
    )
    connection.makeConnection(StringTransport())
    done = connection.exchange(
        OutgoingRequest(b'GET', b'/', [(b'Host', b'node')], b''),
        lambda _reply: True,
        lambda: None,
    )
    done.addErrback(lambda _failure: None)
    done.cancel()
    connection.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    assert not idle


def test_connection_of_a_withdrawn_job_is_closed():
    mesh = ready_mesh('web', 'api', slots=1)
    gate = mesh.hosts[0].sidecar.gate
    client = send_stalled_job(mesh)
    mesh.advance(0.1)
    mesh.net.silence((mesh.hosts[0].address, INBOUND))
    gate.tasks['stalled/1'].cancel()  # as a message of the sender does
    mesh.advance(3)
    server = next(
        connection.server
        for connection in mesh.net.connections
        if connection.client is client.transport
    )
    assert server.disconnecting


def test_body_is_not_awaited_past_the_deadline_of_its_request():
    mesh = ready_mesh('web', slots=1)
    client = send_stalled_upload(mesh, 0, wait_ms=1000)
    for _part in range(5):
        mesh.advance(0.3)
        client.transport.write(b'x')
    assert not mesh.hosts[0].sidecar.gate.queue.receiving


def test_small_body_that_is_slow_between_nodes_is_not_the_fault_of_the_client():
    mesh = ready_mesh('web', 'api')
    port = mesh.hosts[0].address, INBOUND
    mesh.net.limit(port, 5000)  # the body takes 0.8 s
    for connection in mesh.net.connections:
        if connection.port == port:
            connection.link = mesh.net.links[port]
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST', body=b'x' * 4000)
    mesh.advance(1.5)
    assert sent.ended_at
    assert sent.status != 400


def test_run_ends_if_its_caller_leaves_after_the_connection_has_failed():
    mesh = ready_mesh('web', 'api', work_s=0.9)
    port = mesh.hosts[0].address, INBOUND
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.1)
    assert mesh.hosts[0].target.running == 1
    failed = [each for each in mesh.net.connections if each.port == port]
    mesh.net.silence(port)
    for connection in failed:  # unheard by the node of the target
        connection.client.report_close()
    mesh.advance(0.1)  # the fate is being queried
    sent.pending.cancel()
    mesh.advance(0.4)
    assert mesh.hosts[0].target.disconnected == [sent.request_id]


def test_withdrawal_is_sent_again_if_it_meets_silence():
    mesh = ready_mesh('web', 'api', work_s=0.9)
    port = mesh.hosts[0].address, INBOUND
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.05)
    mesh.net.silence(port)
    mesh.net.connect_delays[port] = 0.05
    sent.pending.cancel()
    mesh.advance(0.17)
    mesh.net.silence(port)  # the first withdrawal, too
    mesh.advance(0.5)
    assert mesh.hosts[0].target.disconnected == [sent.request_id]
