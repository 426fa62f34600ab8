"""Steps for invariants in a fleet of processes under load."""

from concurrent import futures
import itertools
import json
import threading
import time

import behave

from bench import load
from features.support import faults
from features.support import fleet
from features.support import fleet_watch

ROUTERS = ("r1", "r2", "r3")
# Servers of the fleet fixture and their announced slots.
SKETCH_SLOTS = 2 * 8
LARGEST_TOKENS = 60
# Shortest time of a token of the sketch servers.
TOKEN_MS = 2
START_S = 20


def _ports(context):
    return [
        context.fleet.members[name].ports["callers"]
        for name in ROUTERS
        if context.fleet.members[name].alive
    ]


def _start(context, service, callers):
    paths = {"sketch": "sketch/ask", "booking": "booking/free"}
    context.load = load.Load(
        _ports(context),
        paths[service],
        callers,
        seed=7,
        tokens=(10, LARGEST_TOKENS),
        method="POST" if service == "sketch" else "GET",
    )
    context.load.start()
    context.add_cleanup(context.load.stop)
    time.sleep(2)
    context.before = len(context.load.answers)


def _runs(context, name):
    port = context.fleet.members[name].ports["requests"]
    answer = fleet.request(port, "GET", "/-/runs")
    return json.loads(answer.body) if answer.status == 200 else None


def _set_mode(context, name, **mode):
    port = context.fleet.members[name].ports["requests"]
    answer = fleet.request(port, "PUT", "/-/mode", mode)
    assert answer.status == 200, answer


