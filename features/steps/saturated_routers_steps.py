"""Steps for routers that are the bottleneck of a fleet."""

import collections
import functools
import itertools
import random
import threading

import behave

from features.steps import router_answers_steps
from features.support import fleet
from waxwingrack.daemons import clocks
from waxwingrack.operations import link_pacing
from waxwingrack.operations import local_waits
from waxwingrack.operations import saturation
from waxwingrack.operations import shedding

STEP_S = saturation.SAMPLE_S
TARGET_MS = 600
LINK_BYTES_PER_S = 10e6 / 8
# Bytes of one connection that its sender has on the way at most.
WINDOW_BYTES = 65_536


@behave.given("a router that uses {used:g} of {capacity:g} of its {resource:w}")
def uses(context, used, capacity, resource):
    compute = {"memory": saturation.compute_memory_use}
    use = compute.get(resource, saturation.compute_use)(used, capacity)
    context.use = saturation.ResourceUse(**{resource: use})


@behave.then("its use is {use:g} and the busiest resource is {name:w}")
def has_use(context, use, name):
    assert abs(context.use.highest - use) < 0.01, context.use
    assert context.use.busiest == name, context.use


@behave.given(
    "a router that was saturated {times:d} times with {calm:d} calm samples "
    "between"
)
def was_saturated(context, times, calm):
    period = [1.0, 1.0, *[0.1] * (saturation.MAX_SAMPLES_TO_RECOVER + calm)]
    samples = [*(period * (times - 1)), 1.0, 1.0]
    context.load = functools.reduce(
        saturation.add_sample, samples, saturation.RouterLoad()
    )


@behave.then("it needs {samples:d} samples below the recovered use")
def needs(context, samples):
    assert context.load.saturated
    loads = list(
        itertools.accumulate(
            [0.1] * samples, saturation.add_sample, initial=context.load
        )
    )
    assert loads[-2].saturated and not loads[-1].saturated, loads


@behave.given(
    'a router that was found saturated and gets "{arrivals}" new connections '
    "each second"
)
def gets_connections(context, arrivals):
    state = shedding.Shedding(failed_checks=shedding.CHECKS_TO_REROUTE)
    for count in map(int, arrivals.split()):
        for part in range(4):
            state = shedding.note_arrivals(state, count * (part == 1), STEP_S)
    context.shedding = state


@behave.then("it takes itself as alone: {alone}")
def is_alone(context, alone):
    assert context.shedding.is_alone == (alone == "yes"), context.shedding


@behave.then("it closes connections: {closes}")
def closes(context, closes):
    state = shedding.add_credit(context.shedding, 1.0, 100, 1.0)
    assert shedding.take_connection(state)[1] == (closes == "yes")


@behave.then(
    "of its requests with a target of {target:d} ms it admits those that wait "
    "{wait:d} ms"
)
def admits(context, target, wait):
    refused = [
        local_waits.is_wait_too_long(ms, target, context.shedding.is_alone)
        for ms in (wait, wait + 1)
    ]
    assert refused == [False, True], refused


@behave.given(
    "a router that got grants at {rate:d} a second while requests waited"
)
def got_grants(context, rate):
    context.rate = local_waits.GrantRate(float(rate))


@behave.when(
    "it gets {grants:d} grants a second for 5 s and requests wait: {waiting}"
)
def gets_grants(context, grants, waiting):
    for _ in range(20):
        context.rate = local_waits.add_sample(
            context.rate, grants * STEP_S, STEP_S, waiting == "yes"
        )


@behave.then("its rate of grants is from {least:d} to {most:d} a second")
def rate_of_grants(context, least, most):
    assert least <= context.rate.per_s <= most, context.rate


