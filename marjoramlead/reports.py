"""Types of the status documents that a node serves to operators."""

from typing import TypedDict

__all__ = (
    'DocumentStatus',
    'DocumentText',
    'LocalStatus',
    'NodeStatus',
    'RefusedCall',
    'RefusedStatus',
    'TargetStatus',
)


class DocumentStatus(TypedDict):
    """The version of a document that is in force on a node.

    Attributes
    ----------
    since_s
        Seconds since this version came into force.
    """

    name: str
    revision: int
    digest: str
    since_s: float


class RefusedStatus(TypedDict):
    """A version of a document that the node refused.

    Attributes
    ----------
    reason
        Why the version was refused.
    """

    name: str
    revision: int
    reason: str


class TargetStatus(TypedDict):
    """A target in the host list, as seen by this node's gateway.

    Attributes
    ----------
    in_flight
        Number of requests in flight from this gateway to the target.
    """

    host: str
    data_centre: str
    customer: str
    service: str
    state: str
    in_flight: int


class LocalStatus(TypedDict):
    """The local target, as seen by this node's guard.

    Attributes
    ----------
    running
        Number of requests at the target now.
    waiting
        Number of requests in the guard's queue.
    window
        Current concurrency limit of the target.
    is_draining
        Whether the guard refuses new requests while the target finishes.
    """

    customer: str
    service: str
    running: int
    waiting: int
    window: int
    is_draining: bool


class NodeStatus(TypedDict):
    """Status of a node.

    Attributes
    ----------
    newest
        Highest revision among the documents that the node knows of.
    root
        Digest of all documents; equal on nodes with equal documents.
    source_age_s
        Seconds since any node is known to have read the source.
    refused
        Versions that the node refused.
    out
        Data centres that operators have taken out of service.
    targets
        Targets in the host list.
    local
        The local target.
    calls_in_flight
        Number of requests in flight through this node's gateway.
    control_bytes_sent
        Bytes of control frames sent since the start.
    counters
        Counters by name.
    """

    host: str
    data_centre: str
    newest: int
    root: str
    source_age_s: float
    documents: list[DocumentStatus]
    refused: list[RefusedStatus]
    out: list[str]
    targets: list[TargetStatus]
    local: LocalStatus
    calls_in_flight: int
    control_bytes_sent: int
    counters: dict[str, int]


class DocumentText(TypedDict):
    """The full text of a document that is in force."""

    name: str
    revision: int
    text: str


class RefusedCall(TypedDict):
    """A request that a gateway has recently refused.

    Attributes
    ----------
    tried
        Hosts to which the request was sent.
    """

    request_id: str
    reason: str
    verdict: str
    retry_after: float
    tried: list[str]
