"""Steps for the replica driver and the controller's handlers in-process."""

import asyncio
import logging
import pathlib
import random
import tempfile
import threading
import time
import types
from unittest import mock

import behave
from returns import result

from features.support import controller_fleet
from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import controller
from waxwingrack.daemons import leader
from waxwingrack.daemons import metrics
from waxwingrack.daemons import replica_driver
from waxwingrack.daemons import router_sessions
from waxwingrack.daemons import storage
from waxwingrack.operations import consensus

wait_for = controller_fleet.wait_for


class Disk(storage.MemoryStorage):
    """Memory storage that can be held up or fail, and counts its syncs."""

    def __init__(self):
        super().__init__()
        self.goes_on = threading.Event()
        self.goes_on.set()
        self.failing = ""
        self.syncs = 0
        # Time that the writing of a snapshot takes, in seconds.
        self.snapshot_pause_s = 0.0

    def write(self, hard, truncate_from, append, snapshot):
        if self.failing == "write":
            raise storage.StorageFailedError("no space")
        if snapshot is not None:
            if self.failing == "snapshot":
                raise storage.StorageFailedError("no space")
            time.sleep(self.snapshot_pause_s)
        super().write(hard, truncate_from, append, snapshot)

    def sync(self):
        assert self.goes_on.wait(10)
        if self.failing == "sync":
            raise storage.StorageFailedError("no space")
        super().sync()
        self.syncs += 1


class Driven:
    """A replica driver in an event loop of its own."""

    def __init__(self, members):
        self.loop = controller_fleet.Loop()
        self.disk = Disk()
        self.sent = []
        self.outcomes = []
        self.loop.run(self._start(members))

    async def _start(self, members):
        self.disk.bind_to_node("c2")
        persisted = self.disk.load().unwrap()
        replica = consensus.create(
            "c2", members, persisted, controller_fleet.clock_ms(), 1
        )
        self.driver = replica_driver.ReplicaDriver(
            replica,
            None,
            self.disk,
            controller_fleet.clock_ms,
            lambda receiver, message: self.sent.append(
                (self.disk.syncs, message)
            ),
        )
        self.driver.start()

    def run(self, function):
        async def call():
            return function()

        return self.loop.run(call())

    def propose(self, command):
        def submit():
            fut = self.driver.propose(command)
            fut.add_done_callback(
                lambda done: self.outcomes.append(done.result())
            )

        self.run(submit)

    def close(self):
        self.disk.goes_on.set()
        self.loop.run(self.driver.stop())
        self.loop.close()


def drive(context, members):
    context.driven = Driven(members)
    context.add_cleanup(context.driven.close)
    return context.driven


def drive_leader(context):
    driven = drive(context, ("c2",))
    wait_for(driven.driver.may_act)
    return driven


def refuse_digest(number):
    return commands.RefuseDigest(f"d{number}")


@behave.given('a replica driver that follows "c1" with a disk that is held up')
def following(context):
    driven = drive(context, ("c1", "c2", "c3"))
    driven.disk.goes_on.clear()


@behave.given("a replica driver that leads alone with a disk that is held up")
def leading_held_up(context):
    driven = drive_leader(context)
    driven.disk.goes_on.clear()
    context.syncs = driven.disk.syncs


@behave.given(
    "a replica driver that leads alone with a disk whose {call} will fail"
)
def leading_failing(context, call):
    drive_leader(context).disk.failing = call


@behave.given("a replica driver that leads alone with a good disk")
def leading(context):
    drive_leader(context)


@behave.when('the driven replica receives an entry from "c1"')
def receive_entry(context):
    driven = context.driven
    members = ("c1", "c2", "c3")
    entry = data.LogEntry(
        1, 1, b"", members, ("x", driven.driver.replica.disk, "y")
    )
    append = messages.Append(1, 0, 0, (entry,), 0, 1)
    context.syncs = driven.disk.syncs
    driven.run(lambda: driven.driver.receive("c1", append))


