"""Work of the leading controller: grants, environment, checkpoints.

A `Leader` object serves one period of leadership. It is created when the
controller may act as leader and discarded when its leadership ends.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import operator
import random
from typing import Any

from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.core import registry
from waxwingrack.daemons import capacity_orders
from waxwingrack.daemons import departure_log
from waxwingrack.daemons import duties as duties_module
from waxwingrack.daemons import engine_orders
from waxwingrack.daemons import metrics as metrics_module
from waxwingrack.daemons import replica_driver
from waxwingrack.daemons import router_sessions
from waxwingrack.daemons import transport
from waxwingrack.operations import crash_evidence
from waxwingrack.operations import departures
from waxwingrack.operations import known_routers
from waxwingrack.operations import rollouts
from waxwingrack.operations import scheduler
from waxwingrack.operations import version_samples

TICK_S = 0.05
CHECKPOINT_INTERVAL_MS = 1_000
# Interval at which changed environment numbers of routers are replicated.
ENVIRONMENT_NUMBERS_INTERVAL_MS = 60_000
ROLLOUT_INTERVAL_MS = 200
# Interval of the log lines that show the progress of a rollout.
ROLLOUT_LOG_INTERVAL_MS = 1_000
# Interval at which the known backend servers are sent to the other controllers.
SHARE_SERVERS_INTERVAL_MS = 1_000
# Shortest interval at which the evidence about crashes is sent to them.
SHARE_EVIDENCE_INTERVAL_MS = 200

# Handlers of messages from routers, by message type. A handler is called with
# the leader, the session and the message.
HANDLERS: registry.Registry[type, Callable] = registry.Registry(
    "handler of a router message"
)

_FINAL_PHASES = (data.RolloutPhase.DONE, data.RolloutPhase.TAKEN_BACK)


@dataclasses.dataclass(frozen=True, slots=True)
class Services:
    """Parts of the controller that the leader uses.

    Attributes:
      driver: Driver of the replica.
      sessions: Sessions of routers.
      clock: Returns monotonic milliseconds.
      rng: Random generator.
      metrics: Metrics of the process.
      list_added_peers: Returns the controllers that the settings of routers
        may lack.
      send_to_controllers: Sends a message to all other controllers.
      known_servers: Backend servers that the former leader sent recently, and
        the time since then in milliseconds, or None.
      known_evidence: Evidence about crashes that the former leader sent, and
        the time since then in milliseconds, or None.
      known_samples: Samples of versions that the former leader sent, and the
        time since then in milliseconds, or None.
      duties: What the controller keeps for its duties; None without duties.
    """

    driver: replica_driver.ReplicaDriver
    sessions: router_sessions.Sessions
    clock: Callable[[], int]
    rng: random.Random
    metrics: metrics_module.Metrics
    list_added_peers: Callable[[], tuple[data.Peer, ...]] = tuple
    send_to_controllers: Callable[[Any], None] = lambda message: None
    known_servers: tuple[messages.ServersKnown, int] | None = None
    known_evidence: tuple[messages.CrashEvidence, int] | None = None
    known_samples: tuple[messages.VersionEvidence, int] | None = None
    duties: duties_module.DutyTools | None = None


class Leader:
    """One period of leadership.

    Attributes:
      services: Parts of the controller that the leader uses.
      tables: Tables of the scheduler.
      since_ms: Time at which the leadership began.
      orders: Orders to model engines.
      departures: Departures of backend servers in the replicated log.
      duties: Duties towards the provider; None without duties.
    """

    def __init__(self, services: Services):
        self.services = services
        self.since_ms = services.clock()
        self.tables = scheduler.create_tables(
            services.driver.replica.term,
            self.since_ms,
            tuple(self.state.counters.values()),
            known_routers.connected_ids(self.state.known_routers.values()),
        )
        self.departures = departure_log.DepartureLog(services.driver)
        if services.known_servers is not None:
            known_servers, age_ms = services.known_servers
            known_servers = dataclasses.replace(
                known_servers,
                announcements=departures.mark_departed(
                    self.state.departures, known_servers.announcements
                ),
            )
            self.tables = scheduler.import_known_servers(
                self.tables,
                self.state.environment,
                known_servers,
                age_ms,
                self.since_ms,
            )
            logs.event(
                "servers_taken_over",
                count=len(known_servers.announcements),
                departing=sum(
                    announcement.departing
                    for announcement in known_servers.announcements
                ),
                age_ms=age_ms,
            )
        else:
            logs.event("servers_not_taken_over", reason="none sent recently")
        if services.known_evidence is not None:
            evidence, age_ms = services.known_evidence
            self.tables = crash_evidence.import_evidence(
                self.tables, evidence, age_ms, self.since_ms
            )
            logs.event(
                "crash_evidence_taken_over",
                suspects=len(evidence.suspects),
                breaks=len(evidence.breaks),
                age_ms=age_ms,
            )
        self._shared_evidence: list[tuple] = []
        self._next_evidence_check_ms = self.since_ms
        self._evidence_shared_ms = self.since_ms
        self._next_servers_share_ms = self.since_ms
        self.orders = engine_orders.EngineOrders(services)
        self.duties = (
            duties_module.Duties(services, services.duties)
            if services.duties
            else None
        )
        self._capacity = capacity_orders.CapacityOrders(services, self.duties)
        # Router incarnations of the last checkpoint that were not lost since.
        self._former_routers = self.state.routers
        self._version_samples = rollouts.VersionSamples()
        if services.known_samples is not None:
            samples, age_ms = services.known_samples
            self._version_samples = version_samples.import_samples(
                samples, age_ms, self.since_ms
            )
            logs.event(
                "version_samples_taken_over",
                groups=len(samples.samples),
                age_ms=age_ms,
            )
        self._policy_parts: tuple = ()
        self._policy: data.Policy | None = None
        self._encoded_push: tuple[int, bytes] = (0, b"")
        self._saved_counters: dict[tuple[str, str], float] = {}
        self._counters_environment: data.Environment | None = None
        # Start of the time that no checkpoint includes yet. It includes the
        # time without a leader, because deadlines are in real time.
        self._uncounted_since_ms = services.driver.clock_advanced_ms
        self._next_checkpoint_ms = self.since_ms + CHECKPOINT_INTERVAL_MS
        self._pending_checkpoint: asyncio.Future | None = None
        self._next_rollouts_ms = self.since_ms
        self._next_rollout_log_ms = self.since_ms
        self._pending_moves: set[str] = set()
        self._pending_digests: set[str] = set()
        self._next_routers_ms = self.since_ms + CHECKPOINT_INTERVAL_MS
        self._next_numbers_ms = self.since_ms + ENVIRONMENT_NUMBERS_INTERVAL_MS
        self._routers_pending = False
        # Sessions whose last report has not been answered yet, by node id.
        self._unanswered_sessions: dict[str, router_sessions.Session] = {}
        self._tick_scheduled = False
        self._ended = False

    @property
    def state(self) -> data.ReplicatedState:
        """State after the last applied entry of the replicated log."""
        return self.services.driver.state

    def end(self) -> None:
        """Ends the leadership; a tick that is still scheduled does nothing."""
        self._ended = True
        self.orders.abort()
        if self.duties is not None:
            self.duties.end()

    # -----------------------------------------------------------------------
    # Routers
    # -----------------------------------------------------------------------

    def handle_new_session(
        self,
        session: router_sessions.Session,
        replaced: router_sessions.Session | None,
    ) -> None:
        """Handles a new session of a router.

        The router counts as lost if its former session had another incarnation.

        Args:
          session: The new session.
          replaced: Former session of the same router that it replaces, or None.
        """
        if replaced is None:
            return
        replaced.conn.close()
        if replaced.ref.incarnation != session.ref.incarnation:
            self._handle_lost_router(replaced, "replaced by a new incarnation")

    def handle_ended_session(
        self, session: router_sessions.Session, reason: str
    ) -> None:
        """Handles the end of a session.

        Args:
          session: The session, which is already removed.
          reason: Why it ended.
        """
        self._handle_lost_router(session, reason)

    def handle_message(
        self, session: router_sessions.Session, message: Any
    ) -> None:
        """Handles a message of a router.

        Args:
          session: Session of the router.
          message: The message.
        """
        handler = HANDLERS.get(type(message))
        if handler is None:
            logs.event(
                "unexpected_message",
                peer=session.ref.node_id,
                message=type(message).__name__,
            )
            self.services.metrics.add(
                "unexpected_messages_total", "Messages of a wrong type."
            )
            return
        handler(self, session, message)

    def live_incarnations(self) -> frozenset[str]:
        """Returns the router incarnations that may still run requests.

        Routers of the last checkpoint are included until they have had
        `CONTROL_TIMEOUT_MS` to connect to this leader.
        """
        live = self.services.sessions.list_incarnations()
        age_ms = self.services.clock() - self.since_ms
        if age_ms < messages.CONTROL_TIMEOUT_MS:
            return live | self._former_routers
        return live

    def handle_announcement(self, announcement: data.Announcement) -> None:
        """Handles an announcement of a backend server.

        Args:
          announcement: The announcement.
        """
        for server in departures.list_departing((announcement,)):
            self.departures.record(server)
        (announcement,) = departures.mark_departed(
            self.state.departures, (announcement,)
        )
        version = rollouts.effective_version(
            self.state, announcement.service, announcement.version
        )
        self.tables = scheduler.on_announcement(
            self.tables,
            dataclasses.replace(announcement, version=version),
            self.services.clock(),
        )
        self.services.metrics.add(
            "announcements_total", "Announcements of backend servers."
        )

    def handle_departure(
        self, server_id: str, incarnation: str | None = None
    ) -> str | None:
        """Marks a backend server that has deregistered itself as departing.

        Args:
          server_id: Id of the server.
          incarnation: Its incarnation; None if it did not name it, for the
            present one.

        Returns:
          The incarnation whose departure is to be recorded; None if it is not
          known.
        """
        row = self.tables.servers.get(server_id)
        present = row and row.announcement.incarnation
        if incarnation in (None, present):
            self.tables = scheduler.on_departure(
                self.tables, server_id, self.services.clock()
            )
        departed = (
            incarnation
            or present
            or departures.find_latest(self.state.departures, server_id)
        )
        if departed is not None:
            self.departures.record((server_id, departed))
        return departed

    def _handle_lost_router(
        self, session: router_sessions.Session, reason: str
    ) -> None:
        logs.event(
            "router_session_ended",
            router=session.ref.node_id,
            incarnation=session.ref.incarnation,
            reason=reason,
        )
        self._former_routers -= {session.ref.incarnation}
        self._unanswered_sessions.pop(session.ref.node_id, None)
        self.tables = scheduler.on_router_lost(
            self.tables, session.ref.node_id, self.services.clock()
        )

    # -----------------------------------------------------------------------
    # Scheduler
    # -----------------------------------------------------------------------

    def schedule_answer(self, session: router_sessions.Session) -> None:
        """Schedules a tick for the end of this iteration of the event loop.

        All reports that arrive in one iteration are answered by one tick.

        Args:
          session: Session whose report the tick answers.
        """
        self._unanswered_sessions[session.ref.node_id] = session
        if not self._tick_scheduled:
            self._tick_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled_tick)

    def answer_heartbeat(self, session: router_sessions.Session) -> None:
        """Answers a report without content.

        Such a report changes no decision, so no tick is run for it. Decisions
        that are due by time are left to the next periodic tick.

        Args:
          session: Session whose report is to be answered.
        """
        if session.ref.node_id in self._unanswered_sessions or self._ended:
            return
        if self.services.driver.may_act():
            self._answer(session.ref.node_id, (), ())

    def _run_scheduled_tick(self) -> None:
        self._tick_scheduled = False
        try:
            self.tick()
        except Exception as exc:
            self.services.metrics.add(
                "handler_failures_total", "Unexpected exceptions."
            )
            logs.failure("tick_failed", exc)

    def tick(self) -> None:
        """Decides on queued requests and answers all reports."""
        if self._ended or not self.services.driver.may_act():
            return
        granted: dict[str, list[data.Grant]] = {}
        refused: dict[str, list[messages.Refusal]] = {}
        decisions: scheduler.Decisions | None = None
        policy = self._current_policy()
        if policy is not None:
            tick_result = scheduler.tick(
                self.tables, policy, self.services.clock(), self.services.rng
            )
            self.tables, decisions = tick_result.tables, tick_result.decisions
            granted = _group_by_key(
                (decision.router, decision.grant)
                for decision in decisions.grants
            )
            refused = _group_by_key(
                (router, refusal) for router, refusal, _ in decisions.refusals
            )
        ended = decisions.ended_servers if decisions else ()
        informed = [
            session.ref.node_id
            for session in (self.services.sessions if ended else ())
            if session.has_reported
        ]
        for node_id in {
            **self._unanswered_sessions,
            **granted,
            **refused,
            **dict.fromkeys(informed),
        }:
            self._answer(
                node_id,
                tuple(granted.get(node_id, ())),
                tuple(refused.get(node_id, ())),
                ended,
            )
        self._unanswered_sessions.clear()
        # Grants are sent before decisions are recorded, so that an exception
        # there cannot lose them.
        if decisions is not None:
            self._record_decisions(decisions)

    def _answer(
        self,
        node_id: str,
        grants: tuple[data.Grant, ...],
        refusals: tuple[messages.Refusal, ...],
        ended: tuple[data.EndedServer, ...] = (),
    ) -> None:
        session = self.services.sessions.get(node_id)
        if session is None:
            return
        session.conn.send(
            messages.ControllerUpdate(
                echo_ms=session.echo_ms,
                term=self.services.driver.replica.term,
                grants=grants,
                refusals=refusals,
                ended=ended,
            )
        )

    def _current_policy(self) -> data.Policy | None:
        state = self.state
        if state.environment is None:
            return None
        parts = (
            state.environment,
            state.drained,
            state.rollouts,
            state.versions,
            state.refused_digests,
        )
        # The same object is returned while nothing changes, because the
        # scheduler compares policies by identity to detect a change.
        if len(parts) != len(self._policy_parts) or not all(
            map(operator.is_, parts, self._policy_parts)
        ):
            if state.environment is not self._counters_environment:
                # A new environment may have removed counters from the state.
                self._counters_environment = state.environment
                self._saved_counters.clear()
            self._policy_parts = parts
            self._policy = data.Policy(
                environment=state.environment,
                drained=state.drained,
                shares=rollouts.divide_traffic(state),
                refused_digests=state.refused_digests,
            )
        return self._policy

    def _record_decisions(self, decisions: scheduler.Decisions) -> None:
        metrics = self.services.metrics
        for decision in decisions.grants:
            grant = decision.grant
            logs.decision(
                "grant",
                decision.reason,
                router=decision.router,
                term=grant.term,
                grant=grant.id,
                want=grant.want,
                server=grant.server_id,
                version=grant.version,
            )
        if decisions.grants:
            metrics.add("grants_total", "Grants issued.", len(decisions.grants))
        for router, refusal, reason in decisions.refusals:
            logs.decision(
                "refusal",
                reason,
                router=router,
                want=refusal.want,
                error=refusal.kind,
            )
            metrics.add(
                "refusals_total",
                "Requests refused by the leader.",
                error=refusal.kind.value,
            )
        for event in decisions.events:
            logs.decision(event.name, event.reason, **dict(event.fields))
        if decisions.samples:
            self._version_samples = rollouts.add_samples(
                self._version_samples, decisions.samples
            )
        for digest in decisions.crashed_digests:
            self._refuse_digest(digest)
        for suspect in decisions.released_suspects:
            logs.decision(
                "release_digest", "the refusal has expired", digest=suspect
            )
            self.services.driver.propose(commands.ReleaseDigest(suspect))

    def _refuse_digest(self, digest: str) -> None:
        if (
            digest in self._pending_digests
            or digest in self.state.refused_digests
        ):
            return
        self._pending_digests.add(digest)
        logs.decision(
            "refuse_digest", "the request crashed servers", digest=digest
        )
        fut = self.services.driver.propose(commands.RefuseDigest(digest))
        fut.add_done_callback(lambda _: self._pending_digests.discard(digest))

    # -----------------------------------------------------------------------
    # Periodic work
    # -----------------------------------------------------------------------

    def run_periodic(self) -> None:
        """Runs the periodic work that is due; called every `TICK_S`."""
        now_ms = self.services.clock()
        self._end_silent_sessions(now_ms)
        self.tick()
        self.push_environment()
        if now_ms >= self._next_rollouts_ms:
            self._next_rollouts_ms = now_ms + ROLLOUT_INTERVAL_MS
            self._move_rollouts(now_ms)
        self.orders.start_due_actions(self.tables, now_ms)
        if self.duties is not None:
            self.duties.run_periodic(now_ms)
            self._capacity.run_periodic(self.tables, now_ms)
        if now_ms >= self._next_checkpoint_ms:
            self._next_checkpoint_ms = now_ms + CHECKPOINT_INTERVAL_MS
            if self._pending_checkpoint is None and self._needs_checkpoint():
                self._save_checkpoint(now_ms)
        if now_ms >= self._next_routers_ms and not self._routers_pending:
            self._next_routers_ms = now_ms + CHECKPOINT_INTERVAL_MS
            self._update_known_routers(now_ms)
        self._share_crash_evidence(now_ms)
        if now_ms >= self._next_servers_share_ms:
            self._next_servers_share_ms = now_ms + SHARE_SERVERS_INTERVAL_MS
            self.services.send_to_controllers(
                scheduler.export_known_servers(self.tables)
            )
            if self._has_active_rollouts():
                self.services.send_to_controllers(self.export_samples())

    def _share_crash_evidence(self, now_ms: int) -> None:
        """Sends the evidence about crashes to the other controllers.

        It is sent when it has changed, and once a second for controllers that
        were not connected then.
        """
        if now_ms < self._next_evidence_check_ms:
            return
        self._next_evidence_check_ms = now_ms + SHARE_EVIDENCE_INTERVAL_MS
        evidence = crash_evidence.export_evidence(self.tables, now_ms)
        summary = [
            (suspect.digest, suspect.unjudged_servers, suspect.crashed_servers)
            for suspect in evidence.suspects
        ]
        is_due = now_ms - self._evidence_shared_ms >= SHARE_SERVERS_INTERVAL_MS
        if not is_due and summary == self._shared_evidence:
            return
        self._evidence_shared_ms = now_ms
        self._shared_evidence = summary
        self.services.send_to_controllers(evidence)

    def _end_silent_sessions(self, now_ms: int) -> None:
        for session in self.services.sessions.list_silent(now_ms):
            session.conn.close()
            if self.services.sessions.close(session):
                self._handle_lost_router(
                    session,
                    f"no report for {now_ms - session.last_report_ms} ms",
                )

    # -----------------------------------------------------------------------
    # Known routers
    # -----------------------------------------------------------------------

    def clock_s(self) -> float:
        """Returns the leader-counted clock now, in seconds."""
        return self.clock_s_at(self.services.clock())

    def clock_s_at(self, at_ms: int) -> float:
        """Converts a time of the monotonic clock to the leader-counted clock.

        Args:
          at_ms: Time of the monotonic clock.
        """
        return self.state.clock_s + (at_ms - self._uncounted_since_ms) / 1000

    def _update_known_routers(self, now_ms: int) -> None:
        """Replicates the changes in the set of known routers."""
        sessions = self.services.sessions
        known = self.state.known_routers
        rows = [
            self._make_known_router(session, lost=False)
            for session in sessions
            if session.has_reported and not session.draining
        ]
        rows += [
            self._make_known_router(session, lost=True)
            for session in sessions.list_disconnected(now_ms)
        ]
        connect_time_over = (
            now_ms - self.since_ms >= messages.CONTROL_TIMEOUT_MS
        )
        command = known_routers.find_changes(
            known.values(),
            known_routers.ObservedRouters(
                rows=tuple(rows),
                left=sessions.list_shut_down(known),
                clock_s=self.clock_s_at(now_ms),
                missing_since_s=self.clock_s_at(self.since_ms)
                if connect_time_over
                else None,
                include_numbers=now_ms >= self._next_numbers_ms,
            ),
        )
        if now_ms >= self._next_numbers_ms:
            self._next_numbers_ms = now_ms + ENVIRONMENT_NUMBERS_INTERVAL_MS
        if command is None:
            return
        self._routers_pending = True
        fut = self.services.driver.propose(command)
        fut.add_done_callback(
            lambda fut: self._handle_routers_outcome(command, fut.result())
        )

    def _make_known_router(
        self, session: router_sessions.Session, lost: bool
    ) -> data.KnownRouter:
        return data.KnownRouter(
            session.ref.node_id,
            session.ref.data_centre,
            session.environment_number,
            self.clock_s_at(session.last_report_ms) if lost else None,
        )

    def _handle_routers_outcome(
        self, command: commands.NoteRouters, outcome: replica_driver.Outcome
    ) -> None:
        self._routers_pending = False
        if isinstance(outcome, result.Success):
            logs.event(
                "routers_noted",
                routers={row.node_id: row.number for row in command.rows},
                left=list(command.left),
            )

    # -----------------------------------------------------------------------
    # Environment
    # -----------------------------------------------------------------------

    def push_environment(
        self, sessions: Iterable[router_sessions.Session] | None = None
    ) -> None:
        """Pushes the environment to routers with an older one.

        Args:
          sessions: Sessions of the routers to check; None means all.
        """
        state = self.state
        now_ms = self.services.clock()
        due_sessions = [
            session
            for session in sessions or self.services.sessions
            if router_sessions.is_push_due(session, state.number, now_ms)
        ]
        if not due_sessions or state.environment is None:
            return
        if not self.services.driver.may_act():
            return
        for session in due_sessions:
            session.pushed_number = state.number
            session.pushed_ms = now_ms
            session.conn.send_frame(self._push_frame(state))

    def _push_frame(self, state: data.ReplicatedState) -> bytes:
        number, frame = self._encoded_push
        if number != state.number:
            # Encoded once for all routers, because it may be large.
            push = messages.EnvironmentPush(
                number=state.number,
                # Routers do not use the source text of the environment.
                environment=dataclasses.replace(state.environment, source=""),
                drained=tuple(sorted(state.drained)),
                refused_digests=tuple(sorted(state.refused_digests)),
                controllers=self.services.list_added_peers(),
            )
            frame = transport.compress_frame(messages.CODEC.encode(push))
            self._encoded_push = (state.number, frame)
        return frame

    # -----------------------------------------------------------------------
    # Rollouts
    # -----------------------------------------------------------------------

    def _move_rollouts(self, now_ms: int) -> None:
        if not self._has_active_rollouts():
            return
        if now_ms >= self._next_rollout_log_ms:
            self._next_rollout_log_ms = now_ms + ROLLOUT_LOG_INTERVAL_MS
            self._log_rollouts(now_ms)
        elapsed_s = (now_ms - self._uncounted_since_ms) / 1000
        moves = rollouts.decide_moves(
            self.state, self._version_samples, elapsed_s, now_ms
        )
        moves = [
            move
            for move in moves
            if move.rollout not in self._pending_moves
            and self.orders.may_move_rollout(self.tables, move, elapsed_s)
        ]
        if not moves:
            return
        # The time until now must count for the phase before the move.
        self._save_checkpoint(now_ms)
        for move in moves:
            self._move_rollout(move)

    def export_samples(self) -> messages.VersionEvidence:
        """Returns the samples of services with a rollout that is under way."""
        return version_samples.export_samples(
            self._version_samples,
            {
                rollout.plan.service
                for rollout in self.state.rollouts.values()
                if rollout.phase not in _FINAL_PHASES
            },
            self.services.clock(),
        )

    def _log_rollouts(self, now_ms: int) -> None:
        """Logs what the new version got and what the judges can compare."""
        exposures = {
            row.service: row.exposure
            for row in scheduler.list_exposures(self.tables)
        }
        for rollout in self.state.rollouts.values():
            if rollout.phase in _FINAL_PHASES:
                continue
            plan = rollout.plan
            running = scheduler.count_running(
                self.tables, plan.service, plan.version, now_ms
            )
            counts = rollouts.count_evidence(
                self._version_samples, rollout, now_ms
            )
            exposure = exposures.get(plan.service, rollout.exposure)
            logs.event(
                "rollout_progress",
                rollout=plan.id,
                phase=rollout.phase,
                share=rollout.share,
                requests=exposure.requests,
                to_candidate=exposure.to_candidate,
                running=running.requests,
                oldest_running_ms=running.oldest_ms,
                **dataclasses.asdict(counts),
            )

    def _move_rollout(self, move: commands.MoveRollout) -> None:
        self._pending_moves.add(move.rollout)
        fut = self.services.driver.propose(move)
        fut.add_done_callback(
            lambda fut: self._handle_move_outcome(move, fut.result())
        )

    def _handle_move_outcome(
        self, move: commands.MoveRollout, outcome: replica_driver.Outcome
    ) -> None:
        self._pending_moves.discard(move.rollout)
        fields = {
            "rollout": move.rollout,
            "phase": move.phase,
            "share": move.share,
        }
        if isinstance(outcome, result.Failure):
            logs.event("rollout_move_not_committed", **fields)
            return
        logs.decision("move_rollout", move.reason, **fields)
        self.services.metrics.add(
            "rollout_moves_total",
            "Committed moves of rollouts.",
            phase=move.phase.value,
        )

    def _has_active_rollouts(self) -> bool:
        return any(
            rollout.phase not in _FINAL_PHASES
            for rollout in self.state.rollouts.values()
        )

    # -----------------------------------------------------------------------
    # Checkpoints
    # -----------------------------------------------------------------------

    def _find_changed_counters(self) -> tuple[data.CounterRow, ...]:
        return scheduler.list_changed_counters(
            self.tables, self._saved_counters
        )

    def _needs_checkpoint(self) -> bool:
        return bool(
            self._has_active_rollouts()
            or self.live_incarnations() != self.state.routers
            or self._find_changed_counters()
        )

    def save_elapsed_time(self) -> None:
        """Proposes a checkpoint, so that the time until now counts first.

        A change that is proposed next starts its own time at this checkpoint.
        """
        self._save_checkpoint(self.services.clock())

    def _save_checkpoint(self, now_ms: int) -> None:
        counters = self._find_changed_counters()
        command = commands.Checkpoint(
            seconds=(now_ms - self._uncounted_since_ms) / 1000,
            counters=counters,
            routers=tuple(sorted(self.live_incarnations())),
            exposures=scheduler.list_exposures(self.tables),
        )
        # Entries of one term are committed in order, so the next checkpoint
        # can count from here before this one is committed.
        self._uncounted_since_ms = now_ms
        for row in counters:
            self._saved_counters[row.service, row.workspace] = row.value
        fut = self.services.driver.propose(command)
        self._pending_checkpoint = fut
        fut.add_done_callback(self._handle_checkpoint_end)

    def _handle_checkpoint_end(self, fut: asyncio.Future) -> None:
        if self._pending_checkpoint is fut:
            self._pending_checkpoint = None


# ---------------------------------------------------------------------------
# Handlers
# ---------------------------------------------------------------------------


@HANDLERS.register(messages.RouterReport)
def _handle_report(
    leader: Leader,
    session: router_sessions.Session,
    report: messages.RouterReport,
) -> None:
    now_ms = leader.services.clock()
    session.last_report_ms = now_ms
    session.echo_ms = report.sent_ms
    session.environment_number = report.environment_number
    session.has_reported = True
    session.draining = report.draining
    if report.data_centre and report.data_centre != session.ref.data_centre:
        session.ref = dataclasses.replace(
            session.ref, data_centre=report.data_centre
        )
    leader.services.metrics.add("reports_total", "Reports of routers.")
    if report.announcements:
        report = dataclasses.replace(
            report,
            announcements=departures.mark_departed(
                leader.state.departures, report.announcements
            ),
        )
    leader.tables = scheduler.on_report(
        leader.tables, session.ref, report, now_ms
    )
    for server in departures.list_departing(
        report.announcements, report.notices
    ):
        leader.departures.record(server)
    if report.usage and leader.duties is not None:
        leader.duties.handle_usage(session.ref.incarnation, report)
    leader.push_environment((session,))
    if _is_heartbeat(report):
        leader.answer_heartbeat(session)
    else:
        leader.schedule_answer(session)


def _is_heartbeat(report: messages.RouterReport) -> bool:
    """Returns whether a report has no content besides its heartbeat."""
    return not (
        report.first
        or report.wants
        or report.finished
        or report.started
        or report.announcements
        or report.withdrawn
        or report.running
        or report.progress
        or report.crash_suspects
        or report.notices
    )


def _group_by_key(pairs: Iterable[tuple[str, Any]]) -> dict[str, list]:
    groups: dict[str, list] = {}
    for key, value in pairs:
        groups.setdefault(key, []).append(value)
    return groups
