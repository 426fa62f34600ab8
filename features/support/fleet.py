"""A fleet of real processes on loopback for the integration features.

Links between processes run through the fault-injecting proxy, so that a
feature can cut, delay or reset each of them.
"""

import contextlib
import dataclasses
import hashlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid

from features.support import loopback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
OPERATOR_TOKEN = "operator-token"
ANNOUNCE_TOKEN = "announce-token"
START_TIMEOUT_S = 20.0
# Environment variable that names a folder for the logs of all processes.
KEEP_LOGS = "WAXWINGRACK_KEEP_LOGS"


def digest(token):
    """Returns the SHA-256 digest of a token as the environment holds it."""
    return hashlib.sha256(token.encode()).hexdigest()


def address(port):
    """Returns a loopback address as settings hold it."""
    return {"host": "127.0.0.1", "port": port}


def wait_until(condition, timeout_s, what, pause_s=0.05):
    """Waits for a condition.

    Args:
      condition: Function without arguments; a true result ends the wait.
      timeout_s: Longest wait in seconds.
      what: What is waited for, for the error message.
      pause_s: Pause between two checks, in seconds.

    Returns:
      The result of the condition.

    Raises:
      AssertionError: The condition did not become true in time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        with contextlib.suppress(OSError, http.client.HTTPException):
            found = condition()
            if found:
                return found
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {timeout_s} s: {what}")
        time.sleep(pause_s)


def keep_logs(folder):
    """Copies the log files of a fleet to where the caller wants to keep them.

    Nothing is copied unless the environment variable of `KEEP_LOGS` names a
    folder.

    Args:
      folder: Folder of the fleet, which is about to be removed.
    """
    target = os.environ.get(KEEP_LOGS)
    if target:
        kept = pathlib.Path(target) / folder.name
        kept.mkdir(parents=True, exist_ok=True)
        for log in folder.glob("*.log"):
            shutil.copy2(log, kept)


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to an HTTP request.

    Attributes:
      status: HTTP status; 0 if the connection broke.
      headers: Headers by lower-case name.
      body: Body; the part received if the transfer broke.
      whole: Whether the transfer ended properly.
      seconds: Time from the request to the end.
      unconnected: Whether the connection was refused.
    """

    status: int
    headers: dict
    body: bytes
    whole: bool
    seconds: float
    unconnected: bool = False

    @property
    def error(self):
        """Error object of a refusal, or an empty one."""
        with contextlib.suppress(ValueError, AttributeError):
            return json.loads(self.body).get("error", {})
        return {}


def request(
    port,
    method,
    path,
    body=b"",
    headers=None,
    timeout_s=30.0,
    started=None,
    host="127.0.0.1",
):
    """Sends one request on a connection of its own.

    Args:
      port: Loopback port.
      method: HTTP method.
      path: Path.
      body: Body, or an object to send as JSON.
      headers: Further headers.
      timeout_s: Longest pause within the exchange, in seconds.
      started: Event to set once the header of the answer has arrived.
      host: Loopback address.

    Returns:
      The answer.
    """
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    start = time.monotonic()
    conn = http.client.HTTPConnection(host, port, timeout=timeout_s)
    received = []
    status, found, unconnected = 0, {}, False
    try:
        conn.request(method, path, body or None, headers or {})
        response = conn.getresponse()
        status = response.status
        if started is not None:
            started.set()
        found = {key.lower(): value for key, value in response.getheaders()}
        while chunk := response.read1(65_536):
            received.append(chunk)
        whole = response.length in (None, 0)
    except (OSError, http.client.HTTPException) as exc:
        whole = False
        unconnected = isinstance(exc, ConnectionRefusedError)
    finally:
        conn.close()
    return Answer(
        status,
        found,
        b"".join(received),
        whole,
        time.monotonic() - start,
        unconnected,
    )


