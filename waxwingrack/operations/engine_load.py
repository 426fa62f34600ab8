"""Load and prompt cache of model engines, computed from the leader's grants.

An engine reads prompts in order of arrival, in chunks between the steps of
running requests, so a long prompt delays the first event of every request
behind it. The leader therefore estimates the tokens that each engine still has
to read and keeps this number low. During a burst of long prompts the requests
wait at the leader, where they can be reordered, and not at the engine.

An engine reports nothing until an answer begins. Until then the leader assumes
that the engine has read at a constant rate since it began the prompt, but not
beyond the end of that prompt. So an engine gets its next prompts before it runs
out of them, and an engine that hangs gets no more.

A prompt may be held up on its way: its router or the network is busy, or its
answer is lost. It must not keep the engine from other prompts meanwhile, so it
does not count as unread once the engine has begun the answer to a prompt that
was granted later.

Where engines can fetch memory from each other, an engine fetches the parts of a
prompt that another one has cached. This serves prompts that are shared by more
callers than one engine can serve, and engines that are added or removed.
"""

from collections.abc import Iterable
import dataclasses
import math

import immutables

from waxwingrack.core import data
from waxwingrack.operations import tables as tables_module

# Unread prompts up to which an engine gets a further request, in milliseconds
# of its reading. The report of a started answer and the next grant take 20 to
# 60 ms. This time keeps the engine busy in between, and a short prompt waits
# for little more than one long prompt.
MAX_UNREAD_MS = 60.0
# Time that a running request adds to each step of an engine, in milliseconds.
RUNNING_REQUEST_MS = 1.0

# Additional weight of a token to read for a request that has just arrived.
REREAD_WEIGHT = 5.0
# Fraction of a prompt's shared tokens by which the ranks of engines differ that
# have nothing of it cached.
PREFERENCE_FRACTION = 0.5
# Fractions of the latency target for which a request waits for a better engine:
# in general, and while another engine is about to run out of prompts.
MAX_WAIT_FRACTION = 0.7
IDLE_WAIT_FRACTION = 0.15
# Unread prompts below which an engine is about to run out of them, in
# milliseconds of its reading.
LOW_UNREAD_MS = 20.0
# Time between a grant and the arrival of the request at the engine: two
# messages and the work of a router.
DISPATCH_MS = 8
# Latency target of requests that have none.
DEFAULT_TARGET_MS = 1_000
# Time to set up a transfer between engines, in milliseconds. An engine that
# reads the tokens in less does not fetch them.
MIN_FETCH_MS = 2.5

GrantKey = tables_module.GrantKey


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPlan:
    """How an engine gets the prompt tokens that it has not cached.

    Attributes:
      unread_tokens: Tokens to read.
      fetched_tokens: Tokens to fetch from another engine.
    """

    unread_tokens: int
    fetched_tokens: int = 0


def count_cached_tokens(
    cache: data.PromptCache, request: data.QueuedRequest
) -> int:
    """Counts the prompt tokens that an engine has in its cache.

    A part counts only if all parts before it are cached, too.
    """
    tokens = 0
    for part in request.prompt:
        if part.id not in cache.uses:
            break
        tokens += part.tokens
    return tokens


def count_fetchable_tokens(
    load: data.EngineLoad, request: data.QueuedRequest
) -> int:
    """Counts the prompt tokens that another engine can fetch now.

    Parts that the engine is still reading do not count.
    """
    tokens = 0
    for part in request.prompt:
        if part.id not in load.cache.uses or part.id in load.reading_grants:
            break
        tokens += part.tokens
    return tokens


def compute_fetch_weight(engine: data.Engine, rate: float) -> float | None:
    """Computes the time to fetch a token, relative to the time to read it.

    Args:
      engine: Engine settings of the service.
      rate: Tokens that an engine reads in a millisecond.

    Returns:
      The relative time; None if the engines cannot fetch, or cannot fetch
      faster than they read.
    """
    if not engine.link_mbps:
        return None
    bits_per_ms = engine.link_mbps * 1_000
    weight = engine.token_bytes * 8 / bits_per_ms * rate
    return weight if weight < 1.0 else None


def plan_prompt(
    request: data.QueuedRequest,
    cached_tokens: int,
    fetchable_tokens: int,
    rate: float,
) -> PromptPlan:
    """Plans how an engine gets the prompt of a request.

    Args:
      request: The request.
      cached_tokens: Prompt tokens in the cache of the engine.
      fetchable_tokens: Maximum number of prompt tokens that it can fetch.
      rate: Tokens that the engine reads in a millisecond.
    """
    fetched_tokens = max(0, fetchable_tokens - cached_tokens)
    if fetched_tokens < MIN_FETCH_MS * rate:
        fetched_tokens = 0
    return PromptPlan(
        max(0, request.prompt_tokens - cached_tokens - fetched_tokens),
        fetched_tokens,
    )


