"""Queues of waiting requests at one router, retries and grant validity.

Pure: tables in, tables and decisions out. A queue exists for each pair of
workspace and service. A request keeps its place in the queue when it is tried
again, and gets a new sequence because a grant answers exactly one want.
"""

import bisect
import dataclasses
import enum

import immutables
from returns import result

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages

# Most tries of one request, so that a request that breaks connections does not
# visit every backend server.
MAX_TRIES = 3


# ---------------------------------------------------------------------------
# Queues
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits for a grant.

    Attributes:
      want: Want to report; its sequence identifies the row.
      place: Order within the queue: the sequence of the first try.
      deadline_ms: Time at which the wait ends.
      reported: Whether the leader was told of the want.
    """

    want: data.QueuedRequest
    place: int
    deadline_ms: int
    reported: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Queues:
    """Waiting requests of one router.

    Attributes:
      rows: `Waiting` by sequence.
      lines: Sorted (place, sequence) pairs by (workspace, service).
      counts: Number of waiting requests by workspace.
      pending: Keys of `lines` that may hold wants to report.
    """

    rows: immutables.Map = immutables.Map()
    lines: immutables.Map = immutables.Map()
    counts: immutables.Map = immutables.Map()
    pending: frozenset[tuple[str, str]] = frozenset()


def enqueue(
    queues: Queues,
    want: data.QueuedRequest,
    deadline_ms: int,
    max_queue: int,
    place: int | None = None,
) -> result.Result[Queues, errors.ErrorKind]:
    """Adds a request.

    Args:
      queues: Queues before.
      want: Want of the request.
      deadline_ms: Time at which its wait ends.
      max_queue: Most waiting requests of the workspace.
      place: Place of an earlier try; such a request was admitted before and is
        not counted against `max_queue` again.

    Returns:
      Success with the queues after, or Failure with QUEUE_FULL.
    """
    count = queues.counts.get(want.workspace, 0)
    if place is None and count >= max_queue:
        return result.Failure(errors.ErrorKind.QUEUE_FULL)
    row = Waiting(want, want.sequence if place is None else place, deadline_ms)
    line = list(queues.lines.get(_key(want), ()))
    bisect.insort(line, (row.place, want.sequence))
    return result.Success(
        Queues(
            rows=queues.rows.set(want.sequence, row),
            lines=queues.lines.set(_key(want), tuple(line)),
            counts=queues.counts.set(want.workspace, count + 1),
            pending=queues.pending | {_key(want)},
        )
    )


def remove(queues: Queues, sequence: int) -> tuple[Queues, Waiting | None]:
    """Takes a request out, for a grant or because nobody waits any more.

    Args:
      queues: Queues before.
      sequence: Sequence of the want.

    Returns:
      The queues after and the row, or None if there was none.
    """
    row = queues.rows.get(sequence)
    if row is None:
        return queues, None
    key = _key(row.want)
    line = tuple(entry for entry in queues.lines[key] if entry[1] != sequence)
    count = queues.counts[key[0]] - 1
    return (
        Queues(
            rows=queues.rows.delete(sequence),
            lines=(
                queues.lines.set(key, line)
                if line
                else queues.lines.delete(key)
            ),
            counts=(
                queues.counts.set(key[0], count)
                if count
                else queues.counts.delete(key[0])
            ),
            pending=queues.pending | {key} if line else queues.pending - {key},
        ),
        row,
    )


def take_wants(
    queues: Queues, most: int = messages.MAX_REPORTED_REQUESTS
) -> tuple[Queues, tuple[data.QueuedRequest, ...]]:
    """Chooses the wants for the next report.

    Args:
      queues: Queues before.
      most: Wants of one queue that are reported at a time.

    Returns:
      The queues after, with these wants marked as reported, and the wants in
      queue order.
    """
    if not queues.pending:
        return queues, ()
    rows = queues.rows.mutate()
    wants = []
    for key in sorted(queues.pending):
        line = [queues.rows[entry[1]] for entry in queues.lines.get(key, ())]
        room = most - sum(row.reported for row in line)
        for row in [row for row in line if not row.reported][: max(0, room)]:
            rows[row.want.sequence] = dataclasses.replace(row, reported=True)
            wants.append(row.want)
    return (
        dataclasses.replace(queues, rows=rows.finish(), pending=frozenset()),
        tuple(wants),
    )


def forget_reports(queues: Queues) -> Queues:
    """Marks every want as not reported, for the first report of a connection.

    Args:
      queues: Queues before.

    Returns:
      The queues after.
    """
    rows = queues.rows.mutate()
    for sequence, row in queues.rows.items():
        if row.reported:
            rows[sequence] = dataclasses.replace(row, reported=False)
    return dataclasses.replace(
        queues, rows=rows.finish(), pending=frozenset(queues.lines)
    )


def expired(queues: Queues, now_ms: int) -> tuple[int, ...]:
    """Finds the requests whose wait has ended.

    Args:
      queues: Queues.
      now_ms: Monotonic clock.

    Returns:
      Their sequences in ascending order.
    """
    return tuple(
        sorted(
            sequence
            for sequence, row in queues.rows.items()
            if row.deadline_ms <= now_ms
        )
    )


def _key(want: data.QueuedRequest) -> tuple[str, str]:
    return want.workspace, want.service


# ---------------------------------------------------------------------------
# Validity of grants and of the control connection
# ---------------------------------------------------------------------------


def grant_valid(echo_ms: int, now_ms: int) -> bool:
    """Whether a grant may still be used.

    Args:
      echo_ms: Router's own clock in the report that the leader echoed.
      now_ms: Router's clock immediately before the first byte is written.

    Returns:
      True while the grant is younger than `GRANT_LIFETIME_MS`. An echo from
      the future belongs to another clock and is not valid.
    """
    return 0 <= now_ms - echo_ms < messages.GRANT_LIFETIME_MS


def control_valid(heard_ms: int | None, now_ms: int) -> bool:
    """Whether the leader was heard recently.

    Args:
      heard_ms: Time of the leader's last message, None if there was none.
      now_ms: Router's clock.

    Returns:
      True if the silence is shorter than `CONTROL_TIMEOUT_MS`.
    """
    return (
        heard_ms is not None and now_ms - heard_ms < messages.CONTROL_TIMEOUT_MS
    )


# ---------------------------------------------------------------------------
# Retries
# ---------------------------------------------------------------------------


class Fault(enum.StrEnum):
    """How a try ended without a whole answer."""

    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    GRANT_EXPIRED = "grant_expired"
    CLAIM_LOST = "claim_lost"
    REJECTED = "rejected"


# Faults after which the try has not run and will not run.
UNSENT = frozenset(
    {
        Fault.CONNECT_FAILED,
        Fault.GRANT_EXPIRED,
        Fault.CLAIM_LOST,
        Fault.REJECTED,
    }
)
# Faults that say nothing about a backend server and therefore cost no retry.
FREE = frozenset({Fault.GRANT_EXPIRED, Fault.CLAIM_LOST})

KINDS = {
    Fault.CONNECT_FAILED: errors.ErrorKind.BACKEND_CONNECT_FAILED,
    Fault.CONNECTION_LOST: errors.ErrorKind.BACKEND_CONNECTION_LOST,
    Fault.TIMED_OUT: errors.ErrorKind.BACKEND_TIMEOUT,
    Fault.GRANT_EXPIRED: errors.ErrorKind.QUEUE_TIMEOUT,
    Fault.CLAIM_LOST: errors.ErrorKind.CONTROL_UNAVAILABLE,
    Fault.REJECTED: errors.ErrorKind.SERVER_REJECTED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What the retry policy has to know of a try that failed.

    Attributes:
      repeatable: True if the route is idempotent and the request has no key.
      fault: How the try ended.
      tries: Tries that were made, without those that ended with a free fault.
      answer_started: Whether a byte of the answer was passed to the caller.
      max_tries: Most tries of the request.
    """

    repeatable: bool
    fault: Fault
    tries: int
    answer_started: bool
    max_tries: int = MAX_TRIES


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether to try again, and why.

    Attributes:
      retry: Whether the request goes back to its queue.
      reason: Reason for the log.
    """

    retry: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How many retries of a service a router may send.

    The share keeps retries from multiplying the load of a failing service.

    Attributes:
      share: Retries earned by each request.
      reserve: Most retries saved up.
    """

    share: float = 0.1
    reserve: float = 10.0


