"""Replica of the Raft consensus algorithm as a pure state machine.

A replica is an immutable record; `step` takes an event and returns the next
record and the effects that the driver has to carry out. The log, elections,
replication and membership changes are in the modules `consensus_*`, whose
public names are exported again here.
"""

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus_context
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_members
from waxwingrack.operations import consensus_replication
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_types
from waxwingrack.operations import consensus_votes

ELECTION_MIN_MS = consensus_types.ELECTION_MIN_MS
ELECTION_MAX_MS = consensus_types.ELECTION_MAX_MS
HEARTBEAT_MS = consensus_types.HEARTBEAT_MS
LEASE_MS = consensus_types.LEASE_MS

HardState = consensus_types.HardState
Persisted = consensus_types.Persisted
Replica = consensus_types.Replica
ReplicaRole = consensus_roles.ReplicaRole

Tick = consensus_types.Tick
Received = consensus_types.Received
Propose = consensus_types.Propose
ProposeMembers = consensus_types.ProposeMembers
Synced = consensus_types.Synced
Compact = consensus_types.Compact
Event = Tick | Received | Propose | ProposeMembers | Synced | Compact

Envelope = consensus_types.Envelope
Accepted = consensus_types.Accepted
Effects = consensus_types.Effects
StepResult = consensus_types.StepResult


def create(
    node_id: str,
    members: tuple[str, ...],
    persisted: Persisted,
    now_ms: int,
    seed: int,
) -> Replica:
    """Creates a replica when its process starts.

    The state machine starts from `persisted.snapshot`; later entries are
    reported as committed again once a leader confirms them.

    Args:
      node_id: Node id of the replica.
      members: Node ids of the group, used at the first start only; a node that
        is to be added later may name the current members or none.
      persisted: State loaded from the storage.
      now_ms: Monotonic time, in milliseconds.
      seed: Seed of the election timeouts.

    Returns:
      A follower.
    """
    hard = persisted.hard
    initial_config = consensus_log.Config(
        0, hard.members or tuple(sorted(set(members))), hard.disks
    )
    log = consensus_log.build(
        initial_config, persisted.snapshot, persisted.entries
    )
    replica = Replica(
        node_id=node_id,
        seed=seed,
        disk=persisted.disk,
        role=ReplicaRole.FOLLOWER,
        hard=hard,
        log=log,
        leader="",
        commit_index=log.snapshot_index,
        synced_index=log.last_index,
        # The leader's lease may rest on a reply sent just before the restart.
        leader_heard_ms=now_ms if hard.term > 0 else None,
        election_deadline_ms=now_ms,
    )
    ctx = consensus_context.StepContext(replica, now_ms)
    ctx.draw_deadline()
    return ctx.replica


def step(replica: Replica, event: Event, now_ms: int) -> StepResult:
    """Handles one event.

    Args:
      replica: State before the event.
      event: Event to handle.
      now_ms: Monotonic time, in milliseconds.

    Returns:
      State after the event, and the effects for the driver to carry out.
    """
    ctx = consensus_context.StepContext(replica, now_ms)
    match event:
        case Tick():
            _on_tick(ctx)
        case Received(sender, message):
            _on_message(ctx, sender, message)
        case Propose(command, token):
            _on_propose(ctx, command, token)
        case ProposeMembers(members, token):
            consensus_members.on_propose_members(ctx, members, token)
        case Synced(index, term):
            _on_synced(ctx, index, term)
        case Compact(index, state):
            _on_compact(ctx, index, state)
    consensus_members.advance_change(ctx)
    return ctx.build_step()


def has_lease(replica: Replica, now_ms: int) -> bool:
    """Returns whether the replica may act as the leader.

    Args:
      replica: The replica.
      now_ms: Monotonic time, in milliseconds, read for this call.

    Returns:
      True if the replica leads, has committed an entry of its term, and a
      majority has answered messages sent within the last `LEASE_MS`.
    """
    return now_ms < lease_end_ms(replica, now_ms)


def lease_end_ms(replica: Replica, now_ms: int) -> int:
    """Returns when the lease of an unchanged replica ends.

    Args:
      replica: The replica.
      now_ms: Monotonic time, in milliseconds, read for this call.

    Returns:
      A time before which `has_lease` holds; -1 if the replica may not act.
    """
    if (
        replica.role is not ReplicaRole.LEADER
        or replica.commit_index < replica.first_term_index
    ):
        return -1
    acked_ms = consensus_replication.quorum_acked_ms(replica, now_ms)
    return -1 if acked_ms is None else acked_ms + LEASE_MS


def _on_tick(ctx: consensus_context.StepContext) -> None:
    rep = ctx.replica
    if rep.role is not ReplicaRole.LEADER:
        if ctx.now_ms >= rep.election_deadline_ms:
            consensus_votes.on_election_timeout(ctx)
        return
    acked_ms = consensus_replication.quorum_acked_ms(rep, ctx.now_ms)
    quorum_ms = max(acked_ms or 0, rep.elected_ms)
    if ctx.now_ms - quorum_ms >= ELECTION_MAX_MS:
        ctx.step_down(rep.term)
        ctx.draw_deadline()
        return
    consensus_replication.send_due_heartbeats(ctx)


def _on_message(
    ctx: consensus_context.StepContext, sender: str, message: object
) -> None:
    match message:
        case messages.VoteRequest():
            consensus_votes.on_vote_request(ctx, sender, message)
        case messages.VoteReply():
            consensus_votes.on_vote_reply(ctx, sender, message)
        case messages.Append():
            consensus_replication.on_append(ctx, sender, message)
        case messages.AppendReply():
            consensus_replication.on_append_reply(ctx, sender, message)
        case messages.InstallSnapshot():
            consensus_replication.on_install_snapshot(ctx, sender, message)


def _on_propose(
    ctx: consensus_context.StepContext, command: bytes, token: object
) -> None:
    rep = ctx.replica
    if rep.role is not ReplicaRole.LEADER:
        ctx.add_effects("rejected", token)
        return
    entry = data.LogEntry(rep.last_index + 1, rep.term, command)
    ctx.append((entry,))
    ctx.add_effects("accepted", Accepted(token, entry.index, entry.term))
    consensus_replication.send_to_all(ctx)


def _on_synced(
    ctx: consensus_context.StepContext, index: int, term: int
) -> None:
    rep = ctx.replica
    if index <= rep.synced_index or (
        consensus_log.term_at(rep.log, index) != term
    ):
        return
    ctx.update(synced_index=index)
    if rep.role is ReplicaRole.LEADER:
        consensus_replication.advance_commit(ctx)


def _on_compact(
    ctx: consensus_context.StepContext, index: int, state: bytes
) -> None:
    rep = ctx.replica
    if not rep.log.snapshot_index < index <= rep.commit_index:
        return
    ctx.update(log=consensus_log.compact(rep.log, index, state))
    ctx.write_snapshot(ctx.replica.log.snapshot)
