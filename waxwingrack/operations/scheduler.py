"""Scheduler of the leader: turns router reports into grants.

Each tick runs its steps in a fixed order: timers (stale servers, back-off,
orphans, crash verdicts), restored data centres, refusals, then the grants of
each service.

If a router does not report the end of a grant, the grant is released only when
the update that carried it is proven lost. A connection either delivers in order
or breaks, and a router ignores updates of an earlier connection. A grant that
is missing from the first report on a new connection is therefore not in use at
the router. It is released when a later report of the same router incarnation
was sent at least `GRANT_LIFETIME_MS` after the grant's `echo_ms`, since the
router can no longer dispatch it then. A report that mentions the grant in the
meantime keeps it. While a connection lasts, the router ends every grant with
`FinishedRequest`.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import random
from typing import Any

import immutables

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.operations import contention_tables
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import crashes
from waxwingrack.operations import duplicate_grants
from waxwingrack.operations import engine_load
from waxwingrack.operations import fairness
from waxwingrack.operations import forecast
from waxwingrack.operations import granting
from waxwingrack.operations import leader_queues
from waxwingrack.operations import orphans
from waxwingrack.operations import pauses
from waxwingrack.operations import placement
from waxwingrack.operations import servers
from waxwingrack.operations import speed_records
from waxwingrack.operations import tables as tables_module

Tables = tables_module.Tables
Transaction = tables_module.Transaction

# Interval at which `Decisions.crashed_digests` repeats a digest until the
# policy refuses it.
REFUSAL_REPEAT_MS = 1_000
# Highest cost that a router may report for one request.
MAX_COST = 1e12

# Outcomes of requests that never ran on a backend server.
NOT_RUN = frozenset((data.Outcome.CONNECT_FAILED, data.Outcome.REJECTED))

_EMPTY = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """Decisions of one tick.

    Attributes:
      grants: New grants with their routers and reasons.
      refusals: Tuples of router node id, refusal and reason.
      samples: Requests that have ended since the last tick.
      crashed_digests: Digests and prompt parts to refuse from now on; repeated
        every `REFUSAL_REPEAT_MS` until the policy lists them.
      released_suspects: Prompt parts whose refusal ends.
      events: Other events to log.
      ended_servers: Incarnations of servers that get no more requests.
    """

    grants: tuple[data.GrantDecision, ...] = ()
    refusals: tuple[tuple[str, messages.Refusal, str], ...] = ()
    samples: tuple[data.RequestSample, ...] = ()
    crashed_digests: tuple[str, ...] = ()
    released_suspects: tuple[str, ...] = ()
    events: tuple[data.SchedulerEvent, ...] = ()
    ended_servers: tuple[data.EndedServer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Result of a tick: the new tables and the decisions."""

    tables: Tables
    decisions: Decisions


def create_tables(
    term: int,
    now_ms: int,
    counters: Iterable[data.CounterRow],
    routers: Iterable[str],
) -> Tables:
    """Creates the tables of a new leader.

    Args:
      term: Term of the leader.
      now_ms: Present time.
      counters: Counters of the last checkpoint. A row with an empty workspace
        holds the virtual time of its service.
      routers: Node ids of the routers that the former leader knew.

    Returns:
      Tables that allow no grants until these routers have reported or
      `GRANT_LIFETIME_MS` has passed.
    """
    rows = tuple(counters)
    by_service: dict[str, dict[str, data.Account]] = {}
    for row in rows:
        by_service.setdefault(row.service, {})[row.workspace] = data.Account(
            row.value
        )
    accounts = {}
    for service, service_accounts in by_service.items():
        service_account = service_accounts.get(
            fairness.SERVICE_ACCOUNT, data.Account()
        )
        if service_account.counter > fairness.REBASE_THRESHOLD:
            # It is not known which workspaces are backlogged, so all are passed
            # as backlogged: this keeps every difference between counters.
            service_accounts = dict(
                fairness.rebase_counters(
                    service_accounts.items(),
                    service_accounts,
                    service_account.counter,
                )
            )
        for workspace, account in service_accounts.items():
            accounts[(service, workspace)] = account
    return Tables(
        term=term,
        created_ms=now_ms,
        awaited_routers=frozenset(routers),
        next_timer=now_ms // tables_module.TIMER_STEP_MS,
        accounts=immutables.Map(accounts),
    )


