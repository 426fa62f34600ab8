"""Configuration documents of the platform's operators."""

from collections.abc import Iterator
import hashlib
import itertools
import string
from typing import Annotated
from typing import Any
from typing import Literal
import urllib.parse

import pydantic
from returns import result

from waxwingrack.core import data
from waxwingrack.operations import announcements

_Count = Annotated[int, pydantic.Field(ge=0)]
_NonNegative = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_Name = Annotated[
    str,
    pydantic.StringConstraints(min_length=1),
    pydantic.AfterValidator(announcements.check_printable),
]


class _WeightedService(pydantic.BaseModel):
    service: _Name
    weight: _NonNegative


class _Route(pydantic.BaseModel):
    name: _Name
    host: _Name
    pathPrefix: str  # noqa: N815  name of the platform
    kind: Literal["safe", "unsafe", "streaming"]
    timeoutMs: Annotated[  # noqa: N815
        float, pydantic.Field(gt=0, allow_inf_nan=False)
    ]
    targetLatencyMs: _NonNegative | None = None  # noqa: N815
    # A route has either `service` or `trafficSplit`.
    service: str | None = None
    trafficSplit: tuple[_WeightedService, ...] = ()  # noqa: N815
    maxAttempts: Annotated[int, pydantic.Field(ge=1)] = 1  # noqa: N815
    # Whether requests are accepted without an API key.
    public: bool = False
    # Whether another server may resume a broken stream.
    streamResume: bool = False  # noqa: N815

    @pydantic.field_validator("pathPrefix")
    @classmethod
    def _check_prefix(cls, prefix: str) -> str:
        if not (prefix.startswith("/") and prefix.endswith("/")):
            raise ValueError("pathPrefix must begin and end with a slash")
        # A request line holds neither spaces nor characters outside ASCII.
        return urllib.parse.quote(prefix, safe=string.punctuation)

    @pydantic.model_validator(mode="after")
    def _check_targets(self) -> "_Route":
        if self.service is None and not self.trafficSplit:
            raise ValueError("a route needs service or trafficSplit")
        if self.trafficSplit and not sum(s.weight for s in self.trafficSplit):
            raise ValueError("the weights of trafficSplit add up to 0")
        return self

    def targets(self) -> tuple[data.Target, ...]:
        """Returns the services of the route with their weights."""
        if not self.trafficSplit:
            return (data.Target(self.service, 1.0),)
        return tuple(
            data.Target(s.service, s.weight) for s in self.trafficSplit
        )


class _Engine(pydantic.BaseModel):
    kvCapacityTokens: Annotated[int, pydantic.Field(ge=1)]  # noqa: N815
    # Tokens per event of a streamed answer.
    stride: Annotated[int, pydantic.Field(ge=1)] = 1
    # KV cache size of one token, and rate at which engines fetch KV cache
    # entries from each other.
    kvTokenBytes: _NonNegative = 0.0  # noqa: N815
    linkMbps: _NonNegative = 0.0  # noqa: N815


