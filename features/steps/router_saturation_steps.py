"""Steps for routers with more work than they can do."""

import asyncio
import dataclasses
import functools
import http.client
import itertools
import threading
import time
import types

import behave
import immutables

from features.steps import router_answers_steps
from features.steps import router_decisions_steps
from features.steps import router_fakes
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import router
from waxwingrack.operations import local_waits
from waxwingrack.operations import router_queues
from waxwingrack.operations import saturation
from waxwingrack.operations import shedding

TURNS = 20
TARGET_MS = 600


@behave.given('the busy shares "{samples}" of a router\'s event loop')
def observe(context, samples):
    loads = itertools.accumulate(
        map(float, samples.split()),
        saturation.add_sample,
        initial=saturation.RouterLoad(),
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
    context.router = router.Router.__new__(router.Router)
    context.router.__dict__.update(
        draining=False,
        tables=types.SimpleNamespace(drained=()),
        link=types.SimpleNamespace(alive=True),
        settings=types.SimpleNamespace(data_centre="a"),
        load=saturation.RouterLoad(saturated=True),
    )


@behave.then('it is not ready as it is "{reason}"')
def not_ready(context, reason):
    assert router.Router.not_ready_reason(context.router) == reason


@behave.then("it is ready once it has caught up")
def ready_again(context):
    context.router.load = saturation.RouterLoad()
    assert router.Router.not_ready_reason(context.router) == ""


@behave.given(
    "a router that is {state} and has {count:d} waiting requests of a workspace"
)
def waiting_requests(context, state, count):
    load = saturation.RouterLoad(saturated=state == "saturated")
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


@behave.given(
    "a router on a link of {mbps:g} Mbit/s that relays {size:d} bytes in "
    "{seconds:g} s"
)
def relays(context, mbps, size, seconds):
    context.use = saturation.compute_link_use(size, seconds, mbps)


@behave.then("its link use is {use:g}")
def link_use(context, use):
    assert abs(context.use - use) < 1e-9, context.use


@behave.given("{count:d} connections that each get an answer every 0.25 s")
def connections(context, count):
    context.connections = count


def _find_saturated(checks):
    return functools.reduce(
        lambda state, _: shedding.note_check(state, True),
        range(checks),
        shedding.Shedding(),
    )


@behave.when(
    "a router has a use of {use:g} for {seconds:g} s and was found saturated "
    "by {checks:d} readiness checks"
)
def has_use(context, use, seconds, checks):
    state, context.closed = _find_saturated(checks), 0
    for _ in range(int(seconds / 0.25)):
        left = context.connections - context.closed
        state = shedding.add_credit(state, use, left, 0.25)
        for _ in range(left):
            state, is_closed = shedding.take_connection(state)
            context.closed += is_closed


@behave.then("it has closed from {least:d} to {most:d} connections")
def has_closed(context, least, most):
    assert least <= context.closed <= most, context.closed


@behave.given(
    "a router that was found saturated by {checks:d} readiness checks"
)
def found_saturated(context, checks):
    context.shedding = _find_saturated(checks)


@behave.when("a readiness check finds that it has caught up")
def found_ready(context):
    context.shedding = shedding.note_check(context.shedding, False)


@behave.then("it closes no connection at a use of {use:g}")
def closes_none(context, use):
    state = shedding.add_credit(context.shedding, use, 100, 1.0)
    assert not shedding.take_connection(state)[1]


class _KeptCaller:
    """Caller that sends one request after the other on one connection."""

    def __init__(self, world):
        self._world = world
        self.replies = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        conn = http.client.HTTPConnection("127.0.0.1", self._world.router.port)
        while not self._stopped.is_set():
            reply = self._world.send(
                "POST", "/sketch/a?do=ok", body=b"x" * 20_000, conn=conn
            )
            self.replies.append(reply)
            if reply.error or reply.headers.get("connection") == "close":
                break
        conn.close()

    @property
    def closed(self):
        """Whether the router has closed the connection after an answer."""
        return self.replies and "connection" in self.replies[-1].headers

    def stop(self):
        self._stopped.set()
        self._thread.join()


@behave.given(
    "a router on a link of {mbps:g} Mbit/s with {count:d} callers that keep "
    "their connections"
)
def kept_connections(context, mbps, count):
    world = router_answers_steps.start_world(context, 1, link_mbps=mbps)
    context.callers = [_KeptCaller(world) for _ in range(count)]
    for caller in context.callers:
        context.add_cleanup(caller.stop)


@behave.when("the router has become saturated")
def has_become_saturated(context):
    world = context.world
    world.wait_for(
        lambda: any(
            line["event"] == "saturated" for line in world.router.log()
        ),
        "a saturated router",
    )


def _check_readiness(context):
    return router_fakes.send(
        context.world.router.operators_port, "GET", "/readyz", token=None
    )


@behave.then("no caller's connection is closed before two readiness checks")
def none_closed(context):
    _check_readiness(context)
    time.sleep(0.5)
    assert not any(caller.closed for caller in context.callers)


@behave.then(
    "after two readiness checks callers' connections are closed, each after a "
    "whole answer"
)
def some_closed(context):
    context.reply = _check_readiness(context)
    context.world.wait_for(
        lambda: any(caller.closed for caller in context.callers),
        "a closed connection",
    )
    for caller in context.callers:
        caller.stop()
        assert all(reply.whole for reply in caller.replies), caller.replies
        assert {reply.status for reply in caller.replies} == {200}


@behave.then('a refused readiness check names "{reason}"')
def check_names(context, reason):
    assert context.reply.status == 503, context.reply
    assert reason.encode() in context.reply.body, context.reply


def _fill_queues(waiting):
    sequences = itertools.count()
    queues = router_queues.Queues()
    for part in waiting.split(", "):
        workspace, count = part.split()
        for _ in range(int(count)):
            want = router_decisions_steps.make_want(next(sequences))
            queues = router_queues.enqueue(
                queues,
                dataclasses.replace(want, workspace=workspace),
                1000,
                10_000,
            ).unwrap()
    return queues


@behave.given(
    'a {state} router with the waiting requests "{waiting}" and {rate:d} '
    "grants a second"
)
def router_with_waiting(context, state, waiting, rate):
    context.router = types.SimpleNamespace(
        load=saturation.RouterLoad(saturated=state != "not saturated"),
        _shedding=_find_saturated(1 if state == "in rotation" else 2),
        dispatcher=types.SimpleNamespace(queues=_fill_queues(waiting)),
        _grant_rate=local_waits.GrantRate(float(rate)),
    )


@behave.when(
    'a request of "{workspace}" with a latency target of {target:d} ms arrives'
)
def request_arrives(context, workspace, target):
    _admit(context, workspace, target, 0.0)


@behave.when(
    'a request of "{workspace}" with a latency target of {target:d} ms arrives '
    "that waited {waited:d} ms"
)
def waited_request_arrives(context, workspace, target, waited):
    _admit(context, workspace, target, float(waited))


def _admit(context, workspace, target, waited_ms):
    wait_ms = router.Router.find_local_wait(
        context.router, workspace, target, waited_ms
    )
    context.result = (
        "admitted"
        if wait_ms is None
        else f"refused with {wait_ms:.0f} ms to wait"
    )


@behave.then("the saturated router's answer is: {result}")
def is_result(context, result):
    assert context.result == result, context.result


@behave.given(
    "callers that ask another router after {delay:d} ms if they are refused"
)
def callers_ask_another(context, delay):
    context.delay_ms = delay


@behave.when(
    "{load:d} requests a second arrive for 5 s at a router that serves "
    "{served:d} a second and {policy}"
)
def play_load(context, load, served, policy):
    rate = local_waits.GrantRate(float(served))
    waiting, in_time, arrived, due = 0.0, 0, 0, 0.0
    for _ in range(5_000):
        waiting = max(0.0, waiting - served / 1000)
        due += load / 1000
        while due >= 1:
            due, arrived = due - 1, arrived + 1
            queues = router_queues.Queues(
                counts=immutables.Map({"w": int(waiting)})
            )
            wait_ms = local_waits.estimate_wait_ms(queues, "w", rate)
            if policy == "refuses long waits" and local_waits.is_wait_too_long(
                wait_ms, TARGET_MS
            ):
                in_time += context.delay_ms <= TARGET_MS
            else:
                in_time += wait_ms <= TARGET_MS
                waiting += 1
    context.share = in_time / arrived


@behave.then(
    "the share of callers that were served in time is from {least:g} to "
    "{most:g}"
)
def share_in_time(context, least, most):
    assert least <= context.share <= most, context.share
