"""Steps that simulate an overload of the scheduler, without a network."""

import dataclasses
import heapq
import itertools
import math
import random

import behave

from features.steps import engine_placement_steps
from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import engine_load
from waxwingrack.operations import scheduler

TICK_MS = 5
TARGET_MS = 400
PROMPT_TOKENS = 2_000
OUTPUT_MS = 200
SEED = 20261204


@dataclasses.dataclass(frozen=True)
class _RequestStream:
    """Requests that one workspace sends at a constant rate.

    Attributes:
      workspace: Workspace.
      factor: Prompt tokens that it sends, as a multiple of the capacity.
      tokens: Length of a prompt.
      target_ms: Latency target.
    """

    workspace: str
    factor: float
    tokens: int
    target_ms: int


class _Engine:
    """Model engine that reads one prompt at a time."""

    def __init__(self):
        self.free_ms = 0.0
        self.busy_ms = 0.0

    def read(self, now_ms, tokens, rate):
        begin_ms = max(now_ms, self.free_ms)
        self.free_ms = begin_ms + tokens / rate
        self.busy_ms += tokens / rate
        return self.free_ms


@behave.given(
    "a service of {count:d} model engines that read {rate:d} tokens in a"
    " millisecond"
)
def start_engines(context, count, rate):
    names = [f"e{number}" for number in range(count)]
    environment = data.Environment(
        "e",
        tuple(
            data.Workspace(name, 1.0, ())
            for name in ("flood", "small", "large")
        ),
        engine_placement_steps._environment(10**6).services,
        (),
    )
    engine_placement_steps._start(context, environment, names)
    context.engines = {name: _Engine() for name in names}
    context.rate = rate
    context.streams = []
    context.latency_ms = 0
    # Additional time until the prompts of a workspace reach the engines.
    context.delays_ms = {}
    context.silent = ""
    context.output_ms = OUTPUT_MS
    # Share by which the times of answers vary, and their random generator.
    context.spread, context.durations = 0.0, random.Random(SEED)


@behave.given("engines with {slots:d} places and answers of {output_ms:d} ms")
def set_places(context, slots, output_ms):
    context.slots, context.output_ms = slots, output_ms
    context.spread = 0.5
    driver.send_report(
        context,
        announcements=tuple(
            dataclasses.replace(
                context.tables.servers[name].announcement,
                slots=slots,
                sequence=1,
            )
            for name in context.engines
        ),
    )


@behave.given(
    "prompts of the workspace {name} that reach the engines after {delay_ms:d}"
    " ms"
)
def set_prompt_delay(context, name, delay_ms):
    context.delays_ms[name] = delay_ms


@behave.given("messages between leader and engines that take {latency_ms:d} ms")
def set_message_latency(context, latency_ms):
    context.latency_ms = latency_ms


@behave.given(
    "the workspace {name} that sends {factor:g} times the capacity in prompts"
    " of {tokens:d} tokens for {target_ms:d} ms"
)
def add_request_stream(context, name, factor, tokens, target_ms):
    context.streams.append(_RequestStream(name, factor, tokens, target_ms))


@behave.given("the workspace {name} that sends {factor:g} times the capacity")
def add_workspace(context, name, factor):
    add_request_stream(context, name, factor, PROMPT_TOKENS, TARGET_MS)


@behave.given("the workspace {name} that sends a tenth of the capacity")
def add_small_workspace(context, name):
    add_workspace(context, name, 0.1)


