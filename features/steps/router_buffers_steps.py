"""Steps for the limit on the bytes that a router holds."""

import atexit
import functools
import select
import types

import behave
from twisted.internet import task
from twisted.internet import testing

from features.steps import router_answers_steps as answers
from features.steps import router_fakes
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import admission
from waxwingrack.operations import routing

_SHARED = []
SIZE = 20_000
_MORE = b"x\r\n%x\r\n" % SIZE + b"x" * SIZE
# Ends of a body that is not whole yet, by name: path, declared bytes (None is
# chunked), further bytes, status.
_ARRIVING = {
    "refused": ("/nowhere", SIZE + 1, b"x", 404),
    "too large": ("/sketch/a", None, _MORE, 413),
    "left while it arrives": ("/sketch/a", SIZE + 1, b"", None),
}
# Requests whose caller leaves.
_LEFT = {
    "left in the queue": "/sketch/a",
    "left while it runs": "/sketch/a?do=stall",
    "left with a key": "/sketch/deposit?do=slow&pause=0.5",
}


def metric(world, name):
    """Returns the value of a metric of the router without labels."""
    port = world.router.operators_port
    text = router_fakes.send(port, "GET", "/metrics", token=None).body.decode()
    return next(
        float(line.split()[1])
        for line in text.splitlines()
        if line.startswith(f"waxwingrack_router_{name} ")
    )


def wait_held(world, size):
    world.wait_for(
        lambda: metric(world, "buffered_bytes") == size, f"{size} bytes held"
    )


@behave.given(
    "a router that may hold {limit:d} KiB in bodies of up to {body:d} KiB each"
)
def router_may_hold(context, limit, body):
    _start(context, limit, body)


def _start(context, limit, body, keep=False):
    return answers.start_world(
        context,
        environment={"timeouts": {"answer_timeout_s": 20.0}},
        keep=keep,
        max_buffered_bytes=limit * 1024,
        max_body_bytes=body * 1024,
    )


@behave.given("a shared router that may hold 256 KiB in bodies")
def shared_router_may_hold(context):
    if not _SHARED:
        _SHARED.append(_start(context, 256, 32, keep=True))
        atexit.register(_SHARED[0].close)
    context.world = _SHARED[0]
    context.world.leader.refusal = None
    context.world.forget()


def begin_body(context, target, size, declared):
    """Sends the head of a request and a part of its body."""
    lengths = {"Content-Length": declared}
    if declared is None:
        lengths["Transfer-Encoding"] = "chunked"
    conn = answers.open_request(context, target, "POST", lengths)
    head = b"" if declared else b"%x\r\n" % (size + 1)
    conn.sendall(head + b"x" * size)
    return conn


@behave.when(
    "the router's raw callers begin {count:d} {form} bodies of {size:d} bytes"
)
def begin_bodies(context, count, form, size):
    declared = None if form == "chunked" else size + 1
    context.sockets, context.refused = [], []
    for _ in range(count):
        expected = metric(context.world, "buffered_bytes") + size
        conn = begin_body(context, "/sketch/a", size, declared)
        context.sockets.append(conn)
        context.world.wait_for(
            functools.partial(_taken, context.world, conn, expected),
            "the body taken or refused",
        )
        if _readable(conn):
            context.refused.append(conn.recv(65536))


def _taken(world, conn, expected):
    return _readable(conn) or metric(world, "buffered_bytes") == expected


def _readable(conn):
    return bool(select.select([conn], [], [], 0)[0])


@behave.then(
    "the router refused {count:d} of them as {kind} and holds {held:d} bytes"
)
def refused_and_holds(context, count, kind, held):
    assert len(context.refused) == count, len(context.refused)
    for answer in context.refused:
        assert f'"{kind}"'.encode() in answer, answer
        assert b'"not_run"' in answer and b"Retry-After" in answer, answer
    assert metric(context.world, "buffered_bytes") == held


@behave.then(
    "the router's caller of painters gets its answer to a "
    "body of {size:d} bytes"
)
def others_get_in(context, size):
    reply = context.world.send(
        "POST", "/sketch/a", token="painters-token", body=b"y" * size
    )
    assert reply.status == 200 and len(reply.body) > size, reply


