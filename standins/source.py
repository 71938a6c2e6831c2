"""A stand-in for the platform's configuration source.

Nodes read ``GET /v1/documents``. Operators publish with ``PUT`` and ``DELETE``
on ``/v1/documents/NAME``. ``PUT /v1/mode`` sets the mode, and
``GET /v1/stats`` returns counters.
"""

import sys
from collections import Counter
from dataclasses import dataclass, field
from typing import Literal, TypedDict
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
from cyclopts import App
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from marjoramlead.body_reader import collect_body
from marjoramlead.clock import Clock
from marjoramlead.http_server import StreamRequest, make_site
from marjoramlead.loop import install_asyncio_reactor
from marjoramlead.problems import json_response
from marjoramlead.verdict import Refusal

DOCUMENTS_PATH = '/v1/documents'
OK = 200
CONFLICT = 409
SERVICE_UNAVAILABLE = 503
MS_PER_SECOND = 1000

app = App(name='standin-source')


class Mode(TypedDict):
    """Body of ``PUT /v1/mode``.

    Attributes
    ----------
    mode
        ``well`` is normal operation, ``down`` refuses reads, ``hang`` leaves
        them without a response, and ``stale`` answers them from a copy that is
        made when the mode is set.
    """

    mode: Literal['well', 'down', 'hang', 'stale']


@dataclass
class Source:
    """State of the source.

    Attributes
    ----------
    documents
        Revision and text of each document by name.
    stale, stale_revision
        Copy of the documents and the revision for the ``stale`` mode.
    reads
        Number of listings that were requested.
    by_second
        Number of these listings in each second of the reactor's clock, since
        the last ``GET /v1/stats``.
    waiting
        Listings that wait for a newer revision.
    """

    reactor: Clock
    revision: int = 0
    documents: dict[str, tuple[int, str]] = field(default_factory=dict)
    stale: dict[str, tuple[int, str]] = field(default_factory=dict)
    stale_revision: int = 0
    mode: str = 'well'
    reads: int = 0
    by_second: Counter[int] = field(default_factory=Counter)
    waiting: list[Deferred[None]] = field(default_factory=list)


def handle(source: Source, req: StreamRequest) -> None:
    """Serve one request, and stop if its connection closes."""
    served = Deferred.fromCoroutine(_serve(source, req))
    req.notifyFinish().addErrback(lambda _failure: served.cancel())
    served.addErrback(_on_failure, req)


async def _serve(source: Source, req: StreamRequest) -> None:
    url = urlsplit(req.uri.decode())
    text = await _body_text(req)
    name = unquote(url.path.removeprefix(DOCUMENTS_PATH).lstrip('/'))
    if url.path == '/v1/mode':
        _set_mode(source, req, text)
    elif url.path == '/v1/stats':
        req.send_response(json_response(OK, _stats(source)))
    elif req.method == b'GET' and name:
        _answer_document(source, req, name)
    elif req.method == b'GET':
        await _answer_listing(source, req, parse_qs(url.query))
    else:
        _publish(source, req, name, text)


def _stats(source: Source) -> dict[str, int]:
    busiest = max(source.by_second.values(), default=0)
    source.by_second.clear()
    return {
        'reads': source.reads,
        'revision': source.revision,
        'busiest_s': busiest,
    }


async def _body_text(req: StreamRequest) -> str:
    if req.body is None:
        return ''
    body = await collect_body(req.body)
    return '' if isinstance(body, Refusal) else body.content.decode()


def _set_mode(source: Source, req: StreamRequest, text: str) -> None:
    source.mode = msgspec.json.decode(text, type=Mode)['mode']
    req.send_response(json_response(OK, {}))
    if source.mode == 'stale':
        source.stale = dict(source.documents)
        source.stale_revision = source.revision
    _wake_all(source)


def _answer_document(source: Source, req: StreamRequest, name: str) -> None:
    revision, text = source.documents.get(name, (0, ''))
    document = {'name': name, 'revision': revision, 'text': text}
    req.send_response(json_response(OK, document))


async def _answer_listing(
    source: Source,
    req: StreamRequest,
    query: dict[str, list[str]],
) -> None:
    source.reads += 1
    source.by_second[int(source.reactor.seconds())] += 1
    after = int(query['after'][0])
    wait_s = int(query['wait_ms'][0]) / MS_PER_SECOND
    if source.mode == 'hang':
        await Deferred()
    if source.mode == 'well' and source.revision <= after:
        await _wait_for_change(source, wait_s)
    if source.mode == 'down':
        req.send_response(json_response(SERVICE_UNAVAILABLE, {'error': 'down'}))
        return
    documents, revision = source.documents, source.revision
    if source.mode == 'stale':
        documents, revision = source.stale, source.stale_revision
    listing = {
        'revision': revision,
        'documents': [
            {'name': name, 'revision': changed_revision, 'text': text}
            for name, (changed_revision, text) in documents.items()
            if changed_revision > after
        ],
        'names': list(documents),
    }
    req.send_response(json_response(OK, listing))


async def _wait_for_change(source: Source, seconds: float) -> None:
    waiter: Deferred[None] = Deferred()
    source.waiting.append(waiter)
    timer = source.reactor.callLater(seconds, _wake_one, source, waiter)
    try:
        await waiter
    finally:
        if timer.active():
            timer.cancel()


def _publish(
    source: Source,
    req: StreamRequest,
    name: str,
    text: str,
) -> None:
    current_revision, _text = source.documents.get(name, (0, ''))
    expected = req.requestHeaders.getRawHeaders(b'If-Revision')
    if expected and int(expected[0]) != current_revision:
        conflict = {'error': 'overtaken', 'revision': current_revision}
        req.send_response(json_response(CONFLICT, conflict))
        return
    source.revision += 1
    if req.method == b'DELETE':
        source.documents.pop(name, None)
    else:
        source.documents[name] = (source.revision, text)
    req.send_response(json_response(OK, {'revision': source.revision}))
    _wake_all(source)


def _wake_all(source: Source) -> None:
    for waiter in list(source.waiting):
        _wake_one(source, waiter)


def _wake_one(source: Source, waiter: Deferred[None]) -> None:
    if waiter in source.waiting:
        source.waiting.remove(waiter)
        waiter.callback(None)


def _on_failure(failure: Failure, req: StreamRequest) -> None:
    req.send_response(json_response(500, {'error': failure.getErrorMessage()}))


@app.default
def run(*, port: int, address: str = '127.0.0.1') -> None:
    """Serve the source until the process is terminated.

    Parameters
    ----------
    port
        Port to listen on.
    address
        Address to listen on.
    """
    reactor = install_asyncio_reactor()
    source = Source(reactor)
    site = make_site(lambda req: handle(source, req), reactor)
    reactor.listenTCP(port, site, interface=address)
    reactor.run(installSignalHandlers=True)


if __name__ == '__main__':
    sys.exit(app())
