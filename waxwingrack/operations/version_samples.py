"""Samples of requests, stored per version for the rollout judges.

A request of a model engine gives its latency when its answer begins, and its
outcome when it has ended. Otherwise the latencies of a slow version come late.

A stored sample is packed into 21 bytes. As Python objects, samples took 131
bytes each, which was 17 MB at the leader for 15 services in 8 data centres.
"""

import bisect
from collections.abc import Collection
import dataclasses
import functools
import struct
from typing import Any

import immutables

from waxwingrack.core import data
from waxwingrack.core import messages

# Samples kept per service, route, data centre and version.
MAX_SAMPLES = 256
# Samples whose latency counts are kept per load level as well. When a level has
# MAX_WARM of them, every second one of the oldest THINNED_WARM is dropped, so
# that a load that a version had some time ago can still be compared.
MAX_WARM = 192
# Samples of each group that the leader sends to the other controllers while a
# rollout is under way. A judge needs tens of them.
MAX_SHARED = 64
THINNED_WARM = 64
# Connections that a backend server loses within this time count as one error,
# as one crash ends all requests that run on the server.
SAME_CRASH_MS = 2_000
# A server's latencies do not count until this time after its first sample, as a
# server that has just started is slow, unless it announces whether it is cold.
WARM_UP_MS = 10_000

# Stored sample: time, latency, flags and load.
_STORED = struct.Struct("<qdBi")
_FAILED_FLAG = 1
_LATENCY_FLAG = 2
# Groups of samples that are cached in unpacked form, as a rollout reads them in
# each tick.
_MAX_CACHED_GROUPS = 128

