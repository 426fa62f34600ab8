"""Steps for orders between real controllers and stand-in engines."""

import json
import time

import behave

from features.support import fleet as fleet_module

wait_until = fleet_module.wait_until
ENGINES = ("checks", "ignores")
WAIT_S = 25


def call_engine(context, name, *call):
    port = context.fleet.members[name].ports["requests"]
    return json.loads(fleet_module.request(port, *call).body or "{}")


def engine_state(context, name):
    return call_engine(context, name, "GET", "/-/orders")


def announced(context):
    rows = (context.fleet.status() or {}).get("backend_servers", ())
    return {(row["id"], row["version"]) for row in rows}


def applied(context):
    rows = (context.fleet.status() or {}).get("orders", ())
    ended = [row for row in rows if row["state"] == "applied"]
    return {(row["server_id"], row["version"]) for row in ended}


def decisions(context, event):
    """Returns log lines of the leader."""
    leader = wait_until(context.fleet.leader, WAIT_S, "a leader")
    lines = context.fleet.members[leader].decisions()
    return [line for line in lines if line.get("event") == event]


@behave.given(
    'a fleet with the engines "checks" and "ignores" that {verb} orders'
)
def start_fleet(context, verb):
    fleet = fleet_module.Fleet(routers=1, proxied=False)
    context.fleet = fleet
    context.add_cleanup(fleet.stop)
    fleet.start()
    for name in ENGINES:
        fleet.add_server(
            name,
            "sketch",
            engine=True,
            checks_fencing=name == "checks",
            mode={"hold_orders": verb == "hold"},
        )
    fleet.add_server("plain", "booking")


@behave.when('the environment wants "{version}" of all services')
def wants_version(context, version, **settings):
    services = fleet_module.default_services()
    for service in services:
        service["version"] = version
    # Held orders must not time out on a slow machine before the leader ends.
    orders = {"min_serving_share": 0.0, "answer_timeout_s": 120.0}
    services[0]["orders"] = orders | settings
    context.fleet.apply(fleet_module.environment(services=services))
    wait_until(lambda: len(announced(context)) == 3, WAIT_S, "three servers")


@behave.when("the leader is killed once both engines have an order")
def kill_between(context):
    wait_until(
        lambda: all(engine_state(context, name)["pending"] for name in ENGINES),
        WAIT_S,
        "an order at both engines",
    )
    context.fleet.members[context.fleet.leader()].kill()


@behave.then(
    'both engines run "{version}", as the status of the new leader says'
)
def both_run(context, version):
    wanted = {(name, version) for name in ENGINES}
    wait_until(
        lambda: wanted <= announced(context) & applied(context),
        WAIT_S,
        f"{version} at both engines",
    )
    (settings,) = context.fleet.status()["order_settings"]
    assert settings["max_loading"] == 2, settings


@behave.then(
    '"{name}" has applied {count:d} order and has never had 2 at a time'
)
def applied_once(context, name, count):
    state = engine_state(context, name)
    assert len(state["orders"]) == count, state
    assert state["most_pending"] == 1, state


@behave.then('"{name}" has ended at the order with the highest number')
def ended_at_highest(context, name):
    state = engine_state(context, name)
    numbers = [order["fencing"] for order in state["orders"]]
    assert numbers == sorted(numbers) and numbers[-1] == state["fencing"], state


@behave.when("the engines go on once the new leader has read both back")
def go_on(context):
    def read_back():
        lines = decisions(context, "order_read_back")
        return {line["server"] for line in lines} == set(ENGINES)

    wait_until(read_back, WAIT_S, "read-backs of both engines")
    # The checking engine gets a newer order while it still holds the first.
    wait_until(
        lambda: engine_state(context, "checks")["pending"] == 2,
        WAIT_S,
        "a newer order at the engine that checks",
    )
    for name in ENGINES:
        mode = {"hold_orders": False}
        call_engine(context, name, "PUT", "/-/mode", mode)


@behave.then("the server of the service without orders got no order")
def no_order(context):
    state = engine_state(context, "plain")
    assert state["orders"] == [] and state["version"] == "v1", state


@behave.when('an operator starts a rollout of the engines to "{version}"')
def start_rollout(context, version):
    plan = {"id": "move", "service": "sketch", "version": version}
    answer = context.fleet.change("POST", "/v1/rollouts", plan=plan)
    assert answer.status == 200, answer


@behave.when("an operator takes the rollout of the engines back")
def take_back(context):
    answer = context.fleet.change("POST", "/v1/rollouts/move/take-back")
    assert answer.status == 200, answer


@behave.then(
    '{count:d} {word} "{version}" and the orders have a reason in the log'
)
def some_announce(context, count, word, version):
    def settled():
        found = [item for item in announced(context) if item[1] == version]
        logged = [decisions(context, event) for event in events]
        return len(found) == count and all(logged) and logged

    events = ("order", "order_result")
    lines = sum(wait_until(settled, WAIT_S, f"{count} {word} {version}"), [])
    assert all(line["reason"] for line in lines), lines


@behave.when(
    'the environment wants "{version}" of all services within 1 s an answer'
)
def wants_soon(context, version):
    wants_version(context, version, answer_timeout_s=1.0)


def set_mode(context, *names, **mode):
    for name in names:
        wait_until(
            lambda name=name: call_engine(
                context, name, "PUT", "/-/mode", mode
            ),
            WAIT_S,
            f"the mode of {name}",
        )


@behave.when(
    "both engines send {count:d} bytes/s without end to calls about orders"
)
def flood(context, count):
    set_mode(context, *ENGINES, order_flood=count)


@behave.then(
    'the leader logs and counts failed calls to both engines as "{cause}"'
)
def failed_calls(context, cause):
    def logged():
        lines = decisions(context, "engine_call_failed")
        return {
            line["server"] for line in lines if line["cause"] == cause
        } == set(ENGINES)

    wait_until(logged, WAIT_S, f"failed calls as {cause}")
    port = context.fleet.members[context.fleet.leader()].ports["operators"]
    text = fleet_module.request(port, "GET", "/metrics").body.decode()
    name = "waxwingrack_engine_calls_failed_total"
    counted = [x for x in text.splitlines() if x.startswith(name)]
    assert any(f'cause="{cause}"' in line for line in counted), counted


@behave.then(
    "both engines have at most 1 endless answer under way for {time_s:d} s"
)
def no_leak(context, time_s):
    limit = time.monotonic() + time_s
    while time.monotonic() < limit:
        for name in ENGINES:
            state = call_engine(context, name, "GET", "/-/runs")
            assert state["order_floods"] <= 1, (name, state)
        time.sleep(0.1)


@behave.when("both engines answer calls about orders as they should")
def no_flood(context):
    set_mode(context, *ENGINES, order_flood=0)
