"""Runs one controller as a process: `controller_process.py SETTINGS`."""

import asyncio
import random
import sys
import time

from twisted.internet import asyncioreactor

LOOP = asyncio.new_event_loop()
asyncio.set_event_loop(LOOP)
asyncioreactor.install(LOOP)

import signal  # noqa: E402

from waxwingrack.core import logs  # noqa: E402
from waxwingrack.daemons import controller  # noqa: E402
from waxwingrack.daemons import storage  # noqa: E402
from waxwingrack.load import settings  # noqa: E402


def monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


async def run(path: str) -> None:
    cfg = settings.load(path).unwrap()
    logs.configure(cfg.node_id, cfg.log_level)
    stopped = asyncio.Event()
    LOOP.add_signal_handler(signal.SIGTERM, stopped.set)
    process = controller.Controller(
        cfg,
        storage.DiskStorage(cfg.data_folder),
        monotonic_ms,
        random.Random(),
    )
    await process.start()
    await stopped.wait()
    await process.stop()


if __name__ == "__main__":
    LOOP.run_until_complete(run(sys.argv[1]))
