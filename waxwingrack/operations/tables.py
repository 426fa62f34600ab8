"""Tables of the scheduler and their indexes.

`Tables` is immutable. During one call, the systems share a `Transaction`, which
holds a mutable copy of each table; copies are cheap, as tables share structure.
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

# Timers run in steps of this many milliseconds.
TIMER_STEP_MS = 50
# Levels of load that the index of free servers tells apart.
LOAD_LEVELS = 8
# An odd multiplier permutes the numbers modulo 2**32. Servers of equal load
# are then taken in scattered order in place of always the first one.
_SCATTER = 2_654_435_761
_SCATTER_MASK = 0xFFFFFFFF

GrantKey = tuple[int, int]


@dataclasses.dataclass(frozen=True)
class EnvironmentIndex:
    """Parts of the environment by id.

    Attributes:
      environment: Environment that the other attributes were taken from.
      services: Services by id.
      weights: Weights by workspace.
    """

    environment: data.Environment | None = None
    services: immutables.Map = immutables.Map()
    weights: immutables.Map = immutables.Map()

    def cost_meter(self, service: str) -> data.CostMeter:
        """Returns the cost meter of a service."""
        found = self.services.get(service)
        return found.cost_meter if found else data.CostMeter.SLOT_MS

    def engine(self, service: str) -> data.Engine | None:
        """Returns the memory of a service's model engines, if it has any."""
        found = self.services.get(service)
        return found.engine if found else None

    def isolates_suspects(self, service: str) -> bool:
        """Returns whether suspected requests of a service run alone."""
        found = self.services.get(service)
        return found is None or found.isolate_suspects

    def weight(self, workspace: str) -> float:
        """Returns the weight of a workspace."""
        return self.weights.get(workspace, 1.0)


