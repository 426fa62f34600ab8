"""Which engines of a service get which version, within the limits."""

from collections.abc import Iterable
from collections.abc import Iterator

from waxwingrack.core import data
from waxwingrack.operations import order_records
from waxwingrack.operations import order_work

# Tolerance for sums of shares such as 3 * 0.1.
_EPSILON = 1e-9


def move(work: order_work.Work, service: data.Service) -> None:
    """Decides on the orders of one service."""
    engines = [item for item in work.engines if item.service == service.id]
    share = work.shares[service.id]
    if share.candidate in order_work.with_traffic(share):
        _move_share(work, service, engines, share)
    strays = [
        engine
        for engine in engines
        if work.heading(engine) not in order_work.with_traffic(share)
    ]
    for engine in _ranked(work, strays):
        _try(work, engine, engines, share.current, "runs no wanted version")


def _move_share(
    work: order_work.Work,
    service: data.Service,
    engines: list[order_records.Engine],
    share: data.VersionShare,
) -> None:
    """Moves engines until the candidate has its share of the usable slots."""
    usable = [engine for engine in engines if engine.placeable]
    need = share.share * _slots(usable) - _EPSILON
    have = _slots(
        engine for engine in usable if work.heading(engine) == share.candidate
    )
    donors = [
        engine for engine in usable if work.heading(engine) != share.candidate
    ]
    for engine in _ranked(work, donors):
        if have >= need:
            return
        reason = f"share {share.share:g}, {have} slots have the version"
        if _try(work, engine, engines, share.candidate, reason):
            have += engine.slots


def _ranked(
    work: order_work.Work, engines: Iterable[order_records.Engine]
) -> Iterator[order_records.Engine]:
    """Puts engines first whose loading leaves the least work without capacity.

    An engine that does not serve costs nothing. Among the others the requests
    that run on it count, then the slots that are lost while it loads.
    """
    return iter(
        sorted(
            engines,
            key=lambda item: (
                work.serving(item),
                item.in_use,
                item.slots,
                item.server_id,
            ),
        )
    )


def _try(
    work: order_work.Work,
    engine: order_records.Engine,
    engines: list[order_records.Engine],
    version: str,
    reason: str,
) -> bool:
    """Orders a version from an engine, or reads the engine back first.

    Returns:
      False if the order is withheld.
    """
    if work.being_read(engine):
        work.loading[engine.server_id] = version
        return True
    obstacle = work.obstacle(engine, version) or _limit(work, engine, engines)
    if obstacle:
        work.withheld.setdefault(engine.service, obstacle)
        return False
    reason = f"{reason}, {engine.in_use} of {engine.slots} slots in use"
    if work.rows[engine.server_id].read:
        work.issue(engine, version, reason)
    else:
        work.read_back(engine, f"not read back yet; {reason}")
    # An engine that is read back gets the order next, so it counts already.
    work.loading[engine.server_id] = version
    return True


def _limit(
    work: order_work.Work,
    engine: order_records.Engine,
    engines: list[order_records.Engine],
) -> str:
    """Returns which limit forbids to let an engine load, or ""."""
    most = work.state.environment.max_loading
    if len(work.loading.keys() - {engine.server_id}) >= most:
        return f"{most} engines load already (max_loading)"
    if not work.serving(engine):
        return ""
    left = _slots(item for item in engines if work.serving(item)) - engine.slots
    least = work.settings(engine).min_serving_share * _slots(engines)
    if left < least - _EPSILON:
        return f"{left} of at least {least:g} slots would serve"
    return ""


def _slots(engines: Iterable[order_records.Engine]) -> int:
    return sum(engine.slots for engine in engines)
