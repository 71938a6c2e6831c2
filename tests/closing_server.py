"""A server that closes its port and connections, and exits.

Usage: ``python -m tests.closing_server BYTES [wait]``. It prints its port, and
answers each request with a body of that size. It closes as soon as it has
answered a request or, with ``wait``, once it has read a line of its standard
input, until when its loop stands still.
"""

import sys

from twisted.internet import reactor
from twisted.web.http_headers import Headers

from marjoramlead.http_server import make_site
from marjoramlead.listeners import Listener, close_listeners
from marjoramlead.problems import BufferedResponse

LONGEST_RUN_S = 30


def main() -> None:
    """Serve until the port and all connections are closed."""
    body = b'x' * int(sys.argv[1])
    waits = sys.argv[2:] == ['wait']

    def exit_process(_open_connections: int) -> None:
        reactor.stop()

    def close() -> None:
        if not site.is_closing:
            deadline = reactor.seconds() + LONGEST_RUN_S
            listeners = [Listener(port, site)]
            close_listeners(listeners, reactor, deadline, exit_process)

    def wait_and_close() -> None:
        sys.stdin.readline()
        close()

    def answer(req) -> None:
        req.send_response(BufferedResponse(200, Headers(), body))
        if not waits:
            close()

    site = make_site(answer, reactor)
    port = reactor.listenTCP(0, site, interface='127.0.0.1')
    sys.stdout.write(f'{port.getHost().port}\n')
    sys.stdout.flush()
    if waits:
        reactor.callWhenRunning(wait_and_close)
    reactor.callLater(LONGEST_RUN_S, reactor.stop)
    reactor.run()


if __name__ == '__main__':
    main()
