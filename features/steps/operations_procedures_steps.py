"""Steps that follow the operations page with the commands that it names."""

import collections
import json
import os
import shutil
import signal
import subprocess
import sys
import time
import urllib.parse

import behave

from features.support import fleet
from features.support import fleet_watch
from features.support import pages

PAGE = "docs/OPERATIONS.md"
SHUTDOWN_DELAY_S = 0.5
# A stream of this length, at 2 ms a token, outlasts the shutdown delay, so that
# a router that does not wait for its end cuts it.
LONG_STREAM_TOKENS = 600
COMMAND_TIMEOUT_S = 130
EXIT_TIMEOUT_S = 60
READY_TIMEOUT_S = 30
# Refusals of a resend while a new leader is elected or takes over.
_PASSING = ("control_unavailable", "request_still_running", "not_ready")
SERVERS = ("sketch-1", "sketch-2", "booking-1", "booking-2")


def _weights(*names):
    return fleet.environment(dict.fromkeys(names, 1))


@behave.given("a documented fleet under a load of reads, streams and deposits")
def documented_fleet(context):
    cluster = context.fleet = fleet.Fleet(
        proxied=False, router_settings={"shutdown_delay_s": SHUTDOWN_DELAY_S}
    )
    context.add_cleanup(cluster.stop)
    cluster.serve(
        **{
            name: {
                "engine": name.startswith("sketch"),
                "data_centre": "ab"[int(name[-1]) - 1],
                "work_ms": 20,
            }
            for name in SERVERS
        }
    )
    context.load = fleet_watch.BalancedLoad(cluster)
    context.load.__enter__()
    context.add_cleanup(context.load.__exit__)


