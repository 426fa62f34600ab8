"""Steps for the control connection, the environment and the stop."""

import asyncio
import collections
import dataclasses
import datetime
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time

import behave

from features.steps import router_answers_steps as answers
from features.steps import router_fakes
from waxwingrack.core import data
from waxwingrack.daemons import control_link


@behave.given(
    "the router's leader grants with an echo {lag:d} ms old for {seconds:g} "
    "seconds"
)
def grants_old(context, lag, seconds):
    world = context.world
    world.leader.echo_lag_ms = lag
    world.loop.loop.call_soon_threadsafe(
        world.loop.loop.call_later,
        seconds,
        setattr,
        world.leader,
        "echo_lag_ms",
        0,
    )


@behave.then("the router reported not_dispatched for every grant but the last")
def not_dispatched(context):
    world = context.world
    world.wait_for(
        lambda: (
            data.Outcome.COMPLETED
            in {item.outcome for item in world.leader.finished()}
        ),
        "the end",
    )
    *earlier, last = world.leader.finished()
    assert earlier, last
    assert {e.outcome for e in earlier} == {data.Outcome.NOT_DISPATCHED}
    assert world.runs() == 1, world.runs()


@behave.when(
    "the router is frozen for {seconds:g} seconds while its grant is on the way"
)
def frozen(context, seconds):
    world = context.world
    world.leader.granting = False
    context.join = world.send_later("GET", "/sketch/a")
    world.wait_for(lambda: bool(world.leader.wants), "the want")
    world.router.signal(signal.SIGSTOP)
    time.sleep(0.1)
    world.loop.call(world.leader.grant_all)
    world.leader.granting = False
    time.sleep(seconds)
    world.router.signal(signal.SIGCONT)


@behave.then("the router reported not_dispatched for the grant from before")
def reported_before(context):
    world = context.world
    world.wait_for(lambda: bool(world.leader.finished()), "the grant's end")
    first = world.leader.finished()[0]
    assert (first.grant, first.outcome) == (1, data.Outcome.NOT_DISPATCHED)


@behave.then("the router's late grants reached no backend server")
def reached_none(context):
    assert context.world.runs() == 0, context.world.runs()
    context.world.loop.call(context.world.leader.grant_all)
    reply = context.join()
    if reply.status != 200:
        assert reply.refusal["kind"] == "control_unavailable", reply
        assert reply.refusal["execution"] == "not_run", reply


@behave.given("the router's leader stops granting")
def stops_granting(context):
    context.world.leader.granting = False


@behave.given(
    "the router passes a stream of {seconds:g} seconds and has a waiting "
    "request"
)
def stream_and_waiting(context, seconds):
    world = context.world
    pauses = round(seconds / 0.05)
    context.stream = world.send_later(
        "GET", f"/model/a?do=stream&events={pauses}&pause=0.05"
    )
    world.wait_for(lambda: bool(world.leader.wants), "the want of the stream")
    world.loop.call(world.leader.grant_all)
    world.leader.granting = False
    world.wait_for(lambda: world.runs() == 1, "the stream")
    context.join = world.send_later("GET", "/sketch/waiting")
    world.wait_for(lambda: bool(world.leader.wants), "the waiting request")


@behave.when("the router's leader is silent")
def leader_silent(context):
    context.world.loop.call(setattr, context.world.leader, "silent", True)
    context.started = time.monotonic()


@behave.then(
    "the router's waiting request is refused as {kind} with {execution} within "
    "{seconds:d} seconds"
)
def waiting_refused(context, kind, execution, seconds):
    reply = context.join()
    assert time.monotonic() - context.started < seconds
    assert reply.refusal["kind"] == kind, reply
    assert reply.refusal["execution"] == execution, reply


@behave.then("the router is not ready because of {reason}")
def not_ready(context, reason):
    world = context.world
    world.wait_for(lambda: world.ready() == 503, "not ready", 1.0)
    for port in (world.router.port, world.router.operators_port):
        path = "/readyz" if port == world.router.operators_port else "/-/readyz"
        reply = router_fakes.send(port, "GET", path, token=None)
        assert json.loads(reply.body) == {"reason": reason}, reply


