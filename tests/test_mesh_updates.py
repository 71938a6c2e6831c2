"""Records of a store that was restored from an older copy."""

import pytest

from marjoramlead.mesh_entries import cold_until
from marjoramlead.mesh_state import (
    ExcludedDataCentre,
    MeshState,
    TargetEntry,
    is_usable,
    may_lack_routes,
    note_leaving,
)
from marjoramlead.mesh_updates import (
    REREGISTRATION_GRACE_S,
    apply_records,
    confirm_revision,
    expire_held_targets,
    remove_unlisted,
    settle_deferred_changes,
)
from marjoramlead.record_log import Record
from marjoramlead.restoration import (
    DEPARTURE_MEMORY_S,
    LEASE_MARGIN_S,
    LIFT_SETTLE_S,
    MAX_DEPARTURES,
    OPERATOR_SETTLE_S,
    Restoration,
    note_departure,
)
from marjoramlead.routes import ClientLimits, RoutingTable
from tests.samples import rev

LEASE_S = 4.5
# Time of the restoration, and of the last change before it.
RESTORED_AT, CHANGED_AT = 100, 90
WRITTEN_AGAIN_AT = RESTORED_AT + 1
ENTRY_SETTLES_AT = RESTORED_AT + LEASE_S + LEASE_MARGIN_S
EXCLUSION_SETTLES_AT = RESTORED_AT + OPERATOR_SETTLE_S
LIFT_SETTLES_AT = RESTORED_AT + LIFT_SETTLE_S
OUT = 'out/a'
CONFIG = 'config'


def decode(record, now):
    """Decode exclusions, routes and targets by their keys."""
    if record.key.startswith('out/'):
        return ExcludedDataCentre(record.key[4:])
    if record.key == CONFIG:
        return RoutingTable(int(record.body), {}, {}, ClientLimits(), 0)
    state, started_ms, warmup_s = record.body.decode().split()
    address = ('10.0.0.1', int(record.key[1:]))
    return TargetEntry(
        record.key, 'web', address, 'b', 4,
        state == 'draining', int(started_ms), float(warmup_s), now,
    )  # fmt: skip


def target(state='ready', started_ms=1000, warmup_s=0):
    return f'{state} {started_ms} {warmup_s}'.encode()


def known_records(**bodies):
    """Return the state of a node that has read some records."""
    mesh_state = MeshState(decode, restoration=Restoration(LEASE_S))
    confirm_revision(mesh_state, rev(5, era=1), 0, 0)
    list_records(mesh_state, rev(5, era=1), bodies, 0)
    return mesh_state


def list_records(mesh_state, revision, bodies, now):
    confirm_revision(mesh_state, revision, now, now)
    records = [
        Record(key.replace('_', '/'), body, revision)
        for key, body in bodies.items()
    ]
    apply_records(mesh_state, records, now)
    keys = [record.key for record in records]
    remove_unlisted(mesh_state, keys, revision, now)


def change(mesh_state, key, body, number=20, now=CHANGED_AT, era=1):
    """Apply one change of the store, without an outage before it."""
    mesh_state.confirmed_at = now
    confirm_revision(mesh_state, rev(number, era), now, now)
    apply_records(mesh_state, [Record(key, body, rev(number, era))], now)


def restore(mesh_state, now=RESTORED_AT, era=2, **bodies):
    """List all records of the restored store, without an outage before it."""
    mesh_state.confirmed_at = now
    list_records(mesh_state, rev(10, era), bodies, now)


def write_again(mesh_state, key, body, now=WRITTEN_AGAIN_AT):
    change(mesh_state, key, body, 11, now, era=2)


def usable(mesh_state):
    return {
        key
        for key, entry in mesh_state.targets.items()
        if is_usable(mesh_state, entry)
    }


def test_node_that_knows_nothing_takes_the_copy():
    mesh_state = MeshState(decode, restoration=Restoration(LEASE_S))
    restore(mesh_state, t1=target(), out_a=b'{}')
    assert usable(mesh_state) == {'t1'}
    assert mesh_state.excluded == {'a': OUT}


def test_keys_that_were_never_known_take_effect_at_once():
    mesh_state = known_records(t1=target())
    restore(mesh_state, t1=target(), t2=target(), out_a=b'{}')
    assert usable(mesh_state) == {'t1', 't2'}
    assert mesh_state.excluded == {'a': OUT}


def test_target_that_was_gone_is_not_used_by_the_word_of_the_copy():
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', None)
    restore(mesh_state, t1=target())
    assert not mesh_state.targets
    assert not settle_deferred_changes(mesh_state, ENTRY_SETTLES_AT - 0.1)
    assert not mesh_state.targets


