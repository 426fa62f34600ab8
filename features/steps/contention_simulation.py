"""Callers that come back once, played against the scheduler without a network.

Engines differ in speed, requests in size. A refused caller comes back once,
after the delay it was told or a third of the time it has left.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from features.steps import engine_placement_steps
from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import scheduler

TICK_MS = 5
# Time of a message between leader and engines.
WAY_MS = 5
ENGINES = 8
RATE = 50.0
SPEEDS = (0.55, 1.2, 1.2, 1.2)
OUTPUT_MS = 300
SIZES = (400,) * 5 + (1_000,) * 3 + (2_500, 5_000)
MEAN_SIZE = sum(SIZES) / len(SIZES)
# Latency target and deadline of each route.
ROUTES = {"short": (500, 3_000), "long": (1_000, 12_000)}
# Part of the capacity that all workspaces use in calm times.
USUAL = 0.5
BURST_MS = (1_000, 6_000)


@dataclasses.dataclass
class Caller:
    """A caller with one request and at most two attempts."""

    workspace: str
    route: str
    tokens: int
    sent_ms: int
    begun_ms: float | None = None
    refused: int = 0
    told_ms: int = 0
    attempt_ms: int = 0


class Play:
    """Callers, one router and engines around the scheduler.

    Attributes:
      callers: All callers.
      grants: Granted attempts as (workspace, whether it was the second).
    """

    def __init__(self, seed, workspaces, loud, passed_ms=20):
        self.rng = random.Random(seed)
        self.factors = {
            f"w{number}": 10.0 if number < loud else 1.0
            for number in range(workspaces)
        }
        self.passed_ms = passed_ms
        names = [f"e{number}" for number in range(ENGINES)]
        services = engine_placement_steps._environment(10**6).services
        rows = tuple(data.Workspace(name, 1.0, ()) for name in self.factors)
        environment = data.Environment("e", rows, services, ())
        engine_placement_steps._start(self, environment, names)
        self.speeds = {
            name: RATE * SPEEDS[number % len(SPEEDS)]
            for number, name in enumerate(names)
        }
        self.free_ms = dict.fromkeys(names, 0.0)
        self.capacity = sum(self.speeds.values())
        self.start_ms, self.numbers = self.at_ms, itertools.count(1)
        self.callers, self.waiting, self.running = [], {}, {}
        self.returns, self.events = [], []
        self.read_tokens = collections.Counter()

    def run(self, seconds, change_ms=None):
        """Plays some time; the leader changes at `change_ms`."""
        while self.at_ms - self.start_ms < seconds * 1_000:
            if change_ms == self.at_ms - self.start_ms:
                self._change_leader()
            self._step()
            self.at_ms += TICK_MS

    def _step(self):
        wants = [self._want(caller) for caller in self._take_senders()]
        started, finished = [], []
        while self.events and self.events[0][0] <= self.at_ms:
            _, _, kind, item = heapq.heappop(self.events)
            if kind == "finished":
                self.running.pop((item.term, item.grant), None)
            (started if kind == "started" else finished).append(item)
        now_ms = self.at_ms - self.start_ms
        self._report(
            wants=tuple(wants),
            started=tuple(started),
            finished=tuple(finished),
            announcements=() if now_ms % 1_000 else self._announce(),
        )
        decisions = driver.run_tick(self, self.rng)
        for _, refusal, _ in decisions.refusals:
            self._refuse(self.waiting.pop(refusal.want)[0], refusal)
        for decision in decisions.grants:
            self._grant(decision.grant)

    def _report(self, **fields):
        self.tables = scheduler.on_report(
            self.tables,
            driver.ROUTER,
            messages.RouterReport(self.at_ms, 1, **fields),
            self.at_ms,
        )

    def _announce(self):
        return tuple(
            driver.create_announcement(name, slots=64) for name in self.free_ms
        )

    def _take_senders(self):
        now_ms = self.at_ms - self.start_ms
        is_burst = BURST_MS[0] <= now_ms < BURST_MS[1]
        usual = USUAL * self.capacity * TICK_MS / MEAN_SIZE / len(self.factors)
        for workspace, factor in self.factors.items():
            expected = usual * (factor if is_burst else 1.0)
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                route = self.rng.choice(tuple(ROUTES))
                tokens = self.rng.choice(SIZES)
                sent_ms = self.at_ms - self.passed_ms
                caller = Caller(workspace, route, tokens, sent_ms)
                self.callers.append(caller)
                yield caller
        while self.returns and self.returns[0][0] <= self.at_ms:
            yield heapq.heappop(self.returns)[2]

    def _want(self, caller):
        sequence = next(self.numbers)
        target_ms, deadline_ms = ROUTES[caller.route]
        caller.attempt_ms = self.at_ms - self.passed_ms
        # Trials with earlier releases have no such field.
        fields = {"passed_ms": self.passed_ms} if self.passed_ms else {}
        want = data.QueuedRequest(
            sequence,
            caller.workspace,
            "s",
            caller.route,
            digest=f"{id(caller)}",
            prompt=(data.PromptPart(f"p{id(caller)}", caller.tokens),),
            prompt_tokens=caller.tokens,
            output_tokens=50,
            left_ms=max(1, deadline_ms - (self.at_ms - caller.sent_ms)),
            target_ms=target_ms,
            **fields,
        )
        self.waiting[sequence] = (caller, want)
        return want

    def _refuse(self, caller, refusal):
        caller.refused += 1
        caller.told_ms = caller.told_ms or refusal.retry_after_ms
        left_ms = ROUTES[caller.route][1] - (self.at_ms - caller.sent_ms)
        if caller.refused == 1 and left_ms > 0:
            back_ms = self.at_ms + min(refusal.retry_after_ms, left_ms / 3)
            heapq.heappush(self.returns, (back_ms, next(self.numbers), caller))

    def _grant(self, grant):
        caller, want = self.waiting.pop(grant.want)
        granted_ms = self.at_ms + WAY_MS
        begin_ms = max(granted_ms, self.free_ms[grant.server_id])
        begin_ms += caller.tokens / self.speeds[grant.server_id]
        self.free_ms[grant.server_id] = begin_ms
        self.read_tokens[caller.workspace] += caller.tokens
        caller.begun_ms = begin_ms + WAY_MS
        self.running[grant.term, grant.id] = (grant, want)
        first_ms = begin_ms - granted_ms
        end_ms = first_ms + OUTPUT_MS
        key = (grant.term, grant.id)
        for at_ms, kind, item in (
            (begin_ms, "started", data.StartedAnswer(*key, first_ms)),
            (
                begin_ms + OUTPUT_MS,
                "finished",
                data.FinishedRequest(
                    *key,
                    data.Outcome.COMPLETED,
                    first_ms,
                    end_ms,
                    caller.tokens + 100.0,
                ),
            ),
        ):
            heapq.heappush(
                self.events, (at_ms + WAY_MS, next(self.numbers), kind, item)
            )

    def _change_leader(self):
        counters = scheduler.list_counters(self.tables)
        self.tables = scheduler.create_tables(2, self.at_ms, counters, ())
        self._report(
            first=True,
            announcements=self._announce(),
            wants=tuple(want for _, want in self.waiting.values()),
            running=tuple(
                data.RunningRequest(
                    grant.term,
                    grant.id,
                    grant.server_id,
                    grant.incarnation,
                    grant.version,
                    want.workspace,
                    "s",
                    want.route,
                    want.digest,
                    0.0,
                )
                for grant, want in self.running.values()
            ),
        )

    # Results

    def select(self, quiet=None, since_ms=0):
        """Returns the callers whose outcome is known.

        Args:
          quiet: Whether to select only those of workspaces at their usual load
            or only those of the others; None for all.
          since_ms: Time after the start from which callers count.
        """
        return [
            caller
            for caller in self.callers
            if (caller.begun_ms or caller.refused)
            and caller.sent_ms - self.start_ms >= since_ms
            and quiet in (None, self.factors[caller.workspace] == 1.0)
        ]


def is_late(caller):
    """Tells whether the answer to the last attempt began after its target."""
    target_ms = ROUTES[caller.route][0]
    return caller.begun_ms - caller.attempt_ms > target_ms


def get_share(callers, test):
    """Returns the share of the callers that pass a test."""
    return sum(map(bool, map(test, callers))) / max(1, len(callers))
