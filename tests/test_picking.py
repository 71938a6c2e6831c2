from random import Random

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.picking import (
    TargetStates,
    pick_target,
    preferred_targets,
    record_reachability,
)
from marjoramlead.retries import (
    MAX_TOKENS,
    RetryBudget,
    credit_first_attempt,
    may_retry,
    spend_retry,
)
from marjoramlead.snapshot import ContractRoute, Target
from marjoramlead.verdict import Verdict
from tests.mesh import Mesh

HOSTS = [f'h-{number}' for number in range(6)]
hosts = st.sets(st.sampled_from(HOSTS))


def target(host, data_centre='walsall'):
    return Target(host, data_centre, '127.0.0.1', 1, 2, 'c', 's', False)


TARGETS = [
    target(host, ('walsall', 'lichfield')[number % 2])
    for number, host in enumerate(HOSTS)
]


@given(hosts, hosts)
def test_own_data_centre_is_preferred_while_it_accepts_work(tried, in_backoff):
    chosen = preferred_targets(TARGETS, 'walsall', tried, in_backoff)
    local = [each for each in TARGETS if each.data_centre == 'walsall']
    accepting = {each.host for each in local} - tried - in_backoff
    assert not {each.host for each in chosen} & tried
    if accepting:
        assert {each.data_centre for each in chosen} == {'walsall'}
    else:
        assert len(chosen) == len(HOSTS) - len(tried)


@given(hosts, st.integers(0, 99))
def test_ejected_targets_are_skipped_unless_most_targets_are_ejected(
    ejected, seed
):
    states = TargetStates()
    for host in ejected:
        record_reachability(states.state_of(host), 0, reachable=False)
    chosen = pick_target(TARGETS, states, Random(seed), 1)
    if len(ejected) * 2 <= len(HOSTS):
        assert chosen.host not in ejected
    assert chosen is not None


def test_ejection_expires():
    states = TargetStates()
    record_reachability(states.state_of('h-0'), 0, reachable=False)
    assert pick_target([TARGETS[0]], states, Random(1), 3).host == 'h-0'


@given(st.integers(0, 300), st.floats(0, 1))
def test_retries_are_limited_to_a_share_of_first_attempts(calls, share):
    budget = RetryBudget()
    retries = 0
    for _ in range(calls):
        credit_first_attempt(budget, share)
        retries += sum(spend_retry(budget) for _try in range(20))
    assert retries <= calls * share + MAX_TOKENS


@given(
    st.sampled_from(['idempotent', 'at_most_once', 'upload', 'internal']),
    st.sampled_from(Verdict),
    st.integers(1, 4),
)
def test_retry_respects_attempt_limit_and_kind(kind, verdict, attempts_made):
    route = ContractRoute('r', 's', frozenset(), '/', kind, 1, 3)
    allowed = may_retry(route, verdict, attempts_made)
    if attempts_made >= route.attempts or verdict is Verdict.RAN:
        assert not allowed
    if kind in {'at_most_once', 'upload'} and verdict is not Verdict.NOT_RUN:
        assert not allowed


def test_retry_budget_bounds_load_when_all_targets_fail():
    mesh = Mesh(nodes=4)
    mesh.net.refusing_ports = set(mesh.net.sites) - {1000, 1001, 1002, 1003}
    for _ in range(100):
        mesh.call(0)
        mesh.net.advance(0.01)
    retried = sum(
        count
        for name, count in mesh.counters[0].by_name().items()
        if name.startswith('retried.')
    )
    share = mesh.store.snapshot.contracts['tamworth'].retry_share
    assert retried <= 100 * share + MAX_TOKENS


def test_call_is_refused_at_once_when_the_gateway_is_full():
    mesh = Mesh(nodes=1)
    mesh.gateways[0].in_flight = 2000
    call = mesh.call(0)
    mesh.net.pump()
    assert call.ended[0].reason == 'gateway_full'
    assert call.ended[0].verdict == 'not_run'
