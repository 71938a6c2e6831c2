"""What is believed does not depend on the order of arrival."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.mesh_state import (
    ExcludedDataCentre,
    MeshState,
    Record,
    TargetEntry,
    apply_records,
    expire_held,
    find_target_by_address,
    is_usable,
    records_after,
    remove_unlisted,
)


def decode(record, now):
    """Read ``out/X`` as an outage, all else as a target."""
    if record.key.startswith('out/'):
        return ExcludedDataCentre(record.key[4:])
    if record.body == b'bad':
        return None
    return TargetEntry(
        record.key, 'web', ('10.0.0.1', 1), 'a', 4,
        record.body == b'leaving', record.revision, 0, now,
    )  # fmt: skip


keys = st.sampled_from(['t1', 't2', 'out/a'])
bodies = st.sampled_from([b'ready', b'leaving', b'bad', None])
records = st.lists(st.tuples(keys, bodies), max_size=12).map(
    lambda pairs: [
        Record(key, body, revision)
        for revision, (key, body) in enumerate(pairs, 1)
    ]
)


def view(mesh_state):
    targets = {
        key: each.is_draining for key, each in mesh_state.targets.items()
    }
    return targets, set(mesh_state.excluded)


@given(records, st.randoms(use_true_random=False), st.integers(1, 4))
def test_any_order_and_repetition_gives_the_same(made, rng, parts):
    straight = MeshState(decode)
    apply_records(straight, made, 1000)
    mixed = MeshState(decode)
    shuffled = made * parts
    rng.shuffle(shuffled)
    for record in shuffled:
        apply_records(mixed, [record], 1000)
    assert view(mixed) == view(straight)


@given(records, st.integers(0, 12))
def test_peer_that_has_the_rest_is_enough(made, split):
    source = MeshState(decode)
    apply_records(source, made, 1000)
    behind = MeshState(decode)
    apply_records(behind, made[:split], 1000)
    told = records_after(source, min(split, len(made)))
    apply_records(behind, told, 1000)
    assert view(behind) == view(source)


def test_listing_deletes_what_it_lacks_but_nothing_newer():
    mesh_state = MeshState(decode)
    made = [Record('t1', b'ready', 1), Record('t2', b'ready', 9)]
    apply_records(mesh_state, made, 1000)
    remove_unlisted(mesh_state, [], 5, 1000)
    assert set(mesh_state.targets) == {'t2'}


def test_entry_gone_after_an_outage_counts_for_two_seconds():
    mesh_state = MeshState(decode)
    apply_records(mesh_state, [Record('t1', b'ready', 1)], 0)
    mesh_state.reconnected_at = 10
    apply_records(mesh_state, [Record('t1', None, 2)], 10)
    assert 't1' in mesh_state.targets
    assert expire_held(mesh_state, 12.1) == ['t1']
    assert not mesh_state.targets


def test_entry_gone_without_an_outage_is_gone_at_once():
    mesh_state = MeshState(decode)
    apply_records(mesh_state, [Record('t1', b'ready', 1)], 0)
    apply_records(mesh_state, [Record('t1', None, 2)], 1)
    assert not mesh_state.targets


def test_entry_that_was_leaving_is_gone_even_after_an_outage():
    mesh_state = MeshState(decode)
    apply_records(mesh_state, [Record('t1', b'leaving', 1)], 0)
    mesh_state.reconnected_at = 10
    apply_records(mesh_state, [Record('t1', None, 2)], 10)
    assert not mesh_state.targets


def usable(mesh_state):
    return {
        key
        for key, each in mesh_state.targets.items()
        if is_usable(mesh_state, each)
    }


def test_target_whose_address_another_published_since_gets_nothing():
    def born_earlier(record, now):
        entry = decode(record, now)
        return entry and entry._replace(started_ms=-record.revision)

    mesh_state = MeshState(born_earlier)
    apply_records(mesh_state, [Record('t1', b'ready', 1)], 10)
    assert usable(mesh_state) == {'t1'}
    apply_records(mesh_state, [Record('t2', b'ready', 2)], 11)
    assert usable(mesh_state) == {'t2'}
    assert find_target_by_address(mesh_state, ('10.0.0.1', 1)).target_id == 't2'
    apply_records(mesh_state, [Record('t2', None, 3)], 12)
    assert usable(mesh_state) == {'t1'}


def test_entry_that_is_only_held_does_not_replace_a_newer_one():
    mesh_state = MeshState(decode)
    apply_records(mesh_state, [Record('t1', b'ready', 1)], 10)
    mesh_state.reconnected_at = 20
    apply_records(mesh_state, [Record('t2', b'ready', 2)], 20)
    apply_records(mesh_state, [Record('t1', None, 3)], 20.1)
    assert 't1' in mesh_state.held_until
    assert usable(mesh_state) == {'t2'}
    expire_held(mesh_state, 30)
    assert usable(mesh_state) == {'t2'}
