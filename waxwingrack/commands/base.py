"""Common base of the operators' commands."""

import abc
import getpass
import ipaddress
import json
import os
import pathlib
import sys
from typing import Any
from typing import ClassVar
import uuid

from cleo import helpers
from cleo.commands import command
from cleo.io.inputs import option as option_module

from waxwingrack.commands import operators_client
from waxwingrack.commands.exit_codes import CommandError
from waxwingrack.commands.exit_codes import ExitCode
from waxwingrack.core import data
from waxwingrack.daemons import event_loop

CONTROLLERS_VARIABLE = "WAXWINGRACK_CONTROLLERS"
TOKEN_VARIABLE = "WAXWINGRACK_TOKEN_FILE"


def value_option(
    name: str, text: str, default: str | None = None
) -> option_module.Option:
    """Declares an option with a value."""
    return helpers.option(name, None, text, flag=False, default=default)


CALL_OPTIONS = (
    value_option(
        "controllers",
        f"Operators' addresses, host:port,... (or ${CONTROLLERS_VARIABLE})",
    ),
    value_option("token-file", f"File with the token (or ${TOKEN_VARIABLE})"),
    value_option("timeout", "Time limit with all attempts, in seconds", "15"),
)
READ_OPTIONS = (
    *CALL_OPTIONS,
    helpers.option("json", None, "Print JSON instead of tables"),
)
CHANGE_OPTIONS = (
    *CALL_OPTIONS,
    value_option("operator", "Name of the operator; default: the login name"),
    value_option(
        "expected", "Number of the environment that the change is based on"
    ),
    value_option("operation", "Operation id; repeat it to send a change again"),
)


class OperatorsCommand(command.Command, abc.ABC):
    """A command that calls the operators' API."""

    options: ClassVar[list] = list(READ_OPTIONS)

    def handle(self) -> int:
        """Runs the command.

        Returns:
          Exit code.
        """
        try:
            return event_loop.run(self._run_operation(self.read_target()))
        except CommandError as exc:
            return self.print_failure(exc)
        except BrokenPipeError:
            if not self.definition.has_option("operation"):
                raise
            # cleo exits with 0 after the output is closed, which would report a
            # change as done that was not sent.
            with open(os.devnull, "w") as null_device:
                os.dup2(null_device.fileno(), sys.stdout.fileno())
            return self.print_failure(
                CommandError(
                    ExitCode.UNKNOWN,
                    "the output was closed before the change was confirmed",
                )
            )

    async def _run_operation(self, target: operators_client.Target) -> int:
        try:
            await self.operate(target)
        except CommandError as exc:
            return self.print_failure(exc)
        return ExitCode.DONE

    @abc.abstractmethod
    async def operate(self, target: operators_client.Target) -> None:
        """Carries out the command.

        Args:
          target: Controllers to call and the operators' token.

        Raises:
          CommandError: The command failed.
        """

    def print_failure(self, exc: CommandError) -> int:
        """Prints why the command failed.

        Args:
          exc: The failure.

        Returns:
          Exit code.
        """
        self.line_error(f"{exc.code.name.lower()}: {exc}")
        return exc.code

    def read_target(self) -> operators_client.Target:
        """Reads the controllers and the token from options or variables.

        Raises:
          CommandError: An option is missing or invalid.
        """
        controllers = self._option_or_variable(
            "controllers", CONTROLLERS_VARIABLE
        )
        token_file = self._option_or_variable("token-file", TOKEN_VARIABLE)
        try:
            token = pathlib.Path(token_file).read_text().strip()
        except (OSError, ValueError) as exc:
            raise CommandError(
                ExitCode.INVALID, f"--token-file cannot be read: {exc}"
            ) from None
        return operators_client.Target(
            tuple(parse_address(text) for text in controllers.split(",")),
            token,
            self.read_number_option("timeout", float),
            lambda line: self.line_error(line),
        )

    def _option_or_variable(self, name: str, variable: str) -> str:
        text = self.option(name) or os.environ.get(variable)
        if not text:
            raise CommandError(
                ExitCode.INVALID, f"--{name} or ${variable} is required"
            )
        return text

    def read_number_option(self, name: str, kind: type) -> Any:
        """Parses a non-negative number; returns None for an absent option."""
        text = self.option(name)
        if text is None:
            return None
        try:
            number = kind(text)
        except ValueError:
            number = -1
        if not 0 <= number < float("inf"):
            raise CommandError(
                ExitCode.INVALID, f"--{name} must be a number from 0"
            )
        return number

    def build_change(self, **fields: Any) -> dict[str, Any]:
        """Builds the request body of a change and prints its operation id.

        Args:
          **fields: Additional fields of the body.

        Returns:
          The body.
        """
        operation = self.option("operation") or uuid.uuid4().hex
        self.line_error(f"operation: {operation}")
        return {
            "operation": operation,
            "operator": self.option("operator") or getpass.getuser(),
            "expected": self.read_number_option("expected", int),
            **fields,
        }

    def print_change(self, answer: dict) -> None:
        """Prints the answer to a change."""
        text = answer.get("message") or "accepted"
        self.line(f"{text} (number {answer.get('number')})")

    def print_state(self, document: Any, tables: dict[str, list[dict]]) -> None:
        """Prints state as tables, or as JSON with the option --json.

        Args:
          document: State to print as JSON.
          tables: Rows of each table by its title.
        """
        if self.option("json"):
            self.line(json.dumps(document, indent=2))
            return
        for title, rows in tables.items():
            self.line(f"{title}:")
            for line in format_table(rows) or ["  none"]:
                self.line(line)


def format_table(rows: list[dict]) -> list[str]:
    """Formats rows as an aligned table.

    Args:
      rows: Rows with equal keys.

    Returns:
      Lines with the keys and the rows; an empty list if there are no rows.
    """
    if not rows:
        return []
    cells = [list(rows[0])] + [
        [_format_cell(item) for item in row.values()] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  "
        + "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def _format_cell(item: Any) -> str:
    if item is None:
        return "-"
    return f"{item:.6g}" if isinstance(item, float) else str(item)


def parse_address(text: str) -> data.Address:
    """Parses `host:port`, where the host is an IP number.

    Args:
      text: Text to parse; an IPv6 number is written in square brackets.

    Returns:
      The address.

    Raises:
      CommandError: The text is not an address of this form.
    """
    host, _, port = text.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        if not 0 < int(port) < 65_536:
            raise ValueError
    except ValueError:
        raise CommandError(
            ExitCode.INVALID, f"{text!r} is not an address host:port"
        ) from None
    return data.Address(host, int(port))
