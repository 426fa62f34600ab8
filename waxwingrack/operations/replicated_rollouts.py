"""Rollouts in the replicated state."""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes
from waxwingrack.operations import rollouts as rollouts_module

# Finished rollouts kept; more are kept only while the document declares them,
# as a declared rollout that is unknown would start again.
MAX_FINISHED = 1_024

Phase = data.RolloutPhase
Refused = replicated_outcomes.ChangeRefusal

# A rollout moves forward only. An old leader's move that is committed late
# must not undo a later one.
_ORDER = {
    Phase.TRIAL: 0,
    Phase.RAMPING: 1,
    Phase.WATCHING: 2,
    Phase.DONE: 3,
    Phase.TAKEN_BACK: 3,
}
_FINISHED = (Phase.DONE, Phase.TAKEN_BACK)


def unfinished_by_service(
    state: data.ReplicatedState,
) -> dict[str, data.Rollout]:
    """Returns the unfinished rollouts by service id."""
    rollouts = (state.rollouts[item] for item in state.rollout_order)
    return {
        rollout.plan.service: rollout
        for rollout in rollouts
        if rollout.phase not in _FINISHED
    }


def abandoned_versions(state: data.ReplicatedState, service: str) -> set[str]:
    """Returns the versions that rollouts of a service have moved away from."""
    rollouts = (state.rollouts[item] for item in state.rollout_order)
    return {
        rollout.old_version
        if rollout.phase is Phase.DONE
        else rollout.plan.version
        for rollout in rollouts
        if rollout.plan.service == service and rollout.phase in _FINISHED
    }


def start_plan(
    state: data.ReplicatedState, plan: data.RolloutPlan
) -> data.ReplicatedState | Refused:
    """Starts a rollout, or says why it cannot start."""
    services = state.environment.services if state.environment else ()
    if plan.service not in {service.id for service in services}:
        return Refused(f"no service {plan.service!r}")
    if plan.id in state.rollouts:
        return Refused(f"rollout {plan.id!r} exists")
    running = unfinished_by_service(state).get(plan.service)
    if running is not None:
        return Refused(
            f"rollout {running.plan.id!r} of {plan.service!r} is unfinished"
        )
    old_version = state.versions[plan.service]
    if old_version == plan.version:
        return Refused(f"{plan.version!r} has the traffic already")
    share = rollouts_module.TRIAL_SHARE
    return _add(state, data.Rollout(plan, old_version, Phase.TRIAL, share))


def record_finished(
    state: data.ReplicatedState, plan: data.RolloutPlan
) -> data.ReplicatedState:
    """Adds a declared rollout whose version has the traffic already."""
    reason = "the version had the traffic already"
    return _add(
        state,
        data.Rollout(plan, "", Phase.DONE, 1.0, reason=reason),
    )


def start_rollout(
    state: data.ReplicatedState, command: commands.StartRollout
) -> data.ReplicatedState | Refused:
    """Starts a rollout on an operator's order."""
    started = start_plan(state, command.plan)
    return (
        started
        if isinstance(started, Refused)
        else drop_oldest_finished(started)
    )


def roll_back_rollout(
    state: data.ReplicatedState, command: commands.TakeBackRollout
) -> data.ReplicatedState | Refused:
    """Takes an unfinished rollout back on an operator's order."""
    rollout = state.rollouts.get(command.rollout)
    if rollout is None:
        return Refused(f"no rollout {command.rollout!r}")
    if rollout.phase in _FINISHED:
        return Refused(f"rollout {command.rollout!r} is {rollout.phase}")
    reason = f"taken back by {command.operator}"
    return _move(state, rollout, Phase.TAKEN_BACK, 0.0, reason)


def move_rollout(
    state: data.ReplicatedState, command: commands.MoveRollout
) -> replicated_outcomes.CommandResult:
    """Moves an unfinished rollout on the leader's decision."""
    rollout = state.rollouts.get(command.rollout)
    if (
        rollout is not None
        and rollout.phase not in _FINISHED
        and _ORDER[command.phase] >= _ORDER[rollout.phase]
    ):
        state = _move(
            state, rollout, command.phase, command.share, command.reason
        )
    return replicated_outcomes.CommandResult(state, None)


def roll_back_removed_services(
    state: data.ReplicatedState, services: set[str]
) -> data.ReplicatedState:
    """Takes back the unfinished rollouts of services that are gone."""
    for service, rollout in unfinished_by_service(state).items():
        if service not in services:
            reason = "the service was removed"
            state = _move(state, rollout, Phase.TAKEN_BACK, 0.0, reason)
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


def drop_oldest_finished(state: data.ReplicatedState) -> data.ReplicatedState:
    """Drops the oldest finished rollouts beyond the bound."""
    declared = {plan.id for plan in state.environment.rollouts}
    surplus = len(state.rollout_order) - MAX_FINISHED
    droppable = [
        item
        for item in state.rollout_order
        if item not in declared and state.rollouts[item].phase in _FINISHED
    ]
    dropped = set(droppable[: max(0, surplus)])
    rollouts = state.rollouts
    for item in dropped:
        rollouts = rollouts.delete(item)
    order = tuple(i for i in state.rollout_order if i not in dropped)
    return dataclasses.replace(state, rollouts=rollouts, rollout_order=order)


def _add(
    state: data.ReplicatedState, rollout: data.Rollout
) -> data.ReplicatedState:
    return dataclasses.replace(
        state,
        rollouts=state.rollouts.set(rollout.plan.id, rollout),
        rollout_order=(*state.rollout_order, rollout.plan.id),
    )


def _move(
    state: data.ReplicatedState,
    rollout: data.Rollout,
    phase: data.RolloutPhase,
    share: float,
    reason: str,
) -> data.ReplicatedState:
    shares = {Phase.DONE: 1.0, Phase.TAKEN_BACK: 0.0}
    moved = dataclasses.replace(
        rollout,
        phase=phase,
        share=shares.get(phase, min(1.0, max(0.0, share))),
        # Each step of the share has its own shortest time.
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
