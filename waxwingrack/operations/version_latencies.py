"""Comparison of the latencies of two versions, for the latency judge.

Latencies are compared within groups of equal route, data centre and level of
the server's load, as a slow data centre and a busy service slow both versions.
Three comparisons are tried in turn:

* the same period: old samples of the judged time at the same level of load;
* an earlier period: at nearly full share the old servers are nearly idle, so
  levels of load that they bear no more are compared with what they took there
  before. This counts only in data centres in which the old version, at the
  loads that it still bears, is as fast now as it was then;
* stale: without present old samples, old samples of any time, with a larger
  allowed slowdown.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import itertools
import math
import statistics
from typing import TypeAlias

from waxwingrack.operations import version_samples

# Newest samples of the new version per stratum that are looked at. The short
# window shows a slow version soon; the long one holds enough old samples at
# the small share of old servers in the watch period.
WINDOWS = (32, 128)
MIN_SAMPLES = 8
# Newest old samples that an earlier period is judged by, per level of load.
EARLIER_SAMPLES = 64
# A new version may be this much slower than the old one.
MAX_SLOWDOWN = 1.5
# In a stale comparison the data centre may have become slower, so only a larger
# slowdown counts.
MAX_SLOWDOWN_STALE = 2.5
# Chance below which a slowdown is not explained by equally fast versions. More
# groups are tested one by one by level of load, so each gets a lower chance.
CHANCE = 1e-4
CHANCE_BY_LEVEL = 1e-6
# Newest old samples of a data centre that show whether it is as fast as before,
# and fewest of them in the newer half of their time.
CONTROL_SAMPLES = 16
MIN_CONTROL_RECENT = 5
# A version counts as slower than before above DRIFT_SLOWDOWN, or above
# SAME_SPEED and below this chance of being equally fast. A slowdown of the new
# version must be above DRIFT_SLOWDOWN in both halves of the time of the control
# samples.
SAME_SPEED = 1.1
DRIFT_SLOWDOWN = 1.25
DRIFT_CHANCE = 0.2
# The slowdown must also exceed that of the control samples by this factor.
MIN_CONTROL_SLOWDOWN = 1.4

# Samples whose latency counts, by stratum and level of the load.
WarmSamples: TypeAlias = dict[
    tuple[version_samples.Stratum, int],
    tuple[version_samples.JudgedSample, ...],
]


@dataclasses.dataclass(frozen=True, slots=True)
class _Pair:
    """Latencies of both versions in one group, in milliseconds."""

    new: list[float]
    old: list[float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Earlier:
    """New samples of a group and what an earlier period says of them.

    Attributes:
      data_centre: Data centre.
      level: Level of the load.
      new: New samples since the oldest control sample.
      old: Old latencies of an earlier period at this load.
      middle_ms: Middle of the time of `new`.
      control: Times and present latencies of the old version in this data
        centre, each divided by the median of the earlier ones at its load.
    """

    data_centre: str
    level: int
    new: tuple[version_samples.JudgedSample, ...]
    old: list[float]
    middle_ms: float
    control: list[tuple[int, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Judged:
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
      The reason to take the new version back, or None.
    """
    new = {group: one for group, one in new.items() if group[0].route == route}
    if not new:
        return None
    windows = [_judged(new, old, window) for window in WINDOWS]
    present = [judged for judged in windows if _reaches(judged)]
    verdicts = [_same_period(judged) for judged in present]
    earlier = _earlier_periods(new, old)
    verdicts.append(_lasting(earlier))
    if not present and not earlier:
        verdicts.append(_stale(windows[0]))
    found = next((verdict for verdict in verdicts if verdict), None)
    return found and f"latency on route {route}: {found}"


def _judged(new: WarmSamples, old: WarmSamples, window: int) -> _Judged:
    """Selects the newest samples of each stratum."""
    times: dict[version_samples.Stratum, list[int]] = {}
    for (stratum, _), ended in new.items():
        times.setdefault(stratum, []).extend(
            one.at_ms for one in ended[-window:]
        )
    newest = {
        stratum: sorted(found)[-window:] for stratum, found in times.items()
    }
    judged = {
        group: samples
        for group, ended in new.items()
        if (
            samples := version_samples.samples_since(ended, newest[group[0]][0])
        )
    }
    all_times = list(itertools.chain.from_iterable(newest.values()))
    return _Judged(judged, old, min(all_times), statistics.median(all_times))


def _since(samples: WarmSamples, start_ms: float) -> WarmSamples:
    return {
        group: version_samples.samples_since(ended, start_ms)
        for group, ended in samples.items()
    }


# ---------------------------------------------------------------------------
# Comparisons
# ---------------------------------------------------------------------------


