"""Tables of the scheduler and their indexes.

`Tables` is immutable. All functions of one call share a `Transaction`, which
holds a mutable copy of each table. The copies are cheap, since they share
structure with the tables.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Any

import immutables

from waxwingrack.core import data
from waxwingrack.core import registry
from waxwingrack.operations import fairness
from waxwingrack.operations import placement

# Resolution of the timers.
TIMER_STEP_MS = 50
# Load levels that the index of free servers distinguishes.
LOAD_LEVELS = 8
# An odd multiplier permutes the numbers modulo 2**32, so servers of equal load
# are taken in scattered order and not always from the first one on.
_SCATTER_MULTIPLIER = 2_654_435_761
_SCATTER_MASK = 0xFFFFFFFF

GrantKey = tuple[int, int]


@dataclasses.dataclass(frozen=True)
class EnvironmentIndex:
    """Index of the environment's services and workspaces by id.

    Attributes:
      environment: The indexed environment; None if there is none yet.
      services: Services by id.
      weights: Weights by workspace.
    """

    environment: data.Environment | None = None
    services: immutables.Map = immutables.Map()
    weights: immutables.Map = immutables.Map()

    def cost_meter(self, service: str) -> data.CostMeter:
        """Returns the cost meter of a service."""
        declared = self.services.get(service)
        return declared.cost_meter if declared else data.CostMeter.SLOT_MS

    def engine(self, service: str) -> data.Engine | None:
        """Returns the model engine settings of a service, if it has any."""
        declared = self.services.get(service)
        return declared.engine if declared else None

    def isolates_suspects(self, service: str) -> bool:
        """Returns whether crash suspects of a service run isolated."""
        declared = self.services.get(service)
        return declared is None or declared.isolate_suspects

    def announces_cold(self, service: str) -> bool:
        """Returns whether servers of a service announce that they are cold."""
        declared = self.services.get(service)
        return declared is not None and declared.announces_cold

    def has_max_min_shares(self, service: str) -> bool:
        """Returns whether a service is divided by max-min shares."""
        declared = self.services.get(service)
        return declared is not None and declared.max_min_shares

    def learns_speeds(self, service: str) -> bool:
        """Returns whether the speeds of a service's servers are learned."""
        declared = self.services.get(service)
        return declared is not None and declared.learn_speeds

    def weight(self, workspace: str) -> float:
        """Returns the weight of a workspace."""
        return self.weights.get(workspace, 1.0)


@dataclasses.dataclass(frozen=True)
class Tables:
    """State of the scheduler at the leader.

    Attributes:
      term: Term of the leader.
      created_ms: Time at which the leader took over.
      awaited_routers: Node ids of known routers that have not reported yet.
      grants_allowed: Whether grants may be made; a new leader withholds them
        at first.
      next_grant: Id of the next grant.
      next_arrival: Number of the next queued request.
      next_key: Number of the next entry in the index of free servers.
      next_timer: Number of the next timer step.
      accounts: `data.Account` by (service, workspace).
      pools: `data.PoolRow` by service.
      queues: Maps from avoided servers to `data.RequestQueue`, by (service,
        workspace).
      backlog: Maps from each workspace with queued requests to whether its
        counter has yet to be started, by service.
      isolated_queues: `data.RequestQueue` of requests that run isolated, by
        service.
      servers: `data.ServerRow` by server id.
      usable_servers: Usable servers by (service, version, data centre).
      free_servers: Servers with a free slot by (service, version, data centre,
        load level).
      free_counts: Number of servers with a free slot by (service, version,
        data centre).
      free_totals: Number of servers with a free slot by (service, version).
      prefix_holders: Servers by (service, prompt prefix).
      unannounced_grants: Grants in use by id of a server that has no row.
      routers: `data.RouterRow` by node id.
      grants: `data.GrantRow` by (term, id).
      latencies: `data.LatencyMedian` by (service, version, data centre, route).
      suspicions: `data.CrashSuspicion` by request digest.
      crashing_digests: Time of the tick that last reported a digest to be
        refused, by digest; negative if none has.
      pauses: `data.ServerPause` by (router, server id).
      contention: `contention.ServiceLoad` by service.
      traffic: `data.ServiceTraffic` by (service, data centre of the router),
        for services that the leader scales.
      timers: Pairs of timer kind and key, by timer step.
      broken_connections: `data.BrokenConnections` by (server id, incarnation).
      evidence_ms: Time at which the former leader sent the evidence about
        crashes that is in the tables; negative without any.
      drained: Drained data centres at the last tick.
      refused_digests: Refused digests at the last tick.
      environment_index: Index of the environment at the last tick.
      new_arrivals: Router and sequence number of each request that was queued
        since the last tick.
      samples: Samples since the last tick.
      events: Events to log since the last tick.
      ended_servers: Incarnations that stopped to be usable since the last tick.
    """

    term: int
    created_ms: int
    awaited_routers: frozenset[str] = frozenset()
    grants_allowed: bool = False
    next_grant: int = 1
    next_arrival: int = 1
    next_key: int = 1
    next_timer: int = 0
    accounts: immutables.Map = immutables.Map()
    pools: immutables.Map = immutables.Map()
    queues: immutables.Map = immutables.Map()
    backlog: immutables.Map = immutables.Map()
    isolated_queues: immutables.Map = immutables.Map()
    servers: immutables.Map = immutables.Map()
    usable_servers: immutables.Map = immutables.Map()
    free_servers: immutables.Map = immutables.Map()
    free_counts: immutables.Map = immutables.Map()
    free_totals: immutables.Map = immutables.Map()
    prefix_holders: immutables.Map = immutables.Map()
    unannounced_grants: immutables.Map = immutables.Map()
    routers: immutables.Map = immutables.Map()
    grants: immutables.Map = immutables.Map()
    latencies: immutables.Map = immutables.Map()
    suspicions: immutables.Map = immutables.Map()
    crashing_digests: immutables.Map = immutables.Map()
    pauses: immutables.Map = immutables.Map()
    contention: immutables.Map = immutables.Map()
    traffic: immutables.Map = immutables.Map()
    timers: immutables.Map = immutables.Map()
    broken_connections: immutables.Map = immutables.Map()
    evidence_ms: int = -1
    drained: frozenset[str] = frozenset()
    refused_digests: frozenset[str] = frozenset()
    environment_index: EnvironmentIndex = EnvironmentIndex()
    new_arrivals: tuple[tuple[str, int], ...] = ()
    samples: tuple[data.RequestSample, ...] = ()
    events: tuple[data.SchedulerEvent, ...] = ()
    ended_servers: tuple[data.EndedServer, ...] = ()


