"""Run a node whose way of passing versions on is another one.

The ways that were weighed against the one that is built:

``poll``    every node reads the source once a second; no peers
``watch``   every node waits on the source; no peers
``pull``    peers are only compared with, once a second; nobody is told
``tree``    new versions go down a tree by rank, without random choice
``chance``  new versions go to three near and one far, by random choice
``built``   down the tree, and to one near and one far by random choice
"""

import sys
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from random import Random

from cyclopts import App

from marjoramlead import agent, daemon_cli, source
from marjoramlead.agent import Agent
from marjoramlead.clock import Reactor
from marjoramlead.loop import install_reactor
from marjoramlead.peers import PeerView

FANOUT = 4
POLL_S = 1.0

polled_at: dict[str, float] = {}

app = App(name='propagation')


def no_peer(_view: PeerView, _others: Sequence[str], _rng: Random) -> None:
    """Compare with nobody."""


def no_push(
    _view: PeerView,
    _others: Sequence[str],
    _rng: Random,
) -> list[str]:
    """Tell nobody."""
    return []


def tree_push(
    view: PeerView,
    _others: Sequence[str],
    _rng: Random,
) -> list[str]:
    """Tell the children in a tree over the ranks of the data centre."""
    first = FANOUT * view.rank + 1
    return list(view.ranking[first : first + FANOUT])


def chance_push(
    view: PeerView,
    _others: Sequence[str],
    rng: Random,
) -> list[str]:
    """Tell three near and one far by chance."""
    local = rng.sample(view.local, min(len(view.local), FANOUT - 1))
    remote = rng.sample(view.remote, min(len(view.remote), 1))
    return local + remote


def may_poll(node: Agent, now: float) -> bool:
    """Read once a second."""
    due = polled_at.get(node.identity.host, 0) + POLL_S
    if now < due:
        return False
    polled_at[node.identity.host] = now
    return True


def may_watch(node: Agent, now: float) -> bool:
    """Wait on the source all the time."""
    return now >= node.next_read_at


Patch = dict[str, Callable[..., object]]


def patch_of(way: str) -> Patch:
    """Name what a way does otherwise."""
    alone: Patch = {'choose_pull_peer': no_peer, 'choose_push_peers': no_push}
    ways: dict[str, Patch] = {
        'poll': {**alone, '_may_read': may_poll},
        'watch': {**alone, '_may_read': may_watch},
        'pull': {'choose_push_peers': no_push},
        'tree': {'choose_push_peers': tree_push},
        'chance': {'choose_push_peers': chance_push},
        'built': {},
    }
    return ways[way]


def apply_way(way: str) -> None:
    """Replace what differs."""
    for name, function in patch_of(way).items():
        setattr(agent, name, function)
    if way == 'poll':
        source.LONG_POLL_MS = 0  # type: ignore[misc]  # another way


def install_seeded(seed: str) -> Reactor:
    """Install the loop, and make the node's random choices repeatable."""
    reactor = install_reactor()
    from marjoramlead import daemon  # needs the reactor

    setattr(daemon, Random.__name__, partial(Random, seed))
    return reactor


@app.default
def run(*, way: str, settings: Path) -> int:
    """Run the node."""
    apply_way(way)
    seeded = partial(install_seeded, settings.stem)
    setattr(daemon_cli, install_reactor.__name__, seeded)
    return daemon_cli.run(settings=settings)


if __name__ == '__main__':
    sys.exit(app())
