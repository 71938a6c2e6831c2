"""The daemon sends all that it has answered before it exits."""

from types import SimpleNamespace

from twisted.internet.protocol import Factory, Protocol
from twisted.web.http_headers import Headers

from marjoramlead.daemon import Node, close_when_idle
from marjoramlead.http_server import make_site
from marjoramlead.listeners import Listener
from marjoramlead.problems import BufferedResponse
from tests.memory_net import SEND_BUFFER_BYTES, MemoryNet
from tests.platform_mesh import HostReactor

ADDRESS = ('10.0.0.1', 8080)
BODY = b'x' * (4 * SEND_BUFFER_BYTES)


class Client(Protocol):
    """A client that collects what it receives."""

    def __init__(self):
        self.received = b''

    def dataReceived(self, chunk):
        """Keep the bytes."""
        self.received += chunk


def idle_node(reactor):
    """Return a node without requests in progress."""
    return Node(
        settings={'host': 'a-1'},
        reactor=reactor,
        agent=None,
        gateway=SimpleNamespace(in_flight=0),
        guard=SimpleNamespace(admission=SimpleNamespace(running=0)),
        driver=SimpleNamespace(port=SimpleNamespace(close=list)),
        restart_monitor=None,
    )


def test_response_written_just_before_the_daemon_exits_is_sent():
    net = MemoryNet()
    reactor = HostReactor(net.clock, net, ADDRESS[0])
    node = idle_node(reactor)

    def answer_and_close(req):
        req.send_response(BufferedResponse(200, Headers(), BODY))
        close_when_idle(node, 0, 9)

    site = make_site(
        lambda req: reactor.callLater(0.5, answer_and_close, req), reactor
    )
    port = reactor.listenTCP(ADDRESS[1], site, interface=ADDRESS[0])
    node.listeners.append(Listener(port, site))
    client = Client()
    factory = Factory()
    factory.buildProtocol = lambda _address: client
    net.open(ADDRESS, factory)
    client.transport.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    net.advance(1)
    assert reactor.stopped_at is not None
    assert client.received.endswith(BODY)
