"""Life of one caller's request at a router.

A request is admitted, waits for a grant, is sent and answered. A request with
an idempotency key is looked up first and claimed after its grant. Each try
uses one grant; every way out of a try reports it.
"""

import dataclasses
from typing import Any

from returns import result
from twisted.internet import defer

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import logs
from waxwingrack.daemons import admission
from waxwingrack.daemons import answers
from waxwingrack.daemons import dialects
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import forwarding
from waxwingrack.daemons import held_bytes
from waxwingrack.daemons import keyed_requests
from waxwingrack.operations import costs
from waxwingrack.operations import idempotency
from waxwingrack.operations import router_queues
from waxwingrack.operations import routing

_OUTCOMES = {
    router_queues.Fault.CONNECT_FAILED: data.Outcome.CONNECT_FAILED,
    router_queues.Fault.CONNECTION_LOST: data.Outcome.CONNECTION_LOST,
    router_queues.Fault.TIMED_OUT: data.Outcome.TIMED_OUT,
    router_queues.Fault.GRANT_EXPIRED: data.Outcome.NOT_DISPATCHED,
    router_queues.Fault.CLAIM_LOST: data.Outcome.NOT_DISPATCHED,
    router_queues.Fault.REJECTED: data.Outcome.REJECTED,
}
# Time after the limit of its route at which an answer that goes on is broken
# off, in seconds. The backend server ends it at the limit by itself.
OVERRUN_S = 0.1


