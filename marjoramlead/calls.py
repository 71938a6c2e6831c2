"""Route calls: match a contract, choose a target, decide on retries."""

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from marjoramlead.picking import (
    TargetStates,
    pick_target,
    preferred_targets,
    usable_targets,
)
from marjoramlead.retries import RetryBudget, may_retry, spend_retry
from marjoramlead.snapshot import (
    Contract,
    ContractRoute,
    Snapshot,
    Target,
    find_route,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'Call',
    'RoutingContext',
    'match_call',
    'next_target',
    'refuse_or_retry',
)


class RoutingContext(NamedTuple):
    """A gateway's location, its view of the targets and its random source."""

    data_centre: str
    states: TargetStates
    rng: Random


class RouteMatch(NamedTuple):
    """The contract and route that apply to a call."""

    contract: Contract
    route: ContractRoute


@dataclass(slots=True)
class Call:
    """A caller's request, from its arrival to its final answer.

    Attributes
    ----------
    snapshot
        Configuration in force when the call arrived. The call uses it to
        its end, whatever is published meanwhile.
    deadline
        Seconds on the node's monotonic clock.
    tried_hosts
        Hosts chosen for the attempts so far.
    may_have_run
        Whether a target may have executed one of the attempts.
    """

    snapshot: Snapshot
    contract: Contract
    route: ContractRoute
    request_id: str
    deadline: float
    tried_hosts: list[str] = field(default_factory=list)
    may_have_run: bool = False


def match_call(
    snapshot: Snapshot,
    customer: str,
    method: str,
    path: str,
) -> RouteMatch | Refusal:
    """Find the contract and route that apply to a call."""
    contract = snapshot.contracts.get(customer)
    if contract is None:
        return Refusal(Reason.NO_CONTRACT, Verdict.NOT_RUN, 0)
    route = find_route(contract, method, path)
    if route is None:
        return Refusal(Reason.NO_ROUTE, Verdict.NOT_RUN, 0)
    return RouteMatch(contract, route)


def next_target(
    call: Call,
    context: RoutingContext,
    now: float,
) -> Target | Refusal:
    """Choose the target of the next attempt, or refuse the call."""
    if now >= call.deadline:
        return _final_refusal(call, Refusal(Reason.DEADLINE, Verdict.NOT_RUN))
    target = _choose_target(call, context, now)
    if target is None:
        return _final_refusal(call, Refusal(Reason.NO_TARGET, Verdict.NOT_RUN))
    call.tried_hosts.append(target.host)
    return target


def refuse_or_retry(
    call: Call,
    refusal: Refusal,
    budget: RetryBudget,
    now: float,
) -> Refusal | None:
    """Decide whether to retry after an attempt that got no answer.

    Returns
    -------
    None if the call should be retried, else the refusal for the caller. A
    retry takes a token from the budget.
    """
    if refusal.verdict is not Verdict.NOT_RUN:
        call.may_have_run = True
    if not may_retry(call.route, refusal.verdict, len(call.tried_hosts)):
        return _final_refusal(call, refusal)
    if now >= call.deadline or not spend_retry(budget):
        return _final_refusal(call, refusal)
    return None


def _choose_target(
    call: Call,
    context: RoutingContext,
    now: float,
) -> Target | None:
    candidates = usable_targets(
        call.snapshot,
        call.contract.customer,
        call.route.service,
    )
    preferred = preferred_targets(
        candidates,
        context.data_centre,
        call.tried_hosts,
        context.states.hosts_in_backoff(now),
    )
    return pick_target(preferred, context.states, context.rng, now)


def _final_refusal(call: Call, refusal: Refusal) -> Refusal:
    if call.may_have_run and refusal.verdict is Verdict.NOT_RUN:
        return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
    return refusal
