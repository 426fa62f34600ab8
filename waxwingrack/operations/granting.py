"""Assigns free slots to queued requests in one tick.

In each service with queued requests, the backlogged workspace with the lowest
counter comes first. If it cannot use any free slot, because of the version
share or its avoided servers, the next workspace gets its turn, so no slot stays
free while a queued request could use it. Avoided servers are used nevertheless
when no other server is left.
"""

from collections.abc import Iterator
import dataclasses
import heapq
import itertools

import immutables

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import cold_servers
from waxwingrack.operations import connection_reuse
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import crashes
from waxwingrack.operations import engine_choice
from waxwingrack.operations import engine_load
from waxwingrack.operations import fairness
from waxwingrack.operations import forecast
from waxwingrack.operations import leader_queues
from waxwingrack.operations import pauses
from waxwingrack.operations import placement
from waxwingrack.operations import rate_limits
from waxwingrack.operations import servers
from waxwingrack.operations import speed_records
from waxwingrack.operations import surplus
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction

# A queued request is refused when its service has had no server for this long.
NO_SERVER_TIMEOUT_MS = 3_000
# Holders of its prompt prefix that are considered for one request.
MAX_PREFIX_HOLDERS = 8
# Servers of a group that are considered when an idle one is needed.
MAX_IDLE_ATTEMPTS = 8
# Queued requests of a service that one tick tries to assign to an engine; it
# grants no more of them afterwards.
MAX_ENGINE_ATTEMPTS = 48
# Requests of a queue that are looked through for the first one of each router
# while servers pause routers.
MAX_PAUSED_ATTEMPTS = 64
# Share of a service's servers that may run isolated requests; at least one may.
ISOLATION_SHARE = 0.1

