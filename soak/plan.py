"""Seeded plans: which fault strikes when, at what and for how long."""

import dataclasses
import itertools
import random

# Pause between the starts of two faults and length of one, in seconds. Faults
# that last longer than the pause overlap.
PAUSE_S = (0.3, 3.0)
LENGTH_S = (0.5, 5.0)
# Time at the start without faults, in seconds.
CALM_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault.

    Attributes:
      at_s: Start, from the start of the traffic.
      lasts_s: Time until it is repaired.
      fault: Name of the fault.
      router: Router that it strikes, if it strikes one.
      server: Backend server that it strikes, if it strikes one.
    """

    at_s: float
    lasts_s: float
    fault: str
    router: str
    server: str

    @property
    def end_s(self) -> float:
        """Time of the repair, from the start of the traffic."""
        return self.at_s + self.lasts_s


def draw(
    seed: int,
    seconds: float,
    faults: tuple[str, ...],
    routers: tuple[str, ...],
    servers: tuple[str, ...],
    lonely: frozenset[str] = frozenset(),
) -> tuple[Step, ...]:
    """Draws the faults of a run.

    Args:
      seed: Seed; the same arguments give the same plan.
      seconds: Length of the traffic.
      faults: Names of faults.
      routers: Routers to strike.
      servers: Backend servers to strike.
      lonely: Faults that do not overlap each other, as together they would
        take more than the group bears.

    Returns:
      The steps in order of their start.
    """
    rng = random.Random(seed)
    steps: list[Step] = []
    free_s = 0.0
    at_s = CALM_S
    while at_s < seconds:
        step = Step(
            at_s=round(at_s, 2),
            lasts_s=round(rng.uniform(*LENGTH_S), 2),
            fault=rng.choice(faults),
            router=rng.choice(routers),
            server=rng.choice(servers),
        )
        if step.fault not in lonely:
            steps.append(step)
        elif step.at_s >= free_s:
            steps.append(step)
            free_s = step.end_s
        at_s += rng.uniform(*PAUSE_S)
    return tuple(steps)


def overlap(
    steps: tuple[Step, ...], start_s: float, end_s: float
) -> tuple[Step, ...]:
    """Returns the steps that last at some moment between two times."""
    return tuple(
        step for step in steps if step.at_s <= end_s and step.end_s >= start_s
    )


def describe(steps: tuple[Step, ...]) -> str:
    """Returns one line for each step."""
    return "\n".join(
        itertools.starmap(
            "{:6.2f} s to {:6.2f} s  {} ({}, {})".format,
            (
                (step.at_s, step.end_s, step.fault, step.router, step.server)
                for step in steps
            ),
        )
    )
