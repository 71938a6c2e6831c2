"""Exchange control frames with peers over ``pynng``.

Each exchange has a connection and a deadline of its own, so one that went
silent costs that exchange and no later one.
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

EXCHANGE_LIMIT_MS: Final = 1500
SERVING: Final = 4
MAX_EXCHANGES: Final = 32
LIBRARY_THREADS: Final = 1

OnRequest = Callable[[Frame], Frame]


def limit_nng_threads() -> None:
    """Cap the threads of the library; call before the first socket."""
    for parameter in (
        lib.NNG_INIT_NUM_TASK_THREADS,
        lib.NNG_INIT_MAX_TASK_THREADS,
        lib.NNG_INIT_NUM_EXPIRE_THREADS,
        lib.NNG_INIT_MAX_EXPIRE_THREADS,
        lib.NNG_INIT_NUM_POLLER_THREADS,
        lib.NNG_INIT_MAX_POLLER_THREADS,
        lib.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        lib.nng_init_set_parameter(parameter, LIBRARY_THREADS)


class ControlPort:
    """A node's socket for control frames.

    Attributes
    ----------
    bytes_sent
        Bytes of frames sent, requests and replies.
    """

    def __init__(self, key: bytes, counters: Counters) -> None:
        self.bytes_sent = 0
        self._key = key
        self._counters = counters
        self._exchanges = 0
        self._server: pynng.Rep0 | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def listen(self, address: str, on_request: OnRequest) -> None:
        """Answer frames that arrive at ``address:port``."""
        server = pynng.Rep0(
            recv_max_size=MAX_FRAME_BYTES,
            send_timeout=EXCHANGE_LIMIT_MS,
        )
        server.listen(f'tcp://{address}')
        self._server = server
        self._tasks = [
            asyncio.ensure_future(self._serve(server, on_request))
            for _worker in range(SERVING)
        ]

    async def exchange(self, address: str, frame: Frame) -> Frame | None:
        """Send a frame and wait for the reply; None if there was none."""
        if self._exchanges >= MAX_EXCHANGES:
            self._counters.add('peer.exchange_skipped')
            return None
        self._exchanges += 1
        try:
            raw = await self._send(address, encode_frame(frame, self._key))
        except pynng.NNGException as exc:
            config_log.debug('No reply from %s: %s.', address, exc)
            self._counters.add('peer.exchange_failed')
            return None
        finally:
            self._exchanges -= 1
        return self._read(raw)

    def close(self) -> None:
        """Stop to answer."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _send(self, address: str, raw: bytes) -> bytes:
        with pynng.Req0(
            send_timeout=EXCHANGE_LIMIT_MS,
            recv_timeout=EXCHANGE_LIMIT_MS,
            recv_max_size=MAX_FRAME_BYTES,
        ) as sock:
            sock.dial(f'tcp://{address}', block=False)
            await sock.asend(raw)
            self.bytes_sent += len(raw)
            return await sock.arecv()

    async def _serve(self, server: pynng.Rep0, on_request: OnRequest) -> None:
        with server.new_context() as context:
            while True:  # noqa: WPS457  # ends when the task is cancelled
                await self._serve_one(context, on_request)

    async def _serve_one(
        self,
        context: pynng.Context,
        on_request: OnRequest,
    ) -> None:
        try:
            frame = self._read(await context.arecv())
        except pynng.Timeout:
            return
        if frame is None:
            return
        try:
            reply = on_request(frame)
        except Exception:
            config_log.exception('Frame of %s not served.', frame['host'])
            self._counters.add('peer.bug')
            return
        raw = encode_frame(reply, self._key)
        try:
            await context.asend(raw)
        except pynng.NNGException:
            self._counters.add('peer.reply_failed')
            return
        self.bytes_sent += len(raw)

    def _read(self, raw: bytes) -> Frame | None:
        decoded = decode_frame(raw, self._key)
        if decoded.is_ok():
            return decoded.ok
        self._counters.add('peer.bad_frame')
        return None
