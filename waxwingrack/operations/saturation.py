"""Detects that a router has more work than one of its resources can do.

One workspace can saturate a router if all its callers reach the same one. When
its processor or its network link is overloaded, all requests there wait, even
those for idle backend servers, and so do the messages of the leader. If its
buffers or descriptors run out, it must refuse what other routers could take. A
saturated router therefore reports that it is not ready, so that the platform
sends new connections to other routers until it has caught up. A router that is
saturated again soon after it has caught up waits longer each time, as the load
that it gets back with its readiness is more than it can do.
"""

import dataclasses
import math

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
# Most samples to recover after repeated saturation: 3 s. Routers that stayed
# out of the rotation for 2 to 16 s served fewer requests than without.
MAX_SAMPLES_TO_RECOVER = 12
# Samples without saturation after which the next one counts as the first: 10 s,
# several times the longest recovery.
SAMPLES_TO_FORGET = 40
# Share of the limit of buffered bytes that counts as full. One workspace may
# hold half of the limit and three of them three quarters, so one alone, such as
# a caller that leaves its bodies unfinished, never makes a router saturated.
USABLE_BUFFER_SHARE = 0.7
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
      processor: Processor time relative to the time that the process may use; 0
        if its number of cores is not known.
      memory: Buffered bytes of requests and answers, relative to the usable
        share of their limit.
      descriptors: Open descriptors relative to their limit; 0 if there is none.
    """

    loop: float = 0.0
    link: float = 0.0
    processor: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0

    @property
    def highest(self) -> float:
        """Use of the busiest resource; 1 if it is full."""
        return max(dataclasses.astuple(self))

    @property
    def busiest(self) -> str:
        """Name of the busiest resource."""
        return max(
            (field.name for field in dataclasses.fields(self)),
            key=lambda name: getattr(self, name),
        )


def compute_use(used: float, capacity: float) -> float:
    """Computes the use of a resource from what is used of it.

    Args:
      used: Used part, in the unit of the capacity.
      capacity: Capacity; 0 or less if it is not known.

    Returns:
      The use, 1 if the capacity is taken; 0 for numbers that make no sense.
    """
    if not (math.isfinite(used) and math.isfinite(capacity)):
        return 0.0
    return max(0.0, used / capacity) if capacity > 0 else 0.0


def compute_memory_use(buffered_bytes: int, limit_bytes: int) -> float:
    """Computes the use of a router's buffers.

    Args:
      buffered_bytes: Bytes of request bodies, of answers to be recorded and of
        answers that callers have not taken yet.
      limit_bytes: Limit of buffered bytes.
    """
    return compute_use(buffered_bytes, limit_bytes * USABLE_BUFFER_SHARE)


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
    usable_bytes = link_mbps * 1e6 / 8 * elapsed_s * USABLE_LINK_SHARE
    return compute_use(relayed_bytes, usable_bytes)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterLoad:
    """Load of a router.

    Attributes:
      saturated: Whether the router has more work than it can do.
      contrary_samples: Latest consecutive samples that indicate the other
        state.
      relapses: Times that the router was saturated again soon after it had
        caught up.
      calm_samples: Samples since it caught up, up to `SAMPLES_TO_FORGET`.
    """

    saturated: bool = False
    contrary_samples: int = 0
    relapses: int = 0
    calm_samples: int = SAMPLES_TO_FORGET

    @property
    def samples_to_recover(self) -> int:
        """Consecutive samples below the recovered use that end saturation."""
        doublings = min(self.relapses, MAX_SAMPLES_TO_RECOVER)
        return min(MAX_SAMPLES_TO_RECOVER, SAMPLES_TO_RECOVER << doublings)

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
            load.samples_to_recover,
        )
    else:
        load = dataclasses.replace(
            load, calm_samples=min(SAMPLES_TO_FORGET, load.calm_samples + 1)
        )
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
    if load.saturated:
        return RouterLoad(relapses=load.relapses, calm_samples=0)
    is_relapse = load.calm_samples < SAMPLES_TO_FORGET
    return RouterLoad(
        saturated=True,
        relapses=min(MAX_SAMPLES_TO_RECOVER, load.relapses + 1)
        if is_relapse
        else 0,
    )
