"""Seeded random runs of the consensus replica with its state machine.

Messages are lost, delayed, reordered and duplicated; links are cut in one or
both directions; processes crash before and after each write, freeze, wait for
busy disks and lose disks; members change; operators race and resend; routers
claim keys.

    python features/steps/replication_simulation.py --first 1 --seeds 100
"""

import argparse
import collections
import pathlib
import random
import sys
import time
from unittest import mock

if __name__ == "__main__":
    here = pathlib.Path(__file__).resolve().parent
    sys.path[:0] = [str(here), str(here.parent.parent)]

import replication_cluster as cluster_module

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import consensus
from waxwingrack.operations import consensus_log

# Rates of the clocks; the lease must tolerate this drift.
CLOCK_RATES = (0.97, 1.0, 1.03)
# Factor of the fault rates; with more faults too few entries are committed.
INTENSITIES = (0.1, 0.2, 0.4, 1.0)
CUT_INTENSITIES = (0.2, 1.0, 2.0)
# Probability of a proposal in a step, drawn anew at times. Overlapping leases
# can show only in quiet times: a busy leader learns of a later term at once,
# and a follower that was cut off has missed entries and is not elected.
LOADS = (0.0, 0.0, 0.1, 0.4, 0.6)
# Time for which a cut between two nodes stays without other faults.
QUIET_MS = 2_000
HEAL_MS = 12_000


def environment(
    version: str = "v1",
    rollouts: tuple[data.RolloutPlan, ...] = (),
    services: tuple[str, ...] = ("s",),
    retention_s: float = 5.0,
) -> data.Environment:
    """Returns a small document."""
    return data.Environment(
        name="test",
        workspaces=(data.Workspace("w", 1.0, ()),),
        services=tuple(data.Service(s, (), version) for s in services),
        data_centres=(data.DataCentre("dc1", "r"), data.DataCentre("dc2", "r")),
        rollouts=rollouts,
        key_retention_s=retention_s,
    )


