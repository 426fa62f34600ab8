"""Work of the controller that leads: grants, environment, checkpoints.

One object serves one period of leadership. It is built once the controller may
act as leader and is thrown away when that ends.
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
from waxwingrack.daemons import engine_orders
from waxwingrack.daemons import metrics as metrics_module
from waxwingrack.daemons import replica_driver
from waxwingrack.daemons import router_sessions
from waxwingrack.daemons import transport
from waxwingrack.operations import known_routers
from waxwingrack.operations import rollouts
from waxwingrack.operations import scheduler

TICK_S = 0.05
CHECKPOINT_MS = 1_000
# Interval at which numbers in force at routers are written, if they changed.
NOTE_NUMBERS_MS = 60_000
ROLLOUT_TICK_MS = 200
# Interval at which the other controllers are told of the backend servers.
SHARE_MS = 1_000

# Handlers of routers' messages, by type of the message. A handler takes the
# leader, the session and the message.
HANDLERS: registry.Registry[type, Callable] = registry.Registry(
    "handler of a router's message"
)

_FINAL = (data.RolloutPhase.DONE, data.RolloutPhase.TAKEN_BACK)


@dataclasses.dataclass(frozen=True, slots=True)
class Services:
    """What the leader uses of its controller.

    Attributes:
      driver: Replica.
      sessions: Sessions of routers.
      clock: Monotonic milliseconds.
      rng: Random generator.
      metrics: Metrics of the process.
      peers: Returns controllers that the settings of routers may not list.
      share: Sends a message to the other controllers.
      known: What the former leader told of backend servers lately, or None.
    """

    driver: replica_driver.ReplicaDriver
    sessions: router_sessions.Sessions
    clock: Callable[[], int]
    rng: random.Random
    metrics: metrics_module.Metrics
    peers: Callable[[], tuple[data.Peer, ...]] = tuple
    share: Callable[[Any], None] = lambda message: None
    known: messages.ServersKnown | None = None


class Leader:
    """One period of leadership.

    Attributes:
      services: Parts of the controller.
      tables: Tables of the scheduler.
      since_ms: Start of the leadership.
      orders: Orders to model engines.
    """

    def __init__(self, services: Services):
        self.services = services
        self.since_ms = services.clock()
        self.tables = scheduler.empty(
            services.driver.replica.term,
            self.since_ms,
            tuple(self.state.counters.values()),
            known_routers.connected_ids(self.state.known_routers.values()),
        )
        if services.known is not None:
            self.tables = scheduler.take_over(
                self.tables,
                self.state.environment,
                services.known,
                self.since_ms,
            )
            logs.event(
                "servers_taken_over", count=len(services.known.announcements)
            )
        self._next_share_ms = self.since_ms
        self.orders = engine_orders.EngineOrders(services)
        # Routers of the last checkpoint that have not been lost since.
        self._former_routers = self.state.routers
        self._stats = rollouts.VersionSamples()
        self._policy_parts: tuple = ()
        self._policy: data.Policy | None = None
        self._push: tuple[int, bytes] = (0, b"")
        self._saved_counters: dict[tuple[str, str], float] = {}
        self._saved_environment: data.Environment | None = None
        # Start of the time that no committed checkpoint includes yet. The time
        # without a leader counts too, as deadlines are in real time.
        self._checkpoint_ms = services.driver.counted_ms
        self._next_checkpoint_ms = self.since_ms + CHECKPOINT_MS
        self._checkpoint: asyncio.Future | None = None
        self._next_rollout_tick_ms = self.since_ms
        self._moving: set[str] = set()
        self._refusing: set[str] = set()
        self._next_note_ms = self.since_ms + CHECKPOINT_MS
        self._next_numbers_ms = self.since_ms + NOTE_NUMBERS_MS
        self._noting = False
        # Sessions with a report that waits for an update.
        self._unanswered: dict[str, router_sessions.Session] = {}
        self._tick_scheduled = False
        self._ended = False

    @property
    def state(self) -> data.ReplicatedState:
        """Replicated state."""
        return self.services.driver.state

    def end(self) -> None:
        """Ends the leadership; scheduled ticks do nothing any more."""
        self._ended = True
        self.orders.abort()

    # -----------------------------------------------------------------------
    # Routers
    # -----------------------------------------------------------------------

    def handle_new_session(
        self,
        session: router_sessions.Session,
        replaced: router_sessions.Session | None,
    ) -> None:
        """Takes a new connection of a router.

        Args:
          session: The new session.
          replaced: Former session of the same router, or None.
        """
        if replaced is None:
            return
        replaced.conn.close()
        if replaced.ref.incarnation != session.ref.incarnation:
            self._router_lost(replaced, "replaced by a new incarnation")

    def handle_ended_session(
        self, session: router_sessions.Session, reason: str
    ) -> None:
        """Handles the end of a session.

        Args:
          session: Session that has been removed.
          reason: Why it ended.
        """
        self._router_lost(session, reason)

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

    def live_owners(self) -> frozenset[str]:
        """Returns the router incarnations that may still run requests.

        Routers of the last checkpoint count until they had time to connect.
        """
        live = self.services.sessions.incarnations()
        age_ms = self.services.clock() - self.since_ms
        if age_ms < messages.CONTROL_TIMEOUT_MS:
            return live | self._former_routers
        return live

    def handle_announcement(self, seen: data.Announcement) -> None:
        """Takes an announcement of a backend server.

        Args:
          seen: The announcement.
        """
        version = rollouts.effective_version(
            self.state, seen.service, seen.version
        )
        self.tables = scheduler.on_announcement(
            self.tables,
            dataclasses.replace(seen, version=version),
            self.services.clock(),
        )
        self.services.metrics.add(
            "announcements_total", "Announcements of backend servers."
        )

    def handle_departure(self, server_id: str) -> None:
        """Takes out a backend server that has said that it leaves."""
        self.tables = scheduler.on_departure(
            self.tables, server_id, self.services.clock()
        )

    def _router_lost(
        self, session: router_sessions.Session, reason: str
    ) -> None:
        logs.event(
            "router_session_ended",
            router=session.ref.node_id,
            incarnation=session.ref.incarnation,
            reason=reason,
        )
        self._former_routers -= {session.ref.incarnation}
        self._unanswered.pop(session.ref.node_id, None)
        self.tables = scheduler.on_router_lost(
            self.tables, session.ref.node_id, self.services.clock()
        )

    # -----------------------------------------------------------------------
    # Scheduler
    # -----------------------------------------------------------------------

    def answer_soon(self, session: router_sessions.Session) -> None:
        """Runs a tick after the events that are ready now.

        Reports that arrive in the same iteration of the event loop share it.

        Args:
          session: Session whose report is to be answered by then.
        """
        self._unanswered[session.ref.node_id] = session
        if not self._tick_scheduled:
            self._tick_scheduled = True
            asyncio.get_running_loop().call_soon(self._scheduled_tick)

    def answer_heartbeat(self, session: router_sessions.Session) -> None:
        """Answers a report without content.

        It gives no reason to decide anew, so it does not cost a tick; what is
        due by time is left to the next periodic tick.

        Args:
          session: Session whose report is to be answered.
        """
        if session.ref.node_id in self._unanswered or self._ended:
            return
        if self.services.driver.may_act():
            self._answer(session.ref.node_id, (), ())

    def _scheduled_tick(self) -> None:
        self._tick_scheduled = False
        try:
            self.tick()
        except Exception as exc:
            self.services.metrics.add(
                "handler_failures_total", "Unexpected exceptions."
            )
            logs.failure("tick_failed", exc)

    def tick(self) -> None:
        """Decides on waiting requests and answers all reports."""
        if self._ended or not self.services.driver.may_act():
            return
        granted: dict[str, list[data.Grant]] = {}
        refused: dict[str, list[messages.Refusal]] = {}
        decisions: scheduler.Decisions | None = None
        policy = self._current_policy()
        if policy is not None:
            ticked = scheduler.tick(
                self.tables, policy, self.services.clock(), self.services.rng
            )
            self.tables, decisions = ticked.tables, ticked.decisions
            granted = _grouped(
                (item.router, item.grant) for item in decisions.grants
            )
            refused = _grouped(
                (router, refusal) for router, refusal, _ in decisions.refusals
            )
        for node_id in {**self._unanswered, **granted, **refused}:
            self._answer(
                node_id,
                tuple(granted.get(node_id, ())),
                tuple(refused.get(node_id, ())),
            )
        self._unanswered.clear()
        # Grants leave first: a fault in what follows must not lose them.
        if decisions is not None:
            self._note_decisions(decisions)

    def _answer(
        self,
        node_id: str,
        grants: tuple[data.Grant, ...],
        refusals: tuple[messages.Refusal, ...],
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
        # A policy is kept while nothing changes, so that the scheduler can
        # tell by identity whether it has to look at it again.
        if len(parts) != len(self._policy_parts) or not all(
            map(operator.is_, parts, self._policy_parts)
        ):
            if state.environment is not self._saved_environment:
                # A new document may have dropped counters from the state.
                self._saved_environment = state.environment
                self._saved_counters.clear()
            self._policy_parts = parts
            self._policy = data.Policy(
                environment=state.environment,
                drained=state.drained,
                shares=rollouts.divide_traffic(state),
                refused_digests=state.refused_digests,
            )
        return self._policy

    def _note_decisions(self, decisions: scheduler.Decisions) -> None:
        metrics = self.services.metrics
        for item in decisions.grants:
            grant = item.grant
            logs.decision(
                "grant",
                item.reason,
                router=item.router,
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
        for item in decisions.events:
            logs.decision(item.name, item.reason, **dict(item.fields))
        if decisions.samples:
            self._stats = rollouts.add_samples(self._stats, decisions.samples)
        for digest in decisions.crashed_digests:
            self._refuse_digest(digest)

    def _refuse_digest(self, digest: str) -> None:
        if digest in self._refusing or digest in self.state.refused_digests:
            return
        self._refusing.add(digest)
        logs.decision(
            "refuse_digest", "the request crashed servers", digest=digest
        )
        fut = self.services.driver.propose(commands.RefuseDigest(digest))
        fut.add_done_callback(lambda _: self._refusing.discard(digest))

    # -----------------------------------------------------------------------
    # Periodic work
    # -----------------------------------------------------------------------

    def run_periodic(self) -> None:
        """Runs what is due; called every `TICK_S`."""
        now_ms = self.services.clock()
        self._drop_silent(now_ms)
        self.tick()
        self.push_environment()
        if now_ms >= self._next_rollout_tick_ms:
            self._next_rollout_tick_ms = now_ms + ROLLOUT_TICK_MS
            self._move_rollouts(now_ms)
        self.orders.start_due_actions(self.tables, now_ms)
        if now_ms >= self._next_checkpoint_ms:
            self._next_checkpoint_ms = now_ms + CHECKPOINT_MS
            if self._checkpoint is None and self._checkpoint_needed():
                self._save_checkpoint(now_ms)

        if now_ms >= self._next_note_ms and not self._noting:
            self._next_note_ms = now_ms + CHECKPOINT_MS
            self._note_routers(now_ms)
        if now_ms >= self._next_share_ms:
            self._next_share_ms = now_ms + SHARE_MS
            self.services.share(scheduler.known_servers(self.tables))

    def _drop_silent(self, now_ms: int) -> None:
        for session in self.services.sessions.silent(now_ms):
            session.conn.close()
            if self.services.sessions.close(session):
                self._router_lost(
                    session,
                    f"no report for {now_ms - session.seen_ms} ms",
                )

    # -----------------------------------------------------------------------
    # Known routers
    # -----------------------------------------------------------------------

    def clock_s(self) -> float:
        """Returns the leader-counted clock."""
        return self.clock_of(self.services.clock())

    def clock_of(self, at_ms: int) -> float:
        """Returns the leader-counted clock at a time of the own clock."""
        return self.state.clock_s + (at_ms - self._checkpoint_ms) / 1000

    def _note_routers(self, now_ms: int) -> None:
        """Replicates what changed in the set of known routers."""
        sessions = self.services.sessions
        known = self.state.known_routers
        rows = [
            self._known_router(session, lost=False)
            for session in sessions
            if session.reported and not session.draining
        ]
        rows += [
            self._known_router(session, lost=True)
            for session in sessions.ended(now_ms)
        ]
        late = now_ms - self.since_ms >= messages.CONTROL_TIMEOUT_MS
        command = known_routers.find_changes(
            known.values(),
            known_routers.ObservedRouters(
                rows=tuple(rows),
                left=sessions.left(known),
                clock_s=self.clock_of(now_ms),
                missing_since_s=self.clock_of(self.since_ms) if late else None,
                include_numbers=now_ms >= self._next_numbers_ms,
            ),
        )
        if now_ms >= self._next_numbers_ms:
            self._next_numbers_ms = now_ms + NOTE_NUMBERS_MS
        if command is None:
            return
        self._noting = True
        fut = self.services.driver.propose(command)
        fut.add_done_callback(lambda done: self._noted(command, done.result()))

    def _known_router(
        self, session: router_sessions.Session, lost: bool
    ) -> data.KnownRouter:
        return data.KnownRouter(
            session.ref.node_id,
            session.ref.data_centre,
            session.number,
            self.clock_of(session.seen_ms) if lost else None,
        )

    def _noted(
        self, command: commands.NoteRouters, outcome: replica_driver.Outcome
    ) -> None:
        self._noting = False
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
        """Pushes the environment to the routers whose environment is older.

        Args:
          sessions: Sessions to look at; None means all.
        """
        state = self.state
        now_ms = self.services.clock()
        due = [
            session
            for session in sessions or self.services.sessions
            if router_sessions.push_due(session, state.number, now_ms)
        ]
        if not due or state.environment is None:
            return
        if not self.services.driver.may_act():
            return
        for session in due:
            session.pushed_number = state.number
            session.pushed_ms = now_ms
            session.conn.send_frame(self._push_frame(state))

    def _push_frame(self, state: data.ReplicatedState) -> bytes:
        number, frame = self._push
        if number != state.number:
            # Encoded once for all routers: the document may be large.
            push = messages.EnvironmentPush(
                number=state.number,
                # Routers do not read the document back.
                environment=dataclasses.replace(state.environment, source=""),
                drained=tuple(sorted(state.drained)),
                refused_digests=tuple(sorted(state.refused_digests)),
                controllers=self.services.peers(),
            )
            frame = transport.compress_frame(messages.CODEC.encode(push))
            self._push = (state.number, frame)
        return frame

    # -----------------------------------------------------------------------
    # Rollouts
    # -----------------------------------------------------------------------

    def _move_rollouts(self, now_ms: int) -> None:
        if not self._rollouts_under_way():
            return
        elapsed_s = (now_ms - self._checkpoint_ms) / 1000
        moves = rollouts.decide_moves(
            self.state, self._stats, elapsed_s, now_ms
        )
        moves = [
            move
            for move in moves
            if move.rollout not in self._moving
            and self.orders.may_move_rollout(self.tables, move, elapsed_s)
        ]
        if not moves:
            return
        # The time before the move belongs to the phase before the move.
        self._save_checkpoint(now_ms)
        for move in moves:
            self._move_rollout(move)

    def _move_rollout(self, move: commands.MoveRollout) -> None:
        self._moving.add(move.rollout)
        fut = self.services.driver.propose(move)
        fut.add_done_callback(lambda done: self._moved(move, done.result()))

    def _moved(
        self, move: commands.MoveRollout, outcome: replica_driver.Outcome
    ) -> None:
        self._moving.discard(move.rollout)
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

    def _rollouts_under_way(self) -> bool:
        return any(
            rollout.phase not in _FINAL
            for rollout in self.state.rollouts.values()
        )

    # -----------------------------------------------------------------------
    # Checkpoints
    # -----------------------------------------------------------------------

    def _changed_counters(self) -> tuple[data.CounterRow, ...]:
        return scheduler.changed_counters(self.tables, self._saved_counters)

    def _checkpoint_needed(self) -> bool:
        return bool(
            self._rollouts_under_way()
            or self.live_owners() != self.state.routers
            or self._changed_counters()
        )

    def count_time(self) -> None:
        """Saves the time until now, so that later changes do not count it."""
        self._save_checkpoint(self.services.clock())

    def _save_checkpoint(self, now_ms: int) -> None:
        counters = self._changed_counters()
        command = commands.Checkpoint(
            seconds=(now_ms - self._checkpoint_ms) / 1000,
            counters=counters,
            routers=tuple(sorted(self.live_owners())),
        )
        # Entries of one term are committed in order, so the next checkpoint
        # may count from here although this one is not committed yet.
        self._checkpoint_ms = now_ms
        for row in counters:
            self._saved_counters[row.service, row.workspace] = row.value
        fut = self.services.driver.propose(command)
        self._checkpoint = fut
        fut.add_done_callback(self._checkpoint_done)

    def _checkpoint_done(self, fut: asyncio.Future) -> None:
        if self._checkpoint is fut:
            self._checkpoint = None


# ---------------------------------------------------------------------------
# Handlers
# ---------------------------------------------------------------------------


@HANDLERS.register(messages.RouterReport)
def _report(
    leader: Leader,
    session: router_sessions.Session,
    report: messages.RouterReport,
) -> None:
    now_ms = leader.services.clock()
    session.seen_ms = now_ms
    session.echo_ms = report.sent_ms
    session.number = report.environment_number
    session.reported = True
    session.draining = report.draining
    if report.data_centre and report.data_centre != session.ref.data_centre:
        session.ref = dataclasses.replace(
            session.ref, data_centre=report.data_centre
        )
    leader.services.metrics.add("reports_total", "Reports of routers.")
    leader.tables = scheduler.on_report(
        leader.tables, session.ref, report, now_ms
    )
    leader.push_environment((session,))
    if _empty(report):
        leader.answer_heartbeat(session)
    else:
        leader.answer_soon(session)


def _empty(report: messages.RouterReport) -> bool:
    """Whether a report is only a heartbeat."""
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
    )


def _grouped(pairs: Iterable[tuple[str, Any]]) -> dict[str, list]:
    groups: dict[str, list] = {}
    for key, value in pairs:
        groups.setdefault(key, []).append(value)
    return groups