_EMPTY = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A queued request and the server chosen for it.

    Attributes:
      entry: Queue entry of the request.
      server: Row of the server.
      to_candidate: Whether the server runs the candidate version.
      reason: Why this server was chosen.
      needs: How a model engine gets the prompt; None for other servers.
      prompt_source: Model engine to fetch the prompt from, if any.
    """

    entry: data.QueueEntry
    server: data.ServerRow
    to_candidate: bool
    reason: str
    needs: engine_load.PromptPlan | None = None
    prompt_source: data.ServerRow | None = None


def refuse_without_server(txn: Transaction, service: str) -> None:
    """Refuses requests that have waited too long for a server to appear."""
    pool = tables_module.get_pool(txn, service)
    latest_arrival_ms = txn.now_ms - NO_SERVER_TIMEOUT_MS
    if pool.usable_count or pool.no_server_since_ms > latest_arrival_ms:
        return
    for queue in leader_queues.list_service_queues(txn, service):
        while (
            queue.entries
            and queue.entries[queue.head].arrived_ms <= latest_arrival_ms
        ):
            entry = queue.entries[queue.head]
            leader_queues.refuse_request(
                txn,
                entry.router,
                entry.request.sequence,
                errors.ErrorKind.NO_BACKEND_SERVER,
                f"no server of {service} is announced",
            )
            queue = leader_queues.remove_entry(queue, queue.head)


def grant_free_slots(
    txn: Transaction, service: str, share: data.VersionShare
) -> None:
    """Grants the free slots of a service to queued requests.

    Args:
      txn: Tables.
      service: Service.
      share: Division of its traffic between versions.
    """
    pool = tables_module.get_pool(txn, service)
    if pool.candidate != share.candidate:
        txn.pools[service] = data.evolve(
            pool,
            candidate=share.candidate,
            candidate_credit=0.0,
            exposure=share.exposure,
        )
    _grant_isolated_requests(txn, service, share.current)
    if service not in txn.backlog or not has_free_slot(txn, service, share):
        return
    engine = txn.environment_index.engine(service)
    if engine is not None:
        _grant_engine_slots(txn, service, share, engine)
        return
    heap = _build_counter_heap(txn, service)
    blocked = False
    while heap and has_free_slot(txn, service, share):
        counter, workspace = heap[0]
        if not blocked:
            _advance_virtual_time(txn, service, counter)
        assignment = _assign_free_server(txn, service, workspace, share)
        if assignment is None:
            heapq.heappop(heap)
            still_queued = (service, workspace) in txn.queues
            blocked = blocked or still_queued
            continue
        account = _issue_grant(
            txn,
            assignment,
            share,
            f"counter {counter:.1f} is the lowest of {len(heap)} backlogged; "
            + assignment.reason,
        )
        if (service, workspace) in txn.queues:
            heapq.heapreplace(heap, (account.counter, workspace))
        else:
            heapq.heappop(heap)


def _grant_engine_slots(
    txn: Transaction,
    service: str,
    share: data.VersionShare,
    engine: data.Engine,
) -> None:
    """Grants the free slots of model engines, most urgent requests first.

    Long prompts would otherwise delay requests with a short latency target. A
    workspace takes part while its counter exceeds the lowest one by at most a
    fixed lead, so all workspaces get their shares over a few seconds. If no
    request of such a workspace can use a slot, the other workspaces may.
    """
    engines = engine_choice.Engines(txn, service, engine)
    if not engines.has_room():
        return
    if txn.suspicions:
        _isolate_suspects(txn, service)
        if service not in txn.backlog:
            return
    counters = {
        workspace: counter
        for counter, workspace in _build_counter_heap(txn, service)
    }
    max_lead = forecast.get_max_counter_lead(txn, service)
    entries = forecast.sort_by_urgency(txn, service)
    attempts = 0
    while entries and attempts < MAX_ENGINE_ATTEMPTS and engines.has_room():
        max_counter = max_lead + min(
            counters[entry.request.workspace] for entry in entries
        )
        eligible = [
            entry
            for entry in entries
            if counters[entry.request.workspace] <= max_counter
        ]
        assignment, tried_arrivals = _find_first_engine_assignment(
            txn, engines, eligible, share
        )
        attempts += len(tried_arrivals)
        entries = [
            entry
            for entry in entries
            if entry.arrival_number not in tried_arrivals
        ]
        if assignment is None:
            continue
        _advance_virtual_time(
            txn, service, min(counters[name] for name in txn.backlog[service])
        )
        workspace = assignment.entry.request.workspace
        counter = counters[workspace]
        account = _issue_grant(
            txn,
            assignment,
            share,
            f"counter {counter:.1f} is at most {max_counter:.1f}; "
            f"{assignment.reason}",
        )
        counters[workspace] = account.counter
        engines.refresh(txn, assignment.server.announcement.server_id)


def _find_first_engine_assignment(
    txn: Transaction,
    engines: engine_choice.Engines,
    entries: list[data.QueueEntry],
    share: data.VersionShare,
) -> tuple[Assignment | None, set[int]]:
    """Finds the first queued request that an engine can take.

    Returns:
      The assignment, or None, and the arrival numbers of the requests tried.
    """
    tried_arrivals: set[int] = set()
    for entry in entries:
        tried_arrivals.add(entry.arrival_number)
        assignment = _assign_engine(txn, engines, entry, share)
        if assignment is not None:
            return assignment, tried_arrivals
    return None, tried_arrivals


def _isolate_suspects(txn: Transaction, service: str) -> None:
    """Moves all crash suspects of a service to the isolated queue."""
    suspects = [
        entry
        for queue in leader_queues.list_workspace_queues(txn, service)
        for entry in queue.entries.values()
        if leader_queues.find_hold(txn, entry.request) is not crashes.Hold.NONE
    ]
    for entry in suspects:
        leader_queues.requeue_request(
            txn, leader_queues.get_position(txn, entry)
        )


def _assign_engine(
    txn: Transaction,
    engines: engine_choice.Engines,
    entry: data.QueueEntry,
    share: data.VersionShare,
) -> Assignment | None:
    """Finds a model engine for a request, in order of preferred version."""
    pool = txn.pools[entry.request.service]
    avoided_servers = _list_avoided_servers(txn, pool, entry, share)
    for version, candidate in placement.rank_versions(
        share, pool.candidate_credit, pool.exposure
    ):
        picked = engine_choice.choose_engine(
            txn, engines, entry, version, avoided_servers
        )
        if picked is not None:
            return Assignment(
                entry,
                picked.server,
                candidate,
                picked.reason,
                picked.prompt_plan,
                picked.fetch_source,
            )
    return None


def has_free_slot(
    txn: Transaction, service: str, share: data.VersionShare
) -> bool:
    """Tells whether a server of either version has a free slot."""
    return (service, share.current) in txn.free_totals or (
        bool(share.candidate) and (service, share.candidate) in txn.free_totals
    )


def _build_counter_heap(
    txn: Transaction, service: str
) -> list[tuple[float, str]]:
    """Builds a heap of the backlogged workspaces, the lowest counter first.

    Counters of newly backlogged workspaces are started first.

    Returns:
      Heap of pairs of counter and workspace.
    """
    backlog = txn.backlog[service]
    new_workspaces, heap = [], []
    find_account = txn.accounts.get
    # Hot loop: runs over every backlogged workspace in each tick that has a
    # free slot.
    for workspace, is_new in backlog.items():
        if is_new:
            new_workspaces.append(workspace)
            continue
        account = find_account((service, workspace))
        if account is None:
            account = tables_module.get_account(txn, service, workspace)
        heap.append((account.counter, workspace))
    if heap:
        heapq.heapify(heap)
        lowest_counter = heap[0][0]
    else:
        lowest_counter = tables_module.get_account(
            txn, service, fairness.SERVICE_ACCOUNT
        ).counter
    for workspace in new_workspaces:
        account = fairness.raise_counter(
            tables_module.get_account(txn, service, workspace), lowest_counter
        )
        txn.accounts[(service, workspace)] = account
        heapq.heappush(heap, (account.counter, workspace))
    if new_workspaces:
        update = backlog.mutate()
        for workspace in new_workspaces:
            update[workspace] = False
        txn.backlog[service] = update.finish()
    return heap


def _advance_virtual_time(
    txn: Transaction, service: str, counter: float
) -> None:
    """Moves the virtual time of a service forward to a counter."""
    key = (service, fairness.SERVICE_ACCOUNT)
    service_account = txn.accounts.get(key) or data.Account()
    if counter > service_account.counter or key not in txn.accounts:
        txn.accounts[key] = fairness.replace_counter(
            service_account, max(service_account.counter, counter)
        )


# ---------------------------------------------------------------------------
# Assignment of requests to servers
# ---------------------------------------------------------------------------


def _assign_free_server(
    txn: Transaction, service: str, workspace: str, share: data.VersionShare
) -> Assignment | None:
    """Assigns a free server to the workspace's earliest request that fits."""
    if txn.suspicions:
        _isolate_suspected_heads(txn, service, workspace)
    queues = txn.queues.get((service, workspace))
    if not queues:
        return None
    heads = _list_heads(txn, queues)
    if len(heads) > 1:
        heads.sort(key=lambda entry: entry.arrival_number)
    pool = txn.pools[service]
    versions = placement.rank_versions(
        share, pool.candidate_credit, pool.exposure
    )
    for entry in heads:
        avoided_servers = _list_avoided_servers(txn, pool, entry, share)
        for version, candidate in versions:
            picked = _pick_server(txn, entry, version, avoided_servers)
            if picked is not None:
                return Assignment(entry, picked[0], candidate, picked[1])
    return None


