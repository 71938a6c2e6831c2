"""Findings of a review of the restored store: where else old records count."""

import pytest
from expression import Error

from marjoramlead import target_runs
from marjoramlead.errors import Fault
from marjoramlead.mesh_state import find_target_by_address
from standins.platform_store import delete, put, restore, snapshot
from tests.agent_simulation import AgentSimulation
from tests.platform_mesh import TARGET, ready_mesh
from tests.test_agent import held_by
from tests.test_config_after_change import read_nothing
from tests.test_feed import parent, versions
from tests.test_restored_store import (
    ADDED,
    CALM_S,
    CONTACT_S,
    IN_FORCE_S,
    NOTICED_S,
    fleet,
    known_targets,
    lose_store,
    mesh_with_new_target,
    requests_within,
    restore_after,
    return_store,
    send_from_all,
    statuses,
    target_key,
)


def test_newer_version_of_the_copy_does_not_prove_that_no_route_is_lost():
    mesh = fleet()
    lose_store(mesh)
    mesh.advance(0.3)
    mesh.configure(2)
    copy = snapshot(mesh.store)
    mesh.configure(3, routes=ADDED)
    restore(mesh.store, copy)
    return_store(mesh)
    mesh.advance(CONTACT_S)
    assert versions(mesh) == {2}
    sent = send_from_all(mesh, '/added/x')
    mesh.advance(0.5)
    assert statuses(sent) == {503}


def test_second_restoration_gives_held_targets_the_whole_time_again():
    mesh, new, copy = mesh_with_new_target()
    restore(mesh.store, copy)
    mesh.advance(1.5)
    restore(mesh.store, copy)
    sent = []
    for _step in range(9):
        sent.extend(send_from_all(mesh))
        mesh.advance(0.2)
    mesh.publish(new)
    mesh.advance(1)
    assert statuses(sent) == {200}


def test_store_that_stops_sending_the_era_is_still_read():
    mesh = fleet()
    copy = snapshot(mesh.store)
    mesh.configure(2)
    mesh.advance(IN_FORCE_S)
    restore_after(mesh, copy, 0.5)
    mesh.advance(CONTACT_S)
    mesh.store.sends_era = False
    mesh.configure(3)
    mesh.advance(IN_FORCE_S)
    assert versions(mesh) == {3}
    mesh.add_host('web')
    mesh.advance(CONTACT_S)
    mesh.configure(4)
    mesh.advance(IN_FORCE_S)
    assert versions(mesh) == {4}


@pytest.mark.parametrize('away_s', [0, 0.5, IN_FORCE_S])
def test_follower_that_may_not_list_the_restored_store_follows_its_parent(
    away_s,
):
    """Its parent has all records of the new era."""
    mesh = fleet()
    copy = snapshot(mesh.store)
    mesh.configure(2)
    mesh.advance(IN_FORCE_S)
    listings = [
        refuse_listings(host, mesh.reactor)
        for host in mesh.hosts
        if parent(host)
    ]
    restore_after(mesh, copy, away_s)
    mesh.configure(3)
    mesh.advance(CONTACT_S)
    assert any(listings)
    assert versions(mesh) == {3}
    before = sum(map(len, listings))
    mesh.advance(CONTACT_S)
    assert sum(map(len, listings)) == before


def refuse_listings(host, clock):
    """Refuse the listings of a node; return the times of its calls."""
    called_at = []

    async def refuse():
        called_at.append(clock.seconds())
        return Error(Fault('refused', 'status 429'))

    host.sidecar.store_watcher.store.list_all = refuse
    return called_at


def test_target_that_the_copy_lacks_is_not_replaced_by_the_one_before_it():
    """Both have the same address; the copy has the earlier one only."""
    mesh = ready_mesh('api', 'api', 'web', 'web')
    mesh.advance(CONTACT_S)
    host = mesh.hosts[2]
    copy = snapshot(mesh.store)
    former = host.target.target_id
    host.target.target_id = 'i-new'
    mesh.publish(host)
    mesh.advance(IN_FORCE_S)
    restore_after(mesh, copy, 0.5)
    for _step in range(9):
        for each in mesh.hosts:
            mesh_state = each.sidecar.mesh_state
            assert mesh_state.superseded == {former}
            found = find_target_by_address(mesh_state, (host.address, TARGET))
            assert found.target_id == 'i-new'
        mesh.advance(0.2)


