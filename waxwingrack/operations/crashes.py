"""Detection of requests that crash the backend servers that run them.

A broken connection alone is no evidence. It counts as a crash of the server
incarnation once the server announces another incarnation or sends no
announcement for a few seconds. Servers that announced their departure do not
count.

Several requests may run on a server that crashes, and only one causes the
crash. So a digest with a broken connection, judged or not, runs isolated the
next time. A digest is refused after crashes of two server incarnations, if no
other request was at the server in at least one of them. A completed run clears
the digest. While a second broken connection is not judged yet, the digest
waits, so that fast retries cannot crash a third server.

A service may forgo isolation, because its connections also break for other
reasons. There a digest is refused after one more crash. It runs beside other
requests until as many connections have broken, and then waits for the verdicts.
Crashes of runs that overlap in time count once, since servers that fail
together end all their requests, frequent ones on several of them.

What crashes servers may also be a part of a prompt that many requests share. So
the shared parts of a prompt are suspects like the digest, under the prefix
`PART_PREFIX`. They never run isolated, as one crash makes suspects of all parts
that were on the server; the sound ones are cleared by the next request with the
part that completes. After three crashes a part is on trial: one request with it
runs at a time, which clears the part or ends in the crash that refuses it. The
refusal of a part ends after a time; the part is then on trial again.

The leader holds the evidence in its tables. It sends a copy to the other
controllers when it changes. Routers report their recent broken connections
again to a new leader, which counts those that are later than its copy: what the
former leader had cleared must not come back. Verdicts are in the replicated
log.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import math

import immutables

from waxwingrack.core import data

# Number of crashes after which a digest is refused.
CRASHES_TO_REFUSE = 2
# Time after a broken connection within which a new incarnation counts as a
# crash, and after which a server without announcements counts as crashed.
VERDICT_WINDOW_MS = 4_000
# An announcement that is received within this time after the broken connection
# may have been sent before it.
ANNOUNCEMENT_LAG_MS = 1_000
# Time without an announcement after which a server counts as silent at the end
# of the verdict window: two intervals between announcements.
MAX_SILENCE_MS = 2_500
# Time for which a router reports its broken connections again to a new leader.
# It covers the verdict window and an election.
REPEAT_REPORT_MS = 8_000
# Suspects of which the leader sends its evidence to the other controllers, the
# ones with the latest evidence.
MAX_SHARED_SUSPECTS = 256
# Time after which evidence expires.
EVIDENCE_LIFETIME_MS = 600_000
# Time after which the refusal of a prompt part ends.
PART_REFUSAL_MS = 600_000
# Number of successive crashes after which a prompt part is on trial.
CRASHES_TO_TRY = 3
# Marks the crash suspects that are parts of prompts.
PART_PREFIX = "part:"


class Hold(enum.Enum):
    """What the evidence demands of a queued request."""

    NONE = "none"
    ISOLATE = "isolate"
    WAIT = "wait"


def list_shared_parts(prompt: Sequence[data.PromptPart]) -> tuple[str, ...]:
    """Returns the ids of the parts that other requests may share.

    The last part of a prompt belongs to its request alone.
    """
    return tuple(part.id for part in prompt[:-1])


def name_parts(parts: Iterable[str]) -> tuple[str, ...]:
    """Returns the crash suspects for parts of a prompt."""
    return tuple(PART_PREFIX + part for part in parts)


def is_part(suspect: str) -> bool:
    """Tells whether a crash suspect is a part of a prompt."""
    return suspect.startswith(PART_PREFIX)


def renew_after_release(now_ms: int) -> data.CrashSuspicion:
    """Returns the evidence against a part whose refusal ends: it is on trial.

    Args:
      now_ms: Time at which the refusal ends.
    """
    servers = tuple(
        ("released", str(number)) for number in range(CRASHES_TO_TRY)
    )
    return data.CrashSuspicion(
        crashed_servers=servers,
        updated_ms=now_ms,
        runs=tuple(
            data.BrokenRun(*server, now_ms + number, now_ms + number)
            for number, server in enumerate(servers)
        ),
    )


def add_unjudged_server(
    suspicion: data.CrashSuspicion | None, run: data.BrokenRun, now_ms: int
) -> data.CrashSuspicion:
    """Adds a broken connection to the evidence against a digest.

    Args:
      suspicion: Current evidence; None if there is none.
      run: Run whose connection broke.
      now_ms: Present time.

    Returns:
      The new evidence.
    """
    suspicion = suspicion or data.CrashSuspicion()
    server = (run.server_id, run.incarnation)
    if (
        server in suspicion.unjudged_servers
        or server in suspicion.crashed_servers
    ):
        return suspicion
    return dataclasses.replace(
        suspicion,
        unjudged_servers=(*suspicion.unjudged_servers, server),
        updated_ms=now_ms,
        runs=(*suspicion.runs, run),
    )


def judge_server(
    suspicion: data.CrashSuspicion,
    server: tuple[str, str],
    crashed: bool,
    isolated: bool,
) -> data.CrashSuspicion | None:
    """Judges a broken connection.

    Args:
      suspicion: Evidence that includes the unjudged server.
      server: Server id and incarnation.
      crashed: Whether the server crashed.
      isolated: Whether no other request was at the server.

    Returns:
      The new evidence, or None if there is none left.
    """
    if server not in suspicion.unjudged_servers:
        return suspicion
    judged = dataclasses.replace(
        suspicion,
        unjudged_servers=tuple(
            entry for entry in suspicion.unjudged_servers if entry != server
        ),
        crashed_servers=(*suspicion.crashed_servers, server)
        if crashed
        else suspicion.crashed_servers,
        isolated_crashes=suspicion.isolated_crashes
        + (1 if crashed and isolated else 0),
        runs=suspicion.runs
        if crashed
        else tuple(
            run
            for run in suspicion.runs
            if (run.server_id, run.incarnation) != server
        ),
    )
    return judged if judged.unjudged_servers or judged.crashed_servers else None


def count_successive(
    suspicion: data.CrashSuspicion, servers: Collection[tuple[str, str]]
) -> int:
    """Counts the runs that followed each other.

    Args:
      suspicion: Evidence.
      servers: Servers whose runs count.

    Returns:
      The largest number of runs of which no two overlap in time.
    """
    count, end_ms = 0, -math.inf
    for run in sorted(suspicion.runs, key=lambda run: run.broken_ms):
        if (run.server_id, run.incarnation) in servers and run.sent_ms > end_ms:
            count += 1
            end_ms = run.broken_ms
    return count


def is_on_trial(suspicion: data.CrashSuspicion) -> bool:
    """Tells whether requests with a prompt part run one at a time."""
    servers = (*suspicion.unjudged_servers, *suspicion.crashed_servers)
    return count_successive(suspicion, servers) == CRASHES_TO_TRY


def must_refuse(
    suspicion: data.CrashSuspicion, isolated: bool = True, part: bool = False
) -> bool:
    """Tells whether the suspect has to be refused.

    Args:
      suspicion: Evidence.
      isolated: Whether the service isolates suspects. Otherwise one more crash
        replaces the evidence that no other request was at the server.
      part: Whether it is a part of prompts, which is tried first.
    """
    if not isolated:
        crashes = count_successive(suspicion, suspicion.crashed_servers)
        return crashes > (CRASHES_TO_TRY if part else CRASHES_TO_REFUSE)
    return (
        len(suspicion.crashed_servers) >= CRASHES_TO_REFUSE
        and suspicion.isolated_crashes >= 1
    )


def must_wait(
    suspicion: data.CrashSuspicion, isolated: bool = True, part: bool = False
) -> bool:
    """Tells whether a suspect waits for a verdict or for its isolated run.

    Args:
      suspicion: Evidence.
      isolated: Whether the service isolates suspects.
      part: Whether it is a part of prompts.
    """
    if suspicion.isolated_grant is not None:
        return True
    if not suspicion.unjudged_servers:
        return False
    servers = (*suspicion.unjudged_servers, *suspicion.crashed_servers)
    if isolated:
        return len(servers) >= CRASHES_TO_REFUSE
    limit = CRASHES_TO_TRY if part else CRASHES_TO_REFUSE
    return count_successive(suspicion, servers) > limit


def add_broken_connection(
    broken_connections: immutables.Map,
    server: tuple[str, str],
    digest: str,
    has_other_grants: bool,
    now_ms: int,
) -> immutables.Map:
    """Adds a request to those whose connections to a server broke.

    Args:
      broken_connections: `BrokenConnections` by server id and incarnation.
      server: Server id and incarnation.
      digest: Digest of the request.
      has_other_grants: Whether other requests were at the server.
      now_ms: Present time.

    Returns:
      The new rows.
    """
    row = broken_connections.get(server) or data.BrokenConnections((), now_ms)
    digests = row.digests
    if digest not in digests:
        digests = (*digests, digest)
    return broken_connections.set(
        server,
        data.BrokenConnections(
            digests, now_ms, row.had_other_grants or has_other_grants
        ),
    )


def is_silent(reported_ms: int, announced_ms: int, now_ms: int) -> bool:
    """Tells whether a server is silent since its connections broke.

    An announcement of a crashed server may arrive late. So one that came after
    the report shows a running server only if further ones followed.

    Args:
      reported_ms: Time of the latest report of a broken connection.
      announced_ms: Time of the latest announcement.
      now_ms: Present time.
    """
    return (
        announced_ms <= reported_ms + ANNOUNCEMENT_LAG_MS
        or now_ms - announced_ms >= MAX_SILENCE_MS
    )
