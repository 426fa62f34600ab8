"""Rollouts of services whose engines load versions on orders.

A rollout that ends as done takes all traffic from the old version at once. It
waits, up to its deadline, until enough engines announce the new version.
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
    """Returns why a move of a rollout has to wait for engines.

    Args:
      state: Replicated state.
      engines: Announced engines that stay; none while they are not all known.
      move: Move that the judges decided on.
      elapsed_s: Time since the last checkpoint in the state, in seconds.

    Returns:
      The reason, or "" if the move may be made. Only the end as done waits;
      taking back and the deadline never do.
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
    ready = sum(count for version, count in slots if version == plan.version)
    least = settings.min_serving_share * sum(count for _, count in slots)
    if ready >= least:
        return ""
    return f"{ready} of at least {least:g} slots announce {plan.version}"