def _list_heads(
    txn: Transaction, queues: immutables.Map
) -> list[data.QueueEntry]:
    """Returns the requests of a workspace that may be granted next.

    While servers pause routers, a request that has to wait must not hold back
    those of other routers behind it.
    """
    if not len(txn.pauses):
        return [queue.entries[queue.head] for queue in queues.values()]
    heads: dict[tuple[int, str], data.QueueEntry] = {}
    for number, queue in enumerate(queues.values()):
        entries = leader_queues.iter_entries(queue)
        for entry in itertools.islice(entries, MAX_PAUSED_ATTEMPTS):
            heads.setdefault((number, entry.router), entry)
    return list(heads.values())


def _isolate_suspected_heads(
    txn: Transaction, service: str, workspace: str
) -> None:
    """Moves crash suspects at the queue heads to the isolated queue."""
    moved = True
    while moved:
        moved = False
        queues = txn.queues.get((service, workspace), _EMPTY)
        for queue in queues.values():
            entry = queue.entries[queue.head]
            hold = leader_queues.find_hold(txn, entry.request)
            if hold is not crashes.Hold.NONE:
                leader_queues.requeue_request(
                    txn, leader_queues.get_position(txn, entry)
                )
                moved = True
                break


def _list_avoided_servers(
    txn: Transaction,
    pool: data.PoolRow,
    entry: data.QueueEntry,
    share: data.VersionShare,
) -> tuple[str, ...]:
    """Returns the servers that may not get a request.

    Those on which an attempt of the request failed may get it if no other is
    left, unlike those that want no requests of its router. A second copy goes
    only to servers with a surplus of slots.
    """
    request = entry.request
    barred = pauses.list_barred(txn, entry.router)
    if request.duplicate:
        return (*surplus.list_servers_without_surplus(txn, request), *barred)
    if not request.avoid:
        return barred
    versions = {share.current}
    if share.share > 0:
        versions.add(share.candidate)
    server_count = sum(
        count
        for (version, data_centre), count in pool.server_counts.items()
        if version in versions and data_centre not in txn.drained
    )
    rows = (txn.servers.get(server_id) for server_id in set(request.avoid))
    avoided_count = sum(
        1
        for row in rows
        if row is not None
        and tables_module.is_usable(row)
        and row.announcement.service == request.service
        and row.announcement.version in versions
        and row.announcement.data_centre not in txn.drained
    )
    avoid = request.avoid if avoided_count < server_count else ()
    return (*avoid, *barred)


