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


@given(texts, texts)
def test_delta_rebuilds_the_text(base, target):
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


def test_edit_outside_the_base_is_refused():
    with pytest.raises(ValueError, match='outside the base'):
        apply_delta(b'abc', [Edit(0, 4, b'')])
