"""A small fleet on loopback addresses, with stand-ins for all outside systems.

The project's own processes are started with the command of the deploy file.
Workers, consumers, the operator and the platform are stand-ins that follow
`PROTOCOL.md`; a worker can be told to misbehave in a way that the pages name.
Only the standard library is used.
"""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROL_PORT = 8785
FRONT_PORT = 8783
READY_PORT = 8780
WORKER_PORT = 8080
INTERNAL_PORTS = [7400, 7415]
ZONES = {"za": "ra", "zb": "ra", "zc": "ra"}
HEARTBEAT_S = 1.2
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "regressionSlackMs": 250,
    "outerMs": 5000,
    "strictRevocation": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 54,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
    "coldMultiplier": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 10,
    "quotaWindowS": 4,
}

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open(
            "w", encoding="utf-8"
        )
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now(self):
        """Returns the seconds since the record began."""
        return time.monotonic() - self._start_s

    def __call__(self, text):
        """Writes a line with the time since the record began."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


class Process:
    """One process of the system."""

    def __init__(self, fleet, name, ip, zone, listen, machine_class, serves):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.folder = fleet.folder / name
        self.folder.mkdir(parents=True)
        self.listen, self.machine_class = listen, machine_class
        self.serves = serves
        self.bootstrap = True
        self.process = None

    def start(self):
        """Writes the settings file and starts the process."""
        is_core = self.machine_class == "core"
        document = {
            "nodeName": self.name,
            "role": "controller" if is_core else "router",
            "machineClass": self.machine_class,
            "serves": [self.serves],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": self.listen,
            "internalPorts": INTERNAL_PORTS,
            "seeds": self.fleet.seeds,
            "bootstrap": self.bootstrap,
            "countsAsLoss": is_core,
            "limits": {
                "cpuShare": 1.0,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4096,
                "linkMbps": 1000.0,
                "diskMb": 128 if is_core else 0,
            },
            "dataDir": str(self.folder / "data") if is_core else None,
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": round(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "places",
                "rollout",
            ],
            "faultTolerance": {
                "machines": self.fleet.tolerated,
                "zones": 1,
                "regions": 0,
            },
            "bounds": BOUNDS,
            "configMode": "highest",
        }
        path = self.folder / "settings.yaml"
        # JSON is a subset of YAML.
        path.write_text(json.dumps(document, indent=1), encoding="utf-8")
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["WAXWINGRACK_CONFIG"] = str(path)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "waxwingrack", "platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.fleet.record(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        """Sends a signal to the process."""
        self.fleet.record(f"signal {number} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        """Ends the process without notice."""
        self.fleet.record(f"kill {self.name}")
        self.process.kill()
        self.process.wait(10)

    def restart(self):
        """Starts the process again, as the platform does after its end."""
        self.bootstrap = False
        self.start()


class Fleet:
    """Controllers, routers and stand-ins."""

    def __init__(self, record, controllers=3, routers=1, tolerated=1):
        self.record = record
        self.tolerated = tolerated
        self._temporary = tempfile.TemporaryDirectory(prefix="waxwingrack-")
        self.folder = pathlib.Path(self._temporary.name)
        self._network = self._find_network()
        self._hosts = itertools.count(1)
        self.seeds = []
        self.workers = []
        self.stopping = threading.Event()
        self.version = 0
        zones = itertools.cycle(ZONES)
        self.controllers = [
            self._process(
                "core", next(zones), {"control": CONTROL_PORT}, "control"
            )
            for _ in range(controllers)
        ]
        self.seeds = [
            f"{item.ip}:{CONTROL_PORT}" for item in self.controllers[:3]
        ]
        zones = itertools.cycle(ZONES)
        self.routers = [
            self._process(
                "front",
                next(zones),
                {"front": FRONT_PORT, "readinessAddr": READY_PORT},
                "front",
            )
            for _ in range(routers)
        ]

    @staticmethod
    def _find_network():
        for _ in range(100):
            network = f"127.{random.randrange(2, 250)}.{random.randrange(250)}"
            try:
                for port in (CONTROL_PORT, FRONT_PORT, WORKER_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.1", port))
            except OSError:
                continue
            return network
        raise CannotRunError("no free loopback network")

    def new_ip(self):
        """Returns a loopback address that nothing else here uses."""
        return f"{self._network}.{next(self._hosts)}"

    def _process(self, kind, zone, ports, serves):
        ip = self.new_ip()
        listen = {name: f"{ip}:{port}" for name, port in ports.items()}
        name = f"{kind}-{ip.rpartition('.')[2]}"
        return Process(self, name, ip, zone, listen, kind, serves)

    def start(self):
        """Starts all processes of the system."""
        for item in (*self.controllers, *self.routers):
            item.start()

    def stop(self):
        """Ends all processes and stand-ins."""
        self.stopping.set()
        for item in (*self.controllers, *self.routers):
            if item.process is not None and item.process.poll() is None:
                item.process.kill()
                item.process.wait(10)
        for worker in self.workers:
            worker.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self._temporary.cleanup()

    # -- operator ----------------------------------------------------------

    def call(self, method, path, body=None, timeout_s=1.0, limit_s=25.0):
        """Sends an order of the operator until it has a clear answer.

        Returns:
          Status and body.
        """
        blob = b"" if body is None else json.dumps(body).encode()
        deadline_s = time.monotonic() + limit_s
        pause_s = 0.1
        for item in itertools.cycle(self.controllers):
            if time.monotonic() > deadline_s:
                raise CannotRunError(f"{method} {path}: no clear answer")
            status, answer = call_control(
                f"{item.ip}:{CONTROL_PORT}", method, path, blob, timeout_s
            )
            if status is not None and status < 500 and status not in (408, 429):
                self.record(f"operator {method} {path} -> {status}")
                return status, answer
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        raise AssertionError

    def replace_manifest(self, manifest):
        """Sends a manifest with the next version; it must be acknowledged."""
        self.version += 1
        status, answer = self.call(
            "POST", "/api/config/replace", {"version": self.version, **manifest}
        )
        if status != 200:
            raise CannotRunError(f"the manifest got {status}: {answer!r}")

    def wait_ready(self, limit_s=25.0):
        """Waits until each router says that it is ready."""
        for router in self.routers:
            wait_until(
                lambda router=router: (
                    call_control(
                        f"{router.ip}:{READY_PORT}",
                        "GET",
                        "/api/ready",
                        b"",
                        1.0,
                    )[0]
                    == 200
                ),
                limit_s,
                f"{router.name} is ready",
            )

    def find_leader(self):
        """Returns the controller that leads, by its metrics, or None."""
        for item in self.controllers:
            if item.process is None or item.process.poll() is not None:
                continue
            _, answer = call_control(
                f"{item.ip}:{CONTROL_PORT}",
                "GET",
                "/metrics",
                b"",
                1.0,
                follow=False,
            )
            if b"\nwaxwingrack_leading 1" in (answer or b""):
                return item
        return None


def wait_until(probe, limit_s, what):
    """Waits until a probe returns something true and returns that."""
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        found = probe()
        if found:
            return found
        time.sleep(0.1)
    raise CannotRunError(f"not in time: {what}")


def call_control(address, method, path, blob, timeout_s, follow=True):
    """Calls a controller and follows a redirect twice.

    Returns:
      Status and body; None and None without an answer.
    """
    for _ in range(3 if follow else 1):
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            headers = {"Content-Type": "application/json"} if blob else {}
            conn.request(method, path, blob or None, headers)
            answer = conn.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException):
            return None, None
        finally:
            conn.close()
        if answer.status != 307:
            return answer.status, body
        location = urllib.parse.urlsplit(answer.headers["Location"])
        address = location.netloc
    return answer.status, body


# ---------------------------------------------------------------------------
# HTTP messages
# ---------------------------------------------------------------------------


class Stream:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _fill(self):
        chunk = self.sock.recv(65536)
        if not chunk:
            return False
        self.buffer += chunk
        return True

    def read_head(self):
        """Returns start line and headers; None at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._fill():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return start, headers

    def read_exactly(self, size):
        """Returns so many bytes; None if the connection ends first."""
        while len(self.buffer) < size:
            if not self._fill():
                return None
        found, self.buffer = self.buffer[:size], self.buffer[size:]
        return found

    def read_line(self):
        """Returns a line; None if the connection ends first."""
        while b"\r\n" not in self.buffer:
            if not self._fill():
                return None
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def read_body(self, headers, until_close=False):
        """Returns the body and whether it is complete."""
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                line = self.read_line()
                if line is None:
                    return body, False
                size = int(line.split(b";")[0], 16)
                chunk = self.read_exactly(size + 2)
                if chunk is None:
                    return body + self.buffer, False
                if size == 0:
                    return body, True
                body += chunk[:-2]
        if "content-length" in headers:
            size = int(headers["content-length"])
            body = self.read_exactly(size)
            return (self.buffer, False) if body is None else (body, True)
        if until_close:
            while self._fill():
                pass
            return self.buffer, True
        return b"", True


