"""Scheduler of the leader: reports in, grants out.

Systems run at each tick in a fixed order: timers (ageing, back-off, orphans,
crash verdicts), restored data centres, refusals, then grants by service.

A grant is released without word from its router only if its update is proven
lost. A connection delivers in order or breaks, and a router ignores updates of
an earlier connection. So a grant that the first report on a new connection does
not list is not in use at the router. It is released once a report of the same
router incarnation was sent `GRANT_LIFETIME_MS` after the `echo_ms` of the
grant, when the router could not dispatch it any more, unless a report has
mentioned it in the meantime. On an unbroken connection the router ends every
grant with `FinishedRequest`.
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
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import engine_load
from waxwingrack.operations import fairness
from waxwingrack.operations import forecast
from waxwingrack.operations import granting
from waxwingrack.operations import leader_queues
from waxwingrack.operations import orphans
from waxwingrack.operations import placement
from waxwingrack.operations import servers
from waxwingrack.operations import tables as tables_module

Tables = tables_module.Tables
Transaction = tables_module.Transaction

# Interval at which a digest to be refused is reported until it is in force.
REPEAT_MS = 1_000
# Highest cost that a router may report for one request.
MAX_COST = 1e12

# Outcomes of requests that no backend server has begun to run.
NOT_RUN = frozenset((data.Outcome.CONNECT_FAILED, data.Outcome.REJECTED))

_EMPTY = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """What one tick decided.

    Attributes:
      grants: Grants by router, with reasons.
      refusals: Router node id, refusal and reason.
      samples: Ended requests since the last tick.
      crashed_digests: Digests to be refused from now on; repeated every
        `REPEAT_MS` until the policy lists them.
      events: Further log lines.
    """

    grants: tuple[data.GrantDecision, ...] = ()
    refusals: tuple[tuple[str, messages.Refusal, str], ...] = ()
    samples: tuple[data.RequestSample, ...] = ()
    crashed_digests: tuple[str, ...] = ()
    events: tuple[data.SchedulerEvent, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Tables after a tick and its decisions."""

    tables: Tables
    decisions: Decisions


def empty(
    term: int,
    now_ms: int,
    counters: Iterable[data.CounterRow],
    routers: Iterable[str],
) -> Tables:
    """Creates the tables of a new leader.

    Args:
      term: Term of the leader.
      now_ms: Present time.
      counters: Counters of the last checkpoint. The row with an empty workspace
        holds the virtual time of its service.
      routers: Node ids of the routers that the former leader knew.

    Returns:
      Tables that withhold grants until these routers have reported or
      `GRANT_LIFETIME_MS` has passed.
    """
    rows = tuple(counters)
    by_service: dict[str, dict[str, data.Account]] = {}
    for row in rows:
        by_service.setdefault(row.service, {})[row.workspace] = data.Account(
            row.value
        )
    accounts = {}
    for service, found in by_service.items():
        own = found.get(fairness.SERVICE_ACCOUNT, data.Account())
        if own.counter > fairness.REBASE_THRESHOLD:
            # Who is backlogged is not known: keep every difference.
            found = dict(
                fairness.rebase_counters(found.items(), found, own.counter)
            )
        for workspace, account in found.items():
            accounts[(service, workspace)] = account
    return Tables(
        term=term,
        created_ms=now_ms,
        awaited_routers=frozenset(routers),
        next_timer=now_ms // tables_module.TIMER_STEP_MS,
        accounts=immutables.Map(accounts),
    )


def counters(tables: Tables) -> tuple[data.CounterRow, ...]:
    """Returns the counters for a checkpoint, in order of service and name."""
    return tuple(
        data.CounterRow(service, workspace, account.counter)
        for (service, workspace), account in sorted(
            tables.accounts.items(), key=lambda item: item[0]
        )
    )


def changed_counters(
    tables: Tables, saved: Mapping[tuple[str, str], float]
) -> tuple[data.CounterRow, ...]:
    """Returns the counters that differ from saved values, in order.

    Args:
      tables: Tables.
      saved: Values by (service, workspace).

    Returns:
      Rows as of `counters` whose value is not the saved one.
    """
    # Only the changed ones are sorted: there may be thousands of others.
    changed = [
        (place, account.counter)
        for place, account in tables.accounts.items()
        if saved.get(place) != account.counter
    ]
    changed.sort()
    return tuple(data.CounterRow(*place, value) for place, value in changed)


