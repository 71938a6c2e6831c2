"""A stand-in for the platform's configuration source, and its publisher.

Readers use ``GET /v1/documents``; operators publish with ``PUT`` and
``DELETE`` on ``/v1/documents/NAME``. ``PUT /v1/mode`` brings faults about.
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
from marjoramlead.loop import install_loop
from marjoramlead.problems import json_answer
from marjoramlead.verdict import Refusal

PREFIX = '/v1/documents'
OK = 200
CONFLICT = 409
DOWN = 503
SECOND_MS = 1000

app = App(name='standin-source')


class Mode(TypedDict):
    """How the source behaves: well, down, hanging, or serving a stale copy."""

    mode: Literal['well', 'down', 'hang', 'stale']


@dataclass
class Source:
    """All documents by name, with revision and text."""

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
    """Serve one request."""
    served = Deferred.fromCoroutine(_serve(source, req))
    req.notifyFinish().addErrback(lambda _gone: served.cancel())
    served.addErrback(_on_failure, req)


async def _serve(source: Source, req: StreamRequest) -> None:
    parts = urlsplit(req.uri.decode())
    text = await _body_text(req)
    name = unquote(parts.path.removeprefix(PREFIX).lstrip('/'))
    if parts.path == '/v1/mode':
        _set_mode(source, req, text)
    elif parts.path == '/v1/stats':
        req.answer(json_answer(OK, _stats(source)))
    elif req.method == b'GET' and name:
        _answer_one(source, req, name)
    elif req.method == b'GET':
        await _answer_listing(source, req, parse_qs(parts.query))
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
    req.answer(json_answer(OK, {}))
    if source.mode == 'stale':
        source.stale = dict(source.documents)
        source.stale_revision = source.revision
    _wake_all(source)


def _answer_one(source: Source, req: StreamRequest, name: str) -> None:
    revision, text = source.documents.get(name, (0, ''))
    one = {'name': name, 'revision': revision, 'text': text}
    req.answer(json_answer(OK, one))


async def _answer_listing(
    source: Source,
    req: StreamRequest,
    query: dict[str, list[str]],
) -> None:
    source.reads += 1
    source.by_second[int(source.reactor.seconds())] += 1
    after = int(query['after'][0])
    wait = int(query['wait_ms'][0]) / SECOND_MS
    if source.mode == 'hang':
        await Deferred()
    if source.mode == 'well' and source.revision <= after:
        await _wait(source, wait)
    if source.mode == 'down':
        req.answer(json_answer(DOWN, {'error': 'down'}))
        return
    documents, revision = source.documents, source.revision
    if source.mode == 'stale':
        documents, revision = source.stale, source.stale_revision
    listing = {
        'revision': revision,
        'documents': [
            {'name': name, 'revision': at, 'text': text}
            for name, (at, text) in documents.items()
            if at > after
        ],
        'names': list(documents),
    }
    req.answer(json_answer(OK, listing))


async def _wait(source: Source, seconds: float) -> None:
    woken: Deferred[None] = Deferred()
    source.waiting.append(woken)
    timer = source.reactor.callLater(seconds, _wake_one, source, woken)
    try:
        await woken
    finally:
        if timer.active():
            timer.cancel()


def _publish(
    source: Source,
    req: StreamRequest,
    name: str,
    text: str,
) -> None:
    held, _text = source.documents.get(name, (0, ''))
    expected = req.requestHeaders.getRawHeaders(b'If-Revision')
    if expected and int(expected[0]) != held:
        conflict = {'error': 'overtaken', 'revision': held}
        req.answer(json_answer(CONFLICT, conflict))
        return
    source.revision += 1
    if req.method == b'DELETE':
        source.documents.pop(name, None)
    else:
        source.documents[name] = (source.revision, text)
    req.answer(json_answer(OK, {'revision': source.revision}))
    _wake_all(source)


def _wake_all(source: Source) -> None:
    for woken in list(source.waiting):
        _wake_one(source, woken)


def _wake_one(source: Source, woken: Deferred[None]) -> None:
    if woken in source.waiting:
        source.waiting.remove(woken)
        woken.callback(None)


def _on_failure(failure: Failure, req: StreamRequest) -> None:
    req.answer(json_answer(500, {'error': failure.getErrorMessage()}))


@app.default
def run(*, port: int, address: str = '127.0.0.1') -> None:
    """Serve until killed."""
    reactor = install_loop()
    source = Source(reactor)
    site = make_site(lambda req: handle(source, req), reactor)
    reactor.listenTCP(port, site, interface=address)
    reactor.run(installSignalHandlers=True)


if __name__ == '__main__':
    sys.exit(app())
