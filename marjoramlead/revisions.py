"""The order of the store's changes, also across restorations of the store.

After the store has been restored from a copy, it gives out revision numbers
again that it gave out before. Each restoration begins a new era, so that a
number identifies a change only together with its era.
"""

from typing import Final, NamedTuple

__all__ = ('NO_REVISION', 'Revision')


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
