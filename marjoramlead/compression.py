"""Compress documents that nodes send each other, by HTTP content coding.

A routing table that is new to its receivers is sent whole to each of them, and
several nodes read it over the link of one.
"""

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
# A compressed document may expand to this size at most.
MAX_DOCUMENT_BYTES: Final = 64_000_000
# Followers that wait are all answered at once, usually with the same document.
CACHED_DOCUMENTS: Final = 2


@lru_cache(maxsize=CACHED_DOCUMENTS)
def compress(document: bytes) -> bytes:
    """Compress a document."""
    return zlib.compress(document, LEVEL)


def decompress(compressed: bytes) -> Result[bytes, Fault]:
    """Decompress a document, up to a maximum size."""
    decoder = zlib.decompressobj()
    try:
        document = decoder.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        return Error(Fault('compressed document', str(exc)))
    if not decoder.eof:
        return Error(Fault('compressed document', 'truncated or too large'))
    return Ok(document)
