"""Steps for the crash guard of the scheduler."""

import collections
import random

import behave

from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.operations import crashes

STEP_MS = 20


class Guard:
    """A scheduler with servers that can crash, in simulated time."""

    def __init__(self, servers, slots):
        driver.create(self, 100_000)
        self.slots = slots
        self.rng = random.Random(3)
        self.incarnations = {f"b{number}": 1 for number in range(servers)}
        self.down = {}
        self.departing = set()
        self.wants = {}
        self.running = {}
        self.outbox = collections.defaultdict(list)
        self.grants = []
        self.refused = set()
        self.refusals = []
        self.crashes = 0
        self.completed = collections.Counter()
        driver.report(self, first=True)
        self.run(3_000)

    def want(self, digest):
        """Queues a request."""
        self.sequence += 1
        self.wants[self.sequence] = digest
        self.outbox["wants"].append(driver.want(self.sequence, digest=digest))

    def finish(self, key, outcome):
        """Ends a running request."""
        digest, server_id, _ = self.running.pop(key)
        self.outbox["finished"].append(
            data.FinishedRequest(*key, outcome, 50, 50, 50)
        )
        if outcome is data.Outcome.COMPLETED:
            self.completed[digest] += 1
        return digest, server_id

    def break_all(self, server_id):
        """Breaks every connection to a server."""
        lost = [key for key, run in self.running.items() if run[1] == server_id]
        digests = []
        for key in lost:
            digest, _ = self.finish(key, data.Outcome.CONNECTION_LOST)
            digests.append(digest)
            self.outbox["crash_suspects"].append(
                messages.CrashSuspect(
                    digest, server_id, str(self.incarnations[server_id])
                )
            )
        return digests

    def crash(self, server_id, back_ms=1_500):
        """Crashes a server, which comes back after a time."""
        self.crashes += 1
        digests = self.break_all(server_id)
        self.down[server_id] = self.at_ms + back_ms
        return digests

    def step(self):
        """Advances the time by one step."""
        self.at_ms += STEP_MS
        for number, server_id in enumerate(self.incarnations):
            if server_id in self.down:
                if self.at_ms < self.down[server_id]:
                    continue
                del self.down[server_id]
                self.incarnations[server_id] += 1
            elif (self.at_ms + number * 100) % 1_000 >= STEP_MS:
                continue
            self.outbox["announcements"].append(
                driver.announcement(
                    server_id,
                    str(self.incarnations[server_id]),
                    self.slots,
                    departing=server_id in self.departing,
                )
            )
        fields = {name: tuple(rows) for name, rows in self.outbox.items()}
        self.outbox.clear()
        driver.report(self, **fields)
        decisions = driver.tick(self, self.rng)
        self.refused.update(decisions.crashed_digests)
        for _, refusal, _ in decisions.refusals:
            digest = self.wants.pop(refusal.want)
            self.refusals.append((digest, refusal.kind))
        for decision in decisions.grants:
            grant = decision.grant
            digest = self.wants.pop(grant.want)
            self.grants.append((self.at_ms, digest, grant.server_id))
            self.running[(grant.term, grant.id)] = (
                digest,
                grant.server_id,
                self.at_ms,
            )
            if grant.server_id in self.down:
                self.finish((grant.term, grant.id), data.Outcome.CONNECT_FAILED)

    def run(self, length_ms, each=None):
        """Advances the time."""
        for _ in range(length_ms // STEP_MS):
            self.step()
            if each:
                each()

    def until_granted(self, digest):
        """Waits for the grant of a digest and returns its key."""
        for _ in range(1_000):
            for key, run in self.running.items():
                if run[0] == digest:
                    return key
            self.step()
        raise AssertionError(f"{digest} was not granted")


@behave.given("a crash guard with {servers:d} servers of {slots:d} slots")
def crash_guard(context, servers, slots):
    context.guard = Guard(servers, slots)


@behave.when('the digest "{digest}" undergoes "{what}" at the crash guard')
def undergo(context, digest, what):
    guard = context.guard
    for word in what.split():
        if word == "expiry":
            guard.run(crashes.EVIDENCE_LIFETIME_MS + 5_000)
            continue
        guard.want(digest)
        key = guard.until_granted(digest)
        guard.run(100)
        server_id = guard.running[key][1]
        if word == "complete":
            guard.finish(key, data.Outcome.COMPLETED)
        elif word == "break":
            guard.break_all(server_id)
        elif word == "crash":
            guard.crash(server_id)
        elif word == "silence":
            guard.crash(server_id, back_ms=30_000)
        elif word == "departure":
            guard.departing.add(server_id)
            guard.run(1_100)
            guard.crash(server_id, back_ms=10**9)
        guard.run(6_000)


@behave.then('the crash guard refuses "{digests}"')
def refuses(context, digests):
    expected = set(digests.split()) - {"nothing"}
    assert context.guard.refused == expected, context.guard.refused


def _play(guard, bad, seconds):
    """Runs innocent requests beside bad ones that crash their servers.

    Whoever sent a request that was lost sends it again at once.
    """
    innocent = [f"innocent{number}" for number in range(10)]
    wanted = set()

    def waiting(digest):
        return digest in guard.wants.values() or any(
            run[0] == digest for run in guard.running.values()
        )

    def each():
        for digest in [*innocent, *bad]:
            refused = any(entry[0] == digest for entry in guard.refusals)
            if digest in innocent and guard.completed[digest]:
                continue
            if not refused and not waiting(digest):
                guard.want(digest)
                wanted.add(digest)
        for key, (digest, server_id, at_ms) in list(guard.running.items()):
            if key not in guard.running:
                continue
            if digest in bad and guard.at_ms - at_ms >= 200:
                guard.crash(server_id)
            elif digest not in bad and guard.at_ms - at_ms >= 600:
                guard.finish(key, data.Outcome.COMPLETED)

    guard.run(seconds * 1_000, each)


@behave.when(
    'the digest "bad" crashes each server that runs it while "innocent"'
    " requests run and are sent again"
)
def crash_each(context):
    _play(context.guard, ["bad"], 30)


@behave.when(
    '{count:d} different digests crash their servers while "innocent"'
    " requests run and are sent again"
)
def crash_many(context, count):
    _play(context.guard, [f"bad{n}" for n in range(count)], 60)


@behave.then("at most {count:d} servers crashed")
def at_most_crashed(context, count):
    assert 1 <= context.guard.crashes <= count, context.guard.crashes


@behave.then("every innocent request completed")
def innocent_completed(context):
    done = {
        digest
        for digest in context.guard.completed
        if digest.startswith("innocent")
    }
    assert len(done) == 10, done


@behave.then("the crash guard refuses no innocent request")
def refuses_no_innocent(context):
    innocent_completed(context)
    refused = {
        digest
        for digest in context.guard.refused
        if digest.startswith("innocent")
    }
    assert not refused, refused
    assert context.guard.refused, "no bad request was refused"


@behave.when(
    '{count:d} servers crash at once while each runs "{digest}" beside other'
    " requests"
)
def crash_together(context, count, digest):
    guard = context.guard
    # Warms the servers up, so that each takes several requests.
    for number in range(200):
        guard.want(f"warm{number}")

    def complete():
        for key, run in list(guard.running.items()):
            if run[0].startswith("warm"):
                guard.finish(key, data.Outcome.COMPLETED)

    guard.run(4_000, complete)
    for number in range(24):
        guard.want(digest if number % 2 else f"other{number}")
    guard.run(100)
    hosts = [
        server_id
        for server_id in guard.incarnations
        if {digest}
        < {run[0] for run in guard.running.values() if run[1] == server_id}
    ]
    assert len(hosts) >= count, guard.running
    for server_id in hosts[:count]:
        guard.crash(server_id)
    guard.run(6_000)


@behave.when(
    'the digest "{digest}" crashes each server at once and is sent again at'
    " once up to {times:d} times"
)
def resend_fast(context, digest, times):
    guard = context.guard
    context.since_ms = guard.at_ms
    guard.want(digest)
    sent = [1]

    def each():
        for key in list(guard.running):
            if key in guard.running:
                guard.crash(guard.running[key][1], back_ms=5_000)
                if sent[0] < times:
                    sent[0] += 1
                    guard.want(digest)

    guard.run(3_000, each)


@behave.then(
    'at most {count:d} grants were given to "{digest}" within {seconds:d} s'
)
def few_grants(context, count, digest, seconds):
    found = [
        entry
        for entry in context.guard.grants
        if entry[1] == digest and entry[0] - context.since_ms <= seconds * 1_000
    ]
    assert 1 <= len(found) <= count, found


@behave.when('the policy refuses "bad" while "bad" and "good" wait')
def policy_refuses(context):
    guard = context.guard
    guard.policy = data.Policy(
        driver.ENVIRONMENT, refused_digests=frozenset(("bad",))
    )
    for digest in ("bad", "good", "bad", "good"):
        guard.want(digest)
    guard.run(100)


@behave.then('the wants of "bad" are refused as request_crashes_servers')
def wants_refused(context):
    kind = errors.ErrorKind.REQUEST_CRASHES_SERVERS
    assert context.guard.refusals == [("bad", kind), ("bad", kind)]


@behave.then('the wants of "good" are granted')
def wants_granted(context):
    granted = [digest for _, digest, _ in context.guard.grants]
    assert granted == ["good", "good"], granted


@behave.when(
    'the digest "{digest}" breaks a connection and is sent again at once'
)
def break_and_resend(context, digest):
    guard = context.guard
    guard.want(digest)
    key = guard.until_granted(digest)
    guard.break_all(guard.running[key][1])
    context.since_ms = guard.at_ms
    guard.want(digest)
    guard.run(8_000)


@behave.then('"{digest}" is granted again after {low:d} s to {high:d} s')
def granted_again(context, digest, low, high):
    waits = [
        at_ms - context.since_ms
        for at_ms, name, _ in context.guard.grants
        if name == digest and at_ms > context.since_ms
    ]
    assert len(waits) == 1, waits
    assert low * 1_000 <= waits[0] <= high * 1_000, waits
