"""How much load a target that started a moment ago may bear.

The window starts at what the contract says that a cold target bears, and
reaches all slots after as many whole answers as the contract asks for. It
grows on work done, never on time alone.
"""

from dataclasses import dataclass

from marjoramlead.generated.contract_types import ServiceTerms

__all__ = ('SlowStart', 'on_answer', 'on_cold', 'window_of')


@dataclass(slots=True)
class SlowStart:
    """How warm one target is.

    Attributes
    ----------
    answers
        Whole answers since the target was last cold.
    """

    answers: int = 0


def window_of(state: SlowStart, terms: ServiceTerms) -> int:
    """Count the requests at once that the target is given now."""
    cold = terms['cold_slots']
    warmed = min(state.answers, terms['warm_answers'])
    growth = (terms['slots'] - cold) * warmed // terms['warm_answers']
    return cold + growth


def on_answer(state: SlowStart) -> None:
    """Count a whole answer."""
    state.answers += 1


def on_cold(state: SlowStart) -> None:
    """Begin again, after a sign that the target has restarted."""
    state.answers = 0
