"""Routers that the replicated log knows, so that a new leader can name them.

The leader compares what it sees with what is replicated and writes only the
differences: a router that appears, is lost, comes back or leaves. A router that
shuts down gracefully leaves; a lost one is kept for `KEEP_S`. A change of the
environment alone concerns every router, so the numbers in force are written
less often.
"""

from collections.abc import Iterable
import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes

# Time for which a lost router is kept, in seconds of the leader-counted clock.
# Regions may lose each other for an hour.
LOST_ROUTER_RETENTION_S = 3_600.0
# Routers kept; beyond it the one that was lost first goes.
MAX_ROUTERS = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRouters:
    """What a leader sees of the routers.

    Attributes:
      rows: Routers that are connected or were lost under this leader.
      left: Ids of routers that shut down gracefully.
      clock_s: Leader-counted clock.
      missing_since_s: Time since which routers that are in neither have not
        connected; None while they may still be on their way.
      include_numbers: Whether numbers in force that changed are to be written.
    """

    rows: tuple[data.KnownRouter, ...]
    left: frozenset[str]
    clock_s: float
    missing_since_s: float | None
    include_numbers: bool


def apply_note(
    state: data.ReplicatedState, command: commands.NoteRouters
) -> replicated_outcomes.CommandResult:
    """Applies what a leader has noted of the routers.

    Args:
      state: State before the command.
      command: The command.

    Returns:
      The new state; the environment number does not change.
    """
    known = state.known_routers.update(
        {row.node_id: row for row in command.rows}
    )
    for node_id in command.left:
        known = known.delete(node_id) if node_id in known else known
    surplus = sorted(known.values(), key=_order_of_removal)
    for row in surplus[: max(0, len(known) - MAX_ROUTERS)]:
        known = known.delete(row.node_id)
    state = dataclasses.replace(state, known_routers=known)
    return replicated_outcomes.CommandResult(state, None)


def _order_of_removal(row: data.KnownRouter) -> tuple[bool, float, str]:
    return row.lost_s is None, row.lost_s or 0.0, row.node_id


def find_changes(
    known: Iterable[data.KnownRouter], observed: ObservedRouters
) -> commands.NoteRouters | None:
    """Compares what is replicated with what the leader sees.

    Args:
      known: Replicated routers.
      observed: What the leader sees.

    Returns:
      The command that writes the differences, or None without any.
    """
    old = {row.node_id: row for row in known}
    new = {row.node_id: row for row in observed.rows}
    rows = [
        row
        for row in new.values()
        if _differs(old.get(row.node_id), row, observed)
    ]
    if observed.missing_since_s is not None:
        rows.extend(
            dataclasses.replace(row, lost_s=observed.missing_since_s)
            for row in old.values()
            if row.lost_s is None
            and row.node_id not in new
            and row.node_id not in observed.left
        )
    left = [
        row.node_id
        for row in old.values()
        if row.node_id in observed.left
        or (row.node_id not in new and _expired(row, observed.clock_s))
    ]
    if not rows and not left:
        return None
    return commands.NoteRouters(
        rows=tuple(sorted(rows, key=lambda row: row.node_id)),
        left=tuple(sorted(left)),
    )


def connected_ids(known: Iterable[data.KnownRouter]) -> tuple[str, ...]:
    """Returns the ids of the known routers that are not lost."""
    return tuple(row.node_id for row in known if row.lost_s is None)


def _differs(
    old: data.KnownRouter | None,
    new: data.KnownRouter,
    observed: ObservedRouters,
) -> bool:
    if old is None:
        return new.node_id not in observed.left
    return (
        old.data_centre != new.data_centre
        or (old.lost_s is None) != (new.lost_s is None)
        # A router that starts empty gets its environment right afterwards.
        or (
            old.number != new.number
            and (observed.include_numbers or not old.number)
        )
    )


def _expired(row: data.KnownRouter, clock_s: float) -> bool:
    return (
        row.lost_s is not None
        and clock_s - row.lost_s > LOST_ROUTER_RETENTION_S
    )