def earn_retry(
    budgets: immutables.Map,
    service: str,
    policy: RetryPolicy = RetryPolicy(),
) -> immutables.Map:
    """Credits a service with the retry share of one new request.

    Args:
      budgets: Retries saved up, by service id.
      service: Service of the request.
      policy: Share and reserve.

    Returns:
      The budgets after.
    """
    budget = budgets.get(service, policy.reserve)
    return budgets.set(service, min(policy.reserve, budget + policy.share))


def decide_retry(
    budgets: immutables.Map,
    service: str,
    attempt: Attempt,
    policy: RetryPolicy = RetryPolicy(),
) -> tuple[immutables.Map, Decision]:
    """Decides whether a failed try is repeated.

    A try that was not sent has not run, so any request may repeat it. After a
    byte was sent only a repeatable request is tried again, and never once its
    caller has a part of an answer.

    Args:
      budgets: Retries saved up, by service id.
      service: Service of the request.
      attempt: The failed try.
      policy: Share and reserve.

    Returns:
      The budgets after and the decision.
    """
    if attempt.answer_started:
        return budgets, Decision(False, "answer_started")
    if attempt.fault in FREE:
        return budgets, Decision(True, attempt.fault)
    if attempt.fault not in UNSENT and not attempt.repeatable:
        return budgets, Decision(False, "not_repeatable")
    if attempt.tries >= attempt.max_tries:
        return budgets, Decision(False, "too_many_tries")
    # Sums of the share are inexact; a millionth of a retry is forgiven.
    budget = budgets.get(service, policy.reserve)
    if budget < 1.0 - 1e-6:
        return budgets, Decision(False, "retry_budget_used")
    return budgets.set(service, budget - 1.0), Decision(True, attempt.fault)


# ---------------------------------------------------------------------------
# What a refusal may say
# ---------------------------------------------------------------------------


def execution(
    kind: errors.ErrorKind, sent: bool, record_unread: bool
) -> errors.Execution:
    """Decides what a refusal says about the execution of a request.

    Args:
      kind: Error kind of the refusal.
      sent: Whether a byte of any try was written to a backend server.
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
