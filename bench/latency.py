"""Measure the time that the system adds to a call, at rising rates.

The same call is made straight to a target, through the node beside it, and
through another node, in turn, in one run.
"""

import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, NamedTuple, TypedDict

from cyclopts import App, Parameter
from twisted.internet.defer import Deferred

from bench.load import Load, start_load
from bench.processes import usage_of
from bench.results import print_results
from demo.fleet import (
    ADDRESS,
    Fleet,
    Member,
    build_members,
    hosts_documents,
    running_fleet,
)
from marjoramlead.clock import Reactor
from marjoramlead.errors import NodeError
from marjoramlead.http_client import make_agent
from marjoramlead.loop import install_reactor
from marjoramlead.node_client import fetch_status, publish

CONTRACT = Path('examples') / 'tamworth.json'
UP_LIMIT_S = 30.0
SECONDS = 4.0
WARM_RATE = 100.0
CONNECTIONS = 64
MILLISECONDS = 1000

app = App(name='latency', help=__doc__)


class Result(TypedDict):
    """Milliseconds of one path at one rate, and what it adds."""

    path: str
    rate: float
    median_ms: float
    p99_ms: float
    added_median_ms: float
    added_p99_ms: float
    failed: int
    node_cpu_ms_per_call: float


class Sample(NamedTuple):
    """One load, and the processor seconds that the nodes spent on it."""

    load: Load
    cpu_s: float


Samples = dict[str, list[Sample]]


def wait_until_in_force(members: Sequence[Member]) -> None:
    """Wait for the contract on all nodes."""
    deadline = time.monotonic() + UP_LIMIT_S
    for member in members:
        while not has_contract(member):
            if time.monotonic() > deadline:
                raise TimeoutError(member.host)
            time.sleep(0.1)


def has_contract(member: Member) -> bool:
    """Whether one node has the contract in force."""
    try:
        status = fetch_status(f'{ADDRESS}:{member.admin_port}')
    except NodeError:
        return False
    return any(
        each['name'].startswith('contracts/') for each in status['documents']
    )


def publish_all(fleet: Fleet) -> None:
    """Publish the host lists and the contract."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    for name, text in hosts_documents(fleet.members).items():
        publish(publisher, name, text, 0)
    publish(publisher, 'contracts/tamworth', CONTRACT.read_text(), 0)


def paths_of(members: Sequence[Member]) -> dict[str, bytes]:
    """Name the ways to the first target."""
    first, second = members[:2]
    urls = {
        'direct': f'http://{ADDRESS}:{first.target_port}/kits?work_ms=0',
        'one node': (
            f'http://{ADDRESS}:{first.gateway_port}/tamworth/kits?work_ms=0'
        ),
        'two nodes': (
            f'http://{ADDRESS}:{second.gateway_port}/tamworth/kits?work_ms=0'
        ),
    }
    return {name: url.encode() for name, url in urls.items()}


def node_cpu_s(fleet: Fleet) -> float:
    """Add up the processor time of the nodes."""
    return usage_of(
        process.pid
        for name, process in fleet.processes.items()
        if name.startswith('node-')
    ).cpu_s


async def measure_all(
    reactor: Reactor,
    fleet: Fleet,
    rates: Sequence[float],
    rounds: int,
) -> list[Result]:
    """Go through all rates and paths, several times in turn."""
    agent = make_agent(reactor, CONNECTIONS)
    paths = paths_of(fleet.members)
    for url in paths.values():
        warming = Load(reactor)
        await start_load(warming, agent, url, WARM_RATE, SECONDS)
    results: list[Result] = []
    for rate in rates:
        samples: Samples = {name: [] for name in paths}
        for name in list(paths) * rounds:
            before = node_cpu_s(fleet)
            load = Load(reactor)
            await start_load(load, agent, paths[name], rate, SECONDS)
            spent = node_cpu_s(fleet) - before
            samples[name].append(Sample(load, spent))
        results.extend(summary(path, rate, samples) for path in paths)
        sys.stdout.write(f'{results[-len(paths) :]}\n')
        sys.stdout.flush()
    return results


def summary(name: str, rate: float, samples: Samples) -> Result:
    """Take medians over the rounds."""
    own = samples[name]
    direct = samples['direct']
    median = _median(own, 50)
    p99 = _median(own, 99)
    cpu_s = statistics.median(sample.cpu_s for sample in own)
    cpu_ms = cpu_s / (rate * SECONDS) * MILLISECONDS
    ends = sum((sample.load.ends for sample in own), Counter())
    return {
        'path': name,
        'rate': rate,
        'median_ms': median,
        'p99_ms': p99,
        'added_median_ms': round(median - _median(direct, 50), 2),
        'added_p99_ms': round(p99 - _median(direct, 99), 2),
        'failed': ends.total() - ends[HTTPStatus.OK],
        'node_cpu_ms_per_call': round(cpu_ms, 3),
    }


def _median(samples: Sequence[Sample], percentile: float) -> float:
    return statistics.median(
        sample.load.percentile_ms(percentile) for sample in samples
    )


@app.default
def run(
    *,
    rates: Sequence[float] = (50, 200, 400),
    rounds: int = 3,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> None:
    """Measure all paths at each rate.

    Parameters
    ----------
    rates
        Calls a second.
    rounds
        Times that each is measured; medians are shown.
    as_json
        End with one JSON object on the last line.
    """
    members = build_members(('tamworth', 'walsall'), [('tamworth', 'kits')])
    reactor = install_reactor()
    results: list[Result] = []
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
    ):
        time.sleep(1)
        publish_all(fleet)
        publish_leaving(fleet, members[1])
        wait_until_in_force(members)

        def begin() -> None:
            measuring = measure_all(reactor, fleet, rates, rounds)
            measured = Deferred.fromCoroutine(measuring)
            measured.addCallbacks(results.extend, sys.stderr.write)
            measured.addBoth(lambda _ended: reactor.stop())

        reactor.callWhenRunning(begin)
        reactor.run(installSignalHandlers=True)
    print_results(results, as_json=as_json)


def publish_leaving(fleet: Fleet, member: Member) -> None:
    """List one target as leaving, so that all calls go to the other."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    name = f'hosts/{member.data_centre}'
    text = hosts_documents([member])[name]
    publish(publisher, name, text.replace('"live"', '"leaving"'), 2)


if __name__ == '__main__':
    app()
