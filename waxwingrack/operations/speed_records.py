"""Records the speeds of backend servers in the leader's tables.

The rules are in `server_speeds`. The reading rate of model engines is recorded
by `forecast.record_read_rate`.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any

from waxwingrack.core import data
from waxwingrack.operations import forecast
from waxwingrack.operations import server_speeds
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction


def record_slowness(txn: Transaction, notice: data.ServerNotice) -> None:
    """Records the slowness that a server stated.

    Args:
      txn: Tables.
      notice: Notice of the present incarnation of a server, with a slowness.
    """
    row = txn.servers[notice.server_id]
    stated_ms = txn.now_ms - max(0, notice.slowness_age_ms)
    if stated_ms < row.speed.slowness_ms:
        return
    slowness = server_speeds.bound_slowness(notice.slowness)
    if slowness != notice.slowness:
        txn.log_event(
            "server_slowness_bounded",
            f"{notice.slowness} is out of bounds",
            server=notice.server_id,
            slowness=slowness,
        )
    speed = dataclasses.replace(
        row.speed, slowness=slowness, slowness_ms=stated_ms
    )
    _store_speed(txn, row, speed)


def record_request_time(
    txn: Transaction, grant: data.GrantRow, duration_ms: float
) -> None:
    """Records the time of a completed request at a server.

    Times of requests that began while the server was cold do not count, and
    neither do those of model engines, whose reading rate is learned instead.

    Args:
      txn: Tables.
      grant: Grant of the request.
      duration_ms: Time from its dispatch to its end.
    """
    row, pool = txn.servers.get(grant.server_id), txn.pools.get(grant.service)
    if (
        row is None
        or pool is None
        or row.announcement.incarnation != grant.incarnation
        or grant.was_cold
    ):
        return
    if not server_speeds.is_usable_time(duration_ms):
        txn.log_event(
            "speed_sample_ignored",
            f"a time of {duration_ms} ms",
            server=grant.server_id,
        )
        return
    speed, route_ms = server_speeds.learn_request_time(
        row.speed, pool.route_ms.get(grant.route), duration_ms, txn.now_ms
    )
    known_routes = pool.route_ms
    if len(known_routes) >= server_speeds.MAX_ROUTES:
        known_routes = known_routes.clear()
    txn.pools[grant.service] = data.evolve(
        pool, route_ms=known_routes.set(grant.route, route_ms)
    )
    _store_speed(txn, row, speed)


def _store_speed(
    txn: Transaction, row: data.ServerRow, speed: data.ServerSpeed
) -> None:
    """Stores the speed of a server, and whether its service is uneven.

    The speed is in no index, so the row is stored as it is.
    """
    server_id, service = row.announcement.server_id, row.announcement.service
    txn.servers[server_id] = data.evolve(row, speed=speed)
    is_uneven = server_speeds.is_uneven(speed, txn.now_ms)
    if is_uneven != server_speeds.is_uneven(row.speed, txn.now_ms):
        txn.log_event(
            "server_speed_changed",
            "differs from its service" if is_uneven else "as its service again",
            server=server_id,
            time_factor=round(
                server_speeds.get_time_factor(speed, txn.now_ms), 2
            ),
            slowness=round(server_speeds.get_slowness(speed, txn.now_ms), 2),
        )
    pool = txn.pools.get(service)
    if not is_uneven or pool is None:
        return
    until_ms = txn.now_ms + server_speeds.find_uneven_time_ms(speed, txn.now_ms)
    # Stored again only once it is a step later, as it changes often.
    if until_ms >= pool.uneven_until_ms + tables_module.TIMER_STEP_MS:
        txn.pools[service] = data.evolve(pool, uneven_until_ms=until_ms)


def list_free_servers(
    txn: Transaction,
    groups: list[tuple[str, str, str]],
    avoided_servers: tuple[str, ...],
) -> list[data.ServerRow]:
    """Returns free servers to compare, the least loaded of each group first.

    Args:
      txn: Tables.
      groups: Triples of service, version and data centre, the preferred one
        first.
      avoided_servers: Ids of servers to leave out.

    Returns:
      At most `MAX_COMPARED` servers.
    """
    rows = (
        txn.servers[member]
        for group in groups
        for level in range(tables_module.LOAD_LEVELS)
        for member in txn.free_servers.get((*group, level), {}).values()
        if member not in avoided_servers
    )
    return [
        row
        for row, _ in zip(rows, range(server_speeds.MAX_COMPARED), strict=False)
    ]


def get_request_ms(txn: Transaction, service: str, route: str) -> float:
    """Returns the mean time of a request, in milliseconds."""
    mean = txn.pools[service].route_ms.get(route)
    return mean.value if mean else server_speeds.DEFAULT_REQUEST_MS


def list_speeds(
    tables: tables_module.Tables, now_ms: int
) -> Iterator[tuple[str, dict[str, float]]]:
    """Yields the speeds of all servers that are not stale, for metrics.

    Args:
      tables: Tables.
      now_ms: Present time.

    Yields:
      Server id, and values by name: `read_rate` of a model engine in tokens per
      millisecond; `time_factor` and `slowness` of another server.
    """
    for server_id, row in sorted(tables.servers.items()):
        service = row.announcement.service
        pool = tables.pools.get(service)
        if row.stale or pool is None:
            continue
        values: dict[str, Any] = {}
        if tables.environment_index.engine(service) is not None:
            mean = pool.read_rate or forecast.DEFAULT_TOKENS_PER_MS
            values["read_rate"] = server_speeds.get_read_rate(row.speed, mean)
        else:
            values["time_factor"] = server_speeds.get_time_factor(
                row.speed, now_ms
            )
            values["slowness"] = server_speeds.get_slowness(row.speed, now_ms)
        yield server_id, values
