"""Steps for the sharing of a service under contention, without a network."""

import asyncio
import math

import behave

from features.steps import contention_simulation as simulation
from waxwingrack.core import data
from waxwingrack.daemons import dispatch
from waxwingrack.operations import contention
from waxwingrack.operations import forecast_errors
from waxwingrack.operations import size_classes

SEED = 20261206
NOW_MS = 100_000


@behave.given(
    'a service that does {rate:g} a millisecond and the demands "{demands}"'
)
def start_service(context, rate, demands):
    pairs = [part.split("=") for part in demands.split()]
    values = {name: value.partition(":") for name, value in pairs}
    weights = {name: float(row[2] or 1) for name, row in values.items()}
    load = contention.ServiceLoad()
    # The demand has had ten times the time constant to settle.
    for at_ms in range(0, NOW_MS, 100):
        arrivals = [(x, 100 * float(row[0])) for x, row in values.items()]
        load = contention.add_arrivals(load, arrivals, at_ms)
    # Between two steps the mean is that of the arrivals.
    at_ms = NOW_MS - 50
    context.shares = contention.Shares(load, {}, weights, rate, at_ms)


@behave.then('the level is {level:g} and "{over}" are over their share')
@behave.then('the level is {level:g} and "" are over their share')
def check_level(context, level, over=""):
    found = context.shares.level
    assert math.isclose(found, level, rel_tol=0.01, abs_tol=0.01), found
    assert context.shares.list_over() == set(over.split())


@behave.then("the queue of a is served at {rate:g}")
def check_rate(context, rate):
    found = context.shares.get_rate("a")
    assert math.isclose(found, rate, rel_tol=0.01, abs_tol=0.01), found


def _refuse(load, digest, left_ms=15_000, rate=1.0, earliest_ms=0.0):
    work = contention.RefusedWork("w", digest, 100, left_ms, earliest_ms, rate)
    return contention.schedule_return(load, work, NOW_MS)


@behave.when(
    "{count:d} callers with {left:d} ms left are refused, each with work of 100"
    " at {rate:g} a millisecond"
)
def refuse_callers(context, count, left, rate):
    load, context.told = contention.ServiceLoad(), []
    for number in range(count):
        load, retry_ms = _refuse(load, str(number), left, rate)
        context.told.append(retry_ms)


@behave.then("they are told from {first:d} to {last:d} ms")
def check_told(context, first, last):
    found = (min(context.told), max(context.told))
    assert found == (first, last), found


@behave.then("at most {bunch:d} of them come back within 50 ms")
def check_bunch(context, bunch):
    told = context.told
    found = max(sum(at <= x < at + 50 for x in told) for at in told)
    assert found <= bunch, found


@behave.when(
    "a caller that was told 1000 ms sends the {what} request again after"
    " {after:d} ms"
)
def come_back(context, what, after):
    load, retry_ms = _refuse(
        contention.ServiceLoad(), "same", earliest_ms=1_000.0
    )
    assert retry_ms == 1_000, retry_ms
    load, context.found = contention.take_return(
        load, "w", what, NOW_MS + after
    )
    context.room = contention.sum_room(
        load.workspaces["w"], NOW_MS + after, NOW_MS + 10_000
    )


@behave.then("it is {seen}, and room is kept for {room:g} more")
def check_seen(context, seen, room):
    assert (context.found is not None) == (seen == "recognised"), context.found
    assert context.room == room, context.room


@behave.when("{count:d} callers are refused and do not come back")
def lose_callers(context, count):
    context.load = contention.ServiceLoad()
    for number in range(count):
        context.load, _ = _refuse(context.load, str(number))


@behave.then(
    "at most {count:d} returns are remembered, and none of them 20 s later"
)
def check_bound(context, count):
    assert len(context.load.returns) <= count, len(context.load.returns)
    load = contention.remove_expired(context.load, NOW_MS + 20_000)
    assert not load.returns, len(load.returns)
    assert not load.workspaces, load.workspaces
    assert 0 <= load.return_ratio < 0.01, load.return_ratio


@behave.when(
    "{count:d} answers come {error:g} of their target later than expected"
)
def observe_errors(context, count, error):
    context.errors = forecast_errors.ForecastErrors()
    for _ in range(count):
        context.errors = forecast_errors.observe(
            context.errors, 600.0, 600.0 + error * 1_000, 1_000
        )


