"""Retry budgets, and which failed attempts may be retried."""

from dataclasses import dataclass
from typing import Final

from marjoramlead.snapshot import ContractRoute
from marjoramlead.verdict import Verdict

__all__ = ('RetryBudget', 'credit_first_attempt', 'may_retry', 'spend_retry')

MAX_TOKENS: Final = 10.0
RETRIABLE_KINDS: Final = frozenset(('idempotent', 'internal'))


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits the retries of one customer at this node.

    Attributes
    ----------
    tokens
        Retries left, with fractions. Each first attempt adds the contract's
        ``retry_share``, up to ``MAX_TOKENS``; each retry takes one.
    """

    tokens: float = 1


def credit_first_attempt(budget: RetryBudget, retry_share: float) -> None:
    """Add the share of a retry that a first attempt earns."""
    budget.tokens = min(MAX_TOKENS, budget.tokens + retry_share)


def spend_retry(budget: RetryBudget) -> bool:
    """Take a token for a retry and return whether there was one."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


def may_retry(
    route: ContractRoute, verdict: Verdict, attempts_made: int
) -> bool:
    """Return whether the contract allows another attempt.

    Parameters
    ----------
    route
        Route of the call.
    verdict
        Whether a target executed the last attempt, as far as is known.
    attempts_made
        Number of attempts so far, including the last one.
    """
    if attempts_made >= route.attempts or verdict is Verdict.RAN:
        return False
    return verdict is Verdict.NOT_RUN or route.kind in RETRIABLE_KINDS
