"""Time the decision functions of a node at the planned size of the fleet.

Runs in one process, without a network. Each function is called in a short
loop, with 1,000 and with 6,200 hosts in 6 data centres and 60 contracts of 15
services each.
"""

import json
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from random import Random
from typing import Annotated

from cyclopts import App, Parameter

from bench.results import print_results
from marjoramlead.agent import Agent, on_tick
from marjoramlead.counters import Counters
from marjoramlead.exchanges import on_request
from marjoramlead.frames import summary_frame
from marjoramlead.peers import NodeIdentity, build_peer_view, choose_push_peers
from marjoramlead.picking import (
    TargetStates,
    pick_target,
    preferred_targets,
    usable_targets,
)
from marjoramlead.versions import make_version, offer_version
from marjoramlead.wire import decode_frame, encode_frame

KEY = b'bench key'
DATA_CENTRES = 6
CUSTOMERS = 60
SERVICES = 15
US_PER_SECOND = 1_000_000
BYTES_PER_MB = 1_000_000

app = App(name='decisions', help=__doc__)


def make_contract(customer: str) -> str:
    """Return the JSON text of a contract with many services."""
    services = [
        {
            'service': f's-{number}',
            'slots': 9,
            'cold_slots': 2,
            'warm_answers': 60,
            'connections': 120,
            'queue': 30,
            'upload_slots': 0,
            'internal_slots': 1,
            'drain_limit_ms': 10_000,
        }
        for number in range(SERVICES)
    ]
    routes = [
        {
            'route': f'r-{number}',
            'service': f's-{number}',
            'methods': ['GET'],
            'path': f'/p-{number}',
            'kind': 'idempotent',
            'wait_limit_ms': 2000,
            'attempts': 3,
        }
        for number in range(SERVICES)
    ]
    return json.dumps(
        {
            'customer': customer,
            'retry_share': 0.1,
            'key_memory_ms': 30_000,
            'services': services,
            'routes': routes,
        }
    )


def make_host_list(data_centre: int, host_count: int) -> str:
    """Return the JSON text of the host list of one data centre."""
    numbers = range(data_centre, host_count, DATA_CENTRES)
    return json.dumps(
        {
            'data_centre': f'dc-{data_centre}',
            'hosts': [
                {
                    'host': f'h-{number}',
                    'address': f'10.{number >> 8}.{number & 255}.1',
                    'guard_port': 8081,
                    'control_port': 8082,
                    'customer': f'c-{number % CUSTOMERS}',
                    'service': f's-{number // CUSTOMERS % SERVICES}',
                    'state': 'live',
                }
                for number in numbers
            ],
        }
    )


def make_configured_agent(host_count: int) -> Agent:
    """Create an agent that has the whole configuration in force."""
    identity = NodeIdentity('h-0', 'dc-0', '10.0.0.1:8082', (), host_count)
    agent = Agent(identity, Random(1), Counters())
    for number in range(CUSTOMERS):
        text = make_contract(f'c-{number}')
        offer_version(
            agent.store, make_version(f'contracts/c-{number}', 1, text)
        )
    for number in range(DATA_CENTRES):
        text = make_host_list(number, host_count)
        offer_version(agent.store, make_version(f'hosts/dc-{number}', 1, text))
    agent.view = build_peer_view(identity, agent.store.snapshot)
    agent.view_hosts = agent.store.snapshot.targets_by_data_centre
    return agent


def median_us(function: Callable[[], object], times: int) -> float:
    """Return the median duration of a call, in microseconds."""
    durations: list[float] = []
    for _ in range(times):
        started_at = time.perf_counter()
        function()
        durations.append(time.perf_counter() - started_at)
    return round(statistics.median(durations) * US_PER_SECOND, 1)


def state_mb(host_count: int) -> float:
    """Return the memory used by the whole configuration, in megabytes."""
    tracemalloc.start()
    agent = make_configured_agent(host_count)
    allocated, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(allocated / BYTES_PER_MB, 2) if agent else 0


def measure(host_count: int) -> dict[str, float]:
    """Time all functions with one fleet size.

    Returns
    -------
    Figures by name. The suffix ``_us`` marks the median microseconds of one
    call, ``_mb`` megabytes.
    """
    agent = make_configured_agent(host_count)
    store = agent.store
    frame = summary_frame(agent.identity, store, 0)
    encoded = encode_frame(frame, KEY)
    hosts_frame = frame | {
        'documents': [
            {
                'name': version.name,
                'revision': version.revision,
                'digest': version.digest,
                'text': version.text,
            }
            for version in tuple(store.in_force.values())[-1:]
        ],
    }
    revisions = iter(range(2, 1_000_000))
    states = TargetStates()

    contract_text = make_contract('c-0')
    hosts_text = make_host_list(1, host_count)

    def offer_contract() -> None:
        revision = next(revisions)
        offer_version(
            store, make_version('contracts/c-0', revision, contract_text)
        )

    def offer_hosts() -> None:
        revision = next(revisions)
        offer_version(store, make_version('hosts/dc-1', revision, hosts_text))

    def pick_one() -> None:
        pool = usable_targets(store.snapshot, 'c-0', 's-0')
        pick_target(preferred_targets(pool, 'dc-0', ()), states, agent.rng, 0)

    return {
        'hosts': host_count,
        'state_mb': state_mb(host_count),
        'hosts_document_bytes': len(store.in_force['hosts/dc-1'].text),
        'bare_frame_bytes': len(encoded),
        'view_us': median_us(
            lambda: build_peer_view(agent.identity, store.snapshot),
            9,
        ),
        'tick_us': median_us(lambda: on_tick(agent, time.monotonic()), 200),
        'request_us': median_us(
            lambda: encode_frame(
                on_request(agent, decode_frame(encoded, KEY).ok, 1)[0],
                KEY,
            ),
            200,
        ),
        'push_us': median_us(
            lambda: choose_push_peers(agent.view, (), agent.rng),
            200,
        ),
        'hosts_frame_us': median_us(lambda: encode_frame(hosts_frame, KEY), 20),
        'offer_contract_us': median_us(offer_contract, 20),
        'offer_hosts_us': median_us(offer_hosts, 5),
        'pick_us': median_us(pick_one, 500),
    }


@app.default
def run(
    *,
    sizes: Sequence[int] = (1000, 6200),
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> None:
    """Time the functions with each fleet size.

    Parameters
    ----------
    sizes
        Fleet sizes: total number of hosts.
    as_json
        Print the results as one JSON object on the last line.
    """
    results = [measure(size) for size in sizes]
    for result in results:
        sys.stdout.write(f'{result}\n')
    print_results(results, as_json=as_json)


if __name__ == '__main__':
    app()
