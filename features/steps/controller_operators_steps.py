"""Steps for the operators' API of controllers."""

import json
import secrets
import signal
import time

import behave

from features.support import controller_fleet

BODIES = {}


def body(name):
    def decorate(function):
        BODIES[name] = function
        return function

    return decorate


def change(**fields):
    return {"operation": secrets.token_hex(8), "operator": "ada", **fields}


def apply_body(number, **fields):
    return change(
        expected=number, environment=controller_fleet.document(), **fields
    )


BODIES["with the token"] = lambda number: {"body": None}
BODIES["without a token"] = lambda number: {"token": None}
BODIES["with another token"] = lambda number: {"token": "operator-tokem"}
BODIES["with a body that is no JSON"] = lambda number: {"raw": "{"}
BODIES["with a body of 2 MiB"] = lambda number: {
    "raw": json.dumps(apply_body(number)) + " " * (2 * 1024 * 1024)
}
BODIES["with an unknown field"] = lambda number: {
    "body": apply_body(number, extra=1)
}
BODIES["with a negative expected"] = lambda number: {"body": apply_body(-1)}
BODIES["with an old number"] = lambda number: {"body": apply_body(number - 1)}
BODIES["with state drained"] = lambda number: {"body": change(state="drained")}
BODIES["with an unknown state"] = lambda number: {"body": change(state="lost")}
BODIES["with a change"] = lambda number: {"body": change()}


@body("without expected")
def without_expected(number):
    found = apply_body(number)
    del found["expected"]
    return {"body": found}


@body("with two faults")
def two_faults(number):
    found = apply_body(number)
    found["environment"]["workspaces"][0]["weight"] = -1
    found["environment"]["services"][0]["routes"][0]["path"] = "desk"
    return {"body": found}


@body("with an unknown nested field")
def nested_field(number):
    found = apply_body(number)
    found["environment"]["extra"] = 1
    return {"body": found}


def _plan_body(**fields):
    plan = {"id": "r", "service": "desk", "version": "v2", **fields}
    return {"body": change(plan=plan)}


@body("with an unknown plan field")
def plan_field(number):
    return _plan_body(extra=1)


@body("with a watch past the deadline")
def long_watch(number):
    return _plan_body(deadline_s=5.0, watch_s=60.0)


@body("with a deadline of 10 days")
def long_deadline(number):
    return _plan_body(deadline_s=864_000.0)


@body("with c9 replacing c9")
def self_replacing(number):
    address = {"host": controller_fleet.HOST, "port": 9}
    return {"body": change(control=address, operators=address, replaces="c9")}


@behave.when("an operator calls {method} {path} at the leader {how}")
def call(context, method, path, how):
    fleet = context.fleet
    leader = fleet.leader()
    _, seen = fleet.call(leader, "GET", "/v1/environment")
    if seen["number"] == 0:
        fleet.apply(0)
    _, seen = fleet.call(leader, "GET", "/v1/environment")
    context.answer = fleet.call(
        leader, method, path, **BODIES[how](seen["number"])
    )


@behave.then("the call is answered {status:d} and names {names}")
def answered(context, status, names):
    found, answer = context.answer
    assert found == status, (found, answer)
    if status == 400:
        paths = {item["path"] for item in answer["errors"]}
        assert paths == set(names.split(",")), answer
        assert all(item["rule"] for item in answer["errors"]), answer
    else:
        expected = "{}" if names == "nothing" else names
        assert expected in json.dumps(answer), answer


@behave.when(
    'both followers freeze and an operator applies "{name}" at the number '
    "{number:d}"
)
def freeze_and_apply(context, name, number):
    fleet = context.fleet
    leader = fleet.leader()
    context.followers = [x for x in fleet.nodes if x != leader]
    for node_id in context.followers:
        fleet.signal(node_id, signal.SIGSTOP)
    context.late = change(
        expected=number, environment=controller_fleet.document(name)
    )
    begin = time.monotonic()
    context.answer = fleet.call(leader, "PUT", "/v1/environment", context.late)
    context.spent_s = time.monotonic() - begin


@behave.then("the late change was answered 503 within {limit_s:d} s")
def late_unavailable(context, limit_s):
    status, answer = context.answer
    assert status == 503 and answer["message"], context.answer
    assert context.spent_s < limit_s, context.spent_s


@behave.when('both followers resume and the operator sends "{name}" again')
def resume_and_resend(context, name):
    for node_id in context.followers:
        context.fleet.signal(node_id, signal.SIGCONT)
    status, answer = context.fleet.change(
        "PUT", "/v1/environment", **context.late
    )
    assert status == 200 and answer["accepted"], answer


@behave.when("the other two controllers are killed for {time_s:d} s")
def kill_two(context, time_s):
    fleet = context.fleet
    context.last = fleet.leader()
    for node_id in fleet.nodes:
        if node_id != context.last:
            fleet.signal(node_id, signal.SIGKILL)
    time.sleep(time_s)


@behave.then("the last controller answers 421 with no leader and is not ready")
def no_leader(context):
    answer = context.fleet.call(context.last, "GET", "/v1/status")
    assert answer == (421, {"leader": None}), answer
    status, answer = context.fleet.call(context.last, "GET", "/readyz")
    assert status == 503 and answer["reason"], answer


@behave.then(
    'the leader\'s log holds {count:d} grants to "{name}" with a reason'
)
def logged(context, count, name):
    def lines():
        return [
            line
            for line in context.fleet.log(context.leader)
            if line["event"] == "grant" and line["router"] == name
        ]

    # A grant leaves the leader before its line is written.
    controller_fleet.wait_for(lambda: len(lines()) >= count)
    grants = lines()
    assert len(grants) == count, grants
    assert all(line["reason"] for line in grants), grants


@behave.then('the leader shows the metric "{name}"')
def shows_metric(context, name):
    _, text = context.fleet.call(context.leader, "GET", "/metrics", token=None)
    assert f"\nwaxwingrack_{name} " in text, text
