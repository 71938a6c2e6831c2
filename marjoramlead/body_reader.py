"""Collect a request body in memory, so that it can be sent more than once."""

from typing import Final

from twisted.internet.defer import CancelledError

from marjoramlead.bodies import BodyStream, BufferedBody
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('collect_body',)

UNLIMITED: Final = float('inf')


async def collect_body(
    body: BodyStream,
    max_bytes: float = UNLIMITED,
) -> BufferedBody | Refusal:
    """Read a body to its end.

    Parameters
    ----------
    body
        A body that has not been read yet.
    max_bytes
        Maximum length. The rest of a longer body is read and discarded, and
        the body is refused.
    """
    buffer = _BoundedBuffer(max_bytes)
    try:
        await body.startProducing(buffer)
    except CancelledError:
        raise
    except Exception:  # the body was truncated, whatever the cause
        return Refusal(Reason.BODY_CUT, Verdict.NOT_RUN, 0)
    if buffer.remaining_bytes < 0:
        return Refusal(Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, 0)
    return BufferedBody(b''.join(buffer.chunks))


class _BoundedBuffer:
    def __init__(self, max_bytes: float) -> None:
        self.chunks: list[bytes] = []
        self.remaining_bytes = max_bytes

    def write(self, chunk: bytes) -> None:
        """Keep a chunk unless it exceeds the maximum length."""
        self.remaining_bytes -= len(chunk)
        if self.remaining_bytes >= 0:
            self.chunks.append(chunk)
