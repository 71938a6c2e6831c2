"""Records that nodes pass on to each other, while readers and links fail."""

import json
from functools import partial
from random import Random

import pytest
from expression import Error, Ok
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from marjoramlead import store_watcher
from marjoramlead.errors import Fault
from marjoramlead.feed_client import apply_feed
from marjoramlead.feed_tree import choose_sources
from marjoramlead.feeds import (
    FeedQuery,
    decode_feed,
    decode_feed_query,
    encode_feed,
    encode_feed_query,
    make_feed_query,
)
from marjoramlead.lifecycle import drain_sidecar
from marjoramlead.mesh_state import MeshState
from marjoramlead.mesh_updates import (
    apply_records,
    confirm_revision,
    remove_unlisted,
)
from marjoramlead.platform.decoding import decode_record
from marjoramlead.platform.routing import RouteCache
from marjoramlead.record_log import Record
from marjoramlead.revisions import NO_REVISION
from marjoramlead.store_watcher import MAX_FEED_AGE_S, WATCH_TIMEOUT_S
from standins.platform_store import delete, put
from tests.platform_mesh import INBOUND, STORE, config, ready_mesh, route
from tests.samples import rev

IN_FORCE_S = 2
HOSTS = 8
ROUTES = [route(f'r{number}', 'safe', 'web') for number in range(300)]


def fleet():
    """Start hosts in two data centres and let them settle."""
    mesh = ready_mesh(*('web' for _host in range(HOSTS)))
    mesh.advance(2)
    return mesh


def readers(mesh):
    """Return the hosts that read the store."""
    return [host for host in mesh.hosts if parent(host) is None]


def parent(host):
    """Return the host that a node follows, or None."""
    address = host.sidecar.store_watcher.feed_sources().parent
    return address[0] if address else None


def followers_of(mesh, reader):
    return [host for host in mesh.hosts if parent(host) == reader.address]


def versions(mesh):
    return {host.sidecar.mesh_state.table.version for host in mesh.hosts}


def refuse_calls(store):
    """Make the store refuse the calls of one node."""

    async def refused(*_arguments):
        return Error(Fault('refused', 'status 503'))

    _replace_calls(store, refused)


def silence_calls(store):
    """Leave the calls of one node unanswered until they time out."""

    async def silent(*_arguments):
        answered = Deferred()
        store._reactor.callLater(1.3, answered.callback, None)
        await answered
        return Error(Fault('silent', 'no response in time'))

    _replace_calls(store, silent)


def hang_calls(store):
    """Make the calls of one node hang forever."""
    _replace_calls(store, lambda *_arguments: Deferred())


def _replace_calls(store, call):
    for name in ('list_all', 'watch', 'read_latest'):
        setattr(store, name, call)


def crash(mesh, host):
    """End a node's connections; new ones are refused."""
    mesh.net.sites.pop((host.address, INBOUND))
    mesh.net.reset((host.address, INBOUND))


def cut_off(mesh, host):
    """Drop everything that is sent to a node."""
    factory = Factory.forProtocol(Protocol)
    mesh.net.sites[host.address, INBOUND] = factory
    mesh.net.silence((host.address, INBOUND))


def test_one_node_of_each_of_two_data_centres_reads_the_store():
    mesh = fleet()
    assert {host.data_centre for host in readers(mesh)} == {'a', 'b'}
    assert len(readers(mesh)) == 2
    before = mesh.store.calls
    mesh.advance(10)
    calls_per_reader_and_s = (mesh.store.calls - before) / 2 / 10
    assert calls_per_reader_and_s <= 1.5


@pytest.mark.parametrize('fail', [crash, cut_off])
@pytest.mark.parametrize('moment_s', [0, 0.3, 0.6])
def test_change_is_in_force_in_time_although_a_reader_fails(fail, moment_s):
    mesh = fleet()
    failed = readers(mesh)[0]
    mesh.advance(moment_s)
    fail(mesh, failed)
    mesh.configure(2)
    mesh.advance(IN_FORCE_S)
    assert versions(mesh) == {2}


