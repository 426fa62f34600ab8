"""Detects that a router has more work than its processor or link can do.

One workspace can saturate a router if all its callers reach the same one. When
its processor or its network link is overloaded, all requests there wait, even
those for idle backend servers, and so do the messages of the leader. A
saturated router therefore reports that it is not ready, so that the platform
sends new connections to other routers until it has caught up.
"""

import dataclasses

from waxwingrack.core import messages

# Interval of the samples. Two intervals are well within the second after which
# a platform usually checks again whether a router is ready.
SAMPLE_S = 0.25
# Use of a resource at which a router becomes saturated, and below which it has
# caught up. Waiting times grow steeply above 0.9.
SATURATED_USE = 0.9
RECOVERED_USE = 0.6
# Share of a link's capacity that the bytes of requests and answers may use. The
# rest is for the headers of the lower layers, new connections and the messages
# of the leader.
USABLE_LINK_SHARE = 0.8
# Consecutive samples that change the state. A single long iteration of the
# loop, such as that for a new configuration, is no saturation.
SAMPLES_TO_SATURATE = 2
SAMPLES_TO_RECOVER = 3
# Queued requests of one workspace and service that a saturated router reports
# at a time. Grants for more would expire unused and meanwhile keep the slots of
# backend servers from other routers.
MAX_REPORTED_WHEN_SATURATED = 32


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceUse:
    """Use of the resources of a router since the last sample.

    Attributes:
      loop: Share of the time in which the event loop was not waiting, from 0
        to 1.
      link: Bytes relayed, relative to what the link can relay; 0 if the
        capacity of the link is not known.
    """

    loop: float = 0.0
    link: float = 0.0

    @property
    def highest(self) -> float:
        """Use of the busiest resource; 1 if it is full."""
        return max(self.loop, self.link)


def compute_link_use(
    relayed_bytes: int, elapsed_s: float, link_mbps: float
) -> float:
    """Computes the use of a router's network link.

    Each byte of a request or an answer comes in once and goes out once, so the
    link is used alike in both directions.

    Args:
      relayed_bytes: Bytes of requests and answers that were received.
      elapsed_s: Time in which they were received.
      link_mbps: Capacity in each direction in megabits per second; 0 if it is
        not known.

    Returns:
      The use, 1 if the usable share of the capacity is taken.
    """
    if link_mbps <= 0 or elapsed_s <= 0:
        return 0.0
    usable_bytes = link_mbps * 1e6 / 8 * elapsed_s * USABLE_LINK_SHARE
    return relayed_bytes / usable_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RouterLoad:
    """Load of a router.

    Attributes:
      saturated: Whether the router has more work than it can do.
      contrary_samples: Latest consecutive samples that indicate the other
        state.
    """

    saturated: bool = False
    contrary_samples: int = 0

    @property
    def max_reported_requests(self) -> int:
        """Queued requests of one workspace and service per report."""
        return (
            MAX_REPORTED_WHEN_SATURATED
            if self.saturated
            else messages.MAX_REPORTED_REQUESTS
        )


def add_sample(load: RouterLoad, use: float) -> RouterLoad:
    """Updates the load with a sample.

    Args:
      load: Load before the sample.
      use: Use of the busiest resource since the last sample.

    Returns:
      The load after the sample.
    """
    if load.saturated:
        is_contrary, needed_samples = (
            use < RECOVERED_USE,
            SAMPLES_TO_RECOVER,
        )
    else:
        is_contrary, needed_samples = (
            use >= SATURATED_USE,
            SAMPLES_TO_SATURATE,
        )
    if not is_contrary:
        return dataclasses.replace(load, contrary_samples=0)
    if load.contrary_samples + 1 < needed_samples:
        return dataclasses.replace(
            load, contrary_samples=load.contrary_samples + 1
        )
    return RouterLoad(saturated=not load.saturated)
