"""Steps for requests that get a second copy at another server."""

import dataclasses
import signal
import time
import urllib.request

import behave
import immutables

from features.steps import router_answers_steps
from features.steps import router_fakes
from features.support import scheduler_tables
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import hedging
from waxwingrack.operations import router_queues

TARGET = hedging.Target("s", "r", ("x", "i"))
NOW_MS = 100_000
# Requests that teach the router the latencies of a route.
WARM_UP_REQUESTS = 25


def _parse_fields(text):
    pairs = (item.split("=") for item in text.split() if "=" in item)
    values = {"True": True, "False": False}
    return {
        key: values[value] if value in values else int(value)
        for key, value in pairs
    }


@behave.given(
    "{count:d} latencies of {low:g}-{high:g} ms and a share of {share:g}"
)
def given_latencies(context, count, low, high, share):
    target = dataclasses.replace(TARGET, server=("other", "i"))
    context.hedges, context.policy = hedging.Hedges(), hedging.Policy(share)
    for number in range(count):
        value = low if low == high else low + number
        context.hedges = hedging.add_sample(
            context.hedges, target, value, NOW_MS
        )


@behave.given("{count:d} latencies of nan-nan ms and a share of {share:g}")
def given_no_numbers(context, count, share):
    given_latencies(context, count, float("nan"), float("nan"), share)


@behave.given("{count:d} latencies of inf-inf ms and a share of {share:g}")
def given_infinite(context, count, share):
    given_latencies(context, count, float("inf"), float("inf"), share)


@behave.when("a request with {change} is sent")
def find_delay(context, change):
    fields = {"repeatable": True} | _parse_fields(change)
    now_ms = NOW_MS + fields.pop("age", 0)
    for _ in range(hedging.MIN_SAMPLES if "slow_server" in fields else 0):
        # Only the samples of the server, as those of the route would change.
        samples = context.hedges.samples.set(
            TARGET,
            hedging.Samples((fields["slow_server"],) * 20, NOW_MS),
        )
        context.hedges = dataclasses.replace(context.hedges, samples=samples)
    fields.pop("slow_server", None)
    needs = fields.pop("needs_slowness", "reports_slowness" in fields)
    context.delay = hedging.find_delay(
        context.hedges,
        dataclasses.replace(context.policy, needs_slowness=needs),
        hedging.Request(TARGET, **fields),
        now_ms,
    )


@behave.then("the delay of its second copy is {delay}")
def delay_is(context, delay):
    shown = "none" if context.delay is None else f"{context.delay:.0f}"
    assert shown == delay, context.delay


@behave.when(
    "{requests:d} requests at a share of {share:g} with {retries:g} retries "
    "left all want a second copy"
)
def want_copies(context, requests, share, retries):
    hedges, policy = hedging.Hedges(), hedging.Policy(share)
    retry_policy = router_queues.RetryPolicy(0.0, retries)
    budgets, context.copies = immutables.Map(), 0
    for _ in range(requests):
        hedges = hedging.earn_copy(hedges, "s", policy)
        hedges, budgets, context.skip = hedging.take_copy(
            hedges, budgets, "s", retry_policy
        )
        context.copies += context.skip is None


@behave.then(
    "{copies:d} second copies are sent and the last request is skipped because "
    "of {reason}"
)
def copies_sent(context, copies, reason):
    assert (context.copies, str(context.skip or "nothing")) == (
        copies,
        reason,
    ), (context.copies, context.skip)


# -- leader -------------------------------------------------------------------


@behave.given(
    "a leader with a request on the server x and {used:d} of {slots:d} slots "
    "in use on the server y"
)
def leader_with_servers(context, used, slots):
    scheduler_tables.create_scheduler(context, 1_000)
    service = data.Service("s", (), "v1", ramp=False)
    environment = dataclasses.replace(
        scheduler_tables.ENVIRONMENT, services=(service,)
    )
    context.policy = data.Policy(environment)
    scheduler_tables.run_tick(context)
    for server, count, busy in (("y", slots, used), ("x", 1, 1)):
        if not count:
            continue
        announcement = scheduler_tables.create_announcement(
            server, slots=count, data_centre="a" if server == "x" else "b"
        )
        context.sequence += busy
        first = context.sequence - busy
        scheduler_tables.send_report(
            context,
            announcements=(announcement,),
            wants=tuple(
                scheduler_tables.create_request(first + number)
                for number in range(busy)
            ),
        )
        granted = scheduler_tables.run_tick(context).grants
        assert [item.grant.server_id for item in granted] == [server] * busy


