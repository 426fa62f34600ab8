"""Version moves: shares, phases, deadline and outcome.

A rollout starts with a small share, raises it step by step, watches the new
version at nearly full share and ends as done or taken back. Each tick judges
the new version first, so a fault ends the rollout at once in every phase.
"""

import dataclasses

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import version_judges
from waxwingrack.operations import version_samples

Stats = version_samples.Stats
observe = version_samples.observe

TRIAL_SHARE = 0.05
# Shares after the trial.
STEPS = (0.1, 0.25, 0.5, 0.75)
# Share of the watch period. The rest stays on old servers while there are any,
# so that the judges have samples of the same period.
WATCH_SHARE = 0.9
# Successful samples in a phase that allow the next step before its latest time.
MIN_TRIAL_SAMPLES = 20
MIN_STEP_SAMPLES = 20
# Parts of the time before the watch period. The shortest times use most of it,
# so that a fault that appears late or under load shows at a small share; the
# longest times apply when there are too few samples.
MIN_TRIAL_PART = 0.15
MAX_TRIAL_PART = 0.4
MIN_STEP_PART = 0.1
MAX_STEP_PART = 0.125

# Part of the time until the deadline that is left to the watch period.
WATCH_PART = 0.2

_UNFINISHED = frozenset(
    (
        data.RolloutPhase.TRIAL,
        data.RolloutPhase.RAMPING,
        data.RolloutPhase.WATCHING,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Clock:
    """Position of a rollout in its schedule, in seconds."""

    elapsed_s: float
    phase_elapsed_s: float
    move_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Good:
    """Good answers of the new version in the phase.

    Attributes:
      answers: All of them.
      warm: Those whose latency the judges can compare.
    """

    answers: int
    warm: int


def unfinished(rollout: data.Rollout) -> bool:
    """Tells whether a rollout is under way."""
    return rollout.phase in _UNFINISHED


def plan_by_deadline(
    state: data.ReplicatedState, service: str, version: str, deadline_s: float
) -> data.RolloutPlan:
    """Plans a rollout of which only the end is given.

    Args:
      state: Replicated state.
      service: Service.
      version: Version to move to.
      deadline_s: Time until it must be done or taken back, in seconds.
    """
    return data.RolloutPlan(
        id=f"{service}-{version}-{state.number + 1}",
        service=service,
        version=version,
        deadline_s=deadline_s,
        watch_s=WATCH_PART * deadline_s,
    )


def latest(state: data.ReplicatedState, service: str) -> data.Rollout | None:
    """Returns the last rollout of a service, or None."""
    found = (state.rollouts[name] for name in reversed(state.rollout_order))
    return next((row for row in found if row.plan.service == service), None)


def served_as(state: data.ReplicatedState, service: str, version: str) -> str:
    """Returns the version as which a backend server is scheduled.

    The document may leave the version of a service open. All versions then
    serve alike, except those that a rollout is still to judge or has taken
    back.

    Args:
      state: Replicated state.
      service: Service of the server.
      version: Version that the server announces.
    """
    declared = state.environment.services if state.environment else ()
    if any(row.id == service and row.version for row in declared):
        return version
    judged = (
        row.plan.version
        for row in state.rollouts.values()
        if row.plan.service == service
        and row.phase is not data.RolloutPhase.DONE
    )
    if version in judged:
        return version
    return state.versions.get(service, "")


def shares(state: data.ReplicatedState) -> immutables.Map:
    """Divides the traffic of every service between versions.

    Args:
      state: Replicated state.

    Returns:
      `data.VersionShare` by service id.
    """
    if state.environment is None:
        return immutables.Map()
    current = {
        service.id: data.VersionShare(
            state.versions.get(service.id, service.version)
        )
        for service in state.environment.services
    }
    moving = {
        rollout.plan.service: data.VersionShare(
            rollout.old_version,
            rollout.plan.version,
            rollout.share,
            overflow=rollout.phase is data.RolloutPhase.WATCHING,
        )
        for rollout in state.rollouts.values()
        if unfinished(rollout) and rollout.plan.service in current
    }
    return immutables.Map(current | moving)


def tick(
    state: data.ReplicatedState,
    stats: version_samples.Stats,
    elapsed_s: float,
    now_ms: int,
) -> tuple[commands.MoveRollout, ...]:
    """Decides about every unfinished rollout.

    Args:
      state: Replicated state.
      stats: Samples of all versions.
      elapsed_s: Time since the last checkpoint in the state, in seconds.
      now_ms: Leader's monotonic clock.

    Returns:
      At most one move per rollout.
    """
    moves = (
        _decide(rollout, stats, elapsed_s, now_ms)
        for rollout in state.rollouts.values()
        if unfinished(rollout)
    )
    return tuple(move for move in moves if move is not None)


def _decide(
    rollout: data.Rollout,
    stats: version_samples.Stats,
    elapsed_s: float,
    now_ms: int,
) -> commands.MoveRollout | None:
    plan = rollout.plan
    clock = _Clock(
        elapsed_s=rollout.elapsed_s + elapsed_s,
        phase_elapsed_s=rollout.phase_elapsed_s + elapsed_s,
        move_s=max(plan.deadline_s - plan.watch_s, 0.0),
    )
    new = version_samples.of_version(stats, plan.service, plan.version)
    old = version_samples.of_version(stats, plan.service, rollout.old_version)
    fault = version_judges.judge(
        version_judges.Comparison(
            new,
            old,
            version_samples.warm_of_version(stats, plan.service, plan.version),
            version_samples.warm_of_version(
                stats, plan.service, rollout.old_version
            ),
        )
    )
    if fault:
        return _take_back(rollout, fault)
    start_ms = now_ms - int(clock.phase_elapsed_s * 1000)
    good = _Good(
        answers=_count_since(new, start_ms, warm=False),
        warm=_count_since(new, start_ms, warm=True),
    )
    if clock.elapsed_s >= plan.deadline_s:
        return _at_deadline(rollout, clock, good)
    return _PHASE_DECISIONS[rollout.phase](rollout, clock, good)


def _count_since(new: version_judges.Samples, start_ms: int, warm: bool) -> int:
    return sum(
        ended.latency_ms is not None if warm else not ended.failed
        for all_ended in new.values()
        for ended in version_samples.since(all_ended, start_ms)
    )


def _move(
    rollout: data.Rollout, phase: data.RolloutPhase, share: float, reason: str
) -> commands.MoveRollout:
    return commands.MoveRollout(rollout.plan.id, phase, share, reason)


def _take_back(rollout: data.Rollout, reason: str) -> commands.MoveRollout:
    return _move(rollout, data.RolloutPhase.TAKEN_BACK, 0.0, reason)


def _at_deadline(
    rollout: data.Rollout, clock: _Clock, good: _Good
) -> commands.MoveRollout:
    watched = clock.phase_elapsed_s >= rollout.plan.watch_s
    if rollout.phase is data.RolloutPhase.WATCHING and watched and good.answers:
        return _move(
            rollout, data.RolloutPhase.DONE, 1.0, "deadline, no fault seen"
        )
    return _take_back(rollout, f"deadline reached while {rollout.phase.value}")


def _may_advance(
    clock: _Clock, good: _Good, min_samples: int, parts: tuple[float, float]
) -> bool:
    shortest_s, longest_s = (clock.move_s * part for part in parts)
    # Without warm samples a slow version could pass the trial unjudged.
    enough = good.warm >= min_samples and clock.phase_elapsed_s >= shortest_s
    return enough or (good.answers > 0 and clock.phase_elapsed_s >= longest_s)


def _decide_trial(
    rollout: data.Rollout, clock: _Clock, good: _Good
) -> commands.MoveRollout | None:
    if not _may_advance(
        clock, good, MIN_TRIAL_SAMPLES, (MIN_TRIAL_PART, MAX_TRIAL_PART)
    ):
        return None
    return _move(
        rollout,
        data.RolloutPhase.RAMPING,
        STEPS[0],
        f"trial passed with {good.answers} good answers",
    )


def _decide_ramping(
    rollout: data.Rollout, clock: _Clock, good: _Good
) -> commands.MoveRollout | None:
    position = sum(step <= rollout.share for step in STEPS)
    if not _may_advance(
        clock, good, MIN_STEP_SAMPLES, (MIN_STEP_PART, MAX_STEP_PART)
    ):
        return None
    reason = f"{good.answers} good answers at share {rollout.share:g}"
    if position < len(STEPS):
        return _move(
            rollout, data.RolloutPhase.RAMPING, STEPS[position], reason
        )
    return _move(rollout, data.RolloutPhase.WATCHING, WATCH_SHARE, reason)


def _decide_watching(
    rollout: data.Rollout, clock: _Clock, good: _Good
) -> commands.MoveRollout | None:
    if clock.phase_elapsed_s < rollout.plan.watch_s or not good.answers:
        return None
    return _move(
        rollout,
        data.RolloutPhase.DONE,
        1.0,
        f"no fault in the watch period, {good.answers} good answers",
    )


_PHASE_DECISIONS = {
    data.RolloutPhase.TRIAL: _decide_trial,
    data.RolloutPhase.RAMPING: _decide_ramping,
    data.RolloutPhase.WATCHING: _decide_watching,
}
