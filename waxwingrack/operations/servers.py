"""Backend servers at the leader: announcements, ageing, orphans and verdicts.

Incarnations carry no order, and clocks are not compared. An incarnation that
the leader has not seen replaces the present one, which is then retired. Late
announcements of a retired incarnation are ignored, so neither its load nor its
departure touches the new one. If a late announcement that the leader never saw
before did replace the living incarnation, the living one goes on announcing: a
retired incarnation returns once the present one has said nothing for
`RETURN_MS` and the retired one has then announced itself twice, at least
`CLAIM_GAP_MS` apart, which a burst of late announcements does not do.

A request of a lost router is an orphan: it keeps its slot. An announcement that
arrives `LAG_MS` after the loss, so that its sample is younger than the loss,
bounds the orphans by its in-flight count less the requests of live routers that
certainly ran at the sample. Two such announcements in a row, or one with
nothing in flight, lower the count. A busy server with short requests may never
show this, so a few servers at a time are paused until it is clear.
"""

import dataclasses

import immutables

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import crashes
from waxwingrack.operations import fairness
from waxwingrack.operations import placement
from waxwingrack.operations import slots
from waxwingrack.operations import tables as tables_module

# Age at which an announcement counts no more.
MAX_AGE_MS = 5_000
# Time after which an aged-out server is forgotten.
FORGET_MS = 60_000
# Silence of the present incarnation before a retired one may return. Servers
# announce themselves once a second.
RETURN_MS = 2_500
CLAIM_GAP_MS = 500
# Former incarnations kept by server.
MAX_RETIRED = 8
# Longest time between the sample of an announcement and its arrival: one
# period of announcements and the lag of the load figures.
LAG_MS = 2_000
# Time that orphans have to settle before their server may be paused.
PAUSE_AFTER_MS = 6_000
# Longest pause. A server that is still busy then has other callers.
MAX_PAUSE_MS = 6_000
# Time until the next pause of such a server.
PAUSE_AGAIN_MS = 30_000
# Share of a service's servers that may be paused at once, and at least one.
PAUSED_SHARE = 0.05

Work = tables_module.Work


def announce(work: Work, seen: data.Announcement) -> None:
    """Takes an announcement into the tables.

    Args:
      work: Tables.
      seen: Announcement.
    """
    old = work.servers.get(seen.server_id)
    plain = seen
    if seen.cache_events:
        plain = dataclasses.replace(seen, cache_events=())
    if old is None:
        row = _first(work, plain)
    elif old.announcement.incarnation == seen.incarnation:
        row = _again(work, old, plain)
    elif seen.incarnation in old.retired and not _returns(work, old, seen):
        return
    else:
        row = _replaced(work, old, plain)
    if seen.cache_events:
        prefixes, touched = placement.apply_events(
            row.prefixes, seen.cache_events
        )
        row = tables_module.store_prefixes(work, row, prefixes, touched)
    tables_module.store(work, row)


def _first(work: Work, seen: data.Announcement) -> data.ServerRow:
    tables_module.set_timer(
        work, work.now_ms + MAX_AGE_MS, "age", seen.server_id
    )
    waiting = work.unannounced.pop(seen.server_id, immutables.Map())
    grants = immutables.Map(
        (key, None)
        for key in waiting
        if key in work.grants
        and work.grants[key].incarnation == seen.incarnation
    )
    row = _with_excess(work, _fresh_row(work, seen, grants))
    # What a server runs already it can bear: a new leader resumes its ramp
    # there. A server that has just started runs nothing.
    ramp = slots.resume(row.ramp, placement.in_use(row))
    return data.evolve(row, ramp=ramp)


def _fresh_row(
    work: Work, seen: data.Announcement, grants: immutables.Map
) -> data.ServerRow:
    return data.ServerRow(
        announcement=seen,
        seen_ms=work.now_ms,
        ramp=slots.fresh(seen.slots),
        key=0,
        grants=grants,
    )


def _with_excess(work: Work, row: data.ServerRow) -> data.ServerRow:
    """Counts announced requests that no router has reported as orphans."""
    excess = row.announcement.in_flight - len(row.grants)
    if excess <= 0:
        return row
    return _with_orphans(work, row, excess)


