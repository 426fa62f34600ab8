"""Refusal of requests that would wait too long at a saturated router.

Load that this answers: all callers of a workspace reach one router, which has
more work than its processor or link can do, while other routers are idle. Each
request would wait behind all earlier ones of its workspace at this router. It
is refused on arrival, so that its caller can ask another router at once and
still get its answer in time. Where all routers are saturated, it keeps the
waits of those that are admitted short.

Callers come back to the same router as long as the load balancer sends their
new connections there, so nothing is refused before that has changed.

The wait follows from the requests that wait at this router and the rate at
which they get grants. Workspaces take turns, so a workspace with few waiting
requests is not refused because of one with many.
"""

import dataclasses

from waxwingrack.operations import router_queues

# Share of its latency target that a request may wait at a saturated router. The
# rest is for its way to the backend server and for the answer, which share the
# processor and the link with all others.
MAX_TARGET_SHARE = 0.3
# Latency target of requests that have none, in milliseconds.
DEFAULT_TARGET_MS = 1_000
# Weight of the latest sample in the mean rate of grants.
RATE_STEP = 0.3
# Lowest rate of grants that is taken for granted, in grants per second.
MIN_RATE = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRate:
    """Rate at which a router gets grants.

    Attributes:
      per_s: Mean rate in grants per second; None before the first sample.
    """

    per_s: float | None = None


def add_sample(rate: GrantRate, grants: int, elapsed_s: float) -> GrantRate:
    """Updates the rate.

    Args:
      rate: Rate before the sample.
      grants: Grants since the last sample.
      elapsed_s: Time since the last sample.
    """
    if elapsed_s <= 0:
        return rate
    latest = grants / elapsed_s
    if rate.per_s is None:
        return GrantRate(latest)
    return GrantRate(rate.per_s + RATE_STEP * (latest - rate.per_s))


def estimate_wait_ms(
    queues: router_queues.Queues, workspace: str, rate: GrantRate
) -> float:
    """Estimates how long a new request of a workspace waits for its grant.

    Args:
      queues: Waiting requests of the router.
      workspace: Workspace of the request.
      rate: Rate at which the router gets grants.

    Returns:
      The time in milliseconds.
    """
    own = queues.counts.get(workspace, 0)
    ahead = sum(min(count, own) for count in queues.counts.values())
    return 1_000 * ahead / max(MIN_RATE, rate.per_s or 0.0)


def is_wait_too_long(wait_ms: float, target_ms: int) -> bool:
    """Tells whether a request should ask another router.

    Args:
      wait_ms: Estimated wait for its grant.
      target_ms: Latency target of the request; 0 if it has none.
    """
    return wait_ms > MAX_TARGET_SHARE * (target_ms or DEFAULT_TARGET_MS)
