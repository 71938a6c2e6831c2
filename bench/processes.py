"""What processes have used, as the operating system counts it."""

import os
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

__all__ = ('Usage', 'measure_usage')

TICKS_S = os.sysconf('SC_CLK_TCK')
KILOBYTE_MB = 1 / 1024


class Usage(NamedTuple):
    """Sums over some processes.

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
    """Add up what processes have used."""
    listed = list(pids)
    return Usage(
        sum(_cpu_s(pid) for pid in listed),
        sum(_resident_mb(pid) for pid in listed),
    )


def _cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_S


def _resident_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) * KILOBYTE_MB
    return 0
