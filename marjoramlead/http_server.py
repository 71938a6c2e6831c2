"""HTTP server for callers and other nodes, based on ``twisted.web``.

The handler of a request is called as soon as the headers have arrived, and the
body follows as a stream. A handler may refuse a request before its body has
been read. The response is then sent at once, and the rest of the body is read
and discarded. Closing the connection with the body unread could reset it before
the caller has received the response.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from io import BytesIO
from typing import Final, NamedTuple, Protocol, cast

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IReactorTime
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import (
    NO_BODY_CODES,
    HTTPChannel,
    HTTPFactory,
    Request,
    _ChunkedTransferDecoder,
)
from twisted.web.http_headers import Headers

from marjoramlead.answer_progress import (
    AnswerProgress,
    judge_reading,
    mark_slow_answers,
)
from marjoramlead.bodies import MAX_UNREAD_BYTES, BodyStalledError, BodyStream
from marjoramlead.body_progress import (
    BodyProgress,
    has_stalled,
    is_quiet,
    start_window,
)
from marjoramlead.chunked_decoder import ChunkedDecoder
from marjoramlead.client_limits import (
    CLIENT_PORT_SHARE,
    DEFAULT_LIMITS,
    ProcessLimits,
)
from marjoramlead.clock import Clock, Timer
from marjoramlead.connection_timers import (
    IDLE_TIMEOUT_S,
    ConnectionTimers,
    HeadLimits,
)
from marjoramlead.direct_writes import (
    discard_unsent,
    unsent_bytes,
    write_now,
)
from marjoramlead.events import emit
from marjoramlead.eviction import OpenBody, choose_bodies
from marjoramlead.headers import BODY_GRANTED
from marjoramlead.memory_budget import (
    Hold,
    MemoryBudget,
    open_hold,
    release,
    resize,
    set_read,
    unlimited_budget,
)
from marjoramlead.problems import BufferedResponse
from marjoramlead.read_pace import (
    ReadPace,
    charge_chunks,
    charge_discarded,
    charge_request,
)

__all__ = (
    'UNSENT_BODY_TIMEOUT_S',
    'ClientState',
    'Handler',
    'HeadLimits',
    'StreamRequest',
    'StreamSite',
    'Transport',
    'expects_continue',
    'make_site',
)

# Bytes of a refused body that are read and discarded; more than a body that is
# within the limits of any routing table.
MAX_DISCARDED_BYTES: Final = 100_000_000
# Time without a byte after which the connection of a refused body is closed, if
# the caller expects "100 Continue" and may therefore never send the body.
UNSENT_BODY_TIMEOUT_S: Final = 1.0
# Time for the first request of a connection that is new when its site closes.
FIRST_REQUEST_WAIT_S: Final = 0.2
# Memory of a connection without a request.
CONNECTION_BYTES: Final = 4_096
# Parts of later requests, as they were read, that are kept one by one.
MAX_UNPARSED_PARTS: Final = 16
# Bytes of heads that are parsed at a time; taking a line copies the rest.
HEAD_PART_BYTES: Final = 4_096
# More digits than any length has; Python refuses to convert thousands.
MAX_LENGTH_DIGITS: Final = 18
# Headers of an ordinary request, whose memory is counted with the request, and
# memory of each further one.
ORDINARY_HEADERS: Final = 24
HEADER_BYTES: Final = 300
# Minimum time between two rankings of the bodies that may be evicted.
EVICTION_INTERVAL_S: Final = 0.1
EXPECT_HEADER: Final = b'Expect'
HEAD_TIMEOUT_RESPONSE: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)
NO_MEMORY_RESPONSE: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Connection: close\r\n'
    b'Retry-After: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class Transport(Protocol):
    """The parts of a transport that are used here.

    Attributes
    ----------
    disconnecting
        Whether the connection is being closed.
    """

    disconnecting: bool

    def write(self, chunk: bytes) -> None:
        """Send bytes."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Resume reading."""

    def loseConnection(self) -> None:
        """Close the connection once all written bytes are sent."""


