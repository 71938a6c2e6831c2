"""A request body on its way through a node, with back-pressure.

``twisted.web`` by itself holds a body in memory or in a file until it is
whole. A :class:`BodyStream` hands each chunk on as it comes, and stops
reading from the caller while nobody takes it.
"""

from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionAborted
from twisted.python.failure import Failure
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

__all__ = ('BodyStream', 'BufferedBody', 'Consumer', 'Pausable', 'RequestBody')


class Pausable(Protocol):
    """The part of a transport that a body needs."""

    def pauseProducing(self) -> None:
        """Stop reading from the peer."""

    def resumeProducing(self) -> None:
        """Go on reading from the peer."""


class Consumer(Protocol):
    """Whoever takes a body."""

    def write(self, chunk: bytes) -> None:
        """Take one chunk."""


@implementer(IBodyProducer)
class BodyStream:
    """A body whose chunks are handed on as they arrive.

    Attributes
    ----------
    length
        Bytes of the whole body, or ``UNKNOWN_LENGTH``.
    is_started
        Whether a consumer has begun to take it.
    """

    def __init__(self, transport: Pausable, length: int | None) -> None:
        self.length = UNKNOWN_LENGTH if length is None else length
        self.is_started = False
        self._transport = transport
        self._consumer: Consumer | None = None
        self._held: list[bytes] = []
        self._done: Deferred[None] = Deferred()
        self._is_whole = False
        self._is_paused = False

    def startProducing(self, consumer: Consumer) -> Deferred[None]:
        """Begin to hand chunks on; the result fires after the last one."""
        self.is_started = True
        self._consumer = consumer
        self.resumeProducing()
        return self._done

    def pauseProducing(self) -> None:
        """Stop: the consumer is full."""
        self._is_paused = True
        self._transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Hand on what is held, then read on."""
        self._is_paused = False
        held = self._held
        self._held = []
        for chunk in held:
            self._hand_on(chunk)
        if self._is_whole:
            self._end(None)
        elif not self._is_paused:
            self._transport.resumeProducing()

    def stopProducing(self) -> None:
        """Take no more; the rest of the body is dropped."""
        self._consumer = None
        self._held.clear()
        self._transport.resumeProducing()

    def feed_chunk(self, chunk: bytes) -> None:
        """Hand one chunk on, or hold it and stop reading."""
        if self.is_started and self._consumer is None:
            return
        if self._consumer is None or self._is_paused:
            self._held.append(chunk)
            self._transport.pauseProducing()
            return
        self._hand_on(chunk)

    def feed_eof(self) -> None:
        """Note that the last chunk has arrived."""
        self._is_whole = True
        if self._consumer is not None and not self._is_paused:
            self._end(None)

    def connection_lost(self) -> None:
        """Note that the caller is gone before the end."""
        if not self._is_whole:
            self._end(Failure(ConnectionAborted()))

    def _hand_on(self, chunk: bytes) -> None:
        if self._consumer is not None:
            self._consumer.write(chunk)

    def _end(self, failure: Failure | None) -> None:
        if self._done.called:
            return
        if failure is None:
            self._done.callback(None)
        elif self.is_started:
            self._done.errback(failure)


@implementer(IBodyProducer)
class BufferedBody:
    """A small body that was collected whole, and can be sent again."""

    def __init__(self, content: bytes) -> None:
        self.length = len(content)
        self.content = content

    def startProducing(self, consumer: Consumer) -> Deferred[None]:
        """Write all at once."""
        consumer.write(self.content)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:
        """Nothing is left to resume."""

    def stopProducing(self) -> None:
        """Nothing is left to stop."""


RequestBody = BodyStream | BufferedBody
