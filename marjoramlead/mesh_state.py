"""The node's view of the mesh: routing, targets, excluded data centres.

``mesh_updates`` changes it by the records of the store.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final, NamedTuple

from marjoramlead.mesh_entries import (
    DecodedRecord,
    ExcludedDataCentre,
    RefusedRouting,
    TargetEntry,
)
from marjoramlead.record_log import Record, RecordLog
from marjoramlead.restoration import Restoration, is_from_copy
from marjoramlead.revisions import NO_REVISION, Revision
from marjoramlead.routes import RoutingTable

__all__ = (
    'DecodedRecord',
    'ExcludedDataCentre',
    'MeshState',
    'Record',
    'RecordDecoder',
    'TargetEntry',
    'VersionReceipt',
    'find_entry',
    'find_target_by_address',
    'is_leaving',
    'is_usable',
    'may_lack_routes',
    'note_changed_targets',
    'note_leaving',
    'note_reported_version',
    'routing_deadline',
)

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
    reported_version
        Highest version of the routing table that another node has used.
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
    restoration
        What is kept against the copy that the store was restored from.
    change_count
        Number of changes of the targets or of what makes them usable.
    refused_records
        Number of records that could not be used.
    refused_routing
        Why the newest version of the routing table is not in force; None if it
        is.
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
    reported_version: int = 0
    confirmed_at: float = float('-inf')
    unchanged_until: float = float('-inf')
    reconnected_at: float = float('-inf')
    held_until: dict[str, float] = field(default_factory=dict)
    superseded: set[str] = field(default_factory=set)
    leaving: set[tuple[str, int]] = field(default_factory=set)
    restoration: Restoration = field(default_factory=Restoration)
    change_count: int = 0
    refused_records: int = 0
    refused_routing: RefusedRouting | None = None


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


def note_reported_version(mesh_state: MeshState, version: int | None) -> None:
    """Note the version of the routing table that another node has used."""
    if version is not None:
        mesh_state.reported_version = max(mesh_state.reported_version, version)


def may_lack_routes(mesh_state: MeshState, now: float) -> bool:
    """Return whether a newer routing table is known to exist, or may be lost.

    Other nodes may have heard of it, or it may have been written to the store
    and lost when the store was restored.
    """
    table = mesh_state.table
    return (
        table is None
        or mesh_state.reported_version > table.version
        or mesh_state.reported_revision > mesh_state.revision
        or now < mesh_state.restoration.routes_settle_at
    )


def note_leaving(mesh_state: MeshState, entry: TargetEntry) -> None:
    """Record that a target is about to stop, until its next start."""
    current = {
        (each.target_id, each.started_ms)
        for each in mesh_state.targets.values()
    }
    mesh_state.leaving &= current
    mesh_state.leaving.add((entry.target_id, entry.started_ms))
    mesh_state.change_count += 1


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
) -> tuple[Revision, bool]:
    """Return a sort key that orders entries by the time of publication.

    The order follows the store's revisions, not the targets' start times,
    because hosts' clocks may be adjusted between starts. The latest record of
    a held target is its deletion, whose revision doesn't tell when its entry
    was published; held targets therefore come before all others. One that the
    copy of a restored store lacks was published after all records of the copy.
    """
    record = mesh_state.records.by_key.get(key)
    restoration = mesh_state.restoration
    if key not in mesh_state.held_until and record is not None:
        return record.revision, False
    if record is None or is_from_copy(restoration, record.revision):
        return restoration.first_revision, True
    return NO_REVISION, False


def note_changed_targets(mesh_state: MeshState) -> None:
    """Update what depends on the targets, after one or more have changed."""
    mesh_state.superseded = _find_superseded(mesh_state)
    mesh_state.change_count += 1


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


def find_entry(
    mesh_state: MeshState, key: str
) -> TargetEntry | ExcludedDataCentre | None:
    """Return what is in force by the record with a key."""
    for data_centre, record_key in mesh_state.excluded.items():
        if record_key == key:
            return ExcludedDataCentre(data_centre)
    return mesh_state.targets.get(key)
