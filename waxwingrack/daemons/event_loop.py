"""Event loop of a process: twisted's asyncio reactor and its signals.

`klein` imports the reactor, which installs the default one. So this module is
imported by the package `waxwingrack.daemons` before any other module of it.
"""

import asyncio
from collections.abc import Coroutine
import signal
import sys
from typing import Any

from twisted.internet import asyncioreactor


def _install() -> None:
    if "twisted.internet.reactor" not in sys.modules:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)


_install()


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs the reactor until a coroutine has ended; once per process.

    Args:
      main: The coroutine.

    Returns:
      What the coroutine returns.

    Raises:
      RuntimeError: Another reactor was installed before this module was
        imported.
    """
    from twisted.internet import reactor

    if not isinstance(reactor, asyncioreactor.AsyncioSelectorReactor):
        main.close()
        raise RuntimeError("the asyncio reactor is not installed")
    ended: list[asyncio.Future] = []

    def start() -> None:
        task = asyncio.ensure_future(main)
        ended.append(task)
        task.add_done_callback(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return ended[0].result()


def stop_signal() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
