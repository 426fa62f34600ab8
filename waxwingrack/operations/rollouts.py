"""Decides when a rollout changes its phase or its share of the traffic.

A rollout gives the new version a small share, raises it step by step, watches
the version at nearly full share and ends either as done or rolled back. Each
tick judges the new version first, so a fault ends the rollout at once in every
phase.
"""

import dataclasses

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import version_judges
from waxwingrack.operations import version_latencies
from waxwingrack.operations import version_samples

VersionSamples = version_samples.VersionSamples
add_samples = version_samples.add_samples

TRIAL_SHARE = 0.05
# Shares of the new version in the ramping phase, after the trial.
RAMP_SHARES = (0.1, 0.25, 0.5, 0.75)
# Share of the new version in the watch period. Servers of the old version keep
# the rest while there are any, so that the judges can compare both versions in
# the same period.
WATCH_SHARE = 0.9
# Successful samples in a phase that allow the next step before the longest time
# of the phase has passed.
MIN_TRIAL_SAMPLES = 20
MIN_STEP_SAMPLES = 20
# Latencies of the new version without which it is not declared done.
MIN_COMPARED = 8
# Shortest and longest times of a phase or step, as fractions of the time before
# the watch period. The shortest times use most of it, so that a fault that
# appears late or under load shows at a small share. The longest times apply
# when there are too few samples.
MIN_TRIAL_FRACTION = 0.15
MAX_TRIAL_FRACTION = 0.4
MIN_STEP_FRACTION = 0.1
MAX_STEP_FRACTION = 0.125

# Fraction of the time until the deadline that is used as the watch period.
WATCH_FRACTION = 0.2

