"""Routers in the replicated state, so that a new leader knows them.

The leader compares the routers that it observes with the replicated ones and
replicates only the differences: a router that is new, is lost, returns or
shuts down. A router that shuts down gracefully is removed; a lost one is kept
for `LOST_ROUTER_RETENTION_S`. A new environment changes the environment number
of every router at once, so changes of that number alone are replicated less
often.
"""

from collections.abc import Iterable
import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes

# Time for which a lost router is kept, in seconds of the leader-counted clock.
# Two regions may be disconnected from each other for an hour.
LOST_ROUTER_RETENTION_S = 3_600.0
# Routers kept; beyond this number, the router that was lost first is dropped.
MAX_ROUTERS = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRouters:
    """Routers as a leader observes them.

    Attributes:
      rows: Routers that are connected or were lost under this leader.
      left: Ids of routers that shut down gracefully.
      clock_s: Leader-counted clock.
      missing_since_s: Time from which routers in neither `rows` nor `left`
        count as lost; None while they may still connect to this leader.
      include_numbers: Whether to replicate routers of which only the
        environment number has changed.
    """

    rows: tuple[data.KnownRouter, ...]
    left: frozenset[str]
    clock_s: float
    missing_since_s: float | None
    include_numbers: bool


def apply_note(
    state: data.ReplicatedState, command: commands.NoteRouters
) -> replicated_outcomes.CommandResult:
    """Applies the changes of known routers that a leader found.

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
    removal_order = sorted(known.values(), key=_removal_sort_key)
    for row in removal_order[: max(0, len(known) - MAX_ROUTERS)]:
        known = known.delete(row.node_id)
    state = dataclasses.replace(state, known_routers=known)
    return replicated_outcomes.CommandResult(state, None)


def _removal_sort_key(row: data.KnownRouter) -> tuple[bool, float, str]:
    return row.lost_s is None, row.lost_s or 0.0, row.node_id


def find_changes(
    known: Iterable[data.KnownRouter], observed: ObservedRouters
) -> commands.NoteRouters | None:
    """Compares the replicated routers with the observed ones.

    Args:
      known: Replicated routers.
      observed: Routers as the leader observes them.

    Returns:
      The command that replicates the differences, or None if there are none.
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
        # A new router reports number 0 first and gets its environment at once,
        # so its first change of the number is replicated without delay.
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