def replies(driven):
    return [
        (syncs, message)
        for syncs, message in driven.sent
        if isinstance(message, messages.AppendReply)
    ]


@behave.then(
    "the driven replica has sent no reply and the event loop still runs"
)
def no_reply(context):
    driven = context.driven
    driven.loop.run(asyncio.sleep(0.1))
    assert not replies(driven), driven.sent


@behave.when("the held-up disk goes on")
def disk_goes_on(context):
    context.driven.disk.goes_on.set()


@behave.then("the driven replica has replied after the sync")
def replied(context):
    driven = context.driven
    wait_for(lambda: replies(driven))
    ((syncs, message),) = replies(driven)
    assert message.success and message.match == 1, message
    assert syncs > context.syncs, (syncs, context.syncs)


@behave.when("{count:d} commands are proposed to the driven replica")
def propose_many(context, count):
    for number in range(count):
        context.driven.propose(refuse_digest(number))


@behave.then(
    "all {count:d} commands are committed after at most {syncs:d} syncs"
)
def all_committed(context, count, syncs):
    driven = context.driven
    wait_for(lambda: len(driven.outcomes) == count)
    assert driven.outcomes == [result.Success(None)] * count, driven.outcomes
    assert len(driven.driver.state.refused_digests) == count
    assert driven.disk.syncs - context.syncs <= syncs, driven.disk.syncs


@behave.when("commands keep coming until {count:d} are committed")
def commands_keep_coming(context, count):
    driven = context.driven
    loop = driven.loop.loop
    # Two commands are always under way, so that the writes never pause.
    numbers = iter(range(count))
    ended = threading.Event()

    def propose_next(done=None):
        if done is not None:
            driven.outcomes.append(done.result())
        number = next(numbers, None)
        if number is not None:
            fut = driven.driver.propose(refuse_digest(number))
            fut.add_done_callback(propose_next)
        elif len(driven.outcomes) == count:
            context.snapshots = driven.driver.counts.snapshots
            ended.set()

    for _ in range(2):
        loop.call_soon_threadsafe(propose_next)
    assert ended.wait(60), len(driven.outcomes)


@behave.then("the driven replica finished a snapshot before the last of them")
def snapshot_finished(context):
    assert context.snapshots >= 1, context.driven.driver.counts


def take_snapshot(driven):
    driven.run(lambda: setattr(driven.driver, "_last_snapshot_index", -1_000))
    driven.propose(refuse_digest(-1))


@behave.when("the disk refuses a snapshot")
def refused_snapshot(context):
    driven = context.driven
    driven.disk.failing = "snapshot"
    take_snapshot(driven)
    wait_for(lambda: driven.driver.failure_reason)
    snapshot_task = driven.driver._snapshot_task
    wait_for(snapshot_task.done)


@behave.then("the driven replica has failed and counts no snapshot")
def no_snapshot_counted(context):
    driver = context.driven.driver
    assert "no space" in driver.failure_reason, driver.failure_reason
    assert driver.counts.snapshots == 0, driver.counts


@behave.when("a snapshot takes {seconds:f} s")
def slow_snapshot(context, seconds):
    driven = context.driven
    driven.disk.snapshot_pause_s = seconds
    take_snapshot(driven)
    wait_for(lambda: driven.driver.counts.snapshots == 1)
    driven.disk.snapshot_pause_s = 0.0
    driven.outcomes.clear()


@behave.then(
    "the driven replica finishes another snapshot within the longest pause"
)
def another_snapshot(context):
    driven = context.driven
    pause_s = replica_driver.MAX_SNAPSHOT_PAUSE_MS / 1000

    def snapshots():
        driven.propose(refuse_digest(-1))
        return driven.driver.counts.snapshots >= 2

    # One second of room for the timer and a busy machine.
    wait_for(snapshots, pause_s + 1)