def _with_orphans(
    work: Work, row: data.ServerRow, count: int
) -> data.ServerRow:
    tables_module.set_timer(
        work,
        work.now_ms + PAUSE_AFTER_MS,
        "pause",
        row.announcement.server_id,
    )
    return data.evolve(
        row,
        orphans=row.orphans + count,
        orphans_ms=work.now_ms + LAG_MS,
        bound=None,
    )


def _again(
    work: Work, old: data.ServerRow, seen: data.Announcement
) -> data.ServerRow:
    before = old.announcement
    moved = (before.service, before.version, before.data_centre) != (
        seen.service,
        seen.version,
        seen.data_centre,
    )
    if before.departing:
        # Departure is final for an incarnation, so a reordered announcement
        # cannot bring it back.
        seen = dataclasses.replace(seen, departing=True)
    elif seen.departing:
        work.event("server_departing", "announced", server=seen.server_id)
    if moved:
        old = tables_module.store_prefixes(
            work, old, data.PrefixCache(), tuple(old.prefixes.stored)
        )
    if old.aged:
        work.event("server_back", "announced again", server=seen.server_id)
        tables_module.set_timer(
            work, work.now_ms + MAX_AGE_MS, "age", seen.server_id
        )
    row = data.evolve(
        old,
        announcement=seen,
        seen_ms=work.now_ms,
        ramp=slots.fresh(seen.slots)
        if moved
        else slots.announce(old.ramp, seen.slots),
        aged=False,
        claims=(),
    )
    return _settle_orphans(work, row) if row.orphans else row


def _returns(work: Work, old: data.ServerRow, seen: data.Announcement) -> bool:
    """Records that a retired incarnation announced itself.

    Returns:
      Whether it replaces the present incarnation.
    """
    if work.now_ms - old.seen_ms < RETURN_MS:
        return False
    for incarnation, at_ms in old.claims:
        if incarnation == seen.incarnation:
            return work.now_ms - at_ms >= CLAIM_GAP_MS
    tables_module.store(
        work,
        data.evolve(old, claims=(*old.claims, (seen.incarnation, work.now_ms))),
    )
    return False


def _replaced(
    work: Work, old: data.ServerRow, seen: data.Announcement
) -> data.ServerRow:
    before = old.announcement
    server = (seen.server_id, before.incarnation)
    work.event(
        "server_restarted",
        "new incarnation announced",
        server=seen.server_id,
        incarnation=seen.incarnation,
        before=before.incarnation,
    )
    if server in work.broken:
        settle_broken(work, server, not before.departing, "came back")
    settle_lost(work, old)
    if old.aged:
        tables_module.set_timer(
            work, work.now_ms + MAX_AGE_MS, "age", seen.server_id
        )
    tables_module.store_prefixes(
        work, old, data.PrefixCache(), tuple(old.prefixes.stored)
    )
    row = data.evolve(
        _fresh_row(work, seen, _undispatched(work, old)),
        key=old.key,
        retired=tuple(
            entry
            for entry in (*old.retired, before.incarnation)
            if entry != seen.incarnation
        )[-MAX_RETIRED:],
    )
    release_pause(work, old)
    return _with_excess(work, row)


def _undispatched(work: Work, old: data.ServerRow) -> immutables.Map:
    """Returns grants that may still be sent to the address of the server.

    A grant for the old incarnation lives for `GRANT_LIFETIME_MS`; if both
    incarnations share an address, the new one would receive the request.
    """
    since = work.now_ms - messages.GRANT_LIFETIME_MS
    kept = []
    for key in old.grants:
        grant = work.grants.get(key)
        if grant is not None and grant.granted_ms >= since:
            kept.append((key, None))
    return immutables.Map(kept)


# ---------------------------------------------------------------------------
# Ageing and back-off
# ---------------------------------------------------------------------------


