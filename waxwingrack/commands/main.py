"""Entry point of the command line."""

import importlib.metadata
import sys

from cleo import application
from cleo.commands import command

from waxwingrack.commands import apply
from waxwingrack.commands import check
from waxwingrack.commands import data_centre
from waxwingrack.commands import demo
from waxwingrack.commands import process
from waxwingrack.commands import repair
from waxwingrack.commands import rollout
from waxwingrack.commands import status


def commands() -> list[command.Command]:
    """Returns the commands of the program."""
    return [
        process.RouterCommand(),
        process.ControllerCommand(),
        apply.ApplyCommand(),
        status.StatusCommand(),
        data_centre.DrainCommand(),
        data_centre.RestoreCommand(),
        rollout.StartCommand(),
        rollout.StatusCommand(),
        rollout.TakeBackCommand(),
        repair.RepairCommand(),
        check.CheckCommand(),
        demo.DemoCommand(),
    ]


def main() -> int:
    """Runs the command line.

    Returns:
      Exit code of the command.
    """
    app = application.Application(
        "waxwingrack", importlib.metadata.version("waxwingrack")
    )
    for cmd in commands():
        app.add(cmd)
    app.auto_exits(False)
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
