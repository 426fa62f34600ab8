"""Stand-in backend server for the demonstration, tests and measurements.

It simulates a model engine or a plain service: batching, streams, cold starts,
a prefix cache, delayed load reports, announcements, and faults that can be
switched on at run time.
"""

import asyncio
import collections
from collections.abc import Iterator
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import secrets
import sys
import time
from typing import Any

import klein
import pydantic
import treq
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.protocols import policies
from twisted.web import client
from twisted.web import iweb
from twisted.web import server
from zope.interface import implementer

from waxwingrack.core import codec
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import event_loop

ANNOUNCE_TIMEOUT_S = 0.9
STOP_TIMEOUT_S = 5.0
HOLD_POLL_S = 0.02
FLOOD_PAUSE_S = 0.02
# Length of the start of a prompt that counts as its prefix.
PREFIX_BYTES = 256
# Exit code after an intended crash.
CRASH_EXIT_CODE = 70


@dataclasses.dataclass(frozen=True, slots=True)
class Mode:
    """Simulated faults, changed at run time through `/-/mode`.

    Attributes:
      errors: Share of requests answered with 500, from 0 to 1.
      errors_above: Number of requests in flight above which `errors` applies.
      error_path: Path prefix on which every request is answered with 500;
        empty for none.
      slow: Factor on all delays.
      crash_on: Text in a request body that makes the server crash; empty for
        none.
      stall: Whether requests are accepted and never answered.
      cut: Whether the connection is closed in the middle of an answer.
      departing: Whether the server announces its departure.
      silent: Whether the server announces nothing.
      leaving: Whether each answer says that the server leaves.
      rate_limit: Limit that each answer names, in requests per second; empty
        for none.
      busy_path: Path prefix on which requests are turned away with 503; empty
        for none.
      retry_after: `Retry-After` of these answers; empty for none.
      hold_orders: Whether orders wait, neither applied nor answered.
      lose_orders: Whether orders are dropped, as if lost on the network.
      order_flood: Bytes per second of an endless answer to order calls; 0 for a
        normal answer.
    """

    errors: float = 0.0
    errors_above: int = 0
    error_path: str = ""
    slow: float = 1.0
    crash_on: str = ""
    stall: bool = False
    cut: bool = False
    departing: bool = False
    silent: bool = False
    leaving: bool = False
    rate_limit: str = ""
    busy_path: str = ""
    retry_after: str = ""
    hold_orders: bool = False
    lose_orders: bool = False
    order_flood: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Configuration of a stand-in.

    Attributes:
      server_id: Id of the backend server.
      service: Service of the server.
      version: Version of the service.
      data_centre: Data centre of the server.
      host: Address to listen on.
      port: Port to listen on; 0 selects a free one.
      announced_port: Port to announce; None announces `port`.
      routers: Addresses of the routers' caller endpoints; announcements go to
        them in turn.
      announce_token: Bearer token of the announcements.
      announce_interval_s: Interval of the announcements.
      engine: Whether the server is a model engine or a plain service.
      slots: Announced limit of concurrent requests.
      work_ms: Duration of a plain answer.
      prefill_ms: Delay before the first token of a prompt that is not cached.
      token_ms: Time per token for a batch of one.
      token_batch_ms: Additional time per token for each other running request.
      token_bytes: Minimum size of a streamed event, in bytes.
      tokens: Tokens of an answer if the request has no `max_tokens`.
      cold_start_s: Time after a start during which the server is cold.
      cold_factor: Factor on all delays while cold.
      cold_requests: Limit of concurrent requests while cold; others are
        answered with 503.
      cache_prefixes: Capacity of the cache in prompt prefixes.
      cache_delay_s: Delay of cache events.
      cache_loss: Share of cache events that are lost, from 0 to 1.
      load_lag_s: Age of the reported load.
      checks_fencing: Whether orders with an old fencing number are refused.
      runs_file: File to which each run with an idempotency key appends a line;
        None keeps the counts in memory only.
      restart_s: Time from a crash to the restart; None for no restart.
      exit_on_crash: Whether a crash ends the process.
      seed: Seed of the random decisions.
      mode: Initial faults.
    """

    server_id: str
    service: str
    version: str = "v1"
    data_centre: str = "a"
    host: str = "127.0.0.1"
    port: int = 0
    announced_port: int | None = None
    routers: tuple[data.Address, ...] = ()
    announce_token: str = ""
    announce_interval_s: float = 1.0
    engine: bool = False
    slots: int = 8
    work_ms: float = 5.0
    prefill_ms: float = 20.0
    token_ms: float = 2.0
    token_batch_ms: float = 0.2
    token_bytes: int = 0
    tokens: int = 16
    cold_start_s: float = 0.0
    cold_factor: float = 10.0
    cold_requests: int = 1
    cache_prefixes: int = 32
    cache_delay_s: float = 1.0
    cache_loss: float = 0.1
    load_lag_s: float = 1.0
    checks_fencing: bool = True
    runs_file: str | None = None
    restart_s: float | None = 1.0
    exit_on_crash: bool = False
    seed: int = 1
    mode: Mode = Mode()


CONFIG_ADAPTER = pydantic.TypeAdapter(codec.forbid_extra(Config))
MODE_ADAPTER = pydantic.TypeAdapter(codec.forbid_extra(Mode))


class PrefixCache:
    """LRU cache of prompt prefixes whose events are delayed or lost."""

    def __init__(self, cfg: Config, rng: random.Random):
        self._cfg = cfg
        self._rng = rng
        self._prefixes: dict[str, None] = {}
        self._events: collections.deque[tuple[float, data.CacheEvent]] = (
            collections.deque()
        )
        self._sequence = 0

    def look_up_and_store(self, prefix: str) -> bool:
        """Looks up a prefix and stores it as the latest.

        Args:
          prefix: Digest of the prefix.

        Returns:
          Whether the prefix was cached.
        """
        cached = prefix in self._prefixes
        self._prefixes.pop(prefix, None)
        self._prefixes[prefix] = None
        if not cached:
            self._queue_event(prefix, True)
        if len(self._prefixes) > self._cfg.cache_prefixes:
            oldest = next(iter(self._prefixes))
            del self._prefixes[oldest]
            self._queue_event(oldest, False)
        return cached

    def take_due_events(self) -> tuple[data.CacheEvent, ...]:
        """Removes and returns the events whose delay has passed."""
        cutoff = time.monotonic() - self._cfg.cache_delay_s
        due_events = []
        while self._events and self._events[0][0] <= cutoff:
            due_events.append(self._events.popleft()[1])
        return tuple(due_events)

    def _queue_event(self, prefix: str, stored: bool) -> None:
        self._sequence += 1
        if self._rng.random() >= self._cfg.cache_loss:
            event = data.CacheEvent(self._sequence, prefix, stored)
            self._events.append((time.monotonic(), event))


class StandIn:
    """Simulated backend server.

    Attributes:
      config: Configuration.
      mode: Current faults.
      port: Port that the server listens on, set by `start`.
      incarnation: Id of this start of the server.
      runs: Number of runs by idempotency key.
      in_flight: Number of running requests.
      most_in_flight: Maximum of `in_flight` since the stand-in was created.
      overloads: Number of requests refused because the server was cold.
      served: Number of requests that the simulated service processed.
      turned_away: Number of requests that it turned away as busy.
      streamed_bytes: Bytes of streamed events.
    """

    _app = klein.Klein()

    def __init__(self, config: Config):
        self.config = config
        self.mode = config.mode
        self.port = config.port
        self.incarnation = ""
        self.runs: collections.Counter[str] = collections.Counter()
        self.in_flight = 0
        self.most_in_flight = 0
        self.overloads = 0
        self.served = 0
        self.turned_away = 0
        self.streamed_bytes = 0
        self._rng = random.Random(config.seed)
        self._pending_orders = 0
        self._most_pending_orders = 0
        self._lost_orders = 0
        # Failures with which the connections of dropped orders ended.
        self._lost_ends: list[str] = []
        self._running_floods = 0
        self._load_history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._tasks: set[asyncio.Future] = set()
        self._listening: Any = None
        self._announcing: asyncio.Future | None = None
        self._router_index = 0

    @property
    def address(self) -> data.Address:
        """Address that the server listens on."""
        return data.Address(self.config.host, self.port)

    @property
    def cold(self) -> bool:
        """Whether the server is slow and accepts only a few requests."""
        return time.monotonic() < self._cold_until

    async def start(self) -> None:
        """Starts listening and announcing, as a new incarnation.

        Raises:
          twisted.internet.error.CannotListenError: The port is in use.
        """
        from twisted.internet import reactor

        self.incarnation = secrets.token_hex(4)
        self._version = self.config.version
        self._fencing = 0
        self._orders: list[dict] = []
        self._cache = PrefixCache(self.config, self._rng)
        self.make_cold()
        self._site = policies.WrappingFactory(server.Site(self._app.resource()))
        endpoint = endpoints.TCP4ServerEndpoint(
            reactor, self.port, interface=self.config.host
        )
        self._listening = await endpoint.listen(self._site).asFuture(
            asyncio.get_running_loop()
        )
        self.port = self._listening.getHost().port
        self._announcing = asyncio.ensure_future(self._announce_periodically())

    async def stop(self) -> None:
        """Announces the departure, waits for running requests and closes."""
        self.mode = dataclasses.replace(self.mode, departing=True)
        await self.announce()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while self.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        await self.kill()

    async def kill(self) -> None:
        """Resets all connections and stops listening, without announcement."""
        if self._announcing is not None:
            self._announcing.cancel()
            self._announcing = None
        if self._listening is not None:
            listening, self._listening = self._listening, None
            for connection in tuple(self._site.protocols):
                connection.transport.abortConnection()
            await defer.maybeDeferred(listening.stopListening).asFuture(
                asyncio.get_running_loop()
            )

    def make_cold(self) -> None:
        """Makes the server cold again, without announcement."""
        self._cold_until = time.monotonic() + self.config.cold_start_s

    # Announcements

    async def _announce_periodically(self) -> None:
        while True:
            if not self.mode.silent:
                await self.announce()
            await asyncio.sleep(self.config.announce_interval_s)

    async def announce(self) -> bool:
        """Announces the server to the first router that accepts it.

        Returns:
          Whether a router accepted the announcement.
        """
        routers = self.config.routers
        body = self._make_announcement()
        for _ in routers:
            router = routers[self._router_index % len(routers)]
            self._router_index += 1
            if await self._announce_to(router, body):
                return True
        return False

    async def _announce_to(self, router: data.Address, body: dict) -> bool:
        from twisted.internet import reactor

        url = f"http://{router}/-/backend-servers/{self.config.server_id}"
        try:
            response = await treq.request(
                "PUT",
                url,
                json=body,
                headers={
                    "Authorization": f"Bearer {self.config.announce_token}"
                },
                agent=client.Agent(reactor, connectTimeout=ANNOUNCE_TIMEOUT_S),
                timeout=ANNOUNCE_TIMEOUT_S,
            ).asFuture(asyncio.get_running_loop())
        except (
            error.ConnectError,
            error.ConnectingCancelledError,
            error.ConnectionLost,
            client.ResponseFailed,
            defer.CancelledError,
        ):
            return False
        if response.code not in (204, 503):
            logs.event(
                "announcement_refused",
                router=str(router),
                status=response.code,
            )
        return response.code == 204

    def _make_announcement(self) -> dict:
        now = time.monotonic()
        self._load_history.append((now, self.in_flight))
        cutoff = now - self.config.load_lag_s
        while (
            len(self._load_history) > 1 and self._load_history[1][0] <= cutoff
        ):
            self._load_history.popleft()
        in_flight = (
            self._load_history[0][1]
            if self._load_history[0][0] <= cutoff
            else 0
        )
        if self.config.load_lag_s == 0:
            in_flight = self.in_flight
        return {
            "incarnation": self.incarnation,
            "host": self.config.host,
            "port": self.config.announced_port or self.port,
            "service": self.config.service,
            "version": self._version,
            "data_centre": self.config.data_centre,
            "slots": self.config.slots,
            "in_flight": in_flight,
            "load": min(1.0, in_flight / self.config.slots),
            "checks_fencing": self.config.checks_fencing,
            "departing": self.mode.departing,
            "cache_events": [
                dataclasses.asdict(event)
                for event in self._cache.take_due_events()
            ],
        }

    # Control of the stand-in

    @_app.route("/-/runs", methods=["GET"])
    def _get_runs(self, req: iweb.IRequest) -> bytes:
        return _json_response(
            req,
            200,
            {
                "runs": self.runs,
                "in_flight": self.in_flight,
                "most_in_flight": self.most_in_flight,
                "overloads": self.overloads,
                "served": self.served,
                "turned_away": self.turned_away,
                "streamed_bytes": self.streamed_bytes,
                "incarnation": self.incarnation,
                "cold": self.cold,
                "lost_orders": self._lost_orders,
                "lost_ends": self._lost_ends,
                "order_floods": self._running_floods,
            },
        )

    @_app.route("/-/announcement", methods=["GET"])
    def _get_announcement(self, req: iweb.IRequest) -> bytes:
        return _json_response(req, 200, self._make_announcement())

    @_app.route("/-/mode", methods=["GET"])
    def _get_mode(self, req: iweb.IRequest) -> bytes:
        return _json_response(req, 200, dataclasses.asdict(self.mode))

    @_app.route("/-/mode", methods=["PUT", "POST"])
    def _set_mode(self, req: iweb.IRequest) -> bytes:
        try:
            change = json.loads(req.content.read())
            if change.pop("cold", False):
                self.make_cold()
            self.mode = MODE_ADAPTER.validate_python(
                dataclasses.asdict(self.mode) | change
            )
        except (ValueError, AttributeError, TypeError) as exc:
            return _json_response(req, 400, {"message": str(exc)})
        if change.get("departing"):
            self._start_task(self.announce())
        return self._get_mode(req)

    @_app.route("/-/orders", methods=["GET"])
    def _get_orders(self, req: iweb.IRequest) -> Any:
        if self.mode.order_flood:
            return defer.Deferred.fromFuture(
                self._start_task(self._send_endless_answer(req))
            )
        return _json_response(req, 200, self._order_state())

    @_app.route("/-/orders", methods=["POST"])
    def _receive_order(self, req: iweb.IRequest) -> Any:
        if self.mode.lose_orders:
            self._lost_orders += 1
            req.notifyFinish().addErrback(
                lambda reason: self._lost_ends.append(reason.type.__name__)
            )
            return defer.Deferred()
        if self.mode.order_flood:
            return defer.Deferred.fromFuture(
                self._start_task(self._send_endless_answer(req))
            )
        try:
            order = json.loads(req.content.read())
            fencing, version = int(order["fencing"]), str(order["version"])
            incarnation = order.get("incarnation", self.incarnation)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            return _json_response(
                req, 400, {"message": f"malformed order: {exc!r}"}
            )
        if incarnation != self.incarnation or self._has_old_fencing(fencing):
            return _json_response(req, 409, self._order_state())
        self._fencing = max(fencing, self._fencing)
        # An order is applied even if its caller disconnects.
        task = self._start_task(
            self._apply_order(incarnation, fencing, version)
        )
        return defer.Deferred.fromFuture(
            self._start_task(self._answer_order(req, task))
        )

    async def _send_endless_answer(self, req: iweb.IRequest) -> bytes:
        flow_control, sent, start_s = _FlowControl(), 0, time.monotonic()
        req.registerProducer(flow_control, True)
        self._running_floods += 1
        try:
            while True:
                due = int(
                    self.mode.order_flood * (time.monotonic() - start_s) - sent
                )
                req.write(b" " * due)
                sent += due
                await flow_control.writable.wait()
                await asyncio.sleep(FLOOD_PAUSE_S)
        except asyncio.CancelledError:
            # After a lost connection, klein logs any exception but this one.
            raise defer.CancelledError from None
        finally:
            self._running_floods -= 1

    def _has_old_fencing(self, fencing: int) -> bool:
        return self.config.checks_fencing and fencing < self._fencing

    async def _apply_order(
        self, incarnation: str, fencing: int, version: str
    ) -> bool:
        self._pending_orders += 1
        self._most_pending_orders = max(
            self._most_pending_orders, self._pending_orders
        )
        while self.mode.hold_orders:
            await asyncio.sleep(HOLD_POLL_S)
        self._pending_orders -= 1
        if incarnation != self.incarnation or self._has_old_fencing(fencing):
            return False
        self._version = version
        self._orders.append({"fencing": fencing, "version": version})
        self._start_task(self.announce())
        return True

    async def _answer_order(
        self, req: iweb.IRequest, task: asyncio.Future
    ) -> bytes:
        try:
            applied = await asyncio.shield(task)
        except asyncio.CancelledError:
            # After a lost connection, klein logs any exception but this one.
            raise defer.CancelledError from None
        return _json_response(req, 200 if applied else 409, self._order_state())

    def _order_state(self) -> dict:
        return {
            "incarnation": self.incarnation,
            "pending": self._pending_orders,
            "most_pending": self._most_pending_orders,
            "fencing": self._fencing,
            "version": self._version,
            "orders": self._orders,
        }

    # Work

    @_app.route("/", branch=True)
    def _handle_request(self, req: iweb.IRequest) -> defer.Deferred:
        return defer.Deferred.fromFuture(self._start_task(self._serve(req)))

    def _start_task(self, coroutine: Any) -> asyncio.Future:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve(self, req: iweb.IRequest) -> bytes:
        body = req.content.read()
        if self.cold and self.in_flight >= self.config.cold_requests:
            self.overloads += 1
            return _json_response(req, 503, {"message": "overloaded"})
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            return await self._run_request(req, body)
        except asyncio.CancelledError:
            # After a lost connection, klein logs any exception but this one.
            raise defer.CancelledError from None
        finally:
            self.in_flight -= 1

    async def _run_request(self, req: iweb.IRequest, body: bytes) -> bytes:
        mode = self.mode
        if mode.leaving:
            req.setHeader("X-Server-Leaving", "1")
        if mode.rate_limit:
            req.setHeader("X-Server-Rate-Limit", mode.rate_limit)
        path = req.path.decode()
        if mode.busy_path and path.startswith(mode.busy_path):
            self.turned_away += 1
            if mode.retry_after:
                req.setHeader("Retry-After", mode.retry_after)
            return _json_response(req, 503, {"message": "busy"})
        count = self._increment_run_count(_get_header(req, "Idempotency-Key"))
        if mode.crash_on and mode.crash_on.encode() in body:
            await self._crash()
        if mode.stall:
            await asyncio.Event().wait()
        if self._should_fail(req.path.decode()):
            await self._delay(self.config.work_ms)
            return _json_response(req, 500, {"message": "failed on purpose"})
        self.served += 1
        req.setHeader("X-Stand-In", self.config.server_id)
        if self.config.engine:
            return await self._generate(req, body)
        await self._delay(self.config.work_ms)
        return await self._finish(
            req, self._make_answer(req, body) | {"run": count}
        )

    def _increment_run_count(self, key: str) -> int:
        if not key:
            return 0
        self.runs[key] += 1
        if self.config.runs_file is not None:
            with pathlib.Path(self.config.runs_file).open("a") as file:
                file.write(f"{key}\n")
        return self.runs[key]

    def _should_fail(self, path: str) -> bool:
        mode = self.mode
        if mode.error_path and path.startswith(mode.error_path):
            return True
        return (
            self.in_flight > mode.errors_above
            and self._rng.random() < mode.errors
        )

    async def _crash(self) -> None:
        logs.event("stand_in_crash", server=self.config.server_id)
        if self.config.exit_on_crash:
            os._exit(CRASH_EXIT_CODE)
        self._start_task(self._restart())
        await asyncio.Event().wait()

    async def _restart(self) -> None:
        await self.kill()
        if self.config.restart_s is not None:
            await asyncio.sleep(self.config.restart_s)
            await self.start()

    async def _delay(self, ms: float) -> None:
        factor = self.mode.slow * (self.config.cold_factor if self.cold else 1)
        await asyncio.sleep(ms * factor / 1000)

    async def _generate(self, req: iweb.IRequest, body: bytes) -> bytes:
        prompt = _parse_prompt(body)
        text = _prompt_text(prompt)
        prefix = _get_header(req, "X-Prompt-Prefix") or _digest(
            text.encode()[:PREFIX_BYTES]
        )
        if not self._cache.look_up_and_store(prefix):
            await self._delay(self.config.prefill_ms)
        count = int(prompt.get("max_tokens", self.config.tokens))
        usage = {
            "prompt_tokens": len(text.split()),
            "completion_tokens": count,
            "total_tokens": len(text.split()) + count,
        }
        # Each word contains the digest of the request body, so that a caller
        # can check that the whole answer belongs to its own request.
        words = (f"{_digest(body)[:8]}-{number} " for number in range(count))
        if prompt.get("stream"):
            return await self._stream(req, words, usage)
        answer = "".join([word async for word in self._pace_words(words)])
        return await self._finish(
            req,
            self._make_answer(req, body)
            | {
                "choices": [{"index": 0, "message": {"content": answer}}],
                "usage": usage,
            },
        )

    async def _pace_words(self, words: Iterator[str]) -> Any:
        for word in words:
            batch = max(0, self.in_flight - 1)
            await self._delay(
                self.config.token_ms + batch * self.config.token_batch_ms
            )
            yield word

    async def _stream(
        self, req: iweb.IRequest, words: Iterator[str], usage: dict
    ) -> bytes:
        req.setHeader("Content-Type", "text/event-stream")
        request_id = _get_header(req, "X-Request-Id")
        half = usage["completion_tokens"] // 2
        sent, flow_control = 0, _FlowControl()
        req.registerProducer(flow_control, True)
        async for word in self._pace_words(words):
            if self.mode.cut and sent >= half:
                return await self._close_connection(req)
            choice = {"index": 0, "delta": {"content": word}}
            event = _encode_event({"id": request_id, "choices": [choice]})
            req.write(event)
            # A comment line of the event stream pads the event to its size.
            padding = self.config.token_bytes - len(event)
            if padding > 0:
                req.write(b":" + b"x" * padding + b"\n\n")
            sent += 1
            self.streamed_bytes += len(event) + max(0, padding)
            await flow_control.writable.wait()
        req.unregisterProducer()
        req.write(
            _encode_event({"id": request_id, "choices": [], "usage": usage})
        )
        req.write(b"data: [DONE]\n\n")
        return b""

    def _make_answer(self, req: iweb.IRequest, body: bytes) -> dict:
        return {
            "server": self.config.server_id,
            "version": self._version,
            "data_centre": self.config.data_centre,
            "method": req.method.decode(),
            "path": req.path.decode(),
            "request_id": _get_header(req, "X-Request-Id"),
            "workspace": _get_header(req, "X-Workspace"),
            "body_digest": _digest(body),
        }

    async def _finish(self, req: iweb.IRequest, answer: dict) -> bytes:
        blob = _json_response(req, 200, answer)
        if not self.mode.cut:
            return blob
        req.setHeader("Content-Length", str(len(blob)))
        req.write(blob[: len(blob) // 2])
        return await self._close_connection(req)

    async def _close_connection(self, req: iweb.IRequest) -> bytes:
        req.channel.loseConnection()
        await asyncio.Event().wait()
        return b""


@implementer(interfaces.IPushProducer)
class _FlowControl:
    """Pauses a stream while the send buffer of its connection is full.

    Attributes:
      writable: Set while the connection accepts data.
    """

    def __init__(self) -> None:
        self.writable = asyncio.Event()
        self.writable.set()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pauses the stream."""
        self.writable.clear()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resumes the stream."""
        self.writable.set()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; the request is cancelled when its connection ends."""


