"""Controller process: consensus, leadership, routers and operators."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
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
from waxwingrack.operations import consensus
from waxwingrack.operations import membership
from waxwingrack.operations import servers

# Interval at which a storage that refused a write is tried again.
REOPEN_MS = 1_000
# Longest time for which a router waits at a controller that knows no leader.
# Most elections end within it; one that is cut off must not keep it longer.
ELECTION_WAIT_MS = 400

CONSENSUS_MESSAGES = (
    messages.VoteRequest,
    messages.VoteReply,
    messages.Append,
    messages.AppendReply,
    messages.InstallSnapshot,
)


class _LifeCycle(Protocol):
    """What moves a controller through its life."""

    def opened(self) -> None:
        """The storage was read and the ports are open."""

    def gained(self) -> None:
        """This controller may act as leader."""

    def lapsed(self) -> None:
        """The lease has ended, but no other controller leads yet."""

    def lost(self) -> None:
        """This controller may not act as leader any more."""

    def stop(self) -> None:
        """The process ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class _EarlyRouter:
    """A router that came while no leader was known.

    Attributes:
      since_ms: Time at which it came.
      messages: What it has sent since.
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
      counts: Traffic between processes.
      phase: Name of the state in the life cycle.
      held: Messages of routers that wait until the lease is renewed.
      early_routers: Routers that came while no leader was known.
    """

    def __init__(
        self,
        settings: data.Settings,
        storage: Any,
        clock: Callable[[], int],
        rng: random.Random,
        build_site: Callable[["Controller"], Any] | None = None,
    ):
        """Prepares a controller.

        Args:
          settings: Settings of the process; their role is controller.
          storage: `DiskStorage` or `MemoryStorage`.
          clock: Returns monotonic milliseconds.
          rng: Random generator.
          build_site: Builds the HTTP server of the operators' port; None for
            the operators' API of this project.
        """
        self.settings = settings
        self.driver: replica_driver.ReplicaDriver | None = None
        self.sessions = router_sessions.Sessions()
        self.leader: leader_module.Leader | None = None
        self.metrics = metrics_module.Metrics()
        self.counts = transport.TrafficCounts()
        self.phase = "starting"
        self.held: list[tuple[transport.Connection, Any]] = []
        self.early_routers: dict[transport.Connection, _EarlyRouter] = {}
        self.clock = clock
        self.repairs = repair.Repairs(self)
        self._storage = storage
        self._rng = rng
        self._build_site = build_site or _operators_site
        self._damage = ""
        self._life: _LifeCycle = _MACHINE(self)
        if settings.tls is not None:
            # Files that cannot be read end the process now, not at a reconnect.
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
            self._identity, self.counts, self._from_peer, clock, rng
        )
        self._reopening: asyncio.Task | None = None
        self._next_reopen_ms = 0
        self._server: ws_server.Server | None = None
        self._port: Any = None
        self._loop_task: asyncio.Task | None = None
        self._peers: tuple[data.Peer, ...] = ()
        self._pushed_number = 0
        # What the leader told last of backend servers, and when.
        self._known: tuple[messages.ServersKnown | None, int] = (None, 0)

    # -----------------------------------------------------------------------
    # Life
    # -----------------------------------------------------------------------

    async def start(self) -> None:
        """Reads the storage, opens the ports and joins the group.

        A damaged storage does not end the process: it serves health and
        metrics and takes no part in consensus.

        Raises:
          OSError: A port cannot be opened.
        """
        # Importing the reactor installs one; the program chooses it first.
        from twisted.internet import reactor

        loop = asyncio.get_running_loop()
        match await loop.run_in_executor(None, self._load):
            case result.Success(persisted):
                self._create_driver(persisted)
            case result.Failure(damage):
                self._damage = f"storage is damaged: {damage}"
                logs.event("storage_damaged", logging.ERROR, reason=str(damage))
        controller_metrics.watch(self)
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
        self._life.opened()
        logs.event(
            "controller_started",
            control=str(self.settings.control),
            operators=str(self.settings.operators),
        )
        self._loop_task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Closes all connections, syncs the storage and frees the ports."""
        logs.event("controller_stopping", phase=self.phase)
        self._life.stop()
        self._loop_task.cancel()
        if self._reopening is not None:
            self._reopening.cancel()
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
        """Takes over the controllers of changed settings."""
        self.settings = dataclasses.replace(
            self.settings, controllers=controllers
        )

    def _load(self) -> result.Result[consensus.Persisted, Any]:
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
            self._damage = str(exc)
            logs.failure("snapshot_damaged", exc)
            return
        self.driver.on_applied = self._applied
        self.driver.on_change = self._update_phase

    def _reopen_if_due(self, now_ms: int) -> None:
        if not self.driver.storage_failed or now_ms < self._next_reopen_ms:
            return
        self._next_reopen_ms = now_ms + REOPEN_MS
        if self._reopening is None or self._reopening.done():
            self._reopening = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        """Takes part again once the disk takes writes.

        The replica starts as after a restart of the process, so it refuses
        votes until a lease that it may have acknowledged has ended.
        """
        loop = asyncio.get_running_loop()
        try:
            found = await loop.run_in_executor(None, self._storage.reopen)
        except OSError as exc:
            logs.event("storage_unusable", reason=str(exc))
            return
        match found:
            case result.Failure(damage):
                logs.event("storage_unusable", reason=str(damage))
            case result.Success(persisted):
                await self.driver.stop()
                self._create_driver(persisted)
                self._update_peers()
                self.driver.start()
                logs.event("storage_reopened")

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(leader_module.TICK_S)
            self._guard("tick", self._periodic)

    def _periodic(self) -> None:
        if self.driver is None:
            return
        self._reopen_if_due(self.clock())
        self.links.check_replies()
        self._update_phase()
        if self._group is not None:
            self._update_peers()
            self._group.run(self.clock())
        if self.leads():
            self.leader.run_periodic()

    def _guard(self, name: str, call: Callable, *arguments: Any) -> None:
        # A failing handler must not end the process or its connection.
        try:
            call(*arguments)
        except Exception as exc:
            self.metrics.add("handler_failures_total", "Unexpected exceptions.")
            logs.failure("handler_failed", exc, handler=name)

    # -----------------------------------------------------------------------
    # Questions
    # -----------------------------------------------------------------------

    def readiness(self) -> str | None:
        """Returns why the controller is not ready, or None."""
        if self.driver is None:
            return self._damage or "starting"
        if self.driver.failed is not None:
            return self.driver.failed
        if not self.driver.replica.leader and not self.driver.is_leader():
            return "no leader is known"
        if not self.driver.caught_up():
            return "the state is not caught up with the leader's"
        return None

    def leads(self) -> bool:
        """Whether this controller may act as leader now."""
        return (
            self.leader is not None
            and self.driver is not None
            and self.driver.may_act()
        )

    def leader_id(self) -> str:
        """Returns the node id of another controller that leads, or ""."""
        if self.driver is None or self.driver.failed is not None:
            return ""
        leader = self.driver.replica.leader
        return "" if leader == self.settings.node_id else leader

    def _elects(self) -> bool:
        """Whether this controller takes part in a group without a leader."""
        return (
            self.phase == "follower"
            and self.driver is not None
            and self.driver.failed is None
            and not self.leader_id()
        )

    def _not_leader(self) -> messages.NotLeader:
        leader = self.leader_id()
        return messages.NotLeader(leader, self.find_peer(leader))

    def find_peer(self, node_id: str) -> data.Peer | None:
        """Returns the addresses of a controller, or None."""
        return {peer.id: peer for peer in self._peers}.get(node_id)

    # -----------------------------------------------------------------------
    # Consensus
    # -----------------------------------------------------------------------

    def _applied(self) -> None:
        self._guard("applied", self._update_peers)
        state = self.driver.state
        if self.leader is not None and state.number != self._pushed_number:
            self._pushed_number = state.number
            self._guard("push", self.leader.push_environment)

    def group_peers(self) -> tuple[data.Peer, ...]:
        """Returns the controllers that keep the group, and new ones."""
        replica = self.driver.replica
        return membership.peer_addresses(
            sorted({*replica.members, *replica.peers}),
            self.settings.operators.port,
        )

    def _share(self, message: messages.ServersKnown) -> None:
        for peer in self._peers:
            self.links.send(peer.id, message)

    def _lately_known(self) -> messages.ServersKnown | None:
        known, at_ms = self._known
        if self.clock() - at_ms > servers.MAX_AGE_MS:
            return None
        return known

    def _added_peers(self) -> tuple[data.Peer, ...]:
        """Returns controllers that the settings of others may not list."""
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
                self._guard("gained", self._life.gained)
        elif self.phase in ("leading", "paused"):
            if not self.driver.leads_term():
                self._guard("lost", self._life.lost)
            elif self.phase == "leading":
                self._guard("lapsed", self._life.lapsed)
        if self.early_routers:
            self._guard("early", self._settle_early)

    def _settle_early(self) -> None:
        """Takes in or sends on the routers that came before an election."""
        due_ms = self.clock() - ELECTION_WAIT_MS
        for conn, early in tuple(self.early_routers.items()):
            if conn not in self.early_routers:
                # Settled meanwhile, as a message of an earlier one comes here.
                continue
            if self.leads():
                del self.early_routers[conn]
                self._open_session(conn)
                for message in early.messages:
                    self._guard("received", self._received, conn, message)
            elif self.leader_id() or early.since_ms <= due_ms:
                del self.early_routers[conn]
                conn.send_and_close(self._not_leader())

    def _from_peer(self, node_id: str, message: Any) -> None:
        if isinstance(message, messages.Join) and self._group is not None:
            answer = self._group.asked(message.node_id, self.clock())
            self.links.send(node_id, answer)
            return
        if isinstance(message, messages.ServersKnown):
            self._known = (message, self.clock())
            return
        if self.driver is None or not isinstance(message, CONSENSUS_MESSAGES):
            logs.event(
                "unexpected_message",
                peer=node_id,
                message=type(message).__name__,
            )
            return
        self._guard("replica", self.driver.receive, node_id, message)

    def begin_leading(self) -> None:
        """Takes up the work of the leader."""
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
                send_to_controllers=self._share,
                known_servers=self._lately_known(),
            )
        )

    def pause_leading(self) -> None:
        """Keeps the work of the leader until the lease is renewed or lost."""
        logs.event("lease_lapsed", term=self.driver.replica.term)
        self.metrics.add(
            "lease_lapses_total", "Times that the lease ended for a while."
        )

    def resume_leading(self) -> None:
        """Goes on with the work of the leader."""
        logs.event(
            "lease_renewed",
            term=self.driver.replica.term,
            messages=len(self.held),
        )
        held, self.held = self.held, []
        for conn, message in held:
            self._guard("received", self._received, conn, message)

    def end_leading(self) -> None:
        """Gives up the work of the leader and sends routers elsewhere."""
        logs.event("leadership_lost", term=self.driver.replica.term)
        self.leader.end()
        self.leader = None
        self.held.clear()
        for session in self.sessions:
            self.sessions.close(session)
            session.conn.send_and_close(self._not_leader())
        # Another leader learns more of these routers from now on.
        self.sessions.forget()

    # -----------------------------------------------------------------------
    # transport.Listener
    # -----------------------------------------------------------------------

    def connected(self, conn: transport.Connection) -> None:
        """Takes a connection of a controller or router."""
        self._guard("connected", self._connected, conn)

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Takes a message."""
        self._guard("received", self._received, conn, message)

    def disconnected(self, conn: transport.Connection) -> None:
        """Handles the end of a connection."""
        self._guard("disconnected", self._disconnected, conn)

    def _connected(self, conn: transport.Connection) -> None:
        if conn.peer.role is data.Role.CONTROLLER:
            self.links.connected(conn)
        elif self.leads():
            self._open_session(conn)
        elif self._elects():
            self.early_routers[conn] = _EarlyRouter(self.clock())
        else:
            conn.send_and_close(self._not_leader())

    def _open_session(self, conn: transport.Connection) -> None:
        replaced = self.sessions.open(conn, self.clock())
        self.leader.handle_new_session(self.sessions.of(conn), replaced)

    def _received(self, conn: transport.Connection, message: Any) -> None:
        if conn.peer.role is data.Role.CONTROLLER:
            self.links.received(conn, message)
            return
        # The lease may have run out since the last timer, for example while
        # the process was frozen. The phase tells; a second look at the clock
        # could differ, and the message would be lost.
        self._update_phase()
        if conn in self.early_routers:
            self.early_routers[conn].messages.append(message)
            return
        session = self.sessions.of(conn)
        if session is None:
            return
        if self.phase == "leading":
            self.leader.handle_message(session, message)
        elif self.phase == "paused":
            self.held.append((conn, message))

    def _disconnected(self, conn: transport.Connection) -> None:
        if conn.peer.role is data.Role.CONTROLLER:
            self.links.disconnected(conn)
            return
        self.early_routers.pop(conn, None)
        session = self.sessions.of(conn)
        if session is not None:
            self.sessions.close(session)
            if self.leader is not None:
                self.leader.handle_ended_session(
                    session, "the connection ended"
                )


