"""Steps for the reuse of connections to servers."""

import collections
import dataclasses

import behave
import immutables
from returns import result
from twisted.internet import task

from features.steps import router_answers_steps as answers
from features.support import scheduler_tables
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import forwarding
from waxwingrack.operations import connection_reuse as reuse

NOW_S = 1_000.0


def _number(text):
    return None if text in ("-", "none") else float(text)


@behave.when(
    "a server states {stated} s, closed after {closes} s {ago:d} s ago, and "
    "{unrepeatable} s apply to the request"
)
def find_limit(context, stated, closes, ago, unrepeatable):
    early = None
    if closes != "-":
        early = reuse.EarlyClose(float(closes), NOW_S - ago)
    context.limit = reuse.find_limit_s(
        _number(stated), early, NOW_S, _number(unrepeatable)
    )


@behave.then("a connection may be reused for {limit:g} s")
def limit_is(context, limit):
    assert context.limit == limit, context.limit


@behave.when('a server sends "{value}" as Keep-Alive')
def parse(context, value):
    context.parsed = reuse.parse_timeout([value])


@behave.then("the timeout is read as {stated}")
def parsed_as(context, stated):
    if stated == "invalid":
        assert isinstance(context.parsed, result.Failure), context.parsed
    else:
        assert context.parsed == result.Success(_number(stated))


@behave.when(
    "a server that states {stated:g} s closes connections after {idle} s, "
    "{times:d} times"
)
def learn(context, stated, idle, times):
    early = None
    for _ in range(times):
        early = reuse.note_close(stated, early, float(idle), NOW_S)
    context.expected = reuse.expect_close_s(stated, early, NOW_S)


@behave.then("it is expected to close after {expected:g} s")
def learned(context, expected):
    assert context.expected == expected, context.expected


@behave.when(
    "{holders:d} routers had grants {ago:d} ms ago at a server of {limit:d} "
    "connections and {slots:d} slots"
)
def server_with_holders(context, holders, ago, limit, slots):
    announcement = scheduler_tables.create_announcement(
        "s1", slots=slots, max_connections=limit
    )
    context.row = data.ServerRow(
        announcement,
        0,
        data.SlotLimit(slots, slots),
        1,
        connected=immutables.Map(
            {f"r{number}": 100_000 - ago for number in range(holders)}
        ),
    )


@behave.then("one more of {routers:d} routers may keep {idle} connections")
def may_keep(context, routers, idle):
    found = reuse.allow_idle(context.row, "new", routers, 100_000)
    assert found == _number(idle), found


@behave.then(
    "one more of {routers:d} routers may keep {idle} connections if the "
    "environment declares {declared:d}"
)
def may_keep_declared(context, routers, idle, declared):
    found = reuse.allow_idle(context.row, "new", routers, 100_000, declared)
    assert found == _number(idle), found


@behave.when(
    "router r had grants {ages} ms ago at servers that run {running} requests"
)
def choose(context, ages, running):
    now_ms = 10_000
    rows = [
        data.ServerRow(
            scheduler_tables.create_announcement(f"s{number}"),
            now_ms,
            data.SlotLimit(8, 8),
            number,
            orphans=int(used),
            connected=immutables.Map()
            if age == "-"
            else immutables.Map({"r": now_ms - int(age)}),
        )
        for number, (age, used) in enumerate(
            zip(ages.split(), running.split(), strict=True), 1
        )
    ]
    context.row = reuse.prefer_connected(rows, "r", now_ms)


@behave.then("its next request goes to server {number:d}")
def chosen(context, number):
    assert context.row.key == number, context.row.key


@behave.given(
    "a leader with {count:d} idle {kind} that announce at most {limit:d} "
    "connections"
)
def leader_with_servers(context, count, kind, limit):
    engine = data.Engine(100_000, 1, 1, 0.0) if kind == "engines" else None
    scheduler_tables.create_scheduler(context, 100_000)
    context.policy = data.Policy(
        data.Environment(
            "e",
            (data.Workspace("w", 1.0, ()),),
            (data.Service("s", (), "v1", engine=engine, ramp=False),),
            (),
        )
    )
    scheduler_tables.run_tick(context)
    context.servers = [
        scheduler_tables.create_announcement(
            f"s{number}", max_connections=limit
        )
        for number in range(count)
    ]


@behave.when("two routers send {count:d} requests in turn, {pause:d} ms apart")
def requests_in_turn(context, count, pause):
    routers = [data.RouterRef(f"r{n}", "i", "a") for n in range(2)]
    context.used = collections.defaultdict(set)
    for router in routers:
        scheduler_tables.send_report(context, router, first=True)
    for number in range(count):
        context.at_ms += pause
        router = routers[number % 2]
        want = scheduler_tables.create_request(number + 1, prompt_tokens=10)
        for other in routers:
            scheduler_tables.send_report(
                context,
                other,
                announcements=tuple(context.servers),
                wants=(want,) if other is router else (),
            )
        (decision,) = scheduler_tables.run_tick(context).grants
        grant = decision.grant
        context.used[router.node_id].add(grant.server_id)
        finished = data.FinishedRequest(
            grant.term, grant.id, data.Outcome.COMPLETED, 5.0, 10.0, 1.0
        )
        scheduler_tables.send_report(context, router, finished=(finished,))


