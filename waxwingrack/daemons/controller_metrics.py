"""Metrics of a controller."""

import collections
from typing import Any

from waxwingrack.daemons import metrics as metrics_module
from waxwingrack.operations import consensus_replication
from waxwingrack.operations import scheduler
from waxwingrack.operations import speed_records

# Texts of the metrics of the speed of a backend server, by name.
_SPEED_DOCS = {
    "read_rate": "Prompt tokens that a model engine reads in a millisecond.",
    "time_factor": "Learned time of a request, relative to its service.",
    "slowness": "Time that work takes at present, as the server states it.",
}

_CONTENTION_GAUGES = (
    "workspaces_over_share",
    "expected_returns",
    "forecast_reserve_ratio",
)


def register_metrics(controller: Any) -> None:
    """Registers the metrics of a controller.

    They are refreshed whenever the metrics are read.

    Args:
      controller: The `controller.Controller`.
    """
    metrics = controller.metrics
    metrics_module.register_traffic_metrics(metrics, controller.counts)
    # These counters exist from the start, so that a rate over them has a first
    # value.
    for name, doc in (
        ("reports_total", "Reports of routers."),
        ("grants_total", "Grants issued."),
        ("handler_failures_total", "Unexpected exceptions."),
        ("unexpected_messages_total", "Messages of a wrong type."),
        ("lease_lapses_total", "Times that the lease ended for a while."),
    ):
        metrics.set_total(name, doc, 0)
    metrics.add_refresher(lambda: _refresh_replica(controller))
    metrics.add_refresher(lambda: _refresh_leader(controller))


def _refresh_replica(controller: Any) -> None:
    metrics, driver = controller.metrics, controller.driver
    has_failed = driver is None or driver.failure_reason is not None
    metrics.set(
        "replica_failed",
        "1 if this controller takes no part in consensus.",
        int(has_failed),
    )
    if driver is None:
        return
    counts, replica = driver.counts, driver.replica
    for name, doc, value in (
        ("commits_total", "Log entries applied.", counts.committed),
        ("elections_total", "Elections won.", counts.elections),
        ("syncs_total", "Syncs of the storage.", counts.syncs),
        ("sync_seconds_total", "Time of writes and syncs.", counts.sync_s),
        ("proposals_total", "Commands proposed.", counts.proposals),
        (
            "unavailable_proposals_total",
            "Proposals not known to be committed.",
            counts.unavailable,
        ),
        ("dropped_events_total", "Events that failed.", counts.dropped),
        ("snapshots_total", "Snapshots of the state.", counts.snapshots),
    ):
        metrics.set_total(name, doc, value)
    for name, doc, value in (
        ("term", "Term of consensus.", replica.term),
        ("applied_index", "Last applied log entry.", driver.applied_index),
        (
            "snapshot_index",
            "Last log entry in the own snapshot.",
            replica.log.snapshot_index,
        ),
        (
            "environment_number",
            "Environment number in force; 0 until confirmed after a start.",
            driver.confirmed_environment_number(),
        ),
        (
            "leading",
            "1 if this controller acts as leader.",
            int(controller.leads()),
        ),
        ("idempotency_records", "Records kept.", len(driver.state.keys)),
        (
            "recorded_departures",
            "Departures of backend servers kept.",
            len(driver.state.departures),
        ),
    ):
        metrics.set(name, doc, value)


def _refresh_leader(controller: Any) -> None:
    metrics = controller.metrics
    number = 0 if controller.driver is None else controller.driver.state.number
    lagging_count = sum(1 for _ in controller.sessions.list_lagging(number))
    metrics.set(
        "connected_routers", "Connected routers.", len(controller.sessions)
    )
    metrics.set(
        "lagging_routers", "Routers with an older environment.", lagging_count
    )
    metrics.clear_gauge("waiting_requests")
    metrics.clear_gauge("member_silence_ms")
    for name in _CONTENTION_GAUGES:
        metrics.clear_gauge(name)
    metrics.clear_gauge("duty_token")
    metrics.clear_gauge("duty_calls_waiting")
    for name in _SPEED_DOCS:
        metrics.clear_gauge(f"server_{name}")
    if not controller.leads():
        return
    silence_ms = consensus_replication.silence_ms(
        controller.driver.replica, controller.clock()
    )
    for node_id, value in silence_ms.items():
        metrics.set(
            "member_silence_ms",
            "Time since the leader last reached a voting controller.",
            value,
            controller=node_id,
        )
    for row in (
        controller.leader.duties.list_status()
        if (controller.leader.duties)
        else ()
    ):
        metrics.set(
            "duty_token",
            "Fencing token of a duty.",
            row["token"],
            duty=row["id"],
        )
        metrics.set(
            "duty_calls_waiting",
            "Usage windows or orders that the provider has not accepted.",
            row["waiting"],
            duty=row["id"],
        )
    for server_id, values in speed_records.list_speeds(
        controller.leader.tables, controller.clock()
    ):
        for name, value in values.items():
            metrics.set(
                f"server_{name}", _SPEED_DOCS[name], value, server=server_id
            )
    overview = scheduler.build_status(
        controller.leader.tables, controller.clock()
    )
    waiting_by_service = collections.Counter()
    for row in overview["workspaces"]:
        waiting_by_service[row["service"]] += row["waiting"]
    for service, count in waiting_by_service.items():
        metrics.set(
            "waiting_requests",
            "Requests without grant.",
            count,
            service=service,
        )
    _refresh_contention(metrics, controller.leader.tables)


def _refresh_contention(metrics: Any, tables: Any) -> None:
    for service, load in tables.contention.items():
        metrics.set(
            "workspaces_over_share",
            "Workspaces that send more than their share.",
            len(load.over),
            service=service,
        )
        metrics.set(
            "expected_returns",
            "Refused callers that are expected back.",
            len(load.returns),
            service=service,
        )
        metrics.set(
            "forecast_reserve_ratio",
            "Part of the latency target that forecasts reserve.",
            load.errors.reserve,
            service=service,
        )
