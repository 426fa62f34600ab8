"""Rates that backend servers in need name in their answers.

Such a server takes so many requests per second from all routers together. Each
request needs a grant of the leader, so the leader keeps the rate: each grant
takes one request from a credit that grows at the rate. What the server cannot
take goes to others, or waits.

Routers report a limit as long as answers name it. It ends once no answer has
named it for some time, as an answer that does not may be older than one that
does, and at once with the incarnation of the server.
"""

import dataclasses
import math

from waxwingrack.core import data
from waxwingrack.operations import server_notices
from waxwingrack.operations import tables as tables_module

# Maximum number of requests that a limited server gets at once.
MAX_BURST = 2.0

Transaction = tables_module.Transaction


def record(txn: Transaction, notice: data.ServerNotice) -> None:
    """Records a limit that a router reports.

    Args:
      txn: Tables.
      notice: Notice of the present incarnation of a server, with a limit.
    """
    row = txn.servers[notice.server_id]
    told_ms = txn.now_ms - max(0, notice.rate_limit_age_ms)
    rate = max(notice.rate_limit, server_notices.MIN_RATE_LIMIT)
    limit = data.RateLimit(rate, told_ms, MAX_BURST, txn.now_ms)
    known = row.rate_limit
    if _find_end_ms(limit) <= txn.now_ms or (
        known is not None and told_ms < known.told_ms
    ):
        return
    if known is not None:
        limit = dataclasses.replace(
            limit,
            credit=_compute_credit(known, txn.now_ms),
            reached=known.reached,
        )
        if known.reached and rate > known.requests_per_s:
            _set_credit_timer(txn, notice.server_id, limit, limit.credit)
    else:
        txn.log_event(
            "server_limited",
            "named in an answer",
            server=notice.server_id,
            incarnation=notice.incarnation,
            requests_per_s=rate,
        )
        _set_end_timer(txn, notice.server_id, limit)
    tables_module.store_server(txn, data.evolve(row, rate_limit=limit))


def _find_end_ms(limit: data.RateLimit) -> int:
    return limit.told_ms + server_notices.find_rate_limit_lifetime_ms(
        limit.requests_per_s
    )


def _set_end_timer(
    txn: Transaction, server_id: str, limit: data.RateLimit
) -> None:
    tables_module.set_timer(
        txn, _find_end_ms(limit), "rate_limit_end", server_id
    )


def spend_credit(txn: Transaction, row: data.ServerRow) -> data.ServerRow:
    """Takes one request from the credit of a server that gets a grant.

    Args:
      txn: Transaction on the tables; a timer is set if the credit is used up.
      row: Row of the server, not stored yet.

    Returns:
      The new row.
    """
    limit = row.rate_limit
    if limit is None:
        return row
    credit = _compute_credit(limit, txn.now_ms) - 1.0
    reached = credit < 1.0
    if reached:
        _set_credit_timer(txn, row.announcement.server_id, limit, credit)
    return data.evolve(
        row,
        rate_limit=dataclasses.replace(
            limit, credit=credit, credit_ms=txn.now_ms, reached=reached
        ),
    )


def _set_credit_timer(
    txn: Transaction, server_id: str, limit: data.RateLimit, credit: float
) -> None:
    wait_ms = math.ceil((1.0 - credit) / limit.requests_per_s * 1000)
    tables_module.set_timer(
        txn, txn.now_ms + max(1, wait_ms), "rate_limit", server_id
    )


def _compute_credit(limit: data.RateLimit, now_ms: int) -> float:
    elapsed_s = (now_ms - limit.credit_ms) / 1000
    return min(MAX_BURST, limit.credit + elapsed_s * limit.requests_per_s)


@tables_module.TIMERS.register("rate_limit")
def _clear_reached(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is None or row.rate_limit is None or not row.rate_limit.reached:
        return
    limit = row.rate_limit
    credit = _compute_credit(limit, txn.now_ms)
    if credit < 1.0:
        # The rate has fallen since the timer was set, or it was rounded down.
        _set_credit_timer(txn, server_id, limit, credit)
        return
    tables_module.store_server(
        txn,
        data.evolve(
            row,
            rate_limit=dataclasses.replace(
                limit, credit=credit, credit_ms=txn.now_ms, reached=False
            ),
        ),
    )


@tables_module.TIMERS.register("rate_limit_end")
def _end_limit(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is None or row.rate_limit is None:
        return
    if _find_end_ms(row.rate_limit) > txn.now_ms:
        _set_end_timer(txn, server_id, row.rate_limit)
        return
    txn.log_event(
        "server_unlimited",
        "no answer has named a limit for some time",
        server=server_id,
    )
    tables_module.store_server(txn, data.evolve(row, rate_limit=None))
