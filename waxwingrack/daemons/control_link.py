"""Connection of a router to the controller that leads.

The link tries the controllers in turn, follows leader hints, reports, and
carries key messages. Messages of a connection that has been replaced are
ignored.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Any
from typing import Protocol

import automat
from twisted.internet import defer

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import transport
from waxwingrack.operations import idempotency
from waxwingrack.operations import router_queues

# Reports of events that follow each other closely share one frame.
COALESCE_MS = 2
# Back-off between connection attempts. The upper bound lets a router try three
# controllers within CONTROL_TIMEOUT_MS.
BACKOFF_FIRST_MS = 25
BACKOFF_LIMIT_MS = 500
# Longest time to connect. Two controllers that do not answer must leave time
# for the third within CONTROL_TIMEOUT_MS. A connection takes two round trips
# after TCP's, so that a slow link needs more: the time doubles up to the limit
# once no controller could be reached, and follows the time of the last one.
CONNECT_TIMEOUT_S = 0.6
CONNECT_TIMEOUT_LIMIT_S = 2.4
# A controller that neither leads nor says who does is left after this time.
CONFIRM_TIMEOUT_MS = 1_000
# Interval at which unconfirmed key messages are sent again.
REPEAT_MS = 500

# Delay of a tick from which on the process is taken to have been frozen.
LATE_TICK_MS = 500


class LinkLostError(Exception):
    """The connection ended before the answer to a key message arrived."""


class Owner(Protocol):
    """What the link reports for and tells of messages."""

    def make_report(self, first: bool) -> messages.RouterReport:
        """Takes what is to be reported now."""

    def updated(self, update: messages.ControllerUpdate) -> None:
        """Handles an update of the leader."""

    def pushed(self, push: messages.EnvironmentPush) -> None:
        """Handles an environment of the leader."""

    def control_lost(self) -> None:
        """Called once when the leader has been silent for too long."""

    def control_found(self) -> None:
        """Called when a leader was heard for the first time or again."""


class _Phases(Protocol):
    """Events in the life of the link."""

    def opened(self) -> None:
        """A controller accepted the connection."""

    def confirmed(self) -> None:
        """The controller showed that it leads."""

    def closed(self) -> None:
        """The connection ended."""

    def stopped(self) -> None:
        """The router stops."""


def _build_phases() -> Callable[["ControlLink"], _Phases]:
    builder = automat.TypeMachineBuilder(_Phases, ControlLink)
    searching = builder.state("searching")
    probing = builder.state("probing")
    following = builder.state("following")
    ended = builder.state("ended")

    @searching.upon(_Phases.opened).to(probing)
    def _opened(phases: _Phases, link: ControlLink) -> None:
        link.send_first_report()

    @probing.upon(_Phases.confirmed).to(following)
    def _confirmed(phases: _Phases, link: ControlLink) -> None:
        link.start_following()

    following.upon(_Phases.confirmed).loop().returns(None)

    @probing.upon(_Phases.closed).to(searching)
    def _refused(phases: _Phases, link: ControlLink) -> None:
        link.leave()

    @following.upon(_Phases.closed).to(searching)
    def _lost(phases: _Phases, link: ControlLink) -> None:
        link.leave()

    searching.upon(_Phases.closed).loop().returns(None)
    for state in (searching, probing, following):
        state.upon(_Phases.stopped).to(ended).returns(None)
    for event in (
        _Phases.opened,
        _Phases.confirmed,
        _Phases.closed,
        _Phases.stopped,
    ):
        ended.upon(event).loop().returns(None)
    return builder.build()


@dataclasses.dataclass(slots=True)
class _Call:
    """A key message without an answer so far."""

    message: Any
    answer: defer.Deferred
    persistent: bool
    sent_ms: int | None = None


class ControlLink:
    """Keeps one connection to the leader.

    Attributes:
      following: Whether a leader is connected.
      leader: Node id of the leader that is followed, empty if none.
      heard_ms: Sending time of the latest report that the leader has echoed,
        None before the first. The time at which an update arrives would say
        nothing, as it may have waited in a buffer while the process was frozen.
    """

    def __init__(
        self,
        settings: data.Settings,
        identity: transport.Identity,
        owner: Owner,
        clock: Callable[[], int],
        rng: random.Random,
        counts: transport.Counts,
    ):
        self.following = False
        self.leader = ""
        self.heard_ms: int | None = None
        self._identity = identity
        self._owner = owner
        self._clock = clock
        self._rng = rng
        self._counts = counts
        self._phases = _make_phases(self)
        self._conn: transport.Connection | None = None
        self._opened_ms = 0
        self._sent_ms = 0
        self._urgent_ms = 0
        self._ticked_ms = clock()
        self._timer: asyncio.TimerHandle | None = None
        self._calls: dict[int, _Call] = {}
        self._last_call = 0
        self._hint = ""
        self._silence_ms = round(settings.control_silence_s * 1000)
        self._listed = settings.controllers
        self._peers = settings.controllers
        self._position = rng.randrange(max(1, len(self._peers)))
        self._backoff_ms = BACKOFF_FIRST_MS
        self._lost = True
        self._tasks: list[asyncio.Task] = []

    # -- life cycle ---------------------------------------------------------

    def start(self) -> None:
        """Starts to look for the leader; needs a running event loop."""
        self._tasks = [
            asyncio.ensure_future(self._connect_forever()),
            asyncio.ensure_future(self._tick_forever()),
        ]

    async def stop(self) -> None:
        """Ends the connection; calls without an answer fail."""
        self._phases.stopped()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._timer:
            self._timer.cancel()
        if self._conn:
            self._conn.close()
        for call in tuple(self._calls):
            self._fail(call)

    def list_controllers(self, controllers: tuple[data.Peer, ...]) -> None:
        """Takes over the controllers of changed settings.

        Args:
          controllers: Controllers that the settings name now.
        """
        self._listed = controllers
        self._learn(controllers)

    @property
    def alive(self) -> bool:
        """Whether the leader was heard within CONTROL_TIMEOUT_MS."""
        return router_queues.is_control_valid(self.heard_ms, self._clock())

    @property
    def unconfirmed(self) -> int:
        """Number of key messages that are sent until they are confirmed."""
        return sum(call.persistent for call in self._calls.values())

    async def flush(self) -> None:
        """Sends what is pending and gives the connection time to pass it on."""
        if self.following:
            self._send_report()
            await asyncio.sleep(COALESCE_MS / 1000)

    # -- messages to the leader ---------------------------------------------

    def poke(self, urgent: bool = False) -> None:
        """Reports soon: at once if idle, otherwise after COALESCE_MS.

        Args:
          urgent: Whether a caller waits for the answer to this report. It is
            then coalesced only with other urgent reports, so that the end of
            one request does not delay the next one.
        """
        if not self.following or (self._timer and not urgent):
            return
        now_ms = self._clock()
        # A report that nobody waits for must not take the loop's next turn
        # from the answer whose end it tells.
        last_ms = self._urgent_ms if urgent else now_ms
        wait_ms = last_ms + COALESCE_MS - now_ms
        if wait_ms <= 0:
            if urgent:
                self._urgent_ms = now_ms
            self._send_report()
        elif not self._timer:
            self._timer = asyncio.get_running_loop().call_later(
                wait_ms / 1000, self._send_report
            )

    def call(
        self, message_type: type, persistent: bool = False, **fields: Any
    ) -> defer.Deferred:
        """Sends a key message.

        Args:
          message_type: Type of the message.
          persistent: Whether to send it until the leader confirms that it is
            committed, also over later connections.
          **fields: Fields of the message except `call`.

        Returns:
          Fires with the `KeyAnswer`; fails with LinkLostError when the
          connection ends first and the call is not persistent.
        """
        self._last_call += 1
        call = _Call(
            message_type(call=self._last_call, **fields),
            defer.Deferred(),
            persistent,
        )
        self._calls[self._last_call] = call
        if self.following:
            self._send_call(call)
        elif not persistent:
            self._fail(self._last_call)
        return call.answer

    def _send_call(self, call: _Call) -> None:
        call.sent_ms = self._clock()
        if self._conn:
            self._conn.send(call.message)

    def _fail(self, number: int) -> None:
        call = self._calls.pop(number, None)
        if call:
            call.answer.errback(LinkLostError())

    def _send_report(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._conn and self.following:
            self._sent_ms = self._clock()
            self._conn.send(self._owner.make_report(first=False))

    # -- phases -------------------------------------------------------------

    def send_first_report(self) -> None:
        """Tells a controller everything that a new leader has to know."""
        if self._conn:
            self._sent_ms = self._opened_ms = self._clock()
            self._conn.send(self._owner.make_report(first=True))

    def start_following(self) -> None:
        """Sends what waited for a leader."""
        self.following = True
        self._backoff_ms = BACKOFF_FIRST_MS
        self.leader = self._conn.peer.node_id if self._conn else ""
        logs.event("leader_followed", leader=self.leader)
        for call in self._calls.values():
            self._send_call(call)
        self.poke()

    def leave(self) -> None:
        """Fails the calls that must not be sent twice."""
        if self.following:
            logs.event("leader_left", leader=self.leader)
        self.following = False
        self.leader = ""
        for number, call in tuple(self._calls.items()):
            if not call.persistent:
                self._fail(number)

    # -- events of the connection -------------------------------------------

    def connected(self, conn: transport.Connection) -> None:
        """Handles a new connection."""
        self._conn = conn
        self._phases.opened()

    def disconnected(self, conn: transport.Connection) -> None:
        """Handles the end of a connection."""
        if conn is self._conn:
            self._conn = None
            self._phases.closed()

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Handles a message; an exception must not end the connection."""
        if conn is not self._conn:
            return
        try:
            self._handle(conn, message)
        except Exception as exc:  # noqa: BLE001
            logs.failure("control_message_failed", exc)

    def _handle(self, conn: transport.Connection, message: Any) -> None:
        match message:
            case messages.NotLeader():
                self._hint = message.leader
                self._learn_unknown(message.peer)
                conn.close()
            case messages.ControllerUpdate():
                self._heard(message.echo_ms)
                self._owner.updated(message)
            case messages.EnvironmentPush():
                self._phases.confirmed()
                self._peers = self._listed
                self._learn(message.controllers)
                self._owner.pushed(message)
            case messages.KeyAnswer():
                self._answered(message)
            case _:
                logs.event("unexpected_message", type=type(message).__name__)

    def _learn(self, controllers: tuple[data.Peer, ...]) -> None:
        """Adds controllers that a repair has put in the place of others."""
        known = {peer.id: peer for peer in self._peers}
        known |= {peer.id: peer for peer in controllers}
        self._peers = tuple(known.values())

    def _learn_unknown(self, leader: data.Peer | None) -> None:
        """Adds a leader that the settings do not name.

        An address from the settings stays: the controller that sent the hint
        may reach the leader by another one.
        """
        if leader and all(peer.id != leader.id for peer in self._peers):
            self._learn((leader,))

    def _heard(self, echo_ms: int) -> None:
        if echo_ms <= self._clock():
            self.heard_ms = max(self.heard_ms or 0, echo_ms)
        if not self.following:
            self._phases.confirmed()
        if self._lost and self.alive:
            self._lost = False
            self._owner.control_found()

    def _answered(self, answer: messages.KeyAnswer) -> None:
        call = self._calls.get(answer.call)
        if call is None:
            return
        if call.persistent and not idempotency.confirmed(answer.state):
            # The next tick sends it again.
            return
        del self._calls[answer.call]
        call.answer.callback(answer)

    # -- loops --------------------------------------------------------------

    async def _connect_forever(self) -> None:
        connect_s, timeouts = CONNECT_TIMEOUT_S, 0
        while True:
            peer, hinted = self._next_peer()
            start_ms = self._clock()
            try:
                conn = await asyncio.wait_for(
                    transport.connect(
                        peer.control, self._identity, self._counts
                    ),
                    connect_s,
                )
                timeouts = 0
                if conn is not None:
                    took_s = (self._clock() - start_ms) / 1000
                    connect_s = min(
                        max(CONNECT_TIMEOUT_S, 2 * took_s),
                        CONNECT_TIMEOUT_LIMIT_S,
                    )
                    await conn.run(self)
            except TimeoutError:
                timeouts += 1
                if timeouts % len(self._peers) == 0:
                    connect_s = min(2 * connect_s, CONNECT_TIMEOUT_LIMIT_S)
                logs.event("controller_unreachable", controller=peer.id)
            except transport.HandshakeError as exc:
                logs.failure("control_address_refused", exc)
            # A hint is followed at once, but only after a back-off of its own
            # when the controllers point at each other.
            if self._hint and not hinted:
                continue
            await asyncio.sleep(
                self._backoff_ms * self._rng.uniform(0.5, 1.5) / 1000
            )
            self._backoff_ms = min(BACKOFF_LIMIT_MS, self._backoff_ms * 2)

    def _next_peer(self) -> tuple[data.Peer, bool]:
        hint, self._hint = self._hint, ""
        for peer in self._peers:
            if peer.id == hint:
                return peer, True
        self._position = (self._position + 1) % len(self._peers)
        return self._peers[self._position], False

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(messages.HEARTBEAT_MS / 1000)
            try:
                self._tick()
            except Exception as exc:  # noqa: BLE001
                logs.failure("control_tick_failed", exc)

    def _tick(self) -> None:
        now_ms = self._clock()
        late_ms = now_ms - self._ticked_ms - messages.HEARTBEAT_MS
        self._ticked_ms = now_ms
        if late_ms > LATE_TICK_MS:
            # The process was frozen; what arrived meanwhile is handled first.
            self._send_report()
            return
        if not self._lost and not self.alive:
            self._lost = True
            logs.event("control_lost", silent_since_ms=self.heard_ms)
            self._owner.control_lost()
        if self._conn and self._silent(now_ms):
            self._conn.close()
            return
        if not self.following:
            return
        for call in self._calls.values():
            if call.persistent and now_ms - (call.sent_ms or 0) >= REPEAT_MS:
                self._send_call(call)
        if now_ms - self._sent_ms >= messages.HEARTBEAT_MS // 2:
            self._send_report()

    def _silent(self, now_ms: int) -> bool:
        if not self.following:
            return now_ms - self._opened_ms >= CONFIRM_TIMEOUT_MS
        return now_ms - (self.heard_ms or 0) >= self._silence_ms


_make_phases = _build_phases()
