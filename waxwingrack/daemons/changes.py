"""Operators' changes whose resends are told by their content.

An operator who gets no answer sends the same change again. Where a change
carries no operation id, one that is in force already is acknowledged again.
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

# Operator of changes that name none.
OPERATOR = "operator"


class ChangeStatus(enum.StrEnum):
    """How a change ended."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeResult:
    """End of a change.

    Attributes:
      status: How it ended; UNKNOWN may still be committed.
      reason: Why, empty if it was done.
    """

    status: ChangeStatus
    reason: str = ""


class Changes:
    """Changes at the controller that leads."""

    def __init__(self, controller: Any):
        """Prepares the calls.

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
        """Puts an environment in force unless a higher revision is.

        Args:
          environment: The environment.
        """
        return await self._commit(
            commands.ReplaceEnvironment(OPERATOR, environment),
            revision=environment.revision,
        )

    async def drain_data_centre(self, data_centre: str) -> ChangeResult:
        """Takes a data centre out of service."""
        return await self._set_state(data_centre, data.DataCentreState.DRAINED)

    async def restore_data_centre(self, data_centre: str) -> ChangeResult:
        """Takes a data centre back into service."""
        return await self._set_state(
            data_centre, data.DataCentreState.IN_SERVICE
        )

    async def start_rollout(
        self, service: str, version: str, deadline_s: float
    ) -> ChangeResult:
        """Starts a rollout; one to the same version is a resend.

        Args:
          service: Service.
          version: Version to move to.
          deadline_s: Time until it must be done or taken back, in seconds.
        """
        state = self._controller.driver.state
        last = rollouts.latest_rollout(state, service)
        if last is not None and last.plan.version == version:
            return ChangeResult(ChangeStatus.DONE)
        plan = rollouts.plan_by_deadline(state, service, version, deadline_s)
        return await self._commit(
            commands.StartRollout(uuid.uuid4().hex, OPERATOR, None, plan),
            service=service,
            version=version,
        )

    async def _set_state(
        self, data_centre: str, state: data.DataCentreState
    ) -> ChangeResult:
        return await self._commit(
            commands.SetDataCentre(
                uuid.uuid4().hex, OPERATOR, None, data_centre, state
            ),
            data_centre=data_centre,
            state=state,
        )

    async def _commit(self, command: Any, **fields: Any) -> ChangeResult:
        ended = _ended(await proposals.commit(self._controller, command))
        logs.decision(
            "change",
            ended.reason or "committed",
            command=type(command).__name__,
            ending=ended.status,
            **fields,
        )
        return ended


def _ended(committed: result.Result[Any, str]) -> ChangeResult:
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
