"""Decide which nodes read the store and which node each other node follows.

The nodes of a data centre are ranked by rendezvous hashing. The first one reads
the store; every other node follows a node of a lower rank, so that reads of
the store don't grow with the number of nodes. All nodes rank alike without
communication. A node that loses its parent reads the store itself and follows
a reader of another data centre; so does a reader that loses the store.
"""

from collections.abc import Collection, Mapping
from typing import Final, NamedTuple

from marjoramlead.readers import rank_hosts

__all__ = ('FeedSources', 'choose_sources')

# Followers of one node. Each costs about two small requests a second.
FAN_OUT: Final = 8


class FeedSources(NamedTuple):
    """Hosts whose nodes a node may read.

    Attributes
    ----------
    parent
        Host of the node to follow; None if the node reads the store.
    alternates
        Hosts to follow if the parent or the store fails, the preferred one
        first.
    """

    parent: str | None
    alternates: list[str]


def choose_sources(
    host: str, data_centre: str, hosts: Mapping[str, Collection[str]]
) -> FeedSources:
    """Choose the nodes that a node may read.

    Parameters
    ----------
    host
        The node's own host.
    data_centre
        Data centre of the node.
    hosts
        Hosts of each data centre.
    """
    ranked = rank_hosts(data_centre, {host, *hosts.get(data_centre, ())})
    rank = ranked.index(host)
    alternates = _readers_elsewhere(data_centre, hosts)
    if not rank:
        return FeedSources(None, alternates)
    parent = (rank - 1) // FAN_OUT
    if parent:
        alternates.insert(0, ranked[parent - 1])
    return FeedSources(ranked[parent], alternates)


def _readers_elsewhere(
    data_centre: str, hosts: Mapping[str, Collection[str]]
) -> list[str]:
    """Return the readers of the other data centres.

    They are in the order of the names that follow this data centre's, so that
    the nodes of different data centres turn to different readers.
    """
    others = sorted(
        (name <= data_centre, name)
        for name in hosts
        if name != data_centre and hosts[name]
    )
    return [rank_hosts(name, hosts[name])[0] for _wraps, name in others]
