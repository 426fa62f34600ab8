"""Processes of the system on loopback, as the deploy file starts them."""

import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from review.common_3 import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROL_PORT = 8785
FRONT_PORT = 8783
READY_PORT = 8780
INTERNAL_PORTS = [7400, 7415]
START_S = 30.0
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
    "retryBudgetSlack": 58,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
    "coldMultiplier": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 9.5,
    "quotaWindowS": 4,
}
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
BASE_PATH = "/usr/local/bin:/usr/bin:/bin"


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the record began, in seconds."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Writes one line with its time."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


def wait_until(check, limit_s: float, what: str):
    """Waits until a check returns something true, and returns that."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        found = check()
        if found:
            return found
        time.sleep(0.05)
    raise CannotRunError(f"not in {limit_s} s: {what}")


class Machine:
    """One process of the system with an address of its own."""

    def __init__(self, owner: "Fleet", role: str, zone: str, bootstrap=True):
        self.owner = owner
        self.role = role
        self.zone = zone
        self.ip = owner.new_ip()
        self.bootstrap = bootstrap
        self.name = f"{role}-{self.ip.replace('.', '-')}"
        self.folder = owner.folder / self.name
        (self.folder / "data").mkdir(parents=True)
        self.process = None

    def start(self) -> None:
        """Writes the settings file and starts the process."""
        is_core = self.role == "controller"
        listen = (
            {"control": f"{self.ip}:{CONTROL_PORT}"}
            if is_core
            else {
                "front": f"{self.ip}:{FRONT_PORT}",
                "readinessAddr": f"{self.ip}:{READY_PORT}",
            }
        )
        settings = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if is_core else "front",
            "serves": ["control"] if is_core else ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": listen,
            "internalPorts": INTERNAL_PORTS,
            "seeds": self.owner.seeds,
            "bootstrap": self.bootstrap,
            "countsAsLoss": is_core,
            "limits": {
                "cpuShare": 0.86 if is_core else 0.537,
                "cores": 3 if is_core else 2,
                "memoryMb": 296 if is_core else self.owner.router_memory_mb,
                "maxFds": 4096,
                "linkMbps": 1000.0,
                "diskMb": 128 if is_core else 0,
            },
            "dataDir": str(self.folder / "data") if is_core else None,
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "retry", "recover"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }
        path = self.folder / "settings.yaml"
        # JSON is YAML too.
        path.write_text(json.dumps(settings, indent=1))
        role = self.owner.roles[self.role]
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        env = {
            "PATH": os.environ.get("PATH", BASE_PATH),
            "HOME": str(self.folder),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WAXWINGRACK_CONFIG": str(path),
            **role.get("env", {}),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.owner.record.write(f"{self.name} started")

    def kill(self) -> None:
        """Ends the process without notice."""
        self.process.kill()
        self.process.wait(10)
        self.owner.record.write(f"{self.name} killed")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)
        self.owner.record.write(f"{self.name} got {number.name}")

    def lose_disk(self) -> None:
        """Empties the data folder of a process that has ended."""
        shutil.rmtree(self.folder / "data")
        (self.folder / "data").mkdir()
        self.bootstrap = False
        self.owner.record.write(f"{self.name} lost its disk")


class Fleet:
    """Controllers and routers of one small deployment."""

    def __init__(
        self,
        record: Record,
        controllers: int = 5,
        routers: int = 2,
        router_memory_mb: int = 150,
    ):
        self.record = record
        self.router_memory_mb = router_memory_mb
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self._temporary = tempfile.TemporaryDirectory(prefix="waxwingrack-")
        self.folder = pathlib.Path(self._temporary.name)
        # Cases that run at the same time must not share addresses.
        self._network = f"127.{random.randrange(2, 250)}"
        self._tail = random.randrange(1, 250)
        self._hosts = itertools.count(1)
        self.seeds: list[str] = []
        zones = itertools.cycle(ZONES)
        self.controllers = [
            Machine(self, "controller", zone)
            for zone in itertools.islice(zones, controllers)
        ]
        self.seeds = [f"{m.ip}:{CONTROL_PORT}" for m in self.controllers[:3]]
        zones = itertools.cycle(ZONES)
        self.routers = [
            Machine(self, "router", zone)
            for zone in itertools.islice(zones, routers)
        ]

    def new_ip(self) -> str:
        """Returns a loopback address that nothing else in the case uses."""
        return f"{self._network}.{next(self._hosts)}.{self._tail}"

    def start(self) -> None:
        """Starts all processes and waits until a leader is known."""
        for machine in (*self.controllers, *self.routers):
            machine.start()
        wait_until(self.leader, START_S, "a leader")

    def stop(self) -> None:
        """Ends all processes."""
        for machine in (*self.controllers, *self.routers):
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait(10)
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        self._temporary.cleanup()

    def leader(self) -> Machine | None:
        """Returns the controller that leads, or None."""
        for machine in self.controllers:
            if machine.process is None or machine.process.poll() is not None:
                continue
            answer = http.call(
                machine.ip, CONTROL_PORT, "GET", "/metrics", timeout_s=1.0
            )
            if b"\nwaxwingrack_leading 1" in answer.body:
                return machine
        return None

    def control(self, method, path, document=None, timeout_s=1.0, ips=None):
        """Makes one call of the operator or of a worker, as the pages say.

        It picks controllers in turn until one gives a clear answer.
        """
        body = b"" if document is None else json.dumps(document).encode()
        ips = ips or random.sample(
            [m.ip for m in self.controllers], len(self.controllers)
        )
        answer = http.Answer()
        for ip in ips:
            port = CONTROL_PORT
            for _ in range(3):
                answer = http.call(
                    ip, port, method, path, body, timeout_s=timeout_s
                )
                if answer.status != 307:
                    break
                place = answer.header("location").split("/")[2]
                ip, _, port = place.rpartition(":")
                port = int(port)
            if answer.status and answer.status < 500:
                return answer
        return answer

    def until_acked(self, method, path, document=None, limit_s=START_S):
        """Sends an order again until it is acknowledged."""

        def is_acked():
            answer = self.control(method, path, document, 2.0)
            return answer if answer.status == 200 else None

        answer = wait_until(is_acked, limit_s, f"ack of {method} {path}")
        self.record.write(f"operator: {method} {path} acknowledged")
        return answer

    def wait_ready(self) -> None:
        """Waits until all routers say that they are ready."""
        for machine in self.routers:
            wait_until(
                lambda at=machine: (
                    http.call(
                        at.ip, READY_PORT, "GET", "/api/ready", timeout_s=1.0
                    ).status
                    == 200
                ),
                START_S,
                f"{machine.name} is ready",
            )


def run_case(folder: str, case) -> None:
    """Runs a case and exits with its result.

    Args:
      folder: Folder of the case.
      case: Function of the record and of whether there is trouble; returns
        whether the rule held.
    """
    record = Record(pathlib.Path(folder).resolve())
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begin, trouble={trouble}")
    try:
        held = case(record, trouble)
    except CannotRunError as exc:
        record.write(f"could not run: {exc}")
        print(f"could not run: {exc}")
        sys.exit(2)
    record.write("rule held" if held else "rule broken")
    print("rule held" if held else "rule broken")
    sys.exit(0 if held else 1)
