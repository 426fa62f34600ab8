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
which they get grants while requests wait. Workspaces take turns, so a workspace
with few waiting requests is not refused because of one with many. A router that
gets few grants because few requests arrive can do more than that, so such a
time never lowers the rate.

Where the load balancer has no other router, only what would come too late even
without any other delay is refused.
"""

import dataclasses

from waxwingrack.operations import router_queues

# Share of its latency target that a request may wait at a saturated router. The
# rest is for its way to the backend server and for the answer, which share the
# processor and the link with all others.
MAX_TARGET_SHARE = 0.3
# The same share at a router that is alone. A retry would come back to it, so it
# admits what leaves some time for the answer.
MAX_TARGET_SHARE_ALONE = 0.8
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
      per_s: Mean rate in grants per second; None if requests have never waited
        for a whole sample.
    """

    per_s: float | None = None


def add_sample(
    rate: GrantRate, grants: int, elapsed_s: float, is_backlogged: bool = True
) -> GrantRate:
    """Updates the rate.

    Args:
      rate: Rate before the sample.
      grants: Grants since the last sample.
      elapsed_s: Time since the last sample.
      is_backlogged: Whether requests waited for all of that time. Otherwise the
        rate is only raised.
    """
    if elapsed_s <= 0:
        return rate
    latest = grants / elapsed_s
    if rate.per_s is None:
        return GrantRate(latest) if is_backlogged else rate
    if not is_backlogged and latest <= rate.per_s:
        return rate
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
    if rate.per_s is None:
        return 0.0
    own = queues.counts.get(workspace, 0)
    ahead = sum(min(count, own) for count in queues.counts.values())
    return 1_000 * ahead / max(MIN_RATE, rate.per_s)


def is_wait_too_long(
    wait_ms: float, target_ms: int, is_alone: bool = False
) -> bool:
    """Tells whether a request should ask another router.

    Args:
      wait_ms: Estimated wait for its grant.
      target_ms: Latency target of the request; 0 if it has none.
      is_alone: Whether the load balancer has no other router.
    """
    share = MAX_TARGET_SHARE_ALONE if is_alone else MAX_TARGET_SHARE
    return wait_ms > share * (target_ms or DEFAULT_TARGET_MS)


def find_retry_ms(backlog_ms: float, is_alone: bool) -> int:
    """Returns when a refused caller should come back, in milliseconds.

    Args:
      backlog_ms: Time until the backlog of this router has drained.
      is_alone: Whether the load balancer has no other router.

    Returns:
      The time; 0 for at once, as the caller then reaches another router, which
      does not have this backlog.
    """
    return max(0, round(backlog_ms)) if is_alone else 0
