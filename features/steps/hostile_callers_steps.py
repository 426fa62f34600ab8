"""Steps for crowds of callers that misbehave, at a router process."""

import json
import pathlib
import re
import selectors
import socket
import time

import behave

from features.steps import router_answers_steps as answers
from features.steps import router_fakes
from features.support import fleet
from waxwingrack.core import errors

MIB = 1024 * 1024
# Time for which the crowd sends, in seconds.
SENDING_S = 3.0
# Time after which an ordinary caller gives up, in seconds.
PATIENCE_S = 5.0
_READINESS = "/readyz"
_HEAD = f"Host: x\r\nAuthorization: Bearer {router_fakes.TOKEN}\r\n"
_CHUNKS = "1\r\nx\r\n" * 400_000


def _tiny_chunks(path):
    return (
        f"POST {path} HTTP/1.1\r\n{_HEAD}Transfer-Encoding: chunked\r\n\r\n"
        + _CHUNKS
    )


def _pipelined(path):
    return f"GET {path} HTTP/1.1\r\n{_HEAD}\r\n" * 3_000


def _body(path, declared, sent):
    return (
        f"POST {path} HTTP/1.1\r\n{_HEAD}Content-Length: {declared}\r\n\r\n"
        + "x" * sent
    )


CROWDS = {
    "tiny_chunks": lambda: _tiny_chunks("/sketch/a"),
    "tiny_chunks_no_route": lambda: _tiny_chunks("/nowhere"),
    "tiny_chunks_readiness": lambda: _tiny_chunks(_READINESS),
    "pipelined": lambda: _pipelined("/sketch/a"),
    "pipelined_no_route": lambda: _pipelined("/nowhere"),
    "pipelined_readiness": lambda: _pipelined(_READINESS),
    "many_fields": lambda: (
        f"GET /sketch/a HTTP/1.1\r\n{_HEAD}" + "a:b\r\n" * 400_000
    ),
    "stalled_bodies": lambda: _body("/sketch/a", MIB, MIB - 1),
    "endless_bodies": lambda: _body("/sketch/a", 64 * MIB, 4 * MIB),
    "endless_bodies_readiness": lambda: _body(_READINESS, 64 * MIB, 4 * MIB),
}


@behave.given("a router process with small limits for a crowd")
def crowded_router(context):
    answers.start_world(
        context,
        max_buffered_bytes=8 * MIB,
        max_open_connections=100,
        body_timeout_s=10.0,
    )


@behave.when("{count:d} hostile connections each send {crowd} and stay open")
def crowd_sends(context, count, crowd):
    router = context.world.router
    readiness = crowd.endswith("_readiness")
    port = router.operators_port if readiness else router.port
    _send_crowd(context, count, crowd, port)


@behave.given("a controller process without routers")
def crowded_controller(context):
    context.fleet = fleet.Fleet(controllers=1, routers=0)
    context.add_cleanup(context.fleet.stop)
    context.fleet.start()
    context.leader = context.fleet.leader()


@behave.when(
    "{count:d} hostile connections each send {crowd} to the controller"
)
def crowd_sends_to_controller(context, count, crowd):
    _send_crowd(context, count, crowd, _controller_port(context))


def _controller_port(context):
    return context.fleet._operators[context.leader]


def _send_crowd(context, count, crowd, port):
    data = memoryview(CROWDS[crowd]().encode())
    selector = selectors.DefaultSelector()
    context.add_cleanup(selector.close)
    for _ in range(count):
        conn = socket.create_connection(("127.0.0.1", port), timeout=5)
        context.add_cleanup(conn.close)
        conn.setblocking(False)
        selector.register(conn, selectors.EVENT_WRITE, [data])
    end_s = time.monotonic() + SENDING_S
    while selector.get_map() and time.monotonic() < end_s:
        for key, _ in selector.select(0.1):
            _send_some(selector, key)


