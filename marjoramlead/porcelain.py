"""Operations behind the ``marjoramlead`` command.

The functions neither print nor parse arguments; ``cli`` does both.
"""

import json
import time
from collections.abc import Callable, Iterator, Sequence
from difflib import unified_diff
from pathlib import Path
from typing import Final, NamedTuple, cast

from expression import Error, Result

from marjoramlead.documents import (
    CONTRACTS,
    OPERATIONS,
    check_document,
    parse_json_object,
)
from marjoramlead.errors import DocumentError, Fault, NodeError, SettingsError
from marjoramlead.generated.contract_types import ContractDocument
from marjoramlead.node_client import (
    fetch_document,
    fetch_published,
    fetch_status,
    publish,
)
from marjoramlead.parsing import read_text
from marjoramlead.platform.routing_document import (
    RoutingDocument,
    fetch_routing,
    read_routing,
)
from marjoramlead.reports import DocumentStatus, NodeStatus
from marjoramlead.routing_check import (
    Finding,
    FindingKind,
    check_table,
    compare_tables,
)

__all__ = (
    'CheckedContract',
    'RolloutProgress',
    'check_contract',
    'check_routing',
    'diff_contract',
    'fetch_contract',
    'find_document',
    'follow_rollout',
    'set_data_centre_out',
    'submit',
)

POLL_INTERVAL_S: Final = 0.2


class CheckedContract(NamedTuple):
    """A contract that has been validated.

    Attributes
    ----------
    name
        Name of the document, such as ``contracts/CUSTOMER``.
    text
        Text of the contract file.
    """

    name: str
    text: str


class RolloutProgress(NamedTuple):
    """Progress of the rollout of one revision of a document.

    Attributes
    ----------
    nodes_updated
        Number of nodes that have the revision, or a newer one, in force.
    behind
        Nodes that do not have it in force yet, as ``DATA_CENTRE/HOST``, and
        the errors of nodes that do not respond.
    refused
        Reasons given by nodes that refused the revision.
    superseded_by
        A newer revision of the document that is in force on a node, or 0.
    """

    nodes_updated: int
    behind: Sequence[str]
    refused: Sequence[str]
    superseded_by: int


def check_contract(path: Path) -> CheckedContract:
    """Validate a contract file.

    Raises
    ------
    DocumentError
        If the contract is invalid. The text names the file, the path within
        the contract and the reason.
    """
    checked = read_text(path).bind(_check_text)
    if checked.is_error():
        raise DocumentError(f'{path}: {checked.error}')
    return checked.ok


def check_routing(
    path: Path, in_force: Path | None, store: str
) -> list[Finding]:
    """Check a routing configuration before it is written to the store.

    Parameters
    ----------
    path
        File with the configuration, as it would be written.
    in_force
        File with the version in force, or None.
    store
        Address and port of the store that has the version in force; empty to
        compare with no version, or with that of the file.

    Raises
    ------
    NodeError
        If the store does not answer.
    SettingsError
        If a file cannot be read, or the version in force cannot be decoded.
    """
    document = read_routing(path)
    if document.table is None:
        return [
            Finding(FindingKind.ERROR, each.path or 'document', each.reason)
            for each in document.refused
        ]
    findings = list(check_table(document.routes, document.table))
    known = _routing_in_force(in_force, store)
    if known is not None:
        if known.table is None:
            reason = known.refused[0].reason
            raise SettingsError(f'the version in force is refused: {reason}')
        findings.extend(compare_tables(document.table, known.table))
    return findings


def _routing_in_force(
    in_force: Path | None, store: str
) -> RoutingDocument | None:
    if in_force is not None:
        return read_routing(in_force)
    return fetch_routing(store) if store else None


def submit(publisher: str, contract: CheckedContract) -> int:
    """Publish a contract, unless the same text is already published.

    Returns
    -------
    The revision under which the contract is published.

    Raises
    ------
    PublishError
        If the publisher does not respond, or another operator has changed
        the contract in the meantime.
    """
    document = fetch_published(publisher, contract.name)
    if document['text'] == contract.text:
        return document['revision']
    return publish(
        publisher,
        contract.name,
        contract.text,
        document['revision'],
    )


