"""Load balancing: choose the target with the shortest estimated response time.

Each answer and refusal of a target's node carries a load report. A sender
estimates the response time of a target from its last report, the age of that
report and the number of requests sent since. This handles targets of
different speed, several senders that choose at the same time, and outdated
reports. A sender first offers a request to the best targets for an immediate
start. If these are full, it queues the request at the target with the
shortest estimated response time.

Nothing here does I/O; times are seconds on the node's monotonic clock.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from marjoramlead.mesh_state import TargetEntry
from marjoramlead.queue_estimates import MAX_WAIT_SHARE
from marjoramlead.target_pace import aged_pace
from marjoramlead.target_queue import LoadReport
from marjoramlead.target_speed import expected_work_s, record_typical

__all__ = (
    'BalancerState',
    'PlacementQuery',
    'TargetStats',
    'choose_target',
    'estimate_response_s',
    'failure_rate',
    'record_answer_size',
    'record_load_report',
    'record_send',
    'record_unreachable_host',
    'update_failure_rate',
)

# Assumed service time of a target that hasn't reported one yet. The estimate
# for the first request to a new target is 0, so that the target gets a request;
# otherwise it would never report.
DEFAULT_SERVICE_TIME_S: Final = 0.1
# The weight of a reported wait falls linearly from 1 to 0 over this time.
REPORT_MAX_AGE_S: Final = 1.0
# Overhead of sending a request to another host.
REMOTE_HOST_PENALTY_S: Final = 0.002
# Traffic between data centres is expensive: a target in another data centre is
# preferred only if it is expected to respond faster by this time per kilobyte
# that the request and its answer transfer.
CROSS_DATA_CENTRE_PENALTY_S_PER_KB: Final = 0.06
MAX_CROSS_DATA_CENTRE_PENALTY_S: Final = 1.0
# Size of the headers in both directions.
HEADERS_KB: Final = 1.0
# Size of an answer of a route that has not been answered yet.
DEFAULT_ANSWER_KB: Final = 1.5
# Weight of the latest answer in the moving average of their sizes.
ANSWER_SIZE_SMOOTHING: Final = 0.1
# Backoff after a failure to reach a host; doubles with each failure in a row.
BACKOFF_FIRST_S: Final = 0.25
BACKOFF_MAX_S: Final = 2.0
# Added to the estimated response time in proportion to the failure rate; the
# full value applies at a failure rate of 1.
FAILURE_PENALTY_S: Final = 1.0
# Weight of the latest outcome in the moving average of failures.
FAILURE_SMOOTHING: Final = 0.15
# The failure rate decays, so that a target that was avoided is tried again.
FAILURE_HALF_LIFE_S: Final = 2.0
KILOBYTE: Final = 1024


@dataclass(slots=True)
class TargetStats:
    """Load and failures of a target, as observed by this node.

    Attributes
    ----------
    report
        Last load report; None before the first one.
    reported_at
        When the last load report arrived.
    sent_since_report
        Number of requests that this node has sent to the target since the
        last load report.
    backoff_until
        Time until which the target is ranked last, because its host could
        not be reached.
    consecutive_failures
        Number of failures in a row to reach the host.
    service_times
        Last reported service time in seconds, by route.
    typical_times
        Mean service time in seconds over all targets, by route.
    transfers
        Last reported time in seconds that a long answer takes on the link of
        the target's host, by route.
    rate_limit_per_s
        Requests per second that the target reports that it accepts; None if it
        reports no limit.
    failure_rate
        Exponential moving average of the share of requests that the target
        failed or refused, as of ``failure_rate_at``.
    """

    report: LoadReport | None = None
    reported_at: float = 0
    sent_since_report: int = 0
    service_times: dict[str, float] = field(default_factory=dict)
    typical_times: dict[str, float] = field(default_factory=dict)
    transfers: dict[str, float] = field(default_factory=dict)
    rate_limit_per_s: float | None = None
    backoff_until: float = 0
    consecutive_failures: int = 0
    failure_rate: float = 0
    failure_rate_at: float = 0


class PlacementQuery(NamedTuple):
    """What the choice of a target depends on, apart from the targets.

    Attributes
    ----------
    data_centre
        Data centre of the sender.
    local_target_id
        Id of the target on the sender's own host; empty if there is none.
    body_bytes
        Size of the request's body.
    route
        Name of the request's route.
    soft_deadline
        Latest time of an answer that meets the latency objective.
    """

    data_centre: str
    local_target_id: str
    body_bytes: int
    route: str
    soft_deadline: float = float('inf')


@dataclass(slots=True)
class BalancerState:
    """State of the load balancer.

    Attributes
    ----------
    rng
        Puts equal targets in random order.
    by_target
        Statistics of each target, by target id.
    typical_times
        Mean service time in seconds over all targets, by route.
    answer_kb
        Moving average of the size of answers in kilobytes, by route.
    """

    rng: Random
    by_target: dict[str, TargetStats] = field(default_factory=dict)
    typical_times: dict[str, float] = field(default_factory=dict)
    answer_kb: dict[str, float] = field(default_factory=dict)

    def stats_of(self, target_id: str) -> TargetStats:
        """Return the statistics of a target; create them on first use."""
        stats = self.by_target.get(target_id)
        if stats is None:
            stats = TargetStats(typical_times=self.typical_times)
            self.by_target[target_id] = stats
        return stats

    def discard_except(self, target_ids: Collection[str]) -> None:
        """Discard the statistics of all targets except the given ones."""
        for target_id in set(self.by_target) - set(target_ids):
            self.by_target.pop(target_id)


def choose_target(
    balancer: BalancerState,
    candidates: Iterable[TargetEntry],
    query: PlacementQuery,
    now: float,
) -> TargetEntry | None:
    """Return the target with the shortest estimated response time.

    One in backoff is chosen only if all are. Targets that are expected to
    accept the request and to answer in time go before others, so that it leaves
    its data centre before it would be refused there; otherwise, it has to gain
    more time than the bytes that it moves are worth. Among equal targets, the
    choice is random, so that senders spread their requests.
    """
    remote_penalty_s = _data_centre_penalty_s(balancer, query)

    def rank(entry: TargetEntry) -> tuple[bool, bool, float, float]:
        stats = balancer.stats_of(entry.target_id)
        seconds = estimate_response_s(stats, now, query.route)
        would_fail = _is_refusal_expected(stats, query, seconds, now)
        if entry.data_centre != query.data_centre:
            seconds += remote_penalty_s
        elif entry.target_id != query.local_target_id:
            seconds += REMOTE_HOST_PENALTY_S
        is_in_backoff = stats.backoff_until > now
        return is_in_backoff, would_fail, seconds, balancer.rng.random()

    return min(candidates, key=rank, default=None)


def _is_refusal_expected(
    stats: TargetStats, query: PlacementQuery, response_s: float, now: float
) -> bool:
    """Return whether the target would refuse a request, or answer late."""
    work_s = _present_work_s(stats, query.route, now)
    work_s += stats.transfers.get(query.route, 0)
    slack_s = query.soft_deadline - now - work_s
    return response_s - work_s > MAX_WAIT_SHARE * slack_s


def record_answer_size(
    balancer: BalancerState, route: str, size_bytes: int
) -> None:
    """Update the mean size of a route's answers."""
    size_kb = size_bytes / KILOBYTE
    mean = balancer.answer_kb.get(route, size_kb)
    balancer.answer_kb[route] = mean + ANSWER_SIZE_SMOOTHING * (size_kb - mean)