def _send_some(selector, key):
    try:
        key.data[0] = key.data[0][key.fileobj.send(key.data[0][:65_536]) :]
    except BlockingIOError:
        return
    except OSError:
        # The router has closed the connection, which it may.
        key.data[0] = b""
    if not key.data[0]:
        selector.unregister(key.fileobj)


@behave.then(
    "an ordinary caller of the crowded router gets an answer on both ports"
)
def ordinary_answer(context):
    router = context.world.router
    _check_answer(router.port, "/sketch/a")
    _check_answer(router.operators_port, _READINESS)


@behave.then("an ordinary operator of the crowded controller gets an answer")
def ordinary_operator(context):
    _check_answer(_controller_port(context), _READINESS)


def _check_answer(port, path):
    reply = router_fakes.send(port, "GET", path, timeout_s=PATIENCE_S)
    assert reply.whole and reply.status, (path, reply)


@behave.then(
    "the crowded router lives with at most {size:d} MB and {count:d} "
    "descriptors"
)
def router_lives(context, size, count):
    _check_process(context.world.router.process, size, count)


@behave.then(
    "the crowded controller lives with at most {size:d} MB and {count:d} "
    "descriptors"
)
def controller_lives(context, size, count):
    _check_process(context.fleet.members[context.leader].process, size, count)


def _check_process(process, size, count):
    assert process.poll() is None, process.returncode
    folder = pathlib.Path(f"/proc/{process.pid}")
    fields = dict(
        line.split(":", 1)
        for line in (folder / "status").read_text().splitlines()
    )
    peak_mb = int(fields["VmHWM"].split()[0]) / 1024
    assert peak_mb <= size, peak_mb
    open_count = len(list((folder / "fd").iterdir()))
    assert open_count <= count, open_count


_CLOSE = f"GET /nowhere HTTP/1.1\r\nConnection: close\r\n{_HEAD}\r\n"
_SMALL = _tiny_chunks("/sketch/a")[: -len(_CHUNKS)] + "1\r\nx\r\n" * 700
CALM = {
    "tiny_chunks_whole": lambda: (
        _tiny_chunks("/sketch/a").replace("Host", "Connection: close\r\nHost")
        + "0\r\n\r\n"
    ),
    "tiny_chunks_queued": lambda: (_SMALL + "0\r\n\r\n") * 20 + _CLOSE,
    "pipelined_within": lambda: (
        f"GET /nowhere HTTP/1.1\r\n{_HEAD}\r\n" * 32 + _CLOSE
    ),
    "pipelined_beyond": lambda: (
        f"GET /nowhere HTTP/1.1\r\n{_HEAD}\r\n" * 60 + _CLOSE
    ),
}


@behave.given("a calm router process that lets 32 requests wait")
def calm_router(context):
    answers.start_world(context, max_pipelined_requests=32)


@behave.when("one caller of the calm router sends {case}")
def calm_sends(context, case):
    port = context.world.router.port
    with socket.create_connection(("127.0.0.1", port), timeout=30) as conn:
        conn.sendall(CALM[case]().encode())
        context.raw = conn.makefile("rb").read()


@behave.then(
    "it gets {count:d} answers in order, {refused:d} of them a refusal that "
    "did not run"
)
def calm_answers(context, count, refused):
    assert context.raw.count(b"HTTP/1.1 ") == count, context.raw[-500:]
    limit = str(errors.ErrorKind.TOO_MANY_CONNECTIONS).encode()
    assert context.raw.count(limit) == refused, context.raw[-500:]
    if refused:
        error = json.loads(context.raw.rpartition(b"\r\n\r\n")[2])["error"]
        assert error["execution"] == "not_run", error
    # Ids of the router's requests end in a number that counts up.
    found = re.findall(rb"X-Request-Id: [0-9a-f]+-(\d+)", context.raw)
    assert [*map(int, found)] == sorted(map(int, found)), found
    assert len(found) == count, found