class StreamRequest(Request):
    """A request whose body arrives as a stream.

    Attributes
    ----------
    body
        The body, or None if the request has none.
    is_disconnected
        Whether the connection to the caller is closed.
    """

    channel: '_StreamChannel'

    def __init__(self, channel: '_StreamChannel', _queued: object) -> None:
        super().__init__(channel)
        self.body: BodyStream | None = None
        self.is_disconnected = False
        self._is_fully_received = False
        self._is_response_finished = False
        self._discarded_bytes = 0
        self._is_body_requested = True
        self._progress: BodyProgress | None = None

    def gotLength(self, length: int | None) -> None:
        """Call the handler if the request has a body."""
        self.content = BytesIO()
        if length == 0:
            return
        request_line = self.channel.read_request_line()
        self.method = request_line.method
        self.uri = request_line.uri
        self.clientproto = request_line.version
        self.body = BodyStream(self.channel.transport, length)
        self._is_body_requested = not expects_continue(self)
        now = self.channel.site.clock.seconds()
        self._progress = BodyProgress(0, 0, now, now, now, since=now)
        limits = self.channel.site.clients.limits
        start_window(self._progress, now, limits.body_window_s)
        self.channel.handler(self)

    def handleContentChunk(self, chunk: bytes) -> None:
        """Pass a chunk to the body, or discard it after the response."""
        if self._progress is not None:
            self._progress.received += len(chunk)
        if self.body is not None and not self._is_response_finished:
            self.body.feed_chunk(chunk)
            return
        self._discarded_bytes += len(chunk)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.channel.loseConnection()
        else:
            self.channel.charge_discarded(len(chunk))

    def requestReceived(
        self,
        command: bytes,
        path: bytes,
        version: bytes,
    ) -> None:
        """Call the handler of a request without a body, or end the body."""
        self._is_fully_received = True
        self._progress = None
        self.clientproto = version
        if self.body is None:
            self.method = command
            self.uri = path
            self.channel.handler(self)
            return
        was_response_finished = self._is_response_finished
        self.body.feed_eof()
        if was_response_finished:
            self.finish()

    def connectionLost(self, reason: Failure) -> None:
        """Fail the body and the deferreds from ``notifyFinish``."""
        self.is_disconnected = True
        if self.body is not None:
            self.body.connection_lost()
        super().connectionLost(reason)

    def end_if_stalled(self, now: float) -> None:
        """Refuse a body that its sender has stopped sending, and close."""
        progress = self._progress
        if progress is None or self.body is None:
            return
        is_wanted = self._is_response_finished or (
            self.body.is_reading() and self._is_body_requested
        )
        if not is_wanted:
            progress.since = now
        clients = self.channel.site.clients
        has_ended = has_stalled(
            progress,
            clients.limits.min_body_bytes_per_s,
            now,
            is_awaited=is_wanted and self.channel.is_reading(),
            window_s=clients.limits.body_window_s,
        )
        if has_ended:
            self.end_body('stalled')
        elif now >= progress.discard_until:
            self.end_body('refused')

    def open_body(
        self, number: int, host_shares: Mapping[str, float]
    ) -> OpenBody | None:
        """Describe the body if it has not arrived whole.

        Parameters
        ----------
        number
            Identifies the body.
        host_shares
            Shares of the port's connections that hosts have.
        """
        progress = self._progress
        if progress is None:
            return None
        host = self.channel.peer_host()
        return OpenBody(
            number,
            host,
            host_shares[host],
            progress.since,
            progress.received,
            is_quiet(progress),
            self._is_response_finished,
        )

    def is_open(self) -> bool:
        """Return whether a part of the body is still to come."""
        return self._progress is not None

    def is_discarding(self) -> bool:
        """Return whether the rest of a refused body is read."""
        return self._is_response_finished and not self._is_fully_received

    def end_body(self, reason: str) -> None:
        """Refuse a body of which no more is awaited, and close.

        Parameters
        ----------
        reason
            Why, for the log: ``stalled``, ``refused`` or ``port_full``.
        """
        progress = self._progress
        if progress is None or self.body is None:
            return
        emit(
            'body_ended',
            reason=reason,
            length=self.body.length,
            received=progress.received,
        )
        clients = self.channel.site.clients
        clients.ended_bodies[reason] += 1
        self._progress = None
        self.body.connection_lost(BodyStalledError())
        self.channel.timeoutConnection()

    def send_continue(self, granted: int | None = None) -> None:
        """Send "100 Continue" if the caller expects it before the body.

        Parameters
        ----------
        granted
            Bytes of the body that may be sent so far; None for all of it. Only
            other nodes understand such a limit.
        """
        if not expects_continue(self) or self._is_response_finished:
            return
        if granted is None:
            self._is_body_requested = True
        limit = (
            b''
            if granted is None
            else b'%s: %d\r\n'
            % (
                BODY_GRANTED,
                granted,
            )
        )
        write_now(
            self.channel.transport, b'HTTP/1.1 100 Continue\r\n%s\r\n' % limit
        )

    def send_response(self, response: BufferedResponse) -> None:
        """Send a complete response."""
        if self.begin_response(response):
            self.write(response.body)
            self.end_response(response)

    def begin_response(self, response: BufferedResponse) -> bool:
        """Set the head of a response, which is sent with its first bytes.

        Returns
        -------
        False if the response cannot be sent, because the caller has left or
        another response was sent.
        """
        if self.is_disconnected or self._is_response_finished:
            return False
        self.setResponseCode(response.status)
        self.responseHeaders = response.headers
        length = str(len(response.body)).encode()
        self.responseHeaders.setRawHeaders(b'Content-Length', [length])
        if self.channel.is_ending() or not self._is_fully_received:
            self.channel.persistent = False
            self.responseHeaders.setRawHeaders(b'Connection', [b'close'])
        has_body = bool(response.body) and self.method != b'HEAD'
        self.channel.joins_head = has_body and (
            response.status not in NO_BODY_CODES
        )
        return True

    def end_response(self, response: BufferedResponse) -> None:
        """Finish a response whose body is written whole."""
        if not self.is_disconnected:
            self.channel.keep_until_sent(response.hold)
        self.finish_response()

    def has_unsent_bytes(self) -> bool:
        """Return whether the transport has bytes that it has not sent."""
        return not self.is_disconnected and self.channel.has_unsent_bytes()

    def finish_response(self) -> None:
        """Finish the response; the request ends once its body has been read."""
        if self.is_disconnected or self._is_response_finished:
            return
        self._is_response_finished = True
        if self._is_fully_received:
            self.finish()
            return
        self._limit_discarding()
        timeout_s = self.channel.site.limits().idle_s
        if expects_continue(self):
            timeout_s = min(timeout_s, UNSENT_BODY_TIMEOUT_S)
        self.channel.setTimeout(timeout_s)
        self.channel.transport.resumeProducing()

    def send_response_and_close(self, response: BufferedResponse) -> None:
        """Send a complete response and close the connection.

        A request that has been read behind this one is answered first.
        """
        self.close_after(response)
        self.send_response(response)

    def close_after(self, response: BufferedResponse) -> None:
        """Close the connection after a response that is yet to be sent."""
        if not (self.is_disconnected or self.channel.has_next_request()):
            self.channel.persistent = False
            response.headers.setRawHeaders(b'Connection', [b'close'])

    def abort(self) -> None:
        """Abort the connection, so that the caller detects the truncation."""
        if not self.is_disconnected:
            self.channel.forceAbortClient()

    def _limit_discarding(self) -> None:
        if self._progress is not None:
            now = self.channel.site.clock.seconds()
            clients = self.channel.site.clients
            self._progress.since = now
            self._progress.discard_until = now + clients.limits.discard_s