def list_counters(tables: Tables) -> tuple[data.CounterRow, ...]:
    """Returns all counters, sorted by service and workspace."""
    return tuple(
        data.CounterRow(service, workspace, account.counter)
        for (service, workspace), account in sorted(
            tables.accounts.items(), key=lambda item: item[0]
        )
    )


def list_changed_counters(
    tables: Tables, saved: Mapping[tuple[str, str], float]
) -> tuple[data.CounterRow, ...]:
    """Returns the counters that differ from saved values, sorted.

    Args:
      tables: Tables.
      saved: Saved values by (service, workspace).

    Returns:
      Changed counters, sorted by service and workspace.
    """
    # Sorts only the changed counters, as there may be thousands of others.
    changed = [
        (key, account.counter)
        for key, account in tables.accounts.items()
        if saved.get(key) != account.counter
    ]
    changed.sort()
    return tuple(data.CounterRow(*key, value) for key, value in changed)


def list_exposures(tables: Tables) -> tuple[data.ExposureRow, ...]:
    """Returns the requests granted during the rollouts that are under way."""
    return tuple(
        data.ExposureRow(service, pool.candidate, pool.exposure)
        for service, pool in sorted(tables.pools.items())
        if pool.candidate
    )


def count_running(
    tables: Tables, service: str, version: str, now_ms: int
) -> data.RunningCount:
    """Counts the granted requests of a version that have not ended.

    Args:
      tables: Tables.
      service: Service.
      version: Version.
      now_ms: Present time.
    """
    ages_ms = [
        now_ms - grant.granted_ms
        for grant in tables.grants.values()
        if grant.service == service and grant.version == version
    ]
    return data.RunningCount(len(ages_ms), max(ages_ms, default=0))


# ---------------------------------------------------------------------------
# Reports
# ---------------------------------------------------------------------------


def on_report(
    tables: Tables,
    router: data.RouterRef,
    report: messages.RouterReport,
    now_ms: int,
) -> Tables:
    """Applies a router's report to the tables.

    Args:
      tables: Tables.
      router: Router that sent the report.
      report: Report.
      now_ms: Present time.

    Returns:
      The new tables.
    """
    txn = Transaction(tables, now_ms)
    known = txn.routers.get(router.node_id)
    if known is not None and known.ref.incarnation != router.incarnation:
        _remove_router(txn, router.node_id, "restarted")
        known = None
    known = known or data.RouterRow(ref=router)
    txn.routers[router.node_id] = data.evolve(
        known,
        ref=router,
        sent_ms=report.sent_ms,
        reported_ms=now_ms,
        connected=True,
    )
    for suspect in report.crash_suspects:
        crash_evidence.record_crash_suspect(txn, suspect)
    for announcement in report.announcements:
        servers.apply_announcement(txn, announcement)
    for notice in report.notices:
        servers.apply_notice(txn, router.node_id, notice)
    for started in report.started:
        _record_answer_start(txn, started)
    for finished in report.finished:
        _finish_request(txn, router.node_id, finished)
    for progress in report.progress:
        _record_progress(txn, router.node_id, progress)
    if report.first:
        _reconcile_router(txn, router, report)
    for sequence in report.withdrawn:
        leader_queues.remove_request(txn, router.node_id, sequence)
    if report.wants:
        _enqueue_requests(txn, router.node_id, report.wants)
    _release_unlisted_grants(txn, router.node_id)
    return txn.commit()


def on_announcement(
    tables: Tables, announcement: data.Announcement, now_ms: int
) -> Tables:
    """Applies an announcement that a controller received to the tables.

    Args:
      tables: Tables.
      announcement: Announcement.
      now_ms: Present time.

    Returns:
      The new tables.
    """
    txn = Transaction(tables, now_ms)
    servers.apply_announcement(txn, announcement)
    return txn.commit()


