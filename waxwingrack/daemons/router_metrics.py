"""Metrics of a router.

Values are counted in plain tables while requests run and are copied into the
collectors when they are read, which keeps the cost away from the requests.
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
      refusals: RefusedError requests by error kind.
    """

    def __init__(self) -> None:
        self.counts = transport.TrafficCounts()
        self.failures = 0
        self.refusals: collections.Counter = collections.Counter()
        self._ends: collections.Counter = collections.Counter()
        self._retries: collections.Counter = collections.Counter()
        self._registry = collectors.Registry()
        self._collectors: dict[str, Any] = {}

    def ended(self, outcome: str) -> None:
        """Counts the end of a try or a replayed answer."""
        self._ends[outcome] += 1

    def retried(self, fault: str) -> None:
        """Counts a retry."""
        self._retries[fault] += 1

    def render(
        self, gauges: dict[str, float], accept: Iterable[str]
    ) -> tuple[bytes, dict]:
        """Renders all metrics.

        Args:
          gauges: Current values of the router by name.
          accept: Values of the header `Accept`.

        Returns:
          Body and headers of the answer.
        """
        for kind, count in self.refusals.items():
            self._count("refusals_total", count, kind=kind)
        for outcome, count in self._ends.items():
            self._count("tries_total", count, outcome=outcome)
        for fault, count in self._retries.items():
            self._count("retries_total", count, fault=fault)
        self._count("failures_total", self.failures)
        for name in transport.TrafficCounts.__slots__:
            self._count(f"control_{name}_total", getattr(self.counts, name))
        for name, value in gauges.items():
            self._collector(aioprometheus.Gauge, name).set({}, value)
        return renderer.render(self._registry, list(accept))

    def _count(self, name: str, value: float, **labels: str) -> None:
        self._collector(aioprometheus.Counter, name).set(
            {key: str(label) for key, label in labels.items()}, value
        )

    def _collector(self, kind: type, name: str) -> Any:
        if name not in self._collectors:
            full_name = f"waxwingrack_router_{name}"
            self._collectors[name] = kind(
                full_name, name.replace("_", " "), registry=self._registry
            )
        return self._collectors[name]
