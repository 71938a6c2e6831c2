"""Connections in memory under a virtual clock, which can go wrong on demand."""

from collections import Counter
from dataclasses import dataclass, field

from twisted.internet import error
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock
from twisted.test.iosim import FakeTransport, IOPump, connect
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from marjoramlead.http_client import watch_peer_close

STEP_S = 0.01


@dataclass
class Connection:
    """One connection to a port; a silent one carries nothing more."""

    port: int
    pump: IOPump
    is_silent: bool = False


@dataclass
class MemoryNet:
    """What listens where, and which connections are open."""

    clock: Clock = field(default_factory=Clock)
    sites: dict = field(default_factory=dict)
    connections: list[Connection] = field(default_factory=list)
    refusing_ports: set[int] = field(default_factory=set)
    received: Counter = field(default_factory=Counter)

    def agent(self, on_peer_close=None) -> Agent:
        """Return an HTTP client whose connections are in memory."""
        pool = HTTPConnectionPool(self.clock, persistent=True)
        pool.retryAutomatically = False
        return Agent.usingEndpointFactory(
            self.clock,
            _Endpoints(self, on_peer_close),
            pool,
        )

    def open(self, port, factory):
        """Connect to a port."""
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
        """Deliver bytes until none are on their way."""
        while sum(
            _deliver(connection) for connection in list(self.connections)
        ):
            self.connections = [
                connection
                for connection in self.connections
                if not _is_closed(connection)
            ]

    def advance(self, seconds: float) -> None:
        """Let time pass in small steps, with bytes delivered in between."""
        self.pump()
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until:
            self.clock.advance(STEP_S)
            self.pump()

    def silence(self, port: int) -> None:
        """Make the open connections to a port carry nothing more."""
        for connection in self.connections:
            connection.is_silent |= connection.port == port

    def reset(self, port: int) -> None:
        """Break the open connections to a port."""
        for connection in self.connections:
            if connection.port == port:
                connection.pump.serverIO.abortConnection()
        self.pump()

    def _count_bytes(self, port, server) -> None:
        take = server.dataReceived

        def count_and_take(chunk):
            self.received[port] += len(chunk)
            return take(chunk)

        server.dataReceived = count_and_take


@implementer(IAgentEndpointFactory)
@dataclass
class _Endpoints:
    net: MemoryNet
    on_peer_close: object

    def endpointForURI(self, uri):
        """Return what connects to the port of an address."""
        return _Endpoint(self.net, uri.port, self.on_peer_close)


@dataclass
class _Endpoint:
    net: MemoryNet
    port: int
    on_peer_close: object

    def connect(self, factory):
        """Connect at once."""
        if self.on_peer_close is not None:
            factory = watch_peer_close(factory, self.on_peer_close)
        return self.net.open(self.port, factory)


def _deliver(connection: Connection) -> bool:
    return not connection.is_silent and bool(connection.pump.pump())


def _is_closed(connection: Connection) -> bool:
    return (
        connection.pump.clientIO.disconnected
        and connection.pump.serverIO.disconnected
    )
