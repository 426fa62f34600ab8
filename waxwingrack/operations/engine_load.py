"""Load and prompt cache of model engines, kept from the leader's own grants.

An engine reads prompts in order of arrival, in chunks between the steps of
running requests, so a long prompt delays the first event of every request
behind it. The leader therefore estimates the tokens that each engine has still
to read and keeps this number low: requests wait at the leader, where they can
be ordered, and not at the engine. This answers bursts of long prompts.

An engine reports nothing until an answer begins. Meanwhile the leader goes by
the time since it began to read the prompt, up to the end of that prompt, so
that an engine gets its next prompts before it runs out of them, and one that
hangs gets no more.

Where engines can fetch memory from each other, an engine fetches the parts of a
prompt that another one keeps. This answers prompts that more callers share than
one engine can serve, and engines that come or go.
"""

from collections.abc import Iterable
import dataclasses
import math

import immutables

from waxwingrack.core import data
from waxwingrack.operations import tables as tables_module

# Unread tokens up to which an engine gets a further request. An engine reads
# some fifty tokens in a millisecond, and the report of a begun answer and the
# next grant take twenty to sixty; this much keeps it busy in between, and a
# short prompt stands behind little more than one long one.
MAX_UNREAD_TOKENS = 3_000
# Tokens that another running request counts as, for the time that it adds to
# each step of an engine.
RUNNING_REQUEST_TOKENS = 40
# Tokens that a request to another data centre counts as, for the time and the
# traffic between data centres.
REMOTE_PENALTY_TOKENS = 250

# Times that a token to read counts beyond the first for a fresh request.
REREAD_WEIGHT = 5.0
# Part of a prompt's shared tokens by which engines that do not keep it differ.
PREFERENCE_FRACTION = 0.5
# Part of the latency target for which a request waits for a better engine, and
# for which it does so while another engine is about to run out of prompts.
MAX_WAIT_FRACTION = 0.7
IDLE_WAIT_FRACTION = 0.15
# Unread tokens below which an engine is about to run out of prompts.
LOW_UNREAD_TOKENS = 1_000
# Time between a grant and its arrival at the engine, in milliseconds: two
# messages and the work of a router.
DISPATCH_MS = 8
# Latency target of requests that have none, in milliseconds.
DEFAULT_TARGET_MS = 1_000
# Fewest tokens that an engine fetches. Setting up a transfer takes as long as
# reading about as many.
MIN_FETCH_TOKENS = 100
# Tokens that an engine reads in a millisecond, for comparing the time of
# reading with that of fetching. The engines of both sites read 62.
READ_TOKENS_PER_MS = 60.0

GrantKey = tables_module.GrantKey


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPlan:
    """How an engine gets a prompt, besides the tokens that it keeps.

    Attributes:
      unread: Tokens to read.
      fetched: Tokens to fetch from another engine.
    """

    unread_tokens: int
    fetched_tokens: int = 0


def count_cached_tokens(
    cache: data.PromptCache, want: data.QueuedRequest
) -> int:
    """Returns the tokens of a prompt that an engine need not read.

    A part is kept only together with all parts before it.
    """
    tokens = 0
    for part in want.prompt:
        if part.id not in cache.uses:
            break
        tokens += part.tokens
    return tokens


def count_fetchable_tokens(
    load: data.EngineLoad, want: data.QueuedRequest
) -> int:
    """Returns the tokens of a prompt that another engine can fetch now.

    Parts that the engine is still reading do not count.
    """
    tokens = 0
    for part in want.prompt:
        if part.id not in load.cache.uses or part.id in load.reading_grants:
            break
        tokens += part.tokens
    return tokens


def compute_fetch_weight(engine: data.Engine) -> float | None:
    """Returns the time of fetching a token relative to that of reading it.

    Returns:
      The relative time; None if the engines cannot fetch, or not faster than
      they read.
    """
    if not engine.link_mbps:
        return None
    bits_per_ms = engine.link_mbps * 1_000
    weight = engine.token_bytes * 8 / bits_per_ms * READ_TOKENS_PER_MS
    return weight if weight < 1.0 else None


