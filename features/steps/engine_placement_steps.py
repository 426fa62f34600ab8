"""Steps for the choice of a model engine."""

import collections
import dataclasses
import itertools
import random
import sys
import zlib

import behave

from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import engine_choice
from waxwingrack.operations import engine_load
from waxwingrack.operations import forecast
from waxwingrack.operations import scheduler
from waxwingrack.operations import server_speeds
from waxwingrack.operations import tables as tables_module

ENGINES = ("e1", "e2", "e3")
TICK_MS = 20
TOKEN_BYTES = 163_840
# Grant of a prompt that is still being read.
READING = (0, 3)
# Initial read rate of a service, in tokens per millisecond, and the limit of
# unread tokens of its engines at that rate.
READ_RATE = forecast.DEFAULT_TOKENS_PER_MS
MAX_UNREAD_TOKENS = engine_load.MAX_UNREAD_MS * READ_RATE


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
    driver.create_scheduler(context, 100_000)
    context.policy = data.Policy(environment)
    driver.run_tick(context)
    driver.send_report(
        context,
        first=True,
        announcements=tuple(
            driver.create_announcement(name, slots=64, **announced)
            for name in engines
        ),
    )


def _parts(text):
    pairs = (part.split(":") for part in text.split())
    return tuple(data.PromptPart(name, int(size)) for name, size in pairs)


def _want(context, parts, target_ms=800):
    context.sequence += 1
    return driver.create_request(
        context.sequence,
        prompt=parts,
        prompt_tokens=sum(part.tokens for part in parts),
        output_tokens=100,
        target_ms=target_ms,
    )


def _granted(context, load, key, want):
    own = engine_load.count_cached_tokens(load.cache, want)
    needed = engine_load.plan_prompt(want, own, 0, READ_RATE)
    return engine_load.add_grant(
        load,
        key,
        want,
        needed,
        load.unread_tokens,
        100_000,
        context.at_ms,
    )


def _read(context, load, key, want):
    """Returns a load after a request whose prompt is kept."""
    load = _granted(context, load, key, want)
    load = engine_load.mark_answer_started(load, key, context.at_ms)
    return engine_load.remove_grant(load, key, context.at_ms)


def _load(context, server_id, change):
    txn = tables_module.Transaction(context.tables, context.at_ms)
    row = txn.servers[server_id]
    tables_module.store_server(txn, data.evolve(row, load=change(row.load)))
    context.tables = txn.commit()


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
    _load(
        context, server_id, lambda load: _granted(context, load, READING, want)
    )


@behave.when("its request is cancelled")
def cancelled(context):
    _load(
        context,
        "e1",
        lambda load: engine_load.remove_grant(load, READING, context.at_ms),
    )


@behave.then("its engine has {tokens:d} tokens to read")
def engine_reads(context, tokens):
    (item,) = context.granted
    server_id = item.grant.server_id
    assert context.tables.servers[server_id].load.unread_tokens == tokens


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
        return _read(context, load, (0, 1), want)

    _load(context, server_id, read)


def _add_unread(context, server_id, tokens, key=(0, 2)):
    if tokens:
        name = f"z{server_id}{key[1]}"
        want = _want(context, (data.PromptPart(name, tokens),))
        _load(
            context,
            server_id,
            lambda load: _granted(context, load, key, want),
        )


def _queue_unread(context, server_id, tokens):
    """Adds a prompt behind a short one, so that time does not read it."""
    if tokens:
        _add_unread(context, server_id, 1, (0, 0))
        _add_unread(context, server_id, tokens - 1)


@behave.given("the engine {server_id} has {tokens:d} tokens to read")
def one_has_unread(context, server_id, tokens):
    _queue_unread(context, server_id, tokens)


@behave.given("every engine reads a prompt of {tokens:d} tokens")
def all_read(context, tokens):
    all_run(context, tokens)


@behave.given("another prompt of {tokens:d} tokens follows there")
def all_have_more(context, tokens):
    for server_id in ENGINES:
        _add_unread(context, server_id, tokens, (0, 4))


@behave.given("every engine has {tokens:d} tokens to read")
def all_have_unread(context, tokens):
    for server_id in ENGINES:
        _queue_unread(context, server_id, tokens)


@behave.given("every engine runs a request of {tokens:d} tokens")
def all_run(context, tokens):
    for server_id in ENGINES:
        _add_unread(context, server_id, tokens)


