"""What the ends of proposals, orders and read-backs show."""

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
    """Notes the end of the proposal of an order or of a result.

    Args:
      call_states: Memory.
      server_id: Engine.
      token: Token of the call.
      committed: Whether the command is committed and had an effect.
      now_ms: Monotonic clock.

    Returns:
      The memory. If it is not known that the command took effect, the engine
      is read back before the next order.
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
    """Notes the end of a sent order.

    Args:
      call_states: Memory.
      order: The order.
      token: Token of the call.
      reply: How the call ended.
      now_ms: Monotonic clock.

    Returns:
      The memory and the result to record. An unknown outcome records nothing.
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
    """Notes the end of a read-back.

    Args:
      call_states: Memory.
      server_id: Engine.
      order: Latest order to the engine in the replicated state, or None.
      token: Token of the call.
      reply: How the call ended.
      now_ms: Monotonic clock.

    Returns:
      The memory and the result to record, if the engine shows one.
    """
    row = call_states.rows.get(server_id)
    if row is None or row.token != token:
        return order_records.CallResult(call_states)
    row = dataclasses.replace(row, call=order_records.CallKind.NONE)
    seen = reply.readout
    # Only the announced incarnation counts: a late announcement of an earlier
    # one must not end the order to the present one.
    if seen is None or seen.incarnation != row.incarnation:
        row = dataclasses.replace(
            row, was_read_back=False, retry_ms=now_ms + order_records.RETRY_MS
        )
        return order_records.CallResult(
            _with_call_state(call_states, server_id, row)
        )
    row = dataclasses.replace(
        row, was_read_back=True, seen_fencing=_highest_fencing(seen)
    )
    if order is None or order.state is not data.OrderState.OUTSTANDING:
        return order_records.CallResult(
            _with_call_state(call_states, server_id, row)
        )
    state = _find_shown_state(order, seen)
    if state is None and _is_lost(row, order, seen):
        state = data.OrderState.LOST
    if state is not None:
        reason = f"read back: incarnation {seen.incarnation} at {seen.fencing}"
        reply = dataclasses.replace(reply, reason=reason)
        return _propose_result(call_states, row, order, state, reply)
    row = dataclasses.replace(row, retry_ms=now_ms + order_records.RETRY_MS)
    if order.checks_fencing:
        row = dataclasses.replace(row, lost_fencing=order.fencing)
    return order_records.CallResult(
        _with_call_state(call_states, server_id, row)
    )


def _find_shown_state(
    order: data.EngineOrder, seen: order_records.Readout
) -> data.OrderState | None:
    """Returns the result of an order that an engine's account shows."""
    if seen.incarnation != order.incarnation:
        return data.OrderState.RESTARTED
    if order.fencing in seen.applied:
        return data.OrderState.APPLIED
    if order.checks_fencing and seen.fencing > order.fencing:
        return data.OrderState.REFUSED
    return None


def _is_lost(
    row: order_records.EngineCallState,
    order: data.EngineOrder,
    seen: order_records.Readout,
) -> bool:
    """Tells whether an order that an engine does not show is never taken.

    An engine that shows the number has seen the order and may still take it.
    """
    return (
        row.conclusive_fencing == order.fencing and seen.fencing < order.fencing
    )


def _propose_result(
    call_states: order_records.EngineCallStates,
    row: order_records.EngineCallState,
    order: data.EngineOrder,
    state: data.OrderState,
    reply: order_records.Reply,
) -> order_records.CallResult:
    # The call goes on as the proposal of the result, under the same token.
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


def _highest_fencing(seen: order_records.Readout) -> int:
    return max((seen.fencing, *seen.applied))


def _with_call_state(
    call_states: order_records.EngineCallStates,
    server_id: str,
    row: order_records.EngineCallState,
) -> order_records.EngineCallStates:
    return dataclasses.replace(
        call_states, rows=call_states.rows.set(server_id, row)
    )
