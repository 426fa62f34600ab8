"""Structured logging with the standard `logging` library.

Each line is one JSON object with the time, the level, the name of the event and
the fields of the event. Decisions of routing and placement carry their reason.
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
# One encoder for all lines; `json.dumps` would create one per line.
_ENCODER = json.JSONEncoder(default=str, separators=(",", ":"))


class _Record(logging.LogRecord):
    """Log record with only the attributes that a line contains.

    The initialiser of the base class takes as long as the encoding of the
    line's JSON: it determines the source location and the thread, which no line
    contains.
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
    """Writes lines to a line-buffered stream, which needs no flush."""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line."""
        try:
            self.stream.write(self.format(record) + self.terminator)
        except Exception:  # noqa: BLE001
            self.handleError(record)


class _PipeHandler(logging.Handler):
    """Writes lines to a pipe and drops them while the pipe is full.

    A process must not block on a slow reader of its log. The first line after a
    gap states how many lines were dropped.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        # Remainder of a line of which the pipe accepted only the beginning.
        self._unwritten = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes or drops a line."""
        try:
            line = self.format(record).encode() + b"\n"
            if self._dropped:
                gap_record = _Record(
                    logging.WARNING,
                    "log_lines_dropped",
                    {"count": self._dropped},
                )
                line = self.format(gap_record).encode() + b"\n" + line
            if self._write(line):
                self._dropped = 0
            else:
                self._dropped += 1
        except Exception:  # noqa: BLE001
            self.handleError(record)

    def _write(self, line: bytes) -> bool:
        """Writes a line; returns False if the pipe accepted nothing of it."""
        if self._unwritten and not self._write_pending():
            return False
        self._unwritten = line
        if not self._write_pending() and self._unwritten is line:
            self._unwritten = b""
            return False
        return True

    def _write_pending(self) -> bool:
        """Writes `_unwritten`; returns whether nothing is left of it."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return False
        if written:
            self._unwritten = self._unwritten[written:]
        return not self._unwritten


class _JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def __init__(self, node_id: str):
        super().__init__()
        self._node_id = node_id
        self._formatted_s = -1
        self._timestamp = ""

    def format(self, record: logging.LogRecord) -> str:
        created_s = int(record.created)
        if created_s != self._formatted_s:
            self._timestamp = time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(created_s)
            )
            self._formatted_s = created_s
        line = {
            "time": f"{self._timestamp}.{int(record.msecs):03d}Z",
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
      stream: Stream; None uses the standard error stream. If it is a pipe,
        lines are dropped while the pipe is full.
    """
    stream = stream or sys.stderr
    # Lines contain none of these attributes; `logging` documents that these
    # switches avoid the cost of determining them.
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
    # The library logs every opened and closed connection at INFO level.
    logging.getLogger("websockets").setLevel(logging.WARNING)


def decision(name: str, reason: str, **fields: Any) -> None:
    """Logs a routing or placement decision.

    Args:
      name: Name of the decision, for example `grant`.
      reason: Reason for the decision.
      **fields: Further fields of the line, such as ids of the objects decided
        on.
    """
    if _LOGGER.isEnabledFor(logging.INFO):
        fields = {"kind": "decision", "reason": reason, **fields}
        _LOGGER.handle(_Record(logging.INFO, name, fields))


def event(name: str, level: int = logging.INFO, **fields: Any) -> None:
    """Logs an event.

    Args:
      name: Name of the event.
      level: Level of `logging`.
      **fields: Further fields of the line.
    """
    if _LOGGER.isEnabledFor(level):
        _LOGGER.handle(_Record(level, name, fields))


def failure(name: str, exc: BaseException, **fields: Any) -> None:
    """Logs an unexpected exception with its traceback.

    Args:
      name: Name of the event.
      exc: The exception.
      **fields: Further fields of the line.
    """
    _LOGGER.error(
        name,
        exc_info=(type(exc), exc, exc.__traceback__),
        extra={"fields": fields},
    )
