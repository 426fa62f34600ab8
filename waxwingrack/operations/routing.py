"""Routing tables that a router derives from an environment."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import dataclasses
import hashlib
import itertools
import json
import operator
import random
import re
from typing import Any
import urllib.parse

import immutables
from returns import result

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import registry

# Yields the prefixes of a path that routes can have, the longest first. Takes
# the path and the maximum number of segments of a prefix.
PREFIXES: registry.Registry[
    data.PathMatching, Callable[[str, int], Iterator[Hashable]]
] = registry.Registry("path matching")

# First bytes of a prompt whose digest identifies its prefix.
PROMPT_PREFIX_BYTES = 256

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """Route of a request and the service that serves it."""

    service: data.Service
    route: data.Route


@dataclasses.dataclass(frozen=True)
class RoutingTables:
    """Lookup tables derived from one environment.

    Attributes:
      number: Number of the environment.
      environment: The document.
      drained: Ids of drained data centres.
      refused_digests: Request digests refused by the crash guard.
      callers: Workspace by SHA-256 digest (hex) of a token.
      announcers: SHA-256 digests (hex) of the tokens of announcements.
      routes: Matches by (path matching, host, prefix).
      services: Services by id.
      path_matching: How requests find their routes.
      depth: Maximum number of slashes in the path of a route.
    """

    number: int
    environment: data.Environment
    drained: frozenset[str]
    refused_digests: frozenset[str]
    callers: immutables.Map
    announcers: frozenset[str]
    routes: immutables.Map
    services: immutables.Map = immutables.Map()
    path_matching: data.PathMatching = data.PathMatching.SEGMENTS
    depth: int = 0


# Workspace of the requests on public routes.
PUBLIC = data.Workspace(
    id=data.PUBLIC_WORKSPACE,
    weight=1.0,
    token_digests=(),
    max_queue=4_096,
    max_connections=4_096,
)


def build_tables(
    number: int,
    environment: data.Environment,
    drained: tuple[str, ...] = (),
    refused_digests: tuple[str, ...] = (),
    path_matching: data.PathMatching = data.PathMatching.SEGMENTS,
) -> RoutingTables:
    """Derives the tables of an environment.

    Args:
      number: Number of the environment.
      environment: The document.
      drained: Ids of drained data centres.
      refused_digests: Request digests refused by the crash guard.
      path_matching: How requests find their routes.

    Returns:
      The tables.
    """
    routes: dict[Hashable, tuple[RouteMatch, ...]] = {}
    # The segments are needed in any case; see `match_route`.
    for service, matching in itertools.product(
        environment.services, {path_matching, data.PathMatching.SEGMENTS}
    ):
        for route in service.routes:
            key = (matching, route.host, _find_prefix(matching, route.path))
            routes[key] = (*routes.get(key, ()), RouteMatch(service, route))
    return RoutingTables(
        number=number,
        environment=environment,
        drained=frozenset(drained),
        refused_digests=frozenset(refused_digests),
        callers=immutables.Map(
            {
                digest.lower(): workspace
                for workspace in environment.workspaces
                for digest in workspace.token_digests
            }
        ),
        announcers=frozenset(
            digest.lower() for digest in environment.announce_token_digests
        ),
        routes=immutables.Map(routes),
        services=immutables.Map(
            {service.id: service for service in environment.services}
        ),
        path_matching=path_matching,
        depth=max(
            (
                _end_with_slash(route.path).count("/")
                for service in environment.services
                for route in service.routes
            ),
            default=0,
        ),
    )


def resolve_caller_limits(
    settings: data.Settings, environment: data.Environment | None
) -> data.CallerLimits:
    """Returns the caller limits in force at a router.

    Args:
      settings: Settings of the router.
      environment: The document in force; None before the first.

    Returns:
      The limits of the environment; those that it leaves open come from the
      settings.
    """
    declared = environment.caller_limits if environment else None
    own = data.CallerLimits(
        settings.max_header_bytes,
        settings.max_body_bytes,
        settings.body_timeout_s,
        settings.idle_connection_s,
    )
    if declared is None:
        return own
    return dataclasses.replace(
        own,
        **{
            field.name: value
            for field in dataclasses.fields(declared)
            if (value := getattr(declared, field.name)) is not None
        },
    )


def split_path(path: str) -> tuple[str, ...]:
    """Splits a path into decoded, non-empty segments.

    Args:
      path: Path without query.

    Returns:
      Its segments. Percent-encoding is decoded, so that `/%61` and `/a` match
      the same route.
    """
    return tuple(
        urllib.parse.unquote(segment) for segment in path.split("/") if segment
    )


@PREFIXES.register(data.PathMatching.SEGMENTS)
def _iterate_segment_prefixes(path: str, depth: int) -> Iterator[Hashable]:
    segments = split_path(path)[:depth]
    return (segments[:length] for length in range(len(segments), -1, -1))


@PREFIXES.register(data.PathMatching.TEXT)
def _iterate_text_prefixes(path: str, depth: int) -> Iterator[Hashable]:
    slashes = itertools.islice(re.finditer("/", path), depth)
    ends = [slash.end() for slash in slashes]
    return (path[:end] for end in reversed(ends))


def _find_prefix(matching: data.PathMatching, path: str) -> Hashable:
    """Returns the prefix that the path of a route stands for."""
    whole = _end_with_slash(path)
    return next(PREFIXES[matching](whole, whole.count("/")))


def _end_with_slash(path: str) -> str:
    # Environments that earlier releases stored hold the prefixes of `TEXT`
    # without the slash at their end.
    return path if path.endswith("/") else f"{path}/"


def match_route(
    tables: RoutingTables, method: str, path: str, host: str = ""
) -> result.Result[RouteMatch, errors.ErrorKind]:
    """Finds the route of a request.

    A backend server may decode a path that is matched as text and do the work
    of another route. Such a request is repeated only if that route allows it,
    too; otherwise the returned route is limited to one run.

    Args:
      tables: Tables of the environment.
      method: HTTP method.
      path: Path without query.
      host: Value of the header `Host` in lower case.

    Returns:
      Success with the longest match; among routes of equal length, a route of
      this host has priority over one of any host. Failure with
      METHOD_NOT_ALLOWED if no route of the longest matching path takes the
      method, and with NO_ROUTE if no path matches. A path with `.` or `..`
      segments matches nothing, as a backend server could resolve it to another
      route.
    """
    if any(part in (".", "..") for part in split_path(path)):
        return result.Failure(errors.ErrorKind.NO_ROUTE)
    matching = tables.path_matching
    found = _find_matches(tables, matching, method, path, host)
    if matching is data.PathMatching.SEGMENTS:
        return found.map(operator.itemgetter(0))
    decoded = _find_matches(
        tables, data.PathMatching.SEGMENTS, method, path, host
    ).value_or(())
    repeatable = decoded and all(match.route.idempotent for match in decoded)
    return found.map(
        lambda matches: (
            matches[0] if repeatable else _limit_to_one_run(matches[0])
        )
    )


def _find_matches(
    tables: RoutingTables,
    matching: data.PathMatching,
    method: str,
    path: str,
    host: str,
) -> result.Result[tuple[RouteMatch, ...], errors.ErrorKind]:
    """Returns all routes of the longest matching path that take a method."""
    for prefix in PREFIXES[matching](path, tables.depth):
        matches = tables.routes.get(
            (matching, host, prefix)
        ) or tables.routes.get((matching, "", prefix), ())
        allowed = tuple(
            match
            for match in matches
            if not match.route.methods or method in match.route.methods
        )
        if allowed:
            return result.Success(allowed)
        if matches:
            # A route with a shorter path is no substitute: it could be
            # idempotent where this one is not.
            return result.Failure(errors.ErrorKind.METHOD_NOT_ALLOWED)
    return result.Failure(errors.ErrorKind.NO_ROUTE)


def _limit_to_one_run(match: RouteMatch) -> RouteMatch:
    if not match.route.idempotent:
        return match
    route = dataclasses.replace(
        match.route, idempotent=False, single_attempt=True
    )
    return dataclasses.replace(match, route=route)


def choose_target(
    tables: RoutingTables, match: RouteMatch, rng: random.Random
) -> RouteMatch:
    """Chooses the service of a request among the targets of its route.

    Args:
      tables: Tables of the environment.
      match: Route and the service that declares it.
      rng: Random number generator.

    Returns:
      The route and the service that gets this request.
    """
    targets = match.route.targets
    if not targets:
        return match
    (chosen,) = rng.choices(targets, [target.weight for target in targets])
    return RouteMatch(tables.services[chosen.service], match.route)


def min_time_left_ms(
    route: data.Route, left_ms: int | None, waited_ms: int = 0
) -> int | None:
    """Returns the time within which a request has to be answered.

    Args:
      route: Route of the request.
      left_ms: Time for which the caller waits; None if it does not say.
      waited_ms: Time for which the request had waited before it was read.

    Returns:
      Milliseconds from now, 0 if the time is over; None if neither the route
      nor the caller sets a limit.
    """
    limits = [left_ms] if left_ms is not None else []
    if route.timeout_s is not None:
        limits.append(round(route.timeout_s * 1000))
    return max(0, min(limits) - waited_ms) if limits else None


def digest_token(header: str | None) -> str | None:
    """Digests the token of an `Authorization` header.

    Args:
      header: Value of the header, None if it is missing.

    Returns:
      SHA-256 digest (hex), or None if the header holds no bearer token. The
      digest is looked up in a table, so the time taken says nothing about the
      token itself.
    """
    scheme, _, token = (header or "").strip().partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return None
    return hashlib.sha256(token.strip().encode()).hexdigest()


def find_caller(
    tables: RoutingTables, digest: str | None
) -> result.Result[data.Workspace, errors.ErrorKind]:
    """Finds the workspace of a token.

    Args:
      tables: Tables of the environment.
      digest: Result of `token_digest`.

    Returns:
      Success with the workspace or Failure with UNAUTHENTICATED.
    """
    workspace = tables.callers.get(digest) if digest else None
    if workspace is None:
        return result.Failure(errors.ErrorKind.UNAUTHENTICATED)
    return result.Success(workspace)


def is_valid_request_id(text: str) -> bool:
    """Returns whether a caller's `X-Request-Id` has the accepted form."""
    return _REQUEST_ID.fullmatch(text) is not None