@behave.then("the requests of each router went to {servers} servers")
def went_to(context, servers):
    counts = [len(used) for used in context.used.values()]
    assert all((count == 1) == (servers == "one") for count in counts), counts


_NEXT_ANNOUNCEMENTS = {
    "announces itself again": {},
    "announces to depart": {"departing": True},
    "is silent for 6000 ms": None,
    "announces a new start": {"incarnation": "i2"},
}


@behave.when("the first of them {event}")
def server_event(context, event):
    first, second = context.servers
    scheduler_tables.send_report(
        context, first=True, announcements=(first, second)
    )
    assert not scheduler_tables.run_tick(context).ended_servers
    changes = _NEXT_ANNOUNCEMENTS[event]
    context.ended = ()
    for _ in range(6):
        context.at_ms += 1_000
        changed = (
            () if changes is None else (dataclasses.replace(first, **changes),)
        )
        scheduler_tables.send_report(context, announcements=(*changed, second))
        context.ended += scheduler_tables.run_tick(context).ended_servers


@behave.then("{count:d} of its incarnations have ended")
def incarnations_ended(context, count):
    first = context.servers[0]
    ended = data.EndedServer(first.address, first.incarnation)
    assert context.ended == (ended,) * count, context.ended


class _FakeConnection:
    state = "QUIESCENT"
    stated_s = 10.0
    epoch = 0
    closed = False

    def __init__(self):
        self.transport = self

    def idle_for_s(self, now_s):
        return now_s - self.idle_since_s

    def loseConnection(self):  # noqa: N802  name of twisted
        self.closed = True


@behave.when(
    "a pool of at most {total:d} idle connections, {each:d} a server, gets "
    "connections to {servers}"
)
def fill_pool(context, total, each, servers):
    pool = forwarding._Pool(
        task.Clock(), lambda *_: None, total, collections.Counter()
    )
    context.conns = []
    for name in servers.split():
        key = (data.Address(name, 1), "i1")
        pool.limit_idle(key, each)
        context.conns.append(_FakeConnection())
        pool._putConnection(key, context.conns[-1])


@behave.then("the connections {numbers} have been closed")
@behave.then("the connections  have been closed")
def pool_closed(context, numbers=""):
    closed = [n for n, conn in enumerate(context.conns, 1) if conn.closed]
    assert closed == [int(n) for n in numbers.split()], closed


@behave.given("a router with 3 idle connections to its server")
def idle_connections(context):
    timeouts = {"answer_timeout_s": 5.0, "idle_timeout_s": 5.0}
    world = answers.start_world(context, 1, {"timeouts": timeouts})
    # Long enough that the requests overlap on a busy machine.
    target = "/sketch?do=slow&pause=1.0"
    joins = [world.send_later("GET", target) for _ in range(3)]
    assert [join().status for join in joins] == [200] * 3
    found = world.backends[0].open_connections
    assert found == 3, found


@behave.when("the leader says that the server ended")
def leader_ends_server(context):
    leader, server = context.world.leader, context.world.backends[0]
    ended = data.EndedServer(data.Address("127.0.0.1", server.port), "i1")
    update = messages.ControllerUpdate(
        leader._last_sent_ms, leader.term, ended=(ended,)
    )
    context.world.loop.loop.call_soon_threadsafe(leader.conns[0].send, update)


@behave.when("the server says that it leaves")
def server_leaves(context):
    assert context.world.send("GET", "/sketch?do=leaving").status == 200


@behave.when("the leader drains a data centre")
def leader_drains(context):
    world = context.world
    world.leader.drained = ("b",)
    world.leader.number += 1


@behave.when("a new incarnation gets a request")
def new_incarnation(context):
    context.world.leader.incarnation = "i2"
    assert context.world.send("GET", "/sketch?do=ok").status == 200


@behave.when("the server breaks a connection")
def breaks(context):
    world = context.world
    world.backends[0].faults.append("drop")
    answers.send(context, "POST", "/sketch/deposit?do=ok")


@behave.when("the leader allows {count:d} idle connection")
def leader_allows(context, count):
    context.world.leader.max_idle = count
    assert context.world.send("GET", "/sketch?do=ok").status == 200


@behave.then("{count:d} connections are open")
def left_open(context, count):
    server = context.world.backends[0]
    context.world.wait_for(
        lambda: server.open_connections == count,
        f"{count} open connections",
        2.0,
    )
