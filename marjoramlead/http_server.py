"""HTTP towards callers and between nodes, on ``twisted.web``.

A request is handed to its handler as soon as its headers are there, and its
body follows as a stream. A handler may refuse before a byte of the body has
been read: the answer goes out at once, and the rest of the body is read and
dropped up to a bound, so that the caller gets to see the answer.
"""

from collections.abc import Callable
from io import BytesIO
from typing import Final, NamedTuple, Protocol, cast

from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, HTTPFactory, Request

from marjoramlead.bodies import BodyStream
from marjoramlead.clock import Clock, Timer
from marjoramlead.problems import Answer

__all__ = (
    'Handler',
    'HeadLimits',
    'StreamRequest',
    'StreamSite',
    'Transport',
    'make_site',
)

MAX_DISCARDED_BYTES: Final = 1_000_000
IDLE_TIMEOUT_S: Final = 75.0
EXPECT_HEADER: Final = b'Expect'


class Transport(Protocol):
    """The part of a transport that is used here."""

    def write(self, chunk: bytes) -> None:
        """Send bytes."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Go on reading."""

    def loseConnection(self) -> None:
        """Close once all is sent."""


class StreamRequest(Request):
    """A request whose body arrives as a stream.

    Attributes
    ----------
    body
        None where the request has none.
    is_disconnected
        Whether the caller has hung up.
    """

    channel: '_StreamChannel'

    def __init__(self, channel: '_StreamChannel', _queued: object) -> None:
        super().__init__(channel)
        self.body: BodyStream | None = None
        self.is_disconnected = False
        self._is_fully_received = False
        self._is_answered = False
        self._discarded_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Start the handler of a request that has a body."""
        self.content = BytesIO()
        if length == 0:
            return
        request_line = self.channel.read_request_line()
        self.method = request_line.method
        self.uri = request_line.uri
        self.clientproto = request_line.version
        self.body = BodyStream(self.channel.transport, length)
        self.channel.setTimeout(None)
        self.channel.handler(self)

    def handleContentChunk(self, chunk: bytes) -> None:
        """Pass one chunk of the body on."""
        if self.body is not None and not self._is_answered:
            self.body.feed_chunk(chunk)
            return
        self._discarded_bytes += len(chunk)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.channel.forceAbortClient()

    def requestReceived(
        self,
        command: bytes,
        path: bytes,
        version: bytes,
    ) -> None:
        """Start the handler of a request without body, or end the body."""
        self._is_fully_received = True
        self.clientproto = version
        if self.body is None:
            self.method = command
            self.uri = path
            self.channel.handler(self)
            return
        was_answered = self._is_answered
        self.body.feed_eof()
        if was_answered:
            self.finish()

    def connectionLost(self, reason: Failure) -> None:
        """Cut the body and tell whoever waits on ``notifyFinish``."""
        self.is_disconnected = True
        if self.body is not None:
            self.body.connection_lost()
        super().connectionLost(reason)

    def send_continue(self) -> None:
        """Ask a caller that waits for it to send the body."""
        expect = self.requestHeaders.getRawHeaders(EXPECT_HEADER)
        if self.body is not None and expect and not self._is_answered:
            self.channel.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def answer(self, answer: Answer) -> None:
        """Send a whole answer at once."""
        if self.is_disconnected or self._is_answered:
            return
        self.setResponseCode(answer.status)
        self.responseHeaders = answer.headers
        length = str(len(answer.body)).encode()
        self.responseHeaders.setRawHeaders(b'Content-Length', [length])
        if not self._is_fully_received:
            self.channel.persistent = False
            self.responseHeaders.setRawHeaders(b'Connection', [b'close'])
        self.write(answer.body)
        self.finish_answer()

    def finish_answer(self) -> None:
        """Finish now, or once the rest of the body has been read."""
        if self.is_disconnected or self._is_answered:
            return
        self._is_answered = True
        if self._is_fully_received:
            self.finish()
        elif self.requestHeaders.getRawHeaders(EXPECT_HEADER):
            self.channel.loseConnection()
        else:
            self.channel.transport.resumeProducing()

    def answer_and_close(self, answer: Answer) -> None:
        """Send a whole answer, the last one on its connection."""
        if not self.is_disconnected:
            self.channel.persistent = False
            answer.headers.setRawHeaders(b'Connection', [b'close'])
        self.answer(answer)

    def abort(self) -> None:
        """Hang up, so that the caller sees that its answer is cut."""
        if not self.is_disconnected:
            self.channel.forceAbortClient()


class HeadLimits(NamedTuple):
    """What a client may take until the headers of its request are there.

    Attributes
    ----------
    header_bytes
        Of all header lines together.
    header_s
        Seconds from the first byte of a request to the end of its headers.
    idle_s
        Seconds without a byte between two requests.
    """

    header_bytes: int = 16_384
    header_s: float = 75.0
    idle_s: float = IDLE_TIMEOUT_S


class _RequestLine(NamedTuple):
    method: bytes
    uri: bytes
    version: bytes


Handler = Callable[[StreamRequest], None]


class _StreamChannel(HTTPChannel):
    requestFactory = StreamRequest  # type: ignore[assignment]  # noqa: WPS115  # overrides
    handler: Handler
    site: 'StreamSite'
    transport: Transport  # type: ignore[assignment]  # what TCP has

    def __init__(self) -> None:
        super().__init__()
        self._header_timer: Timer | None = None

    def connectionMade(self) -> None:
        """Note that the connection is open."""
        self.timeOut = int(self.site.limits().idle_s)
        super().connectionMade()
        self.site.channels.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Note that the connection has ended."""
        self.site.channels.discard(self)
        self._cancel_header_timer()
        super().connectionLost(reason)

    def dataReceived(self, chunk: bytes) -> None:
        """Start the time for the headers with their first byte."""
        if self._header_timer is None and not self.requests:
            limits = self.site.limits()
            self.totalHeadersSize = limits.header_bytes
            self._header_timer = self.site.clock.callLater(
                limits.header_s,
                self.loseConnection,
            )
        super().dataReceived(chunk)

    def allHeadersReceived(self) -> None:
        """End the time for the headers."""
        self._cancel_header_timer()
        super().allHeadersReceived()

    def read_request_line(self) -> _RequestLine:
        """Read the start of a request whose body is still to come."""
        return _RequestLine(
            self._command,
            cast(bytes, self._path),
            cast(bytes, self._version),
        )

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None and self._header_timer.active():
            self._header_timer.cancel()
        self._header_timer = None

    def _send100Continue(self) -> None:  # overrides
        """Leave it to the handler: see ``send_continue``."""


def make_site(
    handler: Handler,
    reactor: Clock,
    limits: Callable[[], HeadLimits] = HeadLimits,
) -> 'StreamSite':
    """Build a server that gives each request to one handler."""
    return StreamSite(handler, reactor, limits)


class StreamSite(HTTPFactory):
    """A server that knows its connections."""

    def __init__(
        self,
        handler: Handler,
        reactor: Clock,
        limits: Callable[[], HeadLimits],
    ) -> None:
        super().__init__(
            timeout=IDLE_TIMEOUT_S,
            reactor=cast(IReactorTime, reactor),
        )
        self._handler = handler
        self.clock = reactor
        self.limits = limits
        self.channels: set[_StreamChannel] = set()
        self.protocol = self._build_channel  # type: ignore[method-assign, assignment]

    def log(self, request: Request) -> None:
        """Skip the access log; calls are counted instead."""

    def close_idle(self) -> None:
        """Close the connections on which no request is being served."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def _build_channel(self) -> _StreamChannel:
        channel = _StreamChannel()
        channel.handler = self._handler
        channel.site = self
        return channel
