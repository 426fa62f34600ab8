"""Steps for the duties of the leading controller, without a network."""

import asyncio
import dataclasses
import random
import types

import behave
from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import duties as duties_daemon
from waxwingrack.daemons import usage_counter
from waxwingrack.operations import duties
from waxwingrack.operations import replicated
from waxwingrack.operations import replicated_duties
from waxwingrack.operations import true_time
from waxwingrack.operations import usage
from waxwingrack.platform import provider_api

WINDOW_S = 5.0
SETTINGS = data.DutySettings(data.Address("127.0.0.1", 1))
# Wall clock at the monotonic time 0, at the start of a window.
EPOCH_MS = 1_767_225_600_000
FIRST_WINDOW = usage.find_window(EPOCH_MS, WINDOW_S)
Outcome = duties.Outcome
FAILURES = {
    "throttles": Outcome.THROTTLED,
    "refuses": Outcome.REFUSED,
    "down": Outcome.NOT_SENT,
}


class FakeProvider:
    """Provider that remembers tokens by subject and may execute late."""

    def __init__(self):
        self.mode = "answers"
        self.tokens = {}
        self.late = []
        self.calls = []
        self.gate = asyncio.Event()

    def execute(self, name, call, token):
        is_usage = isinstance(call, duties.UsageCall)
        subject = "usage" if is_usage else (call.service, call.data_centre)
        if token < self.tokens.get(subject, 0):
            self.calls.append(f"{name}:fenced@{token}")
            return False
        self.tokens[subject] = token
        text = (
            f"{call.window - FIRST_WINDOW}="
            + "+".join(f"{row.workspace}{row.count}" for row in call.counts)
            if is_usage
            else str(call.count)
        )
        self.calls.append(f"{name}:{text}@{token}")
        return True

    async def call(self, name, call, token, may_send):
        if self.mode == "connects slowly":
            await self.gate.wait()
        if not may_send():
            return Outcome.NOT_SENT
        if self.mode in ("loses", "loses answers"):
            if self.mode == "loses":
                self.late.append((name, call, token))
            else:
                self.execute(name, call, token)
            return Outcome.UNANSWERED
        if self.mode in FAILURES:
            return FAILURES[self.mode]
        is_done = self.execute(name, call, token)
        return Outcome.ACCEPTED if is_done else Outcome.FENCED


class World:
    """Controllers with one replicated log, in simulated time."""

    def __init__(self):
        self.now_ms = 0
        self.state = data.ReplicatedState()
        self.provider = FakeProvider()
        self.leaders = {}
        self.step_ms = 0
        self.attempts = 0
        self.term = 0

    def lead(self, name):
        self.term += 1
        driver = types.SimpleNamespace(
            replica=types.SimpleNamespace(node_id=name, term=self.term),
            acts=True,
        )
        driver.may_act = lambda: driver.acts

        def propose(command):
            applied = replicated.apply(self.state, command)
            self.state = driver.state = applied.state
            for led in self.leaders.values():
                led.driver.state = self.state
            fut = asyncio.get_running_loop().create_future()
            fut.set_result(result.Success(applied.outcome))
            return fut

        async def call(call, token, may_send):
            self.attempts += 1
            outcome = await self.provider.call(name, call, token, may_send)
            return outcome, "test"

        driver.propose, driver.state = propose, self.state
        client = types.SimpleNamespace(abort=lambda: None, call=call)
        wall = usage_counter.WallClock(
            lambda: (EPOCH_MS + self.now_ms + self.step_ms) / 1000
        )
        for led in self.leaders.values():
            led.driver.acts = False
        work = duties_daemon.Duties(
            types.SimpleNamespace(
                driver=driver,
                rng=random.Random(1),
                clock=lambda: self.now_ms,
                metrics=types.SimpleNamespace(add=lambda *_, **__: None),
            ),
            duties_daemon.DutyTools(SETTINGS, wall, lambda _: client),
        )
        self.leaders[name] = types.SimpleNamespace(driver=driver, work=work)

    async def wait(self, seconds):
        end_ms = self.now_ms + round(1000 * float(seconds))
        while self.now_ms < end_ms:
            self.now_ms += duties_daemon.TICK_MS
            for led in tuple(self.leaders.values()):
                led.work.run_periodic(self.now_ms)
            for _ in range(5):
                await asyncio.sleep(0)

    def order(self, text):
        *_, led = self.leaders.values()
        count = {"nan": float("nan"), "huge": 10**30}.get(text)
        led.work.submit_order("s", "z", count or int(text))
        return self.wait(0.1)

    def change_provider(self, mode):
        self.provider.mode = mode
        if mode != "connects slowly":
            self.provider.gate.set()

    def execute_late(self, _):
        late, self.provider.late = self.provider.late, []
        for call in late:
            self.provider.execute(*call)

    def report(self, text):
        name, window, count = text.split()
        counts = (data.UsageCount("w", int(count)),)
        rows = (data.WindowUsage(FIRST_WINDOW + int(window), counts),)
        report = messages.RouterReport(self.now_ms, 1, usage=rows)
        for led in self.leaders.values():
            if led.driver.acts:
                led.work.handle_usage(name, report)

    def record(self, windows, count, token):
        counts = (data.UsageCount("w", int(count)),)
        *_, led = self.leaders.values()
        for window in range(FIRST_WINDOW, FIRST_WINDOW + windows):
            led.driver.propose(commands.RecordUsage(window, counts, token))

    def record_too_many(self, text):
        self.record(int(text), 1, 1)
        assert len(self.state.usage) == replicated_duties.MAX_WINDOWS
        assert self.state.usage_floor == min(self.state.usage) - 1

    def restart(self, _):
        self.state = replicated.decode(replicated.encode(self.state)).unwrap()
        self.leaders.clear()


