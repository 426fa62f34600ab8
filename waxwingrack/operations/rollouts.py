"""Version moves of services.

This first version divides the traffic and never moves a rollout.
"""

from collections.abc import Iterable
import dataclasses

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data


@dataclasses.dataclass(frozen=True, slots=True)
class Stats:
    """Samples that the judges need."""


def observe(stats: Stats, samples: Iterable[data.Sample]) -> Stats:
    """Adds samples to the statistics."""
    del samples
    return stats


def tick(
    state: data.ReplicatedState, stats: Stats, elapsed_s: float, now_ms: int
) -> tuple[commands.MoveRollout, ...]:
    """Decides about unfinished rollouts; moves none."""
    del state, stats, elapsed_s, now_ms
    return ()


def shares(state: data.ReplicatedState) -> immutables.Map:
    """Divides the traffic of every service between its versions.

    Args:
      state: Replicated state.

    Returns:
      `data.VersionShare` by service id.
    """
    moving = {
        rollout.plan.service: data.VersionShare(
            rollout.old_version, rollout.plan.version, rollout.share
        )
        for rollout in state.rollouts.values()
        if rollout.phase
        not in (data.RolloutPhase.DONE, data.RolloutPhase.TAKEN_BACK)
    }
    settled = {
        service: data.VersionShare(version)
        for service, version in state.versions.items()
    }
    return immutables.Map(settled | moving)