@behave.given("{queued:d} requests that wait")
def waiting_requests(context, queued):
    context.wants = tuple(
        scheduler_tables.create_request(100 + number)
        for number in range(queued)
    )


@behave.when("a second copy of the request arrives with {change}")
def duplicate_arrives(context, change):
    if change == "drained":
        context.policy = dataclasses.replace(
            context.policy, drained=frozenset("b")
        )
    if change == "new leader":
        scheduler_tables.create_scheduler(context, 1_000, 2, ("r0", "r1"))
    copy = scheduler_tables.create_request(99, duplicate=True, avoid=("x",))
    scheduler_tables.send_report(context, wants=(*context.wants, copy))
    context.decisions = scheduler_tables.run_tick(context)


@behave.then('the leader decides "{verdict}" at once and keeps no second copy')
def leader_decided(context, verdict):
    found = [
        item.grant.server_id
        for item in context.decisions.grants
        if item.grant.want == 99
    ] + [
        reason.removeprefix("second copy: ")
        for _, refusal, reason in context.decisions.refusals
        if refusal.want == 99 and refusal.kind is errors.ErrorKind.NO_SURPLUS
    ]
    assert found == [verdict], context.decisions
    row = context.tables.routers["r0"]
    assert 99 not in row.queue_positions, row
    kept = sum(
        len(queue.entries)
        for queues in context.tables.queues.values()
        for queue in queues.values()
    )
    assert kept == len(context.wants), kept


# -- router -------------------------------------------------------------------


@behave.given(
    "a hedging router that speaks {dialect} with a share of {share:g}"
)
def hedging_router(context, dialect, share, **settings):
    world = router_answers_steps.start_world(
        context,
        2,
        {"timeouts": {"answer_timeout_s": 3.0, "idle_timeout_s": 3.0}},
        dialect=dialect,
        retry_share=1.0,
        hedge_share=share,
        **settings,
        shutdown_delay_s=0.1,
        shutdown_timeout_s=0.5,
    )
    world.leader.prefers_first = True
    context.granted = {}
    make_grant = world.leader.make_grant

    def record(want):
        grant = make_grant(want)
        context.granted[grant.id] = (grant.server_id, want.duplicate)
        return grant

    world.leader.make_grant = record
    for _ in range(WARM_UP_REQUESTS):
        assert world.send("GET", "/sketch/a").status == 200
    world.wait_for(
        lambda: len(world.leader.finished()) == WARM_UP_REQUESTS,
        "the end of the first requests",
    )
    world.forget()
    context.granted.clear()


@behave.given("a hedging router that needs a slowness")
def strict_router(context):
    hedging_router(context, "platform", 1.0, hedge_needs_slowness=True)


@behave.when("a server states the load {load}")
def state_load(context, load):
    world = context.world
    assert world.send("GET", f"/sketch/a?do=load&load={load}").status == 200
    world.forget()


@behave.given("its leader answers second copies with {act}")
def leader_acts(context, act):
    context.world.leader.duplicates = act


@behave.when(
    "the first server does {first}, the second one {second} and a caller asks"
)
def race(context, first, second):
    world = context.world
    router_fakes.FakeBackend.together.clear()
    world.backends[0].faults.append(first)
    world.backends[1].faults.append(second)
    context.reply = world.send("GET", "/sketch/a")


