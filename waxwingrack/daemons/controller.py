"""Controller process.

It takes part in consensus and, as the leader, serves routers and operators.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import math
import random
import secrets
from typing import Any
from typing import Protocol

import automat
from returns import result
from twisted.internet import defer
from websockets.asyncio import server as ws_server

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import controller_metrics
from waxwingrack.daemons import duties
from waxwingrack.daemons import group
from waxwingrack.daemons import key_calls  # noqa: F401  fills the registry
from waxwingrack.daemons import leader as leader_module
from waxwingrack.daemons import metrics as metrics_module
from waxwingrack.daemons import operators_api
from waxwingrack.daemons import peer_links
from waxwingrack.daemons import repair
from waxwingrack.daemons import replica_driver
from waxwingrack.daemons import router_sessions
from waxwingrack.daemons import tls
from waxwingrack.daemons import transport
from waxwingrack.daemons import usage_counter
from waxwingrack.operations import consensus
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import membership
from waxwingrack.operations import servers

# Interval between attempts to reopen the storage after a failed write.
REOPEN_INTERVAL_MS = 1_000
# Longest time for which a controller that knows no leader keeps a router
# waiting. Most elections end within it; a controller that is cut off from the
# others must not keep a router longer.
MAX_ELECTION_WAIT_MS = 400

CONSENSUS_MESSAGES = (
    messages.VoteRequest,
    messages.VoteReply,
    messages.Append,
    messages.AppendReply,
    messages.InstallSnapshot,
)
# What the leader tells the other controllers of its memory.
LEADER_MEMORY_MESSAGES = (
    messages.ServersKnown,
    messages.CrashEvidence,
    messages.VersionEvidence,
)
# Age above which the samples of a former leader are not used: the load and the
# versions may have changed.
MAX_SAMPLES_AGE_MS = 60_000


class _PhaseEvents(Protocol):
    """Events that change the phase of a controller."""

    def ports_opened(self) -> None:
        """The storage has been read and the ports are open."""

    def lease_gained(self) -> None:
        """This controller may act as leader."""

    def lease_lapsed(self) -> None:
        """The lease has ended, but no other controller can lead yet."""

    def leadership_lost(self) -> None:
        """This controller is no longer the leader."""

    def stop(self) -> None:
        """The process is to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class _EarlyRouter:
    """Messages of a router that connected while no leader was known.

    Attributes:
      since_ms: Time at which it connected.
      messages: Messages that it has sent since.
    """

    since_ms: int
    messages: list[Any] = dataclasses.field(default_factory=list)


