"""A stand-in for the platform's store: records under one common revision.

Implements the two reads that the adapter uses: a listing in pages, and a watch
that waits for changes.
"""

import json
from base64 import b64encode
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from twisted.web.http_headers import Headers

from marjoramlead.clock import Clock
from marjoramlead.http_server import StreamRequest
from marjoramlead.problems import BufferedResponse

__all__ = ('StoreStandIn', 'delete', 'handle_store', 'put')

MS_PER_SECOND = 1000
PAGE_SIZE = 50
JsonObject = dict[str, Any]


@dataclass
class StoreStandIn:
    """State of the store, and the faults that tests set.

    Attributes
    ----------
    revision
        Revision of the last change.
    records
        Current records by key.
    history
        All changes, the oldest first.
    compacted_revision
        A watch that starts before this revision is refused with 410.
    error_status
        Status with which every call is refused, or 0.
    is_silent
        Whether calls get no response at all.
    pending_watches
        Watches that wait for a change.
    """

    reactor: Clock
    revision: int = 1
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
        req.send_response(BufferedResponse(store.error_status, Headers(), b''))
        return
    parts = urlsplit(req.uri.decode())
    query = {name: each[0] for name, each in parse_qs(parts.query).items()}
    if parts.path == '/-/kv-range':
        _reply_page(store, req, query)
    elif parts.path == '/-/kv-watch':
        _watch(store, req, query)
    else:
        req.send_response(BufferedResponse(404, Headers(), b''))


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
    if watch.after < store.compacted_revision:
        req.send_response(BufferedResponse(410, Headers(), b''))
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
        if change['Key'].startswith(watch.prefix):
            _reply_changes(store, watch)
        else:
            store.pending_watches.append(watch)


def _changes(store: StoreStandIn, watch: Watch) -> list[JsonObject]:
    return [
        each
        for each in store.history
        if each['Revision'] > watch.after
        and each['Key'].startswith(watch.prefix)
    ]


def _reply_changes(store: StoreStandIn, watch: Watch) -> None:
    if store.is_silent:
        return
    changes = _changes(store, watch)
    _reply(watch.req, {'events': changes, 'CurrentRev': store.revision})


def _reply(req: StreamRequest, document: JsonObject) -> None:
    headers = Headers({b'Content-Type': [b'application/json']})
    req.send_response(BufferedResponse(200, headers, _encode(document)))
