"""Speed of each backend server, learned from the ends of its requests.

Servers of one service differ: their VMs have other processors, neighbours and
slow periods. The leader learns one value for each incarnation of a server, as a
running mean that starts at the mean of the service:

* model engines: the prompt tokens that they read in a millisecond;
* other servers: the time of a request, as a multiple of the mean of the service
  on the same route.

A value stays within a factor around the mean of the service and, for the
reading rate, within absolute bounds. So neither a few odd samples nor false
ones take a server out of service or make it look free.

Some servers also state in their answers how long work takes there at present.
This changes many times per second, so its weight decays to zero within
`SLOWNESS_LIFETIME_MS`.

While servers other than model engines are known to differ, requests are placed
by the expected time of their completion. Each request in flight raises it for
its server, so one report does not move all requests at once.
"""

from collections.abc import Iterable
import dataclasses
import math

import immutables

from waxwingrack.core import data

# Bound of a server's speed, as a factor around the mean of its service. VMs of
# one service are known to differ by a factor of 2.2 (0.55 to 1.2); a larger
# difference than this one is taken for a fault of the measurement.
MAX_SPEED_FACTOR = 4.0
# Lowest and highest reading rate of an engine, in tokens per millisecond. Known
# engines read 20 to 100; these bounds keep divisions and limits finite.
MIN_TOKENS_PER_MS = 2.0
MAX_TOKENS_PER_MS = 2_000.0
# Expected time to read the tokens ahead of an answer from which its prompt
# counts, in milliseconds: behind other prompts, and alone. With less, the steps
# of running requests dominate, which take 10 to 20 ms. The former is below the
# limit of unread prompts, so that a busy engine of any speed is measured; the
# time of the latter includes the way to the engine.
MIN_QUEUED_MS = 40.0
MIN_ALONE_MS = 80.0
# Time from the dispatch of a request to its arrival at the engine, in
# milliseconds, with a margin. It is not applied in full to shorter times, as
# engines faster than known would otherwise never be measured.
ARRIVAL_MS = 8.0
# Reading time that one sample covers, in milliseconds. Reports of routers are
# coalesced over some milliseconds, which this evens out.
SAMPLE_MS = 100.0
# Weight of the mean of the service in the running mean of a server.
START_WEIGHT = 1.0
# Highest weight of the earlier samples of a reading rate: a change of an engine
# shows to 63 % after as many further ones.
MAX_RATE_WEIGHT = 9.0
# The same for the time of a request. Its samples vary much more: with
# log-normal times of sigma 1, the mean of 50 samples stays within
# `EVEN_FACTOR` for all but 2 in 1,000 of the servers.
MAX_TIME_WEIGHT = 49.0
# Shorter times are raised to this one, as clocks have a resolution of 1 ms.
MIN_TIME_MS = 1.0
# Longest time of a request that counts, in milliseconds.
MAX_REQUEST_MS = 600_000.0
# Difference between servers that may be due to chance and counts as none, as a
# factor: of learned times, and of what servers state themselves.
EVEN_FACTOR = 1.5
EVEN_SLOWNESS = 1.25
# Time without a sample after which a learned time counts as unknown. A server
# that gets no requests because it was slow is tried again then.
RELEARN_MS = 10_000
# Lowest and highest slowness that a server can state, as a multiple of the
# normal time. Cold servers are known to take 5 times as long.
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 20.0
# Time within which the weight of a stated slowness falls to zero. It is known
# to change about every 600 ms.
SLOWNESS_LIFETIME_MS = 1_000
# Relative change of a stated slowness that is reported to the leader, and least
# time between two reports of one router about one server: five per second.
REPORTED_CHANGE = 0.2
REPORT_INTERVAL_MS = 200
# Time after which an unchanged slowness is reported again, as it would lose its
# weight otherwise.
REPEAT_INTERVAL_MS = 500
# Servers whose loads a router keeps; the one that was reported first is dropped
# first.
MAX_TOLD_LOADS = 1_024
# Time of the way to a server of another data centre and back, in milliseconds.
REMOTE_MS = 6.25
# Time of a request, in milliseconds, until one has ended.
DEFAULT_REQUEST_MS = 50.0
# Free servers that are compared for one request, those in the data centre of
# the router first. It bounds the work for a request at large services.
MAX_COMPARED = 16
# Routes of a service whose times are kept; with more, they are learned anew.
MAX_ROUTES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ToldLoad:
    """Load that a server stated to a router.

    Attributes:
      slowness: Slowness that was reported last.
      told_ms: Time of the answer that stated it; None if none was reported.
      invalid_ms: Time of the last answer whose load could not be used as it
        was and that was logged; None without one.
    """

    slowness: float = 1.0
    told_ms: int | None = None
    invalid_ms: int | None = None


