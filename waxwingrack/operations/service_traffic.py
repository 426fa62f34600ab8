"""Counts of the requests for services whose servers the leader orders.

The leader queues each request on arrival and refuses some of them later. These
counts show `capacity.py` the demand, which the used slots alone do not: a full
service looks the same whether half or none of its requests are refused.
"""

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import tables as tables_module

# Refusals that more servers would have prevented.
CAPACITY_REFUSALS = frozenset(
    (
        errors.ErrorKind.OVERLOADED,
        errors.ErrorKind.NO_BACKEND_SERVER,
        errors.ErrorKind.SERVERS_PAUSED,
    )
)

Transaction = tables_module.Transaction


def record_arrival(
    txn: Transaction, router: str, request: data.QueuedRequest
) -> None:
    """Counts a request that has just been queued.

    Args:
      txn: Tables.
      router: Node id of its router.
      request: The request.
    """
    if not _is_counted(txn, request):
        return
    key = _make_key(txn, router, request)
    known = txn.traffic.get(key) or data.ServiceTraffic()
    txn.traffic[key] = data.ServiceTraffic(
        known.arrived + 1,
        known.tokens + max(0, request.prompt_tokens),
        known.refused,
    )


def record_refusal(
    txn: Transaction,
    router: str,
    request: data.QueuedRequest,
    kind: errors.ErrorKind,
) -> None:
    """Counts a request that is refused.

    Args:
      txn: Tables.
      router: Node id of its router.
      request: The request.
      kind: Why it is refused.
    """
    if kind not in CAPACITY_REFUSALS or not _is_counted(txn, request):
        return
    key = _make_key(txn, router, request)
    known = txn.traffic.get(key) or data.ServiceTraffic()
    txn.traffic[key] = data.ServiceTraffic(
        known.arrived, known.tokens, known.refused + 1
    )


def _is_counted(txn: Transaction, request: data.QueuedRequest) -> bool:
    service = txn.environment_index.services.get(request.service)
    return (
        service is not None
        and service.scaling is not None
        and not request.duplicate
    )


def _make_key(
    txn: Transaction, router: str, request: data.QueuedRequest
) -> tuple[str, str]:
    return request.service, txn.routers[router].ref.data_centre