@behave.then("the reserve is {reserve:g} of the target")
def check_reserve(context, reserve):
    found = context.errors.reserve
    assert math.isclose(found, reserve), found


@behave.then(
    "a request that has waited {passed:g} ms of 1000 has {slack:g} ms left"
)
def check_slack(context, passed, slack):
    found = forecast_errors.compute_slack_ms(context.errors, 1_000, passed, 0)
    assert math.isclose(found, slack, abs_tol=1e-6), found


@behave.given(
    "a kind of which {kind:d} in 100 and of its largest tenth {large:d} in 100"
    " are refused"
)
def start_kind(context, kind, large):
    context.kind = size_classes.Kind((700.0, 900.0))
    # The other nine tenths are refused so often that the whole is as stated.
    small = (kind - large / 10) / 0.9
    owed = {500: 0.0, 1_000: 0.0}
    for number in range(2_000):
        size = 500 if number % 10 else 1_000
        owed[size] += (small if number % 10 else large) / 100
        refused = owed[size] >= 1
        owed[size] -= refused
        context.kind = size_classes.add_decision(context.kind, size, refused)


@behave.then("the next large request {kept} kept")
def check_kept(context, kept):
    found = size_classes.must_be_kept(context.kind, 1_000)
    assert found == (kept == "is"), context.kind


@behave.when(
    "{workspaces:d} workspaces, {loud:d} of them loud, send for {seconds:d} s"
    " and the leader changes after {change:d} ms"
)
def run_play(context, workspaces, loud, seconds, change):
    print(f"seed {SEED}")
    context.play = simulation.Play(SEED, workspaces, loud)
    context.play.run(seconds, change)
    context.ended = context.play.list_ended()
    context.served = _get_share(context.ended, lambda x: x.begun_ms)


def _get_share(callers, test):
    return 100 * sum(bool(test(caller)) for caller in callers) / len(callers)


@behave.then("at most {percent:d} in 100 of the others are refused")
def check_quiet(context, percent):
    quiet = [caller for caller in context.ended if caller.is_quiet]
    share = _get_share(quiet, lambda caller: caller.refused)
    assert share <= percent, share


@behave.then("at most {percent:d} in 100 of the answers are late")
def check_late(context, percent):
    served = [caller for caller in context.ended if caller.begun_ms]
    share = _get_share(served, simulation.Caller.is_late)
    assert share <= percent, share


@behave.then("at least {percent:d} in 100 of those refused are served later")
def check_returns(context, percent):
    # Those that are told to come back after the end do not count.
    end_ms = context.play.at_ms - 4_000
    back = [x for x in context.ended if x.refused and x.sent_ms < end_ms]
    share = _get_share(back, lambda caller: caller.begun_ms)
    assert share >= percent, (share, len(back))


@behave.then("every size is served at least half as often as all")
def check_sizes(context):
    for size in set(simulation.SIZES):
        own = [caller for caller in context.ended if caller.tokens == size]
        share = _get_share(own, lambda caller: caller.begun_ms)
        assert share >= context.served / 2, (size, share, context.served)


@behave.then("the engines read for at least {percent:d} in 100 of the burst")
def check_busy(context, percent):
    begin_ms, end_ms = (x + context.play.start_ms for x in simulation.BURST_MS)
    read = [x.tokens for x in context.ended if begin_ms <= x.begun_ms < end_ms]
    share = 100 * sum(read) / sum(simulation.SPEEDS) / (end_ms - begin_ms)
    assert share >= percent, share


@behave.when("a request that arrived {passed:d} ms ago waits {waited:d} ms")
def wait_for_report(context, passed, waited):
    clock = iter((NOW_MS, NOW_MS, NOW_MS + waited))
    request = data.QueuedRequest(
        0, "w", "s", "r", target_ms=1, passed_ms=passed
    )

    async def report():
        dispatcher = dispatch.Dispatcher(lambda: next(clock), lambda _: None)
        dispatcher.queue_request(request, NOW_MS + 1_000, 10)
        return dispatcher.take_report(False, 1, False)

    context.report = asyncio.run(report())


@behave.then("its report says that {passed:d} ms have passed")
def check_passed(context, passed):
    (request,) = context.report.wants
    assert request.passed_ms == passed, request
