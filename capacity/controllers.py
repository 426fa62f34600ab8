"""Controller processes with fake routers, shared by the measurements."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import os
import pathlib
import time

from capacity import common
from features.support import controller_fleet
from features.support import fleet

CONTROLLERS = 3
# Longest wait for the environment at all fake routers.
CONNECT_TIMEOUT_S = 10.0
# Names a folder whose code the controllers run in place of this one, so that
# two states of the code are compared under the same load.
CODE_VARIABLE = "CAPACITY_CODE"


@dataclasses.dataclass(frozen=True)
class Usage:
    """What the processes used over a time.

    Attributes:
      leader: Share of a core used by the leader.
      follower: Share of a core used by a follower, on average.
      leader_mb: Resident memory of the leader at the end, in MB.
      follower_mb: Resident memory of a follower at the end, in MB.
      sent: Bytes per second of frames sent by the fake routers.
      received: Bytes per second of frames received by the fake routers.
      messages: Messages per second in both directions.
      peers: Bytes per second that a follower received and sent.
      grants: Grants per second.
      fakes: Share of a core used by this process, with all fake routers.
    """

    leader: float
    follower: float
    leader_mb: float
    follower_mb: float
    sent: float
    received: float
    messages: float
    peers: float
    grants: float
    fakes: float


class Group:
    """Three controllers and fake routers connected to the leader.

    Attributes:
      fleet: The controller processes.
      routers: The fake routers.
      leader: Name of the leader.
      followers: Names of the other controllers.
    """

    def __init__(self, workspaces: int):
        if CODE_VARIABLE in os.environ:
            fleet.ROOT = pathlib.Path(os.environ[CODE_VARIABLE])
        self.fleet = controller_fleet.Fleet(CONTROLLERS)
        self.routers: list[common.FakeRouter] = []
        try:
            self.fleet.leader()
            status, answer = self.apply(0, common.document(workspaces))
            if status != 200:
                raise RuntimeError(f"environment refused: {status} {answer}")
            # The first leader may have lost an election by now.
            self.leader = self.fleet.leader()
        except BaseException:
            self.fleet.close()
            raise
        self.followers = [n for n in self.fleet.nodes if n != self.leader]

    def apply(self, expected: int, document: dict) -> tuple[int, object]:
        """Applies an environment; returns HTTP status and body."""
        return self.fleet.change(
            "PUT",
            "/v1/environment",
            operation=f"apply-{expected}",
            operator="capacity",
            expected=expected,
            environment=document,
        )

    def pid(self, name: str) -> int:
        """Returns the process id of a controller."""
        return self.fleet.nodes[name].process.pid

    async def connect(self, count: int) -> None:
        """Adds fake routers until there are `count`, all with a document."""
        port = self.fleet.nodes[self.leader].ports["control"]
        while len(self.routers) < count:
            router = common.FakeRouter(
                len(self.routers), port, controller_fleet.KEY
            )
            await router.open()
            self.routers.append(router)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            while not all(router.number for router in self.routers):
                await asyncio.sleep(0.05)

    async def usage(self, seconds: float) -> Usage:
        """Measures the processes over a time.

        Args:
          seconds: Length of the measurement.

        Returns:
          What the processes used.

        Raises:
          RuntimeError: A router lost the leader, so the figures are void.
        """
        names = [self.leader, *self.followers]
        before = [common.cpu_s(self.pid(name)) for name in names]
        traffic = self._traffic()
        peers = await asyncio.to_thread(self._peer_bytes)
        loop = asyncio.get_running_loop()
        start = loop.time()
        fakes = time.process_time()
        await asyncio.sleep(seconds)
        fakes = time.process_time() - fakes
        spent = loop.time() - start
        after = [common.cpu_s(self.pid(name)) for name in names]
        later = self._traffic()
        if not all(router.connected_now for router in self.routers):
            raise RuntimeError("the leader changed during the measurement")
        peers = await asyncio.to_thread(self._peer_bytes) - peers
        cpu = [
            (new - old) / spent for new, old in zip(after, before, strict=True)
        ]
        memory = [common.rss_mb(self.pid(name)) for name in names]
        rates = [
            (new - old) / spent for new, old in zip(later, traffic, strict=True)
        ]
        return Usage(
            cpu[0],
            sum(cpu[1:]) / len(cpu[1:]),
            memory[0],
            sum(memory[1:]) / len(memory[1:]),
            *rates[:3],
            peers / spent,
            rates[3],
            fakes / spent,
        )

    def _traffic(self) -> tuple[int, int, int, int]:
        counts = [router.counts for router in self.routers]
        return (
            sum(item.bytes_sent for item in counts),
            sum(item.bytes_received for item in counts),
            sum(item.messages_sent + item.messages_received for item in counts),
            sum(router.grants for router in self.routers),
        )

    def _peer_bytes(self) -> float:
        name = self.followers[0]
        return sum(
            self.fleet.metric(name, metric)
            for metric in ("bytes_sent_total", "bytes_received_total")
        )

    async def close_routers(self) -> None:
        """Disconnects the fake routers."""
        await asyncio.gather(*(router.close() for router in self.routers))


def run(workspaces: int, measure: Callable[[Group], Awaitable[None]]) -> None:
    """Runs a measurement with a new group.

    Args:
      workspaces: Number of workspaces of the environment.
      measure: The measurement.
    """
    group = Group(workspaces)

    async def main() -> None:
        try:
            await measure(group)
        finally:
            await group.close_routers()

    with contextlib.closing(group.fleet):
        asyncio.run(main())


async def paced(
    rate: float, seconds: float, action: Callable[[int], None]
) -> None:
    """Calls an action at a rate.

    Args:
      rate: Calls per second.
      seconds: Time to go on.
      action: Called with the number of the call.
    """
    loop = asyncio.get_running_loop()
    start = loop.time()
    for number in range(int(rate * seconds)):
        wait = start + number / rate - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
        action(number)