@dataclasses.dataclass(frozen=True)
class Tables:
    """State of the scheduler at the leader.

    Attributes:
      term: Term of the leader.
      created_ms: Time at which the leader took over.
      awaited_routers: Node ids of routers that have not reported yet.
      grants_allowed: Whether grants are no longer withheld.
      next_grant: Id of the next grant.
      next_arrival: Number of the next queued request.
      next_key: Number of the next insertion into the index of free servers.
      next_timer: Number of the next timer step.
      accounts: `data.Account` by (service, workspace).
      pools: `data.PoolRow` by service.
      queues: Maps from avoided servers to `data.RequestQueue`, by (service,
        workspace).
      backlog: Workspaces with queued requests, by service.
      isolated_queues: `data.RequestQueue` of requests that run isolated, by
        service.
      servers: `data.ServerRow` by server id.
      usable_servers: Usable servers by (service, version, data centre).
      free_servers: Servers with a free slot by (service, version, data centre,
        level of load).
      free_counts: Number of servers with a free slot by (service, version,
        data centre).
      free_totals: Number of servers with a free slot by (service, version).
      prefix_holders: Servers by (service, prompt prefix).
      unannounced_grants: Grants in use by server without a row.
      routers: `data.RouterRow` by node id.
      grants: `data.GrantRow` by (term, id).
      latencies: `data.LatencyMedian` by (service, version, data centre, route).
      suspicions: `data.CrashSuspicion` by request digest.
      crashing_digests: Time of the latest report by digest to be refused.
      timers: Due entries by timer step.
      broken_connections: `data.BrokenConnections` by (server id, incarnation).
      drained: Drained data centres at the last tick.
      refused_digests: Refused digests at the last tick.
      environment_index: Environment at the last tick.
      new_arrivals: Positions of requests queued since the last tick.
      samples: Samples since the last tick.
      events: Log lines since the last tick.
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
    timers: immutables.Map = immutables.Map()
    broken_connections: immutables.Map = immutables.Map()
    drained: frozenset[str] = frozenset()
    refused_digests: frozenset[str] = frozenset()
    environment_index: EnvironmentIndex = EnvironmentIndex()
    new_arrivals: tuple[tuple[str, int], ...] = ()
    samples: tuple[data.RequestSample, ...] = ()
    events: tuple[data.SchedulerEvent, ...] = ()


# Fields of `Tables` by how `Transaction` holds them: as a map open for changes,
# the value itself, or a list. The term and the time of creation never change.
_OPEN_MAPS = tuple(
    field.name
    for field in dataclasses.fields(Tables)
    if field.type is immutables.Map and field.name != "broken_connections"
)
_LISTS = ("new_arrivals", "samples", "events")
_REPLACED = tuple(
    field.name
    for field in dataclasses.fields(Tables)
    if field.name not in (*_OPEN_MAPS, *_LISTS, "term", "created_ms")
)


class Transaction:
    """Mutable copy of the tables for the length of one call.

    Attributes:
      tables: Tables at the start.
      now_ms: Present time.
      grant_decisions: Grants decided in this call.
      refusals: Refusals decided in this call, as (router, refusal, reason).
      digests_to_refuse: Digests to be refused, found in this call.
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
        self.drained = tables.drained
        self.refused_digests = tables.refused_digests
        self.environment_index = tables.environment_index
        self.new_arrivals = list(tables.new_arrivals)
        self.samples = list(tables.samples)
        self.events = list(tables.events)
        self.grant_decisions: list[data.GrantDecision] = []
        self.refusals: list[tuple[str, Any, str]] = []
        self.digests_to_refuse: list[str] = []

    def commit(self) -> Tables:
        """Returns the tables with every change of this call."""
        # Runs twice or more for each grant; `data.evolve` with all these
        # fields takes twice as long.
        changed = object.__new__(Tables)
        fields, own = vars(changed), vars(self)
        fields.update(vars(self.tables))
        for name in _OPEN_MAPS:
            fields[name] = own[name].finish()
        for name in _REPLACED:
            fields[name] = own[name]
        for name in _LISTS:
            fields[name] = tuple(own[name])
        return changed

    def log_event(self, name: str, reason: str, **fields: Any) -> None:
        """Adds a log line."""
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
    """Runs the timer function `kind` with `key` at the first tick after a time.

    Args:
      txn: Tables.
      at_ms: Time.
      kind: Name in `TIMERS`.
      key: Argument; the same pair of kind and key is kept once per step.
    """
    step = max(txn.next_timer, -(-at_ms // TIMER_STEP_MS))
    due = txn.timers.get(step, immutables.Map())
    txn.timers[step] = due.set((kind, key), None)


def run_timers(txn: Transaction) -> None:
    """Runs every timer that is due."""
    last = txn.now_ms // TIMER_STEP_MS
    if last - txn.next_timer > len(txn.timers):
        timers = txn.timers.finish()
        txn.timers = timers.mutate()
        steps = sorted(step for step in timers if step <= last)
    else:
        steps = range(txn.next_timer, last + 1)
    txn.next_timer = max(txn.next_timer, last + 1)
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
    found = txn.accounts.get((service, workspace))
    if found is not None:
        return found
    own = txn.accounts.get((service, fairness.SERVICE_ACCOUNT))
    return data.Account(counter=own.counter if own else 0.0)


# ---------------------------------------------------------------------------
# Backend servers and their indexes
# ---------------------------------------------------------------------------


def is_usable(row: data.ServerRow) -> bool:
    """Tells whether a server is announced and stays."""
    return not row.stale and not row.announcement.departing


def iter_usable_servers(
    txn: Transaction, service: str
) -> Iterator[data.ServerRow]:
    """Yields the servers of a service that are announced and stay."""
    for version, data_centre in txn.pools[service].server_counts:
        for server_id in txn.usable_servers[(service, version, data_centre)]:
            yield txn.servers[server_id]


def _group(row: data.ServerRow | None) -> tuple[str, str, str] | None:
    if row is None or not is_usable(row):
        return None
    seen = row.announcement
    return (seen.service, seen.version, seen.data_centre)


def free_index_key(
    row: data.ServerRow | None,
) -> tuple[str, str, str, int] | None:
    """Returns the place of a server in the index of free servers."""
    group = _group(row)
    if (
        group is None
        or row.paused
        or row.blocked
        or row.reserved_for_isolation
        or row.cold_limit_reached
        or row.isolated_grant is not None
    ):
        return None
    used = placement.count_used_slots(row)
    if used >= row.slot_limit.limit:
        return None
    return (*group, used * LOAD_LEVELS // row.slot_limit.limit)


def _remove(table: Any, key: Any, member: Any) -> None:
    members = table[key].delete(member)
    if members:
        table[key] = members
    else:
        del table[key]


def _add(table: Any, key: Any, member: Any, value: Any = None) -> None:
    table[key] = table.get(key, immutables.Map()).set(member, value)


def _count(txn: Transaction, group: tuple[str, str, str], change: int) -> None:
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
    """Returns the row of a service; a new one has no usable server."""
    row = txn.pools.get(service)
    if row is None:
        row = data.PoolRow(no_server_since_ms=txn.now_ms)
        txn.pools[service] = row
    return row


def store_server(
    txn: Transaction, row: data.ServerRow, between: data.ServerRow | None = None
) -> data.ServerRow:
    """Stores a server's row and keeps the indexes in step.

    Args:
      txn: Tables.
      row: New row.
      between: Row that would have been stored before this one. The servers of
        equal load are ordered as if it had been.

    Returns:
      The row as stored.
    """
    server_id = row.announcement.server_id
    old = txn.servers.get(server_id)
    before, after = free_index_key(old), free_index_key(row)
    middle = after if between is None else free_index_key(between)
    if middle != before or middle != after:
        if before is not None:
            _remove(txn.free_servers, before, old.key)
        # The number is that of the last insertion that the steps need.
        if middle is not None and middle != before:
            row = _numbered(txn, row)
        if after is not None and after != middle:
            row = _numbered(txn, row)
        if after is not None:
            _add(txn.free_servers, after, row.key, server_id)
        if before is None or after is None or before[:3] != after[:3]:
            if before is not None:
                _count(txn, before[:3], -1)
            if after is not None:
                _count(txn, after[:3], 1)
    if (
        old is None
        or old.announcement is not row.announcement
        or old.stale != row.stale
    ):
        _store_group(txn, server_id, _group(old), _group(row))
    txn.servers[server_id] = row
    return row


def _numbered(txn: Transaction, row: data.ServerRow) -> data.ServerRow:
    """Returns a row with a new number in the index of free servers."""
    key = (txn.next_key * _SCATTER) & _SCATTER_MASK
    txn.next_key += 1
    return data.evolve(row, key=key)


def _store_group(
    txn: Transaction,
    server_id: str,
    before: tuple[str, str, str] | None,
    after: tuple[str, str, str] | None,
) -> None:
    if before == after:
        return
    for group, change in ((before, -1), (after, 1)):
        if group is None:
            continue
        if change < 0:
            _remove(txn.usable_servers, group, server_id)
        else:
            _add(txn.usable_servers, group, server_id)
        row = get_pool(txn, group[0])
        place = group[1:]
        count = row.server_counts.get(place, 0) + change
        txn.pools[group[0]] = data.evolve(
            row,
            server_counts=row.server_counts.set(place, count)
            if count
            else row.server_counts.delete(place),
            usable_count=row.usable_count + change,
            no_server_since_ms=txn.now_ms
            if row.usable_count + change == 0
            else row.no_server_since_ms,
        )


def replace_prefixes(
    txn: Transaction,
    row: data.ServerRow,
    prefixes: data.PrefixCache,
    touched: Iterable[str],
) -> data.ServerRow:
    """Replaces a server's known prefixes.

    Args:
      txn: Tables.
      row: Row of the server, not stored yet.
      prefixes: New prefixes.
      touched: Prefixes that may have been added or removed.

    Returns:
      The row with the new prefixes.
    """
    seen = row.announcement
    for prefix in touched:
        before = prefix in row.prefix_cache.stored
        after = prefix in prefixes.stored
        if after and not before:
            _add(txn.prefix_holders, (seen.service, prefix), seen.server_id)
        if before and not after:
            _remove(txn.prefix_holders, (seen.service, prefix), seen.server_id)
    return data.evolve(row, prefix_cache=prefixes)