def plan_prompt(
    want: data.QueuedRequest, own: int, elsewhere: int
) -> PromptPlan:
    """Returns how an engine gets the prompt of a request.

    Args:
      want: The request.
      own: Tokens of the prompt that the engine keeps.
      elsewhere: Most tokens of the prompt that it could fetch.
    """
    fetched = max(0, elsewhere - own)
    if fetched < MIN_FETCH_TOKENS:
        fetched = 0
    return PromptPlan(max(0, want.prompt_tokens - own - fetched), fetched)


def estimate_unread_tokens(
    load: data.EngineLoad, now_ms: int, rate: float
) -> int:
    """Estimates the tokens of prompts that an engine still has to read.

    Args:
      load: Load of the engine.
      now_ms: Present time.
      rate: Tokens that an engine reads in a millisecond.
    """
    read = int(rate * max(0, now_ms - load.reading_since_ms))
    return load.unread_tokens - min(load.first_unread_tokens, read)


def compute_max_request_tokens(
    load: data.EngineLoad, unread: int, engine: data.Engine
) -> float:
    """Returns the prompt and output tokens up to which a request is taken now.

    A request that is larger than the memory is left to an idle engine, which
    refuses it by itself.

    Args:
      load: Load of the engine.
      unread: Tokens that it still has to read.
      engine: What the service declares of its engines.

    Returns:
      0 if the queue of unread prompts is long.
    """
    if not load.reservations:
        return math.inf
    if unread > MAX_UNREAD_TOKENS:
        return 0
    return max(0, engine.memory_tokens - load.used_tokens)


def compute_patience(waited_ms: int, want: data.QueuedRequest) -> float:
    """Returns the part of the time that is left to wait for a better engine."""
    limit_ms = MAX_WAIT_FRACTION * (want.target_ms or DEFAULT_TARGET_MS)
    return max(0.0, 1.0 - waited_ms / limit_ms)


def may_take_early(
    unread: int, waited_ms: int, want: data.QueuedRequest
) -> bool:
    """Tells whether an engine may take a request that suits another better.

    It may if it would run out of prompts otherwise and the request has waited
    for the better one for a while.

    Args:
      unread: Tokens that the engine still has to read.
      waited_ms: Time for which the request has waited.
      want: The request.
    """
    limit_ms = IDLE_WAIT_FRACTION * (want.target_ms or DEFAULT_TARGET_MS)
    return unread < LOW_UNREAD_TOKENS and waited_ms >= limit_ms


def add_grant(
    load: data.EngineLoad,
    key: GrantKey,
    want: data.QueuedRequest,
    needed: PromptPlan,
    unread: int,
    memory_tokens: int,
    now_ms: int,
) -> data.EngineLoad:
    """Counts a grant.

    Args:
      load: Load before.
      key: The grant.
      want: Its request.
      needed: How the engine gets its prompt.
      unread: Tokens that the engine still has to read, without the prompt.
      memory_tokens: Memory of the engine.
      now_ms: Present time.
    """
    cache = load.cache
    reads = tuple(part.id for part in want.prompt if part.id not in cache.uses)
    use = data.EngineReservation(
        needed.unread_tokens,
        want.prompt_tokens + want.output_tokens,
        tokens_ahead=unread + needed.unread_tokens,
        uncached_parts=reads,
    )
    for part in want.prompt:
        cache = _read(cache, part)
    idle = not load.unread_tokens
    return data.EngineLoad(
        reservations=load.reservations.set(key, use),
        unread_tokens=load.unread_tokens + use.unread_tokens,
        first_unread_tokens=use.unread_tokens
        if idle
        else load.first_unread_tokens,
        reading_since_ms=now_ms + DISPATCH_MS
        if idle
        else load.reading_since_ms,
        used_tokens=load.used_tokens + use.memory_tokens,
        # Running requests take their memory from the cached parts.
        cache=_bounded(
            cache, max(0, memory_tokens - load.used_tokens - use.memory_tokens)
        ),
        reading_grants=load.reading_grants.update(dict.fromkeys(reads, key)),
    )


