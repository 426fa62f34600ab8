"""Collects evidence against requests that crash backend servers."""

import dataclasses
import heapq

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import crashes
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction

# Interval at which the end of a refusal is proposed until it is committed.
RELEASE_REPEAT_MS = 1_000


def record_crash_suspect(
    txn: Transaction, report: messages.CrashSuspect
) -> None:
    """Records a request whose connection broke, and its shared parts.

    A router reports a broken connection again to a new leader. If it broke
    before the former leader sent its evidence, the evidence holds it, or it has
    been cleared since. Without such evidence the digest counts, but not the
    parts: requests that completed since have cleared most of them.
    """
    broken_ms = txn.now_ms - report.age_ms
    if report.age_ms and broken_ms <= txn.evidence_ms:
        return
    parts = () if report.age_ms and txn.evidence_ms < 0 else report.parts
    for suspect in (report.digest, *crashes.name_parts(parts)):
        if suspect:
            _record_suspect(txn, report, suspect)


def _record_suspect(
    txn: Transaction, report: messages.CrashSuspect, suspect: str
) -> None:
    server = (report.server_id, report.incarnation)
    row = txn.servers.get(report.server_id)
    broken_ms = txn.now_ms - report.age_ms
    run = data.BrokenRun(*server, broken_ms - report.ran_ms, broken_ms)
    suspicion = crashes.add_unjudged_server(
        txn.suspicions.get(suspect), run, txn.now_ms
    )
    if suspicion is txn.suspicions.get(suspect):
        return
    # Other grants of an incarnation are unknown once it has been replaced.
    is_current = row is not None and (
        row.announcement.incarnation == report.incarnation
    )
    txn.suspicions[suspect] = suspicion
    txn.broken_connections = crashes.add_broken_connection(
        txn.broken_connections,
        server,
        suspect,
        not is_current or _has_other_grants(txn, row, suspect),
        txn.now_ms,
    )
    tables_module.set_timer(
        txn, txn.now_ms + crashes.VERDICT_WINDOW_MS, "crash", server
    )
    tables_module.set_timer(
        txn,
        txn.now_ms + crashes.EVIDENCE_LIFETIME_MS,
        "evidence",
        suspect,
    )


def _has_other_grants(
    txn: Transaction, row: data.ServerRow, digest: str
) -> bool:
    if row.orphans:
        return True
    grants = (txn.grants.get(key) for key in row.grants)
    return any(grant and grant.digest != digest for grant in grants)


@tables_module.TIMERS.register("crash")
def _judge_server(txn: Transaction, server: tuple[str, str]) -> None:
    broken = txn.broken_connections.get(server)
    if broken is None:
        return
    due_ms = broken.reported_ms + crashes.VERDICT_WINDOW_MS
    if due_ms > txn.now_ms:
        tables_module.set_timer(txn, due_ms, "crash", server)
        return
    row = txn.servers.get(server[0])
    if row is None or row.announcement.incarnation != server[1]:
        settle_broken_connections(txn, server, True, "came back")
        return
    crashed = (
        crashes.is_silent(broken.reported_ms, row.announced_ms, txn.now_ms)
        and not row.announcement.departing
    )
    settle_broken_connections(txn, server, crashed, "went silent")


def settle_broken_connections(
    txn: Transaction, server: tuple[str, str], crashed: bool, observation: str
) -> None:
    """Judges all requests whose connection to a server incarnation broke.

    Args:
      txn: Transaction on the tables.
      server: Server id and incarnation.
      crashed: Whether the incarnation crashed.
      observation: What was observed, for the log.
    """
    broken = txn.broken_connections[server]
    txn.broken_connections = txn.broken_connections.delete(server)
    requests = [name for name in broken.digests if not crashes.is_part(name)]
    isolated = len(requests) == 1 and not broken.had_other_grants
    row = txn.servers.get(server[0])
    isolates_suspects = row is None or txn.environment_index.isolates_suspects(
        row.announcement.service
    )
    for digest in broken.digests:
        suspicion = txn.suspicions.get(digest)
        if suspicion is None:
            continue
        judged = crashes.judge_server(suspicion, server, crashed, isolated)
        if judged is None:
            del txn.suspicions[digest]
            continue
        txn.suspicions[digest] = judged
        if crashed:
            txn.log_event(
                "crash_counted",
                f"the server {observation} after the connection broke",
                server=server[0],
                incarnation=server[1],
                digest=digest,
                alone=isolated,
                requests=len(requests),
                crashes=len(judged.crashed_servers),
                successive=crashes.count_successive(
                    judged, judged.crashed_servers
                ),
            )
        is_part = crashes.is_part(digest)
        isolates = isolates_suspects and not is_part
        if crashes.must_refuse(judged, isolates, is_part):
            del txn.suspicions[digest]
            txn.crashing_digests[digest] = -1


