"""Backend servers at the leader: announcements, staleness and results.

Incarnations have no order, and clocks are not compared. An incarnation that is
new to the leader replaces the present one, which becomes a former incarnation.
Late announcements of a former incarnation are ignored, so neither its load nor
its departure affects the new one.

A late announcement of an incarnation that the leader has never seen may replace
the running one by mistake. The running one goes on announcing itself, so a
former incarnation returns when the present one has been silent for
`RETURN_SILENCE_MS` and the former one has then announced itself twice, at least
`MIN_CLAIM_INTERVAL_MS` apart. A burst of late announcements does not meet these
conditions.
"""

import dataclasses

import immutables

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import cold_servers
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import orphans
from waxwingrack.operations import pauses
from waxwingrack.operations import placement
from waxwingrack.operations import rate_limits
from waxwingrack.operations import slot_limits
from waxwingrack.operations import speed_records
from waxwingrack.operations import tables as tables_module

# Age at which an announcement expires and its server becomes stale.
MAX_ANNOUNCEMENT_AGE_MS = 5_000
# Time after which a stale server is forgotten.
FORGET_AFTER_MS = 60_000
# Silence of the present incarnation after which a former one may return.
# Servers announce themselves once a second.
RETURN_SILENCE_MS = 2_500
MIN_CLAIM_INTERVAL_MS = 500
# Former incarnations that are kept for each server.
MAX_FORMER_INCARNATIONS = 8
Transaction = tables_module.Transaction


def apply_announcement(
    txn: Transaction, announcement: data.Announcement
) -> None:
    """Applies an announcement to the tables.

    Args:
      txn: Tables.
      announcement: Announcement.
    """
    old_row = txn.servers.get(announcement.server_id)
    if _is_outdated(txn, old_row, announcement):
        txn.log_event(
            "announcement_ignored",
            "a later start or announcement is known",
            server=announcement.server_id,
            incarnation=announcement.incarnation,
            sequence=announcement.sequence,
        )
        return
    stored_announcement = announcement
    if announcement.cache_events:
        stored_announcement = dataclasses.replace(announcement, cache_events=())
    if old_row is None:
        row = _create_row(txn, stored_announcement)
    elif old_row.announcement.incarnation == announcement.incarnation:
        row = _update_row(txn, old_row, stored_announcement)
    elif (
        announcement.incarnation in old_row.former_incarnations
        and not _record_former_claim(txn, old_row, announcement)
    ):
        return
    else:
        row = _replace_incarnation(txn, old_row, stored_announcement)
    if announcement.cache_events:
        prefixes, changed_prefixes = placement.apply_events(
            row.prefix_cache, announcement.cache_events
        )
        row = tables_module.replace_prefixes(
            txn, row, prefixes, changed_prefixes
        )
    row = cold_servers.apply_announcement(row, announcement.cold_ms, txn.now_ms)
    tables_module.store_server(txn, row)


def apply_notice(
    txn: Transaction, router: str, notice: data.ServerNotice
) -> None:
    """Applies what a server told a router about itself.

    Args:
      txn: Tables.
      router: Node id of the router.
      notice: Notice; one of another incarnation than the present is ignored.
    """
    row = txn.servers.get(notice.server_id)
    if row is None or row.announcement.incarnation != notice.incarnation:
        return
    if notice.leaving:
        mark_departing(txn, notice.server_id, f"told {router} in an answer")
    if notice.pause_ms > 0:
        pauses.record(txn, router, notice)
    if notice.rate_limit is not None:
        rate_limits.record(txn, notice)
    if notice.slowness is not None and txn.environment_index.learns_speeds(
        row.announcement.service
    ):
        speed_records.record_slowness(txn, notice)