def _list_free_groups(
    txn: Transaction, service: str, version: str
) -> list[tuple[str, str, str]]:
    """Returns the groups of a version that have a free slot.

    A group is a triple of service, version and data centre. Drained data
    centres are left out.
    """
    return [
        group
        for group_version, data_centre in txn.pools[service].server_counts
        if group_version == version
        and data_centre not in txn.drained
        and (group := (service, group_version, data_centre)) in txn.free_counts
    ]


def _pick_server(
    txn: Transaction,
    entry: data.QueueEntry,
    version: str,
    avoided_servers: tuple[str, ...],
) -> tuple[data.ServerRow, str] | None:
    """Picks a free server of a version for a queued request."""
    request = entry.request
    while True:
        if (request.service, version) not in txn.free_totals:
            return None
        router_data_centre = txn.routers[entry.router].ref.data_centre
        near_group = (request.service, version, router_data_centre)
        compares_times = txn.pools[request.service].uneven_until_ms > txn.now_ms
        least_loaded = []
        if compares_times:
            groups = _list_free_groups(txn, request.service, version)
            groups.sort(key=lambda group: group != near_group)
            least_loaded = speed_records.list_free_servers(
                txn, groups, avoided_servers
            )
        elif (
            near_group in txn.free_counts
            and router_data_centre not in txn.drained
        ):
            least_loaded = _find_least_loaded(
                txn, [near_group], avoided_servers, entry.router
            )
        if not least_loaded and not compares_times:
            groups = _list_free_groups(txn, request.service, version)
            if not groups:
                return None
            far_groups = [group for group in groups if group != near_group]
            least_loaded = _find_least_loaded(
                txn, far_groups, avoided_servers, entry.router
            )
        eligible_servers = [
            *_iter_free_prefix_holders(txn, request, version, avoided_servers),
            *least_loaded,
        ]
        stale_servers = [
            server
            for server in eligible_servers
            if server.announced_ms + servers.MAX_ANNOUNCEMENT_AGE_MS
            <= txn.now_ms
        ]
        if not stale_servers:
            return placement.pick_best(
                eligible_servers,
                placement.Request(
                    request.prefix,
                    router_data_centre,
                    compares_times,
                    speed_records.get_request_ms(
                        txn, request.service, request.route
                    ),
                    txn.now_ms,
                )
                if compares_times
                else placement.Request(request.prefix, router_data_centre),
            )
        for server in stale_servers:
            servers.mark_stale(txn, server.announcement.server_id)


def _iter_free_prefix_holders(
    txn: Transaction,
    request: data.QueuedRequest,
    version: str,
    avoided_servers: tuple[str, ...],
) -> Iterator[data.ServerRow]:
    """Yields free servers that hold the prompt prefix of a request."""
    if not request.prefix:
        return
    holders = txn.prefix_holders.get((request.service, request.prefix), _EMPTY)
    for server_id in itertools.islice(holders, MAX_PREFIX_HOLDERS):
        row = txn.servers[server_id]
        if (
            row.announcement.version == version
            and row.announcement.data_centre not in txn.drained
            and server_id not in avoided_servers
            and tables_module.free_index_key(row) is not None
        ):
            yield row