def build_message(start, headers, body=b""):
    """Returns the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(sock):
    """Closes a socket so that its peer gets a reset."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


# ---------------------------------------------------------------------------
# Workers
# ---------------------------------------------------------------------------


class Worker:
    """A worker that runs every request at once.

    Attributes:
      behave: Called with the request and the socket when the request has run;
        returns whether it has dealt with the answer itself.
      runs: Tuples of time, request id, method, path and tenant.
    """

    def __init__(
        self, fleet, service, zone="za", work_s=0.01, slots=16, version="v1"
    ):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.ip = fleet.new_ip()
        self.id = f"i-{random.getrandbits(32):08x}"
        self.work_s, self.slots, self.version = work_s, slots, version
        self.behave = lambda request, sock: False
        self.runs = []
        self.lock = threading.Lock()
        self.state = "ready"
        self.sequence = itertools.count(1)
        self.born = int(time.time() * 1000)
        self.beating = threading.Event()
        self.beating.set()
        self.control = None
        self.next_seed = random.randrange(3)
        self._listener = socket.create_server(
            (self.ip, WORKER_PORT), backlog=256
        )
        fleet.workers.append(self)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self):
        """Closes the port."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        stream = Stream(sock)
        try:
            while self._serve_one(stream, sock):
                pass
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    def _serve_one(self, stream, sock):
        found = stream.read_head()
        if found is None:
            return False
        start, headers = found
        method, path, _ = start.split(" ")
        body, complete = stream.read_body(headers)
        if not complete:
            return False
        request_id = headers.get("request-id", "")
        expected = headers.get("expect-instance", self.id)
        if expected != self.id:
            sock.sendall(
                build_message(
                    "HTTP/1.1 421 Misdirected",
                    {
                        "Request-Id": request_id,
                        "Not-Executed": "1",
                        "Content-Length": "0",
                    },
                )
            )
            return True
        request = {
            "id": request_id,
            "method": method,
            "path": path,
            "headers": headers,
            "body": body,
        }
        with self.lock:
            self.runs.append(
                (
                    self.fleet.record.now(),
                    request_id,
                    method,
                    path,
                    headers.get("tenant"),
                )
            )
        self.fleet.record(
            f"worker {self.id} ({self.service}) runs {request_id} "
            f"{method} {path} tenant={headers.get('tenant')}"
        )
        time.sleep(self.work_s)
        if self.behave(request, sock):
            return sock.fileno() >= 0
        sock.sendall(self.answer(request))
        return True

    def answer(self, request, status="200 OK"):
        """Returns the bytes of a whole answer."""
        body = f"{self.id} ran {request['id']}\n".encode()
        return build_message(
            f"HTTP/1.1 {status}",
            {
                "Request-Id": request["id"],
                "Response-Seal": f"seal-{request['id']}",
                "Content-Type": "text/plain",
                "Content-Length": str(len(body)),
            },
            body,
        )

    def build_beat(self):
        """Returns the body of the next heartbeat."""
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.ip}:{WORKER_PORT}",
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": next(self.sequence),
                "born": self.born,
            }
        ).encode()

    def send_beat(self, blob=None):
        """Sends a heartbeat until it is acknowledged.

        Returns:
          Whether it was acknowledged.
        """
        path = f"/api/instances/{self.id}/heartbeat"
        blob = blob or self.build_beat()
        return self.send(path, blob)

    def deregister(self):
        """Tells the system that this worker leaves.

        Returns:
          Whether it was acknowledged.
        """
        self.beating.clear()
        path = f"/api/instances/{self.id}/deregister"
        return self.send(path, json.dumps({"born": self.born}).encode())

    def send(self, path, blob):
        """Sends a call to the system, to one daemon after the other."""
        seeds = [f"{item.ip}:{CONTROL_PORT}" for item in self.fleet.controllers]
        for _ in range(8):
            address = self.control or seeds[self.next_seed % len(seeds)]
            status, answer = call_control(address, "POST", path, blob, 1.0)
            if status is not None and 200 <= status < 300:
                url = json.loads(answer or b"{}").get("heartbeatUrl")
                self.control = url or self.control
                return True
            self.control = None
            self.next_seed += 1
            if self.fleet.stopping.wait(0.05):
                return False
        return False

    def _beat(self):
        while not self.fleet.stopping.is_set():
            if self.beating.is_set():
                self.send_beat()
            self.fleet.stopping.wait(HEARTBEAT_S)


# ---------------------------------------------------------------------------
# Consumers
# ---------------------------------------------------------------------------


def new_request_id():
    """Returns the id of a consumer's attempt."""
    return f"{random.getrandbits(64):016x}"


