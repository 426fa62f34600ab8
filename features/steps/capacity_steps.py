"""Steps for capacity orders, without a network."""

import dataclasses
import itertools
import types

import behave
import immutables

from features.support import scheduler_tables
from waxwingrack.core import data
from waxwingrack.daemons import capacity_orders
from waxwingrack.operations import capacity
from waxwingrack.operations import capacity_demand
from waxwingrack.operations import capacity_tables

SLOTS = 10
# Requests per second of a slot in use.
RATE = 10


class World:
    """Two data centres, a provider and a leader that decides each second."""

    def __init__(self, low, high):
        self.scaling = data.Scaling(low, high, 8.0)
        self.now_s = 0
        self.servers = {"a": 0, "b": 0}
        self.starting = []
        self.loads = {"a": 0, "b": 0}
        self.traffic = {name: data.ServiceTraffic() for name in self.loads}
        self.drained = set()
        self.noise = itertools.repeat(0)
        self.refused_share = self.queued = self.tokens = self.returns = 0
        self.slots, self.blind_until_s, self.visible = SLOTS, 0, 0
        self.states, self.orders = immutables.Map(), []

    def set_pair(self, field, first, second):
        setattr(self, field, {"a": int(first), "b": int(second)})

    def set_noise(self, load, width):
        self.set_pair("loads", load, load)
        self.noise = itertools.cycle((int(width), -int(width), 0))

    def lose(self, name, count):
        self.servers[name] -= int(count)

    def start_leader(self):
        self.states = immutables.Map()
        self.traffic = {name: data.ServiceTraffic() for name in self.loads}

    def set_blind(self, seconds, visible=0):
        self.blind_until_s = self.now_s + int(seconds)
        self.visible = int(visible)

    def wait(self, seconds):
        for _ in range(int(seconds)):
            self.now_s += 1
            self._start_servers()
            self._decide()

    def _start_servers(self):
        for row in [row for row in self.starting if row[0] <= self.now_s]:
            self.starting.remove(row)
            self.servers[row[1]] += 1

    def _observe(self):
        slots = SLOTS * sum(
            count
            for name, count in self.servers.items()
            if name not in self.drained
        )
        served = min(1.0, slots / (sum(self.loads.values()) or 1))
        change = next(self.noise)
        for name, load in self.loads.items():
            busy = max(0, load + change) * served
            known = self.traffic[name]
            arrived = round(RATE * load)
            refused = max(1 - served, self.refused_share)
            self.traffic[name] = data.ServiceTraffic(
                known.arrived + arrived,
                known.tokens + self.tokens,
                known.refused + round(arrived * refused),
            )
            usable = self.servers[name]
            if self.now_s <= self.blind_until_s:
                usable = min(usable, self.visible)
            yield capacity.Observation(
                "s",
                name,
                self.scaling,
                1000 * self.now_s,
                self.traffic[name],
                self.returns,
                self.queued,
                round(busy),
                self.slots,
                0.001 if self.tokens else 0,
                capacity.ServerCounts(usable),
                name in self.drained,
            )

    def _decide(self):
        plan = capacity.decide(
            self.states, tuple(self._observe()), 1000 * self.now_s
        )
        self.states = plan.services
        for decision in plan.decisions:
            name, count = decision.order.data_centre, decision.order.count
            assert self.scaling.min <= count <= self.scaling.max
            self.orders.append(f"{name}={count}@{self.now_s}")
            more = count - self.servers[name]
            self.starting += [(self.now_s + 8, name)] * more
            self.servers[name] = min(count, self.servers[name])


EVENTS = {
    "servers": lambda world, *counts: world.set_pair("servers", *counts),
    "load": lambda world, *loads: world.set_pair("loads", *loads),
    "noise": World.set_noise,
    "wait": World.wait,
    "drain": lambda world, name: world.drained.add(name),
    "restore": lambda world, name: world.drained.remove(name),
    "lose": World.lose,
    "leader": World.start_leader,
    "blind": World.set_blind,
} | {
    word: lambda world, text, field=field: setattr(world, field, float(text))
    for word, field in {
        "refuse": "refused_share",
        "queue": "queued",
        "growth": "tokens",
        "slots": "slots",
        "returns": "returns",
    }.items()
}


@behave.given("a service with {low:d} to {high:d} servers that start in 8 s")
def service_with_limits(context, low, high):
    context.world = World(low, high)


@behave.when('the history is played "{history}"')
def play_history(context, history):
    for event in history.split(", "):
        verb, *words = event.split()
        EVENTS[verb](context.world, *words)


