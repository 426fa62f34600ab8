"""Handling of one caller's request by a router.

A request is admitted, waits for a grant, is sent to a backend server and
answered. If it has an idempotency key, the key is looked up before the wait and
claimed once the request has a grant. Each attempt uses one grant and reports
how its use ended, whatever way the attempt ends.
"""

import dataclasses
from typing import Any

from returns import result
from twisted.internet import defer
from twisted.python import failure

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import logs
from waxwingrack.daemons import admission
from waxwingrack.daemons import answers
from waxwingrack.daemons import buffer_reservations
from waxwingrack.daemons import dialects
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import forwarding
from waxwingrack.daemons import hedged_attempts
from waxwingrack.daemons import keyed_requests
from waxwingrack.operations import costs
from waxwingrack.operations import crashes
from waxwingrack.operations import hedging
from waxwingrack.operations import idempotency
from waxwingrack.operations import router_queues
from waxwingrack.operations import routing

_OUTCOME_BY_FAULT = {
    router_queues.Fault.CONNECT_FAILED: data.Outcome.CONNECT_FAILED,
    router_queues.Fault.CONNECTION_LOST: data.Outcome.CONNECTION_LOST,
    router_queues.Fault.ANSWER_INVALID: data.Outcome.CONNECTION_LOST,
    router_queues.Fault.TIMED_OUT: data.Outcome.TIMED_OUT,
    router_queues.Fault.GRANT_EXPIRED: data.Outcome.NOT_DISPATCHED,
    router_queues.Fault.CLAIM_LOST: data.Outcome.NOT_DISPATCHED,
    router_queues.Fault.REJECTED: data.Outcome.REJECTED,
    router_queues.Fault.SERVER_BARRED: data.Outcome.NOT_DISPATCHED,
}
# Time past the deadline of its route after which an unfinished answer is
# aborted. Normally the backend server ends it at the deadline itself.
ANSWER_GRACE_S = 0.1


