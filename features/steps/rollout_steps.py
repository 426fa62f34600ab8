"""Steps for version moves, with simulated traffic."""

import dataclasses
import random

import behave
import immutables

from waxwingrack.core import data
from waxwingrack.operations import rollout_lifecycle
from waxwingrack.operations import rollouts
from waxwingrack.operations import version_samples

_TICK_MS = 250
_LATE_MS = 45_000
# Above this share the simulated versions are in the watch period.
_LAST_STEP = 0.75
# Requests in flight on a server from which a version counts as under load.
_LOADED = 3
# Difference between the clocks of two simulated leaders.
_CLOCK_GAP_MS = 777_000
# Slots of a simulated server; requests beyond wait at the router.
_SLOTS = 16
_Outcome = data.Outcome


@dataclasses.dataclass(frozen=True)
class _Request:
    """What a simulated version knows of a request."""

    at_ms: int
    route: str
    data_centre: str
    share: float
    is_new: bool
    load: int


def _good(req, rng):
    return _Outcome.COMPLETED, rng.lognormvariate(4, 0.5)


def _failing(chance, when=lambda req: True):
    def answer(req, rng):
        if req.is_new and when(req) and rng.random() < chance:
            return _Outcome.SERVER_ERROR, 5.0
        return _good(req, rng)

    return answer


def _slow(factor, when=lambda req: True, both=False):
    def answer(req, rng):
        outcome, latency = _good(req, rng)
        slow = (req.is_new or both) and when(req)
        return outcome, latency * (factor if slow else 1)

    return answer


def _half_slow(req, rng):
    outcome, latency = _good(req, rng)
    return outcome, latency * (5 if req.is_new and rng.random() < 0.5 else 1)


def _watched(req):
    return req.share > _LAST_STEP


def _with_load(slope):
    """Both versions slow down with the requests in flight on a server."""

    def answer(req, rng):
        outcome, latency = _good(req, rng)
        return outcome, latency * (1 + slope * (req.load - 1))

    return answer


def _broken_centre(req, rng):
    broken = req.data_centre == "b" and req.at_ms >= 8_000
    if broken and rng.random() < 0.7:
        failed = (_Outcome.CONNECT_FAILED, _Outcome.SERVER_ERROR)
        return rng.choice(failed), 5.0
    return _good(req, rng)


def _one_crash(req, rng):
    if req.is_new and 10_000 <= req.at_ms < 10_400:
        return _Outcome.CONNECTION_LOST, 5.0
    return _good(req, rng)


def _as_faulty(req, rng):
    if rng.random() < 0.02:
        return _Outcome.SERVER_ERROR, 5.0
    return _good(req, rng)


_KINDS = {
    "good": _good,
    "good_in_slow_centre": _slow(
        4, lambda req: req.data_centre == "b", both=True
    ),
    "good_in_broken_centre": _broken_centre,
    "good_mostly_in_slow_centre": _slow(
        4, lambda req: req.data_centre == "b", both=True
    ),
    "good_mostly_in_broken_centre": _broken_centre,
    "cold_at_start": _slow(5, lambda req: req.at_ms < 8_000),
    "hit_by_one_crash": _one_crash,
    "as_faulty_as_old": _as_faulty,
    "failing": _failing(1.0),
    "failing_a_third": _failing(0.34),
    "failing_late": _failing(0.5, lambda req: req.at_ms > _LATE_MS),
    "failing_under_load": _failing(0.5, lambda req: req.share >= 0.5),
    "failing_on_one_route": _failing(0.8, lambda req: req.route == "draft"),
    "slow": _slow(3),
    "slow_late": _slow(3, lambda req: req.at_ms > _LATE_MS),
    "half_slow": _half_slow,
    "slow_on_one_route": _slow(3, lambda req: req.route == "draft"),
    "good_slower_with_load": _with_load(0.5),
    "good_in_busy_service": _with_load(0.25),
    "good_as_centre_slows": _slow(
        4, lambda req: _watched(req) and req.data_centre == "b", both=True
    ),
    "good_as_both_slow": _slow(2, _watched, both=True),
    "good_without_old_servers": _with_load(0.25),
    "slow_at_full_share": _slow(4, _watched),
    "slow_without_old_servers": _slow(4, _watched),
    "absent": _good,
}
for _factor in (1.6, 2.0, 2.4):
    _KINDS |= {
        f"{_factor:g}_slow_at_full_share": _slow(_factor, _watched),
        f"{_factor:g}_slow_under_load": _slow(
            _factor, lambda req: req.load >= _LOADED
        ),
        f"{_factor:g}_slow_on_one_route": _slow(
            _factor, lambda req: _watched(req) and req.route == "draft"
        ),
    }