def export_known_servers(tables: Tables) -> messages.ServersKnown:
    """Returns the servers and their cached prompts for the next leader."""
    rows = [row for row in tables.servers.values() if not row.stale]
    return messages.ServersKnown(
        announcements=tuple(row.announcement for row in rows),
        prompts=tuple(
            messages.KeptPrompts(
                row.announcement.server_id,
                engine_load.list_cached_parts(row.load.cache),
            )
            for row in rows
            if row.load.cache.uses
        ),
    )


def import_known_servers(
    tables: Tables,
    environment: data.Environment | None,
    known: messages.ServersKnown,
    age_ms: int,
    now_ms: int,
) -> Tables:
    """Adds the servers that the former leader knew to the tables.

    A server may have left since, so its announcement expires as early as if
    this leader had received it.

    Args:
      tables: Tables of a new leader.
      environment: Environment in force, None if there is none yet.
      known: Servers that the former leader reported.
      age_ms: Time since it reported them.
      now_ms: Present time.

    Returns:
      The new tables.
    """
    txn = Transaction(tables, now_ms)
    if environment is not None:
        _set_environment(txn, environment)
    for announcement in known.announcements:
        servers.apply_announcement(txn, announcement)
        servers.set_announced(txn, announcement, now_ms - age_ms)
    for kept in known.prompts:
        row = txn.servers.get(kept.server_id)
        if row is not None:
            load = engine_load.add_cached_parts(row.load, kept.parts)
            txn.servers[kept.server_id] = data.evolve(row, load=load)
    return txn.commit()


def on_departure(tables: Tables, server_id: str, now_ms: int) -> Tables:
    """Marks a server that has deregistered as departing.

    Args:
      tables: Tables.
      server_id: Id of the server.
      now_ms: Present time.

    Returns:
      The new tables.
    """
    txn = Transaction(tables, now_ms)
    servers.mark_departing(txn, server_id)
    return txn.commit()


def _record_answer_start(txn: Transaction, started: data.StartedAnswer) -> None:
    key = (started.term, started.grant)
    grant = txn.grants.get(key)
    row = txn.servers.get(grant.server_id) if grant else None
    if row is not None and key in row.load.reservations:
        reservation = row.load.reservations[key]
        load = engine_load.mark_answer_started(row.load, key, txn.now_ms)
        if not reservation.answer_started:
            speed = _record_read_rate(
                txn, row, load, reservation, started.first_byte_ms
            )
            row = data.evolve(row, load=load, speed=speed)
            txn.servers[grant.server_id] = row
            contention_tables.record_first_byte(txn, grant, txn.now_ms)
            _add_sample(txn, grant, started.first_byte_ms)


def _record_read_rate(
    txn: Transaction,
    row: data.ServerRow,
    load: data.EngineLoad,
    reservation: data.EngineReservation,
    first_byte_ms: float,
) -> data.ServerSpeed:
    """Records a reading rate; returns the new speed of the engine."""
    service = row.announcement.service
    if not txn.environment_index.learns_speeds(service):
        if not reservation.is_held_up:
            forecast.record_mean_rate(txn, service, reservation, first_byte_ms)
        return row.speed
    in_order = (
        load.unread_tokens == row.load.unread_tokens - reservation.unread_tokens
    )
    return forecast.record_read_rate(
        txn, row, reservation, in_order, first_byte_ms
    )


def _enqueue_requests(
    txn: Transaction, router: str, requests: tuple[data.QueuedRequest, ...]
) -> None:
    row = txn.routers[router]
    positions = row.queue_positions.mutate()
    for request in requests:
        if request.sequence not in positions:
            positions[request.sequence] = leader_queues.enqueue_request(
                txn, router, request
            )
    txn.routers[router] = data.evolve(row, queue_positions=positions.finish())


