"""Choose the peers that a node exchanges control frames with."""

from collections.abc import Sequence
from random import Random
from typing import Final, NamedTuple

from marjoramlead.readers import rank_hosts
from marjoramlead.snapshot import Snapshot

__all__ = (
    'NodeIdentity',
    'PeerView',
    'build_peer_view',
    'choose_pull_peer',
    'choose_push_peers',
)

REMOTE_PROBABILITY: Final = 0.25
TREE_FANOUT: Final = 4
RANDOM_PUSHES: Final = 1
TOP_RANKS: Final = 16


class NodeIdentity(NamedTuple):
    """Identity of a node and its bootstrap peers, from its settings.

    Attributes
    ----------
    control_address
        Address and port of the node's control socket, ``address:port``.
    seeds
        Control addresses of the peers to use while no host list is known.
    expected_hosts
        Approximate number of hosts in the fleet.
    """

    host: str
    data_centre: str
    control_address: str
    seeds: tuple[str, ...]
    expected_hosts: int


class PeerView(NamedTuple):
    """Control addresses of a node's peers, from the host list.

    Attributes
    ----------
    local
        Peers in the node's data centre.
    remote
        Peers in other data centres.
    ranking
        All nodes of the data centre, including this one, in the order in
        which they become readers of the source.
    rank
        Index of this node in ``ranking``.
    """

    local: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()
    ranking: tuple[str, ...] = ()
    rank: int = 0

    def is_empty(self) -> bool:
        """Return whether there are no peers, as before the first host list."""
        return not self.local and not self.remote


def build_peer_view(identity: NodeIdentity, snapshot: Snapshot) -> PeerView:
    """Build the peer view of a node from the host list in force."""
    local: dict[str, str] = {}
    remote: list[str] = []
    for data_centre, targets in snapshot.targets_by_data_centre.items():
        for target in targets:
            address = f'{target.address}:{target.control_port}'
            if address == identity.control_address:
                continue
            if data_centre == identity.data_centre:
                local[target.host] = address
            else:
                remote.append(address)
    ranking = rank_hosts(identity.data_centre, [*local, identity.host])
    return PeerView(
        local=tuple(local.values()),
        remote=tuple(remote),
        ranking=tuple(
            local.get(host, identity.control_address) for host in ranking
        ),
        rank=ranking.index(identity.host),
    )


def choose_pull_peer(
    view: PeerView,
    fallback_peers: Sequence[str],
    rng: Random,
) -> str | None:
    """Choose a random peer to pull from, usually in the same data centre.

    Nodes below the top ranks pull from any node of their data centre. The top
    ranks are the first to read the source and pull from one another.

    Parameters
    ----------
    view
        Peers from the host list.
    fallback_peers
        Seeds and peers that have sent frames. They are used if the host list
        is empty, and occasionally otherwise, in case the list is wrong.
    rng
        Random number generator.

    Returns
    -------
    Control address of the peer; None if there is none.
    """
    if view.is_empty() or rng.random() < REMOTE_PROBABILITY / 4:
        return rng.choice(fallback_peers) if fallback_peers else None
    if view.remote and (not view.local or rng.random() < REMOTE_PROBABILITY):
        return rng.choice(view.remote)
    if view.rank >= TOP_RANKS:
        return rng.choice(view.local)
    before = view.ranking[: view.rank]
    after = view.ranking[view.rank + 1 : TOP_RANKS]
    return rng.choice(before + after)


def choose_push_peers(
    view: PeerView,
    fallback_peers: Sequence[str],
    rng: Random,
) -> list[str]:
    """Choose the peers to announce a change to.

    Pushes follow a tree over the ranks of the data centre, which reaches each
    host once. Each node also pushes to a random local and a random remote
    peer, so that the change spreads past nodes of the tree that are down.
    """
    if view.is_empty():
        return rng.sample(fallback_peers, min(len(fallback_peers), TREE_FANOUT))
    first = TREE_FANOUT * view.rank + 1
    children = view.ranking[first : first + TREE_FANOUT]
    local = rng.sample(view.local, min(len(view.local), RANDOM_PUSHES))
    remote = rng.sample(view.remote, min(len(view.remote), RANDOM_PUSHES))
    return list(dict.fromkeys((*children, *local, *remote)))
