"""The work of the loop grows no faster than the records that it is done for."""

import json
import sys
from collections import Counter
from itertools import repeat

import pytest

from marjoramlead.deltas import common_bytes, encode_delta
from marjoramlead.mesh_state import MeshState
from marjoramlead.mesh_updates import apply_records
from marjoramlead.record_log import MAX_TOMBSTONES, Record
from marjoramlead.revisions import Revision
from marjoramlead.routes import ClientLimits, Route, RoutingTable, find_route

# A line counts as often as it is run; twice the input allows a little more
# than twice the lines.
MAX_GROWTH = 2.3
SIZE = 600


def count_lines(function, *arguments):
    """Run a function; return how many lines of Python it ran."""
    events = Counter()

    def trace(_frame, event, _argument):
        events[event] += 1
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function(*arguments)
    finally:
        sys.settrace(previous)
    return events['line']


def encode(rows, version):
    document = {'Sequence': version, 'Samples': rows, 'Last': version}
    return json.dumps(document).encode()


def equal_rows(size):
    rows = list(repeat([0, 0], size))
    return encode(rows, 1), encode(rows, 2)


def one_more_equal_row(size):
    rows = list(repeat([0, 0], size))
    return encode(rows, 1), encode([*rows, rows[0]], 2)


def reversed_rows(size):
    rows = [
        [number, 'a long cell that is worth copying'] for number in range(size)
    ]
    return encode(rows, 1), encode(list(reversed(rows)), 2)


def changed_rows(size):
    rows = [[f'name{number}', 'same'] for number in range(size)]
    changed = [[name, 'other', None] for name, _same in rows]
    return encode(rows, 1), encode(changed, 2)


def equal_changed_rows(size):
    rows = list(repeat([0, 0], size))
    changed = list(repeat([0, 0, 0], size))
    return encode(rows, 1), encode(changed, 2)


# CONFIG: a changed entry with many equal rows kept nodes busy for a minute.
@pytest.mark.parametrize('compare', [encode_delta, common_bytes])
@pytest.mark.parametrize(
    'make_texts',
    [
        equal_rows,
        one_more_equal_row,
        reversed_rows,
        changed_rows,
        equal_changed_rows,
    ],
)
def test_work_of_a_comparison_grows_with_the_texts(compare, make_texts):
    uncached = compare.__wrapped__
    lines = count_lines(uncached, *make_texts(SIZE))
    more_lines = count_lines(uncached, *make_texts(2 * SIZE))
    assert more_lines <= MAX_GROWTH * lines


def lapse_targets(size):
    """Delete more records than there are tombstones kept."""
    mesh_state = MeshState(lambda _record, _now: None)
    keys = [f'k{number}' for number in range(MAX_TOMBSTONES + size)]
    written = [Record(key, b'x', Revision(0, 1)) for key in keys]
    deleted = [Record(key, None, Revision(0, 2)) for key in keys]
    apply_records(mesh_state, written, 0)
    return count_lines(apply_records, mesh_state, deleted, 1)


def test_work_of_a_mass_deletion_grows_with_the_records():
    few, more, most = (lapse_targets(SIZE * factor) for factor in (1, 2, 3))
    assert most - more <= MAX_GROWTH / 2 * (more - few)


class CountedRoutes:
    """Routes that count how often one is looked up."""

    def __init__(self, routes):
        self.routes = routes
        self.lookups = 0

    def get(self, key):
        """Look up a route."""
        self.lookups += 1
        return self.routes.get(key)


def test_lookups_of_a_route_depend_on_the_prefixes_and_not_on_the_path():
    route = Route('r', 'h', '/a/b/', 'idempotent', 1, 1, 1, 1, ())
    routes = CountedRoutes({('h', '/a/b/'): route})
    table = RoutingTable(1, routes, {}, ClientLimits(), len('/a/b/'))
    assert find_route(table, 'h', f'/a/b/{"c/" * 8000}') is route
    assert find_route(table, 'h', '/' * 16_000) is None
    assert routes.lookups <= 2 * len('/a/b/')
