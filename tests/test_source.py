from twisted.internet.defer import Deferred

from marjoramlead.http_server import make_site
from marjoramlead.problems import json_response
from marjoramlead.source import read_listing
from standins import source as standin
from tests.memory_net import MemoryNet

PORT = 7000
MAX_READ_DURATION_S = 6


class SourceReader:
    """In-memory source, and the results of reading it."""

    def __init__(self, handler=None) -> None:
        self.net = MemoryNet()
        self.source = standin.Source(self.net.clock)
        serve = handler or (lambda req: standin.handle(self.source, req))
        self.net.sites[PORT] = make_site(serve, self.net.clock)
        self.results = []

    def read(self, after=0):
        url = f'http://127.0.0.1:{PORT}'
        pending = read_listing(self.net.agent(), self.net.clock, url, after)
        Deferred.fromCoroutine(pending).addCallback(self.results.append)
        self.net.pump()


def test_listing_contains_newer_documents():
    reader = SourceReader()
    reader.source.revision = 2
    reader.source.documents = {'a': (1, 'x'), 'b': (2, 'y')}
    reader.read(after=1)
    listing = reader.results[0].ok
    assert [version.name for version in listing.changed] == ['b']
    assert listing.names == {'a', 'b'}


def test_long_poll_returns_when_a_document_is_published():
    reader = SourceReader()
    reader.read()
    assert not reader.results
    reader.source.revision = 1
    reader.source.documents = {'a': (1, 'x')}
    standin._wake_all(reader.source)
    reader.net.pump()
    assert reader.results[0].ok.revision == 1


def test_read_of_hanging_source_times_out():
    reader = SourceReader(handler=lambda _req: None)
    reader.read()
    reader.net.advance(MAX_READ_DURATION_S)
    assert reader.results[0].is_error()


def test_long_poll_on_silent_connection_times_out():
    reader = SourceReader()
    reader.read()
    reader.net.silence(PORT)
    reader.net.advance(MAX_READ_DURATION_S)
    assert reader.results[0].is_error()
    reader.source.revision = 1
    reader.read()
    assert reader.results[1].is_ok()


def test_invalid_response_is_an_error():
    responses = [json_response(200, {'revision': 'x'}), json_response(503, {})]
    reader = SourceReader(
        handler=lambda req: req.send_response(responses.pop())
    )
    reader.read()
    reader.read()
    assert all(result.is_error() for result in reader.results)
    assert len(reader.results) == 2