@behave.given("a loaded fleet of {count:d} callers on service {service}")
def loaded_fleet(context, count, service):
    _start(context, service, {"w1": count // 2, "w2": count - count // 2})


@behave.when("a cold booking server joins the loaded fleet for {seconds:d} s")
def cold_joins(context, seconds):
    member = context.fleet.add_server(
        f"booking-cold-{time.monotonic_ns()}",
        "booking",
        work_ms=20,
        cold_start_s=seconds,
        cold_factor=5,
        cold_requests=1,
    )
    fleet.wait_until(lambda: _runs(context, member.name), 10, member.name)
    context.cold = member
    context.most = 0
    while _runs(context, member.name)["cold"]:
        time.sleep(0.1)
    context.load.stop()
    context.counts = _runs(context, member.name)
    member.kill()


@behave.then(
    "the cold server was never given more than 1 request at once while cold"
)
def never_overloaded(context):
    assert context.counts["overloads"] == 0, context.counts
    assert context.counts["served"] > 0, context.counts


@behave.then("the loaded fleet gave no refusal and no broken answer")
def no_errors(context):
    context.load.stop()
    assert not context.load.refusals, context.load.refusals
    assert not context.load.broken, context.load.broken
    assert len(context.load.answers) > context.before


@behave.when("{name} of the loaded fleet announces its departure")
def departs(context, name):
    context.departing = name
    _set_mode(context, name, departing=True)
    context.departed = time.monotonic()
    time.sleep(5)
    context.load.stop()
    _set_mode(context, name, departing=False)


@behave.then(
    "no request of the loaded fleet starts there later than {limit:d} s"
    " afterwards"
)
def none_after_departure(context, limit):
    late = [
        answer[0] - answer[6] - context.departed
        for answer in context.load.answers
        if answer[3] == context.departing
        and answer[0] - answer[6] > context.departed
    ]
    assert max(late, default=0) <= limit, max(late)


@behave.given(
    "{count:d} streams of at least {seconds:d} s run through {name} of the"
    " loaded fleet"
)
def streams_run(context, count, seconds, name):
    pool = futures.ThreadPoolExecutor(count)
    context.add_cleanup(pool.shutdown)
    started = [threading.Event() for _ in range(count)]
    context.streams = [
        pool.submit(
            fleet_watch.stream,
            context.fleet,
            name,
            seconds * 1000 // TOKEN_MS,
            started=event,
        )
        for event in started
    ]
    assert all(event.wait(START_S) for event in started), "no stream"


@behave.then("the streams of the loaded fleet arrived whole")
def streams_whole(context):
    for stream in context.streams:
        answer = stream.result()
        assert answer.status == 200 and answer.whole, answer.status
        assert answer.body.rstrip().endswith(b"[DONE]"), answer.body[-100:]


@behave.when("{name} of the loaded fleet gets SIGTERM")
def terminate(context, name):
    member = context.fleet.members[name]
    member.terminate()
    # The balancer sees within the shutdown delay that the router is not ready.
    fleet.wait_until(lambda: not context.fleet.serving(name), 0.4, "not ready")
    context.load.leave(member.ports["callers"])


@behave.then("{name} of the loaded fleet exits with 0 within {limit:d} s")
def exits(context, name, limit):
    member = context.fleet.members[name]
    code = member.process.wait(limit)
    context.load.stop()
    member.start()
    fleet.wait_until(lambda: context.fleet.serving(name), 15, name)
    assert code == 0, code


@behave.when(
    "{killed} of the fleet is killed, {stopped} gets SIGTERM and then the"
    " leader is killed"
)
def kill_router_and_leader(context, killed, stopped):
    cluster = context.fleet
    context.add_cleanup(faults.restore, cluster)
    # A router that was stopped before is noted again once it is back.
    fleet.wait_until(
        lambda: _is_noted(cluster, killed) and _is_noted(cluster, stopped),
        15,
        "both routers noted",
    )
    before = _noted(cluster, "left", stopped)
    cluster.members[stopped].terminate()
    assert cluster.members[stopped].process.wait(20) == 0
    cluster.members[killed].kill()
    # A leader that dies before it has written the shutdown cannot tell it.
    fleet.wait_until(
        lambda: _noted(cluster, "left", stopped) > before, 10, "the shutdown"
    )
    cluster.members[fleet.wait_until(cluster.leader, 15, "a leader")].kill()


def _is_noted(cluster, router):
    """Whether the leader's last note of a router is not that it left."""
    notes = [
        router in line["routers"]
        for line in cluster.members[cluster.leader()].decisions()
        if line["event"] == "routers_noted"
        and (router in line["routers"] or router in line["left"])
    ]
    return bool(notes) and notes[-1]


def _noted(cluster, field, router):
    """Counts the log lines of leaders that note a router."""
    return sum(
        router in line[field]
        for name in cluster.controllers
        for line in cluster.members[name].decisions()
        if line["event"] == "routers_noted"
    )


def _shown(context):
    status = context.fleet.status() or {"routers": ()}
    return {row["id"]: row for row in status["routers"]}


@behave.then(
    "the next leader of the fleet shows {killed} as not connected and not"
    " {stopped}"
)
def next_leader_shows(context, killed, stopped):
    rows = fleet.wait_until(lambda: _shown(context), 15, "a new leader")
    assert not rows[killed]["connected"], rows
    assert rows[killed]["data_centre"], rows
    assert stopped not in rows, rows


@behave.then("every router of the fleet serves again once all processes run")
def all_serve(context):
    faults.restore(context.fleet)
    for name in ROUTERS:
        fleet.wait_until(
            lambda name=name: context.fleet.serving(name), 15, name
        )


@behave.given(
    'the sketch servers of the loaded fleet crash on the text "{text}"'
)
def crash_on(context, text):
    for name in ("sketch-1", "sketch-2"):
        _set_mode(context, name, crash_on=text)


@behave.when(
    'the request with "{text}" is sent {count:d} times through all routers'
    " in turn"
)
def send_poison(context, text, count):
    context.answers = []
    for number in range(count):
        answer = context.fleet.call(
            ROUTERS[number % 3],
            "POST",
            "/sketch/ask",
            {"prompt": text, "max_tokens": 5},
            {"Content-Type": "application/json"},
        )
        context.answers.append(answer)
        time.sleep(0.5)


@behave.then("at most {most:d} crashes happened in the loaded fleet")
def few_crashes(context, most):
    crashes = sum(
        line.get("event") == "stand_in_crash"
        for name in ("sketch-1", "sketch-2")
        for line in context.fleet.members[name].decisions()
    )
    assert 2 <= crashes <= most, (crashes, context.answers)


@behave.then("the last answers through every router are {kind}")
def all_refused(context, kind):
    kinds = [answer.error.get("kind") for answer in context.answers[-3:]]
    assert kinds == [kind] * 3, context.answers


@behave.then(
    "other requests of the same workspace are answered in the loaded fleet"
)
def others_answered(context):
    for name in ("sketch-1", "sketch-2"):
        fleet.wait_until(lambda one=name: _runs(context, one), 10, name)
    before = len(context.load.answers)
    time.sleep(3)
    answered = context.load.answers[before:]
    context.load.stop()
    for name in ("sketch-1", "sketch-2"):
        _set_mode(context, name)
    assert any(answer[1] == "w1" for answer in answered), answered


@behave.given(
    "a loaded fleet where w1 floods sketch with {many:d} callers"
    " and w2 has {few:d}"
)
def flooded(context, many, few):
    _start(context, "sketch", {"w1": many, "w2": few})


@behave.when("the loaded fleet has run for {seconds:d} s")
def run_for(context, seconds):
    context.start = time.monotonic()
    time.sleep(seconds)
    context.end = time.monotonic()
    context.load.stop()


@behave.then(
    "the gap in tokens between {one} and {other} stays within the stated bound"
)
def bounded_gap(context, one, other):
    gap = load.fairness_gap(
        context.load.answers, [one, other], context.start, context.end
    )
    bound = 2 * SKETCH_SLOTS * LARGEST_TOKENS
    print(f"gap {gap} of at most {bound} tokens")
    assert gap <= bound, (gap, bound)


@behave.then("{name} of the loaded fleet was answered throughout")
def answered_throughout(context, name):
    ends = sorted(
        answer[0]
        for answer in context.load.answers
        if answer[1] == name and context.start <= answer[0] <= context.end
    )
    times = [context.start, *ends, context.end]
    pauses = [later - earlier for earlier, later in itertools.pairwise(times)]
    # One round of all slots with the largest request is the longest pause
    # that the fairness bound allows.
    assert max(pauses) <= 3, max(pauses)
