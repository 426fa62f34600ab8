"""Memory limit of the platform, and crowds of callers that misbehave."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import resource
import signal
import time

from common_2 import stage as stages

SAMPLE_S = 0.05
RESTART_S = 0.5
# Connections that a crowd opens at a time.
BATCH = 100
# Ends of a process, on two machines at least, that break the rule.
MAX_ENDS = 3


def read_memory_mb(process: stages.Process) -> float:
    """Returns the resident memory of a process; 0 if it has ended."""
    if not process.is_running():
        return 0.0
    try:
        path = pathlib.Path(f"/proc/{process.popen.pid}/status")
        text = path.read_text(encoding="utf-8")
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Ends and restarts routers that use more memory than their machine has.

    Attributes:
      ends: Number of ends by router.
      peaks: Highest use by router, in MB.
    """

    def __init__(self, stage: stages.Stage, limit_mb: float):
        self.ends = dict.fromkeys((r.name for r in stage.routers), 0)
        self.peaks = dict.fromkeys(self.ends, 0.0)
        self._stage = stage
        self._limit_mb = limit_mb

    async def watch(self, end_s: float) -> None:
        """Watches all routers until a time."""
        await asyncio.gather(
            *(self._watch(router, end_s) for router in self._stage.routers)
        )

    async def _watch(self, router: stages.Process, end_s: float) -> None:
        while time.monotonic() < end_s and not self._stage.ended:
            await asyncio.sleep(SAMPLE_S)
            used_mb = read_memory_mb(router)
            self.peaks[router.name] = max(self.peaks[router.name], used_mb)
            if used_mb <= self._limit_mb:
                continue
            self.ends[router.name] += 1
            self._stage.record.note(
                f"{router.name} uses {used_mb:.0f} MB of "
                f"{self._limit_mb:.0f} MB and is killed"
            )
            router.send_signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            router.end()
            router.start()

    def is_broken(self) -> bool:
        """Tells whether two machines had three ends each."""
        return sum(count >= MAX_ENDS for count in self.ends.values()) >= 2


async def crowd(
    router: stages.Process,
    port: int,
    count: int,
    end_s: float,
    make_bytes: Callable[[int], bytes],
) -> None:
    """Keeps a number of connections open that send bytes and stay.

    Args:
      router: Whom they come to.
      port: Its port.
      count: Number of connections.
      end_s: Time until which they stay.
      make_bytes: Returns what the connection of a number sends.
    """
    _allow_descriptors()
    numbers = 0

    async def stay() -> None:
        nonlocal numbers
        while time.monotonic() < end_s and not router.stage.ended:
            try:
                reader, writer = await asyncio.open_connection(
                    router.host, port
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            numbers += 1
            writer.write(make_bytes(numbers))
            # It reads no answer.
            writer.transport.pause_reading()
            await _wait_until_closed(router, writer, end_s)
            writer.transport.abort()
            del reader

    tasks: list[Awaitable[None]] = []
    for number in range(count):
        tasks.append(asyncio.ensure_future(stay()))
        if number % BATCH == BATCH - 1:
            await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def _wait_until_closed(
    router: stages.Process, writer: asyncio.StreamWriter, end_s: float
) -> None:
    """Waits until a connection or its router has ended.

    A connection that is not read does not notice a reset by itself.
    """
    pid = router.popen.pid
    while (
        time.monotonic() < end_s
        and not router.stage.ended
        and router.popen.pid == pid
        and not writer.transport.is_closing()
    ):
        await asyncio.sleep(0.25)


def _allow_descriptors() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def play_crowd(
    stage: stages.Stage,
    limit_mb: float,
    trouble_s: float,
    make_crowd: Callable[[stages.Process, float], Awaitable[None]],
) -> int:
    """Plays a crowd at each router and watches their memory.

    Returns:
      BROKEN if two routers were ended three times each.
    """
    end_s = time.monotonic() + trouble_s
    platform = Platform(stage, limit_mb)
    crowds = [
        asyncio.ensure_future(make_crowd(router, end_s))
        for router in (stage.routers if stages.with_trouble() else ())
    ]
    watch = asyncio.ensure_future(platform.watch(end_s))
    number = 0
    while time.monotonic() < end_s and not platform.is_broken():
        number += 1
        for router in stage.routers:
            answer = await stage.ask(
                router, "/status/2", f"sound-{number}", 2.0, Deadline_Ms="2000"
            )
            stage.record.note(
                f"sound-{number} at {router.name}: {answer.status} "
                f"{answer.error}; {read_memory_mb(router):.0f} MB"
            )
        await asyncio.sleep(0.5)
    stage.ended = True
    for task in (*crowds, watch):
        task.cancel()
    await asyncio.gather(*crowds, watch, return_exceptions=True)
    stage.record.note(f"ends {platform.ends}, peaks in MB {platform.peaks}")
    return stages.BROKEN if platform.is_broken() else stages.HELD
