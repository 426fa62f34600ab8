"""Sharing of a service among workspaces that want more than it can do.

Load that this answers: some workspaces send many times their usual load to a
service with latency targets, and their callers come back once after
`Retry-After`.

* Each workspace gets its max-min share of the capacity. The demand of a
  workspace is the work that arrived in about the last second, refused work
  included, and the work it has queued.
* A refused caller gets the next place in a schedule of returns of its
  workspace, which advances at the rate at which the workspace is served. So
  callers of a workspace far over its share are told to come back later.
* Callers that come back as told are recognised by the digest of the request.
  Room is kept for them: newcomers of the workspace are refused as if the
  returns that are due earlier were queued already.

The state of a service is one immutable record in the leader's memory. A new
leader starts without it; the counters of `fairness.py`, which keep the shares,
are checkpointed.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

import immutables

from waxwingrack.core import data
from waxwingrack.operations import forecast_errors

# Time constant of the demand of a workspace, in milliseconds. Shares are kept
# second by second.
DEMAND_MS = 1_000.0
# Shortest time over which demand is measured after the start of a leader, in
# milliseconds. Over less, one large request would count as a flood.
MIN_DEMAND_MS = 250.0
# Queued work counts as demand over this time, in milliseconds, so that a burst
# counts before the mean of the arrivals has followed it.
QUEUE_DEMAND_MS = 500.0
# Demand, relative to the share, up to which a workspace counts as within it.
# The demand of a workspace that sends few requests varies by about this.
SHARE_TOLERANCE = 1.1
# Largest demand of one workspace, in work per millisecond.
MAX_DEMAND = 1e9
# Smallest share of the capacity that a forecast assumes, so that none divides
# by zero.
MIN_SHARE = 1e-4
# Shortest retry delay that a refused caller is given, in milliseconds.
MIN_RETRY_MS = 300
# Longest retry delay, in milliseconds. Later places say nothing about a queue
# whose load changes within seconds.
MAX_RETRY_MS = 10_000
# Callers honour a retry delay up to this part of the time they have left.
HONOURED_FRACTION = 1 / 3
# Callers without a place within the longest delay come back in this last part
# of it, spread evenly.
SPREAD_FRACTION = 0.25
# Successive multiples of this number, modulo 1, are spread evenly.
_GOLDEN_RATIO = 0.6180339887498949
# A caller may come back earlier by this time in milliseconds, plus this part
# of its delay, as it rounds the delay and measures its time left by itself.
EARLY_MS = 100
EARLY_FRACTION = 0.1
# A caller may come back later by this time, as `Retry-After` may be rounded up
# to whole seconds.
LATE_MS = 1_200
# Room for a return is kept for this time after it was due, in milliseconds.
KEPT_ROOM_MS = 200
# Width of the time steps in which room is kept, in milliseconds.
ROOM_STEP_MS = 50
# Bound on the returns of a service that are remembered.
MAX_RETURNS = 4_096
# Expired returns are removed at this interval, in milliseconds.
SWEEP_INTERVAL_MS = 500
# A workspace without arrivals for this time is forgotten, in milliseconds; its
# demand has decayed to less than a thousandth.
FORGET_MS = 10 * DEMAND_MS
# Part of the refused callers that come back, until it is known, and the weight
# of each return in its running mean. It stays within 0 to 1.
START_RETURN_RATIO = 0.5
RETURN_RATIO_STEP = 0.02
# Lowest part of a request by which a place advances the schedule of returns, so
# that places are spread even if nobody has come back.
MIN_PLACE_FRACTION = 0.1

_EMPTY = immutables.Map()


@dataclasses.dataclass(frozen=True)
class WorkspaceLoad:
    """Demand and expected returns of a workspace at a service.

    Attributes:
      demand: Arriving work per millisecond, as a decaying mean.
      updated_ms: Time up to which `demand` has decayed.
      next_return_ms: Time of the next place in the schedule of returns.
      refused: Number of places given beyond the longest delay.
      room: Work for which room is kept, by step of `ROOM_STEP_MS`.
    """

    demand: float = 0.0
    updated_ms: int = 0
    next_return_ms: float = 0.0
    refused: int = 0
    room: immutables.Map = _EMPTY


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """A caller that was told to come back.

    Attributes:
      refused_ms: Time of the refusal.
      due_ms: Time at which it was told to come back.
      cost: Work for which room is kept; 0 if there was none in time.
    """

    refused_ms: int
    due_ms: int
    cost: float


@dataclasses.dataclass(frozen=True)
class ServiceLoad:
    """Contention at a service.

    Attributes:
      workspaces: `WorkspaceLoad` by workspace.
      returns: `Return` by (workspace, digest).
      return_ratio: Part of the refused callers that come back as told.
      swept_ms: Time of the last removal of expired returns.
      errors: Learned error of the forecasts.
      kinds: `size_classes.Kind` by route.
      over: Workspaces over their share at the last arrivals.
      since_ms: Time of the first arrival; negative before it.
    """

    workspaces: immutables.Map = _EMPTY
    returns: immutables.Map = _EMPTY
    return_ratio: float = START_RETURN_RATIO
    swept_ms: int = 0
    errors: forecast_errors.ForecastErrors = forecast_errors.ForecastErrors()
    kinds: immutables.Map = _EMPTY
    over: frozenset[str] = frozenset()
    since_ms: int = -1


# ---------------------------------------------------------------------------
# Demand and shares
# ---------------------------------------------------------------------------


def compute_demand(load: WorkspaceLoad, now_ms: int) -> float:
    """Returns the arriving work of a workspace per millisecond."""
    age_ms = max(0, now_ms - load.updated_ms)
    return load.demand * math.exp(-age_ms / DEMAND_MS)


def add_arrivals(
    service: ServiceLoad, arrivals: Iterable[tuple[str, float]], now_ms: int
) -> ServiceLoad:
    """Adds arrived work to the demand of the workspaces.

    Args:
      service: Contention at the service.
      arrivals: Pairs of workspace and work; work that is not a positive number
        is not counted.
      now_ms: Present time.
    """
    workspaces = service.workspaces.mutate()
    for workspace, cost in arrivals:
        if not 0 < cost < math.inf:
            continue
        load = workspaces.get(workspace, WorkspaceLoad(updated_ms=now_ms))
        demand = compute_demand(load, now_ms) + cost / DEMAND_MS
        workspaces[workspace] = data.evolve(
            load, demand=min(MAX_DEMAND, demand), updated_ms=now_ms
        )
    return data.evolve(
        service,
        workspaces=workspaces.finish(),
        since_ms=service.since_ms if service.since_ms >= 0 else now_ms,
    )


def compute_warm_up(service: ServiceLoad, now_ms: int) -> float:
    """Returns the factor that corrects means which have just started.

    Without it, the demand of a flood would be underestimated for a second after
    each change of the leader.
    """
    age_ms = max(MIN_DEMAND_MS, now_ms - service.since_ms)
    return 1 / (1 - math.exp(-age_ms / DEMAND_MS))


def compute_level(
    demands: Iterable[tuple[float, float]],
    rate: float,
    open_weight: float = 0.0,
) -> float:
    """Computes the level up to which max-min sharing serves every demand.

    Args:
      demands: Pairs of demand per weight, in work per millisecond, and weight,
        in ascending order.
      rate: Capacity in work per millisecond.
      open_weight: Weight of one more workspace with an unlimited demand; 0 for
        none.

    Returns:
      The largest rate per weight; infinite if all demands fit.
    """
    rows = list(demands)
    left = rate
    weights = open_weight + sum(weight for _, weight in rows)
    for per_weight, weight in rows:
        if per_weight * weights > left:
            return max(0.0, left) / weights
        left -= per_weight * weight
        weights -= weight
    return max(0.0, left) / open_weight if open_weight > 0 else math.inf


class Shares:
    """Max-min shares of a service at one time.

    Attributes:
      rate: Capacity in work per millisecond.
      level: Rate per weight up to which demands are served.
    """

    def __init__(
        self,
        service: ServiceLoad,
        queued: Mapping[str, float],
        weights: Mapping[str, float],
        rate: float,
        now_ms: int,
    ):
        """Computes the shares.

        Args:
          service: Contention at the service.
          queued: Queued work by workspace.
          weights: Positive weights of the workspaces with demand or queued
            work.
          rate: Capacity in work per millisecond.
          now_ms: Present time.
        """
        self.rate, self._weights = rate, weights
        warm_up = compute_warm_up(service, now_ms)
        self._arriving = {
            workspace: warm_up * compute_demand(load, now_ms)
            for workspace, load in service.workspaces.items()
            if workspace in weights
        }
        self._rows = sorted(
            (
                (
                    self._arriving.get(workspace, 0.0)
                    + queued.get(workspace, 0.0) / QUEUE_DEMAND_MS
                )
                / weight,
                weight,
                workspace,
            )
            for workspace, weight in weights.items()
        )
        self._rates: dict[str, float] = {}
        self.level = compute_level([row[:2] for row in self._rows], rate)

    def is_within(self, workspace: str) -> bool:
        """Tells whether a workspace sends no more than its share."""
        weight = self._weights.get(workspace, 1.0)
        arriving = self._arriving.get(workspace, 0.0)
        return arriving <= SHARE_TOLERANCE * self.level * weight

    def get_rate(self, workspace: str) -> float:
        """Returns the rate at which a queue of a workspace is served.

        It is the share that the workspace has if it wants everything.
        """
        if workspace not in self._rates:
            weight = self._weights.get(workspace, 1.0)
            others = [row[:2] for row in self._rows if row[2] != workspace]
            level = compute_level(others, self.rate, weight)
            self._rates[workspace] = max(
                MIN_SHARE * self.rate, min(self.rate, level * weight)
            )
        return self._rates[workspace]

    def list_over(self) -> frozenset[str]:
        """Returns the workspaces that send more than their share."""
        return frozenset(
            workspace
            for workspace in self._arriving
            if not self.is_within(workspace)
        )


# ---------------------------------------------------------------------------
# Returns
# ---------------------------------------------------------------------------


def limit_retry_ms(left_ms: int) -> int:
    """Returns the longest retry delay that a caller honours.

    Args:
      left_ms: Time that the caller has left; 0 if it has no deadline.
    """
    if left_ms <= 0:
        return MAX_RETRY_MS
    honoured_ms = math.floor(left_ms * HONOURED_FRACTION)
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, honoured_ms))


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedWork:
    """A refused request, as the schedule of returns needs it.

    Attributes:
      workspace: Workspace.
      digest: Digest of the request; empty if it is not known.
      cost: Its work.
      left_ms: Time that its caller has left; 0 without a deadline.
      earliest_ms: Time until the queue has room for it.
      rate: Work of the workspace that is served per millisecond.
    """

    workspace: str
    digest: str
    cost: float
    left_ms: int
    earliest_ms: float
    rate: float


def schedule_return(
    service: ServiceLoad, work: RefusedWork, now_ms: int
) -> tuple[ServiceLoad, int]:
    """Gives a refused caller the next place in the schedule of returns.

    Args:
      service: Contention at the service.
      work: The refused request.
      now_ms: Present time.

    Returns:
      The changed state and the retry delay in milliseconds.
    """
    load = service.workspaces.get(
        work.workspace, WorkspaceLoad(updated_ms=now_ms)
    )
    limit_ms = limit_retry_ms(work.left_ms)
    earliest_ms = max(float(MIN_RETRY_MS), work.earliest_ms)
    delay_ms = max(earliest_ms, load.next_return_ms - now_ms)
    room = 0.0
    if delay_ms <= limit_ms:
        room = work.cost * service.return_ratio
        place = work.cost * max(MIN_PLACE_FRACTION, service.return_ratio)
        load = data.evolve(
            load, next_return_ms=now_ms + delay_ms + place / work.rate
        )
    else:
        load = data.evolve(load, refused=load.refused + 1)
        spread = load.refused * _GOLDEN_RATIO % 1
        delay_ms = limit_ms * (1 - SPREAD_FRACTION * spread)
    retry_ms = max(MIN_RETRY_MS, round(delay_ms))
    key = (work.workspace, work.digest)
    if work.digest and (
        key in service.returns or len(service.returns) < MAX_RETURNS
    ):
        earlier = service.returns.get(key)
        if earlier is not None:
            load = _change_room(load, earlier.due_ms, -earlier.cost)
        load = _change_room(load, now_ms + retry_ms, room)
        entry = Return(now_ms, now_ms + retry_ms, room)
        service = data.evolve(service, returns=service.returns.set(key, entry))
    workspaces = service.workspaces.set(work.workspace, load)
    return data.evolve(service, workspaces=workspaces), retry_ms


def _change_room(
    load: WorkspaceLoad, due_ms: int, change: float
) -> WorkspaceLoad:
    if not change:
        return load
    step = due_ms // ROOM_STEP_MS
    work = load.room.get(step, 0.0) + change
    room = load.room.set(step, work) if work > 0 else load.room
    if work <= 0 and step in room:
        room = room.delete(step)
    return data.evolve(load, room=room)


def sum_room(load: WorkspaceLoad, now_ms: int, until_ms: float) -> float:
    """Returns the work for which room is kept and that is due until a time.

    Args:
      load: Load of the workspace.
      now_ms: Present time. Returns that were due long before do not count.
      until_ms: Time until which returns count.
    """
    oldest = (now_ms - KEPT_ROOM_MS) // ROOM_STEP_MS
    return sum(
        work
        for step, work in load.room.items()
        if step >= oldest and step * ROOM_STEP_MS <= until_ms
    )


def take_return(
    service: ServiceLoad, workspace: str, digest: str, now_ms: int
) -> tuple[ServiceLoad, Return | None]:
    """Recognises a caller that comes back as it was told.

    A caller that comes back before the time it was told is a newcomer and
    keeps its place.

    Args:
      service: Contention at the service.
      workspace: Workspace of the new request.
      digest: Its digest.
      now_ms: Present time.

    Returns:
      The changed state and the return; None for a newcomer.
    """
    entry = service.returns.get((workspace, digest)) if digest else None
    if entry is None:
        return service, None
    early_ms = EARLY_MS + EARLY_FRACTION * (entry.due_ms - entry.refused_ms)
    if now_ms < entry.due_ms - early_ms:
        return service, None
    service = _remove_returns(
        service, [((workspace, digest), entry)], is_expired(entry, now_ms)
    )
    return service, None if is_expired(entry, now_ms) else entry


def is_expired(entry: Return, now_ms: int) -> bool:
    """Tells whether a caller has not come back in time."""
    return now_ms > entry.due_ms + LATE_MS


def _remove_returns(
    service: ServiceLoad,
    removed: list[tuple[tuple[str, str], Return]],
    expired: bool,
) -> ServiceLoad:
    returns = service.returns.mutate()
    workspaces = service.workspaces.mutate()
    ratio = service.return_ratio
    for key, entry in removed:
        del returns[key]
        load = workspaces.get(key[0])
        if load is not None:
            workspaces[key[0]] = _change_room(load, entry.due_ms, -entry.cost)
        ratio += RETURN_RATIO_STEP * ((0.0 if expired else 1.0) - ratio)
    return data.evolve(
        service,
        returns=returns.finish(),
        workspaces=workspaces.finish(),
        return_ratio=ratio,
    )


def remove_expired(service: ServiceLoad, now_ms: int) -> ServiceLoad:
    """Removes expired returns, at most once per `SWEEP_INTERVAL_MS`."""
    if now_ms - service.swept_ms < SWEEP_INTERVAL_MS:
        return service
    service = data.evolve(service, swept_ms=now_ms)
    expired = [
        (key, entry)
        for key, entry in service.returns.items()
        if is_expired(entry, now_ms)
    ]
    if expired:
        service = _remove_returns(service, expired, True)
    workspaces = service.workspaces.mutate()
    for workspace, load in service.workspaces.items():
        if (
            now_ms - load.updated_ms > FORGET_MS
            and now_ms > load.next_return_ms
            and not load.room
        ):
            del workspaces[workspace]
    return data.evolve(service, workspaces=workspaces.finish())
