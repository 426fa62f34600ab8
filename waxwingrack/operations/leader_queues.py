"""Queues of waiting requests at the leader.

The wants of a workspace at a service stand in lanes, one for each set of
servers to avoid, so that a want that cannot use a free slot never blocks one
that can. Arrival numbers order the lanes' heads over all routers.
"""

from collections.abc import Iterator

import immutables

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction

_NO_LANES = immutables.Map()
_EMPTY_LANE = data.RequestQueue()
# Workspace name in the place of a want that runs alone on a server.
ISOLATED_WORKSPACE = ""


def append_entry(
    lane: data.RequestQueue, row: data.QueueEntry
) -> tuple[data.RequestQueue, int]:
    """Adds a want at the end of a lane and returns its position."""
    position = lane.tail
    return (
        data.RequestQueue(
            lane.entries.set(position, row), lane.head, position + 1
        ),
        position,
    )


def iter_entries(lane: data.RequestQueue) -> Iterator[data.QueueEntry]:
    """Yields the wants of a lane in order of arrival."""
    for position in range(lane.head, lane.tail):
        row = lane.entries.get(position)
        if row is not None:
            yield row


def remove_entry(lane: data.RequestQueue, position: int) -> data.RequestQueue:
    """Removes a want; the head stays on the first want that is left."""
    rows = lane.entries.delete(position)
    head = lane.head
    if rows:
        while head not in rows:
            head += 1
    return data.RequestQueue(rows, head, lane.tail)


def enqueue_request(
    txn: Transaction, router: str, want: data.QueuedRequest
) -> data.QueuePosition:
    """Adds a new want.

    Args:
      txn: Tables.
      router: Node id of the router.
      want: Want.

    Returns:
      Its place.
    """
    row = data.QueueEntry(router, want, txn.next_arrival, txn.now_ms)
    txn.next_arrival += 1
    txn.new_arrivals.append((router, want.sequence))
    return _insert(txn, row)


def _insert(txn: Transaction, row: data.QueueEntry) -> data.QueuePosition:
    want = row.request
    tables_module.get_pool(txn, want.service)
    suspected = want.digest and want.digest in txn.suspicions
    if suspected and txn.environment_index.isolates_suspects(want.service):
        lane = txn.isolated_queues.get(want.service, _EMPTY_LANE)
        txn.isolated_queues[want.service], position = append_entry(lane, row)
        return data.QueuePosition(
            want.service, ISOLATED_WORKSPACE, (), position
        )
    place = (want.service, want.workspace)
    lanes = txn.queues.get(place, _NO_LANES)
    if not lanes:
        backlog = txn.backlog.get(want.service, immutables.Map())
        txn.backlog[want.service] = backlog.set(want.workspace, True)
    lane, position = append_entry(lanes.get(want.avoid, _EMPTY_LANE), row)
    txn.queues[place] = lanes.set(want.avoid, lane)
    return data.QueuePosition(
        want.service, want.workspace, want.avoid, position
    )


def pop_request(txn: Transaction, place: data.QueuePosition) -> data.QueueEntry:
    """Removes a want from its lane and returns it."""
    if place.workspace == ISOLATED_WORKSPACE:
        lane = txn.isolated_queues[place.service]
        row = lane.entries[place.index]
        lane = remove_entry(lane, place.index)
        if lane.entries:
            txn.isolated_queues[place.service] = lane
        else:
            del txn.isolated_queues[place.service]
        return row
    key = (place.service, place.workspace)
    lanes = txn.queues[key]
    lane = lanes[place.avoided_servers]
    row = lane.entries[place.index]
    lane = remove_entry(lane, place.index)
    if lane.entries:
        txn.queues[key] = lanes.set(place.avoided_servers, lane)
        return row
    lanes = lanes.delete(place.avoided_servers)
    if lanes:
        txn.queues[key] = lanes
        return row
    del txn.queues[key]
    backlog = txn.backlog[place.service].delete(place.workspace)
    if backlog:
        txn.backlog[place.service] = backlog
    else:
        del txn.backlog[place.service]
    return row


def remove_request(
    txn: Transaction, router: str, sequence: int
) -> data.QueueEntry | None:
    """Removes a want of a router, if it waits."""
    row = txn.routers.get(router)
    place = row.queue_positions.get(sequence) if row else None
    if place is None:
        return None
    txn.routers[router] = data.evolve(
        row, queue_positions=row.queue_positions.delete(sequence)
    )
    return pop_request(txn, place)


def isolate_request(txn: Transaction, place: data.QueuePosition) -> None:
    """Moves a want to the lane of requests that run alone."""
    row = pop_request(txn, place)
    router = txn.routers[row.router]
    txn.routers[row.router] = data.evolve(
        router,
        queue_positions=router.queue_positions.set(
            row.request.sequence, _insert(txn, row)
        ),
    )


def refuse_request(
    txn: Transaction,
    router: str,
    sequence: int,
    kind: errors.ErrorKind,
    reason: str,
    retry_after_ms: int = 0,
) -> None:
    """Removes a want and refuses it."""
    if remove_request(txn, router, sequence) is not None:
        refusal = messages.Refusal(sequence, kind, retry_after_ms)
        txn.refusals.append((router, refusal, reason))


def get_position(txn: Transaction, row: data.QueueEntry) -> data.QueuePosition:
    """Returns the place of a waiting want."""
    return txn.routers[row.router].queue_positions[row.request.sequence]


def list_entries(txn: Transaction) -> tuple[data.QueueEntry, ...]:
    """Returns every waiting want, in no particular order."""
    queues = txn.queues.finish()
    txn.queues = queues.mutate()
    alone = txn.isolated_queues.finish()
    txn.isolated_queues = alone.mutate()
    lanes = [lane for lanes in queues.values() for lane in lanes.values()]
    lanes.extend(alone.values())
    return tuple(row for lane in lanes for row in lane.entries.values())


def list_workspace_queues(
    txn: Transaction, service: str
) -> list[data.RequestQueue]:
    """Returns the lanes of a service without those of crash suspects."""
    return [
        lane
        for workspace in txn.backlog.get(service, _NO_LANES)
        for lane in txn.queues[(service, workspace)].values()
    ]


def list_service_queues(
    txn: Transaction, service: str
) -> tuple[data.RequestQueue, ...]:
    """Returns the lanes of a service."""
    lanes = list_workspace_queues(txn, service)
    if service in txn.isolated_queues:
        lanes.append(txn.isolated_queues[service])
    return tuple(lanes)