_FAILED = frozenset(
    (
        data.Outcome.SERVER_ERROR,
        data.Outcome.CONNECTION_LOST,
        data.Outcome.TIMED_OUT,
    )
)
# A failed connect shows that a VM or its network is down, not that the version
# is faulty. A version that crashes shows by its lost connections.
_IGNORED = frozenset(
    (
        data.Outcome.CANCELLED,
        data.Outcome.NOT_DISPATCHED,
        data.Outcome.CONNECT_FAILED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Stratum:
    """Group of requests within which two versions are compared."""

    service: str
    route: str
    data_centre: str


@data.quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class JudgedSample:
    """An unpacked sample, as the judges use it.

    Attributes:
      at_ms: End of the request by the leader's monotonic clock.
      failed: Whether the version failed the request.
      latency: Time to the first answer byte, in milliseconds or, where the
        leader expected a time, as a multiple of it; None if it does not count.
      load: Requests in flight on the server at the time of the grant, this
        request included; 0 if not known.
    """

    at_ms: int
    failed: bool
    latency: float | None
    load: int = 0


@dataclasses.dataclass(frozen=True)
class VersionSamples:
    """Stored samples of all versions.

    Attributes:
      recent: Packed samples, oldest first, by (stratum, version).
      warm: Packed samples whose latency counts, oldest first, by (stratum,
        version, load level).
      first_ms: Time of the first sample since the last start, by backend
        server.
      lost_ms: Time of the last lost connection, by backend server.
    """

    recent: immutables.Map = immutables.Map()
    warm: immutables.Map = immutables.Map()
    first_ms: immutables.Map = immutables.Map()
    lost_ms: immutables.Map = immutables.Map()


def add_samples(
    stats: VersionSamples, samples: tuple[data.RequestSample, ...]
) -> VersionSamples:
    """Adds samples.

    Args:
      stats: Samples so far.
      samples: New samples in order of time.

    Returns:
      The samples with the new ones. Requests whose outcome says nothing about a
      version are left out.
    """
    counted = [sample for sample in samples if sample.outcome not in _IGNORED]
    if not counted:
        return stats
    maps = _MutableMaps(
        stats.recent.mutate(),
        stats.warm.mutate(),
        stats.first_ms.mutate(),
        stats.lost_ms.mutate(),
    )
    for sample in counted:
        _add_sample(maps, sample)
    return VersionSamples(
        maps.recent.finish(),
        maps.warm.finish(),
        maps.first_ms.finish(),
        maps.lost_ms.finish(),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _MutableMaps:
    """Mutable copies of the maps of `VersionSamples`."""

    recent: Any
    warm: Any
    first_ms: Any
    lost_ms: Any


def _add_sample(maps: _MutableMaps, sample: data.RequestSample) -> None:
    server = sample.server_id
    first_ms = maps.first_ms.get(server, sample.at_ms)
    lost = sample.outcome is data.Outcome.CONNECTION_LOST
    is_same_crash = (
        lost
        and sample.at_ms - maps.lost_ms.get(server, -SAME_CRASH_MS)
        < SAME_CRASH_MS
    )
    if lost:
        # The server restarts, so it has to warm up again before its latencies
        # count.
        maps.lost_ms[server] = sample.at_ms
        maps.first_ms.pop(server, None)
    elif server not in maps.first_ms:
        maps.first_ms[server] = sample.at_ms
    if is_same_crash:
        return
    failed = sample.outcome in _FAILED
    is_warm = (
        sample.at_ms - first_ms >= WARM_UP_MS
        if sample.was_cold is None
        else not sample.was_cold
    )
    latency_counts = (
        is_warm
        and not failed
        and not sample.latency_known
        and bool(sample.load)
    )
    stored = _STORED.pack(
        sample.at_ms,
        _relative_latency(sample) if latency_counts else 0.0,
        (_FAILED_FLAG if failed else 0)
        | (_LATENCY_FLAG if latency_counts else 0),
        sample.load,
    )
    stratum = Stratum(sample.service, sample.route, sample.data_centre)
    key = stratum, sample.version
    if sample.outcome is not None:
        packed = maps.recent.get(key, b"")
        maps.recent[key] = packed[-(MAX_SAMPLES - 1) * _STORED.size :] + stored
    if not latency_counts:
        return
    warm_key = (*key, load_level(sample.load))
    packed = maps.warm.get(warm_key, b"")
    if len(packed) >= MAX_WARM * _STORED.size:
        packed = _drop_every_second(packed)
    maps.warm[warm_key] = packed + stored


def export_samples(
    stats: VersionSamples, services: Collection[str], now_ms: int
) -> messages.VersionEvidence:
    """Returns the latest samples of services for the other controllers.

    Args:
      stats: All samples.
      services: Services to include.
      now_ms: Leader's monotonic clock.
    """
    groups = [
        (*key, -1, stored)
        for key, stored in stats.recent.items()
        if key[0].service in services
    ]
    groups += [
        (*key, stored)
        for key, stored in stats.warm.items()
        if key[0].service in services
    ]
    return messages.VersionEvidence(
        sent_ms=now_ms,
        samples=tuple(
            messages.StoredSamples(
                *dataclasses.astuple(stratum),
                version,
                level,
                stored[-MAX_SHARED * _STORED.size :],
            )
            for stratum, version, level, stored in groups
        ),
        first_ms=tuple(stats.first_ms.items()),
    )


def import_samples(
    evidence: messages.VersionEvidence, age_ms: int, now_ms: int
) -> VersionSamples:
    """Builds the samples of a new leader from those of the former one.

    Args:
      evidence: Samples as the former leader sent them.
      age_ms: Time since they were received.
      now_ms: Monotonic clock of the new leader.

    Returns:
      The samples, with times on the clock of the new leader.
    """
    shift_ms = now_ms - age_ms - evidence.sent_ms
    recent, warm = {}, {}
    for row in evidence.samples:
        stratum = Stratum(row.service, row.route, row.data_centre)
        stored = b"".join(
            _STORED.pack(at_ms + shift_ms, *rest)
            for at_ms, *rest in _STORED.iter_unpack(row.blob)
        )
        if row.level < 0:
            recent[stratum, row.version] = stored
        else:
            warm[stratum, row.version, row.level] = stored
    return VersionSamples(
        recent=immutables.Map(recent),
        warm=immutables.Map(warm),
        first_ms=immutables.Map(
            {server: at_ms + shift_ms for server, at_ms in evidence.first_ms}
        ),
    )


def _relative_latency(sample: data.RequestSample) -> float:
    """Returns the latency as a multiple of the expected one, if there is one.

    Engines read prompts of very different lengths, and how much of a prompt an
    engine has cached depends on its age and not on its version.
    """
    return sample.first_byte_ms / (sample.expected_ms or 1.0)


def _drop_every_second(stored: bytes) -> bytes:
    """Drops every second one of the oldest `THINNED_WARM` samples."""
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


@functools.lru_cache(_MAX_CACHED_GROUPS)
def _unpack_samples(stored: bytes) -> tuple[JudgedSample, ...]:
    """Unpacks stored samples."""
    return tuple(
        [
            JudgedSample(
                at_ms,
                bool(flags & _FAILED_FLAG),
                latency if flags & _LATENCY_FLAG else None,
                load,
            )
            for at_ms, latency, flags, load in _STORED.iter_unpack(stored)
        ]
    )


def load_level(load: int) -> int:
    """Returns the level of a load.

    The levels cover the loads 1, 2, 3, 4, 5 to 6, 7 to 8, 9 to 12 and so on.
    Loads of one level differ by less than half, so that latencies proportional
    to the load differ by less than the judge allows.
    """
    if load <= 2:
        return load
    octave = (load - 1).bit_length()
    return 2 * octave - (load <= 3 << (octave - 2))


def select_samples(
    stats: VersionSamples, service: str, version: str
) -> dict[Stratum, tuple[JudgedSample, ...]]:
    """Selects the samples of one version of a service.

    Args:
      stats: All samples.
      service: Service.
      version: Version.

    Returns:
      Samples by stratum.
    """
    return {
        stratum: _unpack_samples(stored)
        for (stratum, other), stored in stats.recent.items()
        if stratum.service == service and other == version
    }


def select_warm_samples(
    stats: VersionSamples, service: str, version: str
) -> dict[tuple[Stratum, int], tuple[JudgedSample, ...]]:
    """Selects the samples of one version whose latency counts.

    Args:
      stats: All samples.
      service: Service.
      version: Version.

    Returns:
      Samples by stratum and load level.
    """
    return {
        (stratum, level): _unpack_samples(stored)
        for (stratum, other, level), stored in stats.warm.items()
        if stratum.service == service and other == version
    }


def samples_since(
    samples: tuple[JudgedSample, ...], start_ms: float
) -> tuple[JudgedSample, ...]:
    """Returns the samples from `start_ms` on, oldest first."""
    return samples[bisect.bisect_left(samples, start_ms, key=_at_ms) :]


def samples_before(
    samples: tuple[JudgedSample, ...], end_ms: float
) -> tuple[JudgedSample, ...]:
    """Returns the samples before `end_ms`, oldest first."""
    return samples[: bisect.bisect_left(samples, end_ms, key=_at_ms)]


def _at_ms(sample: JudgedSample) -> int:
    return sample.at_ms
