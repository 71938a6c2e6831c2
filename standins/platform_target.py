"""A stand-in for a target on the platform: slots, a cold start and faults."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, cast

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.http_headers import Headers

from marjoramlead.clock import Clock
from marjoramlead.http_server import StreamRequest
from marjoramlead.problems import BufferedResponse

__all__ = ('CUT_RESPONSES', 'Arrival', 'TargetStandIn', 'handle_target')

MS_PER_SECOND = 1000
WORK_S = 0.1
EXTRA_RESPONSE_DELAY_S = 0.05
EXTRA_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: %s\r\n\r\n'
)


@dataclass
class Arrival:
    """A request that reached the target.

    Attributes
    ----------
    at
        Time of arrival, on the reactor's clock.
    caller
        Service that sent the request.
    wait_ms
        Milliseconds until the deadline, or -1 without one.
    ran
        False if the target refused to run the request.
    authorization, account
        Values of the headers for the client's key and its account.
    """

    request_id: str
    at: float
    caller: str
    wait_ms: int
    ran: bool = True
    uri: bytes = b''
    authorization: str = ''
    account: str = ''


# Returns how much of a response is sent, by the lengths of head and body.
SentLength = Callable[[int, int], int]
# Where a response is cut, by the name of the fault.
CUT_RESPONSES: Final[Mapping[str, SentLength]] = {  # noqa: WPS407  # never modified
    'cut_in_head': lambda head, body: head // 2,
    'cut_after_head': lambda head, body: head,
    'cut_in_body': lambda head, body: head + body // 2,
    'cut_before_last_byte': lambda head, body: head + body - 1,
}

Calls = Sequence[Deferred[bool]]


def _call_nothing(_arrival: Arrival) -> Calls:
    return ()


@dataclass
class TargetStandIn:
    """State of one target.

    Attributes
    ----------
    fault
        Fault of the responses to requests that have run, or an empty string:
        ``reset`` closes the connection, ``silent`` sends no response,
        ``extra`` sends a second response, ``unsealed`` omits the header that
        proves the origin of a response, ``error`` responds with 500, and the
        faults in ``CUT_RESPONSES`` end the connection within the response.
    most_running
        Highest number of requests that ran concurrently.
    work_s
        Seconds that each request takes.
    notices
        Headers that the target adds to all responses but those to probes.
    work_of
        Returns the seconds that one request takes; overrides ``work_s``.
    make_calls
        Starts the calls that a request makes before its work. Each Deferred
        fires with whether its call succeeded; the request fails with 500 if
        one has not.
    cold_until
        Time at which the target is warm, on the reactor's clock.
    probe_s
        Seconds until a health probe is answered.
    body
        Body of the responses; if empty, the id of the request.
    arrivals
        All requests in order of arrival, without probes.
    disconnected
        Ids of the requests whose connection closed before they ended.
    """

    reactor: Clock
    target_id: str
    slots: int = 4
    work_s: float = WORK_S
    fault: str = ''
    cold_until: float = 0
    probe_s: float = 0
    body: bytes = b''
    running: int = 0
    most_running: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    disconnected: list[str] = field(default_factory=list)
    notices: dict[bytes, bytes] = field(default_factory=dict)
    work_of: Callable[[Arrival], float] | None = None
    make_calls: Callable[[Arrival], Calls] = _call_nothing


def handle_target(target: TargetStandIn, req: StreamRequest) -> None:
    """Serve one request or health probe."""
    if req.uri == b'/health':
        target.reactor.callLater(target.probe_s, _answer_probe, target, req)
        return
    arrival = Arrival(
        _header(req, b'X-Request-Id'),
        target.reactor.seconds(),
        _header(req, b'X-Caller-Service'),
        int(_header(req, b'X-Deadline-Ms') or '-1'),
        uri=req.uri,
        authorization=_header(req, b'Authorization'),
        account=_header(req, b'X-Tenant-Id'),
    )
    target.arrivals.append(arrival)
    expected = _header(req, b'X-Expected-Instance')
    if expected and expected != target.target_id:
        _refuse(target, req, arrival, 421)
    elif target.running >= target.slots:
        _refuse(target, req, arrival, 503)
    else:
        _run(target, req, arrival)


def _run(target: TargetStandIn, req: StreamRequest, arrival: Arrival) -> None:
    target.running += 1
    target.most_running = max(target.most_running, target.running)
    if req.body is not None:
        req.body.startProducing(_DiscardingConsumer())
    working = Deferred.fromCoroutine(_work(target, req, arrival))
    working.addErrback(lambda _cancelled: None)

    def on_disconnect(_failure: object) -> None:
        if not working.called:
            target.disconnected.append(arrival.request_id)
            working.cancel()

    req.notifyFinish().addErrback(on_disconnect)


async def _work(
    target: TargetStandIn, req: StreamRequest, arrival: Arrival
) -> None:
    """Make the calls of a request, work on it, and respond."""
    try:
        succeeded = await _all_succeed(target.make_calls(arrival))
        if succeeded:
            work_s = target.work_of(arrival) if target.work_of else None
            clock = cast(IReactorTime, target.reactor)
            await deferLater(clock, work_s or target.work_s)
    finally:
        target.running -= 1
    _respond(target, req, arrival.request_id, succeeded)


async def _all_succeed(calls: Calls) -> bool:
    outcomes = await DeferredList(calls, consumeErrors=True)
    return all(is_done and succeeded for is_done, succeeded in outcomes)


def _respond(
    target: TargetStandIn,
    req: StreamRequest,
    request_id: str,
    succeeded: bool,
) -> None:
    if target.fault == 'silent':
        return
    if target.fault == 'reset':
        req.abort()
        return
    headers = Headers(
        {
            b'X-Request-Id': [request_id.encode()],
            b'X-Server-Load': [b'%d,0,%d' % (target.running, target.slots)],
        },
    )
    for name, text in target.notices.items():
        headers.setRawHeaders(name, [text])
    if target.fault != 'unsealed':
        headers.setRawHeaders(b'X-Server-Seal', [b'seal'])
    status = 200 if succeeded and target.fault != 'error' else 500
    transport = req.channel.transport
    body = target.body or request_id.encode()
    sent_length = CUT_RESPONSES.get(target.fault)
    if sent_length is not None:
        _send_cut(req, headers, body, sent_length)
        return
    req.send_response(BufferedResponse(status, headers, body))
    if target.fault == 'extra':
        raw = EXTRA_RESPONSE % request_id.encode()
        target.reactor.callLater(EXTRA_RESPONSE_DELAY_S, transport.write, raw)


def _send_cut(
    req: StreamRequest,
    headers: Headers,
    body: bytes,
    sent_length: SentLength,
) -> None:
    """Send the beginning of a response and close the connection."""
    headers.setRawHeaders(b'Content-Length', [b'%d' % len(body)])
    fields = b''.join(
        b'%b: %b\r\n' % (name, text)
        for name, values in headers.getAllRawHeaders()
        for text in values
    )
    head = b'HTTP/1.1 200 OK\r\n%b\r\n' % fields
    raw = head + body
    transport = req.channel.transport
    transport.write(raw[: sent_length(len(head), len(body))])
    transport.loseConnection()


def _refuse(
    target: TargetStandIn,
    req: StreamRequest,
    arrival: Arrival,
    status: int,
) -> None:
    arrival.ran = False
    headers = Headers(
        {
            b'X-Not-Executed': [b'1'],
            b'X-Instance-Id': [target.target_id.encode()],
        },
    )
    req.send_response(BufferedResponse(status, headers, b''))


def _answer_probe(target: TargetStandIn, req: StreamRequest) -> None:
    cold_s = max(0, target.cold_until - target.reactor.seconds())
    headers = Headers(
        {
            b'X-Instance-Id': [target.target_id.encode()],
            b'X-Cold-Ms': [str(int(cold_s * MS_PER_SECOND)).encode()],
        },
    )
    req.send_response(BufferedResponse(200, headers, b''))


def _header(req: StreamRequest, name: bytes) -> str:
    raw = req.requestHeaders.getRawHeaders(name)
    return raw[0].decode() if raw else ''


class _DiscardingConsumer:
    def write(self, chunk: bytes) -> None:
        """Discard a chunk of a request body."""
