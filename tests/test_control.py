import asyncio
import socket

import pytest

from marjoramlead.control import ControlPort
from marjoramlead.counters import Counters
from marjoramlead.frames import summary_frame
from marjoramlead.peers import NodeIdentity
from marjoramlead.versions import VersionStore

KEY = b'key of the test fleet'


def frame_of(host):
    identity = NodeIdentity(host, 'd', 'c', (), 1)
    return summary_frame(identity, VersionStore(), 0)


@pytest.fixture
def address():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def run(coroutine):
    return asyncio.run(coroutine)


def test_reply_answers_the_request(address):
    async def exchange():
        port = ControlPort(KEY, Counters())
        port.listen(address, lambda frame: frame_of(f'to {frame["host"]}'))
        replies = [
            await port.exchange(address, frame_of(name)) for name in 'ab'
        ]
        port.close()
        return [reply['host'] for reply in replies]

    assert run(exchange()) == ['to a', 'to b']


def test_fault_in_one_answer_does_not_stop_the_next(address):
    counters = Counters()
    faults = [KeyError('fault')]

    def answer(frame):
        if faults:
            raise faults.pop()
        return frame

    async def exchange():
        port = ControlPort(KEY, counters)
        port.listen(address, answer)
        replies = [
            await port.exchange(address, frame_of(name)) for name in 'ab'
        ]
        port.close()
        return replies

    first, second = run(exchange())
    assert first is None
    assert second['host'] == 'b'
    assert counters.by_name()['peer.bug'] == 1


def test_stray_sender_gets_no_answer(address):
    counters = Counters()

    async def exchange():
        port = ControlPort(KEY, counters)
        port.listen(address, lambda frame: frame)
        stray = ControlPort(b'key of another fleet', Counters())
        reply = await stray.exchange(address, frame_of('x'))
        port.close()
        return reply

    assert run(exchange()) is None
    assert counters.by_name()['peer.bad_frame'] == 1


def test_silent_peer_costs_one_exchange():
    async def exchange():
        with socket.socket() as silent:
            silent.bind(('127.0.0.1', 0))
            silent.listen()
            port = ControlPort(KEY, Counters())
            where = f'127.0.0.1:{silent.getsockname()[1]}'
            return await port.exchange(where, frame_of('x'))

    assert run(exchange()) is None
