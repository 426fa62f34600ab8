"""Callers that come back once, played against the scheduler.

A refused caller comes back after the delay it was told, but at the latest after
a third of the time it has left.
"""

import dataclasses
import heapq
import itertools
import random

from features.steps import engine_placement_steps
from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.operations import scheduler

TICK_MS = 5
# Time of a message between leader and engines.
WAY_MS = 5
# Tokens that each engine reads in a millisecond.
SPEEDS = (27.5, 60.0, 60.0, 60.0) * 2
OUTPUT_MS = 300
SIZES = (400,) * 5 + (1_000,) * 3 + (2_500, 5_000)
# Latency target and deadline of each route.
ROUTES = {"short": (500, 3_000), "long": (1_000, 12_000)}
# Tokens that all workspaces send in a millisecond in calm times.
USUAL = 0.5 * sum(SPEEDS)
BURST_MS = (1_000, 6_000)
# Time since the arrival at the router when a request is reported.
PASSED_MS = 20


@dataclasses.dataclass(eq=False)
class Caller:
    """A caller with one request and at most two attempts."""

    number: int
    workspace: str
    route: str
    tokens: int
    sent_ms: int
    is_quiet: bool
    attempt_ms: int = 0
    begun_ms: float = 0.0
    refused: int = 0

    def is_late(self):
        """Tells whether the answer began after the target of its attempt."""
        return self.begun_ms - self.attempt_ms > ROUTES[self.route][0]


class Play:
    """Callers, one router and engines around the scheduler."""

    def __init__(self, seed, workspaces, loud):
        self.rng, self.numbers = random.Random(seed), itertools.count(1)
        self.factors = {
            f"w{n}": 10 if n < loud else 1 for n in range(workspaces)
        }
        self.speeds = {f"e{n}": speed for n, speed in enumerate(SPEEDS)}
        environment = data.Environment(
            "e",
            tuple(data.Workspace(name, 1.0, ()) for name in self.factors),
            engine_placement_steps._environment(10**6).services,
            (),
        )
        engine_placement_steps._start(self, environment, self.speeds)
        driver.set_service_options(self, max_min_shares=True, learn_speeds=True)
        self.free_ms = dict.fromkeys(self.speeds, 0.0)
        self.start_ms = self.at_ms
        self.callers, self.waiting, self.running = [], {}, {}
        self.returns, self.events = [], []

    def run(self, seconds, change_ms):
        """Plays some time; the leader changes after `change_ms`, if not 0."""
        for now_ms in range(0, seconds * 1_000, TICK_MS):
            self.at_ms = self.start_ms + now_ms
            if change_ms and now_ms == change_ms:
                self._change_leader()
            wants = tuple(map(self._send, [*self._list_senders(now_ms)]))
            due = {"started": [], "finished": []}
            while self.events and self.events[0][0] <= self.at_ms:
                _, _, kind, item = heapq.heappop(self.events)
                due[kind].append(item)
                if kind == "finished":
                    del self.running[item.term, item.grant]
            announced = () if now_ms % 1_000 else self._announce()
            driver.send_report(
                self, wants=wants, announcements=announced, **due
            )
            decisions = driver.run_tick(self, self.rng)
            for _, refusal, _ in decisions.refusals:
                self._refuse(self.waiting.pop(refusal.want)[0], refusal)
            for decision in decisions.grants:
                self._read(
                    decision.grant, *self.waiting.pop(decision.grant.want)
                )

    def _announce(self):
        return tuple(
            driver.create_announcement(x, slots=64) for x in self.speeds
        )

    def _list_senders(self, now_ms):
        is_burst = BURST_MS[0] <= now_ms < BURST_MS[1]
        mean_size = sum(SIZES) / len(SIZES)
        usual = USUAL * TICK_MS / mean_size / len(self.factors)
        for name, factor in self.factors.items():
            expected = usual * (factor if is_burst else 1)
            for _ in range(int(expected + self.rng.random())):
                route, tokens = (
                    self.rng.choice([*ROUTES]),
                    self.rng.choice(SIZES),
                )
                caller = Caller(
                    len(self.callers),
                    name,
                    route,
                    tokens,
                    self.at_ms,
                    factor == 1,
                )
                self.callers.append(caller)
                yield caller
        while self.returns and self.returns[0][0] <= self.at_ms:
            yield heapq.heappop(self.returns)[2]

    def _send(self, caller):
        target_ms, deadline_ms = ROUTES[caller.route]
        caller.attempt_ms = self.at_ms - PASSED_MS
        want = data.QueuedRequest(
            next(self.numbers),
            caller.workspace,
            "s",
            caller.route,
            digest=f"{caller.number}",
            prompt=(data.PromptPart(f"p{caller.number}", caller.tokens),),
            prompt_tokens=caller.tokens,
            output_tokens=50,
            left_ms=deadline_ms - (self.at_ms - caller.sent_ms),
            target_ms=target_ms,
            passed_ms=PASSED_MS,
        )
        self.waiting[want.sequence] = (caller, want)
        return want

    def _refuse(self, caller, refusal):
        caller.refused += 1
        left_ms = ROUTES[caller.route][1] - (self.at_ms - caller.sent_ms)
        if caller.refused == 1:
            back_ms = self.at_ms + min(refusal.retry_after_ms, left_ms / 3)
            heapq.heappush(self.returns, (back_ms, caller.number, caller))

    def _read(self, grant, caller, want):
        granted_ms = self.at_ms + WAY_MS
        begin_ms = max(granted_ms, self.free_ms[grant.server_id])
        begin_ms += caller.tokens / self.speeds[grant.server_id]
        self.free_ms[grant.server_id] = begin_ms
        caller.begun_ms = begin_ms + WAY_MS
        self.running[grant.term, grant.id] = (grant, want)
        first_ms, outcome = begin_ms - granted_ms, data.Outcome.COMPLETED
        end_ms, key = first_ms + OUTPUT_MS, (grant.term, grant.id)
        started = data.StartedAnswer(*key, first_ms)
        finished = data.FinishedRequest(
            *key, outcome, first_ms, end_ms, caller.tokens + 100.0
        )
        for at_ms, kind, item in (
            (begin_ms, "started", started),
            (begin_ms + OUTPUT_MS, "finished", finished),
        ):
            event = (at_ms + WAY_MS, next(self.numbers), kind, item)
            heapq.heappush(self.events, event)

    def _change_leader(self):
        counters = scheduler.list_counters(self.tables)
        self.tables = scheduler.create_tables(2, self.at_ms, counters, ())
        # The first tick makes the environment known.
        driver.run_tick(self, self.rng)
        running = tuple(
            data.RunningRequest(
                *(grant.term, grant.id, grant.server_id, grant.incarnation),
                *(grant.version, want.workspace, "s", want.route),
                *(want.digest, 0.0),
            )
            for grant, want in self.running.values()
        )
        driver.send_report(
            self,
            first=True,
            announcements=self._announce(),
            wants=tuple(want for _, want in self.waiting.values()),
            running=running,
        )

    def list_ended(self):
        """Returns the callers that were served or refused."""
        return [x for x in self.callers if x.begun_ms or x.refused]
