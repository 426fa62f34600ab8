"""Messages between the processes of the system."""

import dataclasses

from waxwingrack.core import codec
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import registry

# Processes refuse connections of another protocol version. The compact frames
# of `wire` came with version 2.
PROTOCOL_VERSION = 7
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Maximum interval between two reports of a router, in milliseconds.
HEARTBEAT_MS = 250
# Time within which a router must dispatch a granted request, in milliseconds.
GRANT_LIFETIME_MS = 1_000
# Time without a message of the leader after which a router considers the
# control connection lost, in milliseconds.
CONTROL_TIMEOUT_MS = 2_000
# Maximum number of queued requests of one workspace and service that a router
# reports at a time. The leader does not know of requests beyond it and cannot
# refuse them early.
MAX_REPORTED_REQUESTS = 256

MESSAGES: registry.Registry[str, type] = registry.Registry("message")
CODEC = codec.Codec(MESSAGES)


# ---------------------------------------------------------------------------
# Connection set-up
# ---------------------------------------------------------------------------


@MESSAGES.register("hello")
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side.

    Attributes:
      protocol: Protocol version.
      role: Role of the sender.
      node_id: Node id of the sender.
      incarnation: Identifier that changes with each start of the sender.
      nonce: Random bytes that the peer's proof must cover.
      proof: HMAC over both nonces with the shared key; empty with mutual TLS.
    """

    protocol: int
    role: data.Role
    node_id: str
    incarnation: str
    nonce: bytes = b""
    proof: bytes = b""


@MESSAGES.register("not_leader")
@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """Answer of a controller that is not the leader.

    Attributes:
      leader: Node id of the leader, empty if unknown.
      peer: Addresses of the leader, None if unknown. The settings of the
        receiver may not list a leader that a repair has added. A software
        release without this field drops the message and asks the next
        controller.
    """

    leader: str
    peer: data.Peer | None = None


# ---------------------------------------------------------------------------
# Router and leader
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSuspect:
    """A request whose connection to a backend server broke.

    Attributes:
      digest: Digest of the request.
      server_id: Backend server.
      incarnation: Incarnation of the server.
      ran_ms: Time from the dispatch until the connection broke.
      age_ms: Time since then; more than 0 in a repeated report.
      parts: Ids of the parts of its prompt that other requests may share.
    """

    digest: str
    server_id: str
    incarnation: str
    ran_ms: int = 0
    age_ms: int = 0
    parts: tuple[str, ...] = ()


@MESSAGES.register("report")
@data.quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class RouterReport:
    """Changes at a router since its last report.

    Attributes:
      sent_ms: Time of sending on the router's monotonic clock.
      environment_number: Number of the environment in force at the router.
      first: Whether it is the first report on a connection; `running` is then
        the whole list of grants in use and `wants` the whole list of queued
        requests.
      wants: New queued requests.
      withdrawn: Sequences of queued requests that no longer need a grant.
      running: Granted requests that are running.
      finished: Granted requests that have ended.
      progress: Costs so far of running requests.
      announcements: Announcements received from backend servers.
      crash_suspects: Requests whose connection broke.
      draining: Whether the router is shutting down.
      data_centre: Data centre of the router, in the first report on a
        connection.
      started: Granted requests whose answers have begun.
      notices: What servers told about themselves in answers.
      usage: Counts of usage windows that have changed; in the first report on a
        connection those of all windows that the router keeps.
    """

    sent_ms: int
    environment_number: int
    first: bool = False
    wants: tuple[data.QueuedRequest, ...] = ()
    withdrawn: tuple[int, ...] = ()
    running: tuple[data.RunningRequest, ...] = ()
    finished: tuple[data.FinishedRequest, ...] = ()
    progress: tuple[data.CostProgress, ...] = ()
    announcements: tuple[data.Announcement, ...] = ()
    crash_suspects: tuple[CrashSuspect, ...] = ()
    draining: bool = False
    data_centre: str = ""
    started: tuple[data.StartedAnswer, ...] = ()
    notices: tuple[data.ServerNotice, ...] = ()
    usage: tuple[data.WindowUsage, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a queued request by the leader.

    Attributes:
      want: Sequence of the queued request.
      kind: Error kind.
      retry_after_ms: Time after which a retry may be accepted; 0 if it is not
        known.
    """

    want: int
    kind: errors.ErrorKind
    retry_after_ms: int = 0


