"""Judges that compare a new version with the old one.

A judge sees the samples of both versions in the same period, by route and data
centre, and returns a reason if the new version is bad. The thresholds keep the
chance low that a good version is taken back although every sample leads to a
new judgement.
"""

from collections.abc import Callable
import dataclasses
import itertools
import math
import statistics
from typing import TypeAlias

from waxwingrack.core import registry
from waxwingrack.operations import version_latencies
from waxwingrack.operations import version_samples

# Fewest old samples in the period; with fewer, older samples are used too.
MIN_OLD_SAMPLES = 20
# Error rate assumed of the old version, with the weight of that many samples,
# while there are fewer than MIN_OLD_SAMPLES real ones.
ASSUMED_ERROR_RATE = 0.005
ASSUMED_SAMPLES = 50
# One-sided 95% confidence in the old version's error rate, in standard
# deviations. The observed rate alone is too low by chance too often.
CONFIDENCE_Z = 1.645
# Chance below which errors are not explained by the old version.
ERROR_CHANCE = 1e-5
# Samples of the new version that are looked at, newest ones first. A short
# window shows a fault that appears late; a long one shows a low error rate.
ERROR_WINDOWS = (8, 32, 128)

Samples: TypeAlias = dict[
    version_samples.Stratum, tuple[version_samples.Ended, ...]
]


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Samples of both versions of one service.

    Attributes:
      new: Samples of the new version by stratum.
      old: Samples of the old version by stratum.
      new_warm: Those of the new version whose latency counts.
      old_warm: Those of the old version whose latency counts.
    """

    new: Samples
    old: Samples
    new_warm: version_latencies.Warm
    old_warm: version_latencies.Warm


Judge: TypeAlias = Callable[[Comparison], str | None]
JUDGES: registry.Registry[str, Judge] = registry.Registry("judge")


def judge(comparison: Comparison) -> str | None:
    """Asks every judge.

    Args:
      comparison: Samples of both versions.

    Returns:
      The first reason to take the new version back, or None.
    """
    verdicts = (decide(comparison) for _, decide in JUDGES.items())
    return next((reason for reason in verdicts if reason), None)


@JUDGES.register("errors")
def judge_errors(comparison: Comparison) -> str | None:
    """Finds more errors than the old version's rates explain.

    Args:
      comparison: Samples of both versions.

    Returns:
      The reason, or None.
    """
    routes = _routes(comparison.new)
    groups = [
        (f"route {route}", _of_route(comparison.new, route)) for route in routes
    ]
    if len(routes) > 1:
        groups.append(("all routes", comparison.new))
    reasons = (
        _excess_errors(name, samples, window, comparison)
        for (name, samples), window in itertools.product(groups, ERROR_WINDOWS)
    )
    return next((reason for reason in reasons if reason), None)


@JUDGES.register("latency")
def judge_latency(comparison: Comparison) -> str | None:
    """Finds a route on which the new version is slower than the old one.

    Args:
      comparison: Samples of both versions.

    Returns:
      The reason, or None. Latencies are compared within a data centre and at
      equal load only, as both slow both versions.
    """
    reasons = (
        version_latencies.slowdown(
            route, comparison.new_warm, comparison.old_warm
        )
        for route in _routes(comparison.new)
    )
    return next((reason for reason in reasons if reason), None)


def _routes(samples: Samples) -> list[str]:
    return sorted({stratum.route for stratum in samples})


def _of_route(samples: Samples, route: str) -> Samples:
    return {
        stratum: ended
        for stratum, ended in samples.items()
        if stratum.route == route
    }


def _excess_errors(
    name: str, new: Samples, window: int, comparison: Comparison
) -> str | None:
    newest = sorted(
        (
            (ended.at_ms, ended.failed, stratum)
            for stratum, all_ended in new.items()
            for ended in all_ended[-window:]
        ),
        key=lambda one: one[0],
    )[-window:]
    failed = sum(one[1] for one in newest)
    if not failed:
        return None
    rates = {
        stratum: _old_error_rate(stratum, comparison.old, newest[0][0])
        for stratum in {one[2] for one in newest}
    }
    rate = statistics.fmean(rates[one[2]] for one in newest)
    chance = _binomial_tail(len(newest), failed, rate)
    if chance >= ERROR_CHANCE:
        return None
    return (
        f"errors on {name}: {failed} of {len(newest)} failed, "
        f"old version fails {rate:.1%} at most"
    )


def _old_error_rate(
    stratum: version_samples.Stratum, old: Samples, start_ms: int
) -> float:
    """Upper bound (Wilson) of the error rate of the old version.

    Only samples since the oldest new sample under judgement count, as a fault
    of a data centre may have started just then.
    """
    same = old.get(stratum, ())
    if not same:
        same = tuple(
            itertools.chain.from_iterable(
                ended
                for other, ended in old.items()
                if other.route == stratum.route
            )
        )
    period = _same_period(same, start_ms)
    failed = sum(ended.failed for ended in period)
    assumed = 0 if len(period) >= MIN_OLD_SAMPLES else ASSUMED_SAMPLES
    count = len(period) + assumed
    rate = (failed + ASSUMED_ERROR_RATE * assumed) / count
    square = CONFIDENCE_Z**2
    margin = CONFIDENCE_Z * math.sqrt(
        rate * (1 - rate) / count + square / (4 * count**2)
    )
    return (rate + square / (2 * count) + margin) / (1 + square / count)


def _same_period(
    ended: tuple[version_samples.Ended, ...], start_ms: int
) -> tuple[version_samples.Ended, ...]:
    period = version_samples.since(ended, start_ms)
    enough = len(period) >= MIN_OLD_SAMPLES
    return period if enough else ended[-MIN_OLD_SAMPLES:]


def _binomial_tail(trials: int, hits: int, rate: float) -> float:
    """Chance of at least `hits` hits among `trials`."""
    return sum(
        math.comb(trials, count) * rate**count * (1 - rate) ** (trials - count)
        for count in range(hits, trials + 1)
    )
