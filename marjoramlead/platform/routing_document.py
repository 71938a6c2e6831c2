"""Read a routing configuration outside of a node, for operators."""

import urllib.request
from base64 import b64decode
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

import msgspec

from marjoramlead.errors import DECODING_ERRORS, NodeError, SettingsError
from marjoramlead.mesh_entries import RefusedRouting
from marjoramlead.platform.names import CONFIG_KEY
from marjoramlead.platform.routing import RouteCache, decode_routing_table
from marjoramlead.routes import Route, RoutingTable

__all__ = ('RoutingDocument', 'fetch_routing', 'read_routing')

TIMEOUT_S: Final = 5.0
# Tables of a configuration whose rows are checked one by one, without rows.
EMPTY_TABLES: Final[dict[str, Any]] = {  # noqa: WPS407  # never modified
    name: {'Columns': [], 'Rows': []}
    for name in ('Routes', 'Services', 'Tenants')
}


class RoutingDocument(NamedTuple):
    """A decoded configuration, or what a node would refuse in it.

    Attributes
    ----------
    table
        None if a node would refuse the document.
    routes
        All routes, also those with the same host and prefix as another.
    refused
        What a node would refuse: one for each row that cannot be decoded, or
        one for the whole document.
    """

    table: RoutingTable | None
    routes: tuple[Route, ...]
    refused: tuple[RefusedRouting, ...]


def read_routing(path: Path) -> RoutingDocument:
    """Read a configuration from a file.

    Raises
    ------
    SettingsError
        If the file cannot be read.
    """
    try:
        body = path.read_bytes()
    except OSError as exc:
        raise SettingsError(f'{path}: {exc.strerror}') from exc
    return decode_routing(body)


def fetch_routing(store: str) -> RoutingDocument:
    """Read the configuration in force from the store.

    Parameters
    ----------
    store
        Address and port of the store.

    Raises
    ------
    NodeError
        If the store does not answer with the configuration.
    """
    query = urlencode({'Key': CONFIG_KEY})
    try:
        with urllib.request.urlopen(
            f'http://{store}/-/kv-key?{query}', timeout=TIMEOUT_S
        ) as response:
            item = msgspec.json.decode(response.read(), type=dict[str, Any])
        return decode_routing(b64decode(str(item.get('Value')), validate=True))
    except (OSError, ValueError) as exc:
        raise NodeError(f'store {store}: {exc}') from exc


def decode_routing(body: bytes) -> RoutingDocument:
    """Decode a configuration as a node does."""
    cache = RouteCache()
    decoded = decode_routing_table(cache, body)
    if isinstance(decoded, RoutingTable):
        return RoutingDocument(decoded, tuple(cache.by_row.values()), ())
    refused = tuple(_refused_rows(body)) or (decoded,)
    return RoutingDocument(None, (), refused)


def _refused_rows(body: bytes) -> Iterator[RefusedRouting]:
    """Yield what a node would refuse in each row, decoded on its own."""
    try:
        document = msgspec.json.decode(body, type=dict[str, Any])
    except DECODING_ERRORS:
        return
    whole = _decode({**document, **EMPTY_TABLES})
    if isinstance(whole, RefusedRouting):
        yield whole
        return
    for name in EMPTY_TABLES:
        table = document.get(name)
        if isinstance(table, dict) and isinstance(table.get('Rows'), list):
            yield from _refused_rows_of(document, name, table)


def _refused_rows_of(
    document: dict[str, Any], name: str, table: dict[str, Any]
) -> Iterator[RefusedRouting]:
    for index, row in enumerate(table['Rows']):
        alone = {name: {**table, 'Rows': [row]}}
        decoded = _decode({**document, **EMPTY_TABLES, **alone})
        if isinstance(decoded, RefusedRouting):
            path = decoded.path.replace(f'{name}[0]', f'{name}[{index}]', 1)
            yield decoded._replace(path=path)


def _decode(document: dict[str, Any]) -> RoutingTable | RefusedRouting:
    return decode_routing_table(RouteCache(), msgspec.json.encode(document))
