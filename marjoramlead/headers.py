"""Names of the HTTP headers that callers, nodes and targets exchange.

Nodes add ``REQUEST_ID``, ``WAIT_MS`` and ``KIND`` to requests; a target
copies them to the calls that it makes itself. Responses that refuse a request
carry ``VERDICT`` and ``REASON``. Names that depend on the platform are in
``header_names``.
"""

from math import isfinite
from typing import Final

from twisted.web.http_headers import Headers

__all__ = (
    'BODY_GRANTED',
    'CLAIM',
    'CUSTOMER',
    'HOLDER',
    'HOP_BY_HOP',
    'IDEMPOTENCY_KEY',
    'KIND',
    'REASON',
    'RELEASE',
    'REQUEST_ID',
    'RESERVE',
    'RETRY_AFTER',
    'SERVICE',
    'VERDICT',
    'VOTE',
    'WAIT_MS',
    'first_value',
    'is_mesh_header',
    'parse_integer',
    'parse_number',
    'read_wait_s',
)

MESH_HEADER_PREFIX: Final = b'x-marjoram-'
MAX_WAIT_DIGITS: Final = 12
# Integers with more digits are not those of this protocol.
MAX_DIGITS: Final = 18
MS_PER_SECOND: Final = 1000

CUSTOMER: Final = b'X-Marjoram-Customer'
SERVICE: Final = b'X-Marjoram-Service'
REQUEST_ID: Final = b'X-Marjoram-Request-Id'
KIND: Final = b'X-Marjoram-Kind'
WAIT_MS: Final = b'X-Marjoram-Wait-Ms'
RESERVE: Final = b'X-Marjoram-Reserve'
VERDICT: Final = b'X-Marjoram-Verdict'
REASON: Final = b'X-Marjoram-Reason'
IDEMPOTENCY_KEY: Final = b'Idempotency-Key'
CLAIM: Final = b'X-Marjoram-Claim'
RELEASE: Final = b'X-Marjoram-Release'
HOLDER: Final = b'X-Marjoram-Holder'
# With "100 Continue": how many bytes of the body may be sent so far, from its
# start. Without it, the whole body may be sent.
BODY_GRANTED: Final = b'X-Marjoram-Body-Granted'
VOTE: Final = b'X-Marjoram-Vote'
RETRY_AFTER: Final = b'Retry-After'
HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def first_value(fields: Headers, name: bytes) -> str:
    """Return the first value of a header, or an empty string if absent."""
    raw = fields.getRawHeaders(name)
    return raw[0].decode('latin-1') if raw else ''


def is_mesh_header(name: bytes) -> bool:
    """Return whether a header name has the prefix of the mesh's headers."""
    return name.lower().startswith(MESH_HEADER_PREFIX)


def read_wait_s(fields: Headers) -> float | None:
    """Read how long the sender will wait for a response.

    Returns
    -------
    Seconds, or None if the header is missing or invalid.
    """
    raw = first_value(fields, WAIT_MS)
    if not raw.isdecimal() or len(raw) > MAX_WAIT_DIGITS:
        return None
    return int(raw) / MS_PER_SECOND


def parse_integer(raw: str) -> int | None:
    """Return an integer from 0 on in a header; None if it is none."""
    is_integer = raw.isascii() and raw.isdigit() and len(raw) <= MAX_DIGITS
    return int(raw) if is_integer else None


def parse_number(raw: str) -> float | None:
    """Return a finite number from 0 on in a header; None if it is none."""
    try:
        number = float(raw)
    except ValueError:
        return None
    return number if isfinite(number) and number >= 0 else None
