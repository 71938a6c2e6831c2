"""Decide which part of which answer is sent over the host's link next.

All answers of a node to other nodes share the link of its host. A short answer
is sent at once. A long one is a transfer: it is sent in parts, and only as much
as the link carries soon is handed to the operating system, so that what is
written next is never far behind. Nothing is queued while the link is idle.

Transfers that can still meet their deadline come first, by priority, and then
by the sum of two times: that which the rest needs and that which is left, until
the latency objective or, if that cannot be met, the deadline. Short and urgent
ones go ahead, and long ones are not put off until it is too late.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final, NamedTuple

__all__ = (
    'SHORT_ANSWER_BYTES',
    'LinkSchedule',
    'Part',
    'Transfer',
    'add_transfer',
    'backlog_s',
    'next_write_time',
    'open_schedule',
    'record_written',
    'remove_transfer',
    'set_link_rate',
    'take_part',
    'transfer_s',
    'unsent_bytes',
)

# Answers up to this size are sent at once. They take a few milliseconds of the
# narrowest links.
SHORT_ANSWER_BYTES: Final = 8_192
# Longest time for which written bytes may keep the link busy. It bounds the
# delay of a short answer, and must outlast the time to the next write.
MAX_BACKLOG_S: Final = 0.03
# The next part is written when this much of the backlog is left.
REFILL_BACKLOG_S: Final = 0.015
# Transfers are written in parts of this size, the most that one transfer is
# ahead of a more urgent one.
PART_BYTES: Final = 16_384
# Share of the link's rate that is written. The rest is for what is not counted:
# the headers of packets, acknowledgements and records that other nodes read.
# While the link is full, every byte that is not counted would stay queued.
USABLE_SHARE: Final = 0.92
# Time until transfers are tried again whose receivers do not read.
STALL_RETRY_S: Final = 0.02

# Whether the deadline can no longer be met; the priority; the time needed and
# left; the number. The lowest goes first.
_Order = tuple[bool, int, float, int]


class Transfer(NamedTuple):
    """An answer that is sent in parts.

    Attributes
    ----------
    number
        Unique number that the caller assigns and never reuses.
    length
        Bytes of the answer's body.
    priority
        Priority of its request, the lowest first.
    soft_deadline
        Latest time of arrival that meets the latency objective.
    deadline
        Time at which the request ends.
    """

    number: int
    length: int
    priority: int
    soft_deadline: float
    deadline: float


class Part(NamedTuple):
    """The bytes of a transfer to be written now."""

    number: int
    start: int
    stop: int


@dataclass(slots=True)
class _Progress:
    transfer: Transfer
    written: int = 0


@dataclass(slots=True)
class LinkSchedule:
    """What is sent over the link of a host.

    Attributes
    ----------
    bytes_per_s
        Rate at which the link is filled.
    busy_until
        When the link has carried all bytes that were written.
    transfers
        Transfers that are not written whole, by number.
    """

    bytes_per_s: float
    busy_until: float = 0
    transfers: dict[int, _Progress] = field(default_factory=dict)


def open_schedule(link_bytes_per_s: float) -> LinkSchedule:
    """Return the schedule of an idle link, by its rate."""
    schedule = LinkSchedule(link_bytes_per_s)
    set_link_rate(schedule, link_bytes_per_s)
    return schedule


def set_link_rate(schedule: LinkSchedule, link_bytes_per_s: float) -> None:
    """Change the rate of the link."""
    schedule.bytes_per_s = USABLE_SHARE * link_bytes_per_s


def record_written(schedule: LinkSchedule, size: int, now: float) -> None:
    """Record that bytes are written to the link now."""
    schedule.busy_until = (
        max(schedule.busy_until, now) + size / schedule.bytes_per_s
    )


def add_transfer(schedule: LinkSchedule, transfer: Transfer) -> None:
    """Add a transfer of which nothing has been written."""
    schedule.transfers[transfer.number] = _Progress(transfer)


def remove_transfer(schedule: LinkSchedule, number: int) -> None:
    """Remove a transfer whose receiver has left."""
    schedule.transfers.pop(number, None)


def take_part(
    schedule: LinkSchedule, stalled: Collection[int], now: float
) -> Part | None:
    """Return the next part to write, or None if the link has enough.

    The part counts as written; a transfer is removed with its last part.

    Parameters
    ----------
    schedule
        Transfers over the link.
    stalled
        Numbers of transfers that are passed over, because their receivers have
        yet to read what was written.
    now
        Present time.
    """
    if schedule.busy_until - now >= MAX_BACKLOG_S:
        return None
    ready = [
        progress
        for number, progress in schedule.transfers.items()
        if number not in stalled
    ]
    if not ready:
        return None
    progress = min(ready, key=lambda each: _order(schedule, each, now))
    transfer, start = progress.transfer, progress.written
    stop = min(transfer.length, start + PART_BYTES)
    progress.written = stop
    record_written(schedule, stop - start, now)
    if stop == transfer.length:
        schedule.transfers.pop(transfer.number)
    return Part(transfer.number, start, stop)


def next_write_time(schedule: LinkSchedule, now: float) -> float | None:
    """Return when parts should be taken again; None without transfers."""
    if not schedule.transfers:
        return None
    refill_at = schedule.busy_until - REFILL_BACKLOG_S
    return refill_at if refill_at > now else now + STALL_RETRY_S


def unsent_bytes(schedule: LinkSchedule) -> int:
    """Return how many bytes of all transfers are still to be written."""
    return sum(
        progress.transfer.length - progress.written
        for progress in schedule.transfers.values()
    )


def backlog_s(schedule: LinkSchedule, now: float) -> float:
    """Return how long the link takes for all that is to be sent."""
    written_s = max(0, schedule.busy_until - now)
    return written_s + transfer_s(schedule, unsent_bytes(schedule))


def transfer_s(schedule: LinkSchedule, size: float) -> float:
    """Return how long the link takes for a number of bytes."""
    return size / schedule.bytes_per_s


def _order(schedule: LinkSchedule, progress: _Progress, now: float) -> _Order:
    transfer = progress.transfer
    own_s = transfer_s(schedule, transfer.length - progress.written)
    end = max(now, schedule.busy_until) + own_s
    is_late = end > transfer.soft_deadline
    due = transfer.deadline if is_late else transfer.soft_deadline
    return (
        end > transfer.deadline,
        transfer.priority,
        own_s + due - now,
        transfer.number,
    )
