"""Parses the heartbeats by which backend servers announce themselves."""

from typing import Annotated
from typing import Literal

import pydantic
from returns import result

from waxwingrack.core import data
from waxwingrack.platform import settings


class _Heartbeat(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    service: Annotated[str, pydantic.StringConstraints(min_length=1)]
    address: str
    zone: str
    # Version of the server software.
    version: str
    slots: Annotated[int, pydantic.Field(ge=1)]
    state: Literal["ready", "draining"]
    coldRemainingMs: Annotated[float, pydantic.Field(ge=0)] = 0  # noqa: N815
    # Increases with each heartbeat until the server restarts.
    sequence: Annotated[int, pydantic.Field(ge=0)]
    # Start time of the server as Unix time in milliseconds.
    born: Annotated[int, pydantic.Field(ge=0)] = 0


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
        )
    )
