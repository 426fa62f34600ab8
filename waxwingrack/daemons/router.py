"""Router process: takes callers' requests and forwards them under grants."""

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
from twisted.web import server

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import admission
from waxwingrack.daemons import callers_api
from waxwingrack.daemons import clocks
from waxwingrack.daemons import control_link
from waxwingrack.daemons import dialects
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import exchanges
from waxwingrack.daemons import forwarding
from waxwingrack.daemons import held_bytes
from waxwingrack.daemons import router_metrics
from waxwingrack.daemons import tls
from waxwingrack.daemons import transport
from waxwingrack.operations import router_queues
from waxwingrack.operations import routing
from waxwingrack.operations import saturation

# Interval at which a stopping router looks for the end of its requests.
STOP_CHECK_S = 0.05
# Owners of bodies beside the workspaces; no id of a workspace is like these.
UNKNOWN_OWNER = "*unknown"
ANNOUNCERS_OWNER = "*announcers"
# Time for which ended connections are given to send their last bytes.
STOP_LINGER_S = 0.2


class Router:
    """Router of one entry VM.

    Attributes:
      settings: Settings of the process.
      clock: Returns monotonic milliseconds.
      rng: Source of jitter and ids.
      dialect: Header names on the callers' and the servers' side.
      retry_policy: How many retries the router may send.
      reactor: Twisted's reactor.
      tables: Tables of the environment in force, None before the first.
      caller_limits: What callers may send, and how long they may take.
      dispatcher: Waiting requests and grants in use.
      link: Connection to the leader.
      forwarder: Connections to backend servers.
      metrics: Counters.
      keys: Digest of the request by idempotency key in use at this router.
      open_by_workspace: Number of open requests.
      held: Bytes of bodies and of answers to be recorded.
      closing: Whether new requests are refused.
      draining: Whether the router shuts down.
      load: Load of the event loop.
    """

    def __init__(
        self,
        settings: data.Settings,
        clock: Callable[[], int] = clocks.monotonic_ms,
        rng: random.Random | None = None,
        dialect: dialects.Dialect = dialects.OWN,
        build_operators: Callable[
            ["Router"], Any
        ] = callers_api.operators_resource,
    ):
        """Prepares a router; nothing is opened before `start`.

        Args:
          settings: Settings of the process.
          clock: Returns monotonic milliseconds.
          rng: Source of jitter and ids.
          dialect: Header names on the callers' and the servers' side.
          build_operators: Builds the resource of the operators' port.
        """
        self.settings = settings
        self.clock = clock
        self.rng = rng or random.Random()
        self.dialect = dialect
        self._build_operators = build_operators
        self.retry_policy = router_queues.RetryPolicy(
            settings.retry_share, settings.retry_reserve
        )
        self.tables: routing.Tables | None = None
        self.caller_limits = routing.caller_limits(settings, None)
        self.metrics = router_metrics.RouterMetrics()
        self.dispatcher = dispatch.Dispatcher(clock, self._poke)
        self.keys: dict[tuple[str, str], str] = {}
        self.open_by_workspace: collections.Counter = collections.Counter()
        self.held = held_bytes.HeldBytes(settings.max_buffered_bytes)
        self.closing = False
        self.draining = False
        self.load = saturation.Load()
        self._load_task: asyncio.Task | None = None
        self.link = control_link.ControlLink(
            settings,
            _identity(settings),
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
        """Opens the ports and starts to look for the leader.

        Raises:
          twisted.internet.error.CannotListenError: A port cannot be used.
          ValueError: The settings name no callers' port.
        """
        # Importing the reactor installs one; the program chooses it first.
        from twisted.internet import reactor

        if self.settings.callers is None:
            raise ValueError("a router needs the address of its callers' port")
        self.reactor = reactor
        logger.globalLogPublisher.addObserver(self._observe)
        self.forwarder = forwarding.Forwarder(reactor, self.dialect)
        self._site = admission.CallersSite(
            callers_api.callers_resource(self), self
        )
        operators = server.Site(self._build_operators(self))
        operators.displayTracebacks = False
        operators.log = lambda request: None
        for address, site in (
            (self.settings.callers, self._site),
            (self.settings.operators, operators),
        ):
            self._ports.append(
                reactor.listenTCP(
                    address.port, site, backlog=1024, interface=address.host
                )
            )
        self.link.start()
        self._load_task = asyncio.ensure_future(self._watch_load())
        logs.event("router_started", callers=self.callers_port)

    @property
    def callers_port(self) -> int:
        """Port that takes callers' connections."""
        return self._ports[0].getHost().port

    @property
    def operators_port(self) -> int:
        """Port of the operators."""
        return self._ports[1].getHost().port

    async def stop(self) -> None:
        """Stops without cutting a request, as far as the settings allow."""
        self.draining = True
        self._poke()
        logs.event("router_stopping", open=len(self._exchanges))
        await asyncio.sleep(self.settings.shutdown_delay_s)
        self.closing = True
        deadline_s = time.monotonic() + self.settings.shutdown_timeout_s
        while self._busy() and time.monotonic() < deadline_s:
            await asyncio.sleep(STOP_CHECK_S)
        for exchange in tuple(self._exchanges):
            exchange.cut()
        for channel in tuple(self._site.channels):
            channel.close_when_idle()
        await asyncio.sleep(STOP_LINGER_S)
        self._load_task.cancel()
        await self.link.flush()
        await self.link.stop()
        for port in self._ports:
            await _as_future(defer.maybeDeferred(port.stopListening))
        for channel in tuple(self._site.channels):
            channel.transport.abortConnection()
        await _as_future(defer.Deferred.fromCoroutine(self.forwarder.close()))
        logger.globalLogPublisher.removeObserver(self._observe)
        logs.event("router_stopped", cut=len(self._exchanges))

    def list_controllers(self, controllers: tuple[data.Peer, ...]) -> None:
        """Takes over the controllers of changed settings."""
        self.link.list_controllers(controllers)

    def _observe(self, event: dict[str, Any]) -> None:
        """Passes on failures that twisted would only print."""
        fault = event.get("log_failure")
        if fault is not None:
            self.failed("twisted_failure", fault.value)

    async def _watch_load(self) -> None:
        meter = event_loop.BusyMeter()
        while True:
            await asyncio.sleep(saturation.SAMPLE_S)
            busy = meter.read()
            before, self.load = self.load, saturation.observe(self.load, busy)
            if self.load.saturated == before.saturated:
                continue
            fields = {"busy": round(busy, 2), "open": len(self._exchanges)}
            if self.load.saturated:
                logs.event("saturated", **fields)
            else:
                logs.event("caught_up", **fields)

    def _busy(self) -> bool:
        unconfirmed = self.link.unconfirmed if self.link.alive else 0
        return bool(self._exchanges or unconfirmed)

    def unready(self) -> str:
        """Returns why the router is not ready, or an empty text."""
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

    def make_report(self, first: bool) -> messages.RouterReport:
        """Takes what is to be reported now."""
        number = self.tables.number if self.tables else 0
        report = self.dispatcher.take_report(
            first, number, self.draining, self.load.max_wants
        )
        if not first:
            return report
        return dataclasses.replace(
            report, data_centre=self.settings.data_centre
        )

    def updated(self, update: messages.ControllerUpdate) -> None:
        """Hands out the grants of the leader."""
        self.dispatcher.apply(update)

    def pushed(self, push: messages.EnvironmentPush) -> None:
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
        self.tables = routing.build(
            push.number, push.environment, push.drained, push.refused_digests
        )
        self.caller_limits = routing.caller_limits(
            self.settings, self.tables.environment
        )
        logs.event("environment_in_force", number=push.number)
        self._poke()

    def control_lost(self) -> None:
        """Refuses the waiting requests; running answers go on."""
        self.dispatcher.refuse_all(errors.ErrorKind.CONTROL_UNAVAILABLE)

    def control_found(self) -> None:
        """Logs that a leader was heard."""
        logs.event("control_found", leader=self.link.leader)

    def announce(self, announcement: data.Announcement) -> bool:
        """Forwards an announcement with the next report.

        Args:
          announcement: The checked announcement.

        Returns:
          False if no leader is connected.
        """
        if not self.link.following or not self.link.alive:
            return False
        self.dispatcher.announce(announcement)
        return True

    def _poke(self, urgent: bool = False) -> None:
        self.link.poke(urgent)

    # -- requests -----------------------------------------------------------

    def new_request_id(self) -> str:
        """Returns an id for a request whose caller gave none."""
        self._request_ids += 1
        return f"{self._request_prefix}-{self._request_ids}"

    def owner_of(self, req: admission.CallersRequest) -> str:
        """Returns for whom the body of a request is held.

        Callers without a known token share one part, backend servers that
        announce themselves another one.

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

    def begin(self, req: admission.CallersRequest) -> defer.Deferred:
        """Handles a caller's request.

        Args:
          req: The request.

        Returns:
          Fires once the request is answered or its connection has ended. The
          request itself may go on longer.
        """
        # The exchange finishes the request; the resource must not.
        answered = req.notifyFinish().addErrback(lambda _: None)
        exchange = exchanges.Exchange(self, req)
        self._exchanges.add(exchange)
        running = defer.Deferred.fromCoroutine(exchange.run())
        running.addErrback(lambda fault: self._broken(req, fault))
        running.addBoth(lambda _: self._exchanges.discard(exchange))
        return answered

    def _broken(self, req: admission.CallersRequest, fault: Any) -> None:
        self.failed("exchange_broken", fault.value)
        if req.channel and not req.finished:
            req.channel.transport.abortConnection()

    def write_refusal(
        self,
        req: admission.CallersRequest,
        kind: errors.ErrorKind,
        stated: errors.Execution,
        reason: str,
        retry_after_ms: int = 0,
        **fields: Any,
    ) -> None:
        """Answers a request with a refusal and logs it.

        Args:
          req: The request.
          kind: Error kind.
          stated: What the answer says about the execution.
          reason: Reason for the log.
          retry_after_ms: Time after which there may be room; 0 if unknown.
          **fields: Further fields of the log line.
        """
        if not req.request_id:
            req.take_request_id()
        self.metrics.refusals[kind] += 1
        fields = {"request_id": req.request_id, **fields}
        logs.decision(
            "refused", reason, refusal=kind, execution=stated, **fields
        )
        answer = errors.ANSWERS[kind]
        body = json.dumps(
            {
                "error": {
                    "kind": kind,
                    "message": answer.text,
                    "execution": stated,
                    "request_id": req.request_id,
                }
            }
        ).encode()
        req.setResponseCode(self.dialect.status(kind, stated))
        headers = http_headers.Headers(
            {
                b"Date": [http.datetimeToString()],
                b"Content-Type": [b"application/json"],
                b"Content-Length": [b"%d" % len(body)],
            }
        )
        for name, value in self.dialect.refused(req.request_id, stated).items():
            headers.setRawHeaders(name, [value])
        retry_after = errors.retry_after(
            kind,
            self.rng,
            self.dialect.fractional_retry_after,
            retry_after_ms,
        )
        if retry_after is not None:
            headers.setRawHeaders(b"Retry-After", [retry_after.encode()])
        if kind is errors.ErrorKind.UNAUTHENTICATED:
            headers.setRawHeaders(b"WWW-Authenticate", [b"Bearer"])
        if kind is errors.ErrorKind.SHUTTING_DOWN or self.closing:
            req.channel.persistent = False
        if not req.channel.persistent:
            headers.setRawHeaders(b"Connection", [b"close"])
        req.responseHeaders = headers
        req.write(body)
        req.finish()

    def failed(self, name: str, exc: BaseException) -> None:
        """Logs and counts an unexpected exception."""
        self.metrics.failures += 1
        logs.failure(name, exc)

    def render_metrics(self, accept: list[str]) -> tuple[bytes, dict]:
        """Returns body and headers of the metrics."""
        tables = self.tables
        return self.metrics.render(
            {
                "open_requests": len(self._exchanges),
                "buffered_bytes": self.held.table.total,
                "waiting_requests": len(self.dispatcher.queues.requests),
                "grants_in_use": len(self.dispatcher.leases),
                "caller_connections": len(self._site.channels),
                "environment_number": tables.number if tables else 0,
                "ready": 0 if self.unready() else 1,
                "unconfirmed_key_messages": self.link.unconfirmed,
            },
            accept,
        )


def _identity(settings: data.Settings) -> transport.Identity:
    if settings.tls is not None:
        # Files that cannot be read end the process now, not at a reconnect.
        tls.client_context(settings.tls)
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
