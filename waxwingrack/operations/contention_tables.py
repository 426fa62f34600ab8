"""Contention of services in the scheduler's tables.

Applies the decisions of `contention.py`, `forecast_errors.py` and
`size_classes.py` to requests that have just arrived, and keeps their state in
`Tables.contention`.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import contention
from waxwingrack.operations import forecast_errors
from waxwingrack.operations import leader_queues
from waxwingrack.operations import size_classes
from waxwingrack.operations import tables as tables_module

# Bound on the kinds of a service; requests of further ones have no classes.
MAX_KINDS = 1_024
# Time for which a kept large request may wait, as a multiple of its target.
KEPT_TARGETS = 2.0
# Wait that is always allowed, in milliseconds, so that an idle server takes a
# request that is late anyway.
MIN_SLACK_MS = 15.0

Transaction = tables_module.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A new request with its forecast.

    Attributes:
      entry: The request.
      cost: Its work.
      wait_ms: Time until its grant, without the room kept for returns.
      run_ms: Time from the grant to the first byte of its answer.
      end_ms: Time from the grant to the end of its answer; 0 if unknown.
      room: Work of returns of its workspace that are decided later.
    """

    entry: data.QueueEntry
    cost: float
    wait_ms: float
    run_ms: float
    end_ms: float = 0.0
    room: float = 0.0


def get_load(txn: Transaction, service: str) -> contention.ServiceLoad:
    """Returns the contention of a service."""
    return txn.contention.get(service) or contention.ServiceLoad()


def record_arrivals(
    txn: Transaction,
    service: str,
    arrivals: Iterable[tuple[data.QueueEntry, float]],
) -> frozenset[int]:
    """Records new requests and recognises returning callers.

    A return for which room was kept is no new demand, as it was counted when it
    was refused.

    Args:
      txn: Tables.
      service: Service.
      arrivals: New requests and their work.

    Returns:
      Arrival numbers of the returning requests.
    """
    load = contention.remove_expired(get_load(txn, service), txn.now_ms)
    returning, new_work = set(), []
    kinds = load.kinds.mutate()
    for entry, cost in arrivals:
        request = entry.request
        load, found = contention.take_return(
            load, request.workspace, request.digest, txn.now_ms
        )
        if found is not None:
            returning.add(entry.arrival_number)
        if found is None or not found.cost:
            new_work.append((request.workspace, cost))
        kind = kinds.get(request.route)
        if request.target_ms and (kind is not None or len(kinds) < MAX_KINDS):
            kinds[request.route] = size_classes.add_size(
                kind or size_classes.Kind(), _get_size(request)
            )
    load = contention.add_arrivals(load, new_work, txn.now_ms)
    txn.contention[service] = data.evolve(load, kinds=kinds.finish())
    return frozenset(returning)


def compute_shares(
    txn: Transaction, service: str, queued: Mapping[str, float], rate: float
) -> contention.Shares:
    """Computes the max-min shares of a service and logs who exceeds them.

    Args:
      txn: Tables.
      service: Service.
      queued: Queued work by workspace.
      rate: Capacity in work per millisecond.
    """
    load = get_load(txn, service)
    names = {*queued, *load.workspaces}
    weights = {name: txn.environment_index.weight(name) for name in names}
    shares = contention.Shares(
        load,
        queued,
        {name: weight for name, weight in weights.items() if weight > 0},
        rate,
        txn.now_ms,
    )
    if load.swept_ms == txn.now_ms:
        over = shares.list_over()
        if over != load.over:
            txn.log_event(
                "workspaces_over_share",
                f"share {shares.level:.3g} a millisecond and weight",
                service=service,
                workspaces=sorted(over),
            )
            txn.contention[service] = data.evolve(load, over=over)
    return shares


def decide(
    txn: Transaction,
    candidate: Candidate,
    shares: contention.Shares,
    is_returning: bool,
) -> bool:
    """Refuses a new request if it would be served too late.

    Args:
      txn: Tables.
      candidate: The request with its forecast.
      shares: Shares of its service.
      is_returning: Whether its caller came back as told.

    Returns:
      Whether the request was refused.
    """
    entry, request = candidate.entry, candidate.entry.request
    load = get_load(txn, request.service)
    rate = shares.get_rate(request.workspace)
    wait_ms = candidate.wait_ms
    if not is_returning:
        wait_ms += _find_room(load, candidate, txn.now_ms) / rate
    slack_ms = forecast_errors.compute_slack_ms(
        load.errors, request.target_ms, request.passed_ms, candidate.run_ms
    )
    is_late = wait_ms > max(slack_ms, MIN_SLACK_MS)
    kept_ms, reason = 0, ""
    if is_late:
        is_within = shares.is_within(request.workspace)
        kept_ms, reason = _find_kept_time(
            load, candidate, wait_ms, is_returning and is_within
        )
    refused = is_late and not kept_ms
    _record_decision(txn, request, refused)
    if refused:
        refuse(
            txn,
            entry,
            f"{wait_ms:.0f} ms to wait of {slack_ms:.0f} ms",
            candidate.cost,
            wait_ms - slack_ms,
            rate,
        )
        return True
    if kept_ms:
        txn.log_event(
            "late_request_kept",
            reason,
            service=request.service,
            workspace=request.workspace,
            router=entry.router,
            want=request.sequence,
        )
        leader_queues.replace_entry(txn, _mark(entry, None, kept_ms))
    elif _is_observed(request, wait_ms, candidate.run_ms):
        forecast = data.FirstByteForecast(
            entry.arrived_ms - request.passed_ms,
            request.passed_ms + wait_ms + candidate.run_ms,
            request.target_ms,
        )
        leader_queues.replace_entry(txn, _mark(entry, forecast, 0))
    return False