def _reconcile_router(
    txn: Transaction, router: data.RouterRef, report: messages.RouterReport
) -> None:
    """Brings a router's state in line with its first report.

    Queued requests that the report does not list are removed. Grants that it
    does not list are marked as unlisted, to be released later.
    """
    # The router has reported, so grants need not wait for it any longer. If it
    # is a new process, the former one has ended and uses no grants.
    txn.awaited_routers = txn.awaited_routers - {router.node_id}
    row = txn.routers[router.node_id]
    listed = {request.sequence for request in report.wants}
    for sequence in row.queue_positions:
        if sequence not in listed:
            leader_queues.remove_request(txn, router.node_id, sequence)
    in_use = {(running.term, running.grant) for running in report.running}
    for running in report.running:
        _adopt_grant(txn, router, report.sent_ms, running)
    row = txn.routers[router.node_id]
    unlisted = [(key, None) for key in row.grants if key not in in_use]
    txn.routers[router.node_id] = data.evolve(
        row, unlisted=immutables.Map(unlisted)
    )


def _adopt_grant(
    txn: Transaction,
    router: data.RouterRef,
    sent_ms: int,
    running: data.RunningRequest,
) -> None:
    """Marks a grant that a router lists as in use, and adds an unknown one."""
    key = (running.term, running.grant)
    known = txn.grants.get(key)
    if known is not None:
        txn.grants[key] = dataclasses.replace(
            known, running=True, orphaned=False
        )
    else:
        server = txn.servers.get(running.server_id)
        txn.grants[key] = data.GrantRow(
            router=router.node_id,
            server_id=running.server_id,
            incarnation=running.incarnation,
            version=running.version,
            data_centre=server.announcement.data_centre if server else "",
            workspace=running.workspace,
            service=running.service,
            route=running.route,
            digest=running.digest,
            weight=0.0,
            charged=_sanitize_cost(running.cost),
            cost=_sanitize_cost(running.cost),
            granted_ms=txn.now_ms,
            echo_ms=sent_ms,
            running=True,
            parts=crashes.name_parts(running.parts),
        )
        account_key = (running.service, running.workspace)
        account = tables_module.get_account(txn, *account_key)
        txn.accounts[account_key] = dataclasses.replace(
            account, grants_in_use=account.grants_in_use + 1
        )
    orphans.adopt_grant(txn, key, running.server_id)
    row = txn.routers[router.node_id]
    txn.routers[router.node_id] = data.evolve(
        row, grants=row.grants.set(key, None)
    )


def _release_unlisted_grants(txn: Transaction, router: str) -> None:
    """Releases unlisted grants that the router can no longer dispatch."""
    row = txn.routers[router]
    for key in row.unlisted:
        grant = txn.grants.get(key)
        if grant is not None:
            if row.sent_ms < grant.echo_ms + messages.GRANT_LIFETIME_MS:
                continue
            _release_grant(txn, key)
        row = txn.routers[router]
        row = data.evolve(row, unlisted=row.unlisted.delete(key))
        txn.routers[router] = row


def _release_grant(txn: Transaction, key: tables_module.GrantKey) -> None:
    grant = txn.grants[key]
    txn.log_event(
        "grant_released",
        "the router did not list it after it reconnected",
        router=grant.router,
        server=grant.server_id,
        grant=key[1],
        term=key[0],
    )
    cost = (
        orphans.estimate_unreported_cost(txn, grant) if grant.running else 0.0
    )
    _close_grant(txn, key, cost)


def _sanitize_cost(cost: float) -> float:
    """Limits a reported cost to `MAX_COST`; invalid values become 0."""
    if not math.isfinite(cost) or cost < 0:
        return 0.0
    return min(cost, MAX_COST)