def _find_least_loaded(
    txn: Transaction,
    groups: list[tuple[str, str, str]],
    avoided_servers: tuple[str, ...],
    router: str,
) -> list[data.ServerRow]:
    """Returns the least loaded free server of each group, if it has one.

    Among equal ones, a server is preferred to which the router is connected.
    """
    least_loaded = []
    for group in groups:
        for level in range(tables_module.LOAD_LEVELS):
            members = txn.free_servers.get((*group, level))
            rows = (
                txn.servers[member]
                for member in (members or _EMPTY).values()
                if member not in avoided_servers
            )
            row = connection_reuse.prefer_connected(
                itertools.islice(rows, connection_reuse.MAX_TIED_SERVERS),
                router,
                txn.now_ms,
            )
            if row:
                least_loaded.append(row)
                break
    return least_loaded


# ---------------------------------------------------------------------------
# Isolated requests
# ---------------------------------------------------------------------------


def _grant_isolated_requests(
    txn: Transaction, service: str, version: str
) -> None:
    """Grants crash suspects a server of their own."""
    queue = txn.isolated_queues.get(service)
    entry = queue and _find_next_isolated(txn, queue)
    pool = txn.pools[service]
    if not entry:
        _cancel_server_reservation(txn, service)
        return
    max_isolated = max(1, int(pool.usable_count * ISOLATION_SHARE))
    while entry and len(txn.pools[service].isolated_grants) < max_isolated:
        server = _find_idle_server(txn, entry, version)
        if server is None:
            return
        assignment = Assignment(
            entry, server, False, "isolated as a crash suspect"
        )
        _issue_grant(txn, assignment, None, assignment.reason)
        queue = txn.isolated_queues.get(service)
        entry = queue and _find_next_isolated(txn, queue)


def _find_next_isolated(
    txn: Transaction, queue: data.RequestQueue
) -> data.QueueEntry | None:
    for position in range(queue.head, queue.tail):
        entry = queue.entries.get(position)
        if entry is None:
            continue
        hold = leader_queues.find_hold(txn, entry.request)
        if hold is crashes.Hold.NONE:
            # The suspicion was cleared or judged in the meantime: return the
            # request to the queue of its workspace.
            leader_queues.requeue_request(
                txn, leader_queues.get_position(txn, entry)
            )
        elif hold is crashes.Hold.ISOLATE:
            return entry
    return None


def _find_idle_server(
    txn: Transaction, entry: data.QueueEntry, version: str
) -> data.ServerRow | None:
    """Finds an idle server, or reserves one and waits until it is idle."""
    request = entry.request
    pool = txn.pools[request.service]
    share = data.VersionShare(version)
    avoided_servers = _list_avoided_servers(txn, pool, entry, share)
    reserved_row = txn.servers.get(pool.reserved_server)
    if reserved_row is not None and reserved_row.reserved_for_isolation:
        if not _can_run_isolated(txn, reserved_row, version, avoided_servers):
            _cancel_server_reservation(txn, request.service)
        elif placement.count_used_slots(reserved_row) == 0:
            _cancel_server_reservation(txn, request.service)
            return txn.servers[pool.reserved_server]
        else:
            return None
    for group in _list_free_groups(txn, request.service, version):
        members = txn.free_servers.get((*group, 0), _EMPTY)
        for server_id in itertools.islice(members.values(), MAX_IDLE_ATTEMPTS):
            server = txn.servers[server_id]
            if placement.count_used_slots(server) == 0 and _can_run_isolated(
                txn, server, version, avoided_servers
            ):
                return server
    _reserve_server(txn, request.service, version, avoided_servers)
    return None


def _can_run_isolated(
    txn: Transaction,
    row: data.ServerRow,
    version: str,
    avoided_servers: tuple[str, ...],
) -> bool:
    announcement = row.announcement
    # If a connection to this incarnation has already broken, a second one could
    # not be told apart from it.
    return (
        (announcement.server_id, announcement.incarnation)
        not in txn.broken_connections
        and tables_module.is_usable(row)
        and not row.paused
        and not row.blocked
        and row.isolated_grant is None
        and row.slot_limit.limit > 0
        and row.announced_ms + servers.MAX_ANNOUNCEMENT_AGE_MS > txn.now_ms
        and announcement.version == version
        and announcement.data_centre not in txn.drained
        and announcement.server_id not in avoided_servers
    )


