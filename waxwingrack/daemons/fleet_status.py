"""Status of the fleet as JSON."""

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
    """Turns a data class into values for JSON; None stays None."""
    if record is None:
        return None
    return _adapter(type(record)).dump_python(record, mode="json")


def rollouts(state: data.ReplicatedState) -> list[Any]:
    """Returns all rollouts as values for JSON."""
    return [to_json(rollout) for rollout in state.rollouts.values()]


def status(controller: Any) -> dict[str, Any]:
    """Collects the status.

    Args:
      controller: A `controller.Controller` that leads.

    Returns:
      Values for JSON; see `GET /v1/status` in the protocols.
    """
    driver, leader = controller.driver, controller.leader
    state, now_ms = driver.state, controller.clock()
    view = scheduler.overview(leader.tables, now_ms)
    return {
        "leader": controller.settings.node_id,
        "term": driver.replica.term,
        "number": state.number,
        "controllers": _controllers(controller, now_ms),
        "routers": _routers(controller, now_ms),
        "backend_servers": view["backend_servers"],
        "workspaces": view["workspaces"],
        "data_centres": _data_centres(state),
        "rollouts": rollouts(state),
        "orders": [to_json(row) for _, row in sorted(state.orders.items())],
        "order_settings": _order_settings(
            state, leader.orders.withheld_reasons
        ),
        "refused_digests": sorted(state.refused_digests),
    }


def _controllers(controller: Any, now_ms: int) -> list[dict[str, Any]]:
    replica = controller.driver.replica
    seen = controller.links.last_message_ms
    own = controller.settings.node_id
    acked = {
        node_id: consensus_replication.last_acked_ms(replica, node_id, now_ms)
        for node_id in replica.members
    }
    return [
        {
            "id": node_id,
            "match_index": replica.match.get(node_id, 0),
            "voter": node_id in replica.members,
            "seen_ms_ago": 0
            if node_id == own
            else now_ms - seen[node_id]
            if node_id in seen
            else None,
            "acknowledged_ms_ago": None
            if acked.get(node_id) is None
            else now_ms - acked[node_id],
            "lagging": now_ms - (acked.get(node_id) or 0)
            > messages.CONTROL_TIMEOUT_MS,
        }
        for node_id in sorted({*replica.members, *replica.match})
    ]


def _routers(controller: Any, now_ms: int) -> list[dict[str, Any]]:
    number = controller.driver.state.number
    rows = controller.leader.tables.routers
    sessions = [(session, True) for session in controller.sessions]
    sessions += [
        (session, False)
        for session in controller.sessions.list_disconnected(now_ms)
    ]
    clock_s = controller.leader.clock_s()
    shown = {session.ref.node_id for session, _ in sessions}
    shown |= controller.sessions.list_shut_down(
        controller.driver.state.known_routers
    )
    listed = [
        {
            "id": session.ref.node_id,
            "data_centre": session.ref.data_centre,
            "connected": connected,
            "number": session.environment_number,
            "lagging": session.environment_number < number,
            "in_flight": len(rows[session.ref.node_id].grants)
            if session.ref.node_id in rows
            else 0,
            "seen_ms_ago": now_ms - session.last_report_ms,
        }
        for session, connected in sessions
    ]
    # Routers that this leader has not seen: lost before its election, or still
    # on their way to it.
    known = controller.driver.state.known_routers
    return listed + [
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
        if node_id not in shown
    ]


def _order_settings(
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


def _data_centres(state: data.ReplicatedState) -> list[dict[str, Any]]:
    declared = state.environment.data_centres if state.environment else ()
    states = data.DataCentreState
    return [
        {
            "id": centre.id,
            "state": states.DRAINED
            if centre.id in state.drained
            else states.IN_SERVICE,
        }
        for centre in declared
    ]
