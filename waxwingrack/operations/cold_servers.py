"""Rate limit for backend servers that announce that they are cold.

A cold server crashes when it gets requests at a rate well above the configured
limit, so the leader limits its grants over all routers. Each grant takes one
request from a credit that grows at the configured rate.

Servers may become cold while their data centre is drained. They count as cold
from its restoration until they announce that they are warm.
"""

from waxwingrack.core import data
from waxwingrack.operations import tables as tables_module

# Maximum number of requests that a cold server gets at once.
MAX_BURST = 2.0
# Time after the restoration of a data centre within which an announcement may
# still be older than the restoration: the delay of a message that is resent.
LATE_ANNOUNCEMENT_MS = 300

Transaction = tables_module.Transaction


def apply_announcement(
    row: data.ServerRow, cold_ms: int, now_ms: int
) -> data.ServerRow:
    """Updates the row of a server with its announced cold time.

    Args:
      row: Row of the server.
      cold_ms: Time for which the server stays cold; 0 if it is warm.
      now_ms: Time of the announcement.
    """
    if not cold_ms:
        if now_ms < row.warm_doubted_until_ms:
            return row
        return data.evolve(row, cold_until_ms=0, cold_limit_reached=False)
    if row.cold_until_ms <= now_ms:
        row = data.evolve(row, cold_credit=MAX_BURST, cold_credit_ms=now_ms)
    return data.evolve(row, cold_until_ms=now_ms + cold_ms)


def apply_restoration(
    row: data.ServerRow, now_ms: int, max_age_ms: int
) -> data.ServerRow:
    """Marks a server as cold when its data centre is restored.

    Args:
      row: Row of the server.
      now_ms: Time of the restoration.
      max_age_ms: Time without an announcement after which the server is stale
        and gets no requests.
    """
    row = apply_announcement(row, max_age_ms, now_ms)
    return data.evolve(row, warm_doubted_until_ms=now_ms + LATE_ANNOUNCEMENT_MS)


def spend_credit(
    txn: Transaction, row: data.ServerRow, limit: data.ColdLimit | None
) -> data.ServerRow:
    """Takes one request from the credit of a server that gets a grant.

    Args:
      txn: Transaction on the tables; a timer is set if the credit is used up.
      row: Row of the server, not stored yet.
      limit: Limit of the service; None if there is none.

    Returns:
      The new row.
    """
    if limit is None or row.cold_until_ms <= txn.now_ms:
        return row
    credit = _compute_credit(row, limit, txn.now_ms) - 1.0
    limit_reached = credit < 1.0
    if limit_reached:
        wait_ms = (1.0 - credit) / limit.requests_per_s * 1000
        tables_module.set_timer(
            txn,
            txn.now_ms + round(wait_ms),
            "cold",
            row.announcement.server_id,
        )
    return data.evolve(
        row,
        cold_credit=credit,
        cold_credit_ms=txn.now_ms,
        cold_limit_reached=limit_reached,
    )


@tables_module.TIMERS.register("cold")
def _clear_cold_limit(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is not None and row.cold_limit_reached:
        tables_module.store_server(
            txn, data.evolve(row, cold_limit_reached=False)
        )


def _compute_credit(
    row: data.ServerRow, limit: data.ColdLimit, now_ms: int
) -> float:
    elapsed_s = (now_ms - row.cold_credit_ms) / 1000
    return min(MAX_BURST, row.cold_credit + elapsed_s * limit.requests_per_s)
