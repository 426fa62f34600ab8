"""Decides on the next call to a single model engine.

`OrderPlanner` holds the state of one call of `orders.decide`. It tells what an
engine is doing and decides to send recorded orders and to read engines back.
Which engine gets which version is decided in `order_choice`.
"""

import dataclasses

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import order_records
from waxwingrack.operations import replicated_orders
from waxwingrack.operations import rollouts


def divide_ordered_traffic(state: data.ReplicatedState) -> immutables.Map:
    """Returns the `data.VersionShare` of each service that declares orders."""
    if state.environment is None:
        return immutables.Map()
    shares = rollouts.divide_traffic(state)
    return immutables.Map(
        {
            service.id: shares[service.id]
            for service in state.environment.services
            if service.orders is not None
        }
    )


def versions_with_traffic(share: data.VersionShare) -> frozenset[str]:
    """Returns the versions of a service that get requests."""
    if share.candidate and share.share > 0:
        return frozenset((share.current, share.candidate))
    return frozenset((share.current,))


class OrderPlanner:
    """Mutable copy of the call states for one call of `orders.decide`."""

    def __init__(
        self,
        inputs: order_records.OrderInputs,
        call_states: order_records.EngineCallStates,
        now_ms: int,
    ):
        self.state = inputs.state
        self.issuer = inputs.issuer
        self._controller = inputs.controller
        self._ended_controllers = inputs.ended_controllers
        self.now_ms = now_ms
        self.shares = divide_ordered_traffic(inputs.state)
        self.services = {
            service.id: service
            for service in getattr(inputs.state.environment, "services", ())
            if service.id in self.shares
        }
        self.engines = sorted(
            (item for item in inputs.engines if item.service in self.services),
            key=lambda item: item.server_id,
        )
        self.next_token = call_states.next_token
        self.rows = self._refresh_call_states(call_states).mutate()
        self.decisions: list[order_records.Decision] = []
        self.withheld: dict[str, str] = {}
        # Version being loaded, by server id.
        self.loading = {
            item.server_id: self._loading_version(item)
            for item in self.engines
            if self._is_loading(item)
        }

    def _refresh_call_states(
        self, call_states: order_records.EngineCallStates
    ) -> immutables.Map:
        announced = {engine.server_id for engine in self.engines}
        # The call state of an engine with an order is kept, since only it tells
        # whether this leader has sent the order.
        rows = {
            server_id: row
            for server_id, row in call_states.rows.items()
            if server_id in announced
            or server_id in self.state.orders
            or row.call is not order_records.CallKind.NONE
        }
        for engine in self.engines:
            row = rows.get(
                engine.server_id,
                order_records.EngineCallState(engine.incarnation),
            )
            if row.incarnation != engine.incarnation:
                row = dataclasses.replace(
                    row,
                    incarnation=engine.incarnation,
                    was_read_back=False,
                    lost_fencing=0,
                    seen_fencing=0,
                )
            if row.version != engine.version:
                # The engine may have applied an order in the meantime.
                row = dataclasses.replace(
                    row, version=engine.version, was_read_back=False
                )
            order = self.state.orders.get(engine.server_id)
            if order is not None and row.order_fencing != order.fencing:
                row = dataclasses.replace(
                    row, order_fencing=order.fencing, first_seen_ms=self.now_ms
                )
            if (
                order is not None
                and row.closed_fencing != order.fencing
                and order.issuer != self.issuer
                and order.controller in self._ended_controllers
            ):
                row = dataclasses.replace(
                    row, closed_fencing=order.fencing, closed_ms=self.now_ms
                )
            rows[engine.server_id] = row
        return immutables.Map(rows)

    def latest_order(
        self, engine: order_records.Engine
    ) -> data.EngineOrder | None:
        """Returns the latest order to an engine."""
        return self.state.orders.get(engine.server_id)

    def order_settings(
        self, engine: order_records.Engine
    ) -> data.OrderSettings:
        """Returns the order settings of an engine's service."""
        return self.services[engine.service].orders

    def _is_loading(self, engine: order_records.Engine) -> bool:
        row, order = self.rows[engine.server_id], self.latest_order(engine)
        if row.pending_version:
            return True
        if order is None or order.incarnation != engine.incarnation:
            return False
        limit_ms = self.order_settings(engine).load_timeout_s * 1000
        if (
            order.fencing == row.lost_fencing
            or self.now_ms - row.first_seen_ms >= limit_ms
        ):
            return False
        return order.state is data.OrderState.OUTSTANDING or (
            order.state is data.OrderState.APPLIED
            and order.version != engine.version
        )

    def _loading_version(self, engine: order_records.Engine) -> str:
        pending = self.rows[engine.server_id].pending_version
        return pending or self.latest_order(engine).version

    def target_version(self, engine: order_records.Engine) -> str:
        """Returns the version that an engine loads, or else announces.

        It is empty while an order that was probably lost may still be applied.
        A newer order then makes the engine refuse the lost one.
        """
        row, order = self.rows[engine.server_id], self.latest_order(engine)
        if (
            order is not None
            and order.state is data.OrderState.OUTSTANDING
            and order.fencing == row.lost_fencing
            and not row.pending_version
        ):
            return ""
        return self.loading.get(engine.server_id, engine.version)

    def is_serving(self, engine: order_records.Engine) -> bool:
        """Returns whether an engine gets requests of its service."""
        share = self.shares[engine.service]
        return (
            engine.placeable
            and engine.server_id not in self.loading
            and engine.version in versions_with_traffic(share)
        )

    def _begin_call(
        self,
        engine: order_records.Engine,
        call: order_records.CallKind,
        **changes,
    ) -> int:
        token, self.next_token = self.next_token, self.next_token + 1
        row = self.rows[engine.server_id]
        self.rows[engine.server_id] = dataclasses.replace(
            row, call=call, token=token, **changes
        )
        return token

    def follow_up(self, engine: order_records.Engine) -> None:
        """Decides to send a recorded order or to read an engine back.

        An engine is read back if the outcome of its order is unknown.
        """
        row, order = self.rows[engine.server_id], self.latest_order(engine)
        if order is None or order.state is not data.OrderState.OUTSTANDING:
            return
        if (
            row.call is not order_records.CallKind.NONE
            or self.now_ms < row.retry_ms
        ):
            return
        if (
            order.issuer == self.issuer
            and order.fencing > row.sent_fencing
            and order.incarnation == engine.incarnation
        ):
            token = self._begin_call(
                engine, order_records.CallKind.SEND, sent_fencing=order.fencing
            )
            self.decisions.append(
                order_records.Send(
                    order,
                    engine.address,
                    self.order_settings(engine).answer_timeout_s,
                    token,
                    "the order is recorded on a majority",
                )
            )
        elif not row.was_read_back or not self._may_follow(engine):
            self.decide_read_back(
                engine, f"the outcome of {order.fencing} is unknown"
            )

    def decide_read_back(
        self, engine: order_records.Engine, reason: str
    ) -> None:
        """Decides to read an engine back."""
        token = self._begin_call(
            engine,
            order_records.CallKind.READ,
            conclusive_fencing=self._conclusive_fencing(engine),
        )
        self.decisions.append(
            order_records.ReadBack(
                engine.server_id,
                engine.address,
                self.order_settings(engine).answer_timeout_s,
                token,
                reason,
            )
        )

    def _conclusive_fencing(self, engine: order_records.Engine) -> int:
        """Returns which order is final in the next read-back.

        If the read-back does not show that order, the engine never applies it.

        Returns:
          The fencing number of the order, or 0.
        """
        row, order = self.rows[engine.server_id], self.latest_order(engine)
        delay_s = self.order_settings(engine).max_order_delay_s
        if (
            order is None
            or delay_s is None
            or row.closed_fencing != order.fencing
            or self.now_ms - row.closed_ms < delay_s * 1000
        ):
            return 0
        return order.fencing

    def decide_issue(
        self, engine: order_records.Engine, version: str, reason: str
    ) -> None:
        """Decides to record an order in the replicated log."""
        row = self.rows[engine.server_id]
        token = self._begin_call(
            engine,
            order_records.CallKind.PROPOSAL,
            pending_version=version,
            retry_ms=0,
        )
        command = commands.IssueOrder(
            service=engine.service,
            server_id=engine.server_id,
            incarnation=engine.incarnation,
            version=version,
            checks_fencing=engine.checks_fencing,
            issuer=self.issuer,
            seen_fencing=row.seen_fencing,
            controller=self._controller,
        )
        self.decisions.append(order_records.Issue(command, token, reason))

    def is_being_read_back(self, engine: order_records.Engine) -> bool:
        """Returns whether an engine is read back before a new order."""
        call = self.rows[engine.server_id].call
        return call is order_records.CallKind.READ and self._may_follow(engine)

    def _may_follow(self, engine: order_records.Engine) -> bool:
        order = self.latest_order(engine)
        return order is None or replicated_orders.may_follow(
            order, engine.checks_fencing
        )

    def find_obstacle(self, engine: order_records.Engine, version: str) -> str:
        """Returns why an engine cannot get an order now, or ""."""
        row, order = self.rows[engine.server_id], self.latest_order(engine)
        if not self._may_follow(engine):
            return f"order {order.fencing} to {engine.server_id} is outstanding"
        overtakes = (
            order is not None
            and order.state is data.OrderState.OUTSTANDING
            and order.version != version
        )
        if row.call is not order_records.CallKind.NONE and not (
            overtakes and row.call is order_records.CallKind.SEND
        ):
            return f"a call to {engine.server_id} is under way"
        if self.now_ms < row.retry_ms and not overtakes:
            return f"a call to {engine.server_id} failed just now"
        return ""
