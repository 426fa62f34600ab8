"""Steps for answers that pass a router; a world holds router and fakes."""

import asyncio
import atexit
import concurrent.futures
import dataclasses
import http.client
import itertools
import json
import pathlib
import socket
import time
import urllib.parse

import behave

from features.steps import router_fakes
from waxwingrack.core import data
from waxwingrack.core import errors

MIB = 1024 * 1024
_KEYS = itertools.count(1)
_SHARED = []


def start_world(context, servers=1, environment=None, keep=False, **settings):
    world = router_fakes.World()
    if not keep:
        context.add_cleanup(world.close)
    changes = {"timeouts": {"answer_timeout_s": 0.5, "idle_timeout_s": 2.0}}
    world.leader.environment = router_fakes.environment(
        **(changes | (environment or {}))
    )
    world.start(servers, **settings)
    context.world = world
    return world


def new_key():
    return f"{1_700_000_000}-{next(_KEYS)}"


def send(context, method, target, headers=None, **more):
    headers = dict(headers or {})
    if "/deposit" in target:
        headers.setdefault("Idempotency-Key", new_key())
    headers = {
        key: value for key, value in headers.items() if value is not None
    }
    if method == "POST":
        more.setdefault("body", b"body")
    context.reply = context.world.send(method, target, headers=headers, **more)
    return context.reply


@behave.given("a router with {servers:d} fake backend servers")
def router_with(context, servers):
    start_world(context, servers)


@behave.given(
    "a router with {servers:d} fake backend servers and an answer timeout of "
    "{seconds:d} seconds"
)
def router_with_timeout(context, servers, seconds):
    timeouts = {"answer_timeout_s": float(seconds)}
    start_world(context, servers, {"timeouts": timeouts})


@behave.given("a shared router with {servers:d} fake backend servers")
def shared_router(context, servers):
    """Saves the start of a process per row; for rows that use no retries."""
    if not _SHARED:
        world = start_world(context, servers, keep=True)
        _SHARED.append(world)
        atexit.register(world.close)
    context.world = _SHARED[0]
    context.world.forget()


@behave.when("the router's caller requests {method} {target}")
def caller_sends(context, method, target):
    target, _, headers = target.partition(" with ")
    send(context, method, target, json.loads(headers or "{}"))


@behave.when("the router's caller uploads {size:d} bytes to {target}")
def caller_uploads(context, size, target):
    send(context, "POST", target, body=b"u" * size)


@behave.then("the router's caller gets no answer that looks whole")
def no_whole_answer(context):
    reply = context.reply
    assert not (reply.whole and reply.status < 300), reply


@behave.then("the router's caller sees a broken transfer")
def broken_transfer(context):
    assert context.reply.error and not context.reply.whole, context.reply


@behave.then("the router's backend servers ran {runs:d} request")
def backends_ran(context, runs):
    assert context.world.runs() == runs, context.world.runs()


@behave.then("the router reports the outcome {outcome}")
def reports_outcome(context, outcome):
    world = context.world
    world.wait_for(lambda: bool(world.leader.finished()), "a finished grant")
    seen = {item.outcome for item in world.leader.finished()}
    assert seen == {data.Outcome(outcome)}, seen


@behave.then(
    "the router's caller gets {status:d} {kind} with execution {execution}"
)
def gets_refusal(context, status, kind, execution):
    reply = context.reply
    assert reply.status == status, reply
    assert reply.refusal["kind"] == kind, reply
    assert reply.refusal["execution"] == execution, reply
    assert reply.headers["x-execution"] == execution, reply
    assert reply.refusal["request_id"] == reply.headers["x-request-id"], reply


@behave.given("the router's next try fails with {fault}")
def next_try_fails(context, fault):
    world = context.world
    # The fake leader starts with the second of two servers.
    context.failing = world.backends[1]
    if fault == "refuse":
        world.loop.run(context.failing.close())
    else:
        context.failing.faults.append(fault)


@behave.given("the router's leader grants once and then refuses with {kind}")
def grants_once(context, kind):
    leader = context.world.leader
    make_grant = leader.make_grant

    def grant(want):
        leader.refusal = errors.ErrorKind(kind)
        return make_grant(want)

    leader.make_grant = grant


