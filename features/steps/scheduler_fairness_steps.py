"""Steps for fairness and work conservation of the scheduler."""

import collections

import behave
import scheduler_simulation as simulation

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import fairness
from waxwingrack.operations import placement
from waxwingrack.operations import scheduler


@behave.given(
    "a simulated scheduler with {servers:d} servers of {slots:d} slots and"
    " seed {seed:d}"
)
def simulated_scheduler(context, servers, slots, seed):
    context.seed = seed
    context.loads = []
    context.servers = [
        simulation.Server(f"b{number}", slots, "abc"[number % 3])
        for number in range(servers)
    ]
    context.simulation = None


@behave.given(
    'the simulated workspace "{name}" with weight {weight:g}, cost {low:d}-'
    "{high:d} ms and hint factor {hint:g}"
)
def simulated_workspace(context, name, weight, low, high, hint):
    context.loads.append(simulation.Load(name, weight, (low, high), hint))


@behave.given('the simulated workspace "{name}" avoids the server "{server}"')
def simulated_avoid(context, name, server):
    (load,) = [load for load in context.loads if load.name == name]
    load.avoid = (server,)


def watch_idle(context):
    """Records steps in which a free slot and a want for it were both left."""

    def check(sim):
        tables = sim.tables
        if not tables.grants_allowed:
            return
        free = {
            row.announcement.server_id
            for row in tables.servers.values()
            if placement.in_use(row) < row.slot_limit.limit
            and not (
                row.paused
                or row.blocked
                or row.reserved_for_isolation
                or row.stale
            )
        }
        if not free:
            return
        for (_, name), lanes in tables.queues.items():
            for avoid in lanes:
                if free - set(avoid):
                    context.idle.append((sim.now_ms, name, free))

    return check


@behave.when('the simulation runs {seconds:d} s with the trouble "{trouble}"')
def run_with_trouble(context, seconds, trouble):
    delay_ms = 60 if trouble == "delayed reports" else 0
    sim = simulation.start(context, delay_ms)
    greedy = sim.loads.get("greedy")
    if trouble == "one router":
        greedy.routers = (0,)
        greedy.window = 96
    if trouble == "all routers":
        greedy.window = 96
    check = watch_idle(context)
    sim.run(4, check)
    context.since_ms = sim.now_ms
    for second in range(seconds):
        sim.run(1, check)
        if trouble == "router restarts" and second % 4 == 3:
            sim.restart_router(sim.routers[second // 4 % 3])
        if trouble == "leader changes" and second % 5 == 3:
            sim.run(0.35 + 0.1 * (second % 6), check)
            sim.change_leader(gap_ms=700)


@behave.when("the simulation runs {seconds:d} s from its start")
def run_from_start(context, seconds):
    sim = simulation.start(context)
    context.since_ms = sim.now_ms
    sim.run(seconds, watch_idle(context))


@behave.when(
    'only "{early}" has wants for {alone:d} s and then both have for {both:d} s'
)
def run_alone_first(context, early, alone, both):
    sim = simulation.start(context)
    # Both have a counter from earlier on.
    sim.run(3)
    late = [load for load in context.loads if load.name != early]
    for load in late:
        load.window = 0
    sim.run(alone)
    for load in late:
        load.window = 32
    sim.run(0.02)
    context.since_ms = sim.now_ms
    sim.run(both)


@behave.when(
    'only "{early}" has wants for {alone:d} s, then the leader changes and'
    " both have for {both:d} s"
)
def run_alone_and_change(context, early, alone, both):
    sim = simulation.start(context)
    for load in context.loads:
        if load.name != early:
            load.window = 0
    sim.run(alone)
    for load in context.loads:
        load.window = 32
    # The idle workspace is at the routers that report first.
    sim.loads[early].routers = (2,)
    sim.change_leader(gap_ms=700)
    sim.run(0.02)
    context.since_ms = sim.now_ms
    sim.run(both)


@behave.when("the simulated leader starts with all counters at {value:g}")
def start_with_counters(context, value):
    sim = simulation.start(context)
    rows = [data.CounterRow("s", load.name, value) for load in context.loads]
    rows.append(data.CounterRow("s", "", value))
    sim.tables = scheduler.empty(1, sim.now_ms, rows, ())


@behave.then(
    'the service gap between "{one}" and "{other}" is within the bound'
)
def gap_within_bound(context, one, other):
    sim = context.simulation
    gap = sim.widest_gap(one, other, context.since_ms)
    bound = sim.bound(one, other)
    assert gap <= bound, f"gap {gap:.0f} above bound {bound:.0f}"
    for name in (one, other):
        assert sim.service[name] > 0, f"{name} was not served"


@behave.then("the simulation left no slot idle while a want could run")
def no_idle_slot(context):
    assert not context.idle, (len(context.idle), context.idle[:3])


@behave.then('no simulated want of "{name}" waited longer than {seconds:d} s')
def bounded_wait(context, name, seconds):
    waited = context.simulation.waits[name]
    assert 0 < waited <= seconds * 1_000, f"waited {waited} ms"


@behave.then("every scheduler counter is below {value:g}")
def counters_below(context, value):
    rows = scheduler.counters(context.simulation.tables)
    assert rows and all(row.value < value for row in rows), rows


@behave.then("the grants of each simulated router differ by at most {most:d}")
def grants_differ(context, most):
    count = collections.Counter(
        decision.router for _, decision in context.simulation.grants
    )
    assert len(count) == 3, count
    assert max(count.values()) - min(count.values()) <= most, count


@behave.then(
    'the simulated server "{server}" ran at least {percent:d} percent of the'
    " time"
)
def server_was_busy(context, server, percent):
    sim = context.simulation
    slots = sim.servers[server].slots
    grants = [
        at_ms
        for at_ms, decision in sim.grants
        if decision.grant.server_id == server and at_ms >= context.since_ms
    ]
    span = sim.now_ms - context.since_ms
    used = len(grants) * sim.largest_ms / (slots * span)
    assert used >= percent / 100, used


@behave.then("the simulation has {some} no_backend_server refusals")
def refused_without_server(context, some):
    kinds = {refusal.kind for _, _, refusal in context.simulation.refusals}
    expected = {errors.ErrorKind.NO_BACKEND_SERVER} if some == "some" else set()
    assert kinds == expected, kinds


@behave.given(
    "a fairness account with mean cost {mean:g} and largest cost {largest:g}"
)
def fairness_account(context, mean, largest):
    context.account = data.Account(0.0, mean, largest)


@behave.then("a hint of {hint:g} leads to a reservation of {expected:g}")
def reservation_for_hint(context, hint, expected):
    found = fairness.compute_reservation(
        context.account, data.Account(), data.CostMeter.SLOT_MS, hint
    )
    assert found == expected, found


@behave.then(
    "a lost request with reservation {reserved:g}, progress {progress:g} and"
    ' {held:d} ms on a slot costs {cost:g} by "{meter}"'
)
def lost_request_cost(context, reserved, progress, held, cost, meter):
    grant = data.GrantRow(
        router="r0",
        server_id="x",
        incarnation="i",
        version="v1",
        data_centre="a",
        workspace="w",
        service="s",
        route="r",
        digest="",
        weight=1.0,
        charged=max(reserved, progress),
        granted_ms=1_000,
        echo_ms=0,
        cost=progress,
    )
    found = fairness.estimate_unknown_cost(
        grant, context.account, data.CostMeter(meter), 1_000 + held
    )
    assert found == cost, found
