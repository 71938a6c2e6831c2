"""Requests from end to end through sidecars, with stand-ins in memory."""

import pytest

from marjoramlead.lifecycle import drain_sidecar
from marjoramlead.store_watcher import note_reported_revision
from standins.platform_store import put
from tests.platform_mesh import INBOUND, STORE, TARGET, ready_mesh, route
from tests.samples import rev


def test_request_is_answered_by_its_target():
    mesh = ready_mesh('web', 'api')
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.5)
    assert sent.status == 200
    assert sent.reply.body == sent.request_id.encode()
    assert sent.header(b'x-server-seal') == 'seal'
    arrival = mesh.hosts[0].target.arrivals[0]
    assert arrival.caller == 'api'
    assert 0 < arrival.wait_ms <= 1000


@pytest.mark.parametrize('fault', ['reset', 'unsealed', 'silent'])
@pytest.mark.parametrize('path', ['/once/x', '/scan/x'])
def test_non_idempotent_request_is_not_retried(fault, path):
    mesh = ready_mesh('web', 'web')
    for host in mesh.hosts:
        host.target.fault = fault
    sent = mesh.send(mesh.hosts[0], path, method=b'POST', body=b'x')
    mesh.advance(3)
    assert sent.status in {502, 504}
    assert mesh.runs(sent.request_id) == 1


def test_idempotent_request_is_retried_after_a_reset():
    mesh = ready_mesh('web', 'web')
    mesh.hosts[0].target.fault = 'reset'
    sent = mesh.send(mesh.hosts[0])
    mesh.advance(2)
    assert sent.status == 200
    assert mesh.runs(sent.request_id) == 2


def test_extra_response_is_not_taken_for_the_next_one():
    mesh = ready_mesh('web')
    target = mesh.hosts[0].target
    target.fault = 'extra'
    first = mesh.send(mesh.hosts[0])
    mesh.advance(0.12)
    target.fault = ''
    second = mesh.send(mesh.hosts[0])
    mesh.advance(1)
    assert first.reply.body == first.request_id.encode()
    assert second.reply.body == second.request_id.encode()


def test_unknown_route_is_not_found_and_missing_table_is_unavailable():
    mesh = ready_mesh('web')
    unknown = mesh.send(mesh.hosts[0], '/none/x')
    mesh.advance(0.1)
    assert unknown.status == 404
    mesh.store.is_silent = True
    mesh.start(mesh.hosts[0])
    fresh = mesh.send(mesh.hosts[0])
    mesh.advance(0.1)
    assert fresh.status == 503


def test_unknown_route_is_unavailable_on_a_node_that_is_behind():
    mesh = ready_mesh('web', 'web')
    behind = mesh.hosts[0]
    note_reported_revision(
        behind.sidecar.store_watcher,
        rev(mesh.store.revision + 1, mesh.store.era),
    )
    sent = mesh.send(behind, '/none/x')
    mesh.advance(0.1)
    assert sent.status == 503
    assert sent.header(b'retry-after')


def test_unknown_route_is_unavailable_if_another_node_has_newer_routes():
    mesh = ready_mesh('web', 'web')
    ahead = mesh.hosts[1].sidecar.mesh_state
    ahead.table = ahead.table._replace(version=2)
    for _request in range(8):
        mesh.send(mesh.hosts[1])
        mesh.advance(0.05)
    refused = mesh.send(mesh.hosts[0], '/none/x')
    mesh.advance(0.1)
    assert refused.status == 503
    mesh.configure(2)
    mesh.advance(2)
    unknown = mesh.send(mesh.hosts[0], '/none/x')
    mesh.advance(0.1)
    assert unknown.status == 404


def test_unknown_route_is_unavailable_once_the_table_may_be_replaced():
    mesh = ready_mesh('web', 'web')
    mesh.store.is_silent = True
    mesh.advance(3)
    sent = mesh.send(mesh.hosts[0], '/none/x')
    mesh.advance(0.1)
    assert sent.status == 503


def test_target_never_runs_more_requests_than_it_has_slots():
    mesh = ready_mesh('web', 'api', slots=3)
    sent = [mesh.send(mesh.hosts[number % 2]) for number in range(40)]
    mesh.advance(3)
    assert mesh.hosts[0].target.most_running <= 3
    assert {each.status for each in sent} == {200, 503}
    assert all(
        mesh.runs(each.request_id) == (each.status == 200) for each in sent
    )


