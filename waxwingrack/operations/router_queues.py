"""Queues of waiting requests at one router, retries and grant validity.

All functions are pure: they take tables and return new tables and decisions.
There is one queue for each pair of workspace and service. A retried request
keeps its position in the queue, but gets a new sequence because a grant answers
exactly one queued request.
"""

import bisect
import dataclasses
import enum

import immutables
from returns import result

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages

# Limits the attempts of one request, so that a request that breaks connections
# is not sent to every backend server.
MAX_ATTEMPTS = 3


# ---------------------------------------------------------------------------
# Queues
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a grant.

    Attributes:
      request: Queued request to report; its sequence is the key in `Queues`.
      first_sequence: Sequence of the first attempt, which orders the queue.
      deadline_ms: Time at which the wait ends.
      reported: Whether the request was reported to the leader.
    """

    request: data.QueuedRequest
    first_sequence: int
    deadline_ms: int
    reported: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Queues:
    """Waiting requests of one router.

    Attributes:
      requests: `WaitingRequest` by sequence.
      positions: Sorted (first sequence, sequence) pairs by (workspace,
        service).
      counts: Number of waiting requests by workspace.
      unreported: Keys of `positions` that may hold unreported requests.
    """

    requests: immutables.Map = immutables.Map()
    positions: immutables.Map = immutables.Map()
    counts: immutables.Map = immutables.Map()
    unreported: frozenset[tuple[str, str]] = frozenset()


def enqueue(
    queues: Queues,
    request: data.QueuedRequest,
    deadline_ms: int,
    max_queue: int,
    first_sequence: int | None = None,
) -> result.Result[Queues, errors.ErrorKind]:
    """Adds a request to its queue.

    Args:
      queues: Current queues.
      request: Request to add.
      deadline_ms: Time at which its wait ends.
      max_queue: Maximum number of waiting requests of the workspace.
      first_sequence: Sequence of the first attempt; None if this is the first.
        A retried request was admitted before and is not checked against
        `max_queue` again.

    Returns:
      Success with the new queues, or Failure with QUEUE_FULL.
    """
    count = queues.counts.get(request.workspace, 0)
    if first_sequence is None and count >= max_queue:
        return result.Failure(errors.ErrorKind.QUEUE_FULL)
    waiting_request = WaitingRequest(
        request,
        request.sequence if first_sequence is None else first_sequence,
        deadline_ms,
    )
    positions = list(queues.positions.get(_queue_key(request), ()))
    bisect.insort(positions, (waiting_request.first_sequence, request.sequence))
    return result.Success(
        Queues(
            requests=queues.requests.set(request.sequence, waiting_request),
            positions=queues.positions.set(
                _queue_key(request), tuple(positions)
            ),
            counts=queues.counts.set(request.workspace, count + 1),
            unreported=queues.unreported | {_queue_key(request)},
        )
    )


def remove_request(
    queues: Queues, sequence: int
) -> tuple[Queues, WaitingRequest | None]:
    """Removes a request that was granted or whose caller no longer waits.

    Args:
      queues: Current queues.
      sequence: Sequence of the request.

    Returns:
      The new queues and the removed request, or None if there was none.
    """
    waiting_request = queues.requests.get(sequence)
    if waiting_request is None:
        return queues, None
    key = _queue_key(waiting_request.request)
    positions = tuple(
        position
        for position in queues.positions[key]
        if position[1] != sequence
    )
    count = queues.counts[key[0]] - 1
    return (
        Queues(
            requests=queues.requests.delete(sequence),
            positions=(
                queues.positions.set(key, positions)
                if positions
                else queues.positions.delete(key)
            ),
            counts=(
                queues.counts.set(key[0], count)
                if count
                else queues.counts.delete(key[0])
            ),
            unreported=queues.unreported | {key}
            if positions
            else queues.unreported - {key},
        ),
        waiting_request,
    )


def take_unreported(
    queues: Queues, max_reported: int = messages.MAX_REPORTED_REQUESTS
) -> tuple[Queues, tuple[data.QueuedRequest, ...]]:
    """Selects the requests for the next report to the leader.

    Args:
      queues: Current queues.
      max_reported: Maximum number of requests of one queue that are reported
        and still wait.

    Returns:
      The new queues, with these requests marked as reported, and the requests
      in queue order.
    """
    if not queues.unreported:
        return queues, ()
    updated = queues.requests.mutate()
    requests_to_report = []
    for key in sorted(queues.unreported):
        waiting = [
            queues.requests[position[1]]
            for position in queues.positions.get(key, ())
        ]
        room = max_reported - sum(
            waiting_request.reported for waiting_request in waiting
        )
        for waiting_request in [
            waiting_request
            for waiting_request in waiting
            if not waiting_request.reported
        ][: max(0, room)]:
            updated[waiting_request.request.sequence] = dataclasses.replace(
                waiting_request, reported=True
            )
            requests_to_report.append(waiting_request.request)
    return (
        dataclasses.replace(
            queues, requests=updated.finish(), unreported=frozenset()
        ),
        tuple(requests_to_report),
    )


def clear_reported(queues: Queues) -> Queues:
    """Marks all requests as unreported, for the first report of a connection.

    Args:
      queues: Current queues.

    Returns:
      The new queues.
    """
    updated = queues.requests.mutate()
    for sequence, waiting_request in queues.requests.items():
        if waiting_request.reported:
            updated[sequence] = dataclasses.replace(
                waiting_request, reported=False
            )
    return dataclasses.replace(
        queues,
        requests=updated.finish(),
        unreported=frozenset(queues.positions),
    )


def find_expired(queues: Queues, now_ms: int) -> tuple[int, ...]:
    """Finds the requests whose wait has ended.

    Args:
      queues: Current queues.
      now_ms: Monotonic time.

    Returns:
      Their sequences in ascending order.
    """
    return tuple(
        sorted(
            sequence
            for sequence, waiting_request in queues.requests.items()
            if waiting_request.deadline_ms <= now_ms
        )
    )


def _queue_key(request: data.QueuedRequest) -> tuple[str, str]:
    return request.workspace, request.service


# ---------------------------------------------------------------------------
# Validity of grants and of the control connection
# ---------------------------------------------------------------------------


def is_grant_valid(echo_ms: int, now_ms: int) -> bool:
    """Tells whether a grant may still be used.

    Args:
      echo_ms: Router's clock at the report that the leader answered with the
        grant, as echoed by the leader.
      now_ms: Router's clock immediately before the first byte is written.

    Returns:
      True while the grant is younger than `GRANT_LIFETIME_MS`. An echo in the
      future comes from another clock and is not valid.
    """
    return 0 <= now_ms - echo_ms < messages.GRANT_LIFETIME_MS


def is_control_valid(heard_ms: int | None, now_ms: int) -> bool:
    """Tells whether the leader sent a message recently.

    Args:
      heard_ms: Time of the leader's last message; None if there was none.
      now_ms: Router's clock.

    Returns:
      True if the last message is younger than `CONTROL_TIMEOUT_MS`.
    """
    return (
        heard_ms is not None and now_ms - heard_ms < messages.CONTROL_TIMEOUT_MS
    )


# ---------------------------------------------------------------------------
# Retries
# ---------------------------------------------------------------------------


class Fault(enum.StrEnum):
    """How an attempt ended without a complete answer.

    ANSWER_INVALID means that the router broke off an answer with a line that
    HTTP does not allow. The server may be sound otherwise.
    """

    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    ANSWER_INVALID = "answer_invalid"
    TIMED_OUT = "timed_out"
    GRANT_EXPIRED = "grant_expired"
    CLAIM_LOST = "claim_lost"
    REJECTED = "rejected"
    SERVER_BARRED = "server_barred"


# Faults after which the attempt has not run and will not run.
NOT_RUN_FAULTS = frozenset(
    {
        Fault.CONNECT_FAILED,
        Fault.GRANT_EXPIRED,
        Fault.CLAIM_LOST,
        Fault.REJECTED,
        Fault.SERVER_BARRED,
    }
)
# Faults that are not caused by a backend server, so they neither count as
# attempts nor use the retry budget.
UNCOUNTED_FAULTS = frozenset(
    {Fault.GRANT_EXPIRED, Fault.CLAIM_LOST, Fault.SERVER_BARRED}
)

ERROR_KINDS = {
    Fault.CONNECT_FAILED: errors.ErrorKind.BACKEND_CONNECT_FAILED,
    Fault.CONNECTION_LOST: errors.ErrorKind.BACKEND_CONNECTION_LOST,
    Fault.ANSWER_INVALID: errors.ErrorKind.BACKEND_CONNECTION_LOST,
    Fault.TIMED_OUT: errors.ErrorKind.BACKEND_TIMEOUT,
    Fault.GRANT_EXPIRED: errors.ErrorKind.QUEUE_TIMEOUT,
    Fault.CLAIM_LOST: errors.ErrorKind.CONTROL_UNAVAILABLE,
    Fault.REJECTED: errors.ErrorKind.SERVER_REJECTED,
    Fault.SERVER_BARRED: errors.ErrorKind.SERVER_REJECTED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt, as input of the retry decision.

    Attributes:
      repeatable: True if the route is idempotent and the request has no key.
      fault: How the attempt ended.
      counted_attempts: Number of attempts, without those that ended with an
        uncounted fault.
      answer_started: Whether a byte of the answer was passed to the caller.
      max_attempts: Maximum number of counted attempts of the request.
    """

    repeatable: bool
    fault: Fault
    counted_attempts: int
    answer_started: bool
    max_attempts: int = MAX_ATTEMPTS


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a request is retried, and why.

    Attributes:
      retry: Whether the request goes back to its queue.
      reason: Reason for the log.
    """

    retry: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Retry budget of a router for each service.

    The share keeps retries from multiplying the load of a failing service.

    Attributes:
      share: Retries that each new request adds to the budget.
      reserve: Maximum size of the budget.
    """

    share: float = 0.1
    reserve: float = 10.0


