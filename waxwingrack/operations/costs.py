"""Cost meters, which measure the cost of a request while it runs.

A meter is fed with the bytes of the answer as they are forwarded. The unit of
the cost is that of the service's `CostMeter`.
"""

import dataclasses
import json
from typing import Any
from typing import Protocol

from waxwingrack.core import data
from waxwingrack.core import registry

# Relative change of the cost since the last report that is reported again.
MIN_REPORTED_CHANGE = 0.1
# Largest JSON answer and longest event line that are parsed for their usage.
MAX_USAGE_BYTES = 1024 * 1024

# Cost of an output token in prompt tokens. An engine processes many tokens of a
# prompt at a time, but generates one token per step.
OUTPUT_TOKEN_COST = 2.0

METERS: registry.Registry[data.CostMeter, type] = registry.Registry(
    "cost meter"
)


class Meter(Protocol):
    """Measures the cost of one attempt of a request."""

    def feed(self, chunk: bytes) -> None:
        """Processes a part of the answer's body."""

    def cost(self, elapsed_ms: float) -> float:
        """Returns the cost so far, `elapsed_ms` after the dispatch."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestUsage:
    """Token usage that is known before the answer of a request.

    Attributes:
      prompt_tokens: Length of the prompt.
      tokens_per_event: Output tokens per event of a stream.
    """

    prompt_tokens: int = 0
    tokens_per_event: int = 1


def create_meter(
    meter: data.CostMeter,
    content_type: str,
    usage: RequestUsage = RequestUsage(),
) -> Meter:
    """Creates the meter of a request.

    Args:
      meter: Kind of meter.
      content_type: Media type of the answer, empty before it is known.
      usage: Token usage that is known in advance.

    Returns:
      The meter.
    """
    return METERS[meter](content_type.lower(), usage)


def is_worth_reporting(last: float, cost: float) -> bool:
    """Returns whether a cost differs enough from the one reported last."""
    return abs(cost - last) > MIN_REPORTED_CHANGE * max(last, 1.0)


@METERS.register(data.CostMeter.SLOT_MS)
class SlotTimeMeter:
    """Time for which the request used a slot, in milliseconds."""

    def __init__(self, content_type: str, usage: RequestUsage):
        del content_type, usage

    def feed(self, chunk: bytes) -> None:
        """Ignores the answer."""

    def cost(self, elapsed_ms: float) -> float:
        """Returns the time since the dispatch."""
        return max(0.0, elapsed_ms)


@METERS.register(data.CostMeter.TOKENS)
class TokenMeter:
    """Number of streamed events, or `usage.total_tokens` once it is known."""

    def __init__(self, content_type: str, usage: RequestUsage):
        del usage
        self._stream = content_type.startswith("text/event-stream")
        self._json = content_type.startswith("application/json")
        self._buffer = bytearray()
        self._overflow = False
        self._events = 0
        self._usage: float | None = None

    def feed(self, chunk: bytes) -> None:
        """Counts events, or buffers a JSON body until it is complete."""
        if self._stream:
            self._feed_stream(chunk)
        elif self._json and not self._overflow:
            self._buffer += chunk
            if len(self._buffer) > MAX_USAGE_BYTES:
                self._overflow = True
                self._buffer.clear()

    def cost(self, elapsed_ms: float) -> float:
        """Returns the tokens known so far."""
        del elapsed_ms
        # An incomplete body hardly ever ends with a brace and is not parsed.
        if self._json and self._buffer.rstrip().endswith(b"}"):
            self._usage = _parse_total_tokens(bytes(self._buffer))
        # A request of unknown usage costs at least 1.
        tokens = self._events if self._usage is None else self._usage
        return max(1.0, float(tokens))

    def _feed_stream(self, chunk: bytes) -> None:
        self._buffer += chunk
        *lines, rest = self._buffer.split(b"\n")
        for line in lines:
            if line.startswith(b"data:") and line.strip() != b"data: [DONE]":
                self._events += 1
                if b'"usage"' in line:
                    total_tokens = _parse_total_tokens(bytes(line[5:]))
                    self._usage = (
                        self._usage if total_tokens is None else total_tokens
                    )
        self._buffer = bytearray(rest[:MAX_USAGE_BYTES])


@METERS.register(data.CostMeter.PROMPT_AND_OUTPUT)
class PromptAndOutputMeter:
    """Prompt tokens plus weighted tokens of the streamed output."""

    def __init__(self, content_type: str, usage: RequestUsage):
        self._usage = usage
        self._stream = content_type.startswith("text/event-stream")
        self._events = 0
        self._last_bytes = b""

    def feed(self, chunk: bytes) -> None:
        """Counts events by the empty lines that end them."""
        if self._stream:
            self._events += (self._last_bytes + chunk).count(b"\n\n")
            self._last_bytes = b"" if chunk.endswith(b"\n\n") else chunk[-1:]

    def cost(self, elapsed_ms: float) -> float:
        """Returns the cost so far."""
        del elapsed_ms
        output = self._events * self._usage.tokens_per_event
        return max(1.0, self._usage.prompt_tokens + OUTPUT_TOKEN_COST * output)


def _parse_total_tokens(blob: bytes) -> float | None:
    try:
        document: Any = json.loads(blob)
        tokens = document["usage"]["total_tokens"]
        return max(0.0, float(tokens))
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
