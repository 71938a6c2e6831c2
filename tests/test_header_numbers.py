"""Numbers in headers that no decoder of this protocol has written."""

import pytest

from marjoramlead.headers import parse_integer, parse_number
from tests.platform_mesh import ready_mesh

LONG_NUMBER = '9' * 5000


@pytest.mark.parametrize(
    'raw', ['', '-1', '+1', '1.5', ' 1', '1_0', '\xb2', 'x', LONG_NUMBER]
)
def test_other_text_is_no_integer(raw):
    assert parse_integer(raw) is None


@pytest.mark.parametrize('raw', ['', '-1', 'nan', 'inf', '1e999', 'x'])
def test_other_text_is_no_number(raw):
    assert parse_number(raw) is None


def test_numbers_are_parsed():
    assert parse_integer('15') == 15
    assert parse_number('1.5') == 1.5


# A header of no use hid the answer that had arrived with it.
@pytest.mark.parametrize('timeout', [LONG_NUMBER, '\xb2', 'x'])
def test_answer_with_an_odd_idle_timeout_is_delivered(timeout):
    mesh = ready_mesh('web', 'api')
    raw = f'timeout={timeout}'.encode('latin-1')
    mesh.hosts[0].target.notices = {b'Keep-Alive': raw}
    sent = mesh.send(mesh.hosts[1], '/once/x', method=b'POST')
    mesh.advance(1)
    assert sent.status == 200


@pytest.mark.parametrize('wait_ms', ['nan', 'inf', '-5', '1e999', 'x'])
def test_request_with_an_odd_deadline_has_the_usual_one(wait_ms):
    mesh = ready_mesh('web', 'api')
    sent = mesh.send(mesh.hosts[1], wait_ms=wait_ms)
    mesh.advance(1)
    assert sent.status == 200