def earn_retry(
    budgets: immutables.Map,
    service: str,
    policy: RetryPolicy = RetryPolicy(),
) -> immutables.Map:
    """Adds the retry share of one new request to the budget of its service.

    Args:
      budgets: Remaining retries by service id.
      service: Service of the request.
      policy: Share and reserve.

    Returns:
      The new budgets.
    """
    budget = budgets.get(service, policy.reserve)
    return budgets.set(service, min(policy.reserve, budget + policy.share))


def take_extra_attempt(
    budgets: immutables.Map,
    service: str,
    policy: RetryPolicy = RetryPolicy(),
) -> immutables.Map | None:
    """Takes one attempt beyond the first one out of the retry budget.

    Args:
      budgets: Remaining retries by service id.
      service: Service of the request.
      policy: Share and reserve.

    Returns:
      The new budgets, or None if the budget is used up.
    """
    budget = budgets.get(service, policy.reserve)
    # Tolerates a millionth of a retry, as sums of the share are inexact.
    if budget < 1.0 - 1e-6:
        return None
    return budgets.set(service, budget - 1.0)


def return_extra_attempt(
    budgets: immutables.Map,
    service: str,
    policy: RetryPolicy = RetryPolicy(),
) -> immutables.Map:
    """Returns an attempt to the retry budget that was not made.

    Args:
      budgets: Remaining retries by service id.
      service: Service of the request.
      policy: Share and reserve.

    Returns:
      The new budgets.
    """
    budget = budgets.get(service, policy.reserve)
    return budgets.set(service, min(policy.reserve, budget + 1.0))


