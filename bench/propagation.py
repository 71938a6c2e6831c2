"""Run a node with a given strategy for propagating versions.

``built`` is the strategy of the node as it is; the others are alternatives
to compare it with:

``poll``    every node reads the source once a second; no peers
``watch``   every node holds a long poll at the source; no peers
``pull``    nodes compare versions with a peer once a second, and push none
``tree``    new versions are pushed down a tree of the data centre's nodes,
            ordered by rank
``chance``  new versions are pushed to three random peers in the own data
            centre and one in another
``built``   new versions are pushed down the tree, and to one random peer in
            the own data centre and one in another

``tree``, ``chance`` and ``built`` also compare versions as ``pull`` does.
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
from marjoramlead.loop import install_asyncio_reactor
from marjoramlead.peers import PeerView

FANOUT = 4
POLL_INTERVAL_S = 1.0

polled_at: dict[str, float] = {}

app = App(name='propagation')


def choose_no_peer(
    _view: PeerView, _fallback_peers: Sequence[str], _rng: Random
) -> None:
    """Choose no peer to compare versions with."""


def choose_no_push_targets(
    _view: PeerView,
    _fallback_peers: Sequence[str],
    _rng: Random,
) -> list[str]:
    """Choose no peers to push a new version to."""
    return []


def choose_tree_push_targets(
    view: PeerView,
    _fallback_peers: Sequence[str],
    _rng: Random,
) -> list[str]:
    """Choose the node's children in a tree by rank in the data centre."""
    first = FANOUT * view.rank + 1
    return list(view.ranking[first : first + FANOUT])


def choose_random_push_targets(
    view: PeerView,
    _fallback_peers: Sequence[str],
    rng: Random,
) -> list[str]:
    """Choose three random local peers and a random remote one."""
    local = rng.sample(view.local, min(len(view.local), FANOUT - 1))
    remote = rng.sample(view.remote, min(len(view.remote), 1))
    return local + remote


def is_poll_due(node: Agent, now: float) -> bool:
    """Whether a poll of the source is due; if so, record it as made."""
    due = polled_at.get(node.identity.host, 0) + POLL_INTERVAL_S
    if now < due:
        return False
    polled_at[node.identity.host] = now
    return True


def is_watch_due(node: Agent, now: float) -> bool:
    """Whether a node may start its next long poll of the source."""
    return now >= node.next_read_at


Replacements = dict[str, Callable[..., object]]


def replacements_for(strategy: str) -> Replacements:
    """Return a strategy's functions by the name that each replaces."""
    without_peers: Replacements = {
        'choose_pull_peer': choose_no_peer,
        'choose_push_peers': choose_no_push_targets,
    }
    replacements: dict[str, Replacements] = {
        'poll': {**without_peers, '_may_read': is_poll_due},
        'watch': {**without_peers, '_may_read': is_watch_due},
        'pull': {'choose_push_peers': choose_no_push_targets},
        'tree': {'choose_push_peers': choose_tree_push_targets},
        'chance': {'choose_push_peers': choose_random_push_targets},
        'built': {},
    }
    return replacements[strategy]


def apply_strategy(strategy: str) -> None:
    """Replace functions of the agent by those of a strategy."""
    for name, function in replacements_for(strategy).items():
        setattr(agent, name, function)
    if strategy == 'poll':
        source.LONG_POLL_MS = 0  # type: ignore[misc]  # no long poll


def install_reactor_and_seed(seed: str) -> Reactor:
    """Install the reactor and seed the node's random choices."""
    reactor = install_asyncio_reactor()
    from marjoramlead import daemon  # requires an installed reactor

    setattr(daemon, Random.__name__, partial(Random, seed))
    return reactor


@app.default
def run(*, way: str, settings: Path) -> int:
    """Run a node.

    Parameters
    ----------
    way
        Propagation strategy, as listed above.
    settings
        File with the node's settings; its name is the seed.
    """
    apply_strategy(way)
    seeded = partial(install_reactor_and_seed, settings.stem)
    setattr(daemon_cli, install_asyncio_reactor.__name__, seeded)
    return daemon_cli.run(settings=settings)


if __name__ == '__main__':
    sys.exit(app())
