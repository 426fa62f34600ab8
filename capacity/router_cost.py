"""Idle cost of a router process against the size of the environment."""

import time

from bench import __main__ as bench
from capacity import common
from features.support import fleet

WORKSPACES = (16, 100, 350)
SECONDS = 8.0
TRAFFIC = r"waxwingrack_\w*bytes\w*"


def main() -> None:
    """Prints processor time, memory and control bytes of an idle router."""
    points = []
    cluster = fleet.Fleet(controllers=1, routers=1, proxied=False)
    try:
        cluster.start()
        member = cluster.members["r1"]
        for size in WORKSPACES:
            cluster.apply(common.document(size))
            time.sleep(1)
            sent = bench.metric(cluster, "r1", TRAFFIC)
            cpu = common.cpu_s(member.process.pid)
            start = time.monotonic()
            time.sleep(SECONDS)
            spent = time.monotonic() - start
            cpu = (common.cpu_s(member.process.pid) - cpu) / spent
            sent = (bench.metric(cluster, "r1", TRAFFIC) - sent) / spent
            memory = common.rss_mb(member.process.pid)
            print(
                f"{size:4} workspaces: {cpu:6.2%} of a core, {memory:5.1f} MB,"
                f" {sent:5.0f} control bytes/s in and out",
                flush=True,
            )
            points.append((size, memory))
    finally:
        cluster.stop()
    gradient, base = common.slope(points)
    print(
        f"slope: {gradient * 1e3:.1f} kB of memory a workspace,"
        f" {base:.1f} MB at 0"
    )
