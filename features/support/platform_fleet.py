"""Routers and controllers on loopback, started as the platform starts them."""

import http.server
import itertools
import json
import os
import pathlib
import random
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

import yaml

from features.support import fleet

INTERNAL_PORTS = [7400, 7415]
CONTROL_PORT = 8785
FRONT_PORT = 8783
READY_PORT = 8780
SERVER_PORT = 8080
ZONES = {"z1": "r", "z2": "r"}
KEY = "key-of-w"
START_S = 20.0
EVENTS = 5
# Time for which a backend server holds a request before it answers, by mode.
HOLDS_S = {"slow": 1.5, "held": 30.0}
EVENT_GAP_S = 0.05


class Machine:
    """One process with an address of its own."""

    def __init__(self, name, ip, listen, owner, bootstrap=True):
        self.name = name
        self.ip = ip
        self.folder = owner.folder / name
        self.folder.mkdir(parents=True)
        self._listen = listen
        self._owner = owner
        self.bootstrap = bootstrap
        self.process = None

    def start(self):
        """Writes the settings file and starts the process."""
        document = {
            "nodeName": self.name,
            "zone": "z1",
            "zones": ZONES,
            "listen": self._listen,
            "internalPorts": INTERNAL_PORTS,
            "seeds": self._owner.seeds,
            "bootstrap": self.bootstrap,
            "dataDir": str(self.folder / "data"),
            "limits": {"memoryMb": 300},
            "faultTolerance": {"machines": 2},
            "bounds": {"graceS": 8, **self._owner.bounds},
        }
        path = self.folder / "settings.yaml"
        path.write_text(yaml.safe_dump(document))
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "waxwingrack", "platform"],
                cwd=fleet.ROOT,
                env={**os.environ, "WAXWINGRACK_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Ends the process without notice."""
        self.process.kill()
        self.process.wait(10)

    def lose_disk(self):
        """Empties the data folder."""
        shutil.rmtree(self.folder / "data")
        self.bootstrap = False


class PlatformFleet:
    """Five controllers, a router and a backend server."""

    def __init__(self, **bounds):
        self.bounds = bounds
        self._temporary = tempfile.TemporaryDirectory(prefix="waxwingrack-")
        self.folder = pathlib.Path(self._temporary.name)
        # Features that run at the same time must not share addresses.
        self._network = f"127.{random.randrange(2, 250)}"
        self._hosts = itertools.count(1)
        self._tail = random.randrange(1, 250)
        self.seeds = []
        self.controllers = [self._controller() for _ in range(5)]
        self.seeds = [f"{m.ip}:{CONTROL_PORT}" for m in self.controllers[:3]]
        self.router = self._machine(
            "front",
            {"front": FRONT_PORT, "readinessAddr": READY_PORT},
        )
        self.server = BackendServer(self._ip())
        self.servers = [self.server]
        self._server_numbers = itertools.count(2)
        self.more_routers = []
        self.sequence = itertools.count(1)
        self.born = int(time.time() * 1000)
        self.last_document = None
        self.last_request_id = None
        self.silent = threading.Event()
        self._stop = threading.Event()

    def _ip(self):
        return f"{self._network}.{next(self._hosts)}.{self._tail}"

    def _machine(self, kind, ports, bootstrap=True):
        ip = self._ip()
        listen = {name: f"{ip}:{port}" for name, port in ports.items()}
        name = f"{kind}-{ip.split('.')[2]}"
        return Machine(name, ip, listen, self, bootstrap)

    def _controller(self, bootstrap=True):
        return self._machine("core", {"control": CONTROL_PORT}, bootstrap)

    def start(self):
        """Starts all processes and waits for a full group."""
        for server in self.servers:
            server.start()
        for machine in (*self.controllers, self.router):
            machine.start()
        fleet.wait_until(
            lambda: len(self.members()) == 5, START_S, "five members"
        )

    def add_server(self, service):
        """Adds a backend server of a service to a running fleet."""
        server = BackendServer(
            self._ip(), f"i-{next(self._server_numbers)}", service
        )
        server.start()
        self.servers.append(server)
        return server

    def add_router(self):
        """Starts another router and waits until it is ready."""
        router = self._machine(
            "front", {"front": FRONT_PORT, "readinessAddr": READY_PORT}
        )
        self.more_routers.append(router)
        router.start()
        fleet.wait_until(
            lambda: (
                fleet.request(
                    READY_PORT, "GET", "/api/ready", host=router.ip
                ).status
                == 200
            ),
            START_S,
            f"{router.name} is ready",
        )
        return router

    def replace(self, machine):
        """Starts a controller at a new address in place of a killed one."""
        self.controllers.remove(machine)
        self.controllers.append(self._controller(bootstrap=False))
        self.controllers[-1].start()

    def stop(self):
        """Ends all processes."""
        self._stop.set()
        for machine in (*self.controllers, self.router, *self.more_routers):
            if machine.process is not None and machine.process.poll() is None:
                machine.kill()
        for server in self.servers:
            server.stop()
        self._temporary.cleanup()

    # -- calls --------------------------------------------------------------

    def call(self, ip, method, path, body=b"", timeout_s=2.0):
        """Calls a controller and follows redirects; returns the answer."""
        for _ in range(3):
            answer = fleet.request(
                CONTROL_PORT, method, path, body, timeout_s=timeout_s, host=ip
            )
            if answer.status != 307:
                return answer
            ip = answer.headers["location"].split("/")[2].rpartition(":")[0]
        return answer

    def until_accepted(self, method, path, body=b"", at=None):
        """Sends an order again until it is acknowledged."""
        machines = itertools.cycle(self.controllers)

        def accepted():
            ip = at or next(machines).ip
            answer = self.call(ip, method, path, body)
            return answer if answer.status == 200 else None

        return fleet.wait_until(accepted, START_S, f"{method} {path}")

    def members(self):
        """Returns the members that the leader reached lately."""
        for machine in self.controllers:
            answer = fleet.request(
                CONTROL_PORT, "GET", "/metrics", host=machine.ip, timeout_s=1.0
            )
            found = [
                line.split('"')[1]
                for line in answer.body.decode().splitlines()
                if line.startswith("waxwingrack_member_silence_ms{")
                and float(line.split()[-1]) < 1000
            ]
            if found:
                return found
        return []

    def leader(self):
        """Returns the controller that leads, or None."""
        for machine in self.controllers:
            answer = fleet.request(
                CONTROL_PORT, "GET", "/metrics", host=machine.ip, timeout_s=1.0
            )
            if b"\nwaxwingrack_leading 1" in answer.body:
                return machine
        return None

    def announce(self, at, state="ready", server=None):
        """Announces a backend server, the first by default, at a controller."""
        server = server or self.server
        path = f"/api/instances/{server.id}/heartbeat"
        return self.call(
            at, "POST", path, self.build_announcement(server, state)
        )

    def build_announcement(self, server, state):
        """Returns the body of an announcement of a backend server."""
        return {
            "service": server.service,
            "address": f"{server.ip}:{SERVER_PORT}",
            "zone": "z2",
            "version": "v1",
            "slots": server.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": next(self.sequence),
            "born": self.born,
        }

    def keep_announcing(self):
        """Announces the backend servers until the fleet stops."""

        def run():
            machines = itertools.cycle(range(5))
            while not self._stop.wait(0.2):
                machine = self.controllers[next(machines)]
                if not self.silent.is_set():
                    for server in list(self.servers):
                        self.announce(machine.ip, server=server)

        threading.Thread(target=run, daemon=True).start()

    def ask(self, path="/a/x", key=KEY, timeout_s=5.0, method="POST"):
        """Sends a caller's request; `last_request_id` keeps its id."""
        self.last_request_id = f"{random.getrandbits(64):016x}"
        headers = {
            "Host": "h.example",
            "Request-Id": self.last_request_id,
            "Deadline-Ms": "3000",
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return fleet.request(
            FRONT_PORT,
            method,
            path,
            b"hello",
            headers,
            timeout_s=timeout_s,
            host=self.router.ip,
        )


class BackendServer:
    """Server of the platform's protocol that records what it gets."""

    def __init__(self, ip, server_id="i-1", service="s"):
        self.ip = ip
        self.id = server_id
        self.service = service
        self.mode = "serve"
        self.slots = 8
        self.requests = []
        self.left = threading.Event()
        self._http = None

    def start(self):
        """Opens the port."""
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802  name of the library
                owner.serve(self)

            do_GET = do_PUT = do_POST  # noqa: N815  names of the library

            def log_message(self, *_):
                """Keeps the standard error stream free."""

        self._http = http.server.ThreadingHTTPServer(
            (self.ip, SERVER_PORT), Handler
        )
        self._http.daemon_threads = True
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def stop(self):
        """Closes the port."""
        self._http.shutdown()
        self._http.server_close()

    def serve(self, call):
        """Answers one request."""
        body = call.rfile.read(int(call.headers.get("Content-Length", 0)))
        self.requests.append((call.path, dict(call.headers), body))
        if self.mode == "refuse":
            self._head(call, 503, {"Not-Executed": "1", "Content-Length": "0"})
            return
        if self.mode in HOLDS_S:
            time.sleep(HOLDS_S[self.mode])
        if self.mode == "lose":
            # Without lingering, a close resets the connection.
            call.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            call.close_connection = True
            call.connection.close()
            return
        if call.path.startswith("/b/"):
            self._stream(call)
            return
        answer = json.dumps({"echo": body.decode()}).encode()
        self._head(call, 200, {"Content-Length": str(len(answer))})
        call.wfile.write(answer)

    def _head(self, call, status, headers):
        call.send_response(status)
        call.send_header("Request-Id", call.headers["Request-Id"])
        call.send_header("Response-Seal", "seal-1")
        for name, value in headers.items():
            call.send_header(name, value)
        call.end_headers()

    def _stream(self, call):
        self._head(
            call,
            200,
            {
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            },
        )
        many = 100 if self.mode == "long" else EVENTS
        try:
            for number in range(many):
                event = f"id: {number}\ndata: {time.time()}\n\n".encode()
                call.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
                call.wfile.flush()
                time.sleep(EVENT_GAP_S)
                if self.mode == "break" and number == 2:
                    call.connection.close()
                    return
            call.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.left.set()
