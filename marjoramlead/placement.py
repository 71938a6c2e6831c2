"""Choose the target of a request by what the targets' nodes report.

Each answer and refusal of a node carries the load of its target. A sender
ages what it heard, adds what it has sent since, and expects of each target a
time to the answer. Load that it answers: targets of unlike speed, several
senders that choose at once, and reports that are old. A sender first offers
a request to the best targets for an immediate start; only after these are
full does it let the request wait, where it is expected to end first.

Nothing here does I/O; times are seconds on the node's monotonic clock.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from marjoramlead.mesh_state import TargetEntry
from marjoramlead.target_queue import LoadReport

__all__ = (
    'BalancerState',
    'PlacementQuery',
    'TargetStats',
    'estimate_response_s',
    'failure_rate',
    'rank_targets',
    'record_load_report',
    'record_send',
    'record_unreachable_host',
    'update_failure_rate',
)

# Work time assumed of each request that a target has and never answered one.
# The first is free: a target that joined is tried, or it would stay unknown.
DEFAULT_WORK_S: Final = 0.1
# A report is believed in full at first and for nothing after this time.
REPORT_MAX_AGE_S: Final = 1.0
# Handling time on the way to another host.
REMOTE_HOST_PENALTY_S: Final = 0.002
# Bytes between data centres are dear: the wait that a kilobyte outweighs.
CROSS_DATA_CENTRE_PENALTY_S_PER_KB: Final = 0.025
# Headers both ways and an ordinary answer.
HEADERS_AND_ANSWER_KB: Final = 2.5
# How long a host that could not be reached is left out; doubles each time.
BACKOFF_FIRST_S: Final = 0.25
BACKOFF_MAX_S: Final = 2.0
# How much a target's failed answers weigh, as seconds added to its outlook
# for a failure rate of one.
FAILURE_PENALTY_S: Final = 1.0
# Weight of a new outcome in a target's failure rate.
FAILURE_SMOOTHING: Final = 0.15
# A failure rate halves in this time, so that a target that was left out is
# tried again.
FAILURE_HALF_LIFE_S: Final = 2.0
KILOBYTE: Final = 1024


@dataclass(slots=True)
class TargetStats:
    """What this node expects of one target.

    Attributes
    ----------
    sent_since
        Requests that this node has sent there since the report.
    spare_until
        Until when the host is left out because it could not be reached.
    failures
        Failures in a row to reach the host.
    failure_rate
        Share of the latest requests that the target failed or turned away,
        smoothed, at ``failed_at``.
    """

    report: LoadReport | None = None
    reported_at: float = 0
    sent_since_report: int = 0
    backoff_until: float = 0
    consecutive_failures: int = 0
    failure_rate: float = 0
    failure_rate_at: float = 0


class PlacementQuery(NamedTuple):
    """What matters of a request for its placement."""

    data_centre: str
    local_target_id: str
    body_bytes: int


@dataclass(slots=True)
class BalancerState:
    """What this node expects of all targets, by id."""

    rng: Random
    by_target: dict[str, TargetStats] = field(default_factory=dict)

    def stats_of(self, target_id: str) -> TargetStats:
        """Outlook of one target, made when it is first met."""
        return self.by_target.setdefault(target_id, TargetStats())

    def discard_except(self, target_ids: Collection[str]) -> None:
        """Forget targets that are gone."""
        for target_id in set(self.by_target) - set(target_ids):
            self.by_target.pop(target_id)


def rank_targets(
    balancer: BalancerState,
    candidates: Iterable[TargetEntry],
    query: PlacementQuery,
    now: float,
) -> Sequence[TargetEntry]:
    """Order targets by the time to an answer that is expected of them.

    Targets whose hosts could not be reached of late come last.
    """
    scored = [
        (
            balancer.stats_of(entry.target_id).backoff_until > now,
            estimate_response_s(balancer.stats_of(entry.target_id), now)
            + _network_penalty_s(entry, query),
            balancer.rng.random(),
            entry,
        )
        for entry in candidates
    ]
    scored.sort(key=lambda each: each[:3])
    return [each[3] for each in scored]


def estimate_response_s(stats: TargetStats, now: float) -> float:
    """Seconds to an answer that are expected of a target, way not counted."""
    penalty = failure_rate(stats, now) * FAILURE_PENALTY_S
    report = stats.report
    if report is None:
        return DEFAULT_WORK_S * stats.sent_since_report + penalty
    work = report.work_s or DEFAULT_WORK_S
    freshness = max(0, 1 - (now - stats.reported_at) / REPORT_MAX_AGE_S)
    excess = max(0, stats.sent_since_report + 1 - report.room)
    queued = excess * work / max(1, report.room + 1)
    return report.work_s + freshness * (report.wait_s + queued) + penalty


def record_load_report(
    stats: TargetStats, report: LoadReport, now: float
) -> None:
    """Take in what a target's node reports."""
    stats.report = report
    stats.reported_at = now
    stats.sent_since_report = 0
    stats.consecutive_failures = 0
    stats.backoff_until = 0


def record_send(stats: TargetStats) -> None:
    """Count a request that goes there now."""
    stats.sent_since_report += 1


def update_failure_rate(
    stats: TargetStats, now: float, *, has_failed: bool
) -> None:
    """Learn from how a request ended that reached the target."""
    rate = failure_rate(stats, now)
    stats.failure_rate = rate + FAILURE_SMOOTHING * (has_failed - rate)
    stats.failure_rate_at = now


def failure_rate(stats: TargetStats, now: float) -> float:
    """Share of requests that the target is expected to fail."""
    if not stats.failure_rate:
        return 0
    age = now - stats.failure_rate_at
    return stats.failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_S)


def record_unreachable_host(stats: TargetStats, now: float) -> None:
    """Leave a host out for a while that could not be reached."""
    backoff = min(
        BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**stats.consecutive_failures
    )
    stats.consecutive_failures += 1
    stats.backoff_until = now + backoff


def _network_penalty_s(entry: TargetEntry, query: PlacementQuery) -> float:
    if entry.target_id == query.local_target_id:
        return 0
    if entry.data_centre == query.data_centre:
        return REMOTE_HOST_PENALTY_S
    kilobytes = HEADERS_AND_ANSWER_KB + query.body_bytes / KILOBYTE
    return (
        REMOTE_HOST_PENALTY_S + kilobytes * CROSS_DATA_CENTRE_PENALTY_S_PER_KB
    )
