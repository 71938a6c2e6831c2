import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.documents import (
    MAX_DOCUMENT_BYTES,
    check_document,
    parse_json_object,
)
from tests.samples import contract, host, hosts_text


def fault_of(name, parsed):
    checked = check_document(name, json.dumps(parsed))
    return checked.error if checked.is_error() else None


def changed_contract(path, new_value):
    terms = contract()
    container = terms
    for step in path[:-1]:
        container = container[step]
    if new_value is None:
        container.pop(path[-1])
    else:
        container[path[-1]] = new_value
    return terms


def test_example_contracts_are_valid():
    for customer in ('tamworth', 'te-puna-tatai'):
        assert fault_of(f'contracts/{customer}', contract(customer)) is None


@pytest.mark.parametrize(
    ('path', 'new_value', 'fault_path', 'expected_reason'),
    [
        (('services', 0, 'slots'), 'many', 'services[0].slots', 'integer'),
        (('services', 0, 'slots'), True, 'services[0].slots', 'integer'),
        (('services', 0, 'colour'), 'red', 'services[0]', 'colour'),
        (('services', 0, 'queue'), None, 'services[0]', 'queue'),
        (('retry_share',), 1.5, 'retry_share', '1'),
        (('routes', 1, 'service'), 'x', 'routes[1].service', 'not a service'),
        (('routes', 1, 'route'), 'look-up', 'routes[1].route', 'twice'),
        (('routes', 1, 'path'), '/kits', 'routes[1].path', 'already'),
        (('services', 0, 'cold_slots'), 7, 'services[0].cold_slots', 'slots'),
        (('services', 0, 'connections'), 2, 'services[0].connections', 'few'),
        (('services', 1, 'upload_slots'), 6, 'services[1]', 'room'),
        (('services', 1, 'upload_slots'), 0, 'routes[4].kind', 'upload'),
        (('customer',), 'someone', 'customer', 'tamworth'),
    ],
)
def test_fault_names_path_and_reason(
    path, new_value, fault_path, expected_reason
):
    fault = fault_of('contracts/tamworth', changed_contract(path, new_value))
    assert fault is not None
    assert fault_path in fault.path
    assert expected_reason in fault.reason


@pytest.mark.parametrize(
    'text',
    ['', '{', '[]', '{"customer": ', 'null', '[' * 100_000],
)
def test_text_other_than_a_json_object_is_refused(text):
    assert check_document('contracts/tamworth', text).is_error()


def test_too_large_document_is_refused():
    text = json.dumps(contract()) + ' ' * MAX_DOCUMENT_BYTES
    assert 'larger' in check_document('contracts/tamworth', text).error.reason


def test_comments_are_allowed():
    text = f'// why\n{json.dumps(contract())}'
    assert check_document('contracts/tamworth', text).is_ok()


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: (
            st.dictionaries(st.text(), inner, max_size=3)
            | st.lists(inner, max_size=3)
        ),
    ),
)
def test_trailing_comment_does_not_change_the_parsed_value(parsed):
    text = json.dumps({'a': parsed})
    plain = parse_json_object(text)
    commented = parse_json_object(f'{text} // end')
    assert str(plain) == str(commented)


def test_unknown_document_kind_is_refused():
    assert check_document('secrets/tamworth', '{}').is_error()


def test_duplicate_host_is_refused():
    text = hosts_text('walsall', [host('w-1'), host('w-1')])
    checked = check_document('hosts/walsall', text)
    assert checked.error.path == 'hosts[1].host'
