"""HTTP API of a controller for backend servers and the platform's operators.

Only the leader serves calls; other controllers redirect to it.
`daemons.changes` carries out the changes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import json
from typing import Annotated
from typing import Any

import klein
import pydantic
from returns import result
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import body_limits
from waxwingrack.daemons import changes
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import metrics as metrics_module
from waxwingrack.platform import announcements
from waxwingrack.platform import configuration

_ROLLOUT_STATES = {
    data.RolloutPhase.TRIAL: "running",
    data.RolloutPhase.RAMPING: "running",
    data.RolloutPhase.WATCHING: "running",
    data.RolloutPhase.DONE: "completed",
    data.RolloutPhase.TAKEN_BACK: "rolled_back",
}
_HTTP_STATUSES = {
    changes.ChangeStatus.DONE: http.OK,
    changes.ChangeStatus.REFUSED: http.CONFLICT,
    changes.ChangeStatus.UNKNOWN: http.SERVICE_UNAVAILABLE,
}


_REPLACE_PATH = "/api/config/replace"
# Limit of a configuration document: several times one of ten thousand routes.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class _RolloutRequest(pydantic.BaseModel):
    service: str
    # Candidate version of the rollout.
    target: str
    # Seconds within which the rollout must be completed or rolled back.
    durationS: Annotated[  # noqa: N815  name of the platform
        float, pydantic.Field(gt=0, allow_inf_nan=False)
    ]


class _ControlRequest(body_limits.LimitedRequest):
    """Request to the control API; refused if its body is too large."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802  Twisted's
        """Prepares to receive the body."""
        # The request has its path only once its body is complete.
        path = self.channel._path.partition(b"?")[0]
        if path == _REPLACE_PATH.encode():
            self.max_body_bytes = MAX_DOCUMENT_BYTES
        super().gotLength(length)

    def process(self) -> None:
        """Passes the request on, or answers 413."""
        if not self.too_large:
            super().process()
            return
        reason = f"a body may have at most {self.max_body_bytes} bytes"
        self.write(
            _answer_json(self, http.REQUEST_ENTITY_TOO_LARGE, {"error": reason})
        )
        self.finish()


def build_site(controller: Any, regions: dict[str, str]) -> server.Site:
    """Builds the HTTP server of a controller.

    Args:
      controller: The `controller.Controller`.
      regions: Region of each data centre.
    """
    return body_limits.build_site(
        _ControlApi(controller, regions).app.resource(), _ControlRequest
    )


def _require_leader(handler: Callable) -> Callable:
    """Lets a handler run on the leader only.

    Other controllers redirect to the leader, or answer 503 if none is known.
    """

    @functools.wraps(handler)
    def handle_on_leader(self: "_ControlApi", request: Any, **path: str) -> Any:
        controller = self.controller
        if not controller.leads():
            leader = controller.find_peer(controller.leader_id())
            if leader is None:
                return _answer_json(
                    request, http.SERVICE_UNAVAILABLE, {"error": "no leader"}
                )
            location = (
                f"http://{leader.operators}{request.uri.decode('latin-1')}"
            )
            request.setHeader(b"Location", location.encode("latin-1"))
            return _answer_json(request, http.TEMPORARY_REDIRECT, {})
        answer = handler(self, request, **path)
        if not asyncio.iscoroutine(answer):
            return answer
        return event_loop.to_deferred(self.catch_errors(request, answer))

    return handle_on_leader


