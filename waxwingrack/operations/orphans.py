"""Slots of orphaned requests, whose router is lost.

An orphaned request keeps its slot, as it may still run. An announcement that
arrives at least `SAMPLE_LAG_MS` after the loss was sampled after the loss. It
limits the orphans to its in-flight count less the requests of live routers that
certainly ran at the sample. Two such announcements in a row, or one with
nothing in flight, lower the number of orphans. On a busy server with short
requests this may never happen, so a few servers at a time are paused until
their orphans are settled.
"""

import dataclasses

import immutables

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import engine_load
from waxwingrack.operations import fairness
from waxwingrack.operations import tables as tables_module

# Longest time between the load sample of an announcement and its arrival: one
# announcement period and the lag of the load figures.
SAMPLE_LAG_MS = 2_000
# Time from the loss of a router to the first pause of a server.
PAUSE_DELAY_MS = 6_000
# Longest pause. A server that is still busy after it has other callers.
MAX_PAUSE_MS = 6_000
# Time from the end of a pause to the next pause of the same server.
REPEAT_PAUSE_DELAY_MS = 30_000
# Share of a service's servers that may be paused at once; at least one may be.
MAX_PAUSED_SHARE = 0.05

Transaction = tables_module.Transaction


def add_orphans(
    txn: Transaction, row: data.ServerRow, count: int
) -> data.ServerRow:
    """Adds orphans to a server; its next announcements settle them."""
    tables_module.set_timer(
        txn,
        txn.now_ms + PAUSE_DELAY_MS,
        "pause",
        row.announcement.server_id,
    )
    return data.evolve(
        row,
        orphans=row.orphans + count,
        orphans_ms=txn.now_ms + SAMPLE_LAG_MS,
        max_orphans=None,
    )


def orphan_grant(txn: Transaction, key: tables_module.GrantKey) -> None:
    """Marks a grant of a lost router as an orphan of its server."""
    grant = txn.grants[key]
    if grant.orphaned:
        return
    txn.grants[key] = dataclasses.replace(grant, orphaned=True)
    row = txn.servers.get(grant.server_id)
    if row is None or key not in row.grants:
        return
    row = data.evolve(
        row,
        grants=row.grants.delete(key),
        lost_grants=row.lost_grants.set(key, None),
        isolated_grant=None
        if row.isolated_grant == key
        else row.isolated_grant,
        load=engine_load.remove_grant(row.load, key, txn.now_ms),
    )
    tables_module.store_server(txn, add_orphans(txn, row, 1))


def adopt_grant(
    txn: Transaction, key: tables_module.GrantKey, server_id: str
) -> None:
    """Adds a grant that a router reports as in use to its server."""
    grant = txn.grants[key]
    row = txn.servers.get(server_id)
    if row is None or row.announcement.incarnation != grant.incarnation:
        if row is None:
            unannounced = txn.unannounced_grants.get(
                server_id, immutables.Map()
            )
            txn.unannounced_grants[server_id] = unannounced.set(key, None)
        return
    if key in row.grants:
        return
    is_lost_grant = key in row.lost_grants
    other_orphans = row.orphans - len(row.lost_grants)
    adopted_orphans = (
        1 if row.orphans and (is_lost_grant or other_orphans > 0) else 0
    )
    row = data.evolve(
        row,
        grants=row.grants.set(key, None),
        lost_grants=row.lost_grants.delete(key)
        if is_lost_grant
        else row.lost_grants,
        orphans=row.orphans - adopted_orphans,
    )
    tables_module.store_server(txn, row)


def forget_unannounced_grant(
    txn: Transaction, server_id: str, key: tables_module.GrantKey
) -> None:
    """Removes an ended grant of a server that has not announced itself."""
    unannounced = txn.unannounced_grants.get(server_id)
    if unannounced is None or key not in unannounced:
        return
    unannounced = unannounced.delete(key)
    if unannounced:
        txn.unannounced_grants[server_id] = unannounced
    else:
        del txn.unannounced_grants[server_id]


def settle_orphans(txn: Transaction, row: data.ServerRow) -> data.ServerRow:
    """Lowers the number of orphans according to an announcement."""
    if txn.now_ms < row.orphans_ms:
        return row
    running = sum(1 for key in row.grants if _was_running_at_sample(txn, key))
    max_orphans = max(0, row.announcement.in_flight - running)
    previous_bound = row.orphans if row.max_orphans is None else row.max_orphans
    upper_bound = max(max_orphans, previous_bound) if max_orphans else 0
    orphans = min(row.orphans, upper_bound)
    if orphans == row.orphans:
        return data.evolve(row, max_orphans=max_orphans)
    txn.log_event(
        "orphans_settled",
        f"announced {row.announcement.in_flight} in flight",
        server=row.announcement.server_id,
        orphans=orphans,
        before=row.orphans,
    )
    row = data.evolve(row, orphans=orphans, max_orphans=max_orphans)
    if orphans == 0:
        close_lost_grants(txn, row)
        release_pause(txn, row)
        row = data.evolve(row, lost_grants=immutables.Map(), paused=False)
    return row


