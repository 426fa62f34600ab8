"""Start, progress and end of rollouts in the replicated state."""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes
from waxwingrack.operations import rollouts as rollouts_module

# Finished rollouts that are kept. More are kept only while the document
# declares them, because a declared rollout that is unknown would start again.
MAX_FINISHED_ROLLOUTS = 1_024

Phase = data.RolloutPhase
ChangeRefusal = replicated_outcomes.ChangeRefusal

# A rollout moves forward only: a command of a former leader that is committed
# late must not undo a later phase.
_PHASE_ORDER = {
    Phase.TRIAL: 0,
    Phase.RAMPING: 1,
    Phase.WATCHING: 2,
    Phase.DONE: 3,
    Phase.TAKEN_BACK: 3,
}
_FINISHED_PHASES = (Phase.DONE, Phase.TAKEN_BACK)


def unfinished_by_service(
    state: data.ReplicatedState,
) -> dict[str, data.Rollout]:
    """Returns the unfinished rollouts by service id."""
    rollouts = (
        state.rollouts[rollout_id] for rollout_id in state.rollout_order
    )
    return {
        rollout.plan.service: rollout
        for rollout in rollouts
        if rollout.phase not in _FINISHED_PHASES
    }


def abandoned_versions(state: data.ReplicatedState, service: str) -> set[str]:
    """Returns the versions that finished rollouts replaced or rolled back."""
    rollouts = (
        state.rollouts[rollout_id] for rollout_id in state.rollout_order
    )
    return {
        rollout.old_version
        if rollout.phase is Phase.DONE
        else rollout.plan.version
        for rollout in rollouts
        if rollout.plan.service == service and rollout.phase in _FINISHED_PHASES
    }


def start_plan(
    state: data.ReplicatedState, plan: data.RolloutPlan
) -> data.ReplicatedState | ChangeRefusal:
    """Starts a rollout, or returns why it cannot start."""
    services = state.environment.services if state.environment else ()
    if plan.service not in {service.id for service in services}:
        return ChangeRefusal(f"no service {plan.service!r}")
    if plan.id in state.rollouts:
        return ChangeRefusal(f"rollout {plan.id!r} exists")
    current = unfinished_by_service(state).get(plan.service)
    if current is not None:
        return ChangeRefusal(
            f"rollout {current.plan.id!r} of {plan.service!r} is unfinished"
        )
    old_version = state.versions[plan.service]
    if old_version == plan.version:
        return ChangeRefusal(f"{plan.version!r} has the traffic already")
    share = rollouts_module.TRIAL_SHARE
    return _add_rollout(
        state, data.Rollout(plan, old_version, Phase.TRIAL, share)
    )


def record_finished(
    state: data.ReplicatedState, plan: data.RolloutPlan
) -> data.ReplicatedState:
    """Adds a declared rollout to the current version as done."""
    reason = "the version had the traffic already"
    return _add_rollout(
        state,
        data.Rollout(plan, "", Phase.DONE, 1.0, reason=reason),
    )


def start_rollout(
    state: data.ReplicatedState, command: commands.StartRollout
) -> data.ReplicatedState | ChangeRefusal:
    """Starts a rollout at an operator's command."""
    start_result = start_plan(state, command.plan)
    return (
        start_result
        if isinstance(start_result, ChangeRefusal)
        else drop_oldest_finished(start_result)
    )


def roll_back_rollout(
    state: data.ReplicatedState, command: commands.TakeBackRollout
) -> data.ReplicatedState | ChangeRefusal:
    """Rolls back an unfinished rollout at an operator's command."""
    rollout = state.rollouts.get(command.rollout)
    if rollout is None:
        return ChangeRefusal(f"no rollout {command.rollout!r}")
    if rollout.phase in _FINISHED_PHASES:
        return ChangeRefusal(f"rollout {command.rollout!r} is {rollout.phase}")
    reason = f"taken back by {command.operator}"
    return _change_phase(state, rollout, Phase.TAKEN_BACK, 0.0, reason)