def _data_centre_penalty_s(
    balancer: BalancerState, query: PlacementQuery
) -> float:
    """Return the time by which a target elsewhere has to be faster."""
    answer_kb = balancer.answer_kb.get(query.route, DEFAULT_ANSWER_KB)
    kilobytes = HEADERS_KB + answer_kb + query.body_bytes / KILOBYTE
    return REMOTE_HOST_PENALTY_S + min(
        MAX_CROSS_DATA_CENTRE_PENALTY_S,
        kilobytes * CROSS_DATA_CENTRE_PENALTY_S_PER_KB,
    )


def estimate_response_s(stats: TargetStats, now: float, route: str) -> float:
    """Estimate a target's response time in seconds, without the network.

    Only service times of the same route are compared. A mean over all routes
    would send every request of one route to the target that happens to run
    the shortest ones. One that is not known yet is that of a target of the same
    speed, or 0 if its speed is not known, so that it gets a request.
    """
    report = stats.report
    if report is None:
        seconds = DEFAULT_SERVICE_TIME_S * stats.sent_since_report
    else:
        age = now - stats.reported_at
        seconds = _present_work_s(stats, route, now)
        if age < REPORT_MAX_AGE_S:
            wait_s = report.wait_s + _extra_wait_s(stats, report, seconds)
            weight = 1 - age / REPORT_MAX_AGE_S
            link_s = _link_wait_s(stats, report, route, seconds)
            seconds += max(wait_s, link_s) * weight
        seconds += stats.transfers.get(route, 0)
    if stats.failure_rate:
        seconds += failure_rate(stats, now) * FAILURE_PENALTY_S
    return seconds