def set_data_centre_out(publisher: str, data_centre: str, *, out: bool) -> int:
    """Take a data centre out of service, or bring it back.

    Returns
    -------
    The revision under which the change is published, or the current revision
    if nothing changes.

    Raises
    ------
    DocumentError
        If the published list of data centres is invalid.
    PublishError
        If the publisher does not respond, or another operator has changed
        the list in the meantime.
    """
    document = fetch_published(publisher, OPERATIONS)
    parsed = parse_json_object(document['text'] or '{"out": []}')
    if parsed.is_error():
        raise DocumentError(f'{OPERATIONS}: {parsed.error}')
    current = set(_list_of_names(parsed.ok.get('out')))
    wanted = current | {data_centre} if out else current - {data_centre}
    if wanted == current and document['revision']:
        return document['revision']
    text = json.dumps({'out': sorted(wanted)})
    return publish(publisher, OPERATIONS, text, document['revision'])


def fetch_contract(node: str, customer: str) -> ContractDocument:
    """Fetch the contract of a customer that is in force on a node.

    Raises
    ------
    NodeError
        If the node does not respond, or has no contract of the customer.
    """
    document = fetch_document(node, f'{CONTRACTS}{customer}')
    parsed = parse_json_object(document['text'] if document else '')
    if parsed.is_error():
        raise NodeError(f'node {node} has no contract of {customer} in force')
    return cast(ContractDocument, parsed.ok)


def diff_contract(node: str, contract: CheckedContract) -> list[str]:
    """Compare a contract with the version that is in force on a node.

    Returns
    -------
    Lines of a unified diff; empty if the contracts are equal.
    """
    document = fetch_document(node, contract.name)
    before = _indented_lines(document['text'] if document else '{}')
    after = _indented_lines(contract.text)
    revision = document['revision'] if document else 0
    return list(
        unified_diff(
            before,
            after,
            f'in force, revision {revision}',
            'submitted',
            lineterm='',
        ),
    )


def find_document(status: NodeStatus, name: str) -> DocumentStatus | None:
    """Find a document in force in a node's status; None if there is none."""
    return next(
        (each for each in status['documents'] if each['name'] == name),
        None,
    )


def follow_rollout(
    nodes: Sequence[str],
    name: str,
    revision: int,
    deadline: float,
    sleep: Callable[[float], None] = time.sleep,
) -> Iterator[RolloutProgress]:
    """Poll nodes and yield the progress of a revision's rollout.

    Ends when the revision is in force on all nodes, when a node refuses it,
    or at the deadline.

    Parameters
    ----------
    nodes
        Address and admin port of each node.
    name
        Name of the document.
    revision
        Revision to wait for.
    deadline
        Seconds on the monotonic clock.
    sleep
        Waits a number of seconds between polls.
    """
    while True:  # noqa: WPS457  # returns at the deadline at the latest
        progress = _fetch_progress(nodes, name, revision)
        yield progress
        if not progress.behind or progress.refused:
            return
        if time.monotonic() >= deadline:
            return
        sleep(POLL_INTERVAL_S)


def _check_text(text: str) -> Result[CheckedContract, Fault]:
    parsed = parse_json_object(text)
    if parsed.is_error():
        return Error(parsed.error)
    name = f'{CONTRACTS}{parsed.ok.get("customer", "")}'
    return check_document(name, text).map(
        lambda _parsed: CheckedContract(name, text)
    )


def _fetch_progress(
    nodes: Sequence[str],
    name: str,
    revision: int,
) -> RolloutProgress:
    behind: list[str] = []
    refused: list[str] = []
    newest = 0
    for node in nodes:
        try:
            status = fetch_status(node)
        except NodeError as exc:
            behind.append(str(exc))
            continue
        node_name = f'{status["data_centre"]}/{status["host"]}'
        document = find_document(status, name)
        node_revision = document['revision'] if document else 0
        newest = max(newest, node_revision)
        if node_revision < revision:
            behind.append(node_name)
        refused.extend(
            f'{node_name}: {each["reason"]}'
            for each in status['refused']
            if (each['name'], each['revision']) == (name, revision)
        )
    return RolloutProgress(
        nodes_updated=len(nodes) - len(behind),
        behind=behind,
        refused=refused,
        superseded_by=newest if newest > revision else 0,
    )


def _indented_lines(text: str) -> list[str]:
    parsed = parse_json_object(text).default_value({})
    return json.dumps(parsed, indent=1).splitlines()


def _list_of_names(content: object) -> list[str]:
    return [str(each) for each in content] if isinstance(content, list) else []
