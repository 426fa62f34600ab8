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
    """Interface of the router that this module uses."""

    tables: routing.RoutingTables | None

    def handle_request(self, req: admission.CallersRequest) -> defer.Deferred:
        """Handles a caller's request."""

    def not_ready_reason(self) -> str:
        """Returns why the router is not ready; empty if it is ready."""

    def note_readiness_check(self) -> None:
        """Records a readiness check of a load balancer."""

    def forward_announcement(self, announcement: data.Announcement) -> bool:
        """Forwards an announcement; returns False if there is no leader."""

    def record_failure(self, name: str, exc: BaseException) -> None:
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
    _handle_errors(app, host, admission.OWN_PATH_PREFIX)

    @app.route("/", branch=True)
    def forward_request(request: Any) -> defer.Deferred:
        return host.handle_request(request)

    @app.route("/-/readyz", methods=["GET", "HEAD"])
    def answer_readiness(request: Any) -> bytes:
        return answer_ready(host, request)

    @app.route("/-/backend-servers/<server_id>", methods=["PUT"])
    def handle_announcement(request: Any, server_id: str) -> bytes:
        return _handle_announcement(host, request, server_id)

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
    def answer_health(request: Any) -> bytes:
        return _write_json(request, 200, {})

    @app.route("/readyz", methods=["GET", "HEAD"])
    def answer_readiness(request: Any) -> bytes:
        return answer_ready(host, request)

    @app.route("/metrics", methods=["GET", "HEAD"])
    def render_metrics(request: Any) -> bytes:
        accept = request.requestHeaders.getRawHeaders("Accept") or []
        body, headers = host.render_metrics(accept)
        for name, value in headers.items():
            request.setHeader(name, value)
        return body

    return app.resource()


def _handle_errors(
    app: klein.Klein, host: Host, path_prefix: bytes = b"/"
) -> None:
    """Registers the answers to unknown paths and unexpected exceptions.

    Args:
      app: The klein application.
      host: The router.
      path_prefix: Prefix of the paths whose exceptions are answered here; those
        of other paths reach `admission.CallersRequest.processingFailed`.
    """

    @app.handle_errors(exceptions.HTTPException)
    def answer_unknown_path(request: Any, reason: Any) -> bytes:
        return _write_json(
            request, reason.value.code, {"reason": "unknown_path"}
        )

    @app.handle_errors(Exception)
    def answer_exception(request: Any, reason: Any) -> bytes:
        if not request.path.startswith(path_prefix):
            return reason
        host.record_failure("resource_failed", reason.value)
        return _write_json(request, 500, {"reason": errors.ErrorKind.INTERNAL})


def answer_ready(host: Host, request: Any) -> bytes:
    """Answers whether a router is ready; if not, the answer has the reason."""
    reason = host.not_ready_reason()
    host.note_readiness_check()
    return _write_json(request, 503 if reason else 200, {"reason": reason})


def _handle_announcement(host: Host, request: Any, server_id: str) -> bytes:
    if host.tables is None:
        return _write_json(request, 503, {"reason": "not_ready"})
    header = request.getHeader("Authorization")
    if routing.digest_token(header) not in host.tables.announcers:
        return _write_json(request, 401, {"reason": "unknown_token"})
    body = request.content.getvalue()
    match announcements.parse_announcement(
        server_id, body, host.tables.environment
    ):
        case result.Failure(faults):
            documents = [
                {"path": fault.path, "rule": fault.rule} for fault in faults
            ]
            return _write_json(request, 400, {"errors": documents})
        case result.Success(announcement):
            if not host.forward_announcement(announcement):
                return _write_json(
                    request, 503, {"reason": "control_unavailable"}
                )
    request.setResponseCode(204)
    return b""


def _write_json(request: Any, status: int, document: dict) -> bytes:
    body = json.dumps(document).encode()
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    request.setHeader(b"Content-Length", b"%d" % len(body))
    return body