def test_target_whose_entry_became_unreadable_does_not_return_with_the_copy():
    mesh = fleet()
    host = mesh.hosts[0]
    copy = snapshot(mesh.store)
    put(mesh.store, target_key(host), b'{}')
    mesh.advance(IN_FORCE_S)
    restore(mesh.store, copy)
    assert not requests_within(mesh, host, CONTACT_S)
    mesh.publish(host)
    mesh.advance(IN_FORCE_S)
    assert requests_within(mesh, host, 1)


@pytest.mark.parametrize('digits', [19, 25, 5000])
def test_era_that_is_too_large_to_be_sent_stops_no_node(digits):
    mesh = fleet()
    mesh.store.era = '9' * digits
    for host in mesh.hosts:
        mesh.cut_store(host)
    mesh.advance(CONTACT_S)
    mesh.configure(2)
    mesh.advance(IN_FORCE_S)
    assert versions(mesh) == {2}


@pytest.mark.parametrize('name', ['contracts/tamworth', 'contracts/ludlow'])
def test_source_that_goes_on_above_its_last_revision_loses_no_document(name):
    """The copy lacks both; OPERATIONS.md says how to go on from it."""
    simulation = AgentSimulation()
    names = ('contracts/tamworth', 'contracts/ludlow')
    for each in names:
        simulation.do_publish(each, is_valid=True)
    simulation.converge()
    simulation.source_mode = 'down'
    simulation.documents.clear()
    for each in names:
        simulation.do_publish(each, is_valid=True)
    simulation.converge()
    assert held_by(simulation, 0)[name].revision > 2
    assert held_by(simulation, 0)[name].text


def cut_off_follower(mesh):
    """Cut a follower off; return it, and a function that connects it again."""
    follower = next(host for host in mesh.hosts[1:] if parent(host))
    feed_client = follower.sidecar.store_watcher.feed_client
    connect = feed_client.connect
    read_nothing(follower)

    def heal():
        feed_client.connect = connect
        for _request in range(8):
            mesh.send(follower)
        mesh.advance(NOTICED_S)

    return follower, heal


@pytest.mark.parametrize('late_s', [1, 8])
def test_target_written_again_is_used_by_a_node_that_learns_late(late_s):
    """It was written again after the first read of its parent."""
    mesh = fleet()
    copy = snapshot(mesh.store)
    mesh.withdraw(mesh.hosts[0])
    mesh.advance(IN_FORCE_S)
    follower, heal = cut_off_follower(mesh)
    restore_after(mesh, copy, 0.5)
    mesh.advance(NOTICED_S)
    mesh.publish(mesh.hosts[0])
    mesh.advance(late_s)
    heal()
    mesh.advance(IN_FORCE_S)
    assert target_key(mesh.hosts[0]) in known_targets(follower)


def test_evacuation_lifted_in_the_new_era_ends_at_a_node_that_learns_late():
    mesh = fleet()
    put(mesh.store, 'op/evacuate/a', {})
    mesh.advance(IN_FORCE_S)
    follower, heal = cut_off_follower(mesh)
    restore_after(mesh, snapshot(mesh.store), 0.5)
    mesh.advance(IN_FORCE_S)
    delete(mesh.store, 'op/evacuate/a')
    mesh.advance(CALM_S)
    heal()
    mesh.advance(IN_FORCE_S)
    assert not follower.sidecar.mesh_state.excluded


def test_log_line_of_an_attempt_names_the_era_of_its_revision(monkeypatch):
    eras = []
    monkeypatch.setattr(
        target_runs,
        'emit',
        lambda _kind, **fields: eras.append(fields.get('era')),
    )
    mesh = fleet()
    restore_after(mesh, snapshot(mesh.store), 0.5)
    mesh.advance(CONTACT_S)
    mesh.send(mesh.hosts[0])
    mesh.advance(1)
    assert eras[-1] == 2
