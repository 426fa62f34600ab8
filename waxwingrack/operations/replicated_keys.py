"""Idempotency records in the replicated state.

A record is claimed by one owner and is released by that owner only. A record
that has reached the retention period is dropped and raises its workspace's
floor, at or below which a key without a record is refused.
"""

from collections.abc import Set
import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes

MAX_KEYS = 100_000
MAX_STORED_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
# Used until a document says otherwise.
DEFAULT_RETENTION_S = 86_400.0
# Most records dropped by one checkpoint. Dropping 100,000 records at once took
# 1.7 s, longer than the leader's lease.
MAX_EXPIRED = 2_000
# Digits of a date beyond this do not occur before the year 33658.
MAX_DATE_DIGITS = 12

Applied = replicated_outcomes.CommandResult
State = data.KeyState


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLookupResult:
    """What is known of a key.

    Attributes:
      state: ABSENT, RUNNING, ANSWERED, MAY_HAVE_RUN, MISMATCH or EXPIRED.
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
    """Says what is known of a key.

    Args:
      state: The state.
      workspace: Workspace of the caller.
      key: Idempotency key.
      digest: Digest of the request.
      live_owners: Router incarnations that are known to run.

    Returns:
      What is known. A claim whose owner is gone may have run.
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
) -> Applied:
    """Claims a key that has no record.

    A second claim by the same owner is not granted either: it can stand for
    another request with the same key at the same router.
    """
    place = (command.workspace, command.key)
    record = state.keys.get(place)
    if record is not None:
        return Applied(state, _claim_refusal(record, command.digest))
    if key_date(command.key) <= state.key_floors.get(command.workspace, 0):
        return Applied(state, State.EXPIRED)
    if len(state.keys) >= MAX_KEYS or state.stored_bytes >= MAX_STORED_BYTES:
        return Applied(state, State.STORE_FULL)
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
        keys=state.keys.set(place, record),
        key_order=state.key_order.set(sequence, place),
        key_sequences=state.key_sequences.set(place, sequence),
        key_next=sequence + 1,
    )
    return Applied(state, record)


def record_outcome(
    state: data.ReplicatedState, command: commands.RecordKeyOutcome
) -> Applied:
    """Records how a claimed request ended, if its owner says so.

    An answer is final. A request whose end was unknown may still get its
    answer from its owner.
    """
    place = (command.workspace, command.key)
    record = state.keys.get(place)
    if record is None:
        return Applied(state, State.ABSENT)
    if record.owner != command.owner or record.state is State.ANSWERED:
        return Applied(state, _known(record))
    answer = command.answer
    if answer is None:
        changed = dataclasses.replace(record, state=State.MAY_HAVE_RUN)
    else:
        room = MAX_STORED_BYTES - state.stored_bytes
        if answer_bytes(answer) > min(room, MAX_ANSWER_BYTES):
            answer = data.StoredAnswer(answer.status, (), b"", truncated=True)
        changed = dataclasses.replace(
            record, state=State.ANSWERED, answer=answer
        )
    state = dataclasses.replace(
        state,
        keys=state.keys.set(place, changed),
        stored_bytes=state.stored_bytes + answer_bytes(answer),
    )
    return Applied(state, changed)


def release_key(
    state: data.ReplicatedState, command: commands.ReleaseKey
) -> Applied:
    """Removes a claim of the owner that has not been dispatched."""
    place = (command.workspace, command.key)
    record = state.keys.get(place)
    if record is None:
        return Applied(state, State.ABSENT)
    if record.owner != command.owner or record.state is not State.CLAIMED:
        return Applied(state, _known(record))
    sequence = state.key_sequences[place]
    state = dataclasses.replace(
        state,
        keys=state.keys.delete(place),
        key_order=state.key_order.delete(sequence),
        key_sequences=state.key_sequences.delete(place),
    )
    return Applied(state, State.ABSENT)


def expire_records(state: data.ReplicatedState) -> data.ReplicatedState:
    """Drops the records that have reached the retention period.

    Records are visited in order of their claims, so the work is in proportion
    to the records dropped.
    """
    retention_s = (
        state.environment.key_retention_s
        if state.environment
        else DEFAULT_RETENTION_S
    )
    first = state.key_first
    dropped = []
    while first < state.key_next and len(dropped) < MAX_EXPIRED:
        place = state.key_order.get(first)
        if place is not None:
            record = state.keys[place]
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
        place = (record.workspace, record.key)
        del keys[place], order[sequence], sequences[place]
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
    """Returns the size of a stored answer that counts against the bounds."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


def _known(record: data.KeyRecord) -> data.KeyRecord | data.KeyState:
    return State.RUNNING if record.state is State.CLAIMED else record


def _claim_refusal(
    record: data.KeyRecord, digest: str
) -> data.KeyRecord | data.KeyState:
    return _known(record) if record.digest == digest else State.MISMATCH