# ---------------------------------------------------------------------------
# Running means
# ---------------------------------------------------------------------------


def bound(value: float, mean: float) -> float:
    """Returns a value moved to the bounds around the mean of its service."""
    return min(mean * MAX_SPEED_FACTOR, max(mean / MAX_SPEED_FACTOR, value))


def add_sample(
    known: data.RunningMean | None,
    service_mean: float,
    sample: float,
    weight: float,
    max_weight: float,
) -> data.RunningMean:
    """Adds a sample to a running mean.

    Args:
      known: Mean so far; None if there is none yet.
      service_mean: Mean of the service, at which it starts and which bounds it.
      sample: The sample, a positive number.
      weight: Weight of the sample, above 0 and up to 1.
      max_weight: Highest weight of the earlier samples.

    Returns:
      The new mean, within the bounds.
    """
    if known is None:
        known = data.RunningMean(service_mean, START_WEIGHT)
    total = known.weight + weight
    value = (
        known.value
        + (bound(sample, service_mean) - known.value) * weight / total
    )
    return data.RunningMean(bound(value, service_mean), min(max_weight, total))


def is_usable_time(time_ms: float) -> bool:
    """Tells whether a reported time of a request may count."""
    return 0 <= time_ms <= MAX_REQUEST_MS


# ---------------------------------------------------------------------------
# Reading rate of model engines
# ---------------------------------------------------------------------------


def get_read_rate(speed: data.ServerSpeed, service_rate: float) -> float:
    """Returns the tokens that an engine reads in a millisecond.

    Args:
      speed: Speed of the engine.
      service_rate: Mean of the service.
    """
    known = speed.read_rate
    if known is None:
        return service_rate
    return _bound_rate(bound(known.value, service_rate))


def list_read_rates(
    rows: Iterable[data.ServerRow], service_rate: float
) -> list[float]:
    """Returns the tokens that each engine reads in a millisecond.

    It runs over all engines of a service in each tick, so `get_read_rate` is
    inlined.

    Args:
      rows: Rows of the engines.
      service_rate: Mean of the service.
    """
    lowest = _bound_rate(service_rate / MAX_SPEED_FACTOR)
    highest = _bound_rate(service_rate * MAX_SPEED_FACTOR)
    rates = []
    for row in rows:
        known = row.speed.read_rate
        if known is None:
            rates.append(service_rate)
            continue
        rate = known.value
        if rate < lowest:
            rate = lowest
        elif rate > highest:
            rate = highest
        rates.append(rate)
    return rates


def _bound_rate(rate: float) -> float:
    return min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, rate))


