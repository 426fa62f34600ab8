"""What backend servers tell a router about themselves in their answers.

A server that leaves says so in each of its answers. The router that passed on
such an answer sends it nothing more, whoever granted it and whether or not the
leader can be reached, and reports the departure, so that the leader grants no
more requests there. The knowledge belongs to the incarnation of the server: a
server that starts again at the same address, or under the same id, is another
one.

A server that turns a request away may name a time for which it wants nothing
from the router (`Retry-After`). This is a limit of one router towards one
server: the router gives back grants for it, and the leader grants its requests
elsewhere and the server to other routers. Afterwards the leader raises the
number of requests of that router step by step.

A server in need names the rate of requests that it takes from all routers
together. The leader keeps this limit (`rate_limits`); a router reports it as
long as answers name it.

A router keeps what it was told in memory, and reports it again to a new leader.
"""

import dataclasses
import email.utils
import enum
import math

import immutables

from waxwingrack.core import data

# Time for which a departure is kept and reported to new leaders. A server that
# leaves has ended long before.
LEAVING_LIFETIME_MS = 300_000
# Departures that a router keeps; the oldest one is dropped first.
MAX_LEAVING = 1_024
# Pauses that a router keeps; the one that ends first is dropped first.
MAX_PAUSES = 1_024
# Longest pause that a server gets; it may ask for another one.
MAX_PAUSE_MS = 3_600_000
# Pause of a server whose value cannot be read.
DEFAULT_PAUSE_MS = 1_000
# Time after a pause within which the leader raises the number of requests of
# the router at the server from one to all slots.
RAMP_MS = 2_000

# Interval at which a limit that answers go on to name is reported again.
RATE_LIMIT_REPORT_MS = 500
# Lowest limit that is applied: only the answer to a request tells that a limit
# has ended.
MIN_RATE_LIMIT = 0.25
# A limit lasts for this time after an answer named it, and at least for the
# time of this many requests at its rate.
RATE_LIMIT_LIFETIME_MS = 4_000
RATE_LIMIT_LIFETIME_REQUESTS = 4
# Limits that a router keeps; the one that was reported first is dropped first.
MAX_RATE_LIMITS = 1_024

# A server id and its incarnation.
ServerKey = tuple[str, str]


class Bar(enum.StrEnum):
    """Why a router may not send a request to a server."""

    LEAVING = "server_leaving"
    PAUSED = "server_paused_router"


@dataclasses.dataclass(frozen=True, slots=True)
class ToldRate:
    """A limit that a server named.

    Attributes:
      requests_per_s: Requests per second from all routers together.
      told_ms: Time of the last answer whose limit was reported.
    """

    requests_per_s: float
    told_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Notices:
    """What a router was told by servers.

    Attributes:
      leaving: Time of the first answer that told it, by server and incarnation,
        oldest first.
      pauses: End of the pause that it asked for, by server and incarnation.
      rates: `ToldRate` by server and incarnation.
    """

    leaving: immutables.Map = immutables.Map()
    pauses: immutables.Map = immutables.Map()
    rates: immutables.Map = immutables.Map()


def note_leaving(notices: Notices, server: ServerKey, now_ms: int) -> Notices:
    """Records that a server has said that it leaves.

    Args:
      notices: Notices so far.
      server: Server id and incarnation.
      now_ms: Present time.

    Returns:
      The new notices; the same object if it was known.
    """
    if server in notices.leaving:
        return notices
    kept = {
        known: at_ms
        for known, at_ms in notices.leaving.items()
        if now_ms - at_ms < LEAVING_LIFETIME_MS
    }
    if len(kept) >= MAX_LEAVING:
        del kept[min(kept, key=kept.__getitem__)]
    return dataclasses.replace(
        notices, leaving=immutables.Map(kept | {server: now_ms})
    )


def parse_retry_after(text: str, wall_s: float) -> int | None:
    """Parses the time for which a server wants nothing from a router.

    Args:
      text: Value of the header: seconds, also with a fraction, or an HTTP date.
      wall_s: Present time of the wall clock, in Unix seconds.

    Returns:
      The pause in milliseconds, at most `MAX_PAUSE_MS`; 0 for a time that is
      not positive or lies in the past, which asks for no pause; None if the
      value cannot be read.
    """
    try:
        seconds = float(text)
    except ValueError:
        try:
            date = email.utils.parsedate_to_datetime(text.strip())
            seconds = date.timestamp() - wall_s
        except (ValueError, TypeError, OverflowError):
            return None
    if math.isnan(seconds):
        return None
    return round(min(max(seconds * 1_000, 0.0), MAX_PAUSE_MS))


