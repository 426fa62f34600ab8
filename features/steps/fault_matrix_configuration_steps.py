"""Steps of the fault matrix for configuration changes."""

import json
import threading
import time
import uuid

import behave

from features.support import faults
from features.support import fleet
from features.support import fleet_watch

ROUTER = "r1"
SERVER = "booking-1"
PATH = "/v1/environment"
# Delay of the controllers' links while a change is proposed, so that a fault
# can strike between the request and its commit.
PROPOSAL_DELAY_MS = 100
STRIKE_AFTER_S = 0.1
IN_FORCE_S = 9.0


class _Change:
    """One operator's change that adds a workspace."""

    def __init__(self, cluster, expected, operator):
        self.cluster = cluster
        self.workspace = f"w{uuid.uuid4().hex[:8]}"
        self.body = {
            "operation": str(uuid.uuid4()),
            "operator": operator,
            "expected": expected,
            "environment": fleet.environment(
                {"w1": 1, "w2": 1, self.workspace: 1}
            ),
        }
        self.outcome = None

    def send(self, first_at=None):
        self.outcome = fleet_watch.resend(
            self.cluster, "PUT", PATH, self.body, first_at
        )
        return self.outcome


def _begin(context):
    cluster = context.fleet
    context.number = fleet.wait_until(
        cluster.in_force, 15, "the environment in force"
    )
    cluster.last_leader = cluster.leader()
    for link in cluster.proxy.links:
        if link.startswith("c"):
            cluster.proxy.change(link, delay_ms=PROPOSAL_DELAY_MS)
    return cluster


def _strike(context, fault):
    context.wait_for_repair = faults.strike(
        fault, context.fleet, ROUTER, SERVER
    )


def _repair(context):
    context.wait_for_repair()
    faults.restore(context.fleet)
    context.repaired = time.monotonic()


def _run_cell(context, cell):
    """Runs a cell under observation until the fleet has settled."""
    context.wait_for_repair = lambda: None
    cluster = _begin(context)
    with fleet_watch.NumberWatch(cluster) as context.watch:
        try:
            cell(cluster)
        finally:
            _repair(context)
        context.settled = fleet.wait_until(
            cluster.in_force,
            IN_FORCE_S,
            "the newest number in force at every running router",
        )
        # Restarted processes are observed as well, up to the newest number.
        fleet.wait_until(
            lambda: (
                not context.watch.missing(context.settled, context.repaired)
            ),
            IN_FORCE_S,
            "the newest number shown by every process",
        )


@behave.when(
    'the fault "{fault}" strikes a matrix configuration change at step {step}'
)
def strike_change(context, fault, step):
    def cell(cluster):
        change = context.change = _Change(cluster, context.number, "feature")
        sending = threading.Thread(target=change.send)
        sending.start()
        if step == "proposed":
            time.sleep(STRIKE_AFTER_S)
            _strike(context, fault)
        sending.join(30)
        if step == "in_force":
            fleet.wait_until(cluster.in_force, IN_FORCE_S, "in force")
        if step != "proposed":
            _strike(context, fault)

    _run_cell(context, cell)


@behave.when('the fault "{fault}" strikes a matrix race of two operators')
def strike_race(context, fault):
    def cell(cluster):
        context.race = [
            _Change(cluster, context.number, name) for name in ("asha", "bako")
        ]
        threads = [threading.Thread(target=c.send) for c in context.race]
        for thread in threads:
            thread.start()
        time.sleep(STRIKE_AFTER_S)
        _strike(context, fault)
        for thread in threads:
            thread.join(30)

    _run_cell(context, cell)


@behave.when('the fault "{fault}" strikes a matrix change with a lost answer')
def strike_lost_answer(context, fault):
    def cell(cluster):
        change = context.change = _Change(cluster, context.number, "feature")
        fleet_watch.send_and_cut(
            cluster, cluster.last_leader, "PUT", PATH, change.body
        )
        time.sleep(STRIKE_AFTER_S)
        _strike(context, fault)
        other = next(
            name for name in cluster.controllers if name != cluster.last_leader
        )
        first = change.send(first_at=other)
        second = change.send(first_at=other)
        assert first == second, (first, second)

    _run_cell(context, cell)


@behave.then("the matrix change is kept and the number grew by one")
def change_kept(context):
    _check_kept(context, context.change)


@behave.then("the matrix race has one winner that the loser's answer names")
def one_winner(context):
    outcomes = [change.outcome for change in context.race]
    assert all(outcomes), "an operator got no outcome"
    winners = [c for c in context.race if c.outcome[1]["accepted"]]
    losers = [c for c in context.race if not c.outcome[1]["accepted"]]
    assert len(winners) == 1, outcomes
    assert losers[0].outcome[0] == 409, outcomes
    winner = winners[0].body["operator"]
    assert losers[0].outcome[1]["winner"] == winner, outcomes
    _check_kept(context, winners[0])


def _check_kept(context, change):
    assert change.outcome is not None, "the operator got no outcome"
    status, outcome = change.outcome
    assert status == 200 and outcome["accepted"], change.outcome
    assert outcome["number"] == context.number + 1, change.outcome
    shown = json.loads(context.fleet.operate("GET", PATH).body)
    assert shown["number"] == context.number + 1, shown["number"]
    names = [row["id"] for row in shown["environment"]["workspaces"]]
    assert change.workspace in names, names
    assert context.settled == context.number + 1, context.settled


@behave.then("no matrix process has shown a lower number than before")
def no_decrease(context):
    assert context.watch.samples, "no sample"
    assert not context.watch.decreases, context.watch.decreases
