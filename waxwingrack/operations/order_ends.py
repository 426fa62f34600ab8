"""What the ends of proposals, orders and read-backs show."""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import order_records


def proposed(
    contacts: order_records.Contacts,
    server_id: str,
    token: int,
    committed: bool,
    now_ms: int,
) -> order_records.Contacts:
    """Notes the end of the proposal of an order or of a result.

    Args:
      contacts: Memory.
      server_id: Engine.
      token: Token of the call.
      committed: Whether the command is committed and had an effect.
      now_ms: Monotonic clock.

    Returns:
      The memory. If it is not known that the command took effect, the engine
      is read back before the next order.
    """
    row = contacts.rows.get(server_id)
    if row is None or row.token != token:
        return contacts
    row = dataclasses.replace(row, call=order_records.Call.NONE, pending="")
    if not committed:
        row = dataclasses.replace(
            row, read=False, retry_ms=now_ms + order_records.RETRY_MS
        )
    return _with(contacts, server_id, row)


def answered(
    contacts: order_records.Contacts,
    order: data.EngineOrder,
    token: int,
    reply: order_records.Reply,
    now_ms: int,
) -> order_records.Noted:
    """Notes the end of a sent order.

    Args:
      contacts: Memory.
      order: The order.
      token: Token of the call.
      reply: How the call ended.
      now_ms: Monotonic clock.

    Returns:
      The memory and the result to record. An unknown outcome records nothing.
    """
    row = contacts.rows.get(order.server_id)
    if row is None or row.token != token:
        return order_records.Noted(contacts)
    row = dataclasses.replace(row, closed=order.fencing, closed_ms=now_ms)
    if reply.kind is order_records.ReplyKind.UNKNOWN:
        row = dataclasses.replace(
            row,
            call=order_records.Call.NONE,
            retry_ms=now_ms + order_records.RETRY_MS,
        )
        if order.checks_fencing:
            row = dataclasses.replace(row, lost=order.fencing)
        else:
            row = dataclasses.replace(row, read=False)
        return order_records.Noted(_with(contacts, order.server_id, row))
    state = _RESULTS[reply.kind]
    if state is not data.OrderState.APPLIED:
        row = dataclasses.replace(row, retry_ms=now_ms + order_records.RETRY_MS)
    return _record(contacts, row, order, state, reply)


_RESULTS = {
    order_records.ReplyKind.ANSWERED: data.OrderState.APPLIED,
    order_records.ReplyKind.REFUSED: data.OrderState.REFUSED,
    order_records.ReplyKind.NOT_SENT: data.OrderState.NOT_SENT,
}


def read_back(
    contacts: order_records.Contacts,
    server_id: str,
    order: data.EngineOrder | None,
    token: int,
    reply: order_records.Reply,
    now_ms: int,
) -> order_records.Noted:
    """Notes the end of a read-back.

    Args:
      contacts: Memory.
      server_id: Engine.
      order: Latest order to the engine in the replicated state, or None.
      token: Token of the call.
      reply: How the call ended.
      now_ms: Monotonic clock.

    Returns:
      The memory and the result to record, if the engine shows one.
    """
    row = contacts.rows.get(server_id)
    if row is None or row.token != token:
        return order_records.Noted(contacts)
    row = dataclasses.replace(row, call=order_records.Call.NONE)
    seen = reply.readout
    # Only the announced incarnation counts: a late announcement of an earlier
    # one must not end the order to the present one.
    if seen is None or seen.incarnation != row.incarnation:
        row = dataclasses.replace(
            row, read=False, retry_ms=now_ms + order_records.RETRY_MS
        )
        return order_records.Noted(_with(contacts, server_id, row))
    row = dataclasses.replace(row, read=True, seen_fencing=_highest(seen))
    if order is None or order.state is not data.OrderState.OUTSTANDING:
        return order_records.Noted(_with(contacts, server_id, row))
    state = _shown(order, seen)
    if state is None and _is_lost(row, order, seen):
        state = data.OrderState.LOST
    if state is not None:
        reason = f"read back: incarnation {seen.incarnation} at {seen.fencing}"
        reply = dataclasses.replace(reply, reason=reason)
        return _record(contacts, row, order, state, reply)
    row = dataclasses.replace(row, retry_ms=now_ms + order_records.RETRY_MS)
    if order.checks_fencing:
        row = dataclasses.replace(row, lost=order.fencing)
    return order_records.Noted(_with(contacts, server_id, row))


def _shown(
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
    row: order_records.Contact,
    order: data.EngineOrder,
    seen: order_records.Readout,
) -> bool:
    """Tells whether an order that an engine does not show is never taken.

    An engine that shows the number has seen the order and may still take it.
    """
    return row.conclusive == order.fencing and seen.fencing < order.fencing


def _record(
    contacts: order_records.Contacts,
    row: order_records.Contact,
    order: data.EngineOrder,
    state: data.OrderState,
    reply: order_records.Reply,
) -> order_records.Noted:
    # The call goes on as the proposal of the result, under the same token.
    row = dataclasses.replace(row, call=order_records.Call.PROPOSAL)
    command = commands.RecordOrder(
        server_id=order.server_id,
        fencing=order.fencing,
        state=state,
        reason=reply.reason,
        seen_fencing=_highest(reply.readout) if reply.readout else 0,
    )
    return order_records.Noted(_with(contacts, order.server_id, row), command)


def _highest(seen: order_records.Readout) -> int:
    return max((seen.fencing, *seen.applied))


def _with(
    contacts: order_records.Contacts, server_id: str, row: order_records.Contact
) -> order_records.Contacts:
    return dataclasses.replace(contacts, rows=contacts.rows.set(server_id, row))