def _reaches(judged: _Judged) -> bool:
    """Whether old samples reach into the newer half of the judged ones.

    The data centre or the service may have become slower just then.
    """
    recent = (
        version_samples.samples_since(
            judged.old.get(group, ()), judged.middle_ms
        )
        for group in judged.new
    )
    return sum(map(len, recent)) >= MIN_SAMPLES


def _same_period(judged: _Judged) -> str | None:
    pairs = [
        (group[1], _Pair(_latencies(ended), _latencies(old)))
        for group, ended in judged.new.items()
        if (
            old := version_samples.samples_since(
                judged.old.get(group, ()), judged.start_ms
            )
        )
    ]
    return _slower(pairs, "the old version's")


def _earlier_periods(new: WarmSamples, old: WarmSamples) -> list[_Earlier]:
    """Finds the loads at which an earlier period may be compared with."""
    now_ms = max(ended[-1].at_ms for ended in new.values())
    found = []
    for data_centre in {stratum.data_centre for stratum, _ in new}:
        history = {
            group: ended
            for group, ended in old.items()
            if group[0].data_centre == data_centre
        }
        start_ms = _control_start(history, now_ms)
        if start_ms is None:
            continue
        middle_ms = (start_ms + now_ms) / 2
        former = {
            group: version_samples.samples_before(ended, start_ms)
            for group, ended in history.items()
        }
        for (stratum, level), ended in new.items():
            samples = version_samples.samples_since(ended, start_ms)
            if stratum.data_centre != data_centre or not samples:
                continue
            before, factor = _at_load(former, stratum, level, samples)
            control = before and _control(history, start_ms, before[-1].at_ms)
            if control:
                latencies = [one * factor for one in _latencies(before)]
                found.append(
                    _Earlier(
                        data_centre,
                        level,
                        samples,
                        latencies,
                        middle_ms,
                        control,
                    )
                )
    return found


