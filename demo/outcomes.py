"""State outcomes, and wait for what has to come about."""

import sys
import time
from collections.abc import Callable

from marjoramlead.errors import MarjoramleadError

__all__ = ('Account', 'wait_until')

START_LIMIT_S = 20.0
LOOK_S = 0.1


class CheckReport:
    """The outcomes stated so far, and whether they held."""

    def __init__(self) -> None:
        self.failed = 0

    def state(self, outcome: str, *, held: bool) -> None:
        """Print one outcome and remember whether it held."""
        self.failed += not held
        mark = 'ok    ' if held else 'FAILED'
        sys.stdout.write(f'{mark} {outcome}\n')


def wait_until(
    condition: Callable[[], bool],
    limit: float = START_LIMIT_S,
) -> bool:
    """Wait for a condition, for a bounded time."""
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        try:
            if condition():
                return True
        except MarjoramleadError:
            time.sleep(LOOK_S)
        time.sleep(LOOK_S)
    return False
