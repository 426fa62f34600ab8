"""Moves callers away from a saturated router.

A saturated router reports that it is not ready, so the load balancer sends new
connections elsewhere. Callers that keep their connections would still bring
their requests, so the router closes some of these connections, each after a
whole answer. It closes none before the load balancer has seen that it is not
ready: until then the callers would come back to the same router.
"""

import dataclasses

# Consecutive readiness checks after which a load balancer sends new connections
# elsewhere.
CHECKS_TO_REROUTE = 2
# Use of the busiest resource that remains once the surplus connections are
# closed. It is below the use at which the router is ready again.
TARGET_USE = 0.5
# Time in which the surplus connections are closed. A shorter one would hand the
# whole load to the next router at once.
SHED_TIME_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Shedding:
    """Connections that a saturated router may still close.

    Attributes:
      failed_checks: Consecutive readiness checks that found the router
        saturated, up to `CHECKS_TO_REROUTE`.
      credit: Number of connections to close; a fraction counts later.
    """

    failed_checks: int = 0
    credit: float = 0.0

    @property
    def is_rerouted(self) -> bool:
        """Whether the load balancer sends new connections elsewhere."""
        return self.failed_checks >= CHECKS_TO_REROUTE


def note_check(shedding: Shedding, saturated: bool) -> Shedding:
    """Records a readiness check.

    Args:
      shedding: State before the check.
      saturated: Whether the router was saturated.
    """
    if not saturated:
        return Shedding()
    return dataclasses.replace(
        shedding,
        failed_checks=min(CHECKS_TO_REROUTE, shedding.failed_checks + 1),
    )


def add_credit(
    shedding: Shedding, use: float, connections: int, elapsed_s: float
) -> Shedding:
    """Adds the connections that may be closed for a sample of the load.

    Args:
      shedding: State before the sample.
      use: Use of the busiest resource, 1 if it is full.
      connections: Connections that got an answer since the last sample.
      elapsed_s: Time since the last sample.
    """
    if not shedding.is_rerouted or use <= TARGET_USE:
        return dataclasses.replace(shedding, credit=0.0)
    surplus = connections * (1.0 - TARGET_USE / use)
    return dataclasses.replace(
        shedding,
        credit=min(
            max(1.0, surplus),
            shedding.credit + surplus * elapsed_s / SHED_TIME_S,
        ),
    )


def take_connection(shedding: Shedding) -> tuple[Shedding, bool]:
    """Decides whether to close the connection of an answer that begins.

    Returns:
      The new state, and whether to close the connection after the answer.
    """
    if not shedding.is_rerouted or shedding.credit < 1.0:
        return shedding, False
    return dataclasses.replace(shedding, credit=shedding.credit - 1.0), True
