"""Pure replica of the Raft consensus algorithm.

A replica is a frozen record; `step` takes an event and returns the next record
and the effects that the driver has to carry out. The log, elections,
replication and changes of members are in the modules `consensus_*`, whose
public names are repeated here.
"""

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_members
from waxwingrack.operations import consensus_replication
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_turn
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
Step = consensus_types.Step


def create(
    node_id: str,
    members: tuple[str, ...],
    persisted: Persisted,
    now_ms: int,
    seed: int,
) -> Replica:
    """Creates a replica at the start of its process.

    The state machine starts from `persisted.snapshot`; later entries are
    reported as committed again once a leader confirms them.

    Args:
      node_id: Node id of the replica.
      members: Node ids of the group, for a first start; a node that is to be
        added later may name the present members or none.
      persisted: What the storage has loaded.
      now_ms: Monotonic time, in milliseconds.
      seed: Seed of the election timeouts.

    Returns:
      A follower.
    """
    hard = persisted.hard
    base = consensus_log.Config(
        0, hard.members or tuple(sorted(set(members))), hard.disks
    )
    log = consensus_log.build(base, persisted.snapshot, persisted.entries)
    replica = Replica(
        node_id=node_id,
        seed=seed,
        disk=persisted.disk,
        role=ReplicaRole.FOLLOWER,
        hard=hard,
        log=log,
        leader="",
        commit=log.snapshot_index,
        synced=log.last,
        # A leader may rely on an answer given just before the restart.
        heard_ms=now_ms if hard.term > 0 else None,
        deadline_ms=now_ms,
    )
    turn = consensus_turn.Turn(replica, now_ms)
    turn.draw_deadline()
    return turn.replica


def step(replica: Replica, event: Event, now_ms: int) -> Step:
    """Handles one event.

    Args:
      replica: State before the event.
      event: What happened.
      now_ms: Monotonic time, in milliseconds.

    Returns:
      State after the event, and what the driver has to do.
    """
    turn = consensus_turn.Turn(replica, now_ms)
    match event:
        case Tick():
            _on_tick(turn)
        case Received(sender, message):
            _on_message(turn, sender, message)
        case Propose(command, token):
            _on_propose(turn, command, token)
        case ProposeMembers(members, token):
            consensus_members.on_propose_members(turn, members, token)
        case Synced(index, term):
            _on_synced(turn, index, term)
        case Compact(index, state):
            _on_compact(turn, index, state)
    consensus_members.advance(turn)
    return turn.finish()


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
    """Returns until when an unchanged replica may act as the leader.

    Args:
      replica: The replica.
      now_ms: Monotonic time, in milliseconds, read for this call.

    Returns:
      A time before which `has_lease` holds; -1 if the replica may not act.
    """
    if (
        replica.role is not ReplicaRole.LEADER
        or replica.commit < replica.first_index
    ):
        return -1
    acked_ms = consensus_replication.quorum_acked_ms(replica, now_ms)
    return -1 if acked_ms is None else acked_ms + LEASE_MS


def _on_tick(turn: consensus_turn.Turn) -> None:
    rep = turn.replica
    if rep.role is not ReplicaRole.LEADER:
        if turn.now_ms >= rep.deadline_ms:
            consensus_votes.on_election_timeout(turn)
        return
    acked_ms = consensus_replication.quorum_acked_ms(rep, turn.now_ms)
    reached_ms = max(acked_ms or 0, rep.elected_ms)
    if turn.now_ms - reached_ms >= ELECTION_MAX_MS:
        turn.step_down(rep.term)
        turn.draw_deadline()
        return
    consensus_replication.send_due(turn)


def _on_message(
    turn: consensus_turn.Turn, sender: str, message: object
) -> None:
    match message:
        case messages.VoteRequest():
            consensus_votes.on_vote_request(turn, sender, message)
        case messages.VoteReply():
            consensus_votes.on_vote_reply(turn, sender, message)
        case messages.Append():
            consensus_replication.on_append(turn, sender, message)
        case messages.AppendReply():
            consensus_replication.on_append_reply(turn, sender, message)
        case messages.InstallSnapshot():
            consensus_replication.on_install_snapshot(turn, sender, message)


def _on_propose(
    turn: consensus_turn.Turn, command: bytes, token: object
) -> None:
    rep = turn.replica
    if rep.role is not ReplicaRole.LEADER:
        turn.add("rejected", token)
        return
    entry = data.LogEntry(rep.last_index + 1, rep.term, command)
    turn.append((entry,))
    turn.add("accepted", Accepted(token, entry.index, entry.term))
    consensus_replication.send_to_all(turn)


def _on_synced(turn: consensus_turn.Turn, index: int, term: int) -> None:
    rep = turn.replica
    if index <= rep.synced or (consensus_log.term_at(rep.log, index) != term):
        return
    turn.set(synced=index)
    if rep.role is ReplicaRole.LEADER:
        consensus_replication.advance_commit(turn)


def _on_compact(turn: consensus_turn.Turn, index: int, state: bytes) -> None:
    rep = turn.replica
    if not rep.log.snapshot_index < index <= rep.commit:
        return
    turn.set(log=consensus_log.compact(rep.log, index, state))
    turn.write_snapshot(turn.replica.log.snapshot)
