"""Keeps the group of voting controllers complete without operators.

A controller that has no vote or hears no leader sends a request to join to the
controllers that it knows. The leader makes the membership changes that
`operations.membership` decides, one at a time.
"""

import asyncio
import dataclasses
from typing import Any

from returns import result

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import transport
from waxwingrack.operations import consensus_replication
from waxwingrack.operations import membership

# Timeout of one request to join, in seconds.
JOIN_TIMEOUT_S = 0.8
# Timeout of one change of the members, in seconds: a controller that has not
# caught up by then is given up in favour of another one.
MEMBER_CHANGE_TIMEOUT_S = 3.0


class Group:
    """Maintains the group membership from one controller."""

    def __init__(self, controller: Any, identity: transport.Identity):
        """Prepares the maintenance.

        Args:
          controller: The `controller.Controller`.
          identity: Identity of the controller on its connections.
        """
        self._controller = controller
        # The node id distinguishes requests to join from links between members.
        self._identity = dataclasses.replace(
            identity, node_id=f"{identity.node_id}/join"
        )
        self._join_requests_ms: dict[str, int] = {}
        self._leader_peer: data.Peer | None = None
        self._next_join_ms = 0
        self._join_task: asyncio.Task | None = None
        self._change_task: asyncio.Task | None = None

    def close(self) -> None:
        """Cancels the tasks that are running."""
        for task in (self._join_task, self._change_task):
            if task is not None:
                task.cancel()

    def run_periodic(self, now_ms: int) -> None:
        """Changes the members, as the leader, or asks to join if needed.

        Args:
          now_ms: Monotonic clock.
        """
        if self._controller.leads():
            self._change_members(now_ms)
        elif now_ms >= self._next_join_ms and self._needs_to_join(now_ms):
            self._next_join_ms = now_ms + membership.JOIN_INTERVAL_MS
            if self._join_task is None or self._join_task.done():
                self._join_task = asyncio.ensure_future(
                    self._ask_known_controllers()
                )

    # -----------------------------------------------------------------------
    # Requests to join
    # -----------------------------------------------------------------------

    def _needs_to_join(self, now_ms: int) -> bool:
        replica = self._controller.driver.replica
        if not replica.may_vote:
            is_founder = (
                replica.node_id in replica.members
                and not replica.log.config.disks
            )
            return not is_founder
        heard_ms = replica.leader_heard_ms
        return (
            not replica.leader
            and heard_ms is not None
            and now_ms - heard_ms >= membership.MAX_LEADER_SILENCE_MS
        )

    async def _ask_known_controllers(self) -> None:
        peers_by_address = {
            peer.control: peer
            for peer in (
                *self._controller.settings.controllers,
                *self._controller.group_peers(),
                *([self._leader_peer] if self._leader_peer else []),
            )
        }
        peers_by_address.pop(self._controller.settings.control, None)
        answers = await asyncio.gather(
            *(self._ask_to_join(address) for address in peers_by_address),
            return_exceptions=True,
        )
        leaders = [
            answer.leader
            for answer in answers
            if isinstance(answer, messages.JoinNoted) and answer.leader
        ]
        self._leader_peer = leaders[0] if leaders else None
        logs.event(
            "join_asked",
            asked=[str(address) for address in peers_by_address],
            leader=self._leader_peer and self._leader_peer.id,
        )

    async def _ask_to_join(
        self, address: data.Address
    ) -> messages.JoinNoted | None:
        listener = _JoinListener()
        async with asyncio.timeout(JOIN_TIMEOUT_S):
            conn = await transport.connect(
                address, self._identity, self._controller.counts
            )
            if conn is None:
                return None
            listener_task = asyncio.ensure_future(conn.run(listener))
            try:
                conn.send(messages.Join(self._controller.settings.node_id))
                return await listener.answer
            finally:
                conn.close()
                await asyncio.gather(listener_task, return_exceptions=True)

    # -----------------------------------------------------------------------
    # Work of the leader
    # -----------------------------------------------------------------------

    def handle_join_request(
        self, node_id: str, now_ms: int
    ) -> messages.JoinNoted:
        """Records a request to join.

        Args:
          node_id: Node id of the controller that asks.
          now_ms: Monotonic clock.

        Returns:
          The answer, which names the leader if it is known.
        """
        controller = self._controller
        if controller.leads():
            self._join_requests_ms[node_id] = now_ms
            (own_peer,) = membership.peer_addresses(
                (controller.settings.node_id,),
                controller.settings.operators.port,
            )
            return messages.JoinNoted(own_peer)
        return messages.JoinNoted(controller.find_peer(controller.leader_id()))

    def _change_members(self, now_ms: int) -> None:
        if self._change_task is not None and not self._change_task.done():
            return
        self._join_requests_ms = {
            node_id: requested_ms
            for node_id, requested_ms in self._join_requests_ms.items()
            if now_ms - requested_ms < membership.MAX_JOIN_REQUEST_AGE_MS
        }
        replica = self._controller.driver.replica
        change = membership.next_change(
            replica.members,
            consensus_replication.silence_ms(replica, now_ms),
            self._join_requests_ms,
            self._controller.settings.group_size,
        )
        if change is not None:
            logs.decision(
                "change_members",
                change.reason,
                controller=change.node_id,
                members=list(change.members),
            )
            self._change_task = asyncio.ensure_future(
                self._propose_change(change)
            )

    async def _propose_change(self, change: membership.MemberChange) -> None:
        fut = self._controller.driver.propose_members(change.members)
        await asyncio.wait([fut], timeout=MEMBER_CHANGE_TIMEOUT_S)
        outcome = fut.result() if fut.done() else "not in time"
        logs.event(
            "members_change_ended",
            controller=change.node_id,
            changed=isinstance(outcome, result.Success),
            outcome=str(outcome),
        )


class _JoinListener:
    """Listener that waits for the answer to a request to join."""

    def __init__(self) -> None:
        self.answer: asyncio.Future = asyncio.get_running_loop().create_future()

    def connected(self, conn: transport.Connection) -> None:
        """Does nothing, because `Group` sends the request itself."""

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Resolves `answer` with the first answer."""
        if isinstance(message, messages.JoinNoted) and not self.answer.done():
            self.answer.set_result(message)

    def disconnected(self, conn: transport.Connection) -> None:
        """Cancels `answer` if none has arrived."""
        if not self.answer.done():
            self.answer.cancel()