def _record_progress(
    txn: Transaction, router: str, progress: data.CostProgress
) -> None:
    key = (progress.term, progress.grant)
    grant = txn.grants.get(key)
    if grant is None or grant.router != router:
        return
    row = txn.routers[router]
    if key in row.unlisted:
        txn.routers[router] = data.evolve(
            row, unlisted=row.unlisted.delete(key)
        )
    cost = _sanitize_cost(progress.cost)
    if cost > grant.charged:
        account_key = (grant.service, grant.workspace)
        txn.accounts[account_key] = fairness.add_cost(
            tables_module.get_account(txn, *account_key),
            cost - grant.charged,
            grant.weight or txn.environment_index.weight(grant.workspace),
        )
    txn.grants[key] = dataclasses.replace(
        grant,
        running=True,
        cost=max(cost, grant.cost),
        charged=max(cost, grant.charged),
    )


def _finish_request(
    txn: Transaction, router: str, finished: data.FinishedRequest
) -> None:
    key = (finished.term, finished.grant)
    grant = txn.grants.get(key)
    if grant is None or grant.router != router:
        return
    outcome = finished.outcome
    not_dispatched = outcome is data.Outcome.NOT_DISPATCHED
    ran = not not_dispatched and outcome not in NOT_RUN
    latency_known = _has_answer_started(txn, grant, key)
    cost = _sanitize_cost(finished.cost) if ran else 0.0
    _close_grant(txn, key, cost, None if not_dispatched else finished)
    if not_dispatched or outcome is data.Outcome.CONNECT_FAILED:
        granting.uncount_exposure(txn, grant)
    if not_dispatched:
        _refund_version_share(txn, grant)
        return
    if outcome is data.Outcome.COMPLETED:
        if txn.environment_index.engine(grant.service) is not None:
            forecast.record_run_time(txn, grant.service, finished.duration_ms)
        elif txn.environment_index.learns_speeds(grant.service):
            speed_records.record_request_time(txn, grant, finished.duration_ms)
        if not latency_known:
            streamed_ms = finished.duration_ms - finished.first_byte_ms
            contention_tables.record_first_byte(
                txn, grant, txn.now_ms - max(0.0, streamed_ms)
            )
        for suspect in (grant.digest, *grant.parts):
            if suspect in txn.suspicions:
                _clear_suspect(txn, suspect)
    _add_sample(txn, grant, finished.first_byte_ms, finished, latency_known)


def _has_answer_started(
    txn: Transaction, grant: data.GrantRow, key: tables_module.GrantKey
) -> bool:
    row = txn.servers.get(grant.server_id)
    reservation = row and row.load.reservations.get(key)
    return bool(reservation) and reservation.answer_started


def _add_sample(
    txn: Transaction,
    grant: data.GrantRow,
    first_byte_ms: float,
    finished: data.FinishedRequest | None = None,
    latency_known: bool = False,
) -> None:
    """Adds a sample of a grant whose answer has begun, or which has ended."""
    data_centre = grant.data_centre
    if not data_centre:
        server = txn.servers.get(grant.server_id)
        data_centre = server.announcement.data_centre if server else ""
    txn.samples.append(
        data.RequestSample(
            service=grant.service,
            route=grant.route,
            data_centre=data_centre,
            version=grant.version,
            server_id=grant.server_id,
            outcome=finished.outcome if finished else None,
            first_byte_ms=first_byte_ms,
            duration_ms=finished.duration_ms if finished else 0.0,
            at_ms=txn.now_ms,
            load=grant.server_load,
            expected_ms=grant.expected_ms,
            was_cold=grant.was_cold,
            latency_known=latency_known,
        )
    )


