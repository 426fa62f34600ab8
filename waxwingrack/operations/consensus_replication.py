"""Replication of entries and snapshots from a leader to its followers."""

import dataclasses

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_turn
from waxwingrack.operations import consensus_types as types

Role = consensus_roles.ReplicaRole


# ---------------------------------------------------------------------------
# Follower
# ---------------------------------------------------------------------------


def on_append(
    turn: consensus_turn.Turn, sender: str, msg: messages.Append
) -> None:
    """Stores entries of a leader."""
    old = turn.replica
    follows = old.role is Role.FOLLOWER and old.term == msg.term
    if not _hear_leader(turn, sender, msg.term, msg.round):
        return
    rep = turn.replica
    previous = msg.previous_index
    # Committed entries are equal on all replicas, so they need no comparison.
    if previous > rep.commit and (
        consensus_log.term_at(rep.log, previous) != msg.previous_term
    ):
        known = min(rep.last_index, previous - 1)
        hint = known if previous > rep.last_index else rep.commit
        _answer(turn, sender, False, hint, msg.round)
        return
    # The leader's lease must not wait for this disk, which may be busy with a
    # snapshot or an earlier entry. A disk that holds an entry holds a term too,
    # so after a restart the replica does not vote before the lease has ended. A
    # replica that has led ends its work before it answers in a later term.
    at_once = (
        follows
        and rep.synced > 0
        and (not msg.entries or rep.synced < rep.last_index)
    )
    if at_once:
        _answer_at_once(turn, sender, min(previous, rep.synced), msg.round)
    match = previous + len(msg.entries)
    _store(turn, msg.entries)
    turn.set_commit(min(msg.commit, match))
    if msg.entries or not at_once:
        _answer(turn, sender, True, match, msg.round)


def on_install_snapshot(
    turn: consensus_turn.Turn, sender: str, msg: messages.InstallSnapshot
) -> None:
    """Replaces log and state by a snapshot, unless they reach further."""
    if not _hear_leader(turn, sender, msg.term, msg.round):
        return
    rep = turn.replica
    snapshot = msg.snapshot
    if snapshot.index > rep.commit:
        if consensus_log.term_at(rep.log, snapshot.index) == snapshot.term:
            turn.set_commit(snapshot.index)
        else:
            if rep.last_index > snapshot.index:
                turn.truncate(snapshot.index + 1)
            turn.set(
                log=consensus_log.from_snapshot(snapshot),
                commit=snapshot.index,
                # The snapshot is not on disk yet, and entries after the commit
                # index may differ from the leader's.
                synced=min(rep.synced, rep.commit),
            )
            turn.write_snapshot(snapshot)
            turn.restore(snapshot)
    _answer(turn, sender, True, snapshot.index, msg.round)


def _hear_leader(
    turn: consensus_turn.Turn, sender: str, term: int, sent_ms: int
) -> bool:
    """Notes that the leader of a term is alive.

    Returns:
      False if the message is out of date; the sender has been told.
    """
    rep = turn.replica
    if term < rep.term:
        _answer(turn, sender, False, 0, sent_ms)
        return False
    if rep.role is Role.LEADER and term == rep.term:
        return False
    if term > rep.term or rep.role is not Role.FOLLOWER:
        turn.step_down(term, sender)
    turn.set(leader=sender, heard_ms=turn.now_ms)
    turn.draw_deadline()
    return True


def _answer(
    turn: consensus_turn.Turn,
    sender: str,
    success: bool,
    match: int,
    sent_ms: int,
) -> None:
    turn.reply(sender, _reply(turn, success, match, sent_ms))


def _answer_at_once(
    turn: consensus_turn.Turn, sender: str, match: int, sent_ms: int
) -> None:
    """Answers before the writes of this step and of earlier ones are synced.

    Args:
      turn: The turn.
      sender: The leader.
      match: Index up to which the logs agree; it must be synced.
      sent_ms: Time at which the leader sent the message.
    """
    turn.send(sender, _reply(turn, True, match, sent_ms))


def _reply(
    turn: consensus_turn.Turn, success: bool, match: int, sent_ms: int
) -> messages.AppendReply:
    rep = turn.replica
    return messages.AppendReply(rep.term, success, match, sent_ms, rep.disk)


def _store(
    turn: consensus_turn.Turn, entries: tuple[data.LogEntry, ...]
) -> None:
    """Appends the entries that are new, after dropping conflicting ones."""
    rep = turn.replica
    for position, entry in enumerate(entries):
        if entry.index <= rep.commit:
            continue
        term = consensus_log.term_at(rep.log, entry.index)
        if term == entry.term:
            continue
        if term is not None:
            turn.truncate(entry.index)
        turn.append(entries[position:])
        return


# ---------------------------------------------------------------------------
# Leader
# ---------------------------------------------------------------------------


def send_to_all(turn: consensus_turn.Turn) -> None:
    """Sends what is new to each peer."""
    for node_id in sorted(turn.replica.peers):
        send(turn, node_id)


def send_due(turn: consensus_turn.Turn) -> None:
    """Sends a heartbeat to each peer that is due for one."""
    for node_id, peer in sorted(turn.replica.peers.items()):
        if turn.now_ms - peer.sent_ms >= types.HEARTBEAT_MS:
            send(turn, node_id)


def send(turn: consensus_turn.Turn, node_id: str) -> None:
    """Sends entries, a snapshot or a heartbeat to a peer."""
    rep = turn.replica
    peer = rep.peers[node_id]
    log = rep.log
    if peer.next < log.first:
        _send_snapshot(turn, node_id, peer)
        return
    limit = peer.match + types.WINDOW_ENTRIES
    entries = consensus_log.batch(log, peer.next, limit)
    previous = peer.next - 1
    message = messages.Append(
        rep.term,
        previous,
        consensus_log.term_at(log, previous),
        entries,
        rep.commit,
        turn.now_ms,
    )
    turn.send(node_id, message)
    _set_peer(turn, node_id, next=peer.next + len(entries), sent_ms=turn.now_ms)


