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
CRASHES = 2
# Time after a broken connection in which a new incarnation counts as a crash,
# and after which a silent server counts as crashed.
WINDOW_MS = 4_000
# An announcement received so long after the broken connection may have been
# sent before it.
ANNOUNCEMENT_LAG_MS = 1_000
# Life of evidence.
MEMORY_MS = 600_000


def report(
    suspicion: data.Suspicion | None, server: tuple[str, str], now_ms: int
) -> data.Suspicion:
    """Takes a broken connection into the evidence against a digest.

    Args:
      suspicion: Evidence so far.
      server: Server id and incarnation.
      now_ms: Present time.

    Returns:
      The new evidence.
    """
    suspicion = suspicion or data.Suspicion()
    if server in suspicion.pending or server in suspicion.crashes:
        return suspicion
    return dataclasses.replace(
        suspicion, pending=(*suspicion.pending, server), at_ms=now_ms
    )


def judge(
    suspicion: data.Suspicion,
    server: tuple[str, str],
    crashed: bool,
    alone: bool,
) -> data.Suspicion | None:
    """Settles a broken connection.

    Args:
      suspicion: Evidence with the server pending.
      server: Server id and incarnation.
      crashed: Whether the server crashed.
      alone: Whether no other request was at the server.

    Returns:
      The new evidence, or None if there is none left.
    """
    if server not in suspicion.pending:
        return suspicion
    settled = dataclasses.replace(
        suspicion,
        pending=tuple(entry for entry in suspicion.pending if entry != server),
        crashes=(*suspicion.crashes, server) if crashed else suspicion.crashes,
        alone=suspicion.alone + (1 if crashed and alone else 0),
    )
    return settled if settled.pending or settled.crashes else None


def condemned(suspicion: data.Suspicion, isolated: bool = True) -> bool:
    """Tells whether the digest has to be refused.

    Args:
      suspicion: Evidence.
      isolated: Whether the digest runs alone once it is suspected. Otherwise
        one more crash stands for the proof that no other request was there.
    """
    if not isolated:
        return len(suspicion.crashes) > CRASHES
    return len(suspicion.crashes) >= CRASHES and suspicion.alone >= 1


def held(suspicion: data.Suspicion) -> bool:
    """Tells whether the digest has to wait for a verdict or its own end."""
    strikes = len(suspicion.pending) + len(suspicion.crashes)
    waits = bool(suspicion.pending) and strikes >= CRASHES
    return waits or suspicion.running is not None


def add_broken(
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
    row = broken.get(server) or data.BrokenServer((), now_ms)
    digests = row.digests
    if digest not in digests:
        digests = (*digests, digest)
    return broken.set(
        server, data.BrokenServer(digests, now_ms, row.others or others)
    )


def silent(at_ms: int, seen_ms: int) -> bool:
    """Tells whether a server has said nothing since its connections broke."""
    return seen_ms <= at_ms + ANNOUNCEMENT_LAG_MS
