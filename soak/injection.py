"""Faults of the soak, and the thread that injects and repairs them.

Most are those of the fault matrix; this module adds planned stops, changes by
operators that race each other, and backend servers that misbehave.
"""

import contextlib
import json
import logging
import threading
import time
import uuid

from features.support import faults
from features.support import fleet
from soak import checks
from soak import plan

# Faults that take controllers out. Three of them bear the loss of one.
OF_CONTROLLERS = frozenset(
    {
        "leader killed",
        "leader cut both ways",
        "leader frozen",
        "leader's disk lost",
        "leader stopped",
        "follower killed",
        "all controllers restart",
        "router cut and leader killed",
        "router frozen and leader killed",
        "leader and server killed",
    }
)
PLANNED = checks.PLANNED
OF_ROUTERS_AND_LINKS = (
    "router killed",
    "router restarts empty",
    "router cut both ways",
    "router cut one way out",
    "router cut one way in",
    "router frozen",
    "slow links",
    "links reset",
)
OF_SERVERS = (
    "server killed",
    "server frozen",
    "answer lost",
    "server fails",
    "server cuts answers",
    "server says that it leaves",
    "server departs and is announced late",
    "server asks for pauses",
)
ALL = (
    *sorted(OF_CONTROLLERS),
    *sorted(PLANNED),
    *OF_ROUTERS_AND_LINKS,
    *OF_SERVERS,
)
# Longest time in which a stopped process ends once all faults are repaired, in
# seconds: the longest wait of a caller, and some for closing connections.
STOP_TIMEOUT_S = 20.0
# Longest pause within a call of an operator in a race, in seconds.
RACE_TIMEOUT_S = 3.0

_LOG = logging.getLogger(__name__)


@faults.FAULTS.register("router stopped")
def _router_stopped(cluster, router, server):
    _stop(cluster, router)


@faults.FAULTS.register("leader stopped")
def _leader_stopped(cluster, router, server):
    _stop(cluster, cluster.last_leader)


def _stop(cluster, name):
    member = cluster.members[name]
    if member.alive:
        member.terminate()
        cluster.stopping.append((name, member.process))


@faults.FAULTS.register("operators race")
def _operators_race(cluster, router, server):
    """Two operators change the environment under the same number."""
    answer = cluster.operate("GET", "/v1/environment", timeout_s=RACE_TIMEOUT_S)
    if answer.status != 200:
        return
    number = json.loads(answer.body)["number"]

    def apply(name):
        body = {
            "operation": str(uuid.uuid4()),
            "operator": name,
            "expected": number,
            "environment": cluster.document,
        }
        with contextlib.suppress(OSError, AssertionError):
            found = cluster.operate(
                "PUT", "/v1/environment", body, timeout_s=RACE_TIMEOUT_S
            )
            if found.status == 200 and found.whole:
                cluster.acknowledged.append(json.loads(found.body)["number"])

    for name in ("ann", "ben"):
        threading.Thread(target=apply, args=(name,), daemon=True).start()


def _switch(cluster, server, **mode):
    port = cluster.members[server].ports["requests"]
    fleet.request(port, "PUT", "/-/mode", mode, timeout_s=2.0)


@faults.FAULTS.register("server fails")
def _server_fails(cluster, router, server):
    _switch(cluster, server, errors=0.5)
    return lambda: _switch(cluster, server, errors=0.0)


@faults.FAULTS.register("server cuts answers")
def _server_cuts(cluster, router, server):
    _switch(cluster, server, cut=True)
    return lambda: _switch(cluster, server, cut=False)


def _read_counts(cluster, server):
    """Returns the counts of a stand-in, None if it cannot be asked."""
    port = cluster.members[server].ports["requests"]
    answer = fleet.request(port, "GET", "/-/runs", timeout_s=2.0)
    return json.loads(answer.body) if answer.status == 200 else None


