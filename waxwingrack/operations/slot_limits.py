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

# Consecutive good completions after which the limit is raised by one.
COMPLETIONS_PER_INCREASE = 2
# Multiple of the median latency below which a completion is good. With
# SLOW_FACTOR as the bound, a cold server that ran 5 times slower got a second
# request as soon as the median included a few milliseconds that do not depend
# on the server.
MAX_GOOD_FACTOR = 2.0
# Time since the first answer after a start or cut from which answers between
# MAX_GOOD_FACTOR and SLOW_FACTOR are good completions, too.
SETTLE_MS = 60_000
# Multiple of the median latency from which an answer is slow.
SLOW_FACTOR = 4.0
# Consecutive slow answers that indicate a cold start. With log-normal latencies
# of sigma 1, four in a row occur by chance less than once in 20,000 answers.
SLOW_ANSWERS = 4
# Consecutive failures after which the limit is cut.
MAX_FAILURES = 3
# Multiple of the median of its peers from which a slow server counts as cold.
PEER_FACTOR = 2.5
# Age from which the latest latency of a peer is ignored.
MAX_PEER_AGE_MS = 10_000
# Step of the running median in log scale, and the first step, which is divided
# by the number of answers.
MEDIAN_STEP = 0.03
FIRST_MEDIAN_STEP = 0.5
# Shorter latencies are raised to this one, as timer noise dominates below it.
MIN_LATENCY_MS = 1.0
# Back-off after the first connect failure, and the upper bound of its doubling.
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
    """Creates the slot limit of a new incarnation."""
    return data.SlotLimit(limit=min(1, slots), announced_slots=slots)


def create_full_limit(slots: int) -> data.SlotLimit:
    """Creates the slot limit of a server that is fully used from its start."""
    return data.SlotLimit(limit=slots, announced_slots=slots)


def raise_to_running(
    slot_limit: data.SlotLimit, running: int
) -> data.SlotLimit:
    """Raises the limit to the requests that a new leader finds running."""
    limit = min(slot_limit.announced_slots, max(slot_limit.limit, running))
    return data.evolve(slot_limit, limit=limit)


def apply_announced_slots(
    slot_limit: data.SlotLimit, slots: int
) -> data.SlotLimit:
    """Applies the announced number of slots."""
    if slot_limit.announced_slots == slots:
        return slot_limit
    return data.evolve(
        slot_limit,
        announced_slots=slots,
        limit=min(max(1, slot_limit.limit), slots),
    )


def cut_limit(slot_limit: data.SlotLimit, now_ms: int) -> data.SlotLimit:
    """Cuts the limit to 1."""
    return data.SlotLimit(
        limit=min(1, slot_limit.announced_slots),
        announced_slots=slot_limit.announced_slots,
        cut_ms=now_ms,
        latest_ratio=slot_limit.latest_ratio,
        latest_ratio_ms=slot_limit.latest_ratio_ms,
    )


def update_median(
    median: data.LatencyMedian | None, latency_ms: float
) -> data.LatencyMedian:
    """Moves the running median towards a latency.

    The step is limited, so outliers move the median no more than other
    latencies.
    """
    latency_ms = max(latency_ms, MIN_LATENCY_MS)
    if median is None:
        return data.LatencyMedian(latency_ms)
    step = max(MEDIAN_STEP, FIRST_MEDIAN_STEP / median.count)
    distance = math.log(latency_ms / median.median_ms)
    move = max(-step, min(step, distance))
    return data.LatencyMedian(
        median.median_ms * math.exp(move), median.count + 1
    )


def compute_latency_ratio(
    median: data.LatencyMedian | None, latency_ms: float
) -> float:
    """Computes a latency as a multiple of the median."""
    if median is None:
        return 1.0
    return max(latency_ms, MIN_LATENCY_MS) / median.median_ms


