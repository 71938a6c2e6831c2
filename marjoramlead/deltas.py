"""Differences between two versions of a text.

Successive versions of a routing configuration differ in a few rows of several
hundred, or in one column that all rows gain or lose. Nodes send each other the
difference to a version that the receiver has, because whole texts would fill a
link of a few Mbit/s.
"""

import re
from collections import Counter
from collections.abc import Container, Iterable, Iterator, Sequence
from difflib import SequenceMatcher
from functools import lru_cache
from itertools import chain
from typing import Final, NamedTuple

__all__ = ('Edit', 'apply_delta', 'common_bytes', 'encode_delta')

# Boundary between two rows of a JSON list of lists.
ROW_BOUNDARY: Final = re.compile(rb'(?<=\],)(?=\s*\[)')
CELL_BOUNDARY: Final = b','
# Shorter parts of a row are inserted, because an encoded edit takes about as
# many bytes.
MIN_COPIED_BYTES: Final = 24
# Several followers usually need the same delta at the same time.
CACHED_DELTAS: Final = 4
# A delta is chosen among those to the versions that a receiver has.
CACHED_COMPARISONS: Final = 32


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


class _Row(NamedTuple):
    """A row, and the offset at which it begins."""

    text: bytes
    offset: int


@lru_cache(maxsize=CACHED_DELTAS)
def encode_delta(base: bytes, target: bytes) -> tuple[Edit, ...]:
    """Return the edits that turn ``base`` into ``target``."""
    edits: list[Edit] = []
    copied = range(0)
    done = 0
    for in_base, in_target in _common_ranges(base, target):
        inserted = target[done : in_target.start]
        if in_base and not inserted and in_base.start == copied.stop:
            copied = range(copied.start, in_base.stop)
            done = in_target.stop
            continue
        if copied or inserted:
            edits.append(Edit(copied.start, copied.stop, inserted))
        copied, done = in_base, in_target.stop
    return tuple(edits)


@lru_cache(maxsize=CACHED_COMPARISONS)
def common_bytes(base: bytes, target: bytes) -> int:
    """Return the size of the rows that two texts have in common."""
    common_rows = set(ROW_BOUNDARY.split(base)).intersection(
        ROW_BOUNDARY.split(target)
    )
    return sum(map(len, common_rows))


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
    """Yield the ranges of equal bytes in both texts, in order.

    The last ranges are empty and stand at the end of the texts.
    """
    base_rows = ROW_BOUNDARY.split(base)
    target_rows = ROW_BOUNDARY.split(target)
    base_offsets, target_offsets = _offsets(base_rows), _offsets(target_rows)
    for in_base, in_target in _pair_rows(base_rows, target_rows):
        yield from _common_ends(
            _Row(base_rows[in_base], base_offsets[in_base]),
            _Row(target_rows[in_target], target_offsets[in_target]),
        )
    yield _empty_at(len(base)), _empty_at(len(target))


def _empty_at(offset: int) -> range:
    return range(offset, offset)


def _pair_rows(
    base_rows: Sequence[bytes], target_rows: Sequence[bytes]
) -> Iterator[tuple[int, int]]:
    """Yield the indices of rows that are equal, or versions of each other."""
    matcher = SequenceMatcher(None, base_rows, target_rows, autojunk=False)
    base_end, target_end = 0, 0
    for in_base, in_target, size in matcher.get_matching_blocks():
        for base_index, target_index in _pair_changed(
            base_rows[base_end:in_base], target_rows[target_end:in_target]
        ):
            yield base_end + base_index, target_end + target_index
        base_end, target_end = in_base + size, in_target + size
        yield from zip(
            range(in_base, base_end), range(in_target, target_end), strict=True
        )


def _pair_changed(
    base_rows: Sequence[bytes], target_rows: Sequence[bytes]
) -> Iterator[tuple[int, int]]:
    """Yield the indices of changed rows that are versions of each other.

    They share a cell that no other row has. All rows change when a column is
    added or removed.
    """
    base_cells = [row.split(CELL_BOUNDARY) for row in base_rows]
    target_cells = [row.split(CELL_BOUNDARY) for row in target_rows]
    shared = _unique_cells(base_cells) & _unique_cells(target_cells)
    matcher = SequenceMatcher(
        None,
        [_first_shared(cells, shared) for cells in base_cells],
        [_first_shared(cells, shared) for cells in target_cells],
        autojunk=False,
    )
    for in_base, in_target, size in matcher.get_matching_blocks():
        yield from zip(
            range(in_base, in_base + size),
            range(in_target, in_target + size),
            strict=True,
        )


def _unique_cells(rows: Iterable[Iterable[bytes]]) -> set[bytes]:
    """Return the cells that occur once."""
    counts = Counter(chain.from_iterable(rows))
    return {cell for cell, count in counts.items() if count == 1}


def _first_shared(cells: Sequence[bytes], shared: Container[bytes]) -> bytes:
    """Return the first cell that identifies a row, or else its first cell."""
    return next((cell for cell in cells if cell in shared), cells[0])


def _common_ends(base: _Row, target: _Row) -> Iterator[tuple[range, range]]:
    """Yield the ranges in which two rows begin and end alike."""
    if base.text == target.text:
        length = len(base.text)
        yield _tail_of(base, length), _tail_of(target, length)
        return
    head = _common_length(base.text, target.text)
    if head >= MIN_COPIED_BYTES:
        yield _head_of(base, head), _head_of(target, head)
    ends = base.text[head:], target.text[head:]
    tail = _common_length(*(bytes(reversed(each)) for each in ends))
    if tail >= MIN_COPIED_BYTES:
        yield _tail_of(base, tail), _tail_of(target, tail)


def _head_of(row: _Row, length: int) -> range:
    return range(row.offset, row.offset + length)


def _tail_of(row: _Row, length: int) -> range:
    end = row.offset + len(row.text)
    return range(end - length, end)


def _common_length(left: bytes, right: bytes) -> int:
    """Return the length of the longest common beginning of two texts."""
    low, high = 0, min(len(left), len(right))
    if left[:high] == right[:high]:
        return high
    while low < high:
        middle = (low + high + 1) // 2
        if left[low:middle] == right[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _offsets(rows: Sequence[bytes]) -> list[int]:
    """Return the offset at which each row begins, and the total length."""
    offsets = [0]
    for row in rows:
        offsets.append(offsets[-1] + len(row))
    return offsets