def note_pause(
    notices: Notices, server: ServerKey, pause_ms: int, now_ms: int
) -> Notices:
    """Records that a server wants nothing for a time.

    Args:
      notices: Notices so far.
      server: Server id and incarnation.
      pause_ms: Time from now on.
      now_ms: Present time.

    Returns:
      The new notices; the same object if a pause lasts at least as long.
    """
    until_ms = now_ms + pause_ms
    if notices.pauses.get(server, now_ms) >= until_ms:
        return notices
    kept = {
        known: end_ms
        for known, end_ms in notices.pauses.items()
        if end_ms > now_ms
    }
    if len(kept) >= MAX_PAUSES:
        del kept[min(kept, key=kept.__getitem__)]
    return dataclasses.replace(
        notices, pauses=immutables.Map(kept | {server: until_ms})
    )


def parse_rate_limit(text: str) -> float | None:
    """Parses a limit that a server named.

    Args:
      text: Value of the header: requests per second.

    Returns:
      The limit; None if it cannot be read or is negative or without bound.
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def find_rate_limit_lifetime_ms(requests_per_s: float) -> int:
    """Returns how long a limit lasts after an answer named it.

    Args:
      requests_per_s: The limit.

    Returns:
      Milliseconds.
    """
    rate = max(requests_per_s, MIN_RATE_LIMIT)
    return max(
        RATE_LIMIT_LIFETIME_MS,
        round(1000 * RATE_LIMIT_LIFETIME_REQUESTS / rate),
    )


def note_rate_limit(
    notices: Notices, server: ServerKey, requests_per_s: float, now_ms: int
) -> Notices:
    """Records a limit that a server named in an answer.

    Args:
      notices: Notices so far.
      server: Server id and incarnation.
      requests_per_s: The limit.
      now_ms: Present time.

    Returns:
      The new notices; the same object if the same limit was reported lately.
    """
    known = notices.rates.get(server)
    if (
        known is not None
        and known.requests_per_s == requests_per_s
        and now_ms - known.told_ms < RATE_LIMIT_REPORT_MS
    ):
        return notices
    rates = notices.rates
    if known is None and len(rates) >= MAX_RATE_LIMITS:
        rates = rates.delete(min(rates, key=lambda key: rates[key].told_ms))
    return dataclasses.replace(
        notices, rates=rates.set(server, ToldRate(requests_per_s, now_ms))
    )


def find_bar(notices: Notices, server: ServerKey, now_ms: int) -> Bar | None:
    """Tells why a request may not be sent to a server.

    Args:
      notices: Notices of the router.
      server: Server id and incarnation.
      now_ms: Present time.

    Returns:
      The reason, or None if the request may be sent.
    """
    if server in notices.leaving:
        return Bar.LEAVING
    if notices.pauses.get(server, now_ms) > now_ms:
        return Bar.PAUSED
    return None


def count_allowed(slots: int, until_ms: int, now_ms: int) -> int:
    """Counts the requests that a router may have at a server after a pause.

    Args:
      slots: Slots of the server.
      until_ms: End of the pause.
      now_ms: Present time.

    Returns:
      0 during the pause, then 1 and more.
    """
    if now_ms < until_ms:
        return 0
    fraction = min(1.0, (now_ms - until_ms) / RAMP_MS)
    return max(1, int(fraction * slots))


def list_reports(
    notices: Notices, now_ms: int
) -> tuple[data.ServerNotice, ...]:
    """Returns all notices, for a leader that may not know them.

    Args:
      notices: Notices of the router.
      now_ms: Present time.
    """
    leaving = (
        data.ServerNotice(*server, leaving=True)
        for server, at_ms in sorted(notices.leaving.items())
        if now_ms - at_ms < LEAVING_LIFETIME_MS
    )
    pauses = (
        data.ServerNotice(*server, pause_ms=until_ms - now_ms)
        for server, until_ms in sorted(notices.pauses.items())
        if until_ms > now_ms
    )
    rates = (
        data.ServerNotice(
            *server,
            rate_limit=told.requests_per_s,
            rate_limit_age_ms=now_ms - told.told_ms,
        )
        for server, told in sorted(notices.rates.items())
        if now_ms - told.told_ms
        < find_rate_limit_lifetime_ms(told.requests_per_s)
    )
    return (*leaving, *pauses, *rates)
