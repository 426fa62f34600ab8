"""Forecast of the wait for a grant, and refusal of late requests.

This is the overload protection: once the queued requests of a workspace exceed
its share of a service for longer than the latency target, every further one
would only make all of them late. A request is therefore refused on arrival if
the queue of its workspace, served at the share of the workspace, takes longer
than the latency target. The caller is told when the queue will be served.

The wait is the queued work of the workspace, divided by its share of the
capacity of the servers: prompt tokens that engines read, or milliseconds of
slots. At engines with few places the answers that are being made may hold a
request up for longer than the prompts ahead of it, so the later of both times
counts. Workspaces with queued requests get shares in proportion to their
weights. At model engines only more urgent requests count, and a workspace whose
counter is not ahead of the others waits at most for the more urgent requests of
all workspaces.

Where the environment asks for max-min shares of a service, the shares are those
of the demands (`contention.py`), and a workspace within its share waits at most
for the more urgent requests of the others within theirs.
"""

from collections.abc import Iterable
import dataclasses
import itertools

import immutables

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import contention
from waxwingrack.operations import contention_tables
from waxwingrack.operations import engine_load
from waxwingrack.operations import fairness
from waxwingrack.operations import leader_queues
from waxwingrack.operations import placement
from waxwingrack.operations import server_speeds
from waxwingrack.operations import tables as tables_module

# Tokens that an engine reads in a millisecond, until a rate is measured. It is
# the start value of the mean of a service, between known engines (20 to 100).
DEFAULT_TOKENS_PER_MS = 40.0
# Longest time of a request that counts for the mean, in milliseconds.
MAX_RUN_MS = 600_000.0
# Weight of the latest measurement in the running means.
MEAN_STEP = 0.1
# Time from a grant to the first byte, besides reading the prompt.
FIRST_BYTE_OVERHEAD_MS = 15.0
# Cost of a request, in milliseconds of a slot, until one has ended.
DEFAULT_SLOT_MS = 50.0
# A workspace may be ahead of the others by its share of the engines over this
# time, which is well below the seconds over which shares must be equal.
MAX_LEAD_MS = 500.0
# Multiple of the latency target after which a request that still waits for an
# engine is refused. Its caller then has most of its deadline left for a retry.
MAX_WAIT_TARGETS = 2.0
# Maximum number of requests of one queue that are sorted by urgency.
MAX_SORTED_PER_QUEUE = 64
# Lowest capacity that is taken for granted, in work per millisecond.
MIN_RATE = 1e-6

# Fraction of the latency target that a forecast may use where its error is not
# learned. The rest is reserved for unknown load, such as new requests of
# workspaces without queued ones.
MAX_TARGET_FRACTION = 0.85

Transaction = tables_module.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForecast:
    """Forecast for one queued request.

    Attributes:
      wait_ms: Time until its grant.
      run_ms: Time from the grant to the first byte of its answer.
    """

    wait_ms: float
    run_ms: float


def record_unread_share(
    txn: Transaction,
    request: data.QueuedRequest,
    reservation: data.EngineReservation,
) -> None:
    """Updates the mean share of prompts that engines have to read."""
    if not request.prompt_tokens:
        return
    pool = txn.pools[request.service]
    share = reservation.unread_tokens / request.prompt_tokens
    txn.pools[request.service] = data.evolve(
        pool,
        unread_share=pool.unread_share
        + MEAN_STEP * (share - pool.unread_share),
    )


