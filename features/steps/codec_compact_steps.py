"""Steps for the compact frames between a router and the leader."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import types
import typing
import unittest

import behave
import cbor2
from returns import result
from websockets.asyncio import client

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.core import wire
from waxwingrack.daemons import transport

TIMEOUT_S = 10
HOST = "127.0.0.1"
REQUEST = data.QueuedRequest(
    1, "planners", "sketch", "draft", "ab" * 32, hint=2.5
)
ANNOUNCEMENT = data.Announcement(
    "s1", "a", data.Address(HOST, 80), "sketch", "v1", "a", 4, 2, 0.3
)
CACHE_EVENTS = (data.CacheEvent(1, "ab12", True),)
CHANGES = {
    "nothing changes": {},
    "its load changes": {"load": 0.7, "in_flight": 3},
    "it leaves": {"departing": True, "in_flight": 0},
    "it restarts": {"incarnation": "b", "in_flight": 0},
    "it reports a cache event": {"cache_events": CACHE_EVENTS},
}


def _report(**fields):
    return messages.RouterReport(5, 3, **fields)


def _build_sample(hint, name="text"):
    """Builds a value of a type in which no field has its default."""
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is tuple:
        repeated = args[-1] is Ellipsis
        items = args[:1] * 2 if repeated else args
        return tuple(_build_sample(item, name) for item in items)
    if origin is types.UnionType:
        return _build_sample(args[0], name)
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        return hint(
            **{key: _build_sample(item, key) for key, item in hints.items()}
        )
    if issubclass(hint, enum.Enum):
        return tuple(hint)[-1]
    plain = {int: 300, float: 1.37, bool: True, bytes: b"\x00\xff"}
    return plain.get(hint, f"a longer {name}")


class _Pair:
    """Encoder and decoder of one direction of a connection."""

    def __init__(self):
        self.encoder, self.decoder = wire.Encoder(), wire.Decoder()
        self.sent, self.received, self.sizes = [], [], []

    def send(self, message):
        frame = self.encoder.encode(message)
        self.sizes.append(len(frame))
        self.sent.append(message)
        self.received.append(self.decoder.decode(frame).unwrap())


@behave.when("a sample of every message is sent three times on one connection")
def send_samples(context):
    context.pair = _Pair()
    for _, (_, cls) in itertools.product(range(3), messages.MESSAGES.items()):
        context.pair.send(_build_sample(cls))


@behave.then("every received message equals the sent one")
def check_received_equal(context):
    pairs = zip(context.pair.received, context.pair.sent, strict=True)
    for received, sent in pairs:
        assert received == sent, (received, sent)


@behave.when("a backend server announces itself twice and {change}")
def announce_twice(context, change):
    first, second = ANNOUNCEMENT, ANNOUNCEMENT
    if change == "its cache event was first":
        first = dataclasses.replace(ANNOUNCEMENT, cache_events=CACHE_EVENTS)
    else:
        second = dataclasses.replace(ANNOUNCEMENT, **CHANGES[change])
    context.pair = _Pair()
    for announcement in (first, second, second):
        context.pair.send(_report(announcements=(announcement,)))


@behave.then("the second frame has at most {count:d} bytes")
def check_second_size(context, count):
    assert context.pair.sizes[1] <= count, context.pair.sizes


@behave.then("a report without usage is as short as without that field")
def check_no_added_bytes(_):
    frame = wire.Encoder().encode(_report())
    assert frame == cbor2.dumps([1, 0, 5, 3]), frame.hex()


@behave.when("{count:d} backend servers announce themselves twice")
def announce_many(context, count):
    context.pair = _Pair()
    starts = [*range(0, count, 100)] * 2
    for start in (*starts, starts[-1], starts[-1]):
        announcements = tuple(
            dataclasses.replace(
                ANNOUNCEMENT, server_id=f"s{number}", cache_events=CACHE_EVENTS
            )
            for number in range(start, start + 100)
        )
        context.pair.send(_report(announcements=announcements))


@behave.then("neither end keeps more than the bounds of the tables")
def check_table_sizes(context):
    sent = context.pair.encoder._tables
    received = context.pair.decoder._tables
    assert len(sent.numbers) == len(received.texts) <= wire.MAX_REFERENCES
    assert sent.announcements == received.announcements
    assert len(sent.announcements) <= wire.MAX_BASELINES
    with_events = [
        announcement
        for announcement in sent.announcements.values()
        if announcement.cache_events
    ]
    assert not with_events, with_events


@behave.then("servers that announce themselves next are still referred to")
def check_short_frames(context):
    # Each announcement is encoded as the reference to its server and the cache
    # event only.
    assert context.pair.sizes[-1] < 20 * 100, context.pair.sizes[-1]


@behave.when("a report that cannot be encoded fails between two good ones")
def send_invalid_between_valid(context):
    context.pair = _Pair()
    context.pair.send(_report(wants=(REQUEST,)))
    invalid = dataclasses.replace(REQUEST, workspace="never sent", hint="text")
    try:
        context.pair.encoder.encode(_report(wants=(invalid,)))
    except TypeError:
        pass
    else:
        raise AssertionError("a wrong type was encoded")
    other = dataclasses.replace(REQUEST, workspace="other")
    context.pair.send(_report(wants=(other,)))
    context.pair.send(_report(wants=(REQUEST, other)))


# ---------------------------------------------------------------------------
# Refused frames
# ---------------------------------------------------------------------------

# Frames after a first report, which fills the table with three strings. In the
# mask of a report, 2 stands for `wants`, 16 for `finished` and 64 for
# `announcements`.
FAULTY_FRAMES = {
    "an unknown reference": [1, 1, 5, 3, 2, [[2, 0, 1, 3]]],
    "a negative reference": [1, 1, 5, 3, 2, [[2, 0, 1, -1]]],
    "an unknown type": [99, 1, 5, 3],
    "a missing field": [1, 1, 5],
    # The bit after those of the optional fields.
    "an unknown field": [
        *(1, 1, 5, 3),
        1 << len(dataclasses.fields(messages.RouterReport)) - 2,
        1,
    ],
    "fewer values than named fields": [1, 1, 5, 3, 3, True],
    "more values than named fields": [1, 1, 5, 3, 1, True, 1],
    "a field of wrong type": [1, 1, "soon", 3],
    "an unknown member of an enumeration": [
        *(1, 1, 5, 3, 16),
        [[1, 2, 8, 1.0, 1.0, 1.0]],
    ],
    "a change of a server never announced": [1, 1, 5, 3, 64, [["s9", 128, 2]]],
    "text in place of a list": [1, 1, 5, 3, 2, "wants"],
}


@behave.given("a connection on which a report was received")
def connect_and_report(context):
    context.pair = _Pair()
    context.pair.send(_report(wants=(REQUEST,)))


def _faulty_frame(encoder, fault):
    if fault == "references of an earlier connection":
        earlier = wire.Encoder()
        for _ in range(2):
            earlier.encode(_report(wants=(REQUEST,)))
        return earlier.encode(_report(wants=(REQUEST,)))
    if fault == "a frame before it lost":
        lost = dataclasses.replace(REQUEST, workspace="lost")
        encoder.encode(_report(wants=(lost,)))
        return encoder.encode(_report(wants=(lost,)))
    return cbor2.dumps(FAULTY_FRAMES[fault])


@behave.when("it receives a compact frame with {fault}")
def receive_faulty_frame(context, fault):
    frame = _faulty_frame(context.pair.encoder, fault)
    context.decoded = context.pair.decoder.decode(frame)


@behave.then('the frame is refused with a reason that contains "{reason}"')
def check_refused(context, reason):
    assert isinstance(context.decoded, result.Failure), context.decoded
    assert reason in context.decoded.failure().reason, context.decoded


@behave.then("no later compact frame of the connection is accepted")
def check_later_refused(context):
    for tag, number in itertools.product((1, -1), range(wire.FRAME_NUMBERS)):
        decoded = context.pair.decoder.decode(cbor2.dumps([tag, number, 5, 3]))
        assert isinstance(decoded, result.Failure), decoded


@behave.when("a report is cut after each of its bytes")
def cut_report(context):
    frame = wire.Encoder().encode(
        _report(wants=(REQUEST,), announcements=(ANNOUNCEMENT,))
    )
    context.cut = [frame[:end] for end in range(len(frame))]


@behave.then("every cut frame is refused")
def check_cuts_refused(context):
    for frame in context.cut:
        decoded = wire.Decoder().decode(frame)
        assert isinstance(decoded, result.Failure), (frame, decoded)


# ---------------------------------------------------------------------------
# Connections
# ---------------------------------------------------------------------------


REFUSED_FRAMES = {
    "an unknown reference": FAULTY_FRAMES["an unknown reference"],
    "a frame of an earlier connection": [1, 7, 5, 3, 2, [[2, 0, 1, 2]]],
}


class _Listener:
    """Stores the messages that a process receives."""

    def __init__(self):
        self.messages = []

    def connected(self, conn):
        """A connection was opened."""

    def received(self, conn, message):
        self.messages.append(message)

    def disconnected(self, conn):
        """A connection has ended."""


def _identity(role):
    return transport.Identity(role, f"the-{role}", "i1", b"key")


@contextlib.asynccontextmanager
async def _listen():
    """Runs a listening process; yields its listener, counts and port."""
    listener, counts = _Listener(), transport.TrafficCounts()
    identity = _identity(data.Role.CONTROLLER)
    server = await transport.serve(
        data.Address(HOST, 0), identity, listener, counts
    )
    yield listener, counts, server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()


async def _connect(port):
    conn = await transport.connect(
        data.Address(HOST, port),
        _identity(data.Role.ROUTER),
        transport.TrafficCounts(),
    )
    return conn, asyncio.ensure_future(conn.run(_Listener()))


async def _send_hello(version):
    """Sends a hello; returns the reason with which the process closes."""
    hello = messages.Hello(version, data.Role.ROUTER, "old", "i1", b"nonce")
    async with _listen() as (_, _, port), asyncio.timeout(TIMEOUT_S):
        url = f"ws://{HOST}:{port}/"
        async with client.connect(url, proxy=None) as socket:
            await socket.send(messages.CODEC.encode(hello))
            await socket.wait_closed()
            return socket.close_reason


@behave.when("a process with protocol version {version:d} connects")
def connect_version(context, version):
    with unittest.TestCase().assertLogs("waxwingrack") as logged:
        reason = asyncio.run(_send_hello(version))
    lines = "; ".join(record.fields["reason"] for record in logged.records)
    context.named = [reason, lines]


@behave.then('both ends name "{text}"')
def check_reasons(context, text):
    assert all(text in named for named in context.named), context.named


@behave.when("a process sends {what} to another one")
def send_refused_frame(context, what):
    frame = cbor2.dumps(REFUSED_FRAMES[what])

    async def run():
        async with (
            _listen() as (listener, counts, port),
            asyncio.timeout(TIMEOUT_S),
        ):
            conn, running = await _connect(port)
            conn.send(_report(wants=(REQUEST,)))
            conn.send_frame(frame)
            await running
            context.malformed = counts.malformed
            conn, running = await _connect(port)
            conn.send_and_close(_report(wants=(REQUEST,)))
            await running
            context.messages = listener.messages

    asyncio.run(run())


@behave.then(
    "the receiver counts {count:d} malformed frame and the connection ends"
)
def check_malformed_count(context, count):
    assert context.malformed == count, context.malformed


@behave.then("a new connection of the two carries reports")
def check_reports_received(context):
    expected = [_report(wants=(REQUEST,))] * 2
    assert context.messages == expected, context.messages
