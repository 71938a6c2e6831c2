"""How much load a target that started a moment ago may bear.

The window starts at what the contract says that a cold target bears, and
reaches all slots after as many whole answers as the contract asks for. It
grows on work done, never on time alone. An answer that shows distress halves
the window: a target that went cold without a sign is found in a few answers.
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
    """How warm one target is.

    Attributes
    ----------
    answers
        Whole answers since the target was last cold, less what distress took.
    suspended_answers
        Answers that count again if the target turns out not to be cold.
    """

    answers: int = 0
    suspended_answers: int = 0


def concurrency_limit(state: SlowStart, terms: ServiceTerms) -> int:
    """Count the requests at once that the target is given now."""
    cold = terms['cold_slots']
    warmed = min(state.answers, terms['warm_answers'])
    growth = (terms['slots'] - cold) * warmed // terms['warm_answers']
    return cold + growth


def on_answer(state: SlowStart, terms: ServiceTerms) -> None:
    """Count a whole answer; more than the target needs count for nothing."""
    state.answers = min(state.answers + 1, terms['warm_answers'])


def on_distress(state: SlowStart) -> None:
    """Halve the window after an answer that shows distress."""
    state.answers //= 2


def on_suspected_restart(state: SlowStart) -> None:
    """Treat the target as cold until its next load report."""
    state.suspended_answers = max(state.suspended_answers, state.answers)
    state.answers = 0


def on_restart_ruled_out(state: SlowStart) -> None:
    """Give back what was held back: the target had not restarted."""
    state.answers += state.suspended_answers
    state.suspended_answers = 0


def on_restart(state: SlowStart) -> None:
    """Begin again, after a sign that the target has restarted."""
    state.answers = 0
    state.suspended_answers = 0