def _reserve_server(
    txn: Transaction,
    service: str,
    version: str,
    avoided_servers: tuple[str, ...],
) -> None:
    """Reserves the server with the fewest requests, so that it drains."""
    rows = [
        row
        for row in tables_module.iter_usable_servers(txn, service)
        if _can_run_isolated(txn, row, version, avoided_servers)
    ]
    if not rows:
        return
    row = min(rows, key=lambda row: (placement.count_used_slots(row), row.key))
    server_id = row.announcement.server_id
    txn.log_event(
        "server_reserved",
        "waits to run a crash suspect isolated",
        server=server_id,
        in_use=placement.count_used_slots(row),
    )
    tables_module.store_server(
        txn, data.evolve(row, reserved_for_isolation=True)
    )
    txn.pools[service] = data.evolve(
        txn.pools[service], reserved_server=server_id
    )


def _cancel_server_reservation(txn: Transaction, service: str) -> None:
    pool = txn.pools[service]
    if not pool.reserved_server:
        return
    row = txn.servers.get(pool.reserved_server)
    if row is not None and row.reserved_for_isolation:
        tables_module.store_server(
            txn, data.evolve(row, reserved_for_isolation=False)
        )
    txn.pools[service] = data.evolve(txn.pools[service], reserved_server="")


# ---------------------------------------------------------------------------
# Grants
# ---------------------------------------------------------------------------


def _issue_grant(
    txn: Transaction,
    assignment: Assignment,
    share: data.VersionShare | None,
    reason: str,
) -> data.Account:
    """Grants a slot to a queued request.

    Args:
      txn: Tables.
      assignment: Request and server.
      share: Division of traffic; None for an isolated request.
      reason: Reason for the log.

    Returns:
      The account of the workspace after the charge.
    """
    request = assignment.entry.request
    key = (txn.term, txn.next_grant)
    txn.next_grant += 1
    account, cost, weight = _charge_reservation(txn, request)
    announcement = assignment.server.announcement
    router = txn.routers[assignment.entry.router]
    leader_queues.pop_request(txn, router.queue_positions[request.sequence])
    txn.routers[assignment.entry.router] = data.evolve(
        router,
        queue_positions=router.queue_positions.delete(request.sequence),
        grants=router.grants.set(key, None),
    )
    service = txn.environment_index.services.get(request.service)
    max_idle = connection_reuse.allow_idle(
        assignment.server,
        assignment.entry.router,
        len(txn.routers),
        txn.now_ms,
        service.max_connections if service else 0,
    )
    _record_grant(txn, assignment, key, share is None, max_idle)
    pool = txn.pools[request.service]
    candidate_share = share.share if share and share.candidate else 0.0
    if (
        candidate_share
        and assignment.to_candidate
        and not placement.is_candidate_owed(share, pool.candidate_credit)
    ):
        # An overflow request takes the turn of the current version. Charging it
        # would put the candidate into debt while there are no current servers.
        candidate_share = 0.0
    if share is None:
        txn.pools[request.service] = data.evolve(
            pool, isolated_grants=pool.isolated_grants.set(key, None)
        )
        txn.suspicions[request.digest] = dataclasses.replace(
            txn.suspicions[request.digest], isolated_grant=key
        )
    elif candidate_share:
        txn.pools[request.service] = data.evolve(
            pool,
            candidate_credit=placement.charge_credit(
                pool.candidate_credit, candidate_share, assignment.to_candidate
            ),
        )
    _count_exposure(txn, request.service, announcement.version, 1)
    txn.grants[key] = data.GrantRow(
        router=assignment.entry.router,
        server_id=announcement.server_id,
        incarnation=announcement.incarnation,
        version=announcement.version,
        data_centre=announcement.data_centre,
        workspace=request.workspace,
        service=request.service,
        route=request.route,
        digest=request.digest,
        weight=weight,
        charged=cost,
        granted_ms=txn.now_ms,
        echo_ms=router.sent_ms,
        charged_to_candidate=assignment.to_candidate,
        candidate_share=candidate_share,
        server_load=placement.count_used_slots(assignment.server) + 1,
        candidate=pool.candidate,
        parts=crashes.name_parts(crashes.list_shared_parts(request.prompt)),
        expected_ms=forecast.expect_first_byte(
            txn,
            request.service,
            txn.servers[announcement.server_id].load.reservations.get(key),
        ),
        was_cold=assignment.server.cold_until_ms > txn.now_ms
        if txn.environment_index.announces_cold(request.service)
        else None,
        forecast=assignment.entry.forecast,
    )
    if txn.suspicions:
        crash_evidence.start_trial(txn, txn.grants[key], key)
    txn.grant_decisions.append(
        data.GrantDecision(
            assignment.entry.router,
            data.Grant(
                id=key[1],
                term=key[0],
                want=request.sequence,
                server_id=announcement.server_id,
                incarnation=announcement.incarnation,
                address=announcement.address,
                version=announcement.version,
                fetch_from=assignment.prompt_source
                and assignment.prompt_source.announcement.address,
                max_idle=max_idle,
            ),
            reason,
        )
    )
    return account