class _ControlApi:
    """HTTP handlers of a controller."""

    app = klein.Klein()

    def __init__(self, controller: Any, regions: dict[str, str]):
        self.controller = controller
        self._changes = changes.Changes(controller)
        self._regions = regions
        self._health = metrics_module.HealthApi(
            controller.metrics, controller.readiness
        )

    async def catch_errors(self, request: Any, handling: Coroutine) -> bytes:
        """Awaits a handler; logs an unexpected exception and answers 500."""
        try:
            return await handling
        except Exception as exc:  # noqa: BLE001
            logs.failure("operator_call_failed", exc)
            return _answer_json(request, http.INTERNAL_SERVER_ERROR, {})

    # -- backend servers ----------------------------------------------------

    @app.route("/api/instances/<server_id>/heartbeat", methods=["POST"])
    @_require_leader
    def receive_heartbeat(
        self, request: Any, server_id: str
    ) -> bytes | Coroutine:
        """Records the announcement of a backend server."""
        match announcements.parse_announcement(
            server_id, request.content.read()
        ):
            case result.Failure(reason):
                logs.event(
                    "announcement_invalid", server=server_id, reason=reason
                )
                return _answer_json(
                    request, http.BAD_REQUEST, {"error": reason}
                )
            case result.Success(announcement):
                self.controller.leader.handle_announcement(announcement)
        address = self.controller.settings.operators
        answer = {"heartbeatUrl": str(address)}
        if announcement.departing:
            server = (server_id, announcement.incarnation)
            return self._answer_departure(request, server, "announced", answer)
        return _answer_json(request, http.OK, answer)

    @app.route("/api/instances/<server_id>/deregister", methods=["POST"])
    @_require_leader
    def deregister(self, request: Any, server_id: str) -> bytes | Coroutine:
        """Marks a backend server as departing."""
        incarnation = self.controller.leader.handle_departure(
            server_id,
            announcements.parse_deregistration(request.content.read()),
        )
        if incarnation is None:
            # A later announcement could be that of another start of the server.
            return _answer_json(
                request,
                http.SERVICE_UNAVAILABLE,
                {"error": "this leader does not know the server yet"},
            )
        return self._answer_departure(
            request, (server_id, incarnation), "deregistered", {}
        )

    async def _answer_departure(
        self, request: Any, server: tuple[str, str], reason: str, answer: dict
    ) -> bytes:
        """Acknowledges a departure once it is recorded."""
        departures = self.controller.leader.departures
        if not await departures.wait_until_recorded(server):
            return _answer_json(
                request,
                http.SERVICE_UNAVAILABLE,
                {"error": "the departure is not recorded yet"},
            )
        logs.decision(
            "departure_acknowledged",
            reason,
            server=server[0],
            incarnation=server[1],
            term=self.controller.driver.replica.term,
        )
        return _answer_json(request, http.OK, answer)

    # -- configuration ------------------------------------------------------

    @app.route(_REPLACE_PATH, methods=["POST"])
    @_require_leader
    async def replace_configuration(self, request: Any) -> bytes:
        """Replaces the whole configuration document."""
        body = request.content.read()
        match configuration.parse_document(body, self._regions):
            case result.Failure(reason):
                logs.decision("environment_refused", reason[:500])
                return _answer_json(
                    request, http.BAD_REQUEST, {"error": reason}
                )
            case result.Success(environment):
                return self._answer_change(
                    request,
                    await self._changes.replace_environment(environment),
                )

    @app.route("/api/config/get", methods=["GET"])
    @_require_leader
    def read_configuration(self, request: Any) -> bytes:
        """Answers with the document in force."""
        environment = self.controller.driver.state.environment
        if environment is None:
            return _answer_json(
                request,
                http.SERVICE_UNAVAILABLE,
                {"error": "no configuration yet"},
            )
        request.setHeader(b"Content-Type", metrics_module.JSON_TYPE)
        return configuration.serialize_document(environment)

    # -- data centres and rollouts ------------------------------------------

    @app.route("/api/evacuations/<name>/start", methods=["POST"])
    @_require_leader
    async def start_evacuation(self, request: Any, name: str) -> bytes:
        """Takes a data centre out of service."""
        outcome = await self._changes.drain_data_centre(name)
        return self._answer_change(request, outcome)

    @app.route("/api/evacuations/<name>/end", methods=["POST"])
    @_require_leader
    async def end_evacuation(self, request: Any, name: str) -> bytes:
        """Takes a data centre back into service."""
        outcome = await self._changes.restore_data_centre(name)
        return self._answer_change(request, outcome)

    @app.route("/api/rollouts/start", methods=["POST"])
    @_require_leader
    async def start_rollout(self, request: Any) -> bytes:
        """Starts a rollout of a service to another version."""
        try:
            rollout_request = _RolloutRequest.model_validate_json(
                request.content.read()
            )
        except pydantic.ValidationError as exc:
            return _answer_json(request, http.BAD_REQUEST, {"error": str(exc)})
        outcome = await self._changes.start_rollout(
            rollout_request.service,
            rollout_request.target,
            rollout_request.durationS,
        )
        return self._answer_change(request, outcome)

    @app.route("/api/rollouts/<service>/get", methods=["GET"])
    @_require_leader
    def read_rollout(self, request: Any, service: str) -> bytes:
        """Answers with the state of the latest rollout of a service."""
        rollout = self._changes.latest_rollout(service)
        if rollout is None:
            return _answer_json(
                request, http.NOT_FOUND, {"error": "no rollout"}
            )
        return _answer_json(
            request,
            http.OK,
            {
                "state": _ROLLOUT_STATES[rollout.phase],
                "target": rollout.plan.version,
            },
        )

    @app.route("/", branch=True)
    def serve_other_paths(self, _: Any) -> resource.Resource:
        """Serves the health calls on all other paths."""
        return self._health.app.resource()

    def _answer_change(
        self, request: Any, outcome: changes.ChangeResult
    ) -> bytes:
        return _answer_json(
            request, _HTTP_STATUSES[outcome.status], {"error": outcome.reason}
        )


def _answer_json(request: Any, status: int, body: dict) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", metrics_module.JSON_TYPE)
    return json.dumps(body).encode()
