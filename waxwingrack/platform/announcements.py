"""What backend servers of the platform say of themselves."""

from typing import Annotated
from typing import Literal

import pydantic
from returns import result

from waxwingrack.core import data
from waxwingrack.platform import settings


class _Beat(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    service: Annotated[str, pydantic.StringConstraints(min_length=1)]
    address: str
    zone: str
    # Version of the server's software.
    version: str
    slots: Annotated[int, pydantic.Field(ge=1)]
    state: Literal["ready", "draining"]
    coldRemainingMs: Annotated[float, pydantic.Field(ge=0)] = 0  # noqa: N815
    # Grows with each call of one start of the server.
    sequence: Annotated[int, pydantic.Field(ge=0)]
    # Start of the server in milliseconds of Unix time.
    born: Annotated[int, pydantic.Field(ge=0)] = 0


def read(server_id: str, body: bytes) -> result.Result[data.Announcement, str]:
    """Reads an announcement.

    Args:
      server_id: Id in the path of the call.
      body: JSON text.

    Returns:
      Success with the announcement, or Failure with what is wrong.
    """
    try:
        beat = _Beat.model_validate_json(body)
        address = settings.address(beat.address)
    except ValueError as exc:
        return result.Failure(str(exc))
    return result.Success(
        data.Announcement(
            server_id=server_id,
            incarnation=str(beat.born),
            address=address,
            service=beat.service,
            version=beat.version,
            data_centre=beat.zone,
            slots=beat.slots,
            departing=beat.state == "draining",
            cold_ms=round(beat.coldRemainingMs),
            born_ms=beat.born,
            sequence=beat.sequence,
        )
    )
