"""What the records of the store say about targets and data centres."""

from typing import NamedTuple

from marjoramlead.routes import RoutingTable

__all__ = (
    'DecodedRecord',
    'ExcludedDataCentre',
    'RefusedRouting',
    'TargetEntry',
    'cold_until',
)


class TargetEntry(NamedTuple):
    """The entry that a target has published in the store.

    Attributes
    ----------
    address
        IP address and port; reachable only from the target's own host.
    slots
        Maximum number of requests that the target runs at the same time.
    started_ms
        Time of the target's last start, in Unix milliseconds.
    warmup_left_s
        Seconds for which the target stays cold, counted from ``seen_at``.
    seen_at
        When this node received the entry, on its monotonic clock.
    """

    target_id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_draining: bool
    started_ms: int
    warmup_left_s: float
    seen_at: float


class ExcludedDataCentre(NamedTuple):
    """A data centre that operators have taken out of service."""

    data_centre: str


class RefusedRouting(NamedTuple):
    """A version of the routing configuration that cannot be used.

    Attributes
    ----------
    version
        None if it cannot be read.
    path
        Location of the field, such as ``Routes[shop].Kind``; empty if the
        whole document is unreadable.
    reason
        What is wrong with its value, without a final period.
    """

    version: int | None
    path: str
    reason: str


DecodedRecord = (
    RoutingTable | RefusedRouting | TargetEntry | ExcludedDataCentre | None
)


def cold_until(entry: TargetEntry) -> float:
    """Return when a target is no longer cold, by its entry."""
    return entry.seen_at + entry.warmup_left_s