def export_evidence(
    tables: tables_module.Tables, now_ms: int
) -> messages.CrashEvidence:
    """Returns the evidence for the other controllers.

    Args:
      tables: Tables of the leader.
      now_ms: Present time.
    """
    latest = heapq.nlargest(
        crashes.MAX_SHARED_SUSPECTS,
        tables.suspicions.items(),
        key=lambda item: item[1].updated_ms,
    )
    shared = {digest for digest, _ in latest}
    return messages.CrashEvidence(
        suspects=tuple(
            messages.KnownSuspect(
                digest,
                suspicion.unjudged_servers,
                suspicion.crashed_servers,
                suspicion.isolated_crashes,
                now_ms - suspicion.updated_ms,
                tuple(_shift_run(run, now_ms) for run in suspicion.runs),
            )
            for digest, suspicion in latest
        ),
        breaks=tuple(
            messages.KnownBreak(
                server_id,
                incarnation,
                tuple(filter(shared.__contains__, broken.digests)),
                # The digests that are left out were on the server as well.
                broken.had_other_grants
                or not shared.issuperset(broken.digests),
                now_ms - broken.reported_ms,
            )
            for (
                server_id,
                incarnation,
            ), broken in tables.broken_connections.items()
            if not shared.isdisjoint(broken.digests)
        ),
    )


def _shift_run(run: data.BrokenRun, now_ms: int) -> data.BrokenRun:
    """Converts the times of a run to ages, or ages to times."""
    return dataclasses.replace(
        run, sent_ms=now_ms - run.sent_ms, broken_ms=now_ms - run.broken_ms
    )


def import_evidence(
    tables: tables_module.Tables,
    known: messages.CrashEvidence,
    age_ms: int,
    now_ms: int,
) -> tables_module.Tables:
    """Adds the evidence that the former leader had to new tables.

    Args:
      tables: Tables of a new leader.
      known: Evidence as the former leader sent it.
      age_ms: Time since it was received.
      now_ms: Present time.

    Returns:
      The new tables.
    """
    txn = Transaction(tables, now_ms)
    txn.evidence_ms = now_ms - age_ms
    for suspect in known.suspects:
        txn.suspicions[suspect.digest] = data.CrashSuspicion(
            suspect.unjudged_servers,
            suspect.crashed_servers,
            suspect.isolated_crashes,
            now_ms - suspect.age_ms - age_ms,
            runs=tuple(
                _shift_run(run, now_ms - age_ms) for run in suspect.runs
            ),
        )
        tables_module.set_timer(
            txn,
            now_ms + crashes.EVIDENCE_LIFETIME_MS,
            "evidence",
            suspect.digest,
        )
    for broken in known.breaks:
        server = (broken.server_id, broken.incarnation)
        txn.broken_connections = txn.broken_connections.set(
            server,
            data.BrokenConnections(
                broken.digests,
                now_ms - broken.age_ms - age_ms,
                broken.had_other_grants,
            ),
        )
        tables_module.set_timer(
            txn, now_ms + crashes.VERDICT_WINDOW_MS, "crash", server
        )
    return txn.commit()


@tables_module.TIMERS.register("evidence")
def _expire_evidence(txn: Transaction, digest: str) -> None:
    suspicion = txn.suspicions.get(digest)
    if suspicion is None:
        return
    due_ms = suspicion.updated_ms + crashes.EVIDENCE_LIFETIME_MS
    if due_ms > txn.now_ms or suspicion.isolated_grant is not None:
        tables_module.set_timer(
            txn, max(due_ms, txn.now_ms + 1_000), "evidence", digest
        )
        return
    del txn.suspicions[digest]


@tables_module.TIMERS.register("release")
def _release_part(txn: Transaction, part: str) -> None:
    """Ends the refusal of a prompt part; one more crash renews it."""
    if part not in txn.refused_digests:
        return
    txn.suspects_to_release.append(part)
    txn.suspicions[part] = crashes.renew_after_release(txn.now_ms)
    tables_module.set_timer(
        txn, txn.now_ms + crashes.EVIDENCE_LIFETIME_MS, "evidence", part
    )
    # The proposal may be lost with the leadership or the majority.
    tables_module.set_timer(
        txn, txn.now_ms + RELEASE_REPEAT_MS, "release", part
    )


def start_trial(
    txn: Transaction, grant: data.GrantRow, key: tables_module.GrantKey
) -> None:
    """Records the run of a request whose prompt parts are on trial."""
    for part in grant.parts:
        suspicion = txn.suspicions.get(part)
        if suspicion is not None and crashes.is_on_trial(suspicion):
            txn.suspicions[part] = dataclasses.replace(
                suspicion, isolated_grant=key
            )


def end_isolated_run(
    txn: Transaction, grant: data.GrantRow, key: tables_module.GrantKey
) -> None:
    """Records that the isolated run of a crash suspect has ended.

    The only run of a prompt part that is on trial is such a run as well.
    """
    for suspect in (grant.digest, *grant.parts):
        suspicion = txn.suspicions.get(suspect)
        if suspicion is not None and suspicion.isolated_grant == key:
            txn.suspicions[suspect] = dataclasses.replace(
                suspicion, isolated_grant=None
            )
    pool = txn.pools.get(grant.service)
    if pool is not None and key in pool.isolated_grants:
        txn.pools[grant.service] = data.evolve(
            pool, isolated_grants=pool.isolated_grants.delete(key)
        )
