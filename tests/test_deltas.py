"""Differences between texts: exact for any texts, small for few changes."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.deltas import Edit, apply_delta, encode_delta
from tests.platform_mesh import config, route

texts = st.lists(
    st.sampled_from([b'[a],', b'[b], ', b'x', b'[c]']), max_size=20
).map(b''.join)
tables = st.lists(
    st.lists(
        st.sampled_from(['', 'x', None, 'a long cell that is worth copying'])
        | st.integers(0, 9).map('name{}'.format),
        max_size=5,
    ),
    max_size=8,
).map(lambda rows: json.dumps(rows).encode())


@given(texts, texts)
def test_delta_rebuilds_the_text(base, target):
    assert apply_delta(base, encode_delta(base, target)) == target


@given(tables, tables)
def test_delta_rebuilds_a_table(base, target):
    assert apply_delta(base, encode_delta(base, target)) == target


@given(st.binary(), st.binary())
def test_delta_of_unstructured_bytes_rebuilds_the_text(base, target):
    assert apply_delta(base, encode_delta(base, target)) == target


def test_delta_of_one_changed_route_is_small():
    routes = [route(f'r{number}', 'safe', 'web') for number in range(800)]
    base = json.dumps(config(1, routes=routes)).encode()
    routes[400] = route('r400', 'safe', 'api')
    target = json.dumps(config(2, routes=routes)).encode()
    edits = encode_delta(base, target)
    assert apply_delta(base, edits) == target
    assert sum(len(edit.inserted) for edit in edits) < len(base) / 100


def table(version, routes, without=()):
    """Encode a configuration, leaving out columns of its routes."""
    document = config(version, routes=routes)
    columns, rows = document['Routes'].values()
    kept = [index for index, name in enumerate(columns) if name not in without]
    document['Routes'] = {
        'Columns': [columns[index] for index in kept],
        'Rows': [[row[index] for index in kept] for row in rows],
    }
    return json.dumps(document).encode()


@pytest.mark.parametrize('column', ['Name', 'Priority', 'WeightedServices'])
@pytest.mark.parametrize('is_added', [False, True])
@pytest.mark.parametrize('other_rows', [slice(0, 800), slice(20, 790)])
def test_delta_of_a_column_that_all_rows_gain_or_lose_is_small(
    column, is_added, other_rows
):
    routes = [route(f'r{number}', 'safe', 'web') for number in range(800)]
    base = table(1, routes)
    target = table(2, routes[other_rows], without=[column])
    if is_added:
        base, target = target, base
    edits = encode_delta(base, target)
    assert apply_delta(base, edits) == target
    assert sum(len(edit.inserted) for edit in edits) < len(target) / 3


def test_edit_outside_the_base_is_refused():
    with pytest.raises(ValueError, match='outside the base'):
        apply_delta(b'abc', [Edit(0, 4, b'')])


def test_delta_of_one_more_equal_row_is_small():
    rows = [[0, 0] for _row in range(2000)]
    base = json.dumps([rows, 1]).encode()
    target = json.dumps([[*rows, rows[0], [1, 1]], 2]).encode()
    edits = encode_delta(base, target)
    assert apply_delta(base, edits) == target
    assert len(edits) <= 3
    assert sum(len(edit.inserted) for edit in edits) < 30


def test_delta_of_equal_rows_between_changed_ones_is_small():
    rows = [[0, 0] for _row in range(2000)]
    base = json.dumps([['a'], *rows, ['b']]).encode()
    target = json.dumps([['c'], *rows, rows[0], ['d']]).encode()
    edits = encode_delta(base, target)
    assert apply_delta(base, edits) == target
    assert sum(len(edit.inserted) for edit in edits) < 60
