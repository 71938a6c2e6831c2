"""Measure convergence and the reads of the source under faults.

The cases run one after another on one fleet of real nodes on loopback: many
nodes restarted at once, an outage of the source, and the suspension of all
readers, which are the nodes that read the source in normal operation.
"""

import json
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated, TypedDict

from cyclopts import App, Parameter

from bench.fleets import (
    contract_text,
    fleet_without_targets,
    paused,
    publish_initial_documents,
    wait_until_in_force,
)
from bench.results import print_results
from demo.fleet import ADDRESS, Fleet, Member, start_process
from marjoramlead.errors import NodeError
from marjoramlead.node_client import fetch_status, publish
from marjoramlead.readers import rank_hosts

CONTRACT_NAME = 'contracts/c-0'
CATCH_UP_TIMEOUT_S = 30.0
OUTAGE_DURATION_S = 12.0
POLL_INTERVAL_S = 0.05

app = App(name='faults', help=__doc__)


class Result(TypedDict):
    """Result of one case.

    Attributes
    ----------
    nodes
        Number of nodes that were observed.
    in_force_s
        Seconds until the revision was in force on all of them, or until the
        timeout.
    behind
        Number of nodes that did not have the revision in force at the end.
    busiest_reads_s
        Largest number of reads of the source in one second, since its
        statistics were last fetched.
    """

    case: str
    nodes: int
    in_force_s: float
    behind: int
    busiest_reads_s: int


def source_url(fleet: Fleet) -> str:
    """Return the base URL of the source."""
    return f'http://{ADDRESS}:{fleet.source_port}'


def fetch_source_stats(fleet: Fleet) -> dict[str, int]:
    """Fetch the statistics of the source.

    Each fetch also resets the counts by second, of which ``busiest_s`` is the
    largest.
    """
    with urllib.request.urlopen(f'{source_url(fleet)}/v1/stats') as answer:
        return json.load(answer)


def set_source_mode(fleet: Fleet, mode: str) -> None:
    """Set the mode of the source, such as ``well`` or ``down``."""
    body = json.dumps({'mode': mode}).encode()
    url = f'{source_url(fleet)}/v1/mode'
    req = urllib.request.Request(url, body, method='PUT')
    with urllib.request.urlopen(req):
        return


def publish_change(fleet: Fleet, queue: int) -> int:
    """Publish the contract with a new queue limit and return its revision."""
    url = f'{source_url(fleet)}/v1/documents/{CONTRACT_NAME}'
    with urllib.request.urlopen(url) as answer:
        current_revision = json.load(answer)['revision']
    text = contract_text('c-0', queue)
    return publish(source_url(fleet), CONTRACT_NAME, text, current_revision)


def members_behind(
    members: Sequence[Member],
    revision: int,
) -> list[Member]:
    """List the nodes that do not have the revision in force."""
    return [each for each in members if not has_revision(each, revision)]


def has_revision(member: Member, revision: int) -> bool:
    """Whether a node has the revision of the contract in force."""
    try:
        status = fetch_status(f'{ADDRESS}:{member.admin_port}')
    except NodeError:
        return False
    return any(
        (each['name'], each['revision']) == (CONTRACT_NAME, revision)
        for each in status['documents']
    )


def wait_for_revision(
    case: str,
    members: Sequence[Member],
    fleet: Fleet,
    revision: int,
) -> Result:
    """Wait until a revision is in force on the given nodes."""
    started_at = time.monotonic()
    behind = list(members)
    while behind and time.monotonic() - started_at < CATCH_UP_TIMEOUT_S:
        behind = members_behind(behind, revision)
        time.sleep(POLL_INTERVAL_S)
    return {
        'case': case,
        'nodes': len(members),
        'in_force_s': round(time.monotonic() - started_at, 2),
        'behind': len(behind),
        'busiest_reads_s': fetch_source_stats(fleet)['busiest_s'],
    }


