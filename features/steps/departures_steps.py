"""Steps for departures of backend servers in the replicated state."""

import asyncio
import dataclasses
import random
import types

import behave
from returns import result

from features.support import scheduler_tables
from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import departure_log
from waxwingrack.daemons import leader
from waxwingrack.daemons import metrics
from waxwingrack.daemons import replica_driver
from waxwingrack.daemons import router_sessions
from waxwingrack.operations import replicated
from waxwingrack.operations import tables

NOW_MS = 100_000


class FakeDriver:
    """Driver whose log commits each proposal at once, fails it or is silent."""

    def __init__(self, log="commits"):
        self.state = data.ReplicatedState(environment=None)
        self.clock_advanced_ms = NOW_MS
        self.replica = types.SimpleNamespace(term=1)
        self.log = log
        self.proposals = 0

    def may_act(self):
        """Returns whether the controller may act as leader."""
        return False

    def propose(self, command):
        """Proposes a command; returns the future of its outcome."""
        self.proposals += 1
        fut = asyncio.get_running_loop().create_future()
        if self.log == "commits":
            self.state = replicated.apply(self.state, command).state
            fut.set_result(result.Success(None))
        elif self.log == "fails":
            fut.set_result(result.Failure(replica_driver.Unavailable("test")))
        return fut


def _create_leader(driver, known_servers=None):
    sessions = router_sessions.Sessions()
    conn = types.SimpleNamespace(
        peer=messages.Hello(2, data.Role.ROUTER, "r1", "i1"),
        send=lambda message: None,
    )
    sessions.open(conn, NOW_MS)
    return leader.Leader(
        leader.Services(
            driver,
            sessions,
            lambda: NOW_MS,
            random.Random(1),
            metrics.Metrics(),
            known_servers=known_servers and (known_servers, 0),
        )
    )


def _report(led, **fields):
    led.handle_message(
        led.services.sessions.get("r1"),
        messages.RouterReport(NOW_MS, 0, **fields),
    )


@behave.given(
    'a replicated log with the departure of "{server}" of the incarnation '
    '"{incarnation}"'
)
def log_with_departure(context, server, incarnation):
    context.driver = FakeDriver()
    context.driver.state = replicated.apply(
        context.driver.state, commands.NoteDepartures(((server, incarnation),))
    ).state


@behave.when(
    'a leader that was told {told} learns of "{server}" of the incarnation '
    '"{incarnation}" {source}'
)
def learns_of(context, told, server, incarnation, source):
    announcement = scheduler_tables.create_announcement(server, incarnation)
    known = messages.ServersKnown((announcement,), ())

    async def run():
        context.led = _create_leader(
            context.driver, None if told == "nothing" else known
        )
        if "report" in source:
            _report(context.led, announcements=(announcement,))
        else:
            context.led.handle_announcement(announcement)

    asyncio.run(run())


@behave.then('the leader {may} use "{server}"')
def may_use(context, may, server):
    usable = tables.is_usable(context.led.tables.servers[server])
    assert usable == (may == "may")


@behave.given(
    'a leader that knows "{server}" of the incarnation "{incarnation}" and a '
    "log that {log}"
)
def leader_and_log(context, server, incarnation, log):
    context.driver = FakeDriver(log)
    context.announcement = scheduler_tables.create_announcement(
        server, incarnation
    )

    async def run():
        context.led = _create_leader(context.driver)
        context.led.handle_announcement(context.announcement)

    asyncio.run(run())


def _learn(context, server, event):
    """Makes the leader learn of a departure.

    Returns:
      The departed incarnation, None if it is not known.
    """
    led, announcement = context.led, context.announcement
    present = announcement.incarnation
    leaving = dataclasses.replace(announcement, departing=True)
    if event == "announces its departure":
        led.handle_announcement(leaving)
    elif event == "leaves, from a notice of a router":
        notice = data.ServerNotice(server, present, leaving=True)
        _report(led, notices=(notice,))
    elif event == "leaves, from an announcement passed on":
        _report(led, announcements=(leaving,))
    elif event.startswith("of the incarnation"):
        found = led.handle_departure(server, event.split('"')[1])
        if "then without it" in event:
            assert led.handle_departure(server) == found
        return found
    else:
        found = led.handle_departure(server)
        if event == "deregisters twice":
            assert led.handle_departure(server) == found
        return found
    return present


@behave.when('the leader learns that "{server}" {event}')
def learns_departure(context, server, event):
    timeout_s = departure_log.RECORD_TIMEOUT_S

    async def run():
        context.departed = _learn(context, server, event)
        context.confirmed = None
        # Its answer waits for the log; the record is already proposed.
        await asyncio.sleep(0)
        if context.departed is not None:
            departures = context.led.departures
            async with asyncio.timeout(2 * timeout_s):
                context.confirmed = await departures.wait_until_recorded(
                    (server, context.departed)
                )

    asyncio.run(run())


@behave.then(
    'the departures of the log are "{recorded}" after {proposals:d} proposals'
)
def recorded_are(context, recorded, proposals):
    found = " ".join("#".join(key) for key in context.driver.state.departures)
    assert (found or "none") == recorded, found
    assert context.driver.proposals == proposals, context.driver.proposals


@behave.then("the server {may} be told that it is recorded")
def may_be_told(context, may):
    assert context.confirmed == (may == "may"), context.confirmed


@behave.then(
    'the next leader, which was told of "{server}" before, {may} use it'
)
def next_leader(context, server, may):
    known = messages.ServersKnown((context.announcement,), ())
    context.led = _create_leader(context.driver, known)
    may_use(context, may, server)


@behave.then("the departure {known} known")
def departure_known(context, known):
    assert (context.departed is not None) == (known == "is")


@behave.given("a replicated state")
def replicated_state(context):
    context.state = data.ReplicatedState()


def _note(context, server, clock_s):
    state = dataclasses.replace(context.state, clock_s=clock_s)
    command = commands.NoteDepartures(((server, "i1"),))
    context.state = replicated.apply(state, command).state


@behave.when(
    "{count:d} departures are noted at {noted:d} s and another one at "
    "{later:d} s"
)
def departures_noted(context, count, noted, later):
    servers = [f"b{number:05d}" for number in range(count)]
    # One command for all but the first, which is thus the oldest.
    _note(context, servers[0], noted)
    state = dataclasses.replace(context.state, clock_s=noted + 1.0)
    context.state = replicated.apply(
        state,
        commands.NoteDepartures(tuple((name, "i1") for name in servers[1:])),
    ).state
    _note(context, "later", later)


@behave.then("it holds {held:d} departures and {kept} the first of them")
def holds(context, held, kept):
    departures = context.state.departures
    assert len(departures) == held, len(departures)
    assert (("b00000", "i1") in departures) == (kept == "keeps")


@behave.then("a snapshot of it holds the same departures")
def snapshot_holds(context):
    decoded = replicated.decode(replicated.encode(context.state)).unwrap()
    assert decoded.departures == context.state.departures
