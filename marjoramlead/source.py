"""Read the configuration source over HTTP with long polls.

Nodes never write to the source.
"""

from typing import Final, TypedDict

import msgspec
from expression import Error, Ok, Result
from twisted.web.client import Agent

from marjoramlead.agent import Listing
from marjoramlead.clock import Clock
from marjoramlead.errors import DECODING_ERRORS, Fault
from marjoramlead.http_client import fetch
from marjoramlead.versions import make_version

__all__ = 'read_listing'

LONG_POLL_MS: Final = 2000
RESPONSE_MARGIN_S: Final = 1.5
MS_PER_SECOND: Final = 1000


class _SourceDocument(TypedDict):
    name: str
    revision: int
    text: str


class _SourceListing(TypedDict):
    revision: int
    documents: list[_SourceDocument]
    names: list[str]


DECODER: Final = msgspec.json.Decoder(_SourceListing)


async def read_listing(
    http_agent: Agent,
    reactor: Clock,
    source: str,
    after: int,
) -> Result[Listing, Fault]:
    """Read the documents newer than a revision, with a long poll.

    If there are none, the source holds the response for up to
    ``LONG_POLL_MS``.

    Parameters
    ----------
    http_agent
        Twisted's HTTP client.
    reactor
        Clock for the timeout.
    source
        Base URL of the source.
    after
        Revision of the last listing; 0 reads all documents.

    Returns
    -------
    The listing, or the reason why the read failed or timed out.
    """
    query = f'after={after}&wait_ms={LONG_POLL_MS}'
    deadline = (
        reactor.seconds() + LONG_POLL_MS / MS_PER_SECOND + RESPONSE_MARGIN_S
    )
    url = f'{source}/v1/documents?{query}'
    fetched = await fetch(http_agent, reactor, url, deadline)
    return fetched.bind(_decode_listing)


def _decode_listing(body: bytes) -> Result[Listing, Fault]:
    try:
        listing = DECODER.decode(body)
    except DECODING_ERRORS as exc:
        return Error(Fault('', f'invalid response from the source: {exc}'))
    changed = [make_version(**each) for each in listing['documents']]
    names = frozenset(listing['names'])
    return Ok(Listing(listing['revision'], changed, names))
