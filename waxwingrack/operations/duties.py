"""Decisions on the duties of the leading controller.

A duty is a kind of call to the provider that one process at a time may make.
Its holder has a fencing token, which each call carries: the provider refuses a
call whose token is lower than one that it has seen on the same subject. As no
state can be read back from the provider, a call without an answer counts as one
that may still be executed.
"""

from collections.abc import Callable
from collections.abc import Hashable
import dataclasses
import enum
import math
import random

from waxwingrack.core import data
from waxwingrack.core import registry

# Share of the provider's rate limit that is used. The rest is for calls of a
# former leader that arrive late, which count as well.
RATE_SHARE = 0.2
# Calls that may be made at once after a pause: a second's worth, at least one.
BURST_S = 1.0
# First and longest pause after a call that failed, in milliseconds. The longest
# one leaves time for a second try before a usage report is late.
FIRST_PAUSE_MS = 250
MAX_PAUSE_MS = 4_000
# Part of each pause that is random, so that subjects do not stay in step.
JITTER_SHARE = 0.5
# Doublings after which the pause no longer grows.
MAX_DOUBLINGS = 16
# Largest number of servers in an order; larger numbers are errors of a caller.
MAX_ORDER_COUNT = 100_000
# Subjects of capacity orders that are kept; environments have hundreds.
MAX_ORDER_SUBJECTS = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCall:
    """Report of the usage of one window.

    Attributes:
      window: Number of the window.
      counts: Counts by workspace.
    """

    window: int
    counts: tuple[data.UsageCount, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleCall:
    """Order of a number of servers.

    Attributes:
      service: Service.
      data_centre: Data centre.
      count: Wanted number of servers.
    """

    service: str
    data_centre: str
    count: int


class Outcome(enum.StrEnum):
    """How a call to the provider ended."""

    ACCEPTED = "accepted"
    # The provider has seen a higher fencing token; the call was not executed.
    FENCED = "fenced"
    # The provider gets too many calls; the call was not executed.
    THROTTLED = "throttled"
    # The provider refuses the content of the call.
    REFUSED = "refused"
    # No byte of the call was sent.
    NOT_SENT = "not_sent"
    # The call may have been executed, or may be executed later.
    UNANSWERED = "unanswered"


class Step(enum.StrEnum):
    """What is to be done next for a subject."""

    CALL = "call"
    # A higher fencing token is needed before the next call.
    ACQUIRE = "acquire"
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """Calls of one period of leadership on one subject.

    Attributes:
      failures: Failed calls since the last accepted one.
      next_ms: Time before which no call is made.
      unanswered: Content of the latest call without an answer; None if no such
        call can still be executed.
      unanswered_token: Fencing token of that call.
      fenced_token: Highest fencing token that the provider has refused.
      fenced_ms: Time of that refusal.
      accepted: Content that was accepted last; None if it is not known.
    """

    failures: int = 0
    next_ms: int = 0
    unanswered: Hashable = None
    unanswered_token: int = 0
    fenced_token: int = 0
    fenced_ms: int = 0
    accepted: Hashable = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnd:
    """End of a call.

    Attributes:
      content: Content of the call.
      token: Its fencing token.
      at_ms: Time of the end.
      pause_ms: Pause to keep if the call has failed.
    """

    content: Hashable
    token: int
    at_ms: int
    pause_ms: int


# ---------------------------------------------------------------------------
# Holder
# ---------------------------------------------------------------------------


def find_acquire_ms(
    holder: data.DutyHolder | None,
    node_id: str,
    since_ms: int,
    lease_ms: int,
) -> int:
    """Returns the time from which a leader may acquire a duty.

    Another controller may have called the provider until just before. After the
    wait, holders that alternate do so more slowly than the lease.

    Args:
      holder: Recorded holder, or None.
      node_id: Node id of the leader.
      since_ms: Start of its leadership.
      lease_ms: Lease of a duty.

    Returns:
      Time on the monotonic clock.
    """
    if holder is None or holder.node_id == node_id:
        return since_ms
    return since_ms + lease_ms


def decide_step(
    subject: Subject,
    content: Hashable,
    token: int,
    now_ms: int,
    lease_ms: int,
) -> Step:
    """Decides on the next step for a subject.

    Args:
      subject: Calls so far.
      content: Content that is to be sent.
      token: Present fencing token of the duty.
      now_ms: Monotonic clock.
      lease_ms: Lease of a duty.

    Returns:
      The step.
    """
    # After a refusal another holder may be at work, so its lease is waited for
    # even if another subject has brought a higher token meanwhile.
    is_fenced = subject.fenced_token and now_ms - subject.fenced_ms < lease_ms
    if is_fenced or now_ms < subject.next_ms:
        return Step.WAIT
    if token <= subject.fenced_token:
        return Step.ACQUIRE
    is_changed = subject.unanswered not in (None, content)
    if is_changed and token <= subject.unanswered_token:
        return Step.ACQUIRE
    return Step.CALL


def is_settled(subject: Subject, content: Hashable) -> bool:
    """Returns whether content was accepted and nothing can replace it.

    Args:
      subject: Calls so far.
      content: Content that is wanted.
    """
    return subject.accepted == content and subject.unanswered in (None, content)


# ---------------------------------------------------------------------------
# Ends of calls
# ---------------------------------------------------------------------------

EndHandler = Callable[[Subject, CallEnd], Subject]
END_HANDLERS: registry.Registry[Outcome, EndHandler] = registry.Registry(
    "handler of the end of a call"
)


def end_call(subject: Subject, outcome: Outcome, end: CallEnd) -> Subject:
    """Records the end of a call.

    Args:
      subject: Calls before.
      outcome: How the call ended.
      end: The call.

    Returns:
      The calls after it.
    """
    return END_HANDLERS[outcome](subject, end)


def draw_pause_ms(failures: int, rng: random.Random) -> int:
    """Returns the pause after a failed call, in milliseconds.

    Args:
      failures: Failed calls before.
      rng: Source of random numbers.
    """
    longest_ms = min(
        MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** min(failures, MAX_DOUBLINGS)
    )
    return round(longest_ms * (1 - JITTER_SHARE * rng.random()))


@END_HANDLERS.register(Outcome.ACCEPTED)
def _end_accepted(subject: Subject, end: CallEnd) -> Subject:
    # A call that is repeated under its own token may still be executed late.
    fenced_off = end.token > subject.unanswered_token
    return dataclasses.replace(
        subject,
        failures=0,
        next_ms=end.at_ms,
        accepted=end.content,
        unanswered=None if fenced_off else subject.unanswered,
    )


@END_HANDLERS.register(Outcome.FENCED)
def _end_fenced(subject: Subject, end: CallEnd) -> Subject:
    subject = _end_unexecuted(subject, end)
    if end.token < subject.fenced_token:
        return subject
    return dataclasses.replace(
        subject, fenced_token=end.token, fenced_ms=end.at_ms, accepted=None
    )


@END_HANDLERS.register(Outcome.THROTTLED)
@END_HANDLERS.register(Outcome.REFUSED)
@END_HANDLERS.register(Outcome.NOT_SENT)
def _end_unexecuted(subject: Subject, end: CallEnd) -> Subject:
    return dataclasses.replace(
        subject,
        failures=subject.failures + 1,
        next_ms=end.at_ms + end.pause_ms,
    )


@END_HANDLERS.register(Outcome.UNANSWERED)
def _end_unanswered(subject: Subject, end: CallEnd) -> Subject:
    return dataclasses.replace(
        _end_unexecuted(subject, end),
        unanswered=end.content,
        unanswered_token=end.token,
        accepted=None,
    )


# ---------------------------------------------------------------------------
# Rate
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class CallBudget:
    """Token bucket of the calls of all duties.

    Attributes:
      calls_per_s: Rate at which it fills.
      calls: Calls that may be made now.
      at_ms: Time of `calls`.
    """

    calls_per_s: float
    calls: float
    at_ms: int


def create_budget(provider_calls_per_s: float, now_ms: int) -> CallBudget:
    """Creates a budget that permits one call.

    Args:
      provider_calls_per_s: Calls per second that the provider accepts.
      now_ms: Monotonic clock.
    """
    return CallBudget(RATE_SHARE * provider_calls_per_s, 1.0, now_ms)


def take_call(budget: CallBudget, now_ms: int) -> tuple[CallBudget, bool]:
    """Takes a call from the budget.

    Args:
      budget: The budget.
      now_ms: Monotonic clock.

    Returns:
      The new budget, and whether the call may be made.
    """
    passed_s = max(0, now_ms - budget.at_ms) / 1000
    most = max(1.0, BURST_S * budget.calls_per_s)
    calls = min(most, budget.calls + budget.calls_per_s * passed_s)
    may_call = calls >= 1.0
    calls -= may_call
    return CallBudget(budget.calls_per_s, calls, now_ms), may_call


# ---------------------------------------------------------------------------
# Orders
# ---------------------------------------------------------------------------


def find_order_fault(
    call: ScaleCall, is_known: bool, subject_count: int
) -> str:
    """Returns why an order cannot be sent; empty if it can.

    Args:
      call: The order.
      is_known: Whether its subject has an order already.
      subject_count: Number of subjects with an order.
    """
    if not isinstance(call.count, int) or isinstance(call.count, bool):
        is_number = isinstance(call.count, float) and math.isfinite(call.count)
        return "the count is not whole" if is_number else "not a number"
    if not 0 <= call.count <= MAX_ORDER_COUNT:
        return "the count is out of range"
    if not is_known and subject_count >= MAX_ORDER_SUBJECTS:
        return "too many subjects"
    return ""
