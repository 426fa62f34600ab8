"""Decides how many servers a service needs in each data centre.

Load that this answers: demand that rises, falls, jumps or moves to other data
centres while servers are billed by the second and need `boot_s` to start.

* The demand is the number of servers that would be in full use: by slots in
  use and queued requests, or by prompts to read, whichever is more. Refused
  work counts; refused callers that come back do not count twice.
* Servers are ordered as soon as the demand of the last seconds would use more
  than `HIGH_USE` of those in all data centres, and so many that it uses
  `TARGET_USE`. They are divided by where the requests arrive.
* Servers are given up only if the peak of at least the last minute would use
  less than `LOW_USE`, and nothing was refused or queued lately.
* A data centre that is drained, or has lost all its servers, keeps its order.
  The others take over its demand.
* Nothing is concluded from servers that are missing until a new leader has had
  time to learn of them.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import math

import immutables

from waxwingrack.core import data
from waxwingrack.operations import capacity_demand

# Use of the servers that an order aims for. Callers stay within their latency
# targets up to about 0.7, as waits grow without bound towards full use.
TARGET_USE = 0.65
# Use above which servers are ordered, and below which they are given up. The
# distance to `TARGET_USE` keeps small changes from causing orders.
HIGH_USE = 0.72
LOW_USE = 0.55
# Shortest time for which the peak of the demand counts, in milliseconds, and
# the same in multiples of the start-up time.
MIN_PEAK_MS = 60_000
PEAK_BOOTS = 4.0
# Time after which an ordered server should serve, in multiples of the start-up
# time, and its lower bound in milliseconds, within which servers announce
# themselves to a new leader several times.
ARRIVAL_BOOTS = 2.0
MIN_ARRIVAL_MS = 10_000
# Time without refused or queued requests before servers are given up.
MIN_QUIET_MS = 5_000
# Largest factor by which demand may exceed the servers that are seen. More is
# not known from refusals, and a false count cannot order more.
MAX_FACTOR = 4.0
# Part of the requests that is refused from which on servers count as fully
# used, whatever else is measured.
FULL_REFUSED_SHARE = 0.05
# Part of the servers that is kept when servers are given up. A demand that is
# wrongly seen as low is then noticed while half of them still serve.
KEPT_SHARE = 0.5
# Tolerance for sums of fractions before they are rounded up.
_TOLERANCE = 1e-9

_EMPTY = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCounts:
    """Servers of a service in a data centre by state.

    Attributes:
      serving: Servers that are usable and warm.
      cold: Servers that are usable and have just started.
      departing: Servers that have announced that they leave.
      stale: Servers that are not heard of any more.
    """

    serving: int = 0
    cold: int = 0
    departing: int = 0
    stale: int = 0

    @property
    def usable(self) -> int:
        """Number of servers that may get requests."""
        return self.serving + self.cold


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What the leader sees of a service in a data centre.

    Attributes:
      service: Service.
      data_centre: Data centre.
      scaling: Limits of the service.
      at_ms: Time of the observation.
      traffic: Requests of the routers of the data centre since the start of
        the leader.
      return_ratio: Part of the refused callers that come back, from 0 to 1.
      queued: Queued requests of these routers.
      used_slots: Slots that requests of these routers use, in any data centre.
      slots_per_server: Slots of a typical server of the service; 0 without one.
      read_ms_per_token: Time that a model engine takes for a token of a prompt,
        cached parts included, in milliseconds; 0 for other servers.
      servers: Servers in the data centre.
      drained: Whether the data centre is drained.
    """

    service: str
    data_centre: str
    scaling: data.Scaling
    at_ms: int
    traffic: data.ServiceTraffic = data.ServiceTraffic()
    return_ratio: float = 0.0
    queued: int = 0
    used_slots: int = 0
    slots_per_server: float = 0.0
    read_ms_per_token: float = 0.0
    servers: ServerCounts = ServerCounts()
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Number of servers that a service shall have in a data centre.

    Attributes:
      service: Service.
      data_centre: Data centre.
      count: Number of servers.
    """

    service: str
    data_centre: str
    count: int


@dataclasses.dataclass(frozen=True)
class Subject:
    """A service in a data centre.

    Attributes:
      latest: Latest observation.
      demand: Demand of the routers in the data centre.
      present: Peak of the usable servers.
      ordered: Number of the latest order of this leader; None without one.
      changed_ms: Time of that order.
      risen_ms: Time at which more servers were last seen than before.
    """

    latest: Observation
    demand: capacity_demand.Demand = capacity_demand.Demand()
    present: capacity_demand.Peak = capacity_demand.Peak()
    ordered: int | None = None
    changed_ms: int = 0
    risen_ms: int = 0

    @property
    def count(self) -> int:
        """Number of servers that the data centre has or will have."""
        if self.ordered is not None:
            return self.ordered
        return round(self.present.value)


@dataclasses.dataclass(frozen=True)
class ServiceState:
    """State of a service.

    Attributes:
      since_ms: Time of the first observation.
      demand: Demand in all data centres.
      subjects: `Subject` by data centre.
      demand_ms: Time at which demand was first seen; negative before it.
      pressure_ms: Time at which requests were last refused or queued; negative
        before it.
      active: Data centres that can serve.
      active_ms: Time since which these are the ones.
      seen: Whether a server of the service was ever seen.
      is_bounded: Whether the latest sample is at its upper bound, or could not
        be measured as servers announce no slots.
    """

    since_ms: int
    demand: capacity_demand.Demand = capacity_demand.Demand()
    subjects: immutables.Map = _EMPTY
    demand_ms: int = -1
    pressure_ms: int = -1
    active: tuple[str, ...] = ()
    active_ms: int = 0
    seen: bool = False
    is_bounded: bool = False


# A changed number of servers: the data centre, the number and the reason.
Change = tuple[Subject, int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An order and the reason for it."""

    order: Order
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Result of a decision.

    Attributes:
      services: `ServiceState` by service.
      decisions: Changed orders, at most one of each subject.
    """

    services: immutables.Map
    decisions: tuple[Decision, ...]


def decide(
    services: immutables.Map, observations: Iterable[Observation], now_ms: int
) -> Plan:
    """Decides on the orders of all services.

    Args:
      services: `ServiceState` by service, of the former decision of this
        leader; empty at first.
      observations: Present observations, sorted by service. A service without
        any is forgotten.
      now_ms: Present time.
    """
    states, decisions = {}, []
    for service, group in itertools.groupby(
        observations, key=lambda observation: observation.service
    ):
        state = services.get(service) or ServiceState(now_ms, active_ms=now_ms)
        state = _observe(state, tuple(group), now_ms)
        found = _decide_service(state, now_ms)
        states[service] = _record_orders(state, found, now_ms)
        decisions += found
    return Plan(immutables.Map(states), tuple(decisions))


def get_peak_ms(scaling: data.Scaling) -> float:
    """Returns the time for which the peak of the demand counts."""
    return max(MIN_PEAK_MS, PEAK_BOOTS * scaling.boot_s * 1000)


def get_arrival_ms(scaling: data.Scaling) -> float:
    """Returns the time after which ordered servers should have been seen."""
    return max(MIN_ARRIVAL_MS, ARRIVAL_BOOTS * scaling.boot_s * 1000)


# ---------------------------------------------------------------------------
# Observations
# ---------------------------------------------------------------------------


def measure_demand(
    observation: Observation, former: Observation | None, usable: int
) -> float:
    """Returns the servers that the demand of a data centre would use fully.

    Args:
      observation: Observation.
      former: The observation before it; None without one.
      usable: Usable servers of the service in all data centres.
    """
    if observation.slots_per_server < 1 or not usable:
        return 0.0
    former = former or observation
    arrived, refused = _count_new(observation, former)
    new = arrived - min(1.0, max(0.0, observation.return_ratio)) * refused
    admitted = arrived - refused
    factor = min(MAX_FACTOR, new / admitted) if admitted else MAX_FACTOR
    factor = max(1.0, factor) if refused else 1.0
    slots = observation.used_slots * factor + observation.queued
    elapsed_ms = max(1, observation.at_ms - former.at_ms)
    tokens = max(0, observation.traffic.tokens - former.traffic.tokens)
    reading = tokens * (new / arrived if arrived else 1.0) / elapsed_ms
    needed = max(
        slots / observation.slots_per_server,
        reading * observation.read_ms_per_token,
    )
    if refused > FULL_REFUSED_SHARE * arrived:
        needed = max(needed, observation.servers.usable)
    if not math.isfinite(needed):
        return 0.0
    return min(max(0.0, needed), MAX_FACTOR * usable)


def _count_new(
    observation: Observation, former: Observation
) -> tuple[int, int]:
    """Returns the requests that arrived and were refused between two."""
    now, before = observation.traffic, former.traffic
    arrived = max(0, now.arrived - before.arrived)
    return arrived, min(arrived, max(0, now.refused - before.refused))


def _observe(
    state: ServiceState, observations: tuple[Observation, ...], now_ms: int
) -> ServiceState:
    """Adds the observations of a service."""
    scaling = observations[0].scaling
    usable = sum(row.servers.usable for row in observations)
    subjects, total = dict(state.subjects), 0.0
    for row in observations:
        former = subjects.get(row.data_centre)
        needed = measure_demand(row, former and former.latest, usable)
        total += needed
        subjects[row.data_centre] = _add_observation(former, row, needed)
    # Each data centre is bounded by all servers, as its routers may use those
    # of the others; the sum needs the bound as well.
    is_bounded = total >= MAX_FACTOR * usable > 0 or bool(
        usable and observations[0].slots_per_server < 1
    )
    total = min(total, MAX_FACTOR * usable)
    pressure = any(
        _has_pressure(row, state.subjects.get(row.data_centre))
        for row in observations
    )
    demand = state.demand
    if usable:
        # Without servers the demand cannot be measured.
        demand = capacity_demand.add_sample(
            demand, total, now_ms, get_peak_ms(scaling)
        )
    has_demand = total > 0 or any(row.traffic.arrived for row in observations)
    active = tuple(
        sorted(
            name
            for name, subject in subjects.items()
            if _is_active(subject, now_ms)
        )
    )
    return data.evolve(
        state,
        demand=demand,
        subjects=immutables.Map(subjects),
        demand_ms=now_ms
        if state.demand_ms < 0 and has_demand
        else state.demand_ms,
        pressure_ms=now_ms if pressure else state.pressure_ms,
        active=active,
        active_ms=state.active_ms if active == state.active else now_ms,
        is_bounded=is_bounded,
        seen=state.seen
        or any(row.servers != ServerCounts() for row in observations),
    )


def _add_observation(
    former: Subject | None, row: Observation, needed: float
) -> Subject:
    subject = former or Subject(row, risen_ms=row.at_ms)
    usable = row.servers.usable
    return data.evolve(
        subject,
        latest=row,
        demand=capacity_demand.add_sample(
            subject.demand, needed, row.at_ms, get_peak_ms(row.scaling)
        ),
        present=capacity_demand.add_value(
            subject.present, usable, row.at_ms, get_arrival_ms(row.scaling)
        ),
        risen_ms=row.at_ms
        if usable > subject.present.value
        else subject.risen_ms,
    )


def _has_pressure(row: Observation, former: Subject | None) -> bool:
    """Tells whether requests are refused, or still queued after an interval."""
    if former is None:
        return bool(row.traffic.refused or row.queued)
    refused = row.traffic.refused > former.latest.traffic.refused
    return refused or bool(row.queued and former.latest.queued)


def _is_active(subject: Subject, now_ms: int) -> bool:
    """Tells whether a data centre has servers or will have them soon."""
    row = subject.latest
    if row.drained:
        return False
    is_awaited = bool(
        subject.ordered
    ) and now_ms - subject.changed_ms <= get_arrival_ms(row.scaling)
    return row.servers.usable > 0 or is_awaited


# ---------------------------------------------------------------------------
# Orders
# ---------------------------------------------------------------------------


def _decide_service(state: ServiceState, now_ms: int) -> list[Decision]:
    subjects = [state.subjects[name] for name in state.active]
    if not subjects:
        return _start_first_servers(state, now_ms)
    if not all(_is_known(state, subject, now_ms) for subject in subjects):
        return []
    scaling = subjects[0].latest.scaling
    # One server is kept even without demand: the next caller would otherwise
    # wait for the start of a server.
    limits = min(scaling.max, max(1, scaling.min)), scaling.max
    changes = _enforce_limits(subjects, limits)
    changes = changes or _raise(state, subjects, limits, now_ms)
    if not changes and _may_lower(state, subjects, now_ms):
        changes = _lower(state, subjects, limits)
    return [
        Decision(Order(row.service, row.data_centre, count), reason)
        for subject, count, reason in changes
        for row in (subject.latest,)
    ]


def _divide(
    demand: float, use: float, subjects: list[Subject], limits: tuple[int, int]
) -> list[float]:
    """Returns the servers of each data centre at which they have this use."""
    weights = [subject.demand.peak.value for subject in subjects]
    return capacity_demand.spread(demand / use, weights, *limits)


def _enforce_limits(
    subjects: list[Subject], limits: tuple[int, int]
) -> list[Change]:
    low, high = limits
    return [
        (subject, count, f"{subject.count} servers are outside the limits")
        for subject in subjects
        if (count := min(high, max(low, subject.count))) != subject.count
    ]


def _raise(
    state: ServiceState,
    subjects: list[Subject],
    limits: tuple[int, int],
    now_ms: int,
) -> list[Change]:
    """Orders more servers if those of all data centres are too few.

    A data centre may have too few as long as the others have enough for it, as
    requests are placed in other data centres as well.
    """
    demand = state.demand.present
    missing = [_count_missing(subject, now_ms) for subject in subjects]
    there = sum(subject.count for subject in subjects) - sum(missing)
    if sum(_divide(demand, HIGH_USE, subjects, limits)) <= there + _TOLERANCE:
        return []
    wanted = _divide(demand, TARGET_USE, subjects, limits)
    return [
        (subject, count, f"demand needs {share:.2f}, {absent} are missing")
        for subject, share, absent in zip(
            subjects, wanted, missing, strict=True
        )
        if (count := min(limits[1], _round_up(share) + absent)) > subject.count
    ]


def _count_missing(subject: Subject, now_ms: int) -> int:
    """Returns the ordered servers that should serve by now and do not."""
    arrival_ms = get_arrival_ms(subject.latest.scaling)
    if subject.ordered is None or now_ms - subject.changed_ms <= arrival_ms:
        return 0
    return max(0, subject.ordered - round(subject.present.value))


def _lower(
    state: ServiceState, subjects: list[Subject], limits: tuple[int, int]
) -> list[Change]:
    """Gives up servers that the peak of the demand did not need."""
    peak = state.demand.peak.value
    total = sum(subject.count for subject in subjects)
    if sum(_divide(peak, LOW_USE, subjects, limits)) >= total - _TOLERANCE:
        return []
    wanted = _divide(peak, TARGET_USE, subjects, limits)
    surplus = total - _round_up(sum(wanted))
    changes = []
    for subject, share in zip(subjects, wanted, strict=True):
        kept = max(_round_up(share), _round_up(subject.count * KEPT_SHARE))
        given_up = min(surplus, subject.count - kept)
        if given_up > 0:
            surplus -= given_up
            reason = f"the peak of the demand needs {share:.2f}"
            changes.append((subject, subject.count - given_up, reason))
    return changes


def _start_first_servers(state: ServiceState, now_ms: int) -> list[Decision]:
    """Orders the first servers of a service that has never had any.

    Servers that the leader once saw are expected back, as an order could
    lower their number.
    """
    return [
        Decision(
            Order(row.service, row.data_centre, max(1, row.scaling.min)),
            "requests arrive and there has been no server",
        )
        for _, subject in sorted(state.subjects.items())
        if (row := subject.latest).traffic.arrived
        and not row.drained
        and not state.seen
        and subject.ordered is None
        and row.scaling.max
        and row.data_centre
        and now_ms - state.since_ms >= 2 * get_arrival_ms(row.scaling)
    ]


def _is_known(state: ServiceState, subject: Subject, now_ms: int) -> bool:
    """Tells whether the present number of servers can be relied on.

    Until the first order of this leader, the number is what it has seen. An
    order on the base of a part of the servers would remove the others.
    """
    settle_ms = get_arrival_ms(subject.latest.scaling)
    return subject.ordered is not None or (
        now_ms - state.since_ms >= settle_ms
        and now_ms - subject.risen_ms >= MIN_QUIET_MS
    )


def _may_lower(
    state: ServiceState, subjects: list[Subject], now_ms: int
) -> bool:
    """Tells whether the demand has been seen for long and nothing waits."""
    scaling = subjects[0].latest.scaling
    quiet_ms = max(MIN_QUIET_MS, scaling.boot_s * 1000)
    peak_ms = get_peak_ms(scaling)
    return (
        0 <= state.demand_ms <= now_ms - peak_ms
        and now_ms - state.active_ms >= peak_ms
        and (state.pressure_ms < 0 or now_ms - state.pressure_ms >= quiet_ms)
        and all(
            now_ms - subject.changed_ms > get_arrival_ms(scaling)
            for subject in subjects
        )
    )


def _record_orders(
    state: ServiceState, decisions: list[Decision], now_ms: int
) -> ServiceState:
    subjects = state.subjects
    for decision in decisions:
        name = decision.order.data_centre
        subject = data.evolve(
            subjects[name], ordered=decision.order.count, changed_ms=now_ms
        )
        subjects = subjects.set(name, subject)
    return data.evolve(state, subjects=subjects)


def _round_up(number: float) -> int:
    return math.ceil(number - _TOLERANCE)
