"""Promises that a run of the soak has to keep, as pure functions."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import itertools

from soak import plan
from soak import traffic

# Crashes under one request after which it must be known, time for that, in
# seconds, and requests that may still reach servers later.
KNOWN_AFTER_CRASHES = 3
KNOWN_AFTER_S = 3.0
MAX_LATE_CRASHES = 3
# Time after which a server that says that it leaves gets nothing more, and some
# for the answer that tells it first, in seconds.
DRAIN_S = 3.0
# Pause that a server asks for, in seconds.
PAUSE_S = 2.0
# Planned work, which cuts no request.
PLANNED = frozenset({"router stopped", "operators race"})
# Faults after which a router knows nothing of what servers told it.
_FORGETTING = "router"
# Time before a planned stop within which another fault may have its effect, in
# seconds: the silence after which a router considers control lost, and the
# length of a request.
SETTLE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A server that said in its answers that it leaves.

    Attributes:
      server: Server.
      told_s: Time from which it said so.
      ended_s: Time at which it was ended.
      late_runs: Requests that it served later than `DRAIN_S` after `told_s`.
    """

    server: str
    told_s: float
    ended_s: float
    late_runs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """A server that turned requests away and asked for pauses.

    Attributes:
      server: Server.
      seconds: Time for which it did so.
      turned_away: Requests that it turned away.
    """

    server: str
    seconds: float
    turned_away: int


def departures_respected(
    departures: Iterable[Departure],
    steps: tuple[plan.Step, ...],
    start_s: float,
) -> list[str]:
    """Checks that servers that leave get nothing more.

    A router that was restarted or frozen in that time is excused.

    Args:
      departures: Departures of servers.
      steps: Faults.
      start_s: Start of the traffic on the clock of `departures`.
    """
    return [
        f"{row.server} served {row.late_runs} requests after it had left"
        for row in departures
        if row.late_runs
        and not any(
            _FORGETTING in step.fault
            for step in plan.overlap(
                steps, row.told_s - start_s - SETTLE_S, row.ended_s - start_s
            )
        )
    ]


def pauses_respected(
    pauses: Iterable[Paused], routers: int, callers: int
) -> list[str]:
    """Checks that servers that ask for pauses are not asked without end.

    Args:
      pauses: Times in which servers asked for pauses.
      routers: Number of routers.
      callers: Number of callers, each with one request at a time.
    """
    broken = []
    for row in pauses:
        # In each pause, the requests that were under way and two more from each
        # router; a router that has restarted begins anew.
        allowed = (row.seconds / PAUSE_S + 2) * (2 * routers + callers)
        if row.turned_away > allowed:
            broken.append(
                f"{row.server} turned {row.turned_away} requests away in "
                f"{row.seconds:.1f} s"
            )
    return broken


def ran_once(
    calls: Iterable[traffic.Call], runs: Mapping[str, int]
) -> list[str]:
    """Checks the runs of requests that must not be repeated.

    Args:
      calls: Calls in the order in which each caller made them.
      runs: Runs by idempotency key, as the backend servers saw them.

    Returns:
      What was broken, one line each.
    """
    broken = [
        f"{key} ran {count} times" for key, count in runs.items() if count > 1
    ]
    deposits = sorted(
        (call for call in calls if call.key),
        key=lambda call: (call.key, call.start_s),
    )
    for key, group in itertools.groupby(deposits, lambda call: call.key):
        last = list(group)[-1]
        count = runs.get(key, 0)
        if last.whole and 200 <= last.status < 300 and not count:
            broken.append(f"{key} was confirmed and did not run")
        if last.whole and last.execution == "not_run" and count:
            broken.append(f"{key} was refused as not run and ran")
    return broken


def answers_own(calls: Iterable[traffic.Call]) -> list[str]:
    """Checks that each whole answer belongs to its request."""
    return [
        f"{call.kind} at {call.start_s:.2f} s got the answer of another request"
        for call in calls
        if call.whole and not call.own
    ]


def planned_stops_cut_nothing(
    calls: Iterable[traffic.Call], steps: tuple[plan.Step, ...]
) -> list[str]:
    """Checks the requests at routers that were stopped as planned.

    Only requests without any other fault shortly before or during them count.
    """
    stops = [step for step in steps if step.fault == "router stopped"]
    return [
        f"{call.kind} at {call.start_s:.2f} s was cut by the stop of "
        f"{step.router} at {step.at_s:.2f} s"
        for step in stops
        for call in calls
        if call.router == step.router
        and not call.whole
        and call.start_s <= step.at_s <= call.end_s
        and not any(
            other.fault not in PLANNED
            for other in plan.overlap(
                steps, call.start_s - SETTLE_S, call.end_s
            )
        )
    ]


def numbers_grow(
    decreases: Iterable[tuple[str, int, int]], acknowledged: int, final: int
) -> list[str]:
    """Checks that no environment in force was taken back.

    Args:
      decreases: Process, highest number that it showed and lower one after it.
      acknowledged: Highest number that an operator got an acknowledgement for.
      final: Number in force everywhere at the end.
    """
    broken = [
        f"{name} showed number {lower} after {highest}"
        for name, highest, lower in decreases
    ]
    if final < acknowledged:
        broken.append(
            f"number {final} is in force, {acknowledged} was accepted"
        )
    return broken


def crashes_end(times_s: Iterable[float]) -> list[str]:
    """Checks that a request that crashes servers stops reaching them.

    Args:
      times_s: Times of the crashes under one request.
    """
    crashes = sorted(times_s)
    if len(crashes) < KNOWN_AFTER_CRASHES:
        return []
    known_s = crashes[KNOWN_AFTER_CRASHES - 1] + KNOWN_AFTER_S
    late = [at_s for at_s in crashes if at_s > known_s]
    if len(late) <= MAX_LATE_CRASHES:
        return []
    return [
        f"a request crashed {len(crashes)} servers, {len(late)} later than "
        f"{KNOWN_AFTER_S:g} s after the third"
    ]
