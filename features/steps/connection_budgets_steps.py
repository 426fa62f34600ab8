"""Steps for the decisions about what one connection may cost."""

import asyncio
import collections
import itertools
import time

import behave

from waxwingrack.daemons import event_loop
from waxwingrack.operations import connection_budgets


@behave.then(
    "the budget of a body of {parts:d} chunks with {size:d} bytes beside "
    "{waiting:d} costly connections says {verdict}"
)
def judge_body(_, parts, size, waiting, verdict):
    use = connection_budgets.BodyUse(parts, size)
    found = connection_budgets.judge_body(use, waiting)
    assert found == verdict, found


@behave.then(
    "the budget of {count:d} waiting requests with a limit of {limit:d} says "
    "{verdict}"
)
def judge_pipeline(_, count, limit, verdict):
    received = b"GET /sketch/a HTTP/1.1\r\nHost: x\r\n\r\n" * count
    found = connection_budgets.judge_pipeline(received, limit)
    assert found == verdict, found


@behave.then("the waits for unread answers are {waits} seconds")
def waits_for_unread(_, waits):
    expected = [float(wait) for wait in waits.split(",")]
    found = itertools.accumulate(
        expected,
        lambda last, _: connection_budgets.next_unread_check_s(last),
        initial=0.0,
    )
    assert [*found][1:] == expected, expected


@behave.given(
    "{owners:d} owners of costly steps of {step_ms:d} milliseconds on an event "
    "loop"
)
def costly_owners(context, owners, step_ms):
    context.loop = asyncio.SelectorEventLoop(event_loop.TimingSelector())
    context.add_cleanup(context.loop.close)
    reactor = event_loop._Reactor(context.loop)
    context.steps = collections.Counter()
    context.costly_s = 0.0

    def step(owner):
        start_s = context.loop.time()
        time.sleep(step_ms / 1000)
        context.steps[owner] += 1
        reactor.do_costly(owner, lambda: step(owner))
        context.costly_s += context.loop.time() - start_s

    for owner in range(owners):
        reactor.do_costly(owner, lambda owner=owner: step(owner))


@behave.when("the loop runs for {seconds:g} seconds")
def run_loop(context, seconds):
    start_s = context.loop.time()
    context.loop.run_until_complete(asyncio.sleep(seconds))
    context.elapsed_s = context.loop.time() - start_s


@behave.then(
    "the loop did costly work for at most half of the time and for each owner "
    "in turn"
)
def check_share(context):
    assert 0 < context.costly_s <= 0.5 * context.elapsed_s, (
        context.costly_s,
        context.elapsed_s,
    )
    counts = context.steps.values()
    assert max(counts) - min(counts) <= 1, context.steps
