"""Ask a node, or the place that operators publish to, over HTTP."""

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

LIMIT_S: Final = 5.0


class PublishedDocument(TypedDict):
    """A document as it was last published; revision 0 if it never was."""

    name: str
    revision: int
    text: str


def fetch_status(node: str) -> NodeStatus:
    """Read what a node tells of itself.

    Parameters
    ----------
    node
        Address and port of its admin port.

    Raises
    ------
    NodeError
        If it does not answer.
    """
    return cast(NodeStatus, _read_status(node))


def fetch_sidecar_status(node: str) -> SidecarStatus:
    """Read what the node beside a target believes.

    Parameters
    ----------
    node
        Address and port of its metrics.

    Raises
    ------
    NodeError
        If it does not answer.
    """
    return cast(SidecarStatus, _read_status(node))


def fetch_document(node: str, name: str) -> DocumentText | None:
    """Read a document as it is in force on a node; None if it is not.

    Raises
    ------
    NodeError
        If the node does not answer.
    """
    return cast(
        DocumentText | None,
        _find(node, f'documents/{name}'),
    )


def fetch_refusal(node: str, request_id: str) -> RefusedCall | None:
    """Ask a node why it refused a call; None if it does not know of it.

    Raises
    ------
    NodeError
        If the node does not answer.
    """
    return cast(RefusedCall | None, _find(node, f'refusals/{request_id}'))


def fetch_published(publisher: str, name: str) -> PublishedDocument:
    """Read a document from the place that operators publish to.

    Raises
    ------
    PublishError
        If it does not answer.
    """
    try:
        found = _call(f'{publisher}/v1/documents/{name}')
    except (OSError, ValueError) as exc:
        raise PublishError(f'{publisher} gave no answer: {exc}') from exc
    return cast(PublishedDocument, found)


def publish(publisher: str, name: str, text: str, expected: int) -> int:
    """Hand a document to the place that operators publish to.

    Parameters
    ----------
    publisher
        Base address.
    name
        Of the document.
    text
        Its content, which has passed the check.
    expected
        Revision that the change was made against.

    Returns
    -------
    The revision under which it was published.

    Raises
    ------
    PublishError
        If another change came first, or there is no answer.
    """
    address = f'{publisher}/v1/documents/{name}'
    fields = {'If-Revision': str(expected)}
    try:
        answer = _call(address, text, fields)
    except urllib.error.HTTPError as exc:
        raise PublishError(_conflict(name, exc)) from exc
    except (OSError, ValueError) as exc:
        raise PublishError(f'{publisher} gave no answer: {exc}') from exc
    return int(cast(PublishedDocument, answer)['revision'])


def _read_status(node: str) -> object:
    try:
        return _call(f'http://{node}/status')
    except (OSError, ValueError) as exc:
        raise NodeError(f'node {node} gave no answer: {exc}') from exc


def _find(node: str, path: str) -> object:
    try:
        return _call(f'http://{node}/{path}')
    except urllib.error.HTTPError:
        return None
    except (OSError, ValueError) as exc:
        raise NodeError(f'node {node} gave no answer: {exc}') from exc


def _conflict(name: str, exc: urllib.error.HTTPError) -> str:
    found = json.load(exc)
    revision = found.get('revision')
    return (
        f'{name}: overtaken by revision {revision}; '
        'look at it with "marjoramlead show", then submit again'
    )


def _call(
    address: str,
    text: str | None = None,
    fields: Mapping[str, str] | None = None,
) -> object:
    req = urllib.request.Request(
        address,
        data=None if text is None else text.encode(),
        headers=dict(fields or {}),
        method='GET' if text is None else 'PUT',
    )
    with urllib.request.urlopen(req, timeout=LIMIT_S) as answer:
        return json.load(answer)