@tables_module.TIMERS.register("age")
def age(work: Work, server_id: str) -> None:
    """Takes a server out whose announcement has aged out."""
    row = work.servers.get(server_id)
    if row is None or row.aged:
        return
    due = row.seen_ms + MAX_AGE_MS
    if due > work.now_ms:
        tables_module.set_timer(work, due, "age", server_id)
        return
    work.event(
        "server_aged_out",
        f"no announcement for {work.now_ms - row.seen_ms} ms",
        server=server_id,
    )
    release_pause(work, row)
    tables_module.store(work, data.evolve(row, aged=True, paused=False))
    tables_module.set_timer(work, work.now_ms + FORGET_MS, "forget", server_id)


@tables_module.TIMERS.register("forget")
def _forget(work: Work, server_id: str) -> None:
    row = work.servers.get(server_id)
    if row is None or not row.aged:
        return
    if work.now_ms < row.seen_ms + MAX_AGE_MS + FORGET_MS:
        return
    settle_lost(work, row)
    tables_module.store_prefixes(
        work, row, data.PrefixCache(), tuple(row.prefixes.stored)
    )
    if row.grants:
        work.unannounced[server_id] = row.grants
    del work.servers[server_id]


def connect_failed(
    work: Work, row: data.ServerRow, granted_ms: int
) -> data.ServerRow:
    """Takes a server out for a back-off after a connect failure.

    Failures of grants from before the back-off began belong to the same
    incident and do not lengthen it.
    """
    if row.blocked or granted_ms < row.blocked_ms:
        return row
    failures = row.connect_failures + 1
    wait_ms = slots.back_off_ms(failures)
    server_id = row.announcement.server_id
    tables_module.set_timer(work, work.now_ms + wait_ms, "unblock", server_id)
    work.event(
        "server_blocked",
        f"connect failed, back-off {wait_ms} ms",
        server=server_id,
    )
    return data.evolve(
        row,
        blocked=True,
        blocked_ms=work.now_ms,
        connect_failures=failures,
    )


@tables_module.TIMERS.register("unblock")
def _unblock(work: Work, server_id: str) -> None:
    row = work.servers.get(server_id)
    if row is not None and row.blocked:
        tables_module.store(
            work,
            data.evolve(row, blocked=False, blocked_ms=work.now_ms),
        )


# ---------------------------------------------------------------------------
# Slots of lost routers
# ---------------------------------------------------------------------------


def orphan(work: Work, key: tables_module.GrantKey) -> None:
    """Turns a grant of a lost router into an orphan of its server."""
    grant = work.grants[key]
    if grant.orphan:
        return
    work.grants[key] = dataclasses.replace(grant, orphan=True)
    row = work.servers.get(grant.server_id)
    if row is None or key not in row.grants:
        return
    row = data.evolve(
        row,
        grants=row.grants.delete(key),
        lost=row.lost.set(key, None),
        solo=None if row.solo == key else row.solo,
    )
    tables_module.store(work, _with_orphans(work, row, 1))


def adopt(work: Work, key: tables_module.GrantKey, server_id: str) -> None:
    """Counts a grant that a router reports in use against its server."""
    grant = work.grants[key]
    row = work.servers.get(server_id)
    if row is None or row.announcement.incarnation != grant.incarnation:
        if row is None:
            waiting = work.unannounced.get(server_id, immutables.Map())
            work.unannounced[server_id] = waiting.set(key, None)
        return
    if key in row.grants:
        return
    known = key in row.lost
    unknown = row.orphans - len(row.lost)
    lowered = 1 if row.orphans and (known or unknown > 0) else 0
    row = data.evolve(
        row,
        grants=row.grants.set(key, None),
        lost=row.lost.delete(key) if known else row.lost,
        orphans=row.orphans - lowered,
    )
    tables_module.store(work, row)


def forget_grant(
    work: Work, server_id: str, key: tables_module.GrantKey
) -> None:
    """Drops an ended grant of a server that has not been announced."""
    waiting = work.unannounced.get(server_id)
    if waiting is None or key not in waiting:
        return
    waiting = waiting.delete(key)
    if waiting:
        work.unannounced[server_id] = waiting
    else:
        del work.unannounced[server_id]


