"""Metrics of a router.

Requests count in plain dictionaries. The values are copied into the collectors
only when the metrics are read, which keeps that cost off the requests.
"""

import collections
from collections.abc import Iterable
from typing import Any

import aioprometheus
from aioprometheus import collectors
from aioprometheus import renderer

from waxwingrack.daemons import transport


class RouterMetrics:
    """Counts what a router does.

    Attributes:
      counts: Traffic of the control link.
      failures: Unexpected exceptions.
      refusals: Number of refused requests by error kind.
      connections_shed: Connections closed because the router was saturated.
      server_connections: Connections to servers by what became of them.
    """

    def __init__(self) -> None:
        self.counts = transport.TrafficCounts()
        self.failures = 0
        self.connections_shed = 0
        self.server_connections: collections.Counter = collections.Counter()
        self.refusals: collections.Counter = collections.Counter()
        self._ends: collections.Counter = collections.Counter()
        self._retries: collections.Counter = collections.Counter()
        self._hedges: collections.Counter = collections.Counter()
        self._registry = collectors.Registry()
        self._collectors: dict[str, Any] = {}

    def count_end(self, outcome: str) -> None:
        """Counts the end of an attempt or a replayed answer."""
        self._ends[outcome] += 1

    def count_retry(self, fault: str) -> None:
        """Counts a retry."""
        self._retries[fault] += 1

    def count_hedge(self, result: str) -> None:
        """Counts a second copy of a request by its result."""
        self._hedges[result] += 1

    def render(
        self, gauges: dict[str, float], accept: Iterable[str]
    ) -> tuple[bytes, dict]:
        """Renders all metrics.

        Args:
          gauges: Current values of the gauges by name.
          accept: Values of the header `Accept`.

        Returns:
          Body and headers of the answer.
        """
        for kind, count in self.refusals.items():
            self._set_counter("refusals_total", count, kind=kind)
        for outcome, count in self._ends.items():
            self._set_counter("tries_total", count, outcome=outcome)
        for fault, count in self._retries.items():
            self._set_counter("retries_total", count, fault=fault)
        for result, count in self._hedges.items():
            self._set_counter("hedges_total", count, result=result)
        for use, count in self.server_connections.items():
            self._set_counter("server_connections_total", count, use=use)
        self._set_counter("failures_total", self.failures)
        self._set_counter("connections_shed_total", self.connections_shed)
        for name in transport.TrafficCounts.__slots__:
            self._set_counter(
                f"control_{name}_total", getattr(self.counts, name)
            )
        for name, value in gauges.items():
            self._get_collector(aioprometheus.Gauge, name).set({}, value)
        return renderer.render(self._registry, list(accept))

    def _set_counter(self, name: str, value: float, **labels: str) -> None:
        self._get_collector(aioprometheus.Counter, name).set(
            {key: str(label) for key, label in labels.items()}, value
        )

    def _get_collector(self, collector_class: type, name: str) -> Any:
        if name not in self._collectors:
            full_name = f"waxwingrack_router_{name}"
            self._collectors[name] = collector_class(
                full_name, name.replace("_", " "), registry=self._registry
            )
        return self._collectors[name]
