"""Attempts of a request that may get a second copy at another server.

The first copy is sent as any other request. If its answer has not begun after a
delay, the router asks the leader for a grant for a second copy. The copy whose
usable answer begins first wins, and the other one is cancelled. Until then
nothing is written to the caller, so it gets one answer of one server.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import admission
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import forwarding
from waxwingrack.daemons import held_bodies
from waxwingrack.daemons import keyed_requests
from waxwingrack.operations import hedging
from waxwingrack.operations import router_queues

_Fault = router_queues.Fault
_Result = hedging.Result
# Time past the deadline of its route after which a held answer is given up.
HELD_GRACE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Winner:
    """The copy whose answer goes to the caller.

    Attributes:
      lease: Its grant.
      head: Head of its answer; its `response` delivers the body.
    """

    lease: dispatch.Lease
    head: forwarding.AnswerHead


@dataclasses.dataclass(frozen=True, slots=True)
class Actions:
    """What a race does to the outside.

    Attributes:
      send: Sends a copy; returns a Deferred of the head of its answer, which
        fires when its body has begun, or fails with NotSentError or
        NoAnswerError.
      end: Reports the end of a copy, with its exception, or None if it was
        cancelled, and the status of its answer, if one has begun.
      queue_duplicate: Asks for the grant of the second copy; returns a Deferred
        of its lease and a function that ends the wait, or None if there is no
        second copy.
      is_caller_gone: Tells whether the caller has left.
    """

    send: Callable[[dispatch.Lease], defer.Deferred]
    end: Callable[[dispatch.Lease, Exception | None, int | None], None]
    queue_duplicate: Callable[
        [], tuple[defer.Deferred, Callable[[], None]] | None
    ]
    is_caller_gone: Callable[[], bool]


@dataclasses.dataclass(slots=True, eq=False)
class _Copy:
    """A copy that runs, or whose answer is set aside (`head`)."""

    lease: dispatch.Lease
    deferred: defer.Deferred | None = None
    head: forwarding.AnswerHead | None = None


class Race:
    """Race of at most two copies of a request.

    Attributes:
      result: How it ended; None if no second copy was asked for.
      duplicate: Grant of the second copy, None if it got none.
    """

    def __init__(
        self,
        reactor: Any,
        actions: Actions,
        first: dispatch.Lease,
        delay_s: float,
    ):
        """Prepares a race.

        Args:
          reactor: Source of timers.
          actions: What it does to the outside.
          first: Grant of the first copy.
          delay_s: Time after which the second copy is asked for.
        """
        self.result: hedging.Result | None = None
        self.duplicate: dispatch.Lease | None = None
        self._actions = actions
        self._first = first
        self._copies: list[_Copy] = []
        self._faults: list[router_queues.Fault] = []
        self._stop_wait: Callable[[], None] | None = None
        self._asked = False
        self._over = False
        self._ended: defer.Deferred = defer.Deferred()
        self._timer = reactor.callLater(delay_s, self._ask_for_duplicate)

    def run(self) -> defer.Deferred:
        """Sends the first copy.

        Returns:
          A Deferred that fires with a `Winner`, or with a `router_queues.Fault`
          if no copy brought an answer. It fails with an unexpected exception.
        """
        self._start(self._first)
        return self._ended

    def cancel(self) -> None:
        """Ends all copies, as the caller has left or the router stops."""
        if self._over:
            return
        sent = any(copy.lease.sent_ms is not None for copy in self._copies)
        self._end(
            _Result.CANCELLED,
            _Fault.CONNECTION_LOST if sent else _Fault.GRANT_EXPIRED,
        )

    # -- second copy --------------------------------------------------------

    def _ask_for_duplicate(self) -> None:
        waiting = self._actions.queue_duplicate()
        if waiting is None:
            return
        self._asked = True
        granted, self._stop_wait = waiting
        granted.addCallbacks(self._start_duplicate, self._note_refusal)
        granted.addErrback(self._fail)

    def _start_duplicate(self, lease: dispatch.Lease) -> None:
        self._stop_wait = None
        if lease.grant.server_id == self._first.grant.server_id:
            self._actions.end(lease, None, None)
            self.result = _Result.REFUSED
            return
        self.duplicate = lease
        self._start(lease)

    def _note_refusal(self, cause: failure.Failure) -> None:
        self._stop_wait = None
        cause.trap(dispatch.RefusedError, dispatch.CallerGoneError)
        if not self._over:
            self.result = _Result.REFUSED

    # -- copies -------------------------------------------------------------

    def _start(self, lease: dispatch.Lease) -> None:
        copy = _Copy(lease)
        self._copies.append(copy)
        copy.deferred = self._actions.send(lease)
        copy.deferred.addCallbacks(
            self._note_answer,
            self._note_failure,
            callbackArgs=(copy,),
            errbackArgs=(copy,),
        )
        copy.deferred.addErrback(self._fail)

    def _note_answer(self, head: forwarding.AnswerHead, copy: _Copy) -> None:
        if self._over:
            # The copy was cancelled while its answer began.
            head.response.discard()
            return
        copy.head = head
        others_run = any(other.head is None for other in self._copies)
        if hedging.is_usable(head.status) or not others_run:
            self._win(copy)

    def _note_failure(self, cause: failure.Failure, copy: _Copy) -> None:
        if self._over:
            return
        cause.trap(forwarding.NotSentError, forwarding.NoAnswerError)
        self._copies.remove(copy)
        self._faults.append(cause.value.fault)
        self._actions.end(copy.lease, cause.value, None)
        if self._actions.is_caller_gone():
            self.cancel()
        elif not self._copies:
            self._end(_Result.FAILED, self._choose_fault())
        elif self._copies[0].head is not None:
            self._win(self._copies[0])

    def _choose_fault(self) -> router_queues.Fault:
        """Returns the fault on which a retry is decided.

        A fault that counts as an attempt goes before one that does not.
        """
        counted = (
            fault
            for fault in self._faults
            if fault not in router_queues.UNCOUNTED_FAULTS
        )
        return next(counted, self._faults[-1])

    def _win(self, copy: _Copy) -> None:
        self._copies.remove(copy)
        is_first = copy.lease is self._first
        self._end(
            _Result.FIRST_WON if is_first else _Result.DUPLICATE_WON,
            Winner(copy.lease, copy.head),
        )

    # -- end ----------------------------------------------------------------

    def _end(
        self, result: hedging.Result, outcome: Winner | router_queues.Fault
    ) -> None:
        if self._asked and self.result is None:
            self.result = result
        self._stop()
        self._ended.callback(outcome)

    def _fail(self, cause: failure.Failure) -> None:
        """Ends the race with an unexpected exception."""
        if self._over:
            return
        self._stop()
        self._ended.errback(cause)

    def _stop(self) -> None:
        """Cancels what still runs, so that each grant is ended."""
        self._over = True
        if self._timer.active():
            self._timer.cancel()
        if self._stop_wait is not None:
            self._stop_wait()
        copies, self._copies = self._copies, []
        for copy in copies:
            status = copy.head and copy.head.status
            self._actions.end(copy.lease, None, status)
            if copy.head is not None:
                copy.head.response.discard()
            elif copy.deferred is not None:
                copy.deferred.cancel()


class HedgedRequest:
    """The part of an exchange that races two copies.

    `exchanges.Exchange` sets the attributes and defines the other methods.
    """

    _host: keyed_requests.Host
    _req: admission.CallersRequest
    _caller_left: bool
    _cancel_step: Any
    _abort_step: Any
    _failed_servers: list[str]
    _lease: dispatch.Lease | None

    def _find_hedge_delay(
        self, admitted: keyed_requests.AdmittedRequest, lease: dispatch.Lease
    ) -> float | None:
        """Returns the delay of a second copy, None if there is none."""
        host = self._host
        # At a saturated router answers are late because of itself.
        if host.hedge_policy.share <= 0 or host.load.saturated:
            return None
        route = admitted.route
        return hedging.find_delay(
            host.hedges,
            host.hedge_policy,
            hedging.Request(
                target=_build_target(lease),
                repeatable=route.idempotent and admitted.key is None,
                attempts=len(self._failed_servers),
                max_attempts=route.max_tries or router_queues.MAX_ATTEMPTS,
                reports_slowness=host.dispatcher.reports_slowness(
                    admitted.service.id
                ),
                left_ms=self._remaining_ms(),
            ),
            host.clock(),
        )

    async def _attempt_copies(
        self,
        admitted: keyed_requests.AdmittedRequest,
        lease: dispatch.Lease,
        delay_ms: float,
    ) -> router_queues.Fault:
        """Makes one attempt that may get a second copy.

        See `Exchange._attempt`.
        """
        race = Race(
            self._host.reactor,
            Actions(
                send=lambda copy: defer.Deferred.fromCoroutine(
                    self._send_copy(admitted, copy)
                ),
                end=self._end_copy,
                queue_duplicate=lambda: self._queue_duplicate(
                    admitted, lease, delay_ms
                ),
                is_caller_gone=lambda: self._caller_left,
            ),
            lease,
            delay_ms / 1000,
        )
        self._cancel_step = self._abort_step = race.cancel
        try:
            outcome = await race.run()
        finally:
            self._cancel_step = self._abort_step = None
            self._note_race(race)
        if not isinstance(outcome, Winner):
            if self._caller_left:
                raise dispatch.CallerGoneError
            return outcome
        if race.result is _Result.DUPLICATE_WON and lease.sent_ms is not None:
            self._note_latency(lease, self._host.clock() - lease.sent_ms)
        self._lease = outcome.lease
        return await self._relay_answer(admitted, outcome.lease, outcome.head)

    async def _send_copy(
        self, admitted: keyed_requests.AdmittedRequest, lease: dispatch.Lease
    ) -> forwarding.AnswerHead:
        """Sends a copy and waits until the body of its answer has begun."""
        head = await self._start_send(admitted, lease)
        self._host.dispatcher.note_server(lease.grant, head.notice)
        left_ms = self._remaining_ms()
        timeout_s = admitted.service.idle_timeout_s
        if left_ms is not None:
            timeout_s = min(timeout_s, left_ms / 1000 + HELD_GRACE_S)
        held = held_bodies.HeldBody(self._host.reactor, head, timeout_s)
        try:
            await held.start()
        except BaseException:
            held.discard()
            raise
        return dataclasses.replace(head, response=held)

    def _end_copy(
        self, lease: dispatch.Lease, exc: Exception | None, status: int | None
    ) -> None:
        """Reports the end of a copy; a cancelled one is no fault."""
        if isinstance(exc, forwarding.NotSentError):
            self._host.dispatcher.note_server(lease.grant, exc.notice)
        outcome = self._find_copy_outcome(lease, exc, status)
        fault = getattr(exc, "fault", None)
        self._report_crash_suspect(lease, outcome, fault)
        self._end_lease(lease, outcome, status=status)

    def _find_copy_outcome(
        self, lease: dispatch.Lease, exc: Exception | None, status: int | None
    ) -> data.Outcome:
        if isinstance(exc, forwarding.NotSentError) or (
            exc is not None and not self._caller_left
        ):
            return self._find_outcome(exc.fault)
        if lease.sent_ms is None:
            return data.Outcome.NOT_DISPATCHED
        if status is not None and status >= hedging.FIRST_SERVER_ERROR:
            # An answer that was set aside still shows that the server failed.
            return data.Outcome.SERVER_ERROR
        return data.Outcome.CANCELLED

    def _queue_duplicate(
        self,
        admitted: keyed_requests.AdmittedRequest,
        first: dispatch.Lease,
        delay_ms: float,
    ) -> tuple[defer.Deferred, Callable[[], None]] | None:
        """Asks the leader for the grant of a second copy.

        Returns:
          A Deferred of the lease and a function that ends the wait; None if no
          copy may be sent.
        """
        host, service = self._host, admitted.service.id
        if self._caller_left or host.closing or not host.link.alive:
            return None
        host.hedges, host.dispatcher.retry_budgets, skip = hedging.take_copy(
            host.hedges,
            host.dispatcher.retry_budgets,
            service,
            host.retry_policy,
        )
        fields = {**self._log_fields(), "server": first.grant.server_id}
        if skip is not None:
            logs.decision("hedge_skipped", skip, **fields)
            return None
        sequence, granted = host.dispatcher.queue_request(
            hedging.build_duplicate(
                first.queued, first.grant.server_id, self._remaining_ms()
            ),
            host.clock() + messages.GRANT_LIFETIME_MS,
            admitted.workspace.max_queue,
            first.queue_position,
        )
        logs.decision(
            "queued",
            "second copy of a slow request",
            **fields,
            want=sequence,
            delay_ms=round(delay_ms),
        )
        return granted, lambda: host.dispatcher.cancel_wait(
            sequence, dispatch.CallerGoneError()
        )

    def _note_race(self, race: Race) -> None:
        """Counts and logs a second copy, and returns it if it was not sent."""
        if race.result is None:
            return
        host, duplicate = self._host, race.duplicate
        if duplicate is not None and duplicate.sent_ms is not None:
            # It counts as an attempt at another server.
            self._failed_servers.append(duplicate.grant.server_id)
        else:
            host.hedges, host.dispatcher.retry_budgets = hedging.return_copy(
                host.hedges,
                host.dispatcher.retry_budgets,
                self._service,
                host.retry_policy,
            )
        host.metrics.count_hedge(race.result)
        logs.decision(
            "hedge_ended",
            race.result,
            **self._log_fields(),
            server=duplicate.grant.server_id if duplicate else None,
        )

    def _note_latency(self, lease: dispatch.Lease, latency_ms: float) -> None:
        """Records the latency of a first byte for the delay of later copies."""
        host = self._host
        if host.hedge_policy.share > 0:
            host.hedges = hedging.add_sample(
                host.hedges, _build_target(lease), latency_ms, host.clock()
            )


def _build_target(lease: dispatch.Lease) -> hedging.Target:
    return hedging.Target(
        lease.queued.service,
        lease.queued.route,
        (lease.grant.server_id, lease.grant.incarnation),
    )