@behave.when("a request with the parts {parts} has waited {waited:d} ms")
def request_waits(context, parts, waited):
    # Taken in while no server is free, so that it has waited by the tick.
    driver.send_report(context, wants=(_want(context, _parts(parts)),))
    context.at_ms += waited
    driver.send_report(context)
    decisions = driver.run_tick(context)
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
        _load(
            context,
            server_id,
            lambda load: change(load, (0, 2), context.at_ms),
        )
    context.granted = driver.run_tick(context).grants


@behave.when("all answers begin")
def answers_begin(context):
    _for_all(context, engine_load.mark_answer_started)


@behave.when("all answers end")
def answers_end(context):
    _for_all(context, engine_load.remove_grant)


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


@behave.given(
    "only the engine e1, which bears {rate:d} requests a second while it is"
    " cold"
)
def warm_engine(context, rate):
    _start(context, _environment(10**9, rate), ("e1",))


@behave.given("its data centre was drained and is restored")
def drained_and_restored(context):
    policy = context.policy
    for drained in (frozenset("a"), frozenset()):
        context.policy = dataclasses.replace(policy, drained=drained)
        driver.run_tick(context)
        context.at_ms += 1_000
    context.at_ms -= 1_000


@behave.given("it announces itself as {state} after {after:d} ms")
def announces_later(context, state, after):
    context.announced = (
        context.at_ms + after,
        driver.create_announcement(
            "e1", slots=64, cold_ms=3_000 if state == "cold" else 0
        ),
    )