def test_request_is_offered_once_to_an_overloaded_target():
    mesh = ready_mesh('web', 'api', slots=1, work_s=0.3)
    for _each in range(3):
        mesh.send(mesh.hosts[1])
        mesh.advance(0.5)
    mesh.send(mesh.hosts[1])
    mesh.advance(0.01)
    overload_offers = mesh.hosts[1].sidecar.metrics.offers.labels('overload')
    count = overload_offers._value.get()
    sent = mesh.send(mesh.hosts[1], wait_ms=400)
    mesh.advance(0.05)
    assert sent.status == 503
    assert overload_offers._value.get() == count + 1


def test_request_of_an_overloaded_service_is_offered_to_few_targets():
    mesh = ready_mesh(
        *('web' for _host in range(8)), 'api', slots=1, work_s=0.3
    )
    sender = mesh.hosts[-1]
    for duration_s in (0.5, 0.5, 0.5, 0.01):
        for _target in range(8):
            mesh.send(sender)
        mesh.advance(duration_s)
    offers = sender.sidecar.metrics.offers.labels('overload')
    count = offers._value.get()
    sent = mesh.send(sender, wait_ms=400)
    mesh.advance(0.05)
    assert sent.status == 503
    assert sent.header(b'retry-after')
    assert 1 <= offers._value.get() - count <= 3


def test_request_is_offered_to_one_target_once_an_overload_is_known():
    mesh = ready_mesh(
        *('web' for _host in range(8)), 'api', slots=1, work_s=0.3
    )
    sender = mesh.hosts[-1]
    for duration_s in (0.5, 0.5, 0.5, 0.05):
        for _request in range(16):
            mesh.send(sender)
        mesh.advance(duration_s)
    offers = sender.sidecar.metrics.offers.labels('overload')
    count = offers._value.get()
    sent = mesh.send(sender)
    mesh.advance(0.05)
    assert sent.status == 503
    assert offers._value.get() == count + 1


def test_refusal_is_immediate_and_has_retry_after():
    mesh = ready_mesh('web', slots=1)
    sent = [mesh.send(mesh.hosts[0], wait_ms=900) for _each in range(30)]
    mesh.advance(0.05)
    refused = [each for each in sent if each.status == 503]
    assert len(refused) >= 20
    delays = [float(each.header(b'retry-after')) for each in refused]
    assert all(0 < delay <= 2 for delay in delays)
    assert max(delays) > 0.9


def test_refused_client_is_served_if_it_returns_when_told():
    mesh = ready_mesh('web', slots=1)
    paths = [f'/safe/{number}' for number in range(30)]
    sent = [mesh.send(mesh.hosts[0], path, wait_ms=900) for path in paths]
    mesh.advance(0.05)
    delays = {
        path: float(each.header(b'retry-after'))
        for path, each in zip(paths, sent, strict=True)
        if each.status == 503
    }
    assert delays
    assert all(delay > 0 for delay in delays.values())
    returned = []
    for path in sorted(delays, key=delays.get):
        left_ms = int(900 - 1000 * delays[path])
        if left_ms > 200:
            elapsed = mesh.reactor.seconds() - sent[0].sent_at
            mesh.advance(max(0, delays[path] - elapsed))
            returned.append(mesh.send(mesh.hosts[0], path, wait_ms=left_ms))
    mesh.advance(1)
    assert returned
    assert {each.status for each in returned} == {200}


def test_only_an_overloaded_target_grants_a_reservation():
    mesh = ready_mesh('web', 'api')
    mesh.publish(mesh.hosts[0], state='draining')
    mesh.advance(1)
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.1)
    assert sent.status == 503
    assert sent.header(b'retry-after')
    refused = mesh.hosts[1].sidecar.frontend.refused_attempts.by_key
    assert [each.return_at for each in refused.values()] == [float('inf')]


def test_draining_target_gets_no_new_requests():
    mesh = ready_mesh('web', 'web')
    mesh.publish(mesh.hosts[0], state='draining')
    mesh.advance(1)
    before = len(mesh.hosts[0].target.arrivals)
    sent = [mesh.send(host) for host in mesh.hosts for _each in range(4)]
    mesh.advance(2)
    assert len(mesh.hosts[0].target.arrivals) == before
    assert all(each.status == 200 for each in sent)
    for host in mesh.hosts:
        offers = host.sidecar.metrics.offers.labels('draining')
        assert not offers._value.get()


