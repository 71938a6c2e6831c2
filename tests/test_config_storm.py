"""Many routing versions in quick succession, as read by a fleet of nodes."""

import pytest

from marjoramlead.store_watcher import note_reported_revision
from tests.platform_mesh import config, ready_mesh, route
from tests.samples import rev

ROUTES = [route(f'r{number}', 'safe', 'web') for number in range(300)]
STORM_S = 4
# Design limits: bytes per second of control traffic per node, and the time
# until a change is in force.
CONTROL_BYTES_PER_S = 6_000
IN_FORCE_S = 2
READERS = 2
HOSTS = 6


def publish_rapidly(mesh, gap_s):
    """Publish a version every ``gap_s`` seconds; return the last version."""
    version = 1
    storm_ends = mesh.reactor.seconds() + STORM_S
    while mesh.reactor.seconds() < storm_ends:
        version += 1
        mesh.configure(version, routes=ROUTES[version % 7 :])
        mesh.advance(gap_s)
    return version


def control_bytes(host):
    """Return the bytes that a node received from the store and from feeds."""
    traffic = host.sidecar.metrics.traffic
    return sum(
        traffic.labels(purpose, 'received')._value.get()
        for purpose in ('store', 'feed')
    )


def settled_mesh():
    mesh = ready_mesh(*('web' for _host in range(HOSTS)))
    mesh.configure(1, routes=ROUTES)
    mesh.advance(5)
    return mesh


@pytest.mark.parametrize('gap_s', [0.08, 0.3])
def test_rapid_versions_leave_narrow_links_to_requests(gap_s):
    mesh = settled_mesh()
    before = [control_bytes(host) for host in mesh.hosts]
    publish_rapidly(mesh, gap_s)
    received = sorted(
        control_bytes(host) - start
        for host, start in zip(mesh.hosts, before, strict=True)
    )
    assert max(received[:-READERS]) <= CONTROL_BYTES_PER_S * STORM_S


def test_replaced_versions_are_not_read_from_the_store():
    mesh = settled_mesh()
    before = [control_bytes(host) for host in mesh.hosts]
    publish_rapidly(mesh, 0.08)
    received = [
        control_bytes(host) - start
        for host, start in zip(mesh.hosts, before, strict=True)
    ]
    version_bytes = len(str(config(1, routes=ROUTES)))
    reads = max(received) / version_bytes
    assert reads <= 3 * STORM_S


def test_node_between_two_reads_is_not_taken_for_behind(monkeypatch):
    logged = []
    monkeypatch.setattr(
        'marjoramlead.store_watcher.emit',
        lambda kind, **_fields: logged.append(kind),
    )
    mesh = settled_mesh()
    mesh.configure(2, routes=ROUTES)
    mesh.advance(0.05)
    mesh.configure(3, routes=ROUTES)
    for host in mesh.hosts:
        note_reported_revision(
            host.sidecar.store_watcher, rev(mesh.store.revision, mesh.store.era)
        )
    mesh.advance(1)
    assert 'news' in logged
    assert 'behind' not in logged


@pytest.mark.parametrize('gap_s', [0.08, 0.3])
def test_last_of_many_versions_is_in_force_in_time(gap_s):
    mesh = settled_mesh()
    version = publish_rapidly(mesh, gap_s)
    mesh.advance(IN_FORCE_S - gap_s)
    in_force = {host.sidecar.mesh_state.table.version for host in mesh.hosts}
    assert in_force == {version}


def routes_without_splits():
    """Return the routes without the column that is null in each row."""
    routes = config(1, routes=ROUTES)['Routes']
    return {
        'Columns': routes['Columns'][:-1],
        'Rows': [row[:-1] for row in routes['Rows']],
    }


def feed_bytes(host):
    """Return the bytes that a node received from the feeds of others."""
    traffic = host.sidecar.metrics.traffic
    return traffic.labels('feed', 'received')._value.get()


def test_column_that_comes_and_goes_is_not_sent_as_whole_texts():
    mesh = settled_mesh()
    before = [feed_bytes(host) for host in mesh.hosts]
    version = 1
    for _change in range(STORM_S):
        mesh.configure(version + 1, Routes=routes_without_splits())
        mesh.advance(0.5)
        mesh.configure(version + 2, routes=ROUTES)
        mesh.advance(0.5)
        version += 2
    received = [
        feed_bytes(host) - start
        for host, start in zip(mesh.hosts, before, strict=True)
    ]
    assert max(received) <= CONTROL_BYTES_PER_S * STORM_S
