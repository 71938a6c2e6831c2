"""Decide what becomes of a call: where it goes, and whether again."""

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
    Route,
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
    """Where calls are decided: a gateway's view of the fleet."""

    data_centre: str
    states: TargetStates
    rng: Random


class RouteMatch(NamedTuple):
    """The contract and route that cover a call."""

    contract: Contract
    route: Route


@dataclass(slots=True)
class Call:
    """One call of a caller, from its arrival to its final answer.

    Attributes
    ----------
    snapshot
        That was in force when the call arrived; it keeps it to its end.
    deadline
        On the node's monotonic clock.
    tried
        Hosts that had an attempt.
    may_have_run
        Whether an attempt may have run.
    """

    snapshot: Snapshot
    contract: Contract
    route: Route
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
    """Find the contract and route of a call."""
    contract = snapshot.contracts.get(customer)
    if contract is None:
        return Refusal(Reason.NO_CONTRACT, Verdict.NOT_RUN, 0)
    route = find_route(contract, method, path)
    if route is None:
        return Refusal(Reason.NO_ROUTE, Verdict.NOT_RUN, 0)
    return RouteMatch(contract, route)


def next_target(
    call: Call,
    place: RoutingContext,
    now: float,
) -> Target | Refusal:
    """Choose where the next attempt goes."""
    if now >= call.deadline:
        return _final(call, Refusal(Reason.DEADLINE, Verdict.NOT_RUN))
    target = _choose(call, place, now)
    if target is None:
        return _final(call, Refusal(Reason.NO_TARGET, Verdict.NOT_RUN))
    call.tried_hosts.append(target.host)
    return target


def refuse_or_retry(
    call: Call,
    refusal: Refusal,
    budget: RetryBudget,
    now: float,
) -> Refusal | None:
    """Decide what follows an attempt that gave no answer.

    Returns
    -------
    None if another attempt is to be made, else the final answer.
    """
    if refusal.verdict is not Verdict.NOT_RUN:
        call.may_have_run = True
    if not may_retry(call.route, refusal.verdict, len(call.tried_hosts)):
        return _final(call, refusal)
    if now >= call.deadline or not spend_retry(budget):
        return _final(call, refusal)
    return None


def _choose(call: Call, place: RoutingContext, now: float) -> Target | None:
    candidates = usable_targets(
        call.snapshot,
        call.contract.customer,
        call.route.service,
    )
    untried = preferred_targets(
        candidates,
        place.data_centre,
        call.tried_hosts,
        place.states.hosts_in_backoff(now),
    )
    return pick_target(untried, place.states, place.rng, now)


def _final(call: Call, refusal: Refusal) -> Refusal:
    if call.may_have_run and refusal.verdict is Verdict.NOT_RUN:
        return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
    return refusal
