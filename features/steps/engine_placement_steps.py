"""Steps for the choice of a model engine."""

import collections
import itertools

import behave

from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import engine_load
from waxwingrack.operations import scheduler
from waxwingrack.operations import tables as tables_module

ENGINES = ("e1", "e2", "e3")
TICK_MS = 20
TOKEN_BYTES = 163_840
# Grant of a prompt that is still being read.
READING = (0, 3)


def _environment(memory=100_000, cold=None, link_mbps=0.0):
    service = data.Service(
        "s",
        (),
        "v1",
        cost_meter=data.CostMeter.PROMPT_AND_OUTPUT,
        engine=data.Engine(memory, 1, TOKEN_BYTES, link_mbps),
        cold=cold and data.ColdLimit(cold),
        ramp=False,
    )
    return data.Environment(
        "e", (data.Workspace("w", 1.0, ()),), (service,), ()
    )


def _start(context, environment, engines, **announced):
    driver.create(context, 100_000)
    context.policy = data.Policy(environment)
    driver.tick(context)
    driver.report(
        context,
        first=True,
        announcements=tuple(
            driver.announcement(name, slots=64, **announced) for name in engines
        ),
    )


def _parts(text):
    pairs = (part.split(":") for part in text.split())
    return tuple(data.PromptPart(name, int(size)) for name, size in pairs)


def _want(context, parts, target_ms=800):
    context.sequence += 1
    return driver.want(
        context.sequence,
        prompt=parts,
        prompt_tokens=sum(part.tokens for part in parts),
        output_tokens=100,
        target_ms=target_ms,
    )


def _granted(load, key, want):
    needed = engine_load.needs(load, want, 0)
    return engine_load.granted(load, key, want, needed, 100_000)


def _load(context, server_id, change):
    work = tables_module.Work(context.tables, context.at_ms)
    row = work.servers[server_id]
    tables_module.store(work, data.evolve(row, load=change(row.load)))
    context.tables = work.finish()


@behave.given("a scheduler with 3 model engines of {memory:d} tokens")
def engines(context, memory):
    _start(context, _environment(memory), ENGINES)


@behave.given("a scheduler with 3 model engines and links of {link:d} Mbit/s")
def linked_engines(context, link):
    _start(context, _environment(link_mbps=float(link)), ENGINES)


@behave.given("the engine {server_id} has leaves tokens to read")
def leaves(context, server_id):
    context.tables = scheduler.on_departure(
        context.tables, server_id, context.at_ms
    )


@behave.given("the engine {server_id} is reading the parts {parts}")
def is_reading(context, server_id, parts):
    want = _want(context, _parts(parts))
    _load(context, server_id, lambda load: _granted(load, READING, want))


@behave.when("its request is cancelled")
def cancelled(context):
    _load(context, "e1", lambda load: engine_load.ended(load, READING))


@behave.then("its engine has {tokens:d} tokens to read")
def engine_reads(context, tokens):
    (item,) = context.granted
    server_id = item.grant.server_id
    assert context.tables.servers[server_id].load.unread == tokens


@behave.then("it fetches from {source}")
def fetches(context, source):
    found = [item.grant.fetch_from for item in context.granted]
    rows = context.tables.servers
    expected = (
        [None] * len(found)
        if source == "nowhere"
        else [rows[source].announcement.address]
    )
    assert found == expected, context.granted


@behave.given("the engine {server_id} has read the parts {parts}")
def has_read(context, server_id, parts):
    want = _want(context, _parts(parts))

    def read(load):
        load = _granted(load, (0, 1), want)
        return engine_load.ended(engine_load.started(load, (0, 1)), (0, 1))

    _load(context, server_id, read)


def _add_unread(context, server_id, tokens):
    if tokens:
        want = _want(context, (data.PromptPart(f"z{server_id}", tokens),))
        _load(
            context,
            server_id,
            lambda load: _granted(load, (0, 2), want),
        )


@behave.given("the engine {server_id} has {tokens:d} tokens to read")
def one_has_unread(context, server_id, tokens):
    _add_unread(context, server_id, tokens)


@behave.given("every engine has {tokens:d} tokens to read")
@behave.given("every engine runs a request of {tokens:d} tokens")
def all_have_unread(context, tokens):
    for server_id in ENGINES:
        _add_unread(context, server_id, tokens)


@behave.when("a request with the parts {parts} has waited {waited:d} ms")
def request_waits(context, parts, waited):
    # Taken in while no server is free, so that it has waited by the tick.
    driver.report(context, wants=(_want(context, _parts(parts)),))
    context.at_ms += waited
    driver.report(context)
    decisions = driver.tick(context)
    context.granted, context.refused = decisions.grants, decisions.refusals


@behave.then("it is kept waiting")
def kept_waiting(context):
    assert not context.refused, context.refused


@behave.then("it is refused with a time to come back")
def refused(context):
    ((_, refusal, _),) = context.refused
    assert refusal.kind is errors.ErrorKind.OVERLOADED, refusal
    assert refusal.retry_after_ms > 0, refusal


def _for_all(context, change):
    for server_id in ENGINES:
        _load(context, server_id, lambda load: change(load, (0, 2)))
    context.granted = driver.tick(context).grants


@behave.when("all answers begin")
def answers_begin(context):
    _for_all(context, engine_load.started)


@behave.when("all answers end")
def answers_end(context):
    _for_all(context, engine_load.ended)


@behave.then("it is granted {engine}")
def granted(context, engine):
    found = [item.grant.server_id for item in context.granted]
    expected = {
        "nowhere": [()],
        "not e1": [("e2",), ("e3",)],
        "e1": [("e1",)],
        "e1, e2 or e3": [(name,) for name in ENGINES],
    }[engine]
    assert tuple(found) in expected, context.granted


@behave.given(
    "only the engine e1, cold for {cold:d} ms at {rate:d} requests a second"
)
def cold_engine(context, cold, rate):
    _start(context, _environment(10**9, rate), ("e1",), cold_ms=cold)


@behave.when("{count:d} requests wait for {seconds:d} s")
def many_wait(context, count, seconds):
    # Without a target none is refused before a cold engine could take it.
    parts = (data.PromptPart("p", 10),)
    wants = tuple(_want(context, parts, target_ms=0) for _ in range(count))
    driver.report(context, wants=wants)
    context.granted_ms = []
    for _ in range(seconds * 1000 // TICK_MS):
        grants = driver.tick(context).grants
        context.granted_ms += [context.at_ms] * len(grants)
        driver.report(
            context,
            finished=tuple(
                data.Finished(
                    item.grant.term,
                    item.grant.id,
                    data.Outcome.COMPLETED,
                    1.0,
                    1.0,
                    1.0,
                )
                for item in grants
            ),
        )
        context.at_ms += TICK_MS


@behave.then(
    "no second has more than {most:d} grants and {least:d} or more are granted"
)
def bounded(context, most, least):
    times = context.granted_ms
    counts = collections.Counter()
    for start, other in itertools.product(set(times), times):
        counts[start] += 0 <= other - start < 1000
    assert max(counts.values()) <= most, counts
    assert len(times) >= least, len(times)
