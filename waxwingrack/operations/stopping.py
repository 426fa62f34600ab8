"""Refusal of requests that a stopping router could not answer in time.

Load that this answers: a router is stopped while its requests wait for grants,
because backend servers are busy or an earlier attempt failed. A request that is
sent to a server shortly before the process ends is cut off, and nobody knows
whether it ran. Refused while it still waits, its caller can turn to another
router at once.

How long a request will take follows from the latest answers of its route. A
route without any is given the benefit of the doubt.
"""

import dataclasses

# Weights of the latest answer, as in the estimator of RFC 6298.
MEAN_STEP = 1 / 8
DEVIATION_STEP = 1 / 4
# Number of mean deviations above the mean that leaves out only a few answers in
# a hundred.
DEVIATIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTimes:
    """Times that the answers of a route take.

    Attributes:
      mean_ms: Mean time from the dispatch of a request to the end of its
        answer.
      deviation_ms: Mean deviation from it.
    """

    mean_ms: float
    deviation_ms: float


def add_answer_time(known: AnswerTimes | None, time_ms: float) -> AnswerTimes:
    """Updates the times of a route.

    Args:
      known: Times before the answer; None if it is the first.
      time_ms: Time that the answer took.
    """
    if known is None:
        return AnswerTimes(time_ms, time_ms / 2)
    error_ms = time_ms - known.mean_ms
    return AnswerTimes(
        known.mean_ms + MEAN_STEP * error_ms,
        known.deviation_ms
        + DEVIATION_STEP * (abs(error_ms) - known.deviation_ms),
    )


def can_answer_in_time(
    stop_left_ms: float,
    request_left_ms: float | None,
    known: AnswerTimes | None,
) -> bool:
    """Tells whether a request can still be sent to a backend server.

    Args:
      stop_left_ms: Time until running requests are cut off; negative after it.
      request_left_ms: Time until the deadline of the request; None if it has
        none.
      known: Times of its route; None if it has had no answer.
    """
    needed_ms = 0.0
    if known is not None:
        needed_ms = known.mean_ms + DEVIATIONS * known.deviation_ms
    if request_left_ms is not None:
        needed_ms = min(needed_ms, request_left_ms)
    return needed_ms < stop_left_ms
