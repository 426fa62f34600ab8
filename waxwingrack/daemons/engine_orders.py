"""Orders to model engines, carried out by the leader over HTTP.

`operations.orders` decides; this module records orders and results in the
replicated log and calls the engines. Nothing here is part of the replicated
state machine. A call is made only while this controller may act as leader.
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
# Time after which a new leader knows all engines, which announce themselves
# once a second. Limits counted over a part of them would let too many load.
SETTLE_MS = 2_000

# Larger numbers are not exact in every JSON reader; a group that took one over
# would give numbers that such an engine cannot tell apart.
_Fencing = Annotated[int, pydantic.Field(ge=0, lt=2**53)]


class _Applied(pydantic.BaseModel):
    fencing: _Fencing


class _Answer(pydantic.BaseModel):
    incarnation: str
    fencing: _Fencing
    orders: list[_Applied]


class EngineOrders:
    """Orders of one period of leadership.

    Attributes:
      withheld: Why wanted orders are not given, by service.
    """

    def __init__(self, services: Any):
        """Prepares the orders.

        Args:
          services: The `leader.Services` of the controller.
        """
        self.withheld = immutables.Map()
        self._services = services
        # Two periods of leadership of one controller can share a term.
        term = services.driver.replica.term
        self._issuer = f"{term}-{services.rng.getrandbits(64):016x}"
        self._contacts = orders.Contacts()
        self._settled_ms = services.clock() + SETTLE_MS
        self._next_ms = self._settled_ms
        self._read_reasons: dict[str, str] = {}
        # Rollouts whose wait for engines is in the log.
        self._waiting: set[str] = set()
        # Reason of the last failed call that is in the log, by server id.
        self._failures: dict[str, str] = {}
        self._calls = engine_calls.Calls(self._may_act)
        self._tasks: set[asyncio.Task] = set()
        self._ended = False

    def end(self) -> None:
        """Breaks off all calls; the next leader reads the engines back."""
        self._ended = True
        self._calls.abort()
        for task in tuple(self._tasks):
            task.cancel()

    def run(self, tables: tables_module.Tables, now_ms: int) -> None:
        """Decides what is due and starts to carry it out.

        Args:
          tables: Tables of the scheduler.
          now_ms: Monotonic clock.
        """
        if now_ms < self._next_ms or not self._may_act():
            return
        self._next_ms = now_ms + TICK_MS
        state = self._services.driver.state
        if not orders.wanted(state):
            return
        driver = self._services.driver
        view = orders.View(
            state,
            engines(tables, state),
            self._issuer,
            driver.replica.node_id,
            # A controller ends the calls of its leadership before it answers
            # in a later term, and a restarted one has none.
            driver.heard(),
        )
        plan = orders.decide(view, self._contacts, now_ms)
        self._contacts = plan.contacts
        for decision in plan.decisions:
            _ACTIONS[type(decision)](self, decision)
        for service, reason in plan.withheld.items():
            if self.withheld.get(service) != reason:
                logs.decision("order_withheld", reason, service=service)
        self.withheld = plan.withheld

    def is_sending(self, server_id: str, fencing: int) -> bool:
        """Tells whether this leadership has yet to end the call of an order.

        Args:
          server_id: Engine.
          fencing: Fencing number of the order.

        Returns:
          True also for an order that it has recorded and not sent.
        """
        order = self._services.driver.state.orders.get(server_id)
        row = self._contacts.rows.get(server_id)
        return (
            order is not None
            and order.fencing == fencing
            and order.issuer == self._issuer
            and order.state is data.OrderState.OUTSTANDING
            and (row is None or row.closed != fencing)
        )

    def may_move(
        self,
        tables: tables_module.Tables,
        move: commands.MoveRollout,
        elapsed_s: float,
    ) -> bool:
        """Tells whether a move of a rollout need not wait for engines.

        Args:
          tables: Tables of the scheduler.
          move: The move.
          elapsed_s: Time since the last checkpoint, in seconds.

        Returns:
          False if it has to wait; the reason is logged once per rollout.
        """
        state = self._services.driver.state
        settled = self._services.clock() >= self._settled_ms
        known = engines(tables, state) if settled else ()
        reason = order_rollouts.obstacle(state, known, move, elapsed_s)
        if reason and move.rollout not in self._waiting:
            self._waiting.add(move.rollout)
            logs.decision("rollout_waits", reason, rollout=move.rollout)
        return not reason

    def _may_act(self) -> bool:
        return not self._ended and self._services.driver.may_act()

    # -----------------------------------------------------------------------
    # Log
    # -----------------------------------------------------------------------

    def _issue(self, item: orders.Issue) -> None:
        def done(outcome: Any) -> None:
            if isinstance(outcome, data.EngineOrder):
                logs.decision("order", item.reason, **_fields(outcome))

        self._propose(item.command, item.token, done)

    def _record(self, command: commands.RecordOrder, token: int) -> None:
        def done(outcome: Any) -> None:
            if isinstance(outcome, data.EngineOrder):
                logs.decision(
                    "order_result", outcome.reason, **_fields(outcome)
                )
                self._services.metrics.add(
                    "orders_total",
                    "Ended orders to model engines.",
                    result=outcome.state.value,
                )

        self._propose(command, token, done)

    def _propose(
        self, command: Any, token: int, done: Callable[[Any], None]
    ) -> None:
        fut = self._services.driver.propose(command)
        fut.add_done_callback(
            functools.partial(self._proposed, command, token, done)
        )

    def _proposed(
        self,
        command: Any,
        token: int,
        done: Callable[[Any], None],
        fut: asyncio.Future,
    ) -> None:
        outcome = fut.result().value_or(None)
        if outcome is None:
            logs.event(
                "order_not_committed",
                command=type(command).__name__,
                server=command.server_id,
            )
        done(outcome)
        self._contacts = orders.proposed(
            self._contacts,
            command.server_id,
            token,
            outcome is not None,
            self._services.clock(),
        )
        # The order that was recorded is sent at the next tick of the leader.
        self._next_ms = 0

    # -----------------------------------------------------------------------
    # Calls
    # -----------------------------------------------------------------------

    def _send(self, item: orders.Send) -> None:
        self._start(self._send_order(item))

    async def _send_order(self, item: orders.Send) -> None:
        order = item.order
        body = {
            "fencing": order.fencing,
            "version": order.version,
            "incarnation": order.incarnation,
        }
        reply = await self._call("POST", item, order.server_id, body)
        if reply.kind is orders.ReplyKind.UNKNOWN:
            logs.event("order_unknown", reason=reply.reason, **_fields(order))
        self._note(
            orders.answered(
                self._contacts, order, item.token, reply, self._services.clock()
            ),
            item.token,
        )

    def _read_back(self, item: orders.ReadBack) -> None:
        # An engine that cannot be read back is asked again every second.
        if self._read_reasons.get(item.server_id) != item.reason:
            self._read_reasons[item.server_id] = item.reason
            logs.decision("order_read_back", item.reason, server=item.server_id)
        self._start(self._read_engine(item))

    async def _read_engine(self, item: orders.ReadBack) -> None:
        reply = await self._call("GET", item, item.server_id)
        self._note(
            orders.read_back(
                self._contacts,
                item.server_id,
                self._services.driver.state.orders.get(item.server_id),
                item.token,
                reply,
                self._services.clock(),
            ),
            item.token,
        )

    async def _call(
        self,
        method: str,
        item: orders.Send | orders.ReadBack,
        server_id: str,
        body: Any = None,
    ) -> orders.Reply:
        end = await self._calls.call(method, item.address, item.timeout_s, body)
        if isinstance(end, engine_calls.Answer):
            self._failures.pop(server_id, None)
        else:
            self._services.metrics.add(
                "engine_calls_failed_total",
                "Calls to model engines without a whole answer.",
                cause=end.cause,
            )
            # An engine that does not answer is called again every second.
            if self._failures.get(server_id) != end.reason:
                self._failures[server_id] = end.reason
                logs.event(
                    "engine_call_failed",
                    reason=end.reason,
                    cause=end.cause,
                    method=method,
                    server=server_id,
                )
        return _reply(end)

    def _note(self, noted: orders.Noted, token: int) -> None:
        self._contacts = noted.contacts
        self._next_ms = 0
        if noted.command is not None:
            self._record(noted.command, token)

    def _start(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.failure("order_call_failed", task.exception())


_ACTIONS = {
    orders.Issue: EngineOrders._issue,
    orders.Send: EngineOrders._send,
    orders.ReadBack: EngineOrders._read_back,
}


def engines(
    tables: tables_module.Tables, state: data.ReplicatedState
) -> tuple[orders.Engine, ...]:
    """Returns the announced backend servers that stay, as engines.

    Args:
      tables: Tables of the scheduler.
      state: Replicated state.

    Returns:
      One record for each server that is neither aged out nor departing.
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


def _reply(end: engine_calls.Answer | engine_calls.Failed) -> orders.Reply:
    """Returns what the end of a call says about an order."""
    kinds = orders.ReplyKind
    if isinstance(end, engine_calls.Failed):
        kind = kinds.UNKNOWN if end.sent else kinds.NOT_SENT
        return orders.Reply(kind, end.reason)
    reason = f"the engine answered {end.status}"
    if end.status == 200:
        return orders.Reply(kinds.ANSWERED, reason, _readout(end.body))
    if 400 <= end.status < 500:
        return orders.Reply(kinds.REFUSED, reason, _readout(end.body))
    return orders.Reply(kinds.UNKNOWN, reason)


def _readout(blob: bytes) -> orders.Readout | None:
    try:
        answer = _Answer.model_validate_json(blob)
    except pydantic.ValidationError:
        return None
    return orders.Readout(
        answer.incarnation,
        answer.fencing,
        frozenset(applied.fencing for applied in answer.orders),
    )


def _fields(order: data.EngineOrder) -> dict[str, Any]:
    return {
        "service": order.service,
        "server": order.server_id,
        "incarnation": order.incarnation,
        "version": order.version,
        "fencing": order.fencing,
        "state": order.state,
    }
