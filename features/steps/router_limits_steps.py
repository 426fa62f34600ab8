"""Steps for the limits of a router."""

import atexit
import concurrent.futures
import dataclasses
import json
import socket
import time

import behave

from features.steps import router_answers_steps as answers
from features.steps import router_decisions_steps as decisions
from features.steps import router_fakes
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import routing

_SHARED = []
_HEAD = f"Host: x\r\nAuthorization: Bearer {router_fakes.TOKEN}\r\n"
_POST = f"POST /sketch/a HTTP/1.1\r\n{_HEAD}"
_CHUNKED = f"{_POST}Transfer-Encoding: chunked\r\n\r\n"
RAW = {
    "long_line": f"GET /{'x' * 9000} HTTP/1.1\r\n{_HEAD}\r\n",
    "long_header": f"{_POST}X: {'x' * 9000}\r\n\r\n",
    "endless_header": f"{_POST}X: {'x' * 90000}",
    "many_headers": _POST + "X: 1\r\n" * 300 + "\r\n",
    "large_body": f"{_POST}Content-Length: 5000\r\n\r\n" + "x" * 5000,
    "large_chunks": _CHUNKED + ("400\r\n" + "x" * 1024 + "\r\n") * 5,
    "whole_chunks": _CHUNKED
    + ("400\r\n" + "x" * 1024 + "\r\n") * 5
    + "0\r\n\r\n",
    "large_expected": f"{_POST}Content-Length: 5000\r\n"
    "Expect: 100-continue\r\n\r\n",
    "short_body": f"{_POST}Content-Length: 200\r\n\r\n" + "x" * 200,
    "slow_line": "POST /sketch",
    "slow_headers": _POST,
    "slow_body": f"{_POST}Content-Length: 10\r\n\r\nx",
    "garbage": "GARBAGE\r\n\r\n",
    "bad_chunk": f"{_CHUNKED}zz\r\n",
    "two_hosts": f"{_POST}Host: y\r\n\r\n",
    "two_lengths": f"{_POST}Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "length_and_chunk": f"{_POST}Content-Length: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "absolute_uri": f"GET http://x/sketch/a HTTP/1.1\r\n{_HEAD}\r\n",
    "bad_request_id": f"{_POST}X-Request-Id: a b\r\n\r\n",
}


@behave.given("a shared router with small limits")
def shared_small_limits(context):
    if not _SHARED:
        world = answers.start_world(
            context,
            keep=True,
            max_header_bytes=4096,
            max_body_bytes=4096,
            body_timeout_s=0.6,
        )
        _SHARED.append(world)
        atexit.register(world.close)
    context.world = _SHARED[0]
    context.world.leader.refusal = None
    context.world.forget()


@behave.when("the router's raw caller sends {case}")
def raw_sends(context, case):
    send_raw(context, case, read_all if closes(case) else read)


@behave.when(
    "a raw caller sends {case} to the router and reads the first bytes"
)
def raw_reads_first(context, case):
    send_raw(context, case, read)


def send_raw(context, case, take):
    started = time.monotonic()
    with socket.create_connection(
        ("127.0.0.1", context.world.router.port), timeout=5
    ) as conn:
        conn.sendall(RAW[case].encode())
        context.raw = take(conn)
    context.seconds = time.monotonic() - started


def closes(case):
    return case not in ("two_hosts", "absolute_uri", "bad_request_id")


def read_all(conn):
    return conn.makefile("rb").read()


def read(conn):
    return conn.recv(65536)


@behave.then(
    "the router's raw caller gets {status:d} {kind} with execution {execution} "
    "within {seconds:d} seconds"
)
def raw_gets(context, status, kind, execution, seconds):
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), context.raw
    error = json.loads(body)["error"]
    assert (error["kind"], error["execution"]) == (kind, execution), error
    assert context.seconds < seconds, context.seconds


@behave.then("the router still serves others")
def serves_others(context):
    assert answers.send(context, "GET", "/sketch/a").status == 200


@behave.given("the router's environment has the caller limits {limits}")
@behave.then("the router's environment has the caller limits {limits}")
def caller_limits(context, limits):
    world = context.world
    number = world.leader.number + 1
    environment = dataclasses.replace(
        world.leader.environment,
        caller_limits=data.CallerLimits(**json.loads(limits)),
    )
    world.loop.call(
        lambda: world.leader.push(number=number, environment=environment)
    )
    wait_for_number(world, number)


def wait_for_number(world, number):
    world.wait_for(
        lambda: (
            world.leader.reports
            and world.leader.reports[-1].environment_number == number
        ),
        "the environment in force",
    )


@behave.then(
    "the router's raw caller gets {status:d} within {seconds:g} seconds"
)
def raw_gets_status(context, status, seconds):
    assert context.raw.startswith(b"HTTP/1.1 %d " % status), context.raw
    assert context.seconds < seconds, context.seconds


@behave.given("the router's leader refuses wants with {kind}")
def leader_refuses(context, kind):
    context.world.leader.refusal = errors.ErrorKind(kind)


@behave.given("the router's leader refuses the digest of GET {target}")
def refuses_digest(context, target):
    world = context.world
    number = world.leader.number + 1
    found = routing.digest_request("planners", "GET", target, b"")
    world.loop.call(
        lambda: world.leader.push(number=number, refused_digests=(found,))
    )
    wait_for_number(world, number)


