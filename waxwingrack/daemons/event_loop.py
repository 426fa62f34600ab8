"""Event loop of a process: twisted's asyncio reactor and its signals.

`klein` imports the reactor, which installs the default one. So this module is
imported by the package `waxwingrack.daemons` before any other module of it.
"""

# Methods that override those of twisted keep its names.
# ruff: noqa: N802

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import selectors
import signal
import sys
import time
from typing import Any

from twisted import logger
from twisted.internet import asyncioreactor
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import main as internet_main
from zope.interface import implementer

_LOG = logger.Logger()


@implementer(interfaces.IDelayedCall)
class _DelayedCall:
    """Delayed call of the reactor on a timer of asyncio."""

    __slots__ = ("_call", "_due_s", "_loop", "_state", "_timer")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        delay_s: float,
        call: Callable[[], Any],
    ):
        self._loop = loop
        self._call = call
        self._state = "active"
        self._due_s = loop.time() + delay_s
        self._timer = loop.call_at(self._due_s, self._run)

    def getTime(self) -> float:
        """Returns the time of the call on the loop's clock, in seconds."""
        return self._due_s

    def cancel(self) -> None:
        """Cancels the call."""
        self._require_active()
        self._state = "cancelled"
        self._timer.cancel()
        # A cancelled timer stays in the loop's heap for some time.
        self._call = None

    def delay(self, delay_s: float) -> None:
        """Puts the call off."""
        self._move(self._due_s + delay_s)

    def reset(self, delay_s: float) -> None:
        """Puts the call off, counted from now."""
        self._move(self._loop.time() + delay_s)

    def active(self) -> bool:
        """Whether the call is still to come."""
        return self._state == "active"

    def _require_active(self) -> None:
        if self._state == "cancelled":
            raise error.AlreadyCancelled
        if self._state == "called":
            raise error.AlreadyCalled

    def _move(self, due_s: float) -> None:
        self._require_active()
        # A later time is looked at when the timer fires; connections put off
        # their idle time-out with each request.
        if due_s < self._due_s:
            self._timer.cancel()
            self._timer = self._loop.call_at(due_s, self._run)
        self._due_s = due_s

    def _run(self) -> None:
        if self._due_s > self._loop.time():
            self._timer = self._loop.call_at(self._due_s, self._run)
            return
        self._state = "called"
        call, self._call = self._call, None
        try:
            call()
        except Exception:  # noqa: BLE001
            _LOG.failure("delayed call failed")