def test_target_whose_entry_stays_in_the_store_beyond_its_lease_is_used():
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', None)
    restore(mesh_state, t1=target())
    assert settle_deferred_changes(mesh_state, ENTRY_SETTLES_AT) == ['t1']
    assert usable(mesh_state) == {'t1'}


def test_target_that_was_gone_is_used_once_it_is_written_again():
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', None)
    restore(mesh_state, t1=target())
    write_again(mesh_state, 't1', target())
    assert usable(mesh_state) == {'t1'}


def test_target_that_was_gone_and_lapses_is_not_used():
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', None)
    restore(mesh_state, t1=target())
    write_again(mesh_state, 't1', None, RESTORED_AT + LEASE_S)
    assert not settle_deferred_changes(mesh_state, ENTRY_SETTLES_AT)
    assert not mesh_state.targets


def test_target_that_started_after_it_was_gone_is_used_at_once():
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', None)
    restore(mesh_state, t1=target(started_ms=2000))
    assert usable(mesh_state) == {'t1'}


@pytest.mark.parametrize('is_announced', [False, True])
def test_target_that_left_after_an_announcement_does_not_settle(is_announced):
    mesh_state = known_records(t1=target())
    if is_announced:
        note_leaving(mesh_state, mesh_state.targets['t1'])
    else:
        change(mesh_state, 't1', target('draining'), 19)
    change(mesh_state, 't1', None)
    restore(mesh_state, t1=target())
    settle_deferred_changes(mesh_state, ENTRY_SETTLES_AT)
    assert not usable(mesh_state)


def test_draining_target_stays_out_although_the_copy_has_it_as_ready():
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', target('draining'))
    restore(mesh_state, t1=target())
    settle_deferred_changes(mesh_state, RESTORED_AT + 1000)
    assert not usable(mesh_state)
    write_again(mesh_state, 't1', target(started_ms=2000))
    assert usable(mesh_state) == {'t1'}


def test_target_that_announced_its_stop_in_a_response_stays_out():
    mesh_state = known_records(t1=target())
    note_leaving(mesh_state, mesh_state.targets['t1'])
    restore(mesh_state, t1=target())
    settle_deferred_changes(mesh_state, RESTORED_AT + 1000)
    assert not usable(mesh_state)


def test_older_start_of_a_target_takes_effect_after_its_lease():
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', target(started_ms=2000))
    restore(mesh_state, t1=target())
    assert mesh_state.targets['t1'].started_ms == 2000
    assert settle_deferred_changes(mesh_state, ENTRY_SETTLES_AT) == ['t1']
    assert mesh_state.targets['t1'].started_ms == 1000


@pytest.mark.parametrize(
    ('known_s', 'copied_s', 'expected'),
    [
        (30, 0, CHANGED_AT + 30),
        (30, 5, CHANGED_AT + 30),
        (5, 5, CHANGED_AT + 5),
        (0, 5, RESTORED_AT + 5),
        (8, 15, RESTORED_AT + 15),
    ],
)
def test_target_is_cold_until_the_later_time(known_s, copied_s, expected):
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', target(warmup_s=known_s))
    restore(mesh_state, t1=target(warmup_s=copied_s))
    assert cold_until(mesh_state.targets['t1']) == expected


def test_target_that_the_copy_lacks_is_held_although_the_gap_was_short():
    mesh_state = known_records()
    change(mesh_state, 't1', target(), now=RESTORED_AT - 0.5)
    restore(mesh_state)
    assert usable(mesh_state) == {'t1'}
    assert not expire_held_targets(mesh_state, RESTORED_AT + 1.9)
    expired_at = RESTORED_AT + REREGISTRATION_GRACE_S
    assert expire_held_targets(mesh_state, expired_at) == ['t1']
    assert not mesh_state.targets


def test_target_that_is_held_is_kept_if_it_is_written_again():
    mesh_state = known_records()
    change(mesh_state, 't1', target())
    restore(mesh_state)
    write_again(mesh_state, 't1', target())
    assert not expire_held_targets(mesh_state, RESTORED_AT + 1000)
    assert usable(mesh_state) == {'t1'}


def test_draining_target_that_the_copy_lacks_is_gone():
    mesh_state = known_records()
    change(mesh_state, 't1', target('draining'))
    restore(mesh_state)
    assert not mesh_state.targets


def test_target_held_since_an_outage_is_known_in_the_next_era():
    mesh_state = known_records(t1=target())
    mesh_state.reconnected_at = RESTORED_AT - 1
    change(mesh_state, 't1', None, now=RESTORED_AT - 0.5)
    change(mesh_state, 't2', target(), 21, RESTORED_AT - 0.5)
    restore(mesh_state, t2=target())
    assert usable(mesh_state) == {'t1', 't2'}


