"""Workers that speak what the pages say, and record what they run."""

import contextlib
import itertools
import json
import random
import socket
import threading
import time

from review.common_3 import fleet as fleet_module
from review.common_3 import http

PORT = 8080
HEARTBEAT_S = 1.2
# Fields of a service with model workers, as the pages show them.
ENGINE = {
    "maxConnections": 370,
    "coldStartS": 3.0,
    "coldPerS": 14.0,
    "engine": {
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
}


class Request:
    """A request at a worker."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None."""
        return next((v for k, v in self.headers if k == name.lower()), None)


class Worker:
    """A sound worker.

    Attributes:
      ran: Time, request id and path of each request that has begun to run.
      extra: Further headers of each answer.
    """

    def __init__(self, fleet, service, zone, name=None, slots=6):
        self.fleet = fleet
        self.record = fleet.record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.ip = fleet.new_ip()
        self.id = name or f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.state = "ready"
        self.version = "v1"
        self.work_s = 0.02
        self.cold_ms = 0
        self.extra: dict[str, str] = {}
        self.ran: list[tuple[float, str, str]] = []
        self.running = 0
        self.lock = threading.Lock()
        self._listener = None
        self._socks: list[socket.socket] = []
        self._stopped = threading.Event()
        self._beats = threading.Event()

    # -- connections --------------------------------------------------------

    def start(self) -> None:
        """Opens the port and begins to announce the worker."""
        self._listener = socket.create_server((self.ip, PORT), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()
        self.record.write(f"worker {self.id} of {self.service} at {self.ip}")

    def stop(self) -> None:
        """Closes the port and ends the announcements."""
        self._stopped.set()
        if self._listener is not None:
            with contextlib.suppress(OSError):
                # Wakes the thread that accepts, which holds the port open.
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()

    def crash(self) -> None:
        """Ends the worker as if its process had been killed."""
        self.stop()
        with self.lock:
            socks, self._socks = self._socks, []
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.record.write(f"worker {self.id} at {self.ip} crashes")

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self._socks.append(sock)
            threading.Thread(
                target=self._serve_connection, args=(sock,), daemon=True
            ).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        reader = http.Reader(sock)
        try:
            with sock:
                while not self._stopped.is_set():
                    first, headers = reader.head()
                    method, path, _ = first.split(" ")
                    found = dict(headers)
                    if "chunked" in found.get("transfer-encoding", ""):
                        body = reader.chunked()
                    else:
                        body = reader.exactly(
                            int(found.get("content-length", 0))
                        )
                    request = Request(method, path, headers, body)
                    if not self.handle(sock, request):
                        return
        except (OSError, EOFError, ValueError):
            return

    def handle(self, sock: socket.socket, request: Request) -> bool:
        """Handles one request; returns whether the connection stays open."""
        if request.path == "/health":
            ready = self.state == "ready"
            self.send(sock, request, 200 if ready else 503, b"", seal=False)
            return True
        if request.header("expect-instance") not in (None, self.id):
            self.send(
                sock, request, 421, b"", {"Not-Executed": "1"}, seal=False
            )
            return True
        self.note_run(request)
        return self.run(sock, request)

    def note_run(self, request: Request) -> None:
        """Records that a request begins to run."""
        request_id = request.header("request-id") or ""
        with self.lock:
            self.ran.append((time.monotonic(), request_id, request.path))
        self.record.write(f"worker {self.id} runs {request_id} {request.path}")

    def run(self, sock: socket.socket, request: Request) -> bool:
        """Runs a request and answers it."""
        time.sleep(self.work_s)
        self.send(sock, request, 200, b"done " + request.body[:64])
        return True

    def send(self, sock, request, status, body, headers=(), seal=True) -> None:
        """Sends an answer."""
        sock.sendall(self.build(request, status, body, headers, seal))

    def build(self, request, status, body, headers=(), seal=True) -> bytes:
        """Builds an answer."""
        with self.lock:
            lines = [f"HTTP/1.1 {status} S"]
        request_id = request.header("request-id")
        if request_id:
            lines.append(f"Request-Id: {request_id}")
        if seal:
            lines.append(f"Response-Seal: {self.id}.{request_id}")
        lines.append(f"Instance-Id: {self.id}")
        lines += [
            f"{name}: {value}"
            for name, value in {**self.extra, **dict(headers)}.items()
        ]
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    # -- announcements ------------------------------------------------------

    def heartbeat(self) -> dict:
        """Returns the body of the next announcement."""
        return {
            "service": self.service,
            "address": f"{self.ip}:{PORT}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": self.cold_ms,
            "sequence": next(self.sequence),
            "born": self.born,
        }

    def announce(self, document=None) -> http.Answer:
        """Sends one announcement until a controller acknowledges it."""
        document = document or self.heartbeat()
        return self.fleet.control(
            "POST", f"/api/instances/{self.id}/heartbeat", document
        )

    def announce_until_acked(self, document=None) -> None:
        """Sends announcements until one is acknowledged."""
        fleet_module.wait_until(
            lambda: self.announce(document).status == 200,
            fleet_module.START_S,
            f"ack of an announcement of {self.id}",
        )

    def _announce(self) -> None:
        while not self._stopped.wait(0.05):
            if not self._beats.is_set():
                self.announce()
            self._stopped.wait(HEARTBEAT_S)

    def pause_beats(self) -> None:
        """Sends no further announcements by itself."""
        self._beats.set()


def manifest(version, routes, services, tenants=None) -> dict:
    """Builds a manifest.

    Args:
      version: Version.
      routes: Rows of name, prefix, kind, service and further fields.
      services: Rows of name and further fields.
      tenants: Names with their keys.
    """
    document = {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "h.example",
                "pathPrefix": prefix,
                "kind": kind,
                "timeoutMs": 5000,
                "targetLatencyMs": 1000,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
                "public": not tenants,
                **more,
            }
            for name, prefix, kind, service, more in routes
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 0.0,
                "coldPerS": 0.0,
                **more,
            }
            for name, more in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 100000,
        },
    }
    if tenants:
        document["tenants"] = [
            {"name": name, "apiKeys": list(keys), "priority": 1}
            for name, keys in tenants.items()
        ]
    return json.loads(json.dumps(document))


def ask(fleet, router, path, body=b"hello", headers=(), method="POST"):
    """Sends one request of a client to a router; returns its id and answer."""
    request_id = f"{random.getrandbits(64):016x}"
    named = {name.lower() for name, _ in headers}
    base = [
        ("Host", "h.example"),
        ("Request-Id", request_id),
        *([] if "deadline-ms" in named else [("Deadline-Ms", "5000")]),
    ]
    answer = http.call(
        router.ip,
        fleet_module.FRONT_PORT,
        method,
        path,
        body,
        [*base, *headers],
        timeout_s=6.0,
    )
    fleet.record.write(
        f"client {request_id} {method} {path} at {router.name}: "
        f"{answer.status} whole={answer.whole}"
    )
    return request_id, answer
