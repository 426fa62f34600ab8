"""Command `repair`, which adds or replaces a controller."""

import dataclasses
from typing import ClassVar
import urllib.parse

from cleo import helpers

from waxwingrack.commands import base
from waxwingrack.commands import operators_client
from waxwingrack.commands.exit_codes import CommandError
from waxwingrack.commands.exit_codes import ExitCode


class RepairCommand(base.OperatorsCommand):
    """Adds a controller and removes the controller that it replaces."""

    name = "repair"
    description = "Add a controller, optionally in place of another one"
    arguments: ClassVar[list] = [
        helpers.argument("id", "Id of the new controller, never used before")
    ]
    options: ClassVar[list] = [
        base.value_option("control", "Address of its websocket, host:port"),
        base.value_option(
            "operators", "Address of its operators' API, host:port"
        ),
        base.value_option("replaces", "Id of the controller that it replaces"),
        *(option for option in base.CHANGE_OPTIONS if option.name != "timeout"),
        base.value_option(
            "timeout", "Time limit for the new one to catch up, in s", "120"
        ),
    ]

    async def operate(self, target: operators_client.Target) -> None:
        """See `OperatorsCommand`."""
        addresses = {}
        for name in ("control", "operators"):
            if not self.option(name):
                raise CommandError(ExitCode.INVALID, f"--{name} is required")
            addresses[name] = dataclasses.asdict(
                base.parse_address(self.option(name))
            )
        name = urllib.parse.quote(self.argument("id"), safe="")
        self.print_change(
            await operators_client.call(
                target,
                "PUT",
                f"/v1/controllers/{name}",
                self.build_change(
                    **addresses, replaces=self.option("replaces")
                ),
            )
        )
