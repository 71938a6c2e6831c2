"""Send large bodies in slices, so that no copy of them waits to be sent.

A transport copies what it is given into a buffer of its own until the operating
system accepts it. Of a large body it gets the next slice when it has sent all
before.
"""

from collections import deque
from typing import Final, Protocol

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

__all__ = ('SLICE_BYTES', 'BodySender', 'BodyTransport')

# Bytes that a transport is given at a time.
SLICE_BYTES: Final = 262_144


class BodyTransport(Protocol):
    """The methods of a transport that are used here."""

    def write(self, chunk: bytes | memoryview) -> None:
        """Queue bytes to be sent."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Ask a producer for bytes whenever all others are sent."""

    def unregisterProducer(self) -> None:
        """Ask the producer no more."""


@implementer(IPullProducer)
class BodySender:
    """The parts of one body that are not written to the transport yet."""

    def __init__(self, transport: BodyTransport) -> None:
        self._transport = transport
        self._parts: deque[memoryview] = deque()
        self._is_cut = False

    def is_idle(self) -> bool:
        """Return whether all parts are written."""
        return not self._parts

    def is_sent(self) -> bool:
        """Return whether the operating system has accepted all that was given.

        Call this before the next request is written.
        """
        unsent = len(getattr(self._transport, 'dataBuffer', b''))
        written = getattr(self._transport, '_tempDataLen', 0)
        offset = getattr(self._transport, 'offset', 0)
        return not (self._parts or self._is_cut or unsent + written > offset)

    def send(self, part: memoryview) -> None:
        """Write a part, now or after those before it."""
        is_idle = self.is_idle()
        if is_idle and len(part) <= SLICE_BYTES:
            self._transport.write(bytes(part))
            return
        self._parts.append(part)
        if is_idle:
            self._transport.registerProducer(self, streaming=False)

    def resumeProducing(self) -> None:
        """Write the next slice."""
        if not self._parts:
            return
        part = self._parts.popleft()
        if len(part) > SLICE_BYTES:
            self._parts.appendleft(part[SLICE_BYTES:])
        is_last = not self._parts
        self._transport.write(bytes(part[:SLICE_BYTES]))
        if is_last:
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Drop the parts that are not written."""
        if self._parts:
            self._is_cut = True
            self._parts.clear()
            self._transport.unregisterProducer()
