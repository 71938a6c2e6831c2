"""Convert a target's complete response into the response to the client."""

from functools import lru_cache
from typing import Final

from twisted.web.http_headers import Headers

from marjoramlead.headers import HOP_BY_HOP
from marjoramlead.http_connection import Reply
from marjoramlead.http_messages import HeaderList
from marjoramlead.problems import BufferedResponse

__all__ = ('response_from_reply',)

MAX_CACHED_NAMES: Final = 1024


class _ParsedFields(Headers):
    """Headers that a parser has checked, so that they are not checked again."""

    __slots__ = ()

    def __init__(self, fields: HeaderList) -> None:
        super().__init__()
        for name, raw in fields:
            canonical = _canonical_name(name)
            if canonical:
                self._rawHeaders.setdefault(canonical, []).append(raw)


def response_from_reply(reply: Reply) -> BufferedResponse:
    """Copy a target's response without its hop-by-hop headers."""
    fields = _ParsedFields(reply.headers)
    return BufferedResponse(reply.status, fields, reply.body, reply.hold)


@lru_cache(maxsize=MAX_CACHED_NAMES)
def _canonical_name(name: bytes) -> bytes:
    """Return the name as ``Headers`` writes it; empty if it is hop-by-hop."""
    if name.lower() in HOP_BY_HOP:
        return b''
    return next(Headers({name: [b'']}).getAllRawHeaders())[0]
