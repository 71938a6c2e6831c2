"""Findings of a review of the restored store: where else old records count."""

from standins.platform_store import restore, snapshot
from tests.test_feed import versions
from tests.test_restored_store import (
    ADDED,
    CONTACT_S,
    fleet,
    lose_store,
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