class Exchange(keyed_requests.KeyedRequest, hedged_attempts.HedgedRequest):
    """One request of a caller.

    Attributes:
      waiting_sequence: Sequence of its queued request while it waits for a
        grant, None otherwise.
    """

    def __init__(
        self, host: keyed_requests.Host, req: admission.CallersRequest
    ):
        self.waiting_sequence: int | None = None
        self._host = host
        self._req = req
        self._caller_left = False
        # Grants of the attempts that may have run, by (term, grant id).
        self._sent_grants: set[tuple[int, int]] = set()
        # Servers that the request was sent to without a whole answer.
        self._failed_servers: list[str] = []
        self._is_counted = False
        # Whether the leader schedules the returns of refused callers.
        self._schedules_returns = False
        self._key_claimed = False
        self._cancel_step: Any = None
        # Ends the wait for the head of an answer, also for a keyed request.
        self._abort_step: Any = None
        self._terminated = False
        self._lease: dispatch.Lease | None = None
        self._caller_writer: answers.CallerWriter | None = None
        self._unconfirmed_calls: list[defer.Deferred] = []
        self._key: tuple[str, str] | None = None
        self._workspace = ""
        self._service = ""
        self._route = ""
        self._deadline_ms: int | None = None
        self._first_byte_ms = 0
        self._relay: answers.BodyRelay | None = None
        self._answer_reservation: buffer_reservations.Reservation | None = None
        req.body_in_use = True
        req.notifyFinish().addErrback(lambda _: self._handle_caller_loss())

    @property
    def _request_sent(self) -> bool:
        """Whether an attempt may have run."""
        return bool(self._sent_grants)

    async def run(self) -> None:
        """Handles the request until it has ended; raises nothing."""
        try:
            await self._run()
        except keyed_requests.ExchangeEndedError:
            pass
        except dispatch.CallerGoneError:
            logs.decision("ended", "caller_gone", **self._log_fields())
        except dispatch.RefusedError as exc:
            self._write_refusal(exc)
        except Exception as exc:  # noqa: BLE001
            self._host.record_failure("exchange_failed", exc)
            self._settle_claim()
            self._write_refusal(
                dispatch.RefusedError(errors.ErrorKind.INTERNAL)
            )
        finally:
            self._clean_up()

    def terminate(self) -> None:
        """Ends the request at once because the router stops."""
        self._terminated = True
        if self.waiting_sequence is not None:
            self._refuse_wait()
        elif self._relay:
            self._relay.abort(router_queues.Fault.CONNECTION_LOST)
        elif self._abort_step:
            self._abort_step()
        elif self._cancel_step:
            self._cancel_step()

    def refuse_if_late(self) -> None:
        """Ends the wait if the stop leaves no time to answer the request."""
        if self.waiting_sequence is not None and not self._can_be_answered():
            self._refuse_wait()

    def _refuse_wait(self) -> None:
        self._host.dispatcher.cancel_wait(
            self.waiting_sequence,
            dispatch.RefusedError(errors.ErrorKind.SHUTTING_DOWN),
        )

    def _can_be_answered(self) -> bool:
        return self._host.can_answer_in_time(
            self._service, self._route, self._remaining_ms()
        )

    # -- admission ----------------------------------------------------------

    def _admit(self) -> keyed_requests.AdmittedRequest:
        host, req = self._host, self._req
        kinds = errors.ErrorKind
        if host.closing:
            raise dispatch.RefusedError(kinds.SHUTTING_DOWN)
        if host.tables is None:
            raise dispatch.RefusedError(kinds.NOT_READY)
        method = req.method.decode()
        matched = routing.match_route(
            host.tables,
            method,
            req.path.decode("latin-1"),
            (self._first_header("Host") or "").lower(),
        )
        workspace = self._find_workspace(matched)
        if host.open_requests[workspace.id] >= workspace.max_connections:
            raise dispatch.RefusedError(kinds.TOO_MANY_CONNECTIONS)
        self._workspace = workspace.id
        host.open_requests[workspace.id] += 1
        target = routing.choose_target(
            host.tables, self._unwrap_found(matched), host.rng
        )
        self._service = target.service.id
        self._route = target.route.id
        self._schedules_returns = target.service.max_min_shares
        if not req.request_id_valid:
            raise dispatch.RefusedError(kinds.BAD_REQUEST, "request_id")
        key = _unwrap_or_refuse(
            idempotency.check_key(
                self._read_key_header(),
                target.route.idempotent or target.route.single_attempt,
            )
        )
        target_ms = round((target.route.latency_target_s or 0) * 1000)
        if key is None:
            if admission.has_caller_left(req):
                raise dispatch.CallerGoneError
            self._require_short_wait(workspace, target_ms)
        body = req.content.getvalue()
        digest = routing.digest_request(
            workspace.id, method, req.uri.decode("latin-1"), body
        )
        refused = host.tables.refused_digests
        if digest in refused:
            raise dispatch.RefusedError(kinds.REQUEST_CRASHES_SERVERS)
        if not host.link.alive:
            raise dispatch.RefusedError(
                kinds.CONTROL_UNAVAILABLE, record_unread=key is not None
            )
        hints = host.dialect.read_hints(
            req.requestHeaders, self._first_header("Content-Type") or "", body
        )
        if refused and not refused.isdisjoint(
            crashes.name_parts(crashes.list_shared_parts(hints.prompt))
        ):
            raise dispatch.RefusedError(
                kinds.REQUEST_CRASHES_SERVERS, "prompt_part"
            )
        now_ms = host.clock()
        left_ms = routing.min_time_left_ms(
            target.route, hints.left_ms, round(req.read_delay_s * 1000)
        )
        if left_ms == 0:
            raise dispatch.RefusedError(
                kinds.QUEUE_TIMEOUT,
                "deadline_passed",
                record_unread=key is not None,
            )
        self._deadline_ms = None if left_ms is None else now_ms + left_ms
        wait_ms = round(target.service.queue_timeout_s * 1000)
        return keyed_requests.AdmittedRequest(
            workspace=workspace,
            service=target.service,
            route=target.route,
            body=body,
            queued=data.QueuedRequest(
                sequence=0,
                workspace=workspace.id,
                service=target.service.id,
                route=target.route.id,
                digest=digest,
                prefix=hints.prefix,
                hint=hints.hint,
                prompt=hints.prompt,
                prompt_tokens=hints.prompt_tokens,
                output_tokens=hints.output_tokens,
                left_ms=left_ms or 0,
                target_ms=target_ms,
            ),
            key=key,
            deadline_ms=now_ms
            + (wait_ms if left_ms is None else min(wait_ms, left_ms)),
        )

    def _require_short_wait(
        self, workspace: data.Workspace, target_ms: int
    ) -> None:
        """Refuses a request that would wait too long at this router."""
        waited_ms = self._req.read_delay_s * 1000
        # Without a target, a request is not late because it waits for the link.
        link_ms = self._host.pacer.find_wait_ms() if target_ms else 0.0
        wait_ms = self._host.find_local_wait(
            workspace.id, target_ms, waited_ms + link_ms
        )
        if wait_ms is not None:
            raise dispatch.RefusedError(
                errors.ErrorKind.ROUTER_SATURATED,
                reason=f"{wait_ms:.0f} ms to wait, target {target_ms} ms",
                retry_after_ms=self._host.find_local_retry_ms(
                    wait_ms - waited_ms
                ),
            )

    def _find_workspace(self, matched: result.Result) -> data.Workspace:
        """Returns the caller's workspace; a public route needs no token."""
        tables = self._host.tables
        match matched:
            case result.Success(target) if target.route.public:
                return routing.PUBLIC
        return self._unwrap_found(
            routing.find_caller(tables, self._req.token_digest)
        )

    def _unwrap_found(self, found: result.Result) -> Any:
        """Returns what was found in the tables, or refuses the request.

        Without a leader, the tables may be older than the configuration in
        force, which may contain what they lack.
        """
        match found:
            case result.Failure(_) if not self._host.link.alive:
                raise dispatch.RefusedError(
                    errors.ErrorKind.CONTROL_UNAVAILABLE,
                    "unknown_to_last_configuration",
                    record_unread=self._read_key_header() is not None,
                )
        return _unwrap_or_refuse(found)

    def _first_header(self, name: str) -> str | None:
        values = self._req.requestHeaders.getRawHeaders(name.encode())
        return values[0].decode("latin-1") if values else None

    def _read_key_header(self) -> str | None:
        values = self._req.requestHeaders.getRawHeaders(b"Idempotency-Key")
        # Several headers are joined by commas, which the key check refuses.
        return b", ".join(values).decode("latin-1") if values else None

    # -- attempts -----------------------------------------------------------

    async def _run(self) -> None:
        admitted = self._admit()
        host = self._host
        host.dispatcher.retry_budgets = router_queues.earn_retry(
            host.dispatcher.retry_budgets,
            admitted.service.id,
            host.retry_policy,
        )
        host.hedges = hedging.earn_copy(
            host.hedges, admitted.service.id, host.hedge_policy
        )
        if admitted.key is not None:
            await self._look_up_key(admitted)
        queued, queue_position = admitted.queued, None
        while True:
            lease = await self._wait_for_grant(admitted, queued, queue_position)
            queue_position = lease.queue_position
            fault = await self._attempt(admitted, lease)
            if fault not in router_queues.UNCOUNTED_FAULTS:
                self._failed_servers.append(lease.grant.server_id)
            decision = self._decide_retry(
                admitted, fault, len(self._failed_servers)
            )
            if not decision.retry:
                raise dispatch.RefusedError(
                    router_queues.ERROR_KINDS[fault], decision.reason
                )
            host.metrics.count_retry(fault)
            logs.decision(
                "retried",
                decision.reason,
                **self._log_fields(),
                server=lease.grant.server_id,
            )
            queued = dataclasses.replace(
                queued, avoid=tuple(self._failed_servers)
            )

    def _decide_retry(
        self,
        admitted: keyed_requests.AdmittedRequest,
        fault: router_queues.Fault,
        attempts: int,
    ) -> router_queues.RetryDecision:
        dispatcher = self._host.dispatcher
        dispatcher.retry_budgets, decision = router_queues.decide_retry(
            dispatcher.retry_budgets,
            admitted.service.id,
            router_queues.Attempt(
                repeatable=admitted.route.idempotent and admitted.key is None,
                fault=fault,
                counted_attempts=attempts,
                answer_started=self._caller_writer is not None
                and self._caller_writer.started,
                max_attempts=admitted.route.max_tries
                or router_queues.MAX_ATTEMPTS,
            ),
            self._host.retry_policy,
        )
        return decision

    async def _wait_for_grant(
        self,
        admitted: keyed_requests.AdmittedRequest,
        queued: data.QueuedRequest,
        queue_position: int | None,
    ) -> dispatch.Lease:
        host = self._host
        if self._caller_left:
            raise dispatch.CallerGoneError
        if not host.link.alive:
            raise dispatch.RefusedError(errors.ErrorKind.CONTROL_UNAVAILABLE)
        if not self._can_be_answered():
            raise dispatch.RefusedError(errors.ErrorKind.SHUTTING_DOWN)
        if queued.target_ms:
            passed_ms = max(0, host.clock() - self._req.arrived_ms)
            queued = dataclasses.replace(queued, passed_ms=passed_ms)
        sequence, grant_deferred = host.dispatcher.queue_request(
            queued,
            admitted.deadline_ms,
            admitted.workspace.max_queue,
            queue_position,
        )
        self.waiting_sequence = sequence
        self._cancel_step = lambda: host.dispatcher.cancel_wait(
            sequence, dispatch.CallerGoneError()
        )
        try:
            logs.decision(
                "queued",
                "needs_grant",
                **self._log_fields(),
                want=sequence,
                digest=queued.digest,
            )
        except Exception:
            grant_deferred.addErrback(lambda _: None)
            self._cancel_step()
            raise
        try:
            self._lease = await grant_deferred
        finally:
            self._cancel_step = None
            self.waiting_sequence = None
        return self._lease

    async def _attempt(
        self, admitted: keyed_requests.AdmittedRequest, lease: dispatch.Lease
    ) -> router_queues.Fault:
        """Makes one attempt under a grant.

        Returns:
          How the attempt failed; the caller decides whether to retry.

        Raises:
          keyed_requests.ExchangeEndedError: The answer was written or aborted.
          RefusedError: The request ends with a refusal.
          CallerGoneError: The caller left and the request is given up.
        """
        if admitted.key is not None and not await self._claim_key(
            admitted, lease
        ):
            self._return_grant(lease)
            await self._release_key()
            return router_queues.Fault.CLAIM_LOST
        delay_ms = self._find_hedge_delay(admitted, lease)
        if delay_ms is not None:
            return await self._attempt_copies(admitted, lease, delay_ms)
        try:
            head = await self._send_request(admitted, lease)
        except forwarding.NotSentError as exc:
            self._host.dispatcher.note_server(lease.grant, exc.notice)
            self._end_lease(lease, _OUTCOME_BY_FAULT[exc.fault])
            if admitted.key is not None:
                await self._release_key()
            if self._caller_left:
                raise dispatch.CallerGoneError from None
            return exc.fault
        except forwarding.NoAnswerError as exc:
            return await self._handle_broken_attempt(admitted, lease, exc.fault)
        self._host.dispatcher.note_server(lease.grant, head.notice)
        return await self._relay_answer(admitted, lease, head)

    async def _send_request(
        self, admitted: keyed_requests.AdmittedRequest, lease: dispatch.Lease
    ) -> forwarding.AnswerHead:
        head_deferred = self._start_send(admitted, lease)
        self._cancel_step = self._abort_step = head_deferred.cancel
        try:
            return await head_deferred
        finally:
            self._cancel_step = self._abort_step = None

    def _start_send(
        self, admitted: keyed_requests.AdmittedRequest, lease: dispatch.Lease
    ) -> defer.Deferred:
        """Sends the request under a grant.

        Returns:
          A Deferred that fires with the `forwarding.AnswerHead` or fails with
          NotSentError or NoAnswerError.

        Raises:
          NotSentError: The server wants no request of this router.
        """
        host, req, keyed = self._host, self._req, admitted.key is not None
        grant_key = (lease.grant.term, lease.grant.id)
        outgoing = forwarding.OutgoingRequest(
            method=req.method,
            uri=req.uri,
            headers=host.dialect.build_server_headers(
                req.requestHeaders,
                dialects.ServerRequestInfo(
                    server_id=lease.grant.server_id,
                    address=lease.grant.address,
                    request_id=req.request_id,
                    workspace=admitted.workspace.id,
                    caller=req.getClientAddress().host,
                    left_ms=self._remaining_ms(),
                    fetch_from=lease.grant.fetch_from,
                ),
            ),
            body=admitted.body if self._has_body(admitted) else None,
            request_id=req.request_id,
            reuse_idle_s=forwarding.POOL_IDLE_TIMEOUT_S
            if admitted.route.idempotent and not keyed
            else host.settings.reuse_idle_s,
            repeatable=admitted.route.idempotent and not keyed,
            answer_timeout_s=self._answer_timeout_s(admitted),
        )
        self._require_open_server(lease)

        def may_send() -> bool:
            now_ms = host.clock()
            self._require_open_server(lease)
            if not keyed and admission.has_caller_left(req):
                self._caller_left = True
            if (
                self._caller_left
                or self._is_deadline_over(now_ms)
                or not router_queues.is_grant_valid(lease.valid_from_ms, now_ms)
            ):
                return False
            logs.decision(
                "dispatched",
                "granted",
                **self._log_fields(),
                server=lease.grant.server_id,
                version=lease.grant.version,
                grant=lease.grant.id,
                term=lease.grant.term,
            )
            self._sent_grants.add(grant_key)
            lease.sent_ms = lease.reported_ms = now_ms
            lease.meter = _create_meter(admitted, "")
            if keyed:
                # A keyed request is completed even if its caller leaves.
                self._cancel_step = None
            return True

        def note_rejection(cause: failure.Failure) -> failure.Failure:
            rejected = router_queues.Fault.REJECTED
            if getattr(cause.value, "fault", None) is rejected:
                self._sent_grants.discard(grant_key)
            return cause

        return defer.Deferred.fromCoroutine(
            host.forwarder.send(lease.grant, outgoing, may_send)
        ).addErrback(note_rejection)

    def _require_open_server(self, lease: dispatch.Lease) -> None:
        """Raises NotSentError if the server wants no request of this router."""
        bar = self._host.dispatcher.find_bar(lease.grant)
        if bar is None:
            return
        logs.decision(
            "server_barred",
            bar,
            **self._log_fields(),
            server=lease.grant.server_id,
            incarnation=lease.grant.incarnation,
            grant=lease.grant.id,
        )
        raise forwarding.NotSentError(router_queues.Fault.SERVER_BARRED)

    def _remaining_ms(self) -> int | None:
        """Returns the time until the deadline, None without a deadline."""
        if self._deadline_ms is None:
            return None
        return max(1, self._deadline_ms - self._host.clock())

    def _is_deadline_over(self, now_ms: int) -> bool:
        return self._deadline_ms is not None and now_ms >= self._deadline_ms

    def _answer_timeout_s(
        self, admitted: keyed_requests.AdmittedRequest
    ) -> float:
        left_ms = self._remaining_ms()
        # The server cannot answer a body that still waits for the link.
        limit_s = (
            admitted.service.answer_timeout_s
            + self._host.pacer.estimate_write_s(len(admitted.body))
        )
        return limit_s if left_ms is None else min(limit_s, left_ms / 1000)

    def _has_body(self, admitted: keyed_requests.AdmittedRequest) -> bool:
        headers = self._req.requestHeaders
        return bool(
            admitted.body
            or headers.hasHeader(b"Content-Length")
            or headers.hasHeader(b"Transfer-Encoding")
        )

    async def _handle_broken_attempt(
        self,
        admitted: keyed_requests.AdmittedRequest,
        lease: dispatch.Lease,
        fault: router_queues.Fault,
    ) -> router_queues.Fault:
        if self._caller_left and admitted.key is None:
            self._end_lease(lease, data.Outcome.CANCELLED)
            raise dispatch.CallerGoneError
        outcome = self._find_outcome(fault)
        self._report_crash_suspect(lease, outcome, fault)
        self._end_lease(lease, outcome)
        if admitted.key is not None:
            await self._wait_until_recorded(self._record_outcome(None))
        return fault

    def _report_crash_suspect(
        self,
        lease: dispatch.Lease,
        outcome: data.Outcome,
        fault: router_queues.Fault | None,
    ) -> None:
        """Reports an attempt whose server may have crashed."""
        if (
            outcome is data.Outcome.CONNECTION_LOST
            and fault is not router_queues.Fault.ANSWER_INVALID
        ):
            self._host.dispatcher.report_crash_suspect(lease)

    def _find_outcome(self, fault: router_queues.Fault) -> data.Outcome:
        """Returns how an attempt ended; one that a stop ended has no fault."""
        if self._terminated:
            return data.Outcome.CANCELLED
        return _OUTCOME_BY_FAULT[fault]

    # -- answer -------------------------------------------------------------

    async def _relay_answer(
        self,
        admitted: keyed_requests.AdmittedRequest,
        lease: dispatch.Lease,
        head: forwarding.AnswerHead,
    ) -> router_queues.Fault:
        host, req = self._host, self._req
        self._first_byte_ms = host.clock() - lease.sent_ms
        try:
            relay = self._start_answer(admitted, lease, head)
        except Exception:
            # Otherwise the answer would stay unread and the connection open.
            head.conn.abort()
            self._relay = None
            raise
        abort_timer = None
        if self._deadline_ms is not None:
            abort_timer = host.reactor.callLater(
                self._remaining_ms() / 1000 + ANSWER_GRACE_S,
                relay.abort,
                router_queues.Fault.TIMED_OUT,
            )
        try:
            body_end = await relay.run()
        finally:
            self._relay = None
            if abort_timer is not None and abort_timer.active():
                abort_timer.cancel()
        if not self._caller_left and req.producer:
            req.unregisterProducer()
        return await self._finish_attempt(
            admitted, lease, head, relay, body_end, self._first_byte_ms
        )

    def _report_answer_start(self, lease: dispatch.Lease) -> None:
        """Records and reports the time of the first byte of the body."""
        self._first_byte_ms = self._host.clock() - lease.sent_ms
        self._host.dispatcher.report_answer_start(lease, self._first_byte_ms)

    def _count_usage(self, status: int) -> None:
        """Counts the request once, also if a further attempt is answered."""
        if not self._is_counted:
            self._is_counted = True
            self._host.usage.count(self._workspace, status)

    def _start_answer(
        self,
        admitted: keyed_requests.AdmittedRequest,
        lease: dispatch.Lease,
        head: forwarding.AnswerHead,
    ) -> answers.BodyRelay:
        host, req, keyed = self._host, self._req, admitted.key is not None
        content_type = next(
            (
                value.decode("latin-1")
                for name, value in head.headers
                if name.lower() == b"content-type"
            ),
            "",
        )
        lease.meter = _create_meter(admitted, content_type)
        writer = self._caller_writer = answers.CallerWriter(
            req, withhold_end=keyed
        )
        if keyed:
            self._answer_reservation = host.buffers.open_reservation(
                admitted.workspace.id
            )
        relay = self._relay = answers.BodyRelay(
            host.reactor,
            head,
            writer,
            lease.meter,
            admitted.service.idle_timeout_s,
            reservation=self._answer_reservation,
            on_first_byte=lambda: self._report_answer_start(lease),
            on_begin=lambda: self._count_usage(head.status),
        )
        if self._caller_left:
            writer.detach()
        else:
            req.registerProducer(relay, True)
            self._set_own_headers(lease)
            writer.start(
                head.status,
                head.phrase,
                head.headers,
                head.length,
                head.content_length,
            )
        return relay

    async def _finish_attempt(
        self,
        admitted: keyed_requests.AdmittedRequest,
        lease: dispatch.Lease,
        head: forwarding.AnswerHead,
        relay: answers.BodyRelay,
        body_end: answers.BodyEnd,
        first_byte_ms: int,
    ) -> router_queues.Fault:
        writer = self._caller_writer
        caller_gave_up = (
            self._caller_left or relay.caller_too_slow
        ) and admitted.key is None
        if body_end.fault is None:
            outcome = (
                data.Outcome.SERVER_ERROR
                if head.status >= 500
                else data.Outcome.COMPLETED
            )
            self._host.note_answer_time(
                self._service, self._route, self._host.clock() - lease.sent_ms
            )
        elif caller_gave_up:
            outcome = data.Outcome.CANCELLED
        else:
            outcome = self._find_outcome(body_end.fault)
        self._report_crash_suspect(lease, outcome, body_end.fault)
        if outcome is data.Outcome.COMPLETED and admitted.route.idempotent:
            self._note_latency(lease, first_byte_ms)
        self._end_lease(lease, outcome, first_byte_ms, status=head.status)
        if admitted.key is not None:
            stored = (
                None
                if body_end.fault
                else relay.build_stored_answer(head.headers)
            )
            confirmed = self._record_outcome(stored)
            await self._wait_until_recorded(confirmed)
        if body_end.fault is None:
            writer.finish()
            raise keyed_requests.ExchangeEndedError
        if caller_gave_up or writer.started:
            writer.abort()
            raise keyed_requests.ExchangeEndedError
        return body_end.fault

    def _set_own_headers(self, lease: dispatch.Lease) -> None:
        headers = self._req.responseHeaders
        self._set_connection_headers()
        for name, value in self._host.dialect.build_answer_headers(
            lease.grant
        ).items():
            headers.setRawHeaders(name, [value])

    def _set_connection_headers(self) -> None:
        headers = self._req.responseHeaders
        headers.setRawHeaders(
            self._host.dialect.request_id, [self._req.request_id.encode()]
        )
        if self._host.must_close_after(self._req):
            headers.setRawHeaders(b"Connection", [b"close"])
            self._req.channel.persistent = False

    # -- completion ---------------------------------------------------------

    def _return_grant(self, lease: dispatch.Lease) -> None:
        self._end_lease(lease, data.Outcome.NOT_DISPATCHED)

    def _end_lease(
        self,
        lease: dispatch.Lease,
        outcome: data.Outcome,
        first_byte_ms: int = 0,
        status: int | None = None,
    ) -> None:
        duration_ms = (
            0 if lease.sent_ms is None else self._host.clock() - lease.sent_ms
        )
        cost = self._host.dispatcher.end_lease(
            lease, outcome, first_byte_ms, duration_ms
        )
        self._lease = None
        self._host.metrics.count_end(outcome)
        logs.decision(
            "ended",
            outcome,
            **self._log_fields(),
            server=lease.grant.server_id,
            grant=lease.grant.id,
            status=status,
            first_byte_ms=first_byte_ms,
            duration_ms=duration_ms,
            cost=cost,
        )

    def _write_refusal(self, exc: dispatch.RefusedError) -> None:
        execution = router_queues.decide_execution(
            exc.kind, self._request_sent, exc.record_unread
        )
        if self._caller_left:
            logs.decision(
                "ended", "caller_gone", **self._log_fields(), refusal=exc.kind
            )
            return
        if self._req.startedWriting:
            answers.abort_connection(self._req)
            return
        if self._req.producer:
            self._req.unregisterProducer()
        self._host.write_refusal(
            self._req,
            exc.kind,
            execution,
            exc.reason,
            retry_after_ms=exc.retry_after_ms,
            retry_is_scheduled=self._schedules_returns
            and exc.kind is errors.ErrorKind.OVERLOADED,
            **self._log_fields(),
        )

    def _handle_caller_loss(self) -> None:
        self._caller_left = True
        if self._caller_writer:
            self._caller_writer.detach()
        if self._relay:
            if self._has_no_key():
                self._relay.abort(router_queues.Fault.CONNECTION_LOST)
            else:
                self._relay.continue_without_caller()
        elif self._cancel_step:
            self._cancel_step()

    def _has_no_key(self) -> bool:
        return self._key is None

    def _clean_up(self) -> None:
        self._req.release_body()
        if self._lease is not None:
            # A lease is left here only after an unexpected exception.
            self._host.dispatcher.end_lease(
                self._lease,
                data.Outcome.CANCELLED
                if self._request_sent
                else data.Outcome.NOT_DISPATCHED,
            )
        if self._workspace:
            self._host.open_requests[self._workspace] -= 1
        if self._key is None:
            return
        unconfirmed = [
            call for call in self._unconfirmed_calls if not call.called
        ]
        if not unconfirmed:
            self._forget_key()
            return
        defer.DeferredList(unconfirmed, consumeErrors=True).addBoth(
            lambda _: self._forget_key()
        )

    def _forget_key(self) -> None:
        """Releases the key, which is recorded or was never claimed."""
        self._host.keys_in_use.pop(self._key, None)
        if self._answer_reservation:
            self._answer_reservation.release()

    def _log_fields(self) -> dict[str, Any]:
        return {
            "request_id": self._req.request_id,
            "workspace": self._workspace,
            "service": self._service,
        }


def _create_meter(
    admitted: keyed_requests.AdmittedRequest, content_type: str
) -> costs.Meter:
    engine = admitted.service.engine
    return costs.create_meter(
        admitted.service.cost_meter,
        content_type,
        costs.RequestUsage(
            admitted.queued.prompt_tokens,
            engine.tokens_per_event if engine else 1,
        ),
    )


def _unwrap_or_refuse(outcome: result.Result) -> Any:
    match outcome:
        case result.Success(value):
            return value
        case result.Failure(kind):
            raise dispatch.RefusedError(kind)