@behave.when("they send for {seconds:d} s")
def run_simulation(context, seconds):
    rng = random.Random(SEED)
    print(f"seed {SEED}")
    rate = len(context.engines) * context.rate
    start_ms, numbers = context.at_ms, itertools.count(1)
    context.sent, context.begun, context.refused = {}, {}, {}
    context.decided_ms = {}
    # Time for which places of the engines are taken, over all of them.
    context.taken_ms = 0.0
    events = []
    end_ms = start_ms + seconds * 1000
    while context.at_ms < end_ms:
        now_ms = context.at_ms
        queued_requests = []
        for stream in context.streams:
            expected = stream.factor * rate / stream.tokens * TICK_MS
            count = int(expected) + (rng.random() < expected % 1)
            for sequence in itertools.islice(numbers, count):
                context.sent[sequence] = (stream.workspace, now_ms, stream)
                parts = (data.PromptPart(f"p{sequence}", stream.tokens),)
                queued_requests.append(
                    data.QueuedRequest(
                        sequence,
                        stream.workspace,
                        "s",
                        "r",
                        prompt=parts,
                        prompt_tokens=stream.tokens,
                        output_tokens=50,
                        target_ms=stream.target_ms,
                    )
                )
        started, finished = [], []
        while events and events[0][0] <= now_ms:
            _, _, kind, item = heapq.heappop(events)
            if kind == "arrived":
                for event in _read_prompt(context, end_ms, *item):
                    heapq.heappush(
                        events, (event[0], next(numbers), *event[1:])
                    )
            else:
                (started if kind == "started" else finished).append(item)
        context.tables = scheduler.on_report(
            context.tables,
            driver.ROUTER,
            messages.RouterReport(
                now_ms,
                1,
                wants=tuple(queued_requests),
                started=tuple(started),
                finished=tuple(finished),
            ),
            now_ms,
        )
        decisions = driver.run_tick(context, rng)
        for _, refusal, _ in decisions.refusals:
            context.refused[refusal.want] = (now_ms, refusal)
            context.decided_ms[refusal.want] = now_ms
        for item in decisions.grants:
            workspace = context.sent[item.grant.want][0]
            context.decided_ms[item.grant.want] = now_ms
            arrives_ms = now_ms + context.latency_ms
            arrives_ms += context.delays_ms.get(workspace, 0)
            arrival = (arrives_ms, now_ms, item.grant)
            heapq.heappush(
                events, (arrives_ms, next(numbers), "arrived", arrival)
            )
        context.at_ms += TICK_MS
    context.simulated_ms = context.at_ms - start_ms


def _read_prompt(context, end_ms, arrives_ms, granted_ms, grant):
    """Lets an engine read a prompt; returns what is reported of it later."""
    tokens = context.sent[grant.want][2].tokens
    begin_ms = context.engines[grant.server_id].read(
        arrives_ms, tokens, context.rate
    )
    if grant.server_id == context.silent:
        return ()
    context.begun[grant.want] = begin_ms
    first_ms = begin_ms - granted_ms
    output_ms = context.output_ms * context.durations.uniform(
        1 - context.spread, 1 + context.spread
    )
    context.taken_ms += max(0, min(end_ms, begin_ms + output_ms) - granted_ms)
    started = data.StartedAnswer(grant.term, grant.id, first_ms)
    finished = data.FinishedRequest(
        grant.term,
        grant.id,
        data.Outcome.COMPLETED,
        first_ms,
        first_ms + output_ms,
        tokens + 100.0,
    )
    return (
        (begin_ms + context.latency_ms, "started", started),
        (begin_ms + output_ms + context.latency_ms, "finished", finished),
    )


@behave.then(
    "at least {percent:d} in 100 of the answers begin within the target"
)
def check_target_met(context, percent):
    late = [
        sequence
        for sequence, begin_ms in context.begun.items()
        if begin_ms - context.sent[sequence][1] > TARGET_MS
    ]
    share = 100 * (1 - len(late) / len(context.begun))
    assert share >= percent, share


@behave.then(
    "at least {percent:d} in 100 of the requests for {target_ms:d} ms are"
    " answered within it"
)
def check_target_met_by_stream(context, percent, target_ms):
    end_ms = context.at_ms - target_ms
    waits = [
        context.begun.get(sequence, math.inf) - at_ms
        for sequence, (_, at_ms, stream) in context.sent.items()
        if stream.target_ms == target_ms and at_ms < end_ms
    ]
    share = 100 * sum(wait <= target_ms for wait in waits) / len(waits)
    assert share >= percent, (share, len(waits))


