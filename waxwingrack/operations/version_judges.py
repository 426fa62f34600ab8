"""Judges that compare a new version with the old one.

A judge gets the samples of both versions in the same period, by route and data
centre, and returns a reason if the new version is faulty. Every new sample
leads to another judgement, so the thresholds are strict enough that a good
version is rarely rolled back.
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

# Minimum of samples of the old version in the period; with fewer, samples from
# before the period are used, too.
MIN_OLD_SAMPLES = 20
# With fewer than MIN_OLD_SAMPLES samples, the old version's error rate is
# averaged with ASSUMED_ERROR_RATE, which has the weight of ASSUMED_SAMPLES
# samples.
ASSUMED_ERROR_RATE = 0.005
ASSUMED_SAMPLES = 50
# Standard deviations of a one-sided 95% confidence bound on the old version's
# error rate. The observed rate itself is too low by chance too often.
CONFIDENCE_Z = 1.645
# The new version is faulty if its errors would be less probable than this at
# the old version's error rate.
ERROR_SIGNIFICANCE = 1e-5
# Numbers of newest samples of the new version that are judged. A short window
# shows a fault that appears late, a long one shows a low error rate.
ERROR_WINDOWS = (8, 32, 128)

SamplesByStratum: TypeAlias = dict[
    version_samples.Stratum, tuple[version_samples.JudgedSample, ...]
]


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Samples of both versions of one service.

    Attributes:
      new: Samples of the new version by stratum.
      old: Samples of the old version by stratum.
      new_warm: Samples of the new version whose latency counts.
      old_warm: Samples of the old version whose latency counts.
    """

    new: SamplesByStratum
    old: SamplesByStratum
    new_warm: version_latencies.WarmSamples
    old_warm: version_latencies.WarmSamples


Judge: TypeAlias = Callable[[Comparison], str | None]
JUDGES: registry.Registry[str, Judge] = registry.Registry("judge")


def judge(comparison: Comparison) -> str | None:
    """Judges the new version by all registered judges.

    Args:
      comparison: Samples of both versions.

    Returns:
      The first reason to roll back the new version, or None.
    """
    verdicts = (decide(comparison) for _, decide in JUDGES.items())
    return next((reason for reason in verdicts if reason), None)


@JUDGES.register("errors")
def judge_errors(comparison: Comparison) -> str | None:
    """Finds errors that the old version's error rates don't explain.

    Args:
      comparison: Samples of both versions.

    Returns:
      The reason, or None.
    """
    routes = _list_routes(comparison.new)
    groups = [
        (f"route {route}", _select_route(comparison.new, route))
        for route in routes
    ]
    if len(routes) > 1:
        groups.append(("all routes", comparison.new))
    reasons = (
        _find_excess_errors(name, samples, window, comparison)
        for (name, samples), window in itertools.product(groups, ERROR_WINDOWS)
    )
    return next((reason for reason in reasons if reason), None)


@JUDGES.register("latency")
def judge_latency(comparison: Comparison) -> str | None:
    """Finds a route on which the new version is slower than the old one.

    Args:
      comparison: Samples of both versions.

    Returns:
      The reason, or None. Latencies are compared only within a data centre and
      at equal load, since a slow data centre or a high load slows both
      versions.
    """
    reasons = (
        version_latencies.find_slowdown(
            route, comparison.new_warm, comparison.old_warm
        )
        for route in _list_routes(comparison.new)
    )
    return next((reason for reason in reasons if reason), None)


def _list_routes(samples: SamplesByStratum) -> list[str]:
    return sorted({stratum.route for stratum in samples})


def _select_route(samples: SamplesByStratum, route: str) -> SamplesByStratum:
    return {
        stratum: of_stratum
        for stratum, of_stratum in samples.items()
        if stratum.route == route
    }


def _find_excess_errors(
    name: str, new: SamplesByStratum, window: int, comparison: Comparison
) -> str | None:
    newest = sorted(
        (
            (sample.at_ms, sample.failed, stratum)
            for stratum, samples in new.items()
            for sample in samples[-window:]
        ),
        key=lambda item: item[0],
    )[-window:]
    failed = sum(item[1] for item in newest)
    if not failed:
        return None
    rates = {
        stratum: _bound_old_error_rate(stratum, comparison.old, newest[0][0])
        for stratum in {item[2] for item in newest}
    }
    rate = statistics.fmean(rates[item[2]] for item in newest)
    probability = _binomial_tail(len(newest), failed, rate)
    if probability >= ERROR_SIGNIFICANCE:
        return None
    return (
        f"errors on {name}: {failed} of {len(newest)} failed, "
        f"old version fails {rate:.1%} at most"
    )


def _bound_old_error_rate(
    stratum: version_samples.Stratum, old: SamplesByStratum, start_ms: int
) -> float:
    """Returns the Wilson upper bound of the old version's error rate.

    Only samples since the oldest judged sample of the new version count, since
    a fault of the data centre may have started at that time.
    """
    comparable = old.get(stratum, ())
    if not comparable:
        comparable = tuple(
            itertools.chain.from_iterable(
                samples
                for other, samples in old.items()
                if other.route == stratum.route
            )
        )
    period = _select_period(comparable, start_ms)
    failed = sum(sample.failed for sample in period)
    assumed = 0 if len(period) >= MIN_OLD_SAMPLES else ASSUMED_SAMPLES
    count = len(period) + assumed
    rate = (failed + ASSUMED_ERROR_RATE * assumed) / count
    square = CONFIDENCE_Z**2
    margin = CONFIDENCE_Z * math.sqrt(
        rate * (1 - rate) / count + square / (4 * count**2)
    )
    return (rate + square / (2 * count) + margin) / (1 + square / count)


def _select_period(
    samples: tuple[version_samples.JudgedSample, ...], start_ms: int
) -> tuple[version_samples.JudgedSample, ...]:
    period = version_samples.samples_since(samples, start_ms)
    enough = len(period) >= MIN_OLD_SAMPLES
    return period if enough else samples[-MIN_OLD_SAMPLES:]


def _binomial_tail(trials: int, hits: int, rate: float) -> float:
    """Returns the probability of at least `hits` hits among `trials`."""
    return sum(
        math.comb(trials, count) * rate**count * (1 - rate) ** (trials - count)
        for count in range(hits, trials + 1)
    )
