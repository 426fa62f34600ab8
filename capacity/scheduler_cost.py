"""Measures the cost of ticks and reports at several sizes.

Run as `python -m capacity.scheduler_cost`. Each size runs with a
saturated load (a tenth of the workspaces always backlogged) and with a load
below capacity. Simulated time; the figures are processor time of this process.
"""

import collections
import dataclasses
import heapq
import random
import time

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import scheduler

SLOTS = 8
STEP_MS = 2
WANTS = 32
# All servers start at one slot. With arrivals at half of the full capacity,
# the queue that builds up meanwhile is gone after about 20 s.
WARM_UP_MS = 25_000
MEASURED_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """One size to measure.

    Attributes:
      routers: Number of routers.
      servers: Number of backend servers.
      workspaces: Number of workspaces.
      services: Number of services.
      rate: Requests per second.
    """

    routers: int
    servers: int
    workspaces: int
    services: int
    rate: int


SIZES = (
    Size(8, 50, 20, 3, 250),
    Size(40, 250, 90, 15, 1_000),
    Size(95, 500, 175, 15, 1_900),
    Size(380, 1_000, 350, 15, 3_800),
)


class _Fleet:
    """Routers and servers that answer the scheduler in simulated time."""

    def __init__(self, size: Size, saturated: bool, seed: int):
        self.size = size
        self.rng = random.Random(seed)
        self.saturated = saturated
        self.now_ms = 1_000_000
        self.policy = data.Policy(
            data.Environment(
                "cost",
                tuple(
                    data.Workspace(f"w{number}", 1.0, ())
                    for number in range(size.workspaces)
                ),
                tuple(
                    data.Service(f"s{number}", (), "v1")
                    for number in range(size.services)
                ),
                (),
            )
        )
        self.routers = tuple(
            data.RouterRef(f"r{number}", f"i{number}", f"dc{number % 8}")
            for number in range(size.routers)
        )
        self.sequences = collections.Counter()
        self.pending = collections.defaultdict(list)
        self.running: list[tuple[int, int, data.GrantDecision]] = []
        self.tables = scheduler.create_tables(1, self.now_ms, (), ())
        self.report_s = 0.0
        self.tick_s = 0.0
        self.reports = self.ticks = self.grants = 0
        # Utilisation near 1 when saturated and 0.5 otherwise.
        share = 1.0 if saturated else 0.5
        self.duration_ms = size.servers * SLOTS * share / size.rate * 1_000

    def want(
        self, router: data.RouterRef, workspace: int
    ) -> data.QueuedRequest:
        """Makes a new want."""
        self.sequences[router.node_id] += 1
        return data.QueuedRequest(
            self.sequences[router.node_id],
            f"w{workspace}",
            f"s{self.rng.randrange(self.size.services)}",
            "route",
            digest=f"{self.rng.getrandbits(64):x}",
            prefix=f"p{self.rng.randrange(1_000)}",
        )

    def announcement(self, number: int) -> data.Announcement:
        """Makes the announcement of a server."""
        return data.Announcement(
            f"b{number}",
            "x",
            data.Address("127.0.0.1", 1_000 + number),
            f"s{number % self.size.services}",
            "v1",
            f"dc{number // self.size.services % 8}",
            SLOTS,
        )

    def report(self, router: data.RouterRef, **fields: tuple) -> None:
        """Sends a report and measures it."""
        message = messages.RouterReport(self.now_ms, 1, **fields)
        start = time.process_time()
        self.tables = scheduler.on_report(
            self.tables, router, message, self.now_ms
        )
        self.report_s += time.process_time() - start
        self.reports += 1

    def start(self) -> None:
        """Connects the routers and fills the queues."""
        for router in self.routers:
            self.report(router, first=True)
        for number in range(self.size.servers):
            router = self.routers[number % len(self.routers)]
            self.report(router, announcements=(self.announcement(number),))
        if not self.saturated:
            return
        backlogged = max(1, self.size.workspaces // 10)
        for router in self.routers:
            wants = [
                self.want(router, workspace)
                for workspace in range(backlogged)
                for _ in range(WANTS)
            ]
            self.report(router, wants=tuple(wants))

    def step(self) -> None:
        """Advances the time by one tick."""
        self.now_ms += STEP_MS
        fields = collections.defaultdict(lambda: collections.defaultdict(list))
        while self.running and self.running[0][0] <= self.now_ms:
            _, _, decision = heapq.heappop(self.running)
            fields[decision.router]["finished"].append(
                data.FinishedRequest(
                    decision.grant.term,
                    decision.grant.id,
                    data.Outcome.COMPLETED,
                    20.0,
                    self.duration_ms,
                    self.duration_ms,
                )
            )
            if self.saturated:
                # A backlogged workspace follows up each ended request.
                router = self.rng.choice(self.routers)
                count = max(1, self.size.workspaces // 10)
                fields[router.node_id]["wants"].append(
                    self.want(router, self.rng.randrange(count))
                )
        if not self.saturated:
            expected = self.size.rate * STEP_MS / 1_000
            count = int(expected + self.rng.random())
            for _ in range(count):
                router = self.rng.choice(self.routers)
                fields[router.node_id]["wants"].append(
                    self.want(router, self.rng.randrange(self.size.workspaces))
                )
        for number in range(self.size.servers):
            if (self.now_ms + number) % 1_000 < STEP_MS:
                router = self.rng.choice(self.routers)
                fields[router.node_id]["announcements"].append(
                    self.announcement(number)
                )
        for router in self.routers:
            found = fields.get(router.node_id)
            if found:
                self.report(
                    router, **{name: tuple(v) for name, v in found.items()}
                )
        self.tick()

    def tick(self) -> None:
        """Runs a tick and measures it."""
        start = time.process_time()
        result = scheduler.tick(self.tables, self.policy, self.now_ms, self.rng)
        self.tick_s += time.process_time() - start
        self.ticks += 1
        self.tables = result.tables
        for decision in result.decisions.grants:
            self.grants += 1
            wait = self.rng.uniform(0.5, 1.5) * self.duration_ms
            heapq.heappush(
                self.running,
                (int(self.now_ms + wait), self.grants, decision),
            )

    def reset(self) -> None:
        """Starts the measurement."""
        self.report_s = self.tick_s = 0.0
        self.reports = self.ticks = self.grants = 0


def measure(size: Size, saturated: bool, seed: int) -> str:
    """Runs one size and returns a line of figures."""
    fleet = _Fleet(size, saturated, seed)
    fleet.start()
    warm_up_ms = int(6 * fleet.duration_ms) if saturated else WARM_UP_MS
    for _ in range(warm_up_ms // STEP_MS):
        fleet.step()
    fleet.reset()
    start = fleet.now_ms
    for _ in range(MEASURED_MS // STEP_MS):
        fleet.step()
    seconds = (fleet.now_ms - start) / 1_000
    load = "saturated" if saturated else "half load"
    per_grant = (fleet.report_s + fleet.tick_s) / max(1, fleet.grants)
    core = (fleet.report_s + fleet.tick_s) / seconds
    return (
        f"{size.routers:4} routers {size.servers:5} servers"
        f" {size.workspaces:4} workspaces, {load}:"
        f" {fleet.grants / seconds:6.0f} grants/s,"
        f" tick {fleet.tick_s / fleet.ticks * 1e6:6.0f} us"
        f" ({fleet.grants / fleet.ticks:4.1f} grants),"
        f" report {fleet.report_s / max(1, fleet.reports) * 1e6:5.0f} us,"
        f" {per_grant * 1e6:5.0f} us in all per grant,"
        f" {core:5.1%} of a core"
    )


def main() -> None:
    """Prints a line for each size and load."""
    seed = 7
    print(f"seed {seed}")
    for size in SIZES:
        for saturated in (False, True):
            print(measure(size, saturated, seed), flush=True)


if __name__ == "__main__":
    main()
