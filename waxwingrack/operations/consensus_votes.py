"""Elections of a consensus replica.

A vote counts only with the disk id that the current membership records for the
voter, so a node that lost its disk cannot vote under its old identity. A new
group forms only if every member answers with an empty disk; the first candidate
collects the disk ids from these answers.
"""

import dataclasses

import immutables

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus_context
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_replication as replication
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_types as types

Role = consensus_roles.ReplicaRole
RoleEvent = consensus_roles.RoleEvent


def on_election_timeout(ctx: consensus_context.StepContext) -> None:
    """Asks for pre-votes if the replica may be elected."""
    ctx.draw_deadline()
    rep = ctx.replica
    if not (
        rep.may_vote
        or _is_outside_any_group(rep)
        and rep.node_id in rep.members
    ):
        ctx.update(leader="")
        return
    ctx.change_role(RoleEvent.ELECTION_TIMEOUT)
    ctx.update(leader="", votes=immutables.Map({rep.node_id: rep.disk}))
    request = _build_vote_request(ctx.replica, rep.term + 1, pre_vote=True)
    for node_id in rep.members:
        if node_id != rep.node_id:
            ctx.send(node_id, request)
    _count_pre_votes(ctx)


def on_vote_request(
    ctx: consensus_context.StepContext, sender: str, req: messages.VoteRequest
) -> None:
    """Decides on a vote or a pre-vote and answers the candidate."""
    _adopt_initial_members(ctx, req)
    rep = ctx.replica
    if _has_recent_leader(rep, ctx.now_ms) or not _may_vote_for_request(
        rep, req
    ):
        _send_vote_reply(ctx, sender, req, granted=False)
        return
    if req.pre_vote:
        granted = req.term > rep.term and _is_up_to_date(rep, req)
        _send_vote_reply(ctx, sender, req, granted)
        return
    if req.term > rep.term:
        ctx.step_down(req.term)
        rep = ctx.replica
    granted = (
        req.term == rep.term
        and rep.hard.voted_for in ("", sender)
        and _is_up_to_date(rep, req)
    )
    if granted:
        if not rep.hard.voted_for:
            ctx.write_hard(voted_for=sender)
        ctx.draw_deadline()
    _send_vote_reply(ctx, sender, req, granted)


def on_vote_reply(
    ctx: consensus_context.StepContext, sender: str, reply: messages.VoteReply
) -> None:
    """Counts a vote or a pre-vote."""
    rep = ctx.replica
    if not reply.granted:
        if reply.term > rep.term:
            ctx.step_down(reply.term)
        return
    expected_reply = (
        (Role.PRE_CANDIDATE, rep.term + 1)
        if reply.pre_vote
        else (Role.CANDIDATE, rep.term)
    )
    if (rep.role, reply.term) != expected_reply:
        return
    ctx.update(votes=rep.votes.set(sender, reply.disk))
    if reply.pre_vote:
        _count_pre_votes(ctx)
    else:
        _count_votes(ctx)


def _is_outside_any_group(rep: types.Replica) -> bool:
    """Returns whether the replica has not yet joined any group."""
    return rep.term == 0 and rep.last_index == 0 and not rep.log.config.disks


def _build_vote_request(
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


def _send_vote_reply(
    ctx: consensus_context.StepContext,
    sender: str,
    req: messages.VoteRequest,
    granted: bool,
) -> None:
    rep = ctx.replica
    term = req.term if granted else rep.term
    ctx.send_synced(
        sender, messages.VoteReply(term, granted, req.pre_vote, rep.disk)
    )


def _adopt_initial_members(
    ctx: consensus_context.StepContext, req: messages.VoteRequest
) -> None:
    """Adopts the members of a first election that includes this disk."""
    rep = ctx.replica
    config = consensus_log.Config(0, req.members, req.disks)
    if (
        rep.log.config.index == 0
        and not rep.log.config.disks
        and config.disk_of(rep.node_id) == rep.disk
        and req.last_index == 0
    ):
        ctx.write_hard(members=req.members, disks=req.disks)
        ctx.update(log=dataclasses.replace(rep.log, configs=(config,)))


def _has_recent_leader(rep: types.Replica, now_ms: int) -> bool:
    """Returns whether a leader's lease may still rest on this replica."""
    if rep.role is Role.LEADER:
        return True
    return (
        rep.leader_heard_ms is not None
        and now_ms - rep.leader_heard_ms < types.ELECTION_MIN_MS
    )


def _may_vote_for_request(
    rep: types.Replica, req: messages.VoteRequest
) -> bool:
    """Returns whether this disk may vote on the request.

    A candidate may ask a new member before the member's own log includes it,
    so the members in the request count as well.
    """
    if req.members and not req.disks:
        return (
            _is_outside_any_group(rep) and req.pre_vote and req.last_index == 0
        )
    requested_config = consensus_log.Config(0, req.members, req.disks)
    return rep.may_vote or requested_config.disk_of(rep.node_id) == rep.disk


def _is_up_to_date(rep: types.Replica, req: messages.VoteRequest) -> bool:
    return (req.last_term, req.last_index) >= (
        rep.log.last_term,
        rep.last_index,
    )


def _has_majority(rep: types.Replica) -> bool:
    config = rep.log.config
    vote_count = sum(
        rep.votes.get(node_id) == config.disk_of(node_id)
        for node_id in config.members
        if node_id in rep.votes
    )
    return vote_count >= consensus_context.quorum(config.members)


def _count_pre_votes(ctx: consensus_context.StepContext) -> None:
    rep = ctx.replica
    members = rep.members
    if rep.log.config.disks:
        if not _has_majority(rep):
            return
    else:
        if any(node_id not in rep.votes for node_id in members):
            return
        disks = tuple(rep.votes[node_id] for node_id in members)
        config = consensus_log.Config(0, members, disks)
        ctx.write_hard(members=members, disks=disks)
        ctx.update(log=dataclasses.replace(rep.log, configs=(config,)))
    _start_election(ctx)


def _start_election(ctx: consensus_context.StepContext) -> None:
    rep = ctx.replica
    ctx.change_role(RoleEvent.PRE_VOTES_WON)
    ctx.write_hard(term=rep.term + 1, voted_for=rep.node_id)
    ctx.update(votes=immutables.Map({rep.node_id: rep.disk}))
    ctx.draw_deadline()
    request = _build_vote_request(ctx.replica, ctx.replica.term, pre_vote=False)
    for node_id in rep.members:
        if node_id != rep.node_id:
            ctx.send_synced(node_id, request)
    _count_votes(ctx)


def _count_votes(ctx: consensus_context.StepContext) -> None:
    rep = ctx.replica
    if not _has_majority(rep):
        return
    ctx.change_role(RoleEvent.VOTES_WON)
    index = rep.last_index + 1
    config = rep.log.config
    entry = data.LogEntry(index, rep.term, b"")
    if config.index == 0:
        entry = dataclasses.replace(
            entry, members=config.members, disks=config.disks
        )
    ctx.update(
        leader=rep.node_id,
        votes=immutables.Map(),
        elected_ms=ctx.now_ms,
        first_term_index=index,
        peers=immutables.Map(
            {
                node_id: types.PeerProgress(0, index)
                for node_id in config.members
                if node_id != rep.node_id
            }
        ),
    )
    ctx.append((entry,))
    replication.send_to_all(ctx)
