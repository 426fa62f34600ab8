"""Progress of a stream of server-sent events.

A server that is stuck may still send something now and then: a comment that
keeps the connection open, an empty line, a byte of an event that never ends.
Only a complete event with data is progress.
"""

import dataclasses

_DATA_FIELD = b"data"
# Bytes of a line that tell its field.
_FIELD_BYTES = len(_DATA_FIELD) + 1


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPosition:
    """Position within an event.

    Attributes:
      line: First bytes of the line that is being received.
      has_data: Whether a line before it, in the same event, holds data.
    """

    line: bytes = b""
    has_data: bool = False


def advance(
    position: StreamPosition, chunk: bytes
) -> tuple[StreamPosition, bool]:
    """Reads the next bytes of a stream.

    Args:
      position: Position before the bytes.
      chunk: The bytes.

    Returns:
      The position after them, and whether an event with data has ended.
    """
    text = (position.line + chunk).replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    *lines, rest = text.split(b"\n")
    has_data, progressed = position.has_data, False
    for line in lines:
        if line:
            has_data = has_data or _is_data(line)
        else:
            progressed = progressed or has_data
            has_data = False
    return StreamPosition(rest[:_FIELD_BYTES], has_data), progressed


def _is_data(line: bytes) -> bool:
    return line == _DATA_FIELD or line.startswith(_DATA_FIELD + b":")
