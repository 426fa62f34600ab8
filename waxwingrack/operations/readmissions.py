"""Time for which a router that was saturated stays out of the rotation.

A load balancer sends all new connections of a caller to one router. If that
caller is what saturated it, the router would be full again a moment after its
return. It therefore stays out for a while after it has caught up and serves the
connections that it has. Each time that it is saturated again soon after its
return, the while doubles, so that callers whose load needs several routers
settle on them.
"""

import dataclasses

# First time out of the rotation, in milliseconds, and the longest one.
FIRST_HOLD_MS = 2_000
MAX_HOLD_MS = 16_000
# Time after its return within which a saturation counts as a relapse.
RELAPSE_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Readmission:
    """When a router returns to the rotation.

    Attributes:
      hold_ms: Latest time out of the rotation; 0 before the first.
      returns_ms: Time of the latest or next return.
    """

    hold_ms: int = 0
    returns_ms: int = 0

    def is_held(self, now_ms: int) -> bool:
        """Tells whether the router stays out although it has caught up."""
        return now_ms < self.returns_ms


def note_saturated(readmission: Readmission, now_ms: int) -> Readmission:
    """Records that a router has become saturated.

    Args:
      readmission: State before.
      now_ms: Present time.
    """
    is_relapse = now_ms < readmission.returns_ms + RELAPSE_MS
    return Readmission(
        hold_ms=readmission.hold_ms if is_relapse else 0,
        returns_ms=readmission.returns_ms,
    )


def note_caught_up(readmission: Readmission, now_ms: int) -> Readmission:
    """Records that a router has caught up.

    Args:
      readmission: State before.
      now_ms: Present time.

    Returns:
      The state with the time of its return.
    """
    hold_ms = min(MAX_HOLD_MS, 2 * readmission.hold_ms or FIRST_HOLD_MS)
    return Readmission(hold_ms, now_ms + hold_ms)