@behave.then(
    "no request is kept waiting for more than {times:d} times its target"
)
def check_waits(context, times):
    overdue = [
        sequence
        for sequence, (_, at_ms, stream) in context.sent.items()
        if context.decided_ms.get(sequence, context.at_ms) - at_ms
        > times * stream.target_ms + TICK_MS
    ]
    assert not overdue, len(overdue)


@behave.then("no request of {name} is refused")
def check_no_refusal(context, name):
    refused = [s for s in context.refused if context.sent[s][0] == name]
    assert not refused, len(refused)


@behave.then("the engines are busy for at least {percent:d} in 100 of the time")
def check_engines_busy(context, percent):
    # Time after the end of the simulation does not count.
    total = sum(
        engine.busy_ms - max(0.0, engine.free_ms - context.at_ms)
        for engine in context.engines.values()
    )
    share = 100 * total / (len(context.engines) * context.simulated_ms)
    assert share >= percent, share


@behave.then("refusals come within {limit:d} ms with a time to come back")
def check_refusals(context, limit):
    for sequence, (at_ms, refusal) in context.refused.items():
        assert at_ms - context.sent[sequence][1] <= limit, sequence
        assert refusal.retry_after_ms > 0, refusal


@behave.then(
    "{name} gets at least {percent:d} in 100 of the tokens that {other} gets"
)
def check_token_shares(context, name, percent, other):
    counts = {
        workspace: sum(
            context.sent[sequence][2].tokens
            for sequence in context.begun
            if context.sent[sequence][0] == workspace
        )
        for workspace in (name, other)
    }
    assert 100 * counts[name] >= percent * counts[other], counts


@behave.then(
    "at least {percent:d} in 100 of the answers begin within {target_ms:d} ms"
)
def check_answers_within(context, percent, target_ms):
    waits = [
        begin_ms - context.sent[sequence][1]
        for sequence, begin_ms in context.begun.items()
    ]
    share = 100 * sum(wait <= target_ms for wait in waits) / len(waits)
    assert share >= percent, (share, len(waits))


@behave.then("the places are taken for at least {percent:d} in 100 of the time")
def check_places_taken(context, percent):
    places = len(context.engines) * context.slots
    share = 100 * context.taken_ms / (places * context.simulated_ms)
    assert share >= percent, share


@behave.given("an engine of them that never answers")
def one_never_answers(context):
    context.silent = next(iter(context.engines))


@behave.then("the engine that never answers has got at most {count:d} requests")
def silent_engine_requests(context, count):
    load = context.tables.servers[context.silent].load
    assert len(load.reservations) <= count, len(load.reservations)


@behave.given("an engine that got {count:d} prompts of {tokens:d} tokens")
def engine_with_prompts(context, count, tokens):
    context.at_ms = 100_000
    context.load = data.EngineLoad()
    for number in range(1, count + 1):
        want = driver.create_request(
            number,
            prompt=(data.PromptPart(f"p{number}", tokens),),
            prompt_tokens=tokens,
        )
        context.load = engine_load.add_grant(
            context.load,
            (1, number),
            want,
            engine_load.PromptPlan(tokens),
            context.load.unread_tokens,
            10**6,
            context.at_ms,
        )


@behave.when('it begins the answers "{answers}"')
@behave.when('it begins the answers ""')
def begin_answers(context, answers=""):
    for number in answers.split():
        context.load = engine_load.mark_answer_started(
            context.load, (1, int(number)), context.at_ms
        )


@behave.when("the requests {numbers} end")
@behave.when("the requests  end")
def end_requests(context, numbers=""):
    for number in numbers.split():
        context.load = engine_load.remove_grant(
            context.load, (1, int(number)), context.at_ms
        )


@behave.then("{unread:d} tokens count as unread")
def count_unread(context, unread):
    assert context.load.unread_tokens == unread, context.load.unread_tokens
