"""What callers get from the queues under loads that last."""

import pytest

from bench.queue_load import KINDS, Kind, Load, play

# The users' letter: what is urgent is not served less often than what is less
# urgent, by more than 5 in 100; equals may differ by 15 in 100 of their worth.
EQUAL_WITHIN = 0.15
URGENT_WITHIN = 0.05
# Of the work done, so much at most may go to answers that come late.
LATE_AT_MOST = 0.25
# Work times scatter, so a few answers come after the deadline.
EXPIRED_AT_MOST = 0.02

CALLS = (
    Kind('booking', 1, 0.33, 0.12, 0.4, 1.5, 2, 0.6),
    Kind('call', 1, 0.67, 0.022, 0.1, 0.25, 1, 0.3),
)


def by_kind(load, kinds, seed=1):
    return {row['kind']: row for row in play(load, kinds, seed)}


def answered(row):
    return row['in_time'] + row['late']


@pytest.mark.parametrize('factor', [1.2, 1.5, 2.0])
def test_slots_are_spent_on_answers_in_time(factor):
    rows = by_kind(Load(factor), KINDS)
    work = {kind.name: kind.share * kind.work for kind in KINDS}
    in_time = sum(work[name] * row['in_time'] for name, row in rows.items())
    late = sum(work[name] * row['late'] for name, row in rows.items())
    assert late <= LATE_AT_MOST * (in_time + late)
    assert all(row['expired'] <= EXPIRED_AT_MOST for row in rows.values())


@pytest.mark.parametrize('factor', [1.5, 2.2])
def test_equals_are_served_equally_often(factor):
    rows = by_kind(Load(factor), CALLS)
    shares = [answered(row) for row in rows.values()]
    assert max(shares) - min(shares) <= EQUAL_WITHIN


@pytest.mark.parametrize('factor', [0.9, 1.5, 3.0])
def test_what_is_urgent_is_served_most_often(factor):
    rows = by_kind(Load(factor), KINDS)
    urgent, upload, browse = (answered(rows[kind.name]) for kind in KINDS)
    assert urgent >= upload - URGENT_WITHIN
    assert upload >= browse - URGENT_WITHIN
