"""HTTP client for nodes and targets, based on ``twisted.web.client``."""

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
# Errors raised before any part of a request has been sent.
CONNECT_ERRORS: Final = (ConnectError, ConnectingCancelledError, DNSLookupError)


class Response(Protocol):
    """The head of a response, whose body can be read once."""

    code: int
    headers: Headers
    length: object

    def deliverBody(self, protocol: BodyProtocol) -> None:
        """Deliver the body to a protocol as it arrives."""


class HttpRequest(NamedTuple):
    """A request to send.

    Attributes
    ----------
    deadline
        Time by which the head of the response must arrive, in seconds on
        the reactor's clock.
    """

    method: bytes
    url: bytes
    headers: Headers
    body: RequestBody | None
    deadline: float


BuildProtocol = Callable[[IAddress | None], BodyProtocol]
OnConnectionClose = Callable[[], None]
Connect = Callable[[IProtocolFactory], 'Deferred[IProtocol]']


class _WatchedFactory(Factory):
    def __init__(
        self, inner: IProtocolFactory, on_connection_close: OnConnectionClose
    ) -> None:
        self._inner = inner
        self._on_connection_close = on_connection_close

    def buildProtocol(self, addr: IAddress | None) -> BodyProtocol:
        """Build the inner protocol and intercept its ``connectionLost``."""
        build = cast(BuildProtocol, self._inner.buildProtocol)
        protocol = build(addr)
        inner_connection_lost = protocol.connectionLost

        def on_connection_lost(reason: Failure) -> None:
            inner_connection_lost(reason)
            if not reason.check(ConnectionAborted):
                self._on_connection_close()

        protocol.connectionLost = on_connection_lost  # type: ignore[method-assign, assignment]
        return protocol


class _WatchedEndpoint:
    def __init__(
        self,
        inner: IStreamClientEndpoint,
        on_connection_close: OnConnectionClose,
    ) -> None:
        self._inner = inner
        self._on_connection_close = on_connection_close

    def connect(self, factory: IProtocolFactory) -> Deferred[IProtocol]:
        """Connect, and call back when the connection closes."""
        connect = cast(Connect, self._inner.connect)
        return connect(
            watch_connection_close(factory, self._on_connection_close)
        )


@implementer(IAgentEndpointFactory)
class _IpEndpoints:
    """Endpoints for IP addresses, without the cost of name resolution."""

    def __init__(
        self, reactor: Clock, on_connection_close: OnConnectionClose | None
    ) -> None:
        self._reactor = reactor
        self._on_connection_close = on_connection_close

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:
        """Return the endpoint for an address."""
        address = uri.host.decode('ascii').strip('[]')
        endpoint_class = (
            TCP6ClientEndpoint if ':' in address else TCP4ClientEndpoint
        )
        endpoint = cast(
            IStreamClientEndpoint,
            endpoint_class(self._reactor, address, uri.port, CONNECT_TIMEOUT_S),
        )
        if self._on_connection_close is None:
            return endpoint
        watched_endpoint = _WatchedEndpoint(endpoint, self._on_connection_close)
        return cast(IStreamClientEndpoint, watched_endpoint)


def watch_connection_close(
    factory: IProtocolFactory, on_connection_close: OnConnectionClose
) -> IProtocolFactory:
    """Wrap a factory to call back when one of its connections closes.

    Closing by either side counts, and so does a broken connection; a
    connection that this side aborts does not.
    """
    return cast(IProtocolFactory, _WatchedFactory(factory, on_connection_close))


def make_agent(
    reactor: Clock,
    max_idle_per_peer: int,
    on_connection_close: OnConnectionClose | None = None,
) -> Agent:
    """Build a client with a pool of persistent connections.

    The pool never retries a request by itself, because the contract decides
    which requests are safe to retry.

    Parameters
    ----------
    reactor
        Clock that also makes connections.
    max_idle_per_peer
        Maximum number of idle connections kept to each peer.
    on_connection_close
        Called when a connection closes, whichever side closes it, unless this
        side aborts it.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = max_idle_per_peer
    pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
    pool.retryAutomatically = False
    return Agent.usingEndpointFactory(
        reactor, _IpEndpoints(reactor, on_connection_close), pool
    )


async def send_request(
    agent: Agent,
    reactor: Clock,
    http_request: HttpRequest,
) -> Result[Response, Refusal]:
    """Send a request and wait for the head of its response.

    Returns
    -------
    The response, or a refusal with the verdict on whether the request may have
    run.
    """
    pending = agent.request(
        http_request.method,
        http_request.url,
        http_request.headers,
        cast(IBodyProducer, http_request.body),
    )
    remaining_s = max(0, http_request.deadline - reactor.seconds())
    timer = reactor.callLater(remaining_s, pending.cancel)
    try:
        return Ok(cast(Response, await pending))
    except CONNECT_ERRORS:
        return Error(Refusal(Reason.CONNECT_FAILED, Verdict.NOT_RUN))
    except Exception:  # after any other error, the request may have run
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
    """Request a URL and return the complete body, or the cause of failure."""
    http_request = HttpRequest(b'GET', url.encode(), Headers(), None, deadline)
    result = await send_request(agent, reactor, http_request)
    if result.is_error():
        return Error(Fault('', f'no response: {result.error.reason}'))
    if result.ok.code != HTTPStatus.OK:
        discard_body(result.ok)
        return Error(Fault('', f'responded with status {result.ok.code}'))
    pending = readBody(cast(IResponse, result.ok))
    timer = reactor.callLater(
        max(0, deadline - reactor.seconds()),
        pending.cancel,
    )
    try:
        return Ok(await pending)
    except Exception as exc:  # a truncated body counts as a failure
        return Error(Fault('', f'response was late or truncated: {exc}'))
    finally:
        if timer.active():
            timer.cancel()


def discard_body(response: Response) -> None:
    """Read a body and discard it, so that its connection can be reused."""
    response.deliverBody(BodyProtocol())


def _failure_after_send(*, is_late: bool) -> Refusal:
    reason = Reason.SILENT if is_late else Reason.TARGET_FAILED
    return Refusal(reason, Verdict.MAY_HAVE_RUN)
