"""Whom a node exchanges control frames with."""

from collections.abc import Sequence
from random import Random
from typing import Final, NamedTuple

from marjoramlead.readers import ranked
from marjoramlead.snapshot import Snapshot

__all__ = ('Identity', 'PeerView', 'choose_peer', 'choose_push', 'view_of')

FAR_ODDS: Final = 0.25
TREE_PUSHES: Final = 4
CHANCE_PUSHES: Final = 1
FIRST: Final = 16


class Identity(NamedTuple):
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
    control: str
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

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()
    order: tuple[str, ...] = ()
    rank: int = 0

    def is_empty(self) -> bool:
        """Whether no host list is known."""
        return not self.near and not self.far


def view_of(identity: Identity, snapshot: Snapshot) -> PeerView:
    """Work out the peers of a node from the host list in force."""
    near: dict[str, str] = {}
    far: list[str] = []
    for data_centre, targets in snapshot.targets_by_data_centre.items():
        for target in targets:
            address = f'{target.address}:{target.control_port}'
            if address == identity.control:
                continue
            if data_centre == identity.data_centre:
                near[target.host] = address
            else:
                far.append(address)
    order = ranked(identity.data_centre, [*near, identity.host])
    return PeerView(
        near=tuple(near.values()),
        far=tuple(far),
        order=tuple(near.get(host, identity.control) for host in order),
        rank=order.index(identity.host),
    )


def choose_peer(
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
    if view.far and (not view.near or rng.random() < FAR_ODDS):
        return rng.choice(view.far)
    if view.rank >= FIRST:
        return rng.choice(view.near)
    before = view.order[: view.rank]
    after = view.order[view.rank + 1 : FIRST]
    return rng.choice(before + after)


def choose_push(
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
    children = view.order[first : first + TREE_PUSHES]
    near = rng.sample(view.near, min(len(view.near), CHANCE_PUSHES))
    far = rng.sample(view.far, min(len(view.far), CHANCE_PUSHES))
    return list(dict.fromkeys((*children, *near, *far)))
