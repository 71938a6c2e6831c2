"""Differences between two versions of a text.

Successive versions of a routing configuration differ in a few rows of several
hundred, or in one column that all rows gain or lose. Nodes send each other the
difference to a version that the receiver has, because whole texts would fill a
link of a few Mbit/s.

Any writer may have stored the texts, and they are compared in the event loop,
so all steps take linear time. Equal rows are found in a dictionary; texts of
more than ``MAX_ROWS`` rows are compared only at their ends.
"""

import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from functools import lru_cache
from itertools import accumulate, chain
from typing import Final, NamedTuple

__all__ = ('Edit', 'apply_delta', 'common_bytes', 'encode_delta')

# Boundary between two rows of a JSON list of lists.
ROW_BOUNDARY: Final = re.compile(rb'(?<=\],)(?=\s*\[)')
CELL_BOUNDARY: Final = b','
# Shorter parts of a row are inserted, because an encoded edit takes about as
# many bytes.
MIN_COPIED_BYTES: Final = 24
# Comparing the rows of larger texts would block the event loop for too long.
MAX_ROWS: Final = 10_000
# Several followers usually need the same delta at the same time. The caches
# are small because they keep the compared texts in memory.
CACHED_DELTAS: Final = 2
# A delta is chosen among those to the versions that a receiver has.
CACHED_COMPARISONS: Final = 8


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


class _Rows(NamedTuple):
    """A part of a text, split into rows.

    Attributes
    ----------
    offsets
        Offset in the text at which each row begins.
    """

    texts: list[bytes]
    offsets: list[int]


@lru_cache(maxsize=CACHED_DELTAS)
def encode_delta(base: bytes, target: bytes) -> tuple[Edit, ...]:
    """Return the edits that turn ``base`` into ``target``."""
    edits: list[Edit] = []
    copied = range(0)
    done = 0
    for in_base, in_target in _join_ranges(_common_ranges(base, target)):
        if copied or in_target.start > done:
            inserted = target[done : in_target.start]
            edits.append(Edit(copied.start, copied.stop, inserted))
        copied, done = in_base, in_target.stop
    if copied or done < len(target):
        edits.append(Edit(copied.start, copied.stop, target[done:]))
    return tuple(edits)


@lru_cache(maxsize=CACHED_COMPARISONS)
def common_bytes(base: bytes, target: bytes) -> int:
    """Return about how many bytes two texts have in common."""
    ends = _common_ends(base, target)
    middles = [
        text[ends.head : len(text) - ends.tail] for text in (base, target)
    ]
    common = ends.head + ends.tail
    if max(map(_count_boundaries, middles)) >= MAX_ROWS:
        return common
    base_rows, target_rows = map(ROW_BOUNDARY.split, middles)
    common_rows = set(base_rows).intersection(target_rows)
    return common + sum(map(len, common_rows))


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


class _Ends(NamedTuple):
    """Lengths of the beginning and of the end that two texts share."""

    head: int
    tail: int


def _join_ranges(
    ranges: Iterable[tuple[range, range]],
) -> Iterator[tuple[range, range]]:
    """Join ranges that follow each other in both texts; drop short ones."""
    base_run, target_run = range(0), range(0)
    for in_base, in_target in ranges:
        ends_of_run = base_run.stop, target_run.stop
        if ends_of_run == (in_base.start, in_target.start):
            base_run = range(base_run.start, in_base.stop)
            target_run = range(target_run.start, in_target.stop)
            continue
        if len(base_run) >= MIN_COPIED_BYTES:
            yield base_run, target_run
        base_run, target_run = in_base, in_target
    if len(base_run) >= MIN_COPIED_BYTES:
        yield base_run, target_run


def _common_ranges(base: bytes, target: bytes) -> Iterator[tuple[range, range]]:
    """Yield ranges of equal bytes in both texts, in the order of the target.

    They may be short, and may follow each other in both texts.
    """
    ends = _common_ends(base, target)
    yield range(ends.head), range(ends.head)
    yield from _match_middles(base, target, ends)
    yield _tail_of(base, ends.tail), _tail_of(target, ends.tail)


