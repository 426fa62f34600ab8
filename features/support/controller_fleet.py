"""Groups of controller processes and fake routers for the steps."""

import asyncio
import concurrent.futures
import contextlib
import json
import pathlib
import secrets
import shutil
import signal
import sys
import tempfile
import threading
import time

import websockets.exceptions

from features.support import fleet
from features.support import loopback
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import transport

TOKEN = fleet.OPERATOR_TOKEN
KEY = b"shared-key-of-the-test"
HOST = "127.0.0.1"


class Loop:
    """Event loop in a thread of its own."""

    def __init__(self, timeout_s: float = 10.0):
        self.loop = asyncio.new_event_loop()
        self._timeout_s = timeout_s
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.daemon = True
        self._thread.start()

    def run(self, coroutine):
        """Runs a coroutine and waits for its result."""
        fut = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return fut.result(self._timeout_s)

    def call(self, function, *args):
        """Calls a function in the loop."""

        async def wrapped():
            return function(*args)

        return self.run(wrapped())

    def close(self):
        """Stops the loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()


def clock_ms() -> int:
    """Returns monotonic milliseconds."""
    return time.monotonic_ns() // 1_000_000


def wait_for(
    check,
    timeout_s: float = 8.0,
    pause_s: float = 0.02,
    what: str = "what a step awaits",
):
    """Polls until a check is true; returns its value and fails in time."""
    return fleet.wait_until(check, timeout_s, what, pause_s)


class Fleet:
    """Controller processes c1, c2, ... on loopback."""

    def __init__(self, count: int = 3, cuttable: bool = False):
        self.loop = Loop()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="waxwing"))
        (self.folder / "key").write_bytes(KEY)
        (self.folder / "token").write_text(TOKEN + "\n")
        self.nodes: dict[str, fleet.Member] = {}
        self.proxy = fleet.Proxy() if cuttable else fleet.DirectLinks()
        self.routers: list[FakeRouter] = []
        for number in range(1, count + 1):
            self.add(f"c{number}")
        self._listed = tuple(self.nodes)
        for node_id in self.nodes:
            self.start(node_id)

    def add(self, node_id: str) -> fleet.Member:
        """Chooses the ports of a controller."""
        control, operators = loopback.free_ports(2)
        self.nodes[node_id] = fleet.Member(
            node_id,
            [
                sys.executable,
                "-m",
                "waxwingrack",
                "controller",
                str(self.folder / f"{node_id}.json"),
            ],
            {"control": control, "operators": operators},
            self.folder,
        )
        return self.nodes[node_id]

    def start(self, node_id: str, listed: tuple[str, ...] | None = None):
        """Starts a controller process."""
        (self.folder / f"{node_id}.json").write_text(
            json.dumps(
                self._settings(self.nodes[node_id], listed or self._listed)
            )
        )
        self.nodes[node_id].start()

    def _settings(self, node: fleet.Member, listed: tuple[str, ...]):
        def peer(other: fleet.Member):
            port = other.ports["control"]
            if other is not node:
                port = self.proxy.add(f"{node.name}-{other.name}", port)
            return {
                "id": other.name,
                "control": fleet.address(port),
                "operators": fleet.address(other.ports["operators"]),
            }

        return {
            "role": "controller",
            "node_id": node.name,
            "data_centre": "a",
            "operators": fleet.address(node.ports["operators"]),
            "control": fleet.address(node.ports["control"]),
            "controllers": [peer(self.nodes[item]) for item in listed],
            "data_folder": str(self.folder / f"data-{node.name}"),
            "shared_key_file": str(self.folder / "key"),
            "operator_token_file": str(self.folder / "token"),
        }

    def signal(self, node_id: str, number: int):
        """Sends a signal; waits for the end after SIGKILL and SIGTERM."""
        process = self.nodes[node_id].process
        process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            return process.wait(10)
        return None

    def cut(self, node_id: str):
        """Cuts a controller off from the others, without closing anything."""
        for link in self.proxy.links:
            if node_id in link.split("-"):
                self.proxy.change(link, up=False, down=False)

    def log(self, node_id: str) -> list[dict]:
        """Returns the JSON log lines of a controller."""
        return self.nodes[node_id].decisions()

    def call(self, node_id, method, path, body=None, token=TOKEN, raw=None):
        """Calls the operators' API; returns status and body, or (0, None)."""
        answer = fleet.request(
            self.nodes[node_id].ports["operators"],
            method,
            path,
            raw.encode() if raw else body or b"",
            {"Authorization": f"Bearer {token}"} if token else {},
            timeout_s=8,
        )
        if not answer.whole:
            return 0, None
        text = answer.body.decode()
        if path == "/metrics":
            return answer.status, text
        return answer.status, json.loads(text) if text else None

    def metric(self, node_id: str, name: str) -> float:
        """Returns the sum of a metric over its labels."""
        _, text = self.call(node_id, "GET", "/metrics", token=None)
        return sum(
            float(line.rsplit(" ", 1)[1])
            for line in (text or "").splitlines()
            if line.split("{")[0].split(" ")[0] == f"waxwingrack_{name}"
        )

    def running(self) -> list[str]:
        """Returns the node ids whose process runs."""
        return [node_id for node_id, node in self.nodes.items() if node.alive]

    def leaders(self) -> list[str]:
        """Returns the controllers that answer as leader now."""
        return [
            node_id
            for node_id in self.running()
            if self.call(node_id, "GET", "/v1/rollouts")[0] == 200
        ]

    def leader(self, but: str = "") -> str:
        """Waits for a leader."""
        return wait_for(
            lambda: next((x for x in self.leaders() if x != but), None)
        )

    def change(self, method: str, path: str, **body):
        """Sends a change to whoever leads until it is not 421 or 503."""

        def attempt():
            for node_id in self.running():
                status, answer = self.call(node_id, method, path, body)
                if status not in (0, 421, 503):
                    return status, answer
            return None

        return wait_for(attempt)

    def apply(self, expected: int, operation: str = "", name: str = "env"):
        """Applies an environment document."""
        return self.change(
            "PUT",
            "/v1/environment",
            operation=operation or secrets.token_hex(8),
            operator="ada",
            expected=expected,
            environment=document(name),
        )

    def router(self, node_id: str, controller: str, **options):
        """Connects a fake router to a controller."""
        router = FakeRouter(
            self.loop,
            node_id,
            self.nodes[controller].ports["control"],
            **options,
        )
        self.routers.append(router)
        return router

    def close(self):
        """Ends everything that the fleet started."""
        for router in self.routers:
            router.close()
        for node in self.nodes.values():
            if node.alive:
                node.kill()
        self.proxy.stop()
        self.loop.close()
        fleet.keep_logs(self.folder)
        shutil.rmtree(self.folder)


