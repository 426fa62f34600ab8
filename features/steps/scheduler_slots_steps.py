"""Steps for slot limits, announcements and slots of lost grants."""

import behave
import scheduler_simulation as simulation

from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.operations import placement
from waxwingrack.operations import slot_limits


@behave.when(
    'the simulated fleet suffers "{fault}" for {seconds:d} s and recovers'
    " for {rest:d} s"
)
def run_with_faults(context, fault, seconds, rest):
    sim = simulation.get_simulation(context, 60 if "delay" in fault else 0)
    sim.record_history = False
    for server in sim.servers.values():
        server.lag_ms = 1_000
    for second in range(seconds):
        sim.run(1)
        router = sim.routers[second // 3 % 3]
        if "restarts" in fault and second % 6 == 4:
            sim.restart_router(router)
        if "leader" in fault and second % 9 == 7:
            sim.run(0.335)
            sim.change_leader(gap_ms=0)
        if "connections" in fault and second % 3 == 1:
            sim.break_connection(router)
    sim.delay_ms = 0
    sim.run(rest - 5)
    served_before_ms = sum(sim.served_ms.values())
    sim.run(5)
    total_slots = sum(server.slots for server in sim.servers.values())
    context.used = (sum(sim.served_ms.values()) - served_before_ms) / (
        5_000 * total_slots
    )


@behave.then("no simulated server ever ran more requests than its slots")
def within_slots(context):
    for server in context.simulation.servers.values():
        assert server.max_running <= server.slots, (
            server.id,
            server.max_running,
        )


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
        assert placement.count_used_slots(row) == running, (row, running)


# Slot limits


@behave.given("a slot limit of a new server with {count:d} slots")
def create_slot_limit(context, count):
    context.slot_limit = slot_limits.create_initial_limit(count)
    context.at_ms = 0


@behave.when("{count:d} good results are observed on the slot limit")
def good_results(context, count):
    for _ in range(count):
        context.at_ms += 10
        context.slot_limit = slot_limits.record_outcome(
            context.slot_limit,
            data.Outcome.COMPLETED,
            1.0,
            context.at_ms - 5,
            context.at_ms,
        )


@behave.when(
    "answers of {factor:g} times the median latency are observed for"
    " {seconds:d} s"
)
def slower_results(context, factor, seconds):
    for _ in range(seconds * 20):
        context.at_ms += 50
        context.slot_limit = slot_limits.record_outcome(
            context.slot_limit,
            data.Outcome.COMPLETED,
            factor,
            context.at_ms - 5,
            context.at_ms,
        )


# Latencies of completed requests as multiples of the median.
LATENCY_RATIOS = {"moderate": 3.0, "slow": 6.0}


def _observe_results(context, results, granted_ms):
    for name in results.split():
        context.at_ms += 10
        context.slot_limit = slot_limits.record_outcome(
            context.slot_limit,
            data.Outcome.COMPLETED
            if name in LATENCY_RATIOS
            else data.Outcome(name),
            LATENCY_RATIOS.get(name, 1.0),
            granted_ms if granted_ms is not None else context.at_ms - 5,
            context.at_ms,
        )


@behave.when('the results "{results}" are observed on the slot limit')
def observe_results(context, results):
    _observe_results(context, results, None)


@behave.when("the slot limit is cut")
def cut_slot_limit(context):
    context.at_ms += 10
    context.slot_limit = slot_limits.cut_limit(
        context.slot_limit, context.at_ms
    )


@behave.when('the results "{results}" of old grants are observed')
def observe_old_results(context, results):
    _observe_results(context, results, context.slot_limit.cut_ms - 1)


@behave.then("the slot limit is {limit:d}")
def check_limit(context, limit):
    assert context.slot_limit.limit == limit, context.slot_limit


@behave.then("the slot limit asks for a cut: {answer}")
def check_cut_due(context, answer):
    peers = (
        data.SlotLimit(8, 8, latest_ratio=1.0, latest_ratio_ms=context.at_ms),
    )
    cut_due = slot_limits.is_failing(context.slot_limit) or (
        slot_limits.is_suspected_cold(context.slot_limit)
        and slot_limits.is_cold(context.slot_limit, peers, context.at_ms)
    )
    assert cut_due == (answer == "yes"), context.slot_limit


# Simulated servers


@behave.when(
    'the simulated servers "{names}" become {factor:d} times slower after'
    " {seconds:d} s"
)
def become_slower(context, names, factor, seconds):
    sim = simulation.get_simulation(context)
    sim.record_history = False
    sim.run(seconds)
    for name in names.split():
        if name != "none":
            sim.servers[name].slowdown = factor
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
    sim = simulation.get_simulation(context)
    sim.run(seconds)
    server = sim.servers[name]
    if change == "drain":
        sim.policy = data.Policy(
            sim.environment, drained=frozenset((server.data_centre,))
        )
    elif change == "silence":
        server.silent = True
        announced_ms = sim.tables.servers[name].announced_ms
        sim.now_ms += 0
        context.changed_ms = announced_ms
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
    since_ms = context.changed_ms + after
    late_ms = [
        at_ms - since_ms
        for at_ms, decision in context.simulation.grants
        if decision.grant.server_id == name and at_ms >= since_ms
    ]
    if after == 0:
        late_ms = [delay_ms for delay_ms in late_ms if delay_ms > 0]
    assert not late_ms, late_ms[:5]
    grant_times = [
        at_ms
        for at_ms, decision in context.simulation.grants
        if decision.grant.server_id == name
    ]
    assert grant_times, "the server never got a grant"


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
    sim = simulation.get_simulation(context)
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
    slot_limit = sim.tables.servers[name].slot_limit
    assert slot_limit.limit == slot_limit.announced_slots, slot_limit


# Tables without a simulation


def _create_announcement(incarnation, slots=8, **fields):
    return driver.create_announcement("x", incarnation, slots, **fields)


@behave.given(
    'a scheduler that knows the server "x" with incarnations "{names}"'
)
def scheduler_with_server(context, names):
    driver.create_scheduler(context, 50_000)
    driver.send_report(context, first=True)
    for name in names.split():
        context.at_ms += 1_000
        driver.send_report(context, announcements=(_create_announcement(name),))


@behave.when('the announcements "{late}" arrive')
def announcements_arrive(context, late):
    for word in late.split():
        if word.startswith("+"):
            context.at_ms += int(word)
            continue
        context.at_ms += 5
        announcement = _create_announcement(
            word.rstrip("!"), departing=word.endswith("!")
        )
        driver.send_report(context, announcements=(announcement,))


@behave.then('the scheduler keeps the incarnation "{name}" in use: {answer}')
def keeps_incarnation(context, name, answer):
    row = context.tables.servers["x"]
    assert row.announcement.incarnation == name, row
    context.sequence += 1
    driver.send_report(
        context, wants=(driver.create_request(context.sequence),)
    )
    granted = [
        decision.grant.incarnation
        for decision in driver.run_tick(context).grants
    ]
    assert granted == ([name] if answer == "yes" else []), granted


@behave.when(
    "connects to the server fail until it has been blocked {times:d} times"
)
def connects_fail(context, times):
    context.blocked = []
    driver.send_report(context, wants=(driver.create_request(1),))
    granted_ms = None
    sequence = 1
    while len(context.blocked) < times:
        context.at_ms += 50
        if context.at_ms % 1_000 == 0:
            driver.send_report(
                context, announcements=(_create_announcement("i1"),)
            )
        for decision in driver.run_tick(context).grants:
            if granted_ms is not None:
                context.blocked.append(context.at_ms - granted_ms)
            granted_ms = context.at_ms
            sequence += 1
            finished = data.FinishedRequest(
                1, decision.grant.id, data.Outcome.CONNECT_FAILED, 0, 0, 0
            )
            driver.send_report(
                context,
                finished=(finished,),
                wants=(driver.create_request(sequence),),
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
        driver.send_report(context, wants=(driver.create_request(number),))
        for decision in driver.run_tick(context).grants:
            context.at_ms += 10
            finished = data.FinishedRequest(
                1, decision.grant.id, data.Outcome.COMPLETED, 10, 10, 10
            )
            driver.send_report(context, finished=(finished,))
    driver.send_report(
        context, announcements=(_create_announcement("i1", announced),)
    )


@behave.then("the scheduler limits the server to {limit:d}")
def server_limit(context, limit):
    slot_limit = context.tables.servers["x"].slot_limit
    assert slot_limit.limit == limit, slot_limit
    assert slot_limit.limit <= slot_limit.announced_slots, slot_limit


@behave.given("a scheduler that has granted the only slot of a server at 0 ms")
def granted_only_slot(context):
    driver.create_scheduler(context, 100_000)
    context.base_ms = context.at_ms
    driver.send_report(
        context,
        first=True,
        announcements=(_create_announcement("i1", 1),),
        wants=(driver.create_request(1),),
    )
    (context.decision,) = driver.run_tick(context).grants


@behave.when("the router reconnects at {at} ms and lists the grant as {listed}")
def reconnects(context, at, listed):
    if at == "none":
        return
    context.at_ms = context.base_ms + int(at)
    running = driver.create_running_request(context.decision.grant.id)
    driver.send_report(
        context,
        first=True,
        running=(running,) if listed == "running" else (),
    )


@behave.when("the router reports again at {later:d} ms")
def reports_again(context, later):
    context.at_ms = context.base_ms + later
    driver.send_report(
        context, announcements=(_create_announcement("i1", 1, in_flight=1),)
    )
    driver.run_tick(context)


@behave.then("the scheduler counts {used:d} slots of the server")
def counts_slots(context, used):
    row = context.tables.servers["x"]
    assert placement.count_used_slots(row) == used, row


@behave.given('a new scheduler that awaits the routers "{names}"')
@behave.given('a new scheduler that awaits the routers ""')
def awaiting_scheduler(context, names=""):
    driver.create_scheduler(context, 100_000, 2, names.split())


@behave.when('the routers "{names}" report with first {first}')
def routers_report(context, names, first):
    for name in names.split():
        driver.send_report(
            context,
            router=data.RouterRef(*name.split("/"), "a"),
            first=first == "True",
            wants=(driver.create_request(1),),
            announcements=(_create_announcement("i1"),),
        )


@behave.then("the scheduler grants after {ms:d} ms: {answer}")
def grants_after(context, ms, answer):
    context.at_ms += ms
    granted = bool(driver.run_tick(context).grants)
    assert granted == (answer == "yes")


@behave.given(
    "a new scheduler to which a router lists {count:d} running requests"
)
def new_scheduler_with_running(context, count):
    driver.create_scheduler(context, 100_000, 2, ("r0",))
    running = tuple(map(driver.create_running_request, range(count)))
    driver.send_report(context, first=True, running=running)


@behave.when(
    "the server announces {in_flight:d} requests in flight and {count:d} slots"
)
def server_announces(context, in_flight, count):
    announcement = _create_announcement("i1", count, in_flight=in_flight)
    driver.send_report(context, announcements=(announcement,))


@behave.then("the server has the limit {limit:d} and {used:d} slots in use")
def limit_and_use(context, limit, used):
    row = context.tables.servers["x"]
    assert (row.slot_limit.limit, placement.count_used_slots(row)) == (
        limit,
        used,
    ), row
