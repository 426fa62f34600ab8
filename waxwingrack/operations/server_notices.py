"""What backend servers tell a router about themselves in their answers.

A server that leaves says so in each of its answers. The router that passed on
such an answer sends it nothing more, whoever granted it and whether or not the
leader can be reached, and reports the departure, so that the leader grants no
more requests there. The knowledge belongs to the incarnation of the server: a
server that starts again at the same address, or under the same id, is another
one.

A router keeps what it was told in memory, and reports it again to a new leader.
"""

import dataclasses
import enum

import immutables

from waxwingrack.core import data

# Time for which a departure is kept and reported to new leaders. A server that
# leaves has ended long before.
LEAVING_LIFETIME_MS = 300_000
# Departures that a router keeps; the oldest one is dropped first.
MAX_LEAVING = 1_024

# A server id and its incarnation.
ServerKey = tuple[str, str]


class Bar(enum.StrEnum):
    """Why a router may not send a request to a server."""

    LEAVING = "server_leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Notices:
    """What a router was told by servers.

    Attributes:
      leaving: Time of the first answer that told it, by server and incarnation,
        oldest first.
    """

    leaving: immutables.Map = immutables.Map()


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


def find_bar(notices: Notices, server: ServerKey) -> Bar | None:
    """Tells why a request may not be sent to a server.

    Args:
      notices: Notices of the router.
      server: Server id and incarnation.

    Returns:
      The reason, or None if the request may be sent.
    """
    return Bar.LEAVING if server in notices.leaving else None


def list_reports(
    notices: Notices, now_ms: int
) -> tuple[data.ServerNotice, ...]:
    """Returns all notices, for a leader that may not know them.

    Args:
      notices: Notices of the router.
      now_ms: Present time.
    """
    return tuple(
        data.ServerNotice(server_id, incarnation, leaving=True)
        for (server_id, incarnation), at_ms in sorted(notices.leaving.items())
        if now_ms - at_ms < LEAVING_LIFETIME_MS
    )
