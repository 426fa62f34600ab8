"""Steps for routers that are connected to the leading controller."""

import contextlib
import secrets
import signal
import statistics
import threading
import time
import zlib

import behave
import cbor2

from features.steps import controller_group_steps as group
from features.support import controller_fleet
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus_log

wait_for = controller_fleet.wait_for


@behave.given("a shared group of 3 controllers")
def shared_group(context):
    if getattr(context.feature, "fleet", None) is None:
        fleet = controller_fleet.Fleet()
        context.feature.fleet = fleet
        context.add_cleanup(fleet.close, layer="feature")
    context.fleet = context.feature.fleet
    context.leader = context.fleet.leader()
    context.routers = {}


def connect_router(context, name, **options):
    leader = context.fleet.leader()
    router = context.fleet.router(name, leader, **options)
    context.routers[name] = router
    context.add_cleanup(router.close)
    return router


def get_environment_number(context):
    _, answer = context.fleet.call(
        context.fleet.leader(), "GET", "/v1/environment"
    )
    return answer["number"]


def apply_environment(context, name):
    status, answer = context.fleet.apply(
        get_environment_number(context), name=name
    )
    assert status == 200, answer
    return answer["number"]


def list_status_rows(context, name):
    _, answer = context.fleet.call(context.leader, "GET", "/v1/status")
    return [
        row
        for row in answer["routers"]
        if row["id"] == name and row["connected"]
    ]


@behave.given('the environment "{name}" is in force')
def put_in_force(context, name):
    apply_environment(context, name)


@behave.given('a fake router "{name}" at the leader')
def connect_to_leader(context, name):
    connect_router(context, name)


@behave.given('a fake router "{name}" that the status shows')
def connect_shown_router(context, name):
    connect_router(context, name)
    wait_for(lambda: list_status_rows(context, name))


@behave.given('fake routers "{first}" and "{second}" at the leader')
@behave.when('fake routers "{first}" and "{second}" connect to the new leader')
def connect_two_routers(context, first, second):
    if not hasattr(context, "routers"):
        context.routers = {}
    for name in (first, second):
        connect_router(context, name)
    wait_for(lambda: all(context.routers[x].updates for x in (first, second)))
    date = int(time.time())
    if not hasattr(context, "key"):
        context.key = f"{date}-{secrets.token_hex(4)}"
        context.key_answers = []


@behave.when('a fake router "{name}" connects to a follower')
def connect_to_follower(context, name):
    fleet = context.fleet
    follower = next(x for x in fleet.nodes if x != context.leader)
    router = fleet.router(name, follower)
    context.routers[name] = router
    context.add_cleanup(router.close)


@behave.then(
    'the fake router "{name}" is told who leads and its connection ends'
)
def check_told_leader(context, name):
    router = context.routers[name]
    wait_for(lambda: router.ended)
    assert [item.leader for item in router.refusals] == [context.leader]