@behave.then("new requests at the router are refused as {kind}")
def new_refused(context, kind):
    for method, path, execution in (
        ("GET", "/sketch/a", "not_run"),
        ("POST", "/sketch/deposit", "may_have_run"),
    ):
        answers.send(context, method, path)
        answers.gets_refusal(context, 503, kind, execution)


@behave.then("the router's stream arrives whole")
def stream_whole(context):
    reply = context.stream()
    assert reply.whole and reply.status == 200, reply


@behave.when("the router's leader speaks again")
def speaks_again(context):
    leader = context.world.leader
    leader.granting = True
    context.world.loop.call(setattr, leader, "silent", False)


@behave.then("the router is ready and serves requests")
def ready_again(context):
    context.world.wait_for(lambda: context.world.ready() == 200, "ready")
    assert answers.send(context, "GET", "/sketch/a").status == 200


@behave.when("the router's leader breaks the connection")
def breaks(context):
    context.world.leader.reports.clear()
    context.world.loop.call(context.world.leader.drop)


@behave.then(
    "the router's first report names {running:d} running grant and {wants:d} "
    "want"
)
def first_report(context, running, wants):
    reports = context.world.leader.reports
    context.world.wait_for(
        lambda: any(report.first for report in reports), "a first report"
    )
    first = next(report for report in reports if report.first)
    assert len(first.running) == running and len(first.wants) == wants, first
    assert first.running[0].grant == 1, first
    context.world.loop.call(context.world.leader.grant_all)
    assert context.join().status == 200 and context.stream().whole


@behave.given(
    "a router that {knows} the leader which its first controller names"
)
def hinted(context, knows):
    world = router_fakes.World()
    context.add_cleanup(world.close)
    world.listed = {"knows": 2, "does not know": 1}[knows]
    other = router_fakes.FakeLeader("c0")
    other.hint = world.leader
    if knows == "knows":
        # Another process reaches the leader at an address that the router
        # cannot use.
        nowhere = data.Address("127.0.0.1", 1)
        other.hint_peer = data.Peer(world.leader.node_id, nowhere, nowhere)
    world.leaders = [other, world.leader]
    world.start()
    # The router may have asked the leader first; now the other one is next.
    world.loop.call(world.leader.drop)
    context.world = world


@behave.when("the router's leader pushes number {number:d} without routes")
def pushes(context, number):
    leader = context.world.leader
    changed = router_fakes.environment()
    changed = type(changed)(
        **{
            **{name: getattr(changed, name) for name in changed.__slots__},
            "services": (),
        }
    )
    context.world.loop.call(
        lambda: leader.push(number=number, environment=changed)
    )
    time.sleep(0.2)


@behave.then("the router's caller gets {status:d} for GET {target}")
def gets_status(context, status, target):
    assert answers.send(context, "GET", target).status == status, context.reply


@behave.when("the router's leader drains the router's data centre")
def drains(context):
    leader = context.world.leader
    context.world.loop.call(lambda: leader.push(number=2, drained=("a",)))


@behave.when("the router is told to stop")
def told_to_stop(context):
    context.started = time.monotonic()
    # Connections from before the stop stay usable until they are refused.
    context.router = context.world.router
    context.router.signal(signal.SIGTERM)


@behave.then(
    "the router accepts requests until the delay is over and refuses later "
    "ones as {kind}"
)
def accepts_then_refuses(context, kind):
    world = context.world
    early = world.send_later("GET", "/sketch/early")
    time.sleep(0.6)
    late = answers.send(context, "GET", "/sketch/late")
    answers.gets_refusal(context, 503, kind, "not_run")
    assert late.headers["connection"] == "close", late
    context.early = early


@behave.then("the router's stream and waiting request are answered whole")
def answered_whole(context):
    context.world.loop.call(context.world.leader.grant_all)
    for join in (context.stream, context.join, context.early):
        reply = join()
        assert reply.whole and reply.status == 200, reply
    # Its answer began after the delay; the caller must connect elsewhere.
    assert context.join().headers["connection"] == "close"


@behave.then("the router exits with {code:d}")
def exits(context, code):
    assert context.world.router.process.wait(5) == code
    events = {line["event"] for line in context.world.router.log()}
    assert "router_stopped" in events, events


@behave.given(
    "the router's leader does not record outcomes for {seconds:d} seconds"
)
def does_not_record(context, seconds):
    repeats = seconds * 1000 // control_link.REPEAT_MS
    context.world.leader.key_ignored["KeyOutcome"] = repeats


