"""Calls to the store while many nodes start."""

import pytest

from tests.platform_mesh import CONTROL, PlatformMesh

HOSTS = 48
DATA_CENTRES = 'abcdef'
SEEDS = 3
REGISTRATION_S = 1.5


def starting_fleet(is_published, seeds=SEEDS):
    """Start all nodes at once, with or without records in the store."""
    mesh = PlatformMesh()
    mesh.seeds = tuple(
        (f'10.0.0.{1 + 7 * number}', CONTROL) for number in range(seeds)
    )
    if is_published:
        mesh.configure()
    for number in range(HOSTS):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        mesh.add_host('web', data_centre, is_published=is_published)
    return mesh


def register_all(mesh):
    """Publish all targets one after the other, and the routing table."""
    mesh.advance(1)
    for number, host in enumerate(mesh.hosts):
        mesh.publish(host)
        if number == HOSTS // 2:
            mesh.configure()
        mesh.advance(REGISTRATION_S / HOSTS)


def are_ready(mesh):
    keys = set(mesh.store.records)
    return all(
        host.sidecar.mesh_state.table is not None
        and keys <= set(host.sidecar.mesh_state.records.by_key)
        for host in mesh.hosts
    )


def test_fleet_that_starts_for_the_first_time_calls_the_store_rarely():
    """Each node lists once; few of them then wait for entries."""
    mesh = starting_fleet(is_published=False)
    register_all(mesh)
    mesh.advance(1)
    assert are_ready(mesh)
    assert mesh.store.calls <= 2 * HOSTS


def test_fleet_that_starts_again_lists_the_store_once_a_node():
    mesh = starting_fleet(is_published=True)
    mesh.advance(1)
    assert are_ready(mesh)
    mesh.advance(1)
    assert mesh.store.calls <= HOSTS + 10


@pytest.mark.parametrize('lost', [1, SEEDS])
def test_fleet_starts_without_seeds_that_are_down(lost):
    mesh = starting_fleet(is_published=False)
    for seed in mesh.seeds[:lost]:
        mesh.net.refusing_ports.add(seed)
    register_all(mesh)
    mesh.advance(1)
    assert are_ready(mesh)


def test_fleet_starts_without_seeds_in_its_settings():
    mesh = starting_fleet(is_published=False, seeds=0)
    register_all(mesh)
    mesh.advance(1)
    assert are_ready(mesh)


def test_two_data_centres_read_the_store():
    mesh = starting_fleet(is_published=True)
    mesh.advance(3)
    sources = [host.sidecar.feed_sources for host in mesh.hosts]
    assert sum(each.parent is None for each in sources) == 2
    before = mesh.store.calls
    mesh.advance(10)
    assert (mesh.store.calls - before) / 10 <= 2 * 1.5