def _match_middles(
    base: bytes, target: bytes, ends: '_Ends'
) -> Iterator[tuple[range, range]]:
    """Yield equal ranges between the ends that both texts share."""
    middles = [
        text[ends.head : len(text) - ends.tail] for text in (base, target)
    ]
    if max(map(_count_boundaries, middles)) < MAX_ROWS:
        base_rows, target_rows = (
            _split_rows(middle, ends.head) for middle in middles
        )
        yield from _match_rows(base_rows, target_rows)


def _tail_of(text: bytes, length: int) -> range:
    return range(len(text) - length, len(text))


def _count_boundaries(text: bytes) -> int:
    return text.count(b'],')


def _split_rows(text: bytes, offset: int) -> _Rows:
    texts = ROW_BOUNDARY.split(text)
    offsets = accumulate(map(len, texts), initial=offset)
    return _Rows(texts, list(offsets)[:-1])


def _match_rows(base: _Rows, target: _Rows) -> Iterator[tuple[range, range]]:
    """Yield equal ranges of rows that are equal, or versions of each other.

    A row continues the copy of the row before it if it can, since equal rows
    may occur in several places.
    """
    index_by_row = {row: index for index, row in enumerate(base.texts)}
    changed = _match_changed(base.texts, target.texts)
    following = 0
    for number, row in enumerate(target.texts):
        if base.texts[following : following + 1] == [row]:
            index: int | None = following
        else:
            index = index_by_row.get(row, changed.get(number))
        if index is not None:
            following = index + 1
            yield from _equal_ranges(base, index, target, number)


def _match_changed(
    base_rows: Sequence[bytes], target_rows: Sequence[bytes]
) -> dict[int, int]:
    """Return the indices of base rows by those of their changed versions.

    Versions of a row share a cell that no other row has. All rows change when
    a column is added or removed.
    """
    base_cells = _cells_without(base_rows, frozenset(target_rows))
    target_cells = _cells_without(target_rows, frozenset(base_rows))
    unique = _unique_cells(base_cells.values())
    unique.intersection_update(_unique_cells(target_cells.values()))
    index_by_cell = {
        cell: index
        for index, cells in base_cells.items()
        for cell in unique.intersection(cells)
    }
    return {
        number: index_by_cell[cell]
        for number, cells in target_cells.items()
        for cell in [each for each in cells if each in unique][:1]
    }


def _cells_without(
    rows: Sequence[bytes], others: frozenset[bytes]
) -> dict[int, list[bytes]]:
    """Return the cells of the rows that are not among others, by index."""
    return {
        index: row.split(CELL_BOUNDARY)
        for index, row in enumerate(rows)
        if row not in others
    }


def _unique_cells(rows: Iterable[Iterable[bytes]]) -> set[bytes]:
    """Return the cells that occur once."""
    counts = Counter(chain.from_iterable(rows))
    return {cell for cell, count in counts.items() if count == 1}


def _equal_ranges(
    base: _Rows, index: int, target: _Rows, number: int
) -> Iterator[tuple[range, range]]:
    """Yield the ranges in which a row of each text begin and end alike."""
    in_base = _range_of(base, index)
    in_target = _range_of(target, number)
    ends = _common_ends(base.texts[index], target.texts[number])
    yield in_base[: ends.head], in_target[: ends.head]
    if ends.tail:
        yield in_base[-ends.tail :], in_target[-ends.tail :]


def _range_of(rows: _Rows, index: int) -> range:
    offset = rows.offsets[index]
    return range(offset, offset + len(rows.texts[index]))


def _common_ends(left: bytes, right: bytes) -> _Ends:
    """Return how much two texts share at both ends, without overlap."""
    size = min(len(left), len(right))
    head = _common_length(left, right)
    rest = size - head
    tail = _common_length(_reversed_end(left, rest), _reversed_end(right, rest))
    return _Ends(head, tail)


def _reversed_end(text: bytes, length: int) -> bytes:
    reversed_end = bytearray(text[len(text) - length :])
    reversed_end.reverse()
    return bytes(reversed_end)


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
