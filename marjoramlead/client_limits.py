"""Limits on clients that nobody controls, beyond those of the routing table."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from marjoramlead.answer_progress import (
    ANSWER_WINDOW_S,
    KEPT_ANSWER_BYTES_PER_S,
)
from marjoramlead.body_progress import (
    DISCARD_S,
    MIN_BODY_BYTES_PER_S,
    PROGRESS_WINDOW_S,
)
from marjoramlead.eviction import KEPT_BODY_BYTES_PER_S
from marjoramlead.ledger import MAX_BARRED_ATTEMPTS
from marjoramlead.read_pace import (
    CHUNKS_PER_S,
    DISCARDED_BYTES_PER_S,
    REQUESTS_AHEAD_PER_S,
)

__all__ = (
    'CLIENT_PORT_SHARE',
    'CONTROL_PORT_SHARE',
    'DEFAULT_LIMITS',
    'DEFAULT_MAX_FDS',
    'MINIMA',
    'NODE_PORT_SHARE',
    'PROBE_PORT_SHARE',
    'ProcessLimits',
    'client_limits',
)

DEFAULT_MAX_FDS: Final = 4_100
# Least that a process needs.
MIN_MAX_FDS: Final = 300
# Descriptors for files.
FILE_FDS: Final = 200
# Shares of the others that the connections to a port may have. All nodes may
# be connected to one port. The rest is for connections of the node's own.
CLIENT_PORT_SHARE: Final = 0.25
NODE_PORT_SHARE: Final = 0.3
CONTROL_PORT_SHARE: Final = 0.15
PROBE_PORT_SHARE: Final = 0.025
# Lowest values of the limits that settings may name.
MINIMA: Final[Mapping[str, float]] = MappingProxyType(
    {
        'min_body_bytes_per_s': 0,
        'body_window_s': 1,
        'chunks_per_s': 1_000,
        'max_barred_attempts': 0,
        'requests_ahead_per_s': 1,
        'answer_window_s': 1,
        'kept_answer_bytes_per_s': 0,
        'kept_body_bytes_per_s': 0,
        'discard_s': 1,
        'discarded_bytes_per_s': 1_000_000,
    }
)


class ProcessLimits(NamedTuple):
    """Limits on the clients of a process.

    Attributes
    ----------
    max_sockets
        Maximum number of open connections, in and out.
    min_body_bytes_per_s
        Lowest rate of a body; 0 for no limit.
    body_window_s
        Time over which this rate is judged, in seconds.
    chunks_per_s
        Rate at which the connections to a port may send small chunks, all
        together.
    max_barred_attempts
        Maximum number of attempts that are barred by queries at a time.
    requests_ahead_per_s
        Rate at which the connections to a port may send requests ahead of
        answers, all together.
    answer_window_s
        Time over which it is judged how a client reads, in seconds.
    kept_answer_bytes_per_s
        Rate from which an answer does not give way if memory is short.
    kept_body_bytes_per_s
        Rate from which a body does not make way for a new connection.
    discard_s
        Time for which the rest of a refused body is read, in seconds.
    discarded_bytes_per_s
        Rate at which the refused bodies of a port are read, all together.
    """

    max_sockets: int
    min_body_bytes_per_s: float = MIN_BODY_BYTES_PER_S
    body_window_s: float = PROGRESS_WINDOW_S
    chunks_per_s: float = CHUNKS_PER_S
    max_barred_attempts: float = MAX_BARRED_ATTEMPTS
    requests_ahead_per_s: float = REQUESTS_AHEAD_PER_S
    answer_window_s: float = ANSWER_WINDOW_S
    kept_answer_bytes_per_s: float = KEPT_ANSWER_BYTES_PER_S
    kept_body_bytes_per_s: float = KEPT_BODY_BYTES_PER_S
    discard_s: float = DISCARD_S
    discarded_bytes_per_s: float = DISCARDED_BYTES_PER_S


def client_limits(
    max_fds: int = DEFAULT_MAX_FDS,
    min_body_bytes_per_s: float = MIN_BODY_BYTES_PER_S,
    **others: float,
) -> ProcessLimits:
    """Return the limits of a process.

    Parameters
    ----------
    max_fds
        Descriptors that the process may have.
    min_body_bytes_per_s
        Lowest rate of a body.
    others
        Further limits, by the names of their attributes.

    Raises
    ------
    ValueError
        If a limit is too low.
    """
    if max_fds < MIN_MAX_FDS:
        raise ValueError(f'max_fds: at least {MIN_MAX_FDS}, not {max_fds}')
    named: dict[str, Any] = {
        'min_body_bytes_per_s': min_body_bytes_per_s,
        **others,
    }
    for name, limit in named.items():
        if not limit >= MINIMA[name]:
            raise ValueError(f'{name}: at least {MINIMA[name]}, not {limit}')
    return ProcessLimits(max_fds - FILE_FDS)._replace(**named)


# Limits of a process whose settings do not name any.
DEFAULT_LIMITS: Final = client_limits()
