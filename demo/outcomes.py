"""Record the results of checks, and wait for conditions."""

import sys
import time
from collections.abc import Callable

from marjoramlead.errors import MarjoramleadError

__all__ = ('CheckReport', 'wait_until')

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1


class CheckReport:
    """Prints the result of each check and counts the failures."""

    def __init__(self) -> None:
        self.failure_count = 0

    def record(self, description: str, *, passed: bool) -> None:
        """Print the result of one check, and count it if it failed."""
        self.failure_count += not passed
        mark = 'ok    ' if passed else 'FAILED'
        sys.stdout.write(f'{mark} {description}\n')


def wait_until(
    condition: Callable[[], bool],
    timeout_s: float = START_TIMEOUT_S,
) -> bool:
    """Poll a condition, and return whether it held before the timeout.

    Errors of nodes that are not up yet count as false.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if condition():
                return True
        except MarjoramleadError:
            time.sleep(POLL_INTERVAL_S)
        time.sleep(POLL_INTERVAL_S)
    return False
