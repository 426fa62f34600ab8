"""Steps for the comparisons of the bench."""

import dataclasses
import itertools
import os
import time

import behave

from bench import alternative_process
from bench import alternatives
from bench import compare
from bench import meters
from features.support import fleet
from features.support import scheduler_tables
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import scheduler

COSTS = {"w1": 100.0, "w2": 10.0}


def ended(grant, cost):
    return data.FinishedRequest(
        grant.term, grant.id, data.Outcome.COMPLETED, 1.0, 1.0, cost
    )


def want(sequence, workspace):
    return dataclasses.replace(
        scheduler_tables.create_request(sequence), workspace=workspace
    )


@behave.given(
    'a scheduler with one slot whose reports are rewritten by "{setting}"'
)
def rewritten_scheduler(context, setting):
    scheduler_tables.create_scheduler(context, 1000)
    context.rewrite = alternatives.REWRITES.get(setting) or (lambda seen: seen)
    rewritten_report(
        context,
        announcements=(scheduler_tables.create_announcement("x", slots=1),),
    )


def rewritten_report(context, **fields):
    report = messages.RouterReport(context.at_ms, 1, **fields)
    context.tables = scheduler.on_report(
        context.tables,
        scheduler_tables.ROUTER,
        context.rewrite(report),
        context.at_ms,
    )
    return scheduler_tables.run_tick(context).grants


@behave.when(
    '"w1" asks 3 times and then "w2" asks 3 times, for costs of 100 and 10'
)
def ask(context):
    names = ["w1"] * 3 + ["w2"] * 3
    wants = tuple(itertools.starmap(want, enumerate(names)))
    context.order = []
    granted = rewritten_report(context, wants=wants)
    while granted:
        (item,) = granted
        context.order.append(names[item.grant.want])
        context.at_ms += 100
        cost = COSTS[context.order[-1]]
        granted = rewritten_report(context, finished=(ended(item.grant, cost),))


@behave.then("the slot goes to {order}")
def slot_order(context, order):
    assert context.order == order.split(), context.order


@behave.then(
    "the static shares of {slots:d} slots over {routers:d} routers add up and"
    " differ by at most 1"
)
def shares(context, slots, routers):
    for server in ("a-1", "a-2", "b-1"):
        found = [
            alternatives.static_share(server, slots, index, routers)
            for index in range(routers)
        ]
        assert sum(found) == slots, found
        assert max(found) - min(found) <= 1, found


@behave.given(
    "a local scheduler of router 1 of 3 and a server of {slots:d} slots"
)
def local_scheduler(context, slots):
    context.local = alternatives.LocalScheduler(
        scheduler_tables.ROUTER, 0, 3, 0
    )
    context.seen = scheduler_tables.create_announcement(
        "x", slots=slots, in_flight=6
    )


@behave.when(
    "{count:d} requests run at the local scheduler, each ending after the next"
    " grants"
)
def run_locally(context, count):
    policy = data.Policy(scheduler_tables.ENVIRONMENT)
    report = messages.RouterReport(
        0,
        1,
        wants=tuple(want(number, "w") for number in range(count)),
        announcements=(context.seen,),
    )
    running, context.used = [], []
    for at_ms in range(0, 100 * count, 100):
        decisions = context.local.step(report, policy, at_ms)
        running += [item.grant for item in decisions.grants]
        context.used.append(len(running))
        done, running = running[:1], running[1:]
        report = messages.RouterReport(
            at_ms,
            1,
            finished=tuple(ended(grant, 1.0) for grant in done),
            announcements=(context.seen,),
        )
    assert not running, "requests left over"


@behave.then("it used {slots:d} slots at most")
def used_slots(context, slots):
    assert max(context.used) == slots, context.used


@behave.given('a fleet with the programs of "{alternative}"')
def alternative_fleet(context, alternative):
    context.fleet = fleet.Fleet(
        controllers=1,
        routers=1,
        proxied=False,
        programs=alternative_process.program(alternative, 1),
    )
    context.add_cleanup(context.fleet.stop)
    context.fleet.start()
    context.fleet.apply(fleet.environment())
    context.fleet.add_server("booking-1", "booking", work_ms=20)
    fleet.wait_until(
        lambda: context.fleet.status()["backend_servers"], 10, "the server"
    )


@behave.when('{count:d} requests of "w1" are answered by the fleet')
def answered(context, count):
    for _ in range(count):
        answer = context.fleet.call("r1", "GET", "/booking/free")
        assert answer.status == 200, answer


@behave.then("the leader's counters are {counters}")
def leader_counters(context, counters):
    wanted = {
        "of everyone only": lambda found: list(found) == ["everyone"],
        "3 for w1": lambda found: found == {"w1": 3.0},
        "absent": lambda found: not found,
    }[counters]
    # The last end is reported after the answer.
    fleet.wait_until(
        lambda: wanted(
            {
                row["id"]: row["counter"]
                for row in context.fleet.status()["workspaces"]
            }
        ),
        5,
        counters,
    )


@behave.then("the ratios of 6, 1 to 3, 0 are 2 and none")
def check_ratios(context):
    found = compare.ratios({"a": 6, "b": 1}, {"a": 3, "b": 0})
    assert found == {"a": 2, "b": None}, found


@behave.then("each setting runs first in every second round")
def check_order(context):
    found = [compare.order("xy", number) for number in range(4)]
    assert found == [("x", "y"), ("y", "x")] * 2, found


@behave.then("the processor time of a busy process of {seconds:g} s is shown")
def check_time(context, seconds):
    spent = meters.ProcessorTime([os.getpid()])
    end = time.process_time() + seconds
    while time.process_time() < end:
        pass
    spent.stop()
    assert abs(spent.spent - seconds) < 0.1, spent.spent
    found = spent.figures(30)["requests_per_s_per_router_core"]
    assert abs(found - 30 / spent.spent) < 0.1, found
