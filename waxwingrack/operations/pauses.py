"""Servers that want no requests of one router for a time.

The pause concerns one router and one server. The leader grants the requests of
that router on other servers and the server to other routers. If all servers of
a service have paused a router, its requests are refused at once with the time
at which the first pause ends.
"""

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import leader_queues
from waxwingrack.operations import server_notices
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction


def record(txn: Transaction, router: str, notice: data.ServerNotice) -> None:
    """Records a pause that a router reports.

    Args:
      txn: Tables.
      router: Node id of the router.
      notice: Notice of the present incarnation of a server.
    """
    pause_ms = min(notice.pause_ms, server_notices.MAX_PAUSE_MS)
    until_ms = txn.now_ms + pause_ms
    known = txn.pauses.get((router, notice.server_id))
    if (
        known is not None
        and known.incarnation == notice.incarnation
        and known.until_ms >= until_ms
    ):
        return
    txn.pauses[(router, notice.server_id)] = data.ServerPause(
        notice.incarnation, until_ms
    )
    txn.log_event(
        "router_paused",
        "the server wants no requests of the router",
        server=notice.server_id,
        incarnation=notice.incarnation,
        router=router,
        pause_ms=pause_ms,
    )
    _set_end_timer(txn, router, notice.server_id, until_ms)


def _set_end_timer(
    txn: Transaction, router: str, server_id: str, until_ms: int
) -> None:
    tables_module.set_timer(
        txn,
        until_ms + server_notices.RAMP_MS,
        "pause_end",
        (router, server_id),
    )


@tables_module.TIMERS.register("pause_end")
def _forget_pause(txn: Transaction, key: tuple[str, str]) -> None:
    pause = txn.pauses.get(key)
    if pause is None:
        return
    if txn.now_ms < pause.until_ms + server_notices.RAMP_MS:
        _set_end_timer(txn, *key, pause.until_ms)
        return
    del txn.pauses[key]


def list_barred(txn: Transaction, router: str) -> tuple[str, ...]:
    """Returns the servers that may get no request of a router now."""
    if not len(txn.pauses):
        return ()
    pauses = txn.pauses.finish()
    txn.pauses = pauses.mutate()
    return tuple(
        server_id
        for (paused_router, server_id), pause in pauses.items()
        if paused_router == router and _is_barred(txn, router, server_id, pause)
    )


def _is_barred(
    txn: Transaction, router: str, server_id: str, pause: data.ServerPause
) -> bool:
    row = txn.servers.get(server_id)
    if row is None or row.announcement.incarnation != pause.incarnation:
        return False
    allowed = server_notices.count_allowed(
        row.announcement.slots, pause.until_ms, txn.now_ms
    )
    in_use = sum(
        1
        for key in row.grants
        if key in txn.grants and txn.grants[key].router == router
    )
    return in_use >= allowed


def refuse_paused_routers(txn: Transaction, service: str) -> None:
    """Refuses the requests of routers that all servers have paused."""
    if not len(txn.pauses):
        return
    pauses = txn.pauses.finish()
    txn.pauses = pauses.mutate()
    rows = [
        row
        for row in tables_module.iter_usable_servers(txn, service)
        if row.announcement.data_centre not in txn.drained
    ]
    if not rows:
        return
    for router in sorted({router for router, _ in pauses}):
        ends_ms = [
            pause.until_ms
            if (pause := pauses.get((router, row.announcement.server_id)))
            and pause.incarnation == row.announcement.incarnation
            else 0
            for row in rows
        ]
        wait_ms = min(ends_ms) - txn.now_ms
        if wait_ms > 0:
            _refuse_requests(txn, service, router, wait_ms)


def _refuse_requests(
    txn: Transaction, service: str, router: str, wait_ms: int
) -> None:
    entries = [
        entry
        for queue in leader_queues.list_service_queues(txn, service)
        for entry in queue.entries.values()
        if entry.router == router
    ]
    for entry in entries:
        leader_queues.refuse_request(
            txn,
            router,
            entry.request.sequence,
            errors.ErrorKind.SERVERS_PAUSED,
            f"every server of {service} wants no requests of the router",
            wait_ms,
        )
