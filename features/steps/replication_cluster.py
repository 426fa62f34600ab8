"""A group of consensus replicas in one process, for the replication features.

Time, network and disks are simulated. Each node drives `consensus.step` as the
controller process does, so the order of writes, syncs and sends is the one of
section 12.1 of the design page.
"""

import dataclasses
import hashlib
import random

from replication_checks import Checks
from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import storage
from waxwingrack.operations import consensus
from waxwingrack.operations import replicated

TICK_MS = 10
CRASH_POINTS = ("before_write", "before_sync", "after_sync", "after_send")


@dataclasses.dataclass
class Node:
    """A simulated controller.

    Attributes:
      id: Node id.
      members: Members in its settings.
      disk: Its storage.
      offset_ms: Its clock at simulated time 0.
      rate: Speed of its clock.
      replica: Running replica, None while the process is down.
      state: State machine.
      frozen_until_ms: Simulated time until which the process is suspended.
      crash_at: Crash point of the next step that writes.
      disk_busy_until_ms: Simulated time until which no sync completes.
      unsynced: Effects of steps whose sync has not completed, in order.
      answers: Outcome by token of the proposals committed here.
      rejected: Tokens of the rejected proposals.
      restored: Number of installed snapshots.
    """

    id: str
    members: tuple[str, ...]
    disk: storage.MemoryStorage
    offset_ms: int = 0
    rate: float = 1.0
    replica: consensus.Replica | None = None
    state: data.ReplicatedState = data.ReplicatedState()
    frozen_until_ms: int = 0
    crash_at: str | None = None
    disk_busy_until_ms: int = 0
    unsynced: list = dataclasses.field(default_factory=list)
    answers: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    rejected: list = dataclasses.field(default_factory=list)
    restored: int = 0


class CrashError(Exception):
    """A simulated crash within a step."""


