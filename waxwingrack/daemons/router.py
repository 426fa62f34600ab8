"""Router process: accepts callers' requests and forwards them under grants."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import json
import logging
import random
import time
from typing import Any
import uuid

from returns import result
from twisted import logger
from twisted.internet import defer
from twisted.web import http
from twisted.web import http_headers

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import admission
from waxwingrack.daemons import body_limits
from waxwingrack.daemons import buffer_reservations
from waxwingrack.daemons import callers_api
from waxwingrack.daemons import clocks
from waxwingrack.daemons import control_link
from waxwingrack.daemons import dialects
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import exchanges
from waxwingrack.daemons import forwarding
from waxwingrack.daemons import link_pacer
from waxwingrack.daemons import listening
from waxwingrack.daemons import router_metrics
from waxwingrack.daemons import router_resources
from waxwingrack.daemons import tls
from waxwingrack.daemons import transport
from waxwingrack.daemons import usage_counter
from waxwingrack.operations import hedging
from waxwingrack.operations import local_waits
from waxwingrack.operations import router_queues
from waxwingrack.operations import routing
from waxwingrack.operations import saturation
from waxwingrack.operations import shedding
from waxwingrack.operations import stopping

# Interval at which a stopping router checks whether its requests have ended.
STOP_CHECK_S = 0.05
# Owners of request bodies besides the workspaces; no workspace id looks like
# these.
UNKNOWN_OWNER = "*unknown"
ANNOUNCERS_OWNER = "*announcers"
# Time given to the last connections to bring their requests and to take the
# answers: at least, and at most if the time for running requests is not over.
MIN_STOP_LINGER_S = 0.5
MAX_STOP_LINGER_S = 3.0
# Refusals after which the connection is closed: other routers may serve.
_CLOSING_KINDS = frozenset(
    (
        errors.ErrorKind.SHUTTING_DOWN,
        errors.ErrorKind.CONTROL_UNAVAILABLE,
        errors.ErrorKind.ROUTER_SATURATED,
    )
)


class Router:
    """Router of one entry VM.

    Attributes:
      settings: Settings of the process.
      clock: Returns monotonic milliseconds.
      rng: Source of random numbers.
      dialect: Header names towards callers and backend servers.
      retry_policy: Limits on the retries that the router may send.
      hedge_policy: Limits on the second copies that it may send.
      hedges: Latencies and budgets of second copies.
      reactor: Twisted's reactor.
      tables: Tables of the environment in force, None before the first.
      caller_limits: Limits of size and time for callers.
      dispatcher: Waiting requests and grants in use.
      link: Connection to the leader.
      forwarder: Connections to backend servers.
      metrics: Counters.
      keys_in_use: Digests of the requests with an idempotency key that this
        router is handling, by workspace and key.
      open_requests: Number of open requests by workspace.
      buffers: Buffer bytes of request bodies and of answers to be recorded.
      closing: Whether new requests are refused.
      draining: Whether the router shuts down.
      answer_times: Times of the answers by service and route.
      load: Load of the busiest resource.
      pacer: Paces the bytes on the network link.
      usage: Usage of the workspaces.
    """

    def __init__(
        self,
        settings: data.Settings,
        clock: Callable[[], int] = clocks.monotonic_ms,
        rng: random.Random | None = None,
        dialect: dialects.Dialect = dialects.OWN,
        build_operators_resource: Callable[
            ["Router"], Any
        ] = callers_api.operators_resource,
    ):
        """Prepares a router; nothing is opened before `start`.

        Args:
          settings: Settings of the process.
          clock: Returns monotonic milliseconds.
          rng: Source of random numbers.
          dialect: Header names towards callers and backend servers.
          build_operators_resource: Builds the resource of the operators' port.
        """
        self.settings = settings
        self.clock = clock
        self.rng = rng or random.Random()
        self.dialect = dialect
        self._build_operators_resource = build_operators_resource
        self.retry_policy = router_queues.RetryPolicy(
            settings.retry_share, settings.retry_reserve
        )
        self.hedge_policy = hedging.Policy(
            settings.hedge_share, settings.hedge_needs_slowness
        )
        self.hedges = hedging.Hedges()
        self.tables: routing.RoutingTables | None = None
        self.caller_limits = routing.resolve_caller_limits(settings, None)
        self.metrics = router_metrics.RouterMetrics()
        self.dispatcher = dispatch.Dispatcher(clock, self._schedule_report)
        self.keys_in_use: dict[tuple[str, str], str] = {}
        self.open_requests: collections.Counter = collections.Counter()
        self.buffers = buffer_reservations.BufferReservations(
            settings.max_buffered_bytes
        )
        self.closing = False
        self.draining = False
        # Time on the clock at which a stop cuts off running requests; None
        # without a stop.
        self._cut_ms: int | None = None
        self.answer_times: dict[tuple[str, str], stopping.AnswerTimes] = {}
        self.load = saturation.RouterLoad()
        self.usage = usage_counter.UsageCounter(settings.duties, clock)
        self._load_task: asyncio.Task | None = None
        self._resources = router_resources.ResourceMeter(settings)
        self._use = saturation.ResourceUse()
        # Connections that callers had opened by the last sample.
        self._accepted = 0
        self._shedding = shedding.Shedding()
        self._grant_rate = local_waits.GrantRate()
        # Connections that got an answer since the last sample of the load.
        self._answered_channels: set[Any] = set()
        self.link = control_link.ControlLink(
            settings,
            _create_identity(settings),
            self,
            clock,
            self.rng,
            self.metrics.counts,
        )
        self._exchanges: set[exchanges.Exchange] = set()
        self._ports: list[Any] = []
        self._request_ids = 0
        self._request_prefix = uuid.uuid4().hex[:16]

    # -- life cycle ---------------------------------------------------------

    async def start(self) -> None:
        """Opens the ports and starts to search for the leader.

        Raises:
          twisted.internet.error.CannotListenError: A port cannot be used.
          ValueError: The settings name no callers' port.
        """
        # Importing this module installs a default reactor unless the program
        # has installed one before.
        from twisted.internet import reactor

        if self.settings.callers is None:
            raise ValueError("a router needs the address of its callers' port")
        self.reactor = reactor
        logger.globalLogPublisher.addObserver(self._observe_log_event)
        self.pacer = link_pacer.LinkPacer(reactor, self.settings.link_mbps)
        self.forwarder = forwarding.Forwarder(
            reactor,
            self.dialect,
            self._count_answer,
            self.pacer.make_producer,
            router_resources.find_descriptor_limit(
                self.settings.max_descriptors
            ),
            self.metrics.server_connections,
        )
        self._site = admission.CallersSite(
            callers_api.callers_resource(self), self
        )
        operators = body_limits.build_site(self._build_operators_resource(self))
        self._ports.append(
            listening.listen(reactor, self.settings.callers, self._site)
        )
        self._ports.append(
            reactor.listenTCP(
                self.settings.operators.port,
                operators,
                backlog=listening.BACKLOG,
                interface=self.settings.operators.host,
            )
        )
        self.link.start()
        self._load_task = asyncio.ensure_future(self._watch_load())
        self._load_task.add_done_callback(self._note_load_task_end)
        logs.event("router_started", callers=self.callers_port)

    @property
    def callers_port(self) -> int:
        """Port of the callers."""
        return self._ports[0].getHost().port

    @property
    def operators_port(self) -> int:
        """Port of the operators."""
        return self._ports[1].getHost().port

    async def stop(self) -> None:
        """Stops once all requests have ended, or after the shutdown timeout."""
        self.draining = True
        closing_s = time.monotonic() + self.settings.shutdown_delay_s
        deadline_s = closing_s + self.settings.shutdown_timeout_s
        self._cut_ms = self.clock() + round(
            1000 * (deadline_s - time.monotonic())
        )
        self._schedule_report()
        logs.event("router_stopping", open=len(self._exchanges))
        while time.monotonic() < closing_s:
            await self._pause_in_stop(closing_s)
        self.closing = True
        while self._has_open_work() and time.monotonic() < deadline_s:
            await self._pause_in_stop(deadline_s)
        for exchange in tuple(self._exchanges):
            exchange.terminate()
        await self._close_callers_port(deadline_s)
        self._load_task.cancel()
        await self.link.flush()
        await self.link.stop()
        for port in self._ports:
            await _as_future(defer.maybeDeferred(port.stopListening))
        for channel in tuple(self._site.channels):
            channel.transport.abortConnection()
        await _as_future(defer.Deferred.fromCoroutine(self.forwarder.close()))
        logger.globalLogPublisher.removeObserver(self._observe_log_event)
        logs.event("router_stopped", cut=len(self._exchanges))

    async def _pause_in_stop(self, end_s: float) -> None:
        """Refuses what waits too long, then pauses until the next check."""
        for exchange in tuple(self._exchanges):
            exchange.refuse_if_late()
        await asyncio.sleep(
            max(0.0, min(STOP_CHECK_S, end_s - time.monotonic()))
        )

    async def _close_callers_port(self, stop_deadline_s: float) -> None:
        """Closes the callers' port and answers what has reached it.

        Requests on the connections that it accepts last are refused as they
        arrive.

        Args:
          stop_deadline_s: Time at which the time for running requests ends.
        """
        await listening.close_port(self._ports.pop(0))
        logs.event("callers_port_closed", connections=len(self._site.channels))
        now_s = time.monotonic()
        deadline_s = max(
            now_s + MIN_STOP_LINGER_S,
            min(now_s + MAX_STOP_LINGER_S, stop_deadline_s),
        )
        while self._site.channels and time.monotonic() < deadline_s:
            for channel in tuple(self._site.channels):
                channel.close_when_idle()
            await asyncio.sleep(STOP_CHECK_S)

    def list_controllers(self, controllers: tuple[data.Peer, ...]) -> None:
        """Applies the list of controllers of changed settings."""
        self.link.list_controllers(controllers)

    def _observe_log_event(self, event: dict[str, Any]) -> None:
        """Records failures that Twisted would only print."""
        error = event.get("log_failure")
        if error is not None:
            self.record_failure("twisted_failure", error.value)

    async def _watch_load(self) -> None:
        while True:
            await asyncio.sleep(saturation.SAMPLE_S)
            self._use, elapsed_s = self._resources.sample(
                self.buffers.table.total
                + router_resources.count_unsent_bytes(self._site.channels)
            )
            self._apply_load_sample(self._use, elapsed_s)

    def _note_load_task_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.record_failure("load_watch_failed", task.exception())

    def _apply_load_sample(
        self, use: saturation.ResourceUse, elapsed_s: float
    ) -> None:
        was_saturated, was_alone = self.load.saturated, self._shedding.is_alone
        self.load = saturation.add_sample(self.load, use.highest)
        self._grant_rate = local_waits.add_sample(
            self._grant_rate,
            self.dispatcher.take_grant_count(),
            elapsed_s,
            self.dispatcher.take_backlogged(),
        )
        active = len(self._answered_channels)
        self._answered_channels.clear()
        arrivals = self._site.accepted - self._accepted
        self._accepted = self._site.accepted
        self._shedding = shedding.add_credit(
            shedding.note_arrivals(self._shedding, arrivals, elapsed_s),
            use.highest,
            active,
            elapsed_s,
        )
        if self._shedding.is_alone and not was_alone:
            logs.event("no_other_router", connections=len(self._site.channels))
        if self.load.saturated == was_saturated:
            return
        fields = {
            "busy": round(use.loop, 2),
            "link": round(use.link, 2),
            "processor": round(use.processor, 2),
            "memory": round(use.memory, 2),
            "descriptors": round(use.descriptors, 2),
            "busiest": use.busiest,
            "relapses": self.load.relapses,
            "open": len(self._exchanges),
            "connections": len(self._site.channels),
            "shed": self.metrics.connections_shed,
        }
        if self.load.saturated:
            logs.event("saturated", **fields)
        else:
            logs.event("caught_up", **fields)

    def count_received(self, transport: Any, size: int) -> None:
        """Counts and paces received bytes of requests.

        Args:
          transport: Connection of the caller.
          size: Number of bytes.
        """
        self._resources.count_relayed(size)
        self.pacer.count_read(transport, size, relayed_at_once=False)

    def _count_answer(self, transport: Any, size: int) -> None:
        self._resources.count_relayed(size)
        self.pacer.count_read(transport, size, relayed_at_once=True)

    def note_readiness_check(self) -> None:
        """Records a readiness check of a load balancer."""
        self._shedding = shedding.note_check(
            self._shedding, self.load.saturated
        )

    def find_local_wait(
        self, workspace: str, target_ms: int, waited_ms: float = 0.0
    ) -> float | None:
        """Returns the wait for a grant if it is too long for a request.

        Args:
          workspace: Workspace of the request.
          target_ms: Latency target of the request; 0 if it has none.
          waited_ms: Time for which it waited before it was read.

        Returns:
          The estimated wait in milliseconds; None if the request should wait.
        """
        # Before new connections go elsewhere, a retry would come back here.
        if not (self.load.saturated and self._shedding.is_rerouted):
            return None
        wait_ms = waited_ms + local_waits.estimate_wait_ms(
            self.dispatcher.queues, workspace, self._grant_rate
        )
        is_too_long = local_waits.is_wait_too_long(
            wait_ms, target_ms, self._shedding.is_alone
        )
        return wait_ms if is_too_long else None

    def find_local_retry_ms(self, backlog_ms: float) -> int:
        """Returns when a caller that was refused here should come back.

        Args:
          backlog_ms: Time until the backlog of this router has drained.
        """
        return local_waits.find_retry_ms(backlog_ms, self._shedding.is_alone)

    def can_answer_in_time(
        self, service: str, route: str, left_ms: int | None
    ) -> bool:
        """Tells whether a stop leaves the time to answer a request.

        Args:
          service: Id of its service.
          route: Id of its route.
          left_ms: Time until its deadline; None if it has none.
        """
        if self._cut_ms is None:
            return True
        return stopping.can_answer_in_time(
            self._cut_ms - self.clock(),
            left_ms,
            self.answer_times.get((service, route)),
        )

    def note_answer_time(
        self, service: str, route: str, time_ms: float
    ) -> None:
        """Records how long the answer to a request took."""
        key = (service, route)
        self.answer_times[key] = stopping.add_answer_time(
            self.answer_times.get(key), time_ms
        )

    def must_close_after(self, req: admission.CallersRequest) -> bool:
        """Decides whether to close a connection after the answer on it.

        Args:
          req: Request whose answer begins.
        """
        if self.closing:
            return True
        self._answered_channels.add(req.channel)
        self._shedding, is_shed = shedding.take_connection(self._shedding)
        self.metrics.connections_shed += is_shed
        return is_shed

    def _has_open_work(self) -> bool:
        unconfirmed = self.link.unconfirmed_count if self.link.alive else 0
        return bool(self._exchanges or unconfirmed)

    def not_ready_reason(self) -> str:
        """Returns why the router is not ready; empty if it is ready."""
        if self.draining:
            return errors.ErrorKind.SHUTTING_DOWN
        if self.tables is None:
            return errors.ErrorKind.NOT_READY
        if not self.link.alive:
            return errors.ErrorKind.CONTROL_UNAVAILABLE
        if (
            self.settings.data_centre in self.tables.drained
            and not self.settings.ready_when_drained
        ):
            return "data_centre_drained"
        if self.load.saturated:
            return "saturated"
        return ""

    # -- control ------------------------------------------------------------

    def build_report(self, first: bool) -> messages.RouterReport:
        """Builds the next report to the leader."""
        environment_number = self.tables.number if self.tables else 0
        report = self.dispatcher.take_report(
            first,
            environment_number,
            self.draining,
            self.load.max_reported_requests,
        )
        usage = self.usage.take_report(first, urgent=self.closing)
        if usage:
            report = dataclasses.replace(report, usage=usage)
        if not first:
            return report
        return dataclasses.replace(
            report, data_centre=self.settings.data_centre
        )

    def handle_update(self, update: messages.ControllerUpdate) -> None:
        """Passes the leader's grants to waiting requests."""
        for server in update.ended:
            self.forwarder.end_server(server)
        self.dispatcher.apply_update(update)

    def handle_environment(self, push: messages.EnvironmentPush) -> None:
        """Puts an environment in force unless it is older."""
        current = self.tables.number if self.tables else 0
        if push.number <= current:
            if push.number < current:
                logs.event(
                    "environment_ignored",
                    logging.WARNING,
                    number=push.number,
                    current=current,
                )
            return
        known_drained = self.tables.drained if self.tables else ()
        if not set(push.drained) <= set(known_drained):
            # Grants don't say in which data centre a server is.
            self.forwarder.discard_idle("data_centre_drained")
        self.tables = routing.build_tables(
            push.number,
            push.environment,
            push.drained,
            push.refused_digests,
            self.dialect.path_matching,
        )
        self.caller_limits = routing.resolve_caller_limits(
            self.settings, self.tables.environment
        )
        # The times of dropped routes would add up over many environments.
        routes = {
            (target.service, route.id)
            for service in push.environment.services
            for route in service.routes
            for target in route.targets or (data.Target(service.id, 1.0),)
        }
        self.answer_times = {
            key: times
            for key, times in self.answer_times.items()
            if key in routes
        }
        logs.event("environment_in_force", number=push.number)
        self._schedule_report()

    def handle_control_lost(self) -> None:
        """Refuses the waiting requests; running answers continue."""
        self.dispatcher.refuse_waiting_requests(
            errors.ErrorKind.CONTROL_UNAVAILABLE
        )

    def handle_control_found(self) -> None:
        """Logs that a leader answers again."""
        logs.event("control_found", leader=self.link.leader)

    def forward_announcement(self, announcement: data.Announcement) -> bool:
        """Forwards an announcement with the next report.

        Args:
          announcement: The checked announcement.

        Returns:
          False if no leader is connected.
        """
        if not self.link.following or not self.link.alive:
            return False
        self.dispatcher.queue_announcement(announcement)
        return True

    def _schedule_report(self, urgent: bool = False) -> None:
        self.link.schedule_report(urgent)

    # -- requests -----------------------------------------------------------

    def new_request_id(self) -> str:
        """Returns an id for a request whose caller sent none."""
        self._request_ids += 1
        return f"{self._request_prefix}-{self._request_ids}"

    def find_buffer_owner(self, req: admission.CallersRequest) -> str:
        """Returns the owner to whom the body of a request is charged.

        Callers without a known token share one owner, and backend servers that
        announce themselves share another one.

        Args:
          req: Request whose headers have been received.
        """
        if self.tables is None:
            return UNKNOWN_OWNER
        if req.token_digest in self.tables.announcers:
            return ANNOUNCERS_OWNER
        match routing.find_caller(self.tables, req.token_digest):
            case result.Success(workspace):
                return workspace.id
        return UNKNOWN_OWNER

    def handle_request(self, req: admission.CallersRequest) -> defer.Deferred:
        """Handles a caller's request.

        Args:
          req: The request.

        Returns:
          Deferred that fires once the request is answered or its connection has
          ended. The exchange itself may take longer.
        """
        # The exchange finishes the request, so klein gets a Deferred that only
        # fires afterwards.
        request_finished = req.notifyFinish().addErrback(lambda _: None)
        exchange = exchanges.Exchange(self, req)
        self._exchanges.add(exchange)
        exchange_deferred = defer.Deferred.fromCoroutine(exchange.run())
        exchange_deferred.addErrback(
            lambda error: self._abort_broken_exchange(req, error)
        )
        exchange_deferred.addBoth(lambda _: self._exchanges.discard(exchange))
        return request_finished

    def _abort_broken_exchange(
        self, req: admission.CallersRequest, error: Any
    ) -> None:
        self.record_failure("exchange_broken", error.value)
        if req.channel and not req.finished:
            req.channel.transport.abortConnection()

    def write_refusal(
        self,
        req: admission.CallersRequest,
        kind: errors.ErrorKind,
        execution: errors.Execution,
        reason: str,
        retry_after_ms: int = 0,
        retry_is_scheduled: bool = False,
        **fields: Any,
    ) -> None:
        """Answers a request with a refusal and logs it.

        Args:
          req: The request.
          kind: Error kind.
          execution: What the answer states about the execution.
          reason: Reason for the log.
          retry_after_ms: Time after which a retry may succeed; 0 if unknown.
          retry_is_scheduled: Whether that time is a place in a schedule.
          **fields: Further fields of the log line.
        """
        if not req.request_id:
            req.assign_request_id()
        self.metrics.refusals[kind] += 1
        fields = {"request_id": req.request_id, **fields}
        logs.decision(
            "refused", reason, refusal=kind, execution=execution, **fields
        )
        template = errors.ANSWERS[kind]
        body = json.dumps(
            {
                "error": {
                    "kind": kind,
                    "message": template.text,
                    "execution": execution,
                    "request_id": req.request_id,
                }
            }
        ).encode()
        req.setResponseCode(self.dialect.refusal_status(kind, execution))
        headers = http_headers.Headers(
            {
                b"Date": [http.datetimeToString()],
                b"Content-Type": [b"application/json"],
                b"Content-Length": [b"%d" % len(body)],
            }
        )
        for name, value in self.dialect.build_refusal_headers(
            req.request_id, execution
        ).items():
            headers.setRawHeaders(name, [value])
        retry_after = errors.compute_retry_after(
            kind,
            self.rng,
            self.dialect.fractional_retry_after,
            retry_after_ms,
            retry_is_scheduled,
        )
        if retry_after is not None:
            headers.setRawHeaders(b"Retry-After", [retry_after.encode()])
        if kind is errors.ErrorKind.UNAUTHENTICATED:
            headers.setRawHeaders(b"WWW-Authenticate", [b"Bearer"])
        if kind in _CLOSING_KINDS or self.must_close_after(req):
            req.channel.persistent = False
        if not req.channel.persistent:
            headers.setRawHeaders(b"Connection", [b"close"])
        req.responseHeaders = headers
        req.write(body)
        req.finish()

    def record_failure(self, name: str, exc: BaseException) -> None:
        """Logs and counts an unexpected exception."""
        self.metrics.failures += 1
        logs.failure(name, exc)

    def render_metrics(self, accept: list[str]) -> tuple[bytes, dict]:
        """Returns body and headers of the metrics."""
        tables = self.tables
        return self.metrics.render(
            {
                "open_requests": len(self._exchanges),
                "buffered_bytes": self.buffers.table.total,
                "costly_connections": event_loop.count_costly(self.reactor),
                "waiting_requests": len(self.dispatcher.queues.requests),
                "grants_in_use": len(self.dispatcher.leases),
                "caller_connections": len(self._site.channels),
                "idle_server_connections": self.forwarder.idle_count,
                "environment_number": tables.number if tables else 0,
                "ready": 0 if self.not_ready_reason() else 1,
                "unconfirmed_key_messages": self.link.unconfirmed_count,
                "loop_use": self._use.loop,
                "link_use": self._use.link,
                "processor_use": self._use.processor,
                "memory_use": self._use.memory,
                "descriptor_use": self._use.descriptors,
                "paced_reads": self.pacer.held_reads,
                "alone": int(self._shedding.is_alone),
            },
            accept,
        )


def _create_identity(settings: data.Settings) -> transport.Identity:
    if settings.tls is not None:
        # Unreadable files must end the process now and not at a reconnect.
        tls.make_client_context(settings.tls)
    return transport.Identity(
        role=data.Role.ROUTER,
        node_id=settings.node_id,
        incarnation=uuid.uuid4().hex,
        shared_key=transport.read_secret(settings.shared_key_file),
        tls=settings.tls,
        plaintext=settings.plaintext,
    )


def _as_future(deferred: defer.Deferred) -> asyncio.Future:
    return deferred.asFuture(asyncio.get_running_loop())