@dataclasses.dataclass
class _Result:
    """How a simulated rollout ended."""

    rollout: data.Rollout
    ended_ms: int
    to_new: int
    total: int
    last_new_ms: int
    first_fault_ms: int | None
    watched_ms: int | None = None


def _environment():
    return data.Environment(
        name="test",
        workspaces=(),
        services=(data.Service("sketch", (), "v1"),),
        data_centres=(),
    )


def _replace_leader(stats, now_ms):
    """Hands the samples to a leader with another clock, and back."""
    evidence = version_samples.export_samples(stats, {"sketch"}, now_ms)
    other = version_samples.import_samples(evidence, 0, now_ms + _CLOCK_GAP_MS)
    evidence = version_samples.export_samples(
        other, {"sketch"}, now_ms + _CLOCK_GAP_MS
    )
    return version_samples.import_samples(evidence, 0, now_ms)


@dataclasses.dataclass(frozen=True)
class _World:
    """What a simulation does besides sending requests.

    Attributes:
      leader_ms: Time for which each leader leads; None for one leader.
      streams: Whether answers are long streams of servers that announce that
        they are cold, and are warm.
      old_latencies: Latencies of the old version from before the rollout.
    """

    leader_ms: int | None = None
    streams: bool = False
    old_latencies: int = 0


def _deliver(pending, samples, now_ms, rng):
    """Returns the samples that are due by now, of streams that take seconds."""
    for sample in samples:
        begun_ms = sample.at_ms + round(sample.first_byte_ms)
        pending.append(
            dataclasses.replace(
                sample, outcome=None, at_ms=begun_ms, was_cold=False
            )
        )
        pending.append(
            dataclasses.replace(
                sample,
                at_ms=begun_ms + rng.randint(2_000, 8_000),
                was_cold=False,
                latency_known=True,
            )
        )
    due = sorted(
        (row for row in pending if row.at_ms <= now_ms),
        key=lambda row: row.at_ms,
    )
    pending[:] = [row for row in pending if row.at_ms > now_ms]
    return due


def _old_samples(count, rng):
    return tuple(
        data.RequestSample(
            "sketch",
            "draft",
            "a",
            "v1",
            "v1-a",
            _Outcome.COMPLETED,
            rng.lognormvariate(4, 0.5),
            100.0,
            -20_000 + number * 20_000 // count,
            1,
        )
        for number in range(count)
    )


def simulate(plan, kind, rate, seed, world=_World()):
    """Runs requests, judges and moves until the rollout ends."""
    rng = random.Random(seed)
    answer = _KINDS[kind]
    rollout = data.Rollout(
        plan, "v1", data.RolloutPhase.TRIAL, rollouts.TRIAL_SHARE
    )
    stats = rollouts.add_samples(
        version_samples.VersionSamples(), _old_samples(world.old_latencies, rng)
    )
    pending = []
    result = _Result(rollout, 0, 0, 0, 0, None)
    credit = 0.0
    in_flight = {}
    for now_ms in range(0, int(plan.deadline_s * 1000) + 2_000, _TICK_MS):
        samples = []
        watched = rollout.phase is data.RolloutPhase.WATCHING
        if watched and result.watched_ms is None:
            result.watched_ms = now_ms
        busy = 3 if watched and "busy" in kind else 1
        arrivals = _arrivals(rate * busy, rng)
        for number in range(arrivals):
            at_ms = now_ms + number * _TICK_MS // arrivals
            credit += rollout.share
            is_new = credit >= 1 and kind != "absent"
            credit -= credit >= 1
            is_new = is_new or (watched and "without_old" in kind)
            weights = _centre_weights(kind, is_new)
            centre = rng.choices("ab", weights)[0]
            server = in_flight.setdefault((is_new, centre), [])
            server[:] = [end for end in server if end > at_ms]
            req = _Request(
                at_ms,
                rng.choice(("draft", "ask")),
                centre,
                rollout.share,
                is_new,
                min(len(server) + 1, _SLOTS),
            )
            samples.append(_run(answer, req, rng, result))
            if len(server) < _SLOTS:
                server.append(at_ms + samples[-1].duration_ms)
        if world.streams:
            samples = _deliver(pending, samples, now_ms, rng)
        stats = rollouts.add_samples(stats, tuple(samples))
        if world.leader_ms and now_ms % world.leader_ms == 0:
            stats = _replace_leader(stats, now_ms)
        state = data.ReplicatedState(
            environment=_environment(),
            rollouts=immutables.Map({plan.id: rollout}),
        )
        moves = rollouts.decide_moves(state, stats, _TICK_MS / 1000, now_ms)
        rollout = _advance(rollout, moves)
        if not rollouts.is_unfinished(rollout):
            break
    result.rollout = rollout
    result.ended_ms = now_ms
    return result


