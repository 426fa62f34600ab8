"""Steps for orders to model engines."""

import dataclasses
import random
from unittest import mock

import behave
import order_simulation

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import order_choice
from waxwingrack.operations import order_ends
from waxwingrack.operations import order_rollouts
from waxwingrack.operations import order_work
from waxwingrack.operations import orders
from waxwingrack.operations import replicated
from waxwingrack.operations import replicated_orders
from waxwingrack.operations import scheduler

SEEDS = range(40)
Phase = data.RolloutPhase


def unchecked():
    """Engines that announce a check that they do not make."""
    return mock.patch.object(
        order_simulation.Run.__init__, "__defaults__", (False,)
    )


def nobody_late():
    """A leader that takes all earlier leaders for ended."""

    class Everyone:
        __contains__ = lambda *_: True  # noqa: E731

    view = orders.OrderInputs
    return mock.patch.object(
        orders, "OrderInputs", lambda *parts: view(*parts[:4], Everyone())
    )


WITHOUT = {
    "the end of earlier calls": nobody_late,
    "the bound on delays": lambda: mock.patch.object(
        order_work.OrderPlanner,
        "_conclusive_fencing",
        lambda planner, engine: planner.rows[engine.server_id].closed_fencing,
    ),
    "the check of numbers": unchecked,
    "the outstanding record": lambda: mock.patch.object(
        replicated_orders, "may_follow", lambda *_: True
    ),
    "the limits": lambda: mock.patch.object(
        order_choice, "_find_reached_limit", lambda *_: ""
    ),
    "the read-back": lambda: mock.patch.object(
        order_ends, "_find_shown_state", lambda *_: data.OrderState.NOT_SENT
    ),
}


class Leader(order_simulation.Group):
    """Drives the decisions; engines answer read-backs as `shown` says."""

    def __init__(self, document, engines, shown=""):
        super().__init__(document)
        self.engines, self.shown = engines, shown

    def roll(self, phase, share):
        plan = data.RolloutPlan("r", "s", "v2")
        if "r" not in self.state.rollouts:
            self.apply(commands.StartRollout("r", "ada", None, plan))
        self.apply(commands.MoveRollout("r", phase, share, "test"))

    def decide(self):
        view = orders.OrderInputs(self.state, self.engines, "leader-1")
        plan = orders.decide(view, self.contacts, self.now_ms)
        self.contacts = plan.call_states
        return plan

    def answer_read(self, item):
        engine = next(e for e in self.engines if e.server_id == item.server_id)
        order = self.state.orders.get(item.server_id)
        applied = {order.fencing} if self.shown == "the order" else set()
        seen = order.fencing if self.shown == "its number" else 0
        readout = orders.Readout(engine.incarnation, seen, frozenset(applied))
        reply = orders.Reply(orders.ReplyKind.ANSWERED, "shown", readout)
        call = (item.server_id, order, item.token, reply, self.now_ms)
        noted = orders.end_read_back(self.contacts, *call)
        self.contacts = noted.call_states
        if noted.command:
            self.proposed(noted.command, item.token)


@behave.given('a service at version "v1" with the engines {engines}')
def given_engines(context, engines):
    context.engines = []
    for text in engines.replace("none", "").split():
        name, version, slots, in_use, *drained = text.split(":")
        head = (name, "i1", None, "s", version, int(slots), int(in_use))
        context.engines.append(orders.Engine(*head, placeable=not drained))


@behave.given(
    "at most {most:d} engines load and {least:g} of the slots keep serving"
)
def given_limits(context, most, least):
    document = order_simulation.environment(min_serving_share=least)
    context.leader = Leader(
        dataclasses.replace(document, max_loading=most), tuple(context.engines)
    )


@behave.when('a rollout to "v2" has the share {share}')
def has_share(context, share):
    phases = {"back": (Phase.TAKEN_BACK, 0.0), "done": (Phase.DONE, 1.0)}
    phase = phases.get(share) or (Phase.RAMPING, float(share))
    context.leader.roll(*phase)


@behave.then("after read-backs the orders are {expected}")
def orders_are(context, expected):
    leader = context.leader
    found = []
    for number in range(4):
        plan = leader.decide()
        for item in plan.decisions:
            if isinstance(item, orders.ReadBack):
                leader.answer_read(item)
                continue
            assert number > 0, "an order before a read-back"
            found.append(f"{item.command.server_id}:{item.command.version}")
    assert found == ([] if expected == "none" else expected.split()), found
    assert found or plan.withheld or "v2" in {e.version for e in leader.engines}


@behave.then("its move to {phase} after {elapsed_s:d} s has to wait: {waits}")
def has_to_wait(context, phase, elapsed_s, waits):
    leader = context.leader
    move = commands.MoveRollout("r", Phase(phase), 1.0, "judged")
    reason = order_rollouts.find_obstacle(
        leader.state, leader.engines, move, elapsed_s
    )
    assert bool(reason) == (waits == "yes"), reason


@behave.given(
    "an engine that {kind} numbers and an order to it of unknown outcome"
)
def unknown_outcome(context, kind):
    engine = orders.Engine(
        "a", "i1", None, "s", "v1", 4, checks_fencing=kind == "checks"
    )
    document = order_simulation.environment(min_serving_share=0.0)
    leader = context.leader = Leader(document, (engine,))
    leader.roll(Phase.RAMPING, 1.0)
    (item,) = leader.decide().decisions
    leader.answer_read(item)
    (item,) = leader.decide().decisions
    leader.proposed(item.command, item.token)
    (item,) = leader.decide().decisions
    reply = orders.Reply(orders.ReplyKind.UNKNOWN, "timeout")
    leader.contacts = orders.end_order_call(
        leader.contacts, item.order, item.token, reply, leader.now_ms
    ).call_states


