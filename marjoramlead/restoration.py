"""Decide what holds after the store has been restored from an older copy.

The copy may have targets that have left since, and may lack what operators and
targets have written since. They write it again within seconds. Until then, what
this node has known stays in force where the copy differs, but not longer than
a live target or an operator needs to write again.

The caller keeps the targets and the excluded data centres that are in force.
This module remembers what left, and which records of the copy are deferred.
"""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from marjoramlead.mesh_entries import (
    ExcludedDataCentre,
    TargetEntry,
    cold_until,
)
from marjoramlead.revisions import NO_REVISION, Revision

__all__ = (
    'Restoration',
    'begin_era',
    'choose_entry',
    'defer_deletion',
    'forget_copy',
    'is_from_copy',
    'note_departure',
    'note_new_routes',
    'take_settled',
)

# Time in which operators write again what a restored store has lost.
OPERATOR_SETTLE_S: Final = 10.0
# Time for which a lifted exclusion that the copy still has stays lifted. It is
# shorter than OPERATOR_SETTLE_S, because operators may have excluded the data
# centre anew before the first read of the restored store, and that must be in
# force within five seconds.
LIFT_SETTLE_S: Final = 3.0
# Time beyond the lease of an entry after which an entry that is still in the
# store is that of a live target.
LEASE_MARGIN_S: Final = 2.0
# Time for which departures are remembered. Copies are some seconds old.
DEPARTURE_MEMORY_S: Final = 60.0
MAX_DEPARTURES: Final = 1000

MeshEntry = TargetEntry | ExcludedDataCentre


class Departure(NamedTuple):
    """The deletion of a target's entry, or of an exclusion.

    Attributes
    ----------
    started_ms
        Start time of the target; 0 for an exclusion.
    was_leaving
        Whether the target had announced its stop.
    """

    started_ms: int
    was_leaving: bool
    forget_at: float


class Deferral(NamedTuple):
    """A record of the copy that takes effect later.

    Attributes
    ----------
    entry
        Entry to put in force; None to end an exclusion.
    """

    entry: MeshEntry | None
    settle_at: float


@dataclass(slots=True)
class Restoration:
    """What this node keeps against the copy that the store was restored from.

    Attributes
    ----------
    lease_s
        Time after which the store removes the entry of a silent target.
    first_revision
        First revision of the current era that this node has read, or that the
        node that it learned of the era from has read. All records up to it may
        be from the copy. It is ``NO_REVISION`` before the first restoration
        that this node has seen.
    departures
        Deletions that this node has seen, by record key, the oldest first.
    deferred
        Records of the copy that are not in force yet, by record key.
    routes_settle_at
        Until when operators may have to write routes again.
    """

    lease_s: float = 0
    first_revision: Revision = NO_REVISION
    departures: dict[str, Departure] = field(default_factory=dict)
    deferred: dict[str, Deferral] = field(default_factory=dict)
    routes_settle_at: float = float('-inf')


def begin_era(restoration: Restoration, revision: Revision, now: float) -> None:
    """Note up to which revision records of a later era may be from the copy."""
    restoration.first_revision = revision
    restoration.routes_settle_at = now + OPERATOR_SETTLE_S


def note_new_routes(restoration: Restoration) -> None:
    """Note that operators have written the routing table again."""
    restoration.routes_settle_at = float('-inf')


def is_from_copy(restoration: Restoration, revision: Revision) -> bool:
    """Return whether a record may be older than what this node has known."""
    return revision <= restoration.first_revision


def note_departure(
    restoration: Restoration,
    key: str,
    now: float,
    started_ms: int = 0,
    *,
    was_leaving: bool = False,
) -> None:
    """Remember that a target's entry, or an exclusion, was deleted."""
    departures = restoration.departures
    departures.pop(key, None)
    forget_at = now + DEPARTURE_MEMORY_S
    departures[key] = Departure(started_ms, was_leaving, forget_at)
    while len(departures) > MAX_DEPARTURES or _oldest(departures) <= now:
        departures.pop(next(iter(departures)))


def forget_copy(restoration: Restoration, key: str) -> None:
    """Note that a record was written again, so that its copy is obsolete."""
    restoration.deferred.pop(key, None)
    restoration.departures.pop(key, None)


def defer_deletion(restoration: Restoration, key: str, now: float) -> None:
    """Keep an exclusion that the copy lacks, until operators can write it."""
    restoration.deferred[key] = Deferral(None, now + OPERATOR_SETTLE_S)


def choose_entry(
    restoration: Restoration,
    key: str,
    known: MeshEntry | None,
    copied: MeshEntry,
    now: float,
) -> MeshEntry | None:
    """Choose what is in force: the known entry, or that of the copy.

    Parameters
    ----------
    restoration
        State to change: the copy's entry may be deferred.
    key
        Key of the record.
    known
        Entry that is in force, or None.
    copied
        Entry in the copy.
    now
        Current time on the node's monotonic clock.

    Returns
    -------
    The entry that is in force from now on; None if there is none.
    """
    restoration.deferred.pop(key, None)
    departure = restoration.departures.get(key)
    if departure is not None and departure.forget_at <= now:
        departure = None
    if isinstance(copied, ExcludedDataCentre):
        if known is not None or departure is None:
            return copied
        restoration.deferred[key] = Deferral(copied, now + LIFT_SETTLE_S)
        return None
    settle_at = now + restoration.lease_s + LEASE_MARGIN_S
    if isinstance(known, TargetEntry):
        if copied.started_ms < known.started_ms:
            restoration.deferred[key] = Deferral(copied, settle_at)
            return known
        return _merge_entries(known, copied)
    if departure is None or copied.started_ms > departure.started_ms:
        return copied
    if departure.was_leaving:
        copied = copied._replace(is_draining=True)
    restoration.deferred[key] = Deferral(copied, settle_at)
    return None


def take_settled(
    restoration: Restoration, now: float
) -> dict[str, MeshEntry | None]:
    """Remove and return the deferred entries that take effect now."""
    settled = {
        key: deferral.entry
        for key, deferral in restoration.deferred.items()
        if deferral.settle_at <= now
    }
    for key in settled:
        forget_copy(restoration, key)
    return settled


def _oldest(departures: dict[str, Departure]) -> float:
    return next(iter(departures.values())).forget_at


def _merge_entries(known: TargetEntry, copied: TargetEntry) -> TargetEntry:
    """Choose between two entries of a target that has not restarted since.

    A target doesn't withdraw its announcement to stop. A target that this node
    knows to be cold doesn't become warm by the copy.
    """
    if copied.started_ms > known.started_ms:
        return copied
    is_same = copied._replace(seen_at=known.seen_at) == known
    if is_same or (known.is_draining and not copied.is_draining):
        return known
    if cold_until(known) > cold_until(copied):
        return copied._replace(
            warmup_left_s=known.warmup_left_s, seen_at=known.seen_at
        )
    return copied
