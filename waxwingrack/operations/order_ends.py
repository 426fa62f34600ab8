"""Evaluates the results of proposals, engine orders and read-backs."""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import order_records


def end_proposal(
    call_states: order_records.EngineCallStates,
    server_id: str,
    token: int,
    committed: bool,
    now_ms: int,
) -> order_records.EngineCallStates:
    """Ends the proposal of an order or of an order's result.

    Args:
      call_states: Call states of the leader.
      server_id: Backend server id of the engine.
      token: Token of the proposal.
      committed: Whether the command is committed and had an effect.
      now_ms: Monotonic clock.

    Returns:
      The new call states. Unless the command is known to have had an effect,
      the engine is read back before the next order.
    """
    row = call_states.rows.get(server_id)
    if row is None or row.token != token:
        return call_states
    row = dataclasses.replace(
        row, call=order_records.CallKind.NONE, pending_version=""
    )
    if not committed:
        row = dataclasses.replace(
            row, was_read_back=False, retry_ms=now_ms + order_records.RETRY_MS
        )
    return _with_call_state(call_states, server_id, row)


def end_order_call(
    call_states: order_records.EngineCallStates,
    order: data.EngineOrder,
    token: int,
    reply: order_records.Reply,
    now_ms: int,
) -> order_records.CallResult:
    """Ends the call that sent an order.

    Args:
      call_states: Call states of the leader.
      order: The order.
      token: Token of the call.
      reply: How the call ended.
      now_ms: Monotonic clock.

    Returns:
      The new call states and the order result to record. There is no result to
      record if the outcome is unknown.
    """
    row = call_states.rows.get(order.server_id)
    if row is None or row.token != token:
        return order_records.CallResult(call_states)
    row = dataclasses.replace(
        row, closed_fencing=order.fencing, closed_ms=now_ms
    )
    if reply.kind is order_records.ReplyKind.UNKNOWN:
        row = dataclasses.replace(
            row,
            call=order_records.CallKind.NONE,
            retry_ms=now_ms + order_records.RETRY_MS,
        )
        if order.checks_fencing:
            row = dataclasses.replace(row, lost_fencing=order.fencing)
        else:
            row = dataclasses.replace(row, was_read_back=False)
        return order_records.CallResult(
            _with_call_state(call_states, order.server_id, row)
        )
    state = _RESULT_STATES[reply.kind]
    if state is not data.OrderState.APPLIED:
        row = dataclasses.replace(row, retry_ms=now_ms + order_records.RETRY_MS)
    return _propose_result(call_states, row, order, state, reply)


_RESULT_STATES = {
    order_records.ReplyKind.ANSWERED: data.OrderState.APPLIED,
    order_records.ReplyKind.REFUSED: data.OrderState.REFUSED,
    order_records.ReplyKind.NOT_SENT: data.OrderState.NOT_SENT,
}


def end_read_back(
    call_states: order_records.EngineCallStates,
    server_id: str,
    order: data.EngineOrder | None,
    token: int,
    reply: order_records.Reply,
    now_ms: int,
) -> order_records.CallResult:
    """Ends a read-back.

    Args:
      call_states: Call states of the leader.
      server_id: Backend server id of the engine.
      order: Latest order to the engine in the replicated state, or None.
      token: Token of the call.
      reply: How the call ended.
      now_ms: Monotonic clock.

    Returns:
      The new call states and the order result to record, if the engine shows
      one.
    """
    row = call_states.rows.get(server_id)
    if row is None or row.token != token:
        return order_records.CallResult(call_states)
    row = dataclasses.replace(row, call=order_records.CallKind.NONE)
    readout = reply.readout
    # Only an answer of the announced incarnation counts: a late announcement of
    # an earlier incarnation must not end the order to the present one.
    if readout is None or readout.incarnation != row.incarnation:
        row = dataclasses.replace(
            row, was_read_back=False, retry_ms=now_ms + order_records.RETRY_MS
        )
        return order_records.CallResult(
            _with_call_state(call_states, server_id, row)
        )
    row = dataclasses.replace(
        row, was_read_back=True, seen_fencing=_highest_fencing(readout)
    )
    if order is None or order.state is not data.OrderState.OUTSTANDING:
        return order_records.CallResult(
            _with_call_state(call_states, server_id, row)
        )
    state = _find_shown_state(order, readout)
    if state is None and _is_lost(row, order, readout):
        state = data.OrderState.LOST
    if state is not None:
        reason = (
            f"read back: incarnation {readout.incarnation} at {readout.fencing}"
        )
        reply = dataclasses.replace(reply, reason=reason)
        return _propose_result(call_states, row, order, state, reply)
    row = dataclasses.replace(row, retry_ms=now_ms + order_records.RETRY_MS)
    if order.checks_fencing:
        row = dataclasses.replace(row, lost_fencing=order.fencing)
    return order_records.CallResult(
        _with_call_state(call_states, server_id, row)
    )


def _find_shown_state(
    order: data.EngineOrder, readout: order_records.Readout
) -> data.OrderState | None:
    """Returns the state of an order as an engine's readout shows it."""
    if readout.incarnation != order.incarnation:
        return data.OrderState.RESTARTED
    if order.fencing in readout.applied:
        return data.OrderState.APPLIED
    if order.checks_fencing and readout.fencing > order.fencing:
        return data.OrderState.REFUSED
    return None


def _is_lost(
    row: order_records.EngineCallState,
    order: data.EngineOrder,
    readout: order_records.Readout,
) -> bool:
    """Returns whether an order that an engine does not show is lost for good.

    An engine that shows the order's number has seen it and may still apply
    the order.
    """
    return (
        row.conclusive_fencing == order.fencing
        and readout.fencing < order.fencing
    )


def _propose_result(
    call_states: order_records.EngineCallStates,
    row: order_records.EngineCallState,
    order: data.EngineOrder,
    state: data.OrderState,
    reply: order_records.Reply,
) -> order_records.CallResult:
    # The proposal of the result continues the call under the same token.
    row = dataclasses.replace(row, call=order_records.CallKind.PROPOSAL)
    command = commands.RecordOrder(
        server_id=order.server_id,
        fencing=order.fencing,
        state=state,
        reason=reply.reason,
        seen_fencing=_highest_fencing(reply.readout) if reply.readout else 0,
    )
    return order_records.CallResult(
        _with_call_state(call_states, order.server_id, row), command
    )


def _highest_fencing(readout: order_records.Readout) -> int:
    return max((readout.fencing, *readout.applied))


def _with_call_state(
    call_states: order_records.EngineCallStates,
    server_id: str,
    row: order_records.EngineCallState,
) -> order_records.EngineCallStates:
    return dataclasses.replace(
        call_states, rows=call_states.rows.set(server_id, row)
    )
