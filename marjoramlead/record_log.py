"""Records of the store, with what is needed to pass changes on to other nodes.

A record replaces one with the same key only if its revision is higher. A
deleted record stays as a tombstone, so that nodes that request the changes
since a revision learn of deletions. Some replaced versions of large records
are kept, as bases of deltas.
"""

from collections.abc import Collection, Container, Iterator
from dataclasses import dataclass, field
from itertools import chain
from typing import Final, NamedTuple

from marjoramlead.revisions import NO_REVISION, Revision

__all__ = (
    'Record',
    'RecordLog',
    'drop_older_tombstones',
    'find_version',
    'find_versions',
    'large_record_revisions',
    'mark_compacted',
    'put_record',
    'records_after',
    'unlisted_records',
)

# The oldest tombstones beyond this number are dropped.
MAX_TOMBSTONES: Final = 500
# Records of at least this size are sent between nodes as deltas.
LARGE_RECORD_BYTES: Final = 4096
REPLACED_VERSIONS: Final = 6
# Most bytes of the replaced versions of a record.
MAX_REPLACED_BYTES: Final = 2_000_000


class Record(NamedTuple):
    """An item of the store.

    Attributes
    ----------
    body
        Content of the item; None if it was deleted. A record without a body
        is a tombstone.
    revision
        Revision of the store at the last change of the item.
    """

    key: str
    body: bytes | None
    revision: Revision


@dataclass(slots=True)
class RecordLog:
    """The records known to a node.

    Attributes
    ----------
    by_key
        Latest record of each key, including tombstones.
    replaced
        Replaced versions of each large record, the oldest first.
    tombstones
        Keys of the tombstones, the earliest deletion first.
    compacted
        For prefixes of keys, the revision up to which tombstones may have been
        dropped.
    """

    by_key: dict[str, Record] = field(default_factory=dict)
    replaced: dict[str, list[Record]] = field(default_factory=dict)
    tombstones: dict[str, None] = field(default_factory=dict)
    compacted: dict[str, Revision] = field(default_factory=dict)


def put_record(log: RecordLog, record: Record) -> bool:
    """Add a record unless a newer one is known; return whether it was added."""
    current = log.by_key.get(record.key)
    if current is not None:
        if current.revision >= record.revision:
            return False
        _keep_replaced(log, current)
    log.by_key[record.key] = record
    log.tombstones.pop(record.key, None)
    if record.body is None:
        log.tombstones[record.key] = None
        _prune_tombstones(log)
    return True


def records_after(log: RecordLog, revision: Revision) -> list[Record]:
    """List the records changed after a revision, including tombstones.

    For ``NO_REVISION``, list all records except tombstones.
    """
    includes_deleted = revision != NO_REVISION
    return [
        record
        for record in log.by_key.values()
        if record.revision > revision
        and (includes_deleted or record.body is not None)
    ]


def unlisted_records(
    log: RecordLog, keys: Collection[str], prefix: str
) -> Iterator[Record]:
    """Yield the records with a prefix that are missing from a list of keys."""
    for record in log.by_key.values():
        is_listed = record.key in keys or not record.key.startswith(prefix)
        if record.body is not None and not is_listed:
            yield record


def mark_compacted(log: RecordLog, prefix: str, revision: Revision) -> None:
    """Record that tombstones up to a revision may have been dropped."""
    known = log.compacted.get(prefix, NO_REVISION)
    log.compacted[prefix] = max(known, revision)


def drop_older_tombstones(log: RecordLog, era: int) -> None:
    """Drop the tombstones of earlier eras, whose records need no deletion."""
    for key in list(log.tombstones):
        if log.by_key[key].revision.era < era:
            _drop_tombstone(log, key)


def large_record_revisions(log: RecordLog) -> frozenset[Revision]:
    """Return the revisions of all known versions of large records."""
    replaced = chain.from_iterable(log.replaced.values())
    return frozenset(
        record.revision
        for record in chain(log.by_key.values(), replaced)
        if len(record.body or b'') >= LARGE_RECORD_BYTES
    )


def find_version(
    log: RecordLog, key: str, revisions: Container[Revision]
) -> Record | None:
    """Find the latest version of a record that has one of the revisions."""
    return next(iter(find_versions(log, key, revisions)), None)


def find_versions(
    log: RecordLog, key: str, revisions: Container[Revision]
) -> list[Record]:
    """List the versions of a record by their revisions, the latest first."""
    versions = list(log.replaced.get(key, ()))
    current = log.by_key.get(key)
    if current is not None:
        versions.append(current)
    return [
        version
        for version in reversed(versions)
        if version.revision in revisions
    ]


def _keep_replaced(log: RecordLog, record: Record) -> None:
    if len(record.body or b'') >= LARGE_RECORD_BYTES:
        versions = log.replaced.setdefault(record.key, [])
        versions.append(record)
        while len(versions) > REPLACED_VERSIONS or _is_oversized(versions):
            versions.pop(0)


def _is_oversized(versions: list[Record]) -> bool:
    return sum(len(each.body or b'') for each in versions) > MAX_REPLACED_BYTES


def _prune_tombstones(log: RecordLog) -> None:
    while len(log.tombstones) > MAX_TOMBSTONES:
        _drop_tombstone(log, next(iter(log.tombstones)))


def _drop_tombstone(log: RecordLog, key: str) -> None:
    log.tombstones.pop(key)
    mark_compacted(log, '', log.by_key.pop(key).revision)