def set_announced(
    txn: Transaction, announcement: data.Announcement, announced_ms: int
) -> None:
    """Sets the time of an announcement that was received by another leader.

    Args:
      txn: Tables.
      announcement: The announcement; one that is not in force is ignored.
      announced_ms: Time of its arrival.
    """
    row = txn.servers.get(announcement.server_id)
    if row is None or row.announcement.incarnation != announcement.incarnation:
        return
    tables_module.store_server(txn, data.evolve(row, announced_ms=announced_ms))
    tables_module.set_timer(
        txn,
        announced_ms + MAX_ANNOUNCEMENT_AGE_MS,
        "age",
        announcement.server_id,
    )


def mark_departing(
    txn: Transaction, server_id: str, observation: str = "deregistered"
) -> None:
    """Marks a server as departing that did not announce its departure.

    Args:
      txn: Tables.
      server_id: Id of the server; an unknown one is ignored.
      observation: How the departure became known, for the log.
    """
    row = txn.servers.get(server_id)
    if row is None:
        txn.log_event(
            "departure_of_unknown_server", observation, server=server_id
        )
        return
    if row.announcement.departing:
        return
    txn.log_event(
        "server_departing",
        observation,
        server=server_id,
        incarnation=row.announcement.incarnation,
    )
    announcement = dataclasses.replace(row.announcement, departing=True)
    tables_module.store_server(txn, data.evolve(row, announcement=announcement))


def _is_outdated(
    txn: Transaction,
    old_row: data.ServerRow | None,
    announcement: data.Announcement,
) -> bool:
    """Tells whether a later start or announcement of the server is known.

    Servers that announce their start time are ordered by it, also among
    different ids at the same address. An announcement that is not outdated
    removes the earlier servers at its address.
    """
    if not announcement.born_ms:
        return False
    if old_row is not None:
        known_announcement = old_row.announcement
        return (announcement.born_ms, announcement.sequence) <= (
            known_announcement.born_ms,
            known_announcement.sequence,
        )
    rows = txn.servers.finish()
    txn.servers = rows.mutate()
    others = [
        row
        for row in rows.values()
        if row.announcement.address == announcement.address and not row.stale
    ]
    if any(row.announcement.born_ms > announcement.born_ms for row in others):
        return True
    for row in others:
        _mark_replaced_server(txn, row)
    return False


def _mark_replaced_server(txn: Transaction, row: data.ServerRow) -> None:
    """Marks a server as stale when another one uses its address."""
    txn.log_event(
        "server_replaced",
        "another server uses its address",
        server=row.announcement.server_id,
    )
    server = (row.announcement.server_id, row.announcement.incarnation)
    if server in txn.broken_connections:
        crash_evidence.settle_broken_connections(
            txn, server, not row.announcement.departing, "was replaced"
        )
    orphans.release_pause(txn, row)
    tables_module.store_server(txn, data.evolve(row, stale=True, paused=False))
    tables_module.set_timer(
        txn, txn.now_ms + FORGET_AFTER_MS, "forget", row.announcement.server_id
    )


def _create_row(
    txn: Transaction, announcement: data.Announcement
) -> data.ServerRow:
    txn.log_event(
        "server_added",
        "not known to this leader before",
        server=announcement.server_id,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        departing=announcement.departing,
    )
    tables_module.set_timer(
        txn, txn.now_ms + MAX_ANNOUNCEMENT_AGE_MS, "age", announcement.server_id
    )
    unannounced = txn.unannounced_grants.pop(
        announcement.server_id, immutables.Map()
    )
    grants = immutables.Map(
        (key, None)
        for key in unannounced
        if key in txn.grants
        and txn.grants[key].incarnation == announcement.incarnation
    )
    row = _add_unreported_orphans(
        txn, _create_incarnation_row(txn, announcement, grants)
    )
    # A server can bear what it already runs, so a new leader resumes its slot
    # limit from there. A server that has just started runs nothing.
    slot_limit = slot_limits.raise_to_running(
        row.slot_limit, placement.count_used_slots(row)
    )
    return data.evolve(row, slot_limit=slot_limit)


