"""Decide which nodes read the store and which node each other node follows.

The nodes of a data centre are ranked by rendezvous hashing. The first one reads
the store; every other node follows a node of a lower rank, so that reads of
the store don't grow with the number of nodes. All nodes rank alike without
communication, and a node that loses its parents reads the store itself.
"""

from collections.abc import Collection, Mapping
from typing import Final

from marjoramlead.readers import rank_hosts

__all__ = ('choose_parents',)

# Followers of one node. Each costs about two small requests a second.
FAN_OUT: Final = 8


def choose_parents(
    host: str, data_centre: str, hosts: Mapping[str, Collection[str]]
) -> list[str]:
    """Return the hosts that a node may follow, the preferred one first.

    Parameters
    ----------
    host
        The node's own host.
    data_centre
        Data centre of the node.
    hosts
        Hosts of each data centre.

    Returns
    -------
    A host of the same data centre, and another one in case it fails; none if
    the node reads the store.
    """
    ranked = rank_hosts(data_centre, {host, *hosts.get(data_centre, ())})
    rank = ranked.index(host)
    if not rank:
        return []
    parent = (rank - 1) // FAN_OUT
    if parent:
        return [ranked[parent], ranked[parent - 1]]
    return [ranked[0], *_reader_elsewhere(data_centre, hosts)]


def _reader_elsewhere(
    data_centre: str, hosts: Mapping[str, Collection[str]]
) -> list[str]:
    """Return the reader of the next data centre that has hosts."""
    names = sorted(name for name in hosts if hosts[name] or name == data_centre)
    if data_centre not in names or len(names) == 1:
        return []
    following = names[(names.index(data_centre) + 1) % len(names)]
    return rank_hosts(following, hosts[following])[:1]
