"""A target that restarts or goes cold must not be overloaded."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.slow_start import (
    SlowStart,
    concurrency_limit,
    on_failure,
    on_restart,
    on_success,
)
from tests.mesh import TARGET, Mesh
from tests.samples import contract

TERMS = contract()['services'][0]
handlers = st.lists(st.sampled_from([on_success, on_failure, on_restart]))


@given(handlers)
def test_concurrency_limit_stays_between_cold_slots_and_all_slots(calls):
    state = SlowStart()
    for handler in calls:
        if handler is on_success:
            handler(state, TERMS)
        else:
            handler(state)
        assert (
            TERMS['cold_slots']
            <= concurrency_limit(state, TERMS)
            <= TERMS['slots']
        )


def test_limit_reaches_all_slots_after_warm_answers():
    state = SlowStart()
    for _ in range(TERMS['warm_answers']):
        assert concurrency_limit(state, TERMS) < TERMS['slots']
        on_success(state, TERMS)
    assert concurrency_limit(state, TERMS) == TERMS['slots']


def warm_mesh():
    mesh = Mesh(nodes=1)
    mesh.report_load(0)
    for _ in range(40):
        mesh.call(0)
        mesh.call(0)
        mesh.net.advance(0.05)
    return mesh


def send_load(mesh, rounds):
    for _ in range(rounds):
        for _call in range(3):
            mesh.call(0)
        mesh.net.advance(0.05)


def test_target_that_goes_cold_unnoticed_is_not_overloaded():
    mesh = warm_mesh()
    mesh.targets[0].answers = 0
    send_load(mesh, 120)
    assert mesh.total_collapses() <= 2 * TERMS['slots']


def test_target_restarted_under_full_load_is_not_overloaded():
    mesh = warm_mesh()
    for _ in range(10):
        mesh.call(0)
    mesh.net.pump()
    mesh.start_target(0)
    send_load(mesh, 60)
    assert not mesh.total_collapses()


def test_target_restarted_while_idle_is_not_overloaded():
    mesh = warm_mesh()
    mesh.net.advance(1)
    mesh.start_target(0)
    send_load(mesh, 60)
    assert not mesh.total_collapses()


def test_restart_is_suspected_before_the_next_load_report():
    mesh = warm_mesh()
    mesh.net.advance(1)
    mesh.restart_monitors[0].is_polling = True
    mesh.start_target(0)
    send_load(mesh, 60)
    assert not mesh.total_collapses()


def test_warm_target_keeps_its_progress_after_a_closed_connection():
    mesh = warm_mesh()
    mesh.net.reset(TARGET)
    mesh.net.advance(0.1)
    state = mesh.guards[0].admission.slow_start
    assert concurrency_limit(state, TERMS) == TERMS['slots']
