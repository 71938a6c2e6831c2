"""Requests whose callers disconnect are not started, and runs are cancelled."""

from random import Random

import pytest
from twisted.internet.protocol import Factory, Protocol

from marjoramlead.upstream import close_idle
from tests.platform_mesh import INBOUND, OUTBOUND, TARGET, ready_mesh

# Longest time that a caller's leaving may take to reach a target.
MAX_DELAY_S = 0.5
# The same without the time in which TCP sends a lost packet again.
MAX_LATE_START_S = 0.2
# 10 Mbit/s, the bandwidth of a narrow host.
NARROW_BYTES_PER_S = 1_250_000


def arrivals(host, request_id):
    return [
        arrival.at
        for arrival in host.target.arrivals
        if arrival.request_id == request_id
    ]


def busy_mesh(busy_s=0.25):
    """Start a mesh whose only web target is busy for some time."""
    mesh = ready_mesh('web', 'api', slots=1)
    target = mesh.hosts[0].target
    mesh.send(mesh.hosts[1])  # opens a connection between the nodes
    mesh.advance(0.2)
    target.work_s = busy_s
    mesh.send(mesh.hosts[1])
    mesh.advance(0.03)
    target.work_s = 0.05
    return mesh


def send_waiting(mesh, path, **options):
    """Send a request that waits at the node of its target."""
    sent = mesh.send(mesh.hosts[1], path, **options)
    mesh.advance(0.05)
    waiting = mesh.hosts[0].sidecar.gate.queue.waiting.values()
    receiving = mesh.hosts[0].sidecar.gate.queue.receiving.values()
    assert [entry.request_id for entry in (*waiting, *receiving)] == [
        sent.request_id
    ]
    return sent


@pytest.mark.parametrize(
    ('path', 'method', 'size'),
    [
        ('/safe/x', b'GET', 0),
        ('/once/x', b'POST', 0),
        ('/once/x', b'POST', 500),
        ('/scan/x', b'POST', 4095),
        ('/scan/x', b'POST', 8000),
    ],
)
def test_waiting_request_is_not_run_once_its_caller_has_left(
    path, method, size
):
    mesh = busy_mesh()
    sent = send_waiting(mesh, path, method=method, body=b'x' * size)
    sent.pending.cancel()
    mesh.advance(1)
    assert not arrivals(mesh.hosts[0], sent.request_id)


def test_place_of_a_small_body_is_free_once_its_caller_has_left():
    mesh = busy_mesh()
    sent = send_waiting(mesh, '/once/x', method=b'POST', body=b'x' * 500)
    sent.pending.cancel()
    mesh.advance(0.05)
    assert not mesh.hosts[0].sidecar.gate.queue.waiting


def test_request_that_lost_its_connection_is_not_run_once_its_caller_has_left():
    mesh = busy_mesh()
    sent = send_waiting(mesh, '/once/x', method=b'POST')
    mesh.net.silence((mesh.hosts[0].address, INBOUND))
    sent.pending.cancel()
    mesh.advance(1)
    assert not arrivals(mesh.hosts[0], sent.request_id)


def test_upload_is_not_run_if_its_sender_cannot_be_reached_any_more():
    mesh = ready_mesh('web', 'api', 'api', slots=1, work_s=0.4)
    port = mesh.hosts[0].address, INBOUND
    narrow_link(mesh, mesh.hosts[0])
    upload = send_uploads(mesh, 1)[0]
    mesh.advance(0.03)
    mesh.send(mesh.hosts[0])  # takes the slot while the body arrives
    mesh.advance(0.2)
    queue = mesh.hosts[0].sidecar.gate.queue
    assert [entry.request_id for entry in queue.waiting.values()] == [
        upload.request_id
    ]
    mesh.net.silence(port)
    mesh.net.refusing_ports.add(port)
    upload.pending.cancel()
    mesh.advance(1.5)
    assert not arrivals(mesh.hosts[0], upload.request_id)


def test_run_that_lost_its_connection_ends_once_its_caller_has_left():
    mesh = ready_mesh('web', 'api', work_s=0.9)
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.1)
    assert mesh.hosts[0].target.running == 1
    mesh.net.silence((mesh.hosts[0].address, INBOUND))
    sent.pending.cancel()
    mesh.advance(MAX_DELAY_S)
    assert mesh.hosts[0].target.disconnected == [sent.request_id]


def test_run_ends_if_its_caller_leaves_during_a_fate_query():
    mesh = ready_mesh('web', 'api', work_s=0.95)
    port = mesh.hosts[0].address, INBOUND
    mesh.send(mesh.hosts[1], '/safe/x')
    mesh.advance(1)
    mesh.net.mute(port)
    sent = mesh.send(mesh.hosts[1], '/safe/x')
    mesh.advance(0.1)
    assert mesh.hosts[0].target.running == 1
    mesh.net.silence(port)
    mesh.advance(0.35)  # the acknowledgement is late by now
    assert mesh.hosts[0].target.running == 1
    sent.pending.cancel()
    mesh.advance(0.2)
    assert mesh.hosts[0].target.disconnected == [sent.request_id]


