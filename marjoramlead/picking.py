"""Load balancing: pick the target of a call.

Candidates are the targets that are not leaving and whose data centre is not
out of service. Targets of the gateway's own data centre are preferred. Targets
that this node could not reach, or that were draining, are ejected for a while,
unless that would leave less than half of the candidates. Two of the remaining
targets are chosen at random. One that is not in backoff is picked over one
that is, and otherwise the one with fewer calls in flight from this node.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from marjoramlead.snapshot import Snapshot, Target

__all__ = (
    'TargetState',
    'TargetStates',
    'pick_target',
    'preferred_targets',
    'record_reachability',
    'usable_targets',
)

EJECTION_S: Final = 2.0
MAX_EJECTED_SHARE: Final = 0.5


@dataclass(slots=True)
class TargetState:
    """Load and health of one target as this node has observed them.

    Attributes
    ----------
    in_flight
        Number of calls from this node that the target is handling.
    ejected_until
        End of the last ejection, in seconds on the node's monotonic clock.
    backoff_until
        End of the last backoff, on the same clock. A backoff starts when the
        target's guard refuses a call because of overload.
    """

    in_flight: int = 0
    ejected_until: float = 0
    backoff_until: float = 0


class TargetStates:
    """Observed state of every target, by host."""

    def __init__(self) -> None:
        self.by_host: dict[str, TargetState] = {}

    def state_of(self, host: str) -> TargetState:
        """Return the state of a host, creating it on first use."""
        return self.by_host.setdefault(host, TargetState())

    def hosts_in_backoff(self, now: float) -> set[str]:
        """Return the hosts whose guards recently refused calls for overload."""
        return {
            host
            for host, state in self.by_host.items()
            if state.backoff_until > now
        }

    def keep_only(self, hosts: Collection[str]) -> None:
        """Remove the state of other hosts, unless they have calls in flight."""
        for host in set(self.by_host) - set(hosts):
            if not self.by_host[host].in_flight:
                self.by_host.pop(host)


def pick_target(
    candidates: Sequence[Target],
    states: TargetStates,
    rng: Random,
    now: float,
) -> Target | None:
    """Pick the less loaded of two random candidates.

    Parameters
    ----------
    candidates
        Targets to choose from.
    states
        Observed state of the targets.
    rng
        Random source.
    now
        Seconds on the node's monotonic clock.
    """
    if not candidates:
        return None
    pool = _without_ejected(candidates, states, now)
    choices = [rng.choice(pool), rng.choice(pool)]
    return min(choices, key=lambda target: _load_order(states, target, now))


def usable_targets(
    snapshot: Snapshot,
    customer: str,
    service: str,
) -> list[Target]:
    """List the targets of a service that accept new requests."""
    return [
        target
        for target in snapshot.targets_by_service.get((customer, service), ())
        if not target.leaving
        and target.data_centre not in snapshot.data_centres_out
    ]


def preferred_targets(
    candidates: Sequence[Target],
    data_centre: str,
    tried: Collection[str],
    in_backoff: Collection[str] = (),
) -> Sequence[Target]:
    """Drop the targets already tried and prefer one data centre.

    Only targets of that data centre are returned if at least one untried
    target there is not in backoff; otherwise all untried targets are.

    Parameters
    ----------
    candidates
        Targets that accept new requests.
    data_centre
        The preferred data centre.
    tried
        Hosts that this call was already sent to.
    in_backoff
        Hosts whose guards recently refused calls for overload.
    """
    untried = [target for target in candidates if target.host not in tried]
    local = [target for target in untried if target.data_centre == data_centre]
    local_accepts_work = any(target.host not in in_backoff for target in local)
    return local if local_accepts_work else untried


def record_reachability(
    state: TargetState,
    now: float,
    *,
    reachable: bool,
) -> None:
    """Eject an unreachable target, or end the ejection of a reachable one."""
    state.ejected_until = 0 if reachable else now + EJECTION_S


def _without_ejected(
    candidates: Sequence[Target],
    states: TargetStates,
    now: float,
) -> Sequence[Target]:
    kept = [
        target
        for target in candidates
        if states.state_of(target.host).ejected_until <= now
    ]
    min_kept = len(candidates) * (1 - MAX_EJECTED_SHARE)
    return kept if len(kept) >= min_kept else candidates


def _load_order(
    states: TargetStates,
    target: Target,
    now: float,
) -> tuple[bool, int]:
    state = states.state_of(target.host)
    return state.backoff_until > now, state.in_flight
