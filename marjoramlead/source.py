"""Read and watch the configuration source over HTTP; nothing is written."""

from typing import Final, TypedDict

import msgspec
from expression import Error, Ok, Result
from twisted.web.client import Agent

from marjoramlead.agent import Listing
from marjoramlead.clock import Clock
from marjoramlead.errors import Fault
from marjoramlead.http_client import fetch
from marjoramlead.versions import make_version

__all__ = 'read_listing'

WATCH_MS: Final = 2000
GRACE_S: Final = 1.5
SECOND_MS: Final = 1000


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
    agent: Agent,
    reactor: Clock,
    source: str,
    after: int,
) -> Result[Listing, Fault]:
    """Wait up to ``WATCH_MS`` for something newer than a revision.

    Parameters
    ----------
    agent
        HTTP client.
    reactor
        Clock.
    source
        Base address of the source.
    after
        Revision of the last listing; 0 reads all at once.

    Returns
    -------
    The listing, or why there is none within the bound.
    """
    query = f'after={after}&wait_ms={WATCH_MS}'
    deadline = reactor.seconds() + WATCH_MS / SECOND_MS + GRACE_S
    url = f'{source}/v1/documents?{query}'
    fetched = await fetch(agent, reactor, url, deadline)
    return fetched.bind(_read_body)


def _read_body(raw: bytes) -> Result[Listing, Fault]:
    try:
        listing = DECODER.decode(raw)
    except msgspec.MsgspecError as exc:
        return Error(Fault('', f'answer does not decode: {exc}'))
    changed = [make_version(**each) for each in listing['documents']]
    names = frozenset(listing['names'])
    return Ok(Listing(listing['revision'], changed, names))
