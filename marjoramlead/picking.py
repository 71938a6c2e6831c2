"""Pick the target of a call.

A target counts if its host is listed as live, its data centre is not out and
this node has not seen it fail of late. The own data centre comes first. Of
two random choices the one with less known load is taken.
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
    """What this node has seen of one target.

    Attributes
    ----------
    in_flight
        Calls of this node that the target has now.
    ejected_until
        On the node's monotonic clock.
    backoff_until
        Until when the guard there asked to be spared.
    """

    in_flight: int = 0
    ejected_until: float = 0
    backoff_until: float = 0


class TargetStates:
    """What this node has seen of all targets, by host."""

    def __init__(self) -> None:
        self.by_host: dict[str, TargetState] = {}

    def state_of(self, host: str) -> TargetState:
        """State of one host, made when it is first met."""
        return self.by_host.setdefault(host, TargetState())

    def hosts_in_backoff(self, now: float) -> set[str]:
        """Name the hosts whose guards asked to be spared."""
        return {
            host
            for host, state in self.by_host.items()
            if state.backoff_until > now
        }

    def keep_only(self, hosts: Collection[str]) -> None:
        """Forget hosts that are no longer listed."""
        for host in set(self.by_host) - set(hosts):
            if not self.by_host[host].in_flight:
                self.by_host.pop(host)


def pick_target(
    candidates: Sequence[Target],
    states: TargetStates,
    rng: Random,
    now: float,
) -> Target | None:
    """Pick one of the candidates.

    Parameters
    ----------
    candidates
        Targets that may take the call, by ``usable_targets``.
    states
        What this node has seen of them.
    rng
        Seeded source of random choices.
    now
        Seconds on the node's monotonic clock.
    """
    if not candidates:
        return None
    pool = _without_ejected(candidates, states, now)
    choices = [rng.choice(pool), rng.choice(pool)]
    return min(choices, key=lambda target: _load(states, target, now))


def usable_targets(
    snapshot: Snapshot,
    customer: str,
    service: str,
) -> list[Target]:
    """List the targets in force that may take new work."""
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
    spared: Collection[str] = (),
) -> Sequence[Target]:
    """Leave out what was tried, and stay in one data centre if it has room.

    Parameters
    ----------
    candidates
        Targets that may take the call.
    data_centre
        Where to stay.
    tried
        Hosts that had this call already.
    spared
        Hosts whose guards refused work a moment ago.
    """
    untried = [each for each in candidates if each.host not in tried]
    near = [each for each in untried if each.data_centre == data_centre]
    has_room = any(each.host not in spared for each in near)
    return near if has_room else untried


def record_reachability(
    state: TargetState,
    now: float,
    *,
    reachable: bool,
) -> None:
    """Eject a target that could not be reached, readmit one that could."""
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
    least = len(candidates) * (1 - MAX_EJECTED_SHARE)
    return kept if len(kept) >= least else candidates


def _load(
    states: TargetStates,
    target: Target,
    now: float,
) -> tuple[bool, int]:
    state = states.state_of(target.host)
    return state.backoff_until > now, state.in_flight