@behave.when("{count:d} requests wait for {seconds:d} s")
def many_wait(context, count, seconds):
    # Without a target none is refused before a cold engine could take it.
    parts = (data.PromptPart("p", 10),)
    wants = tuple(_want(context, parts, target_ms=0) for _ in range(count))
    driver.send_report(context, wants=wants)
    context.granted_ms = []
    announce_ms, announcement = getattr(context, "announced", (None, None))
    for _ in range(seconds * 1000 // TICK_MS):
        if announce_ms is not None and context.at_ms >= announce_ms:
            announce_ms = None
            driver.send_report(context, announcements=(announcement,))
        grants = driver.run_tick(context).grants
        context.granted_ms += [context.at_ms] * len(grants)
        driver.send_report(
            context,
            finished=tuple(
                data.FinishedRequest(
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


# ---------------------------------------------------------------------------
# Search over many engines
# ---------------------------------------------------------------------------


@behave.given("a scheduler with {count:d} model engines of which one has room")
def many_engines(context, count):
    names = [f"e{number}" for number in range(count)]
    _start(context, _environment(), names)
    # What the requests share is kept by a full engine, for which they wait.
    shared = _want(context, _parts("a:500 b:4000"))
    key = (0, 1)
    _load(
        context,
        names[1],
        lambda load: _read(context, load, key, shared),
    )
    for name in names[1:]:
        _add_unread(context, name, 9_000)
    context.engines = count


@behave.when("{count:d} requests wait for engines that are full")
def wait_for_full(context, count):
    parts = _parts("a:500 b:4000")
    wants = tuple(_want(context, parts) for _ in range(count))
    driver.send_report(context, wants=wants)
    driver.run_tick(context)
    context.calls = 0

    def count_call(frame, event, argument):
        context.calls += event == "call"

    sys.setprofile(count_call)
    try:
        decisions = driver.run_tick(context)
    finally:
        sys.setprofile(None)
    context.pairs = context.engines * count
    assert not decisions.grants, decisions.grants


@behave.then("the tick made fewer function calls than there are pairs of them")
def few_calls(context):
    assert context.calls < context.pairs, (context.calls, context.pairs)


PROMPT_PARTS = tuple(
    data.PromptPart(f"p{number}", 100 + 400 * (number % 5))
    for number in range(12)
)


def _random_prompt(rng):
    first = rng.choice(PROMPT_PARTS[:3])
    shared = rng.sample(PROMPT_PARTS[3:], rng.randint(0, 3))
    own = data.PromptPart(f"own{rng.random()}", rng.randint(1, 2_000))
    return (first, *shared, own)


def _random_load(rng, context, load, number):
    for prompt in range(rng.randint(4, 24)):
        key = (number, prompt)
        want = _want(context, _random_prompt(rng))
        load = _granted(context, load, key, want)
        if rng.random() < 0.9:
            load = engine_load.mark_answer_started(load, key, context.at_ms)
            if rng.random() < 0.6:
                load = engine_load.remove_grant(load, key, context.at_ms)
    if number % 4:
        # Most engines are full, so that some requests have to wait.
        tokens = int(MAX_UNREAD_TOKENS) + 1
        want = _want(context, (data.PromptPart(f"z{number}", tokens),))
        load = _granted(context, load, (number, -1), want)
    return load


@behave.given(
    "{count:d} model engines in two data centres with random prompts and queues"
)
def random_engines(context, count):
    rng = context.rng = random.Random(count)
    context.engine = data.Engine(60_000, 1, TOKEN_BYTES, 1_000_000.0)
    names = [f"e{number}" for number in range(count)]
    _start(context, _environment(60_000, link_mbps=1_000_000.0), names)
    txn = context.txn = tables_module.Transaction(context.tables, context.at_ms)
    for number, name in enumerate(names):
        row = txn.servers[name]
        seen = dataclasses.replace(
            row.announcement, data_centre="ab"[number % 2]
        )
        load = _random_load(rng, context, row.load, number)
        tables_module.store_server(
            txn, data.evolve(row, announcement=seen, load=load)
        )
    context.names = names


@behave.when("{count:d} requests with random prompts look for an engine")
def random_requests(context, count):
    txn, rng = context.txn, context.rng
    engines = engine_choice.Engines(txn, "s", context.engine)
    context.pairs = []
    for _ in range(count):
        want = _want(context, _random_prompt(rng))
        waited_ms = rng.choice((0, 100, 300, 700))
        row = data.QueueEntry(
            driver.ROUTER.node_id, want, 1, context.at_ms - waited_ms
        )
        avoid = tuple(rng.sample(context.names, rng.randint(0, 3)))
        pick = engine_choice.choose_engine(txn, engines, row, "v1", avoid)
        found = pick and (
            pick.server.announcement.server_id,
            pick.prompt_plan,
            pick.fetch_source and pick.fetch_source.announcement.server_id,
        )
        rows = [txn.servers[name] for name in context.names]
        expected = _search(rows, want, waited_ms, avoid, context.engine)
        context.pairs.append((found, expected))


def _search(rows, want, waited_ms, avoid, engine):
    """Ranks every engine and takes the first that may run the request."""
    patience = engine_load.compute_patience(waited_ms, want)
    elsewhere, *_, source = max(
        (
            engine_load.count_fetchable_tokens(row.load, want),
            row.announcement.data_centre == driver.ROUTER.data_centre,
            -len(row.load.reservations),
            -row.key,
            row,
        )
        for row in rows
    )
    ranked = sorted(
        _placed(row, want, elsewhere, patience, engine)
        for row in rows
        if row.announcement.server_id not in avoid
    )
    size = want.prompt_tokens + want.output_tokens
    for place, (_, _, row, needed) in enumerate(ranked):
        load = row.load
        fits = not load.reservations or (
            load.unread_tokens <= MAX_UNREAD_TOKENS
            and load.used_tokens + size <= engine.memory_tokens
        )
        if fits and (
            place == 0
            or patience == 0
            or engine_load.may_take_early(
                load.unread_tokens, waited_ms, want, READ_RATE
            )
        ):
            fetches = needed.fetched_tokens and source.announcement.server_id
            return (row.announcement.server_id, needed, fetches or None)
    return None


def _placed(row, want, elsewhere, patience, engine):
    load = row.load
    own = engine_load.count_cached_tokens(load.cache, want)
    needed = engine_load.plan_prompt(want, own, elsewhere, READ_RATE)
    unread = needed.unread_tokens
    if unread == want.prompt_tokens:
        shared = want.prompt[:-1] or want.prompt
        name = f"{shared[-1].id}/{row.announcement.server_id}"
        turn = zlib.crc32(name.encode()) / 2**32
        size = sum(part.tokens for part in shared)
        unread -= engine_load.PREFERENCE_FRACTION * size * turn
    rank = (
        load.unread_tokens
        + engine_load.RUNNING_REQUEST_MS * READ_RATE * len(load.reservations)
        + (1 + engine_load.REREAD_WEIGHT * patience) * unread
        + engine_load.compute_fetch_weight(engine, READ_RATE)
        * needed.fetched_tokens
    )
    if row.announcement.data_centre != driver.ROUTER.data_centre:
        rank += server_speeds.REMOTE_MS * READ_RATE
    return (rank, row.key, row, needed)


@behave.then("each found the engine that a search over all of them finds")
def same_engine(context):
    different = [pair for pair in context.pairs if pair[0] != pair[1]]
    assert not different, different[:3]
    # Both outcomes must occur for the comparison to mean something.
    granted = sum(found is not None for found, _ in context.pairs)
    assert 0 < granted < len(context.pairs), granted
