"""The order of the store's changes, also across restorations of the store.

After the store has been restored from a copy, it gives out revision numbers
again that it gave out before. Each restoration begins a new era, so that a
number identifies a change only together with its era.
"""

from typing import Final, NamedTuple

__all__ = ('NO_REVISION', 'Revision', 'may_follow')


class Revision(NamedTuple):
    """A revision of the store; a later one compares greater.

    Attributes
    ----------
    era
        Number of times that the store has been restored; 0 if it does not say.
    number
        The store's own count of changes.
    """

    era: int
    number: int


# Before all changes.
NO_REVISION: Final = Revision(0, 0)


def may_follow(
    known: Revision, revision: Revision, *, is_complete: bool
) -> bool:
    """Return whether records may be applied after those already known.

    Records of an earlier era may have been replaced or deleted since. A later
    era begins with all its records, because those of the earlier era that are
    not among them are gone.

    Parameters
    ----------
    known
        Revision up to which all changes are known.
    revision
        Revision that the records lead up to.
    is_complete
        Whether the records include all that exist at that revision.
    """
    if known == NO_REVISION or revision.era == known.era:
        return True
    return is_complete and revision.era > known.era
