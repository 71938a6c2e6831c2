"""Read and write HTTP/1.1 messages with a plain stream."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

__all__ = (
    'Message',
    'encode_head',
    'encode_message',
    'read_message',
)

HEAD_END = b'\r\n\r\n'


class Message(NamedTuple):
    """A request or a response with its whole body.

    Attributes
    ----------
    first_line
        Request line or status line, without its line end.
    headers
        Values by header name in lower case.
    """

    first_line: str
    headers: Mapping[str, str]
    body: bytes


def encode_head(
    first_line: str, headers: Mapping[str, str], length: int
) -> bytes:
    """Encode the head of a message whose body has a length."""
    fields = {**headers, 'Content-Length': str(length)}
    lines = [f'{name}: {text}\r\n' for name, text in fields.items()]
    return f'{first_line}\r\n{"".join(lines)}\r\n'.encode('latin-1')


def encode_message(
    first_line: str, headers: Mapping[str, str], body: bytes = b''
) -> bytes:
    """Encode a message; its body is framed by Content-Length."""
    return encode_head(first_line, headers, len(body)) + body


async def read_message(
    reader: asyncio.StreamReader, *, has_body: bool = True
) -> Message | None:
    """Read a message; return None if the connection ends before its end."""
    try:
        return await _read_whole_message(reader, has_body=has_body)
    except (asyncio.IncompleteReadError, OSError):
        return None


async def _read_whole_message(
    reader: asyncio.StreamReader, *, has_body: bool
) -> Message:
    first_line, headers = _parse_head(await reader.readuntil(HEAD_END))
    body = b''
    if has_body:
        body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Message(first_line, headers, body)


def _parse_head(raw: bytes) -> tuple[str, dict[str, str]]:
    first_line, *lines = raw.decode('latin-1').strip().split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, _colon, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first_line, headers
