"""Candidate sets of the senders of a large service."""

from collections import Counter

import pytest

from bench.placement_model import PlacementScenario, simulate_placement
from marjoramlead.candidates import (
    MAX_CANDIDATES,
    MIN_REMOTE_CANDIDATES,
    CandidateIndex,
    candidates_of,
    draw_candidates,
)
from marjoramlead.mesh_state import MeshState, TargetEntry, note_leaving
from marjoramlead.mesh_updates import apply_records
from marjoramlead.record_log import Record
from tests.samples import rev

DATA_CENTRES = 'abcdef'
SENDERS = 194
SEED = 1


def target(number, data_centre):
    return TargetEntry(
        f'i-{number}', 'web', (f'10.0.{number >> 8}.{number & 255}', 1),
        data_centre, 4, False, 0, 0, 0,
    )  # fmt: skip


def fleet(count=SENDERS):
    return [
        target(number, DATA_CENTRES[number % len(DATA_CENTRES)])
        for number in range(count)
    ]


def drawn_by(sender, targets):
    return draw_candidates(targets, sender.address[0], sender.data_centre)


def test_all_targets_of_a_small_service_are_candidates():
    targets = fleet(MAX_CANDIDATES)
    assert drawn_by(targets[0], targets) == targets


@pytest.mark.parametrize('count', [17, SENDERS, 1033, 6231])
def test_set_is_bounded_and_prefers_the_own_host_and_data_centre(count):
    targets = fleet(count)
    sender = targets[5]
    drawn = drawn_by(sender, targets)
    assert len(drawn) == len(set(drawn)) == MAX_CANDIDATES
    assert sender in drawn
    remote = [each for each in drawn if each.data_centre != sender.data_centre]
    assert len(remote) >= MIN_REMOTE_CANDIDATES


def test_lost_data_centre_leaves_a_full_set():
    targets = [each for each in fleet() if each.data_centre != 'a']
    drawn = draw_candidates(targets, '10.0.0.0', 'a')
    assert len(drawn) == MAX_CANDIDATES
    assert len({each.data_centre for each in drawn}) > 1


def set_counts(targets):
    """Return in how many senders' sets each target is."""
    return Counter(
        each for sender in targets for each in drawn_by(sender, targets)
    )


def test_each_target_is_in_some_sets_and_none_in_twice_the_mean_number():
    targets = fleet()
    counts = set_counts(targets)
    assert set(counts) == set(targets)
    assert max(counts.values()) <= 2 * MAX_CANDIDATES


def test_each_target_is_in_half_the_mean_number_of_sets_or_more():
    assert min(set_counts(fleet()).values()) >= MAX_CANDIDATES / 2


def test_set_changes_little_when_a_target_leaves():
    targets = fleet()
    left = targets[17]
    remaining = [each for each in targets if each != left]
    for sender in remaining:
        before, after = (
            set(drawn_by(sender, each)) for each in (targets, remaining)
        )
        assert len(after - before) == (left in before)


def decode(record, now):
    return target(int(record.key), 'a')


def test_candidates_follow_the_mesh():
    mesh_state = MeshState(decode)
    index = CandidateIndex('10.0.0.0', 'a')
    assert not candidates_of(index, mesh_state, 'web')
    apply_records(mesh_state, [Record('1', b'', rev(1))], 0)
    apply_records(mesh_state, [Record('2', b'', rev(2))], 0)
    first, second = candidates_of(index, mesh_state, 'web')
    assert not candidates_of(index, mesh_state, 'api')
    note_leaving(mesh_state, first)
    assert list(candidates_of(index, mesh_state, 'web')) == [second]
    apply_records(mesh_state, [Record('2', None, rev(3))], 0)
    assert not candidates_of(index, mesh_state, 'web')


def served(scenario):
    """Return the shares of requests that are in time, and not refused."""
    outcome = simulate_placement(scenario, SEED)
    return outcome['in_time'], 1 - outcome['refused']


@pytest.mark.parametrize(('factor', 'seconds'), [(0.9, 6), (1.2, 3.5)])
def test_callers_of_a_large_fleet_are_served_as_well_as_of_a_small_one(
    factor, seconds
):
    """Load of nine tenths of the capacity, and of a fifth more than it."""
    small = PlacementScenario(14, factor, seconds=20)
    large = PlacementScenario(SENDERS, factor, seconds=seconds)
    for of_small, of_large in zip(served(small), served(large), strict=True):
        assert of_large >= of_small


@pytest.mark.parametrize('lost', [0, 1])
def test_candidates_serve_no_fewer_callers_than_all_targets(lost):
    """Load of a tenth less than the capacity of what is not lost."""
    drawn = PlacementScenario(SENDERS, 0.9, lost=lost, seconds=3)
    among_all = drawn._replace(chooses_among_all=True)
    for of_all, of_drawn in zip(served(among_all), served(drawn), strict=True):
        assert of_drawn >= of_all
