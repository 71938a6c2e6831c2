"""Log lines about restorations of the store."""

from typing import Final

from marjoramlead.events import emit
from marjoramlead.mesh_state import MeshState
from marjoramlead.revisions import NO_REVISION, Revision

__all__ = ('log_restoration',)

MAX_LOGGED_KEYS: Final = 10


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
