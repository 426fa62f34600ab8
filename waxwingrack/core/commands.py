"""Commands of the replicated log.

The state machine in `operations.replicated` applies them in log order.
"""

import dataclasses

from waxwingrack.core import codec
from waxwingrack.core import data
from waxwingrack.core import registry

COMMANDS: registry.Registry[str, type] = registry.Registry("command")
CODEC = codec.Codec(COMMANDS)


@COMMANDS.register("apply_environment")
@dataclasses.dataclass(frozen=True, slots=True)
class ApplyEnvironment:
    """Replaces the environment document.

    Attributes:
      operation: Operation id; a repetition with the same id gets the outcome of
        the first command.
      operator: Name of the operator.
      expected: Environment number that the operator saw.
      environment: New document.
    """

    operation: str
    operator: str
    expected: int
    environment: data.Environment


@COMMANDS.register("replace_environment")
@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceEnvironment:
    """Replaces the environment by one of a higher revision.

    Attributes:
      operator: Name of the operator.
      environment: New document.
    """

    operator: str
    environment: data.Environment


@COMMANDS.register("set_data_centre")
@dataclasses.dataclass(frozen=True, slots=True)
class SetDataCentre:
    """Drains or restores a data centre.

    Attributes:
      operation: Operation id.
      operator: Name of the operator.
      expected: Environment number that the operator saw; None accepts any.
      data_centre: Data centre.
      state: New state.
    """

    operation: str
    operator: str
    expected: int | None
    data_centre: str
    state: data.DataCentreState


@COMMANDS.register("start_rollout")
@dataclasses.dataclass(frozen=True, slots=True)
class StartRollout:
    """Starts a rollout."""

    operation: str
    operator: str
    expected: int | None
    plan: data.RolloutPlan


@COMMANDS.register("take_back_rollout")
@dataclasses.dataclass(frozen=True, slots=True)
class TakeBackRollout:
    """Rolls back an unfinished rollout on an operator's command."""

    operation: str
    operator: str
    expected: int | None
    rollout: str


@COMMANDS.register("move_rollout")
@dataclasses.dataclass(frozen=True, slots=True)
class MoveRollout:
    """Moves a rollout to another phase or share, decided by the leader.

    Attributes:
      rollout: Id of the rollout.
      phase: New phase.
      share: New share of the traffic for the new version, from 0 to 1.
      reason: Reason for the move.
    """

    rollout: str
    phase: data.RolloutPhase
    share: float
    reason: str


@COMMANDS.register("claim_key")
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Records an idempotency key before dispatch.

    Attributes:
      workspace: Workspace of the caller.
      key: Idempotency key.
      digest: Digest of the request.
      owner: Router incarnation that dispatches the request.
    """

    workspace: str
    key: str
    digest: str
    owner: str


@COMMANDS.register("record_key_outcome")
@dataclasses.dataclass(frozen=True, slots=True)
class RecordKeyOutcome:
    """Records the outcome of a claimed request.

    Attributes:
      workspace: Workspace of the caller.
      key: Idempotency key.
      owner: Router incarnation that claimed the key.
      answer: Whole answer; None if the outcome is unknown.
    """

    workspace: str
    key: str
    owner: str
    answer: data.StoredAnswer | None


@COMMANDS.register("release_key")
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Removes the claim of a key whose request was not dispatched."""

    workspace: str
    key: str
    owner: str


@COMMANDS.register("refuse_digest")
@dataclasses.dataclass(frozen=True, slots=True)
class RefuseDigest:
    """Refuses all later requests with a digest that crashes servers.

    Attributes:
      digest: Request digest, or prompt part; see `operations.crashes`.
    """

    digest: str


@COMMANDS.register("release_digest")
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseDigest:
    """Ends the refusal of a digest or a prompt part.

    Attributes:
      digest: Request digest, or prompt part.
    """

    digest: str


@COMMANDS.register("checkpoint")
@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """Saves the leader's counters and advances the leader-counted clock.

    Attributes:
      seconds: Time since the last checkpoint or since the election.
      counters: Fairness counters that changed.
      routers: Incarnations of the routers connected to the leader.
      exposures: Requests granted during unfinished rollouts.
    """

    seconds: float
    counters: tuple[data.CounterRow, ...]
    routers: tuple[str, ...]
    exposures: tuple[data.ExposureRow, ...] = ()


