"""Commands `rollout start`, `rollout status` and `rollout take-back`."""

from typing import ClassVar
import urllib.parse

from cleo import helpers

from waxwingrack.commands import base
from waxwingrack.commands import operators_client


class StartCommand(base.OperatorsCommand):
    """Starts a rollout."""

    name = "rollout start"
    description = "Start a rollout of a service to another version"
    arguments: ClassVar[list] = [
        helpers.argument("service", "Id of the service"),
        helpers.argument("version", "Version to move to"),
    ]
    options: ClassVar[list] = [
        base.value_option(
            "id", "Id of the rollout; default: <service>-<version>"
        ),
        base.value_option(
            "deadline", "Seconds until it is completed or rolled back", "600"
        ),
        base.value_option(
            "watch", "Seconds at full share before it is done", "60"
        ),
        *base.CHANGE_OPTIONS,
    ]

    async def operate(self, target: operators_client.Target) -> None:
        """See `OperatorsCommand`."""
        service = self.argument("service")
        version = self.argument("version")
        plan = {
            "id": self.option("id") or f"{service}-{version}",
            "service": service,
            "version": version,
            "deadline_s": self.read_number_option("deadline", float),
            "watch_s": self.read_number_option("watch", float),
        }
        self.print_change(
            await operators_client.call(
                target, "POST", "/v1/rollouts", self.build_change(plan=plan)
            )
        )


class StatusCommand(base.OperatorsCommand):
    """Shows all rollouts."""

    name = "rollout status"
    description = "Show all rollouts"

    async def operate(self, target: operators_client.Target) -> None:
        """See `OperatorsCommand`."""
        answer = await operators_client.call(target, "GET", "/v1/rollouts")
        self.print_state(
            answer, {"rollouts": build_rollout_rows(answer["rollouts"])}
        )


class TakeBackCommand(base.OperatorsCommand):
    """Rolls back an unfinished rollout."""

    name = "rollout take-back"
    description = "Roll back an unfinished rollout"
    arguments: ClassVar[list] = [helpers.argument("id", "Id of the rollout")]
    options: ClassVar[list] = list(base.CHANGE_OPTIONS)

    async def operate(self, target: operators_client.Target) -> None:
        """See `OperatorsCommand`."""
        name = urllib.parse.quote(self.argument("id"), safe="")
        self.print_change(
            await operators_client.call(
                target,
                "POST",
                f"/v1/rollouts/{name}/take-back",
                self.build_change(),
            )
        )


def build_rollout_rows(rollouts: list[dict]) -> list[dict]:
    """Builds the rows of a table of rollouts."""
    return [
        {
            "id": rollout["plan"]["id"],
            "service": rollout["plan"]["service"],
            "from": rollout["old_version"],
            "to": rollout["plan"]["version"],
            "phase": rollout["phase"],
            "share": rollout["share"],
            "elapsed_s": round(rollout["elapsed_s"]),
            "reason": rollout["reason"],
        }
        for rollout in rollouts
    ]
