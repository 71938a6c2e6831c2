"""Turn what nodes tell into lines for a terminal."""

from collections import Counter
from collections.abc import Iterator, Sequence

from marjoramlead.porcelain import Progress
from marjoramlead.reports import NodeStatus, TargetStatus

__all__ = ('progress_line', 'status_lines')

SHOWN_BEHIND = 3
UNKNOWN_AGE_S = 1e6


def progress_line(progress: Progress, nodes: int) -> str:
    """Say how far a revision is in force, on one line."""
    parts = [f'in force on {progress.done} of {nodes} nodes']
    if progress.behind:
        shown = ', '.join(progress.behind[:SHOWN_BEHIND])
        parts.append(f'{len(progress.behind)} behind: {shown}')
    if progress.refused:
        parts.append(f'refused by {progress.refused[0]}')
    if progress.overtaken:
        parts.append(f'overtaken by revision {progress.overtaken}')
    return '; '.join(parts)


def status_lines(status: NodeStatus) -> Iterator[str]:
    """Describe a node."""
    yield f'node      {status["host"]} in {status["data_centre"]}'
    yield f'revision  {status["newest"]}'
    yield f'source    {_age(status["source_age_s"])}'
    yield f'out       {", ".join(status["out"]) or "none"}'
    for document in status['documents']:
        yield (
            f'in force  {document["name"]} at revision '
            f'{document["revision"]} for {document["since_s"]:.1f} s'
        )
    for refused in status['refused']:
        yield (
            f'refused   {refused["name"]} at revision '
            f'{refused["revision"]}: {refused["reason"]}'
        )
    local = status['local']
    yield (
        f'target    {local["customer"]}/{local["service"]} runs '
        f'{local["running"]} of {local["window"]}, '
        f'{local["waiting"]} waiting'
    )
    yield from _target_lines(status['targets'])
    for name, count in status['counters'].items():
        yield f'count     {name} {count}'


def _target_lines(targets: Sequence[TargetStatus]) -> Iterator[str]:
    states = Counter(
        (each['customer'], each['service'], each['state']) for each in targets
    )
    for (customer, service, state), count in sorted(states.items()):
        yield f'targets   {customer}/{service}: {count} {state}'


def _age(seconds: float) -> str:
    if seconds >= UNKNOWN_AGE_S:
        return 'never read'
    return f'read {seconds:.1f} s ago'