@pytest.mark.parametrize('fail', [refuse_calls, silence_calls, hang_calls])
@pytest.mark.parametrize('moment_s', [0, 0.3, 0.6])
def test_change_is_in_force_in_time_although_readers_lose_the_store(
    fail, moment_s
):
    mesh = fleet()
    mesh.advance(moment_s)
    for reader in readers(mesh):
        fail(reader.sidecar.store_watcher.store)
    mesh.advance(WATCH_TIMEOUT_S)
    mesh.configure(2)
    mesh.advance(IN_FORCE_S)
    followers = [host for host in mesh.hosts if host not in readers(mesh)]
    assert {host.sidecar.mesh_state.table.version for host in followers} == {2}


def test_reader_that_the_store_refuses_follows_another_one(monkeypatch):
    logged = []
    monkeypatch.setattr(
        'marjoramlead.store_watcher.emit',
        lambda kind, **_fields: logged.append(kind),
    )
    mesh = fleet()
    logged.clear()
    refuse_calls(readers(mesh)[0].sidecar.store_watcher.store)
    for version in range(2, 8):
        mesh.configure(version)
        mesh.advance(IN_FORCE_S)
        assert versions(mesh) == {version}
    assert 'store_lost' in logged
    assert 'parent_lost' not in logged


def test_deletion_is_not_held_while_the_store_refuses_one_node():
    mesh = fleet()
    refused = readers(mesh)[0]
    refuse_calls(refused.sidecar.store_watcher.store)
    mesh.advance(3)
    gone = next(host for host in mesh.hosts if host is not refused)
    mesh.withdraw(gone)
    mesh.advance(1)
    key = f'servers/{gone.target.target_id}'
    for host in mesh.hosts:
        assert key not in host.sidecar.mesh_state.targets


def test_follower_reads_the_store_over_a_new_connection():
    mesh = fleet()
    mesh.advance(3)
    reader = readers(mesh)[0]
    followers = [host for host in mesh.hosts if parent(host) == reader.address]
    mesh.net.silence(STORE)
    mesh.configure(2)
    crash(mesh, reader)
    mesh.advance(0.5)
    assert followers
    for host in followers:
        assert host.sidecar.mesh_state.table.version == 2


def test_followers_leave_a_reader_that_shuts_down():
    mesh = fleet()
    reader = readers(mesh)[0]
    followers = followers_of(mesh, reader)
    drain_sidecar(reader.sidecar)
    mesh.advance(1)
    for host in followers:
        assert host.sidecar.store_watcher.origin != reader.address
    mesh.configure(2)
    mesh.advance(0.8)
    assert versions(mesh) == {2}


@pytest.mark.parametrize('is_news', [True, False])
def test_follower_leaves_a_parent_with_old_data_unless_it_is_news(
    monkeypatch, is_news
):
    mesh = fleet()
    follower = next(host for host in mesh.hosts if parent(host))
    watcher = follower.sidecar.store_watcher
    mesh_state = watcher.mesh_state
    document = {
        'revision': mesh_state.revision.number + is_news,
        'era': mesh_state.revision.era,
        'age_s': MAX_FEED_AGE_S + 0.1,
        'records': [],
    }
    mesh_state.confirmed_at -= MAX_FEED_AGE_S + 0.1

    async def read_old(*_arguments):
        return Ok(document)

    monkeypatch.setattr(store_watcher, 'read_feed', read_old)
    address = watcher.feed_sources().parent
    Deferred.fromCoroutine(store_watcher._follow(watcher, address))
    assert (address in watcher.avoided_until) is not is_news


def test_target_that_leaves_is_known_in_time_without_its_reader():
    mesh = fleet()
    reader = readers(mesh)[0]
    leaving = next(host for host in mesh.hosts if host is not reader)
    cut_off(mesh, reader)
    mesh.publish(leaving, state='draining')
    mesh.advance(IN_FORCE_S)
    for host in mesh.hosts:
        key = f'servers/{leaving.target.target_id}'
        assert host.sidecar.mesh_state.targets[key].is_draining


def mesh_state_with(*records):
    mesh_state = MeshState(partial(decode_record, RouteCache()))
    apply_records(mesh_state, records, 0)
    return mesh_state


def send_feed(sender, receiver):
    """Pass on the sender's records once."""
    raw = encode_feed(sender, make_feed_query(receiver, 0), 0)
    apply_feed(receiver, decode_feed(raw).ok, 0, 0)
    return len(raw)


