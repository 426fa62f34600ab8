"""Entry point of the command line."""

import importlib.metadata
import sys

from cleo import application
from cleo.commands import command

from waxwingrack.commands import processes


def commands() -> list[command.Command]:
    """Returns the commands of the program."""
    return [processes.RouterCommand(), processes.ControllerCommand()]


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
