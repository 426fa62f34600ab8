"""Choice of the model engine that can start a request first.

A request waits for a limited time for the engine that has its prompt in the
cache. After that time it takes the best engine that has room.
"""

import dataclasses
import math
import zlib

import immutables

from waxwingrack.core import data
from waxwingrack.operations import connection_reuse
from waxwingrack.operations import engine_load
from waxwingrack.operations import forecast
from waxwingrack.operations import server_speeds
from waxwingrack.operations import servers
from waxwingrack.operations import tables as tables_module

Transaction = tables_module.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChoice:
    """The engine chosen for a request.

    Attributes:
      server: Row of the engine.
      prompt_plan: How the engine gets the prompt.
      fetch_source: Engine from which it fetches cached tokens; None for none.
      reason: Reason for the log.
    """

    server: data.ServerRow
    prompt_plan: engine_load.PromptPlan
    fetch_source: data.ServerRow | None
    reason: str


@data.quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State of an engine that does not depend on the request.

    Attributes:
      server: Row of the engine.
      server_id: Id of the engine.
      encoded_id: Id of the engine as bytes.
      data_centre: Data centre of the engine.
      reachable: Whether its announcement is not stale and its data centre is
        not drained.
      has_free_slot: Whether its slots allow a further request.
      unread_tokens: Prompt tokens that it still has to read.
      max_request_tokens: Size of the largest request that it accepts now.
      load_tokens: Its unread prompts and running requests, in tokens that an
        engine of mean speed reads in the same time.
      cached_parts: Prompt parts in its cache.
      read_rate: Tokens that it reads in a millisecond.
      extra_time: Time that it takes to read a token beyond that of an engine of
        mean speed, as a multiple of the latter; negative for a faster one.
      min_fetch_tokens: Minimum number of tokens that it fetches from another
        engine; infinite if it reads faster than it fetches.
    """

    server: data.ServerRow
    server_id: str
    encoded_id: bytes
    data_centre: str
    reachable: bool
    has_free_slot: bool
    unread_tokens: int
    max_request_tokens: float
    load_tokens: float
    cached_parts: immutables.Map
    read_rate: float
    extra_time: float
    min_fetch_tokens: float


# An engine ranked for a request: its rank, the number that orders engines of
# equal rank, the engine, and the number of prompt tokens in its cache.
_RankedEngine = tuple[float, int, EngineState, int]


class Engines:
    """The engines of a service in one tick.

    Their state is cached, as many requests compare all engines in a tick while
    only engines that get a grant change.

    Attributes:
      engine_settings: Engine settings of the service.
      read_rate: Tokens that an engine reads in a millisecond, as the mean of
        the service.
      fetch_weight: Time to fetch a token, relative to the time in which an
        engine of mean speed reads it; None if no engine can fetch faster than
        it reads.
    """

    def __init__(
        self, txn: Transaction, service: str, engine_settings: data.Engine
    ):
        self.engine_settings = engine_settings
        self.read_rate = forecast.get_read_rate(txn, service)
        rows = list(tables_module.iter_usable_servers(txn, service))
        rates = server_speeds.list_read_rates(rows, self.read_rate)
        slowest = min(rates, default=self.read_rate)
        weight = engine_load.compute_fetch_weight(engine_settings, slowest)
        self.fetch_weight = (
            None if weight is None else weight * self.read_rate / slowest
        )
        # Tokens that stand for a running request, and relative reading time of
        # a token above which an engine fetches it.
        self._learns_speeds = txn.environment_index.learns_speeds(service)
        self._request_tokens = engine_load.RUNNING_REQUEST_MS * self.scale_rate(
            self.read_rate
        )
        self._min_fetch_time = (
            math.inf if self.fetch_weight is None else self.fetch_weight
        )
        self._engines = {
            row.announcement.server_id: self._build_state(txn, row, rate)
            for row, rate in zip(rows, rates, strict=True)
        }
        self._reachable: dict[str, list[EngineState]] = {}

    def scale_rate(self, rate: float) -> float:
        """Returns the rate by which times stand for tokens.

        Args:
          rate: Tokens that an engine reads in a millisecond.

        Returns:
          The rate; the one at the start of learning if the speeds of the
          service are not learned.
        """
        return rate if self._learns_speeds else forecast.DEFAULT_TOKENS_PER_MS

    def has_room(self) -> bool:
        """Tells whether any engine may get a further request."""
        return any(
            engine.has_free_slot and engine.max_request_tokens
            for engine in self._engines.values()
        )

    def list_reachable(self, version: str) -> list[EngineState]:
        """Returns the engines of a version that can run or provide a prompt."""
        if version not in self._reachable:
            self._reachable[version] = [
                engine
                for engine in self._engines.values()
                if engine.reachable
                and engine.server.announcement.version == version
            ]
        return self._reachable[version]

    def refresh(self, txn: Transaction, server_id: str) -> None:
        """Updates the state of an engine that got a grant."""
        self._engines[server_id] = self._build_state(
            txn, txn.servers[server_id], self._engines[server_id].read_rate
        )
        self._reachable.clear()

    def _build_state(
        self, txn: Transaction, server: data.ServerRow, rate: float
    ) -> EngineState:
        announcement, load = server.announcement, server.load
        server_id, place = announcement.server_id, announcement.data_centre
        relative_time = self.read_rate / rate
        unread = load.unread_tokens and engine_load.estimate_unread_tokens(
            load, txn.now_ms, rate
        )
        return EngineState(
            server,
            server_id,
            server_id.encode(),
            place,
            place not in txn.drained
            and server.announced_ms + servers.MAX_ANNOUNCEMENT_AGE_MS
            > txn.now_ms,
            tables_module.has_free_slot(server),
            unread,
            engine_load.compute_max_request_tokens(
                load, unread, self.engine_settings, rate
            ),
            unread * relative_time
            + self._request_tokens * len(load.reservations),
            load.cache.uses,
            rate,
            relative_time - 1.0,
            engine_load.MIN_FETCH_MS * self.scale_rate(rate)
            if relative_time > self._min_fetch_time
            else math.inf,
        )


def choose_engine(
    txn: Transaction,
    engines: Engines,
    entry: data.QueueEntry,
    version: str,
    avoid: tuple[str, ...],
) -> EngineChoice | None:
    """Chooses the engine of the lowest rank for a request, if it has room.

    Args:
      txn: Transaction on the tables.
      engines: Engines of the service.
      entry: The queued request.
      version: Version that the engine must run.
      avoid: Ids of engines to exclude.

    Returns:
      The choice; None if the request has to wait.
    """
    request = entry.request
    reachable_engines = engines.list_reachable(version)
    size = _count_memory_tokens(request)
    if not [
        e
        for e in reachable_engines
        if size <= e.max_request_tokens and e.has_free_slot
    ]:
        return None
    router_data_centre = txn.routers[entry.router].ref.data_centre
    waited_ms = txn.now_ms - entry.arrived_ms
    cached_tokens = _count_cached_tokens(reachable_engines, request)
    fetch_weight = engines.fetch_weight
    fetchable_tokens = 0
    if fetch_weight is not None:
        fetchable_tokens = _find_max_fetchable_tokens(
            reachable_engines, cached_tokens, request
        )
    ranked = _rank_engines(
        [
            pair
            for pair in zip(reachable_engines, cached_tokens, strict=True)
            if pair[0].has_free_slot and pair[0].server_id not in avoid
        ],
        request,
        router_data_centre,
        1.0
        + engine_load.REREAD_WEIGHT
        * engine_load.compute_patience(waited_ms, request),
        fetchable_tokens,
        fetch_weight or 0.0,
        server_speeds.REMOTE_MS * engines.scale_rate(engines.read_rate),
    )
    best = _select_engine(ranked, request, waited_ms, engines.read_rate)
    if best is None:
        return None
    best = _prefer_connected(txn, ranked, best, entry)
    rank, _, chosen, own_tokens = best
    prompt_plan = engine_load.plan_prompt(
        request,
        own_tokens,
        0 if math.isinf(chosen.min_fetch_tokens) else fetchable_tokens,
        engines.scale_rate(chosen.read_rate),
    )
    return EngineChoice(
        chosen.server,
        prompt_plan,
        _choose_fetch_source(
            [
                engine
                for engine, tokens in zip(
                    reachable_engines, cached_tokens, strict=True
                )
                if tokens >= fetchable_tokens
            ],
            request,
            router_data_centre,
            fetchable_tokens,
        )
        if prompt_plan.fetched_tokens
        else None,
        f"rank {rank:.0f}, {prompt_plan.unread_tokens} of "
        f"{request.prompt_tokens} tokens to read "
        f"behind {chosen.unread_tokens}, {prompt_plan.fetched_tokens} to fetch"
        f" at {chosen.read_rate:.0f} tokens/ms",
    )


def _count_memory_tokens(request: data.QueuedRequest) -> int:
    """Returns the memory that a request uses, in tokens."""
    return request.prompt_tokens + request.output_tokens


def _select_engine(
    ranked: list[_RankedEngine],
    request: data.QueuedRequest,
    waited_ms: int,
    service_rate: float,
) -> _RankedEngine | None:
    """Selects the engine that gets a request; None if the request waits.

    A request waits for the engine of the lowest rank until its patience is used
    up, unless another engine is about to run out of prompts.
    """
    if not ranked:
        return None
    size = _count_memory_tokens(request)
    best = min(ranked)
    if size <= best[2].max_request_tokens:
        return best
    # A slower engine needs the request earlier by the additional reading time.
    # The patience that is left is compared with it in tokens.
    patience_tokens = service_rate * engine_load.compute_patience_ms(
        waited_ms, request
    )
    prompt_tokens = request.prompt_tokens
    return min(
        (
            ranked_engine
            for ranked_engine in ranked
            if size <= ranked_engine[2].max_request_tokens
            and (
                not patience_tokens
                or (prompt_tokens - ranked_engine[3])
                * ranked_engine[2].extra_time
                >= patience_tokens
                or engine_load.may_take_early(
                    ranked_engine[2].unread_tokens,
                    waited_ms,
                    request,
                    ranked_engine[2].read_rate,
                )
            )
        ),
        default=None,
    )


def _prefer_connected(
    txn: Transaction,
    ranked: list[_RankedEngine],
    best: _RankedEngine,
    entry: data.QueueEntry,
) -> _RankedEngine:
    """Prefers an engine of nearly the same rank that the router has used."""
    max_rank = best[0] + connection_reuse.EQUAL_RANK_TOKENS
    size = _count_memory_tokens(entry.request)
    connected = [
        ranked_engine
        for ranked_engine in ranked
        if ranked_engine[0] <= max_rank
        and len(ranked_engine[2].server.connected)
        and size <= ranked_engine[2].max_request_tokens
        and connection_reuse.is_connected(
            ranked_engine[2].server, entry.router, txn.now_ms
        )
    ]
    # If the engine of the lowest rank has no room, only engines that run out of
    # prompts may be taken instead.
    return min(connected) if connected and best == min(ranked) else best


# The functions below run for each waiting request in each tick. Their loops
# over the engines are inlined, as one call for each engine would take most of
# the leader's time.


def _count_cached_tokens(
    reachable_engines: list[EngineState], request: data.QueuedRequest
) -> list[int]:
    """Counts the prompt tokens that each engine has in its cache.

    A part counts only if all parts before it are cached, too.
    """
    parts = [(part.id, part.tokens) for part in request.prompt]
    counts = []
    for engine in reachable_engines:
        cached_parts, tokens = engine.cached_parts, 0
        for part, size in parts:
            if part not in cached_parts:
                break
            tokens += size
        counts.append(tokens)
    return counts


def _rank_engines(
    engines: list[tuple[EngineState, int]],
    request: data.QueuedRequest,
    router_data_centre: str,
    weight: float,
    fetchable_tokens: int,
    fetch_weight: float,
    remote_tokens: float,
) -> list[_RankedEngine]:
    """Ranks the engines for a request; the lowest rank is best.

    The unit is tokens that an engine of mean speed reads. Reading a part that
    another engine has cached delays all requests of the engine, so such a token
    counts more than once. This weight falls with the time for which the request
    has waited. It does not depend on the speed of the engine, as the capacity
    lost is the tokens that the engine could have read instead.

    Args:
      engines: The engines, each with the number of prompt tokens in its cache.
      request: The request.
      router_data_centre: Data centre of its router.
      weight: Weight of a token to read.
      fetchable_tokens: Maximum number of prompt tokens that an engine can
        fetch.
      fetch_weight: Time to fetch a token, relative to the time to read it.
      remote_tokens: Tokens that stand for the way to another data centre.

    Returns:
      The ranked engines, in the given order.
    """
    prompt_tokens = request.prompt_tokens
    shared = request.prompt[:-1] or request.prompt
    # Rendezvous hashing gives each prompt its own order of preferred engines.
    # So a new leader, whose cache records are empty, sends a prompt to the same
    # engine as the former leader.
    max_preference = engine_load.PREFERENCE_FRACTION * sum(
        part.tokens for part in shared
    )
    digest = zlib.crc32(f"{shared[-1].id}/".encode()) if shared else 0
    ranked = []
    for engine, own_tokens in engines:
        fetched = fetchable_tokens - own_tokens
        if fetched < engine.min_fetch_tokens:
            fetched = 0
        unread: float = prompt_tokens - own_tokens - fetched
        if unread < 0:
            unread = 0
        elif shared and unread == prompt_tokens:
            hash_fraction = zlib.crc32(engine.encoded_id, digest) / 2**32
            unread -= max_preference * hash_fraction
        rank = (
            engine.load_tokens
            + (weight + engine.extra_time) * unread
            + fetch_weight * fetched
        )
        if engine.data_centre != router_data_centre:
            rank += remote_tokens
        ranked.append((rank, engine.server.key, engine, own_tokens))
    return ranked


def _find_max_fetchable_tokens(
    reachable_engines: list[EngineState],
    cached_tokens: list[int],
    request: data.QueuedRequest,
) -> int:
    """Returns the maximum number of prompt tokens that an engine has read."""
    max_tokens = 0
    for engine, tokens in zip(reachable_engines, cached_tokens, strict=True):
        if tokens > max_tokens:
            engine_tokens = engine_load.count_fetchable_tokens(
                engine.server.load, request
            )
            max_tokens = max(max_tokens, engine_tokens)
    return max_tokens


def _choose_fetch_source(
    candidates: list[EngineState],
    request: data.QueuedRequest,
    router_data_centre: str,
    tokens: int,
) -> data.ServerRow:
    """Chooses the engine from which the prompt is fetched.

    Args:
      candidates: Engines that have the tokens in their caches or are about to
        read them; at least one of them has read them.
      request: The request.
      router_data_centre: Data centre of its router.
      tokens: Number of leading prompt tokens that the engine must have read.

    Returns:
      An engine that has read the tokens, preferably in the data centre of the
      router, and with the fewest requests among those.
    """
    return max(
        (
            engine
            for engine in candidates
            if engine_load.count_fetchable_tokens(engine.server.load, request)
            == tokens
        ),
        key=lambda engine: (
            engine.data_centre == router_data_centre,
            -len(engine.server.load.reservations),
            -engine.server.key,
        ),
    ).server