@behave.given("a router that may take {seconds:d} second to stop")
def may_take(context, seconds):
    answers.start_world(context, shutdown_timeout_s=float(seconds))


@behave.given(
    "a router that may take {stop:d} second to stop and whose servers may take "
    "{answer:d}"
)
def may_take_with_slow_servers(context, stop, answer):
    timeouts = {
        "answer_timeout_s": float(answer),
        "idle_timeout_s": float(answer),
    }
    answers.start_world(
        context, 2, {"timeouts": timeouts}, shutdown_timeout_s=float(stop)
    )


@behave.when(
    "the router is told to stop while {method} {target} runs at its server"
)
def stop_while_running(context, method, target):
    world = context.world
    headers = (
        {"Idempotency-Key": answers.new_key()} if "deposit" in target else {}
    )
    join = world.send_later(method, target, headers=headers, body=b"body")
    world.wait_for(lambda: world.runs() == 1, "a running request")
    told_to_stop(context)
    context.reply = join()


@behave.then("the router reported it as {outcome} and named no crash suspect")
def reported_outcome(context, outcome):
    reports = context.world.leader.reports
    outcomes = [item.outcome for r in reports for item in r.finished]
    assert outcomes == [data.Outcome(outcome)], outcomes
    assert not any(r.crash_suspects for r in reports)


@behave.when(
    "the router is told to stop with a stream of {seconds:d} seconds and a "
    "waiting request"
)
def stop_with(context, seconds):
    stops_granting(context)
    stream_and_waiting(context, seconds)
    told_to_stop(context)


@behave.then("the router's stream is cut")
def stream_cut(context):
    reply = context.stream()
    assert reply.error and not reply.whole, reply


@behave.when("the router is idle for {seconds:d} seconds")
def idle(context, seconds):
    leader = context.world.leader
    leader.reports.clear()
    context.before = leader.counts.bytes_received
    time.sleep(seconds)
    context.rate = (leader.counts.bytes_received - context.before) / seconds


@behave.then("the router sent at most {count:d} reports and {limit:d} KB/s")
def sent_at_most(context, count, limit):
    assert 0 < len(context.world.leader.reports) <= count
    assert context.rate <= limit * 1024, context.rate


@behave.then(
    "the router's operators get {status:d} for {path} with text {text}"
)
def operators_get(context, status, path, text):
    port = context.world.router.operators_port
    reply = router_fakes.send(port, "GET", path, token=None)
    assert reply.status == status and text in reply.body.decode(), reply


@behave.given(
    "a router that looks for another leader after {silence:d} ms of silence"
)
def looks_after(context, silence):
    context.silence_ms = silence


@behave.then(
    "with round trips of {round_trip:d} ms it does so after {silence:d} ms"
)
def does_so(context, round_trip, silence):
    assert silence == control_link.compute_max_silence_ms(
        context.silence_ms, round_trip
    )


