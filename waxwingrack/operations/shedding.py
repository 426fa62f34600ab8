"""Moves callers away from a saturated router.

A saturated router reports that it is not ready, so the load balancer sends new
connections elsewhere. Callers that keep their connections would still bring
their requests, so the router closes some of these connections, each after a
whole answer. It closes none before the load balancer has seen that it is not
ready: until then the callers would come back to the same router.

Where new connections keep arriving after that, the load balancer has no other
router: this one is alone in its data centre, or all of them are saturated.
Closing connections would then only add handshakes, so the router keeps them and
serves what it can.
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
# Length of the periods in which new connections are counted. It holds the time
# in which a load balancer applies a readiness check.
ARRIVAL_PERIOD_S = 1.0
# Consecutive periods with new connections after which the router is taken to be
# the only one. The first period may hold connections from before the change.
ALONE_PERIODS = 3
# Consecutive periods without new connections after which it is not any more. A
# router that keeps its callers gets few new connections for that reason alone.
ALONE_END_PERIODS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Shedding:
    """Connections that a saturated router may still close.

    Attributes:
      failed_checks: Consecutive readiness checks that found the router
        saturated, up to `CHECKS_TO_REROUTE`.
      credit: Number of connections to close; a fraction counts later.
      period_s: Length of the present period so far, in seconds.
      period_arrivals: New connections in the present period.
      arrival_periods: Latest consecutive periods with new connections, up to
        `ALONE_PERIODS`.
      silent_periods: Latest consecutive periods without new connections, up to
        `ALONE_END_PERIODS`.
    """

    failed_checks: int = 0
    credit: float = 0.0
    period_s: float = 0.0
    period_arrivals: int = 0
    arrival_periods: int = 0
    silent_periods: int = 0

    @property
    def is_rerouted(self) -> bool:
        """Whether the load balancer sends new connections elsewhere."""
        return self.failed_checks >= CHECKS_TO_REROUTE

    @property
    def is_alone(self) -> bool:
        """Whether the load balancer has no other router to send callers to."""
        return self.arrival_periods >= ALONE_PERIODS


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
    if not shedding.is_rerouted or shedding.is_alone or use <= TARGET_USE:
        return dataclasses.replace(shedding, credit=0.0)
    surplus = connections * (1.0 - TARGET_USE / use)
    return dataclasses.replace(
        shedding,
        credit=min(
            max(1.0, surplus),
            shedding.credit + surplus * elapsed_s / SHED_TIME_S,
        ),
    )


def note_arrivals(
    shedding: Shedding, arrivals: int, elapsed_s: float
) -> Shedding:
    """Records the new connections of callers since the last sample.

    Args:
      shedding: State before the sample.
      arrivals: Connections that callers have opened.
      elapsed_s: Time since the last sample.
    """
    if not shedding.is_rerouted:
        return shedding
    period_s = shedding.period_s + max(0.0, elapsed_s)
    period_arrivals = shedding.period_arrivals + arrivals
    if period_s < ARRIVAL_PERIOD_S:
        return dataclasses.replace(
            shedding, period_s=period_s, period_arrivals=period_arrivals
        )
    shedding = dataclasses.replace(shedding, period_s=0.0, period_arrivals=0)
    if period_arrivals > 0:
        return dataclasses.replace(
            shedding,
            arrival_periods=min(ALONE_PERIODS, shedding.arrival_periods + 1),
            silent_periods=0,
        )
    silent_periods = min(ALONE_END_PERIODS, shedding.silent_periods + 1)
    stays_alone = shedding.is_alone and silent_periods < ALONE_END_PERIODS
    return dataclasses.replace(
        shedding,
        arrival_periods=ALONE_PERIODS if stays_alone else 0,
        silent_periods=silent_periods,
    )


def take_connection(shedding: Shedding) -> tuple[Shedding, bool]:
    """Decides whether to close the connection of an answer that begins.

    Returns:
      The new state, and whether to close the connection after the answer.
    """
    if not shedding.is_rerouted or shedding.credit < 1.0:
        return shedding, False
    return dataclasses.replace(shedding, credit=shedding.credit - 1.0), True
