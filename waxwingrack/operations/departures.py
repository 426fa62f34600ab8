"""Departures of backend servers in the replicated state.

A server that leaves may serve on for many seconds after its departure was
acknowledged, and an announcement that it sent before may still arrive then. So
the departure must outlive the leader that acknowledged it: a new leader that
does not know the server takes its announcements for those of a server that
stays. A departure belongs to an incarnation; the next one may be used.
"""

from collections.abc import Iterable
import dataclasses
import itertools

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes

# Time for which a departure is kept, in seconds of the leader-counted clock. By
# default Linux retransmits unacknowledged data for about 15 minutes, so an
# announcement may arrive that late.
RETENTION_S = 900.0
# Departures kept; beyond this number, the oldest one is dropped.
MAX_DEPARTURES = 4_096

# A server id and its incarnation.
ServerKey = tuple[str, str]


def apply_note(
    state: data.ReplicatedState, command: commands.NoteDepartures
) -> replicated_outcomes.CommandResult:
    """Records departures and drops those that are too old.

    Args:
      state: State before the command.
      command: The command.

    Returns:
      The new state; the environment number does not change.
    """
    noted = dict.fromkeys(command.servers, state.clock_s)
    kept = {
        server: noted_s
        for server, noted_s in state.departures.items()
        if state.clock_s - noted_s < RETENTION_S
    }
    departures = noted | kept
    newest = sorted(departures, key=lambda key: (departures[key], key))
    state = dataclasses.replace(
        state,
        departures=immutables.Map(
            {key: departures[key] for key in newest[-MAX_DEPARTURES:]}
        ),
    )
    return replicated_outcomes.CommandResult(state, None)


def mark_departed(
    departures: immutables.Map, announcements: Iterable[data.Announcement]
) -> tuple[data.Announcement, ...]:
    """Marks the announcements of servers whose departure is recorded.

    Args:
      departures: Recorded departures, by server id and incarnation.
      announcements: Announcements as they were received.

    Returns:
      The announcements; those of departed incarnations are departing.
    """
    return tuple(
        dataclasses.replace(announcement, departing=True)
        if (announcement.server_id, announcement.incarnation) in departures
        else announcement
        for announcement in announcements
    )


def list_departing(
    announcements: Iterable[data.Announcement],
    notices: Iterable[data.ServerNotice] = (),
) -> tuple[ServerKey, ...]:
    """Returns the servers that say that they leave.

    Args:
      announcements: Announcements of servers.
      notices: What servers told routers.
    """
    return tuple(
        (item.server_id, item.incarnation)
        for item in itertools.chain(
            (one for one in announcements if one.departing),
            (one for one in notices if one.leaving),
        )
    )


def find_latest(departures: immutables.Map, server_id: str) -> str | None:
    """Returns the incarnation of a server that departed last.

    Args:
      departures: Recorded departures, by server id and incarnation.
      server_id: Id of the server.

    Returns:
      The incarnation, or None if no departure of the server is recorded.
    """
    found = [
        (noted_s, incarnation)
        for (departed_id, incarnation), noted_s in departures.items()
        if departed_id == server_id
    ]
    return max(found)[1] if found else None