def record_outcome(
    slot_limit: data.SlotLimit,
    outcome: data.Outcome,
    latency_ratio: float,
    granted_ms: int,
    now_ms: int,
) -> data.SlotLimit:
    """Updates a slot limit with the outcome of a request.

    Args:
      slot_limit: Slot limit of the server.
      outcome: How the request ended.
      latency_ratio: Latency as a multiple of the median; used if completed.
      granted_ms: Time of the grant.
      now_ms: Present time.

    Returns:
      The new slot limit; its `slow_ratios` and `failures` tell whether a cut is
      due.
    """
    if granted_ms < slot_limit.cut_ms:
        return slot_limit
    if outcome in _FAILURES:
        return data.evolve(
            slot_limit, failures=slot_limit.failures + 1, good_completions=0
        )
    if outcome is not data.Outcome.COMPLETED:
        return slot_limit
    if slot_limit.answered_ms < 0:
        slot_limit = data.evolve(slot_limit, answered_ms=now_ms)
    if latency_ratio >= SLOW_FACTOR:
        return data.evolve(
            slot_limit,
            good_completions=0,
            failures=0,
            slow_ratios=(*slot_limit.slow_ratios, latency_ratio)[
                -SLOW_ANSWERS:
            ],
            slow_since_ms=slot_limit.slow_since_ms
            if slot_limit.slow_ratios
            else now_ms,
            latest_ratio=latency_ratio,
            latest_ratio_ms=now_ms,
        )
    is_settled = now_ms - slot_limit.answered_ms >= SETTLE_MS
    good_completions = (
        slot_limit.good_completions + 1
        if latency_ratio < MAX_GOOD_FACTOR or is_settled
        else 0
    )
    raises_limit = (
        good_completions >= COMPLETIONS_PER_INCREASE
        and slot_limit.limit < slot_limit.announced_slots
    )
    return data.SlotLimit(
        limit=slot_limit.limit + 1 if raises_limit else slot_limit.limit,
        announced_slots=slot_limit.announced_slots,
        good_completions=0
        if raises_limit
        else min(good_completions, COMPLETIONS_PER_INCREASE),
        cut_ms=slot_limit.cut_ms,
        answered_ms=slot_limit.answered_ms,
        latest_ratio=latency_ratio,
        latest_ratio_ms=now_ms,
    )


def is_suspected_cold(slot_limit: data.SlotLimit) -> bool:
    """Tells whether the latest answers were all slow."""
    return len(slot_limit.slow_ratios) >= SLOW_ANSWERS


def is_cold(
    slot_limit: data.SlotLimit, peers: Iterable[data.SlotLimit], now_ms: int
) -> bool:
    """Tells whether a slow server is cold, that is, slower than its peers.

    A slowdown of the whole service affects the peers as well and is no reason
    to cut the limit. The server is compared with peers that have answered since
    it became slow; until one of them has, the result is False. A server without
    recent peers is compared only with its own past.

    Args:
      slot_limit: Slot limit of the server.
      peers: Slot limits of the other servers of the same service, version and
        data centre.
      now_ms: Present time.

    Returns:
      Whether the limit has to be cut.
    """
    recent_peers = [
        peer
        for peer in peers
        if 0 <= peer.latest_ratio_ms >= now_ms - MAX_PEER_AGE_MS
    ]
    if not recent_peers:
        return True
    ratios_since_slow = [
        peer.latest_ratio
        for peer in recent_peers
        if peer.latest_ratio_ms >= slot_limit.slow_since_ms
    ]
    if not ratios_since_slow:
        return False
    return min(slot_limit.slow_ratios) >= PEER_FACTOR * statistics.median(
        ratios_since_slow
    )


def is_failing(slot_limit: data.SlotLimit) -> bool:
    """Tells whether consecutive failures require a cut."""
    return slot_limit.failures >= MAX_FAILURES


def compute_back_off_ms(connect_failures: int) -> int:
    """Computes the back-off after a number of consecutive connect failures."""
    doubled = BACK_OFF_MS * 2 ** min(connect_failures - 1, 10)
    return min(MAX_BACK_OFF_MS, doubled)
