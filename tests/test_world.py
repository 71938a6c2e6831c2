"""What is believed does not depend on the order of arrival."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.world import (
    Outage,
    Record,
    TargetEntry,
    World,
    apply_records,
    drop_absent,
    is_usable,
    records_after,
    release_held,
    target_at,
)


def decode(record, now):
    """Read ``out/X`` as an outage, all else as a target."""
    if record.key.startswith('out/'):
        return Outage(record.key[4:])
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


def view(world):
    targets = {key: each.is_draining for key, each in world.targets.items()}
    return targets, set(world.out)


@given(records, st.randoms(use_true_random=False), st.integers(1, 4))
def test_any_order_and_repetition_gives_the_same(made, rng, parts):
    straight = World(decode)
    apply_records(straight, made, 1000)
    mixed = World(decode)
    shuffled = made * parts
    rng.shuffle(shuffled)
    for record in shuffled:
        apply_records(mixed, [record], 1000)
    assert view(mixed) == view(straight)


@given(records, st.integers(0, 12))
def test_peer_that_has_the_rest_is_enough(made, split):
    source = World(decode)
    apply_records(source, made, 1000)
    behind = World(decode)
    apply_records(behind, made[:split], 1000)
    told = records_after(source, min(split, len(made)))
    apply_records(behind, told, 1000)
    assert view(behind) == view(source)


def test_listing_deletes_what_it_lacks_but_nothing_newer():
    world = World(decode)
    made = [Record('t1', b'ready', 1), Record('t2', b'ready', 9)]
    apply_records(world, made, 1000)
    drop_absent(world, [], 5, 1000)
    assert set(world.targets) == {'t2'}


def test_entry_gone_after_an_outage_counts_for_two_seconds():
    world = World(decode)
    apply_records(world, [Record('t1', b'ready', 1)], 0)
    world.regained_at = 10
    apply_records(world, [Record('t1', None, 2)], 10)
    assert 't1' in world.targets
    assert release_held(world, 12.1) == ['t1']
    assert not world.targets


def test_entry_gone_without_an_outage_is_gone_at_once():
    world = World(decode)
    apply_records(world, [Record('t1', b'ready', 1)], 0)
    apply_records(world, [Record('t1', None, 2)], 1)
    assert not world.targets


def test_entry_that_was_leaving_is_gone_even_after_an_outage():
    world = World(decode)
    apply_records(world, [Record('t1', b'leaving', 1)], 0)
    world.regained_at = 10
    apply_records(world, [Record('t1', None, 2)], 10)
    assert not world.targets


def usable(world):
    return {
        key for key, each in world.targets.items() if is_usable(world, each)
    }


def test_target_whose_address_another_published_since_gets_nothing():
    def born_earlier(record, now):
        entry = decode(record, now)
        return entry and entry._replace(born_ms=-record.revision)

    world = World(born_earlier)
    apply_records(world, [Record('t1', b'ready', 1)], 10)
    assert usable(world) == {'t1'}
    apply_records(world, [Record('t2', b'ready', 2)], 11)
    assert usable(world) == {'t2'}
    assert target_at(world, ('10.0.0.1', 1)).target_id == 't2'
    apply_records(world, [Record('t2', None, 3)], 12)
    assert usable(world) == {'t1'}


def test_entry_that_is_only_held_does_not_replace_a_newer_one():
    world = World(decode)
    apply_records(world, [Record('t1', b'ready', 1)], 10)
    world.regained_at = 20
    apply_records(world, [Record('t2', b'ready', 2)], 20)
    apply_records(world, [Record('t1', None, 3)], 20.1)
    assert 't1' in world.held
    assert usable(world) == {'t2'}
    release_held(world, 30)
    assert usable(world) == {'t2'}
