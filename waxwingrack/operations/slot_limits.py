"""Slot limit of a backend server.

The limit starts at 1 and grows by one after every `COMPLETIONS_PER_INCREASE`
consecutive good completions, up to the announced slots. A completion is good if
its latency is near the median. A server that stays slower without failures
counts as warm after `SETTLE_MS`, as its VM may just be slower than others.

The limit is cut to 1 after consecutive failures and when a cold start is
detected: the latest latencies are all several times the median of the service,
version, data centre and route, and the server's peers are not as slow. Results
of requests granted before a cut count neither for growth nor for another cut.
"""

from collections.abc import Iterable
import math
import statistics

from waxwingrack.core import data

# Consecutive good completions that raise the limit by one.
COMPLETIONS_PER_INCREASE = 2
# Latency above the usual, as a factor, from which on a completion does not
# raise the limit. With SLOW_FACTOR as the bound a server that ran 5 times
# slower while cold was given a second request as soon as the usual latency
# held a few milliseconds that do not depend on the server.
MAX_GOOD_FACTOR = 2.0
# Time since the first answer after a start or cut after which answers between
# MAX_GOOD_FACTOR and SLOW_FACTOR raise the limit too.
SETTLE_MS = 60_000
# Latency above the usual, as a factor, that counts as slow.
SLOW_FACTOR = 4.0
# Consecutive slow answers that show a cold start. With a log-normal spread of
# sigma 1 four in a row happen by chance less than once in 20,000 answers.
SLOW_ANSWERS = 4
# Consecutive failures that cut the limit.
MAX_FAILURES = 3
# A peer must be this many times faster for a slow server to count as cold.
PEER_FACTOR = 2.5
# Age after which the latency of a peer says nothing about the present.
MAX_PEER_AGE_MS = 10_000
# Step of the running median in log scale, and its value for the first answers.
MEDIAN_STEP = 0.03
FIRST_MEDIAN_STEP = 0.5
# Shortest latency that is told apart; below it the timer's noise dominates.
MIN_LATENCY_MS = 1.0
# Back-off after a connect failure, and its upper bound.
BACK_OFF_MS = 500
MAX_BACK_OFF_MS = 15_000

_FAILURES = frozenset(
    (
        data.Outcome.SERVER_ERROR,
        data.Outcome.CONNECTION_LOST,
        data.Outcome.TIMED_OUT,
    )
)


def create_initial_limit(slots: int) -> data.SlotLimit:
    """Returns the ramp of a new incarnation."""
    return data.SlotLimit(limit=min(1, slots), announced_slots=slots)


def create_full_limit(slots: int) -> data.SlotLimit:
    """Returns the ramp of a server that is used fully from its start."""
    return data.SlotLimit(limit=slots, announced_slots=slots)


def raise_to_running(ramp: data.SlotLimit, running: int) -> data.SlotLimit:
    """Raises the limit of a server that a new leader meets under load."""
    limit = min(ramp.announced_slots, max(ramp.limit, running))
    return data.evolve(ramp, limit=limit)


def apply_announced_slots(ramp: data.SlotLimit, slots: int) -> data.SlotLimit:
    """Applies the announced slots."""
    if ramp.announced_slots == slots:
        return ramp
    return data.evolve(
        ramp, announced_slots=slots, limit=min(max(1, ramp.limit), slots)
    )


def cut_limit(ramp: data.SlotLimit, now_ms: int) -> data.SlotLimit:
    """Cuts the limit to 1."""
    return data.SlotLimit(
        limit=min(1, ramp.announced_slots),
        announced_slots=ramp.announced_slots,
        cut_ms=now_ms,
        latest_ratio=ramp.latest_ratio,
        latest_ratio_ms=ramp.latest_ratio_ms,
    )


def update_median(
    usual: data.LatencyMedian | None, latency_ms: float
) -> data.LatencyMedian:
    """Moves the running median towards a latency.

    The step does not depend on the distance, so outliers move the median no
    more than other answers.
    """
    latency_ms = max(latency_ms, MIN_LATENCY_MS)
    if usual is None:
        return data.LatencyMedian(latency_ms)
    step = max(MEDIAN_STEP, FIRST_MEDIAN_STEP / usual.count)
    distance = math.log(latency_ms / usual.median_ms)
    move = max(-step, min(step, distance))
    return data.LatencyMedian(usual.median_ms * math.exp(move), usual.count + 1)


