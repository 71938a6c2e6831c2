"""Relay a response to the caller, so that truncation cannot go unnoticed.

A small response is buffered until it is complete. If it is truncated, the
caller has received nothing, and the request can still be refused or retried.
A larger response is streamed with back-pressure. If it is truncated, the
connection to the caller is aborted.
"""

from enum import StrEnum
from typing import Final, cast

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from marjoramlead.clock import Clock
from marjoramlead.headers import HOP_BY_HOP
from marjoramlead.http_client import Response
from marjoramlead.http_server import StreamRequest, Transport
from marjoramlead.problems import BufferedResponse

__all__ = ('RelayOutcome', 'end_to_end_headers', 'relay_response')

MAX_BUFFERED_BYTES: Final = 65_536


class RelayOutcome(StrEnum):
    """How much of a response was sent to the caller.

    Attributes
    ----------
    COMPLETE
        The whole response was sent to the caller.
    TRUNCATED_UNSENT
        The response was truncated before any of it was sent to the caller.
    TRUNCATED_SENT
        The response was truncated after a part of it was sent, and the
        connection to the caller was aborted.
    """

    COMPLETE = 'complete'
    TRUNCATED_UNSENT = 'truncated_unsent'
    TRUNCATED_SENT = 'truncated_sent'


def end_to_end_headers(fields: Headers) -> Headers:
    """Copy the headers that are not specific to one connection."""
    kept = Headers()
    for name, values in fields.getAllRawHeaders():
        if name.lower() not in HOP_BY_HOP:
            kept.setRawHeaders(name, values)
    return kept


async def relay_response(
    response: Response,
    req: StreamRequest,
    reactor: Clock,
    deadline: float,
) -> RelayOutcome:
    """Relay a response to the caller, truncating it at the deadline.

    Parameters
    ----------
    response
        A response whose body has not been read yet.
    req
        The caller's request.
    reactor
        Clock of the deadline.
    deadline
        Time by which the whole body must have arrived, in seconds on the
        clock.
    """
    body_relay = _BodyRelay(response, req)
    response.deliverBody(body_relay)
    remaining_s = max(0, deadline - reactor.seconds())
    timer = reactor.callLater(remaining_s, body_relay.stop)
    try:
        return await body_relay.done
    finally:
        if timer.active():
            timer.cancel()
        body_relay.stop()


class _BodyRelay(Protocol):
    def __init__(self, response: Response, req: StreamRequest) -> None:
        self.done: Deferred[RelayOutcome] = Deferred()
        self._response = response
        self._req = req
        self._buffered_chunks: list[bytes] = []
        self._received_bytes = 0
        self._is_streaming = False
        self._has_ended = False

    def dataReceived(self, chunk: bytes) -> None:
        """Buffer or stream one chunk."""
        self._received_bytes += len(chunk)
        if self._is_streaming:
            self._write_or_stop(chunk)
            return
        self._buffered_chunks.append(chunk)
        if self._received_bytes > MAX_BUFFERED_BYTES:
            self._start_streaming()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Finish the relay, or abort a stream that was truncated."""
        self._has_ended = True
        if self.done.called:
            return
        is_complete = reason.check(ResponseDone) is not None
        if self._is_streaming:
            self._finish_stream(is_complete)
        elif is_complete:
            self._send_buffered_response()
        else:
            self.done.callback(RelayOutcome.TRUNCATED_UNSENT)

    def stop(self) -> None:
        """Close the connection to the server unless the body has ended."""
        if not self._has_ended:
            cast(Transport, self.transport).loseConnection()

    def _send_buffered_response(self) -> None:
        fields = end_to_end_headers(self._response.headers)
        body = b''.join(self._buffered_chunks)
        self._req.send_response(
            BufferedResponse(self._response.code, fields, body)
        )
        self.done.callback(RelayOutcome.COMPLETE)

    def _start_streaming(self) -> None:
        self._is_streaming = True
        if self._req.is_disconnected:
            self.stop()
            return
        self._req.setResponseCode(self._response.code)
        fields = end_to_end_headers(self._response.headers)
        if isinstance(self._response.length, int):
            length = str(self._response.length).encode()
            fields.setRawHeaders(b'Content-Length', [length])
        self._req.responseHeaders = fields
        self._req.registerProducer(self.transport, streaming=True)
        self._write_or_stop(b''.join(self._buffered_chunks))
        self._buffered_chunks.clear()

    def _write_or_stop(self, chunk: bytes) -> None:
        if self._req.is_disconnected:
            self.stop()
        else:
            self._req.write(chunk)

    def _finish_stream(self, is_complete: bool) -> None:
        if not self._req.is_disconnected:
            self._req.unregisterProducer()
        if is_complete:
            self._req.finish_response()
            self.done.callback(RelayOutcome.COMPLETE)
        else:
            self._req.abort()
            self.done.callback(RelayOutcome.TRUNCATED_SENT)
