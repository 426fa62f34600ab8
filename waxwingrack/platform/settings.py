"""Reads the settings file that the platform writes for each process."""

from collections.abc import Iterator
import ipaddress
import math
import os
import pathlib
import re
from typing import Annotated
from typing import Any

import pydantic
from returns import result
import yaml

from waxwingrack.core import data
from waxwingrack.load import documents
from waxwingrack.operations import membership

# Environment variable with the path of the settings file.
PATH_VARIABLE = "WAXWINGRACK_CONFIG"
# Environment variable with the share of requests that may get a second copy.
HEDGE_SHARE_VARIABLE = "WAXWINGRACK_HEDGE_SHARE"
# Silence of the leader after which routers look for another one, in seconds.
# The leader sends a message four times a second; callers expect their answers
# in less than this time.
CONTROL_SILENCE_S = 0.7
# Time for which a stopping router still accepts requests, in seconds. The
# platform checks readiness once a second and stops sending requests to a
# process after two failed checks.
SHUTDOWN_DELAY_S = 2.5
# Part of the platform's grace period for a stop that is reserved for closing
# connections, in seconds.
CONNECTION_CLOSE_S = 1.0
# Longest idle time after which a connection to a backend server is reused for a
# request that must not be repeated, in seconds. Servers announce that they
# close idle connections after 10 s, and rarely do so sooner.
REUSE_IDLE_S = 3.0
# Share of the fleet's retry budget that one router may use at once. Routers do
# not know how many they are; deployments have up to a few tens.
RETRY_RESERVE_SHARE = 0.05
# Share of the permitted ratio of retries to requests that routers use.
RETRY_RATIO_SHARE = 0.5
MAX_PORT = 65_535
# Upper limits of settings of duties; larger values have a wrong unit.
MAX_LEASE_MS = 600_000
MAX_USAGE_S = 3_600.0
MAX_CALLS_PER_S = 100_000.0
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
# Body size limit until a configuration document declares one.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Share of the memory of a process for buffered request bodies.
BUFFER_MEMORY_SHARE = 0.15
# Share of the descriptors of a process for connections of callers. The rest is
# for connections to backend servers, of which each running request has one.
CALLERS_DESCRIPTOR_SHARE = 0.75


class _ListenAddresses(pydantic.BaseModel):
    front: str | None = None
    readinessAddr: str | None = None  # noqa: N815  name of the platform
    control: str | None = None


class _Limits(pydantic.BaseModel):
    memoryMb: float  # noqa: N815
    # Capacity of the machine's network link in each direction.
    linkMbps: Annotated[  # noqa: N815
        float, pydantic.Field(ge=0, allow_inf_nan=False)
    ] = 0.0
    # Open descriptors of the process; 0 if they are not limited.
    maxFds: Annotated[  # noqa: N815
        float, pydantic.Field(ge=0, allow_inf_nan=False)
    ] = 0
    # Processor time per second of the process; 0 if it is not limited.
    cores: Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)] = 0.0


class _Bounds(pydantic.BaseModel):
    graceS: float = 8.0  # noqa: N815
    retryBudgetRatio: float = 0.2  # noqa: N815
    retryBudgetSlack: float = 50.0  # noqa: N815
    # Share of a service's requests that a bad version may get, and the number
    # that it may get beyond.
    exposureShare: float = 0.1  # noqa: N815
    exposureSlack: float = 50.0  # noqa: N815
    # Time for which another holder of a duty waits.
    leaseMs: Annotated[  # noqa: N815
        float, pydantic.Field(ge=0, le=MAX_LEASE_MS, allow_inf_nan=False)
    ] = 3_000.0
    # Length of a usage window, and the time after its end at which the report
    # is late, in seconds.
    usageWindowS: Annotated[  # noqa: N815
        float, pydantic.Field(ge=0.1, le=MAX_USAGE_S, allow_inf_nan=False)
    ] = 5.0
    usageLateS: Annotated[  # noqa: N815
        float, pydantic.Field(ge=0, le=MAX_USAGE_S, allow_inf_nan=False)
    ] = 10.0


class _Tolerance(pydantic.BaseModel):
    machines: int = 1


class _Cloud(pydantic.BaseModel):
    # Address of the provider.
    address: str
    # Calls that only one process at a time may make; unknown ones are ignored.
    duties: tuple[str, ...] = ()
    # Such calls per second that the provider accepts from all processes.
    dutyPerS: Annotated[  # noqa: N815
        float, pydantic.Field(gt=0, le=MAX_CALLS_PER_S, allow_inf_nan=False)
    ] = 50.0


class _SettingsFile(pydantic.BaseModel):
    nodeName: str  # noqa: N815
    zone: str
    zones: dict[str, str]
    listen: _ListenAddresses
    # Lowest and highest port that the processes of the system may use.
    internalPorts: tuple[int, int]  # noqa: N815
    # Operators' addresses of some of the controllers.
    seeds: tuple[str, ...]
    # Whether the whole system starts for the first time, on empty disks.
    bootstrap: bool = False
    dataDir: str | None = None  # noqa: N815
    limits: _Limits
    # Number of controllers that may fail at the same time.
    faultTolerance: _Tolerance = _Tolerance()  # noqa: N815
    bounds: _Bounds = _Bounds()
    cloud: _Cloud | None = None


