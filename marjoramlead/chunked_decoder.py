"""Decode bodies in chunks, in memory and time bounded by their bytes.

Twisted's decoder passes on each chunk by itself. A body in chunks of one byte
then takes fifty times its length in objects. This decoder passes on what one
read has brought as one piece, and keeps an incomplete line only.
"""

import re
from collections.abc import Callable
from typing import Final

from twisted.web.http import _MalformedChunkedDataError

__all__ = ('MAX_SIZE_LINE_BYTES', 'MAX_TRAILER_BYTES', 'ChunkedDecoder')

MAX_SIZE_LINE_BYTES: Final = 1_024
# Trailers are read and discarded; as long as a head may be by default.
MAX_TRAILER_BYTES: Final = 16_384
CRLF: Final = b'\r\n'
# Length and extensions of a chunk. Eighty bits are more than any length.
SIZE_LINE: Final = re.compile(
    rb'([0-9A-Fa-f]{1,20})(?:;[\t !-~\x80-\xff]*)?\r\n'
)


class ChunkedDecoder:
    """Decoder of one body, with the interface of Twisted's decoders.

    Attributes
    ----------
    read_chunks
        Number of chunks that have begun in the last piece of data.

    Parameters
    ----------
    on_data
        Called with the bytes of the body, once for each piece of data.
    on_end
        Called once, with the bytes that follow the body.
    """

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[bytes], None],
    ) -> None:
        self.read_chunks = 0
        self._on_data = on_data
        self._on_end = on_end
        self._incomplete = b''
        # Bytes of the present chunk that are still to come, with its CRLF;
        # None ahead of a chunk.
        self._left: int | None = None
        self._is_in_trailer = False
        self._trailer_bytes = 0
        self._has_ended = False

    def dataReceived(self, received: bytes) -> None:
        """Decode a piece of data.

        Raises
        ------
        _MalformedChunkedDataError
            If it is not a body in chunks, or exceeds the limits.
        """
        raw = self._incomplete + received
        parts: list[bytes] = []
        self.read_chunks = 0
        start = self._read_chunks(raw, parts)
        if self._is_in_trailer:
            start = self._read_trailer(raw, start)
        self._incomplete = b'' if self._has_ended else raw[start:]
        if parts:
            self._on_data(b''.join(parts))
        if self._has_ended:
            self._on_end(raw[start:])

    def _read_chunks(self, raw: bytes, parts: list[bytes]) -> int:
        """Append the bytes of all chunks; return the end of what is read."""
        start = 0
        while not self._is_in_trailer:
            if self._left is None:
                line = SIZE_LINE.match(raw, start, start + MAX_SIZE_LINE_BYTES)
                if line is None:
                    _check_size_line(raw, start)
                    return start
                start = line.end()
                self._begin_chunk(int(line[1], 16))
            elif start + self._left > len(raw):
                return self._read_part(raw, start, parts)
            else:
                end = start + self._left
                parts.append(_check_chunk(raw[start:end]))
                start = end
                self._left = None
        return start

    def _begin_chunk(self, length: int) -> None:
        self.read_chunks += 1
        self._is_in_trailer = not length
        self._left = length + len(CRLF)

    def _read_part(self, raw: bytes, start: int, parts: list[bytes]) -> int:
        """Append what has arrived of a chunk; leave its CRLF to be checked."""
        left = self._left or 0
        part = raw[start : start + left - len(CRLF)]
        parts.append(part)
        self._left = left - len(part)
        return start + len(part)

    def _read_trailer(self, raw: bytes, start: int) -> int:
        while True:
            end = raw.find(CRLF, start)
            line_end = len(raw) if end < 0 else end
            length = line_end - start
            if self._trailer_bytes + length > MAX_TRAILER_BYTES:
                raise _MalformedChunkedDataError('the trailer is too long')
            if end < 0:
                return start
            self._trailer_bytes += length
            start = end + len(CRLF)
            if not length:
                self._has_ended = True
                return start


def _check_chunk(chunk: bytes) -> bytes:
    """Return a chunk without its CRLF."""
    if not chunk.endswith(CRLF):
        raise _MalformedChunkedDataError('no CRLF after a chunk')
    return chunk[: -len(CRLF)]


def _check_size_line(raw: bytes, start: int) -> None:
    """Raise an error unless the rest may be the begin of a size line."""
    rest = raw[start : start + MAX_SIZE_LINE_BYTES]
    is_whole = CRLF in rest or len(rest) == MAX_SIZE_LINE_BYTES
    if is_whole:
        raise _MalformedChunkedDataError('invalid line before a chunk')
