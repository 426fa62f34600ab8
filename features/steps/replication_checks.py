"""Invariants of a replicated group, checked while it runs."""

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import consensus
from waxwingrack.operations import consensus_log
from waxwingrack.operations import replicated

# Comparing whole states at every entry would take most of the run.
STATE_CHECK_INTERVAL = 16


class Checks:
    """Invariants over everything that the nodes have reported so far.

    Attributes:
      committed: Entries by index that some node reported as committed.
      granted: Owner by (workspace, key) of the claims that were granted and
        not released.
    """

    def __init__(self) -> None:
        self.committed: dict[int, data.LogEntry] = {}
        self.granted: dict[tuple[str, str], str] = {}
        self._leaders: dict[int, str] = {}
        self._entries: dict[tuple[int, int], tuple] = {}
        self._states = {0: data.ReplicatedState()}
        self._outcomes: dict[int, object] = {}
        self._numbers: dict[str, int] = {}
        self._served = 0
        self._takers: dict[int, str] = {}
        self._operations: dict[str, data.OperationOutcome] = {}

    def on_start(self, node_id: str) -> None:
        """Resets the number of a node, which starts from its snapshot."""
        self._numbers.pop(node_id, None)

    def on_step(self, node_id: str, step_result: consensus.StepResult) -> None:
        """Checks one leader per term, log matching and completeness."""
        replica = step_result.replica
        if replica.role is consensus.ReplicaRole.LEADER:
            first = self._leaders.setdefault(replica.term, node_id)
            assert first == node_id, (
                f"term {replica.term} has the leaders {first} and {node_id}"
            )
        for entry in step_result.effects.append:
            previous = consensus_log.term_at(replica.log, entry.index - 1)
            place = (entry.index, entry.term)
            first = self._entries.setdefault(place, (entry, previous))
            assert first == (entry, previous), (
                f"entry {place} of {node_id} differs from another replica"
            )
            if entry.index == replica.first_term_index and (
                replica.role is consensus.ReplicaRole.LEADER
            ):
                self._check_complete(node_id, replica)
        for entry in step_result.effects.committed:
            first = self.committed.setdefault(entry.index, entry)
            assert first == entry, (
                f"committed entry {entry.index} was changed at {node_id}"
            )

    def _check_complete(self, node_id: str, replica: consensus.Replica) -> None:
        """Checks that a new leader has every committed entry."""
        for index, entry in self.committed.items():
            local_entry = replica.log.entries.get(index)
            assert (
                local_entry == entry or index <= replica.log.snapshot_index
            ), f"leader {node_id} lost the committed entry {index}"

    def on_restored(self, node_id: str, snapshot: data.Snapshot, state) -> None:
        """Checks that a snapshot holds the state at its index."""
        assert state == self._states[snapshot.index], (
            f"the snapshot at {snapshot.index} of {node_id} differs"
        )
        self._check_number(node_id, state.number)

    def on_applied(
        self, node_id: str, entry: data.LogEntry, state, outcome
    ) -> None:
        """Checks state and outcome against the first node that applied it."""
        index = entry.index
        if index not in self._states:
            self._apply_first(entry)
        assert outcome == self._outcomes[index], (
            f"entry {index} has another outcome at {node_id}: {outcome}"
        )
        if index % STATE_CHECK_INTERVAL == 0:
            assert state == self._states[index], (
                f"state at {index} of {node_id} differs"
            )
        self._check_number(node_id, state.number)

    def _check_number(self, node_id: str, number: int) -> None:
        before = self._numbers.get(node_id, 0)
        assert number >= before, (
            f"environment number of {node_id} went from {before} to {number}"
        )
        self._numbers[node_id] = number

    def _apply_first(self, entry: data.LogEntry) -> None:
        """Applies a newly committed entry to the reference state."""
        state = self._states[entry.index - 1]
        outcome = None
        if entry.command:
            command = commands.CODEC.decode(entry.command).unwrap()
            before = state
            command_result = replicated.apply(state, command)
            state, outcome = command_result.state, command_result.outcome
            self._check_key(command, outcome, before)
            if isinstance(outcome, data.OperationOutcome):
                self._check_operation(command, outcome)
        self._states[entry.index] = state
        self._outcomes[entry.index] = outcome
        # Only the latest 2,000 states are compared.
        self._states.pop(entry.index - 2_000, None)

    def _check_key(self, command, outcome, before) -> None:
        """Checks that a key has at most one owner at a time."""
        if isinstance(command, commands.ClaimKey):
            place = (command.workspace, command.key)
            if (
                isinstance(outcome, data.KeyRecord)
                and outcome.state is data.KeyState.CLAIMED
            ):
                owner = self.granted.get(place)
                assert owner is None, (
                    f"{place} was granted to {command.owner}, held by {owner}"
                )
                self.granted[place] = command.owner
        elif isinstance(command, commands.ReleaseKey):
            place = (command.workspace, command.key)
            record = before.keys.get(place)
            if (
                record is not None
                and record.owner == command.owner
                and record.state is data.KeyState.CLAIMED
            ):
                del self.granted[place]

    def _check_operation(self, command, outcome: data.OperationOutcome) -> None:
        """Checks that one operation per number succeeds and resends agree."""
        name = command.operation
        first = self._operations.get(name)
        if first is not None:
            assert outcome == first, f"resend of {name} got {outcome}"
            return
        self._operations[name] = outcome
        if outcome.accepted and command.expected is not None:
            winner = self._takers.setdefault(command.expected, name)
            assert winner == name, (
                f"number {command.expected} went to {winner} and {name}"
            )

    def on_time(self, leases: list[tuple[str, int]]) -> None:
        """Checks that at most one node has a lease and serves no old number.

        Args:
          leases: Node id and environment number of each node with a lease.
        """
        assert len(leases) <= 1, f"leases at the same time: {leases}"
        for node_id, number in leases:
            assert number >= self._served, (
                f"{node_id} serves number {number} after {self._served}"
            )
            self._served = number
