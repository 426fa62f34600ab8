"""Backend servers at the leader: announcements, ageing and results.

Incarnations carry no order, and clocks are not compared. An incarnation that
the leader has not seen replaces the present one, which is then retired. Late
announcements of a retired incarnation are ignored, so neither its load nor its
departure touches the new one. If a late announcement that the leader never saw
before did replace the living incarnation, the living one goes on announcing: a
retired incarnation returns once the present one has said nothing for
`RETURN_MS` and the retired one has then announced itself twice, at least
`CLAIM_GAP_MS` apart, which a burst of late announcements does not do.
"""

import dataclasses

import immutables

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import cold_servers
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import orphans
from waxwingrack.operations import placement
from waxwingrack.operations import slot_limits
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
Transaction = tables_module.Transaction


def announce(txn: Transaction, seen: data.Announcement) -> None:
    """Takes an announcement into the tables.

    Args:
      txn: Tables.
      seen: Announcement.
    """
    old = txn.servers.get(seen.server_id)
    if _outdated(txn, old, seen):
        txn.log_event(
            "announcement_ignored",
            "a later one is known",
            server=seen.server_id,
            incarnation=seen.incarnation,
            sequence=seen.sequence,
        )
        return
    plain = seen
    if seen.cache_events:
        plain = dataclasses.replace(seen, cache_events=())
    if old is None:
        row = _first(txn, plain)
    elif old.announcement.incarnation == seen.incarnation:
        row = _again(txn, old, plain)
    elif seen.incarnation in old.former_incarnations and not _returns(
        txn, old, seen
    ):
        return
    else:
        row = _replaced(txn, old, plain)
    if seen.cache_events:
        prefixes, touched = placement.apply_events(
            row.prefix_cache, seen.cache_events
        )
        row = tables_module.store_prefixes(txn, row, prefixes, touched)
    row = cold_servers.apply_announcement(row, seen.cold_ms, txn.now_ms)
    tables_module.store(txn, row)


def depart(txn: Transaction, server_id: str) -> None:
    """Takes a server out that says it leaves, without an announcement.

    Args:
      txn: Tables.
      server_id: The server; an unknown one is ignored.
    """
    row = txn.servers.get(server_id)
    if row is None or row.announcement.departing:
        return
    txn.log_event("server_departing", "deregistered", server=server_id)
    left = dataclasses.replace(row.announcement, departing=True)
    tables_module.store(txn, data.evolve(row, announcement=left))


def _outdated(
    txn: Transaction, old: data.ServerRow | None, seen: data.Announcement
) -> bool:
    """Tells whether a later start or announcement of the server is known.

    Servers that tell when they were started are ordered by it, also over the
    ids that have used the same address.
    """
    if not seen.born_ms:
        return False
    if old is not None:
        known = old.announcement
        return (seen.born_ms, seen.sequence) <= (known.born_ms, known.sequence)
    rows = txn.servers.finish()
    txn.servers = rows.mutate()
    others = [
        row
        for row in rows.values()
        if row.announcement.address == seen.address and not row.stale
    ]
    if any(row.announcement.born_ms > seen.born_ms for row in others):
        return True
    for row in others:
        _leave_address(txn, row)
    return False


def _leave_address(txn: Transaction, row: data.ServerRow) -> None:
    """Takes a server out whose address another one has taken."""
    txn.log_event(
        "server_replaced",
        "another server uses its address",
        server=row.announcement.server_id,
    )
    orphans.release_pause(txn, row)
    tables_module.store(txn, data.evolve(row, stale=True, paused=False))
    tables_module.set_timer(
        txn, txn.now_ms + FORGET_MS, "forget", row.announcement.server_id
    )


def _first(txn: Transaction, seen: data.Announcement) -> data.ServerRow:
    tables_module.set_timer(txn, txn.now_ms + MAX_AGE_MS, "age", seen.server_id)
    waiting = txn.unannounced_grants.pop(seen.server_id, immutables.Map())
    grants = immutables.Map(
        (key, None)
        for key in waiting
        if key in txn.grants and txn.grants[key].incarnation == seen.incarnation
    )
    row = _with_excess(txn, _fresh_row(txn, seen, grants))
    # What a server runs already it can bear: a new leader resumes its ramp
    # there. A server that has just started runs nothing.
    ramp = slot_limits.raise_to_running(row.slot_limit, placement.in_use(row))
    return data.evolve(row, slot_limit=ramp)


def _fresh_row(
    txn: Transaction, seen: data.Announcement, grants: immutables.Map
) -> data.ServerRow:
    return data.ServerRow(
        announcement=seen,
        announced_ms=txn.now_ms,
        slot_limit=_fresh_ramp(txn, seen),
        key=0,
        grants=grants,
    )


def _ramps(txn: Transaction, service: str) -> bool:
    """Tells whether the slot limits of a service start low and grow."""
    declared = txn.scope.services.get(service)
    return declared is None or declared.ramp