def _was_running_at_sample(
    txn: Transaction, key: tables_module.GrantKey
) -> bool:
    """Tells whether a grant certainly ran when the load was sampled.

    It did if the grant expired longer ago than the lag of the sample, and its
    router has reported after the expiry and still holds the grant.
    """
    grant = txn.grants.get(key)
    if grant is None:
        return False
    lifetime = messages.GRANT_LIFETIME_MS
    if grant.granted_ms + lifetime + SAMPLE_LAG_MS > txn.now_ms:
        return False
    router = txn.routers.get(grant.router)
    return router is not None and (
        grant.running
        or router.sent_ms > grant.echo_ms + lifetime + messages.HEARTBEAT_MS
    )


def close_lost_grants(txn: Transaction, row: data.ServerRow) -> None:
    """Closes the grants of lost routers at a server."""
    for key in row.lost_grants:
        close_unreported_grant(txn, key)


def close_unreported_grant(
    txn: Transaction, key: tables_module.GrantKey
) -> None:
    """Removes a grant whose end was never reported.

    Its charge is replaced by the estimate of the cost meter.
    """
    grant = txn.grants.pop(key, None)
    if grant is None:
        return
    settle_charge(txn, grant, estimate_unreported_cost(txn, grant))
    router = txn.routers.get(grant.router)
    if router is not None and key in router.grants:
        txn.routers[grant.router] = data.evolve(
            router, grants=router.grants.delete(key)
        )
    crash_evidence.end_isolated_run(txn, grant, key)


def estimate_unreported_cost(txn: Transaction, grant: data.GrantRow) -> float:
    """Estimates the cost of a grant whose end was not reported."""
    return fairness.estimate_unknown_cost(
        grant,
        tables_module.get_account(txn, grant.service, grant.workspace),
        txn.environment_index.cost_meter(grant.service),
        txn.now_ms,
    )


def settle_charge(
    txn: Transaction, grant: data.GrantRow, cost: float, ran: bool = False
) -> None:
    """Replaces the charge of an ended grant by its cost.

    Args:
      txn: Transaction on the tables.
      grant: Grant, already removed.
      cost: Actual or estimated cost.
      ran: Whether the cost is the actual cost of a finished request. It then
        updates the mean costs of the workspace and of the service.
    """
    account_key = (grant.service, grant.workspace)
    account = fairness.add_cost(
        tables_module.get_account(txn, *account_key),
        cost - grant.charged,
        grant.weight or txn.environment_index.weight(grant.workspace),
        in_use=-1,
    )
    if ran:
        account = fairness.record_cost(account, cost)
    txn.accounts[account_key] = account
    if ran:
        service_key = (grant.service, fairness.SERVICE_ACCOUNT)
        txn.accounts[service_key] = fairness.record_cost(
            tables_module.get_account(txn, *service_key), cost
        )


@tables_module.TIMERS.register("pause")
def _pause_server(txn: Transaction, server_id: str) -> None:
    """Pauses a server whose orphans were not settled while it was busy."""
    row = txn.servers.get(server_id)
    if row is None or not row.orphans or row.paused or row.stale:
        return
    if txn.now_ms < row.orphans_ms + PAUSE_DELAY_MS - SAMPLE_LAG_MS:
        return
    service = row.announcement.service
    pool = tables_module.get_pool(txn, service)
    if len(pool.paused_servers) >= max(
        1, int(pool.usable_count * MAX_PAUSED_SHARE)
    ):
        tables_module.set_timer(txn, txn.now_ms + 500, "pause", server_id)
        return
    txn.log_event(
        "server_paused",
        f"{row.orphans} requests of lost routers may still run",
        server=server_id,
    )
    txn.pools[service] = data.evolve(
        pool, paused_servers=pool.paused_servers.set(server_id, None)
    )
    tables_module.store_server(txn, data.evolve(row, paused=True))
    tables_module.set_timer(
        txn, txn.now_ms + MAX_PAUSE_MS, "end_pause", server_id
    )


@tables_module.TIMERS.register("end_pause")
def _end_pause(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is None or not row.paused:
        return
    release_pause(txn, row)
    tables_module.store_server(txn, data.evolve(row, paused=False))
    tables_module.set_timer(
        txn, txn.now_ms + REPEAT_PAUSE_DELAY_MS, "pause", server_id
    )


def release_pause(txn: Transaction, row: data.ServerRow) -> None:
    """Allows another server of the service to be paused."""
    if not row.paused:
        return
    service = row.announcement.service
    pool = tables_module.get_pool(txn, service)
    if row.announcement.server_id in pool.paused_servers:
        txn.pools[service] = data.evolve(
            pool,
            paused_servers=pool.paused_servers.delete(
                row.announcement.server_id
            ),
        )