@behave.then("the router holds no bytes once its raw callers have left")
def none_when_left(context):
    for conn in context.sockets:
        conn.close()
    wait_held(context.world, 0)


@behave.when("a body of 20000 bytes to the router is {end}")
def body_ends(context, end):
    world = context.world
    if end in _ARRIVING:
        _end_arriving(context, *_ARRIVING[end])
    elif end in _LEFT:
        _leave(context, _LEFT[end], runs=end != "left in the queue")
    else:
        world.leader.granting = end == "answered"
        join = world.send_later(
            "POST", "/sketch/a?do=slow&pause=0.5", body=b"x" * SIZE
        )
        wait_held(world, SIZE)
        if end != "answered":
            world.leader.refusal = errors.ErrorKind.NO_BACKEND_SERVER
        assert join().status == (200 if end == "answered" else 503)


def _end_arriving(context, target, declared, rest, status):
    conn = begin_body(context, target, SIZE, declared)
    wait_held(context.world, SIZE)
    if rest:
        conn.sendall(rest)
        answer = conn.recv(65536)
        assert answer.startswith(b"HTTP/1.1 %d " % status), answer
    conn.close()


def _leave(context, target, runs):
    world = context.world
    world.leader.granting = runs
    key = {"Idempotency-Key": answers.new_key()} if "deposit" in target else {}
    conn = answers.open_request(
        context, target, "POST", {"Content-Length": str(SIZE), **key}
    )
    conn.sendall(b"x" * SIZE)
    wait_held(world, SIZE)
    if runs:
        world.wait_for(lambda: world.runs() == 1, "the request")
    conn.close()


@behave.then("the router holds no bytes at the end")
def none_at_end(context):
    wait_held(context.world, 0)


@behave.given("the router's leader does not confirm outcomes")
def no_confirmation(context):
    context.world.leader.key_ignored["KeyOutcome"] = 1_000_000


@behave.then(
    "the router sends a record with {size:d} bytes and holds {held:d} bytes"
)
def sends_record(context, size, held):
    records = [
        message.answer
        for name, message in context.world.leader.events
        if name == "KeyOutcome"
    ]
    assert {len(record.body) for record in records} == {size}, records
    assert {record.truncated for record in records} == {not size}, records
    wait_held(context.world, held)


@behave.then("the router holds no bytes once the leader confirms")
def none_when_confirmed(context):
    context.world.leader.key_ignored.clear()
    wait_held(context.world, 0)


class _Transport(testing.StringTransport):
    """Transport whose caller decides how much is unsent."""

    dataBuffer, offset, _tempDataLen = b"", 0, 0  # noqa: N815
    aborted = False

    def abortConnection(self):  # noqa: N802
        self.aborted = True


@behave.given(
    "an ending connection of a router with {unsent:d} unsent bytes and a "
    "close_timeout_s of {seconds:d}"
)
def ending_connection(context, unsent, seconds):
    settings = data.Settings(
        data.Role.ROUTER, "r1", "a", None, (), close_timeout_s=seconds
    )
    front = types.SimpleNamespace(
        settings=settings,
        caller_limits=routing.resolve_caller_limits(settings, None),
    )
    site = admission.CallersSite(None, front)
    context.clock, context.transport = task.Clock(), _Transport()
    channel = site.buildProtocol(None)
    channel.callLater = context.clock.callLater
    channel.makeConnection(context.transport)
    channel.setTimeout(None)
    context.transport.dataBuffer = b"x" * unsent
    channel.loseConnection()


@behave.when(
    "its caller leaves {unsent} bytes unsent in periods of {seconds:d} seconds"
)
def caller_reads(context, unsent, seconds):
    context.reset_after = None
    for number, size in enumerate(unsent.split()):
        context.transport.dataBuffer = b"x" * int(size)
        context.clock.advance(seconds)
        if context.transport.aborted:
            context.reset_after = (number + 1) * seconds
            break


@behave.then("the router has reset the connection after {seconds:d} seconds")
def reset_after(context, seconds):
    assert context.reset_after == seconds, context.reset_after
