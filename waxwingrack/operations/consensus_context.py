"""Mutable context of one step of a consensus replica."""

import dataclasses
import random
from typing import Any

import immutables

from waxwingrack.core import data
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_types as types

RoleEvent = consensus_roles.RoleEvent


class StepContext:
    """Collects the new state and the effects of one step.

    Attributes:
      replica: State with the changes of the step so far.
      now_ms: Time of the step.
    """

    def __init__(self, replica: types.Replica, now_ms: int):
        self.replica = replica
        self.now_ms = now_ms
        self._effects: dict[str, Any] = {}

    def update(self, **changes: Any) -> None:
        """Replaces fields of the replica."""
        self.replica = dataclasses.replace(self.replica, **changes)

    def add_effects(self, field: str, *items: Any) -> None:
        """Adds items to a field of the effects that holds a tuple."""
        self._effects.setdefault(field, []).extend(items)

    def send(self, receiver: str, message: Any) -> None:
        """Sends a message that does not depend on writes to the local disk."""
        self.add_effects("send", types.Envelope(receiver, message))

    def send_synced(self, receiver: str, message: Any) -> None:
        """Sends a message once the writes of this step are synced."""
        self.add_effects("send_after_sync", types.Envelope(receiver, message))

    def build_step(self) -> types.StepResult:
        """Returns the new state and the effects of the step."""
        effects = {
            field: tuple(value) if isinstance(value, list) else value
            for field, value in self._effects.items()
        }
        return types.StepResult(self.replica, types.Effects(**effects))

    # -- writes ----------------------------------------------------------

    def write_hard(self, **changes: Any) -> None:
        """Changes the hard state and schedules its write."""
        hard = dataclasses.replace(self.replica.hard, **changes)
        self.update(hard=hard)
        self._effects["hard"] = hard

    def append(self, entries: tuple[data.LogEntry, ...]) -> None:
        """Appends entries to the log and schedules their write."""
        self.update(log=consensus_log.append(self.replica.log, entries))
        self.add_effects("append", *entries)

    def truncate(self, index: int) -> None:
        """Deletes the entries from an index on.

        Raises:
          RuntimeError: A committed entry would be deleted.
        """
        if index <= self.replica.commit_index:
            raise RuntimeError(
                f"cannot truncate the log at {index}: the entry is committed"
            )
        self._effects["truncate_from"] = index
        self.update(
            log=consensus_log.truncate(self.replica.log, index),
            synced_index=min(self.replica.synced_index, index - 1),
        )

    def write_snapshot(self, snapshot: data.Snapshot) -> None:
        """Schedules the write of a snapshot."""
        self._effects["snapshot"] = snapshot

    def restore(self, snapshot: data.Snapshot) -> None:
        """Schedules that a snapshot replaces the state machine's state."""
        self._effects["restored"] = snapshot

    # -- role and term ---------------------------------------------------

    def change_role(self, event: consensus_roles.RoleEvent) -> None:
        """Applies an event to the role of the replica."""
        self.update(role=consensus_roles.next_role(self.replica.role, event))

    def step_down(self, term: int, leader: str = "") -> None:
        """Becomes a follower and adopts `term` if it is later."""
        if self.replica.pending_change is not None:
            self.add_effects("rejected", self.replica.pending_change.token)
        self.change_role(RoleEvent.STEP_DOWN)
        self.update(
            votes=immutables.Map(),
            peers=immutables.Map(),
            pending_change=None,
            leader=leader,
        )
        if term > self.replica.term:
            self.write_hard(term=term, voted_for="")

    def draw_deadline(self) -> None:
        """Draws the next election timeout."""
        rep = self.replica
        rng = random.Random(f"{rep.seed}/{rep.node_id}/{rep.timeout_draws}")
        timeout_ms = rng.randint(types.ELECTION_MIN_MS, types.ELECTION_MAX_MS)
        self.update(
            election_deadline_ms=self.now_ms + timeout_ms,
            timeout_draws=rep.timeout_draws + 1,
        )

    def set_commit(self, index: int) -> None:
        """Advances the commit index and reports the newly committed entries."""
        rep = self.replica
        if index <= rep.commit_index:
            return
        entries = rep.log.entries
        self.add_effects(
            "committed",
            *(entries[i] for i in range(rep.commit_index + 1, index + 1)),
        )
        self.update(commit_index=index)


def quorum(members: tuple[str, ...]) -> int:
    """Returns the size of a majority."""
    return len(members) // 2 + 1
