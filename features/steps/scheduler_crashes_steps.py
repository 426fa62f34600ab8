"""Steps for the refusal of requests that crash backend servers."""

import collections
import dataclasses
import random

import behave

from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import crashes
from waxwingrack.operations import scheduler

STEP_MS = 20
# Interval between two announcements of a server without isolation.
ANNOUNCE_MS = 1_200
# Time that a request runs before it crashes its server or completes.
RUN_MS = 200


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


class _Server:
    """A server that comes back under another id at its address."""

    def __init__(self, number, born_ms):
        self.number = number
        self.starts = 1
        self.born_ms = born_ms
        self.sequence = 0
        self.back_ms = None
        self.renamed = True

    @property
    def server_id(self):
        return f"b{self.number}-{self.starts if self.renamed else 1}"

    def announce(self):
        """Returns the next announcement."""
        self.sequence += 1
        return data.Announcement(
            self.server_id,
            str(self.born_ms),
            data.Address("127.0.0.1", 9_000 + self.number),
            "s",
            "v1",
            "a",
            slots=8,
            born_ms=self.born_ms,
            sequence=self.sequence,
        )


class UnisolatedSimulation:
    """Servers of a service without isolation, routers and leaders in turn."""

    def __init__(self, servers):
        driver.create_scheduler(self, 100_000)
        self.policy = data.Policy(
            dataclasses.replace(
                driver.ENVIRONMENT,
                services=(
                    data.Service(
                        "s", (), "v1", isolate_suspects=False, ramp=False
                    ),
                ),
            )
        )
        self.term = 1
        self.back_after_ms = 3_000
        self.late_announcements = False
        self.sound_run_ms = RUN_MS
        # Interval between two prompts, and how many for one bad one.
        self.send_ms, self.bad_every = 100, 10
        self.renamed = True
        self.servers = [_Server(n, self.at_ms + n) for n in range(servers)]
        self.queued = {}
        self.running = {}
        self.prompts = {}
        self.completed = set()
        self.outbox = collections.defaultdict(list)
        self.recent_suspects = []
        self.delayed = []
        self.crash_times = []
        self.arrivals = []
        self.granted_ms = {}
        self.sent_ms = {}
        self.refused = set()
        driver.send_report(self, first=True)
        self.run(2_000)

    def queue_request(self, digest):
        """Queues a request."""
        self.sequence += 1
        self.queued[self.sequence] = digest
        self.sent_ms.setdefault(digest, self.at_ms)
        self.outbox["wants"].append(self._create_request(self.sequence, digest))

    def queue_prompt(self, digest, *parts):
        """Queues a request whose prompt has shared parts and one of its own."""
        self.prompts[digest] = (*parts, f"own-{digest}")
        self.queue_request(digest)

    def _create_request(self, sequence, digest):
        prompt = tuple(
            data.PromptPart(part, 100) for part in self.prompts.get(digest, ())
        )
        return driver.create_request(sequence, digest=digest, prompt=prompt)

    def holds_part(self, digest, part):
        """Tells whether the prompt of a request has a part."""
        return part in self.prompts.get(digest, ())

    def _find_server(self, server_id):
        return next(
            (row for row in self.servers if row.server_id == server_id), None
        )

    def break_connections(self, server):
        """Breaks the connections of all requests on a server."""
        for key, run in list(self.running.items()):
            if run[1] != server.server_id:
                continue
            del self.running[key]
            suspect = messages.CrashSuspect(
                run[0],
                *run[1:3],
                ran_ms=self.at_ms - run[3],
                parts=self.prompts.get(run[0], ())[:-1],
            )
            self.outbox["crash_suspects"].append(suspect)
            self.recent_suspects.append((self.at_ms, suspect))
            self._finish(key, data.Outcome.CONNECTION_LOST)

    def crash(self, server):
        """Crashes a server."""
        self.crash_times.append(self.at_ms)
        if self.late_announcements:
            late = server.announce()
            self.delayed.append((self.at_ms + 1_400, late))
        self.break_connections(server)
        server.back_ms = self.at_ms + self.back_after_ms

    def replace_leader(self, forgets=False):
        """Replaces the leader; routers report again what is recent."""
        known = crash_evidence.export_evidence(self.tables, self.at_ms)
        self.term += 1
        self.at_ms += 800
        self.tables = scheduler.create_tables(self.term, self.at_ms, (), ())
        if not forgets:
            self.tables = crash_evidence.import_evidence(
                self.tables, known, 800, self.at_ms
            )
        self.running.clear()
        wants = [
            self._create_request(sequence, digest)
            for sequence, digest in self.queued.items()
        ]
        self.outbox.clear()
        driver.send_report(
            self,
            first=True,
            wants=tuple(wants),
            announcements=tuple(
                row.announce() for row in self.servers if row.back_ms is None
            ),
        )
        self.outbox["crash_suspects"] += [
            dataclasses.replace(suspect, age_ms=self.at_ms - sent_ms)
            for sent_ms, suspect in self.recent_suspects
            if self.at_ms - sent_ms < crashes.REPEAT_REPORT_MS
        ]

    def _finish(self, key, outcome):
        self.outbox["finished"].append(
            data.FinishedRequest(*key, outcome, 50, 50, 50)
        )

    def _announce(self):
        for server in self.servers:
            server.renamed = self.renamed
            if server.back_ms is not None:
                if self.at_ms < server.back_ms:
                    continue
                server.back_ms = None
                server.starts += 1
                server.born_ms = self.at_ms
                server.sequence = 0
            elif (self.at_ms + 100 * server.number) % ANNOUNCE_MS >= STEP_MS:
                continue
            self.outbox["announcements"].append(server.announce())
        due = [row for at_ms, row in self.delayed if at_ms <= self.at_ms]
        self.delayed = [row for row in self.delayed if row[0] > self.at_ms]
        self.outbox["announcements"] += due

    def step(self):
        """Advances the time by one step."""
        self.at_ms += STEP_MS
        self._announce()
        report_fields = {
            name: tuple(rows) for name, rows in self.outbox.items()
        }
        self.outbox.clear()
        driver.send_report(self, **report_fields)
        decisions = driver.run_tick(self)
        self.refused.update(decisions.crashed_digests)
        self.refused.difference_update(decisions.released_suspects)
        self.policy = dataclasses.replace(
            self.policy, refused_digests=frozenset(self.refused)
        )
        for _, refusal, _ in decisions.refusals:
            self.queued.pop(refusal.want)
        for decision in decisions.grants:
            grant = decision.grant
            digest = self.queued.pop(grant.want)
            server = self._find_server(grant.server_id)
            if server is None or server.back_ms is not None:
                self._finish(
                    (grant.term, grant.id), data.Outcome.CONNECT_FAILED
                )
                # Its router tries again, as nothing was sent.
                self.queue_request(digest)
                continue
            self.granted_ms.setdefault(digest, self.at_ms)
            self.arrivals.append((self.at_ms, digest))
            self.running[grant.term, grant.id] = (
                digest,
                grant.server_id,
                grant.incarnation,
                self.at_ms,
            )

    def run(self, length_ms, bad=(), after_step=None):
        """Advances the time; bad digests crash, all others complete."""
        for _ in range(length_ms // STEP_MS):
            self.step()
            for key, run in list(self.running.items()):
                if key not in self.running:
                    continue
                is_bad = run[0] in bad or any(
                    self.holds_part(run[0], part) for part in bad
                )
                run_ms = RUN_MS if is_bad else self.sound_run_ms
                if self.at_ms - run[3] < run_ms:
                    continue
                if is_bad:
                    self.crash(self._find_server(run[1]))
                else:
                    del self.running[key]
                    self.completed.add(run[0])
                    self._finish(key, data.Outcome.COMPLETED)
            if after_step:
                after_step()


@behave.given(
    "a crash simulation of a service without isolation with {servers:d} servers"
)
def create_unisolated(context, servers):
    context.simulation = UnisolatedSimulation(servers)


_CASES = {
    "servers are back after 3 s": {},
    "servers are back after 8 s": {"back_after_ms": 8_000},
    "servers are back at once": {"back_after_ms": STEP_MS},
    "servers are back under the same id": {"renamed": False},
    "late announcements of crashed servers arrive": {
        "late_announcements": True
    },
}
# Numbers of the crashes after which the leader is replaced.
_LEADER_CASES = {
    "the leader is replaced after the first crash": {1},
    "the leader is replaced after the second crash": {2},
    "the leader is replaced after the third crash": {3},
    "each leader is replaced after a crash": {1, 2, 3, 4},
    "a leader that forgets is replaced after a crash": {1, 2},
    "a leader that forgets is replaced after three": {3},
}


def _prepare_case(simulation, case):
    """Applies a case; returns a function to call after each step."""
    for name, value in _CASES.get(case, {}).items():
        setattr(simulation, name, value)
    replaced_after = set(_LEADER_CASES.get(case, ()))

    def replace_leader():
        if len(simulation.crash_times) not in replaced_after:
            return
        replaced_after.discard(len(simulation.crash_times))
        if "forgets" in case:
            replaced_after.clear()
        simulation.replace_leader(forgets="forgets" in case)

    return replace_leader


@behave.when(
    '"bad" crashes each server and is sent again at once for {seconds:d} s'
    " while {case}"
)
def crash_unisolated(context, seconds, case):
    simulation = context.simulation
    replace_leader = _prepare_case(simulation, case)

    def each():
        pending = [
            *simulation.queued.values(),
            *(run[0] for run in simulation.running.values()),
        ]
        if pending.count("bad") < 2:
            simulation.queue_request("bad")
        if simulation.at_ms % 200 == 0:
            simulation.queue_request(f"sound{simulation.at_ms}")
        replace_leader()

    simulation.run(seconds * 1_000, ("bad",), each)


@behave.then(
    'at most {count:d} requests of "bad" reach a server later than'
    " {seconds:d} s after its third crash"
)
def few_arrivals(context, count, seconds):
    simulation = context.simulation
    assert len(simulation.crash_times) >= 3, simulation.crash_times
    since_ms = simulation.crash_times[2] + seconds * 1_000
    late = [
        at_ms
        for at_ms, digest in simulation.arrivals
        if digest == "bad" and at_ms > since_ms
    ]
    assert len(late) <= count, (simulation.crash_times, late)


@behave.then(
    "every sound request that was sent beside it is granted within"
    " {seconds:d} s"
)
def sound_granted(context, seconds):
    simulation = context.simulation
    late = [
        digest
        for digest, sent_ms in simulation.sent_ms.items()
        if digest.startswith("sound")
        and simulation.at_ms - sent_ms > seconds * 1_000
        and simulation.granted_ms.get(digest, simulation.at_ms) - sent_ms
        > seconds * 1_000
    ]
    assert not late, late


@behave.when(
    'the connections of "{digest}" to {count:d} servers break without a crash'
)
def break_without_crash(context, digest, count):
    simulation = context.simulation
    for _ in range(count):
        simulation.queue_request(digest)
    simulation.run(60)
    for server in simulation.servers[:count]:
        for _ in range(3):
            simulation.queue_request(digest)
        simulation.run(60)
        simulation.break_connections(server)
    simulation.sent_ms[digest] = simulation.at_ms
    simulation.granted_ms.pop(digest, None)
    simulation.queue_request(digest)
    simulation.run(8_000)


@behave.then('"{digest}" is granted within {seconds:d} s')
def granted_within(context, digest, seconds):
    simulation = context.simulation
    waited_ms = simulation.granted_ms[digest] - simulation.sent_ms[digest]
    assert waited_ms <= seconds * 1_000, waited_ms


@behave.when('{count:d} servers crash at once while each runs "{digest}"')
def crash_together_unisolated(context, count, digest):
    simulation = context.simulation
    for _ in range(4 * len(simulation.servers)):
        simulation.queue_request(digest)
    simulation.run(100)
    hosts = {run[1] for run in simulation.running.values()}
    assert len(hosts) >= count, hosts
    for server in simulation.servers[:count]:
        simulation.crash(server)
    # No other run may complete and so clear the request.
    simulation.running.clear()
    simulation.sent_ms[digest] = simulation.at_ms
    simulation.granted_ms.pop(digest, None)
    simulation.queue_request(digest)
    simulation.run(8_000)


def _send_prompts(simulation):
    """Sends a prompt when one is due; some have the part `bad`."""
    if simulation.at_ms % simulation.send_ms >= STEP_MS:
        return
    number = simulation.at_ms // simulation.send_ms
    shared = (f"system{number % 3}", f"subject{number % 41}")
    if number % simulation.bad_every == 0:
        simulation.queue_prompt(f"p{number}", shared[0], "bad", shared[1])
    else:
        simulation.queue_prompt(f"p{number}", *shared)


@behave.given(
    "prompts every {send:d} ms there, one in {every:d} of them bad, and sound"
    " ones that run for {run:d} ms"
)
def many_prompts(context, send, every, run):
    simulation = context.simulation
    simulation.send_ms, simulation.bad_every = send, every
    simulation.sound_run_ms = run


@behave.when(
    'prompts with the part "bad" are sent beside others for {seconds:d} s'
    " while {case}"
)
def send_bad_prompts(context, seconds, case):
    simulation = context.simulation
    context.since_ms = simulation.at_ms
    replace_leader = _prepare_case(simulation, case)

    def each():
        _send_prompts(simulation)
        replace_leader()

    simulation.run(seconds * 1_000, ("bad",), each)


@behave.then(
    'at most {count:d} prompts with the part "bad" reach a server later than'
    " {seconds:d} s after its fifth crash"
)
def few_prompts(context, count, seconds):
    simulation = context.simulation
    if len(simulation.crash_times) < 5:
        return
    since_ms = simulation.crash_times[4] + seconds * 1_000
    late = [
        at_ms
        for at_ms, digest in simulation.arrivals
        if simulation.holds_part(digest, "bad") and at_ms > since_ms
    ]
    assert len(late) <= count, (simulation.crash_times, late)


@behave.then(
    "at least 9 in 10 prompts without it that were sent later than"
    " {seconds:d} s are served"
)
def sound_prompts_served(context, seconds):
    simulation = context.simulation
    sound = [
        digest
        for digest, sent_ms in simulation.sent_ms.items()
        if digest in simulation.prompts
        and not simulation.holds_part(digest, "bad")
        and sent_ms > context.since_ms + 1_000 * seconds
        and simulation.at_ms - sent_ms > 2_000
    ]
    served = [digest for digest in sound if digest in simulation.completed]
    assert len(sound) >= 100, len(sound)
    assert len(served) >= 0.9 * len(sound), (len(served), len(sound))


@behave.when("{minutes:d} minutes pass")
def minutes_pass(context, minutes):
    simulation = context.simulation
    simulation.run(60_000 * minutes)
    assert not simulation.refused, simulation.refused


@behave.when('prompts with the part "bad" are sent again until one crashes')
def send_until_crash(context):
    simulation = context.simulation
    crashes_before = len(simulation.crash_times)
    while len(simulation.crash_times) == crashes_before:
        simulation.queue_prompt(f"later{simulation.sequence}", "system0", "bad")
        simulation.run(400, ("bad",))


@behave.then('the scheduler refuses the part "bad" within {seconds:d} s')
def refuses_part(context, seconds):
    simulation = context.simulation
    simulation.run(1_000 * seconds)
    assert simulation.refused == {"part:bad"}, simulation.refused


@behave.when(
    'all servers crash at once while they run prompts with the part "{part}"'
)
def crash_all(context, part):
    simulation = context.simulation
    for number in range(4 * len(simulation.servers)):
        simulation.queue_prompt(f"first{number}", part)
    simulation.run(100)
    for server in simulation.servers:
        simulation.crash(server)
    simulation.running.clear()
    simulation.queue_prompt("next", part)
    simulation.run(10_000)


@behave.then('a prompt with the part "{part}" is granted within {seconds:d} s')
def part_granted(context, part, seconds):
    simulation = context.simulation
    assert simulation.holds_part("next", part)
    waited_ms = simulation.granted_ms["next"] - simulation.sent_ms["next"]
    assert waited_ms <= 1_000 * seconds, waited_ms