@behave.given("the router's backend servers refuse connections")
def servers_refuse(context):
    for backend in context.world.backends:
        context.world.loop.run(backend.close())


@behave.then("the router's caller gets {status:d} with its own answer")
def own_answer(context, status):
    reply = context.reply
    assert reply.status == status and reply.whole, reply
    assert reply.body.startswith(reply.headers["x-request-id"].encode()), reply


@behave.then("the router avoided the server that failed")
def avoided(context):
    wants = [w for r in context.world.leader.reports for w in r.wants]
    assert wants[-1].avoid == (context.failing.id,), wants


@behave.then("the router's caller gets {status:d} with {size:d} bytes")
def gets_bytes(context, status, size):
    reply = context.reply
    assert reply.whole and reply.status == status, reply.error
    assert len(reply.body) == size, len(reply.body)


@behave.then("the router's caller is answered {status:d}")
def is_answered(context, status):
    assert context.reply.status == status, context.reply


@behave.when(
    "the server ends each answer after one of the bytes of the head {head} by "
    "a {end}"
)
def cut_heads(context, head, end):
    # The last byte completes the head.
    sizes = range(len(router_fakes.HEADS[head]))
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        context.replies = list(
            pool.map(
                lambda size: context.world.send(
                    "GET",
                    f"/sketch/a?do=part_of_head&head={head}&bytes={size}"
                    f"&end={end}",
                ),
                sizes,
            )
        )


@behave.then("each of these requests is answered {status:d} as {execution}")
def each_refused(context, status, execution):
    assert len(context.replies) > 20
    for reply in context.replies:
        assert reply.whole and reply.status == status, reply
        assert reply.refusal["execution"] == execution, reply


ENDLESS = (
    "endless_line",
    "endless_lines",
    "endless_head",
    "endless_interim",
    "endless_chunk_line",
    "endless_trailer",
    "endless_surplus",
)


@behave.when(
    "{callers:d} router's callers at a time ask for answers without end for "
    "{seconds:d} seconds"
)
def ask_endlessly(context, callers, seconds):
    world = context.world
    end_s = time.monotonic() + seconds

    def ask(number):
        acts = itertools.islice(itertools.cycle(ENDLESS), number, None)
        while time.monotonic() < end_s:
            world.send("GET", f"/sketch/a?do={next(acts)}")
            time.sleep(1.0)

    context.replies = []
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        asked = [pool.submit(ask, number) for number in range(callers)]
        while time.monotonic() < end_s:
            context.replies.append(world.send("GET", "/sketch/a?do=ok"))
            time.sleep(0.05)
        for item in asked:
            item.result()


@behave.then("every other request meanwhile got its own answer")
def others_answered(context):
    assert len(context.replies) > 10, len(context.replies)
    all_own_answers(context)


@behave.then("the router took less than {size:d} MiB of memory")
def memory_bounded(context, size):
    pid = context.world.router.process.pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (peak_kib,) = (
        int(line.split()[1])
        for line in status.splitlines()
        if line.startswith("VmHWM:")
    )
    assert peak_kib < size * 1024, f"{peak_kib / 1024:.0f} MiB"


@behave.when("the router's caller reads 1 MiB of a body without end and leaves")
def read_and_leave(context):
    world = context.world

    async def read_part():
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", world.router.port
        )
        writer.write(
            b"GET /sketch/a?do=endless_body HTTP/1.1\r\nHost: a\r\n"
            + f"Authorization: Bearer {router_fakes.TOKEN}\r\n\r\n".encode()
        )
        await reader.readexactly(2**20)
        # The router must not read on while its caller does not.
        await asyncio.sleep(1.0)
        writer.transport.abort()

    world.loop.run(read_part())


@behave.then(
    "the fake backend server sent less than {size:d} MiB on each connection"
    " until it was closed"
)
def sent_little(context, size):
    world = context.world
    server = world.backends[0]
    world.wait_for(lambda: server.open_connections == 0, "a closed connection")
    # The buffers of the operating system take several MiB.
    limit = size * 2**20 * server.connections
    assert server.sent_bytes < limit, (server.sent_bytes, server.connections)


