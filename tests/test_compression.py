"""Compressed documents, and readers that do not ask for them."""

import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from marjoramlead.compression import compress, decompress
from marjoramlead.feeds import (
    FeedQuery,
    decode_feed,
    encode_feed_query,
)
from marjoramlead.revisions import NO_REVISION
from marjoramlead.upstream import (
    ConnectionPool,
    OutgoingRequest,
    header_value,
    send,
)
from tests.platform_mesh import INBOUND, config, ready_mesh, route

MAX_BYTES = 1_000_000
ROUTES = [route(f'r{number}', 'safe', 'web') for number in range(300)]


@given(st.binary())
def test_document_is_restored(document):
    assert decompress(compress(document), MAX_BYTES).ok == document


@given(st.binary(max_size=40))
def test_other_bytes_are_refused_or_complete(raw):
    result = decompress(raw, MAX_BYTES)
    restored = zlib.decompressobj().decompress
    assert result.is_error() or result.ok == restored(raw)


@pytest.mark.parametrize('kept', [0, 1, 20, -1])
def test_truncated_document_is_refused(kept):
    compressed = compress(bytes(range(256)) * 10)
    assert decompress(compressed[:kept], MAX_BYTES).is_error()


def test_document_that_expands_beyond_the_maximum_is_refused():
    assert decompress(compress(b'x' * 1000), 1000).is_ok()
    assert decompress(compress(b'x' * 1001), 1000).is_error()
    assert decompress(compress(b'x' * 1001), 0).is_error()


def read_records(headers):
    """Read all records of a node; return the response and the table."""
    mesh = ready_mesh('web')
    mesh.configure(2, routes=ROUTES)
    mesh.advance(2)
    pool = ConnectionPool(
        mesh.reactor, (mesh.hosts[0].address, INBOUND), 1, mesh.connect
    )
    uri = encode_feed_query(FeedQuery(NO_REVISION))
    outgoing = OutgoingRequest(b'GET', uri, [(b'Host', b'node'), *headers], b'')
    replies = []
    Deferred.fromCoroutine(send(pool, outgoing)).addCallback(replies.append)
    mesh.advance(0.1)
    return replies[0].ok


def table_in(document):
    texts = [
        record['text']
        for record in decode_feed(document).ok['records']
        if record['key'] == 'op/config'
    ]
    return [json.loads(text) for text in texts]


def test_reader_of_an_earlier_version_gets_a_plain_document():
    reply = read_records([])
    assert not header_value(reply.headers, b'content-encoding')
    assert table_in(reply.body) == [config(2, routes=ROUTES)]


def test_reader_that_asks_for_it_gets_a_compressed_document():
    reply = read_records([(b'Accept-Encoding', b'deflate')])
    assert header_value(reply.headers, b'content-encoding') == 'deflate'
    document = decompress(reply.body, MAX_BYTES).ok
    assert table_in(document) == [config(2, routes=ROUTES)]
    assert len(reply.body) < len(document) / 4
