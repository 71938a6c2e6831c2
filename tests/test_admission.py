from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramlead.admission import (
    AdmissionState,
    TrackedRequest,
    admit,
    cancel_waiting,
    finish_request,
    latest_start,
    record_success,
    start_drain,
)
from marjoramlead.slow_start import concurrency_limit, on_restart
from marjoramlead.verdict import Reason, Verdict
from tests.samples import contract

TERMS = contract()['services'][1]
KINDS = ['idempotent', 'at_most_once', 'upload', 'internal']


class AdmissionMachine(RuleBasedStateMachine):
    """Requests arrive, wait, run and end in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.number = 0
        self.state = AdmissionState(TERMS)
        self.cold_slots = TERMS['cold_slots']

    @rule(kind=st.sampled_from(KINDS), seconds_left=st.floats(0, 5))
    def arrive(self, kind, seconds_left):
        self.number += 1
        request = TrackedRequest(self.number, kind, self.now + seconds_left)
        refusal = admit(self.state, request, self.now)
        tracked = {each.number for each in self.state.waiting}
        tracked |= set(self.state.running)
        assert (request.number in tracked) == (refusal is None)
        if refusal is not None:
            assert refusal.verdict is Verdict.NOT_RUN
            assert refusal.retry_after >= 1

    @rule(index=st.integers(0, 20), is_success=st.booleans())
    def finish(self, index, is_success):
        if self.state.running:
            numbers = sorted(self.state.running)
            number = numbers[index % len(numbers)]
            if is_success:
                record_success(self.state, number, self.now)
            finish_request(self.state, number, self.now)

    @rule(index=st.integers(0, 20))
    def cancel(self, index):
        if self.state.waiting:
            waiting_numbers = [each.number for each in self.state.waiting]
            assert cancel_waiting(
                self.state, waiting_numbers[index % len(waiting_numbers)]
            )

    @rule()
    def go_cold(self):
        on_restart(self.state.slow_start)

    @rule(seconds=st.floats(0.001, 1))
    def advance_clock(self, seconds):
        self.now += seconds

    @invariant()
    def limits_hold(self):
        state = self.state
        kinds = [
            request.kind for request, _started_at in state.running.values()
        ]
        assert len(kinds) <= TERMS['slots']
        assert kinds.count('upload') <= TERMS['upload_slots']
        others = len(kinds) - kinds.count('internal')
        assert others <= TERMS['slots'] - TERMS['internal_slots']
        assert len(state.waiting) <= TERMS['queue']

    @invariant()
    def internal_requests_are_queued_first(self):
        kinds = [each.kind == 'internal' for each in self.state.waiting]
        assert kinds == sorted(kinds, reverse=True)


TestAdmission = AdmissionMachine.TestCase


def admit_requests(state, count):
    for number in range(count):
        admit(state, TrackedRequest(number, 'idempotent', 9), 0)


def test_cold_target_runs_at_most_its_cold_slots():
    state = AdmissionState(TERMS)
    admit_requests(state, 9)
    assert len(state.running) < concurrency_limit(state.slow_start, TERMS) + 1
    assert concurrency_limit(state.slow_start, TERMS) == TERMS['cold_slots']


def test_internal_request_runs_when_all_other_slots_are_taken():
    state = AdmissionState(TERMS)
    state.slow_start.responses = TERMS['warm_answers']
    admit_requests(state, 50)
    assert admit(state, TrackedRequest(99, 'internal', 9), 0) is None
    assert 99 in state.running


def test_request_that_cannot_end_in_time_is_refused_at_once():
    state = AdmissionState(TERMS, service_time_s=1)
    admit_requests(state, 2)
    request = TrackedRequest(99, 'idempotent', 1.2)
    assert admit(state, request, 0).reason is Reason.OVERLOAD
    assert latest_start(state, request) < request.deadline


def test_drain_refuses_waiting_requests_and_keeps_running_ones():
    state = AdmissionState(TERMS)
    admit_requests(state, 5)
    running = set(state.running)
    waiting = start_drain(state)
    assert {each.number for each in waiting} | running == set(range(5))
    assert set(state.running) == running
    late_request = TrackedRequest(99, 'internal', 9)
    assert admit(state, late_request, 0).reason is Reason.DRAINING
