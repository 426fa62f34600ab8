"""Structured log lines on the standard `logging` library.

Each line is one JSON object with the time, the level, the event's name and the
event's fields. Decisions of routing and placement carry their reason.
"""

import io
import json
import logging
import os
import stat
import sys
import time
from typing import Any

_LOGGER = logging.getLogger("waxwingrack")
# One encoder for all lines; `json.dumps` would build one for each.
_ENCODER = json.JSONEncoder(default=str, separators=(",", ":"))


class _Record(logging.LogRecord):
    """Record with no more than a line shows.

    The initialiser of the base class takes as long as the line's JSON: it looks
    for the place in the code and for the thread, which no line carries.
    """

    def __init__(self, level: int, name: str, fields: dict[str, Any]):
        now_s = time.time()
        self.name = _LOGGER.name
        self.msg = name
        self.args = ()
        self.levelno = level
        self.levelname = logging.getLevelName(level)
        self.created = now_s
        self.msecs = int((now_s - int(now_s)) * 1000)
        self.exc_info = self.exc_text = self.stack_info = None
        self.fields = fields


class _LineHandler(logging.StreamHandler):
    """Writes lines to a stream that passes on each whole line by itself."""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line."""
        try:
            self.stream.write(self.format(record) + self.terminator)
        except Exception:  # noqa: BLE001
            self.handleError(record)


class _PipeHandler(logging.Handler):
    """Writes lines to a pipe and drops them while its reader is behind.

    A process must not wait for whoever reads its log. The first line after a
    gap tells how many were dropped.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        # Rest of a line of which the pipe took only a part.
        self._rest = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes or drops a line."""
        try:
            line = self.format(record).encode() + b"\n"
            if self._dropped:
                gap = _Record(
                    logging.WARNING,
                    "log_lines_dropped",
                    {"count": self._dropped},
                )
                line = self.format(gap).encode() + b"\n" + line
            if self._write(line):
                self._dropped = 0
            else:
                self._dropped += 1
        except Exception:  # noqa: BLE001
            self.handleError(record)

    def _write(self, line: bytes) -> bool:
        """Writes a line; returns False if nothing of it was taken."""
        if self._rest and not self._write_rest():
            return False
        self._rest = line
        if not self._write_rest() and self._rest is line:
            self._rest = b""
            return False
        return True

    def _write_rest(self) -> bool:
        try:
            taken = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        if taken:
            self._rest = self._rest[taken:]
        return not self._rest


class _JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def __init__(self, node_id: str):
        super().__init__()
        self._node_id = node_id
        self._second = -1
        self._stamp = ""

    def format(self, record: logging.LogRecord) -> str:
        second = int(record.created)
        if second != self._second:
            self._stamp = time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(second)
            )
            self._second = second
        line = {
            "time": f"{self._stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "node": self._node_id,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return _ENCODER.encode(line)


def configure(
    node_id: str, level: str = "INFO", stream: io.TextIOBase | None = None
) -> None:
    """Sends log lines of this process to a stream.

    Args:
      node_id: Node id that each line carries.
      level: Name of the lowest level to log.
      stream: Stream; None takes the standard error stream. If it is a pipe,
        lines are dropped while its reader is behind.
    """
    stream = stream or sys.stderr
    # Lines carry none of these; `logging` documents the switches as the way
    # to avoid their cost.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.logAsyncioTasks = False
    logging._srcfile = None
    if not isinstance(stream, io.TextIOWrapper):
        handler = logging.StreamHandler(stream)
    elif stat.S_ISFIFO(os.fstat(stream.fileno()).st_mode):
        handler = _PipeHandler(stream.fileno())
    else:
        stream.reconfigure(line_buffering=True)
        handler = _LineHandler(stream)
    handler.setFormatter(_JsonFormatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # The library logs each opened and closed connection as information.
    logging.getLogger("websockets").setLevel(logging.WARNING)


def decision(name: str, reason: str, **fields: Any) -> None:
    """Logs a routing or placement decision.

    Args:
      name: Name of the decision, for example `grant`.
      reason: Why it was made.
      **fields: Subjects of the decision.
    """
    if _LOGGER.isEnabledFor(logging.INFO):
        fields = {"kind": "decision", "reason": reason, **fields}
        _LOGGER.handle(_Record(logging.INFO, name, fields))


def event(name: str, level: int = logging.INFO, **fields: Any) -> None:
    """Logs something that happened.

    Args:
      name: Name of the event.
      level: Level of `logging`.
      **fields: Details.
    """
    if _LOGGER.isEnabledFor(level):
        _LOGGER.handle(_Record(level, name, fields))


def failure(name: str, exc: BaseException, **fields: Any) -> None:
    """Logs an unexpected exception with its traceback.

    Args:
      name: Name of the event.
      exc: The exception.
      **fields: Details.
    """
    _LOGGER.error(
        name,
        exc_info=(type(exc), exc, exc.__traceback__),
        extra={"fields": fields},
    )
