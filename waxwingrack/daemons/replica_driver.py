"""Connects the replica, which does no I/O, to the disk and the network.

One worker thread does all writes and syncs in order, so that a slow disk never
blocks the event loop. Writes that are queued during a sync share the next one.
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

# Interval of the timer of the replica, in seconds.
TICK_S = 0.02
# Applied entries after which the log is replaced by a snapshot.
SNAPSHOT_ENTRIES = 512
# Pause after a snapshot, as a multiple of the time that the snapshot took. It
# limits the load that snapshots of a large state put on disk and processor.
SNAPSHOT_PAUSE_FACTOR = 10
# Longest pause after a snapshot, in milliseconds. It limits the growth of the
# log when snapshots take long: 10,000 entries at 2,000 commands a second.
MAX_SNAPSHOT_PAUSE_MS = 5_000
# A write with its sync that takes at least this many seconds is logged. It is
# half of the lease of the leader and far above the time of a healthy disk.
SLOW_SYNC_S = 0.25
# Largest number of entries by which a caught-up follower may lag.
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
    """Disk work of one step of the replica.

    Attributes:
      effects: Effects of the step.
      synced_position: Index and term of the last entry or of the snapshot that
        the sync makes durable; None if the step writes neither.
    """

    effects: consensus.Effects
    synced_position: tuple[int, int] | None

    @property
    def is_empty(self) -> bool:
        """Whether the step writes nothing to the disk."""
        effects = self.effects
        return (
            effects.hard is None
            and effects.truncate_from is None
            and not effects.append
            and effects.snapshot is None
        )


@dataclasses.dataclass(slots=True)
class Counts:
    """Counters of the driver since the start of the process.

    Attributes:
      committed: Entries applied.
      elections: Elections that this replica won.
      syncs: Syncs of the disk.
      sync_s: Time spent in writes and syncs, in seconds.
      proposals: Commands and member changes proposed.
      unavailable: Proposals whose commit could not be confirmed.
      dropped: Events and commands that raised an exception.
      snapshots: Snapshots that this replica wrote of its state.
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
    """Runs a replica with its disk.

    Attributes:
      replica: Consensus state.
      state: Replicated state after the last applied entry.
      applied_index: Index of the last applied entry.
      applied_term: Term of the last applied entry.
      clock_advanced_ms: Monotonic time at which the leader-counted clock last
        advanced.
      failure_reason: Why the replica left consensus, or None.
      storage_failed: Whether it left because a write failed.
      counts: Counters of its work.
      on_applied: Called after entries were applied or a snapshot was restored.
      on_change: Called after each step, as the role may have changed.
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
          replica: Replica that was created from the storage.
          snapshot: Snapshot in the storage, or None.
          storage: The storage.
          clock: Returns monotonic milliseconds.
          send: Sends a message to a controller.
          snapshot_offset: Entries by which the first snapshot is early, so that
            the controllers do not write snapshots at the same time.

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
        self.on_applied: Callable[[], None] = _do_nothing
        self.on_change: Callable[[], None] = _do_nothing
        self._storage = storage
        self._clock = clock
        self._send = send
        self._worker = futures.ThreadPoolExecutor(1, "storage")
        self._queued_writes: list[_Write] = []
        self._write_task: asyncio.Task | None = None
        # Its result tells whether the snapshot in progress reached the disk.
        self._snapshot_result: asyncio.Future | None = None
        self._timer_task: asyncio.Task | None = None
        # A replica state and the end of its lease.
        self._lease_cache: tuple[consensus.Replica | None, int] = (None, -1)
        self._next_token = 0
        self._proposals: dict[int, asyncio.Future] = {}
        self._accepted_proposals: dict[int, tuple[int, int]] = {}
        self._leader_commit = 0
        self._confirmed = False
        self._snapshot_task: asyncio.Task | None = None
        self._last_snapshot_index = 0
        self._next_snapshot_ms = 0
        if snapshot is not None:
            self._restore(snapshot)
        self._last_snapshot_index -= snapshot_offset

    # -----------------------------------------------------------------------
    # Start and stop
    # -----------------------------------------------------------------------

    def start(self) -> None:
        """Starts the timer of the replica."""
        self._timer_task = asyncio.ensure_future(self._run_timer())

    async def stop(self) -> None:
        """Stops the timer and finishes the queued writes."""
        self._timer_task.cancel()
        self._fail_proposals("the controller stops")
        while self._write_task is not None and not self._write_task.done():
            await asyncio.wait([self._write_task])
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
            self._queued_writes.clear()
            self._resolve_snapshot(written=False)
            self._fail_proposals(reason)
            self.on_change()

    # -----------------------------------------------------------------------
    # Status
    # -----------------------------------------------------------------------

    def is_leader(self) -> bool:
        """Returns whether the replica has the role of leader."""
        return (
            self.failure_reason is None
            and self.replica.role is consensus.ReplicaRole.LEADER
        )

    def may_act(self) -> bool:
        """Returns whether this controller may act as leader now.

        It must hold the lease and have applied an entry of its own term: only
        then does its state include all that earlier leaders committed.
        """
        return self.leads_term() and self._has_lease()

    def leads_term(self) -> bool:
        """Returns whether this controller leads and its state is complete.

        The lease is not checked. If the replica keeps its role in a term and a
        majority answers it later in that term, no other controller can have
        led in between.
        """
        return self.is_leader() and self.applied_term == self.replica.term

    def _has_lease(self) -> bool:
        # This is called several times for each message, so the end of the lease
        # is cached. Until it has passed, it depends on the replica alone.
        now_ms = self._clock()
        replica, end_ms = self._lease_cache
        if replica is not self.replica or now_ms >= end_ms:
            end_ms = consensus.lease_end_ms(self.replica, now_ms)
            self._lease_cache = (self.replica, end_ms)
        return now_ms < end_ms

    def responding_members(self) -> frozenset[str]:
        """Returns the members that have answered in the term of this leader.

        Returns:
          Node ids of this leader and of the members that have answered it with
          the disk that may vote.
        """
        now_ms, replica = self._clock(), self.replica
        return frozenset(
            node_id
            for node_id in replica.members
            if consensus_replication.last_acked_ms(replica, node_id, now_ms)
            is not None
        )

    def is_caught_up(self) -> bool:
        """Returns whether the state is close to that of the leader."""
        if self.is_leader():
            return self.may_act()
        return self.applied_index + MAX_LAG_ENTRIES >= self._leader_commit

    def confirmed_environment_number(self) -> int:
        """Returns the environment number, or 0 until the state is confirmed.

        After a start the state is that of the last snapshot, which may be older
        than the state that this controller reported before. It is confirmed
        once it includes an entry of the current term and all entries that the
        leader is known to have committed.
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
        """Handles a message of another controller."""
        commit = getattr(message, "commit", 0)
        self._leader_commit = max(self._leader_commit, commit)
        self._process_event(consensus.Received(sender, message))

    def propose(self, command: Any) -> "asyncio.Future[Outcome]":
        """Proposes a command.

        Args:
          command: A registered command.

        Returns:
          Future of Success with the outcome of the committed command, or of
          Failure with Unavailable. It never holds an exception.
        """
        blob = commands.CODEC.encode(command)
        return self._submit(lambda token: consensus.Propose(blob, token))

    def propose_members(
        self, members: tuple[str, ...]
    ) -> "asyncio.Future[Outcome]":
        """Proposes a new set of voting controllers.

        Args:
          members: Node ids of the voting controllers.

        Returns:
          Future as of `propose`.
        """
        return self._submit(
            lambda token: consensus.ProposeMembers(members, token)
        )

    def _submit(
        self, make_event: Callable[[int], Any]
    ) -> "asyncio.Future[Outcome]":
        self._next_token += 1
        token = self._next_token
        fut = asyncio.get_running_loop().create_future()
        self._proposals[token] = fut
        self.counts.proposals += 1
        if self.failure_reason is not None:
            self._resolve(token, _make_unavailable(self.failure_reason))
        else:
            self._process_event(make_event(token))
        return fut

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._process_event(consensus.Tick())

    # -----------------------------------------------------------------------
    # Steps and effects
    # -----------------------------------------------------------------------

    def _process_event(self, event: Any) -> None:
        if self.failure_reason is not None:
            return
        was_leader = self.is_leader()
        try:
            step = consensus.step(self.replica, event, self._clock())
        except Exception as exc:
            self._handle_step_failure(event, exc)
            return
        try:
            self.replica = step.replica
            self._apply_effects(step.effects)
        except Exception as exc:
            # Effects that were applied in part may violate the guarantees of
            # consensus.
            logs.failure("replica_step_failed", exc, step=type(event).__name__)
            self.fail(f"replica step failed: {exc}")
            return
        if was_leader and not self.is_leader():
            self._fail_proposals("another controller may lead now")
        elif self.is_leader() and not was_leader:
            self.counts.elections += 1
        self.on_change()

    def _handle_step_failure(self, event: Any, exc: Exception) -> None:
        # The step is pure, so a message that raises an exception has changed
        # nothing and is treated as lost. No other event may be lost.
        logs.failure("replica_event_failed", exc, step=type(event).__name__)
        self.counts.dropped += 1
        if not isinstance(event, consensus.Received):
            self.fail(f"replica step failed: {exc}")

    def _apply_effects(self, effects: consensus.Effects) -> None:
        for proposal in effects.accepted:
            self._accepted_proposals[proposal.index] = (
                proposal.term,
                proposal.token,
            )
        for token in effects.rejected:
            self._resolve(
                token, _make_unavailable("this controller does not lead")
            )
        for envelope in effects.send:
            self._send(envelope.receiver, envelope.message)
        self._queue_write(effects)
        if effects.restored is not None:
            self._restore(effects.restored)
        for entry in effects.committed:
            self._apply(entry)
        if effects.restored is not None or effects.committed:
            self.on_applied()
            self._take_snapshot_if_due()

    def _queue_write(self, effects: consensus.Effects) -> None:
        synced_position = None
        if effects.append:
            synced_position = (
                effects.append[-1].index,
                effects.append[-1].term,
            )
        elif effects.snapshot is not None:
            synced_position = (effects.snapshot.index, effects.snapshot.term)
        write = _Write(effects, synced_position)
        if write.is_empty and not effects.send_after_sync:
            return
        self._queued_writes.append(write)
        if self._write_task is None or self._write_task.done():
            self._write_task = asyncio.ensure_future(self._write_queued())

    async def _write_queued(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queued_writes and self.failure_reason is None:
            writes, self._queued_writes = self._queued_writes, []
            disk_writes = [write for write in writes if not write.is_empty]
            if disk_writes:
                try:
                    duration_s = await loop.run_in_executor(
                        self._worker, self._write_and_sync, disk_writes
                    )
                except Exception as exc:
                    logs.failure("storage_failed", exc)
                    self.storage_failed = True
                    self.fail(f"storage failed: {exc}")
                    return
                self._record_sync(disk_writes, duration_s)
            self._finish_synced_writes(writes)

    def _record_sync(self, writes: list[_Write], duration_s: float) -> None:
        self.counts.syncs += 1
        self.counts.sync_s += duration_s
        if duration_s >= SLOW_SYNC_S:
            logs.event(
                "slow_sync",
                seconds=round(duration_s, 3),
                entries=sum(len(write.effects.append) for write in writes),
                snapshot=any(
                    write.effects.snapshot is not None for write in writes
                ),
                waiting=len(self._queued_writes),
            )

    def _write_and_sync(self, writes: list[_Write]) -> float:
        begin_s = time.perf_counter()
        for write in writes:
            effects = write.effects
            self._storage.write(
                effects.hard,
                effects.truncate_from,
                effects.append,
                effects.snapshot,
            )
        self._storage.sync()
        return time.perf_counter() - begin_s

    def _finish_synced_writes(self, writes: list[_Write]) -> None:
        for write in writes:
            if self.failure_reason is not None:
                return
            for envelope in write.effects.send_after_sync:
                self._send(envelope.receiver, envelope.message)
        for write in writes:
            if write.synced_position is not None:
                self._process_event(consensus.Synced(*write.synced_position))
            if write.effects.snapshot is not None:
                self._resolve_snapshot(written=True)

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
                    # All replicas of this version skip the entry, too.
                    logs.event(
                        "command_unknown",
                        index=entry.index,
                        reason=error.reason,
                    )
        self.applied_index, self.applied_term = entry.index, entry.term
        self.counts.committed += 1
        term, token = self._accepted_proposals.pop(entry.index, (0, 0))
        if token and term == entry.term:
            self._resolve(token, result.Success(outcome))
        elif token:
            self._resolve(token, _make_unavailable("replaced by another entry"))

    def _apply_command(self, command: Any, index: int) -> Any:
        try:
            applied = replicated.apply(self.state, command)
        except (MemoryError, RecursionError):
            # These depend on the process, so other replicas may not fail.
            raise
        except Exception as exc:
            # `apply` is pure and deterministic, so every replica skips the
            # command. If the replica stopped instead, all of them would stop
            # for good.
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

    def _take_snapshot_if_due(self) -> None:
        is_due = (
            self.applied_index - self._last_snapshot_index >= SNAPSHOT_ENTRIES
            and self._clock() >= self._next_snapshot_ms
        )
        if is_due and (
            self._snapshot_task is None or self._snapshot_task.done()
        ):
            self._last_snapshot_index = self.applied_index
            self._snapshot_task = asyncio.ensure_future(
                self._take_snapshot(self.applied_index, self.state)
            )

    async def _take_snapshot(
        self, index: int, state: data.ReplicatedState
    ) -> None:
        loop = asyncio.get_running_loop()
        begin_ms = self._clock()
        try:
            # The state is immutable, so another thread may encode it.
            blob = await loop.run_in_executor(None, replicated.encode, state)
            self._snapshot_result = loop.create_future()
            self._process_event(consensus.Compact(index, blob))
            if self.replica.log.snapshot_index != index:
                # A later snapshot of the leader was installed meanwhile.
                return
            # Only the snapshot is awaited, not the writes after it: under load
            # these never end.
            if not await self._snapshot_result:
                return
            end_ms = self._clock()
            pause_ms = min(
                SNAPSHOT_PAUSE_FACTOR * (end_ms - begin_ms),
                MAX_SNAPSHOT_PAUSE_MS,
            )
            self._next_snapshot_ms = end_ms + pause_ms
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

    def _resolve_snapshot(self, written: bool) -> None:
        fut = self._snapshot_result
        if fut is not None and not fut.done():
            fut.set_result(written)

    def _resolve(self, token: int, outcome: Outcome) -> None:
        fut = self._proposals.pop(token, None)
        if isinstance(outcome, result.Failure):
            self.counts.unavailable += 1
        if fut is not None and not fut.done():
            fut.set_result(outcome)

    def _fail_proposals(self, reason: str) -> None:
        self._accepted_proposals.clear()
        for token in list(self._proposals):
            self._resolve(token, _make_unavailable(reason))


def _make_unavailable(reason: str) -> Outcome:
    return result.Failure(Unavailable(reason))


def _do_nothing() -> None:
    """Does nothing; the default callback."""
