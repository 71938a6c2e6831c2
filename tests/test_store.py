"""The client of the store: eras of its answers."""

import json

import pytest
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from marjoramlead.http_server import make_site
from marjoramlead.memory_budget import unlimited_budget
from marjoramlead.metrics import Metrics
from marjoramlead.platform.store import PlatformStore
from marjoramlead.problems import BufferedResponse
from standins.platform_store import (
    PAGE_SIZE,
    handle_store,
    put,
    restore,
    snapshot,
)
from tests.platform_mesh import STORE, PlatformMesh
from tests.samples import rev

WAIT_S = 0.5


def store_client():
    """Return a mesh whose store has some records, and a client of it."""
    mesh = PlatformMesh()
    for number in range(3):
        put(mesh.store, f'op/evacuate/{number}', {})
    return mesh, PlatformStore(
        mesh.reactor, STORE, Metrics(), unlimited_budget(), mesh.connect
    )


def answer_of(mesh, call):
    """Return the result of a call that was made."""
    results = []
    Deferred.fromCoroutine(call).addCallback(results.append)
    mesh.advance(2 * WAIT_S)
    return results[0]


def calls_after(client, after):
    return [client.watch(after, WAIT_S), client.read_latest(after)]


def test_records_carry_the_era_of_the_answer():
    mesh, client = store_client()
    restore(mesh.store, snapshot(mesh.store))
    listing = answer_of(mesh, client.list_all()).ok
    assert listing.revision == rev(4, era=2)
    assert [record.revision for record in listing.records] == [
        rev(2, era=2),
        rev(3, era=2),
        rev(4, era=2),
    ]
    for call in calls_after(client, rev(3, era=2)):
        update = answer_of(mesh, call).ok
        assert update.revision == rev(4, era=2)


@pytest.mark.parametrize('number', [2, 4, 9])
def test_changes_after_a_revision_of_an_earlier_era_are_not_taken(number):
    mesh, client = store_client()
    restore(mesh.store, snapshot(mesh.store))
    for call in calls_after(client, rev(number, era=1)):
        assert answer_of(mesh, call).error.path == 'history'


def test_watch_that_the_store_holds_over_a_restoration_is_not_taken():
    mesh, client = store_client()
    results = []
    watch = Deferred.fromCoroutine(client.watch(rev(4, era=1), WAIT_S))
    watch.addCallback(results.append)
    mesh.advance(WAIT_S / 2)
    restore(mesh.store, snapshot(mesh.store), holds_watches=True)
    mesh.advance(WAIT_S)
    assert results[0].error.path == 'history'


def test_answer_of_an_earlier_era_is_a_fault():
    mesh, client = store_client()
    for call in calls_after(client, rev(2, era=2)):
        assert answer_of(mesh, call).error.path == 'era'


def test_listing_over_a_restoration_is_a_fault():
    mesh, client = store_client()
    for number in range(PAGE_SIZE):
        put(mesh.store, f'servers/{number}', {})
    copy = snapshot(mesh.store)

    def answer_and_restore(req):
        handle_store(mesh.store, req)
        restore(mesh.store, copy)

    mesh.net.sites[STORE] = make_site(answer_and_restore, mesh.reactor)
    assert answer_of(mesh, client.list_all()).error.path == 'listing'


@pytest.mark.parametrize('era', ['', '-1', 'x', '1.5', '\xb2'])
def test_unreadable_era_counts_as_none(era):
    mesh, client = store_client()
    mesh.store.era = era
    assert answer_of(mesh, client.list_all()).ok.revision == rev(4)


def answer_with(mesh, document):
    """Let the store answer each call with a document."""
    raw = json.dumps(document).encode()

    def answer(req):
        req.send_response(BufferedResponse(200, Headers(), raw))

    mesh.net.sites[STORE] = make_site(answer, mesh.reactor)


@pytest.mark.parametrize(
    'document',
    [
        {},
        [],
        {'CurrentRev': '4', 'items': []},
        {'CurrentRev': 4},
        {'CurrentRev': 4, 'items': {}},
        {'CurrentRev': 4, 'items': [], 'MorePages': True},
        {'CurrentRev': 4, 'items': [{'Key': 5}], 'MorePages': True},
    ],
)
def test_listing_in_another_shape_is_a_fault(document):
    mesh, client = store_client()
    answer_with(mesh, document)
    assert answer_of(mesh, client.list_all()).is_error()


def test_item_in_another_shape_is_left_out():
    mesh, client = store_client()
    sound = {'Key': 'op/evacuate/a', 'Value': 'e30=', 'Revision': 3}
    odd = [3, {}, {'Key': 'a'}, {'Key': 4, 'Revision': 1}, {'Revision': 2}]
    answer_with(mesh, {'CurrentRev': 4, 'items': [*odd, sound]})
    listing = answer_of(mesh, client.list_all()).ok
    assert [record.key for record in listing.records] == ['op/evacuate/a']
