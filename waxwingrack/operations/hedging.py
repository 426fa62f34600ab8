"""When a slow request gets a second copy at another server.

A router learns the latencies of the first byte for each route and for each
server of it. A request whose answer has not begun after a high quantile of them
may get a second copy. The number of second copies is bounded by a share of the
requests of the service, which starts at none, and each of them also takes a
token of the retry budget.

All functions are pure: they take records and return new ones.
"""

import dataclasses
import enum
import math

import immutables

from waxwingrack.core import data
from waxwingrack.operations import router_queues

# Quantile of the latencies that is the delay. Nine of ten requests begin their
# answers earlier, so few copies are sent in vain; a higher quantile would lie
# within the slow periods of servers that are slow for a tenth of the time.
DELAY_QUANTILE = 0.9
# Shortest delay: a copy needs a grant and a connection, which take a few
# milliseconds on a busy router.
MIN_DELAY_MS = 20.0
# Latencies that are kept for a route and for a server of it.
MAX_SAMPLES = 64
# Samples without which there is no delay: with fewer, the quantile is one of
# the two highest of them.
MIN_SAMPLES = 20
# Longest latency that counts, in milliseconds.
MAX_LATENCY_MS = 600_000.0
# Samples are not used once the latest of them is this old.
MAX_SAMPLE_AGE_MS = 60_000
# Routes and servers whose samples are kept; those without a sample for the
# longest time are dropped first.
MAX_TARGETS = 1_024
# Second copies that a service may save up. A router of 10 requests a second
# earns one in 5 s at a share of 0.02, and slow periods last a second.
MAX_SAVED_COPIES = 5.0
# Statuses from this one on, and this one, show no answer that a caller wants
# while another copy may still bring one.
FIRST_SERVER_ERROR = 500
_TOO_MANY_REQUESTS = 429


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits of second copies, from the settings.

    Attributes:
      share: Second copies that each request of a service earns; 0 sends none.
      needs_slowness: Whether only services get them whose servers report how
        slow they are.
    """

    share: float = 0.0
    needs_slowness: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Server that a request was sent to.

    Attributes:
      service: Service of the request.
      route: Route of the request.
      server: Server id and incarnation.
    """

    service: str
    route: str
    server: tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Samples:
    """Latest latencies of the first byte.

    Attributes:
      values: Milliseconds, the latest last.
      at_ms: Time of the latest one.
    """

    values: tuple[float, ...] = ()
    at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Hedges:
    """What a router knows for its second copies.

    Attributes:
      samples: `Samples` by (service, route) and by `Target`.
      budgets: Second copies that may still be sent, by service id.
    """

    samples: immutables.Map = immutables.Map()
    budgets: immutables.Map = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request about to be sent, as input of the decision.

    Attributes:
      target: Server that it is sent to.
      repeatable: Whether it may be repeated: its route is idempotent, and it
        has no idempotency key.
      attempts: Number of servers that it was sent to before.
      max_attempts: Number of servers that it may be sent to.
      reports_slowness: Whether servers of its service report their slowness.
      left_ms: Time until its deadline; None if there is none.
    """

    target: Target
    repeatable: bool
    attempts: int = 0
    max_attempts: int = router_queues.MAX_ATTEMPTS
    reports_slowness: bool = False
    left_ms: float | None = None


class Skip(enum.StrEnum):
    """Why a slow request gets no second copy."""

    HEDGE_BUDGET_USED = "hedge_budget_used"
    RETRY_BUDGET_USED = "retry_budget_used"


class Result(enum.StrEnum):
    """What became of a second copy that was asked for.

    FIRST_WON and FAILED also mean that the first copy ended before the second
    one got a grant.
    """

    FIRST_WON = "first_won"
    DUPLICATE_WON = "duplicate_won"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


def add_sample(
    hedges: Hedges, target: Target, latency_ms: float, now_ms: int
) -> Hedges:
    """Records the latency of a first byte.

    The latency of a request that was cancelled because its second copy won is
    recorded as well, as the time until then. Without these the quantile would
    fall with every copy.

    Args:
      hedges: State so far.
      target: Server and route.
      latency_ms: Time from the dispatch; bounded, and ignored if it is not a
        number.
      now_ms: Present time.

    Returns:
      The new state.
    """
    if math.isnan(latency_ms):
        return hedges
    value = min(max(latency_ms, 0.0), MAX_LATENCY_MS)
    samples = hedges.samples
    for key in ((target.service, target.route), target):
        known = samples.get(key)
        if known is None:
            known = Samples()
            if len(samples) >= MAX_TARGETS:
                oldest = min(samples, key=lambda other: samples[other].at_ms)
                samples = samples.delete(oldest)
        values = (*known.values, value)[-MAX_SAMPLES:]
        samples = samples.set(key, Samples(values, now_ms))
    return dataclasses.replace(hedges, samples=samples)


def find_delay(
    hedges: Hedges, policy: Policy, request: Request, now_ms: int
) -> float | None:
    """Finds the time after which a request may get a second copy.

    It is a quantile of the latencies of the server, but no longer than that of
    the route: a copy at another server takes no longer than the latter.

    Args:
      hedges: State.
      policy: Limits.
      request: The request.
      now_ms: Present time.

    Returns:
      Milliseconds from the grant, or None if the request gets no second copy.
    """
    if (
        policy.share <= 0
        or not request.repeatable
        or request.attempts + 1 >= request.max_attempts
        or (policy.needs_slowness and not request.reports_slowness)
    ):
        return None
    target = request.target
    quantiles = [
        quantile
        for key in ((target.service, target.route), target)
        if (quantile := _find_quantile(hedges.samples.get(key), now_ms))
        is not None
    ]
    if not quantiles:
        return None
    delay_ms = max(MIN_DELAY_MS, min(quantiles))
    # A copy that is sent so late that it would end after the deadline as often
    # as not helps nobody.
    if request.left_ms is not None and 2 * delay_ms > request.left_ms:
        return None
    return delay_ms


def _find_quantile(samples: Samples | None, now_ms: int) -> float | None:
    if (
        samples is None
        or len(samples.values) < MIN_SAMPLES
        or now_ms - samples.at_ms > MAX_SAMPLE_AGE_MS
    ):
        return None
    index = math.ceil(DELAY_QUANTILE * len(samples.values)) - 1
    return sorted(samples.values)[index]


def earn_copy(hedges: Hedges, service: str, policy: Policy) -> Hedges:
    """Adds the share of one new request to the budget of its service.

    Args:
      hedges: State so far.
      service: Service of the request.
      policy: Limits.

    Returns:
      The new state.
    """
    if policy.share <= 0:
        return hedges
    budget = hedges.budgets.get(service, 0.0) + policy.share
    return _set_budget(hedges, service, budget)


def take_copy(
    hedges: Hedges,
    retry_budgets: immutables.Map,
    service: str,
    retry_policy: router_queues.RetryPolicy,
) -> tuple[Hedges, immutables.Map, Skip | None]:
    """Takes a second copy out of both budgets of its service.

    Args:
      hedges: State so far.
      retry_budgets: Remaining retries by service id.
      service: Service of the request.
      retry_policy: Share and reserve of retries.

    Returns:
      The new state and retry budgets, and why no copy may be sent, if so. Both
      budgets are unchanged then.
    """
    budget = hedges.budgets.get(service, 0.0)
    # Tolerates a millionth of a copy, as sums of the share are inexact.
    if budget < 1.0 - 1e-6:
        return hedges, retry_budgets, Skip.HEDGE_BUDGET_USED
    remaining = router_queues.take_extra_attempt(
        retry_budgets, service, retry_policy
    )
    if remaining is None:
        return hedges, retry_budgets, Skip.RETRY_BUDGET_USED
    return _set_budget(hedges, service, budget - 1.0), remaining, None


def return_copy(
    hedges: Hedges,
    retry_budgets: immutables.Map,
    service: str,
    retry_policy: router_queues.RetryPolicy,
) -> tuple[Hedges, immutables.Map]:
    """Returns a copy to both budgets that was not sent.

    Args:
      hedges: State so far.
      retry_budgets: Remaining retries by service id.
      service: Service of the request.
      retry_policy: Share and reserve of retries.

    Returns:
      The new state and retry budgets.
    """
    budget = hedges.budgets.get(service, 0.0) + 1.0
    return (
        _set_budget(hedges, service, budget),
        router_queues.return_extra_attempt(
            retry_budgets, service, retry_policy
        ),
    )


def _set_budget(hedges: Hedges, service: str, budget: float) -> Hedges:
    bounded = min(MAX_SAVED_COPIES, max(0.0, budget))
    return dataclasses.replace(
        hedges, budgets=hedges.budgets.set(service, bounded)
    )


def build_duplicate(
    queued: data.QueuedRequest, first_server: str, left_ms: int | None
) -> data.QueuedRequest:
    """Builds the queued request of a second copy.

    Args:
      queued: Queued request of the first copy.
      first_server: Server of the first copy.
      left_ms: Time until the deadline; None if there is none.

    Returns:
      The request, which is not to run on the server of the first copy.
    """
    return dataclasses.replace(
        queued,
        duplicate=True,
        avoid=(*queued.avoid, first_server),
        left_ms=left_ms or 0,
    )


def is_usable(status: int) -> bool:
    """Tells whether an answer ends a race while the other copy still runs.

    Args:
      status: HTTP status of the answer.
    """
    return status < FIRST_SERVER_ERROR and status != _TOO_MANY_REQUESTS
