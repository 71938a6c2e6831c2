"""A small deployment: the store, instances, and a node beside each."""

import asyncio
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from contextlib import closing, suppress
from pathlib import Path
from typing import Any, Final

from review.standins.fleet import (
    NETWORK,
    STORE_ADDRESS,
    Host,
    Node,
    choose_ports,
)
from review.standins.instance import HEALTH_PATH, Instance
from review.standins.record import Record
from review.standins.store import Store

__all__ = ('Deployment', 'make_config', 'make_hosts')

# Time until the nodes know each other and the instances.
SETTLE_S: Final = 2.5
SEED_COUNT: Final = 3
# Time in which connections of ended processes are closed.
CLOSE_S: Final = 0.2
ROUTE_COLUMNS: Final = (
    'Name',
    'Host',
    'PathPrefix',
    'Kind',
    'Timeout',
    'TargetLatency',
    'Priority',
    'Service',
    'MaxAttempts',
    'WeightedServices',
)
SERVICE_COLUMNS: Final = (
    'Name',
    'HealthPath',
    'MaxConnections',
    'Protocol',
    'Tls',
    'Warmup',
    'WarmupPerS',
)
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def make_config(route: Sequence[Any], *services: str) -> dict[str, Any]:
    """Return a configuration of one route, as the operator writes it."""
    rows = [
        (service, HEALTH_PATH, 120, 'h1', False, '3s', 11.0)
        for service in services
    ]
    return {
        'Version': '00000007',
        'Routes': {'Columns': ROUTE_COLUMNS, 'Rows': [route]},
        'Services': {'Columns': SERVICE_COLUMNS, 'Rows': rows},
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeout': '3000ms',
            'IdleTimeout': '15000ms',
        },
    }


def make_hosts(services: Sequence[str]) -> list[Host]:
    """Return a host for each service named, in two data centres."""
    return [
        Host(
            f'host-{index}', f'{NETWORK}.{index}', f'zone-{index % 2}', service
        )
        for index, service in enumerate(services, start=1)
    ]


class Deployment:
    """The processes and stand-ins of one run.

    Attributes
    ----------
    instances, nodes
        By the name of their host.
    """

    def __init__(
        self,
        record: Record,
        hosts: Sequence[Host],
        make_instance: Callable[..., Instance] = Instance,
    ) -> None:
        self.store = Store()
        self.instances: dict[str, Instance] = {}
        self.nodes: dict[str, Node] = {}
        self._record = record
        self._hosts = hosts
        self._make_instance = make_instance
        self._ports = choose_ports()
        self._folder = tempfile.TemporaryDirectory()
        self._servers: list[asyncio.Server] = []

    async def start(self, config: dict[str, Any]) -> None:
        """Start all parts, and wait until the nodes know them."""
        self.store.put('op/config', config)
        await self._listen(self.store.serve, STORE_ADDRESS, self._ports.store)
        starts = [self._start_instance(host) for host in self._hosts]
        await asyncio.gather(*starts)
        seeds = [host.address for host in self._hosts[:SEED_COUNT]]
        folder = Path(self._folder.name)
        self.nodes = {
            host.name: Node(host, self._ports, seeds, folder)
            for host in self._hosts
        }
        await asyncio.gather(*[node.start() for node in self.nodes.values()])
        await asyncio.sleep(SETTLE_S)

    def outbound(self, name: str) -> tuple[str, int]:
        """Return the address that the clients of a host use."""
        return self.nodes[name].host.address, self._ports.outbound

    async def stop(self) -> None:
        """End all processes and servers."""
        await asyncio.gather(*[node.kill() for node in self.nodes.values()])
        for server in self._servers:
            server.close()
        await asyncio.sleep(CLOSE_S)
        self._folder.cleanup()

    async def _start_instance(self, host: Host) -> None:
        instance = self._make_instance(
            self._record,
            f'i-{host.name}',
            host.service,
            host.data_centre,
            f'{host.address}:{self._ports.target}',
        )
        self.instances[host.name] = instance
        await self._listen(instance.serve, host.address, self._ports.target)
        self.store.put(f'servers/{instance.instance_id}', instance.entry())

    async def _listen(self, serve: Serve, address: str, port: int) -> None:
        async def serve_and_close(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with suppress(OSError), closing(writer):
                await serve(reader, writer)

        server = await asyncio.start_server(serve_and_close, address, port)
        self._servers.append(server)
