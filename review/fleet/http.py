"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, NamedTuple

__all__ = (
    'Address',
    'Connections',
    'Handler',
    'Message',
    'encode',
    'exchange',
    'respond',
    'serve',
)

Address = tuple[str, int]
BACKLOG: Final = 512
FIRST_FINAL_STATUS: Final = 200
# Longest line of a head that the stand-ins read.
MAX_LINE_BYTES: Final = 1_000_000


class Message(NamedTuple):
    """A request or a response.

    Attributes
    ----------
    words
        The three words of the first line.
    fields
        Headers by name in lower case.
    """

    words: list[str]
    fields: dict[str, str]
    body: bytes = b''

    def field(self, name: str) -> str:
        """Return the value of a header, empty if it is missing."""
        return self.fields.get(name, '')

    def status(self) -> int:
        """Return the status of a response."""
        return int(self.words[1])


Handler = Callable[[Message], Awaitable[bytes | None]]
Connections = set[asyncio.StreamWriter]


def encode(first: str, fields: Mapping[str, str], body: bytes = b'') -> bytes:
    """Return a message whose body has a length."""
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    head = f'{first}\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def respond(status: int, fields: Mapping[str, str], body: bytes = b'') -> bytes:
    """Return a response."""
    return encode(f'HTTP/1.1 {status} Status', fields, body)


async def serve(
    address: Address, handler: Handler, connections: Connections | None = None
) -> asyncio.Server:
    """Serve requests; a handler that returns None closes the connection."""
    opened = set() if connections is None else connections

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened.add(writer)
        try:
            await _serve_connection(reader, writer, handler)
        except (OSError, EOFError):
            writer.close()
        finally:
            opened.discard(writer)

    return await asyncio.start_server(
        on_connection, *address, backlog=BACKLOG, limit=MAX_LINE_BYTES
    )


async def exchange(
    address: Address, request: bytes, timeout_s: float
) -> Message | None:
    """Send a request on a new connection; None if no answer is complete."""
    try:
        return await asyncio.wait_for(_exchange(address, request), timeout_s)
    except (TimeoutError, OSError, EOFError):
        return None


async def _exchange(address: Address, request: bytes) -> Message | None:
    reader, writer = await asyncio.open_connection(
        *address, limit=MAX_LINE_BYTES
    )
    writer.write(request)
    try:
        return await _read_final(reader)
    finally:
        writer.close()


async def _read_final(reader: asyncio.StreamReader) -> Message | None:
    """Read a response, without those that come before the final one."""
    message = await _read_message(reader)
    while message and message.status() < FIRST_FINAL_STATUS:
        message = await _read_message(reader)  # noqa: WPS476
    return message


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> None:
    request = await _read_message(reader)
    while request is not None:
        response = await handler(request)  # noqa: WPS476
        if response is None:
            break
        writer.write(response)
        await writer.drain()  # noqa: WPS476
        request = await _read_message(reader)  # noqa: WPS476
    writer.close()


async def _read_message(reader: asyncio.StreamReader) -> Message | None:
    first = await reader.readline()
    if not first:
        return None
    fields: dict[str, str] = {}
    line = await reader.readline()
    while line.strip():
        name, _colon, text = line.decode('latin-1').partition(':')
        fields[name.strip().lower()] = text.strip()
        line = await reader.readline()  # noqa: WPS476
    length = int(fields.get('content-length', 0))
    body = await reader.readexactly(length)
    return Message(first.decode('latin-1').strip().split(' ', 2), fields, body)
