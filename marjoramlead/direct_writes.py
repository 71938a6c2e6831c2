"""Write to a TCP connection without waiting for the event loop.

Twisted keeps what is written, asks the operating system when the connection is
writable and sends in the next iteration of its loop: two calls to change what
is polled and one iteration for each message. A connection with nothing to send
is nearly always writable, so the message is sent at once, and only what the
operating system does not accept is kept.
"""

from typing import Final, Protocol

from twisted.internet.tcp import Connection

__all__ = ('Writable', 'discard_unsent', 'unsent_bytes', 'write_now')

# Longer messages are left to the loop, which sends them in parts.
MAX_DIRECT_BYTES: Final = 65_536


class Writable(Protocol):
    """The part of a transport that is used here."""

    def write(self, chunk: bytes) -> None:
        """Queue bytes to be sent."""


def write_now(transport: Writable, chunk: bytes) -> None:
    """Send bytes, behind those that wait, and keep what is not accepted.

    A failure to send is left to the loop, which reports it as a lost
    connection.
    """
    if not isinstance(transport, Connection) or not _is_free(transport):
        transport.write(chunk)
        return
    if len(chunk) > MAX_DIRECT_BYTES:
        transport.write(chunk)
        return
    sent = transport.writeSomeData(chunk)
    if not isinstance(sent, int):
        transport.write(chunk)
    elif sent < len(chunk):
        transport.write(chunk[sent:])


def unsent_bytes(transport: object) -> int:
    """Return how many bytes the operating system has not accepted yet."""
    if not isinstance(transport, Connection):
        return 0
    kept = len(transport.dataBuffer) - transport.offset
    return kept + transport._tempDataLen


def discard_unsent(transport: object) -> None:
    """Free what a closed connection has not sent.

    Its transport and its protocol refer to each other, so both are kept until
    garbage is collected.
    """
    if isinstance(transport, Connection):
        transport.dataBuffer = b''
        transport._tempDataBuffer = []
        transport._tempDataLen = 0


def _is_free(connection: Connection) -> bool:
    """Return whether a connection is open and has nothing to send."""
    waits = connection.dataBuffer or getattr(
        connection, '_tempDataBuffer', True
    )
    is_ending = connection.disconnecting or connection.disconnected
    return bool(connection.connected) and not waits and not is_ending
