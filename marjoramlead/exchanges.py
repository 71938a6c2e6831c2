"""Handle frames from peers, and send more until both hold the same versions.

These functions change the agent's state and, like the agent, do no I/O.
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
from marjoramlead.versions import versions_after

__all__ = ('on_reply', 'on_request')

MAX_LEARNED_PEERS: Final = 64
REQUESTED_PURGE_SIZE: Final = 256
REQUEST_WINDOW_S: Final = 0.5
MS_PER_SECOND: Final = 1000


def on_request(
    agent: Agent,
    frame: Frame,
    now: float,
) -> tuple[Frame, list[Effect]]:
    """Merge a request frame from a peer and build the reply.

    Returns
    -------
    The reply, and the frames that announce the changes to further peers.
    """
    merged = _merge_frame(agent, frame, now)
    reply = new_frame(agent, now)
    reply['wants'] = _new_wants(agent, frame, now)
    reply['documents'] = frame_documents(agent.store, frame['wants'])
    announce_missing(reply, agent.store, frame)
    return reply, announce_changes(agent, merged.applied, merged.refusals, now)


def on_reply(
    agent: Agent,
    sent: SendFrame,
    reply: Frame,
    now: float,
) -> list[Effect]:
    """Merge a reply, and send a follow-up while either side lacks documents.

    Parameters
    ----------
    agent
        The node's agent.
    sent
        Request that was sent.
    reply
        Reply of the peer.
    now
        Seconds on the node's monotonic clock.
    """
    merged = _merge_frame(agent, reply, now)
    effects = announce_changes(agent, merged.applied, merged.refusals, now)
    follow_up = _follow_up_frame(agent, sent, reply, now)
    if follow_up is not None:
        effects.append(SendFrame(sent.address, follow_up))
    return effects


def _merge_frame(agent: Agent, frame: Frame, now: float) -> MergeResult:
    _record_peer(agent, frame['control'], now)
    seen_at = now - frame['source_age_ms'] / MS_PER_SECOND
    agent.source_seen_at = max(agent.source_seen_at, seen_at)
    merged = merge_frame(agent.store, frame)
    count_outcomes(agent, merged.outcomes)
    return merged


def _new_wants(agent: Agent, frame: Frame, now: float) -> list[str]:
    """Return the names of newer documents to request from a peer.

    A version that was requested from any peer less than ``REQUEST_WINDOW_S``
    ago is left out, because that peer is probably sending it.
    """
    wants: list[str] = []
    for head in wanted_heads(agent.store, frame):
        requested = (head['name'], head['revision'])
        if agent.requested_until.get(requested, 0) <= now:
            agent.requested_until[requested] = now + REQUEST_WINDOW_S
            wants.append(head['name'])
    if len(agent.requested_until) > REQUESTED_PURGE_SIZE:
        agent.requested_until = {
            requested: expires_at
            for requested, expires_at in agent.requested_until.items()
            if expires_at > now
        }
    return wants


def _record_peer(agent: Agent, address: str, now: float) -> None:
    if address == agent.identity.control_address:
        return
    agent.learned_peers.pop(address, None)
    agent.learned_peers[address] = now
    if len(agent.learned_peers) > MAX_LEARNED_PEERS:
        agent.learned_peers.pop(next(iter(agent.learned_peers)))


def _follow_up_frame(
    agent: Agent,
    sent: SendFrame,
    reply: Frame,
    now: float,
) -> Frame | None:
    """Build the next frame to a peer; None if nothing is left to exchange.

    If there is nothing to request or send but the stores still differ, the
    frame lists all heads and sets ``full`` to get all heads of the peer.
    Otherwise nodes send only heads above the receiver's ``newest`` revision,
    although the receiver may lack older ones.
    """
    if reply['root'] == agent.store.root:
        return None
    frame = new_frame(agent, now)
    frame['wants'] = _new_wants(agent, reply, now)
    frame['documents'] = frame_documents(agent.store, reply['wants'])
    if frame['wants'] or frame['documents']:
        return frame
    if sent.frame['full']:
        return None
    frame['full'] = True
    frame['heads'] = frame_heads(versions_after(agent.store, 0))
    return frame
