"""A stand-in for a target: slots, cold start, load report, drain, deadlines.

``GET /load`` reports the load, ``GET /ran`` what ran. Anything else is work:
it takes ``--work-ms``, or longer if the query says ``work_ms``. Work that
cannot end within the wait that it came with is refused as not run. More at once
than the target bears now counts as a collapse and is answered late with 500.
"""

import sys
import uuid
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from cyclopts import App
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from marjoramlead import headers as names
from marjoramlead.clock import Clock
from marjoramlead.http_server import StreamRequest, make_site
from marjoramlead.loop import install_loop
from marjoramlead.problems import json_answer, refusal_answer
from marjoramlead.verdict import Reason, Refusal, Verdict

OK = 200
COLLAPSED = 500
COLLAPSE_S = 1.0
SECOND_MS = 1000

app = App(name='standin-target')


@dataclass
class Target:
    """What the target bears, does and has done.

    Attributes
    ----------
    ran
        Times that each request was worked on, by idempotency key or id.
    collapses
        Requests that came while it had all that it bears.
    """

    reactor: Clock
    host: str
    slots: int
    cold_slots: int
    warm_answers: int
    work_ms: int
    started: str = field(default_factory=lambda: uuid.uuid4().hex)
    active: int = 0
    most_active: int = 0
    answers: int = 0
    collapses: int = 0
    cancelled: int = 0
    is_draining: bool = False
    ran: Counter[str] = field(default_factory=Counter)
    last_work_at: float = 0


class _Sink:
    def __init__(self) -> None:
        self.size = 0

    def write(self, chunk: bytes) -> None:
        """Count one chunk."""
        self.size += len(chunk)


def handle(target: Target, req: StreamRequest) -> None:
    """Serve one request."""
    parts = urlsplit(req.uri.decode())
    refused = _refused(target, req)
    if parts.path == '/load':
        req.answer(json_answer(OK, _load(target)))
    elif parts.path == '/ran':
        req.answer(json_answer(OK, _history(target)))
    elif parts.path == '/drain':
        target.is_draining = True
        req.answer(json_answer(OK, {}))
    elif refused:
        refusal = Refusal(refused, Verdict.NOT_RUN)
        req.answer(refusal_answer(refusal, _id_of(req)))
    else:
        served = Deferred.fromCoroutine(_work(target, req))
        req.notifyFinish().addErrback(lambda _gone: served.cancel())
        served.addErrback(_on_failure, target, req)


def _refused(target: Target, req: StreamRequest) -> Reason | None:
    if target.is_draining:
        return Reason.DRAINING
    wait = names.wait_of(req.requestHeaders)
    if wait is not None and wait * SECOND_MS < _work_ms(target, req):
        return Reason.DEADLINE
    return None


def concurrency_limit(target: Target) -> int:
    """Count the requests at once that the target can take now."""
    warmed = min(target.answers, target.warm_answers)
    growth = (target.slots - target.cold_slots) * warmed
    return target.cold_slots + growth // target.warm_answers


async def _work(target: Target, req: StreamRequest) -> None:
    target.active += 1
    target.most_active = max(target.most_active, target.active)
    try:
        await _work_in_slot(target, req)
    finally:
        target.active -= 1


async def _work_in_slot(
    target: Target,
    req: StreamRequest,
) -> None:
    is_collapse = target.active > concurrency_limit(target)
    sink = _Sink()
    if req.body is not None:
        req.send_continue()
        await req.body.startProducing(sink)
    key = req.requestHeaders.getRawHeaders(names.IDEMPOTENCY_KEY)
    target.ran[key[0].decode() if key else _id_of(req)] += 1
    target.last_work_at = target.reactor.seconds()
    if is_collapse:
        await _collapse(target, req)
        return
    work_ms = _work_ms(target, req)
    await _sleep(target, work_ms / SECOND_MS)
    target.answers += 1
    done = {'host': target.host, 'id': _id_of(req), 'bytes': sink.size}
    req.answer(json_answer(OK, done))


async def _collapse(target: Target, req: StreamRequest) -> None:
    target.collapses += 1
    await _sleep(target, COLLAPSE_S)
    req.answer(json_answer(COLLAPSED, {'error': 'collapsed'}))


def _load(target: Target) -> dict[str, object]:
    return {
        'started': target.started,
        'active': target.active,
        'slots': target.slots,
    }


def _history(target: Target) -> dict[str, object]:
    return {
        'ran': dict(target.ran),
        'answers': target.answers,
        'collapses': target.collapses,
        'cancelled': target.cancelled,
        'most_active': target.most_active,
        'idle_s': target.reactor.seconds() - target.last_work_at,
    }


def _work_ms(target: Target, req: StreamRequest) -> int:
    query = parse_qs(urlsplit(req.uri.decode()).query)
    return int(query.get('work_ms', [str(target.work_ms)])[0])


def _id_of(req: StreamRequest) -> str:
    raw = req.requestHeaders.getRawHeaders(names.REQUEST_ID)
    return raw[0].decode('latin-1') if raw else ''


def _on_failure(failure: Failure, target: Target, req: StreamRequest) -> None:
    target.cancelled += 1
    req.answer(json_answer(COLLAPSED, {'error': failure.getErrorMessage()}))


async def _sleep(target: Target, seconds: float) -> None:
    slept: Deferred[None] = Deferred()
    timer = target.reactor.callLater(seconds, slept.callback, None)
    try:
        await slept
    finally:
        if timer.active():
            timer.cancel()


@app.default
def run(
    *,
    port: int,
    host: str,
    slots: int = 9,
    cold_slots: int = 2,
    warm_answers: int = 60,
    work_ms: int = 2,
) -> None:
    """Serve until killed."""
    reactor = install_loop()
    target = Target(reactor, host, slots, cold_slots, warm_answers, work_ms)
    site = make_site(lambda req: handle(target, req), reactor)
    reactor.listenTCP(port, site, interface='127.0.0.1')
    reactor.run(installSignalHandlers=True)


if __name__ == '__main__':
    sys.exit(app())
