"""Decisions by a configuration that has changed, and answers that arrive late.

A request must not be handled by a replaced configuration after
``CONFIG_APPLY_S``. That can happen if a late answer counts as current at its
arrival.
"""

import pytest
from twisted.internet.defer import Deferred

from marjoramlead import store_watcher
from marjoramlead.feed_client import read_feed
from marjoramlead.record_log import Record
from marjoramlead.store_watcher import StoreUpdate
from tests.memory_net import STEP_S
from tests.platform_mesh import config, ready_mesh, route

# Bound of the rules for a change to be in force.
CONFIG_APPLY_S = 2.5
# Shorter than the time that a node allows for an answer.
ON_LINK_S = 0.55
ADDED = [route('added', 'safe', 'web')]


def fleet(hosts=4):
    """Start hosts in two data centres and let them settle."""
    mesh = ready_mesh(*('web' for _host in range(hosts)))
    mesh.advance(3)
    return mesh


def parent(host):
    address = host.sidecar.store_watcher.feed_sources().parent
    return address[0] if address else None


def sleep(clock, seconds):
    waiting = Deferred()
    clock.callLater(seconds, waiting.callback, None)
    return waiting


def delay_store_answers(host, clock, seconds):
    """Deliver the answers to a node's calls some time after they are made.

    Returns the times at which the answers were made.
    """
    made_at = []
    store = host.sidecar.store_watcher.store

    def delayed(call):
        async def later(*arguments):
            answer = await call(*arguments)
            made_at.append(clock.seconds())
            await sleep(clock, seconds)
            return answer

        return later

    for name in ('list_all', 'watch', 'read_latest'):
        setattr(store, name, delayed(getattr(store, name)))
    return made_at


def delay_feed_answers(monkeypatch, host, clock, seconds):
    """Deliver the answers of other nodes some time after they are made.

    Returns the times at which the answers were made.
    """
    made_at = []
    feed_client = host and host.sidecar.store_watcher.feed_client

    async def later(client, address, query):
        answer = await read_feed(client, address, query)
        if client is feed_client or feed_client is None:
            made_at.append(clock.seconds())
            await sleep(clock, seconds)
        return answer

    monkeypatch.setattr(store_watcher, 'read_feed', later)
    return made_at


def reader_and_follower(mesh):
    follower = next(host for host in mesh.hosts if parent(host))
    reader = next(
        host for host in mesh.hosts if host.address == parent(follower)
    )
    return reader, follower


def test_answer_of_the_store_confirms_the_time_at_which_it_was_made():
    mesh = fleet()
    reader, _follower = reader_and_follower(mesh)
    made_at = delay_store_answers(reader, mesh.reactor, ON_LINK_S)
    for _step in range(300):
        mesh.advance(0.01)
        arrived = [
            each
            for each in made_at
            if each + ON_LINK_S <= mesh.reactor.seconds()
        ]
        if arrived:
            confirmed_at = reader.sidecar.mesh_state.confirmed_at
            assert confirmed_at <= max(arrived) + 0.02


def test_change_that_ends_a_watch_confirms_no_later_time():
    mesh = fleet()
    reader, _follower = reader_and_follower(mesh)
    made_at = delay_store_answers(reader, mesh.reactor, ON_LINK_S)
    for step in range(600):
        if step % 97 == 0:
            mesh.publish(reader, born=step)
        mesh.advance(STEP_S)
        arrived = [
            each
            for each in made_at
            if each + ON_LINK_S <= mesh.reactor.seconds()
        ]
        if arrived:
            confirmed_at = reader.sidecar.mesh_state.confirmed_at
            assert confirmed_at <= max(arrived) + 0.02


def test_answer_of_a_node_confirms_the_time_at_which_it_was_made(monkeypatch):
    mesh = fleet()
    _reader, follower = reader_and_follower(mesh)
    made_at = delay_feed_answers(monkeypatch, follower, mesh.reactor, ON_LINK_S)
    for _step in range(300):
        mesh.advance(0.01)
        arrived = [
            each
            for each in made_at
            if each + ON_LINK_S <= mesh.reactor.seconds()
        ]
        if arrived:
            confirmed_at = follower.sidecar.mesh_state.confirmed_at
            assert confirmed_at <= max(arrived) + 0.02