def _settle_orphans(work: Work, row: data.ServerRow) -> data.ServerRow:
    """Lowers the number of orphans by an announcement."""
    if work.now_ms < row.orphans_ms:
        return row
    running = sum(1 for key in row.grants if _ran_at_sample(work, key))
    bound = max(0, row.announcement.in_flight - running)
    before = row.orphans if row.bound is None else row.bound
    settled = max(bound, before) if bound else 0
    orphans = min(row.orphans, settled)
    if orphans == row.orphans:
        return data.evolve(row, bound=bound)
    work.event(
        "orphans_settled",
        f"announced {row.announcement.in_flight} in flight",
        server=row.announcement.server_id,
        orphans=orphans,
        before=row.orphans,
    )
    row = data.evolve(row, orphans=orphans, bound=bound)
    if orphans == 0:
        settle_lost(work, row)
        release_pause(work, row)
        row = data.evolve(row, lost=immutables.Map(), paused=False)
    return row


def _ran_at_sample(work: Work, key: tables_module.GrantKey) -> bool:
    """Tells whether a grant certainly ran when the load was sampled.

    It did if its router reported after the grant had expired and still holds
    it, and all of that lies further back than the lag of the sample.
    """
    grant = work.grants.get(key)
    if grant is None:
        return False
    lifetime = messages.GRANT_LIFETIME_MS
    if grant.granted_ms + lifetime + LAG_MS > work.now_ms:
        return False
    router = work.routers.get(grant.router)
    return router is not None and (
        grant.running
        or router.sent_ms > grant.echo_ms + lifetime + messages.HEARTBEAT_MS
    )


def settle_lost(work: Work, row: data.ServerRow) -> None:
    """Closes the books on the grants of lost routers at a server."""
    for key in row.lost:
        close_unknown(work, key)


def close_unknown(work: Work, key: tables_module.GrantKey) -> None:
    """Removes a grant whose end was never reported.

    The charge becomes the cost that the meter assumes.
    """
    grant = work.grants.pop(key, None)
    if grant is None:
        return
    close_account(work, grant, unknown_cost(work, grant))
    router = work.routers.get(grant.router)
    if router is not None and key in router.grants:
        work.routers[grant.router] = data.evolve(
            router, grants=router.grants.delete(key)
        )
    finish_solo(work, grant, key)


def unknown_cost(work: Work, grant: data.GrantRow) -> float:
    """Returns the cost to charge for a grant whose end was not reported."""
    return fairness.unknown_cost(
        grant,
        tables_module.account(work, grant.service, grant.workspace),
        work.scope.meter(grant.service),
        work.now_ms,
    )


def close_account(
    work: Work, grant: data.GrantRow, cost: float, ran: bool = False
) -> None:
    """Corrects the charge of an ended grant.

    Args:
      work: Tables.
      grant: Grant, already removed.
      cost: Its real cost.
      ran: Whether the cost is that of a finished request, from which the usual
        cost of the workspace and of the service is learned.
    """
    place = (grant.service, grant.workspace)
    account = fairness.charge(
        tables_module.account(work, *place),
        cost - grant.charged,
        grant.weight or work.scope.weight(grant.workspace),
        in_use=-1,
    )
    if ran:
        account = fairness.observe(account, cost)
    work.accounts[place] = account
    if ran:
        own = (grant.service, fairness.SERVICE_ACCOUNT)
        work.accounts[own] = fairness.observe(
            tables_module.account(work, *own), cost
        )


@tables_module.TIMERS.register("pause")
def _pause(work: Work, server_id: str) -> None:
    """Pauses a server whose orphans could not be settled while it was busy."""
    row = work.servers.get(server_id)
    if row is None or not row.orphans or row.paused or row.aged:
        return
    if work.now_ms < row.orphans_ms + PAUSE_AFTER_MS - LAG_MS:
        return
    service = row.announcement.service
    pool = tables_module.pool(work, service)
    if len(pool.paused) >= max(1, int(pool.usable * PAUSED_SHARE)):
        tables_module.set_timer(work, work.now_ms + 500, "pause", server_id)
        return
    work.event(
        "server_paused",
        f"{row.orphans} requests of lost routers may still run",
        server=server_id,
    )
    work.pools[service] = data.evolve(
        pool, paused=pool.paused.set(server_id, None)
    )
    tables_module.store(work, data.evolve(row, paused=True))
    tables_module.set_timer(
        work, work.now_ms + MAX_PAUSE_MS, "end_pause", server_id
    )


