"""The repeats of all nodes must stay within the budget in any window."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.repeat_budget import (
    RepeatBudget,
    RepeatBudgetConfig,
    record_request,
    try_spend_repeat,
)

CONFIG = RepeatBudgetConfig(ratio=0.2, slack=60, window_s=10)
steps = st.lists(
    st.tuples(st.integers(0, 3), st.booleans(), st.floats(0, 0.5)),
    max_size=400,
)


@given(steps)
def test_repeats_of_all_nodes_keep_to_the_budget(events):
    budgets = [RepeatBudget(CONFIG, lambda: 4) for _node in range(4)]
    now = 0.0
    requests, repeats = [], []
    for node, is_request, pause in events:
        now += pause
        if is_request:
            record_request(budgets[node], 'web', now)
            requests.append(now)
        elif try_spend_repeat(budgets[node], 'web', now):
            repeats.append(now)
        requested = sum(at > now - 10 for at in requests)
        repeated = sum(at > now - 10 for at in repeats)
        assert repeated <= 0.2 * requested + 60


def test_repeats_of_callers_and_their_calls_together_keep_to_the_budget():
    """Repeat calls first, then the callers, which make their calls again."""
    caller_node = RepeatBudget(CONFIG, lambda: 2)
    client_node = RepeatBudget(CONFIG, lambda: 2)
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
            repeats += 1  # the call that the repeated caller makes again
    assert repeats <= 0.2 * requests + 60


def repeats_left_after(from_repeats):
    """Count the repeats left after 100 requests, some made by repeats."""
    budget = RepeatBudget(CONFIG, lambda: 4)
    for number in range(100):
        record_request(
            budget, 'web', 1.0, repeat_probability=number < from_repeats
        )
    return sum(try_spend_repeat(budget, 'web', 1.0) for _each in range(100))


def test_calls_made_by_repeats_reduce_the_budget():
    assert (
        repeats_left_after(from_repeats=0) - repeats_left_after(from_repeats=5)
        == 5
    )
