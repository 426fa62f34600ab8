"""Processor time of the scheduler, varied in one size at a time."""

import dataclasses

from capacity import common
from capacity import scheduler_cost

BASE = scheduler_cost.Size(40, 240, 90, 15, common.REQUESTS_PER_S)
SERIES = (
    ("servers", (120, 240, 480)),
    ("routers", (40, 120, 380)),
    ("workspaces", (90, 180, 350)),
)
# Slot limits grow from 1 with each completion and need several request
# durations to reach the announced slots.
WARM_DURATIONS = 6
# Below capacity, the queue of the ramp must drain as well.
DRAIN_DURATIONS = 18
STEPS = 500
# Waiting requests of a workspace and router at the target's size. With the 32
# that a router may report, filling the queues takes over half a minute.
TARGET_WANTS = 8


class _ShortQueues(scheduler_cost._Fleet):
    """Fleet with fewer waiting requests of a workspace and router."""

    def start(self) -> None:
        """Connects the routers and fills the queues."""
        saturated, self.saturated = self.saturated, False
        super().start()
        self.saturated = saturated
        if not saturated:
            return
        for router in self.routers:
            wants = [
                self.want(router, workspace)
                for workspace in range(self.size.workspaces // 10)
                for _ in range(TARGET_WANTS)
            ]
            self.report(router, wants=tuple(wants))


def _measure(
    size: scheduler_cost.Size,
    saturated: bool,
    kind: type[scheduler_cost._Fleet] = scheduler_cost._Fleet,
) -> tuple[float, ...]:
    fleet = kind(size, saturated, common.SEED)
    fleet.start()
    durations = WARM_DURATIONS if saturated else DRAIN_DURATIONS
    warm = durations * fleet.duration_ms / scheduler_cost.STEP_MS
    for _ in range(int(warm)):
        fleet.step()
    fleet.reset()
    for _ in range(STEPS):
        fleet.step()
    spent_s = fleet.report_s + fleet.tick_s
    return (
        fleet.report_s / max(1, fleet.reports) * 1e6,
        fleet.tick_s / fleet.ticks * 1e6,
        fleet.tick_s / max(1, fleet.grants) * 1e6,
        spent_s / max(1, fleet.grants) * 1e6,
        fleet.grants / (STEPS * scheduler_cost.STEP_MS / 1_000),
    )


def _text(figures: tuple[float, ...]) -> str:
    report, tick, grant, both, rate = figures
    return (
        f"report {report:6.1f} us, tick {tick:6.1f} us,"
        f" {grant:6.1f} us of ticks per grant,"
        f" {both:6.1f} us in all per grant, {rate:6.0f} grants/s"
    )


def main() -> None:
    """Prints the cost against servers, routers and waiting workspaces.

    A tenth of the workspaces has waiting requests throughout, as in the
    target, so the series over workspaces varies that number as well.
    """
    for name, sizes in SERIES:
        points = []
        for value in sizes:
            size = dataclasses.replace(BASE, **{name: value})
            figures = _measure(size, True)
            print(f"{name:10} {value:4}: {_text(figures)}", flush=True)
            points.append((value, figures[3]))
        gradient, base = common.slope(points)
        print(
            f"{name:10} slope: {gradient * 100:+.2f} us in all per grant for"
            f" 100 more, {base:.1f} us at 0"
        )


def _print_target(saturated: bool) -> None:
    size = scheduler_cost.Size(
        common.ROUTERS,
        common.SERVERS,
        common.WORKSPACES,
        common.SERVICES,
        common.REQUESTS_PER_S,
    )
    print(_text(_measure(size, saturated, _ShortQueues)))


def target() -> None:
    """Prints the cost at the size of the target, at half of the capacity."""
    _print_target(saturated=False)


def saturated() -> None:
    """Prints the cost at the size of the target with full queues."""
    _print_target(saturated=True)
