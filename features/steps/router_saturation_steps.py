"""Steps for routers with more work than processor time."""

import asyncio
import itertools
import time
import types

import behave

from features.steps import router_decisions_steps
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import router
from waxwingrack.operations import router_queues
from waxwingrack.operations import saturation

TURNS = 20


@behave.given('the busy shares "{samples}" of a router\'s event loop')
def observe(context, samples):
    loads = itertools.accumulate(
        map(float, samples.split()),
        saturation.add_sample,
        initial=saturation.LoopLoad(),
    )
    context.states = [load.saturated for load in loads][1:]


@behave.then('the router was saturated after each sample as in "{states}"')
def observed(context, states):
    expected = [state == "S" for state in states.split()]
    assert context.states == expected, context.states


@behave.given(
    "an event loop with {selector} that works for {work_ms:d} ms and waits for "
    "{wait_ms:d} ms in turn"
)
def run_loop(context, selector, work_ms, wait_ms):
    async def turns():
        for _ in range(TURNS):
            until_s = time.monotonic() + work_ms / 1000
            while time.monotonic() < until_s:
                pass
            await asyncio.sleep(wait_ms / 1000)

    measured = event_loop.TimingSelector()
    context.add_cleanup(measured.close)
    loop = asyncio.SelectorEventLoop(
        measured if selector == "the meter" else None
    )
    context.add_cleanup(loop.close)
    meter = event_loop.BusyMeter(measured)
    loop.run_until_complete(turns())
    context.busy = meter.read()


@behave.then("its busy share is from {least:f} to {most:f}")
def busy_share(context, least, most):
    assert least <= context.busy <= most, context.busy


@behave.given("a running router that is saturated")
def saturated_router(context):
    context.router = types.SimpleNamespace(
        draining=False,
        tables=types.SimpleNamespace(drained=()),
        link=types.SimpleNamespace(alive=True),
        settings=types.SimpleNamespace(data_centre="a"),
        loop_load=saturation.LoopLoad(saturated=True),
    )


@behave.then('it is not ready as it is "{reason}"')
def not_ready(context, reason):
    assert router.Router.not_ready_reason(context.router) == reason


@behave.then("it is ready once it has caught up")
def ready_again(context):
    context.router.loop_load = saturation.LoopLoad()
    assert router.Router.not_ready_reason(context.router) == ""


@behave.given(
    "a router that is {state} and has {count:d} waiting requests of a workspace"
)
def waiting_requests(context, state, count):
    load = saturation.LoopLoad(saturated=state == "saturated")
    dispatcher = dispatch.Dispatcher(lambda: 0, lambda urgent: None)
    for sequence in range(count):
        dispatcher.queues = router_queues.enqueue(
            dispatcher.queues,
            router_decisions_steps.make_want(sequence),
            1000,
            count,
        ).unwrap()
    context.report = dispatcher.take_report(
        False, 1, False, load.max_reported_requests
    )


@behave.then("its report has {count:d} wants")
def report_has(context, count):
    assert len(context.report.wants) == count, len(context.report.wants)