def record_read_rate(
    txn: Transaction,
    row: data.ServerRow,
    reservation: data.EngineReservation,
    in_order: bool,
    first_byte_ms: float,
) -> data.ServerSpeed:
    """Updates the rates at which an engine and its service read prompts.

    Args:
      txn: Tables.
      row: Row of the engine.
      reservation: Reservation of a request whose answer has begun.
      in_order: Whether the engine has begun the answers to all earlier prompts.
      first_byte_ms: Time from the dispatch to the first byte of the answer.

    Returns:
      The new speed of the engine, not stored yet.
    """
    service = row.announcement.service
    pool = txn.pools.get(service)
    if pool is None:
        return row.speed
    if not server_speeds.is_usable_time(first_byte_ms):
        txn.log_event(
            "speed_sample_ignored",
            f"a time of {first_byte_ms} ms to the first byte",
            server=row.announcement.server_id,
        )
        return row.speed
    mean_rate = get_read_rate(txn, service)
    rate = server_speeds.get_read_rate(row.speed, mean_rate)
    speed = server_speeds.time_reading(
        row.speed, rate, reservation, in_order, first_byte_ms, txn.now_ms
    )
    if server_speeds.has_rate_sample(speed, rate):
        speed, mean_rate = server_speeds.learn_read_rate(
            speed, mean_rate, MEAN_STEP
        )
        txn.pools[service] = data.evolve(pool, read_rate=mean_rate)
    return speed


def record_mean_rate(
    txn: Transaction,
    service: str,
    reservation: data.EngineReservation,
    first_byte_ms: float,
) -> None:
    """Updates the reading rate of a service whose speeds are not learned."""
    pool = txn.pools.get(service)
    if pool is None:
        return
    mean_rate = get_read_rate(txn, service)
    if reservation.tokens_ahead < server_speeds.MIN_ALONE_MS * mean_rate:
        return
    rate = reservation.tokens_ahead / max(1.0, first_byte_ms)
    rate = min(
        server_speeds.MAX_TOKENS_PER_MS,
        max(server_speeds.MIN_TOKENS_PER_MS, rate),
    )
    txn.pools[service] = data.evolve(
        pool, read_rate=mean_rate + MEAN_STEP * (rate - mean_rate)
    )


def record_run_time(txn: Transaction, service: str, run_ms: float) -> None:
    """Updates the mean time for which a request takes a place of an engine.

    Args:
      txn: Tables.
      service: Service.
      run_ms: Time from the dispatch of a completed request to its end.
    """
    pool = txn.pools.get(service)
    if pool is None or not 0 < run_ms <= MAX_RUN_MS:
        return
    mean_ms = pool.run_ms or run_ms
    txn.pools[service] = data.evolve(
        pool, run_ms=mean_ms + MEAN_STEP * (run_ms - mean_ms)
    )


def get_read_rate(txn: Transaction, service: str) -> float:
    """Returns the mean reading rate of the engines of a service.

    Returns:
      Tokens per millisecond.
    """
    return txn.pools[service].read_rate or DEFAULT_TOKENS_PER_MS


def get_engine_read_rate(txn: Transaction, row: data.ServerRow) -> float:
    """Returns the tokens that one engine reads in a millisecond."""
    return server_speeds.get_read_rate(
        row.speed, get_read_rate(txn, row.announcement.service)
    )


def expect_first_byte(
    txn: Transaction,
    service: str,
    reservation: data.EngineReservation | None,
) -> float:
    """Returns the expected time from a grant to the first byte.

    It follows from the mean rate of the service, as it is the measure by which
    versions are compared: with the rate of the engine, a version that reads
    more slowly would count as if that were expected.

    Args:
      txn: Tables.
      service: Service.
      reservation: Reservation of the grant; None for other servers.

    Returns:
      The time in milliseconds; 0 if nothing is known about the prompt.
    """
    if reservation is None or not reservation.tokens_ahead:
        return 0.0
    read_ms = reservation.tokens_ahead / get_read_rate(txn, service)
    return FIRST_BYTE_OVERHEAD_MS + read_ms


