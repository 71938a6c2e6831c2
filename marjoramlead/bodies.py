"""Request bodies that a node forwards, with back-pressure.

``twisted.web`` by itself keeps a body in memory or in a file until it is
complete. A :class:`BodyStream` passes each chunk on as it arrives, and stops
reading from the caller while the consumer is paused. Without a consumer, it
keeps the first chunks and continues to read: while reading is paused, the close
of a connection is not detected.
"""

from typing import Final, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionAborted
from twisted.python.failure import Failure
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

__all__ = (
    'MAX_UNREAD_BYTES',
    'BodyStalledError',
    'BodyStream',
    'BufferedBody',
    'Consumer',
    'Pausable',
    'RequestBody',
)

# Bytes of a body without a consumer that are kept before reading stops. Larger
# bodies are sent when the caller is told to.
MAX_UNREAD_BYTES: Final = 65_536


class BodyStalledError(Exception):
    """The caller has stopped sending the body, but keeps its connection."""


class Pausable(Protocol):
    """The methods of a transport that a body uses."""

    def pauseProducing(self) -> None:
        """Stop reading from the peer."""

    def resumeProducing(self) -> None:
        """Resume reading from the peer."""


class Consumer(Protocol):
    """The destination of a body."""

    def write(self, chunk: bytes) -> None:
        """Receive one chunk."""


@implementer(IBodyProducer)
class BodyStream:
    """A body whose chunks are passed to a consumer as they arrive.

    Attributes
    ----------
    length
        Length of the body in bytes, or ``UNKNOWN_LENGTH``.
    is_started
        Whether a consumer has begun to read the body. It cannot be read a
        second time.
    unread
        Bytes that wait for a consumer.
    """

    def __init__(self, transport: Pausable, length: int | None) -> None:
        self.length = UNKNOWN_LENGTH if length is None else length
        self.is_started = False
        self._transport = transport
        self._consumer: Consumer | None = None
        self.unread = bytearray()
        self._finished: Deferred[None] = Deferred()
        self._is_complete = False
        self._is_paused = False
        self._failure: Exception | None = None

    def startProducing(self, consumer: Consumer) -> Deferred[None]:
        """Start writing; the result fires after the last chunk."""
        self.is_started = True
        self._consumer = consumer
        self.resumeProducing()
        if self._failure is not None:
            self._finish(Failure(self._failure))
        return self._finished

    def pauseProducing(self) -> None:
        """Stop writing and reading, as the consumer cannot accept more."""
        self._is_paused = True
        self._transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Write the pending chunks, then resume reading from the caller."""
        self._is_paused = False
        if self.unread:
            pending = bytes(self.unread)
            self.unread.clear()
            if self._consumer is not None:
                self._consumer.write(pending)
        if self._is_complete:
            self._transport.resumeProducing()
            self._finish(None)
        elif not self._is_paused:
            self._transport.resumeProducing()

    def stopProducing(self) -> None:
        """Detach the consumer; the rest of the body is read and discarded."""
        self._consumer = None
        self.unread.clear()
        self._transport.resumeProducing()

    def feed_chunk(self, chunk: bytes) -> None:
        """Write a chunk that has arrived, or keep it and stop reading."""
        if self.is_started and self._consumer is None:
            return
        if self._consumer is not None and not self._is_paused:
            self._consumer.write(chunk)
            return
        self.unread += chunk
        if not self.is_reading():
            self._transport.pauseProducing()

    def is_reading(self) -> bool:
        """Return whether more of the body may be read from the caller."""
        is_full = len(self.unread) > MAX_UNREAD_BYTES
        return not (self._is_paused or is_full)

    def feed_eof(self) -> None:
        """Record that the last chunk has arrived."""
        self._is_complete = True
        if self._consumer is not None and not self._is_paused:
            self._finish(None)

    def connection_lost(self, failure: Exception | None = None) -> None:
        """Fail the body unless it is complete, as the rest does not come.

        Parameters
        ----------
        failure
            Why; by default, because the caller has disconnected.
        """
        if not self._is_complete:
            self._failure = failure or ConnectionAborted()
            self._finish(Failure(self._failure))

    def _finish(self, failure: Failure | None) -> None:
        if self._finished.called:
            return
        if failure is None:
            self._finished.callback(None)
        elif self.is_started:
            self._finished.errback(failure)


@implementer(IBodyProducer)
class BufferedBody:
    """A complete body in memory, which can be sent more than once."""

    def __init__(self, content: bytes) -> None:
        self.length = len(content)
        self.content = content

    def startProducing(self, consumer: Consumer) -> Deferred[None]:
        """Write the whole body at once."""
        consumer.write(self.content)
        finished: Deferred[None] = Deferred()
        finished.callback(None)
        return finished

    def pauseProducing(self) -> None:
        """Do nothing, as the whole body has been written."""

    def resumeProducing(self) -> None:
        """Do nothing, as the whole body has been written."""

    def stopProducing(self) -> None:
        """Do nothing, as the whole body has been written."""


RequestBody = BodyStream | BufferedBody
