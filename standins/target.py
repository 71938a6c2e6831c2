"""A stand-in for a target with slots, slow start, load reports and draining.

``GET /load`` returns the load report, ``GET /ran`` returns counters, and
``/drain`` makes the target refuse all further work. Every other request is
work. It takes ``--work-ms``, or ``work_ms`` of its query. Work that cannot end
before its deadline is refused as not run. Work beyond the current concurrency
limit counts as a collapse and gets a late response with 500.
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
from marjoramlead.loop import install_asyncio_reactor
from marjoramlead.problems import json_response, refusal_response
from marjoramlead.verdict import Reason, Refusal, Verdict

OK = 200
INTERNAL_SERVER_ERROR = 500
COLLAPSE_DELAY_S = 1.0
MS_PER_SECOND = 1000

app = App(name='standin-target')


@dataclass
class Target:
    """State and counters of the target.

    Attributes
    ----------
    slots
        Concurrency limit of a warm target.
    cold_slots
        Concurrency limit of a target that has just started.
    warm_answers
        Complete answers after which the target is warm.
    work_ms
        Default duration of a request.
    started
        Random id of this start, from which a node detects a restart.
    active, most_active
        Current and highest number of concurrent requests.
    answers
        Complete answers since the start, without collapses.
    collapses
        Requests that arrived when the target was at its concurrency limit.
    cancelled
        Requests whose connection closed, or which failed, before the response.
    ran
        Number of runs of each request, by its idempotency key or its id.
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


class _CountingConsumer:
    def __init__(self) -> None:
        self.size = 0

    def write(self, chunk: bytes) -> None:
        """Count the bytes of a chunk."""
        self.size += len(chunk)


def handle(target: Target, req: StreamRequest) -> None:
    """Serve one request."""
    url = urlsplit(req.uri.decode())
    reason = _refusal_reason(target, req)
    if url.path == '/load':
        req.send_response(json_response(OK, _load_report(target)))
    elif url.path == '/ran':
        req.send_response(json_response(OK, _counters(target)))
    elif url.path == '/drain':
        target.is_draining = True
        req.send_response(json_response(OK, {}))
    elif reason:
        refusal = Refusal(reason, Verdict.NOT_RUN)
        req.send_response(refusal_response(refusal, _request_id(req)))
    else:
        served = Deferred.fromCoroutine(_count_and_run(target, req))
        req.notifyFinish().addErrback(lambda _failure: served.cancel())
        served.addErrback(_on_failure, target, req)


def _refusal_reason(target: Target, req: StreamRequest) -> Reason | None:
    if target.is_draining:
        return Reason.DRAINING
    wait_s = names.read_wait_s(req.requestHeaders)
    if wait_s is not None and wait_s * MS_PER_SECOND < _work_ms(target, req):
        return Reason.DEADLINE
    return None


def concurrency_limit(target: Target) -> int:
    """Return how many requests the target can run concurrently now."""
    warmed = min(target.answers, target.warm_answers)
    growth = (target.slots - target.cold_slots) * warmed
    return target.cold_slots + growth // target.warm_answers


async def _count_and_run(target: Target, req: StreamRequest) -> None:
    target.active += 1
    target.most_active = max(target.most_active, target.active)
    try:
        await _run_request(target, req)
    finally:
        target.active -= 1


async def _run_request(
    target: Target,
    req: StreamRequest,
) -> None:
    is_collapse = target.active > concurrency_limit(target)
    consumer = _CountingConsumer()
    if req.body is not None:
        req.send_continue()
        await req.body.startProducing(consumer)
    key = req.requestHeaders.getRawHeaders(names.IDEMPOTENCY_KEY)
    target.ran[key[0].decode() if key else _request_id(req)] += 1
    target.last_work_at = target.reactor.seconds()
    if is_collapse:
        await _collapse(target, req)
        return
    work_ms = _work_ms(target, req)
    await _sleep(target, work_ms / MS_PER_SECOND)
    target.answers += 1
    result = {
        'host': target.host,
        'id': _request_id(req),
        'bytes': consumer.size,
    }
    req.send_response(json_response(OK, result))


async def _collapse(target: Target, req: StreamRequest) -> None:
    target.collapses += 1
    await _sleep(target, COLLAPSE_DELAY_S)
    req.send_response(
        json_response(INTERNAL_SERVER_ERROR, {'error': 'collapsed'})
    )


def _load_report(target: Target) -> dict[str, object]:
    return {
        'started': target.started,
        'active': target.active,
        'slots': target.slots,
    }


def _counters(target: Target) -> dict[str, object]:
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


def _request_id(req: StreamRequest) -> str:
    raw = req.requestHeaders.getRawHeaders(names.REQUEST_ID)
    return raw[0].decode('latin-1') if raw else ''


def _on_failure(failure: Failure, target: Target, req: StreamRequest) -> None:
    target.cancelled += 1
    req.send_response(
        json_response(
            INTERNAL_SERVER_ERROR, {'error': failure.getErrorMessage()}
        )
    )


async def _sleep(target: Target, seconds: float) -> None:
    elapsed: Deferred[None] = Deferred()
    timer = target.reactor.callLater(seconds, elapsed.callback, None)
    try:
        await elapsed
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
    """Serve the target until the process is terminated.

    Parameters
    ----------
    port
        Port to listen on, at 127.0.0.1.
    host
        Name of the host, for responses.
    slots
        Concurrency limit of a warm target.
    cold_slots
        Concurrency limit at the start.
    warm_answers
        Complete answers after which the target is warm.
    work_ms
        Default duration of a request in milliseconds.
    """
    reactor = install_asyncio_reactor()
    target = Target(reactor, host, slots, cold_slots, warm_answers, work_ms)
    site = make_site(lambda req: handle(target, req), reactor)
    reactor.listenTCP(port, site, interface='127.0.0.1')
    reactor.run(installSignalHandlers=True)


if __name__ == '__main__':
    sys.exit(app())
