"""Validate configuration documents.

A document is named ``contracts/CUSTOMER``, ``hosts/DATA-CENTRE`` or
``operations``. The result depends only on the name and the text, so that all
nodes accept or refuse the same documents, however they received them.
"""

from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import Final

from expression import Error, Ok, Result
from fastjsonschema import JsonSchemaValueException

from marjoramlead.document_rules import find_contract_fault, find_hosts_fault
from marjoramlead.errors import Fault
from marjoramlead.generated import (
    contract_validator,
    hosts_validator,
    operations_validator,
)
from marjoramlead.parsing import parse_json_object

__all__ = (
    'CONTRACTS',
    'HOSTS',
    'OPERATIONS',
    'check_document',
    'find_schema_fault',
    'text_digest',
)

Validator = Callable[[object], object]
CONTRACTS: Final = 'contracts/'
HOSTS: Final = 'hosts/'
OPERATIONS: Final = 'operations'
MAX_DOCUMENT_BYTES: Final = 1_000_000
DIGEST_BYTES: Final = 16


def text_digest(text: str) -> str:
    """Return the BLAKE2b digest of a document's text in hexadecimal."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def find_schema_fault(
    validate: Validator,
    parsed: Mapping[str, object],
) -> Fault | None:
    """Find the first violation of the schema in a parsed document."""
    try:
        validate(parsed)
    except JsonSchemaValueException as exc:
        path = str(exc.name or '').removeprefix('data').removeprefix('.')
        reason = str(exc).removeprefix(str(exc.name)).strip()
        return Fault(path, reason)
    return None


def check_document(name: str, text: str) -> Result[dict[str, object], Fault]:
    """Validate the text of a document.

    Parameters
    ----------
    name
        The document's name at the source.
    text
        JSON, in which comments are allowed.

    Returns
    -------
    The parsed document, or the first fault found.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return Error(Fault('', f'is larger than {MAX_DOCUMENT_BYTES} bytes'))
    return parse_json_object(text).bind(
        lambda parsed: _check_parsed(name, parsed),
    )


def _check_parsed(
    name: str,
    parsed: dict[str, object],
) -> Result[dict[str, object], Fault]:
    fault = _find_fault(name, parsed)
    return Ok(parsed) if fault is None else Error(fault)


def _find_fault(name: str, parsed: dict[str, object]) -> Fault | None:
    if name.startswith(CONTRACTS):
        return (
            find_schema_fault(contract_validator.validate, parsed)
            or find_contract_fault(parsed)
            or _find_name_fault(name, CONTRACTS, parsed, 'customer')
        )
    if name.startswith(HOSTS):
        return (
            find_schema_fault(hosts_validator.validate, parsed)
            or find_hosts_fault(parsed)
            or _find_name_fault(name, HOSTS, parsed, 'data_centre')
        )
    if name == OPERATIONS:
        return find_schema_fault(operations_validator.validate, parsed)
    return Fault('', f'{name} is a document of unknown kind')


def _find_name_fault(
    name: str,
    prefix: str,
    parsed: dict[str, object],
    field: str,
) -> Fault | None:
    if name == f'{prefix}{parsed[field]}':
        return None
    return Fault(
        field,
        f'must be {name.removeprefix(prefix)} to match the document name',
    )
