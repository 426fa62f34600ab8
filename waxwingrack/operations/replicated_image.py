"""Encoding of the replicated state for snapshots.

The encoding is deterministic, so replicas with equal states encode equal
snapshots. Idempotency records, of which there can be many, are encoded
as plain rows.
"""

import dataclasses
from typing import Any

import cbor2
import immutables
import pydantic
from returns import result

from waxwingrack.core import codec
from waxwingrack.core import data
from waxwingrack.core import registry
from waxwingrack.operations import replicated_keys

# Rows encoded in one call. A call holds the global interpreter lock: 100,000
# rows in one call took 0.22 s, about half of the leader's lease.
ROWS_PER_CHUNK = 2_000

IMAGES: registry.Registry[str, type] = registry.Registry("image")


@IMAGES.register("replicated_state")
@dataclasses.dataclass(frozen=True, slots=True)
class Image:
    """The state without idempotency records, as tuples in a fixed order."""

    number: int
    operator: str
    environment: data.Environment | None
    drained: tuple[str, ...]
    rollouts: tuple[data.Rollout, ...]
    versions: tuple[tuple[str, str], ...]
    key_floors: tuple[tuple[str, int], ...]
    outcomes: tuple[data.OperationOutcome, ...]
    outcome_first: int
    digests: tuple[str, ...]
    counters: tuple[data.CounterRow, ...]
    routers: tuple[str, ...]
    clock_s: float
    takers: tuple[tuple[int, str], ...]
    key_first: int
    key_next: int
    controllers: tuple[data.Peer, ...] = ()
    orders: tuple[data.EngineOrder, ...] = ()
    fencing: int = 0
    known_routers: tuple[data.KnownRouter, ...] = ()
    departures: tuple[tuple[str, str, float], ...] = ()
    duties: tuple[data.DutyHolder, ...] = ()
    usage: tuple[data.RecordedWindow, ...] = ()
    usage_floor: int = 0


CODEC = codec.Codec(IMAGES)
_RECORD_ROWS = pydantic.TypeAdapter(list[tuple[int, data.KeyRecord]])
_RECORD_FIELDS = tuple(
    field.name for field in dataclasses.fields(data.KeyRecord)
)


def encode(state: data.ReplicatedState) -> bytes:
    """Encodes a state.

    The state is immutable, so this may run in another thread.

    Args:
      state: The state.

    Returns:
      CBOR bytes.
    """
    image = Image(
        number=state.number,
        operator=state.operator,
        environment=state.environment,
        drained=tuple(sorted(state.drained)),
        rollouts=tuple(state.rollouts[item] for item in state.rollout_order),
        versions=tuple(sorted(state.versions.items())),
        key_floors=tuple(sorted(state.key_floors.items())),
        outcomes=tuple(
            state.outcomes[state.outcome_order[sequence]]
            for sequence in range(state.outcome_first, state.outcome_next)
        ),
        outcome_first=state.outcome_first,
        digests=state.digest_order,
        counters=tuple(
            state.counters[key] for key in sorted(state.counters.keys())
        ),
        routers=tuple(sorted(state.routers)),
        clock_s=state.clock_s,
        takers=tuple(sorted(state.takers.items())),
        key_first=state.key_first,
        key_next=state.key_next,
        controllers=tuple(
            state.controllers[key] for key in sorted(state.controllers.keys())
        ),
        orders=tuple(state.orders[key] for key in sorted(state.orders.keys())),
        fencing=state.fencing,
        known_routers=tuple(
            state.known_routers[key]
            for key in sorted(state.known_routers.keys())
        ),
        departures=tuple(
            (*server, noted_s)
            for server, noted_s in sorted(state.departures.items())
        ),
        duties=tuple(state.duties[key] for key in sorted(state.duties.keys())),
        usage=tuple(state.usage[key] for key in sorted(state.usage.keys())),
        usage_floor=state.usage_floor,
    )
    rows = [
        _encode_record(sequence, state.keys[record_key])
        for sequence, record_key in sorted(state.key_order.items())
    ]
    chunks = [
        cbor2.dumps(rows[start : start + ROWS_PER_CHUNK])
        for start in range(0, len(rows), ROWS_PER_CHUNK)
    ]
    return cbor2.dumps([CODEC.encode(image), chunks])


