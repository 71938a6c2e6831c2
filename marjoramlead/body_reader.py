"""Collect a request body whole, so that it can be sent again."""

from typing import Final

from twisted.internet.defer import CancelledError

from marjoramlead.bodies import BodyStream, BufferedBody
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('collect_body',)

NO_LIMIT: Final = float('inf')


async def collect_body(
    body: BodyStream,
    limit: float = NO_LIMIT,
) -> BufferedBody | Refusal:
    """Wait for all of a body.

    Parameters
    ----------
    body
        That nobody has taken yet.
    limit
        Bytes that it may have; the rest of a larger one is dropped.
    """
    chunks = _Chunks(limit)
    try:
        await body.startProducing(chunks)
    except CancelledError:
        raise
    except Exception:  # whatever cut it, it is not whole
        return Refusal(Reason.BODY_CUT, Verdict.NOT_RUN, 0)
    if chunks.left < 0:
        return Refusal(Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, 0)
    return BufferedBody(b''.join(chunks.taken))


class _Chunks:
    def __init__(self, limit: float) -> None:
        self.taken: list[bytes] = []
        self.left = limit

    def write(self, chunk: bytes) -> None:
        """Take one chunk."""
        self.left -= len(chunk)
        if self.left >= 0:
            self.taken.append(chunk)
