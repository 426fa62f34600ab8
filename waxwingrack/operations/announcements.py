"""Validation of the documents by which backend servers announce themselves."""

import dataclasses
import ipaddress
from typing import Annotated
from typing import Any

import pydantic
from returns import result

from waxwingrack.core import data
from waxwingrack.operations import connection_reuse

MAX_ID_CHARS = 128
# Bounds of what a server may announce. The leader computes with these numbers,
# so one that is out of all proportion would end each of its decisions.
MAX_SLOTS = 100_000
MAX_COLD_MS = 86_400_000
MAX_SEQUENCE = 2**53
# The year 2100, in Unix milliseconds. A later start would hide all true ones.
MAX_BORN_MS = 4_102_444_800_000


def check_printable(text: str) -> str:
    """Returns a name that may stand in headers and in operators' tables.

    Args:
      text: The name.

    Raises:
      ValueError: It has unprintable characters.
    """
    if not text.isprintable():
        raise ValueError("has unprintable characters")
    return text


Name = Annotated[
    str,
    pydantic.StringConstraints(min_length=1, max_length=MAX_ID_CHARS),
    pydantic.AfterValidator(check_printable),
]
Slots = Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS)]
ColdMs = Annotated[float, pydantic.Field(ge=0, le=MAX_COLD_MS)]
BornMs = Annotated[int, pydantic.Field(ge=0, le=MAX_BORN_MS)]
Sequence = Annotated[int, pydantic.Field(ge=0, le=MAX_SEQUENCE)]
Port = Annotated[int, pydantic.Field(ge=1, le=65_535)]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A validation error of a document.

    Attributes:
      path: Path of the field, with dots between its parts.
      rule: Rule that the field breaks.
    """

    path: str
    rule: str


class _CacheEvent(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    sequence: Sequence
    prefix: Annotated[
        str, pydantic.StringConstraints(min_length=1, max_length=MAX_ID_CHARS)
    ]
    stored: bool


class _Document(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    incarnation: Name
    host: str
    port: Port
    service: Name
    version: Name
    data_centre: Name
    slots: Slots
    in_flight: int = pydantic.Field(default=0, ge=0, le=MAX_SLOTS)
    load: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)
    checks_fencing: bool = False
    departing: bool = False
    cold_ms: int = pydantic.Field(default=0, ge=0, le=MAX_COLD_MS)
    born_ms: BornMs = 0
    sequence: Sequence = 0
    max_connections: int = pydantic.Field(
        default=0, ge=0, le=connection_reuse.MAX_CONNECTIONS
    )
    cache_events: list[_CacheEvent] = pydantic.Field(
        default=[], max_length=10_000
    )

    @pydantic.field_validator("host")
    @classmethod
    def _check_host(cls, host: str) -> str:
        ipaddress.ip_address(host)
        return host

    @pydantic.field_validator("service", "data_centre")
    @classmethod
    def _check_declared(cls, name: str, info: pydantic.ValidationInfo) -> str:
        if name not in info.context[info.field_name]:
            raise ValueError("not declared in the environment")
        return name


def is_server_id(text: str) -> bool:
    """Tells whether a text can be the id of a backend server."""
    return 0 < len(text) <= MAX_ID_CHARS and text.isprintable()


def parse_announcement(
    server_id: str, body: bytes, environment: data.Environment
) -> result.Result[data.Announcement, tuple[Fault, ...]]:
    """Parses and validates an announcement.

    Args:
      server_id: Id of the backend server, from the request path.
      body: JSON document.
      environment: Environment that declares services and data centres.

    Returns:
      Success with the announcement or Failure with all faults.
    """
    if not is_server_id(server_id):
        return result.Failure(
            (Fault("server_id", "1 to 128 printable characters"),)
        )
    names = {
        "service": {item.id for item in environment.services},
        "data_centre": {item.id for item in environment.data_centres},
    }
    try:
        document = _Document.model_validate_json(body, context=names)
    except pydantic.ValidationError as exc:
        return result.Failure(
            tuple(
                Fault(".".join(map(str, error["loc"])), error["msg"])
                for error in exc.errors(
                    include_url=False,
                    include_input=False,
                    include_context=False,
                )
            )
        )
    fields: dict[str, Any] = dict(document)
    host, port = fields.pop("host"), fields.pop("port")
    fields["cache_events"] = tuple(
        data.CacheEvent(**dict(event)) for event in document.cache_events
    )
    return result.Success(
        data.Announcement(
            server_id=server_id, address=data.Address(host, port), **fields
        )
    )