def refuse_late_arrivals(txn: Transaction, service: str) -> None:
    """Refuses newly arrived requests that would be served too late."""
    arrivals = [
        entry
        for router, sequence in txn.new_arrivals
        if (entry := _find_queue_entry(txn, router, sequence, service))
        is not None
    ]
    if not any(entry.request.target_ms for entry in arrivals):
        return
    capacity = _compute_capacity(txn, service)
    if capacity is None:
        return
    if not txn.environment_index.has_max_min_shares(service):
        with_target = [entry for entry in arrivals if entry.request.target_ms]
        _refuse_by_wait(txn, service, with_target, capacity)
        return
    returning = contention_tables.record_arrivals(
        txn,
        service,
        [(entry, _estimate_cost(txn, entry.request)) for entry in arrivals],
    )
    entries = list(
        itertools.chain.from_iterable(
            queue.entries.values()
            for queue in leader_queues.list_workspace_queues(txn, service)
        )
    )
    if txn.environment_index.engine(service) is not None:
        entries = _sort_entries(txn, entries)
    else:
        entries.sort(key=lambda entry: entry.arrival_number)
    _refuse_late_entries(
        txn,
        service,
        [(entry, _estimate_cost(txn, entry.request)) for entry in entries],
        {entry.arrival_number for entry in arrivals if entry.request.target_ms},
        returning,
        capacity,
    )


def _refuse_by_wait(
    txn: Transaction,
    service: str,
    arrivals: list[data.QueueEntry],
    capacity: "_Capacity",
) -> None:
    """Refuses new requests whose own forecast wait is too long."""
    if txn.environment_index.engine(service) is not None:
        _refuse_engine_arrivals_by_wait(txn, service, arrivals, capacity)
        return
    for entry in arrivals:
        queued_cost = _sum_queued_cost(txn, service, entry.request.workspace)
        ahead = _Ahead(queued_cost - _estimate_cost(txn, entry.request))
        _refuse_if_late(
            txn, entry, _forecast_wait(txn, entry.request, ahead, capacity)
        )


def _refuse_engine_arrivals_by_wait(
    txn: Transaction,
    service: str,
    arrivals: list[data.QueueEntry],
    capacity: "_Capacity",
) -> None:
    """Refuses new requests that would wait too long for a model engine.

    One pass over all queued requests, the most urgent first, adds up the work
    ahead of each new request.
    """
    new_arrivals = {entry.arrival_number for entry in arrivals}
    counters = {
        workspace: tables_module.get_account(txn, service, workspace).counter
        for workspace in txn.backlog[service]
    }
    limit = min(counters.values()) + _compute_counter_lead(
        txn, service, capacity
    )
    total = _Ahead()
    own = dict.fromkeys(counters, total)
    for entry in _sort_entries(
        txn,
        itertools.chain.from_iterable(
            queue.entries.values()
            for queue in leader_queues.list_workspace_queues(txn, service)
        ),
    ):
        workspace = entry.request.workspace
        if entry.arrival_number in new_arrivals:
            ahead = own[workspace]
            forecast = _forecast_wait(txn, entry.request, ahead, capacity)
            if counters[workspace] + ahead.cost <= limit:
                wait_ms = min(
                    forecast.wait_ms, _compute_wait_ms(total, capacity, 1.0)
                )
                forecast = WaitForecast(wait_ms, forecast.run_ms)
            if _refuse_if_late(txn, entry, forecast):
                continue
        cost = _estimate_cost(txn, entry.request)
        total = total.add(cost)
        own[workspace] = own[workspace].add(cost)


def _refuse_if_late(
    txn: Transaction, entry: data.QueueEntry, forecast: WaitForecast
) -> bool:
    """Refuses a request that would be served too late.

    Returns:
      Whether the request was refused.
    """
    slack_ms = MAX_TARGET_FRACTION * entry.request.target_ms - forecast.run_ms
    if forecast.wait_ms <= max(slack_ms, FIRST_BYTE_OVERHEAD_MS):
        return False
    leader_queues.refuse_request(
        txn,
        entry.router,
        entry.request.sequence,
        errors.ErrorKind.OVERLOADED,
        f"{forecast.wait_ms:.0f} ms to wait of {slack_ms:.0f} ms",
        max(contention.MIN_RETRY_MS, round(forecast.wait_ms - slack_ms)),
    )
    return True