def _create_incarnation_row(
    txn: Transaction, announcement: data.Announcement, grants: immutables.Map
) -> data.ServerRow:
    return data.ServerRow(
        announcement=announcement,
        announced_ms=txn.now_ms,
        slot_limit=_create_slot_limit(txn, announcement),
        key=0,
        grants=grants,
    )


def _limit_grows(txn: Transaction, service: str) -> bool:
    """Tells whether the slot limits of a service start low and grow."""
    declared_service = txn.environment_index.services.get(service)
    return declared_service is None or declared_service.ramp


def _create_slot_limit(
    txn: Transaction, announcement: data.Announcement
) -> data.SlotLimit:
    if _limit_grows(txn, announcement.service):
        return slot_limits.create_initial_limit(announcement.slots)
    return slot_limits.create_full_limit(announcement.slots)


def _add_unreported_orphans(
    txn: Transaction, row: data.ServerRow
) -> data.ServerRow:
    """Adds announced requests that no router has reported as orphans."""
    excess = row.announcement.in_flight - len(row.grants)
    if excess <= 0:
        return row
    return orphans.add_orphans(txn, row, excess)


def _update_row(
    txn: Transaction, old_row: data.ServerRow, announcement: data.Announcement
) -> data.ServerRow:
    """Applies a further announcement of the present incarnation."""
    old_announcement = old_row.announcement
    moved = (
        old_announcement.service,
        old_announcement.version,
        old_announcement.data_centre,
    ) != (
        announcement.service,
        announcement.version,
        announcement.data_centre,
    )
    if old_announcement.departing:
        # Departure is final for an incarnation: an announcement that arrives
        # out of order does not bring it back.
        announcement = dataclasses.replace(announcement, departing=True)
    elif announcement.departing:
        txn.log_event(
            "server_departing",
            "announced",
            server=announcement.server_id,
            incarnation=announcement.incarnation,
        )
    if moved:
        old_row = tables_module.replace_prefixes(
            txn, old_row, data.PrefixCache(), tuple(old_row.prefix_cache.stored)
        )
    if old_row.stale:
        txn.log_event(
            "server_back", "announced again", server=announcement.server_id
        )
        tables_module.set_timer(
            txn,
            txn.now_ms + MAX_ANNOUNCEMENT_AGE_MS,
            "age",
            announcement.server_id,
        )
    row = data.evolve(
        old_row,
        announcement=announcement,
        announced_ms=txn.now_ms,
        slot_limit=_create_slot_limit(txn, announcement)
        if moved or not _limit_grows(txn, announcement.service)
        else slot_limits.apply_announced_slots(
            old_row.slot_limit, announcement.slots
        ),
        stale=False,
        former_claims=(),
        # Another version or service is read or served at another speed.
        speed=data.ServerSpeed() if moved else old_row.speed,
    )
    return orphans.settle_orphans(txn, row) if row.orphans else row


def _record_former_claim(
    txn: Transaction, row: data.ServerRow, announcement: data.Announcement
) -> bool:
    """Records that a former incarnation announced itself.

    Returns:
      Whether it replaces the present incarnation.
    """
    if txn.now_ms - row.announced_ms < RETURN_SILENCE_MS:
        return False
    for incarnation, claimed_ms in row.former_claims:
        if incarnation == announcement.incarnation:
            return txn.now_ms - claimed_ms >= MIN_CLAIM_INTERVAL_MS
    tables_module.store_server(
        txn,
        data.evolve(
            row,
            former_claims=(
                *row.former_claims,
                (announcement.incarnation, txn.now_ms),
            ),
        ),
    )
    return False