def _close_grant(
    txn: Transaction,
    key: tables_module.GrantKey,
    cost: float,
    finished: data.FinishedRequest | None = None,
) -> None:
    """Frees the slot of a grant and corrects its charge.

    Args:
      txn: Tables.
      key: Key of the grant.
      cost: Actual cost of its request.
      finished: End of its request; None if the request was not dispatched or
        its end is unknown.
    """
    grant = txn.grants.pop(key)
    orphans.settle_charge(
        txn,
        grant,
        cost,
        finished is not None and finished.outcome not in NOT_RUN,
    )
    router = txn.routers.get(grant.router)
    if router is not None and key in router.grants:
        txn.routers[grant.router] = data.evolve(
            router, grants=router.grants.delete(key)
        )
    crash_evidence.end_isolated_run(txn, grant, key)
    row = txn.servers.get(grant.server_id)
    if row is None:
        orphans.forget_unannounced_grant(txn, grant.server_id, key)
        return
    freed_row = None
    if key in row.grants:
        freed_row = data.evolve(
            row,
            grants=row.grants.delete(key),
            isolated_grant=None
            if row.isolated_grant == key
            else row.isolated_grant,
            load=engine_load.remove_grant(row.load, key, txn.now_ms),
        )
    elif key in row.lost_grants:
        freed_row = data.evolve(
            row,
            lost_grants=row.lost_grants.delete(key),
            orphans=max(0, row.orphans - 1),
        )
    if finished and row.announcement.incarnation == grant.incarnation:
        observed_row = servers.record_result(
            txn, freed_row or row, grant, finished
        )
        tables_module.store_server(txn, observed_row, between=freed_row)
    elif freed_row is not None:
        tables_module.store_server(txn, freed_row)


def _refund_version_share(txn: Transaction, grant: data.GrantRow) -> None:
    """Takes an unused grant out of the candidate version's credit."""
    pool = txn.pools.get(grant.service)
    if grant.candidate_share and pool is not None:
        txn.pools[grant.service] = data.evolve(
            pool,
            candidate_credit=placement.refund_credit(
                pool.candidate_credit,
                grant.candidate_share,
                grant.charged_to_candidate,
            ),
        )


def _clear_suspect(txn: Transaction, digest: str) -> None:
    """Clears a crash suspect after one of its requests has completed."""
    del txn.suspicions[digest]
    txn.log_event("suspect_cleared", "a request completed", digest=digest)


def on_router_lost(tables: Tables, router_node_id: str, now_ms: int) -> Tables:
    """Removes a router whose connection is lost.

    Args:
      tables: Tables.
      router_node_id: Node id of the router.
      now_ms: Present time.

    Returns:
      The new tables. The router's queued requests are removed; its grants still
      occupy their slots, as orphans.
    """
    txn = Transaction(tables, now_ms)
    _remove_router(txn, router_node_id, "connection lost")
    return txn.commit()


def _remove_router(txn: Transaction, node_id: str, reason: str) -> None:
    row = txn.routers.get(node_id)
    if row is None:
        return
    for sequence in row.queue_positions:
        leader_queues.remove_request(txn, node_id, sequence)
    for key in row.grants:
        if key in txn.grants:
            orphans.orphan_grant(txn, key)
    row = txn.routers[node_id]
    txn.log_event("router_lost", reason, router=node_id, grants=len(row.grants))
    if row.grants:
        txn.routers[node_id] = data.evolve(row, connected=False)
    else:
        del txn.routers[node_id]


# ---------------------------------------------------------------------------
# Tick
# ---------------------------------------------------------------------------


def tick(
    tables: Tables, policy: data.Policy, now_ms: int, rng: random.Random
) -> Tick:
    """Runs every step of the scheduler once.

    Args:
      tables: Tables.
      policy: Environment, version shares, drained data centres and refused
        digests.
      now_ms: Present time.
      rng: Random generator; not used at present.

    Returns:
      The new tables and the decisions.
    """
    del rng
    txn = Transaction(tables, now_ms)
    _set_environment(txn, policy.environment)
    tables_module.run_timers(txn)
    _set_drained(txn, policy.drained)
    _refuse_crashing_requests(txn, policy.refused_digests)
    age_ms = now_ms - txn.tables.created_ms
    if not txn.awaited_routers or age_ms >= messages.GRANT_LIFETIME_MS:
        txn.grants_allowed = True
    duplicates = duplicate_grants.take_duplicates(txn)
    for service in sorted(
        {
            *_list_table_keys(txn, "backlog"),
            *_list_table_keys(txn, "isolated_queues"),
        }
    ):
        _schedule_service(txn, policy, service)
    for service, entries in duplicates.items():
        share = _get_version_share(txn, policy, service)
        for entry in entries:
            duplicate_grants.decide_duplicate(txn, entry, share)
    decisions = Decisions(
        grants=tuple(txn.grant_decisions),
        refusals=tuple(txn.refusals),
        samples=tuple(txn.samples),
        crashed_digests=tuple(txn.digests_to_refuse),
        released_suspects=tuple(txn.suspects_to_release),
        events=tuple(txn.events),
        ended_servers=tuple(txn.ended_servers),
    )
    txn.ended_servers.clear()
    txn.samples.clear()
    txn.events.clear()
    txn.new_arrivals.clear()
    return Tick(txn.commit(), decisions)


