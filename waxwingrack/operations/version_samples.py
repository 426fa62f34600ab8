"""Samples of how requests ended, kept per version for the rollout judges.

They are kept as bytes of 21 a sample: as records they took 131 bytes, 17 MB at
the leader for 15 services in 8 data centres.
"""

import bisect
import dataclasses
import functools
import struct
from typing import Any

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

# A stored sample: time, latency, flags and load.
_STORED = struct.Struct("<qdBi")
_FAILED_FLAG = 1
_LATENCY_FLAG = 2
# Groups of samples whose records are kept while a rollout looks at them each
# tick.
_KEPT_RECORDS = 128

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


@data.quick_init
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
      ended: Stored samples, oldest first, by (stratum, version).
      warm: Stored samples whose latency counts, oldest first, by (stratum,
        version, level of the load).
      first_ms: Time of the first sample by backend server.
      lost_ms: Time of the last lost connection by backend server.
    """

    ended: immutables.Map = immutables.Map()
    warm: immutables.Map = immutables.Map()
    first_ms: immutables.Map = immutables.Map()
    lost_ms: immutables.Map = immutables.Map()


def observe(stats: Stats, samples: tuple[data.RequestSample, ...]) -> Stats:
    """Adds samples.

    Args:
      stats: Samples so far.
      samples: New samples in order of time.

    Returns:
      The samples with the new ones; requests that say nothing about a version
      are left out.
    """
    counted = [sample for sample in samples if sample.outcome not in _IGNORED]
    if not counted:
        return stats
    update = _Update(
        stats.ended.mutate(),
        stats.warm.mutate(),
        stats.first_ms.mutate(),
        stats.lost_ms.mutate(),
    )
    for sample in counted:
        _observe_one(update, sample)
    return Stats(
        update.ended.finish(),
        update.warm.finish(),
        update.first_ms.finish(),
        update.lost_ms.finish(),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Update:
    """Maps of `Stats` that are open for changes."""

    ended: Any
    warm: Any
    first_ms: Any
    lost_ms: Any


def _observe_one(update: _Update, sample: data.RequestSample) -> None:
    server = sample.server_id
    first_ms = update.first_ms.get(server, sample.at_ms)
    lost = sample.outcome is data.Outcome.CONNECTION_LOST
    repeated = (
        lost
        and sample.at_ms - update.lost_ms.get(server, -SAME_CRASH_MS)
        < SAME_CRASH_MS
    )
    if lost:
        # The server starts again, so its latencies are those of a cold start.
        update.lost_ms[server] = sample.at_ms
        update.first_ms.pop(server, None)
    elif server not in update.first_ms:
        update.first_ms[server] = sample.at_ms
    if repeated:
        return
    failed = sample.outcome in _FAILED
    warm = sample.at_ms - first_ms >= WARM_UP_MS
    counts = warm and not failed and bool(sample.load)
    stored = _STORED.pack(
        sample.at_ms,
        sample.first_byte_ms if counts else 0.0,
        (_FAILED_FLAG if failed else 0) | (_LATENCY_FLAG if counts else 0),
        sample.load,
    )
    stratum = Stratum(sample.service, sample.route, sample.data_centre)
    key = stratum, sample.version
    kept = update.ended.get(key, b"")
    update.ended[key] = kept[-(MAX_SAMPLES - 1) * _STORED.size :] + stored
    if not counts:
        return
    warm_key = (*key, load_level(sample.load))
    kept = update.warm.get(warm_key, b"")
    if len(kept) >= MAX_WARM * _STORED.size:
        kept = _thinned(kept)
    update.warm[warm_key] = kept + stored


def _thinned(stored: bytes) -> bytes:
    """Drops every second one of the oldest samples."""
    size = _STORED.size
    return b"".join(
        (
            *(
                stored[start : start + size]
                for start in range(0, THINNED_WARM * size, 2 * size)
            ),
            stored[THINNED_WARM * size :],
        )
    )


@functools.lru_cache(_KEPT_RECORDS)
def _records(stored: bytes) -> tuple[Ended, ...]:
    """Returns stored samples as the judges use them."""
    return tuple(
        [
            Ended(
                at_ms,
                bool(flags & _FAILED_FLAG),
                latency_ms if flags & _LATENCY_FLAG else None,
                load,
            )
            for at_ms, latency_ms, flags, load in _STORED.iter_unpack(stored)
        ]
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
        stratum: _records(stored)
        for (stratum, other), stored in stats.ended.items()
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
        (stratum, level): _records(stored)
        for (stratum, other, level), stored in stats.warm.items()
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
