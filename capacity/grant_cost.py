"""Cost of a pair of want and grant at the leader."""

import asyncio
import random

from capacity import common
from capacity import controllers

ROUTERS = 40
SERVERS = 60
RATES = (0, 100, 200, 400)
SECONDS = 5.0


async def _keep_servers(group: controllers.Group) -> None:
    while True:
        for number in range(SERVERS):
            router = group.routers[number % ROUTERS]
            router.report(announcements=(common.announcement(number),))
            await asyncio.sleep(1 / SERVERS)


async def _measure(group: controllers.Group) -> None:
    rng = random.Random(common.SEED)
    await group.connect(ROUTERS)
    servers = asyncio.ensure_future(_keep_servers(group))
    await asyncio.sleep(1.5)

    def ask(number: int) -> None:
        router = group.routers[rng.randrange(ROUTERS)]
        workspace = rng.randrange(common.WORKSPACES) + 1
        router.ask(workspace, number % common.SERVICES)

    found = []
    for rate in RATES:
        asking = asyncio.ensure_future(
            controllers.paced(rate, SECONDS + 3, ask)
        )
        await asyncio.sleep(2)
        usage = await group.usage(SECONDS)
        await asking
        if usage.grants < 0.9 * rate:
            raise RuntimeError(f"{usage.grants:.0f} of {rate} grants/s")
        found.append((usage.grants, usage))
        print(
            f"asked {rate:4}/s: {usage.grants:6.1f} grants/s, leader"
            f" {usage.leader:6.2%} of a core {usage.leader_mb:5.1f} MB,"
            f" follower {usage.follower:6.2%} {usage.peers:6.0f} B/s; in"
            f" {usage.sent:7.0f} B/s, out {usage.received:7.0f} B/s,"
            f" {usage.messages:5.0f} messages/s",
            flush=True,
        )
    servers.cancel()
    # Both ends slow down alike on a busy machine, so the ratio varies less.
    leader, fakes = (
        common.slope(
            [(grants, getattr(usage, name)) for grants, usage in found]
        )[0]
        for name in ("leader", "fakes")
    )
    print(f"slope of a grant, leader to fake routers: {leader / fakes:.2f}")
    for name, unit, scale in (
        ("leader", "us of processor time", 1e6),
        ("follower", "us of processor time", 1e6),
        ("fakes", "us of processor time of the fake routers", 1e6),
        ("sent", "bytes in", 1),
        ("received", "bytes out", 1),
        ("messages", "messages", 1),
        ("peers", "bytes of a follower in and out", 1),
    ):
        gradient, base = common.slope(
            [(grants, getattr(usage, name)) for grants, usage in found]
        )
        print(
            f"slope of a grant, {name}: {gradient * scale:.2f} {unit};"
            f" {base * scale:.0f} a second at 0"
        )


def main() -> None:
    """Prints the figures."""
    controllers.run(common.WORKSPACES, _measure)
