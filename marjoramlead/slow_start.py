"""Limit the concurrency of a target that has started recently.

The concurrency limit starts at the contract's ``cold_slots`` and reaches all
``slots`` after ``warm_answers`` complete answers. It grows with completed work,
never with time alone. An answer that shows distress halves the progress, so
the limit of a target that went cold unnoticed is lowered within a few answers.
"""

from dataclasses import dataclass

from marjoramlead.generated.contract_types import ServiceTerms

__all__ = (
    'SlowStart',
    'concurrency_limit',
    'on_answer',
    'on_distress',
    'on_restart',
    'on_restart_ruled_out',
    'on_suspected_restart',
)


@dataclass(slots=True)
class SlowStart:
    """Warm-up progress of one target.

    Attributes
    ----------
    answers
        Complete answers since the target was last cold, halved at each sign of
        distress.
    suspended_answers
        Answers that count again if the target turns out not to have restarted.
    """

    answers: int = 0
    suspended_answers: int = 0


def concurrency_limit(state: SlowStart, terms: ServiceTerms) -> int:
    """Return how many requests the target may run concurrently."""
    cold = terms['cold_slots']
    counted_answers = min(state.answers, terms['warm_answers'])
    growth = (terms['slots'] - cold) * counted_answers // terms['warm_answers']
    return cold + growth


def on_answer(state: SlowStart, terms: ServiceTerms) -> None:
    """Count a complete answer, up to the number that ends the slow start."""
    state.answers = min(state.answers + 1, terms['warm_answers'])


def on_distress(state: SlowStart) -> None:
    """Halve the progress after an answer that shows distress."""
    state.answers //= 2


def on_suspected_restart(state: SlowStart) -> None:
    """Treat the target as cold until its next load report."""
    state.suspended_answers = max(state.suspended_answers, state.answers)
    state.answers = 0


def on_restart_ruled_out(state: SlowStart) -> None:
    """Restore the suspended answers, as the target has not restarted."""
    state.answers += state.suspended_answers
    state.suspended_answers = 0


def on_restart(state: SlowStart) -> None:
    """Begin the slow start again after the target has restarted."""
    state.answers = 0
    state.suspended_answers = 0
