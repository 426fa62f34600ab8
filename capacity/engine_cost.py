"""Processor time of the scheduler for model engines.

The leader looks at all engines of a service for each waiting request, so its
cost grows with both. Requests have the prompts and the latency targets of the
grown Karoo deployment. Engines read prompts one after the other at a fixed rate
and make output tokens at another.
"""

import dataclasses
import heapq
import itertools
import random
import time

from capacity import common
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import scheduler

ROUTERS = 68
WORKSPACES = 30
DATA_CENTRES = 4
SLOTS = 64
# Memory of an engine, in tokens, and link between engines, in Mbit/s.
MEMORY_TOKENS = 375_164
LINK_MBPS = 1_100_000.0
TOKEN_BYTES = 163_840
# Tokens that an engine reads in a millisecond, and time for an output token
# with a full batch, in milliseconds.
READ_TOKENS_PER_MS = 52
OUTPUT_TOKEN_MS = 8
# Time between a grant and its arrival at the engine, and between the first byte
# of an answer and its report at the leader, in milliseconds.
DISPATCH_MS = 8
REPORT_MS = 6
STEP_MS = 2
# Interval of the announcements and of ticks without events, in milliseconds.
ANNOUNCE_MS = 1_200
IDLE_TICK_MS = 50
SIMULATED_MS = 3_000
START_MS = 100_000
# Engines and requests a second: idle, saturated and overloaded for these sizes.
SERIES = ((60, 1_300), (30, 1_300), (20, 1_300), (120, 2_600), (240, 5_200))
SERVICE = "s"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
      part: Its share of all requests.
      sessions: Number of sessions.
      bases: Number of first prompt parts.
      base_tokens: Tokens of the first part of a prompt.
      session_tokens: Tokens of the part that a session shares.
      own_tokens: Mean tokens of the last part.
      output_tokens: Tokens of an answer.
      target_ms: Latency target.
    """

    part: float
    sessions: int
    bases: int
    base_tokens: int
    session_tokens: int
    own_tokens: int
    output_tokens: int
    target_ms: int


KINDS = (
    Kind(0.18, 635, 1, 512, 4_870, 1_228, 380, 800),
    Kind(0.52, 829, 80, 119, 79, 430, 290, 400),
    Kind(0.30, 708, 40, 341, 227, 1_232, 22, 400),
)


@dataclasses.dataclass(slots=True)
class Spent:
    """Processor time of the scheduler.

    Attributes:
      report_s: Time of reports, in seconds.
      ticks_s: Time of each tick, in seconds.
    """

    report_s: float = 0.0
    ticks_s: list[float] = dataclasses.field(default_factory=list)


class Fleet:
    """Routers and engines around a scheduler, in simulated time."""

    def __init__(self, engines: int, rate: float):
        self.rng = random.Random(common.SEED)
        self.now_ms = START_MS
        self.spent = Spent()
        self.grants = self.refusals = self.in_time = 0
        self.read_tokens = 0
        # Time until which each engine reads what it has got.
        self._busy_until_ms: dict[str, float] = {}
        self._rate = rate
        self._sequence = itertools.count(1)
        self._wants: dict[tuple[str, int], data.QueuedRequest] = {}
        self._asked_ms: dict[int, int] = {}
        # What comes later: time, number for the order, router, report.
        self._due: list[tuple[float, int, int, dict]] = []
        self._routers = tuple(
            data.RouterRef(f"r{number}", f"i{number}", _place(number))
            for number in range(ROUTERS)
        )
        self._announcements = tuple(
            data.Announcement(
                f"e{number}",
                "i",
                data.Address("127.0.0.1", 1),
                SERVICE,
                version="v1",
                data_centre=_place(number),
                slots=SLOTS,
            )
            for number in range(engines)
        )
        service = data.Service(
            SERVICE,
            (),
            "v1",
            cost_meter=data.CostMeter.PROMPT_AND_OUTPUT,
            engine=data.Engine(MEMORY_TOKENS, 1, TOKEN_BYTES, LINK_MBPS),
            ramp=False,
        )
        workspaces = tuple(
            data.Workspace(f"w{number}", 1.0, ())
            for number in range(WORKSPACES)
        )
        self._policy = data.Policy(
            data.Environment("e", workspaces, (service,), ())
        )
        self._tables = scheduler.create_tables(1, self.now_ms, (), ())
        self._tick()
        for number in range(ROUTERS):
            self._report(number, first=True)
        self._announce()

    def run(self) -> None:
        """Lets requests come for the simulated time."""
        end_ms = self.now_ms + SIMULATED_MS
        arrival_ms: float = self.now_ms
        announce_ms = self.now_ms + ANNOUNCE_MS
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            events = 0
            while arrival_ms <= self.now_ms:
                arrival_ms += self.rng.expovariate(self._rate / 1_000)
                self._ask()
                events += 1
            while self._due and self._due[0][0] <= self.now_ms:
                _, _, router, fields = heapq.heappop(self._due)
                self._report(router, **fields)
                events += 1
            if self.now_ms >= announce_ms:
                announce_ms += ANNOUNCE_MS
                self._announce()
            if events or not self.now_ms % IDLE_TICK_MS:
                self._tick()

    def _announce(self) -> None:
        self._report(0, announcements=self._announcements)

    def _ask(self) -> None:
        rng = self.rng
        sequence = next(self._sequence)
        (kind,) = rng.choices(KINDS, [kind.part for kind in KINDS])
        name = KINDS.index(kind)
        # A part of the sessions and of the workspaces is busier than others.
        session = int(rng.random() ** 1.3 * kind.sessions)
        parts = (
            data.PromptPart(f"{name}/{session % kind.bases}", kind.base_tokens),
            data.PromptPart(f"{name}//{session}", kind.session_tokens),
            data.PromptPart(
                f"own{sequence}",
                1 + int(rng.lognormvariate(0, 0.9) * kind.own_tokens / 1.5),
            ),
        )
        want = data.QueuedRequest(
            sequence,
            f"w{int(rng.random() ** 2 * WORKSPACES)}",
            SERVICE,
            "r",
            prompt=parts,
            prompt_tokens=sum(part.tokens for part in parts),
            output_tokens=kind.output_tokens,
            target_ms=kind.target_ms,
        )
        router = rng.randrange(ROUTERS)
        self._asked_ms[sequence] = self.now_ms
        self._wants[self._routers[router].node_id, sequence] = want
        self._report(router, wants=(want,))

    def _report(self, router: int, **fields: object) -> None:
        ref = self._routers[router]
        report = messages.RouterReport(
            self.now_ms, 1, data_centre=ref.data_centre, **fields
        )
        begin = time.thread_time()
        self._tables = scheduler.on_report(
            self._tables, ref, report, self.now_ms
        )
        self.spent.report_s += time.thread_time() - begin

    def _tick(self) -> None:
        begin = time.thread_time()
        done = scheduler.tick(self._tables, self._policy, self.now_ms, self.rng)
        self.spent.ticks_s.append(time.thread_time() - begin)
        self._tables = done.tables
        self.refusals += len(done.decisions.refusals)
        for decision in done.decisions.grants:
            self._granted(decision)

    def _granted(self, decision: data.GrantDecision) -> None:
        self.grants += 1
        grant = decision.grant
        want = self._wants.pop((decision.router, grant.want))
        use = self._tables.servers[grant.server_id].load.reservations[
            grant.term, grant.id
        ]
        router = int(decision.router[1:])
        first_ms = self._read(grant.server_id, use.unread_tokens) - self.now_ms
        run_ms = first_ms + want.output_tokens * OUTPUT_TOKEN_MS
        waited_ms = self.now_ms - self._asked_ms.pop(grant.want)
        self.in_time += waited_ms + first_ms <= want.target_ms
        started = data.StartedAnswer(grant.term, grant.id, first_ms)
        finished = data.FinishedRequest(
            grant.term, grant.id, data.Outcome.COMPLETED, run_ms, 50.0, 1.0
        )
        for after_ms, fields in (
            (first_ms, {"started": (started,)}),
            (run_ms, {"finished": (finished,)}),
        ):
            heapq.heappush(
                self._due,
                (
                    self.now_ms + after_ms + REPORT_MS,
                    next(self._sequence),
                    router,
                    fields,
                ),
            )

    def _read(self, server_id: str, tokens: int) -> float:
        """Returns when an engine has read a prompt that it gets now."""
        self.read_tokens += tokens
        begin_ms = max(
            self._busy_until_ms.get(server_id, 0.0), self.now_ms + DISPATCH_MS
        )
        self._busy_until_ms[server_id] = begin_ms + tokens / READ_TOKENS_PER_MS
        return self._busy_until_ms[server_id]


def _place(number: int) -> str:
    return f"z{number % DATA_CENTRES}"


def _percentile(values: list[float], part: float) -> float:
    return sorted(values)[int(part * (len(values) - 1))]


def _print(engines: int, rate: float) -> None:
    fleet = Fleet(engines, rate)
    fleet.run()
    spent = fleet.spent
    all_s = spent.report_s + sum(spent.ticks_s)
    read = fleet.read_tokens / READ_TOKENS_PER_MS / SIMULATED_MS / engines
    print(
        f"{engines:3} engines, {rate:5} requests/s: {fleet.grants:5} granted,"
        f" {fleet.in_time} of them in time, {fleet.refusals:5} refused; engines"
        f" read {read:4.0%} of the time; {all_s / SIMULATED_MS * 1e3:5.2f} of a"
        f" core, {all_s / fleet.grants * 1e3:5.2f} ms a grant; ticks p50"
        f" {_percentile(spent.ticks_s, 0.5) * 1e3:5.2f} ms, p99"
        f" {_percentile(spent.ticks_s, 0.99) * 1e3:5.2f} ms, longest"
        f" {max(spent.ticks_s) * 1e3:5.2f} ms",
        flush=True,
    )


def main() -> None:
    """Prints the cost for some numbers of engines and requests."""
    for engines, rate in SERIES:
        _print(engines, rate)
