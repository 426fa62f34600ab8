"""Steps for what backend servers tell about themselves in answers."""

import json
import threading
import time

import behave

from features.support import fleet
from features.support import scheduler_tables as driver
from waxwingrack.core import data
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
        tables, driver.ENVIRONMENT, known, context.at_ms
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
    del at
    bar = server_notices.find_bar(context.notices, (server, incarnation))
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


@behave.given("a fleet with 2 booking servers and callers at each router")
def fleet_with_callers(context):
    context.fleet = cluster = fleet.Fleet()
    context.add_cleanup(cluster.stop)
    cluster.serve(**{"booking-1": {}, "booking-2": {}})
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


@behave.then("the callers of each other router are served by booking-2")
def served_elsewhere(context):
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
