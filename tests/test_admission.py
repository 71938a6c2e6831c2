from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramlead.admission import (
    Admission,
    Entry,
    admit,
    expire,
    finish,
    latest_start,
    note_answer,
    start_drain,
)
from marjoramlead.slow_start import concurrency_limit, on_restart
from marjoramlead.verdict import Reason, Verdict
from tests.samples import contract

TERMS = contract()['services'][1]
KINDS = ['idempotent', 'at_most_once', 'upload', 'internal']


class AdmissionMachine(RuleBasedStateMachine):
    """Requests that come, wait, run and end in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.number = 0
        self.state = Admission(TERMS)
        self.at_most = TERMS['cold_slots']

    @rule(kind=st.sampled_from(KINDS), wait=st.floats(0, 5))
    def come(self, kind, wait):
        self.number += 1
        entry = Entry(self.number, kind, self.now + wait)
        refusal = admit(self.state, entry, self.now)
        known = {each.number for each in self.state.waiting}
        known |= set(self.state.running)
        assert (entry.number in known) == (refusal is None)
        if refusal is not None:
            assert refusal.verdict is Verdict.NOT_RUN
            assert refusal.retry_after >= 1

    @rule(index=st.integers(0, 20), is_answer=st.booleans())
    def end(self, index, is_answer):
        if self.state.running:
            numbers = sorted(self.state.running)
            number = numbers[index % len(numbers)]
            if is_answer:
                note_answer(self.state, number, self.now)
            finish(self.state, number, self.now)

    @rule(index=st.integers(0, 20))
    def give_up(self, index):
        if self.state.waiting:
            waits = [each.number for each in self.state.waiting]
            assert expire(self.state, waits[index % len(waits)])

    @rule()
    def go_cold(self):
        on_restart(self.state.slow_start)

    @rule(seconds=st.floats(0.001, 1))
    def pass_time(self, seconds):
        self.now += seconds

    @invariant()
    def limits_hold(self):
        state = self.state
        kinds = [entry.kind for entry, _began in state.running.values()]
        assert len(kinds) <= TERMS['slots']
        assert kinds.count('upload') <= TERMS['upload_slots']
        others = len(kinds) - kinds.count('internal')
        assert others <= TERMS['slots'] - TERMS['internal_slots']
        assert len(state.waiting) <= TERMS['queue']

    @invariant()
    def internal_checks_wait_in_front(self):
        kinds = [each.kind == 'internal' for each in self.state.waiting]
        assert kinds == sorted(kinds, reverse=True)


TestAdmission = AdmissionMachine.TestCase


def fill(state, count):
    for number in range(count):
        admit(state, Entry(number, 'idempotent', 9), 0)


def test_cold_target_gets_its_cold_slots():
    state = Admission(TERMS)
    fill(state, 9)
    assert len(state.running) < concurrency_limit(state.slow_start, TERMS) + 1
    assert concurrency_limit(state.slow_start, TERMS) == TERMS['cold_slots']


def test_internal_check_runs_when_all_other_slots_are_taken():
    state = Admission(TERMS)
    state.slow_start.answers = TERMS['warm_answers']
    fill(state, 50)
    assert admit(state, Entry(99, 'internal', 9), 0) is None
    assert 99 in state.running


def test_request_that_cannot_end_in_time_is_refused_at_once():
    state = Admission(TERMS, service_s=1)
    fill(state, 2)
    entry = Entry(99, 'idempotent', 1.2)
    assert admit(state, entry, 0).reason is Reason.OVERLOAD
    assert latest_start(state, entry) < entry.deadline


def test_drain_refuses_the_waiting_and_lets_the_running_end():
    state = Admission(TERMS)
    fill(state, 5)
    running = set(state.running)
    waiting = start_drain(state)
    assert {each.number for each in waiting} | running == set(range(5))
    assert set(state.running) == running
    late = Entry(99, 'internal', 9)
    assert admit(state, late, 0).reason is Reason.DRAINING