def test_deletion_is_learnt_from_a_node_that_started_after_it():
    receiver = mesh_state_with(Record('op/evacuate/b', b'{}', rev(5)))
    confirm_revision(receiver, rev(5), 0, 0)
    sender = mesh_state_with()
    remove_unlisted(sender, [], rev(9), 0)
    confirm_revision(sender, rev(9), 0, 0)
    send_feed(sender, receiver)
    assert not receiver.excluded
    assert receiver.revision == rev(9)


def test_text_without_a_common_base_is_sent_whole():
    texts = [
        json.dumps(config(version, routes=ROUTES)).encode()
        for version in (1, 2, 3)
    ]
    receiver = mesh_state_with(Record('op/config', texts[0], rev(2)))
    confirm_revision(receiver, rev(2), 0, 0)
    sender = mesh_state_with(Record('op/config', texts[1], rev(4)))
    confirm_revision(sender, rev(4), 0, 0)
    assert send_feed(sender, receiver) > len(texts[1])
    assert receiver.table.version == 2
    apply_records(sender, [Record('op/config', texts[2], rev(6))], 0)
    confirm_revision(sender, rev(6), 0, 0)
    assert send_feed(sender, receiver) < 1000
    assert receiver.table.version == 3
    assert receiver.records.by_key['op/config'].body == texts[2]


def test_versions_read_from_the_store_meanwhile_keep_differences_small():
    texts = [
        json.dumps(config(version, routes=ROUTES)).encode()
        for version in range(1, 5)
    ]
    common = Record('op/config', texts[0], rev(2))
    receiver = mesh_state_with(common, Record('op/config', texts[1], rev(4)))
    confirm_revision(receiver, rev(4), 0, 0)
    sender = mesh_state_with(common, Record('op/config', texts[3], rev(6)))
    confirm_revision(sender, rev(6), 0, 0)
    assert send_feed(sender, receiver) < 1000
    assert receiver.records.by_key['op/config'].body == texts[3]


def test_base_of_a_difference_has_the_same_columns():
    documents = [config(version, routes=ROUTES) for version in (1, 2, 3)]
    routes = documents[1]['Routes']
    routes['Columns'] = routes['Columns'][:-1]
    routes['Rows'] = [row[:-1] for row in routes['Rows']]
    texts = [json.dumps(document).encode() for document in documents]
    common = [
        Record('op/config', text, rev(revision))
        for revision, text in ((2, texts[0]), (4, texts[1]))
    ]
    receiver = mesh_state_with(*common)
    confirm_revision(receiver, rev(4), 0, 0)
    sender = mesh_state_with(*common, Record('op/config', texts[2], rev(6)))
    confirm_revision(sender, rev(6), 0, 0)
    assert send_feed(sender, receiver) < 1000
    assert receiver.records.by_key['op/config'].body == texts[2]


def test_data_of_a_node_that_knows_less_confirms_nothing():
    receiver = mesh_state_with()
    confirm_revision(receiver, rev(9), 0, 0)
    sender = mesh_state_with()
    confirm_revision(sender, rev(8), 5, 5)
    document = decode_feed(
        encode_feed(sender, make_feed_query(receiver, 0), 5)
    ).ok
    apply_feed(receiver, document, 5, 5)
    assert (receiver.revision, receiver.confirmed_at) == (rev(9), 0)


def test_fleet_keeps_up_with_random_changes_and_failures():
    rng = Random(7)
    mesh = fleet()
    version = 1
    highest = [1 for _host in mesh.hosts]
    for _step in range(60):
        victim = rng.choice(mesh.hosts)
        action = rng.choice(
            ['publish', 'publish', 'evacuate', 'reset', 'drain']
        )
        if action == 'publish':
            version += 1
            mesh.configure(version)
        elif action == 'evacuate':
            change = rng.choice([put, delete])
            arguments = ({},) if change is put else ()
            change(mesh.store, f'op/evacuate/{rng.choice("ab")}', *arguments)
        elif action == 'reset':
            mesh.net.reset((victim.address, INBOUND))
        else:
            state = rng.choice(['ready', 'draining'])
            mesh.publish(victim, state=state)
        mesh.advance(rng.choice([0.05, 0.2, 0.9]))
        known = [host.sidecar.mesh_state.table.version for host in mesh.hosts]
        assert all(
            now >= before for now, before in zip(known, highest, strict=True)
        )
        highest = known
    mesh.advance(IN_FORCE_S)
    expected = {
        key: record.body
        for key, record in mesh.hosts[
            0
        ].sidecar.mesh_state.records.by_key.items()
        if record.body is not None
    }
    assert set(expected) == set(mesh.store.records)
    for host in mesh.hosts:
        bodies = {
            key: record.body
            for key, record in host.sidecar.mesh_state.records.by_key.items()
            if record.body is not None
        }
        assert bodies == expected
    assert versions(mesh) == {version}


