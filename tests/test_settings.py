import json

import jsonc
import pytest
from statsd import StatsClient

from demo.fleet import free_ports
from marjoramlead.counters import Counters
from marjoramlead.daemon_cli import EXIT_BAD_SETTINGS, run
from marjoramlead.errors import SettingsError
from marjoramlead.settings import load_settings
from tests.samples import EXAMPLES

EXAMPLE = EXAMPLES / 'node.json'


def write_settings(tmp_path, **changes):
    settings = jsonc.loads(EXAMPLE.read_text()) | changes
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(settings))
    return path


def test_example_settings_are_valid():
    assert load_settings(EXAMPLE)['host'] == 'akl-a-01'
    assert run(settings=EXAMPLE, check=True) == 0


@pytest.mark.parametrize(
    ('changes', 'message'),
    [
        ({'colour': 'red'}, 'colour'),
        ({'expected_hosts': 0}, 'expected_hosts'),
        ({'expected_hosts': 'many'}, 'expected_hosts'),
        ({'key': 'short'}, 'key'),
        (
            {'ports': {'gateway': 1, 'guard': 1, 'control': 2, 'admin': 3}},
            'ports',
        ),
        ({'ports': {'gateway': 1}}, 'ports'),
        ({'seeds': ['somewhere']}, r'seeds\[0\]'),
    ],
)
def test_error_names_file_path_and_reason(tmp_path, changes, message):
    path = write_settings(tmp_path, **changes)
    with pytest.raises(SettingsError, match=message) as exc_info:
        load_settings(path)
    assert str(path) in str(exc_info.value)


def test_daemon_does_not_start_with_invalid_settings(tmp_path, capsys):
    path = write_settings(tmp_path, key='short')
    assert run(settings=path) == EXIT_BAD_SETTINGS
    assert str(path) in capsys.readouterr().err


def test_missing_or_undecodable_file_is_reported(tmp_path):
    path = tmp_path / 'node.json'
    with pytest.raises(SettingsError, match='cannot be read'):
        load_settings(path)
    path.write_bytes(b'\xff\xfe')
    with pytest.raises(SettingsError, match='UTF-8'):
        load_settings(path)


def test_unreachable_statsd_does_not_affect_counters():
    counters = Counters(StatsClient('127.0.0.1', free_ports(1)[0]))
    for _ in range(100):
        counters.add('refused.overload')
    assert counters.by_name() == {'refused.overload': 100}


def test_counters_are_sent_to_statsd():
    sent = []

    class Statsd:
        def incr(self, stat, count=1):
            sent.append((stat, count))

    counters = Counters(Statsd())
    counters.add('refused.overload')
    assert sent == [('refused.overload', 1)]
    assert counters.by_name() == {'refused.overload': 1}
