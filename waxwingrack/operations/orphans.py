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

# Longest time between the sample of an announcement and its arrival: one
# period of announcements and the lag of the load figures.
SAMPLE_LAG_MS = 2_000
# Time that orphans have to settle before their server may be paused.
PAUSE_DELAY_MS = 6_000
# Longest pause. A server that is still busy then has other callers.
MAX_PAUSE_MS = 6_000
# Time until the next pause of such a server.
REPEAT_PAUSE_DELAY_MS = 30_000
# Share of a service's servers that may be paused at once, and at least one.
MAX_PAUSED_SHARE = 0.05

Transaction = tables_module.Transaction


def add_orphans(
    txn: Transaction, row: data.ServerRow, count: int
) -> data.ServerRow:
    """Adds orphans to a server; they settle by its next announcements."""
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
    """Turns a grant of a lost router into an orphan of its server."""
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
    tables_module.store(txn, add_orphans(txn, row, 1))


def adopt_grant(
    txn: Transaction, key: tables_module.GrantKey, server_id: str
) -> None:
    """Counts a grant that a router reports in use against its server."""
    grant = txn.grants[key]
    row = txn.servers.get(server_id)
    if row is None or row.announcement.incarnation != grant.incarnation:
        if row is None:
            waiting = txn.unannounced_grants.get(server_id, immutables.Map())
            txn.unannounced_grants[server_id] = waiting.set(key, None)
        return
    if key in row.grants:
        return
    known = key in row.lost_grants
    unknown = row.orphans - len(row.lost_grants)
    lowered = 1 if row.orphans and (known or unknown > 0) else 0
    row = data.evolve(
        row,
        grants=row.grants.set(key, None),
        lost_grants=row.lost_grants.delete(key) if known else row.lost_grants,
        orphans=row.orphans - lowered,
    )
    tables_module.store(txn, row)


def forget_unannounced_grant(
    txn: Transaction, server_id: str, key: tables_module.GrantKey
) -> None:
    """Drops an ended grant of a server that has not been announced."""
    waiting = txn.unannounced_grants.get(server_id)
    if waiting is None or key not in waiting:
        return
    waiting = waiting.delete(key)
    if waiting:
        txn.unannounced_grants[server_id] = waiting
    else:
        del txn.unannounced_grants[server_id]


def settle_orphans(txn: Transaction, row: data.ServerRow) -> data.ServerRow:
    """Lowers the number of orphans by an announcement."""
    if txn.now_ms < row.orphans_ms:
        return row
    running = sum(1 for key in row.grants if _ran_at_sample(txn, key))
    bound = max(0, row.announcement.in_flight - running)
    before = row.orphans if row.max_orphans is None else row.max_orphans
    settled = max(bound, before) if bound else 0
    orphans = min(row.orphans, settled)
    if orphans == row.orphans:
        return data.evolve(row, max_orphans=bound)
    txn.log_event(
        "orphans_settled",
        f"announced {row.announcement.in_flight} in flight",
        server=row.announcement.server_id,
        orphans=orphans,
        before=row.orphans,
    )
    row = data.evolve(row, orphans=orphans, max_orphans=bound)
    if orphans == 0:
        close_lost_grants(txn, row)
        release_pause(txn, row)
        row = data.evolve(row, lost_grants=immutables.Map(), paused=False)
    return row


def _ran_at_sample(txn: Transaction, key: tables_module.GrantKey) -> bool:
    """Tells whether a grant certainly ran when the load was sampled.

    It did if its router reported after the grant had expired and still holds
    it, and all of that lies further back than the lag of the sample.
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
    """Closes the books on the grants of lost routers at a server."""
    for key in row.lost_grants:
        close_unreported_grant(txn, key)


def close_unreported_grant(
    txn: Transaction, key: tables_module.GrantKey
) -> None:
    """Removes a grant whose end was never reported.

    The charge becomes the cost that the meter assumes.
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
    """Returns the cost to charge for a grant whose end was not reported."""
    return fairness.estimate_unknown_cost(
        grant,
        tables_module.account(txn, grant.service, grant.workspace),
        txn.scope.meter(grant.service),
        txn.now_ms,
    )


def settle_charge(
    txn: Transaction, grant: data.GrantRow, cost: float, ran: bool = False
) -> None:
    """Corrects the charge of an ended grant.

    Args:
      txn: Tables.
      grant: Grant, already removed.
      cost: Its real cost.
      ran: Whether the cost is that of a finished request, from which the usual
        cost of the workspace and of the service is learned.
    """
    place = (grant.service, grant.workspace)
    account = fairness.add_cost(
        tables_module.account(txn, *place),
        cost - grant.charged,
        grant.weight or txn.scope.weight(grant.workspace),
        in_use=-1,
    )
    if ran:
        account = fairness.record_cost(account, cost)
    txn.accounts[place] = account
    if ran:
        own = (grant.service, fairness.SERVICE_ACCOUNT)
        txn.accounts[own] = fairness.record_cost(
            tables_module.account(txn, *own), cost
        )


@tables_module.TIMERS.register("pause")
def _pause(txn: Transaction, server_id: str) -> None:
    """Pauses a server whose orphans could not be settled while it was busy."""
    row = txn.servers.get(server_id)
    if row is None or not row.orphans or row.paused or row.stale:
        return
    if txn.now_ms < row.orphans_ms + PAUSE_DELAY_MS - SAMPLE_LAG_MS:
        return
    service = row.announcement.service
    pool = tables_module.pool(txn, service)
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
    tables_module.store(txn, data.evolve(row, paused=True))
    tables_module.set_timer(
        txn, txn.now_ms + MAX_PAUSE_MS, "end_pause", server_id
    )


@tables_module.TIMERS.register("end_pause")
def _end_pause(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is None or not row.paused:
        return
    release_pause(txn, row)
    tables_module.store(txn, data.evolve(row, paused=False))
    tables_module.set_timer(
        txn, txn.now_ms + REPEAT_PAUSE_DELAY_MS, "pause", server_id
    )


def release_pause(txn: Transaction, row: data.ServerRow) -> None:
    """Lets another server of the service be paused."""
    if not row.paused:
        return
    service = row.announcement.service
    pool = tables_module.pool(txn, service)
    if row.announcement.server_id in pool.paused_servers:
        txn.pools[service] = data.evolve(
            pool,
            paused_servers=pool.paused_servers.delete(
                row.announcement.server_id
            ),
        )
