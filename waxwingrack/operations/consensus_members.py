"""Membership changes of a consensus group, one member at a time."""

from typing import Any

from waxwingrack.core import data
from waxwingrack.operations import consensus_context
from waxwingrack.operations import consensus_replication as replication
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_types as types

# Entries by which a learner may lag behind the commit index when it gets a
# vote. Under load a learner never reaches the commit index itself.
MAX_LEARNER_LAG_ENTRIES = 64

Role = consensus_roles.ReplicaRole


def on_propose_members(
    ctx: consensus_context.StepContext, members: tuple[str, ...], token: Any
) -> None:
    """Starts a membership change.

    The change is refused if this replica does not lead, has not committed an
    entry of its term, or an earlier change is not committed, and unless
    exactly one member differs.
    """
    rep = ctx.replica
    members = tuple(sorted(set(members)))
    added = set(members) - set(rep.members)
    removed = set(rep.members) - set(members)
    if (
        rep.role is not Role.LEADER
        or rep.commit_index < max(rep.first_term_index, rep.log.config.index)
        or len(added) + len(removed) != 1
        or not members
    ):
        ctx.add_effects("rejected", token)
        return
    cancel_change(ctx)
    if removed:
        _append_members_entry(ctx, members, token)
        return
    (learner,) = added
    peer = types.PeerProgress(0, ctx.replica.last_index + 1)
    ctx.update(
        peers=ctx.replica.peers.set(learner, peer),
        pending_change=types.PendingChange(members, token),
    )
    replication.send_to_peer(ctx, learner)


def cancel_change(ctx: consensus_context.StepContext) -> None:
    """Cancels a change that still waits for its learner."""
    change = ctx.replica.pending_change
    if change is None:
        return
    ctx.add_effects("rejected", change.token)
    peers = ctx.replica.peers
    for learner in set(change.members) - set(ctx.replica.members):
        peers = peers.delete(learner)
    ctx.update(pending_change=None, peers=peers)


def advance_change(ctx: consensus_context.StepContext) -> None:
    """Continues a membership change after an event at the leader.

    Gives a learner that has caught up its vote, and stops replication to
    removed members.
    """
    rep = ctx.replica
    if rep.role is not Role.LEADER:
        return
    if rep.pending_change is not None:
        (learner,) = set(rep.pending_change.members) - set(rep.members)
        peer = rep.peers[learner]
        if (
            peer.disk is not None
            and peer.match_index + MAX_LEARNER_LAG_ENTRIES >= rep.commit_index
            and peer.match_index > 0
        ):
            ctx.update(pending_change=None)
            _append_members_entry(
                ctx, rep.pending_change.members, rep.pending_change.token
            )
    elif rep.log.config.index <= rep.commit_index:
        _stop_removed_members(ctx)


def _append_members_entry(
    ctx: consensus_context.StepContext, members: tuple[str, ...], token: Any
) -> None:
    rep = ctx.replica
    config = rep.log.config
    disks = tuple(
        config.disk_of(node_id)
        if node_id in config.members
        else rep.peers[node_id].disk
        for node_id in members
    )
    entry = data.LogEntry(
        rep.last_index + 1, rep.term, b"", members=members, disks=disks
    )
    ctx.append((entry,))
    ctx.add_effects("accepted", types.Accepted(token, entry.index, entry.term))
    replication.send_to_all(ctx)


def _stop_removed_members(ctx: consensus_context.StepContext) -> None:
    """Stops replication to removed members.

    The entry that removes them must be committed.
    """
    rep = ctx.replica
    removed = [name for name in sorted(rep.peers) if name not in rep.members]
    for node_id in removed:
        # The last message tells the member that its removal is committed.
        replication.send_to_peer(ctx, node_id)
        ctx.update(peers=ctx.replica.peers.delete(node_id))
    if rep.node_id not in rep.members:
        replication.send_to_all(ctx)
        ctx.step_down(rep.term)
