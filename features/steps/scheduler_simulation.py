"""Simulated routers and backend servers around the scheduler's functions.

Time is simulated. Backend servers run what they are sent, whatever the
scheduler believes, so their own count of running requests is the truth that
the checks use. The worst case is assumed after a router dies: its requests go
on at the backend servers.
"""

import collections
import dataclasses
import random

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import scheduler

STEP_MS = 5
DONE = data.Outcome.COMPLETED


@dataclasses.dataclass
class Load:
    """A workspace that keeps requests waiting.

    Attributes:
      name: Workspace.
      weight: Weight.
      cost_ms: Shortest and longest duration of a request.
      hint: Factor of the hint relative to the real cost, 0 for none.
      routers: Numbers of the routers that it uses.
      window: Wants waiting at each of them.
    """

    name: str
    weight: float = 1.0
    cost_ms: tuple[int, int] = (100, 100)
    hint: float = 0.0
    routers: tuple[int, ...] = (0, 1, 2)
    window: int = 32
    avoid: tuple[str, ...] = ()


@dataclasses.dataclass
class Running:
    """A request at a backend server."""

    grant: data.Grant
    want: data.QueuedRequest
    router: "Router"
    start_ms: int
    end_ms: int


@dataclasses.dataclass
class Server:
    """A backend server and what really runs on it."""

    id: str
    slots: int
    data_centre: str = "a"
    version: str = "v1"
    incarnation: str = "i1"
    slow: float = 1.0
    lag_ms: int = 0
    silent: bool = False
    departing: bool = False
    running: list = dataclasses.field(default_factory=list)
    sample: int = 0
    most: int = 0


class Router:
    """A router with one connection to the leader."""

    def __init__(self, number, data_centre, offset_ms):
        self.number = number
        self.id = f"r{number}"
        self.data_centre = data_centre
        self.offset_ms = offset_ms
        self.incarnation = 0
        self.restart()

    def restart(self):
        """Forgets everything, as a new incarnation does."""
        self.incarnation += 1
        self.sequence = 0
        self.wants = {}
        self.running = {}
        self.finished = []
        self.fresh = []
        self.first = True
        self.connected = True
        self.outbox = collections.deque()
        self.inbox = collections.deque()
        self.sent_ms = -(10**9)

    def ref(self):
        """Returns the identity of the router."""
        return data.RouterRef(
            self.id, f"{self.id}.{self.incarnation}", self.data_centre
        )