@behave.when(
    "the router's raw caller expects 100-continue and then pipelines "
    "{count:d} requests"
)
def expects_and_pipelines(context, count):
    expected = f"{_POST}X-Request-Id: id-0\r\nContent-Length: 2\r\n"
    with socket.create_connection(
        ("127.0.0.1", context.world.router.port), timeout=5
    ) as conn:
        conn.sendall(f"{expected}Expect: 100-continue\r\n\r\n".encode())
        interim = conn.recv(25)
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n", interim
        conn.sendall(b"hi")
        for number in range(1, count + 1):
            more = "Connection: close\r\n" if number == count else ""
            head = f"{_POST}X-Request-Id: id-{number}\r\n{more}"
            conn.sendall(f"{head}Content-Length: 2\r\n\r\nhi".encode())
        context.raw = conn.makefile("rb").read()


@behave.then("the router's raw caller gets {count:d} whole answers in order")
def whole_in_order(context, count):
    bodies = [
        part.split(b"HTTP/1.1")[0]
        for part in context.raw.split(b"\r\n\r\n")[1:]
    ]
    expected = [f"id-{number}:hi".encode() for number in range(count)]
    assert bodies == expected, context.raw


@behave.given("a router with limits {limits} and no grants")
def router_with_limits(context, limits):
    limits = json.loads(limits)
    settings = {
        name: limits.pop(name)
        for name in ("max_open_connections",)
        if name in limits
    }
    timeouts = {
        name: limits.pop(name)
        for name in ("queue_timeout_s",)
        if name in limits
    }
    world = answers.start_world(
        context,
        environment={
            "workspace": limits,
            "timeouts": timeouts | {"answer_timeout_s": 5.0},
        },
        **settings,
    )
    world.leader.granting = False
    # Connections of the start are gone before the callers come.
    time.sleep(0.2)


@behave.when(
    "{callers:d} router's callers send one request each and grants follow "
    "after {seconds:g} seconds"
)
def flood(context, callers, seconds):
    world = context.world
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        sent = [
            pool.submit(world.send, "GET", f"/sketch/a?n={number}")
            for number in range(callers)
        ]
        time.sleep(seconds)
        world.loop.call(world.leader.grant_all)
        context.replies = [future.result() for future in sent]


@behave.then(
    "the router refused {count:d} of them as {kind} and served the others"
)
def refused_some(context, count, kind):
    refused = [r.refusal for r in context.replies if r.status != 200]
    assert [item["kind"] for item in refused] == [kind] * count, refused
    assert {item["execution"] for item in refused} == {"not_run"}, refused
    for reply in context.replies:
        assert reply.status == 200 or "retry-after" in reply.headers, reply


@behave.given("a router that closes idle connections after {seconds:g} seconds")
def closes_idle(context, seconds):
    answers.start_world(
        context,
        environment={"timeouts": {"answer_timeout_s": 9.0}},
        idle_connection_s=seconds,
        body_timeout_s=1.0,
    )


@behave.when(
    "a caller of the router connects and sends nothing, another one has an "
    "answer and a third waits {pause:g} seconds for one"
)
def idle_callers(context, pause):
    port = context.world.router.port
    join = context.world.send_later("GET", f"/sketch/a?do=slow&pause={pause}")
    silent = socket.create_connection(("127.0.0.1", port), timeout=8)
    served = answers.open_request(context, "/sketch/a?do=ok")
    assert served.recv(65536).startswith(b"HTTP/1.1 200 ")
    context.idle, context.join = (silent, served), join
    context.started = time.monotonic()


@behave.then(
    "the router closes the idle connections after {seconds:g} seconds and "
    "answers the third"
)
def idle_closed(context, seconds):
    for conn in context.idle:
        assert conn.recv(65536) == b""
        conn.close()
    # The default of 75 s would let the callers' own time limit of 8 s pass.
    passed = time.monotonic() - context.started
    assert passed > seconds / 2, passed
    reply = context.join()
    assert reply.status == 200 and reply.whole, reply


@behave.then(
    "the router refuses a pause within a request as {kind} after {seconds:g} "
    "seconds"
)
def pause_refused(context, kind, seconds):
    conn = answers.open_request(
        context, "/sketch/a", "POST", {"Content-Length": "10"}
    )
    started = time.monotonic()
    answer = conn.recv(65536)
    assert f'"{kind}"'.encode() in answer, answer
    assert time.monotonic() - started > seconds * 0.9
    conn.close()


@behave.given("a router whose leader has no environment")
def no_environment(context):
    world = router_fakes.World()
    context.add_cleanup(world.close)
    world.leader.environment = None
    world.start(wait_ready=False)
    context.world = world


@behave.when(
    "the router's backend server announces itself with {changes} and token "
    "{token}"
)
def announces(context, changes, token):
    document = decisions.announcement() | json.loads(changes)
    context.reply = context.world.send(
        "PUT",
        "/-/backend-servers/s1",
        token=token,
        body=json.dumps(document).encode(),
    )


@behave.then(
    "the router answers the announcement with {status:d} and forwards {count:d}"
)
def announcement_answered(context, status, count):
    assert context.reply.status == status, context.reply
    time.sleep(0.4)
    reports = context.world.leader.reports
    seen = [item for report in reports for item in report.announcements]
    assert len(seen) == count, seen


@behave.then("it names the faults [{faults}]")
@behave.then("it names the faults []")
def announcement_faults(context, faults=""):
    errors = (
        json.loads(context.reply.body)["errors"]
        if context.reply.status == 400
        else []
    )
    paths = ", ".join(error["path"] for error in errors)
    assert paths == faults, paths
