"""Steps for what backend servers tell about themselves in answers."""

import collections
import dataclasses
import itertools
import json
import threading
import time
import types

import behave

from features.support import fleet
from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import dispatch
from waxwingrack.operations import scheduler
from waxwingrack.operations import server_notices

# Longest time after the first answer that tells a departure.
DRAIN_S = 2.0
PAUSE_S = 0.03
WAIT_S = 20.0


def _announce(context, incarnation):
    driver.send_report(
        context,
        announcements=(driver.create_announcement("b1", incarnation),),
    )


@behave.given('a scheduler with the server "b1" of the incarnation "{name}"')
def scheduler_with_server(context, name):
    driver.create_scheduler(context, 100_000)
    driver.send_report(context, first=True)
    _announce(context, name)


@behave.when(
    'a router reports that "b1" of the incarnation "{incarnation}" leaves'
)
def report_leaving(context, incarnation):
    notice = data.ServerNotice("b1", incarnation, leaving=True)
    driver.send_report(context, notices=(notice,))
    driver.run_tick(context)


@behave.when("nothing else happens")
def nothing_else(context):
    del context


@behave.when('the server announces itself as "{incarnation}"')
def announce_again(context, incarnation):
    _announce(context, incarnation)


@behave.when("a new leader takes over")
def new_leader(context):
    known = scheduler.export_known_servers(context.tables)
    tables = scheduler.create_tables(2, context.at_ms, (), ())
    context.tables = scheduler.import_known_servers(
        tables, driver.ENVIRONMENT, known, 0, context.at_ms
    )
    driver.send_report(context, first=True)
    # The server still announces itself as if it stayed.
    _announce(context, "i1")


@behave.then("a request is {result}")
def request_is(context, result):
    driver.send_report(context, wants=(driver.create_request(1),))
    context.at_ms += 100
    grants = driver.run_tick(context).grants
    assert len(grants) == (result == "granted"), grants


@behave.given(
    'a router that was told at 0 s that "{server}" of the incarnation'
    ' "{incarnation}" leaves'
)
def told(context, server, incarnation):
    context.notices = server_notices.note_leaving(
        server_notices.Notices(), (server, incarnation), 0
    )
    again = server_notices.note_leaving(
        context.notices, (server, incarnation), 10
    )
    assert again is context.notices


@behave.then(
    'at {at:d} s it {may} send to "{server}" of the incarnation "{incarnation}"'
)
def may_send(context, at, may, server, incarnation):
    bar = server_notices.find_bar(
        context.notices, (server, incarnation), 1_000 * at
    )
    assert (bar is None) == (may == "may"), bar


@behave.then("at {at:d} s it reports {count:d} departures to a new leader")
def reports(context, at, count):
    found = server_notices.list_reports(context.notices, 1_000 * at)
    assert len(found) == count, found


@behave.when("the router's second server answers that it leaves")
def second_leaves(context):
    world = context.world
    first, second = world.backends
    while not second.runs:
        reply = world.send("GET", "/sketch/a?do=leaving")
        assert reply.status == 200, reply
    context.runs_before = sum(second.runs.values())
    context.first_before = sum(first.runs.values())


@behave.when("the router's caller sends {count:d} requests in turn")
def sends_in_turn(context, count):
    context.replies = [
        context.world.send("GET", f"/sketch/a?number={number}")
        for number in range(count)
    ]


@behave.then("the router's caller got {count:d} answers of the first server")
def answers_of_first(context, count):
    first, second = context.world.backends
    assert [reply.status for reply in context.replies] == [200] * count
    assert sum(second.runs.values()) == context.runs_before, second.runs
    assert sum(first.runs.values()) == context.first_before + count


@behave.then("the router has reported that its second server leaves")
def reported(context):
    world = context.world
    server_id = world.backends[1].id

    def is_reported():
        return any(
            notice.server_id == server_id and notice.leaving
            for report in world.leader.reports
            for notice in report.notices
        )

    world.wait_for(is_reported, "a report of the departure")


