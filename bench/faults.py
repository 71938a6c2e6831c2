"""Measure convergence and reads of the source while things fail.

Each case runs on one fleet of real nodes on loopback, one after another:
a herd of restarts, an outage of the source, frozen readers, a bad version.
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
    fleet_of,
    paused,
    publish_first,
    wait_for,
)
from bench.results import print_results
from demo.fleet import ADDRESS, Fleet, Member, start_process
from marjoramlead.errors import NodeError
from marjoramlead.node_client import fetch_status, publish
from marjoramlead.readers import rank_hosts

NAME = 'contracts/c-0'
LIMIT_S = 30.0
OUTAGE_S = 12.0
LOOK_S = 0.05

app = App(name='faults', help=__doc__)


class Result(TypedDict):
    """How one case ended."""

    case: str
    nodes: int
    in_force_s: float
    behind: int
    busiest_reads_s: int


def source_of(fleet: Fleet) -> str:
    """Address of the source."""
    return f'http://{ADDRESS}:{fleet.source_port}'


def stats(fleet: Fleet) -> dict[str, int]:
    """Ask the source for its counts since the last time."""
    with urllib.request.urlopen(f'{source_of(fleet)}/v1/stats') as answer:
        return json.load(answer)


def set_mode(fleet: Fleet, mode: str) -> None:
    """Set how the source behaves."""
    body = json.dumps({'mode': mode}).encode()
    url = f'{source_of(fleet)}/v1/mode'
    req = urllib.request.Request(url, body, method='PUT')
    with urllib.request.urlopen(req):
        return


def change(fleet: Fleet, queue: int) -> int:
    """Publish a change of one contract."""
    url = f'{source_of(fleet)}/v1/documents/{NAME}'
    with urllib.request.urlopen(url) as answer:
        held = json.load(answer)['revision']
    text = contract_text('c-0', queue)
    return publish(source_of(fleet), NAME, text, held)


def members_behind(
    members: Sequence[Member],
    revision: int,
) -> list[Member]:
    """List the nodes that do not have a revision in force."""
    return [each for each in members if not has_revision(each, revision)]


def has_revision(member: Member, revision: int) -> bool:
    """Whether one node has a revision of the contract in force."""
    try:
        status = fetch_status(f'{ADDRESS}:{member.admin_port}')
    except NodeError:
        return False
    return any(
        (each['name'], each['revision']) == (NAME, revision)
        for each in status['documents']
    )


def follow(
    case: str,
    members: Sequence[Member],
    fleet: Fleet,
    revision: int,
) -> Result:
    """Wait until a revision is in force on some nodes."""
    began = time.monotonic()
    behind = list(members)
    while behind and time.monotonic() - began < LIMIT_S:
        behind = members_behind(behind, revision)
        time.sleep(LOOK_S)
    return {
        'case': case,
        'nodes': len(members),
        'in_force_s': round(time.monotonic() - began, 2),
        'behind': len(behind),
        'busiest_reads_s': stats(fleet)['busiest_s'],
    }


def restart(fleet: Fleet, members: Sequence[Member]) -> None:
    """Kill nodes and start them again, all at once."""
    for member in members:
        fleet.processes[f'node-{member.host}'].kill()
    for member in members:
        name = f'node-{member.host}'
        fleet.processes[name].wait()
        path = fleet.folder / f'{member.host}.json'
        argv = ['-m', 'marjoramlead.daemon_cli', f'--settings={path}']
        start_process(fleet, name, argv)


def restart_some(fleet: Fleet, case: str, members: Sequence[Member]) -> Result:
    """Restart a herd and see it hold what was in force."""
    revision = stats(fleet)['revision']
    restart(fleet, members)
    return follow(case, members, fleet, revision)


def source_outage(fleet: Fleet) -> Result:
    """Publish while no node can read, and let them read again."""
    set_mode(fleet, 'down')
    revision = change(fleet, 201)
    time.sleep(OUTAGE_S)
    stats(fleet)
    set_mode(fleet, 'well')
    return follow('source back after an outage', fleet.members, fleet, revision)


def restart_in_outage(fleet: Fleet) -> Result:
    """Restart a data centre while the source is down: peers must do."""
    revision = stats(fleet)['revision']
    set_mode(fleet, 'down')
    inside = in_first_data_centre(fleet)
    restart(fleet, inside)
    result = follow('restart while the source is down', inside, fleet, revision)
    set_mode(fleet, 'well')
    return result


def frozen_readers(fleet: Fleet) -> Result:
    """Freeze all nodes that read, publish, and look at the others."""
    frozen = [each for each in fleet.members if is_reader(fleet, each)]
    others = [each for each in fleet.members if each not in frozen]
    with paused(fleet, frozen):
        revision = change(fleet, 202)
        return follow('all readers frozen', others, fleet, revision)


def thawed_readers(fleet: Fleet) -> Result:
    """See the nodes that were frozen catch up."""
    revision = stats(fleet)['revision']
    return follow('readers thawed', fleet.members, fleet, revision)


def is_reader(fleet: Fleet, member: Member) -> bool:
    """Whether a node is among the first two of its data centre."""
    hosts = [
        each.host
        for each in fleet.members
        if each.data_centre == member.data_centre
    ]
    return member.host in rank_hosts(member.data_centre, hosts)[:2]


def in_first_data_centre(fleet: Fleet) -> list[Member]:
    """List the nodes of one data centre."""
    name = fleet.members[0].data_centre
    return [each for each in fleet.members if each.data_centre == name]


def cases(fleet: Fleet) -> list[Callable[[], Result]]:
    """List all cases, in their order."""
    return [
        lambda: restart_some(
            fleet,
            'restart of a data centre',
            in_first_data_centre(fleet),
        ),
        lambda: restart_some(fleet, 'restart of all', fleet.members),
        lambda: source_outage(fleet),
        lambda: restart_in_outage(fleet),
        lambda: frozen_readers(fleet),
        lambda: thawed_readers(fleet),
    ]


@app.default
def run(
    *,
    nodes: int = 24,
    contracts: int = 4,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> None:
    """Go through all cases.

    Parameters
    ----------
    nodes
        Fleet size, a multiple of 4.
    contracts
        Contracts in force.
    as_json
        End with one JSON object on the last line.
    """
    results: list[Result] = []
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet_of(Path(folder), nodes, 'built') as fleet,
    ):
        publish_first(fleet, contracts)
        wait_for(fleet, f'contracts/c-{contracts - 1}')
        revision = change(fleet, 200)
        results.append(follow('no fault', fleet.members, fleet, revision))
        for case in cases(fleet):
            results.append(case())
            sys.stdout.write(f'{results[-1]}\n')
            sys.stdout.flush()
    print_results(results, as_json=as_json)


if __name__ == '__main__':
    app()
