"""Limit the concurrency of a target that has started recently.

The concurrency limit starts at the contract's ``cold_slots`` and reaches all
``slots`` after ``warm_answers`` complete, successful responses. It grows with
completed work, never with time alone. Each failure of the target halves the
progress, so the limit of a target that went cold unnoticed is lowered within a
few requests.
"""

from dataclasses import dataclass

from marjoramlead.generated.contract_types import ServiceTerms

__all__ = (
    'SlowStart',
    'concurrency_limit',
    'on_failure',
    'on_restart',
    'on_restart_ruled_out',
    'on_success',
    'on_suspected_restart',
)


@dataclass(slots=True)
class SlowStart:
    """Warm-up progress of one target.

    Attributes
    ----------
    responses
        Successful responses since the target was last cold, halved at each
        failure of the target.
    suspended_responses
        Responses that count again if the target turns out not to have
        restarted.
    """

    responses: int = 0
    suspended_responses: int = 0


def concurrency_limit(state: SlowStart, terms: ServiceTerms) -> int:
    """Return how many requests the target may run concurrently."""
    cold = terms['cold_slots']
    counted_responses = min(state.responses, terms['warm_answers'])
    growth = (
        (terms['slots'] - cold) * counted_responses // terms['warm_answers']
    )
    return cold + growth


def on_success(state: SlowStart, terms: ServiceTerms) -> None:
    """Count a successful response, up to the number that ends slow start."""
    state.responses = min(state.responses + 1, terms['warm_answers'])


def on_failure(state: SlowStart) -> None:
    """Halve the progress after a failure of the target."""
    state.responses //= 2


def on_suspected_restart(state: SlowStart) -> None:
    """Treat the target as cold until its next load report."""
    state.suspended_responses = max(state.suspended_responses, state.responses)
    state.responses = 0


def on_restart_ruled_out(state: SlowStart) -> None:
    """Restore the suspended responses, as the target has not restarted."""
    state.responses += state.suspended_responses
    state.suspended_responses = 0


def on_restart(state: SlowStart) -> None:
    """Begin the slow start again after the target has restarted."""
    state.responses = 0
    state.suspended_responses = 0
