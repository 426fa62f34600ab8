"""HTTP API of a controller for operators."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import hmac
import json
from typing import Any

import klein
import pydantic
from returns import result
from twisted.web import http
from twisted.web import iweb
from twisted.web import resource
from twisted.web import server

from waxwingrack.core import codec
from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import body_limits
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import fleet_status
from waxwingrack.daemons import metrics as metrics_module
from waxwingrack.daemons import proposals
from waxwingrack.daemons import repair
from waxwingrack.load import environment as environment_module
from waxwingrack.operations import rollouts

# Largest request body. A change must fit into one frame of the log.
MAX_TEXT_CHARACTERS = 128

HTTP_MISDIRECTED_REQUEST = 421
_ENVIRONMENT_PATH = "$.environment"
_PLAN_PATH = "$.plan"

_Text = pydantic.constr(
    min_length=1, max_length=MAX_TEXT_CHARACTERS, strict=True
)
_Number = pydantic.conint(ge=0, strict=True)


@dataclasses.dataclass(frozen=True, slots=True)
class EnvironmentBody:
    """Body of `PUT /v1/environment`."""

    operation: _Text
    operator: _Text
    expected: _Number
    environment: Any


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreBody:
    """Body of `PUT /v1/data-centres/<id>`."""

    operation: _Text
    operator: _Text
    state: data.DataCentreState
    expected: _Number | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutBody:
    """Body of `POST /v1/rollouts`."""

    operation: _Text
    operator: _Text
    plan: data.RolloutPlan
    expected: _Number | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBody:
    """Body of a change that has no other fields."""

    operation: _Text
    operator: _Text
    expected: _Number | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClearBody:
    """Body of `POST /v1/orders/<id>/clear`."""

    operation: _Text
    operator: _Text
    fencing: _Number
    expected: _Number | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerBody:
    """Body of `PUT /v1/controllers/<id>`."""

    operation: _Text
    operator: _Text
    control: data.Address
    operators: data.Address
    replaces: _Text | None = None
    expected: _Number | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidBody:
    """Errors in a request body.

    Attributes:
      errors: Path and violated rule of each error.
    """

    errors: tuple[tuple[str, str], ...]


def build_site(controller: Any, token: bytes) -> server.Site:
    """Builds the HTTP server for operators.

    Args:
      controller: The `controller.Controller`.
      token: Bearer token of operators; if it is empty, every call of the API
        is refused.

    Returns:
      Site for the port of operators.
    """
    return body_limits.build_site(
        OperatorsApi(controller, token).app.resource()
    )


def _leader_call(body: type | None = None) -> Callable:
    """Returns a decorator for handlers of calls that only the leader answers.

    It checks the token, the leadership and the body, in this order.

    Args:
      body: Data class of the body; None if the call has no body.
    """

    def decorate(handler: Callable) -> Callable:
        @functools.wraps(handler)
        async def check_and_call(
            self: "OperatorsApi", request: iweb.IRequest, **path: str
        ) -> bytes:
            refusal = self.refuse_unless_allowed(request)
            if refusal is not None:
                return refusal
            arguments = []
            if body is not None:
                match read_body(request, body):
                    case result.Success(record):
                        arguments = [record]
                    case result.Failure(invalid):
                        return _respond_invalid(request, invalid.errors)
            try:
                return await handler(self, request, *arguments, **path)
            except Exception as exc:
                logs.failure("operator_call_failed", exc)
                self.metrics.add(
                    "handler_failures_total", "Unexpected exceptions."
                )
                return metrics_module.make_json_response(
                    request,
                    http.INTERNAL_SERVER_ERROR,
                    {"message": "unexpected error; see the log"},
                )

        return check_and_call

    return decorate


class OperatorsApi:
    """Handlers of the calls of operators."""

    app = klein.Klein()

    def __init__(self, controller: Any, token: bytes):
        self.metrics = controller.metrics
        self._controller = controller
        self._token = token
        self._health = metrics_module.HealthApi(
            controller.metrics, controller.readiness
        )

    # -----------------------------------------------------------------------
    # Reads
    # -----------------------------------------------------------------------

    @app.route("/v1/environment", methods=["GET"])
    @_leader_call()
    async def read_environment(self, request: iweb.IRequest) -> bytes:
        """Returns the environment in force."""
        state = self._controller.driver.state
        return _respond_ok(
            request,
            {
                "number": state.number,
                "environment": fleet_status.to_json(state.environment),
                "drained": sorted(state.drained),
                "versions": dict(state.versions),
            },
        )

    @app.route("/v1/rollouts", methods=["GET"])
    @_leader_call()
    async def read_rollouts(self, request: iweb.IRequest) -> bytes:
        """Returns all rollouts."""
        rows = fleet_status.rollouts_to_json(self._controller.driver.state)
        return _respond_ok(request, {"rollouts": rows})

    @app.route("/v1/status", methods=["GET"])
    @_leader_call()
    async def read_status(self, request: iweb.IRequest) -> bytes:
        """Returns the state of the whole fleet."""
        return _respond_ok(
            request, fleet_status.collect_status(self._controller)
        )

    # -----------------------------------------------------------------------
    # Changes
    # -----------------------------------------------------------------------

    @app.route("/v1/environment", methods=["PUT"])
    @_leader_call(EnvironmentBody)
    async def put_environment(
        self, request: iweb.IRequest, body: EnvironmentBody
    ) -> bytes:
        """Applies an environment."""
        match environment_module.check(body.environment):
            case result.Failure(errors):
                return _respond_invalid(
                    request,
                    tuple(
                        (
                            error.path.replace("$", _ENVIRONMENT_PATH, 1),
                            error.rule,
                        )
                        for error in errors
                    ),
                )
            case result.Success(environment):
                command = commands.ApplyEnvironment(
                    body.operation, body.operator, body.expected, environment
                )
                return await self._commit_change(request, command)

    @app.route("/v1/data-centres/<node>", methods=["PUT"])
    @_leader_call(DataCentreBody)
    async def put_data_centre(
        self, request: iweb.IRequest, body: DataCentreBody, node: str
    ) -> bytes:
        """Drains or restores a data centre."""
        command = commands.SetDataCentre(
            body.operation, body.operator, body.expected, node, body.state
        )
        return await self._commit_change(request, command)

    @app.route("/v1/rollouts", methods=["POST"])
    @_leader_call(RolloutBody)
    async def post_rollout(
        self, request: iweb.IRequest, body: RolloutBody
    ) -> bytes:
        """Starts a rollout."""
        plan_errors = tuple(
            (path.replace("$", _PLAN_PATH, 1), rule)
            for path, rule in environment_module.check_plan(body.plan)
        )
        if plan_errors:
            return _respond_invalid(request, plan_errors)
        command = commands.StartRollout(
            body.operation,
            body.operator,
            body.expected,
            rollouts.limit_exposure(body.plan, self._controller.settings),
        )
        return await self._commit_change(request, command)

    @app.route("/v1/rollouts/<rollout>/take-back", methods=["POST"])
    @_leader_call(ChangeBody)
    async def take_back_rollout(
        self, request: iweb.IRequest, body: ChangeBody, rollout: str
    ) -> bytes:
        """Rolls a rollout back."""
        command = commands.TakeBackRollout(
            body.operation, body.operator, body.expected, rollout
        )
        return await self._commit_change(request, command)

    @app.route("/v1/orders/<server_id>/clear", methods=["POST"])
    @_leader_call(ClearBody)
    async def clear_order(
        self, request: iweb.IRequest, body: ClearBody, server_id: str
    ) -> bytes:
        """Clears an engine order that an operator knows to be over."""
        if self._controller.leader.orders.is_sending(server_id, body.fencing):
            number = self._controller.driver.state.number
            message = f"order {body.fencing} is being sent; try again later"
            return _respond_outcome(
                request,
                data.OperationOutcome(
                    body.operation, False, number, "", message
                ),
            )
        command = commands.ClearOrder(
            body.operation,
            body.operator,
            body.expected,
            server_id,
            body.fencing,
        )
        return await self._commit_change(request, command)

    @app.route("/v1/controllers/<node>", methods=["PUT"])
    @_leader_call(ControllerBody)
    async def put_controller(
        self, request: iweb.IRequest, body: ControllerBody, node: str
    ) -> bytes:
        """Adds a controller and removes the one that it replaces, if any."""
        driver = self._controller.driver
        conflict = _find_repair_conflict(driver, body, node)
        if conflict:
            return _respond_outcome(
                request,
                data.OperationOutcome(
                    body.operation, False, driver.state.number, "", conflict
                ),
            )
        peer = data.Peer(node, body.control, body.operators)
        task = self._controller.repairs.start_or_join(
            repair.RepairRequest(peer, body.replaces)
        )
        await _wait_for_commit(task)
        if task.done() and not task.cancelled() and task.result():
            return _respond_outcome(
                request,
                data.OperationOutcome(
                    body.operation, True, driver.state.number, "", "done"
                ),
            )
        step = self._controller.repairs.step
        return _respond_unavailable(request, f"not done yet: {step}")

    @app.route("/", branch=True)
    def route_to_health_api(self, _: iweb.IRequest) -> resource.IResource:
        """Routes all other paths to the health API."""
        return self._health.app.resource()

    # -----------------------------------------------------------------------
    # Helpers
    # -----------------------------------------------------------------------

    def refuse_unless_allowed(self, request: iweb.IRequest) -> bytes | None:
        """Refuses calls without a valid token or at a follower.

        Args:
          request: The request.

        Returns:
          Body of the refusal, or None if the call is allowed.
        """
        if not self._is_authorized(request):
            request.setHeader(b"WWW-Authenticate", b"Bearer")
            return metrics_module.make_json_response(
                request,
                http.UNAUTHORIZED,
                {"message": "the bearer token is missing or wrong"},
            )
        if self._controller.leads():
            return None
        peer = self._controller.find_peer(self._controller.leader_id())
        return metrics_module.make_json_response(
            request,
            HTTP_MISDIRECTED_REQUEST,
            {
                "leader": peer
                and {
                    "id": peer.id,
                    "host": peer.operators.host,
                    "port": peer.operators.port,
                }
            },
        )

    def _is_authorized(self, request: iweb.IRequest) -> bool:
        header = request.getHeader(b"authorization") or b""
        scheme, _, token = header.partition(b" ")
        return (
            bool(self._token)
            and scheme.lower() == b"bearer"
            and hmac.compare_digest(token.strip(), self._token)
        )

    async def _commit_change(
        self, request: iweb.IRequest, command: Any
    ) -> bytes:
        committed = await event_loop.to_deferred(
            proposals.commit_command(self._controller, command)
        )
        match committed:
            case result.Success(data.OperationOutcome() as outcome):
                logs.decision(
                    type(command).__name__,
                    outcome.message or "accepted",
                    operation=command.operation,
                    operator=command.operator,
                    accepted=outcome.accepted,
                    number=outcome.number,
                )
                return _respond_outcome(request, outcome)
            case result.Failure(reason):
                return _respond_unavailable(
                    request, f"{reason}; send the operation again"
                )
            case other:
                raise TypeError(f"unexpected outcome {other!r}")


def read_body(
    request: iweb.IRequest, cls: type
) -> result.Result[Any, InvalidBody]:
    """Reads and checks a JSON body.

    Args:
      request: The request.
      cls: Data class of the body.

    Returns:
      Success with the record, or Failure with all errors.
    """
    if getattr(request, "too_large", False):
        return _make_invalid_body(
            "$", f"must be at most {body_limits.MAX_BODY_BYTES} bytes"
        )
    try:
        document = json.loads(request.content.read())
    except (ValueError, RecursionError) as exc:
        return _make_invalid_body("$", f"is not JSON: {exc}")
    try:
        # Strict validation of JSON text accepts strings for enumerations and
        # arrays for tuples; strict validation of Python values rejects them.
        return result.Success(
            _adapter(cls).validate_json(json.dumps(document), strict=True)
        )
    except pydantic.ValidationError as exc:
        return result.Failure(
            InvalidBody(tuple(map(_get_path_and_rule, exc.errors())))
        )


def _make_invalid_body(path: str, rule: str) -> result.Result[Any, InvalidBody]:
    return result.Failure(InvalidBody(((path, rule),)))


@functools.cache
def _adapter(cls: type) -> pydantic.TypeAdapter:
    for record_class in (data.RolloutPlan, data.Address, cls):
        codec.forbid_extra(record_class)
    return pydantic.TypeAdapter(cls)


def _get_path_and_rule(error: dict[str, Any]) -> tuple[str, str]:
    path = "$" + "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}"
        for part in error["loc"]
    )
    rules_by_type = {
        "missing": "is required",
        "unexpected_keyword_argument": "is not a known field",
    }
    return path, rules_by_type.get(error["type"], error["msg"])


def _find_repair_conflict(driver: Any, body: ControllerBody, node: str) -> str:
    state, members = driver.state, driver.replica.members
    recorded_peer = state.controllers.get(node)
    if recorded_peer == data.Peer(node, body.control, body.operators):
        # The call is sent again: the repair itself has raised the number.
        return ""
    if body.expected not in (None, state.number):
        return f"expected {body.expected}, is {state.number}"
    if body.replaces == node:
        return "a controller cannot replace itself; give it a new id"
    if node in members:
        return f"{node} is a controller already; give the new one a new id"
    if body.replaces is not None and body.replaces not in members:
        return f"{body.replaces} is not a controller"
    return ""


async def _wait_for_commit(fut: asyncio.Future) -> None:
    """Waits for a future up to the commit timeout, without cancelling it."""
    await event_loop.to_deferred(
        asyncio.wait([fut], timeout=proposals.COMMIT_TIMEOUT_S)
    )


def _respond_ok(request: iweb.IRequest, body: Any) -> bytes:
    return metrics_module.make_json_response(request, http.OK, body)


def _respond_invalid(
    request: iweb.IRequest, errors: tuple[tuple[str, str], ...]
) -> bytes:
    return metrics_module.make_json_response(
        request,
        http.BAD_REQUEST,
        {"errors": [{"path": path, "rule": rule} for path, rule in errors]},
    )


def _respond_outcome(
    request: iweb.IRequest, outcome: data.OperationOutcome
) -> bytes:
    return metrics_module.make_json_response(
        request,
        http.OK if outcome.accepted else http.CONFLICT,
        {
            "accepted": outcome.accepted,
            "number": outcome.number,
            "winner": outcome.winner,
            "message": outcome.message,
        },
    )


def _respond_unavailable(request: iweb.IRequest, message: str) -> bytes:
    return metrics_module.make_json_response(
        request, http.SERVICE_UNAVAILABLE, {"message": message}
    )
