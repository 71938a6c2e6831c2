"""Collect a small request body whole, so that it can be sent again."""

from twisted.internet.defer import CancelledError

from marjoramlead.bodies import BodyStream, WholeBody
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('collect_body',)


async def collect_body(body: BodyStream) -> WholeBody | Refusal:
    """Wait for all of a body whose length is known and small."""
    chunks = _Chunks()
    try:
        await body.startProducing(chunks)
    except CancelledError:
        raise
    except Exception:  # whatever cut it, it is not whole
        return Refusal(Reason.BODY_CUT, Verdict.NOT_RUN, 0)
    return WholeBody(b''.join(chunks.taken))


class _Chunks:
    def __init__(self) -> None:
        self.taken: list[bytes] = []

    def write(self, chunk: bytes) -> None:
        """Take one chunk."""
        self.taken.append(chunk)