class Simulation:
    """One random run.

    Attributes:
      cluster: The group.
      counts: How often each kind of event happened.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(f"simulation {seed}")
        self.cluster = cluster_module.Cluster(("a", "b", "c"), seed)
        self.counts = collections.Counter()
        self._serial = 0
        self._operations = []
        self._quiet_until_ms = 0
        self._down: dict[str, int] = {}
        self._healing_ms = 0
        self._lost = ""
        self._next_node = 0
        self._intensity = self.rng.choice(INTENSITIES)
        self._cut_intensity = self.rng.choice(CUT_INTENSITIES)
        self._load_rate = self.rng.choice(LOADS)
        for node in self.cluster.nodes.values():
            node.rate = self.rng.choice(CLOCK_RATES)

    def run(self, steps: int) -> None:
        """Runs a number of steps with faults, then heals and checks."""
        cluster = self.cluster
        # The group forms without faults: losing a disk before the first
        # leader is elected needs a new start by the operators.
        assert cluster.run_until(lambda: cluster.leader(), HEAL_MS)
        cluster.run(1_000)
        cluster.delay_ms = (1, 60)
        for _ in range(steps):
            self._faults()
            self._load()
            cluster.turn()
        self._heal()

    # -- faults ----------------------------------------------------------

    def _chance(self, probability: float) -> bool:
        return self.rng.random() < probability

    def _fault(self, probability: float) -> bool:
        return self._chance(probability * self._intensity)

    def _faults(self) -> None:
        cluster = self.cluster
        if cluster.now_ms < self._quiet_until_ms:
            return
        if self._chance(0.01):
            self._load_rate = self.rng.choice(LOADS)
        if self._fault(0.004):
            cluster.loss = self.rng.choice((0.0, 0.0, 0.05, 0.3))
            cluster.duplicates = self.rng.choice((0.0, 0.1, 0.3))
            cluster.delay_ms = (1, self.rng.choice((1, 20, 100, 400)))
        if self._chance(0.006 * self._cut_intensity):
            self._cut()
        if self._chance(0.01):
            cluster.cuts.clear()
        running = [node for node in cluster.nodes.values() if node.replica]
        if running and self._fault(0.015):
            node = self._victim(running)
            node.crash_at = self.rng.choice(cluster_module.CRASH_POINTS)
            self.counts["crash"] += 1
        if running and self._fault(0.004):
            node = self._victim(running)
            pause_ms = self.rng.randint(100, 2_000)
            node.frozen_until_ms = cluster.now_ms + pause_ms
            self.counts["freeze"] += 1
        if running and self._chance(0.01):
            node = self._victim(running)
            busy_ms = self.rng.randint(50, 1_500)
            node.disk_busy_until_ms = cluster.now_ms + busy_ms
            if self._chance(0.2):
                # It ends before anything that waits for the disk is written.
                node.crash_at = "before_write"
            self.counts["busy disk"] += 1
        self._restart()
        self._lose_and_repair(running)

    def _victim(self, running):
        leaders = [
            node
            for node in running
            if node.replica
            and node.replica.role is consensus.ReplicaRole.LEADER
        ]
        if leaders and self._chance(0.5):
            return self.rng.choice(leaders)
        return self.rng.choice(running)

    def _cut(self) -> None:
        self.counts["cut"] += 1
        nodes = sorted(self.cluster.nodes)
        sender, receiver = self.rng.sample(nodes, 2)
        leader = self.cluster.leader()
        if leader and leader != receiver and self._chance(0.6):
            sender = leader
        kind = self.rng.choice(("one_way", "both", "off", "deaf", "mute"))
        if kind == "off":
            self.cluster.cut_off(sender)
        elif kind == "deaf":
            self.cluster.cuts |= {(other, sender) for other in nodes}
        elif kind == "mute":
            self.cluster.cuts |= {(sender, other) for other in nodes}
        else:
            self.cluster.cuts.add((sender, receiver))
            if kind == "both":
                self.cluster.cuts.add((receiver, sender))
                self._load_rate = 0.0
                self._quiet_until_ms = self.cluster.now_ms + QUIET_MS

    def _restart(self) -> None:
        cluster = self.cluster
        for node_id, node in cluster.nodes.items():
            if node.replica is not None:
                continue
            pause_ms = self.rng.randint(0, 2_000)
            due_ms = self._down.setdefault(node_id, cluster.now_ms + pause_ms)
            if cluster.now_ms >= due_ms:
                del self._down[node_id]
                cluster.start(node_id)

    def _lose_and_repair(self, running) -> None:
        """Loses a disk now and then, and replaces the node by a new one."""
        cluster = self.cluster
        if not self._lost:
            if self._chance(0.001) and len(running) == 3:
                self._lost = self.rng.choice(running).id
                cluster.lose_disk(self._lost)
                if self._chance(0.5):
                    cluster.cut_off(self._victim(running).id)
                self.counts["disk lost"] += 1
            return
        leader = cluster.leader()
        if leader is None or not self._chance(0.05):
            return
        members = cluster.nodes[leader].replica.members
        keep = tuple(item for item in members if item != self._lost)
        fresh = [i for i in cluster.nodes if i not in members]
        if self._lost not in members:
            # Routers of the deployment no longer reach the old node.
            cluster.stop(self._lost)
            del cluster.nodes[self._lost]
            self._down.pop(self._lost, None)
            self._lost = ""
            self.counts["repair"] += 1
        elif fresh:
            self._change(leader, (*members, fresh[0]))
        elif len(members) > 3:
            self._change(leader, keep)
        else:
            self._next_node += 1
            rate = self.rng.choice(CLOCK_RATES)
            cluster.add(f"n{self._next_node}", members, rate)

    def _change(self, leader: str, members: tuple[str, ...]) -> None:
        event = consensus.ProposeMembers(members, object())
        self.cluster.handle(leader, event)

    # -- load ------------------------------------------------------------

    def _load(self) -> None:
        cluster = self.cluster
        for node_id, node in list(cluster.nodes.items()):
            if not node.replica or node.frozen_until_ms > cluster.now_ms:
                continue
            replica = node.replica
            if replica.commit_index - replica.log.snapshot_index > 40:
                cluster.compact(node_id)
                self.counts["snapshot"] += 1
            # Proposals without a lease must be harmless as well.
            if (
                node.replica
                and replica.role is consensus.ReplicaRole.LEADER
                and self._chance(self._load_rate)
            ):
                self._serial += 1
                command = self._command(node.state)
                cluster.propose(node_id, command, self._serial)

    def _command(self, state: data.ReplicatedState):
        kind = self.rng.random()
        if kind < 0.2:
            return self._operation(state)
        if kind < 0.3:
            routers = tuple(f"r{i}" for i in range(self.rng.randint(0, 3)))
            row = data.CounterRow("s", "w", self.rng.random())
            return commands.Checkpoint(self.rng.random(), (row,), routers)
        if kind < 0.34:
            return commands.RefuseDigest(f"d{self.rng.randrange(40)}")
        if kind < 0.4 and state.rollout_order:
            return commands.MoveRollout(
                self.rng.choice(state.rollout_order),
                self.rng.choice(list(data.RolloutPhase)),
                self.rng.random(),
                "test",
            )
        date = 1_700_000_000 + self._serial // 50 - self.rng.randrange(4)
        key = f"{date}-{self.rng.randrange(6)}"
        owner = f"r{self.rng.randrange(4)}"
        if kind < 0.75:
            digest = self.rng.choice(("x", "x", "x", "y"))
            return commands.ClaimKey("w", key, digest, owner)
        if kind < 0.88:
            answer = data.StoredAnswer(200, (("a", "b"),), b"body")
            known = self.rng.choice((answer, None))
            return commands.RecordKeyOutcome("w", key, owner, known)
        return commands.ReleaseKey("w", key, owner)

    def _operation(self, state: data.ReplicatedState):
        """Returns an operator's command, at times a resend of one."""
        if self._operations and self._chance(0.3):
            self.counts["resend"] += 1
            return self.rng.choice(self._operations)
        self._serial += 1
        name = f"op{self._serial}"
        who = self.rng.choice(("ann", "bob"))
        expected = max(0, state.number - self.rng.choice((0, 0, 0, 1)))
        version = self.rng.choice(("v1", "v2", "v3"))
        plan = data.RolloutPlan(f"ro{self.rng.randrange(60)}", "s", version)
        made = self.rng.choice(
            (
                commands.ApplyEnvironment(
                    name, who, expected, environment(version)
                ),
                commands.ApplyEnvironment(
                    name, who, expected, environment("v1", (plan,))
                ),
                commands.SetDataCentre(
                    name,
                    who,
                    self.rng.choice((None, expected)),
                    self.rng.choice(("dc1", "dc2", "dc3")),
                    self.rng.choice(list(data.DataCentreState)),
                ),
                commands.StartRollout(name, who, expected, plan),
                commands.TakeBackRollout(name, who, None, plan.id),
            )
        )
        self._operations.append(made)
        return made

    # -- end -------------------------------------------------------------

    def _heal(self) -> None:
        """Ends all faults; a proposal must then commit everywhere."""
        cluster = self.cluster
        cluster.cuts.clear()
        cluster.loss = cluster.duplicates = 0.0
        cluster.delay_ms = (1, 2)
        for node_id, node in cluster.nodes.items():
            node.crash_at = None
            node.frozen_until_ms = 0
            node.disk_busy_until_ms = 0
            if node.replica is None:
                cluster.start(node_id)
        cluster.run(HEAL_MS)
        cluster.commit(commands.RefuseDigest("last"))
        cluster.run(1_000)
        leader = cluster.leader()
        members = cluster.nodes[leader].replica.members
        digests = {cluster.digest(node_id) for node_id in members}
        assert len(digests) == 1, f"states differ among {members}"
        self.counts["entries"] = cluster.nodes[leader].replica.commit_index
        self.counts["term"] = cluster.nodes[leader].replica.term
        self.counts["restored"] = sum(
            node.restored for node in cluster.nodes.values()
        )


def run(seed: int, steps: int) -> collections.Counter:
    """Runs one seed.

    Args:
      seed: Seed of the run.
      steps: Steps of 10 ms with faults.

    Returns:
      How often each kind of event happened.

    Raises:
      AssertionError: An invariant was broken.
    """
    # A short tail makes lagging followers need snapshots.
    with mock.patch.object(consensus_log, "TRAILING_ENTRIES", 5):
        simulation = Simulation(seed)
        simulation.run(steps)
    return simulation.counts


def main() -> int:
    """Runs a range of seeds and prints each failure."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--steps", type=int, default=4_000)
    options = parser.parse_args()
    total = collections.Counter()
    failures = 0
    began_s = time.monotonic()
    for seed in range(options.first, options.first + options.seeds):
        try:
            total += run(seed, options.steps)
        except Exception as exc:  # Any error counts as a failed seed.
            failures += 1
            print(f"seed {seed}: {type(exc).__name__}: {exc}", flush=True)
    print(dict(total))
    print(
        f"{options.seeds - failures} passed, {failures} failed,"
        f" {time.monotonic() - began_s:.0f} s"
    )
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
