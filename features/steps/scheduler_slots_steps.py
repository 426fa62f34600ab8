"""Steps for slot limits, announcements and slots of lost grants."""

import behave
import scheduler_simulation as simulation

from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.operations import placement
from waxwingrack.operations import slot_limits


@behave.when(
    'the simulated fleet suffers "{trouble}" for {seconds:d} s and recovers'
    " for {rest:d} s"
)
def suffer(context, trouble, seconds, rest):
    sim = simulation.start(context, 60 if "delay" in trouble else 0)
    sim.record = False
    for server in sim.servers.values():
        server.lag_ms = 1_000
    for second in range(seconds):
        sim.run(1)
        router = sim.routers[second // 3 % 3]
        if "restarts" in trouble and second % 6 == 4:
            sim.restart_router(router)
        if "leader" in trouble and second % 9 == 7:
            sim.run(0.335)
            sim.change_leader(gap_ms=0)
        if "connections" in trouble and second % 3 == 1:
            sim.break_connection(router)
    sim.delay_ms = 0
    sim.run(rest - 5)
    before = sum(sim.service.values())
    sim.run(5)
    slots_in_all = sum(server.slots for server in sim.servers.values())
    context.used = (sum(sim.service.values()) - before) / (5_000 * slots_in_all)


@behave.then("no simulated server ever ran more requests than its slots")
def within_slots(context):
    for server in context.simulation.servers.values():
        assert server.most <= server.slots, (server.id, server.most)


@behave.then(
    "at least {percent:d} percent of the simulated slots were used in the last"
    " 5 s"
)
def slots_used(context, percent):
    assert context.used >= percent / 100, context.used


@behave.then("the slots in use equal the requests that run")
def slots_equal_running(context):
    sim = context.simulation
    for row in sim.tables.servers.values():
        running = len(sim.servers[row.announcement.server_id].running)
        assert placement.in_use(row) == running, (row, running)


# Ramps


@behave.given("a slot ramp of a fresh server with {count:d} slots")
def fresh_ramp(context, count):
    context.ramp = slot_limits.create_initial_limit(count)
    context.at_ms = 0


@behave.when("{count:d} good results are observed on the slot ramp")
def good_results(context, count):
    for _ in range(count):
        context.at_ms += 10
        context.ramp = slot_limits.record_outcome(
            context.ramp,
            data.Outcome.COMPLETED,
            1.0,
            context.at_ms - 5,
            context.at_ms,
        )


@behave.when(
    "answers of {factor:g} times the usual latency are observed for"
    " {seconds:d} s"
)
def slower_results(context, factor, seconds):
    for _ in range(seconds * 20):
        context.at_ms += 50
        context.ramp = slot_limits.record_outcome(
            context.ramp,
            data.Outcome.COMPLETED,
            factor,
            context.at_ms - 5,
            context.at_ms,
        )


# Latencies of completed requests as multiples of the usual one.
SLOWNESS = {"moderate": 3.0, "slow": 6.0}


def _observe(context, results, granted_ms):
    for name in results.split():
        context.at_ms += 10
        context.ramp = slot_limits.record_outcome(
            context.ramp,
            data.Outcome.COMPLETED if name in SLOWNESS else data.Outcome(name),
            SLOWNESS.get(name, 1.0),
            granted_ms if granted_ms is not None else context.at_ms - 5,
            context.at_ms,
        )


@behave.when('the results "{results}" are observed on the slot ramp')
def observe_results(context, results):
    _observe(context, results, None)


@behave.when("the slot ramp is cut")
def cut_ramp(context):
    context.at_ms += 10
    context.ramp = slot_limits.cut_limit(context.ramp, context.at_ms)


@behave.when('the results "{results}" of old grants are observed')
def observe_old_results(context, results):
    _observe(context, results, context.ramp.cut_ms - 1)


@behave.then("the limit of the slot ramp is {limit:d}")
def ramp_limit(context, limit):
    assert context.ramp.limit == limit, context.ramp


@behave.then("the slot ramp asks for a cut: {answer}")
def ramp_asks_for_cut(context, answer):
    peers = (
        data.SlotLimit(8, 8, latest_ratio=1.0, latest_ratio_ms=context.at_ms),
    )
    due = slot_limits.is_failing(context.ramp) or (
        slot_limits.is_suspected_cold(context.ramp)
        and slot_limits.is_cold(context.ramp, peers, context.at_ms)
    )
    assert due == (answer == "yes"), context.ramp


# Simulated servers


@behave.when(
    'the simulated servers "{names}" become {factor:d} times slower after'
    " {seconds:d} s"
)
def become_slower(context, names, factor, seconds):
    sim = simulation.start(context)
    sim.record = False
    sim.run(seconds)
    for name in names.split():
        if name != "none":
            sim.servers[name].slow = factor
    sim.run(30)


@behave.then('only the simulated servers "{names}" had their limit cut')
def limits_cut(context, names):
    cut = {
        event.fields["server"]
        for _, event in context.simulation.events
        if event.name == "limit_cut"
    }
    assert cut == set(names.split()) - {"none"}, cut


@behave.when(
    'the simulated server "{name}" undergoes "{change}" after {seconds:d} s'
)
def undergo(context, name, change, seconds):
    sim = simulation.start(context)
    sim.run(seconds)
    server = sim.servers[name]
    if change == "drain":
        sim.policy = data.Policy(
            sim.environment, drained=frozenset((server.data_centre,))
        )
    elif change == "silence":
        server.silent = True
        seen_ms = sim.tables.servers[name].announced_ms
        sim.now_ms += 0
        context.changed_ms = seen_ms
    else:
        server.departing = True
    if change != "silence":
        context.changed_ms = sim.now_ms
    if "late" in change:
        sim.run(1.2)
        server.departing = False
    sim.run(12)


@behave.then(
    'the simulated server "{name}" gets no grant from {after:d} ms later on'
)
def no_grant_after(context, name, after):
    since = context.changed_ms + after
    late = [
        at_ms - since
        for at_ms, decision in context.simulation.grants
        if decision.grant.server_id == name and at_ms >= since
    ]
    if after == 0:
        late = [wait for wait in late if wait > 0]
    assert not late, late[:5]
    before = [
        at_ms
        for at_ms, decision in context.simulation.grants
        if decision.grant.server_id == name
    ]
    assert before, "the server never got a grant"


@behave.then('the simulated server "{name}" still gets grants')
def still_gets_grants(context, name):
    sim = context.simulation
    assert any(
        decision.grant.server_id == name and at_ms > sim.now_ms - 1_000
        for at_ms, decision in sim.grants
    )


@behave.when(
    'the simulated data centre "{name}" is drained after {first:d} s and'
    " restored {second:d} s later"
)
def drain_and_restore(context, name, first, second):
    sim = simulation.start(context)
    sim.run(first)
    assert sim.tables.servers["b0"].slot_limit.limit == 4
    sim.policy = data.Policy(sim.environment, drained=frozenset((name,)))
    sim.run(second)
    sim.policy = data.Policy(sim.environment)
    sim.step()


@behave.then(
    'the limit of the simulated server "{name}" is {limit:d} after the restore'
)
def limit_after_restore(context, name, limit):
    assert context.simulation.tables.servers[name].slot_limit.limit == limit


@behave.then('the simulated server "{name}" is warm {seconds:d} s later')
def warm_later(context, name, seconds):
    sim = context.simulation
    sim.run(seconds)
    ramp = sim.tables.servers[name].slot_limit
    assert ramp.limit == ramp.announced_slots, ramp


# Tables without a simulation


def _announcement(incarnation, slots=8, **fields):
    return driver.announcement("x", incarnation, slots, **fields)


@behave.given(
    'a scheduler that knows the server "x" with incarnations "{names}"'
)
def scheduler_with_server(context, names):
    driver.create(context, 50_000)
    driver.report(context, first=True)
    for name in names.split():
        context.at_ms += 1_000
        driver.report(context, announcements=(_announcement(name),))


@behave.when('the announcements "{late}" arrive')
def announcements_arrive(context, late):
    for word in late.split():
        if word.startswith("+"):
            context.at_ms += int(word)
            continue
        context.at_ms += 5
        seen = _announcement(word.rstrip("!"), departing=word.endswith("!"))
        driver.report(context, announcements=(seen,))


@behave.then('the scheduler keeps the incarnation "{name}" in use: {answer}')
def keeps_incarnation(context, name, answer):
    row = context.tables.servers["x"]
    assert row.announcement.incarnation == name, row
    context.sequence += 1
    driver.report(context, wants=(driver.want(context.sequence),))
    granted = [
        decision.grant.incarnation for decision in driver.tick(context).grants
    ]
    assert granted == ([name] if answer == "yes" else []), granted


@behave.when(
    "connects to the server fail until it has been blocked {times:d} times"
)
def connects_fail(context, times):
    context.blocked = []
    driver.report(context, wants=(driver.want(1),))
    since = None
    sequence = 1
    while len(context.blocked) < times:
        context.at_ms += 50
        if context.at_ms % 1_000 == 0:
            driver.report(context, announcements=(_announcement("i1"),))
        for decision in driver.tick(context).grants:
            if since is not None:
                context.blocked.append(context.at_ms - since)
            since = context.at_ms
            sequence += 1
            ended = data.FinishedRequest(
                1, decision.grant.id, data.Outcome.CONNECT_FAILED, 0, 0, 0
            )
            driver.report(
                context,
                finished=(ended,),
                wants=(driver.want(sequence),),
            )


@behave.then(
    "the scheduler blocked the server for {a:d}, {b:d}, {c:d} and {d:d} ms"
)
def blocked_for(context, a, b, c, d):
    for real, expected in zip(context.blocked, (a, b, c, d), strict=True):
        assert expected <= real <= expected + 100, context.blocked


@behave.when(
    "{count:d} requests complete and the server announces {announced:d} slots"
)
def complete_and_announce(context, count, announced):
    for number in range(count):
        driver.report(context, wants=(driver.want(number),))
        for decision in driver.tick(context).grants:
            context.at_ms += 10
            done = data.FinishedRequest(
                1, decision.grant.id, data.Outcome.COMPLETED, 10, 10, 10
            )
            driver.report(context, finished=(done,))
    driver.report(context, announcements=(_announcement("i1", announced),))


@behave.then("the scheduler limits the server to {limit:d}")
def server_limit(context, limit):
    ramp = context.tables.servers["x"].slot_limit
    assert ramp.limit == limit, ramp
    assert ramp.limit <= ramp.announced_slots, ramp


@behave.given("a scheduler that has granted the only slot of a server at 0 ms")
def granted_only_slot(context):
    driver.create(context, 100_000)
    context.base_ms = context.at_ms
    driver.report(
        context,
        first=True,
        announcements=(_announcement("i1", 1),),
        wants=(driver.want(1),),
    )
    (context.decision,) = driver.tick(context).grants


@behave.when("the router reconnects at {at} ms and lists the grant as {listed}")
def reconnects(context, at, listed):
    if at == "none":
        return
    context.at_ms = context.base_ms + int(at)
    running = driver.running(context.decision.grant.id)
    driver.report(
        context,
        first=True,
        running=(running,) if listed == "running" else (),
    )


@behave.when("the router reports again at {later:d} ms")
def reports_again(context, later):
    context.at_ms = context.base_ms + later
    driver.report(context, announcements=(_announcement("i1", 1, in_flight=1),))
    driver.tick(context)


@behave.then("the scheduler counts {used:d} slots of the server")
def counts_slots(context, used):
    row = context.tables.servers["x"]
    assert placement.in_use(row) == used, row


@behave.given('a new scheduler that awaits the routers "{names}"')
@behave.given('a new scheduler that awaits the routers ""')
def awaiting_scheduler(context, names=""):
    driver.create(context, 100_000, 2, names.split())


@behave.when('the routers "{names}" report with first {first}')
def routers_report(context, names, first):
    for name in names.split():
        driver.report(
            context,
            router=data.RouterRef(*name.split("/"), "a"),
            first=first == "True",
            wants=(driver.want(1),),
            announcements=(_announcement("i1"),),
        )


@behave.then("the scheduler grants after {ms:d} ms: {answer}")
def grants_after(context, ms, answer):
    context.at_ms += ms
    granted = bool(driver.tick(context).grants)
    assert granted == (answer == "yes")


@behave.given(
    "a new scheduler to which a router lists {count:d} running requests"
)
def new_scheduler_with_running(context, count):
    driver.create(context, 100_000, 2, ("r0",))
    running = tuple(map(driver.running, range(count)))
    driver.report(context, first=True, running=running)


@behave.when(
    "the server announces {in_flight:d} requests in flight and {count:d} slots"
)
def server_announces(context, in_flight, count):
    seen = _announcement("i1", count, in_flight=in_flight)
    driver.report(context, announcements=(seen,))


@behave.then("the server has the limit {limit:d} and {used:d} slots in use")
def limit_and_use(context, limit, used):
    row = context.tables.servers["x"]
    assert (row.slot_limit.limit, placement.in_use(row)) == (limit, used), row
