"""Steps for requests with idempotency keys at a router."""

import concurrent.futures
import signal
import time

import behave

from features.steps import router_answers_steps as answers
from features.steps import router_fakes
from waxwingrack.core import data

DEPOSIT = "/sketch/deposit"


@behave.given("a shared router whose leader answers {message} with {state}")
def leader_answers(context, message, state):
    answers.shared_router(context, 1)
    world = context.world
    world.leader.key_state[message] = data.KeyState(state)


@behave.then("the router gave back the grants it had")
def gave_back(context):
    world = context.world
    time.sleep(0.05)
    claims = sent_names(world).count("KeyClaim")
    world.wait_for(
        lambda: len(world.leader.finished()) == claims, "returned grants"
    )
    seen = {item.outcome for item in world.leader.finished()}
    assert seen <= {data.Outcome.NOT_DISPATCHED}, seen


def sent_names(world):
    return [name for name, _ in world.leader.events if name != "Finished"]


@behave.when("the router's caller sends a deposit twice with do={act}")
def sends_twice(context, act):
    headers = {"Idempotency-Key": answers.new_key()}
    context.replies = [
        answers.send(context, "POST", f"{DEPOSIT}?do={act}", headers)
        for _ in range(2)
    ]


@behave.then("the router's first deposit is {first} and the second is {second}")
def first_and_second(context, first, second):
    one, two = context.replies
    if first == "whole":
        assert one.whole and "x-idempotent-replay" not in one.headers, one
    elif first == "cut":
        assert not one.whole, one
    else:
        assert one.status == int(first), one
    if second == "replayed":
        assert two.headers["x-idempotent-replay"] == "true", two
        assert (one.status, one.body) == (two.status, two.body), two
        kind = "content-type"
        assert one.headers.get(kind) == two.headers.get(kind), two
    else:
        assert two.refusal["kind"] == second, two


@behave.when(
    "the router's callers send {count:d} deposits with one key at the same time"
)
def send_same_time(context, count):
    headers = {"Idempotency-Key": answers.new_key()}
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        sent = [
            pool.submit(
                context.world.send,
                "POST",
                f"{DEPOSIT}?do=slow&pause=0.3",
                headers=headers,
                body=b"1",
            )
            for _ in range(count)
        ]
        context.replies = [future.result() for future in sent]


@behave.then(
    "one deposit of the router ran and {count:d} were refused as {kind}"
)
def one_ran(context, count, kind):
    refused = [r.refusal for r in context.replies if r.status != 200]
    assert [item["kind"] for item in refused] == [kind] * count, refused
    assert {item["execution"] for item in refused} == {"may_have_run"}, refused
    assert context.world.runs() == 1, context.world.runs()


@behave.when(
    "the router's caller sends another deposit with the key of a running one"
)
def another_with_key(context):
    world, headers = context.world, {"Idempotency-Key": answers.new_key()}
    join = world.send_later(
        "POST", f"{DEPOSIT}?do=slow&pause=0.4", headers=headers, body=b"1"
    )
    world.wait_for(lambda: world.runs() == 1, "the first deposit")
    answers.send(context, "POST", DEPOSIT, headers, body=b"2")
    assert join().status == 200


@behave.given("the router's leader ignores the first {message}")
def leader_ignores(context, message):
    context.world.leader.key_ignored[message] = 1


@behave.then(
    "the router's caller waited for the second KeyOutcome and got {status:d}"
)
def waited(context, status):
    assert context.reply.whole and context.reply.status == status
    assert context.reply.seconds >= 0.5, context.reply.seconds
    assert sent_names(context.world).count("KeyOutcome") == 2
    assert recorded(context.world), context.world.leader.records


def recorded(world):
    return [r for r in world.leader.records.values() if r[1] is not None]


@behave.when(
    "the router loses its leader during a deposit and the leader returns"
)
def loses_leader(context):
    world = context.world
    join = world.send_later(
        "POST",
        f"{DEPOSIT}?do=slow&pause=0.4",
        headers={"Idempotency-Key": answers.new_key()},
        body=b"1",
    )
    world.wait_for(lambda: world.runs() == 1, "the deposit")
    world.loop.call(setattr, world.leader, "silent", True)
    world.loop.call(world.leader.drop)
    context.reply = join()
    world.loop.call(setattr, world.leader, "silent", False)


@behave.then("the router's leader has the answer in its record")
def has_record(context):
    context.world.wait_for(
        lambda: bool(recorded(context.world)), "the recorded answer"
    )
    ((_, answer, _),) = recorded(context.world)
    assert answer.body == context.reply.body, answer


@behave.when(
    "the router's caller leaves during a deposit with do={act} and asks again"
)
def leaves_and_resends(context, act):
    world, headers = context.world, {"Idempotency-Key": answers.new_key()}
    target = f"{DEPOSIT}?do={act}"
    conn = answers.open_request(context, target, "POST", headers)
    world.wait_for(lambda: world.runs() == 1, "the deposit")
    time.sleep(0.1)
    conn.close()
    world.wait_for(lambda: bool(recorded(world)), "the recorded answer")
    answers.send(context, "POST", target, headers, body=b"")


@behave.then("the router's caller gets the stored answer")
def gets_stored(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.headers["x-idempotent-replay"] == "true"


@behave.given("the router's first claim ends with {fault}")
def first_claim_ends(context, fault):
    leader, loop = context.world.leader, context.world.loop
    original = leader._key

    def key(conn, message):
        claim = type(message).__name__ == "KeyClaim"
        if not claim or sent_names(context.world).count("KeyClaim") > 1:
            original(conn, message)
        elif fault == "a lost connection":
            leader._apply(
                message, (message.workspace, message.key), conn.peer.incarnation
            )
            conn.close()
        elif fault == "a refused commit":
            unavailable = data.KeyState.UNAVAILABLE
            conn.send(
                router_fakes.messages.KeyAnswer(message.call, unavailable)
            )
        else:
            loop.loop.call_later(1.1, original, conn, message)

    leader._key = key


@behave.then("the router sent {first}, {second} and {third} in this order")
def sent_in_order(context, first, second, third):
    names = [name for name in sent_names(context.world) if name != "KeyLookup"]
    assert names[:3] == [first, second, third], names


@behave.given("{count:d} routers with one leader")
def routers_with_leader(context, count):
    timeouts = {"answer_timeout_s": 5.0}
    world = answers.start_world(context, environment={"timeouts": timeouts})
    for number in range(1, count):
        more = router_fakes.RouterProcess([world.leader], node_id=f"r{number}x")
        world.routers.append(more)
        world.wait_for(lambda more=more: world.ready(more) == 200, "ready")


@behave.when(
    "the router's caller sends a deposit, its router is killed and the caller "
    "asks the other one"
)
def killed_and_resent(context):
    world, headers = context.world, {"Idempotency-Key": answers.new_key()}
    target = f"{DEPOSIT}?do=slow&pause=3"
    join = world.send_later("POST", target, headers=headers, body=b"1")
    world.wait_for(lambda: world.runs() == 1, "the deposit")
    world.router.signal(signal.SIGKILL)
    assert join().error
    context.reply = router_fakes.send(
        world.routers[1].port, "POST", target, headers, b"1"
    )
