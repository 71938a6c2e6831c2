"""Limits on clients: bodies that stop, and connections that are left open."""

import json
from itertools import repeat
from pathlib import Path

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from marjoramlead.body_progress import (
    DISCARD_S,
    MIN_BODY_BYTES_PER_S,
    PROGRESS_WINDOW_S,
    BodyProgress,
    has_stalled,
)
from marjoramlead.client_limits import MINIMA, ProcessLimits, client_limits
from marjoramlead.http_server import make_site
from marjoramlead.memory_budget import MemoryBudget
from marjoramlead.problems import json_response
from tests.platform_mesh import route
from tests.test_memory_budget import make_small_host, send_raw

STEP_S = 0.25
LENGTH = 20_000


def play(arrivals, is_awaited=True, step_s=STEP_S):
    """Return the time at which a body is judged to have stalled, or None."""
    progress = BodyProgress(0, 0, PROGRESS_WINDOW_S, 0, 0)
    for step, size in enumerate(arrivals, start=1):
        progress.received += size
        now = step * step_s
        if has_stalled(
            progress, MIN_BODY_BYTES_PER_S, now, is_awaited=is_awaited
        ):
            return now
    return None


def test_body_that_stops_is_ended_after_the_window():
    assert play(repeat(0, 1000)) == PROGRESS_WINDOW_S
    assert play([LENGTH, *repeat(0, 1000)]) == 2 * PROGRESS_WINDOW_S


def test_slow_body_goes_on_as_long_as_enough_arrives():
    enough = MIN_BODY_BYTES_PER_S * STEP_S
    assert play(repeat(enough, 1000)) is None
    assert play(repeat(enough - 1, 1000)) == PROGRESS_WINDOW_S


def test_client_that_must_wait_has_not_stopped():
    assert play(repeat(0, 1000), is_awaited=False) is None


def test_client_has_not_stopped_while_the_host_was_suspended():
    assert play(repeat(0, 100), step_s=PROGRESS_WINDOW_S) is None


def make_patient_host():
    """Return a mesh of one host with a route that waits for long."""
    mesh = make_small_host()
    mesh.configure(2, routes=[route('long', 'upload', 'web', timeout='60s')])
    mesh.advance(1)
    return mesh


@pytest.mark.parametrize(
    'fields',
    [b'Content-Length: %d' % LENGTH, b'Transfer-Encoding: chunked'],
)
def test_client_that_stops_is_told_that_its_request_has_not_run(fields):
    mesh = make_patient_host()
    chunk = b'1000\r\n%s\r\n' % bytes(4096)
    caller = send_raw(mesh, fields, chunk, b'/long/x')
    mesh.advance(PROGRESS_WINDOW_S - 1)
    assert not caller.received
    mesh.advance(PROGRESS_WINDOW_S + 2)
    assert caller.received.startswith(b'HTTP/1.1 408 ')
    assert b'body_stalled' in caller.received
    assert b'Connection: close' in caller.received