def _fresh_ramp(txn: Transaction, seen: data.Announcement) -> data.SlotLimit:
    if _ramps(txn, seen.service):
        return slot_limits.create_initial_limit(seen.slots)
    return slot_limits.create_full_limit(seen.slots)


def _with_excess(txn: Transaction, row: data.ServerRow) -> data.ServerRow:
    """Counts announced requests that no router has reported as orphans."""
    excess = row.announcement.in_flight - len(row.grants)
    if excess <= 0:
        return row
    return orphans.add_orphans(txn, row, excess)


def _again(
    txn: Transaction, old: data.ServerRow, seen: data.Announcement
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
        txn.log_event("server_departing", "announced", server=seen.server_id)
    if moved:
        old = tables_module.store_prefixes(
            txn, old, data.PrefixCache(), tuple(old.prefix_cache.stored)
        )
    if old.stale:
        txn.log_event("server_back", "announced again", server=seen.server_id)
        tables_module.set_timer(
            txn, txn.now_ms + MAX_AGE_MS, "age", seen.server_id
        )
    row = data.evolve(
        old,
        announcement=seen,
        announced_ms=txn.now_ms,
        slot_limit=_fresh_ramp(txn, seen)
        if moved or not _ramps(txn, seen.service)
        else slot_limits.apply_announced_slots(old.slot_limit, seen.slots),
        stale=False,
        former_claims=(),
    )
    return orphans.settle_orphans(txn, row) if row.orphans else row


def _returns(
    txn: Transaction, old: data.ServerRow, seen: data.Announcement
) -> bool:
    """Records that a retired incarnation announced itself.

    Returns:
      Whether it replaces the present incarnation.
    """
    if txn.now_ms - old.announced_ms < RETURN_MS:
        return False
    for incarnation, at_ms in old.former_claims:
        if incarnation == seen.incarnation:
            return txn.now_ms - at_ms >= CLAIM_GAP_MS
    tables_module.store(
        txn,
        data.evolve(
            old,
            former_claims=(*old.former_claims, (seen.incarnation, txn.now_ms)),
        ),
    )
    return False


def _replaced(
    txn: Transaction, old: data.ServerRow, seen: data.Announcement
) -> data.ServerRow:
    before = old.announcement
    server = (seen.server_id, before.incarnation)
    txn.log_event(
        "server_restarted",
        "new incarnation announced",
        server=seen.server_id,
        incarnation=seen.incarnation,
        before=before.incarnation,
    )
    if server in txn.broken_connections:
        crash_evidence.settle_broken_connections(
            txn, server, not before.departing, "came back"
        )
    orphans.close_lost_grants(txn, old)
    if old.stale:
        tables_module.set_timer(
            txn, txn.now_ms + MAX_AGE_MS, "age", seen.server_id
        )
    tables_module.store_prefixes(
        txn, old, data.PrefixCache(), tuple(old.prefix_cache.stored)
    )
    row = data.evolve(
        _fresh_row(txn, seen, _undispatched(txn, old)),
        key=old.key,
        former_incarnations=tuple(
            entry
            for entry in (*old.former_incarnations, before.incarnation)
            if entry != seen.incarnation
        )[-MAX_RETIRED:],
    )
    orphans.release_pause(txn, old)
    return _with_excess(txn, row)


def _undispatched(txn: Transaction, old: data.ServerRow) -> immutables.Map:
    """Returns grants that may still be sent to the address of the server.

    A grant for the old incarnation lives for `GRANT_LIFETIME_MS`; if both
    incarnations share an address, the new one would receive the request.
    """
    since = txn.now_ms - messages.GRANT_LIFETIME_MS
    kept = []
    for key in old.grants:
        grant = txn.grants.get(key)
        if grant is not None and grant.granted_ms >= since:
            kept.append((key, None))
    return immutables.Map(kept)


# ---------------------------------------------------------------------------
# Ageing and back-off
# ---------------------------------------------------------------------------


@tables_module.TIMERS.register("age")
def age(txn: Transaction, server_id: str) -> None:
    """Takes a server out whose announcement has aged out."""
    row = txn.servers.get(server_id)
    if row is None or row.stale:
        return
    due = row.announced_ms + MAX_AGE_MS
    if due > txn.now_ms:
        tables_module.set_timer(txn, due, "age", server_id)
        return
    txn.log_event(
        "server_aged_out",
        f"no announcement for {txn.now_ms - row.announced_ms} ms",
        server=server_id,
    )
    orphans.release_pause(txn, row)
    tables_module.store(txn, data.evolve(row, stale=True, paused=False))
    tables_module.set_timer(txn, txn.now_ms + FORGET_MS, "forget", server_id)


@tables_module.TIMERS.register("forget")
def _forget(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is None or not row.stale:
        return
    if txn.now_ms < row.announced_ms + MAX_AGE_MS + FORGET_MS:
        return
    orphans.close_lost_grants(txn, row)
    tables_module.store_prefixes(
        txn, row, data.PrefixCache(), tuple(row.prefix_cache.stored)
    )
    if row.grants:
        txn.unannounced_grants[server_id] = row.grants
    del txn.servers[server_id]


def connect_failed(
    txn: Transaction, row: data.ServerRow, granted_ms: int
) -> data.ServerRow:
    """Takes a server out for a back-off after a connect failure.

    Failures of grants from before the back-off began belong to the same
    incident and do not lengthen it.
    """
    if row.blocked or granted_ms < row.blocked_ms:
        return row
    failures = row.connect_failures + 1
    wait_ms = slot_limits.compute_back_off_ms(failures)
    server_id = row.announcement.server_id
    tables_module.set_timer(txn, txn.now_ms + wait_ms, "unblock", server_id)
    txn.log_event(
        "server_blocked",
        f"connect failed, back-off {wait_ms} ms",
        server=server_id,
    )
    return data.evolve(
        row,
        blocked=True,
        blocked_ms=txn.now_ms,
        connect_failures=failures,
    )


@tables_module.TIMERS.register("unblock")
def _unblock(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is not None and row.blocked:
        tables_module.store(
            txn,
            data.evolve(row, blocked=False, blocked_ms=txn.now_ms),
        )


# ---------------------------------------------------------------------------
# Results
# ---------------------------------------------------------------------------


def observe(
    txn: Transaction,
    row: data.ServerRow,
    grant: data.GrantRow,
    ended: data.FinishedRequest,
) -> data.ServerRow:
    """Takes the end of a request into the server's slot limit.

    Args:
      txn: Tables.
      row: Row of the server.
      grant: Grant that ended.
      ended: How it ended.

    Returns:
      The new row, not stored yet.
    """
    if ended.outcome in (data.Outcome.CONNECT_FAILED, data.Outcome.REJECTED):
        return connect_failed(txn, row, grant.granted_ms)
    slowness = 1.0
    if ended.outcome is data.Outcome.COMPLETED:
        slowness = _learn(txn, row, grant, ended.first_byte_ms)
    if not _ramps(txn, row.announcement.service):
        return data.evolve(row, connect_failures=0)
    ramp = slot_limits.record_outcome(
        row.slot_limit, ended.outcome, slowness, grant.granted_ms, txn.now_ms
    )
    failures = (
        0 if ended.outcome is data.Outcome.COMPLETED else row.connect_failures
    )
    row = data.evolve(row, slot_limit=ramp, connect_failures=failures)
    if slot_limits.is_failing(ramp):
        return _cut(txn, row, f"{ramp.failures} consecutive failures")
    if not slot_limits.is_suspected_cold(ramp):
        return row
    if slot_limits.is_cold(ramp, _peers(txn, row), txn.now_ms):
        return _cut(
            txn,
            row,
            f"{len(ramp.slow_ratios)} answers at least "
            f"{min(ramp.slow_ratios):.1f} times the usual latency",
        )
    # The peers are slow as well or have not answered yet: look again after
    # some more answers.
    half = ramp.slow_ratios[slot_limits.SLOW_ANSWERS // 2 :]
    return data.evolve(row, slot_limit=data.evolve(ramp, slow_ratios=half))


def _learn(
    txn: Transaction,
    row: data.ServerRow,
    grant: data.GrantRow,
    first_byte_ms: float,
) -> float:
    seen = row.announcement
    place = (seen.service, seen.version, seen.data_centre, grant.route)
    usual = txn.latencies.get(place)
    txn.latencies[place] = slot_limits.update_median(usual, first_byte_ms)
    return slot_limits.compute_latency_ratio(usual, first_byte_ms)


def _peers(txn: Transaction, row: data.ServerRow) -> tuple[data.SlotLimit, ...]:
    seen = row.announcement
    group = txn.usable_servers.get(
        (seen.service, seen.version, seen.data_centre), immutables.Map()
    )
    return tuple(
        txn.servers[server_id].slot_limit
        for server_id in group
        if server_id != seen.server_id
    )


def _cut(txn: Transaction, row: data.ServerRow, reason: str) -> data.ServerRow:
    if row.slot_limit.limit > 1:
        txn.log_event(
            "limit_cut",
            reason,
            server=row.announcement.server_id,
            before=row.slot_limit.limit,
        )
    return data.evolve(
        row, slot_limit=slot_limits.cut_limit(row.slot_limit, txn.now_ms)
    )


def restore(txn: Transaction, data_centres: frozenset[str]) -> None:
    """Lets the servers of restored data centres begin as cold ones."""
    servers = txn.servers.finish()
    txn.servers = servers.mutate()
    for row in servers.values():
        if row.announcement.data_centre not in data_centres:
            continue
        if _ramps(txn, row.announcement.service):
            row = data.evolve(
                row,
                slot_limit=slot_limits.cut_limit(row.slot_limit, txn.now_ms),
            )
        row = cold_servers.apply_restoration(row, txn.now_ms, MAX_AGE_MS)
        tables_module.store(txn, row)