def _watch_departure(cluster, server, act_after_drain=lambda: None):
    """Watches what a server gets after its departure has become known.

    Args:
      cluster: The fleet.
      server: Server that leaves now.
      act_after_drain: Called `checks.DRAIN_S` later.

    Returns:
      Function that ends the server and records what it got.
    """
    told_s, process = time.monotonic(), cluster.members[server].process
    counts = {}

    def handle_drain_end():
        with contextlib.suppress(OSError):
            counts["drained"] = _read_counts(cluster, server)
            act_after_drain()

    timer = threading.Timer(checks.DRAIN_S, handle_drain_end)
    timer.daemon = True
    timer.start()

    def repair():
        member = cluster.members[server]
        drained, last = counts.get("drained"), None
        if member.process is process and member.alive:
            last = _read_counts(cluster, server)
            member.kill()
        if drained and last:
            cluster.departures.append(
                checks.Departure(
                    server,
                    told_s,
                    time.monotonic(),
                    last["served"] - drained["served"],
                )
            )

    return repair


@faults.FAULTS.register("server says that it leaves")
def _server_says_that_it_leaves(cluster, router, server):
    _switch(cluster, server, leaving=True)
    return _watch_departure(cluster, server)


def _announce(cluster, server, announcement):
    """Announces a server at the first router that acknowledges it.

    Returns:
      Whether a router acknowledged it.
    """
    for router in cluster.routers:
        with contextlib.suppress(OSError):
            answer = cluster.call(
                router,
                "PUT",
                f"/-/backend-servers/{server}",
                announcement,
                token=fleet.ANNOUNCE_TOKEN,
                timeout_s=1.0,
            )
            if answer.status == 204:
                return True
    return False


@faults.FAULTS.register("server departs and is announced late")
def _server_departs(cluster, router, server):
    port = cluster.members[server].ports["requests"]
    answer = fleet.request(port, "GET", "/-/announcement", timeout_s=2.0)
    if answer.status != 200:
        # The request that crashes servers may have struck it.
        raise OSError(f"{server} is down")
    late = json.loads(answer.body)
    _switch(cluster, server, silent=True)
    if not _announce(cluster, server, late | {"departing": True}):
        return lambda: _switch(cluster, server, silent=False)
    return _watch_departure(
        cluster, server, lambda: _announce(cluster, server, late)
    )


@faults.FAULTS.register("server asks for pauses")
def _server_asks_for_pauses(cluster, router, server):
    before = _read_counts(cluster, server)
    start_s = time.monotonic()
    _switch(
        cluster,
        server,
        busy_path="/",
        retry_after=f"{checks.PAUSE_S:g}",
    )

    def repair():
        last = _read_counts(cluster, server)
        _switch(cluster, server, busy_path="")
        if before and last and last["turned_away"] >= before["turned_away"]:
            cluster.pauses.append(
                checks.Paused(
                    server,
                    time.monotonic() - start_s,
                    last["turned_away"] - before["turned_away"],
                )
            )

    return repair


class Injector(threading.Thread):
    """Injects the faults of a plan and repairs them.

    Attributes:
      failures: Exceptions of faults that could not be injected or repaired.
    """

    def __init__(self, cluster, steps):
        """Prepares the thread.

        Args:
          cluster: The fleet.
          steps: The plan.
        """
        super().__init__(daemon=True)
        self.failures: list[tuple[plan.Step, BaseException]] = []
        self._cluster = cluster
        self._steps = steps

    def run(self):
        """Plays the plan, in order of starts and repairs."""
        start_s = time.monotonic()
        due = [(step.at_s, 0, step) for step in self._steps]
        due += [(step.end_s, 1, step) for step in self._steps]
        repairs = {}
        for at_s, repairing, step in sorted(due, key=lambda item: item[:2]):
            time.sleep(max(0.0, start_s + at_s - time.monotonic()))
            try:
                if repairing:
                    self._repair(step, repairs.pop(step, None))
                else:
                    repairs[step] = self._strike(step)
            except Exception as exc:  # noqa: BLE001
                _LOG.warning("%s at %s s: %r", step.fault, at_s, exc)
                self.failures.append((step, exc))

    def _strike(self, step):
        cluster = self._cluster
        with contextlib.suppress(OSError):
            cluster.last_leader = cluster.leader() or cluster.last_leader
        return faults.FAULTS[step.fault](cluster, step.router, step.server)

    def _repair(self, step, repair):
        if repair is not None:
            repair()
        for member in self._cluster.members.values():
            # Another step may still have this process down or frozen; its own
            # repair finds it running.
            if not member.alive:
                member.start()