@behave.then("the router passed on {headers}")
def passed_on(context, headers):
    (_, _, seen, _) = next(s for b in context.world.backends for s in b.seen)
    for header in headers.split(" and "):
        name, value = header.split(": ")
        assert seen.get(name) == value, seen


@behave.then("the router did not pass on {names}")
def not_passed_on(context, names):
    (_, _, seen, _) = next(s for b in context.world.backends for s in b.seen)
    assert not set(names.split(", ")) & (set(seen) - {"connection"}), seen
    assert "x-own" not in seen.get("connection", "").lower(), seen


@behave.then("the router's answer has {headers}")
def answer_has(context, headers):
    for header in headers.split(" and "):
        pair = tuple(header.split(": "))
        assert pair in context.reply.raw_headers, context.reply.raw_headers


@behave.then("the router's answer lacks {names}")
def answer_lacks(context, names):
    for name in names.split(", "):
        assert name.lower() not in context.reply.headers, context.reply


@behave.when('the router serves {count:d} requests in turn with "{acts}"')
def sends_in_turn(context, count, acts):
    cycle = itertools.cycle(acts.split())
    context.replies = [
        context.world.send("GET", f"/sketch/a?do={next(cycle)}")
        for _ in range(count)
    ]


@behave.when(
    "{callers:d} router's callers send {count:d} requests each at the same time"
)
def sends_under_load(context, callers, count):
    def run(caller):
        conn = http.client.HTTPConnection(
            "127.0.0.1", context.world.router.port
        )
        return [
            context.world.send(
                "POST",
                "/sketch/a?do=" + ("slow&pause=0.01" if n % 3 else "ok"),
                body=f"{caller}-{n}".encode(),
                conn=conn,
            )
            for n in range(count)
        ]

    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        context.replies = sum(pool.map(run, range(callers)), [])
    bodies = {reply.body.split(b":")[1] for reply in context.replies}
    assert len(bodies) == callers * count, len(bodies)


@behave.then("every router's caller got its own answer")
def all_own_answers(context):
    for reply in context.replies:
        context.reply = reply
        own_answer(context, 200)


@behave.when("the router's caller reads the stream {target}")
def reads_stream(context, target):
    conn = http.client.HTTPConnection("127.0.0.1", context.world.router.port)
    token = {"Authorization": f"Bearer {router_fakes.TOKEN}"}
    conn.request("GET", target, headers=token)
    answer = conn.getresponse()
    context.delays_s = []
    while line := answer.readline():
        words = line.split()
        if len(words) == 3 and words[0] == b"data:":
            context.delays_s.append(time.monotonic() - float(words[2]))
    conn.close()


@behave.then("each event passed the router within {limit:d} ms")
def events_in_time(context, limit):
    assert len(context.delays_s) == 8, context.delays_s
    assert max(context.delays_s) * 1000 < limit, context.delays_s


@behave.then("the router reports a cost of {cost:d}")
def reports_cost(context, cost):
    world = context.world
    world.wait_for(lambda: bool(world.leader.finished()), "a finished grant")
    assert world.leader.finished()[-1].cost == cost, world.leader.finished()


@behave.when(
    "the router's caller asks for {size:d} MiB and reads nothing for "
    "{seconds:g} second"
)
def reads_nothing(context, size, seconds):
    context.socket = open_request(
        context, f"/sketch/a?do=large&bytes={size * MIB}"
    )
    time.sleep(seconds)
    context.sent = sum(b.sent_bytes for b in context.world.backends)


def open_request(context, target, method="GET", headers=None):
    conn = open_connection(context)
    send_request(conn, target, method, headers)
    return conn


def open_connection(context):
    return socket.create_connection(
        ("127.0.0.1", context.world.router.port), timeout=router_fakes.WAIT_S
    )


def send_request(conn, target, method="GET", headers=None):
    fields = {
        "Host": "x",
        "Authorization": f"Bearer {router_fakes.TOKEN}",
        "Content-Length": "0",
        **(headers or {}),
    }
    lines = "".join(
        f"{name}: {value}\r\n"
        for name, value in fields.items()
        if value is not None
    )
    conn.sendall(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode())


