"""Operator endpoints of the sidecar, and the check of its settings."""

import json

import pytest

from marjoramlead.cli import app
from marjoramlead.rendering import sidecar_lines
from marjoramlead.upstream import ConnectionPool, OutgoingRequest, send
from standins.platform_store import put
from tests.platform_mesh import METRICS, ready_mesh

SETTINGS = {
    'host': 'h-1',
    'data_centre': 'a',
    'service': 'web',
    'target': '10.0.0.1:8301',
    'outbound': '10.0.0.1:8304',
    'inbound': '10.0.0.1:8300',
    'ready': '10.0.0.1:8302',
    'metrics_port': 9464,
    'store': '10.200.0.1:8309',
    'seeds': [],
    'heartbeat': '1500ms',
    'bounds': {'Grace': '6s', 'RetryBudgetRatio': 0.2},
}


def get(mesh, host, path):
    from twisted.internet.defer import Deferred

    pool = ConnectionPool(
        mesh.reactor, (host.address, METRICS), 0, mesh.connect
    )
    outgoing = OutgoingRequest(b'GET', path.encode(), [(b'Host', b'x')], b'')
    results = []
    Deferred.fromCoroutine(send(pool, outgoing)).addCallback(results.append)
    mesh.advance(0.1)
    return results[0].ok


def test_status_shows_target_states_and_age_of_mesh_state():
    mesh = ready_mesh('web', 'web', 'api')
    mesh.publish(mesh.hosts[0], state='draining')
    put(mesh.store, 'op/evacuate/b', {})
    mesh.advance(1)
    status = json.loads(get(mesh, mesh.hosts[2], '/status').body)
    states = {each['target_id']: each['state'] for each in status['targets']}
    assert states == {'i-0': 'draining', 'i-1': 'out', 'i-2': 'usable'}
    assert status['out'] == ['b']
    assert status['news_age_s'] < 5
    shown = '\n'.join(sidecar_lines(status))
    assert 'data centres out: b' in shown
    assert f'era {mesh.store.era} ' in shown
    assert 'draining' in shown


def test_refused_request_is_found_by_its_id_and_counted():
    mesh = ready_mesh('api')
    sent = mesh.send(mesh.hosts[0])
    mesh.advance(0.5)
    assert sent.status == 503
    path = f'/refusals/{sent.request_id}'
    refusal = json.loads(get(mesh, mesh.hosts[0], path).body)
    assert refusal['reason'] == 'no_target'
    text = get(mesh, mesh.hosts[0], '/metrics').body.decode()
    assert 'reason="no_target",service="web"} 1.0' in text
    assert get(mesh, mesh.hosts[0], '/refusals/other').status == 404


def test_metrics_count_traffic_by_purpose():
    mesh = ready_mesh('web', 'api')
    mesh.send(mesh.hosts[1], method=b'POST', body=b'x' * 1000)
    mesh.advance(0.5)
    text = get(mesh, mesh.hosts[1], '/metrics').body.decode()
    traffic = {
        (purpose, direction): _sample(
            text,
            'marjoramlead_traffic_bytes_total'
            f'{{direction="{direction}",purpose="{purpose}"}}',
        )
        for purpose in ('store', 'hop')
        for direction in ('sent', 'received')
    }
    assert 0 < traffic['store', 'sent'] < traffic['store', 'received']
    assert traffic['hop', 'sent'] > 1000
    assert traffic['hop', 'received'] > 0
    assert _sample(text, 'marjoramlead_hop_acknowledgement_seconds_count') == 1


def _sample(text, name):
    return next(
        float(line.removeprefix(f'{name} '))
        for line in text.splitlines()
        if line.startswith(f'{name} ')
    )


def write_settings(folder, **changed):
    path = folder / 'node.json'
    document = {**SETTINGS, **changed}
    path.write_text(f'// rendered\n{json.dumps(document)}')
    return path


def run_cli(*args):
    with pytest.raises(SystemExit) as exited:
        app([str(arg) for arg in args])
    return exited.value.code or 0


def test_valid_settings_pass_the_check(tmp_path, capsys):
    assert run_cli('check-settings', write_settings(tmp_path)) == 0
    assert 'settings are valid' in capsys.readouterr().out


@pytest.mark.parametrize(
    ('changed', 'reason'),
    [
        ({'target': 'here'}, 'is not an IPv4 address'),
        ({'heartbeat': '1500'}, 'has no unit'),
        ({'host': 5}, 'host'),
        ({'bounds': []}, 'bounds'),
        ({'seeds': ['x']}, 'is not an IPv4 address'),
    ],
)
def test_invalid_settings_are_reported_with_file_and_reason(
    tmp_path, capsys, changed, reason
):
    path = write_settings(tmp_path, **changed)
    assert run_cli('check-settings', path) == 1
    errors = capsys.readouterr().err
    assert str(path) in errors
    assert reason in errors
    assert len(errors.splitlines()) == 1
