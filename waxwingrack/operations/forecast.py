"""Forecast of the wait for a grant, and refusal of what would come too late.

This answers overload: once the wants of a workspace exceed its share of a
service for longer than callers are content to wait, every further one would
only make all of them late. A want is therefore refused when it arrives if its
workspace's queue, at the share that the workspace gets, is longer than the
latency target. The caller is told when the queue will have been served.

The wait is the work that the workspace has queued, divided by its part of what
the servers get done: prompt tokens that engines read, or milliseconds of slots.
Workspaces with wants share equally, by weight. At model engines only the wants
that are more urgent count, and a workspace that is not ahead of the others
waits for no more than all of these.
"""

from collections.abc import Iterable
import dataclasses
import itertools

import immutables

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import engine_load
from waxwingrack.operations import fairness
from waxwingrack.operations import leader_queues
from waxwingrack.operations import tables as tables_module

# Tokens that an engine reads in a millisecond, until some were measured.
DEFAULT_TOKENS_PER_MS = 40.0
# Weight of the latest measurement in the running means.
MEAN_STEP = 0.1
# Fewest tokens ahead of an answer from which a rate is measured; with fewer,
# the steps of running requests dominate.
MIN_MEASURED_TOKENS = 4_000
# Time from a grant to the first byte besides the reading, in milliseconds.
FIRST_BYTE_OVERHEAD_MS = 15.0
# Part of the latency target that a forecast may take up; the rest is for what
# it cannot know, such as requests of workspaces that have none waiting.
MAX_TARGET_FRACTION = 0.85
# Cost of a request of which none has ended yet, in milliseconds of a slot.
DEFAULT_SLOT_MS = 50.0
# Time by whose share of the engines a workspace may be ahead of the others, in
# milliseconds; well below the seconds over which shares must be equal.
MAX_LEAD_MS = 500.0
# Multiple of the latency target after which a want that still waits for an
# engine is refused. Its caller has most of its time left to come back.
MAX_WAIT_TARGETS = 2.0
# Wants of a queue that are put in order of urgency.
MAX_SORTED_PER_QUEUE = 64
# Shortest time after which a refused caller is asked back, in milliseconds.
MIN_RETRY_MS = 300

Transaction = tables_module.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForecast:
    """Forecast for one want.

    Attributes:
      wait_ms: Time until it would be granted.
      run_ms: Time from then to the first byte of its answer.
    """

    wait_ms: float
    run_ms: float


def record_unread_share(
    txn: Transaction, want: data.QueuedRequest, use: data.EngineReservation
) -> None:
    """Learns which part of the prompts engines have to read."""
    if not want.prompt_tokens:
        return
    pool = txn.pools[want.service]
    share = use.unread_tokens / want.prompt_tokens
    txn.pools[want.service] = data.evolve(
        pool,
        unread_share=pool.unread_share
        + MEAN_STEP * (share - pool.unread_share),
    )


def record_read_rate(
    txn: Transaction,
    service: str,
    use: data.EngineReservation,
    first_byte_ms: float,
) -> None:
    """Learns how fast engines read."""
    pool = txn.pools.get(service)
    if pool is None or use.tokens_ahead < MIN_MEASURED_TOKENS:
        return
    rate = use.tokens_ahead / max(1.0, first_byte_ms)
    known = get_read_rate(txn, service)
    txn.pools[service] = data.evolve(
        pool, read_rate=known + MEAN_STEP * (rate - known)
    )


def get_read_rate(txn: Transaction, service: str) -> float:
    """Returns the tokens that an engine of a service reads in a millisecond."""
    return txn.pools[service].read_rate or DEFAULT_TOKENS_PER_MS


