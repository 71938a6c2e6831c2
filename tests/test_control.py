import asyncio
import socket

import pytest

from marjoramlead.control import ControlPort
from marjoramlead.counters import Counters
from marjoramlead.frames import summary_frame
from marjoramlead.peers import NodeIdentity
from marjoramlead.versions import VersionStore

KEY = b'key of the test fleet'


def frame_from(host):
    identity = NodeIdentity(host, 'd', 'c', (), 1)
    return summary_frame(identity, VersionStore(), 0)


@pytest.fixture
def address():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def run(coroutine):
    return asyncio.run(coroutine)


def test_each_request_gets_its_reply(address):
    async def exchange():
        port = ControlPort(KEY, Counters())
        port.listen(address, lambda frame: frame_from(f'to {frame["host"]}'))
        replies = [
            await port.exchange(address, frame_from(name)) for name in 'ab'
        ]
        port.close()
        return [reply['host'] for reply in replies]

    assert run(exchange()) == ['to a', 'to b']


def test_exception_in_handler_does_not_affect_the_next_request(address):
    counters = Counters()
    exceptions = [KeyError('fault')]

    def handle(frame):
        if exceptions:
            raise exceptions.pop()
        return frame

    async def exchange():
        port = ControlPort(KEY, counters)
        port.listen(address, handle)
        replies = [
            await port.exchange(address, frame_from(name)) for name in 'ab'
        ]
        port.close()
        return replies

    first, second = run(exchange())
    assert first is None
    assert second['host'] == 'b'
    assert counters.by_name()['peer.bug'] == 1


def test_sender_with_wrong_key_gets_no_reply(address):
    counters = Counters()

    async def exchange():
        port = ControlPort(KEY, counters)
        port.listen(address, lambda frame: frame)
        sender = ControlPort(b'key of another fleet', Counters())
        reply = await sender.exchange(address, frame_from('x'))
        port.close()
        return reply

    assert run(exchange()) is None
    assert counters.by_name()['peer.bad_frame'] == 1


def test_exchange_with_silent_peer_times_out():
    async def exchange():
        with socket.socket() as silent:
            silent.bind(('127.0.0.1', 0))
            silent.listen()
            port = ControlPort(KEY, Counters())
            silent_address = f'127.0.0.1:{silent.getsockname()[1]}'
            return await port.exchange(silent_address, frame_from('x'))

    assert run(exchange()) is None
