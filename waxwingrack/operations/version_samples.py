"""Samples of how requests ended, kept per version for the rollout judges."""

import bisect
import dataclasses

import immutables

from waxwingrack.core import data

# Samples kept per service, route, data centre and version.
MAX_SAMPLES = 256
# Samples kept per level of load besides, of those whose latency counts. When
# there are more, every second one of the oldest is dropped, so that a load that
# a version bore some time ago can still be compared.
MAX_WARM = 192
THINNED_WARM = 64
# Requests that a backend server loses together within this time, in
# milliseconds, count as one error: one crash ends all requests running there.
SAME_CRASH_MS = 2_000
# A server's latencies do not count until this time after its first sample, in
# milliseconds, as a freshly started server is slow.
WARM_UP_MS = 10_000

_FAILED = frozenset(
    (
        data.Outcome.SERVER_ERROR,
        data.Outcome.CONNECTION_LOST,
        data.Outcome.TIMED_OUT,
    )
)
# A failed connect says that a VM or its network is away, not that the version
# is bad; a version that crashes shows by the connections that it loses.
_IGNORED = frozenset(
    (
        data.Outcome.CANCELLED,
        data.Outcome.NOT_DISPATCHED,
        data.Outcome.CONNECT_FAILED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Stratum:
    """Requests that are compared with each other across versions."""

    service: str
    route: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """One sample as the judges use it.

    Attributes:
      at_ms: Leader's monotonic clock.
      failed: Whether the version failed the request.
      latency_ms: Time to the first answer byte, or None if it does not count.
      load: Requests in flight on the server at the grant, this one included;
        0 if not known.
    """

    at_ms: int
    failed: bool
    latency_ms: float | None
    load: int = 0


@dataclasses.dataclass(frozen=True)
class Stats:
    """Samples of all versions.

    Attributes:
      ended: Tuples of `Ended`, oldest first, by (stratum, version).
      warm: Tuples of `Ended` whose latency counts, oldest first, by (stratum,
        version, level of the load).
      first_ms: Time of the first sample by backend server.
      lost_ms: Time of the last lost connection by backend server.
    """

    ended: immutables.Map = immutables.Map()
    warm: immutables.Map = immutables.Map()
    first_ms: immutables.Map = immutables.Map()
    lost_ms: immutables.Map = immutables.Map()


def observe(stats: Stats, samples: tuple[data.Sample, ...]) -> Stats:
    """Adds samples.

    Args:
      stats: Samples so far.
      samples: New samples in order of time.

    Returns:
      The samples with the new ones; requests that say nothing about a version
      are left out.
    """
    counted = [sample for sample in samples if sample.outcome not in _IGNORED]
    for sample in counted:
        stats = _observe_one(stats, sample)
    return stats


def _observe_one(stats: Stats, sample: data.Sample) -> Stats:
    server = sample.server_id
    first_ms = stats.first_ms.get(server, sample.at_ms)
    lost = sample.outcome is data.Outcome.CONNECTION_LOST
    repeated = (
        lost
        and sample.at_ms - stats.lost_ms.get(server, -SAME_CRASH_MS)
        < SAME_CRASH_MS
    )
    if lost:
        # The server starts again, so its latencies are those of a cold start.
        stats = dataclasses.replace(
            stats,
            lost_ms=stats.lost_ms.set(server, sample.at_ms),
            first_ms=stats.first_ms.delete(server)
            if server in stats.first_ms
            else stats.first_ms,
        )
    elif server not in stats.first_ms:
        stats = dataclasses.replace(
            stats, first_ms=stats.first_ms.set(server, sample.at_ms)
        )
    if repeated:
        return stats
    failed = sample.outcome in _FAILED
    warm = sample.at_ms - first_ms >= WARM_UP_MS
    ended = Ended(
        at_ms=sample.at_ms,
        failed=failed,
        latency_ms=sample.first_byte_ms
        if warm and not failed and sample.load
        else None,
        load=sample.load,
    )
    stratum = Stratum(sample.service, sample.route, sample.data_centre)
    key = stratum, sample.version
    kept = stats.ended.get(key, ())[-(MAX_SAMPLES - 1) :]
    stats = dataclasses.replace(
        stats, ended=stats.ended.set(key, (*kept, ended))
    )
    if ended.latency_ms is None:
        return stats
    warm_key = (*key, load_level(ended.load))
    kept = stats.warm.get(warm_key, ())
    if len(kept) >= MAX_WARM:
        kept = kept[:THINNED_WARM:2] + kept[THINNED_WARM:]
    return dataclasses.replace(
        stats, warm=stats.warm.set(warm_key, (*kept, ended))
    )


def load_level(load: int) -> int:
    """Returns the level of a load: 1, 2, 3, 4, 5 to 6, 7 to 8, 9 to 12 ...

    Loads of a level differ by less than half, so that a latency that is
    proportional to the load differs by less than the judge allows.
    """
    if load <= 2:
        return load
    octave = (load - 1).bit_length()
    return 2 * octave - (load <= 3 << (octave - 2))


def of_version(
    stats: Stats, service: str, version: str
) -> dict[Stratum, tuple[Ended, ...]]:
    """Selects the samples of one version of a service.

    Args:
      stats: All samples.
      service: Service.
      version: Version.

    Returns:
      Samples by stratum.
    """
    return {
        stratum: ended
        for (stratum, other), ended in stats.ended.items()
        if stratum.service == service and other == version
    }


def warm_of_version(
    stats: Stats, service: str, version: str
) -> dict[tuple[Stratum, int], tuple[Ended, ...]]:
    """Selects the samples of one version whose latency counts.

    Args:
      stats: All samples.
      service: Service.
      version: Version.

    Returns:
      Samples by stratum and level of the load.
    """
    return {
        (stratum, level): ended
        for (stratum, other, level), ended in stats.warm.items()
        if stratum.service == service and other == version
    }


def since(ended: tuple[Ended, ...], start_ms: float) -> tuple[Ended, ...]:
    """Returns the samples from `start_ms` on, oldest first."""
    return ended[bisect.bisect_left(ended, start_ms, key=_at_ms) :]


def until(ended: tuple[Ended, ...], end_ms: float) -> tuple[Ended, ...]:
    """Returns the samples before `end_ms`, oldest first."""
    return ended[: bisect.bisect_left(ended, end_ms, key=_at_ms)]


def _at_ms(ended: Ended) -> int:
    return ended.at_ms