_UNFINISHED = frozenset(
    (
        data.RolloutPhase.TRIAL,
        data.RolloutPhase.RAMPING,
        data.RolloutPhase.WATCHING,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class _SchedulePosition:
    """Position of a rollout in its schedule.

    Attributes:
      elapsed_s: Time since the start of the rollout.
      phase_elapsed_s: Time since the start of the phase, or of the share.
      before_watch_s: Time planned before the watch period.
    """

    elapsed_s: float
    phase_elapsed_s: float
    before_watch_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _SuccessCounts:
    """Successful answers of the new version in the current phase.

    Attributes:
      answers: All successful answers.
      warm: Answers whose latency the judges can compare.
      compared: Whether the judges have had enough latencies in all phases, or
        the old version has none to compare with.
    """

    answers: int
    warm: int
    compared: bool


def is_unfinished(rollout: data.Rollout) -> bool:
    """Returns whether a rollout is under way."""
    return rollout.phase in _UNFINISHED


def limit_exposure(
    plan: data.RolloutPlan, settings: data.Settings
) -> data.RolloutPlan:
    """Applies the limit of the settings to a plan that has none."""
    if plan.max_exposure < 1:
        return plan
    return dataclasses.replace(
        plan,
        max_exposure=settings.max_exposure,
        exposure_reserve=settings.exposure_reserve,
    )


def plan_by_deadline(
    state: data.ReplicatedState, service: str, version: str, deadline_s: float
) -> data.RolloutPlan:
    """Plans a rollout for which only a deadline is given.

    Args:
      state: Replicated state.
      service: Service id.
      version: New version.
      deadline_s: Time until the rollout must be done or rolled back, in
        seconds.

    Returns:
      The plan, with an unused rollout id.
    """
    return data.RolloutPlan(
        id=f"{service}-{version}-{state.number + 1}",
        service=service,
        version=version,
        deadline_s=deadline_s,
        watch_s=WATCH_FRACTION * deadline_s,
    )


def latest_rollout(
    state: data.ReplicatedState, service: str
) -> data.Rollout | None:
    """Returns the latest rollout of a service, or None."""
    newest_first = (
        state.rollouts[name] for name in reversed(state.rollout_order)
    )
    return next(
        (row for row in newest_first if row.plan.service == service), None
    )


def effective_version(
    state: data.ReplicatedState, service: str, version: str
) -> str:
    """Returns the version that the scheduler assumes for a backend server.

    The environment may leave the version of a service open. All versions then
    count as the current one, except those that a rollout is still judging or
    has rolled back.

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


def divide_traffic(state: data.ReplicatedState) -> immutables.Map:
    """Divides the traffic of every service between its versions.

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
    in_rollout = {
        rollout.plan.service: data.VersionShare(
            rollout.old_version,
            rollout.plan.version,
            rollout.share,
            overflow=rollout.phase is data.RolloutPhase.WATCHING,
            exposure=rollout.exposure,
            max_exposure=rollout.plan.max_exposure,
            exposure_reserve=rollout.plan.exposure_reserve,
        )
        for rollout in state.rollouts.values()
        if is_unfinished(rollout) and rollout.plan.service in current
    }
    return immutables.Map(current | in_rollout)


def decide_moves(
    state: data.ReplicatedState,
    stats: version_samples.VersionSamples,
    elapsed_s: float,
    now_ms: int,
) -> tuple[commands.MoveRollout, ...]:
    """Decides on the next move of every unfinished rollout.

    Args:
      state: Replicated state.
      stats: Samples of all versions.
      elapsed_s: Time since the last checkpoint in the state, in seconds.
      now_ms: Leader's monotonic clock.

    Returns:
      At most one move per rollout.
    """
    moves = (
        _decide_move(rollout, stats, elapsed_s, now_ms)
        for rollout in state.rollouts.values()
        if is_unfinished(rollout)
    )
    return tuple(move for move in moves if move is not None)


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceCounts:
    """Samples of a rollout, for the log.

    Attributes:
      ended: Ended requests of the new version in the current phase.
      failed: Those of them that the version failed.
      latencies: Latencies of the new version that the judges may use.
      old_latencies: Latencies of the old version that the judges may use.
      same_load: Those of `latencies` at a load level and in a group for which
        the old version has latencies, too.
    """

    ended: int
    failed: int
    latencies: int
    old_latencies: int
    same_load: int


def count_evidence(
    stats: version_samples.VersionSamples, rollout: data.Rollout, now_ms: int
) -> EvidenceCounts:
    """Counts the samples that the judges have of a rollout.

    Args:
      stats: Samples of all versions.
      rollout: The rollout.
      now_ms: Leader's monotonic clock.
    """
    service = rollout.plan.service
    start_ms = now_ms - int(rollout.phase_elapsed_s * 1000)
    new = version_samples.select_samples(stats, service, rollout.plan.version)
    ended = [
        sample
        for samples in new.values()
        for sample in version_samples.samples_since(samples, start_ms)
    ]
    warm = version_samples.select_warm_samples(
        stats, service, rollout.plan.version
    )
    old_warm = version_samples.select_warm_samples(
        stats, service, rollout.old_version
    )
    return EvidenceCounts(
        ended=len(ended),
        failed=sum(sample.failed for sample in ended),
        latencies=sum(map(len, warm.values())),
        old_latencies=sum(map(len, old_warm.values())),
        same_load=sum(
            len(samples)
            for group, samples in warm.items()
            if old_warm.get(group)
        ),
    )


def _decide_move(
    rollout: data.Rollout,
    stats: version_samples.VersionSamples,
    elapsed_s: float,
    now_ms: int,
) -> commands.MoveRollout | None:
    plan = rollout.plan
    position = _SchedulePosition(
        elapsed_s=rollout.elapsed_s + elapsed_s,
        phase_elapsed_s=rollout.phase_elapsed_s + elapsed_s,
        before_watch_s=max(plan.deadline_s - plan.watch_s, 0.0),
    )
    new = version_samples.select_samples(stats, plan.service, plan.version)
    old = version_samples.select_samples(
        stats, plan.service, rollout.old_version
    )
    new_warm = version_samples.select_warm_samples(
        stats, plan.service, plan.version
    )
    old_warm = version_samples.select_warm_samples(
        stats, plan.service, rollout.old_version
    )
    fault = version_judges.judge(
        version_judges.Comparison(new, old, new_warm, old_warm)
    )
    if fault:
        return _roll_back(rollout, fault)
    start_ms = now_ms - int(position.phase_elapsed_s * 1000)
    successes = _SuccessCounts(
        answers=_count_answers(new, start_ms),
        warm=_count_latencies(new_warm, start_ms),
        compared=_count_latencies(new_warm, 0) >= MIN_COMPARED or not old_warm,
    )
    if position.elapsed_s >= plan.deadline_s:
        return _decide_at_deadline(rollout, position, successes)
    return _PHASE_DECISIONS[rollout.phase](rollout, position, successes)


def _count_answers(new: version_judges.SamplesByStratum, start_ms: int) -> int:
    return sum(
        not sample.failed
        for samples in new.values()
        for sample in version_samples.samples_since(samples, start_ms)
    )


def _count_latencies(warm: version_latencies.WarmSamples, start_ms: int) -> int:
    return sum(
        len(version_samples.samples_since(samples, start_ms))
        for samples in warm.values()
    )


def _make_move(
    rollout: data.Rollout, phase: data.RolloutPhase, share: float, reason: str
) -> commands.MoveRollout:
    return commands.MoveRollout(rollout.plan.id, phase, share, reason)


def _roll_back(rollout: data.Rollout, reason: str) -> commands.MoveRollout:
    return _make_move(rollout, data.RolloutPhase.TAKEN_BACK, 0.0, reason)


def _decide_at_deadline(
    rollout: data.Rollout,
    position: _SchedulePosition,
    successes: _SuccessCounts,
) -> commands.MoveRollout:
    watched = position.phase_elapsed_s >= rollout.plan.watch_s
    if (
        rollout.phase is data.RolloutPhase.WATCHING
        and watched
        and successes.answers
    ):
        if not successes.compared:
            return _roll_back(rollout, "deadline reached, too few latencies")
        return _make_move(
            rollout, data.RolloutPhase.DONE, 1.0, "deadline, no fault seen"
        )
    return _roll_back(rollout, f"deadline reached while {rollout.phase.value}")


def _is_advance_due(
    position: _SchedulePosition,
    successes: _SuccessCounts,
    min_samples: int,
    time_fractions: tuple[float, float],
) -> bool:
    shortest_s, longest_s = (
        position.before_watch_s * fraction for fraction in time_fractions
    )
    # Without warm samples a slow version could pass the trial unjudged.
    has_enough = (
        successes.warm >= min_samples and position.phase_elapsed_s >= shortest_s
    )
    return has_enough or (
        successes.answers > 0 and position.phase_elapsed_s >= longest_s
    )


def _decide_trial(
    rollout: data.Rollout,
    position: _SchedulePosition,
    successes: _SuccessCounts,
) -> commands.MoveRollout | None:
    if not _is_advance_due(
        position,
        successes,
        MIN_TRIAL_SAMPLES,
        (MIN_TRIAL_FRACTION, MAX_TRIAL_FRACTION),
    ):
        return None
    return _make_move(
        rollout,
        data.RolloutPhase.RAMPING,
        RAMP_SHARES[0],
        f"trial passed with {successes.answers} good answers",
    )


def _decide_ramping(
    rollout: data.Rollout,
    position: _SchedulePosition,
    successes: _SuccessCounts,
) -> commands.MoveRollout | None:
    next_step = sum(share <= rollout.share for share in RAMP_SHARES)
    if not _is_advance_due(
        position,
        successes,
        MIN_STEP_SAMPLES,
        (MIN_STEP_FRACTION, MAX_STEP_FRACTION),
    ):
        return None
    reason = f"{successes.answers} good answers at share {rollout.share:g}"
    if next_step < len(RAMP_SHARES):
        return _make_move(
            rollout, data.RolloutPhase.RAMPING, RAMP_SHARES[next_step], reason
        )
    return _make_move(rollout, data.RolloutPhase.WATCHING, WATCH_SHARE, reason)


def _decide_watching(
    rollout: data.Rollout,
    position: _SchedulePosition,
    successes: _SuccessCounts,
) -> commands.MoveRollout | None:
    if (
        position.phase_elapsed_s < rollout.plan.watch_s
        or not successes.answers
        or not successes.compared
    ):
        return None
    return _make_move(
        rollout,
        data.RolloutPhase.DONE,
        1.0,
        f"no fault in the watch period, {successes.answers} good answers",
    )


_PHASE_DECISIONS = {
    data.RolloutPhase.TRIAL: _decide_trial,
    data.RolloutPhase.RAMPING: _decide_ramping,
    data.RolloutPhase.WATCHING: _decide_watching,
}
