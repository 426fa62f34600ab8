"""Capacity orders of one period of leadership.

`operations.capacity` decides; this module passes changed orders to the duties
and exports what it has decided on.
"""

import logging
from typing import Any

import immutables

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.operations import capacity
from waxwingrack.operations import capacity_tables
from waxwingrack.operations import tables as tables_module

# Interval of the decisions, in milliseconds. It is well below the start-up time
# of servers, and the work of a decision does not show in the leader's ticks.
DECISION_INTERVAL_MS = 1_000


class CapacityOrders:
    """Decides on orders while the leader has the duty `autoscale`."""

    def __init__(self, services: Any, duties: Any):
        """Starts without knowledge of former orders.

        Args:
          services: The `leader.Services` of the controller.
          duties: The `duties.Duties` of the leadership; None without duties.
        """
        self._metrics = services.metrics
        self._driver = services.driver
        self._duties = duties
        self._is_on = (
            duties is not None
            and data.Duty.AUTOSCALE in services.duties.settings.duties
        )
        self._states: immutables.Map = immutables.Map()
        self._next_ms = 0

    def run_periodic(self, tables: tables_module.Tables, now_ms: int) -> None:
        """Decides if it is due; called in each tick of the leader.

        Args:
          tables: Tables of the scheduler.
          now_ms: Monotonic clock.
        """
        if not self._is_on or now_ms < self._next_ms:
            return
        self._next_ms = now_ms + DECISION_INTERVAL_MS
        if not self._driver.may_act():
            return
        observations = capacity_tables.list_observations(tables, now_ms)
        plan = capacity.decide(self._states, observations, now_ms)
        self._log_bounded(plan.services)
        self._states = plan.services
        for decision in plan.decisions:
            self._submit(decision)
        self._export()

    def _submit(self, decision: capacity.Decision) -> None:
        order = decision.order
        state = self._states[order.service]
        subject = state.subjects[order.data_centre]
        row = subject.latest
        logs.decision(
            "capacity_decided",
            decision.reason,
            service=order.service,
            data_centre=order.data_centre,
            count=order.count,
            present=row.servers.usable,
            cold=row.servers.cold,
            departing=row.servers.departing,
            stale=row.servers.stale,
            demand=round(state.demand.present, 3),
            peak=round(state.demand.peak.value, 3),
            queued=row.queued,
            refused=row.traffic.refused,
        )
        self._duties.submit_order(order.service, order.data_centre, order.count)

    def _log_bounded(self, states: immutables.Map) -> None:
        """Logs the services whose measured demand begins to be extreme."""
        for service, state in states.items():
            former = self._states.get(service)
            if state.is_bounded and not (former and former.is_bounded):
                logs.event(
                    "capacity_demand_bounded",
                    logging.WARNING,
                    service=service,
                    demand=round(state.demand.present, 3),
                )

    def _export(self) -> None:
        for service, state in self._states.items():
            self._metrics.set(
                "capacity_demand",
                "Servers that the demand of a service would use fully.",
                state.demand.present,
                service=service,
            )
            for name, subject in state.subjects.items():
                self._metrics.set(
                    "capacity_servers",
                    "Servers that a service has, or shall have by an order.",
                    subject.count,
                    service=service,
                    data_centre=name,
                )
