"""Crash guard: finds requests that crash the backend servers that run them.

A broken connection alone is no evidence. It counts as a crash of its server
incarnation once the server comes back with another incarnation or stays silent
for a few seconds. A server that said it was departing does not count.

Several requests may run on a server that crashes, and only one is to blame. So
a digest with a broken connection, judged or not, runs next on a server of its
own. A digest is refused after crashes of two server incarnations, if no other
request was at the server in at least one of them. A completed run clears it.
While a second broken connection is not judged yet, the digest waits, so that
fast resends cannot take down a third server.
"""

import dataclasses

import immutables

from waxwingrack.core import data

# Crashes after which a digest is refused.
CRASHES_TO_REFUSE = 2
# Time after a broken connection in which a new incarnation counts as a crash,
# and after which a silent server counts as crashed.
VERDICT_WINDOW_MS = 4_000
# An announcement received so long after the broken connection may have been
# sent before it.
ANNOUNCEMENT_LAG_MS = 1_000
# Life of evidence.
EVIDENCE_LIFETIME_MS = 600_000


def add_unjudged_server(
    suspicion: data.CrashSuspicion | None, server: tuple[str, str], now_ms: int
) -> data.CrashSuspicion:
    """Takes a broken connection into the evidence against a digest.

    Args:
      suspicion: Evidence so far.
      server: Server id and incarnation.
      now_ms: Present time.

    Returns:
      The new evidence.
    """
    suspicion = suspicion or data.CrashSuspicion()
    if (
        server in suspicion.unjudged_servers
        or server in suspicion.crashed_servers
    ):
        return suspicion
    return dataclasses.replace(
        suspicion,
        unjudged_servers=(*suspicion.unjudged_servers, server),
        updated_ms=now_ms,
    )


def judge_server(
    suspicion: data.CrashSuspicion,
    server: tuple[str, str],
    crashed: bool,
    alone: bool,
) -> data.CrashSuspicion | None:
    """Settles a broken connection.

    Args:
      suspicion: Evidence with the server pending.
      server: Server id and incarnation.
      crashed: Whether the server crashed.
      alone: Whether no other request was at the server.

    Returns:
      The new evidence, or None if there is none left.
    """
    if server not in suspicion.unjudged_servers:
        return suspicion
    settled = dataclasses.replace(
        suspicion,
        unjudged_servers=tuple(
            entry for entry in suspicion.unjudged_servers if entry != server
        ),
        crashed_servers=(*suspicion.crashed_servers, server)
        if crashed
        else suspicion.crashed_servers,
        isolated_crashes=suspicion.isolated_crashes
        + (1 if crashed and alone else 0),
    )
    return (
        settled if settled.unjudged_servers or settled.crashed_servers else None
    )


def must_refuse(suspicion: data.CrashSuspicion, isolated: bool = True) -> bool:
    """Tells whether the digest has to be refused.

    Args:
      suspicion: Evidence.
      isolated: Whether the digest runs alone once it is suspected. Otherwise
        one more crash stands for the proof that no other request was there.
    """
    if not isolated:
        return len(suspicion.crashed_servers) > CRASHES_TO_REFUSE
    return (
        len(suspicion.crashed_servers) >= CRASHES_TO_REFUSE
        and suspicion.isolated_crashes >= 1
    )


def must_wait(suspicion: data.CrashSuspicion) -> bool:
    """Tells whether the digest has to wait for a verdict or its own end."""
    strikes = len(suspicion.unjudged_servers) + len(suspicion.crashed_servers)
    waits = bool(suspicion.unjudged_servers) and strikes >= CRASHES_TO_REFUSE
    return waits or suspicion.isolated_grant is not None


def add_broken_connection(
    broken: immutables.Map,
    server: tuple[str, str],
    digest: str,
    others: bool,
    now_ms: int,
) -> immutables.Map:
    """Adds a request to those that were at a server when it broke.

    Args:
      broken: Rows by server id and incarnation.
      server: Server id and incarnation.
      digest: Digest of the request.
      others: Whether other requests were at the server.
      now_ms: Present time.

    Returns:
      The new rows.
    """
    row = broken.get(server) or data.BrokenConnections((), now_ms)
    digests = row.digests
    if digest not in digests:
        digests = (*digests, digest)
    return broken.set(
        server,
        data.BrokenConnections(digests, now_ms, row.had_other_grants or others),
    )


def is_silent(at_ms: int, seen_ms: int) -> bool:
    """Tells whether a server has said nothing since its connections broke."""
    return seen_ms <= at_ms + ANNOUNCEMENT_LAG_MS