def restart_nodes(fleet: Fleet, members: Sequence[Member]) -> None:
    """Kill nodes and start them again, all at once."""
    for member in members:
        fleet.processes[f'node-{member.host}'].kill()
    for member in members:
        name = f'node-{member.host}'
        fleet.processes[name].wait()
        path = fleet.folder / f'{member.host}.json'
        argv = ['-m', 'marjoramlead.daemon_cli', f'--settings={path}']
        start_process(fleet, name, argv)


def measure_restart(
    fleet: Fleet, case: str, members: Sequence[Member]
) -> Result:
    """Restart nodes at once and wait for the latest revision on them."""
    revision = fetch_source_stats(fleet)['revision']
    restart_nodes(fleet, members)
    return wait_for_revision(case, members, fleet, revision)


def measure_source_outage(fleet: Fleet) -> Result:
    """Publish during an outage of the source, then end the outage."""
    set_source_mode(fleet, 'down')
    revision = publish_change(fleet, 201)
    time.sleep(OUTAGE_DURATION_S)
    # Resets the counts by second, so that reads during the outage don't count.
    fetch_source_stats(fleet)
    set_source_mode(fleet, 'well')
    return wait_for_revision(
        'source back after an outage', fleet.members, fleet, revision
    )


def measure_restart_in_outage(fleet: Fleet) -> Result:
    """Restart a data centre during an outage of the source.

    Its nodes can get the configuration from peers only.
    """
    revision = fetch_source_stats(fleet)['revision']
    set_source_mode(fleet, 'down')
    restarted = first_data_centre_members(fleet)
    restart_nodes(fleet, restarted)
    result = wait_for_revision(
        'restart while the source is down', restarted, fleet, revision
    )
    set_source_mode(fleet, 'well')
    return result


def measure_frozen_readers(fleet: Fleet) -> Result:
    """Suspend all readers, publish, and wait for the other nodes."""
    frozen = [each for each in fleet.members if is_reader(fleet, each)]
    others = [each for each in fleet.members if each not in frozen]
    with paused(fleet, frozen):
        revision = publish_change(fleet, 202)
        return wait_for_revision('all readers frozen', others, fleet, revision)


def measure_resumed_readers(fleet: Fleet) -> Result:
    """Wait until the resumed readers have caught up."""
    revision = fetch_source_stats(fleet)['revision']
    return wait_for_revision('readers thawed', fleet.members, fleet, revision)


def is_reader(fleet: Fleet, member: Member) -> bool:
    """Whether a node is one of the two preferred readers of its data centre."""
    hosts = [
        each.host
        for each in fleet.members
        if each.data_centre == member.data_centre
    ]
    return member.host in rank_hosts(member.data_centre, hosts)[:2]


def first_data_centre_members(fleet: Fleet) -> list[Member]:
    """List the nodes of the first data centre."""
    name = fleet.members[0].data_centre
    return [each for each in fleet.members if each.data_centre == name]


def cases(fleet: Fleet) -> list[Callable[[], Result]]:
    """List all cases in the order in which they run."""
    return [
        lambda: measure_restart(
            fleet,
            'restart of a data centre',
            first_data_centre_members(fleet),
        ),
        lambda: measure_restart(fleet, 'restart of all', fleet.members),
        lambda: measure_source_outage(fleet),
        lambda: measure_restart_in_outage(fleet),
        lambda: measure_frozen_readers(fleet),
        lambda: measure_resumed_readers(fleet),
    ]


@app.default
def run(
    *,
    nodes: int = 24,
    contracts: int = 4,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> None:
    """Run all cases.

    Parameters
    ----------
    nodes
        Fleet size, a multiple of 4.
    contracts
        Number of contracts in force.
    as_json
        Print the results as one JSON object on the last line.
    """
    results: list[Result] = []
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet_without_targets(Path(folder), nodes, 'built') as fleet,
    ):
        publish_initial_documents(fleet, contracts)
        wait_until_in_force(fleet, f'contracts/c-{contracts - 1}')
        revision = publish_change(fleet, 200)
        results.append(
            wait_for_revision('no fault', fleet.members, fleet, revision)
        )
        for case in cases(fleet):
            results.append(case())
            sys.stdout.write(f'{results[-1]}\n')
            sys.stdout.flush()
    print_results(results, as_json=as_json)


if __name__ == '__main__':
    app()
