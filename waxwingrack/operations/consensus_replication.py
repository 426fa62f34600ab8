"""Replication of entries and snapshots from a leader to its followers."""

import dataclasses

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus_context
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_types as types

Role = consensus_roles.ReplicaRole


# ---------------------------------------------------------------------------
# Follower
# ---------------------------------------------------------------------------


def on_append(
    ctx: consensus_context.StepContext, sender: str, msg: messages.Append
) -> None:
    """Stores the entries of a leader and answers it."""
    before = ctx.replica
    already_follows = before.role is Role.FOLLOWER and before.term == msg.term
    if not _accept_leader(ctx, sender, msg.term, msg.round):
        return
    rep = ctx.replica
    previous = msg.previous_index
    # Committed entries are equal on all replicas, so they need no comparison.
    if previous > rep.commit_index and (
        consensus_log.term_at(rep.log, previous) != msg.previous_term
    ):
        last_comparable = min(rep.last_index, previous - 1)
        match_hint = (
            last_comparable if previous > rep.last_index else rep.commit_index
        )
        _reply_after_sync(ctx, sender, False, match_hint, msg.round)
        return
    # Part of the reply is sent before the sync, because the leader's lease must
    # not wait for this disk, which may be busy with a snapshot or an earlier
    # entry. This is safe: a disk that holds an entry also holds a term, so
    # after a restart the replica does not vote before the lease has ended. A
    # former leader finishes its work before it answers in a later term.
    reply_before_sync = (
        already_follows
        and rep.synced_index > 0
        and (not msg.entries or rep.synced_index < rep.last_index)
    )
    if reply_before_sync:
        _reply_before_sync(
            ctx, sender, min(previous, rep.synced_index), msg.round
        )
    match_index = previous + len(msg.entries)
    _store_new_entries(ctx, msg.entries)
    ctx.set_commit(min(msg.commit, match_index))
    if msg.entries or not reply_before_sync:
        _reply_after_sync(ctx, sender, True, match_index, msg.round)


def on_install_snapshot(
    ctx: consensus_context.StepContext,
    sender: str,
    msg: messages.InstallSnapshot,
) -> None:
    """Installs a snapshot unless the replica has committed further."""
    if not _accept_leader(ctx, sender, msg.term, msg.round):
        return
    rep = ctx.replica
    snapshot = msg.snapshot
    if snapshot.index > rep.commit_index:
        if consensus_log.term_at(rep.log, snapshot.index) == snapshot.term:
            ctx.set_commit(snapshot.index)
        else:
            if rep.last_index > snapshot.index:
                ctx.truncate(snapshot.index + 1)
            ctx.update(
                log=consensus_log.from_snapshot(snapshot),
                commit_index=snapshot.index,
                # The snapshot is not on disk yet, and entries after the commit
                # index may differ from those of the leader.
                synced_index=min(rep.synced_index, rep.commit_index),
            )
            ctx.write_snapshot(snapshot)
            ctx.restore(snapshot)
    _reply_after_sync(ctx, sender, True, snapshot.index, msg.round)


def _accept_leader(
    ctx: consensus_context.StepContext, sender: str, term: int, sent_ms: int
) -> bool:
    """Follows the sender of a message as the leader of its term.

    Returns:
      False if the message is outdated. A sender with an earlier term has then
      been told the current one.
    """
    rep = ctx.replica
    if term < rep.term:
        _reply_after_sync(ctx, sender, False, 0, sent_ms)
        return False
    if rep.role is Role.LEADER and term == rep.term:
        return False
    if term > rep.term or rep.role is not Role.FOLLOWER:
        ctx.step_down(term, sender)
    ctx.update(leader=sender, leader_heard_ms=ctx.now_ms)
    ctx.draw_deadline()
    return True


def _reply_after_sync(
    ctx: consensus_context.StepContext,
    sender: str,
    success: bool,
    match_index: int,
    sent_ms: int,
) -> None:
    ctx.send_synced(sender, _build_reply(ctx, success, match_index, sent_ms))


