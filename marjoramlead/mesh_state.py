"""The node's view of the mesh: routing, targets, excluded data centres.

Records come from the platform's store, directly or through a peer. A record
replaces one with the same key only if its revision is higher. The state
therefore doesn't depend on the order in which records arrive, and an old
record never replaces a newer one.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from math import isfinite
from typing import Final, NamedTuple

from marjoramlead.record_log import (
    Record,
    RecordLog,
    drop_older_tombstones,
    mark_compacted,
    put_record,
    unlisted_records,
)
from marjoramlead.revisions import NO_REVISION, Revision
from marjoramlead.routes import RoutingTable

__all__ = (
    'DecodedRecord',
    'ExcludedDataCentre',
    'MeshState',
    'Record',
    'TargetEntry',
    'apply_records',
    'confirm_revision',
    'expire_held_targets',
    'find_target_by_address',
    'is_leaving',
    'is_usable',
    'note_leaving',
    'remove_unlisted',
    'routing_deadline',
)

# Targets whose entries expired during an outage of the store register again
# within about two seconds of its return.
REREGISTRATION_GRACE_S: Final = 2.0
# A gap between confirmations that counts as an outage. Entries of live targets
# expire after three seconds or more without the store.
MIN_OUTAGE_S: Final = 2.0
# Time for which other nodes may route by a table that this node has replaced.
# It covers the debounce interval of a node that reads the store.
OLD_TABLE_GRACE_S: Final = 0.5
# Bound on the time from a change in the store until no node may route by the
# table that it replaces.
CHANGE_BOUND_S: Final = 2.0
MAX_KNOWN_VERSIONS: Final = 64


class VersionReceipt(NamedTuple):
    """A version of the routing table that this node has received.

    Attributes
    ----------
    older_valid_until
        Requests received later must not be routed by an older version.
    """

    version: int
    older_valid_until: float


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


DecodedRecord = RoutingTable | TargetEntry | ExcludedDataCentre | None
RecordDecoder = Callable[[Record, float], DecodedRecord]


@dataclass(slots=True)
class MeshState:
    """Routing, targets and excluded data centres, as known to this node.

    Times are seconds on the node's monotonic clock.

    Attributes
    ----------
    decode
        Decodes a record; returns None for one that can't be used.
    table_received_at
        When the current routing table arrived.
    received_versions
        The latest versions of the routing table, the oldest first.
    targets
        Target entries by record key.
    excluded
        Record keys of excluded data centres, by data centre.
    revision
        Revision of the store up to which this node knows all changes.
    reported_revision
        Highest revision that another node has reported.
    confirmed_at
        When ``revision`` was last known to be the newest.
    unchanged_until
        When the revision known before ``revision`` was last known to be the
        newest.
    reconnected_at
        When contact with the store, or with a node that reaches it, was last
        restored after an outage.
    held_until
        Record keys of targets whose entries expired during an outage of the
        store, with the time until which these targets stay in use.
    superseded
        Ids of targets whose address another target has published later.
    leaving
        Ids and start times of the targets that have said in a response that
        they are about to stop.
    refused_records
        Number of records that could not be used.
    """

    decode: RecordDecoder
    table: RoutingTable | None = None
    table_received_at: float = 0
    received_versions: deque[VersionReceipt] = field(
        default_factory=partial(deque, maxlen=MAX_KNOWN_VERSIONS)
    )
    targets: dict[str, TargetEntry] = field(default_factory=dict)
    excluded: dict[str, str] = field(default_factory=dict)
    records: RecordLog = field(default_factory=RecordLog)
    revision: Revision = NO_REVISION
    reported_revision: Revision = NO_REVISION
    confirmed_at: float = float('-inf')
    unchanged_until: float = float('-inf')
    reconnected_at: float = float('-inf')
    held_until: dict[str, float] = field(default_factory=dict)
    superseded: set[str] = field(default_factory=set)
    leaving: set[tuple[str, int]] = field(default_factory=set)
    refused_records: int = 0


def apply_records(
    mesh_state: MeshState,
    records: Iterable[Record],
    now: float,
) -> list[Record]:
    """Apply the records that are newer than the known ones.

    Returns
    -------
    The records that were applied.
    """
    changed: list[Record] = []
    for record in records:
        if put_record(mesh_state.records, record):
            _apply_record(mesh_state, record, now)
            changed.append(record)
    if changed:
        mesh_state.superseded = _find_superseded(mesh_state)
    return changed


def remove_unlisted(
    mesh_state: MeshState,
    keys: Iterable[str],
    revision: Revision,
    now: float,
    prefix: str = '',
) -> list[Record]:
    """Delete records that are missing from a listing of the store.

    Records newer than the listing are kept. A record that was both created
    and deleted before the listing gets no tombstone.

    Parameters
    ----------
    mesh_state
        State to change.
    keys
        Keys in the listing.
    revision
        Revision of the store when the listing began.
    now
        Current time on the node's monotonic clock.
    prefix
        Prefix of the keys that were listed.

    Returns
    -------
    The deletions that were applied.
    """
    log = mesh_state.records
    mark_compacted(log, prefix, revision)
    deletions = [
        Record(record.key, None, revision)
        for record in unlisted_records(log, set(keys), prefix)
        if record.revision < revision
    ]
    return apply_records(mesh_state, deletions, now)


def confirm_revision(
    mesh_state: MeshState, revision: Revision, confirmed_at: float, now: float
) -> None:
    """Record that all changes up to a revision are known.

    Call this before the changes are applied, because deletions are treated
    differently after an outage. A revision below the known one confirms
    nothing: it was the newest before the known one.

    Parameters
    ----------
    mesh_state
        State to change.
    revision
        Revision of the store.
    confirmed_at
        When this revision was known to be the newest, on the node's
        monotonic clock.
    now
        Current time on the same clock.
    """
    gap = confirmed_at - mesh_state.confirmed_at
    if isfinite(gap) and gap > MIN_OUTAGE_S:
        mesh_state.reconnected_at = now
    if revision.era > mesh_state.revision.era:
        drop_older_tombstones(mesh_state.records, revision.era)
    if revision > mesh_state.revision:
        mesh_state.unchanged_until = mesh_state.confirmed_at
    if revision >= mesh_state.revision:
        mesh_state.revision = revision
        mesh_state.confirmed_at = max(mesh_state.confirmed_at, confirmed_at)


def routing_deadline(mesh_state: MeshState, version: int) -> float:
    """Return until when requests may be received that a version routes.

    It is infinite for the newest version that this node knows. The deadline
    of a version allows for nodes that learn of its successor later.
    """
    return next(
        (
            each.older_valid_until
            for each in mesh_state.received_versions
            if each.version > version
        ),
        float('inf'),
    )


def expire_held_targets(mesh_state: MeshState, now: float) -> list[str]:
    """Remove targets that have not registered again after a store outage.

    Returns
    -------
    The record keys of the removed targets.
    """
    expired = [
        key
        for key, grace_ends in mesh_state.held_until.items()
        if grace_ends <= now
    ]
    for key in expired:
        mesh_state.held_until.pop(key)
        mesh_state.targets.pop(key, None)
    if expired:
        mesh_state.superseded = _find_superseded(mesh_state)
    return expired


def note_leaving(mesh_state: MeshState, entry: TargetEntry) -> None:
    """Record that a target is about to stop, until its next start."""
    current = {
        (each.target_id, each.started_ms)
        for each in mesh_state.targets.values()
    }
    mesh_state.leaving &= current
    mesh_state.leaving.add((entry.target_id, entry.started_ms))


def is_leaving(mesh_state: MeshState, entry: TargetEntry) -> bool:
    """Return whether a target has announced its stop in any way."""
    return entry.is_draining or (
        (entry.target_id, entry.started_ms) in mesh_state.leaving
    )


def is_usable(mesh_state: MeshState, entry: TargetEntry) -> bool:
    """Return whether new requests may be sent to a target."""
    return (
        not is_leaving(mesh_state, entry)
        and entry.data_centre not in mesh_state.excluded
        and entry.target_id not in mesh_state.superseded
    )


def find_target_by_address(
    mesh_state: MeshState, address: tuple[str, int]
) -> TargetEntry | None:
    """Find the target that was the last to publish an address."""
    keys = [
        key
        for key, entry in mesh_state.targets.items()
        if entry.address == address
    ]
    if not keys:
        return None
    return mesh_state.targets[
        max(keys, key=partial(_publication_order, mesh_state))
    ]


def _publication_order(
    mesh_state: MeshState, key: str
) -> tuple[bool, Revision]:
    """Return a sort key that orders entries by the time of publication.

    The order follows the store's revisions, not the targets' start times,
    because hosts' clocks may be adjusted between starts. The latest record of
    a held target is its deletion, whose revision doesn't tell when its entry
    was published; held targets therefore come before all others.
    """
    return key not in mesh_state.held_until, mesh_state.records.by_key[
        key
    ].revision


def _find_superseded(mesh_state: MeshState) -> set[str]:
    """Return ids of targets whose address was published again later."""
    keys = sorted(
        mesh_state.targets, key=partial(_publication_order, mesh_state)
    )
    latest_by_address = {mesh_state.targets[key].address: key for key in keys}
    return {
        mesh_state.targets[key].target_id
        for key in keys
        if latest_by_address[mesh_state.targets[key].address] != key
    }


def _apply_record(mesh_state: MeshState, record: Record, now: float) -> None:
    if record.body is None:
        _delete_record(mesh_state, record.key, now)
        return
    decoded = mesh_state.decode(record, now)
    if isinstance(decoded, RoutingTable):
        _replace_table(mesh_state, decoded, now)
    elif isinstance(decoded, TargetEntry):
        mesh_state.held_until.pop(record.key, None)
        mesh_state.targets[record.key] = decoded
    elif isinstance(decoded, ExcludedDataCentre):
        mesh_state.excluded[decoded.data_centre] = record.key
    else:
        mesh_state.targets.pop(record.key, None)
        mesh_state.refused_records += 1


def _replace_table(
    mesh_state: MeshState, table: RoutingTable, now: float
) -> None:
    if mesh_state.table is None or table.version > mesh_state.table.version:
        older_valid_until = now + OLD_TABLE_GRACE_S
        if isfinite(mesh_state.unchanged_until):
            older_valid_until = min(
                older_valid_until, mesh_state.unchanged_until + CHANGE_BOUND_S
            )
        mesh_state.table = table
        mesh_state.table_received_at = now
        mesh_state.received_versions.append(
            VersionReceipt(table.version, older_valid_until)
        )


def _delete_record(mesh_state: MeshState, key: str, now: float) -> None:
    """Remove what a record added; after a store outage, hold its target."""
    entry = mesh_state.targets.get(key)
    grace_ends = mesh_state.reconnected_at + REREGISTRATION_GRACE_S
    if entry is not None and not entry.is_draining and now < grace_ends:
        mesh_state.held_until[key] = grace_ends
        return
    mesh_state.targets.pop(key, None)
    for data_centre, record_key in list(mesh_state.excluded.items()):
        if record_key == key:
            mesh_state.excluded.pop(data_centre)
