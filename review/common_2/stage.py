"""Stage for the cases of the second review.

It starts the processes of the deploy file on loopback addresses and plays the
callers, the workers and the operator around them, with the standard library
only. All of them behave as the users' pages say unless a case changes it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import gc
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Time after which a whole case gives up, in seconds.
MAX_CASE_S = 112.0
# Time after which it ends even if its loop doesn't, in seconds.
ALARM_S = 118
HEARTBEAT_S = 1.2
ZONES = {"zone-a": "region", "zone-b": "region", "zone-c": "region"}
HOST = "front.example"
KEY = "key-of-the-tenant"
TENANT = "tenant"
FRONT_PORT, READY_PORT, CONTROL_PORT = 8783, 8780, 8785
INTERNAL_PORTS = [7400, 7415]


class CannotRunError(Exception):
    """The case could not be brought to its disruption."""


def with_trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got for a request.

    Attributes:
      status: Status; 0 without an answer.
      headers: Headers by lower-case name.
      body: Body without its framing.
      complete: Whether the answer ended as its framing says.
      raw: All bytes as they arrived.
      error: How the connection ended if there is no whole answer.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    raw: bytes = b""
    error: str = ""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def note(self, text: str) -> None:
        """Writes a line with the time since the start."""
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


async def read_answer(
    reader: asyncio.StreamReader, method: str = "GET"
) -> Answer:
    """Reads one answer as a strict HTTP/1.1 client does.

    Args:
      reader: Where it arrives.
      method: Method of the request.
    """
    answer = Answer()

    async def take(reading: Awaitable[bytes]) -> bytes:
        chunk = await reading
        answer.raw += chunk
        return chunk

    try:
        while True:
            line = await take(reader.readuntil(b"\r\n"))
            answer.status = int(line.split(b" ", 2)[1])
            answer.headers = {}
            while (line := await take(reader.readuntil(b"\r\n"))) != b"\r\n":
                name, _, value = line.decode("latin-1").partition(":")
                answer.headers[name.strip().lower()] = value.strip()
            if answer.status >= 200:
                break
        has_no_body = method == "HEAD" or answer.status in (204, 304)
        if has_no_body:
            pass
        elif "chunked" in answer.headers.get("transfer-encoding", "").lower():
            while size := int(await take(reader.readuntil(b"\r\n")), 16):
                answer.body += await take(reader.readexactly(size))
                await take(reader.readexactly(2))
            await take(reader.readuntil(b"\r\n"))
        elif "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            answer.body = await take(reader.readexactly(size))
        else:
            answer.body = await take(reader.read(-1))
        answer.complete = True
    except asyncio.IncompleteReadError as exc:
        answer.raw += exc.partial
        answer.error = "closed"
    except (OSError, ValueError, IndexError) as exc:
        answer.error = f"{type(exc).__name__}: {exc}"
    return answer


def build_request(
    path: str,
    request_id: str,
    method: str = "GET",
    body: bytes | None = None,
    **headers: str,
) -> bytes:
    """Builds a proper request of a caller.

    Args:
      path: Path.
      request_id: Its id.
      method: Method.
      body: Body; None for none.
      **headers: Further headers, with underscores for hyphens.
    """
    fields = {
        "Host": HOST,
        "Request-Id": request_id,
        "Authorization": f"Bearer {KEY}",
        **{name.replace("_", "-"): text for name, text in headers.items()},
    }
    if body is not None:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


async def exchange(
    host: str, port: int, request: bytes, timeout_s: float = 10.0
) -> Answer:
    """Sends a request on a new connection and reads its answer."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1.0
        )
    except (OSError, TimeoutError) as exc:
        return Answer(error=f"connect: {type(exc).__name__}")
    try:
        writer.write(request)
        method = request.split(b" ", 1)[0].decode()
        return await asyncio.wait_for(read_answer(reader, method), timeout_s)
    except TimeoutError:
        return Answer(error="no answer in time")
    finally:
        writer.transport.abort()


@dataclasses.dataclass(slots=True)
class Received:
    """A request as a worker received it.

    Attributes:
      method: Method.
      path: Path with query.
      headers: Headers by lower-case name.
      body: Body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Its id."""
        return self.headers.get("request-id", "")


Handler = Callable[["Worker", Received, Any, Any], Awaitable[bool]]