@behave.when(
    "the rollout is taken back, it announces {version} and read-backs show "
    "{shown}"
)
def taken_back(context, version, shown):
    leader = context.leader
    leader.roll(Phase.TAKEN_BACK, 0.0)
    (engine,) = leader.engines
    engine = dataclasses.replace(engine, version=version)
    if shown == "a new incarnation":
        engine = dataclasses.replace(engine, incarnation="i2")
    leader.engines, leader.shown = (engine,), shown


@behave.then("the next decisions are {expected}")
def next_decisions(context, expected):
    leader = context.leader
    found = []
    for word in expected.split():
        leader.now_ms += orders.RETRY_MS
        for item in leader.decide().decisions:
            found.append(type(item).__name__.lower().removesuffix("back"))
            if isinstance(item, orders.ReadBack):
                leader.answer_read(item)
            elif isinstance(item, orders.Issue):
                leader.proposed(item.command, item.token)
        assert found[-1:] == [word], found
    assert found == expected.split(), found


@behave.given("order delays of at most {limit_s:g} s")
def delay_bound(context, limit_s):
    settings = {"min_serving_share": 0.0, "max_order_delay_s": limit_s}
    document = order_simulation.environment(**settings)
    expected = context.leader.state.number
    command = commands.ApplyEnvironment("bound", "ada", expected, document)
    assert context.leader.apply(command).accepted


@behave.when("it is read back {wait_s:g} s later and shows {shown}")
def read_back_later(context, wait_s, shown):
    leader = context.leader
    leader.shown, leader.now_ms = shown, leader.now_ms + int(wait_s * 1000)
    (item,) = leader.decide().decisions
    assert isinstance(item, orders.ReadBack), item
    leader.answer_read(item)


@behave.then("the order is {state:w}")
def state_is(context, state):
    assert context.leader.state.orders["a"].state == state


@behave.when(
    'an operator clears the order {fencing:d} to "{server}" {times:d} times'
)
def clears_order(context, fencing, server, times):
    for number in range(times):
        command = (f"c{number}", "ada", None, server, fencing)
        context.outcome = context.leader.apply(commands.ClearOrder(*command))


@behave.then('the order is {state} and the operator is told "{message}"')
def order_is(context, state, message):
    state_is(context, state)
    told = context.outcome.message or "nothing"
    assert told == message, context.outcome
    assert context.outcome.accepted == (told == "nothing")


@behave.then("an order to an engine that has shown 41 gets the number 42")
def next_number(context):
    leader = context.leader = Leader(order_simulation.environment(), ())
    command = ("s", "a", "i1", "v2", False, "leader-1", 41)
    assert leader.apply(commands.IssueOrder(*command)).fencing == 42


@behave.then("a decoded snapshot equals the state with the order")
def snapshot_equals(context):
    state = context.leader.state
    assert replicated.decode(replicated.encode(state)).unwrap() == state


@behave.then('a server at "v1" that announces "v2" gets no request for "v1"')
def only_server(context):
    document = order_simulation.environment()
    policy = data.Policy(document, shares={"s": data.VersionShare("v1")})
    tables = scheduler.create_tables(1, 0, (), ())
    router = data.RouterRef("r", "i", "a")
    grants, finished = [], ()
    for number, version in enumerate(("v1", "v1", "v2"), start=1):
        seen = data.Announcement(
            "e", "i1", data.Address("127.0.0.1", 9), "s", version, "a", 8
        )
        report = messages.RouterReport(
            sent_ms=number,
            environment_number=1,
            announcements=(seen,),
            wants=(data.QueuedRequest(number, "w", "s", "r"),),
            finished=finished,
        )
        now_ms = number * 2_000
        tables = scheduler.on_report(tables, router, report, now_ms)
        ticked = scheduler.tick(tables, policy, now_ms, random.Random(1))
        tables = ticked.tables
        grants.append(len(ticked.decisions.grants))
        # The slot is free again before the next request.
        finished = tuple(
            data.FinishedRequest(
                item.grant.term, item.grant.id, data.Outcome.COMPLETED, 1, 1, 1
            )
            for item in ticked.decisions.grants
        )
    assert grants == [1, 1, 0], grants


@behave.then(
    "the random order runs of the seeds {first:d} to {last:d} keep all "
    "invariants"
)
def random_runs(context, first, last):
    lost = 0
    for seed in range(first, last + 1):
        counts = order_simulation.Run(seed).run()
        lost += counts["lost"]
        # A run without orders and faults would prove nothing.
        assert counts["sent"] >= 5 and counts["leaders"] > 1, (seed, counts)
    assert lost, "no order was found to be lost"


@behave.then('without {mechanism} a random order run breaks "{invariant}"')
def breaks(context, mechanism, invariant):
    found = set()
    with WITHOUT[mechanism]():
        for seed in SEEDS:
            try:
                order_simulation.Run(seed).run()
            except AssertionError as exc:
                found.add(str(exc))
                if invariant in found:
                    return
    raise AssertionError(f"not broken in {len(SEEDS)} runs: {found}")
