"""Calls of backend servers and of the platform's operators to a controller.

Only the leader answers; others name it. `daemons.changes` carries the calls
out.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import json
from typing import Any

import klein
import pydantic
from returns import result
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import changes
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import metrics as metrics_module
from waxwingrack.platform import announcements
from waxwingrack.platform import configuration

_STATES = {
    data.RolloutPhase.TRIAL: "running",
    data.RolloutPhase.RAMPING: "running",
    data.RolloutPhase.WATCHING: "running",
    data.RolloutPhase.DONE: "completed",
    data.RolloutPhase.TAKEN_BACK: "rolled_back",
}
_STATUSES = {
    changes.Ending.DONE: http.OK,
    changes.Ending.REFUSED: http.CONFLICT,
    changes.Ending.UNKNOWN: http.SERVICE_UNAVAILABLE,
}


class _RolloutOrder(pydantic.BaseModel):
    service: str
    # Version to move to.
    target: str
    # Time until the move must be done or taken back, in seconds.
    durationS: float  # noqa: N815  name of the platform


def site(controller: Any, regions: dict[str, str]) -> server.Site:
    """Builds the HTTP server of a controller.

    Args:
      controller: The `controller.Controller`.
      regions: Region of each data centre.
    """
    found = server.Site(_ControlApi(controller, regions).app.resource())
    found.displayTracebacks = False
    found.log = lambda request: None
    return found


def _by_leader(handler: Callable) -> Callable:
    """Names the leader, or answers 503, where this controller does not lead."""

    @functools.wraps(handler)
    def checked(self: "_ControlApi", request: Any, **path: str) -> Any:
        controller = self.controller
        if not controller.leads():
            peer = controller.peer(controller.leader_id())
            if peer is None:
                return _answer(
                    request, http.SERVICE_UNAVAILABLE, {"error": "no leader"}
                )
            location = f"http://{peer.operators}{request.uri.decode('latin-1')}"
            request.setHeader(b"Location", location.encode("latin-1"))
            return _answer(request, http.TEMPORARY_REDIRECT, {})
        answer = handler(self, request, **path)
        if not asyncio.iscoroutine(answer):
            return answer
        return event_loop.to_deferred(self.guarded(request, answer))

    return checked


class _ControlApi:
    """Calls that a controller takes."""

    app = klein.Klein()

    def __init__(self, controller: Any, regions: dict[str, str]):
        self.controller = controller
        self._changes = changes.Changes(controller)
        self._regions = regions
        self._health = metrics_module.HealthApi(
            controller.metrics, controller.readiness
        )

    async def guarded(self, request: Any, answer: Coroutine) -> bytes:
        """Answers an unexpected exception."""
        try:
            return await answer
        except Exception as exc:  # noqa: BLE001
            logs.failure("operator_call_failed", exc)
            return _answer(request, http.INTERNAL_SERVER_ERROR, {})

    # -- backend servers ----------------------------------------------------

    @app.route("/api/instances/<server_id>/heartbeat", methods=["POST"])
    @_by_leader
    def heartbeat(self, request: Any, server_id: str) -> bytes:
        """Takes an announcement."""
        match announcements.read(server_id, request.content.read()):
            case result.Failure(reason):
                logs.event(
                    "announcement_invalid", server=server_id, reason=reason
                )
                return _answer(request, http.BAD_REQUEST, {"error": reason})
            case result.Success(announcement):
                self.controller.leader.announce(announcement)
        own = self.controller.settings.operators
        return _answer(request, http.OK, {"heartbeatUrl": str(own)})

    @app.route("/api/instances/<server_id>/deregister", methods=["POST"])
    @_by_leader
    def deregister(self, request: Any, server_id: str) -> bytes:
        """Takes the notice of a server that it leaves."""
        self.controller.leader.depart(server_id)
        return _answer(request, http.OK, {})

    # -- configuration ------------------------------------------------------

    @app.route("/api/config/replace", methods=["POST"])
    @_by_leader
    async def replace(self, request: Any) -> bytes:
        """Takes a whole configuration document."""
        body = request.content.read()
        match configuration.read(body, self._regions):
            case result.Failure(reason):
                logs.decision("environment_refused", reason[:500])
                return _answer(request, http.BAD_REQUEST, {"error": reason})
            case result.Success(environment):
                return self._end(
                    request, await self._changes.replace(environment)
                )

    @app.route("/api/config/get", methods=["GET"])
    @_by_leader
    def read(self, request: Any) -> bytes:
        """Answers with the document in force."""
        environment = self.controller.driver.state.environment
        if environment is None:
            return _answer(
                request, http.SERVICE_UNAVAILABLE, {"error": "none yet"}
            )
        request.setHeader(b"Content-Type", metrics_module.JSON_TYPE)
        return configuration.write(environment)

    # -- data centres and rollouts ------------------------------------------

    @app.route("/api/evacuations/<name>/start", methods=["POST"])
    @_by_leader
    async def evacuate(self, request: Any, name: str) -> bytes:
        """Takes a data centre out of service."""
        ending = await self._changes.drain(name)
        return self._end(request, ending)

    @app.route("/api/evacuations/<name>/end", methods=["POST"])
    @_by_leader
    async def end_evacuation(self, request: Any, name: str) -> bytes:
        """Takes a data centre back into service."""
        ending = await self._changes.restore(name)
        return self._end(request, ending)

    @app.route("/api/rollouts/start", methods=["POST"])
    @_by_leader
    async def start_rollout(self, request: Any) -> bytes:
        """Starts to move a service to another version."""
        try:
            order = _RolloutOrder.model_validate_json(request.content.read())
        except pydantic.ValidationError as exc:
            return _answer(request, http.BAD_REQUEST, {"error": str(exc)})
        ending = await self._changes.roll_out(
            order.service, order.target, order.durationS
        )
        return self._end(request, ending)

    @app.route("/api/rollouts/<service>/get", methods=["GET"])
    @_by_leader
    def read_rollout(self, request: Any, service: str) -> bytes:
        """Answers with the state of the last move of a service."""
        rollout = self._changes.latest_rollout(service)
        if rollout is None:
            return _answer(request, http.NOT_FOUND, {"error": "no rollout"})
        return _answer(
            request,
            http.OK,
            {"state": _STATES[rollout.phase], "target": rollout.plan.version},
        )

    @app.route("/", branch=True)
    def other(self, _: Any) -> resource.Resource:
        """Passes all other paths to the health calls."""
        return self._health.app.resource()

    def _end(self, request: Any, ending: changes.Ended) -> bytes:
        return _answer(
            request, _STATUSES[ending.ending], {"error": ending.reason}
        )


def _answer(request: Any, status: int, body: dict) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", metrics_module.JSON_TYPE)
    return json.dumps(body).encode()
