"""Idempotency records in the replicated state.

One owner claims a record, and only that owner can release it. A record that
reaches the retention period is dropped and raises the floor of its workspace:
a key without a record whose date is at or below the floor is refused.
"""

from collections.abc import Set
import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes

MAX_KEYS = 100_000
MAX_STORED_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
# Retention period until an environment document sets one.
DEFAULT_RETENTION_S = 86_400.0
# Maximum number of records dropped by one checkpoint. Dropping 100,000 records
# at once took 1.7 s, longer than the leader's lease.
MAX_EXPIRED_PER_CHECKPOINT = 2_000
# Unix seconds have more than 12 digits only from the year 33658 on.
MAX_DATE_DIGITS = 12

CommandResult = replicated_outcomes.CommandResult
State = data.KeyState


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLookupResult:
    """Result of looking up an idempotency key.

    Attributes:
      state: One of ABSENT, RUNNING, ANSWERED, MAY_HAVE_RUN, MISMATCH
        or EXPIRED.
      answer: Stored answer, if ANSWERED.
    """

    state: data.KeyState
    answer: data.StoredAnswer | None = None


def key_date(key: str) -> int:
    """Returns the Unix seconds in a key, or 0 if the key has none.

    The floor of a workspace is never below 0, so a key without a date is
    refused as expired.
    """
    date, dash, _ = key.partition("-")
    valid = dash and date.isascii() and date.isdigit()
    return int(date) if valid and len(date) <= MAX_DATE_DIGITS else 0


def lookup_key(
    state: data.ReplicatedState,
    workspace: str,
    key: str,
    digest: str,
    live_owners: Set[str],
) -> KeyLookupResult:
    """Looks up an idempotency key.

    Args:
      state: The state.
      workspace: Workspace of the caller.
      key: Idempotency key.
      digest: Digest of the request.
      live_owners: Router incarnations that are known to run.

    Returns:
      The result. A claim whose owner is not live is MAY_HAVE_RUN.
    """
    record = state.keys.get((workspace, key))
    if record is None:
        expired = key_date(key) <= state.key_floors.get(workspace, 0)
        return KeyLookupResult(State.EXPIRED if expired else State.ABSENT)
    if record.digest != digest:
        return KeyLookupResult(State.MISMATCH)
    if record.state is State.CLAIMED:
        live = record.owner in live_owners
        return KeyLookupResult(State.RUNNING if live else State.MAY_HAVE_RUN)
    return KeyLookupResult(record.state, record.answer)


def claim_key(
    state: data.ReplicatedState, command: commands.ClaimKey
) -> CommandResult:
    """Claims a key that has no record.

    A second claim by the same owner is refused, too, because it may come from
    another request with the same key at the same router.
    """
    record_key = (command.workspace, command.key)
    record = state.keys.get(record_key)
    if record is not None:
        return CommandResult(state, _claim_refusal(record, command.digest))
    if key_date(command.key) <= state.key_floors.get(command.workspace, 0):
        return CommandResult(state, State.EXPIRED)
    if len(state.keys) >= MAX_KEYS or state.stored_bytes >= MAX_STORED_BYTES:
        return CommandResult(state, State.STORE_FULL)
    record = data.KeyRecord(
        command.workspace,
        command.key,
        command.digest,
        command.owner,
        State.CLAIMED,
        None,
        state.clock_s,
    )
    sequence = state.key_next
    state = dataclasses.replace(
        state,
        keys=state.keys.set(record_key, record),
        key_order=state.key_order.set(sequence, record_key),
        key_sequences=state.key_sequences.set(record_key, sequence),
        key_next=sequence + 1,
    )
    return CommandResult(state, record)


def record_outcome(
    state: data.ReplicatedState, command: commands.RecordKeyOutcome
) -> CommandResult:
    """Records the outcome of a claimed request, as reported by its owner.

    An answer is final. A record that is MAY_HAVE_RUN may still get an answer
    from its owner.
    """
    record_key = (command.workspace, command.key)
    record = state.keys.get(record_key)
    if record is None:
        return CommandResult(state, State.ABSENT)
    if record.owner != command.owner or record.state is State.ANSWERED:
        return CommandResult(state, _record_or_running(record))
    answer = command.answer
    if answer is None:
        updated = dataclasses.replace(record, state=State.MAY_HAVE_RUN)
    else:
        free_bytes = MAX_STORED_BYTES - state.stored_bytes
        if answer_bytes(answer) > min(free_bytes, MAX_ANSWER_BYTES):
            answer = data.StoredAnswer(answer.status, (), b"", truncated=True)
        updated = dataclasses.replace(
            record, state=State.ANSWERED, answer=answer
        )
    state = dataclasses.replace(
        state,
        keys=state.keys.set(record_key, updated),
        stored_bytes=state.stored_bytes + answer_bytes(answer),
    )
    return CommandResult(state, updated)


def release_key(
    state: data.ReplicatedState, command: commands.ReleaseKey
) -> CommandResult:
    """Removes the claim of a request that its owner did not dispatch."""
    record_key = (command.workspace, command.key)
    record = state.keys.get(record_key)
    if record is None:
        return CommandResult(state, State.ABSENT)
    if record.owner != command.owner or record.state is not State.CLAIMED:
        return CommandResult(state, _record_or_running(record))
    sequence = state.key_sequences[record_key]
    state = dataclasses.replace(
        state,
        keys=state.keys.delete(record_key),
        key_order=state.key_order.delete(sequence),
        key_sequences=state.key_sequences.delete(record_key),
    )
    return CommandResult(state, State.ABSENT)


def expire_records(state: data.ReplicatedState) -> data.ReplicatedState:
    """Drops the records that have reached the retention period.

    Records are visited in the order of their claims, so the cost is
    proportional to the number of records dropped.
    """
    retention_s = (
        state.environment.key_retention_s
        if state.environment
        else DEFAULT_RETENTION_S
    )
    first = state.key_first
    dropped = []
    while first < state.key_next and len(dropped) < MAX_EXPIRED_PER_CHECKPOINT:
        record_key = state.key_order.get(first)
        if record_key is not None:
            record = state.keys[record_key]
            if state.clock_s - record.claimed_s < retention_s:
                break
            dropped.append((first, record))
        first += 1
    if first == state.key_first:
        return state
    keys = state.keys.mutate()
    order = state.key_order.mutate()
    sequences = state.key_sequences.mutate()
    floors = state.key_floors.mutate()
    stored_bytes = state.stored_bytes
    for sequence, record in dropped:
        record_key = (record.workspace, record.key)
        del keys[record_key], order[sequence], sequences[record_key]
        floor = floors.get(record.workspace, 0)
        floors[record.workspace] = max(floor, key_date(record.key))
        stored_bytes -= answer_bytes(record.answer)
    return dataclasses.replace(
        state,
        keys=keys.finish(),
        key_order=order.finish(),
        key_sequences=sequences.finish(),
        key_floors=floors.finish(),
        key_first=first,
        stored_bytes=stored_bytes,
    )


def answer_bytes(answer: data.StoredAnswer | None) -> int:
    """Returns the size of a stored answer that counts towards the limits."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


def _record_or_running(
    record: data.KeyRecord,
) -> data.KeyRecord | data.KeyState:
    return State.RUNNING if record.state is State.CLAIMED else record


def _claim_refusal(
    record: data.KeyRecord, digest: str
) -> data.KeyRecord | data.KeyState:
    return (
        _record_or_running(record)
        if record.digest == digest
        else State.MISMATCH
    )
