"""Whether a router has more work than processor time.

This answers one workspace whose callers all reach the same router. Beyond what
its processor bears, every request there waits, also those for idle backend
servers. A saturated router therefore says that it is not ready, so that the
platform sends new connections to the others until it has caught up.
"""

import dataclasses

from waxwingrack.core import messages

# Interval of the samples, in seconds. Two of them are well within the second
# after which a platform usually asks again whether a router is ready.
SAMPLE_S = 0.25
# Busy share of the event loop from which on a router counts as saturated, and
# below which it has caught up. Waits grow steeply beyond nine tenths.
HIGH = 0.9
LOW = 0.6
# Samples in a row that change the state. A single long turn of the loop, such
# as that of a new configuration, is no saturation.
SAMPLES_TO_SATURATE = 2
SAMPLES_TO_RECOVER = 3
# Wants of one workspace and service that a saturated router reports at a time.
# Grants for more would expire before it has used them, and keep the slots of
# backend servers from other routers meanwhile.
SATURATED_WANTS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of the event loop of a router.

    Attributes:
      saturated: Whether there is more work than processor time.
      against: Latest samples in a row that speak for the other state.
    """

    saturated: bool = False
    against: int = 0

    @property
    def max_wants(self) -> int:
        """Wants of one workspace and service to report at a time."""
        return (
            SATURATED_WANTS
            if self.saturated
            else messages.MAX_REPORTED_REQUESTS
        )


def observe(load: Load, busy: float) -> Load:
    """Takes a sample into the load.

    Args:
      load: Load before.
      busy: Share of the time since the last sample in which the loop was not
        waiting for events, from 0 to 1.

    Returns:
      The load after.
    """
    if load.saturated:
        contrary, needed = busy < LOW, SAMPLES_TO_RECOVER
    else:
        contrary, needed = busy >= HIGH, SAMPLES_TO_SATURATE
    if not contrary:
        return dataclasses.replace(load, against=0)
    if load.against + 1 < needed:
        return dataclasses.replace(load, against=load.against + 1)
    return Load(saturated=not load.saturated)