@pytest.mark.parametrize('data_centre', ['a', 'b', 'c', 'd'])
@pytest.mark.parametrize('count', [1, 2, 17, 1033])
def test_every_host_reaches_one_of_two_readers(count, data_centre):
    hosts = {
        'b': ['10.1.0.1'],
        'c': ['10.2.0.1', '10.2.0.2'],
        'd': ['10.3.0.1'],
        'a': ['10.4.0.1'],
    }
    hosts[data_centre] = [
        f'10.0.{number // 250}.{number % 250}' for number in range(count)
    ]
    sources = {
        host: choose_sources(host, name, hosts)
        for name, members in hosts.items()
        for host in members
    }
    roots = [host for host in sources if sources[host].parent is None]
    assert len(roots) == 2
    for members in hosts.values():
        assert max(_depth(sources, host, members) for host in members) <= 4
        tops = [host for host in members if sources[host].parent not in members]
        assert len(tops) == 1
        assert sources[tops[0]].parent in {None, *roots}
    for host, chosen in sources.items():
        followed = [chosen.parent, *chosen.alternates]
        assert host not in followed
        assert len(set(followed)) == len(followed)
        assert len(followed) >= 3
        own = next(each for each in hosts.values() if host in each)
        assert set(roots) - set(own) <= set(followed)


def test_host_whose_target_is_not_known_follows_a_known_one():
    hosts = {'a': ['10.0.0.1', '10.0.0.2'], 'b': ['10.1.0.1']}
    assert choose_sources('10.0.0.9', 'a', hosts).parent in hosts['a']
    elsewhere = choose_sources('10.2.0.9', 'c', hosts)
    known = {*hosts['a'], *hosts['b']}
    assert {elsewhere.parent, *elsewhere.alternates} <= known
    assert choose_sources('10.0.0.9', 'a', {}).parent is None


def _depth(sources, host, members):
    """Return the distance to the first node of the host's data centre."""
    depth = 0
    while sources[host].parent in members:
        host = sources[host].parent
        depth += 1
    return depth


def restored_mesh_states():
    """Return two states, of which one knows a later era of the store."""
    texts = [
        json.dumps(config(version, routes=ROUTES)).encode()
        for version in (1, 2, 3)
    ]
    common = [
        Record('op/config', texts[0], rev(4)),
        Record('op/evacuate/a', b'{}', rev(5)),
    ]
    behind = mesh_state_with(*common, Record('op/evacuate/b', b'{}', rev(6)))
    confirm_revision(behind, rev(6), 0, 0)
    ahead = mesh_state_with(*common, Record('op/evacuate/b', None, rev(7)))
    confirm_revision(ahead, rev(7), 0, 0)
    listed = [
        Record('op/config', texts[1], rev(4, era=1)),
        Record('op/evacuate/c', b'{}', rev(3, era=1)),
    ]
    confirm_revision(ahead, rev(4, era=1), 0, 0)
    apply_records(ahead, listed, 0)
    keys = [record.key for record in listed]
    remove_unlisted(ahead, keys, rev(4, era=1), 0)
    return behind, ahead


def bodies_in(mesh_state):
    return {
        key: record.body
        for key, record in mesh_state.records.by_key.items()
        if record.body is not None
    }


def test_follower_learns_a_later_era_from_its_parent():
    behind, ahead = restored_mesh_states()
    assert send_feed(ahead, behind) < 1000
    assert behind.revision == rev(4, era=1)
    assert bodies_in(behind) == bodies_in(ahead)


def test_records_of_an_earlier_era_are_gone_once_a_later_one_is_known():
    _behind, ahead = restored_mesh_states()
    known = ahead.records.by_key.values()
    assert {record.revision.era for record in known} == {1}


def test_feed_of_an_earlier_era_changes_and_confirms_nothing():
    behind, ahead = restored_mesh_states()
    before = bodies_in(ahead)
    behind.confirmed_at = 9
    raw = encode_feed(behind, FeedQuery(NO_REVISION), 9)
    assert not apply_feed(ahead, decode_feed(raw).ok, 9, 9)
    assert bodies_in(ahead) == before
    assert (ahead.revision, ahead.confirmed_at) == (rev(4, era=1), 0)


