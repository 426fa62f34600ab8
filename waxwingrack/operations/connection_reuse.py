"""How long idle connections to servers are reused, and how many are kept.

A router knows from `Keep-Alive: timeout=N` when a server closes an idle
connection. It stops using the connection a margin earlier, as a request that
arrives while the server closes is lost. A server that closes sooner than it
stated gets a shorter time, which grows back slowly.

The leader derives from its own grants which routers have probably kept a
connection to a server, and prefers such a server among equal ones.
"""

from collections.abc import Iterable
import dataclasses
import math
import re

import immutables
from returns import result

from waxwingrack.core import data

# Idle time of a connection whose server stated no timeout: servers usually
# close it after 5 s.
DEFAULT_IDLE_S = 4.0
# Part of the stated time that is not used. It covers the transit of the last
# answer and of the next request, and late timers on both sides; 1 s is also
# what `DEFAULT_IDLE_S` leaves.
MARGIN_S = 1.0
# The same for requests that must not be repeated: a lost one fails its caller.
UNREPEATABLE_MARGIN_S = 2.0
# Longest time for which an idle connection is kept, whatever its server states.
# A pair of router and server that is used less often costs a new connection a
# minute at most.
MAX_IDLE_S = 60.0
# Idle time that a server which closed too soon gets back per second without
# another early close.
RECOVERY_PER_S = 1 / 60
# An early close shortens the time at most by this factor, so that a single one
# does not end the reuse.
MAX_CUT = 0.5
# Most idle connections of a router to one server.
MAX_IDLE_PER_SERVER = 64
# Most connections that an announcement may state.
MAX_CONNECTIONS = 1_000_000
# Share of a router's descriptors for idle connections. Callers get at most 0.75
# and each running request needs one.
IDLE_DESCRIPTOR_SHARE = 0.125
# Time after a grant for which the leader takes the connection for kept, in
# milliseconds: 10 s is the common timeout, less the larger margin.
ASSUMED_KEPT_MS = 8_000
# Time after a grant for which the leader counts a router as holder of a
# connection, in milliseconds. It covers most requests and the idle time after.
MAX_HELD_MS = 60_000
# Routers that the leader remembers per server; more than a large deployment
# has. The one with the oldest grant is dropped first.
MAX_CONNECTED_ROUTERS = 256
# Servers of equal load that the leader compares for a request.
MAX_TIED_SERVERS = 8
# Difference between the ranks of two engines that counts as none, in tokens to
# read. It is less than an engine reads in the 1 ms that a connection costs, 40,
# and than a running request counts, so no busier engine is preferred.
EQUAL_RANK_TOKENS = 16

_PARAMETER = re.compile(r"\s*timeout\s*=\s*(.*?)\s*", re.IGNORECASE)
_WHOLE_SECONDS = re.compile(r'"?([0-9]{1,9})"?')


@dataclasses.dataclass(frozen=True, slots=True)
class EarlyClose:
    """What is learned from connections that a server closed too soon.

    Attributes:
      closes_after_s: Idle time after which the server is expected to close.
      noted_s: Time of the latest early close.
    """

    closes_after_s: float
    noted_s: float


def parse_timeout(
    values: Iterable[str],
) -> result.Result[float | None, str]:
    """Parses the timeout in values of the header `Keep-Alive`.

    Args:
      values: Values of the header.

    Returns:
      Success with the shortest stated timeout in seconds, at most
      `MAX_IDLE_S`, or with None if there is none; Failure with the text of a
      timeout that is no whole number of seconds.
    """
    stated = [
        match[1]
        for value in values
        for part in value.split(",")
        if (match := _PARAMETER.fullmatch(part))
    ]
    seconds = [_WHOLE_SECONDS.fullmatch(text) for text in stated]
    for text, match in zip(stated, seconds, strict=True):
        if match is None:
            return result.Failure(text)
    return result.Success(
        min(min(float(match[1]), MAX_IDLE_S) for match in seconds if match)
        if seconds
        else None
    )


def expect_close_s(
    stated_s: float, early: EarlyClose | None, now_s: float
) -> float:
    """Returns the idle time after which a server is expected to close.

    Args:
      stated_s: Timeout that the server stated.
      early: What its earlier connections have shown; None for nothing.
      now_s: Present time.
    """
    stated_s = min(max(stated_s, 0.0), MAX_IDLE_S)
    if early is None:
        return stated_s
    recovered_s = max(0.0, now_s - early.noted_s) * RECOVERY_PER_S
    return min(stated_s, early.closes_after_s + recovered_s)