def refuse(
    txn: Transaction,
    entry: data.QueueEntry,
    reason: str,
    cost: float,
    earliest_ms: float,
    rate: float,
) -> None:
    """Refuses a request and gives its caller a place to come back.

    Args:
      txn: Tables.
      entry: The request.
      reason: Reason for the log.
      cost: Its work.
      earliest_ms: Time until the queue of its workspace has room.
      rate: Work of its workspace that is served per millisecond.
    """
    request = entry.request
    load, retry_ms = contention.schedule_return(
        get_load(txn, request.service),
        contention.RefusedWork(
            request.workspace,
            request.digest,
            cost,
            request.left_ms - (txn.now_ms - entry.arrived_ms)
            if request.left_ms
            else 0,
            earliest_ms,
            rate,
        ),
        txn.now_ms,
    )
    txn.contention[request.service] = load
    leader_queues.refuse_request(
        txn,
        entry.router,
        request.sequence,
        errors.ErrorKind.OVERLOADED,
        reason,
        retry_ms,
    )


def record_late_refusal(txn: Transaction, request: data.QueuedRequest) -> None:
    """Records the refusal of a request that had been admitted."""
    _record_decision(txn, request, True)


def record_first_byte(
    txn: Transaction, grant: data.GrantRow, first_byte_at_ms: float
) -> None:
    """Learns the error of a forecast from an answer that has begun.

    Args:
      txn: Tables.
      grant: Grant of the request.
      first_byte_at_ms: Time at which the leader can take the answer as begun.
    """
    forecast = grant.forecast
    if forecast is None:
        return
    load = get_load(txn, grant.service)
    txn.contention[grant.service] = data.evolve(
        load,
        errors=forecast_errors.observe(
            load.errors,
            forecast.expected_ms,
            first_byte_at_ms - forecast.since_ms,
            forecast.target_ms,
        ),
    )


def _mark(
    entry: data.QueueEntry,
    forecast: data.FirstByteForecast | None,
    kept_ms: int,
) -> data.QueueEntry:
    return data.QueueEntry(
        entry.router,
        entry.request,
        entry.arrival_number,
        entry.arrived_ms,
        forecast,
        kept_ms,
    )


def _find_room(
    load: contention.ServiceLoad, candidate: Candidate, now_ms: int
) -> float:
    """Returns the work of returns that are served before a newcomer."""
    own = load.workspaces.get(candidate.entry.request.workspace)
    if own is None or not own.room:
        return candidate.room
    due_ms = now_ms + candidate.wait_ms
    return candidate.room + contention.sum_room(own, now_ms, due_ms)


def _find_kept_time(
    load: contention.ServiceLoad,
    candidate: Candidate,
    wait_ms: float,
    may_return: bool,
) -> tuple[int, str]:
    """Finds out whether a request is kept although it may be late.

    Args:
      load: Contention at the service.
      candidate: The request.
      wait_ms: Time until its grant.
      may_return: Whether its caller came back as told and its workspace is
        within its share.

    Returns:
      The time for which it is kept, 0 if it is not, and the reason.
    """
    request = candidate.entry.request
    limit_ms = math.floor(KEPT_TARGETS * request.target_ms)
    returned_ms = limit_ms
    if request.left_ms:
        end_ms = max(candidate.run_ms, candidate.end_ms)
        returned_ms = math.floor(request.left_ms - end_ms)
    if may_return and wait_ms <= returned_ms:
        return returned_ms, "it was refused once"
    kind = load.kinds.get(request.route, size_classes.Kind())
    if wait_ms + candidate.run_ms <= limit_ms and size_classes.must_be_kept(
        kind, _get_size(request)
    ):
        return limit_ms, "large requests are refused too often"
    return 0, ""


def _record_decision(
    txn: Transaction, request: data.QueuedRequest, refused: bool
) -> None:
    load = get_load(txn, request.service)
    kind = load.kinds.get(request.route)
    if kind is None:
        return
    kind = size_classes.add_decision(kind, _get_size(request), refused)
    txn.contention[request.service] = data.evolve(
        load, kinds=load.kinds.set(request.route, kind)
    )


def _is_observed(
    request: data.QueuedRequest, wait_ms: float, run_ms: float
) -> bool:
    expected_ms = request.passed_ms + wait_ms + run_ms
    return (
        expected_ms >= forecast_errors.MIN_OBSERVED_FRACTION * request.target_ms
    )


def _get_size(request: data.QueuedRequest) -> float:
    return float(request.prompt_tokens or request.hint)
