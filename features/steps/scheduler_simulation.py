"""Simulation of routers and backend servers around the real scheduler.

Time is simulated. Backend servers run what they are sent, whatever the
scheduler assumes, so the checks use their own counts of running requests. After
a router dies, the simulation takes the worst case: its requests go on at the
backend servers.
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
class Workload:
    """A workspace that keeps requests queued.

    Attributes:
      name: Workspace.
      weight: Weight.
      cost_ms: Shortest and longest duration of a request.
      hint: Factor of the hint relative to the real cost, 0 for none.
      routers: Numbers of the routers that it uses.
      window: Requests that it keeps queued at each router.
      avoid: Servers that its requests avoid.
    """

    name: str
    weight: float = 1.0
    cost_ms: tuple[int, int] = (100, 100)
    hint: float = 0.0
    routers: tuple[int, ...] = (0, 1, 2)
    window: int = 32
    avoid: tuple[str, ...] = ()


@dataclasses.dataclass
class RunningRequest:
    """A request at a backend server."""

    grant: data.Grant
    request: data.QueuedRequest
    router: "Router"
    start_ms: int
    end_ms: int


@dataclasses.dataclass
class Server:
    """A backend server and the requests that really run on it."""

    id: str
    slots: int
    data_centre: str = "a"
    version: str = "v1"
    incarnation: str = "i1"
    slowdown: float = 1.0
    lag_ms: int = 0
    silent: bool = False
    departing: bool = False
    running: list = dataclasses.field(default_factory=list)
    last_in_flight: int = 0
    max_running: int = 0


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
        """Starts a new incarnation without any state."""
        self.incarnation += 1
        self.sequence = 0
        self.queued = {}
        self.running = {}
        self.finished = []
        self.unreported = []
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

    def __init__(self, seed, workloads, servers, routers=3, delay_ms=0):
        self.rng = random.Random(seed)
        self.workloads = {workload.name: workload for workload in workloads}
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
                data.Workspace(n, w.weight, ())
                for n, w in self.workloads.items()
            ),
            (data.Service("s", (), "v1"),),
            (),
        )
        self.policy = data.Policy(self.environment)
        self.tables = scheduler.create_tables(1, self.now_ms, (), ())
        self.checkpoint = ((), ())
        self.served_ms = collections.Counter()
        self.history = []
        self.grants = []
        self.refusals = []
        self.events = []
        self.crashed = []
        self.echo_ms = {}
        self.idle_steps = 0
        self.waits = collections.defaultdict(int)
        self.max_cost_ms = 1
        self.record_history = True

    def run(self, seconds, after_step=None):
        """Runs for some time and calls a function after every step."""
        for _ in range(int(seconds * 1_000 / STEP_MS)):
            self.step()
            if after_step:
                after_step(self)

    def step(self):
        """Advances the time by one step."""
        self.now_ms += STEP_MS
        self._run_servers()
        for router in self.routers:
            if router.connected:
                self._send_report(router)
        self._deliver_messages()
        result = scheduler.tick(self.tables, self.policy, self.now_ms, self.rng)
        self.tables = result.tables
        self._apply_decisions(result.decisions)
        if self.now_ms % 1_000 == 0:
            self.checkpoint = (
                scheduler.list_counters(self.tables),
                tuple(r.id for r in self.routers if r.connected),
            )
        if self.record_history:
            self.history.append((self.now_ms, dict(self.served_ms)))

    def _run_servers(self):
        for server in self.servers.values():
            for run in list(server.running):
                workspace = run.request.workspace
                until_ms = min(self.now_ms, run.end_ms)
                served_ms = until_ms - max(run.start_ms, self.now_ms - STEP_MS)
                self.served_ms[workspace] += max(0, served_ms)
                if run.end_ms <= self.now_ms:
                    server.running.remove(run)
                    self._end_request(run, DONE)
            server.max_running = max(server.max_running, len(server.running))

    def _end_request(self, run, outcome):
        key = (run.grant.term, run.grant.id)
        if run.router.running.pop(key, None) is None:
            return
        # Reports the exact duration: rounding to steps would favour long
        # requests.
        duration_ms = float(run.end_ms - run.start_ms)
        run.router.finished.append(
            data.FinishedRequest(
                *key, outcome, duration_ms, duration_ms, duration_ms
            )
        )

    def _send_report(self, router):
        for workload in self.workloads.values():
            if router.number not in workload.routers:
                continue
            queued_count = sum(
                w.workspace == workload.name for w in router.queued.values()
            )
            for _ in range(workload.window - queued_count):
                self.queue_request(router, workload)
        router_ms = self.now_ms + router.offset_ms
        announcements = []
        for server in self.servers.values():
            router_index = sum(map(ord, server.id)) + self.now_ms // 1_000
            phase_ms = (self.now_ms + sum(map(ord, server.id)) * 35) % 1_000
            if (
                phase_ms < STEP_MS
                and not server.silent
                and (self.routers[router_index % len(self.routers)] is router)
            ):
                announcements.append(self.announcement(server))
        first = router.first
        has_news = (
            first or router.unreported or router.finished or announcements
        )
        if (
            not has_news
            and self.now_ms - router.sent_ms < messages.HEARTBEAT_MS
        ):
            return
        router.sent_ms = self.now_ms
        report = messages.RouterReport(
            router_ms,
            1,
            first=first,
            wants=tuple(router.queued.values() if first else router.unreported),
            running=tuple(
                data.RunningRequest(
                    run.grant.term,
                    run.grant.id,
                    run.grant.server_id,
                    run.grant.incarnation,
                    run.grant.version,
                    run.request.workspace,
                    "s",
                    "route",
                    run.request.digest,
                    float(self.now_ms - run.start_ms),
                )
                for run in router.running.values()
            )
            if first
            else (),
            finished=tuple(router.finished),
            announcements=tuple(announcements),
        )
        router.first = False
        router.unreported = []
        router.finished = []
        delay = self.rng.randint(0, self.delay_ms) if self.delay_ms else 0
        router.outbox.append((self.now_ms + delay, report))

    def queue_request(self, router, workload, **fields):
        """Queues a new request at a router."""
        router.sequence += 1
        cost = self.rng.randint(*workload.cost_ms)
        self.max_cost_ms = max(self.max_cost_ms, cost)
        request = data.QueuedRequest(
            router.sequence,
            workload.name,
            "s",
            "route",
            hint=cost * workload.hint,
            avoid=workload.avoid,
            **fields,
        )
        router.queued[request.sequence] = request
        router.unreported.append(request)
        self.waits[(router.id, router.incarnation, request.sequence)] = (
            self.now_ms,
            cost,
        )
        return request

    def announcement(self, server):
        """Creates the announcement of a server.

        A server with a lag announces the requests in flight of its previous
        announcement.
        """
        in_flight = len(server.running)
        if server.lag_ms:
            in_flight, server.last_in_flight = server.last_in_flight, in_flight
        return data.Announcement(
            server.id,
            server.incarnation,
            data.Address("127.0.0.1", 1),
            "s",
            server.version,
            server.data_centre,
            server.slots,
            in_flight=in_flight,
            departing=server.departing,
        )

    def _deliver_messages(self):
        for router in self.routers:
            while router.outbox and router.outbox[0][0] <= self.now_ms:
                _, report = router.outbox.popleft()
                self.echo_ms[router.id] = report.sent_ms
                self.tables = scheduler.on_report(
                    self.tables, router.ref(), report, self.now_ms
                )
            while router.inbox and router.inbox[0][0] <= self.now_ms:
                _, echo_ms, grant = router.inbox.popleft()
                self._dispatch(router, echo_ms, grant)

    def _apply_decisions(self, decisions):
        by_id = {router.id: router for router in self.routers}
        for decision in decisions.grants:
            self.grants.append((self.now_ms, decision))
            router = by_id[decision.router]
            delay = self.rng.randint(0, self.delay_ms) if self.delay_ms else 0
            router.inbox.append(
                (
                    self.now_ms + delay,
                    self.echo_ms[router.id],
                    decision.grant,
                )
            )
            if not self.delay_ms:
                router.inbox.pop()
                self._dispatch(router, self.echo_ms[router.id], decision.grant)
        for router, refusal, _ in decisions.refusals:
            self.refusals.append((self.now_ms, router, refusal))
            by_id[router].queued.pop(refusal.want, None)
        self.events.extend((self.now_ms, event) for event in decisions.events)
        self.crashed.extend(decisions.crashed_digests)

    def _dispatch(self, router, echo_ms, grant):
        request = router.queued.pop(grant.want, None)
        router_ms = self.now_ms + router.offset_ms
        if request is None or router_ms - echo_ms > messages.GRANT_LIFETIME_MS:
            router.finished.append(
                data.FinishedRequest(
                    grant.term, grant.id, data.Outcome.NOT_DISPATCHED, 0, 0, 0
                )
            )
            if request is not None:
                router.queued[grant.want] = request
                router.unreported.append(request)
            return
        server = self.servers[grant.server_id]
        queued_ms, cost = self.waits[
            (router.id, router.incarnation, grant.want)
        ]
        self.waits[request.workspace] = max(
            self.waits[request.workspace], self.now_ms - queued_ms
        )
        cost = int(cost * server.slowdown)
        run = RunningRequest(
            grant, request, router, self.now_ms, self.now_ms + cost
        )
        server.running.append(run)
        server.max_running = max(server.max_running, len(server.running))
        router.running[(grant.term, grant.id)] = run

    # Faults

    def break_connection(self, router):
        """Breaks a connection, which loses all messages in both directions."""
        router.outbox.clear()
        router.inbox.clear()
        router.first = True
        router.unreported = []
        self.tables = scheduler.on_router_lost(
            self.tables, router.id, self.now_ms
        )

    def restart_router(self, router):
        """Restarts a router; its requests go on at the backend servers."""
        for run in router.running.values():
            run.router = Router(99, "a", 0)
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
            router.unreported = []
        self.tables = scheduler.create_tables(
            self.term, self.now_ms, *self.checkpoint
        )

    # Checks

    def max_service_gap(self, one, other, since_ms):
        """Returns the largest gap in weighted service over any interval."""
        first_workload, second_workload = (
            self.workloads[one],
            self.workloads[other],
        )
        gaps = [
            served_ms.get(one, 0) / first_workload.weight
            - served_ms.get(other, 0) / second_workload.weight
            for at_ms, served_ms in self.history
            if at_ms >= since_ms
        ]
        return max(gaps) - min(gaps)

    def gap_bound(self, one, other):
        """Returns the bound on the gap, as in section 7 of the design."""
        slots = sum(server.slots for server in self.servers.values())
        lowest_weight = min(
            self.workloads[one].weight, self.workloads[other].weight
        )
        return 2 * slots * self.max_cost_ms / lowest_weight


def get_simulation(context, delay_ms=0):
    """Returns the scenario's simulation, and creates it at the first call."""
    if context.simulation is None:
        context.simulation = Simulation(
            context.seed, context.workloads, context.servers, delay_ms=delay_ms
        )
        context.idle = []
    return context.simulation
