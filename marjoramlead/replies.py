"""Convert a target's complete response into the response to the client."""

from twisted.web.http_headers import Headers

from marjoramlead.headers import HOP_BY_HOP
from marjoramlead.http_connection import Reply
from marjoramlead.problems import BufferedResponse

__all__ = ('response_from_reply',)


def response_from_reply(reply: Reply) -> BufferedResponse:
    """Copy a target's response without its hop-by-hop headers."""
    fields = Headers()
    for name, raw in reply.headers:
        if name.lower() not in HOP_BY_HOP:
            fields.addRawHeader(name, raw)
    return BufferedResponse(reply.status, fields, reply.body, reply.hold)
