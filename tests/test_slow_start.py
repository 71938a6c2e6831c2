from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.slow_start import (
    SlowStart,
    concurrency_limit,
    on_answer,
    on_distress,
    on_restart,
)
from tests.mesh import TARGET, Mesh
from tests.samples import contract

TERMS = contract()['services'][0]
steps = st.lists(st.sampled_from([on_answer, on_distress, on_restart]))


@given(steps)
def test_window_stays_between_cold_and_all_slots(taken):
    state = SlowStart()
    for step in taken:
        if step is on_answer:
            step(state, TERMS)
        else:
            step(state)
        assert (
            TERMS['cold_slots']
            <= concurrency_limit(state, TERMS)
            <= TERMS['slots']
        )


def test_all_slots_after_the_answers_of_the_contract():
    state = SlowStart()
    for _ in range(TERMS['warm_answers']):
        assert concurrency_limit(state, TERMS) < TERMS['slots']
        on_answer(state, TERMS)
    assert concurrency_limit(state, TERMS) == TERMS['slots']


def warm_mesh():
    mesh = Mesh(nodes=1)
    mesh.report_load(0)
    for _ in range(40):
        mesh.call(0)
        mesh.call(0)
        mesh.net.advance(0.05)
    return mesh


def load(mesh, rounds):
    for _ in range(rounds):
        for _call in range(3):
            mesh.call(0)
        mesh.net.advance(0.05)


def test_target_that_goes_cold_without_a_sign_is_spared():
    mesh = warm_mesh()
    mesh.targets[0].answers = 0
    load(mesh, 120)
    assert mesh.total_collapses() <= 2 * TERMS['slots']


def test_target_that_restarts_in_full_load_is_spared():
    mesh = warm_mesh()
    for _ in range(10):
        mesh.call(0)
    mesh.net.pump()
    mesh.start_target(0)
    load(mesh, 60)
    assert not mesh.total_collapses()


def test_target_that_restarts_while_idle_is_spared():
    mesh = warm_mesh()
    mesh.net.advance(1)
    mesh.start_target(0)
    load(mesh, 60)
    assert not mesh.total_collapses()


def test_restart_is_suspected_before_the_report_comes():
    mesh = warm_mesh()
    mesh.net.advance(1)
    mesh.watches[0].is_asking = True
    mesh.start_target(0)
    load(mesh, 60)
    assert not mesh.total_collapses()


def test_closed_connection_of_a_warm_target_costs_no_warmth():
    mesh = warm_mesh()
    mesh.net.reset(TARGET)
    mesh.net.advance(0.1)
    state = mesh.guards[0].admission.slow_start
    assert concurrency_limit(state, TERMS) == TERMS['slots']
