"""Seeded random runs of orders to engines that lose and delay messages."""

import dataclasses
import heapq
import itertools
import random

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import orders
from waxwingrack.operations import replicated

TIMEOUT_MS = 1_000
FAULTS_MS = 60_000
LIMIT_MS = 180_000
# Longest way of an order to its engine, and longest time from a change of the
# leader until the earlier one has ended its calls.
MAX_DELAY_MS = 2_500
MAX_STALE_MS = 12_000
Phase = data.RolloutPhase


def environment(**settings):
    """Returns a document whose service declares orders."""
    orders_ = data.OrderSettings(answer_timeout_s=TIMEOUT_MS / 1000, **settings)
    service = data.Service("s", (), "v1", orders=orders_)
    return data.Environment("env", (), (service,), (), max_loading=2)


@dataclasses.dataclass
class Engine:
    """Engine that takes orders; `checks` is what it announces."""

    id: str
    checks: bool
    really_checks: bool
    incarnation: str = "i0"
    version: str = "v1"
    applied: list = dataclasses.field(default_factory=list)

    @property
    def fencing(self):
        return max((number for number, _ in self.applied), default=0)

    def take(self, order):
        if order.incarnation != self.incarnation:
            return False
        if self.really_checks and order.fencing < self.fencing:
            return False
        if not self.checks:
            assert order.fencing > self.fencing, "an old order took effect"
        self.applied.append((order.fencing, order.version))
        self.version = order.version
        return True

    def restart(self):
        self.incarnation = f"i{int(self.incarnation[1:]) + 1}"
        self.version, self.applied = "v1", []

    def announcement(self):
        head = (self.id, self.incarnation, None, "s", self.version)
        return orders.Engine(*head, slots=4, checks_fencing=self.checks)

    def readout(self):
        applied = frozenset(number for number, _ in self.applied)
        return orders.Readout(self.incarnation, self.fencing, applied)


class Group:
    """Replicated state and memory of the leader, without a network."""

    def __init__(self, document):
        self.state, self.contacts = (
            data.ReplicatedState(),
            orders.EngineCallStates(),
        )
        self.now_ms = 0
        self.apply(commands.ApplyEnvironment("e", "ada", 0, document))

    def apply(self, command):
        before = self.state.fencing
        applied = replicated.apply(self.state, command)
        self.state = applied.state
        if applied.outcome and isinstance(command, commands.IssueOrder):
            assert applied.outcome.fencing > before, "numbers must increase"
        return applied.outcome

    def proposed(self, command, token):
        done = self.apply(command) is not None
        self.contacts = orders.end_proposal(
            self.contacts, command.server_id, token, done, self.now_ms
        )


