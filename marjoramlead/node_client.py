"""HTTP client for nodes and for the publishing service."""

import json
import urllib.error
import urllib.request
from collections.abc import Mapping
from typing import Final, TypedDict, cast

from marjoramlead.errors import NodeError, PublishError
from marjoramlead.generated.sidecar_status_types import SidecarStatus
from marjoramlead.reports import DocumentText, NodeStatus, RefusedCall

__all__ = (
    'PublishedDocument',
    'fetch_document',
    'fetch_published',
    'fetch_refusal',
    'fetch_sidecar_status',
    'fetch_status',
    'publish',
)

TIMEOUT_S: Final = 5.0


class PublishedDocument(TypedDict):
    """A published document; revision 0 if the name was never published."""

    name: str
    revision: int
    text: str


def fetch_status(node: str) -> NodeStatus:
    """Fetch the status of a node.

    Parameters
    ----------
    node
        Address and port of the node's admin server.

    Raises
    ------
    NodeError
        If the request fails.
    """
    return cast(NodeStatus, _read_status(node))


def fetch_sidecar_status(node: str) -> SidecarStatus:
    """Fetch the status of the node beside a target.

    Parameters
    ----------
    node
        Address and port of the node's metrics server.

    Raises
    ------
    NodeError
        If the request fails.
    """
    return cast(SidecarStatus, _read_status(node))


def fetch_document(node: str, name: str) -> DocumentText | None:
    """Fetch a document in force on a node; None if it is not in force.

    Raises
    ------
    NodeError
        If the request fails.
    """
    return cast(
        DocumentText | None,
        _fetch_optional(node, f'documents/{name}'),
    )


def fetch_refusal(node: str, request_id: str) -> RefusedCall | None:
    """Fetch the reason for a refused call; None if the node has no record.

    Raises
    ------
    NodeError
        If the request fails.
    """
    return cast(
        RefusedCall | None,
        _fetch_optional(node, f'refusals/{request_id}'),
    )


def fetch_published(publisher: str, name: str) -> PublishedDocument:
    """Fetch the latest published version of a document.

    Raises
    ------
    PublishError
        If the request fails.
    """
    try:
        document = _send_request(f'{publisher}/v1/documents/{name}')
    except (OSError, ValueError) as exc:
        raise PublishError(f'request to {publisher} failed: {exc}') from exc
    return cast(PublishedDocument, document)


def publish(
    publisher: str,
    name: str,
    text: str,
    expected_revision: int,
) -> int:
    """Publish a document, unless it has changed since a known revision.

    Parameters
    ----------
    publisher
        Base URL of the publishing service.
    name
        Name of the document.
    text
        Content of the document, already validated.
    expected_revision
        Revision that the change is based on.

    Returns
    -------
    The revision under which the document was published.

    Raises
    ------
    PublishError
        If a newer revision has been published, or the request fails.
    """
    url = f'{publisher}/v1/documents/{name}'
    extra_headers = {'If-Revision': str(expected_revision)}
    try:
        response = _send_request(url, text, extra_headers)
    except urllib.error.HTTPError as exc:
        raise PublishError(_conflict_message(name, exc)) from exc
    except (OSError, ValueError) as exc:
        raise PublishError(f'request to {publisher} failed: {exc}') from exc
    return int(cast(PublishedDocument, response)['revision'])


def _read_status(node: str) -> object:
    try:
        return _send_request(f'http://{node}/status')
    except (OSError, ValueError) as exc:
        raise NodeError(f'request to node {node} failed: {exc}') from exc


def _fetch_optional(node: str, path: str) -> object:
    try:
        return _send_request(f'http://{node}/{path}')
    except urllib.error.HTTPError:
        return None
    except (OSError, ValueError) as exc:
        raise NodeError(f'request to node {node} failed: {exc}') from exc


def _conflict_message(name: str, exc: urllib.error.HTTPError) -> str:
    conflict = json.load(exc)
    revision = conflict.get('revision')
    return (
        f'{name}: overtaken by revision {revision}; '
        'check it with "marjoramlead show", then submit again'
    )


def _send_request(
    url: str,
    text: str | None = None,
    extra_headers: Mapping[str, str] | None = None,
) -> object:
    req = urllib.request.Request(
        url,
        data=None if text is None else text.encode(),
        headers=dict(extra_headers or {}),
        method='GET' if text is None else 'PUT',
    )
    with urllib.request.urlopen(req, timeout=TIMEOUT_S) as response:
        return json.load(response)
