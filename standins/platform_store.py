"""A stand-in for the platform's store: records under one common revision.

Implements the two reads that the adapter uses: a listing in pages, and a watch
that waits for changes. A store can be restored from an earlier copy of itself.
Each restoration begins a new era, and revisions are then given out again.
"""

import json
from base64 import b64encode
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from twisted.web.http_headers import Headers

from marjoramlead.clock import Clock
from marjoramlead.http_server import StreamRequest
from marjoramlead.problems import BufferedResponse

__all__ = (
    'StoreCopy',
    'StoreStandIn',
    'delete',
    'handle_store',
    'put',
    'refuse_call',
    'restore',
    'snapshot',
)

MS_PER_SECOND = 1000
PAGE_SIZE = 50
ERA_HEADER = b'Store-Era'
JsonObject = dict[str, Any]


@dataclass
class StoreStandIn:
    """State of the store, and the faults that tests set.

    Attributes
    ----------
    revision
        Revision of the last change.
    era
        Number of restorations, counted from 1.
    sends_era
        Whether all responses carry the era.
    reused_until
        Revisions up to this one were given out in an earlier era.
    records
        Current records by key.
    history
        All changes, the oldest first.
    compacted_revision
        A watch that starts before this revision is refused with 410, as is
        one that starts after the last change.
    error_status
        Status with which every call is refused, or 0.
    is_silent
        Whether calls get no response at all.
    pending_watches
        Watches that wait for a change.
    """

    reactor: Clock
    revision: int = 1
    era: int = 1
    sends_era: bool = True
    reused_until: int = 0
    records: dict[str, JsonObject] = field(default_factory=dict)
    history: list[JsonObject] = field(default_factory=list)
    compacted_revision: int = 0
    error_status: int = 0
    is_silent: bool = False
    calls: int = 0
    pending_watches: list['Watch'] = field(default_factory=list)


class Watch(NamedTuple):
    """A call that returns the changes of some keys after a revision."""

    prefix: str
    after: int
    req: StreamRequest


class StoreCopy(NamedTuple):
    """What a store held at one moment."""

    revision: int
    records: dict[str, JsonObject]
    history: list[JsonObject]
    compacted_revision: int


def snapshot(store: StoreStandIn) -> StoreCopy:
    """Copy what the store holds now."""
    return StoreCopy(
        store.revision,
        dict(store.records),
        list(store.history),
        store.compacted_revision,
    )


def restore(
    store: StoreStandIn, copy: StoreCopy, *, holds_watches: bool = False
) -> None:
    """Return the store to an earlier copy, and begin a new era.

    Pending watches are cut. If they are held instead, each ends with the
    first change after its own revision or when its wait is over, and does not
    report the changes whose revisions are given out again until then.
    """
    store.era += 1
    store.reused_until = max(store.reused_until, store.revision)
    store.revision = copy.revision
    store.records = dict(copy.records)
    store.history = list(copy.history)
    store.compacted_revision = copy.compacted_revision
    if holds_watches:
        return
    for watch in store.pending_watches:
        watch.req.abort()
    store.pending_watches = []


def put(store: StoreStandIn, key: str, document: object) -> None:
    """Write a record, as an operator or a target would.

    Bytes are stored unchanged; anything else is encoded as JSON.
    """
    raw = document if isinstance(document, bytes) else _encode(document)
    store.revision += 1
    record = {
        'Key': key,
        'Value': b64encode(raw).decode(),
        'Revision': store.revision,
        'CreatedRev': store.revision,
        'Lease': 0,
    }
    store.records[key] = record
    _append_change(store, record)


def delete(store: StoreStandIn, key: str) -> None:
    """Remove a record."""
    store.revision += 1
    store.records.pop(key, None)
    _append_change(
        store, {'Key': key, 'Revision': store.revision, 'Deleted': True}
    )


def handle_store(store: StoreStandIn, req: StreamRequest) -> None:
    """Serve one call to the store."""
    store.calls += 1
    if store.is_silent:
        return
    if store.error_status:
        _respond(store, req, store.error_status)
        return
    parts = urlsplit(req.uri.decode())
    query = {name: each[0] for name, each in parse_qs(parts.query).items()}
    if parts.path == '/-/kv-range':
        _reply_page(store, req, query)
    elif parts.path == '/-/kv-watch':
        _watch(store, req, query)
    else:
        _respond(store, req, HTTPStatus.NOT_FOUND)


def refuse_call(store: StoreStandIn, req: StreamRequest) -> None:
    """Refuse one call, as the store does to some of the hosts."""
    store.calls += 1
    _respond(store, req, HTTPStatus.SERVICE_UNAVAILABLE)


def _encode(document: object) -> bytes:
    return json.dumps(document).encode()


def _reply_page(
    store: StoreStandIn,
    req: StreamRequest,
    query: dict[str, str],
) -> None:
    prefix = query.get('PathPrefix', '')
    keys = sorted(
        key
        for key in store.records
        if key.startswith(prefix) and key > query.get('after', '')
    )
    _reply(
        store,
        req,
        {
            'items': [store.records[key] for key in keys[:PAGE_SIZE]],
            'MorePages': len(keys) > PAGE_SIZE,
            'CurrentRev': store.revision,
        },
    )


def _watch(
    store: StoreStandIn,
    req: StreamRequest,
    query: dict[str, str],
) -> None:
    watch = Watch(query.get('PathPrefix', ''), int(query['after']), req)
    is_too_old = watch.after < store.compacted_revision
    if is_too_old or watch.after > store.revision:
        _respond(store, req, HTTPStatus.GONE)
    elif _changes(store, watch):
        _reply_changes(store, watch)
    else:
        store.pending_watches.append(watch)
        wait_s = int(query['WaitMs']) / MS_PER_SECOND
        store.reactor.callLater(wait_s, _end_watch, store, watch)


def _end_watch(store: StoreStandIn, watch: Watch) -> None:
    if watch in store.pending_watches:
        store.pending_watches.remove(watch)
        _reply_changes(store, watch)


def _append_change(store: StoreStandIn, change: JsonObject) -> None:
    store.history.append(change)
    pending_watches = store.pending_watches
    store.pending_watches = []
    for watch in pending_watches:
        if _is_reported(change, watch):
            _reply_changes(store, watch)
        else:
            store.pending_watches.append(watch)


def _changes(store: StoreStandIn, watch: Watch) -> list[JsonObject]:
    return [each for each in store.history if _is_reported(each, watch)]


def _is_reported(change: JsonObject, watch: Watch) -> bool:
    is_later: bool = change['Revision'] > watch.after
    return is_later and change['Key'].startswith(watch.prefix)


def _reply_changes(store: StoreStandIn, watch: Watch) -> None:
    if store.is_silent:
        return
    changes = _changes(store, watch)
    _reply(store, watch.req, {'events': changes, 'CurrentRev': store.revision})


def _reply(
    store: StoreStandIn, req: StreamRequest, document: JsonObject
) -> None:
    _respond(store, req, HTTPStatus.OK, _encode(document))


def _respond(
    store: StoreStandIn, req: StreamRequest, status: int, body: bytes = b''
) -> None:
    headers = Headers()
    if store.sends_era:
        headers.setRawHeaders(ERA_HEADER, [str(store.era).encode()])
    if body:
        headers.setRawHeaders(b'Content-Type', [b'application/json'])
    req.send_response(BufferedResponse(status, headers, body))
