"""In-memory connections under a virtual clock, with fault injection."""

from collections import Counter
from dataclasses import dataclass, field

from twisted.internet import error
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock
from twisted.test.iosim import FakeTransport, IOPump, connect
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from marjoramlead.http_client import watch_connection_close

STEP_S = 0.01


@dataclass
class Connection:
    """A connection to a port; once silent, it delivers no more bytes."""

    port: int
    pump: IOPump
    is_silent: bool = False


@dataclass
class MemoryNet:
    """Listening sites and open connections.

    Attributes
    ----------
    sites
        Protocol factory of each listening port.
    refusing_ports
        Ports that refuse new connections.
    received
        Number of bytes that servers received, by port.
    """

    clock: Clock = field(default_factory=Clock)
    sites: dict = field(default_factory=dict)
    connections: list[Connection] = field(default_factory=list)
    refusing_ports: set[int] = field(default_factory=set)
    received: Counter = field(default_factory=Counter)

    def agent(self, on_connection_close=None) -> Agent:
        """Return an HTTP client that uses connections in memory."""
        pool = HTTPConnectionPool(self.clock, persistent=True)
        pool.retryAutomatically = False
        return Agent.usingEndpointFactory(
            self.clock,
            _Endpoints(self, on_connection_close),
            pool,
        )

    def open(self, port, factory):
        """Connect a client; fail if the port refuses or nothing listens."""
        if port in self.refusing_ports or port not in self.sites:
            return fail(error.ConnectionRefusedError())
        client = factory.buildProtocol(None)
        server = self.sites[port].buildProtocol(None)
        self._count_bytes(port, server)
        pump = connect(
            server,
            FakeTransport(server, isServer=True),
            client,
            FakeTransport(client, isServer=False),
            greet=False,
        )
        self.connections.append(Connection(port, pump))
        return succeed(client)

    def pump(self) -> None:
        """Deliver bytes until none are in transit."""
        while sum(
            _deliver_pending(connection)
            for connection in list(self.connections)
        ):
            self.connections = [
                connection
                for connection in self.connections
                if not _is_closed(connection)
            ]

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps, delivering bytes after each."""
        self.pump()
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until:
            self.clock.advance(STEP_S)
            self.pump()

    def silence(self, port: int) -> None:
        """Stop delivery on the open connections to a port."""
        for connection in self.connections:
            connection.is_silent |= connection.port == port

    def reset(self, port: int) -> None:
        """Abort the open connections to a port."""
        for connection in self.connections:
            if connection.port == port:
                connection.pump.serverIO.abortConnection()
        self.pump()

    def _count_bytes(self, port, server) -> None:
        deliver = server.dataReceived

        def count_and_deliver(chunk):
            self.received[port] += len(chunk)
            return deliver(chunk)

        server.dataReceived = count_and_deliver


@implementer(IAgentEndpointFactory)
@dataclass
class _Endpoints:
    net: MemoryNet
    on_connection_close: object

    def endpointForURI(self, uri):
        """Return the endpoint for the port of a URI."""
        return _Endpoint(self.net, uri.port, self.on_connection_close)


@dataclass
class _Endpoint:
    net: MemoryNet
    port: int
    on_connection_close: object

    def connect(self, factory):
        """Connect at once."""
        if self.on_connection_close is not None:
            factory = watch_connection_close(factory, self.on_connection_close)
        return self.net.open(self.port, factory)


def _deliver_pending(connection: Connection) -> bool:
    return not connection.is_silent and bool(connection.pump.pump())


def _is_closed(connection: Connection) -> bool:
    return (
        connection.pump.clientIO.disconnected
        and connection.pump.serverIO.disconnected
    )