def _operators_site(controller: Controller) -> Any:
    token = transport.read_secret(controller.settings.operator_token_file)
    return operators_api.site(controller, token)


def _life_cycle() -> Callable[[Controller], _LifeCycle]:
    """Builds the state machine of a controller's life."""
    builder = automat.TypeMachineBuilder(_LifeCycle, Controller)
    starting = builder.state("starting")
    follower = builder.state("follower")
    leading = builder.state("leading")
    paused = builder.state("paused")
    stopping = builder.state("stopping")

    @starting.upon(_LifeCycle.opened).to(follower)
    def opened(_: _LifeCycle, controller: Controller) -> None:
        controller.phase = "follower"

    @follower.upon(_LifeCycle.gained).to(leading)
    def gained(_: _LifeCycle, controller: Controller) -> None:
        controller.phase = "leading"
        controller.begin_leading()

    @leading.upon(_LifeCycle.lapsed).to(paused)
    def lapsed(_: _LifeCycle, controller: Controller) -> None:
        controller.phase = "paused"
        controller.pause_leading()

    @paused.upon(_LifeCycle.gained).to(leading)
    def renewed(_: _LifeCycle, controller: Controller) -> None:
        controller.phase = "leading"
        controller.resume_leading()

    @leading.upon(_LifeCycle.lost).to(follower)
    @paused.upon(_LifeCycle.lost).to(follower)
    def lost(_: _LifeCycle, controller: Controller) -> None:
        controller.phase = "follower"
        controller.end_leading()

    @leading.upon(_LifeCycle.stop).to(stopping)
    @paused.upon(_LifeCycle.stop).to(stopping)
    def stop_leading(_: _LifeCycle, controller: Controller) -> None:
        controller.phase = "stopping"
        controller.end_leading()

    @follower.upon(_LifeCycle.stop).to(stopping)
    def stop_following(_: _LifeCycle, controller: Controller) -> None:
        controller.phase = "stopping"

    return builder.build()


_MACHINE = _life_cycle()
