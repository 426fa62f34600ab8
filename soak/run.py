"""One run of the soak: fleet, traffic, faults and checks."""

import collections
import dataclasses
import datetime
import itertools
import json
import pathlib
import shutil
import subprocess

from features.support import fleet
from features.support import fleet_watch
from soak import checks
from soak import injection
from soak import plan
from soak import traffic

# Time within which a fleet serves again after the last repair, in seconds: an
# election, the announcements of all servers and a restart of every process.
RECOVERY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a run.

    Attributes:
      routers: Number of routers.
      servers: Backend servers of each service.
      callers: Callers of each kind of request.
    """

    routers: int = 3
    servers: int = 2
    callers: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Outcome of a run.

    Attributes:
      seed: Seed.
      steps: Faults.
      calls: Number of requests.
      served: Number of requests that were answered with success.
      broken: Broken promises, one line each.
      unplayed: Faults that could not be injected or repaired.
    """

    seed: int
    steps: tuple[plan.Step, ...]
    calls: int
    served: int
    broken: tuple[str, ...]
    unplayed: tuple[str, ...]


def play(
    seed: int,
    seconds: float,
    size: Size = Size(),
    keep: pathlib.Path | None = None,
) -> Report:
    """Plays one run.

    Args:
      seed: Seed of the plan.
      seconds: Length of the traffic.
      size: Size of the fleet.
      keep: Folder for the logs of a run that broke a promise.

    Returns:
      The report.
    """
    cluster = fleet.Fleet(routers=size.routers)
    try:
        report = _play(cluster, seed, seconds, size)
        if keep is not None and report.broken:
            shutil.rmtree(keep, ignore_errors=True)
            shutil.copytree(
                cluster.folder, keep, ignore=shutil.ignore_patterns("*-data*")
            )
            (keep / "plan.txt").write_text(
                "\n".join([plan.describe(report.steps), *report.broken]) + "\n"
            )
        return report
    finally:
        cluster.stop()


def _play(
    cluster: fleet.Fleet, seed: int, seconds: float, size: Size
) -> Report:
    servers = {
        f"{service}-{number + 1}": {
            "engine": service == "sketch",
            "data_centre": "abc"[number % 3],
            "linked": True,
            "runs_file": str(cluster.folder / f"{service}-{number + 1}.runs"),
            "mode": {"crash_on": traffic.CRASH_WORD},
        }
        for service in ("sketch", "booking")
        for number in range(size.servers)
    }
    cluster.serve(**servers)
    # Half of the seeds play with crash suspects that run beside other requests.
    cluster.document = fleet.environment()
    cluster.document["services"][0]["isolate_suspects"] = bool(seed % 2)
    cluster.apply(cluster.document)
    cluster.last_leader = cluster.leader()
    # Numbers that operators got an acknowledgement for, and processes that were
    # asked to stop.
    cluster.acknowledged, cluster.stopping = [], []
    # What servers told about themselves in answers, and what they got then.
    cluster.departures, cluster.pauses = [], []
    steps = plan.draw(
        seed,
        seconds,
        injection.ALL,
        tuple(cluster.routers),
        tuple(servers),
        injection.OF_CONTROLLERS,
    )
    callers = traffic.Traffic(cluster, size.callers)
    injector = injection.Injector(cluster, steps)
    with fleet_watch.NumberWatch(cluster) as watch:
        callers.start()
        injector.start()
        injector.join()
        broken = _recover(cluster)
        callers.stop()
    number = fleet.wait_until(
        cluster.in_force, RECOVERY_S, "a number in force everywhere"
    )
    calls = tuple(callers.calls)
    broken += [
        *checks.crashes_end(_crash_times(cluster)),
        *checks.departures_respected(
            cluster.departures, steps, callers.started_s
        ),
        *checks.pauses_respected(
            cluster.pauses, size.routers, callers.caller_count
        ),
        *checks.ran_once(calls, _runs(cluster)),
        *checks.answers_own(calls),
        *checks.planned_stops_cut_nothing(calls, steps),
        *checks.numbers_grow(
            watch.decreases, max(cluster.acknowledged, default=0), number
        ),
    ]
    return Report(
        seed=seed,
        steps=steps,
        calls=len(calls),
        served=sum(c.whole and 200 <= c.status < 300 for c in calls),
        broken=tuple(broken),
        unplayed=tuple(
            f"{step.fault} at {step.at_s} s: {exc!r}"
            for step, exc in injector.failures
        ),
    )


def _recover(cluster: fleet.Fleet) -> list[str]:
    """Repairs everything and checks that each router serves again."""
    cluster.heal()
    for member in cluster.members.values():
        if member.alive:
            member.resume()
    broken = []
    for name, process in cluster.stopping:
        try:
            process.wait(injection.STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            broken.append(f"{name} did not end after SIGTERM")
    for member in cluster.members.values():
        if not member.alive:
            member.start()
    for router in cluster.routers:
        try:
            fleet.wait_until(
                lambda name=router: (
                    fleet_watch.read(cluster, name).status == 200
                ),
                RECOVERY_S,
                f"{router} serves",
            )
        except AssertionError as exc:
            broken.append(str(exc))
    return broken


def _crash_times(cluster: fleet.Fleet) -> list[float]:
    lines = itertools.chain.from_iterable(
        member.log.read_text(errors="replace").splitlines()
        for member in cluster.members.values()
    )
    return [
        datetime.datetime.fromisoformat(json.loads(line)["time"]).timestamp()
        for line in lines
        if '"stand_in_crash"' in line
    ]


def _runs(cluster: fleet.Fleet) -> collections.Counter:
    return collections.Counter(
        key
        for path in cluster.folder.glob("*.runs")
        for key in path.read_text().split()
    )
