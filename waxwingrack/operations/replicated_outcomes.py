"""Operators' commands: concurrency control and stored outcomes.

A command may name the environment number that it expects. Of several commands
that expect the same number, the first one succeeds.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from waxwingrack.core import data

# Outcomes kept to answer resent commands.
MAX_OUTCOMES = 4_096
# Environment numbers for which the author of the next change is kept.
MAX_TAKERS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Result of a command.

    Attributes:
      state: State after the command.
      outcome: Answer to the proposer of the command.
    """

    state: data.ReplicatedState
    outcome: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefusal:
    """Reason why the change of an operator's command is not possible."""

    message: str


StateChange = Callable[
    [data.ReplicatedState, Any], data.ReplicatedState | ChangeRefusal
]


def make_operator_handler(
    change: StateChange,
) -> Callable[[data.ReplicatedState, Any], CommandResult]:
    """Wraps a state change as the handler of an operators' command.

    Args:
      change: Computes the new state, or why the change is refused; it does not
        change the environment number.

    Returns:
      A handler that answers a resent command with its first outcome, accepts
      one command for each expected number and records the outcome.
    """

    def handle(state: data.ReplicatedState, command: Any) -> CommandResult:
        first_outcome = state.outcomes.get(command.operation)
        if first_outcome is not None:
            return CommandResult(state, first_outcome)
        if command.expected not in (None, state.number):
            winner = state.takers.get(command.expected, "")
            message = f"expected {command.expected}, is {state.number}"
            return _record_outcome(state, command, False, winner, message)
        new_state = change(state, command)
        if isinstance(new_state, ChangeRefusal):
            return _record_outcome(state, command, False, "", new_state.message)
        new_state = increment_number(new_state, command.operator)
        return _record_outcome(new_state, command, True, "", "")

    return handle


def increment_number(
    state: data.ReplicatedState, author: str
) -> data.ReplicatedState:
    """Increments the environment number and records who changed it."""
    takers = state.takers.set(state.number, author)
    oldest = state.number - MAX_TAKERS
    if oldest in takers:
        takers = takers.delete(oldest)
    return dataclasses.replace(
        state, number=state.number + 1, operator=author, takers=takers
    )


def _record_outcome(
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
