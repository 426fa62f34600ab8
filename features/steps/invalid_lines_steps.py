"""Steps for lines of messages that HTTP does not allow."""

import json

import behave

from features.steps import router_answers_steps as answers


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


@behave.when("a caller's order is answered with {act}")
def order_answered(context, act):
    context.world.backends[0].faults.append(act)
    answers._order(context, "do=echo")


@behave.then("it was answered within {seconds:g} seconds")
def answered_within(context, seconds):
    assert context.reply.seconds < seconds, context.reply.seconds


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
