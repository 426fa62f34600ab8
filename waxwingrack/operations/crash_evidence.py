"""Evidence against requests that crash backend servers, at the leader."""

import dataclasses

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import crashes
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction


def record_crash_suspect(
    txn: Transaction, found: messages.CrashSuspect
) -> None:
    """Takes a request whose connection broke into the evidence."""
    if not found.digest:
        return
    server = (found.server_id, found.incarnation)
    row = txn.servers.get(found.server_id)
    reported = crashes.add_unjudged_server(
        txn.suspicions.get(found.digest), server, txn.now_ms
    )
    if reported is txn.suspicions.get(found.digest):
        return
    # Once the incarnation has been replaced, what else ran on it is unknown.
    present = row is not None and (
        row.announcement.incarnation == found.incarnation
    )
    txn.suspicions[found.digest] = reported
    txn.broken_connections = crashes.add_broken_connection(
        txn.broken_connections,
        server,
        found.digest,
        not present or _others(txn, row, found.digest),
        txn.now_ms,
    )
    tables_module.set_timer(
        txn, txn.now_ms + crashes.VERDICT_WINDOW_MS, "crash", server
    )
    tables_module.set_timer(
        txn, txn.now_ms + crashes.EVIDENCE_LIFETIME_MS, "evidence", found.digest
    )


def _others(txn: Transaction, row: data.ServerRow, digest: str) -> bool:
    if row.orphans:
        return True
    rows = (txn.grants.get(key) for key in row.grants)
    return any(grant and grant.digest != digest for grant in rows)


@tables_module.TIMERS.register("crash")
def _judge(txn: Transaction, server: tuple[str, str]) -> None:
    broken = txn.broken_connections.get(server)
    if broken is None:
        return
    due = broken.reported_ms + crashes.VERDICT_WINDOW_MS
    if due > txn.now_ms:
        tables_module.set_timer(txn, due, "crash", server)
        return
    row = txn.servers.get(server[0])
    if row is None or row.announcement.incarnation != server[1]:
        settle_broken_connections(txn, server, True, "came back")
        return
    crashed = (
        crashes.is_silent(broken.reported_ms, row.announced_ms)
        and not row.announcement.departing
    )
    settle_broken_connections(txn, server, crashed, "went silent")


def settle_broken_connections(
    txn: Transaction, server: tuple[str, str], crashed: bool, how: str
) -> None:
    """Settles the broken connections of one server incarnation.

    Args:
      txn: Tables.
      server: Server id and incarnation.
      crashed: Whether it crashed.
      how: How that showed.
    """
    broken = txn.broken_connections[server]
    txn.broken_connections = txn.broken_connections.delete(server)
    alone = len(broken.digests) == 1 and not broken.had_other_grants
    row = txn.servers.get(server[0])
    isolates = row is None or txn.scope.isolates(row.announcement.service)
    for digest in broken.digests:
        suspicion = txn.suspicions.get(digest)
        if suspicion is None:
            continue
        settled = crashes.judge_server(suspicion, server, crashed, alone)
        if settled is None:
            del txn.suspicions[digest]
            continue
        txn.suspicions[digest] = settled
        if crashed:
            txn.log_event(
                "crash_counted",
                f"the server {how} after the connection broke",
                server=server[0],
                incarnation=server[1],
                digest=digest,
                alone=alone,
                crashes=len(settled.crashed_servers),
            )
        if crashes.must_refuse(settled, isolates):
            del txn.suspicions[digest]
            txn.crashing_digests[digest] = -1


@tables_module.TIMERS.register("evidence")
def _expire_evidence(txn: Transaction, digest: str) -> None:
    suspicion = txn.suspicions.get(digest)
    if suspicion is None:
        return
    due = suspicion.updated_ms + crashes.EVIDENCE_LIFETIME_MS
    if due > txn.now_ms or suspicion.isolated_grant is not None:
        tables_module.set_timer(
            txn, max(due, txn.now_ms + 1_000), "evidence", digest
        )
        return
    del txn.suspicions[digest]


def end_isolated_run(
    txn: Transaction, grant: data.GrantRow, key: tables_module.GrantKey
) -> None:
    """Notes that the run of a suspected digest on its own has ended."""
    suspicion = txn.suspicions.get(grant.digest)
    if suspicion is not None and suspicion.isolated_grant == key:
        txn.suspicions[grant.digest] = dataclasses.replace(
            suspicion, isolated_grant=None
        )
    pool = txn.pools.get(grant.service)
    if pool is not None and key in pool.isolated_grants:
        txn.pools[grant.service] = data.evolve(
            pool, isolated_grants=pool.isolated_grants.delete(key)
        )
