"""Stands for an instance on the platform: slots, a cold start, and faults."""

from dataclasses import dataclass, field

from twisted.web.http_headers import Headers

from marjoramlead.clock import Clock
from marjoramlead.http_server import StreamRequest
from marjoramlead.problems import Answer

__all__ = ('Arrival', 'TargetStandIn', 'handle_target')

SECOND_MS = 1000
WORK_S = 0.1
EXTRA_AFTER_S = 0.05
EXTRA_ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: %s\r\n\r\n'
)


@dataclass
class Arrival:
    """One request that reached the target, and what became of it."""

    request_id: str
    at: float
    caller: str
    wait_ms: int
    ran: bool = True


@dataclass
class TargetStandIn:
    """State of one target.

    Attributes
    ----------
    fault
        What goes wrong with the next answers: ``reset`` (run, then cut),
        ``silent`` (run, never answered), ``extra`` (a second answer follows),
        ``unsealed`` (without proof), ``error`` (its own 500), or nothing.
    most_running
        Most requests that it ever ran at once.
    cold_until
        On the reactor's clock.
    probe_s
        Seconds that an answer to a probe takes.
    """

    reactor: Clock
    target_id: str
    slots: int = 4
    work_s: float = WORK_S
    fault: str = ''
    cold_until: float = 0
    probe_s: float = 0
    running: int = 0
    most_running: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    disconnected: list[str] = field(default_factory=list)


def handle_target(target: TargetStandIn, req: StreamRequest) -> None:
    """Serve one request, or a probe."""
    if req.uri == b'/health':
        target.reactor.callLater(target.probe_s, _answer_probe, target, req)
        return
    arrival = Arrival(
        _header(req, b'X-Request-Id'),
        target.reactor.seconds(),
        _header(req, b'X-Caller-Service'),
        int(_header(req, b'X-Deadline-Ms') or '-1'),
    )
    target.arrivals.append(arrival)
    expected = _header(req, b'X-Expected-Instance')
    if expected and expected != target.target_id:
        _turn_away(target, req, arrival, 421)
    elif target.running >= target.slots:
        _turn_away(target, req, arrival, 503)
    else:
        _run(target, req, arrival)


def _run(target: TargetStandIn, req: StreamRequest, arrival: Arrival) -> None:
    target.running += 1
    target.most_running = max(target.most_running, target.running)
    if req.body is not None:
        req.body.startProducing(_Sink())
    ending = target.reactor.callLater(
        target.work_s,
        _end,
        target,
        req,
        arrival.request_id,
    )

    def on_gone(_failure: object) -> None:
        if ending.active():
            ending.cancel()
            target.running -= 1
            target.disconnected.append(arrival.request_id)

    req.notifyFinish().addErrback(on_gone)


def _end(target: TargetStandIn, req: StreamRequest, request_id: str) -> None:
    target.running -= 1
    if target.fault == 'silent':
        return
    if target.fault == 'reset':
        req.abort()
        return
    fields = Headers(
        {
            b'X-Request-Id': [request_id.encode()],
            b'X-Server-Load': [b'%d,0,%d' % (target.running, target.slots)],
        },
    )
    if target.fault != 'unsealed':
        fields.setRawHeaders(b'X-Server-Seal', [b'seal'])
    status = 500 if target.fault == 'error' else 200
    transport = req.channel.transport
    req.answer(Answer(status, fields, request_id.encode()))
    if target.fault == 'extra':
        raw = EXTRA_ANSWER % request_id.encode()
        target.reactor.callLater(EXTRA_AFTER_S, transport.write, raw)


def _turn_away(
    target: TargetStandIn,
    req: StreamRequest,
    arrival: Arrival,
    status: int,
) -> None:
    arrival.ran = False
    fields = Headers(
        {
            b'X-Not-Executed': [b'1'],
            b'X-Instance-Id': [target.target_id.encode()],
        },
    )
    req.answer(Answer(status, fields, b''))


def _answer_probe(target: TargetStandIn, req: StreamRequest) -> None:
    left = max(0, target.cold_until - target.reactor.seconds())
    fields = Headers(
        {
            b'X-Instance-Id': [target.target_id.encode()],
            b'X-Cold-Ms': [str(int(left * SECOND_MS)).encode()],
        },
    )
    req.answer(Answer(200, fields, b''))


def _header(req: StreamRequest, name: bytes) -> str:
    raw = req.requestHeaders.getRawHeaders(name)
    return raw[0].decode() if raw else ''


class _Sink:
    def write(self, chunk: bytes) -> None:
        """Drop what arrives."""
