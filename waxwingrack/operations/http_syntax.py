"""Syntax of the lines in heads and trailers of HTTP/1.1 messages.

Every line that a process reads from callers and backend servers is checked by
this module, whatever its place in a message: status lines, fields of final and
interim answers, targets and fields of requests, and trailers. Their grammar is
that of RFC 9112, sections 2.2 to 5, and of RFC 9110, section 5.5. Control
characters other than the tab are never valid: a recipient that takes a lone CR,
a NUL or a vertical tab for the end of a line would read a field that nobody
sent.
"""

import enum
import re

# Reason phrases and field values: tab, space, visible ASCII and obs-text.
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# The space before an empty phrase is often missing.
_STATUS_LINE = re.compile(
    rb"HTTP/[0-9]\.[0-9] [1-5][0-9]{2}(?: " + _TEXT + rb")?"
)
_REQUEST_TARGET = re.compile(rb"[\x21-\x7e]+")
_FIELD_LINE = re.compile(_TOKEN + rb":" + _TEXT)
_ANSWER_FIELD_LINE = re.compile(rb"(" + _TOKEN + rb")[ \t]*(:" + _TEXT + rb")")
_CONTINUATION = re.compile(rb"[ \t]" + _TEXT)
# Replaces control characters except the tab by spaces.
_CONTROLS_TO_SPACES = bytes(
    0x20 if (code < 0x20 and code != 0x09) or code == 0x7F else code
    for code in range(256)
)


class Place(enum.StrEnum):
    """Place of a line in an answer."""

    STATUS_LINE = "status_line"
    FIRST_FIELD = "first_field"
    FIELD = "field"
    CHUNK_LINE = "chunk_line"
    TRAILER = "trailer"


def is_request_target(target: bytes) -> bool:
    """Tells whether the target of a request has valid characters only.

    Args:
      target: Target from the request line, not decoded.
    """
    return _REQUEST_TARGET.fullmatch(target) is not None


def is_field_line(line: bytes) -> bool:
    """Tells whether a line is a field of a request, or of a trailer.

    Args:
      line: Unfolded line without its end.
    """
    return _FIELD_LINE.fullmatch(line) is not None


def is_continuation(line: bytes) -> bool:
    """Tells whether a line continues the field of the line before it.

    Args:
      line: Line without its end.
    """
    return _CONTINUATION.fullmatch(line) is not None


def normalise_answer_line(line: bytes, place: Place) -> bytes | None:
    """Returns a line of the head of an answer in the form to be parsed.

    A continuation begins with one space, as RFC 9112, section 5.2 asks, and the
    whitespace before a colon is removed, as section 5.1 asks.

    Args:
      line: Line without its end; an empty one ends the head.
      place: Place of the line.

    Returns:
      The line; None if HTTP does not allow it.
    """
    if place is Place.STATUS_LINE:
        return line if _STATUS_LINE.fullmatch(line) else None
    if not line:
        return line
    if is_continuation(line):
        folded = b" " + line.strip(b" \t")
        return None if place is Place.FIRST_FIELD else folded
    if match := _ANSWER_FIELD_LINE.fullmatch(line):
        return b"".join(match.groups()).rstrip(b" \t")
    return None


def replace_controls(line: bytes) -> bytes:
    """Replaces the control characters of a line, except tabs, by spaces.

    Args:
      line: Line without its end.
    """
    return line.translate(_CONTROLS_TO_SPACES)
