"""Connections between controllers.

Requests of a controller travel on the connection that it opened itself, and
replies on the connection on which the request came. So a peer whose replies
stay out is noticed without a further heartbeat, and its connection is opened
anew. That also ends the long retransmission pauses of TCP after a partition.
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

# Time without a reply to a request after which a connection is opened anew.
REPLY_TIMEOUT_MS = 2_000
# Mean pause between two attempts to connect, in seconds.
RECONNECT_S = 0.2

REPLIES = (messages.VoteReply, messages.AppendReply, messages.JoinNoted)

Deliver = Callable[[str, Any], None]


class PeerLinks:
    """Connections to and from the other controllers.

    Attributes:
      seen_ms: Time of the last message by node id of the peer.
    """

    def __init__(
        self,
        identity: transport.Identity,
        counts: transport.TrafficCounts,
        deliver: Deliver,
        clock: Callable[[], int],
        rng: random.Random,
    ):
        self.seen_ms: dict[str, int] = {}
        self._identity = identity
        self._counts = counts
        self._deliver = deliver
        self._clock = clock
        self._rng = rng
        self._addresses: dict[str, data.Address] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._outgoing: dict[str, transport.Connection] = {}
        self._incoming: dict[str, transport.Connection] = {}
        self._unanswered_ms: dict[str, int] = {}
        self._sender = large_frames.Sender()
        self._receiver = large_frames.Receiver()

    def set_peers(self, peers: Iterable[data.Peer]) -> None:
        """Connects to new peers and drops the connections to removed ones.

        Args:
          peers: All controllers; this one is left out.
        """
        wanted = {
            peer.id: peer.control
            for peer in peers
            if peer.id != self._identity.node_id
        }
        for node_id in list(self._addresses):
            if wanted.get(node_id) != self._addresses[node_id]:
                self._drop(node_id)
        for node_id, address in wanted.items():
            if node_id not in self._addresses:
                self._addresses[node_id] = address
                self._tasks[node_id] = asyncio.ensure_future(
                    self._keep_connected(node_id, address)
                )

    def send(self, node_id: str, message: Any) -> None:
        """Sends a message; it is lost if there is no connection.

        Args:
          node_id: Peer.
          message: A registered message.
        """
        if isinstance(message, REPLIES):
            conn = self._incoming.get(node_id)
        else:
            conn = self._outgoing.get(node_id)
            if conn is not None:
                self._unanswered_ms.setdefault(node_id, self._clock())
        if conn is None:
            return
        frame = messages.CODEC.encode(message)
        if len(frame) <= large_frames.MAX_SINGLE_FRAME_BYTES:
            conn.send_frame(frame)
        else:
            self._sender.send(conn, frame, lambda: self._note_progress(node_id))

    def check_replies(self) -> None:
        """Closes connections on which a reply is overdue."""
        now_ms = self._clock()
        for node_id, since_ms in list(self._unanswered_ms.items()):
            if now_ms - since_ms > REPLY_TIMEOUT_MS:
                del self._unanswered_ms[node_id]
                conn = self._outgoing.get(node_id)
                if conn is not None:
                    logs.event("peer_silent", peer=node_id)
                    conn.close()

    def close(self) -> None:
        """Closes every connection."""
        self._sender.close()
        for node_id in list(self._addresses):
            self._drop(node_id)
        for conn in list(self._incoming.values()):
            conn.close()

    # transport.Listener

    def connected(self, conn: transport.Connection) -> None:
        """Takes a connection that a peer opened; it replaces an older one."""
        old = self._incoming.get(conn.peer.node_id)
        self._incoming[conn.peer.node_id] = conn
        if old is not None:
            old.close()

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Passes a message on."""
        node_id = conn.peer.node_id
        self.seen_ms[node_id] = self._clock()
        if self._outgoing.get(node_id) is conn:
            self._unanswered_ms.pop(node_id, None)
        if isinstance(message, messages.FramePart):
            message = self._receiver.add_part(node_id, message)
        if message is not None:
            self._deliver(node_id, message)

    def disconnected(self, conn: transport.Connection) -> None:
        """Forgets a connection."""
        node_id = conn.peer.node_id
        if self._incoming.get(node_id) is conn:
            del self._incoming[node_id]
        if self._outgoing.get(node_id) is conn:
            del self._outgoing[node_id]
            self._unanswered_ms.pop(node_id, None)

    def _note_progress(self, node_id: str) -> None:
        # A large message is answered only after its last part.
        if node_id in self._unanswered_ms:
            self._unanswered_ms[node_id] = self._clock()

    def _drop(self, node_id: str) -> None:
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
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * RECONNECT_S)

    async def _connect_once(self, node_id: str, address: data.Address) -> None:
        conn = await transport.connect(address, self._identity, self._counts)
        if conn is None:
            return
        if conn.peer.node_id != node_id:
            logs.event("wrong_peer", expected=node_id, found=conn.peer.node_id)
            conn.close()
            return
        self._outgoing[node_id] = conn
        await conn.run(_Outgoing(self))


class _Outgoing:
    """Listener of a connection that this process opened."""

    def __init__(self, links: PeerLinks):
        self._links = links
        self.received = links.received
        self.disconnected = links.disconnected

    def connected(self, conn: transport.Connection) -> None:
        """The connection is entered before its tasks start."""
