"""Which second copies of slow requests get a grant of the leader.

A second copy must take no slot that another request needs. It therefore never
waits in a queue: in the tick in which it arrives it gets a grant, if the queue
of its service is empty after all other requests were served and a server other
than the first one has a clear surplus, or it is refused.
"""

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.operations import crashes
from waxwingrack.operations import granting
from waxwingrack.operations import leader_queues
from waxwingrack.operations import surplus
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction


def take_duplicates(
    txn: Transaction,
) -> dict[str, list[data.QueueEntry]]:
    """Takes the second copies that have arrived out of the queues.

    Args:
      txn: Tables. The copies are not counted as queued work any longer.

    Returns:
      Their queue entries by service.
    """
    found: dict[str, list[data.QueueEntry]] = {}
    for router, sequence in txn.new_arrivals:
        row = txn.routers.get(router)
        position = row.queue_positions.get(sequence) if row else None
        if position is None:
            continue
        entry = leader_queues.get_entry(txn, position)
        if entry.request.duplicate:
            leader_queues.remove_request(txn, router, sequence)
            found.setdefault(entry.request.service, []).append(entry)
    return found


def decide_duplicate(
    txn: Transaction, entry: data.QueueEntry, share: data.VersionShare
) -> None:
    """Grants a second copy or refuses it at once.

    Args:
      txn: Tables.
      entry: Entry of the copy, which is not in a queue.
      share: Division of the traffic of its service between versions.
    """
    reason = _find_obstacle(txn, entry, share)
    if reason is None:
        leader_queues.restore_entry(txn, entry)
        granting.grant_free_slots(txn, entry.request.service, share)
        removed = leader_queues.remove_request(
            txn, entry.router, entry.request.sequence
        )
        reason = "no server can take it" if removed is not None else None
    if reason is not None:
        refusal = messages.Refusal(
            entry.request.sequence, errors.ErrorKind.NO_SURPLUS
        )
        txn.refusals.append((entry.router, refusal, f"second copy: {reason}"))


def _find_obstacle(
    txn: Transaction, entry: data.QueueEntry, share: data.VersionShare
) -> str | None:
    request = entry.request
    if not txn.grants_allowed:
        return "no grants yet"
    if leader_queues.list_service_queues(txn, request.service):
        return "requests are queued"
    if leader_queues.find_hold(txn, request) is not crashes.Hold.NONE:
        return "it is a crash suspect"
    avoided = surplus.list_servers_without_surplus(txn, request)
    versions = {share.current, share.candidate} - {""}
    if not any(
        row.announcement.version in versions
        and row.announcement.data_centre not in txn.drained
        and row.announcement.server_id not in avoided
        for row in tables_module.iter_usable_servers(txn, request.service)
    ):
        return "no other server has a surplus of slots"
    return None