def _schedule_service(
    txn: Transaction, policy: data.Policy, service: str
) -> None:
    """Refuses and grants queued requests of one service."""
    pool = txn.pools[service]
    if not pool.usable_count:
        granting.refuse_without_server(txn, service)
    if not txn.grants_allowed:
        return
    share = _get_version_share(txn, policy, service)
    pauses.refuse_paused_routers(txn, service)
    forecast.refuse_late_arrivals(txn, service)
    forecast.refuse_overdue_requests(txn, service)
    if (
        service in txn.isolated_queues
        or pool.reserved_server
        or granting.has_free_slot(txn, service, share)
    ):
        granting.grant_free_slots(txn, service, share)
        _rebase_counters(txn, service)


def _list_table_keys(txn: Transaction, name: str) -> tuple[Any, ...]:
    """Returns the keys of one of the transaction's mutable tables."""
    table = getattr(txn, name).finish()
    setattr(txn, name, table.mutate())
    return tuple(table)


def _get_version_share(
    txn: Transaction, policy: data.Policy, service: str
) -> data.VersionShare:
    share = policy.shares.get(service)
    if share is not None:
        return share
    declared = txn.environment_index.services.get(service)
    return data.VersionShare(declared.version if declared else "")


def _set_environment(txn: Transaction, environment: data.Environment) -> None:
    if txn.environment_index.environment is environment:
        return
    txn.environment_index = tables_module.EnvironmentIndex(
        environment,
        immutables.Map(
            {service.id: service for service in environment.services}
        ),
        immutables.Map({row.id: row.weight for row in environment.workspaces}),
    )


def _set_drained(txn: Transaction, drained: frozenset[str]) -> None:
    restored = txn.drained - drained
    txn.drained = drained
    if restored:
        servers.restore_data_centres(txn, restored)


def _refuse_crashing_requests(
    txn: Transaction, refused: frozenset[str]
) -> None:
    """Refuses queued requests whose digest crashes servers."""
    changed = False
    if refused is not txn.refused_digests and refused != txn.refused_digests:
        changed = True
        for part in filter(crashes.is_part, refused - txn.refused_digests):
            tables_module.set_timer(
                txn, txn.now_ms + crashes.PART_REFUSAL_MS, "release", part
            )
    txn.refused_digests = refused
    crashing = txn.crashing_digests.finish()
    txn.crashing_digests = crashing.mutate()
    for digest, reported_ms in crashing.items():
        if digest in refused:
            del txn.crashing_digests[digest]
        elif reported_ms < 0 or txn.now_ms - reported_ms >= REFUSAL_REPEAT_MS:
            changed = changed or reported_ms < 0
            txn.crashing_digests[digest] = txn.now_ms
            txn.digests_to_refuse.append(digest)
    if changed:
        request_keys = [
            (row.router, row.request.sequence)
            for row in leader_queues.list_entries(txn)
        ]
    else:
        request_keys = txn.new_arrivals
    for router, sequence in request_keys:
        row = txn.routers.get(router)
        position = row.queue_positions.get(sequence) if row else None
        if position is None:
            continue
        request = _get_request(txn, position)
        suspects = (
            request.digest,
            *crashes.name_parts(crashes.list_shared_parts(request.prompt)),
        )
        if any(
            suspect in refused or suspect in txn.crashing_digests
            for suspect in suspects
        ):
            leader_queues.refuse_request(
                txn,
                router,
                sequence,
                errors.ErrorKind.REQUEST_CRASHES_SERVERS,
                "the request digest or a part of its prompt is refused",
            )