def _present_work_s(stats: TargetStats, route: str, now: float) -> float:
    """Return the service time at the pace that the target has now."""
    usual_s = expected_work_s(stats.service_times, stats.typical_times, route)
    if stats.report is None:
        return usual_s
    return usual_s * aged_pace(stats.report.pace, now - stats.reported_at)


def _link_wait_s(
    stats: TargetStats, report: LoadReport, route: str, service_time_s: float
) -> float:
    """Return how long an answer waits for the link; short ones do not."""
    if route not in stats.transfers:
        return 0
    return max(0, report.link_s - service_time_s)


def _extra_wait_s(
    stats: TargetStats, report: LoadReport, service_time_s: float
) -> float:
    """Estimate the wait for the requests sent since the last report."""
    excess = stats.sent_since_report + 1 - report.room
    if excess <= 0:
        return 0
    per_request_s = service_time_s or DEFAULT_SERVICE_TIME_S
    return excess * per_request_s / max(1, report.room + 1)


def record_load_report(
    stats: TargetStats, report: LoadReport, now: float, route: str
) -> None:
    """Store a load report and end the backoff of the target's host."""
    if report.work_s:
        stats.service_times[route] = report.work_s
        record_typical(stats.typical_times, route, report.work_s)
    if report.transfer_s:
        stats.transfers[route] = report.transfer_s
    else:
        stats.transfers.pop(route, None)
    stats.report = report
    stats.reported_at = now
    stats.sent_since_report = 0
    stats.consecutive_failures = 0
    stats.backoff_until = 0


def record_send(stats: TargetStats) -> None:
    """Count a request that is sent to the target now."""
    stats.sent_since_report += 1


def update_failure_rate(
    stats: TargetStats, now: float, *, has_failed: bool
) -> None:
    """Add an outcome to the moving average of failures."""
    rate = failure_rate(stats, now)
    stats.failure_rate = rate + FAILURE_SMOOTHING * (has_failed - rate)
    stats.failure_rate_at = now


def failure_rate(stats: TargetStats, now: float) -> float:
    """Return the failure rate, decayed by the time since its last update."""
    if not stats.failure_rate:
        return 0
    age = now - stats.failure_rate_at
    return stats.failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_S)


def record_unreachable_host(stats: TargetStats, now: float) -> None:
    """Start or extend the backoff of a host that could not be reached."""
    backoff = min(
        BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**stats.consecutive_failures
    )
    stats.consecutive_failures += 1
    stats.backoff_until = now + backoff