@behave.when(
    "the group restarts and a fake router connects to each controller at once"
)
def connect_during_election(context):
    fleet = context.fleet
    group.restart_all(fleet, signal.SIGKILL)

    def try_connect(node_id):
        start_ms = controller_fleet.clock_ms()
        with contextlib.suppress(OSError, AssertionError):
            return fleet.router(f"r-{node_id}", node_id), start_ms
        return None

    def connect_and_wait(node_id):
        router, start_ms = wait_for(lambda: try_connect(node_id))
        wait_for(lambda: router.updates or router.ended)
        context.early.append((router, controller_fleet.clock_ms() - start_ms))

    context.early = []
    threads = [
        threading.Thread(target=connect_and_wait, args=(node_id,))
        for node_id in fleet.nodes
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@behave.then(
    "each fake router is served, told who leads, or sent away after "
    "{limit_ms:d} ms"
)
def check_served_or_refused(context, limit_ms):
    assert len(context.early) == len(context.fleet.nodes)
    for router, waited_ms in context.early:
        leaders = [item.leader for item in router.refusals]
        assert router.updates or leaders, (
            "the connection ended without an answer"
        )
        assert router.updates or leaders[0] or waited_ms >= limit_ms, (
            leaders,
            waited_ms,
        )


@behave.when('a fake router "{name}" sends {count:d} reports 100 ms apart')
def sends_reports(context, name, count):
    router = connect_router(context, name, beats=False)
    wait_for(lambda: router.updates)
    context.sent = []
    for _ in range(count):
        time.sleep(0.1)
        update_count = len(router.updates)
        router.send_report()
        wait_for(
            lambda update_count=update_count: len(router.updates) > update_count
        )


@behave.then('each report of "{name}" was answered with its own time')
def own_time(context, name):
    router = context.routers[name]
    echoes = [item.echo_ms for item in router.updates]
    assert echoes == router.sent_ms[: len(echoes)], (echoes, router.sent_ms)
    assert len(echoes) == len(router.sent_ms)


@behave.when(
    'a fake router "{name}" reports a server and {count:d} requests one by one'
)
def report_requests_one_by_one(context, name, count):
    router = connect_router(context, name, beats=False)
    context.delays = []
    router.send_report(announcements=(controller_fleet.server(slots=64),))
    finished = ()
    for sequence in range(1, count + 1):
        start_s = time.monotonic()
        router.send_report(
            wants=(data.QueuedRequest(sequence, "ws1", "desk", "read"),),
            finished=finished,
        )
        wait_for(
            lambda sequence=sequence: len(router.grants) == sequence,
            pause_s=0.001,
        )
        grant = router.grants[-1]
        assert grant.want == sequence, grant
        context.delays.append(router.grant_times[-1] - start_s)
        finished = (
            data.FinishedRequest(
                grant.term, grant.id, data.Outcome.COMPLETED, 1.0, 1.0, 1.0
            ),
        )


@behave.then(
    'each request of "{name}" got a grant, half of them within {limit_ms:d} ms'
)
def check_grant_delays(context, name, limit_ms):
    # Grants made only at the periodic tick would take 25 ms on average.
    assert context.routers[name].grants
    median_ms = statistics.median(context.delays) * 1000
    assert median_ms < limit_ms, median_ms


@behave.when('the fake router "{name}" falls silent')
def falls_silent(context, name):
    context.routers[name].beats = False


@behave.when('the fake router "{name}" closes its connection')
def closes(context, name):
    context.routers[name].close()


def count_waiting(context):
    _, answer = context.fleet.call(context.leader, "GET", "/v1/status")
    return sum(row["waiting"] for row in answer["workspaces"])


@behave.given(
    'a fake router "{name}" with {count:d} requests for a server with 1 slot'
)
def connect_with_requests(context, name, count):
    router = connect_router(context, name)
    router.send_report(
        announcements=(controller_fleet.server(7, slots=1),),
        wants=tuple(
            data.QueuedRequest(number, "ws1", "desk", "read")
            for number in range(1, count + 1)
        ),
    )
    wait_for(lambda: count_waiting(context))


@behave.then("no request is waiting at the leader within {limit_s:d} s")
def none_waiting(context, limit_s):
    wait_for(lambda: not count_waiting(context), limit_s)


@behave.then('the status shows no router "{name}" within {limit_s:d} s')
def not_shown(context, name, limit_s):
    wait_for(lambda: not list_status_rows(context, name), limit_s)


@behave.when('a new incarnation of the fake router "{name}" connects')
def new_incarnation(context, name):
    context.old = context.routers[name]
    connect_router(context, name)


@behave.then('the old connection of "{name}" ends and the status shows it once')
def replaced(context, name):
    wait_for(lambda: context.old.ended)
    assert not context.routers[name].ended
    assert len(list_status_rows(context, name)) == 1


@behave.given(
    '{count:d} fake routers of which "{name}" does not take environments'
)
def several_routers(context, count, name):
    for number in range(count):
        node_id = f"p{number}"
        connect_router(context, node_id, confirms=node_id != name)


@behave.when('an operator applies environment "{name}"')
def operator_applies(context, name):
    context.number = apply_environment(context, name)
    context.applied_at = time.monotonic()


@behave.then(
    '{count:d} fake routers have environment "{name}" within {limit_s:d} s'
)
def have_environment(context, count, name, limit_s):
    def list_holders():
        return [
            router
            for router in context.routers.values()
            if router.number == context.number
            and router.pushes[-1].environment.name == name
        ]

    wait_for(lambda: len(list_holders()) == count, limit_s)


@behave.then(
    'the fake router "{node_id}" is sent environment "{name}" again after '
    "about 1 s"
)
def sent_again(context, node_id, name):
    router = context.routers[node_id]

    def list_pushes():
        return [item for item in router.pushes if item.environment.name == name]

    wait_for(lambda: len(list_pushes()) >= 2, 3)
    elapsed_s = time.monotonic() - context.applied_at
    assert 0.9 < elapsed_s < 2.5, elapsed_s


@behave.then('the status names only "{name}" as lagging')
def lagging(context, name):
    _, answer = context.fleet.call(context.leader, "GET", "/v1/status")
    lagging_ids = [
        row["id"]
        for row in answer["routers"]
        if row["connected"] and row["lagging"]
    ]
    assert lagging_ids == [name], answer["routers"]
    assert context.fleet.metric(context.leader, "lagging_routers") == 1


@behave.when('a fake router "{name}" connects with the number in force')
def connects_current(context, name):
    connect_router(context, name, number=get_environment_number(context))


@behave.then('the fake router "{name}" gets no environment within {time_s} s')
def no_environment(context, name, time_s):
    time.sleep(float(time_s))
    router = context.routers[name]
    assert router.updates and not router.pushes, router.pushes


@behave.when('an operator sets data centre "{node_id}" to {state}')
def set_data_centre(context, node_id, state):
    status, answer = context.fleet.change(
        "PUT",
        f"/v1/data-centres/{node_id}",
        operation=secrets.token_hex(4),
        operator="ada",
        expected=None,
        state=state,
    )
    assert status == 200, answer
    context.number = answer["number"]


@behave.then(
    'the fake router "{name}" is told drained data centres "{drained}"'
)
@behave.then('the fake router "{name}" is told drained data centres ""')
def told_drained(context, name, drained=""):
    router = context.routers[name]
    wait_for(lambda: router.number == context.number)
    expected = (drained,) if drained else ()
    assert router.pushes[-1].drained == expected, router.pushes[-1]


MALFORMED_FRAMES = {
    "no CBOR": b"\xff\x00\xff",
    "an unknown tag": cbor2.dumps(["no_such_message", {}]),
    "an unknown field": cbor2.dumps(
        ["report", {"sent_ms": 1, "environment_number": 0, "extra": 1}]
    ),
    "broken compression": b"\x78\x9c\x00\x01",
    "64 MiB when expanded": zlib.compress(bytes(64 * 1024 * 1024)),
    "a field of wrong type": cbor2.dumps(
        ["report", {"sent_ms": "soon", "environment_number": 0}]
    ),
}


@behave.when('the fake router "{name}" sends a frame of {kind}')
def sends_malformed(context, name, kind):
    context.counted = context.fleet.metric(
        context.leader, "malformed_frames_total"
    )
    context.routers[name].send_raw(MALFORMED_FRAMES[kind])


@behave.then("the leader counts one more malformed frame")
def counted_malformed(context):
    wait_for(
        lambda: (
            context.fleet.metric(context.leader, "malformed_frames_total")
            == context.counted + 1
        )
    )


@behave.when('the fake router "{name}" sends a vote request')
def sends_vote(context, name):
    context.counted = context.fleet.metric(
        context.leader, "unexpected_messages_total"
    )
    context.routers[name].send_raw(
        messages.CODEC.encode(messages.VoteRequest(99, 9, 9, False))
    )


@behave.then("the leader counts one more unexpected message")
def counted_unexpected(context):
    wait_for(
        lambda: (
            context.fleet.metric(context.leader, "unexpected_messages_total")
            == context.counted + 1
        )
    )


@behave.then('the reports of "{name}" are still answered')
def still_answered(context, name):
    router = context.routers[name]
    update_count = len(router.updates)
    wait_for(lambda: len(router.updates) > update_count)
    assert context.fleet.leader() == context.leader


# ---------------------------------------------------------------------------
# Idempotency keys
# ---------------------------------------------------------------------------

ANSWER = data.StoredAnswer(200, (), b"done")


def create_key_message(verb, key):
    request = {"workspace": "ws1", "key": key}
    digest = {"digest": "other" if verb.endswith("-other") else "same"}
    return {
        "lookup": (messages.KeyLookup, request | digest),
        "claim": (messages.KeyClaim, request | digest),
        "answer": (messages.KeyOutcome, request | {"answer": ANSWER}),
        "unknown": (messages.KeyOutcome, request | {"answer": None}),
        "release": (messages.KeyRelease, request),
    }[verb.removesuffix("-other")]


def use_key(context, name, verb, key=None):
    router = context.routers[name]
    if verb == "dies":
        router.close()
        wait_for(lambda: not list_status_rows(context, name))
        return
    kind, fields = create_key_message(verb, key or context.key)
    answer = router.ask(kind, **fields)
    context.key_answers.append(answer)
    if answer.state is data.KeyState.ANSWERED:
        assert answer.answer == ANSWER, answer


@behave.when("a key is used as: {steps}")
def use_keys(context, steps):
    context.leader = context.fleet.leader()
    for step in steps.split(","):
        use_key(context, *step.split())


@behave.when("after {time_s:f} s a key is used as: {steps}")
def use_keys_later(context, time_s, steps):
    time.sleep(time_s)
    use_keys(context, steps)


@behave.when("a key dated {ahead_s:d} s ahead is looked up and claimed")
def dated_ahead(context, ahead_s):
    key = f"{int(time.time()) + ahead_s}-ahead"
    for verb in ("lookup", "claim"):
        use_key(context, "k1", verb, key)


@behave.then("the answers about the key are: {answers}")
def key_answers(context, answers):
    states = [item.state.value for item in context.key_answers]
    assert states == answers.split(", "), states


@behave.when('"{name}" claims {count:d} keys at once')
def claims_many(context, name, count):
    fleet = context.fleet
    context.counted = fleet.metric(fleet.leader(), "syncs_total")
    router = context.routers[name]
    date = int(time.time())
    claims = [
        messages.KeyClaim(10_000 + n, "ws1", f"{date}-many{n}", "same")
        for n in range(count)
    ]
    router.send_all(claims)
    wait_for(lambda: sum(x >= 10_000 for x in router.answers) == count)


@behave.then(
    "all {count:d} keys are claimed with fewer than {syncs:d} syncs at the "
    "leader"
)
def claimed_many(context, count, syncs):
    router = context.routers["k1"]
    states = [x.state for call, x in router.answers.items() if call >= 10_000]
    assert states == [data.KeyState.CLAIMED] * count, states
    fleet = context.fleet
    sync_count = fleet.metric(fleet.leader(), "syncs_total") - context.counted
    assert sync_count < syncs, sync_count


# ---------------------------------------------------------------------------
# Large states
# ---------------------------------------------------------------------------


# Events that delay or end the service to routers; shown when a check fails.
LEADERSHIP_EVENTS = (
    "handler_failed",
    "leadership_gained",
    "leadership_lost",
    "lease_lapsed",
    "lease_renewed",
    "peer_silent",
    "peer_too_slow",
    "router_session_ended",
    "slow_sync",
    "snapshot_written",
)


# Fields of a log line that are left out when a check fails.
COMMON_FIELDS = ("level", "node", "incarnation")


def send_and_wait(context, router, items):
    router.send_all(items)
    try:
        wait_for(lambda: all(item.call in router.answers for item in items), 20)
    except AssertionError as exc:
        unanswered = sum(item.call not in router.answers for item in items)
        lines = [
            (node_id, {k: v for k, v in line.items() if k not in COMMON_FIELDS})
            for node_id in context.fleet.nodes
            for line in context.fleet.log(node_id)
            if line["event"] in LEADERSHIP_EVENTS
        ]
        raise AssertionError(
            f"{unanswered} of {len(items)} unanswered; connection ended: "
            f"{router.ended}; {lines}"
        ) from exc
    return [router.answers[item.call].state for item in items]


def create_stored_key(context, number):
    return f"{context.key}-stored{number}"


@behave.when(
    '"{name}" stores {count:d} answers of {size:d} bytes and claims '
    "{further:d} further keys"
)
def stores_answers(context, name, count, size, further):
    router = context.routers[name]
    answer = data.StoredAnswer(200, (), b"x" * size)
    keys = [create_stored_key(context, number) for number in range(count)]
    claims = [
        messages.KeyClaim(20_000 + number, "ws1", key, "same")
        for number, key in enumerate(keys)
    ]
    assert set(send_and_wait(context, router, claims)) == {
        data.KeyState.CLAIMED
    }
    outcomes = [
        messages.KeyOutcome(30_000 + number, "ws1", key, answer)
        for number, key in enumerate(keys)
    ]
    assert set(send_and_wait(context, router, outcomes)) == {
        data.KeyState.ANSWERED
    }
    for start in range(0, further, 250):
        claims = [
            messages.KeyClaim(
                40_000 + number, "ws1", f"{context.key}-more{number}", "same"
            )
            for number in range(start, min(start + 250, further))
        ]
        assert set(send_and_wait(context, router, claims)) == {
            data.KeyState.CLAIMED
        }
    wait_for(
        lambda: is_log_start_dropped(context, router),
        what="a snapshot that replaces the start of the log",
    )


def is_log_start_dropped(context, router):
    # The leader checks whether a snapshot is due when it applies an entry.
    router.ask(
        messages.KeyClaim,
        workspace="ws1",
        key=f"{context.key}-{secrets.token_hex(4)}",
        digest="same",
    )
    fleet = context.fleet
    index = fleet.metric(fleet.leader(), "snapshot_index")
    return index > consensus_log.TRAILING_ENTRIES


@behave.then("the new controller was sent a snapshot in parts")
def sent_in_parts(context):
    events = [
        line
        for node_id in context.fleet.nodes
        for line in context.fleet.log(node_id)
        if line["event"] == "large_message_sent"
    ]
    assert events and events[0]["peer"] == "c4", events
    assert events[0]["bytes"] > messages.MAX_FRAME_BYTES, events


@behave.then('"{name}" finds the {count:d} stored answers')
def finds_answers(context, name, count):
    router = context.routers[name]
    lookups = [
        messages.KeyLookup(
            50_000 + number, "ws1", create_stored_key(context, number), "same"
        )
        for number in range(count)
    ]
    states = send_and_wait(context, router, lookups)
    assert states == [data.KeyState.ANSWERED] * count, states


# ---------------------------------------------------------------------------
# Refused digests
# ---------------------------------------------------------------------------


def list_refused_digests(context):
    _, answer = context.fleet.call(context.fleet.leader(), "GET", "/v1/status")
    return answer["refused_digests"]


@behave.when(
    'the fake router "{name}" reports that digest "{digest}" crashed the '
    "server until it is refused"
)
def reports_crashes(context, name, digest):
    router = context.routers[name]
    context.crashes = 0
    deadline = time.monotonic() + 12
    while not list_refused_digests(context):
        assert time.monotonic() < deadline, context.crashes
        report_crash(router, digest, context.crashes)
        context.crashes += 1


def report_crash(router, digest, number):
    grant_count = len(router.grants)
    router.send_report(
        wants=(data.QueuedRequest(100 + number, "ws1", "desk", "read", digest),)
    )
    try:
        wait_for(lambda: len(router.grants) > grant_count, 3)
    except AssertionError:
        # The digest has been refused, or the server is still unjudged.
        return
    grant = router.grants[-1]
    finished = data.FinishedRequest(
        grant.term, grant.id, data.Outcome.CONNECTION_LOST, 0.0, 5.0, 1.0
    )
    suspect = messages.CrashSuspect(digest, grant.server_id, grant.incarnation)
    router.send_report(finished=(finished,), crash_suspects=(suspect,))
    time.sleep(0.1)
    server = controller_fleet.server(incarnation=f"after-{number}")
    router.send_report(announcements=(server,))
    time.sleep(0.2)


@behave.when(
    'the fake router "{name}" reports one crash of the server under digest'
    ' "{digest}"'
)
def reports_one_crash(context, name, digest):
    router = context.routers[name]
    number = context.crashes = getattr(context, "crashes", 0) + 1
    grant_count = len(router.grants)
    report_crash(router, digest, number)
    assert len(router.grants) == grant_count + 1, router.grants


@behave.when(
    'the leading controller is killed and "{name}" connects to the next one'
)
def follow_next_leader(context, name):
    fleet = context.fleet
    # The evidence is sent to the other controllers with a tick.
    time.sleep(0.5)
    leader = fleet.leader()
    fleet.signal(leader, signal.SIGKILL)
    router = fleet.router(name, fleet.leader(but=leader))
    context.routers[name] = router
    server = controller_fleet.server(incarnation=f"after-{context.crashes}")
    router.send_report(announcements=(server,))
    wait_for(lambda: router.number == 1)


@behave.then('the status lists the refused digest "{digest}"')
def lists_digest(context, digest):
    assert list_refused_digests(context) == [digest]


@behave.then('the digest "{digest}" is refused within {seconds:d} s')
def is_refused(context, digest, seconds):
    wait_for(lambda: list_refused_digests(context) == [digest], seconds)


@behave.then('the fake router "{name}" is told to refuse digest "{digest}"')
def told_digest(context, name, digest):
    router = context.routers[name]
    wait_for(lambda: router.pushes[-1].refused_digests == (digest,))