class Worker:
    """Worker that announces itself and runs requests.

    Attributes:
      worker_id: Its id.
      ran: Ids of the requests that it began to run.
      handler: Answers a request; returns whether the connection is kept.
    """

    def __init__(
        self,
        stage: "Stage",
        worker_id: str,
        service: str,
        zone: str = "zone-a",
        handler: Handler | None = None,
        slots: int = 8,
    ):
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.ran: list[str] = []
        self.handler = handler or answer_soundly
        self.born = int(time.time() * 1000)
        self.host = stage.new_host()
        self.port = 9000
        self._stage = stage
        self._sequence = 0
        self._tasks: list[asyncio.Task] = []
        self._server: Any = None

    async def start(self) -> None:
        """Opens the port and begins to announce itself."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self._tasks.append(asyncio.ensure_future(self._announce()))

    def stop(self) -> None:
        """Closes the port and falls silent."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def restart(self, announces: bool) -> None:
        """Starts again under the same id, at the same address.

        Args:
          announces: Whether its pings arrive.
        """
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        if announces:
            self._tasks.append(asyncio.ensure_future(self._announce()))

    async def _announce(self) -> None:
        while not self._stage.ended:
            self._sequence += 1
            body = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self._sequence,
                "born": self.born,
            }
            status, _ = await self._stage.call_control(
                "POST", f"/api/instances/{self.worker_id}/heartbeat", body, 1.0
            )
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def _serve(self, reader: Any, writer: Any) -> None:
        try:
            while True:
                received = await _read_request(reader)
                if received is None:
                    break
                expected = received.headers.get("expect-instance")
                if expected not in (None, self.worker_id):
                    writer.write(build_answer(received, 421, b""))
                    continue
                if not await self.handler(self, received, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def _read_request(reader: Any) -> Received | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Received(method, path, headers, body)


def build_answer(received: Received, status: int, body: bytes) -> bytes:
    """Builds an answer of a worker.

    Args:
      received: The request.
      status: Status; one other than 200 states that the request has not run.
      body: Body.
    """
    extra = "" if status == 200 else "Not-Executed: 1\r\n"
    if status == 200:
        extra = f"Response-Seal: seal-{received.request_id}\r\n"
    return (
        f"HTTP/1.1 {status} Status\r\nRequest-Id: {received.request_id}\r\n"
        f"{extra}Content-Length: {len(body)}\r\nKeep-Alive: timeout=10\r\n\r\n"
    ).encode() + body


def build_body(request_id: str) -> bytes:
    """Returns the body of the sound answer to a request."""
    return f"answer to {request_id}".encode()


async def answer_soundly(
    worker: Worker, received: Received, reader: Any, writer: Any
) -> bool:
    """Runs a request and answers it at once."""
    del reader
    worker.ran.append(received.request_id)
    body = build_body(received.request_id)
    writer.write(build_answer(received, 200, body))
    await writer.drain()
    return True


class Process:
    """A process of the system.

    Attributes:
      stage: Its deployment.
    """

    def __init__(self, stage: "Stage", name: str, role: dict, settings: dict):
        self.name = name
        self.host = settings["ip"]
        self.data_folder = settings["dataDir"]
        self.stage = stage
        self._role = role
        self._path = stage.folder / f"{name}.yaml"
        self.log_path = stage.folder / f"{name}.log"
        self.settings = settings
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts it with the command of the deploy file."""
        # JSON is a subset of YAML.
        self._path.write_text(json.dumps(self.settings), encoding="utf-8")
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= self._role.get("env", {})
        env |= {
            "WAXWINGRACK_CONFIG": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                self._role["run"].split(" "),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        # Only the first start of the whole system founds a group.
        self.settings = {**self.settings, "bootstrap": False}

    def send_signal(self, number: int) -> None:
        """Sends a signal to it."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def is_running(self) -> bool:
        """Tells whether it has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def end(self) -> None:
        """Ends it at once."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def read_log(self) -> str:
        """Returns what it has written."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")


class Stage:
    """A small deployment.

    Attributes:
      record: Record of the case.
      folder: Temporary folder.
      controllers: Controllers.
      routers: Routers.
      ended: Whether the case is over. `asyncio.wait_for` may swallow that it
        is cancelled, so loops without a limit of time look at this.
    """

    def __init__(
        self,
        record: Record,
        controllers: int,
        routers: int,
        memory_mb: float = 300.0,
    ):
        self.record = record
        self.ended = False
        self._memory_mb = memory_mb
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self._last_host = 0
        self._workers: list[Worker] = []
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        by_serves = {role["serves"][0]: role for role in roles.values()}
        hosts = [self.new_host() for _ in range(controllers)]
        self._seeds = [f"{host}:{CONTROL_PORT}" for host in hosts[:3]]
        self._tolerance = (controllers - 1) // 2
        self.controllers = [
            self._make_process(
                f"core-{number}", by_serves["control"], "control", host, number
            )
            for number, host in enumerate(hosts, 1)
        ]
        self.routers = [
            self._make_process(
                f"front-{number}",
                by_serves["front"],
                "front",
                self.new_host(),
                number,
            )
            for number in range(1, routers + 1)
        ]

    def new_host(self) -> str:
        """Returns a loopback address that the case does not use yet."""
        self._last_host += 1
        return f"{self._net}.{self._last_host}"

    def _make_process(
        self, name: str, role: dict, serves: str, host: str, number: int
    ) -> Process:
        is_core = serves == "control"
        listen = (
            {"control": f"{host}:{CONTROL_PORT}"}
            if is_core
            else {
                "front": f"{host}:{FRONT_PORT}",
                "readinessAddr": f"{host}:{READY_PORT}",
            }
        )
        data_folder = None
        if is_core:
            data_folder = str(self.folder / f"{name}-disk")
            pathlib.Path(data_folder).mkdir()
        return Process(
            self,
            name,
            role,
            {
                "nodeName": name,
                "role": "controller" if is_core else "router",
                "machineClass": "core" if is_core else "front",
                "serves": [serves],
                "ip": host,
                "zone": sorted(ZONES)[(number - 1) % len(ZONES)],
                "region": "region",
                "zones": ZONES,
                "listen": listen,
                "internalPorts": INTERNAL_PORTS,
                "seeds": self._seeds,
                "bootstrap": True,
                "countsAsLoss": is_core,
                "limits": {
                    "cpuShare": 1.0,
                    "cores": 1,
                    "memoryMb": self._memory_mb if not is_core else 296,
                    "maxFds": 4100,
                    "linkMbps": 1000.0,
                    "diskMb": 128 if is_core else 0,
                },
                "dataDir": data_folder,
                "discovery": "registration",
                "entry": "vip",
                "heartbeatMs": 1200,
                "faultTolerance": {
                    "machines": self._tolerance,
                    "zones": 1,
                    "regions": 0,
                },
                "bounds": {
                    "contactMs": 3000,
                    "drainMs": 2000,
                    "graceS": 8,
                    "configApplyMs": 2000,
                    "retryBudgetRatio": 0.2,
                    "budgetWindowS": 10,
                    "retryBudgetSlack": 54,
                },
                "configMode": "highest",
            },
        )

    # -- operator ---------------------------------------------------------

    async def call_control(
        self, method: str, path: str, body: Any = None, timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Calls a controller, following redirects twice.

        Returns:
          Status and body; the status is 0 if no controller answered.
        """
        blob = b"" if body is None else json.dumps(body).encode()
        live = [item for item in self.controllers if item.is_running()]
        if not live:
            return 0, b""
        target = f"{random.choice(live).host}:{CONTROL_PORT}"
        answer = Answer()
        for _ in range(3):
            host, port = target.rsplit(":", 1)
            request = (
                f"{method} {path} HTTP/1.1\r\nHost: {target}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(blob)}\r\nConnection: close\r\n\r\n"
            ).encode() + blob
            answer = await exchange(host, int(port), request, timeout_s)
            if answer.status != 307:
                break
            location = answer.headers["location"].removeprefix("http://")
            target = location.partition("/")[0]
        return answer.status if answer.complete else 0, answer.body

    async def send_manifest(
        self, manifest: dict, limit_s: float = 20.0
    ) -> None:
        """Sends a manifest until it is acknowledged."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            status, body = await self.call_control(
                "POST", "/api/config/replace", manifest
            )
            if status == 200:
                self.record.note(f"manifest {manifest['version']} acknowledged")
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRunError(f"manifest refused: {status} {body!r}")
            await asyncio.sleep(0.2)
        raise CannotRunError("no manifest was acknowledged")

    # -- life -------------------------------------------------------------

    async def start(self, manifest: dict, workers: list[Worker]) -> None:
        """Starts everything and waits until each router serves."""
        for process in (*self.controllers, *self.routers):
            process.start()
        await self.send_manifest(manifest)
        for worker in workers:
            self._workers.append(worker)
            await worker.start()

    async def wait_served(
        self, path: str, limit_s: float = 20.0, **headers: str
    ) -> None:
        """Waits until each router has served a request in calm."""
        end_s = time.monotonic() + limit_s
        for router in self.routers:
            while True:
                answer = await self.ask(router, path, "warm-up", **headers)
                if answer.status == 200 and answer.complete:
                    break
                if time.monotonic() > end_s:
                    raise CannotRunError(
                        f"{router.name} does not serve: {answer.status} "
                        f"{answer.error} {answer.body[:200]!r}"
                    )
                await asyncio.sleep(0.2)
        self.record.note("each router serves")

    async def ask(
        self,
        router: Process,
        path: str,
        request_id: str,
        timeout_s: float = 10.0,
        **fields: Any,
    ) -> Answer:
        """Sends a proper request to a router on a new connection."""
        return await exchange(
            router.host,
            FRONT_PORT,
            build_request(path, request_id, **fields),
            timeout_s,
        )

    async def is_ready(self, router: Process) -> bool:
        """Asks a router whether it is ready, as the platform does."""
        request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n"
        answer = await exchange(router.host, READY_PORT, request, 1.0)
        return answer.status == 200

    async def find_leader(self) -> Process | None:
        """Returns the controller that answers for itself."""
        for controller in self.controllers:
            if not controller.is_running():
                continue
            request = (
                f"GET /api/config/get HTTP/1.1\r\nHost: {controller.host}\r\n"
                "Connection: close\r\n\r\n"
            ).encode()
            answer = await exchange(controller.host, CONTROL_PORT, request, 1.0)
            if answer.status == 200:
                return controller
        return None

    def end(self) -> None:
        """Ends all that was started and removes the temporary folder."""
        for worker in self._workers:
            worker.stop()
        for process in (*self.controllers, *self.routers):
            process.end()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def make_manifest(
    version: int, routes: list[dict], services: list[dict], **fields: Any
) -> dict:
    """Builds a manifest with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 100000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        **fields,
    }


