"""Bounds on the work that one connection may cause in a turn of the event loop.

Work is costly where a caller makes a process do much for few bytes: bodies in
tiny parts, and requests that are sent before the former ones are answered. A
connection with costly work yields after each step, and others go first. A
single caller of that kind is served. Where many connections wait for such a
turn at once, those that cost the most are closed.
"""

import dataclasses
import enum

# Bytes of a chunked body that are decoded in one step: at most 682 chunks with
# content, a few milliseconds of work.
STEP_BYTES = 4_096
# Chunks of a body before their mean size is judged, so that short bodies are
# received at once whatever their chunks are.
FREE_PARTS = 512
# Mean size of the chunks below which a body is costly, in bytes. The framing of
# a smaller chunk takes longer to decode than its content.
MIN_MEAN_PART_BYTES = 16
# Chunks of a costly body after which it is refused while many connections are
# costly.
MAX_COSTLY_PARTS = 4_096
# Connections that wait for a costly turn above which they are many. One waits
# longer than 50 ms for its turn then, so a body of some 400,000 chunks would
# not arrive within the default `body_timeout_s` any more.
MANY_COSTLY_CONNECTIONS = 8
# Requests that may wait on a connection. Browsers and HTTP libraries send at
# most a few before the answer to the first.
MAX_PIPELINED_REQUESTS = 256
# Times after which a connection with unread answers is looked at again, in
# seconds: at first soon after a round trip, later at hardly any cost.
MIN_UNREAD_CHECK_S = 0.02
MAX_UNREAD_CHECK_S = 1.0

# End of the request line of each request that may be followed by another one. A
# body that holds the same text counts as well, if it was sent with requests
# that wait.
_REQUEST_LINE_END = b" HTTP/1.1\r\n"


class Verdict(enum.StrEnum):
    """What happens to a connection after a step of its work."""

    CONTINUE = "continue"
    YIELD = "yield"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class BodyUse:
    """What a body that is being received has cost so far.

    Attributes:
      parts: Number of chunks.
      size: Number of bytes of the body.
    """

    parts: int = 0
    size: int = 0


def judge_body(use: BodyUse, waiting_connections: int) -> Verdict:
    """Decides how a body in parts is received further.

    Args:
      use: What it has cost.
      waiting_connections: Number of connections that wait for a costly turn.
    """
    if not is_costly(use):
        return Verdict.CONTINUE
    if (
        waiting_connections > MANY_COSTLY_CONNECTIONS
        and use.parts > MAX_COSTLY_PARTS
    ):
        return Verdict.REFUSE
    return Verdict.YIELD


def is_costly(use: BodyUse) -> bool:
    """Returns whether the parts of a body are many and tiny."""
    return use.parts > FREE_PARTS and use.size < use.parts * MIN_MEAN_PART_BYTES


def judge_pipeline(received: bytes, limit: int) -> Verdict:
    """Decides about requests received before the former one was answered.

    Args:
      received: Bytes received after the request that has been answered.
      limit: Maximum number of requests that may wait.
    """
    if not received:
        return Verdict.CONTINUE
    waiting = received.count(_REQUEST_LINE_END)
    return Verdict.REFUSE if waiting > limit else Verdict.YIELD


def next_unread_check_s(last_s: float) -> float:
    """Returns when unread answers are looked at again, in seconds.

    Args:
      last_s: Length of the last wait in seconds; 0 for the first one.
    """
    return min(max(MIN_UNREAD_CHECK_S, 2 * last_s), MAX_UNREAD_CHECK_S)