def note_close(
    stated_s: float | None,
    early: EarlyClose | None,
    idle_s: float,
    now_s: float,
) -> EarlyClose | None:
    """Learns from a connection that its server closed.

    Args:
      stated_s: Timeout that the server stated on it; None for none.
      early: What is known of the incarnation of the server.
      idle_s: Time for which the connection was idle.
      now_s: Present time.

    Returns:
      What is known now; the same object if the close was not early.
    """
    if stated_s is None or not math.isfinite(idle_s):
        return early
    expected_s = expect_close_s(stated_s, early, now_s)
    if idle_s >= expected_s - MARGIN_S:
        return early
    return EarlyClose(max(idle_s, 0.0, expected_s * MAX_CUT), now_s)


def find_limit_s(
    stated_s: float | None,
    early: EarlyClose | None,
    now_s: float,
    unrepeatable_s: float | None = None,
) -> float:
    """Returns the idle time up to which a connection may be reused.

    Args:
      stated_s: Timeout that the server stated in its last answer on the
        connection; None for none.
      early: What is known of the incarnation of the server.
      now_s: Present time.
      unrepeatable_s: For a request that must not be repeated, the longest idle
        time without a stated timeout; 0 for a new connection in any case. None
        for other requests.

    Returns:
      Seconds; 0 if the connection may not be reused.
    """
    if unrepeatable_s is not None and not unrepeatable_s > 0:
        return 0.0
    if stated_s is None:
        return (
            DEFAULT_IDLE_S
            if unrepeatable_s is None
            else min(unrepeatable_s, DEFAULT_IDLE_S)
        )
    margin_s = MARGIN_S if unrepeatable_s is None else UNREPEATABLE_MARGIN_S
    return max(0.0, expect_close_s(stated_s, early, now_s) - margin_s)


def find_idle_limit(max_descriptors: float) -> float:
    """Returns the most idle connections of a router to all servers.

    Args:
      max_descriptors: Descriptors that the process may open; infinite without
        a limit.
    """
    if not math.isfinite(max_descriptors):
        return math.inf
    return max(1, int(max_descriptors * IDLE_DESCRIPTOR_SHARE))


def allow_idle(
    row: data.ServerRow,
    router: str,
    routers: int,
    now_ms: int,
    declared: int = 0,
) -> int | None:
    """Returns the most idle connections that a router may keep to a server.

    Running requests need at most as many connections as there are slots. The
    routers share the rest, so that all connections together stay within the
    limit of the server. If there are more routers than that, the first ones
    that use the server keep one each.

    Args:
      row: Row of the server.
      router: Node id of the router, which gets a grant for the server.
      routers: Number of connected routers.
      now_ms: Present time.
      declared: Most connections that each server of the service takes, as the
        environment declares it; 0 if it does not. What the server announces
        goes before it.

    Returns:
      The number; None if no limit is known.
    """
    limit = row.announcement.max_connections or declared
    if limit <= 0:
        return None
    spare = max(0, limit - row.announcement.slots)
    if spare >= routers:
        return min(MAX_IDLE_PER_SERVER, spare // max(1, routers))
    holders = sum(
        1
        for other, granted_ms in row.connected.items()
        if other != router and now_ms - granted_ms < MAX_HELD_MS
    )
    return 1 if holders < spare else 0


def note_grant(
    connected: immutables.Map, router: str, max_idle: int | None, now_ms: int
) -> immutables.Map:
    """Records that a router gets a grant for a server.

    Args:
      connected: Time of the latest grant by router.
      router: Node id of the router.
      max_idle: Most idle connections that it may keep to the server.
      now_ms: Present time.
    """
    if not max_idle:
        return connected.delete(router) if router in connected else connected
    if router not in connected and len(connected) >= MAX_CONNECTED_ROUTERS:
        connected = connected.delete(min(connected, key=connected.__getitem__))
    return connected.set(router, now_ms)


def is_connected(row: data.ServerRow, router: str, now_ms: int) -> bool:
    """Tells whether a router has probably kept a connection to a server."""
    granted_ms = row.connected.get(router)
    return granted_ms is not None and now_ms - granted_ms < ASSUMED_KEPT_MS


def prefer_connected(
    rows: Iterable[data.ServerRow], router: str, now_ms: int
) -> data.ServerRow | None:
    """Picks the first server, or a connected one that is loaded no more.

    Args:
      rows: Servers in order of preference.
      router: Node id of the router of the request.
      now_ms: Present time.

    Returns:
      The row; None if there are none.
    """
    first = None
    for row in rows:
        if first is None:
            first = row
        if is_connected(row, router, now_ms) and _load(row) <= _load(first):
            return row
    return first


def _load(row: data.ServerRow) -> float:
    return (len(row.grants) + row.orphans) / max(1, row.slot_limit.limit)
