"""Conventions of requests between callers, routers and backend servers.

A router uses one dialect towards callers and backend servers. `OWN` is the
dialect of this project; a platform adapter supplies another one.
"""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

from twisted.web import http
from twisted.web import http_headers

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import routing

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"trailers",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHints:
    """What the headers of a request state about its cost, prompt and deadline.

    Attributes:
      hint: Cost that the caller expects, 0 if it states none.
      prefix: Digest of the prompt prefix, empty if there is none.
      prompt: Parts of the prompt in order.
      prompt_tokens: Length of the prompt; 0 if unknown.
      output_tokens: Expected length of the output; 0 if unknown.
      left_ms: Time for which the caller waits; None if it states none.
    """

    hint: float = 0.0
    prefix: str = ""
    prompt: tuple[data.PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    left_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRequestInfo:
    """What a router states about a request to a backend server.

    Attributes:
      server_id: Backend server that the request is meant for.
      address: Address of the backend server.
      request_id: Id of the request.
      workspace: Workspace of the caller.
      caller: IP number of the caller.
      left_ms: Time left for the answer; None if it is not limited.
      fetch_from: Address of a model engine that has cached more of the prompt,
        to fetch it from; None if there is none.
    """

    server_id: str
    address: data.Address
    request_id: str
    workspace: str
    caller: str
    left_ms: int | None
    fetch_from: data.Address | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerNotice:
    """What a backend server tells about itself in the head of an answer.

    Attributes:
      leaving: Whether it leaves and wants no further requests.
      retry_after: Value of `Retry-After` with which it turned the request away;
        None if it did not.
      rate_limit: Requests per second that it takes from all routers together,
        as text; None if it did not say.
      load: Load that it states; None if it did not say.
    """

    leaving: bool = False
    retry_after: str | None = None
    rate_limit: str | None = None
    load: data.ServerLoad | None = None


class Dialect(Protocol):
    """Headers towards callers and servers, and the meaning of paths.

    Attributes:
      path_matching: How the path of a request is compared with those of routes.
      serves_own_paths: Whether the router answers paths below `/-/` on the
        callers' port itself; otherwise they belong to routes like all others.
      request_id: Name of the header that contains the id of a request.
      fractional_retry_after: Whether `Retry-After` may hold a fraction.
    """

    path_matching: data.PathMatching
    serves_own_paths: bool
    request_id: bytes
    fractional_retry_after: bool

    def read_hints(
        self, received: http_headers.Headers, content_type: str, body: bytes
    ) -> RequestHints:
        """Reads the headers of a request."""

    def build_server_headers(
        self, received: http_headers.Headers, info: ServerRequestInfo
    ) -> http_headers.Headers:
        """Builds the headers of a request to a backend server."""

    def reserved_answer_headers(self) -> frozenset[bytes]:
        """Returns lower-case header names that backend servers may not set."""

    def states_not_run(
        self, status: int, headers: http_headers.Headers
    ) -> bool:
        """Returns whether an answer states that the request has not run."""

    def read_notice(
        self, status: int, headers: http_headers.Headers
    ) -> AnswerNotice:
        """Reads what a backend server tells about itself in an answer."""

    def build_answer_headers(self, grant: data.Grant) -> dict[bytes, bytes]:
        """Returns headers that tell the caller which server answered."""

    def build_refusal_headers(
        self, request_id: str, execution: errors.Execution
    ) -> dict[bytes, bytes]:
        """Returns the additional headers of a refusal."""

    def refusal_status(
        self, kind: errors.ErrorKind, execution: errors.Execution
    ) -> int:
        """Returns the HTTP status of a refusal."""


class OwnDialect:
    """The headers and paths of this project's own interface."""

    path_matching = data.PathMatching.SEGMENTS
    serves_own_paths = True
    request_id = b"X-Request-Id"
    fractional_retry_after = False
    # Request headers that the router does not pass on or sets itself.
    _own_request_headers = HOP_BY_HOP | {
        b"authorization",
        b"content-length",
        b"expect",
        b"host",
        b"x-request-id",
        b"x-workspace",
        b"x-forwarded-for",
    }
    _own_answer_headers = HOP_BY_HOP | {
        b"x-request-id",
        b"x-backend-server",
        b"x-backend-version",
        b"x-execution",
        b"x-idempotent-replay",
    }

    def read_hints(
        self, received: http_headers.Headers, content_type: str, body: bytes
    ) -> RequestHints:
        """Reads the headers of a request."""
        return RequestHints(
            hint=routing.parse_cost_hint(first_value(received, b"X-Cost-Hint")),
            prefix=routing.find_prompt_prefix(
                first_value(received, b"X-Prompt-Prefix"), content_type, body
            ),
        )

    def build_server_headers(
        self, received: http_headers.Headers, info: ServerRequestInfo
    ) -> http_headers.Headers:
        """Builds the headers of a request to a backend server."""
        hosts = received.getRawHeaders(b"Host")
        forwarded_for = received.getRawHeaders(b"X-Forwarded-For") or []
        headers = copy_end_to_end_headers(received, self._own_request_headers)
        for name, value in (
            (b"Host", hosts[0] if hosts else str(info.address).encode()),
            (b"X-Request-Id", info.request_id.encode()),
            (b"X-Workspace", info.workspace.encode()),
            (
                b"X-Forwarded-For",
                b", ".join([*forwarded_for, info.caller.encode()]),
            ),
        ):
            headers.setRawHeaders(name, [value])
        return headers

    def reserved_answer_headers(self) -> frozenset[bytes]:
        """Returns lower-case header names that backend servers may not set."""
        return self._own_answer_headers

    def states_not_run(
        self, status: int, headers: http_headers.Headers
    ) -> bool:
        """Returns False: this interface has no such statement."""
        del status, headers
        return False

    def read_notice(
        self, status: int, headers: http_headers.Headers
    ) -> AnswerNotice:
        """Reads what a backend server tells about itself in an answer."""
        return AnswerNotice(
            leaving=first_value(headers, b"X-Server-Leaving") == "1",
            retry_after=read_retry_after(status, headers),
            rate_limit=first_value(headers, b"X-Server-Rate-Limit"),
        )

    def build_answer_headers(self, grant: data.Grant) -> dict[bytes, bytes]:
        """Returns headers that tell the caller which server answered."""
        return {
            b"X-Backend-Server": grant.server_id.encode(),
            b"X-Backend-Version": grant.version.encode(),
        }

    def build_refusal_headers(
        self, request_id: str, execution: errors.Execution
    ) -> dict[bytes, bytes]:
        """Returns the additional headers of a refusal."""
        return {
            b"X-Request-Id": request_id.encode(),
            b"X-Execution": execution.encode(),
        }

    def refusal_status(
        self, kind: errors.ErrorKind, execution: errors.Execution
    ) -> int:
        """Returns the HTTP status of a refusal."""
        del execution
        return errors.ANSWERS[kind].status


OWN = OwnDialect()


def first_value(headers: http_headers.Headers, name: bytes) -> str | None:
    """Returns the first value of a header as text, or None."""
    values = headers.getRawHeaders(name)
    return values[0].decode("latin-1") if values else None


def read_retry_after(status: int, headers: http_headers.Headers) -> str | None:
    """Returns the `Retry-After` of an answer that turns a request away."""
    if status != http.SERVICE_UNAVAILABLE:
        return None
    return first_value(headers, b"Retry-After")


def connection_tokens(values: Sequence[bytes]) -> frozenset[bytes]:
    """Returns the lower-case header names in values of `Connection`."""
    return frozenset(
        token.strip().lower() for value in values for token in value.split(b",")
    )


def copy_end_to_end_headers(
    received: http_headers.Headers, dropped_names: frozenset[bytes]
) -> http_headers.Headers:
    """Copies end-to-end headers.

    Args:
      received: Headers as received.
      dropped_names: Lower-case names to leave out.

    Returns:
      The headers except the dropped ones and those named by `Connection`.
    """
    if connection_values := received.getRawHeaders(b"Connection"):
        dropped_names |= connection_tokens(connection_values)
    headers = http_headers.Headers()
    # Names and values of another `Headers` have been checked already; setting
    # them one by one would check each of them again.
    headers._rawHeaders = {
        name: values
        for name, values in received.getAllRawHeaders()
        if name.lower() not in dropped_names
    }
    return headers
