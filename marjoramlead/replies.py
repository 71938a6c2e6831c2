"""Turn a target's whole answer into one for the client."""

from twisted.web.http_headers import Headers

from marjoramlead.headers import HOP_BY_HOP
from marjoramlead.http_connection import Reply
from marjoramlead.problems import Answer

__all__ = ('answer_of',)


def answer_of(reply: Reply) -> Answer:
    """Copy an answer, less the headers that concern one connection only."""
    fields = Headers()
    for name, raw in reply.headers:
        if name.lower() not in HOP_BY_HOP:
            fields.addRawHeader(name, raw)
    return Answer(reply.status, fields, reply.body)