class Controller:
    """One controller process.

    Attributes:
      settings: Settings of the process.
      driver: Replica with its disk; None before the start and while the
        storage is damaged.
      sessions: Connected routers, while this controller leads.
      links: Connections to the other controllers.
      leader: Work of the leader; None unless this controller leads.
      metrics: Metrics of the process.
      counts: Traffic between processes, counted.
      phase: Name of the state in the life cycle.
      held_messages: Messages of routers that wait until the lease is renewed.
      early_routers: Routers that connected while no leader was known.
    """

    def __init__(
        self,
        settings: data.Settings,
        storage: Any,
        clock: Callable[[], int],
        rng: random.Random,
        build_site: Callable[["Controller"], Any] | None = None,
        create_provider: Callable[[str], duties.Provider] | None = None,
    ):
        """Prepares a controller.

        Args:
          settings: Settings of the process; their role is controller.
          storage: `DiskStorage` or `MemoryStorage`.
          clock: Returns monotonic milliseconds.
          rng: Random generator.
          build_site: Builds the HTTP server of the operators' port; None for
            the operators' API of this project.
          create_provider: Creates a client of the provider for the name of a
            holder; None if the controller has no duties.
        """
        self.settings = settings
        self.driver: replica_driver.ReplicaDriver | None = None
        self.sessions = router_sessions.Sessions()
        self.leader: leader_module.Leader | None = None
        self.metrics = metrics_module.Metrics()
        self.counts = transport.TrafficCounts()
        self.phase = "starting"
        self.held_messages: list[tuple[transport.Connection, Any]] = []
        self.early_routers: dict[transport.Connection, _EarlyRouter] = {}
        self.clock = clock
        self.repairs = repair.RepairRunner(self)
        self._storage = storage
        self._rng = rng
        self._build_site = build_site or _build_operators_site
        self._duties = (
            duties.DutyTools(
                settings.duties, usage_counter.WallClock(), create_provider
            )
            if settings.duties and create_provider
            else None
        )
        self._storage_damage = ""
        self._phase_events: _PhaseEvents = _PHASE_MACHINE(self)
        if settings.tls is not None:
            # Files that cannot be read must end the process at its start, not
            # at a later reconnect.
            tls.make_client_context(settings.tls)
        self._identity = transport.Identity(
            role=data.Role.CONTROLLER,
            node_id=settings.node_id,
            incarnation=secrets.token_hex(8),
            shared_key=transport.read_secret(settings.shared_key_file),
            tls=settings.tls,
            plaintext=settings.plaintext,
        )
        self._group = (
            group.Group(self, self._identity) if settings.group_size else None
        )
        self.links = peer_links.PeerLinks(
            self._identity, self.counts, self._handle_peer_message, clock, rng
        )
        self._reopen_task: asyncio.Task | None = None
        self._next_reopen_ms = 0
        self._server: ws_server.Server | None = None
        self._port: Any = None
        self._timer_task: asyncio.Task | None = None
        self._peers: tuple[data.Peer, ...] = ()
        self._pushed_number = 0
        # What the leader sent last of each kind, with the time of its arrival.
        self._known: dict[type, tuple[Any, int]] = {}

    # -----------------------------------------------------------------------
    # Life
    # -----------------------------------------------------------------------

    async def start(self) -> None:
        """Reads the storage, opens the ports and joins the group.

        If the storage is damaged, the process still serves health and metrics,
        but takes no part in consensus.

        Raises:
          OSError: A port cannot be opened.
        """
        # Importing `reactor` installs the default reactor, so it is imported
        # only after the program has installed its own.
        from twisted.internet import reactor

        loop = asyncio.get_running_loop()
        match await loop.run_in_executor(None, self._load_storage):
            case result.Success(persisted):
                self._create_driver(persisted)
            case result.Failure(damage):
                self._storage_damage = f"storage is damaged: {damage}"
                logs.event("storage_damaged", logging.ERROR, reason=str(damage))
        controller_metrics.register_metrics(self)
        self._server = await transport.serve(
            self.settings.control, self._identity, self, self.counts
        )
        self._port = reactor.listenTCP(
            self.settings.operators.port,
            self._build_site(self),
            interface=self.settings.operators.host,
        )
        if self.driver is not None:
            self._update_peers()
            self.driver.start()
        self._phase_events.ports_opened()
        logs.event(
            "controller_started",
            control=str(self.settings.control),
            operators=str(self.settings.operators),
        )
        self._timer_task = asyncio.ensure_future(self._run_timer())

    async def stop(self) -> None:
        """Closes all connections, syncs the storage and frees the ports."""
        logs.event("controller_stopping", phase=self.phase)
        self._phase_events.stop()
        self._timer_task.cancel()
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        self.repairs.close()
        if self._group is not None:
            self._group.close()
        self._server.close()
        self.links.close()
        if self.driver is not None:
            await self.driver.stop()
        await defer.maybeDeferred(self._port.stopListening).asFuture(
            asyncio.get_running_loop()
        )
        await self._server.wait_closed()
        logs.event("controller_stopped")

    def list_controllers(self, controllers: tuple[data.Peer, ...]) -> None:
        """Replaces the controllers of the settings."""
        self.settings = dataclasses.replace(
            self.settings, controllers=controllers
        )

    def _load_storage(self) -> result.Result[consensus.Persisted, Any]:
        identity = self._storage.bind_to_node(self.settings.node_id)
        return identity.bind(lambda _: self._storage.load())

    def _create_driver(self, persisted: consensus.Persisted) -> None:
        founders = tuple(peer.id for peer in self.settings.controllers)
        if self._group is not None and not (
            self.settings.found_group and self.settings.node_id in founders
        ):
            founders = ()
        replica = consensus.create(
            self.settings.node_id,
            founders,
            persisted,
            self.clock(),
            self._rng.getrandbits(32),
        )
        try:
            self.driver = replica_driver.ReplicaDriver(
                replica,
                persisted.snapshot,
                self._storage,
                self.clock,
                self.links.send,
                self._rng.randrange(replica_driver.SNAPSHOT_ENTRIES),
            )
        except ValueError as exc:
            self._storage_damage = str(exc)
            logs.failure("snapshot_damaged", exc)
            return
        self.driver.on_applied = self._handle_applied
        self.driver.on_change = self._update_phase

    def _reopen_if_due(self, now_ms: int) -> None:
        if not self.driver.storage_failed or now_ms < self._next_reopen_ms:
            return
        self._next_reopen_ms = now_ms + REOPEN_INTERVAL_MS
        if self._reopen_task is None or self._reopen_task.done():
            self._reopen_task = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        """Rejoins consensus once the disk accepts writes.

        The replica starts as after a restart of the process, so it refuses
        votes until a lease that it may have acknowledged has ended.
        """
        loop = asyncio.get_running_loop()
        try:
            loaded = await loop.run_in_executor(None, self._storage.reopen)
        except OSError as exc:
            logs.event("storage_unusable", reason=str(exc))
            return
        match loaded:
            case result.Failure(damage):
                logs.event("storage_unusable", reason=str(damage))
            case result.Success(persisted):
                await self.driver.stop()
                self._create_driver(persisted)
                self._update_peers()
                self.driver.start()
                logs.event("storage_reopened")

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(leader_module.TICK_S)
            self._call_handler("tick", self._run_periodic)

    def _run_periodic(self) -> None:
        if self.driver is None:
            return
        if self._duties is not None:
            # A new leader needs samples from before its leadership.
            self._duties.wall_clock.read_ms(self.clock())
        self._reopen_if_due(self.clock())
        self.links.close_unresponsive()
        self._update_phase()
        if self._group is not None:
            self._update_peers()
            self._group.run_periodic(self.clock())
        if self.leads():
            self.leader.run_periodic()

    def _call_handler(self, name: str, call: Callable, *arguments: Any) -> None:
        # An exception in a handler must not end the process or the connection.
        try:
            call(*arguments)
        except Exception as exc:
            self.metrics.add("handler_failures_total", "Unexpected exceptions.")
            logs.failure("handler_failed", exc, handler=name)

    # -----------------------------------------------------------------------
    # Status
    # -----------------------------------------------------------------------

    def readiness(self) -> str | None:
        """Returns why the controller is not ready, or None."""
        if self.driver is None:
            return self._storage_damage or "starting"
        if self.driver.failure_reason is not None:
            return self.driver.failure_reason
        if not self.driver.replica.leader and not self.driver.is_leader():
            return "no leader is known"
        if not self.driver.is_caught_up():
            return "the state is not caught up with the leader's"
        return None

    def leads(self) -> bool:
        """Returns whether this controller may act as leader now."""
        return (
            self.leader is not None
            and self.driver is not None
            and self.driver.may_act()
        )

    def leader_id(self) -> str:
        """Returns the node id of another controller that leads, or ""."""
        if self.driver is None or self.driver.failure_reason is not None:
            return ""
        leader = self.driver.replica.leader
        return "" if leader == self.settings.node_id else leader

    def _may_learn_leader(self) -> bool:
        """Returns whether this follower may soon learn of a new leader."""
        return (
            self.phase == "follower"
            and self.driver is not None
            and self.driver.failure_reason is None
            and not self.leader_id()
        )

    def _make_not_leader(self) -> messages.NotLeader:
        leader = self.leader_id()
        return messages.NotLeader(leader, self.find_peer(leader))

    def find_peer(self, node_id: str) -> data.Peer | None:
        """Returns the addresses of a controller, or None."""
        return {peer.id: peer for peer in self._peers}.get(node_id)

    # -----------------------------------------------------------------------
    # Consensus
    # -----------------------------------------------------------------------

    def _handle_applied(self) -> None:
        self._call_handler("applied", self._update_peers)
        state = self.driver.state
        if self.leader is not None and state.number != self._pushed_number:
            self._pushed_number = state.number
            self._call_handler("push", self.leader.push_environment)

    def group_peers(self) -> tuple[data.Peer, ...]:
        """Returns the voting controllers and those that are being added."""
        replica = self.driver.replica
        return membership.peer_addresses(
            sorted({*replica.members, *replica.peers}),
            self.settings.operators.port,
        )

    def _send_to_controllers(
        self,
        message: messages.ServersKnown
        | messages.CrashEvidence
        | messages.VersionEvidence,
    ) -> None:
        for peer in self._peers:
            self.links.send(peer.id, message)

    def _known_with_age(
        self, kind: type, max_age_ms: float = math.inf
    ) -> tuple[Any, int] | None:
        """Returns what the former leader sent and the time since then."""
        if kind not in self._known:
            return None
        message, received_ms = self._known[kind]
        age_ms = self.clock() - received_ms
        return (message, age_ms) if age_ms <= max_age_ms else None

    def _added_peers(self) -> tuple[data.Peer, ...]:
        """Returns the controllers that the settings of routers may lack."""
        if self._group is not None:
            return self.group_peers()
        return tuple(self.driver.state.controllers.values())

    def _update_peers(self) -> None:
        if self._group is not None:
            peers = self.group_peers()
        else:
            added = self.driver.state.controllers
            listed = {peer.id: peer for peer in self.settings.controllers}
            peers = tuple((listed | dict(added)).values())
        if peers != self._peers:
            self._peers = peers
            self.links.set_peers(peers)

    def _update_phase(self) -> None:
        if self.driver is None:
            return
        if self.driver.may_act():
            if self.phase in ("follower", "paused"):
                self._call_handler("gained", self._phase_events.lease_gained)
        elif self.phase in ("leading", "paused"):
            if not self.driver.leads_term():
                self._call_handler("lost", self._phase_events.leadership_lost)
            elif self.phase == "leading":
                self._call_handler("lapsed", self._phase_events.lease_lapsed)
        if self.early_routers:
            self._call_handler("early", self._settle_early_routers)

    def _settle_early_routers(self) -> None:
        """Accepts or redirects routers that connected before an election."""
        due_ms = self.clock() - MAX_ELECTION_WAIT_MS
        for conn, early in tuple(self.early_routers.items()):
            if conn not in self.early_routers:
                # Handling the messages of an earlier router calls this method
                # again, so this router may have been settled there.
                continue
            if self.leads():
                del self.early_routers[conn]
                self._open_session(conn)
                for message in early.messages:
                    self._call_handler(
                        "received", self._handle_message, conn, message
                    )
            elif self.leader_id() or early.since_ms <= due_ms:
                del self.early_routers[conn]
                conn.send_and_close(self._make_not_leader())

    def _handle_peer_message(self, node_id: str, message: Any) -> None:
        if isinstance(message, messages.Join) and self._group is not None:
            answer = self._group.handle_join_request(
                message.node_id, self.clock()
            )
            self.links.send(node_id, answer)
            return
        if isinstance(message, LEADER_MEMORY_MESSAGES):
            self._known[type(message)] = (message, self.clock())
            return
        if self.driver is None or not isinstance(message, CONSENSUS_MESSAGES):
            logs.event(
                "unexpected_message",
                peer=node_id,
                message=type(message).__name__,
            )
            return
        self._call_handler("replica", self.driver.receive, node_id, message)

    def begin_leading(self) -> None:
        """Starts the work of the leader."""
        logs.event("leadership_gained", term=self.driver.replica.term)
        self._pushed_number = self.driver.state.number
        self.leader = leader_module.Leader(
            leader_module.Services(
                driver=self.driver,
                sessions=self.sessions,
                clock=self.clock,
                rng=self._rng,
                metrics=self.metrics,
                list_added_peers=self._added_peers,
                send_to_controllers=self._send_to_controllers,
                known_servers=self._known_with_age(
                    messages.ServersKnown, servers.MAX_ANNOUNCEMENT_AGE_MS
                ),
                known_evidence=self._known_with_age(messages.CrashEvidence),
                known_samples=self._known_with_age(
                    messages.VersionEvidence, MAX_SAMPLES_AGE_MS
                ),
                duties=self._duties,
            )
        )

    def pause_leading(self) -> None:
        """Suspends the leader until the lease is renewed or lost."""
        logs.event("lease_lapsed", term=self.driver.replica.term)
        self.metrics.add(
            "lease_lapses_total", "Times that the lease ended for a while."
        )

    def resume_leading(self) -> None:
        """Resumes the work of the leader and handles the held messages."""
        logs.event(
            "lease_renewed",
            term=self.driver.replica.term,
            messages=len(self.held_messages),
        )
        held_messages, self.held_messages = self.held_messages, []
        for conn, message in held_messages:
            self._call_handler("received", self._handle_message, conn, message)

    def end_leading(self) -> None:
        """Ends the work of the leader and redirects the connected routers."""
        logs.event("leadership_lost", term=self.driver.replica.term)
        self.leader.end()
        now_ms = self.clock()
        for message in (
            crash_evidence.export_evidence(self.leader.tables, now_ms),
            self.leader.export_samples(),
        ):
            self._known[type(message)] = (message, now_ms)
        self.leader = None
        self.held_messages.clear()
        for session in self.sessions:
            self.sessions.close(session)
            session.conn.send_and_close(self._make_not_leader())
        # From now on another leader has newer knowledge of these routers.
        self.sessions.forget_disconnected()

    # -----------------------------------------------------------------------
    # transport.Listener
    # -----------------------------------------------------------------------

    def connected(self, conn: transport.Connection) -> None:
        """Handles a new connection of a controller or router."""
        self._call_handler("connected", self._accept_connection, conn)

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Handles a message."""
        self._call_handler("received", self._handle_message, conn, message)

    def disconnected(self, conn: transport.Connection) -> None:
        """Handles the end of a connection."""
        self._call_handler("disconnected", self._handle_disconnect, conn)

    def _accept_connection(self, conn: transport.Connection) -> None:
        if conn.peer.role is data.Role.CONTROLLER:
            self.links.connected(conn)
        elif self.leads():
            self._open_session(conn)
        elif self._may_learn_leader():
            self.early_routers[conn] = _EarlyRouter(self.clock())
        else:
            conn.send_and_close(self._make_not_leader())

    def _open_session(self, conn: transport.Connection) -> None:
        replaced = self.sessions.open(conn, self.clock())
        self.leader.handle_new_session(
            self.sessions.find_by_connection(conn), replaced
        )

    def _handle_message(self, conn: transport.Connection, message: Any) -> None:
        if conn.peer.role is data.Role.CONTROLLER:
            self.links.received(conn, message)
            return
        # The lease may have expired since the last timer, for example while the
        # process was suspended. Only the phase is tested below: a second look
        # at the clock could differ, and the message would be lost.
        self._update_phase()
        if conn in self.early_routers:
            self.early_routers[conn].messages.append(message)
            return
        session = self.sessions.find_by_connection(conn)
        if session is None:
            return
        if self.phase == "leading":
            self.leader.handle_message(session, message)
        elif self.phase == "paused":
            self.held_messages.append((conn, message))

    def _handle_disconnect(self, conn: transport.Connection) -> None:
        if conn.peer.role is data.Role.CONTROLLER:
            self.links.disconnected(conn)
            return
        self.early_routers.pop(conn, None)
        session = self.sessions.find_by_connection(conn)
        if session is not None:
            self.sessions.close(session)
            if self.leader is not None:
                self.leader.handle_ended_session(
                    session, "the connection ended"
                )


def _build_operators_site(controller: Controller) -> Any:
    token = transport.read_secret(controller.settings.operator_token_file)
    return operators_api.build_site(controller, token)


def _build_phase_machine() -> Callable[[Controller], _PhaseEvents]:
    """Builds the state machine of the phases of a controller."""
    builder = automat.TypeMachineBuilder(_PhaseEvents, Controller)
    starting = builder.state("starting")
    follower = builder.state("follower")
    leading = builder.state("leading")
    paused = builder.state("paused")
    stopping = builder.state("stopping")

    @starting.upon(_PhaseEvents.ports_opened).to(follower)
    def enter_follower(_: _PhaseEvents, controller: Controller) -> None:
        controller.phase = "follower"

    @follower.upon(_PhaseEvents.lease_gained).to(leading)
    def enter_leading(_: _PhaseEvents, controller: Controller) -> None:
        controller.phase = "leading"
        controller.begin_leading()

    @leading.upon(_PhaseEvents.lease_lapsed).to(paused)
    def enter_paused(_: _PhaseEvents, controller: Controller) -> None:
        controller.phase = "paused"
        controller.pause_leading()

    @paused.upon(_PhaseEvents.lease_gained).to(leading)
    def return_to_leading(_: _PhaseEvents, controller: Controller) -> None:
        controller.phase = "leading"
        controller.resume_leading()

    @leading.upon(_PhaseEvents.leadership_lost).to(follower)
    @paused.upon(_PhaseEvents.leadership_lost).to(follower)
    def return_to_follower(_: _PhaseEvents, controller: Controller) -> None:
        controller.phase = "follower"
        controller.end_leading()

    @leading.upon(_PhaseEvents.stop).to(stopping)
    @paused.upon(_PhaseEvents.stop).to(stopping)
    def stop_leading(_: _PhaseEvents, controller: Controller) -> None:
        controller.phase = "stopping"
        controller.end_leading()

    @follower.upon(_PhaseEvents.stop).to(stopping)
    def stop_following(_: _PhaseEvents, controller: Controller) -> None:
        controller.phase = "stopping"

    return builder.build()


_PHASE_MACHINE = _build_phase_machine()
