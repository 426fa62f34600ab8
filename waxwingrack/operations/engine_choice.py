"""Choice of the model engine that starts a request first.

A request waits a while for the engine that keeps its prompt, and takes the next
best one as its time runs out.
"""

import dataclasses
import zlib

import immutables

from waxwingrack.core import data
from waxwingrack.operations import engine_load
from waxwingrack.operations import forecast
from waxwingrack.operations import servers
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChoice:
    """An engine for a request.

    Attributes:
      server: The engine.
      prompt_plan: How the engine gets the prompt.
      fetch_source: Engine from which it fetches cached tokens; None for none.
      reason: Reason for the log.
    """

    server: data.ServerRow
    prompt_plan: engine_load.PromptPlan
    fetch_source: data.ServerRow | None
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """An engine with what does not depend on the request.

    Attributes:
      server: The engine.
      server_id: Its id.
      encoded_id: Its id as bytes.
      data_centre: Its data centre.
      reachable: Whether it announced itself lately in a data centre in service.
      has_free_slot: Whether its slots allow a further request.
      unread_tokens: Prompt tokens that it still has to read.
      max_request_tokens: Size of the largest request that it accepts now.
      load_tokens: Its unread prompts and running requests, in tokens to read.
      cached_parts: Prompt parts in its cache.
    """

    server: data.ServerRow
    server_id: str
    encoded_id: bytes
    data_centre: str
    reachable: bool
    has_free_slot: bool
    unread_tokens: int
    max_request_tokens: float
    load_tokens: int
    cached_parts: immutables.Map


# An engine in its place for a request: its rank, the number that orders engines
# of equal rank, the engine, and the tokens of the prompt that it keeps.
_Ranked = tuple[float, int, EngineState, int]


class Engines:
    """The engines of a service in one tick.

    Many requests look at all engines in a tick, in which only those engines
    change that get a grant.

    Attributes:
      engine_settings: Engine settings of the service.
    """

    def __init__(
        self, txn: Transaction, service: str, engine_settings: data.Engine
    ):
        self.engine_settings = engine_settings
        self._candidates = {
            server.announcement.server_id: _candidate(
                txn, server, engine_settings
            )
            for server in tables_module.of_service(txn, service)
        }
        self._reachable: dict[str, list[EngineState]] = {}

    def has_room(self) -> bool:
        """Tells whether an engine may get a further request."""
        return any(
            entry.has_free_slot and entry.max_request_tokens
            for entry in self._candidates.values()
        )

    def list_reachable(self, version: str) -> list[EngineState]:
        """Returns the engines of a version that may run or pass on a prompt."""
        if version not in self._reachable:
            self._reachable[version] = [
                entry
                for entry in self._candidates.values()
                if entry.reachable
                and entry.server.announcement.version == version
            ]
        return self._reachable[version]

    def refresh(self, txn: Transaction, server_id: str) -> None:
        """Takes over the changes of an engine that got a grant."""
        self._candidates[server_id] = _candidate(
            txn, txn.servers[server_id], self.engine_settings
        )
        self._reachable.clear()


def _candidate(
    txn: Transaction, server: data.ServerRow, declared: data.Engine
) -> EngineState:
    seen, load = server.announcement, server.load
    rate = forecast.get_read_rate(txn, seen.service)
    unread = engine_load.estimate_unread_tokens(load, txn.now_ms, rate)
    return EngineState(
        server=server,
        server_id=seen.server_id,
        encoded_id=seen.server_id.encode(),
        data_centre=seen.data_centre,
        reachable=seen.data_centre not in txn.drained
        and server.announced_ms + servers.MAX_AGE_MS > txn.now_ms,
        has_free_slot=tables_module.free_level(server) is not None,
        unread_tokens=unread,
        max_request_tokens=engine_load.compute_max_request_tokens(
            load, unread, declared
        ),
        load_tokens=unread
        + engine_load.RUNNING_REQUEST_TOKENS * len(load.reservations),
        cached_parts=load.cache.uses,
    )


def choose_engine(
    txn: Transaction,
    engines: Engines,
    row: data.QueueEntry,
    version: str,
    avoid: tuple[str, ...],
) -> EngineChoice | None:
    """Picks the engine that suits a request best, if it has room.

    Args:
      txn: Tables.
      engines: Engines of the service.
      row: The request.
      version: Version that the engine runs.
      avoid: Engines to leave out.
    """
    want = row.request
    reachable = engines.list_reachable(version)
    size = _size(want)
    if not [
        e for e in reachable if size <= e.max_request_tokens and e.has_free_slot
    ]:
        return None
    home = txn.routers[row.router].ref.data_centre
    waited_ms = txn.now_ms - row.arrived_ms
    kept = _kept_tokens(reachable, want)
    fetch_weight = engine_load.compute_fetch_weight(engines.engine_settings)
    elsewhere = 0
    if fetch_weight is not None:
        elsewhere = _most_read(reachable, kept, want)
    ranked = _rank(
        [
            pair
            for pair in zip(reachable, kept, strict=True)
            if pair[0].has_free_slot and pair[0].server_id not in avoid
        ],
        want,
        home,
        1.0
        + engine_load.REREAD_WEIGHT
        * engine_load.compute_patience(waited_ms, want),
        elsewhere,
        fetch_weight or 0.0,
    )
    best = _first(ranked, want, waited_ms)
    if best is None:
        return None
    rank, _, chosen, own = best
    needed = engine_load.plan_prompt(want, own, elsewhere)
    return EngineChoice(
        chosen.server,
        needed,
        _source(reachable, want, home, elsewhere)
        if needed.fetched_tokens
        else None,
        f"rank {rank:.0f}, {needed.unread_tokens} of {want.prompt_tokens} "
        f"tokens to read behind {chosen.unread_tokens}, "
        f"{needed.fetched_tokens} to fetch",
    )