class _Scaling(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    min: Annotated[int, pydantic.Field(ge=0, le=data.MAX_SCALED_SERVERS)]
    max: Annotated[int, pydantic.Field(ge=0, le=data.MAX_SCALED_SERVERS)]
    bootS: Annotated[  # noqa: N815
        float,
        pydantic.Field(ge=0, le=data.MAX_BOOT_S, allow_inf_nan=False),
    ] = 10.0

    @pydantic.field_validator("max")
    @classmethod
    def _check_max(cls, value: int, info: pydantic.ValidationInfo) -> int:
        if value < info.data.get("min", 0):
            raise ValueError("max must not be below min")
        return value


class _Service(pydantic.BaseModel):
    name: _Name
    engine: _Engine | None = None
    # Most connections that a server takes from all callers; 0 for no limit.
    maxConnections: _Count = 0  # noqa: N815
    # Requests per second that a cold server can take; 0 if servers of the
    # service are never cold.
    coldPerS: _NonNegative = 0.0  # noqa: N815
    # Limits of the number of servers in each data centre.
    scaling: _Scaling | None = None


class _Tenant(pydantic.BaseModel):
    name: _Name
    apiKeys: tuple[_Name, ...] = ()  # noqa: N815


class _Limits(pydantic.BaseModel):
    # 0 means that the document declares no limit.
    maxHeaderBytes: _Count = 0  # noqa: N815
    maxBodyBytes: _Count = 0  # noqa: N815
    headerTimeoutMs: _NonNegative = 0  # noqa: N815
    idleTimeoutMs: _NonNegative = 0  # noqa: N815


class _Document(pydantic.BaseModel):
    # Strict: no conversion between numbers, strings and booleans.
    model_config = pydantic.ConfigDict(strict=True)

    version: _Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = _Limits()

    @pydantic.model_validator(mode="after")
    def _check_references(self) -> "_Document":
        _require_unique(
            "the host and pathPrefix of a route",
            ((r.host.lower(), r.pathPrefix) for r in self.routes),
        )
        _require_unique(
            "the name of a service", (s.name for s in self.services)
        )
        _require_unique("the name of a tenant", (t.name for t in self.tenants))
        _require_unique(
            "an API key",
            itertools.chain.from_iterable(t.apiKeys for t in self.tenants),
        )
        services = {service.name for service in self.services}
        referenced = {
            target.service
            for route in self.routes
            for target in route.targets()
        }
        if unknown := referenced - services:
            raise ValueError(f"unknown services {sorted(unknown)}")
        return self


def _require_unique(description: str, values: Iterator[Any]) -> None:
    items = list(values)
    if len(items) != len(set(items)):
        raise ValueError(f"{description} occurs twice")


def parse_document(
    body: bytes, regions: dict[str, str]
) -> result.Result[data.Environment, str]:
    """Parses and validates a configuration document.

    Args:
      body: JSON text.
      regions: Region of each data centre; the document does not contain them.

    Returns:
      Success with the environment, or Failure with the validation errors.
    """
    try:
        document = _Document.model_validate_json(body)
    except pydantic.ValidationError as exc:
        return result.Failure(
            "; ".join(
                f"{'.'.join(map(str, error['loc']))}: {error['msg']}"
                for error in exc.errors(include_url=False, include_input=False)
            )
        )
    return result.Success(_build_environment(document, body.decode(), regions))


def serialize_document(environment: data.Environment) -> bytes:
    """Returns the document byte for byte as the operators sent it."""
    return environment.source.encode()


def _build_environment(
    document: _Document, source: str, regions: dict[str, str]
) -> data.Environment:
    routes: dict[str, list[data.Route]] = {}
    for route in document.routes:
        service_name = route.targets()[0].service
        routes.setdefault(service_name, []).append(_build_route(route))
    return data.Environment(
        name="platform",
        revision=document.version,
        source=source,
        workspaces=tuple(
            data.Workspace(
                id=tenant.name,
                weight=1.0,
                token_digests=tuple(map(_digest_key, tenant.apiKeys)),
                max_queue=4_096,
                max_connections=4_096,
            )
            for tenant in document.tenants
        ),
        services=tuple(
            _build_service(service, tuple(routes.get(service.name, ())))
            for service in document.services
        ),
        data_centres=tuple(
            data.DataCentre(name, region) for name, region in regions.items()
        ),
        caller_limits=_build_caller_limits(document.limits),
    )


def _build_caller_limits(limits: _Limits) -> data.CallerLimits:
    return data.CallerLimits(
        max_header_bytes=limits.maxHeaderBytes or None,
        max_body_bytes=limits.maxBodyBytes or None,
        header_timeout_s=_to_seconds(limits.headerTimeoutMs or None),
        idle_connection_s=_to_seconds(limits.idleTimeoutMs or None),
    )


def _to_seconds(duration_ms: float | None) -> float | None:
    return None if duration_ms is None else duration_ms / 1000


def _build_route(route: _Route) -> data.Route:
    return data.Route(
        id=route.name,
        path=route.pathPrefix,
        host=route.host.lower(),
        targets=route.targets(),
        public=route.public,
        # A resumable stream may also be restarted from the beginning, as long
        # as the caller has received no part of it.
        idempotent=route.kind == "safe"
        or (route.kind == "streaming" and route.streamResume),
        single_attempt=True,
        timeout_s=route.timeoutMs / 1000,
        latency_target_s=_to_seconds(route.targetLatencyMs),
        max_tries=route.maxAttempts,
    )


def _build_service(
    service: _Service, routes: tuple[data.Route, ...]
) -> data.Service:
    engine = service.engine
    return data.Service(
        id=service.name,
        routes=routes,
        # Servers announce their versions; the document has none.
        version="",
        cost_meter=data.CostMeter.PROMPT_AND_OUTPUT
        if engine
        else data.CostMeter.SLOT_MS,
        engine=engine
        and data.Engine(
            engine.kvCapacityTokens,
            engine.stride,
            round(engine.kvTokenBytes),
            engine.linkMbps,
        ),
        cold=data.ColdLimit(service.coldPerS) if service.coldPerS else None,
        ramp=False,
        # On the platform connections also break without a crash, so a broken
        # connection is no evidence; see docs/platform.md.
        isolate_suspects=False,
        announces_cold=True,
        max_connections=service.maxConnections,
        scaling=service.scaling
        and data.Scaling(
            service.scaling.min, service.scaling.max, service.scaling.bootS
        ),
    )


def _digest_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
