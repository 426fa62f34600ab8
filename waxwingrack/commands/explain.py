"""Command `explain`, which collects the log lines of one request."""

import itertools
import json
import pathlib
from typing import ClassVar

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output

from waxwingrack.commands.exit_codes import ExitCode
from waxwingrack.operations import explanations


class ExplainCommand(command.Command):
    """Prints the history of a request from the logs of all processes."""

    name = "explain"
    description = "Gather the log lines that tell what became of a request"
    arguments: ClassVar[list] = [
        helpers.argument("request", "Id of the request"),
        helpers.argument("logs", "Log files of all processes", multiple=True),
    ]

    def handle(self) -> int:
        """Runs the command.

        Returns:
          Exit code; REFUSED if no log names the request.
        """
        try:
            texts = [
                pathlib.Path(path).read_text(errors="replace").splitlines()
                for path in self.argument("logs")
            ]
        except OSError as exc:
            self.line_error(f"{exc.filename}: cannot be read: {exc.strerror}")
            return ExitCode.INVALID
        request = self.argument("request")
        lines = explanations.parse_log_lines(
            itertools.chain.from_iterable(texts)
        )
        request_lines = explanations.select_request_lines(lines, request)
        if not request_lines:
            self.line_error(f"no line names the request {request}")
            return ExitCode.REFUSED
        for line in request_lines:
            fields = {
                name: value
                for name, value in line.fields.items()
                if name not in ("level", "kind", "request_id")
            }
            # Raw output: cleo would interpret markup in the fields.
            self.io.output.write_line(
                f"{line.time} {line.node} {line.event} "
                + json.dumps(fields, separators=(",", ":")),
                type=output.Type.RAW,
            )
        return ExitCode.DONE