def refuse_late_arrivals(txn: Transaction, service: str) -> None:
    """Refuses the wants that have just come and would be served too late."""
    arrived = [
        row
        for router, sequence in txn.new_arrivals
        if (row := _row(txn, router, sequence, service)) is not None
        and row.request.target_ms
    ]
    if not arrived:
        return
    capacity = _capacity(txn, service)
    if capacity is None:
        return
    if txn.scope.engine(service) is not None:
        _refuse_late_at_engines(txn, service, arrived, capacity)
        return
    for row in arrived:
        queued = _queued(txn, service, row.request.workspace)
        ahead = queued - _cost(txn, row.request)
        _refuse_if_late(txn, row, _forecast(txn, row.request, ahead, capacity))


def _refuse_late_at_engines(
    txn: Transaction,
    service: str,
    arrived: list[data.QueueEntry],
    capacity: "_Capacity",
) -> None:
    """Refuses arrived wants that would wait too long for a model engine.

    One pass over all wants, the most urgent first, adds up what each of those
    that have arrived has to wait for.
    """
    new = {row.arrival_number for row in arrived}
    values = {
        workspace: tables_module.account(txn, service, workspace).counter
        for workspace in txn.backlog[service]
    }
    limit = min(values.values()) + _lead(txn, service, capacity)
    everybody = 0.0
    own = dict.fromkeys(values, 0.0)
    for row in _sorted_by_urgency(
        txn,
        itertools.chain.from_iterable(
            lane.entries.values()
            for lane in leader_queues.of_workspaces(txn, service)
        ),
    ):
        workspace = row.request.workspace
        if row.arrival_number in new:
            ahead = own[workspace]
            forecast = _forecast(txn, row.request, ahead, capacity)
            if values[workspace] + ahead <= limit:
                wait_ms = min(forecast.wait_ms, everybody / capacity.rate)
                forecast = WaitForecast(wait_ms, forecast.run_ms)
            if _refuse_if_late(txn, row, forecast):
                continue
        cost = _cost(txn, row.request)
        everybody += cost
        own[workspace] += cost


def _refuse_if_late(
    txn: Transaction, row: data.QueueEntry, forecast: WaitForecast
) -> bool:
    """Refuses a want that would be served too late.

    Returns:
      Whether it was refused.
    """
    slack_ms = MAX_TARGET_FRACTION * row.request.target_ms - forecast.run_ms
    if forecast.wait_ms <= max(slack_ms, FIRST_BYTE_OVERHEAD_MS):
        return False
    leader_queues.refuse(
        txn,
        row.router,
        row.request.sequence,
        errors.ErrorKind.OVERLOADED,
        f"{forecast.wait_ms:.0f} ms to wait of {slack_ms:.0f} ms",
        max(MIN_RETRY_MS, round(forecast.wait_ms - slack_ms)),
    )
    return True


def refuse_overdue_requests(txn: Transaction, service: str) -> None:
    """Refuses the wants that have waited for an engine for too long.

    More urgent wants have passed them, and may go on to do so until their
    callers give up.
    """
    if txn.scope.engine(service) is None:
        return
    overdue = [
        row
        for lane in leader_queues.of_workspaces(txn, service)
        for row in lane.entries.values()
        if row.request.target_ms
        and txn.now_ms - row.arrived_ms
        >= MAX_WAIT_TARGETS * row.request.target_ms
    ]
    capacity = _capacity(txn, service) if overdue else None
    if capacity is None:
        return
    for row in overdue:
        queued = _queued(txn, service, row.request.workspace)
        wait_ms = _forecast(txn, row.request, queued, capacity).wait_ms
        leader_queues.refuse(
            txn,
            row.router,
            row.request.sequence,
            errors.ErrorKind.OVERLOADED,
            f"waited {txn.now_ms - row.arrived_ms} ms",
            max(MIN_RETRY_MS, round(wait_ms)),
        )


def sort_by_urgency(txn: Transaction, service: str) -> list[data.QueueEntry]:
    """Returns the wants of a service, those that are due first in front.

    Wants that can no longer be served in time stand behind all others.
    """
    return _sorted_by_urgency(
        txn,
        itertools.chain.from_iterable(
            itertools.islice(leader_queues.in_order(lane), MAX_SORTED_PER_QUEUE)
            for lane in leader_queues.of_workspaces(txn, service)
        ),
    )


