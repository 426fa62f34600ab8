"""Entry point of the command line."""

import sys

from cleo import application
from cleo import exceptions
from cleo.commands import command
from cleo.io import io as io_module

import waxwingrack
from waxwingrack.commands import apply
from waxwingrack.commands import check
from waxwingrack.commands import data_centre
from waxwingrack.commands import demo
from waxwingrack.commands import explain
from waxwingrack.commands import order
from waxwingrack.commands import platform
from waxwingrack.commands import process
from waxwingrack.commands import repair
from waxwingrack.commands import rollout
from waxwingrack.commands import status
from waxwingrack.commands.exit_codes import ExitCode


class _Application(application.Application):
    """Command line that exits with `INVALID` for invalid usage.

    cleo exits with 1 for an unknown command or option, which is the exit code
    of a refused change.
    """

    def _run(self, io: io_module.IO) -> int:
        try:
            return super()._run(io)
        except exceptions.CleoError as exc:
            self.render_error(exc, io)
            return ExitCode.INVALID


def build_commands() -> list[command.Command]:
    """Builds the commands of the program."""
    return [
        process.RouterCommand(),
        process.ControllerCommand(),
        platform.PlatformCommand(),
        apply.ApplyCommand(),
        status.StatusCommand(),
        data_centre.DrainCommand(),
        data_centre.RestoreCommand(),
        rollout.StartCommand(),
        rollout.StatusCommand(),
        rollout.TakeBackCommand(),
        order.ClearCommand(),
        repair.RepairCommand(),
        check.CheckCommand(),
        explain.ExplainCommand(),
        demo.DemoCommand(),
    ]


def main() -> int:
    """Runs the command line.

    Returns:
      Exit code of the command.
    """
    app = _Application("waxwingrack", waxwingrack.__version__)
    for cmd in build_commands():
        app.add(cmd)
    app.auto_exits(False)
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
