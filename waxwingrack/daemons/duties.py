"""Runs the duties of the leading controller.

`operations.duties` and `operations.usage` decide; this module records holders
and windows in the replicated log and calls the provider. A call is made only
with a committed fencing token and while this controller may act as leader.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
import dataclasses
import logging
from typing import Any
from typing import Protocol

from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.core import registry
from waxwingrack.daemons import usage_counter
from waxwingrack.operations import duties
from waxwingrack.operations import replicated_duties
from waxwingrack.operations import usage

# Interval of the decisions, in milliseconds. A call takes several of them.
TICK_MS = 100
# Calls that are made at the same time, so that a provider that does not answer
# holds few connections.
MAX_OPEN_CALLS = 8
# Windows of one report that are logged as not counted.
MAX_LOGGED_REJECTIONS = 8

# Subject of all usage windows.
USAGE_SUBJECT = ("usage",)

# A duty and a subject of it.
SubjectKey = tuple[data.Duty, Hashable]


class Provider(Protocol):
    """Client of the provider; see `platform.provider_api`."""

    def abort(self) -> None:
        """Resets the connections of all calls."""

    async def call(
        self, call: Any, token: int, may_send: Callable[[], bool]
    ) -> tuple[duties.Outcome, str]:
        """Makes one call."""


@dataclasses.dataclass(frozen=True, slots=True)
class DutyTools:
    """What a controller keeps for its duties over all leaderships.

    Attributes:
      settings: Settings of the duties.
      wall_clock: True time of the process.
      create_client: Creates the client of one period of leadership; its
        argument is the name of the holder.
    """

    settings: data.DutySettings
    wall_clock: usage_counter.WallClock
    create_client: Callable[[str], Provider]


class Duties:
    """Duties in one period of leadership."""

    def __init__(self, services: Any, tools: DutyTools):
        """Starts the duties of a new leadership.

        Args:
          services: The `leader.Services` of the controller.
          tools: Settings, clock and client.
        """
        self._services = services
        self._tools = tools
        self._settings = tools.settings
        self._since_ms = services.clock()
        self._node_id = services.driver.replica.node_id
        self._name = tools.settings.holder or self._node_id
        # A controller can lead twice in one term, and calls of its former
        # leadership may still be executed, so each leadership gets new tokens.
        term = services.driver.replica.term
        self._issuer = f"{term}-{services.rng.getrandbits(64):016x}"
        self._client = tools.create_client(self._name)
        self._budget = duties.create_budget(
            tools.settings.calls_per_s, self._since_ms
        )
        self._subjects: dict[SubjectKey, duties.Subject] = {}
        self._open_calls: dict[SubjectKey, asyncio.Task] = {}
        self._orders: dict[tuple[str, str], duties.ScaleCall] = {}
        self._windows = usage.OpenWindows()
        # Number of refusals of the content of a window.
        self._refusals: dict[int, int] = {}
        # Duties and windows whose commands are not committed yet.
        self._pending: set[Hashable] = set()
        self._waits_logged: set[data.Duty] = set()
        self._next_tick_ms = self._since_ms
        self._ended = False

    def end(self) -> None:
        """Ends all calls; the next leader goes on with the recorded windows."""
        self._ended = True
        self._client.abort()
        for task in tuple(self._open_calls.values()):
            task.cancel()

    # -----------------------------------------------------------------------
    # Inputs
    # -----------------------------------------------------------------------

    def submit_order(self, service: str, data_centre: str, count: int) -> None:
        """Replaces the order of a service in a data centre.

        It is sent until it is accepted or replaced, and not again while it
        stays the same.

        Args:
          service: Service.
          data_centre: Data centre.
          count: Wanted number of servers, from 0.
        """
        if data.Duty.AUTOSCALE not in self._settings.duties:
            return
        subject = (service, data_centre)
        call = duties.ScaleCall(service, data_centre, count)
        former = self._orders.get(subject)
        fault = duties.find_order_fault(
            call, former is not None, len(self._orders)
        )
        if fault:
            logs.event(
                "capacity_order_rejected",
                logging.WARNING,
                service=service,
                data_centre=data_centre,
                reason=fault,
            )
            return
        if call != former:
            self._orders[subject] = call
            logs.decision(
                "capacity_ordered",
                "first order" if former is None else f"was {former.count}",
                service=service,
                data_centre=data_centre,
                count=count,
            )

    def handle_usage(
        self, incarnation: str, report: messages.RouterReport
    ) -> None:
        """Adds the counts that a router reports.

        Args:
          incarnation: Incarnation of the router.
          report: Its report.
        """
        now_ms = self._services.clock()
        true_ms = self._tools.wall_clock.read_ms(now_ms)
        if true_ms is None or not self._has(data.Duty.USAGE_REPORT):
            return
        self._windows, rejected = usage.add_report(
            self._windows,
            self._services.driver.state,
            usage.find_window(true_ms, self._settings.usage_window_s),
            incarnation,
            report.usage,
        )
        # A first report repeats windows that are mostly closed.
        if not rejected or report.first:
            return
        self._services.metrics.add(
            "usage_rejections_total",
            "Reported windows or counts that were not counted.",
            len(rejected),
        )
        for row in rejected[:MAX_LOGGED_REJECTIONS]:
            logs.event(
                "usage_not_counted",
                logging.WARNING,
                window=row.window,
                workspace=row.workspace,
                incarnation=incarnation,
                reason=row.reason,
            )

    # -----------------------------------------------------------------------
    # Periodic work
    # -----------------------------------------------------------------------

    def run_periodic(self, now_ms: int) -> None:
        """Does what is due; called in each tick of the leader.

        Args:
          now_ms: Monotonic clock.
        """
        if now_ms < self._next_tick_ms or not self._may_act():
            return
        self._next_tick_ms = now_ms + TICK_MS
        for duty in self._settings.duties:
            if self._holds(duty):
                WORK[duty](self, now_ms)
            else:
                self._acquire_if_due(duty, now_ms)

    def _acquire_if_due(self, duty: data.Duty, now_ms: int) -> None:
        holder = self._services.driver.state.duties.get(duty)
        due_ms = duties.find_acquire_ms(
            holder, self._node_id, self._since_ms, self._settings.lease_ms
        )
        if now_ms >= due_ms:
            self._acquire(duty, "a new leadership")
        elif duty not in self._waits_logged:
            self._waits_logged.add(duty)
            logs.decision(
                "duty_waits",
                "another controller held it",
                duty=duty,
                former=holder.name,
                token=holder.token,
                wait_ms=due_ms - now_ms,
            )

    def _acquire(self, duty: data.Duty, reason: str) -> None:
        command = commands.AcquireDuty(
            duty, self._node_id, self._name, self._issuer
        )

        def handle(holder: data.DutyHolder) -> None:
            logs.decision(
                "duty_acquired",
                reason,
                duty=duty,
                holder=holder.name,
                token=holder.token,
            )

        self._propose(duty, command, handle)

    def _propose(
        self,
        key: Hashable,
        command: Any,
        handle_outcome: Callable[[Any], None],
    ) -> None:
        """Proposes a command unless one with the same key is under way."""
        if key in self._pending:
            return
        self._pending.add(key)

        def handle_end(fut: asyncio.Future) -> None:
            self._pending.discard(key)
            match fut.result():
                case result.Success(outcome) if outcome is not None:
                    handle_outcome(outcome)
                case result.Failure(unavailable):
                    logs.event(
                        "duty_not_recorded",
                        command=type(command).__name__,
                        reason=unavailable.reason,
                    )

        self._services.driver.propose(command).add_done_callback(handle_end)

    # -----------------------------------------------------------------------
    # Usage
    # -----------------------------------------------------------------------

    def _report_usage(self, now_ms: int) -> None:
        state = self._services.driver.state
        self._windows = usage.drop_closed(self._windows, state)
        true_ms = self._tools.wall_clock.read_ms(now_ms)
        # Routers need this time to connect to a new leader and to report.
        settled_ms = self._since_ms + messages.CONTROL_TIMEOUT_MS
        if true_ms is not None and now_ms >= settled_ms:
            for window in usage.list_closable(
                self._windows, true_ms, self._settings
            ):
                self._record_window(window)
        waiting = [row for row in state.usage.values() if not row.accepted]
        self._refusals = {
            row.window: self._refusals[row.window]
            for row in waiting
            if row.window in self._refusals
        }
        if not waiting:
            return
        # A window that the provider refuses must not hold up the others.
        first = min(
            waiting,
            key=lambda row: (self._refusals.get(row.window, 0), row.window),
        )
        self._advance(
            (data.Duty.USAGE_REPORT, USAGE_SUBJECT),
            duties.UsageCall(first.window, first.counts),
            now_ms,
        )

    def _record_window(self, window: int) -> None:
        state = self._services.driver.state
        command = commands.RecordUsage(
            window,
            usage.sum_counts(self._windows, window),
            state.duties[data.Duty.USAGE_REPORT].token,
        )
        replaced = replicated_duties.find_replaced(state, window)

        def handle(row: data.RecordedWindow) -> None:
            if replaced is not None and not replaced.accepted:
                logs.event(
                    "usage_lost",
                    logging.WARNING,
                    window=replaced.window,
                    reason="too many windows wait for the provider",
                )
            logs.decision(
                "usage_window_closed",
                "its reports are in",
                window=window,
                workspaces=len(row.counts),
                requests=sum(count.count for count in row.counts),
            )

        self._propose(window, command, handle)

    def _handle_usage_end(
        self, call: duties.UsageCall, outcome: duties.Outcome
    ) -> None:
        if outcome is duties.Outcome.REFUSED:
            refusals = self._refusals.get(call.window, 0)
            self._refusals[call.window] = refusals + 1
        if outcome is duties.Outcome.ACCEPTED:
            self._propose(
                ("accepted", call.window),
                commands.AcceptUsage(call.window),
                lambda _: None,
            )

    # -----------------------------------------------------------------------
    # Capacity orders
    # -----------------------------------------------------------------------

    def _send_orders(self, now_ms: int) -> None:
        for subject, call in self._orders.items():
            key = (data.Duty.AUTOSCALE, subject)
            calls = self._subjects.get(key, duties.Subject())
            if not duties.is_settled(calls, call):
                self._advance(key, call, now_ms)

    # -----------------------------------------------------------------------
    # Calls
    # -----------------------------------------------------------------------

    def _advance(self, key: SubjectKey, call: Any, now_ms: int) -> None:
        """Takes the next step towards the acceptance of a call."""
        duty, _ = key
        if (
            key in self._open_calls
            or duty in self._pending
            or ("accepted", getattr(call, "window", None)) in self._pending
        ):
            return
        subject = self._subjects.get(key, duties.Subject())
        token = self._services.driver.state.duties[duty].token
        step = duties.decide_step(
            subject, call, token, now_ms, self._settings.lease_ms
        )
        if step is duties.Step.ACQUIRE:
            is_fenced = token <= subject.fenced_token
            self._acquire(
                duty,
                "the provider refused the token"
                if is_fenced
                else "an earlier call may still be executed",
            )
        elif (
            step is duties.Step.CALL and len(self._open_calls) < MAX_OPEN_CALLS
        ):
            self._budget, may_call = duties.take_call(self._budget, now_ms)
            if may_call:
                self._open_calls[key] = asyncio.ensure_future(
                    self._call(key, call, token)
                )

    async def _call(self, key: SubjectKey, call: Any, token: int) -> None:
        try:
            outcome, reason = await self._client.call(
                call, token, lambda: self._may_send(key[0], token)
            )
            self._end_call(key, call, token, outcome, reason)
        except Exception as exc:  # noqa: BLE001
            logs.failure("provider_call_failed", exc, duty=key[0])
            self._end_call(
                key, call, token, duties.Outcome.UNANSWERED, repr(exc)
            )
        finally:
            self._open_calls.pop(key, None)

    def _end_call(
        self,
        key: SubjectKey,
        call: Any,
        token: int,
        outcome: duties.Outcome,
        reason: str,
    ) -> None:
        subject = self._subjects.get(key, duties.Subject())
        pause_ms = duties.draw_pause_ms(subject.failures, self._services.rng)
        self._subjects[key] = duties.end_call(
            subject,
            outcome,
            duties.CallEnd(call, token, self._services.clock(), pause_ms),
        )
        logs.decision(
            "provider_called",
            reason,
            duty=key[0],
            subject=list(key[1]),
            token=token,
            outcome=outcome,
            window=getattr(call, "window", None),
            count=getattr(call, "count", None),
            failures=self._subjects[key].failures,
        )
        self._services.metrics.add(
            "provider_calls_total",
            "Calls to the provider.",
            duty=key[0].value,
            outcome=outcome.value,
        )
        if isinstance(call, duties.UsageCall):
            self._handle_usage_end(call, outcome)

    def _has(self, duty: data.Duty) -> bool:
        return duty in self._settings.duties

    def _may_act(self) -> bool:
        return not self._ended and self._services.driver.may_act()

    def _holds(self, duty: data.Duty) -> bool:
        holder = self._services.driver.state.duties.get(duty)
        return holder is not None and holder.issuer == self._issuer

    def _may_send(self, duty: data.Duty, token: int) -> bool:
        """Tells whether a call may be written now.

        The lease may have ended, or a higher token may have been committed,
        since the call was decided on.
        """
        return (
            self._may_act()
            and self._holds(duty)
            and self._services.driver.state.duties[duty].token == token
        )

    # -----------------------------------------------------------------------
    # Status
    # -----------------------------------------------------------------------

    def list_status(self) -> list[dict[str, Any]]:
        """Returns a row for each duty, as values for JSON."""
        return [self._describe(duty) for duty in self._settings.duties]

    def _describe(self, duty: data.Duty) -> dict[str, Any]:
        state = self._services.driver.state
        holder = state.duties.get(duty)
        subjects = [
            subject for key, subject in self._subjects.items() if key[0] is duty
        ]
        return {
            "id": duty.value,
            "holder": holder.name if holder else "",
            "token": holder.token if holder else 0,
            "node_id": holder.node_id if holder else "",
            "held_by_leader": self._holds(duty),
            "open": len(self._windows.rows)
            if duty is data.Duty.USAGE_REPORT
            else 0,
            "waiting": self.count_waiting(duty),
            "failing": sum(subject.failures > 0 for subject in subjects),
            "refused_token": max(
                (subject.fenced_token for subject in subjects), default=0
            ),
        }

    def count_waiting(self, duty: data.Duty) -> int:
        """Returns the windows or orders that are not accepted yet.

        Args:
          duty: The duty.
        """
        if duty is data.Duty.USAGE_REPORT:
            rows = self._services.driver.state.usage.values()
            return sum(not row.accepted for row in rows)
        return sum(
            not duties.is_settled(
                self._subjects.get((duty, subject), duties.Subject()), call
            )
            for subject, call in self._orders.items()
        )


# Work of the holder of a duty in one tick.
WORK: registry.Registry[data.Duty, Callable[[Duties, int], None]] = (
    registry.Registry("work of a duty")
)
WORK.register(data.Duty.USAGE_REPORT)(Duties._report_usage)
WORK.register(data.Duty.AUTOSCALE)(Duties._send_orders)
