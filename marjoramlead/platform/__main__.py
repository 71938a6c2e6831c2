"""Run the node of this host: ``python -m marjoramlead.platform``."""

import gc
import os
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import TypeVar

from marjoramlead.allocator import set_block_threshold
from marjoramlead.errors import SettingsError
from marjoramlead.events import configure_event_log, emit
from marjoramlead.loop import install_reactor
from marjoramlead.platform.names import SETTINGS_ENV_VAR

EXIT_BAD_SETTINGS = 2

Config = TypeVar('Config')


def main() -> int:
    """Run the node until it is stopped; returns the exit status."""
    set_block_threshold()
    gc.disable()  # imports leave no garbage to collect
    reactor = install_reactor()
    from marjoramlead.lifecycle import install_signal_handlers, start_sidecar
    from marjoramlead.platform.decoding import (  # after install_reactor()
        decode_record,
    )
    from marjoramlead.platform.names import (
        PLATFORM_HEADER_NAMES,
        parent_request_id,
    )
    from marjoramlead.platform.routing import RouteCache
    from marjoramlead.platform.settings import load_sidecar_config
    from marjoramlead.platform.store import PlatformStore
    from marjoramlead.sidecar import PlatformAdapter, build_sidecar

    path = Path(os.environ.get(SETTINGS_ENV_VAR, ''))
    try:
        config = load_sidecar_config(path)
    except SettingsError as exc:
        sys.stderr.write(f'marjoramlead: {exc}\n')
        return EXIT_BAD_SETTINGS
    configure_event_log(config.host)
    adapter = PlatformAdapter(
        PLATFORM_HEADER_NAMES,
        partial(decode_record, RouteCache()),
        lambda metrics, budget: PlatformStore(
            reactor, config.store, metrics, budget
        ),
        _make_reloader(path, load_sidecar_config),
        parent_request_id,
    )
    sidecar = build_sidecar(config, reactor, adapter, Random())
    reactor.callWhenRunning(install_signal_handlers, sidecar)
    reactor.callWhenRunning(start_sidecar, sidecar)
    gc.freeze()
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return 0


def _make_reloader(
    path: Path,
    load: Callable[[Path], Config],
) -> Callable[[], Config | None]:
    """Return a function that reloads the settings if the file has changed."""
    last_text = [path.read_bytes()]

    def reload() -> Config | None:
        try:
            text = path.read_bytes()
        except OSError as exc:
            emit('reload_refused', reason=str(exc))
            return None
        if text == last_text[0]:
            return None
        last_text[0] = text
        try:
            return load(path)
        except SettingsError as exc:
            emit('reload_refused', reason=str(exc))
            return None

    return reload


if __name__ == '__main__':
    sys.exit(main())
