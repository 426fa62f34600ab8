"""Status of the fleet as values for JSON."""

import functools
from typing import Any

import immutables
import pydantic

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus_replication
from waxwingrack.operations import scheduler


@functools.cache
def _adapter(cls: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(cls)


def to_json(record: Any) -> Any:
    """Converts a data class into values for JSON; None stays None."""
    if record is None:
        return None
    return _adapter(type(record)).dump_python(record, mode="json")


def rollouts_to_json(state: data.ReplicatedState) -> list[Any]:
    """Converts all rollouts into values for JSON."""
    return [to_json(rollout) for rollout in state.rollouts.values()]


def collect_status(controller: Any) -> dict[str, Any]:
    """Collects the status of the fleet.

    Args:
      controller: A `controller.Controller` that leads.

    Returns:
      Values for JSON; see `GET /v1/status` in the protocols.
    """
    driver, leader = controller.driver, controller.leader
    state, now_ms = driver.state, controller.clock()
    overview = scheduler.build_status(leader.tables, now_ms)
    return {
        "leader": controller.settings.node_id,
        "term": driver.replica.term,
        "number": state.number,
        "controllers": _collect_controllers(controller, now_ms),
        "routers": _collect_routers(controller, now_ms),
        "backend_servers": overview["backend_servers"],
        "workspaces": overview["workspaces"],
        "data_centres": _collect_data_centres(state),
        "rollouts": rollouts_to_json(state),
        "orders": [to_json(row) for _, row in sorted(state.orders.items())],
        "order_settings": _collect_order_settings(
            state, leader.orders.withheld_reasons
        ),
        "refused_digests": sorted(state.refused_digests),
        "duties": leader.duties.list_status() if leader.duties else [],
    }


def _collect_controllers(controller: Any, now_ms: int) -> list[dict[str, Any]]:
    replica = controller.driver.replica
    last_message_ms = controller.links.last_message_ms
    own_id = controller.settings.node_id
    acked_ms = {
        node_id: consensus_replication.last_acked_ms(replica, node_id, now_ms)
        for node_id in replica.members
    }
    return [
        {
            "id": node_id,
            "match_index": replica.match.get(node_id, 0),
            "voter": node_id in replica.members,
            "seen_ms_ago": 0
            if node_id == own_id
            else now_ms - last_message_ms[node_id]
            if node_id in last_message_ms
            else None,
            "acknowledged_ms_ago": None
            if acked_ms.get(node_id) is None
            else now_ms - acked_ms[node_id],
            "lagging": now_ms - (acked_ms.get(node_id) or 0)
            > messages.CONTROL_TIMEOUT_MS,
        }
        for node_id in sorted({*replica.members, *replica.match})
    ]


def _collect_routers(controller: Any, now_ms: int) -> list[dict[str, Any]]:
    number = controller.driver.state.number
    router_rows = controller.leader.tables.routers
    sessions = [(session, True) for session in controller.sessions]
    sessions += [
        (session, False)
        for session in controller.sessions.list_disconnected(now_ms)
    ]
    clock_s = controller.leader.clock_s()
    observed_ids = {session.ref.node_id for session, _ in sessions}
    observed_ids |= controller.sessions.list_shut_down(
        controller.driver.state.known_routers
    )
    observed = [
        {
            "id": session.ref.node_id,
            "data_centre": session.ref.data_centre,
            "connected": connected,
            "number": session.environment_number,
            "lagging": session.environment_number < number,
            "in_flight": len(router_rows[session.ref.node_id].grants)
            if session.ref.node_id in router_rows
            else 0,
            "seen_ms_ago": now_ms - session.last_report_ms,
        }
        for session, connected in sessions
    ]
    # Routers that have not connected to this leader: they were lost before its
    # election or are still connecting.
    known = controller.driver.state.known_routers
    return observed + [
        {
            "id": node_id,
            "data_centre": row.data_centre,
            "connected": False,
            "number": row.number,
            "lagging": row.number < number,
            "in_flight": 0,
            "seen_ms_ago": now_ms - controller.leader.since_ms
            if row.lost_s is None
            else int(1000 * (clock_s - row.lost_s)),
        }
        for node_id, row in sorted(known.items())
        if node_id not in observed_ids
    ]


def _collect_order_settings(
    state: data.ReplicatedState, withheld: immutables.Map
) -> list[dict[str, Any]]:
    environment = state.environment
    return [
        {
            "service": service.id,
            "max_loading": environment.max_loading,
            **to_json(service.orders),
            "withheld": withheld.get(service.id, ""),
        }
        for service in (environment.services if environment else ())
        if service.orders is not None
    ]


def _collect_data_centres(state: data.ReplicatedState) -> list[dict[str, Any]]:
    data_centres = state.environment.data_centres if state.environment else ()
    states = data.DataCentreState
    return [
        {
            "id": data_centre.id,
            "state": states.DRAINED
            if data_centre.id in state.drained
            else states.IN_SERVICE,
        }
        for data_centre in data_centres
    ]
