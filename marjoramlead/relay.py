"""Pass an answer on to the caller, whole or visibly cut.

Small answers are collected before the caller sees any of them, so that one
that is cut can still become a refusal or another attempt. Larger ones are
streamed with back-pressure; if one is cut, so is the caller's connection.
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
from marjoramlead.problems import Answer

__all__ = ('RelayOutcome', 'end_to_end_headers', 'relay_response')

MAX_BUFFERED_BYTES: Final = 65_536


class RelayOutcome(StrEnum):
    """How the answer reached the caller."""

    COMPLETE = 'complete'
    TRUNCATED_UNSENT = 'truncated_unsent'
    TRUNCATED_SENT = 'truncated_sent'


def end_to_end_headers(fields: Headers) -> Headers:
    """Copy the headers that are meant for the other end."""
    passed = Headers()
    for name, raw in fields.getAllRawHeaders():
        if name.lower() not in HOP_BY_HOP:
            passed.setRawHeaders(name, raw)
    return passed


async def relay_response(
    response: Response,
    req: StreamRequest,
    reactor: Clock,
    deadline: float,
) -> RelayOutcome:
    """Pass a response on; one that is late is cut.

    Parameters
    ----------
    response
        Whose body has not been taken yet.
    req
        The caller's request.
    reactor
        Clock of the deadline.
    deadline
        When to give up, in seconds.
    """
    taker = _BodyTaker(response, req)
    response.deliverBody(taker)
    left = max(0, deadline - reactor.seconds())
    timer = reactor.callLater(left, taker.give_up)
    try:
        return await taker.ended
    finally:
        if timer.active():
            timer.cancel()
        taker.give_up()


class _BodyTaker(Protocol):
    def __init__(self, response: Response, req: StreamRequest) -> None:
        self.ended: Deferred[RelayOutcome] = Deferred()
        self._response = response
        self._req = req
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_streaming = False
        self._is_over = False

    def dataReceived(self, chunk: bytes) -> None:
        """Collect or stream one chunk."""
        self._size += len(chunk)
        if self._is_streaming:
            self._write(chunk)
            return
        self._chunks.append(chunk)
        if self._size > MAX_BUFFERED_BYTES:
            self._start_streaming()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the caller's answer as the target's ended."""
        self._is_over = True
        if self.ended.called:
            return
        is_whole = reason.check(ResponseDone) is not None
        if self._is_streaming:
            self._end_stream(is_whole)
        elif is_whole:
            self._answer()
        else:
            self.ended.callback(RelayOutcome.TRUNCATED_UNSENT)

    def give_up(self) -> None:
        """Stop waiting for the rest."""
        if not self._is_over:
            cast(Transport, self.transport).loseConnection()

    def _answer(self) -> None:
        fields = end_to_end_headers(self._response.headers)
        body = b''.join(self._chunks)
        self._req.answer(Answer(self._response.code, fields, body))
        self.ended.callback(RelayOutcome.COMPLETE)

    def _start_streaming(self) -> None:
        self._is_streaming = True
        if self._req.is_disconnected:
            self.give_up()
            return
        self._req.setResponseCode(self._response.code)
        fields = end_to_end_headers(self._response.headers)
        if isinstance(self._response.length, int):
            length = str(self._response.length).encode()
            fields.setRawHeaders(b'Content-Length', [length])
        self._req.responseHeaders = fields
        self._req.registerProducer(self.transport, streaming=True)
        self._write(b''.join(self._chunks))
        self._chunks.clear()

    def _write(self, chunk: bytes) -> None:
        if self._req.is_disconnected:
            self.give_up()
        else:
            self._req.write(chunk)

    def _end_stream(self, is_whole: bool) -> None:
        if not self._req.is_disconnected:
            self._req.unregisterProducer()
        if is_whole:
            self._req.finish_answer()
            self.ended.callback(RelayOutcome.COMPLETE)
        else:
            self._req.abort()
            self.ended.callback(RelayOutcome.TRUNCATED_SENT)
