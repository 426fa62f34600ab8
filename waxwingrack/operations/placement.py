"""Chooses the version and the backend server that a request runs on.

The version is chosen first. The candidate version of a rollout earns its share
as credit with each grant and receives a request once the credit makes up a
whole one. It is never owed more than one request, so in any window it gets at
most its share plus one request, even after a time without a free slot. In the
watch period of a rollout, requests of the current version may overflow to the
candidate: the current version then gets its small share only while it has a
free slot. A rollout may also limit the exposure of the candidate version: the
number of requests that it gets before the rollout is done. At the limit it gets
no request, whatever its share, until the service has had more requests.

Among the free servers of that version, the registered preferences are compared
in order of registration. They only rank servers with a free slot, so no
preference leaves a slot idle or loads a server beyond its limit.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from waxwingrack.core import data
from waxwingrack.core import registry
from waxwingrack.operations import server_speeds

# Prefixes that are kept for one server; the oldest is dropped first.
MAX_PREFIXES = 512
# Fraction of the allowed exposure that the leader uses. The rest covers grants
# that a former leader made after its last checkpoint.
USABLE_EXPOSURE = 0.8
# Tolerance for sums of shares such as 20 * 0.05.
_SHARE_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Properties of a request that placement preferences may use.

    Attributes:
      prefix: Digest of the prompt prefix, empty if there is none.
      data_centre: Data centre of the router.
      compares_times: Whether servers are ranked by the expected time of
        completion, as some of the service are known to differ in speed.
      request_ms: Mean time of the service for such a request, in milliseconds.
      now_ms: Present time.
    """

    prefix: str
    data_centre: str
    compares_times: bool = False
    request_ms: float = 0.0
    now_ms: int = 0


# A preference returns a rank, where lower is better, and a reason for the log.
Preference = Callable[[data.ServerRow, Request], tuple[float, str]]

PREFERENCES: registry.Registry[str, Preference] = registry.Registry(
    "placement preference"
)


@PREFERENCES.register("prefix")
def _rank_by_prefix(row: data.ServerRow, request: Request) -> tuple[float, str]:
    if request.prefix and request.prefix in row.prefix_cache.stored:
        return 0.0, "holds the prompt prefix"
    return 1.0, ""


@PREFERENCES.register("completion")
def _rank_by_completion(
    row: data.ServerRow, request: Request
) -> tuple[float, str]:
    if not request.compares_times:
        return 0.0, ""
    expected_ms = server_speeds.expect_completion_ms(
        row.speed,
        count_used_slots(row) / row.slot_limit.limit,
        row.announcement.data_centre != request.data_centre,
        request.request_ms,
        request.now_ms,
    )
    return expected_ms, f"expected to take {expected_ms:.1f} ms"


@PREFERENCES.register("data_centre")
def _rank_by_data_centre(
    row: data.ServerRow, request: Request
) -> tuple[float, str]:
    if row.announcement.data_centre == request.data_centre:
        return 0.0, "in the router's data centre"
    return 1.0, "in another data centre"


@PREFERENCES.register("load")
def _rank_by_load(row: data.ServerRow, request: Request) -> tuple[float, str]:
    del request
    used_slots = count_used_slots(row)
    return (
        used_slots / row.slot_limit.limit,
        f"load {used_slots}/{row.slot_limit.limit}",
    )


def count_used_slots(row: data.ServerRow) -> int:
    """Returns the used slots of a server, those of orphans included."""
    return len(row.grants) + row.orphans


def pick_best(
    rows: Iterable[data.ServerRow], request: Request
) -> tuple[data.ServerRow, str] | None:
    """Picks the server that the preferences rank first.

    Args:
      rows: Servers with a free slot.
      request: Request to place.

    Returns:
      The server and the reason, or None if there are no rows.
    """
    preferences = [preference for _, preference in PREFERENCES.items()]
    ranked = [
        ([preference(row, request) for preference in preferences], row)
        for row in rows
    ]
    if not ranked:
        return None
    ranks, row = ranked[0]
    if len(ranked) > 1:
        ranks, row = min(
            ranked, key=lambda entry: [rank for rank, _ in entry[0]]
        )
    return row, ", ".join([reason for _, reason in ranks if reason])