@behave.when(
    "the held-up disk goes on after the time from which a sync counts as slow"
)
def disk_goes_on_late(context):
    lines = context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record)
    logger = logging.getLogger("waxwingrack")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.setLevel, level)
    context.add_cleanup(logger.removeHandler, handler)
    time.sleep(replica_driver.SLOW_SYNC_S * 1.2)
    context.driven.disk.goes_on.set()
    wait_for(lambda: context.driven.outcomes)


@behave.then("the slow sync is logged with its time")
def slow_sync_logged(context):
    slow = [
        record.fields
        for record in context.lines
        if getattr(record, "fields", {}).get("entries") == 1
    ]
    assert slow, context.lines
    assert slow[0]["seconds"] >= replica_driver.SLOW_SYNC_S, slow


@behave.then("the proposals are answered as unavailable")
def unavailable(context):
    driven = context.driven
    wait_for(lambda: driven.outcomes)
    assert isinstance(driven.outcomes[0], result.Failure), driven.outcomes


@behave.then(
    "the driven replica names the fault, may not act and sends nothing more"
)
def failed(context):
    driven = context.driven
    assert "no space" in driven.driver.failure_reason, (
        driven.driver.failure_reason
    )
    assert not driven.driver.may_act()
    sent = len(driven.sent)
    vote = messages.VoteRequest(9, 9, 9, False)
    driven.run(lambda: driven.driver.receive("c1", vote))
    driven.loop.run(asyncio.sleep(0.1))
    assert len(driven.sent) == sent, driven.sent


@behave.when("the driven replica receives a message that raises an exception")
def bad_message(context):
    driven = context.driven
    broken = messages.Append(99, "x", 0, (), 0, 1)
    driven.run(lambda: driven.driver.receive("c1", broken))


@behave.when("a command that cannot be applied is committed")
def bad_command(context):
    driven = context.driven
    # The state machine fails on a document without its fields.
    document = types.SimpleNamespace()
    original = commands.CODEC.decode
    command = commands.ApplyEnvironment("op", "ada", 0, document)
    commands.CODEC.decode = lambda blob: result.Success(command)
    try:
        driven.propose(refuse_digest(0))
        wait_for(lambda: driven.outcomes)
    finally:
        commands.CODEC.decode = original
    driven.outcomes.clear()


@behave.then(
    "the driven replica counts {count:d} dropped event and commits the next "
    "command"
)
def counts_dropped(context, count):
    driven = context.driven
    assert driven.driver.counts.dropped == count, driven.driver.counts
    driven.propose(refuse_digest(1))
    wait_for(lambda: driven.outcomes)
    assert driven.outcomes == [result.Success(None)], driven.outcomes


