"""Fleets to measure and meters of their processes."""

import json
import os
import re
import statistics
import threading
import time

from bench import deployments
from features.support import fleet


class Utilisation:
    """Samples the busy slots of the backend servers."""

    def __init__(self, ports, slots):
        self._ports = ports
        self._slots = slots
        self._samples = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Starts sampling."""
        self._thread.start()

    def stop(self):
        """Stops sampling and returns the share of busy slots."""
        self._stop.set()
        self._thread.join()
        return statistics.fmean(self._samples)

    def _run(self):
        while not self._stop.wait(0.25):
            busy = sum(
                min(self._slots, in_flight(port)) for port in self._ports
            )
            self._samples.append(busy / (self._slots * len(self._ports)))


def in_flight(port):
    """Returns the requests running at a stand-in."""
    answer = fleet.request(port, "GET", "/-/runs")
    return json.loads(answer.body)["in_flight"]


def start_fleet(deployment, programs=None, announce_s=1.0):
    """Starts the fleet of a deployment without the fault proxy.

    Args:
      deployment: The deployment.
      programs: Programs by role, see `fleet.Fleet`.
      announce_s: Interval between two announcements of a backend server.

    Returns:
      The fleet, once the leader knows all backend servers.
    """
    cluster = fleet.Fleet(
        routers=deployment.routers, proxied=False, programs=programs
    )
    try:
        cluster.start()
        cluster.apply(
            fleet.environment(
                dict.fromkeys(deployment.workspace_ids(), 1),
                deployments.environment_services(deployment),
            )
        )
        for pool in deployment.pools:
            add_servers(cluster, pool, "v1", announce_interval_s=announce_s)
        count = sum(pool.servers for pool in deployment.pools)
        fleet.wait_until(
            lambda: announced(cluster) == count, 20, "all backend servers"
        )
    except BaseException:
        cluster.stop()
        raise
    return cluster


def announced(cluster):
    """Returns the number of backend servers that the leader knows."""
    # There is no status while another controller takes over the lead.
    status = cluster.status()
    return len(status["backend_servers"]) if status else 0


def add_servers(cluster, pool, version, mode=None, **options):
    """Starts the backend servers of a pool and returns their ports."""
    slots = deployments.ENGINE_SLOTS if pool.engine else deployments.PLAIN_SLOTS
    return [
        cluster.add_server(
            f"{pool.service}-{version}-{number}",
            pool.service,
            version=version,
            engine=pool.engine,
            slots=slots,
            token_ms=deployments.TOKEN_MS,
            token_batch_ms=deployments.TOKEN_BATCH_MS,
            data_centre="abc"[number % 3],
            mode=mode or {},
            **options,
        ).ports["requests"]
        for number in range(pool.servers)
    ]


def caller_ports(cluster):
    """Returns the callers' ports of all routers."""
    return [cluster.members[name].ports["callers"] for name in cluster.routers]


def metric(cluster, name, pattern):
    """Sums the samples of a router's metrics whose line matches."""
    port = cluster.members[name].ports["operators"]
    text = fleet.request(port, "GET", "/metrics").body.decode()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if re.match(pattern, line)
    )


def process_seconds(process_id):
    """Returns the processor time of a process in seconds."""
    with open(f"/proc/{process_id}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class ProcessorTime:
    """Processor time of the routers over a load.

    Attributes:
      spent: Processor time in seconds, once stopped.
      seconds: Time from the start to the stop.
    """

    def __init__(self, process_ids):
        self._process_ids = tuple(process_ids)
        self._start_s = time.monotonic()
        self._before = self._sum()
        self.spent = 0.0
        self.seconds = 0.0

    def stop(self):
        """Ends the measured time."""
        self.spent = self._sum() - self._before
        self.seconds = time.monotonic() - self._start_s

    def figures(self, requests):
        """Relates the processor time to the requests answered in it.

        Args:
          requests: Whole answers within the measured time.

        Returns:
          Figures by name. `requests_per_s_per_router_core` is the number of
          requests for each second of processor time (user and system) of the
          router processes; `cores_per_router` is the mean number of cores
          that one router keeps busy.
        """
        spent = max(self.spent, 1e-9)
        return {
            "requests_per_s_per_router_core": round(requests / spent, 1),
            "cores_per_router": round(
                self.spent / self.seconds / len(self._process_ids), 4
            ),
        }

    def _sum(self):
        return sum(map(process_seconds, self._process_ids))


def router_ids(cluster):
    """Returns the process ids of all routers."""
    return [cluster.members[name].process.pid for name in cluster.routers]
