"""Steps for the reactor of the event loop."""

import asyncio
import socket

import behave
from twisted.internet import abstract

from waxwingrack.daemons import event_loop

# Longest time that a scenario leaves to the loop, in seconds.
SETTLE_S = 0.4


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


@behave.given("a reactor of the event loop")
def build(context):
    context.loop = asyncio.new_event_loop()
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
        event_loop.write_now(writer)
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
