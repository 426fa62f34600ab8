"""Changes of operators that carry no operation id.

An operator who gets no answer sends the same change again. Without an operation
id, such a repetition is recognized by its content: a change that is already in
force is acknowledged again.
"""

import dataclasses
import enum
from typing import Any
import uuid

from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import proposals
from waxwingrack.operations import replicated_outcomes
from waxwingrack.operations import rollouts

# Name of the operator in the log, as these changes name none.
UNNAMED_OPERATOR = "operator"


class ChangeStatus(enum.StrEnum):
    """Status of a change that was proposed."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeResult:
    """Result of a change.

    Attributes:
      status: Status; an UNKNOWN change may still be committed.
      reason: Why it was not done; empty if it was.
    """

    status: ChangeStatus
    reason: str = ""


class Changes:
    """Makes changes at the controller that leads."""

    def __init__(self, controller: Any):
        """Prepares the changes.

        Args:
          controller: The `controller.Controller`.
        """
        self._controller = controller

    def latest_rollout(self, service: str) -> data.Rollout | None:
        """Returns the last rollout of a service, or None."""
        return rollouts.latest_rollout(self._controller.driver.state, service)

    async def replace_environment(
        self, environment: data.Environment
    ) -> ChangeResult:
        """Puts an environment in force unless one of a higher revision is.

        Args:
          environment: The environment.
        """
        return await self._commit_and_log(
            commands.ReplaceEnvironment(UNNAMED_OPERATOR, environment),
            revision=environment.revision,
        )

    async def drain_data_centre(self, data_centre: str) -> ChangeResult:
        """Takes a data centre out of service."""
        return await self._set_data_centre_state(
            data_centre, data.DataCentreState.DRAINED
        )

    async def restore_data_centre(self, data_centre: str) -> ChangeResult:
        """Returns a data centre into service."""
        return await self._set_data_centre_state(
            data_centre, data.DataCentreState.IN_SERVICE
        )

    async def start_rollout(
        self, service: str, version: str, deadline_s: float
    ) -> ChangeResult:
        """Starts a rollout.

        If the last rollout of the service has the same version, the call is a
        repetition and starts none.

        Args:
          service: Id of the service.
          version: Version to roll out.
          deadline_s: Time until the rollout must be done or rolled back, in
            seconds.
        """
        state = self._controller.driver.state
        last = rollouts.latest_rollout(state, service)
        if last is not None and last.plan.version == version:
            return ChangeResult(ChangeStatus.DONE)
        plan = rollouts.limit_exposure(
            rollouts.plan_by_deadline(state, service, version, deadline_s),
            self._controller.settings,
        )
        return await self._commit_and_log(
            commands.StartRollout(
                uuid.uuid4().hex, UNNAMED_OPERATOR, None, plan
            ),
            service=service,
            version=version,
        )

    async def _set_data_centre_state(
        self, data_centre: str, state: data.DataCentreState
    ) -> ChangeResult:
        return await self._commit_and_log(
            commands.SetDataCentre(
                uuid.uuid4().hex, UNNAMED_OPERATOR, None, data_centre, state
            ),
            data_centre=data_centre,
            state=state,
        )

    async def _commit_and_log(
        self, command: Any, **fields: Any
    ) -> ChangeResult:
        change_result = _make_result(
            await proposals.commit_command(self._controller, command)
        )
        logs.decision(
            "change",
            change_result.reason or "committed",
            command=type(command).__name__,
            ending=change_result.status,
            **fields,
        )
        return change_result


def _make_result(committed: result.Result[Any, str]) -> ChangeResult:
    match committed:
        case result.Failure(reason):
            return ChangeResult(ChangeStatus.UNKNOWN, reason)
        case result.Success(data.OperationOutcome(accepted=False) as outcome):
            return ChangeResult(ChangeStatus.REFUSED, outcome.message)
        case result.Success(replicated_outcomes.ChangeRefusal(message)):
            return ChangeResult(ChangeStatus.REFUSED, message)
        case result.Success(None):
            return ChangeResult(
                ChangeStatus.UNKNOWN, "the command failed; see the log"
            )
    return ChangeResult(ChangeStatus.DONE)
