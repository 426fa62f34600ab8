"""Which servers have more free slots than the next requests need."""

from waxwingrack.core import data
from waxwingrack.operations import engine_load
from waxwingrack.operations import forecast
from waxwingrack.operations import placement
from waxwingrack.operations import tables as tables_module

# Share of the slots of a server that stay free beside a second copy, for the
# requests that arrive next. A server with a single slot gets no second copy.
SURPLUS_SHARE = 0.25

Transaction = tables_module.Transaction


def list_servers_without_surplus(
    txn: Transaction, request: data.QueuedRequest
) -> tuple[str, ...]:
    """Returns the servers that may not get a second copy.

    Args:
      txn: Tables.
      request: Queued request of the copy.
    """
    return tuple(
        row.announcement.server_id
        for row in tables_module.iter_usable_servers(txn, request.service)
        if row.announcement.server_id in request.avoid
        or not _has_surplus(txn, row)
    )


def _has_surplus(txn: Transaction, row: data.ServerRow) -> bool:
    limit = row.slot_limit.limit
    return (
        tables_module.has_free_slot(row)
        and placement.count_used_slots(row) + 1 <= limit * (1 - SURPLUS_SHARE)
        and not _is_reading(txn, row)
    )


def _is_reading(txn: Transaction, row: data.ServerRow) -> bool:
    """Tells whether a model engine still has prompts to read."""
    rate = forecast.get_read_rate(txn, row.announcement.service)
    return engine_load.estimate_unread_tokens(row.load, txn.now_ms, rate) > 0