def expects_continue(req: StreamRequest) -> bool:
    """Return whether the caller sends the body only when told to."""
    expect = req.requestHeaders.getRawHeaders(EXPECT_HEADER)
    return req.body is not None and bool(expect)


class _RequestLine(NamedTuple):
    method: bytes
    uri: bytes
    version: bytes


Handler = Callable[[StreamRequest], None]


def _ignore_request(_req: StreamRequest) -> None:
    """Do nothing: the request was refused as its head arrived."""


class _StreamChannel(HTTPChannel):
    """A connection of a client.

    Attributes
    ----------
    is_used
        Whether it has carried a request.
    hold
        Memory of the connection and of bytes that are not parsed yet.
    joins_head
        Whether the next head is sent with the bytes behind it.
    """

    requestFactory = StreamRequest  # type: ignore[assignment]  # noqa: WPS115  # overrides
    handler: Handler
    site: 'StreamSite'
    timers: ConnectionTimers
    hold: Hold
    transport: Transport  # type: ignore[assignment]  # always TCP
    # Bytes of later requests that are kept before reading stops. While it is
    # stopped, the close of the connection is not detected.
    _optimisticEagerReadSize = MAX_UNREAD_BYTES  # noqa: WPS115  # overrides

    def __init__(self) -> None:
        super().__init__()
        self.is_used = False
        self._peer: IAddress | None = None
        self._host: IAddress | None = None
        self.joins_head = False
        self._head = b''
        self._unsent: list[Hold] = []
        self._written = 0
        self._answers = AnswerProgress()
        self._read_timer: Timer | None = None
        self._read_at: float = 0
        self._throttle_timer: Timer | None = None
        self._ahead = b''
        self._head_bytes = 0

    def connectionMade(self) -> None:
        """Register the connection and start its keep-alive timeout.

        A connection for which the node has no memory is closed.
        """
        self.timeOut = None
        super().connectionMade()
        self.site.channels.add(self)
        if self.site.admits_connection() and self._has_memory():
            self.start_idle_period()
        else:
            self._count_refused()
            self.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection and cancel its timers."""
        self.timers.cancel()
        for timer in (self._read_timer, self._throttle_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._release_answers()
        release(self.hold)
        super().connectionLost(reason)
        self._head = b''
        self._buffer = b''
        self._ahead = b''
        self._dataBuffer = []
        discard_unsent(self.transport)
        self.site.remove_channel(self)

    def dataReceived(self, chunk: bytes) -> None:
        """Start the timeout of a head that has not arrived whole."""
        if not self.requests:
            self.totalHeadersSize = self.site.limits().header_bytes
        self._ahead += chunk
        self._parse_ahead()
        if len(self._dataBuffer) > MAX_UNPARSED_PARTS:
            self._dataBuffer = [b''.join(self._dataBuffer)]
        if not self._hold_unparsed():
            self._stop_reading()
        if self._has_part_of_head():
            self.timers.start_head()

    def rawDataReceived(self, chunk: bytes) -> None:
        """Decode a part of a body; read on later if it was in small chunks."""
        decoder = self._transferDecoder
        super().rawDataReceived(chunk)
        if not isinstance(decoder, ChunkedDecoder):
            return
        now = self.site.clock.seconds()
        clients = self.site.clients
        read_at = charge_chunks(
            clients.pace, decoder.read_chunks, now, clients.limits.chunks_per_s
        )
        if read_at is not None and self._transferDecoder is decoder:
            self._pause_until(read_at)

    def resumeProducing(self) -> None:
        """Release the responses that the operating system has accepted."""
        self._release_answers()
        super().resumeProducing()

    def getPeer(self) -> IAddress:
        """Return the address of the caller, which each request asks for."""
        if self._peer is None:
            self._peer = super().getPeer()
        return self._peer

    def peer_host(self) -> str:
        """Return the address of the client's host; empty if there is none."""
        return str(getattr(self.getPeer(), 'host', ''))

    def charge_discarded(self, size: int) -> None:
        """Count bytes of a refused body; read on later if they are many."""
        clients = self.site.clients
        read_at = charge_discarded(
            clients.discarded,
            size,
            clients.limits.discarded_bytes_per_s,
            self.site.clock.seconds(),
        )
        if read_at is not None:
            self._pause_until(read_at)

    def getHost(self) -> IAddress:
        """Return the own address, for which Twisted asks the system."""
        if self._host is None:
            self._host = super().getHost()
        return self._host

    def writeHeaders(
        self, version: bytes, code: bytes, reason: bytes, headers: Headers
    ) -> None:
        """Send the head of a response, with its body if that is next."""
        fields = b''.join(
            [
                b'%b: %b\r\n' % (name, raw)
                for name, values in headers.getAllRawHeaders()
                for raw in values
            ]
        )
        head = b'%b %b %b\r\n%b\r\n' % (version, code, reason, fields)
        if self.joins_head:
            self.joins_head = False
            self._head = head
        else:
            write_now(self.transport, head)

    def write(self, data: bytes) -> None:
        """Send a part of a response."""
        head = self._head
        self._head = b''
        self._written += len(head) + len(data)
        write_now(self.transport, head + data)

    def keep_until_sent(self, hold: Hold | None) -> None:
        """Hold the memory of a response that is written but not sent."""
        if hold is not None and self.has_unsent_bytes():
            self._unsent.append(hold)

    def release_sent(self) -> None:
        """Release the responses if the operating system has accepted all."""
        if not self.has_unsent_bytes():
            self._release_answers()

    def allHeadersReceived(self) -> None:
        """Cancel the timeout of the head and the keep-alive timeout."""
        self.is_used = True
        self.site.idle.pop(self, None)
        self.timers.cancel()
        self._head_bytes = self._extra_head_bytes()
        if not self._hold_unparsed():
            self.handler = _ignore_request
            self._refuse_for_memory()
        super().allHeadersReceived()

    def requestDone(self, request: Request) -> None:
        """Start the keep-alive timeout, unless another request has begun.

        A site that is closing closes the connection instead.
        """
        self._head_bytes = 0
        if self.is_ending():
            self.persistent = False
        self._ahead = b''.join([*self._dataBuffer, self._ahead])
        self._dataBuffer = []
        if self.persistent and (self._ahead.strip() or self._buffer.strip()):
            self._throttle_next_request()
        super().requestDone(request)
        if self.persistent:
            self._await_next_request()

    def start_idle_period(self) -> None:
        """Start the keep-alive timeout."""
        self.site.idle[self] = None
        self.timers.start_idle_period()

    def is_between_requests(self) -> bool:
        """Return whether no request is in progress or delayed."""
        return not (self.requests or self.paused)

    def is_reading(self) -> bool:
        """Return whether no pace keeps the connection waiting."""
        return self._read_timer is None or not self._read_timer.active()

    def read_request_line(self) -> _RequestLine:
        """Return the request line of a request whose body is yet to arrive."""
        return _RequestLine(
            self._command,
            cast(bytes, self._path),
            cast(bytes, self._version),
        )

    def is_ending(self) -> bool:
        """Return whether the connection closes after the present response."""
        return self.site.is_closing and not self.has_next_request()

    def has_next_request(self) -> bool:
        """Return whether a part of a later request has been read."""
        parts = (*self._dataBuffer, self._buffer, self._ahead)
        return any(part.strip() for part in parts)

    def has_unsent_bytes(self) -> bool:
        """Return whether the transport has bytes that it has not sent.

        Twisted tells its producer only of more than 64 KB.
        """
        unsent = len(getattr(self.transport, 'dataBuffer', b''))
        written = getattr(self.transport, '_tempDataLen', 0)
        return bool(self._waitingForTransport or unsent or written)

    def judge_reading(self, now: float) -> None:
        """Let the answers of a client that reads slowly give way."""
        unsent = unsent_bytes(self.transport)
        limits = self.site.clients.limits
        self._answers.sent = self._written - unsent
        judge_reading(
            self._answers,
            unsent,
            limits.kept_answer_bytes_per_s,
            limits.answer_window_s,
            now,
        )
        mark_slow_answers(self._answers, self._unsent, self._end_answer)

    def refuse_slow_head(self) -> None:
        """Tell the caller that its request was not read, and close."""
        if not self.transport.disconnecting:
            self.transport.write(HEAD_TIMEOUT_RESPONSE)
            self.loseConnection()

    def _maybeChooseTransferDecoder(self, name: bytes, raw: bytes) -> bool:
        """Refuse a length that no body has; replace the decoder of chunks."""
        if name == b'Content-Length' and len(raw) > MAX_LENGTH_DIGITS:
            return self._failChooseTransferDecoder()
        is_valid: bool = super()._maybeChooseTransferDecoder(name, raw)
        if isinstance(self._transferDecoder, _ChunkedTransferDecoder):
            self._transferDecoder = ChunkedDecoder(
                self.requests[-1].handleContentChunk, self._finishRequestBody
            )
        return is_valid

    def _parse_ahead(self) -> None:
        """Parse what has been read, up to the end of a request."""
        has_more = not self.paused
        while has_more:
            size = HEAD_PART_BYTES if self.line_mode else len(self._ahead)
            part = self._ahead[:size]
            self._ahead = self._ahead[size:]
            HTTPChannel.dataReceived(self, part)
            is_stopped = self.paused or self.transport.disconnecting
            has_more = bool(self._ahead) and not is_stopped

    def _throttle_next_request(self) -> None:
        """Delay the next pipelined request if the port has had too many."""
        clients = self.site.clients
        now = self.site.clock.seconds()
        read_at = charge_request(
            clients.ahead, clients.limits.requests_ahead_per_s, now
        )
        if read_at is not None:
            self.paused = True
            self._throttle_timer = self.site.clock.callLater(
                read_at - now, self._resume_parsing
            )

    def _await_next_request(self) -> None:
        """Go on with what has been read, or start the keep-alive timeout."""
        if self.paused:
            self.transport.pauseProducing()
        elif self._ahead and not self._busyReceiving:
            self.dataReceived(b'')
        elif not self._has_part_of_head():
            self.start_idle_period()

    def _resume_parsing(self) -> None:
        if self.transport.disconnecting:
            return
        self.paused = False
        if not self._waitingForTransport:
            self.transport.resumeProducing()
        self.dataReceived(b'')

    def _pause_until(self, read_at: float) -> None:
        """Do not read a body until a time, or the later one of two."""
        self._read_at = max(self._read_at, read_at)
        self.transport.pauseProducing()
        if self.is_reading():
            wait_s = max(0, self._read_at - self.site.clock.seconds())
            self._read_timer = self.site.clock.callLater(wait_s, self._read_on)

    def _read_on(self) -> None:
        """Resume reading, unless the body waits for its consumer."""
        if self._read_at > self.site.clock.seconds():
            self._pause_until(self._read_at)
            return
        req = self.requests[0] if self.requests else None
        body = req.body if req else None
        is_discarding = req is not None and req.is_discarding()
        if body is None or is_discarding or body.is_reading():
            self.transport.resumeProducing()

    def _hold_unparsed(self) -> bool:
        """Hold the memory of heads and of what follows; return if it fits."""
        head_bytes = max(self._head_bytes, self._extra_head_bytes())
        return resize(
            self.hold, CONNECTION_BYTES + head_bytes + self._unparsed_bytes()
        )

    def _extra_head_bytes(self) -> int:
        """Return what a head takes beyond an ordinary one, as it is parsed."""
        extra = max(0, self._receivedHeaderCount - ORDINARY_HEADERS)
        return extra * HEADER_BYTES

    def _unparsed_bytes(self) -> int:
        """Return the size of what has been read and not been taken."""
        parts = (*self._dataBuffer, self._buffer, self._ahead)
        return self._unread_bytes() + sum(map(len, parts))

    def _unread_bytes(self) -> int:
        body = self.requests[0].body if self.requests else None
        return len(body.unread) if body else 0

    def _release_answers(self) -> None:
        for hold in self._unsent:
            set_read(hold)
        self._unsent.clear()

    def _end_answer(self) -> None:
        emit('answer_ended', sent=self._answers.sent)
        self.site.clients.ended_answers += 1
        self.forceAbortClient()

    def _count_refused(self) -> None:
        emit('connection_refused')
        self.site.clients.refused_connections += 1

    def _stop_reading(self) -> None:
        """Refuse a head that does not fit, or wait with the next requests.

        A connection whose body nobody reads yet is aborted.
        """
        if self.transport.disconnecting:
            return
        if self._unread_bytes():
            self._count_refused()
            self.forceAbortClient()
        elif self.requests and not self.line_mode:
            self.transport.pauseProducing()
        else:
            self._refuse_for_memory()

    def _refuse_for_memory(self) -> None:
        if not self.transport.disconnecting:
            self.transport.write(NO_MEMORY_RESPONSE)
            self.loseConnection()

    def _has_memory(self) -> bool:
        """Take memory for the connection, if need be of an idle one."""
        if resize(self.hold, CONNECTION_BYTES):
            return True
        has_closed = self.site.close_oldest_idle()
        return has_closed and resize(self.hold, CONNECTION_BYTES)

    def _has_part_of_head(self) -> bool:
        """Return whether a head has begun; empty lines ahead do not count."""
        has_begun = self._buffer.strip() or self._ahead.strip()
        return bool(self.requests or has_begun) and bool(self.line_mode)

    def _send100Continue(self) -> None:  # overrides
        """Send nothing; the handler calls ``StreamRequest.send_continue``."""


