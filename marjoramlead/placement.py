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
    'Offer',
    'Outlook',
    'Outlooks',
    'expected_s',
    'failure_rate',
    'note_failure',
    'note_outcome',
    'note_report',
    'note_sent',
    'rank_targets',
)

# Work time assumed of each request that a target has and never answered one.
# The first is free: a target that joined is tried, or it would stay unknown.
UNKNOWN_WORK_S: Final = 0.1
# A report is believed in full at first and for nothing after this time.
REPORT_LIFE_S: Final = 1.0
# Handling time on the way to another host.
OTHER_HOST_S: Final = 0.002
# Bytes between data centres are dear: the wait that a kilobyte outweighs.
CROSSING_S_PER_KB: Final = 0.025
# Headers both ways and an ordinary answer.
CROSSING_KB: Final = 2.5
# How long a host that could not be reached is left out; doubles each time.
SPARE_FIRST_S: Final = 0.25
SPARE_MAX_S: Final = 2.0
# How much a target's failed answers weigh, as seconds added to its outlook
# for a failure rate of one.
FAILURE_S: Final = 1.0
# Weight of a new outcome in a target's failure rate.
FAILURE_SMOOTHING: Final = 0.15
# A failure rate halves in this time, so that a target that was left out is
# tried again.
FAILURE_HALF_LIFE_S: Final = 2.0
KILOBYTE: Final = 1024


@dataclass(slots=True)
class Outlook:
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
    sent_since: int = 0
    spare_until: float = 0
    failures: int = 0
    failure_rate: float = 0
    failed_at: float = 0


class Offer(NamedTuple):
    """What matters of a request for its placement."""

    data_centre: str
    own_target: str
    body_bytes: int


@dataclass(slots=True)
class Outlooks:
    """What this node expects of all targets, by id."""

    rng: Random
    by_target: dict[str, Outlook] = field(default_factory=dict)

    def of(self, target_id: str) -> Outlook:
        """Outlook of one target, made when it is first met."""
        return self.by_target.setdefault(target_id, Outlook())

    def keep_only(self, target_ids: Collection[str]) -> None:
        """Forget targets that are gone."""
        for target_id in set(self.by_target) - set(target_ids):
            self.by_target.pop(target_id)


def rank_targets(
    outlooks: Outlooks,
    candidates: Iterable[TargetEntry],
    offer: Offer,
    now: float,
) -> Sequence[TargetEntry]:
    """Order targets by the time to an answer that is expected of them.

    Targets whose hosts could not be reached of late come last.
    """
    scored = [
        (
            outlooks.of(entry.target_id).spare_until > now,
            expected_s(outlooks.of(entry.target_id), now)
            + _distance_s(entry, offer),
            outlooks.rng.random(),
            entry,
        )
        for entry in candidates
    ]
    scored.sort(key=lambda each: each[:3])
    return [each[3] for each in scored]


def expected_s(outlook: Outlook, now: float) -> float:
    """Seconds to an answer that are expected of a target, way not counted."""
    penalty = failure_rate(outlook, now) * FAILURE_S
    report = outlook.report
    if report is None:
        return UNKNOWN_WORK_S * outlook.sent_since + penalty
    work = report.work_s or UNKNOWN_WORK_S
    trust = max(0, 1 - (now - outlook.reported_at) / REPORT_LIFE_S)
    excess = max(0, outlook.sent_since + 1 - report.room)
    queued = excess * work / max(1, report.room + 1)
    return report.work_s + trust * (report.wait_s + queued) + penalty


def note_report(outlook: Outlook, report: LoadReport, now: float) -> None:
    """Take in what a target's node reports."""
    outlook.report = report
    outlook.reported_at = now
    outlook.sent_since = 0
    outlook.failures = 0
    outlook.spare_until = 0


def note_sent(outlook: Outlook) -> None:
    """Count a request that goes there now."""
    outlook.sent_since += 1


def note_outcome(outlook: Outlook, now: float, *, has_failed: bool) -> None:
    """Learn from how a request ended that reached the target."""
    rate = failure_rate(outlook, now)
    outlook.failure_rate = rate + FAILURE_SMOOTHING * (has_failed - rate)
    outlook.failed_at = now


def failure_rate(outlook: Outlook, now: float) -> float:
    """Share of requests that the target is expected to fail."""
    if not outlook.failure_rate:
        return 0
    age = now - outlook.failed_at
    return outlook.failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_S)


def note_failure(outlook: Outlook, now: float) -> None:
    """Leave a host out for a while that could not be reached."""
    spare = min(SPARE_MAX_S, SPARE_FIRST_S * 2**outlook.failures)
    outlook.failures += 1
    outlook.spare_until = now + spare


def _distance_s(entry: TargetEntry, offer: Offer) -> float:
    if entry.target_id == offer.own_target:
        return 0
    if entry.data_centre == offer.data_centre:
        return OTHER_HOST_S
    kilobytes = CROSSING_KB + offer.body_bytes / KILOBYTE
    return OTHER_HOST_S + kilobytes * CROSSING_S_PER_KB
