"""Mesh state: order of records, store outages and reused addresses."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.mesh_state import (
    ExcludedDataCentre,
    MeshState,
    TargetEntry,
    find_target_by_address,
    is_usable,
)
from marjoramlead.mesh_updates import (
    apply_records,
    expire_held_targets,
    remove_unlisted,
)
from marjoramlead.record_log import Record, records_after
from tests.samples import rev


def decode(record, now):
    """Decode ``out/X`` as an excluded data centre, others as a target."""
    if record.key.startswith('out/'):
        return ExcludedDataCentre(record.key[4:])
    if record.body == b'bad':
        return None
    return TargetEntry(
        record.key, 'web', ('10.0.0.1', 1), 'a', 4,
        record.body == b'leaving', record.revision.number, 0, now,
    )  # fmt: skip


keys = st.sampled_from(['t1', 't2', 'out/a'])
bodies = st.sampled_from([b'ready', b'leaving', b'bad', None])
records = st.lists(st.tuples(keys, bodies), max_size=12).map(
    lambda pairs: [
        Record(key, body, rev(revision))
        for revision, (key, body) in enumerate(pairs, 1)
    ]
)


def summary(mesh_state):
    targets = {
        key: each.is_draining for key, each in mesh_state.targets.items()
    }
    return targets, set(mesh_state.excluded)


@given(records, st.randoms(use_true_random=False), st.integers(1, 4))
def test_order_and_repetition_of_records_do_not_matter(published, rng, copies):
    in_order = MeshState(decode)
    apply_records(in_order, published, 1000)
    shuffled_state = MeshState(decode)
    shuffled = published * copies
    rng.shuffle(shuffled)
    for record in shuffled:
        apply_records(shuffled_state, [record], 1000)
    assert summary(shuffled_state) == summary(in_order)


@given(records, st.integers(0, 12))
def test_peer_provides_all_changes_after_a_revision(published, split):
    source = MeshState(decode)
    apply_records(source, published, 1000)
    lagging = MeshState(decode)
    apply_records(lagging, published[:split], 1000)
    changes = records_after(source.records, rev(min(split, len(published))))
    apply_records(lagging, changes, 1000)
    assert summary(lagging) == summary(source)


def test_listing_deletes_missing_records_unless_they_are_newer():
    mesh_state = MeshState(decode)
    published = [Record('t1', b'ready', rev(1)), Record('t2', b'ready', rev(9))]
    apply_records(mesh_state, published, 1000)
    remove_unlisted(mesh_state, [], rev(5), 1000)
    assert set(mesh_state.targets) == {'t2'}


def test_target_that_expired_in_an_outage_is_held_for_two_seconds():
    mesh_state = MeshState(decode)
    apply_records(mesh_state, [Record('t1', b'ready', rev(1))], 0)
    mesh_state.reconnected_at = 10
    apply_records(mesh_state, [Record('t1', None, rev(2))], 10)
    assert 't1' in mesh_state.targets
    assert expire_held_targets(mesh_state, 12.1) == ['t1']
    assert not mesh_state.targets


def test_target_deleted_without_an_outage_is_removed_at_once():
    mesh_state = MeshState(decode)
    apply_records(mesh_state, [Record('t1', b'ready', rev(1))], 0)
    apply_records(mesh_state, [Record('t1', None, rev(2))], 1)
    assert not mesh_state.targets


def test_draining_target_deleted_after_an_outage_is_not_held():
    mesh_state = MeshState(decode)
    apply_records(mesh_state, [Record('t1', b'leaving', rev(1))], 0)
    mesh_state.reconnected_at = 10
    apply_records(mesh_state, [Record('t1', None, rev(2))], 10)
    assert not mesh_state.targets


def usable_keys(mesh_state):
    return {
        key
        for key, each in mesh_state.targets.items()
        if is_usable(mesh_state, each)
    }


def test_target_whose_address_was_reused_is_not_usable():
    def decode_with_decreasing_start(record, now):
        entry = decode(record, now)
        return entry and entry._replace(started_ms=-record.revision.number)

    mesh_state = MeshState(decode_with_decreasing_start)
    apply_records(mesh_state, [Record('t1', b'ready', rev(1))], 10)
    assert usable_keys(mesh_state) == {'t1'}
    apply_records(mesh_state, [Record('t2', b'ready', rev(2))], 11)
    assert usable_keys(mesh_state) == {'t2'}
    assert find_target_by_address(mesh_state, ('10.0.0.1', 1)).target_id == 't2'
    apply_records(mesh_state, [Record('t2', None, rev(3))], 12)
    assert usable_keys(mesh_state) == {'t1'}


def test_held_target_does_not_supersede_a_newer_one():
    mesh_state = MeshState(decode)
    apply_records(mesh_state, [Record('t1', b'ready', rev(1))], 10)
    mesh_state.reconnected_at = 20
    apply_records(mesh_state, [Record('t2', b'ready', rev(2))], 20)
    apply_records(mesh_state, [Record('t1', None, rev(3))], 20.1)
    assert 't1' in mesh_state.held_until
    assert usable_keys(mesh_state) == {'t2'}
    expire_held_targets(mesh_state, 30)
    assert usable_keys(mesh_state) == {'t2'}
