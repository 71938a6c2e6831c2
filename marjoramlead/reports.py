"""What a node tells operators about itself, as plain data."""

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
    """One document in force."""

    name: str
    revision: int
    digest: str
    since_s: float


class RefusedStatus(TypedDict):
    """One refused version."""

    name: str
    revision: int
    reason: str


class TargetStatus(TypedDict):
    """One target of the host list, as this node's gateway sees it."""

    host: str
    data_centre: str
    customer: str
    service: str
    state: str
    in_flight: int


class LocalStatus(TypedDict):
    """The target beside this node, as its guard sees it."""

    customer: str
    service: str
    running: int
    waiting: int
    window: int
    is_draining: bool


class NodeStatus(TypedDict):
    """All that a node tells of itself."""

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
    """A document in force, whole."""

    name: str
    revision: int
    text: str


class RefusedCall(TypedDict):
    """A call that a gateway refused of late.

    Attributes
    ----------
    tried
        Hosts that had an attempt.
    """

    request_id: str
    reason: str
    verdict: str
    retry_after: float
    tried: list[str]
