"""Differences between two versions of a text.

Successive versions of a routing configuration differ in a few rows of several
hundred. Nodes send each other the difference to a version that the receiver
has, because whole texts would fill a link of a few Mbit/s.
"""

import re
from collections.abc import Iterator, Sequence
from difflib import SequenceMatcher
from functools import lru_cache
from typing import Final, NamedTuple

__all__ = ('Edit', 'apply_delta', 'encode_delta')

# Boundary between two rows of a JSON list of lists.
ROW_BOUNDARY: Final = re.compile(rb'(?<=\],)(?=\s*\[)')
# Several followers usually need the same delta at the same time.
CACHED_DELTAS: Final = 4


class Edit(NamedTuple):
    """One copy-and-insert instruction of a delta.

    Attributes
    ----------
    start, stop
        Range of bytes that is copied from the base.
    inserted
        Bytes that follow the copied ones.
    """

    start: int
    stop: int
    inserted: bytes


@lru_cache(maxsize=CACHED_DELTAS)
def encode_delta(base: bytes, target: bytes) -> tuple[Edit, ...]:
    """Return the edits that turn ``base`` into ``target``."""
    edits: list[Edit] = []
    copied = range(0)
    done = 0
    for in_base, in_target in _common_ranges(base, target):
        inserted = target[done : in_target.start]
        if copied or inserted:
            edits.append(Edit(copied.start, copied.stop, inserted))
        copied, done = in_base, in_target.stop
    return tuple(edits)


def apply_delta(base: bytes, edits: Sequence[Edit]) -> bytes:
    """Rebuild a text from its base.

    Raises
    ------
    ValueError
        If an edit copies bytes that the base does not have.
    """
    for edit in edits:
        if edit.start < 0 or edit.stop > len(base):
            raise ValueError('an edit copies bytes outside the base')
    return b''.join(
        base[start:stop] + inserted for start, stop, inserted in edits
    )


def _common_ranges(base: bytes, target: bytes) -> Iterator[tuple[range, range]]:
    """Yield the ranges of equal rows in both texts, in order.

    The last ranges are empty and stand at the end of the texts.
    """
    base_rows = ROW_BOUNDARY.split(base)
    target_rows = ROW_BOUNDARY.split(target)
    offsets = _offsets(base_rows), _offsets(target_rows)
    matcher = SequenceMatcher(None, base_rows, target_rows, autojunk=False)
    for in_base, in_target, size in matcher.get_matching_blocks():
        yield (
            range(offsets[0][in_base], offsets[0][in_base + size]),
            range(offsets[1][in_target], offsets[1][in_target + size]),
        )


def _offsets(rows: Sequence[bytes]) -> list[int]:
    """Return the offset at which each row begins, and the total length."""
    offsets = [0]
    for row in rows:
        offsets.append(offsets[-1] + len(row))
    return offsets