@behave.given(
    "a controller object whose handler of reports raises an exception"
)
def controller_object(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    key = pathlib.Path(folder.name) / "key"
    key.write_bytes(b"k")
    address = data.Address(controller_fleet.HOST, 0)
    settings = data.Settings(
        role=data.Role.CONTROLLER,
        node_id="c1",
        data_centre="a",
        operators=address,
        controllers=(),
        control=address,
        shared_key_file=str(key),
    )
    context.controller = controller.Controller(
        settings,
        storage.MemoryStorage(),
        controller_fleet.clock_ms,
        random.Random(1),
    )

    context.raised = 0

    def fail(*arguments):
        context.raised += 1
        raise ValueError("fault of the test")

    context.controller.leader = types.SimpleNamespace(handle_message=fail)
    context.controller.driver = types.SimpleNamespace(may_act=lambda: True)
    context.controller.phase = "leading"


def connect_router(controller_object):
    # A mock is hashable, as connections are; a namespace is not.
    conn = mock.Mock(peer=messages.Hello(1, data.Role.ROUTER, "r1", "i1"))
    controller_object.sessions.open(conn, 0)
    return conn


@behave.given("a controller object that leads with a connected router")
def controller_object_leads(context):
    controller_object(context)
    context.handled = []
    context.controller.leader.handle_message = lambda _, message: (
        context.handled.append(message)
    )
    context.conn = connect_router(context.controller)


@behave.given(
    "{count:d} routers that came before the election with {each:d} lookups each"
)
def early_routers(context, count, each):
    context.expected = []
    context.controller.leader.handle_new_session = lambda *_: None
    for number in range(count):
        conn = mock.Mock(
            peer=messages.Hello(1, data.Role.ROUTER, f"e{number}", "i1")
        )
        lookups = [
            messages.KeyLookup(10 * number + call, "ws1", "key", "same")
            for call in range(each)
        ]
        context.expected += lookups
        context.controller.early_routers[conn] = controller._EarlyRouter(
            0, lookups
        )


@behave.when("the controller object looks at its role")
def looks_at_role(context):
    context.controller._update_phase()


@behave.then("it handled each lookup once and had no handler failure")
def early_handled(context):
    handled = sorted(item.call for item in context.handled)
    assert handled == [item.call for item in context.expected], handled
    text, _ = context.controller.metrics.render(("*/*",))
    assert b"handler_failures_total" not in text, text
    assert not context.controller.early_routers


@behave.when("the lease ends while the controller object receives a lookup")
def lease_ends(context):
    # The first look finds the lease in force, all later ones do not.
    looks = iter((True,))
    context.controller.driver.may_act = lambda: next(looks, False)
    context.lookup = messages.KeyLookup(1, "ws1", "key", "same")
    context.controller.received(context.conn, context.lookup)


@behave.when("the lease of the controller object is renewed")
def lease_renewed(context):
    context.controller.driver.may_act = lambda: True
    context.controller._update_phase()


@behave.then("the lookup was answered once")
def lookup_answered(context):
    assert context.handled == [context.lookup], context.handled


@behave.when("the controller object receives a report twice")
def receives_report(context):
    conn = connect_router(context.controller)
    for number in (1, 2):
        context.controller.received(conn, messages.RouterReport(number, 0))


@behave.then("the controller object counts {count:d} handler failures")
def counts_failures(context, count):
    assert context.raised == count, context.raised
    text, _ = context.controller.metrics.render(("*/*",))
    line = f"\nwaxwingrack_handler_failures_total {count}\n"
    assert line in text.decode(), text


REPORTS = {
    "without content": {},
    "with a want": {"wants": (data.QueuedRequest(1, "w", "s", "r"),)},
    "with an end": {
        "finished": (
            data.FinishedRequest(1, 1, data.Outcome.COMPLETED, 1, 1, 1),
        )
    },
    "that is the first": {"first": True},
}


@behave.given("a leader object that {may} act")
def leader_object(context, may):
    driver = types.SimpleNamespace(
        may_act=lambda: may == "may",
        state=data.ReplicatedState(),
        clock_advanced_ms=0,
        replica=types.SimpleNamespace(term=1),
    )
    sessions = router_sessions.Sessions()
    context.sent = []
    conn = types.SimpleNamespace(
        peer=messages.Hello(2, data.Role.ROUTER, "r1", "i1"),
        send=context.sent.append,
    )
    sessions.open(conn, 0)
    context.led = leader.Leader(
        leader.Services(
            driver,
            sessions,
            controller_fleet.clock_ms,
            random.Random(1),
            metrics.Metrics(),
        )
    )


@behave.when("its router sends a report {content}")
def leader_gets_report(context, content):
    tick, context.ticks = context.led.tick, 0

    def counted():
        context.ticks += 1
        tick()

    async def run():
        context.led.tick = counted
        session = context.led.services.sessions.get("r1")
        report = messages.RouterReport(7, 0, **REPORTS[content])
        context.led.handle_message(session, report)
        await asyncio.sleep(0)

    asyncio.run(run())


@behave.then(
    "the router got {answers:d} answer and the leader ran {ticks:d} ticks"
)
def answered_with_ticks(context, answers, ticks):
    assert [update.echo_ms for update in context.sent] == [7] * answers
    assert context.ticks == ticks, context.ticks