def test_answer_that_knows_less_than_the_node_confirms_nothing():
    mesh = fleet()
    reader, _follower = reader_and_follower(mesh)
    watcher, mesh_state = (
        reader.sidecar.store_watcher,
        reader.sidecar.mesh_state,
    )
    before = mesh_state.confirmed_at
    mesh.reactor.rightNow += 0.5
    newer = mesh_state.revision + 5
    known = Record('servers/new', b'{}', newer)
    document = {
        'revision': newer,
        'age_s': 0.5,
        'listings': [],
        'records': [
            {
                'key': known.key,
                'text': '{}',
                'revision': newer,
                'is_deleted': False,
            }
        ],
    }
    store_watcher._apply_document(
        watcher, document, 'peer', mesh.reactor.seconds()
    )
    from_peer = mesh_state.confirmed_at
    mesh.reactor.rightNow += 0.5
    store_watcher._apply_update(
        watcher, StoreUpdate([], newer - 1), mesh.reactor.seconds()
    )
    assert mesh_state.revision == newer
    assert mesh_state.confirmed_at == max(before, from_peer)


def test_listing_in_steps_confirms_the_time_of_its_first_page():
    """Changes made between the two steps of a read are not known yet."""
    mesh = fleet()
    reader, _follower = reader_and_follower(mesh)
    store = reader.sidecar.store_watcher.store
    call, listed_at = store._get, []

    async def call_slowly(endpoint, query, wait_s):
        if endpoint == 'kv-range':
            listed_at.append(mesh.reactor.seconds())
        elif listed_at:
            await sleep(mesh.reactor, ON_LINK_S)
        return await call(endpoint, query, wait_s)

    store._get = call_slowly
    mesh.configure(2)
    mesh.advance(0.3)
    mesh.configure(3)
    mesh_state = reader.sidecar.mesh_state
    while mesh_state.table.version < 3:
        mesh.advance(0.01)
    assert mesh_state.confirmed_at <= listed_at[-1] + 0.02


@pytest.mark.parametrize('moment_s', [0, 0.3, 0.6])
@pytest.mark.parametrize(
    ('store_s', 'feed_s'), [(0.3, 0.3), (0.55, 0.55), (1.2, 0.9)]
)
def test_added_route_is_not_refused_as_unknown_after_its_time(
    monkeypatch, store_s, feed_s, moment_s
):
    """No 404 for a route that was added more than ConfigApply ago."""
    mesh = fleet()
    for host in mesh.hosts:
        delay_store_answers(host, mesh.reactor, store_s)
    delay_feed_answers(monkeypatch, None, mesh.reactor, feed_s)
    mesh.advance(3 + moment_s)
    mesh.configure(2, routes=ADDED)
    mesh.advance(CONFIG_APPLY_S + 0.02)
    sent = [mesh.send(host, '/added/x') for host in mesh.hosts]
    mesh.advance(1)
    assert 404 not in {each.status for each in sent}


def test_request_sent_before_a_change_keeps_its_route():
    """The rules count from sending; what was admitted before may still run."""
    mesh = ready_mesh('web', 'api', slots=1, work_s=0.3)
    first = mesh.send(mesh.hosts[1])
    waiting = mesh.send(mesh.hosts[1])
    mesh.advance(0.01)
    document = config(2)
    document['Routes']['Rows'] = document['Routes']['Rows'][1:]
    mesh.configure(2, Routes=document['Routes'])
    mesh.advance(2)
    late = mesh.send(mesh.hosts[1])
    mesh.advance(0.5)
    assert first.status == 200
    assert waiting.status in {200, 503}
    assert late.status == 404
    assert not mesh.runs(late.request_id)


@pytest.mark.parametrize('store_s', [0.004, 0.1])
def test_follower_keeps_a_parent_that_reads_a_changing_store(
    monkeypatch, store_s
):
    """A change that ends a long watch does not make its answer old."""
    logged = []
    monkeypatch.setattr(
        store_watcher, 'emit', lambda kind, **_fields: logged.append(kind)
    )
    mesh = fleet(hosts=6)
    for host in mesh.hosts:
        delay_store_answers(host, mesh.reactor, store_s)
    for version in range(2, 8):
        mesh.configure(version, routes=ADDED * (version % 2))
        mesh.advance(0.69)
        mesh.publish(mesh.hosts[0], born=version)
        mesh.advance(1.37)
    assert 'news' in logged
    assert 'parent_lost' not in logged
