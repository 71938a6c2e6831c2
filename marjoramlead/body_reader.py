"""Collect a request body in memory, so that it can be sent more than once."""

from io import BytesIO
from typing import Final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from marjoramlead.bodies import BodyStalledError, BodyStream, BufferedBody
from marjoramlead.memory_budget import (
    Hold,
    body_charge,
    held_bytes,
    resize_body,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('REQUEST_BYTES', 'body_length', 'collect_body')

# Memory of a request in progress, without its body.
REQUEST_BYTES: Final = 4_096

UNLIMITED: Final = float('inf')


def body_length(body: BodyStream | None) -> int | None:
    """Return the length of a request's body; None if it is not known."""
    if body is None:
        return 0
    return body.length if isinstance(body.length, int) else None


async def collect_body(
    body: BodyStream,
    max_bytes: float = UNLIMITED,
    hold: Hold | None = None,
) -> BufferedBody | Refusal:
    """Read a body to its end.

    Parameters
    ----------
    body
        A body that has not been read yet.
    max_bytes
        Maximum length. A longer body is refused as soon as that is known.
    hold
        Memory of the body, which grows with it. Without it, the memory is
        accounted for elsewhere.
    """
    buffer = _BoundedBuffer(max_bytes, hold)
    finished = body.startProducing(buffer)
    finished.addCallbacks(
        lambda _finished: buffer.end(None),
        lambda failure: buffer.end(_refuse_part(failure)),
    )
    try:
        refusal = await buffer.ended
    except (CancelledError, GeneratorExit):
        body.stopProducing()  # the rest is read and discarded
        buffer.discard()
        raise
    if refusal is None:
        return BufferedBody(buffer.take())
    body.stopProducing()
    buffer.discard()
    return refusal


def _refuse_part(failure: Failure) -> Refusal:
    has_stalled = failure.check(BodyStalledError)
    reason = Reason.BODY_STALLED if has_stalled else Reason.BODY_CUT
    return Refusal(reason, Verdict.NOT_RUN, 0)


class _BoundedBuffer:
    """The bytes of a body that has not ended.

    They are one block, which the operating system extends without copying it
    and gets back at the end. The body may outlive its collection as long as its
    connection is open, and so keeps no bytes of its own.
    """

    def __init__(self, max_bytes: float, hold: Hold | None) -> None:
        self.ended: Deferred[Refusal | None] = Deferred()
        self._content = BytesIO()
        self._received = 0
        self._max_bytes = max_bytes
        self._hold = hold

    def write(self, chunk: bytes) -> None:
        """Keep a chunk, or refuse a body that is too large."""
        if self.ended.called:
            return
        charged = body_charge(self._received)
        self._received += len(chunk)
        added = body_charge(self._received) - charged
        hold = self._hold
        if self._received > self._max_bytes:
            self.end(Refusal(Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, 0))
        elif hold is None or resize_body(hold, held_bytes(hold) + added):
            self._content.write(chunk)
        else:
            self.end(Refusal(Reason.GATEWAY_FULL, Verdict.NOT_RUN))

    def take(self) -> bytes:
        """Return the whole body, without copying it, and keep nothing."""
        content = self._content.getvalue()
        self.discard()
        return content

    def discard(self) -> None:
        """Keep nothing of the body."""
        self._content = BytesIO()

    def end(self, refusal: Refusal | None) -> None:
        """End the body, unless it has ended."""
        if not self.ended.called:
            self.ended.callback(refusal)
