"""Names of the headers that nodes exchange with callers and targets.

The defaults are the product's own names; an adapter supplies the names of its
platform. The headers between nodes have fixed names, see ``hops``.
"""

from typing import Final, NamedTuple

__all__ = ('DEFAULT_HEADER_NAMES', 'HeaderNames')


class HeaderNames(NamedTuple):
    """Names of headers, in lower case.

    Attributes
    ----------
    request_id
        Identifies one attempt of a client; echoed by targets.
    wait_ms
        Milliseconds until the sender stops waiting.
    seal
        Proves that a target made the response.
    expected_target
        Id of the only target that may run the request.
    not_run
        Set by a target that did not run the request.
    caller_service
        Service of the host that the request came from.
    load
        ``running,waiting,slots`` of the target that responds.
    target_id
        Id of the target that responds.
    cold_ms
        Milliseconds until the target is no longer cold; in responses to
        probes.
    rate_limit
        Requests per second that the target accepts from all nodes together,
        for as long as its responses say so.
    leaving
        Set in all responses of a target that is about to stop.
    account
        Client account of a request; set for the target whatever the client
        has sent.
    """

    request_id: bytes = b'x-marjoram-request-id'
    wait_ms: bytes = b'x-marjoram-wait-ms'
    seal: bytes = b'x-marjoram-seal'
    expected_target: bytes = b'x-marjoram-expected-target'
    not_run: bytes = b'x-marjoram-not-run'
    caller_service: bytes = b'x-marjoram-caller-service'
    load: bytes = b'x-marjoram-load'
    target_id: bytes = b'x-marjoram-target-id'
    cold_ms: bytes = b'x-marjoram-cold-ms'
    rate_limit: bytes = b'x-marjoram-rate-limit'
    leaving: bytes = b'x-marjoram-leaving'
    account: bytes = b'x-marjoram-account'


DEFAULT_HEADER_NAMES: Final = HeaderNames()
