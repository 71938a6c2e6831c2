"""Nodes, a store and targets in memory under a virtual clock."""

from dataclasses import dataclass, field
from random import Random

from twisted.internet.protocol import Factory
from twisted.internet.task import Clock

from marjoramlead.http_server import make_site
from marjoramlead.lifecycle import start_sidecar
from marjoramlead.platform.decoding import decode_record
from marjoramlead.platform.names import DIALECT
from marjoramlead.platform.store import PlatformStore
from marjoramlead.repeat_budget import BudgetTerms
from marjoramlead.sidecar import Outside, Sidecar, build_sidecar
from marjoramlead.sidecar_terms import SidecarTerms
from marjoramlead.upstream import ConnectionPool, OutgoingRequest, send
from standins.platform_store import StoreStandIn, delete, handle_store, put
from standins.platform_target import TargetStandIn, handle_at_target
from tests.memory_net import MemoryNet

STORE = ('10.200.0.1', 8309)
OUTBOUND, INBOUND, READY, TARGET = 8304, 8300, 8302, 8301
METRICS = 9464
BUDGET = BudgetTerms(ratio=0.2, slack=60, window_s=10)


class MemoryReactor(Clock):
    """A virtual clock whose listeners are in memory."""

    def __init__(self, net: MemoryNet) -> None:
        super().__init__()
        self.net = net
        self.stopped = 0

    def listenTCP(self, port, factory, interface):
        """Accept connections at one address."""
        self.net.sites[interface, port] = factory
        return MemoryPort(self.net, (interface, port))

    def stop(self) -> None:
        """Count that a node has ended."""
        self.stopped += 1


@dataclass
class MemoryPort:
    """A port that accepts connections in memory."""

    net: MemoryNet
    address: tuple[str, int]

    def stopListening(self) -> None:
        """Refuse new connections."""
        self.net.sites.pop(self.address, None)


@dataclass
class Exchange:
    """A client's request and what became of it."""

    request_id: str
    sent_at: float
    reply: object = None
    ended_at: float | None = None
    waiting: object = None

    @property
    def status(self):
        """Status of the answer, or None."""
        return self.reply.status if self.reply else None

    def header(self, name: bytes) -> str:
        """First value of a header of the answer."""
        found = [
            raw for each, raw in self.reply.headers if each.lower() == name
        ]
        return found[0].decode() if found else ''


@dataclass
class Host:
    """A node with its target."""

    address: str
    service: str
    data_centre: str
    sidecar: Sidecar
    target: TargetStandIn