def move_rollout(
    state: data.ReplicatedState, command: commands.MoveRollout
) -> replicated_outcomes.CommandResult:
    """Applies a leader's decision to an unfinished rollout."""
    rollout = state.rollouts.get(command.rollout)
    if (
        rollout is not None
        and rollout.phase not in _FINISHED_PHASES
        and _PHASE_ORDER[command.phase] >= _PHASE_ORDER[rollout.phase]
    ):
        state = _change_phase(
            state, rollout, command.phase, command.share, command.reason
        )
    return replicated_outcomes.CommandResult(state, None)


def roll_back_removed_services(
    state: data.ReplicatedState, services: set[str]
) -> data.ReplicatedState:
    """Rolls back the unfinished rollouts of removed services."""
    for service, rollout in unfinished_by_service(state).items():
        if service not in services:
            reason = "the service was removed"
            state = _change_phase(state, rollout, Phase.TAKEN_BACK, 0.0, reason)
    return state


def advance_clock(
    state: data.ReplicatedState, seconds: float
) -> data.ReplicatedState:
    """Adds leader-counted time to the unfinished rollouts."""
    rollouts = state.rollouts
    for rollout in unfinished_by_service(state).values():
        later = dataclasses.replace(
            rollout,
            elapsed_s=rollout.elapsed_s + seconds,
            phase_elapsed_s=rollout.phase_elapsed_s + seconds,
        )
        rollouts = rollouts.set(rollout.plan.id, later)
    return dataclasses.replace(state, rollouts=rollouts)


def record_exposures(
    state: data.ReplicatedState, rows: tuple[data.ExposureRow, ...]
) -> data.ReplicatedState:
    """Stores the leader's counts of requests in unfinished rollouts.

    A count never falls: a checkpoint of a former leader may be committed late.
    """
    counted = {(row.service, row.version): row.exposure for row in rows}
    rollouts = state.rollouts
    for service, rollout in unfinished_by_service(state).items():
        exposure = counted.get((service, rollout.plan.version))
        if exposure is None:
            continue
        rollouts = rollouts.set(
            rollout.plan.id,
            dataclasses.replace(
                rollout,
                exposure=data.Exposure(
                    max(exposure.requests, rollout.exposure.requests),
                    max(exposure.to_candidate, rollout.exposure.to_candidate),
                ),
            ),
        )
    return dataclasses.replace(state, rollouts=rollouts)


def drop_oldest_finished(state: data.ReplicatedState) -> data.ReplicatedState:
    """Drops the oldest finished rollouts beyond MAX_FINISHED_ROLLOUTS."""
    declared = {plan.id for plan in state.environment.rollouts}
    excess = len(state.rollout_order) - MAX_FINISHED_ROLLOUTS
    droppable = [
        rollout_id
        for rollout_id in state.rollout_order
        if rollout_id not in declared
        and state.rollouts[rollout_id].phase in _FINISHED_PHASES
    ]
    dropped = set(droppable[: max(0, excess)])
    rollouts = state.rollouts
    for rollout_id in dropped:
        rollouts = rollouts.delete(rollout_id)
    order = tuple(
        kept_id for kept_id in state.rollout_order if kept_id not in dropped
    )
    return dataclasses.replace(state, rollouts=rollouts, rollout_order=order)


def _add_rollout(
    state: data.ReplicatedState, rollout: data.Rollout
) -> data.ReplicatedState:
    return dataclasses.replace(
        state,
        rollouts=state.rollouts.set(rollout.plan.id, rollout),
        rollout_order=(*state.rollout_order, rollout.plan.id),
    )


def _change_phase(
    state: data.ReplicatedState,
    rollout: data.Rollout,
    phase: data.RolloutPhase,
    share: float,
    reason: str,
) -> data.ReplicatedState:
    final_shares = {Phase.DONE: 1.0, Phase.TAKEN_BACK: 0.0}
    moved = dataclasses.replace(
        rollout,
        phase=phase,
        share=final_shares.get(phase, min(1.0, max(0.0, share))),
        # A minimum time applies to each step of the share.
        phase_elapsed_s=0.0,
        reason=reason,
    )
    versions = state.versions
    if phase is Phase.DONE:
        versions = versions.set(rollout.plan.service, rollout.plan.version)
    return dataclasses.replace(
        state,
        rollouts=state.rollouts.set(rollout.plan.id, moved),
        versions=versions,
    )