def _centre_weights(kind, is_new):
    """Weights of the data centres a and b for the servers of a version."""
    if "mostly" not in kind:
        return 1, 1
    return (1, 9) if is_new else (9, 1)


def _arrivals(rate, rng):
    expected = rate * _TICK_MS / 1000
    return int(expected) + (rng.random() < expected % 1)


def _run(answer, req, rng, result):
    outcome, latency = answer(req, rng)
    result.total += 1
    result.to_new += req.is_new
    if req.is_new:
        result.last_new_ms = req.at_ms
        if outcome is not _Outcome.COMPLETED and result.first_fault_ms is None:
            result.first_fault_ms = req.at_ms
    version = "v2" if req.is_new else "v1"
    return data.RequestSample(
        "sketch",
        req.route,
        req.data_centre,
        version,
        f"{version}-{req.data_centre}",
        outcome,
        latency,
        latency,
        req.at_ms,
        req.load,
    )


def _advance(rollout, moves):
    rollout = dataclasses.replace(
        rollout,
        elapsed_s=rollout.elapsed_s + _TICK_MS / 1000,
        phase_elapsed_s=rollout.phase_elapsed_s + _TICK_MS / 1000,
    )
    for move in moves:
        assert rollout_lifecycle.may_move(rollout.phase, move.phase), move
        rollout = dataclasses.replace(
            rollout,
            phase=move.phase,
            share=move.share,
            reason=move.reason,
            phase_elapsed_s=0.0,
        )
    return rollout


@behave.given(
    "a simulated rollout with deadline {deadline:d} s"
    " and watch period {watch:d} s"
)
def given_rollout(context, deadline, watch):
    context.plan = data.RolloutPlan("r", "sketch", "v2", deadline, watch)


@behave.given(
    "the simulated traffic is {rate:d} requests per second with seed {seed:d}"
)
def given_traffic(context, rate, seed):
    context.rate = rate
    context.seed = seed


@behave.given("the simulated new version is {kind}")
def given_kind(context, kind):
    context.kind = kind


@behave.given("the simulated leader is replaced every {period:d} s")
def given_leaders(context, period):
    context.world = _World(leader_ms=1_000 * period)


@behave.given(
    "the simulated answers are long streams of servers that announce cold"
    " starts"
)
def given_streams(context):
    context.world = _World(streams=True)


@behave.given("the old version has latencies from before")
def given_old_latencies(context):
    context.world = _World(old_latencies=200)


@behave.when("the simulated rollout runs to its end")
def run_rollout(context):
    context.result = simulate(
        context.plan,
        context.kind,
        context.rate,
        context.seed,
        getattr(context, "world", _World()),
    )


@behave.when("the simulated rollout runs with {count:d} seeds in turn")
def run_seeds(context, count):
    context.results = {
        seed: simulate(
            context.plan,
            context.kind,
            context.rate,
            seed,
            getattr(context, "world", _World()),
        )
        for seed in range(context.seed, context.seed + count)
    }


@behave.then("the simulated rollout ends as {end} within {limit:d} s")
def ends_as(context, end, limit):
    result = context.result
    assert result.rollout.phase.value == end, result
    assert result.ended_ms <= limit * 1000, result


@behave.then('the simulated reason contains "{reason}"')
def reason_contains(context, reason):
    assert reason in context.result.rollout.reason, context.result


@behave.then(
    "at most {share:d} in 100 simulated requests went to the new version"
)
def small_share(context, share):
    result = context.result
    assert result.to_new * 100 <= result.total * share, result


@behave.then(
    "at most {share:d} in 100 simulated requests and {reserve:d} more went to"
    " the new version"
)
def limited_exposure(context, share, reserve):
    result = context.result
    assert result.to_new <= result.total * share / 100 + reserve, result


@behave.then(
    "no simulated request went to it later than {limit:d} s"
    " after its fault showed"
)
def none_later(context, limit):
    result = context.result
    late_ms = result.last_new_ms - result.first_fault_ms
    assert late_ms <= limit * 1000, result


@behave.then("every simulated rollout ended as done")
def all_done(context):
    bad = {
        seed: result.rollout
        for seed, result in context.results.items()
        if result.rollout.phase is not data.RolloutPhase.DONE
    }
    assert not bad, bad


@behave.then("a rollout in phase {phase} may move to {allowed} only")
def may_move_only(context, phase, allowed):
    reached = [
        target.value
        for target in data.RolloutPhase
        if rollout_lifecycle.may_move(data.RolloutPhase(phase), target)
    ]
    assert reached == [one for one in allowed.split() if one != "nothing"], (
        reached
    )
