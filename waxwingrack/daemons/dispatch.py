"""Waiting requests and grants of a router, and its reports to the leader."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import time
from typing import Any

import immutables
from returns import result
from twisted.internet import defer

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import dialects
from waxwingrack.operations import costs
from waxwingrack.operations import crashes
from waxwingrack.operations import router_queues
from waxwingrack.operations import server_notices
from waxwingrack.operations import server_speeds

# Minimum interval between two reports of the cost of a running request.
PROGRESS_MS = 500
# Longest part of a header's value that is logged.
MAX_LOGGED_CHARS = 64


class RefusedError(Exception):
    """A request ends with a refusal.

    Attributes:
      kind: Error kind.
      reason: Reason for the log.
      record_unread: Whether the record of its idempotency key could not be
        read.
      retry_after_ms: Time after which a retry may succeed; 0 if unknown.
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
      queued: Queued request that got the grant.
      queue_position: Position that the request had in its queue.
      valid_from_ms: Time from which the grant's lifetime counts, on the
        router's clock.
      meter: Cost meter, None before the dispatch.
      sent_ms: Time of the dispatch, None before it.
      reported_cost: Cost in the last report.
      reported_ms: Time of the last report of the cost.
    """

    grant: data.Grant
    queued: data.QueuedRequest
    queue_position: int
    valid_from_ms: int
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
class _PendingGrant:
    """The wait of a queued request for its grant.

    Attributes:
      deferred: Fires with the `Lease`.
      timer: Ends the wait.
      queued_ms: Time at which the request was queued.
    """

    deferred: defer.Deferred
    timer: asyncio.TimerHandle
    queued_ms: int


class Dispatcher:
    """Passes the grants of the leader to waiting requests.

    Attributes:
      queues: Waiting requests.
      leases: Grants in use by (term, grant id).
      retry_budgets: Retries that may still be sent, by service id.
    """

    def __init__(
        self, clock: Callable[[], int], schedule_report: Callable[[bool], None]
    ):
        self.queues = router_queues.Queues()
        self.leases: dict[tuple[int, int], Lease] = {}
        self.retry_budgets = immutables.Map()
        self._clock = clock
        self._schedule_report = schedule_report
        self._sequences = itertools.count(1)
        self._pending_grants: dict[int, _PendingGrant] = {}
        # Grants that waiting requests got since the count was last taken.
        self._grant_count = 0
        # Whether requests have waited ever since the last sample.
        self._is_backlogged = False
        self._withdrawn_sequences: list[int] = []
        self._finished_requests: list[data.FinishedRequest] = []
        self._started_answers: list[data.StartedAnswer] = []
        self._announcements: dict[str, data.Announcement] = {}
        self._crash_suspects: list[messages.CrashSuspect] = []
        self._server_notices = server_notices.Notices()
        self._unreported_notices: list[data.ServerNotice] = []
        # Services of which a server has stated its slowness in an answer.
        self._slowness_services: set[str] = set()
        # What servers state as their load, and their slowness and its time that
        # is not reported yet. Only the latest one of a server is reported.
        self._told_loads = immutables.Map()
        self._unreported_slowness: dict[
            server_notices.ServerKey, tuple[float, int]
        ] = {}
        # Reported suspects with their times, for a leader that does not know
        # them.
        self._reported_suspects: list[tuple[int, messages.CrashSuspect]] = []

    # -- waiting ------------------------------------------------------------

    def queue_request(
        self,
        queued: data.QueuedRequest,
        deadline_ms: int,
        max_queue: int,
        queue_position: int | None = None,
    ) -> tuple[int, defer.Deferred]:
        """Queues a request.

        Args:
          queued: The request; its sequence is replaced.
          deadline_ms: Time at which the wait ends.
          max_queue: Maximum number of waiting requests of the workspace.
          queue_position: Queue position of an earlier attempt.

        Returns:
          The sequence and a Deferred that fires with a `Lease` or fails with
          RefusedError or CallerGoneError.

        Raises:
          RefusedError: The queue is full.
        """
        sequence = next(self._sequences)
        queued = dataclasses.replace(queued, sequence=sequence)
        match router_queues.enqueue(
            self.queues, queued, deadline_ms, max_queue, queue_position
        ):
            case result.Failure(kind):
                raise RefusedError(kind)
            case result.Success(queues):
                self.queues = queues
        deferred: defer.Deferred = defer.Deferred()
        delay_s = max(0, deadline_ms - self._clock()) / 1000
        timer = asyncio.get_running_loop().call_later(
            delay_s,
            self.cancel_wait,
            sequence,
            RefusedError(errors.ErrorKind.QUEUE_TIMEOUT),
        )
        self._pending_grants[sequence] = _PendingGrant(
            deferred, timer, self._clock()
        )
        self._schedule_report(True)
        return sequence, deferred

    def cancel_wait(self, sequence: int, reason: Exception) -> None:
        """Ends the wait of a request.

        Args:
          sequence: Sequence of the queued request.
          reason: Exception that is raised to whoever waits for the grant.
        """
        self.queues, entry = router_queues.remove_request(self.queues, sequence)
        pending = self._pending_grants.pop(sequence, None)
        if entry is None or pending is None:
            return
        pending.timer.cancel()
        if entry.reported:
            self._withdrawn_sequences.append(sequence)
        self._schedule_report(False)
        pending.deferred.errback(reason)

    def refuse_waiting_requests(self, kind: errors.ErrorKind) -> None:
        """Refuses every waiting request."""
        for sequence in tuple(self._pending_grants):
            self.cancel_wait(sequence, RefusedError(kind))

    # -- grants -------------------------------------------------------------

    def apply_update(self, update: messages.ControllerUpdate) -> None:
        """Passes the leader's grants and refusals to waiting requests."""
        for refusal in update.refusals:
            self.cancel_wait(
                refusal.want,
                RefusedError(
                    refusal.kind,
                    reason="leader_refused",
                    retry_after_ms=refusal.retry_after_ms,
                ),
            )
        for grant in update.grants:
            self._assign_grant(grant, update.echo_ms)

    def _assign_grant(self, grant: data.Grant, echo_ms: int) -> None:
        if (grant.term, grant.id) in self.leases:
            return
        self.queues, entry = router_queues.remove_request(
            self.queues, grant.want
        )
        pending = self._pending_grants.pop(grant.want, None)
        if entry is None or pending is None:
            self._add_finished_request(grant, data.Outcome.NOT_DISPATCHED)
            logs.decision(
                "grant_returned", "no_waiting_request", grant=grant.id
            )
            return
        pending.timer.cancel()
        self._grant_count += 1
        self._is_backlogged = self._is_backlogged and bool(self.queues.requests)
        lease = Lease(grant, entry.request, entry.first_sequence, echo_ms)
        self.leases[grant.term, grant.id] = lease
        pending.deferred.callback(lease)

    def take_grant_count(self) -> int:
        """Returns the grants that waiting requests got since the last call."""
        count, self._grant_count = self._grant_count, 0
        return count

    def take_backlogged(self) -> bool:
        """Returns whether requests have waited ever since the last call."""
        has_queue = bool(self.queues.requests)
        was_backlogged = self._is_backlogged and has_queue
        self._is_backlogged = has_queue
        return was_backlogged

    def report_answer_start(self, lease: Lease, first_byte_ms: float) -> None:
        """Reports that the answer to a granted request has begun.

        Args:
          lease: The grant in use.
          first_byte_ms: Time from dispatch to the first byte of the body.
        """
        # Only model engines have prompt tokens; the leader needs to know when
        # they have read the prompt.
        if lease.queued.prompt_tokens:
            self._started_answers.append(
                data.StartedAnswer(
                    lease.grant.term, lease.grant.id, float(first_byte_ms)
                )
            )
            self._schedule_report(False)

    def end_lease(
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
        self._add_finished_request(
            lease.grant, outcome, first_byte_ms, duration_ms, cost
        )
        return cost

    def _add_finished_request(
        self,
        grant: data.Grant,
        outcome: data.Outcome,
        first_byte_ms: float = 0.0,
        duration_ms: float = 0.0,
        cost: float = 0.0,
    ) -> None:
        self._finished_requests.append(
            data.FinishedRequest(
                grant.term,
                grant.id,
                outcome,
                float(first_byte_ms),
                float(duration_ms),
                float(cost),
            )
        )
        self._schedule_report(False)

    # -- reports ------------------------------------------------------------

    def queue_announcement(self, announcement: data.Announcement) -> None:
        """Forwards an announcement with the next report.

        The latest announcement of a backend server replaces an earlier one that
        has not been reported yet, but the cache events of both are kept.
        """
        unreported = self._announcements.get(announcement.server_id)
        if unreported and unreported.incarnation == announcement.incarnation:
            announcement = dataclasses.replace(
                announcement,
                cache_events=unreported.cache_events
                + announcement.cache_events,
            )
        self._announcements[announcement.server_id] = announcement
        if announcement.departing:
            # A report may be lost with its leader; notices are repeated.
            self._note_leaving(
                (announcement.server_id, announcement.incarnation), "announced"
            )
        self._schedule_report(False)

    def report_crash_suspect(self, lease: Lease) -> None:
        """Reports a request whose connection to its backend server broke."""
        self._crash_suspects.append(
            messages.CrashSuspect(
                lease.queued.digest,
                lease.grant.server_id,
                lease.grant.incarnation,
                ran_ms=self._clock() - (lease.sent_ms or self._clock()),
                parts=crashes.list_shared_parts(lease.queued.prompt),
            )
        )

    def note_server(
        self, grant: data.Grant, notice: dialects.AnswerNotice
    ) -> None:
        """Records and reports what a server told in an answer.

        Args:
          grant: Grant under which the server answered.
          notice: What it told.
        """
        if notice.leaving:
            self._note_leaving(
                (grant.server_id, grant.incarnation),
                "told in an answer",
                grant=grant.id,
            )
        if notice.retry_after is not None:
            self._note_pause(grant, notice.retry_after)
        if notice.rate_limit is not None:
            self._note_rate_limit(grant, notice.rate_limit)
        if notice.load is not None:
            self._note_load(grant, notice.load)

    def reports_slowness(self, service_id: str) -> bool:
        """Tells whether servers of a service state how slow they are.

        Args:
          service_id: Id of the service.
        """
        return service_id in self._slowness_services

    def _note_leaving(
        self, server: server_notices.ServerKey, observation: str, **fields: Any
    ) -> None:
        known = self._server_notices
        self._server_notices = server_notices.note_leaving(
            known, server, self._clock()
        )
        if self._server_notices is known:
            return
        logs.decision(
            "server_leaving",
            observation,
            server=server[0],
            incarnation=server[1],
            **fields,
        )
        self._unreported_notices.append(
            data.ServerNotice(*server, leaving=True)
        )
        self._schedule_report(True)

    def _note_pause(self, grant: data.Grant, retry_after: str) -> None:
        server = (grant.server_id, grant.incarnation)
        pause_ms = server_notices.parse_retry_after(retry_after, time.time())
        reason = "asked for in an answer"
        if pause_ms is None:
            pause_ms = server_notices.DEFAULT_PAUSE_MS
            reason = "its Retry-After cannot be read"
        elif pause_ms == 0:
            reason = "its Retry-After asks for no time"
        elif pause_ms == server_notices.MAX_PAUSE_MS:
            reason = "asked for the longest pause or more"
        known = self._server_notices
        self._server_notices = server_notices.note_pause(
            known, server, pause_ms, self._clock()
        )
        logs.decision(
            "server_pauses_router",
            reason,
            server=grant.server_id,
            incarnation=grant.incarnation,
            grant=grant.id,
            pause_ms=pause_ms,
            retry_after=retry_after[:MAX_LOGGED_CHARS],
        )
        if self._server_notices is known:
            return
        self._unreported_notices.append(
            data.ServerNotice(*server, pause_ms=pause_ms)
        )
        self._schedule_report(True)

    def _note_rate_limit(self, grant: data.Grant, text: str) -> None:
        server = (grant.server_id, grant.incarnation)
        rate = server_notices.parse_rate_limit(text)
        if rate is None:
            logs.event(
                "rate_limit_unreadable",
                server=grant.server_id,
                value=text[:MAX_LOGGED_CHARS],
            )
            return
        known = self._server_notices
        self._server_notices = server_notices.note_rate_limit(
            known, server, rate, self._clock()
        )
        if self._server_notices is known:
            return
        self._unreported_notices.append(
            data.ServerNotice(*server, rate_limit=rate)
        )
        self._schedule_report(True)

    def _note_load(self, grant: data.Grant, load: data.ServerLoad) -> None:
        server, now_ms = (grant.server_id, grant.incarnation), self._clock()
        lease = self.leases.get((grant.term, grant.id))
        if lease is not None and load.slowness is not None:
            self._slowness_services.add(lease.queued.service)
        self._told_loads, reports, logs_invalid = server_speeds.note_load(
            self._told_loads, server, load, now_ms
        )
        if logs_invalid:
            logs.event(
                "server_load_invalid",
                server=grant.server_id,
                value=load.invalid,
                slowness=load.slowness,
            )
        if reports:
            logs.decision(
                "server_slowness_reported",
                "it has changed or would expire",
                server=grant.server_id,
                incarnation=grant.incarnation,
                slowness=load.slowness,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
            )
            self._unreported_slowness[server] = (load.slowness, now_ms)
            self._schedule_report(False)

    def _take_slowness(self, now_ms: int) -> tuple[data.ServerNotice, ...]:
        """Returns the latest slowness of each server that is to be reported."""
        notices = tuple(
            data.ServerNotice(
                *server, slowness=slowness, slowness_age_ms=now_ms - told_ms
            )
            for server, (slowness, told_ms) in self._unreported_slowness.items()
            if now_ms - told_ms < server_speeds.SLOWNESS_LIFETIME_MS
        )
        self._unreported_slowness.clear()
        return notices

    def find_bar(self, grant: data.Grant) -> server_notices.Bar | None:
        """Tells why the request of a grant may not be sent to its server."""
        return server_notices.find_bar(
            self._server_notices,
            (grant.server_id, grant.incarnation),
            self._clock(),
        )

    def take_report(
        self,
        first: bool,
        environment_number: int,
        draining: bool,
        max_queued: int = messages.MAX_REPORTED_REQUESTS,
    ) -> messages.RouterReport:
        """Builds the next report and clears what it contains.

        Args:
          first: Whether this is the first report of a connection. It lists all
            queued requests and grants in use; earlier events are sent only once
            the controller has shown that it leads.
          environment_number: Number of the environment in force.
          draining: Whether the router shuts down.
          max_queued: Maximum number of queued requests of one workspace and
            service in a report.

        Returns:
          The report.
        """
        now_ms = self._clock()
        self._reported_suspects = [
            entry
            for entry in self._reported_suspects
            if now_ms - entry[0] < crashes.REPEAT_REPORT_MS
        ]
        if first:
            self._crash_suspects = [
                *(
                    dataclasses.replace(suspect, age_ms=now_ms - reported_ms)
                    for reported_ms, suspect in self._reported_suspects
                ),
                *self._crash_suspects,
            ]
            self._reported_suspects.clear()
            self._unreported_notices = list(
                server_notices.list_reports(self._server_notices, now_ms)
            )
            self._withdrawn_sequences.clear()
            self.queues = router_queues.clear_reported(self.queues)
        self.queues, queued_requests = router_queues.take_unreported(
            self.queues, max_queued
        )
        queued_requests = tuple(
            self._add_passed_time(queued, now_ms) for queued in queued_requests
        )
        if first:
            return messages.RouterReport(
                sent_ms=now_ms,
                environment_number=environment_number,
                first=True,
                wants=queued_requests,
                running=tuple(
                    self._build_running_request(lease, now_ms)
                    for lease in self.leases.values()
                ),
                draining=draining,
            )
        report = messages.RouterReport(
            sent_ms=now_ms,
            environment_number=environment_number,
            wants=queued_requests,
            withdrawn=tuple(self._withdrawn_sequences),
            finished=tuple(self._finished_requests),
            started=tuple(self._started_answers),
            progress=self._take_progress(now_ms),
            announcements=tuple(self._announcements.values()),
            crash_suspects=tuple(self._crash_suspects),
            draining=draining,
            notices=(*self._unreported_notices, *self._take_slowness(now_ms)),
        )
        self._unreported_notices.clear()
        self._withdrawn_sequences.clear()
        self._finished_requests.clear()
        self._started_answers.clear()
        self._announcements.clear()
        self._reported_suspects += [
            (now_ms - suspect.age_ms, suspect)
            for suspect in self._crash_suspects
        ]
        self._crash_suspects.clear()
        return report

    def _add_passed_time(
        self, queued: data.QueuedRequest, now_ms: int
    ) -> data.QueuedRequest:
        """Adds the time in the queue to the time passed since the arrival."""
        pending = self._pending_grants.get(queued.sequence)
        if not queued.target_ms or pending is None:
            return queued
        waited_ms = max(0, now_ms - pending.queued_ms)
        if not waited_ms:
            return queued
        return dataclasses.replace(
            queued, passed_ms=queued.passed_ms + waited_ms
        )

    def _take_progress(self, now_ms: int) -> tuple[data.CostProgress, ...]:
        reports = []
        for lease in self.leases.values():
            if (
                lease.sent_ms is None
                or now_ms - lease.reported_ms < PROGRESS_MS
            ):
                continue
            cost = lease.cost(now_ms)
            if costs.is_worth_reporting(lease.reported_cost, cost):
                lease.reported_ms = now_ms
                lease.reported_cost = cost
                reports.append(
                    data.CostProgress(lease.grant.term, lease.grant.id, cost)
                )
        return tuple(reports)

    def _build_running_request(
        self, lease: Lease, now_ms: int
    ) -> data.RunningRequest:
        grant, queued = lease.grant, lease.queued
        return data.RunningRequest(
            term=grant.term,
            grant=grant.id,
            server_id=grant.server_id,
            incarnation=grant.incarnation,
            version=grant.version,
            workspace=queued.workspace,
            service=queued.service,
            route=queued.route,
            digest=queued.digest,
            cost=float(lease.cost(now_ms)),
            parts=crashes.list_shared_parts(queued.prompt),
        )
