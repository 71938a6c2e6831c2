import json
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from demo.fleet import free_ports
from marjoramlead.errors import DocumentError, PublishError
from marjoramlead.node_client import publish, published
from marjoramlead.porcelain import check_contract, set_data_centre_out, submit
from tests.samples import contract_text

STEPS = 200
STEP_S = 0.05


@pytest.fixture(scope='module')
def publisher():
    """Run the stand-in that operators publish to."""
    port = free_ports(1)[0]
    argv = [sys.executable, '-m', 'standins.source', f'--port={port}']
    process = subprocess.Popen(argv)
    address = f'http://127.0.0.1:{port}'
    for _ in range(STEPS):
        try:
            urllib.request.urlopen(f'{address}/v1/stats').close()
        except urllib.error.URLError:
            time.sleep(STEP_S)
        else:
            break
    yield address
    process.terminate()
    process.wait()


def write(tmp_path, text):
    path = tmp_path / 'contract.json'
    path.write_text(text)
    return path


def test_of_two_operators_one_is_told(publisher):
    name = 'contracts/first'
    seen = published(publisher, name)['revision']
    publish(publisher, name, 'one', seen)
    with pytest.raises(PublishError, match='overtaken by revision'):
        publish(publisher, name, 'two', seen)
    assert published(publisher, name)['text'] == 'one'


def test_same_contract_again_changes_nothing(publisher, tmp_path):
    checked = check_contract(write(tmp_path, contract_text('again')))
    revision = submit(publisher, checked)
    assert submit(publisher, checked) == revision


def test_data_centres_out_add_up(publisher):
    set_data_centre_out(publisher, 'walsall', out=True)
    revision = set_data_centre_out(publisher, 'lichfield', out=True)
    assert set_data_centre_out(publisher, 'lichfield', out=True) == revision
    set_data_centre_out(publisher, 'walsall', out=False)
    held = json.loads(published(publisher, 'operations')['text'])
    assert held == {'out': ['lichfield']}


def test_publisher_that_is_gone_is_named():
    port = free_ports(1)[0]
    with pytest.raises(PublishError, match=str(port)):
        published(f'http://127.0.0.1:{port}', 'operations')


@pytest.mark.parametrize(
    ('text', 'says'),
    [
        ('{', 'is not JSON'),
        ('[]', 'must be a JSON object'),
        ('{}', 'must contain'),
        (contract_text().replace('"kits"', '"x"', 1), 'routes'),
    ],
)
def test_bad_contract_names_file_and_reason(tmp_path, text, says):
    path = write(tmp_path, text)
    with pytest.raises(DocumentError) as caught:
        check_contract(path)
    assert str(path) in str(caught.value)
    assert says in str(caught.value)


def test_missing_file_is_named(tmp_path):
    with pytest.raises(DocumentError, match='nowhere'):
        check_contract(tmp_path / 'nowhere.json')