def estimate_unread_tokens(
    load: data.EngineLoad, now_ms: int, rate: float
) -> int:
    """Estimates the prompt tokens that an engine still has to read.

    Args:
      load: Load of the engine.
      now_ms: Present time.
      rate: Tokens that an engine reads in a millisecond.
    """
    tokens_read = int(rate * max(0, now_ms - load.reading_since_ms))
    return load.unread_tokens - min(load.first_unread_tokens, tokens_read)


def compute_max_request_tokens(
    load: data.EngineLoad, unread: int, engine: data.Engine, rate: float
) -> float:
    """Computes the size of the largest request that an engine accepts now.

    The size is the number of prompt and output tokens. An idle engine gets
    requests of any size and itself refuses those larger than its memory.

    Args:
      load: Load of the engine.
      unread: Tokens that it still has to read.
      engine: Engine settings of the service.
      rate: Tokens that an engine reads in a millisecond.

    Returns:
      The size in tokens; 0 if too many tokens are unread.
    """
    if not load.reservations:
        return math.inf
    if unread > MAX_UNREAD_MS * rate:
        return 0
    return max(0, engine.memory_tokens - load.used_tokens)


def compute_patience_ms(waited_ms: int, request: data.QueuedRequest) -> float:
    """Returns the time for which a request still waits for a better engine."""
    limit_ms = MAX_WAIT_FRACTION * (request.target_ms or DEFAULT_TARGET_MS)
    return max(0.0, limit_ms - waited_ms)


def compute_patience(waited_ms: int, request: data.QueuedRequest) -> float:
    """Returns the fraction of the wait for a better engine that is left."""
    limit_ms = MAX_WAIT_FRACTION * (request.target_ms or DEFAULT_TARGET_MS)
    return max(0.0, 1.0 - waited_ms / limit_ms)


def may_take_early(
    unread: int, waited_ms: int, request: data.QueuedRequest, rate: float
) -> bool:
    """Tells whether an engine may take a request that waits for a better one.

    It may if it is about to run out of prompts and the request has waited for
    the better engine for `IDLE_WAIT_FRACTION` of its latency target.

    Args:
      unread: Tokens that the engine still has to read.
      waited_ms: Time for which the request has waited.
      request: The request.
      rate: Tokens that an engine reads in a millisecond.
    """
    limit_ms = IDLE_WAIT_FRACTION * (request.target_ms or DEFAULT_TARGET_MS)
    return unread < LOW_UNREAD_MS * rate and waited_ms >= limit_ms


def add_grant(
    load: data.EngineLoad,
    key: GrantKey,
    request: data.QueuedRequest,
    prompt_plan: PromptPlan,
    unread: int,
    memory_tokens: int,
    now_ms: int,
) -> data.EngineLoad:
    """Adds a grant to the load of an engine.

    Args:
      load: Current load.
      key: Key of the grant.
      request: Request of the grant.
      prompt_plan: How the engine gets the prompt.
      unread: Tokens that the engine still has to read, without the prompt.
      memory_tokens: Memory of the engine in tokens.
      now_ms: Present time.
    """
    cache = load.cache
    uncached_parts = tuple(
        part.id for part in request.prompt if part.id not in cache.uses
    )
    reservation = data.EngineReservation(
        prompt_plan.unread_tokens,
        request.prompt_tokens + request.output_tokens,
        tokens_ahead=unread + prompt_plan.unread_tokens,
        uncached_parts=uncached_parts,
    )
    for part in request.prompt:
        cache = _cache_part(cache, part)
    was_idle = not load.unread_tokens
    return data.EngineLoad(
        reservations=load.reservations.set(key, reservation),
        unread_tokens=load.unread_tokens + reservation.unread_tokens,
        first_unread_tokens=reservation.unread_tokens
        if was_idle
        else load.first_unread_tokens,
        reading_since_ms=now_ms + DISPATCH_MS
        if was_idle
        else load.reading_since_ms,
        used_tokens=load.used_tokens + reservation.memory_tokens,
        # The memory of running requests is not available to the cache.
        cache=_evict_to_size(
            cache,
            max(
                0, memory_tokens - load.used_tokens - reservation.memory_tokens
            ),
        ),
        reading_grants=load.reading_grants.update(
            dict.fromkeys(uncached_parts, key)
        ),
    )


def mark_answer_started(
    load: data.EngineLoad, key: GrantKey, now_ms: int
) -> data.EngineLoad:
    """Records that the answer has started, so that the prompt is read."""
    reservation = load.reservations.get(key)
    if reservation is None or reservation.answer_started:
        return load
    reservations = load.reservations.set(
        key, dataclasses.replace(reservation, answer_started=True)
    )
    started = dataclasses.replace(
        load,
        reservations=reservations,
        unread_tokens=load.unread_tokens - _count_unread(reservation),
        first_unread_tokens=_get_first_unread_tokens(reservations),
        reading_since_ms=now_ms,
        reading_grants=_remove_reading_parts(
            load.reading_grants, key, reservation
        ),
    )
    return _hold_up(
        started,
        [other for other in _list_unread(reservations) if other < key],
    )