def test_evacuated_data_centre_gets_no_requests():
    mesh = ready_mesh('web', 'web')
    put(mesh.store, 'op/evacuate/a', {})
    mesh.advance(1)
    sent = [mesh.send(host) for host in mesh.hosts for _each in range(4)]
    mesh.advance(2)
    assert not mesh.hosts[0].target.arrivals
    assert all(each.status == 200 for each in sent)


def test_node_without_store_gets_updates_from_a_peer():
    mesh = ready_mesh('web', 'web')
    cut_off = mesh.hosts[0].sidecar
    cut_off.store_watcher.store.list_all = _refused
    cut_off.store_watcher.store.watch = _refused
    mesh.advance(4)
    mesh.configure(2, routes=[route('new', 'safe', 'web')])
    mesh.advance(2)
    sent = mesh.send(mesh.hosts[0], '/new/x')
    mesh.advance(1)
    assert sent.status == 200


async def _refused(*_arguments):
    from expression import Error

    from marjoramlead.errors import Fault

    return Error(Fault('refused', 'status 503'))


def test_cold_target_is_rate_limited():
    mesh = ready_mesh('web', 'api', slots=9)
    target = mesh.hosts[0].target
    target.cold_until = mesh.reactor.seconds() + 3
    mesh.publish(mesh.hosts[0], cold='3000ms')
    mesh.advance(0.5)
    before = len(target.arrivals)
    for _step in range(20):
        for host in mesh.hosts:
            mesh.send(host)
            mesh.send(host)
        mesh.advance(0.05)
    assert len(target.arrivals) - before <= 11 * 1.5 + 5


def test_disconnected_sender_is_not_logged_as_bug(monkeypatch):
    logged = []
    monkeypatch.setattr(
        'marjoramlead.peer_requests.emit',
        lambda kind, **_rest: logged.append(kind),
    )
    mesh = ready_mesh('web', 'api', work_s=0.5)
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.1)
    sent.pending.cancel()
    mesh.advance(0.3)
    assert mesh.hosts[0].target.disconnected == [sent.request_id]
    assert 'bug' not in logged


def test_client_disconnect_cancels_the_work():
    mesh = ready_mesh('web', 'api')
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.03)
    sent.pending.cancel()
    mesh.advance(0.03)
    assert mesh.hosts[0].target.disconnected == [sent.request_id]


def test_reset_connection_between_nodes_loses_no_request():
    mesh = ready_mesh('web', 'api')
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST', body=b'x')
    mesh.advance(0.03)
    mesh.net.reset((mesh.hosts[0].address, INBOUND))
    mesh.advance(1)
    assert sent.status == 200
    assert mesh.runs(sent.request_id) == 1


def test_silent_connection_between_nodes_loses_no_request():
    mesh = ready_mesh('web', 'api')
    mesh.send(mesh.hosts[1])
    mesh.advance(0.5)
    mesh.net.silence((mesh.hosts[0].address, INBOUND))
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST', body=b'x')
    mesh.advance(1)
    assert sent.status == 200
    assert mesh.runs(sent.request_id) == 1


def test_lost_hop_is_logged_with_the_stages_that_it_reached(monkeypatch):
    lost = []
    monkeypatch.setattr(
        'marjoramlead.hop_client.emit',
        lambda _kind, **fields: lost.append(fields),
    )
    mesh = ready_mesh('web', 'api')
    mesh.send(mesh.hosts[1])
    mesh.advance(0.5)
    mesh.net.silence((mesh.hosts[0].address, INBOUND))
    mesh.send(mesh.hosts[1])
    mesh.advance(1)
    assert len(lost) == 1
    assert lost[0]['connected_ms'] == 0
    assert lost[0]['acknowledged_ms'] is None
    assert 390 <= lost[0]['lost_ms'] <= 420


def test_shutdown_finishes_requests_and_closes_connections():
    mesh = ready_mesh('web', 'web')
    sent = mesh.send(mesh.hosts[0])
    mesh.advance(0.02)
    drain_sidecar(mesh.hosts[0].sidecar)
    later = mesh.send(mesh.hosts[0])
    mesh.advance(1)
    assert sent.status == 200
    assert later.status == 200
    assert later.header(b'connection') == 'close'
    mesh.advance(3)
    assert mesh.hosts[0].has_exited


def test_shutdown_loses_no_request_of_another_node():
    mesh = ready_mesh('web', 'web')
    drain_sidecar(mesh.hosts[0].sidecar)
    sent = []
    while not mesh.hosts[0].has_exited:
        sent.append(mesh.send(mesh.hosts[1], '/once/x', method=b'POST'))
        mesh.advance(0.03)
    ports = [link.port for link in mesh.net.connections]
    assert (mesh.hosts[0].address, INBOUND) not in ports
    mesh.advance(1)
    assert {each.status for each in sent} == {200}


