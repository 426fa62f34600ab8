"""Engine orders in the replicated state.

The latest order to each engine is kept. The state machine assigns the fencing
numbers, so they strictly increase over leader changes. If an engine does not
check fencing numbers and has an outstanding order, the state machine refuses
another order to it, whatever the proposing leader has seen.
"""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes

# Engines whose latest order is kept. Beyond this number, the final order with
# the lowest fencing number is dropped.
MAX_ORDERS = 4_096

_OUTSTANDING = data.OrderState.OUTSTANDING


def issue_order(
    state: data.ReplicatedState, command: commands.IssueOrder
) -> replicated_outcomes.CommandResult:
    """Assigns the next fencing number to an order and records it.

    Args:
      state: State before the command.
      command: The order.

    Returns:
      The new state and the `data.EngineOrder`; None as the outcome if an order
      is outstanding at an engine that does not check fencing numbers, or if
      MAX_ORDERS orders are outstanding.
    """
    previous = state.orders.get(command.server_id)
    if previous is not None and not may_follow(
        previous, command.checks_fencing
    ):
        return replicated_outcomes.CommandResult(state, None)
    orders = state.orders
    if previous is None and len(orders) >= MAX_ORDERS:
        final_orders = [
            row for row in orders.values() if row.state != _OUTSTANDING
        ]
        if not final_orders:
            return replicated_outcomes.CommandResult(state, None)
        oldest = min(final_orders, key=lambda row: row.fencing)
        orders = orders.delete(oldest.server_id)
    fencing = max(state.fencing, command.seen_fencing) + 1
    order = data.EngineOrder(
        service=command.service,
        server_id=command.server_id,
        incarnation=command.incarnation,
        version=command.version,
        fencing=fencing,
        checks_fencing=command.checks_fencing,
        issuer=command.issuer,
        controller=command.controller,
    )
    state = dataclasses.replace(
        state, fencing=fencing, orders=orders.set(order.server_id, order)
    )
    return replicated_outcomes.CommandResult(state, order)


def may_follow(previous: data.EngineOrder, checks_fencing: bool) -> bool:
    """Returns whether a newer order may follow an order to the same engine.

    Args:
      previous: Latest order to the engine.
      checks_fencing: Whether the engine now announces that it refuses lower
        fencing numbers.

    Returns:
      True if the old order is final or cannot take effect after a newer one.
    """
    if previous.state is not _OUTSTANDING:
        return True
    return previous.checks_fencing and checks_fencing


def record_order(
    state: data.ReplicatedState, command: commands.RecordOrder
) -> replicated_outcomes.CommandResult:
    """Records the result of an outstanding order.

    An order in a final state does not change.

    Args:
      state: State before the command.
      command: The result.

    Returns:
      The new state, and the changed `data.EngineOrder` or None as the outcome.
    """
    state = dataclasses.replace(
        state, fencing=max(state.fencing, command.seen_fencing)
    )
    order = state.orders.get(command.server_id)
    if (
        order is None
        or order.fencing != command.fencing
        or order.state is not _OUTSTANDING
    ):
        return replicated_outcomes.CommandResult(state, None)
    order = dataclasses.replace(
        order, state=command.state, reason=command.reason
    )
    state = dataclasses.replace(
        state, orders=state.orders.set(order.server_id, order)
    )
    return replicated_outcomes.CommandResult(state, order)


def clear_order(
    state: data.ReplicatedState, command: commands.ClearOrder
) -> data.ReplicatedState | replicated_outcomes.ChangeRefusal:
    """Ends an outstanding order that an operator declares over."""
    order = state.orders.get(command.server_id)
    if order is None:
        return replicated_outcomes.ChangeRefusal(
            f"no order to {command.server_id!r} is known"
        )
    if order.fencing != command.fencing:
        return replicated_outcomes.ChangeRefusal(
            f"the latest order to {command.server_id!r} is {order.fencing}"
        )
    if order.state is not _OUTSTANDING:
        return replicated_outcomes.ChangeRefusal(
            f"order {order.fencing} is over: {order.state}"
        )
    if order.checks_fencing:
        return replicated_outcomes.ChangeRefusal(
            f"order {order.fencing} holds nothing up, as the engine refuses "
            "old numbers"
        )
    order = dataclasses.replace(
        order,
        state=data.OrderState.CLEARED,
        reason=f"cleared by {command.operator}",
    )
    return dataclasses.replace(
        state, orders=state.orders.set(order.server_id, order)
    )
