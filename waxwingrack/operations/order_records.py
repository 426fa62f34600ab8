"""Records of the orders to model engines: inputs, memory and decisions."""

import dataclasses
import enum

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data

# Pause after a failed call, so that an engine that cannot be reached costs few
# log entries and calls.
RETRY_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """A model engine as it announces itself now.

    Attributes:
      server_id: Backend server id.
      incarnation: Incarnation.
      address: Where it takes orders.
      service: Service.
      version: Announced version.
      slots: Announced slots.
      in_use: Requests running on it.
      checks_fencing: Whether it refuses old fencing numbers.
      placeable: Whether it may get new work, its version apart.
    """

    server_id: str
    incarnation: str
    address: data.Address
    service: str
    version: str
    slots: int
    in_use: int = 0
    checks_fencing: bool = False
    placeable: bool = True


class CallKind(enum.StrEnum):
    """What is under way for an engine."""

    NONE = "none"
    PROPOSAL = "proposal"
    SEND = "send"
    READ = "read"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCallState:
    """What a leader remembers of an engine.

    Attributes:
      incarnation: Announced incarnation that the other attributes are about.
      version: Announced version.
      call: What is under way.
      token: Number of that call; answers to other calls are stale.
      pending: Version of the order that is being recorded, or empty.
      read: Whether the engine was read back since anything was uncertain.
      retry_ms: Time before which nothing is tried again.
      sent: Highest fencing number sent by this leader, to any incarnation.
      lost: Fencing number of an order that was probably lost, to an engine
        that refuses old numbers.
      fencing: Fencing number that `since_ms` belongs to.
      since_ms: Time at which this leader first saw that order.
      seen_fencing: Highest fencing number that the engine has shown.
      closed: Fencing number of an order whose connection is known to have been
        reset, or was never made.
      closed_ms: Time since when that is known.
      conclusive: Fencing number of an order that the read-back under way shows
        if it can still take effect.
    """

    incarnation: str
    version: str = ""
    call: CallKind = CallKind.NONE
    token: int = 0
    pending_version: str = ""
    was_read_back: bool = False
    retry_ms: int = 0
    sent_fencing: int = 0
    lost_fencing: int = 0
    order_fencing: int = 0
    first_seen_ms: int = 0
    seen_fencing: int = 0
    closed_fencing: int = 0
    closed_ms: int = 0
    conclusive_fencing: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCallStates:
    """Memory of one period of leadership.

    Attributes:
      rows: `Contact` by server id.
      next_token: Number of the next call.
    """

    rows: immutables.Map = immutables.Map()
    next_token: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class OrderInputs:
    """What decisions are made from.

    Attributes:
      state: Replicated state.
      engines: Announced engines that stay.
      issuer: This period of leadership, unique among all.
      controller: Node id of the leader.
      ended: Node ids of controllers that have ended all calls of their earlier
        periods of leadership.
    """

    state: data.ReplicatedState
    engines: tuple[Engine, ...]
    issuer: str
    controller: str = ""
    ended_controllers: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class IssueDecision:
    """Decision to record an order in the replicated log."""

    command: commands.IssueOrder
    token: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendDecision:
    """Decision to send a recorded order to its engine, once."""

    order: data.EngineOrder
    address: data.Address
    timeout_s: float
    token: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBackDecision:
    """Decision to ask an engine for the orders that it has applied."""

    server_id: str
    address: data.Address
    timeout_s: float
    token: int
    reason: str


Decision = IssueDecision | SendDecision | ReadBackDecision


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Result of `decide`.

    Attributes:
      call_states: Memory with the decisions under way.
      decisions: What to do now.
      withheld: Why wanted orders were not decided on, by service.
    """

    call_states: EngineCallStates
    decisions: tuple[Decision, ...]
    withheld: immutables.Map


class ReplyKind(enum.StrEnum):
    """How a call to an engine ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Readout:
    """An engine's own account of its orders.

    Attributes:
      incarnation: Its incarnation.
      fencing: Highest fencing number that it has seen.
      applied: Fencing numbers of the orders that it has applied.
    """

    incarnation: str
    fencing: int
    applied: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """End of a call to an engine.

    Attributes:
      kind: How it ended.
      reason: Text for the log.
      readout: What the engine answered, if it could be read.
    """

    kind: ReplyKind
    reason: str
    readout: Readout | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Memory after the end of a call, and the result to record, if any."""

    call_states: EngineCallStates
    command: commands.RecordOrder | None = None
