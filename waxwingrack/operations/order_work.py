"""State of one round of decisions on orders, and the decisions on one engine.

`Work` tells what an engine is doing, sends recorded orders and reads engines
back. Which engine gets which version is decided in `order_choice`.
"""

import dataclasses

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import order_records
from waxwingrack.operations import replicated_orders
from waxwingrack.operations import rollouts


def wanted(state: data.ReplicatedState) -> immutables.Map:
    """Returns the `data.VersionShare` of each service that declares orders."""
    if state.environment is None:
        return immutables.Map()
    shares = rollouts.shares(state)
    return immutables.Map(
        {
            service.id: shares[service.id]
            for service in state.environment.services
            if service.orders is not None
        }
    )


def with_traffic(share: data.VersionShare) -> frozenset[str]:
    """Returns the versions that get requests."""
    if share.candidate and share.share > 0:
        return frozenset((share.current, share.candidate))
    return frozenset((share.current,))


class Work:
    """Mutable copy of the memory for the length of one call of `decide`."""

    def __init__(
        self,
        view: order_records.View,
        contacts: order_records.Contacts,
        now_ms: int,
    ):
        self.state = view.state
        self.issuer = view.issuer
        self._controller = view.controller
        self._ended = view.ended
        self.now_ms = now_ms
        self.shares = wanted(view.state)
        self.services = {
            service.id: service
            for service in getattr(view.state.environment, "services", ())
            if service.id in self.shares
        }
        self.engines = sorted(
            (item for item in view.engines if item.service in self.services),
            key=lambda item: item.server_id,
        )
        self.next_token = contacts.next_token
        self.rows = self._refreshed(contacts).mutate()
        self.decisions: list[order_records.Decision] = []
        self.withheld: dict[str, str] = {}
        # Version being loaded, by server id.
        self.loading = {
            item.server_id: self._ordered(item)
            for item in self.engines
            if self._is_loading(item)
        }

    def _refreshed(self, contacts: order_records.Contacts) -> immutables.Map:
        announced = {engine.server_id for engine in self.engines}
        # A row with an order is kept: without it, the leader would not know
        # any more whether it has sent the order.
        rows = {
            server_id: row
            for server_id, row in contacts.rows.items()
            if server_id in announced
            or server_id in self.state.orders
            or row.call is not order_records.Call.NONE
        }
        for engine in self.engines:
            row = rows.get(
                engine.server_id, order_records.Contact(engine.incarnation)
            )
            if row.incarnation != engine.incarnation:
                row = dataclasses.replace(
                    row,
                    incarnation=engine.incarnation,
                    read=False,
                    lost=0,
                    seen_fencing=0,
                )
            if row.version != engine.version:
                # The engine may have taken an order in the meantime.
                row = dataclasses.replace(
                    row, version=engine.version, read=False
                )
            order = self.state.orders.get(engine.server_id)
            if order is not None and row.fencing != order.fencing:
                row = dataclasses.replace(
                    row, fencing=order.fencing, since_ms=self.now_ms
                )
            if (
                order is not None
                and row.closed != order.fencing
                and order.issuer != self.issuer
                and order.controller in self._ended
            ):
                row = dataclasses.replace(
                    row, closed=order.fencing, closed_ms=self.now_ms
                )
            rows[engine.server_id] = row
        return immutables.Map(rows)

    def order(self, engine: order_records.Engine) -> data.EngineOrder | None:
        """Returns the latest order to an engine."""
        return self.state.orders.get(engine.server_id)

    def settings(self, engine: order_records.Engine) -> data.OrderSettings:
        """Returns the order settings of an engine's service."""
        return self.services[engine.service].orders

    def _is_loading(self, engine: order_records.Engine) -> bool:
        row, order = self.rows[engine.server_id], self.order(engine)
        if row.pending:
            return True
        if order is None or order.incarnation != engine.incarnation:
            return False
        limit_ms = self.settings(engine).load_timeout_s * 1000
        if order.fencing == row.lost or self.now_ms - row.since_ms >= limit_ms:
            return False
        return order.state is data.OrderState.OUTSTANDING or (
            order.state is data.OrderState.APPLIED
            and order.version != engine.version
        )

    def _ordered(self, engine: order_records.Engine) -> str:
        pending = self.rows[engine.server_id].pending
        return pending or self.order(engine).version

    def heading(self, engine: order_records.Engine) -> str:
        """Returns the version that an engine loads, or else announces.

        It is empty while an order that was probably lost may still be taken. A
        newer order then makes the engine refuse the lost one.
        """
        row, order = self.rows[engine.server_id], self.order(engine)
        if (
            order is not None
            and order.state is data.OrderState.OUTSTANDING
            and order.fencing == row.lost
            and not row.pending
        ):
            return ""
        return self.loading.get(engine.server_id, engine.version)

    def serving(self, engine: order_records.Engine) -> bool:
        """Tells whether an engine gets requests of its service."""
        share = self.shares[engine.service]
        return (
            engine.placeable
            and engine.server_id not in self.loading
            and engine.version in with_traffic(share)
        )

    def _begin(
        self, engine: order_records.Engine, call: order_records.Call, **changes
    ) -> int:
        token, self.next_token = self.next_token, self.next_token + 1
        row = self.rows[engine.server_id]
        self.rows[engine.server_id] = dataclasses.replace(
            row, call=call, token=token, **changes
        )
        return token

    def follow_up(self, engine: order_records.Engine) -> None:
        """Sends a recorded order, or reads back one of unknown outcome."""
        row, order = self.rows[engine.server_id], self.order(engine)
        if order is None or order.state is not data.OrderState.OUTSTANDING:
            return
        if (
            row.call is not order_records.Call.NONE
            or self.now_ms < row.retry_ms
        ):
            return
        if (
            order.issuer == self.issuer
            and order.fencing > row.sent
            and order.incarnation == engine.incarnation
        ):
            token = self._begin(
                engine, order_records.Call.SEND, sent=order.fencing
            )
            self.decisions.append(
                order_records.Send(
                    order,
                    engine.address,
                    self.settings(engine).answer_timeout_s,
                    token,
                    "the order is recorded on a majority",
                )
            )
        elif not row.read or not self._may_follow(engine):
            self.read_back(engine, f"the outcome of {order.fencing} is unknown")

    def read_back(self, engine: order_records.Engine, reason: str) -> None:
        """Decides to read an engine back."""
        token = self._begin(
            engine,
            order_records.Call.READ,
            conclusive=self._conclusive(engine),
        )
        self.decisions.append(
            order_records.ReadBack(
                engine.server_id,
                engine.address,
                self.settings(engine).answer_timeout_s,
                token,
                reason,
            )
        )

    def _conclusive(self, engine: order_records.Engine) -> int:
        """Returns the number of an order that is shown now or never taken."""
        row, order = self.rows[engine.server_id], self.order(engine)
        delay_s = self.settings(engine).max_order_delay_s
        if (
            order is None
            or delay_s is None
            or row.closed != order.fencing
            or self.now_ms - row.closed_ms < delay_s * 1000
        ):
            return 0
        return order.fencing

    def issue(
        self, engine: order_records.Engine, version: str, reason: str
    ) -> None:
        """Decides to record an order."""
        row = self.rows[engine.server_id]
        token = self._begin(
            engine, order_records.Call.PROPOSAL, pending=version, retry_ms=0
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

    def being_read(self, engine: order_records.Engine) -> bool:
        """Tells whether an engine is read back for a new order."""
        call = self.rows[engine.server_id].call
        return call is order_records.Call.READ and self._may_follow(engine)

    def _may_follow(self, engine: order_records.Engine) -> bool:
        order = self.order(engine)
        return order is None or replicated_orders.may_follow(
            order, engine.checks_fencing
        )

    def obstacle(self, engine: order_records.Engine, version: str) -> str:
        """Returns why an engine cannot get an order now, or ""."""
        row, order = self.rows[engine.server_id], self.order(engine)
        if not self._may_follow(engine):
            return f"order {order.fencing} to {engine.server_id} is outstanding"
        overtakes = (
            order is not None
            and order.state is data.OrderState.OUTSTANDING
            and order.version != version
        )
        if row.call is not order_records.Call.NONE and not (
            overtakes and row.call is order_records.Call.SEND
        ):
            return f"a call to {engine.server_id} is under way"
        if self.now_ms < row.retry_ms and not overtakes:
            return f"a call to {engine.server_id} failed just now"
        return ""