def _refuse_late_entries(
    txn: Transaction,
    service: str,
    entries: list[tuple[data.QueueEntry, float]],
    new_arrivals: set[int],
    returning: frozenset[int],
    capacity: "_Capacity",
) -> None:
    """Refuses new requests that would wait too long.

    One pass over all queued requests adds up the work ahead of each new
    request: all that of its workspace that is served earlier and, for a
    workspace within its share, at most that of all workspaces within theirs.

    Args:
      txn: Tables.
      service: Service.
      entries: Queued requests and their work, in order of service.
      new_arrivals: Arrival numbers of the requests to decide.
      returning: Arrival numbers of returning requests.
      capacity: Capacity of the service.
    """
    shares = _compute_shares(txn, service, entries, capacity)
    is_engine = txn.environment_index.engine(service) is not None
    queued = {entry.request.workspace for entry, _ in entries}
    counters = {
        workspace: tables_module.get_account(txn, service, workspace).counter
        for workspace in queued
    }
    limit = min(counters.values()) + _compute_counter_lead(
        txn, service, capacity
    )
    is_within = {workspace: shares.is_within(workspace) for workspace in queued}
    pending_room = dict.fromkeys(queued, 0.0)
    for entry, cost in entries:
        if entry.arrival_number in returning:
            pending_room[entry.request.workspace] += cost
    # Hot loop: runs over every queued request in each tick with arrivals.
    costs, counts = dict.fromkeys(queued, 0.0), dict.fromkeys(queued, 0)
    within_cost, within_count = 0.0, 0
    for entry, cost in entries:
        workspace = entry.request.workspace
        if entry.arrival_number in returning:
            pending_room[workspace] -= cost
        if entry.arrival_number in new_arrivals:
            ahead = _Ahead(costs[workspace], counts[workspace])
            share = shares.get_rate(workspace) / shares.rate
            wait_ms = _compute_wait_ms(ahead, capacity, share)
            if is_engine and counters[workspace] + ahead.cost <= limit:
                total = _Ahead(sum(costs.values()), sum(counts.values()))
                wait_ms = min(wait_ms, _compute_wait_ms(total, capacity, 1.0))
            if is_engine and is_within[workspace]:
                total = _Ahead(within_cost, within_count)
                wait_ms = min(wait_ms, _compute_wait_ms(total, capacity, 1.0))
            candidate = contention_tables.Candidate(
                entry,
                cost,
                wait_ms,
                _estimate_first_byte_ms(txn, entry.request, capacity),
                txn.pools[service].run_ms,
                pending_room[workspace],
            )
            if contention_tables.decide(
                txn, candidate, shares, entry.arrival_number in returning
            ):
                continue
        costs[workspace] += cost
        counts[workspace] += 1
        if is_within[workspace]:
            within_cost += cost
            within_count += 1


def _compute_shares(
    txn: Transaction,
    service: str,
    entries: list[tuple[data.QueueEntry, float]],
    capacity: "_Capacity",
) -> contention.Shares:
    """Computes the shares of the workspaces in the work done.

    Where the places of engines limit it, the work done is less than what the
    engines could read.
    """
    queued: dict[str, float] = {}
    for entry, cost in entries:
        workspace = entry.request.workspace
        queued[workspace] = queued.get(workspace, 0.0) + cost
    rate = capacity.rate
    if capacity.freed_places and entries:
        mean_cost = sum(queued.values()) / len(entries)
        rate = min(rate, capacity.freed_places * mean_cost)
    return contention_tables.compute_shares(
        txn, service, queued, max(MIN_RATE, rate)
    )


def refuse_overdue_requests(txn: Transaction, service: str) -> None:
    """Refuses requests that have waited too long for an engine.

    More urgent requests have been served before them, and this could continue
    until their callers give up.
    """
    if txn.environment_index.engine(service) is None:
        return
    overdue = [
        entry
        for queue in leader_queues.list_workspace_queues(txn, service)
        for entry in queue.entries.values()
        if entry.request.target_ms
        and txn.now_ms - entry.arrived_ms
        >= max(MAX_WAIT_TARGETS * entry.request.target_ms, entry.kept_ms)
    ]
    capacity = _compute_capacity(txn, service) if overdue else None
    if capacity is None:
        return
    if not txn.environment_index.has_max_min_shares(service):
        _refuse_overdue_by_wait(txn, service, overdue, capacity)
        return
    entries = [
        (entry, _estimate_cost(txn, entry.request))
        for queue in leader_queues.list_workspace_queues(txn, service)
        for entry in queue.entries.values()
    ]
    shares = _compute_shares(txn, service, entries, capacity)
    for entry in overdue:
        workspace = entry.request.workspace
        rate = shares.get_rate(workspace)
        queued = _Ahead(_sum_queued_cost(txn, service, workspace))
        contention_tables.record_late_refusal(txn, entry.request)
        contention_tables.refuse(
            txn,
            entry,
            f"waited {txn.now_ms - entry.arrived_ms} ms",
            _estimate_cost(txn, entry.request),
            _compute_wait_ms(queued, capacity, rate / shares.rate),
            rate,
        )