class _SlowLink:
    """Forwards connections to a port and delays each direction."""

    def __init__(self, port, delay_s):
        self._port = port
        self._delay_s = delay_s

    async def open(self):
        """Opens the link and returns its port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        """Accepts no more connections."""
        self._server.close()

    async def _serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        try:
            await asyncio.gather(
                self._forward(reader, far_writer),
                self._forward(far_reader, writer),
            )
        finally:
            far_writer.transport.abort()
            writer.transport.abort()

    async def _forward(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while blob := await reader.read(65_536):
                loop.call_later(self._delay_s, writer.write, blob)
        except OSError:
            pass
        await asyncio.sleep(self._delay_s)
        writer.close()


@behave.given(
    "a router that reaches {count:d} controllers over links with round trips "
    "of {round_trip:d} ms"
)
def slow_links(context, count, round_trip):
    world = context.world = router_fakes.World()
    context.add_cleanup(world.close)
    others = [router_fakes.FakeLeader(f"c{i}") for i in range(2, count + 1)]
    for leader in (world.leader, *others):
        port = world.loop.run(leader.open())
        link = _SlowLink(port, round_trip / 2000)
        # The router knows the address of the link only.
        leader.port = world.loop.run(link.open())
        context.add_cleanup(link.close)
    for other in others:
        other.hint = world.leader
    world.leaders = [*others, world.leader]
    world.routers.append(
        router_fakes.RouterProcess(world.leaders, control_silence_s=0.7)
    )


@behave.then("the router is ready within {seconds:d} seconds")
def is_ready_within(context, seconds):
    world = context.world
    world.wait_for(lambda: world.ready() == 200, "a ready router", seconds)


@behave.then("it stays with its leader for {seconds:d} seconds")
def stays(context, seconds):
    time.sleep(seconds)
    events = [line["event"] for line in context.world.router.log()]
    assert "leader_left" not in events, events
    assert context.world.ready() == 200


# Pause of a caller that was refused as the router shuts down.
REFUSED_PAUSE_S = 0.25


class _StopCaller:
    """Sends each request on a new connection until none is accepted."""

    def __init__(self, port):
        self._port = port
        self.statuses = []
        # What happened to requests that got no whole answer.
        self.lost = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while True:
            conn = http.client.HTTPConnection("127.0.0.1", self._port, 8)
            try:
                conn.connect()
            except OSError:
                return
            try:
                conn.request(
                    "GET",
                    "/sketch/a",
                    headers={"Authorization": f"Bearer {router_fakes.TOKEN}"},
                )
                answer = conn.getresponse()
                answer.read()
                self.statuses.append(answer.status)
                if answer.status == 503:
                    time.sleep(REFUSED_PAUSE_S)
            except (OSError, http.client.HTTPException) as exc:
                self.lost.append(repr(exc))
            finally:
                conn.close()

    def join(self):
        self._thread.join()


@behave.when(
    "{count:d} callers send requests on new connections until the router has "
    "ended"
)
def send_during_stop(context, count):
    world = context.world
    context.callers = [_StopCaller(world.router.port) for _ in range(count)]
    time.sleep(0.3)
    world.router.signal(signal.SIGTERM)
    for caller in context.callers:
        caller.join()


@behave.then("each request whose connection was accepted got a whole answer")
def none_lost(context):
    lost = [text for caller in context.callers for text in caller.lost]
    assert not lost, (len(lost), lost[:3])


@behave.then("some of them were served and some refused as shutting_down")
def served_and_refused(context):
    statuses = {s for caller in context.callers for s in caller.statuses}
    assert {200, 503} <= statuses, statuses


@behave.when(
    "{ports:d} ports are closed in turn while {callers:d} callers connect "
    "without a pause"
)
def close_ports(context, ports, callers):
    done = subprocess.run(
        [
            sys.executable,
            str(pathlib.Path(__file__).with_name("port_process.py")),
            str(ports),
            str(callers),
        ],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    context.calls = json.loads(done.stdout)


@behave.then("each caller that was connected got its answer")
def all_connected_answered(context):
    assert not context.calls["lost"], context.calls
    assert context.calls["answered"] > 0


@behave.given("the router has {count:d} idle connections to its backend server")
def idle_connections(context, count):
    joins = [
        context.world.send_later("GET", "/sketch/a?do=slow&pause=0.3")
        for _ in range(count)
    ]
    assert {join().status for join in joins} == {200}
    context.before = count


@behave.when(
    "{count:d} callers leave and are granted while the router is frozen for "
    "{seconds:g} seconds"
)
def leave_while_frozen(context, count, seconds):
    world = context.world
    conns = [answers.open_request(context, "/sketch/a") for _ in range(count)]
    world.wait_for(lambda: len(world.leader.wants) == count, "the wants")
    world.router.signal(signal.SIGSTOP)
    time.sleep(0.1)
    # The grants arrive before the callers leave.
    world.loop.call(world.leader.grant_all)
    for conn in conns:
        conn.close()
    time.sleep(seconds)
    world.router.signal(signal.SIGCONT)
    time.sleep(0.5)


@behave.then("the router has dispatched none of these requests")
def none_dispatched(context):
    lines = [line["event"] for line in context.world.router.log()]
    assert lines.count("ended") >= context.before, lines
    assert lines.count("dispatched") == context.before, lines


@behave.given(
    "a router of the platform with {servers:d} fake backend servers and room "
    "for {count:d} requests"
)
def platform_router(context, servers, count):
    _start_platform_router(context, servers, count, 75.0)


@behave.given(
    "a router of the platform with {servers:d} fake backend servers and room "
    "for {count:d} requests, idle for {idle:d} s"
)
def platform_router_idle(context, servers, count, idle):
    _start_platform_router(context, servers, count, float(idle))


def _start_platform_router(context, servers, count, idle_s):
    world = router_fakes.World()
    context.add_cleanup(world.close)
    environment = router_fakes.environment()
    world.leader.environment = dataclasses.replace(
        environment,
        workspaces=tuple(
            dataclasses.replace(
                workspace, max_queue=count, max_connections=count
            )
            for workspace in environment.workspaces
        ),
    )
    world.start(
        servers,
        dialect="platform",
        max_open_connections=count,
        idle_connection_s=idle_s,
    )
    context.world = world


@behave.when(
    "{count:d} connected callers that wait for {wait_ms:d} ms send a request "
    "at the same moment"
)
def send_at_once(context, count, wait_ms):
    world = context.world
    headers = {"Deadline-Ms": str(wait_ms)}
    context.conns = [answers.open_connection(context) for _ in range(count)]
    # The router accepts them all before the first request.
    time.sleep(1.0)
    world.router.signal(signal.SIGSTOP)
    for conn in context.conns:
        answers.send_request(conn, "/sketch/a", headers=headers)
    context.sent_s = time.time()
    world.router.signal(signal.SIGCONT)


def _dispatch_delays_ms(context):
    times = [
        datetime.datetime.fromisoformat(line["time"]).timestamp()
        for line in context.world.router.log()
        if line["event"] == "dispatched"
    ]
    return [1000 * (at_s - context.sent_s) for at_s in times]


@behave.then("the router has dispatched some of these requests")
def some_dispatched(context):
    time.sleep(2.0)
    assert max(_dispatch_delays_ms(context), default=0) > 0


@behave.then("none later than {limit_ms:d} ms after that moment")
def none_dispatched_late(context, limit_ms):
    late = [ms for ms in _dispatch_delays_ms(context) if ms > limit_ms]
    assert not late, (len(late), max(late))


@behave.then("all others are answered {first:d} or {second:d}")
def others_answered(context, first, second):
    statuses = collections.Counter()
    for conn in context.conns:
        conn.settimeout(1.0)
        statuses[int(conn.recv(64).split()[1])] += 1
        conn.close()
    assert set(statuses) <= {200, first, second}, statuses
    assert statuses[first] + statuses[second] > 0, statuses


_UNKNOWN = {
    "an unknown path": ("GET", "/unknown", router_fakes.TOKEN),
    "an unknown token": ("GET", "/sketch/a", "unknown"),
    "another method": ("GET", "/sketch/deposit/b", router_fakes.TOKEN),
}


@behave.when("the router's leader has been silent for {seconds:g} seconds")
def silent_for(context, seconds):
    leader = context.world.leader
    context.world.loop.call(setattr, leader, "silent", True)
    time.sleep(seconds)


def _send_unknown(context, what):
    method, path, token = _UNKNOWN[what]
    return context.world.send(method, path, token=token)


@behave.then("a request with {what} is refused as {kind} with {execution}")
def unknown_refused(context, what, kind, execution):
    reply = _send_unknown(context, what)
    assert reply.refusal["kind"] == kind, reply
    assert reply.refusal["execution"] == execution, reply


@behave.then(
    "a request with {what} is refused as {kind} once the leader speaks again"
)
def unknown_refused_again(context, what, kind):
    world = context.world
    world.loop.call(setattr, world.leader, "silent", False)
    world.wait_for(lambda: world.ready() == 200, "the router is ready")
    reply = _send_unknown(context, what)
    assert reply.refusal["kind"] == kind, reply


@behave.when(
    "{count:d} callers send a request at the same moment {seconds:g} s after "
    "they connected"
)
def send_after_idling(context, count, seconds):
    context.conns = [answers.open_connection(context) for _ in range(count)]
    time.sleep(seconds)
    for conn in context.conns:
        answers.send_request(conn, "/sketch/a")


@behave.then("all of them get an answer")
def all_answered(context):
    closed = 0
    for conn in context.conns:
        try:
            closed += not conn.recv(64)
        except ConnectionResetError:
            closed += 1
        conn.close()
    assert not closed, closed
