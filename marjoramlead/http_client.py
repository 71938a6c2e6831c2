"""Send HTTP requests to nodes and targets, on ``twisted.web.client``."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple, Protocol, cast

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionAborted,
    DNSLookupError,
)
from twisted.internet.interfaces import (
    IAddress,
    IProtocol,
    IProtocolFactory,
    IStreamClientEndpoint,
)
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol as BodyProtocol
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import (
    IAgentEndpointFactory,
    IBodyProducer,
    IResponse,
)
from zope.interface import implementer

from marjoramlead.bodies import RequestBody
from marjoramlead.clock import Clock
from marjoramlead.errors import Fault
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'HttpRequest',
    'Response',
    'discard_body',
    'fetch',
    'make_agent',
    'send_request',
)

CONNECT_TIMEOUT_S: Final = 1.0
IDLE_TIMEOUT_S: Final = 600
CONNECT_ERRORS: Final = (ConnectError, ConnectingCancelledError, DNSLookupError)


class Response(Protocol):
    """The head of an answer, whose body can be taken once."""

    code: int
    headers: Headers
    length: object

    def deliverBody(self, protocol: BodyProtocol) -> None:
        """Give the body to a protocol as it arrives."""


class HttpRequest(NamedTuple):
    """A request to send.

    Attributes
    ----------
    deadline
        When to give up waiting for the head of the answer, on the reactor's
        clock.
    """

    method: bytes
    url: bytes
    headers: Headers
    body: RequestBody | None
    deadline: float


BuildProtocol = Callable[[IAddress | None], BodyProtocol]
OnPeerClose = Callable[[], None]
Connect = Callable[[IProtocolFactory], 'Deferred[IProtocol]']


class _WatchedFactory(Factory):
    def __init__(
        self, inner: IProtocolFactory, on_peer_close: OnPeerClose
    ) -> None:
        self._inner = inner
        self._on_peer_close = on_peer_close

    def buildProtocol(self, addr: IAddress | None) -> BodyProtocol:
        """Build the inner protocol, and listen for its end."""
        build = cast(BuildProtocol, self._inner.buildProtocol)
        built = build(addr)
        lose = built.connectionLost

        def on_connection_lost(reason: Failure) -> None:
            lose(reason)
            if not reason.check(ConnectionAborted):
                self._on_peer_close()

        built.connectionLost = on_connection_lost  # type: ignore[method-assign, assignment]
        return built


class _WatchedEndpoint:
    def __init__(
        self, inner: IStreamClientEndpoint, on_peer_close: OnPeerClose
    ) -> None:
        self._inner = inner
        self._on_peer_close = on_peer_close

    def connect(self, factory: IProtocolFactory) -> Deferred[IProtocol]:
        """Connect with a factory that is watched."""
        connect = cast(Connect, self._inner.connect)
        return connect(watch_peer_close(factory, self._on_peer_close))


@implementer(IAgentEndpointFactory)
class _IpEndpoints:
    """Connects to IP numbers, without the work that host names need."""

    def __init__(
        self, reactor: Clock, on_peer_close: OnPeerClose | None
    ) -> None:
        self._reactor = reactor
        self._on_peer_close = on_peer_close

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:
        """Return what connects to an address."""
        address = uri.host.decode('ascii').strip('[]')
        kind = TCP6ClientEndpoint if ':' in address else TCP4ClientEndpoint
        endpoint = cast(
            IStreamClientEndpoint,
            kind(self._reactor, address, uri.port, CONNECT_TIMEOUT_S),
        )
        if self._on_peer_close is None:
            return endpoint
        watching = _WatchedEndpoint(endpoint, self._on_peer_close)
        return cast(IStreamClientEndpoint, watching)


def watch_peer_close(
    factory: IProtocolFactory, on_peer_close: OnPeerClose
) -> IProtocolFactory:
    """Make a factory whose connections tell when the peer closes them."""
    return cast(IProtocolFactory, _WatchedFactory(factory, on_peer_close))


def make_agent(
    reactor: Clock,
    connections: int,
    on_peer_close: OnPeerClose | None = None,
) -> Agent:
    """Build a client that keeps up to so many idle connections a peer.

    The pool never sends a request again by itself: whether that is safe is
    decided by the contract.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = connections
    pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
    pool.retryAutomatically = False
    return Agent.usingEndpointFactory(
        reactor, _IpEndpoints(reactor, on_peer_close), pool
    )


async def send_request(
    agent: Agent,
    reactor: Clock,
    outgoing: HttpRequest,
) -> Result[Response, Refusal]:
    """Send a request and wait for the head of its answer.

    Returns
    -------
    The response, or why there is none and whether the request may have run.
    """
    pending = agent.request(
        outgoing.method,
        outgoing.url,
        outgoing.headers,
        cast(IBodyProducer, outgoing.body),
    )
    left = max(0, outgoing.deadline - reactor.seconds())
    timer = reactor.callLater(left, pending.cancel)
    try:
        return Ok(cast(Response, await pending))
    except CONNECT_ERRORS:
        return Error(Refusal(Reason.CONNECT_FAILED, Verdict.NOT_RUN))
    except Exception:  # every other failure leaves doubt
        return Error(_failure_after_send(is_late=not timer.active()))
    finally:
        if timer.active():
            timer.cancel()


async def fetch(
    agent: Agent,
    reactor: Clock,
    url: str,
    deadline: float,
) -> Result[bytes, Fault]:
    """Get a whole body by its address, or say why there is none."""
    outgoing = HttpRequest(b'GET', url.encode(), Headers(), None, deadline)
    sent = await send_request(agent, reactor, outgoing)
    if sent.is_error():
        return Error(Fault('', f'no answer: {sent.error.reason}'))
    if sent.ok.code != HTTPStatus.OK:
        discard_body(sent.ok)
        return Error(Fault('', f'answered with status {sent.ok.code}'))
    pending = readBody(cast(IResponse, sent.ok))
    timer = reactor.callLater(
        max(0, deadline - reactor.seconds()),
        pending.cancel,
    )
    try:
        return Ok(await pending)
    except Exception as exc:  # a cut answer counts as none
        return Error(Fault('', f'answer was late or cut: {exc}'))
    finally:
        if timer.active():
            timer.cancel()


def discard_body(response: Response) -> None:
    """Read a body to its end and forget it, so the connection can serve."""
    response.deliverBody(BodyProtocol())


def _failure_after_send(*, is_late: bool) -> Refusal:
    reason = Reason.SILENT if is_late else Reason.TARGET_FAILED
    return Refusal(reason, Verdict.MAY_HAVE_RUN)
