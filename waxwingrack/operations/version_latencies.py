"""Comparison of the latencies of two versions, for the latency judge.

Latencies are compared within groups of equal route, data centre and load level
of the server, since a slow data centre or a busy service slows both versions.
Three comparisons are tried in turn:

* Same period: samples of both versions from the judged time. At a load that the
  old version does not have, its samples at the next higher load are used.
* Earlier period: when the new version has nearly the full share, the servers of
  the old one are nearly idle. At load levels that they no longer have, the new
  version is compared with their earlier latencies at that level. This counts
  only in data centres in which the old version, at the loads that it still has,
  is as fast as it was then.
* Stale: without recent samples of the old version, its samples of any time,
  with a larger allowed slowdown.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import itertools
import math
import statistics
from typing import TypeAlias

from waxwingrack.operations import version_samples

# Numbers of newest samples of the new version per stratum that are judged. The
# short window shows a slow version soon. The period of the long one has enough
# samples of the old version even at its small share in the watch period.
WINDOWS = (32, 128)
MIN_SAMPLES = 8
# Newest samples of an earlier period that are compared with, per load level.
EARLIER_SAMPLES = 64
# The median latency of the new version may be this many times the old one's.
MAX_SLOWDOWN = 1.5
# In a stale comparison the data centre may have become slower, so only a larger
# slowdown counts.
MAX_SLOWDOWN_STALE = 2.5
# Significance levels: a slowdown counts if it would be less probable than this
# with equally fast versions. Tests from a load level on are more numerous, so
# each has a lower level.
SIGNIFICANCE = 1e-4
SIGNIFICANCE_BY_LEVEL = 1e-6
# Control samples are the newest samples of the old version in a data centre.
# They show whether it is as fast as before. A minimum of them must lie in the
# newer half of their time.
CONTROL_SAMPLES = 16
MIN_CONTROL_RECENT = 5
# A version counts as slower than before if its latency ratio is at least
# DRIFT_SLOWDOWN, or at least SAME_SPEED with a p-value of DRIFT_SIGNIFICANCE or
# less. The slowdown of the new version must be at least DRIFT_SLOWDOWN in both
# halves of the time of the control samples.
SAME_SPEED = 1.1
DRIFT_SLOWDOWN = 1.25
DRIFT_SIGNIFICANCE = 0.2
# The slowdown must also exceed that of the control samples by this factor.
MIN_CONTROL_SLOWDOWN = 1.4

# Samples whose latency counts, by stratum and load level.
WarmSamples: TypeAlias = dict[
    tuple[version_samples.Stratum, int],
    tuple[version_samples.JudgedSample, ...],
]


@dataclasses.dataclass(frozen=True, slots=True)
class _LatencyPair:
    """Latencies of both versions in one group, in milliseconds."""

    new: list[float]
    old: list[float]


@dataclasses.dataclass(frozen=True, slots=True)
class _EarlierComparison:
    """New samples of a group with old samples of an earlier period.

    Attributes:
      data_centre: Data centre.
      level: Load level.
      new: Samples of the new version since the oldest control sample.
      old: Latencies of the old version at this load in an earlier period.
      middle_ms: Middle of the time of `new`.
      control: Times and latencies of the control samples. Each latency is
        divided by the median of the earlier latencies at its load.
    """

    data_centre: str
    level: int
    new: tuple[version_samples.JudgedSample, ...]
    old: list[float]
    middle_ms: float
    control: list[tuple[int, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class _JudgedWindow:
    """Samples of one route under judgement.

    Attributes:
      new: Newest samples of the new version.
      old: Samples of the old version.
      start_ms: Time of the oldest of `new`.
      middle_ms: Median time of `new`.
    """

    new: WarmSamples
    old: WarmSamples
    start_ms: int
    middle_ms: float


def find_slowdown(route: str, new: WarmSamples, old: WarmSamples) -> str | None:
    """Finds a slowdown of the new version on a route.

    Args:
      route: Route.
      new: Samples of the new version.
      old: Samples of the old version.

    Returns:
      The reason to roll back the new version, or None.
    """
    new = {
        group: samples
        for group, samples in new.items()
        if group[0].route == route
    }
    if not new:
        return None
    windows = [_select_window(new, old, window) for window in WINDOWS]
    present = [judged for judged in windows if _has_recent_old_samples(judged)]
    verdicts = [_compare_same_period(judged) for judged in present]
    earlier = _find_earlier_comparisons(new, old)
    verdicts.append(_find_lasting_slowdown(earlier))
    if not present and not earlier:
        verdicts.append(_compare_stale(windows[0]))
    found = next((verdict for verdict in verdicts if verdict), None)
    return found and f"latency on route {route}: {found}"


def _select_window(
    new: WarmSamples, old: WarmSamples, window: int
) -> _JudgedWindow:
    """Selects the newest samples of each stratum."""
    times: dict[version_samples.Stratum, list[int]] = {}
    for (stratum, _), group_samples in new.items():
        times.setdefault(stratum, []).extend(
            sample.at_ms for sample in group_samples[-window:]
        )
    newest = {
        stratum: sorted(found)[-window:] for stratum, found in times.items()
    }
    judged = {
        group: samples
        for group, group_samples in new.items()
        if (
            samples := version_samples.samples_since(
                group_samples, newest[group[0]][0]
            )
        )
    }
    all_times = list(itertools.chain.from_iterable(newest.values()))
    return _JudgedWindow(
        judged, old, min(all_times), statistics.median(all_times)
    )


def _since(samples: WarmSamples, start_ms: float) -> WarmSamples:
    return {
        group: version_samples.samples_since(group_samples, start_ms)
        for group, group_samples in samples.items()
    }


# ---------------------------------------------------------------------------
# Comparisons
# ---------------------------------------------------------------------------


def _has_recent_old_samples(judged: _JudgedWindow) -> bool:
    """Returns whether old samples reach into the newer half of the window.

    Without them, a data centre or service that became slower in that half would
    look like a slower new version.
    """
    groups = {
        found
        for group in judged.new
        if (found := _find_old_group(judged, group, judged.middle_ms))
    }
    recent = (
        version_samples.samples_since(judged.old[group], judged.middle_ms)
        for group in groups
    )
    return sum(map(len, recent)) >= MIN_SAMPLES


def _find_old_group(
    judged: _JudgedWindow,
    group: tuple[version_samples.Stratum, int],
    start_ms: float,
) -> tuple[version_samples.Stratum, int] | None:
    """Finds the group of old samples to compare a group of new ones with.

    A new version with a small share has less load than the old one. Latencies
    grow with the load, so a new version that is slower than the old one at a
    higher load is slower.

    Returns:
      The group at the same load level, or else at the lowest higher one with
      samples since `start_ms`; None if there is none.
    """
    stratum, level = group
    levels = [
        other_level
        for (other_stratum, other_level), samples in judged.old.items()
        if other_stratum == stratum
        and other_level >= level
        and samples[-1].at_ms >= start_ms
    ]
    return (stratum, min(levels)) if levels else None


def _compare_same_period(judged: _JudgedWindow) -> str | None:
    pairs = [
        (group[1], _LatencyPair(_list_latencies(samples), _list_latencies(old)))
        for group, samples in judged.new.items()
        if (old_group := _find_old_group(judged, group, judged.start_ms))
        and (
            old := version_samples.samples_since(
                judged.old[old_group], judged.start_ms
            )
        )
    ]
    return _find_slower_level(pairs, "the old version's")


def _find_earlier_comparisons(
    new: WarmSamples, old: WarmSamples
) -> list[_EarlierComparison]:
    """Selects the groups that may be compared with an earlier period."""
    now_ms = max(group_samples[-1].at_ms for group_samples in new.values())
    found = []
    for data_centre in {stratum.data_centre for stratum, _ in new}:
        history = {
            group: group_samples
            for group, group_samples in old.items()
            if group[0].data_centre == data_centre
        }
        start_ms = _find_control_start(history, now_ms)
        if start_ms is None:
            continue
        middle_ms = (start_ms + now_ms) / 2
        former = {
            group: version_samples.samples_before(group_samples, start_ms)
            for group, group_samples in history.items()
        }
        for (stratum, level), group_samples in new.items():
            samples = version_samples.samples_since(group_samples, start_ms)
            if stratum.data_centre != data_centre or not samples:
                continue
            before, factor = _select_old_at_load(
                former, stratum, level, samples
            )
            control = before and _control_ratios(
                history, start_ms, before[-1].at_ms
            )
            if control:
                latencies = [
                    latency * factor for latency in _list_latencies(before)
                ]
                found.append(
                    _EarlierComparison(
                        data_centre,
                        level,
                        samples,
                        latencies,
                        middle_ms,
                        control,
                    )
                )
    return found


def _select_old_at_load(
    history: WarmSamples,
    stratum: version_samples.Stratum,
    level: int,
    samples: tuple[version_samples.JudgedSample, ...],
) -> tuple[tuple[version_samples.JudgedSample, ...], float]:
    """Selects old samples at a load level and a factor for their latencies.

    Without samples of the level, those of the next lower known level are used.
    A server that batches requests slows down at most in proportion to its load,
    so their latencies are scaled by the ratio of the loads.
    """
    known = [
        other
        for (key, other), before in history.items()
        if key == stratum and len(before) >= MIN_SAMPLES and other <= level
    ]
    if not known:
        return (), 1.0
    before = history[stratum, max(known)][-EARLIER_SAMPLES:]
    if max(known) == level:
        return before, 1.0
    return before, max(_mean_load(samples) / _mean_load(before), 1.0)


def _find_control_start(history: WarmSamples, now_ms: int) -> int | None:
    """Returns the time of the oldest control sample, or None without enough."""
    times = sorted(
        sample.at_ms
        for samples in history.values()
        for sample in samples[-CONTROL_SAMPLES:]
    )[-CONTROL_SAMPLES:]
    if len(times) < CONTROL_SAMPLES:
        return None
    middle_ms = (times[0] + now_ms) / 2
    recent = sum(at_ms >= middle_ms for at_ms in times)
    return times[0] if recent >= MIN_CONTROL_RECENT else None


def _control_ratios(
    history: WarmSamples, start_ms: int, until_ms: int
) -> list[tuple[int, float]]:
    """Returns control latencies relative to the latencies before `until_ms`.

    The loads of both times may differ too much to be compared. Then the time
    between them is the reference, if the old version was as fast in that time
    as it was before.
    """
    now = {
        group: version_samples.samples_since(samples, start_ms)
        for group, samples in history.items()
    }
    before = {
        group: version_samples.samples_before(samples, until_ms)
        for group, samples in history.items()
    }
    control = _relative_latencies(now, before)
    if len(control) >= MIN_SAMPLES:
        return control
    between = {
        group: version_samples.samples_since(
            version_samples.samples_before(samples, start_ms), until_ms
        )
        for group, samples in history.items()
    }
    control = _relative_latencies(now, between)
    enough = len(control) >= MIN_SAMPLES and _is_steady(between, before)
    return control if enough else []


def _is_steady(now: WarmSamples, before: WarmSamples) -> bool:
    """Returns whether a version is as fast as before at equal load."""
    pairs = [
        _LatencyPair(_list_latencies(samples), _list_latencies(before[group]))
        for group, samples in now.items()
        if samples and len(before[group]) >= MIN_SAMPLES
    ]
    if sum(len(pair.new) for pair in pairs) < MIN_SAMPLES:
        return False
    ratio = _median_ratio(pairs)
    return ratio < SAME_SPEED or (
        ratio < DRIFT_SLOWDOWN and _rank_p_value(pairs) > DRIFT_SIGNIFICANCE
    )


def _relative_latencies(
    now: WarmSamples, before: WarmSamples
) -> list[tuple[int, float]]:
    """Divides latencies by the median of earlier latencies at their load."""
    return [
        (sample.at_ms, sample.latency / median)
        for group, samples in now.items()
        if len(before[group]) >= MIN_SAMPLES
        and (median := statistics.median(_list_latencies(before[group])))
        for sample in samples
    ]


def _find_lasting_slowdown(found: list[_EarlierComparison]) -> str | None:
    """Finds a slowdown in both halves of the time of the control samples."""
    for level in (0, *sorted({row.level for row in found})[1:]):
        rows = [row for row in found if row.level >= level]
        significance = SIGNIFICANCE_BY_LEVEL if level else SIGNIFICANCE
        halves = (
            [
                _LatencyPair(latencies, row.old)
                for row in rows
                if (latencies := _list_latencies(_split_halves(row)[half]))
            ]
            for half in (0, 1)
        )
        if not all(
            pairs and _median_ratio(pairs) >= DRIFT_SLOWDOWN for pairs in halves
        ) or not _excessive_slowdown(
            _pair_with_control(rows), MIN_CONTROL_SLOWDOWN, significance
        ):
            continue
        pairs = [
            _LatencyPair(_list_latencies(row.new), row.old) for row in rows
        ]
        slower = _excessive_slowdown(pairs, MAX_SLOWDOWN, significance)
        if slower:
            words = ", under load" if level else ""
            return (
                f"{slower:.1f} times the old version's at equal load "
                f"before{words}"
            )
    return None


def _split_halves(
    row: _EarlierComparison,
) -> tuple[
    tuple[version_samples.JudgedSample, ...],
    tuple[version_samples.JudgedSample, ...],
]:
    """Splits the new samples at the middle of the control period."""
    first = version_samples.samples_before(row.new, row.middle_ms)
    return first, row.new[len(first) :]


def _pair_with_control(found: list[_EarlierComparison]) -> list[_LatencyPair]:
    """Pairs new and control latencies, both relative to earlier latencies.

    A pair holds latencies of the same half of the control period, since both
    versions may become slower together.
    """
    pairs: dict[tuple[str, int], _LatencyPair] = {}
    first: dict[str, _EarlierComparison] = {}
    for row, half in itertools.product(found, (0, 1)):
        base = first.setdefault(row.data_centre, row)
        control = [
            relative
            for at_ms, relative in base.control
            if (at_ms >= base.middle_ms) == half
        ]
        pair = pairs.setdefault(
            (row.data_centre, half), _LatencyPair([], control)
        )
        # Each row has an earlier period of its own.
        scale = (
            statistics.median(row.old)
            * _median_drift(row)
            / _median_drift(base)
        )
        pair.new.extend(
            latency / scale
            for latency in _list_latencies(_split_halves(row)[half])
        )
    return [pair for pair in pairs.values() if pair.new and pair.old]


def _median_drift(row: _EarlierComparison) -> float:
    return statistics.median(relative for _, relative in row.control)


def _compare_stale(judged: _JudgedWindow) -> str | None:
    pairs = []
    for (stratum, level), samples in judged.new.items():
        before, factor = _select_old_at_load(
            judged.old, stratum, level, samples
        )
        if before:
            old = [latency * factor for latency in _list_latencies(before)]
            pairs.append(_LatencyPair(_list_latencies(samples), old))
    found = _excessive_slowdown(pairs, MAX_SLOWDOWN_STALE, SIGNIFICANCE)
    return f"{found:.1f} times the old version's before" if found else None


def _find_slower_level(
    pairs: list[tuple[int, _LatencyPair]], than: str
) -> str | None:
    """Judges all loads together, then those from each load level upward."""
    for level in (0, *sorted({level for level, _ in pairs})[1:]):
        loaded = [pair for other, pair in pairs if other >= level]
        significance = SIGNIFICANCE_BY_LEVEL if level else SIGNIFICANCE
        found = _excessive_slowdown(loaded, MAX_SLOWDOWN, significance)
        if found:
            words = ", under load" if level else ""
            return f"{found:.1f} times {than}{words}"
    return None


def _excessive_slowdown(
    pairs: list[_LatencyPair], allowed: float, significance: float
) -> float:
    """Returns the slowdown if it is significant and not allowed, else 0."""
    if (
        min(
            sum(len(pair.new) for pair in pairs),
            sum(len(pair.old) for pair in pairs),
        )
        < MIN_SAMPLES
    ):
        return 0.0
    ratio = _median_ratio(pairs)
    if ratio < allowed or _rank_p_value(pairs) >= significance:
        return 0.0
    return ratio


def _list_latencies(
    samples: Iterable[version_samples.JudgedSample],
) -> list[float]:
    return [sample.latency for sample in samples]


def _mean_load(samples: Iterable[version_samples.JudgedSample]) -> float:
    return statistics.fmean(sample.load for sample in samples)


def _median_ratio(pairs: list[_LatencyPair]) -> float:
    """Averages the ratios of the medians, weighted by the new samples."""
    return sum(
        statistics.median(pair.new)
        / max(statistics.median(pair.old), 0.1)
        * len(pair.new)
        for pair in pairs
    ) / sum(len(pair.new) for pair in pairs)


def _rank_p_value(pairs: list[_LatencyPair]) -> float:
    """Returns the one-sided p-value of the hypothesis of equal latencies.

    This is the Mann-Whitney test in its normal approximation, with ranks within
    the pairs and sums over the pairs.
    """
    excess = variance = 0.0
    for pair in pairs:
        old = sorted(pair.old)
        above = sum(
            bisect.bisect_left(old, latency) + bisect.bisect_right(old, latency)
            for latency in pair.new
        )
        sizes = len(pair.new) * len(old)
        excess += (above - sizes) / 2
        variance += sizes * (len(pair.new) + len(old) + 1) / 12
    if not variance:
        return 1.0
    z = excess / math.sqrt(variance)
    return math.erfc(z / math.sqrt(2)) / 2
