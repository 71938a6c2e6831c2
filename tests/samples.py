"""Sample documents for the tests."""

import copy
import json
from pathlib import Path

import jsonc

from marjoramlead.revisions import Revision

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'


def contract(customer: str = 'tamworth') -> dict:
    """Return a copy of a customer's example contract."""
    return copy.deepcopy(
        jsonc.loads((EXAMPLES / f'{customer}.json').read_text())
    )


def contract_text(customer: str = 'tamworth', queue: int = 20) -> str:
    """Return the text of a valid contract.

    Tests use different values of ``queue`` to get different versions.
    """
    terms = contract()
    terms['customer'] = customer
    terms['services'][0]['queue'] = queue
    return json.dumps(terms)


def hosts_text(data_centre: str, hosts: list[dict]) -> str:
    """Return the text of a host list."""
    return json.dumps({'data_centre': data_centre, 'hosts': hosts})


def host(name: str, port: int = 1, **changes: object) -> dict:
    """Return one entry of a host list, with fields replaced by ``changes``."""
    return {
        'host': name,
        'address': '127.0.0.1',
        'guard_port': port,
        'control_port': port,
        'customer': 'tamworth',
        'service': 'kits',
        'state': 'live',
        **changes,
    }


def rev(number, era=0):
    """Return a revision of the store, by default of its first era."""
    return Revision(era, number)
