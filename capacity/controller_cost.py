"""Cost of connected idle routers and of announcements at a controller."""

import asyncio

from capacity import common
from capacity import controllers

ROUTERS = (0, 10, 40, 120)
# Announcements per second, through 40 routers.
RATES = (0, 100, 200, 400)
ANNOUNCING_ROUTERS = 40
SECONDS = 4.0


def _print(name: str, value: int, usage: controllers.Usage) -> None:
    print(
        f"{name} {value:4}: leader {usage.leader:6.2%} of a core"
        f" {usage.leader_mb:5.1f} MB, follower {usage.follower:6.2%}"
        f" {usage.follower_mb:5.1f} MB and {usage.peers:5.0f} B/s;"
        f" routers sent {usage.sent:6.0f} B/s, received"
        f" {usage.received:6.0f} B/s, {usage.messages:5.0f} messages/s",
        flush=True,
    )


def _slopes(name: str, found: list[tuple[int, controllers.Usage]]) -> None:
    leader = common.slope([(size, item.leader) for size, item in found])
    memory = common.slope([(size, item.leader_mb) for size, item in found])
    sent = common.slope([(size, item.sent) for size, item in found])
    received = common.slope([(size, item.received) for size, item in found])
    print(
        f"{name} slope: leader {leader[0] * 1e6:.0f} us/s and"
        f" {memory[0] * 1e3:.0f} kB each, {leader[1]:.2%} of a core and"
        f" {memory[1]:.1f} MB at 0; in {sent[0]:.0f} B/s, out"
        f" {received[0]:.0f} B/s each"
    )


async def _measure(group: controllers.Group) -> None:
    found = []
    for count in ROUTERS:
        await group.connect(count)
        await group.usage(1.0)
        found.append((count, await group.usage(SECONDS)))
        if count == ANNOUNCING_ROUTERS:
            await _announce(group)
        _print("idle routers", *found[-1])
    _slopes("idle routers", found)


async def _announce(group: controllers.Group) -> None:
    found = []
    for rate in RATES:

        def send(number: int, rate: int = rate) -> None:
            # Every server announces itself once a second.
            router = group.routers[number % len(group.routers)]
            router.report(announcements=(common.announcement(number % rate),))

        sending = asyncio.ensure_future(
            controllers.paced(rate, SECONDS + 2, send)
        )
        await asyncio.sleep(1)
        found.append((rate, await group.usage(SECONDS)))
        await sending
        _print("announcements/s", *found[-1])
    _slopes("announcements/s", found)


def main() -> None:
    """Prints the figures."""
    controllers.run(common.WORKSPACES, _measure)
