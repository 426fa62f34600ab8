"""Holders of duties and recorded usage windows in the replicated state."""

import dataclasses

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes
from waxwingrack.operations import usage

CommandResult = replicated_outcomes.CommandResult

# Recorded windows that are kept. At 5 s each this is 21 minutes, within which
# the provider may be down without a loss.
MAX_WINDOWS = 256


def acquire_duty(
    state: data.ReplicatedState, command: commands.AcquireDuty
) -> CommandResult:
    """Gives a duty to a controller under the next fencing token.

    Args:
      state: State before the command.
      command: The command.

    Returns:
      The new state and the `data.DutyHolder`.
    """
    former = state.duties.get(command.duty)
    holder = data.DutyHolder(
        command.duty,
        (former.token if former else 0) + 1,
        command.node_id,
        command.name,
        command.issuer,
    )
    state = dataclasses.replace(
        state, duties=state.duties.set(command.duty, holder)
    )
    return CommandResult(state, holder)


def record_usage(
    state: data.ReplicatedState, command: commands.RecordUsage
) -> CommandResult:
    """Records the counts of a window unless it is recorded already.

    Args:
      state: State before the command.
      command: The command.

    Returns:
      The new state and the `data.RecordedWindow` in force; None if the window
      is no longer kept or the command is of a former holder of the duty.
    """
    holder = state.duties.get(data.Duty.USAGE_REPORT)
    if holder is None or holder.token != command.token:
        return CommandResult(state, None)
    if not usage.is_recordable(state, command.window):
        return CommandResult(state, state.usage.get(command.window))
    row = data.RecordedWindow(command.window, command.counts)
    rows, floor = state.usage, state.usage_floor
    replaced = find_replaced(state, command.window)
    if replaced is not None:
        floor = max(floor, replaced.window)
        rows = rows.delete(replaced.window)
    rows = rows.set(command.window, row)
    state = dataclasses.replace(state, usage=rows, usage_floor=floor)
    return CommandResult(state, rows.get(command.window))


def find_replaced(
    state: data.ReplicatedState, window: int
) -> data.RecordedWindow | None:
    """Returns the recorded window that is dropped for another one.

    Args:
      state: The replicated state.
      window: Number of a window that is not recorded.

    Returns:
      The oldest window if as many are recorded as are kept, else None.
    """
    if window in state.usage or len(state.usage) < MAX_WINDOWS:
        return None
    return state.usage[min(state.usage)]


def accept_usage(
    state: data.ReplicatedState, command: commands.AcceptUsage
) -> CommandResult:
    """Marks a window as accepted; its counts are no longer needed.

    Args:
      state: State before the command.
      command: The command.

    Returns:
      The new state; the outcome is None.
    """
    if command.window not in state.usage:
        return CommandResult(state, None)
    row = data.RecordedWindow(command.window, accepted=True)
    rows: immutables.Map = state.usage.set(command.window, row)
    return CommandResult(dataclasses.replace(state, usage=rows), None)