class FakeRouter:
    """Router on the real transport that records what it is told."""

    def __init__(
        self,
        loop: Loop,
        node_id: str,
        port: int,
        beats: bool = True,
        confirms: bool = True,
        number: int = 0,
        incarnation: str = "",
    ):
        self.updates: list[messages.ControllerUpdate] = []
        self.pushes: list[messages.EnvironmentPush] = []
        self.refusals: list[messages.NotLeader] = []
        self.answers: dict[int, messages.KeyAnswer] = {}
        self.sent_ms: list[int] = []
        self.ended = False
        self.beats = beats
        self.confirms = confirms
        self.number = number
        self.incarnation = incarnation or secrets.token_hex(8)
        self.grant_times: list[float] = []
        self._loop = loop
        self._conn: transport.Connection | None = None
        self._call = 0
        self._identity = transport.Identity(
            data.Role.ROUTER, node_id, self.incarnation, KEY
        )
        self._address = data.Address(HOST, port)
        loop.run(self._open())

    async def _open(self):
        conn = await transport.connect(
            self._address, self._identity, transport.TrafficCounts()
        )
        assert conn is not None, "the controller refused the connection"
        self._conn = conn
        self._tasks = [asyncio.ensure_future(conn.run(self))]
        self._tasks.append(asyncio.ensure_future(self._beat()))

    async def _beat(self):
        while not self._conn.closed:
            if self.beats:
                self.report()
            await asyncio.sleep(0.1)

    def report(self, **fields):
        """Sends a report; loop thread only."""
        self.sent_ms.append(time.monotonic_ns() // 1_000_000)
        self._conn.send(
            messages.RouterReport(
                sent_ms=self.sent_ms[-1],
                environment_number=self.number,
                data_centre="a",
                **fields,
            )
        )

    def send_report(self, **fields):
        """Sends a report from the thread of the steps."""
        self._loop.loop.call_soon_threadsafe(lambda: self.report(**fields))

    def send_all(self, items: list):
        """Sends messages in one iteration of the event loop."""
        self._loop.loop.call_soon_threadsafe(
            lambda: [self._conn.send(item) for item in items]
        )

    def send_raw(self, blob: bytes):
        """Sends a frame that need not be a message."""

        async def send():
            with contextlib.suppress(websockets.exceptions.ConnectionClosed):
                await self._conn._socket.send(blob)

        self._loop.run(send())

    def ask(self, kind: type, **fields) -> messages.KeyAnswer:
        """Sends a key message and waits for the answer."""
        self._call += 1
        call = self._call
        message = kind(call=call, **fields)
        self._loop.loop.call_soon_threadsafe(self._conn.send, message)
        return wait_for(
            lambda: self.answers.get(call), what=f"answer to {message}"
        )

    @property
    def grants(self) -> list[data.Grant]:
        """All grants received."""
        return [item for update in self.updates for item in update.grants]

    def connected(self, conn):
        """Listener of the transport."""
        self.report(first=True)

    def received(self, conn, message):
        """Listener of the transport."""
        match message:
            case messages.ControllerUpdate():
                self.updates.append(message)
                self.grant_times += [time.monotonic()] * len(message.grants)
            case messages.EnvironmentPush():
                self.pushes.append(message)
                if self.confirms:
                    self.number = max(self.number, message.number)
                    self.report()
            case messages.NotLeader():
                self.refusals.append(message)
            case messages.KeyAnswer():
                self.answers[message.call] = message

    def disconnected(self, conn):
        """Listener of the transport."""
        self.ended = True

    def close(self):
        """Ends the connection."""

        async def close():
            self._conn.close()
            await asyncio.gather(*self._tasks, return_exceptions=True)

        self._loop.run(close())


def document(name: str = "env") -> dict:
    """Returns an environment document."""
    return {
        "name": name,
        "workspaces": [{"id": "ws1", "weight": 1.0, "token_digests": []}],
        "services": [
            {
                "id": "desk",
                "version": "v1",
                "routes": [{"id": "read", "path": "/desk", "idempotent": True}],
            }
        ],
        "data_centres": [
            {"id": "a", "region": "r"},
            {"id": "b", "region": "r"},
        ],
    }


def server(
    number: int = 1, slots: int = 4, incarnation: str = "i1"
) -> data.Announcement:
    """Returns the announcement of a backend server."""
    return data.Announcement(
        server_id=f"s{number}",
        incarnation=incarnation,
        address=data.Address(HOST, 9),
        service="desk",
        version="v1",
        data_centre="a",
        slots=slots,
    )


def together(calls):
    """Runs calls in threads at the same time; returns their results."""
    with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
        return list(pool.map(lambda call: call(), calls))