# Fields of `Tables` by how `Transaction` holds them: as a mutable map, as the
# value itself or as a list. The term and the time of creation never change.
_MUTABLE_MAPS = tuple(
    field.name
    for field in dataclasses.fields(Tables)
    if field.type is immutables.Map and field.name != "broken_connections"
)
_LIST_FIELDS = ("new_arrivals", "samples", "events", "ended_servers")
_VALUE_FIELDS = tuple(
    field.name
    for field in dataclasses.fields(Tables)
    if field.name not in (*_MUTABLE_MAPS, *_LIST_FIELDS, "term", "created_ms")
)


class Transaction:
    """Mutable copy of the tables for the length of one call.

    Attributes:
      tables: Tables at the start of the call.
      now_ms: Present time.
      grant_decisions: Grants decided in this call.
      refusals: Refusals decided in this call, as (router, refusal, reason).
      digests_to_refuse: Crash suspects to be refused, found in this call.
      suspects_to_release: Crash suspects whose refusal ends with this call.
    """

    def __init__(self, tables: Tables, now_ms: int):
        self.tables = tables
        self.now_ms = now_ms
        self.accounts = tables.accounts.mutate()
        self.pools = tables.pools.mutate()
        self.queues = tables.queues.mutate()
        self.backlog = tables.backlog.mutate()
        self.isolated_queues = tables.isolated_queues.mutate()
        self.servers = tables.servers.mutate()
        self.usable_servers = tables.usable_servers.mutate()
        self.free_servers = tables.free_servers.mutate()
        self.free_counts = tables.free_counts.mutate()
        self.prefix_holders = tables.prefix_holders.mutate()
        self.unannounced_grants = tables.unannounced_grants.mutate()
        self.routers = tables.routers.mutate()
        self.grants = tables.grants.mutate()
        self.latencies = tables.latencies.mutate()
        self.suspicions = tables.suspicions.mutate()
        self.crashing_digests = tables.crashing_digests.mutate()
        self.pauses = tables.pauses.mutate()
        self.contention = tables.contention.mutate()
        self.traffic = tables.traffic.mutate()
        self.timers = tables.timers.mutate()
        self.free_totals = tables.free_totals.mutate()
        self.term = tables.term
        self.awaited_routers = tables.awaited_routers
        self.grants_allowed = tables.grants_allowed
        self.next_grant = tables.next_grant
        self.next_arrival = tables.next_arrival
        self.next_key = tables.next_key
        self.next_timer = tables.next_timer
        self.broken_connections = tables.broken_connections
        self.evidence_ms = tables.evidence_ms
        self.drained = tables.drained
        self.refused_digests = tables.refused_digests
        self.environment_index = tables.environment_index
        self.new_arrivals = list(tables.new_arrivals)
        self.samples = list(tables.samples)
        self.events = list(tables.events)
        self.ended_servers = list(tables.ended_servers)
        self.grant_decisions: list[data.GrantDecision] = []
        self.refusals: list[tuple[str, Any, str]] = []
        self.digests_to_refuse: list[str] = []
        self.suspects_to_release: list[str] = []

    def commit(self) -> Tables:
        """Returns the tables with every change of this call."""
        # Runs at least twice for each grant. `data.evolve` takes twice as long
        # with this many fields.
        committed = object.__new__(Tables)
        committed_fields, current = vars(committed), vars(self)
        committed_fields.update(vars(self.tables))
        for name in _MUTABLE_MAPS:
            committed_fields[name] = current[name].finish()
        for name in _VALUE_FIELDS:
            committed_fields[name] = current[name]
        for name in _LIST_FIELDS:
            committed_fields[name] = tuple(current[name])
        return committed

    def log_event(self, name: str, reason: str, **fields: Any) -> None:
        """Adds an event to be logged after the tick."""
        self.events.append(
            data.SchedulerEvent(name, reason, immutables.Map(fields))
        )


