"""Immutable snapshot of the configuration in force on a node.

A change of the configuration makes a new snapshot, which replaces the old one
as a whole.
"""

from collections.abc import Mapping
from typing import Literal, NamedTuple, cast

from marjoramlead.documents import CONTRACTS, HOSTS
from marjoramlead.generated.contract_types import (
    ContractDocument,
    RouteTerms,
    ServiceTerms,
)
from marjoramlead.generated.hosts_types import HostEntry, HostsDocument
from marjoramlead.generated.operations_types import OperationsDocument

__all__ = (
    'Contract',
    'ContractRoute',
    'Snapshot',
    'Target',
    'all_targets',
    'find_route',
    'with_document',
    'without_document',
)

RouteKind = Literal['idempotent', 'at_most_once', 'upload', 'internal']
MS_PER_SECOND = 1000


class ContractRoute(NamedTuple):
    """A contract's route: which calls go to a service, and their limits.

    Attributes
    ----------
    path
        Path prefix that the calls match.
    wait_limit_s
        Time limit for the complete response to a call, in seconds.
    attempts
        Maximum number of attempts for a call, including the first one.
    """

    name: str
    service: str
    methods: frozenset[str]
    path: str
    kind: RouteKind
    wait_limit_s: float
    attempts: int


class Contract(NamedTuple):
    """A customer's contract, compiled for look-ups.

    Attributes
    ----------
    retry_share
        Retries allowed for each first attempt, from 0 to 1.
    key_memory_s
        Seconds for which an idempotency key is remembered.
    services
        Terms of each service by its name.
    routes
        Routes in order of decreasing path length.
    """

    customer: str
    retry_share: float
    key_memory_s: float
    services: Mapping[str, ServiceTerms]
    routes: tuple[ContractRoute, ...]


class Target(NamedTuple):
    """A target and the host on which it runs."""

    host: str
    data_centre: str
    address: str
    guard_port: int
    control_port: int
    customer: str
    service: str
    leaving: bool


class Snapshot(NamedTuple):
    """All documents in force, compiled for look-ups.

    Attributes
    ----------
    contracts
        Contracts by customer.
    targets_by_data_centre
        Targets by data centre.
    data_centres_out
        Data centres that operators have taken out of service.
    targets_by_service
        Targets by customer and service.
    """

    contracts: Mapping[str, Contract] = {}
    targets_by_data_centre: Mapping[str, tuple[Target, ...]] = {}
    data_centres_out: frozenset[str] = frozenset()
    targets_by_service: Mapping[tuple[str, str], tuple[Target, ...]] = {}


def with_document(
    snapshot: Snapshot,
    name: str,
    parsed: Mapping[str, object],
) -> Snapshot:
    """Return a copy of the snapshot with a valid document in force."""
    if name.startswith(CONTRACTS):
        contract = _compile_contract(cast(ContractDocument, parsed))
        contracts = {**snapshot.contracts, contract.customer: contract}
        return snapshot._replace(contracts=contracts)
    if name.startswith(HOSTS):
        document = cast(HostsDocument, parsed)
        targets = tuple(
            _compile_target(document['data_centre'], entry)
            for entry in document['hosts']
        )
        targets_by_data_centre = {
            **snapshot.targets_by_data_centre,
            document['data_centre']: targets,
        }
        return snapshot._replace(
            targets_by_data_centre=targets_by_data_centre,
            targets_by_service=_group_by_service(targets_by_data_centre),
        )
    operations = cast(OperationsDocument, parsed)
    return snapshot._replace(data_centres_out=frozenset(operations['out']))


def without_document(snapshot: Snapshot, name: str) -> Snapshot:
    """Return a copy of the snapshot without a document."""
    if name.startswith(CONTRACTS):
        contracts = dict(snapshot.contracts)
        contracts.pop(name.removeprefix(CONTRACTS), None)
        return snapshot._replace(contracts=contracts)
    if name.startswith(HOSTS):
        targets_by_data_centre = dict(snapshot.targets_by_data_centre)
        targets_by_data_centre.pop(name.removeprefix(HOSTS), None)
        return snapshot._replace(
            targets_by_data_centre=targets_by_data_centre,
            targets_by_service=_group_by_service(targets_by_data_centre),
        )
    return snapshot._replace(data_centres_out=frozenset())


def find_route(
    contract: Contract, method: str, path: str
) -> ContractRoute | None:
    """Return the matching route with the longest path."""
    for route in contract.routes:
        if method in route.methods and _path_matches(route.path, path):
            return route
    return None


def all_targets(snapshot: Snapshot) -> list[Target]:
    """List the targets of every data centre."""
    return [
        target
        for pool in snapshot.targets_by_data_centre.values()
        for target in pool
    ]


def _path_matches(prefix: str, path: str) -> bool:
    if path == prefix:
        return True
    return path.startswith(prefix if prefix.endswith('/') else f'{prefix}/')


def _compile_contract(document: ContractDocument) -> Contract:
    routes = [_compile_route(terms) for terms in document['routes']]
    routes.sort(key=lambda route: -len(route.path))
    return Contract(
        customer=document['customer'],
        retry_share=document['retry_share'],
        key_memory_s=document['key_memory_ms'] / MS_PER_SECOND,
        services={terms['service']: terms for terms in document['services']},
        routes=tuple(routes),
    )


def _compile_route(terms: RouteTerms) -> ContractRoute:
    return ContractRoute(
        name=terms['route'],
        service=terms['service'],
        methods=frozenset(terms['methods']),
        path=terms['path'],
        kind=terms['kind'],
        wait_limit_s=terms['wait_limit_ms'] / MS_PER_SECOND,
        attempts=terms['attempts'],
    )


def _compile_target(data_centre: str, entry: HostEntry) -> Target:
    return Target(
        host=entry['host'],
        data_centre=data_centre,
        address=entry['address'],
        guard_port=entry['guard_port'],
        control_port=entry['control_port'],
        customer=entry['customer'],
        service=entry['service'],
        leaving=entry['state'] == 'leaving',
    )


def _group_by_service(
    targets_by_data_centre: Mapping[str, tuple[Target, ...]],
) -> dict[tuple[str, str], tuple[Target, ...]]:
    pools: dict[tuple[str, str], list[Target]] = {}
    for targets in targets_by_data_centre.values():
        for target in targets:
            key = (target.customer, target.service)
            pools.setdefault(key, []).append(target)
    return {key: tuple(members) for key, members in pools.items()}
