"""Clients that read their answers slowly, which give way if memory is short."""

from marjoramlead.answer_progress import (
    ANSWER_WINDOW_S,
    KEPT_ANSWER_BYTES_PER_S,
    AnswerProgress,
    judge_reading,
    mark_slow_answers,
)
from marjoramlead.memory_budget import (
    MemoryBudget,
    held_bytes,
    open_hold,
    resize,
)

STEP_S = 0.25


def play(bytes_per_step, unsent=1_000_000, step_s=STEP_S, steps=100):
    """Return at which times the client counts as slow."""
    progress, slow = AnswerProgress(), []
    for step in range(steps):
        progress.sent += bytes_per_step
        now = step * step_s
        judge_reading(
            progress, unsent, KEPT_ANSWER_BYTES_PER_S, ANSWER_WINDOW_S, now
        )
        if progress.is_slow:
            slow.append(now)
    return slow


def test_client_that_reads_too_little_is_slow_after_the_window():
    assert play(0)[0] == ANSWER_WINDOW_S
    assert play(KEPT_ANSWER_BYTES_PER_S * STEP_S - 1)[0] == ANSWER_WINDOW_S


def test_client_that_reads_enough_or_has_all_is_not_slow():
    assert not play(KEPT_ANSWER_BYTES_PER_S * STEP_S)
    assert not play(0, unsent=0)


def test_client_is_not_slow_because_the_host_was_suspended():
    assert not play(0, step_s=2)


def test_answers_that_are_read_slowly_give_way_to_any_message():
    budget, ended = MemoryBudget(1_000), []
    answers = [open_hold(budget) for _answer in range(3)]
    for hold in answers:
        assert resize(hold, 300)
    message = open_hold(budget)
    assert not resize(message, 600)
    progress = AnswerProgress(is_slow=True)
    mark_slow_answers(progress, answers[:2], lambda: ended.append(1))
    assert resize(message, 600)
    assert len(ended) == 2
    assert held_bytes(answers[2]) == 300
    assert not budget.unread


def test_answers_of_a_client_that_reads_again_are_kept():
    budget = MemoryBudget(1_000)
    answer, message = open_hold(budget), open_hold(budget)
    assert resize(answer, 900)
    progress = AnswerProgress(is_slow=True)
    mark_slow_answers(progress, [answer], lambda: None)
    progress.is_slow = False
    mark_slow_answers(progress, [answer], lambda: None)
    assert not resize(message, 600)
    assert held_bytes(answer) == 900
