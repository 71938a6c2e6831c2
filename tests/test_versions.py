from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.snapshot import Snapshot
from marjoramlead.versions import (
    OfferOutcome,
    RefusedVersion,
    Version,
    VersionStore,
    make_version,
    offer_version,
    record_peer_refusal,
)
from tests.samples import contract_text

NAME = 'contracts/tamworth'


def sound(revision):
    return make_version(NAME, revision, contract_text(queue=revision))


def bad(revision):
    return make_version(NAME, revision, '{"customer": "tamworth"}')


offers = st.lists(
    st.tuples(st.integers(1, 6), st.booleans()),
    max_size=12,
)


def test_older_version_is_not_taken():
    store = VersionStore()
    assert offer_version(store, sound(5)) is OfferOutcome.APPLIED
    assert offer_version(store, sound(4)) is OfferOutcome.OLDER
    assert offer_version(store, sound(5)) is OfferOutcome.OLDER
    assert store.in_force[NAME].revision == 5


def test_bad_version_leaves_the_one_before_in_force():
    store = VersionStore()
    offer_version(store, sound(1))
    before = store.snapshot
    assert offer_version(store, bad(2)) is OfferOutcome.REFUSED
    assert store.snapshot is before
    assert store.refused[NAME].revision == 2


def test_version_before_a_refused_one_is_taken_by_a_new_node():
    store = VersionStore()
    offer_version(store, bad(2))
    assert offer_version(store, sound(1)) is OfferOutcome.APPLIED
    assert store.refused[NAME].revision == 2


def test_wrong_digest_changes_nothing():
    store = VersionStore()
    version = Version(NAME, 1, '0' * 32, contract_text())
    assert offer_version(store, version) is OfferOutcome.WRONG_DIGEST
    assert store.snapshot == Snapshot()


def test_refusal_heard_of_an_old_version_is_not_kept():
    store = VersionStore()
    offer_version(store, sound(3))
    assert not record_peer_refusal(store, RefusedVersion(NAME, 3, '0', 'why'))
    assert record_peer_refusal(store, RefusedVersion(NAME, 4, '0', 'why'))


@given(offers, st.randoms(use_true_random=False))
def test_order_of_arrival_makes_no_difference(listed, rng):
    kinds = dict(listed)
    versions = [
        sound(revision) if is_sound else bad(revision)
        for revision, is_sound in kinds.items()
    ]
    stores = [VersionStore(), VersionStore()]
    for store in stores:
        for version in versions + versions:
            offer_version(store, version)
        rng.shuffle(versions)
    assert stores[0].root == stores[1].root
    assert stores[0].in_force == stores[1].in_force


@given(offers)
def test_snapshot_swaps_whole(listed):
    store = VersionStore()
    for revision, is_sound in listed:
        held = store.snapshot
        frozen = dict(held.contracts)
        offer_version(store, sound(revision) if is_sound else bad(revision))
        assert dict(held.contracts) == frozen
