"""Request queues of the leader.

Each workspace has several queues at a service, one for each set of avoided
servers, so that a request that cannot use a free slot never blocks one that
can. Arrival numbers order the heads of the queues across all routers.
"""

from collections.abc import Iterator

import immutables

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.operations import crashes
from waxwingrack.operations import service_traffic
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction

_NO_QUEUES = immutables.Map()
_EMPTY_QUEUE = data.RequestQueue()
# Workspace in the position of a request in the isolated queue of its service,
# which also holds the requests that wait for a verdict.
ISOLATED_WORKSPACE = ""


def append_entry(
    queue: data.RequestQueue, entry: data.QueueEntry
) -> tuple[data.RequestQueue, int]:
    """Adds an entry at the end of a queue.

    Returns:
      The new queue and the index of the entry.
    """
    index = queue.tail
    return (
        data.RequestQueue(
            queue.entries.set(index, entry), queue.head, index + 1
        ),
        index,
    )


def iter_entries(queue: data.RequestQueue) -> Iterator[data.QueueEntry]:
    """Yields the entries of a queue in order of arrival."""
    for index in range(queue.head, queue.tail):
        entry = queue.entries.get(index)
        if entry is not None:
            yield entry


def remove_entry(queue: data.RequestQueue, index: int) -> data.RequestQueue:
    """Removes an entry and moves the head to the first one that is left."""
    entries = queue.entries.delete(index)
    head = queue.head
    if entries:
        while head not in entries:
            head += 1
    return data.RequestQueue(entries, head, queue.tail)


def enqueue_request(
    txn: Transaction, router: str, request: data.QueuedRequest
) -> data.QueuePosition:
    """Adds a new request to its queue.

    Args:
      txn: Tables.
      router: Node id of the router.
      request: Request.

    Returns:
      Its position.
    """
    entry = data.QueueEntry(router, request, txn.next_arrival, txn.now_ms)
    txn.next_arrival += 1
    txn.new_arrivals.append((router, request.sequence))
    service_traffic.record_arrival(txn, router, request)
    return _insert_entry(txn, entry)


def _insert_entry(
    txn: Transaction, entry: data.QueueEntry
) -> data.QueuePosition:
    request = entry.request
    tables_module.get_pool(txn, request.service)
    if find_hold(txn, request) is not crashes.Hold.NONE:
        queue = txn.isolated_queues.get(request.service, _EMPTY_QUEUE)
        txn.isolated_queues[request.service], index = append_entry(queue, entry)
        return data.QueuePosition(
            request.service, ISOLATED_WORKSPACE, (), index
        )
    key = (request.service, request.workspace)
    queues = txn.queues.get(key, _NO_QUEUES)
    if not queues:
        backlog = txn.backlog.get(request.service, immutables.Map())
        txn.backlog[request.service] = backlog.set(request.workspace, True)
    queue, index = append_entry(queues.get(request.avoid, _EMPTY_QUEUE), entry)
    txn.queues[key] = queues.set(request.avoid, queue)
    return data.QueuePosition(
        request.service, request.workspace, request.avoid, index
    )


def replace_entry(txn: Transaction, entry: data.QueueEntry) -> None:
    """Replaces the entry of a queued request that is not isolated."""
    position = get_position(txn, entry)
    key = (position.service, position.workspace)
    queues = txn.queues[key]
    queue = queues[position.avoided_servers]
    queue = data.RequestQueue(
        queue.entries.set(position.index, entry), queue.head, queue.tail
    )
    txn.queues[key] = queues.set(position.avoided_servers, queue)


def find_hold(txn: Transaction, request: data.QueuedRequest) -> crashes.Hold:
    """Finds out whether a crash suspect may run beside other requests now."""
    if not txn.suspicions:
        return crashes.Hold.NONE
    isolates = txn.environment_index.isolates_suspects(request.service)
    suspicion = request.digest and txn.suspicions.get(request.digest)
    found = [(suspicion, isolates, False)] if suspicion else []
    found += [
        (suspicion, False, True)
        for part in crashes.name_parts(
            crashes.list_shared_parts(request.prompt)
        )
        if (suspicion := txn.suspicions.get(part))
    ]
    if any(crashes.must_wait(*item) for item in found):
        return crashes.Hold.WAIT
    isolate = any(isolated for _, isolated, _ in found)
    return crashes.Hold.ISOLATE if isolate else crashes.Hold.NONE