def test_feed_without_an_era_is_of_the_first_one():
    _behind, ahead = restored_mesh_states()
    document = decode_feed(encode_feed(ahead, FeedQuery(NO_REVISION), 0)).ok
    document.pop('era')
    assert not apply_feed(ahead, document, 0, 0)
    first = mesh_state_with()
    apply_feed(first, document, 0, 0)
    assert first.revision == rev(4)


def test_feed_of_a_later_era_is_refused_unless_it_lists_all_keys():
    behind, ahead = restored_mesh_states()
    raw = encode_feed(ahead, make_feed_query(behind, 0), 0)
    document = decode_feed(raw).ok
    document['listings'] = []
    assert not apply_feed(behind, document, 0, 0)
    assert behind.revision == rev(6)


def test_query_without_an_era_gets_no_delta_after_a_restoration():
    """The base would be another text with the same revision."""
    uri = b'/-/marjoram/feed?after=4&bases=4&wait_ms=0'
    assert decode_feed_query(uri, 0).ok == FeedQuery(
        rev(4), frozenset((rev(4),))
    )
    assert decode_feed_query(uri, 2).ok == FeedQuery(rev(4, era=2))


def test_bases_of_a_query_are_of_its_era():
    _behind, ahead = restored_mesh_states()
    query = make_feed_query(ahead, 0)
    assert query.bases == {rev(4, era=1)}
    assert decode_feed_query(encode_feed_query(query), 0).ok == query


def test_delta_to_a_text_of_another_era_is_not_applied():
    """Both texts have the same revision number."""
    behind, ahead = restored_mesh_states()
    raw = encode_feed(ahead, make_feed_query(behind, 0), 0)
    document = decode_feed(raw).ok
    changed = next(
        each for each in document['records'] if each['key'] == 'op/config'
    )
    assert changed['base_era'] == 0
    changed['base_era'] = 1
    assert not apply_feed(behind, document, 0, 0)
    assert behind.table.version == 1


def send_late(behind, ahead, *written):
    """Let a node learn of an era after records were written in it."""
    for number, (key, body) in enumerate(written, start=5):
        revision = rev(number, era=1)
        confirm_revision(ahead, revision, 1, 1)
        apply_records(ahead, [Record(key, body, revision)], 1)
    send_feed(ahead, behind)


def test_exclusion_that_nobody_lifted_is_kept_by_a_node_that_learns_late():
    """The parent did not know of it when the store was restored."""
    behind, ahead = restored_mesh_states()
    apply_records(behind, [Record('op/evacuate/d', b'{}', rev(8))], 0)
    confirm_revision(behind, rev(8), 0, 0)
    send_late(behind, ahead, ('op/evacuate/e', b'{}'))
    assert {'d', 'e'} <= set(behind.excluded)


def test_exclusion_written_and_lifted_in_the_era_is_lifted_at_once():
    behind, ahead = restored_mesh_states()
    assert 'b' in behind.excluded
    send_late(behind, ahead, ('op/evacuate/b', b'{}'), ('op/evacuate/b', None))
    assert 'b' not in behind.excluded


def test_node_that_learned_of_an_era_late_tells_its_beginning():
    behind, ahead = restored_mesh_states()
    other, _ahead = restored_mesh_states()
    send_late(behind, ahead, ('op/evacuate/b', b'{}'), ('op/evacuate/b', None))
    send_feed(behind, other)
    assert 'b' not in other.excluded


def test_node_that_has_not_seen_the_era_begin_does_not_tell_it():
    ahead = mesh_state_with()
    confirm_revision(ahead, rev(4, era=1), 0, 0)
    raw = encode_feed(ahead, FeedQuery(NO_REVISION), 0)
    assert 'copied_until' not in decode_feed(raw).ok


# An exception ended the connection without an answer.
@pytest.mark.parametrize(
    ('wait_ms', 'is_valid'), [('-5', True), ('9' * 400, False)]
)
def test_wait_of_a_read_that_is_no_time(wait_ms, is_valid):
    uri = f'/-/marjoram/feed?after=4&wait_ms={wait_ms}'.encode()
    query = decode_feed_query(uri, 0)
    assert query.is_ok() == is_valid
    assert not is_valid or not query.ok.wait_s
