"""Decide which nodes read the store and which node each other node follows.

The nodes of a data centre are ranked by rendezvous hashing, and so are the data
centres. The first node of each of the first few data centres reads the store;
every other node follows a node of a lower rank, or the first node of a data
centre follows one that reads the store. Reads of the store therefore depend
neither on the number of nodes nor on that of data centres. All nodes rank alike
without communication. A node that loses its parent reads the store itself and
follows a reader elsewhere; so does a reader that loses the store.

A node whose target is not known yet is not ranked, because other nodes cannot
rank it either. It becomes a follower of the ranked nodes.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple

from marjoramlead.address import Address
from marjoramlead.mesh_entries import TargetEntry
from marjoramlead.readers import rank_hosts

__all__ = (
    'FeedAddresses',
    'FeedSources',
    'choose_addresses',
    'choose_sources',
)

# Followers of one node. Each costs about two small requests a second.
FAN_OUT: Final = 8
# Data centres with a node that reads the store: enough to lose one of them.
READER_DATA_CENTRES: Final = 2


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


class FeedAddresses(NamedTuple):
    """Nodes whose records a node may read; as in ``FeedSources``."""

    parent: Address | None
    alternates: list[Address]


def choose_addresses(
    own: Address,
    data_centre: str,
    targets: Iterable[TargetEntry],
    seeds: Collection[Address],
) -> FeedAddresses:
    """Choose the nodes that a node may read, with their addresses.

    As long as no target is known, these are the seeds, which read the store
    themselves.

    Parameters
    ----------
    own
        Address of the node's port for other nodes; the port is the same on
        all hosts.
    data_centre
        Data centre of the node.
    targets
        All known targets.
    seeds
        Addresses of some nodes, from the settings.
    """
    hosts: defaultdict[str, set[str]] = defaultdict(set)
    for entry in targets:
        hosts[entry.data_centre].add(entry.address[0])
    own_host, port = own
    if not hosts:
        return _choose_seeds(own_host, dict(seeds))
    parent, alternates = choose_sources(own_host, data_centre, hosts)
    return FeedAddresses(
        None if parent is None else (parent, port),
        [(host, port) for host in alternates],
    )


def _choose_seeds(own_host: str, port_by_seed: dict[str, int]) -> FeedAddresses:
    ranked = rank_hosts(own_host, port_by_seed.keys() - {own_host})
    addresses = [(host, port_by_seed[host]) for host in ranked]
    if own_host in port_by_seed or not addresses:
        return FeedAddresses(None, addresses)
    return FeedAddresses(addresses[0], addresses[1:])


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
        Known hosts of each data centre, with the node's own one if its target
        is known.
    """
    ranked = rank_hosts(data_centre, hosts.get(data_centre, ()))
    is_ranked = host in ranked
    rank = ranked.index(host) if is_ranked else len(ranked)
    elsewhere = _first_nodes_elsewhere(data_centre, hosts)
    if rank:
        parent = (rank - 1) // FAN_OUT
        if parent:
            elsewhere.insert(0, ranked[parent - 1])
        return FeedSources(ranked[parent], elsewhere)
    is_reader = is_ranked and data_centre in _reader_data_centres(hosts)
    if is_reader or not elsewhere:
        return FeedSources(None, elsewhere)
    return FeedSources(elsewhere[0], elsewhere[1:])


def _reader_data_centres(hosts: Mapping[str, Collection[str]]) -> list[str]:
    """Return the data centres with a node that reads the store."""
    with_hosts = [name for name, members in hosts.items() if members]
    return rank_hosts('', with_hosts)[:READER_DATA_CENTRES]


def _first_nodes_elsewhere(
    data_centre: str, hosts: Mapping[str, Collection[str]]
) -> list[str]:
    """Return the first nodes of the other data centres, readers first.

    Among equals, they are in the order of the names that follow this data
    centre's, so that the nodes of different data centres turn to different
    ones.
    """
    with_reader = _reader_data_centres(hosts)
    others = sorted(
        (name for name in hosts if name != data_centre and hosts[name]),
        key=lambda name: (name not in with_reader, name <= data_centre, name),
    )
    return [rank_hosts(name, hosts[name])[0] for name in others]
