import msgspec

from tests.mesh import GUARD, TARGET, Mesh
from tests.samples import contract_text, hosts_text


def only_result(call):
    assert len(call.ended) == 1
    return call.ended[0]


def test_call_gets_a_complete_response():
    mesh = Mesh()
    call = mesh.call(0)
    mesh.net.advance(0.2)
    ended = only_result(call)
    assert (ended.status, ended.verdict) == (200, 'ran')
    assert msgspec.json.decode(ended.body)['id'] == call.request_id


def test_upload_body_arrives_complete():
    mesh = Mesh()
    call = mesh.call(0, 'PUT', '/scans/1', size=200_000)
    mesh.net.advance(0.5)
    assert msgspec.json.decode(only_result(call).body)['bytes'] == 200_000


def test_key_repeated_at_another_node_runs_once():
    mesh = Mesh()
    first = mesh.call(0, 'POST', '/bookings', key='k')
    mesh.net.advance(0.2)
    again = mesh.call(1, 'POST', '/bookings', key='k')
    mesh.net.advance(0.2)
    assert only_result(first).status == 200
    assert only_result(again).verdict == 'may_have_run'
    assert mesh.ran['k'] == 1


def test_call_skips_a_target_that_refuses_connections():
    for seed in range(6):
        mesh = Mesh(seed=seed)
        mesh.net.refusing_ports = {TARGET}
        call = mesh.call(0, 'POST', '/bookings')
        mesh.net.advance(0.2)
        assert only_result(call).status == 200
        assert mesh.ran[call.request_id] == 1


def test_call_is_not_run_if_all_targets_refuse_connections():
    mesh = Mesh()
    mesh.net.refusing_ports = {TARGET + node for node in range(mesh.nodes)}
    call = mesh.call(0, 'POST', '/bookings')
    mesh.net.advance(0.2)
    assert only_result(call).verdict == 'not_run'
    assert not mesh.ran


def test_state_of_unlisted_hosts_is_removed():
    mesh = Mesh()
    mesh.call(0)
    mesh.net.advance(0.2)
    states = mesh.gateways[0].routing.states.by_host
    assert states
    mesh.publish('hosts/walsall', hosts_text('walsall', []))
    mesh.publish('hosts/lichfield', hosts_text('lichfield', []))
    mesh.call(0)
    mesh.net.advance(0.2)
    assert not states


def test_call_on_a_silent_connection_may_have_run():
    mesh = Mesh(nodes=1)
    call = mesh.call(0, 'POST', '/bookings')
    mesh.net.pump()
    mesh.net.silence(TARGET)
    mesh.net.advance(6)
    assert only_result(call).verdict == 'may_have_run'
    assert mesh.ran[call.request_id] == 1


def test_lookup_is_retried_after_connection_reset():
    mesh = Mesh()
    call = mesh.call(0)
    mesh.net.pump()
    for node in range(mesh.nodes):
        mesh.net.reset(GUARD + node)
    mesh.net.advance(0.3)
    assert only_result(call).status == 200


def test_data_centre_that_is_out_gets_no_calls():
    mesh = Mesh()
    mesh.take_out('walsall')
    calls = [mesh.call(node % 4) for node in range(8)]
    mesh.net.advance(0.3)
    assert {only_result(call).status for call in calls} == {200}
    assert not mesh.targets[0].answers
    assert not mesh.targets[2].answers


def test_leaving_target_gets_no_new_calls():
    mesh = Mesh()
    mesh.publish_hosts(leaving=frozenset((1, 3)))
    calls = [mesh.call(node % 4) for node in range(8)]
    mesh.net.advance(0.3)
    assert {only_result(call).status for call in calls} == {200}
    assert not mesh.targets[1].answers + mesh.targets[3].answers


def test_cold_targets_are_never_overloaded():
    mesh = Mesh()
    for _round in range(20):
        for node in range(4):
            mesh.call(node)
            mesh.call(node, 'POST', '/bookings')
        mesh.net.advance(0.05)
    mesh.net.advance(6)
    assert not mesh.total_collapses()
    assert all(len(call.ended) == 1 for call in mesh.calls)


def test_overload_refusal_has_retry_after():
    mesh = Mesh(nodes=1, queue=0)
    calls = [mesh.call(0) for _call in range(5)]
    mesh.net.pump()
    refused = [only_result(call) for call in calls if call.ended]
    assert len(refused) == 3
    for ended in refused:
        assert (ended.status, ended.verdict) == (503, 'not_run')
        assert int(ended.retry_after) >= 1


def test_mesh_headers_sent_by_a_caller_are_dropped():
    mesh = Mesh(nodes=1)
    for name in ('Claim', 'Reserve', 'Release'):
        mesh.call(0, **{f'X_Marjoram_{name}': 'x'})
    mesh.net.advance(0.3)
    assert {only_result(call).status for call in mesh.calls} == {200}
    assert not mesh.guards[0].reserved_slots


def test_invalid_wait_header_is_ignored():
    mesh = Mesh(nodes=1)
    mesh.call(0, X_Marjoram_Wait_Ms='9' * 5000)
    mesh.call(0, X_Marjoram_Wait_Ms='soon')
    mesh.net.advance(0.3)
    assert {only_result(call).status for call in mesh.calls} == {200}


def test_caller_may_shorten_the_wait_limit():
    mesh = Mesh(nodes=1)
    call = mesh.call(0, 'POST', '/bookings', X_Marjoram_Wait_Ms='20')
    mesh.net.advance(0.1)
    assert only_result(call).verdict == 'not_run'
    assert not mesh.ran[call.request_id]
    assert int((only_result(call).at - call.started_at) * 1000) <= 50


def test_call_keeps_the_contract_in_force_at_its_start():
    mesh = Mesh(nodes=1)
    call = mesh.call(0)
    mesh.net.pump()
    mesh.publish('contracts/tamworth', contract_text(queue=1))
    mesh.publish_hosts(leaving=(0,))
    mesh.net.advance(0.2)
    assert only_result(call).status == 200


def test_upload_does_not_delay_a_lookup():
    mesh = Mesh(nodes=1)
    first = mesh.call(0, 'PUT', '/scans/1', size=300_000)
    second = mesh.call(0)
    mesh.net.advance(0.5)
    assert (only_result(first).status, only_result(second).status) == (200, 200)
