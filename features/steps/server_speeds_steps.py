"""Steps for the speeds of backend servers, without a network."""

import dataclasses

import behave
import immutables
from twisted.web import http_headers

from features.steps import engine_placement_steps
from features.steps import overload_steps
from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.operations import forecast
from waxwingrack.operations import server_speeds
from waxwingrack.operations import tables as tables_module
from waxwingrack.platform import headers

# Tokens that an engine of the speed 1 reads in a millisecond.
RATE = 50
SERVER = ("b1", "i1")


class _Engine(overload_steps._Engine):
    """Model engine with a speed of its own."""

    def __init__(self, speed):
        super().__init__()
        self.speed = speed

    def read(self, now_ms, tokens, rate):
        return super().read(now_ms, tokens, rate * self.speed)


def _change_row(context, server_id, **changes):
    txn = tables_module.Transaction(context.tables, context.at_ms)
    row = data.evolve(txn.servers[server_id], **changes)
    tables_module.store_server(txn, row)
    context.tables = txn.commit()


@behave.then(
    'the platform\'s load "{text}" has the slowness {slowness} and is {verdict}'
)
def check_load(_, text, slowness, verdict):
    received = http_headers.Headers({"Server-Load": [text]})
    load = headers.PlatformDialect().read_notice(200, received).load
    assert str(load.slowness) == slowness, load
    assert bool(load.invalid) == (verdict == "invalid"), load


@behave.when('answers state the slowness "{stated}" at "{times}" ms')
def state_slowness(context, stated, times):
    told, context.reported = immutables.Map(), []
    for value, at_ms in zip(stated.split(), times.split(), strict=True):
        load = data.ServerLoad(slowness=float(value))
        told, reports, _ = server_speeds.note_load(
            told, SERVER, load, 1_000 + int(at_ms)
        )
        context.reported += [at_ms] if reports else []


@behave.then('it is reported at "{times}" ms')
@behave.then('it is reported at "" ms')
def check_reported(context, times=""):
    assert context.reported == times.split(), context.reported


@behave.then("a slowness of {stated:g} counts as {counted:g} after {age:d} ms")
@behave.then("a slowness of {stated} counts as {counted:g} after {age:d} ms")
def check_slowness(_, stated, counted, age):
    slowness = server_speeds.bound_slowness(float(stated))
    speed = data.ServerSpeed(slowness=slowness, slowness_ms=1_000)
    found = server_speeds.get_slowness(speed, 1_000 + age)
    assert abs(found - counted) < 1e-9, found


@behave.given('engines of the speeds "{speeds}" with "{slots}" slots')
def start_engines(context, speeds, slots):
    speeds = [float(speed) for speed in speeds.split()]
    overload_steps.start_engines(context, len(speeds), RATE)
    context.engines = {
        name: _Engine(speed)
        for name, speed in zip(context.engines, speeds, strict=True)
    }
    driver.set_service_options(context, learn_speeds=True)
    context.slots = dict(
        zip(context.engines, map(int, slots.split()), strict=True)
    )
    driver.send_report(
        context,
        announcements=tuple(
            dataclasses.replace(
                context.tables.servers[name].announcement, slots=count
            )
            for name, count in context.slots.items()
        ),
    )


@behave.when(
    "the engine e0 begins {count:d} answers after {first_byte} ms each"
)
def begin_answers(context, count, first_byte):
    for _ in range(count):
        want = engine_placement_steps._want(
            context, engine_placement_steps._parts("a:9000")
        )
        key = (1, 1_000 + context.sequence)
        txn = tables_module.Transaction(context.tables, context.at_ms)
        load = engine_placement_steps._granted(
            context, data.EngineLoad(), key, want
        )
        row = txn.servers["e0"]
        speed = forecast.record_read_rate(
            txn,
            row,
            load.reservations[key],
            True,
            float(first_byte),
        )
        tables_module.store_server(txn, data.evolve(row, speed=speed))
        context.tables = txn.commit()
        context.at_ms += 10