def _replace_incarnation(
    txn: Transaction, old_row: data.ServerRow, announcement: data.Announcement
) -> data.ServerRow:
    old_announcement = old_row.announcement
    server = (announcement.server_id, old_announcement.incarnation)
    txn.log_event(
        "server_restarted",
        "new incarnation announced",
        server=announcement.server_id,
        incarnation=announcement.incarnation,
        before=old_announcement.incarnation,
    )
    if server in txn.broken_connections:
        crash_evidence.settle_broken_connections(
            txn, server, not old_announcement.departing, "came back"
        )
    orphans.close_lost_grants(txn, old_row)
    if old_row.stale:
        tables_module.set_timer(
            txn,
            txn.now_ms + MAX_ANNOUNCEMENT_AGE_MS,
            "age",
            announcement.server_id,
        )
    tables_module.replace_prefixes(
        txn, old_row, data.PrefixCache(), tuple(old_row.prefix_cache.stored)
    )
    row = data.evolve(
        _create_incarnation_row(
            txn, announcement, _list_dispatchable_grants(txn, old_row)
        ),
        key=old_row.key,
        former_incarnations=tuple(
            former
            for former in (
                *old_row.former_incarnations,
                old_announcement.incarnation,
            )
            if former != announcement.incarnation
        )[-MAX_FORMER_INCARNATIONS:],
    )
    orphans.release_pause(txn, old_row)
    return _add_unreported_orphans(txn, row)


def _list_dispatchable_grants(
    txn: Transaction, old_row: data.ServerRow
) -> immutables.Map:
    """Returns the grants that routers may still dispatch to the server.

    A grant for the old incarnation is valid for `GRANT_LIFETIME_MS`. If both
    incarnations share an address, the new one would receive the request.
    """
    earliest_grant_ms = txn.now_ms - messages.GRANT_LIFETIME_MS
    grants = []
    for key in old_row.grants:
        grant = txn.grants.get(key)
        if grant is not None and grant.granted_ms >= earliest_grant_ms:
            grants.append((key, None))
    return immutables.Map(grants)


# ---------------------------------------------------------------------------
# Stale servers and back-off
# ---------------------------------------------------------------------------


@tables_module.TIMERS.register("age")
def mark_stale(txn: Transaction, server_id: str) -> None:
    """Marks a server as stale if its announcement has expired."""
    row = txn.servers.get(server_id)
    if row is None or row.stale:
        return
    stale_ms = row.announced_ms + MAX_ANNOUNCEMENT_AGE_MS
    if stale_ms > txn.now_ms:
        tables_module.set_timer(txn, stale_ms, "age", server_id)
        return
    txn.log_event(
        "server_aged_out",
        f"no announcement for {txn.now_ms - row.announced_ms} ms",
        server=server_id,
    )
    orphans.release_pause(txn, row)
    tables_module.store_server(txn, data.evolve(row, stale=True, paused=False))
    tables_module.set_timer(
        txn, txn.now_ms + FORGET_AFTER_MS, "forget", server_id
    )


