"""Observations of `capacity.py` from the scheduler's tables.

Demand is assigned to the data centre of the router that has the request, since
that is where placement looks for a server first. Loads that servers announce
are not used: used slots are those of the leader's own grants.
"""

from collections.abc import Iterable
import statistics

import immutables

from waxwingrack.core import data
from waxwingrack.operations import capacity
from waxwingrack.operations import contention
from waxwingrack.operations import forecast
from waxwingrack.operations import tables as tables_module

_EMPTY = immutables.Map()


def list_observations(
    tables: tables_module.Tables, now_ms: int
) -> tuple[capacity.Observation, ...]:
    """Returns one observation for each scaled service and data centre.

    Args:
      tables: Tables of the scheduler, after a tick.
      now_ms: Present time.

    Returns:
      Observations of every data centre that has servers of the service or
      routers with requests for it, sorted by service and data centre.
    """
    scaled = [
        service
        for _, service in sorted(tables.environment_index.services.items())
        if service.scaling is not None
    ]
    if not scaled:
        return ()
    # One pass over servers and grants for all services.
    servers: dict[str, list[data.ServerRow]] = {row.id: [] for row in scaled}
    for row in tables.servers.values():
        if row.announcement.service in servers:
            servers[row.announcement.service].append(row)
    used = _count_used_slots(tables, servers)
    return tuple(
        observation
        for service in scaled
        for observation in _observe_service(
            tables, service, servers[service.id], used, now_ms
        )
    )


def _count_used_slots(
    tables: tables_module.Tables, services: Iterable[str]
) -> dict[tuple[str, str], int]:
    counts: dict[tuple[str, str], int] = {}
    for grant in tables.grants.values():
        if grant.service in services:
            router = tables.routers.get(grant.router)
            data_centre = router.ref.data_centre if router else ""
            key = grant.service, data_centre or grant.data_centre
            counts[key] = counts.get(key, 0) + 1
    return counts


def _count_queued(tables: tables_module.Tables, service: str) -> dict[str, int]:
    counts: dict[str, int] = {}
    for workspace in tables.backlog.get(service, _EMPTY):
        for queue in tables.queues[(service, workspace)].values():
            for entry in queue.entries.values():
                router = tables.routers.get(entry.router)
                name = router.ref.data_centre if router else ""
                counts[name] = counts.get(name, 0) + 1
    return counts


def _observe_service(
    tables: tables_module.Tables,
    service: data.Service,
    rows: list[data.ServerRow],
    used: dict[tuple[str, str], int],
    now_ms: int,
) -> list[capacity.Observation]:
    queued = _count_queued(tables, service.id)
    pool = tables.pools.get(service.id) or data.PoolRow()
    load = tables.contention.get(service.id) or contention.ServiceLoad()
    usable = [row for row in rows if tables_module.is_usable(row)]
    # The median is not moved by a few servers that announce wrong slots.
    slots = statistics.median(
        [row.slot_limit.announced_slots for row in usable] or [0]
    )
    rate = pool.read_rate or forecast.DEFAULT_TOKENS_PER_MS
    names = {row.announcement.data_centre for row in rows}
    names.update(queued)
    names.update(
        name for owner, name in (*tables.traffic, *used) if owner == service.id
    )
    return [
        capacity.Observation(
            service=service.id,
            data_centre=name,
            scaling=service.scaling,
            at_ms=now_ms,
            traffic=tables.traffic.get(
                (service.id, name), data.ServiceTraffic()
            ),
            return_ratio=load.return_ratio,
            queued=queued.get(name, 0),
            used_slots=used.get((service.id, name), 0),
            slots_per_server=float(slots),
            read_ms_per_token=pool.unread_share / rate if service.engine else 0,
            servers=_count_servers(rows, name, now_ms),
            drained=name in tables.drained,
        )
        for name in sorted(names)
    ]


def _count_servers(
    rows: list[data.ServerRow], data_centre: str, now_ms: int
) -> capacity.ServerCounts:
    own = [row for row in rows if row.announcement.data_centre == data_centre]
    usable = [row for row in own if tables_module.is_usable(row)]
    cold = sum(now_ms < row.cold_until_ms for row in usable)
    return capacity.ServerCounts(
        serving=len(usable) - cold,
        cold=cold,
        departing=sum(row.announcement.departing for row in own),
        stale=sum(row.stale for row in own),
    )
