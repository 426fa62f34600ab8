"""Command `check`, which validates documents."""

import json
import pathlib
from typing import ClassVar

from cleo import helpers
from cleo.commands import command
from returns import result

from waxwingrack.commands.exit_codes import ExitCode
from waxwingrack.load import environment
from waxwingrack.load import settings


class CheckCommand(command.Command):
    """Validates documents without applying them."""

    name = "check"
    description = "Check process settings or an environment document"
    arguments: ClassVar[list] = [
        helpers.argument("files", "JSON documents", multiple=True)
    ]

    def handle(self) -> int:
        """Runs the command.

        Returns:
          Exit code.
        """
        code = ExitCode.DONE
        for path in self.argument("files"):
            kind, module = _detect_document_kind(path)
            match module.load(path):
                case result.Success(_):
                    self.line(f"{path}: valid {kind}")
                case result.Failure(faults):
                    code = ExitCode.INVALID
                    for fault in faults:
                        self.line_error(str(fault))
        return code


def _detect_document_kind(path: str) -> tuple[str, object]:
    # Only settings of a process have a role or a node id.
    try:
        document = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError):
        document = None
    if isinstance(document, dict) and document.keys() & {"role", "node_id"}:
        return "process settings", settings
    return "environment document", environment