def _refuse_overdue_by_wait(
    txn: Transaction,
    service: str,
    overdue: list[data.QueueEntry],
    capacity: "_Capacity",
) -> None:
    for entry in overdue:
        queued_cost = _sum_queued_cost(txn, service, entry.request.workspace)
        wait_ms = _forecast_wait(
            txn, entry.request, _Ahead(queued_cost), capacity
        ).wait_ms
        leader_queues.refuse_request(
            txn,
            entry.router,
            entry.request.sequence,
            errors.ErrorKind.OVERLOADED,
            f"waited {txn.now_ms - entry.arrived_ms} ms",
            max(contention.MIN_RETRY_MS, round(wait_ms)),
        )


def sort_by_urgency(txn: Transaction, service: str) -> list[data.QueueEntry]:
    """Returns the queued requests of a service, the one due first in front.

    Requests that can no longer be served in time come after all others.
    """
    return _sort_entries(
        txn,
        itertools.chain.from_iterable(
            itertools.islice(
                leader_queues.iter_entries(queue), MAX_SORTED_PER_QUEUE
            )
            for queue in leader_queues.list_workspace_queues(txn, service)
        ),
    )


def _sort_entries(
    txn: Transaction, entries: Iterable[data.QueueEntry]
) -> list[data.QueueEntry]:
    return sorted(entries, key=lambda entry: _make_urgency_key(txn, entry))


def get_max_counter_lead(txn: Transaction, service: str) -> float:
    """Returns the cost by which a counter may exceed the lowest one."""
    capacity = _compute_capacity(txn, service)
    return (
        0.0
        if capacity is None
        else _compute_counter_lead(txn, service, capacity)
    )


def _compute_counter_lead(
    txn: Transaction, service: str, capacity: "_Capacity"
) -> float:
    return MAX_LEAD_MS * capacity.rate / max(1.0, _sum_weights(txn, service))


def _make_urgency_key(
    txn: Transaction, entry: data.QueueEntry
) -> tuple[bool, int, int]:
    target_ms = entry.request.target_ms or engine_load.DEFAULT_TARGET_MS
    if entry.kept_ms:
        # It is late in any case, so it must not pass what can come in time.
        target_ms = round(MAX_WAIT_TARGETS * target_ms)
    due_ms = entry.arrived_ms + target_ms
    is_late = (
        not entry.kept_ms
        and txn.now_ms + _estimate_run_ms(txn, entry.request) > due_ms
    )
    return (is_late, due_ms, entry.arrival_number)


def _sum_weights(txn: Transaction, service: str) -> float:
    """Returns the total weight of all workspaces with queued requests."""
    backlog = txn.backlog.get(service, immutables.Map())
    return sum(txn.environment_index.weight(workspace) for workspace in backlog)


def _find_queue_entry(
    txn: Transaction, router: str, sequence: int, service: str
) -> data.QueueEntry | None:
    router_row = txn.routers.get(router)
    position = router_row.queue_positions.get(sequence) if router_row else None
    if position is None or position.service != service:
        return None
    if position.workspace == leader_queues.ISOLATED_WORKSPACE:
        return None
    queue = txn.queues[(service, position.workspace)][position.avoided_servers]
    return queue.entries[position.index]


def _sum_queued_cost(txn: Transaction, service: str, workspace: str) -> float:
    queues = txn.queues.get((service, workspace), immutables.Map())
    return sum(
        _estimate_cost(txn, entry.request)
        for queue in queues.values()
        for entry in queue.entries.values()
    )


