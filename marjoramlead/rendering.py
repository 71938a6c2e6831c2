"""Format contracts and the status of nodes as lines for a terminal."""

from collections import Counter
from collections.abc import Iterator, Sequence

from marjoramlead.explanations import explain_reason
from marjoramlead.generated.contract_types import ContractDocument, ServiceTerms
from marjoramlead.generated.sidecar_status_types import (
    RefusedRoutingView,
    SidecarStatus,
)
from marjoramlead.porcelain import RolloutProgress
from marjoramlead.reports import NodeStatus, TargetStatus
from marjoramlead.verdict import Reason

__all__ = (
    'contract_lines',
    'explanation_lines',
    'progress_line',
    'sidecar_lines',
    'status_lines',
)

MAX_NODES_SHOWN = 3
# Age that a node reports if it knows of no read of the source.
UNKNOWN_AGE_S = 1e6
MS_PER_SECOND = 1000


def progress_line(progress: RolloutProgress, node_count: int) -> str:
    """Format the progress of a rollout as one line."""
    parts = [f'in force on {progress.nodes_updated} of {node_count} nodes']
    if progress.behind:
        shown = ', '.join(progress.behind[:MAX_NODES_SHOWN])
        parts.append(f'{len(progress.behind)} behind: {shown}')
    if progress.refused:
        parts.append(f'refused by {progress.refused[0]}')
    if progress.superseded_by:
        parts.append(f'overtaken by revision {progress.superseded_by}')
    return '; '.join(parts)


def contract_lines(contract: ContractDocument) -> Iterator[str]:
    """Format a contract and its limits."""
    retry_share = contract['retry_share']
    yield f'{contract["customer"]}'
    yield f'  retries    at most {retry_share:.0%} of first attempts'
    yield f'  keys       remembered for {contract["key_memory_ms"]} ms'
    for service in contract['services']:
        yield from _service_lines(service)
    for route in contract['routes']:
        methods = '/'.join(route['methods'])
        yield (
            f'  route      {route["route"]}: {methods} {route["path"]} '
            f'to {route["service"]}, {route["kind"]}, '
            f'{route["attempts"]} attempts within {route["wait_limit_ms"]} ms'
        )


def _service_lines(terms: ServiceTerms) -> Iterator[str]:
    yield f'  service    {terms["service"]}'
    yield (
        f'    target   {terms["slots"]} concurrent requests, '
        f'{terms["cold_slots"]} when cold, all after '
        f'{terms["warm_answers"]} responses'
    )
    yield (
        f'    slots    {terms["internal_slots"]} reserved for internal '
        f'checks, at most {terms["upload_slots"]} for uploads'
    )
    yield (
        f'    queue    at most {terms["queue"]} requests, '
        f'drain for up to {terms["drain_limit_ms"]} ms'
    )


def explanation_lines(reason: Reason) -> Iterator[str]:
    """Format the meaning of a reason, and advice."""
    meaning, advice = explain_reason(reason)
    yield f'{reason}: {meaning}'
    yield f'  advice: {advice}'


def status_lines(status: NodeStatus) -> Iterator[str]:
    """Format the status of a node."""
    yield f'node      {status["host"]} in {status["data_centre"]}'
    yield f'revision  {status["newest"]}'
    yield f'source    {_format_source_age(status["source_age_s"])}'
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
        f'target    {local["customer"]}/{local["service"]}: '
        f'{local["running"]} of {local["window"]} slots in use, '
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


def _format_source_age(seconds: float) -> str:
    if seconds >= UNKNOWN_AGE_S:
        return 'never read'
    return f'read {seconds:.1f} s ago'


def sidecar_lines(status: SidecarStatus) -> Iterator[str]:
    """Format the status of a node beside a target.

    The lines show the state of its configuration, the queue of the local
    target, and all targets that the node knows.
    """
    queue = status['queue']
    yield f'{status["data_centre"]}/{status["host"]}  {status["service"]}'
    yield (
        f'  version {status["version"]:08x}  revision {status["revision"]}  '
        f'era {status.get("era", 0)}  '
        f'store data {status["news_age_s"]:.1f} s old  '
        f'store failures {status["store_failures"]}'
    )
    refused = status['refused_routing']
    if refused is not None:
        yield f'  routing refused: {_refused_routing(refused)}'
    yield (
        f'  own target: {queue["running"]} of {queue["slots"]} slots, '
        f'{queue["waiting"]} waiting, cold for {queue["cold_s"]:.1f} s, '
        f'{queue["work_s"] * MS_PER_SECOND:.0f} ms per response'
    )
    out = ', '.join(status['out']) or 'none'
    yield f'  data centres out: {out}'
    yield from _account_lines(status)
    for target in status['targets']:
        yield (
            f'  {target["service"]:<16} {target["data_centre"]:<12} '
            f'{target["target_id"]:<16} {target["state"]:<9} '
            f'{target["expected_s"] * MS_PER_SECOND:5.0f} ms expected, '
            f'{target["failure_rate"]:.0%} failures'
        )


def _account_lines(status: SidecarStatus) -> Iterator[str]:
    for account in status.get('accounts', []):
        held = account.get('held_tokens')
        holds = '' if held is None else f', holds {held:.0f} tokens'
        yield (
            f'  account {account["name"]:<16} '
            f'{account["demand_per_s"]:.1f} requests/s here, '
            f'{account["leased"]} leased, {account["refused"]} refused; '
            f'quota {account["rate_per_s"]:g}/s + {account["burst"]:g}{holds}'
        )


def _refused_routing(refused: RefusedRoutingView) -> str:
    number = refused['version']
    version = 'a version without number' if number is None else f'{number:08x}'
    return f'{version}, {refused["field"] or "document"} {refused["reason"]}'
