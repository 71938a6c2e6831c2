"""Texts that fill narrow links are passed on once, and in time."""

from dataclasses import dataclass
from random import Random
from string import ascii_lowercase, digits

import pytest

from tests.memory_net import STEP_S
from tests.platform_mesh import INBOUND, STORE, ready_mesh, route

# Bound of the rules for a change to be in force.
CONFIG_APPLY_S = 2.5
GROWN = [route(f'r{number}', 'safe', 'web') for number in range(1700)]
PACKET_BYTES = 1500


@dataclass
class Link:
    """A link of limited rate, shared by the connections from one address."""

    clock: object
    bytes_per_s: float
    credit: float = 0
    counted_at: float = 0

    def take(self, size):
        """Return how many of some waiting bytes may be sent now."""
        now = self.clock.seconds()
        self.credit += (now - self.counted_at) * self.bytes_per_s
        # An idle link saves no more than one step.
        most = max(2 * STEP_S * self.bytes_per_s, PACKET_BYTES)
        self.credit = min(self.credit, most)
        self.counted_at = now
        size = min(size, PACKET_BYTES, int(self.credit))
        self.credit -= size
        return size


def limit_rates(mesh, bytes_per_s, limited=(INBOUND, STORE[1])):
    """Limit what a node sends to its followers, and each store connection."""
    links = {}
    open_connection = mesh.net.open

    def narrow(connection):
        key = connection.port
        if key[1] not in limited:
            return
        link = Link(mesh.reactor, bytes_per_s, 0, mesh.reactor.seconds())
        if key != STORE:
            link = links.setdefault(key, link)
        unsent = [b'']
        written = connection.server.take

        def send_some():
            waiting = unsent.pop() + written()
            if connection.client.disconnecting:
                waiting = b''
            size = link.take(len(waiting))
            unsent.append(waiting[size:])
            return waiting[:size]

        connection.server.take = send_some

    def open_narrow(port, factory):
        known = {id(each) for each in mesh.net.connections}
        opened = open_connection(port, factory)
        for each in mesh.net.connections:
            if id(each) not in known:
                narrow(each)
        return opened

    mesh.net.open = open_narrow
    for each in mesh.net.connections:
        narrow(each)


def random_routes():
    """Return routes whose names, paths and times have little in common."""
    rng = Random(5)

    def word(length):
        return ''.join(rng.choices(ascii_lowercase + digits, k=length))

    return [
        [
            f'r-{word(7)}',
            f'{word(5)}.example',
            f'/{word(7)}/{word(4)}/',
            rng.choice(['safe', 'unsafe', 'upload']),
            f'{rng.randrange(600, 3000)}ms',
            f'{rng.randrange(200, 900)}ms',
            rng.randrange(3),
            rng.choice(['web', 'api']),
            2,
            None,
        ]
        for _route in GROWN
    ]


@pytest.mark.parametrize(
    'link_bytes_per_s', [300_000, 400_000, 625_000, 12_500_000]
)
@pytest.mark.parametrize('versions_after', [0, 12])
def test_grown_configuration_is_in_force_in_time_on_narrow_links(
    link_bytes_per_s, versions_after
):
    """A text that fills a link is passed on once, not given up and repeated.

    The link from a node to the nodes that follow it has a limited rate, and so
    has each connection to the store. Bytes of a connection that was closed are
    dropped.
    """
    assert not stale_hosts(GROWN, link_bytes_per_s, versions_after)


def test_routes_with_little_in_common_are_in_force_in_time_on_narrow_links():
    assert not stale_hosts(random_routes(), 300_000, 12)


@pytest.mark.parametrize('bytes_per_s', [5_000, 20_000, 100_000])
@pytest.mark.parametrize('moment_s', [0, 0.3, 0.6])
def test_change_is_in_force_in_time_although_other_nodes_send_slowly(
    bytes_per_s, moment_s
):
    routes = random_routes()
    mesh = ready_mesh(*('web' for _host in range(8)))
    mesh.configure(2, routes=routes[:300])
    mesh.advance(5 + moment_s)
    limit_rates(mesh, bytes_per_s, limited=(INBOUND,))
    mesh.configure(3, routes=routes)
    mesh.advance(CONFIG_APPLY_S)
    in_force = {host.sidecar.mesh_state.table.version for host in mesh.hosts}
    assert in_force == {3}


def stale_hosts(routes, link_bytes_per_s, versions_after):
    """Publish a table that grows; list the hosts that applied it too late."""
    mesh = ready_mesh(*('web' for _host in range(34)))
    mesh.advance(3)
    mesh.configure(2, routes=routes[:300])
    mesh.advance(5)
    limit_rates(mesh, link_bytes_per_s)
    published_at = {}
    stale = set()
    started_at = mesh.reactor.seconds()
    mesh.configure(3, routes=routes)
    published_at[3] = started_at
    while mesh.reactor.seconds() < started_at + 8:
        mesh.advance(0.21)
        now = mesh.reactor.seconds()
        version = len(published_at) + 3
        if version <= versions_after + 3:
            mesh.configure(version, routes=routes[version:])
            published_at[version] = now
        due = [
            each
            for each, sent_at in published_at.items()
            if sent_at + CONFIG_APPLY_S < now
        ]
        stale.update(
            (host.address, round(now - started_at, 1))
            for host in mesh.hosts
            if due and host.sidecar.mesh_state.table.version < max(due)
        )
    return stale
