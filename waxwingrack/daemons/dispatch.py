"""Waiting requests, grants in use and what the next report says of them."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools

import immutables
from returns import result
from twisted.internet import defer

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.operations import costs
from waxwingrack.operations import router_queues

# Shortest interval between two reports of a running request's cost.
PROGRESS_MS = 500


class RefusedError(Exception):
    """A request ends with a refusal.

    Attributes:
      kind: Error kind.
      reason: Reason for the log.
      record_unread: Whether the record of its idempotency key could not be
        read.
      retry_after_ms: Time after which there may be room; 0 if unknown.
    """

    def __init__(
        self,
        kind: errors.ErrorKind,
        reason: str = "",
        record_unread: bool = False,
        retry_after_ms: int = 0,
    ):
        super().__init__(kind)
        self.kind = kind
        self.retry_after_ms = retry_after_ms
        self.reason = reason or kind
        self.record_unread = record_unread


class CallerGoneError(Exception):
    """The caller closed its connection."""


@dataclasses.dataclass(slots=True)
class Lease:
    """A grant in use.

    Attributes:
      grant: The grant.
      want: Want that it answers.
      place: Place of the request in its queue.
      echo_ms: Start of the grant's life on the router's clock.
      meter: Cost meter, once the answer has begun.
      sent_ms: Time of the dispatch, None before it.
      reported_cost: Cost in the last report.
      reported_ms: Time of the last report of the cost.
    """

    grant: data.Grant
    want: data.QueuedRequest
    place: int
    echo_ms: int
    meter: costs.Meter | None = None
    sent_ms: int | None = None
    reported_cost: float = 0.0
    reported_ms: int = 0

    def cost(self, now_ms: int) -> float:
        """Returns the cost so far."""
        if self.meter is None or self.sent_ms is None:
            return 0.0
        return self.meter.cost(now_ms - self.sent_ms)


@dataclasses.dataclass(slots=True)
class _Wait:
    """Somebody who waits for the grant of a want."""

    granted: defer.Deferred
    timer: asyncio.TimerHandle


class Dispatcher:
    """Hands out grants of the leader to waiting requests.

    Attributes:
      queues: Waiting requests.
      leases: Grants in use by (term, grant id).
      budgets: Retries saved up by service id.
    """

    def __init__(self, clock: Callable[[], int], poke: Callable[[bool], None]):
        self.queues = router_queues.Queues()
        self.leases: dict[tuple[int, int], Lease] = {}
        self.budgets = immutables.Map()
        self._clock = clock
        self._poke = poke
        self._sequence = itertools.count(1)
        self._waits: dict[int, _Wait] = {}
        self._withdrawn: list[int] = []
        self._finished: list[data.FinishedRequest] = []
        self._started: list[data.StartedAnswer] = []
        self._announcements: dict[str, data.Announcement] = {}
        self._suspects: list[messages.CrashSuspect] = []

    # -- waiting ------------------------------------------------------------

    def wait(
        self,
        want: data.QueuedRequest,
        deadline_ms: int,
        max_queue: int,
        place: int | None = None,
    ) -> tuple[int, defer.Deferred]:
        """Queues a request.

        Args:
          want: Want of the request; its sequence is replaced.
          deadline_ms: Time at which the wait ends.
          max_queue: Most waiting requests of the workspace.
          place: Place of an earlier try.

        Returns:
          The sequence and a Deferred that fires with a `Lease` or fails with
          RefusedError or CallerGoneError.

        Raises:
          RefusedError: The queue is full.
        """
        sequence = next(self._sequence)
        want = dataclasses.replace(want, sequence=sequence)
        match router_queues.enqueue(
            self.queues, want, deadline_ms, max_queue, place
        ):
            case result.Failure(kind):
                raise RefusedError(kind)
            case result.Success(queues):
                self.queues = queues
        granted: defer.Deferred = defer.Deferred()
        delay_s = max(0, deadline_ms - self._clock()) / 1000
        timer = asyncio.get_running_loop().call_later(
            delay_s,
            self.give_up,
            sequence,
            RefusedError(errors.ErrorKind.QUEUE_TIMEOUT),
        )
        self._waits[sequence] = _Wait(granted, timer)
        self._poke(True)
        return sequence, granted

    def give_up(self, sequence: int, reason: Exception) -> None:
        """Ends the wait of a request.

        Args:
          sequence: Sequence of its want.
          reason: Exception that the waiting side gets.
        """
        self.queues, row = router_queues.remove_request(self.queues, sequence)
        wait = self._waits.pop(sequence, None)
        if row is None or wait is None:
            return
        wait.timer.cancel()
        if row.reported:
            self._withdrawn.append(sequence)
        self._poke(False)
        wait.granted.errback(reason)

    def refuse_all(self, kind: errors.ErrorKind) -> None:
        """Refuses every waiting request."""
        for sequence in tuple(self._waits):
            self.give_up(sequence, RefusedError(kind))

    # -- grants -------------------------------------------------------------

    def apply(self, update: messages.ControllerUpdate) -> None:
        """Hands out grants and refusals of the leader."""
        for refusal in update.refusals:
            self.give_up(
                refusal.want,
                RefusedError(
                    refusal.kind,
                    reason="leader_refused",
                    retry_after_ms=refusal.retry_after_ms,
                ),
            )
        for grant in update.grants:
            self._give(grant, update.echo_ms)

    def _give(self, grant: data.Grant, echo_ms: int) -> None:
        if (grant.term, grant.id) in self.leases:
            return
        self.queues, row = router_queues.remove_request(self.queues, grant.want)
        wait = self._waits.pop(grant.want, None)
        if row is None or wait is None:
            self._add_finished(grant, data.Outcome.NOT_DISPATCHED)
            logs.decision(
                "grant_returned", "no_waiting_request", grant=grant.id
            )
            return
        wait.timer.cancel()
        lease = Lease(grant, row.request, row.first_sequence, echo_ms)
        self.leases[grant.term, grant.id] = lease
        wait.granted.callback(lease)

    def begun(self, lease: Lease, first_byte_ms: float) -> None:
        """Reports that the answer to a granted request has begun.

        Args:
          lease: The grant in use.
          first_byte_ms: Time from dispatch to the first byte of the body.
        """
        # Only engines read prompts, for which the leader waits.
        if lease.want.prompt_tokens:
            self._started.append(
                data.StartedAnswer(
                    lease.grant.term, lease.grant.id, float(first_byte_ms)
                )
            )
            self._poke(False)

    def finish(
        self,
        lease: Lease,
        outcome: data.Outcome,
        first_byte_ms: float = 0.0,
        duration_ms: float = 0.0,
    ) -> float:
        """Ends the use of a grant and reports it.

        Args:
          lease: The grant in use.
          outcome: How the request ended.
          first_byte_ms: Time from dispatch to the first answer byte.
          duration_ms: Time from dispatch to the end.

        Returns:
          The cost.
        """
        if self.leases.pop((lease.grant.term, lease.grant.id), None) is None:
            return 0.0
        cost = lease.cost(self._clock())
        self._add_finished(
            lease.grant, outcome, first_byte_ms, duration_ms, cost
        )
        return cost

    def _add_finished(
        self,
        grant: data.Grant,
        outcome: data.Outcome,
        first_byte_ms: float = 0.0,
        duration_ms: float = 0.0,
        cost: float = 0.0,
    ) -> None:
        self._finished.append(
            data.FinishedRequest(
                grant.term,
                grant.id,
                outcome,
                float(first_byte_ms),
                float(duration_ms),
                float(cost),
            )
        )
        self._poke(False)

    # -- other subjects of reports -------------------------------------------

    def announce(self, announcement: data.Announcement) -> None:
        """Forwards an announcement with the next report.

        The latest announcement of a backend server replaces an earlier one that
        was not reported yet; cache events are kept.
        """
        earlier = self._announcements.get(announcement.server_id)
        if earlier and earlier.incarnation == announcement.incarnation:
            announcement = dataclasses.replace(
                announcement,
                cache_events=earlier.cache_events + announcement.cache_events,
            )
        self._announcements[announcement.server_id] = announcement
        self._poke(False)

    def suspect(self, lease: Lease) -> None:
        """Reports that a backend server's connection broke."""
        self._suspects.append(
            messages.CrashSuspect(
                lease.want.digest,
                lease.grant.server_id,
                lease.grant.incarnation,
            )
        )

    def take_report(
        self,
        first: bool,
        environment_number: int,
        draining: bool,
        max_wants: int = messages.MAX_WANTS,
    ) -> messages.RouterReport:
        """Takes what is to be reported now.

        Args:
          first: Whether this is the first report of a connection. It lists all
            wants and grants in use; what happened before is sent once the
            controller has shown that it leads.
          environment_number: Number of the environment in force.
          draining: Whether the router shuts down.
          max_wants: Wants of one workspace and service to report at a time.

        Returns:
          The report.
        """
        now_ms = self._clock()
        if first:
            self._withdrawn.clear()
            self.queues = router_queues.clear_reported(self.queues)
        self.queues, wants = router_queues.take_unreported(
            self.queues, max_wants
        )
        if first:
            return messages.RouterReport(
                sent_ms=now_ms,
                environment_number=environment_number,
                first=True,
                wants=wants,
                running=tuple(
                    self._running(lease, now_ms)
                    for lease in self.leases.values()
                ),
                draining=draining,
            )
        report = messages.RouterReport(
            sent_ms=now_ms,
            environment_number=environment_number,
            wants=wants,
            withdrawn=tuple(self._withdrawn),
            finished=tuple(self._finished),
            started=tuple(self._started),
            progress=self._take_progress(now_ms),
            announcements=tuple(self._announcements.values()),
            crash_suspects=tuple(self._suspects),
            draining=draining,
        )
        self._withdrawn.clear()
        self._finished.clear()
        self._started.clear()
        self._announcements.clear()
        self._suspects.clear()
        return report

    def _take_progress(self, now_ms: int) -> tuple[data.CostProgress, ...]:
        found = []
        for lease in self.leases.values():
            if (
                lease.sent_ms is None
                or now_ms - lease.reported_ms < PROGRESS_MS
            ):
                continue
            cost = lease.cost(now_ms)
            if costs.worth_reporting(lease.reported_cost, cost):
                lease.reported_ms = now_ms
                lease.reported_cost = cost
                found.append(
                    data.CostProgress(lease.grant.term, lease.grant.id, cost)
                )
        return tuple(found)

    def _running(self, lease: Lease, now_ms: int) -> data.RunningRequest:
        grant, want = lease.grant, lease.want
        return data.RunningRequest(
            term=grant.term,
            grant=grant.id,
            server_id=grant.server_id,
            incarnation=grant.incarnation,
            version=grant.version,
            workspace=want.workspace,
            service=want.service,
            route=want.route,
            digest=want.digest,
            cost=float(lease.cost(now_ms)),
        )