@COMMANDS.register("note_routers")
@dataclasses.dataclass(frozen=True, slots=True)
class NoteRouters:
    """Records routers that connected, were lost, reconnected or left.

    Attributes:
      rows: New or changed records of routers.
      left: Node ids of routers whose records are removed.
    """

    rows: tuple[data.KnownRouter, ...]
    left: tuple[str, ...]


@COMMANDS.register("note_departures")
@dataclasses.dataclass(frozen=True, slots=True)
class NoteDepartures:
    """Records backend servers that leave, before that is acknowledged.

    Attributes:
      servers: Server id and incarnation of each.
    """

    servers: tuple[tuple[str, str], ...]


@COMMANDS.register("acquire_duty")
@dataclasses.dataclass(frozen=True, slots=True)
class AcquireDuty:
    """Acquires a duty; the state machine gives it the next fencing token.

    Attributes:
      duty: The duty.
      node_id: Node id of the controller.
      name: Name of the controller at the provider.
      issuer: Period of leadership that acquires the duty.
    """

    duty: data.Duty
    node_id: str
    name: str
    issuer: str


@COMMANDS.register("record_usage")
@dataclasses.dataclass(frozen=True, slots=True)
class RecordUsage:
    """Records the final counts of a usage window before they are sent.

    Attributes:
      window: Number of the window.
      counts: Counts by workspace, sorted by workspace.
      token: Fencing token of the duty; a command with an older one has no
        effect.
    """

    window: int
    counts: tuple[data.UsageCount, ...]
    token: int


@COMMANDS.register("accept_usage")
@dataclasses.dataclass(frozen=True, slots=True)
class AcceptUsage:
    """Marks a recorded usage window as accepted by the provider.

    Attributes:
      window: Number of the window.
    """

    window: int


@COMMANDS.register("set_controller")
@dataclasses.dataclass(frozen=True, slots=True)
class SetController:
    """Records the addresses of a controller that a repair adds.

    It raises the environment number, so that routers learn the addresses.
    """

    controller: data.Peer


@COMMANDS.register("forget_controller")
@dataclasses.dataclass(frozen=True, slots=True)
class ForgetController:
    """Removes the recorded addresses of a controller that was replaced."""

    controller: str


@COMMANDS.register("issue_order")
@dataclasses.dataclass(frozen=True, slots=True)
class IssueOrder:
    """Records an order to a model engine before it is sent.

    The state machine gives it the next fencing number.

    Attributes:
      service: Service of the engine.
      server_id: Backend server id of the engine.
      incarnation: Incarnation of the engine.
      version: Version to load.
      checks_fencing: Whether the engine refuses old fencing numbers.
      issuer: Period of leadership that sends the order.
      seen_fencing: Highest fencing number that the engine has shown.
      controller: Node id of the controller that sends the order.
    """

    service: str
    server_id: str
    incarnation: str
    version: str
    checks_fencing: bool
    issuer: str
    seen_fencing: int = 0
    controller: str = ""


@COMMANDS.register("record_order")
@dataclasses.dataclass(frozen=True, slots=True)
class RecordOrder:
    """Records the result of an order.

    Attributes:
      server_id: Backend server id of the engine.
      fencing: Fencing number of the order.
      state: Final state of the order.
      reason: How the result became known.
      seen_fencing: Highest fencing number that the engine has shown.
    """

    server_id: str
    fencing: int
    state: data.OrderState
    reason: str
    seen_fencing: int = 0


@COMMANDS.register("clear_order")
@dataclasses.dataclass(frozen=True, slots=True)
class ClearOrder:
    """Ends an outstanding order that an operator declares settled.

    Attributes:
      operation: Operation id.
      operator: Name of the operator.
      expected: Environment number that the operator saw; None accepts any.
      server_id: Backend server id of the engine.
      fencing: Fencing number of the order.
    """

    operation: str
    operator: str
    expected: int | None
    server_id: str
    fencing: int
