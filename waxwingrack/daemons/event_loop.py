"""Event loop of a process: an asyncio reactor for twisted, and signals.

`klein` imports the reactor, which would install twisted's default one.
Therefore the package `waxwingrack.daemons` imports this module before its
others.
"""

# Methods that override twisted methods keep their names.
# ruff: noqa: N802

import asyncio
import collections
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

# Longest time for which a turn of the loop reads new work before it looks again
# for events of the work that has begun. One read that takes longer ends it.
NEW_WORK_SLICE_S = 0.01
# Time of costly work after which the loop does none for a while. A turn begins
# no costly step after it.
COSTLY_WORK_SLICE_S = 0.001
# Share of the time that costly work may take. Together with the cost of reading
# it stays below the use at which a router counts as saturated, so that a caller
# with costly work alone does not take a router out of the rotation.
COSTLY_WORK_SHARE = 0.4


@implementer(interfaces.IDelayedCall)
class _DelayedCall:
    """Delayed call of the reactor, implemented by an asyncio timer."""

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
        """Returns the due time on the loop's clock, in seconds."""
        return self._due_s

    def cancel(self) -> None:
        """Cancels the call."""
        self._require_active()
        self._state = "cancelled"
        self._timer.cancel()
        # A cancelled timer stays in the loop's heap for some time and would
        # keep the function and its arguments alive.
        self._call = None

    def delay(self, delay_s: float) -> None:
        """Postpones the call, counted from its due time."""
        self._reschedule(self._due_s + delay_s)

    def reset(self, delay_s: float) -> None:
        """Reschedules the call, counted from now."""
        self._reschedule(self._loop.time() + delay_s)

    def active(self) -> bool:
        """Returns whether the call is still pending."""
        return self._state == "active"

    def _require_active(self) -> None:
        if self._state == "cancelled":
            raise error.AlreadyCancelled
        if self._state == "called":
            raise error.AlreadyCalled

    def _reschedule(self, due_s: float) -> None:
        self._require_active()
        # A later due time is only checked when the timer fires, because
        # connections postpone their idle time-out with each request.
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
    """Reactor that prefers work that has begun, with less overhead.

    The reactor of twisted keeps a second heap of timers beside asyncio's, waits
    for the descriptor before each write and enters a log context for each
    event.

    Descriptors with a true attribute `brings_new_work`, of their own or of
    their protocol, are read after all others, in the order in which they became
    readable. More new work than a process can handle would otherwise delay the
    ends of the work that has begun, and the process would finish hardly any.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        # Connections to write in the next iteration of the loop.
        self._scheduled_writes: dict[Any, asyncio.Handle] = {}
        # Readable descriptors that bring new work, with the time since when.
        self._new_work: collections.OrderedDict[Any, float] = (
            collections.OrderedDict()
        )
        self._readable_since_s: float | None = None
        # Next steps of costly work, by their owners.
        self._costly_time_s = 0.0
        self._costly_after_s = 0.0
        self._costly_work: collections.OrderedDict[Any, Callable[[], None]] = (
            collections.OrderedDict()
        )
        # Descriptors that are not read before a time, with its timer.
        self._held_readers: dict[Any, asyncio.TimerHandle] = {}
        self._loop = loop
        super().__init__(loop)
        selector = getattr(loop, "_selector", None)
        self._can_defer = isinstance(selector, TimingSelector)
        if self._can_defer:
            selector.run_deferred = self._run_deferred

    def callLater(
        self, delay: float, callable: Callable, *args: Any, **kwargs: Any
    ) -> _DelayedCall:
        """Schedules a function call; see `IReactorTime`."""
        call = callable
        if args or kwargs:

            def call() -> Any:
                return callable(*args, **kwargs)

        return _DelayedCall(self._loop, delay, call)

    def seconds(self) -> float:
        """Returns the time on the clock of delayed calls, in seconds."""
        return self._loop.time()

    def stop(self) -> None:
        """Stops the reactor; see `IReactorCore`."""
        super(asyncioreactor.AsyncioSelectorReactor, self).stop()
        # The base class fires the shutdown events in this function.
        self._loop.call_soon(self.runUntilCurrent)

    def addReader(self, reader: Any) -> None:
        """Watches a descriptor for reading; see `IReactorFDSet`."""
        if reader in self._held_readers:
            # It is watched once the hold is over.
            self._readers[reader] = reader.fileno()
        elif reader not in self._readers:
            fd = reader.fileno()
            try:
                self._loop.add_reader(fd, self._handle_readable, reader)
            except OSError:
                # The selector does not support regular files; the base class
                # polls them.
                super().addReader(reader)
            else:
                self._readers[reader] = fd

    def removeReader(self, reader: Any) -> None:
        """Stops reading; see `IReactorFDSet`."""
        self._new_work.pop(reader, None)
        if reader in self._held_readers:
            self._readers.pop(reader, None)
            return
        super().removeReader(reader)

    def hold_reading(self, reader: Any, delay_s: float) -> None:
        """Does not read a descriptor for some time.

        Others may stop and resume its reading meanwhile; what they last asked
        for applies after the hold.

        Args:
          reader: Descriptor that is being read.
          delay_s: Length of the hold in seconds.
        """
        if reader not in self._readers or reader in self._held_readers:
            return
        self._new_work.pop(reader, None)
        self._loop.remove_reader(self._readers[reader])
        self._held_readers[reader] = self._loop.call_later(
            delay_s, self._end_hold, reader
        )

    def _end_hold(self, reader: Any) -> None:
        del self._held_readers[reader]
        if self._readers.pop(reader, None) is not None and (
            reader.fileno() != -1
        ):
            self.addReader(reader)

    def _handle_readable(self, reader: Any) -> None:
        if not (self._can_defer and _brings_new_work(reader)):
            self._handle_event(reader, True)
        elif reader not in self._new_work:
            self._new_work[reader] = self._loop.time()

    def _read_new_work(self) -> bool:
        """Reads new work for at most a slice of time.

        Returns:
          Whether anything was read, so that the loop must not wait.
        """
        if not self._new_work:
            return False
        end_s = self._loop.time() + NEW_WORK_SLICE_S
        while self._new_work and self._loop.time() < end_s:
            reader, self._readable_since_s = self._new_work.popitem(last=False)
            self._handle_event(reader, True)
        self._readable_since_s = None
        return True

    def _run_deferred(self) -> bool:
        has_read = self._read_new_work()
        return self._do_costly_work() or has_read

    def do_costly(self, owner: Any, call: Callable[[], None]) -> bool:
        """Schedules a step of costly work after new work.

        Args:
          owner: Whose work it is; it has one next step at most.
          call: The step.

        Returns:
          False if the loop cannot defer work.
        """
        if self._can_defer:
            self._costly_work.setdefault(owner, call)
        return self._can_defer

    def count_costly(self) -> int:
        """Returns how many owners have costly work to do."""
        return len(self._costly_work)

    def _do_costly_work(self) -> bool:
        """Does costly steps for a slice of time, but at least one.

        Returns:
          Whether any was done, so that the loop must not wait.
        """
        start_s = self._loop.time()
        if not self._costly_work or start_s < self._costly_after_s:
            return False
        end_s = start_s + COSTLY_WORK_SLICE_S
        for _ in range(len(self._costly_work)):
            _, call = self._costly_work.popitem(last=False)
            try:
                call()
            except Exception:  # noqa: BLE001
                _LOG.failure("costly work failed")
            if not self._costly_work or self._loop.time() >= end_s:
                break
        self._pause_costly_work(start_s)
        return True

    def _pause_costly_work(self, start_s: float) -> None:
        """Leaves other work its share of the time after costly work.

        Args:
          start_s: Time at which the costly work began, in seconds.
        """
        now_s = self._loop.time()
        self._costly_time_s += now_s - start_s
        if self._costly_time_s < COSTLY_WORK_SLICE_S:
            return
        pause_s = self._costly_time_s * (1 / COSTLY_WORK_SHARE - 1)
        self._costly_time_s = 0.0
        self._costly_after_s = now_s + pause_s
        # The loop looks for costly work before it waits for events, so it must
        # not wait longer than this.
        self._loop.call_at(self._costly_after_s, int)

    def awaits_reading(self, reader: Any) -> bool:
        """Returns whether a descriptor is readable and not read yet."""
        return reader in self._new_work

    def read_delay_s(self) -> float:
        """Returns how long ago the descriptor that is read became readable.

        It is 0 where new work is not deferred, and outside of its reading.
        """
        if self._readable_since_s is None:
            return 0.0
        return self._loop.time() - self._readable_since_s

    def addWriter(self, writer: Any) -> None:
        """Schedules a write; see `IReactorFDSet`.

        The write is tried in the next iteration of the loop. The descriptor is
        watched only for data that could not be written then.
        """
        if writer not in self._scheduled_writes and writer not in self._writers:
            self._scheduled_writes[writer] = self._loop.call_soon(
                self._write_scheduled, writer
            )

    def removeWriter(self, writer: Any) -> None:
        """Stops writing; see `IReactorFDSet`."""
        handle = self._scheduled_writes.pop(writer, None)
        if handle is not None:
            handle.cancel()
        else:
            super().removeWriter(writer)

    def getWriters(self) -> list[Any]:
        """Returns the descriptors with data to write; see `IReactorFDSet`."""
        return [*super().getWriters(), *self._scheduled_writes]

    def flush(self, writer: Any) -> None:
        """Writes data at once that is scheduled for the next iteration.

        Errors are handled in that iteration, so that no connection ends while
        the caller of this method runs.

        Args:
          writer: A transport; it is ignored if it has no scheduled write.
        """
        if writer in self._scheduled_writes and not getattr(
            writer, "disconnecting", True
        ):
            writer.doWrite()

    def _write_scheduled(self, writer: Any) -> None:
        handle = self._scheduled_writes[writer]
        self._handle_event(writer, False)
        if self._scheduled_writes.get(writer) is not handle:
            # All data is written, or the connection has ended.
            return
        del self._scheduled_writes[writer]
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


def _brings_new_work(reader: Any) -> bool:
    subject = getattr(reader, "protocol", None) or reader
    return getattr(subject, "brings_new_work", False)


class TimingSelector(selectors.DefaultSelector):
    """Selector that measures how long its loop waits for events.

    Attributes:
      run_deferred: Called before each wait, when the events of the last one are
        handled; the loop does not wait if it returns true.
      wait_time_s: Total waiting time, in seconds.
      wait_count: Number of calls of `select`.
    """

    def __init__(self):
        super().__init__()
        self.run_deferred: Callable[[], bool] | None = None
        self.wait_time_s = 0.0
        self.wait_count = 0

    def select(self, timeout: float | None = None) -> list:
        """Waits for events; see `selectors.BaseSelector`."""
        if self.run_deferred is not None and self.run_deferred():
            timeout = 0
        start_s = time.monotonic()
        try:
            return super().select(timeout)
        finally:
            self.wait_time_s += time.monotonic() - start_s
            self.wait_count += 1


_PROCESS_SELECTOR = TimingSelector()


class BusyMeter:
    """Measures the share of time in which an event loop is busy."""

    def __init__(self, selector: TimingSelector = _PROCESS_SELECTOR):
        """Starts to measure.

        Args:
          selector: Selector of the loop; the selector of the process by
            default.
        """
        self._selector = selector
        self._last_read_s = time.monotonic()
        self._last_wait_time_s = selector.wait_time_s
        self._last_wait_count = selector.wait_count

    def read(self) -> float:
        """Returns the busy share since the last call, from 0 to 1.

        The share is 0 if the loop uses another selector.
        """
        now_s, wait_time_s = time.monotonic(), self._selector.wait_time_s
        previous_count, self._last_wait_count = (
            self._last_wait_count,
            self._selector.wait_count,
        )
        if previous_count == self._last_wait_count:
            return 0.0
        elapsed_s = now_s - self._last_read_s
        idle_s = wait_time_s - self._last_wait_time_s
        self._last_read_s, self._last_wait_time_s = now_s, wait_time_s
        return max(0.0, 1.0 - idle_s / elapsed_s) if elapsed_s > 0 else 0.0


def _install_reactor() -> None:
    if "twisted.internet.reactor" not in sys.modules:
        loop = asyncio.SelectorEventLoop(_PROCESS_SELECTOR)
        asyncio.set_event_loop(loop)
        internet_main.installReactor(_Reactor(loop))


_install_reactor()


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs the reactor until a coroutine ends; at most once per process.

    Args:
      main: The coroutine.

    Returns:
      The result of the coroutine.

    Raises:
      RuntimeError: Another reactor was installed before this module was
        imported.
    """
    from twisted.internet import reactor

    if not isinstance(reactor, asyncioreactor.AsyncioSelectorReactor):
        main.close()
        raise RuntimeError("the asyncio reactor is not installed")
    main_tasks: list[asyncio.Future] = []

    def start() -> None:
        task = asyncio.ensure_future(main)
        main_tasks.append(task)
        task.add_done_callback(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return main_tasks[0].result()


def flush_transport(transport: Any) -> None:
    """Writes the buffered data of a transport without waiting for the loop.

    Args:
      transport: Transport of a connection whose peer waits for the data.
    """
    reactor = getattr(transport, "reactor", None)
    if isinstance(reactor, _Reactor):
        reactor.flush(transport)


def awaits_reading(reactor: Any, transport: Any) -> bool:
    """Tells whether bytes of a connection wait to be read.

    Args:
      reactor: Reactor that reads them.
      transport: Transport of the connection.
    """
    return isinstance(reactor, _Reactor) and reactor.awaits_reading(transport)


def do_costly(reactor: Any, owner: Any, call: Callable[[], None]) -> bool:
    """Schedules a step of costly work; other work goes first.

    Args:
      reactor: Reactor that does it.
      owner: Whose work it is; a second step before the first is ignored.
      call: The step.

    Returns:
      False if the reactor is of another kind, or cannot defer work.
    """
    return isinstance(reactor, _Reactor) and reactor.do_costly(owner, call)


def count_costly(reactor: Any) -> int:
    """Returns how many owners have costly work to do.

    Args:
      reactor: Reactor that does it; 0 for one of another kind.
    """
    return reactor.count_costly() if isinstance(reactor, _Reactor) else 0


def hold_reading(transport: Any, delay_s: float) -> None:
    """Does not read a connection for some time.

    Args:
      transport: Transport of the connection; nothing is done for one of a
        reactor of another kind.
      delay_s: Length of the hold in seconds.
    """
    reactor = getattr(transport, "reactor", None)
    if isinstance(reactor, _Reactor):
        reactor.hold_reading(transport, delay_s)


def find_read_delay_s(reactor: Any) -> float:
    """Returns how long the bytes that are being read have waited, in seconds.

    Args:
      reactor: Reactor that reads them; 0 for one of another kind.
    """
    return reactor.read_delay_s() if isinstance(reactor, _Reactor) else 0.0


def to_deferred(coroutine: Coroutine[Any, Any, Any]) -> defer.Deferred:
    """Runs an asyncio coroutine and returns it as a twisted deferred."""
    return defer.Deferred.fromFuture(asyncio.ensure_future(coroutine))


def call_on_sighup(call: Callable[[], None]) -> None:
    """Registers a function to be called on each SIGHUP."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, call)


def make_stop_event() -> asyncio.Event:
    """Returns an event that is set on SIGTERM or SIGINT."""
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    return stop_event
