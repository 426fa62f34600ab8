"""Changes of the members of a consensus group, one member at a time."""

from typing import Any

from waxwingrack.core import data
from waxwingrack.operations import consensus_replication as replication
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_turn
from waxwingrack.operations import consensus_types as types

# Entries by which a learner may be behind the commit index when it is given
# a vote. Under load it is never level with it.
CAUGHT_UP_ENTRIES = 64

Role = consensus_roles.ReplicaRole


def on_propose_members(
    turn: consensus_turn.Turn, members: tuple[str, ...], token: Any
) -> None:
    """Starts a change of the members.

    The change is refused if this replica does not lead, has not committed an
    entry of its term, or an earlier change is not committed, and unless
    exactly one member differs.
    """
    rep = turn.replica
    members = tuple(sorted(set(members)))
    added = set(members) - set(rep.members)
    removed = set(rep.members) - set(members)
    if (
        rep.role is not Role.LEADER
        or rep.commit < max(rep.first_index, rep.log.config.index)
        or len(added) + len(removed) != 1
        or not members
    ):
        turn.add("rejected", token)
        return
    drop_change(turn)
    if removed:
        _append_members(turn, members, token)
        return
    (learner,) = added
    peer = types.Peer(0, turn.replica.last_index + 1)
    turn.set(
        peers=turn.replica.peers.set(learner, peer),
        change=types.Change(members, token),
    )
    replication.send(turn, learner)


def drop_change(turn: consensus_turn.Turn) -> None:
    """Gives up a change that still waits for its learner."""
    change = turn.replica.change
    if change is None:
        return
    turn.add("rejected", change.token)
    peers = turn.replica.peers
    for learner in set(change.members) - set(turn.replica.members):
        peers = peers.delete(learner)
    turn.set(change=None, peers=peers)


def advance(turn: consensus_turn.Turn) -> None:
    """Goes on with a change after the leader's tables have changed."""
    rep = turn.replica
    if rep.role is not Role.LEADER:
        return
    if rep.change is not None:
        (learner,) = set(rep.change.members) - set(rep.members)
        peer = rep.peers[learner]
        if (
            peer.disk is not None
            and peer.match + CAUGHT_UP_ENTRIES >= rep.commit
            and peer.match > 0
        ):
            turn.set(change=None)
            _append_members(turn, rep.change.members, rep.change.token)
    elif rep.log.config.index <= rep.commit:
        _dismiss_removed(turn)


def _append_members(
    turn: consensus_turn.Turn, members: tuple[str, ...], token: Any
) -> None:
    rep = turn.replica
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
    turn.append((entry,))
    turn.add("accepted", types.Accepted(token, entry.index, entry.term))
    replication.send_to_all(turn)


def _dismiss_removed(turn: consensus_turn.Turn) -> None:
    """Stops sending to removed members once their removal is committed."""
    rep = turn.replica
    removed = [item for item in sorted(rep.peers) if item not in rep.members]
    for node_id in removed:
        # The last message tells the removed member that it is out.
        replication.send(turn, node_id)
        turn.set(peers=turn.replica.peers.delete(node_id))
    if rep.node_id not in rep.members:
        replication.send_to_all(turn)
        turn.step_down(rep.term)