class Proxy:
    """The fault-injecting proxy process."""

    def __init__(self):
        self._process = subprocess.Popen(
            [sys.executable, "-m", "features.support.fault_proxy"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._lock = threading.Lock()
        self.links = set()

    def add(self, link, port, **options):
        """Adds a link to a loopback port and returns its own port.

        Args:
          link: Name of the link.
          port: Port to forward to.
          **options: `pipe` names the pipe that the link shares with others.
        """
        self.links.add(link)
        return self._ask({"add": link, **address(port), **options})["port"]

    def limit_pipe(self, pipe, bytes_per_s):
        """Sets the rate of a pipe in each direction."""
        self._ask({"pipe": pipe, "bytes_per_s": bytes_per_s})

    def change(self, link, **changes):
        """Changes a link as `fault_proxy` describes.

        Args:
          link: Name of the link.
          **changes: `up`, `down`, `delay_ms`, `reset`, `hold`, `release`; none
            only asks for the state.

        Returns:
          The state of the link: `held` and `seen`.
        """
        return self._ask({"link": link, **changes})

    def stop(self):
        """Ends the proxy."""
        self._process.stdin.close()
        self._process.wait(10)

    def _ask(self, command):
        with self._lock:
            self._process.stdin.write(json.dumps(command) + "\n")
            self._process.stdin.flush()
            return json.loads(self._process.stdout.readline())


class DirectLinks:
    """Stands for the proxy where times are measured and nothing is cut."""

    def __init__(self):
        self.links = set()

    def add(self, link, port):
        """Returns the port itself."""
        return port

    def stop(self):
        """Does nothing."""


class Member:
    """One process of the fleet.

    Attributes:
      name: Node id or server id.
      ports: Ports by use.
      log: File with the log lines.
    """

    def __init__(self, name, command, ports, folder):
        self.name = name
        self.ports = ports
        self.log = folder / f"{name}.log"
        self._command = command
        self.process = None

    def start_with(self, words):
        """Starts the process with the command line of a page.

        Args:
          words: Words between the program and the settings file.
        """
        self._command = [*self._command[:3], *words, self._command[-1]]
        self.start()

    def start(self):
        """Starts the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, stdout=log, stderr=log
            )

    def kill(self):
        """Ends the process without notice."""
        self.process.kill()
        self.process.wait(10)

    def terminate(self):
        """Asks the process to shut down."""
        self.process.send_signal(signal.SIGTERM)

    def freeze(self):
        """Stops the process until `resume`."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Continues a frozen process."""
        self.process.send_signal(signal.SIGCONT)

    @property
    def alive(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def decisions(self):
        """Returns the log lines as objects."""
        lines = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class Fleet:
    """Controllers, routers and stand-in backend servers.

    Attributes:
      members: Processes by name: c1, c2, ..., r1, r2, ... and server ids.
      proxy: Proxy of all links, named like `r1-c2` and `c1-c3`.
    """

    def __init__(
        self,
        controllers=3,
        routers=3,
        router_settings=None,
        link_delay_ms=0,
        proxied=True,
        authority=None,
        programs=None,
    ):
        """Prepares the processes of a fleet.

        Args:
          controllers: Number of controllers.
          routers: Number of routers.
          router_settings: Further settings of each router.
          link_delay_ms: Delay of the routers' links each way.
          proxied: Whether links run through the fault proxy.
          authority: Issuer of certificates; a shared key is used if None.
          programs: Arguments of the interpreter that start a role, by role;
            those of the product are used for a role that is not listed.
        """
        self._programs = programs or {}
        self._temporary = tempfile.TemporaryDirectory(prefix="waxwingrack-")
        self.folder = pathlib.Path(self._temporary.name)
        self.members = {}
        self.proxy = Proxy() if proxied else DirectLinks()
        self._link_delay_ms = link_delay_ms
        self.authority = authority
        self._router_settings = router_settings or {}
        self._secrets()
        self.controllers = [f"c{n + 1}" for n in range(controllers)]
        self.routers = [f"r{n + 1}" for n in range(routers)]
        ports = iter(loopback.free_ports(2 * controllers + 2 * routers))
        self._control = {name: next(ports) for name in self.controllers}
        self._operators = {
            name: next(ports) for name in self.controllers + self.routers
        }
        self._callers = {name: next(ports) for name in self.routers}
        for name in self.controllers:
            self._add_controller(name)
        for name in self.routers:
            self._add_router(name)

    def start(self):
        """Starts controllers and routers and waits for a leader."""
        for name in self.controllers + self.routers:
            self.members[name].start()
        wait_until(self.leader, START_TIMEOUT_S, "a leader")
        self.heal()

    def add_router(self, name, **settings):
        """Adds a router that the servers do not know, without its start."""
        ports = loopback.free_ports(2)
        self._operators[name], self._callers[name] = ports
        self._add_router(name, **settings)
        return self.members[name]

    def metric(self, name, metric):
        """Returns a metric of a process without labels."""
        body = request(self._operators[name], "GET", "/metrics").body
        for line in body.decode().splitlines():
            if line.startswith(f"waxwingrack_{metric} "):
                return float(line.split()[1])
        raise ConnectionError(f"{name} serves no {metric}")

    def ready(self, name):
        """Whether a process is ready, at its operators' port."""
        return request(self._operators[name], "GET", "/readyz").status == 200

    def stop(self):
        """Ends all processes and removes their files."""
        for member in self.members.values():
            if member.alive:
                member.resume()
                member.process.kill()
        for member in self.members.values():
            if member.process is not None:
                member.process.wait(10)
        self.proxy.stop()
        keep_logs(self.folder)
        self._temporary.cleanup()

    def serve(self, **servers):
        """Starts everything and waits until each router passes requests on.

        Args:
          **servers: Options of `add_server` by id; the text before the dash
            names the service.
        """
        self.start()
        self.apply(environment())
        for server_id, options in servers.items():
            self.add_server(server_id, server_id.split("-")[0], **options)
        wait_until(
            lambda: self._announced() == servers.keys(),
            START_TIMEOUT_S,
            "all backend servers announced",
        )
        for router in self.routers:
            wait_until(
                lambda name=router: (
                    self.call(name, "GET", "/booking/free").status == 200
                ),
                START_TIMEOUT_S,
                f"{router} serves",
            )

    def _announced(self):
        status = self.status() or {"backend_servers": ()}
        return {row["id"] for row in status["backend_servers"]}

    def replace_controller(self, name, lost):
        """Prepares a controller under a new id in place of a lost one.

        Args:
          name: Id of the new controller.
          lost: Id of the lost one.

        Returns:
          The new member, not started.
        """
        self.controllers = [one for one in self.controllers if one != lost]
        self.controllers.append(name)
        self._control[name], self._operators[name] = loopback.free_ports(2)
        self._add_controller(name)
        return self.members[name]

    def add_server(self, server_id, service, **options):
        """Starts a stand-in backend server that announces itself.

        Args:
          server_id: Id.
          service: Service.
          **options: Further fields of the stand-in's configuration; `linked`
            announces the port of a link of the proxy, named like `e-sketch1`.

        Returns:
          The member.
        """
        port = loopback.free_ports(1)[0]
        if options.pop("linked", False):
            options["announced_port"] = self.proxy.add(f"e-{server_id}", port)
        config = {
            "server_id": server_id,
            "service": service,
            "port": port,
            "routers": [address(self._callers[name]) for name in self.routers],
            "announce_token": ANNOUNCE_TOKEN,
            **options,
        }
        command = [
            sys.executable,
            "-m",
            "waxwingrack.daemons.stand_in",
            json.dumps(config),
        ]
        member = Member(server_id, command, {"requests": port}, self.folder)
        self.members[server_id] = member
        member.start()
        return member

    def leader(self):
        """Returns the name of the leading controller, or None."""
        for name in self.controllers:
            if self.members[name].alive:
                answer = self.operate("GET", "/v1/status", at=name, timeout_s=2)
                if answer.status == 200:
                    return name
        return None

    def operate(self, method, path, body=b"", at=None, timeout_s=5.0):
        """Sends a request to the operators' API of a controller.

        Args:
          method: HTTP method.
          path: Path.
          body: Object to send as JSON.
          at: Controller; the leader if None.
          timeout_s: Longest pause within the exchange, in seconds.

        Returns:
          The answer.
        """
        name = at or wait_until(self.leader, START_TIMEOUT_S, "a leader")
        return request(
            self._operators[name],
            method,
            path,
            body,
            {
                "Authorization": f"Bearer {OPERATOR_TOKEN}",
                "Content-Type": "application/json",
            },
            timeout_s,
        )

    def change(self, method, path, expected=None, **fields):
        """Sends an operator's change until its outcome is known."""
        body = {
            "operation": str(uuid.uuid4()),
            "operator": "feature",
            "expected": expected,
            **fields,
        }
        return wait_until(
            lambda: self._change_once(method, path, body),
            START_TIMEOUT_S,
            f"{method} {path}",
        )

    def _change_once(self, method, path, body):
        answer = self.operate(method, path, body)
        return answer if answer.status in (200, 400, 409) else None

    def status(self):
        """Returns the status of the fleet as the leader sees it."""
        answer = self.operate("GET", "/v1/status")
        return json.loads(answer.body) if answer.status == 200 else None

    def apply(self, environment):
        """Applies an environment document and waits until it is in force."""
        number = json.loads(self.operate("GET", "/v1/environment").body)[
            "number"
        ]
        answer = self.change(
            "PUT", "/v1/environment", expected=number, environment=environment
        )
        assert answer.status == 200, answer
        wait_until(self.in_force, 9, "the environment in force everywhere")
        return answer

    def in_force(self):
        """Returns the newest number once every running router has it."""
        status = self.status()
        if status is None:
            return None
        running = {name for name in self.routers if self.members[name].alive}
        current = {
            router["id"]
            for router in status["routers"]
            if router["connected"] and router["number"] == status["number"]
        }
        return status["number"] if running <= current else None

    def call(self, router, method, path, body=b"", headers=None, **options):
        """Sends a caller's request through a router."""
        token = options.pop("token", "token-w1")
        return request(
            self._callers[router],
            method,
            path,
            body,
            {"Authorization": f"Bearer {token}", **(headers or {})},
            **options,
        )

    def isolate(self, name, up=True, down=True):
        """Cuts the links between a process and the controllers.

        Args:
          name: Controller or router.
          up: Whether bytes from the process are cut.
          down: Whether bytes to the process are cut.
        """
        for link in self.proxy.links:
            source, _, target = link.partition("-")
            if source == name:
                self.proxy.change(link, up=not up, down=not down)
            elif target == name:
                self.proxy.change(link, up=not down, down=not up)

    def heal(self):
        """Restores all links."""
        for link in self.proxy.links:
            delay_ms = self._link_delay_ms if link.startswith("r") else 0
            self.proxy.change(link, up=True, down=True, delay_ms=delay_ms)

    def restart_empty(self, name):
        """Kills a router and starts it again."""
        self.members[name].kill()
        self.members[name].start()

    def serving(self, router):
        """Whether a router answers that it is ready."""
        answer = request(self._callers[router], "GET", "/-/readyz", timeout_s=2)
        return answer.status == 200

    def _secrets(self):
        (self.folder / "key").write_text("shared key of the feature")
        (self.folder / "token").write_text(OPERATOR_TOKEN)

    def _peers(self, name):
        return [
            {
                "id": peer,
                "control": address(
                    self._control[peer]
                    if peer == name
                    else self.proxy.add(f"{name}-{peer}", self._control[peer])
                ),
                "operators": address(self._operators[peer]),
            }
            for peer in self.controllers
        ]

    def _add_controller(self, name):
        settings = {
            "role": "controller",
            "node_id": name,
            "data_centre": "a",
            "control": address(self._control[name]),
            "data_folder": str(self.folder / f"{name}-data"),
            "operator_token_file": str(self.folder / "token"),
        }
        self._add(name, settings, {"control": self._control[name]})

    def _add_router(self, name, **more):
        settings = {
            "role": "router",
            "node_id": name,
            "data_centre": "abc"[(int(name[1:]) - 1) % 3],
            "callers": address(self._callers[name]),
            "shutdown_delay_s": 0.5,
            **self._router_settings,
            **more,
        }
        self._add(name, settings, {"callers": self._callers[name]})

    def _add(self, name, settings, ports):
        settings = {
            "operators": address(self._operators[name]),
            "controllers": self._peers(name),
            **settings,
        }
        if self.authority is None:
            settings["shared_key_file"] = str(self.folder / "key")
        elif "tls" not in settings:
            settings["tls"] = self.authority.issue(self.folder, name)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = [
            sys.executable,
            *self._programs.get(settings["role"], ("-m", "waxwingrack")),
            settings["role"],
            str(path),
        ]
        ports = ports | {"operators": self._operators[name]}
        self.members[name] = Member(name, command, ports, self.folder)


def environment(workspaces=None, services=None, **fields):
    """Builds an environment document for the features.

    Args:
      workspaces: Weights by workspace; the token of `w1` is `token-w1`.
      services: Service objects; a sketch assistant and a booking desk if None.
      **fields: Further fields of the document.

    Returns:
      The document.
    """
    weights = workspaces or {"w1": 1, "w2": 1}
    return {
        "name": "feature",
        "workspaces": [
            {
                "id": name,
                "weight": weight,
                "token_digests": [digest(f"token-{name}")],
            }
            for name, weight in weights.items()
        ],
        "services": services or default_services(),
        "data_centres": [
            {"id": name, "region": "ke-central"} for name in "abc"
        ],
        "announce_token_digests": [digest(ANNOUNCE_TOKEN)],
        **fields,
    }


def default_services():
    """Returns the sketch assistant and the booking desk."""
    return [
        {
            "id": "sketch",
            "version": "v1",
            "cost_meter": "tokens",
            "routes": [
                {"id": "draft", "path": "/sketch/draft", "idempotent": True},
                {"id": "ask", "path": "/sketch/ask", "idempotent": True},
            ],
        },
        {
            "id": "booking",
            "version": "v1",
            "routes": [
                {
                    "id": "read",
                    "path": "/booking",
                    "methods": ["GET"],
                    "idempotent": True,
                },
                {
                    "id": "confirm",
                    "path": "/booking",
                    "methods": ["POST"],
                    "idempotent": False,
                },
            ],
        },
    ]


def key(unique):
    """Returns an idempotency key with the date of today."""
    return f"{int(time.time())}-{unique}"
