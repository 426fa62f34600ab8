"""Detects that a router has more work than processor time.

One workspace can saturate a router if all its callers reach the same one. When
its processor is overloaded, all requests there wait, even those for idle
backend servers. A saturated router therefore reports that it is not ready, so
that the platform sends new connections to other routers until it has caught up.
"""

import dataclasses

from waxwingrack.core import messages

# Interval of the samples. Two intervals are well within the second after which
# a platform usually checks again whether a router is ready.
SAMPLE_S = 0.25
# Busy share of the event loop at which a router becomes saturated, and below
# which it has caught up. Waiting times grow steeply above 0.9.
SATURATED_BUSY_SHARE = 0.9
RECOVERED_BUSY_SHARE = 0.6
# Consecutive samples that change the state. A single long iteration of the
# loop, such as that for a new configuration, is no saturation.
SAMPLES_TO_SATURATE = 2
SAMPLES_TO_RECOVER = 3
# Queued requests of one workspace and service that a saturated router reports
# at a time. Grants for more would expire unused and meanwhile keep the slots of
# backend servers from other routers.
MAX_REPORTED_WHEN_SATURATED = 32


@dataclasses.dataclass(frozen=True, slots=True)
class LoopLoad:
    """Load of the event loop of a router.

    Attributes:
      saturated: Whether the router has more work than processor time.
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


def add_sample(load: LoopLoad, busy: float) -> LoopLoad:
    """Updates the load with a sample.

    Args:
      load: Load before the sample.
      busy: Share of the time since the last sample in which the loop was not
        waiting for events, from 0 to 1.

    Returns:
      The load after the sample.
    """
    if load.saturated:
        is_contrary, needed_samples = (
            busy < RECOVERED_BUSY_SHARE,
            SAMPLES_TO_RECOVER,
        )
    else:
        is_contrary, needed_samples = (
            busy >= SATURATED_BUSY_SHARE,
            SAMPLES_TO_SATURATE,
        )
    if not is_contrary:
        return dataclasses.replace(load, contrary_samples=0)
    if load.contrary_samples + 1 < needed_samples:
        return dataclasses.replace(
            load, contrary_samples=load.contrary_samples + 1
        )
    return LoopLoad(saturated=not load.saturated)
