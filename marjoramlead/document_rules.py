"""Check documents against rules that a JSON schema cannot express.

Each public function takes a document that is valid according to its schema,
and returns the first fault or None.
"""

from collections.abc import Iterator
from typing import cast

from marjoramlead.errors import Fault
from marjoramlead.generated.contract_types import (
    ContractDocument,
    RouteTerms,
    ServiceTerms,
)
from marjoramlead.generated.hosts_types import HostsDocument

__all__ = ('find_contract_fault', 'find_hosts_fault')


def find_contract_fault(parsed: dict[str, object]) -> Fault | None:
    """Find the first fault of a contract.

    Faults are references to unknown services, duplicate names, contradictory
    terms and ambiguous routes.
    """
    contract = cast(ContractDocument, parsed)
    return next(_iter_contract_faults(contract), None)


def find_hosts_fault(parsed: dict[str, object]) -> Fault | None:
    """Find the first host that is listed twice."""
    hosts = cast(HostsDocument, parsed)['hosts']
    names = [entry['host'] for entry in hosts]
    return next(_iter_duplicates('hosts', names, 'host'), None)


def _iter_contract_faults(contract: ContractDocument) -> Iterator[Fault]:
    services = {terms['service']: terms for terms in contract['services']}
    names = [terms['service'] for terms in contract['services']]
    yield from _iter_duplicates('services', names, 'service')
    routes = [terms['route'] for terms in contract['routes']]
    yield from _iter_duplicates('routes', routes, 'route')
    for index, service in enumerate(contract['services']):
        yield from _iter_service_faults(f'services[{index}]', service)
    for index, route in enumerate(contract['routes']):
        yield from _iter_route_faults(f'routes[{index}]', route, services)
    yield from _iter_ambiguous_matches(contract['routes'])


def _iter_duplicates(
    path: str,
    names: list[str],
    field: str,
) -> Iterator[Fault]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Fault(f'{path}[{index}].{field}', f'{name} is listed twice')
        seen.add(name)


def _iter_service_faults(path: str, terms: ServiceTerms) -> Iterator[Fault]:
    if terms['cold_slots'] > terms['slots']:
        yield Fault(f'{path}.cold_slots', 'must not exceed slots')
    if terms['connections'] < terms['slots']:
        yield Fault(f'{path}.connections', 'must not be fewer than slots')
    if terms['upload_slots'] + terms['internal_slots'] > terms['slots']:
        yield Fault(
            f'{path}.upload_slots',
            'must leave room for internal_slots within slots',
        )


def _iter_route_faults(
    path: str,
    terms: RouteTerms,
    services: dict[str, ServiceTerms],
) -> Iterator[Fault]:
    service = services.get(terms['service'])
    if service is None:
        yield Fault(
            f'{path}.service',
            f'{terms["service"]} is not a service of this contract',
        )
    elif terms['kind'] == 'upload' and not service['upload_slots']:
        yield Fault(
            f'{path}.kind',
            f'upload requires upload_slots of {terms["service"]}',
        )
    non_idempotent = set(terms['methods']) - {'GET', 'HEAD', 'PUT', 'DELETE'}
    if terms['kind'] == 'internal' and non_idempotent:
        yield Fault(f'{path}.methods', 'internal routes must be idempotent')


def _iter_ambiguous_matches(routes: list[RouteTerms]) -> Iterator[Fault]:
    matches = [
        (method, terms['path'], index)
        for index, terms in enumerate(routes)
        for method in terms['methods']
    ]
    first_indexes: dict[tuple[str, str], int] = {}
    for method, path, index in matches:
        first_index = first_indexes.setdefault((method, path), index)
        if first_index != index:
            yield Fault(
                f'routes[{index}].path',
                f'{method} {path} is already matched by routes[{first_index}]',
            )
