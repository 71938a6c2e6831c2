"""Merge the frames of peers, and go on until neither side lacks anything.

Like the agent, whose state these functions change, they do no I/O.
"""

from typing import Final

from marjoramlead.agent import (
    Agent,
    Effect,
    SendFrame,
    announce_changes,
    count_outcomes,
    new_frame,
)
from marjoramlead.frames import (
    MergeResult,
    announce_missing,
    frame_documents,
    frame_heads,
    merge_frame,
    wanted_heads,
)
from marjoramlead.generated.frame_types import Frame
from marjoramlead.versions import heads_after

__all__ = ('on_reply', 'on_request')

MAX_LEARNED: Final = 64
MAX_ASKED: Final = 256
ASK_LIMIT_S: Final = 0.5
SECOND_MS: Final = 1000


def on_request(
    agent: Agent,
    frame: Frame,
    now: float,
) -> tuple[Frame, list[Effect]]:
    """Merge a peer's frame.

    Returns
    -------
    The reply, and the effects of what the frame brought.
    """
    merge = _merge(agent, frame, now)
    reply = new_frame(agent, now)
    reply['wants'] = _ask_once(agent, frame, now)
    reply['documents'] = frame_documents(agent.store, frame['wants'])
    announce_missing(reply, agent.store, frame)
    return reply, announce_changes(agent, merge.applied, merge.refusals, now)


def on_reply(
    agent: Agent,
    sent: SendFrame,
    reply: Frame,
    now: float,
) -> list[Effect]:
    """Merge the reply to an exchange; go on while either side lacks some.

    Parameters
    ----------
    agent
        The node's agent.
    sent
        What was sent.
    reply
        What came back.
    now
        Seconds on the node's monotonic clock.
    """
    merge = _merge(agent, reply, now)
    effects = announce_changes(agent, merge.applied, merge.refusals, now)
    follow_up = _follow_up(agent, sent, reply, now)
    if follow_up is not None:
        effects.append(SendFrame(sent.address, follow_up))
    return effects


def _merge(agent: Agent, frame: Frame, now: float) -> MergeResult:
    _learn(agent, frame['control'], now)
    seen_at = now - frame['source_age_ms'] / SECOND_MS
    agent.source_seen_at = max(agent.source_seen_at, seen_at)
    merge = merge_frame(agent.store, frame)
    count_outcomes(agent, merge.outcomes)
    return merge


def _ask_once(agent: Agent, frame: Frame, now: float) -> list[str]:
    """Want what is announced, unless a peer is sending it already."""
    wants: list[str] = []
    for head in wanted_heads(agent.store, frame):
        asked = (head['name'], head['revision'])
        if agent.requested_until.get(asked, 0) <= now:
            agent.requested_until[asked] = now + ASK_LIMIT_S
            wants.append(head['name'])
    if len(agent.requested_until) > MAX_ASKED:
        agent.requested_until = {
            asked: until
            for asked, until in agent.requested_until.items()
            if until > now
        }
    return wants


def _learn(agent: Agent, address: str, now: float) -> None:
    if address == agent.identity.control_address:
        return
    agent.learned_peers.pop(address, None)
    agent.learned_peers[address] = now
    if len(agent.learned_peers) > MAX_LEARNED:
        agent.learned_peers.pop(next(iter(agent.learned_peers)))


def _follow_up(
    agent: Agent,
    sent: SendFrame,
    reply: Frame,
    now: float,
) -> Frame | None:
    if reply['root'] == agent.store.root:
        return None
    frame = new_frame(agent, now)
    frame['wants'] = _ask_once(agent, reply, now)
    frame['documents'] = frame_documents(agent.store, reply['wants'])
    if frame['wants'] or frame['documents']:
        return frame
    if sent.frame['full']:
        return None
    frame['full'] = True
    frame['heads'] = frame_heads(heads_after(agent.store, 0))
    return frame