def time_reading(
    speed: data.ServerSpeed,
    rate: float,
    reservation: data.EngineReservation,
    in_order: bool,
    first_byte_ms: float,
    now_ms: int,
) -> data.ServerSpeed:
    """Counts the prompt of an answer that has begun as read.

    An engine reads prompts one after the other. So it has read this prompt
    between the previous beginning of an answer and this one, if the request was
    at the engine at the former time. Both reports have been under way for about
    as long, so the time between them does not depend on the network. An engine
    that had nothing else to read began with the dispatch.

    Args:
      speed: Speed of the engine.
      rate: Tokens that it is expected to read in a millisecond.
      reservation: Reservation of the request.
      in_order: Whether the engine has begun the answers to all earlier prompts.
      first_byte_ms: Time from the dispatch to the first byte.
      now_ms: Present time.
    """
    read_ms = None
    # A prompt that was held up on its way arrived at an unknown time.
    if in_order and reservation.unread_tokens and not reservation.is_held_up:
        expected_ms = reservation.tokens_ahead / rate
        elapsed_ms = now_ms - speed.started_ms
        if (
            speed.started_ms >= 0
            and expected_ms >= MIN_QUEUED_MS
            and first_byte_ms >= elapsed_ms + min(ARRIVAL_MS, elapsed_ms)
        ):
            read_ms = float(elapsed_ms)
        elif (
            reservation.tokens_ahead == reservation.unread_tokens
            and expected_ms >= MIN_ALONE_MS
        ):
            read_ms = first_byte_ms
    tokens, total_ms = speed.read_tokens, speed.read_ms
    if read_ms is not None:
        tokens += reservation.unread_tokens
        total_ms += read_ms
    # Runs for each answer; `dataclasses.replace` takes three times as long.
    return data.ServerSpeed(
        speed.read_rate,
        now_ms,
        tokens,
        total_ms,
        speed.time_factor,
        speed.timed_ms,
        speed.slowness,
        speed.slowness_ms,
    )


def has_rate_sample(speed: data.ServerSpeed, rate: float) -> bool:
    """Tells whether the engine has read enough for a sample of its rate.

    Args:
      speed: Speed of the engine.
      rate: Tokens that it is expected to read in a millisecond.
    """
    return bool(speed.read_tokens) and (
        speed.read_tokens >= SAMPLE_MS * rate or speed.read_ms >= SAMPLE_MS
    )


def learn_read_rate(
    speed: data.ServerSpeed, service_rate: float, step: float
) -> tuple[data.ServerSpeed, float]:
    """Adds what an engine has read to its rate and to that of its service.

    Args:
      speed: Speed of the engine, with a sample.
      service_rate: Mean of the service.
      step: Weight of a full sample in the mean of the service.

    Returns:
      The new speed, and the new mean of the service.
    """
    sample = _bound_rate(speed.read_tokens / max(MIN_TIME_MS, speed.read_ms))
    rate = get_read_rate(speed, service_rate)
    weight = min(1.0, speed.read_tokens / (SAMPLE_MS * rate))
    mean = add_sample(
        speed.read_rate, service_rate, sample, weight, MAX_RATE_WEIGHT
    )
    change = bound(sample, service_rate) - service_rate
    return (
        dataclasses.replace(speed, read_rate=mean, read_tokens=0, read_ms=0.0),
        _bound_rate(service_rate + step * weight * change),
    )


# ---------------------------------------------------------------------------
# Time of requests at other servers
# ---------------------------------------------------------------------------


def get_slowness(speed: data.ServerSpeed, now_ms: int) -> float:
    """Returns the stated slowness of a server, weighted by its age."""
    age_ms = now_ms - speed.slowness_ms
    if speed.slowness == 1.0 or age_ms >= SLOWNESS_LIFETIME_MS:
        return 1.0
    weight = 1.0 - max(0, age_ms) / SLOWNESS_LIFETIME_MS
    return 1.0 + (speed.slowness - 1.0) * weight


def get_time_factor(speed: data.ServerSpeed, now_ms: int) -> float:
    """Returns the learned time of a request, as a multiple of the mean.

    A difference that may be due to chance counts as none.
    """
    known = speed.time_factor
    if known is None or now_ms - speed.timed_ms >= RELEARN_MS:
        return 1.0
    if 1.0 / EVEN_FACTOR < known.value < EVEN_FACTOR:
        return 1.0
    return known.value


def learn_request_time(
    speed: data.ServerSpeed,
    route_ms: data.RunningMean | None,
    request_ms: float,
    now_ms: int,
) -> tuple[data.ServerSpeed, data.RunningMean]:
    """Adds the time of a completed request.

    What the server states as its slowness is taken out of the time, so that it
    does not count twice.

    Args:
      speed: Speed of the server.
      route_ms: Mean time of the service on this route; None if not known.
      request_ms: Time of the request.
      now_ms: Present time.

    Returns:
      The new speed, and the new mean time of the route.
    """
    own_ms = max(MIN_TIME_MS, request_ms) / get_slowness(speed, now_ms)
    mean_ms = own_ms if route_ms is None else route_ms.value
    known = speed.time_factor
    if known is not None and now_ms - speed.timed_ms >= RELEARN_MS:
        known = None
    factor = add_sample(known, 1.0, own_ms / mean_ms, 1.0, MAX_TIME_WEIGHT)
    mean = add_sample(route_ms, mean_ms, own_ms, 1.0, MAX_TIME_WEIGHT)
    return (
        dataclasses.replace(speed, time_factor=factor, timed_ms=now_ms),
        mean,
    )


