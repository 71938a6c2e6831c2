"""Processor time and memory of processes, as the kernel reports them."""

import os
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

__all__ = ('Usage', 'measure_usage')

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
MB_PER_KILOBYTE = 1 / 1024


class Usage(NamedTuple):
    """Resources used by some processes together.

    Attributes
    ----------
    cpu_s
        Processor seconds since their start.
    resident_mb
        Resident memory in megabytes.
    """

    cpu_s: float
    resident_mb: float


def measure_usage(pids: Iterable[int]) -> Usage:
    """Sum the processor time and resident memory of processes."""
    listed = list(pids)
    return Usage(
        sum(_cpu_s(pid) for pid in listed),
        sum(_resident_mb(pid) for pid in listed),
    )


def _cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    # The fields utime and stime, in clock ticks; see proc(5).
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _resident_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) * MB_PER_KILOBYTE
    return 0
