"""Data classes of engine orders: inputs, call states and decisions."""

import dataclasses
import enum

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data

# Pause after a failed call. It limits the calls and log entries that an
# unreachable engine costs.
RETRY_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """A model engine by its latest announcement.

    Attributes:
      server_id: Backend server id.
      incarnation: Incarnation.
      address: Address at which it takes orders.
      service: Service.
      version: Announced version.
      slots: Announced slots.
      in_use: Number of requests that run on it.
      checks_fencing: Whether it refuses old fencing numbers.
      placeable: Whether it may get new requests, regardless of its version.
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
    """Kind of call that is under way for an engine."""

    NONE = "none"
    PROPOSAL = "proposal"
    SEND = "send"
    READ = "read"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCallState:
    """What a leader knows about its calls to one engine.

    Attributes:
      incarnation: Announced incarnation to which the other attributes apply.
      version: Announced version.
      call: Kind of call under way.
      token: Number of that call; results of other calls are ignored.
      pending_version: Version of the order that is being recorded, or empty.
      was_read_back: Whether the engine was read back since its state was last
        uncertain.
      retry_ms: Time before which no call is repeated.
      sent_fencing: Highest fencing number sent by this leader to any
        incarnation.
      lost_fencing: Fencing number of an order that was probably lost, to an
        engine that refuses old numbers.
      order_fencing: Fencing number of the order to which `first_seen_ms`
        applies.
      first_seen_ms: Time at which this leader first saw that order.
      seen_fencing: Highest fencing number that the engine has shown.
      closed_fencing: Fencing number of an order whose connection is known to
        have been reset or never made.
      closed_ms: Time at which that became known.
      conclusive_fencing: Fencing number of an order that the read-back under
        way shows if the order can take effect at all; 0 if there is none.
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
    """Call states of all engines in one period of leadership.

    Attributes:
      rows: `EngineCallState` by server id.
      next_token: Number of the next call.
    """

    rows: immutables.Map = immutables.Map()
    next_token: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class OrderInputs:
    """Inputs of `orders.decide`.

    Attributes:
      state: Replicated state.
      engines: Announced engines that are not departing.
      issuer: Unique id of this period of leadership.
      controller: Node id of the leader.
      ended_controllers: Node ids of controllers that have ended all calls of
        their earlier periods of leadership.
    """

    state: data.ReplicatedState
    engines: tuple[Engine, ...]
    issuer: str
    controller: str = ""
    ended_controllers: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Issue:
    """Decision to record an order in the replicated log."""

    command: commands.IssueOrder
    token: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Decision to send a recorded order to its engine, once."""

    order: data.EngineOrder
    address: data.Address
    timeout_s: float
    token: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBack:
    """Decision to ask an engine which orders it has applied."""

    server_id: str
    address: data.Address
    timeout_s: float
    token: int
    reason: str


Decision = Issue | Send | ReadBack


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Result of `orders.decide`.

    Attributes:
      call_states: Call states with the decisions under way.
      decisions: Calls and proposals to start now.
      withheld: Reason for which a wanted order is withheld, by service.
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
    """Orders that an engine reports as seen and applied.

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
    """Result of a call to an engine.

    Attributes:
      kind: How it ended.
      reason: Text for the log.
      readout: The engine's answer, if it could be parsed.
    """

    kind: ReplyKind
    reason: str
    readout: Readout | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Call states after a call, and the order result to record, if any."""

    call_states: EngineCallStates
    command: commands.RecordOrder | None = None