def _call_forever(context, router):
    while not context.ended.wait(PAUSE_S):
        start_s = time.monotonic()
        try:
            answer = context.fleet.call(router, "GET", "/booking/free")
        except (OSError, AssertionError):
            continue
        context.calls[router].append((start_s, answer))


@behave.given(
    "a fleet with {servers:d} booking servers and callers at each router"
)
def fleet_with_callers(context, servers):
    context.fleet = cluster = fleet.Fleet()
    context.add_cleanup(cluster.stop)
    cluster.serve(**{f"booking-{n + 1}": {} for n in range(servers)})
    context.ended = threading.Event()
    context.calls = {router: [] for router in cluster.routers}
    threads = [
        threading.Thread(target=_call_forever, args=(context, router))
        for router in cluster.routers
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()

    def stop():
        context.ended.set()
        for thread in threads:
            thread.join(20)

    context.add_cleanup(stop)
    time.sleep(1.5)


def _set_mode(context, server, **mode):
    port = context.fleet.members[server].ports["requests"]
    answer = fleet.request(port, "PUT", "/-/mode", mode)
    assert answer.status == 200, answer


def _count_served(context, server):
    port = context.fleet.members[server].ports["requests"]
    answer = fleet.request(port, "GET", "/-/runs")
    # A server that is not up yet has served nothing.
    return json.loads(answer.body)["served"] if answer.status == 200 else 0


@behave.when("booking-1 says in its answers that it leaves and r1 is cut off")
def leaves_beside_cut(context):
    context.fleet.isolate("r1")
    _set_mode(context, "booking-1", leaving=True)
    context.left_s = time.monotonic()


@behave.when("the leader of the fleet is killed {seconds:d} s later")
def leader_killed(context, seconds):
    cluster = context.fleet
    # The other routers must hear of the departure through the leader.
    time.sleep(seconds)
    context.served = _count_served(context, "booking-1")
    cluster.members[cluster.leader()].kill()
    fleet.wait_until(cluster.leader, WAIT_S, "another leader")
    cluster.heal()
    time.sleep(3)


@behave.then(
    "booking-1 ran nothing later than {seconds:d} s after its first such answer"
)
def ran_nothing(context, seconds):
    assert seconds == DRAIN_S
    served = _count_served(context, "booking-1")
    assert served == context.served, (context.served, served)


@behave.then("the callers of each other router are served by {server}")
def served_elsewhere(context, server):
    del server
    since_s = context.left_s + DRAIN_S
    for router in context.fleet.routers[1:]:
        served = [
            answer
            for start_s, answer in context.calls[router]
            if start_s > since_s and answer.status == 200
        ]
        assert served, router


@behave.when("booking-1 ends and starts again")
def server_restarts(context):
    member = context.fleet.members["booking-1"]
    member.kill()
    member.start()


@behave.then("booking-1 runs requests again")
def runs_again(context):
    fleet.wait_until(
        lambda: _count_served(context, "booking-1") > 0, WAIT_S, "a request"
    )


# ---------------------------------------------------------------------------
# Pauses
# ---------------------------------------------------------------------------


@behave.then('a Retry-After of "{text}" asks for a pause of {pause} ms')
@behave.then('a Retry-After of "" asks for a pause of {pause} ms')
def pause_read(context, pause, text=""):
    found = server_notices.parse_retry_after(text, 1_000.0)
    assert str(found) == pause.replace("unreadable", "None"), found


@behave.given(
    'a router that "{server}" of the incarnation "{incarnation}" asks at 0 s'
    " for a pause of {first:d} s and at 1 s of {second:d} s"
)
def asked(context, server, incarnation, first, second):
    notices = server_notices.Notices()
    for at_ms, pause_s in ((0, first), (1_000, second)):
        notices = server_notices.note_pause(
            notices, (server, incarnation), 1_000 * pause_s, at_ms
        )
    context.notices = notices


@behave.given(
    'a scheduler with the servers "{servers}" of {slots:d} slots and the'
    ' routers "r1 r2"'
)
def scheduler_with_routers(context, servers, slots):
    driver.create_scheduler(context, 100_000)
    service = dataclasses.replace(driver.ENVIRONMENT.services[0], ramp=False)
    context.policy = data.Policy(
        dataclasses.replace(driver.ENVIRONMENT, services=(service,))
    )
    context.routers = {
        name: data.RouterRef(name, name, "a") for name in ("r1", "r2")
    }
    context.incarnations = dict.fromkeys(servers.split(), "i1")
    context.slots = slots
    driver.run_tick(context)
    _connect_routers(context)


def _connect_routers(context):
    for router in context.routers.values():
        driver.send_report(context, router=router, first=True)
    _announce_all(context)


def _announce_all(context):
    driver.send_report(
        context,
        router=context.routers["r2"],
        announcements=tuple(
            driver.create_announcement(name, incarnation, context.slots)
            for name, incarnation in context.incarnations.items()
        ),
    )


def _tell_pauses(context, servers, pause_ms):
    driver.send_report(
        context,
        router=context.routers["r1"],
        notices=tuple(
            data.ServerNotice(name, "i1", pause_ms=pause_ms) for name in servers
        ),
    )


@behave.when('"{servers}" ask "r1" for a pause of {pause:d} s')
def ask_pause(context, servers, pause):
    context.paused = servers.split()
    context.pause_ms = 1_000 * pause
    _tell_pauses(context, context.paused, context.pause_ms)


@behave.when("{seconds:g} s pass and {later}")
def time_passes(context, seconds, later):
    passed_ms = round(1_000 * seconds)
    context.at_ms += passed_ms
    if later == "b1 starts again":
        context.incarnations["b1"] = "i2"
    elif later == "a new leader is told":
        context.tables = scheduler.create_tables(2, context.at_ms, (), ())
        driver.run_tick(context)
        _connect_routers(context)
        _tell_pauses(context, context.paused, context.pause_ms - passed_ms)
    _announce_all(context)
    driver.run_tick(context)


@behave.when("r1 queues {first:d} requests and r2 queues {second:d}")
def queue_requests(context, first, second):
    sequence = itertools.count(1)
    for router, count in zip(
        context.routers.values(), (first, second), strict=True
    ):
        driver.send_report(
            context,
            router=router,
            wants=tuple(
                driver.create_request(next(sequence)) for _ in range(count)
            ),
        )
    decisions = driver.run_tick(context)
    context.granted = collections.defaultdict(collections.Counter)
    for row in decisions.grants:
        context.granted[row.router][row.grant.server_id] += 1
    context.refusals = [
        (router, refusal.kind, refusal.retry_after_ms)
        for router, refusal, _ in decisions.refusals
    ]


def _check_granted(found, text):
    if text == "nothing":
        assert not found, found
    elif " of " in text:
        count, _, server = text.partition(" of ")
        assert found == {server: int(count)}, found
    else:
        assert set(found) <= set(text.split(" or ")), found
        assert found, text


@behave.then('"r1" is granted {granted} and "r2" is granted {others}')
def granted_to(context, granted, others):
    _check_granted(context.granted["r1"], granted)
    _check_granted(context.granted["r2"], others)


@behave.then('{count:d} requests of "r1" are refused with servers_paused')
def refused_paused(context, count):
    kind = errors.ErrorKind.SERVERS_PAUSED
    found = [row for row in context.refusals if row[:2] == ("r1", kind)]
    assert len(found) == count == len(context.refusals), context.refusals
    # The callers are told when the pause ends.
    assert all(2_900 <= wait_ms <= 3_000 for *_, wait_ms in found), found


@behave.when(
    "the router's second server turns a request away for {seconds:g} s"
)
def second_pauses(context, seconds):
    world = context.world
    first, second = world.backends
    while not second.runs:
        world.send("GET", f"/sketch/a?do=busy&after={seconds:g}")
        if not second.runs:
            # The first server was asked as well; let its pause end.
            time.sleep(seconds + 0.1)
    context.paused_s = time.monotonic()
    context.pause_s = seconds
    context.runs_before = sum(second.runs.values())
    context.first_before = sum(first.runs.values())


@behave.then("after the pause the second server gets requests again")
def second_again(context):
    world = context.world
    second = world.backends[1]
    time.sleep(max(0.0, context.paused_s + context.pause_s - time.monotonic()))
    for _ in range(8):
        assert world.send("GET", "/sketch/a").status == 200
    assert sum(second.runs.values()) > context.runs_before


@behave.when("booking-1 turns requests of r1 away for {seconds:d} s")
def turns_away(context, seconds):
    _set_mode(
        context,
        "booking-1",
        busy_path="/booking/busy",
        retry_after=str(seconds),
    )
    context.left_s = time.monotonic()
    context.pause_s = seconds
    answer = context.fleet.call("r1", "GET", "/booking/busy")
    assert answer.status == 503, answer
    context.asked_s = time.monotonic()


def _calls_of(context, router, from_s, until_s):
    return [
        answer
        for start_s, answer in context.calls[router]
        if context.asked_s + from_s <= start_s <= context.asked_s + until_s
    ]


@behave.then(
    "r1 sends at most {count:d} requests to booking-1 from {start:g} s later"
    " until the end of the pause"
)
def sends_few(context, count, start):
    end_s = context.asked_s + context.pause_s
    time.sleep(max(0.0, end_s - time.monotonic()))
    served = [
        answer
        for answer in _calls_of(context, "r1", start, context.pause_s - 0.2)
        if answer.status == 200
    ]
    assert len(served) <= count, len(served)


@behave.then("r1 refuses its callers at once, and tells them when to come back")
def refuses_at_once(context):
    refused = _calls_of(context, "r1", 0.5, context.pause_s - 0.5)
    assert len(refused) > 10, len(refused)
    for answer in refused:
        assert answer.status == 503, answer
        assert json.loads(answer.body)["error"]["kind"] == "servers_paused"
        assert float(answer.headers["retry-after"]) >= 1, answer.headers


@behave.then("r1 serves its callers again after the pause")
def serves_again(context):
    fleet.wait_until(
        lambda: context.fleet.call("r1", "GET", "/booking/free").status == 200,
        WAIT_S,
        "r1 serves",
    )


@behave.given(
    'a router that a server "{server}" of the incarnation "{incarnation}" '
    "announces itself to as {state}"
)
def announced_to_router(context, server, incarnation, state):
    context.dispatcher = dispatch.Dispatcher(
        lambda: 1_000, lambda at_once: None
    )
    context.dispatcher.queue_announcement(
        driver.create_announcement(
            server, incarnation, departing=state == "departing"
        )
    )


@behave.when("its report is lost and it reports to a new leader")
def report_lost(context):
    lost = context.dispatcher.take_report(False, 1, False)
    assert len(lost.announcements) == 1, lost
    # A first report lists requests; what else there is follows it.
    context.dispatcher.take_report(True, 1, False)
    context.report = context.dispatcher.take_report(False, 1, False)


@behave.then('the new leader learns of {count:d} departures of "{server}"')
def learns_departures(context, count, server):
    found = [
        notice
        for notice in context.report.notices
        if notice.leaving and notice.server_id == server
    ]
    assert len(found) == count, context.report.notices


@behave.then(
    'the router {may} send to "{server}" of the incarnation "{incarnation}"'
)
def router_may_send(context, may, server, incarnation):
    grant = types.SimpleNamespace(server_id=server, incarnation=incarnation)
    bar = context.dispatcher.find_bar(grant)
    assert (bar is None) == (may == "may"), bar


@behave.given('a leader that knows the server "b1"')
def leader_with_server(context):
    scheduler_with_server(context, "i1")


def _take_over(context, known, age_ms):
    context.tables = scheduler.import_known_servers(
        scheduler.create_tables(2, context.at_ms, (), ()),
        driver.ENVIRONMENT,
        known,
        age_ms,
        context.at_ms,
    )
    driver.send_report(context, first=True)


@behave.when(
    "a new leader takes over its servers, which it was told {age:d} s ago"
)
def takes_over_old(context, age):
    known = scheduler.export_known_servers(context.tables)
    _take_over(context, known, 1_000 * age)


@behave.then("{wait:d} s later a request is {result}")
def later_request(context, wait, result):
    context.at_ms += 1_000 * wait
    driver.run_tick(context)
    request_is(context, result)


# ---------------------------------------------------------------------------
# Limits
# ---------------------------------------------------------------------------

STEP_MS = 10


@behave.then('a limit of "{text}" is {limit} requests a second')
@behave.then('a limit of "" is {limit} requests a second')
def limit_read(context, limit, text=""):
    found = server_notices.parse_rate_limit(text)
    assert str(found) == limit.replace("unreadable", "None"), found


def _tell_limit(context, limit):
    driver.send_report(
        context,
        router=context.routers["r1"],
        notices=(
            data.ServerNotice(
                "b1", context.incarnations["b1"], rate_limit=limit
            ),
        ),
    )


def _play(context, duration_ms, limit=None, events=()):
    """Plays both routers with 100 requests a second each, of 10 ms each.

    Args:
      context: Context with the scheduler; `granted_at` gets the times of the
        grants by server.
      duration_ms: Duration.
      limit: Limit that the server names each half second, if any.
      events: Pairs of a time from the start and a function.
    """
    start_ms = context.at_ms
    sequences = itertools.count(1_000 + context.sequence)
    context.granted_at = collections.defaultdict(list)
    grants = []
    events = dict(events)
    while context.at_ms < start_ms + duration_ms:
        passed_ms = context.at_ms - start_ms
        if passed_ms in events:
            events[passed_ms]()
        if passed_ms % 1_000 == 0:
            _announce_all(context)
        if limit is not None and passed_ms % 500 == 0:
            _tell_limit(context, limit)
        for name, router in context.routers.items():
            driver.send_report(
                context,
                router=router,
                wants=(driver.create_request(next(sequences)),),
                finished=tuple(
                    data.FinishedRequest(
                        row.grant.term,
                        row.grant.id,
                        data.Outcome.COMPLETED,
                        5.0,
                        10.0,
                        1.0,
                    )
                    for row in grants
                    if row.router == name
                ),
            )
        grants = driver.run_tick(context).grants
        for row in grants:
            context.granted_at[row.grant.server_id].append(context.at_ms)
        context.at_ms += STEP_MS
    context.sequence += 10_000


def _tell_new_leader(context, limit):
    context.tables = scheduler.create_tables(2, context.at_ms, (), ())
    driver.run_tick(context)
    _connect_routers(context)
    _tell_limit(context, limit)


@behave.when(
    '"b1" names a limit of {limit:g} to "r1" for 8 s while both queue 100 '
    "requests a second and {event}"
)
def play_limit(context, limit, event):
    context.limit = limit
    before = {"it was 20 before": 20.0, "it was 0 before": 0.0}
    _tell_limit(context, before.get(event, limit))
    driver.run_tick(context)
    events = ()
    if event == "a new leader is told":
        events = ((4_000, lambda: _tell_new_leader(context, limit)),)
    _play(context, 8_000, limit, events)
    if event == "few timers are set":
        kinds = [
            kind
            for entries in context.tables.timers.values()
            for kind, _ in entries
        ]
        assert kinds.count("rate_limit_end") <= 1, kinds
        assert kinds.count("rate_limit") <= 2, kinds


@behave.then(
    '"b1" is granted at most half more than {limit:g} a second and 5 in each '
    "4 s"
)
def keeps_limit(context, limit):
    times = context.granted_at["b1"]
    most = max(
        (
            sum(start_ms <= at_ms < start_ms + 4_000 for at_ms in times)
            for start_ms in times
        ),
        default=0,
    )
    assert most <= 4 * 1.5 * limit + 5, (most, limit)


@behave.then('"b1" is granted at least seven tenths of {least:g} a second')
def uses_limit(context, least):
    assert len(context.granted_at["b1"]) >= 8 * 0.7 * least, context.granted_at


@behave.then('"b2" is granted the rest')
def rest_granted(context):
    assert len(context.granted_at["b2"]) > 8 * 100, context.granted_at


@behave.then("nobody is granted anything else")
def nothing_else_granted(context):
    assert set(context.granted_at) == {"b1"}, context.granted_at


@behave.when('"b1" names a limit of 5 to "r1" and {event}')
def limit_then(context, event):
    _tell_limit(context, 5.0)
    driver.run_tick(context)
    if event.startswith("4 s pass"):
        context.at_ms += 4_000
    elif event == "b1 starts again":
        context.at_ms += 1_000
        context.incarnations["b1"] = "i2"
    _announce_all(context)
    driver.run_tick(context)
    _play(context, 1_000)


@behave.then('"b1" is granted {granted} requests in the next second')
def granted_in_second(context, granted):
    count = len(context.granted_at["b1"])
    if granted.startswith("at most"):
        assert count <= int(granted.split()[-1]), count
    else:
        assert count >= int(granted.split()[0]), count


@behave.when(
    "booking-1 names a limit of {limit} in its answers and the leader of the "
    "fleet is killed {seconds:d} s later"
)
def limited_beside_kill(context, limit, seconds):
    cluster = context.fleet
    context.served_at = []
    ended = threading.Event()

    def watch():
        while not ended.wait(0.05):
            served = _count_served(context, "booking-1")
            context.served_at.append((time.monotonic(), served))

    _set_mode(context, "booking-1", rate_limit=limit)
    context.named_s = time.monotonic()
    watcher = threading.Thread(target=watch)
    watcher.start()
    time.sleep(seconds)
    cluster.members[cluster.leader()].kill()
    fleet.wait_until(cluster.leader, WAIT_S, "another leader")
    time.sleep(max(0.0, context.named_s + 12 - time.monotonic()))
    ended.set()
    watcher.join()


@behave.then(
    "booking-1 ran at most {most:d} requests in each 4 s from {later:d} s "
    "later on"
)
def ran_at_most(context, most, later):
    rows = [
        (at_s, served)
        for at_s, served in context.served_at
        if at_s >= context.named_s + later
    ]
    found = max(
        served - before
        for before_s, before in rows
        for at_s, served in rows
        if before_s <= at_s <= before_s + 4
    )
    assert found <= most, found


@behave.then("booking-1 ran at least {least:d} in {seconds:d} s")
def ran_at_least(context, least, seconds):
    until_s = context.named_s + 2 + seconds
    rows = [
        served
        for at_s, served in context.served_at
        if context.named_s + 2 <= at_s <= until_s
    ]
    assert rows[-1] - rows[0] >= least, (rows[0], rows[-1])


@behave.then(
    "booking-1 runs more than {count:d} in {seconds:d} s once its answers name "
    "no limit"
)
def runs_freely(context, count, seconds):
    _set_mode(context, "booking-1", rate_limit="")
    # The limit lasts for some time after the last answer that named it.
    time.sleep(5)
    before = _count_served(context, "booking-1")
    time.sleep(seconds)
    served = _count_served(context, "booking-1")
    assert served - before > count, (before, served)