def _send_snapshot(
    turn: consensus_turn.Turn, node_id: str, peer: types.Peer
) -> None:
    """Sends the snapshot, or a heartbeat while one is on its way."""
    rep = turn.replica
    snapshot = rep.log.snapshot
    waits = (
        peer.snapshot_ms is not None
        and turn.now_ms - peer.snapshot_ms < types.SNAPSHOT_RETRY_MS
    )
    if waits:
        message = messages.Append(
            rep.term,
            snapshot.index,
            snapshot.term,
            (),
            rep.commit,
            turn.now_ms,
        )
    else:
        message = messages.InstallSnapshot(rep.term, snapshot, turn.now_ms)
        _set_peer(turn, node_id, snapshot_ms=turn.now_ms)
    turn.send(node_id, message)
    _set_peer(turn, node_id, sent_ms=turn.now_ms)


def on_append_reply(
    turn: consensus_turn.Turn, sender: str, reply: messages.AppendReply
) -> None:
    """Notes how far a peer has got and sends it what follows."""
    rep = turn.replica
    if reply.term > rep.term:
        turn.step_down(reply.term)
        return
    if rep.role is not Role.LEADER or reply.term < rep.term:
        return
    peer = rep.peers.get(sender)
    if peer is None:
        return
    if peer.disk is not None and peer.disk != reply.disk:
        # The peer has lost its disk; nothing that it acknowledged is left.
        peer = types.Peer(0, peer.next, sent_ms=peer.sent_ms)
    acked_ms = max(peer.acked_ms or reply.round, reply.round)
    if reply.success:
        match = max(peer.match, reply.match)
        following = max(peer.next, match + 1)
        snapshot_ms = None if match >= rep.log.first - 1 else peer.snapshot_ms
        # Beyond the window an empty message would be answered at once, again
        # and again.
        resend = following <= min(rep.last_index, match + types.WINDOW_ENTRIES)
    else:
        match = peer.match
        following = max(match + 1, min(peer.next, reply.match + 1))
        snapshot_ms = peer.snapshot_ms
        # Replies to messages sent before the first refusal bring nothing new.
        resend = following < peer.next
    turn.set(
        peers=rep.peers.set(
            sender,
            dataclasses.replace(
                peer,
                match=match,
                next=following,
                acked_ms=acked_ms,
                snapshot_ms=snapshot_ms,
                disk=reply.disk,
            ),
        )
    )
    advance_commit(turn)
    if resend and sender in turn.replica.peers:
        send(turn, sender)


def advance_commit(turn: consensus_turn.Turn) -> None:
    """Commits what a majority has synced, if it is of the own term."""
    rep = turn.replica
    matches = sorted(
        (_match(rep, node_id) for node_id in rep.members), reverse=True
    )
    index = matches[consensus_turn.quorum(rep.members) - 1]
    if index <= rep.commit:
        return
    if consensus_log.term_at(rep.log, index) == rep.term:
        turn.set_commit(index)


def quorum_acked_ms(rep: types.Replica, now_ms: int) -> int | None:
    """Returns when the leader last reached a majority.

    Args:
      rep: A leader.
      now_ms: Time; the leader reaches itself at any time.

    Returns:
      The latest time at which messages had been sent that a majority has
      answered by now, or None if there is no such time.
    """
    times = sorted(
        (
            -1 if time_ms is None else time_ms
            for time_ms in (
                acked_ms(rep, node_id, now_ms) for node_id in rep.members
            )
        ),
        reverse=True,
    )
    reached_ms = times[consensus_turn.quorum(rep.members) - 1]
    return None if reached_ms < 0 else reached_ms


def _has_vote(rep: types.Replica, node_id: str) -> bool:
    """Returns whether a peer answers with the disk that may vote."""
    disk = rep.peers[node_id].disk
    return disk is not None and disk == rep.log.config.disk_of(node_id)


def _match(rep: types.Replica, node_id: str) -> int:
    if node_id == rep.node_id:
        return rep.synced
    if node_id not in rep.peers or not _has_vote(rep, node_id):
        return 0
    return rep.peers[node_id].match


def acked_ms(rep: types.Replica, node_id: str, now_ms: int) -> int | None:
    """Returns when the leader last reached a member.

    Args:
      rep: A leader.
      node_id: The member.
      now_ms: Time; the leader reaches itself at any time.

    Returns:
      The latest time at which a message was sent that the member has answered
      with the disk that may vote, or None if there is none.
    """
    if node_id == rep.node_id:
        return now_ms
    if node_id not in rep.peers or not _has_vote(rep, node_id):
        return None
    return rep.peers[node_id].acked_ms


def silence_ms(rep: types.Replica, now_ms: int) -> dict[str, int]:
    """Returns the time since the leader last reached each member.

    Args:
      rep: A leader.
      now_ms: Present time.

    Returns:
      Milliseconds by node id; a member that was never reached counts from the
      election.
    """
    reached = {name: acked_ms(rep, name, now_ms) for name in rep.members}
    return {
        name: now_ms - (rep.elected_ms if at_ms is None else at_ms)
        for name, at_ms in reached.items()
    }


def _set_peer(turn: consensus_turn.Turn, node_id: str, **changes) -> None:
    peers = turn.replica.peers
    peer = dataclasses.replace(peers[node_id], **changes)
    turn.set(peers=peers.set(node_id, peer))