class Exchange(keyed_requests.KeyedRequest):
    """One request of a caller.

    Attributes:
      waiting_sequence: Sequence of its want while it waits, None otherwise.
    """

    def __init__(
        self, host: keyed_requests.Host, req: admission.CallersRequest
    ):
        self.waiting_sequence: int | None = None
        self._host = host
        self._req = req
        self._gone = False
        self._sent = False
        self._claimed = False
        self._cancel: Any = None
        self._lease: dispatch.Lease | None = None
        self._side: answers.CallerSide | None = None
        self._unconfirmed: list[defer.Deferred] = []
        self._key: tuple[str, str] | None = None
        self._workspace = ""
        self._service = ""
        self._end_ms: int | None = None
        self._first_ms = 0
        self._pump: answers.Pump | None = None
        self._kept: held_bytes.Hold | None = None
        req.body_in_use = True
        req.notifyFinish().addErrback(lambda _: self._caller_gone())

    async def run(self) -> None:
        """Handles the request to its end; raises nothing."""
        try:
            await self._run()
        except keyed_requests.EndedError:
            pass
        except dispatch.CallerGoneError:
            logs.decision("ended", "caller_gone", **self._fields())
        except dispatch.RefusedError as exc:
            self._refuse(exc)
        except Exception as exc:  # noqa: BLE001
            self._host.failed("exchange_failed", exc)
            self._settle_claim()
            self._refuse(dispatch.RefusedError(errors.ErrorKind.INTERNAL))
        finally:
            self._clean_up()

    def cut(self) -> None:
        """Ends the request at once; the router stops."""
        if self.waiting_sequence is not None:
            self._host.dispatcher.give_up(
                self.waiting_sequence,
                dispatch.RefusedError(errors.ErrorKind.SHUTTING_DOWN),
            )
        elif self._pump:
            self._pump.abort(router_queues.Fault.CONNECTION_LOST)
        elif self._cancel:
            self._cancel()

    # -- admission ----------------------------------------------------------

    def _admit(self) -> keyed_requests.Admitted:
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
            (self._header("Host") or "").lower(),
        )
        workspace = self._workspace_of(matched)
        if host.open_by_workspace[workspace.id] >= workspace.max_connections:
            raise dispatch.RefusedError(kinds.TOO_MANY_CONNECTIONS)
        self._workspace = workspace.id
        host.open_by_workspace[workspace.id] += 1
        found = routing.choose_target(host.tables, _unwrap(matched), host.rng)
        self._service = found.service.id
        if not req.request_id_valid:
            raise dispatch.RefusedError(kinds.BAD_REQUEST, "request_id")
        key = _unwrap(
            idempotency.check_key(
                self._key_header(),
                found.route.idempotent or found.route.single_attempt,
            )
        )
        body = req.content.getvalue()
        digest = routing.request_digest(
            workspace.id, method, req.uri.decode("latin-1"), body
        )
        if digest in host.tables.refused_digests:
            raise dispatch.RefusedError(kinds.REQUEST_CRASHES_SERVERS)
        if not host.link.alive:
            raise dispatch.RefusedError(
                kinds.CONTROL_UNAVAILABLE, record_unread=key is not None
            )
        facts = host.dialect.facts(
            req.requestHeaders, self._header("Content-Type") or "", body
        )
        now_ms = host.clock()
        left_ms = routing.time_left_ms(found.route, facts.left_ms)
        self._end_ms = None if left_ms is None else now_ms + left_ms
        wait_ms = round(found.service.queue_timeout_s * 1000)
        return keyed_requests.Admitted(
            workspace=workspace,
            service=found.service,
            route=found.route,
            body=body,
            want=data.QueuedRequest(
                sequence=0,
                workspace=workspace.id,
                service=found.service.id,
                route=found.route.id,
                digest=digest,
                prefix=facts.prefix,
                hint=facts.hint,
                prompt=facts.prompt,
                prompt_tokens=facts.prompt_tokens,
                output_tokens=facts.output_tokens,
                left_ms=left_ms or 0,
                target_ms=round((found.route.latency_target_s or 0) * 1000),
            ),
            key=key,
            deadline_ms=now_ms
            + (wait_ms if left_ms is None else min(wait_ms, left_ms)),
        )

    def _workspace_of(self, matched: result.Result) -> data.Workspace:
        """Finds whose request it is; a public route needs no token."""
        tables = self._host.tables
        match matched:
            case result.Success(found) if found.route.public:
                return routing.PUBLIC
        return _unwrap(routing.find_caller(tables, self._req.token_digest))

    def _header(self, name: str) -> str | None:
        values = self._req.requestHeaders.getRawHeaders(name.encode())
        return values[0].decode("latin-1") if values else None

    def _key_header(self) -> str | None:
        values = self._req.requestHeaders.getRawHeaders(b"Idempotency-Key")
        # Two keys are not one key; the comma makes the check refuse them.
        return b", ".join(values).decode("latin-1") if values else None

    # -- tries --------------------------------------------------------------

    async def _run(self) -> None:
        admitted = self._admit()
        host = self._host
        host.dispatcher.budgets = router_queues.earn_retry(
            host.dispatcher.budgets, admitted.service.id, host.retry_policy
        )
        if admitted.key is not None:
            await self._look_up(admitted)
        want, place, tries = admitted.want, None, 0
        while True:
            lease = await self._wait(admitted, want, place)
            place = lease.place
            fault = await self._try(admitted, lease)
            tries += fault not in router_queues.UNCOUNTED_FAULTS
            decision = self._decide(admitted, fault, tries)
            if not decision.retry:
                raise dispatch.RefusedError(
                    router_queues.ERROR_KINDS[fault], decision.reason
                )
            host.metrics.retried(fault)
            logs.decision(
                "retried",
                decision.reason,
                **self._fields(),
                server=lease.grant.server_id,
            )
            if fault not in router_queues.UNCOUNTED_FAULTS:
                want = dataclasses.replace(
                    want, avoid=(*want.avoid, lease.grant.server_id)
                )

    def _decide(
        self,
        admitted: keyed_requests.Admitted,
        fault: router_queues.Fault,
        tries: int,
    ) -> router_queues.RetryDecision:
        dispatcher = self._host.dispatcher
        dispatcher.budgets, decision = router_queues.decide_retry(
            dispatcher.budgets,
            admitted.service.id,
            router_queues.Attempt(
                repeatable=admitted.route.idempotent and admitted.key is None,
                fault=fault,
                counted_attempts=tries,
                answer_started=self._side is not None and self._side.started,
                max_attempts=admitted.route.max_tries
                or router_queues.MAX_ATTEMPTS,
            ),
            self._host.retry_policy,
        )
        return decision

    async def _wait(
        self,
        admitted: keyed_requests.Admitted,
        want: data.QueuedRequest,
        place: int | None,
    ) -> dispatch.Lease:
        host = self._host
        if self._gone:
            raise dispatch.CallerGoneError
        if not host.link.alive:
            raise dispatch.RefusedError(errors.ErrorKind.CONTROL_UNAVAILABLE)
        sequence, granted = host.dispatcher.wait(
            want, admitted.deadline_ms, admitted.workspace.max_queue, place
        )
        self.waiting_sequence = sequence
        self._cancel = lambda: host.dispatcher.give_up(
            sequence, dispatch.CallerGoneError()
        )
        try:
            logs.decision(
                "queued",
                "needs_grant",
                **self._fields(),
                want=sequence,
                digest=want.digest,
            )
        except Exception:
            granted.addErrback(lambda _: None)
            self._cancel()
            raise
        try:
            self._lease = await granted
        finally:
            self._cancel = None
            self.waiting_sequence = None
        return self._lease

    async def _try(
        self, admitted: keyed_requests.Admitted, lease: dispatch.Lease
    ) -> router_queues.Fault:
        """Uses one grant.

        Returns:
          How the try failed, so that the request may be tried again.

        Raises:
          keyed_requests.EndedError: The answer was written or cut.
          RefusedError: The request ends with a refusal.
          CallerGoneError: The caller left and the request does not go on.
        """
        if admitted.key is not None and not await self._claim(admitted, lease):
            self._return(lease)
            await self._release()
            return router_queues.Fault.CLAIM_LOST
        try:
            head = await self._send(admitted, lease)
        except forwarding.NotSentError as exc:
            self._end_lease(lease, _OUTCOMES[exc.fault])
            if admitted.key is not None:
                await self._release()
            if self._gone:
                raise dispatch.CallerGoneError from None
            return exc.fault
        except forwarding.BrokenError as exc:
            return await self._broken(admitted, lease, exc.fault)
        return await self._answer(admitted, lease, head)

    async def _send(
        self, admitted: keyed_requests.Admitted, lease: dispatch.Lease
    ) -> forwarding.Head:
        host, req, keyed = self._host, self._req, admitted.key is not None
        outgoing = forwarding.Outgoing(
            method=req.method,
            uri=req.uri,
            headers=host.dialect.to_server(
                req.requestHeaders,
                dialects.Dispatch(
                    server_id=lease.grant.server_id,
                    address=lease.grant.address,
                    request_id=req.request_id,
                    workspace=admitted.workspace.id,
                    caller=req.getClientAddress().host,
                    left_ms=self._left_ms(),
                    fetch_from=lease.grant.fetch_from,
                ),
            ),
            body=admitted.body if self._has_body(admitted) else None,
            request_id=req.request_id,
            reuse_idle_s=forwarding.IDLE_POOL_S
            if admitted.route.idempotent and not keyed
            else host.settings.reuse_idle_s,
            answer_timeout_s=self._answer_timeout_s(admitted),
        )
        ran_before = self._sent

        def may_send() -> bool:
            now_ms = host.clock()
            if self._gone or not router_queues.is_grant_valid(
                lease.echo_ms, now_ms
            ):
                return False
            logs.decision(
                "dispatched",
                "granted",
                **self._fields(),
                server=lease.grant.server_id,
                version=lease.grant.version,
                grant=lease.grant.id,
                term=lease.grant.term,
            )
            self._sent = True
            lease.sent_ms = lease.reported_ms = now_ms
            lease.meter = _meter(admitted, "")
            if keyed:
                # It runs to its end, whether or not its caller waits for it.
                self._cancel = None
            return True

        sending = defer.Deferred.fromCoroutine(
            host.forwarder.send(lease.grant, outgoing, may_send)
        )
        self._cancel = sending.cancel
        try:
            return await sending
        except forwarding.NotSentError as exc:
            if exc.fault is router_queues.Fault.REJECTED:
                self._sent = ran_before
            raise
        finally:
            self._cancel = None

    def _left_ms(self) -> int | None:
        """Returns the time until the answer is due, None without a limit."""
        if self._end_ms is None:
            return None
        return max(1, self._end_ms - self._host.clock())

    def _answer_timeout_s(self, admitted: keyed_requests.Admitted) -> float:
        left_ms = self._left_ms()
        limit_s = admitted.service.answer_timeout_s
        return limit_s if left_ms is None else min(limit_s, left_ms / 1000)

    def _has_body(self, admitted: keyed_requests.Admitted) -> bool:
        headers = self._req.requestHeaders
        return bool(
            admitted.body
            or headers.hasHeader(b"Content-Length")
            or headers.hasHeader(b"Transfer-Encoding")
        )

    async def _broken(
        self,
        admitted: keyed_requests.Admitted,
        lease: dispatch.Lease,
        fault: router_queues.Fault,
    ) -> router_queues.Fault:
        if self._gone and admitted.key is None:
            self._end_lease(lease, data.Outcome.CANCELLED)
            raise dispatch.CallerGoneError
        if fault is router_queues.Fault.CONNECTION_LOST:
            self._host.dispatcher.suspect(lease)
        self._end_lease(lease, _OUTCOMES[fault])
        if admitted.key is not None:
            await self._wait_recorded(self._record(None))
        return fault

    # -- answer -------------------------------------------------------------

    async def _answer(
        self,
        admitted: keyed_requests.Admitted,
        lease: dispatch.Lease,
        head: forwarding.Head,
    ) -> router_queues.Fault:
        host, req = self._host, self._req
        self._first_ms = host.clock() - lease.sent_ms
        try:
            pump = self._start_answer(admitted, lease, head)
        except Exception:
            # Nobody else would read the answer or close the connection.
            head.conn.abort()
            self._pump = None
            raise
        overrun = None
        if self._end_ms is not None:
            overrun = host.reactor.callLater(
                self._left_ms() / 1000 + OVERRUN_S,
                pump.abort,
                router_queues.Fault.TIMED_OUT,
            )
        try:
            end = await pump.run()
        finally:
            self._pump = None
            if overrun is not None and overrun.active():
                overrun.cancel()
        if not self._gone and req.producer:
            req.unregisterProducer()
        return await self._conclude(
            admitted, lease, head, pump, end, self._first_ms
        )

    def _answer_begun(self, lease: dispatch.Lease) -> None:
        """Notes the first byte of the body."""
        self._first_ms = self._host.clock() - lease.sent_ms
        self._host.dispatcher.begun(lease, self._first_ms)

    def _start_answer(
        self,
        admitted: keyed_requests.Admitted,
        lease: dispatch.Lease,
        head: forwarding.Head,
    ) -> answers.Pump:
        host, req, keyed = self._host, self._req, admitted.key is not None
        content_type = next(
            (
                value.decode("latin-1")
                for name, value in head.headers
                if name.lower() == b"content-type"
            ),
            "",
        )
        lease.meter = _meter(admitted, content_type)
        side = self._side = answers.CallerSide(req, hold_end=keyed)
        if keyed:
            self._kept = host.held.open(admitted.workspace.id)
        pump = self._pump = answers.Pump(
            host.reactor,
            head,
            side,
            lease.meter,
            admitted.service.idle_timeout_s,
            kept=self._kept,
            begun=lambda: self._answer_begun(lease),
        )
        if self._gone:
            side.detach()
        else:
            req.registerProducer(pump, True)
            self._set_own_headers(lease)
            side.start(
                head.status,
                head.phrase,
                head.headers,
                head.length,
                head.content_length,
            )
        return pump

    async def _conclude(
        self,
        admitted: keyed_requests.Admitted,
        lease: dispatch.Lease,
        head: forwarding.Head,
        pump: answers.Pump,
        end: answers.End,
        first_ms: int,
    ) -> router_queues.Fault:
        side = self._side
        if end.fault is None:
            outcome = (
                data.Outcome.SERVER_ERROR
                if head.status >= 500
                else data.Outcome.COMPLETED
            )
        elif (self._gone or pump.caller_too_slow) and admitted.key is None:
            outcome = data.Outcome.CANCELLED
        else:
            outcome = _OUTCOMES[end.fault]
        if outcome is data.Outcome.CONNECTION_LOST:
            self._host.dispatcher.suspect(lease)
        self._end_lease(lease, outcome, first_ms, status=head.status)
        if admitted.key is not None:
            kept = None if end.fault else pump.stored_answer(head.headers)
            recorded = self._record(kept)
            await self._wait_recorded(recorded)
        if end.fault is None:
            side.finish()
            raise keyed_requests.EndedError
        if outcome is data.Outcome.CANCELLED:
            side.abort()
            raise keyed_requests.EndedError
        if side.started:
            side.abort()
            raise keyed_requests.EndedError
        return end.fault

    def _set_own_headers(self, lease: dispatch.Lease) -> None:
        headers = self._req.responseHeaders
        self._set_connection_headers()
        for name, value in self._host.dialect.answered_by(lease.grant).items():
            headers.setRawHeaders(name, [value])

    def _set_connection_headers(self) -> None:
        headers = self._req.responseHeaders
        headers.setRawHeaders(
            self._host.dialect.request_id, [self._req.request_id.encode()]
        )
        if self._host.closing:
            headers.setRawHeaders(b"Connection", [b"close"])
            self._req.channel.persistent = False

    # -- ends ---------------------------------------------------------------

    def _return(self, lease: dispatch.Lease) -> None:
        self._end_lease(lease, data.Outcome.NOT_DISPATCHED)

    def _end_lease(
        self,
        lease: dispatch.Lease,
        outcome: data.Outcome,
        first_ms: int = 0,
        status: int | None = None,
    ) -> None:
        duration_ms = (
            0 if lease.sent_ms is None else self._host.clock() - lease.sent_ms
        )
        cost = self._host.dispatcher.finish(
            lease, outcome, first_ms, duration_ms
        )
        self._lease = None
        self._host.metrics.ended(outcome)
        logs.decision(
            "ended",
            outcome,
            **self._fields(),
            server=lease.grant.server_id,
            grant=lease.grant.id,
            status=status,
            first_byte_ms=first_ms,
            duration_ms=duration_ms,
            cost=cost,
        )

    def _refuse(self, exc: dispatch.RefusedError) -> None:
        stated = router_queues.decide_execution(
            exc.kind, self._sent, exc.record_unread
        )
        if self._gone:
            logs.decision(
                "ended", "caller_gone", **self._fields(), refusal=exc.kind
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
            stated,
            exc.reason,
            retry_after_ms=exc.retry_after_ms,
            **self._fields(),
        )

    def _caller_gone(self) -> None:
        self._gone = True
        if self._side:
            self._side.detach()
        if self._pump:
            if self._unkeyed():
                self._pump.abort(router_queues.Fault.CONNECTION_LOST)
            else:
                self._pump.release_caller()
        elif self._cancel:
            self._cancel()

    def _unkeyed(self) -> bool:
        return self._key is None

    def _clean_up(self) -> None:
        self._req.release_body()
        if self._lease is not None:
            # Only an unexpected exception leaves a lease behind.
            self._host.dispatcher.finish(
                self._lease,
                data.Outcome.CANCELLED
                if self._sent
                else data.Outcome.NOT_DISPATCHED,
            )
        if self._workspace:
            self._host.open_by_workspace[self._workspace] -= 1
        if self._key is None:
            return
        pending = [call for call in self._unconfirmed if not call.called]
        if not pending:
            self._end_key()
            return
        defer.DeferredList(pending, consumeErrors=True).addBoth(
            lambda _: self._end_key()
        )

    def _end_key(self) -> None:
        """Forgets the key; its outcome is recorded or was not claimed."""
        self._host.keys.pop(self._key, None)
        if self._kept:
            self._kept.release()

    def _fields(self) -> dict[str, Any]:
        return {
            "request_id": self._req.request_id,
            "workspace": self._workspace,
            "service": self._service,
        }


def _meter(admitted: keyed_requests.Admitted, content_type: str) -> costs.Meter:
    engine = admitted.service.engine
    return costs.create(
        admitted.service.cost_meter,
        content_type,
        costs.Usage(
            admitted.want.prompt_tokens,
            engine.tokens_per_event if engine else 1,
        ),
    )


def _unwrap(outcome: result.Result) -> Any:
    match outcome:
        case result.Success(value):
            return value
        case result.Failure(kind):
            raise dispatch.RefusedError(kind)
