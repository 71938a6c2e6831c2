"""A body that another node sends in parts, as this node grants them."""

from io import BytesIO
from typing import Final

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.bodies import BodyStream
from marjoramlead.body_grants import (
    FINAL_PART_BYTES,
    BodyGrants,
    add_body,
    grant_bytes,
    record_received,
    record_stall,
    remove_body,
)
from marjoramlead.clock import Clock, Timer
from marjoramlead.events import emit
from marjoramlead.http_server import StreamRequest
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('IncomingBody',)

# Time without a byte after which granted bytes no longer count against the
# window of the link; three times ``body_grants.MAX_BACKLOG_S``.
STALL_TIMEOUT_S: Final = 0.15
# Further time until the sender is considered unreachable. It allows for one
# lost packet, which TCP retransmits after 200 ms.
SENDER_TIMEOUT_S: Final = 0.35


class IncomingBody:
    """The body of one request, read from its arrival on.

    Attributes
    ----------
    length
        Length of the body in bytes.
    """

    def __init__(
        self,
        req: StreamRequest,
        stream: BodyStream,
        length: int,
        window: int,
        grants: BodyGrants,
        reactor: Clock,
    ) -> None:
        self.length = length
        self._window = window
        self._req = req
        self._grants = grants
        self._reactor = reactor
        self._content = BytesIO()
        self._received = 0
        self._awaited_bytes = 0
        self._granted = 0
        self._refusal: Refusal | None = None
        self._waiter: Deferred[None] | None = None
        self._timer: Timer | None = None
        self._number = id(self)
        finished = stream.startProducing(self)
        finished.addErrback(lambda _failure: self._fail())

    def write(self, chunk: bytes) -> None:
        """Keep a chunk that has arrived, unless the body has ended."""
        if self._refusal is not None:
            return
        self._received += len(chunk)
        if self._received > self.length:  # it came without a length
            self._fail()
            return
        self._content.write(chunk)
        record_received(self._grants, self._number, self._received)
        self._watch_sender()
        if self._received >= self._awaited_bytes:
            _wake(self)
        grant_bytes(self._grants)

    async def receive_ahead(self) -> bytes | Refusal:
        """Receive all but the final part, as the link allows.

        Returns
        -------
        Nothing of the body, which ``receive_end`` returns.
        """
        self._awaited_bytes = max(0, self.length - FINAL_PART_BYTES)

        def on_granted(end: int) -> None:
            self._granted = end
            self._req.send_continue(end)
            self._watch_sender()

        add_body(
            self._grants,
            self._number,
            self._awaited_bytes,
            self._window,
            on_granted,
        )
        try:
            grant_bytes(self._grants)
            await self._receive()
        finally:
            remove_body(self._grants, self._number)
            grant_bytes(self._grants)
        return self._refusal or b''

    async def receive_end(self) -> bytes | Refusal:
        """Ask the sender for the final part, and return the whole body."""
        self._awaited_bytes = self.length
        self._granted = self.length
        self._req.send_continue()
        await self._receive()
        if self._refusal is not None:
            return self._refusal
        body = self._content.getvalue()
        self._content = BytesIO()
        return body

    def discard(self) -> None:
        """Keep nothing of the body, which is not needed any more.

        The request keeps this object until its connection is closed.
        """
        self._cancel_timer()
        self._refusal = Refusal(Reason.CALLER_GONE, Verdict.NOT_RUN, 0)
        self._content = BytesIO()

    async def _receive(self) -> None:
        """Wait for the awaited bytes or a refusal."""
        self._watch_sender()
        if self._refusal is None and self._received < self._awaited_bytes:
            self._waiter = Deferred()
            try:
                await self._waiter
            except (CancelledError, GeneratorExit):
                self._waiter = None
                self._cancel_timer()
                raise

    def _watch_sender(self) -> None:
        self._cancel_timer()
        if self._received < self._granted and self._refusal is None:
            self._timer = self._reactor.callLater(
                STALL_TIMEOUT_S, self._on_stall
            )

    def _on_stall(self) -> None:
        """Release the window of a stalled body until its sender times out."""
        self._timer = self._reactor.callLater(SENDER_TIMEOUT_S, self._fail)
        record_stall(self._grants, self._number)
        grant_bytes(self._grants)

    def _fail(self) -> None:
        self.discard()
        if self._waiter is not None:
            emit(
                'body_lost',
                length=self.length,
                granted=self._granted,
                received=self._received,
            )
        _wake(self)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _wake(body: IncomingBody) -> None:
    waiter = body._waiter
    body._waiter = None
    if waiter is not None:
        waiter.callback(None)
