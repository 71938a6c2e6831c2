"""What clients get while load exceeds the capacity of targets that call others.

At 2.5 times the usual load, 1.5 times the capacity, what is served in time
stays near capacity, and work that has begun is finished.
"""

from collections import Counter

import pytest

from tests.overload import (
    BOOK,
    BROWSE,
    CALLS_PER_BROWSE,
    STATUS_WORK_S,
    play_load,
)

OVERLOAD = 1.5
SECONDS = 3
SEEDS = (1, 2)
# Shares of the work that is done in time at a load of exactly the capacity, of
# all kinds together and of each. Bookings are more urgent and go to the targets
# that browsing calls, so that browsing holds its slots for longer in overload.
MIN_GOODPUT = 0.9
MIN_GOODPUT_OF_KIND = 0.7
# Share of the started requests that end because a call of theirs was refused.
MAX_ABANDONED = 0.02
# Share of the clients that return when told to, and are refused again.
MAX_REFUSED_AGAIN = 0.02
# Largest share of the answers that may come after the latency objective.
MAX_LATE = 0.25
WORK_S = {
    BROWSE: BROWSE.work_s + CALLS_PER_BROWSE * STATUS_WORK_S,
    BOOK: BOOK.work_s,
}


@pytest.fixture(scope='module')
def overloaded():
    return [play_load(OVERLOAD, SECONDS, seed) for seed in SEEDS]


@pytest.fixture(scope='module')
def at_capacity():
    return [play_load(1, SECONDS, seed) for seed in SEEDS]


def total(load_results, attribute):
    return sum(
        (getattr(each, attribute) for each in load_results), start=Counter()
    )


def count(load_results, outcome):
    return sum(each.count(outcome) for each in load_results)


def goodput_s(load_results, kind):
    """Return the work on requests that were answered in time, in seconds."""
    outcomes = total(load_results, 'outcomes')
    return WORK_S[kind] * outcomes[kind.path, 'in_time']


def test_calls_of_running_requests_are_not_refused_under_overload(overloaded):
    calls = total(overloaded, 'calls')
    assert calls[200] > BROWSE.capacity_per_s
    assert calls[503] <= MAX_ABANDONED * calls.total()
    failed = count(overloaded, 'failed')
    assert failed <= MAX_ABANDONED * (failed + count(overloaded, 'in_time'))


def test_goodput_under_overload_stays_near_capacity(overloaded, at_capacity):
    goodput = {kind: goodput_s(overloaded, kind) for kind in WORK_S}
    capacity = {kind: goodput_s(at_capacity, kind) for kind in WORK_S}
    assert sum(goodput.values()) >= MIN_GOODPUT * sum(capacity.values())
    for kind in WORK_S:
        assert goodput[kind] >= MIN_GOODPUT_OF_KIND * capacity[kind], kind.path


def test_client_that_returns_when_told_is_not_refused_again(overloaded):
    returns = total(overloaded, 'returns')
    assert returns.total()
    assert returns[503] <= MAX_REFUSED_AGAIN * returns.total()


def test_late_answers_do_not_crowd_out_answers_in_time(overloaded):
    late = count(overloaded, 'late')
    assert late <= MAX_LATE * (late + count(overloaded, 'in_time'))
