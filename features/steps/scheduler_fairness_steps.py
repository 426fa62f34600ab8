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
    context.workloads = []
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
    context.workloads.append(
        simulation.Workload(name, weight, (low, high), hint)
    )


@behave.given('the simulated workspace "{name}" avoids the server "{server}"')
def simulated_avoid(context, name, server):
    (workload,) = [
        workload for workload in context.workloads if workload.name == name
    ]
    workload.avoid = (server,)


def create_idle_check(context):
    """Creates a check that records steps with an avoidable free slot.

    A free slot is avoidable if a queued request could have used it.
    """

    def check(sim):
        tables = sim.tables
        if not tables.grants_allowed:
            return
        free_servers = {
            row.announcement.server_id
            for row in tables.servers.values()
            if placement.count_used_slots(row) < row.slot_limit.limit
            and not (
                row.paused
                or row.blocked
                or row.reserved_for_isolation
                or row.stale
            )
        }
        if not free_servers:
            return
        for (_, name), queues in tables.queues.items():
            for avoided_servers in queues:
                if free_servers - set(avoided_servers):
                    context.idle.append((sim.now_ms, name, free_servers))

    return check


@behave.when('the simulation runs {seconds:d} s with the fault "{fault}"')
def run_with_fault(context, seconds, fault):
    delay_ms = 60 if fault == "delayed reports" else 0
    sim = simulation.get_simulation(context, delay_ms)
    greedy = sim.workloads.get("greedy")
    if fault == "one router":
        greedy.routers = (0,)
        greedy.window = 96
    if fault == "all routers":
        greedy.window = 96
    check_idle = create_idle_check(context)
    sim.run(4, check_idle)
    context.since_ms = sim.now_ms
    for second in range(seconds):
        sim.run(1, check_idle)
        if fault == "router restarts" and second % 4 == 3:
            sim.restart_router(sim.routers[second // 4 % 3])
        if fault == "leader changes" and second % 5 == 3:
            sim.run(0.35 + 0.1 * (second % 6), check_idle)
            sim.change_leader(gap_ms=700)


@behave.when("the simulation runs {seconds:d} s from its start")
def run_from_start(context, seconds):
    sim = simulation.get_simulation(context)
    context.since_ms = sim.now_ms
    sim.run(seconds, create_idle_check(context))


@behave.when(
    'only "{early}" has queued requests for {single:d} s and then both have'
    " for {both:d} s"
)
def run_single_backlog_first(context, early, single, both):
    sim = simulation.get_simulation(context)
    # Runs both first, so that each workspace has a counter.
    sim.run(3)
    late_workloads = [
        workload for workload in context.workloads if workload.name != early
    ]
    for workload in late_workloads:
        workload.window = 0
    sim.run(single)
    for workload in late_workloads:
        workload.window = 32
    sim.run(0.02)
    context.since_ms = sim.now_ms
    sim.run(both)


@behave.when(
    'only "{early}" has queued requests for {single:d} s, then the leader'
    " changes and both have for {both:d} s"
)
def run_single_backlog_and_change_leader(context, early, single, both):
    sim = simulation.get_simulation(context)
    for workload in context.workloads:
        if workload.name != early:
            workload.window = 0
    sim.run(single)
    for workload in context.workloads:
        workload.window = 32
    # Moves the busy workspace to the last router, so that requests of the idle
    # one are reported first.
    sim.workloads[early].routers = (2,)
    sim.change_leader(gap_ms=700)
    sim.run(0.02)
    context.since_ms = sim.now_ms
    sim.run(both)


@behave.when("the simulated leader starts with all counters at {value:g}")
def start_with_counters(context, value):
    sim = simulation.get_simulation(context)
    rows = [
        data.CounterRow("s", workload.name, value)
        for workload in context.workloads
    ]
    rows.append(data.CounterRow("s", "", value))
    sim.tables = scheduler.create_tables(1, sim.now_ms, rows, ())


@behave.then(
    'the service gap between "{one}" and "{other}" is within the bound'
)
def gap_within_bound(context, one, other):
    sim = context.simulation
    gap = sim.max_service_gap(one, other, context.since_ms)
    bound = sim.gap_bound(one, other)
    assert gap <= bound, f"gap {gap:.0f} above bound {bound:.0f}"
    for name in (one, other):
        assert sim.served_ms[name] > 0, f"{name} was not served"


@behave.then(
    "the simulation left no slot idle while a queued request could run"
)
def no_idle_slot(context):
    assert not context.idle, (len(context.idle), context.idle[:3])


@behave.then(
    'no simulated request of "{name}" waited longer than {seconds:d} s'
)
def bounded_wait(context, name, seconds):
    waited_ms = context.simulation.waits[name]
    assert 0 < waited_ms <= seconds * 1_000, f"waited {waited_ms} ms"


@behave.then("every scheduler counter is below {value:g}")
def counters_below(context, value):
    rows = scheduler.list_counters(context.simulation.tables)
    assert rows and all(row.value < value for row in rows), rows


@behave.then("the grants of each simulated router differ by at most {most:d}")
def grants_differ(context, most):
    grants_by_router = collections.Counter(
        decision.router for _, decision in context.simulation.grants
    )
    assert len(grants_by_router) == 3, grants_by_router
    assert (
        max(grants_by_router.values()) - min(grants_by_router.values()) <= most
    ), grants_by_router


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
    span_ms = sim.now_ms - context.since_ms
    used_share = len(grants) * sim.max_cost_ms / (slots * span_ms)
    assert used_share >= percent / 100, used_share


@behave.then("the simulation has {some} no_backend_server refusals")
def check_refusals(context, some):
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
    reservation = fairness.compute_reservation(
        context.account, data.Account(), data.CostMeter.SLOT_MS, hint
    )
    assert reservation == expected, reservation


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
    actual = fairness.estimate_unknown_cost(
        grant, context.account, data.CostMeter(meter), 1_000 + held
    )
    assert actual == cost, actual