def _reply_before_sync(
    ctx: consensus_context.StepContext,
    sender: str,
    match_index: int,
    sent_ms: int,
) -> None:
    """Answers before the writes of this step and of earlier ones are synced.

    Args:
      ctx: Context of the step.
      sender: The leader.
      match_index: Index up to which the logs agree; it must be synced.
      sent_ms: Time at which the leader sent the message.
    """
    ctx.send(sender, _build_reply(ctx, True, match_index, sent_ms))


def _build_reply(
    ctx: consensus_context.StepContext,
    success: bool,
    match_index: int,
    sent_ms: int,
) -> messages.AppendReply:
    rep = ctx.replica
    return messages.AppendReply(
        rep.term, success, match_index, sent_ms, rep.disk
    )


def _store_new_entries(
    ctx: consensus_context.StepContext, entries: tuple[data.LogEntry, ...]
) -> None:
    """Deletes conflicting entries and appends the new ones."""
    rep = ctx.replica
    for position, entry in enumerate(entries):
        if entry.index <= rep.commit_index:
            continue
        term = consensus_log.term_at(rep.log, entry.index)
        if term == entry.term:
            continue
        if term is not None:
            ctx.truncate(entry.index)
        ctx.append(entries[position:])
        return


# ---------------------------------------------------------------------------
# Leader
# ---------------------------------------------------------------------------


def send_to_all(ctx: consensus_context.StepContext) -> None:
    """Sends new entries to each peer."""
    for node_id in sorted(ctx.replica.peers):
        send_to_peer(ctx, node_id)


def send_due_heartbeats(ctx: consensus_context.StepContext) -> None:
    """Sends to each peer whose last message is HEARTBEAT_MS old."""
    for node_id, peer in sorted(ctx.replica.peers.items()):
        if ctx.now_ms - peer.sent_ms >= types.HEARTBEAT_MS:
            send_to_peer(ctx, node_id)


def send_to_peer(ctx: consensus_context.StepContext, node_id: str) -> None:
    """Sends entries, a snapshot or a heartbeat to a peer."""
    rep = ctx.replica
    peer = rep.peers[node_id]
    log = rep.log
    if peer.next_index < log.first_index:
        _send_snapshot(ctx, node_id, peer)
        return
    window_end = peer.match_index + types.WINDOW_ENTRIES
    entries = consensus_log.select_batch(log, peer.next_index, window_end)
    previous = peer.next_index - 1
    message = messages.Append(
        rep.term,
        previous,
        consensus_log.term_at(log, previous),
        entries,
        rep.commit_index,
        ctx.now_ms,
    )
    ctx.send(node_id, message)
    _update_peer(
        ctx,
        node_id,
        next_index=peer.next_index + len(entries),
        sent_ms=ctx.now_ms,
    )


def _send_snapshot(
    ctx: consensus_context.StepContext, node_id: str, peer: types.PeerProgress
) -> None:
    """Sends the snapshot, or a heartbeat while one awaits its reply."""
    rep = ctx.replica
    snapshot = rep.log.snapshot
    in_transit = (
        peer.snapshot_sent_ms is not None
        and ctx.now_ms - peer.snapshot_sent_ms < types.SNAPSHOT_RETRY_MS
    )
    if in_transit:
        message = messages.Append(
            rep.term,
            snapshot.index,
            snapshot.term,
            (),
            rep.commit_index,
            ctx.now_ms,
        )
    else:
        message = messages.InstallSnapshot(rep.term, snapshot, ctx.now_ms)
        _update_peer(ctx, node_id, snapshot_sent_ms=ctx.now_ms)
    ctx.send(node_id, message)
    _update_peer(ctx, node_id, sent_ms=ctx.now_ms)