def ask(
    fleet,
    router,
    path,
    *,
    host="h.example",
    method="POST",
    key="key-a",
    body=b"hello",
    deadline_ms=3000,
    extra=None,
    request_id=None,
):
    """Sends one attempt of a consumer on a new connection.

    Returns:
      Dictionary with `id`, `status` (None if the connection ended without an
      answer), `headers`, `body` and `complete`.
    """
    request_id = request_id or new_request_id()
    headers = {
        "Host": host,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Content-Length": str(len(body)),
    }
    if key:
        headers["Authorization"] = f"Bearer {key}"
    headers.update(extra or {})
    outcome = {
        "id": request_id,
        "status": None,
        "headers": {},
        "body": b"",
        "complete": False,
    }
    fleet.record(
        f"consumer sends {request_id} {method} {path} to {router.name}"
    )
    try:
        with socket.create_connection(
            (router.ip, FRONT_PORT), timeout=1.0
        ) as sock:
            sock.settimeout(deadline_ms / 1000 + 0.5)
            sock.sendall(
                build_message(f"{method} {path} HTTP/1.1", headers, body)
            )
            stream = Stream(sock)
            found = stream.read_head()
            if found is not None:
                start, outcome["headers"] = found
                outcome["status"] = int(start.split(" ")[1])
                outcome["body"], outcome["complete"] = stream.read_body(
                    outcome["headers"], until_close=True
                )
    except OSError as exc:
        fleet.record(f"consumer {request_id}: {exc!r}")
    fleet.record(
        f"consumer {request_id} gets {outcome['status']} "
        f"seal={outcome['headers'].get('response-seal')} "
        f"complete={outcome['complete']}"
    )
    return outcome


def play(folder, scenario):
    """Plays a case and ends the process with its exit code.

    Args:
      folder: Folder of the case.
      scenario: Called with the record and whether the disruption is played;
        returns HELD or BROKEN.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE") != "0"
    record(f"trouble={trouble}")
    try:
        code = scenario(record, trouble)
    except CannotRunError as exc:
        record(f"could not run: {exc}")
        code = NOT_RUN
    except Exception as exc:  # noqa: BLE001
        record(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
        code = NOT_RUN
    record(
        {
            HELD: "the rule held",
            BROKEN: "THE RULE WAS BROKEN",
            NOT_RUN: "the case could not run",
        }[code]
    )
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
