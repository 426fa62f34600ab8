"""Steps of the fault matrix for drain and restore of a data centre."""

import concurrent.futures
import json
import time
import uuid

import behave

from features.support import faults
from features.support import fleet
from features.support import fleet_watch

# Router in another data centre than the drained one, whose requests reach it.
ROUTER = "r1"
DRAINED = "b"
SERVER = "booking-2"
ENGINE = "sketch-2"
ENGINES = ("sketch-1", ENGINE)
PATH = f"/v1/data-centres/{DRAINED}"
# Bound of I4, in seconds.
DRAIN_BOUND_S = 2.0
# Time under observation after the bound and the repair, in seconds.
OBSERVED_S = 1.5
RETURN_TIMEOUT_S = 15.0
STREAMS = 6
# Tokens of a stream that runs for about three seconds.
STREAM_TOKENS = 1_200


def _runs(cluster, name):
    """Returns the counts of a backend server."""
    port = cluster.members[name].ports["requests"]
    answer = fleet.request(port, "GET", "/-/runs", timeout_s=3)
    return json.loads(answer.body)


def _stream(cluster, router):
    start = time.monotonic()
    answer = cluster.call(
        router,
        "POST",
        "/sketch/draft",
        {"prompt": uuid.uuid4().hex, "max_tokens": STREAM_TOKENS}
        | {"stream": True},
        {"Content-Type": "application/json"},
        timeout_s=20,
    )
    return start, answer


def _start_streams(cluster, pool):
    """Starts streams until some run in the data centre to be drained."""
    streams = []

    def running():
        if not all(stream.done() for stream in streams[-STREAMS:]):
            return _runs(cluster, ENGINE)["in_flight"] > 0
        streams.extend(
            pool.submit(_stream, cluster, cluster.routers[n % 3])
            for n in range(STREAMS)
        )
        return False

    fleet.wait_until(running, RETURN_TIMEOUT_S, f"streams at {ENGINE}")
    return streams


def _set_state(context, state, fault, lost):
    cluster = context.fleet
    body = {
        "operation": str(uuid.uuid4()),
        "operator": "feature",
        "expected": None,
        "state": state,
    }
    leader = cluster.last_leader = cluster.leader()
    other = next(name for name in cluster.controllers if name != leader)
    if lost:
        fleet_watch.send_and_cut(cluster, leader, "PUT", PATH, body)
    context.wait_for_repair = faults.strike(fault, cluster, ROUTER, SERVER)
    status, outcome = fleet_watch.resend(
        cluster, "PUT", PATH, body, first_at=other if lost else leader
    )
    assert status == 200 and outcome["accepted"], outcome
    return time.monotonic()


@behave.when(
    'the fault "{fault}" strikes a matrix {change} of a data centre, answer'
    " {answer}"
)
def strike_drain(context, fault, change, answer):
    cluster, lost = context.fleet, answer == "lost"
    context.fault = fault
    fleet.wait_until(cluster.in_force, 15, "the environment in force")
    context.wait_for_repair = lambda: None
    with (
        fleet_watch.Load(cluster) as context.load,
        concurrent.futures.ThreadPoolExecutor(STREAMS) as pool,
    ):
        _wait_served(context, time.monotonic())
        streams = _start_streams(cluster, pool)
        # Streams that still wait for a grant are not running.
        pending = [stream for stream in streams if not stream.done()]
        context.running = sum(
            _runs(cluster, name)["in_flight"] for name in ENGINES
        )
        try:
            drain_fault = fault if change == "drain" else "none"
            context.drained = _set_state(
                context, "drained", drain_fault, lost and change == "drain"
            )
            _observe_drained(context)
        finally:
            context.wait_for_repair()
            faults.restore(cluster)
        restore_fault = fault if change == "restore" else "none"
        try:
            context.restored = _set_state(
                context, "in_service", restore_fault, lost and change != "drain"
            )
        finally:
            context.wait_for_repair()
            faults.restore(cluster)
        _wait_served(context, time.monotonic())
        context.streams = [stream.result() for stream in streams]
        context.pending = [stream.result() for stream in pending]


def _observe_drained(context):
    cluster = context.fleet
    time.sleep(max(0, context.drained + DRAIN_BOUND_S - time.monotonic()))
    before = {name: _runs(cluster, name)["served"] for name in (SERVER, ENGINE)}
    context.observed = time.monotonic()
    context.wait_for_repair()
    time.sleep(OBSERVED_S)
    after = {name: _runs(cluster, name)["served"] for name in (SERVER, ENGINE)}
    context.counts = (before, after)
    context.until = time.monotonic()


def _wait_served(context, since):
    """Waits until the drained data centre and every router serve."""

    def served():
        good = [c for c in context.load.since(since) if c.answer.status == 200]
        routers = {call[2] for call in good}
        servers = {c[3].headers.get("x-backend-server") for c in good}
        return routers == set(context.fleet.routers) and SERVER in servers

    fleet.wait_until(served, RETURN_TIMEOUT_S, f"{SERVER} and all routers")


@behave.then("no matrix work starts in the drained data centre after 2 s")
def no_new_work(context):
    before, after = context.counts
    assert before == after, (before, after, context.observed - context.drained)
    late = [
        (start - context.drained, router, answer)
        for start, _, router, answer, _ in context.load.calls
        if context.drained + DRAIN_BOUND_S < start < context.until
        and answer.headers.get("x-backend-server") == SERVER
    ]
    assert not late, late
    seen = [
        call
        for call in context.load.calls
        if context.observed < call[0] < context.until and call[3].status == 200
    ]
    assert seen, "no request was served elsewhere during the drain"


@behave.then("the matrix requests that ran at the drain ended whole")
def streams_whole(context):
    servers = {a.headers.get("x-backend-server") for _, a in context.streams}
    assert ENGINE in servers, servers
    for _, answer in context.streams:
        # A fault may refuse a stream that waited, but must not cut one.
        refused = (
            answer.status == 503
            and answer.whole
            and (answer.error.get("execution") == "not_run")
        )
        assert _ended_whole(answer) or (refused and context.fault != "none"), (
            answer.status,
            answer.whole,
            answer.seconds,
            answer.error,
            answer.body[-100:],
        )
    ended = sum(_ended_whole(answer) for _, answer in context.pending)
    assert ended >= context.running, (ended, context.running)


def _ended_whole(answer):
    return (
        answer.status == 200
        and answer.whole
        and answer.body.rstrip().endswith(b"[DONE]")
    )


@behave.then("the matrix drain without a fault causes no error")
def no_error(context):
    if context.fault != "none":
        return
    failed = [
        (start - context.drained, router, answer.status, answer.error)
        for start, _, router, answer, _ in context.load.calls
        if answer.status != 200 or not answer.whole
    ]
    assert not failed, failed