@behave.then("the router's backend server could send less than {size:d} MiB")
def sent_less(context, size):
    assert 0 < context.sent < size * MIB, context.sent


@behave.then("the router's caller can then read all {size:d} MiB")
def reads_all(context, size):
    read = 0
    while read < size * MIB:
        part = context.socket.recv(MIB)
        assert part, read
        read += len(part)
    context.socket.close()


@behave.when("the router's caller leaves during /{target}")
def caller_leaves(context, target):
    conn = open_request(context, f"/{target}")
    context.world.wait_for(lambda: context.world.runs() == 1, "the request")
    time.sleep(0.1)
    conn.close()


@behave.then("the router's backend server sees the request cancelled")
def sees_cancelled(context):
    world = context.world
    world.wait_for(
        lambda: any(b.cancelled for b in world.backends), "a cancelled request"
    )


@behave.then("the router reported progress between {low:d} and {high:d} times")
def reported_progress(context, low, high):
    reports = context.world.leader.reports
    seen = [item.cost for report in reports for item in report.progress]
    assert low <= len(seen) <= high and seen == sorted(seen), seen


@behave.given(
    "a router of the platform with {servers:d} fake backend servers and orders "
    "that run once"
)
def platform_router(context, servers):
    world = router_fakes.World()
    context.add_cleanup(world.close)
    environment = router_fakes.environment()
    order = data.Route("order", "/order/", ("POST",), single_attempt=True)
    sketch, *others = environment.services
    sketch = dataclasses.replace(sketch, routes=(*sketch.routes, order))
    world.leader.environment = dataclasses.replace(
        environment, services=(sketch, *others)
    )
    world.leader.prefers_first = True
    world.start(servers, dialect="platform", reuse_idle_s=3.0)
    context.world = world


def _order(context, query):
    context.reply = context.world.send(
        "POST", f"/order/1?{query}", body=b"order"
    )
    return context.reply


@behave.when(
    'a caller\'s order is answered and the server writes "{copy}" once more '
    "before the answer to the next order"
)
def late_copy_of_answer(context, copy):
    query = urllib.parse.urlencode({"do": "then", "copy": copy})
    assert _order(context, query).status == 200, context.reply
    _order(context, "do=echo")
    assert context.world.backends[0].connections == 1


@behave.then("the next order is answered {status:d}")
def next_order(context, status):
    assert context.reply.status == status, context.reply


@behave.then("it ran once at one server")
def ran_once(context):
    request_id = context.reply.headers["request-id"]
    runs = [backend.runs[request_id] for backend in context.world.backends]
    assert runs == [1, 0], runs


@behave.when("a caller's order is refused on a new connection without an id")
def refused_on_new(context):
    context.world.backends[0].faults.append("refused")
    _order(context, "do=echo")


@behave.given("a router whose servers may pause for {seconds:d} seconds")
def may_pause(context, seconds):
    timeouts = {"answer_timeout_s": 9.0, "idle_timeout_s": float(seconds)}
    start_world(context, 2, {"timeouts": timeouts})


@behave.then("the router's caller waited less than {seconds:d} seconds")
def waited_less(context, seconds):
    assert context.reply.seconds < seconds, context.reply.seconds


@behave.then("the router's caller gets all {count:d} events")
def gets_all_events(context, count):
    assert context.reply.whole, context.reply
    assert context.reply.body.count(b"data: ") == count, context.reply.body


@behave.given("the next answer of each server is {first}, {second} or {third}")
def next_answers(context, first, second, third):
    # Either server may get the request first.
    for backend in context.world.backends:
        backend.faults += [first, second, third]


@behave.when("the router's caller reads all bytes of the answer to {target}")
def reads_all_bytes(context, target):
    context.received = b""
    with open_request(context, target) as conn:
        try:
            while part := conn.recv(65_536):
                context.received += part
        except ConnectionResetError:
            pass


@behave.then("it has got the first event and nothing else")
def first_event_only(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head
    # Without the last chunk, which would end the stream.
    assert body == b"9\r\ndata: 0\n\n\r\n", body
    assert context.world.runs() == 1, context.world.runs()
