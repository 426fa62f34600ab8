"""Steps for orders between real controllers and stand-in engines."""

import datetime
import json
import os
import subprocess
import sys
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
            mode={
                "hold_orders": verb == "hold",
                "lose_orders": verb == "lose",
            },
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
    'the environment wants "{version}" of all services within {limit:d} s an '
    "answer"
)
def wants_soon(context, version, limit):
    wants_version(context, version, answer_timeout_s=limit)


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


@behave.when(
    'the environment wants "{version}" with order delays of at most {limit:d} s'
)
def wants_bounded(context, version, limit):
    wants_version(
        context, version, answer_timeout_s=1.0, max_order_delay_s=limit
    )


def lost_orders(context, name):
    return call_engine(context, name, "GET", "/-/runs")["lost_orders"]


@behave.when('"{name}" has lost {count:d} orders')
def has_lost(context, name, count):
    wait_until(
        lambda: lost_orders(context, name) >= count,
        WAIT_S,
        f"{count} lost orders",
    )


def log_time_s(line):
    return datetime.datetime.fromisoformat(line["time"]).timestamp()


@behave.then(
    'the first order to "{name}" was recorded as "{state}" after {least:d} s '
    "at least"
)
def recorded_as(context, name, state, least):
    (sent, *_), (ended, *_) = (
        [x for x in decisions(context, event) if x["server"] == name]
        for event in ("order_unknown", "order_result")
    )
    assert (ended["state"], ended["fencing"]) == (state, sent["fencing"])
    # The lines are written a moment after what they tell of.
    assert log_time_s(ended) - log_time_s(sent) >= least - 0.1, (sent, ended)


@behave.when("both engines take orders again")
def take_again(context):
    set_mode(context, *ENGINES, lose_orders=False)


STOPS = {"frozen": ("freeze", "resume"), "killed": ("kill", "start")}


@behave.when('the leader is {stopped} once "{name}" has lost an order')
def stop_leader(context, stopped, name):
    has_lost(context, name, 1)
    context.stopped = context.fleet.members[context.fleet.leader()]
    getattr(context.stopped, STOPS[stopped][0])()
    wait_until(
        lambda: any(
            context.fleet.operate("GET", "/v1/status", at=other).status == 200
            for other in context.fleet.controllers
            if other != context.stopped.name
        ),
        WAIT_S,
        "a new leader",
    )


@behave.when("the leader that was {stopped} comes back")
def comes_back(context, stopped):
    getattr(context.stopped, STOPS[stopped][1])()


@behave.then('"{name}" saw the connections of all lost orders reset')
def saw_resets(context, name):
    def ended():
        state = call_engine(context, name, "GET", "/-/runs")
        ends = state["lost_ends"]
        return len(ends) == state["lost_orders"] and ends

    ends = wait_until(ended, WAIT_S, "the ends of all lost orders")
    assert set(ends) == {"ConnectionLost"}, ends


@behave.then('"{name}" gets no other order for {time_s:d} s')
def no_other_order(context, name, time_s):
    has_lost(context, name, 1)
    time.sleep(time_s)
    assert lost_orders(context, name) == 1, lost_orders(context, name)


@behave.then('"{name}" gets no other order for {time_s:d} s under a new leader')
def no_other_under_new(context, name, time_s):
    no_other_order(context, name, time_s)


def clear(context, name, offset):
    rows = wait_until(context.fleet.status, WAIT_S, "a status")["orders"]
    (row,) = (row for row in rows if row["server_id"] == name)
    ports = [
        context.fleet.members[controller].ports["operators"]
        for controller in context.fleet.controllers
    ]
    command = [sys.executable, "-m", "waxwingrack", "order", "clear", name]
    options = {
        "--fencing": str(row["fencing"] + offset),
        "--controllers": ",".join(f"127.0.0.1:{port}" for port in ports),
        "--token-file": str(context.fleet.folder / "token"),
        "--operator": "ada",
    }
    return subprocess.run(
        [*command, *sum(options.items(), ())],
        cwd=fleet_module.ROOT,
        env=os.environ | {"PYTHONPATH": str(fleet_module.ROOT)},
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )


@behave.then(
    'the command to clear {which} order to "{name}" is refused as "{text}"'
)
def clear_refused(context, which, name, text):
    has_lost(context, name, 1)
    done = clear(context, name, 1 if which == "a later" else 0)
    assert done.returncode == 1 and text in done.stderr, done


@behave.when('an operator clears the order to "{name}"')
def clears(context, name):
    done = clear(context, name, 0)
    assert done.returncode == 0, done


@behave.then("the log of the leader says who cleared the order")
def log_says_who(context):
    lines = decisions(context, "ClearOrder")
    assert [line["operator"] for line in lines if line["accepted"]] == ["ada"]