@behave.then('the provider was told "{orders}"')
@behave.then('the provider was told ""')
def provider_was_told(context, orders=""):
    found = " ".join(context.world.orders)
    assert found == orders, found


@behave.then(
    "{total:d} servers for weights {weights} from {low:d} to {high:d} each are "
    "{counts}"
)
def servers_divided(_, total, weights, low, high, counts):
    numbers = map(float, weights.split())
    found = capacity_demand.spread(total, numbers, low, high)
    assert [round(count, 6) for count in found] == [
        float(count) for count in counts.split()
    ], found


# ---------------------------------------------------------------------------
# Tables of the leader
# ---------------------------------------------------------------------------


def _create_leader(context, scaling):
    scheduler_tables.create_scheduler(context, 1_000)
    environment = scheduler_tables.ENVIRONMENT
    service = dataclasses.replace(
        environment.services[0], ramp=False, scaling=scaling
    )
    environment = dataclasses.replace(environment, services=(service,))
    context.policy = data.Policy(environment)
    scheduler_tables.run_tick(context)


def _send_requests(context, count):
    first = context.sequence + 1
    context.sequence += count
    wants = [
        scheduler_tables.create_request(number)
        for number in range(first, context.sequence + 1)
    ]
    scheduler_tables.send_report(context, wants=tuple(wants))


@behave.given(
    "a leader with warm servers x and y of 8 slots, a departing one and one "
    "that claims {claimed:d}"
)
def leader_with_servers(context, claimed):
    _create_leader(context, data.Scaling(1, 9))
    create = scheduler_tables.create_announcement
    context.announcements = (
        create("x"),
        create("y"),
        create("w", departing=True),
        create("z", slots=claimed, load=float("inf"), cold_ms=9_000),
    )


@behave.when("{count:d} requests arrive there and {refused:d} more are refused")
def requests_arrive(context, count, refused):
    # Without a server, requests are refused after a time.
    _send_requests(context, refused)
    while not scheduler_tables.run_tick(context).refusals:
        context.at_ms += 500
        scheduler_tables.send_report(context)
    # The server that claims too much is known, but may not be used.
    scheduler_tables.send_report(
        context, announcements=context.announcements[:3]
    )
    _send_requests(context, count)
    scheduler_tables.run_tick(context)
    scheduler_tables.send_report(
        context, announcements=context.announcements[3:]
    )
    (context.row,) = capacity_tables.list_observations(
        context.tables, context.at_ms
    )


@behave.then(
    "it observes {arrived:d} arrivals, {refused:d} refusals, {used:d} used "
    "slots of {slots:d} a server and {queued:d} queued requests"
)
def observes(context, arrived, refused, used, slots, queued):
    row = context.row
    found = (
        row.traffic.arrived,
        row.traffic.refused,
        row.used_slots,
        row.slots_per_server,
        row.queued,
    )
    assert found == (arrived, refused, used, slots, queued), row


@behave.then(
    "it observes {usable:d} usable and {departing:d} departing servers"
)
def observes_servers(context, usable, departing):
    servers = context.row.servers
    assert (servers.usable, servers.departing) == (usable, departing), servers


@behave.given("a leader without servers whose duties are {duties}")
def leader_without_servers(context, duties):
    context.submitted = []
    names = () if duties == "none" else (data.Duty(duties),)
    settings = data.DutySettings(data.Address("127.0.0.1", 1), names)
    submitter = types.SimpleNamespace(
        submit_order=lambda *order: context.submitted.append(
            " ".join(map(str, order))
        )
    )
    services = types.SimpleNamespace(
        metrics=types.SimpleNamespace(set=lambda *_, **__: None),
        driver=types.SimpleNamespace(may_act=lambda: True),
        duties=types.SimpleNamespace(settings=settings) if names else None,
    )
    context.capacity = capacity_orders.CapacityOrders(
        services, submitter if names else None
    )


@behave.when("requests arrive for {seconds:d} s of a service {limits}")
def requests_for_time(context, seconds, limits):
    words = limits.split()
    scaling = (
        data.Scaling(int(words[1]), int(words[3])) if words[0] == "of" else None
    )
    _create_leader(context, scaling)
    for _ in range(2 * seconds):
        context.at_ms += 500
        _send_requests(context, 1)
        scheduler_tables.run_tick(context)
        context.capacity.run_periodic(context.tables, context.at_ms)


@behave.then('the duties get "{orders}"')
@behave.then('the duties get ""')
def duties_get(context, orders=""):
    assert ", ".join(context.submitted) == orders, context.submitted
