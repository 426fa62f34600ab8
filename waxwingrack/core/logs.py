"""Structured log lines on the standard `logging` library.

Each line is one JSON object with the time, the level, the event's name and the
event's fields. Decisions of routing and placement carry their reason.
"""

import json
import logging
import sys
import time
from typing import Any

_LOGGER = logging.getLogger("waxwingrack")
# One encoder for all lines; `json.dumps` would build one for each.
_ENCODER = json.JSONEncoder(default=str, separators=(",", ":"))
# Handler that `configure` has set.
_HANDLERS: list[logging.StreamHandler] = []


class _JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def __init__(self, node_id: str):
        super().__init__()
        self._node_id = node_id
        self._second = -1
        self._stamp = ""

    def head(self, created: float, level: str, name: str) -> dict[str, Any]:
        """Returns the fields that every line has, in order."""
        second = int(created)
        if second != self._second:
            self._stamp = time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(second)
            )
            self._second = second
        return {
            "time": f"{self._stamp}.{int((created - second) * 1000):03d}Z",
            "level": level,
            "node": self._node_id,
            "event": name,
        }

    def format(self, record: logging.LogRecord) -> str:
        line = self.head(
            record.created, record.levelname.lower(), record.getMessage()
        )
        line.update(getattr(record, "fields", {}))
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
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    _HANDLERS[:] = [handler]
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
    if not _LOGGER.isEnabledFor(logging.INFO):
        return
    fields = {"kind": "decision", "reason": reason, **fields}
    if not _write(name, fields):
        _LOGGER.info(name, extra={"fields": fields})


def _write(name: str, fields: dict[str, Any]) -> bool:
    """Writes a line without a `logging.LogRecord`, which takes half the time.

    Args:
      name: Name of the event.
      fields: Fields of the line.

    Returns:
      False if `logging` has to write it: other handlers are set, or the stream
      refused it.
    """
    if (
        not _HANDLERS
        or logging.root.handlers != _HANDLERS
        or _LOGGER.handlers
        or _LOGGER.filters
    ):
        return False
    handler = _HANDLERS[0]
    try:
        line = handler.formatter.head(time.time(), "info", name)
        line.update(fields)
        text = _ENCODER.encode(line) + "\n"
        with handler.lock:
            handler.stream.write(text)
            handler.flush()
    except Exception:
        # `logging` reports faults of a stream and goes on.
        return False
    return True


def event(name: str, level: int = logging.INFO, **fields: Any) -> None:
    """Logs something that happened.

    Args:
      name: Name of the event.
      level: Level of `logging`.
      **fields: Details.
    """
    if _LOGGER.isEnabledFor(level):
        _LOGGER.log(level, name, extra={"fields": fields})


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
