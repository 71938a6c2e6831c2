"""The targets among which a node chooses for the requests of one service.

A node with few requests hears too rarely of each target of a large service to
compare them all, and comparing them takes time in proportion to their number.
It therefore chooses among a bounded set: targets of its own data centre first,
and enough others to serve its requests if its data centre is lost. The set is
drawn by rendezvous hashing, so that it changes little when targets come and go,
and each target is in the sets of many nodes.

Nothing here does I/O.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from xxhash import xxh3_64_intdigest

from marjoramlead.mesh_entries import TargetEntry
from marjoramlead.mesh_state import MeshState, is_usable

__all__ = ('CandidateIndex', 'candidates_of', 'draw_candidates')

# Targets that a node compares for one request; the time for that is bounded by
# this number.
MAX_CANDIDATES: Final = 16
# Candidates in other data centres, if there are as many, for requests that the
# own data centre cannot serve.
MIN_REMOTE_CANDIDATES: Final = 6


@dataclass(slots=True)
class CandidateIndex:
    """Candidates of each service, as of one state of the mesh.

    Attributes
    ----------
    host
        The node's own host.
    data_centre
        Data centre of the node.
    change_count
        Number of changes of the mesh state that the candidates include.
    by_service
        Candidates by service.
    """

    host: str
    data_centre: str
    change_count: int = -1
    by_service: dict[str, list[TargetEntry]] = field(default_factory=dict)


def candidates_of(
    index: CandidateIndex, mesh_state: MeshState, service: str
) -> Sequence[TargetEntry]:
    """Return the usable targets among which this node chooses."""
    if index.change_count != mesh_state.change_count:
        index.change_count = mesh_state.change_count
        index.by_service = _usable_by_service(mesh_state)
        for name, usable in index.by_service.items():
            index.by_service[name] = draw_candidates(
                usable, index.host, index.data_centre
            )
    return index.by_service.get(service, ())


def draw_candidates(
    targets: Collection[TargetEntry], host: str, data_centre: str
) -> list[TargetEntry]:
    """Draw the candidates of one node from all usable targets of a service."""
    if len(targets) <= MAX_CANDIDATES:
        return list(targets)
    local = [each for each in targets if each.data_centre == data_centre]
    remote = [each for each in targets if each.data_centre != data_centre]
    max_local = MAX_CANDIDATES - min(MIN_REMOTE_CANDIDATES, len(remote))
    drawn = _draw(local, host, max_local)
    return drawn + _draw(remote, host, MAX_CANDIDATES - len(drawn))


def _draw(
    targets: Iterable[TargetEntry], host: str, count: int
) -> list[TargetEntry]:
    """Draw targets, those on the node's own host first."""
    ranked = sorted(
        targets,
        key=lambda each: (
            each.address[0] != host,
            xxh3_64_intdigest(f'{host}/{each.target_id}'.encode()),
        ),
    )
    return ranked[:count]


def _usable_by_service(mesh_state: MeshState) -> dict[str, list[TargetEntry]]:
    by_service: defaultdict[str, list[TargetEntry]] = defaultdict(list)
    for entry in mesh_state.targets.values():
        if is_usable(mesh_state, entry):
            by_service[entry.service].append(entry)
    return by_service
