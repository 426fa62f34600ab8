"""Replicated state machine that applies the commands of the log in order.

Every replica must reach the same state from the same commands, so the handlers
read no clock and no random numbers, and do not depend on hash table order.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import Any

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import registry
from waxwingrack.operations import departures
from waxwingrack.operations import known_routers
from waxwingrack.operations import replicated_controllers
from waxwingrack.operations import replicated_duties
from waxwingrack.operations import replicated_environment
from waxwingrack.operations import replicated_image
from waxwingrack.operations import replicated_keys
from waxwingrack.operations import replicated_orders
from waxwingrack.operations import replicated_outcomes
from waxwingrack.operations import replicated_rollouts

CommandResult = replicated_outcomes.CommandResult
KeyLookupResult = replicated_keys.KeyLookupResult

lookup_key = replicated_keys.lookup_key
encode = replicated_image.encode
decode = replicated_image.decode

Handler = Callable[[data.ReplicatedState, Any], CommandResult]
HANDLERS: registry.Registry[type, Handler] = registry.Registry("handler")

HANDLERS.register(commands.ApplyEnvironment)(
    replicated_outcomes.make_operator_handler(
        replicated_environment.apply_environment
    )
)
HANDLERS.register(commands.ReplaceEnvironment)(
    replicated_environment.replace_environment
)
HANDLERS.register(commands.SetDataCentre)(
    replicated_outcomes.make_operator_handler(
        replicated_environment.set_data_centre
    )
)
HANDLERS.register(commands.StartRollout)(
    replicated_outcomes.make_operator_handler(replicated_rollouts.start_rollout)
)
HANDLERS.register(commands.TakeBackRollout)(
    replicated_outcomes.make_operator_handler(
        replicated_rollouts.roll_back_rollout
    )
)
HANDLERS.register(commands.MoveRollout)(replicated_rollouts.move_rollout)
HANDLERS.register(commands.ClaimKey)(replicated_keys.claim_key)
HANDLERS.register(commands.RecordKeyOutcome)(replicated_keys.record_outcome)
HANDLERS.register(commands.ReleaseKey)(replicated_keys.release_key)
HANDLERS.register(commands.RefuseDigest)(replicated_environment.refuse_digest)
HANDLERS.register(commands.ReleaseDigest)(replicated_environment.release_digest)
HANDLERS.register(commands.NoteRouters)(known_routers.apply_note)
HANDLERS.register(commands.NoteDepartures)(departures.apply_note)
HANDLERS.register(commands.AcquireDuty)(replicated_duties.acquire_duty)
HANDLERS.register(commands.RecordUsage)(replicated_duties.record_usage)
HANDLERS.register(commands.AcceptUsage)(replicated_duties.accept_usage)
HANDLERS.register(commands.SetController)(replicated_controllers.set_controller)
HANDLERS.register(commands.ForgetController)(
    replicated_controllers.forget_controller
)
HANDLERS.register(commands.IssueOrder)(replicated_orders.issue_order)
HANDLERS.register(commands.RecordOrder)(replicated_orders.record_order)
HANDLERS.register(commands.ClearOrder)(
    replicated_outcomes.make_operator_handler(replicated_orders.clear_order)
)


def apply(state: data.ReplicatedState, command: Any) -> CommandResult:
    """Applies one command.

    Args:
      state: State before the command.
      command: Record of a type in `core.commands`.

    Returns:
      The new state and the outcome. For operators' commands the outcome is a
      `data.OperationOutcome`, for ReplaceEnvironment the revision in force.
      For key commands it is the `data.KeyRecord` if this command claimed the
      key, or if the record is ANSWERED or MAY_HAVE_RUN, and otherwise a
      `data.KeyState`; a claim is granted if and only if the outcome is a
      record whose state is CLAIMED. For orders it is the `data.EngineOrder`,
      or None if the command had no effect. For AcquireDuty it is the
      `data.DutyHolder`, for RecordUsage the `data.RecordedWindow` in force or
      None. It is None for all other commands.

    Raises:
      KeyError: The type of the command is unknown.
    """
    return HANDLERS[type(command)](state, command)


@HANDLERS.register(commands.Checkpoint)
def _checkpoint(
    state: data.ReplicatedState, command: commands.Checkpoint
) -> CommandResult:
    """Advances the leader-counted clock and stores the leader's tables."""
    seconds = command.seconds if math.isfinite(command.seconds) else 0.0
    seconds = max(0.0, seconds)
    counters = state.counters.update(
        {(row.service, row.workspace): row for row in command.counters}
    )
    state = dataclasses.replace(
        state,
        clock_s=state.clock_s + seconds,
        counters=counters,
        routers=frozenset(command.routers),
    )
    state = replicated_rollouts.advance_clock(state, seconds)
    state = replicated_rollouts.record_exposures(state, command.exposures)
    return CommandResult(replicated_keys.expire_records(state), None)
