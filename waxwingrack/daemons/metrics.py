"""HTTP endpoints for metrics, liveness and readiness of a process."""

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

# Returns None if the process is ready, else the reason why it is not.
Readiness = Callable[[], str | None]


class Metrics:
    """Metrics of one process.

    Collectors are created at their first use. Refresher functions copy values
    from other objects each time the metrics are rendered.
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._refreshers: list[Callable[[], None]] = []
        # Amounts by name and description that are not yet in a collector. Some
        # counters grow with each message, and adding to a collector takes 4
        # times as long.
        self._pending_amounts: dict[tuple[str, str], float] = {}

    def add(
        self, name: str, doc: str, amount: float = 1, **labels: str
    ) -> None:
        """Increases a counter.

        Args:
          name: Metric name without the prefix `waxwingrack_`.
          doc: Description of the metric, with its unit.
          amount: Non-negative amount.
          **labels: Labels of the time series.
        """
        if labels:
            self._collector(aioprometheus.Counter, name, doc).add(
                labels, amount
            )
        else:
            key = (name, doc)
            self._pending_amounts[key] = (
                self._pending_amounts.get(key, 0) + amount
            )

    def set(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Sets a gauge; see `add` for the arguments."""
        self._collector(aioprometheus.Gauge, name, doc).set(labels, value)

    def set_total(
        self, name: str, doc: str, value: float, **labels: str
    ) -> None:
        """Sets a counter to a total that another object counts."""
        self._collector(aioprometheus.Counter, name, doc).set(labels, value)

    def clear_gauge(self, name: str) -> None:
        """Removes all time series of a gauge before they are set again."""
        if PREFIX + name in self._registry.collectors:
            self._registry.get(PREFIX + name).values.clear()

    def add_refresher(self, refresher: Callable[[], None]) -> None:
        """Registers a function that runs before each rendering."""
        self._refreshers.append(refresher)

    def render(self, accepts: tuple[str, ...]) -> tuple[bytes, dict[str, str]]:
        """Renders the metrics.

        Args:
          accepts: Values of the header `Accept`.

        Returns:
          The HTTP body and headers.
        """
        for refresher in self._refreshers:
            refresher()
        for (name, doc), amount in self._pending_amounts.items():
            self._collector(aioprometheus.Counter, name, doc).add({}, amount)
        self._pending_amounts.clear()
        return renderer.render(self._registry, accepts)

    def _collector(
        self, kind: Callable, name: str, doc: str
    ) -> collectors.Collector:
        full_name = PREFIX + name
        if full_name not in self._registry.collectors:
            kind(full_name, doc, registry=self._registry)
        return self._registry.get(full_name)


def register_traffic_metrics(
    metrics: Metrics, counts: transport.TrafficCounts
) -> None:
    """Registers metrics of the traffic between processes.

    Args:
      metrics: Metrics of this process.
      counts: Traffic counters of this process.
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
    """Serves `/healthz`, `/readyz` and `/metrics`."""

    app = klein.Klein()

    def __init__(self, metrics: Metrics, readiness: Readiness):
        self._metrics = metrics
        self._readiness = readiness

    @app.route("/healthz", methods=["GET"])
    def healthz(self, request: iweb.IRequest) -> bytes:
        """Answers 200 while the process runs."""
        return make_json_response(request, http.OK, {})

    @app.route("/readyz", methods=["GET"])
    def readyz(self, request: iweb.IRequest) -> bytes:
        """Answers 200 if the process is ready, else 503 with the reason."""
        reason = self._readiness()
        if reason is None:
            return make_json_response(request, http.OK, {})
        return make_json_response(
            request, http.SERVICE_UNAVAILABLE, {"reason": reason}
        )

    @app.route("/metrics", methods=["GET"])
    def read_metrics(self, request: iweb.IRequest) -> bytes:
        """Answers with the metrics in the Prometheus text format."""
        accepts = request.requestHeaders.getRawHeaders("accept", ["*/*"])
        body, headers = self._metrics.render(tuple(accepts))
        for name, value in headers.items():
            request.setHeader(name, value)
        return body


@HealthApi.app.handle_errors(exceptions.HTTPException)
def answer_error(
    _: HealthApi, request: iweb.IRequest, error: failure_module.Failure
) -> bytes:
    """Answers requests with an unknown path or method, in JSON."""
    code = error.value.code or http.NOT_FOUND
    return make_json_response(request, code, {"message": error.value.name})


def make_json_response(
    request: iweb.IRequest, status: int, body: object
) -> bytes:
    """Encodes a JSON body and sets status and content type of the answer.

    Args:
      request: Request to answer.
      status: HTTP status.
      body: Value to encode.

    Returns:
      The encoded body.
    """
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", JSON_TYPE)
    return json.dumps(body, separators=(",", ":")).encode()
