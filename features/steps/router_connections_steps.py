"""Steps for connections of a router to backend servers."""

import time

import behave

from features.steps import router_answers_steps as answers


@behave.given(
    "a router with one fake backend server and a reuse_idle_s of {limit:f}"
)
def router_with_reuse(context, limit):
    answers.start_world(context, 1, reuse_idle_s=limit)


def _deposit(world, query):
    headers = {"Idempotency-Key": answers.new_key()}
    target = f"/sketch/deposit?{query}"
    return world.send("POST", target, headers=headers, body=b"body")


@behave.when("two deposits with do={act} are sent {gap:f} seconds apart")
def two_deposits(context, act, gap):
    first = _deposit(context.world, f"do={act}")
    time.sleep(gap)
    context.replies = [first, _deposit(context.world, "do=ok")]


@behave.then("both are answered with 200 over {count:d} connections")
def answered_over(context, count):
    assert [reply.status for reply in context.replies] == [200, 200]
    found = context.world.backends[0].connections
    assert found == count, found


@behave.when("three deposits are sent at once and then three in turn")
def at_once_and_in_turn(context):
    world, server = context.world, context.world.backends[0]
    headers = [{"Idempotency-Key": answers.new_key()} for _ in range(3)]
    joins = [
        world.send_later(
            "POST",
            "/sketch/deposit?do=slow&pause=0.3",
            headers=one,
            body=b"body",
        )
        for one in headers
    ]
    assert [join().status for join in joins] == [200] * 3
    context.before = server.connections
    context.sockets = len(server.used)
    for _ in range(3):
        assert _deposit(world, "do=ok").status == 200


@behave.then("the three in turn used one connection")
def used_one(context):
    server = context.world.backends[0]
    assert server.connections == context.before
    assert len(set(server.used[context.sockets :])) == 1, server.used