def _get_request(
    txn: Transaction, position: data.QueuePosition
) -> data.QueuedRequest:
    if position.workspace == leader_queues.ISOLATED_WORKSPACE:
        queue = txn.isolated_queues[position.service]
    else:
        queue = txn.queues[(position.service, position.workspace)][
            position.avoided_servers
        ]
    return queue.entries[position.index].request


def _rebase_counters(txn: Transaction, service: str) -> None:
    """Lowers the counters of a service before they lose precision."""
    service_account = txn.accounts.get((service, fairness.SERVICE_ACCOUNT))
    if (
        service_account is None
        or service_account.counter <= fairness.REBASE_THRESHOLD
    ):
        return
    accounts = txn.accounts.finish()
    txn.accounts = accounts.mutate()
    service_accounts = (
        (workspace, account)
        for (name, workspace), account in accounts.items()
        if name == service
    )
    backlog = txn.backlog.get(service, _EMPTY)
    for workspace, account in fairness.rebase_counters(
        service_accounts, backlog, service_account.counter
    ):
        txn.accounts[(service, workspace)] = account


# ---------------------------------------------------------------------------
# Status
# ---------------------------------------------------------------------------


def build_status(
    tables: Tables, now_ms: int
) -> dict[str, list[dict[str, Any]]]:
    """Builds the scheduler's part of the status.

    Args:
      tables: Tables.
      now_ms: Present time.

    Returns:
      Rows under `backend_servers` and `workspaces` with the keys that
      `docs/protocols.md` lists, and `routers` with `id`, `data_centre`,
      `in_flight` and `seen_ms_ago`.
    """
    return {
        "backend_servers": [
            _build_server_status(tables, row, now_ms)
            for _, row in sorted(tables.servers.items())
        ],
        "workspaces": [
            {
                "service": service,
                "id": workspace,
                "waiting": sum(
                    len(queue.entries)
                    for queue in tables.queues.get(
                        (service, workspace), _EMPTY
                    ).values()
                ),
                "in_use": account.grants_in_use,
                "counter": account.counter,
            }
            for (service, workspace), account in sorted(
                tables.accounts.items(), key=lambda item: item[0]
            )
            if workspace != fairness.SERVICE_ACCOUNT
        ],
        "routers": [
            {
                "id": node_id,
                "data_centre": row.ref.data_centre,
                "in_flight": len(row.grants),
                "seen_ms_ago": now_ms - row.reported_ms,
            }
            for node_id, row in sorted(tables.routers.items())
            if row.connected
        ],
    }


def _build_server_status(
    tables: Tables, row: data.ServerRow, now_ms: int
) -> dict[str, Any]:
    announcement = row.announcement
    return {
        "id": announcement.server_id,
        "service": announcement.service,
        "version": announcement.version,
        "data_centre": announcement.data_centre,
        "phase": _get_server_phase(tables, row),
        "limit": row.slot_limit.limit,
        "slots": announcement.slots,
        "in_use": placement.count_used_slots(row),
        "seen_ms_ago": now_ms - row.announced_ms,
    }


def _get_server_phase(tables: Tables, row: data.ServerRow) -> str:
    """Returns the server's phase: the first state that applies."""
    states = (
        (row.stale, "aged_out"),
        (row.announcement.departing, "departing"),
        (row.announcement.data_centre in tables.drained, "drained"),
        (row.blocked, "blocked"),
        (row.paused, "paused"),
        (
            row.reserved_for_isolation or row.isolated_grant is not None,
            "crash_suspect",
        ),
        (row.slot_limit.limit < row.slot_limit.announced_slots, "ramping"),
    )
    return next((name for applies, name in states if applies), "warm")