def _estimate_cost(txn: Transaction, request: data.QueuedRequest) -> float:
    """Returns the work of a request, in tokens to read or slot milliseconds."""
    pool = txn.pools[request.service]
    if request.prompt_tokens:
        return request.prompt_tokens * pool.unread_share
    account = txn.accounts.get((request.service, fairness.SERVICE_ACCOUNT))
    return (
        account.mean_cost if account and account.mean_cost else DEFAULT_SLOT_MS
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Ahead:
    """Queued requests that are served before another one.

    Attributes:
      cost: Their work, in tokens to read or slot milliseconds.
      count: Their number; counted for model engines only.
    """

    cost: float = 0.0
    count: int = 0

    def add(self, cost: float) -> "_Ahead":
        """Returns the sum with one more request."""
        return _Ahead(self.cost + cost, self.count + 1)


@dataclasses.dataclass(frozen=True, slots=True)
class _Capacity:
    """Capacity of the servers of a service.

    Attributes:
      rate: Work done in a millisecond.
      queue_ms: Time for which a granted request waits at its server.
      free_places: Places of model engines that are free now.
      freed_places: Places of model engines that become free in a millisecond
        while all are taken; 0 if it is not known, or for other servers.
    """

    rate: float
    queue_ms: float
    free_places: int = 0
    freed_places: float = 0.0


def _compute_capacity(txn: Transaction, service: str) -> _Capacity | None:
    servers = [
        server
        for server in tables_module.iter_usable_servers(txn, service)
        if server.announcement.data_centre not in txn.drained
    ]
    if not servers:
        return None
    if txn.environment_index.engine(service) is None:
        return _Capacity(
            float(sum(server.slot_limit.limit for server in servers)), 0.0
        )
    service_rate = get_read_rate(txn, service)
    rate = sum(server_speeds.list_read_rates(servers, service_rate))
    places = sum(server.slot_limit.limit for server in servers)
    taken = sum(placement.count_used_slots(server) for server in servers)
    run_ms = txn.pools[service].run_ms
    # While requests wait, every engine is kept at its limit of unread prompts.
    return _Capacity(
        rate,
        engine_load.MAX_UNREAD_MS,
        max(0, places - taken),
        places / run_ms if run_ms else 0.0,
    )


def _compute_wait_ms(ahead: _Ahead, capacity: _Capacity, share: float) -> float:
    """Computes the time until the requests ahead have been granted.

    Args:
      ahead: The requests ahead.
      capacity: Capacity of the service.
      share: Part of the capacity that serves them.
    """
    read_ms = ahead.cost / (capacity.rate * share)
    waiting_for_place = ahead.count + 1 - capacity.free_places * share
    if not capacity.freed_places or waiting_for_place <= 0:
        return read_ms
    return max(read_ms, waiting_for_place / (capacity.freed_places * share))


def _forecast_wait(
    txn: Transaction,
    request: data.QueuedRequest,
    ahead: _Ahead,
    capacity: _Capacity,
) -> WaitForecast:
    weight = txn.environment_index.weight(request.workspace)
    share = weight / max(weight, _sum_weights(txn, request.service))
    run_ms = (
        FIRST_BYTE_OVERHEAD_MS
        + capacity.queue_ms
        + _estimate_run_ms(txn, request)
    )
    return WaitForecast(_compute_wait_ms(ahead, capacity, share), run_ms)


def _estimate_first_byte_ms(
    txn: Transaction, request: data.QueuedRequest, capacity: _Capacity
) -> float:
    """Returns the expected time from the grant to the first byte."""
    return (
        FIRST_BYTE_OVERHEAD_MS
        + capacity.queue_ms
        + _estimate_run_ms(txn, request)
    )


def _estimate_run_ms(txn: Transaction, request: data.QueuedRequest) -> float:
    if request.prompt_tokens:
        return _estimate_cost(txn, request) / get_read_rate(
            txn, request.service
        )
    return _estimate_cost(txn, request)