def rank_versions(
    share: data.VersionShare,
    credit: float,
    exposure: data.Exposure,
) -> tuple[tuple[str, bool], ...]:
    """Lists the versions that the next request may run on, best first.

    Args:
      share: Division of the traffic between versions.
      credit: Credit of the candidate version.
      exposure: Requests granted since the start of the rollout.

    Returns:
      Pairs of a version and whether it is the candidate.
    """
    current = (share.current, False)
    if (
        not share.candidate
        or share.share <= 0
        or not may_expose(share, exposure)
    ):
        return (current,)
    candidate = (share.candidate, True)
    if is_candidate_owed(share, credit):
        return (candidate, current)
    if share.overflow:
        return (current, candidate)
    return (current,)


def may_expose(share: data.VersionShare, exposure: data.Exposure) -> bool:
    """Tells whether the candidate version may get one more request.

    Args:
      share: Division of the traffic, with the limit of the rollout.
      exposure: Requests granted since the start of the rollout.
    """
    if share.max_exposure >= 1:
        return True
    limit = share.max_exposure * exposure.requests + share.exposure_reserve
    return exposure.to_candidate + 1 <= USABLE_EXPOSURE * limit


def is_candidate_owed(share: data.VersionShare, credit: float) -> bool:
    """Tells whether the candidate version is owed the next request."""
    return credit + share.share >= 1 - _SHARE_TOLERANCE


def charge_credit(credit: float, share: float, to_candidate: bool) -> float:
    """Returns the credit of the candidate version after a grant."""
    return min(1.0, credit + share - (1.0 if to_candidate else 0.0))


def refund_credit(credit: float, share: float, to_candidate: bool) -> float:
    """Returns the candidate's credit after a grant was returned unused."""
    return min(1.0, credit - share + (1.0 if to_candidate else 0.0))


def apply_events(
    cache: data.PrefixCache, events: Iterable[data.CacheEvent]
) -> tuple[data.PrefixCache, frozenset[str]]:
    """Applies cache events to the known prefixes of a server.

    Events that have been applied before are skipped. A gap in the sequence
    clears all known prefixes, since an eviction may have been lost.

    Args:
      cache: Known prefixes.
      events: Events in order of sequence.

    Returns:
      The known prefixes after the events, and the prefixes that may have been
      added or removed.
    """
    changed_prefixes: set[str] = set()
    for event in events:
        if cache.last is not None and event.sequence <= cache.last:
            continue
        if cache.last is not None and event.sequence > cache.last + 1:
            changed_prefixes.update(cache.stored)
            cache = data.PrefixCache()
        changed_prefixes.add(event.prefix)
        cache = _evict_prefix(cache, event.prefix)
        if event.stored:
            cache, dropped_prefixes = _store_prefix(cache, event.prefix)
            changed_prefixes.update(dropped_prefixes)
        cache = dataclasses.replace(cache, last=event.sequence)
    return cache, frozenset(changed_prefixes)


def _store_prefix(
    cache: data.PrefixCache, prefix: str
) -> tuple[data.PrefixCache, tuple[str, ...]]:
    cache = dataclasses.replace(
        cache,
        stored=cache.stored.set(prefix, cache.added),
        order=cache.order.set(cache.added, prefix),
        added=cache.added + 1,
    )
    dropped_prefixes: tuple[str, ...] = ()
    while len(cache.stored) > MAX_PREFIXES:
        oldest_prefix = cache.order.get(cache.oldest)
        if oldest_prefix is not None:
            cache = _evict_prefix(cache, oldest_prefix)
            dropped_prefixes = (*dropped_prefixes, oldest_prefix)
        cache = dataclasses.replace(cache, oldest=cache.oldest + 1)
    return cache, dropped_prefixes


def _evict_prefix(cache: data.PrefixCache, prefix: str) -> data.PrefixCache:
    insertion_number = cache.stored.get(prefix)
    if insertion_number is None:
        return cache
    return dataclasses.replace(
        cache,
        stored=cache.stored.delete(prefix),
        order=cache.order.delete(insertion_number),
    )