def _run(context, words, replaced=None):
    """Runs a command of a page.

    Args:
      context: Context of behave.
      words: Words of the command line.
      replaced: Words of the page and what the fleet has in their place.

    Returns:
      Standard output.
    """
    cluster = context.fleet
    arguments = [(replaced or {}).get(word, word) for word in words[1:]]
    addresses = ",".join(
        f"127.0.0.1:{cluster.members[name].ports['operators']}"
        for name in cluster.controllers
    )
    done = subprocess.run(
        [sys.executable, "-m", "waxwingrack", *arguments],
        cwd=fleet.ROOT,
        env=os.environ
        | {
            "WAXWINGRACK_CONTROLLERS": addresses,
            "WAXWINGRACK_TOKEN_FILE": str(cluster.folder / "token"),
        },
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    assert done.returncode == 0, (words, done)
    return done.stdout


def _write_environment(context, *workspaces):
    path = context.fleet.folder / "environment.json"
    path.write_text(json.dumps(_weights(*workspaces)))
    return str(path)


def _section(heading, command):
    """Returns the commands of a section that start with some words."""
    start = command.split()
    found = [
        words
        for words in pages.commands(PAGE, heading)
        if words[: len(start)] == start
    ]
    assert found, f"{heading!r} names no {command!r}"
    return found


@behave.when('the operator runs the commands of "{heading}" in turn')
def run_section(context, heading):
    replaced = {
        "environment.json": _write_environment(context, "w1", "w2", "w3"),
        "nairobi-1": "a",
    }
    found = pages.commands(PAGE, heading)
    assert len(found) >= 9, found
    for words in found:
        output = _run(context, words, replaced)
        if "--json" in words:
            json.loads(output)


@behave.when("the operator drains a data centre and applies a new workspace")
def accepted_changes(context):
    document = _write_environment(context, "w1", "w2", "w3")
    for command in ("waxwingrack drain", "waxwingrack apply"):
        (words,) = _section("Day-to-day work", command)
        _run(context, words, {"nairobi-1": "c", "environment.json": document})


@behave.when("the {victim} is lost with its disk")
def disk_lost(context, victim):
    cluster = context.fleet
    leader = fleet.wait_until(cluster.leader, READY_TIMEOUT_S, "a leader")
    context.victim = next(
        name
        for name in cluster.controllers
        if (name == leader) == (victim == "leader")
    )
    cluster.members[context.victim].kill()
    shutil.rmtree(cluster.folder / f"{context.victim}-data")


@behave.when('the operator follows "{heading}"')
def replace(context, heading):
    cluster = context.fleet
    (start,) = _section(heading, "waxwingrack controller")
    (repair,) = _section(heading, "waxwingrack repair")
    new, lost = repair[2], repair[repair.index("--replaces") + 1]
    member = cluster.replace_controller(new, context.victim)
    member.start_with(start[1:-1])
    for option, use in (("--control", "control"), ("--operators", "operators")):
        position = repair.index(option) + 1
        assert repair[position] == "HOST:PORT", repair
        repair[position] = f"127.0.0.1:{member.ports[use]}"
    _run(context, repair, {lost: context.victim})


@behave.when("the leader is killed as soon as the repair has ended")
def second_loss(context):
    cluster = context.fleet
    leader = fleet.wait_until(cluster.leader, READY_TIMEOUT_S, "a leader")
    cluster.members[leader].kill()
    context.killed = time.monotonic()


@behave.then("the drained data centre and the new workspace are in force")
def changes_in_force(context):
    cluster = context.fleet
    (words,) = _section("Look at the fleet", "waxwingrack status --json")
    status = json.loads(_run(context, words))
    states = {row["id"]: row["state"] for row in status["data_centres"]}
    assert states["c"] == "drained", states
    fleet.wait_until(cluster.in_force, READY_TIMEOUT_S, "routers up to date")
    # Routers in a drained data centre serve callers that still come.
    for router in cluster.routers:
        fleet.wait_until(
            lambda name=router: (
                cluster.call(
                    name, "GET", "/booking/free", token="token-w3"
                ).status
                == 200
            ),
            READY_TIMEOUT_S,
            f"w3 served by {router}",
        )


@behave.when('the operator follows "{heading}" for every process')
def restart_all(context, heading):
    cluster = context.fleet
    (stop,) = _section(heading, "kill")
    (ready,) = _section(heading, "curl --fail")
    assert stop[-1] == "PID", stop
    number = signal.Signals[f"SIG{stop[1].removeprefix('-')}"]
    path = urllib.parse.urlsplit(ready[-1]).path
    leader = fleet.wait_until(cluster.leader, READY_TIMEOUT_S, "a leader")
    followers = [name for name in cluster.controllers if name != leader]
    for name in (*cluster.routers, *followers, leader):
        member = cluster.members[name]
        role = "router" if name in cluster.routers else "controller"
        (start,) = _section("Install", f"waxwingrack {role}")
        if role == "router":
            context.load.begin_stream(name, LONG_STREAM_TOKENS)
        member.process.send_signal(number)
        code = member.process.wait(EXIT_TIMEOUT_S)
        assert code == 0, (name, code)
        member.start_with(start[1:-1])
        fleet.wait_until(
            lambda port=member.ports["operators"]: (
                fleet.request(port, "GET", path).status == 200
            ),
            READY_TIMEOUT_S,
            f"{name} ready",
        )


@behave.then("callers are answered through every router again")
def answered_again(context):
    since = time.monotonic()
    fleet.wait_until(
        lambda: (
            {
                call.router
                for call in context.load.since(since)
                if call.answer.status == 200
            }
            == set(context.fleet.routers)
        ),
        READY_TIMEOUT_S,
        "answers through every router",
    )


@behave.then("every answered deposit ran once and its answer is still known")
def deposits_kept(context):
    cluster, load = context.fleet, context.load
    load.__exit__()
    answered = {
        call.key: call.answer.body
        for call in load.calls
        if call.key and call.answer.status == 200
    }
    assert answered, "no deposit was answered"
    runs = collections.Counter()
    for name in ("booking-1", "booking-2"):
        port = cluster.members[name].ports["requests"]
        runs.update(
            json.loads(fleet.request(port, "GET", "/-/runs").body)["runs"]
        )
    assert max(runs.values()) == 1, runs
    assert answered.keys() <= runs.keys(), answered.keys() - runs.keys()
    routers = [name for name in cluster.routers if cluster.serving(name)]
    assert routers, "no router is ready"
    for key, body in answered.items():
        replay = fleet.wait_until(
            lambda key=key: _replay(cluster, routers[0], key),
            READY_TIMEOUT_S,
            f"the answer of {key}",
        )
        assert replay.body == body, (key, replay)
        assert replay.headers.get("x-idempotent-replay") == "true", replay


def _replay(cluster, router, key):
    answer = fleet_watch.deposit(cluster, router, key)
    return None if answer.error.get("kind") in _PASSING else answer


@behave.then('no caller saw a cut answer or an "{kind}" refusal')
def no_cut_answer(context, kind):
    context.load.__exit__()
    calls = context.load.calls
    cut = [call for call in calls if not call.answer.whole]
    assert not cut, cut[:3]
    found = collections.Counter(
        call.answer.error.get("kind", call.answer.status) for call in calls
    )
    assert found[kind] == 0, found
    assert found[200] > 0, found
    print(f"answers: {dict(found)}")
