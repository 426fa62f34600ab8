"""Steps for one-way cuts between controllers and failed disks."""

import json
import resource
import threading
import time

import behave

from features.support import fleet

# Longer than two election timeouts, in seconds.
NO_LEADER_S = 2.5
WAIT_S = 20
# Longer than the lease of 500 ms. Half of it after a heartbeat interval of
# 150 ms stays below the shortest election timeout of 600 ms.
SLOW_ANSWER_MS = 540


def in_force(context):
    """Returns number and name of the environment at the leader."""
    answer = context.fleet.operate("GET", "/v1/environment")
    document = json.loads(answer.body)
    return document["number"], document["environment"]["name"]


def apply(context):
    """Applies an environment under a new name and notes it."""
    context.changes = getattr(context, "changes", 0) + 1
    name = f"change-{context.changes}"
    context.fleet.apply(fleet.environment(name=name))
    context.accepted = in_force(context)
    assert context.accepted[1] == name, context.accepted


def controllers(context):
    """Returns the status of the controllers by id, or None."""
    status = context.fleet.status()
    return status and {row["id"]: row for row in status["controllers"]}


def lagging(context):
    """Returns the ids of the controllers that lag, or None."""
    rows = controllers(context)
    return rows and {name for name, row in rows.items() if row["lagging"]}


def whole(context):
    """Whether all controllers acknowledge and hold the same log."""
    rows = controllers(context)
    if not rows or lagging(context):
        return False
    return len({row["match_index"] for row in rows.values()}) == 1


@behave.given("the controllers of the fleet are whole and hold a change")
def controllers_whole(context):
    fleet.wait_until(lambda: whole(context), WAIT_S, "whole controllers")
    apply(context)
    context.leader = context.fleet.leader()
    context.follower, context.other = (
        name for name in context.fleet.controllers if name != context.leader
    )
    context.term = context.fleet.status()["term"]


def members(context, text):
    """Returns the controllers that a scenario names."""
    return {
        "the leader": {context.leader},
        "a follower": {context.follower},
        "the follower": {context.follower},
        "the followers": {context.follower, context.other},
    }[text]


@behave.when("the frames of {source} to {target} are lost")
def frames_lost(context, source, target):
    for one in members(context, source):
        for other in members(context, target):
            context.fleet.proxy.change(f"{one}-{other}", up=False)
            context.fleet.proxy.change(f"{other}-{one}", down=False)


@behave.then("the leader {outcome} and the status names {named} as lagging")
def leader_and_status(context, outcome, named):
    expected = members(context, named)
    if outcome == "changes":
        fleet.wait_until(
            lambda: context.fleet.leader() not in (None, context.leader),
            WAIT_S,
            "another leader",
        )
    fleet.wait_until(
        lambda: lagging(context) == expected, WAIT_S, f"{expected} lagging"
    )
    stayed = context.fleet.leader() == context.leader
    assert stayed == (outcome == "stays")
    if stayed:
        assert context.fleet.status()["term"] == context.term
    else:
        answer = context.fleet.operate("GET", "/v1/status", at=context.leader)
        assert answer.status != 200, answer


def log_events(context, name):
    """Returns the names of the events that a process has logged."""
    lines = context.fleet.members[name].decisions()
    return [line.get("event") for line in lines]


@behave.when(
    "answers take longer than the lease until the leader's lease lapses"
)
def lapse(context):
    context.left = log_events(context, "r1").count("leader_left")
    for name in (context.follower, context.other):
        for link in (f"{context.leader}-{name}", f"{name}-{context.leader}"):
            context.fleet.proxy.change(link, delay_ms=SLOW_ANSWER_MS // 2)
    fleet.wait_until(
        lambda: "lease_lapsed" in log_events(context, context.leader),
        WAIT_S,
        "a lapse",
    )
    context.fleet.heal()


@behave.then("the leader pauses and goes on in the same term")
def goes_on(context):
    fleet.wait_until(
        lambda: "lease_renewed" in log_events(context, context.leader),
        WAIT_S,
        "the lease again",
    )
    assert "leadership_lost" not in log_events(context, context.leader)
    assert context.fleet.status()["term"] == context.term


@behave.then("the router has kept its control connection")
def kept_connection(context):
    assert log_events(context, "r1").count("leader_left") == context.left


@behave.then("a change and a deposit are accepted meanwhile")
def accepted_meanwhile(context):
    apply(context)
    key = fleet.key(f"cut-{context.changes}")
    fleet.wait_until(lambda: deposit(context, key), WAIT_S, "a deposit")
    lines = context.runs.read_text().splitlines()
    assert sum(line.split()[-1] == key for line in lines) == 1, lines


def deposit(context, key):
    answer = context.fleet.call(
        "r1", "POST", "/booking/deposit", b"x", {"Idempotency-Key": key}
    )
    assert answer.status == 200 or "retry-after" in answer.headers, answer
    return answer.status == 200


@behave.then(
    "all controllers hold every accepted change once frames arrive again"
)
def healed(context):
    context.fleet.heal()
    assert_whole(context)


def assert_whole(context):
    fleet.wait_until(lambda: whole(context), WAIT_S, "whole controllers")
    assert in_force(context) == context.accepted, context.accepted
    numbers = {
        context.fleet.metric(name, "environment_number")
        for name in context.fleet.controllers
    }
    assert numbers == {context.accepted[0]}, numbers


@behave.when("the disk of {member} is full")
def disk_full(context, member):
    context.full = next(iter(members(context, member)))
    log = context.fleet.folder / f"{context.full}-data" / "log"
    process = context.fleet.members[context.full].process
    threading.Thread(target=keep_full, args=(process, log), daemon=True).start()


def keep_full(process, log):
    """Cuts off the next record of a log after its first bytes.

    The limit follows a log that a snapshot shortens meanwhile.
    """
    limit = resource.RLIM_INFINITY
    while process.poll() is None:
        size = log.stat().st_size + 5
        if limit == resource.RLIM_INFINITY or size < limit:
            limit = size
            resource.prlimit(
                process.pid,
                resource.RLIMIT_FSIZE,
                (limit, resource.RLIM_INFINITY),
            )
        time.sleep(0.01)


@behave.then('that controller says "{reason}" at its readyz and metrics')
def says_failed(context, reason):
    port = context.fleet.members[context.full].ports["operators"]
    answer = fleet.request(port, "GET", "/readyz")
    assert answer.status == 503 and reason in answer.body.decode(), answer
    assert context.fleet.metric(context.full, "replica_failed") == 1


@behave.then("that controller gives no vote while another one is frozen")
def gives_no_vote(context):
    healthy = [x for x in context.fleet.controllers if x != context.full]
    frozen = context.fleet.members[healthy[0]]
    frozen.freeze()

    def leads():
        # A request to the frozen controller would only wait for its time limit.
        return any(
            context.fleet.operate("GET", "/v1/status", at=x).status == 200
            for x in context.fleet.controllers
            if x != frozen.name
        )

    try:
        fleet.wait_until(lambda: not leads(), WAIT_S, "no leader")
        deadline = time.monotonic() + NO_LEADER_S
        while time.monotonic() < deadline:
            assert not leads()
            time.sleep(0.05)
    finally:
        frozen.resume()
    fleet.wait_until(context.fleet.leader, WAIT_S, "a leader")


@behave.then(
    "all controllers hold every accepted change once it restarts with space"
)
def restarted(context):
    member = context.fleet.members[context.full]
    member.terminate()
    assert member.process.wait(20) == 0
    member.start()
    assert_whole(context)
