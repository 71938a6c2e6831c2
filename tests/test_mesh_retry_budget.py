"""The retries of all nodes must stay within the budget in any window."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.mesh_retry_budget import (
    MeshRetryBudget,
    MeshRetryBudgetConfig,
    record_request,
    try_spend_retry,
)

CONFIG = MeshRetryBudgetConfig(ratio=0.2, slack=60, window_s=10)
steps = st.lists(
    st.tuples(st.integers(0, 3), st.booleans(), st.floats(0, 0.5)),
    max_size=400,
)


@given(steps)
def test_retries_of_all_nodes_keep_to_the_budget(events):
    budgets = [MeshRetryBudget(CONFIG, lambda: 4) for _node in range(4)]
    now = 0.0
    requests, retries = [], []
    for node, is_request, pause in events:
        now += pause
        if is_request:
            record_request(budgets[node], 'web', now)
            requests.append(now)
        elif try_spend_retry(budgets[node], 'web', now):
            retries.append(now)
        requested = sum(at > now - 10 for at in requests)
        retried = sum(at > now - 10 for at in retries)
        assert retried <= 0.2 * requested + 60


def test_retries_of_callers_and_their_calls_together_keep_to_the_budget():
    """Retry calls first, then the callers, which make their calls again."""
    caller_node = MeshRetryBudget(CONFIG, lambda: 2)
    client_node = MeshRetryBudget(CONFIG, lambda: 2)
    retries = 0
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
            retries += try_spend_retry(client_node, 'called', now)
            retries += try_spend_retry(caller_node, 'called', now)
        elif try_spend_retry(caller_node, 'caller', now):
            record_request(caller_node, 'called', now, retry_probability=1)
            retries += 1  # the call that the retried caller makes again
    assert retries <= 0.2 * requests + 60


def retries_left_after(from_retries):
    """Count the retries left after 100 requests, some made by retries."""
    budget = MeshRetryBudget(CONFIG, lambda: 4)
    for number in range(100):
        record_request(
            budget, 'web', 1.0, retry_probability=number < from_retries
        )
    return sum(try_spend_retry(budget, 'web', 1.0) for _each in range(100))


def test_calls_made_by_retries_reduce_the_budget():
    assert (
        retries_left_after(from_retries=0) - retries_left_after(from_retries=5)
        == 5
    )
