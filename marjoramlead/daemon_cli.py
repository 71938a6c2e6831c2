"""The command ``marjoramleadd``, which runs the node of one host."""

import sys
from importlib.metadata import version
from pathlib import Path

from cyclopts import App

from marjoramlead import logs
from marjoramlead.errors import SettingsError
from marjoramlead.loop import install_asyncio_reactor
from marjoramlead.settings import load_settings

__all__ = ('app', 'main')

EXIT_BAD_SETTINGS = 2

app = App(
    name='marjoramleadd',
    help='Run the marjoramlead node of this host.',
    version=lambda: version('marjoramlead'),
)


@app.default
def run(*, settings: Path, check: bool = False) -> int:
    """Run the node until SIGTERM or SIGINT, then drain and stop.

    Parameters
    ----------
    settings
        Settings file, JSON with comments.
    check
        Check the settings and exit without running the node.
    """
    try:
        loaded = load_settings(settings)
    except SettingsError as exc:
        sys.stderr.write(f'marjoramleadd: {exc}\n')
        return EXIT_BAD_SETTINGS
    if check:
        sys.stdout.write(f'{settings}: settings are valid\n')
        return 0
    logs.configure_logging(loaded.get('log_level', 'info'))
    reactor = install_asyncio_reactor()
    from marjoramlead.daemon import (  # the import needs the reactor
        build_node,
        start_node,
    )

    reactor.callWhenRunning(start_node, build_node(loaded, reactor))
    reactor.run(installSignalHandlers=False)
    return 0


def main() -> None:
    """Run the command with the arguments of the process."""
    sys.exit(app())


if __name__ == '__main__':
    main()