def test_exclusion_that_the_copy_lacks_is_kept_until_operators_can_write():
    mesh_state = known_records()
    change(mesh_state, OUT, b'{}')
    restore(mesh_state)
    assert not settle_deferred_changes(mesh_state, EXCLUSION_SETTLES_AT - 0.1)
    assert mesh_state.excluded == {'a': OUT}
    assert settle_deferred_changes(mesh_state, EXCLUSION_SETTLES_AT) == [OUT]
    assert not mesh_state.excluded


def test_exclusion_that_is_written_again_does_not_end_by_itself():
    mesh_state = known_records()
    change(mesh_state, OUT, b'{}')
    restore(mesh_state)
    write_again(mesh_state, OUT, b'{}')
    assert not settle_deferred_changes(mesh_state, EXCLUSION_SETTLES_AT)
    assert mesh_state.excluded == {'a': OUT}


def test_exclusion_that_the_copy_lacks_can_be_lifted():
    mesh_state = known_records()
    change(mesh_state, OUT, b'{}')
    restore(mesh_state)
    write_again(mesh_state, OUT, None)
    assert not mesh_state.excluded


def test_lifted_exclusion_returns_only_if_operators_leave_it_there():
    mesh_state = known_records(out_a=b'{}')
    change(mesh_state, OUT, None)
    restore(mesh_state, out_a=b'{}')
    assert not settle_deferred_changes(mesh_state, LIFT_SETTLES_AT - 0.1)
    assert not mesh_state.excluded
    assert settle_deferred_changes(mesh_state, LIFT_SETTLES_AT) == [OUT]
    assert mesh_state.excluded == {'a': OUT}


@pytest.mark.parametrize('body', [b'{}', None])
def test_lifted_exclusion_follows_what_operators_write(body):
    mesh_state = known_records(out_a=b'{}')
    change(mesh_state, OUT, None)
    restore(mesh_state, out_a=b'{}')
    write_again(mesh_state, OUT, body)
    assert bool(mesh_state.excluded) is (body is not None)
    assert not settle_deferred_changes(mesh_state, EXCLUSION_SETTLES_AT)


def test_second_restoration_is_judged_by_what_is_in_force():
    mesh_state = known_records(t1=target(), out_a=b'{}')
    change(mesh_state, 't1', None)
    change(mesh_state, OUT, None, 21)
    restore(mesh_state, t1=target(), out_a=b'{}')
    again_at = RESTORED_AT + 2
    restore(mesh_state, again_at, 3, t1=target(), out_a=b'{}')
    assert not mesh_state.targets
    assert not mesh_state.excluded
    assert not settle_deferred_changes(mesh_state, LIFT_SETTLES_AT)
    assert settle_deferred_changes(mesh_state, LIFT_SETTLES_AT + 2) == [OUT]
    assert not settle_deferred_changes(mesh_state, ENTRY_SETTLES_AT)
    assert settle_deferred_changes(mesh_state, ENTRY_SETTLES_AT + 2) == ['t1']


def test_departures_are_forgotten_in_time():
    mesh_state = known_records(t1=target())
    change(mesh_state, 't1', None, now=RESTORED_AT - DEPARTURE_MEMORY_S)
    restore(mesh_state, t1=target())
    assert usable(mesh_state) == {'t1'}


def test_departures_are_bounded_in_number_and_time():
    restoration = Restoration(LEASE_S)
    for number in range(MAX_DEPARTURES + 5):
        note_departure(restoration, f't{number}', 0)
    assert len(restoration.departures) == MAX_DEPARTURES
    assert 't4' not in restoration.departures
    note_departure(restoration, 't', DEPARTURE_MEMORY_S)
    assert set(restoration.departures) == {'t'}


def test_routes_may_be_lost_until_operators_can_write_them():
    mesh_state = known_records()
    change(mesh_state, CONFIG, b'3')
    assert not may_lack_routes(mesh_state, CHANGED_AT)
    restore(mesh_state, config=b'2')
    assert may_lack_routes(mesh_state, EXCLUSION_SETTLES_AT - 0.1)
    assert not may_lack_routes(mesh_state, EXCLUSION_SETTLES_AT)


@pytest.mark.parametrize('version', [b'3', b'4'])
def test_routes_that_are_written_again_are_settled(version):
    mesh_state = known_records()
    change(mesh_state, CONFIG, b'3')
    restore(mesh_state, config=b'2')
    write_again(mesh_state, CONFIG, version)
    assert not may_lack_routes(mesh_state, WRITTEN_AGAIN_AT)


def test_newer_routes_in_the_copy_may_have_been_replaced():
    mesh_state = known_records()
    change(mesh_state, CONFIG, b'3')
    restore(mesh_state, config=b'4')
    assert may_lack_routes(mesh_state, EXCLUSION_SETTLES_AT - 0.1)
    assert not may_lack_routes(mesh_state, EXCLUSION_SETTLES_AT)
