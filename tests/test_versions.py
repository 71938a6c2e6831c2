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


def valid_version(revision):
    return make_version(NAME, revision, contract_text(queue=revision))


def invalid_version(revision):
    return make_version(NAME, revision, '{"customer": "tamworth"}')


offers = st.lists(
    st.tuples(st.integers(1, 6), st.booleans()),
    max_size=12,
)


def test_older_version_is_not_applied():
    store = VersionStore()
    assert offer_version(store, valid_version(5)) is OfferOutcome.APPLIED
    assert offer_version(store, valid_version(4)) is OfferOutcome.OLDER
    assert offer_version(store, valid_version(5)) is OfferOutcome.OLDER
    assert store.in_force[NAME].revision == 5


def test_invalid_version_leaves_the_previous_one_in_force():
    store = VersionStore()
    offer_version(store, valid_version(1))
    before = store.snapshot
    assert offer_version(store, invalid_version(2)) is OfferOutcome.REFUSED
    assert store.snapshot is before
    assert store.refused[NAME].revision == 2


def test_new_node_applies_a_version_older_than_a_refused_one():
    store = VersionStore()
    offer_version(store, invalid_version(2))
    assert offer_version(store, valid_version(1)) is OfferOutcome.APPLIED
    assert store.refused[NAME].revision == 2


def test_version_with_a_wrong_digest_is_not_applied():
    store = VersionStore()
    version = Version(NAME, 1, '0' * 32, contract_text())
    assert offer_version(store, version) is OfferOutcome.WRONG_DIGEST
    assert store.snapshot == Snapshot()


def test_peer_refusal_of_an_old_version_is_ignored():
    store = VersionStore()
    offer_version(store, valid_version(3))
    assert not record_peer_refusal(store, RefusedVersion(NAME, 3, '0', 'why'))
    assert record_peer_refusal(store, RefusedVersion(NAME, 4, '0', 'why'))


@given(offers, st.randoms(use_true_random=False))
def test_order_of_arrival_does_not_matter(offered, rng):
    valid_by_revision = dict(offered)
    versions = [
        valid_version(revision) if is_valid else invalid_version(revision)
        for revision, is_valid in valid_by_revision.items()
    ]
    stores = [VersionStore(), VersionStore()]
    for store in stores:
        for version in versions + versions:
            offer_version(store, version)
        rng.shuffle(versions)
    assert stores[0].root == stores[1].root
    assert stores[0].in_force == stores[1].in_force


@given(offers)
def test_snapshot_is_not_changed_in_place(offered):
    store = VersionStore()
    for revision, is_valid in offered:
        held = store.snapshot
        frozen = dict(held.contracts)
        offer_version(
            store,
            valid_version(revision) if is_valid else invalid_version(revision),
        )
        assert dict(held.contracts) == frozen