class _Reactor(asyncioreactor.AsyncioSelectorReactor):
    """Reactor with less work for each event of a connection.

    Twisted's own keeps a second heap of timers beside that of asyncio, waits
    for the descriptor before each write and enters a log context for each
    event.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        # Connections to write in the next turn of the loop.
        self._soon: dict[Any, asyncio.Handle] = {}
        self._loop = loop
        super().__init__(loop)

    def callLater(
        self, delay: float, callable: Callable, *args: Any, **kwargs: Any
    ) -> _DelayedCall:
        """Calls a function later; see `IReactorTime`."""
        call = callable
        if args or kwargs:

            def call() -> Any:
                return callable(*args, **kwargs)

        return _DelayedCall(self._loop, delay, call)

    def seconds(self) -> float:
        """Returns the clock of delayed calls in seconds."""
        return self._loop.time()

    def stop(self) -> None:
        """Ends the reactor; see `IReactorCore`."""
        super(asyncioreactor.AsyncioSelectorReactor, self).stop()
        # The base class fires the shutdown events in this function.
        self._loop.call_soon(self.runUntilCurrent)

    def addReader(self, reader: Any) -> None:
        """Watches a descriptor; see `IReactorFDSet`."""
        if reader not in self._readers:
            fd = reader.fileno()
            try:
                self._loop.add_reader(fd, self._handle_event, reader, True)
            except OSError:
                # A file; the base class polls it.
                super().addReader(reader)
            else:
                self._readers[reader] = fd

    def addWriter(self, writer: Any) -> None:
        """Writes in the next turn, and watches what could not be written."""
        if writer not in self._soon and writer not in self._writers:
            self._soon[writer] = self._loop.call_soon(self._write, writer)

    def removeWriter(self, writer: Any) -> None:
        """Ends the writing; see `IReactorFDSet`."""
        handle = self._soon.pop(writer, None)
        if handle is not None:
            handle.cancel()
        else:
            super().removeWriter(writer)

    def getWriters(self) -> list[Any]:
        """Returns the descriptors that wait to be written."""
        return [*super().getWriters(), *self._soon]

    def flush(self, writer: Any) -> None:
        """Writes what would be written in the next turn.

        Errors are left to that turn, so that no connection ends within the
        caller of this method.

        Args:
          writer: A transport; others than those of this reactor are ignored.
        """
        if writer in self._soon and not getattr(writer, "disconnecting", True):
            writer.doWrite()

    def _write(self, writer: Any) -> None:
        handle = self._soon[writer]
        self._handle_event(writer, False)
        if self._soon.get(writer) is not handle:
            # All is written, or the connection has ended.
            return
        del self._soon[writer]
        fd = writer.fileno()
        try:
            self._loop.add_writer(fd, self._handle_event, writer, False)
        except OSError:
            super().addWriter(writer)
        else:
            self._writers[writer] = fd

    def _handle_event(self, selectable: Any, read: bool) -> None:
        try:
            self._readOrWrite(selectable, read)
        except Exception:  # noqa: BLE001
            _LOG.failure("connection event failed")


class TimingSelector(selectors.DefaultSelector):
    """Selector that counts the time in which its loop waits for events.

    Attributes:
      waited_s: That time, in seconds.
      waits: How often the loop has looked for events.
    """

    def __init__(self):
        super().__init__()
        self.wait_time_s = 0.0
        self.wait_count = 0

    def select(self, timeout: float | None = None) -> list:
        """Waits for events; see `selectors.BaseSelector`."""
        start_s = time.monotonic()
        try:
            return super().select(timeout)
        finally:
            self.wait_time_s += time.monotonic() - start_s
            self.wait_count += 1


_SELECTOR = TimingSelector()


class BusyMeter:
    """Tells which share of the time an event loop is busy."""

    def __init__(self, selector: TimingSelector = _SELECTOR):
        """Starts to measure.

        Args:
          selector: Selector of the loop; by default that of the process.
        """
        self._selector = selector
        self._at_s = time.monotonic()
        self._waited_s = selector.wait_time_s
        self._waits = selector.wait_count

    def read(self) -> float:
        """Returns the busy share since the last call, from 0 to 1.

        It is 0 if the loop runs with another selector.
        """
        now_s, waited_s = time.monotonic(), self._selector.wait_time_s
        waits, self._waits = self._waits, self._selector.wait_count
        if waits == self._waits:
            return 0.0
        elapsed_s = now_s - self._at_s
        idle_s = waited_s - self._waited_s
        self._at_s, self._waited_s = now_s, waited_s
        return max(0.0, 1.0 - idle_s / elapsed_s) if elapsed_s > 0 else 0.0


def _install() -> None:
    if "twisted.internet.reactor" not in sys.modules:
        loop = asyncio.SelectorEventLoop(_SELECTOR)
        asyncio.set_event_loop(loop)
        internet_main.installReactor(_Reactor(loop))


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


def flush_transport(transport: Any) -> None:
    """Writes in this turn of the loop what a transport has buffered.

    Args:
      transport: Transport whose peer waits for what was written last.
    """
    reactor = getattr(transport, "reactor", None)
    if isinstance(reactor, _Reactor):
        reactor.flush(transport)


def to_deferred(coroutine: Coroutine[Any, Any, Any]) -> defer.Deferred:
    """Runs a coroutine of asyncio where twisted expects a deferred."""
    return defer.Deferred.fromFuture(asyncio.ensure_future(coroutine))


def call_on_sighup(call: Callable[[], None]) -> None:
    """Calls a function at each SIGHUP."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, call)


def make_stop_event() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
