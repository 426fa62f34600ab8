"""Structured log lines on the standard `logging` library.

Each line is one JSON object with the time, the level, the event's name and the
event's fields. Decisions of routing and placement carry their reason.
"""

import io
import json
import logging
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


def configure(node_id: str, level: str = "INFO") -> None:
    """Sends log lines of this process to the standard error stream.

    Args:
      node_id: Node id that each line carries.
      level: Name of the lowest level to log.
    """
    # Lines carry none of these; `logging` documents the switches as the way
    # to avoid their cost.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.logAsyncioTasks = False
    logging._srcfile = None
    if isinstance(sys.stderr, io.TextIOWrapper):
        sys.stderr.reconfigure(line_buffering=True)
        handler = _LineHandler(sys.stderr)
    else:
        handler = logging.StreamHandler(sys.stderr)
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
