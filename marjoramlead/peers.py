"""Whom a node exchanges control frames with."""

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

FAR_ODDS: Final = 0.25
TREE_PUSHES: Final = 4
CHANCE_PUSHES: Final = 1
FIRST: Final = 16


class NodeIdentity(NamedTuple):
    """What a node knows of itself from its settings.

    Attributes
    ----------
    control
        Address and port of its control socket, ``address:port``.
    seeds
        Control addresses to ask while no host list is known.
    expected_hosts
        Rough size of the fleet.
    """

    host: str
    data_centre: str
    control_address: str
    seeds: tuple[str, ...]
    expected_hosts: int


class PeerView(NamedTuple):
    """Control addresses of the host list, as this node sees it.

    Attributes
    ----------
    near
        In the own data centre.
    far
        In the others.
    order
        In the own data centre, this node included, by who reads the source
        first.
    rank
        Of this node among all in its data centre.
    """

    local: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()
    ranking: tuple[str, ...] = ()
    rank: int = 0

    def is_empty(self) -> bool:
        """Whether no host list is known."""
        return not self.local and not self.remote


def build_peer_view(identity: NodeIdentity, snapshot: Snapshot) -> PeerView:
    """Work out the peers of a node from the host list in force."""
    local: dict[str, str] = {}
    remote: list[str] = []
    for data_centre, targets in snapshot.hosts.items():
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
    others: Sequence[str],
    rng: Random,
) -> str | None:
    """Choose whom to compare with: mostly near, at times far.

    Parameters
    ----------
    view
        Peers by the host list.
    others
        Seeds and peers that were heard from, used where the list is empty
        and now and then in case that it is wrong.
    rng
        Seeded source of random choices.
    """
    if view.is_empty() or rng.random() < FAR_ODDS / 4:
        return rng.choice(others) if others else None
    if view.remote and (not view.local or rng.random() < FAR_ODDS):
        return rng.choice(view.remote)
    if view.rank >= FIRST:
        return rng.choice(view.local)
    before = view.ranking[: view.rank]
    after = view.ranking[view.rank + 1 : FIRST]
    return rng.choice(before + after)


def choose_push_peers(
    view: PeerView,
    others: Sequence[str],
    rng: Random,
) -> list[str]:
    """Choose whom to tell of a new version.

    A tree over the ranks of the data centre reaches each host once; one more
    host by chance, near and far, passes by those of the tree that are down.
    """
    if view.is_empty():
        return rng.sample(others, min(len(others), TREE_PUSHES))
    first = TREE_PUSHES * view.rank + 1
    children = view.ranking[first : first + TREE_PUSHES]
    local = rng.sample(view.local, min(len(view.local), CHANCE_PUSHES))
    remote = rng.sample(view.remote, min(len(view.remote), CHANCE_PUSHES))
    return list(dict.fromkeys((*children, *local, *remote)))