@dataclass
class PlatformMesh:
    """Everything that plays, by host number."""

    net: MemoryNet = field(default_factory=MemoryNet)
    hosts: list[Host] = field(default_factory=list)
    exchanges: int = 0

    def __post_init__(self) -> None:
        self.reactor = MemoryReactor(self.net)
        self.net.clock = self.reactor
        self.store = StoreStandIn(self.reactor)
        self.net.sites[STORE] = make_site(
            lambda req: handle_store(self.store, req),
            self.reactor,
        )

    def connect(self, _reactor, address, protocol):
        """Connect in memory; nothing passes to what is refusing."""
        factory = Factory()
        factory.buildProtocol = lambda _address: protocol
        return self.net.open(address, factory)

    def add_host(
        self, service: str, data_centre: str = 'a', **at_target
    ) -> Host:
        """Add a node with its target, which publishes itself."""
        number = len(self.hosts)
        address = f'10.0.0.{number + 1}'
        target = TargetStandIn(self.reactor, f'i-{number}', **at_target)
        self.net.sites[address, TARGET] = make_site(
            lambda req: handle_at_target(target, req),
            self.reactor,
        )
        host = Host(address, service, data_centre, None, target)
        self.hosts.append(host)
        self.publish(host)
        self.start(host)
        return host

    def start(self, host: Host) -> None:
        """Start the node of a host, which knows nothing yet."""
        terms = SidecarTerms(
            host=host.address,
            data_centre=host.data_centre,
            service=host.service,
            target=(host.address, TARGET),
            outbound=(host.address, OUTBOUND),
            inbound=(host.address, INBOUND),
            ready=(host.address, READY),
            control=None,
            metrics_port=METRICS,
            store=STORE,
            seeds=(),
            heartbeat_s=1.5,
            grace_s=6,
            budget=BUDGET,
        )
        outside = Outside(
            DIALECT,
            decode_record,
            lambda metrics: PlatformStore(
                self.reactor, STORE, metrics, self.connect
            ),
            lambda: None,
            self.connect,
        )
        seed = Random(f'{host.address}')
        host.sidecar = build_sidecar(terms, self.reactor, outside, seed)
        start_sidecar(host.sidecar)

    def publish(
        self, host: Host, state: str = 'ready', cold: str = '0ms'
    ) -> None:
        """Write the entry of a target."""
        entry = {
            'Service': host.service,
            'Address': f'{host.address}:{TARGET}',
            'Zone': host.data_centre,
            'Version': 'v1',
            'Slots': host.target.slots,
            'State': state,
            'WarmupLeft': cold,
            'Sequence': 1,
            'born': 1000,
        }
        put(self.store, f'servers/{host.target.target_id}', entry)

    def withdraw(self, host: Host) -> None:
        """Remove the entry of a target."""
        delete(self.store, f'servers/{host.target.target_id}')

    def configure(self, version: int = 1, **changed) -> None:
        """Write a configuration with one route of each kind."""
        put(self.store, 'op/config', config(version, **changed))

    def send(
        self,
        host: Host,
        path: str = '/safe/x',
        wait_ms: int = 1000,
        body: bytes = b'',
        method: bytes = b'GET',
    ) -> Exchange:
        """Send a client's request to the node of its host."""
        self.exchanges += 1
        exchange = Exchange(f'r{self.exchanges}', self.reactor.seconds())
        outgoing = OutgoingRequest(
            method,
            path.encode(),
            [
                (b'Host', b'shop.example'),
                (b'X-Request-Id', exchange.request_id.encode()),
                (b'X-Deadline-Ms', str(wait_ms).encode()),
            ],
            body,
        )
        pool = ConnectionPool(
            self.reactor, (host.address, OUTBOUND), 0, self.connect
        )
        from twisted.internet.defer import Deferred

        exchange.waiting = Deferred.fromCoroutine(send(pool, outgoing))
        exchange.waiting.addCallback(self._ended, exchange)
        exchange.waiting.addErrback(lambda _failure: None)
        return exchange

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.net.advance(seconds)

    def runs(self, request_id: str) -> int:
        """How often targets ran a request."""
        return sum(
            arrival.ran and arrival.request_id == request_id
            for host in self.hosts
            for arrival in host.target.arrivals
        )

    def _ended(self, sent, exchange: Exchange) -> None:
        exchange.ended_at = self.reactor.seconds()
        exchange.reply = sent.ok if sent.is_ok() else None


def config(version: int, routes=(), **changed):
    """Build a configuration as the operator writes it."""
    columns = [
        'Name', 'Host', 'PathPrefix', 'Kind', 'Timeout', 'TargetLatency',
        'Priority', 'Service', 'MaxAttempts', 'WeightedServices',
    ]  # fmt: skip
    rows = [
        route('safe', 'safe', 'web'),
        route('once', 'unsafe', 'web'),
        route('scan', 'upload', 'web'),
        *routes,
    ]
    return {
        'Version': f'{version:08x}',
        'Routes': {'Columns': columns, 'Rows': rows},
        'Services': {
            'Columns': [
                'Name', 'HealthPath', 'MaxConnections', 'Protocol', 'Tls',
                'Warmup', 'WarmupPerS',
            ],
            'Rows': [
                [name, '/health', 120, 'h1', False, '3s', 11.0]
                for name in ('web', 'api')
            ],
        },
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 100_000,
            'HeaderTimeout': '3000ms',
            'IdleTimeout': '15000ms',
        },
        **changed,
    }  # fmt: skip


def route(name, kind, service, split=None, priority=1, timeout='1000ms'):
    """Build one row of the routes."""
    return [
        name, 'shop.example', f'/{name}/', kind, timeout, '400ms',
        priority, service, 2, split,
    ]  # fmt: skip


def ready_mesh(*services: str, **at_target) -> PlatformMesh:
    """Start a mesh with a host for each service, and let it learn."""
    mesh = PlatformMesh()
    mesh.configure()
    for number, service in enumerate(services):
        mesh.add_host(service, 'ab'[number % 2], **at_target)
    mesh.advance(1)
    return mesh