def on_append_reply(
    ctx: consensus_context.StepContext, sender: str, reply: messages.AppendReply
) -> None:
    """Records the progress of a peer and sends it further entries."""
    rep = ctx.replica
    if reply.term > rep.term:
        ctx.step_down(reply.term)
        return
    if rep.role is not Role.LEADER or reply.term < rep.term:
        return
    peer = rep.peers.get(sender)
    if peer is None:
        return
    if peer.disk is not None and peer.disk != reply.disk:
        # The peer has lost its disk and with it all acknowledged entries.
        peer = types.PeerProgress(0, peer.next_index, sent_ms=peer.sent_ms)
    acked_ms = max(peer.acked_ms or reply.round, reply.round)
    if reply.success:
        match_index = max(peer.match_index, reply.match)
        next_index = max(peer.next_index, match_index + 1)
        snapshot_sent_ms = (
            None
            if match_index >= rep.log.first_index - 1
            else peer.snapshot_sent_ms
        )
        # With a full window the message would be empty, and its reply would
        # cause the next empty message without a pause.
        has_more = next_index <= min(
            rep.last_index, match_index + types.WINDOW_ENTRIES
        )
    else:
        match_index = peer.match_index
        next_index = max(match_index + 1, min(peer.next_index, reply.match + 1))
        snapshot_sent_ms = peer.snapshot_sent_ms
        # Refusals of messages sent before the first refusal add nothing.
        has_more = next_index < peer.next_index
    ctx.update(
        peers=rep.peers.set(
            sender,
            dataclasses.replace(
                peer,
                match_index=match_index,
                next_index=next_index,
                acked_ms=acked_ms,
                snapshot_sent_ms=snapshot_sent_ms,
                disk=reply.disk,
            ),
        )
    )
    advance_commit(ctx)
    if has_more and sender in ctx.replica.peers:
        send_to_peer(ctx, sender)


def advance_commit(ctx: consensus_context.StepContext) -> None:
    """Commits the entries that a majority has synced.

    The last of them must be of the leader's term.
    """
    rep = ctx.replica
    match_indexes = sorted(
        (_voting_match_index(rep, node_id) for node_id in rep.members),
        reverse=True,
    )
    index = match_indexes[consensus_context.quorum(rep.members) - 1]
    if index <= rep.commit_index:
        return
    if consensus_log.term_at(rep.log, index) == rep.term:
        ctx.set_commit(index)


def quorum_acked_ms(rep: types.Replica, now_ms: int) -> int | None:
    """Returns the latest send time that a majority has acknowledged.

    Args:
      rep: A leader.
      now_ms: Current time; it counts as the time for the leader itself.

    Returns:
      The latest time such that a majority has answered messages sent at that
      time or later, or None if there is no such time.
    """
    acked_times_ms = sorted(
        (
            -1 if member_acked_ms is None else member_acked_ms
            for member_acked_ms in (
                last_acked_ms(rep, node_id, now_ms) for node_id in rep.members
            )
        ),
        reverse=True,
    )
    reached_ms = acked_times_ms[consensus_context.quorum(rep.members) - 1]
    return None if reached_ms < 0 else reached_ms


def _has_voting_disk(rep: types.Replica, node_id: str) -> bool:
    """Returns whether a peer answers with the disk that may vote."""
    disk = rep.peers[node_id].disk
    return disk is not None and disk == rep.log.config.disk_of(node_id)


def _voting_match_index(rep: types.Replica, node_id: str) -> int:
    if node_id == rep.node_id:
        return rep.synced_index
    if node_id not in rep.peers or not _has_voting_disk(rep, node_id):
        return 0
    return rep.peers[node_id].match_index


def last_acked_ms(rep: types.Replica, node_id: str, now_ms: int) -> int | None:
    """Returns the latest send time that a member has acknowledged.

    Args:
      rep: A leader.
      node_id: The member.
      now_ms: Current time; it counts as the time for the leader itself.

    Returns:
      The latest time at which a message was sent that the member has answered
      with the disk that may vote, or None if there is none.
    """
    if node_id == rep.node_id:
        return now_ms
    if node_id not in rep.peers or not _has_voting_disk(rep, node_id):
        return None
    return rep.peers[node_id].acked_ms


def silence_ms(rep: types.Replica, now_ms: int) -> dict[str, int]:
    """Returns the time since each member was last reached.

    Args:
      rep: A leader.
      now_ms: Current time.

    Returns:
      Milliseconds by node id; a member that was never reached counts from the
      election.
    """
    reached = {name: last_acked_ms(rep, name, now_ms) for name in rep.members}
    return {
        name: now_ms - (rep.elected_ms if at_ms is None else at_ms)
        for name, at_ms in reached.items()
    }


def _update_peer(
    ctx: consensus_context.StepContext, node_id: str, **changes
) -> None:
    peers = ctx.replica.peers
    peer = dataclasses.replace(peers[node_id], **changes)
    ctx.update(peers=peers.set(node_id, peer))
