"""Idle cost of a router process, and its cost per announcement."""

import time

from bench import meters
from capacity import common
from features.support import fleet

WORKSPACES = (16, 100, 350)
# Stand-ins that announce themselves once a second at the router.
SERVERS = (0, 4, 8, 16)
SECONDS = 5.0
TRAFFIC = r"waxwingrack_\w*bytes\w*"


def _usage(cluster: fleet.Fleet) -> tuple[float, float, float]:
    """Returns core share, MB and control bytes per second of the router."""
    pid = cluster.members["r1"].process.pid
    time.sleep(1)
    sent = meters.metric(cluster, "r1", TRAFFIC)
    cpu = common.cpu_s(pid)
    start = time.monotonic()
    time.sleep(SECONDS)
    spent = time.monotonic() - start
    cpu = (common.cpu_s(pid) - cpu) / spent
    sent = (meters.metric(cluster, "r1", TRAFFIC) - sent) / spent
    return cpu, common.rss_mb(pid), sent


def _series(
    name: str, found: list[tuple[int, tuple[float, float, float]]]
) -> None:
    cpu, memory, sent = (
        common.slope([(size, usage[column]) for size, usage in found])
        for column in range(3)
    )
    print(
        f"{name} slope: {cpu[0] * 1e6:.1f} us/s, {memory[0] * 1e3:.1f} kB and"
        f" {sent[0]:.1f} control bytes/s each; at 0 {cpu[1]:.2%} of a core,"
        f" {memory[1]:.1f} MB, {sent[1]:.0f} B/s"
    )


def _print(name: str, size: int, usage: tuple[float, float, float]) -> None:
    print(
        f"{name} {size:4}: {usage[0]:6.2%} of a core, {usage[1]:5.1f} MB,"
        f" {usage[2]:5.0f} control bytes/s in and out",
        flush=True,
    )


def main() -> None:
    """Prints processor time, memory and control bytes of a router."""
    cluster = fleet.Fleet(controllers=1, routers=1, proxied=False)
    try:
        cluster.start()
        found = []
        for size in WORKSPACES:
            cluster.apply(common.document(size))
            found.append((size, _usage(cluster)))
            _print("workspaces", *found[-1])
        _series("workspaces", found)
        found = []
        for size in SERVERS:
            for number in range(found[-1][0] if found else 0, size):
                cluster.add_server(f"b{number}", f"s{number % 15}")
            # The stand-ins need a moment of processor time to start.
            time.sleep(2 if size else 0)
            found.append((size, _usage(cluster)))
            _print("servers", *found[-1])
        _series("servers", found)
    finally:
        cluster.stop()
