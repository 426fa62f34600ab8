"""Steps of the fault matrix for answers that have begun."""

from concurrent import futures
import json
import re
import threading

import behave

from features.support import faults
from features.support import fleet
from features.support import fleet_watch

ROUTER = "r1"
ENGINES = ("sketch-1", "sketch-2")
# Tokens of a stream that lasts at least three seconds.
TOKENS = 1_500
# Share of the events after which the step `streaming` begins.
STREAMING = 0.2
# Least bytes of an event.
EVENT_BYTES = 80
WAIT_S = 20.0
# A frozen server must not make the caller give up.
PAUSE_S = 15.0
_WORD = re.compile(r"^(\w{8})-(\d+) $")


def _counts(cluster, name):
    port = cluster.members[name].ports["requests"]
    answer = fleet.request(port, "GET", "/-/runs", timeout_s=3)
    if not answer.whole:
        raise ConnectionError(name)
    return json.loads(answer.body)


def _served(cluster):
    return {name: _counts(cluster, name)["served"] for name in ENGINES}


@behave.when('the fault "{fault}" strikes a matrix stream at step {step}')
def strike_stream(context, fault, step):
    cluster = context.fleet
    cluster.last_leader = fleet.wait_until(cluster.leader, WAIT_S, "a leader")
    context.number = cluster.status()["number"]
    # A server that was killed in the cell before may still be starting.
    before = fleet.wait_until(lambda: _served(cluster), WAIT_S, "engines")
    sent = {name: _counts(cluster, name)["streamed_bytes"] for name in ENGINES}
    started = threading.Event()
    with futures.ThreadPoolExecutor(1) as pool:
        stream = pool.submit(
            fleet_watch.stream,
            cluster,
            ROUTER,
            TOKENS,
            started=started,
            timeout_s=PAUSE_S,
        )
        assert started.wait(WAIT_S), stream.result()
        now = _served(cluster)
        (server,) = [name for name in ENGINES if now[name] > before[name]]
        if step == "streaming":
            fleet.wait_until(
                lambda: (
                    _counts(cluster, server)["streamed_bytes"] - sent[server]
                    > STREAMING * TOKENS * EVENT_BYTES
                ),
                WAIT_S,
                "a part of the stream",
            )
        assert not stream.done(), "the stream has ended before the fault"
        wait_for_repair = faults.strike(fault, cluster, ROUTER, server)
        try:
            context.stream = stream.result()
        finally:
            wait_for_repair()
            faults.restore(cluster)


@behave.then("the matrix stream is {end} and its words come from one run")
def one_run(context, end):
    answer = context.stream
    assert answer.status == 200, answer
    lines = answer.body.decode().split("\n\n")
    # The last line of a broken stream may be cut.
    events = [line.removeprefix("data: ") for line in lines[:-1]]
    done = events[-1:] == ["[DONE]"]
    assert (answer.whole and done) == (end == "whole"), (answer.whole, done)
    assert answer.whole or end == "broken", answer.seconds
    if end == "broken":
        assert not answer.whole and not done, "a shortened stream looks whole"
    words = [
        _WORD.match(choice["delta"]["content"])
        for event in events
        if event != "[DONE]"
        for choice in json.loads(event)["choices"]
    ]
    assert all(words), events[-3:]
    numbers = [int(word[2]) for word in words]
    assert numbers == list(range(len(numbers))), numbers[-3:]
    assert len({word[1] for word in words}) <= 1, words[:1]
    assert end == "broken" or len(numbers) == TOKENS, len(numbers)