def test_shutdown_accepts_only_requests_that_can_finish():
    mesh = ready_mesh('web', 'web')
    drain_sidecar(mesh.hosts[0].sidecar)
    sent = []
    while not mesh.hosts[0].has_exited:
        sent.append(mesh.send(mesh.hosts[0]))
        mesh.advance(0.1)
    assert {each.status for each in sent if each.sent_at < 3.7} == {200}
    assert all(each.status in {200, 503} for each in sent)
    start_s, notice_s, response_s = 1, 3, 1
    assert mesh.reactor.seconds() <= start_s + notice_s + response_s


def test_traffic_split_is_within_one_request_of_its_weights():
    mesh = ready_mesh('web', 'api')
    split = [{'Service': 'web', 'Weight': 70}, {'Service': 'api', 'Weight': 30}]
    mesh.configure(2, routes=[route('split', 'safe', None, split)])
    mesh.advance(1)
    for _each in range(100):
        mesh.send(mesh.hosts[0], '/split/x')
        mesh.advance(0.1)
    assert abs(len(mesh.hosts[0].target.arrivals) - 70) <= 1


def test_target_that_loses_responses_is_not_treated_as_cold():
    mesh = ready_mesh('web', slots=9, probe_s=0.1)
    target = mesh.hosts[0].target
    target.fault = 'reset'
    first = [mesh.send(mesh.hosts[0], '/once/x') for _number in range(9)]
    mesh.advance(0.11)
    target.fault = ''
    sent = [mesh.send(mesh.hosts[0], '/once/x') for _each in range(9)]
    mesh.advance(0.02)
    probe_slots = 1
    expected = len(first) + len(sent) - probe_slots
    assert len(target.arrivals) == expected


def test_body_of_a_refused_upload_is_not_sent_to_another_node():
    mesh = ready_mesh('web', 'api', slots=1, work_s=0.35)
    body = b'x' * 50_000
    mesh.send(mesh.hosts[1], '/scan/x', method=b'POST', body=body)
    mesh.advance(1)
    first = mesh.send(mesh.hosts[1], '/scan/x', method=b'POST', body=body)
    mesh.advance(0.05)
    assert mesh.hosts[0].target.running == 1
    inbound = (mesh.hosts[0].address, INBOUND)
    before = mesh.net.received[inbound]
    second = mesh.send(
        mesh.hosts[1], '/scan/x', 500, body, b'POST'
    )  # fmt: skip
    mesh.advance(2)
    assert (first.status, second.status) == (200, 503)
    assert mesh.net.received[inbound] - before < len(body)


def test_request_is_not_run_by_another_target_at_the_same_address():
    mesh = ready_mesh('web', 'api')
    mesh.hosts[0].target.target_id = 'i-other'
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(1)
    assert sent.status == 503
    assert not mesh.runs(sent.request_id)


def test_target_that_expired_in_a_store_outage_is_kept_for_two_seconds():
    mesh = ready_mesh('web', 'api')
    mesh.store.error_status = 503
    mesh.advance(5)
    mesh.withdraw(mesh.hosts[0])
    mesh.store.error_status = 0
    mesh.advance(1.5)
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.5)
    assert sent.status == 200
    mesh.advance(3)
    gone = mesh.send(mesh.hosts[1])
    mesh.advance(0.5)
    assert gone.status == 503


def test_records_are_listed_again_if_the_store_lost_its_history():
    mesh = ready_mesh('web', 'web')
    mesh.store.compacted_revision = mesh.store.revision + 1
    mesh.withdraw(mesh.hosts[0])
    mesh.store.history.clear()
    mesh.store.pending_watches.clear()
    mesh.net.reset(STORE)
    mesh.store.compacted_revision = mesh.store.revision
    mesh.advance(4)
    assert set(mesh.hosts[1].sidecar.mesh_state.targets) == {'servers/i-1'}


def test_refused_connection_to_target_is_retried():
    mesh = ready_mesh('web', 'web')
    mesh.net.refusing_ports.add((mesh.hosts[0].address, TARGET))
    sent = [mesh.send(mesh.hosts[0], '/once/x') for _each in range(3)]
    mesh.advance(1)
    assert [each.status for each in sent] == [200, 200, 200]