class _Router:
    """A played router that serves `size` requests a second at most."""

    def __init__(self, size):
        self.size = size
        self.load = saturation.RouterLoad()
        self.shedding = shedding.Shedding()
        self.in_rotation = True
        self.left_s = None
        self.queued = self.demand = self.arrivals = 0.0
        self.active = set()

    def take(self, caller):
        """Returns whether a request is served in time, refused or late."""
        self.demand += 1
        wait_ms = 1000 * self.queued / self.size
        is_moving = self.load.saturated and self.shedding.is_rerouted
        if is_moving and local_waits.is_wait_too_long(
            wait_ms, TARGET_MS, self.shedding.is_alone
        ):
            return "refused"
        self.queued += 1
        self.active.add(caller)
        return "served" if wait_ms <= TARGET_MS else "late"

    def sample(self, now_s):
        """Ends a sample of the load."""
        use = saturation.compute_use(
            min(self.queued, self.size * STEP_S), self.size * STEP_S
        )
        self.queued = max(0.0, self.queued - self.size * STEP_S)
        self.load = saturation.add_sample(self.load, use)
        self.shedding = shedding.add_credit(
            shedding.note_arrivals(self.shedding, self.arrivals, STEP_S),
            use,
            len(self.active),
            STEP_S,
        )
        self.arrivals = 0
        self.active.clear()
        if self.load.saturated and self.left_s is None:
            self.left_s = now_s

    def check(self):
        """Applies a readiness check of the load balancer."""
        self.shedding = shedding.note_check(self.shedding, self.load.saturated)
        self.in_rotation = not self.shedding.is_rerouted


@behave.given('routers that serve "{sizes}" requests a second')
def routers_of(context, sizes):
    context.routers = [_Router(float(size)) for size in sizes.split()]


@behave.when('requests reach them at "{loads}" a second for {seconds:d} s')
def requests_reach(context, loads, seconds):
    """Each caller sends a request a second on a connection that it keeps."""
    routers, rng = context.routers, random.Random(2026)
    homes = [
        router
        for router, load in zip(routers, map(int, loads.split()), strict=True)
        for _ in range(load)
    ]
    conns = dict.fromkeys(range(len(homes)))
    phases = [rng.randrange(4) for _ in homes]
    ends = collections.Counter()

    def connect(caller):
        # A load balancer without a ready router uses all of them.
        ready = [r for r in routers if r.in_rotation] or routers
        home = homes[caller]
        conns[caller] = home if home in ready else rng.choice(ready)
        conns[caller].arrivals += 1

    def ask(caller):
        """Sends a request, again where it is refused, at most three times."""
        for _ in range(3):
            if conns[caller] is None:
                connect(caller)
            router = conns[caller]
            end = router.take(caller)
            if end != "refused":
                router.shedding, closes = shedding.take_connection(
                    router.shedding
                )
                conns[caller] = None if closes else router
                break
            conns[caller] = None
        ends[end] += 1

    for sample in range(int(seconds / STEP_S)):
        callers = [c for c, phase in enumerate(phases) if phase == sample % 4]
        rng.shuffle(callers)
        for caller in callers:
            ask(caller)
        for router in routers:
            router.sample(sample * STEP_S)
            if sample % 4 == 3:
                router.check()
    context.ends = ends


@behave.then("the share that is served in time is at least {least:g}")
def share_in_time(context, least):
    share = context.ends["served"] / sum(context.ends.values())
    assert share >= least, context.ends


@behave.then("the share that is served at all is at least {least:g}")
def share_served(context, least):
    refused = context.ends["refused"] / sum(context.ends.values())
    assert 1.0 - refused >= least, context.ends


@behave.then("the router that left the rotation first is {number}")
def left_first(context, number):
    left = [
        (router.left_s, str(index + 1))
        for index, router in enumerate(context.routers)
        if router.left_s is not None
    ]
    first = min(left, default=(0, "none"))[1]
    assert number in (first, "any"), left


@behave.given(
    "a link of 10 Mbit/s with {streams:d} streams that are read {how}"
)
def link_with_streams(context, streams, how):
    context.streams, context.paced = streams, how == "at the pace"