def _sorted_by_urgency(
    txn: Transaction, rows: Iterable[data.QueueEntry]
) -> list[data.QueueEntry]:
    return sorted(rows, key=lambda row: _urgency(txn, row))


def get_max_counter_lead(txn: Transaction, service: str) -> float:
    """Returns by how much a counter may be ahead of the lowest one."""
    capacity = _capacity(txn, service)
    return 0.0 if capacity is None else _lead(txn, service, capacity)


def _lead(txn: Transaction, service: str, capacity: "_Capacity") -> float:
    return MAX_LEAD_MS * capacity.rate / max(1.0, _weights(txn, service))


def _urgency(txn: Transaction, row: data.QueueEntry) -> tuple[bool, int, int]:
    due_ms = row.arrived_ms + (
        row.request.target_ms or engine_load.DEFAULT_TARGET_MS
    )
    late = txn.now_ms + _run_ms(txn, row.request) > due_ms
    return (late, due_ms, row.arrival_number)


def _weights(txn: Transaction, service: str) -> float:
    """Returns the weights of all workspaces with wants."""
    backlog = txn.backlog.get(service, immutables.Map())
    return sum(txn.scope.weight(workspace) for workspace in backlog)


def _row(
    txn: Transaction, router: str, sequence: int, service: str
) -> data.QueueEntry | None:
    known = txn.routers.get(router)
    place = known.queue_positions.get(sequence) if known else None
    if place is None or place.service != service:
        return None
    if place.workspace == leader_queues.ALONE:
        return None
    lane = txn.queues[(service, place.workspace)][place.avoided_servers]
    return lane.entries[place.index]


def _queued(txn: Transaction, service: str, workspace: str) -> float:
    lanes = txn.queues.get((service, workspace), immutables.Map())
    return sum(
        _cost(txn, row.request)
        for lane in lanes.values()
        for row in lane.entries.values()
    )


def _cost(txn: Transaction, want: data.QueuedRequest) -> float:
    """Returns the work of a want: tokens to read, or milliseconds of a slot."""
    pool = txn.pools[want.service]
    if want.prompt_tokens:
        return want.prompt_tokens * pool.unread_share
    own = txn.accounts.get((want.service, fairness.SERVICE_ACCOUNT))
    return own.mean_cost if own and own.mean_cost else DEFAULT_SLOT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class _Capacity:
    """What the servers of a service get done.

    Attributes:
      rate: Work in a millisecond.
      queue_ms: Time for which a granted request waits at its server.
    """

    rate: float
    queue_ms: float


def _capacity(txn: Transaction, service: str) -> _Capacity | None:
    rows = [
        row
        for row in tables_module.of_service(txn, service)
        if row.announcement.data_centre not in txn.drained
    ]
    if not rows:
        return None
    if txn.scope.engine(service) is None:
        return _Capacity(float(sum(row.slot_limit.limit for row in rows)), 0.0)
    rate = get_read_rate(txn, service)
    # While wants wait, engines are kept at the most that they may have unread.
    return _Capacity(len(rows) * rate, engine_load.MAX_UNREAD_TOKENS / rate)


def _forecast(
    txn: Transaction,
    want: data.QueuedRequest,
    ahead: float,
    capacity: _Capacity,
) -> WaitForecast:
    own = txn.scope.weight(want.workspace)
    part = own / max(own, _weights(txn, want.service))
    run_ms = FIRST_BYTE_OVERHEAD_MS + capacity.queue_ms + _run_ms(txn, want)
    return WaitForecast(ahead / (capacity.rate * part), run_ms)


def _run_ms(txn: Transaction, want: data.QueuedRequest) -> float:
    if want.prompt_tokens:
        return _cost(txn, want) / get_read_rate(txn, want.service)
    return _cost(txn, want)
