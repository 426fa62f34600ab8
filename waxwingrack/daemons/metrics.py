"""Metrics, liveness and readiness of a process over HTTP."""

from collections.abc import Callable
import json

import aioprometheus
from aioprometheus import collectors
from aioprometheus import renderer
import klein
from twisted.python import failure as failure_module
from twisted.web import http
from twisted.web import iweb
from werkzeug import exceptions

from waxwingrack.daemons import transport

PREFIX = "waxwingrack_"
JSON_TYPE = b"application/json"

# Returns None when the process is ready, else why it is not.
Readiness = Callable[[], str | None]


class Metrics:
    """Metrics of one process.

    Collectors are created at their first use. Values that other objects hold
    are copied by refresher functions each time the metrics are read.
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._refreshers: list[Callable[[], None]] = []
        # Amounts by name and description that no collector has yet. Some
        # counters grow with each message; a collector takes 4 times as long.
        self._amounts: dict[tuple[str, str], float] = {}

    def add(
        self, name: str, doc: str, amount: float = 1, **labels: str
    ) -> None:
        """Adds to a counter.

        Args:
          name: Name without the prefix of the project.
          doc: Description with the unit.
          amount: Amount to add, not negative.
          **labels: Labels of the time series.
        """
        if labels:
            self._collector(aioprometheus.Counter, name, doc).add(
                labels, amount
            )
        else:
            key = (name, doc)
            self._amounts[key] = self._amounts.get(key, 0) + amount

    def set(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Sets a gauge; arguments as for `add`."""
        self._collector(aioprometheus.Gauge, name, doc).set(labels, value)

    def set_total(
        self, name: str, doc: str, value: float, **labels: str
    ) -> None:
        """Sets a counter to a total that is counted elsewhere."""
        self._collector(aioprometheus.Counter, name, doc).set(labels, value)

    def clear_gauge(self, name: str) -> None:
        """Drops all time series of a gauge, before it is filled again."""
        if PREFIX + name in self._registry.collectors:
            self._registry.get(PREFIX + name).values.clear()

    def add_refresher(self, refresher: Callable[[], None]) -> None:
        """Registers a function that runs before the metrics are read."""
        self._refreshers.append(refresher)

    def render(self, accepts: tuple[str, ...]) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics as bytes, and HTTP headers."""
        for refresher in self._refreshers:
            refresher()
        for (name, doc), amount in self._amounts.items():
            self._collector(aioprometheus.Counter, name, doc).add({}, amount)
        self._amounts.clear()
        return renderer.render(self._registry, accepts)

    def _collector(
        self, kind: Callable, name: str, doc: str
    ) -> collectors.Collector:
        full = PREFIX + name
        if full not in self._registry.collectors:
            kind(full, doc, registry=self._registry)
        return self._registry.get(full)


def register_traffic_metrics(
    metrics: Metrics, counts: transport.TrafficCounts
) -> None:
    """Shows the traffic between processes.

    Args:
      metrics: Metrics to fill.
      counts: Counters of the transport.
    """

    def refresh() -> None:
        for name, doc, value in (
            ("bytes_sent_total", "Bytes sent.", counts.bytes_sent),
            ("bytes_received_total", "Bytes received.", counts.bytes_received),
            ("messages_sent_total", "Messages sent.", counts.messages_sent),
            (
                "messages_received_total",
                "Well-formed messages received.",
                counts.messages_received,
            ),
            (
                "malformed_frames_total",
                "Frames that could not be decoded.",
                counts.malformed,
            ),
            (
                "refused_peers_total",
                "Connections whose peer did not authenticate.",
                counts.refused,
            ),
        ):
            metrics.set_total(
                name, f"{doc} Traffic between processes only.", value
            )

    metrics.add_refresher(refresh)


class HealthApi:
    """`/healthz`, `/readyz` and `/metrics`."""

    app = klein.Klein()

    def __init__(self, metrics: Metrics, readiness: Readiness):
        self._metrics = metrics
        self._readiness = readiness

    @app.route("/healthz", methods=["GET"])
    def healthz(self, request: iweb.IRequest) -> bytes:
        """Answers while the process runs."""
        return make_json_response(request, http.OK, {})

    @app.route("/readyz", methods=["GET"])
    def readyz(self, request: iweb.IRequest) -> bytes:
        """Answers 200 when ready, else 503 with the reason."""
        reason = self._readiness()
        if reason is None:
            return make_json_response(request, http.OK, {})
        return make_json_response(
            request, http.SERVICE_UNAVAILABLE, {"reason": reason}
        )

    @app.route("/metrics", methods=["GET"])
    def read_metrics(self, request: iweb.IRequest) -> bytes:
        """Answers in the Prometheus text format."""
        accepts = request.requestHeaders.getRawHeaders("accept", ["*/*"])
        body, headers = self._metrics.render(tuple(accepts))
        for name, value in headers.items():
            request.setHeader(name, value)
        return body


@HealthApi.app.handle_errors(exceptions.HTTPException)
def answer_error(
    _: HealthApi, request: iweb.IRequest, fault: failure_module.Failure
) -> bytes:
    """Answers unknown paths and methods in JSON."""
    code = fault.value.code or http.NOT_FOUND
    return make_json_response(request, code, {"message": fault.value.name})


def make_json_response(
    request: iweb.IRequest, status: int, body: object
) -> bytes:
    """Sets status and type of an HTTP answer.

    Args:
      request: Request to answer.
      status: HTTP status.
      body: Value for JSON.

    Returns:
      The body.
    """
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", JSON_TYPE)
    return json.dumps(body, separators=(",", ":")).encode()
