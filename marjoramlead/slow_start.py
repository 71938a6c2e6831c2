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
    'on_answer',
    'on_cleared',
    'on_cold',
    'on_failure',
    'on_suspicion',
    'window_of',
)


@dataclass(slots=True)
class SlowStart:
    """How warm one target is.

    Attributes
    ----------
    answers
        Whole answers since the target was last cold, less what distress took.
    held_back
        Answers that count again if the target turns out not to be cold.
    """

    answers: int = 0
    held_back: int = 0


def window_of(state: SlowStart, terms: ServiceTerms) -> int:
    """Count the requests at once that the target is given now."""
    cold = terms['cold_slots']
    warmed = min(state.answers, terms['warm_answers'])
    growth = (terms['slots'] - cold) * warmed // terms['warm_answers']
    return cold + growth


def on_answer(state: SlowStart, terms: ServiceTerms) -> None:
    """Count a whole answer; more than the target needs count for nothing."""
    state.answers = min(state.answers + 1, terms['warm_answers'])


def on_failure(state: SlowStart) -> None:
    """Halve the window after an answer that shows distress."""
    state.answers //= 2


def on_suspicion(state: SlowStart) -> None:
    """Treat the target as cold until its next load report."""
    state.held_back = max(state.held_back, state.answers)
    state.answers = 0


def on_cleared(state: SlowStart) -> None:
    """Give back what was held back: the target had not restarted."""
    state.answers += state.held_back
    state.held_back = 0


def on_cold(state: SlowStart) -> None:
    """Begin again, after a sign that the target has restarted."""
    state.answers = 0
    state.held_back = 0
