"""Targets that name a limit, and targets that announce their stop."""

import pytest

from marjoramlead import target_notices
from marjoramlead.platform.names import PLATFORM_HEADER_NAMES
from marjoramlead.target_notices import read_notice
from tests.platform_mesh import INBOUND, OUTBOUND, ready_mesh

LIMIT_PER_S = 5
WINDOW_S = 4
# What the platform allows in a window, from 3 s after the first notice.
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
NOTICE_DELAY_S = 3
DRAIN_S = 2
STEP_S = 0.05


def limited_mesh():
    mesh = ready_mesh('web', 'api', slots=6, work_s=0.05)
    mesh.hosts[0].target.notices[b'Server-Limit'] = b'%d' % LIMIT_PER_S
    return mesh


def restart_node(mesh, host):
    """Replace the node of a host; its connections are reset."""
    for port in (INBOUND, OUTBOUND):
        mesh.net.reset((host.address, port))
    mesh.start(host)


def send_steadily(mesh, seconds, senders=None):
    """Send from each host 20 times a second, with calls among the requests."""
    sent = []
    for step in range(int(seconds / STEP_S)):
        for host in senders or mesh.hosts:
            running = mesh.hosts[0].target.arrivals[-1:]
            request_id = f'{running[0].request_id}.{step}' if running else ''
            is_call = step % 4 == 0 and host is mesh.hosts[0]
            sent.append(
                mesh.send(host, request_id=request_id if is_call else '')
            )
        mesh.advance(STEP_S)
    return sent


def most_in_window(target, start):
    times = [each.at for each in target.arrivals if each.at >= start]
    return max(
        sum(at <= each < at + WINDOW_S for each in times) for at in times
    )


def test_limited_target_gets_no_more_than_it_accepts():
    mesh = limited_mesh()
    start = mesh.reactor.seconds() + NOTICE_DELAY_S
    sent = send_steadily(mesh, NOTICE_DELAY_S + 2 * WINDOW_S)
    target = mesh.hosts[0].target
    assert most_in_window(target, start) <= MAX_IN_WINDOW
    assert len(target.arrivals) >= LIMIT_PER_S * 2 * WINDOW_S
    assert {each.status for each in sent if each.reply} == {200, 503}


@pytest.mark.parametrize('restarts', [1, 3])
def test_limit_holds_while_the_node_of_the_target_restarts(restarts):
    mesh = limited_mesh()
    start = mesh.reactor.seconds() + NOTICE_DELAY_S
    sender = mesh.hosts[1:]
    send_steadily(mesh, NOTICE_DELAY_S, sender)
    for _restart in range(restarts):
        send_steadily(mesh, 1, sender)
        restart_node(mesh, mesh.hosts[0])
    send_steadily(mesh, 2 * WINDOW_S, sender)
    assert most_in_window(mesh.hosts[0].target, start) <= MAX_IN_WINDOW


def test_restarted_node_learns_the_limit_from_senders():
    mesh = ready_mesh('web', 'api', slots=20, work_s=1)
    target = mesh.hosts[0].target
    target.notices[b'Server-Limit'] = b'1'
    send_steadily(mesh, NOTICE_DELAY_S, mesh.hosts[1:])
    restart_node(mesh, mesh.hosts[0])
    before = len(target.arrivals)
    send_steadily(mesh, 1, mesh.hosts[1:])
    assert len(target.arrivals) - before <= 4


def test_limit_ends_with_the_first_response_without_it():
    mesh = limited_mesh()
    send_steadily(mesh, 2)
    mesh.hosts[0].target.notices.clear()
    send_steadily(mesh, 1)
    target = mesh.hosts[0].target
    before = len(target.arrivals)
    send_steadily(mesh, 1)
    assert len(target.arrivals) - before >= 5 * LIMIT_PER_S


@pytest.mark.parametrize('limit', ['fast', '-1', 'nan', 'inf', '1e999', '5,5'])
def test_invalid_limit_is_logged_and_ignored(limit, monkeypatch):
    logged = []
    monkeypatch.setattr(
        target_notices, 'emit', lambda kind, **rest: logged.append((kind, rest))
    )
    headers = [(b'Server-Limit', limit.encode())]
    notice = read_notice(headers, PLATFORM_HEADER_NAMES, 'i-1')
    assert notice.rate_limit_per_s is None
    assert not notice.is_limit_valid
    assert logged == [
        ('target_notice_refused', {'target': 'i-1', 'limit': limit})
    ]


def test_invalid_limit_leaves_the_known_one_in_force():
    mesh = limited_mesh()
    send_steadily(mesh, 2)
    mesh.hosts[0].target.notices[b'Server-Limit'] = b'none'
    start = mesh.reactor.seconds()
    send_steadily(mesh, 5)
    assert most_in_window(mesh.hosts[0].target, start) <= MAX_IN_WINDOW


@pytest.mark.parametrize('restarts', [0, 1])
def test_target_that_announces_its_stop_gets_no_new_requests(restarts):
    mesh = ready_mesh('web', 'web', 'api', work_s=0.05)
    leaving = mesh.hosts[0]
    leaving.target.notices[b'Server-Leaving'] = b'1'
    send_steadily(mesh, 1)
    for _restart in range(restarts):
        restart_node(mesh, leaving)
    mesh.advance(DRAIN_S)
    before = len(leaving.target.arrivals)
    sent = send_steadily(mesh, 1, mesh.hosts[1:])
    assert len(leaving.target.arrivals) == before
    assert {each.status for each in sent if each.reply} == {200}


def test_target_that_leaves_gets_nothing_from_senders_that_have_not_heard():
    mesh = ready_mesh('web', 'web', 'api', 'api', 'api', work_s=0.05)
    leaving = mesh.hosts[0]
    leaving.target.notices[b'Server-Leaving'] = b'1'
    send_steadily(mesh, 1, [mesh.hosts[2]])
    before = len(leaving.target.arrivals)
    assert before
    sent = send_steadily(mesh, 1, [mesh.hosts[4]])
    assert len(leaving.target.arrivals) == before
    assert {each.status for each in sent if each.reply} == {200}


def test_target_that_starts_again_under_its_id_gets_requests():
    mesh = ready_mesh('web', 'api', work_s=0.05)
    target = mesh.hosts[0].target
    target.notices[b'Server-Leaving'] = b'1'
    send_steadily(mesh, 1)
    target.notices.clear()
    before = len(target.arrivals)
    mesh.publish(mesh.hosts[0], born=2000)
    mesh.advance(1)
    send_steadily(mesh, 1)
    assert len(target.arrivals) > before


def test_target_that_accepts_nothing_still_tells_when_the_limit_ends():
    mesh = limited_mesh()
    target = mesh.hosts[0].target
    target.notices[b'Server-Limit'] = b'0'
    send_steadily(mesh, 2)
    before = len(target.arrivals)
    send_steadily(mesh, WINDOW_S)
    assert len(target.arrivals) - before <= 5
    target.notices.clear()
    send_steadily(mesh, WINDOW_S + 1)
    assert len(target.arrivals) - before >= 5 * LIMIT_PER_S
