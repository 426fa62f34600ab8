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


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine with what does not depend on the request.

    Attributes:
      server: The engine.
      server_id: Its id.
      encoded_id: Its id as bytes.
      data_centre: Its data centre.
      reachable: Whether it announced itself lately in a data centre in service.
      free: Whether it may get a request, as far as its slots tell.
      unread: Tokens of prompts that it still has to read.
      takes_tokens: Tokens up to which it takes a request now.
      busy_tokens: Its queue and its running requests, in tokens to read.
      kept: Parts of prompts that it keeps.
    """

    server: data.ServerRow
    server_id: str
    encoded_id: bytes
    data_centre: str
    reachable: bool
    free: bool
    unread: int
    takes_tokens: float
    busy_tokens: int
    kept: immutables.Map


# An engine in its place for a request: its rank, the number that orders engines
# of equal rank, the engine, and the tokens of the prompt that it keeps.
_Ranked = tuple[float, int, Candidate, int]


class Engines:
    """The engines of a service in one tick.

    Many requests look at all engines in a tick, in which only those engines
    change that get a grant.

    Attributes:
      declared: What the service declares of its engines.
    """

    def __init__(self, txn: Transaction, service: str, declared: data.Engine):
        self.declared = declared
        self._candidates = {
            server.announcement.server_id: _candidate(txn, server, declared)
            for server in tables_module.iter_usable_servers(txn, service)
        }
        self._reachable: dict[str, list[Candidate]] = {}

    def has_room(self) -> bool:
        """Tells whether an engine may get a further request."""
        return any(
            entry.free and entry.takes_tokens
            for entry in self._candidates.values()
        )

    def reachable(self, version: str) -> list[Candidate]:
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
            txn, txn.servers[server_id], self.declared
        )
        self._reachable.clear()


def _candidate(
    txn: Transaction, server: data.ServerRow, declared: data.Engine
) -> Candidate:
    seen, load = server.announcement, server.load
    rate = forecast.read_rate(txn, seen.service)
    unread = engine_load.left_to_read(load, txn.now_ms, rate)
    return Candidate(
        server=server,
        server_id=seen.server_id,
        encoded_id=seen.server_id.encode(),
        data_centre=seen.data_centre,
        reachable=seen.data_centre not in txn.drained
        and server.announced_ms + servers.MAX_ANNOUNCEMENT_AGE_MS > txn.now_ms,
        free=tables_module.free_index_key(server) is not None,
        unread=unread,
        takes_tokens=engine_load.takes_tokens(load, unread, declared),
        busy_tokens=unread
        + engine_load.RUNNING_TOKENS * len(load.reservations),
        kept=load.cache.uses,
    )


def pick(
    txn: Transaction,
    engines: Engines,
    row: data.QueueEntry,
    version: str,
    avoid: tuple[str, ...],
) -> Pick | None:
    """Picks the engine that suits a request best, if it has room.

    Args:
      txn: Tables.
      engines: Engines of the service.
      row: The request.
      version: Version that the engine runs.
      avoid: Engines to leave out.
    """
    want = row.request
    reachable = engines.reachable(version)
    size = _size(want)
    if not [e for e in reachable if size <= e.takes_tokens and e.free]:
        return None
    home = txn.routers[row.router].ref.data_centre
    waited_ms = txn.now_ms - row.arrived_ms
    kept = _kept_tokens(reachable, want)
    fetch_weight = engine_load.fetch_weight(engines.declared)
    elsewhere = 0
    if fetch_weight is not None:
        elsewhere = _most_read(reachable, kept, want)
    ranked = _rank(
        [
            pair
            for pair in zip(reachable, kept, strict=True)
            if pair[0].free and pair[0].server_id not in avoid
        ],
        want,
        home,
        1.0 + engine_load.REREAD_WEIGHT * engine_load.patience(waited_ms, want),
        elsewhere,
        fetch_weight or 0.0,
    )
    best = _first(ranked, want, waited_ms)
    if best is None:
        return None
    rank, _, chosen, own = best
    needed = engine_load.needs(want, own, elsewhere)
    return Pick(
        chosen.server,
        needed,
        _source(reachable, want, home, elsewhere) if needed.fetched else None,
        f"rank {rank:.0f}, {needed.unread} of {want.prompt_tokens} "
        f"tokens to read behind {chosen.unread}, {needed.fetched} to fetch",
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
    if size <= best[2].takes_tokens:
        return best
    out_of_time = engine_load.patience(waited_ms, want) == 0.0
    return min(
        (
            item
            for item in ranked
            if size <= item[2].takes_tokens
            and (
                out_of_time
                or engine_load.takes_from_others(
                    item[2].unread, waited_ms, want
                )
            )
        ),
        default=None,
    )


# The functions below run for each waiting request and engine in each tick. They
# loop over the engines themselves, as a call for each would take most of the
# leader's time.


def _kept_tokens(
    reachable: list[Candidate], want: data.QueuedRequest
) -> list[int]:
    """Returns the tokens of a prompt that each engine need not read.

    A part is kept only together with all parts before it.
    """
    parts = [(part.id, part.tokens) for part in want.prompt]
    found = []
    for entry in reachable:
        kept, tokens = entry.kept, 0
        for part, size in parts:
            if part not in kept:
                break
            tokens += size
        found.append(tokens)
    return found


def _rank(
    engines: list[tuple[Candidate, int]],
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
    preferred = engine_load.HOME_PART * sum(part.tokens for part in shared)
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
        rank = entry.busy_tokens + weight * unread + fetch_weight * fetched
        if entry.data_centre != home:
            rank += engine_load.FAR_TOKENS
        ranked.append((rank, entry.server.key, entry, own))
    return ranked


def _most_read(
    reachable: list[Candidate], kept: list[int], want: data.QueuedRequest
) -> int:
    """Returns the most tokens of a prompt that an engine has read."""
    most = 0
    for entry, tokens in zip(reachable, kept, strict=True):
        if tokens > most:
            read = engine_load.fetchable_tokens(entry.server.load, want)
            most = max(most, read)
    return most


def _source(
    reachable: list[Candidate], want: data.QueuedRequest, home: str, tokens: int
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
            if engine_load.fetchable_tokens(entry.server.load, want) == tokens
        ),
        key=lambda entry: (
            entry.data_centre == home,
            -len(entry.server.load.reservations),
            -entry.server.key,
        ),
    ).server
