"""Weighted virtual counters, one per (service, workspace).

A counter holds the cost charged to a workspace at a service, divided by the
weight of the workspace. When a workspace becomes backlogged, its counter is
raised to a floor if it is lower: the lowest counter of the backlogged
workspaces of the service or, if there is none, the virtual time of the service.
The virtual time is the lowest counter of a backlogged workspace at the latest
grant and never decreases, as in start-time fair queueing. So time without
queued requests gives no credit, and service received while no other workspace
waited leaves no debt.

A reservation never exceeds the largest recent actual cost. The guaranteed bound
on the gap between two backlogged workspaces includes one such cost per slot in
use, so a wrong hint cannot increase the bound.
"""

from collections.abc import Callable
from collections.abc import Iterable

from waxwingrack.core import data
from waxwingrack.core import registry

# Factor by which a hint can increase or decrease a reservation.
HINT_FACTOR = 10.0
# Weight of the latest actual cost in the running mean.
MEAN_STEP = 0.1
# Factor applied to the largest cost at each completion, so that one outlier
# does not raise reservations permanently.
LARGEST_COST_DECAY = 0.995
# Reservation in cost units while no actual cost is known. It must not exceed
# the actual cost of a request, which is the bound for over-reservation.
DEFAULT_RESERVATION = 1.0
# Counters are rebased when the virtual time exceeds this value. A double then
# still resolves 2**-12 cost units.
REBASE_THRESHOLD = float(2**40)
# Workspace name of a service's own account.
SERVICE_ACCOUNT = ""

ReservationFunction = Callable[[float, float, float], float]
UnknownCostFunction = Callable[[data.GrantRow, float, int], float]

RESERVATIONS: registry.Registry[data.CostMeter, ReservationFunction] = (
    registry.Registry("reservation")
)
UNKNOWN_COSTS: registry.Registry[data.CostMeter, UnknownCostFunction] = (
    registry.Registry("cost of a request with an unknown end")
)


@RESERVATIONS.register(data.CostMeter.SLOT_MS)
@RESERVATIONS.register(data.CostMeter.TOKENS)
@RESERVATIONS.register(data.CostMeter.PROMPT_AND_OUTPUT)
def _compute_bounded_reservation(
    mean: float, largest: float, hint: float
) -> float:
    if largest <= 0:
        return DEFAULT_RESERVATION
    if hint > 0:
        reservation = min(max(hint, mean / HINT_FACTOR), mean * HINT_FACTOR)
    else:
        reservation = mean
    return min(reservation, largest)


@UNKNOWN_COSTS.register(data.CostMeter.SLOT_MS)
def _cap_mean_by_time_held(
    grant: data.GrantRow, mean: float, now_ms: int
) -> float:
    # The slot is held until the end of the request is proven, seconds after the
    # end itself, so the time held is only an upper bound of the cost.
    return min(max(grant.cost, mean), float(now_ms - grant.granted_ms))


@UNKNOWN_COSTS.register(data.CostMeter.TOKENS)
@UNKNOWN_COSTS.register(data.CostMeter.PROMPT_AND_OUTPUT)
def _take_larger_cost(grant: data.GrantRow, mean: float, now_ms: int) -> float:
    del now_ms
    return max(grant.cost, mean)


def estimate_unknown_cost(
    grant: data.GrantRow,
    account: data.Account,
    meter: data.CostMeter,
    now_ms: int,
) -> float:
    """Computes the cost of a request whose end was never reported.

    The reservation is not used, as a hint may have changed it.

    Args:
      grant: Grant of the request.
      account: Account of the workspace.
      meter: Cost meter of the service.
      now_ms: Present time.

    Returns:
      Cost in the unit of the meter.
    """
    mean = account.mean_cost if account.largest_cost > 0 else grant.charged
    return UNKNOWN_COSTS[meter](grant, mean, now_ms)


def compute_reservation(
    account: data.Account,
    service_account: data.Account,
    meter: data.CostMeter,
    hint: float,
) -> float:
    """Computes the cost to charge when a request is granted.

    Args:
      account: Account of the workspace.
      service_account: Account of the service, used while the workspace has no
        known cost.
      meter: Cost meter of the service.
      hint: Cost that the caller expects; 0 if there is none.

    Returns:
      Cost in the unit of the meter.
    """
    source = account if account.largest_cost > 0 else service_account
    return RESERVATIONS[meter](source.mean_cost, source.largest_cost, hint)


def add_cost(
    account: data.Account, cost: float, weight: float, in_use: int = 0
) -> data.Account:
    """Adds a cost, which may be negative, to the counter of an account.

    Args:
      account: Account of the workspace.
      cost: Cost in the unit of the meter.
      weight: Weight of the workspace.
      in_use: Change of the number of grants in use, which stays at least 0.

    Returns:
      The changed account.
    """
    return data.Account(
        account.counter + cost / weight,
        account.mean_cost,
        account.largest_cost,
        max(0, account.grants_in_use + in_use),
    )


def record_cost(account: data.Account, cost: float) -> data.Account:
    """Updates the mean and the largest cost with that of an ended request."""
    if account.largest_cost <= 0:
        mean = cost
    else:
        mean = account.mean_cost + MEAN_STEP * (cost - account.mean_cost)
    return data.Account(
        account.counter,
        mean,
        max(cost, account.largest_cost * LARGEST_COST_DECAY),
        account.grants_in_use,
    )


def raise_counter(account: data.Account, floor: float) -> data.Account:
    """Raises the counter of a workspace that becomes backlogged."""
    if account.counter >= floor:
        return account
    return replace_counter(account, floor)


def replace_counter(account: data.Account, value: float) -> data.Account:
    """Returns a copy of an account with another counter."""
    return data.Account(
        value, account.mean_cost, account.largest_cost, account.grants_in_use
    )


def rebase_counters(
    accounts: Iterable[tuple[str, data.Account]],
    backlogged: Iterable[str],
    virtual_time: float,
) -> tuple[tuple[str, data.Account], ...]:
    """Shifts the counters of a service down by its virtual time.

    Relevant differences are kept: a workspace without queued requests whose
    counter is below the virtual time would be raised to it anyway.

    Args:
      accounts: Accounts of the service by workspace.
      backlogged: Workspaces with queued requests.
      virtual_time: Virtual time of the service.

    Returns:
      The shifted accounts by workspace.
    """
    backlogged_workspaces = frozenset(backlogged)
    return tuple(
        (
            workspace,
            replace_counter(
                account,
                account.counter - virtual_time
                if workspace in backlogged_workspaces
                else max(0.0, account.counter - virtual_time),
            ),
        )
        for workspace, account in accounts
    )
