"""Exchange control frames with peers over ``pynng``.

Each exchange uses its own connection and timeout, so a peer that stops
responding fails only that exchange.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import pynng
from pynng import lib

from marjoramlead.counters import Counters
from marjoramlead.generated.frame_types import Frame
from marjoramlead.logs import config_log
from marjoramlead.wire import MAX_FRAME_BYTES, decode_frame, encode_frame

__all__ = ('ControlPort', 'limit_nng_threads')

EXCHANGE_TIMEOUT_MS: Final = 1500
SERVER_TASKS: Final = 4
MAX_OPEN_EXCHANGES: Final = 32
THREADS_PER_POOL: Final = 1

OnRequest = Callable[[Frame], Frame]


def limit_nng_threads() -> None:
    """Limit the thread pools of nng; call before opening the first socket."""
    for parameter in (
        lib.NNG_INIT_NUM_TASK_THREADS,
        lib.NNG_INIT_MAX_TASK_THREADS,
        lib.NNG_INIT_NUM_EXPIRE_THREADS,
        lib.NNG_INIT_MAX_EXPIRE_THREADS,
        lib.NNG_INIT_NUM_POLLER_THREADS,
        lib.NNG_INIT_MAX_POLLER_THREADS,
        lib.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        lib.nng_init_set_parameter(parameter, THREADS_PER_POOL)


class ControlPort:
    """A node's socket for control frames.

    Attributes
    ----------
    bytes_sent
        Total size of the frames sent, requests and replies.
    """

    def __init__(self, key: bytes, counters: Counters) -> None:
        self.bytes_sent = 0
        self._key = key
        self._counters = counters
        self._open_exchanges = 0
        self._server: pynng.Rep0 | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def listen(self, address: str, on_request: OnRequest) -> None:
        """Answer frames that arrive at ``address:port``."""
        server = pynng.Rep0(
            recv_max_size=MAX_FRAME_BYTES,
            send_timeout=EXCHANGE_TIMEOUT_MS,
        )
        server.listen(f'tcp://{address}')
        self._server = server
        self._tasks = [
            asyncio.ensure_future(self._serve(server, on_request))
            for _task in range(SERVER_TASKS)
        ]

    async def exchange(self, address: str, frame: Frame) -> Frame | None:
        """Send a frame and return the reply; None if there was none."""
        if self._open_exchanges >= MAX_OPEN_EXCHANGES:
            self._counters.add('peer.exchange_skipped')
            return None
        self._open_exchanges += 1
        try:
            raw = await self._send(address, encode_frame(frame, self._key))
        except pynng.NNGException as exc:
            config_log.debug('No reply from %s: %s.', address, exc)
            self._counters.add('peer.exchange_failed')
            return None
        finally:
            self._open_exchanges -= 1
        return self._decode(raw)

    def close(self) -> None:
        """Stop answering frames."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _send(self, address: str, raw: bytes) -> bytes:
        with pynng.Req0(
            send_timeout=EXCHANGE_TIMEOUT_MS,
            recv_timeout=EXCHANGE_TIMEOUT_MS,
            recv_max_size=MAX_FRAME_BYTES,
        ) as sock:
            sock.dial(f'tcp://{address}', block=False)
            await sock.asend(raw)
            self.bytes_sent += len(raw)
            return await sock.arecv()

    async def _serve(self, server: pynng.Rep0, on_request: OnRequest) -> None:
        with server.new_context() as context:
            while True:  # noqa: WPS457  # ends when the task is cancelled
                await self._handle_request(context, on_request)

    async def _handle_request(
        self,
        context: pynng.Context,
        on_request: OnRequest,
    ) -> None:
        try:
            frame = self._decode(await context.arecv())
        except pynng.Timeout:
            return
        if frame is None:
            return
        try:
            reply = on_request(frame)
        except Exception:
            config_log.exception(
                'Could not handle the frame from %s.',
                frame['host'],
            )
            self._counters.add('peer.bug')
            return
        raw = encode_frame(reply, self._key)
        try:
            await context.asend(raw)
        except pynng.NNGException:
            self._counters.add('peer.reply_failed')
            return
        self.bytes_sent += len(raw)

    def _decode(self, raw: bytes) -> Frame | None:
        decoded = decode_frame(raw, self._key)
        if decoded.is_ok():
            return decoded.ok
        self._counters.add('peer.bad_frame')
        return None
