"""Choice of a backend server for a request.

The version comes first: a candidate version earns a credit of its share with
each grant and receives a request once a whole one is owed. At most one request
is ever owed, so in no window does the candidate get more than its share plus
one request, also after a time in which it had no free slot. In the watch period
of a rollout, the rest of the share may overflow to the candidate: the current
version then gets its small share only while it has a free slot.

Among the free servers of that version, registered preferences are compared in
order of registration. They only rank servers that have a free slot, so no
preference leaves a slot idle or loads a server beyond its limit.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from waxwingrack.core import data
from waxwingrack.core import registry

# Most prefixes kept of one server; the oldest is dropped first.
MAX_PREFIXES = 512
# Tolerance for sums of shares such as 20 * 0.05.
_EPSILON = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a placement preference may look at.

    Attributes:
      prefix: Digest of the prompt prefix, empty if there is none.
      data_centre: Data centre of the router.
    """

    prefix: str
    data_centre: str


# A preference returns a rank, lower is better, and its words for the log.
Preference = Callable[[data.ServerRow, Request], tuple[float, str]]

PREFERENCES: registry.Registry[str, Preference] = registry.Registry(
    "placement preference"
)


@PREFERENCES.register("prefix")
def _prefix(row: data.ServerRow, request: Request) -> tuple[float, str]:
    if request.prefix and request.prefix in row.prefix_cache.stored:
        return 0.0, "holds the prompt prefix"
    return 1.0, ""


@PREFERENCES.register("data_centre")
def _data_centre(row: data.ServerRow, request: Request) -> tuple[float, str]:
    if row.announcement.data_centre == request.data_centre:
        return 0.0, "in the router's data centre"
    return 1.0, "in another data centre"


@PREFERENCES.register("load")
def _load(row: data.ServerRow, request: Request) -> tuple[float, str]:
    del request
    used = count_used_slots(row)
    return used / row.slot_limit.limit, f"load {used}/{row.slot_limit.limit}"


def count_used_slots(row: data.ServerRow) -> int:
    """Returns the slots that count as used."""
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
    return row, ", ".join([words for _, words in ranks if words])


def rank_versions(
    share: data.VersionShare, credit: float
) -> tuple[tuple[str, bool], ...]:
    """Lists the versions that the next request may run on.

    Args:
      share: Division of the traffic.
      credit: Credit of the candidate version.

    Returns:
      Pairs of version and whether it is the candidate, preferred one first.
    """
    current = (share.current, False)
    if not share.candidate or share.share <= 0:
        return (current,)
    candidate = (share.candidate, True)
    if is_candidate_owed(share, credit):
        return (candidate, current)
    if share.overflow:
        return (current, candidate)
    return (current,)


def is_candidate_owed(share: data.VersionShare, credit: float) -> bool:
    """Tells whether the candidate version is owed the next request."""
    return credit + share.share >= 1 - _EPSILON


def charge_credit(credit: float, share: float, candidate: bool) -> float:
    """Returns the credit of the candidate version after a grant."""
    return min(1.0, credit + share - (1.0 if candidate else 0.0))


def refund_credit(credit: float, share: float, candidate: bool) -> float:
    """Returns the credit after a grant came back unused."""
    return min(1.0, credit - share + (1.0 if candidate else 0.0))


def apply_events(
    cache: data.PrefixCache, events: Iterable[data.CacheEvent]
) -> tuple[data.PrefixCache, frozenset[str]]:
    """Applies cache events.

    Events that were applied already are skipped. A gap in the sequence clears
    what is known, as an eviction may have been lost.

    Args:
      cache: Known prefixes.
      events: Events in order of sequence.

    Returns:
      The known prefixes after the events and those that may have changed.
    """
    touched: set[str] = set()
    for event in events:
        if cache.last is not None and event.sequence <= cache.last:
            continue
        if cache.last is not None and event.sequence > cache.last + 1:
            touched.update(cache.stored)
            cache = data.PrefixCache()
        touched.add(event.prefix)
        cache = _evict(cache, event.prefix)
        if event.stored:
            cache, dropped = _store(cache, event.prefix)
            touched.update(dropped)
        cache = dataclasses.replace(cache, last=event.sequence)
    return cache, frozenset(touched)


def _store(
    cache: data.PrefixCache, prefix: str
) -> tuple[data.PrefixCache, tuple[str, ...]]:
    cache = dataclasses.replace(
        cache,
        stored=cache.stored.set(prefix, cache.added),
        order=cache.order.set(cache.added, prefix),
        added=cache.added + 1,
    )
    dropped: tuple[str, ...] = ()
    while len(cache.stored) > MAX_PREFIXES:
        oldest = cache.order.get(cache.oldest)
        if oldest is not None:
            cache = _evict(cache, oldest)
            dropped = (*dropped, oldest)
        cache = dataclasses.replace(cache, oldest=cache.oldest + 1)
    return cache, dropped


def _evict(cache: data.PrefixCache, prefix: str) -> data.PrefixCache:
    number = cache.stored.get(prefix)
    if number is None:
        return cache
    return dataclasses.replace(
        cache,
        stored=cache.stored.delete(prefix),
        order=cache.order.delete(number),
    )