def _json_response(req: iweb.IRequest, status: int, value: Any) -> bytes:
    req.setResponseCode(status)
    req.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode()


def _encode_event(value: Any) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _get_header(req: iweb.IRequest, name: str) -> str:
    return req.getHeader(name) or ""


def _digest(blob: bytes) -> str:
    return hashlib.sha256(blob).hexdigest()


def _parse_prompt(body: bytes) -> dict:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _prompt_text(prompt: dict) -> str:
    messages = prompt.get("messages") or [{}]
    return str(prompt.get("prompt") or messages[0].get("content", ""))


async def _main(config: Config) -> None:
    stand_in = StandIn(config)
    await stand_in.start()
    print(
        json.dumps(
            {
                "server_id": config.server_id,
                "host": config.host,
                "port": stand_in.port,
            }
        ),
        flush=True,
    )
    await event_loop.make_stop_event().wait()
    await stand_in.stop()


def main(config_json: str) -> int:
    """Runs a stand-in as a process until SIGTERM or SIGINT.

    Args:
      config_json: Configuration as JSON.

    Returns:
      Exit code: 0, or 2 if the configuration is invalid.
    """
    try:
        config = CONFIG_ADAPTER.validate_json(config_json)
    except pydantic.ValidationError as exc:
        print(exc, file=sys.stderr)
        return 2
    logs.configure(config.server_id)
    event_loop.run(_main(config))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
