"""Structured log lines on the standard `logging` library.

Each line is one JSON object with the time, the level, the event's name and the
event's fields. Decisions of routing and placement carry their reason.

While an event loop runs, lines below the level of an error are formatted and
written together every `FLUSH_S`, as most of a line's cost would otherwise fall
between a caller's request and its answer. Lines of that time are lost if the
process is killed.
"""

import asyncio
import json
import logging
import sys
import time
from typing import Any

# Longest time for which a line waits to be written, in seconds.
FLUSH_S = 0.01
# Lines that are written at once when so many wait.
MAX_WAITING = 1_000

_LOGGER = logging.getLogger("waxwingrack")
# One encoder for all lines; `json.dumps` would build one for each.
_ENCODER = json.JSONEncoder(default=str, separators=(",", ":"))


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


class _BatchingHandler(logging.StreamHandler):
    """Writes the lines of a short time at once."""

    def __init__(self, stream: Any):
        super().__init__(stream)
        self._waiting: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps a record, or writes it if it must not wait."""
        self._waiting.append(record)
        urgent = record.levelno >= logging.ERROR
        if urgent or len(self._waiting) >= MAX_WAITING:
            self.flush()
        elif len(self._waiting) == 1:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                self.flush()
            else:
                loop.call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Writes the records that wait."""
        with self.lock:
            records, self._waiting = self._waiting, []
            if records:
                lines = [self.format(record) + "\n" for record in records]
                self.stream.write("".join(lines))
            super().flush()


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
    handler = _BatchingHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # The library logs each opened and closed connection as information.
    logging.getLogger("websockets").setLevel(logging.WARNING)


def flush() -> None:
    """Writes the lines that wait, before a process ends abruptly."""
    for handler in logging.getLogger().handlers:
        handler.flush()


def decision(name: str, reason: str, **fields: Any) -> None:
    """Logs a routing or placement decision.

    Args:
      name: Name of the decision, for example `grant`.
      reason: Why it was made.
      **fields: Subjects of the decision.
    """
    if _LOGGER.isEnabledFor(logging.INFO):
        _LOGGER.info(
            name,
            extra={"fields": {"kind": "decision", "reason": reason, **fields}},
        )


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