def uncount_exposure(txn: Transaction, grant: data.GrantRow) -> None:
    """Takes a grant out of the exposure that its request never reached."""
    pool = txn.pools.get(grant.service)
    if pool is not None and grant.candidate == pool.candidate:
        _count_exposure(txn, grant.service, grant.version, -1)


def _count_exposure(
    txn: Transaction, service: str, version: str, change: int
) -> None:
    pool = txn.pools[service]
    if not pool.candidate:
        return
    is_candidate = version == pool.candidate
    txn.pools[service] = data.evolve(
        pool,
        exposure=data.Exposure(
            pool.exposure.requests + change,
            pool.exposure.to_candidate + (change if is_candidate else 0),
        ),
    )


def _record_grant(
    txn: Transaction,
    assignment: Assignment,
    key: tables_module.GrantKey,
    isolated: bool,
    max_idle: int | None,
) -> None:
    """Records a grant in the row of its server."""
    request, row = assignment.entry.request, assignment.server
    engine = txn.environment_index.engine(request.service)
    declared_service = txn.environment_index.services.get(request.service)
    row = data.evolve(
        row,
        grants=row.grants.set(key, None),
        isolated_grant=key if isolated else None,
    )
    if max_idle is not None:
        row = data.evolve(
            row,
            connected=connection_reuse.note_grant(
                row.connected, assignment.entry.router, max_idle, txn.now_ms
            ),
        )
    if engine is not None:
        read_rate = forecast.get_engine_read_rate(txn, row)
        needs = assignment.needs or engine_load.plan_prompt(
            request,
            engine_load.count_cached_tokens(row.load.cache, request),
            0,
            read_rate,
        )
        unread_tokens = engine_load.estimate_unread_tokens(
            row.load, txn.now_ms, read_rate
        )
        load = engine_load.add_grant(
            row.load,
            key,
            request,
            needs,
            unread_tokens,
            engine.memory_tokens,
            txn.now_ms,
        )
        row = data.evolve(row, load=load)
        forecast.record_unread_share(txn, request, load.reservations[key])
    row = cold_servers.spend_credit(
        txn, row, declared_service and declared_service.cold
    )
    row = rate_limits.spend_credit(txn, row)
    tables_module.store_server(txn, row)


def _charge_reservation(
    txn: Transaction, request: data.QueuedRequest
) -> tuple[data.Account, float, float]:
    """Charges the reservation of a request to its workspace.

    Returns:
      The account after the charge, the cost reserved and the weight used.
    """
    account = tables_module.get_account(txn, request.service, request.workspace)
    service_account = txn.accounts.get(
        (request.service, fairness.SERVICE_ACCOUNT)
    )
    cost = fairness.compute_reservation(
        account,
        service_account or data.Account(),
        txn.environment_index.cost_meter(request.service),
        request.hint,
    )
    weight = txn.environment_index.weight(request.workspace)
    account = fairness.add_cost(account, cost, weight, in_use=1)
    txn.accounts[(request.service, request.workspace)] = account
    return account, cost, weight
