"""Decoding of bodies in chunks: contents, limits, and what is kept."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.http import _MalformedChunkedDataError

from marjoramlead.chunked_decoder import (
    MAX_SIZE_LINE_BYTES,
    MAX_TRAILER_BYTES,
    ChunkedDecoder,
)
from marjoramlead.http_server import make_site
from marjoramlead.read_pace import (
    CHUNKS_PER_S,
    FREE_CHUNKS,
    ReadPace,
    charge_chunks,
)

TAIL = b'GET / HTTP/1.1\r\n'


def decode(pieces):
    """Return the parts of a body and what follows it."""
    parts, ends = [], []
    decoder = ChunkedDecoder(parts.append, ends.append)
    for piece in pieces:
        decoder.dataReceived(piece)
    return parts, ends


@given(
    st.lists(st.binary(min_size=1, max_size=40)),
    st.sampled_from((b'', b';a=1', b';\t"\xe9"')),
    st.sampled_from((b'', b'A: b\r\nC: d\r\n')),
    st.integers(1, 12),
)
def test_body_is_decoded_wherever_it_is_split(chunks, extension, trailer, step):
    raw = b''.join(
        b'%x%s\r\n%s\r\n' % (len(chunk), extension, chunk) for chunk in chunks
    )
    raw += b'0\r\n%s\r\n' % trailer
    pieces = [raw[start : start + step] for start in range(0, len(raw), step)]
    parts, ends = decode([*pieces[:-1], pieces[-1] + TAIL])
    assert b''.join(parts) == b''.join(chunks)
    assert ends == [TAIL]


def test_small_chunks_of_one_piece_are_one_part():
    parts, ends = decode([b'1\r\nx\r\n' * 1000])
    assert parts == [b'x' * 1000]
    assert not ends


@pytest.mark.parametrize(
    'raw',
    [
        b'x\r\n',
        b'\r\n',
        b'-1\r\n',
        b'+1\r\na\r\n',
        b'1 \r\na\r\n',
        b'1;\x00\r\na\r\n',
        b'1\r\nab\r\n',
        b'1\r\na\n\r\n',
        b'1;%s' % (b'e' * MAX_SIZE_LINE_BYTES),
        b'0\r\n%s' % (b'A: b\r\n' * MAX_TRAILER_BYTES),
        b'0\r\n%s' % (b'A' * (MAX_TRAILER_BYTES + 1)),
    ],
)
def test_other_bytes_are_refused(raw):
    with pytest.raises(_MalformedChunkedDataError):
        decode([raw])
    with pytest.raises(_MalformedChunkedDataError):
        decode([raw[:2], raw[2:]])


def test_small_chunks_of_all_connections_are_paid_for_one_after_another():
    pace = ReadPace('chunks')
    assert charge_chunks(pace, FREE_CHUNKS, 5) is None
    first = charge_chunks(pace, 1000, 5)
    second = charge_chunks(pace, 1000, 5)
    assert first == pytest.approx(5 + 1000 / CHUNKS_PER_S)
    assert second == pytest.approx(first + 1000 / CHUNKS_PER_S)
    assert charge_chunks(pace, 1000, second + 1) > second + 1


def test_connection_is_not_read_until_its_small_chunks_are_paid_for():
    clock = Clock()
    site = make_site(lambda _req: None, clock)
    channel = site.buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    channel.dataReceived(
        b'PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'1\r\nx\r\n' * 1000
    )
    assert transport.producerState == 'paused'
    clock.advance(1000 / CHUNKS_PER_S)
    assert transport.producerState == 'producing'