def compute_latency_ratio(
    usual: data.LatencyMedian | None, latency_ms: float
) -> float:
    """Returns a latency as a multiple of the usual one."""
    if usual is None:
        return 1.0
    return max(latency_ms, MIN_LATENCY_MS) / usual.median_ms


def record_outcome(
    ramp: data.SlotLimit,
    outcome: data.Outcome,
    slowness: float,
    granted_ms: int,
    now_ms: int,
) -> data.SlotLimit:
    """Takes the end of a request into the ramp.

    Args:
      ramp: Ramp of the server.
      outcome: How the request ended.
      slowness: Latency as a multiple of the usual one; used if completed.
      granted_ms: Time of the grant.
      now_ms: Present time.

    Returns:
      The new ramp; `slow` and `failures` tell whether a cut is due.
    """
    if granted_ms < ramp.cut_ms:
        return ramp
    if outcome in _FAILURES:
        return data.evolve(ramp, failures=ramp.failures + 1, good_completions=0)
    if outcome is not data.Outcome.COMPLETED:
        return ramp
    if ramp.answered_ms < 0:
        ramp = data.evolve(ramp, answered_ms=now_ms)
    if slowness >= SLOW_FACTOR:
        return data.evolve(
            ramp,
            good_completions=0,
            failures=0,
            slow_ratios=(*ramp.slow_ratios, slowness)[-SLOW_ANSWERS:],
            slow_since_ms=ramp.slow_since_ms if ramp.slow_ratios else now_ms,
            latest_ratio=slowness,
            latest_ratio_ms=now_ms,
        )
    settled = now_ms - ramp.answered_ms >= SETTLE_MS
    good = (
        ramp.good_completions + 1
        if slowness < MAX_GOOD_FACTOR or settled
        else 0
    )
    grown = (
        good >= COMPLETIONS_PER_INCREASE and ramp.limit < ramp.announced_slots
    )
    return data.SlotLimit(
        limit=ramp.limit + 1 if grown else ramp.limit,
        announced_slots=ramp.announced_slots,
        good_completions=0 if grown else min(good, COMPLETIONS_PER_INCREASE),
        cut_ms=ramp.cut_ms,
        answered_ms=ramp.answered_ms,
        latest_ratio=slowness,
        latest_ratio_ms=now_ms,
    )


def is_suspected_cold(ramp: data.SlotLimit) -> bool:
    """Tells whether the latest answers were all slow."""
    return len(ramp.slow_ratios) >= SLOW_ANSWERS


def is_cold(
    ramp: data.SlotLimit, peers: Iterable[data.SlotLimit], now_ms: int
) -> bool:
    """Tells whether a slow server is slower than its peers are now.

    A slowdown of the whole service shows at the peers as well and is no reason
    to cut. Peers that have answered since the server became slow are compared;
    while none of them has, the verdict waits. A server without recent peers is
    compared with its own past alone.

    Args:
      ramp: Ramp of the server.
      peers: Ramps of the other servers of the same service, version and data
        centre.
      now_ms: Present time.

    Returns:
      Whether the limit has to be cut.
    """
    recent = [
        peer
        for peer in peers
        if 0 <= peer.latest_ratio_ms >= now_ms - MAX_PEER_AGE_MS
    ]
    if not recent:
        return True
    since = [
        peer.latest_ratio
        for peer in recent
        if peer.latest_ratio_ms >= ramp.slow_since_ms
    ]
    if not since:
        return False
    return min(ramp.slow_ratios) >= PEER_FACTOR * statistics.median(since)


def is_failing(ramp: data.SlotLimit) -> bool:
    """Tells whether consecutive failures call for a cut."""
    return ramp.failures >= MAX_FAILURES


def compute_back_off_ms(connect_failures: int) -> int:
    """Returns the back-off after so many consecutive connect failures."""
    doubled = BACK_OFF_MS * 2 ** min(connect_failures - 1, 10)
    return min(MAX_BACK_OFF_MS, doubled)
