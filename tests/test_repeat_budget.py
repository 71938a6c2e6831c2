"""Repeats of the whole fleet stay below what is granted, in any window."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.repeat_budget import (
    RepeatBudget,
    RepeatBudgetConfig,
    record_request,
    try_spend_repeat,
)

TERMS = RepeatBudgetConfig(ratio=0.2, slack=60, window_s=10)
steps = st.lists(
    st.tuples(st.integers(0, 3), st.booleans(), st.floats(0, 0.5)),
    max_size=400,
)


@given(steps)
def test_fleet_keeps_to_the_budget(played):
    budgets = [RepeatBudget(TERMS, lambda: 4) for _node in range(4)]
    now = 0.0
    requests, repeats = [], []
    for node, is_request, pause in played:
        now += pause
        if is_request:
            record_request(budgets[node], 'web', now)
            requests.append(now)
        elif try_spend_repeat(budgets[node], 'web', now):
            repeats.append(now)
        asked = sum(at > now - 10 for at in requests)
        repeated = sum(at > now - 10 for at in repeats)
        assert repeated <= 0.2 * asked + 60


def test_repeats_of_callers_and_their_calls_together_keep_to_the_budget():
    """Calls are repeated first, then their callers, whose calls come on top."""
    caller_node = RepeatBudget(TERMS, lambda: 2)
    client_node = RepeatBudget(TERMS, lambda: 2)
    repeats = 0
    requests = 0
    for step in range(8000):
        now = step / 400
        record_request(caller_node, 'caller', now)
        record_request(caller_node, 'called', now)
        if step % 3 == 0:
            record_request(client_node, 'called', now)
        if now < 10:
            continue
        requests += 2 if step % 3 == 0 else 1
        if now < 12:
            repeats += try_spend_repeat(client_node, 'called', now)
            repeats += try_spend_repeat(caller_node, 'called', now)
        elif try_spend_repeat(caller_node, 'caller', now):
            record_request(caller_node, 'called', now, repeat_probability=1)
            repeats += 1  # the call that the repeated run makes again
    assert repeats <= 0.2 * requests + 60


def repeats_left_after(repeated):
    """Count the repeats left after a hundred requests, some of them charged."""
    budget = RepeatBudget(TERMS, lambda: 4)
    for number in range(100):
        record_request(budget, 'web', 1.0, repeat_probability=number < repeated)
    return sum(try_spend_repeat(budget, 'web', 1.0) for _each in range(100))


def test_calls_of_repeated_runs_leave_less_to_take():
    assert repeats_left_after(repeated=0) - repeats_left_after(repeated=5) == 5
