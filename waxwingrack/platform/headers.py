"""HTTP headers of requests and answers on the platform."""

from twisted.web import http_headers

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import dialects
from waxwingrack.operations import costs

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
# Expected number of output tokens.
LENGTH_HINT = b"Length-Hint"

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
    """The platform's header names; see `dialects.Dialect`."""

    request_id = REQUEST_ID
    fractional_retry_after = True

    def facts(
        self, received: http_headers.Headers, content_type: str, body: bytes
    ) -> dialects.Facts:
        """Parses the headers of a request; malformed ones count as absent."""
        del content_type, body
        prompt_tokens, max_output_tokens = _parse_numbers(
            dialects.first(received, TOKEN_USAGE), 2
        )
        (length_hint,) = _parse_numbers(
            dialects.first(received, LENGTH_HINT), 1
        )
        output_tokens = min(length_hint or max_output_tokens, max_output_tokens)
        (left_ms,) = _parse_numbers(dialects.first(received, DEADLINE_MS), 1)
        return dialects.Facts(
            hint=prompt_tokens + costs.OUTPUT_TOKEN_COST * output_tokens,
            prompt=_parse_prompt_parts(dialects.first(received, PREFIX_HASH)),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            left_ms=left_ms or None,
        )

    def to_server(
        self, received: http_headers.Headers, dispatch: dialects.Dispatch
    ) -> http_headers.Headers:
        """Builds the headers of a request to a backend server."""
        headers = dialects.passed_on(received, _DROPPED_HEADERS)
        headers.setRawHeaders(REQUEST_ID, [dispatch.request_id.encode()])
        headers.setRawHeaders(EXPECT_INSTANCE, [dispatch.server_id.encode()])
        if dispatch.left_ms is not None:
            headers.setRawHeaders(DEADLINE_MS, [b"%d" % dispatch.left_ms])
        if dispatch.workspace != data.PUBLIC_WORKSPACE:
            headers.setRawHeaders(TENANT, [dispatch.workspace.encode()])
        if dispatch.fetch_from is not None:
            headers.setRawHeaders(KV_FETCH, [str(dispatch.fetch_from).encode()])
        return headers

    def own_answer_headers(self) -> frozenset[bytes]:
        """Returns lower-case header names that backend servers may not set."""
        return dialects.HOP_BY_HOP

    def not_run(self, status: int, headers: http_headers.Headers) -> bool:
        """Returns whether an answer states that the request has not run."""
        return status == MISDIRECTED or headers.hasHeader(NOT_EXECUTED)

    def answered_by(self, grant: data.Grant) -> dict[bytes, bytes]:
        """Returns no headers: callers are not told which server answered."""
        del grant
        return {}

    def refused(
        self, request_id: str, stated: errors.Execution
    ) -> dict[bytes, bytes]:
        """Returns the additional headers of a refusal."""
        del stated
        return {REQUEST_ID: request_id.encode()}

    def status(self, kind: errors.ErrorKind, stated: errors.Execution) -> int:
        """Returns the HTTP status of a refusal.

        Callers rely on the statuses that guarantee that a request has not run:
        a request that may have run never gets one of them.
        """
        status = errors.ANSWERS[kind].status
        if stated is errors.Execution.NOT_RUN:
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


def _parse_prompt_parts(text: str | None) -> tuple[data.PromptPart, ...]:
    prompt_parts = []
    for item in (text or "").split(","):
        part_id, _, tokens = item.strip().rpartition(":")
        if not part_id or not tokens.isdecimal():
            break
        prompt_parts.append(data.PromptPart(part_id, int(tokens)))
    return tuple(prompt_parts)
