"""Records of a consensus replica: state, events and effects."""

import dataclasses
from typing import Any

import immutables

from waxwingrack.core import data
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_roles

# Shortest and longest election timeout, in milliseconds. A follower refuses
# votes for the shortest one after it has heard from a leader.
ELECTION_MIN_MS = 600
ELECTION_MAX_MS = 1_200
# Longest time between two messages of the leader to a peer, in milliseconds.
HEARTBEAT_MS = 150
# Life of the leader's lease from the sending of an acknowledged message, in
# milliseconds. The difference to ELECTION_MIN_MS covers clock drift.
LEASE_MS = 500
# Time after which an unanswered snapshot is sent again, in milliseconds.
SNAPSHOT_RETRY_MS = 3_000
# Most entries sent to a peer ahead of its acknowledgements.
WINDOW_ENTRIES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """What a replica must know again after a restart, besides its log.

    Attributes:
      term: Latest term seen.
      voted_for: Node id that got the vote of that term, or empty.
      members: Members of the first election, once it has started at this
        replica; used while the log names none.
      disks: Disk ids with which `members` may vote, in the same order.
    """

    term: int = 0
    voted_for: str = ""
    members: tuple[str, ...] = ()
    disks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """What a storage holds.

    Attributes:
      hard: Hard state.
      snapshot: Latest snapshot, if there is one.
      entries: Entries after it.
      disk: Random id of the disk.
      new_disk: Whether the folder was empty, so that nothing is known of what
        the node promised before.
    """

    hard: HardState = HardState()
    snapshot: data.Snapshot | None = None
    entries: tuple[data.LogEntry, ...] = ()
    disk: str = ""
    new_disk: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """What a leader knows of another replica.

    Attributes:
      match: Last index known to be synced at the peer.
      next: Next index to send.
      acked_ms: Latest send time of a message that the peer has answered with
        the disk that may vote, on the leader's clock; None if there is none.
      sent_ms: Time of the last message to it.
      snapshot_ms: Time at which a snapshot was sent that is not yet answered.
      disk: Disk id that the peer reported.
    """

    match: int
    next: int
    acked_ms: int | None = None
    sent_ms: int = 0
    snapshot_ms: int | None = None
    disk: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the members that waits for a learner to catch up."""

    members: tuple[str, ...]
    token: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """State of a replica.

    Attributes:
      node_id: Its node id.
      seed: Seed of its election timeouts.
      disk: Id of its disk.
      role: Role.
      hard: Hard state.
      log: Log.
      leader: Node id of the leader of the term, empty if unknown.
      commit: Last index known to be committed.
      synced: Last index that is synced on the own disk.
      heard_ms: Time at which a leader was last heard, or of the start if it
        may have promised a lease before; None otherwise.
      deadline_ms: Time of the next election timeout.
      draws: Number of election timeouts drawn.
      votes: Node ids that voted in the running election, with their disk ids.
      peers: Other replicas by node id; leaders only.
      elected_ms: Time of the own election; leaders only.
      first_index: Index of the first entry of the own term; leaders only.
      change: Change of the members that waits; leaders only.
    """

    node_id: str
    seed: int
    disk: str
    role: consensus_roles.ReplicaRole
    hard: HardState
    log: consensus_log.Log
    leader: str
    commit: int
    synced: int
    heard_ms: int | None
    deadline_ms: int
    draws: int = 0
    votes: immutables.Map = immutables.Map()
    peers: immutables.Map = immutables.Map()
    elected_ms: int = 0
    first_index: int = 0
    change: Change | None = None

    @property
    def term(self) -> int:
        """Latest term seen."""
        return self.hard.term

    @property
    def members(self) -> tuple[str, ...]:
        """Node ids in force."""
        return self.log.config.members

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.log.last

    @property
    def match(self) -> immutables.Map:
        """Last index known to be synced at each replica; leaders only."""
        table = immutables.Map(
            {node_id: peer.match for node_id, peer in self.peers.items()}
        )
        return table.set(self.node_id, self.synced)

    @property
    def may_vote(self) -> bool:
        """Whether the members in force admit this node with this disk."""
        return self.log.config.disk_of(self.node_id) == self.disk


# ---------------------------------------------------------------------------
# Events
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; needed at least every 50 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message of another controller has arrived."""

    sender: str
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """A command is to be replicated."""

    command: bytes
    token: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeMembers:
    """One member is to be added or removed.

    A new member is first brought up to date without a vote. `accepted` follows
    when the change enters the log. A further proposal replaces one that waits.
    """

    members: tuple[str, ...]
    token: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The entries up to an index are synced on the own disk."""

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
    """What the driver has to do after a step.

    Writes are done in the order of the fields and synced before
    `send_after_sync` is sent and `Synced` is fed.

    Attributes:
      hard: Hard state to write.
      truncate_from: Index from which on stored entries are to be dropped.
      append: Entries to store.
      snapshot: Snapshot to store; it replaces the entries up to its index.
      send: Messages to send at once.
      send_after_sync: Messages to send once the writes are synced.
      committed: Newly committed entries in order.
      restored: Snapshot that replaces the state machine; before `committed`.
      accepted: Proposals that have entered the log.
      rejected: Tokens of proposals that were refused or given up.
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
class Step:
    """Result of a step."""

    replica: Replica
    effects: Effects