def test_slow_client_is_served():
    mesh = make_patient_host()
    caller = send_raw(mesh, b'Content-Length: %d' % LENGTH, path=b'/long/x')
    for _step in range(20):
        mesh.advance(1)
        caller.transport.write(bytes(LENGTH // 20))
    mesh.advance(1)
    assert caller.received.startswith(b'HTTP/1.1 200 ')


def open_connections(count, site):
    """Return the transports of new connections."""
    transports = []
    for _connection in range(count):
        channel = site.buildProtocol(None)
        transports.append(StringTransport())
        channel.makeConnection(transports[-1])
    return transports


def make_limited_site(budget=None):
    site = make_site(lambda _req: None, Clock(), budget=budget)
    site.clients.limits = ProcessLimits(12)
    return site


def closed(transports):
    return [transport.disconnecting for transport in transports]


def test_connection_beyond_the_limit_takes_the_place_of_the_oldest_idle_one():
    site = make_limited_site()
    transports = open_connections(3, site)
    oldest = next(iter(site.idle))
    oldest.dataReceived(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    transports += open_connections(2, site)
    assert closed(transports) == [False, True, True, False, False]
    assert len(site.channels) == 3
    assert site.clients.closed_idle == 2


def test_connection_is_refused_if_all_others_are_in_use():
    site = make_limited_site()
    transports = open_connections(3, site)
    for channel in list(site.channels):
        channel.dataReceived(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    transports += open_connections(1, site)
    assert closed(transports) == [False, False, False, True]
    assert site.clients.refused_connections == 1


def test_connection_takes_the_place_of_a_body_that_does_not_go_on():
    site = make_limited_site()
    open_connections(3, site)
    for channel in list(site.channels):
        channel.dataReceived(b'PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx')
    channels = list(site.channels)
    for _step in range(8):
        site.clock.advance(0.25)
        channels[0].dataReceived(b'x')
        site.end_stalled_bodies()
    open_connections(1, site)
    ended = [each.transport.disconnecting for each in channels]
    assert ended.count(True) == 1
    assert not ended[0]


def refuse_body(site):
    """Return a connection of which a body was refused, and its transport."""
    site._handler = lambda req: req.send_response(json_response(503, {}))
    transport = open_connections(1, site)[0]
    channel = next(iter(site.channels))
    channel.dataReceived(b'PUT / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n')
    return channel, transport


# RECOVER: connections of refused bodies counted as long as these went on.
def test_rest_of_a_refused_body_is_read_for_a_limited_time():
    site = make_limited_site()
    channel, transport = refuse_body(site)
    steps = 0
    while not transport.disconnecting:
        site.clock.advance(0.25)
        channel.dataReceived(bytes(1_000))
        site.end_stalled_bodies()
        steps += 1
    assert steps * 0.25 == DISCARD_S
    assert transport.value().startswith(b'HTTP/1.1 503 ')
    assert site.clients.ended_bodies == {'refused': 1}


def test_refused_bodies_are_read_at_a_limited_rate():
    site = make_limited_site()
    limits = site.clients.limits._replace(discarded_bytes_per_s=1_000_000)
    site.clients.limits = limits
    channel, transport = refuse_body(site)
    read = 0
    for _step in range(1_000):
        if transport.producerState == 'producing':
            channel.dataReceived(bytes(50_000))
            read += 50_000
        site.clock.advance(0.01)
    assert 9_000_000 <= read <= 10_200_000
    assert site.clients.discarded.waits
    assert not transport.disconnecting


def test_refused_body_makes_way_for_a_new_connection():
    site = make_limited_site()
    _channel, transport = refuse_body(site)
    open_connections(2, site)
    for channel in list(site.idle):
        channel.dataReceived(b'GET / HTTP/1.1\r\nHost: h\r\n')
        site.idle.pop(channel, None)
    site.clock.advance(1)
    site.end_stalled_bodies()
    open_connections(1, site)
    assert transport.disconnecting
    assert site.clients.ended_bodies == {'port_full': 1}


def test_body_that_the_node_has_not_asked_for_is_kept():
    site = make_limited_site()
    transports = open_connections(3, site)
    for channel in list(site.channels):
        channel.dataReceived(
            b'PUT / HTTP/1.1\r\nContent-Length: 9\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
    for _step in range(8):
        site.clock.advance(0.25)
        site.end_stalled_bodies()
    transports += open_connections(1, site)
    assert closed(transports) == [False, False, False, True]


def test_many_headers_are_counted():
    budget = MemoryBudget(62_000)
    site = make_limited_site(budget)
    transports = open_connections(2, site)
    head = b'GET / HTTP/1.1\r\n%s\r\n' % (b'A: b\r\n' * 200)
    for channel in list(site.channels):
        channel.dataReceived(head)
    refused = [b' 503 ' in each.value() for each in transports]
    assert sorted(refused) == [False, True]
    assert 50_000 < budget.used <= 62_000


def test_connection_takes_the_memory_of_an_idle_one():
    site = make_limited_site(MemoryBudget(2 * 4_096))
    transports = open_connections(3, site)
    assert closed(transports) == [True, False, False]


@pytest.mark.parametrize(
    'limits', [(299, 0), (4_100, -1), (4_100, float('nan'))]
)
def test_limits_that_are_too_low_are_refused(limits):
    with pytest.raises(ValueError, match='at least'):
        client_limits(*limits)


@pytest.mark.parametrize('name', MINIMA)
def test_each_limit_is_a_checked_setting(name):
    lowest = MINIMA[name]
    assert getattr(client_limits(**{name: lowest}), name) == lowest
    for wrong in (lowest - 1, float('nan')):
        with pytest.raises(ValueError, match=f'{name}: at least'):
            client_limits(**{name: wrong})


def test_each_limit_is_named_in_the_schema_and_for_operators():
    folder = Path(__file__).resolve().parent.parent
    schema = folder / 'marjoramlead/schema/sidecar.schema.json'
    properties = json.loads(schema.read_text())['properties']
    operations = (folder / 'docs/OPERATIONS.md').read_text()
    for name, lowest in MINIMA.items():
        assert properties[name]['minimum'] == lowest
        assert f'`{name}`' in operations


def test_window_of_a_body_and_pace_of_chunks_follow_the_settings():
    site = make_limited_site()
    limits = site.clients.limits
    site.clients.limits = limits._replace(body_window_s=2, chunks_per_s=1_000)
    open_connections(2, site)
    first, second = list(site.channels)
    first.dataReceived(b'PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx')
    second.dataReceived(b'PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
    for channel in (first, second):
        channel.requests[0].body.startProducing(StringTransport())
    second.dataReceived(b'1\r\nx\r\n' * 1_500)
    for _step in range(7):
        site.clock.advance(0.25)
        site.end_stalled_bodies()
    assert not first.transport.disconnecting
    assert second.transport.producerState == 'producing'
    site.clock.advance(0.25)
    site.end_stalled_bodies()
    assert first.transport.disconnecting
    assert not second.transport.disconnecting