def file_path() -> str:
    """Returns the path of the settings file.

    Raises:
      KeyError: The environment variable is not set.
    """
    return os.environ[PATH_VARIABLE]


def load(
    file: str,
) -> result.Result[
    tuple[data.Settings, dict[str, str]], tuple[documents.SettingError, ...]
]:
    """Reads the settings of a process.

    Args:
      file: Path of the settings file.

    Returns:
      Success with the settings and the region of each data centre, or Failure
      with all faults.
    """
    try:
        document = yaml.safe_load(
            pathlib.Path(file).read_text(encoding="utf-8")
        )
        settings_file = _SettingsFile.model_validate(document)
        settings = _build_settings(settings_file)
        faults = tuple(_check_hedge_share(settings))
        if faults:
            return result.Failure(faults)
        return result.Success((settings, settings_file.zones))
    except pydantic.ValidationError as exc:
        return result.Failure(
            tuple(
                documents.SettingError(
                    file,
                    ".".join(["$", *map(str, error["loc"])]),
                    error["msg"],
                )
                for error in exc.errors()
            )
        )
    except (OSError, ValueError, yaml.YAMLError) as exc:
        return result.Failure((documents.SettingError(file, "$", str(exc)),))


def _build_settings(file: _SettingsFile) -> data.Settings:
    port = file.internalPorts[0]
    common_fields: dict[str, Any] = {
        "node_id": file.nodeName,
        "data_centre": file.zone,
        "controllers": tuple(_build_peer(seed, port) for seed in file.seeds),
        "plaintext": True,
        "max_body_bytes": MAX_BODY_BYTES,
        "duties": _build_duties(file),
    }
    if file.listen.control is not None:
        operators = parse_address(file.listen.control)
        return data.Settings(
            role=data.Role.CONTROLLER,
            operators=operators,
            control=data.Address(operators.host, port),
            data_folder=file.dataDir,
            group_size=2 * file.faultTolerance.machines + 1,
            found_group=file.bootstrap,
            max_exposure=file.bounds.exposureShare,
            exposure_reserve=int(file.bounds.exposureSlack),
            **common_fields,
        )
    max_buffered_bytes = int(file.limits.memoryMb * BUFFER_MEMORY_SHARE * 2**20)
    return data.Settings(
        role=data.Role.ROUTER,
        callers=parse_address(file.listen.front),
        operators=parse_address(file.listen.readinessAddr),
        shutdown_delay_s=SHUTDOWN_DELAY_S,
        shutdown_timeout_s=file.bounds.graceS
        - SHUTDOWN_DELAY_S
        - CONNECTION_CLOSE_S,
        max_buffered_bytes=max_buffered_bytes,
        ready_when_drained=True,
        control_silence_s=CONTROL_SILENCE_S,
        reuse_idle_s=REUSE_IDLE_S,
        retry_share=file.bounds.retryBudgetRatio * RETRY_RATIO_SHARE,
        retry_reserve=file.bounds.retryBudgetSlack * RETRY_RESERVE_SHARE,
        hedge_share=_read_hedge_share(),
        hedge_needs_slowness=True,
        link_mbps=file.limits.linkMbps,
        max_descriptors=int(file.limits.maxFds),
        # The processor time that a process reads there is not its own.
        processor_cores=0.0,
        max_open_connections=_find_max_connections(file.limits),
        **common_fields,
    )


def _read_hedge_share() -> float:
    """Returns the share in the environment; NaN if it is not a number."""
    try:
        return float(os.environ.get(HEDGE_SHARE_VARIABLE) or 0.0)
    except ValueError:
        return math.nan


def _check_hedge_share(
    settings: data.Settings,
) -> Iterator[documents.SettingError]:
    if not 0.0 <= settings.hedge_share <= settings.retry_share:
        yield documents.SettingError(
            "environment",
            HEDGE_SHARE_VARIABLE,
            f"must be a number from 0 to {settings.retry_share:g}, the share "
            "of retries",
        )


def _find_max_connections(limits: _Limits) -> int:
    """Returns the most open connections of callers."""
    default = data.Settings.__dataclass_fields__["max_open_connections"].default
    if not limits.maxFds:
        return default
    share = int(limits.maxFds * CALLERS_DESCRIPTOR_SHARE)
    return max(1, min(default, share))


def _build_duties(file: _SettingsFile) -> data.DutySettings | None:
    if file.cloud is None:
        return None
    return data.DutySettings(
        address=parse_address(file.cloud.address),
        duties=tuple(duty for duty in data.Duty if duty in file.cloud.duties),
        holder=file.nodeName,
        lease_ms=round(file.bounds.leaseMs),
        calls_per_s=file.cloud.dutyPerS,
        usage_window_s=file.bounds.usageWindowS,
        usage_late_s=file.bounds.usageLateS,
    )


def parse_address(text: str | None) -> data.Address:
    """Parses an address of the form `IP:PORT`.

    Args:
      text: Text to parse; None raises an error like a malformed one.

    Raises:
      ValueError: The text is missing, or is no IP number with a TCP port.
    """
    host, _, port = (text or "").rpartition(":")
    if not _PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r:.80} is not an address of the form IP:PORT")
    ipaddress.ip_address(host)
    return data.Address(host, int(port))


def _build_peer(seed: str, port: int) -> data.Peer:
    operators = parse_address(seed)
    control = data.Address(operators.host, port)
    return data.Peer(membership.node_id(control), control, operators)