class Cluster:
    """Nodes, the network between them and the clock.

    Attributes:
      now_ms: Simulated time.
      nodes: Nodes by id.
      cuts: Directed links (sender, receiver) that drop every message.
      loss: Probability that a message is lost.
      duplicates: Probability that a message arrives twice.
      delay_ms: Shortest and longest delay; a spread reorders messages.
      encodes: Whether messages are encoded and decoded on their way.
      checks: Invariants, checked at each step.
    """

    def __init__(self, members: tuple[str, ...], seed: int = 1):
        self.rng = random.Random(seed)
        self.seed = seed
        self.now_ms = 0
        self.nodes: dict[str, Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplicates = 0.0
        self.delay_ms = (1, 1)
        self.encodes = False
        self.checks = Checks()
        self._wire: list[tuple[int, int, str, str, object]] = []
        self._sent = 0
        for node_id in members:
            self.add(node_id, members)

    def add(
        self, node_id: str, members: tuple[str, ...], rate: float = 1.0
    ) -> Node:
        """Adds a node with an empty disk and starts it."""
        node = Node(node_id, members, storage.MemoryStorage(), rate=rate)
        self.nodes[node_id] = node
        self.start(node_id)
        return node

    # -- processes -------------------------------------------------------

    def clock(self, node: Node) -> int:
        """Returns the monotonic clock of a node, in milliseconds."""
        return node.offset_ms + int(self.now_ms * node.rate)

    def start(self, node_id: str) -> None:
        """Starts a process from the synced contents of its disk."""
        node = self.nodes[node_id]
        node.disk.bind_to_node(node_id).unwrap()
        persisted = node.disk.load().unwrap()
        node.offset_ms = self.rng.randrange(100_000)
        seed = self.rng.randrange(1 << 30)
        node.replica = consensus.create(
            node_id, node.members, persisted, self.clock(node), seed
        )
        node.state = data.ReplicatedState()
        node.waiting = {}
        node.crash_at = None
        node.frozen_until_ms = 0
        node.disk_busy_until_ms = 0
        node.unsynced = []
        if persisted.snapshot is not None:
            node.state = replicated.decode(persisted.snapshot.state).unwrap()
        self.checks.on_start(node_id)

    def stop(self, node_id: str) -> None:
        """Kills a process; unsynced writes are lost."""
        node = self.nodes[node_id]
        node.replica = None
        node.disk.crash()

    def lose_disk(self, node_id: str) -> None:
        """Kills a process and replaces its disk by an empty one."""
        self.stop(node_id)
        self.nodes[node_id].disk.replace_disk()

    # -- time and network ------------------------------------------------

    def run(self, duration_ms: int) -> None:
        """Advances the simulated time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.turn()

    def run_until(self, condition, limit_ms: int) -> bool:
        """Advances the time until a condition holds; False if it never does."""
        end_ms = self.now_ms + limit_ms
        while not condition():
            if self.now_ms >= end_ms:
                return False
            self.turn()
        return True

    def turn(self) -> None:
        """Advances the time by a tick, delivers messages and ticks nodes."""
        self.now_ms += TICK_MS
        due = sorted(item for item in self._wire if item[0] <= self.now_ms)
        self._wire = [item for item in self._wire if item[0] > self.now_ms]
        for _, _, sender, receiver, message in due:
            node = self.nodes.get(receiver)
            if node is None or node.replica is None:
                continue
            if node.frozen_until_ms > self.now_ms:
                at_ms = node.frozen_until_ms
                self._put(at_ms, sender, receiver, message)
                continue
            self.handle(receiver, consensus.Received(sender, message))
        for node_id, node in list(self.nodes.items()):
            if node.replica and node.frozen_until_ms <= self.now_ms:
                self._sync_due(node)
            if node.replica and node.frozen_until_ms <= self.now_ms:
                self.handle(node_id, consensus.Tick())
        self.checks.on_time(
            [
                (node.id, node.state.number)
                for node in self.nodes.values()
                if node.replica
                and node.frozen_until_ms <= self.now_ms
                and consensus.has_lease(node.replica, self.clock(node))
            ]
        )

    def send(self, sender: str, envelope: consensus.Envelope) -> None:
        """Sends a message with the configured delay, loss and duplication."""
        receiver = envelope.receiver
        if receiver not in self.nodes or (sender, receiver) in self.cuts:
            return
        copies = 1
        if self.rng.random() < self.loss:
            copies = 0
        elif self.rng.random() < self.duplicates:
            copies = 2
        for _ in range(copies):
            delay_ms = self.rng.randint(*self.delay_ms)
            message = envelope.message
            if self.encodes:
                message = on_wire(message)
            self._put(self.now_ms + delay_ms, sender, receiver, message)

    def _put(self, at_ms, sender, receiver, message) -> None:
        self._sent += 1
        self._wire.append((at_ms, self._sent, sender, receiver, message))

    def cut_off(self, node_id: str) -> None:
        """Cuts a node off from all others, in both directions."""
        for other in self.nodes:
            self.cuts |= {(node_id, other), (other, node_id)}

    # -- driver ----------------------------------------------------------

    def handle(self, node_id: str, event) -> None:
        """Passes an event to a node and carries out the effects."""
        node = self.nodes[node_id]
        try:
            while event is not None:
                event = self._step(node, event)
        except CrashError:
            self.stop(node_id)

    def _step(self, node: Node, event):
        step_result = consensus.step(node.replica, event, self.clock(node))
        effects = step_result.effects
        node.replica = step_result.replica
        self.checks.on_step(node.id, step_result)
        for envelope in effects.send:
            self.send(node.id, envelope)
        node.unsynced.append(effects)
        self._apply(node, effects)
        return self._sync_next(node)

    def _sync_due(self, node: Node) -> None:
        """Completes the syncs that a busy disk has delayed."""
        while node.replica and node.unsynced and not self._is_busy(node):
            try:
                event = self._sync_next(node)
            except CrashError:
                self.stop(node.id)
                return
            self.handle(node.id, event)

    def _sync_next(self, node: Node):
        """Writes and syncs the effects of the oldest step, if the disk can.

        Returns:
          The event to pass to the replica after the sync, or None.
        """
        if self._is_busy(node):
            return None
        effects = node.unsynced.pop(0)
        writes = (
            effects.hard,
            effects.truncate_from,
            effects.append,
            effects.snapshot,
        )
        has_writes = any(item not in (None, ()) for item in writes)
        if has_writes:
            self._crash_point(node, "before_write")
            node.disk.write(*writes)
            self._crash_point(node, "before_sync")
            node.disk.sync()
            self._crash_point(node, "after_sync")
        for envelope in effects.send_after_sync:
            self.send(node.id, envelope)
        if has_writes:
            self._crash_point(node, "after_send")
        if effects.append:
            last = effects.append[-1]
            return consensus.Synced(last.index, last.term)
        if effects.snapshot is not None:
            return consensus.Synced(
                effects.snapshot.index, effects.snapshot.term
            )
        return None

    def _is_busy(self, node: Node) -> bool:
        return node.disk_busy_until_ms > self.now_ms

    def _crash_point(self, node: Node, point: str) -> None:
        if node.crash_at == point:
            raise CrashError(point)

    def _apply(self, node: Node, effects: consensus.Effects) -> None:
        if effects.restored is not None:
            blob = effects.restored.state
            node.state = replicated.decode(blob).unwrap()
            node.restored += 1
            self.checks.on_restored(node.id, effects.restored, node.state)
        for item in effects.accepted:
            node.waiting[item.index] = (item.term, item.token)
        node.rejected.extend(effects.rejected)
        for entry in effects.committed:
            outcome = None
            if entry.command:
                command = commands.CODEC.decode(entry.command).unwrap()
                command_result = replicated.apply(node.state, command)
                node.state, outcome = (
                    command_result.state,
                    command_result.outcome,
                )
            self.checks.on_applied(node.id, entry, node.state, outcome)
            term, token = node.waiting.pop(entry.index, (None, None))
            if term == entry.term:
                node.answers[token] = outcome

    # -- use -------------------------------------------------------------

    def leader(self) -> str | None:
        """Returns the node that holds a lease, or None."""
        for node in self.nodes.values():
            if node.replica and consensus.has_lease(
                node.replica, self.clock(node)
            ):
                return node.id
        return None

    def propose(self, node_id: str, command, token) -> None:
        """Proposes a command at a node."""
        blob = commands.CODEC.encode(command)
        self.handle(node_id, consensus.Propose(blob, token))

    def commit(self, command, limit_ms: int = 5_000):
        """Proposes a command at the leader and waits for its outcome."""
        assert self.run_until(lambda: self.leader() is not None, limit_ms)
        leader = self.leader()
        token = object()
        self.propose(leader, command, token)
        node = self.nodes[leader]
        assert self.run_until(lambda: token in node.answers, limit_ms), (
            f"{command} was not committed at {leader}"
        )
        return node.answers[token]

    def change_members(self, members: tuple[str, ...], limit_ms: int = 8_000):
        """Changes the members at the leader; False if that failed."""
        assert self.run_until(lambda: self.leader() is not None, limit_ms)
        leader = self.leader()
        node = self.nodes[leader]
        token = object()
        event = consensus.ProposeMembers(members, token)
        self.handle(leader, event)
        self.run_until(
            lambda: token in node.answers or token in node.rejected, limit_ms
        )
        return token in node.answers

    def compact(self, node_id: str) -> None:
        """Takes a snapshot of a node's state."""
        node = self.nodes[node_id]
        blob = replicated.encode(node.state)
        self.handle(node_id, consensus.Compact(node.replica.commit_index, blob))

    def digest(self, node_id: str) -> str:
        """Returns a digest of a node's state."""
        blob = replicated.encode(self.nodes[node_id].state)
        return hashlib.sha256(blob).hexdigest()


def on_wire(message):
    """Encodes and decodes a message as the transport does."""
    decoded = messages.CODEC.decode(messages.CODEC.encode(message))
    assert isinstance(decoded, result.Success), decoded
    return decoded.unwrap()
