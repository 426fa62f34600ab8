"""Steps for the reactor of the event loop."""

import asyncio
import json
import socket
import subprocess
import sys
import time

import behave
from twisted.internet import abstract

from features.support import fleet
from waxwingrack.daemons import event_loop

# Longest time that a scenario leaves to the loop, in seconds.
SETTLE_S = 0.4

# Starts a process whose only work is to tell how the collector is set.
_STARTED = """
import asyncio, gc, json, os, signal
from waxwingrack.commands import process
from waxwingrack.core import data

class Told:
    async def start(self):
        self.starting = gc.isenabled()
        asyncio.get_running_loop().call_later(0.1, self.tell)

    def tell(self):
        told = [self.starting, gc.isenabled(), gc.get_freeze_count()]
        print(json.dumps(told))
        os.kill(os.getpid(), signal.SIGTERM)

    async def stop(self):
        pass

nowhere = data.Address("127.0.0.1", 1)
cfg = data.Settings(data.Role.ROUTER, "r", "a", nowhere, ())
process.run(None, "", cfg, Told)
"""


class _Writer(abstract.FileDescriptor):
    """Writing end of a socket."""

    def __init__(self, reactor, sock):
        super().__init__(reactor)
        self.connected = 1
        self._sock = sock

    def fileno(self):
        """Returns the descriptor of the socket."""
        return self._sock.fileno()

    def writeSomeData(self, data):  # noqa: N802
        """Sends what the socket takes."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0


class _Reader:
    """Reading end of a socket whose bytes take some time to handle."""

    def __init__(self, work_s, brings_new_work):
        self.brings_new_work = brings_new_work
        self.read_s = None
        self.on_read = lambda: None
        self._work_s = work_s
        self.near, self.far = socket.socketpair()
        self.near.setblocking(False)

    def fileno(self):
        """Returns the descriptor of the socket."""
        return self.near.fileno()

    def doRead(self):  # noqa: N802
        """Reads the bytes and works for some time."""
        self.near.recv(64)
        self.read_s = time.monotonic()
        self.on_read()
        while time.monotonic() < self.read_s + self._work_s:
            pass

    def close(self):
        """Closes both ends."""
        self.near.close()
        self.far.close()


@behave.given("a reactor of the event loop")
def build(context):
    context.loop = asyncio.SelectorEventLoop(event_loop.TimingSelector())
    context.add_cleanup(context.loop.close)
    context.reactor = event_loop._Reactor(context.loop)


@behave.when("a delayed call of 60 ms is {change}")
def delay(context, change):
    context.made = []
    start_s = context.loop.time()
    call = context.reactor.callLater(
        0.06, lambda: context.made.append(context.loop.time() - start_s)
    )
    if "put off" in change:
        call.delay(0.06)
    if "reset" in change:
        call.reset(int(change.split()[2]) / 1000)
    if "cancelled" in change:
        call.cancel()
    context.loop.run_until_complete(asyncio.sleep(SETTLE_S))
    assert not call.active()


@behave.then("it is made {times:d} time after at least {least:d} ms")
def made(context, times, least):
    assert len(context.made) == times, context.made
    assert all(after >= least / 1000 - 1e-6 for after in context.made)


@behave.when("a delayed call raises before another one is due")
def fail(context):
    context.made = []
    context.reactor.callLater(0.01, lambda: 1 / 0)
    context.reactor.callLater(0.02, context.made.append, "other")
    context.loop.run_until_complete(asyncio.sleep(SETTLE_S))


@behave.then("the other one is made")
def other_made(context):
    assert context.made == ["other"], context.made


@behave.when("{size:d} bytes are written {order} and the peer reads late")
def write(context, size, order):
    near, far = socket.socketpair()
    for end in (near, far):
        end.setblocking(False)
        context.add_cleanup(end.close)
    context.sent = (bytes(range(256)) * (size // 256 + 1))[:size]
    writer = _Writer(context.reactor, near)
    writer.write(context.sent[: size // 2])
    writer.write(context.sent[size // 2 :])
    if order == "in this turn":
        event_loop.flush_transport(writer)
    context.received = context.loop.run_until_complete(
        _read_late(far, len(context.sent))
    )
    context.writers = context.reactor.getWriters()


async def _read_late(sock, size):
    await asyncio.sleep(0.05)
    received = b""
    async with asyncio.timeout(5):
        while len(received) < size:
            received += await asyncio.get_running_loop().sock_recv(sock, 65_536)
    # The writer needs a turn to see that all is written.
    await asyncio.sleep(0.01)
    return received


@behave.then("the peer gets all of them in order")
def got_all(context):
    assert context.received == context.sent
    assert not context.writers, context.writers


@behave.when(
    "{count:d} descriptors that bring new work are readable, for {work_ms:d} "
    "ms each"
)
def make_flood(context, count, work_ms):
    context.flood = [
        _make_reader(context, work_s=work_ms / 1000, brings_new_work=True)
        for _ in range(count)
    ]
    for reader in context.flood:
        reader.far.send(b"x")


def _make_reader(context, **arguments):
    reader = _Reader(**arguments)
    context.add_cleanup(reader.close)
    context.reactor.addReader(reader)
    return reader


@behave.when("another descriptor is readable after {reads:d} of them are read")
def make_readable(context, reads):
    context.open = _make_reader(context, work_s=0.0, brings_new_work=False)
    context.last_read_before = context.flood[reads - 1]
    context.last_read_before.on_read = lambda: context.open.far.send(b"x")
    context.loop.run_until_complete(asyncio.sleep(1.0))


@behave.then("it is read within {limit_ms:d} ms")
def read_soon(context, limit_ms):
    delay_s = context.open.read_s - context.last_read_before.read_s
    assert 0 <= delay_s <= limit_ms / 1000, delay_s


@behave.then("all descriptors that bring new work are read in order")
def all_read(context):
    times = [reader.read_s for reader in context.flood]
    assert None not in times, times
    assert times == sorted(times), times


@behave.when("the last of them is removed after {delay_ms:d} ms")
def remove_last(context, delay_ms):
    # Removed by one of the reads, as a connection that another one ends.
    remover = context.flood[delay_ms // 5]
    remover.on_read = lambda: context.reactor.removeReader(context.flood[-1])
    context.loop.run_until_complete(asyncio.sleep(1.0))


@behave.then("all but the last are read in order")
def all_but_last_read(context):
    times = [reader.read_s for reader in context.flood]
    assert times[-1] is None, times
    assert times[:-1] == sorted(times[:-1]), times


@behave.when("a process of the program starts and is stopped")
def start_process(context):
    found = subprocess.run(
        [sys.executable, "-c", _STARTED],
        cwd=fleet.ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    context.collector = json.loads(found.stdout.splitlines()[0])


@behave.then("the collector was off during its start")
def off_meanwhile(context):
    assert context.collector[0] is False, context.collector


@behave.then("it is on afterwards, without the objects of the start")
def on_afterwards(context):
    _, on, frozen = context.collector
    assert on, context.collector
    assert frozen > 0, context.collector
