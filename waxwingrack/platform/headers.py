"""HTTP headers and paths of requests and answers on the platform."""

import math

from twisted.web import http_headers

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import dialects
from waxwingrack.operations import costs
from waxwingrack.operations import server_speeds

REQUEST_ID = b"Request-Id"
# Time left for the answer, in milliseconds.
DEADLINE_MS = b"Deadline-Ms"
# Intended backend server; any other server refuses the request unexecuted.
EXPECT_INSTANCE = b"Expect-Instance"
# Workspace of the caller.
TENANT = b"Tenant"
# Set by a backend server that has not executed the request.
NOT_EXECUTED = b"Not-Executed"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_USAGE = b"Token-Usage"
# Prompt parts in order as comma-separated ID:TOKENS.
PREFIX_HASH = b"Prefix-Hash"
# Engine from which to fetch cached prompt parts, as IP:PORT.
KV_FETCH = b"Kv-Fetch"
# "1" in each answer of a backend server that leaves.
SERVER_LEAVING = b"Server-Leaving"
# Requests per second that a backend server takes from all routers together.
SERVER_LIMIT = b"Server-Limit"
# Load of a backend server: running and waiting requests, slots and, at some,
# the slowness of its VM (100 is normal), separated by commas.
SERVER_LOAD = b"Server-Load"
# Value of a normal slowness in `SERVER_LOAD`.
NORMAL_SLOWNESS = 100.0
# Characters of an unreadable `SERVER_LOAD` that are kept for the log.
MAX_KEPT_CHARS = 100
# Expected number of output tokens.
LENGTH_HINT = b"Length-Hint"

# Highest count of requests or slots that is taken from a header.
MAX_COUNT = 1_000_000
MISDIRECTED = 421
# Statuses that guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED, 429, 503))
# Statuses by which a refusal blames the request.
CALLER_FAULT_STATUSES = frozenset((400, 401, 404, 405, 413, 431))


# Caller's headers that are not passed on: only the router may set them, or they
# hold the caller's API key.
_DROPPED_HEADERS = dialects.HOP_BY_HOP | frozenset(
    name.lower()
    for name in (
        b"Authorization",
        b"Content-Length",
        b"Expect",
        REQUEST_ID,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        b"Expect-Version",
        TENANT,
        b"Hold",
        b"Pin-Ms",
        b"Kv-Backup",
        KV_FETCH,
        b"Kv-From",
    )
)


