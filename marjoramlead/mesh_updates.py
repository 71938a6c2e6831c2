"""Apply the records of the store to the node's view of the mesh.

Records come from the platform's store, directly or through a peer. A record
replaces one with the same key only if its revision is higher. The state
therefore doesn't depend on the order in which records arrive, and an old record
never replaces a newer one. After the store has been restored from a copy,
``restoration`` decides which of the copy's records take effect.
"""

from collections.abc import Iterable
from math import isfinite
from typing import Final

from marjoramlead.events import emit
from marjoramlead.mesh_entries import (
    ExcludedDataCentre,
    RefusedRouting,
    TargetEntry,
)
from marjoramlead.mesh_state import (
    MeshState,
    VersionReceipt,
    find_entry,
    is_leaving,
    note_changed_targets,
)
from marjoramlead.record_log import (
    Record,
    drop_older_tombstones,
    mark_compacted,
    put_record,
    unlisted_records,
)
from marjoramlead.restoration import (
    begin_era,
    choose_entry,
    defer_deletion,
    forget_copy,
    is_from_copy,
    note_departure,
    note_new_routes,
    take_settled,
)
from marjoramlead.revisions import NO_REVISION, Revision
from marjoramlead.routes import RoutingTable

__all__ = (
    'apply_records',
    'confirm_revision',
    'enter_era',
    'expire_held_targets',
    'remove_unlisted',
    'settle_deferred_changes',
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
            _try_to_apply(mesh_state, record, now)
            changed.append(record)
    if changed:
        note_changed_targets(mesh_state)
    return changed


def _try_to_apply(mesh_state: MeshState, record: Record, now: float) -> None:
    """Apply a record; a failure must not keep the others from being applied."""
    try:
        _apply_record(mesh_state, record, now)
    except Exception as exc:
        emit('bug', key=record.key, error=f'{type(exc).__name__}: {exc}')
        _remove_target(mesh_state, record.key, now)


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
        Record(
            record.key, None, _deletion_revision(mesh_state, record, revision)
        )
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
    enter_era(mesh_state, revision, now)
    if revision > mesh_state.revision:
        mesh_state.unchanged_until = mesh_state.confirmed_at
    if revision >= mesh_state.revision:
        mesh_state.revision = revision
        mesh_state.confirmed_at = max(mesh_state.confirmed_at, confirmed_at)


def enter_era(
    mesh_state: MeshState, copied_until: Revision, now: float
) -> None:
    """Prepare for the records of a restored store, if it is a later era.

    Entries that it lacks are written again within the time allowed after an
    outage, also those that were missing before. A node that knows no records
    takes the copy as it is.

    Parameters
    ----------
    mesh_state
        State to change.
    copied_until
        Revision up to which records may be from the copy.
    now
        Current time on the node's monotonic clock.
    """
    known = max(mesh_state.revision, mesh_state.restoration.first_revision)
    is_later = copied_until.era > known.era
    if mesh_state.revision == NO_REVISION or not is_later:
        return
    drop_older_tombstones(mesh_state.records, copied_until.era)
    begin_era(mesh_state.restoration, copied_until, now)
    mesh_state.reconnected_at = now
    held_until = now + REREGISTRATION_GRACE_S
    mesh_state.held_until = dict.fromkeys(mesh_state.held_until, held_until)


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
        _remove_target(mesh_state, key, now)
    if expired:
        note_changed_targets(mesh_state)
    return expired


def settle_deferred_changes(mesh_state: MeshState, now: float) -> list[str]:
    """Apply the records of a restored store whose time has come.

    Returns
    -------
    The keys of these records.
    """
    settled = take_settled(mesh_state.restoration, now)
    for key, entry in settled.items():
        if entry is None:
            _lift_exclusion(mesh_state, key)
        else:
            _put_entry(mesh_state, key, entry)
    if settled:
        note_changed_targets(mesh_state)
    return list(settled)


def _deletion_revision(
    mesh_state: MeshState, record: Record, listed_at: Revision
) -> Revision:
    """Return the revision of the deletion of a record that is not listed.

    A record of an earlier era may only be missing from the store's copy,
    without having been deleted in this era.
    """
    first_revision = mesh_state.restoration.first_revision
    is_of_earlier_era = record.revision.era < listed_at.era
    if is_of_earlier_era and first_revision.era == listed_at.era:
        return min(listed_at, first_revision)
    return listed_at


def _apply_record(mesh_state: MeshState, record: Record, now: float) -> None:
    key = record.key
    if record.body is None:
        _delete_record(mesh_state, record, now)
        return
    is_copied = is_from_copy(mesh_state.restoration, record.revision)
    if not is_copied:
        forget_copy(mesh_state.restoration, key)
    decoded = mesh_state.decode(record, now)
    if isinstance(decoded, RoutingTable):
        _replace_table(mesh_state, decoded, now)
        mesh_state.refused_routing = None
        if not is_copied:
            note_new_routes(mesh_state.restoration)
    elif isinstance(decoded, RefusedRouting):
        _refuse_routing(mesh_state, decoded)
    elif decoded is None:
        _remove_target(mesh_state, key, now)
        mesh_state.refused_records += 1
    elif is_copied:
        known = find_entry(mesh_state, key)
        chosen = choose_entry(mesh_state.restoration, key, known, decoded, now)
        mesh_state.held_until.pop(key, None)
        _put_entry(mesh_state, key, chosen)
    else:
        mesh_state.held_until.pop(key, None)
        _put_entry(mesh_state, key, decoded)


def _put_entry(
    mesh_state: MeshState,
    key: str,
    entry: TargetEntry | ExcludedDataCentre | None,
) -> None:
    if isinstance(entry, TargetEntry):
        mesh_state.targets[key] = entry
    elif entry is not None:
        mesh_state.excluded[entry.data_centre] = key


def _refuse_routing(mesh_state: MeshState, refused: RefusedRouting) -> None:
    """Keep the table in force, and say which version is not."""
    mesh_state.refused_routing = refused
    mesh_state.refused_records += 1
    emit(
        'routing_refused',
        refused_version=refused.version,
        field=refused.path,
        reason=refused.reason,
        version=mesh_state.table.version if mesh_state.table else None,
    )


def _replace_table(
    mesh_state: MeshState, table: RoutingTable, now: float
) -> None:
    if mesh_state.table and table.version <= mesh_state.table.version:
        return
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


def _delete_record(mesh_state: MeshState, record: Record, now: float) -> None:
    """Remove what a record added; after a store outage, hold its target.

    An exclusion that only the copy of a restored store lacks is kept.
    """
    key = record.key
    restoration = mesh_state.restoration
    restoration.deferred.pop(key, None)
    entry = find_entry(mesh_state, key)
    if isinstance(entry, ExcludedDataCentre):
        if is_from_copy(restoration, record.revision):
            defer_deletion(restoration, key, now)
            return
        _lift_exclusion(mesh_state, key)
        note_departure(restoration, key, now)
    elif entry is not None:
        grace_ends = mesh_state.reconnected_at + REREGISTRATION_GRACE_S
        if not entry.is_draining and now < grace_ends:
            mesh_state.held_until[key] = grace_ends
            return
        _remove_target(mesh_state, key, now)


def _remove_target(mesh_state: MeshState, key: str, now: float) -> None:
    entry = mesh_state.targets.pop(key, None)
    if entry is not None:
        note_departure(
            mesh_state.restoration,
            key,
            now,
            entry.started_ms,
            was_leaving=is_leaving(mesh_state, entry),
        )


def _lift_exclusion(mesh_state: MeshState, key: str) -> None:
    mesh_state.excluded = {
        data_centre: record_key
        for data_centre, record_key in mesh_state.excluded.items()
        if record_key != key
    }
