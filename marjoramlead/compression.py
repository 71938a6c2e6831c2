"""Compress documents that nodes send each other, by HTTP content coding.

A routing table that is new to its receivers is sent whole to each of them, and
several nodes read it over the link of one.
"""

import sys
import zlib
from functools import lru_cache
from typing import Final

from expression import Error, Ok, Result

from marjoramlead.errors import Fault

__all__ = ('CONTENT_CODING', 'compress', 'decompress')

# The zlib format (RFC 9110, section 8.4.1.2).
CONTENT_CODING: Final = b'deflate'
# The fastest level: nodes may have half a core.
LEVEL: Final = 1
# Followers that wait are all answered at once, usually with the same document.
CACHED_DOCUMENTS: Final = 2


@lru_cache(maxsize=CACHED_DOCUMENTS)
def compress(document: bytes) -> bytes:
    """Compress a document."""
    return zlib.compress(document, LEVEL)


def decompress(compressed: bytes, max_bytes: float) -> Result[bytes, Fault]:
    """Decompress a document, up to a maximum size."""
    decoder = zlib.decompressobj()
    limit = max(1, int(min(max_bytes, sys.maxsize)))  # 0 means no limit
    try:
        document = decoder.decompress(compressed, limit)
    except zlib.error as exc:
        return Error(Fault('compressed document', str(exc)))
    if not decoder.eof:
        return Error(Fault('compressed document', 'truncated or too large'))
    return Ok(document)
