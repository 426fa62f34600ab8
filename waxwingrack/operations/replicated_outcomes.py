"""Operators' commands: expected numbers, winners and stored outcomes."""

from collections.abc import Callable
import dataclasses
from typing import Any

from waxwingrack.core import data

# Outcomes kept for resends.
MAX_OUTCOMES = 4_096
# Numbers for which it is remembered who took them.
MAX_TAKERS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Result of a command.

    Attributes:
      state: State after the command.
      outcome: Answer to whoever proposed the command.
    """

    state: data.ReplicatedState
    outcome: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefusal:
    """A change that an operator's command asks for is not possible."""

    message: str


StateChange = Callable[
    [data.ReplicatedState, Any], data.ReplicatedState | ChangeRefusal
]


def make_operator_handler(
    change: StateChange,
) -> Callable[[data.ReplicatedState, Any], CommandResult]:
    """Makes a handler of an operators' command from the change itself.

    Args:
      change: Computes the changed state, or why the change is refused; it
        leaves the number alone.

    Returns:
      A handler that answers resends with the first outcome, lets one command
      win each number and records the outcome.
    """

    def handle(state: data.ReplicatedState, command: Any) -> CommandResult:
        first = state.outcomes.get(command.operation)
        if first is not None:
            return CommandResult(state, first)
        if command.expected not in (None, state.number):
            winner = state.takers.get(command.expected, "")
            message = f"expected {command.expected}, is {state.number}"
            return _record(state, command, False, winner, message)
        changed = change(state, command)
        if isinstance(changed, ChangeRefusal):
            return _record(state, command, False, "", changed.message)
        changed = increment_number(changed, command.operator)
        return _record(changed, command, True, "", "")

    return handle


def increment_number(
    state: data.ReplicatedState, taker: str
) -> data.ReplicatedState:
    """Raises the environment number by one in the name of `taker`."""
    takers = state.takers.set(state.number, taker)
    oldest = state.number - MAX_TAKERS
    if oldest in takers:
        takers = takers.delete(oldest)
    return dataclasses.replace(
        state, number=state.number + 1, operator=taker, takers=takers
    )


def _record(
    state: data.ReplicatedState,
    command: Any,
    accepted: bool,
    winner: str,
    message: str,
) -> CommandResult:
    outcome = data.OperationOutcome(
        command.operation, accepted, state.number, winner, message
    )
    outcomes = state.outcomes.set(command.operation, outcome)
    order = state.outcome_order.set(state.outcome_next, command.operation)
    first = state.outcome_first
    if state.outcome_next - first >= MAX_OUTCOMES:
        outcomes = outcomes.delete(order[first])
        order = order.delete(first)
        first += 1
    state = dataclasses.replace(
        state,
        outcomes=outcomes,
        outcome_order=order,
        outcome_first=first,
        outcome_next=state.outcome_next + 1,
    )
    return CommandResult(state, outcome)