@tables_module.TIMERS.register("end_pause")
def _end_pause(work: Work, server_id: str) -> None:
    row = work.servers.get(server_id)
    if row is None or not row.paused:
        return
    release_pause(work, row)
    tables_module.store(work, data.evolve(row, paused=False))
    tables_module.set_timer(
        work, work.now_ms + PAUSE_AGAIN_MS, "pause", server_id
    )


def release_pause(work: Work, row: data.ServerRow) -> None:
    """Lets another server of the service be paused."""
    if not row.paused:
        return
    service = row.announcement.service
    pool = tables_module.pool(work, service)
    if row.announcement.server_id in pool.paused:
        work.pools[service] = data.evolve(
            pool, paused=pool.paused.delete(row.announcement.server_id)
        )


# ---------------------------------------------------------------------------
# Crashes
# ---------------------------------------------------------------------------


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
        if crashes.condemned(settled):
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


# ---------------------------------------------------------------------------
# Results
# ---------------------------------------------------------------------------


def observe(
    work: Work,
    row: data.ServerRow,
    grant: data.GrantRow,
    ended: data.Finished,
) -> data.ServerRow:
    """Takes the end of a request into the server's slot limit.

    Args:
      work: Tables.
      row: Row of the server.
      grant: Grant that ended.
      ended: How it ended.

    Returns:
      The new row, not stored yet.
    """
    if ended.outcome is data.Outcome.CONNECT_FAILED:
        return connect_failed(work, row, grant.granted_ms)
    slowness = 1.0
    if ended.outcome is data.Outcome.COMPLETED:
        slowness = _learn(work, row, grant, ended.first_byte_ms)
    ramp = slots.observe(
        row.ramp, ended.outcome, slowness, grant.granted_ms, work.now_ms
    )
    failures = (
        0 if ended.outcome is data.Outcome.COMPLETED else row.connect_failures
    )
    row = data.evolve(row, ramp=ramp, connect_failures=failures)
    if slots.failing(ramp):
        return _cut(work, row, f"{ramp.failures} consecutive failures")
    if not slots.suspected_cold(ramp):
        return row
    if slots.cold(ramp, _peers(work, row), work.now_ms):
        return _cut(
            work,
            row,
            f"{len(ramp.slow)} answers at least {min(ramp.slow):.1f} times"
            " the usual latency",
        )
    # The peers are slow as well or have not answered yet: look again after
    # some more answers.
    half = ramp.slow[slots.SLOW_ANSWERS // 2 :]
    return data.evolve(row, ramp=data.evolve(ramp, slow=half))


def _learn(
    work: Work,
    row: data.ServerRow,
    grant: data.GrantRow,
    first_byte_ms: float,
) -> float:
    seen = row.announcement
    place = (seen.service, seen.version, seen.data_centre, grant.route)
    usual = work.latencies.get(place)
    work.latencies[place] = slots.learn(usual, first_byte_ms)
    return slots.ratio(usual, first_byte_ms)


def _peers(work: Work, row: data.ServerRow) -> tuple[data.Ramp, ...]:
    seen = row.announcement
    group = work.groups.get(
        (seen.service, seen.version, seen.data_centre), immutables.Map()
    )
    return tuple(
        work.servers[server_id].ramp
        for server_id in group
        if server_id != seen.server_id
    )


def _cut(work: Work, row: data.ServerRow, reason: str) -> data.ServerRow:
    if row.ramp.limit > 1:
        work.event(
            "limit_cut",
            reason,
            server=row.announcement.server_id,
            before=row.ramp.limit,
        )
    return data.evolve(row, ramp=slots.cut(row.ramp, work.now_ms))


def restart_ramps(work: Work, data_centres: frozenset[str]) -> None:
    """Starts the ramp again in restored data centres."""
    servers = work.servers.finish()
    work.servers = servers.mutate()
    for row in servers.values():
        if row.announcement.data_centre in data_centres:
            tables_module.store(
                work,
                data.evolve(row, ramp=slots.cut(row.ramp, work.now_ms)),
            )