def digest_request(workspace: str, method: str, uri: str, body: bytes) -> str:
    """Digests a request.

    Args:
      workspace: Workspace of the caller.
      method: HTTP method.
      uri: Path with query as the caller sent it.
      body: Whole body.

    Returns:
      SHA-256 digest (hex) over the lengths and values of all arguments, so that
      no two different requests have the same encoding.
    """
    digest = hashlib.sha256()
    for part in (workspace.encode(), method.encode(), uri.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def parse_cost_hint(header: str | None) -> float:
    """Reads the header `X-Cost-Hint`.

    Args:
      header: Value of the header, None if it is missing.

    Returns:
      The hint, or 0 if it is missing or not a finite positive number. Hints are
      rough, so an invalid one is no reason to refuse a request.
    """
    try:
        value = float(header or 0)
    except ValueError:
        return 0.0
    return value if 0 < value < 1e12 else 0.0


def find_prompt_prefix(
    header: str | None, content_type: str, body: bytes
) -> str:
    """Returns the text that identifies the prompt prefix of a request.

    Args:
      header: Value of the header `X-Prompt-Prefix`, None if it is missing.
      content_type: Media type of the body.
      body: Whole body.

    Returns:
      The header if there is one. Otherwise the digest of the first bytes of
      `prompt` or of the first message in a JSON body, or an empty string.
    """
    if header:
        return header[:128]
    if not body or not content_type.lower().startswith("application/json"):
        return ""
    try:
        text = _extract_prompt(json.loads(body))
    except (ValueError, RecursionError):
        return ""
    if not text:
        return ""
    head = text.encode(errors="replace")[:PROMPT_PREFIX_BYTES]
    return hashlib.sha256(head).hexdigest()


def _extract_prompt(document: Any) -> str:
    if not isinstance(document, dict):
        return ""
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = document.get("messages")
    first = messages[0] if isinstance(messages, list) and messages else None
    content = first.get("content") if isinstance(first, dict) else None
    return content if isinstance(content, str) else ""
