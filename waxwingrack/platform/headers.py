"""Headers of requests and answers on the platform."""

from twisted.web import http_headers

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import dialects
from waxwingrack.operations import costs

REQUEST_ID = b"Request-Id"
# Time that is left for the answer, in milliseconds.
DEADLINE_MS = b"Deadline-Ms"
# Server that a request is meant for; any other refuses it unrun.
EXPECT_INSTANCE = b"Expect-Instance"
# Workspace of the caller.
TENANT = b"Tenant"
# Statement of a server that it has not run the request.
NOT_EXECUTED = b"Not-Executed"
# Tokens of the prompt and most tokens of the output, with a comma between.
TOKEN_USAGE = b"Token-Usage"
# Parts of the prompt in order, as ID:TOKENS with commas between.
PREFIX_HASH = b"Prefix-Hash"
# Engine that keeps more of the prompt, as IP:PORT.
KV_FETCH = b"Kv-Fetch"
# Expected tokens of the output.
LENGTH_HINT = b"Length-Hint"

MISDIRECTED = 421
# Statuses that promise that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED, 429, 503))
# Statuses of refusals that callers understand as their own fault.
CALLER_FAULTS = frozenset((400, 401, 404, 405, 413, 431))

# Headers that only the system sets towards a server, and the caller's key.
_OWN_REQUEST = dialects.HOP_BY_HOP | frozenset(
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
        """Reads the headers of a request; unreadable ones count as absent."""
        del content_type, body
        prompt_tokens, most = _numbers(dialects.first(received, TOKEN_USAGE), 2)
        (expected,) = _numbers(dialects.first(received, LENGTH_HINT), 1)
        output_tokens = min(expected or most, most)
        (left_ms,) = _numbers(dialects.first(received, DEADLINE_MS), 1)
        return dialects.Facts(
            hint=prompt_tokens + costs.OUTPUT_TOKEN_COST * output_tokens,
            prompt=_parts(dialects.first(received, PREFIX_HASH)),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            left_ms=left_ms or None,
        )

    def to_server(
        self, received: http_headers.Headers, dispatch: dialects.Dispatch
    ) -> http_headers.Headers:
        """Derives the headers of a request to a backend server."""
        headers = dialects.passed_on(received, _OWN_REQUEST)
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
        """Returns lower-case names that a backend server must not set."""
        return dialects.HOP_BY_HOP

    def not_run(self, status: int, headers: http_headers.Headers) -> bool:
        """Whether an answer states that the request has not run."""
        return status == MISDIRECTED or headers.hasHeader(NOT_EXECUTED)

    def answered_by(self, grant: data.Grant) -> dict[bytes, bytes]:
        """Returns nothing: callers are not told who answered."""
        del grant
        return {}

    def refused(
        self, request_id: str, stated: errors.Execution
    ) -> dict[bytes, bytes]:
        """Returns the headers of a refusal besides the usual ones."""
        del stated
        return {REQUEST_ID: request_id.encode()}

    def status(self, kind: errors.ErrorKind, stated: errors.Execution) -> int:
        """Returns the status of a refusal; some statuses are promises."""
        status = errors.ANSWERS[kind].status
        if stated is errors.Execution.NOT_RUN:
            promised = status in NOT_RUN_STATUSES or status in CALLER_FAULTS
            return status if promised else 503
        return 502 if status in NOT_RUN_STATUSES else status


def _numbers(text: str | None, count: int) -> tuple[int, ...]:
    """Reads whole numbers between commas; zeros if the text is none."""
    try:
        found = [max(0, int(float(part))) for part in (text or "").split(",")]
    except (ValueError, OverflowError):
        found = []
    return tuple([*found, *[0] * count][:count])


def _parts(text: str | None) -> tuple[data.PromptPart, ...]:
    found = []
    for item in (text or "").split(","):
        part, _, tokens = item.strip().rpartition(":")
        if not part or not tokens.isdecimal():
            break
        found.append(data.PromptPart(part, int(tokens)))
    return tuple(found)
