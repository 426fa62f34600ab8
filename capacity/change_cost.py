"""Time and bytes from an accepted change until it is in force."""

import asyncio
import time

from capacity import common
from capacity import controllers

ROUTERS = (10, 40, 120)
CHANGES = 5
PAUSE_S = 0.3


async def _change(
    group: controllers.Group, number: int
) -> tuple[float, float, float, float]:
    """Returns seconds to acceptance and to the last push, bytes, CPU."""
    before = sum(router.counts.bytes_received for router in group.routers)
    cpu = common.cpu_s(group.pid(group.leader))
    document = common.document(common.WORKSPACES, f"change-{number}")
    start = time.monotonic()
    status, answer = await asyncio.to_thread(group.apply, number, document)
    if status != 200:
        raise RuntimeError(f"change refused: {status} {answer}")
    accepted = time.monotonic() - start
    while any(router.number <= number for router in group.routers):
        await asyncio.sleep(0.005)
    last = max(router.pushed_s for router in group.routers) - start
    await asyncio.sleep(PAUSE_S)
    received = sum(router.counts.bytes_received for router in group.routers)
    spent = common.cpu_s(group.pid(group.leader)) - cpu
    return accepted, last, received - before, spent


async def _measure(group: controllers.Group) -> None:
    points = []
    for count in ROUTERS:
        await group.connect(count)
        await asyncio.sleep(1)
        number = max(router.number for router in group.routers)
        found = []
        for step in range(CHANGES):
            found.append(await _change(group, number + step))
        accepted, last, received, spent = (
            sorted(column) for column in zip(*found, strict=True)
        )
        middle = CHANGES // 2
        print(
            f"{count:4} routers: accepted after {accepted[middle] * 1e3:.0f}"
            f" ms, in force at the last after {last[middle] * 1e3:.0f} ms"
            f" (longest {last[-1] * 1e3:.0f} ms; wall time, median of"
            f" {CHANGES}), {received[middle] / count:.0f} bytes a router,"
            f" leader {sum(spent) / CHANGES * 1e3:.0f} ms of processor time"
            " a change with its idle work",
            flush=True,
        )
        points.append((count, last[middle]))
    gradient, base = common.slope(points)
    print(
        f"slope: {gradient * 1e3:.2f} ms a router, {base * 1e3:.0f} ms at 0;"
        f" at {common.ROUTERS} routers"
        f" {(base + gradient * common.ROUTERS) * 1e3:.0f} ms"
    )


def main() -> None:
    """Prints the figures."""
    controllers.run(common.WORKSPACES, _measure)