class PlatformDialect:
    """The platform's headers and paths; see `dialects.Dialect`."""

    path_matching = data.PathMatching.TEXT
    # Readiness has a port of its own, and servers announce themselves at the
    # controllers.
    serves_own_paths = False
    request_id = REQUEST_ID
    fractional_retry_after = True

    def read_hints(
        self, received: http_headers.Headers, content_type: str, body: bytes
    ) -> dialects.RequestHints:
        """Parses the headers of a request; malformed ones count as absent."""
        del content_type, body
        prompt_tokens, max_output_tokens = _parse_numbers(
            dialects.first_value(received, TOKEN_USAGE), 2
        )
        (length_hint,) = _parse_numbers(
            dialects.first_value(received, LENGTH_HINT), 1
        )
        output_tokens = min(length_hint or max_output_tokens, max_output_tokens)
        (left_ms,) = _parse_numbers(
            dialects.first_value(received, DEADLINE_MS), 1
        )
        return dialects.RequestHints(
            hint=prompt_tokens + costs.OUTPUT_TOKEN_COST * output_tokens,
            prompt=_parse_prompt_parts(
                dialects.first_value(received, PREFIX_HASH)
            ),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            left_ms=left_ms or None,
        )

    def build_server_headers(
        self, received: http_headers.Headers, info: dialects.ServerRequestInfo
    ) -> http_headers.Headers:
        """Builds the headers of a request to a backend server."""
        headers = dialects.copy_end_to_end_headers(received, _DROPPED_HEADERS)
        headers.setRawHeaders(REQUEST_ID, [info.request_id.encode()])
        headers.setRawHeaders(EXPECT_INSTANCE, [info.server_id.encode()])
        if info.left_ms is not None:
            headers.setRawHeaders(DEADLINE_MS, [b"%d" % info.left_ms])
        if info.workspace != data.PUBLIC_WORKSPACE:
            headers.setRawHeaders(TENANT, [info.workspace.encode()])
        if info.fetch_from is not None:
            headers.setRawHeaders(KV_FETCH, [str(info.fetch_from).encode()])
        return headers

    def reserved_answer_headers(self) -> frozenset[bytes]:
        """Returns lower-case header names that backend servers may not set."""
        return dialects.HOP_BY_HOP

    def states_not_run(
        self, status: int, headers: http_headers.Headers
    ) -> bool:
        """Returns whether an answer states that the request has not run."""
        return status == MISDIRECTED or headers.hasHeader(NOT_EXECUTED)

    def read_notice(
        self, status: int, headers: http_headers.Headers
    ) -> dialects.AnswerNotice:
        """Reads what a backend server tells about itself in an answer.

        A misdirected request was answered by another server than the one that
        it was sent to, so nothing is known of the latter.
        """
        if status == MISDIRECTED:
            return dialects.AnswerNotice()
        return dialects.AnswerNotice(
            leaving=dialects.first_value(headers, SERVER_LEAVING) == "1",
            retry_after=dialects.read_retry_after(status, headers),
            rate_limit=dialects.first_value(headers, SERVER_LIMIT),
            load=_parse_server_load(dialects.first_value(headers, SERVER_LOAD)),
        )

    def build_answer_headers(self, grant: data.Grant) -> dict[bytes, bytes]:
        """Returns no headers: callers are not told which server answered."""
        del grant
        return {}

    def build_refusal_headers(
        self, request_id: str, execution: errors.Execution
    ) -> dict[bytes, bytes]:
        """Returns the additional headers of a refusal."""
        del execution
        return {REQUEST_ID: request_id.encode()}

    def refusal_status(
        self, kind: errors.ErrorKind, execution: errors.Execution
    ) -> int:
        """Returns the HTTP status of a refusal.

        Callers rely on the statuses that guarantee that a request has not run:
        a request that may have run never gets one of them.
        """
        status = errors.ANSWERS[kind].status
        if execution is errors.Execution.NOT_RUN:
            is_guarantee = (
                status in NOT_RUN_STATUSES or status in CALLER_FAULT_STATUSES
            )
            return status if is_guarantee else 503
        return 502 if status in NOT_RUN_STATUSES else status


def _parse_numbers(text: str | None, count: int) -> tuple[int, ...]:
    """Parses comma-separated numbers; returns zeros for malformed text."""
    try:
        numbers = [max(0, int(float(part))) for part in (text or "").split(",")]
    except (ValueError, OverflowError):
        numbers = []
    return tuple([*numbers, *[0] * count][:count])


def _parse_server_load(text: str | None) -> data.ServerLoad | None:
    """Parses the load of a backend server.

    Returns:
      The load, with values out of bounds moved to them; without values if the
      text cannot be read; None without a text.
    """
    if text is None:
        return None
    try:
        values = [float(part) for part in text.split(",")]
    except ValueError:
        values = []
    if len(values) not in (3, 4) or not all(map(math.isfinite, values)):
        return data.ServerLoad(invalid=text[:MAX_KEPT_CHARS] or "empty")
    counts = [int(min(MAX_COUNT, max(0.0, value))) for value in values[:3]]
    bounded: list[float] = [*counts]
    slowness = None
    if len(values) == 4:
        stated = values[3] / NORMAL_SLOWNESS
        slowness = server_speeds.bound_slowness(stated)
        bounded.append(values[3] if slowness == stated else math.nan)
    return data.ServerLoad(
        *counts,
        slowness=slowness,
        invalid="" if bounded == values else text[:MAX_KEPT_CHARS],
    )


def _parse_prompt_parts(text: str | None) -> tuple[data.PromptPart, ...]:
    prompt_parts = []
    for item in (text or "").split(","):
        part_id, _, tokens = item.strip().rpartition(":")
        if not part_id or not tokens.isdecimal():
            break
        prompt_parts.append(data.PromptPart(part_id, int(tokens)))
    return tuple(prompt_parts)