@MESSAGES.register("update")
@data.quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class ControllerUpdate:
    """Grants and refusals for a router.

    Attributes:
      echo_ms: `sent_ms` of the last report that the leader received.
      term: Term of the leader.
      grants: New grants.
      refusals: Refused requests.
      ended: Servers that depart, went stale or started again, to which idle
        connections are closed.
    """

    echo_ms: int
    term: int
    grants: tuple[data.Grant, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    ended: tuple[data.EndedServer, ...] = ()


@MESSAGES.register("environment")
@dataclasses.dataclass(frozen=True, slots=True)
class EnvironmentPush:
    """The environment in force, sent to a router that has an older one.

    Attributes:
      number: Number of the environment.
      environment: Document.
      drained: Drained data centres.
      refused_digests: Request digests refused because they crash servers.
      controllers: Controllers added by a repair, which the router's settings
        may not list.
    """

    number: int
    environment: data.Environment
    drained: tuple[str, ...] = ()
    refused_digests: tuple[str, ...] = ()
    controllers: tuple[data.Peer, ...] = ()


@MESSAGES.register("key_lookup")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyLookup:
    """Asks for the record of an idempotency key.

    Attributes:
      call: Number that the answer repeats.
      workspace: Workspace of the caller.
      key: Idempotency key.
      digest: Digest of the request.
    """

    call: int
    workspace: str
    key: str
    digest: str


@MESSAGES.register("key_claim")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyClaim:
    """Asks the leader to record a key before the request is dispatched."""

    call: int
    workspace: str
    key: str
    digest: str


@MESSAGES.register("key_outcome")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyOutcome:
    """Records how a claimed request ended.

    Attributes:
      call: Number that the answer repeats.
      workspace: Workspace of the caller.
      key: Idempotency key.
      answer: Whole answer; None if the outcome is unknown.
    """

    call: int
    workspace: str
    key: str
    answer: data.StoredAnswer | None


@MESSAGES.register("key_release")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyRelease:
    """Asks to remove this router's claim, as its request was not dispatched."""

    call: int
    workspace: str
    key: str


@MESSAGES.register("key_answer")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyAnswer:
    """Answer to a key message.

    Attributes:
      call: `call` of the message that is answered.
      state: For a lookup: ABSENT, RUNNING, ANSWERED, MAY_HAVE_RUN, MISMATCH,
        EXPIRED, or INVALID if the key's date is too far in the future.
        For a claim: CLAIMED if this router may dispatch the request, otherwise
        a state as for a lookup, or STORE_FULL. For an outcome or release:
        ANSWERED, MAY_HAVE_RUN or ABSENT once committed. UNAVAILABLE if the
        leader could not commit.
      answer: Stored answer, if ANSWERED.
    """

    call: int
    state: data.KeyState
    answer: data.StoredAnswer | None = None


# ---------------------------------------------------------------------------
# Between controllers
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class KeptPrompts:
    """Parts of prompts that a model engine has cached.

    Attributes:
      server_id: Backend server id of the engine.
      parts: Parts, the least recently read one first.
    """

    server_id: str
    parts: tuple[data.PromptPart, ...]


@MESSAGES.register("servers_known")
@dataclasses.dataclass(frozen=True, slots=True)
class ServersKnown:
    """State of backend servers that the leader sends to its followers.

    It is not part of the replicated log: every follower keeps the last message
    that it received, in case it becomes the leader.

    Attributes:
      announcements: Last announcement of each server.
      prompts: Parts of prompts that model engines have cached.
    """

    announcements: tuple[data.Announcement, ...]
    prompts: tuple[KeptPrompts, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class KnownSuspect:
    """Evidence against a crash suspect; see `data.CrashSuspicion`.

    Attributes:
      digest: Request digest, or prompt part.
      unjudged_servers: Server incarnations that may have crashed under it.
      crashed_servers: Server incarnations that crashed under it.
      isolated_crashes: Number of these crashes without another request.
      age_ms: Time since the latest evidence.
      runs: The runs whose connections broke; their times are ages.
    """

    digest: str
    unjudged_servers: tuple[tuple[str, str], ...]
    crashed_servers: tuple[tuple[str, str], ...]
    isolated_crashes: int
    age_ms: int
    runs: tuple[data.BrokenRun, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class KnownBreak:
    """Broken connections that are not judged; see `data.BrokenConnections`.

    Attributes:
      server_id: Backend server.
      incarnation: Incarnation of the server.
      digests: Digests of the requests.
      had_other_grants: Whether other grants were in use on the server.
      age_ms: Time since the latest report.
    """

    server_id: str
    incarnation: str
    digests: tuple[str, ...]
    had_other_grants: bool
    age_ms: int


@MESSAGES.register("crash_evidence")
@dataclasses.dataclass(frozen=True, slots=True)
class CrashEvidence:
    """Evidence about crashes that the leader sends to its followers.

    Like `ServersKnown`, it is kept in memory for the case that the follower
    becomes the leader.

    Attributes:
      suspects: Evidence by request digest.
      breaks: Broken connections that are not judged yet.
    """

    suspects: tuple[KnownSuspect, ...] = ()
    breaks: tuple[KnownBreak, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredSamples:
    """Packed samples of one version in one group; see `version_samples`.

    Attributes:
      service: Service.
      route: Route.
      data_centre: Data centre of the backend servers.
      version: Version.
      level: Load level of latencies; -1 for the samples of all loads.
      blob: Packed samples, oldest first.
    """

    service: str
    route: str
    data_centre: str
    version: str
    level: int
    blob: bytes


@MESSAGES.register("version_evidence")
@dataclasses.dataclass(frozen=True, slots=True)
class VersionEvidence:
    """Samples of versions that the leader sends during a rollout.

    Like `ServersKnown`, it is kept in memory for the case that the follower
    becomes the leader.

    Attributes:
      sent_ms: Time of sending on the leader's clock, to which the times of the
        samples relate.
      samples: Samples of both versions.
      first_ms: Time of the first sample since the last start, by server.
    """

    sent_ms: int
    samples: tuple[StoredSamples, ...] = ()
    first_ms: tuple[tuple[str, int], ...] = ()


@MESSAGES.register("join")
@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Request of a controller without a vote to become a voting member.

    See `operations.membership`.

    Attributes:
      node_id: Node id of the controller.
    """

    node_id: str


@MESSAGES.register("join_noted")
@dataclasses.dataclass(frozen=True, slots=True)
class JoinNoted:
    """Answer to `Join`.

    Attributes:
      leader: Addresses of the leader, which alone can accept the request; None
        if the answering controller knows no leader.
    """

    leader: data.Peer | None


@MESSAGES.register("vote_request")
@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote.

    Attributes:
      term: Term in which the candidate would lead.
      last_index: Index of the candidate's last entry.
      last_term: Term of the candidate's last entry.
      pre_vote: Whether it is a pre-vote, which changes no state at the voter.
      members: Members of a group that holds its first election, otherwise
        empty.
      disks: Disk ids with which `members` may vote, in the same order; empty
        while the candidate still collects them.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    members: tuple[str, ...] = ()
    disks: tuple[str, ...] = ()


@MESSAGES.register("vote_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a vote request.

    Attributes:
      term: Voter's term.
      granted: Whether the vote was given.
      pre_vote: Whether the request was a pre-vote.
      disk: Disk id of the voter.
    """

    term: int
    granted: bool
    pre_vote: bool
    disk: str = ""


@MESSAGES.register("append")
@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Entries from the leader, or a heartbeat if there are none.

    Attributes:
      term: Leader's term.
      previous_index: Index of the entry before `entries`.
      previous_term: Term of that entry.
      entries: Entries to add.
      commit: Leader's commit index.
      round: Number of the heartbeat round, repeated in the reply, so that the
        leader's lease counts from the time at which the leader sent it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[data.LogEntry, ...]
    commit: int
    round: int


@MESSAGES.register("append_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to `Append` or `InstallSnapshot`.

    Attributes:
      term: Follower's term.
      success: Whether the entries were stored and synced.
      match: If successful, last index up to which the log is known to equal the
        leader's; otherwise an index from which the leader may continue.
      round: Round of the request.
      disk: Disk id of the follower.
    """

    term: int
    success: bool
    match: int
    round: int
    disk: str = ""


@MESSAGES.register("install_snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Whole snapshot for a follower that lacks entries no longer in the log."""

    term: int
    snapshot: data.Snapshot
    round: int


@MESSAGES.register("frame_part")
@dataclasses.dataclass(frozen=True, slots=True)
class FramePart:
    """Part of a message that exceeds the maximum size of a frame.

    Attributes:
      frame: Number of the divided frame, assigned by its sender.
      part: Position of the part, from 0.
      parts: Number of parts.
      blob: Bytes of the part.
    """

    frame: int
    part: int
    parts: int
    blob: bytes