def is_uneven(speed: data.ServerSpeed, now_ms: int) -> bool:
    """Tells whether a server is known to differ from others of its service."""
    slowness = get_slowness(speed, now_ms)
    return (
        get_time_factor(speed, now_ms) != 1.0
        or not 1.0 / EVEN_SLOWNESS < slowness < EVEN_SLOWNESS
    )


def find_uneven_time_ms(speed: data.ServerSpeed, now_ms: int) -> int:
    """Returns how long an uneven server may stay so without further reports.

    Args:
      speed: Speed of the server.
      now_ms: Present time.

    Returns:
      Milliseconds.
    """
    if get_time_factor(speed, now_ms) != 1.0:
        return RELEARN_MS
    return SLOWNESS_LIFETIME_MS


def expect_completion_ms(
    speed: data.ServerSpeed,
    used_fraction: float,
    is_remote: bool,
    request_ms: float,
    now_ms: int,
) -> float:
    """Returns the expected time until a server has completed a request.

    Args:
      speed: Speed of the server.
      used_fraction: Used slots of its slot limit, from 0 to 1. A server whose
        slots are all in use is expected to take twice as long as an idle one.
      is_remote: Whether it is in another data centre than the router.
      request_ms: Mean time of the service for such a request.
      now_ms: Present time.

    Returns:
      The time in milliseconds.
    """
    return request_ms * get_time_factor(speed, now_ms) * get_slowness(
        speed, now_ms
    ) * (1.0 + used_fraction) + (REMOTE_MS if is_remote else 0.0)


# ---------------------------------------------------------------------------
# What servers state
# ---------------------------------------------------------------------------


def bound_slowness(slowness: float) -> float:
    """Returns a stated slowness moved to its bounds; 1 if it is no number."""
    if math.isnan(slowness):
        return 1.0
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


def note_load(
    told: immutables.Map,
    server: tuple[str, str],
    load: data.ServerLoad,
    now_ms: int,
) -> tuple[immutables.Map, bool, bool]:
    """Decides what a router does with the load that a server stated.

    Args:
      told: `ToldLoad` by server id and incarnation.
      server: Server id and incarnation.
      load: Load that it stated.
      now_ms: Present time.

    Returns:
      The new loads, whether to report the slowness to the leader, and whether
      to log that the load was invalid.
    """
    known = told.get(server) or ToldLoad()
    reports = load.slowness is not None and _is_news(
        known, load.slowness, now_ms
    )
    logs = bool(load.invalid) and (
        known.invalid_ms is None
        or now_ms - known.invalid_ms >= SLOWNESS_LIFETIME_MS
    )
    if not reports and not logs:
        return told, False, False
    if server not in told and len(told) >= MAX_TOLD_LOADS:
        told = told.delete(min(told, key=lambda key: told[key].told_ms or 0))
    entry = ToldLoad(
        load.slowness if reports else known.slowness,
        now_ms if reports else known.told_ms,
        now_ms if logs else known.invalid_ms,
    )
    return told.set(server, entry), reports, logs


def _is_news(known: ToldLoad, slowness: float, now_ms: int) -> bool:
    """Tells whether a leader needs a stated slowness."""
    age_ms = math.inf if known.told_ms is None else now_ms - known.told_ms
    if age_ms < REPORT_INTERVAL_MS:
        return False
    change = abs(slowness - known.slowness)
    if change >= REPORTED_CHANGE * known.slowness:
        return True
    is_normal = 1.0 / EVEN_SLOWNESS < slowness < EVEN_SLOWNESS
    return not is_normal and age_ms >= REPEAT_INTERVAL_MS
