"""Choice of the model engine that starts a request first.

A request waits a while for the engine that keeps its prompt, and takes the next
best one as its time runs out.
"""

import dataclasses

from waxwingrack.core import data
from waxwingrack.operations import engine_load
from waxwingrack.operations import servers
from waxwingrack.operations import tables as tables_module

Work = tables_module.Work


@dataclasses.dataclass(frozen=True, slots=True)
class Pick:
    """An engine for a request.

    Attributes:
      server: The engine.
      needed: How it gets the prompt.
      source: Engine from which it fetches; None for none.
      reason: Why this engine.
    """

    server: data.ServerRow
    needed: engine_load.Needs
    source: data.ServerRow | None
    reason: str


def has_room(work: Work, service: str) -> bool:
    """Tells whether an engine of a service may get a further request."""
    return any(
        engine_load.has_room(row.load)
        and tables_module.free_level(row) is not None
        for row in tables_module.of_service(work, service)
    )


def pick(
    work: Work,
    row: data.WantRow,
    version: str,
    avoid: tuple[str, ...],
    engine: data.Engine,
) -> Pick | None:
    """Picks the engine that suits a request best, if it has room.

    Args:
      work: Tables.
      row: The request.
      version: Version that the engine runs.
      avoid: Engines to leave out.
      engine: Engines of the service.
    """
    want = row.want
    home = work.routers[row.router].ref.data_centre
    waited_ms = work.now_ms - row.at_ms
    patience = engine_load.patience(waited_ms, want)
    reachable = _reachable(work, want.service, version)
    fetch_weight = engine_load.fetch_weight(engine)
    elsewhere, source = 0, None
    if fetch_weight is not None:
        elsewhere, source = _best_source(reachable, want, home)
    ranked = sorted(
        (
            engine_load.rank(
                server, want, needed, home, patience, fetch_weight or 0.0
            ),
            server.key,
            server,
            needed,
        )
        for server in reachable
        if server.announcement.server_id not in avoid
        and tables_module.free_level(server) is not None
        and (needed := engine_load.needs(server.load, want, elsewhere))
    )
    for place, (rank, _, server, needed) in enumerate(ranked):
        if engine_load.fits(server.load, want, engine) and (
            place == 0
            or patience == 0.0
            or engine_load.takes_from_others(server.load, waited_ms, want)
        ):
            return Pick(
                server,
                needed,
                source if needed.fetched else None,
                f"rank {rank:.0f}, {needed.unread} of {want.prompt_tokens} "
                f"tokens to read, {needed.fetched} to fetch",
            )
    return None


def _reachable(work: Work, service: str, version: str) -> list[data.ServerRow]:
    """Returns the engines of a version that announced themselves lately."""
    return [
        server
        for server in tables_module.of_service(work, service)
        if server.announcement.version == version
        and server.announcement.data_centre not in work.drained
        and server.seen_ms + servers.MAX_AGE_MS > work.now_ms
    ]


def _best_source(
    reachable: list[data.ServerRow], want: data.Want, home: str
) -> tuple[int, data.ServerRow | None]:
    """Finds the engine that keeps most of a prompt.

    Returns:
      Tokens that it keeps, and the engine; of equal ones, one in the data
      centre of the router with the fewest requests.
    """
    found = (
        (
            engine_load.fetchable_tokens(server.load, want),
            server.announcement.data_centre == home,
            -len(server.load.uses),
            -server.key,
            server,
        )
        for server in reachable
    )
    best = max(found, default=None)
    return (best[0], best[-1]) if best and best[0] else (0, None)
