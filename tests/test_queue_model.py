"""What callers get from the queues under loads that last."""

import pytest

from bench.queue_model import KINDS, Kind, Load, play

# The platform's rules: what is urgent is not served less often than others, by
# more than 5 in 100; a kind that is served less than a quarter as often as all
# is starved.
URGENT_WITHIN = 0.05
STARVED = 0.25
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


@pytest.mark.parametrize('factor', [1.5, 2.2, 4.0])
def test_no_kind_is_starved_by_equals_with_tighter_deadlines(factor):
    rows = by_kind(Load(factor, seconds=10), CALLS)
    asked = sum(row['asked'] for row in rows.values())
    mean = sum(answered(row) * row['asked'] for row in rows.values()) / asked
    assert min(map(answered, rows.values())) >= STARVED * mean


@pytest.mark.parametrize('factor', [0.9, 1.5, 3.0])
def test_what_is_urgent_is_served_most_often(factor):
    rows = by_kind(Load(factor), KINDS)
    urgent, upload, browse = (answered(rows[kind.name]) for kind in KINDS)
    assert urgent >= upload - URGENT_WITHIN
    assert upload >= browse - URGENT_WITHIN
