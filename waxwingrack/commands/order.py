"""Command `order clear`, which ends an outstanding engine order."""

from typing import ClassVar
import urllib.parse

from cleo import helpers

from waxwingrack.commands import base
from waxwingrack.commands import operators_client
from waxwingrack.commands.exit_codes import CommandError
from waxwingrack.commands.exit_codes import ExitCode


class ClearCommand(base.OperatorsCommand):
    """Ends an outstanding engine order that the operator knows to be over."""

    name = "order clear"
    description = "End an order to a model engine that is known to be over"
    arguments: ClassVar[list] = [
        helpers.argument("server", "Backend server id of the engine")
    ]
    options: ClassVar[list] = [
        base.value_option(
            "fencing", "Fencing number of the order, as in `status`"
        ),
        *base.CHANGE_OPTIONS,
    ]

    async def operate(self, target: operators_client.Target) -> None:
        """See `OperatorsCommand`."""
        fencing = self.read_number_option("fencing", int)
        if fencing is None:
            raise CommandError(ExitCode.INVALID, "--fencing is required")
        name = urllib.parse.quote(self.argument("server"), safe="")
        self.print_change(
            await operators_client.call(
                target,
                "POST",
                f"/v1/orders/{name}/clear",
                self.build_change(fencing=fencing),
            )
        )