class Run(Group):
    """One run; the log is a single sequence of commands."""

    def __init__(self, seed, engines_check=True):
        super().__init__(environment(max_order_delay_s=MAX_DELAY_MS / 1000))
        self.rng = random.Random(seed)
        self.engines = {
            f"e{number}": Engine(f"e{number}", checks, checks and engines_check)
            for number, checks in enumerate((True, False) * 3)
        }
        self.seen = {}
        self.faults = True
        self.counts = {"sent": 0, "leaders": 0, "lost": 0}
        # Controllers that have ended the calls of their earlier leaderships.
        self.ended = frozenset()
        self.in_flight, self.sent, self.connecting = {}, set(), set()
        self._events, self._order = [], itertools.count()
        self._proposals = []
        self.lead()

    def later(self, delay_ms, call):
        heapq.heappush(
            self._events, (self.now_ms + delay_ms, next(self._order), call)
        )

    def hit(self, chance):
        return self.faults and self.rng.random() < chance

    def delay(self):
        return self.rng.randint(1, MAX_DELAY_MS if self.hit(0.2) else 200)

    def lead(self):
        """Changes the leader; proposals under way are committed or lost."""
        self.counts["leaders"] += 1
        for command, _ in self._proposals:
            if self.rng.random() < 0.5:
                self.apply(command)
        self._proposals = []
        before = getattr(self, "issuer", "")
        self.issuer = f"leader-{self.counts['leaders']}"
        self.contacts = orders.EngineCallStates()
        stale_ms = self.rng.randint(1, MAX_STALE_MS)
        self.send_late(before, stale_ms)

        def end():
            self.ended |= {before}

        self.later(stale_ms, end)

    def send_late(self, issuer, stale_ms):
        """Sends recorded orders of an earlier leader that was frozen."""
        for order in self.state.orders.values():
            unsent = order.fencing in self.connecting or (
                order.fencing not in self.sent
                and order.state is data.OrderState.OUTSTANDING
            )
            if order.issuer == issuer and unsent:
                late = self.rng.randint(0, stale_ms)
                self.later(late, lambda order=order: self.carry(order))

    def propose(self, command, token):
        entry = (command, token)
        self._proposals.append(entry)

        def commit():
            if not any(item is entry for item in self._proposals):
                return
            self._proposals = [p for p in self._proposals if p is not entry]
            lost = data.OrderState.LOST
            self.counts["lost"] += getattr(command, "state", "") is lost
            self.proposed(command, token)

        self.later(self.rng.randint(1, 100), commit)

    def tick(self):
        announced = tuple(self.seen.values())
        name = self.issuer
        view = orders.OrderInputs(self.state, announced, name, name, self.ended)
        plan = orders.decide(view, self.contacts, self.now_ms)
        self.contacts = plan.call_states
        for item in plan.decisions:
            assert item.reason
            if isinstance(item, orders.Issue):
                self.propose(item.command, item.token)
            elif isinstance(item, orders.Send):
                self.call(item.order.server_id, item.token, item.order)
            else:
                self.call(item.server_id, item.token, None)

    def call(self, server_id, token, order):
        """Carries a call over one connection to one incarnation."""
        engine, issuer = self.engines[server_id], self.issuer
        kinds = orders.ReplyKind

        def end(kind, readout=None):
            if state["ended"] or self.issuer != issuer:
                return
            state["ended"] = True
            reply = orders.Reply(kind, str(kind), readout)
            arguments = (token, reply, self.now_ms)
            if order:
                noted = orders.end_order_call(self.contacts, order, *arguments)
            else:
                latest = self.state.orders.get(server_id)
                arguments = (server_id, latest, *arguments)
                noted = orders.end_read_back(self.contacts, *arguments)
            self.contacts = noted.call_states
            if noted.command:
                self.propose(noted.command, token)

        def arrive(taken=True):
            kind = kinds.ANSWERED if taken else kinds.REFUSED
            if not self.hit(0.1):
                self.later(self.delay(), lambda: end(kind, engine.readout()))

        state = {"ended": False}
        if order:
            self.sent.add(order.fencing)
        if self.hit(0.05):
            self.later(self.delay(), lambda: end(kinds.NOT_SENT))
            return
        if order:
            self.counts["sent"] += 1
            flying = self.flying(engine)
            assert engine.checks or not flying, "two outstanding orders"
            self.connecting.add(order.fencing)

            def write():
                self.connecting.discard(order.fencing)
                if not state["ended"] and self.issuer == issuer:
                    self.carry(order, arrive)

            slow = self.hit(0.3)
            self.later(self.rng.randint(1, TIMEOUT_MS if slow else 1), write)
        elif not self.hit(0.1):
            incarnation = engine.incarnation
            self.later(
                self.delay(),
                lambda: engine.incarnation == incarnation and arrive(),
            )
        self.later(TIMEOUT_MS, lambda: end(kinds.UNKNOWN))

    def flying(self, engine):
        """Returns the orders that the engine can still take."""
        place = (engine.id, engine.incarnation)
        return self.in_flight.setdefault(place, {})

    def carry(self, order, arrived=lambda taken: None):
        """Carries an order to the present incarnation of its engine."""
        engine, key = self.engines[order.server_id], object()
        incarnation, flying = engine.incarnation, self.flying(engine)
        if order.incarnation == incarnation:
            assert engine.checks or not flying, "two outstanding orders"
            flying[key] = order

        def arrive():
            flying.pop(key, None)
            if engine.incarnation == incarnation:
                arrived(engine.take(order))

        if self.hit(0.1):
            # The leader cannot tell that it is lost before this has passed.
            self.later(MAX_DELAY_MS, lambda: flying.pop(key, None))
        else:
            self.later(self.delay(), arrive)

    def disturb(self):
        if self.hit(0.01):
            self.lead()
        if self.hit(0.01):
            self.rng.choice(list(self.engines.values())).restart()
        if self.hit(0.02):
            self.move_rollout()

    def under_way(self):
        ended = (Phase.DONE, Phase.TAKEN_BACK)
        rows = self.state.rollouts.items()
        return next((name for name, row in rows if row.phase not in ended), "")

    def move_rollout(self):
        name = self.under_way()
        if not name:
            number = len(self.state.rollouts) + 2
            plan = data.RolloutPlan(f"r{number}", "s", f"v{number}")
            self.apply(commands.StartRollout(plan.id, "ada", None, plan))
            return
        phase = self.rng.choice(
            (Phase.RAMPING, Phase.WATCHING, Phase.DONE, Phase.TAKEN_BACK)
        )
        share = self.rng.choice((0.25, 0.5, 1.0))
        self.apply(commands.MoveRollout(name, phase, share, "test"))

    def outstanding(self):
        """Returns orders without a result to engines that ignore numbers."""
        rows = self.state.orders.values()
        state = data.OrderState.OUTSTANDING
        return [x for x in rows if x.state is state and not x.checks_fencing]

    def check_loading(self):
        # At engines that check numbers, a lost order does not count as loading.
        loading = [
            order
            for order in self.outstanding()
            if order.incarnation
            == self.engines[order.server_id].incarnation
            == self.seen[order.server_id].incarnation
        ]
        assert len(loading) <= 2, "too many engines load"

    def settled(self):
        current = self.state.versions["s"]
        return all(item.version == current for item in self.engines.values())

    def run(self):
        """Runs faults, then waits until all engines run the wanted version."""
        # With messages under way, an engine may still leave the version.
        while self.faults or self._events or not self.settled():
            self.now_ms += self.rng.randint(10, 100)
            assert self.now_ms < LIMIT_MS, "engines are not at the version"
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            for engine in self.engines.values():
                if engine.id not in self.seen or self.rng.random() < 0.1:
                    self.seen[engine.id] = engine.announcement()
            self.disturb()
            if self.faults and self.now_ms > FAULTS_MS:
                self.faults = False
                if name := self.under_way():
                    move = (name, Phase.TAKEN_BACK, 0.0, "end")
                    self.apply(commands.MoveRollout(*move))
            self.tick()
            self.check_loading()
        for engine in self.engines.values():
            numbers = [number for number, _ in engine.applied]
            assert numbers == sorted(numbers), "an older order took effect"
        return self.counts
