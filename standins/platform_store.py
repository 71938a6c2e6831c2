"""Stands for the platform's store: items under one revision, read only.

Speaks what the adapter reads: listing in pages, and a watch that waits.
"""

import json
from base64 import b64encode
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.web.http_headers import Headers

from marjoramlead.clock import Clock
from marjoramlead.http_server import StreamRequest
from marjoramlead.problems import Answer

__all__ = ('StoreStandIn', 'delete', 'handle_store', 'put')

SECOND_MS = 1000
PAGE = 50
Item = dict[str, Any]


@dataclass
class StoreStandIn:
    """What the store holds.

    Attributes
    ----------
    history
        All changes, the oldest first.
    forgotten
        Changes up to this revision are not told any more.
    refusing
        Status to answer every call with, or 0.
    is_silent
        Whether calls get no answer at all.
    """

    reactor: Clock
    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    compacted_revision: int = 0
    error_status: int = 0
    is_silent: bool = False
    calls: int = 0
    waiters: list[tuple[int, StreamRequest]] = field(default_factory=list)


def put(store: StoreStandIn, key: str, document: object) -> None:
    """Write an item, as the operator or a target does."""
    raw = document if isinstance(document, bytes) else _encoded(document)
    store.revision += 1
    item = {
        'Key': key,
        'Value': b64encode(raw).decode(),
        'Revision': store.revision,
        'CreatedRev': store.revision,
        'Lease': 0,
    }
    store.items[key] = item
    _tell(store, item)


def delete(store: StoreStandIn, key: str) -> None:
    """Remove an item."""
    store.revision += 1
    store.items.pop(key, None)
    _tell(store, {'Key': key, 'Revision': store.revision, 'Deleted': True})


def handle_store(store: StoreStandIn, req: StreamRequest) -> None:
    """Answer one call."""
    store.calls += 1
    if store.is_silent:
        return
    if store.error_status:
        req.answer(Answer(store.error_status, Headers(), b''))
        return
    parts = urlsplit(req.uri.decode())
    query = {name: each[0] for name, each in parse_qs(parts.query).items()}
    if parts.path == '/-/kv-range':
        _list(store, req, query)
    elif parts.path == '/-/kv-watch':
        _watch(store, req, query)
    else:
        req.answer(Answer(404, Headers(), b''))


def _encoded(document: object) -> bytes:
    return json.dumps(document).encode()


def _list(
    store: StoreStandIn,
    req: StreamRequest,
    query: dict[str, str],
) -> None:
    prefix = query.get('PathPrefix', '')
    keys = sorted(
        key
        for key in store.items
        if key.startswith(prefix) and key > query.get('after', '')
    )
    _reply(
        req,
        {
            'items': [store.items[key] for key in keys[:PAGE]],
            'MorePages': len(keys) > PAGE,
            'CurrentRev': store.revision,
        },
    )


def _watch(
    store: StoreStandIn,
    req: StreamRequest,
    query: dict[str, str],
) -> None:
    after = int(query['after'])
    if after < store.compacted_revision:
        req.answer(Answer(410, Headers(), b''))
    elif after < store.revision:
        _reply_events(store, req, after)
    else:
        waiter = (after, req)
        store.waiters.append(waiter)
        wait = int(query['WaitMs']) / SECOND_MS
        store.reactor.callLater(wait, _end_wait, store, waiter)


def _end_wait(store: StoreStandIn, waiter: tuple[int, StreamRequest]) -> None:
    if waiter in store.waiters:
        store.waiters.remove(waiter)
        _reply_events(store, waiter[1], waiter[0])


def _tell(store: StoreStandIn, event: Item) -> None:
    store.history.append(event)
    waiters = store.waiters
    store.waiters = []
    for after, req in waiters:
        _reply_events(store, req, after)


def _reply_events(store: StoreStandIn, req: StreamRequest, after: int) -> None:
    if store.is_silent:
        return
    events = [each for each in store.history if each['Revision'] > after]
    _reply(req, {'events': events, 'CurrentRev': store.revision})


def _reply(req: StreamRequest, document: Item) -> None:
    fields = Headers({b'Content-Type': [b'application/json']})
    req.answer(Answer(200, fields, _encoded(document)))
