"""Whether a failed attempt may be followed by another one."""

from dataclasses import dataclass
from typing import Final

from marjoramlead.snapshot import Route
from marjoramlead.verdict import Verdict

__all__ = ('RetryBudget', 'credit_first_attempt', 'may_retry', 'spend_retry')

MAX_TOKENS: Final = 10.0
RETRIABLE_KINDS: Final = frozenset(('idempotent', 'internal'))


@dataclass(slots=True)
class RetryBudget:
    """Retries that one customer may still make at this node.

    Attributes
    ----------
    tokens
        Retries left; each first attempt adds the contract's share.
    """

    tokens: float = 1


def credit_first_attempt(budget: RetryBudget, retry_share: float) -> None:
    """Earn a share of a retry."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + retry_share)


def spend_retry(budget: RetryBudget) -> bool:
    """Spend one retry if one is left."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


def may_retry(route: Route, verdict: Verdict, attempts_made: int) -> bool:
    """Whether the contract allows another attempt after this verdict.

    Parameters
    ----------
    route
        As the contract has it.
    verdict
        Whether the last attempt may have run.
    attempts_made
        Attempts so far, the last one included.
    """
    if attempts_made >= route.attempts or verdict is Verdict.RAN:
        return False
    return verdict is Verdict.NOT_RUN or route.kind in RETRIABLE_KINDS
