"""Grants of one tick: which want gets which free slot.

For each service with wants, the backlogged workspace with the lowest counter is
served first. If it cannot use any free slot, because of the version share or of
the servers to avoid, the next one is, so no slot stays free while a want could
use it. Servers to avoid are ignored when no other server is left.
"""

from collections.abc import Iterator
import dataclasses
import heapq
import itertools

import immutables

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import cold_servers
from waxwingrack.operations import crashes
from waxwingrack.operations import engine_choice
from waxwingrack.operations import engine_load
from waxwingrack.operations import fairness
from waxwingrack.operations import forecast
from waxwingrack.operations import leader_queues
from waxwingrack.operations import placement
from waxwingrack.operations import servers
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction

# Wait without any server of the service after which a want is refused.
NO_SERVER_MS = 3_000
# Prefix holders looked at for one request.
MAX_HOLDERS = 8
# Servers looked at for an idle one.
MAX_IDLE_TRIES = 8
# Wants of a service for which an engine is looked for in one tick, after which
# it grants no more.
MAX_ENGINE_TRIES = 48
# Share of a service's servers that may run a request alone, and at least one.
SOLO_SHARE = 0.1

_EMPTY = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A want and the server it would get.

    Attributes:
      want: Want.
      server: Server.
      candidate: Whether the server runs the candidate version.
      reason: Why this server.
      needed: How a model engine gets the prompt; None for other servers.
      source: Model engine to fetch the prompt from; None for none.
    """

    want: data.QueueEntry
    server: data.ServerRow
    candidate: bool
    reason: str
    needed: engine_load.PromptPlan | None = None
    source: data.ServerRow | None = None


def refuse_without_server(txn: Transaction, service: str) -> None:
    """Refuses wants that have waited without any server of the service."""
    pool = tables_module.pool(txn, service)
    due = txn.now_ms - NO_SERVER_MS
    if pool.usable_count or pool.no_server_since_ms > due:
        return
    for lane in leader_queues.of_service(txn, service):
        while lane.entries and lane.entries[lane.head].arrived_ms <= due:
            row = lane.entries[lane.head]
            leader_queues.refuse(
                txn,
                row.router,
                row.request.sequence,
                errors.ErrorKind.NO_BACKEND_SERVER,
                f"no server of {service} is announced",
            )
            lane = leader_queues.remove(lane, lane.head)


def serve(txn: Transaction, service: str, share: data.VersionShare) -> None:
    """Grants free slots of a service.

    Args:
      txn: Tables.
      service: Service.
      share: Division of its traffic.
    """
    pool = tables_module.pool(txn, service)
    if pool.candidate != share.candidate:
        txn.pools[service] = data.evolve(
            pool, candidate=share.candidate, candidate_credit=0.0
        )
    _serve_alone(txn, service, share.current)
    if service not in txn.backlog or not any_free(txn, service, share):
        return
    engine = txn.scope.engine(service)
    if engine is not None:
        _serve_engines(txn, service, share, engine)
        return
    heap = _join(txn, service)
    blocked = False
    while heap and any_free(txn, service, share):
        value, workspace = heap[0]
        if not blocked:
            _advance(txn, service, value)
        choice = _choose(txn, service, workspace, share)
        if choice is None:
            heapq.heappop(heap)
            waits = (service, workspace) in txn.queues
            blocked = blocked or waits
            continue
        account = _grant(
            txn,
            choice,
            share,
            f"counter {value:.1f} is the lowest of {len(heap)} backlogged; "
            + choice.reason,
        )
        if (service, workspace) in txn.queues:
            heapq.heapreplace(heap, (account.counter, workspace))
        else:
            heapq.heappop(heap)


def _serve_engines(
    txn: Transaction,
    service: str,
    share: data.VersionShare,
    engine: data.Engine,
) -> None:
    """Grants free slots of model engines, the most urgent requests first.

    This answers long prompts that would make requests with a short target late.
    A workspace takes part while its counter is not far ahead of the lowest one,
    so over a few seconds all get their shares; if no request of such a
    workspace can use a slot, the others may.
    """
    engines = engine_choice.Engines(txn, service, engine)
    if not engines.has_room():
        return
    if txn.suspicions and txn.scope.isolates(service):
        _isolate_suspects(txn, service)
        if service not in txn.backlog:
            return
    values = {workspace: value for value, workspace in _join(txn, service)}
    lead = forecast.get_max_counter_lead(txn, service)
    rows = forecast.sort_by_urgency(txn, service)
    tries = 0
    while rows and tries < MAX_ENGINE_TRIES and engines.has_room():
        limit = lead + min(values[row.request.workspace] for row in rows)
        eligible = [
            row for row in rows if values[row.request.workspace] <= limit
        ]
        choice, tried = _first_choice(txn, engines, eligible, share)
        tries += len(tried)
        rows = [row for row in rows if row.arrival_number not in tried]
        if choice is None:
            continue
        _advance(
            txn, service, min(values[name] for name in txn.backlog[service])
        )
        workspace = choice.want.request.workspace
        value = values[workspace]
        account = _grant(
            txn,
            choice,
            share,
            f"counter {value:.1f} is at most {limit:.1f}; {choice.reason}",
        )
        values[workspace] = account.counter
        engines.refresh(txn, choice.server.announcement.server_id)


def _first_choice(
    txn: Transaction,
    engines: engine_choice.Engines,
    rows: list[data.QueueEntry],
    share: data.VersionShare,
) -> tuple[Choice | None, set[int]]:
    """Finds the first want that an engine can take.

    Returns:
      The choice, and the arrival numbers of the wants that were tried.
    """
    tried: set[int] = set()
    for row in rows:
        tried.add(row.arrival_number)
        choice = _choose_engine(txn, engines, row, share)
        if choice is not None:
            return choice, tried
    return None, tried


def _isolate_suspects(txn: Transaction, service: str) -> None:
    """Moves wants with suspected digests to the lane of their own."""
    suspects = [
        row
        for lane in leader_queues.of_workspaces(txn, service)
        for row in lane.entries.values()
        if row.request.digest in txn.suspicions
    ]
    for row in suspects:
        leader_queues.isolate(txn, leader_queues.place_of(txn, row))


def _choose_engine(
    txn: Transaction,
    engines: engine_choice.Engines,
    row: data.QueueEntry,
    share: data.VersionShare,
) -> Choice | None:
    """Finds a model engine for a want, of a version that is owed a request."""
    pool = txn.pools[row.request.service]
    avoid = _avoided(txn, pool, row.request, share)
    for version, candidate in placement.versions(share, pool.candidate_credit):
        pick = engine_choice.choose_engine(txn, engines, row, version, avoid)
        if pick is not None:
            return Choice(
                row,
                pick.server,
                candidate,
                pick.reason,
                pick.prompt_plan,
                pick.fetch_source,
            )
    return None


def any_free(txn: Transaction, service: str, share: data.VersionShare) -> bool:
    """Tells whether a server of a wanted version has a free slot."""
    return (service, share.current) in txn.free_totals or (
        bool(share.candidate) and (service, share.candidate) in txn.free_totals
    )


def _join(txn: Transaction, service: str) -> list[tuple[float, str]]:
    """Starts the counters of newly backlogged workspaces.

    Returns:
      Heap of counter and workspace of all backlogged workspaces.
    """
    backlog = txn.backlog[service]
    joined, heap = [], []
    known = txn.accounts.get
    # Runs over every backlogged workspace in each tick with a free slot.
    for workspace, new in backlog.items():
        if new:
            joined.append(workspace)
            continue
        account = known((service, workspace))
        if account is None:
            account = tables_module.account(txn, service, workspace)
        heap.append((account.counter, workspace))
    if heap:
        heapq.heapify(heap)
        floor = heap[0][0]
    else:
        floor = tables_module.account(
            txn, service, fairness.SERVICE_ACCOUNT
        ).counter
    for workspace in joined:
        account = fairness.raise_counter(
            tables_module.account(txn, service, workspace), floor
        )
        txn.accounts[(service, workspace)] = account
        heapq.heappush(heap, (account.counter, workspace))
    if joined:
        update = backlog.mutate()
        for workspace in joined:
            update[workspace] = False
        txn.backlog[service] = update.finish()
    return heap


def _advance(txn: Transaction, service: str, value: float) -> None:
    """Moves the virtual time of a service forward."""
    key = (service, fairness.SERVICE_ACCOUNT)
    own = txn.accounts.get(key) or data.Account()
    if value > own.counter or key not in txn.accounts:
        txn.accounts[key] = fairness.replace_counter(
            own, max(own.counter, value)
        )


# ---------------------------------------------------------------------------
# Choice of want and server
# ---------------------------------------------------------------------------


def _choose(
    txn: Transaction, service: str, workspace: str, share: data.VersionShare
) -> Choice | None:
    """Finds the earliest want of a workspace that a free slot can serve."""
    if txn.suspicions and txn.scope.isolates(service):
        _isolate_heads(txn, service, workspace)
    lanes = txn.queues.get((service, workspace))
    if not lanes:
        return None
    heads = [lane.entries[lane.head] for lane in lanes.values()]
    if len(heads) > 1:
        heads.sort(key=lambda row: row.arrival_number)
    pool = txn.pools[service]
    allowed = placement.versions(share, pool.candidate_credit)
    for row in heads:
        avoid = _avoided(txn, pool, row.request, share)
        for version, candidate in allowed:
            found = _pick(txn, row, version, avoid)
            if found is not None:
                return Choice(row, found[0], candidate, found[1])
    return None


def _isolate_heads(txn: Transaction, service: str, workspace: str) -> None:
    """Moves wants with suspected digests to the lane of their own."""
    again = True
    while again:
        again = False
        lanes = txn.queues.get((service, workspace), _EMPTY)
        for lane in lanes.values():
            row = lane.entries[lane.head]
            if row.request.digest in txn.suspicions:
                leader_queues.isolate(txn, leader_queues.place_of(txn, row))
                again = True
                break


def _avoided(
    txn: Transaction,
    pool: data.PoolRow,
    want: data.QueuedRequest,
    share: data.VersionShare,
) -> tuple[str, ...]:
    """Returns the servers to avoid; none if no other server is left."""
    if not want.avoid:
        return ()
    wanted = {share.current}
    if share.share > 0:
        wanted.add(share.candidate)
    count = sum(
        number
        for (version, data_centre), number in pool.server_counts.items()
        if version in wanted and data_centre not in txn.drained
    )
    rows = (txn.servers.get(server_id) for server_id in set(want.avoid))
    avoided = sum(
        1
        for row in rows
        if row is not None
        and tables_module.usable(row)
        and row.announcement.service == want.service
        and row.announcement.version in wanted
        and row.announcement.data_centre not in txn.drained
    )
    return want.avoid if avoided < count else ()


def _free_groups(
    txn: Transaction, service: str, version: str
) -> list[tuple[str, str, str]]:
    """Returns groups of servers in service that have a free slot."""
    return [
        group
        for found, data_centre in txn.pools[service].server_counts
        if found == version
        and data_centre not in txn.drained
        and (group := (service, found, data_centre)) in txn.free_counts
    ]


def _pick(
    txn: Transaction, row: data.QueueEntry, version: str, avoid: tuple[str, ...]
) -> tuple[data.ServerRow, str] | None:
    """Picks a free server of a version for a want."""
    want = row.request
    while True:
        if (want.service, version) not in txn.free_totals:
            return None
        home = txn.routers[row.router].ref.data_centre
        near = (want.service, version, home)
        least = []
        if near in txn.free_counts and home not in txn.drained:
            least = _least(txn, [near], avoid)
        if not least:
            groups = _free_groups(txn, want.service, version)
            if not groups:
                return None
            far = [group for group in groups if group != near]
            least = _least(txn, far, avoid)
        nominated = [*_holders(txn, want, version, avoid), *least]
        aged = [
            server
            for server in nominated
            if server.announced_ms + servers.MAX_AGE_MS <= txn.now_ms
        ]
        if not aged:
            return placement.best(
                nominated, placement.Request(want.prefix, home)
            )
        for server in aged:
            servers.age(txn, server.announcement.server_id)


def _holders(
    txn: Transaction,
    want: data.QueuedRequest,
    version: str,
    avoid: tuple[str, ...],
) -> Iterator[data.ServerRow]:
    """Yields free servers that hold the prompt prefix of a want."""
    if not want.prefix:
        return
    holders = txn.prefix_holders.get((want.service, want.prefix), _EMPTY)
    for server_id in itertools.islice(holders, MAX_HOLDERS):
        row = txn.servers[server_id]
        if (
            row.announcement.version == version
            and row.announcement.data_centre not in txn.drained
            and server_id not in avoid
            and tables_module.free_level(row) is not None
        ):
            yield row


def _least(
    txn: Transaction,
    groups: list[tuple[str, str, str]],
    avoid: tuple[str, ...],
) -> list[data.ServerRow]:
    """Returns a least loaded free server of each group."""
    found = []
    for group in groups:
        for level in range(tables_module.LOAD_LEVELS):
            members = txn.free_servers.get((*group, level))
            server_id = members and next(
                (entry for entry in members.values() if entry not in avoid),
                None,
            )
            if server_id:
                found.append(txn.servers[server_id])
                break
    return found


# ---------------------------------------------------------------------------
# Requests that run alone
# ---------------------------------------------------------------------------


def _serve_alone(txn: Transaction, service: str, version: str) -> None:
    """Grants suspected requests a server of their own."""
    lane = txn.isolated_queues.get(service)
    row = lane and _next_alone(txn, lane)
    pool = txn.pools[service]
    if not row:
        _unreserve(txn, service)
        return
    most = max(1, int(pool.usable_count * SOLO_SHARE))
    while row and len(txn.pools[service].isolated_grants) < most:
        server = _emptied(txn, row, version)
        if server is None:
            return
        choice = Choice(row, server, False, "runs alone as a crash suspect")
        _grant(txn, choice, None, choice.reason)
        lane = txn.isolated_queues.get(service)
        row = lane and _next_alone(txn, lane)


def _next_alone(
    txn: Transaction, lane: data.RequestQueue
) -> data.QueueEntry | None:
    for position in range(lane.head, lane.tail):
        row = lane.entries.get(position)
        if row is None:
            continue
        suspicion = txn.suspicions.get(row.request.digest)
        if suspicion is None:
            # Cleared in the meantime: back to the queue of its workspace.
            leader_queues.isolate(txn, leader_queues.place_of(txn, row))
        elif not crashes.must_wait(suspicion):
            return row
    return None


def _emptied(
    txn: Transaction, row: data.QueueEntry, version: str
) -> data.ServerRow | None:
    """Finds an idle server, or reserves one that will become idle."""
    want = row.request
    pool = txn.pools[want.service]
    share = data.VersionShare(version)
    avoid = _avoided(txn, pool, want, share)
    reserved = txn.servers.get(pool.reserved_server)
    if reserved is not None and reserved.reserved_for_isolation:
        if not _may_run(txn, reserved, version, avoid):
            _unreserve(txn, want.service)
        elif placement.in_use(reserved) == 0:
            _unreserve(txn, want.service)
            return txn.servers[pool.reserved_server]
        else:
            return None
    for group in _free_groups(txn, want.service, version):
        members = txn.free_servers.get((*group, 0), _EMPTY)
        for server_id in itertools.islice(members.values(), MAX_IDLE_TRIES):
            server = txn.servers[server_id]
            if placement.in_use(server) == 0 and _may_run(
                txn, server, version, avoid
            ):
                return server
    _reserve(txn, want.service, version, avoid)
    return None


def _may_run(
    txn: Transaction, row: data.ServerRow, version: str, avoid: tuple[str, ...]
) -> bool:
    seen = row.announcement
    # Another broken connection to an incarnation that has one already could
    # not be told apart from it.
    return (
        (seen.server_id, seen.incarnation) not in txn.broken_connections
        and tables_module.usable(row)
        and not row.paused
        and not row.blocked
        and row.isolated_grant is None
        and row.slot_limit.limit > 0
        and row.announced_ms + servers.MAX_AGE_MS > txn.now_ms
        and seen.version == version
        and seen.data_centre not in txn.drained
        and seen.server_id not in avoid
    )


def _reserve(
    txn: Transaction, service: str, version: str, avoid: tuple[str, ...]
) -> None:
    """Empties the server with the fewest requests."""
    rows = [
        row
        for row in tables_module.of_service(txn, service)
        if _may_run(txn, row, version, avoid)
    ]
    if not rows:
        return
    row = min(rows, key=lambda row: (placement.in_use(row), row.key))
    server_id = row.announcement.server_id
    txn.log_event(
        "server_reserved",
        "a crash suspect runs alone",
        server=server_id,
        in_use=placement.in_use(row),
    )
    tables_module.store(txn, data.evolve(row, reserved_for_isolation=True))
    txn.pools[service] = data.evolve(
        txn.pools[service], reserved_server=server_id
    )


def _unreserve(txn: Transaction, service: str) -> None:
    pool = txn.pools[service]
    if not pool.reserved_server:
        return
    row = txn.servers.get(pool.reserved_server)
    if row is not None and row.reserved_for_isolation:
        tables_module.store(txn, data.evolve(row, reserved_for_isolation=False))
    txn.pools[service] = data.evolve(txn.pools[service], reserved_server="")


# ---------------------------------------------------------------------------
# Grant
# ---------------------------------------------------------------------------


def _grant(
    txn: Transaction,
    choice: Choice,
    share: data.VersionShare | None,
    reason: str,
) -> data.Account:
    """Grants a slot to a want.

    Args:
      txn: Tables.
      choice: Want and server.
      share: Division of traffic; None for a request that runs alone.
      reason: Why.

    Returns:
      The account of the workspace after the charge.
    """
    want = choice.want.request
    key = (txn.term, txn.next_grant)
    txn.next_grant += 1
    account, charged, weight = _charge(txn, want)
    seen = choice.server.announcement
    router = txn.routers[choice.want.router]
    leader_queues.take(txn, router.queue_positions[want.sequence])
    txn.routers[choice.want.router] = data.evolve(
        router,
        queue_positions=router.queue_positions.delete(want.sequence),
        grants=router.grants.set(key, None),
    )
    _store_grant(txn, choice, key, solo=share is None)
    pool = txn.pools[want.service]
    used = share.share if share and share.candidate else 0.0
    if (
        used
        and choice.candidate
        and not placement.owed(share, pool.candidate_credit)
    ):
        # An overflow takes the turn of the current version. Charging it would
        # build up a debt of the candidate without current servers.
        used = 0.0
    if share is None:
        txn.pools[want.service] = data.evolve(
            pool, isolated_grants=pool.isolated_grants.set(key, None)
        )
        txn.suspicions[want.digest] = dataclasses.replace(
            txn.suspicions[want.digest], isolated_grant=key
        )
    elif used:
        txn.pools[want.service] = data.evolve(
            pool,
            candidate_credit=placement.spend(
                pool.candidate_credit, used, choice.candidate
            ),
        )
    txn.grants[key] = data.GrantRow(
        router=choice.want.router,
        server_id=seen.server_id,
        incarnation=seen.incarnation,
        version=seen.version,
        data_centre=seen.data_centre,
        workspace=want.workspace,
        service=want.service,
        route=want.route,
        digest=want.digest,
        weight=weight,
        charged=charged,
        granted_ms=txn.now_ms,
        echo_ms=router.sent_ms,
        charged_to_candidate=choice.candidate,
        candidate_share=used,
        server_load=placement.in_use(choice.server) + 1,
    )
    txn.grant_decisions.append(
        data.GrantDecision(
            choice.want.router,
            data.Grant(
                id=key[1],
                term=key[0],
                want=want.sequence,
                server_id=seen.server_id,
                incarnation=seen.incarnation,
                address=seen.address,
                version=seen.version,
                fetch_from=choice.source and choice.source.announcement.address,
            ),
            reason,
        )
    )
    return account


def _store_grant(
    txn: Transaction, choice: Choice, key: tables_module.GrantKey, solo: bool
) -> None:
    """Counts a grant at its server."""
    want, row = choice.want.request, choice.server
    engine = txn.scope.engine(want.service)
    declared = txn.scope.services.get(want.service)
    row = data.evolve(
        row,
        grants=row.grants.set(key, None),
        isolated_grant=key if solo else None,
    )
    if engine is not None:
        needed = choice.needed or engine_load.plan_prompt(
            want, engine_load.count_cached_tokens(row.load.cache, want), 0
        )
        unread = engine_load.estimate_unread_tokens(
            row.load, txn.now_ms, forecast.get_read_rate(txn, want.service)
        )
        load = engine_load.add_grant(
            row.load,
            key,
            want,
            needed,
            unread,
            engine.memory_tokens,
            txn.now_ms,
        )
        row = data.evolve(row, load=load)
        forecast.record_unread_share(txn, want, load.reservations[key])
    row = cold_servers.spend_credit(txn, row, declared and declared.cold)
    tables_module.store(txn, row)


def _charge(
    txn: Transaction, want: data.QueuedRequest
) -> tuple[data.Account, float, float]:
    """Charges the reservation of a want to its workspace."""
    account = tables_module.account(txn, want.service, want.workspace)
    own = txn.accounts.get((want.service, fairness.SERVICE_ACCOUNT))
    cost = fairness.compute_reservation(
        account,
        own or data.Account(),
        txn.scope.meter(want.service),
        want.hint,
    )
    weight = txn.scope.weight(want.workspace)
    account = fairness.add_cost(account, cost, weight, in_use=1)
    txn.accounts[(want.service, want.workspace)] = account
    return account, cost, weight
