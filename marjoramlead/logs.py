"""Loggers of the node's parts; each line names its logger."""

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

LOG_FORMAT: Final = '%(asctime)s %(levelname)s %(name)s: %(message)s'

config_log: Final = logging.getLogger('config')
daemon_log: Final = logging.getLogger('daemon')
gateway_log: Final = logging.getLogger('gateway')
guard_log: Final = logging.getLogger('guard')


def configure_logging(level: str) -> None:
    """Configure logging to standard error.

    Parameters
    ----------
    level
        Minimum level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    logging.basicConfig(
        format=LOG_FORMAT,
        level=level.upper(),
        stream=sys.stderr,
    )
    for library in ('asyncio', 'pynng'):
        logging.getLogger(library).setLevel(logging.WARNING)
