"""Steps for the decisions about what one connection may cost."""

import asyncio
import collections
import itertools
import time

import behave
from twisted.internet import address
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import resource
from zope.interface import implementer

from waxwingrack.daemons import body_limits
from waxwingrack.daemons import event_loop
from waxwingrack.operations import connection_budgets


@behave.then(
    "the budget of a body of {parts:d} chunks with {size:d} bytes beside "
    "{waiting:d} costly connections says {verdict}"
)
def judge_body(_, parts, size, waiting, verdict):
    use = connection_budgets.BodyUse(parts, size)
    found = connection_budgets.judge_body(use, waiting)
    assert found == verdict, found


@behave.then(
    "the budget of {count:d} waiting requests with a limit of {limit:d} says "
    "{verdict}"
)
def judge_pipeline(_, count, limit, verdict):
    received = b"GET /sketch/a HTTP/1.1\r\nHost: x\r\n\r\n" * count
    found = connection_budgets.judge_pipeline(received, limit)
    assert found == verdict, found


@behave.then("the waits for unread answers are {waits} seconds")
def waits_for_unread(_, waits):
    expected = [float(wait) for wait in waits.split(",")]
    found = itertools.accumulate(
        expected,
        lambda last, _: connection_budgets.next_unread_check_s(last),
        initial=0.0,
    )
    assert [*found][1:] == expected, expected


@behave.given(
    "{owners:d} owners of costly steps of {step_ms:d} milliseconds on an event "
    "loop"
)
def costly_owners(context, owners, step_ms):
    context.loop = asyncio.SelectorEventLoop(event_loop.TimingSelector())
    context.add_cleanup(context.loop.close)
    reactor = event_loop._Reactor(context.loop)
    context.steps = collections.Counter()
    context.costly_s = 0.0

    def step(owner):
        start_s = context.loop.time()
        time.sleep(step_ms / 1000)
        context.steps[owner] += 1
        reactor.do_costly(owner, lambda: step(owner))
        context.costly_s += context.loop.time() - start_s

    for owner in range(owners):
        reactor.do_costly(owner, lambda owner=owner: step(owner))


@behave.when("the loop runs for {seconds:g} seconds")
def run_loop(context, seconds):
    start_s = context.loop.time()
    context.loop.run_until_complete(asyncio.sleep(seconds))
    context.elapsed_s = context.loop.time() - start_s


@behave.then(
    "the loop did costly work for at most half of the time and for each owner "
    "in turn"
)
def check_share(context):
    assert 0 < context.costly_s <= 0.5 * context.elapsed_s, (
        context.costly_s,
        context.elapsed_s,
    )
    counts = context.steps.values()
    assert max(counts) - min(counts) <= 1, context.steps


@implementer(interfaces.IPushProducer, interfaces.ITransport)
class _Transport:
    """Transport whose peer takes bytes only when it is told to."""

    offset = _tempDataLen = 0  # noqa: N815
    disconnecting = False

    def __init__(self):
        self.dataBuffer = b""
        self.reading = True

    def write(self, data):
        self.dataBuffer += data

    def writeSequence(self, parts):  # noqa: N802
        self.write(b"".join(parts))

    def take(self):
        taken, self.dataBuffer = self.dataBuffer, b""
        return taken

    def pauseProducing(self):  # noqa: N802
        self.reading = False

    def resumeProducing(self):  # noqa: N802
        self.reading = True

    def registerProducer(self, producer, streaming):  # noqa: N802
        pass

    def getPeer(self):  # noqa: N802
        return address.IPv4Address("TCP", "127.0.0.1", 1)

    getHost = getPeer  # noqa: N815


class _Echo(resource.Resource):
    isLeaf = True  # noqa: N815

    def render_GET(self, req):  # noqa: N802
        return b"answer to " + req.uri


@behave.given("a connection whose caller reads nothing")
def unread_connection(context):
    context.clock = task.Clock()
    site = body_limits.build_site(_Echo())
    context.channel = site.buildProtocol(None)
    context.channel.callLater = context.clock.callLater
    context.channel.makeConnection(_Transport())


@behave.when(
    "{count:d} requests are sent ahead on it and {seconds:d} seconds pass"
)
def send_ahead(context, count, seconds):
    context.channel.dataReceived(
        b"".join(
            b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % number
            for number in range(count)
        )
    )
    context.clock.pump([0.1] * seconds * 10)


@behave.then("{count:d} of them is answered and the connection is not read")
def answered_unread(context, count):
    transport = context.channel.transport
    assert transport.dataBuffer.count(b"answer to") == count, (
        transport.dataBuffer
    )
    assert not transport.reading


@behave.then("{count:d} of them are answered in order once the caller reads")
def answered_read(context, count):
    transport, received = context.channel.transport, b""
    for _ in range(count):
        received += transport.take()
        context.clock.pump([connection_budgets.MAX_UNREAD_CHECK_S, 0.0])
    found = [
        int(part.partition(b"H")[0])
        for part in received.split(b"answer to /")[1:]
    ]
    assert found == [*range(count)], received
    assert transport.reading