def make_site(
    handler: Handler,
    reactor: Clock,
    limits: Callable[[], HeadLimits] = HeadLimits,
    budget: MemoryBudget | None = None,
) -> 'StreamSite':
    """Build a server that calls one handler with each request.

    Parameters
    ----------
    handler
        Called with each request once its headers have arrived.
    reactor
        Clock of the timeouts.
    limits
        Returns the limits in force; called as they are applied.
    budget
        Memory for connections and for what is read ahead; unlimited by default.
    """
    return StreamSite(handler, reactor, limits, budget or unlimited_budget())


@dataclass(slots=True)
class ClientState:
    """Limits on the clients of a port, and how often they ended something.

    Attributes
    ----------
    socket_share
        Share of all sockets that the connections to this port may have.
    pace
        When the small chunks of all connections have been paid for.
    ahead
        The same for requests that are sent ahead of answers.
    discarded
        The same for the bytes of refused bodies.
    ended_bodies
        Number of bodies that were ended, by reason.
    ended_answers
        Number of connections that were ended as their answers were read slowly.
    """

    limits: ProcessLimits = DEFAULT_LIMITS
    socket_share: float = CLIENT_PORT_SHARE
    pace: ReadPace = field(default_factory=lambda: ReadPace('chunks'))
    ahead: ReadPace = field(default_factory=lambda: ReadPace('requests'))
    discarded: ReadPace = field(default_factory=lambda: ReadPace('refused'))
    ended_bodies: Counter[str] = field(default_factory=Counter)
    ended_answers: int = 0
    refused_connections: int = 0
    closed_idle: int = 0


