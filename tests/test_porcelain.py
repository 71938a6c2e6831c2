import json
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from demo.fleet import free_ports
from marjoramlead.errors import DocumentError, PublishError
from marjoramlead.node_client import fetch_published, publish
from marjoramlead.porcelain import check_contract, set_data_centre_out, submit
from tests.samples import contract_text

MAX_POLLS = 200
POLL_INTERVAL_S = 0.05


@pytest.fixture(scope='module')
def publisher():
    """Run the stand-in of the publisher."""
    port = free_ports(1)[0]
    argv = [sys.executable, '-m', 'standins.source', f'--port={port}']
    process = subprocess.Popen(argv)
    address = f'http://127.0.0.1:{port}'
    for _ in range(MAX_POLLS):
        try:
            urllib.request.urlopen(f'{address}/v1/stats').close()
        except urllib.error.URLError:
            time.sleep(POLL_INTERVAL_S)
        else:
            break
    yield address
    process.terminate()
    process.wait()


def write_contract(tmp_path, text):
    path = tmp_path / 'contract.json'
    path.write_text(text)
    return path


def test_concurrent_change_is_rejected(publisher):
    name = 'contracts/first'
    revision = fetch_published(publisher, name)['revision']
    publish(publisher, name, 'one', revision)
    with pytest.raises(PublishError, match='overtaken by revision'):
        publish(publisher, name, 'two', revision)
    assert fetch_published(publisher, name)['text'] == 'one'


def test_submitting_an_unchanged_contract_keeps_its_revision(
    publisher,
    tmp_path,
):
    checked = check_contract(write_contract(tmp_path, contract_text('again')))
    revision = submit(publisher, checked)
    assert submit(publisher, checked) == revision


def test_data_centres_are_taken_out_and_brought_back_separately(publisher):
    set_data_centre_out(publisher, 'walsall', out=True)
    revision = set_data_centre_out(publisher, 'lichfield', out=True)
    assert set_data_centre_out(publisher, 'lichfield', out=True) == revision
    set_data_centre_out(publisher, 'walsall', out=False)
    document = json.loads(fetch_published(publisher, 'operations')['text'])
    assert document == {'out': ['lichfield']}


def test_error_names_publisher_that_does_not_respond():
    port = free_ports(1)[0]
    with pytest.raises(PublishError, match=str(port)):
        fetch_published(f'http://127.0.0.1:{port}', 'operations')


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        ('{', 'is not JSON'),
        ('[]', 'must be a JSON object'),
        ('{}', 'must contain'),
        (contract_text().replace('"kits"', '"x"', 1), 'routes'),
    ],
)
def test_error_names_invalid_contract_and_reason(tmp_path, text, reason):
    path = write_contract(tmp_path, text)
    with pytest.raises(DocumentError) as caught:
        check_contract(path)
    assert str(path) in str(caught.value)
    assert reason in str(caught.value)


def test_error_names_missing_file(tmp_path):
    with pytest.raises(DocumentError, match='nowhere'):
        check_contract(tmp_path / 'nowhere.json')
