"""Nodes with stand-in targets, connected in memory under a virtual clock."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import msgspec
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from marjoramlead import headers as names
from marjoramlead.attempts import send_call
from marjoramlead.bodies import BufferedBody
from marjoramlead.calls import RoutingContext
from marjoramlead.counters import Counters
from marjoramlead.gateway import Gateway, handle_call
from marjoramlead.guard import Guard, apply_current_config
from marjoramlead.guard_requests import handle_guard_request
from marjoramlead.http_server import make_site
from marjoramlead.key_replicas import KeyLedger
from marjoramlead.picking import TargetStates
from marjoramlead.restart_monitor import (
    RestartMonitor,
    check_for_restart,
    suspect_restart,
)
from marjoramlead.versions import VersionStore, make_version, offer_version
from standins import target as standin
from tests.memory_net import MemoryNet
from tests.samples import contract, host, hosts_text

DATA_CENTRES = ('walsall', 'lichfield')
SERVICE = 'moulds'
GATEWAY, GUARD, TARGET = 1000, 2000, 3000
WORK_MS = 50
KEY_MEMORY_MS = 60_000


class CallResult(NamedTuple):
    """Result of a call.

    Attributes
    ----------
    at
        Time of the result, in seconds on the virtual clock.
    status
        HTTP status, or 0 if the connection was lost before the end of the
        response.
    """

    at: float
    status: int
    verdict: str
    reason: str
    body: bytes
    retry_after: str = ''


@dataclass
class Call:
    """A call that a test has made.

    Attributes
    ----------
    started_at
        Time of the call, in seconds on the virtual clock.
    ended
        Results received; exactly one is expected in the end.
    """

    request_id: str
    key: str
    path: str
    started_at: float
    ended: list[CallResult] = field(default_factory=list)


class Mesh:
    """Nodes, each with a target of the same service.

    Attributes
    ----------
    ran
        How often each request was run, by idempotency key or request id.
    collapses
        Number of requests that overloaded targets before their restarts.
    """

    def __init__(self, nodes: int = 4, seed: int = 0, **terms: object) -> None:
        self.net = MemoryNet()
        self.nodes = nodes
        self.rng = Random(seed)
        self.store = VersionStore()
        self.counters = [Counters() for _node in range(nodes)]
        self.ran: Counter[str] = Counter()
        self.collapses = 0
        self.calls: list[Call] = []
        self.gateways: dict[int, Gateway] = {}
        self.guards: dict[int, Guard] = {}
        self.targets: dict[int, standin.Target] = {}
        self.restart_monitors: dict[int, RestartMonitor] = {}
        self.revision = 0
        self.terms = terms
        self.publish_contract()
        self.publish_hosts()
        for node in range(nodes):
            self.start_target(node)
            self.start_node(node)
        self.net.clock.advance(KEY_MEMORY_MS / 1000)

    def publish(self, name: str, text: str) -> None:
        """Put a new revision of a document in force on all nodes."""
        self.revision += 1
        offer_version(self.store, make_version(name, self.revision, text))

    def publish_contract(self, **terms: object) -> None:
        """Put the contract in force with changed terms for the service."""
        self.terms.update(terms)
        document = contract()
        document['key_memory_ms'] = KEY_MEMORY_MS
        for each in document['services']:
            each.update(self.terms)
        text = msgspec.json.encode(document).decode()
        self.publish('contracts/tamworth', text)

    def publish_hosts(self, leaving: Collection[int] = ()) -> None:
        """Put the host lists in force, with some nodes marked as leaving."""
        for data_centre in DATA_CENTRES:
            hosts = [
                host(
                    f'h-{node}',
                    GUARD + node,
                    service=SERVICE,
                    state='leaving' if node in leaving else 'live',
                )
                for node in range(self.nodes)
                if self.data_centre(node) == data_centre
            ]
            name = f'hosts/{data_centre}'
            self.publish(name, hosts_text(data_centre, hosts))

    def take_out(self, *names: str) -> None:
        """Take data centres out of service, and bring back all others."""
        text = msgspec.json.encode({'out': list(names)}).decode()
        self.publish('operations', text)

    def data_centre(self, node: int) -> str:
        """Return the name of a node's data centre."""
        return DATA_CENTRES[node % 2]

    def start_target(self, node: int) -> None:
        """Start or restart a cold target; the counts of runs are kept."""
        previous = self.targets.get(node)
        self.collapses += previous.collapses if previous else 0
        terms = self.store.snapshot.contracts['tamworth'].services[SERVICE]
        target = standin.Target(
            self.net.clock,
            f'h-{node}',
            terms['slots'],
            terms['cold_slots'],
            terms['warm_answers'],
            WORK_MS,
            started=str(self.rng.random()),
            ran=self.ran,
        )
        self.targets[node] = target
        site = make_site(
            lambda req: standin.handle(target, req),
            self.net.clock,
        )
        self.net.sites[TARGET + node] = site
        self.net.reset(TARGET + node)

    def start_node(self, node: int) -> None:
        """Start or restart a node; its gateway and guard lose their state."""
        guard = Guard(
            f'h-{node}',
            self.data_centre(node),
            {
                'customer': 'tamworth',
                'service': SERVICE,
                'address': '127.0.0.1',
                'port': TARGET + node,
                'load_path': '/load',
            },
            lambda: self.store.snapshot,
            self.net.agent(lambda: suspect_restart(monitor)),
            self.net.agent(),
            self.net.clock,
            self.counters[node],
            KeyLedger(f'h-{node}'),
        )
        monitor = RestartMonitor(guard)
        routing = RoutingContext(
            self.data_centre(node),
            TargetStates(),
            Random(self.rng.random()),
        )
        gateway = Gateway(
            routing,
            lambda: self.store.snapshot,
            self.net.agent(),
            self.net.clock,
            self.counters[node],
        )
        self.gateways[node] = gateway
        self.guards[node] = guard
        self.restart_monitors[node] = monitor
        apply_current_config(guard)
        self.net.sites[GUARD + node] = make_site(
            lambda req: handle_guard_request(guard, req),
            self.net.clock,
        )
        self.net.sites[GATEWAY + node] = make_site(
            lambda req: handle_call(gateway, send_call, req),
            self.net.clock,
        )
        for port in (GATEWAY + node, GUARD + node):
            self.net.reset(port)

    def report_load(self, node: int) -> None:
        """Pass the target's current load report to its guard."""
        started = self.targets[node].started
        check_for_restart(self.restart_monitors[node], {'started': started})

    def call(
        self,
        node: int,
        method: str = 'GET',
        path: str = '/moulds',
        key: str = '',
        size: int = 0,
        **extra_headers: str,
    ) -> Call:
        """Make a call at a node; the result is recorded when it arrives.

        Underscores in the names of extra headers become hyphens.
        """
        request_id = f'r-{len(self.calls)}'
        fields = Headers({'X-Marjoram-Request-Id': [request_id]})
        for name, text in extra_headers.items():
            fields.setRawHeaders(name.replace('_', '-'), [text])
        if key:
            fields.setRawHeaders('Idempotency-Key', [key])
        new_call = Call(request_id, key, path, self.net.clock.seconds())
        self.calls.append(new_call)
        url = f'http://127.0.0.1:{GATEWAY + node}/tamworth{path}'
        body = BufferedBody(bytes(size)) if size else None
        pending = self.net.agent().request(
            method.encode(),
            url.encode(),
            fields,
            body,
        )
        pending.addCallback(self._read_response, new_call)
        pending.addErrback(self._on_connection_lost, new_call)
        return new_call

    def total_collapses(self) -> int:
        """Count the requests that overloaded a target."""
        now = sum(target.collapses for target in self.targets.values())
        return self.collapses + now

    def _read_response(self, response, call):
        def on_body(body):
            fields = response.headers
            self._record_result(
                call,
                response.code,
                names.first_value(fields, names.VERDICT),
                names.first_value(fields, names.REASON),
                body,
                names.first_value(fields, names.RETRY_AFTER),
            )

        return readBody(response).addCallback(on_body)

    def _on_connection_lost(self, _failure, call):
        self._record_result(call, 0, '', '', b'')

    def _record_result(self, call, *result_fields):
        call.ended.append(CallResult(self.net.clock.seconds(), *result_fields))
