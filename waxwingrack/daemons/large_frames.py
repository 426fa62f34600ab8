"""Splits messages larger than one frame into parts and reassembles them.

A snapshot of the replicated state can exceed the frame limit. Its parts are
queued only as fast as the connection sends them, so that heartbeats can pass
between them.
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
# A message up to this size is sent in one frame.
MAX_SINGLE_FRAME_BYTES = 2 * 1024 * 1024
# Largest message that is reassembled; above the bound on stored answers.
MAX_MESSAGE_BYTES = 256 * 1024 * 1024
# The next part waits while the connection has more unsent bytes than this.
MAX_QUEUED_BYTES = 1024 * 1024
QUEUE_CHECK_S = 0.01


class Sender:
    """Sends large messages in parts, at most one message at a time per peer."""

    def __init__(self):
        self._frame_numbers = itertools.count(1)
        self._transfers: dict[str, asyncio.Task] = {}

    def send(
        self,
        conn: transport.Connection,
        frame: bytes,
        on_part_queued: Callable[[], None],
    ) -> None:
        """Starts to send a large message in parts.

        The message is dropped while another one is being sent to the peer over
        an open connection; consensus sends it again.

        Args:
          conn: Connection to the peer.
          frame: Encoded message.
          on_part_queued: Called after each part that was queued.
        """
        node_id = conn.peer.node_id
        transfer = self._transfers.get(node_id)
        if transfer is not None and not transfer.done():
            return
        self._transfers[node_id] = asyncio.ensure_future(
            self._send_parts(conn, frame, on_part_queued)
        )

    def close(self) -> None:
        """Cancels all transfers."""
        for task in self._transfers.values():
            task.cancel()

    async def _send_parts(
        self,
        conn: transport.Connection,
        frame: bytes,
        on_part_queued: Callable[[], None],
    ) -> None:
        frame_number = next(self._frame_numbers)
        count = -(-len(frame) // PART_BYTES)
        for part in range(count):
            while conn.unsent_bytes > MAX_QUEUED_BYTES and not conn.closed:
                await asyncio.sleep(QUEUE_CHECK_S)
            blob = frame[part * PART_BYTES : (part + 1) * PART_BYTES]
            if not conn.send(
                messages.FramePart(frame_number, part, count, blob)
            ):
                return
            on_part_queued()
        logs.event(
            "large_message_sent",
            peer=conn.peer.node_id,
            bytes=len(frame),
            parts=count,
        )


class Receiver:
    """Reassembles the current large message of each peer."""

    def __init__(self):
        self._parts: dict[str, tuple[int, list[bytes]]] = {}

    def add_part(self, node_id: str, part: messages.FramePart) -> Any | None:
        """Adds a part to the message of a peer.

        A part that is out of order or belongs to a message above the size limit
        discards the message.

        Args:
          node_id: Node id of the peer that sent the part.
          part: The part.

        Returns:
          The message if the part completed it, else None.
        """
        frame_number, blobs = self._parts.get(node_id, (0, []))
        if part.part == 0:
            frame_number, blobs = part.frame, []
        too_large = part.parts * PART_BYTES > MAX_MESSAGE_BYTES
        if frame_number != part.frame or part.part != len(blobs) or too_large:
            self._parts.pop(node_id, None)
            return None
        blobs.append(part.blob)
        self._parts[node_id] = (frame_number, blobs)
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
