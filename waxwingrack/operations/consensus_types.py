"""Records of a consensus replica: state, events and effects."""

import dataclasses
from typing import Any

import immutables

from waxwingrack.core import data
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_roles

# Shortest and longest election timeout, in milliseconds. A follower refuses
# votes for ELECTION_MIN_MS after a message of the leader.
ELECTION_MIN_MS = 600
ELECTION_MAX_MS = 1_200
# Longest interval between messages of the leader to a peer, in milliseconds.
HEARTBEAT_MS = 150
# Duration of the leader's lease, counted from the sending of an acknowledged
# message, in milliseconds. It is shorter than ELECTION_MIN_MS to allow for
# clock drift.
LEASE_MS = 500
# Time after which an unanswered snapshot is sent again, in milliseconds.
SNAPSHOT_RETRY_MS = 3_000
# Maximum number of entries sent to a peer ahead of its acknowledgements.
WINDOW_ENTRIES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """State besides the log that a replica must keep over a restart.

    Attributes:
      term: Latest term seen.
      voted_for: Node id voted for in that term, or empty.
      members: Members of the first election, set once this replica takes part
        in it; used while the log names none.
      disks: Disk ids with which `members` may vote, in the same order.
    """

    term: int = 0
    voted_for: str = ""
    members: tuple[str, ...] = ()
    disks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """Contents of the storage of a replica.

    Attributes:
      hard: Hard state.
      snapshot: Latest snapshot, if there is one.
      entries: Entries after it.
      disk: Random id of the disk.
      new_disk: Whether the folder was empty, so that votes given earlier under
        this node id are unknown.
    """

    hard: HardState = HardState()
    snapshot: data.Snapshot | None = None
    entries: tuple[data.LogEntry, ...] = ()
    disk: str = ""
    new_disk: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerProgress:
    """Progress of replication at another replica, as its leader knows it.

    Attributes:
      match_index: Last index known to be synced at the peer.
      next_index: Next index to send.
      acked_ms: Latest send time of a message that the peer has answered with
        the disk that may vote, on the leader's clock; None if there is none.
      sent_ms: Time of the last message to it.
      snapshot_sent_ms: Time at which an unanswered snapshot was sent.
      disk: Disk id that the peer reported.
    """

    match_index: int
    next_index: int
    acked_ms: int | None = None
    sent_ms: int = 0
    snapshot_sent_ms: int | None = None
    disk: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PendingChange:
    """A membership change that waits for its learner to catch up."""

    members: tuple[str, ...]
    token: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """State of a replica.

    Attributes:
      node_id: Node id of this replica.
      seed: Seed of the election timeouts.
      disk: Id of the local disk.
      role: Current role.
      hard: Hard state.
      log: Log.
      leader: Node id of the leader of the term, empty if unknown.
      commit_index: Last index known to be committed.
      synced_index: Last index that is synced on the local disk.
      leader_heard_ms: Time of the last message of a leader, or of the start if
        a lease may rest on a reply sent before it; None otherwise.
      election_deadline_ms: Time of the next election timeout.
      timeout_draws: Number of election timeouts drawn.
      votes: Disk ids of the voters in the current election by node id.
      peers: Other replicas by node id; leaders only.
      elected_ms: Time at which this replica was elected; leaders only.
      first_term_index: Index of the first entry of its term; leaders only.
      pending_change: Membership change that waits for its learner; leaders
        only.
    """

    node_id: str
    seed: int
    disk: str
    role: consensus_roles.ReplicaRole
    hard: HardState
    log: consensus_log.Log
    leader: str
    commit_index: int
    synced_index: int
    leader_heard_ms: int | None
    election_deadline_ms: int
    timeout_draws: int = 0
    votes: immutables.Map = immutables.Map()
    peers: immutables.Map = immutables.Map()
    elected_ms: int = 0
    first_term_index: int = 0
    pending_change: PendingChange | None = None

    @property
    def term(self) -> int:
        """Latest term seen."""
        return self.hard.term

    @property
    def members(self) -> tuple[str, ...]:
        """Node ids of the current members."""
        return self.log.config.members

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.log.last_index

    @property
    def match(self) -> immutables.Map:
        """Last index known to be synced at each replica; leaders only."""
        indexes = immutables.Map(
            {node_id: peer.match_index for node_id, peer in self.peers.items()}
        )
        return indexes.set(self.node_id, self.synced_index)

    @property
    def may_vote(self) -> bool:
        """Whether the current members include this node with this disk."""
        return self.log.config.disk_of(self.node_id) == self.disk


# ---------------------------------------------------------------------------
# Events
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; needed at least every 50 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from another controller has arrived."""

    sender: str
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """A client asks to replicate a command."""

    command: bytes
    token: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeMembers:
    """A request to add or remove one member.

    A new member first catches up as a learner, without a vote. The token is
    reported in `Effects.accepted` when the change enters the log. A further
    proposal replaces one that still waits for its learner.
    """

    members: tuple[str, ...]
    token: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The entries up to an index are synced on the local disk."""

    index: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Compact:
    """The state up to a committed index has been encoded."""

    index: int
    state: bytes


# ---------------------------------------------------------------------------
# Effects
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message to another controller."""

    receiver: str
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A proposal has entered the leader's log; it is not yet committed."""

    token: Any
    index: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """Work of the driver after a step.

    The driver writes in the order of the fields and syncs the writes before it
    sends `send_after_sync` and passes a `Synced` event to the replica.

    Attributes:
      hard: Hard state to write.
      truncate_from: Index from which on to delete the stored entries.
      append: Entries to store.
      snapshot: Snapshot to store; it replaces the entries up to its index.
      send: Messages to send without waiting for a sync.
      send_after_sync: Messages to send once the writes are synced.
      committed: Newly committed entries in order.
      restored: Snapshot that replaces the state of the state machine before
        `committed` is applied.
      accepted: Proposals that have entered the log.
      rejected: Tokens of proposals that were refused or cancelled.
    """

    hard: HardState | None = None
    truncate_from: int | None = None
    append: tuple[data.LogEntry, ...] = ()
    snapshot: data.Snapshot | None = None
    send: tuple[Envelope, ...] = ()
    send_after_sync: tuple[Envelope, ...] = ()
    committed: tuple[data.LogEntry, ...] = ()
    restored: data.Snapshot | None = None
    accepted: tuple[Accepted, ...] = ()
    rejected: tuple[Any, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """State and effects after one step."""

    replica: Replica
    effects: Effects