# ---------------------------------------------------------------------------
# Timers
# ---------------------------------------------------------------------------

TIMERS: registry.Registry[str, Callable[[Transaction, Any], None]] = (
    registry.Registry("timer")
)


def set_timer(txn: Transaction, at_ms: int, kind: str, key: Any) -> None:
    """Schedules a timer function for the first tick after a time.

    Args:
      txn: Tables.
      at_ms: Time.
      kind: Name of the function in `TIMERS`.
      key: Argument of the function. Each pair of kind and key is kept only
        once per step.
    """
    step = max(txn.next_timer, -(-at_ms // TIMER_STEP_MS))
    entries = txn.timers.get(step, immutables.Map())
    txn.timers[step] = entries.set((kind, key), None)


def run_timers(txn: Transaction) -> None:
    """Runs all due timers."""
    last_step = txn.now_ms // TIMER_STEP_MS
    if last_step - txn.next_timer > len(txn.timers):
        timers = txn.timers.finish()
        txn.timers = timers.mutate()
        steps = sorted(step for step in timers if step <= last_step)
    else:
        steps = range(txn.next_timer, last_step + 1)
    txn.next_timer = max(txn.next_timer, last_step + 1)
    for step in steps:
        for kind, key in txn.timers.pop(step, immutables.Map()):
            TIMERS[kind](txn, key)


# ---------------------------------------------------------------------------
# Accounts
# ---------------------------------------------------------------------------


def get_account(txn: Transaction, service: str, workspace: str) -> data.Account:
    """Returns the account of a workspace at a service.

    A workspace without an account starts at the virtual time of the service.
    """
    known_account = txn.accounts.get((service, workspace))
    if known_account is not None:
        return known_account
    service_account = txn.accounts.get((service, fairness.SERVICE_ACCOUNT))
    return data.Account(
        counter=service_account.counter if service_account else 0.0
    )


# ---------------------------------------------------------------------------
# Backend servers and their indexes
# ---------------------------------------------------------------------------


def is_usable(row: data.ServerRow) -> bool:
    """Tells whether a server is neither stale nor departing."""
    return not row.stale and not row.announcement.departing


def iter_usable_servers(
    txn: Transaction, service: str
) -> Iterator[data.ServerRow]:
    """Yields the usable servers of a service."""
    for version, data_centre in txn.pools[service].server_counts:
        for server_id in txn.usable_servers[(service, version, data_centre)]:
            yield txn.servers[server_id]


def _usable_group(row: data.ServerRow | None) -> tuple[str, str, str] | None:
    if row is None or not is_usable(row):
        return None
    announcement = row.announcement
    return (
        announcement.service,
        announcement.version,
        announcement.data_centre,
    )


def has_free_slot(row: data.ServerRow) -> bool:
    """Tells whether a usable server may get one more request."""
    return not (
        row.paused
        or row.blocked
        or row.reserved_for_isolation
        or row.cold_limit_reached
        or (row.rate_limit is not None and row.rate_limit.reached)
        or row.isolated_grant is not None
        or placement.count_used_slots(row) >= row.slot_limit.limit
    )


def free_index_key(
    row: data.ServerRow | None,
) -> tuple[str, str, str, int] | None:
    """Returns a server's key in the index of free servers.

    Returns:
      Service, version, data centre and load level; None if the server has no
      free slot or may not be used.
    """
    group = _usable_group(row)
    if group is None or not has_free_slot(row):
        return None
    used_slots = placement.count_used_slots(row)
    return (*group, used_slots * LOAD_LEVELS // row.slot_limit.limit)


def _remove_member(table: Any, key: Any, member: Any) -> None:
    members = table[key].delete(member)
    if members:
        table[key] = members
    else:
        del table[key]


def _add_member(table: Any, key: Any, member: Any, value: Any = None) -> None:
    table[key] = table.get(key, immutables.Map()).set(member, value)


def _adjust_free_counts(
    txn: Transaction, group: tuple[str, str, str], change: int
) -> None:
    for table, key in (
        (txn.free_counts, group),
        (txn.free_totals, group[:2]),
    ):
        count = table.get(key, 0) + change
        if count:
            table[key] = count
        else:
            del table[key]


def get_pool(txn: Transaction, service: str) -> data.PoolRow:
    """Returns the row of a service, and adds one if there is none."""
    row = txn.pools.get(service)
    if row is None:
        row = data.PoolRow(no_server_since_ms=txn.now_ms)
        txn.pools[service] = row
    return row


def store_server(
    txn: Transaction, row: data.ServerRow, between: data.ServerRow | None = None
) -> data.ServerRow:
    """Stores a server's row and updates the indexes.

    Args:
      txn: Tables.
      row: New row.
      between: Intermediate row of a change in two steps. Servers of equal load
        are ordered as if it had been stored first.

    Returns:
      The row as stored.
    """
    server_id = row.announcement.server_id
    old_row = txn.servers.get(server_id)
    old_key, new_key = free_index_key(old_row), free_index_key(row)
    between_key = new_key if between is None else free_index_key(between)
    if between_key != old_key or between_key != new_key:
        if old_key is not None:
            _remove_member(txn.free_servers, old_key, old_row.key)
        # Each step that inserts the server takes a new number; the last one
        # counts.
        if between_key is not None and between_key != old_key:
            row = _assign_index_key(txn, row)
        if new_key is not None and new_key != between_key:
            row = _assign_index_key(txn, row)
        if new_key is not None:
            _add_member(txn.free_servers, new_key, row.key, server_id)
        if old_key is None or new_key is None or old_key[:3] != new_key[:3]:
            if old_key is not None:
                _adjust_free_counts(txn, old_key[:3], -1)
            if new_key is not None:
                _adjust_free_counts(txn, new_key[:3], 1)
    if (
        old_row is None
        or old_row.announcement is not row.announcement
        or old_row.stale != row.stale
    ):
        _move_usable_server(
            txn, server_id, _usable_group(old_row), _usable_group(row)
        )
        _note_end(txn, old_row, row)
    txn.servers[server_id] = row
    return row


def _note_end(
    txn: Transaction, old_row: data.ServerRow | None, row: data.ServerRow
) -> None:
    """Notes that an incarnation departs, went stale or was replaced."""
    if old_row is None or not is_usable(old_row):
        return
    former = old_row.announcement
    if not is_usable(row) or row.announcement.incarnation != former.incarnation:
        txn.ended_servers.append(
            data.EndedServer(former.address, former.incarnation)
        )


def _assign_index_key(txn: Transaction, row: data.ServerRow) -> data.ServerRow:
    """Returns a row with a new key for the index of free servers."""
    key = (txn.next_key * _SCATTER_MULTIPLIER) & _SCATTER_MASK
    txn.next_key += 1
    return data.evolve(row, key=key)


def _move_usable_server(
    txn: Transaction,
    server_id: str,
    old_group: tuple[str, str, str] | None,
    new_group: tuple[str, str, str] | None,
) -> None:
    if old_group == new_group:
        return
    for group, change in ((old_group, -1), (new_group, 1)):
        if group is None:
            continue
        if change < 0:
            _remove_member(txn.usable_servers, group, server_id)
        else:
            _add_member(txn.usable_servers, group, server_id)
        row = get_pool(txn, group[0])
        count_key = group[1:]
        count = row.server_counts.get(count_key, 0) + change
        txn.pools[group[0]] = data.evolve(
            row,
            server_counts=row.server_counts.set(count_key, count)
            if count
            else row.server_counts.delete(count_key),
            usable_count=row.usable_count + change,
            no_server_since_ms=txn.now_ms
            if row.usable_count + change == 0
            else row.no_server_since_ms,
        )


def replace_prefixes(
    txn: Transaction,
    row: data.ServerRow,
    prefixes: data.PrefixCache,
    changed_prefixes: Iterable[str],
) -> data.ServerRow:
    """Replaces a server's known prefixes and updates the index.

    Args:
      txn: Tables.
      row: Row of the server, not stored yet.
      prefixes: New prefixes.
      changed_prefixes: Prefixes that may have been added or removed.

    Returns:
      The row with the new prefixes.
    """
    announcement = row.announcement
    for prefix in changed_prefixes:
        was_stored = prefix in row.prefix_cache.stored
        is_stored = prefix in prefixes.stored
        if is_stored and not was_stored:
            _add_member(
                txn.prefix_holders,
                (announcement.service, prefix),
                announcement.server_id,
            )
        if was_stored and not is_stored:
            _remove_member(
                txn.prefix_holders,
                (announcement.service, prefix),
                announcement.server_id,
            )
    return data.evolve(row, prefix_cache=prefixes)
