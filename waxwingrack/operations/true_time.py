"""True time of a process whose wall clock may step.

The monotonic clock never steps but has no known start; the wall clock has one
but may be set wrong for a while. The median of their recent differences ignores
a wrong wall clock as long as it is right for most of the samples.
"""

import dataclasses
import math
import statistics

# Interval of the samples of the wall clock, in milliseconds.
SAMPLE_INTERVAL_MS = 1_000
# Samples kept. A step of the wall clock has no effect while it lasts for less
# than half of them: clocks that are set wrong are corrected within seconds.
MAX_SAMPLES = 61
# Latest wall clock that counts as one, in milliseconds: the year 2286.
MAX_WALL_MS = 10_000_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class TrueTime:
    """Difference between true time and the monotonic clock.

    Attributes:
      offset_ms: True time minus monotonic time; None before the first sample.
      sampled_ms: Monotonic time of the last sample; None before the first.
      offsets_ms: Differences in the recent samples, oldest first.
    """

    offset_ms: int | None = None
    sampled_ms: int | None = None
    offsets_ms: tuple[int, ...] = ()


def is_sample_due(clock: TrueTime, monotonic_ms: int) -> bool:
    """Returns whether the wall clock should be read.

    Args:
      clock: The samples so far.
      monotonic_ms: Monotonic clock.
    """
    return (
        clock.sampled_ms is None
        or monotonic_ms - clock.sampled_ms >= SAMPLE_INTERVAL_MS
    )


def add_sample(clock: TrueTime, wall_ms: float, monotonic_ms: int) -> TrueTime:
    """Adds a sample of the wall clock.

    Args:
      clock: The samples so far.
      wall_ms: Wall clock in milliseconds since 1970-01-01.
      monotonic_ms: Monotonic clock, read at the same time.

    Returns:
      The new samples; a wall clock that is no time is left out.
    """
    if not math.isfinite(wall_ms) or not 0 <= wall_ms <= MAX_WALL_MS:
        return dataclasses.replace(clock, sampled_ms=monotonic_ms)
    offsets_ms = (*clock.offsets_ms, round(wall_ms) - monotonic_ms)
    offsets_ms = offsets_ms[-MAX_SAMPLES:]
    return TrueTime(statistics.median_low(offsets_ms), monotonic_ms, offsets_ms)


def to_true_ms(clock: TrueTime, monotonic_ms: int) -> int | None:
    """Converts monotonic time to true time.

    Args:
      clock: The samples.
      monotonic_ms: Monotonic time.

    Returns:
      Milliseconds since 1970-01-01, or None before the first sample.
    """
    if clock.offset_ms is None:
        return None
    return clock.offset_ms + monotonic_ms