def _hold_up(load: data.EngineLoad, keys: list[GrantKey]) -> data.EngineLoad:
    if not keys:
        return load
    reservations = load.reservations.update(
        {
            key: dataclasses.replace(load.reservations[key], is_held_up=True)
            for key in keys
        }
    )
    tokens = sum(load.reservations[key].unread_tokens for key in keys)
    return dataclasses.replace(
        load,
        reservations=reservations,
        unread_tokens=load.unread_tokens - tokens,
        first_unread_tokens=_get_first_unread_tokens(reservations),
    )


def _count_unread(reservation: data.EngineReservation) -> int:
    """Returns the tokens with which a reservation counts as unread."""
    if reservation.answer_started or reservation.is_held_up:
        return 0
    return reservation.unread_tokens


def _list_unread(reservations: immutables.Map) -> list[GrantKey]:
    return [
        key
        for key, reservation in reservations.items()
        if not reservation.answer_started and not reservation.is_held_up
    ]


def remove_grant(
    load: data.EngineLoad, key: GrantKey, now_ms: int
) -> data.EngineLoad:
    """Removes an ended grant from the load.

    Its prompt stays in the cache, except for parts that are not read because
    the request ended before its answer started.
    """
    reservation = load.reservations.get(key)
    if reservation is None:
        return load
    cache = load.cache
    for part in reservation.uncached_parts:
        if load.reading_grants.get(part) == key:
            cache = _evict_part(cache, part)
    reservations = load.reservations.delete(key)
    new_load = dataclasses.replace(
        load,
        reservations=reservations,
        used_tokens=load.used_tokens - reservation.memory_tokens,
        cache=cache,
        reading_grants=_remove_reading_parts(
            load.reading_grants, key, reservation
        ),
    )
    if reservation.answer_started:
        return new_load
    return dataclasses.replace(
        new_load,
        unread_tokens=load.unread_tokens - _count_unread(reservation),
        first_unread_tokens=_get_first_unread_tokens(reservations),
        reading_since_ms=now_ms,
    )


def _get_first_unread_tokens(reservations: immutables.Map) -> int:
    """Returns the number of tokens of the prompt that an engine reads first."""
    unread_keys = _list_unread(reservations)
    return reservations[min(unread_keys)].unread_tokens if unread_keys else 0


def _remove_reading_parts(
    reading_grants: immutables.Map,
    key: GrantKey,
    reservation: data.EngineReservation,
) -> immutables.Map:
    """Removes the parts that are to be read for a grant."""
    for part in reservation.uncached_parts:
        if reading_grants.get(part) == key:
            reading_grants = reading_grants.delete(part)
    return reading_grants


def list_cached_parts(cache: data.PromptCache) -> tuple[data.PromptPart, ...]:
    """Returns the parts in a cache, the least recently used first."""
    return tuple(
        data.PromptPart(part, cache.uses[part][1])
        for _, part in sorted(cache.order.items())
    )


def add_cached_parts(
    load: data.EngineLoad, parts: Iterable[data.PromptPart]
) -> data.EngineLoad:
    """Adds parts that an engine has cached, in order of their use."""
    cache = load.cache
    for part in parts:
        cache = _cache_part(cache, part)
    return dataclasses.replace(load, cache=cache)


def _cache_part(
    cache: data.PromptCache, part: data.PromptPart
) -> data.PromptCache:
    last_use = cache.uses.get(part.id)
    order, tokens = cache.order, cache.tokens + part.tokens
    if last_use is not None:
        order, tokens = order.delete(last_use[0]), tokens - last_use[1]
    return data.PromptCache(
        uses=cache.uses.set(part.id, (cache.next, part.tokens)),
        order=order.set(cache.next, part.id),
        oldest=cache.oldest,
        next=cache.next + 1,
        tokens=tokens,
    )


def _evict_to_size(cache: data.PromptCache, tokens: int) -> data.PromptCache:
    while cache.tokens > tokens and cache.uses:
        oldest = cache.oldest
        while oldest not in cache.order:
            oldest += 1
        cache = _evict_part(
            dataclasses.replace(cache, oldest=oldest), cache.order[oldest]
        )
    return cache


def _evict_part(cache: data.PromptCache, part: str) -> data.PromptCache:
    last_use = cache.uses.get(part)
    if last_use is None:
        return cache
    return dataclasses.replace(
        cache,
        uses=cache.uses.delete(part),
        order=cache.order.delete(last_use[0]),
        tokens=cache.tokens - last_use[1],
    )
