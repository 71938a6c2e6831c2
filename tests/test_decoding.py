"""Decoding of the platform's documents, valid and invalid."""

import json

import pytest

from marjoramlead.address import parse_address
from marjoramlead.mesh_entries import (
    ExcludedDataCentre,
    RefusedRouting,
    TargetEntry,
)
from marjoramlead.platform.decoding import decode_record
from marjoramlead.platform.fields import parse_duration
from marjoramlead.platform.routing import RouteCache
from marjoramlead.record_log import Record
from marjoramlead.routes import RoutingTable, WeightedService, find_route
from tests.platform_mesh import config, route
from tests.samples import rev

ENTRY = {
    'Service': 'web',
    'Address': '10.0.0.1:8301',
    'Zone': 'a',
    'Version': 'v1',
    'Slots': 9,
    'State': 'ready',
    'WarmupLeft': '1500ms',
    'Sequence': 4,
    'born': 1000,
}


def decode(key, document):
    raw = document if isinstance(document, bytes) else json.dumps(document)
    body = raw if isinstance(raw, bytes) else raw.encode()
    return decode_record(RouteCache(), Record(key, body, rev(7)), 50.0)


def test_target_entry_is_decoded():
    entry = decode('servers/i-1', ENTRY)
    assert entry == TargetEntry(
        'i-1', 'web', ('10.0.0.1', 8301), 'a', 9, False, 1000, 1.5, 50.0
    )  # fmt: skip


@pytest.mark.parametrize(
    'changed',
    [
        {'State': 'odd'},
        {'Slots': '9'},
        {'Slots': True},
        {'Slots': 0},
        {'Address': 'here'},
        {'Address': 5},
        {'WarmupLeft': 3},
        {'WarmupLeft': '3h'},
        {'Service': None},
        {'born': 1.5},
    ],
)
def test_invalid_target_entry_is_refused(changed):
    assert decode('servers/i-1', {**ENTRY, **changed}) is None


@pytest.mark.parametrize('name', ['Service', 'Address', 'State', 'Slots'])
def test_target_entry_without_a_field_is_refused(name):
    incomplete = {key: each for key, each in ENTRY.items() if key != name}
    assert decode('servers/i-1', incomplete) is None


@pytest.mark.parametrize('raw', [b'\xff\x00', b'', b'[]', b'"text"', b'3'])
def test_body_other_than_a_json_object_is_refused(raw):
    assert decode('servers/i-1', raw) is None
    assert isinstance(decode('op/config', raw), RefusedRouting)


def test_evacuated_data_centre_is_decoded():
    assert decode('op/evacuate/akl-a', {}) == ExcludedDataCentre('akl-a')


def test_configuration_is_decoded():
    split = [{'Service': 'web', 'Weight': 9}, {'Service': 'api', 'Weight': 1}]
    document = config(12, routes=[route('two', 'safe', None, split)])
    table = decode('op/config', document)
    assert isinstance(table, RoutingTable)
    assert table.version == 12
    two = find_route(table, 'shop.example', '/two/x/y')
    assert two.weighted_services == (
        WeightedService('web', 9),
        WeightedService('api', 1),
    )
    assert two.timeout == 1.0
    assert find_route(table, 'shop.example', '/tw') is None
    assert find_route(table, 'other.example', '/two/x') is None
    assert table.services['web'].warmup_requests_per_s == 11
    assert table.limits.body_bytes == 100_000


def test_route_with_the_longest_prefix_matches():
    longer = route('one', 'safe', 'api')
    longer[2] = '/one/two/'
    document = config(1, routes=[route('one', 'safe', 'web'), longer])
    table = decode('op/config', document)
    found = find_route(table, 'shop.example', '/one/two/three')
    assert found.weighted_services[0].service == 'api'


def test_configuration_with_an_invalid_route_is_refused():
    document = config(1, routes=[route('one', 'odd', 'web')])
    assert isinstance(decode('op/config', document), RefusedRouting)


def test_durations_and_addresses_are_parsed():
    assert parse_duration('2.5s') == 2.5
    assert parse_duration('1500ms') == 1.5
    assert parse_address('10.0.0.1:80') == ('10.0.0.1', 80)


def test_version_that_keeps_most_rows_is_decoded_like_a_first_one():
    """Rows are added, removed, changed and moved; then a column is added."""
    kept = [route(f'r{number}', 'safe', 'web') for number in range(9)]
    changed = [*kept[4:], route('r1', 'unsafe', 'api'), *kept[2:4]]
    documents = [config(1, routes=kept), config(2, routes=changed)]
    wider = config(3, routes=kept)
    wider['Routes']['Columns'].insert(0, 'Note')
    for row in wider['Routes']['Rows']:
        row.insert(0, 'text')
    cache = RouteCache()
    for document in (*documents, wider, documents[0]):
        record = Record('op/config', json.dumps(document).encode(), rev(7))
        assert decode_record(cache, record, 1) == decode('op/config', document)
