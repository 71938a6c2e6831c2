"""Messages with which nodes pass on records of the store.

A node requests the records that have changed after a revision. Large texts are
sent as a delta to a version that the receiver has. A read may be
a long poll, which is answered once the sender has changes or has confirmed that
there are none.
"""

from typing import Final, NamedTuple
from urllib.parse import parse_qs, urlencode

import msgspec
from expression import Error, Ok, Result

from marjoramlead.deltas import Edit, apply_delta, common_bytes, encode_delta
from marjoramlead.errors import Fault
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
    'make_feed_query',
    'records_from_feed',
)

FEED_PATH: Final = b'/-/marjoram/feed'
MS_PER_SECOND: Final = 1000
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
        Revisions of the versions of large records that the receiver has.
    wait_s
        Longest time of a long poll; 0 for an immediate answer.
    """

    after: Revision
    bases: frozenset[Revision] = frozenset()
    wait_s: float = 0


def make_feed_query(mesh_state: MeshState, wait_s: float) -> FeedQuery:
    """Return the query for what a node does not know yet."""
    return FeedQuery(
        mesh_state.revision, large_record_revisions(mesh_state.records), wait_s
    )


def encode_feed_query(query: FeedQuery) -> bytes:
    """Return the path and query string of a feed read."""
    parameters = {
        'after': query.after.number,
        'bases': ','.join(str(base.number) for base in sorted(query.bases)),
        'wait_ms': round(query.wait_s * MS_PER_SECOND),
    }
    encoded = urlencode(parameters, safe=',').encode()
    return b'%b?%b' % (FEED_PATH, encoded)


def decode_feed_query(uri: bytes) -> Result[FeedQuery, Fault]:
    """Decode the query string of a feed read."""
    raw = uri.partition(b'?')[2].decode('latin-1')
    parameters = {name: texts[0] for name, texts in parse_qs(raw).items()}
    era = NO_REVISION.era
    try:
        return Ok(
            FeedQuery(
                Revision(era, int(parameters.get('after', 0))),
                frozenset(
                    Revision(era, int(base))
                    for base in parameters.get('bases', '').split(',')
                    if base
                ),
                int(parameters.get('wait_ms', 0)) / MS_PER_SECOND,
            )
        )
    except ValueError as exc:
        return Error(Fault('feed query', str(exc)))


def encode_feed(
    mesh_state: MeshState, query: FeedQuery, now: float, held_s: float = 0
) -> bytes:
    """Encode the records that changed after the revision in a query.

    ``held_s`` is the time between the arrival of the query and this answer.
    """
    document: FeedDocument = {
        'revision': mesh_state.revision.number,
        'age_s': min(now - mesh_state.confirmed_at, MAX_AGE_S),
        'held_s': held_s,
        'listings': _encode_listings(mesh_state.records, query.after),
        'records': [
            _encode_record(mesh_state.records, record, query.bases)
            for record in records_after(mesh_state.records, query.after)
        ],
    }
    return msgspec.msgpack.encode(document)


def decode_feed(raw: bytes) -> Result[FeedDocument, Fault]:
    """Decode the response to a feed read."""
    try:
        return Ok(FEED_DECODER.decode(raw))
    except msgspec.MsgspecError as exc:
        return Error(Fault('feed', str(exc)))


def records_from_feed(
    mesh_state: MeshState, document: FeedDocument
) -> Result[list[Record], Fault]:
    """Return the records in a feed, with all deltas applied."""
    records: list[Record] = []
    era = NO_REVISION.era
    for each in document['records']:
        body = _decode_body(mesh_state.records, each)
        if body.is_error():
            return Error(body.error)
        revision = Revision(era, each['revision'])
        records.append(Record(each['key'], body.ok, revision))
    return Ok(records)


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
    changes every row of a table twice.
    """
    body = record.body or b''
    versions = find_versions(log, record.key, bases - {record.revision})
    return max(
        versions,
        key=lambda version: common_bytes(version.body or b'', body),
        default=None,
    )


def _decode_body(
    log: RecordLog, encoded: FeedRecord
) -> Result[bytes | None, Fault]:
    if encoded['is_deleted']:
        return Ok(None)
    base_number = encoded.get('base_revision')
    if base_number is None:
        return Ok(encoded['text'].encode('latin-1'))
    base_revision = Revision(NO_REVISION.era, base_number)
    base = find_version(log, encoded['key'], {base_revision})
    if base is None or base.body is None:
        return Error(Fault(encoded['key'], f'no base {base_number}'))
    edits = [
        Edit(edit['start'], edit['stop'], edit['text'].encode('latin-1'))
        for edit in encoded.get('edits', [])
    ]
    try:
        return Ok(apply_delta(base.body, edits))
    except ValueError as exc:
        return Error(Fault(encoded['key'], str(exc)))
