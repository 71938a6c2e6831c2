"""Further ends of a process or a connection around the stop of a node."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from marjoramlead.lifecycle import drain_sidecar
from marjoramlead.listeners import close_port
from tests.memory_net import STEP_S
from tests.platform_mesh import INBOUND, OUTBOUND, ready_mesh, route

GRACE_S = 6
# The least time that a process has to end.
EXIT_S = 0.05


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


def call_after(mesh, host, delay_s, calls):
    """Return a function with which a target makes one call, after a delay."""

    def make_calls(arrival):
        has_succeeded = Deferred()

        def on_end(_end):
            has_succeeded.callback(calls[-1].status == 200)

        def call():
            call_id = f'{arrival.request_id}.1'
            calls.append(mesh.send(host, '/call/x', request_id=call_id))
            calls[-1].pending.addCallback(on_end)

        mesh.reactor.callLater(delay_s, call)
        return [has_succeeded]

    return make_calls


def test_call_of_a_request_that_still_runs_is_served_while_its_node_stops():
    mesh = ready_mesh('web', 'api')
    host, other = mesh.hosts
    slow = route('slow', 'safe', 'web', timeout='5s')
    mesh.configure(2, routes=[slow, route('call', 'safe', 'api')])
    mesh.advance(1)
    calls = []
    host.target.make_calls = call_after(mesh, host, 2, calls)
    drain_sidecar(host.sidecar)
    mesh.advance(1)
    sent = mesh.send(other, '/slow/x', wait_ms=5000)
    mesh.advance(2.5)
    assert [each.status for each in calls] == [200]
    assert sent.status == 200
    mesh.advance(0.5)
    assert host.has_exited


def test_stop_closes_the_open_port_though_the_settings_name_another():
    mesh = ready_mesh('api', 'web')
    host = mesh.hosts[0]
    changed = host.sidecar.config._replace(inbound=(host.address, INBOUND + 9))
    host.sidecar.adapter = host.sidecar.adapter._replace(
        reload_config=lambda: changed
    )
    mesh.advance(2)
    drain_sidecar(host.sidecar)
    mesh.advance(2.5)
    assert (host.address, INBOUND) not in mesh.net.sites
    mesh.advance(GRACE_S - 2.5)
    assert host.has_exited


@pytest.mark.parametrize('grace_s', [2, 3, 4, 6, 20])
def test_no_request_is_cut_or_ended_early_by_another_grace_period(grace_s):
    mesh = ready_mesh('api', 'web')
    host = mesh.hosts[0]
    mesh.hosts[1].target.fault = 'silent'
    mesh.configure(2, routes=[route('slow', 'safe', 'web', timeout='30s')])
    mesh.advance(1)
    sidecar = host.sidecar
    sidecar.config = sidecar.config._replace(termination_grace_s=grace_s)
    sent = [mesh.send(host, '/slow/x', wait_ms=30_000)]
    mesh.advance(STEP_S / 2)
    drain_sidecar(sidecar)
    started_at = mesh.reactor.seconds()
    while (host.address, OUTBOUND) in mesh.net.sites:
        sent.append(mesh.send(host, '/slow/x', wait_ms=30_000))
        mesh.advance(0.05)
    mesh.advance(GRACE_S)
    assert {each.status for each in sent} == {503, 504}
    broken_off_at = [each.ended_at for each in sent if each.status == 504]
    assert min(broken_off_at) - started_at >= grace_s * 5 / 6
    assert host.reactor.stopped_at - started_at < grace_s - EXIT_S


@pytest.mark.parametrize('stands_still_at', [5.0, 5.1, 5.2, 5.3, 5.4])
def test_answers_are_sent_though_the_loop_is_late_at_the_exit(stands_still_at):
    mesh = ready_mesh('api', 'web')
    host = mesh.hosts[0]
    mesh.hosts[1].target.fault = 'silent'
    mesh.configure(2, routes=[route('slow', 'safe', 'web', timeout='9s')])
    mesh.advance(1)
    sent = mesh.send(host, '/slow/x', wait_ms=9000)
    mesh.advance(STEP_S / 2)
    drain_sidecar(host.sidecar)
    mesh.advance(stands_still_at)
    mesh.reactor.advance(0.5)
    mesh.advance(GRACE_S - 0.5 - stands_still_at)
    assert host.has_exited
    assert sent.status == 504


UPLOAD = b'x' * 80_000
LINK_BYTES_PER_S = 100_000
TARGET_DRAIN_S = 1.5


def send_upload(mesh, before_drain_s):
    """Send a body of 0.8 s to the first node, and let its gate drain then."""
    host = mesh.hosts[0]
    mesh.net.limit((host.address, INBOUND), LINK_BYTES_PER_S)
    host.sidecar.gate.body_grants.link_bytes_per_s = LINK_BYTES_PER_S
    sender = mesh.add_host('api')
    mesh.configure(2, routes=[route('big', 'upload', 'web', timeout='6s')])
    mesh.advance(1)
    drain_sidecar(host.sidecar)
    mesh.advance(TARGET_DRAIN_S - before_drain_s)
    return mesh.send(
        sender, '/big/x', method=b'POST', body=UPLOAD, wait_ms=6000
    )


@pytest.mark.parametrize('before_drain_s', [0.1, 0.4, 0.7])
def test_body_that_is_arriving_as_the_target_drains_is_not_refused(
    before_drain_s,
):
    mesh = ready_mesh('web')
    sent = send_upload(mesh, before_drain_s)
    mesh.advance(GRACE_S - TARGET_DRAIN_S)
    assert mesh.hosts[0].has_exited
    assert sent.status == 200
    assert mesh.runs(sent.request_id) == 1


def test_request_that_waits_with_its_body_at_the_exit_is_refused_as_not_run():
    mesh = ready_mesh('web', slots=1)
    host = mesh.hosts[0]
    sent = send_upload(mesh, 0.4)
    mesh.advance(0.2)
    host.target.work_s = 9
    kept = mesh.send(host, '/big/y', method=b'POST', wait_ms=9000)
    mesh.advance(GRACE_S)
    assert host.has_exited
    assert kept.status == 504
    assert sent.status == 503
    assert not mesh.runs(sent.request_id)


class ClosedPort:
    """A port that has been closed before; Twisted cannot read it any more."""

    def doRead(self):
        """Fail."""
        raise AssertionError

    def stopListening(self):
        """Do nothing."""


def test_port_that_was_closed_before_is_not_read_again():
    clock = Clock()
    assert close_port(ClosedPort(), clock).called
    clock.advance(1)
