"""Weighted virtual counters, one per (service, workspace).

A counter holds the cost that a workspace was charged at a service, divided by
its weight. A workspace that becomes backlogged starts at the highest of its own
counter and a floor: the lowest counter of the backlogged workspaces of the
service or, if there is none, the service's virtual time. The virtual time is
the lowest counter of a backlogged workspace at the latest grant and never goes
back, as in start-time fair queueing. So time without wants gives no credit, and
service received while nobody else waited leaves no debt.

A reservation never exceeds the largest recent real cost. The stated bound on
the gap between two backlogged workspaces counts one such cost per slot in
flight, so a hint that is wrong cannot widen it.
"""

from collections.abc import Callable
from collections.abc import Iterable

from waxwingrack.core import data
from waxwingrack.core import registry

# Factor by which a hint can move a reservation either way.
HINT_FACTOR = 10.0
# Weight of the latest real cost in the running mean.
MEAN_STEP = 0.1
# Factor by which the largest cost fades with each completion, so that one
# outlier does not raise reservations for ever.
LARGEST_COST_DECAY = 0.995
# Reservation in cost units while no real cost is known. It must not exceed the
# cost of a real request, as over-reservation is bounded by that cost.
DEFAULT_RESERVATION = 1.0
# Counters are shifted down once the virtual time passes this value. A double
# then still resolves 2**-12 cost units.
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
def _bounded_hint(mean: float, largest: float, hint: float) -> float:
    if largest <= 0:
        return DEFAULT_RESERVATION
    if hint > 0:
        wanted = min(max(hint, mean / HINT_FACTOR), mean * HINT_FACTOR)
    else:
        wanted = mean
    return min(wanted, largest)


@UNKNOWN_COSTS.register(data.CostMeter.SLOT_MS)
def _mean_within_time_held(
    grant: data.GrantRow, mean: float, now_ms: int
) -> float:
    # The slot is held until the end is proven, which takes seconds longer than
    # the request itself; the time held is only an upper bound.
    return min(max(grant.cost, mean), float(now_ms - grant.granted_ms))


@UNKNOWN_COSTS.register(data.CostMeter.TOKENS)
@UNKNOWN_COSTS.register(data.CostMeter.PROMPT_AND_OUTPUT)
def _mean_or_more(grant: data.GrantRow, mean: float, now_ms: int) -> float:
    del now_ms
    return max(grant.cost, mean)


def estimate_unknown_cost(
    grant: data.GrantRow,
    account: data.Account,
    meter: data.CostMeter,
    now_ms: int,
) -> float:
    """Computes the cost of a request whose end was never reported.

    The reservation is not used, as a hint may have moved it.

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
    """Computes the cost to charge at the grant.

    Args:
      account: Account of the workspace.
      service_account: Account of the service, used while the workspace has no
        known cost.
      meter: Cost meter of the service.
      hint: Expected cost as the caller sees it, 0 if there is none.

    Returns:
      Cost in the unit of the meter.
    """
    known = account if account.largest_cost > 0 else service_account
    return RESERVATIONS[meter](known.mean_cost, known.largest_cost, hint)


def add_cost(
    account: data.Account, cost: float, weight: float, in_use: int = 0
) -> data.Account:
    """Adds a cost, which may be negative, to a counter.

    Args:
      account: Account.
      cost: Cost in the unit of the meter.
      weight: Weight of the workspace.
      in_use: Change of the grants in use, which do not fall below 0.

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
    """Takes the real cost of an ended request into the running mean."""
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
    """Returns an account with another counter."""
    return data.Account(
        value, account.mean_cost, account.largest_cost, account.grants_in_use
    )


def rebase_counters(
    accounts: Iterable[tuple[str, data.Account]],
    backlogged: Iterable[str],
    virtual: float,
) -> tuple[tuple[str, data.Account], ...]:
    """Shifts the counters of a service down by its virtual time.

    Differences that matter are kept: a workspace without wants that is below
    the virtual time would start at the virtual time anyway.

    Args:
      accounts: Accounts of the service by workspace.
      backlogged: Workspaces with wants.
      virtual: Virtual time of the service.

    Returns:
      The shifted accounts by workspace.
    """
    waiting = frozenset(backlogged)
    return tuple(
        (
            workspace,
            replace_counter(
                account,
                account.counter - virtual
                if workspace in waiting
                else max(0.0, account.counter - virtual),
            ),
        )
        for workspace, account in accounts
    )