class StreamSite(HTTPFactory):
    """An HTTP server that keeps track of its open connections.

    Attributes
    ----------
    clock
        Clock of the timeouts.
    limits
        Returns the limits in force.
    channels
        Open connections.
    is_closing
        Whether connections are closed after their next response.
    idle
        Connections without a request, the one that is idle for longest first.
    clients
        Limits on clients, and what they have ended.
    """

    def __init__(
        self,
        handler: Handler,
        reactor: Clock,
        limits: Callable[[], HeadLimits],
        budget: MemoryBudget,
    ) -> None:
        super().__init__(
            timeout=IDLE_TIMEOUT_S,
            reactor=cast(IReactorTime, reactor),
        )
        self._handler = handler
        self.clock = reactor
        self.limits = limits
        self._budget = budget
        self.channels: set[_StreamChannel] = set()
        self.is_closing = False
        self.idle: dict[_StreamChannel, None] = {}
        self.clients = ClientState()
        self._evictable: list[StreamRequest] = []
        self._rank_again_at: float = 0
        self._all_closed: Deferred[None] = Deferred()
        self.protocol = self._build_channel  # type: ignore[method-assign, assignment]

    def log(self, request: Request) -> None:
        """Write no access log; requests are counted instead."""

    def close_idle(self) -> None:
        """Close the connections that are kept for further requests.

        A new connection stays open, because its first request is on its way.
        """
        for channel in list(self.channels):
            if channel.is_used and channel.is_between_requests():
                channel.loseConnection()

    def close(self) -> Deferred[None]:
        """Close all connections once their responses have been sent.

        Responses are sent when the operating system has accepted all bytes. New
        connections have a short time for their first request.

        Returns
        -------
        Fires once all connections are closed.
        """
        self.is_closing = True
        self.close_idle()
        self.clock.callLater(FIRST_REQUEST_WAIT_S, self._close_unused)
        if not self.channels and not self._all_closed.called:
            self._all_closed.callback(None)
        return self._all_closed

    def release_sent(self) -> None:
        """Release the memory of responses that have been sent."""
        for channel in self.channels:
            channel.release_sent()

    def end_stalled_bodies(self) -> None:
        """Refuse bodies whose senders have stopped, and find slow readers.

        Call this several times a second.
        """
        now = self.clock.seconds()
        self._evictable.clear()
        for channel in list(self.channels):
            channel.judge_reading(now)
            for req in list(channel.requests):
                req.end_if_stalled(now)

    def admits_connection(self) -> bool:
        """Return whether one more connection fits, in place of an idle one."""
        clients = self.clients
        limit = clients.limits.max_sockets * clients.socket_share
        is_full = len(self.channels) > limit
        return not is_full or self.close_oldest_idle() or self._evict_body()

    def close_oldest_idle(self) -> bool:
        """Close the connection that is idle for longest, if there is one."""
        idle = (each for each in self.idle if not each.has_unsent_bytes())
        channel = next(idle, None)
        if channel is None:
            return False
        emit('idle_closed', is_used=channel.is_used)
        self.clients.closed_idle += 1
        self.remove_channel(channel)
        release(channel.hold)
        channel.loseConnection()
        return True

    def remove_channel(self, channel: '_StreamChannel') -> None:
        """Remove a connection that is closed."""
        self.channels.discard(channel)
        self.idle.pop(channel, None)
        is_last = self.is_closing and not self.channels
        if is_last and not self._all_closed.called:
            self._all_closed.callback(None)

    def _evict_body(self) -> bool:
        """End a body in favour of a new connection, if one may be ended."""
        now = self.clock.seconds()
        if now >= self._rank_again_at:
            self._rank_again_at = now + EVICTION_INTERVAL_S
            self._evictable = self._choose_bodies(now)
        while self._evictable:
            req = self._evictable.pop()
            if req.is_open():
                req.end_body('port_full')
                return True
        return False

    def _choose_bodies(self, now: float) -> list[StreamRequest]:
        """Return the requests whose bodies may be ended, the first one last."""
        hosts = Counter(channel.peer_host() for channel in self.channels)
        shares = {
            host: count / len(self.channels) for host, count in hosts.items()
        }
        reqs = [req for channel in self.channels for req in channel.requests]
        bodies = (
            req.open_body(number, shares) for number, req in enumerate(reqs)
        )
        chosen = choose_bodies(
            (body for body in bodies if body is not None),
            self.clients.limits.kept_body_bytes_per_s,
            now,
        )
        return [reqs[number] for number in chosen]

    def _close_unused(self) -> None:
        for channel in list(self.channels):
            if channel.is_between_requests():
                channel.loseConnection()

    def _build_channel(self) -> _StreamChannel:
        channel = _StreamChannel()
        channel.handler = self._handler
        channel.site = self
        channel.hold = open_hold(self._budget)
        channel.timers = ConnectionTimers(
            self.clock,
            self.limits,
            channel.timeoutConnection,
            channel.refuse_slow_head,
        )
        return channel
