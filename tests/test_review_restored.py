"""Findings of a review of the restored store: where else old records count."""

from standins.platform_store import restore, snapshot
from tests.test_feed import versions
from tests.test_restored_store import (
    ADDED,
    CONTACT_S,
    fleet,
    lose_store,
    mesh_with_new_target,
    return_store,
    send_from_all,
    statuses,
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
