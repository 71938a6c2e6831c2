"""Store of document versions, and the rule for accepting a new one.

Versions of a document are ordered by the source's revision, then by digest.
A version is put in force if it is newer than the one in force and its text
is valid. Nothing else changes what is in force.
"""

from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

from marjoramlead.documents import check_document, text_digest
from marjoramlead.errors import Fault
from marjoramlead.snapshot import Snapshot, with_document, without_document

__all__ = (
    'OfferOutcome',
    'RefusedVersion',
    'Version',
    'VersionStore',
    'make_version',
    'offer_version',
    'record_peer_refusal',
    'refusals_after',
    'versions_after',
    'withdraw_unlisted',
)

ROOT_DIGEST_BYTES = 8


class Version(NamedTuple):
    """A version of a document; an empty text withdraws the document."""

    name: str
    revision: int
    digest: str
    text: str


class RefusedVersion(NamedTuple):
    """A version that is invalid according to this node or a peer."""

    name: str
    revision: int
    digest: str
    reason: str


class OfferOutcome(StrEnum):
    """Result of offering a version to a store.

    Attributes
    ----------
    APPLIED
        The version is in force.
    OLDER
        The store holds this version or a newer one, or refused this one.
    REFUSED
        The document is invalid.
    WRONG_DIGEST
        The text does not match the version's digest.
    """

    APPLIED = 'applied'
    OLDER = 'older'
    REFUSED = 'refused'
    WRONG_DIGEST = 'wrong_digest'


class VersionStore:
    """Versions in force and refused versions, by document.

    Attributes
    ----------
    in_force
        Version in force of each document, by name.
    refused
        Latest refused version of each document, by name, if it is newer than
        the version in force.
    snapshot
        The documents in force, compiled.
    newest_revision
        Highest revision of a version in force or refused.
    root
        Digest over the name, revision and digest of each of these versions.
        Stores with equal roots hold the same versions.
    """

    def __init__(self) -> None:
        self.in_force: dict[str, Version] = {}
        self.refused: dict[str, RefusedVersion] = {}
        self.snapshot = Snapshot()
        self.newest_revision = 0
        self.root = ''


def make_version(name: str, revision: int, text: str) -> Version:
    """Build a version from the text that the source published."""
    return Version(name, revision, text_digest(text), text)


def offer_version(store: VersionStore, version: Version) -> OfferOutcome:
    """Put a version in force if it is newer and valid.

    Parameters
    ----------
    store
        Store to update. It changes only if the outcome is APPLIED or REFUSED.
    version
        Version from the source or a peer. Versions may arrive in any order
        and more than once.
    """
    if not _is_newer(store, version):
        return OfferOutcome.OLDER
    if text_digest(version.text) != version.digest:
        return OfferOutcome.WRONG_DIGEST
    if not version.text:
        _put_in_force(
            store, version, without_document(store.snapshot, version.name)
        )
        return OfferOutcome.APPLIED
    checked = check_document(version.name, version.text)
    if checked.is_error():
        _record_refusal(store, version, checked.error)
        return OfferOutcome.REFUSED
    snapshot = with_document(store.snapshot, version.name, checked.ok)
    _put_in_force(store, version, snapshot)
    return OfferOutcome.APPLIED


def record_peer_refusal(store: VersionStore, refusal: RefusedVersion) -> bool:
    """Record that a peer refused a version.

    Returns
    -------
    Whether it was recorded. It is ignored if the store holds or has refused
    this version or a newer one.
    """
    held = store.in_force.get(refusal.name)
    previous = store.refused.get(refusal.name)
    order = (refusal.revision, refusal.digest)
    if held and order <= (held.revision, held.digest):
        return False
    if previous and order <= (previous.revision, previous.digest):
        return False
    store.refused[refusal.name] = refusal
    _update_summary(store)
    return True


def withdraw_unlisted(
    store: VersionStore,
    listed_names: frozenset[str],
    revision: int,
) -> list[Version]:
    """Withdraw the documents that the source no longer lists.

    Parameters
    ----------
    store
        Store to update.
    listed_names
        Names of all documents that the source listed.
    revision
        Revision of the list. Documents with a newer revision stay in force.

    Returns
    -------
    The versions that withdrew documents.
    """
    names_in_force = {
        each.name for each in store.in_force.values() if each.text
    }
    unlisted = (names_in_force | set(store.refused)) - listed_names
    withdrawn = [make_version(name, revision, '') for name in sorted(unlisted)]
    return [
        version
        for version in withdrawn
        if offer_version(store, version) is OfferOutcome.APPLIED
    ]


def versions_after(store: VersionStore, revision: int) -> list[Version]:
    """List the versions in force that are newer than a revision."""
    return [
        version
        for version in store.in_force.values()
        if version.revision > revision
    ]


def refusals_after(store: VersionStore, revision: int) -> list[RefusedVersion]:
    """List the refused versions that are newer than a revision."""
    return [
        refusal
        for refusal in store.refused.values()
        if refusal.revision > revision
    ]


def _is_newer(store: VersionStore, version: Version) -> bool:
    order = (version.revision, version.digest)
    held = store.in_force.get(version.name)
    if held is not None and order <= (held.revision, held.digest):
        return False
    refused = store.refused.get(version.name)
    return refused is None or order != (refused.revision, refused.digest)


def _put_in_force(
    store: VersionStore,
    version: Version,
    snapshot: Snapshot,
) -> None:
    refused = store.refused.get(version.name)
    if refused and refused.revision <= version.revision:
        store.refused.pop(version.name)
    store.in_force[version.name] = version
    store.snapshot = snapshot
    _update_summary(store)


def _record_refusal(
    store: VersionStore,
    version: Version,
    fault: Fault,
) -> None:
    previous = store.refused.get(version.name)
    if previous is None or previous.revision <= version.revision:
        store.refused[version.name] = RefusedVersion(
            version.name,
            version.revision,
            version.digest,
            str(fault),
        )
        _update_summary(store)


def _update_summary(store: VersionStore) -> None:
    held: list[Version | RefusedVersion] = list(store.in_force.values())
    held.extend(store.refused.values())
    store.newest_revision = max(head.revision for head in held)
    root = blake2b(digest_size=ROOT_DIGEST_BYTES)
    for line in sorted(_head_line(head) for head in held):
        root.update(line.encode())
    store.root = root.hexdigest()


def _head_line(head: Version | RefusedVersion) -> str:
    return f'{head.name} {head.revision} {head.digest}\n'
