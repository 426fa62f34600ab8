"""Messages that are larger than one frame, in parts.

A snapshot of the replicated state can exceed the frame limit. Its parts are
queued only as fast as the connection takes them, so that heartbeats keep their
place between them.
"""

import asyncio
from collections.abc import Callable
import itertools
from typing import Any

from returns import result

from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import transport

PART_BYTES = 256 * 1024
# A message up to this size travels in one frame.
MAX_SINGLE_FRAME_BYTES = 2 * 1024 * 1024
# Largest message that is put together; above the bound on stored answers.
MAX_MESSAGE_BYTES = 256 * 1024 * 1024
# Unsent bytes above which the next part waits.
MAX_QUEUED_BYTES = 1024 * 1024
QUEUE_CHECK_S = 0.01


class Sender:
    """Sends large messages, at most one at a time for each peer."""

    def __init__(self):
        self._numbers = itertools.count(1)
        self._tasks: dict[str, asyncio.Task] = {}

    def send(
        self,
        conn: transport.Connection,
        frame: bytes,
        progress: Callable[[], None],
    ) -> None:
        """Starts to send a frame in parts.

        The frame is dropped if another one is still on its way to the peer on
        a connection that works; consensus sends it again.

        Args:
          conn: Connection to the peer.
          frame: Encoded message.
          progress: Called after each part that was queued.
        """
        node_id = conn.peer.node_id
        old = self._tasks.get(node_id)
        if old is not None and not old.done():
            return
        self._tasks[node_id] = asyncio.ensure_future(
            self._send_parts(conn, frame, progress)
        )

    def close(self) -> None:
        """Ends all transfers."""
        for task in self._tasks.values():
            task.cancel()

    async def _send_parts(
        self,
        conn: transport.Connection,
        frame: bytes,
        progress: Callable[[], None],
    ) -> None:
        number = next(self._numbers)
        count = -(-len(frame) // PART_BYTES)
        for part in range(count):
            while conn.unsent_bytes > MAX_QUEUED_BYTES and not conn.closed:
                await asyncio.sleep(QUEUE_CHECK_S)
            blob = frame[part * PART_BYTES : (part + 1) * PART_BYTES]
            if not conn.send(messages.FramePart(number, part, count, blob)):
                return
            progress()
        logs.event(
            "large_message_sent",
            peer=conn.peer.node_id,
            bytes=len(frame),
            parts=count,
        )


class Receiver:
    """Puts the parts of each peer's current frame together."""

    def __init__(self):
        self._parts: dict[str, tuple[int, list[bytes]]] = {}

    def add_part(self, node_id: str, part: messages.FramePart) -> Any | None:
        """Takes a part.

        Args:
          node_id: Peer that sent it.
          part: The part.

        Returns:
          The whole message with its last part, else None.
        """
        frame, blobs = self._parts.get(node_id, (0, []))
        if part.part == 0:
            frame, blobs = part.frame, []
        too_large = part.parts * PART_BYTES > MAX_MESSAGE_BYTES
        if frame != part.frame or part.part != len(blobs) or too_large:
            self._parts.pop(node_id, None)
            return None
        blobs.append(part.blob)
        self._parts[node_id] = (frame, blobs)
        if len(blobs) < part.parts:
            return None
        del self._parts[node_id]
        match messages.CODEC.decode(b"".join(blobs)):
            case result.Success(message):
                return message
            case result.Failure(error):
                logs.event(
                    "malformed_message", peer=node_id, reason=error.reason
                )
        return None
