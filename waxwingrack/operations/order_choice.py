"""Chooses engines of a service for its versions, within the limits."""

from collections.abc import Iterable
from collections.abc import Iterator

from waxwingrack.core import data
from waxwingrack.operations import order_records
from waxwingrack.operations import order_work

# Tolerance for rounding errors in sums of shares, such as 3 * 0.1.
_SHARE_TOLERANCE = 1e-9


def plan_service_orders(
    planner: order_work.OrderPlanner, service: data.Service
) -> None:
    """Decides on the orders to the engines of one service."""
    engines = [item for item in planner.engines if item.service == service.id]
    share = planner.shares[service.id]
    if share.candidate in order_work.versions_with_traffic(share):
        _plan_candidate_share(planner, service, engines, share)
    misplaced = [
        engine
        for engine in engines
        if planner.target_version(engine)
        not in order_work.versions_with_traffic(share)
    ]
    for engine in _rank_by_loading_cost(planner, misplaced):
        _try_order(
            planner, engine, engines, share.current, "runs no wanted version"
        )


def _plan_candidate_share(
    planner: order_work.OrderPlanner,
    service: data.Service,
    engines: list[order_records.Engine],
    share: data.VersionShare,
) -> None:
    """Orders engines to load the candidate until it has its share of slots."""
    usable = [engine for engine in engines if engine.placeable]
    needed_slots = share.share * _count_slots(usable) - _SHARE_TOLERANCE
    candidate_slots = _count_slots(
        engine
        for engine in usable
        if planner.target_version(engine) == share.candidate
    )
    other_engines = [
        engine
        for engine in usable
        if planner.target_version(engine) != share.candidate
    ]
    for engine in _rank_by_loading_cost(planner, other_engines):
        if candidate_slots >= needed_slots:
            return
        reason = (
            f"share {share.share:g}, {candidate_slots} slots have the version"
        )
        if _try_order(planner, engine, engines, share.candidate, reason):
            candidate_slots += engine.slots


def _rank_by_loading_cost(
    planner: order_work.OrderPlanner, engines: Iterable[order_records.Engine]
) -> Iterator[order_records.Engine]:
    """Sorts engines by the capacity that is lost while they load.

    Engines that do not serve come first, as they cost nothing. The others are
    sorted by the requests that run on them, then by their slots.
    """
    return iter(
        sorted(
            engines,
            key=lambda item: (
                planner.is_serving(item),
                item.in_use,
                item.slots,
                item.server_id,
            ),
        )
    )


def _try_order(
    planner: order_work.OrderPlanner,
    engine: order_records.Engine,
    engines: list[order_records.Engine],
    version: str,
    reason: str,
) -> bool:
    """Decides to order a version, or to read the engine back first.

    Returns:
      False if the order is withheld.
    """
    if planner.is_being_read_back(engine):
        planner.loading[engine.server_id] = version
        return True
    obstacle = planner.find_obstacle(engine, version) or _find_reached_limit(
        planner, engine, engines
    )
    if obstacle:
        planner.withheld.setdefault(engine.service, obstacle)
        return False
    reason = f"{reason}, {engine.in_use} of {engine.slots} slots in use"
    if planner.rows[engine.server_id].was_read_back:
        planner.decide_issue(engine, version, reason)
    else:
        planner.decide_read_back(engine, f"not read back yet; {reason}")
    # An engine that is read back gets the order next, so it counts as loading.
    planner.loading[engine.server_id] = version
    return True


def _find_reached_limit(
    planner: order_work.OrderPlanner,
    engine: order_records.Engine,
    engines: list[order_records.Engine],
) -> str:
    """Returns which limit keeps an engine from loading, or ""."""
    max_loading = planner.state.environment.max_loading
    if len(planner.loading.keys() - {engine.server_id}) >= max_loading:
        return f"{max_loading} engines load already (max_loading)"
    if not planner.is_serving(engine):
        return ""
    serving_slots = (
        _count_slots(item for item in engines if planner.is_serving(item))
        - engine.slots
    )
    min_slots = planner.order_settings(engine).min_serving_share * _count_slots(
        engines
    )
    if serving_slots < min_slots - _SHARE_TOLERANCE:
        return f"{serving_slots} of at least {min_slots:g} slots would serve"
    return ""


def _count_slots(engines: Iterable[order_records.Engine]) -> int:
    return sum(engine.slots for engine in engines)