def mark_answer_started(
    load: data.EngineLoad, key: GrantKey, now_ms: int
) -> data.EngineLoad:
    """Notes that the prompt of a grant has been read."""
    use = load.reservations.get(key)
    if use is None or use.answer_started:
        return load
    uses = load.reservations.set(
        key, dataclasses.replace(use, answer_started=True)
    )
    return dataclasses.replace(
        load,
        reservations=uses,
        unread_tokens=load.unread_tokens - use.unread_tokens,
        first_unread_tokens=_first_unread(uses),
        reading_since_ms=now_ms,
        reading_grants=_without(load.reading_grants, key, use),
    )


def remove_grant(
    load: data.EngineLoad, key: GrantKey, now_ms: int
) -> data.EngineLoad:
    """Gives back what a grant took.

    Its prompt stays in the cache, except for parts that were not read since the
    request ended before its answer began.
    """
    use = load.reservations.get(key)
    if use is None:
        return load
    cache = load.cache
    for part in use.uncached_parts:
        if load.reading_grants.get(part) == key:
            cache = _forget(cache, part)
    uses = load.reservations.delete(key)
    freed = dataclasses.replace(
        load,
        reservations=uses,
        used_tokens=load.used_tokens - use.memory_tokens,
        cache=cache,
        reading_grants=_without(load.reading_grants, key, use),
    )
    if use.answer_started:
        return freed
    return dataclasses.replace(
        freed,
        unread_tokens=load.unread_tokens - use.unread_tokens,
        first_unread_tokens=_first_unread(uses),
        reading_since_ms=now_ms,
    )


def _first_unread(uses: immutables.Map) -> int:
    """Returns the tokens of the prompt that an engine reads first."""
    unread = [key for key, use in uses.items() if not use.answer_started]
    return uses[min(unread)].unread_tokens if unread else 0


def _without(
    reading: immutables.Map, key: GrantKey, use: data.EngineReservation
) -> immutables.Map:
    """Removes the parts that a grant was to read."""
    for part in use.uncached_parts:
        if reading.get(part) == key:
            reading = reading.delete(part)
    return reading


def list_cached_parts(cache: data.PromptCache) -> tuple[data.PromptPart, ...]:
    """Returns the parts in a cache, the one read longest ago first."""
    return tuple(
        data.PromptPart(part, cache.uses[part][1])
        for _, part in sorted(cache.order.items())
    )


def add_cached_parts(
    load: data.EngineLoad, parts: Iterable[data.PromptPart]
) -> data.EngineLoad:
    """Enters parts that an engine keeps, in order of their use."""
    cache = load.cache
    for part in parts:
        cache = _read(cache, part)
    return dataclasses.replace(load, cache=cache)


def _read(cache: data.PromptCache, part: data.PromptPart) -> data.PromptCache:
    known = cache.uses.get(part.id)
    order, tokens = cache.order, cache.tokens + part.tokens
    if known is not None:
        order, tokens = order.delete(known[0]), tokens - known[1]
    return data.PromptCache(
        uses=cache.uses.set(part.id, (cache.next, part.tokens)),
        order=order.set(cache.next, part.id),
        oldest=cache.oldest,
        next=cache.next + 1,
        tokens=tokens,
    )


def _bounded(cache: data.PromptCache, tokens: int) -> data.PromptCache:
    while cache.tokens > tokens and cache.uses:
        oldest = cache.oldest
        while oldest not in cache.order:
            oldest += 1
        cache = _forget(
            dataclasses.replace(cache, oldest=oldest), cache.order[oldest]
        )
    return cache


def _forget(cache: data.PromptCache, part: str) -> data.PromptCache:
    known = cache.uses.get(part)
    if known is None:
        return cache
    return dataclasses.replace(
        cache,
        uses=cache.uses.delete(part),
        order=cache.order.delete(known[0]),
        tokens=cache.tokens - known[1],
    )
