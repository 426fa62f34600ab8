"""Steps for the refusal of requests that crash backend servers."""

import collections
import random

import behave

from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.operations import crashes

STEP_MS = 20


class CrashSimulation:
    """A scheduler with servers that can crash, in simulated time."""

    def __init__(self, servers, slots):
        driver.create_scheduler(self, 100_000)
        self.slots = slots
        self.rng = random.Random(3)
        self.incarnations = {f"b{number}": 1 for number in range(servers)}
        self.down = {}
        self.departing = set()
        self.queued = {}
        self.running = {}
        self.outbox = collections.defaultdict(list)
        self.grants = []
        self.refused = set()
        self.refusals = []
        self.crashes = 0
        self.completed = collections.Counter()
        driver.send_report(self, first=True)
        self.run(3_000)

    def queue_request(self, digest):
        """Queues a request."""
        self.sequence += 1
        self.queued[self.sequence] = digest
        self.outbox["wants"].append(
            driver.create_request(self.sequence, digest=digest)
        )

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
        """Breaks every connection to a server and returns the digests."""
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
        """Crashes a server until a time has passed; returns the digests."""
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
                driver.create_announcement(
                    server_id,
                    str(self.incarnations[server_id]),
                    self.slots,
                    departing=server_id in self.departing,
                )
            )
        report_fields = {
            name: tuple(rows) for name, rows in self.outbox.items()
        }
        self.outbox.clear()
        driver.send_report(self, **report_fields)
        decisions = driver.run_tick(self, self.rng)
        self.refused.update(decisions.crashed_digests)
        for _, refusal, _ in decisions.refusals:
            digest = self.queued.pop(refusal.want)
            self.refusals.append((digest, refusal.kind))
        for decision in decisions.grants:
            grant = decision.grant
            digest = self.queued.pop(grant.want)
            self.grants.append((self.at_ms, digest, grant.server_id))
            self.running[(grant.term, grant.id)] = (
                digest,
                grant.server_id,
                self.at_ms,
            )
            if grant.server_id in self.down:
                self.finish((grant.term, grant.id), data.Outcome.CONNECT_FAILED)

    def run(self, length_ms, after_step=None):
        """Advances the time."""
        for _ in range(length_ms // STEP_MS):
            self.step()
            if after_step:
                after_step()

    def run_until_granted(self, digest):
        """Runs until a digest is granted and returns the key of the grant."""
        for _ in range(1_000):
            for key, run in self.running.items():
                if run[0] == digest:
                    return key
            self.step()
        raise AssertionError(f"{digest} was not granted")


@behave.given("a crash simulation with {servers:d} servers of {slots:d} slots")
def create_crash_simulation(context, servers, slots):
    context.simulation = CrashSimulation(servers, slots)


@behave.when('the digest "{digest}" undergoes "{what}" in the crash simulation')
def undergo(context, digest, what):
    simulation = context.simulation
    for word in what.split():
        if word == "expiry":
            simulation.run(crashes.EVIDENCE_LIFETIME_MS + 5_000)
            continue
        simulation.queue_request(digest)
        key = simulation.run_until_granted(digest)
        simulation.run(100)
        server_id = simulation.running[key][1]
        if word == "complete":
            simulation.finish(key, data.Outcome.COMPLETED)
        elif word == "break":
            simulation.break_all(server_id)
        elif word == "crash":
            simulation.crash(server_id)
        elif word == "silence":
            simulation.crash(server_id, back_ms=30_000)
        elif word == "departure":
            simulation.departing.add(server_id)
            simulation.run(1_100)
            simulation.crash(server_id, back_ms=10**9)
        simulation.run(6_000)


@behave.then('the scheduler refuses "{digests}"')
def refuses(context, digests):
    expected = set(digests.split()) - {"nothing"}
    assert context.simulation.refused == expected, context.simulation.refused


def _run_beside_crashes(simulation, bad, seconds):
    """Runs innocent requests beside bad ones that crash their servers.

    A caller whose request is lost sends it again at once.
    """
    innocent_digests = [f"innocent{number}" for number in range(10)]
    queued_digests = set()

    def is_pending(digest):
        return digest in simulation.queued.values() or any(
            run[0] == digest for run in simulation.running.values()
        )

    def each():
        for digest in [*innocent_digests, *bad]:
            refused = any(entry[0] == digest for entry in simulation.refusals)
            if digest in innocent_digests and simulation.completed[digest]:
                continue
            if not refused and not is_pending(digest):
                simulation.queue_request(digest)
                queued_digests.add(digest)
        for key, (digest, server_id, at_ms) in list(simulation.running.items()):
            if key not in simulation.running:
                continue
            if digest in bad and simulation.at_ms - at_ms >= 200:
                simulation.crash(server_id)
            elif digest not in bad and simulation.at_ms - at_ms >= 600:
                simulation.finish(key, data.Outcome.COMPLETED)

    simulation.run(seconds * 1_000, each)


@behave.when(
    'the digest "bad" crashes each server that runs it while "innocent"'
    " requests run and are sent again"
)
def crash_each(context):
    _run_beside_crashes(context.simulation, ["bad"], 30)


@behave.when(
    '{count:d} different digests crash their servers while "innocent"'
    " requests run and are sent again"
)
def crash_many(context, count):
    _run_beside_crashes(
        context.simulation, [f"bad{n}" for n in range(count)], 60
    )


@behave.then("at most {count:d} servers crashed")
def at_most_crashed(context, count):
    assert 1 <= context.simulation.crashes <= count, context.simulation.crashes


@behave.then("every innocent request completed")
def innocent_completed(context):
    done = {
        digest
        for digest in context.simulation.completed
        if digest.startswith("innocent")
    }
    assert len(done) == 10, done


@behave.then("the scheduler refuses no innocent request")
def refuses_no_innocent(context):
    innocent_completed(context)
    refused = {
        digest
        for digest in context.simulation.refused
        if digest.startswith("innocent")
    }
    assert not refused, refused
    assert context.simulation.refused, "no bad request was refused"


@behave.when(
    '{count:d} servers crash at once while each runs "{digest}" beside other'
    " requests"
)
def crash_together(context, count, digest):
    simulation = context.simulation
    # Completes requests first, so that each server's slot limit grows.
    for number in range(200):
        simulation.queue_request(f"warm{number}")

    def complete():
        for key, run in list(simulation.running.items()):
            if run[0].startswith("warm"):
                simulation.finish(key, data.Outcome.COMPLETED)

    simulation.run(4_000, complete)
    for number in range(24):
        simulation.queue_request(digest if number % 2 else f"other{number}")
    simulation.run(100)
    hosts = [
        server_id
        for server_id in simulation.incarnations
        if {digest}
        < {run[0] for run in simulation.running.values() if run[1] == server_id}
    ]
    assert len(hosts) >= count, simulation.running
    for server_id in hosts[:count]:
        simulation.crash(server_id)
    simulation.run(6_000)


@behave.when(
    'the digest "{digest}" crashes each server at once and is sent again at'
    " once up to {times:d} times"
)
def resend_fast(context, digest, times):
    simulation = context.simulation
    context.since_ms = simulation.at_ms
    simulation.queue_request(digest)
    sent = [1]

    def each():
        for key in list(simulation.running):
            if key in simulation.running:
                simulation.crash(simulation.running[key][1], back_ms=5_000)
                if sent[0] < times:
                    sent[0] += 1
                    simulation.queue_request(digest)

    simulation.run(3_000, each)


@behave.then(
    'at most {count:d} grants were given to "{digest}" within {seconds:d} s'
)
def few_grants(context, count, digest, seconds):
    grants = [
        entry
        for entry in context.simulation.grants
        if entry[1] == digest and entry[0] - context.since_ms <= seconds * 1_000
    ]
    assert 1 <= len(grants) <= count, grants


@behave.when('the policy refuses "bad" while "bad" and "good" wait')
def policy_refuses(context):
    simulation = context.simulation
    simulation.policy = data.Policy(
        driver.ENVIRONMENT, refused_digests=frozenset(("bad",))
    )
    for digest in ("bad", "good", "bad", "good"):
        simulation.queue_request(digest)
    simulation.run(100)


@behave.then(
    'the queued requests of "bad" are refused as request_crashes_servers'
)
def wants_refused(context):
    kind = errors.ErrorKind.REQUEST_CRASHES_SERVERS
    assert context.simulation.refusals == [("bad", kind), ("bad", kind)]


@behave.then('the queued requests of "good" are granted')
def wants_granted(context):
    granted = [digest for _, digest, _ in context.simulation.grants]
    assert granted == ["good", "good"], granted


@behave.when(
    'the digest "{digest}" breaks a connection and is sent again at once'
)
def break_and_resend(context, digest):
    simulation = context.simulation
    simulation.queue_request(digest)
    key = simulation.run_until_granted(digest)
    simulation.break_all(simulation.running[key][1])
    context.since_ms = simulation.at_ms
    simulation.queue_request(digest)
    simulation.run(8_000)


@behave.then('"{digest}" is granted again after {low:d} s to {high:d} s')
def granted_again(context, digest, low, high):
    waits = [
        at_ms - context.since_ms
        for at_ms, name, _ in context.simulation.grants
        if name == digest and at_ms > context.since_ms
    ]
    assert len(waits) == 1, waits
    assert low * 1_000 <= waits[0] <= high * 1_000, waits
