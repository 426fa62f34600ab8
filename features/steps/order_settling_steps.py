"""Steps for the wait of a new leader before its first orders."""

import asyncio
import dataclasses
import random
import types
from unittest import mock

import behave
import order_simulation

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import engine_calls
from waxwingrack.daemons import engine_orders
from waxwingrack.daemons import leader
from waxwingrack.daemons import metrics
from waxwingrack.operations import scheduler

STEP_MS = 100


@behave.given(
    'a new leader, an order to "{name}" that loads and at most {most:d} engine '
    "that loads"
)
def loading_order(context, name, most):
    document = order_simulation.environment(min_serving_share=0.0)
    document = dataclasses.replace(document, max_loading=most)
    group = order_simulation.Group(document)
    order = ("s", name, "i1", "v2", True, "earlier leader")
    assert group.apply(commands.IssueOrder(*order))
    applied = (name, 1, data.OrderState.APPLIED, "answered")
    assert group.apply(commands.RecordOrder(*applied))
    plan = data.RolloutPlan("r", "s", "v2")
    group.apply(commands.StartRollout("r", "ada", None, plan))
    phase = data.RolloutPhase.RAMPING
    group.apply(commands.MoveRollout("r", phase, 1.0, "test"))
    context.state = group.state


def announcement(name):
    address = data.Address("127.0.0.1", 9)
    return data.Announcement(name, "i1", address, "s", "v1", "a", 4)


@behave.when(
    '"{first}" and "{second}" announce themselves after {early_s:g} s and '
    '"{late}" after {late_s:g} s'
)
def announce(context, first, second, early_s, late, late_s):
    context.announced = {first: early_s, second: early_s, late: late_s}


@behave.then(
    "no engine is called in {time_s:d} s and the wanted order is withheld"
)
def nothing_called(context, time_s):
    now, called = [0], []
    driver = types.SimpleNamespace(
        may_act=lambda: True,
        state=context.state,
        replica=types.SimpleNamespace(term=2, node_id="c2"),
        responding_members=frozenset,
    )
    services = leader.Services(
        driver, None, lambda: now[0], random.Random(1), metrics.Metrics()
    )
    router = data.RouterRef("r", "i", "a")

    async def call(_, method, *rest):
        called.append((now[0], method))
        return engine_calls.FailedCall(True, "broken", "test")

    async def run():
        tables = scheduler.create_tables(2, 0, (), ())
        orders = engine_orders.EngineOrders(services)
        for now[0] in range(0, time_s * 1000, STEP_MS):
            seen = tuple(
                announcement(name)
                for name, since_s in context.announced.items()
                if now[0] >= since_s * 1000
            )
            report = messages.RouterReport(now[0], 1, announcements=seen)
            tables = scheduler.on_report(tables, router, report, now[0])
            orders.start_due_actions(tables, now[0])
            await asyncio.sleep(0)
        return orders.withheld_reasons

    with mock.patch.object(engine_calls.EngineClient, "call", call):
        withheld = asyncio.run(run())
    assert not called, called
    assert "max_loading" in withheld["s"], withheld
