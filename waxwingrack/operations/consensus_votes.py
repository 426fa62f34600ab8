"""Elections of a consensus replica.

A vote counts only with the disk id that the members in force name for the
voter, so a node that lost its disk cannot vote under its old identity. A group
starts from nothing only if every member answers with an empty disk; the first
candidate collects the disk ids on that occasion.
"""

import dataclasses

import immutables

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_replication as replication
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_turn
from waxwingrack.operations import consensus_types as types

Role = consensus_roles.ReplicaRole
RoleEvent = consensus_roles.RoleEvent


def on_election_timeout(turn: consensus_turn.Turn) -> None:
    """Asks for trial votes if the replica may be elected."""
    turn.draw_deadline()
    rep = turn.replica
    if not (rep.may_vote or _is_blank(rep) and rep.node_id in rep.members):
        turn.set(leader="")
        return
    turn.change_role(RoleEvent.ELECTION_TIMEOUT)
    turn.set(leader="", votes=immutables.Map({rep.node_id: rep.disk}))
    request = _request(turn.replica, rep.term + 1, pre_vote=True)
    for node_id in rep.members:
        if node_id != rep.node_id:
            turn.send(node_id, request)
    _count_pre_votes(turn)


def on_vote_request(
    turn: consensus_turn.Turn, sender: str, req: messages.VoteRequest
) -> None:
    """Answers a candidate."""
    _adopt_first_members(turn, req)
    rep = turn.replica
    if _follows_leader(rep, turn.now_ms) or not _may_vote_for(rep, req):
        _answer(turn, sender, req, granted=False)
        return
    if req.pre_vote:
        granted = req.term > rep.term and _is_up_to_date(rep, req)
        _answer(turn, sender, req, granted)
        return
    if req.term > rep.term:
        turn.step_down(req.term)
        rep = turn.replica
    granted = (
        req.term == rep.term
        and rep.hard.voted_for in ("", sender)
        and _is_up_to_date(rep, req)
    )
    if granted:
        if not rep.hard.voted_for:
            turn.write_hard(voted_for=sender)
        turn.draw_deadline()
    _answer(turn, sender, req, granted)


def on_vote_reply(
    turn: consensus_turn.Turn, sender: str, reply: messages.VoteReply
) -> None:
    """Counts a vote."""
    rep = turn.replica
    if not reply.granted:
        if reply.term > rep.term:
            turn.step_down(reply.term)
        return
    expected = (
        (Role.PRE_CANDIDATE, rep.term + 1)
        if reply.pre_vote
        else (Role.CANDIDATE, rep.term)
    )
    if (rep.role, reply.term) != expected:
        return
    turn.set(votes=rep.votes.set(sender, reply.disk))
    if reply.pre_vote:
        _count_pre_votes(turn)
    else:
        _count_votes(turn)


def _is_blank(rep: types.Replica) -> bool:
    """Returns whether the replica has no part in any group yet."""
    return rep.term == 0 and rep.last_index == 0 and not rep.log.config.disks


def _request(
    rep: types.Replica, term: int, pre_vote: bool
) -> messages.VoteRequest:
    config = rep.log.config
    return messages.VoteRequest(
        term,
        rep.last_index,
        rep.log.last_term,
        pre_vote,
        config.members,
        config.disks,
    )


def _answer(
    turn: consensus_turn.Turn,
    sender: str,
    req: messages.VoteRequest,
    granted: bool,
) -> None:
    rep = turn.replica
    term = req.term if granted else rep.term
    turn.reply(
        sender, messages.VoteReply(term, granted, req.pre_vote, rep.disk)
    )


def _adopt_first_members(
    turn: consensus_turn.Turn, req: messages.VoteRequest
) -> None:
    """Takes over the members of a first election that names this disk."""
    rep = turn.replica
    config = consensus_log.Config(0, req.members, req.disks)
    if (
        rep.log.config.index == 0
        and not rep.log.config.disks
        and config.disk_of(rep.node_id) == rep.disk
        and req.last_index == 0
    ):
        turn.write_hard(members=req.members, disks=req.disks)
        turn.set(log=dataclasses.replace(rep.log, configs=(config,)))


def _follows_leader(rep: types.Replica, now_ms: int) -> bool:
    """Returns whether a leader may still rely on this replica."""
    if rep.role is Role.LEADER:
        return True
    return (
        rep.heard_ms is not None
        and now_ms - rep.heard_ms < types.ELECTION_MIN_MS
    )


def _may_vote_for(rep: types.Replica, req: messages.VoteRequest) -> bool:
    """Returns whether this disk is entitled to a vote in the request.

    A new member may be asked before its own log names it, so the members in
    the request count as well.
    """
    if req.members and not req.disks:
        return _is_blank(rep) and req.pre_vote and req.last_index == 0
    asked = consensus_log.Config(0, req.members, req.disks)
    return rep.may_vote or asked.disk_of(rep.node_id) == rep.disk


def _is_up_to_date(rep: types.Replica, req: messages.VoteRequest) -> bool:
    return (req.last_term, req.last_index) >= (
        rep.log.last_term,
        rep.last_index,
    )


def _has_majority(rep: types.Replica) -> bool:
    config = rep.log.config
    valid = sum(
        rep.votes.get(node_id) == config.disk_of(node_id)
        for node_id in config.members
        if node_id in rep.votes
    )
    return valid >= consensus_turn.quorum(config.members)


def _count_pre_votes(turn: consensus_turn.Turn) -> None:
    rep = turn.replica
    members = rep.members
    if rep.log.config.disks:
        if not _has_majority(rep):
            return
    else:
        if any(node_id not in rep.votes for node_id in members):
            return
        disks = tuple(rep.votes[node_id] for node_id in members)
        config = consensus_log.Config(0, members, disks)
        turn.write_hard(members=members, disks=disks)
        turn.set(log=dataclasses.replace(rep.log, configs=(config,)))
    _start_election(turn)


def _start_election(turn: consensus_turn.Turn) -> None:
    rep = turn.replica
    turn.change_role(RoleEvent.PRE_VOTES_WON)
    turn.write_hard(term=rep.term + 1, voted_for=rep.node_id)
    turn.set(votes=immutables.Map({rep.node_id: rep.disk}))
    turn.draw_deadline()
    request = _request(turn.replica, turn.replica.term, pre_vote=False)
    for node_id in rep.members:
        if node_id != rep.node_id:
            turn.reply(node_id, request)
    _count_votes(turn)


def _count_votes(turn: consensus_turn.Turn) -> None:
    rep = turn.replica
    if not _has_majority(rep):
        return
    turn.change_role(RoleEvent.VOTES_WON)
    index = rep.last_index + 1
    config = rep.log.config
    entry = data.LogEntry(index, rep.term, b"")
    if config.index == 0:
        entry = dataclasses.replace(
            entry, members=config.members, disks=config.disks
        )
    turn.set(
        leader=rep.node_id,
        votes=immutables.Map(),
        elected_ms=turn.now_ms,
        first_index=index,
        peers=immutables.Map(
            {
                node_id: types.Peer(0, index)
                for node_id in config.members
                if node_id != rep.node_id
            }
        ),
    )
    turn.append((entry,))
    replication.send_to_all(turn)