def test_request_is_not_sent_to_a_target_after_its_caller_has_left():
    mesh = ready_mesh('web', 'api')
    close_idle(mesh.hosts[0].sidecar.gate.pool)  # left by a probe
    mesh.net.connect_delays[mesh.hosts[0].address, TARGET] = 0.3
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST')
    mesh.advance(0.05)
    assert len(mesh.hosts[0].sidecar.gate.queue.running) == 1
    sent.pending.cancel()
    mesh.advance(0.5)
    assert not arrivals(mesh.hosts[0], sent.request_id)


def narrow_link(mesh, host):
    """Limit the link to a host, as its settings say."""
    mesh.net.limit((host.address, INBOUND), NARROW_BYTES_PER_S)
    host.sidecar.gate.body_grants.link_bytes_per_s = NARROW_BYTES_PER_S


def narrow_mesh():
    """Start a mesh whose web target has a narrow link."""
    mesh = ready_mesh('web', 'api', 'api', slots=9)
    narrow_link(mesh, mesh.hosts[0])
    return mesh


def send_uploads(mesh, count, size=90_000):
    return [
        mesh.send(
            mesh.hosts[1 + number % 2],
            '/scan/x',
            wait_ms=2500,
            method=b'POST',
            body=b'x' * size,
        )
        for number in range(count)
    ]


def test_request_is_not_delayed_by_the_bodies_that_others_send():
    mesh = narrow_mesh()
    send_uploads(mesh, 9)
    mesh.advance(0.05)
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'DELETE')
    mesh.advance(1)
    assert (
        arrivals(mesh.hosts[0], sent.request_id)[0] - sent.sent_at
        < MAX_LATE_START_S
    )


def test_delayed_request_is_not_run_long_after_its_caller_has_left():
    mesh = narrow_mesh()
    send_uploads(mesh, 9)
    mesh.advance(0.05)
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'DELETE')
    mesh.advance(0.05)
    sent.pending.cancel()
    left_at = mesh.reactor.seconds()
    mesh.advance(1)
    arrived = arrivals(mesh.hosts[0], sent.request_id)
    assert all(at <= left_at + MAX_LATE_START_S for at in arrived)


def test_uploads_are_not_run_long_after_their_callers_have_left():
    mesh = narrow_mesh()
    uploads = send_uploads(mesh, 9)
    mesh.advance(0.05)
    for upload in uploads:
        upload.pending.cancel()
    left_at = mesh.reactor.seconds()
    mesh.advance(2)
    late = [
        at - left_at
        for upload in uploads
        for at in arrivals(mesh.hosts[0], upload.request_id)
        if at > left_at + MAX_LATE_START_S
    ]
    assert not late


class RawClient(Protocol):
    """A client that writes bytes and ignores what it receives."""


def connect_raw(mesh, host):
    client = RawClient()
    factory = Factory()
    factory.buildProtocol = lambda _address: client
    mesh.net.open((host.address, OUTBOUND), factory)
    return client.transport


HEAD = (
    b'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\n\r\n'
)


@pytest.mark.parametrize('count', [0, 1, 300])
def test_run_ends_once_a_client_that_sends_ahead_has_left(count):
    mesh = ready_mesh('web', 'api', work_s=0.9)
    transport = connect_raw(mesh, mesh.hosts[1])
    transport.write(HEAD % b'first')
    mesh.advance(0.05)
    transport.write(b''.join(HEAD % b'n%d' % each for each in range(count)))
    mesh.advance(0.05)
    transport.loseConnection()
    mesh.advance(MAX_DELAY_S)
    assert mesh.hosts[0].target.disconnected == ['first']


def play_uploads(seed, count=24, clumps=4, leave_after_s=0.1):
    """Upload to two narrow hosts in clumps; return the delays of late starts.

    Half of the callers leave. A delay is the time from a caller's leaving to
    the start of its run.
    """
    rng = Random(seed)
    mesh = ready_mesh(
        'web', 'web', 'api', 'api', 'api', 'api', slots=9, work_s=0.19
    )
    for host in mesh.hosts[:2]:
        narrow_link(mesh, host)
    left = {}

    def leave(sent):
        if sent.ended_at is None:
            left[sent.request_id] = mesh.reactor.seconds()
            sent.pending.cancel()

    def upload():
        body = b'x' * rng.randint(20_000, 100_000)
        sent = mesh.send(
            rng.choice(mesh.hosts[2:]),
            '/scan/x',
            wait_ms=2500,
            method=b'POST',
            body=body,
        )
        if rng.random() < 0.5:
            mesh.reactor.callLater(leave_after_s, leave, sent)

    for number in range(count * clumps):
        mesh.reactor.callLater(number // count + rng.random() * 0.1, upload)
    mesh.advance(clumps + 1)
    return left, [
        arrival.at - left[arrival.request_id]
        for host in mesh.hosts
        for arrival in host.target.arrivals
        if arrival.request_id in left and arrival.at > left[arrival.request_id]
    ]


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_uploads_in_clumps_are_not_run_long_after_callers_have_left(seed):
    left, delays = play_uploads(seed)
    assert len(left) >= 20
    assert max(delays, default=0) <= MAX_LATE_START_S
