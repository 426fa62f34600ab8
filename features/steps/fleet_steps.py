"""Steps for the whole path with real processes."""

import json
import statistics
import uuid

import behave

from features.support import fleet

_PROMPT = {"prompt": "A wedding in Mombasa", "max_tokens": 8}


def _send(context, kind, router, **options):
    if kind == "plain":
        return context.fleet.call(router, "GET", "/booking/free", **options)
    if kind == "streaming":
        return context.fleet.call(
            router,
            "POST",
            "/sketch/draft",
            {**_PROMPT, "stream": True},
            {"Content-Type": "application/json"},
            **options,
        )
    context.key = fleet.key(uuid.uuid4().hex)
    return _confirm(context, router, {"deposit": 1}, **options)


def _confirm(context, router, body, **options):
    return context.fleet.call(
        router,
        "POST",
        "/booking/confirm",
        body,
        {"Idempotency-Key": context.key, "Content-Type": "application/json"},
        **options,
    )


def _runs(context, key):
    counts = [
        json.loads(
            fleet.request(
                context.fleet.members[name].ports["requests"], "GET", "/-/runs"
            ).body
        )
        for name in ("booking-1", "booking-2")
    ]
    return sum(count.get("runs", count).get(key, 0) for count in counts)


@behave.when("a fleet caller sends a {kind} request through {router}")
def send(context, kind, router):
    context.kind = kind
    context.answer = _send(context, kind, router)


@behave.then("the fleet answers with status 200 and the whole answer")
def answered(context):
    answer = context.answer
    assert answer.status == 200, answer
    assert answer.whole and answer.body, answer
    if context.kind == "streaming":
        assert answer.body.rstrip().endswith(b"[DONE]"), answer


@behave.when("the fleet caller sends the same request through {router}")
def send_again(context, router):
    context.second = _confirm(context, router, {"deposit": 1})


@behave.then("the fleet answers both times alike and the request ran once")
def ran_once(context):
    assert context.answer.status == 200, context.answer
    assert context.second.status == 200, context.second
    assert context.second.body == context.answer.body, context.second
    assert context.second.headers.get("x-idempotent-replay") == "true"
    assert _runs(context, context.key) == 1


@behave.when("a fleet caller sends an unknown token")
def unknown_token(context):
    context.answer = _send(context, "plain", "r1", token="nobody")


@behave.when("a fleet caller sends an unknown path")
def unknown_path(context):
    context.answer = context.fleet.call("r1", "GET", "/nothing")


@behave.when("a fleet caller sends no idempotency key")
def no_key(context):
    context.answer = context.fleet.call(
        "r1", "POST", "/booking/confirm", {"deposit": 1}
    )


@behave.when("a fleet caller sends a reused key with another body")
def reused_key(context):
    first = _send(context, "non-repeatable", "r1")
    assert first.status == 200, first
    context.answer = _confirm(context, "r2", {"deposit": 2})


@behave.then(
    "the fleet refuses with {status:d} {kind} and execution {execution}"
)
def refused(context, status, kind, execution):
    answer = context.answer
    assert answer.status == status, answer
    assert answer.error["kind"] == kind, answer
    assert answer.error["execution"] == execution, answer


@behave.when(
    "{count:d} plain fleet requests go through r1 and {count2:d} directly"
    " in turn"
)
def measure(context, count, count2):
    port = context.fleet.members["booking-1"].ports["requests"]
    context.routed, context.direct = [], []
    for _ in range(count):
        context.routed.append(_send(context, "plain", "r1").seconds)
        direct = fleet.request(port, "GET", "/booking/free")
        context.direct.append(direct.seconds)


@behave.then("the fleet adds at most {limit:d} ms at the 95th percentile")
def added_latency(context, limit):
    def percentiles(values):
        cuts = statistics.quantiles([1000 * one for one in values], n=100)
        return cuts[49], cuts[94]

    routed, direct = percentiles(context.routed), percentiles(context.direct)
    print(f"routed p50/p95 {routed} ms, direct {direct} ms")
    assert routed[1] - direct[1] <= limit, (routed, direct)


@behave.given("the fleet accepts an environment with a workspace {workspace}")
def accept_environment(context, workspace):
    weights = getattr(context.fleet, "weights", {"w1": 1, "w2": 1})
    context.fleet.weights = {**weights, workspace: 1}
    context.fleet.apply(fleet.environment(context.fleet.weights))


@behave.when("the fleet's {victim} is killed")
def kill(context, victim):
    context.victim = context.fleet.leader() if victim == "leader" else victim
    context.fleet.members[context.victim].kill()


@behave.then(
    "the fleet serves workspace {workspace} through every running router"
)
def serves(context, workspace):
    for router in context.fleet.routers:
        if context.fleet.members[router].alive:
            _served(context, workspace, router)


@behave.then("the fleet's {victim} serves it too after its restart")
def serves_after_restart(context, victim):
    context.fleet.members[context.victim].start()
    workspace = list(context.fleet.weights)[-1]
    if victim in context.fleet.routers:
        _served(context, workspace, victim)
    else:
        fleet.wait_until(
            lambda: (
                context.fleet.operate(
                    "GET", "/v1/environment", at=context.victim
                ).status
                in (200, 421)
            ),
            10,
            f"{context.victim} with a leader",
        )


def _served(context, workspace, router):
    fleet.wait_until(
        lambda: (
            _send(context, "plain", router, token=f"token-{workspace}").status
            == 200
        ),
        9,
        f"{workspace} served by {router}",
    )


@behave.when("the fleet's {router} is cut off and a change is accepted")
def cut_and_change(context, router):
    context.fleet.isolate(router)
    answer = context.fleet.change(
        "PUT", "/v1/data-centres/c", state="in_service"
    )
    assert answer.status == 200, answer


@behave.then("the fleet's status names {router} as not connected and lagging")
def named_in_status(context, router):
    fleet.wait_until(
        lambda: any(
            row["id"] == router and row["lagging"] and not row["connected"]
            for row in context.fleet.status()["routers"]
        ),
        5,
        f"{router} named in the status",
    )


@behave.then("{router} has the change within {limit:d} s after the cut")
def has_change(context, router, limit):
    context.fleet.heal()
    fleet.wait_until(context.fleet.in_force, limit, f"{router} up to date")
