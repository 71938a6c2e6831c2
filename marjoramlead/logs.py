"""One logger a part, each with a fixed prefix."""

import logging
import sys
from typing import Final

__all__ = (
    'config_log',
    'configure_logging',
    'daemon_log',
    'gateway_log',
    'guard_log',
)

FORMAT: Final = '%(asctime)s %(levelname)s %(name)s: %(message)s'

config_log: Final = logging.getLogger('config')
daemon_log: Final = logging.getLogger('daemon')
gateway_log: Final = logging.getLogger('gateway')
guard_log: Final = logging.getLogger('guard')


def configure_logging(level: str) -> None:
    """Write log lines to standard error.

    Parameters
    ----------
    level
        ``debug``, ``info``, ``warning`` or ``error``.
    """
    logging.basicConfig(
        format=FORMAT,
        level=level.upper(),
        stream=sys.stderr,
    )
    for library in ('asyncio', 'pynng'):
        logging.getLogger(library).setLevel(logging.WARNING)
