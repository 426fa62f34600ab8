"""Keeps the group of voting controllers complete without operators.

A controller without a vote, or one that hears no leader, asks the controllers
that it knows to join. The leader carries out what `operations.membership`
decides, one change at a time.
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

# Longest time for one request to join, in seconds.
ASK_TIMEOUT_S = 0.8
# Longest time for one change of the members, in seconds: a controller that has
# not caught up by then makes way for another one.
CHANGE_TIMEOUT_S = 3.0


class Group:
    """The group as one controller sees it."""

    def __init__(self, controller: Any, identity: transport.Identity):
        """Prepares the work.

        Args:
          controller: The `controller.Controller`.
          identity: How the controller presents itself.
        """
        self._controller = controller
        # Links between members are told from requests to join by the node id.
        self._identity = dataclasses.replace(
            identity, node_id=f"{identity.node_id}/join"
        )
        self._asked_ms: dict[str, int] = {}
        self._leader: data.Peer | None = None
        self._next_ask_ms = 0
        self._asking: asyncio.Task | None = None
        self._changing: asyncio.Task | None = None

    def close(self) -> None:
        """Ends what is under way."""
        for task in (self._asking, self._changing):
            if task is not None:
                task.cancel()

    def run(self, now_ms: int) -> None:
        """Does what is due.

        Args:
          now_ms: Monotonic clock.
        """
        if self._controller.leads():
            self._change_members(now_ms)
        elif now_ms >= self._next_ask_ms and self._stands_alone(now_ms):
            self._next_ask_ms = now_ms + membership.JOIN_INTERVAL_MS
            if self._asking is None or self._asking.done():
                self._asking = asyncio.ensure_future(self._ask_all())

    # -----------------------------------------------------------------------
    # Asking
    # -----------------------------------------------------------------------

    def _stands_alone(self, now_ms: int) -> bool:
        replica = self._controller.driver.replica
        if not replica.may_vote:
            founding = (
                replica.node_id in replica.members
                and not replica.log.config.disks
            )
            return not founding
        heard_ms = replica.leader_heard_ms
        return (
            not replica.leader
            and heard_ms is not None
            and now_ms - heard_ms >= membership.MAX_LEADER_SILENCE_MS
        )

    async def _ask_all(self) -> None:
        known = {
            peer.control: peer
            for peer in (
                *self._controller.settings.controllers,
                *self._controller.group_peers(),
                *([self._leader] if self._leader else []),
            )
        }
        known.pop(self._controller.settings.control, None)
        answers = await asyncio.gather(
            *(self._ask(address) for address in known), return_exceptions=True
        )
        leaders = [
            answer.leader
            for answer in answers
            if isinstance(answer, messages.JoinNoted) and answer.leader
        ]
        self._leader = leaders[0] if leaders else None
        logs.event(
            "join_asked",
            asked=[str(address) for address in known],
            leader=self._leader and self._leader.id,
        )

    async def _ask(self, address: data.Address) -> messages.JoinNoted | None:
        listener = _Answer()
        async with asyncio.timeout(ASK_TIMEOUT_S):
            conn = await transport.connect(
                address, self._identity, self._controller.counts
            )
            if conn is None:
                return None
            running = asyncio.ensure_future(conn.run(listener))
            try:
                conn.send(messages.Join(self._controller.settings.node_id))
                return await listener.answer
            finally:
                conn.close()
                await asyncio.gather(running, return_exceptions=True)

    # -----------------------------------------------------------------------
    # Leading
    # -----------------------------------------------------------------------

    def asked(self, name: str, now_ms: int) -> messages.JoinNoted:
        """Notes a request to join.

        Args:
          name: Node id of the controller that asks.
          now_ms: Monotonic clock.

        Returns:
          The answer.
        """
        controller = self._controller
        if controller.leads():
            self._asked_ms[name] = now_ms
            (own,) = membership.peer_addresses(
                (controller.settings.node_id,),
                controller.settings.operators.port,
            )
            return messages.JoinNoted(own)
        return messages.JoinNoted(controller.find_peer(controller.leader_id()))

    def _change_members(self, now_ms: int) -> None:
        if self._changing is not None and not self._changing.done():
            return
        self._asked_ms = {
            name: asked_ms
            for name, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms < membership.MAX_JOIN_REQUEST_AGE_MS
        }
        replica = self._controller.driver.replica
        change = membership.next_change(
            replica.members,
            consensus_replication.silence_ms(replica, now_ms),
            self._asked_ms,
            self._controller.settings.group_size,
        )
        if change is not None:
            logs.decision(
                "change_members",
                change.reason,
                controller=change.node_id,
                members=list(change.members),
            )
            self._changing = asyncio.ensure_future(self._propose(change))

    async def _propose(self, change: membership.MemberChange) -> None:
        fut = self._controller.driver.propose_members(change.members)
        await asyncio.wait([fut], timeout=CHANGE_TIMEOUT_S)
        outcome = fut.result() if fut.done() else "not in time"
        logs.event(
            "members_change_ended",
            controller=change.node_id,
            changed=isinstance(outcome, result.Success),
            outcome=str(outcome),
        )


class _Answer:
    """Listener of a connection on which a request to join is sent."""

    def __init__(self) -> None:
        self.answer: asyncio.Future = asyncio.get_running_loop().create_future()

    def connected(self, conn: transport.Connection) -> None:
        """Does nothing: the request is sent by the caller."""

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Takes the answer."""
        if isinstance(message, messages.JoinNoted) and not self.answer.done():
            self.answer.set_result(message)

    def disconnected(self, conn: transport.Connection) -> None:
        """Ends the wait."""
        if not self.answer.done():
            self.answer.cancel()
