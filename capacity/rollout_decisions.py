"""Decisions of the rollout judges over many seeds of simulated traffic.

Run with `python -m capacity.rollout_decisions`. It uses the simulation of
`features/rollout_decisions.feature` and prints, for each kind of new version,
how many rollouts were taken back and how long after the start of the watch
period.
"""

import argparse
import concurrent.futures
import statistics

from features.steps import rollout_steps
from waxwingrack.core import data

_FACTORS = ("1.6", "2", "2.4")
_PLACES = ("at_full_share", "under_load", "on_one_route")
KINDS = (
    *(f"{factor}_slow_{place}" for place in _PLACES for factor in _FACTORS),
    "good",
    "good_in_slow_centre",
    "good_as_centre_slows",
    "good_as_both_slow",
    "good_slower_with_load",
    "good_in_busy_service",
    "good_without_old_servers",
)


def _run(kind: str, rate: int, seed: int) -> tuple[bool, float]:
    """Returns whether a rollout was taken back, and when, in seconds."""
    plan = data.RolloutPlan("r", "sketch", "v2", 120.0, 20.0)
    result = rollout_steps.simulate(plan, kind, rate, seed)
    started_ms = result.watched_ms or result.ended_ms
    taken_back = result.rollout.phase is data.RolloutPhase.TAKEN_BACK
    return taken_back, (result.ended_ms - started_ms) / 1000


def _row(kind: str, rate: int, ends: list[tuple[bool, float]]) -> str:
    times = [time_s for taken_back, time_s in ends if taken_back]
    shown = (
        f"{statistics.median(times):.1f} / {max(times):.1f}" if times else "-"
    )
    return f"| {kind} | {rate} | {len(times)} of {len(ends)} | {shown} |"


def main() -> None:
    """Runs all kinds at all rates and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--rates", type=int, nargs="+", default=[50, 200])
    parser.add_argument("--kinds", nargs="+", default=KINDS)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        futures = {
            (kind, rate): [pool.submit(_run, kind, rate, s) for s in seeds]
            for rate in options.rates
            for kind in options.kinds
        }
        for (kind, rate), waiting in futures.items():
            ends = [one.result() for one in waiting]
            print(_row(kind, rate, ends), flush=True)


if __name__ == "__main__":
    main()
