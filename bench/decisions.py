"""Time the decision functions with as many members as the fleet will have.

No processes and no network: each function is called in a short loop with
1,000 and with 6,200 hosts in 6 data centres, 60 contracts of 15 services.
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
MICROSECONDS = 1_000_000
MEGABYTE = 1_000_000

app = App(name='decisions', help=__doc__)


def contract(customer: str) -> str:
    """Write a contract of many services."""
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


def hosts(data_centre: int, hosts_in_all: int) -> str:
    """Write the host list of one data centre."""
    numbers = range(data_centre, hosts_in_all, DATA_CENTRES)
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


def full_agent(hosts_in_all: int) -> Agent:
    """Build an agent that holds the whole configuration."""
    identity = NodeIdentity('h-0', 'dc-0', '10.0.0.1:8082', (), hosts_in_all)
    agent = Agent(identity, Random(1), Counters())
    for number in range(CUSTOMERS):
        text = contract(f'c-{number}')
        offer_version(
            agent.store, make_version(f'contracts/c-{number}', 1, text)
        )
    for number in range(DATA_CENTRES):
        text = hosts(number, hosts_in_all)
        offer_version(agent.store, make_version(f'hosts/dc-{number}', 1, text))
    agent.view = build_peer_view(identity, agent.store.snapshot)
    agent.view_hosts = agent.store.snapshot.targets_by_data_centre
    return agent


def median_us(function: Callable[[], object], times: int) -> float:
    """Median microseconds of one call."""
    taken: list[float] = []
    for _ in range(times):
        began = time.perf_counter()
        function()
        taken.append(time.perf_counter() - began)
    return round(statistics.median(taken) * MICROSECONDS, 1)


def state_mb(hosts_in_all: int) -> float:
    """Megabytes that the whole configuration takes in memory."""
    tracemalloc.start()
    agent = full_agent(hosts_in_all)
    held, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(held / MEGABYTE, 2) if agent else 0


def measure(hosts_in_all: int) -> dict[str, float]:
    """Time all functions at one size."""
    agent = full_agent(hosts_in_all)
    store = agent.store
    frame = summary_frame(agent.identity, store, 0)
    raw = encode_frame(frame, KEY)
    document = frame | {
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

    contract_text = contract('c-0')
    hosts_text = hosts(1, hosts_in_all)

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
        'hosts': hosts_in_all,
        'state_mb': state_mb(hosts_in_all),
        'hosts_document_bytes': len(store.in_force['hosts/dc-1'].text),
        'bare_frame_bytes': len(raw),
        'view_us': median_us(
            lambda: build_peer_view(agent.identity, store.snapshot),
            9,
        ),
        'tick_us': median_us(lambda: on_tick(agent, time.monotonic()), 200),
        'request_us': median_us(
            lambda: encode_frame(
                on_request(agent, decode_frame(raw, KEY).ok, 1)[0],
                KEY,
            ),
            200,
        ),
        'push_us': median_us(
            lambda: choose_push_peers(agent.view, (), agent.rng),
            200,
        ),
        'hosts_frame_us': median_us(lambda: encode_frame(document, KEY), 20),
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
    """Time the functions at each size.

    Parameters
    ----------
    sizes
        Hosts in all.
    as_json
        End with one JSON object on the last line.
    """
    results = [measure(size) for size in sizes]
    for result in results:
        sys.stdout.write(f'{result}\n')
    print_results(results, as_json=as_json)


if __name__ == '__main__':
    app()
