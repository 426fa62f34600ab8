"""Working state of one step of a consensus replica."""

import dataclasses
import random
from typing import Any

import immutables

from waxwingrack.core import data
from waxwingrack.operations import consensus_log
from waxwingrack.operations import consensus_roles
from waxwingrack.operations import consensus_types as types

RoleEvent = consensus_roles.RoleEvent


class Turn:
    """Collects the new state and the effects of one step.

    Attributes:
      replica: Replica so far.
      now_ms: Time of the step.
    """

    def __init__(self, replica: types.Replica, now_ms: int):
        self.replica = replica
        self.now_ms = now_ms
        self._effects: dict[str, Any] = {}

    def set(self, **changes: Any) -> None:
        """Changes fields of the replica."""
        self.replica = dataclasses.replace(self.replica, **changes)

    def add(self, field: str, *items: Any) -> None:
        """Adds items to an effect that is a list."""
        self._effects.setdefault(field, []).extend(items)

    def send(self, receiver: str, message: Any) -> None:
        """Sends a message that promises nothing about the own disk."""
        self.add("send", types.Envelope(receiver, message))

    def reply(self, receiver: str, message: Any) -> None:
        """Sends a message once the writes of this step are synced."""
        self.add("send_after_sync", types.Envelope(receiver, message))

    def finish(self) -> types.Step:
        """Returns the result of the step."""
        effects = {
            field: tuple(value) if isinstance(value, list) else value
            for field, value in self._effects.items()
        }
        return types.Step(self.replica, types.Effects(**effects))

    # -- writes ----------------------------------------------------------

    def write_hard(self, **changes: Any) -> None:
        """Changes the hard state and has it written."""
        hard = dataclasses.replace(self.replica.hard, **changes)
        self.set(hard=hard)
        self._effects["hard"] = hard

    def append(self, entries: tuple[data.LogEntry, ...]) -> None:
        """Adds entries to the log and has them written."""
        self.set(log=consensus_log.append(self.replica.log, entries))
        self.add("append", *entries)

    def truncate(self, index: int) -> None:
        """Drops the entries from an index on.

        Raises:
          RuntimeError: A committed entry would be dropped.
        """
        if index <= self.replica.commit:
            raise RuntimeError(
                f"entry {index} is committed and must not be dropped"
            )
        self._effects["truncate_from"] = index
        self.set(
            log=consensus_log.truncate(self.replica.log, index),
            synced=min(self.replica.synced, index - 1),
        )

    def write_snapshot(self, snapshot: data.Snapshot) -> None:
        """Has a snapshot written."""
        self._effects["snapshot"] = snapshot

    def restore(self, snapshot: data.Snapshot) -> None:
        """Has a snapshot replace the state machine."""
        self._effects["restored"] = snapshot

    # -- role and term ---------------------------------------------------

    def change_role(self, event: consensus_roles.RoleEvent) -> None:
        """Moves the role through its life cycle."""
        self.set(role=consensus_roles.next_role(self.replica.role, event))

    def step_down(self, term: int, leader: str = "") -> None:
        """Becomes a follower, in a later term if `term` is one."""
        if self.replica.change is not None:
            self.add("rejected", self.replica.change.token)
        self.change_role(RoleEvent.STEP_DOWN)
        self.set(
            votes=immutables.Map(),
            peers=immutables.Map(),
            change=None,
            leader=leader,
        )
        if term > self.replica.term:
            self.write_hard(term=term, voted_for="")

    def draw_deadline(self) -> None:
        """Draws the next election timeout."""
        rep = self.replica
        rng = random.Random(f"{rep.seed}/{rep.node_id}/{rep.draws}")
        timeout_ms = rng.randint(types.ELECTION_MIN_MS, types.ELECTION_MAX_MS)
        self.set(deadline_ms=self.now_ms + timeout_ms, draws=rep.draws + 1)

    def set_commit(self, index: int) -> None:
        """Advances the commit index and reports the entries."""
        rep = self.replica
        if index <= rep.commit:
            return
        entries = rep.log.entries
        self.add(
            "committed",
            *(entries[at] for at in range(rep.commit + 1, index + 1)),
        )
        self.set(commit=index)


def quorum(members: tuple[str, ...]) -> int:
    """Returns the size of a majority."""
    return len(members) // 2 + 1