def decode(
    blob: bytes,
) -> result.Result[data.ReplicatedState, codec.DecodeError]:
    """Decodes a state.

    Args:
      blob: Bytes from `encode`.

    Returns:
      The state, or a DecodeError if the bytes do not encode a state.
    """
    try:
        encoded_image, chunks = cbor2.loads(blob)
        rows = [
            (row[0], dict(zip(_RECORD_FIELDS, row[1:], strict=True)))
            for chunk in chunks
            for row in cbor2.loads(chunk)
        ]
        records = _RECORD_ROWS.validate_python(rows)
    except (cbor2.CBORError, ValueError, TypeError, IndexError) as exc:
        return result.Failure(codec.DecodeError(f"not a state: {exc}"))
    return CODEC.decode(encoded_image).map(
        lambda image: _build_state(image, records)
    )


def _encode_record(sequence: int, record: data.KeyRecord) -> list[Any]:
    answer = record.answer
    stored = answer and {
        "status": answer.status,
        "headers": answer.headers,
        "body": answer.body,
        "truncated": answer.truncated,
    }
    return [
        sequence,
        record.workspace,
        record.key,
        record.digest,
        record.owner,
        str(record.state),
        stored,
        record.claimed_s,
    ]


def _build_state(
    image: Image, records: list[tuple[int, data.KeyRecord]]
) -> data.ReplicatedState:
    keyed_records = [
        (sequence, (record.workspace, record.key), record)
        for sequence, record in records
    ]
    outcomes = dict(enumerate(image.outcomes, start=image.outcome_first))
    return data.ReplicatedState(
        number=image.number,
        operator=image.operator,
        environment=image.environment,
        drained=frozenset(image.drained),
        rollouts=immutables.Map({row.plan.id: row for row in image.rollouts}),
        versions=immutables.Map(image.versions),
        keys=immutables.Map(
            {record_key: record for _, record_key, record in keyed_records}
        ),
        key_floors=immutables.Map(image.key_floors),
        outcomes=immutables.Map(
            {outcome.operation: outcome for outcome in image.outcomes}
        ),
        refused_digests=frozenset(image.digests),
        counters=immutables.Map(
            {(row.service, row.workspace): row for row in image.counters}
        ),
        routers=frozenset(image.routers),
        clock_s=image.clock_s,
        takers=immutables.Map(image.takers),
        rollout_order=tuple(row.plan.id for row in image.rollouts),
        outcome_order=immutables.Map(
            {
                sequence: outcome.operation
                for sequence, outcome in outcomes.items()
            }
        ),
        outcome_first=image.outcome_first,
        outcome_next=image.outcome_first + len(image.outcomes),
        digest_order=image.digests,
        key_order=immutables.Map(
            {sequence: record_key for sequence, record_key, _ in keyed_records}
        ),
        key_sequences=immutables.Map(
            {record_key: sequence for sequence, record_key, _ in keyed_records}
        ),
        key_first=image.key_first,
        key_next=image.key_next,
        stored_bytes=sum(
            replicated_keys.answer_bytes(record.answer)
            for _, _, record in keyed_records
        ),
        controllers=immutables.Map(
            {peer.id: peer for peer in image.controllers}
        ),
        orders=immutables.Map({row.server_id: row for row in image.orders}),
        fencing=image.fencing,
        known_routers=immutables.Map(
            {row.node_id: row for row in image.known_routers}
        ),
        departures=immutables.Map(
            {
                (server_id, incarnation): noted_s
                for server_id, incarnation, noted_s in image.departures
            }
        ),
        duties=immutables.Map({row.duty: row for row in image.duties}),
        usage=immutables.Map({row.window: row for row in image.usage}),
        usage_floor=image.usage_floor,
    )
