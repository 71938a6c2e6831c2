"""State outcomes, and wait for what has to come about."""

import sys
import time
from collections.abc import Callable

from marjoramlead.errors import MarjoramleadError

__all__ = ('CheckReport', 'wait_until')

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1


class CheckReport:
    """The outcomes stated so far, and whether they passed."""

    def __init__(self) -> None:
        self.failure_count = 0

    def record(self, outcome: str, *, passed: bool) -> None:
        """Print one outcome and remember whether it passed."""
        self.failure_count += not passed
        mark = 'ok    ' if passed else 'FAILED'
        sys.stdout.write(f'{mark} {outcome}\n')


def wait_until(
    condition: Callable[[], bool],
    timeout_s: float = START_TIMEOUT_S,
) -> bool:
    """Wait for a condition, for a bounded time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if condition():
                return True
        except MarjoramleadError:
            time.sleep(POLL_INTERVAL_S)
        time.sleep(POLL_INTERVAL_S)
    return False
