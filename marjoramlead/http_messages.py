"""Encode request heads, and parse responses with ``httptools`` (llhttp).

The parser refuses what could be understood in two ways: several lengths, a
length beside an encoding, folded lines, line ends without CR, control
characters. What it lets pass and this protocol does not is refused here.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final, NamedTuple

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpResponseParser,
)

from marjoramlead.headers import parse_integer

__all__ = (
    'HeaderList',
    'InterimResponse',
    'MalformedMessageError',
    'MalformedResponse',
    'ParsedHeaders',
    'ParsedResponse',
    'ResponseHead',
    'ResponseParser',
    'discard_parser',
    'encode_request_head',
    'end_at_close',
    'feed',
    'header_value',
    'new_response_parser',
)

HeaderList = Sequence[tuple[bytes, bytes]]

MAX_HEAD_BYTES: Final = 65_536
VERSIONS: Final = frozenset(('1.0', '1.1'))
FIRST_BYTE: Final = b'H'
TRANSFER_ENCODING: Final = b'transfer-encoding'
CHUNKED: Final = b'chunked'
LINE_END: Final = b'\r\n'
# Others are no status codes (RFC 9110, section 15).
STATUS_CODES: Final = range(100, 600)
# Responses without a body, whatever their headers say.
BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
FRAMING_HEADERS: Final = frozenset((b'content-length', TRANSFER_ENCODING))
TOKEN: Final = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+"
FIELD: Final = rb'%b: (?:[!-\xff](?:[ \t]*[!-\xff])*+)?\r\n'
REQUEST_HEAD: Final = re.compile(
    rb'%b [!-~]+ HTTP/1\.1\r\n(?:%b)*+\r\n' % (TOKEN, FIELD % TOKEN)
)


class ParsedHeaders(list[tuple[bytes, bytes]]):
    """Headers of a response, with the first value of each name.

    They are not changed once they are complete.

    Attributes
    ----------
    first
        First values by name in lower case.
    """

    def __init__(self, fields: HeaderList = ()) -> None:
        super().__init__(fields)
        self.first: dict[bytes, bytes] = {}
        for name, raw in fields:
            self.first.setdefault(name.lower(), raw)


class MalformedMessageError(Exception):
    """A request that cannot be sent, because its head would be malformed."""


class InterimResponse(NamedTuple):
    """A response that another one follows."""

    status: int
    headers: HeaderList


class ResponseHead(NamedTuple):
    """The head of a response with a body of a known length."""

    length: int


class ParsedResponse(NamedTuple):
    """A complete response.

    Attributes
    ----------
    is_last
        Whether the server closes the connection after it.
    has_rest
        Whether more bytes have arrived behind it.
    """

    status: int
    headers: HeaderList
    body: bytes
    is_last: bool
    has_rest: bool


class MalformedResponse(NamedTuple):
    """Bytes that are no response, or one that is ambiguous."""


Event = InterimResponse | ResponseHead | ParsedResponse | MalformedResponse


@dataclass(slots=True)
class ResponseParser:
    """State of the responses on one connection.

    Attributes
    ----------
    is_for_head
        Whether the responses are to a HEAD request, and have no bodies.
    events
        What has been parsed and not been returned.
    head_bytes
        Bytes received since the end of the last message or head.
    """

    library: 'HttpResponseParser' = field(init=False)
    is_for_head: bool = False
    events: list[Event] = field(default_factory=list)
    headers: ParsedHeaders = field(default_factory=ParsedHeaders)
    chunks: list[bytes] = field(default_factory=list)
    has_head: bool = False
    has_begun: bool = False
    head_bytes: int = 0

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.has_begun = True
        self.has_head = False
        self.headers = ParsedHeaders()
        self.chunks = []

    def on_header(self, name: bytes, raw: bytes) -> None:
        """Add a header; trailers behind a body are dropped."""
        if not self.has_head:
            stripped = raw.rstrip(b' \t')
            self.headers.append((name, stripped))
            self.headers.first.setdefault(name.lower(), stripped)

    def on_headers_complete(self) -> None:
        """Note the head, or end a response without a body."""
        self.has_head = True
        self.head_bytes = 0
        status = self.library.get_status_code()
        if status not in STATUS_CODES or (
            self.library.get_http_version() not in VERSIONS
        ):
            raise MalformedMessageError
        length = _body_length(self.headers)
        if self.is_for_head and status >= HTTPStatus.OK:
            self._end(is_last=not self.library.should_keep_alive())
        elif length is not None and status not in BODILESS:
            self.events.append(ResponseHead(length))

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """End a response."""
        if self.library.get_status_code() >= HTTPStatus.OK:
            self._end(is_last=not self.library.should_keep_alive())
            return
        self.has_begun = False
        self.events.append(
            InterimResponse(self.library.get_status_code(), self.headers)
        )

    def _end(self, *, is_last: bool) -> None:
        self.has_begun = False
        self.head_bytes = 0
        body = b''.join(self.chunks)
        self.chunks = []
        self.events.append(
            ParsedResponse(
                self.library.get_status_code(),
                self.headers,
                body,
                is_last,
                has_rest=True,
            )
        )


def new_response_parser(*, is_for_head: bool = False) -> ResponseParser:
    """Return a parser of the responses on a connection."""
    parser = ResponseParser(is_for_head=is_for_head)
    parser.library = HttpResponseParser(parser)
    return parser


def discard_parser(parser: ResponseParser) -> None:
    """Free what a parser has kept; it is not used any more.

    It and the library refer to each other, so it would be kept until garbage is
    collected.
    """
    parser.chunks = []
    parser.events = []
    parser.library = HttpResponseParser(None)


def feed(parser: ResponseParser, chunk: bytes) -> list[Event]:
    """Parse received bytes, and return what is complete.

    The last byte is parsed by itself: a response that is complete before it has
    bytes behind it. Nothing may be fed after a malformed response.
    """
    events: list[Event] = []
    parser.events = events
    is_garbled = not (parser.has_begun or chunk.startswith(FIRST_BYTE))
    parser.head_bytes += len(chunk)
    try:
        _parse(parser, chunk)
    except (HttpParserError, HttpParserUpgrade):
        is_garbled = True
    is_unfinished = parser.has_begun and not parser.has_head
    if is_unfinished and parser.head_bytes > MAX_HEAD_BYTES:
        is_garbled = True
    if is_garbled:
        events.append(MalformedResponse())
    parser.events = []
    return events


def _parse(parser: ResponseParser, chunk: bytes) -> None:
    if len(chunk) > 1:
        parser.library.feed_data(memoryview(chunk)[:-1])
    known = len(parser.events)
    parser.library.feed_data(chunk[-1:])
    if len(parser.events) > known:
        last = parser.events[-1]
        if isinstance(last, ParsedResponse):
            parser.events[-1] = last._replace(has_rest=False)


def end_at_close(parser: ResponseParser) -> ParsedResponse | None:
    """Return the response that ends with the connection, if one does."""
    is_delimited = not FRAMING_HEADERS.isdisjoint(parser.headers.first)
    if not (parser.has_begun and parser.has_head) or is_delimited:
        return None
    status = parser.library.get_status_code()
    return ParsedResponse(
        status, parser.headers, b''.join(parser.chunks), True, has_rest=False
    )


def encode_request_head(
    method: bytes, uri: bytes, headers: HeaderList, added: HeaderList
) -> bytes:
    """Encode the head of a request.

    Parameters
    ----------
    method
        Method.
    uri
        Target of the request.
    headers
        Headers, one of them ``Host``, without those that frame the body.
    added
        Headers behind them that frame the body.

    Raises
    ------
    MalformedMessageError
        If a part has a character that it must not have, or if there is not
        one ``Host``.
    """
    names = [name.lower() for name, _raw in headers]
    if names.count(b'host') != 1 or not FRAMING_HEADERS.isdisjoint(names):
        raise MalformedMessageError
    host = headers[names.index(b'host')]
    others = [each for each in headers if each is not host]
    fields = [host, *others, *added]
    lines = b''.join([b'%b: %b\r\n' % each for each in fields])
    head = b'%b %b HTTP/1.1\r\n%b\r\n' % (method, uri, lines)
    is_one_line_each = head.count(LINE_END) == len(fields) + 2
    if not is_one_line_each or REQUEST_HEAD.fullmatch(head) is None:
        raise MalformedMessageError
    return head


def header_value(headers: HeaderList, name: bytes) -> str:
    """Return the first value of a header, or an empty string.

    Parameters
    ----------
    headers
        Headers to search.
    name
        Name of the header in lower case.
    """
    if isinstance(headers, ParsedHeaders):
        return headers.first.get(name, b'').decode('latin-1')
    for header_name, raw in headers:
        if header_name.lower() == name:
            return raw.decode('latin-1')
    return ''


def _body_length(headers: ParsedHeaders) -> int | None:
    """Return the length of the body, if it is known.

    Raises
    ------
    MalformedMessageError
        If the body has an encoding that is not known.
    """
    if TRANSFER_ENCODING in headers.first and any(
        raw.lower() != CHUNKED
        for name, raw in headers
        if name.lower() == TRANSFER_ENCODING
    ):
        raise MalformedMessageError
    length = headers.first.get(b'content-length')
    return None if length is None else parse_integer(length.decode('latin-1'))