@tables_module.TIMERS.register("forget")
def _forget_server(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is None or not row.stale:
        return
    if (
        txn.now_ms
        < row.announced_ms + MAX_ANNOUNCEMENT_AGE_MS + FORGET_AFTER_MS
    ):
        return
    orphans.close_lost_grants(txn, row)
    tables_module.replace_prefixes(
        txn, row, data.PrefixCache(), tuple(row.prefix_cache.stored)
    )
    if row.grants:
        txn.unannounced_grants[server_id] = row.grants
    del txn.servers[server_id]


def start_back_off(
    txn: Transaction, row: data.ServerRow, granted_ms: int
) -> data.ServerRow:
    """Blocks a server for a back-off after a failed connect.

    Failures of grants that were made before the back-off belong to the same
    incident and do not extend it.
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
def _unblock_server(txn: Transaction, server_id: str) -> None:
    row = txn.servers.get(server_id)
    if row is not None and row.blocked:
        tables_module.store_server(
            txn,
            data.evolve(row, blocked=False, blocked_ms=txn.now_ms),
        )


# ---------------------------------------------------------------------------
# Results
# ---------------------------------------------------------------------------


def record_result(
    txn: Transaction,
    row: data.ServerRow,
    grant: data.GrantRow,
    finished: data.FinishedRequest,
) -> data.ServerRow:
    """Applies the end of a request to the server's slot limit.

    Args:
      txn: Tables.
      row: Row of the server.
      grant: Grant of the request.
      finished: How the request ended.

    Returns:
      The new row, not stored yet.
    """
    if finished.outcome in (data.Outcome.CONNECT_FAILED, data.Outcome.REJECTED):
        if (grant.router, grant.server_id) in txn.pauses:
            # The server has limited this router only.
            return row
        return start_back_off(txn, row, grant.granted_ms)
    latency_ratio = 1.0
    if finished.outcome is data.Outcome.COMPLETED:
        latency_ratio = _update_latency(txn, row, grant, finished.first_byte_ms)
    if not _limit_grows(txn, row.announcement.service):
        return data.evolve(row, connect_failures=0)
    slot_limit = slot_limits.record_outcome(
        row.slot_limit,
        finished.outcome,
        latency_ratio,
        grant.granted_ms,
        txn.now_ms,
    )
    failures = (
        0
        if finished.outcome is data.Outcome.COMPLETED
        else row.connect_failures
    )
    row = data.evolve(row, slot_limit=slot_limit, connect_failures=failures)
    if slot_limits.is_failing(slot_limit):
        return _cut_slot_limit(
            txn, row, f"{slot_limit.failures} consecutive failures"
        )
    if not slot_limits.is_suspected_cold(slot_limit):
        return row
    if slot_limits.is_cold(slot_limit, _list_peer_limits(txn, row), txn.now_ms):
        return _cut_slot_limit(
            txn,
            row,
            f"{len(slot_limit.slow_ratios)} answers at least "
            f"{min(slot_limit.slow_ratios):.1f} times the median latency",
        )
    # The peers are slow as well or have not answered yet: drop the older half
    # of the ratios, so that the check runs again after some more answers.
    newer_ratios = slot_limit.slow_ratios[slot_limits.SLOW_ANSWERS // 2 :]
    return data.evolve(
        row, slot_limit=data.evolve(slot_limit, slow_ratios=newer_ratios)
    )


def _update_latency(
    txn: Transaction,
    row: data.ServerRow,
    grant: data.GrantRow,
    first_byte_ms: float,
) -> float:
    """Adds a first byte time to the median, and returns its former ratio."""
    announcement = row.announcement
    key = (
        announcement.service,
        announcement.version,
        announcement.data_centre,
        grant.route,
    )
    median = txn.latencies.get(key)
    txn.latencies[key] = slot_limits.update_median(median, first_byte_ms)
    return slot_limits.compute_latency_ratio(median, first_byte_ms)


def _list_peer_limits(
    txn: Transaction, row: data.ServerRow
) -> tuple[data.SlotLimit, ...]:
    announcement = row.announcement
    group = txn.usable_servers.get(
        (announcement.service, announcement.version, announcement.data_centre),
        immutables.Map(),
    )
    return tuple(
        txn.servers[server_id].slot_limit
        for server_id in group
        if server_id != announcement.server_id
    )


def _cut_slot_limit(
    txn: Transaction, row: data.ServerRow, reason: str
) -> data.ServerRow:
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


def restore_data_centres(
    txn: Transaction, data_centres: frozenset[str]
) -> None:
    """Restarts the servers of restored data centres as cold servers."""
    rows = txn.servers.finish()
    txn.servers = rows.mutate()
    for row in rows.values():
        if row.announcement.data_centre not in data_centres:
            continue
        if _limit_grows(txn, row.announcement.service):
            row = data.evolve(
                row,
                slot_limit=slot_limits.cut_limit(row.slot_limit, txn.now_ms),
            )
        row = cold_servers.apply_restoration(
            row, txn.now_ms, MAX_ANNOUNCEMENT_AGE_MS
        )
        tables_module.store_server(txn, row)