def _size(want: data.QueuedRequest) -> int:
    """Returns the memory that a request takes, in tokens."""
    return want.prompt_tokens + want.output_tokens


def _first(
    ranked: list[_Ranked], want: data.QueuedRequest, waited_ms: int
) -> _Ranked | None:
    """Returns the engine that starts a request; None if it waits.

    A request waits for the engine of the lowest rank while it has time left,
    unless another one would run out of prompts.
    """
    if not ranked:
        return None
    size = _size(want)
    best = min(ranked)
    if size <= best[2].max_request_tokens:
        return best
    out_of_time = engine_load.compute_patience(waited_ms, want) == 0.0
    return min(
        (
            item
            for item in ranked
            if size <= item[2].max_request_tokens
            and (
                out_of_time
                or engine_load.may_take_early(
                    item[2].unread_tokens, waited_ms, want
                )
            )
        ),
        default=None,
    )


# The functions below run for each waiting request and engine in each tick. They
# loop over the engines themselves, as a call for each would take most of the
# leader's time.


def _kept_tokens(
    reachable: list[EngineState], want: data.QueuedRequest
) -> list[int]:
    """Returns the tokens of a prompt that each engine need not read.

    A part is kept only together with all parts before it.
    """
    parts = [(part.id, part.tokens) for part in want.prompt]
    found = []
    for entry in reachable:
        kept, tokens = entry.cached_parts, 0
        for part, size in parts:
            if part not in kept:
                break
            tokens += size
        found.append(tokens)
    return found


def _rank(
    engines: list[tuple[EngineState, int]],
    want: data.QueuedRequest,
    home: str,
    weight: float,
    elsewhere: int,
    fetch_weight: float,
) -> list[_Ranked]:
    """Returns how well each engine suits a request; lower is better.

    The unit is tokens to read. Reading a part again that another engine keeps
    takes time from all requests of the engine, so it counts more than once;
    less so the longer the request has waited for the engine that keeps it.

    Args:
      engines: The engines, each with the tokens of the prompt that it keeps.
      want: The request.
      home: Data centre of its router.
      weight: How often a token to read counts.
      elsewhere: Most tokens of the prompt that an engine could fetch.
      fetch_weight: Time of fetching a token relative to that of reading it.
    """
    prompt_tokens = want.prompt_tokens
    shared = want.prompt[:-1] or want.prompt
    # Each prompt prefers engines in an order of its own, that of rendezvous
    # hashing, so that a leader that knows nothing yet sends it where the one
    # before did.
    preferred = engine_load.PREFERENCE_FRACTION * sum(
        part.tokens for part in shared
    )
    digest = zlib.crc32(f"{shared[-1].id}/".encode()) if shared else 0
    ranked = []
    for entry, own in engines:
        fetched = elsewhere - own
        if fetched < engine_load.MIN_FETCH_TOKENS:
            fetched = 0
        unread: float = prompt_tokens - own - fetched
        if unread < 0:
            unread = 0
        elif shared and unread == prompt_tokens:
            turn = zlib.crc32(entry.encoded_id, digest) / 2**32
            unread -= preferred * turn
        rank = entry.load_tokens + weight * unread + fetch_weight * fetched
        if entry.data_centre != home:
            rank += engine_load.REMOTE_PENALTY_TOKENS
        ranked.append((rank, entry.server.key, entry, own))
    return ranked


def _most_read(
    reachable: list[EngineState], kept: list[int], want: data.QueuedRequest
) -> int:
    """Returns the most tokens of a prompt that an engine has read."""
    most = 0
    for entry, tokens in zip(reachable, kept, strict=True):
        if tokens > most:
            read = engine_load.count_fetchable_tokens(entry.server.load, want)
            most = max(most, read)
    return most


def _source(
    reachable: list[EngineState],
    want: data.QueuedRequest,
    home: str,
    tokens: int,
) -> data.ServerRow:
    """Returns the engine to fetch from.

    Args:
      reachable: The engines; one of them has read the tokens.
      want: The request.
      home: Data centre of its router.
      tokens: Tokens of the prompt to fetch up to.

    Returns:
      Of the engines that have read them one in the data centre of the router,
      with the fewest requests.
    """
    return max(
        (
            entry
            for entry in reachable
            if engine_load.count_fetchable_tokens(entry.server.load, want)
            == tokens
        ),
        key=lambda entry: (
            entry.data_centre == home,
            -len(entry.server.load.reservations),
            -entry.server.key,
        ),
    ).server