@behave.when(
    "the leader sends a heartbeat every 0.25 s from {start:d} s to {end:d} s"
)
def heartbeats(context, start, end):
    """Plays the link in steps of 1 ms; it passes bytes in their order.

    A sender has a window of bytes on the way. The router reads what has
    arrived, at once or a piece at a time when the pace allows it.
    """
    pace = link_pacing.create_pace(10.0)
    piece = pace.piece_bytes if context.paced else WINDOW_BYTES
    # Bytes that each sender may send now, and that wait at the router.
    window = [WINDOW_BYTES] * context.streams
    arrived, due_s = [0] * context.streams, [0.0] * context.streams
    queue_end_s, context.waits_ms, context.passed = 0.0, [], 0
    landing = []
    for ms in range(end * 1000):
        now_s = ms / 1000
        while landing and landing[0][0] <= now_s:
            _, stream, size = landing.pop(0)
            arrived[stream] += size
            context.passed += size
        for stream in range(context.streams):
            if arrived[stream] and due_s[stream] <= now_s:
                size = min(arrived[stream], piece)
                arrived[stream] -= size
                window[stream] += size
                if context.paced:
                    pace = link_pacing.add_bytes(pace, size, now_s)
                    due_s[stream] = now_s + link_pacing.find_wait_s(pace, now_s)
            if window[stream]:
                size, window[stream] = window[stream], 0
                queue_end_s = max(queue_end_s, now_s) + size / LINK_BYTES_PER_S
                landing.append((queue_end_s, stream, size))
        if ms == start * 1000:
            passed_before = context.passed
        if ms % 250 == 0 and ms >= start * 1000:
            context.waits_ms.append(1000 * max(0.0, queue_end_s - now_s))
    used = (context.passed - passed_before) / (end - start)
    # A window counts once all of it has passed, hence slightly more than 1.
    context.link_share = used / LINK_BYTES_PER_S


@behave.then("the longest wait of a heartbeat is from {least:d} to {most:d} ms")
def longest_wait(context, least, most):
    assert least <= max(context.waits_ms) <= most, context.waits_ms


@behave.then("the streams have used from {low:g} to {high:g} of the link")
def used_link(context, low, high):
    assert low <= context.link_share <= high, context.link_share


@behave.given("a router whose whole traffic shares a link of {mbps:d} Mbit/s")
def shared_link(context, mbps):
    proxy = fleet.Proxy()
    context.add_cleanup(proxy.stop)
    context.ages_ms = []
    world = router_answers_steps.start_world(
        context,
        1,
        {"timeouts": {"answer_timeout_s": 5.0, "idle_timeout_s": 5.0}},
        link_mbps=float(mbps),
        through=lambda name, port: proxy.add(name, port, pipe="r1"),
    )
    heard = world.leader.received

    def received(conn, message):
        sent_ms = getattr(message, "sent_ms", None)
        if sent_ms is not None:
            context.ages_ms.append(clocks.monotonic_ms() - sent_ms)
        heard(conn, message)

    world.leader.received = received
    proxy.limit_pipe("r1", mbps * 1e6 / 8)


@behave.when("{count:d} callers send bodies of {size:d} bytes at the same time")
def send_bodies(context, count, size):
    world, context.replies = context.world, []

    def send():
        context.replies.append(
            world.send("POST", "/sketch/a", body=b"x" * size, timeout_s=30)
        )

    threads = [threading.Thread(target=send) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@behave.then("all of them get their own answers")
def get_answers(context):
    assert {reply.status for reply in context.replies} == {200}, [
        (reply.status, reply.error, reply.body[:200])
        for reply in context.replies
    ]
    assert all(reply.whole for reply in context.replies)


@behave.then("no report reached the leader later than {limit:d} ms")
def reports_in_time(context, limit):
    assert context.ages_ms and max(context.ages_ms) <= limit, context.ages_ms


@behave.then("the router never left its leader")
def never_left(context):
    events = [line["event"] for line in context.world.router.log()]
    assert not {"leader_left", "control_lost"} & set(events), events


@behave.then(
    "a caller refused behind {backlog:g} ms comes back after {back:d} ms at a "
    "router that is {place}"
)
def comes_back(_, backlog, back, place):
    assert local_waits.find_retry_ms(backlog, place == "alone") == back
