"""Steps of the fault matrix for rollouts."""

import json
import time
import uuid

import behave

from features.support import faults
from features.support import fleet
from features.support import fleet_watch

ROUTER = "r1"
SERVICE = "booking"
DEADLINE_S = 30.0
WATCH_S = 3.0
# Time after the deadline by which a rollout has ended, in seconds.
LATE_S = 5.0
# Bound of I5 for a fault of the new version, in seconds.
BAD_BOUND_S = 10.0
# Time under observation after the outcome, in seconds.
OBSERVED_S = 3.0
PHASES = {"trial": "trial", "ramp": "ramping", "watch": "watching"}
OUTCOMES = ("done", "taken_back")
THREADS = 4
INTERVAL_S = 0.02


class _Rollout:
    """One rollout of the booking desk to a new version."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.id = f"move-{uuid.uuid4().hex[:6]}"
        self.version = f"v-{uuid.uuid4().hex[:6]}"
        self.servers = [f"{self.version}-{centre}" for centre in "ab"]
        for name in self.servers:
            cluster.add_server(
                name, SERVICE, version=self.version, data_centre=name[-1]
            )
        fleet.wait_until(self._announced, 15, "the new version's servers")

    def _announced(self):
        rows = self.cluster.status()["backend_servers"]
        return set(self.servers) <= {row["id"] for row in rows}

    def start(self):
        body = {
            "operation": str(uuid.uuid4()),
            "operator": "feature",
            "expected": None,
            "plan": {
                "id": self.id,
                "service": SERVICE,
                "version": self.version,
                "deadline_s": DEADLINE_S,
                "watch_s": WATCH_S,
            },
        }
        outcome = fleet_watch.resend(self.cluster, "POST", "/v1/rollouts", body)
        assert outcome[0] == 200, outcome
        self.started = time.monotonic()

    def fail(self):
        for name in self.servers:
            port = self.cluster.members[name].ports["requests"]
            fleet.request(port, "PUT", "/-/mode", {"errors": 1.0})

    def row(self):
        """Returns the row that the leader shows; None without a leader."""
        answer = self.cluster.operate("GET", "/v1/rollouts")
        if answer.status != 200 or not answer.whole:
            return None
        rows = json.loads(answer.body)["rollouts"]
        return next(row for row in rows if row["plan"]["id"] == self.id)

    def phase(self):
        """Returns the phase as the leader shows it; None without a leader."""
        row = self.row()
        return row and row["phase"]

    def wait_for(self, phases):
        """Waits for one of the phases and returns it.

        Raises:
          AssertionError: The rollout ended in another phase, or entered none of
            them before its deadline.
        """
        left_s = self.started + DEADLINE_S + LATE_S - time.monotonic()
        found = fleet.wait_until(
            lambda: self._passed(phases), max(left_s, 0), f"rollout {phases}"
        )
        assert found["phase"] in phases, found
        return found["phase"]

    def _passed(self, phases):
        row = self.row()
        wanted = row and row["phase"] in (*phases, *OUTCOMES)
        return row if wanted else None


def _retire(cluster, names):
    for name in names:
        cluster.members.pop(name).kill()


@behave.when(
    'the fault "{fault}" strikes a matrix rollout of a {quality} version in the'
    " {phase}"
)
def strike_rollout(context, fault, quality, phase):
    cluster = context.fleet
    old = getattr(cluster, "booking_servers", ["booking-1", "booking-2"])
    rollout = context.rollout = _Rollout(cluster)
    wait_for_repair = None
    with fleet_watch.Load(cluster, THREADS, INTERVAL_S) as context.load:
        try:
            time.sleep(1)
            rollout.start()
            rollout.wait_for((PHASES[phase],))
            if quality == "bad":
                rollout.fail()
            cluster.last_leader = cluster.leader()
            wait_for_repair = faults.strike(
                fault, cluster, ROUTER, rollout.servers[0]
            )
            context.outcome = rollout.wait_for(OUTCOMES)
            context.took_s = time.monotonic() - rollout.started
            time.sleep(OBSERVED_S)
        finally:
            if wait_for_repair is not None:
                wait_for_repair()
            faults.restore(cluster)
    kept = rollout.servers if context.outcome == "done" else old
    cluster.booking_servers = kept
    _retire(cluster, old if context.outcome == "done" else rollout.servers)


@behave.then("the matrix rollout is {outcome} by its deadline")
def ended(context, outcome):
    print(f"outcome {context.outcome} after {context.took_s:.1f} s")
    expected = {"done": "done", "taken back": "taken_back"}[outcome]
    assert context.outcome == expected, (context.outcome, context.took_s)
    assert context.took_s <= DEADLINE_S + LATE_S, context.took_s


@behave.then("no matrix request goes to the bad version after 10 s")
def bad_version_left(context):
    ends = [
        (end, answer.status)
        for _, end, _, answer, _ in context.load.calls
        if answer.headers.get("x-backend-version") == context.rollout.version
    ]
    failures = [end for end, status in ends if status == 500]
    assert failures, "no request reached the bad version"
    last = max(end for end, _ in ends)
    print(f"{len(failures)} failures in {last - min(failures):.1f} s")
    assert last - min(failures) <= BAD_BOUND_S, (last - min(failures), ends)


@behave.then("the matrix controllers show that outcome after a restart")
def outcome_kept(context):
    cluster = context.fleet
    for name in cluster.controllers:
        cluster.members[name].kill()
    for name in cluster.controllers:
        cluster.members[name].start()
    leaders = []
    for _ in range(2):
        leaders.append(
            fleet.wait_until(cluster.leader, fleet.START_TIMEOUT_S, "a leader")
        )
        phase = fleet.wait_until(
            context.rollout.phase, fleet.START_TIMEOUT_S, "the rollout"
        )
        assert phase == context.outcome, (leaders, phase)
        cluster.members[leaders[-1]].kill()
        fleet.wait_until(cluster.leader, fleet.START_TIMEOUT_S, "a leader")
        cluster.members[leaders[-1]].start()
    assert len(set(leaders)) == 2, leaders
    faults.restore(cluster)
    fleet.wait_until(cluster.in_force, 15, "the environment in force")
