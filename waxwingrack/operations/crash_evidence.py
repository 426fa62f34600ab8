"""Evidence against requests that crash backend servers, at the leader."""

import dataclasses

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import crashes
from waxwingrack.operations import tables as tables_module

Work = tables_module.Work


def suspect(work: Work, found: messages.CrashSuspect) -> None:
    """Takes a request whose connection broke into the evidence."""
    if not found.digest:
        return
    server = (found.server_id, found.incarnation)
    row = work.servers.get(found.server_id)
    reported = crashes.report(
        work.suspicions.get(found.digest), server, work.now_ms
    )
    if reported is work.suspicions.get(found.digest):
        return
    # Once the incarnation has been replaced, what else ran on it is unknown.
    present = row is not None and (
        row.announcement.incarnation == found.incarnation
    )
    work.suspicions[found.digest] = reported
    work.broken = crashes.add_broken(
        work.broken,
        server,
        found.digest,
        not present or _others(work, row, found.digest),
        work.now_ms,
    )
    tables_module.set_timer(
        work, work.now_ms + crashes.WINDOW_MS, "crash", server
    )
    tables_module.set_timer(
        work, work.now_ms + crashes.MEMORY_MS, "evidence", found.digest
    )


def _others(work: Work, row: data.ServerRow, digest: str) -> bool:
    if row.orphans:
        return True
    rows = (work.grants.get(key) for key in row.grants)
    return any(grant and grant.digest != digest for grant in rows)


@tables_module.TIMERS.register("crash")
def _judge(work: Work, server: tuple[str, str]) -> None:
    broken = work.broken.get(server)
    if broken is None:
        return
    due = broken.at_ms + crashes.WINDOW_MS
    if due > work.now_ms:
        tables_module.set_timer(work, due, "crash", server)
        return
    row = work.servers.get(server[0])
    if row is None or row.announcement.incarnation != server[1]:
        settle_broken(work, server, True, "came back")
        return
    crashed = (
        crashes.silent(broken.at_ms, row.seen_ms)
        and not row.announcement.departing
    )
    settle_broken(work, server, crashed, "went silent")


def settle_broken(
    work: Work, server: tuple[str, str], crashed: bool, how: str
) -> None:
    """Settles the broken connections of one server incarnation.

    Args:
      work: Tables.
      server: Server id and incarnation.
      crashed: Whether it crashed.
      how: How that showed.
    """
    broken = work.broken[server]
    work.broken = work.broken.delete(server)
    alone = len(broken.digests) == 1 and not broken.others
    row = work.servers.get(server[0])
    isolates = row is None or work.scope.isolates(row.announcement.service)
    for digest in broken.digests:
        suspicion = work.suspicions.get(digest)
        if suspicion is None:
            continue
        settled = crashes.judge(suspicion, server, crashed, alone)
        if settled is None:
            del work.suspicions[digest]
            continue
        work.suspicions[digest] = settled
        if crashed:
            work.event(
                "crash_counted",
                f"the server {how} after the connection broke",
                server=server[0],
                incarnation=server[1],
                digest=digest,
                alone=alone,
                crashes=len(settled.crashes),
            )
        if crashes.condemned(settled, isolates):
            del work.suspicions[digest]
            work.condemned[digest] = -1


@tables_module.TIMERS.register("evidence")
def _expire_evidence(work: Work, digest: str) -> None:
    suspicion = work.suspicions.get(digest)
    if suspicion is None:
        return
    due = suspicion.at_ms + crashes.MEMORY_MS
    if due > work.now_ms or suspicion.running is not None:
        tables_module.set_timer(
            work, max(due, work.now_ms + 1_000), "evidence", digest
        )
        return
    del work.suspicions[digest]


def finish_solo(
    work: Work, grant: data.GrantRow, key: tables_module.GrantKey
) -> None:
    """Notes that the run of a suspected digest on its own has ended."""
    suspicion = work.suspicions.get(grant.digest)
    if suspicion is not None and suspicion.running == key:
        work.suspicions[grant.digest] = dataclasses.replace(
            suspicion, running=None
        )
    pool = work.pools.get(grant.service)
    if pool is not None and key in pool.solos:
        work.pools[grant.service] = data.evolve(
            pool, solos=pool.solos.delete(key)
        )
