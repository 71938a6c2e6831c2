"""Messages with which nodes pass on records of the store.

A node requests the records that have changed after a revision. Large texts are
sent as a delta to a version that the receiver has. A read may be
a long poll, which is answered once the sender has changes or has confirmed that
there are none.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple
from urllib.parse import parse_qs, urlencode

import msgspec
from expression import Error, Ok, Result

from marjoramlead.deltas import Edit, apply_delta, common_bytes, encode_delta
from marjoramlead.errors import DECODING_ERRORS, Fault
from marjoramlead.generated.hop_types import (
    FeedDocument,
    FeedEdit,
    FeedListing,
    FeedRecord,
)
from marjoramlead.mesh_state import MeshState
from marjoramlead.record_log import (
    Record,
    RecordLog,
    find_version,
    find_versions,
    large_record_revisions,
    records_after,
)
from marjoramlead.revisions import NO_REVISION, Revision

__all__ = (
    'FEED_PATH',
    'FeedQuery',
    'decode_feed',
    'decode_feed_query',
    'encode_feed',
    'encode_feed_query',
    'feed_copied_until',
    'feed_revision',
    'make_feed_query',
    'records_from_feed',
)

FEED_PATH: Final = b'/-/marjoram/feed'
MS_PER_SECOND: Final = 1000
# A version that has this share of a text in common serves as its base.
SUFFICIENT_COMMON_SHARE: Final = 0.9
# Reported instead of the infinite age of data that was never confirmed.
MAX_AGE_S: Final = 1000.0
FEED_DECODER: Final = msgspec.msgpack.Decoder(FeedDocument)


class FeedQuery(NamedTuple):
    """A read of another node's records.

    Attributes
    ----------
    after
        Revision up to which the receiver knows all changes.
    bases
        Revisions of the versions of large records that the receiver has, of
        the era of ``after``.
    wait_s
        Longest time of a long poll; 0 for an immediate answer.
    """

    after: Revision
    bases: frozenset[Revision] = frozenset()
    wait_s: float = 0


def make_feed_query(mesh_state: MeshState, wait_s: float) -> FeedQuery:
    """Return the query for what a node does not know yet."""
    revision = mesh_state.revision
    bases = large_record_revisions(mesh_state.records)
    of_this_era = frozenset(base for base in bases if base.era == revision.era)
    return FeedQuery(revision, of_this_era, wait_s)


def encode_feed_query(query: FeedQuery) -> bytes:
    """Return the path and query string of a feed read."""
    parameters = {
        'after': query.after.number,
        'era': query.after.era,
        'bases': ','.join(str(base.number) for base in sorted(query.bases)),
        'wait_ms': round(query.wait_s * MS_PER_SECOND),
    }
    encoded = urlencode(parameters, safe=',').encode()
    return b'%b?%b' % (FEED_PATH, encoded)


def decode_feed_query(uri: bytes, own_era: int) -> Result[FeedQuery, Fault]:
    """Decode the query string of a feed read.

    A node of an earlier version does not say of which era its revisions are.
    It is taken for the era of the node that answers, ``own_era``. If that may
    be wrong, no delta is sent, because the base may be another text.
    """
    raw = uri.partition(b'?')[2].decode('latin-1')
    parameters = {name: texts[0] for name, texts in parse_qs(raw).items()}
    bases = parameters.get('bases', '').split(',')
    if own_era != NO_REVISION.era and 'era' not in parameters:
        bases = []
    try:
        return Ok(
            FeedQuery(
                _decode_after(parameters, own_era),
                frozenset(
                    Revision(int(parameters.get('era', own_era)), int(base))
                    for base in bases
                    if base
                ),
                max(0, int(parameters.get('wait_ms', 0)) / MS_PER_SECOND),
            )
        )
    except (OverflowError, ValueError) as exc:
        return Error(Fault('feed query', str(exc)))


def _decode_after(parameters: Mapping[str, str], own_era: int) -> Revision:
    number = int(parameters.get('after', 0))
    if not number:
        return NO_REVISION
    return Revision(int(parameters.get('era', own_era)), number)


def encode_feed(
    mesh_state: MeshState, query: FeedQuery, now: float, held_s: float = 0
) -> bytes:
    """Encode the records that changed after the revision in a query.

    ``held_s`` is the time between the arrival of the query and this answer.
    """
    document: FeedDocument = {
        'revision': mesh_state.revision.number,
        'era': mesh_state.revision.era,
        'age_s': min(now - mesh_state.confirmed_at, MAX_AGE_S),
        'held_s': held_s,
        'listings': _encode_listings(mesh_state.records, query.after),
        'records': [
            _encode_record(mesh_state.records, record, query.bases)
            for record in records_after(mesh_state.records, query.after)
        ],
    }
    first_revision = mesh_state.restoration.first_revision
    if first_revision.era and first_revision.era == mesh_state.revision.era:
        document['copied_until'] = first_revision.number
    return msgspec.msgpack.encode(document)


def decode_feed(raw: bytes) -> Result[FeedDocument, Fault]:
    """Decode the response to a feed read."""
    try:
        return Ok(FEED_DECODER.decode(raw))
    except DECODING_ERRORS as exc:
        return Error(Fault('feed', str(exc)))


def feed_revision(document: FeedDocument) -> Revision:
    """Return the revision that a feed leads up to.

    A node of an earlier version knows no eras; its records are taken for those
    of a store that was never restored.
    """
    return Revision(document.get('era', NO_REVISION.era), document['revision'])


def feed_copied_until(document: FeedDocument) -> Revision:
    """Return up to which revision records may be from the store's copy.

    If the sender has not seen the era begin, that may be any record of the
    document.
    """
    revision = feed_revision(document)
    number = document.get('copied_until', revision.number)
    return min(revision, Revision(revision.era, number))


class FeedRecords(NamedTuple):
    """The records of a feed, and the faults of those that are left out."""

    records: list[Record]
    faults: list[Fault]


def records_from_feed(
    mesh_state: MeshState, document: FeedDocument
) -> FeedRecords:
    """Return the records in a feed, with all deltas applied.

    All records that exist in an era have been listed in it, so that their
    revisions are of the same era as that of the feed.
    """
    decoded = FeedRecords([], [])
    era = feed_revision(document).era
    for each in document['records']:
        body = _decode_body(mesh_state.records, each)
        if body.is_error():
            decoded.faults.append(body.error)
        else:
            revision = Revision(era, each['revision'])
            decoded.records.append(Record(each['key'], body.ok, revision))
    return decoded


def _encode_listings(log: RecordLog, after: Revision) -> list[FeedListing]:
    """List the keys among which a deletion may be unknown to this node."""
    return [
        FeedListing(
            prefix=prefix,
            keys=[
                record.key
                for record in log.by_key.values()
                if record.body is not None and record.key.startswith(prefix)
            ],
        )
        for prefix, revision in log.compacted.items()
        if after < revision
    ]


def _encode_record(
    log: RecordLog, record: Record, bases: frozenset[Revision]
) -> FeedRecord:
    body = record.body or b''
    encoded: FeedRecord = {
        'key': record.key,
        'text': '',
        'revision': record.revision.number,
        'is_deleted': record.body is None,
    }
    base = _choose_base(log, record, bases)
    if base is None or base.body is None:
        encoded['text'] = body.decode('latin-1')
    else:
        encoded['base_revision'] = base.revision.number
        encoded['base_era'] = base.revision.era
        encoded['edits'] = [
            FeedEdit(
                start=edit.start,
                stop=edit.stop,
                text=edit.inserted.decode('latin-1'),
            )
            for edit in encode_delta(base.body, body)
        ]
    return encoded


def _choose_base(
    log: RecordLog, record: Record, bases: frozenset[Revision]
) -> Record | None:
    """Return the version that has most in common with a record.

    It is not always the latest one: a column that is added and removed again
    changes every row of a table twice. Versions before one that has nearly all
    in common are not compared, as each comparison takes a millisecond.
    """
    body = record.body or b''
    best: Record | None = None
    most_common = -1
    for version in find_versions(log, record.key, bases - {record.revision}):
        common = common_bytes(version.body or b'', body)
        if common > most_common:
            best, most_common = version, common
        if most_common >= SUFFICIENT_COMMON_SHARE * len(body):
            break
    return best


def _decode_body(
    log: RecordLog, encoded: FeedRecord
) -> Result[bytes | None, Fault]:
    if encoded['is_deleted']:
        return Ok(None)
    try:
        return Ok(_rebuild_text(log, encoded))
    except ValueError as exc:  # also for text that is not bytes
        return Error(Fault(encoded['key'], str(exc)))


def _rebuild_text(log: RecordLog, encoded: FeedRecord) -> bytes:
    base_number = encoded.get('base_revision')
    if base_number is None:
        return encoded['text'].encode('latin-1')
    base_era = encoded.get('base_era', NO_REVISION.era)
    base_revision = Revision(base_era, base_number)
    base = find_version(log, encoded['key'], {base_revision})
    if base is None or base.body is None:
        raise ValueError(f'no base {base_number}')
    edits = [
        Edit(edit['start'], edit['stop'], edit['text'].encode('latin-1'))
        for edit in encoded.get('edits', [])
    ]
    return apply_delta(base.body, edits)