class Simulation:
    """The leader's scheduler, routers and backend servers."""

    def __init__(self, seed, loads, servers, routers=3, delay_ms=0):
        self.rng = random.Random(seed)
        self.loads = {load.name: load for load in loads}
        self.servers = {server.id: server for server in servers}
        self.routers = [
            Router(number, "abc"[number % 3], self.rng.randrange(10**6))
            for number in range(routers)
        ]
        self.delay_ms = delay_ms
        self.now_ms = 1_000_000
        self.term = 1
        self.environment = data.Environment(
            "simulation",
            tuple(
                data.Workspace(n, w.weight, ()) for n, w in self.loads.items()
            ),
            (data.Service("s", (), "v1"),),
            (),
        )
        self.policy = data.Policy(self.environment)
        self.tables = scheduler.create_tables(1, self.now_ms, (), ())
        self.checkpoint = ((), ())
        self.service = collections.Counter()
        self.history = []
        self.grants = []
        self.refusals = []
        self.events = []
        self.crashed = []
        self.echo = {}
        self.idle_steps = 0
        self.waits = collections.defaultdict(int)
        self.largest_ms = 1
        self.record = True

    def run(self, seconds, each=None):
        """Runs for some time and calls `each` after every step."""
        for _ in range(int(seconds * 1_000 / STEP_MS)):
            self.step()
            if each:
                each(self)

    def step(self):
        """Advances the time by one step."""
        self.now_ms += STEP_MS
        self._run_servers()
        for router in self.routers:
            if router.connected:
                self._send(router)
        self._deliver()
        result = scheduler.tick(self.tables, self.policy, self.now_ms, self.rng)
        self.tables = result.tables
        self._decided(result.decisions)
        if self.now_ms % 1_000 == 0:
            self.checkpoint = (
                scheduler.list_counters(self.tables),
                tuple(r.id for r in self.routers if r.connected),
            )
        if self.record:
            self.history.append((self.now_ms, dict(self.service)))

    def _run_servers(self):
        for server in self.servers.values():
            for item in list(server.running):
                name = item.want.workspace
                until = min(self.now_ms, item.end_ms)
                part = until - max(item.start_ms, self.now_ms - STEP_MS)
                self.service[name] += max(0, part)
                if item.end_ms <= self.now_ms:
                    server.running.remove(item)
                    self._end(item, DONE)
            server.most = max(server.most, len(server.running))

    def _end(self, item, outcome):
        key = (item.grant.term, item.grant.id)
        if item.router.running.pop(key, None) is None:
            return
        # The exact end, as rounding to steps would favour long requests.
        took = float(item.end_ms - item.start_ms)
        item.router.finished.append(
            data.FinishedRequest(*key, outcome, took, took, took)
        )

    def _send(self, router):
        for load in self.loads.values():
            if router.number not in load.routers:
                continue
            have = sum(w.workspace == load.name for w in router.wants.values())
            for _ in range(load.window - have):
                self.add_want(router, load)
        clock = self.now_ms + router.offset_ms
        announcements = []
        for server in self.servers.values():
            mine = sum(map(ord, server.id)) + self.now_ms // 1_000
            due = (self.now_ms + sum(map(ord, server.id)) * 35) % 1_000
            if (
                due < STEP_MS
                and not server.silent
                and (self.routers[mine % len(self.routers)] is router)
            ):
                announcements.append(self.announcement(server))
        first = router.first
        news = first or router.fresh or router.finished or announcements
        if not news and self.now_ms - router.sent_ms < messages.HEARTBEAT_MS:
            return
        router.sent_ms = self.now_ms
        report = messages.RouterReport(
            clock,
            1,
            first=first,
            wants=tuple(router.wants.values() if first else router.fresh),
            running=tuple(
                data.RunningRequest(
                    item.grant.term,
                    item.grant.id,
                    item.grant.server_id,
                    item.grant.incarnation,
                    item.grant.version,
                    item.want.workspace,
                    "s",
                    "route",
                    item.want.digest,
                    float(self.now_ms - item.start_ms),
                )
                for item in router.running.values()
            )
            if first
            else (),
            finished=tuple(router.finished),
            announcements=tuple(announcements),
        )
        router.first = False
        router.fresh = []
        router.finished = []
        delay = self.rng.randint(0, self.delay_ms) if self.delay_ms else 0
        router.outbox.append((self.now_ms + delay, report))

    def add_want(self, router, load, **fields):
        """Queues a new request at a router."""
        router.sequence += 1
        cost = self.rng.randint(*load.cost_ms)
        self.largest_ms = max(self.largest_ms, cost)
        want = data.QueuedRequest(
            router.sequence,
            load.name,
            "s",
            "route",
            hint=cost * load.hint,
            avoid=load.avoid,
            **fields,
        )
        router.wants[want.sequence] = want
        router.fresh.append(want)
        self.waits[(router.id, router.incarnation, want.sequence)] = (
            self.now_ms,
            cost,
        )
        return want

    def announcement(self, server):
        """Returns what a server says about itself."""
        sample = len(server.running)
        if server.lag_ms:
            sample, server.sample = server.sample, sample
        return data.Announcement(
            server.id,
            server.incarnation,
            data.Address("127.0.0.1", 1),
            "s",
            server.version,
            server.data_centre,
            server.slots,
            in_flight=sample,
            departing=server.departing,
        )

    def _deliver(self):
        for router in self.routers:
            while router.outbox and router.outbox[0][0] <= self.now_ms:
                _, report = router.outbox.popleft()
                self.echo[router.id] = report.sent_ms
                self.tables = scheduler.on_report(
                    self.tables, router.ref(), report, self.now_ms
                )
            while router.inbox and router.inbox[0][0] <= self.now_ms:
                _, echo, grant = router.inbox.popleft()
                self._dispatch(router, echo, grant)

    def _decided(self, decisions):
        by_id = {router.id: router for router in self.routers}
        for decision in decisions.grants:
            self.grants.append((self.now_ms, decision))
            router = by_id[decision.router]
            delay = self.rng.randint(0, self.delay_ms) if self.delay_ms else 0
            router.inbox.append(
                (
                    self.now_ms + delay,
                    self.echo[router.id],
                    decision.grant,
                )
            )
            if not self.delay_ms:
                router.inbox.pop()
                self._dispatch(router, self.echo[router.id], decision.grant)
        for router, refusal, _ in decisions.refusals:
            self.refusals.append((self.now_ms, router, refusal))
            by_id[router].wants.pop(refusal.want, None)
        self.events.extend((self.now_ms, event) for event in decisions.events)
        self.crashed.extend(decisions.crashed_digests)

    def _dispatch(self, router, echo, grant):
        want = router.wants.pop(grant.want, None)
        clock = self.now_ms + router.offset_ms
        if want is None or clock - echo > messages.GRANT_LIFETIME_MS:
            router.finished.append(
                data.FinishedRequest(
                    grant.term, grant.id, data.Outcome.NOT_DISPATCHED, 0, 0, 0
                )
            )
            if want is not None:
                router.wants[grant.want] = want
                router.fresh.append(want)
            return
        server = self.servers[grant.server_id]
        since, cost = self.waits[(router.id, router.incarnation, grant.want)]
        self.waits[want.workspace] = max(
            self.waits[want.workspace], self.now_ms - since
        )
        cost = int(cost * server.slow)
        item = Running(grant, want, router, self.now_ms, self.now_ms + cost)
        server.running.append(item)
        server.most = max(server.most, len(server.running))
        router.running[(grant.term, grant.id)] = item

    # Faults

    def break_connection(self, router):
        """Loses every message under way in both directions."""
        router.outbox.clear()
        router.inbox.clear()
        router.first = True
        router.fresh = []
        self.tables = scheduler.on_router_lost(
            self.tables, router.id, self.now_ms
        )

    def restart_router(self, router):
        """Kills a router; its requests go on at the backend servers."""
        for item in router.running.values():
            item.router = Router(99, "a", 0)
        router.restart()
        self.tables = scheduler.on_router_lost(
            self.tables, router.id, self.now_ms
        )

    def change_leader(self, gap_ms=0):
        """Starts a new leader from the last checkpoint."""
        self.term += 1
        self.now_ms += gap_ms
        for router in self.routers:
            router.outbox.clear()
            router.inbox.clear()
            router.first = True
            router.fresh = []
        self.tables = scheduler.create_tables(
            self.term, self.now_ms, *self.checkpoint
        )

    # Checks

    def widest_gap(self, one, other, since_ms):
        """Returns the largest gap in weighted service over any interval."""
        first, second = self.loads[one], self.loads[other]
        gaps = [
            served.get(one, 0) / first.weight
            - served.get(other, 0) / second.weight
            for at_ms, served in self.history
            if at_ms >= since_ms
        ]
        return max(gaps) - min(gaps)

    def bound(self, one, other):
        """Returns the bound of section 7 of the design."""
        slots = sum(server.slots for server in self.servers.values())
        lowest = min(self.loads[one].weight, self.loads[other].weight)
        return 2 * slots * self.largest_ms / lowest


def start(context, delay_ms=0):
    """Creates the simulation once the scenario's tables are complete."""
    if context.simulation is None:
        context.simulation = Simulation(
            context.seed, context.loads, context.servers, delay_ms=delay_ms
        )
        context.idle = []
    return context.simulation