def decide_retry(
    budgets: immutables.Map,
    service: str,
    attempt: Attempt,
    policy: RetryPolicy = RetryPolicy(),
) -> tuple[immutables.Map, RetryDecision]:
    """Decides whether a request is retried after a failed attempt.

    An attempt that was not sent has not run, so every request may be retried.
    After a byte was sent, only a repeatable request is retried, and only if no
    part of an answer was passed to its caller.

    Args:
      budgets: Remaining retries by service id.
      service: Service of the request.
      attempt: The failed attempt.
      policy: Share and reserve.

    Returns:
      The new budgets and the decision.
    """
    if attempt.answer_started:
        return budgets, RetryDecision(False, "answer_started")
    if attempt.fault in UNCOUNTED_FAULTS:
        return budgets, RetryDecision(True, attempt.fault)
    if attempt.fault not in NOT_RUN_FAULTS and not attempt.repeatable:
        return budgets, RetryDecision(False, "not_repeatable")
    if attempt.counted_attempts >= attempt.max_attempts:
        return budgets, RetryDecision(False, "too_many_tries")
    remaining = take_extra_attempt(budgets, service, policy)
    if remaining is None:
        return budgets, RetryDecision(False, "retry_budget_used")
    return remaining, RetryDecision(True, attempt.fault)


# ---------------------------------------------------------------------------
# Execution status of a refusal
# ---------------------------------------------------------------------------


def decide_execution(
    kind: errors.ErrorKind, sent: bool, record_unread: bool
) -> errors.Execution:
    """Decides what a refusal tells about the execution of a request.

    Args:
      kind: Error kind of the refusal.
      sent: Whether a byte of any attempt was written to a backend server.
      record_unread: Whether the request has an idempotency key whose record
        could not be read, so that an earlier attempt may have run.

    Returns:
      The execution of the kind, or MAY_HAVE_RUN where the kind says NOT_RUN
      and that is not certain.
    """
    stated = errors.ANSWERS[kind].execution
    if stated is errors.Execution.NOT_RUN and (sent or record_unread):
        return errors.Execution.MAY_HAVE_RUN
    return stated
