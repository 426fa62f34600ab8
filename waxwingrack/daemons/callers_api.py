"""HTTP resources of a router: the callers' port and the operators' port."""

import json
from typing import Any
from typing import Protocol

import klein
from returns import result
from twisted.internet import defer
from twisted.web import resource
from werkzeug import exceptions

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import admission
from waxwingrack.operations import announcements
from waxwingrack.operations import routing


class Host(Protocol):
    """What the resources need from their router."""

    tables: routing.RoutingTables | None

    def begin(self, req: admission.CallersRequest) -> defer.Deferred:
        """Handles a caller's request."""

    def not_ready_reason(self) -> str:
        """Returns why the router is not ready, or an empty text."""

    def announce(self, announcement: data.Announcement) -> bool:
        """Forwards an announcement; False if there is no leader."""

    def failed(self, name: str, exc: BaseException) -> None:
        """Logs and counts an unexpected exception."""

    def render_metrics(self, accept: list[str]) -> tuple[bytes, dict]:
        """Returns body and headers of the metrics."""


def callers_resource(host: Host) -> resource.Resource:
    """Builds the resource of the callers' port.

    Args:
      host: The router.

    Returns:
      A klein resource.
    """
    app = klein.Klein()
    app.url_map.merge_slashes = False
    _handle_errors(app, host, admission.OWN_PREFIX)

    @app.route("/", branch=True)
    def forward(request: Any) -> defer.Deferred:
        return host.begin(request)

    @app.route("/-/readyz", methods=["GET", "HEAD"])
    def ready(request: Any) -> bytes:
        return answer_ready(host, request)

    @app.route("/-/backend-servers/<server_id>", methods=["PUT"])
    def announce(request: Any, server_id: str) -> bytes:
        return _announce(host, request, server_id)

    return app.resource()


def operators_resource(host: Host) -> resource.Resource:
    """Builds the resource of the operators' port.

    Args:
      host: The router.

    Returns:
      A klein resource.
    """
    app = klein.Klein()
    _handle_errors(app, host)

    @app.route("/healthz", methods=["GET", "HEAD"])
    def healthy(request: Any) -> bytes:
        return _json(request, 200, {})

    @app.route("/readyz", methods=["GET", "HEAD"])
    def ready(request: Any) -> bytes:
        return answer_ready(host, request)

    @app.route("/metrics", methods=["GET", "HEAD"])
    def metrics(request: Any) -> bytes:
        accept = request.requestHeaders.getRawHeaders("Accept") or []
        body, headers = host.render_metrics(accept)
        for name, value in headers.items():
            request.setHeader(name, value)
        return body

    return app.resource()


def _handle_errors(app: klein.Klein, host: Host, own: bytes = b"/") -> None:
    """Answers unknown paths and unexpected exceptions of a resource.

    Args:
      app: The resource.
      host: The router.
      own: Prefix of the paths answered here. Exceptions of other paths reach
        `admission.CallersRequest.processingFailed`.
    """

    @app.handle_errors(exceptions.HTTPException)
    def unknown_path(request: Any, reason: Any) -> bytes:
        return _json(request, reason.value.code, {"reason": "unknown_path"})

    @app.handle_errors(Exception)
    def unexpected(request: Any, reason: Any) -> bytes:
        if not request.path.startswith(own):
            return reason
        host.failed("resource_failed", reason.value)
        return _json(request, 500, {"reason": errors.ErrorKind.INTERNAL})


def answer_ready(host: Host, request: Any) -> bytes:
    """Answers whether a router is ready, with the reason if not."""
    reason = host.not_ready_reason()
    return _json(request, 503 if reason else 200, {"reason": reason})


def _announce(host: Host, request: Any, server_id: str) -> bytes:
    if host.tables is None:
        return _json(request, 503, {"reason": "not_ready"})
    header = request.getHeader("Authorization")
    if routing.digest_token(header) not in host.tables.announcers:
        return _json(request, 401, {"reason": "unknown_token"})
    body = request.content.getvalue()
    match announcements.parse_announcement(
        server_id, body, host.tables.environment
    ):
        case result.Failure(faults):
            listed = [
                {"path": fault.path, "rule": fault.rule} for fault in faults
            ]
            return _json(request, 400, {"errors": listed})
        case result.Success(announcement):
            if not host.announce(announcement):
                return _json(request, 503, {"reason": "control_unavailable"})
    request.setResponseCode(204)
    return b""


def _json(request: Any, status: int, document: dict) -> bytes:
    body = json.dumps(document).encode()
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    request.setHeader(b"Content-Length", b"%d" % len(body))
    return body
