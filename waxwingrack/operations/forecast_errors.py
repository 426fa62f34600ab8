"""Learned error of the forecasts of a service.

Load that this answers: engines whose speed varies and links that delay
messages. A fixed reserve of the latency target is too small for some services,
whose granted requests end late, and too large for others, which refuse what
they could serve.

The reserve is a running high quantile of the error of the forecasts, as a
fraction of the latency target: the actual time to the first byte minus the
expected one. Each observation moves it by a fixed step, so one outlier cannot
move it far.
"""

import dataclasses
import math

# Part of the requests that are to begin within the reserve. The last tenth
# would cost more refusals than the late answers that it prevents.
QUANTILE = 0.9
# Reserve before any observation, as a fraction of the latency target.
START_FRACTION = 0.15
# Bounds of the reserve, as fractions of the latency target.
MIN_FRACTION = 0.05
MAX_FRACTION = 0.4
# Largest change by one observation, as a fraction of the latency target.
STEP_FRACTION = 0.004
# Only forecasts of at least this fraction of the target are observed. Shorter
# ones are met in calm times too and say nothing about those near the limit.
MIN_OBSERVED_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ForecastErrors:
    """Learned error of the forecasts of a service.

    Attributes:
      reserve: Fraction of the latency target that is reserved.
      observed: Number of observations.
    """

    reserve: float = START_FRACTION
    observed: int = 0


def observe(
    errors: ForecastErrors,
    expected_ms: float,
    actual_ms: float,
    target_ms: int,
) -> ForecastErrors:
    """Updates the error with an answer that has begun.

    Args:
      errors: Errors so far.
      expected_ms: Expected time from the arrival of the request to the first
        byte of its answer.
      actual_ms: Actual time.
      target_ms: Latency target.

    Returns:
      The new errors; the same if the observation cannot be used.
    """
    usable = (
        target_ms > 0
        and math.isfinite(expected_ms)
        and math.isfinite(actual_ms)
        and actual_ms >= 0
        and expected_ms >= MIN_OBSERVED_FRACTION * target_ms
    )
    if not usable:
        return errors
    is_above = (actual_ms - expected_ms) / target_ms > errors.reserve
    change = STEP_FRACTION * (QUANTILE if is_above else QUANTILE - 1)
    reserve = min(MAX_FRACTION, max(MIN_FRACTION, errors.reserve + change))
    return ForecastErrors(reserve, errors.observed + 1)


def compute_slack_ms(
    errors: ForecastErrors, target_ms: int, passed_ms: float, run_ms: float
) -> float:
    """Computes how long a request may wait for its grant.

    Args:
      errors: Learned error of the forecasts.
      target_ms: Latency target.
      passed_ms: Time since the caller's request arrived at its router; values
        outside 0 to the target count as the nearest of both.
      run_ms: Time from the grant to the first byte.

    Returns:
      The time in milliseconds; negative if the request will be late.
    """
    passed_ms = min(float(target_ms), max(0.0, passed_ms))
    return (1 - errors.reserve) * target_ms - passed_ms - run_ms