EVENTS = {
    "lead": World.lead,
    "wait": World.wait,
    "order": World.order,
    "provider": World.change_provider,
    "lapse": lambda world, name: setattr(
        world.leaders[name].driver, "acts", False
    ),
    "renew": lambda world, name: setattr(
        world.leaders[name].driver, "acts", True
    ),
    "late": World.execute_late,
    "seen": lambda world, token: world.provider.tokens.update(
        {("s", "z"): int(token)}
    ),
    "step": lambda world, s: setattr(world, "step_ms", 1000 * int(s)),
    "report": World.report,
    "stale": lambda world, count: world.record(1, count, 1),
    "fill": World.record_too_many,
    "restart": World.restart,
}


@behave.when('the history is "{history}"')
def run_history(context, history):
    async def run():
        context.world = World()
        for event in history.split(", "):
            verb, _, text = event.partition(" ")
            pause = EVENTS[verb](context.world, text)
            if pause is not None:
                await pause
        for led in context.world.leaders.values():
            led.work.end()

    asyncio.run(run())


@behave.then('the provider has executed "{calls}"')
def check_executed(context, calls):
    found = " ".join(context.world.provider.calls)
    assert (found or "nothing") == calls, found


@behave.then("it got {count} calls")
def check_attempts(context, count):
    least, _, most = count.partition("-")
    found = context.world.attempts
    assert int(least) <= found <= int(most or least), found


@behave.then(
    "{calls:d} calls at once take {seconds:g} s at {rate:g} per second"
)
def check_rate(_, calls, seconds, rate):
    budget, now_ms, made = duties.create_budget(rate, 0), 0, 0
    while made < calls:
        budget, may_call = duties.take_call(budget, now_ms)
        made += may_call
        now_ms += 0 if may_call else 10
    assert abs(now_ms / 1000 - seconds) < 0.05, now_ms


@behave.then(
    "an answer of the provider with the status {status:d} says {outcome}"
)
def check_status(_, status, outcome):
    assert provider_api.read_outcome(status) == outcome


@behave.when(
    "a wall clock that shows {shown} is sampled for {seconds:d} s each"
)
def sample_clock(context, shown, seconds):
    clock, now_ms = true_time.TrueTime(), 0
    context.errors_ms = []
    for step in shown.split():
        for _ in range(seconds):
            now_ms += 1_000
            wall_ms = float(step) * 1000 + EPOCH_MS + now_ms
            clock = true_time.add_sample(clock, wall_ms, now_ms)
            found_ms = true_time.to_true_ms(clock, now_ms)
            context.errors_ms.append(found_ms - EPOCH_MS - now_ms)


@behave.then("true time is off by at most {most:d} s and at last by {last:d} s")
def check_true_time(context, most, last):
    errors_ms = context.errors_ms
    assert max(map(abs, errors_ms)) == 1000 * most, errors_ms
    assert errors_ms[-1] == 1000 * last, errors_ms


@behave.when('a router counts "{requests}"')
def router_counts(context, requests):
    context.now_ms = 0
    settings = dataclasses.replace(SETTINGS, duties=(data.Duty.USAGE_REPORT,))
    counter = usage_counter.UsageCounter(
        settings,
        lambda: context.now_ms,
        usage_counter.WallClock(lambda: (EPOCH_MS + context.now_ms) / 1000),
    )
    context.reports = []
    for item in requests.split():
        kind, _, value = item.partition(":")
        if kind == "at":
            context.now_ms = int(value)
        elif kind in ("report", "first"):
            context.reports.append(counter.take_report(kind == "first"))
        else:
            counter.count(kind, int(value))


@behave.then('it reports "{reports}"')
def check_reports(context, reports):
    found = " ".join(
        ",".join(
            f"{row.window - FIRST_WINDOW}:{count.workspace}{count.count}"
            for row in report
            for count in row.counts
        )
        or "-"
        for report in context.reports
    )
    assert found == reports, found
