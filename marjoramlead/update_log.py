"""Log lines about what a node has learnt from the store or another node."""

from typing import Final

from marjoramlead.events import emit
from marjoramlead.mesh_state import MeshState
from marjoramlead.record_log import Record
from marjoramlead.revisions import NO_REVISION, Revision

__all__ = ('log_changes', 'log_restoration')

MAX_LOGGED_KEYS: Final = 10


def log_changes(
    mesh_state: MeshState, changed: list[Record], origin: str
) -> None:
    """Log the records that have changed, and what is known since."""
    table = mesh_state.table
    emit(
        'news',
        origin=origin,
        revision=mesh_state.revision.number,
        era=mesh_state.revision.era,
        keys=[record.key for record in changed[:MAX_LOGGED_KEYS]],
        count=len(changed),
        bytes=sum(len(record.body or b'') for record in changed),
        version=table.version if table else 0,
    )


def log_restoration(
    mesh_state: MeshState, known: Revision, origin: str
) -> None:
    """Log that the store was restored, and what is kept against its copy.

    Nothing is logged if ``known``, the revision known before, is of the same
    era.
    """
    revision = mesh_state.revision
    if known == NO_REVISION or revision.era == known.era:
        return
    emit(
        'store_restored',
        origin=origin,
        era=revision.era,
        revision=revision.number,
        known_era=known.era,
        known=known.number,
    )
    deferred = sorted(mesh_state.restoration.deferred)
    held = sorted(mesh_state.held_until)
    if deferred or held:
        emit(
            'deferred',
            keys=deferred[:MAX_LOGGED_KEYS],
            count=len(deferred),
            held_keys=held[:MAX_LOGGED_KEYS],
            held_count=len(held),
        )