@behave.then("all reading rates are from {lowest:g} to {highest:g}")
def check_rates(context, lowest, highest):
    txn = tables_module.Transaction(context.tables, context.at_ms)
    rates = [
        forecast.get_read_rate(txn, "s"),
        *(
            forecast.get_engine_read_rate(txn, row)
            for row in tables_module.iter_usable_servers(txn, "s")
        ),
    ]
    assert all(lowest <= rate <= highest for rate in rates), rates


@behave.then(
    "each reading rate is within {percent:d} in 100 of that of its engine"
)
def check_learned_rates(context, percent):
    txn = tables_module.Transaction(context.tables, context.at_ms)
    for name, engine in context.engines.items():
        rate = forecast.get_engine_read_rate(txn, txn.servers[name])
        actual = RATE * engine.speed
        assert abs(rate - actual) <= percent / 100 * actual, (name, rate)


@behave.then("the answers are above {share:g} of what is possible")
def check_possible(context, share):
    stream = context.streams[0]
    possible = 0.0
    for name, engine in context.engines.items():
        read_ms = stream.tokens / (RATE * engine.speed)
        in_slots = context.slots[name] / (read_ms + context.output_ms)
        possible += context.simulated_ms * min(1 / read_ms, in_slots)
    begun = sum(at_ms <= context.at_ms for at_ms in context.begun.values())
    assert begun > share * possible, (begun, possible, begun / possible)


@behave.given(
    "the servers near and far with 6 slots, of which {near:d} and {far:d} are"
    " used"
)
def start_servers(context, near, far):
    driver.create_scheduler(context, 100_000)
    driver.set_service_options(context, learn_speeds=True)
    places = {"near": driver.ROUTER.data_centre, "far": "elsewhere"}
    driver.send_report(
        context,
        first=True,
        announcements=tuple(
            driver.create_announcement(name, slots=6, data_centre=place)
            for name, place in places.items()
        ),
    )
    for name, used in (("near", near), ("far", far)):
        _change_row(
            context,
            name,
            slot_limit=data.SlotLimit(6, 6),
            grants=immutables.Map({(0, n): None for n in range(used)}),
        )


@behave.given("near stated the slowness {slowness} {age:d} ms ago")
def record_slowness(context, slowness, age):
    context.at_ms -= age
    notice = data.ServerNotice("near", "i", slowness=float(slowness))
    driver.send_report(context, notices=(notice,))
    context.at_ms += age


@behave.given("requests at near took {factor:g} times as long as at far")
def record_times(context, factor):
    for number in range(400):
        name = ("near", "far")[number % 2]
        driver.send_report(
            context,
            wants=(driver.create_request(10_000 + number),),
        )
        _complete(context, name, 50.0 * (factor if name == "near" else 1.0))


def _complete(context, name, duration_ms):
    """Grants the waiting request to a server and completes it."""
    full = {
        other: context.tables.servers[other].slot_limit
        for other in ("near", "far")
    }
    for other in full:
        _change_row(
            context,
            other,
            slot_limit=data.SlotLimit(100 if other == name else 0, 100),
        )
    (decision,) = driver.run_tick(context).grants
    driver.send_report(
        context,
        finished=(
            data.FinishedRequest(
                decision.grant.term,
                decision.grant.id,
                data.Outcome.COMPLETED,
                duration_ms,
                duration_ms,
                1.0,
            ),
        ),
    )
    for other, limit in full.items():
        _change_row(context, other, slot_limit=limit)


@behave.then("a request of the data centre of near gets {server}")
def check_server(context, server):
    wait(context, 1)
    assert context.granted == [server], context.granted


@behave.when("{count:d} requests of the data centre of near wait")
def wait(context, count):
    driver.send_report(
        context,
        wants=tuple(driver.create_request(n + 1) for n in range(count)),
    )
    grants = driver.run_tick(context).grants
    context.granted = [item.grant.server_id for item in grants]


@behave.then("near and far get at least {count:d} each")
def check_both(context, count):
    for name in ("near", "far"):
        assert context.granted.count(name) >= count, context.granted