def _at_load(
    history: WarmSamples,
    stratum: version_samples.Stratum,
    level: int,
    samples: tuple[version_samples.JudgedSample, ...],
) -> tuple[tuple[version_samples.JudgedSample, ...], float]:
    """Returns old samples at a load, and the factor of their latencies.

    Without any, those of the next lower known level stand in. A server that
    batches slows down at most in proportion to its load, hence the factor.
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


def _control_start(history: WarmSamples, now_ms: int) -> int | None:
    """Returns the time of the oldest control sample, or None without enough."""
    times = sorted(
        one.at_ms
        for ended in history.values()
        for one in ended[-CONTROL_SAMPLES:]
    )[-CONTROL_SAMPLES:]
    if len(times) < CONTROL_SAMPLES:
        return None
    middle_ms = (times[0] + now_ms) / 2
    recent = sum(at_ms >= middle_ms for at_ms in times)
    return times[0] if recent >= MIN_CONTROL_RECENT else None


def _control(
    history: WarmSamples, start_ms: int, until_ms: int
) -> list[tuple[int, float]]:
    """Returns the present latencies relative to those until a time.

    Loads of both times may differ too much to be compared. Then the time
    between them stands in, if the old version stayed as fast until then.
    """
    now = {
        group: version_samples.samples_since(samples, start_ms)
        for group, samples in history.items()
    }
    before = {
        group: version_samples.samples_before(samples, until_ms)
        for group, samples in history.items()
    }
    control = _relative(now, before)
    if len(control) >= MIN_SAMPLES:
        return control
    between = {
        group: version_samples.samples_since(
            version_samples.samples_before(samples, start_ms), until_ms
        )
        for group, samples in history.items()
    }
    control = _relative(now, between)
    enough = len(control) >= MIN_SAMPLES and _steady(between, before)
    return control if enough else []


def _steady(now: WarmSamples, before: WarmSamples) -> bool:
    """Whether a version is as fast as it was before, at equal load."""
    pairs = [
        _Pair(_latencies(samples), _latencies(before[group]))
        for group, samples in now.items()
        if samples and len(before[group]) >= MIN_SAMPLES
    ]
    if sum(len(pair.new) for pair in pairs) < MIN_SAMPLES:
        return False
    ratio = _ratio(pairs)
    return ratio < SAME_SPEED or (
        ratio < DRIFT_SLOWDOWN and _rank_chance(pairs) > DRIFT_CHANCE
    )


def _relative(now: WarmSamples, before: WarmSamples) -> list[tuple[int, float]]:
    """Divides latencies by the median of earlier ones at their load."""
    return [
        (one.at_ms, one.latency_ms / median)
        for group, samples in now.items()
        if len(before[group]) >= MIN_SAMPLES
        and (median := statistics.median(_latencies(before[group])))
        for one in samples
    ]


def _lasting(found: list[_Earlier]) -> str | None:
    """Finds a slowdown that lasts as long as the control samples."""
    for level in (0, *sorted({row.level for row in found})[1:]):
        rows = [row for row in found if row.level >= level]
        chance = CHANCE_BY_LEVEL if level else CHANCE
        halves = (
            [
                _Pair(latencies, row.old)
                for row in rows
                if (latencies := _latencies(_halves(row)[half]))
            ]
            for half in (0, 1)
        )
        if not all(
            pairs and _ratio(pairs) >= DRIFT_SLOWDOWN for pairs in halves
        ) or not _exceeds(_against_control(rows), MIN_CONTROL_SLOWDOWN, chance):
            continue
        pairs = [_Pair(_latencies(row.new), row.old) for row in rows]
        slower = _exceeds(pairs, MAX_SLOWDOWN, chance)
        if slower:
            words = ", under load" if level else ""
            return (
                f"{slower:.1f} times the old version's at equal load "
                f"before{words}"
            )
    return None


def _halves(
    row: _Earlier,
) -> tuple[
    tuple[version_samples.JudgedSample, ...],
    tuple[version_samples.JudgedSample, ...],
]:
    """Splits the new samples at the middle of their time."""
    first = version_samples.samples_before(row.new, row.middle_ms)
    return first, row.new[len(first) :]


def _against_control(found: list[_Earlier]) -> list[_Pair]:
    """Pairs new and control latencies, both relative to earlier ones.

    Pairs are of the same half of the time, as all may become slower together.
    """
    pairs: dict[tuple[str, int], _Pair] = {}
    first: dict[str, _Earlier] = {}
    for row, half in itertools.product(found, (0, 1)):
        base = first.setdefault(row.data_centre, row)
        control = [
            relative
            for at_ms, relative in base.control
            if (at_ms >= base.middle_ms) == half
        ]
        pair = pairs.setdefault((row.data_centre, half), _Pair([], control))
        # Rows refer to earlier periods of their own.
        scale = statistics.median(row.old) * _drift(row) / _drift(base)
        pair.new.extend(
            latency / scale for latency in _latencies(_halves(row)[half])
        )
    return [pair for pair in pairs.values() if pair.new and pair.old]


def _drift(row: _Earlier) -> float:
    return statistics.median(relative for _, relative in row.control)


def _stale(judged: _Judged) -> str | None:
    pairs = []
    for (stratum, level), ended in judged.new.items():
        before, factor = _at_load(judged.old, stratum, level, ended)
        if before:
            old = [latency * factor for latency in _latencies(before)]
            pairs.append(_Pair(_latencies(ended), old))
    found = _exceeds(pairs, MAX_SLOWDOWN_STALE, CHANCE)
    return f"{found:.1f} times the old version's before" if found else None


def _slower(pairs: list[tuple[int, _Pair]], than: str) -> str | None:
    """Judges all loads together, then the loads from each level on."""
    for level in (0, *sorted({level for level, _ in pairs})[1:]):
        loaded = [pair for other, pair in pairs if other >= level]
        chance = CHANCE_BY_LEVEL if level else CHANCE
        found = _exceeds(loaded, MAX_SLOWDOWN, chance)
        if found:
            words = ", under load" if level else ""
            return f"{found:.1f} times {than}{words}"
    return None


def _exceeds(pairs: list[_Pair], allowed: float, chance: float) -> float:
    """Returns the slowdown if it is above what is allowed, else 0."""
    if (
        min(
            sum(len(pair.new) for pair in pairs),
            sum(len(pair.old) for pair in pairs),
        )
        < MIN_SAMPLES
    ):
        return 0.0
    ratio = _ratio(pairs)
    if ratio < allowed or _rank_chance(pairs) >= chance:
        return 0.0
    return ratio


def _latencies(ended: Iterable[version_samples.JudgedSample]) -> list[float]:
    return [one.latency_ms for one in ended]


def _mean_load(ended: Iterable[version_samples.JudgedSample]) -> float:
    return statistics.fmean(one.load for one in ended)


def _ratio(pairs: list[_Pair]) -> float:
    """Ratio of the medians, averaged over the pairs by new samples."""
    return sum(
        statistics.median(pair.new)
        / max(statistics.median(pair.old), 0.1)
        * len(pair.new)
        for pair in pairs
    ) / sum(len(pair.new) for pair in pairs)


def _rank_chance(pairs: list[_Pair]) -> float:
    """Chance that both versions are equally fast, by ranks within the pairs.

    This is the Mann-Whitney test with the normal approximation, summed over
    the pairs.
    """
    excess = variance = 0.0
    for pair in pairs:
        old = sorted(pair.old)
        above = sum(
            bisect.bisect_left(old, one) + bisect.bisect_right(old, one)
            for one in pair.new
        )
        sizes = len(pair.new) * len(old)
        excess += (above - sizes) / 2
        variance += sizes * (len(pair.new) + len(old) + 1) / 12
    if not variance:
        return 1.0
    z = excess / math.sqrt(variance)
    return math.erfc(z / math.sqrt(2)) / 2
