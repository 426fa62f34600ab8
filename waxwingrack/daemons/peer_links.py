"""Connections between controllers.

A controller sends requests on the connection that it opened itself, and replies
on the connection on which the request came. So a peer that does not reply is
detected without additional heartbeats, and the connection to it is reopened.
This also avoids the long retransmission pauses of TCP after a partition.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import large_frames
from waxwingrack.daemons import transport

# Time without a reply to a request after which a connection is reopened.
REPLY_TIMEOUT_MS = 2_000
# Mean pause between connection attempts, in seconds.
MEAN_RECONNECT_PAUSE_S = 0.2

REPLY_TYPES = (messages.VoteReply, messages.AppendReply, messages.JoinNoted)

DeliverMessage = Callable[[str, Any], None]


class PeerLinks:
    """Connections to and from the other controllers.

    Attributes:
      last_message_ms: Time of the last message by node id of the peer.
    """

    def __init__(
        self,
        identity: transport.Identity,
        counts: transport.TrafficCounts,
        deliver: DeliverMessage,
        clock: Callable[[], int],
        rng: random.Random,
    ):
        self.last_message_ms: dict[str, int] = {}
        self._identity = identity
        self._counts = counts
        self._deliver = deliver
        self._clock = clock
        self._rng = rng
        self._addresses: dict[str, data.Address] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._outgoing: dict[str, transport.Connection] = {}
        self._incoming: dict[str, transport.Connection] = {}
        self._unanswered_since_ms: dict[str, int] = {}
        self._sender = large_frames.Sender()
        self._receiver = large_frames.Receiver()

    def set_peers(self, peers: Iterable[data.Peer]) -> None:
        """Connects to new peers and disconnects from removed ones.

        Args:
          peers: All controllers; this one is ignored.
        """
        new_addresses = {
            peer.id: peer.control
            for peer in peers
            if peer.id != self._identity.node_id
        }
        for node_id in list(self._addresses):
            if new_addresses.get(node_id) != self._addresses[node_id]:
                self._remove_peer(node_id)
        for node_id, address in new_addresses.items():
            if node_id not in self._addresses:
                self._addresses[node_id] = address
                self._tasks[node_id] = asyncio.ensure_future(
                    self._keep_connected(node_id, address)
                )

    def send(self, node_id: str, message: Any) -> None:
        """Sends a message; it is lost if there is no connection.

        Args:
          node_id: Node id of the peer.
          message: A registered message.
        """
        if isinstance(message, REPLY_TYPES):
            conn = self._incoming.get(node_id)
        else:
            conn = self._outgoing.get(node_id)
            if conn is not None:
                self._unanswered_since_ms.setdefault(node_id, self._clock())
        if conn is None:
            return
        frame = messages.CODEC.encode(message)
        if len(frame) <= large_frames.MAX_SINGLE_FRAME_BYTES:
            conn.send_frame(frame)
        else:
            self._sender.send(
                conn, frame, lambda: self._restart_reply_timeout(node_id)
            )

    def close_unresponsive(self) -> None:
        """Closes connections on which a reply is overdue."""
        now_ms = self._clock()
        for node_id, since_ms in list(self._unanswered_since_ms.items()):
            if now_ms - since_ms > REPLY_TIMEOUT_MS:
                del self._unanswered_since_ms[node_id]
                conn = self._outgoing.get(node_id)
                if conn is not None:
                    logs.event("peer_silent", peer=node_id)
                    conn.close()

    def close(self) -> None:
        """Closes every connection."""
        self._sender.close()
        for node_id in list(self._addresses):
            self._remove_peer(node_id)
        for conn in list(self._incoming.values()):
            conn.close()

    # transport.Listener

    def connected(self, conn: transport.Connection) -> None:
        """Stores a connection that a peer opened and closes its older one."""
        old_conn = self._incoming.get(conn.peer.node_id)
        self._incoming[conn.peer.node_id] = conn
        if old_conn is not None:
            old_conn.close()

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Delivers a message, once all of its parts have arrived."""
        node_id = conn.peer.node_id
        self.last_message_ms[node_id] = self._clock()
        if self._outgoing.get(node_id) is conn:
            self._unanswered_since_ms.pop(node_id, None)
        if isinstance(message, messages.FramePart):
            message = self._receiver.add_part(node_id, message)
        if message is not None:
            self._deliver(node_id, message)

    def disconnected(self, conn: transport.Connection) -> None:
        """Removes a connection."""
        node_id = conn.peer.node_id
        if self._incoming.get(node_id) is conn:
            del self._incoming[node_id]
        if self._outgoing.get(node_id) is conn:
            del self._outgoing[node_id]
            self._unanswered_since_ms.pop(node_id, None)

    def _restart_reply_timeout(self, node_id: str) -> None:
        # A large message is answered only after its last part, so each part
        # restarts the reply timeout.
        if node_id in self._unanswered_since_ms:
            self._unanswered_since_ms[node_id] = self._clock()

    def _remove_peer(self, node_id: str) -> None:
        del self._addresses[node_id]
        self._tasks.pop(node_id).cancel()
        conn = self._outgoing.get(node_id)
        if conn is not None:
            conn.close()

    async def _keep_connected(
        self, node_id: str, address: data.Address
    ) -> None:
        while True:
            try:
                await self._connect_once(node_id, address)
            except Exception as exc:
                logs.failure("peer_connection_failed", exc, peer=node_id)
            await asyncio.sleep(
                self._rng.uniform(0.5, 1.5) * MEAN_RECONNECT_PAUSE_S
            )

    async def _connect_once(self, node_id: str, address: data.Address) -> None:
        conn = await transport.connect(address, self._identity, self._counts)
        if conn is None:
            return
        if conn.peer.node_id != node_id:
            logs.event("wrong_peer", expected=node_id, found=conn.peer.node_id)
            conn.close()
            return
        self._outgoing[node_id] = conn
        await conn.run(_OutgoingListener(self))


class _OutgoingListener:
    """Listener of a connection that this process opened."""

    def __init__(self, links: PeerLinks):
        self._links = links
        self.received = links.received
        self.disconnected = links.disconnected

    def connected(self, conn: transport.Connection) -> None:
        """Does nothing, because `PeerLinks` has stored the connection."""
