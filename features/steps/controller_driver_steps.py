"""Steps for the replica driver and the controller's handlers in-process."""

import asyncio
import pathlib
import random
import tempfile
import threading
import types

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

    def write(self, *arguments):
        if self.failing == "write":
            raise storage.StorageFailedError("no space")
        super().write(*arguments)

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
        self.disk.identify("c2")
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
    assert "no space" in driven.driver.failed, driven.driver.failed
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

    def fail(*arguments):
        raise ValueError("fault of the test")

    context.controller.leader = types.SimpleNamespace(handle=fail)
    context.controller.driver = types.SimpleNamespace(may_act=lambda: True)
    context.controller.phase = "leading"


@behave.when("the controller object receives a report twice")
def receives_report(context):
    hello = messages.Hello(1, data.Role.ROUTER, "r1", "i1")
    conn = types.SimpleNamespace(peer=hello)
    context.controller.sessions.open(conn, 0)
    for number in (1, 2):
        context.controller.received(conn, messages.RouterReport(number, 0))


@behave.then("the controller object counts {count:d} handler failures")
def counts_failures(context, count):
    text, _ = context.controller.metrics.render(("*/*",))
    line = f"\nwaxwingrack_handler_failures_total {count}\n"
    assert line in text.decode(), text


REPORTS = {
    "without content": {},
    "with a want": {"wants": (data.Want(1, "w", "s", "r"),)},
    "with an end": {
        "finished": (data.Finished(1, 1, data.Outcome.COMPLETED, 1, 1, 1),)
    },
    "that is the first": {"first": True},
}


@behave.given("a leader object that {may} act")
def leader_object(context, may):
    driver = types.SimpleNamespace(
        may_act=lambda: may == "may",
        state=data.ReplicatedState(),
        counted_ms=0,
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
        context.led.handle(session, report)
        await asyncio.sleep(0)

    asyncio.run(run())


@behave.then(
    "the router got {answers:d} answer and the leader ran {ticks:d} ticks"
)
def answered_with_ticks(context, answers, ticks):
    assert [update.echo_ms for update in context.sent] == [7] * answers
    assert context.ticks == ticks, context.ticks
