"""Runs the pure replica against the disk and the network.

All writes and syncs happen in one worker thread, in order, so that a slow disk
never blocks the event loop. Writes that queue up while one sync runs share the
next sync.
"""

import asyncio
from collections.abc import Callable
from concurrent import futures
import dataclasses
import time
from typing import Any

from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.operations import consensus
from waxwingrack.operations import consensus_replication
from waxwingrack.operations import replicated

# Interval of the replica's timer, in seconds.
TICK_S = 0.02
# Applied entries after which the log is replaced by a snapshot.
SNAPSHOT_ENTRIES = 512
# Pause after a snapshot, as a multiple of the time that it took. It bounds the
# share of snapshots of a large state in the load of disk and processor.
SNAPSHOT_PAUSE = 10
# Longest pause after a snapshot, in milliseconds. It bounds the growth of the
# log while snapshots take long: 10,000 entries at 2,000 commands a second.
MAX_SNAPSHOT_PAUSE_MS = 5_000
# Time from which a write with its sync is logged, in seconds: half of the
# leader's lease, far above what a sound disk takes.
SLOW_SYNC_S = 0.25
# Entries by which a follower that counts as caught up may lag.
MAX_LAG_ENTRIES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Why a proposal is not known to be committed.

    Attributes:
      reason: Text for logs and operators.
    """

    reason: str


Outcome = result.Result[Any, Unavailable]


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """Work of one step for the worker thread, and what follows its sync."""

    effects: consensus.Effects
    synced: tuple[int, int] | None

    @property
    def empty(self) -> bool:
        """Whether the disk is left alone."""
        effects = self.effects
        return (
            effects.hard is None
            and effects.truncate_from is None
            and not effects.append
            and effects.snapshot is None
        )


@dataclasses.dataclass(slots=True)
class Counts:
    """What the driver did since the start of the process.

    Attributes:
      committed: Entries applied.
      elections: Elections that this replica won.
      syncs: Syncs of the disk.
      sync_s: Time spent in writes and syncs, in seconds.
      proposals: Commands proposed.
      unavailable: Proposals that were not known to be committed.
      dropped: Events and commands that raised an exception.
      snapshots: Snapshots of the own state.
    """

    committed: int = 0
    elections: int = 0
    syncs: int = 0
    sync_s: float = 0.0
    proposals: int = 0
    unavailable: int = 0
    dropped: int = 0
    snapshots: int = 0


class ReplicaDriver:
    """A replica with its disk.

    Attributes:
      replica: State of consensus.
      state: Replicated state after the last applied entry.
      applied_index: Index of the last applied entry.
      applied_term: Term of the last applied entry.
      clock_advanced_ms: Own time at which the leader-counted clock went on last.
      failure_reason: Why the replica does not take part any more, or None.
      storage_failed: Whether a write was the reason.
      counts: What was done.
      on_applied: Called after entries were applied or a snapshot restored.
      on_change: Called after each step, for example to follow the role.
    """

    def __init__(
        self,
        replica: consensus.Replica,
        snapshot: data.Snapshot | None,
        storage: Any,
        clock: Callable[[], int],
        send: Callable[[str, Any], None],
        snapshot_offset: int = 0,
    ):
        """Prepares the driver.

        Args:
          replica: Replica as created from the storage.
          snapshot: Snapshot in the storage.
          storage: The storage.
          clock: Returns monotonic milliseconds.
          send: Sends a message to a controller.
          snapshot_offset: Entries by which the first snapshot comes early, so
            that the controllers do not write their snapshots together.

        Raises:
          ValueError: The snapshot cannot be decoded.
        """
        self.replica = replica
        self.state = data.ReplicatedState()
        self.applied_index = 0
        self.applied_term = 0
        self.clock_advanced_ms = clock()
        self.failure_reason: str | None = None
        self.storage_failed = False
        self.counts = Counts()
        self.on_applied: Callable[[], None] = _nothing
        self.on_change: Callable[[], None] = _nothing
        self._storage = storage
        self._clock = clock
        self._send = send
        self._worker = futures.ThreadPoolExecutor(1, "storage")
        self._writes: list[_Write] = []
        self._writing: asyncio.Task | None = None
        # Whether the snapshot that is being written has reached the disk.
        self._snapshot_written: asyncio.Future | None = None
        self._timer: asyncio.Task | None = None
        # A replica and the end of its lease.
        self._lease: tuple[consensus.Replica | None, int] = (None, -1)
        self._next_token = 0
        self._tokens: dict[int, asyncio.Future] = {}
        self._indices: dict[int, tuple[int, int]] = {}
        self._leader_commit = 0
        self._confirmed = False
        self._snapshot_task: asyncio.Task | None = None
        self._last_snapshot_index = 0
        self._next_compact_ms = 0
        if snapshot is not None:
            self._restore(snapshot)
        self._last_snapshot_index -= snapshot_offset

    # -----------------------------------------------------------------------
    # Life
    # -----------------------------------------------------------------------

    def start(self) -> None:
        """Starts the replica's timer."""
        self._timer = asyncio.ensure_future(self._tick())

    async def stop(self) -> None:
        """Ends the timer and finishes the writes that are queued."""
        self._timer.cancel()
        self._abandon("the controller stops")
        while self._writing is not None and not self._writing.done():
            await asyncio.wait([self._writing])
        self.failure_reason = self.failure_reason or "stopped"
        if self._snapshot_task is not None:
            await asyncio.wait([self._snapshot_task])
        self._worker.shutdown()

    def fail(self, reason: str) -> None:
        """Takes the replica out of consensus, as its disk cannot be trusted.

        Args:
          reason: Text for logs and readiness.
        """
        if self.failure_reason is None:
            self.failure_reason = reason
            self._writes.clear()
            self._end_snapshot(written=False)
            self._abandon(reason)
            self.on_change()

    # -----------------------------------------------------------------------
    # Questions
    # -----------------------------------------------------------------------

    def is_leader(self) -> bool:
        """Whether the replica's role is leader."""
        return (
            self.failure_reason is None
            and self.replica.role is consensus.ReplicaRole.LEADER
        )

    def may_act(self) -> bool:
        """Whether this controller may act as leader now.

        It must hold the lease and must have committed an entry of its own
        term, as only then its state includes all that earlier leaders
        committed.
        """
        return self.leads_term() and self._has_lease()

    def leads_term(self) -> bool:
        """Whether this controller leads and its state is complete.

        It says nothing about the lease. While the replica keeps its role in a
        term and a majority answers it in that term later on, no other
        controller can have led in between.
        """
        return self.is_leader() and self.applied_term == self.replica.term

    def _has_lease(self) -> bool:
        # Asked several times for each message. The end of the lease depends on
        # nothing but the replica, until it has passed.
        now_ms = self._clock()
        replica, end_ms = self._lease
        if replica is not self.replica or now_ms >= end_ms:
            end_ms = consensus.lease_end_ms(self.replica, now_ms)
            self._lease = (self.replica, end_ms)
        return now_ms < end_ms

    def responding_members(self) -> frozenset[str]:
        """Returns the controllers that live in the leader's term.

        Returns:
          Node ids of this leader and of those that have answered it with the
          disk that may vote.
        """
        now_ms, replica = self._clock(), self.replica
        return frozenset(
            node_id
            for node_id in replica.members
            if consensus_replication.last_acked_ms(replica, node_id, now_ms)
            is not None
        )

    def is_caught_up(self) -> bool:
        """Whether the state is close to the leader's."""
        if self.is_leader():
            return self.may_act()
        return self.applied_index + MAX_LAG_ENTRIES >= self._leader_commit

    def confirmed_environment_number(self) -> int:
        """Returns the environment number, or 0 until the state is confirmed.

        After a start the state is that of the last snapshot, which may be older
        than what this controller showed before. It is confirmed once it holds
        an entry of the current term and all that the leader has committed.
        """
        if not self._confirmed and self.applied_term == self.replica.term:
            self._confirmed = (
                self.may_act()
                if self.is_leader()
                else 0 < self._leader_commit <= self.applied_index
            )
        return self.state.number if self._confirmed else 0

    # -----------------------------------------------------------------------
    # Inputs
    # -----------------------------------------------------------------------

    def receive(self, sender: str, message: Any) -> None:
        """Feeds a message of another controller."""
        commit = getattr(message, "commit", 0)
        self._leader_commit = max(self._leader_commit, commit)
        self._feed(consensus.Received(sender, message))

    def propose(self, command: Any) -> "asyncio.Future[Outcome]":
        """Proposes a command.

        Args:
          command: A registered command.

        Returns:
          Future of Success with the outcome of the command once it is
          committed, or Failure with Unavailable. It never raises.
        """
        blob = commands.CODEC.encode(command)
        return self._submit(lambda token: consensus.Propose(blob, token))

    def propose_members(
        self, members: tuple[str, ...]
    ) -> "asyncio.Future[Outcome]":
        """Proposes another set of voting controllers; see `propose`."""
        return self._submit(
            lambda token: consensus.ProposeMembers(members, token)
        )

    def _submit(self, event: Callable[[int], Any]) -> "asyncio.Future[Outcome]":
        self._next_token += 1
        token = self._next_token
        fut = asyncio.get_running_loop().create_future()
        self._tokens[token] = fut
        self.counts.proposals += 1
        if self.failure_reason is not None:
            self._resolve(token, _unavailable(self.failure_reason))
        else:
            self._feed(event(token))
        return fut

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._feed(consensus.Tick())

    # -----------------------------------------------------------------------
    # Steps and effects
    # -----------------------------------------------------------------------

    def _feed(self, event: Any) -> None:
        if self.failure_reason is not None:
            return
        was_leader = self.is_leader()
        try:
            step = consensus.step(self.replica, event, self._clock())
        except Exception as exc:
            self._drop(event, exc)
            return
        try:
            self.replica = step.replica
            self._carry_out(step.effects)
        except Exception as exc:
            # Effects that were carried out in part may break promises.
            logs.failure("replica_step_failed", exc, step=type(event).__name__)
            self.fail(f"replica step failed: {exc}")
            return
        if was_leader and not self.is_leader():
            self._abandon("another controller may lead now")
        elif self.is_leader() and not was_leader:
            self.counts.elections += 1
        self.on_change()

    def _drop(self, event: Any, exc: Exception) -> None:
        # The step is pure, so a message that it cannot take changes nothing
        # and counts as lost. Any other event is needed.
        logs.failure("replica_event_failed", exc, step=type(event).__name__)
        self.counts.dropped += 1
        if not isinstance(event, consensus.Received):
            self.fail(f"replica step failed: {exc}")

    def _carry_out(self, effects: consensus.Effects) -> None:
        for item in effects.accepted:
            self._indices[item.index] = (item.term, item.token)
        for token in effects.rejected:
            self._resolve(token, _unavailable("this controller does not lead"))
        for envelope in effects.send:
            self._send(envelope.receiver, envelope.message)
        self._queue_write(effects)
        if effects.restored is not None:
            self._restore(effects.restored)
        for entry in effects.committed:
            self._apply(entry)
        if effects.restored is not None or effects.committed:
            self.on_applied()
            self._compact_if_due()

    def _queue_write(self, effects: consensus.Effects) -> None:
        synced = None
        if effects.append:
            synced = (effects.append[-1].index, effects.append[-1].term)
        elif effects.snapshot is not None:
            synced = (effects.snapshot.index, effects.snapshot.term)
        write = _Write(effects, synced)
        if write.empty and not effects.send_after_sync:
            return
        self._writes.append(write)
        if self._writing is None or self._writing.done():
            self._writing = asyncio.ensure_future(self._write_all())

    async def _write_all(self) -> None:
        loop = asyncio.get_running_loop()
        while self._writes and self.failure_reason is None:
            writes, self._writes = self._writes, []
            dirty = [item for item in writes if not item.empty]
            if dirty:
                try:
                    spent_s = await loop.run_in_executor(
                        self._worker, self._write_and_sync, dirty
                    )
                except Exception as exc:
                    logs.failure("storage_failed", exc)
                    self.storage_failed = True
                    self.fail(f"storage failed: {exc}")
                    return
                self._note_sync(dirty, spent_s)
            self._after_sync(writes)

    def _note_sync(self, writes: list[_Write], spent_s: float) -> None:
        self.counts.syncs += 1
        self.counts.sync_s += spent_s
        if spent_s >= SLOW_SYNC_S:
            logs.event(
                "slow_sync",
                seconds=round(spent_s, 3),
                entries=sum(len(item.effects.append) for item in writes),
                snapshot=any(
                    item.effects.snapshot is not None for item in writes
                ),
                waiting=len(self._writes),
            )

    def _write_and_sync(self, writes: list[_Write]) -> float:
        begin = time.perf_counter()
        for item in writes:
            effects = item.effects
            self._storage.write(
                effects.hard,
                effects.truncate_from,
                effects.append,
                effects.snapshot,
            )
        self._storage.sync()
        return time.perf_counter() - begin

    def _after_sync(self, writes: list[_Write]) -> None:
        for item in writes:
            if self.failure_reason is not None:
                return
            for envelope in item.effects.send_after_sync:
                self._send(envelope.receiver, envelope.message)
        for item in writes:
            if item.synced is not None:
                self._feed(consensus.Synced(*item.synced))
            if item.effects.snapshot is not None:
                self._end_snapshot(written=True)

    # -----------------------------------------------------------------------
    # State machine
    # -----------------------------------------------------------------------

    def _apply(self, entry: data.LogEntry) -> None:
        outcome = None
        if entry.command:
            match commands.CODEC.decode(entry.command):
                case result.Success(command):
                    outcome = self._apply_command(command, entry.index)
                case result.Failure(error):
                    # All replicas of this version skip the entry alike.
                    logs.event(
                        "command_unknown",
                        index=entry.index,
                        reason=error.reason,
                    )
        self.applied_index, self.applied_term = entry.index, entry.term
        self.counts.committed += 1
        term, token = self._indices.pop(entry.index, (0, 0))
        if token and term == entry.term:
            self._resolve(token, result.Success(outcome))
        elif token:
            self._resolve(token, _unavailable("replaced by another entry"))

    def _apply_command(self, command: Any, index: int) -> Any:
        try:
            applied = replicated.apply(self.state, command)
        except (MemoryError, RecursionError):
            # These depend on the process: other replicas may go on.
            raise
        except Exception as exc:
            # `apply` is pure and deterministic, so every replica skips the
            # command. To stop instead would stop all of them for good.
            logs.failure("command_failed", exc, index=index)
            self.counts.dropped += 1
            return None
        if applied.state.clock_s != self.state.clock_s:
            self.clock_advanced_ms = self._clock()
        self.state = applied.state
        return applied.outcome

    def _restore(self, snapshot: data.Snapshot) -> None:
        match replicated.decode(snapshot.state):
            case result.Success(state):
                self.state = state
                self.clock_advanced_ms = self._clock()
                self.applied_index = snapshot.index
                self.applied_term = snapshot.term
                self._last_snapshot_index = snapshot.index
            case result.Failure(error):
                raise ValueError(f"snapshot is damaged: {error.reason}")

    def _compact_if_due(self) -> None:
        due = (
            self.applied_index - self._last_snapshot_index >= SNAPSHOT_ENTRIES
            and self._clock() >= self._next_compact_ms
        )
        if due and (self._snapshot_task is None or self._snapshot_task.done()):
            self._last_snapshot_index = self.applied_index
            self._snapshot_task = asyncio.ensure_future(
                self._compact(self.applied_index, self.state)
            )

    async def _compact(self, index: int, state: data.ReplicatedState) -> None:
        loop = asyncio.get_running_loop()
        begin_ms = self._clock()
        try:
            # The state is immutable, so another thread may encode it.
            blob = await loop.run_in_executor(None, replicated.encode, state)
            self._snapshot_written = loop.create_future()
            self._feed(consensus.Compact(index, blob))
            if self.replica.log.snapshot_index != index:
                # A later snapshot of the leader was there first.
                return
            # Later writes do not count: under load they never pause.
            if not await self._snapshot_written:
                return
            end_ms = self._clock()
            pause_ms = min(
                SNAPSHOT_PAUSE * (end_ms - begin_ms), MAX_SNAPSHOT_PAUSE_MS
            )
            self._next_compact_ms = end_ms + pause_ms
            self.counts.snapshots += 1
            logs.event(
                "snapshot_written",
                index=index,
                bytes=len(blob),
                ms=end_ms - begin_ms,
                pause_ms=pause_ms,
            )
        except Exception as exc:
            logs.failure("snapshot_failed", exc, index=index)

    def _end_snapshot(self, written: bool) -> None:
        waiting = self._snapshot_written
        if waiting is not None and not waiting.done():
            waiting.set_result(written)

    def _resolve(self, token: int, outcome: Outcome) -> None:
        fut = self._tokens.pop(token, None)
        if isinstance(outcome, result.Failure):
            self.counts.unavailable += 1
        if fut is not None and not fut.done():
            fut.set_result(outcome)

    def _abandon(self, reason: str) -> None:
        self._indices.clear()
        for token in list(self._tokens):
            self._resolve(token, _unavailable(reason))


def _unavailable(reason: str) -> Outcome:
    return result.Failure(Unavailable(reason))


def _nothing() -> None:
    """Does nothing; default of the callbacks."""
