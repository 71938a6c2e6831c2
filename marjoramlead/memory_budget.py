"""Bound the memory that messages take in a node at the same time.

The load is many large bodies at a time, in both directions, and answers that
do not end. Each message that arrives or waits to be sent holds a part of the
budget while its bytes are in memory. A message that does not fit is refused.
To make room for smaller messages, the largest arriving answer is given up, as
it is the one most likely never to end.

This module does no I/O.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil
from typing import Final
from weakref import ref

__all__ = (
    'Hold',
    'MemoryBudget',
    'body_charge',
    'budget_capacity',
    'free_bytes',
    'grow',
    'held_bytes',
    'open_hold',
    'release',
    'resize',
    'resize_body',
    'set_arrived',
    'set_arriving',
    'set_read',
    'set_unread',
    'unlimited_budget',
)

# Memory of the program without messages: code, routing tables, records of the
# store and connections.
PROGRAM_BYTES: Final = 56_000_000
# Most copies of a message that are in memory at the same time: its parts, the
# whole, and what the transport has not sent.
MAX_COPIES: Final = 3
# A larger body of a request is kept as one block and sent in slices
# (``body_sender``), so it takes its own length and a little more once.
MAX_COPIED_BYTES: Final = 262_144
BODY_COPIES: Final = 1.1
# Share of the budget that bodies leave to requests with a small body or none.
RESERVED_SHARE: Final = 0.125
SMALL_BODY_BYTES: Final = 16_384
# Smallest budget, for hosts with less memory than the program should have.
MIN_CAPACITY_BYTES: Final = 4_000_000
UNLIMITED: Final = float('inf')


@dataclass(slots=True)
class MemoryBudget:
    """Limit on the memory of all messages of a node, and its present use.

    Attributes
    ----------
    capacity, used
        Bytes that messages may take, and bytes that they take now.
    arriving
        Holds of answers that are arriving, which may be given up.
    unread
        Holds of answers that their clients read slowly, which give way first.
    given_up
        Number of answers that gave way to smaller ones.
    refused
        Number of messages that did not fit.
    watches
        Weak references to all holds. They are kept here, as the callback of one
        that becomes garbage together with its hold is not called.
    """

    capacity: float
    used: int = 0
    arriving: 'set[Hold]' = field(default_factory=set)
    unread: 'set[Hold]' = field(default_factory=set)
    given_up: int = 0
    refused: int = 0
    watches: 'set[_Watch]' = field(default_factory=set, repr=False)


def _keep() -> None:
    """Do nothing; the default for messages that are never given up."""


class _Watch(ref['Hold']):
    """A weak reference to a hold, which knows its charge."""

    __slots__ = ('charge',)

    charge: '_Charge'


@dataclass(slots=True)
class _Charge:
    budget: MemoryBudget
    size: int = 0


@dataclass(slots=True, eq=False, weakref_slot=True)
class Hold:
    """The memory of one message, released with the last reference to it.

    Attributes
    ----------
    give_up
        Ends the arrival of the message.
    """

    charge: _Charge
    give_up: Callable[[], None] = _keep


def budget_capacity(memory_bytes: float) -> float:
    """Return the bytes that messages may have in a process.

    Parameters
    ----------
    memory_bytes
        Memory that the process must not exceed.
    """
    left = (memory_bytes - PROGRAM_BYTES) / MAX_COPIES
    return max(MIN_CAPACITY_BYTES, left)


def body_charge(length: int) -> int:
    """Return the bytes that the body of a request counts as.

    Parameters
    ----------
    length
        Its length, or what has arrived of it, in bytes.
    """
    beyond = max(0, length - MAX_COPIED_BYTES)
    return length - beyond + ceil(beyond * BODY_COPIES / MAX_COPIES)


def unlimited_budget() -> MemoryBudget:
    """Return a budget that everything fits into."""
    return MemoryBudget(UNLIMITED)


def free_bytes(budget: MemoryBudget) -> float:
    """Return how many bytes fit without another message giving way."""
    return max(0, budget.capacity - budget.used)


def open_hold(budget: MemoryBudget) -> Hold:
    """Return a hold on no bytes."""
    charge = _Charge(budget)
    hold = Hold(charge)
    watch = _Watch(hold, _on_dropped)
    watch.charge = charge
    budget.watches.add(watch)
    return hold


def held_bytes(hold: Hold) -> int:
    """Return the size of a message."""
    return hold.charge.size


def grow(hold: Hold, size: int) -> bool:
    """Add to the size of a message; return whether it fits."""
    return resize(hold, hold.charge.size + size)


def resize(hold: Hold, size: int) -> bool:
    """Change the size of a message; return whether it fits.

    The size is not changed if it does not fit. Answers that are read slowly
    give way to it, and larger ones that are arriving.
    """
    charge = hold.charge
    budget = charge.budget
    while _exceeds(budget, size - charge.size):
        if budget.unread:
            _give_up(budget, max(budget.unread, key=held_bytes))
            continue
        largest = max(budget.arriving, key=held_bytes, default=hold)
        if largest is hold or held_bytes(largest) < size:
            budget.refused += 1
            return False
        _give_up(budget, largest)
    budget.used += size - charge.size
    charge.size = size
    return True


def resize_body(hold: Hold, size: int) -> bool:
    """Change the size of a request with its body; return whether it fits.

    A part of the budget is left to requests with less.
    """
    budget = hold.charge.budget
    added = size - hold.charge.size
    left = budget.capacity * (1 - RESERVED_SHARE)
    while budget.unread and added > 0 and budget.used + added > left:
        _give_up(budget, max(budget.unread, key=held_bytes))
    if added > 0 and size > SMALL_BODY_BYTES and budget.used + added > left:
        budget.refused += 1
        return False
    return resize(hold, size)


def release(hold: Hold) -> None:
    """Release all bytes of a message."""
    _release_charge(hold.charge)


def set_arriving(hold: Hold, give_up: Callable[[], None]) -> None:
    """Note that the message is arriving, and may be given up."""
    hold.give_up = give_up
    hold.charge.budget.arriving.add(hold)


def set_unread(hold: Hold, give_up: Callable[[], None]) -> None:
    """Note that a client reads an answer slowly, so that it may be given up."""
    hold.give_up = give_up
    hold.charge.budget.unread.add(hold)


def set_read(hold: Hold) -> None:
    """Note that a client reads an answer, or that it is not sent any more."""
    hold.charge.budget.unread.discard(hold)


def set_arrived(hold: Hold) -> None:
    """Note that the message has arrived, or that its arrival has ended."""
    hold.charge.budget.arriving.discard(hold)


def _give_up(budget: MemoryBudget, hold: Hold) -> None:
    budget.given_up += 1
    set_arrived(hold)
    set_read(hold)
    release(hold)
    hold.give_up()


def _exceeds(budget: MemoryBudget, added: int) -> bool:
    return added > 0 and budget.used + added > budget.capacity


def _on_dropped(watch: _Watch) -> None:
    """Release the bytes of a hold that nobody refers to any more."""
    charge = watch.charge
    charge.budget.watches.discard(watch)
    _release_charge(charge)


def _release_charge(charge: _Charge) -> None:
    charge.budget.used -= charge.size
    charge.size = 0
