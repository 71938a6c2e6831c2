"""Build control frames, and merge those that arrive into the store."""

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
    Outcome,
    RefusedVersion,
    Version,
    VersionStore,
    heads_after,
    note_refusal,
    offer,
    refusals_after,
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
    """What a frame brought.

    Attributes
    ----------
    outcomes
        One for each document of the frame.
    applied
        Versions that are now in force.
    refusals
        Refused versions that were not known before.
    """

    outcomes: list[Outcome]
    applied: list[Version]
    refusals: list[RefusedVersion]


def summary_frame(
    identity: NodeIdentity,
    store: VersionStore,
    age: float,
) -> Frame:
    """Build a frame that says only how far this node is.

    Parameters
    ----------
    identity
        The sender.
    store
        What it holds.
    age
        Seconds since any node is known to have had an answer of the source.
    """
    return {
        'host': identity.host,
        'data_centre': identity.data_centre,
        'control': identity.control_address,
        'root': store.root,
        'newest': store.newest,
        'source_age_ms': int(age * 1000),
        'full': False,
        'heads': [],
        'wants': [],
        'documents': [],
        'refusals': [],
    }


def frame_heads(versions: Iterable[Version]) -> list[FrameHead]:
    """Announce versions without their text."""
    return [
        {
            'name': version.name,
            'revision': version.revision,
            'digest': version.digest,
        }
        for version in versions
    ]


def frame_refusals(refusals: Iterable[RefusedVersion]) -> list[FrameRefusal]:
    """Announce refused versions."""
    return [
        {
            'name': refusal.name,
            'revision': refusal.revision,
            'digest': refusal.digest,
            'reason': refusal.reason,
        }
        for refusal in refusals
    ]


def announce_missing(frame: Frame, store: VersionStore, other: Frame) -> None:
    """Announce in a frame what the sender of another one may lack."""
    if other['root'] == store.root:
        return
    known = 0 if other['full'] else other['newest']
    frame['heads'] = frame_heads(heads_after(store, known))
    frame['refusals'] = frame_refusals(refusals_after(store, known))


def wanted_heads(store: VersionStore, frame: Frame) -> list[FrameHead]:
    """List the announced versions that are newer than those held."""
    return [head for head in frame['heads'] if _is_wanted(store, head)]


def frame_documents(
    store: VersionStore,
    names: Iterable[str],
) -> list[FrameDocument]:
    """Collect wanted documents, up to the size that a frame may have."""
    documents: list[FrameDocument] = []
    room = MAX_DOCUMENTS_CHARS
    for name in names:
        held = store.in_force.get(name)
        if held is None:
            continue
        room -= len(held.text)
        if room < 0 and documents:
            break
        documents.append(_frame_document(held))
    return documents


def merge_frame(store: VersionStore, frame: Frame) -> MergeResult:
    """Offer all that a frame carries to the store."""
    merge = MergeResult([], [], [])
    for document in frame['documents']:
        version = Version(**document)
        outcome = offer(store, version)
        merge.outcomes.append(outcome)
        if outcome is Outcome.APPLIED:
            merge.applied.append(version)
    for each in frame['refusals']:
        refusal = RefusedVersion(**each)
        if note_refusal(store, refusal):
            merge.refusals.append(refusal)
    return merge


def _is_wanted(store: VersionStore, head: FrameHead) -> bool:
    held = store.in_force.get(head['name'])
    if held is None:
        return True
    order = (head['revision'], head['digest'])
    return order > (held.revision, held.digest)


def _frame_document(held: Version) -> FrameDocument:
    return {
        'name': held.name,
        'revision': held.revision,
        'digest': held.digest,
        'text': held.text,
    }
