"""Demand for servers, as smoothed samples and peaks of the recent past.

All demands are in servers: the number that would be in full use all the time.
Records are immutable; a time is in milliseconds of the monotonic clock.
"""

from collections.abc import Iterable
import dataclasses
import math
import statistics

# Samples of which the median counts as the present demand. At one a second,
# demand counts once it has lasted for three seconds, and no single false sample
# counts.
SAMPLES = 5
# Steps into which the window of a peak is divided, which bounds its memory.
PEAK_STEPS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Peak:
    """Highest values of a sliding window.

    Attributes:
      entries: Pairs of time and value. Times rise and values fall, as a value
        below a later one cannot become the peak any more.
    """

    entries: tuple[tuple[int, float], ...] = ()

    @property
    def value(self) -> float:
        """Highest value of the window; 0 without any."""
        return self.entries[0][1] if self.entries else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for the servers of a service.

    Attributes:
      samples: Latest samples, the newest last.
      peak: Peak of the smoothed demand.
    """

    samples: tuple[float, ...] = ()
    peak: Peak = Peak()

    @property
    def present(self) -> float:
        """Smoothed demand; 0 until half of the samples are known."""
        missing = max(0, SAMPLES - len(self.samples))
        return statistics.median((*self.samples, *(0.0,) * missing))


def add_value(peak: Peak, value: float, at_ms: int, window_ms: float) -> Peak:
    """Adds a value to a sliding window.

    Args:
      peak: Window so far.
      value: New value.
      at_ms: Its time, not before that of the former ones.
      window_ms: Length of the window.
    """
    step_ms = max(1, math.ceil(window_ms / PEAK_STEPS))
    kept = [
        (time_ms, old)
        for time_ms, old in peak.entries
        if old > value and at_ms - time_ms <= window_ms
    ]
    # A step keeps its highest value under the time of its end, so that it is
    # kept for at least the window.
    end_ms = (at_ms // step_ms + 1) * step_ms
    if kept and kept[-1][0] == end_ms:
        return Peak(tuple(kept))
    return Peak((*kept, (end_ms, value)))


def add_sample(
    demand: Demand, sample: float, at_ms: int, window_ms: float
) -> Demand:
    """Adds a sample of the demand.

    Args:
      demand: Demand so far.
      sample: Servers that would be in full use, finite and not negative.
      at_ms: Time of the sample.
      window_ms: Length of the window of the peak.
    """
    smoothed = Demand((*demand.samples, sample)[-SAMPLES:])
    return Demand(
        smoothed.samples,
        add_value(demand.peak, smoothed.present, at_ms, window_ms),
    )


def spread(
    total: float, weights: Iterable[float], low: int, high: int
) -> list[float]:
    """Divides servers among data centres within their limits.

    Args:
      total: Servers to divide.
      weights: Weight of each data centre, not negative.
      low: Fewest servers of a data centre.
      high: Most servers of a data centre.

    Returns:
      Servers of each data centre, in order of the weights. They follow the
      weights except where a limit holds, and add up to the total unless all
      limits hold.
    """
    weights = list(weights)
    if not any(weights):
        weights = [1.0] * len(weights)
    counts: dict[int, float] = {}
    # Each round fixes the data centres that are over a limit, on the side that
    # deviates more, as this moves the others towards the opposite limit.
    while len(counts) < len(weights):
        free = [index for index in range(len(weights)) if index not in counts]
        left = total - sum(counts.values())
        weight = sum(weights[index] for index in free)
        shares = {
            index: left * (weights[index] / weight if weight else 1 / len(free))
            for index in free
        }
        over = sum(max(0.0, share - high) for share in shares.values())
        under = sum(max(0.0, low - share) for share in shares.values())
        if not over and not under:
            counts.update(shares)
        elif over >= under:
            counts.update((i, high) for i in free if shares[i] > high)
        else:
            counts.update((i, low) for i in free if shares[i] < low)
    return [float(counts[index]) for index in range(len(weights))]
