"""Exit codes of the commands."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class CommandError(Exception):
    """Ends a command with an exit code and a message.

    Attributes:
      code: Exit code.
    """

    def __init__(self, code: ExitCode, text: str):
        super().__init__(text)
        self.code = code
