"""Commands `drain` and `restore`."""

from typing import ClassVar
import urllib.parse

from cleo import helpers

from waxwingrack.commands import base
from waxwingrack.commands import operators_client
from waxwingrack.core import data


class _DataCentreCommand(base.OperatorsCommand):
    """Sets the state of a data centre.

    Attributes:
      state: State that the command sets.
    """

    arguments: ClassVar[list] = [
        helpers.argument("data_centre", "Id of the data centre")
    ]
    options: ClassVar[list] = list(base.CHANGE_OPTIONS)
    state: ClassVar[data.DataCentreState]

    async def operate(self, target: operators_client.Target) -> None:
        """See `OperatorsCommand`."""
        name = urllib.parse.quote(self.argument("data_centre"), safe="")
        self.print_change(
            await operators_client.call(
                target,
                "PUT",
                f"/v1/data-centres/{name}",
                self.build_change(state=self.state.value),
            )
        )


class DrainCommand(_DataCentreCommand):
    """Takes a data centre out of service."""

    name = "drain"
    description = "Take a data centre out of service"
    state = data.DataCentreState.DRAINED


class RestoreCommand(_DataCentreCommand):
    """Takes a data centre back into service."""

    name = "restore"
    description = "Take a data centre back into service"
    state = data.DataCentreState.IN_SERVICE
