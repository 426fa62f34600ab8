"""Connection of a router to the leading controller.

The link tries the controllers in turn, follows their leader hints, sends
reports and carries messages about idempotency keys. It ignores messages from a
connection that has been replaced.
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

# Events within this time share one report and thus one frame.
COALESCE_MS = 2
# Back-off between connection attempts. The upper bound lets a router try three
# controllers within CONTROL_TIMEOUT_MS.
BACKOFF_FIRST_MS = 25
BACKOFF_LIMIT_MS = 500
# Time after which the next controller is tried as well. After two controllers
# that do not answer, there must be time left for the third within
# CONTROL_TIMEOUT_MS.
CONNECT_STAGGER_S = 0.6
# Maximum time to connect. A handshake takes several round trips, each of which
# may take most of a second on a full network link.
CONNECT_TIMEOUT_S = 2.4
# Weight of the latest round trip in the running mean, and the multiple of the
# mean that the leader may be silent at least.
ROUND_TRIP_STEP = 0.25
SILENT_ROUND_TRIPS = 4
# Time after which the link disconnects from a controller that neither acts as
# leader nor names the leader.
CONFIRM_TIMEOUT_MS = 1_000
# Interval at which unconfirmed key messages are sent again.
REPEAT_MS = 500

# A tick that is later than this shows that the process was frozen.
LATE_TICK_MS = 500


class LinkLostError(Exception):
    """The connection ended before the answer to a key message arrived."""


class Owner(Protocol):
    """Interface of the router that this module uses."""

    def build_report(self, first: bool) -> messages.RouterReport:
        """Builds the next report to the leader."""

    def handle_update(self, update: messages.ControllerUpdate) -> None:
        """Handles an update from the leader."""

    def handle_environment(self, push: messages.EnvironmentPush) -> None:
        """Handles an environment from the leader."""

    def handle_control_lost(self) -> None:
        """Called once when no leader has answered for too long."""

    def handle_control_found(self) -> None:
        """Called when a leader answers for the first time or again."""


class _LinkInputs(Protocol):
    """Inputs of the state machine of the link."""

    def opened(self) -> None:
        """A controller accepted the connection."""

    def confirmed(self) -> None:
        """The controller has shown that it is the leader."""

    def closed(self) -> None:
        """The connection ended."""

    def stopped(self) -> None:
        """The router is stopping."""


def _build_link_machine() -> Callable[["ControlLink"], _LinkInputs]:
    builder = automat.TypeMachineBuilder(_LinkInputs, ControlLink)
    searching = builder.state("searching")
    probing = builder.state("probing")
    following = builder.state("following")
    ended = builder.state("ended")

    @searching.upon(_LinkInputs.opened).to(probing)
    def _start_probing(inputs: _LinkInputs, link: ControlLink) -> None:
        link.send_first_report()

    @probing.upon(_LinkInputs.confirmed).to(following)
    def _start_following(inputs: _LinkInputs, link: ControlLink) -> None:
        link.start_following()

    following.upon(_LinkInputs.confirmed).loop().returns(None)

    @probing.upon(_LinkInputs.closed).to(searching)
    def _stop_probing(inputs: _LinkInputs, link: ControlLink) -> None:
        link.stop_following()

    @following.upon(_LinkInputs.closed).to(searching)
    def _stop_following(inputs: _LinkInputs, link: ControlLink) -> None:
        link.stop_following()

    searching.upon(_LinkInputs.closed).loop().returns(None)
    for state in (searching, probing, following):
        state.upon(_LinkInputs.stopped).to(ended).returns(None)
    for event in (
        _LinkInputs.opened,
        _LinkInputs.confirmed,
        _LinkInputs.closed,
        _LinkInputs.stopped,
    ):
        ended.upon(event).loop().returns(None)
    return builder.build()


@dataclasses.dataclass(slots=True)
class _KeyCall:
    """A key message that has not been answered yet."""

    message: Any
    answer: defer.Deferred
    persistent: bool
    sent_ms: int | None = None


class ControlLink:
    """Maintains one connection to the leader.

    Attributes:
      following: Whether a leader is connected.
      leader: Node id of the connected leader, empty if there is none.
      echoed_ms: Sending time of the latest report that the leader has echoed,
        None before the first. The arrival time of an update is not used: the
        update may have waited in a buffer while the process was frozen.
    """

    def __init__(
        self,
        settings: data.Settings,
        identity: transport.Identity,
        owner: Owner,
        clock: Callable[[], int],
        rng: random.Random,
        counts: transport.TrafficCounts,
    ):
        self.following = False
        self.leader = ""
        self.echoed_ms: int | None = None
        self._identity = identity
        self._owner = owner
        self._clock = clock
        self._rng = rng
        self._counts = counts
        self._machine = _create_link_machine(self)
        self._conn: transport.Connection | None = None
        self._opened_ms = 0
        self._sent_ms = 0
        self._urgent_sent_ms = 0
        self._last_tick_ms = clock()
        self._timer: asyncio.TimerHandle | None = None
        self._calls: dict[int, _KeyCall] = {}
        self._last_call_number = 0
        self._leader_hint = ""
        self._silence_ms = round(settings.control_silence_s * 1000)
        # Mean time between a report and its answer; None before the first.
        self._round_trip_ms: float | None = None
        self._listed_peers = settings.controllers
        self._peers = settings.controllers
        self._peer_index = rng.randrange(max(1, len(self._peers)))
        self._backoff_ms = BACKOFF_FIRST_MS
        self._control_lost = True
        self._tasks: list[asyncio.Task] = []

    # -- life cycle ---------------------------------------------------------

    def start(self) -> None:
        """Starts to search for the leader; needs a running event loop."""
        self._tasks = [
            asyncio.ensure_future(self._connect_forever()),
            asyncio.ensure_future(self._tick_forever()),
        ]

    async def stop(self) -> None:
        """Closes the connection and fails all unanswered key messages."""
        self._machine.stopped()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._timer:
            self._timer.cancel()
        if self._conn:
            self._conn.close()
        for call in tuple(self._calls):
            self._fail_call(call)

    def list_controllers(self, controllers: tuple[data.Peer, ...]) -> None:
        """Applies the list of controllers of changed settings.

        Args:
          controllers: Controllers that the settings name now.
        """
        self._listed_peers = controllers
        self._add_peers(controllers)

    @property
    def alive(self) -> bool:
        """Whether the leader has answered within CONTROL_TIMEOUT_MS."""
        return router_queues.is_control_valid(self.echoed_ms, self._clock())

    @property
    def unconfirmed_count(self) -> int:
        """Number of persistent key messages that are not confirmed yet."""
        return sum(call.persistent for call in self._calls.values())

    async def flush(self) -> None:
        """Sends a report and gives the connection time to transmit it."""
        if self.following:
            self._send_report()
            await asyncio.sleep(COALESCE_MS / 1000)

    # -- messages to the leader ---------------------------------------------

    def schedule_report(self, urgent: bool = False) -> None:
        """Schedules a report: at once if idle, otherwise after COALESCE_MS.

        Args:
          urgent: Whether a caller waits for the answer to this report. It is
            then delayed only by other urgent reports, so that the end of one
            request does not delay the start of the next one.
        """
        if not self.following or (self._timer and not urgent):
            return
        now_ms = self._clock()
        # A report that is not urgent is always delayed, so that the event loop
        # first completes the answer whose end the report contains.
        last_ms = self._urgent_sent_ms if urgent else now_ms
        wait_ms = last_ms + COALESCE_MS - now_ms
        if wait_ms <= 0:
            if urgent:
                self._urgent_sent_ms = now_ms
            self._send_report()
        elif not self._timer:
            self._timer = asyncio.get_running_loop().call_later(
                wait_ms / 1000, self._send_report
            )

    def send_key_message(
        self, message_type: type, persistent: bool = False, **fields: Any
    ) -> defer.Deferred:
        """Sends a key message.

        Args:
          message_type: Type of the message.
          persistent: Whether to repeat it, also on later connections, until
            the leader confirms that it is committed.
          **fields: Fields of the message except `call`.

        Returns:
          Deferred that fires with the `KeyAnswer`. It fails with LinkLostError
          if the connection ends first and the message is not persistent.
        """
        self._last_call_number += 1
        call = _KeyCall(
            message_type(call=self._last_call_number, **fields),
            defer.Deferred(),
            persistent,
        )
        self._calls[self._last_call_number] = call
        if self.following:
            self._send_call(call)
        elif not persistent:
            self._fail_call(self._last_call_number)
        return call.answer

    def _send_call(self, call: _KeyCall) -> None:
        call.sent_ms = self._clock()
        if self._conn:
            self._conn.send(call.message)

    def _fail_call(self, number: int) -> None:
        call = self._calls.pop(number, None)
        if call:
            call.answer.errback(LinkLostError())

    def _send_report(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._conn and self.following:
            self._sent_ms = self._clock()
            self._conn.send(self._owner.build_report(first=False))

    # -- state changes ------------------------------------------------------

    def send_first_report(self) -> None:
        """Sends the report that contains all that a new leader must know."""
        if self._conn:
            self._sent_ms = self._opened_ms = self._clock()
            self._conn.send(self._owner.build_report(first=True))

    def start_following(self) -> None:
        """Sends the key messages and the report that waited for a leader."""
        self.following = True
        self._backoff_ms = BACKOFF_FIRST_MS
        self.leader = self._conn.peer.node_id if self._conn else ""
        logs.event("leader_followed", leader=self.leader)
        for call in self._calls.values():
            self._send_call(call)
        self.schedule_report()

    def stop_following(self) -> None:
        """Fails the key messages that must not be sent twice."""
        if self.following:
            logs.event("leader_left", leader=self.leader)
        self.following = False
        self.leader = ""
        for number, call in tuple(self._calls.items()):
            if not call.persistent:
                self._fail_call(number)

    # -- connection events --------------------------------------------------

    def connected(self, conn: transport.Connection) -> None:
        """Handles a new connection."""
        self._conn = conn
        self._machine.opened()

    def disconnected(self, conn: transport.Connection) -> None:
        """Handles the end of a connection."""
        if conn is self._conn:
            self._conn = None
            self._machine.closed()

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Handles a message; an exception does not end the connection."""
        if conn is not self._conn:
            return
        try:
            self._handle(conn, message)
        except Exception as exc:  # noqa: BLE001
            logs.failure("control_message_failed", exc)

    def _handle(self, conn: transport.Connection, message: Any) -> None:
        match message:
            case messages.NotLeader():
                self._leader_hint = message.leader
                self._add_unknown_leader(message.peer)
                conn.close()
            case messages.ControllerUpdate():
                self._record_echo(message.echo_ms)
                self._owner.handle_update(message)
            case messages.EnvironmentPush():
                self._machine.confirmed()
                self._peers = self._listed_peers
                self._add_peers(message.controllers)
                self._owner.handle_environment(message)
            case messages.KeyAnswer():
                self._handle_key_answer(message)
            case _:
                logs.event("unexpected_message", type=type(message).__name__)

    def _add_peers(self, controllers: tuple[data.Peer, ...]) -> None:
        """Adds controllers, such as replacements that a repair has put in.

        A controller with a known id replaces the known address.
        """
        known = {peer.id: peer for peer in self._peers}
        known |= {peer.id: peer for peer in controllers}
        self._peers = tuple(known.values())

    def _add_unknown_leader(self, leader: data.Peer | None) -> None:
        """Adds a leader whose id is not known yet.

        A known address is kept: the controller that sent the hint may use
        another address to reach the leader.
        """
        if leader and all(peer.id != leader.id for peer in self._peers):
            self._add_peers((leader,))

    def _record_echo(self, echo_ms: int) -> None:
        now_ms = self._clock()
        if (self.echoed_ms or 0) < echo_ms <= now_ms:
            self.echoed_ms = echo_ms
            self._round_trip_ms = update_round_trip(
                self._round_trip_ms, now_ms - echo_ms
            )
        if not self.following:
            self._machine.confirmed()
        if self._control_lost and self.alive:
            self._control_lost = False
            self._owner.handle_control_found()

    def _handle_key_answer(self, answer: messages.KeyAnswer) -> None:
        call = self._calls.get(answer.call)
        if call is None:
            return
        if call.persistent and not idempotency.is_confirmed(answer.state):
            # A later tick sends the message again.
            return
        del self._calls[answer.call]
        call.answer.callback(answer)

    # -- loops --------------------------------------------------------------

    async def _connect_forever(self) -> None:
        while True:
            conn, is_hinted = await self._connect()
            if conn is not None:
                await conn.run(self)
            # A leader hint is followed at once. If the hinted controller only
            # gives another hint, a back-off comes first, as controllers may
            # name each other in turn.
            if self._leader_hint and not is_hinted:
                continue
            await asyncio.sleep(
                self._backoff_ms * self._rng.uniform(0.5, 1.5) / 1000
            )
            self._backoff_ms = min(BACKOFF_LIMIT_MS, self._backoff_ms * 2)

    async def _connect(self) -> tuple[transport.Connection | None, bool]:
        """Connects to a controller, and to the next ones if it is slow.

        An attempt continues while others begin: where the network is slow, all
        of them would time out again and again.

        Returns:
          The connection that was made first, or None if no attempt made one;
          and whether it is to the controller that was named as leader.
        """
        attempts: dict[asyncio.Task, bool] = {}
        try:
            while True:
                if len(attempts) < len(self._peers):
                    peer, is_hinted = self._next_peer()
                    attempt = asyncio.ensure_future(self._try_peer(peer))
                    attempts[attempt] = is_hinted
                done, _ = await asyncio.wait(
                    attempts,
                    timeout=CONNECT_STAGGER_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for attempt in done:
                    is_hinted, conn = attempts.pop(attempt), attempt.result()
                    if conn is not None:
                        return conn, is_hinted
                if not attempts:
                    return None, False
        finally:
            for attempt in attempts:
                _abandon(attempt)

    async def _try_peer(self, peer: data.Peer) -> transport.Connection | None:
        try:
            return await asyncio.wait_for(
                transport.connect(peer.control, self._identity, self._counts),
                CONNECT_TIMEOUT_S,
            )
        except TimeoutError:
            logs.event("controller_unreachable", controller=peer.id)
        except transport.HandshakeError as exc:
            logs.failure("control_address_refused", exc)
        return None

    def _next_peer(self) -> tuple[data.Peer, bool]:
        hint, self._leader_hint = self._leader_hint, ""
        for peer in self._peers:
            if peer.id == hint:
                return peer, True
        self._peer_index = (self._peer_index + 1) % len(self._peers)
        return self._peers[self._peer_index], False

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(messages.HEARTBEAT_MS / 1000)
            try:
                self._tick()
            except Exception as exc:  # noqa: BLE001
                logs.failure("control_tick_failed", exc)

    def _tick(self) -> None:
        now_ms = self._clock()
        late_ms = now_ms - self._last_tick_ms - messages.HEARTBEAT_MS
        self._last_tick_ms = now_ms
        if late_ms > LATE_TICK_MS:
            # The process was frozen. Messages that arrived meanwhile must be
            # handled before the leader may be taken for silent.
            self._send_report()
            return
        if not self._control_lost and not self.alive:
            self._control_lost = True
            logs.event("control_lost", silent_since_ms=self.echoed_ms)
            self._owner.handle_control_lost()
        if self._conn and self._is_silent(now_ms):
            self._conn.close()
            return
        if not self.following:
            return
        for call in self._calls.values():
            if call.persistent and now_ms - (call.sent_ms or 0) >= REPEAT_MS:
                self._send_call(call)
        if now_ms - self._sent_ms >= messages.HEARTBEAT_MS // 2:
            self._send_report()

    def _is_silent(self, now_ms: int) -> bool:
        if not self.following:
            return now_ms - self._opened_ms >= CONFIRM_TIMEOUT_MS
        return now_ms - (self.echoed_ms or 0) >= compute_max_silence_ms(
            self._silence_ms, self._round_trip_ms or 0.0
        )


def update_round_trip(mean_ms: float | None, latest_ms: float) -> float:
    """Updates the mean time between a report and its answer.

    Args:
      mean_ms: Mean so far; None before the first answer.
      latest_ms: Latest time.

    Returns:
      The new mean.
    """
    if mean_ms is None:
        return latest_ms
    return mean_ms + ROUND_TRIP_STEP * (latest_ms - mean_ms)


def compute_max_silence_ms(silence_ms: int, round_trip_ms: float) -> float:
    """Computes how long the leader may be silent.

    A full network link or a busy process delays all answers. To reconnect would
    take even longer there, as a handshake takes several round trips.

    Args:
      silence_ms: Silence that is allowed on a fast link.
      round_trip_ms: Mean time between a report and its answer.

    Returns:
      The time in milliseconds, at most that after which the router refuses
      requests, or `silence_ms` if that is longer.
    """
    return max(
        silence_ms,
        min(messages.CONTROL_TIMEOUT_MS, SILENT_ROUND_TRIPS * round_trip_ms),
    )


def _abandon(attempt: asyncio.Task) -> None:
    """Ends an attempt to connect, also if it has just succeeded."""
    attempt.add_done_callback(_close_connection)
    attempt.cancel()


def _close_connection(attempt: asyncio.Task) -> None:
    if attempt.cancelled() or attempt.exception() is not None:
        return
    conn = attempt.result()
    if conn is not None:
        conn.close()


_create_link_machine = _build_link_machine()
