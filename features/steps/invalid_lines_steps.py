"""Steps for lines of messages that HTTP does not allow."""

import json
import socket

import behave

from features.steps import router_answers_steps as answers
from features.steps import router_fakes
from waxwingrack.core import data

_HEAD = (
    b"POST /sketch/a HTTP/1.1\r\nHost: x\r\n"
    + f"Authorization: Bearer {router_fakes.TOKEN}\r\n".encode()
)
_WITH_BODY = _HEAD + b"Content-Length: 1\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n"
_CHUNKS = b"\r\n1\r\nb\r\n0\r\n"


def _with_field(line: bytes) -> bytes:
    return _WITH_BODY + line + b"\r\n\r\nb"


def _with_trailer(line: bytes) -> bytes:
    return _CHUNKED + _CHUNKS + line + b"\r\n\r\n"


REQUESTS = {
    "nul_in_value": _with_field(b"X-Own: a\0b"),
    "bell_in_value": _with_field(b"X-Own: a\7b"),
    "escape_in_value": _with_field(b"X-Own: \x1b[31m"),
    "del_in_value": _with_field(b"X-Own: a\x7f"),
    "cr_in_value": _with_field(b"X-Own: a\rX-Other: b"),
    "line_feed_in_value": _with_field(b"X-Own: a\nX-Other: b"),
    "space_before_colon": _with_field(b"X-Own : a"),
    "folded_first_line": _HEAD.replace(b"\r\n", b"\r\n X-Own: a\r\n", 1)
    + b"\r\n",
    "del_in_folded_line": _with_field(b"X-Own: a\r\n b\x7f"),
    "del_in_target": _WITH_BODY.replace(b"/a", b"/a\x7f") + b"\r\nb",
    "high_byte_in_target": _WITH_BODY.replace(b"/a", b"/a\xa0") + b"\r\nb",
    "nul_in_trailer": _with_trailer(b"X-Own: a\0b"),
    "line_feed_in_trailer": _with_trailer(b"X-Own: a\nX-Other: b"),
    "no_colon_in_trailer": _with_trailer(b"X-Own"),
    "high_byte_in_value": _with_field(b"X-Own: \xe9\xff"),
    "tab_in_value": _with_field(b"X-Own: a\tb"),
    "empty_value": _with_field(b"X-Own:"),
    "folded_value": _with_field(b"X-Own: a\r\n\t b"),
    "trailer": _CHUNKED + b"X-Own: a\r\n" + _CHUNKS + b"X-End: \xe9\t\r\n\r\n",
}


def _exchange(port: int, request: bytes) -> bytes:
    with socket.create_connection(
        ("127.0.0.1", port), timeout=router_fakes.WAIT_S
    ) as conn:
        conn.sendall(request)
        return conn.recv(65_536)


@behave.then(
    "the router's log names the invalid line of the request {request_id}"
)
def invalid_line_logged(context, request_id):
    router = context.world.router

    def logged():
        return [
            line
            for line in router.log()
            if line["event"] == "answer_invalid"
            and line["request_id"] == request_id
        ]

    context.world.wait_for(logged, "the invalid line")
    for line in logged():
        assert line["server"] and line["place"] and line["line"], line


@behave.then("the router has named {count:d} crash suspects")
def crash_suspects(context, count):
    world = context.world
    world.wait_for(
        lambda: len(world.leader.finished()) == world.runs(),
        "the end of each attempt",
    )
    seen = [
        item
        for report in world.leader.reports
        for item in report.crash_suspects
    ]
    assert len(seen) == count, seen


@behave.then("the value of X-Own is {value}")
def own_value(context, value):
    expected = None if value == "none" else json.loads(value)
    seen = context.reply.headers.get("x-own")
    assert seen == expected, context.reply.raw_headers


@behave.given(
    "a router with {servers:d} fake backend servers that takes bodies of "
    "{size:d} MiB"
)
def router_with_large_bodies(context, servers, size):
    answers.start_world(
        context,
        servers,
        {"timeouts": {"answer_timeout_s": 10.0}},
        max_body_bytes=size * answers.MIB,
    )


@behave.then("a backend server has begun the request")
def request_begun(context):
    # A refusal of the router itself would look like a broken upload.
    assert context.world.runs() > 0, context.reply


@behave.when("a caller's order is answered with {act}")
def order_answered(context, act):
    context.world.backends[0].faults.append(act)
    answers._order(context, "do=echo")


@behave.then("it was answered within {seconds:g} seconds")
def answered_within(context, seconds):
    assert context.reply.seconds < seconds, context.reply.seconds


@behave.given('a stored answer for the next key with the field "{field}"')
def stored_answer(context, field):
    name, _, value = field.partition(": ")
    value = value.replace("\\0", "\0").replace("\\x7f", "\x7f")
    context.key = answers.new_key()
    answer = data.StoredAnswer(200, ((name, value),), b"stored", False)

    class Records(dict):
        """Has the answer whatever the digest of the request is."""

        def get(self, entry, default=None):
            if entry[1] == context.key:
                return context.digest, answer, ""
            return super().get(entry, default)

    leader = context.world.leader
    apply = leader._apply

    def apply_with_digest(message, entry, owner):
        context.digest = getattr(message, "digest", "")
        return apply(message, entry, owner)

    former = leader.records
    leader.records, leader._apply = Records(former), apply_with_digest

    def restore():
        leader.records, leader._apply = former, apply

    context.add_cleanup(restore)


@behave.when("the router's caller sends a deposit with that key")
def sends_with_key(context):
    answers.send(
        context, "POST", "/sketch/deposit", {"Idempotency-Key": context.key}
    )


@behave.when("the router's caller sends a deposit twice with one key")
def sends_twice(context):
    context.key = answers.new_key()
    sends_with_key(context)
    assert context.reply.status == 502, context.reply
    sends_with_key(context)


@behave.when("a caller sends the router a request with {case}")
def caller_sends_raw(context, case):
    context.raw = _exchange(context.world.router.port, REQUESTS[case])


@behave.when("a call to the operators' port has {case}")
def operators_call(context, case):
    context.raw = _exchange(context.world.router.operators_port, REQUESTS[case])


@behave.then("it gets a refusal with {status:d}")
def raw_refusal(context, status):
    assert context.raw.startswith(b"HTTP/1.1 %d " % status), context.raw


@behave.then("a backend server gets X-Own: {value}")
def backend_got(context, value):
    world = context.world
    world.wait_for(lambda: world.runs() == 1, "the request")
    ((_, _, headers, _),) = (s for b in world.backends for s in b.seen)
    seen = headers.get("x-own") or headers.get("x-own:", "")
    assert seen == json.loads(value), headers


@behave.then("the answer states the length {length}")
def states_length(context, length):
    # The length of a refusal is that of its body.
    if context.reply.status != 502:
        lengths = [
            value
            for name, value in context.reply.raw_headers
            if name.lower() == "content-length"
        ]
        assert lengths == [length], context.reply.raw_headers
