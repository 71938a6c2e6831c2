from twisted.internet.defer import Deferred

from marjoramlead.http_server import make_site
from marjoramlead.problems import json_answer
from marjoramlead.source import read_listing
from standins import source as standin
from tests.memory_net import MemoryNet

PORT = 7000
LONGEST_READ_S = 6


class Reading:
    """A source in memory, and what a read of it came to."""

    def __init__(self, handler=None) -> None:
        self.net = MemoryNet()
        self.source = standin.Source(self.net.clock)
        serve = handler or (lambda req: standin.handle(self.source, req))
        self.net.sites[PORT] = make_site(serve, self.net.clock)
        self.ends = []

    def read(self, after=0):
        url = f'http://127.0.0.1:{PORT}'
        reading = read_listing(self.net.agent(), self.net.clock, url, after)
        Deferred.fromCoroutine(reading).addCallback(self.ends.append)
        self.net.pump()


def test_listing_holds_what_is_newer():
    reading = Reading()
    reading.source.revision = 2
    reading.source.documents = {'a': (1, 'x'), 'b': (2, 'y')}
    reading.read(after=1)
    listing = reading.ends[0].ok
    assert [version.name for version in listing.changed] == ['b']
    assert listing.names == {'a', 'b'}


def test_watch_ends_when_something_is_published():
    reading = Reading()
    reading.read()
    assert not reading.ends
    reading.source.revision = 1
    reading.source.documents = {'a': (1, 'x')}
    standin._wake_all(reading.source)
    reading.net.pump()
    assert reading.ends[0].ok.revision == 1


def test_source_that_hangs_is_given_up():
    reading = Reading(handler=lambda _req: None)
    reading.read()
    reading.net.advance(LONGEST_READ_S)
    assert reading.ends[0].is_error()


def test_watch_that_went_silent_is_given_up():
    reading = Reading()
    reading.read()
    reading.net.silence(PORT)
    reading.net.advance(LONGEST_READ_S)
    assert reading.ends[0].is_error()
    reading.source.revision = 1
    reading.read()
    assert reading.ends[1].is_ok()


def test_nonsense_is_an_error():
    answers = [json_answer(200, {'revision': 'x'}), json_answer(503, {})]
    reading = Reading(handler=lambda req: req.answer(answers.pop()))
    reading.read()
    reading.read()
    assert all(end.is_error() for end in reading.ends)
    assert len(reading.ends) == 2