@behave.then("the caller gets one whole answer {kind}")
def one_answer(context, kind):
    reply = context.reply
    assert reply.status == 200 and reply.whole, reply
    request_id = reply.headers.get("x-request-id") or reply.headers.get(
        "request-id"
    )
    text = reply.body.decode()
    match kind:
        case "own":
            assert text.split(":")[0] == request_id, reply
            assert text.count(request_id) == 1, reply
        case "stream":
            lines = [line.split()[1] for line in text.split("\n\n") if line]
            assert lines == ["0", "1", "2", "3", "4"], reply
        case "late":
            assert text == ": open\n\ndata: late\n\n", reply


@behave.then("answers pass whole")
def pass_whole(context):
    for row in context.table:
        reply = context.world.send(row["method"], row["target"])
        found = (reply.whole, str(reply.status), str(len(reply.body)))
        assert found == (True, row["status"], row["bytes"]), (row, reply)


@behave.then("an answer that breaks after its first part is seen as broken")
def seen_as_broken(context):
    reply = context.world.send("GET", "/sketch/a?do=cut_length")
    assert reply.error and not reply.whole, reply


def _list_ends(context):
    return {
        context.granted[item.grant][0]: item.outcome
        for item in context.world.leader.finished()
    }


@behave.then("the grants end as first {first} and second {second}")
def grants_end(context, first, second):
    world = context.world
    count = 1 if second == "none" else 2
    world.wait_for(
        lambda: len(world.leader.finished()) >= count, "the ends of the grants"
    )
    ends = _list_ends(context)
    if first == "any":
        assert sorted(ends.values()) == ["cancelled", "completed"], ends
        return
    expected = {"s1": first} | ({} if second == "none" else {"s2": second})
    assert ends == expected, ends
    assert len(world.leader.finished()) == count, world.leader.finished()


def _read_hedges(context):
    url = f"http://127.0.0.1:{context.world.router.operators_port}/metrics"
    with urllib.request.urlopen(url) as page:
        lines = page.read().decode().splitlines()
    return {
        line.split('"')[1]: float(line.split()[-1])
        for line in lines
        if line.startswith("waxwingrack_router_hedges_total{")
    }


@behave.then("the router counts the second copy as {result}")
def counted_as(context, result):
    found = _read_hedges(context)
    if result == "any":
        assert sum(found.values()) == 1, found
    else:
        assert found == ({} if result == "none" else {result: 1.0}), found


@behave.then("the router sends no more second copies than before")
def none_sent(context):
    assert context.world.runs() == 1, context.world.runs()
    assert not any(copy for _, copy in context.granted.values())


@behave.when("a caller sends a deposit that the first server handles slowly")
def slow_deposit(context):
    context.world.backends[0].faults.append("slow")
    router_answers_steps.send(context, "POST", "/sketch/deposit")


@behave.when(
    "{count:d} requests one after the other find the first server slow"
)
def slow_requests(context, count):
    for _ in range(count):
        context.world.backends[0].faults[:] = ["slow"]
        assert context.world.send("GET", "/sketch/a").status == 200


@behave.then("{count:d} of them have a second copy")
def have_copies(context, count):
    copies = [copy for _, copy in context.granted.values()]
    assert sum(copies) == count, copies


@behave.when("both servers stall and {who} ends the request")
def end_both(context, who):
    world = context.world
    for backend in world.backends:
        backend.faults.append("stall")
    timeout_s = 0.4 if who == "the caller" else router_fakes.WAIT_S
    join = world.send_later("GET", "/sketch/a", timeout_s=timeout_s)
    world.wait_for(lambda: world.runs() == 2, "both copies")
    if who == "the stop":
        time.sleep(0.05)
        world.router.signal(signal.SIGTERM)
    context.reply = join()


@behave.then("both copies are cancelled")
def both_cancelled(context):
    world = context.world
    world.wait_for(
        lambda: all(backend.cancelled for backend in world.backends),
        "closed connections",
        # Well before the answer timeout, which would close them as well.
        1.5,
    )
    world.wait_for(
        lambda: len(world.leader.finished()) == 2, "the ends of both grants"
    )
    assert set(_list_ends(context).values()) == {"cancelled"}
    assert context.reply.status != 200, context.reply
