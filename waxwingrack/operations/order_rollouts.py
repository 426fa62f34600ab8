"""Rollouts of services whose engines load versions by engine orders.

The end of a rollout as done moves all traffic to the new version at once. This
move waits, until the deadline at most, for enough engines that announce the new
version.
"""

from collections.abc import Iterable

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import orders


def find_obstacle(
    state: data.ReplicatedState,
    engines: Iterable[orders.Engine],
    move: commands.MoveRollout,
    elapsed_s: float,
) -> str:
    """Returns why a rollout has to wait for engines before a move.

    Args:
      state: Replicated state.
      engines: Announced engines that are not departing; none while they are not
        all known.
      move: Move that the judges decided on.
      elapsed_s: Time since the last checkpoint in the state, in seconds.

    Returns:
      The reason, or "" if the move may be made. Only the end as done waits; a
      roll-back never does, nor does any move after the deadline.
    """
    plan = state.rollouts[move.rollout].plan
    settings = {
        service.id: service.orders for service in state.environment.services
    }.get(plan.service)
    if settings is None or move.phase is not data.RolloutPhase.DONE:
        return ""
    if state.rollouts[move.rollout].elapsed_s + elapsed_s >= plan.deadline_s:
        return ""
    slots = [
        (engine.version, engine.slots)
        for engine in engines
        if engine.service == plan.service
    ]
    if not slots:
        return f"no engine of {plan.service} is known"
    ready_slots = sum(
        count for version, count in slots if version == plan.version
    )
    min_slots = settings.min_serving_share * sum(count for _, count in slots)
    if ready_slots >= min_slots:
        return ""
    return (
        f"{ready_slots} of at least {min_slots:g} slots announce {plan.version}"
    )
