"""Measure the latency that the system adds to a call, at rising rates.

In one run, the same call is made in turn directly to a target, through the
node beside it, and through a second node and that node.
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

from bench.load import LoadRun, start_load
from bench.processes import measure_usage
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
from marjoramlead.loop import install_asyncio_reactor
from marjoramlead.node_client import fetch_status, publish

CONTRACT = Path('examples') / 'tamworth.json'
IN_FORCE_TIMEOUT_S = 30.0
LOAD_DURATION_S = 4.0
WARM_UP_CALLS_PER_S = 100.0
MAX_CONNECTIONS = 64
MS_PER_SECOND = 1000

app = App(name='latency', help=__doc__)


class Result(TypedDict):
    """Latency of one path at one rate, and its excess over the direct path.

    Attributes
    ----------
    rate
        Calls per second.
    failed
        Calls that were not answered with 200, over all rounds.
    node_cpu_ms_per_call
        Processor time of all nodes together.
    """

    path: str
    rate: float
    median_ms: float
    p99_ms: float
    added_median_ms: float
    added_p99_ms: float
    failed: int
    node_cpu_ms_per_call: float


class Sample(NamedTuple):
    """One load run, and the processor seconds that the nodes used for it."""

    load: LoadRun
    cpu_s: float


Samples = dict[str, list[Sample]]


def wait_until_in_force(members: Sequence[Member]) -> None:
    """Wait until the contract is in force on all nodes."""
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    for member in members:
        while not has_contract(member):
            if time.monotonic() > deadline:
                raise TimeoutError(member.host)
            time.sleep(0.1)


def has_contract(member: Member) -> bool:
    """Whether a node has a contract in force."""
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


def urls_by_path(members: Sequence[Member]) -> dict[str, bytes]:
    """Return the URL of each path to the first target, by the path's name."""
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
    """Sum the processor seconds that the nodes have used so far."""
    return measure_usage(
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
    """Measure all paths in turn, in several rounds at each rate."""
    agent = make_agent(reactor, MAX_CONNECTIONS)
    urls = urls_by_path(fleet.members)
    for url in urls.values():
        warm_up = LoadRun(reactor)
        await start_load(
            warm_up, agent, url, WARM_UP_CALLS_PER_S, LOAD_DURATION_S
        )
    results: list[Result] = []
    for rate in rates:
        samples: Samples = {name: [] for name in urls}
        for name in list(urls) * rounds:
            cpu_before_s = node_cpu_s(fleet)
            load = LoadRun(reactor)
            await start_load(load, agent, urls[name], rate, LOAD_DURATION_S)
            spent_cpu_s = node_cpu_s(fleet) - cpu_before_s
            samples[name].append(Sample(load, spent_cpu_s))
        results.extend(summarize(path, rate, samples) for path in urls)
        sys.stdout.write(f'{results[-len(urls) :]}\n')
        sys.stdout.flush()
    return results


def summarize(name: str, rate: float, samples: Samples) -> Result:
    """Compute the result of a path as medians over the rounds."""
    path_samples = samples[name]
    direct_samples = samples['direct']
    median = _median_percentile_ms(path_samples, 50)
    p99 = _median_percentile_ms(path_samples, 99)
    cpu_s = statistics.median(sample.cpu_s for sample in path_samples)
    cpu_ms = cpu_s / (rate * LOAD_DURATION_S) * MS_PER_SECOND
    calls_by_status = sum(
        (sample.load.calls_by_status for sample in path_samples), Counter()
    )
    return {
        'path': name,
        'rate': rate,
        'median_ms': median,
        'p99_ms': p99,
        'added_median_ms': round(
            median - _median_percentile_ms(direct_samples, 50), 2
        ),
        'added_p99_ms': round(
            p99 - _median_percentile_ms(direct_samples, 99), 2
        ),
        'failed': calls_by_status.total() - calls_by_status[HTTPStatus.OK],
        'node_cpu_ms_per_call': round(cpu_ms, 3),
    }


def _median_percentile_ms(
    samples: Sequence[Sample], percentile: float
) -> float:
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
        Calls per second.
    rounds
        Number of measurements of each path; their medians are reported.
    as_json
        Print the results as one JSON object on the last line.
    """
    members = build_members(('tamworth', 'walsall'), [('tamworth', 'kits')])
    reactor = install_asyncio_reactor()
    results: list[Result] = []
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
    ):
        time.sleep(1)
        publish_all(fleet)
        mark_target_leaving(fleet, members[1])
        wait_until_in_force(members)

        def start_measuring() -> None:
            measurement = measure_all(reactor, fleet, rates, rounds)
            finished = Deferred.fromCoroutine(measurement)
            finished.addCallbacks(results.extend, sys.stderr.write)
            finished.addBoth(lambda _ended: reactor.stop())

        reactor.callWhenRunning(start_measuring)
        reactor.run(installSignalHandlers=True)
    print_results(results, as_json=as_json)


def mark_target_leaving(fleet: Fleet, member: Member) -> None:
    """Publish one target as leaving, so that all calls go to the other."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    name = f'hosts/{member.data_centre}'
    text = hosts_documents([member])[name]
    # publish_all published this host list second, as revision 2.
    publish(publisher, name, text.replace('"live"', '"leaving"'), 2)


if __name__ == '__main__':
    app()
