"""Carries out engine orders of the leader over HTTP.

`operations.orders` makes the decisions; this module records orders and results
in the replicated log and calls the engines. It is not part of the replicated
state machine. It calls engines only while this controller may act as leader.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
from typing import Annotated
from typing import Any

import immutables
import pydantic

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import engine_calls
from waxwingrack.operations import order_rollouts
from waxwingrack.operations import orders
from waxwingrack.operations import placement
from waxwingrack.operations import tables as tables_module

TICK_MS = 200
# Time until a new leader knows all engines, which announce themselves once a
# second. A limit that counts only a part of them would let too many load.
ENGINE_DISCOVERY_MS = 2_000

# Not every JSON parser reads larger numbers exactly. If a group continued from
# a larger one, such an engine could not tell its fencing numbers apart.
_Fencing = Annotated[int, pydantic.Field(ge=0, lt=2**53)]


class _AppliedOrder(pydantic.BaseModel):
    fencing: _Fencing


class _OrdersAnswer(pydantic.BaseModel):
    incarnation: str
    fencing: _Fencing
    orders: list[_AppliedOrder]


class EngineOrders:
    """Engine orders of one period of leadership.

    Attributes:
      withheld_reasons: Why orders that are due are not issued, by service.
    """

    def __init__(self, services: Any):
        """Starts the orders of a new leadership.

        Args:
          services: The `leader.Services` of the controller.
        """
        self.withheld_reasons = immutables.Map()
        self._services = services
        # A controller can lead twice in one term, so the term alone does not
        # identify the issuer.
        term = services.driver.replica.term
        self._issuer = f"{term}-{services.rng.getrandbits(64):016x}"
        self._call_states = orders.EngineCallStates()
        self._discovery_end_ms = services.clock() + ENGINE_DISCOVERY_MS
        self._next_tick_ms = self._discovery_end_ms
        self._logged_read_back_reasons: dict[str, str] = {}
        # Rollouts whose wait for engines has been logged.
        self._logged_waits: set[str] = set()
        # Reason of the last logged call failure, by server id.
        self._logged_failures: dict[str, str] = {}
        self._client = engine_calls.EngineClient(self._may_act)
        self._tasks: set[asyncio.Task] = set()
        self._aborted = False

    def abort(self) -> None:
        """Aborts all calls; the next leader reads the engines' state back."""
        self._aborted = True
        self._client.abort()
        for task in tuple(self._tasks):
            task.cancel()

    def start_due_actions(
        self, tables: tables_module.Tables, now_ms: int
    ) -> None:
        """Decides which actions are due and starts them.

        Args:
          tables: Tables of the scheduler.
          now_ms: Time on the monotonic clock.
        """
        if now_ms < self._next_tick_ms or not self._may_act():
            return
        self._next_tick_ms = now_ms + TICK_MS
        state = self._services.driver.state
        if not orders.divide_ordered_traffic(state):
            return
        driver = self._services.driver
        view = orders.OrderInputs(
            state,
            list_engines(tables, state),
            self._issuer,
            driver.replica.node_id,
            # A controller closes the calls of its leadership before it answers
            # in a later term, and a restarted one has no calls.
            driver.responding_members(),
        )
        plan = orders.decide(view, self._call_states, now_ms)
        self._call_states = plan.call_states
        for decision in plan.decisions:
            _ACTIONS[type(decision)](self, decision)
        for service, reason in plan.withheld.items():
            if self.withheld_reasons.get(service) != reason:
                logs.decision("order_withheld", reason, service=service)
        self.withheld_reasons = plan.withheld

    def is_sending(self, server_id: str, fencing: int) -> bool:
        """Returns whether this leadership has an unfinished call for an order.

        Args:
          server_id: Server id of the engine.
          fencing: Fencing number of the order.

        Returns:
          True also for an order that is recorded and not sent yet.
        """
        order = self._services.driver.state.orders.get(server_id)
        row = self._call_states.rows.get(server_id)
        return (
            order is not None
            and order.fencing == fencing
            and order.issuer == self._issuer
            and order.state is data.OrderState.OUTSTANDING
            and (row is None or row.closed_fencing != fencing)
        )

    def may_move_rollout(
        self,
        tables: tables_module.Tables,
        move: commands.MoveRollout,
        elapsed_s: float,
    ) -> bool:
        """Returns whether a rollout may move on without waiting for engines.

        Args:
          tables: Tables of the scheduler.
          move: The next move of the rollout.
          elapsed_s: Time since the last checkpoint, in seconds.

        Returns:
          False if it must wait; the reason is logged once per rollout.
        """
        state = self._services.driver.state
        discovery_ended = self._services.clock() >= self._discovery_end_ms
        known_engines = list_engines(tables, state) if discovery_ended else ()
        reason = order_rollouts.find_obstacle(
            state, known_engines, move, elapsed_s
        )
        if reason and move.rollout not in self._logged_waits:
            self._logged_waits.add(move.rollout)
            logs.decision("rollout_waits", reason, rollout=move.rollout)
        return not reason

    def _may_act(self) -> bool:
        return not self._aborted and self._services.driver.may_act()

    # -----------------------------------------------------------------------
    # Log
    # -----------------------------------------------------------------------

    def _issue_order(self, decision: orders.Issue) -> None:
        def log_outcome(outcome: Any) -> None:
            if isinstance(outcome, data.EngineOrder):
                logs.decision("order", decision.reason, **_log_fields(outcome))

        self._propose(decision.command, decision.token, log_outcome)

    def _record_result(self, command: commands.RecordOrder, token: int) -> None:
        def log_outcome(outcome: Any) -> None:
            if isinstance(outcome, data.EngineOrder):
                logs.decision(
                    "order_result", outcome.reason, **_log_fields(outcome)
                )
                self._services.metrics.add(
                    "orders_total",
                    "Ended orders to model engines.",
                    result=outcome.state.value,
                )

        self._propose(command, token, log_outcome)

    def _propose(
        self, command: Any, token: int, log_outcome: Callable[[Any], None]
    ) -> None:
        fut = self._services.driver.propose(command)
        fut.add_done_callback(
            functools.partial(
                self._handle_proposal_outcome, command, token, log_outcome
            )
        )

    def _handle_proposal_outcome(
        self,
        command: Any,
        token: int,
        log_outcome: Callable[[Any], None],
        fut: asyncio.Future,
    ) -> None:
        outcome = fut.result().value_or(None)
        if outcome is None:
            logs.event(
                "order_not_committed",
                command=type(command).__name__,
                server=command.server_id,
            )
        log_outcome(outcome)
        self._call_states = orders.end_proposal(
            self._call_states,
            command.server_id,
            token,
            outcome is not None,
            self._services.clock(),
        )
        # The next tick of the leader sends the recorded order.
        self._next_tick_ms = 0

    # -----------------------------------------------------------------------
    # Calls
    # -----------------------------------------------------------------------

    def _start_send(self, decision: orders.Send) -> None:
        self._start_task(self._send_order(decision))

    async def _send_order(self, decision: orders.Send) -> None:
        order = decision.order
        body = {
            "fencing": order.fencing,
            "version": order.version,
            "incarnation": order.incarnation,
        }
        reply = await self._call_engine("POST", decision, order.server_id, body)
        if reply.kind is orders.ReplyKind.UNKNOWN:
            logs.event(
                "order_unknown", reason=reply.reason, **_log_fields(order)
            )
        self._apply_call_result(
            orders.end_order_call(
                self._call_states,
                order,
                decision.token,
                reply,
                self._services.clock(),
            ),
            decision.token,
        )

    def _start_read_back(self, decision: orders.ReadBack) -> None:
        # An unreachable engine is read back every second; a reason is logged
        # once.
        if (
            self._logged_read_back_reasons.get(decision.server_id)
            != decision.reason
        ):
            self._logged_read_back_reasons[decision.server_id] = decision.reason
            logs.decision(
                "order_read_back", decision.reason, server=decision.server_id
            )
        self._start_task(self._read_engine(decision))

    async def _read_engine(self, decision: orders.ReadBack) -> None:
        reply = await self._call_engine("GET", decision, decision.server_id)
        self._apply_call_result(
            orders.end_read_back(
                self._call_states,
                decision.server_id,
                self._services.driver.state.orders.get(decision.server_id),
                decision.token,
                reply,
                self._services.clock(),
            ),
            decision.token,
        )

    async def _call_engine(
        self,
        method: str,
        decision: orders.Send | orders.ReadBack,
        server_id: str,
        body: Any = None,
    ) -> orders.Reply:
        outcome = await self._client.call(
            method, decision.address, decision.timeout_s, body
        )
        if isinstance(outcome, engine_calls.Answer):
            self._logged_failures.pop(server_id, None)
        else:
            self._services.metrics.add(
                "engine_calls_failed_total",
                "Calls to model engines without a whole answer.",
                cause=outcome.cause,
            )
            # An unreachable engine is called every second; a reason is logged
            # once.
            if self._logged_failures.get(server_id) != outcome.reason:
                self._logged_failures[server_id] = outcome.reason
                logs.event(
                    "engine_call_failed",
                    reason=outcome.reason,
                    cause=outcome.cause,
                    method=method,
                    server=server_id,
                )
        return _to_reply(outcome)

    def _apply_call_result(
        self, call_result: orders.CallResult, token: int
    ) -> None:
        self._call_states = call_result.call_states
        self._next_tick_ms = 0
        if call_result.command is not None:
            self._record_result(call_result.command, token)

    def _start_task(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.failure("order_call_failed", task.exception())


_ACTIONS = {
    orders.Issue: EngineOrders._issue_order,
    orders.Send: EngineOrders._start_send,
    orders.ReadBack: EngineOrders._start_read_back,
}


def list_engines(
    tables: tables_module.Tables, state: data.ReplicatedState
) -> tuple[orders.Engine, ...]:
    """Lists the announced backend servers that can get orders, as engines.

    Args:
      tables: Tables of the scheduler.
      state: Replicated state.

    Returns:
      One record for each server that is neither stale nor departing.
    """
    return tuple(
        orders.Engine(
            server_id=seen.server_id,
            incarnation=seen.incarnation,
            address=seen.address,
            service=seen.service,
            version=seen.version,
            slots=seen.slots,
            in_use=placement.count_used_slots(row),
            checks_fencing=seen.checks_fencing,
            placeable=not row.blocked and seen.data_centre not in state.drained,
        )
        for row in tables.servers.values()
        if tables_module.is_usable(row)
        for seen in (row.announcement,)
    )


def _to_reply(
    outcome: engine_calls.Answer | engine_calls.FailedCall,
) -> orders.Reply:
    """Converts the result of a call to what it says about an order."""
    kinds = orders.ReplyKind
    if isinstance(outcome, engine_calls.FailedCall):
        kind = kinds.UNKNOWN if outcome.may_have_sent else kinds.NOT_SENT
        return orders.Reply(kind, outcome.reason)
    reason = f"the engine answered {outcome.status}"
    if outcome.status == 200:
        return orders.Reply(
            kinds.ANSWERED, reason, _parse_readout(outcome.body)
        )
    if 400 <= outcome.status < 500:
        return orders.Reply(kinds.REFUSED, reason, _parse_readout(outcome.body))
    return orders.Reply(kinds.UNKNOWN, reason)


def _parse_readout(blob: bytes) -> orders.Readout | None:
    try:
        answer = _OrdersAnswer.model_validate_json(blob)
    except pydantic.ValidationError:
        return None
    return orders.Readout(
        answer.incarnation,
        answer.fencing,
        frozenset(applied.fencing for applied in answer.orders),
    )


def _log_fields(order: data.EngineOrder) -> dict[str, Any]:
    return {
        "service": order.service,
        "server": order.server_id,
        "incarnation": order.incarnation,
        "version": order.version,
        "fencing": order.fencing,
        "state": order.state,
    }