def pop_request(
    txn: Transaction, position: data.QueuePosition
) -> data.QueueEntry:
    """Removes a request from its queue and returns its entry."""
    if position.workspace == ISOLATED_WORKSPACE:
        queue = txn.isolated_queues[position.service]
        entry = queue.entries[position.index]
        queue = remove_entry(queue, position.index)
        if queue.entries:
            txn.isolated_queues[position.service] = queue
        else:
            del txn.isolated_queues[position.service]
        return entry
    key = (position.service, position.workspace)
    queues = txn.queues[key]
    queue = queues[position.avoided_servers]
    entry = queue.entries[position.index]
    queue = remove_entry(queue, position.index)
    if queue.entries:
        txn.queues[key] = queues.set(position.avoided_servers, queue)
        return entry
    queues = queues.delete(position.avoided_servers)
    if queues:
        txn.queues[key] = queues
        return entry
    del txn.queues[key]
    backlog = txn.backlog[position.service].delete(position.workspace)
    if backlog:
        txn.backlog[position.service] = backlog
    else:
        del txn.backlog[position.service]
    return entry


def remove_request(
    txn: Transaction, router: str, sequence: int
) -> data.QueueEntry | None:
    """Removes a request of a router, if it is queued."""
    row = txn.routers.get(router)
    position = row.queue_positions.get(sequence) if row else None
    if position is None:
        return None
    txn.routers[router] = data.evolve(
        row, queue_positions=row.queue_positions.delete(sequence)
    )
    return pop_request(txn, position)


def get_entry(
    txn: Transaction, position: data.QueuePosition
) -> data.QueueEntry:
    """Returns the entry at a position."""
    if position.workspace == ISOLATED_WORKSPACE:
        queue = txn.isolated_queues[position.service]
    else:
        queues = txn.queues[(position.service, position.workspace)]
        queue = queues[position.avoided_servers]
    return queue.entries[position.index]


def restore_entry(txn: Transaction, entry: data.QueueEntry) -> None:
    """Puts an entry back that was taken out of its queue."""
    position = _insert_entry(txn, entry)
    router = txn.routers[entry.router]
    txn.routers[entry.router] = data.evolve(
        router,
        queue_positions=router.queue_positions.set(
            entry.request.sequence, position
        ),
    )


def requeue_request(txn: Transaction, position: data.QueuePosition) -> None:
    """Moves a request to the queue where it now belongs.

    A crash suspect goes to the isolated queue, a cleared one back to the queue
    of its workspace.
    """
    entry = pop_request(txn, position)
    router = txn.routers[entry.router]
    txn.routers[entry.router] = data.evolve(
        router,
        queue_positions=router.queue_positions.set(
            entry.request.sequence, _insert_entry(txn, entry)
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
    """Refuses a queued request."""
    entry = remove_request(txn, router, sequence)
    if entry is not None:
        service_traffic.record_refusal(txn, router, entry.request, kind)
        refusal = messages.Refusal(sequence, kind, retry_after_ms)
        txn.refusals.append((router, refusal, reason))


def get_position(
    txn: Transaction, entry: data.QueueEntry
) -> data.QueuePosition:
    """Returns the position of a queued request."""
    return txn.routers[entry.router].queue_positions[entry.request.sequence]


def list_entries(txn: Transaction) -> tuple[data.QueueEntry, ...]:
    """Returns the entries of all queues, in no particular order."""
    workspace_queues = txn.queues.finish()
    txn.queues = workspace_queues.mutate()
    isolated_queues = txn.isolated_queues.finish()
    txn.isolated_queues = isolated_queues.mutate()
    queues = [
        queue
        for queues in workspace_queues.values()
        for queue in queues.values()
    ]
    queues.extend(isolated_queues.values())
    return tuple(entry for queue in queues for entry in queue.entries.values())


def list_workspace_queues(
    txn: Transaction, service: str
) -> list[data.RequestQueue]:
    """Returns the queues of a service except that of isolated requests."""
    return [
        queue
        for workspace in txn.backlog.get(service, _NO_QUEUES)
        for queue in txn.queues[(service, workspace)].values()
    ]


def list_service_queues(
    txn: Transaction, service: str
) -> tuple[data.RequestQueue, ...]:
    """Returns all queues of a service."""
    queues = list_workspace_queues(txn, service)
    if service in txn.isolated_queues:
        queues.append(txn.isolated_queues[service])
    return tuple(queues)
