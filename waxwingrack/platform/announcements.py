"""Parses the heartbeats by which backend servers announce themselves."""

from typing import Any
from typing import Literal

import pydantic
from returns import result

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.operations import announcements
from waxwingrack.operations import connection_reuse
from waxwingrack.platform import settings


class _Heartbeat(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    service: announcements.Name
    address: str
    zone: announcements.Name
    # Version of the server software.
    version: announcements.Name
    slots: announcements.Slots
    state: Literal["ready", "draining"]
    coldRemainingMs: announcements.ColdMs = 0  # noqa: N815
    # Increases with each heartbeat until the server restarts.
    sequence: announcements.Sequence
    # Start time of the server as Unix time in milliseconds.
    born: announcements.BornMs = 0
    # Most connections that the server takes. It was not read at first, so an
    # invalid one is ignored rather than the heartbeat refused.
    maxConnections: Any = None  # noqa: N815


class _Deregistration(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    # Start time of the server as Unix time in milliseconds.
    born: announcements.BornMs = 0


def parse_announcement(
    server_id: str, body: bytes
) -> result.Result[data.Announcement, str]:
    """Parses a heartbeat into an announcement.

    Args:
      server_id: Server id from the path of the call.
      body: JSON text.

    Returns:
      Success with the announcement, or Failure with the validation error.
    """
    if not announcements.is_server_id(server_id):
        return result.Failure("the id is not 1 to 128 printable characters")
    try:
        heartbeat = _Heartbeat.model_validate_json(body)
        address = settings.parse_address(heartbeat.address)
    except ValueError as exc:
        return result.Failure(str(exc))
    return result.Success(
        data.Announcement(
            server_id=server_id,
            incarnation=str(heartbeat.born),
            address=address,
            service=heartbeat.service,
            version=heartbeat.version,
            data_centre=heartbeat.zone,
            slots=heartbeat.slots,
            departing=heartbeat.state == "draining",
            cold_ms=round(heartbeat.coldRemainingMs),
            born_ms=heartbeat.born,
            sequence=heartbeat.sequence,
            max_connections=_read_max_connections(
                server_id, heartbeat.maxConnections
            ),
        )
    )


def _read_max_connections(server_id: str, value: Any) -> int:
    """Returns the announced number; 0 if there is none or an invalid one."""
    if value is None:
        return 0
    if type(value) is int and 0 <= value <= connection_reuse.MAX_CONNECTIONS:
        return value
    logs.event(
        "max_connections_invalid", server=server_id, value=repr(value)[:64]
    )
    return 0


def parse_deregistration(body: bytes) -> str | None:
    """Returns the incarnation that a deregistration names.

    Args:
      body: Body of the call; it may be empty or of another form.

    Returns:
      The incarnation; None if the body names none.
    """
    try:
        deregistration = _Deregistration.model_validate_json(body)
    except ValueError:
        return None
    return str(deregistration.born) if deregistration.born else None