def make_route(
    name: str, prefix: str, service: str, kind: str, **fields: Any
) -> dict:
    """Builds a route of a manifest."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        **fields,
    }


def make_service(name: str, **fields: Any) -> dict:
    """Builds a service of a manifest."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
        **fields,
    }


def make_engine_service(name: str) -> dict:
    """Builds a service of model engines, as on the users' pages."""
    return make_service(
        name,
        maxConnections=370,
        engine={
            "slots": 64,
            "kvCapacityTokens": 362849,
            "kvTokenBytes": 163840,
            "linkMbps": 1100000.0,
            "moves": True,
            "backups": True,
            "stride": 7,
            "most": 12,
            "pinMs": 4000.0,
            "holdMs": 2000.0,
            "handleS": 5.0,
            "models": [{"name": "m"}],
        },
    )


def run_case(
    folder: str,
    play: Callable[[Stage], Awaitable[int]],
    controllers: int = 3,
    routers: int = 2,
    memory_mb: float = 300.0,
) -> None:
    """Plays a case and exits with its result.

    Args:
      folder: File of the case; the record is written beside it.
      play: Plays it and returns HELD or BROKEN.
      controllers: Number of controllers.
      routers: Number of routers.
      memory_mb: Memory of the machine of a router.
    """
    record = Record(pathlib.Path(folder).resolve().parent)
    _require_free_ports()
    stage = Stage(record, controllers, routers, memory_mb)
    record.note(f"trouble: {with_trouble()}")

    async def play_in_time() -> int:
        try:
            return await asyncio.wait_for(play(stage), MAX_CASE_S)
        finally:
            stage.ended = True
            # Streams that are collected after the loop has ended would warn.
            gc.collect()
            await asyncio.sleep(0)

    def give_up(*_: object) -> None:
        stage.end()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(ALARM_S)
    try:
        verdict = asyncio.run(play_in_time())
    except (CannotRunError, TimeoutError, OSError) as exc:
        record.note(f"the case could not run: {type(exc).__name__}: {exc}")
        verdict = NOT_RUN
    finally:
        stage.end()
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}
    record.note(f"result: {names[verdict]}")
    sys.exit(verdict)


def _require_free_ports() -> None:
    """Exits if a port is taken at all addresses."""
    for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, *INTERNAL_PORTS, 9000):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError as exc:
                print(f"port {port} is taken: {exc}")
                sys.exit(NOT_RUN)