# ---------------------------------------------------------------------------
# Reports
# ---------------------------------------------------------------------------


def on_report(
    tables: Tables,
    router: data.RouterRef,
    report: messages.RouterReport,
    now_ms: int,
) -> Tables:
    """Takes a router's report into the tables.

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
        _lose(txn, router.node_id, "restarted")
        known = None
    known = known or data.RouterRow(ref=router)
    txn.routers[router.node_id] = data.evolve(
        known,
        ref=router,
        sent_ms=report.sent_ms,
        reported_ms=now_ms,
        connected=True,
    )
    for found in report.crash_suspects:
        crash_evidence.record_crash_suspect(txn, found)
    for seen in report.announcements:
        servers.announce(txn, seen)
    for begun in report.started:
        _started(txn, begun)
    for ended in report.finished:
        _finish(txn, router.node_id, ended)
    for progress in report.progress:
        _progress(txn, router.node_id, progress)
    if report.first:
        _reconcile(txn, router, report)
    for sequence in report.withdrawn:
        leader_queues.drop(txn, router.node_id, sequence)
    if report.wants:
        _add_wants(txn, router.node_id, report.wants)
    _release_unlisted(txn, router.node_id)
    return txn.commit()


def on_announcement(
    tables: Tables, seen: data.Announcement, now_ms: int
) -> Tables:
    """Takes an announcement that a controller received into the tables.

    Args:
      tables: Tables.
      seen: Announcement.
      now_ms: Present time.

    Returns:
      The new tables.
    """
    txn = Transaction(tables, now_ms)
    servers.announce(txn, seen)
    return txn.commit()


def known_servers(tables: Tables) -> messages.ServersKnown:
    """Returns what another leader needs to know of the servers."""
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


def take_over(
    tables: Tables,
    environment: data.Environment | None,
    known: messages.ServersKnown,
    now_ms: int,
) -> Tables:
    """Enters the servers that the former leader knew.

    Args:
      tables: Tables of a new leader.
      environment: Environment in force, None if there is none yet.
      known: What the former leader told.
      now_ms: Present time.

    Returns:
      The new tables.
    """
    txn = Transaction(tables, now_ms)
    if environment is not None:
        _take_environment(txn, environment)
    for seen in known.announcements:
        servers.announce(txn, seen)
    for kept in known.prompts:
        row = txn.servers.get(kept.server_id)
        if row is not None:
            load = engine_load.add_cached_parts(row.load, kept.parts)
            txn.servers[kept.server_id] = data.evolve(row, load=load)
    return txn.commit()


def on_departure(tables: Tables, server_id: str, now_ms: int) -> Tables:
    """Takes into the tables that a server has said that it leaves.

    Args:
      tables: Tables.
      server_id: The server.
      now_ms: Present time.

    Returns:
      The new tables.
    """
    txn = Transaction(tables, now_ms)
    servers.depart(txn, server_id)
    return txn.commit()


def _started(txn: Transaction, begun: data.StartedAnswer) -> None:
    key = (begun.term, begun.grant)
    grant = txn.grants.get(key)
    row = txn.servers.get(grant.server_id) if grant else None
    if row is not None and key in row.load.reservations:
        use = row.load.reservations[key]
        forecast.record_read_rate(txn, grant.service, use, begun.first_byte_ms)
        load = engine_load.mark_answer_started(row.load, key, txn.now_ms)
        txn.servers[grant.server_id] = data.evolve(row, load=load)


def _add_wants(
    txn: Transaction, router: str, wants: tuple[data.QueuedRequest, ...]
) -> None:
    row = txn.routers[router]
    places = row.queue_positions.mutate()
    for want in wants:
        if want.sequence not in places:
            places[want.sequence] = leader_queues.add(txn, router, want)
    txn.routers[router] = data.evolve(row, queue_positions=places.finish())


def _reconcile(
    txn: Transaction, router: data.RouterRef, report: messages.RouterReport
) -> None:
    """Replaces what is known of a router by its first report."""
    # An earlier process of the router has ended and uses no grant any more.
    txn.awaited_routers = txn.awaited_routers - {router.node_id}
    row = txn.routers[router.node_id]
    listed = {want.sequence for want in report.wants}
    for sequence in row.queue_positions:
        if sequence not in listed:
            leader_queues.drop(txn, router.node_id, sequence)
    in_use = {(running.term, running.grant) for running in report.running}
    for running in report.running:
        _adopt(txn, router, report.sent_ms, running)
    row = txn.routers[router.node_id]
    unlisted = [(key, None) for key in row.grants if key not in in_use]
    txn.routers[router.node_id] = data.evolve(
        row, unlisted=immutables.Map(unlisted)
    )


def _adopt(
    txn: Transaction,
    router: data.RouterRef,
    sent_ms: int,
    running: data.RunningRequest,
) -> None:
    """Counts a grant that a router lists as in use."""
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
            charged=_clean(running.cost),
            cost=_clean(running.cost),
            granted_ms=txn.now_ms,
            echo_ms=sent_ms,
            running=True,
        )
        place = (running.service, running.workspace)
        account = tables_module.account(txn, *place)
        txn.accounts[place] = dataclasses.replace(
            account, grants_in_use=account.grants_in_use + 1
        )
    orphans.adopt_grant(txn, key, running.server_id)
    row = txn.routers[router.node_id]
    txn.routers[router.node_id] = data.evolve(
        row, grants=row.grants.set(key, None)
    )


def _release_unlisted(txn: Transaction, router: str) -> None:
    """Releases grants whose update was lost."""
    row = txn.routers[router]
    for key in row.unlisted:
        grant = txn.grants.get(key)
        if grant is not None:
            if row.sent_ms < grant.echo_ms + messages.GRANT_LIFETIME_MS:
                continue
            _release(txn, key)
        row = txn.routers[router]
        row = data.evolve(row, unlisted=row.unlisted.delete(key))
        txn.routers[router] = row


def _release(txn: Transaction, key: tables_module.GrantKey) -> None:
    grant = txn.grants[key]
    txn.log_event(
        "grant_released",
        "the router does not hold it after a reconnect",
        router=grant.router,
        server=grant.server_id,
        grant=key[1],
        term=key[0],
    )
    cost = (
        orphans.estimate_unreported_cost(txn, grant) if grant.running else 0.0
    )
    _close(txn, key, cost)


def _clean(cost: float) -> float:
    """Returns a reported cost, or 0 if it is not a sensible number."""
    if not math.isfinite(cost) or cost < 0:
        return 0.0
    return min(cost, MAX_COST)


def _progress(
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
    cost = _clean(progress.cost)
    if cost > grant.charged:
        place = (grant.service, grant.workspace)
        txn.accounts[place] = fairness.add_cost(
            tables_module.account(txn, *place),
            cost - grant.charged,
            grant.weight or txn.scope.weight(grant.workspace),
        )
    txn.grants[key] = dataclasses.replace(
        grant,
        running=True,
        cost=max(cost, grant.cost),
        charged=max(cost, grant.charged),
    )


def _finish(txn: Transaction, router: str, ended: data.FinishedRequest) -> None:
    key = (ended.term, ended.grant)
    grant = txn.grants.get(key)
    if grant is None or grant.router != router:
        return
    outcome = ended.outcome
    unused = outcome is data.Outcome.NOT_DISPATCHED
    ran = not unused and outcome not in NOT_RUN
    cost = _clean(ended.cost) if ran else 0.0
    _close(txn, key, cost, None if unused else ended)
    if unused:
        _give_back(txn, grant)
        return
    if outcome is data.Outcome.COMPLETED and grant.digest in txn.suspicions:
        _clear(txn, grant.digest)
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
            outcome=outcome,
            first_byte_ms=ended.first_byte_ms,
            duration_ms=ended.duration_ms,
            at_ms=txn.now_ms,
            load=grant.server_load,
        )
    )


def _close(
    txn: Transaction,
    key: tables_module.GrantKey,
    cost: float,
    ended: data.FinishedRequest | None = None,
) -> None:
    """Frees the slot of a grant and corrects its charge.

    Args:
      txn: Tables.
      key: Grant.
      cost: Its real cost.
      ended: How its request ended, if it was dispatched and its end is known.
    """
    grant = txn.grants.pop(key)
    orphans.settle_charge(
        txn,
        grant,
        cost,
        ended is not None and ended.outcome not in NOT_RUN,
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
    freed = None
    if key in row.grants:
        freed = data.evolve(
            row,
            grants=row.grants.delete(key),
            isolated_grant=None
            if row.isolated_grant == key
            else row.isolated_grant,
            load=engine_load.remove_grant(row.load, key, txn.now_ms),
        )
    elif key in row.lost_grants:
        freed = data.evolve(
            row,
            lost_grants=row.lost_grants.delete(key),
            orphans=max(0, row.orphans - 1),
        )
    if ended and row.announcement.incarnation == grant.incarnation:
        observed = servers.observe(txn, freed or row, grant, ended)
        tables_module.store(txn, observed, between=freed)
    elif freed is not None:
        tables_module.store(txn, freed)


def _give_back(txn: Transaction, grant: data.GrantRow) -> None:
    """Takes an unused grant out of the version share."""
    pool = txn.pools.get(grant.service)
    if grant.candidate_share and pool is not None:
        txn.pools[grant.service] = data.evolve(
            pool,
            candidate_credit=placement.give_back(
                pool.candidate_credit,
                grant.candidate_share,
                grant.charged_to_candidate,
            ),
        )


def _clear(txn: Transaction, digest: str) -> None:
    """Clears a digest that has completed."""
    del txn.suspicions[digest]
    txn.log_event("suspect_cleared", "a run completed", digest=digest)


def on_router_lost(tables: Tables, router_node_id: str, now_ms: int) -> Tables:
    """Takes the loss of a router's connection into the tables.

    Args:
      tables: Tables.
      router_node_id: Node id of the router.
      now_ms: Present time.

    Returns:
      The new tables. The router's wants are gone, its grants stay counted.
    """
    txn = Transaction(tables, now_ms)
    _lose(txn, router_node_id, "connection lost")
    return txn.commit()


def _lose(txn: Transaction, node_id: str, reason: str) -> None:
    row = txn.routers.get(node_id)
    if row is None:
        return
    for sequence in row.queue_positions:
        leader_queues.drop(txn, node_id, sequence)
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
    """Runs every system once.

    Args:
      tables: Tables.
      policy: What the scheduler has to respect.
      now_ms: Present time.
      rng: Random generator; no present system draws from it.

    Returns:
      The new tables and the decisions.
    """
    del rng
    txn = Transaction(tables, now_ms)
    _take_environment(txn, policy.environment)
    tables_module.run_timers(txn)
    _take_drained(txn, policy.drained)
    _refuse_digests(txn, policy.refused_digests)
    waited = now_ms - txn.tables.created_ms
    if not txn.awaited_routers or waited >= messages.GRANT_LIFETIME_MS:
        txn.grants_allowed = True
    for service in sorted(
        {*_keys(txn, "backlog"), *_keys(txn, "isolated_queues")}
    ):
        _serve(txn, policy, service)
    decisions = Decisions(
        grants=tuple(txn.grant_decisions),
        refusals=tuple(txn.refusals),
        samples=tuple(txn.samples),
        crashed_digests=tuple(txn.digests_to_refuse),
        events=tuple(txn.events),
    )
    txn.samples.clear()
    txn.events.clear()
    txn.new_arrivals.clear()
    return Tick(txn.commit(), decisions)


def _serve(txn: Transaction, policy: data.Policy, service: str) -> None:
    """Refuses and grants wants of one service."""
    pool = txn.pools[service]
    if not pool.usable_count:
        granting.refuse_without_server(txn, service)
    if not txn.grants_allowed:
        return
    share = _share(txn, policy, service)
    forecast.refuse_late_arrivals(txn, service)
    forecast.refuse_overdue_requests(txn, service)
    if (
        service in txn.isolated_queues
        or pool.reserved_server
        or granting.any_free(txn, service, share)
    ):
        granting.serve(txn, service, share)
        _rebase(txn, service)


def _keys(txn: Transaction, name: str) -> tuple[Any, ...]:
    """Returns the keys of a table that stays open for changes."""
    table = getattr(txn, name).finish()
    setattr(txn, name, table.mutate())
    return tuple(table)


def _share(
    txn: Transaction, policy: data.Policy, service: str
) -> data.VersionShare:
    share = policy.shares.get(service)
    if share is not None:
        return share
    declared = txn.scope.services.get(service)
    return data.VersionShare(declared.version if declared else "")


def _take_environment(txn: Transaction, environment: data.Environment) -> None:
    if txn.scope.environment is environment:
        return
    txn.scope = tables_module.Scope(
        environment,
        immutables.Map(
            {service.id: service for service in environment.services}
        ),
        immutables.Map({row.id: row.weight for row in environment.workspaces}),
    )


def _take_drained(txn: Transaction, drained: frozenset[str]) -> None:
    restored = txn.drained - drained
    txn.drained = drained
    if restored:
        servers.restore(txn, restored)


def _refuse_digests(txn: Transaction, refused: frozenset[str]) -> None:
    """Refuses wants whose digest crashes servers."""
    changed = False
    if refused is not txn.refused_digests and refused != txn.refused_digests:
        changed = True
    txn.refused_digests = refused
    condemned = txn.crashing_digests.finish()
    txn.crashing_digests = condemned.mutate()
    for digest, at_ms in condemned.items():
        if digest in refused:
            del txn.crashing_digests[digest]
        elif at_ms < 0 or txn.now_ms - at_ms >= REPEAT_MS:
            changed = changed or at_ms < 0
            txn.crashing_digests[digest] = txn.now_ms
            txn.digests_to_refuse.append(digest)
    if changed:
        found = [
            (row.router, row.request.sequence)
            for row in leader_queues.all_wants(txn)
        ]
    else:
        found = txn.new_arrivals
    for router, sequence in found:
        row = txn.routers.get(router)
        place = row.queue_positions.get(sequence) if row else None
        if place is None:
            continue
        digest = _digest(txn, place)
        if digest and (digest in refused or digest in txn.crashing_digests):
            leader_queues.refuse(
                txn,
                router,
                sequence,
                errors.ErrorKind.REQUEST_CRASHES_SERVERS,
                "the digest is refused",
            )


def _digest(txn: Transaction, place: data.QueuePosition) -> str:
    if place.workspace == leader_queues.ALONE:
        lane = txn.isolated_queues[place.service]
    else:
        lane = txn.queues[(place.service, place.workspace)][
            place.avoided_servers
        ]
    return lane.entries[place.index].request.digest


def _rebase(txn: Transaction, service: str) -> None:
    """Shifts the counters of a service down before they lose precision."""
    own = txn.accounts.get((service, fairness.SERVICE_ACCOUNT))
    if own is None or own.counter <= fairness.REBASE_THRESHOLD:
        return
    accounts = txn.accounts.finish()
    txn.accounts = accounts.mutate()
    found = (
        (workspace, account)
        for (name, workspace), account in accounts.items()
        if name == service
    )
    waiting_now = txn.backlog.get(service, _EMPTY)
    for workspace, account in fairness.rebase_counters(
        found, waiting_now, own.counter
    ):
        txn.accounts[(service, workspace)] = account


# ---------------------------------------------------------------------------
# Status
# ---------------------------------------------------------------------------


def overview(tables: Tables, now_ms: int) -> dict[str, list[dict[str, Any]]]:
    """Returns the scheduler's part of the status.

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
            _server_status(tables, row, now_ms)
            for _, row in sorted(tables.servers.items())
        ],
        "workspaces": [
            {
                "service": service,
                "id": workspace,
                "waiting": sum(
                    len(lane.entries)
                    for lane in tables.queues.get(
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


def _server_status(
    tables: Tables, row: data.ServerRow, now_ms: int
) -> dict[str, Any]:
    seen = row.announcement
    return {
        "id": seen.server_id,
        "service": seen.service,
        "version": seen.version,
        "data_centre": seen.data_centre,
        "phase": _phase(tables, row),
        "limit": row.slot_limit.limit,
        "slots": seen.slots,
        "in_use": placement.in_use(row),
        "seen_ms_ago": now_ms - row.announced_ms,
    }


def _phase(tables: Tables, row: data.ServerRow) -> str:
    """Returns the first state that applies."""
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
