"""A server that exits as soon as it has answered its first request.

Usage: ``python -m tests.closing_server BYTES``. It prints its port.
"""

import sys

from twisted.internet import reactor
from twisted.web.http_headers import Headers

from marjoramlead.http_server import make_site
from marjoramlead.listeners import Listener, close_listeners
from marjoramlead.problems import BufferedResponse

LONGEST_RUN_S = 30


def main() -> None:
    """Answer one request with a body of a given size, and exit."""
    body = b'x' * int(sys.argv[1])

    def exit_process(_open_connections: int) -> None:
        reactor.stop()

    def answer(req) -> None:
        req.send_response(BufferedResponse(200, Headers(), body))
        deadline = reactor.seconds() + LONGEST_RUN_S
        close_listeners([Listener(port, site)], reactor, deadline, exit_process)

    site = make_site(answer, reactor)
    port = reactor.listenTCP(0, site, interface='127.0.0.1')
    sys.stdout.write(f'{port.getHost().port}\n')
    sys.stdout.flush()
    reactor.callLater(LONGEST_RUN_S, reactor.stop)
    reactor.run()


if __name__ == '__main__':
    main()
