"""Build control frames, and merge received frames into the version store."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from marjoramlead.generated.frame_types import (
    Frame,
    FrameDocument,
    FrameHead,
    FrameRefusal,
)
from marjoramlead.peers import NodeIdentity
from marjoramlead.versions import (
    OfferOutcome,
    RefusedVersion,
    Version,
    VersionStore,
    offer_version,
    record_peer_refusal,
    refusals_after,
    versions_after,
)

__all__ = (
    'MergeResult',
    'announce_missing',
    'frame_documents',
    'frame_heads',
    'frame_refusals',
    'merge_frame',
    'summary_frame',
    'wanted_heads',
)

MAX_DOCUMENTS_CHARS: Final = 512_000


class MergeResult(NamedTuple):
    """Result of merging a frame into the version store.

    Attributes
    ----------
    outcomes
        Outcome of offering each document of the frame.
    applied
        Versions that were put in force.
    refusals
        Refused versions that were not known before.
    """

    outcomes: list[OfferOutcome]
    applied: list[Version]
    refusals: list[RefusedVersion]


def summary_frame(
    identity: NodeIdentity,
    store: VersionStore,
    source_age: float,
) -> Frame:
    """Build a frame that summarises a node's state, without documents.

    Parameters
    ----------
    identity
        Identity of the sender.
    store
        Version store of the sender.
    source_age
        Seconds since any node is known to have read the source.
    """
    return {
        'host': identity.host,
        'data_centre': identity.data_centre,
        'control': identity.control_address,
        'root': store.root,
        'newest': store.newest_revision,
        'source_age_ms': int(source_age * 1000),
        'full': False,
        'heads': [],
        'wants': [],
        'documents': [],
        'refusals': [],
    }


def frame_heads(versions: Iterable[Version]) -> list[FrameHead]:
    """Build the heads of versions: name, revision and digest, no text."""
    return [
        {
            'name': version.name,
            'revision': version.revision,
            'digest': version.digest,
        }
        for version in versions
    ]


def frame_refusals(refusals: Iterable[RefusedVersion]) -> list[FrameRefusal]:
    """Build the frame entries that announce refused versions."""
    return [
        {
            'name': refusal.name,
            'revision': refusal.revision,
            'digest': refusal.digest,
            'reason': refusal.reason,
        }
        for refusal in refusals
    ]


def announce_missing(
    frame: Frame,
    store: VersionStore,
    received: Frame,
) -> None:
    """Add the heads and refusals that the sender of a frame may lack.

    Parameters
    ----------
    frame
        Frame to send, which is changed.
    store
        This node's version store.
    received
        Last frame from the peer. If ``full`` is set, all heads and refusals
        are added, not only those newer than the peer's ``newest`` revision.
    """
    if received['root'] == store.root:
        return
    known_revision = 0 if received['full'] else received['newest']
    frame['heads'] = frame_heads(versions_after(store, known_revision))
    frame['refusals'] = frame_refusals(refusals_after(store, known_revision))


def wanted_heads(store: VersionStore, frame: Frame) -> list[FrameHead]:
    """Return the heads of a frame that are newer than the versions in force."""
    return [head for head in frame['heads'] if _is_wanted(store, head)]


def frame_documents(
    store: VersionStore,
    names: Iterable[str],
) -> list[FrameDocument]:
    """Build the frame entries of documents, up to a total size.

    The first document is included even if it exceeds the limit alone, so that
    it can be sent at all. Documents that aren't in force are left out.
    """
    documents: list[FrameDocument] = []
    remaining_chars = MAX_DOCUMENTS_CHARS
    for name in names:
        version = store.in_force.get(name)
        if version is None:
            continue
        remaining_chars -= len(version.text)
        if remaining_chars < 0 and documents:
            break
        documents.append(_frame_document(version))
    return documents


def merge_frame(store: VersionStore, frame: Frame) -> MergeResult:
    """Offer a frame's documents to the store and record its refusals."""
    merged = MergeResult([], [], [])
    for document in frame['documents']:
        version = Version(**document)
        outcome = offer_version(store, version)
        merged.outcomes.append(outcome)
        if outcome is OfferOutcome.APPLIED:
            merged.applied.append(version)
    for each in frame['refusals']:
        refusal = RefusedVersion(**each)
        if record_peer_refusal(store, refusal):
            merged.refusals.append(refusal)
    return merged


def _is_wanted(store: VersionStore, head: FrameHead) -> bool:
    current = store.in_force.get(head['name'])
    if current is None:
        return True
    announced = (head['revision'], head['digest'])
    return announced > (current.revision, current.digest)


def _frame_document(version: Version) -> FrameDocument:
    return {
        'name': version.name,
        'revision': version.revision,
        'digest': version.digest,
        'text': version.text,
    }
